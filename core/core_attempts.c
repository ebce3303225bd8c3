/* Attempts: sends requests to backend servers and other entry hosts, and handles the outcomes.
 *
 * Invariants:
 *
 *  - each attempt ends with exactly one outcome event, cancelled or not;
 *  - may_have_run is set before the attempt's effect is added, and cleared only
 *    by an outcome which proves that the attempt did not run.
 *
 * An attempt that did not run is retried for as long as the request could have
 * waited for a slot.  One that may have run is retried only on repeatable
 * routes, up to ATTEMPTS_MAX attempts and within the retry budget.
 */
#include "internal/core_state.h"

#include <assert.h>

#define ATTEMPTS_MAX 6
/* An attempt that was decided before a pause of the process must not be sent after it: the buckets
 * were refilled in the meantime, so its token and the new ones together would exceed the burst. */
#define SEND_LIFE_US (500 * PL_US_PER_MS)
#define RETRY_PAUSE_US (100 * PL_US_PER_MS)

static void
fill_send_request (struct pl_core *core, struct request *request, struct pl_effect *effect,
                   uint64_t target, const char *address)
{
  request->attempt++;
  request->attempts++;
  request->changed_us = core->now_us;
  request->may_have_run = true;
  core->active_count++;
  effect->request = request->event.request;
  effect->attempt = request->attempt;
  effect->valid_until_us = MIN (request->event.deadline_us, request->valid_until_us);
  effect->valid_until_us = MIN (effect->valid_until_us, core->now_us + SEND_LIFE_US);
  g_strlcpy (effect->u.send_request.address, address, sizeof effect->u.send_request.address);
  g_strlcpy (effect->u.send_request.account, request->account->name,
             sizeof effect->u.send_request.account);
  effect->u.send_request.target = target;
  effect->u.send_request.deadline_us = request->event.deadline_us;
  effect->u.send_request.store_answer = request->claimed;
  effect->u.send_request.fresh_connection = request->attempts > 1;
}

void
attempts_start_at_server (struct pl_core *core, struct request *request,
                          struct server_state *server)
{
  struct pl_effect *effect = core_add_effect (core, PL_EFFECT_DISPATCH);

  request->state = REQUEST_AT_SERVER;
  request->server = server;
  server->in_flight++;
  if (request->suspect)
    server->suspects++;
  fill_send_request (core, request, effect, server->id,
                     PL_SERVER (core->config, server->index)->address);
}

void
attempts_start_at_member (struct pl_core *core, struct request *request, struct member *member)
{
  struct pl_effect *effect = core_add_effect (core, PL_EFFECT_FORWARD);

  request->state = REQUEST_AT_MEMBER;
  request->member = member;
  member->last_used_us = core->now_us;
  steering_add_in_flight (member, request->route.service, 1);
  /* The host may receive the suspect message later than the request: the request names the server
   * as well. */
  effect->u.send_request.suspected_server
      = quarantine_first_server (&core->quarantine, request->event.fingerprint);
  fill_send_request (core, request, effect, member->id,
                     PL_HOST (core->config, member->index)->forward_address);
}

/* Puts the request back at the front of its queue for another attempt. */
static void
retry (struct pl_core *core, struct request *request)
{
  request->cancelled = false;
  queue_enqueue (core, request, true);
}

/* NEVER_SENT implies NOT_RUN.  An attempt that was never sent is exempt from the retry budget,
 * since it had no cost; one that was shed cost the other side time, and is retried after a pause
 * once the budget is spent. */
static bool
may_retry (struct pl_core *core, struct request *request, bool not_run, bool never_sent)
{
  if (request->cancelled && core->now_us >= request->event.deadline_us)
    return false;
  if (request->caller_gone)
    return false;
  /* An attempt that did not run is retried for as long as a request may wait for a slot. */
  if (not_run ? core->now_us - request->arrived_us >= PL_SLOT_WAIT_US
              : request->attempts >= ATTEMPTS_MAX)
    return false;
  if (!request->event.body_available || (!not_run && !request->route.repeatable))
    return false;
  if (never_sent || (core->switches & PL_SWITCH_NO_RETRY_BUDGET) != 0)
    return true;
  if (core->retry_tokens >= 1.0)
    core->retry_tokens -= 1.0;
  else if (not_run)
    request->not_before_us = core->now_us + RETRY_PAUSE_US;
  else
    return false;
  return true;
}

static void
record_server_outcome (struct pl_core *core, struct request *request, enum pl_outcome outcome)
{
  struct server_state *server = request->server;
  uint64_t fingerprint = request->event.fingerprint;

  assert (server->in_flight > 0);
  server->in_flight--;
  if (request->suspect)
    server->suspects--;
  servers_record_outcome (core, server, outcome);
  if (outcome == PL_OUTCOME_DONE && quarantine_record_success (&core->quarantine, fingerprint))
    peers_send_suspect (core, fingerprint, 0, false);
  if ((outcome == PL_OUTCOME_ANSWER_LOST || outcome == PL_OUTCOME_TRUNCATED) && !request->cancelled
      && quarantine_record_failure (&core->quarantine, fingerprint, server->id, request->suspect,
                                    core->now_us))
    {
      request->suspicion_sent_us = core->now_us;
      peers_send_suspect (core, fingerprint, server->id, request->suspect);
    }
  request->last_server = server;
  request->server = NULL;
}

static void
finish (struct pl_core *core, struct request *request, const struct pl_outcome_event *event)
{
  struct pl_counts *route = report_ensure_route (core, request->route_name);
  int64_t latency = core->now_us - request->arrived_us;

  if (event->outcome == PL_OUTCOME_DONE)
    {
      request->account->counts.served++;
      route->served++;
      pl_histogram_add (&request->account->counts.latency, latency);
      pl_histogram_add (&route->latency, latency);
      if (request->claimed)
        operations_finish (core, request, event);
    }
  else
    {
      request->account->counts.refused[PL_REFUSAL_ANSWER_LOST]++;
      route->refused[PL_REFUSAL_ANSWER_LOST]++;
    }
  queue_free_request (core, request);
}

void
attempts_on_outcome (struct pl_core *core, const struct pl_outcome_event *event)
{
  struct request *request = g_hash_table_lookup (core->requests, &event->request);
  bool never_sent = event->outcome == PL_OUTCOME_NOT_SENT || event->outcome == PL_OUTCOME_EXPIRED;
  bool not_run = never_sent || event->outcome == PL_OUTCOME_SHED;
  enum pl_refusal refusal;

  if (request == NULL || request->attempt != event->attempt
      || (request->state != REQUEST_AT_SERVER && request->state != REQUEST_AT_MEMBER))
    return;
  core->active_count--;
  if (request->state == REQUEST_AT_SERVER)
    record_server_outcome (core, request, event->outcome);
  else
    steering_record_outcome (core, request, event->outcome);
  steering_settle (core, request, not_run ? 0 : event->answer_bytes);
  request->member = NULL;
  if (event->outcome == PL_OUTCOME_DONE || event->outcome == PL_OUTCOME_TRUNCATED)
    {
      finish (core, request, event);
      return;
    }
  request->event.body_available = request->event.body_available && !event->body_consumed;
  request->earlier_may_have_run = request->earlier_may_have_run || !not_run;
  request->may_have_run = request->earlier_may_have_run;
  if (event->outcome == PL_OUTCOME_EXPIRED)
    request->token_spent = false;
  if (may_retry (core, request, not_run, never_sent))
    {
      retry (core, request);
      return;
    }
  refusal = core->now_us >= request->event.deadline_us ? PL_REFUSAL_DEADLINE
            : not_run                                  ? PL_REFUSAL_NO_SERVER
                                                       : PL_REFUSAL_ANSWER_LOST;
  queue_refuse (core, request, refusal);
}

void
attempts_cancel (struct pl_core *core, struct request *request)
{
  struct pl_effect *effect = core_add_effect (core, PL_EFFECT_CANCEL);

  request->cancelled = true;
  effect->request = request->event.request;
  effect->attempt = request->attempt;
  effect->valid_until_us = INT64_MAX;
}

void
attempts_on_caller_gone (struct pl_core *core, uint64_t id)
{
  struct request *request = g_hash_table_lookup (core->requests, &id);

  if (request == NULL)
    return;
  request->caller_gone = true;
  if (request->state == REQUEST_WAITING)
    {
      queue_dequeue (core, request);
      if (request->claimed && !request->may_have_run)
        operations_abandon (core, request);
      queue_free_request (core, request);
    }
  else if ((request->state == REQUEST_AT_SERVER || request->state == REQUEST_AT_MEMBER)
           && !request->claimed && !request->cancelled)
    attempts_cancel (core, request);
}

void
attempts_on_progress (struct pl_core *core, uint64_t id, uint32_t attempt)
{
  struct request *request = g_hash_table_lookup (core->requests, &id);

  if (request != NULL && request->attempt == attempt)
    request->changed_us = core->now_us;
}
