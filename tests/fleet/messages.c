/* Messages and forwards between entry hosts. */
#include "fleet_state.h"

#include <stdlib.h>

static bool
is_reachable (const struct fleet *fleet, int from_host, int to_host)
{
  int from = host_domains[from_host];
  int to = host_domains[to_host];

  return from == to || (!fleet->domain_partitioned[from] && !fleet->domain_partitioned[to]);
}

int
fleet_host_by_id (uint64_t id)
{
  for (int i = 0; i < HOSTS; i++)
    if (pl_id_of ("entry_hosts", host_names[i]) == id)
      return i;
  abort ();
}

static int64_t
delay_between (struct fleet *fleet, int from_host, int to_host)
{
  bool same_region = host_domains[from_host] / 2 == host_domains[to_host] / 2;

  return (same_region ? MS : 12 * MS)
         + fleet_random_int (fleet, fleet->network_is_lossy ? 200 * MS : 3 * MS);
}

void
fleet_send_message (struct fleet *fleet, int process, struct pl_effect *effect)
{
  int from = fleet->processes[process].host;
  int to = fleet_host_by_id (effect->u.send.peer);
  int copies = 1;

  fleet->result->messages++;
  if (effect->u.send.message.type == PL_MESSAGE_LOAN_GRANT)
    for (int i = 0; i < effect->u.send.message.u.loans.count; i++)
      fleet->result->loans += effect->u.send.message.u.loans.items[i].amount > 0;
  if (!is_reachable (fleet, from, to) || fleet->current_processes[to] < 0)
    return;
  if (fleet->network_is_lossy || fleet_random_double (fleet) < 0.02)
    copies = fleet_random_int (fleet, 3);
  for (int i = 0; i < copies; i++)
    pl_message_copy (&fleet_schedule_event (fleet, delay_between (fleet, from, to),
                                            fleet->current_processes[to], PL_EVENT_MESSAGE)
                          ->u.message,
                     &effect->u.send.message);
}

uint64_t
fleet_add_call (struct fleet *fleet, const struct call *call)
{
  g_array_append_val (fleet->calls, *call);
  fleet->result->requests += call->origin < 0;
  return fleet->calls->len;
}

void
fleet_forward (struct fleet *fleet, int process, const struct pl_effect *effect)
{
  int from = fleet->processes[process].host;
  int to = fleet_host_by_id (effect->u.send_request.target);
  struct call *origin = fleet_get_call (fleet, effect->request);
  struct call call = *origin;
  struct pl_event *event;

  if (!is_reachable (fleet, from, to) || fleet->current_processes[to] < 0)
    {
      fleet_schedule_outcome (fleet, 2 * MS, process, effect->request, effect->attempt,
                              PL_OUTCOME_NOT_SENT);
      return;
    }
  fleet->result->forwards++;
  call.process = fleet->current_processes[to];
  call.origin = (int) effect->request;
  call.origin_attempt = effect->attempt;
  call.runs = 0;
  event = fleet_schedule_event (fleet, delay_between (fleet, from, to),
                                fleet->current_processes[to], PL_EVENT_REQUEST);
  event->u.request.request = fleet_add_call (fleet, &call);
  event->u.request.forwarded = true;
  event->u.request.suspected_server = effect->u.send_request.suspected_server;
  event->u.request.body_available = true;
  event->u.request.deadline_us = INT64_MAX; /* set on arrival */
  event->u.request.body_bytes = BODY_BYTES;
  origin = fleet_get_call (fleet, effect->request);
  event->u.request.fingerprint
      = origin->crashes_server ? CRASHING_FINGERPRINT : 1000 + effect->request;
  g_strlcpy (event->u.request.path, origin->operation >= 0 ? "/u" : "/r",
             sizeof event->u.request.path);
  g_strlcpy (event->u.request.account, effect->u.send_request.account,
             sizeof event->u.request.account);
}

/* Reports the outcome of the forwarded request CALL to the host that forwarded it. */
void
fleet_answer_origin (struct fleet *fleet, struct call *call, enum pl_outcome outcome)
{
  struct call *origin = fleet_get_call (fleet, (uint64_t) call->origin);
  int from = fleet->processes[call->process].host;
  int to = fleet->processes[origin->process].host;

  if (!is_reachable (fleet, from, to))
    outcome = PL_OUTCOME_ANSWER_LOST;
  fleet_schedule_outcome (fleet, delay_between (fleet, from, to), origin->process,
                          (uint64_t) call->origin, call->origin_attempt, outcome);
}
