/* Counters and latency histograms by account and by route, in the Prometheus text format.
 *
 * A histogram has one bucket per octave.  Buckets are cumulative, as the format
 * requires, and those that add no request to the one before are left out, so that a
 * scrape stays small with many accounts and routes.
 */
#include "internal/router_state.h"

#define OCTAVE_BUCKETS (1U << PL_HISTOGRAM_SUB_BITS)
/* A server on which work takes longer than usual by this factor counts as slow. */
#define SLOW_SERVER_RATIO 1.5

/* Returns NAME as the value of a label. */
static char *
escape_label (const char *name)
{
  GString *text = g_string_new (name);

  g_string_replace (text, "\\", "\\\\", 0);
  g_string_replace (text, "\"", "\\\"", 0);
  g_string_replace (text, "\n", "\\n", 0);
  return g_string_free (text, FALSE);
}

/* Appends HISTOGRAM as METRIC with the label KIND="NAME". */
static void
append_histogram (GString *text, const char *metric, const char *kind, const char *name,
                  const struct pl_histogram *histogram)
{
  uint64_t seen = 0;
  uint64_t written = 0;

  for (unsigned i = 0; i < PL_HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (i % OCTAVE_BUCKETS != OCTAVE_BUCKETS - 1 || seen == written)
        continue;
      written = seen;
      g_string_append_printf (text, "%s_bucket{%s=\"%s\",le=\"%.6f\"} %" G_GUINT64_FORMAT "\n",
                              metric, kind, name, (double) pl_histogram_upper_edge (i) / 1e6, seen);
    }
  g_string_append_printf (text, "%s_bucket{%s=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", metric,
                          kind, name, histogram->count);
  g_string_append_printf (text, "%s_sum{%s=\"%s\"} %.6f\n", metric, kind, name,
                          (double) histogram->sum_us / 1e6);
  g_string_append_printf (text, "%s_count{%s=\"%s\"} %" G_GUINT64_FORMAT "\n", metric, kind, name,
                          histogram->count);
}

static void
append_counts (GString *text, const char *kind, const char *unescaped,
               const struct router_counts *counts)
{
  g_autofree char *name = escape_label (unescaped);

  g_string_append_printf (text, "pomelolatch_requests_total{%s=\"%s\"} %" G_GUINT64_FORMAT "\n",
                          kind, name, counts->requests);
  g_string_append_printf (text, "pomelolatch_served_total{%s=\"%s\"} %" G_GUINT64_FORMAT "\n", kind,
                          name, counts->served);
  for (int i = 0; i < ROUTER_REFUSAL_COUNT; i++)
    if (counts->refused[i] > 0)
      g_string_append_printf (
          text, "pomelolatch_refused_total{%s=\"%s\",reason=\"%s\"} %" G_GUINT64_FORMAT "\n", kind,
          name, router_refusal_names[i], counts->refused[i]);
  if (counts->latency.count > 0)
    append_histogram (text, "pomelolatch_latency_seconds", kind, name, &counts->latency);
}

/* Appends the use and weight of an account that has sent requests to managed services. */
static void
append_use (GString *text, const struct router_account *account)
{
  const struct pl_share_account *share = &account->share;
  g_autofree char *name = NULL;

  if (share->own_us == 0)
    return;
  name = escape_label (account->name);
  g_string_append_printf (text,
                          "pomelolatch_account_weight{account=\"%s\"} %.3f\n"
                          "pomelolatch_account_use{account=\"%s\",from=\"this-host\"} %.3f\n"
                          "pomelolatch_account_use{account=\"%s\",from=\"other-hosts\"} %.3f\n",
                          name, account->quota.rate, name, share->own_rate, name,
                          share->others_rate);
}

static void
append_shares (const struct pl_router *router, GString *text)
{
  for (guint i = 0; i < router->shares.services->len; i++)
    {
      const struct pl_share_service *state = pl_fair_share_find (&router->shares, (int) i);
      g_autofree char *name = NULL;

      if (state == NULL)
        continue;
      name = escape_label (pl_placement_service_name (&router->placement, (int) i));
      g_string_append_printf (
          text,
          "pomelolatch_fair_level{service=\"%s\"} %.6f\n"
          "pomelolatch_missed_ratio{service=\"%s\"} %.4f\n"
          "pomelolatch_share_decisions_total{service=\"%s\",decision=\"admitted\"} "
          "%" G_GUINT64_FORMAT "\n"
          "pomelolatch_share_decisions_total{service=\"%s\",decision=\"refused\"} "
          "%" G_GUINT64_FORMAT "\n",
          name, state->level, name, state->missed_ratio, name, state->admitted, name,
          state->refused);
      append_histogram (text, "pomelolatch_waiting_seconds", "service", name, &state->waiting);
    }
}

static void
append_limits (const struct pl_router *router, GString *text)
{
  const struct router_permit_counts *counts = &router->counts_permits;
  GHashTableIter iter;
  gpointer value;
  int limited = 0;

  g_hash_table_iter_init (&iter, router->placement.backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    limited += ((const struct pl_backend *) value)->limit.in_force;
  g_string_append_printf (text, "pomelolatch_limited_servers %d\n", limited);
  g_string_append_printf (text,
                          "pomelolatch_sent_to_limited_servers_total %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_requests_without_permit_total %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_permits_total{kind=\"asked\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_permits_total{kind=\"granted\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_permits_total{kind=\"issued\"} %" G_GUINT64_FORMAT "\n",
                          counts->sent, counts->missed, counts->asked, counts->granted,
                          counts->issued);
}

static void
append_loads (const struct pl_router *router, GString *text)
{
  const struct pl_placement *placement = &router->placement;
  GHashTableIter iter;
  gpointer value;
  int slow = 0;
  int managed = 0;
  uint64_t alternatives = 0;
  uint64_t bodies_held = 0;

  g_hash_table_iter_init (&iter, placement->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    slow += pl_server_load_slowdown (&((const struct pl_backend *) value)->load, router->now_us)
            > SLOW_SERVER_RATIO;
  for (guint i = 0; i < placement->services->len; i++)
    {
      const struct pl_placement_service *service = g_ptr_array_index (placement->services, i);

      managed += service->is_managed;
      alternatives += service->alternatives;
      bodies_held += service->bodies_held;
    }
  g_string_append_printf (text,
                          "pomelolatch_managed_services %d\n"
                          "pomelolatch_slow_servers %d\n"
                          "pomelolatch_alternative_servers_total %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_bodies_held_back_total %" G_GUINT64_FORMAT "\n",
                          managed, slow, alternatives, bodies_held);
}

static void
append_handovers (const struct pl_router *router, GString *text)
{
  const struct router_handover_counts *counts = &router->counts_handovers;

  g_string_append_printf (text,
                          "pomelolatch_servers_lost %d\n"
                          "pomelolatch_handovers_total{end=\"answered\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_handovers_total{end=\"refused\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_handovers_total{end=\"failed\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_handovers_taken_total %" G_GUINT64_FORMAT "\n",
                          pl_reach_is_cut_off (&router->reach), counts->answered, counts->refused,
                          counts->failed, counts->taken);
}

static void
append_attempts (const struct pl_router *router, GString *text)
{
  for (int end = 0; end < PL_ATTEMPT_END_COUNT; end++)
    for (int id = 0; id < PL_ANSWER_ID_COUNT; id++)
      if (router->counts_attempts[end][id] > 0)
        g_string_append_printf (
            text, "pomelolatch_attempts_total{end=\"%s\",answer_id=\"%s\"} %" G_GUINT64_FORMAT "\n",
            call_attempt_end_names[end], call_answer_id_names[id],
            router->counts_attempts[end][id]);
}

static void
append_plans (const struct pl_router *router, GString *text)
{
  const struct pl_placement *placement = &router->placement;

  for (int i = 0; i < (int) placement->services->len; i++)
    {
      const struct pl_region_plan *plan = pl_placement_plan (placement, i);
      g_autofree char *name = NULL;

      if (plan == NULL)
        continue;
      name = escape_label (pl_placement_service_name (placement, i));
      g_string_append_printf (text,
                              "pomelolatch_own_region_fraction{service=\"%s\"} %.3f\n"
                              "pomelolatch_own_region_load{service=\"%s\"} %.3f\n"
                              "pomelolatch_own_region_target{service=\"%s\"} %.3f\n",
                              name, pl_region_plan_fraction (plan, placement->region), name,
                              plan->regions[placement->region].utilisation, name, plan->target);
    }
}

/* Appends what tells whether the configuration in force is the newest. */
static void
append_freshness (const struct pl_router *router, GString *text)
{
  if (router->confirmed_us > 0)
    g_string_append_printf (text, "pomelolatch_configuration_confirmed_age_seconds %.3f\n",
                            (double) freshness_age_us (router) / 1e6);
  g_string_append_printf (text,
                          "pomelolatch_store_reads_total{end=\"answered\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_store_reads_total{end=\"failed\"} %" G_GUINT64_FORMAT "\n",
                          router->counts_store_reads[true], router->counts_store_reads[false]);
  for (int end = 0; end < PL_FETCH_END_COUNT; end++)
    g_string_append_printf (text,
                            "pomelolatch_row_fetches_total{end=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            router_fetch_end_names[end], router->counts_fetches[end]);
  g_string_append_printf (text,
                          "pomelolatch_row_fetch_bytes_total{as=\"sent\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_row_fetch_bytes_total{as=\"decoded\"} %" G_GUINT64_FORMAT
                          "\n",
                          router->fetched_wire_bytes, router->fetched_bytes);
}

void
pl_router_metrics (const struct pl_router *router, GString *text)
{
  GHashTableIter iter;
  gpointer value;

  g_string_append (text, "# TYPE pomelolatch_requests_total counter\n"
                         "# TYPE pomelolatch_served_total counter\n"
                         "# TYPE pomelolatch_refused_total counter\n"
                         "# TYPE pomelolatch_latency_seconds histogram\n"
                         "# TYPE pomelolatch_waiting_seconds histogram\n");
  g_string_append_printf (text, "pomelolatch_configuration_version %" G_GINT64_FORMAT "\n",
                          router->routing != NULL ? router->routing->version : 0);
  g_string_append_printf (text, "pomelolatch_configuration_findings %d\n",
                          router->routing != NULL ? router->routing->findings : 0);
  append_freshness (router, text);
  g_string_append_printf (text, "pomelolatch_store_lost %d\n", router->store.is_lost);
  g_string_append_printf (text,
                          "pomelolatch_store_era %" G_GINT64_FORMAT "\n"
                          "pomelolatch_contested_rows %d\n",
                          pl_position_era (router->held[PL_TABLE_CONTROL].version),
                          eras_count_contested (router));
  g_string_append_printf (text, "pomelolatch_open_requests %u\n",
                          g_hash_table_size (router->calls));
  g_string_append_printf (text, "pomelolatch_waiting_requests %d\n",
                          pl_wait_queue_length (&router->waiting));
  g_string_append_printf (text, "pomelolatch_live_hosts %d\n", router->view.hosts);
  append_limits (router, text);
  append_loads (router, text);
  append_handovers (router, text);
  append_attempts (router, text);
  append_shares (router, text);
  pl_hedging_metrics (&router->hedging, text);
  append_plans (router, text);
  g_hash_table_iter_init (&iter, router->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct router_account *account = value;

      append_counts (text, "account", account->name, &account->counts);
      append_use (text, account);
    }
  g_hash_table_iter_init (&iter, router->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct router_route *route = value;

      if (route->counts.requests > 0)
        append_counts (text, "route", route->name, &route->counts);
    }
}
