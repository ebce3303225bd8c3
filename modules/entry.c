/* Keeps the table of open exchanges and executes the reducer's effects on them.
 *
 * An effect refers to its exchange by id, since the caller may have closed its
 * connection before the effect is executed: the effect is then ignored, and an
 * attempt that it requested is reported as not sent.
 */
#include "internal/entry.h"
#include "internal/clock.h"
#include "internal/lingering.h"
#include "internal/log.h"
#include "internal/net.h"
#include "internal/reactor.h"
#include "pomelolatch/error.h"

#include <ck_pr.h>
#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTION_POLL_PERIOD_US INT64_C (50000)
/* Of a process that ends: callers that read have closed their connections by then. */
#define CLOSING_WAIT_US INT64_C (2000000)

struct pl_exchange *
pl_entry_find (struct pl_entry *entry, uint64_t id)
{
  struct pl_exchange *exchange;

  g_mutex_lock (&entry->lock);
  exchange = g_hash_table_lookup (entry->exchanges, &id);
  if (exchange != NULL)
    pl_exchange_ref (exchange);
  g_mutex_unlock (&entry->lock);
  return exchange;
}

void
pl_entry_add (struct pl_entry *entry, struct pl_exchange *exchange)
{
  g_mutex_lock (&entry->lock);
  g_hash_table_insert (entry->exchanges, &exchange->id, pl_exchange_ref (exchange));
  g_mutex_unlock (&entry->lock);
}

void
pl_entry_remove (struct pl_entry *entry, uint64_t id)
{
  g_mutex_lock (&entry->lock);
  g_hash_table_remove (entry->exchanges, &id);
  g_mutex_unlock (&entry->lock);
}

void
pl_entry_compute_forward_mac (const struct pl_entry *entry, const char *method, const char *target,
                              const char *account, const char *deadline, char *text)
{
  g_autofree char *joined = g_strjoin ("\n", method, target, account, deadline, NULL);
  uint8_t mac[crypto_auth_BYTES];

  crypto_auth (mac, (uint8_t *) joined, strlen (joined), entry->options.secret);
  sodium_bin2hex (text, crypto_auth_BYTES * 2 + 1, mac, sizeof mac);
}

static void
add_header (struct pl_exchange *exchange, const char *name, const char *value)
{
  g_ptr_array_add (exchange->answer_headers, g_strdup_printf ("%s: %s", name, value));
}

void
pl_entry_set_refusal (struct pl_exchange *exchange, int status, const char *reason,
                      bool operation_ran, bool attempt_ran, int retry_after_ms)
{
  const char *outcome = operation_ran ? "unknown" : "not-run";
  g_autofree char *text
      = g_strdup_printf ("{\"refused\":\"%s\",\"outcome\":\"%s\",\"retry_after_ms\":%d}\n", reason,
                         outcome, retry_after_ms);
  g_autofree char *wait = g_strdup_printf ("%d", (retry_after_ms + 999) / 1000);
  g_autofree char *wait_ms = g_strdup_printf ("%d", retry_after_ms);

  g_ptr_array_set_size (exchange->answer_headers, 0);
  g_byte_array_set_size (exchange->answer.bytes, 0);
  exchange->answer.read_offset = 0;
  exchange->status = status;
  add_header (exchange, "Content-Type", "application/json");
  add_header (exchange, "Pomelolatch-Outcome", outcome);
  add_header (exchange, "Pomelolatch-Attempt", attempt_ran ? "unknown" : "not-run");
  add_header (exchange, "Pomelolatch-Reason", reason);
  if (retry_after_ms > 0)
    {
      add_header (exchange, "Retry-After", wait);
      add_header (exchange, "Pomelolatch-Retry-After-Ms", wait_ms);
    }
  pl_pipe_append (&exchange->answer, text, strlen (text));
  exchange->answer.ended = true;
  exchange->answer_length = (int64_t) strlen (text);
  exchange->answer_started = true;
}

static void
refuse (struct pl_exchange *exchange, const struct pl_effect *effect)
{
  const struct pl_refusal_info *info = &pl_refusals[effect->u.refuse.refusal];

  if (exchange->answer_started)
    return;
  pl_entry_set_refusal (exchange, info->status, info->name, effect->u.refuse.operation_ran,
                        effect->u.refuse.attempt_ran, effect->u.refuse.retry_after_ms);
  pl_exchange_resume (exchange);
}

static void
replay (struct pl_exchange *exchange, const struct pl_effect *effect)
{
  const char *answer = effect->u.replay.answer;

  if (exchange->answer_started)
    return;
  if (answer == NULL || answer[0] == '\0')
    {
      pl_entry_set_refusal (exchange, 409, "ran-before-answer-not-kept", true, false, 0);
      pl_exchange_resume (exchange);
      return;
    }
  exchange->status = effect->u.replay.status;
  add_header (exchange, "Pomelolatch-Replayed", "true");
  pl_pipe_append (&exchange->answer, answer, strlen (answer));
  exchange->answer.ended = true;
  exchange->answer_length = (int64_t) strlen (answer);
  exchange->answer_started = true;
  pl_exchange_resume (exchange);
}

static bool
is_partitioned (struct pl_entry *entry, uint64_t peer)
{
  bool partitioned;

  g_mutex_lock (&entry->lock);
  partitioned = g_hash_table_contains (entry->partitioned, &peer);
  g_mutex_unlock (&entry->lock);
  return partitioned;
}

void
pl_entry_set_partitioned (struct pl_entry *entry, uint64_t peer, bool partitioned)
{
  g_mutex_lock (&entry->lock);
  if (partitioned)
    g_hash_table_add (entry->partitioned, g_memdup2 (&peer, sizeof peer));
  else
    g_hash_table_remove (entry->partitioned, &peer);
  g_mutex_unlock (&entry->lock);
}

void
pl_entry_execute (struct pl_entry *entry, struct pl_effect *effect)
{
  struct pl_exchange *exchange;

  if (effect->type == PL_EFFECT_PROBE)
    {
      pl_attempt_probe (entry, effect);
      return;
    }
  exchange = pl_entry_find (entry, effect->request);
  if (exchange == NULL
      || (effect->type == PL_EFFECT_FORWARD
          && is_partitioned (entry, effect->u.send_request.target)))
    {
      if (effect->type == PL_EFFECT_DISPATCH || effect->type == PL_EFFECT_FORWARD)
        pl_attempt_report_skipped (entry, effect->request, effect->attempt, PL_OUTCOME_NOT_SENT);
      pl_exchange_unref (exchange);
      return;
    }
  g_mutex_lock (&exchange->lock);
  switch (effect->type)
    {
    case PL_EFFECT_DISPATCH:
    case PL_EFFECT_FORWARD:
      pl_attempt_start (entry, exchange, effect);
      break;
    case PL_EFFECT_REFUSE:
      refuse (exchange, effect);
      break;
    case PL_EFFECT_REPLAY:
      replay (exchange, effect);
      break;
    case PL_EFFECT_CANCEL:
      if (exchange->call != NULL && exchange->attempt == effect->attempt)
        pl_http_call_cancel (exchange->call);
      break;
    default:
      break;
    }
  g_mutex_unlock (&exchange->lock);
  pl_exchange_unref (exchange);
}

void
pl_entry_disable_keepalive (struct pl_entry *entry)
{
  ck_pr_store_32 (&entry->keepalive_disabled, 1);
}

void
pl_entry_linger (struct pl_entry *entry, int fd)
{
  int copy;

  if (pl_net_peer_has_closed (fd))
    return;
  copy = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  if (copy < 0)
    {
      pl_log (PL_LOG_WARNING, "closed-without-lingering",
              json_pack ("{s:i,s:i}", "error", errno, "unacked_bytes", pl_net_unacked_bytes (fd)));
      return;
    }
  g_mutex_lock (&entry->lock);
  g_queue_push_tail (&entry->closing, GINT_TO_POINTER (copy));
  g_mutex_unlock (&entry->lock);
}

/* Has the sockets linger that libmicrohttpd's threads have left to the reactor. */
static void
take_closing (struct pl_entry *entry)
{
  struct pl_lingering_options options = {.fd = -1};

  g_mutex_lock (&entry->lock);
  while (!g_queue_is_empty (&entry->closing))
    {
      options.fd = GPOINTER_TO_INT (g_queue_pop_head (&entry->closing));
      pl_lingering_close (entry->lingering, &options);
    }
  entry->lingering_count = pl_lingering_count (entry->lingering);
  g_mutex_unlock (&entry->lock);
}

static void
poll_connections (void *data)
{
  struct pl_entry *entry = data;

  take_closing (entry);
  pl_callers_abort_disconnected (entry);
  if (ck_pr_load_32 (&entry->stopping) != 0)
    pl_reactor_quit (entry->reactor);
  pl_reactor_arm_timer (entry->reactor, entry->poll_timer,
                        pl_clock_now_us () + CONNECTION_POLL_PERIOD_US);
}

static void *
run_connections (void *data)
{
  struct pl_entry *entry = data;

  pl_reactor_run (entry->reactor);
  return NULL;
}

static bool
has_closing (struct pl_entry *entry)
{
  bool result;

  g_mutex_lock (&entry->lock);
  result = !g_queue_is_empty (&entry->closing) || entry->lingering_count > 0;
  g_mutex_unlock (&entry->lock);
  return result;
}

void
pl_entry_finish_closing (struct pl_entry *entry)
{
  int64_t until_us = pl_clock_now_us () + CLOSING_WAIT_US;

  while (has_closing (entry) && pl_clock_now_us () < until_us)
    g_usleep (CONNECTION_POLL_PERIOD_US);
}

struct pl_entry *
pl_entry_new (const struct pl_entry_options *options)
{
  struct pl_entry *entry = g_new0 (struct pl_entry, 1);

  entry->options = *options;
  g_mutex_init (&entry->lock);
  entry->exchanges = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                            (GDestroyNotify) pl_exchange_unref);
  entry->partitioned = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_init (&entry->closing);
  entry->reactor = pl_reactor_new ();
  entry->lingering = pl_lingering_new (entry->reactor);
  entry->poll_timer = pl_reactor_add_timer (entry->reactor, poll_connections, entry);
  pl_reactor_arm_timer (entry->reactor, entry->poll_timer, 0);
  pthread_create (&entry->connection_thread, NULL, run_connections, entry);
  entry->caller_daemon = pl_callers_start (entry, options->caller_address, false);
  entry->forward_daemon = pl_callers_start (entry, options->forward_address, true);
  if (entry->caller_daemon == NULL || entry->forward_daemon == NULL)
    {
      pl_entry_free (entry);
      return NULL;
    }
  return entry;
}

GPtrArray *
pl_entry_list (struct pl_entry *entry)
{
  GPtrArray *all = g_ptr_array_new_with_free_func ((GDestroyNotify) pl_exchange_unref);
  GHashTableIter iter;
  gpointer value;

  g_mutex_lock (&entry->lock);
  g_hash_table_iter_init (&iter, entry->exchanges);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (all, pl_exchange_ref (value));
  g_mutex_unlock (&entry->lock);
  return all;
}

/* libmicrohttpd cannot stop a daemon with suspended connections: resumes each one, with a refusal
 * if it has no answer yet. */
static void
resume_all (struct pl_entry *entry)
{
  g_autoptr (GPtrArray) all = pl_entry_list (entry);

  for (guint i = 0; i < all->len; i++)
    {
      struct pl_exchange *exchange = g_ptr_array_index (all, i);

      g_mutex_lock (&exchange->lock);
      if (!exchange->answer_started)
        pl_entry_set_refusal (exchange, 503, "stopping", exchange->attempt > 0,
                              exchange->attempt > 0, 1000);
      exchange->answer.ended = true;
      pl_exchange_resume (exchange);
      g_mutex_unlock (&exchange->lock);
    }
}

void
pl_entry_free (struct pl_entry *entry)
{
  if (entry == NULL)
    return;
  ck_pr_store_32 (&entry->stopping, 1);
  pthread_join (entry->connection_thread, NULL);
  resume_all (entry);
  if (entry->caller_daemon != NULL)
    MHD_stop_daemon (entry->caller_daemon);
  if (entry->forward_daemon != NULL)
    MHD_stop_daemon (entry->forward_daemon);
  take_closing (entry);
  pl_lingering_free (entry->lingering);
  pl_reactor_free (entry->reactor);
  g_hash_table_destroy (entry->exchanges);
  g_hash_table_destroy (entry->partitioned);
  g_mutex_clear (&entry->lock);
  g_free (entry);
}
