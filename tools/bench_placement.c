/* bench_placement - processor time of choosing a server, by the number of servers.
 *
 *   bench_placement [SERVERS...]
 *
 * Prints one line per size: the microseconds of processor time for one choice among
 * that many servers in three regions, for requests that concern an object; then the
 * same with load management, where a fifth of the servers report that work takes 2.5
 * times as long, and the same for requests that concern none.
 */
#include "internal/placement.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define CHOICES 20000
#define REGIONS 3
#define SECOND INT64_C (1000000)

static void
add_servers (struct pl_placement *placement, int count)
{
  for (int i = 0; i < count; i++)
    {
      struct pl_server_entry entry = {.service = "stock", .slots = 4, .born = 1};
      g_autofree char *id = g_strdup_printf ("server-%d", i);
      g_autofree char *domain = g_strdup_printf ("%d-%d", i % REGIONS, i / REGIONS % 3);

      entry.id = id;
      g_snprintf (entry.address, sizeof entry.address, "10.0.%d.%d:80", i / 250, i % 250);
      entry.domain = domain;
      pl_placement_put (placement, &entry, i % REGIONS, true, 0);
    }
}

static double
processor_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec + (double) now.tv_nsec / 1e9;
}

/* Has each fifth server report that it is slow, and the others that they are not. */
static void
report_loads (struct pl_placement *placement)
{
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_hash_table_iter_init (&iter, placement->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    pl_placement_record_load (placement, value,
                              &(struct pl_load_report){0, 0, 4, count++ % 5 == 0 ? 250 : 100}, 0);
}

static void
measure (int servers, enum pl_load_management management, bool has_object)
{
  struct pl_placement placement;
  struct pl_placement_request request
      = {.objective_us = SECOND, .time_left_us = SECOND, .home_regions = UINT32_MAX};
  double started;
  int placed = 0;

  pl_placement_init (&placement, "0-0", 0);
  request.service = pl_placement_ensure_service (&placement, "stock");
  pl_placement_set_service (&placement, request.service, SECOND, 14);
  pl_placement_set_load_management (&placement, management);
  add_servers (&placement, servers);
  report_loads (&placement);
  started = processor_seconds ();
  for (int i = 0; i < CHOICES; i++)
    {
      struct pl_placement_choice choice;

      request.object = has_object ? (uint64_t) i + 1 : 0;
      if (pl_placement_choose (&placement, &request, NULL, NULL, &choice, INT64_C (100) * i)
          != PL_PLACED)
        continue;
      placed++;
      choice.backend->in_flight--;
    }
  printf ("servers %d  choices %d  us a choice %.2f%s%s\n", servers, placed,
          (processor_seconds () - started) / CHOICES * 1e6,
          management == PL_LOAD_MANAGEMENT_ON ? "  managed" : "", has_object ? "" : "  no object");
  pl_placement_clear (&placement);
}

static void
measure_all (int servers)
{
  measure (servers, PL_LOAD_MANAGEMENT_OFF, true);
  measure (servers, PL_LOAD_MANAGEMENT_ON, true);
  measure (servers, PL_LOAD_MANAGEMENT_OFF, false);
  measure (servers, PL_LOAD_MANAGEMENT_ON, false);
}

int
main (int argc, char **argv)
{
  static const int sizes[] = {40, 357, 3000};

  for (int i = 1; i < argc; i++)
    measure_all (atoi (argv[i]));
  for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS (sizes); i++)
    measure_all (sizes[i]);
  return 0;
}
