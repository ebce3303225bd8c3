/* The services of a placement: their names, handles and settings. */
#include "internal/placement.h"

void
pl_placement_free_service (void *data)
{
  struct pl_placement_service *service = data;

  g_ptr_array_free (service->backends, TRUE);
  g_free (service->name);
  g_free (service);
}

int
pl_placement_ensure_service (struct pl_placement *placement, const char *name)
{
  int handle = GPOINTER_TO_INT (g_hash_table_lookup (placement->handles, name)) - 1;
  struct pl_placement_service *service;

  if (handle >= 0)
    return handle;
  service = g_new0 (struct pl_placement_service, 1);
  service->name = g_strdup (name);
  pl_placement_manage (placement, service, placement->load_management == PL_LOAD_MANAGEMENT_ON);
  service->backends = g_ptr_array_new ();
  g_ptr_array_add (placement->services, service);
  g_hash_table_insert (placement->handles, service->name,
                       GINT_TO_POINTER ((int) placement->services->len));
  return (int) placement->services->len - 1;
}

const char *
pl_placement_service_name (const struct pl_placement *placement, int service)
{
  return pl_placement_service_at (placement, service)->name;
}

void
pl_placement_set_load_management (struct pl_placement *placement,
                                  enum pl_load_management management)
{
  placement->load_management = management;
  for (guint i = 0; i < placement->services->len; i++)
    pl_placement_manage (placement, pl_placement_service_at (placement, (int) i),
                         management == PL_LOAD_MANAGEMENT_ON);
}

void
pl_placement_manage (const struct pl_placement *placement, struct pl_placement_service *service,
                     bool on)
{
  service->is_managed = on;
  service->compares_times = on && !placement->ignores_speeds;
}

bool
pl_placement_is_managed (const struct pl_placement *placement, int service)
{
  return pl_placement_service_at (placement, service)->is_managed;
}

double
pl_placement_late_ratio (const struct pl_placement *placement, int service)
{
  return pl_placement_service_at (placement, service)->late_ratio;
}

void
pl_placement_set_service (struct pl_placement *placement, int service, int64_t cold_time_us,
                          double cold_per_second)
{
  pl_placement_service_at (placement, service)->cold_time_us = cold_time_us;
  pl_placement_service_at (placement, service)->cold_per_second = cold_per_second;
}
