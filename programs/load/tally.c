/* Results of a run by account.
 *
 * A single token bucket with the account's rate and burst, over all callers together,
 * decides whether a request is within the rate.  It is the reference for the shares into
 * which the hosts split the rate.
 */
#include "load.h"

#include <cairo.h>
#include <math.h>

#define PLOT_WIDTH 900
#define PLOT_HEIGHT 500
#define PLOT_MARGIN 60

bool
load_tally_record_arrival (struct load_tally *tally, int64_t now_us)
{
  double rate = tally->account->rate;

  if (tally->offered == 0)
    {
      tally->tokens = tally->account->burst;
      tally->refilled_at_us = now_us;
    }
  tally->offered++;
  tally->tokens += rate * (double) (now_us - tally->refilled_at_us) / 1e6;
  tally->tokens = MIN (tally->tokens, tally->account->burst);
  tally->refilled_at_us = now_us;
  if (tally->tokens < 1.0)
    return false;
  tally->tokens -= 1.0;
  tally->within_rate++;
  return true;
}

static void
count_reason (struct load_tally *tally, const char *reason)
{
  for (int i = 0; i < LOAD_REASONS_MAX; i++)
    {
      if (tally->reasons[i] == NULL)
        tally->reasons[i] = reason;
      if (tally->reasons[i] != reason)
        continue;
      tally->reason_counts[i]++;
      return;
    }
}

void
load_tally_record_result (struct load_tally *tally, const struct load_result *result)
{
  if (result->wrong)
    tally->wrong++;
  if (result->served)
    {
      tally->served++;
      tally->served_within_rate += result->within_rate;
      pl_histogram_add (&tally->latency, result->latency_us);
      return;
    }
  tally->refused_within_rate += result->within_rate;
  count_reason (tally, result->reason);
}

static double
ratio (uint64_t count, uint64_t total)
{
  return total > 0 ? (double) count / (double) total : 1.0;
}

void
load_tally_print (const struct load_tally *tallies, guint count, double seconds, FILE *out)
{
  struct pl_histogram all = {0};
  double lowest_ratio = 1.0;
  guint accounts_within_rate = 0;
  double ratio_sum = 0;
  uint64_t within_rate = 0;
  uint64_t refused = 0;
  uint64_t served = 0;
  uint64_t wrong = 0;

  fprintf (out, "%-14s %8s %8s %8s %8s %8s %9s %8s %8s  %s\n", "account", "offered", "inside",
           "served", "ref.in", "wrong", "served/s", "p50 ms", "p99 ms", "refused for");
  for (guint i = 0; i < count; i++)
    {
      const struct load_tally *tally = &tallies[i];
      double served_ratio = ratio (tally->served_within_rate, tally->within_rate);

      fprintf (out, "%-14s %8lu %8lu %8lu %8lu %8lu %9.1f %8.1f %8.1f ", tally->account->name,
               tally->offered, tally->within_rate, tally->served, tally->refused_within_rate,
               tally->wrong, (double) tally->served / seconds,
               (double) pl_histogram_quantile (&tally->latency, 0.5) / 1e3,
               (double) pl_histogram_quantile (&tally->latency, 0.99) / 1e3);
      for (int j = 0; j < LOAD_REASONS_MAX && tally->reasons[j] != NULL; j++)
        fprintf (out, " %s:%lu", tally->reasons[j], tally->reason_counts[j]);
      fprintf (out, "\n");
      pl_histogram_merge (&all, &tally->latency);
      served += tally->served;
      wrong += tally->wrong;
      /* The summary leaves out accounts above their rate: their own excess decides which of their
       * requests are refused. */
      if (tally->offered > tally->within_rate)
        continue;
      lowest_ratio = MIN (lowest_ratio, served_ratio);
      ratio_sum += served_ratio;
      within_rate += tally->within_rate;
      refused += tally->refused_within_rate;
      accounts_within_rate++;
    }
  fprintf (out,
           "all: served %.1f/s, wrong answers %lu, p50 %.1f ms, p99 %.1f ms\n"
           "of the %u accounts inside their rates: refused %.4f%%, worst-served %.4f of the mean\n",
           (double) served / seconds, wrong, (double) pl_histogram_quantile (&all, 0.5) / 1e3,
           (double) pl_histogram_quantile (&all, 0.99) / 1e3, accounts_within_rate,
           100.0 * ratio (refused, within_rate) * (within_rate > 0),
           ratio_sum > 0 ? lowest_ratio / (ratio_sum / accounts_within_rate) : 1.0);
}

void
load_tally_write_csv (const struct load_tally *tallies, guint count, const char *label,
                      const char *file)
{
  FILE *out = fopen (file, "a");

  if (out == NULL)
    {
      perror (file);
      return;
    }
  if (ftell (out) == 0)
    fprintf (out, "label,account,offered,inside,served,refused_inside,wrong,p50_us,p99_us\n");
  for (guint i = 0; i < count; i++)
    fprintf (out, "%s,%s,%lu,%lu,%lu,%lu,%lu,%ld,%ld\n", label, tallies[i].account->name,
             tallies[i].offered, tallies[i].within_rate, tallies[i].served,
             tallies[i].refused_within_rate, tallies[i].wrong,
             pl_histogram_quantile (&tallies[i].latency, 0.5),
             pl_histogram_quantile (&tallies[i].latency, 0.99));
  fclose (out);
}

/* Latency on a logarithmic scale of 0.1 ms to 100 s. */
static double
plot_y (int64_t latency_us)
{
  double height = PLOT_HEIGHT - 2 * PLOT_MARGIN;
  double decades = log10 (MAX ((double) latency_us, 100.0) / 100.0);

  return PLOT_HEIGHT - PLOT_MARGIN - height * MIN (decades / 6.0, 1.0);
}

static void
plot_axes (cairo_t *cairo)
{
  static const char *const labels[] = {"0.1 ms", "1 ms", "10 ms", "100 ms", "1 s", "10 s", "100 s"};
  int64_t latency_us = 100;

  cairo_set_source_rgb (cairo, 1, 1, 1);
  cairo_paint (cairo);
  cairo_set_line_width (cairo, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (labels); i++, latency_us *= 10)
    {
      cairo_set_source_rgb (cairo, 0.85, 0.85, 0.85);
      cairo_move_to (cairo, PLOT_MARGIN, plot_y (latency_us));
      cairo_line_to (cairo, PLOT_WIDTH - PLOT_MARGIN, plot_y (latency_us));
      cairo_stroke (cairo);
      cairo_set_source_rgb (cairo, 0, 0, 0);
      cairo_move_to (cairo, 8, plot_y (latency_us) + 4);
      cairo_show_text (cairo, labels[i]);
    }
  cairo_move_to (cairo, PLOT_WIDTH / 2.0 - 80, PLOT_HEIGHT - 20);
  cairo_show_text (cairo, "fraction of requests served within (0 to 1)");
}

void
load_tally_plot (const struct load_tally *tallies, guint count, const char *file)
{
  cairo_surface_t *surface
      = cairo_image_surface_create (CAIRO_FORMAT_RGB24, PLOT_WIDTH, PLOT_HEIGHT);
  cairo_t *cairo = cairo_create (surface);
  double width = PLOT_WIDTH - 2 * PLOT_MARGIN;

  plot_axes (cairo);
  for (guint i = 0; i < count; i++)
    {
      double hue = (double) i / count;

      cairo_set_source_rgb (cairo, fabs (cos (hue * 6)) * 0.8, fabs (sin (hue * 5)) * 0.7,
                            fabs (cos (hue * 3 + 1)) * 0.9);
      for (int step = 1; step <= 1000; step++)
        cairo_line_to (cairo, PLOT_MARGIN + width * step / 1000,
                       plot_y (pl_histogram_quantile (&tallies[i].latency, step / 1000.0)));
      cairo_stroke (cairo);
      cairo_move_to (cairo, PLOT_MARGIN + 10, PLOT_MARGIN + 14.0 * i);
      cairo_show_text (cairo, tallies[i].account->name);
    }
  if (cairo_surface_write_to_png (surface, file) != CAIRO_STATUS_SUCCESS)
    fprintf (stderr, "cannot write %s\n", file);
  cairo_destroy (cairo);
  cairo_surface_destroy (surface);
}
