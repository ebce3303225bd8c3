/* beacon_socket.h - UDP socket and XDR codec for beacons.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_BEACON_SOCKET_H
#define POMELOLATCH_BEACON_SOCKET_H

#include "internal/membership.h"
#include "internal/reactor.h"

#include <stddef.h>

/* Enough for the fullest beacon with the longest names. */
#define PL_BEACON_BYTES_MAX 8192

/* Returns the number of bytes written, or PL_ERR_FULL. */
int pl_beacon_encode (const struct pl_beacon *beacon, char *bytes, size_t size);

/* Returns 0, or PL_ERR_INVALID when BYTES do not hold a valid beacon. */
int pl_beacon_decode (const char *bytes, size_t length, struct pl_beacon *beacon);

/* The kind of a datagram in the metrics: its main content. */
enum pl_beacon_kind
{
  PL_BEACON_ACCOUNTS,
  PL_BEACON_PERMITS, /* to send requests to servers with rate limits */
  PL_BEACON_CONTACTS,
  PL_BEACON_STATES, /* state reports about other hosts */
  PL_BEACON_PLAIN,
  PL_BEACON_KINDS,
};

struct pl_beacon_socket;
struct pl_beacon_socket_options
{
  const char *address;
  struct pl_reactor *reactor;
  void (*on_beacon) (void *data, const struct pl_beacon *beacon);
  void *data;
};

/* Returns a socket that lasts as long as the process, or NULL. */
struct pl_beacon_socket *pl_beacon_socket_open (const struct pl_beacon_socket_options *options);
void pl_beacon_socket_send (struct pl_beacon_socket *socket, const char *address,
                            const struct pl_beacon *beacon);

/* Appends the counts of datagrams and bytes sent and received, by kind, in the Prometheus text
 * format. */
void pl_beacon_socket_metrics (const struct pl_beacon_socket *socket, GString *text);

#endif
