/* What answers, failures, probes and load reports tell about the servers of a placement. */
#include "internal/placement.h"

#include <assert.h>
#include <math.h>

#define LATENCY_SMOOTHING 0.1
#define FAILURE_SMOOTHING 0.15
#define LATE_SMOOTHING (1.0 / 128)
#define DOWN_PAUSE_MIN_US INT64_C (500000)
#define DOWN_PAUSE_MAX_US INT64_C (4000000)

static void
reset_health (struct pl_backend *backend)
{
  backend->failures = 0;
  backend->down_until_us = 0;
  backend->breaker_tripped = false;
  backend->failure_ratio = 0;
}

void
pl_placement_reset_backend (struct pl_backend *backend, int64_t now_us)
{
  pl_server_load_reset (&backend->load);
  reset_health (backend);
  backend->work_us = 0;
  backend->cold_tokens = 0;
  backend->cold_refilled_us = now_us;
}

void
pl_placement_release_overtaken (struct pl_backend *backend, int64_t body_bytes)
{
  assert (backend->in_flight > 0 && backend->load.body_bytes >= body_bytes);
  backend->in_flight--;
  backend->load.body_bytes -= body_bytes;
}

void
pl_placement_release (struct pl_backend *backend, int64_t body_bytes, int64_t now_us)
{
  pl_placement_release_overtaken (backend, body_bytes);
  backend->progress_us = now_us;
}

/* Adds SAMPLE to an exponentially weighted moving average, which is 0 before the first sample. */
static void
update_average (double *average, double sample, double weight)
{
  *average += *average == 0 ? sample : weight * (sample - *average);
}

/* FAILED: 0 for a success, 1 for a failure. */
static void
update_failure_ratio (struct pl_placement *placement, struct pl_backend *backend, double failed)
{
  struct pl_placement_service *service = pl_placement_service_at (placement, backend->service);

  backend->failure_ratio += FAILURE_SMOOTHING * (failed - backend->failure_ratio);
  service->failure_ratio += FAILURE_SMOOTHING / 4 * (failed - service->failure_ratio);
}

void
pl_placement_record_answer (struct pl_placement *placement, struct pl_backend *backend,
                            const struct pl_placement_answer *answer)
{
  struct pl_placement_service *service = pl_placement_service_at (placement, backend->service);
  double work_us = (double) answer->latency_us / fmax (answer->load, 1);

  /* The report that came with the answer is recorded before: it says how fast the work was done. */
  if (service->compares_times && answer->at_us > 0)
    work_us /= pl_server_load_slowdown (&backend->load, answer->at_us);
  backend->failures = 0;
  backend->breaker_tripped = false;
  update_failure_ratio (placement, backend, answer->failed ? 1.0 : 0.0);
  service->late_ratio += LATE_SMOOTHING * ((answer->late ? 1.0 : 0.0) - service->late_ratio);
  if (answer->failed || answer->latency_us <= 0)
    return;
  if (service->compares_times && answer->object != 0)
    pl_server_load_record_object (&backend->load, answer->object, answer->at_us);
  update_average (&backend->work_us, work_us, LATENCY_SMOOTHING);
  update_average (&service->work_us, work_us, LATENCY_SMOOTHING / 4);
}

/* The server would have taken longer, so that the average rises and never falls. */
void
pl_placement_record_overtaken (const struct pl_placement *placement, struct pl_backend *backend,
                               const struct pl_placement_answer *answer)
{
  const struct pl_placement_service *service
      = pl_placement_service_at (placement, backend->service);
  double work_us = (double) answer->latency_us / fmax (answer->load, 1);

  if (service->compares_times)
    work_us /= pl_server_load_slowdown (&backend->load, answer->at_us);
  if (work_us > backend->work_us)
    update_average (&backend->work_us, work_us, LATENCY_SMOOTHING);
}

void
pl_placement_record_rejection (struct pl_placement *placement, struct pl_backend *backend,
                               bool has_load, int64_t now_us)
{
  update_failure_ratio (placement, backend, 1.0);
  if (has_load)
    return;
  pl_server_load_record_full (&backend->load, backend->entry.slots, backend->in_flight, now_us);
}

bool
pl_placement_record_failure (struct pl_placement *placement, struct pl_backend *backend,
                             bool is_unreachable, int64_t now_us)
{
  int64_t pause_us = DOWN_PAUSE_MIN_US << MIN (backend->failures, 3);

  backend->failures++;
  backend->failed_us = now_us;
  update_failure_ratio (placement, backend, 1.0);
  /* One lost connection does not trip the breaker; two in a row or an unreachable server do. */
  if (!is_unreachable && backend->failures < 2)
    return false;
  backend->down_until_us = now_us + MIN (pause_us, DOWN_PAUSE_MAX_US);
  backend->breaker_tripped = true;
  return true;
}

void
pl_placement_forgive (struct pl_placement *placement, int64_t since_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_backend *backend = value;

      if (backend->failures > 0 && backend->failed_us >= since_us)
        reset_health (backend);
    }
}

void
pl_placement_record_load (struct pl_placement *placement, struct pl_backend *backend,
                          const struct pl_load_report *report, int64_t now_us)
{
  pl_server_load_record (&backend->load, report, backend->in_flight, now_us);
  if (report->work_percent > 0 && placement->load_management == PL_LOAD_MANAGEMENT_REPORTED)
    pl_placement_manage (placement, pl_placement_service_at (placement, backend->service), true);
}

void
pl_placement_record_probe (struct pl_placement *placement, struct pl_backend *backend,
                           bool succeeded, int64_t cold_us, int64_t now_us)
{
  backend->probe_pending = false;
  if (!succeeded)
    {
      pl_placement_record_failure (placement, backend, true, now_us);
      return;
    }
  backend->breaker_tripped = false;
  backend->failures = 0;
  backend->down_until_us = 0;
  if (cold_us > 0)
    backend->cold_until_us = MAX (backend->cold_until_us, now_us + cold_us);
}

bool
pl_placement_needs_probe (const struct pl_placement *placement, const struct pl_backend *backend,
                          int64_t now_us)
{
  return backend->breaker_tripped && !backend->probe_pending && backend->in_flight == 0
         && now_us >= backend->down_until_us && pl_placement_is_usable (placement, backend, now_us);
}
