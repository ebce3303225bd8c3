/* The table of client blocks, compared with a linear search for the longest prefix.  Guards against
 * addresses that a new or an updated table maps to the wrong failure domain. */
#include "pomelolatch/blocks.h"
#include "suite.h"

#include <stdlib.h>

#define BLOCKS 3000
#define LOOKUPS 40000
#define CHANGES 60

static int
search_linear (const struct pl_block_config *blocks, size_t count, uint32_t address)
{
  int found = PL_NONE;
  int longest = -1;

  for (size_t i = 0; i < count; i++)
    {
      uint32_t mask = blocks[i].bits == 0 ? 0 : UINT32_MAX << (32 - blocks[i].bits);

      if ((address & mask) == (blocks[i].address & mask) && blocks[i].bits > longest)
        {
          longest = blocks[i].bits;
          found = blocks[i].domain;
        }
    }
  return found;
}

/* Generates blocks with distinct prefixes: of two equal ones neither is the longest match. */
static size_t
generate_blocks (GRand *random, struct pl_block_config *blocks)
{
  GHashTable *seen = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  size_t count = 0;

  while (count < BLOCKS)
    {
      struct pl_block_config *block = &blocks[count];
      gint64 name;

      block->bits = (uint8_t) g_rand_int_range (random, 0, 33);
      /* Dense, so that blocks are nested. */
      block->address = (g_rand_int (random) & 0x00ffffff) | (10u << 24);
      if (block->bits < 8)
        block->address = g_rand_int (random);
      pl_blocks_sort (block, 1); /* clears the host bits */
      block->domain = (uint16_t) g_rand_int_range (random, 0, 500);
      name = ((gint64) block->address << 8) | block->bits;
      if (g_hash_table_add (seen, g_memdup2 (&name, sizeof name)))
        count++;
    }
  g_hash_table_destroy (seen);
  return count;
}

static void
compare_all (const struct pl_blocks *table, const struct pl_block_config *blocks, size_t count,
             GRand *random, int lookups)
{
  for (int i = 0; i < lookups; i++)
    {
      const struct pl_block_config *nearby = &blocks[(size_t) g_rand_int_range (random, 0, BLOCKS)];
      uint32_t address = nearby->address + (uint32_t) g_rand_int_range (random, -300, 300);

      if (i % 4 == 0)
        address = g_rand_int (random);
      ck_assert_int_eq (pl_blocks_find (table, address), search_linear (blocks, count, address));
    }
}

START_TEST (a_table_finds_the_longest_prefix)
{
  GRand *random = g_rand_new_with_seed ((guint32) _i);
  struct pl_block_config *blocks = g_new (struct pl_block_config, BLOCKS);
  size_t count = generate_blocks (random, blocks);
  struct pl_blocks *table = pl_blocks_new (blocks, count);

  compare_all (table, blocks, count, random, LOOKUPS / 8);
  pl_blocks_unref (table);
  g_free (blocks);
  g_rand_free (random);
}
END_TEST

/* An updated table shares pages with the table before it.  Guards against a page that is shared
 * although a block in it has changed. */
START_TEST (an_updated_table_equals_a_new_one)
{
  GRand *random = g_rand_new_with_seed ((guint32) _i);
  struct pl_block_config *blocks = g_new (struct pl_block_config, BLOCKS);
  size_t count = generate_blocks (random, blocks);
  struct pl_blocks *table = pl_blocks_new (blocks, count);

  pl_blocks_sort (blocks, count);
  for (int i = 0; i < CHANGES; i++)
    {
      size_t at = (size_t) g_rand_int_range (random, 0, (gint32) count);
      struct pl_block_config changed = blocks[at];
      struct pl_blocks *next;

      if (i % 3 == 0 && count > 1)
        {
          blocks[at] = blocks[--count];
          pl_blocks_sort (blocks, count);
        }
      else
        blocks[at].domain = (uint16_t) g_rand_int_range (random, 0, 500);
      next = pl_blocks_update (table, blocks, count, &changed, 1);
      pl_blocks_unref (table);
      table = next;
      compare_all (table, blocks, count, random, 100);
    }
  pl_blocks_unref (table);
  g_free (blocks);
  g_rand_free (random);
}
END_TEST

START_TEST (an_empty_table_finds_nothing)
{
  struct pl_blocks *table = pl_blocks_new (NULL, 0);

  ck_assert_int_eq (pl_blocks_find (table, 0), PL_NONE);
  ck_assert_int_eq (pl_blocks_find (table, UINT32_MAX), PL_NONE);
  pl_blocks_unref (table);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "blocks");

  tcase_add_loop_test (tcase, a_table_finds_the_longest_prefix, 1, 5);
  tcase_add_loop_test (tcase, an_updated_table_equals_a_new_one, 1, 5);
  tcase_add_test (tcase, an_empty_table_finds_nothing);
  return suite_run (suite);
}
