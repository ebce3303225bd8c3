/* bench_placement - processor time of choosing a server, by the number of servers.
 *
 *   bench_placement [SERVERS...]
 *
 * Prints one line per size: the microseconds of processor time for one choice among
 * that many servers in three regions, for requests that concern an object.
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

static void
measure (int servers)
{
  struct pl_placement placement;
  struct pl_placement_request request
      = {.objective_us = SECOND, .time_left_us = SECOND, .home_regions = UINT32_MAX};
  double started;
  int placed = 0;

  pl_placement_init (&placement, "0-0", 0);
  request.service = pl_placement_ensure_service (&placement, "stock");
  pl_placement_set_service (&placement, request.service, SECOND, 14);
  add_servers (&placement, servers);
  started = processor_seconds ();
  for (int i = 0; i < CHOICES; i++)
    {
      struct pl_placement_choice choice;

      request.object = (uint64_t) i + 1;
      if (pl_placement_choose (&placement, &request, NULL, NULL, &choice, INT64_C (100) * i)
          != PL_PLACED)
        continue;
      placed++;
      choice.backend->in_flight--;
    }
  printf ("servers %d  choices %d  us a choice %.2f\n", servers, placed,
          (processor_seconds () - started) / CHOICES * 1e6);
  pl_placement_clear (&placement);
}

int
main (int argc, char **argv)
{
  static const int sizes[] = {40, 357, 3000};

  for (int i = 1; i < argc; i++)
    measure (atoi (argv[i]));
  for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS (sizes); i++)
    measure (sizes[i]);
  return 0;
}
