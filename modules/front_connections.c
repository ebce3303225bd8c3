/* Which of two libmicrohttpd daemons reads a request.
 *
 * libmicrohttpd parses a request in a memory pool of fixed size that belongs to its connection, and
 * refuses with 431 what does not fit.  A pool for any head within the limit has megabytes, since a
 * field of one byte takes a record of 64.  It takes no real memory before it is used, but
 * libmicrohttpd clears all of it between two requests, so kept connections can not have one.
 *
 * So the front waits for each head itself and measures it with MSG_PEEK.  Connections have a
 * small pool, in the narrow daemon; a head that does not fit there is read by the wide daemon,
 * whose connections end with their answer.  Until its first head is there, a connection belongs to
 * no daemon.  Between two requests it stays with the narrow daemon, suspended.  If the next head is
 * wide, the wide daemon gets a second descriptor of the socket, and the narrow one closes its own
 * when the answer is sent.
 */
#include "internal/clock.h"
#include "internal/front_pipeline.h"
#include "internal/lingering.h"
#include "internal/log.h"
#include "internal/net.h"
#include "internal/reactor.h"
#include "pomelolatch/error.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Of a connection, in bytes: a head of 16 KB, and what most heads take beside it.  Above 32 KB
 * libmicrohttpd maps the memory for each connection. */
#define NARROW_MEMORY ((size_t) 32 << 10)
/* Half of it is for reading, the other half for a record for each byte of the longest head. */
#define WIDE_MEMORY (2 * (HEAD_BYTES_MAX * (FIELD_BYTES + 1)))
/* libmicrohttpd reads into half of a connection's memory, and grows this buffer by parts of what is
 * left while it reads a head. */
#define READ_BUFFER_PART 2
#define READ_BUFFER_GROWTH_PART 8
/* libmicrohttpd's record of a header, parameter or cookie. */
#define FIELD_BYTES ((size_t) 64)
/* Status line, Date, Connection and Content-Length of an answer. */
#define ANSWER_HEAD_MARGIN_BYTES ((size_t) 1024)
#define CONNECTION_LIMIT 3000u
/* Of peers that hand requests over; with those of callers and to servers within a host's file
 * descriptors. */
#define HANDOVER_CONNECTION_LIMIT 500u
/* Longer than callers keep an idle connection, so that the front never closes one on which a
 * request is arriving. */
#define IDLE_TIMEOUT_US INT64_C (60000000)
/* A peer that hands a request over adds fields to its head. */
#define HANDOVER_HEAD_MARGIN_BYTES ((size_t) 4096)
#define HEAD_BYTES_MAX (PL_FRONT_HEAD_BYTES_MAX + HANDOVER_HEAD_MARGIN_BYTES)
#define CHECK_PERIOD_US INT64_C (1000000)
/* By then the wide heads of other requests may have been answered. */
#define MEMORY_RETRY_US INT64_C (50000)
/* A head that waits for memory for longer than this is refused. */
#define MEMORY_WAIT_US INT64_C (300000)

static size_t
memory_of (const struct pl_front_connection *connection)
{
  return connection->is_wide ? WIDE_MEMORY : NARROW_MEMORY;
}

/* Returns how much of a pool of MEMORY bytes a head takes at most, with the bytes that its caller
 * may send behind it. */
static size_t
taken_bytes (size_t memory, size_t head_bytes, size_t field_bytes)
{
  return MAX (memory / READ_BUFFER_PART, head_bytes + memory / READ_BUFFER_GROWTH_PART)
         + field_bytes;
}

static size_t
field_bytes (const struct pl_head_size *size)
{
  return size->fields * FIELD_BYTES + size->copied_bytes;
}

bool
pl_front_head_is_narrow (const struct pl_head_size *size)
{
  return taken_bytes (NARROW_MEMORY, size->bytes, field_bytes (size)) + ANSWER_HEAD_MARGIN_BYTES
         <= NARROW_MEMORY;
}

size_t
pl_front_head_limit (const struct pl_front_port *port)
{
  int64_t configured = port->front->limits.header_bytes_max;
  size_t limit = configured > 0 ? (size_t) MIN (configured, (int64_t) PL_FRONT_HEAD_BYTES_MAX)
                                : PL_FRONT_HEAD_BYTES_DEFAULT;

  return port->takes_handovers ? limit + HANDOVER_HEAD_MARGIN_BYTES : limit;
}

bool
pl_front_head_is_too_long (const struct pl_front_request *request)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  return info != NULL && info->header_size > pl_front_head_limit (request->port);
}

static int64_t
idle_timeout_us (const struct pl_front *front)
{
  return MAX (front->limits.idle_us, IDLE_TIMEOUT_US);
}

static enum MHD_Result
add_field_bytes (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  size_t *bytes = data;

  *bytes += FIELD_BYTES;
  if (kind == MHD_HEADER_KIND && value != NULL && g_ascii_strcasecmp (name, "Cookie") == 0)
    *bytes += strlen (value) + FIELD_BYTES; /* a copy */
  return MHD_YES;
}

size_t
pl_front_measure_taken (const struct pl_front_request *request)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  size_t memory = memory_of (request->link);
  size_t fields = 0;

  if (info == NULL)
    return memory;
  MHD_get_connection_values (request->connection,
                             MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND,
                             add_field_bytes, &fields);
  return taken_bytes (memory, info->header_size, fields);
}

bool
pl_front_answer_head_fits (const struct pl_front_request *request)
{
  size_t bytes = request->taken_bytes + ANSWER_HEAD_MARGIN_BYTES;

  for (guint i = 0; i < request->answer_headers->len; i++)
    bytes += strlen (g_ptr_array_index (request->answer_headers, i)) + 2;
  return bytes <= memory_of (request->link);
}

bool
pl_front_connection_is_wide (const struct pl_front_connection *connection)
{
  return connection->is_wide;
}

bool
pl_front_connection_is_spent (const struct pl_front_connection *connection)
{
  return connection->is_spent;
}

unsigned
pl_front_connections_open (const struct pl_front_port *port)
{
  return g_hash_table_size (port->connections);
}

struct pl_front_connection *
pl_front_new_connection (struct pl_front_port *port, int fd)
{
  struct pl_front_connection *connection = g_new0 (struct pl_front_connection, 1);

  connection->port = port;
  connection->fd = fd;
  connection->feed_fd = -1;
  return connection;
}

void
pl_front_bind_connection (const struct pl_front_connection *connection, int fd)
{
  int bound = dup3 (fd, connection->fd, O_CLOEXEC);

  assert (bound == connection->fd);
  (void) bound;
}

void
pl_front_free_connection (struct pl_front_connection *connection)
{
  if (connection->pipeline != NULL && !connection->is_lane)
    pl_front_end_pipeline (connection->pipeline);
  pl_front_release_memory (connection->port->front, &connection->reserved_bytes);
  g_hash_table_remove (connection->port->connections, connection);
  g_free (connection->answered_id);
  g_free (connection);
}

void
pl_front_resume_connection (struct pl_front_connection *connection)
{
  connection->port->needs_run = true;
  MHD_resume_connection (connection->handle);
  pl_reactor_skip_wait (connection->port->front->options.reactor);
}

void
pl_front_unwatch_connection (struct pl_front_connection *connection)
{
  if (!connection->is_watched)
    return;
  connection->is_watched = false;
  pl_reactor_watch (connection->port->front->options.reactor, connection->fd, 0, NULL, NULL);
}

static void
stop_awaiting (struct pl_front_connection *connection)
{
  connection->awaits_head = false;
  connection->lacks_memory_since_us = 0;
}

static struct pl_lingering_options
lingering_options_of (const struct pl_front_connection *connection)
{
  return (struct pl_lingering_options){.fd = connection->fd,
                                       .until_us = connection->answered_until_us,
                                       .label = connection->answered_id};
}

/* Has the socket of CONNECTION, which libmicrohttpd closes, outlive that. */
static void
linger_on_copy (const struct pl_front_connection *connection)
{
  const struct pl_lingering_options options = lingering_options_of (connection);

  if (!connection->is_lane && !connection->is_reset && !connection->is_spent)
    pl_lingering_close_copy (connection->port->front->lingering, &options);
}

void
pl_front_detach_connection (struct pl_front_connection *connection)
{
  stop_awaiting (connection);
  pl_front_unwatch_connection (connection);
  pl_front_bind_connection (connection, connection->port->front->ended_fd);
  connection->is_spent = true;
  pl_front_resume_connection (connection); /* finds the end */
}

/* Forgets CONNECTION, which libmicrohttpd closes. */
static void
end_connection (struct pl_front_connection *connection)
{
  struct pl_front_connection *origin = connection->origin;

  if (connection->is_lane)
    {
      pl_front_end_lane (connection);
      return;
    }
  pl_front_unwatch_connection (connection);
  connection->port->wide_count -= connection->is_wide;
  if (origin != NULL)
    pl_front_detach_connection (origin);
  pl_front_free_connection (connection);
}

bool
pl_front_give_to_daemon (struct pl_front_connection *connection, struct MHD_Daemon *daemon)
{
  struct pl_front_port *port = connection->port;
  /* No use is made of the address. */
  struct sockaddr_in address = {.sin_family = AF_INET};

  g_hash_table_insert (port->joining, GINT_TO_POINTER (connection->fd), connection);
  /* The daemon closes the descriptor if it fails. */
  if (MHD_add_connection (daemon, connection->fd, (struct sockaddr *) &address, sizeof address)
      != MHD_YES)
    {
      pl_log (PL_LOG_WARNING, "connection-dropped",
              json_pack ("{s:b,s:i}", "wide", connection->is_wide, "error", errno));
      g_hash_table_remove (port->joining, GINT_TO_POINTER (connection->fd));
      end_connection (connection);
      return false;
    }
  port->needs_run = true;
  pl_reactor_skip_wait (port->front->options.reactor);
  return true;
}

static void
read_by_narrow (struct pl_front_connection *connection)
{
  stop_awaiting (connection);
  if (connection->handle != NULL)
    pl_front_resume_connection (connection);
  else
    pl_front_give_to_daemon (connection, connection->port->daemon);
}

/* Returns a connection of the wide daemon for the socket of CONNECTION, which is itself if no
 * daemon has it yet; NULL without a descriptor. */
static struct pl_front_connection *
widen (struct pl_front_connection *connection)
{
  struct pl_front_connection *wide = connection;

  if (connection->handle != NULL)
    {
      int fd = fcntl (connection->fd, F_DUPFD_CLOEXEC, 0);

      if (fd < 0)
        return NULL;
      wide = pl_front_new_connection (connection->port, fd);
      wide->origin = connection;
      wide->has_input = connection->has_input;
      g_hash_table_add (wide->port->connections, wide);
    }
  wide->is_wide = true;
  return wide;
}

/* Returns false if there is no wide daemon and it can not be started. */
static bool
start_wide_daemon (struct pl_front_port *port)
{
  if (port->wide_daemon == NULL)
    port->wide_daemon = pl_front_start_daemon (port, WIDE_MEMORY);
  return port->wide_daemon != NULL;
}

static void
arm_check (struct pl_front *front, int64_t due_us)
{
  if (front->connections_due_us != 0 && front->connections_due_us <= due_us)
    return;
  front->connections_due_us = due_us;
  pl_reactor_arm_timer (front->options.reactor, front->connections_timer, due_us);
}

void
pl_front_close_connection (struct pl_front_connection *connection)
{
  struct pl_front *front = connection->port->front;
  const struct pl_lingering_options options = lingering_options_of (connection);

  assert (connection->handle == NULL);
  stop_awaiting (connection);
  pl_front_unwatch_connection (connection);
  if (connection->is_reset)
    close (connection->fd);
  else
    pl_lingering_close (front->lingering, &options);
  pl_front_free_connection (connection);
}

/* Nothing more is to be read from CONNECTION, which awaits a head. */
static void
end_awaiting (struct pl_front_connection *connection)
{
  const struct pl_lingering_options options = lingering_options_of (connection);

  if (connection->handle == NULL)
    {
      pl_front_close_connection (connection);
      return;
    }
  pl_lingering_close_copy (connection->port->front->lingering, &options);
  pl_front_detach_connection (connection);
}

/* Closes CONNECTION, which awaits a head.  If something has arrived on it, or still does, the
 * kernel resets it, which tells the caller that it has not been read. */
static void
close_unread (struct pl_front_connection *connection)
{
  if (connection->handle != NULL)
    {
      pl_front_detach_connection (connection);
      return;
    }
  pl_front_unwatch_connection (connection);
  close (connection->fd);
  pl_front_free_connection (connection);
}

/* Refuses a request that has not been read. */
static void
refuse_unread (struct pl_front_connection *connection)
{
  static const char answer[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\n"
                               "Connection: close\r\nContent-Length: 0\r\n\r\n";

  pl_log (PL_LOG_WARNING, "head-dropped",
          json_pack ("{s:I}", "held_bytes", (json_int_t) connection->port->front->buffered_bytes));
  if (send (connection->fd, answer, strlen (answer), MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
    pl_log (PL_LOG_INFO, "caller-unreachable", json_pack ("{s:i}", "error", errno));
  end_awaiting (connection);
}

static void
await_memory (struct pl_front_connection *connection)
{
  int64_t now_us = pl_clock_now_us ();

  if (connection->lacks_memory_since_us == 0)
    connection->lacks_memory_since_us = now_us;
  if (now_us - connection->lacks_memory_since_us > MEMORY_WAIT_US)
    refuse_unread (connection);
  else
    arm_check (connection->port->front, now_us + MEMORY_RETRY_US);
}

/* Has the wide daemon read a head of SIZE.  Without memory or a descriptor for it the connection
 * goes on waiting. */
static void
read_by_wide (struct pl_front_connection *connection, const struct pl_head_size *size)
{
  struct pl_front_port *port = connection->port;
  size_t reserved = 0;
  struct pl_front_connection *wide = NULL;

  if (start_wide_daemon (port)
      && pl_front_reserve_memory (port->front, &reserved, size->bytes + field_bytes (size)))
    wide = widen (connection);
  if (wide == NULL)
    {
      pl_front_release_memory (port->front, &reserved);
      await_memory (connection);
      return;
    }
  wide->reserved_bytes = reserved;
  port->wide_count++;
  stop_awaiting (connection);
  pl_front_unwatch_connection (connection);
  pl_front_give_to_daemon (wide, port->wide_daemon);
}

ssize_t
pl_front_peek (const struct pl_front_connection *connection, size_t *limit)
{
  /* One byte more than the limit tells a head that exceeds it. */
  *limit = pl_front_head_limit (connection->port) + 1;
  return recv (connection->fd, connection->port->front->peeked, *limit, MSG_PEEK | MSG_DONTWAIT);
}

static void
look_at_head (struct pl_front_connection *connection)
{
  struct pl_front *front = connection->port->front;
  size_t limit;
  ssize_t received = pl_front_peek (connection, &limit);
  struct pl_head_size size;
  bool is_whole;

  connection->has_input = false;
  if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  is_whole = received > 0 && pl_front_measure_head (front->peeked, (size_t) received, &size);
  if (is_whole && pl_front_begin_pipeline (connection, (size_t) received, size.bytes))
    return;
  connection->has_input = is_whole && (size_t) received > size.bytes;
  if (is_whole && size.has_request_line && !pl_front_head_is_narrow (&size))
    read_by_wide (connection, &size);
  /* What is no request, or too long, libmicrohttpd refuses. */
  else if (is_whole || received == (ssize_t) limit)
    read_by_narrow (connection);
  else if (received <= 0)
    close_unread (connection);
  else if (pl_net_input_has_ended (connection->fd))
    end_awaiting (connection);
}

static void
on_readable (void *data, int fd, uint32_t ready)
{
  struct pl_front_connection *connection = data;

  (void) fd;
  connection->has_ended
      = connection->has_ended || (ready & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if (connection->awaits_head && !pl_front_has_lanes (connection))
    {
      look_at_head (connection);
      return;
    }
  connection->has_input = true;
  pl_front_read_ahead (connection);
}

/* Edge-triggered, as the bytes of an incomplete head stay in the socket.  The watch is kept while
 * requests are processed, which saves two calls to the kernel for each of them and shows what is
 * sent behind them. */
void
pl_front_watch_connection (struct pl_front_connection *connection)
{
  connection->is_watched = true;
  pl_reactor_watch (connection->port->front->options.reactor, connection->fd,
                    EPOLLIN | EPOLLRDHUP | EPOLLET, on_readable, connection);
}

void
pl_front_await_head (struct pl_front_connection *connection)
{
  connection->awaits_head = true;
  connection->awaits_since_us = pl_clock_now_us ();
  arm_check (connection->port->front, connection->awaits_since_us + CHECK_PERIOD_US);
  if (!connection->is_watched)
    pl_front_watch_connection (connection);
  /* An end that came with a head is no event of its own. */
  else if (connection->has_input || connection->has_ended)
    look_at_head (connection);
}

/* Connections that linger have descriptors, too. */
static bool
is_full (const struct pl_front_port *port)
{
  if (port->takes_handovers)
    return pl_front_connections_open (port) >= HANDOVER_CONNECTION_LIMIT;
  return pl_front_connections_open (port) + pl_lingering_count (port->front->lingering)
         >= CONNECTION_LIMIT;
}

void
pl_front_add_connection (struct pl_front_port *port, int fd)
{
  struct pl_front_connection *connection;

  if (is_full (port) && !pl_lingering_make_room (port->front->lingering))
    {
      close (fd);
      return;
    }
  connection = pl_front_new_connection (port, fd);
  g_hash_table_add (port->connections, connection);
  pl_front_await_head (connection);
}

void
pl_front_on_connection (void *data, struct MHD_Connection *handle, void **context,
                        enum MHD_ConnectionNotificationCode code)
{
  struct pl_front_port *port = data;
  struct pl_front_connection *connection = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      int fd = MHD_get_connection_info (handle, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;

      connection = g_hash_table_lookup (port->joining, GINT_TO_POINTER (fd));
      assert (connection != NULL);
      g_hash_table_remove (port->joining, GINT_TO_POINTER (fd));
      connection->handle = handle;
      *context = connection;
      return;
    }
  if (connection == NULL)
    return;
  assert (!connection->awaits_head);
  g_ptr_array_remove (port->between_requests, connection);
  g_ptr_array_remove (port->submitted, connection);
  linger_on_copy (connection);
  end_connection (connection);
}

struct pl_front_connection *
pl_front_connection_of (struct MHD_Connection *handle)
{
  return MHD_get_connection_info (handle, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

void
pl_front_on_request_begun (struct pl_front_connection *connection, struct pl_front_request *request)
{
  connection->request = request;
  g_ptr_array_remove (connection->port->between_requests, connection);
}

void
pl_front_on_head_read (struct pl_front_connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection->handle, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  connection->is_uncounted = connection->is_uncounted || info == NULL;
  connection->read_bytes += info != NULL ? info->header_size : 0;
}

void
pl_front_on_request_ended (struct pl_front_connection *connection, bool is_whole)
{
  struct pl_front_request *request = connection->request;
  struct pl_front_connection *caller = pl_front_caller_of (connection);
  int64_t body_length = request->body_length;

  if (caller != NULL)
    {
      g_free (caller->answered_id);
      caller->answered_id = g_steal_pointer (&request->correlation_id);
      caller->answered_until_us
          = request->caller_timeout_us > 0 ? request->begun_us + request->caller_timeout_us : 0;
    }
  connection->is_uncounted = connection->is_uncounted || body_length < 0;
  connection->read_bytes += (uint64_t) MAX (body_length, 0);
  connection->request = NULL;
  if (connection->is_lane ? is_whole && pl_front_hold_lane (connection)
                          : !connection->is_wide && !connection->is_spent)
    g_ptr_array_add (connection->port->between_requests, connection);
}

void
pl_front_run_daemons (struct pl_front_port *port)
{
  MHD_run (port->daemon);
  if (port->wide_count > 0)
    MHD_run (port->wide_daemon);
  /* Connections that have ended are gone by now, and in one run libmicrohttpd reads a connection
   * once, so that it has read nothing on those that are left. */
  for (guint i = 0; i < port->between_requests->len; i++)
    {
      struct pl_front_connection *connection = g_ptr_array_index (port->between_requests, i);

      if (connection->is_lane)
        {
          pl_front_retire_lane (connection);
          continue;
        }
      /* Its manual asks for calls from handlers only; here the daemon is at rest, on its thread. */
      MHD_suspend_connection (connection->handle);
      pl_front_await_head (connection);
    }
  g_ptr_array_set_size (port->between_requests, 0);
  for (guint i = 0; i < port->submitted->len; i++)
    pl_front_read_ahead (g_ptr_array_index (port->submitted, i));
  g_ptr_array_set_size (port->submitted, 0);
}

static bool
has_more (struct MHD_Daemon *daemon)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;

  return MHD_get_timeout (daemon, &wait_ms) == MHD_YES && wait_ms == 0;
}

bool
pl_front_has_more_to_read (const struct pl_front_port *port)
{
  return has_more (port->daemon) || (port->wide_count > 0 && has_more (port->wide_daemon));
}

/* Returns the connections of PORT on which no request is in progress. */
static GPtrArray *
list_idle (const struct pl_front_port *port)
{
  GPtrArray *idle = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  if (port->connections == NULL)
    return idle;
  g_hash_table_iter_init (&iter, port->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((struct pl_front_connection *) key)->awaits_head && !pl_front_has_lanes (key))
      g_ptr_array_add (idle, key);
  return idle;
}

static void
check_port (struct pl_front_port *port, int64_t now_us)
{
  g_autoptr (GPtrArray) waiting = list_idle (port);

  for (guint i = 0; i < waiting->len; i++)
    {
      struct pl_front_connection *connection = g_ptr_array_index (waiting, i);

      if (now_us - connection->awaits_since_us > idle_timeout_us (port->front))
        end_awaiting (connection);
      else if (connection->lacks_memory_since_us > 0)
        look_at_head (connection);
    }
  if (waiting->len > 0)
    arm_check (port->front, now_us + CHECK_PERIOD_US);
}

void
pl_front_close_idle_connections (struct pl_front_port *port)
{
  g_autoptr (GPtrArray) idle = list_idle (port);

  for (guint i = 0; i < idle->len; i++)
    {
      struct pl_front_connection *connection = g_ptr_array_index (idle, i);

      if (pl_net_unacked_bytes (connection->fd) > 0)
        end_awaiting (connection);
      else
        close_unread (connection);
    }
}

static void
check_connections (void *data)
{
  struct pl_front *front = data;
  int64_t now_us = pl_clock_now_us ();

  front->connections_due_us = 0;
  check_port (&front->callers, now_us);
  check_port (&front->handovers, now_us);
}

int
pl_front_open_daemons (struct pl_front_port *port)
{
  port->daemon = pl_front_start_daemon (port, NARROW_MEMORY);
  if (port->daemon == NULL)
    return PL_ERR_UNAVAILABLE;
  port->connections = g_hash_table_new (NULL, NULL);
  port->joining = g_hash_table_new (NULL, NULL);
  port->between_requests = g_ptr_array_new ();
  port->submitted = g_ptr_array_new ();
  return PL_OK;
}

void
pl_front_start_checks (struct pl_front *front)
{
  front->peeked = g_malloc (HEAD_BYTES_MAX + 1);
  front->connections_timer
      = pl_reactor_add_timer (front->options.reactor, check_connections, front);
}
