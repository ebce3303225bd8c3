/* snapshot.h - the current look-up snapshot, read by any thread without locks.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_SNAPSHOT_H
#define POMELOLATCH_SNAPSHOT_H

#include "pomelolatch/lookup.h"

/* Makes LOOKUP the current snapshot and takes ownership of it; the previous one is freed when no
 * reader uses it.  Only one thread may publish. */
void pl_snapshot_publish (struct pl_lookup *lookup);

/* Returns the current snapshot, or NULL; it stays valid until pl_snapshot_end(). */
const struct pl_lookup *pl_snapshot_begin (void);
void pl_snapshot_end (void);

#endif
