/* The callers' HTTP front: libmicrohttpd, driven by the reactor.
 *
 * A request is read whole and posted to the router; its connection is suspended until the answer
 * is ready.  libmicrohttpd does not detect that the caller closes a suspended connection, so a
 * timer peeks at the sockets of requests that have waited for some time.
 */
#include "internal/front_pipeline.h"
#include "internal/clock.h"
#include "internal/keys.h"
#include "internal/lingering.h"
#include "internal/log.h"
#include "internal/net.h"
#include "internal/reactor.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* Above this number of open connections each answer closes its connection.  Otherwise a flood of
 * callers that open a connection for each attempt would use up the file descriptors. */
#define KEEPALIVE_CONNECTIONS_MAX 800u
/* Above what the front admits, connections that share a socket counted twice. */
#define DAEMON_CONNECTION_LIMIT 8192u
/* Bytes of bodies and answers buffered at once, where the options set no limit. */
#define MEMORY_LIMIT_DEFAULT ((size_t) 64 << 20)
/* Requests and attempts that buffer more than SMALL_BUFFER_BYTES use at most this percentage of the
 * memory limit, so that endless bodies and answers leave memory for the others. */
#define SMALL_BUFFER_BYTES ((size_t) 64 << 10)
#define LARGE_BUFFERS_PERCENT 75
/* By then bodies of other requests have been forwarded and their memory is free again. */
#define RETRY_AFTER_NO_MEMORY_US INT64_C (300000)
/* A caller that waits for longer than a day waits for that. */
#define CALLER_TIMEOUT_MAX_MS INT64_C (86400000)
#define CALLER_CHECK_PERIOD_US INT64_C (100000)
#define CALLER_CHECK_DELAY_US INT64_C (80000)

/* Headers that concern one connection only, or that the host replaces on forwarding. */
static const char *const hop_by_hop_headers[] = {
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
is_forwarded (const struct pl_dialect *dialect, const char *name)
{
  const char *const set_by_host[] = {dialect->deadline, dialect->account, dialect->expected_server,
                                     PL_FRONT_HANDOVER_HEADER, PL_FRONT_REFUSAL_HEADER};

  return !is_one_of (name, hop_by_hop_headers, G_N_ELEMENTS (hop_by_hop_headers))
         && !is_one_of (name, set_by_host, G_N_ELEMENTS (set_by_host));
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
parse_authorization (struct pl_front_request *request, const char *value)
{
  const char *scheme = request->front->options.dialect->key_scheme;

  if (g_ascii_strncasecmp (value, scheme, strlen (scheme)) != 0)
    return;
  request->has_key = true;
  g_free (request->authorization);
  request->authorization = g_strdup_printf ("Authorization: %s", value);
  pl_key_hash (value + strlen (scheme), strlen (value) - strlen (scheme), request->key_hash);
}

static void
parse_handover (struct pl_front_request *request, const char *value)
{
  char *end;

  request->handover_version = g_ascii_strtoll (value, &end, 10);
  request->handover_attempts = (int) CLAMP (g_ascii_strtoll (end, NULL, 10), 0, G_MAXINT / 2);
}

static enum MHD_Result
parse_header (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  struct pl_front_request *request = data;
  const struct pl_dialect *dialect = request->front->options.dialect;

  (void) kind;
  if (value == NULL)
    value = "";
  if (g_ascii_strcasecmp (name, "Authorization") == 0)
    parse_authorization (request, value);
  else if (g_ascii_strcasecmp (name, dialect->deadline) == 0)
    request->caller_timeout_us
        = CLAMP (g_ascii_strtoll (value, NULL, 10), 0, CALLER_TIMEOUT_MAX_MS) * 1000;
  else if (request->port->takes_handovers
           && g_ascii_strcasecmp (name, PL_FRONT_HANDOVER_HEADER) == 0)
    parse_handover (request, value);
  else if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    request->body_length = g_ascii_strtoll (value, NULL, 10);
  else if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0)
    request->body_length = -1;
  else if (g_ascii_strcasecmp (name, "Cookie") == 0)
    request->object = hash_cookie (value, dialect->object_cookie);
  else if (g_ascii_strcasecmp (name, dialect->request_id) == 0)
    {
      g_free (request->correlation_id);
      request->correlation_id = g_strdup (value);
    }
  if (is_forwarded (dialect, name))
    g_ptr_array_add (request->headers, g_strdup_printf ("%s: %s", name, value));
  return MHD_YES;
}

bool
pl_front_reserve_memory (struct pl_front *front, size_t *buffered_bytes, size_t bytes)
{
  size_t limit = front->options.memory_limit;

  if (*buffered_bytes + bytes > SMALL_BUFFER_BYTES)
    limit = limit / 100 * LARGE_BUFFERS_PERCENT;
  if (bytes > limit || front->buffered_bytes > limit - bytes)
    return false;
  front->buffered_bytes += bytes;
  front->buffered_peak = MAX (front->buffered_peak, front->buffered_bytes);
  *buffered_bytes += bytes;
  return true;
}

void
pl_front_release_memory (struct pl_front *front, size_t *buffered_bytes)
{
  assert (front->buffered_bytes >= *buffered_bytes);
  front->buffered_bytes -= *buffered_bytes;
  *buffered_bytes = 0;
}

size_t
pl_front_buffered_bytes (const struct pl_front *front, size_t *peak)
{
  *peak = front->buffered_peak;
  return front->buffered_bytes;
}

static void
free_request (struct pl_front_request *request)
{
  pl_front_release_memory (request->front, &request->buffered_bytes);
  g_free (request->method);
  g_free (request->target);
  g_free (request->correlation_id);
  g_free (request->authorization);
  g_ptr_array_free (request->headers, TRUE);
  g_ptr_array_free (request->addresses, TRUE);
  g_byte_array_unref (request->body); /* an attempt may still have a reference */
  g_ptr_array_free (request->answer_headers, TRUE);
  g_byte_array_free (request->answer, TRUE);
  g_free (request);
}

static void
arm_caller_check (struct pl_front *front)
{
  if (front->caller_check_armed)
    return;
  front->caller_check_armed = true;
  pl_reactor_arm_timer (front->options.reactor, front->caller_check_timer,
                        pl_clock_now_us () + CALLER_CHECK_PERIOD_US);
}

/* Called by libmicrohttpd with the unparsed target of the request line. */
static void *
on_request_target (void *data, const char *target, struct MHD_Connection *connection)
{
  struct pl_front_port *port = data;
  struct pl_front *front = port->front;
  struct pl_front_request *request = g_new0 (struct pl_front_request, 1);

  request->front = front;
  request->port = port;
  request->id = ++front->next_id;
  request->connection = connection;
  request->link = pl_front_connection_of (connection);
  pl_front_on_request_begun (request->link, request);
  request->closes = pl_front_connection_is_spent (request->link);
  request->target = g_strdup (target);
  request->correlation_id = g_strdup ("");
  request->headers = g_ptr_array_new_with_free_func (g_free);
  request->addresses = g_ptr_array_new_with_free_func (g_free);
  request->answer_headers = g_ptr_array_new_with_free_func (g_free);
  request->body = g_byte_array_new ();
  request->answer = g_byte_array_new ();
  g_hash_table_insert (front->requests, &request->id, request);
  request->begun_us = pl_clock_now_us ();
  arm_caller_check (front);
  return request;
}

/* The request is freed, with its answer, after libmicrohttpd has written the answer. */
static enum MHD_Result
queue_response (struct pl_front_request *request, bool closes)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      request->answer->len, request->answer->data, MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result;

  for (guint i = 0; i < request->answer_headers->len; i++)
    {
      char *line = g_ptr_array_index (request->answer_headers, i);
      char *colon = strchr (line, ':');

      *colon = '\0';
      MHD_add_response_header (response, line, g_strchug (colon + 1));
    }
  if (closes)
    MHD_add_response_header (response, "Connection", "close");
  result = MHD_queue_response (request->connection, (unsigned) request->status, response);
  MHD_destroy_response (response);
  return result;
}

/* Returns whether the answer to REQUEST closes the caller's connection. */
static bool
closes_connection (const struct pl_front_request *request)
{
  return !pl_front_has_requests_behind (request->link)
         && (request->front->keepalive_disabled || pl_front_connection_is_wide (request->link)
             || pl_front_connections_open (request->port) > KEEPALIVE_CONNECTIONS_MAX
             || !pl_front_answer_head_fits (request));
}

static enum MHD_Result
queue_answer (struct pl_front_request *request)
{
  bool closes;

  if (pl_front_awaits_turn (request->link))
    {
      request->suspended = true;
      MHD_suspend_connection (request->connection);
      pl_front_finish (request);
      return MHD_YES;
    }
  pl_front_bind_turn (request->link);
  closes = closes_connection (request);
  if (closes)
    pl_front_note_closing (request->link);
  request->progress_us = pl_clock_now_us ();
  request->progress_check_us = request->progress_us;
  arm_caller_check (request->front);
  if (pl_front_answer_head_fits (request))
    return queue_response (request, closes);
  pl_front_send_directly (request, closes);
  return MHD_YES;
}

/* Sets a refusal as the answer.  ATTEMPTS: at servers, which a peer that has handed the request
 * over wants to know. */
static void
set_refusal (struct pl_front_request *request, int status, const char *reason, int attempts,
             int64_t retry_after_us)
{
  g_autofree char *text = g_strdup_printf ("{\"refused\":\"%s\"}\n", reason);

  request->status = status;
  g_ptr_array_set_size (request->answer_headers, 0);
  g_ptr_array_add (request->answer_headers, g_strdup ("Content-Type: application/json"));
  if (request->correlation_id[0] != '\0')
    g_ptr_array_add (request->answer_headers,
                     g_strdup_printf ("%s: %s", request->front->options.dialect->request_id,
                                      request->correlation_id));
  if (request->port->takes_handovers)
    g_ptr_array_add (request->answer_headers,
                     g_strdup_printf ("%s: %d %s", PL_FRONT_REFUSAL_HEADER, attempts, reason));
  if (retry_after_us > 0)
    g_ptr_array_add (request->answer_headers,
                     g_strdup_printf ("Retry-After: %.3f", (double) retry_after_us / 1e6));
  g_byte_array_set_size (request->answer, 0);
  g_byte_array_append (request->answer, (const guint8 *) text, (guint) strlen (text));
}

void
pl_front_finish (struct pl_front_request *request)
{
  request->answer_ready = true;
  if (!request->suspended || !pl_front_take_turn (request->link))
    return;
  request->suspended = false;
  request->port->needs_run = true;
  MHD_resume_connection (request->connection);
  pl_reactor_skip_wait (request->front->options.reactor);
}

static uint64_t
compute_fingerprint (const struct pl_front_request *request)
{
  XXH3_state_t state;

  XXH3_64bits_reset (&state);
  XXH3_64bits_update (&state, request->method, strlen (request->method) + 1);
  XXH3_64bits_update (&state, request->target, strlen (request->target) + 1);
  XXH3_64bits_update (&state, request->key_hash, sizeof request->key_hash);
  XXH3_64bits_update (&state, request->body->data, request->body->len);
  return XXH3_64bits_digest (&state);
}

static void
submit_request (struct pl_front_request *request)
{
  struct pl_front *front = request->front;
  struct pl_router_event event = {.type = PL_ROUTER_CALL};
  const char *host = MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, "Host");
  g_autofree char *host_name = pl_routing_normalize_host (host != NULL ? host : "");
  g_autofree char *path = g_strndup (request->target, strcspn (request->target, "?"));
  g_autofree char *label = g_utf8_make_valid (request->correlation_id, -1);

  event.u.call.request = request->id;
  event.u.call.correlation_id = label;
  event.u.call.host = host_name;
  event.u.call.path = path;
  event.u.call.has_key = request->has_key;
  memcpy (event.u.call.key_hash, request->key_hash, sizeof request->key_hash);
  event.u.call.caller_timeout_us = request->caller_timeout_us;
  event.u.call.object = request->object;
  event.u.call.fingerprint = compute_fingerprint (request);
  event.u.call.body_bytes = request->body->len;
  event.u.call.is_handover = request->port->takes_handovers;
  event.u.call.handover_version = request->handover_version;
  event.u.call.handover_attempts = request->handover_attempts;
  request->submitted = true;
  request->suspended = true;
  MHD_suspend_connection (request->connection);
  pl_front_on_submitted (request->link);
  arm_caller_check (front);
  front->options.post (front->options.data, &event);
}

static int64_t
body_limit (const struct pl_front *front)
{
  return front->limits.body_bytes_max > 0 ? front->limits.body_bytes_max : PL_BODY_BYTES_DEFAULT;
}

static enum MHD_Result
begin_request (struct pl_front_request *request, const char *method, const char *version)
{
  request->method = g_strdup (method);
  request->is_http_1_1 = strcmp (version, "HTTP/1.1") == 0;
  pl_front_on_head_read (request->link);
  request->taken_bytes = pl_front_measure_taken (request);
  MHD_get_connection_values (request->connection, MHD_HEADER_KIND, parse_header, request);
  if (pl_front_head_is_too_long (request))
    {
      set_refusal (request, 431, "head-too-large", 0, 0);
      request->answer_ready = true;
      return queue_answer (request);
    }
  if (request->body_length > body_limit (request->front))
    {
      set_refusal (request, 413, "body-too-large", 0, 0);
      request->answer_ready = true;
      return queue_answer (request);
    }
  return MHD_YES;
}

/* A body that exceeds a limit is still read to its end, and discarded, so that the caller gets the
 * refusal. */
static void
append_body (struct pl_front_request *request, const char *bytes, size_t length)
{
  request->too_large
      = request->too_large || request->body->len + length > (size_t) body_limit (request->front);
  if (request->too_large || request->no_memory)
    return;
  request->no_memory = !pl_front_reserve_memory (request->front, &request->buffered_bytes, length);
  if (!request->no_memory)
    g_byte_array_append (request->body, (const guint8 *) bytes, (guint) length);
}

/* Refuses a request whose body exceeded a limit, without posting it to the router.  Returns whether
 * the request was refused. */
static bool
refuse_unbuffered_body (struct pl_front_request *request)
{
  if (request->too_large)
    set_refusal (request, 413, "body-too-large", 0, 0);
  else if (request->no_memory)
    {
      g_autofree char *label = g_utf8_make_valid (request->correlation_id, -1);

      set_refusal (request, 503, "no-memory", 0, RETRY_AFTER_NO_MEMORY_US);
      pl_log (PL_LOG_WARNING, "body-dropped",
              json_pack ("{s:s,s:I}", "request", label, "held_bytes",
                         (json_int_t) request->front->buffered_bytes));
    }
  else
    return false;
  request->answer_ready = true;
  return true;
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **context)
{
  struct pl_front_request *request = *context;

  (void) data;
  (void) connection;
  (void) url;
  if (request->closes)
    return MHD_NO;
  if (request->method == NULL)
    return begin_request (request, method, version);
  if (*upload_size > 0)
    {
      append_body (request, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (request->answer_ready || refuse_unbuffered_body (request))
    return queue_answer (request);
  if (request->submitted)
    return MHD_YES;
  /* A busy host may read a request long after its caller has given up.  A caller that has only
   * ended its sending side gets the refusal. */
  if (pl_front_caller_has_closed (request->link))
    {
      set_refusal (request, 503, "caller-gone", 0, 0);
      request->answer_ready = true;
      return queue_answer (request);
    }
  submit_request (request);
  return MHD_YES;
}

void
pl_front_report_caller_gone (struct pl_front_request *request)
{
  struct pl_router_event event = {.type = PL_ROUTER_CALLER_GONE};

  event.u.request = request->id;
  request->caller_gone = true;
  request->front->options.post (request->front->options.data, &event);
}

/* Counts and logs that the connection of REQUEST ended before its answer was written. */
static void
note_cut (const struct pl_front_request *request)
{
  g_autofree char *label = g_utf8_make_valid (request->correlation_id, -1);

  request->front->answers_cut++;
  pl_log (PL_LOG_INFO, "answer-cut",
          json_pack ("{s:s,s:s,s:i,s:I}", "request", label, "reason", "not-written", "status",
                     request->status, "answer_bytes", (json_int_t) request->answer->len));
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct pl_front_request *request = *context;

  (void) data;
  (void) connection;
  if (request == NULL)
    return;
  assert (request->direct == NULL);
  if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED && request->answer_ready)
    pl_front_note_unread (request, PL_FRONT_STALLED_S * INT64_C (1000000));
  else if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && request->answer_ready
           && !request->caller_gone && !request->is_written && !request->link->is_reset)
    note_cut (request);
  if (request->submitted && !request->answer_ready && !request->caller_gone)
    pl_front_report_caller_gone (request);
  pl_front_cancel_attempts (request);
  pl_front_on_request_ended (request->link, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  g_hash_table_remove (request->front->requests, &request->id);
  free_request (request);
  *context = NULL;
}

static void accept_again (struct pl_front_port *port);

/* libmicrohttpd does not find the end of a connection that has come together with a part of a
 * request, since that is one event of its edge-triggered epoll set.  Ends the connection then. */
static void
end_if_incomplete (const struct pl_front_request *request)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  if (pl_net_peer_has_closed (info->connect_fd))
    shutdown (info->connect_fd, SHUT_RDWR);
}

static void
check_callers (void *data)
{
  struct pl_front *front = data;
  int64_t now_us = pl_clock_now_us ();
  g_autoptr (GPtrArray) gone = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, front->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_front_request *request = value;

      if (request->suspended && !request->caller_gone && !request->answer_ready
          && now_us - request->begun_us > CALLER_CHECK_DELAY_US
          && pl_front_caller_has_closed (request->link))
        g_ptr_array_add (gone, request);
      else if (!request->submitted && !request->answer_ready
               && now_us - request->begun_us > CALLER_CHECK_DELAY_US)
        end_if_incomplete (request);
      pl_front_check_direct (request, now_us);
    }
  for (guint i = 0; i < gone->len; i++)
    pl_front_report_caller_gone (g_ptr_array_index (gone, i));
  pl_front_check_readers (front, now_us);
  front->caller_check_armed = false;
  accept_again (&front->callers);
  accept_again (&front->handovers);
  if (g_hash_table_size (front->requests) > 0)
    arm_caller_check (front);
}

/* libmicrohttpd reads a part of what has arrived on a connection at each run, and its epoll
 * descriptor, which is edge-triggered inside, does not tell that there is more. */
static void
run_port (void *data, int fd, uint32_t ready)
{
  struct pl_front_port *port = data;

  (void) fd;
  (void) ready;
  port->needs_run = false;
  pl_front_run_daemons (port);
  if (!pl_front_has_more_to_read (port))
    return;
  port->needs_run = true;
  pl_reactor_skip_wait (port->front->options.reactor);
}

static void
run_ports (void *data)
{
  struct pl_front *front = data;

  if (front->callers.needs_run)
    run_port (&front->callers, -1, 0);
  if (front->handovers.needs_run)
    run_port (&front->handovers, -1, 0);
}

static int
open_spare (void)
{
  return open ("/dev/null", O_RDONLY | O_CLOEXEC);
}

/* Accepts one connection when no descriptor is free, and closes it, so that its caller tries
 * another host.  Returns whether there was one. */
static bool
drop_connection (struct pl_front_port *port)
{
  struct pl_front *front = port->front;
  int fd = -1;

  /* Another thread may have taken the descriptor the last time. */
  if (front->spare_fd < 0)
    front->spare_fd = open_spare ();
  if (front->spare_fd < 0)
    return false;
  close (front->spare_fd);
  fd = accept (port->listener, NULL, NULL);
  if (fd >= 0)
    close (fd);
  front->spare_fd = open_spare ();
  return fd >= 0;
}

/* Accepts what the kernel has completed.  Connections beyond the limit are closed, as in the queue
 * they would be neither read nor refused. */
static void
accept_connections (void *data, int listener, uint32_t ready)
{
  struct pl_front_port *port = data;

  (void) ready;
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd >= 0)
        pl_front_add_connection (port, fd);
      else if (errno == EMFILE || errno == ENFILE)
        {
          if (pl_lingering_make_room (port->front->lingering) || drop_connection (port))
            continue;
          /* The wait would end at once until there is a descriptor. */
          pl_reactor_watch (port->front->options.reactor, listener, 0, NULL, NULL);
          port->accepts_later = true;
          arm_caller_check (port->front);
          break;
        }
      else if (errno != EINTR && errno != ECONNABORTED)
        break;
    }
}

/* Watches the listening socket again after a lack of descriptors. */
static void
accept_again (struct pl_front_port *port)
{
  if (!port->accepts_later)
    return;
  port->accepts_later = false;
  if (port->listener >= 0)
    pl_reactor_watch (port->front->options.reactor, port->listener, EPOLLIN, accept_connections,
                      port);
}

struct MHD_Daemon *
pl_front_start_daemon (struct pl_front_port *port, size_t memory)
{
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_USE_NO_LISTEN_SOCKET | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      on_request, port->front, MHD_OPTION_URI_LOG_CALLBACK, on_request_target, port,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, port->front, MHD_OPTION_NOTIFY_CONNECTION,
      pl_front_on_connection, port, MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory,
      MHD_OPTION_CONNECTION_LIMIT, DAEMON_CONNECTION_LIMIT, MHD_OPTION_CONNECTION_TIMEOUT,
      PL_FRONT_STALLED_S, MHD_OPTION_END);
  const union MHD_DaemonInfo *info;

  if (daemon == NULL)
    return NULL;
  info = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_EPOLL_FD);
  pl_reactor_watch (port->front->options.reactor, info->epoll_fd, EPOLLIN, run_port, port);
  return daemon;
}

/* Opens PORT at ADDRESS.  Returns false if that fails. */
static bool
open_port (struct pl_front *front, struct pl_front_port *port, const char *address)
{
  struct sockaddr_in parsed;

  port->front = front;
  if (pl_net_parse (address, &parsed) < 0 || (port->listener = pl_net_listen (&parsed)) < 0)
    return false;
  if (pl_front_open_daemons (port) < 0)
    {
      close (port->listener);
      return false;
    }
  fcntl (port->listener, F_SETFL, fcntl (port->listener, F_GETFL) | O_NONBLOCK);
  pl_reactor_watch (front->options.reactor, port->listener, EPOLLIN, accept_connections, port);
  return true;
}

/* The connections that wait in the queue are accepted first. */
static void
stop_listening (struct pl_front_port *port)
{
  if (port->daemon == NULL || port->listener < 0)
    return;
  accept_connections (port, port->listener, 0);
  pl_reactor_watch (port->front->options.reactor, port->listener, 0, NULL, NULL);
  close (port->listener);
  port->listener = -1;
}

static void
close_port (struct pl_front_port *port)
{
  stop_listening (port);
  if (port->daemon != NULL)
    MHD_stop_daemon (port->daemon);
}

struct pl_front *
pl_front_new (const struct pl_front_options *options)
{
  struct pl_front *front = g_new0 (struct pl_front, 1);

  front->options = *options;
  if (front->options.memory_limit == 0)
    front->options.memory_limit = MEMORY_LIMIT_DEFAULT;
  front->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  front->handovers.takes_handovers = true;
  front->spare_fd = open_spare ();
  if (!pl_front_open_pairs (front) || !open_port (front, &front->callers, options->address)
      || (options->handover_address != NULL
          && !open_port (front, &front->handovers, options->handover_address)))
    {
      close_port (&front->callers);
      close (front->spare_fd);
      pl_front_close_pairs (front);
      g_hash_table_destroy (front->requests);
      g_free (front);
      return NULL;
    }
  front->lingering = pl_lingering_new (options->reactor);
  pl_reactor_add_wait_hook (options->reactor, run_ports, front);
  pl_front_start_checks (front);
  front->caller_check_timer = pl_reactor_add_timer (options->reactor, check_callers, front);
  return front;
}

unsigned
pl_front_open_requests (const struct pl_front *front)
{
  return g_hash_table_size (front->requests);
}

struct pl_lingering *
pl_front_lingering (const struct pl_front *front)
{
  return front->lingering;
}

void
pl_front_close_idle (struct pl_front *front)
{
  pl_front_close_idle_connections (&front->callers);
  pl_front_close_idle_connections (&front->handovers);
}

void
pl_front_execute (struct pl_front *front, const struct pl_router_effect *effect)
{
  struct pl_front_request *request = g_hash_table_lookup (front->requests, &effect->request);

  switch (effect->type)
    {
    case PL_ROUTER_SEND:
      if (request != NULL)
        pl_front_start_attempt (front, request, effect);
      break;
    case PL_ROUTER_HAND_OVER:
      if (request != NULL)
        pl_front_start_handover (front, request, effect);
      break;
    case PL_ROUTER_DELIVER:
      if (request != NULL)
        {
          pl_front_take_answer (request, effect->attempt, effect->u.deliver.status);
          pl_front_finish (request);
        }
      break;
    case PL_ROUTER_REFUSE:
      if (request != NULL)
        {
          set_refusal (request, effect->u.refuse.status, effect->u.refuse.reason,
                       effect->u.refuse.attempts, effect->u.refuse.retry_after_us);
          pl_front_finish (request);
        }
      break;
    case PL_ROUTER_CANCEL:
      if (request != NULL)
        pl_front_cancel_attempt (request, effect->attempt);
      break;
    case PL_ROUTER_PROBE:
      pl_front_start_probe (front, effect);
      break;
    case PL_ROUTER_SET_LIMITS:
      front->limits = effect->u.limits;
      if (front->limits.header_bytes_max > (int64_t) PL_FRONT_HEAD_BYTES_MAX)
        pl_log (PL_LOG_WARNING, "head-limit-capped",
                json_pack ("{s:I,s:I}", "configured", (json_int_t) front->limits.header_bytes_max,
                           "bytes", (json_int_t) PL_FRONT_HEAD_BYTES_MAX));
      break;
    case PL_ROUTER_DISABLE_KEEPALIVE:
      front->keepalive_disabled = true;
      break;
    case PL_ROUTER_STOP_LISTENING:
      stop_listening (&front->callers);
      stop_listening (&front->handovers);
      break;
    default:
      break;
    }
}
