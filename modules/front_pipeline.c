/* Pipelined requests, and callers that do not read.
 *
 * libmicrohttpd reads the next request of a connection only when the answer before it is out, and
 * may read the bytes of a later request together with an earlier one.  So once requests are
 * pipelined on a connection, the front reads their heads itself, and gives each to libmicrohttpd on
 * a lane: a connection over a socket pair.  The lane is suspended until all answers before its own
 * have been written.  Then its descriptor is made to refer to the caller's socket, and
 * libmicrohttpd writes the answer there.  Answers that wait their turn are held, and counted, like
 * those of any other suspended request.
 *
 * libmicrohttpd may read from a connection as soon as it is resumed, and after the answer.  What it
 * read of the caller's socket would be lost with the lane.  So a lane refers to that socket only
 * from the callback in which its answer is queued to the one in which it has been written; before
 * it refers to a socket on which nothing arrives, afterwards to one that has ended.
 *
 * Only heads that libmicrohttpd can not refuse are given to lanes (pl_front_head_is_plain()); any
 * other one waits until no lane is in use, and is read from the caller's socket.
 */
#include "internal/front_pipeline.h"
#include "internal/clock.h"
#include "internal/lingering.h"
#include "internal/log.h"
#include "internal/net.h"
#include "internal/reactor.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Requests of a connection that are in progress at once: 8 ahead of the first. */
#define LANES_PER_CONNECTION_MAX 9u
/* Of all connections.  A lane takes two descriptors until its head is read and then one, of the
 * several hundred that a host has beside those of connections. */
#define LANES_MAX 128u
/* What libmicrohttpd takes for a lane. */
#define LANE_BYTES ((size_t) 32 << 10)
/* Of the memory limit; above it no request runs ahead, and callers that do not read are ended
 * early, while there is memory for the others left. */
#define PRESSURE_PERCENT 50
/* Under that pressure, how long a caller may read nothing.  TCP repeats a lost segment, and asks
 * for a full receiver's window, several times by then. */
#define PRESSURE_STALLED_US INT64_C (5000000)
#define READER_CHECK_PERIOD_US INT64_C (500000)

struct pl_front_pipeline
{
  struct pl_front *front;
  struct pl_front_connection *caller; /* NULL: it has ended */
  GQueue lanes;        /* of struct pl_front_connection, in the order of the requests */
  unsigned references; /* of the caller's connection and of all lanes */
  bool closes; /* an answer closes the caller's connection, so nothing more is read from it */
};

bool
pl_front_open_pairs (struct pl_front *front)
{
  int ends[2];

  front->idle_fds[0] = front->idle_fds[1] = front->ended_fd = -1;
  if (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, front->idle_fds) < 0
      || socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) < 0)
    return false;
  close (ends[1]);
  front->ended_fd = ends[0];
  return true;
}

void
pl_front_close_pairs (const struct pl_front *front)
{
  close (front->idle_fds[0]);
  close (front->idle_fds[1]);
  close (front->ended_fd);
}

static void
unref_pipeline (struct pl_front_pipeline *pipeline)
{
  assert (pipeline->references > 0);
  if (--pipeline->references == 0)
    g_free (pipeline);
}

static void
ensure_pipeline (struct pl_front_connection *caller)
{
  struct pl_front_pipeline *pipeline;
  int on = 1;

  if (caller->pipeline != NULL)
    return;
  pipeline = g_new0 (struct pl_front_pipeline, 1);
  pipeline->front = caller->port->front;
  pipeline->caller = caller;
  pipeline->references = 1;
  g_queue_init (&pipeline->lanes);
  caller->pipeline = pipeline;
  pipeline->front->pipelines++;
  /* libmicrohttpd sets it on connections, but can not for a socket pair. */
  setsockopt (caller->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
add_lane (struct pl_front_pipeline *pipeline, struct pl_front_connection *lane)
{
  lane->is_lane = true;
  lane->pipeline = pipeline;
  pipeline->references++;
  pipeline->front->lanes++;
}

/* Returns whether libmicrohttpd has read from CONNECTION only the requests that it has processed,
 * and no bytes behind them.  The kernel counts the caller's end as a byte.  If that hides a byte,
 * the rest is no whole head, unless the byte was a newline, which means nothing there. */
static bool
daemon_holds_no_bytes (const struct pl_front_connection *connection)
{
  struct tcp_info info = {0};
  socklen_t length = sizeof info;
  int unread = 0;
  uint64_t read_bytes;

  if (connection->is_uncounted
      || getsockopt (connection->fd, IPPROTO_TCP, TCP_INFO, &info, &length) < 0
      || length < offsetof (struct tcp_info, tcpi_bytes_received) + sizeof info.tcpi_bytes_received
      || ioctl (connection->fd, SIOCINQ, &unread) < 0)
    return false;
  read_bytes = info.tcpi_bytes_received - (uint64_t) unread;
  return read_bytes == connection->read_bytes || read_bytes == connection->read_bytes + 1;
}

/* Returns a connection for the socket of CONNECTION in its place; NULL without a descriptor. */
static struct pl_front_connection *
replace_connection (struct pl_front_connection *connection)
{
  struct pl_front_port *port = connection->port;
  int fd = fcntl (connection->fd, F_DUPFD_CLOEXEC, 0);
  struct pl_front_connection *caller;

  if (fd < 0)
    return NULL;
  caller = pl_front_new_connection (port, fd);
  caller->awaits_head = true;
  caller->awaits_since_us = pl_clock_now_us ();
  caller->read_bytes = connection->read_bytes;
  caller->pipeline = connection->pipeline;
  if (caller->pipeline != NULL)
    caller->pipeline->caller = caller;
  connection->pipeline = NULL;
  connection->awaits_head = false;
  pl_front_unwatch_connection (connection);
  g_hash_table_remove (port->connections, connection);
  g_hash_table_add (port->connections, caller);
  pl_front_watch_connection (caller);
  ensure_pipeline (caller);
  add_lane (caller->pipeline, connection);
  return caller;
}

/* Reads a head of LENGTH bytes by a lane.  Returns false without a descriptor or memory for it. */
static bool
start_lane (struct pl_front_connection *caller, const char *head, size_t length)
{
  struct pl_front_port *port = caller->port;
  struct pl_front_pipeline *pipeline = caller->pipeline;
  struct pl_front_connection *lane;
  size_t reserved = 0;
  int ends[2];

  if (!pl_front_reserve_memory (port->front, &reserved, LANE_BYTES))
    return false;
  if (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) < 0)
    {
      pl_front_release_memory (port->front, &reserved);
      return false;
    }
  lane = pl_front_new_connection (port, ends[0]);
  lane->feed_fd = ends[1];
  lane->reserved_bytes = reserved;
  add_lane (pipeline, lane);
  if (send (lane->feed_fd, head, length, MSG_NOSIGNAL) != (ssize_t) length)
    {
      close (lane->fd);
      pl_front_end_lane (lane);
      return false;
    }
  if (!pl_front_give_to_daemon (lane, port->daemon))
    return false;
  port->front->requests_ahead += !g_queue_is_empty (&pipeline->lanes);
  g_queue_push_tail (&pipeline->lanes, lane);
  return true;
}

static bool
is_short_of_memory (const struct pl_front *front)
{
  return front->buffered_bytes > front->options.memory_limit / 100 * PRESSURE_PERCENT;
}

static bool
may_start_lane (const struct pl_front_connection *caller)
{
  const struct pl_front_pipeline *pipeline = caller->pipeline;
  const struct pl_front *front = caller->port->front;

  if (pipeline->closes || front->lanes >= LANES_MAX)
    return false;
  /* Without keep-alive the next answer may close the connection. */
  if (pipeline->lanes.length > 0 && (front->keepalive_disabled || is_short_of_memory (front)))
    return false;
  return pipeline->lanes.length < LANES_PER_CONNECTION_MAX;
}

static bool
starts_with_plain_head (const struct pl_front_port *port, const char *text, size_t length,
                        struct pl_head_size *size)
{
  return pl_front_measure_head (text, length, size) && pl_front_head_is_narrow (size)
         && size->bytes <= pl_front_head_limit (port) && pl_front_head_is_plain (text, size->bytes);
}

/* Has the heads read by lanes at the start of the LENGTH bytes that are peeked of CALLER, as far as
 * they may run ahead.  Returns how many bytes they have. */
static size_t
read_heads (struct pl_front_connection *caller, size_t length)
{
  char *peeked = caller->port->front->peeked;
  struct pl_head_size size;
  size_t taken = 0;

  while (may_start_lane (caller)
         && starts_with_plain_head (caller->port, peeked + taken, length - taken, &size)
         && start_lane (caller, peeked + taken, size.bytes))
    taken += size.bytes;
  caller->has_input = taken < length;
  caller->read_bytes += taken;
  if (taken > 0 && recv (caller->fd, peeked, taken, MSG_DONTWAIT) != (ssize_t) taken)
    pl_log (PL_LOG_WARNING, "pipeline-misread", json_pack ("{s:i}", "error", errno));
  return taken;
}

/* Returns whether requests behind that of CONNECTION, which libmicrohttpd is processing, may run
 * ahead. */
static bool
may_run_ahead_of (const struct pl_front_connection *connection)
{
  const struct pl_front_request *request = connection->request;
  const char *persistence;

  if (request == NULL)
    return false;
  persistence = MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, "Connection");
  return request->submitted && request->suspended && !request->answer_ready
         && request->body_length == 0 && request->is_http_1_1
         && strcmp (request->method, "GET") == 0
         && (persistence == NULL || g_ascii_strcasecmp (persistence, "keep-alive") == 0)
         && !connection->is_wide && !connection->is_spent && !request->front->keepalive_disabled
         && !is_short_of_memory (request->front) && request->front->lanes < LANES_MAX;
}

/* Makes CONNECTION, whose request libmicrohttpd is processing, the first lane of a pipeline.
 * Returns the caller's connection; NULL without a descriptor. */
static struct pl_front_connection *
make_first_lane (struct pl_front_connection *connection)
{
  struct pl_front_connection *caller = replace_connection (connection);

  if (caller == NULL)
    return NULL;
  pl_front_bind_connection (connection, caller->port->front->idle_fds[0]);
  g_queue_push_tail (&caller->pipeline->lanes, connection);
  return caller;
}

bool
pl_front_begin_pipeline (struct pl_front_connection *connection, size_t length, size_t first_bytes)
{
  const char *peeked = connection->port->front->peeked;
  struct pl_front_connection *caller = connection;
  struct pl_head_size size;

  if (connection->port->takes_handovers || (connection->pipeline == NULL && length == first_bytes)
      || connection->port->front->lanes >= LANES_MAX
      || !starts_with_plain_head (connection->port, peeked, length, &size))
    return false;
  if (connection->handle != NULL)
    {
      if (!daemon_holds_no_bytes (connection))
        return false;
      caller = replace_connection (connection);
      if (caller == NULL)
        return false;
      pl_front_detach_connection (connection);
    }
  ensure_pipeline (caller);
  /* Without memory for the first one, libmicrohttpd reads it when CALLER is looked at again. */
  if (read_heads (caller, length) == 0)
    {
      if (caller == connection)
        return false;
      pl_front_await_head (caller);
      return true;
    }
  if (caller->has_input)
    pl_front_read_ahead (caller);
  return true;
}

void
pl_front_read_ahead (struct pl_front_connection *connection)
{
  size_t limit;
  ssize_t received;
  struct pl_head_size size;

  if (connection->port->takes_handovers || connection->is_spent)
    return;
  if (!connection->awaits_head)
    {
      if (!may_run_ahead_of (connection))
        return;
      received = pl_front_peek (connection, &limit);
      if (received <= 0
          || !starts_with_plain_head (connection->port, connection->port->front->peeked,
                                      (size_t) received, &size)
          || !daemon_holds_no_bytes (connection))
        return;
      connection = make_first_lane (connection);
      if (connection == NULL)
        return;
    }
  do
    {
      if (!may_start_lane (connection))
        return;
      received = pl_front_peek (connection, &limit);
    }
  while (received > 0 && read_heads (connection, (size_t) received) > 0
         && received == (ssize_t) limit);
}

bool
pl_front_has_lanes (const struct pl_front_connection *connection)
{
  return connection->pipeline != NULL && connection->pipeline->lanes.length > 0;
}

void
pl_front_on_submitted (struct pl_front_connection *connection)
{
  if (connection->feed_fd >= 0)
    {
      pl_front_bind_connection (connection, connection->port->front->idle_fds[0]);
      close (connection->feed_fd);
      connection->feed_fd = -1;
    }
  else if (connection->has_input && !connection->is_lane)
    g_ptr_array_add (connection->port->submitted, connection);
}

bool
pl_front_awaits_turn (const struct pl_front_connection *connection)
{
  return connection->is_lane && !connection->has_turn;
}

bool
pl_front_take_turn (struct pl_front_connection *connection)
{
  struct pl_front_pipeline *pipeline = connection->pipeline;

  if (!pl_front_awaits_turn (connection) || pipeline->caller == NULL)
    return true;
  if (g_queue_peek_head (&pipeline->lanes) != connection)
    return false;
  connection->has_turn = true;
  return true;
}

void
pl_front_bind_turn (struct pl_front_connection *connection)
{
  if (connection->is_lane)
    pl_front_bind_connection (connection, connection->pipeline->caller->fd);
}

bool
pl_front_has_requests_behind (const struct pl_front_connection *connection)
{
  return connection->is_lane && g_queue_peek_tail (&connection->pipeline->lanes) != connection;
}

struct pl_front_connection *
pl_front_caller_of (struct pl_front_connection *connection)
{
  return connection->is_lane ? connection->pipeline->caller : connection;
}

void
pl_front_note_closing (struct pl_front_connection *connection)
{
  if (connection->is_lane)
    connection->pipeline->closes = true;
}

bool
pl_front_caller_has_closed (const struct pl_front_connection *connection)
{
  const struct pl_front_connection *caller
      = connection->is_lane ? connection->pipeline->caller : connection;

  if (caller == NULL)
    return true;
  /* Unread bytes hide the end from recv(). */
  return caller->has_input ? pl_net_input_has_ended (caller->fd)
                           : pl_net_peer_has_closed (caller->fd);
}

/* Ends the caller's connection, and with it all its requests. */
static void
end_caller (struct pl_front_pipeline *pipeline)
{
  if (!g_queue_is_empty (&pipeline->lanes))
    pl_log (PL_LOG_INFO, "pipeline-cut",
            json_pack ("{s:i}", "requests", (int) pipeline->lanes.length));
  pl_front_close_connection (pipeline->caller);
}

static void
free_lane (struct pl_front_connection *lane)
{
  struct pl_front_pipeline *pipeline = lane->pipeline;

  if (lane->feed_fd >= 0)
    close (lane->feed_fd);
  pipeline->front->lanes--;
  pl_front_free_connection (lane);
  unref_pipeline (pipeline);
}

/* Gives the next request its turn. */
static void
advance (struct pl_front_pipeline *pipeline)
{
  struct pl_front_connection *caller = pipeline->caller;
  struct pl_front_connection *lane = g_queue_peek_head (&pipeline->lanes);

  if (lane == NULL)
    {
      pl_front_await_head (caller);
      return;
    }
  if (lane->is_lost)
    {
      end_caller (pipeline);
      return;
    }
  if (lane->request != NULL && lane->request->answer_ready)
    pl_front_finish (lane->request);
  if (caller->has_input)
    pl_front_read_ahead (caller);
}

/* libmicrohttpd may read the next request in the same run, and what a lane reads of the caller's
 * socket is lost. */
bool
pl_front_hold_lane (struct pl_front_connection *lane)
{
  if (!lane->has_turn || lane->is_spent || lane->pipeline->closes)
    return false;
  MHD_suspend_connection (lane->handle);
  return true;
}

void
pl_front_retire_lane (struct pl_front_connection *lane)
{
  struct pl_front_pipeline *pipeline = lane->pipeline;

  g_queue_remove (&pipeline->lanes, lane);
  pl_front_detach_connection (lane);
  if (pipeline->caller != NULL)
    advance (pipeline);
}

void
pl_front_end_lane (struct pl_front_connection *lane)
{
  struct pl_front_pipeline *pipeline = lane->pipeline;

  if (pipeline->caller != NULL && !lane->has_turn && g_queue_find (&pipeline->lanes, lane) != NULL)
    {
      /* The answers before it are still written. */
      lane->handle = NULL;
      lane->is_lost = true;
      if (g_queue_peek_head (&pipeline->lanes) != lane)
        return;
    }
  if (g_queue_remove (&pipeline->lanes, lane) && pipeline->caller != NULL)
    end_caller (pipeline);
  free_lane (lane);
}

void
pl_front_end_pipeline (struct pl_front_pipeline *pipeline)
{
  struct pl_front_connection *lane;

  pipeline->caller = NULL;
  pipeline->front->pipelines--;
  while ((lane = g_queue_pop_head (&pipeline->lanes)) != NULL)
    {
      struct pl_front_request *request = lane->request;

      lane->is_spent = true;
      if (lane->is_lost)
        {
          free_lane (lane);
          continue;
        }
      if (request == NULL)
        continue;
      request->closes = true;
      if (request->answer_ready)
        pl_front_finish (request);
      else if (request->submitted && !request->caller_gone)
        pl_front_report_caller_gone (request);
    }
  unref_pipeline (pipeline);
}

static void
update_progress (struct pl_front_request *request, int64_t now_us)
{
  struct tcp_info info = {0};
  socklen_t length = sizeof info;

  if (now_us < request->progress_check_us)
    return;
  request->progress_check_us = now_us + READER_CHECK_PERIOD_US;
  if (getsockopt (request->link->fd, IPPROTO_TCP, TCP_INFO, &info, &length) < 0
      || info.tcpi_bytes_acked == request->acked_bytes)
    return;
  request->acked_bytes = info.tcpi_bytes_acked;
  request->progress_us = now_us;
}

static gint
compare_progress (gconstpointer a, gconstpointer b)
{
  const struct pl_front_request *first = *(struct pl_front_request *const *) a;
  const struct pl_front_request *second = *(struct pl_front_request *const *) b;

  if (first->progress_us != second->progress_us)
    return first->progress_us < second->progress_us ? -1 : 1;
  return (first->id > second->id) - (first->id < second->id);
}

void
pl_front_note_unread (struct pl_front_request *request, int64_t stalled_us)
{
  g_autofree char *label = g_utf8_make_valid (request->correlation_id, -1);

  request->front->unread_ended++;
  pl_log (PL_LOG_INFO, "answer-unread",
          json_pack ("{s:s,s:I,s:I,s:I}", "request", label, "stalled_us", (json_int_t) stalled_us,
                     "answer_bytes", (json_int_t) request->buffered_bytes, "held_bytes",
                     (json_int_t) request->front->buffered_bytes));
}

/* Has the kernel drop what the caller has not read; libmicrohttpd then finds the end. */
static void
end_unread (struct pl_front_request *request, int64_t now_us)
{
  const struct linger reset = {.l_onoff = 1};
  struct pl_front_connection *caller = pl_front_caller_of (request->link);

  pl_front_note_unread (request, now_us - request->progress_us);
  setsockopt (request->link->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  shutdown (request->link->fd, SHUT_RDWR);
  request->link->is_reset = true;
  if (caller != NULL)
    caller->is_reset = true;
  request->progress_us = now_us;
}

void
pl_front_check_readers (struct pl_front *front, int64_t now_us)
{
  g_autoptr (GPtrArray) writing = g_ptr_array_new ();
  size_t held_bytes = front->buffered_bytes;
  size_t held_max = front->options.memory_limit / 100 * PRESSURE_PERCENT;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, front->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_front_request *request = value;

      if (request->progress_us == 0)
        continue;
      update_progress (request, now_us);
      g_ptr_array_add (writing, request);
    }
  g_ptr_array_sort (writing, compare_progress);
  for (guint i = 0; i < writing->len; i++)
    {
      struct pl_front_request *request = g_ptr_array_index (writing, i);
      int64_t stalled_us = now_us - request->progress_us;

      if (stalled_us
          < (held_bytes > held_max ? PRESSURE_STALLED_US : PL_FRONT_STALLED_S * INT64_C (1000000)))
        break;
      held_bytes -= MIN (held_bytes, request->buffered_bytes);
      end_unread (request, now_us);
    }
}

void
pl_front_metrics (const struct pl_front *front, GString *text)
{
  g_string_append_printf (text,
                          "pomelolatch_requests_ahead_total %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_pipelining_connections %u\n"
                          "pomelolatch_pipeline_lanes %u\n"
                          "pomelolatch_unread_connections_total %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_answers_cut_total %" G_GUINT64_FORMAT "\n",
                          front->requests_ahead, front->pipelines, front->lanes,
                          front->unread_ended, front->answers_cut);
  pl_lingering_metrics (front->lingering, text);
}
