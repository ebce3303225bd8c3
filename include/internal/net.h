/* net.h - IPv4 TCP sockets.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_NET_H
#define POMELOLATCH_NET_H

#include <netinet/in.h>
#include <stdbool.h>

/* Parses "IP:port".  Returns 0 or PL_ERR_INVALID. */
int pl_net_parse (const char *text, struct sockaddr_in *address);

/* Returns a listening socket, or -1 with errno set. */
int pl_net_listen (const struct sockaddr_in *address);

/* Returns whether the peer of the connected socket FD has closed the connection or it has failed.
 * Consumes no bytes. */
bool pl_net_peer_has_closed (int fd);

/* Returns whether the peer has neither sent bytes that are unread nor closed the connection FD. */
bool pl_net_is_idle (int fd);

/* Returns whether the peer of FD has ended its sending side, or the connection has failed, also if
 * there are unread bytes. */
bool pl_net_input_has_ended (int fd);

/* Returns how many bytes, or ends, have been sent on FD, or wait to be sent, that its peer has not
 * acknowledged; 0 if that can not be told. */
int pl_net_unacked_bytes (int fd);

/* Connects within TIMEOUT_MS milliseconds.  Returns a blocking socket, or -1. */
int pl_net_connect (const struct sockaddr_in *address, int timeout_ms);

#endif
