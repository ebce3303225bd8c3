/* Second copies of slow requests, and the budgets of retries and copies.
 *
 * A copy is sent when the first attempt has taken longer than a high quantile of the route's recent
 * answers, so that few requests get one.  The quantile follows from the budget: with a hedge_ratio
 * of 0.05, a twentieth of the requests are slow enough.  When all servers become slow at once, many
 * more are, and the budgets bound the extra work: the copies of a service in proportion to its
 * requests, and retries and copies together over the fleet.
 */
#include "internal/hedging.h"

#include <assert.h>
#include <string.h>

/* The quantile is 1 - hedge_ratio within these limits.  The lower one is about the fraction of the
 * requests for which the budget of retries has no token; above the upper one lies at most one of
 * 128 samples. */
#define QUANTILE_MIN 0.85
#define QUANTILE_MAX 0.99
/* An earlier copy would mostly measure the host's own scheduling. */
#define DELAY_MIN_US INT64_C (5000)
/* The times at which copies are due are rounded up to this, which bounds the number of timers. */
#define TIMER_STEP_US INT64_C (2000)
/* With fewer samples, the quantile is that of single answers. */
#define SAMPLES_MIN 32
/* A generation ends after so many samples, or after this time: the estimate covers the last 128 to
 * 256 answers.  A host of the first reference deployment has 3 to 13 requests of a route per
 * second. */
#define GENERATION_SAMPLES 128
#define GENERATION_MAX_US INT64_C (30000000)
/* The quantiles are computed again after so many samples. */
#define SAMPLES_PER_ESTIMATE 8
/* Copies that a host may send at once at most, for a service that had none for some time. */
#define COPY_TOKENS_MAX 10.0
/* Fraction of the fleet's retry budget that is used.  The rest is a margin, since hosts do not
 * always know of each other. */
#define RETRY_BUDGET_RATIO 0.7
/* Above this fraction of late answers a service has no capacity for copies. */
#define LATE_RATIO_MAX 0.5
/* So long after a refusal for lack of capacity or above a fair share, a service counts as
 * contended.
 */
#define CONTENDED_US INT64_C (1000000)

const char *const pl_hedging_verdict_names[PL_HEDGING_VERDICT_COUNT] = {
    [PL_HEDGING_COPY] = "copy",
    [PL_HEDGING_SUSPECT] = "suspect",
    [PL_HEDGING_UNREACHED] = "servers-not-reached",
    [PL_HEDGING_OVER_RATE] = "over-rate",
    [PL_HEDGING_CONTENDED] = "contended",
    [PL_HEDGING_NO_TIME] = "no-time-left",
    [PL_HEDGING_NO_BUDGET] = "no-budget",
    [PL_HEDGING_NO_RETRY_BUDGET] = "no-retry-budget",
    [PL_HEDGING_NO_SERVER] = "no-server",
};

void
pl_hedging_init (struct pl_hedging *hedging, const struct pl_hedging_options *options)
{
  memset (hedging, 0, sizeof *hedging);
  hedging->options = *options;
  hedging->services = g_array_new (FALSE, FALSE, sizeof (struct pl_hedging_service));
}

void
pl_hedging_clear (struct pl_hedging *hedging)
{
  g_array_free (hedging->services, TRUE);
}

static struct pl_hedging_service *
service_at (struct pl_hedging *hedging, int service)
{
  static const struct pl_hedging_service initial = {.retry_tokens = 1};

  while (hedging->services->len <= (guint) service)
    g_array_append_val (hedging->services, initial);
  return &g_array_index (hedging->services, struct pl_hedging_service, service);
}

const struct pl_hedging_service *
pl_hedging_budgets (struct pl_hedging *hedging, int service)
{
  return service_at (hedging, service);
}

void
pl_hedging_on_request (struct pl_hedging *hedging, int service, int hosts)
{
  const struct pl_hedging_options *options = &hedging->options;
  struct pl_hedging_service *budgets = service_at (hedging, service);
  double retry_tokens_max = MAX (options->retry_slack * RETRY_BUDGET_RATIO / hosts, 1.0);

  budgets->retry_tokens
      = MIN (budgets->retry_tokens + options->retry_ratio * RETRY_BUDGET_RATIO, retry_tokens_max);
  budgets->copy_tokens = MIN (budgets->copy_tokens + options->hedge_ratio, COPY_TOKENS_MAX);
}

void
pl_hedging_on_refusal (struct pl_hedging *hedging, int service, int64_t now_us)
{
  service_at (hedging, service)->refused_us = now_us;
}

bool
pl_hedging_spend_retry (struct pl_hedging *hedging, int service)
{
  struct pl_hedging_service *budgets = service_at (hedging, service);

  if (budgets->retry_tokens < 1)
    return false;
  budgets->retry_tokens -= 1;
  return true;
}

void
pl_hedging_spend_copy (struct pl_hedging *hedging, int service)
{
  struct pl_hedging_service *budgets = service_at (hedging, service);

  assert (budgets->retry_tokens >= 1 && budgets->copy_tokens >= 1);
  budgets->retry_tokens -= 1;
  budgets->copy_tokens -= 1;
  hedging->sent++;
}

double
pl_hedging_quantile (const struct pl_hedging *hedging)
{
  return CLAMP (1 - hedging->options.hedge_ratio, QUANTILE_MIN, QUANTILE_MAX);
}

/* Begins a new generation of ROUTE when the current one is complete or too old. */
static void
rotate (struct pl_hedging_route *route, int64_t now_us)
{
  int64_t age_us = now_us - route->recent_since_us;

  if (route->recent.count < GENERATION_SAMPLES && age_us < GENERATION_MAX_US)
    return;
  if (age_us < 2 * GENERATION_MAX_US)
    route->previous = route->recent;
  else
    {
      memset (&route->previous, 0, sizeof route->previous);
      route->samples = 0;
    }
  memset (&route->recent, 0, sizeof route->recent);
  route->recent_since_us = now_us;
}

static void
estimate (const struct pl_hedging *hedging, struct pl_hedging_route *route)
{
  struct pl_histogram both = route->recent;

  pl_histogram_merge (&both, &route->previous);
  route->samples = (unsigned) both.count;
  route->delay_us
      = MAX (pl_histogram_quantile (&both, pl_hedging_quantile (hedging)), DELAY_MIN_US);
  route->median_us = pl_histogram_quantile (&both, 0.5);
}

void
pl_hedging_record_latency (const struct pl_hedging *hedging, struct pl_hedging_route **route,
                           int64_t latency_us, int64_t now_us)
{
  if (hedging->options.hedge_ratio <= 0)
    return;
  if (*route == NULL)
    {
      *route = g_new0 (struct pl_hedging_route, 1);
      (*route)->recent_since_us = now_us;
    }
  rotate (*route, now_us);
  pl_histogram_add (&(*route)->recent, latency_us);
  if ((*route)->recent.count % SAMPLES_PER_ESTIMATE == 0)
    estimate (hedging, *route);
}

int64_t
pl_hedging_due_us (const struct pl_hedging *hedging, const struct pl_hedging_route *route,
                   int64_t deadline_us, int64_t now_us)
{
  int64_t due_us;

  if (hedging->options.hedge_ratio <= 0 || route == NULL || route->samples < SAMPLES_MIN)
    return INT64_MAX;
  due_us = now_us + route->delay_us + TIMER_STEP_US - 1;
  due_us -= due_us % TIMER_STEP_US;
  return due_us + route->median_us <= deadline_us ? due_us : INT64_MAX;
}

static bool
is_contended (const struct pl_hedging_service *budgets, const struct pl_hedging_request *request,
              int64_t now_us)
{
  return request->waiting > 0 || request->is_contended || request->late_ratio > LATE_RATIO_MAX
         || (budgets->refused_us > 0 && now_us - budgets->refused_us < CONTENDED_US);
}

enum pl_hedging_verdict
pl_hedging_judge (struct pl_hedging *hedging, const struct pl_hedging_route *route,
                  const struct pl_hedging_request *request, int64_t now_us)
{
  const struct pl_hedging_service *budgets = service_at (hedging, request->service);

  if (request->is_suspect)
    return PL_HEDGING_SUSPECT;
  if (!request->reaches_servers)
    return PL_HEDGING_UNREACHED;
  if (request->over_rate)
    return PL_HEDGING_OVER_RATE;
  if (is_contended (budgets, request, now_us))
    return PL_HEDGING_CONTENDED;
  if (route == NULL || route->median_us > request->time_left_us)
    return PL_HEDGING_NO_TIME;
  if (budgets->copy_tokens < 1)
    return PL_HEDGING_NO_BUDGET;
  return budgets->retry_tokens < 1 ? PL_HEDGING_NO_RETRY_BUDGET : PL_HEDGING_COPY;
}

void
pl_hedging_metrics (const struct pl_hedging *hedging, GString *text)
{
  if (hedging->options.hedge_ratio <= 0)
    return;
  g_string_append_printf (text,
                          "pomelolatch_copies_total{event=\"sent\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_copies_total{event=\"won\"} %" G_GUINT64_FORMAT "\n"
                          "pomelolatch_copies_total{event=\"cancelled\"} %" G_GUINT64_FORMAT "\n",
                          hedging->sent, hedging->won, hedging->cancelled);
  for (int i = PL_HEDGING_COPY + 1; i < PL_HEDGING_VERDICT_COUNT; i++)
    g_string_append_printf (
        text, "pomelolatch_copies_not_sent_total{reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
        pl_hedging_verdict_names[i], hedging->verdicts[i]);
}
