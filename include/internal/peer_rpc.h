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
  /* Takes ownership of what MESSAGE owns.  Called on the receiving thread. */
  void (*on_message) (void *data, struct pl_message *message);
  void *data;
};

/* Starts listening for peers.  Returns NULL with errno set when LISTEN cannot be bound.  A process
 * can have only one. */
struct pl_peers *pl_peers_new (const struct pl_peers_options *options);
void pl_peers_free (struct pl_peers *peers);

/* Sets the address at which the peer ID listens; a changed address replaces the old one. */
void pl_peers_set_address (struct pl_peers *peers, uint64_t id, const char *address);

/* Queues a copy of MESSAGE.  Returns 0, PL_ERR_NOT_FOUND without an address, or PL_ERR_FULL when
 * the peer's queue is full and the message was dropped. */
int pl_peers_send (struct pl_peers *peers, uint64_t id, const struct pl_message *message);

/* Fault injection: while PARTITIONED, nothing is sent to the peer or accepted from it. */
void pl_peers_set_partitioned (struct pl_peers *peers, uint64_t id, bool partitioned);

/* Returns the number of bytes sent so far to all peers. */
uint64_t pl_peers_bytes_sent (const struct pl_peers *peers);

#endif
