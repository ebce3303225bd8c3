/* Lingering close: see lingering.h.
 *
 * How long a connection lingers follows from its peer's deadline.  A peer without one has a fixed
 * time since it last received something; one that only sends does not prolong that.
 */
#include "internal/lingering.h"
#include "internal/clock.h"
#include "internal/log.h"
#include "internal/net.h"
#include "internal/reactor.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* After the end of its sending side, whatever its peer's deadline; a few round trips. */
#define LINGER_MIN_US INT64_C (1000000)
/* Without a deadline, since the peer last received something.  TCP repeats a lost segment several
 * times by then. */
#define STALLED_US INT64_C (5000000)
/* Between two checks of what is due. */
#define CHECK_PERIOD_US INT64_C (50000)
#define DISCARD_BYTES 16384
/* Parts that are read of a connection that can not linger: more than the kernel usually buffers. */
#define DISCARDED_PARTS_MAX 32
/* Connections that pl_lingering_make_room() looks at. */
#define SCANNED_MAX 16

struct lingering_socket
{
  struct pl_lingering *lingering;
  GList link; /* in lingering->sockets */
  int fd;
  bool has_deadline;
  int64_t due_us;
  int unacked_bytes; /* when it was checked last */
  char *label;       /* NULL: none */
};

struct pl_lingering
{
  struct pl_reactor *reactor;
  int timer;
  int64_t timer_due_us; /* INT64_MAX: it is not armed */
  GQueue sockets;       /* of struct lingering_socket, the oldest first */
  uint64_t total;       /* connections that had to linger */
  uint64_t cut;         /* those closed before their peer had received all bytes */
};

/* Reads once.  Returns whether nothing more can arrive. */
static bool
discard_part (int fd, ssize_t *received)
{
  char bytes[DISCARD_BYTES];

  do
    *received = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
  while (*received < 0 && errno == EINTR);
  return *received == 0 || (*received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Returns how many bytes of data the peer has not received.  The kernel counts the end as one. */
static int
unacked_bytes_of (int fd)
{
  return MAX (pl_net_unacked_bytes (fd) - 1, 0);
}

/* Counts and logs that FD is closed for REASON, if its peer has not received all bytes. */
static void
note_cut (struct pl_lingering *lingering, int fd, const char *label, const char *reason)
{
  int unacked_bytes = unacked_bytes_of (fd);
  g_autofree char *text = NULL;

  if (unacked_bytes == 0)
    return;
  text = label != NULL ? g_utf8_make_valid (label, -1) : NULL;
  lingering->cut++;
  pl_log (PL_LOG_INFO, "answer-cut",
          json_pack ("{s:s?,s:s,s:i}", "request", text, "reason", reason, "unacked_bytes",
                     unacked_bytes));
}

static void
end_socket (struct lingering_socket *socket)
{
  struct pl_lingering *lingering = socket->lingering;

  pl_reactor_watch (lingering->reactor, socket->fd, 0, NULL, NULL);
  close (socket->fd);
  g_queue_unlink (&lingering->sockets, &socket->link);
  g_free (socket->label);
  g_free (socket);
}

/* Discards a part of the input of FD, whose answer was to LABEL.  Returns whether its peer can not
 * cause a reset any more. */
static bool
discard_input (struct pl_lingering *lingering, int fd, const char *label)
{
  ssize_t received;
  bool has_ended = discard_part (fd, &received);

  if (has_ended && received < 0)
    note_cut (lingering, fd, label, "reset-by-peer");
  return has_ended;
}

static void
on_socket (void *data, int fd, uint32_t ready)
{
  struct lingering_socket *socket = data;

  (void) ready;
  if (discard_input (socket->lingering, fd, socket->label))
    end_socket (socket);
}

static void
arm_timer (struct pl_lingering *lingering, int64_t due_us)
{
  if (due_us >= lingering->timer_due_us)
    return;
  lingering->timer_due_us = due_us;
  pl_reactor_arm_timer (lingering->reactor, lingering->timer, due_us);
}

/* Returns whether the peer of SOCKET, which has no deadline, has received something since the last
 * check; then SOCKET gets more time. */
static bool
prolong (struct lingering_socket *socket, int64_t now_us)
{
  int unacked_bytes = unacked_bytes_of (socket->fd);

  if (socket->has_deadline || unacked_bytes >= socket->unacked_bytes)
    return false;
  socket->unacked_bytes = unacked_bytes;
  socket->due_us = now_us + STALLED_US;
  return true;
}

static void
check_sockets (void *data)
{
  struct pl_lingering *lingering = data;
  int64_t now_us = pl_clock_now_us ();
  int64_t next_us = INT64_MAX;
  GList *next;

  lingering->timer_due_us = INT64_MAX;
  for (GList *link = lingering->sockets.head; link != NULL; link = next)
    {
      struct lingering_socket *socket = link->data;

      next = link->next;
      if (socket->due_us > now_us || prolong (socket, now_us))
        {
          next_us = MIN (next_us, socket->due_us);
          continue;
        }
      note_cut (lingering, socket->fd, socket->label, "timeout");
      end_socket (socket);
    }
  if (next_us != INT64_MAX)
    arm_timer (lingering, MAX (next_us, now_us + CHECK_PERIOD_US));
}

/* Has the socket in OPTIONS, whose peer has not ended its sending side, linger. */
static void
add_socket (struct pl_lingering *lingering, const struct pl_lingering_options *options)
{
  struct lingering_socket *socket = g_new0 (struct lingering_socket, 1);
  int64_t now_us = pl_clock_now_us ();

  shutdown (options->fd, SHUT_WR);
  socket->lingering = lingering;
  socket->link.data = socket;
  socket->fd = options->fd;
  socket->label = g_strdup (options->label);
  socket->has_deadline = options->until_us > 0;
  socket->due_us = socket->has_deadline ? MAX (options->until_us, now_us + LINGER_MIN_US)
                                        : now_us + STALLED_US;
  socket->unacked_bytes = unacked_bytes_of (socket->fd);
  g_queue_push_tail_link (&lingering->sockets, &socket->link);
  lingering->total++;
  arm_timer (lingering, socket->due_us);
  pl_reactor_watch (lingering->reactor, socket->fd, EPOLLIN | EPOLLRDHUP, on_socket, socket);
}

void
pl_lingering_close (struct pl_lingering *lingering, const struct pl_lingering_options *options)
{
  if (discard_input (lingering, options->fd, options->label))
    close (options->fd);
  else
    add_socket (lingering, options);
}

void
pl_lingering_close_copy (struct pl_lingering *lingering, const struct pl_lingering_options *options)
{
  struct pl_lingering_options copy = *options;

  if (discard_input (lingering, options->fd, options->label))
    return;
  copy.fd = fcntl (options->fd, F_DUPFD_CLOEXEC, 0);
  if (copy.fd >= 0)
    {
      add_socket (lingering, &copy);
      return;
    }
  pl_log (
      PL_LOG_WARNING, "closed-without-lingering",
      json_pack ("{s:i,s:i}", "error", errno, "unacked_bytes", pl_net_unacked_bytes (options->fd)));
  for (int parts = 0;
       parts < DISCARDED_PARTS_MAX && !discard_input (lingering, options->fd, options->label);
       parts++)
    continue;
}

bool
pl_lingering_make_room (struct pl_lingering *lingering)
{
  int scanned = 0;

  for (GList *link = lingering->sockets.head; link != NULL && scanned < SCANNED_MAX;
       link = link->next, scanned++)
    {
      struct lingering_socket *socket = link->data;

      if (unacked_bytes_of (socket->fd) > 0)
        continue;
      end_socket (socket);
      return true;
    }
  return false;
}

void
pl_lingering_end_all (struct pl_lingering *lingering)
{
  struct lingering_socket *socket;

  while ((socket = g_queue_peek_head (&lingering->sockets)) != NULL)
    {
      note_cut (lingering, socket->fd, socket->label, "exit");
      end_socket (socket);
    }
}

unsigned
pl_lingering_count (const struct pl_lingering *lingering)
{
  return lingering->sockets.length;
}

void
pl_lingering_metrics (const struct pl_lingering *lingering, GString *text)
{
  g_string_append_printf (text,
                          "pomelolatch_lingering_connections %u\n"
                          "pomelolatch_lingering_connections_total %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_lingering_connections_cut_total %" G_GUINT64_FORMAT "\n",
                          lingering->sockets.length, lingering->total, lingering->cut);
}

struct pl_lingering *
pl_lingering_new (struct pl_reactor *reactor)
{
  struct pl_lingering *lingering = g_new0 (struct pl_lingering, 1);

  lingering->reactor = reactor;
  lingering->timer_due_us = INT64_MAX;
  lingering->timer = pl_reactor_add_timer (reactor, check_sockets, lingering);
  g_queue_init (&lingering->sockets);
  return lingering;
}

void
pl_lingering_free (struct pl_lingering *lingering)
{
  pl_lingering_end_all (lingering);
  g_free (lingering);
}
