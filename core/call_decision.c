/* What the configuration says about a call: whether it may be sent, for which account, to which
 * service, in which regions and how often.
 *
 * A call may wait, be tried again or be handed over, and the configuration may change meanwhile.
 * So a decision holds for one configuration, and each sending requires a decision by the one in
 * force: home regions, services, keys and kinds that were replaced are never used for another
 * sending, and a call whose route or key was withdrawn is refused.
 *
 * What the caller was admitted with stays: the charge to its account, its place in the queue, its
 * latency objective and its deadline.  A call that must run at most once by any of its decisions is
 * not repeated.
 */
#include "internal/router_state.h"

#include <string.h>

/* The entries of the configuration that apply to a call. */
struct call_rules
{
  const struct pl_route_rule *route;
  const struct pl_account_rule *account; /* NULL: none */
};

/* Returns why a request is refused whose route or key this host does not find; IS_INCOMPLETE: the
 * configuration has more of them, which can not be read. */
static int
refusal_of_unknown (const struct pl_router *router, bool is_incomplete,
                    enum router_refusal if_unknown)
{
  if (rows_are_stale (router))
    return ROUTER_STALE;
  return is_incomplete ? ROUTER_UNUSABLE_RULE : (int) if_unknown;
}

/* Finds the rules that apply to CALL, and sets its route.  Returns the refusal, or -1. */
static int
find_rules (struct pl_router *router, struct call *call, struct call_rules *rules)
{
  const struct pl_routing *routing = router->routing;
  int index = pl_routing_find_route (routing, call->host, call->path);

  *rules = (struct call_rules){NULL, NULL};
  call->adoption = router->adoptions;
  call->version = routing->version;
  if (index == PL_NONE)
    return refusal_of_unknown (router, routing->lacks_routes, ROUTER_NO_ROUTE);
  rules->route = PL_RULE_ROUTE (routing, index);
  call->route = router_ensure_route (router, rules->route->name);
  index = call->has_key ? pl_routing_find_account (routing, call->key_hash) : PL_NONE;
  if (index != PL_NONE)
    rules->account = PL_RULE_ACCOUNT (routing, index);
  if (rules->account == NULL && pl_routing_needs_key (routing, rules->route))
    return refusal_of_unknown (router, routing->lacks_accounts, ROUTER_NO_KEY);
  if (rules->route->is_unusable || (rules->account != NULL && rules->account->is_unusable))
    return ROUTER_UNUSABLE_RULE;
  return -1;
}

/* Sets what each sending of CALL depends on. */
static void
apply_rules (struct pl_router *router, struct call *call, const struct call_rules *rules)
{
  const struct pl_route_rule *route = rules->route;
  const struct pl_account_rule *account = rules->account;

  call->repeatable = call->repeatable && route->repeatable;
  call->sticky = route->sticky;
  call->attempts_max = MAX (route->attempts, 1);
  call->has_home_regions = route->has_home_regions;
  call->home_regions = route->has_home_regions ? route->home_regions : UINT32_MAX;
  call->account = account != NULL ? router_ensure_account (router, account) : NULL;
  if (account != NULL && account->has_home_regions)
    {
      call->has_home_regions = true;
      call->home_regions &= account->home_regions;
    }
}

/* Charges CALL to its account.  Returns the refusal, or -1.  A request that is handed over was
 * charged by the peer. */
static int
charge_account (struct pl_router *router, struct call *call)
{
  if (call->account == NULL || call->is_handover)
    return -1;
  if ((router->options.switches & PL_ROUTER_NO_QUOTA) == 0
      && !pl_quota_admit (&call->account->quota, router_view (router)->silent, router->now_us))
    return ROUTER_OVER_RATE;
  fleet_record_admitted (router, call->account);
  return -1;
}

static int
choose_service (struct pl_router *router, struct call *call, const struct pl_route_rule *route)
{
  const struct pl_route_part *part = pl_traffic_split_next (
      &call->route->split, route, router->self.incarnation ^ router->membership.self);

  if (part->service == PL_NONE)
    return ROUTER_UNUSABLE_RULE;
  call->service = pl_placement_ensure_service (&router->placement, part->service_name);
  call->wait.service = call->service;
  return -1;
}

/* Returns whether ROUTE still sends requests to the service of CALL. */
static bool
has_service (const struct pl_router *router, const struct call *call,
             const struct pl_route_rule *route)
{
  const char *name = pl_placement_service_name (&router->placement, call->service);

  for (int i = 0; i < route->part_count; i++)
    {
      const struct pl_route_part *part = &route->parts[i];

      if (part->service != PL_NONE && part->weight > 0 && strcmp (part->service_name, name) == 0)
        return true;
    }
  return false;
}

int
decision_admit (struct pl_router *router, struct call *call, const struct pl_call_event *event)
{
  struct call_rules rules;
  int refusal;

  if (router->routing == NULL)
    return ROUTER_NO_ROUTING;
  if (event->is_handover && router->routing->version < event->handover_version)
    return ROUTER_OLD_ROUTING;
  refusal = find_rules (router, call, &rules);
  if (call->route != NULL)
    call->route->counts.requests++;
  if (refusal >= 0)
    return refusal;
  call->objective_us = rules.route->objective_us;
  call->deadline_us = MIN (call->deadline_us, router->now_us + rules.route->timeout_us);
  call->wait.priority = rules.route->priority;
  if (router_may_exit_before (router, call->deadline_us))
    return ROUTER_STOPPING;
  apply_rules (router, call, &rules);
  if (call->account != NULL)
    {
      call->account->counts.requests++;
      if (rules.account->priority != PL_NONE)
        call->wait.priority = rules.account->priority;
    }
  if (quarantine_get_status (&router->quarantine, call->fingerprint) == QUARANTINE_CONFIRMED)
    return ROUTER_QUARANTINED;
  refusal = charge_account (router, call);
  /* After all other refusals, which would take one part more than another if they come in turns. */
  return refusal >= 0 ? refusal : choose_service (router, call, rules.route);
}

/* Decides on CALL, which an earlier configuration has admitted. */
static int
decide_again (struct pl_router *router, struct call *call)
{
  const struct router_account *charged = call->account;
  struct call_rules rules;
  int refusal = find_rules (router, call, &rules);

  if (refusal >= 0)
    return refusal;
  apply_rules (router, call, &rules);
  if (call->account != charged)
    refusal = charge_account (router, call);
  if (refusal >= 0 || has_service (router, call, rules.route))
    return refusal;
  return choose_service (router, call, rules.route);
}

int
decision_renew (struct pl_router *router, struct call *call)
{
  if (call->adoption != router->adoptions)
    call->refusal = decide_again (router, call);
  return call->refusal;
}

bool
decision_preview (struct pl_router *router, const struct call *call, struct call *preview)
{
  struct call_rules rules;

  *preview = *call;
  if (call->adoption == router->adoptions)
    return call->refusal < 0;
  if (find_rules (router, preview, &rules) >= 0)
    return false;
  apply_rules (router, preview, &rules);
  return true;
}

bool
decision_is_in_force (const struct pl_router *router, const struct call *call)
{
  return call->adoption == router->adoptions && call->refusal < 0;
}
