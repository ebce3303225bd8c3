/* Processes: one reducer each; steps the reducers and executes their effects. */
#include "fleet_state.h"

void
fleet_start_process (struct fleet *fleet, int host)
{
  struct process *process = &fleet->processes[fleet->process_count];
  struct pl_core_options options = {0};

  if (fleet->process_count == PROCESSES_MAX)
    return;
  process->host = host;
  process->alive = true;
  process->nonce = 1000 + (uint64_t) fleet->process_count;
  process->clock_offset_us = fleet_random_int (fleet, 1000 * SECOND);
  options.name = host_names[host];
  options.nonce = process->nonce;
  options.switches = fleet->options->switches;
  options.now_us = fleet->now_us + process->clock_offset_us;
  process->core = pl_core_new (&options);
  fleet->current_processes[host] = fleet->process_count;
  fleet_schedule_event (fleet, fleet_random_int (fleet, TICK_US), fleet->process_count,
                        PL_EVENT_TICK);
  fleet->process_count++;
}

static void
end_call (struct fleet *fleet, uint64_t request, enum pl_outcome outcome)
{
  struct call *call = fleet_get_call (fleet, request);

  if (call->ended)
    return;
  call->ended = true;
  if (call->crashes_server && call->origin < 0)
    fleet->crashing_request_pending = false;
  if (call->is_final_check)
    fleet->final_checks_pending--;
  if (call->origin >= 0)
    fleet_answer_origin (fleet, call, outcome);
  else if (outcome == PL_OUTCOME_DONE)
    fleet->result->served++;
}

void
fleet_execute_effect (struct fleet *fleet, int process_index, struct pl_effect *effect,
                      int64_t decided_us)
{
  struct process *process = &fleet->processes[process_index];
  struct call *call;

  if (fleet->now_us + process->clock_offset_us > effect->valid_until_us)
    {
      if (effect->type == PL_EFFECT_DISPATCH || effect->type == PL_EFFECT_FORWARD)
        fleet_schedule_outcome (fleet, 0, process_index, effect->request, effect->attempt,
                                PL_OUTCOME_EXPIRED);
      if (effect->type == PL_EFFECT_STORE)
        fleet_schedule_event (fleet, 0, process_index, PL_EVENT_STORE)->u.store
            = fleet_make_store_failure (effect->u.store, PL_ERR_UNAVAILABLE);
      return;
    }
  switch (effect->type)
    {
    case PL_EFFECT_DISPATCH:
      fleet_dispatch (fleet, process_index, effect, decided_us);
      break;
    case PL_EFFECT_FORWARD:
      fleet_forward (fleet, process_index, effect);
      break;
    case PL_EFFECT_REFUSE:
      call = fleet_get_call (fleet, effect->request);
      fleet_oracle_check_refusal (fleet, call, effect);
      end_call (fleet, effect->request,
                effect->u.refuse.attempt_ran ? PL_OUTCOME_ANSWER_LOST : PL_OUTCOME_SHED);
      break;
    case PL_EFFECT_REPLAY:
      end_call (fleet, effect->request, PL_OUTCOME_DONE);
      break;
    case PL_EFFECT_CANCEL:
      fleet_schedule_outcome (fleet, MS, process_index, effect->request, effect->attempt,
                              PL_OUTCOME_STALLED);
      break;
    case PL_EFFECT_PROBE:
      {
        struct pl_event *event
            = fleet_schedule_event (fleet, 6 * MS, process_index, PL_EVENT_PROBE);

        event->u.probe.server = effect->u.send_request.target;
        event->u.probe.answered
            = !fleet->servers[fleet_server_by_id (effect->u.send_request.target)].down;
        event->u.probe.load = fleet_random_int (fleet, 10); /* random: not the real load */
        break;
      }
    case PL_EFFECT_SEND:
      fleet_send_message (fleet, process_index, effect);
      break;
    case PL_EFFECT_STORE:
      fleet_call_store (fleet, process_index, effect);
      break;
    default:
      break;
    }
}

/* Charges tokens and link bytes when a step decides to spend them, before its effects run. */
static void
check_decisions (struct fleet *fleet, int process, const struct pl_effects *effects)
{
  int region = host_domains[fleet->processes[process].host] / 2;

  for (int i = 0; i < effects->count; i++)
    {
      const struct pl_effect *effect = &effects->items[i];
      const struct call *call;

      if (effect->type != PL_EFFECT_DISPATCH && effect->type != PL_EFFECT_FORWARD)
        continue;
      call = fleet_get_call (fleet, effect->request);
      if (effect->type == PL_EFFECT_FORWARD
          && host_domains[fleet_host_by_id (effect->u.send_request.target)] / 2 != region)
        fleet_oracle_check_link (fleet, region, BODY_BYTES + HEAD_BYTES);
      if (call->origin < 0 && call->account >= 0 && effect->attempt == 1)
        fleet_oracle_check_rate (fleet, call->account);
    }
}

static void
step_process (struct fleet *fleet, int process_index, struct pl_event *event)
{
  struct process *process = &fleet->processes[process_index];
  struct pl_effects effects = {0};
  bool is_paused;
  int64_t version;

  event->now_us = fleet->now_us + process->clock_offset_us;
  if (event->type == PL_EVENT_REQUEST)
    event->u.request.deadline_us = event->now_us + 4 * SECOND;
  if (event->type == PL_EVENT_OUTCOME && event->u.outcome.outcome == PL_OUTCOME_DONE)
    end_call (fleet, event->u.outcome.request, PL_OUTCOME_DONE);
  fleet->result->steps++;
  pl_core_step (process->core, event, &effects);
  if (event->type == PL_EVENT_STORE)
    {
      json_decref (event->u.store.releases);
      json_decref (event->u.store.snapshot);
    }
  version = pl_core_version (process->core);
  if (version < process->version)
    fleet_report_violation (fleet, "the version in force fell from %ld to %ld", process->version,
                            version);
  process->version = version;
  check_decisions (fleet, process_index, &effects);
  /* While faults are active, a process may pause between a decision and its effects. */
  is_paused = fleet->active_faults > 0 && effects.count > 0 && fleet_random_double (fleet) < 0.0005;
  for (int i = 0; i < effects.count; i++)
    {
      if (is_paused)
        {
          struct item *item = fleet_schedule (fleet, 1500 * MS, ITEM_EXECUTE);

          item->process = process_index;
          item->decided_us = fleet->now_us;
          item->effect = g_memdup2 (&effects.items[i], sizeof effects.items[i]);
          effects.items[i].type = PL_EFFECT_STOPPED; /* the item owns its data now */
        }
      else
        fleet_execute_effect (fleet, process_index, &effects.items[i], fleet->now_us);
    }
  if (is_paused)
    process->paused_until_us = fleet->now_us + 1500 * MS + 1;
  pl_effects_free (&effects);
}

void
fleet_handle_event (struct fleet *fleet, struct item *item)
{
  struct process *process = &fleet->processes[item->process];

  if (!process->alive)
    {
      if (item->event.type == PL_EVENT_MESSAGE)
        pl_message_clear (&item->event.u.message);
      return;
    }
  if (fleet->now_us < process->paused_until_us)
    {
      struct item *later
          = fleet_schedule (fleet, process->paused_until_us - fleet->now_us, ITEM_EVENT);

      later->process = item->process;
      later->event = item->event;
      return;
    }
  if (item->event.type == PL_EVENT_TICK)
    fleet_schedule_event (fleet, TICK_US, item->process, PL_EVENT_TICK);
  step_process (fleet, item->process, &item->event);
}
