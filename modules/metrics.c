/* Metrics in the Prometheus text format: counters and histograms per account and per route, gauges
 * per service.
 *
 * A histogram is written with its own bucket bounds and cumulative counts, as the format requires;
 * empty buckets are omitted.
 */
#include "internal/metrics.h"
#include "pomelolatch/histogram.h"

#include <glib.h>

static void
add_counts (GString *out, const char *label, const char *name, json_t *counts)
{
  json_int_t cumulated = 0;
  const char *reason;
  json_t *value;
  size_t i;

  g_string_append_printf (out, "pomelolatch_requests_total{%s=\"%s\",result=\"served\"} %lld\n",
                          label, name, json_integer_value (json_object_get (counts, "served")));
  json_object_foreach (json_object_get (counts, "refused"), reason, value)
      g_string_append_printf (out, "pomelolatch_requests_total{%s=\"%s\",result=\"%s\"} %lld\n",
                              label, name, reason, json_integer_value (value));
  json_array_foreach (json_object_get (counts, "buckets"), i, value)
  {
    int bucket = (int) json_integer_value (json_array_get (value, 0));

    if (bucket < 0 || bucket >= PL_HISTOGRAM_BUCKETS)
      continue;
    cumulated += json_integer_value (json_array_get (value, 1));
    g_string_append_printf (out, "pomelolatch_latency_seconds_bucket{%s=\"%s\",le=\"%.6f\"} %lld\n",
                            label, name, (double) pl_histogram_upper_edge ((unsigned) bucket) / 1e6,
                            cumulated);
  }
  g_string_append_printf (out, "pomelolatch_latency_seconds_bucket{%s=\"%s\",le=\"+Inf\"} %lld\n",
                          label, name, cumulated);
  g_string_append_printf (out, "pomelolatch_latency_seconds_sum{%s=\"%s\"} %.6f\n", label, name,
                          (double) json_integer_value (json_object_get (counts, "sum_us")) / 1e6);
  g_string_append_printf (out, "pomelolatch_latency_seconds_count{%s=\"%s\"} %lld\n", label, name,
                          cumulated);
}

char *
pl_metrics_format (const json_t *report)
{
  GString *out = g_string_new ("# TYPE pomelolatch_requests_total counter\n"
                               "# TYPE pomelolatch_latency_seconds histogram\n");
  const char *name;
  json_t *entry;

  json_object_foreach (json_object_get (report, "accounts"), name, entry)
      add_counts (out, "account", name, entry);
  json_object_foreach (json_object_get (report, "routes"), name, entry)
      add_counts (out, "route", name, entry);
  g_string_append (out, "# TYPE pomelolatch_free_slots gauge\n");
  json_object_foreach (json_object_get (report, "services"), name, entry)
      g_string_append_printf (out, "pomelolatch_free_slots{service=\"%s\"} %lld\n", name,
                              json_integer_value (json_object_get (entry, "free")));
  g_string_append (out, "# TYPE pomelolatch_link_bytes_total counter\n");
  json_object_foreach (json_object_get (report, "links"), name, entry)
      g_string_append_printf (out, "pomelolatch_link_bytes_total{link=\"%s\"} %lld\n", name,
                              json_integer_value (json_object_get (entry, "bytes")));
  g_string_append_printf (out,
                          "# TYPE pomelolatch_configuration_version gauge\n"
                          "pomelolatch_configuration_version %lld\n",
                          json_integer_value (json_object_get (report, "version")));
  return g_string_free (out, FALSE);
}
