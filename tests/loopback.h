/* loopback.h - a listening socket on the loopback, for tests that act as a server.
 *
 * API tier: private.
 */
#ifndef LOOPBACK_H
#define LOOPBACK_H

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdint.h>
#include <sys/socket.h>

#define LOOPBACK_BACKLOG 8

/* Returns a socket that listens on a free port, stored in PORT; the caller closes it. */
static inline int
loopback_listen (uint16_t *port)
{
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (listen (fd, LOOPBACK_BACKLOG), 0);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *) &address, &length), 0);
  *port = ntohs (address.sin_port);
  return fd;
}

#endif
