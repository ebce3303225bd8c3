/* blocks.h - from a client's address to the failure domain that should serve it.
 *
 * API tier: provisional.
 *
 * An immutable table; any number of threads may look up without locks.
 */
#ifndef POMELOLATCH_BLOCKS_H
#define POMELOLATCH_BLOCKS_H

#include "pomelolatch/config.h"

#include <stddef.h>

struct pl_blocks;

/* Builds a table from COUNT blocks in any order; a longer prefix wins.  Returns a table that the
 * caller ends with pl_blocks_unref(). */
struct pl_blocks *pl_blocks_new (const struct pl_block_config *blocks, size_t count);

/* Puts blocks into the order that pl_blocks_update() wants, and clears their host bits. */
void pl_blocks_sort (struct pl_block_config *blocks, size_t count);

/* Returns a new table for ALL, which is sorted and differs from what TABLE was made of by blocks
 * within those of TOUCHED only.  Pages that TOUCHED does not reach are shared with TABLE. */
struct pl_blocks *pl_blocks_update (const struct pl_blocks *table,
                                    const struct pl_block_config *all, size_t all_count,
                                    const struct pl_block_config *changed, size_t changed_count);
struct pl_blocks *pl_blocks_ref (struct pl_blocks *table);
void pl_blocks_unref (struct pl_blocks *table);

/* Returns the domain of ADDRESS (host byte order), or PL_NONE. */
int pl_blocks_find (const struct pl_blocks *table, uint32_t address);

/* Returns the bytes that TABLE holds, shared pages included. */
size_t pl_blocks_bytes (const struct pl_blocks *table);

#endif
