/* Faults: how each begins and ends. */
#include "fleet_state.h"

static void
kill_process (struct fleet *fleet, int host)
{
  int at = fleet->current[host];

  if (at < 0)
    return;
  fleet->processes[at].alive = false;
  fleet->current[host] = -1;
}

void
fleet_begin_fault (struct fleet *fleet, const struct fleet_fault *fault)
{
  int host = fault->subject % HOSTS;
  int64_t until_us = fleet->now_us + fault->length_us;

  fleet->active_faults++;
  fleet_trace (fleet, "fault %d on %d begins", (int) fault->kind, fault->subject);
  switch (fault->kind)
    {
    case FLEET_PAUSE:
    case FLEET_REPLACE:
      if (fleet->current[host] >= 0)
        fleet->processes[fleet->current[host]].paused_until_us = until_us;
      if (fault->kind == FLEET_REPLACE && fleet->current[host] >= 0)
        fleet_start_process (fleet, host);
      break;
    case FLEET_KILL:
      kill_process (fleet, host);
      break;
    case FLEET_CUT_DOMAIN:
      fleet->domain_cut[fault->subject % DOMAINS] = true;
      break;
    case FLEET_CUT_STORE:
      fleet->store_down = true;
      break;
    case FLEET_LOSE_STORE:
      fleet->store_loses = true;
      break;
    case FLEET_LOSSY:
      fleet->lossy = true;
      break;
    case FLEET_CRASH:
      fleet_crash_server (fleet, fault->subject % SERVERS);
      break;
    case FLEET_CRASHER:
      fleet->crasher_on = true;
      fleet->crasher_open = false;
      break;
    case FLEET_SILENT:
      fleet->servers[fault->subject % SERVERS].silent = true;
      break;
    case FLEET_RELEASE:
      fleet_race_releases (fleet, fault->subject);
      break;
    case FLEET_FLOOD:
      fleet->flood_host = host;
      break;
    case FLEET_RESIZE:
      fleet_resize (fleet, true);
      break;
    case FLEET_KINDS:
      break;
    }
}

void
fleet_end_fault (struct fleet *fleet, const struct fleet_fault *fault)
{
  int host = fault->subject % HOSTS;

  fleet_trace (fleet, "fault %d on %d ends", (int) fault->kind, fault->subject);
  switch (fault->kind)
    {
    case FLEET_KILL:
      if (fleet->current[host] < 0)
        fleet_start_process (fleet, host);
      break;
    case FLEET_CUT_DOMAIN:
      fleet->domain_cut[fault->subject % DOMAINS] = false;
      break;
    case FLEET_CUT_STORE:
      fleet->store_down = false;
      break;
    case FLEET_LOSE_STORE:
      fleet->store_loses = false;
      break;
    case FLEET_LOSSY:
      fleet->lossy = false;
      break;
    case FLEET_CRASH:
      fleet->servers[fault->subject % SERVERS].down = false;
      break;
    case FLEET_CRASHER:
      fleet->crasher_on = false;
      break;
    case FLEET_SILENT:
      fleet->servers[fault->subject % SERVERS].silent = false;
      break;
    case FLEET_FLOOD:
      fleet->flood_host = -1;
      break;
    case FLEET_RESIZE:
      fleet_resize (fleet, false);
      break;
    default:
      break;
    }
  fleet->active_faults--;
  fleet->calm_since_us = fleet->now_us;
}
