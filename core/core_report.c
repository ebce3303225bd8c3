/* The host's state as JSON: the source of reports, status pages and metrics. */
#include "internal/core_state.h"

struct pl_counts *
report_ensure_route (struct pl_core *core, const char *name)
{
  struct pl_counts *counts = g_hash_table_lookup (core->routes, name);

  if (counts == NULL)
    {
      counts = g_new0 (struct pl_counts, 1);
      g_hash_table_insert (core->routes, g_strdup (name), counts);
    }
  return counts;
}

static json_t *
report_counts (const struct pl_counts *counts)
{
  json_t *refused = json_object ();
  json_t *buckets = json_array ();
  json_t *json;

  for (int i = 0; i < PL_REFUSAL_COUNT; i++)
    if (counts->refused[i] > 0)
      json_object_set_new (refused, pl_refusals[i].name,
                           json_integer ((json_int_t) counts->refused[i]));
  for (int i = 0; i < PL_HISTOGRAM_BUCKETS; i++)
    if (counts->latency.buckets[i] > 0)
      json_array_append_new (buckets,
                             json_pack ("[i,I]", i, (json_int_t) counts->latency.buckets[i]));
  json = json_pack ("{s:I,s:I,s:o,s:I,s:I,s:I,s:I,s:o}", "asked", (json_int_t) counts->asked,
                    "served", (json_int_t) counts->served, "refused", refused, "p50_us",
                    (json_int_t) pl_histogram_quantile (&counts->latency, 0.5), "p99_us",
                    (json_int_t) pl_histogram_quantile (&counts->latency, 0.99), "max_us",
                    (json_int_t) counts->latency.max_us, "sum_us",
                    (json_int_t) counts->latency.sum_us, "buckets", buckets);
  return json;
}

static json_t *
report_accounts (struct pl_core *core)
{
  json_t *accounts = json_object ();

  for (guint i = 0; i < core->account_order->len; i++)
    {
      struct account_state *account = g_ptr_array_index (core->account_order, i);
      json_t *json = report_counts (&account->counts);

      if (account->index != PL_NONE)
        {
          const struct pl_account_config *config = PL_ACCOUNT (core->config, account->index);

          json_object_set_new (json, "rate", json_integer (config->rate));
          json_object_set_new (json, "burst", json_integer (config->burst));
        }
      json_object_set_new (json, "waiting", json_integer (account->waiting.length));
      json_object_set_new (json, "balance_micro",
                           json_integer (pl_budget_balance (&account->budget, core->now_us)));
      json_object_set_new (accounts, account->name, json);
    }
  return accounts;
}

static json_t *
report_routes (struct pl_core *core)
{
  json_t *routes = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer counts;

  g_hash_table_iter_init (&iter, core->routes);
  while (g_hash_table_iter_next (&iter, &name, &counts))
    json_object_set_new (routes, name, report_counts (counts));
  return routes;
}

static json_t *
report_services (struct pl_core *core)
{
  json_t *services = json_object ();

  for (guint i = 0; core->config != NULL && i < core->config->services->len; i++)
    {
      int in_flight = 0;
      int slots = 0;

      for (guint j = 0; j < core->server_order->len; j++)
        {
          const struct server_state *server = g_ptr_array_index (core->server_order, j);

          if (PL_SERVER (core->config, server->index)->service != (int) i)
            continue;
          in_flight += server->in_flight;
          slots += PL_SERVER (core->config, server->index)->slots;
        }
      json_object_set_new (services, PL_SERVICE (core->config, i)->name,
                           json_pack ("{s:i,s:i,s:i}", "in_flight", in_flight, "free",
                                      servers_free_slots (core, (int) i), "slots", slots));
    }
  return services;
}

static json_t *
report_servers (struct pl_core *core)
{
  json_t *servers = json_object ();

  for (guint i = 0; i < core->server_order->len; i++)
    {
      const struct server_state *server = g_ptr_array_index (core->server_order, i);
      const struct pl_server_config *config = PL_SERVER (core->config, server->index);

      json_object_set_new (servers, config->name,
                           json_pack ("{s:i,s:b,s:b,s:b,s:I,s:I}", "in_flight", server->in_flight,
                                      "down", server->down, "leaving", server->leaving, "draining",
                                      config->draining, "served", (json_int_t) server->served,
                                      "drain_us", (json_int_t) server->drain_us));
    }
  return servers;
}

static json_t *
report_members (struct pl_core *core)
{
  json_t *members = json_object ();

  for (guint i = 0; core->config != NULL && i < core->config->hosts->len; i++)
    {
      const struct pl_host_config *host = PL_HOST (core->config, i);
      const struct member *member = g_hash_table_lookup (core->members, &host->id);
      bool is_self = (int) i == core->self;
      bool is_live = is_self || (member != NULL && peers_is_live (core, member));
      json_int_t version = is_self          ? (json_int_t) pl_core_version (core)
                           : member != NULL ? (json_int_t) member->heartbeat.version
                                            : 0;

      json_object_set_new (members, host->name,
                           json_pack ("{s:s,s:b,s:I}", "domain",
                                      PL_DOMAIN (core->config, host->domain)->name, "heard",
                                      is_live, "version", version));
    }
  return members;
}

static json_t *
report_links (struct pl_core *core)
{
  json_t *links = json_object ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct link_state *link = value;

      if (link->index != PL_NONE)
        json_object_set_new (
            links, PL_LINK (core->config, link->index)->name,
            json_pack ("{s:I,s:I}", "bytes", (json_int_t) link->bytes, "bytes_per_second",
                       (json_int_t) PL_LINK (core->config, link->index)->bytes_per_second));
    }
  return links;
}

json_t *
pl_core_report (struct pl_core *core, int64_t now_us)
{
  json_int_t store_age_us = core->store_read_at_us < 0 ? -1 : now_us - core->store_read_at_us;
  json_t *report
      = json_pack ("{s:s,s:I,s:I,s:I,s:b,s:b,s:i,s:i}", "host", core->name, "version",
                   (json_int_t) pl_core_version (core), "lowest_version",
                   (json_int_t) peers_lowest_version (core), "store_age_us", store_age_us,
                   "holds_name", core->holds_name, "stopping", core->stopping, "waiting",
                   core->waiting_count, "active", core->active_count);

  if (core->self != PL_NONE)
    {
      const struct pl_domain_config *domain
          = PL_DOMAIN (core->config, PL_HOST (core->config, core->self)->domain);

      json_object_set_new (report, "domain", json_string (domain->name));
      json_object_set_new (
          report, "region",
          json_string (g_ptr_array_index (core->config->region_names, domain->region)));
    }
  json_object_set_new (report, "up_us", json_integer (now_us - core->options.now_us));
  json_object_set_new (report, "accounts", report_accounts (core));
  json_object_set_new (report, "routes", report_routes (core));
  json_object_set_new (report, "services", report_services (core));
  json_object_set_new (report, "servers", report_servers (core));
  json_object_set_new (report, "members", report_members (core));
  json_object_set_new (report, "links", report_links (core));
  return report;
}
