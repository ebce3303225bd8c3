/* peer_codec.h - encoding and decoding of struct pl_message in XDR.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_PEER_CODEC_H
#define POMELOLATCH_PEER_CODEC_H

#include "pomelolatch/event.h"

/* Encodes COUNT messages.  Returns a buffer that the caller frees with g_free(), its length in
 * *LENGTH, or NULL when they exceed the buffer or the protocol's limits. */
char *pl_peer_encode (const struct pl_message *messages, int count, size_t *length);

/* Decodes a batch sent by the host FROM and calls ON_MESSAGE for each message; ON_MESSAGE takes
 * over what the message owns.  Returns 0, or PL_ERR_INVALID without having called ON_MESSAGE. */
int pl_peer_decode (const char *bytes, size_t length, uint64_t from,
                    void (*on_message) (void *data, struct pl_message *message), void *data);

#endif
