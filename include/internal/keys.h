/* keys.h - hashing of callers' API keys, and their removal from forwarded requests.
 *
 * API tier: private.
 *
 * A key is hashed as soon as it is read, and never stored or logged.
 */
#ifndef POMELOLATCH_KEYS_H
#define POMELOLATCH_KEYS_H

#include "pomelolatch/config.h"

#include <stdbool.h>
#include <stddef.h>

/* Hashes KEY to the form that configurations store. */
void pl_key_hash (const char *key, size_t length, uint8_t hash[PL_KEY_HASH_BYTES]);

/* As pl_key_hash(), in hexadecimal; TEXT has room for 65 bytes. */
void pl_key_hash_text (const char *key, char *text);

/* Returns a newly allocated copy of TARGET (path and query) without the parameters that usually
 * hold keys.  Returns NULL when what is left still contains KEY (may be NULL), also
 * percent-encoded, or cannot be decoded. */
char *pl_key_strip_target (const char *target, const char *key);

/* Returns whether a header may be forwarded to a backend server: its name is on the allowlist, and
 * its value does not contain KEY. */
bool pl_key_header_is_allowed (const char *name, const char *value, const char *key);

#endif
