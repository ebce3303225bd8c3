/* Aggregates the reports of all entry hosts, row by row.
 *
 * Counts are added and histograms merged, so that quantiles are those of the fleet
 * and not averages of averages.  A refusal counts as within the rate unless the caller
 * caused it.  A refusal for exceeding the rate counts too when the account as a whole
 * sent no more than its rate.
 */
#include "operator.h"

#include "pomelolatch/histogram.h"

#include <string.h>

struct rows_kind
{
  const char *name;
  const char *const *figures; /* NULL-terminated */
};

static const char *const traffic_figures[] = {
    "name",      "asked",       "served", "refused",    "refused_inside_rate",
    "over_rate", "served_part", "p50",    "p99",        "max",
    "mean",      "rate",        "burst",  "asked_rate", NULL,
};
static const char *const service_figures[]
    = {"name", "in_flight", "free", "slots", "headroom", NULL};
static const char *const link_figures[] = {"name", "bytes", "bytes_per_second", "used", NULL};
static const char *const server_figures[] = {"name", "served", "in_flight", "drain", NULL};
static const char *const host_figures[]
    = {"name", "version", "waiting", "active", "store_age", NULL};

static const struct rows_kind rows_kinds[] = {
    {"accounts", traffic_figures}, {"routes", traffic_figures}, {"regions", traffic_figures},
    {"services", service_figures}, {"links", link_figures},     {"servers", server_figures},
    {"hosts", host_figures},
};

static const struct rows_kind *
find_rows_kind (const char *rows)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows_kinds); i++)
    if (strcmp (rows_kinds[i].name, rows) == 0)
      return &rows_kinds[i];
  return NULL;
}

bool
summary_has_rows (const char *rows)
{
  return find_rows_kind (rows) != NULL;
}

bool
summary_has_figure (const char *rows, const char *figure)
{
  const struct rows_kind *kind = find_rows_kind (rows);

  return kind != NULL && g_strv_contains (kind->figures, figure);
}

/* Returns whether the caller caused a refusal: rate limits, keys and routes exist to refuse such
 * requests. */
static bool
is_caused_by_caller (const char *reason)
{
  static const char *const reasons[]
      = {"over-rate", "queue-full",  "no-key", "no-route", "idempotency-key-required",
         "repeated",  "quarantined", NULL};

  return g_strv_contains (reasons, reason);
}

struct traffic
{
  double asked;
  double served;
  double refused;
  double refused_within_rate;
  double over_rate;
  double seconds;
  json_t *entry;
  struct pl_histogram latency;
};

static void
add_traffic (struct traffic *traffic, json_t *entry, double seconds)
{
  const char *reason;
  json_t *value;
  size_t i;

  traffic->asked += json_number_value (json_object_get (entry, "asked"));
  traffic->served += json_number_value (json_object_get (entry, "served"));
  traffic->seconds = MAX (traffic->seconds, seconds);
  traffic->entry = entry;
  json_object_foreach (json_object_get (entry, "refused"), reason, value)
  {
    double count = json_number_value (value);

    traffic->refused += count;
    if (strcmp (reason, "over-rate") == 0 || strcmp (reason, "queue-full") == 0)
      traffic->over_rate += count;
    else if (!is_caused_by_caller (reason))
      traffic->refused_within_rate += count;
  }
  json_array_foreach (json_object_get (entry, "buckets"), i, value)
  {
    json_int_t bucket = json_integer_value (json_array_get (value, 0));
    json_int_t count = json_integer_value (json_array_get (value, 1));

    if (bucket < 0 || bucket >= PL_HISTOGRAM_BUCKETS)
      continue;
    traffic->latency.buckets[bucket] += (uint64_t) count;
    traffic->latency.count += (uint64_t) count;
  }
  traffic->latency.sum_us += (uint64_t) json_integer_value (json_object_get (entry, "sum_us"));
  traffic->latency.max_us
      = MAX (traffic->latency.max_us, json_integer_value (json_object_get (entry, "max_us")));
}

/* Returns the figures of an account, route or region; latencies are in seconds. */
static json_t *
make_traffic_row (const char *name, const struct traffic *traffic)
{
  double rate = json_number_value (json_object_get (traffic->entry, "rate"));
  double asked_rate = traffic->seconds > 0 ? traffic->asked / traffic->seconds : 0;
  double refused_within_rate = traffic->refused_within_rate;
  double count = (double) traffic->latency.count;

  if (rate > 0 && asked_rate <= rate)
    refused_within_rate += traffic->over_rate;
  return json_pack ("{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f}", "name", name,
                    "asked", traffic->asked, "served", traffic->served, "refused", traffic->refused,
                    "refused_inside_rate", refused_within_rate, "over_rate", traffic->over_rate,
                    "served_part", traffic->asked > 0 ? traffic->served / traffic->asked : 1.0,
                    "p50", (double) pl_histogram_quantile (&traffic->latency, 0.5) / 1e6, "p99",
                    (double) pl_histogram_quantile (&traffic->latency, 0.99) / 1e6, "max",
                    (double) traffic->latency.max_us / 1e6, "mean",
                    count > 0 ? (double) traffic->latency.sum_us / count / 1e6 : 0.0, "rate", rate,
                    "burst", json_number_value (json_object_get (traffic->entry, "burst")),
                    "asked_rate", asked_rate);
}

static struct traffic *
ensure_traffic (GHashTable *totals, const char *name)
{
  struct traffic *traffic = g_hash_table_lookup (totals, name);

  if (traffic == NULL)
    {
      traffic = g_new0 (struct traffic, 1);
      g_hash_table_insert (totals, g_strdup (name), traffic);
    }
  return traffic;
}

static json_t *
summarise_traffic (const json_t *reports, const char *rows)
{
  GHashTable *totals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  bool by_region = strcmp (rows, "regions") == 0;
  json_t *summary = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  size_t i;
  json_t *report;

  json_array_foreach (reports, i, report)
  {
    double seconds = json_number_value (json_object_get (report, "up_us")) / 1e6;
    const char *region = json_string_value (json_object_get (report, "region"));
    const char *name;
    json_t *entry;

    json_object_foreach (json_object_get (report, by_region ? "routes" : rows), name, entry)
        add_traffic (ensure_traffic (totals, by_region && region != NULL ? region : name), entry,
                     seconds);
  }
  g_hash_table_iter_init (&iter, totals);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (summary, key, make_traffic_row (key, value));
  g_hash_table_destroy (totals);
  return summary;
}

static void
add_figure (json_t *row, const char *figure, double amount)
{
  double before = json_number_value (json_object_get (row, figure));

  json_object_set_new (row, figure, json_real (before + amount));
}

/* Aggregates rows whose figures are plain numbers: adds them up, then derives 'headroom' and
 * 'used'. */
static json_t *
summarise_numbers (const json_t *reports, const char *rows)
{
  json_t *summary = json_object ();
  double seconds = 0;
  size_t i;
  json_t *report;
  const char *name;
  json_t *row;

  json_array_foreach (reports, i, report)
  {
    json_t *entry;

    seconds = MAX (seconds, json_number_value (json_object_get (report, "up_us")) / 1e6);
    json_object_foreach (json_object_get (report, rows), name, entry)
    {
      const char *figure;
      json_t *value;

      row = json_object_get (summary, name);
      if (row == NULL)
        {
          row = json_pack ("{s:s}", "name", name);
          json_object_set_new (summary, name, row);
        }
      json_object_foreach (entry, figure, value)
      {
        if (strcmp (figure, "drain_us") == 0)
          json_object_set_new (row, "drain", json_real (json_number_value (value) / 1e6));
        else if (strcmp (figure, "bytes_per_second") == 0
                 || (strcmp (figure, "slots") == 0 && strcmp (rows, "servers") == 0))
          json_object_set (row, figure, value);
        else if (json_is_number (value))
          add_figure (row, figure, json_number_value (value));
      }
    }
  }
  json_object_foreach (summary, name, row)
  {
    double slots = json_number_value (json_object_get (row, "slots"));
    double limit = json_number_value (json_object_get (row, "bytes_per_second"));

    if (slots > 0)
      json_object_set_new (
          row, "headroom",
          json_real (1.0 - json_number_value (json_object_get (row, "in_flight")) / slots));
    if (limit > 0 && seconds > 0)
      json_object_set_new (
          row, "used",
          json_real (json_number_value (json_object_get (row, "bytes")) / seconds / limit));
  }
  return summary;
}

static json_t *
summarise_hosts (const json_t *reports)
{
  json_t *summary = json_object ();
  size_t i;
  json_t *report;

  json_array_foreach (reports, i, report)
  {
    const char *name = json_string_value (json_object_get (report, "host"));

    json_object_set_new (
        summary, name,
        json_pack ("{s:s,s:O,s:O,s:O,s:f}", "name", name, "version",
                   json_object_get (report, "version"), "waiting",
                   json_object_get (report, "waiting"), "active",
                   json_object_get (report, "active"), "store_age",
                   json_number_value (json_object_get (report, "store_age_us")) / 1e6));
  }
  return summary;
}

json_t *
summary_make (const json_t *reports, const char *rows)
{
  const struct rows_kind *kind = find_rows_kind (rows);

  if (strcmp (rows, "hosts") == 0)
    return summarise_hosts (reports);
  if (kind != NULL && kind->figures == traffic_figures)
    return summarise_traffic (reports, rows);
  return summarise_numbers (reports, rows);
}
