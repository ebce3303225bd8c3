/* Longest-prefix match with sorted ranges in copy-on-write pages.
 *
 * The upper 16 bits of an address select a page.  Within the page, a binary
 * search for the lower 16 bits goes over the starts of disjoint ranges, each
 * with one domain.  A page takes four bytes per range, the root half a megabyte.
 * A change of one block rebuilds one page and the root, independent of the
 * number of blocks.
 *
 * Invariant: a page's first range starts at 0, so every search finds a range.
 * Pages are reference-counted and shared between tables.
 */
#include "pomelolatch/blocks.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_COUNT 65536u
#define PAGE_ADDRESSES 65536u /* addresses in one page */
#define PAGE_BITS 16          /* prefix length of a page */
#define DOMAIN_NONE UINT16_MAX

struct page
{
  int references;
  uint32_t count;
  uint16_t *starts;  /* within the same allocation */
  uint16_t *domains; /* within the same allocation */
};

struct pl_blocks
{
  int references;
  struct page *pages[PAGE_COUNT];
};

struct range
{
  uint16_t start;
  uint16_t domain;
};

static int
compare_blocks (const void *a, const void *b)
{
  const struct pl_block_config *x = a;
  const struct pl_block_config *y = b;

  if (x->address != y->address)
    return x->address < y->address ? -1 : 1;
  return (int) x->bits - (int) y->bits;
}

static uint32_t
block_end (const struct pl_block_config *block)
{
  uint32_t host_mask
      = block->bits == 0 ? UINT32_MAX : (uint32_t) ((UINT64_C (1) << (32 - block->bits)) - 1);

  return (block->address & ~host_mask) | host_mask;
}

static uint32_t
block_start (const struct pl_block_config *block)
{
  return block->bits == 0 ? 0 : block->address & (UINT32_MAX << (32 - block->bits));
}

void
pl_blocks_sort (struct pl_block_config *blocks, size_t count)
{
  for (size_t i = 0; i < count; i++)
    blocks[i].address = block_start (&blocks[i]);
  qsort (blocks, count, sizeof *blocks, compare_blocks);
}

static struct page *
page_new (const struct range *ranges, uint32_t count)
{
  struct page *page = g_malloc (sizeof *page + (size_t) count * 2 * sizeof (uint16_t));

  page->references = 1;
  page->count = count;
  page->starts = (uint16_t *) (page + 1);
  page->domains = page->starts + count;
  for (uint32_t i = 0; i < count; i++)
    {
      page->starts[i] = ranges[i].start;
      page->domains[i] = ranges[i].domain;
    }
  return page;
}

static struct page *
page_ref (struct page *page)
{
  g_atomic_int_inc (&page->references);
  return page;
}

static void
page_unref (struct page *page)
{
  if (g_atomic_int_dec_and_test (&page->references))
    g_free (page);
}

static void
add_range (GArray *ranges, uint32_t start, uint16_t domain)
{
  struct range range = {(uint16_t) start, domain};

  if (ranges->len > 0)
    {
      struct range *last = &g_array_index (ranges, struct range, ranges->len - 1);

      if (last->start == range.start)
        {
          last->domain = domain;
          return;
        }
      if (last->domain == domain)
        return;
    }
  g_array_append_val (ranges, range);
}

/* Builds a page from the blocks inside it, which are sorted by address, and OUTER, the domain of
 * the addresses outside of them.  The enclosing blocks are kept on a stack: where an inner block
 * ends, the range of the block around it continues. */
static struct page *
build_page (uint32_t number, const struct pl_block_config *blocks, size_t count, uint16_t outer,
            GArray *ranges)
{
  uint32_t base = number << PAGE_BITS;
  uint32_t ends[PAGE_BITS + 2];
  uint16_t domains[PAGE_BITS + 2];
  int depth = 0;

  g_array_set_size (ranges, 0);
  add_range (ranges, 0, outer);
  ends[0] = base | (PAGE_ADDRESSES - 1);
  domains[0] = outer;
  for (size_t i = 0; i < count; i++)
    {
      uint32_t start = block_start (&blocks[i]);

      while (depth > 0 && ends[depth] < start)
        {
          uint32_t after = ends[depth] + 1;

          depth--;
          add_range (ranges, after - base, domains[depth]);
        }
      add_range (ranges, start - base, blocks[i].domain);
      if (depth > 0 && ends[depth] == block_end (&blocks[i]))
        depth--;
      depth++;
      ends[depth] = block_end (&blocks[i]);
      domains[depth] = blocks[i].domain;
    }
  for (; depth > 0; depth--)
    if (ends[depth] < ends[0])
      add_range (ranges, ends[depth] + 1 - base, domains[depth - 1]);
  return page_new ((const struct range *) ranges->data, ranges->len);
}

/* Returns, for each page, the domain of the longest prefix that covers all of it. */
static uint16_t *
outer_domains (const struct pl_block_config *blocks, size_t count)
{
  uint16_t *outer = g_new (uint16_t, PAGE_COUNT);

  memset (outer, 0xff, PAGE_COUNT * sizeof *outer);
  for (unsigned bits = 0; bits <= PAGE_BITS; bits++)
    for (size_t i = 0; i < count; i++)
      if (blocks[i].bits == bits)
        for (uint32_t page = block_start (&blocks[i]) >> PAGE_BITS;
             page <= block_end (&blocks[i]) >> PAGE_BITS; page++)
          outer[page] = blocks[i].domain;
  return outer;
}

/* Returns the blocks whose prefix is longer than that of a page: only these need a search within
 * one. */
static struct pl_block_config *
inner_blocks (const struct pl_block_config *blocks, size_t count, size_t *inner_count)
{
  struct pl_block_config *inner = g_new (struct pl_block_config, count + 1);
  size_t kept = 0;

  for (size_t i = 0; i < count; i++)
    if (blocks[i].bits > PAGE_BITS)
      inner[kept++] = blocks[i];
  *inner_count = kept;
  return inner;
}

static bool
is_uniform (const struct page *page, uint16_t domain)
{
  return page->count == 1 && page->domains[0] == domain;
}

struct pl_blocks *
pl_blocks_new (const struct pl_block_config *blocks, size_t count)
{
  struct pl_blocks *table = g_new0 (struct pl_blocks, 1);
  GArray *ranges = g_array_new (FALSE, FALSE, sizeof (struct range));
  uint16_t *outer = outer_domains (blocks, count);
  size_t inner_count;
  struct pl_block_config *inner = inner_blocks (blocks, count, &inner_count);
  size_t at = 0;

  table->references = 1;
  pl_blocks_sort (inner, inner_count);
  for (uint32_t page = 0; page < PAGE_COUNT; page++)
    {
      size_t from = at;

      while (at < inner_count && inner[at].address >> PAGE_BITS == page)
        at++;
      if (from == at && page > 0 && is_uniform (table->pages[page - 1], outer[page]))
        table->pages[page] = page_ref (table->pages[page - 1]);
      else
        table->pages[page] = build_page (page, inner + from, at - from, outer[page], ranges);
    }
  g_free (inner);
  g_free (outer);
  g_array_free (ranges, TRUE);
  return table;
}

/* Returns the first of the sorted BLOCKS that is not before (ADDRESS, BITS). */
static size_t
lower_bound (const struct pl_block_config *blocks, size_t count, uint32_t address, uint8_t bits)
{
  const struct pl_block_config wanted = {address, bits, 0};
  size_t low = 0;

  while (count > 0)
    {
      size_t half = count / 2;

      if (compare_blocks (&blocks[low + half], &wanted) < 0)
        {
          low += half + 1;
          count -= half + 1;
        }
      else
        count = half;
    }
  return low;
}

/* Returns the domain of the longest prefix that covers all of PAGE. */
static uint16_t
find_outer (const struct pl_block_config *blocks, size_t count, uint32_t page)
{
  for (int bits = PAGE_BITS; bits >= 0; bits--)
    {
      struct pl_block_config wanted = {page << PAGE_BITS, (uint8_t) bits, 0};
      size_t at;

      wanted.address = block_start (&wanted);
      at = lower_bound (blocks, count, wanted.address, wanted.bits);
      if (at < count && compare_blocks (&blocks[at], &wanted) == 0)
        return blocks[at].domain;
    }
  return DOMAIN_NONE;
}

static struct page *
rebuild_page (const struct pl_block_config *blocks, size_t count, uint32_t page, GArray *ranges)
{
  size_t from = lower_bound (blocks, count, page << PAGE_BITS, PAGE_BITS + 1);
  size_t to = from;
  struct pl_block_config *inner;
  struct page *built;
  size_t kept = 0;

  while (to < count && blocks[to].address >> PAGE_BITS == page)
    to++;
  inner = g_new (struct pl_block_config, to - from + 1);
  for (size_t i = from; i < to; i++)
    if (blocks[i].bits > PAGE_BITS)
      inner[kept++] = blocks[i];
  built = build_page (page, inner, kept, find_outer (blocks, count, page), ranges);
  g_free (inner);
  return built;
}

struct pl_blocks *
pl_blocks_update (const struct pl_blocks *table, const struct pl_block_config *all,
                  size_t all_count, const struct pl_block_config *changed, size_t changed_count)
{
  struct pl_blocks *next = g_new0 (struct pl_blocks, 1);
  GArray *ranges = g_array_new (FALSE, FALSE, sizeof (struct range));

  next->references = 1;
  for (uint32_t page = 0; page < PAGE_COUNT; page++)
    next->pages[page] = page_ref (table->pages[page]);
  for (size_t i = 0; i < changed_count; i++)
    for (uint32_t page = block_start (&changed[i]) >> PAGE_BITS;
         page <= block_end (&changed[i]) >> PAGE_BITS; page++)
      {
        page_unref (next->pages[page]);
        next->pages[page] = rebuild_page (all, all_count, page, ranges);
      }
  g_array_free (ranges, TRUE);
  return next;
}

struct pl_blocks *
pl_blocks_ref (struct pl_blocks *table)
{
  g_atomic_int_inc (&table->references);
  return table;
}

void
pl_blocks_unref (struct pl_blocks *table)
{
  if (table == NULL || !g_atomic_int_dec_and_test (&table->references))
    return;
  for (uint32_t page = 0; page < PAGE_COUNT; page++)
    page_unref (table->pages[page]);
  g_free (table);
}

int
pl_blocks_find (const struct pl_blocks *table, uint32_t address)
{
  const struct page *page = table->pages[address >> PAGE_BITS];
  uint16_t low = (uint16_t) address;
  const uint16_t *base = page->starts;
  uint32_t left = page->count;

  while (left > 1)
    {
      uint32_t half = left / 2;

      base += base[half] <= low ? half : 0;
      left -= half;
    }
  assert (*base <= low);
  uint16_t domain = page->domains[base - page->starts];

  return domain == DOMAIN_NONE ? PL_NONE : domain;
}

size_t
pl_blocks_bytes (const struct pl_blocks *table)
{
  size_t bytes = sizeof *table;

  for (uint32_t i = 0; i < PAGE_COUNT; i++)
    if (i == 0 || table->pages[i] != table->pages[i - 1])
      bytes += sizeof (struct page) + (size_t) table->pages[i]->count * 2 * sizeof (uint16_t);
  return bytes;
}
