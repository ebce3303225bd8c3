/* The callers' port, on libmicrohttpd, driven by the reactor.
 *
 * A request is read whole, handed to the router, and its connection suspended until
 * there is an answer.  A suspended connection does not notice that its caller has
 * gone, so a timer peeks at the sockets of those that have waited for a while.
 */
#include "internal/front.h"
#include "internal/clock.h"
#include "internal/keys.h"
#include "internal/log.h"
#include "internal/net.h"
#include "internal/reactor.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* Holds the longest header that callers may send, and a little more. */
#define CONNECTION_MEMORY ((size_t) 20 << 10)
#define CONNECTION_LIMIT 3000u
/* With more than this open, each answer ends its connection: a flood of callers that open one for
 * each try would use up the descriptors otherwise. */
#define CONNECTIONS_KEPT 800u
/* Longer than callers keep an idle connection, so that closing it never meets a request. */
#define CONNECTION_TIMEOUT_S 60u
#define BODY_MAX_DEFAULT ((int64_t) 64 << 20)
/* Bytes of bodies and answers held at once, where the options do not tell. */
#define MEMORY_LIMIT_DEFAULT ((size_t) 64 << 20)
/* Bodies and answers above the first take no more than the second of that, so that those without
 * end leave room for the others. */
#define SMALL_BYTES ((size_t) 64 << 10)
#define LARGE_PERCENT 75
/* Until others' bodies have been sent on. */
#define RETRY_AFTER_NO_ROOM_US INT64_C (300000)
#define WATCH_PERIOD_US INT64_C (100000)
#define WATCH_AFTER_US INT64_C (80000)

/* Header lines that concern one connection, or that are set anew towards a server. */
static const char *const hop_headers[] = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "TE", "Trailer",
    "Upgrade",    "Expect",     "Proxy-Connection",  "Authorization",
};

static bool
is_one_of (const char *name, const char *const *names, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

static bool
may_pass (const struct pl_dialect *dialect, const char *name)
{
  const char *const set_here[] = {dialect->deadline, dialect->account, dialect->expected_server};

  return !is_one_of (name, hop_headers, G_N_ELEMENTS (hop_headers))
         && !is_one_of (name, set_here, G_N_ELEMENTS (set_here));
}

/* Returns the hash of the value of the cookie NAME in the header value TEXT, or 0. */
static uint64_t
hash_cookie (const char *text, const char *name)
{
  size_t length = strlen (name);

  for (const char *at = text; at != NULL && *at != '\0'; at = strchr (at, ';'))
    {
      at += strspn (at, "; ");
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          const char *value = at + length + 1;

          return XXH3_64bits (value, strcspn (value, "; ")) | 1;
        }
    }
  return 0;
}

static void
read_key (struct pl_front_call *call, const char *value)
{
  const char *scheme = call->front->options.dialect->key_scheme;

  if (g_ascii_strncasecmp (value, scheme, strlen (scheme)) != 0)
    return;
  call->has_key = true;
  pl_key_hash (value + strlen (scheme), strlen (value) - strlen (scheme), call->key_hash);
}

static enum MHD_Result
read_header (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  struct pl_front_call *call = data;
  const struct pl_dialect *dialect = call->front->options.dialect;

  (void) kind;
  if (value == NULL)
    value = "";
  if (g_ascii_strcasecmp (name, "Authorization") == 0)
    read_key (call, value);
  else if (g_ascii_strcasecmp (name, dialect->deadline) == 0)
    call->patience_us = g_ascii_strtoll (value, NULL, 10) * 1000;
  else if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    call->body_length = g_ascii_strtoll (value, NULL, 10);
  else if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0)
    call->body_length = -1;
  else if (g_ascii_strcasecmp (name, "Cookie") == 0)
    call->object = hash_cookie (value, dialect->object_cookie);
  else if (g_ascii_strcasecmp (name, dialect->request_id) == 0)
    {
      g_free (call->label);
      call->label = g_strdup (value);
    }
  if (may_pass (dialect, name))
    g_ptr_array_add (call->headers, g_strdup_printf ("%s: %s", name, value));
  return MHD_YES;
}

bool
pl_front_hold (struct pl_front *front, size_t *held, size_t bytes)
{
  size_t limit
      = front->options.memory_limit > 0 ? front->options.memory_limit : MEMORY_LIMIT_DEFAULT;

  if (*held + bytes > SMALL_BYTES)
    limit = limit / 100 * LARGE_PERCENT;
  if (bytes > limit || front->held > limit - bytes)
    return false;
  front->held += bytes;
  front->held_most = MAX (front->held_most, front->held);
  *held += bytes;
  return true;
}

void
pl_front_release (struct pl_front *front, size_t *held)
{
  assert (front->held >= *held);
  front->held -= *held;
  *held = 0;
}

size_t
pl_front_held_bytes (const struct pl_front *front, size_t *most)
{
  *most = front->held_most;
  return front->held;
}

static void
free_call (struct pl_front_call *call)
{
  pl_front_release (call->front, &call->held);
  g_free (call->method);
  g_free (call->target);
  g_free (call->label);
  g_ptr_array_free (call->headers, TRUE);
  g_byte_array_unref (call->body); /* an attempt may still hold it */
  g_ptr_array_free (call->answer_headers, TRUE);
  g_byte_array_free (call->answer, TRUE);
  g_free (call);
}

/* libmicrohttpd calls this with the request line's target as it came. */
static void *
on_target (void *data, const char *target, struct MHD_Connection *connection)
{
  struct pl_front *front = data;
  struct pl_front_call *call = g_new0 (struct pl_front_call, 1);

  call->front = front;
  call->id = ++front->next_id;
  call->connection = connection;
  call->target = g_strdup (target);
  call->label = g_strdup ("");
  call->headers = g_ptr_array_new_with_free_func (g_free);
  call->answer_headers = g_ptr_array_new_with_free_func (g_free);
  call->body = g_byte_array_new ();
  call->answer = g_byte_array_new ();
  g_hash_table_insert (front->calls, &call->id, call);
  return call;
}

static unsigned
connections_open (const struct pl_front *front)
{
  return MHD_get_daemon_info (front->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
}

static enum MHD_Result
queue_answer (struct pl_front_call *call)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      call->answer->len, call->answer->data, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  for (guint i = 0; i < call->answer_headers->len; i++)
    {
      char *line = g_ptr_array_index (call->answer_headers, i);
      char *colon = strchr (line, ':');

      *colon = '\0';
      MHD_add_response_header (response, line, g_strchug (colon + 1));
    }
  if (call->front->closing || connections_open (call->front) > CONNECTIONS_KEPT)
    MHD_add_response_header (response, "Connection", "close");
  result = MHD_queue_response (call->connection, (unsigned) call->status, response);
  MHD_destroy_response (response);
  return result;
}

static void
set_refusal (struct pl_front_call *call, int status, const char *reason, int64_t retry_after_us)
{
  g_autofree char *text = g_strdup_printf ("{\"refused\":\"%s\"}\n", reason);

  call->status = status;
  g_ptr_array_set_size (call->answer_headers, 0);
  g_ptr_array_add (call->answer_headers, g_strdup ("Content-Type: application/json"));
  if (call->label[0] != '\0')
    g_ptr_array_add (
        call->answer_headers,
        g_strdup_printf ("%s: %s", call->front->options.dialect->request_id, call->label));
  if (retry_after_us > 0)
    g_ptr_array_add (call->answer_headers,
                     g_strdup_printf ("Retry-After: %.3f", (double) retry_after_us / 1e6));
  g_byte_array_set_size (call->answer, 0);
  g_byte_array_append (call->answer, (const guint8 *) text, (guint) strlen (text));
}

void
pl_front_finish (struct pl_front_call *call)
{
  call->done = true;
  if (!call->suspended)
    return;
  call->suspended = false;
  call->front->resumed = true;
  MHD_resume_connection (call->connection);
  pl_reactor_again (call->front->options.reactor);
}

static uint64_t
fingerprint_of (const struct pl_front_call *call)
{
  XXH3_state_t state;

  XXH3_64bits_reset (&state);
  XXH3_64bits_update (&state, call->method, strlen (call->method) + 1);
  XXH3_64bits_update (&state, call->target, strlen (call->target) + 1);
  XXH3_64bits_update (&state, call->key_hash, sizeof call->key_hash);
  XXH3_64bits_update (&state, call->body->data, call->body->len);
  return XXH3_64bits_digest (&state);
}

static bool
peer_has_closed (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  return pl_net_peer_has_closed (info->connect_fd);
}

static void
arm_watch (struct pl_front *front)
{
  if (front->watch_armed)
    return;
  front->watch_armed = true;
  pl_reactor_arm (front->options.reactor, front->watch_timer, pl_clock_now_us () + WATCH_PERIOD_US);
}

static void
submit (struct pl_front_call *call)
{
  struct pl_front *front = call->front;
  struct pl_router_event event = {.type = PL_ROUTER_CALL};
  const char *host = MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, "Host");
  g_autofree char *host_name = g_ascii_strdown (host != NULL ? host : "", -1);
  g_autofree char *path = g_strndup (call->target, strcspn (call->target, "?"));

  host_name[strcspn (host_name, ":")] = '\0';
  event.u.call.request = call->id;
  event.u.call.label = call->label;
  event.u.call.host = host_name;
  event.u.call.path = path;
  event.u.call.has_key = call->has_key;
  memcpy (event.u.call.key_hash, call->key_hash, sizeof call->key_hash);
  event.u.call.patience_us = call->patience_us;
  event.u.call.object = call->object;
  event.u.call.fingerprint = fingerprint_of (call);
  event.u.call.body_bytes = call->body->len;
  call->submitted = true;
  call->suspended = true;
  MHD_suspend_connection (call->connection);
  arm_watch (front);
  front->options.post (front->options.data, &event);
}

static int64_t
body_max (const struct pl_front *front)
{
  return front->limits.body_bytes_max > 0 ? front->limits.body_bytes_max : BODY_MAX_DEFAULT;
}

static enum MHD_Result
begin (struct pl_front_call *call, const char *method)
{
  call->begun_us = pl_clock_now_us ();
  call->method = g_strdup (method);
  MHD_get_connection_values (call->connection, MHD_HEADER_KIND, read_header, call);
  if (call->body_length > body_max (call->front))
    {
      set_refusal (call, 413, "body-too-large", 0);
      call->done = true;
      return queue_answer (call);
    }
  return MHD_YES;
}

/* What does not fit is read on, so that the caller gets the refusal, and dropped. */
static void
take_body (struct pl_front_call *call, const char *bytes, size_t length)
{
  call->too_large = call->too_large || call->body->len + length > (size_t) body_max (call->front);
  if (call->too_large || call->no_room)
    return;
  call->no_room = !pl_front_hold (call->front, &call->held, length);
  if (!call->no_room)
    g_byte_array_append (call->body, (const guint8 *) bytes, (guint) length);
}

/* Returns whether CALL is answered without the router. */
static bool
refuse_body (struct pl_front_call *call)
{
  if (call->too_large)
    set_refusal (call, 413, "body-too-large", 0);
  else if (call->no_room)
    {
      set_refusal (call, 503, "no-memory", RETRY_AFTER_NO_ROOM_US);
      pl_log (PL_LOG_WARNING, "body-dropped",
              json_pack ("{s:s,s:I}", "request", call->label, "held_bytes",
                         (json_int_t) call->front->held));
    }
  else
    return false;
  call->done = true;
  return true;
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **context)
{
  struct pl_front_call *call = *context;

  (void) data;
  (void) connection;
  (void) url;
  (void) version;
  if (call->method == NULL)
    return begin (call, method);
  if (*upload_size > 0)
    {
      take_body (call, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (call->done || refuse_body (call))
    return queue_answer (call);
  if (call->submitted)
    return MHD_YES;
  /* On a busy host a request may be read long after its caller has given up. */
  if (peer_has_closed (call->connection))
    return MHD_NO;
  submit (call);
  return MHD_YES;
}

static void
tell_gone (struct pl_front_call *call)
{
  struct pl_router_event event = {.type = PL_ROUTER_CALLER_GONE};

  event.u.request = call->id;
  call->gone = true;
  call->front->options.post (call->front->options.data, &event);
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct pl_front_call *call = *context;

  (void) data;
  (void) connection;
  (void) code;
  if (call == NULL)
    return;
  if (call->submitted && !call->done)
    tell_gone (call);
  pl_front_cancel (call);
  g_hash_table_remove (call->front->calls, &call->id);
  free_call (call);
  *context = NULL;
}

static void
watch_callers (void *data)
{
  struct pl_front *front = data;
  int64_t now_us = pl_clock_now_us ();
  g_autoptr (GPtrArray) gone = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, front->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_front_call *call = value;

      if (call->suspended && !call->gone && now_us - call->begun_us > WATCH_AFTER_US
          && peer_has_closed (call->connection))
        g_ptr_array_add (gone, call);
    }
  for (guint i = 0; i < gone->len; i++)
    tell_gone (g_ptr_array_index (gone, i));
  front->watch_armed = false;
  if (g_hash_table_size (front->calls) > 0)
    arm_watch (front);
}

static void
run_daemon (void *data, int fd, uint32_t ready)
{
  struct pl_front *front = data;

  (void) fd;
  (void) ready;
  front->resumed = false;
  MHD_run (front->daemon);
}

static void
before_wait (void *data)
{
  struct pl_front *front = data;

  if (front->resumed)
    run_daemon (front, -1, 0);
}

struct pl_front *
pl_front_new (const struct pl_front_options *options)
{
  struct pl_front *front = g_new0 (struct pl_front, 1);
  struct sockaddr_in address;
  const union MHD_DaemonInfo *info;
  int fd = -1;

  front->options = *options;
  front->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  if (pl_net_parse (options->address, &address) == 0)
    fd = pl_net_listen (&address);
  if (fd >= 0)
    front->daemon = MHD_start_daemon (
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, front,
        MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK, on_target, front,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, front, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        CONNECTION_MEMORY, MHD_OPTION_CONNECTION_LIMIT, CONNECTION_LIMIT,
        MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S, MHD_OPTION_END);
  if (front->daemon == NULL)
    {
      g_hash_table_destroy (front->calls);
      g_free (front);
      return NULL;
    }
  info = MHD_get_daemon_info (front->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  pl_reactor_watch (options->reactor, info->epoll_fd, EPOLLIN, run_daemon, front);
  pl_reactor_before_wait (options->reactor, before_wait, front);
  front->watch_timer = pl_reactor_timer (options->reactor, watch_callers, front);
  return front;
}

unsigned
pl_front_open_calls (const struct pl_front *front)
{
  return g_hash_table_size (front->calls);
}

void
pl_front_execute (struct pl_front *front, const struct pl_router_effect *effect)
{
  struct pl_front_call *call = g_hash_table_lookup (front->calls, &effect->request);

  switch (effect->type)
    {
    case PL_ROUTER_SEND:
      if (call != NULL)
        pl_front_send (front, call, effect);
      break;
    case PL_ROUTER_DELIVER:
      if (call != NULL)
        pl_front_finish (call);
      break;
    case PL_ROUTER_REFUSE:
      if (call != NULL)
        {
          set_refusal (call, effect->u.refuse.status, effect->u.refuse.reason,
                       effect->u.refuse.retry_after_us);
          pl_front_finish (call);
        }
      break;
    case PL_ROUTER_CANCEL:
      if (call != NULL)
        pl_front_cancel (call);
      /* The caller is gone when nothing follows; resuming has libmicrohttpd find that out. */
      if (call != NULL && call->gone)
        {
          set_refusal (call, 503, "caller-gone", 0);
          pl_front_finish (call);
        }
      break;
    case PL_ROUTER_PROBE:
      pl_front_probe (front, effect);
      break;
    case PL_ROUTER_LIMITS:
      front->limits = effect->u.limits;
      break;
    case PL_ROUTER_CLOSING:
      front->closing = true;
      break;
    case PL_ROUTER_UNLISTEN:
      MHD_quiesce_daemon (front->daemon);
      break;
    default:
      break;
    }
}
