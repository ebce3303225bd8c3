/* peer_codec.h - struct pl_message to and from the generated XDR types.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_PEER_CODEC_H
#define POMELOLATCH_PEER_CODEC_H

#include "pomelolatch/event.h"

/* Encodes COUNT messages.  Returns a buffer that the caller frees with g_free(), its length in
 * *LENGTH, or NULL when they do not fit. */
char *pl_peer_encode (const struct pl_message *messages, int count, size_t *length);

/* Decodes a batch sent by FROM and calls ON_MESSAGE for each message, which takes over what it
 * owns.  Returns 0, or PL_ERR_INVALID after which none was given out. */
int pl_peer_decode (const char *bytes, size_t length, uint64_t from,
                    void (*on_message) (void *data, struct pl_message *message), void *data);

#endif
