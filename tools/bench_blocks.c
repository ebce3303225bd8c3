/* bench_blocks - memory, build, update and look-up cost of the table of client blocks.
 *
 *   bench_blocks [BLOCKS...]
 *
 * Blocks are random /18 to /28 prefixes inside random /16s from a seeded generator,
 * with random domains out of 1,000.  The last table is updated repeatedly while two
 * threads look up addresses in the published one.
 */
#include "internal/clock.h"
#include "internal/snapshot.h"
#include "pomelolatch/blocks.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define LOOKUPS 5000000
#define DOMAINS 1000
#define READERS 2
#define UPDATES 50

static struct pl_block_config *
generate_blocks (size_t count, GRand *random)
{
  struct pl_block_config *blocks = g_new (struct pl_block_config, count);

  for (size_t i = 0; i < count; i++)
    {
      blocks[i].bits = (uint8_t) g_rand_int_range (random, 18, 29);
      blocks[i].address = g_rand_int (random) & (UINT32_MAX << (32 - blocks[i].bits));
      blocks[i].domain = (uint16_t) g_rand_int_range (random, 0, DOMAINS);
    }
  return blocks;
}

static double
time_lookups (const struct pl_blocks *table, GRand *random)
{
  uint32_t *addresses = g_new (uint32_t, 65536);
  volatile int sink = 0;
  int64_t start_us;
  int64_t took_us;

  for (int i = 0; i < 65536; i++)
    addresses[i] = g_rand_int (random);
  start_us = pl_clock_now_us ();
  for (int i = 0; i < LOOKUPS; i++)
    sink += pl_blocks_find (table, addresses[i & 65535] ^ (uint32_t) i);
  took_us = pl_clock_now_us () - start_us;
  g_free (addresses);
  return (double) took_us * 1e3 / LOOKUPS;
}

static struct pl_config *
make_config (void)
{
  json_error_t error;
  json_t *document = json_loads (
      "{\"regions\":{\"r\":{\"name\":\"r\"}},"
      "\"domains\":{\"a\":{\"name\":\"a\",\"region\":\"r\"},\"b\":{\"name\":\"b\",\"region\":\"r\"}"
      "},"
      "\"entry_hosts\":{\"h\":{\"name\":\"h\",\"domain\":\"a\",\"caller\":\"127.0.0.1:1\","
      "\"peer\":\"127.0.0.1:2\",\"forward\":\"127.0.0.1:3\"}}}",
      0, &error);
  struct pl_config *config = pl_config_new (document, 1);

  json_decref (document);
  return config;
}

static uint32_t stop_readers;
static uint64_t reader_lookups;

static void *
reader_thread (void *data)
{
  uint32_t address = 1;
  uint64_t count = 0;

  (void) data;
  while (ck_pr_load_32 (&stop_readers) == 0)
    {
      const struct pl_lookup *lookup = pl_snapshot_begin ();
      struct pl_lookup_answer answer;

      for (int i = 0; i < 100; i++)
        {
          address = address * 1664525 + 1013904223;
          pl_lookup_answer (lookup, address, address, &answer);
        }
      count += 100;
      pl_snapshot_end ();
    }
  ck_pr_add_64 (&reader_lookups, count);
  return NULL;
}

static void
publish (struct pl_config *config, struct pl_blocks *table)
{
  int headroom[] = {1};
  struct pl_lookup_options options
      = {config, pl_blocks_ref (table), 0, INT64_C (2000000), headroom};

  pl_snapshot_publish (pl_lookup_new (&options));
}

/* Changes one block at a time, UPDATES times, while READERS threads look up addresses. */
static void
update_while_reading (struct pl_blocks *table, struct pl_block_config *blocks, size_t count)
{
  struct pl_config *config = make_config ();
  pthread_t threads[READERS];
  int64_t start_us;
  int64_t took_us;

  publish (config, table);
  for (int i = 0; i < READERS; i++)
    pthread_create (&threads[i], NULL, reader_thread, NULL);
  start_us = pl_clock_now_us ();
  for (int i = 0; i < UPDATES; i++)
    {
      struct pl_block_config *changed = &blocks[(size_t) i * 7919 % count];
      struct pl_blocks *next;

      changed->domain = (uint16_t) (changed->domain + 1) % DOMAINS;
      next = pl_blocks_update (table, blocks, count, changed, 1);
      publish (config, next);
      pl_blocks_unref (table);
      table = next;
    }
  took_us = pl_clock_now_us () - start_us;
  ck_pr_store_32 (&stop_readers, 1);
  for (int i = 0; i < READERS; i++)
    pthread_join (threads[i], NULL);
  printf ("replaced %d times while read: %.1f ms a change, %d readers at %.2f M look-ups/s each\n",
          UPDATES, (double) took_us / 1e3 / UPDATES, READERS,
          (double) reader_lookups / (double) took_us / READERS);
  pl_blocks_unref (table);
  pl_config_unref (config);
}

static long
resident_kb (void)
{
  g_autofree char *text = NULL;
  const char *at;

  if (!g_file_get_contents ("/proc/self/status", &text, NULL, NULL))
    return 0;
  at = g_strstr_len (text, -1, "VmRSS:");
  return at != NULL ? strtol (at + 6, NULL, 10) : 0;
}

int
main (int argc, char **argv)
{
  static char *default_args[] = {"", "10000", "100000", "1000000", "4100000", NULL};
  GRand *random = g_rand_new_with_seed (1);

  if (argc < 2)
    {
      argv = default_args;
      argc = 5;
    }
  printf ("%10s %10s %12s %10s %10s %12s %12s\n", "blocks", "table MB", "source MB", "B/block",
          "ns/look-up", "build ms", "resident MB");
  for (int i = 1; i < argc; i++)
    {
      size_t count = (size_t) atoll (argv[i]);
      struct pl_block_config *blocks = generate_blocks (count, random);
      int64_t start_us;
      struct pl_blocks *table;
      int64_t built_us;
      size_t bytes;

      pl_blocks_sort (blocks, count);
      start_us = pl_clock_now_us ();
      table = pl_blocks_new (blocks, count);
      built_us = pl_clock_now_us () - start_us;
      bytes = pl_blocks_bytes (table);

      printf ("%10zu %10.1f %12.1f %10.1f %10.1f %12.1f %12.1f\n", count, (double) bytes / 1e6,
              (double) (count * sizeof *blocks) / 1e6, (double) bytes / (double) count,
              time_lookups (table, random), (double) built_us / 1e3, (double) resident_kb () / 1e3);
      if (i == argc - 1)
        update_while_reading (table, blocks, count);
      else
        pl_blocks_unref (table);
      g_free (blocks);
    }
  g_rand_free (random);
  return EXIT_SUCCESS;
}
