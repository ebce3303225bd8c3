/* Loopback proxies of the soak: one thread per connection forwards bytes as the behaviour of its
 * network leg says. */
#include "soak.h"
#include "internal/net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_INTERVAL_MS 20
#define CHUNK_DELAY_US 60000
#define CHUNK_BYTES 16384
/* Of the callers' leg, so that the hosts notice callers that read slowly. */
#define CALLERS_BUFFER_BYTES 16384
/* TCP stalls on the loopback if a segment is larger than the receiver's buffer. */
#define CALLERS_SEGMENT_BYTES 1448
#define FLAW_BYTES_MIN 200
#define FLAW_PERIOD 50

const char *const soak_behaviour_names[BEHAVE_COUNT]
    = {"pass", "delay", "reset", "one-way", "silent"};

struct listener
{
  enum soak_leg leg;
  int fd;
  struct sockaddr_in to;
};

struct connection
{
  enum soak_leg leg;
  int host; /* whose connection to a server it is; -1: none */
  int client_fd;
  int upstream_fd;
};

static int flaws; /* of enum soak_flaw */
static int behaviours[LEG_COUNT];
/* Incremented with each reset.  A connection compares it with its value at the start, so that it
 * is reset even if the behaviour has changed again before the next poll. */
static int reset_counts[LEG_COUNT];
static int host_behaviours[SOAK_HOSTS_MAX]; /* of their connections to servers */
static int host_reset_counts[SOAK_HOSTS_MAX];

void
soak_proxy_set_flaws (int mask)
{
  flaws = mask;
}

void
soak_proxy_set (enum soak_leg leg, enum soak_behaviour behaviour)
{
  if (behaviour == BEHAVE_RESET)
    g_atomic_int_inc (&reset_counts[leg]);
  g_atomic_int_set (&behaviours[leg], (int) behaviour);
}

void
soak_proxy_set_host (int host, enum soak_behaviour behaviour)
{
  if (behaviour == BEHAVE_RESET)
    g_atomic_int_inc (&host_reset_counts[host]);
  g_atomic_int_set (&host_behaviours[host], (int) behaviour);
}

static enum soak_behaviour
behaviour_of (const struct connection *connection)
{
  int own
      = connection->host >= 0 ? g_atomic_int_get (&host_behaviours[connection->host]) : BEHAVE_PASS;

  return (enum soak_behaviour) (
      own != BEHAVE_PASS ? own : g_atomic_int_get (&behaviours[connection->leg]));
}

/* Returns how often connections like this one have been reset. */
static int
resets_of (const struct connection *connection)
{
  return g_atomic_int_get (&reset_counts[connection->leg])
         + (connection->host >= 0 ? g_atomic_int_get (&host_reset_counts[connection->host]) : 0);
}

/* Applies the flaws, if any, to an answer that goes to a caller.  Returns false when the connection
 * has to end. */
static bool
forward_flawed (int to, const char *bytes, size_t length)
{
  static int count;
  bool is_due = length > FLAW_BYTES_MIN && g_atomic_int_add (&count, 1) % FLAW_PERIOD == 0;

  if (is_due && (flaws & FLAW_CUT_ANSWERS) != 0)
    {
      send (to, bytes, length / 2, MSG_NOSIGNAL);
      return false;
    }
  if (is_due && (flaws & FLAW_SECOND_ANSWERS) != 0)
    send (to, bytes, length, MSG_NOSIGNAL);
  return send (to, bytes, length, MSG_NOSIGNAL) == (ssize_t) length;
}

/* Forwards one chunk.  Returns false when a side has closed or failed. */
static bool
forward_chunk (int from, int to, bool is_flawed)
{
  char bytes[CHUNK_BYTES];
  ssize_t length = recv (from, bytes, sizeof bytes, 0);

  if (length < 0)
    soak_wire_set_reset_on_close (to);
  if (length <= 0)
    return false;
  if (is_flawed)
    return forward_flawed (to, bytes, (size_t) length);
  return send (to, bytes, (size_t) length, MSG_NOSIGNAL) == length;
}

/* Returns whether the peer of FD has ended its sending side in order, and all of it was read. */
static bool
has_ended (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void *
run_connection (void *data)
{
  struct connection *connection = data;
  int reset_count = resets_of (connection);
  bool upstream_ended = false;
  bool open = true;

  while (open)
    {
      struct pollfd ready[2] = {{.fd = connection->client_fd, .events = POLLIN},
                                {.fd = connection->upstream_fd, .events = POLLIN}};
      enum soak_behaviour behaviour = behaviour_of (connection);
      nfds_t watched_count = behaviour == BEHAVE_ONE_WAY || upstream_ended ? 1 : 2;

      if (behaviour == BEHAVE_RESET || resets_of (connection) != reset_count)
        {
          soak_wire_set_reset_on_close (connection->client_fd);
          soak_wire_set_reset_on_close (connection->upstream_fd);
          break;
        }
      if (behaviour == BEHAVE_SILENT)
        {
          g_usleep (POLL_INTERVAL_MS * 1000UL);
          continue;
        }
      if (poll (ready, watched_count, POLL_INTERVAL_MS) <= 0)
        continue;
      if (behaviour == BEHAVE_DELAY)
        g_usleep (CHUNK_DELAY_US);
      if (ready[0].revents != 0)
        open = forward_chunk (connection->client_fd, connection->upstream_fd, false);
      if (!open || watched_count == 1 || ready[1].revents == 0)
        continue;
      if (connection->leg == LEG_CALLERS && has_ended (connection->upstream_fd))
        {
          upstream_ended = true;
          shutdown (connection->client_fd, SHUT_WR);
        }
      else
        open = forward_chunk (connection->upstream_fd, connection->client_fd,
                              flaws != 0 && connection->leg == LEG_CALLERS);
    }
  close (connection->client_fd);
  close (connection->upstream_fd);
  g_free (connection);
  return NULL;
}

/* Returns the entry host that FD comes from, or -1. */
static int
find_host (int fd)
{
  struct sockaddr_in address;
  socklen_t length = sizeof address;
  char text[32];

  if (getpeername (fd, (struct sockaddr *) &address, &length) < 0)
    return -1;
  g_snprintf (text, sizeof text, "%s:0", inet_ntoa (address.sin_addr));
  return soak_member_number (NET_HOSTS, text);
}

static void
start_connection (const struct listener *listener, int client_fd)
{
  struct connection *connection = g_new0 (struct connection, 1);
  const int buffer = CALLERS_BUFFER_BYTES;
  const int upstream_buffer = 2 * CALLERS_BUFFER_BYTES;
  pthread_t thread;

  connection->leg = listener->leg;
  connection->client_fd = client_fd;
  connection->host = listener->leg == LEG_SERVERS ? find_host (client_fd) : -1;
  connection->upstream_fd = pl_net_connect (&listener->to, 500);
  if (listener->leg == LEG_CALLERS)
    {
      setsockopt (client_fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
      setsockopt (connection->upstream_fd, SOL_SOCKET, SO_RCVBUF, &upstream_buffer,
                  sizeof upstream_buffer);
    }
  if (connection->upstream_fd < 0
      || pthread_create (&thread, NULL, run_connection, connection) != 0)
    {
      soak_wire_set_reset_on_close (client_fd);
      close (client_fd);
      if (connection->upstream_fd >= 0)
        close (connection->upstream_fd);
      g_free (connection);
      return;
    }
  pthread_detach (thread);
}

static void *
run_listener (void *data)
{
  const struct listener *listener = data;

  for (;;)
    {
      int client_fd = accept (listener->fd, NULL, NULL);

      if (client_fd >= 0)
        start_connection (listener, client_fd);
    }
  return NULL;
}

void
soak_proxy_open (enum soak_leg leg, const char *from, const char *to)
{
  struct listener *listener = g_new0 (struct listener, 1);
  const int segment = CALLERS_SEGMENT_BYTES;
  struct sockaddr_in address;
  pthread_t thread;

  listener->leg = leg;
  if (pl_net_parse (from, &address) < 0 || pl_net_parse (to, &listener->to) < 0
      || (listener->fd = pl_net_listen (&address)) < 0
      || setsockopt (listener->fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment) < 0
      || pthread_create (&thread, NULL, run_listener, listener) != 0)
    {
      g_printerr ("soak: cannot listen on %s\n", from);
      exit (2);
    }
  pthread_detach (thread);
}

void
soak_blackhole_open (const char *address)
{
  struct sockaddr_in parsed;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (pl_net_parse (address, &parsed) < 0 || fd < 0
      || bind (fd, (struct sockaddr *) &parsed, sizeof parsed) < 0 || listen (fd, 0) < 0)
    {
      g_printerr ("soak: cannot listen on %s\n", address);
      exit (2);
    }
  /* A full backlog takes no further connection. */
  for (int i = 0; i < 2; i++)
    pl_net_connect (&parsed, POLL_INTERVAL_MS);
}
