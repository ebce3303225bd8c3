/* bench_spread - a prototype of what carries membership, releases and budgets at the target size.
 *
 *   bench_spread [NODES...]
 *
 * Simulated rounds over messages that are encoded as on the wire, for:
 *
 *  - state: each node sends, every two seconds, to one random node of its domain
 *    the rows that changed most recently (its own, and a fixed number it heard),
 *    and one node in ten also to a random node of another domain, with one
 *    summary row for its domain;
 *  - releases: whoever learns of one sends it on to four random nodes, three of
 *    its own domain and one of any, once; those who hear it twice do nothing, and
 *    a node that heard of the version with a state message asks for it;
 *  - budgets: a node that is short asks two nodes of its domain once a second.
 *
 * It prints bytes a second and node, and how long a release takes to be in force
 * at all nodes when 2 % of messages are lost.
 */
#include "internal/peer_codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOMAINS 52
#define REGIONS 23
#define ROWS_SENT 12 /* rows of other nodes or domains in a state message */
#define STATE_PERIOD_S 2.0
#define RELEASES_PER_DAY 2200.0
#define RELEASE_BYTES 600 /* as text: a key withdrawn is 250, an account added 350 */
#define FANOUT_LOCAL 3
#define FANOUT_ANY 1
#define LOSS 0.02
#define HOP_LOCAL_MS 2.0
#define HOP_REMOTE_MS 40.0
#define HANDLING_MS 1.0
#define PULL_MS (STATE_PERIOD_S * 1000.0)
#define SHORT_RATIO 0.2    /* of nodes that are short of some budget at a time */
#define OVERHEAD_BYTES 280 /* as in bench_control */

static size_t
encoded_bytes (struct pl_message *message)
{
  size_t length = 0;

  g_free (pl_peer_encode (message, 1, &length));
  return length + OVERHEAD_BYTES;
}

/* A row is a node or domain, its version and a load figure: what one service entry costs. */
static size_t
state_bytes (void)
{
  struct pl_message message = {.type = PL_MESSAGE_HEARTBEAT};

  message.u.heartbeat.service_count = ROWS_SENT + 1;
  return encoded_bytes (&message);
}

static size_t
release_bytes (void)
{
  char text[RELEASE_BYTES + 1];
  struct pl_message message = {.type = PL_MESSAGE_RELEASE};

  memset (text, 'x', RELEASE_BYTES);
  text[RELEASE_BYTES] = '\0';
  message.u.document.text = text;
  return encoded_bytes (&message);
}

static size_t
loan_bytes (void)
{
  struct pl_message message = {.type = PL_MESSAGE_ASK};

  message.u.loans.count = 3;
  return encoded_bytes (&message);
}

struct arrival
{
  double at_ms;
  int host;
};

static int
compare_arrivals (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct arrival *x = a;
  const struct arrival *y = b;

  (void) data;
  return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static void
send_release (GSequence *queue, GRand *random, double now_ms, int from, int to)
{
  struct arrival *arrival;

  if (g_rand_double (random) < LOSS)
    return;
  arrival = g_new (struct arrival, 1);
  arrival->host = to;
  arrival->at_ms = now_ms + HANDLING_MS
                   + (from % DOMAINS == to % DOMAINS ? HOP_LOCAL_MS : HOP_REMOTE_MS)
                         * (0.5 + g_rand_double (random));
  g_sequence_insert_sorted (queue, arrival, compare_arrivals, NULL);
}

/* Returns a random node of the domain of NODE; nodes are dealt to domains in turn. */
static int
random_host_in_domain (GRand *random, int host, int count)
{
  int of_domain = (count - host % DOMAINS + DOMAINS - 1) / DOMAINS;

  return g_rand_int_range (random, 0, of_domain) * DOMAINS + host % DOMAINS;
}

struct spread
{
  double last_ms; /* when the last node had it by push alone, or by asking */
  double missed;  /* part of the nodes that push did not reach */
  double sent;    /* messages a node */
};

static struct spread
spread_release (int count, GRand *random)
{
  GSequence *queue = g_sequence_new (g_free);
  g_autofree bool *has_release = g_new0 (bool, count);
  struct spread spread = {0, 0, 0};
  int reached = 0;

  send_release (queue, random, 0, 0, 0);
  /* The reader of the store in each domain sees it within its poll of half a second. */
  for (int domain = 0; domain < DOMAINS && domain < count; domain++)
    {
      struct arrival *arrival = g_new (struct arrival, 1);

      arrival->host = random_host_in_domain (random, domain, count);
      arrival->at_ms = 500.0 * g_rand_double (random) + HOP_REMOTE_MS;
      g_sequence_insert_sorted (queue, arrival, compare_arrivals, NULL);
    }
  while (!g_sequence_is_empty (queue))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (queue);
      struct arrival arrival = *(struct arrival *) g_sequence_get (first);

      g_sequence_remove (first);
      if (has_release[arrival.host])
        continue;
      has_release[arrival.host] = true;
      reached++;
      spread.last_ms = arrival.at_ms;
      for (int i = 0; i < FANOUT_LOCAL; i++)
        send_release (queue, random, arrival.at_ms, arrival.host,
                      random_host_in_domain (random, arrival.host, count));
      for (int i = 0; i < FANOUT_ANY; i++)
        send_release (queue, random, arrival.at_ms, arrival.host,
                      g_rand_int_range (random, 0, count));
      spread.sent += FANOUT_LOCAL + FANOUT_ANY;
    }
  spread.missed = 1.0 - (double) reached / count;
  spread.sent /= count;
  g_sequence_free (queue);
  /* Nodes that no push reached ask when a state message tells them of the version. */
  if (reached < count)
    spread.last_ms = MAX (spread.last_ms, 500.0) + PULL_MS / 2;
  return spread;
}

static void
measure (int count)
{
  GRand *random = g_rand_new_with_seed (1);
  struct spread worst = {0, 0, 0};
  double state = (1.0 + 0.1) * (double) state_bytes () / STATE_PERIOD_S;
  double loans = SHORT_RATIO * 2 * 2 * (double) loan_bytes ();
  double releases = 0;

  for (int i = 0; i < 20; i++)
    {
      struct spread spread = spread_release (count, random);

      worst.last_ms = MAX (worst.last_ms, spread.last_ms);
      worst.missed = MAX (worst.missed, spread.missed);
      releases = spread.sent * (double) release_bytes () * RELEASES_PER_DAY / 86400.0;
    }
  printf ("%8d %10.0f %10.0f %10.0f %10.0f %14.0f %12.2f\n", count, state, releases, loans,
          state + releases + loans, worst.last_ms, 100.0 * worst.missed);
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  static char *default_args[] = {"", "104", "520", "1040", "2080", "4200", NULL};

  if (argc < 2)
    {
      argv = default_args;
      argc = 6;
    }
  printf ("%8s %10s %10s %10s %10s %14s %12s\n", "nodes", "state B/s", "release", "budgets",
          "all B/s", "worst of 20 ms", "% by asking");
  for (int i = 1; i < argc; i++)
    measure (atoi (argv[i]));
  return EXIT_SUCCESS;
}
