/* The reducer's entry point: takes one event and returns effects.
 *
 * All modules of the router keep their state in struct pl_router.  A step sets the
 * time, applies the event, runs the timers that are due, and at the end places
 * waiting requests, since any event may have freed a slot.  due_us is the time of the
 * next tick: the timers set it in each step, and code that needs an earlier tick lowers
 * it.
 */
#include "internal/router_state.h"

#include <assert.h>
#include <string.h>

#define MAINTENANCE_PERIOD_US (250 * US_PER_MS)
/* Much shorter than the time after which the view counts a host as silent. */
#define VIEW_PERIOD_US (50 * US_PER_MS)
/* Percentages of the grace time that a stopping process has.  By the first, the addresses that
 * callers have cached have expired; the second leaves time to exit before the process is killed. */
#define STOP_LISTENING_PERCENT 55
#define STOP_PERCENT 90
/* By then a stopping host has few callers that can not know of it: the addresses that hosts hand
 * out hold for two seconds.  Requests that arrive before are taken whatever time they have. */
#define STOP_NOTICE_US (3000 * US_PER_MS)

struct pl_router_effect *
router_add_effect (struct pl_router *router, enum pl_router_effect_type type)
{
  struct pl_router_effects *effects = router->effects;
  struct pl_router_effect *effect;

  if (effects->count == effects->capacity)
    {
      effects->capacity = effects->capacity == 0 ? 32 : effects->capacity * 2;
      effects->items = g_renew (struct pl_router_effect, effects->items, effects->capacity);
    }
  effect = &effects->items[effects->count++];
  memset (effect, 0, sizeof *effect);
  effect->type = type;
  return effect;
}

void
pl_router_effects_clear (struct pl_router_effects *effects)
{
  for (int i = 0; i < effects->count; i++)
    {
      struct pl_router_effect *effect = &effects->items[i];

      if (effect->type == PL_ROUTER_SEND_BEACON)
        g_free (effect->u.datagram.beacon);
      if (effect->type == PL_ROUTER_PROBE)
        g_free (effect->u.probe.path);
      if (effect->type == PL_ROUTER_LOG)
        json_decref (effect->u.log_line.fields);
    }
  effects->count = 0;
}

void
pl_router_effects_free (struct pl_router_effects *effects)
{
  pl_router_effects_clear (effects);
  g_clear_pointer (&effects->items, g_free);
  effects->capacity = 0;
}

void
router_log (struct pl_router *router, enum pl_router_log_level level, const char *event,
            json_t *fields)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_LOG);

  effect->u.log_line.level = level;
  effect->u.log_line.event = event;
  effect->u.log_line.fields = fields;
}

int
pl_router_ensure_region (struct pl_router *router, const char *name)
{
  for (guint i = 0; i < router->region_names->len; i++)
    if (strcmp (g_ptr_array_index (router->region_names, i), name) == 0)
      return (int) i;
  if (router->region_names->len == PL_ROUTING_REGIONS_MAX)
    return PL_NONE;
  g_ptr_array_add (router->region_names, g_strdup (name));
  return (int) router->region_names->len - 1;
}

/* Returns the view of the fleet, computed again when it is due: several decisions about each
 * request use it, and it changes only with beacons and with hosts that become silent. */
const struct pl_fleet_view *
router_view (struct pl_router *router)
{
  struct pl_membership *membership = &router->membership;
  uint64_t delegates[PL_DELEGATES];
  int others;

  if (router->now_us < router->view_due_us)
    return &router->view;
  pl_membership_update_reporters (membership, router->now_us);
  others = pl_membership_delegates (membership, delegates, router->now_us);
  router->is_delegate = others < PL_DELEGATES;
  /* The only delegate of a domain reports all accounts. */
  router->account_shard = PL_NONE;
  for (int i = 0; others == PL_DELEGATES - 1 && i < PL_DELEGATES; i++)
    if (delegates[i] == 0)
      router->account_shard = i;
  router->view = pl_membership_view (membership, router->store.is_lost, router->now_us);
  router->view_due_us = router->now_us + VIEW_PERIOD_US;
  return &router->view;
}

int
router_domain_region (const struct pl_router *router, const char *domain)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (router->domain_regions, domain)) - 1;
}

static void
free_route (gpointer data)
{
  struct router_route *route = data;

  g_free (route->name);
  pl_traffic_split_clear (&route->split);
  g_free (route->hedging);
  g_free (route);
}

struct router_route *
router_ensure_route (struct pl_router *router, const char *name)
{
  struct router_route *route = g_hash_table_lookup (router->routes, name);

  if (route != NULL)
    return route;
  route = g_new0 (struct router_route, 1);
  route->name = g_strdup (name);
  g_hash_table_insert (router->routes, route->name, route);
  return route;
}

static void
free_account (gpointer data)
{
  struct router_account *account = data;

  pl_quota_clear (&account->quota);
  g_free (account->name);
  g_free (account);
}

struct router_account *
router_ensure_account (struct pl_router *router, const struct pl_account_rule *rule)
{
  struct router_account *account = g_hash_table_lookup (router->accounts, rule->name);

  if (account != NULL)
    return account;
  account = g_new0 (struct router_account, 1);
  account->id = rule->id;
  account->name = g_strdup (rule->name);
  pl_quota_init (&account->quota, router->now_us);
  g_hash_table_insert (router->accounts, account->name, account);
  g_hash_table_insert (router->accounts_by_id, &account->id, account);
  return account;
}

static void
free_row (gpointer data)
{
  struct held_row *row = data;

  g_free (row->key);
  g_free (row->current.bytes);
  g_free (row->restored.bytes);
  g_free (row);
}

static void
load_domains (struct pl_router *router, const char *const *domains)
{
  for (; domains != NULL && *domains != NULL; domains++)
    {
      g_auto (GStrv) pair = g_strsplit (*domains, "=", 2);

      if (pair[0] != NULL && pair[1] != NULL)
        g_hash_table_insert (router->domain_regions, g_strdup (pair[0]),
                             GINT_TO_POINTER (pl_router_ensure_region (router, pair[1]) + 1));
    }
}

bool
router_is_delegate (struct pl_router *router)
{
  router_view (router);
  return router->is_delegate;
}

/* Registers all domains at the start, so that one without any beacon is noticed. */
static void
register_domains (struct pl_router *router)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, router->domain_regions);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    pl_membership_ensure_domain (&router->membership, name, router_domain_region (router, name));
}

struct pl_router *
pl_router_new (const struct pl_router_options *options)
{
  struct pl_router *router = g_new0 (struct pl_router, 1);
  int region;

  router->options = *options;
  router->now_us = options->now_us;
  router->started_us = options->now_us;
  router->store = (struct pl_store_access){
      .lost_since_us = -1, .failed_us = -1, .back_us = -1, .watching_since_us = -1};
  router->region_names = g_ptr_array_new_with_free_func (g_free);
  router->domain_regions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  router->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_account);
  router->accounts_by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  router->routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_route);
  pl_hedging_init (&router->hedging,
                   &(struct pl_hedging_options){options->retry_ratio, options->retry_slack,
                                                options->hedge_ratio});
  router->calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  pl_wait_queue_init (&router->waiting);
  for (int i = 0; i < PL_TABLES_MAX; i++)
    {
      router->held[i].rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_row);
      router->held[i].settled_era = PL_NONE;
    }
  load_domains (router, options->domains);
  region = router_domain_region (router, options->domain);
  pl_placement_init (&router->placement, options->domain, region);
  router->placement.ignores_speeds = (options->switches & PL_ROUTER_NO_EXPECTED_TIMES) != 0;
  pl_placement_set_load_management (&router->placement, options->load_management);
  pl_placement_set_max_shift (&router->placement, options->max_shift);
  pl_membership_init (&router->membership, options->name, options->domain, region);
  register_domains (router);
  pl_fair_share_init (&router->shares,
                      pl_hash_pair (options->incarnation, router->membership.self));
  quarantine_init (&router->quarantine);
  router->self.host = router->membership.self;
  /* The settings are checked for what fits into a beacon. */
  assert (strlen (options->name) <= PL_HOST_NAME_BYTES_MAX
          && strlen (options->domain) <= PL_HOST_NAME_BYTES_MAX);
  g_strlcpy (router->self.self.name, options->name, sizeof router->self.self.name);
  g_strlcpy (router->self.self.peer_address, options->peer_address,
             sizeof router->self.self.peer_address);
  g_strlcpy (router->self.self.caller_address, options->caller_address,
             sizeof router->self.self.caller_address);
  g_strlcpy (router->self.self.relay_address, options->relay_address,
             sizeof router->self.self.relay_address);
  g_strlcpy (router->self.self.domain, options->domain, sizeof router->self.self.domain);
  router->self.self.capacity = options->capacity;
  router->self.incarnation = options->incarnation;
  router->membership.self_capacity = options->capacity;
  router->due_us = options->now_us;
  return router;
}

void
pl_router_free (struct pl_router *router)
{
  GHashTableIter iter;
  gpointer value;

  if (router == NULL)
    return;
  g_hash_table_iter_init (&iter, router->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_free (value);
  g_hash_table_destroy (router->calls);
  pl_wait_queue_clear (&router->waiting);
  pl_fair_share_clear (&router->shares);
  for (int i = 0; i < PL_TABLES_MAX; i++)
    g_hash_table_destroy (router->held[i].rows);
  quarantine_free (&router->quarantine);
  pl_membership_clear (&router->membership);
  pl_placement_clear (&router->placement);
  pl_hedging_clear (&router->hedging);
  g_hash_table_destroy (router->routes);
  g_hash_table_destroy (router->accounts_by_id);
  g_hash_table_destroy (router->accounts);
  g_hash_table_destroy (router->domain_regions);
  g_ptr_array_free (router->region_names, TRUE);
  pl_routing_unref (router->routing);
  g_free (router);
}

void
router_probe (struct pl_router *router, struct pl_backend *backend, bool on_new_connection)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_PROBE);
  int service = router->routing != NULL
                    ? pl_routing_find_service (router->routing, backend->entry.service)
                    : PL_NONE;

  backend->probe_pending = true;
  effect->u.probe.on_new_connection = on_new_connection;
  effect->u.probe.server = backend->hash;
  effect->u.probe.server_id = backend->entry.id;
  g_strlcpy (effect->u.probe.address, backend->entry.address, sizeof effect->u.probe.address);
  effect->u.probe.path = g_strdup (
      service != PL_NONE ? PL_RULE_SERVICE (router->routing, service)->health_path : "/");
}

/* Probes the servers that are due.  A probe takes a slot like a request, so it requires a permit
 * where a rate limit is in force. */
static void
probe_servers (struct pl_router *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->placement.backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_backend *backend = value;

      if (!pl_placement_needs_probe (&router->placement, backend, router->now_us))
        continue;
      if (backend->limit.in_force && limits_permit (router, backend, 0) != PL_PERMIT_HELD)
        {
          limits_on_missed (router, backend);
          continue;
        }
      limits_on_sent (router, backend, true);
      router_probe (router, backend, false);
    }
}

/* Returns the fractions and weights of PLAN, and what they are based on. */
static json_t *
describe_plan (const struct pl_router *router, const struct pl_region_plan *plan)
{
  json_t *regions = json_array ();

  for (guint i = 0; i < router->region_names->len; i++)
    {
      const struct pl_region_plan_region *region = &plan->regions[i];
      const char *name = g_ptr_array_index (router->region_names, i);
      json_t *fields = json_pack ("{s:s,s:f,s:f,s:i}", "region", name, "fraction",
                                  pl_region_plan_fraction (plan, (int) i), "weight", region->weight,
                                  "slots", region->slots);

      if (region->is_known)
        {
          json_object_set_new (fields, "load", json_real (region->utilisation));
          json_object_set_new (fields, "age_us", json_integer (region->report_age_us));
        }
      json_array_append_new (regions, fields);
    }
  return regions;
}

static void
update_plans (struct pl_router *router)
{
  for (int i = 0; i < (int) router->placement.services->len; i++)
    {
      struct pl_region_plan *plan
          = pl_placement_update_plan (&router->placement, i, router->now_us);

      if (plan != NULL && pl_region_plan_needs_log (plan, router->now_us))
        router_log (router, PL_ROUTER_LOG_STATE, "region-plan-changed",
                    json_pack ("{s:s,s:f,s:f,s:o}", "service",
                               pl_placement_service_name (&router->placement, i), "kept",
                               pl_region_plan_fraction (plan, plan->own_region), "target",
                               plan->target, "regions", describe_plan (router, plan)));
    }
}

/* Ends nothing whose texts an effect of this step borrows: a server with a request or a probe is
 * kept, and routes and accounts last as long as the router. */
static void
run_maintenance (struct pl_router *router)
{
  if (router->now_us < router->maintenance_due_us)
    return;
  router->maintenance_due_us = router->now_us + MAINTENANCE_PERIOD_US;
  if (!pl_reach_is_cut_off (&router->reach))
    probe_servers (router);
  pl_placement_expire (&router->placement, router->now_us);
  update_plans (router);
  pl_membership_expire (&router->membership, router->store.is_lost, router->now_us);
  quarantine_expire (&router->quarantine, router->now_us);
}

bool
router_may_exit_before (const struct pl_router *router, int64_t deadline_us)
{
  return router->stopping && router->now_us - router->stopping_us >= STOP_NOTICE_US
         && deadline_us > router->stopping_us + router->options.grace_us * STOP_PERCENT / 100;
}

/* Callers cache addresses for a while, so a stopping host at first still accepts requests, then
 * stops listening and only finishes its open requests. */
static void
run_stop_timer (struct pl_router *router)
{
  int64_t stopping_for_us = router->now_us - router->stopping_us;
  bool is_idle = g_hash_table_size (router->calls) == 0;

  if (!router->stopping || router->stopped)
    return;
  if (!router->stopped_listening
      && stopping_for_us >= router->options.grace_us * STOP_LISTENING_PERCENT / 100)
    {
      router->stopped_listening = true;
      router_add_effect (router, PL_ROUTER_STOP_LISTENING);
    }
  if (router->stopped_listening
      && (is_idle || stopping_for_us >= router->options.grace_us * STOP_PERCENT / 100))
    {
      router->stopped = true;
      router_add_effect (router, PL_ROUTER_STOPPED);
    }
  router->due_us = MIN (router->due_us, router->now_us + 50 * US_PER_MS);
}

static void
begin_stop (struct pl_router *router)
{
  if (router->stopping)
    return;
  router->stopping = true;
  router->stopping_us = router->now_us;
  router_add_effect (router, PL_ROUTER_DISABLE_KEEPALIVE);
  router->beacon_pending = true;
  router->notify_domain = true;
}

static void
on_probed (struct pl_router *router, const struct pl_router_event *event)
{
  struct pl_backend *backend
      = pl_placement_find_by_hash (&router->placement, event->u.probed.server);

  if (backend == NULL)
    return;
  reach_on_probed (router, backend, event->u.probed.connected);
  if (event->u.probed.has_load && router->options.load_management != PL_LOAD_MANAGEMENT_OFF)
    pl_placement_record_load (&router->placement, backend, &event->u.probed.load, router->now_us);
  if (pl_reach_is_cut_off (&router->reach) && !event->u.probed.connected)
    backend->probe_pending = false;
  else
    pl_placement_record_probe (&router->placement, backend, event->u.probed.healthy,
                               event->u.probed.cold_us, router->now_us);
  limits_on_report (router, backend, event->u.probed.rate_limit_report, event->u.probed.rate_limit);
  router_log (router, PL_ROUTER_LOG_STATE, "server-probed",
              json_pack ("{s:s,s:b,s:I}", "server", backend->entry.id, "well",
                         event->u.probed.healthy, "cold_us", (json_int_t) event->u.probed.cold_us));
}

static void
apply (struct pl_router *router, const struct pl_router_event *event)
{
  switch (event->type)
    {
    case PL_ROUTER_TICK:
      break;
    case PL_ROUTER_CALL:
      calls_on_arrival (router, &event->u.call);
      break;
    case PL_ROUTER_CALLER_GONE:
      calls_on_caller_gone (router, event->u.request);
      break;
    case PL_ROUTER_ATTEMPT:
      calls_on_attempt (router, &event->u.attempt);
      break;
    case PL_ROUTER_PROBED:
      on_probed (router, event);
      calls_on_servers_changed (router);
      break;
    case PL_ROUTER_BEACON:
      router->view_due_us = 0;
      fleet_on_beacon (router, event->u.beacon);
      break;
    case PL_ROUTER_ROWS:
      rows_on_update (router, &event->u.rows);
      calls_on_servers_changed (router);
      break;
    case PL_ROUTER_STORE_FAILED:
    case PL_ROUTER_STORE_OK:
      router->view_due_us = 0;
      rows_on_store_state (router, event->type == PL_ROUTER_STORE_OK, &event->u.store_call);
      break;
    case PL_ROUTER_STORE_QUIET:
      rows_on_store_quiet (router);
      break;
    case PL_ROUTER_STORE_READ:
      freshness_on_store_read (router, event->u.store_read_succeeded);
      break;
    case PL_ROUTER_FETCH_PROGRESS:
      rows_on_fetch_progress (router, event->u.fetch);
      break;
    case PL_ROUTER_FETCH_DONE:
      rows_on_fetch_done (router, &event->u.fetch_done);
      break;
    case PL_ROUTER_BUSY_PERCENT:
      router->busy_percent = event->u.busy_percent;
      break;
    case PL_ROUTER_STOP:
      begin_stop (router);
      break;
    }
}

void
pl_router_step (struct pl_router *router, const struct pl_router_event *event,
                struct pl_router_effects *effects)
{
  router->effects = effects;
  router->now_us = MAX (router->now_us, event->now_us);
  apply (router, event);
  if (router->now_us >= router->due_us || router->beacon_pending || router->has_row_updates)
    {
      router->due_us = router->now_us + MAINTENANCE_PERIOD_US;
      run_maintenance (router);
      rows_run_timers (router);
      freshness_run_timers (router);
      reach_run_timers (router);
      fleet_run_timers (router);
      calls_run_timers (router);
      run_stop_timer (router);
    }
  calls_place_waiting (router);
  limits_send_asks (router);
  router->effects = NULL;
}

int64_t
pl_router_due_us (const struct pl_router *router)
{
  return router->due_us;
}

bool
pl_router_is_ready (const struct pl_router *router)
{
  return router->routing != NULL && !router->stopping;
}

int
pl_router_select_hosts (const struct pl_router *router, const char *domain, const char *region,
                        const char **addresses, int room, int64_t now_us)
{
  struct pl_host_query query = {
      .domain = domain,
      .region = router_domain_region (router, domain),
      .self_address = pl_router_is_ready (router) ? router->options.caller_address : NULL,
      .store_lost = router->store.is_lost,
      .servers_lost = pl_reach_is_cut_off (&router->reach),
  };

  for (guint i = 0; region != NULL && query.region == PL_NONE && i < router->region_names->len; i++)
    if (strcmp (g_ptr_array_index (router->region_names, i), region) == 0)
      query.region = (int) i;
  return pl_membership_select_hosts (&router->membership, &query, addresses, room, now_us);
}
