/* Faults: what happens when each begins and ends. */
#include "fleet_state.h"

static void
kill_process (struct fleet *fleet, int host)
{
  int process = fleet->current_processes[host];

  if (process < 0)
    return;
  fleet->processes[process].alive = false;
  fleet->current_processes[host] = -1;
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
      if (fleet->current_processes[host] >= 0)
        fleet->processes[fleet->current_processes[host]].paused_until_us = until_us;
      if (fault->kind == FLEET_REPLACE && fleet->current_processes[host] >= 0)
        fleet_start_process (fleet, host);
      break;
    case FLEET_KILL:
      kill_process (fleet, host);
      break;
    case FLEET_PARTITION_DOMAIN:
      fleet->domain_partitioned[fault->subject % DOMAINS] = true;
      break;
    case FLEET_STORE_DOWN:
      fleet->store_down = true;
      break;
    case FLEET_STORE_LOSES_ANSWERS:
      fleet->store_loses_answers = true;
      break;
    case FLEET_LOSSY_NETWORK:
      fleet->network_is_lossy = true;
      break;
    case FLEET_CRASH_SERVER:
      fleet_crash_server (fleet, fault->subject % SERVERS);
      break;
    case FLEET_CRASHING_REQUEST:
      fleet->crashing_request_enabled = true;
      fleet->crashing_request_pending = false;
      break;
    case FLEET_SILENT_SERVER:
      fleet->servers[fault->subject % SERVERS].silent = true;
      break;
    case FLEET_RACE_RELEASES:
      fleet_race_releases (fleet, fault->subject);
      break;
    case FLEET_FLOOD_HOST:
      fleet->flood_host = host;
      break;
    case FLEET_RESIZE_HOST_LIST:
      fleet_resize_host_list (fleet, true);
      break;
    case FLEET_FAULT_KINDS:
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
      if (fleet->current_processes[host] < 0)
        fleet_start_process (fleet, host);
      break;
    case FLEET_PARTITION_DOMAIN:
      fleet->domain_partitioned[fault->subject % DOMAINS] = false;
      break;
    case FLEET_STORE_DOWN:
      fleet->store_down = false;
      break;
    case FLEET_STORE_LOSES_ANSWERS:
      fleet->store_loses_answers = false;
      break;
    case FLEET_LOSSY_NETWORK:
      fleet->network_is_lossy = false;
      break;
    case FLEET_CRASH_SERVER:
      fleet->servers[fault->subject % SERVERS].down = false;
      break;
    case FLEET_CRASHING_REQUEST:
      fleet->crashing_request_enabled = false;
      break;
    case FLEET_SILENT_SERVER:
      fleet->servers[fault->subject % SERVERS].silent = false;
      break;
    case FLEET_FLOOD_HOST:
      fleet->flood_host = -1;
      break;
    case FLEET_RESIZE_HOST_LIST:
      fleet_resize_host_list (fleet, false);
      break;
    default:
      break;
    }
  fleet->active_faults--;
  fleet->last_fault_end_us = fleet->now_us;
}
