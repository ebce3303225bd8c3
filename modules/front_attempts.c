/* One attempt: a request goes to a server, its answer comes back whole or not at all.
 *
 * An answer belongs to a request when it echoes the request's id; without that the
 * connection is given up, since what comes on it next may belong to anything.
 */
#include "internal/front.h"
#include "internal/clock.h"
#include "internal/log.h"
#include "pomelolatch/error.h"

#include <stdlib.h>
#include <string.h>

#define PROBE_LIMIT_US INT64_C (600000)
#define CONNECT_LIMIT_US INT64_C (250000)
/* A server whose host acknowledges nothing is silent, not busy.  Two packets in a row that are lost
 * on the way are made up for by then. */
#define UNACKED_LIMIT_US INT64_C (500000)
/* Servers close connections that were idle for ten seconds.  A request that may run once only must
 * not cross that; one that may be repeated can take the risk. */
#define IDLE_LIMIT_ONCE_S 3
#define IDLE_LIMIT_S 8
/* Bytes of an answer's head, of interim answers before it too; far more than servers send. */
#define HEAD_MAX ((size_t) 64 << 10)
#define ANSWER_MAX ((size_t) 64 << 20)

struct pl_front_attempt
{
  struct pl_front *front;
  uint64_t call; /* its id: the caller may go first */
  uint32_t number;
  int status;
  bool echoed;
  bool not_run;
  bool has_load;
  int running;
  int waiting;
  int slots;
  char *label;
  GPtrArray *headers;
  GByteArray *body; /* of the request; a copy, as the caller may go first */
  size_t body_sent;
  size_t head_length;
  size_t held; /* bytes of head and answer */
  GByteArray *answer;
};

/* Header lines of an answer that are not passed on: of one connection, or set anew. */
static const char *const kept_back[] = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer",
    "Upgrade",    "Date",       "Proxy-Connection",
};

static bool
is_kept_back (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kept_back); i++)
    if (g_ascii_strcasecmp (name, kept_back[i]) == 0)
      return true;
  return false;
}

static void
read_field (struct pl_front_attempt *attempt, const char *name, const char *value)
{
  const struct pl_dialect *dialect = attempt->front->options.dialect;

  if (g_ascii_strcasecmp (name, dialect->request_id) == 0)
    attempt->echoed = strcmp (value, attempt->label) == 0;
  else if (g_ascii_strcasecmp (name, dialect->not_run) == 0)
    attempt->not_run = true;
  else if (g_ascii_strcasecmp (name, dialect->load) == 0)
    attempt->has_load
        = dialect->read_load (value, &attempt->running, &attempt->waiting, &attempt->slots);
  if (!is_kept_back (name))
    g_ptr_array_add (attempt->headers, g_strdup_printf ("%s: %s", name, value));
}

/* Without an echo only a refusal that says that nothing ran is believed. */
static bool
head_is_sound (const struct pl_front_attempt *attempt)
{
  return attempt->echoed || attempt->not_run || attempt->status < 200
         || attempt->status == attempt->front->options.dialect->other_server_status;
}

/* Returns whether LENGTH more bytes of PART of an answer, which has HELD of the MOST that it may
 * have, fit into that and into what this host may hold.  A server whose answer does not end counts
 * as failing, as one whose answer breaks off. */
static bool
make_room (struct pl_front_attempt *attempt, const char *part, size_t held, size_t most,
           size_t length)
{
  bool fits = held + length <= most && pl_front_hold (attempt->front, &attempt->held, length);

  if (!fits)
    pl_log (PL_LOG_WARNING, "answer-dropped",
            json_pack ("{s:s,s:s,s:I,s:I}", "request", attempt->label, "part", part, "answer_bytes",
                       (json_int_t) attempt->held, "held_bytes",
                       (json_int_t) attempt->front->held));
  return fits;
}

static bool
on_header (void *data, const char *line, size_t length)
{
  struct pl_front_attempt *attempt = data;
  g_autofree char *text = g_strchomp (g_strndup (line, length));
  char *colon;

  if (!make_room (attempt, "head", attempt->head_length, HEAD_MAX, length))
    return false;
  attempt->head_length += length;
  if (g_str_has_prefix (text, "HTTP/"))
    {
      const char *space = strchr (text, ' ');

      attempt->status = space != NULL ? atoi (space + 1) : 0;
      attempt->echoed = false;
      g_ptr_array_set_size (attempt->headers, 0);
      return true;
    }
  if (text[0] == '\0')
    return head_is_sound (attempt);
  colon = strchr (text, ':');
  if (colon == NULL)
    return false;
  *colon = '\0';
  read_field (attempt, text, g_strchug (colon + 1));
  return true;
}

static size_t
on_write (void *data, const char *bytes, size_t length)
{
  struct pl_front_attempt *attempt = data;

  if (!make_room (attempt, "body", attempt->answer->len, ANSWER_MAX, length))
    return 0;
  g_byte_array_append (attempt->answer, (const guint8 *) bytes, (guint) length);
  return length;
}

static size_t
on_read (void *data, char *bytes, size_t length)
{
  struct pl_front_attempt *attempt = data;
  size_t part = MIN (length, attempt->body->len - attempt->body_sent);

  memcpy (bytes, attempt->body->data + attempt->body_sent, part);
  attempt->body_sent += part;
  return part;
}

static enum pl_attempt_end
end_of (const struct pl_front_attempt *attempt, enum pl_http_end end)
{
  if (end == PL_HTTP_NOT_SENT)
    return PL_ATTEMPT_NOT_SENT;
  if (end != PL_HTTP_WHOLE)
    return PL_ATTEMPT_BROKEN;
  if (attempt->status == attempt->front->options.dialect->other_server_status)
    return PL_ATTEMPT_MISPLACED;
  if (attempt->not_run)
    return PL_ATTEMPT_NOT_RUN;
  return attempt->echoed ? PL_ATTEMPT_ANSWERED : PL_ATTEMPT_BROKEN;
}

static void
free_attempt (struct pl_front_attempt *attempt)
{
  pl_front_release (attempt->front, &attempt->held);
  g_free (attempt->label);
  g_ptr_array_free (attempt->headers, TRUE);
  g_byte_array_unref (attempt->body);
  g_byte_array_free (attempt->answer, TRUE);
  g_free (attempt);
}

static void
hand_over_answer (struct pl_front_attempt *attempt, struct pl_front_call *call)
{
  GPtrArray *headers = call->answer_headers;
  GByteArray *answer = call->answer;

  call->status = attempt->status;
  call->answer_headers = attempt->headers;
  call->answer = attempt->answer;
  attempt->headers = headers;
  attempt->answer = answer;
  call->held += attempt->held;
  attempt->held = 0;
}

static void
on_done (void *data, enum pl_http_end end, int status)
{
  struct pl_front_attempt *attempt = data;
  struct pl_front *front = attempt->front;
  struct pl_front_call *call = g_hash_table_lookup (front->calls, &attempt->call);
  struct pl_router_event event = {.type = PL_ROUTER_ATTEMPT};

  if (call != NULL && call->attempt_state == attempt)
    {
      event.u.attempt.request = attempt->call;
      event.u.attempt.attempt = attempt->number;
      event.u.attempt.end = end_of (attempt, end);
      event.u.attempt.status = status;
      event.u.attempt.has_load = attempt->has_load;
      event.u.attempt.running = attempt->running;
      event.u.attempt.waiting = attempt->waiting;
      event.u.attempt.slots = attempt->slots;
      if (event.u.attempt.end == PL_ATTEMPT_ANSWERED)
        hand_over_answer (attempt, call);
      call->attempt_state = NULL;
      g_clear_pointer (&call->attempt_call, pl_http_call_unref);
      front->options.post (front->options.data, &event);
    }
  free_attempt (attempt);
}

static const struct pl_http_handler attempt_handler = {on_header, on_write, on_read, on_done};

static GPtrArray *
make_headers (const struct pl_front *front, const struct pl_front_call *call,
              const struct pl_router_effect *effect)
{
  const struct pl_dialect *dialect = front->options.dialect;
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);
  bool accepts = false;
  bool has_type = false;

  for (guint i = 0; i < call->headers->len; i++)
    {
      const char *line = g_ptr_array_index (call->headers, i);

      accepts = accepts || g_ascii_strncasecmp (line, "Accept:", 7) == 0;
      has_type = has_type || g_ascii_strncasecmp (line, "Content-Type:", 13) == 0;
      g_ptr_array_add (headers, g_strdup (line));
    }
  /* libcurl adds these on its own unless it is told not to. */
  if (!accepts)
    g_ptr_array_add (headers, g_strdup ("Accept:"));
  if (!has_type)
    g_ptr_array_add (headers, g_strdup ("Content-Type:"));
  g_ptr_array_add (headers, g_strdup_printf ("%s: %" G_GINT64_FORMAT, dialect->deadline,
                                             MAX (effect->u.send.time_us / 1000, 1)));
  g_ptr_array_add (headers,
                   g_strdup_printf ("%s: %s", dialect->expected_server, effect->u.send.server));
  if (effect->u.send.account[0] != '\0')
    g_ptr_array_add (headers, g_strdup_printf ("%s: %s", dialect->account, effect->u.send.account));
  g_ptr_array_add (headers, NULL);
  return headers;
}

void
pl_front_send (struct pl_front *front, struct pl_front_call *call,
               const struct pl_router_effect *effect)
{
  struct pl_front_attempt *attempt = g_new0 (struct pl_front_attempt, 1);
  g_autofree char *url = g_strdup_printf ("http://%s%s", effect->u.send.address, call->target);
  g_autoptr (GPtrArray) headers = make_headers (front, call, effect);
  struct pl_http_call_options options = {0};

  pl_front_cancel (call);
  attempt->front = front;
  attempt->call = call->id;
  attempt->number = effect->attempt;
  attempt->label = g_strdup (call->label);
  attempt->headers = g_ptr_array_new_with_free_func (g_free);
  attempt->body = g_byte_array_ref (call->body);
  attempt->answer = g_byte_array_new ();
  call->attempt = effect->attempt;
  call->attempt_state = attempt;
  options.method = call->method;
  options.url = url;
  options.headers = (const char *const *) headers->pdata;
  options.body_length = call->body->len;
  /* The router ends an attempt in time; this only bounds what it has forgotten. */
  options.timeout_us = effect->u.send.time_us + G_USEC_PER_SEC;
  options.connect_timeout_us = CONNECT_LIMIT_US;
  options.unacked_limit_us = UNACKED_LIMIT_US;
  options.idle_limit_s = effect->u.send.once ? IDLE_LIMIT_ONCE_S : IDLE_LIMIT_S;
  options.send_once = effect->u.send.once;
  options.handler = &attempt_handler;
  options.data = attempt;
  call->attempt_call = pl_http_client_start (front->options.client, &options);
}

void
pl_front_cancel (struct pl_front_call *call)
{
  if (call->attempt_call == NULL)
    return;
  call->attempt_state = NULL;
  pl_http_call_cancel (call->attempt_call);
  g_clear_pointer (&call->attempt_call, pl_http_call_unref);
}

struct probe
{
  struct pl_front *front;
  char server[PL_SERVER_ID_CHARS];
  bool is_other;
  int64_t cold_us;
};

static bool
on_probe_header (void *data, const char *line, size_t length)
{
  struct probe *probe = data;
  const struct pl_dialect *dialect = probe->front->options.dialect;
  g_autofree char *text = g_strchomp (g_strndup (line, length));
  char *colon = strchr (text, ':');

  if (colon == NULL)
    return true;
  *colon = '\0';
  if (g_ascii_strcasecmp (text, dialect->cold) == 0)
    probe->cold_us = g_ascii_strtoll (colon + 1, NULL, 10) * 1000;
  if (g_ascii_strcasecmp (text, dialect->server_id) == 0)
    probe->is_other = strcmp (g_strchug (colon + 1), probe->server) != 0;
  return true;
}

static void
on_probed (void *data, enum pl_http_end end, int status)
{
  struct probe *probe = data;
  struct pl_front *front = probe->front;
  struct pl_router_event event = {.type = PL_ROUTER_PROBED};

  g_strlcpy (event.u.probed.server, probe->server, sizeof event.u.probed.server);
  event.u.probed.well = end == PL_HTTP_WHOLE && status == 200 && !probe->is_other;
  event.u.probed.cold_us = probe->cold_us;
  front->options.post (front->options.data, &event);
  g_free (probe);
}

static const struct pl_http_handler probe_handler = {on_probe_header, NULL, NULL, on_probed};

void
pl_front_probe (struct pl_front *front, const struct pl_router_effect *effect)
{
  struct probe *probe = g_new0 (struct probe, 1);
  g_autofree char *url
      = g_strdup_printf ("http://%s%s", effect->u.probe.address, effect->u.probe.path);
  struct pl_http_call_options options = {
      .method = "GET",
      .url = url,
      .timeout_us = PROBE_LIMIT_US,
      .connect_timeout_us = CONNECT_LIMIT_US,
      .handler = &probe_handler,
      .data = probe,
  };

  probe->front = front;
  g_strlcpy (probe->server, effect->u.probe.server, sizeof probe->server);
  pl_http_call_unref (pl_http_client_start (front->options.client, &options));
}
