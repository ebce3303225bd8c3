/* Helpers for IPv4 TCP sockets.  A connect never blocks for longer than its timeout. */
#include "internal/net.h"
#include "pomelolatch/error.h"
#include "pomelolatch/schema.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024

int
pl_net_parse (const char *text, struct sockaddr_in *address)
{
  char host[INET_ADDRSTRLEN] = "";
  const char *colon = strrchr (text, ':');

  if (!pl_schema_text_is_valid (PL_FIELD_ADDRESS, text))
    return PL_ERR_INVALID;
  memcpy (host, text, (size_t) (colon - text));
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t) atoi (colon + 1));
  inet_pton (AF_INET, host, &address->sin_addr);
  return PL_OK;
}

int
pl_net_listen (const struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *) address, sizeof *address) < 0 || listen (fd, BACKLOG) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

bool
pl_net_peer_has_closed (int fd)
{
  char byte;
  ssize_t received = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return received == 0
         || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool
pl_net_is_idle (int fd)
{
  char byte;
  ssize_t received = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

bool
pl_net_input_has_ended (int fd)
{
  struct pollfd ready = {.fd = fd, .events = POLLRDHUP};

  return poll (&ready, 1, 0) == 1;
}

int
pl_net_unacked_bytes (int fd)
{
  int bytes = 0;

  return ioctl (fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

int
pl_net_connect (const struct sockaddr_in *address, int timeout_ms)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct pollfd ready = {.fd = fd, .events = POLLOUT};
  socklen_t length = sizeof (int);
  int error = 0;
  int on = 1;

  if (fd < 0)
    return -1;
  if (connect (fd, (const struct sockaddr *) address, sizeof *address) < 0
      && (errno != EINPROGRESS || poll (&ready, 1, timeout_ms) != 1))
    goto fail;
  getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0)
    goto fail;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
fail:
  close (fd);
  return -1;
}
