/* Inputs of the plans between regions: what this host knows of the servers of a service. */
#include "internal/placement.h"

/* Slots that a server may report for each that its registration has: one that reports more must not
 * fill its region. */
#define REPORTED_SLOTS_MAX_RATIO 4

G_STATIC_ASSERT (PL_REGION_PLAN_REGIONS_MAX == PL_PLACEMENT_REGIONS_MAX);

void
pl_placement_set_max_shift (struct pl_placement *placement, double max_shift)
{
  placement->max_shift = max_shift;
}

/* Servers of a reserved region take hardly any requests that follow the plan. */
static bool
has_usable_slots (const struct pl_placement *placement, const struct pl_placement_service *service,
                  const struct pl_backend *backend, int64_t now_us)
{
  return backend->region != PL_NONE && !service->regions[backend->region].reserved
         && pl_placement_is_usable (placement, backend, now_us) && now_us >= backend->down_until_us
         && !backend->breaker_tripped && now_us >= backend->cold_until_us
         && !backend->limit.in_force;
}

/* Returns the load by the latest report and what this host has sent since.  Reports come with
 * answers, so the latest one misses the requests that have arrived since: half of one on a server
 * of four slots to which a host sends a quarter of its load. */
static int
load_by_report (const struct pl_backend *backend)
{
  return MAX (backend->load.requests - backend->load.own_requests, 0) + backend->in_flight;
}

struct pl_region_plan *
pl_placement_update_plan (struct pl_placement *placement, int service, int64_t now_us)
{
  struct pl_placement_service *entry = g_ptr_array_index (placement->services, service);
  struct pl_region_input inputs[PL_REGION_PLAN_REGIONS_MAX] = {{.slots = 0}};
  struct pl_region_plan_options options = {.own_region = placement->region,
                                           .max_shift = placement->max_shift,
                                           .work_us = entry->work_us};
  int servers = 0;
  int slots = 0;

  if (!entry->is_managed)
    return NULL;
  for (guint i = 0; i < entry->backends->len; i++)
    {
      const struct pl_backend *backend = g_ptr_array_index (entry->backends, i);

      if (!has_usable_slots (placement, entry, backend, now_us))
        continue;
      servers++;
      slots += MAX (backend->entry.slots, 1);
      inputs[backend->region].slots += MAX (backend->entry.slots, 1);
      if (backend->load.slots > 0)
        pl_region_input_add_report (
            &inputs[backend->region], load_by_report (backend),
            MIN (backend->load.slots, MAX (backend->entry.slots, 1) * REPORTED_SLOTS_MAX_RATIO),
            now_us - backend->load.reported_us);
    }
  options.server_slots = servers > 0 ? (double) slots / servers : 1;
  pl_region_plan_update (&entry->plan, &options, inputs, now_us);
  return entry->plan.has_started ? &entry->plan : NULL;
}

const struct pl_region_plan *
pl_placement_plan (const struct pl_placement *placement, int service)
{
  const struct pl_placement_service *entry = g_ptr_array_index (placement->services, service);

  return entry->is_managed && entry->plan.has_started ? &entry->plan : NULL;
}
