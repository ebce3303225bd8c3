/* blocks.h - table from a client's address to the failure domain that should serve it.
 *
 * API tier: provisional.
 *
 * A table is immutable: any number of threads may look up in it without locks.
 */
#ifndef POMELOLATCH_BLOCKS_H
#define POMELOLATCH_BLOCKS_H

#include "pomelolatch/config.h"

#include <stddef.h>

struct pl_blocks;

/* Builds a table from COUNT blocks in any order; the longest matching prefix wins.  Returns a table
 * that the caller releases with pl_blocks_unref(). */
struct pl_blocks *pl_blocks_new (const struct pl_block_config *blocks, size_t count);

/* Sorts blocks in the order that pl_blocks_update() requires, and clears their host bits. */
void pl_blocks_sort (struct pl_block_config *blocks, size_t count);

/* Returns a new table for ALL, which is sorted and differs from the blocks of TABLE only within the
 * prefixes of CHANGED.  Pages outside of those prefixes are shared with TABLE. */
struct pl_blocks *pl_blocks_update (const struct pl_blocks *table,
                                    const struct pl_block_config *all, size_t all_count,
                                    const struct pl_block_config *changed, size_t changed_count);
struct pl_blocks *pl_blocks_ref (struct pl_blocks *table);
void pl_blocks_unref (struct pl_blocks *table);

/* Returns the domain of ADDRESS (host byte order), or PL_NONE. */
int pl_blocks_find (const struct pl_blocks *table, uint32_t address);

/* Returns the memory used by TABLE in bytes, shared pages included. */
size_t pl_blocks_bytes (const struct pl_blocks *table);

#endif
