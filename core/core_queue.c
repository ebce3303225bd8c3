/* The queues of waiting requests, and refusals.
 *
 * Used by core_requests.c and core_attempts.c, which both enqueue, dequeue and
 * refuse requests.  queue_refuse() answers each request at most once; the answer
 * says, from may_have_run, whether the request may have run.
 */
#include "internal/core_state.h"

#include <assert.h>

/* How long a suspicion takes to reach the other hosts: longer than a heartbeat period plus the
 * delay between regions, so that a lost message has been sent again. */
#define SUSPECT_DELIVERY_US (400 * PL_US_PER_MS)

const struct pl_refusal_info pl_refusals[PL_REFUSAL_COUNT] = {
    [PL_REFUSAL_NO_CONFIG] = {"no-configuration", 503, 500},
    [PL_REFUSAL_NO_ROUTE] = {"no-route", 404, 0},
    [PL_REFUSAL_NO_KEY] = {"no-key", 401, 0},
    [PL_REFUSAL_STALE] = {"cut-off-too-long", 503, 1000},
    [PL_REFUSAL_QUARANTINED] = {"quarantined", 422, 0},
    [PL_REFUSAL_NO_OPERATION] = {"idempotency-key-required", 400, 0},
    [PL_REFUSAL_OVER_RATE] = {"over-rate", 429, 1000},
    [PL_REFUSAL_QUEUE_FULL] = {"queue-full", 429, 1000},
    [PL_REFUSAL_NO_SERVER] = {"no-server-free", 503, 500},
    [PL_REFUSAL_DEADLINE] = {"deadline", 504, 0},
    [PL_REFUSAL_ANSWER_LOST] = {"answer-lost", 502, 0},
    [PL_REFUSAL_REPEATED] = {"repeated", 409, 500},
    [PL_REFUSAL_STORE_DOWN] = {"store-down", 503, 1000},
};

void
queue_free_request (struct pl_core *core, struct request *request)
{
  g_hash_table_remove (core->requests, &request->event.request);
  g_free (request);
}

void
queue_enqueue (struct pl_core *core, struct request *request, bool first)
{
  request->state = REQUEST_WAITING;
  request->changed_us = core->now_us;
  core->waiting_count++;
  if (first)
    g_queue_push_head (&request->account->waiting, request);
  else
    g_queue_push_tail (&request->account->waiting, request);
}

void
queue_dequeue (struct pl_core *core, struct request *request)
{
  assert (request->state == REQUEST_WAITING);
  if (g_queue_remove (&request->account->waiting, request))
    core->waiting_count--;
}

/* Delays the answer to a request on which a server failed until the other hosts can have received
 * the suspicion, since the caller may send the request again, to any of them, as soon as it has an
 * answer.  Returns false when no delay is needed. */
static bool
delay_refusal (struct pl_core *core, struct request *request, enum pl_refusal refusal)
{
  if (request->suspicion_sent_us == 0
      || core->now_us - request->suspicion_sent_us >= SUSPECT_DELIVERY_US)
    return false;
  request->state = REQUEST_REFUSAL_DELAYED;
  request->delayed_refusal = refusal;
  return true;
}

/* Callers take these statuses to say that the request did not run, whatever the headers say. */
static bool
implies_not_run (enum pl_refusal refusal)
{
  return pl_refusals[refusal].status == 429 || pl_refusals[refusal].status == 503;
}

void
queue_refuse (struct pl_core *core, struct request *request, enum pl_refusal refusal)
{
  /* Without a configuration or a route the request counts as not repeatable. */
  bool unrepeatable = (request->service == 0 || !request->route.repeatable)
                      && !request->event.forwarded && request->event.operation[0] != '\0';
  struct pl_effect *effect;

  if (request->may_have_run && implies_not_run (refusal))
    refusal = PL_REFUSAL_ANSWER_LOST;
  if (delay_refusal (core, request, refusal))
    return;
  if (request->account != NULL)
    request->account->counts.refused[refusal]++;
  if (request->route_name[0] != '\0')
    report_ensure_route (core, request->route_name)->refused[refusal]++;
  if (!request->caller_gone)
    {
      effect = core_add_effect (core, PL_EFFECT_REFUSE);
      effect->request = request->event.request;
      effect->valid_until_us = INT64_MAX;
      effect->u.refuse.refusal = refusal;
      effect->u.refuse.attempt_ran = request->may_have_run;
      effect->u.refuse.operation_ran = request->may_have_run || (unrepeatable && !request->claimed);
      effect->u.refuse.retry_after_ms = pl_refusals[refusal].retry_after_ms;
    }
  if (request->claimed && !request->may_have_run)
    operations_abandon (core, request);
  queue_free_request (core, request);
}
