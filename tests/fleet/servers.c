/* Backend servers: run each request for a random time. */
#include "fleet_state.h"

#include <stdlib.h>

int
fleet_server_domain (int server)
{
  return server % DOMAINS;
}

int
fleet_server_by_id (uint64_t id)
{
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("server-%d", i);

      if (pl_id_of ("servers", name) == id)
        return i;
    }
  abort ();
}

void
fleet_schedule_outcome (struct fleet *fleet, int64_t delay_us, int process, uint64_t request,
                        uint32_t attempt, enum pl_outcome outcome)
{
  struct pl_event *event = fleet_schedule_event (fleet, delay_us, process, PL_EVENT_OUTCOME);

  event->u.outcome.request = request;
  event->u.outcome.attempt = attempt;
  event->u.outcome.outcome = outcome;
  event->u.outcome.status = 200;
  event->u.outcome.answer_bytes = 1000;
}

void
fleet_crash_server (struct fleet *fleet, int server)
{
  fleet_trace (fleet, "server %d crashes with %d in flight", server,
               fleet->servers[server].in_flight);
  fleet->servers[server].down = true;
  fleet->servers[server].generation++;
  fleet->servers[server].in_flight = 0;
}

void
fleet_dispatch (struct fleet *fleet, int process, const struct pl_effect *effect,
                int64_t decided_us)
{
  int server_index = fleet_server_by_id (effect->u.send_request.target);
  struct server *server = &fleet->servers[server_index];
  struct call *call = fleet_get_call (fleet, effect->request);
  struct item *item;

  if (server->down)
    {
      fleet_schedule_outcome (fleet, MS, process, effect->request, effect->attempt,
                              PL_OUTCOME_NOT_SENT);
      return;
    }
  if (call->crashes_server)
    fleet_trace (fleet, "the crashing request goes to server %d from process %d", server_index,
                 process);
  if (!fleet->in_final_check && fleet_random_double (fleet) < 0.01)
    {
      fleet_schedule_outcome (fleet, 2 * MS, process, effect->request, effect->attempt,
                              PL_OUTCOME_SHED);
      return;
    }
  fleet_oracle_check_run (fleet, call, server_index, decided_us);
  server->in_flight++;
  if (server->in_flight > SLOTS && fleet_is_stable (fleet, 0) && fleet->flood_host < 0)
    fleet_report_violation (fleet, "server %d has %d requests in flight, but %d slots",
                            server_index, server->in_flight, SLOTS);
  item = fleet_schedule (fleet, 5 * MS + fleet_random_int (fleet, 30 * MS), ITEM_RUN_END);
  item->run = (struct run_end){server_index,
                               effect->request,
                               effect->attempt,
                               process,
                               server->generation,
                               !fleet->in_final_check && fleet_random_double (fleet) < 0.01
                                   ? PL_OUTCOME_ANSWER_LOST
                                   : PL_OUTCOME_DONE};
  if (call->crashes_server)
    {
      if (g_hash_table_add (fleet->crashed_servers, GINT_TO_POINTER (server_index + 1)))
        fleet->result->servers_crashed_by_request++;
      fleet_crash_server (fleet, server_index);
      fleet_schedule (fleet, 2 * SECOND, ITEM_SERVER_UP)->run.server = server_index;
    }
}

void
fleet_handle_run_end (struct fleet *fleet, const struct run_end *run)
{
  struct server *server = &fleet->servers[run->server];

  if (run->generation != server->generation)
    {
      fleet_schedule_outcome (fleet, 0, run->process, run->request, run->attempt,
                              PL_OUTCOME_ANSWER_LOST);
      return;
    }
  server->in_flight--;
  if (!server->silent)
    fleet_schedule_outcome (fleet, MS, run->process, run->request, run->attempt, run->outcome);
}
