/* peer_rpc.h - messages between entry hosts over ONC RPC on TCP.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_PEER_RPC_H
#define POMELOLATCH_PEER_RPC_H

#include "pomelolatch/event.h"

#define PL_PEER_SECRET_BYTES 32

struct pl_peers;

struct pl_peers_options
{
  const char *name;
  const char *listen; /* IP:port */
  uint64_t nonce;
  uint8_t secret[PL_PEER_SECRET_BYTES]; /* shared by all entry hosts */
  /* Takes over what MESSAGE owns.  Called on the receiving thread. */
  void (*on_message) (void *data, struct pl_message *message);
  void *data;
};

/* Returns a running end, or NULL with errno set when LISTEN can not be bound.  One process can
 * have one. */
struct pl_peers *pl_peers_new (const struct pl_peers_options *options);
void pl_peers_free (struct pl_peers *peers);

/* Tells where the peer ID listens; a changed address replaces the old one. */
void pl_peers_set_address (struct pl_peers *peers, uint64_t id, const char *address);

/* Queues a copy of MESSAGE.  Returns 0, PL_ERR_NOT_FOUND without an address, or PL_ERR_FULL when
 * the peer's queue is full and the message was dropped. */
int pl_peers_send (struct pl_peers *peers, uint64_t id, const struct pl_message *message);

/* For tests and cuts on purpose: while CUT, nothing is sent to or taken from the peer. */
void pl_peers_cut (struct pl_peers *peers, uint64_t id, bool cut);

/* Bytes sent so far, all peers together. */
uint64_t pl_peers_bytes_sent (const struct pl_peers *peers);

#endif
