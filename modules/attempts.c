/* Makes one attempt: sends a request to a backend server or another entry host and reads the
 * answer.
 *
 * The answer's head is not forwarded to the caller before the answer is complete
 * or longer than PL_ANSWER_BUFFERED_BYTES_MAX, so that an attempt that fails early can
 * be retried elsewhere and the caller sees one answer or one refusal.  An answer
 * belongs to an attempt if it arrives on its connection and its final head echoes
 * the attempt's number, whatever else it says.  Any other answer loses that of the
 * attempt, and the connection is closed.
 */
#include "internal/answer_head.h"
#include "internal/clock.h"
#include "internal/entry.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#define PROGRESS_PERIOD_US 50000
#define PROBE_TIMEOUT_US 800000
#define OUTCOME_HEADER "Pomelolatch-Outcome"

/* What one head of an answer says.  An interim answer has a head of its own. */
struct answer_head
{
  int status;
  bool echoes_attempt;
  bool echoes_other;
  bool is_marked; /* as a refusal */
  bool not_run;
};

struct attempt
{
  struct pl_entry *entry;
  struct pl_exchange *exchange; /* one reference */
  uint32_t number;
  bool is_forward;
  bool store_answer;
  char echo[64]; /* request and attempt number, which the answer repeats */
  struct answer_head head;
  int64_t last_progress_us;
};

static void
post_outcome (struct pl_entry *entry, const struct pl_outcome_event *outcome)
{
  struct pl_event event = {.type = PL_EVENT_OUTCOME};

  event.u.outcome = *outcome;
  entry->options.post (entry->options.data, &event);
}

void
pl_attempt_report_skipped (struct pl_entry *entry, uint64_t request, uint32_t attempt,
                           enum pl_outcome outcome)
{
  struct pl_outcome_event event = {.request = request, .attempt = attempt, .outcome = outcome};

  post_outcome (entry, &event);
}

static void
post_progress (struct attempt *attempt)
{
  struct pl_event event = {.type = PL_EVENT_PROGRESS};
  int64_t now_us = pl_clock_now_us ();

  if (now_us - attempt->last_progress_us < PROGRESS_PERIOD_US)
    return;
  attempt->last_progress_us = now_us;
  event.u.progress.request = attempt->exchange->id;
  event.u.progress.attempt = attempt->number;
  attempt->entry->options.post (attempt->entry->options.data, &event);
}

/* Returns whether the header NAME applies to one connection only or is set by this host; what an
 * entry host says of a request by itself, no server may say. */
static bool
is_hop_header (const char *name)
{
  static const char *const names[] = {
      "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
      "Date",       "Trailer",    "Upgrade",           "Server",
  };
  static const char *const prefixes[] = {"Proxy-", "Pomelolatch-"};

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return true;
  for (size_t i = 0; i < G_N_ELEMENTS (prefixes); i++)
    if (g_ascii_strncasecmp (name, prefixes[i], strlen (prefixes[i])) == 0)
      return true;
  return false;
}

/* An interim answer may echo nothing. */
static bool
is_own_head (const struct answer_head *head)
{
  return !head->echoes_other && (head->echoes_attempt || head->status < 200);
}

static void
parse_field (struct attempt *attempt, const char *name, const char *value)
{
  struct pl_exchange *exchange = attempt->exchange;
  struct answer_head *head = &attempt->head;

  if (g_ascii_strcasecmp (name, PL_ATTEMPT_ECHO_HEADER) == 0)
    {
      bool is_own = strcmp (value, attempt->echo) == 0;

      head->echoes_attempt = head->echoes_attempt || is_own;
      head->echoes_other = head->echoes_other || !is_own;
    }
  else if (g_ascii_strcasecmp (name, OUTCOME_HEADER) == 0)
    {
      head->is_marked = true;
      head->not_run = strstr (value, "not-run") != NULL;
    }
  if (!is_hop_header (name))
    g_ptr_array_add (exchange->answer_headers, g_strdup_printf ("%s: %s", name, value));
}

/* Returns whether the caller has been refused, so that no attempt may answer it any more. */
static bool
is_refused (const struct pl_exchange *exchange)
{
  return exchange->answer_started && !exchange->from_server;
}

static bool
on_head_begun (void *data, int status, size_t length)
{
  struct attempt *attempt = data;
  bool accepted;

  (void) length;
  g_mutex_lock (&attempt->exchange->lock);
  accepted = !is_refused (attempt->exchange);
  if (accepted)
    {
      attempt->head = (struct answer_head){.status = status};
      g_ptr_array_set_size (attempt->exchange->answer_headers, 0);
    }
  g_mutex_unlock (&attempt->exchange->lock);
  return accepted;
}

static bool
on_field (void *data, const char *name, const char *value)
{
  struct attempt *attempt = data;
  bool accepted;

  g_mutex_lock (&attempt->exchange->lock);
  accepted = !is_refused (attempt->exchange);
  if (accepted)
    parse_field (attempt, name, value);
  g_mutex_unlock (&attempt->exchange->lock);
  return accepted;
}

static bool
on_head_ended (void *data, const struct pl_answer_head *head)
{
  struct attempt *attempt = data;
  bool accepted;

  g_mutex_lock (&attempt->exchange->lock);
  accepted = !is_refused (attempt->exchange) && is_own_head (&attempt->head);
  if (accepted)
    attempt->exchange->answer_length = head->has_length ? (int64_t) head->length : -1;
  g_mutex_unlock (&attempt->exchange->lock);
  return accepted;
}

/* Returns whether the answer is a refusal by the other side, which goes to the reducer and not to
 * the caller. */
static bool
is_refusal (const struct attempt *attempt)
{
  return attempt->head.is_marked && (attempt->is_forward || attempt->head.status == 503);
}

static void
start_answer (struct attempt *attempt)
{
  struct pl_exchange *exchange = attempt->exchange;

  exchange->status = attempt->head.status;
  exchange->answer_started = true;
  exchange->from_server = true;
}

static size_t
on_write (void *data, const char *bytes, size_t length)
{
  struct attempt *attempt = data;
  struct pl_exchange *exchange = attempt->exchange;
  size_t result = length;

  post_progress (attempt);
  g_mutex_lock (&exchange->lock);
  if (is_refused (exchange))
    result = 0;
  else if (exchange->answer_started && !exchange->caller_done
           && pl_pipe_unread (&exchange->answer) >= PL_BODY_WINDOW)
    result = PL_HTTP_PAUSE;
  else
    {
      exchange->answer_received += (int64_t) length;
      /* After the caller has closed its connection, an answer that may be stored is still read to
       * its end, but no more than this is buffered. */
      if (!exchange->caller_done
          || exchange->answer_received <= (int64_t) PL_ANSWER_BUFFERED_BYTES_MAX)
        pl_pipe_append (&exchange->answer, bytes, length);
      if (!exchange->answer_started && !is_refusal (attempt)
          && pl_pipe_unread (&exchange->answer) > PL_ANSWER_BUFFERED_BYTES_MAX)
        start_answer (attempt);
      if (exchange->answer_started)
        pl_exchange_resume (exchange);
    }
  g_mutex_unlock (&exchange->lock);
  return result;
}

static size_t
on_read (void *data, char *bytes, size_t length)
{
  struct attempt *attempt = data;
  struct pl_exchange *exchange = attempt->exchange;
  size_t result;

  post_progress (attempt);
  g_mutex_lock (&exchange->lock);
  result = pl_pipe_read (&exchange->body, bytes, length, !exchange->streamed);
  if (exchange->streamed && result > 0)
    exchange->body_consumed = true;
  if (result == 0 && !exchange->body.ended)
    result = PL_HTTP_PAUSE;
  if (exchange->streamed)
    pl_exchange_resume (exchange);
  g_mutex_unlock (&exchange->lock);
  return result;
}

static enum pl_outcome
classify_outcome (const struct attempt *attempt, enum pl_http_end end)
{
  if (end == PL_HTTP_NOT_SENT)
    return PL_OUTCOME_NOT_SENT;
  if (attempt->exchange->answer_started)
    return end == PL_HTTP_COMPLETE ? PL_OUTCOME_DONE : PL_OUTCOME_TRUNCATED;
  if (end != PL_HTTP_COMPLETE || !is_own_head (&attempt->head))
    return PL_OUTCOME_ANSWER_LOST;
  if (is_refusal (attempt))
    return attempt->head.not_run ? PL_OUTCOME_SHED : PL_OUTCOME_ANSWER_LOST;
  return PL_OUTCOME_DONE;
}

static void
attach_answer (struct attempt *attempt, struct pl_outcome_event *event)
{
  struct pl_exchange *exchange = attempt->exchange;
  size_t length = pl_pipe_unread (&exchange->answer);

  if (exchange->answer_started || length > PL_STORED_ANSWER_BYTES_MAX)
    return;
  event->answer
      = g_memdup2 (exchange->answer.bytes->data + exchange->answer.read_offset, length + 1);
  event->answer_length = length;
}

static void
on_done (void *data, enum pl_http_end end, int status)
{
  struct attempt *attempt = data;
  struct pl_exchange *exchange = attempt->exchange;
  struct pl_outcome_event event = {.request = exchange->id, .attempt = attempt->number};
  bool caller_done;

  g_mutex_lock (&exchange->lock);
  event.outcome = classify_outcome (attempt, end);
  event.status = status;
  event.answer_bytes = exchange->answer_received;
  event.body_consumed = exchange->body_consumed;
  if (event.outcome == PL_OUTCOME_DONE)
    {
      if (attempt->store_answer)
        attach_answer (attempt, &event);
      if (!exchange->answer_started)
        start_answer (attempt);
      exchange->answer.ended = true;
    }
  else if (event.outcome == PL_OUTCOME_TRUNCATED)
    {
      exchange->answer_truncated = true;
      exchange->answer.ended = true;
    }
  else
    {
      g_byte_array_set_size (exchange->answer.bytes, 0);
      exchange->answer.read_offset = 0;
    }
  g_clear_pointer (&exchange->call, pl_http_call_unref);
  if (exchange->answer_started)
    pl_exchange_resume (exchange);
  caller_done = exchange->caller_done;
  g_mutex_unlock (&exchange->lock);
  post_outcome (attempt->entry, &event);
  if (caller_done)
    pl_entry_remove (attempt->entry, exchange->id);
  pl_exchange_unref (exchange);
  g_free (attempt);
}

static const struct pl_http_handler attempt_handler = {
    .head_begun = on_head_begun,
    .field = on_field,
    .head_ended = on_head_ended,
    .write = on_write,
    .read = on_read,
    .done = on_done,
};

static GPtrArray *
make_headers (struct pl_entry *entry, struct pl_exchange *exchange, const struct attempt *attempt,
              const struct pl_effect *effect)
{
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);
  const char *account = effect->u.send_request.account;
  int64_t left_us = effect->u.send_request.deadline_us - pl_clock_now_us ();
  g_autofree char *deadline = g_strdup_printf ("%" G_GINT64_FORMAT, MAX (left_us / 1000, 1));

  for (guint i = 0; i < exchange->headers->len; i++)
    g_ptr_array_add (headers, g_strdup (g_ptr_array_index (exchange->headers, i)));
  g_ptr_array_add (headers, g_strdup_printf ("%s: %s", PL_ATTEMPT_ECHO_HEADER, attempt->echo));
  g_ptr_array_add (headers, g_strdup_printf ("Pomelolatch-Deadline-Ms: %s", deadline));
  g_ptr_array_add (headers, g_strdup_printf ("Pomelolatch-Account: %s", account));
  if (attempt->is_forward)
    {
      char mac[65];

      pl_entry_compute_forward_mac (entry, exchange->method, exchange->target, account, deadline,
                                    mac);
      g_ptr_array_add (headers, g_strdup_printf ("Pomelolatch-Peer: %s", mac));
      g_ptr_array_add (headers, g_strdup_printf ("Pomelolatch-Fingerprint: %" G_GUINT64_FORMAT,
                                                 exchange->event.fingerprint));
      g_ptr_array_add (headers, g_strdup_printf ("Pomelolatch-Suspected: %" G_GUINT64_FORMAT,
                                                 effect->u.send_request.suspected_server));
    }
  g_ptr_array_add (headers, NULL);
  return headers;
}

/* Starts the attempt of EFFECT, unless the caller was refused after it had been decided on: the
 * refusal may have said that nothing ran.  The caller holds the exchange's lock. */
void
pl_attempt_start (struct pl_entry *entry, struct pl_exchange *exchange,
                  const struct pl_effect *effect)
{
  struct attempt *attempt;
  g_autofree char *url = g_strdup_printf ("http://%s/", effect->u.send_request.address);
  g_autoptr (GPtrArray) headers = NULL;
  struct pl_http_call_options options = {0};

  if (is_refused (exchange))
    {
      pl_attempt_report_skipped (entry, exchange->id, effect->attempt, PL_OUTCOME_EXPIRED);
      return;
    }
  attempt = g_new0 (struct attempt, 1);
  attempt->entry = entry;
  attempt->exchange = pl_exchange_ref (exchange);
  attempt->number = effect->attempt;
  attempt->is_forward = effect->type == PL_EFFECT_FORWARD;
  attempt->store_answer = effect->u.send_request.store_answer;
  g_snprintf (attempt->echo, sizeof attempt->echo, "%" G_GUINT64_FORMAT "-%u", exchange->id,
              effect->attempt);
  headers = make_headers (entry, exchange, attempt, effect);
  exchange->attempt = effect->attempt;
  exchange->answer_length = -1;
  exchange->answer_received = 0;
  if (!exchange->streamed)
    exchange->body.read_offset = 0;
  options.method = exchange->method;
  options.url = url;
  options.target = exchange->target;
  options.headers = (const char *const *) headers->pdata;
  options.body_length = exchange->body_length;
  options.timeout_us = effect->u.send_request.deadline_us - pl_clock_now_us ();
  /* libcurl resends a request automatically when a kept-alive connection fails, so a request that
   * must run at most once gets a new connection. */
  options.fresh_connection
      = effect->u.send_request.fresh_connection || exchange->event.operation[0] != '\0';
  options.handler = &attempt_handler;
  options.data = attempt;
  pl_http_call_unref (exchange->call);
  exchange->call = pl_http_client_start (entry->options.client, &options);
}

struct probe
{
  struct pl_entry *entry;
  uint64_t server;
};

static void
on_probed (void *data, enum pl_http_end end, int status, const char *text)
{
  struct probe *probe = data;
  struct pl_event event = {.type = PL_EVENT_PROBE};
  json_t *json = end == PL_HTTP_COMPLETE && status == 200 ? json_loads (text, 0, NULL) : NULL;

  event.u.probe.server = probe->server;
  event.u.probe.answered = json != NULL;
  event.u.probe.leaving = json_is_true (json_object_get (json, "leaving"));
  event.u.probe.load = (int) json_integer_value (json_object_get (json, "load"));
  probe->entry->options.post (probe->entry->options.data, &event);
  json_decref (json);
  g_free (probe);
}

void
pl_attempt_probe (struct pl_entry *entry, const struct pl_effect *effect)
{
  struct probe *probe = g_new0 (struct probe, 1);
  g_autofree char *url = g_strdup_printf ("http://%s/health", effect->u.send_request.address);
  struct pl_http_fetch fetch = {
      .method = "GET", .timeout_us = PROBE_TIMEOUT_US, .fresh_connection = true, .done = on_probed};

  probe->entry = entry;
  probe->server = effect->u.send_request.target;
  fetch.url = url;
  fetch.data = probe;
  pl_http_client_fetch (entry->options.client, &fetch);
}
