/* bench_control - cost of the current control messages per host as the fleet grows.
 *
 *   bench_control [HOSTS...]
 *
 * One reducer per host runs in this process in virtual time.  Their messages are
 * encoded as on the wire and counted; none is lost or late.  Each domain has two
 * hosts, as in the current deployment.
 */
#include "internal/clock.h"
#include "internal/peer_codec.h"
#include "pomelolatch/core.h"
#include "pomelolatch/release.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define TICK_US (10 * MS)
#define MEASURED_US (4 * SECOND)
#define ACCOUNTS 8
/* Envelope, RPC call and reply, TCP and IP headers, per batch of one message. */
#define OVERHEAD_BYTES 280

struct bench
{
  int count;
  struct pl_core **cores;
  GHashTable *index; /* id -> position + 1 */
  GQueue messages;   /* of struct delivery */
  int64_t now_us;
  uint64_t sent;
  uint64_t bytes;
  uint64_t store_reads;
  json_t *snapshot;
};

struct delivery
{
  int to;
  struct pl_message message;
};

static char *
host_name (int i)
{
  return g_strdup_printf ("h%d", i);
}

static json_t *
make_document (int count)
{
  GString *text = g_string_new ("release: b\nadded:\n  regions: [{name: r}]\n  domains:\n");
  struct pl_findings *findings = pl_findings_new ("bench");
  struct pl_release *release;
  json_t *empty = json_object ();
  json_t *document;

  for (int i = 0; i < (count + 1) / 2; i++)
    g_string_append_printf (text, "    - {name: d%d, region: r}\n", i);
  g_string_append (text, "  entry_hosts:\n");
  for (int i = 0; i < count; i++)
    g_string_append_printf (text,
                            "    - {name: h%d, domain: d%d, caller: 1.1.1.1:1, peer: 1.1.1.1:2, "
                            "forward: 1.1.1.1:3}\n",
                            i, i / 2);
  g_string_append (text, "  services: [{name: s1}, {name: s2}, {name: s3}]\n  accounts:\n");
  for (int i = 0; i < ACCOUNTS; i++)
    g_string_append_printf (text, "    - {name: a%d, rate: 100, burst: 200}\n", i);
  release = pl_release_parse (text->str, text->len, findings);
  document = pl_release_apply (empty, release, findings);
  json_decref (empty);
  pl_release_free (release);
  pl_findings_free (findings);
  g_string_free (text, TRUE);
  return document;
}

static void step (struct bench *bench, int at, struct pl_event *event);

static void
answer_store (struct bench *bench, int at, const struct pl_store_request *request)
{
  struct pl_event event = {.type = PL_EVENT_STORE};

  bench->store_reads += request->call == PL_STORE_HEAD;
  event.u.store.call = request->call;
  event.u.store.ticket = request->ticket;
  event.u.store.version = 1;
  event.u.store.name_nonce = request->nonce;
  event.u.store.name_incarnation = 1;
  event.u.store.confirmed_version = INT64_MAX;
  if (request->call == PL_STORE_HEAD && request->version == 0)
    event.u.store.snapshot = bench->snapshot;
  step (bench, at, &event);
}

static void
execute (struct bench *bench, int at, struct pl_effect *effect)
{
  struct delivery *delivery;
  size_t length = 0;
  int to;

  if (effect->type == PL_EFFECT_STORE)
    answer_store (bench, at, effect->u.store);
  if (effect->type != PL_EFFECT_SEND)
    return;
  g_free (pl_peer_encode (&effect->u.send.message, 1, &length));
  bench->sent++;
  bench->bytes += length + OVERHEAD_BYTES;
  to = GPOINTER_TO_INT (g_hash_table_lookup (bench->index, &effect->u.send.peer)) - 1;
  delivery = g_new0 (struct delivery, 1);
  delivery->to = to;
  pl_message_copy (&delivery->message, &effect->u.send.message);
  g_queue_push_tail (&bench->messages, delivery);
}

static void
step (struct bench *bench, int at, struct pl_event *event)
{
  struct pl_effects effects = {0};

  event->now_us = bench->now_us;
  pl_core_step (bench->cores[at], event, &effects);
  for (int i = 0; i < effects.count; i++)
    execute (bench, at, &effects.items[i]);
  pl_effects_free (&effects);
}

static void
advance (struct bench *bench, int64_t length_us)
{
  int64_t until_us = bench->now_us + length_us;

  while (bench->now_us < until_us)
    {
      struct delivery *delivery;

      bench->now_us += TICK_US;
      while ((delivery = g_queue_pop_head (&bench->messages)) != NULL)
        {
          struct pl_event event = {.type = PL_EVENT_MESSAGE};

          event.u.message = delivery->message;
          step (bench, delivery->to, &event);
          g_free (delivery);
        }
      for (int i = 0; i < bench->count; i++)
        {
          struct pl_event event = {.type = PL_EVENT_TICK};

          step (bench, i, &event);
        }
    }
}

static double
cpu_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec + (double) now.tv_nsec / 1e9;
}

static void
measure (int count)
{
  struct bench bench = {.count = count};
  json_t *document = make_document (count);
  uint64_t *ids = g_new (uint64_t, count);
  double seconds = (double) MEASURED_US / 1e6;
  double before_s;
  double used_s;

  bench.snapshot = json_pack ("{s:i,s:o}", "version", 1, "document", document);
  bench.index = g_hash_table_new (g_int64_hash, g_int64_equal);
  bench.cores = g_new (struct pl_core *, count);
  g_queue_init (&bench.messages);
  for (int i = 0; i < count; i++)
    {
      g_autofree char *name = host_name (i);
      struct pl_core_options options = {.name = name, .nonce = (uint64_t) i + 1};

      bench.cores[i] = pl_core_new (&options);
      ids[i] = pl_id_of ("entry_hosts", name);
      g_hash_table_insert (bench.index, &ids[i], GINT_TO_POINTER (i + 1));
    }
  advance (&bench, SECOND);
  bench.sent = bench.bytes = bench.store_reads = 0;
  before_s = cpu_seconds ();
  advance (&bench, MEASURED_US);
  used_s = cpu_seconds () - before_s;
  printf ("%8d %14.1f %14.0f %12.3f %14.1f\n", count, (double) bench.sent / count / seconds,
          (double) bench.bytes / count / seconds, 100.0 * used_s / count / seconds,
          (double) bench.store_reads / seconds);
  fflush (stdout);
  for (int i = 0; i < count; i++)
    pl_core_free (bench.cores[i]);
  json_decref (bench.snapshot);
  g_hash_table_destroy (bench.index);
  g_free (bench.cores);
  g_free (ids);
}

int
main (int argc, char **argv)
{
  static char *default_args[] = {"", "4", "8", "16", "32", "64", "128", NULL};

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  if (argc < 2)
    {
      argv = default_args;
      argc = 7;
    }
  printf ("%8s %14s %14s %12s %14s\n", "hosts", "messages/s", "bytes/s", "% of a core",
          "store reads/s");
  for (int i = 1; i < argc; i++)
    measure (atoi (argv[i]));
  return EXIT_SUCCESS;
}
