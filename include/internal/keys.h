/* keys.h - callers' keys: hashed on sight, never kept or logged.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_KEYS_H
#define POMELOLATCH_KEYS_H

#include "pomelolatch/config.h"

#include <stdbool.h>
#include <stddef.h>

/* Hashes KEY as configurations keep it. */
void pl_key_hash (const char *key, size_t length, uint8_t hash[PL_KEY_HASH_BYTES]);

/* As pl_key_hash(), in hexadecimal; TEXT has room for 65 bytes. */
void pl_key_hash_text (const char *key, char *text);

/* Returns TARGET (path and query) without parameters that carry keys, newly allocated; NULL when
 * KEY, which may be NULL, still stands in it in any encoding. */
char *pl_key_strip_target (const char *target, const char *key);

/* Returns whether a header may go to a backend server: on the list of those that do, and with a
 * value that holds none of KEY. */
bool pl_key_header_may_pass (const char *name, const char *value, const char *key);

#endif
