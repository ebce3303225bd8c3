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

/* Builds a table from COUNT blocks, which are sorted in place; a longer prefix wins.  Returns a
 * table that the caller ends with pl_blocks_unref(). */
struct pl_blocks *pl_blocks_new (struct pl_block_config *blocks, size_t count);

/* Returns a new table in which every page touched by BEFORE or AFTER (COUNT sorted blocks each as
 * in pl_blocks_new()) is rebuilt from ALL, and all other pages are shared with TABLE. */
struct pl_blocks *pl_blocks_update (const struct pl_blocks *table, struct pl_block_config *all,
                                    size_t all_count, const struct pl_block_config *touched,
                                    size_t touched_count);
struct pl_blocks *pl_blocks_ref (struct pl_blocks *table);
void pl_blocks_unref (struct pl_blocks *table);

/* Returns the domain of ADDRESS (host byte order), or PL_NONE. */
int pl_blocks_find (const struct pl_blocks *table, uint32_t address);

/* Returns the bytes that TABLE holds, shared pages included. */
size_t pl_blocks_bytes (const struct pl_blocks *table);

#endif
