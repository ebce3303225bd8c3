/* bench_spread - prototype of gossip for membership, releases and budgets at the target fleet size.
 *
 *   bench_spread [HOSTS...]
 *
 * Simulates rounds of messages, encoded as on the wire, for:
 *
 *  - state: every two seconds each host sends the most recently changed rows (its
 *    own and a fixed number of received ones) to one random host of its domain;
 *    one host in ten also sends them to a random host of another domain, with a
 *    summary row for its own domain;
 *  - releases: a host that receives one for the first time forwards it to four
 *    random hosts, three in its own domain and one in any; duplicates are
 *    ignored, and a host that learns of a version from a state message fetches it;
 *  - budgets: a host that is short of tokens sends loan requests to two hosts of
 *    its domain once per second.
 *
 * Prints the bytes per second and host, and the time until a release is in force on
 * all hosts when 2 % of the messages are lost.
 */
#include "internal/peer_codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOMAINS 52
#define REGIONS 23
#define ROWS_SENT 12 /* rows of other hosts or domains in a state message */
#define STATE_PERIOD_S 2.0
#define RELEASES_PER_DAY 2200.0
#define RELEASE_BYTES 600 /* as text: a withdrawn key takes 250, an added account 350 */
#define FANOUT_LOCAL 3
#define FANOUT_ANY 1
#define LOSS_RATIO 0.02
#define HOP_LOCAL_MS 2.0
#define HOP_REMOTE_MS 40.0
#define HANDLING_MS 1.0
#define PULL_MS (STATE_PERIOD_S * 1000.0)
#define SHORT_RATIO 0.2    /* of hosts that are short of some budget at a time */
#define OVERHEAD_BYTES 280 /* as in bench_control */

static size_t
encoded_bytes (struct pl_message *message)
{
  size_t length = 0;

  g_free (pl_peer_encode (message, 1, &length));
  return length + OVERHEAD_BYTES;
}

/* A row has a host or domain, its version and a load figure: the size of one service entry. */
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
  struct pl_message message = {.type = PL_MESSAGE_LOAN_REQUEST};

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

  if (g_rand_double (random) < LOSS_RATIO)
    return;
  arrival = g_new (struct arrival, 1);
  arrival->host = to;
  arrival->at_ms = now_ms + HANDLING_MS
                   + (from % DOMAINS == to % DOMAINS ? HOP_LOCAL_MS : HOP_REMOTE_MS)
                         * (0.5 + g_rand_double (random));
  g_sequence_insert_sorted (queue, arrival, compare_arrivals, NULL);
}

/* Returns a random host of the domain of HOST; hosts are assigned to domains round-robin. */
static int
random_host_in_domain (GRand *random, int host, int count)
{
  int of_domain = (count - host % DOMAINS + DOMAINS - 1) / DOMAINS;

  return g_rand_int_range (random, 0, of_domain) * DOMAINS + host % DOMAINS;
}

struct spread
{
  double last_ms; /* when the last host had it, by push or by a fetch */
  double missed;  /* fraction of hosts that push did not reach */
  double sent;    /* messages per host */
};

static struct spread
spread_release (int count, GRand *random)
{
  GSequence *queue = g_sequence_new (g_free);
  g_autofree bool *has_release = g_new0 (bool, count);
  struct spread spread = {0, 0, 0};
  int reached = 0;

  send_release (queue, random, 0, 0, 0);
  /* In each domain, the host that polls the store reads it within half a second. */
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
  /* Hosts that no push reached fetch it when a state message has the new version. */
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
          "all B/s", "worst of 20 ms", "% by fetch");
  for (int i = 1; i < argc; i++)
    measure (atoi (argv[i]));
  return EXIT_SUCCESS;
}
