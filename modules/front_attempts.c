/* Attempts: forwards a request to a server and reads its answer, complete or not at all; also
 * probes servers.
 *
 * An answer belongs to an attempt when it arrives on the attempt's connection and echoes the id of
 * the request, whatever else it says: a server may answer twice, the second time where the answer
 * to the next request is due.  After any other answer the attempt has failed, and the connection is
 * closed, since the bytes that follow may belong to any request.
 *
 * Two attempts of a request may run at once, at servers with different addresses.  Each has its own
 * connection, headers and memory.
 */
#include "internal/front.h"
#include "internal/answer_head.h"
#include "internal/clock.h"
#include "internal/log.h"
#include "pomelolatch/error.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#define PROBE_TIMEOUT_US INT64_C (600000)
#define CONNECT_TIMEOUT_US INT64_C (250000)
/* A server whose host acknowledges no TCP segment for this long is unreachable, not busy.  TCP has
 * recovered from the loss of two consecutive packets by then. */
#define UNACKED_LIMIT_US INT64_C (500000)
/* That limit also ends a connection whose receiver has no room.  A busy server reads a body of more
 * than a receive window late, so only the request's time limits how long that may take. */
#define WINDOW_BYTES ((guint) 16 << 10)
/* Servers close connections that have been idle for ten seconds.  A request that must run at most
 * once must not be sent on a connection that is about to be closed; a repeatable one can take the
 * risk. */
#define IDLE_LIMIT_AT_MOST_ONCE_S 3
#define IDLE_LIMIT_S 8
/* Bytes of the head of an answer, including interim (1xx) answers before it; far more than servers
 * send. */
#define HEAD_BYTES_MAX ((size_t) 64 << 10)
#define ANSWER_BYTES_MAX ((size_t) 64 << 20)
/* Of a field line, beside its name and value. */
#define FIELD_MARGIN_BYTES ((size_t) 4)
/* Servers are cold for seconds; a day is as good as forever. */
#define COLD_MAX_MS INT64_C (86400000)
/* Callers honour a fraction of their time, which is seconds. */
#define RETRY_AFTER_MAX_S 3600
/* Characters of a malformed load report in the log. */
#define LOGGED_VALUE_CHARS 64

/* What one head of an answer says.  An interim answer has a head of its own. */
struct answer_head
{
  int status;
  enum pl_answer_id id;
  enum pl_answer_framing framing;
  bool not_run;
  bool has_load;
  struct pl_load_report load;
  enum pl_rate_limit_report rate_limit_report;
  double rate_limit;
  bool is_peer_refusal;
  struct pl_peer_refusal refusal;
};

struct pl_front_attempt
{
  struct pl_front *front;
  uint64_t request; /* by id, since the request may be freed before the attempt */
  uint32_t number;
  struct pl_http_call *call; /* NULL: it has ended, with a whole answer, or was cancelled */
  char *server;              /* its id; NULL: a hand-over */
  struct answer_head head;
  bool is_handover; /* to a peer */
  char *correlation_id;
  GPtrArray *headers;
  GByteArray *body; /* of the request; a reference, since the request may be freed first */
  size_t body_sent;
  size_t head_length;
  size_t buffered_bytes; /* of head and answer */
  GByteArray *answer;
};

/* Headers of an answer that are not forwarded to the caller: they concern one connection only, or
 * the front sets them itself. */
static const char *const unforwarded_headers[] = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",        "Trailer",
    "Upgrade",    "Date",       "Proxy-Connection",  PL_FRONT_REFUSAL_HEADER,
};

static bool
is_unforwarded (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (unforwarded_headers); i++)
    if (g_ascii_strcasecmp (name, unforwarded_headers[i]) == 0)
      return true;
  return false;
}

/* Parses VALUE, the rate limit that SERVER names.  A malformed one says nothing about the limit
 * that is in force. */
static enum pl_rate_limit_report
parse_rate_limit (const struct pl_dialect *dialect, const char *server, const char *value,
                  double *per_second)
{
  if (dialect->read_rate_limit (value, per_second))
    return PL_RATE_LIMIT_NAMED;
  pl_log (PL_LOG_WARNING, "server-limit-malformed",
          json_pack ("{s:s,s:s,s:s}", "server", server, "header", dialect->rate_limit, "value",
                     g_utf8_validate (value, -1, NULL) ? value : "(not UTF-8)"));
  return PL_RATE_LIMIT_UNKNOWN;
}

/* Parses VALUE, the load that SERVER reports.  Returns false, and leaves LOAD as it is, when it is
 * malformed: it says nothing about the load, so that the report before it stays in use. */
static bool
parse_load (struct pl_front *front, const char *server, const char *value,
            struct pl_load_report *load)
{
  const struct pl_dialect *dialect = front->options.dialect;
  g_autofree char *start = NULL;
  g_autofree char *logged = NULL;
  uint64_t left_out;

  if (dialect->read_load (value, load))
    return true;
  if (!pl_load_findings_add (&front->load_findings, &left_out, pl_clock_now_us ()))
    return false;
  start = g_strndup (value, LOGGED_VALUE_CHARS);
  logged = g_utf8_make_valid (start, -1);
  pl_log (PL_LOG_WARNING, "server-load-malformed",
          json_pack ("{s:s,s:s,s:s,s:I}", "server", server, "header", dialect->load, "value",
                     logged, "findings_left_out", (json_int_t) left_out));
  return false;
}

uint64_t
pl_front_malformed_loads (const struct pl_front *front)
{
  return front->load_findings.count;
}

/* Parses VALUE, the number of attempts and the reason of a peer's own refusal. */
static void
parse_peer_refusal (struct answer_head *head, const char *value)
{
  char *reason;

  head->is_peer_refusal = true;
  head->refusal.attempts = (int) CLAMP (g_ascii_strtoll (value, &reason, 10), 0, G_MAXINT / 2);
  g_strlcpy (head->refusal.reason, g_strchug (reason), sizeof head->refusal.reason);
}

/* Of several ids all must be that of the request. */
static void
parse_id (struct pl_front_attempt *attempt, const char *value)
{
  if (strcmp (value, attempt->correlation_id) != 0)
    attempt->head.id = PL_ANSWER_ID_OTHER;
  else if (attempt->head.id == PL_ANSWER_ID_NONE)
    attempt->head.id = PL_ANSWER_ID_OWN;
}

static void
parse_field (struct pl_front_attempt *attempt, const char *name, const char *value)
{
  const struct pl_dialect *dialect = attempt->front->options.dialect;
  struct answer_head *head = &attempt->head;

  if (g_ascii_strcasecmp (name, dialect->request_id) == 0)
    parse_id (attempt, value);
  else if (g_ascii_strcasecmp (name, dialect->not_run) == 0)
    head->not_run = true;
  else if (!attempt->is_handover && g_ascii_strcasecmp (name, dialect->load) == 0)
    head->has_load
        = parse_load (attempt->front, attempt->server, value, &head->load) || head->has_load;
  else if (g_ascii_strcasecmp (name, dialect->rate_limit) == 0)
    head->rate_limit_report = parse_rate_limit (dialect, attempt->server, value, &head->rate_limit);
  else if (attempt->is_handover && g_ascii_strcasecmp (name, PL_FRONT_REFUSAL_HEADER) == 0)
    parse_peer_refusal (head, value);
  else if (attempt->is_handover && g_ascii_strcasecmp (name, "Retry-After") == 0)
    head->refusal.retry_after_us
        = (int64_t) (fmin (fmax (g_ascii_strtod (value, NULL), 0), RETRY_AFTER_MAX_S) * 1e6);
  if (!is_unforwarded (name))
    g_ptr_array_add (attempt->headers, g_strdup_printf ("%s: %s", name, value));
}

/* Returns whether the head belongs to this attempt.  An interim answer may bear no id.  A request
 * without an id has a connection for itself, and an answer without one. */
static bool
is_own_head (const struct pl_front_attempt *attempt)
{
  const struct answer_head *head = &attempt->head;

  return head->id == PL_ANSWER_ID_OWN
         || (head->id == PL_ANSWER_ID_NONE
             && (head->status < 200 || attempt->correlation_id[0] == '\0'));
}

/* Reserves memory for LENGTH more bytes of PART ("head" or "body") of an answer, which has BUFFERED
 * bytes already.  Returns false when PART would exceed LIMIT, or the front its memory limit.  A
 * server that sends an endless answer then counts as failed, like one whose answer is truncated. */
static bool
reserve_answer_memory (struct pl_front_attempt *attempt, const char *part, size_t buffered,
                       size_t limit, size_t length)
{
  bool fits = buffered + length <= limit
              && pl_front_reserve_memory (attempt->front, &attempt->buffered_bytes, length);

  if (!fits)
    {
      g_autofree char *label = g_utf8_make_valid (attempt->correlation_id, -1);

      pl_log (PL_LOG_WARNING, "answer-dropped",
              json_pack ("{s:s,s:s,s:I,s:I}", "request", label, "part", part, "answer_bytes",
                         (json_int_t) attempt->buffered_bytes, "held_bytes",
                         (json_int_t) attempt->front->buffered_bytes));
    }
  return fits;
}

/* Reserves memory for LENGTH bytes of a head. */
static bool
reserve_head_memory (struct pl_front_attempt *attempt, size_t length)
{
  if (!reserve_answer_memory (attempt, "head", attempt->head_length, HEAD_BYTES_MAX, length))
    return false;
  attempt->head_length += length;
  return true;
}

static bool
on_head_begun (void *data, int status, size_t length)
{
  struct pl_front_attempt *attempt = data;

  attempt->head = (struct answer_head){
      .status = status,
      .rate_limit_report = PL_RATE_LIMIT_ABSENT,
  };
  g_ptr_array_set_size (attempt->headers, 0);
  return reserve_head_memory (attempt, length);
}

static bool
on_field (void *data, const char *name, const char *value)
{
  struct pl_front_attempt *attempt = data;

  if (!reserve_head_memory (attempt, strlen (name) + strlen (value) + FIELD_MARGIN_BYTES))
    return false;
  parse_field (attempt, name, value);
  return true;
}

static bool
on_head_ended (void *data, const struct pl_answer_head *head)
{
  struct pl_front_attempt *attempt = data;

  attempt->head.framing = head->is_encoded   ? PL_ANSWER_FRAMING_CHUNKED
                          : head->has_length ? PL_ANSWER_FRAMING_LENGTH
                                             : PL_ANSWER_FRAMING_CLOSE;
  return is_own_head (attempt);
}

static size_t
on_write (void *data, const char *bytes, size_t length)
{
  struct pl_front_attempt *attempt = data;

  if (!reserve_answer_memory (attempt, "body", attempt->answer->len, ANSWER_BYTES_MAX, length))
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

/* Returns whether the body of an answer without a length holds another answer to the same request.
 * Servers may answer twice, and only the connection's end ends such a body. */
static bool
holds_second_answer (const struct pl_front_attempt *attempt)
{
  static const char start[] = "HTTP/1.1 ";
  const GByteArray *body = attempt->answer;
  g_autofree char *id = g_strdup_printf (": %s\r\n", attempt->correlation_id);
  const guint8 *head;

  if (attempt->head.framing != PL_ANSWER_FRAMING_CLOSE || attempt->correlation_id[0] == '\0'
      || body->len == 0)
    return false;
  head = memmem (body->data, body->len, start, strlen (start));
  return head != NULL
         && memmem (head, body->len - (size_t) (head - body->data), id, strlen (id)) != NULL;
}

static enum pl_attempt_end
classify_end (const struct pl_front_attempt *attempt, enum pl_http_end end)
{
  const struct answer_head *head = &attempt->head;

  if (end == PL_HTTP_NOT_SENT)
    return PL_ATTEMPT_NOT_SENT;
  if (end != PL_HTTP_COMPLETE || !is_own_head (attempt) || holds_second_answer (attempt))
    return PL_ATTEMPT_ANSWER_LOST;
  if (head->is_peer_refusal)
    return PL_ATTEMPT_PEER_REFUSED;
  if (head->status == attempt->front->options.dialect->other_server_status)
    return PL_ATTEMPT_OTHER_SERVER;
  return head->not_run ? PL_ATTEMPT_NOT_RUN : PL_ATTEMPT_ANSWERED;
}

static void
free_attempt (struct pl_front_attempt *attempt)
{
  pl_front_release_memory (attempt->front, &attempt->buffered_bytes);
  g_free (attempt->server);
  g_free (attempt->correlation_id);
  g_ptr_array_free (attempt->headers, TRUE);
  g_byte_array_unref (attempt->body);
  g_byte_array_free (attempt->answer, TRUE);
  g_free (attempt);
}

/* STATUS: what the router has decided by. */
static void
move_answer (struct pl_front_attempt *attempt, struct pl_front_request *request, int status)
{
  GPtrArray *headers = request->answer_headers;
  GByteArray *answer = request->answer;

  assert (attempt->head.status == status);
  request->status = status;
  request->answer_headers = attempt->headers;
  request->answer = attempt->answer;
  attempt->headers = headers;
  attempt->answer = answer;
  request->buffered_bytes += attempt->buffered_bytes;
  attempt->buffered_bytes = 0;
}

/* Returns where REQUEST has ATTEMPT, or NULL if it was cancelled. */
static struct pl_front_attempt **
find_slot (struct pl_front_request *request, const struct pl_front_attempt *attempt)
{
  for (int i = 0; i < PL_FRONT_ATTEMPTS_MAX; i++)
    if (request->attempts[i] == attempt)
      return &request->attempts[i];
  return NULL;
}

/* Cancels the attempt in SLOT, or frees it if it has ended. */
static void
drop_attempt (struct pl_front_attempt **slot)
{
  struct pl_front_attempt *attempt = *slot;

  *slot = NULL;
  if (attempt->call == NULL)
    {
      free_attempt (attempt);
      return;
    }
  pl_http_call_cancel (attempt->call); /* on_done() frees it */
  g_clear_pointer (&attempt->call, pl_http_call_unref);
}

static struct pl_front_attempt **
find_number (struct pl_front_request *request, uint32_t number)
{
  for (int i = 0; i < PL_FRONT_ATTEMPTS_MAX; i++)
    if (request->attempts[i] != NULL && request->attempts[i]->number == number)
      return &request->attempts[i];
  return NULL;
}

void
pl_front_cancel_attempt (struct pl_front_request *request, uint32_t number)
{
  struct pl_front_attempt **slot = find_number (request, number);

  if (slot != NULL)
    drop_attempt (slot);
}

void
pl_front_cancel_attempts (struct pl_front_request *request)
{
  for (int i = 0; i < PL_FRONT_ATTEMPTS_MAX; i++)
    if (request->attempts[i] != NULL)
      drop_attempt (&request->attempts[i]);
}

void
pl_front_take_answer (struct pl_front_request *request, uint32_t number, int status)
{
  struct pl_front_attempt **slot = find_number (request, number);

  assert (slot != NULL && (*slot)->call == NULL);
  move_answer (*slot, request, status);
  pl_front_cancel_attempts (request);
}

/* The attempt keeps a whole answer until the router chooses it or another: the answers to two
 * attempts may be there at once. */
static void
on_done (void *data, enum pl_http_end end, int status)
{
  struct pl_front_attempt *attempt = data;
  const struct answer_head *head = &attempt->head;
  struct pl_front *front = attempt->front;
  struct pl_front_request *request = g_hash_table_lookup (front->requests, &attempt->request);
  struct pl_front_attempt **slot = request != NULL ? find_slot (request, attempt) : NULL;
  struct pl_router_event event = {.type = PL_ROUTER_ATTEMPT};

  if (slot == NULL)
    {
      free_attempt (attempt);
      return;
    }
  event.u.attempt.request = attempt->request;
  event.u.attempt.attempt = attempt->number;
  event.u.attempt.end = classify_end (attempt, end);
  event.u.attempt.status = status;
  event.u.attempt.is_new_connection = pl_http_call_opened_connection (attempt->call);
  event.u.attempt.has_load = head->has_load && is_own_head (attempt);
  event.u.attempt.load = head->load;
  /* A truncated answer may have lost the header. */
  if (is_own_head (attempt)
      && (end == PL_HTTP_COMPLETE || head->rate_limit_report == PL_RATE_LIMIT_NAMED))
    event.u.attempt.rate_limit_report = head->rate_limit_report;
  event.u.attempt.rate_limit = head->rate_limit;
  event.u.attempt.refusal = head->refusal;
  event.u.attempt.answer_id = head->id;
  event.u.attempt.answer_framing = head->framing;
  event.u.attempt.answer_bytes = (int64_t) attempt->answer->len;
  g_clear_pointer (&attempt->call, pl_http_call_unref);
  if (event.u.attempt.end != PL_ATTEMPT_ANSWERED)
    drop_attempt (slot);
  front->options.post (front->options.data, &event);
}

static const struct pl_http_handler attempt_handler = {
    .head_begun = on_head_begun,
    .field = on_field,
    .head_ended = on_head_ended,
    .write = on_write,
    .read = on_read,
    .done = on_done,
};

/* Returns the headers that are sent for REQUEST, but for those of the kind of attempt. */
static GPtrArray *
build_headers (const struct pl_front *front, const struct pl_front_request *request,
               int64_t time_left_us)
{
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);
  bool accepts = false;
  bool has_type = false;

  for (guint i = 0; i < request->headers->len; i++)
    {
      const char *line = g_ptr_array_index (request->headers, i);

      accepts = accepts || g_ascii_strncasecmp (line, "Accept:", 7) == 0;
      has_type = has_type || g_ascii_strncasecmp (line, "Content-Type:", 13) == 0;
      g_ptr_array_add (headers, g_strdup (line));
    }
  /* libcurl adds its own values of these unless they are disabled with an empty one. */
  if (!accepts)
    g_ptr_array_add (headers, g_strdup ("Accept:"));
  if (!has_type)
    g_ptr_array_add (headers, g_strdup ("Content-Type:"));
  g_ptr_array_add (headers,
                   g_strdup_printf ("%s: %" G_GINT64_FORMAT, front->options.dialect->deadline,
                                    MAX (time_left_us / 1000, 1)));
  return headers;
}

/* What an attempt at a server and a hand-over differ in. */
struct attempt_options
{
  const char *address;
  const char *server; /* NULL: a hand-over */
  int64_t time_left_us;
  bool at_most_once;
  bool only_kept_connection;
};

/* Records that REQUEST is sent to ADDRESS.  Returns whether it was sent there before. */
static bool
record_address (struct pl_front_request *request, const char *address)
{
  for (guint i = 0; i < request->addresses->len; i++)
    if (strcmp (g_ptr_array_index (request->addresses, i), address) == 0)
      return true;
  g_ptr_array_add (request->addresses, g_strdup (address));
  return false;
}

/* Returns a free slot of REQUEST, where needed that of its oldest attempt: that has ended, and the
 * router has decided on its answer, since it sends a request again only then. */
static struct pl_front_attempt **
make_slot (struct pl_front_request *request)
{
  struct pl_front_attempt **oldest = &request->attempts[0];

  for (int i = 0; i < PL_FRONT_ATTEMPTS_MAX; i++)
    {
      if (request->attempts[i] == NULL)
        return &request->attempts[i];
      if (request->attempts[i]->number < (*oldest)->number)
        oldest = &request->attempts[i];
    }
  assert ((*oldest)->call == NULL);
  drop_attempt (oldest);
  return oldest;
}

/* Starts an attempt with HEADERS, which it takes. */
static void
start_attempt (struct pl_front *front, struct pl_front_request *request, uint32_t number,
               GPtrArray *headers, const struct attempt_options *wanted)
{
  struct pl_front_attempt *attempt = g_new0 (struct pl_front_attempt, 1);
  g_autofree char *url = g_strdup_printf ("http://%s/", wanted->address);
  struct pl_http_call_options options = {0};

  g_ptr_array_add (headers, NULL);
  *make_slot (request) = attempt;
  attempt->front = front;
  attempt->request = request->id;
  attempt->number = number;
  attempt->is_handover = wanted->server == NULL;
  attempt->server = g_strdup (wanted->server);
  attempt->correlation_id = g_strdup (request->correlation_id);
  attempt->headers = g_ptr_array_new_with_free_func (g_free);
  attempt->body = g_byte_array_ref (request->body);
  attempt->answer = g_byte_array_new ();
  options.method = request->method;
  options.url = url;
  options.target = request->target;
  options.headers = (const char *const *) headers->pdata;
  options.body_length = request->body->len;
  /* The router cancels an attempt at its deadline; this only bounds an attempt that it failed to
   * cancel. */
  options.timeout_us = wanted->time_left_us + G_USEC_PER_SEC;
  options.connect_timeout_us = CONNECT_TIMEOUT_US;
  options.unacked_limit_us
      = request->body->len > WINDOW_BYTES ? options.timeout_us : UNACKED_LIMIT_US;
  options.idle_limit_s = wanted->at_most_once ? IDLE_LIMIT_AT_MOST_ONCE_S : IDLE_LIMIT_S;
  options.send_at_most_once = true; /* each send is an attempt of its own */
  options.only_kept_connection = wanted->only_kept_connection;
  /* The answers to two attempts at a request have the same id, and those to requests without an id
   * have none: only the connection tells them apart. */
  options.fresh_connection
      = record_address (request, wanted->address) || request->correlation_id[0] == '\0';
  options.handler = &attempt_handler;
  options.data = attempt;
  attempt->call = pl_http_client_start (front->options.client, &options);
  g_ptr_array_unref (headers);
}

void
pl_front_start_attempt (struct pl_front *front, struct pl_front_request *request,
                        const struct pl_router_effect *effect)
{
  const struct pl_dialect *dialect = front->options.dialect;
  struct attempt_options options = {
      .address = effect->u.send.address,
      .server = effect->u.send.server,
      .time_left_us = effect->u.send.time_left_us,
      .at_most_once = effect->u.send.at_most_once,
      .only_kept_connection = effect->u.send.only_kept_connection,
  };
  GPtrArray *headers = build_headers (front, request, options.time_left_us);

  g_ptr_array_add (headers,
                   g_strdup_printf ("%s: %s", dialect->expected_server, effect->u.send.server));
  if (effect->u.send.account != NULL)
    g_ptr_array_add (headers, g_strdup_printf ("%s: %s", dialect->account, effect->u.send.account));
  start_attempt (front, request, effect->attempt, headers, &options);
}

void
pl_front_start_handover (struct pl_front *front, struct pl_front_request *request,
                         const struct pl_router_effect *effect)
{
  struct attempt_options options = {
      .address = effect->u.hand_over.address,
      .time_left_us = effect->u.hand_over.time_left_us,
      .at_most_once = effect->u.hand_over.at_most_once,
  };
  GPtrArray *headers = build_headers (front, request, options.time_left_us);

  g_ptr_array_add (headers,
                   g_strdup_printf ("%s: %" G_GINT64_FORMAT " %d", PL_FRONT_HANDOVER_HEADER,
                                    effect->u.hand_over.version, effect->u.hand_over.attempts));
  if (request->authorization != NULL)
    g_ptr_array_add (headers, g_strdup (request->authorization));
  start_attempt (front, request, effect->attempt, headers, &options);
}

/* What one head of the answer to a probe says. */
struct probe_head
{
  int status;
  bool names_server;
  bool is_other_server;
  bool has_request_id;
  int64_t cold_us;
  bool has_load;
  struct pl_load_report load;
  enum pl_rate_limit_report rate_limit_report;
  double rate_limit;
};

/* The answer to a probe names its server and bears no id of a request, since probes have none. */
struct probe
{
  struct pl_front *front;
  uint64_t server; /* hash of its id */
  char *server_id;
  struct probe_head head;
};

static bool
on_probe_head_begun (void *data, int status, size_t length)
{
  struct probe *probe = data;

  (void) length;
  probe->head = (struct probe_head){.status = status};
  return true;
}

static bool
on_probe_field (void *data, const char *name, const char *value)
{
  struct probe *probe = data;
  struct probe_head *head = &probe->head;
  const struct pl_dialect *dialect = probe->front->options.dialect;

  if (g_ascii_strcasecmp (name, dialect->request_id) == 0)
    head->has_request_id = value[0] != '\0';
  if (g_ascii_strcasecmp (name, dialect->cold_time) == 0)
    head->cold_us = CLAMP (g_ascii_strtoll (value, NULL, 10), 0, COLD_MAX_MS) * 1000;
  if (g_ascii_strcasecmp (name, dialect->load) == 0)
    head->has_load
        = parse_load (probe->front, probe->server_id, value, &head->load) || head->has_load;
  if (g_ascii_strcasecmp (name, dialect->rate_limit) == 0)
    head->rate_limit_report
        = parse_rate_limit (dialect, probe->server_id, value, &head->rate_limit);
  if (g_ascii_strcasecmp (name, dialect->server_id) == 0)
    {
      head->names_server = true;
      head->is_other_server = strcmp (value, probe->server_id) != 0;
    }
  return true;
}

/* The rest of the connection may belong to any request unless the answer is the probe's. */
static bool
on_probe_head_ended (void *data, const struct pl_answer_head *head)
{
  const struct probe *probe = data;

  return !pl_answer_head_is_final (head)
         || (probe->head.names_server && !probe->head.has_request_id);
}

static void
on_probe_done (void *data, enum pl_http_end end, int status)
{
  struct probe *probe = data;
  const struct probe_head *head = &probe->head;
  struct pl_front *front = probe->front;
  struct pl_router_event event = {.type = PL_ROUTER_PROBED};

  event.u.probed.server = probe->server;
  event.u.probed.connected = end != PL_HTTP_NOT_SENT;
  event.u.probed.healthy = end == PL_HTTP_COMPLETE && status == 200 && !head->is_other_server;
  if (end == PL_HTTP_COMPLETE)
    event.u.probed.cold_us = head->cold_us;
  if (end == PL_HTTP_COMPLETE && !head->is_other_server)
    {
      event.u.probed.has_load = head->has_load;
      event.u.probed.load = head->load;
      event.u.probed.rate_limit_report = head->rate_limit_report;
      event.u.probed.rate_limit = head->rate_limit;
    }
  front->options.post (front->options.data, &event);
  g_free (probe->server_id);
  g_free (probe);
}

static const struct pl_http_handler probe_handler = {
    .head_begun = on_probe_head_begun,
    .field = on_probe_field,
    .head_ended = on_probe_head_ended,
    .done = on_probe_done,
};

void
pl_front_start_probe (struct pl_front *front, const struct pl_router_effect *effect)
{
  struct probe *probe = g_new0 (struct probe, 1);
  g_autofree char *url
      = g_strdup_printf ("http://%s%s", effect->u.probe.address, effect->u.probe.path);
  struct pl_http_call_options options = {
      .method = "GET",
      .url = url,
      .timeout_us = PROBE_TIMEOUT_US,
      .connect_timeout_us = CONNECT_TIMEOUT_US,
      .fresh_connection = effect->u.probe.on_new_connection,
      .handler = &probe_handler,
      .data = probe,
  };

  probe->front = front;
  probe->server = effect->u.probe.server;
  probe->server_id = g_strdup (effect->u.probe.server_id);
  pl_http_call_unref (pl_http_client_start (front->options.client, &options));
}
