/* Fair shares between client accounts, as the router applies them to its calls: their admission,
 * the choice of a server in time, and what their outcomes tell (see fair_share.h). */
#include "internal/router_state.h"

bool
shares_apply (const struct pl_router *router, const struct call *call)
{
  return call->service != PL_NONE && (router->options.switches & PL_ROUTER_NO_SHARES) == 0
         && pl_placement_is_managed (&router->placement, call->service);
}

void
shares_record_missed (struct pl_router *router, const struct call *call)
{
  if (shares_apply (router, call))
    pl_fair_share_record (&router->shares, call->service, PL_SHARE_MISSED, 0, -1, router->now_us);
}

void
shares_record_waiting (struct pl_router *router, const struct call *call)
{
  if (shares_apply (router, call) && call->attempts == 0)
    pl_fair_share_record_waiting (&router->shares, call->service,
                                  router->now_us - call->wait.arrived_us);
}

int
shares_admit (struct pl_router *router, struct call *call)
{
  static const int refusals[] = {[PL_SHARE_ADMITTED] = -1,
                                 [PL_SHARE_OVER_SHARE] = ROUTER_OVER_SHARE,
                                 [PL_SHARE_TOO_LATE] = ROUTER_TOO_LATE,
                                 [PL_SHARE_NO_TIME] = ROUTER_NO_TIME};
  struct router_account *account = call->account;
  struct pl_share_request request = {
      .service = call->service,
      .account = account != NULL ? &account->share : NULL,
      .quota = account != NULL ? &account->quota : NULL,
      .hosts = router_view (router)->hosts,
      .is_retry = call->wait.is_caller_retry,
      .time_left_us = call->deadline_us - router->now_us,
      .objective_us = call->objective_us,
      .on_time_us = call->on_time_until_us - router->now_us,
  };

  if (!shares_apply (router, call) || call->is_handover)
    return -1;
  call->share = pl_fair_share_admit (&router->shares, &request, router->now_us);
  call->on_time_until_us = router->now_us + call->share.on_time_us;
  return refusals[call->share.decision];
}

enum pl_placement_result
shares_choose_server (struct pl_router *router, struct call *call,
                      struct pl_placement_request *request)
{
  if (pl_fair_share_is_contended (&router->shares, call->service))
    request->expected_max_us = pl_fair_share_answer_max_us (
        &router->shares, call->service, call->on_time_until_us - router->now_us);
  return pl_placement_choose (&router->placement, request, &limits_shares, router, &call->choice,
                              router->now_us);
}

void
shares_record_outcome (struct pl_router *router, const struct call *call,
                       const struct pl_attempt_event *event)
{
  struct pl_share_answer answer = {
      .is_rejected = event->end == PL_ATTEMPT_NOT_RUN,
      .is_failure = event->status >= 500,
      .is_late = router->now_us > call->on_time_until_us,
      .has_load = event->has_load,
      .load = event->load,
      .latency_us = router->now_us - call->attempt.sent_us,
      .objective_us = call->objective_us,
  };

  if ((event->end == PL_ATTEMPT_ANSWERED || answer.is_rejected) && shares_apply (router, call))
    pl_fair_share_record_answer (&router->shares, call->service, &answer, router->now_us);
}
