/* Log lines about requests: one for each decision, with what decided it.
 *
 * Their number is limited, and the limit is checked before a line is built.
 */
#include "internal/router_state.h"

/* Limit of log lines about requests: above it, a process would spend more time on the lines than on
 * the requests. */
#define REQUEST_LOG_LINES_PER_SECOND 300

const char *const router_refusal_names[ROUTER_REFUSAL_COUNT] = {
    [ROUTER_NO_ROUTING] = "no-configuration",
    [ROUTER_STALE] = "cut-off",
    [ROUTER_NO_ROUTE] = "no-route",
    [ROUTER_NO_KEY] = "no-key",
    [ROUTER_QUARANTINED] = "quarantined",
    [ROUTER_OVER_RATE] = "over-rate",
    [ROUTER_NO_SERVER] = "no-server",
    [ROUTER_SERVERS_FULL] = "servers-full",
    [ROUTER_OVER_SHARE] = "over-share",
    [ROUTER_TOO_LATE] = "too-late",
    [ROUTER_SERVERS_LIMITED] = "servers-limited",
    [ROUTER_SERVERS_REFUSED] = "servers-refused",
    [ROUTER_SERVERS_LOST] = "servers-lost",
    [ROUTER_UNUSABLE_RULE] = "unusable-configuration",
    [ROUTER_OLD_ROUTING] = "old-configuration",
    [ROUTER_STOPPING] = "stopping",
    [ROUTER_PEER_REFUSED] = "peer-refused",
    [ROUTER_TIMED_OUT] = "no-answer-in-time",
    [ROUTER_NO_TIME] = "no-time-left",
    [ROUTER_ANSWER_LOST] = "answer-lost",
    [ROUTER_UNSAFE_STATUS] = "failed",
    [ROUTER_CALLER_GONE] = "caller-gone",
};

const char *const call_attempt_end_names[PL_ATTEMPT_END_COUNT] = {
    [PL_ATTEMPT_ANSWERED] = "answered",  [PL_ATTEMPT_NOT_RUN] = "not-run",
    [PL_ATTEMPT_NOT_SENT] = "not-sent",  [PL_ATTEMPT_OTHER_SERVER] = "other-server",
    [PL_ATTEMPT_ANSWER_LOST] = "broken", [PL_ATTEMPT_PEER_REFUSED] = "refused-by-peer",
};

const char *const call_answer_id_names[PL_ANSWER_ID_COUNT] = {
    [PL_ANSWER_ID_NONE] = "none",
    [PL_ANSWER_ID_OWN] = "own",
    [PL_ANSWER_ID_OTHER] = "other",
};

static const char *const framing_names[] = {
    [PL_ANSWER_FRAMING_CLOSE] = "close",
    [PL_ANSWER_FRAMING_LENGTH] = "length",
    [PL_ANSWER_FRAMING_CHUNKED] = "chunked",
};

/* Limits the log lines about requests before they are built, since building one costs as much as
 * the request itself. */
static bool
may_log_request (struct pl_router *router)
{
  int64_t second = router->now_us / US_PER_S;

  if (router->log_second != second)
    {
      router->log_second = second;
      router->log_lines = 0;
    }
  if (router->log_lines >= REQUEST_LOG_LINES_PER_SECOND)
    {
      router->log_lines_suppressed++;
      return false;
    }
  router->log_lines++;
  return true;
}

/* Returns the names of the regions to which CALL is bound. */
static json_t *
pack_home_regions (const struct pl_router *router, const struct call *call)
{
  json_t *names = json_array ();

  for (guint i = 0; i < router->region_names->len; i++)
    if ((call->home_regions >> i & 1) != 0)
      json_array_append_new (names, json_string (g_ptr_array_index (router->region_names, i)));
  return names;
}

static const char *
region_name (const struct pl_router *router, int region)
{
  return region != PL_NONE ? g_ptr_array_index (router->region_names, (guint) region) : "";
}

/* Returns the fields of a log line about CALL. */
static json_t *
pack_call (const struct pl_router *router, const struct call *call, const char *outcome, int status)
{
  const struct pl_backend *backend = call->attempt.backend;
  const struct pl_backend *passed_over
      = pl_placement_find_by_hash (&router->placement, call->passed_over);
  json_t *fields = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I}", "request", call->correlation_id, "outcome",
      outcome, "route", call->route != NULL ? call->route->name : "", "account",
      call->account != NULL ? call->account->name : "", "service",
      call->service != PL_NONE ? pl_placement_service_name (&router->placement, call->service) : "",
      "status", status, "attempts", call->attempts, "after_us",
      (json_int_t) (router->now_us - call->wait.arrived_us), "left_us",
      (json_int_t) (call->deadline_us - router->now_us), "version", (json_int_t) call->version,
      "version_age_us", (json_int_t) freshness_age_us (router));
  if (router->routing != NULL && router->routing->version != call->version)
    json_object_set_new (fields, "held_version", json_integer (router->routing->version));
  if (call->has_home_regions)
    json_object_set_new (fields, "home_regions", pack_home_regions (router, call));
  if (call->object != 0)
    json_object_set_new (fields, "object", json_integer ((json_int_t) (call->object >> 1)));
  if (backend != NULL)
    json_object_update_new (
        fields,
        json_pack ("{s:s,s:s,s:s,s:f,s:i,s:I,s:I}", "server", backend->entry.id, "domain",
                   backend->entry.domain, "region", region_name (router, backend->region), "load",
                   call->attempt.load_at_send, "in_flight", backend->in_flight, "load_age_us",
                   (json_int_t) (backend->load.reported_us > 0
                                     ? router->now_us - backend->load.reported_us
                                     : -1),
                   "work_us", (json_int_t) backend->work_us));
  if (backend != NULL && pl_placement_is_managed (&router->placement, backend->service))
    json_object_update_new (
        fields,
        json_pack ("{s:I,s:I,s:I}", "work_percent",
                   (json_int_t) (100 * pl_server_load_slowdown (&backend->load, router->now_us)),
                   "work_age_us",
                   (json_int_t) pl_server_load_work_age_us (&backend->load, router->now_us),
                   "expected_us", (json_int_t) call->attempt.expected_us));
  if (backend != NULL && backend->limit.in_force)
    json_object_update_new (fields,
                            json_pack ("{s:f,s:I}", "server_limit", backend->limit.per_second,
                                       "sent_under_limit", (json_int_t) backend->limit.sent));
  if (passed_over != NULL)
    json_object_set_new (fields, "passed_over", json_string (passed_over->entry.id));
  if (call->has_copy)
    json_object_set_new (fields, "copy", json_boolean (call->attempt.is_copy));
  if (call->is_handover)
    json_object_set_new (fields, "handed_over", json_true ());
  if (call->peer != 0)
    json_object_set_new (fields, "peer", json_string (reach_peer_name (router, call->peer)));
  if (call->share.level > 0)
    json_object_update_new (fields, json_pack ("{s:f,s:f,s:f,s:I}", "fair_level", call->share.level,
                                               "use", call->share.use, "weight", call->share.weight,
                                               "use_age_us", (json_int_t) call->share.age_us));
  if (status == 429 && call->account != NULL)
    json_object_update_new (fields,
                            json_pack ("{s:f,s:f,s:f}", "tokens", call->account->quota.tokens,
                                       "rate", call->account->quota.rate, "hosts_heard",
                                       call->account->quota.refill_ratio));
  return fields;
}

static void
log_fields (struct pl_router *router, const char *event, json_t *fields)
{
  if (router->log_lines_suppressed > 0)
    json_object_set_new (fields, "requests_left_out", json_integer (router->log_lines_suppressed));
  router->log_lines_suppressed = 0;
  router_log (router, PL_ROUTER_LOG_REQUEST, event, fields);
}

void
call_log (struct pl_router *router, const struct call *call, const char *event, const char *outcome,
          int status)
{
  if (may_log_request (router))
    log_fields (router, event, pack_call (router, call, outcome, status));
}

void
call_log_failed_attempt (struct pl_router *router, const struct call *call,
                         const struct pl_attempt_event *event)
{
  json_t *fields;

  if (!may_log_request (router))
    return;
  fields = pack_call (router, call, call_attempt_end_names[event->end], event->status);
  json_object_update_new (fields,
                          json_pack ("{s:s,s:I,s:s,s:s,s:I}", "connection",
                                     event->is_new_connection ? "new" : "kept", "servers_silent_us",
                                     (json_int_t) (router->reach.answered_us > 0
                                                       ? router->now_us - router->reach.answered_us
                                                       : -1),
                                     "answer_id", call_answer_id_names[event->answer_id], "framing",
                                     framing_names[event->answer_framing], "answer_bytes",
                                     (json_int_t) event->answer_bytes));
  log_fields (router, "attempt-failed", fields);
}

void
call_log_copy (struct pl_router *router, const struct call *call, enum pl_hedging_verdict verdict,
               const struct pl_hedging_request *request)
{
  const struct pl_hedging_route *route = call->route->hedging;
  const struct pl_hedging_service *budgets
      = pl_hedging_budgets (&router->hedging, request->service);
  json_t *fields;

  if (!may_log_request (router))
    return;
  fields = pack_call (router, call, pl_hedging_verdict_names[verdict], 0);
  json_object_update_new (
      fields,
      json_pack ("{s:I,s:f,s:i,s:f,s:f,s:i,s:b,s:f}", "delay_us", (json_int_t) route->delay_us,
                 "quantile", pl_hedging_quantile (&router->hedging), "samples",
                 (int) route->samples, "copy_tokens", budgets->copy_tokens, "retry_tokens",
                 budgets->retry_tokens, "waiting", request->waiting, "contended",
                 request->is_contended, "late_ratio", request->late_ratio));
  log_fields (router, "copy", fields);
}
