/* Handles requests: admission, placement, waiting, retries and refusals.
 *
 * A request that is known to fail is refused at once, with the time after which a
 * retry makes sense.  A request without a free slot waits for an eighth of its latency
 * objective.  That costs the caller nothing, while a longer wait that ends in a refusal
 * takes time in which another try might have succeeded.
 *
 * The order of the queue is in wait_queue.c.
 *
 * A request is charged to its account's rate whether it runs or not.  Otherwise an
 * account that sends many times its rate would meet no limit while servers are full,
 * and would take the slots of accounts that keep to their rates.
 *
 * A slow repeatable call may get a copy, a second attempt that runs beside the first
 * (see hedging.h).  The first success ends the call and the other attempt; an attempt
 * that fails while the other one runs does not end the call.
 *
 * Each sending follows the configuration in force at that moment (see call_decision.c).
 *
 * Invariants: a call is in the queue exactly while it is CALL_WAITING; a backend's
 * in_flight counts the attempts that run there, of calls that are CALL_AT_SERVER; such
 * a call has one attempt at a server, or two at different ones, and any other call has
 * none; each call is answered exactly once, by delivery or refusal, when no attempt of
 * it runs any more; the answer says "not run" only when the call was sent nowhere or
 * each server that it was sent to said so.
 */
#include "internal/router_state.h"

#include <assert.h>
#include <string.h>

#define CALLER_TIMEOUT_DEFAULT_US (30 * US_PER_S)
/* Leaves time for the answer to reach the caller before the caller's timeout. */
#define ANSWER_MARGIN_US (15 * US_PER_MS)
/* A request waits in the queue for its latency objective divided by this, which costs the caller
 * nothing, and for WAIT_MIN_US at least. */
#define WAIT_DIVISOR 8
#define WAIT_MIN_US (10 * US_PER_MS)
/* A request with less time left than this is not worth a retry. */
#define MIN_RETRY_TIME_US (20 * US_PER_MS)
/* A caller timeout below this fraction of the longest one on the route shows that the caller has
 * spent the difference on an earlier try. */
#define CALLER_RETRY_RATIO 0.97
/* Requests in which the excess of the longest timeout over the others falls by a factor of e. */
#define CALLER_TIMEOUT_MEMORY 1024
#define LARGE_BODY_BYTES 16384
#define RETRY_AFTER_FULL_US (150 * US_PER_MS)
#define RETRY_AFTER_NO_SERVER_US (400 * US_PER_MS)
#define RETRY_AFTER_SERVERS_LOST_US (400 * US_PER_MS)
#define RETRY_AFTER_NO_ROUTING_US (300 * US_PER_MS)
#define RETRY_AFTER_MAX_US US_PER_S
/* Peers that a request is handed over to, one after the other, as long as it reaches no server. */
#define HANDOVERS_MAX 3

/* HTTP status of each refusal: for a request that ran nowhere, and for one that may have run. */
static const int refusal_status[ROUTER_REFUSAL_COUNT][2] = {
    [ROUTER_NO_ROUTING] = {503, 502},      [ROUTER_STALE] = {503, 502},
    [ROUTER_NO_ROUTE] = {404, 502},        [ROUTER_NO_KEY] = {401, 502},
    [ROUTER_QUARANTINED] = {503, 502},     [ROUTER_OVER_RATE] = {429, 502},
    [ROUTER_NO_SERVER] = {503, 502},       [ROUTER_SERVERS_FULL] = {503, 502},
    [ROUTER_SERVERS_LIMITED] = {503, 502}, [ROUTER_SERVERS_REFUSED] = {503, 502},
    [ROUTER_SERVERS_LOST] = {503, 502},    [ROUTER_OLD_ROUTING] = {503, 502},
    [ROUTER_STOPPING] = {503, 502},        [ROUTER_PEER_REFUSED] = {503, 502},
    [ROUTER_TIMED_OUT] = {504, 504},       [ROUTER_NO_TIME] = {503, 504},
    [ROUTER_ANSWER_LOST] = {502, 502},     [ROUTER_UNSAFE_STATUS] = {502, 502},
    [ROUTER_CALLER_GONE] = {503, 502},     [ROUTER_UNUSABLE_RULE] = {503, 502},
    [ROUTER_OVER_SHARE] = {503, 502},      [ROUTER_TOO_LATE] = {503, 502},
};

static struct call *
call_of (struct pl_wait_entry *entry)
{
  return (struct call *) entry;
}

static void
dequeue (struct pl_router *router, struct call *call)
{
  if (call->state == CALL_WAITING)
    pl_wait_queue_remove (&router->waiting, &call->wait);
}

static void
remove_call (struct pl_router *router, struct call *call)
{
  g_hash_table_remove (router->calls, &call->id);
  g_free (call);
}

static void
count_refusal (const struct call *call, enum router_refusal refusal)
{
  if (call->account != NULL)
    call->account->counts.refused[refusal]++;
  if (call->route != NULL)
    call->route->counts.refused[refusal]++;
}

/* Returns after which time CALL, for which no server has capacity, is to come again. */
static int64_t
retry_after_full (struct pl_router *router, const struct call *call)
{
  const struct pl_share_verdict *verdict
      = call->share.decision == PL_SHARE_OVER_SHARE ? &call->share : NULL;

  if (!shares_apply (router, call))
    return RETRY_AFTER_FULL_US;
  return pl_fair_share_retry_after_us (&router->shares, call->service, verdict,
                                       call->deadline_us - router->now_us);
}

/* Refuses CALL, which must be in no queue and at no server, and removes it. */
static void
refuse (struct pl_router *router, struct call *call, enum router_refusal refusal,
        int64_t retry_after_us)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_REFUSE);
  int status = refusal_status[refusal][call->may_have_run ? 1 : 0];

  assert (call->other.backend == NULL);
  effect->request = call->id;
  effect->u.refuse.status = status;
  effect->u.refuse.reason = router_refusal_names[refusal];
  effect->u.refuse.attempts = call->attempts;
  effect->u.refuse.retry_after_us = MIN (retry_after_us, RETRY_AFTER_MAX_US);
  count_refusal (call, refusal);
  if (refusal == ROUTER_SERVERS_FULL || refusal == ROUTER_SERVERS_LIMITED
      || refusal == ROUTER_SERVERS_REFUSED || refusal == ROUTER_OVER_SHARE)
    pl_hedging_on_refusal (&router->hedging, call->service, router->now_us);
  call_log (router, call, "refused", router_refusal_names[refusal], status);
  remove_call (router, call);
}

static int64_t
retry_after (struct pl_router *router, const struct call *call, enum router_refusal refusal)
{
  switch (refusal)
    {
    case ROUTER_NO_ROUTING:
    case ROUTER_STALE:
    case ROUTER_UNUSABLE_RULE:
      return RETRY_AFTER_NO_ROUTING_US;
    case ROUTER_OVER_RATE:
      return MAX (pl_quota_token_wait_us (&call->account->quota), 100 * US_PER_MS);
    case ROUTER_NO_SERVER:
      return RETRY_AFTER_NO_SERVER_US;
    case ROUTER_SERVERS_LOST:
      return RETRY_AFTER_SERVERS_LOST_US;
    case ROUTER_SERVERS_FULL:
    case ROUTER_SERVERS_LIMITED:
    case ROUTER_SERVERS_REFUSED:
      return RETRY_AFTER_FULL_US;
    case ROUTER_OVER_SHARE:
    case ROUTER_TOO_LATE:
      return retry_after_full (router, call);
    default:
      return 0;
    }
}

/* Refuses CALL, which is not sent again, with REFUSAL unless the configuration in force forbids it.
 */
static void
refuse_unsent (struct pl_router *router, struct call *call, enum router_refusal refusal,
               int64_t retry_after_us)
{
  enum router_refusal renewed = (enum router_refusal) call->refusal;

  if (call->refusal < 0)
    refuse (router, call, refusal, retry_after_us);
  else
    refuse (router, call, renewed, retry_after (router, call, renewed));
}

/* Refuses CALL, for which no server has capacity in time. */
static void
refuse_full (struct pl_router *router, struct call *call)
{
  shares_record_missed (router, call);
  shares_record_waiting (router, call);
  refuse (router, call, ROUTER_SERVERS_FULL, retry_after_full (router, call));
}

/* Queues CALL for one waiting time.  The last call of a full queue is refused. */
static void
enqueue (struct pl_router *router, struct call *call)
{
  struct pl_wait_entry *displaced;

  call->wait.until_us = MIN (router->now_us + MAX (call->objective_us / WAIT_DIVISOR, WAIT_MIN_US),
                             call->deadline_us);
  call->state = CALL_WAITING;
  router->due_us = MIN (router->due_us, call->wait.until_us);
  if (shares_apply (router, call))
    pl_wait_queue_mark_ahead (&router->waiting, &call->wait);
  displaced = pl_wait_queue_add (&router->waiting, &call->wait);
  if (displaced != NULL)
    refuse_full (router, call_of (displaced));
}

/* Sets when a copy of CALL, which is being sent, is due. */
static void
plan_copy (const struct pl_router *router, struct call *call)
{
  bool may_copy = !call->has_copy && call->repeatable && !call->is_handover
                  && call->attempts < MIN (call->attempts_max, PL_TRIED_MAX)
                  && pl_placement_is_managed (&router->placement, call->service);

  call->copy_due_us = may_copy ? pl_hedging_due_us (&router->hedging, call->route->hedging,
                                                    call->deadline_us, router->now_us)
                               : INT64_MAX;
}

static void
send_to (struct pl_router *router, struct call *call, struct pl_backend *backend)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_SEND);

  assert (decision_is_in_force (router, call));
  shares_record_waiting (router, call);
  call->state = CALL_AT_SERVER;
  call->attempt = (struct call_attempt){.number = ++call->attempts_begun,
                                        .backend = backend,
                                        .sent_us = router->now_us,
                                        .load_at_send = backend->load_at_send,
                                        .expected_us = backend->expected_us,
                                        .is_copy = call->other.backend != NULL};
  call->attempts++;
  if (call->tried_count < PL_TRIED_MAX)
    call->tried[call->tried_count++] = backend->hash;
  effect->request = call->id;
  effect->attempt = call->attempt.number;
  effect->u.send.server = backend->entry.id;
  g_strlcpy (effect->u.send.address, backend->entry.address, sizeof effect->u.send.address);
  effect->u.send.account = call->account != NULL ? call->account->name : NULL;
  effect->u.send.time_left_us = call->deadline_us - router->now_us;
  effect->u.send.at_most_once = !call->repeatable;
  effect->u.send.only_kept_connection = router->reach.state == PL_REACH_KEPT_ONLY;
  limits_on_sent (router, backend, !call->missed_permit);
  plan_copy (router, call);
  router->due_us = MIN (router->due_us, MIN (call->deadline_us, call->copy_due_us));
  call_log (router, call, "sent", call->attempt.is_copy ? "copy" : "placed", 0);
}

/* Hands CALL, which is in no queue and at no server, over to a peer.  Returns false, and does
 * nothing, when no peer can take it. */
static bool
hand_over (struct pl_router *router, struct call *call)
{
  struct pl_member *peer
      = call->handovers < HANDOVERS_MAX ? reach_choose_peer (router, call) : NULL;
  struct pl_router_effect *effect;

  assert (decision_is_in_force (router, call));
  if (peer == NULL)
    return false;
  effect = router_add_effect (router, PL_ROUTER_HAND_OVER);
  call->state = CALL_AT_PEER;
  call->attempt
      = (struct call_attempt){.number = ++call->attempts_begun, .sent_us = router->now_us};
  call->copy_due_us = INT64_MAX;
  call->peer = peer->id;
  call->handovers++;
  effect->request = call->id;
  effect->attempt = call->attempt.number;
  g_snprintf (effect->u.hand_over.address, sizeof effect->u.hand_over.address, "%.*s:%s",
              (int) strcspn (peer->contact.peer_address, ":"), peer->contact.peer_address,
              router->options.handover_port);
  effect->u.hand_over.time_left_us = call->deadline_us - router->now_us;
  effect->u.hand_over.version = router->routing->version;
  effect->u.hand_over.attempts = call->attempts;
  effect->u.hand_over.at_most_once = !call->repeatable;
  router->due_us = MIN (router->due_us, call->deadline_us);
  call_log (router, call, "handed-over", "placed", 0);
  return true;
}

static struct pl_placement_request
describe_placement (struct pl_router *router, const struct call *call)
{
  return (struct pl_placement_request){
      .service = call->service,
      .object = call->sticky ? call->object : 0,
      .is_large = call->body_bytes >= LARGE_BODY_BYTES,
      .objective_us = call->objective_us,
      .time_left_us = call->deadline_us - router->now_us,
      .at_most_once = !call->repeatable,
      .has_home_regions = call->has_home_regions,
      .home_regions = call->home_regions,
      .tried = call->tried,
      .tried_count = call->tried_count,
      .permit_wait_us = call->wait.until_us - router->now_us,
      .body_bytes = call->body_bytes,
      .body_share = limits_body_share (router),
  };
}

/* Returns whether the decision on CALL allows an attempt beside those that it had. */
static bool
allows_attempt (const struct pl_router *router, const struct call *call)
{
  bool may_repeat = call->repeatable || (router->options.switches & PL_ROUTER_RETRY_ALL) != 0;

  return (!call->may_have_run || may_repeat) && call->attempts < call->attempts_max;
}

static enum pl_placement_result
place (struct pl_router *router, struct call *call)
{
  struct pl_placement_request placement_request;
  enum pl_placement_result result;

  if (decision_renew (router, call) >= 0 || !allows_attempt (router, call))
    return PL_PLACE_NONE;
  if (reach_holds_back (router, call) && hand_over (router, call))
    return PL_PLACED;
  placement_request = describe_placement (router, call);
  if (shares_apply (router, call))
    result = shares_choose_server (router, call, &placement_request);
  else
    result = pl_placement_choose (&router->placement, &placement_request, &limits_shares, router,
                                  &call->choice, router->now_us);
  pl_wait_entry_await (&call->wait, &call->choice);
  limits_on_placed (router, call);
  if (result == PL_PLACED)
    send_to (router, call, call->choice.backend);
  return result;
}

/* Learns the longest timeout of the callers of CALL's route, which is admitted.  In managed
 * services, where much depends on it, a single longer one is forgotten. */
static void
learn_caller_timeout (const struct pl_router *router, const struct call *call,
                      int64_t caller_timeout_us)
{
  struct router_route *route = call->route;
  int64_t longer_us = route->longest_caller_timeout_us - caller_timeout_us;

  if (longer_us < 0)
    route->longest_caller_timeout_us = caller_timeout_us;
  else if (shares_apply (router, call))
    route->longest_caller_timeout_us -= longer_us / CALLER_TIMEOUT_MEMORY;
}

static void
detect_caller_retry (const struct pl_router *router, struct call *call, int64_t caller_timeout_us,
                     bool is_admitted)
{
  struct router_route *route = call->route;

  call->on_time_until_us = call->wait.arrived_us + call->objective_us;
  if (route == NULL || caller_timeout_us <= 0)
    return;
  if (is_admitted)
    learn_caller_timeout (router, call, caller_timeout_us);
  call->wait.is_caller_retry
      = (double) caller_timeout_us < (double) route->longest_caller_timeout_us * CALLER_RETRY_RATIO;
  if (call->wait.is_caller_retry)
    call->on_time_until_us -= route->longest_caller_timeout_us - caller_timeout_us;
}

static struct call *
new_call (const struct pl_call_event *event)
{
  size_t id_size = strlen (event->correlation_id) + 1;
  size_t host_size = strlen (event->host) + 1;
  size_t path_size = strlen (event->path) + 1;
  struct call *call = g_malloc0 (sizeof *call + id_size + host_size + path_size);

  call->id = event->request;
  call->service = PL_NONE;
  call->refusal = -1;
  call->host = memcpy (call->correlation_id + id_size, event->host, host_size);
  call->path = memcpy (call->correlation_id + id_size + host_size, event->path, path_size);
  memcpy (call->correlation_id, event->correlation_id, id_size);
  call->has_key = event->has_key;
  memcpy (call->key_hash, event->key_hash, sizeof call->key_hash);
  call->repeatable = true;
  call->object = event->object;
  call->fingerprint = event->fingerprint;
  call->body_bytes = event->body_bytes;
  call->is_handover = event->is_handover;
  call->attempts = event->handover_attempts;
  call->copy_due_us = INT64_MAX;
  return call;
}

void
calls_on_arrival (struct pl_router *router, const struct pl_call_event *event)
{
  struct call *call = new_call (event);
  int64_t caller_timeout_us
      = event->caller_timeout_us > 0 ? event->caller_timeout_us : CALLER_TIMEOUT_DEFAULT_US;
  int refusal;

  call->wait.arrived_us = router->now_us;
  router->counts_handovers.taken += event->is_handover;
  fleet_record_request (router);
  call->deadline_us
      = router->now_us + MAX (caller_timeout_us - ANSWER_MARGIN_US, caller_timeout_us / 2);
  g_hash_table_insert (router->calls, &call->id, call);
  refusal = decision_admit (router, call, event);
  detect_caller_retry (router, call, event->caller_timeout_us, refusal < 0);
  if (refusal < 0)
    refusal = shares_admit (router, call);
  if (refusal >= 0)
    {
      refuse (router, call, (enum router_refusal) refusal,
              retry_after (router, call, (enum router_refusal) refusal));
      return;
    }
  if (!call->is_handover)
    pl_hedging_on_request (&router->hedging, call->service, router_view (router)->hosts);
  enqueue (router, call);
}

void
calls_on_servers_changed (struct pl_router *router)
{
  pl_wait_queue_mark_all (&router->waiting);
}

/* Refuses CALL, which can not be placed now, as RESULT says. */
static void
refuse_unplaced (struct pl_router *router, struct call *call, enum pl_placement_result result)
{
  switch (result)
    {
    case PL_PLACE_LIMITED:
      refuse (router, call, ROUTER_SERVERS_LIMITED,
              MAX (limits_wait_us (router, call->choice.unpermitted), RETRY_AFTER_FULL_US));
      break;
    case PL_PLACE_NONE:
      refuse_unsent (router, call, call->attempts > 0 ? ROUTER_SERVERS_REFUSED : ROUTER_NO_SERVER,
                     RETRY_AFTER_NO_SERVER_US);
      break;
    case PL_PLACE_CUT_OFF:
      refuse (router, call, ROUTER_SERVERS_LOST, RETRY_AFTER_SERVERS_LOST_US);
      break;
    case PL_PLACED:
    case PL_PLACE_FULL:
      refuse_full (router, call);
      break;
    }
}

void
calls_on_permits (struct pl_router *router, const struct pl_backend *backend)
{
  pl_wait_queue_mark_server (&router->waiting, backend);
}

/* Tries to place the waiting calls that are marked, in queue order.  Calls wait for different
 * servers, so one that gets no slot does not block those behind it. */
void
calls_place_waiting (struct pl_router *router)
{
  struct pl_wait_entry *entry;
  guint position = 0;

  while ((entry = pl_wait_queue_next (&router->waiting, &position)) != NULL)
    {
      enum pl_placement_result result = place (router, call_of (entry));

      if (result == PL_PLACE_FULL)
        continue;
      pl_wait_queue_remove (&router->waiting, entry);
      position--;
      if (result != PL_PLACED)
        refuse_unplaced (router, call_of (entry), result);
    }
}

/* Takes ATTEMPT of CALL off its backend when it has ended or is cancelled.  IS_OVERTAKEN: the other
 * attempt was faster. */
static void
release_backend (struct pl_router *router, const struct call *call,
                 const struct call_attempt *attempt, bool is_overtaken)
{
  assert (attempt->backend != NULL);
  if (is_overtaken)
    pl_placement_release_overtaken (attempt->backend, call->body_bytes);
  else
    pl_placement_release (attempt->backend, call->body_bytes, router->now_us);
  pl_wait_queue_mark_server (&router->waiting, attempt->backend);
}

static void
cancel_attempt (struct pl_router *router, const struct call *call,
                const struct call_attempt *attempt, bool is_overtaken)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_CANCEL);

  effect->request = call->id;
  effect->attempt = attempt->number;
  if (attempt->backend != NULL)
    release_backend (router, call, attempt, is_overtaken);
  router->hedging.cancelled += attempt->is_copy;
}

static void
cancel_other (struct pl_router *router, struct call *call)
{
  if (call->other.backend != NULL)
    cancel_attempt (router, call, &call->other, true);
  call->other.backend = NULL;
}

static void
cancel (struct pl_router *router, struct call *call)
{
  cancel_attempt (router, call, &call->attempt, false);
  cancel_other (router, call);
}

/* The current attempt of CALL has failed.  Returns whether another one runs, which is now the
 * current one. */
static bool
continue_with_other (struct call *call)
{
  if (call->other.backend == NULL)
    return false;
  call->attempt = call->other;
  call->other.backend = NULL;
  return true;
}

/* Returns whether CALL may be sent once more, but for the retry budget. */
static bool
may_retry (struct pl_router *router, struct call *call)
{
  bool is_allowed = decision_renew (router, call) < 0 && allows_attempt (router, call);

  return is_allowed && !call->caller_gone && call->deadline_us - router->now_us >= MIN_RETRY_TIME_US
         && quarantine_get_status (&router->quarantine, call->fingerprint) != QUARANTINE_CONFIRMED;
}

/* Queues CALL for another server if it may run again and the retry budget allows it.  Returns
 * whether it was queued, or another attempt of it still runs. */
static bool
retry_call (struct pl_router *router, struct call *call)
{
  if (continue_with_other (call))
    return true;
  if (!may_retry (router, call) || !pl_hedging_spend_retry (&router->hedging, call->service))
    return false;
  call->attempt.backend = NULL;
  call->copy_due_us = INT64_MAX;
  enqueue (router, call);
  return true;
}

/* Callers take these statuses to say that the request did not run.  A server's answer says so only
 * where it is marked as such, and then arrives as PL_ATTEMPT_NOT_RUN. */
static bool
status_implies_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
deliver (struct pl_router *router, struct call *call, int status)
{
  int64_t latency_us = router->now_us - call->wait.arrived_us;
  struct pl_router_effect *effect;

  assert (!status_implies_not_run (status));
  cancel_other (router, call);
  router->hedging.won += call->attempt.is_copy;
  effect = router_add_effect (router, PL_ROUTER_DELIVER);
  effect->request = call->id;
  effect->attempt = call->attempt.number;
  effect->u.deliver.status = status;
  if (call->account != NULL)
    {
      call->account->counts.served += status < 400;
      pl_histogram_add (&call->account->counts.latency, latency_us);
    }
  call->route->counts.served += status < 400;
  pl_histogram_add (&call->route->counts.latency, latency_us);
  call_log (router, call, "answered", "delivered", status);
  remove_call (router, call);
}

/* Records for the route of CALL how long its first attempt has taken, and for its server if that
 * was too slow for the copy. */
static void
record_route_latency (struct pl_router *router, struct call *call)
{
  const struct call_attempt *first = call->attempt.is_copy ? &call->other : &call->attempt;
  int64_t latency_us = router->now_us - first->sent_us;
  struct pl_placement_answer overtaken
      = {.latency_us = latency_us, .load = first->load_at_send, .at_us = router->now_us};

  if (first->backend == NULL)
    return;
  pl_hedging_record_latency (&router->hedging, &call->route->hedging, latency_us, router->now_us);
  if (first == &call->other)
    pl_placement_record_overtaken (&router->placement, first->backend, &overtaken);
}

static void
on_answer (struct pl_router *router, struct call *call, int status)
{
  bool failed = status >= 500;
  int64_t latency_us = router->now_us - call->attempt.sent_us;
  struct pl_placement_answer answer = {failed,
                                       latency_us > call->objective_us,
                                       latency_us,
                                       call->attempt.load_at_send,
                                       call->sticky ? call->object : 0,
                                       router->now_us};

  pl_placement_record_answer (&router->placement, call->attempt.backend, &answer);
  call->may_have_run = true;
  if (status < 500)
    quarantine_record_success (&router->quarantine, call->fingerprint);
  if ((failed && call->repeatable && retry_call (router, call))
      || (status_implies_not_run (status) && continue_with_other (call)))
    return;
  if (!failed)
    record_route_latency (router, call);
  if (status_implies_not_run (status))
    refuse (router, call, ROUTER_UNSAFE_STATUS, 0);
  else
    deliver (router, call, status);
}

static void
on_answer_lost (struct pl_router *router, struct call *call)
{
  struct pl_backend *backend = call->attempt.backend;

  call->may_have_run = true;
  reach_record_failure (router, backend, false);
  if (!reach_is_suspect (router))
    fleet_record_suspect (router, call->fingerprint, backend->hash, backend->in_flight == 0);
  if (!retry_call (router, call))
    refuse_unsent (router, call, ROUTER_ANSWER_LOST, 0);
}

static void
record_load (struct pl_router *router, const struct call *call,
             const struct pl_attempt_event *event)
{
  if (event->has_load)
    pl_placement_record_load (&router->placement, call->attempt.backend, &event->load,
                              router->now_us);
}

/* CALL was not sent, since its server could not be reached.  Nothing has arrived anywhere, so that
 * handing it over is no retry. */
static void
on_not_sent (struct pl_router *router, struct call *call)
{
  reach_record_failure (router, call->attempt.backend, true);
  if (continue_with_other (call))
    return;
  if (!pl_reach_is_cut_off (&router->reach) && retry_call (router, call))
    return;
  if (!reach_is_suspect (router))
    {
      refuse_unsent (router, call, ROUTER_SERVERS_REFUSED, RETRY_AFTER_FULL_US);
      return;
    }
  call->attempts--;
  if (!may_retry (router, call) || !hand_over (router, call))
    refuse_unsent (router, call, ROUTER_SERVERS_LOST, RETRY_AFTER_SERVERS_LOST_US);
}

/* Returns the refusal called REASON; the front of a peer has reasons of its own, such as that it is
 * out of memory. */
static enum router_refusal
find_refusal (const char *reason)
{
  for (int i = 0; i < ROUTER_REFUSAL_COUNT; i++)
    if (strcmp (router_refusal_names[i], reason) == 0)
      return (enum router_refusal) i;
  return ROUTER_PEER_REFUSED;
}

/* Returns whether another peer may be able to serve what one refused with REFUSAL. */
static bool
is_peers_own (enum router_refusal refusal)
{
  return refusal == ROUTER_SERVERS_LOST || refusal == ROUTER_OLD_ROUTING
         || refusal == ROUTER_PEER_REFUSED || refusal == ROUTER_NO_ROUTING
         || refusal == ROUTER_STALE || refusal == ROUTER_STOPPING;
}

/* Hands CALL, which a peer did not send to any server, over to another one, or refuses it. */
static void
try_next_peer (struct pl_router *router, struct call *call, enum router_refusal refusal,
               int64_t retry_after_us)
{
  reach_avoid_peer (router, call->peer);
  if (!may_retry (router, call) || !hand_over (router, call))
    refuse_unsent (router, call, refusal, retry_after_us);
}

static void
on_peer_refused (struct pl_router *router, struct call *call, const struct pl_attempt_event *event)
{
  const struct pl_peer_refusal *refusal = &event->refusal;
  enum router_refusal reason = find_refusal (refusal->reason);
  bool has_reached_server = refusal->attempts > call->attempts;

  router->counts_handovers.refused++;
  call->attempts = MAX (call->attempts, refusal->attempts);
  call->may_have_run = call->may_have_run || event->status == 502 || event->status == 504;
  if (!has_reached_server && !call->may_have_run && is_peers_own (reason))
    try_next_peer (router, call, reason, RETRY_AFTER_SERVERS_LOST_US);
  else
    refuse (router, call, reason, refusal->retry_after_us);
}

/* Handles the end of CALL's hand-over to a peer. */
static void
on_peer_attempt (struct pl_router *router, struct call *call, const struct pl_attempt_event *event)
{
  switch (event->end)
    {
    case PL_ATTEMPT_ANSWERED:
      router->counts_handovers.answered++;
      call->may_have_run = true;
      if (event->status < 500)
        quarantine_record_success (&router->quarantine, call->fingerprint);
      if (status_implies_not_run (event->status))
        refuse (router, call, ROUTER_UNSAFE_STATUS, 0);
      else
        deliver (router, call, event->status);
      return;
    case PL_ATTEMPT_PEER_REFUSED:
      on_peer_refused (router, call, event);
      return;
    case PL_ATTEMPT_NOT_SENT:
      router->counts_handovers.failed++;
      try_next_peer (router, call, ROUTER_SERVERS_LOST, RETRY_AFTER_SERVERS_LOST_US);
      return;
    case PL_ATTEMPT_NOT_RUN:
    case PL_ATTEMPT_OTHER_SERVER:
    case PL_ATTEMPT_ANSWER_LOST:
      router->counts_handovers.failed++;
      call->may_have_run = true;
      call->attempts++;
      reach_avoid_peer (router, call->peer);
      if (!may_retry (router, call) || !pl_hedging_spend_retry (&router->hedging, call->service)
          || !hand_over (router, call))
        refuse_unsent (router, call, ROUTER_ANSWER_LOST, 0);
      return;
    }
}

/* Makes the attempt NUMBER of CALL the current one.  Returns false if it does not run. */
static bool
select_attempt (struct call *call, uint32_t number)
{
  struct call_attempt current = call->attempt;

  if (current.number == number)
    return true;
  if (call->other.backend == NULL || call->other.number != number)
    return false;
  call->attempt = call->other;
  call->other = current;
  return true;
}

void
calls_on_attempt (struct pl_router *router, const struct pl_attempt_event *event)
{
  struct call *call = g_hash_table_lookup (router->calls, &event->request);

  if (call == NULL || call->state == CALL_WAITING || !select_attempt (call, event->attempt))
    return;
  router->counts_attempts[event->end][event->answer_id]++;
  if (event->end != PL_ATTEMPT_ANSWERED)
    call_log_failed_attempt (router, call, event);
  if (call->state == CALL_AT_PEER)
    {
      on_peer_attempt (router, call, event);
      return;
    }
  release_backend (router, call, &call->attempt, false);
  record_load (router, call, event);
  shares_record_outcome (router, call, event);
  if (event->end != PL_ATTEMPT_OTHER_SERVER)
    limits_on_answer (router, call->attempt.backend, event, call->attempt.sent_us);
  if (event->end != PL_ATTEMPT_NOT_SENT && event->end != PL_ATTEMPT_ANSWER_LOST)
    reach_on_answer (router, event->is_new_connection ? call->attempt.sent_us : 0);
  switch (event->end)
    {
    case PL_ATTEMPT_ANSWERED:
      on_answer (router, call, event->status);
      return;
    case PL_ATTEMPT_ANSWER_LOST:
    case PL_ATTEMPT_PEER_REFUSED: /* not sent by servers */
      on_answer_lost (router, call);
      return;
    case PL_ATTEMPT_NOT_SENT:
      on_not_sent (router, call);
      return;
    case PL_ATTEMPT_NOT_RUN:
      pl_placement_record_rejection (&router->placement, call->attempt.backend, event->has_load,
                                     router->now_us);
      break;
    case PL_ATTEMPT_OTHER_SERVER:
      pl_placement_remove (&router->placement, call->attempt.backend->entry.id, router->now_us);
      break;
    }
  if (!retry_call (router, call))
    refuse_unsent (router, call, ROUTER_SERVERS_REFUSED, retry_after_full (router, call));
}

/* A repeatable request is cancelled.  One that may run at most once and has been sent is left to
 * run, since its caller will want to find it done, but is not sent again.  The caller may have
 * closed one direction of its connection only, and the front holds the connection until the request
 * is answered. */
void
calls_on_caller_gone (struct pl_router *router, uint64_t id)
{
  struct call *call = g_hash_table_lookup (router->calls, &id);

  if (call == NULL)
    return;
  call->caller_gone = true;
  if (call->state != CALL_WAITING && !call->repeatable)
    return;
  if (call->state != CALL_WAITING)
    {
      cancel (router, call);
      call->may_have_run = true;
    }
  dequeue (router, call);
  refuse (router, call, ROUTER_CALLER_GONE, 0);
}

/* Ends a call whose time ran out at the server or peer, which may be slow or may not answer at all.
 */
static void
time_out_call (struct pl_router *router, struct call *call)
{
  static const struct pl_placement_answer none = {.failed = true, .late = true, .load = 1};

  record_route_latency (router, call);
  if (call->attempt.backend != NULL)
    pl_placement_record_answer (&router->placement, call->attempt.backend, &none);
  if (call->other.backend != NULL)
    pl_placement_record_answer (&router->placement, call->other.backend, &none);
  cancel (router, call);
  call->may_have_run = true;
  if (call->state == CALL_AT_SERVER)
    shares_record_missed (router, call);
  refuse (router, call, ROUTER_TIMED_OUT, 0);
}

/* Ends the attempt of CALL, whose answer can not come any more.  Without a token for a retry of
 * this host's own the caller is told at once, while it has time for one. */
static void
give_back (struct pl_router *router, struct call *call)
{
  cancel (router, call);
  call->may_have_run = true;
  if (call->is_handover || !may_retry (router, call)
      || !pl_hedging_spend_retry (&router->hedging, call->service) || !hand_over (router, call))
    refuse_unsent (router, call, ROUTER_ANSWER_LOST, 0);
}

/* Returns whether there is a peer that may take CALL, which is repeatable and at a server, by the
 * configuration in force. */
static bool
has_peer (struct pl_router *router, const struct call *call)
{
  struct call preview;

  return decision_preview (router, call, &preview) && preview.repeatable
         && reach_choose_peer (router, &preview) != NULL;
}

void
calls_on_servers_lost (struct pl_router *router)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct call *call = value;

      if (call->state == CALL_AT_SERVER && call->repeatable
          && (call->is_handover || has_peer (router, call)))
        g_ptr_array_add (lost, call);
    }
  for (guint i = 0; i < lost->len; i++)
    give_back (router, g_ptr_array_index (lost, i));
}

/* Sends a second copy of CALL, which is due, if it may have one: both attempts follow the same
 * configuration. */
static void
try_copy (struct pl_router *router, struct call *call)
{
  struct pl_placement_request placement_request = describe_placement (router, call);
  struct pl_hedging_request request = {
      .service = call->service,
      .is_suspect
      = quarantine_get_status (&router->quarantine, call->fingerprint) != QUARANTINE_CLEAR,
      .reaches_servers = router->reach.state == PL_REACH_OPEN,
      .over_rate = call->account != NULL && pl_quota_token_wait_us (&call->account->quota) > 0,
      .waiting = pl_wait_queue_count (&router->waiting, call->service),
      .is_contended = pl_fair_share_is_contended (&router->shares, call->service),
      .late_ratio = pl_placement_late_ratio (&router->placement, call->service),
      .time_left_us = call->deadline_us - router->now_us,
  };
  struct pl_placement_choice choice;
  enum pl_hedging_verdict verdict;

  call->copy_due_us = INT64_MAX;
  if (!decision_is_in_force (router, call))
    return;
  verdict = pl_hedging_judge (&router->hedging, call->route->hedging, &request, router->now_us);
  placement_request.is_copy = true;
  if (verdict == PL_HEDGING_COPY
      && pl_placement_choose (&router->placement, &placement_request, NULL, NULL, &choice,
                              router->now_us)
             != PL_PLACED)
    verdict = PL_HEDGING_NO_SERVER;
  router->hedging.verdicts[verdict]++;
  call_log_copy (router, call, verdict, &request);
  if (verdict != PL_HEDGING_COPY)
    return;
  pl_hedging_spend_copy (&router->hedging, call->service);
  call->has_copy = true;
  call->other = call->attempt;
  send_to (router, call, choice.backend);
}

void
calls_run_timers (struct pl_router *router)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct call *call = value;
      int64_t due_us = call->state == CALL_WAITING ? call->wait.until_us : call->deadline_us;

      if (due_us <= router->now_us)
        {
          g_ptr_array_add (ended, call);
          continue;
        }
      if (call->state == CALL_AT_SERVER && call->copy_due_us <= router->now_us)
        try_copy (router, call);
      router->due_us = MIN (router->due_us, MIN (due_us, call->copy_due_us));
    }
  for (guint i = 0; i < ended->len; i++)
    {
      struct call *call = g_ptr_array_index (ended, i);

      if (call->state != CALL_WAITING)
        time_out_call (router, call);
      else
        {
          enum pl_placement_result result;

          dequeue (router, call);
          if (call->deadline_us <= router->now_us)
            {
              refuse (router, call, ROUTER_NO_TIME, 0);
              continue;
            }
          /* Reported loads decay with time, so a slot may have become free without an answer. */
          result = place (router, call);
          if (result != PL_PLACED)
            refuse_unplaced (router, call, result);
        }
    }
}
