/* Answers that are written to the caller's socket without libmicrohttpd.
 *
 * libmicrohttpd builds the head of an answer in the memory of the connection, of which the request
 * has taken a part, and closes the connection if the rest is too small.  An answer whose head may
 * not fit there is written here, while the connection is suspended, and ends the connection.
 */
#include "internal/clock.h"
#include "internal/front_pipeline.h"
#include "internal/reactor.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>

#define STALLED_US (PL_FRONT_STALLED_S * INT64_C (1000000))
#define DATE_CHARS 40

struct pl_front_direct
{
  struct pl_front_request *request;
  int fd; /* the connection's, watched by libmicrohttpd's own epoll set as well */
  GByteArray *bytes;
  size_t sent;
  bool closes;    /* the caller's connection */
  int64_t due_us; /* when the connection is closed unless there is progress */
};

static bool
has_no_body (const struct pl_front_request *request)
{
  return strcmp (request->method, "HEAD") == 0 || request->status == 204 || request->status == 304;
}

static GByteArray *
build_answer (const struct pl_front_request *request, bool closes)
{
  const char *reason = MHD_get_reason_phrase_for ((unsigned) request->status);
  g_autoptr (GString) head = g_string_new (NULL);
  GByteArray *bytes = g_byte_array_new ();
  char date[DATE_CHARS];
  time_t now = time (NULL);
  struct tm parts;

  strftime (date, sizeof date, "%a, %d %b %Y %H:%M:%S GMT", gmtime_r (&now, &parts));
  g_string_append_printf (head, "HTTP/1.1 %d %s\r\nDate: %s\r\n%s", request->status, reason, date,
                          closes ? "Connection: close\r\n" : "");
  for (guint i = 0; i < request->answer_headers->len; i++)
    g_string_append_printf (head, "%s\r\n",
                            (const char *) g_ptr_array_index (request->answer_headers, i));
  if (!has_no_body (request))
    g_string_append_printf (head, "Content-Length: %u\r\n", request->answer->len);
  g_string_append (head, "\r\n");
  g_byte_array_append (bytes, (const guint8 *) head->str, (guint) head->len);
  if (!has_no_body (request))
    g_byte_array_append (bytes, request->answer->data, request->answer->len);
  return bytes;
}

/* Gives the connection back to libmicrohttpd, which closes it, or the lane only. */
static void
end_direct (struct pl_front_direct *direct)
{
  struct pl_front_request *request = direct->request;

  pl_reactor_watch (request->front->options.reactor, direct->fd, 0, NULL, NULL);
  request->is_written = direct->sent == direct->bytes->len;
  g_byte_array_unref (direct->bytes);
  if (!direct->closes && request->is_written)
    pl_front_retire_lane (request->link);
  g_free (direct);
  request->direct = NULL;
  request->closes = true;
  request->port->needs_run = true;
  MHD_resume_connection (request->connection);
  pl_reactor_skip_wait (request->front->options.reactor);
}

static void
send_part (struct pl_front_direct *direct)
{
  ssize_t sent = send (direct->fd, direct->bytes->data + direct->sent,
                       direct->bytes->len - direct->sent, MSG_DONTWAIT | MSG_NOSIGNAL);

  if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    direct->due_us = 0;
  if (sent <= 0)
    return;
  direct->sent += (size_t) sent;
  direct->due_us = pl_clock_now_us () + STALLED_US;
}

static void
on_socket (void *data, int fd, uint32_t ready)
{
  struct pl_front_direct *direct = data;

  (void) fd;
  (void) ready;
  send_part (direct);
  if (direct->due_us == 0 || direct->sent == direct->bytes->len)
    end_direct (direct);
}

void
pl_front_send_directly (struct pl_front_request *request, bool closes)
{
  struct pl_front_direct *direct = g_new0 (struct pl_front_direct, 1);

  direct->request = request;
  direct->fd = MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD)
                   ->connect_fd;
  direct->bytes = build_answer (request, closes);
  direct->closes = closes;
  direct->due_us = pl_clock_now_us () + STALLED_US;
  request->direct = direct;
  MHD_suspend_connection (request->connection);
  pl_reactor_watch (request->front->options.reactor, direct->fd, EPOLLOUT, on_socket, direct);
}

void
pl_front_check_direct (struct pl_front_request *request, int64_t now_us)
{
  if (request->direct != NULL && request->direct->due_us <= now_us)
    end_direct (request->direct);
}
