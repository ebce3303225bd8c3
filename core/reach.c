/* Tells a host that is cut off from the servers from servers that have failed.
 *
 * A failed server is noticed at its own connections, and others are connected to in
 * between.  A host that is cut off fails at ever other servers, while it may take as
 * many failures as there are servers until each of them counts as down.  So failures at
 * several servers in a row, without a connection that was established, raise a suspicion,
 * and a few other servers are probed at once.  One that is reached disproves it.
 *
 * A cut may leave the connections that exist alone and only refuse new ones.  As long as
 * answers arrive on these, they are used.
 *
 * While the cut lasts, a probe every PROBE_PERIOD_US looks for its end.  Load then returns
 * over RETURN_US, so that the hosts of a cut do not open all their connections at once, and
 * a cut that is not over yet is noticed at a few requests.
 */
#include "internal/reach.h"

#include <assert.h>
#include <glib.h>

#define PROBE_PERIOD_US INT64_C (500000)
/* Kept connections count as dead when no server has answered for this long. */
#define SILENT_US INT64_C (500000)
#define RETURN_US INT64_C (1000000)

const char *const pl_reach_state_names[] = {
    [PL_REACH_OPEN] = "open",           [PL_REACH_SUSPECTED] = "suspected",
    [PL_REACH_KEPT_ONLY] = "kept-only", [PL_REACH_LOST] = "lost",
    [PL_REACH_RETURNING] = "returning",
};

static void
enter (struct pl_reach *reach, enum pl_reach_state state, int64_t now_us)
{
  reach->state = state;
  reach->since_us = now_us;
  reach->probe_due_us = now_us;
}

bool
pl_reach_is_cut_off (const struct pl_reach *reach)
{
  return reach->state == PL_REACH_KEPT_ONLY || reach->state == PL_REACH_LOST;
}

/* A new connection was established. */
static void
on_connected (struct pl_reach *reach, int64_t now_us)
{
  reach->failed_count = 0;
  if (reach->state == PL_REACH_SUSPECTED)
    enter (reach, PL_REACH_OPEN, now_us);
  if (pl_reach_is_cut_off (reach))
    enter (reach, PL_REACH_RETURNING, now_us);
}

static bool
contains (const uint64_t *servers, int count, uint64_t server)
{
  for (int i = 0; i < count; i++)
    if (servers[i] == server)
      return true;
  return false;
}

void
pl_reach_on_failure (struct pl_reach *reach, uint64_t server, int servers_count, int64_t now_us)
{
  if (contains (reach->failed, reach->failed_count, server)
      || reach->failed_count == PL_REACH_SERVERS_MIN)
    return;
  if (reach->failed_count == 0)
    reach->failing_us = now_us;
  reach->failed[reach->failed_count++] = server;
  if (reach->failed_count == PL_REACH_SERVERS_MIN && servers_count >= PL_REACH_SERVERS_MIN
      && (reach->state == PL_REACH_OPEN || reach->state == PL_REACH_RETURNING))
    enter (reach, PL_REACH_SUSPECTED, now_us);
}

void
pl_reach_on_answer (struct pl_reach *reach, int64_t opened_us, int64_t now_us)
{
  reach->answered_us = now_us;
  /* A connection from before the failures tells as little as a kept one. */
  if (opened_us > 0 && opened_us >= reach->failing_us)
    on_connected (reach, now_us);
  else if (reach->state == PL_REACH_LOST)
    enter (reach, PL_REACH_KEPT_ONLY, now_us);
}

int
pl_reach_probes_due (const struct pl_reach *reach, int64_t now_us)
{
  if (reach->probed_count > 0 || now_us < reach->probe_due_us)
    return 0;
  if (reach->state == PL_REACH_SUSPECTED)
    return PL_REACH_PROBES;
  return pl_reach_is_cut_off (reach) ? 1 : 0;
}

void
pl_reach_on_probes_started (struct pl_reach *reach, const uint64_t *servers, int count,
                            int64_t now_us)
{
  assert (reach->probed_count == 0 && count <= PL_REACH_PROBES);
  for (int i = 0; i < count; i++)
    reach->probed[i] = servers[i];
  reach->probed_count = count;
  reach->probe_due_us = now_us + PROBE_PERIOD_US;
}

void
pl_reach_on_probed (struct pl_reach *reach, uint64_t server, bool connected, int64_t now_us)
{
  for (int i = 0; i < reach->probed_count; i++)
    {
      if (reach->probed[i] != server)
        continue;
      reach->probed[i] = reach->probed[--reach->probed_count];
      if (connected)
        on_connected (reach, now_us);
      else if (reach->state == PL_REACH_SUSPECTED && reach->probed_count == 0)
        enter (reach, reach->answered_us > reach->failing_us ? PL_REACH_KEPT_ONLY : PL_REACH_LOST,
               now_us);
      return;
    }
}

int64_t
pl_reach_due_us (const struct pl_reach *reach)
{
  switch (reach->state)
    {
    case PL_REACH_SUSPECTED:
    case PL_REACH_KEPT_ONLY:
    case PL_REACH_LOST:
      return reach->probed_count > 0 ? INT64_MAX : reach->probe_due_us;
    case PL_REACH_RETURNING:
      return reach->since_us + RETURN_US;
    case PL_REACH_OPEN:
      break;
    }
  return INT64_MAX;
}

void
pl_reach_run_timers (struct pl_reach *reach, int64_t now_us)
{
  if (reach->state == PL_REACH_KEPT_ONLY
      && now_us - MAX (reach->answered_us, reach->since_us) > SILENT_US)
    enter (reach, PL_REACH_LOST, now_us);
  if (reach->state == PL_REACH_RETURNING && now_us - reach->since_us >= RETURN_US)
    enter (reach, PL_REACH_OPEN, now_us);
}

double
pl_reach_direct_ratio (const struct pl_reach *reach, int64_t now_us)
{
  switch (reach->state)
    {
    case PL_REACH_LOST:
      return 0;
    case PL_REACH_RETURNING:
      return MIN ((double) (now_us - reach->since_us) / (double) RETURN_US, 1.0);
    default:
      return 1;
    }
}
