/* snapshot.h - the look-up snapshot in force, read by any thread without locks.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_SNAPSHOT_H
#define POMELOLATCH_SNAPSHOT_H

#include "pomelolatch/lookup.h"

/* Puts LOOKUP, which is taken over, in force; the one before is freed when no reader has it.
 * One thread publishes. */
void pl_snapshot_publish (struct pl_lookup *lookup);

/* Returns the snapshot in force, or NULL; it stays valid until pl_snapshot_end(). */
const struct pl_lookup *pl_snapshot_begin (void);
void pl_snapshot_end (void);

#endif
