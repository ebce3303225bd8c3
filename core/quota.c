/* Enforces an account's rate over the fleet with a token bucket replicated on each entry host.
 *
 * Each host refills its replica at the account's full rate and charges it with the
 * requests that it admits itself and those that other hosts report.  A host reports
 * periodically, and at once when it has admitted more than a small number of
 * unreported requests, so the fleet reacts to a flood within some tens of milliseconds.
 * Requests that exceed the rate until then make the token balance negative, which
 * preserves the average; the capacity of the bucket is below the configured burst to
 * leave room for them.
 *
 * Reports carry cumulative counts, so a lost one is made up by the next.  A host
 * reports to the delegates of its domain.  Delegates report the sum of their domain to
 * the delegates of other domains, and to each host of their own domain what all other
 * hosts admitted.  Several delegates therefore report the same requests: their counts
 * form one group, and the highest of them is used.  The counts of two delegates differ
 * by what one saw before the other started, so the first report of a sender is aligned
 * with the total of its group.
 *
 * Use within the rate is reported rarely, and each report charges the bucket with many
 * requests at once.  Until a report arrives, the bucket may fill above its capacity by
 * the requests that it is expected to bring.  Capped at its capacity, the bucket would
 * lose that part of the refill and refuse requests within the rate after each report.
 *
 * A silent peer may have failed or be partitioned.  Both sides of a partition refill only the
 * fraction of the rate that belongs to the hosts that they hear from, so together they
 * stay within the rate.  When the peer is heard from again, the requests that it
 * admitted meanwhile are covered by the refill that was withheld, and are not charged
 * a second time.
 */
#include "internal/quota.h"

#include <assert.h>
#include <math.h>

/* Fraction of the burst that is the capacity of the bucket.  The rest covers what peers admit
 * before their reports arrive. */
#define CAPACITY_RATIO 0.3
/* Minimum capacity, or the whole burst where that is smaller: a smaller bucket could not absorb the
 * requests that one report brings at once. */
#define CAPACITY_MIN 10.0
/* Factor of the refill while the balance is negative: more reports are likely to be on their way,
 * and all hosts would start to admit again at the same time. */
#define NEGATIVE_BALANCE_REFILL_FACTOR 0.93
/* The balance is limited to minus this many seconds of the rate. */
#define NEGATIVE_BALANCE_SECONDS_MAX 2.0
/* Requests that all hosts, or all domains, may admit together before they report them, in seconds
 * of the rate.  They come out of the burst beyond the capacity of the bucket. */
#define REPORT_THRESHOLD_SECONDS 0.1
#define REPORT_THRESHOLD_MIN 2.0
/* The minimum for sums, which are sent to many hosts. */
#define REPORT_THRESHOLD_SUM_MIN 3.0
/* Requests exceed the expected number when they do so by this many standard deviations of random
 * arrivals; a smaller excess can wait for the next regular report. */
#define EXCESS_DEVIATIONS 3.5
/* Withheld tokens are kept for this long after the last reduced refill.  By then the peers that
 * were silent have reported what they admitted. */
#define WITHHELD_KEPT_US INT64_C (4000000)
/* Weight of the newest period in a rate estimate. */
#define RATE_SMOOTHING 0.3
/* A shorter period gives too imprecise a rate. */
#define RATE_PERIOD_MIN_US INT64_C (200000)
/* Expected reports may raise the bucket above its capacity by up to this many seconds of the
 * rate. */
#define UNREPORTED_MAX_SECONDS 2.0
/* Without a report for the first of these times, which is two periods of the slowest reports, the
 * estimated rate of a host or domain falls in inverse proportion to that time; after the second it
 * counts no more. */
#define RATE_FRESH_US INT64_C (3000000)
#define RATE_EXPIRES_US INT64_C (10000000)
/* Longest time that a token is said to take: an hour. */
#define TOKEN_WAIT_MAX_US 3.6e9

/* Time from one report to the next when there is anything to report.  Sums are sent to many hosts,
 * and one report of them brings fewer requests relative to its size. */
static const int64_t report_period_us[PL_QUOTA_SCOPES] = {
    [PL_QUOTA_HOST] = INT64_C (1000000),
    [PL_QUOTA_DOMAIN] = INT64_C (1500000),
    [PL_QUOTA_FLEET] = INT64_C (1000000),
};

/* How far a report lags behind, in seconds: by its own delay and that of the reports that it sums
 * up.  A report on the fleet has passed through two delegates. */
static const double report_lag_seconds[PL_QUOTA_SCOPES] = {
    [PL_QUOTA_HOST] = 0.3,
    [PL_QUOTA_DOMAIN] = 0.3,
    [PL_QUOTA_FLEET] = 0.6,
};

/* The reports of one sender on a group. */
struct stream
{
  uint64_t sender;
  uint64_t incarnation;
  uint32_t count; /* as last reported */
  double total;   /* the same, relative to the count of the group */
};

/* A set of hosts whose requests are reported as one count. */
struct group
{
  uint64_t id;
  enum pl_quota_scope scope;
  double counted; /* requests charged to the bucket for it */
  int64_t heard_us;
  GArray *streams; /* of struct stream */
  struct pl_quota_rate_estimate estimate;
};

static void
free_group (gpointer data)
{
  struct group *group = data;

  g_array_free (group->streams, TRUE);
  g_free (group);
}

static double
capacity_of (const struct pl_quota *quota)
{
  double capacity_min = fmin (quota->burst, CAPACITY_MIN);

  return fmax (fmax (quota->burst * CAPACITY_RATIO, capacity_min), fmax (quota->rate * 0.1, 1.0));
}

/* Returns how many requests the outstanding reports are expected to bring. */
static double
estimate_unreported (const struct pl_quota *quota, int64_t now_us)
{
  double due = (quota->groups_rate * (double) now_us - quota->groups_rate_times_heard) / 1e6;

  return fmin (fmax (due, 0) + quota->groups_lag, quota->rate * UNREPORTED_MAX_SECONDS);
}

static void
refill (struct pl_quota *quota, int64_t now_us)
{
  double seconds = (double) (now_us - quota->refilled_us) / 1e6;
  double due = seconds * quota->rate * (quota->tokens < 0 ? NEGATIVE_BALANCE_REFILL_FACTOR : 1);

  quota->tokens = fmin (quota->tokens + due * quota->refill_ratio,
                        capacity_of (quota) + estimate_unreported (quota, now_us));
  quota->refilled_us = now_us;
  if (quota->refill_ratio < 1)
    {
      quota->withheld += due * (1 - quota->refill_ratio);
      quota->withheld_us = now_us;
    }
  else if (now_us - quota->withheld_us > WITHHELD_KEPT_US)
    quota->withheld = 0;
}

void
pl_quota_init (struct pl_quota *quota, int64_t now_us)
{
  quota->groups = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_group);
  quota->refilled_us = now_us;
  quota->tokens = 1;
  quota->refill_ratio = 1;
}

void
pl_quota_clear (struct pl_quota *quota)
{
  g_hash_table_destroy (quota->groups);
}

void
pl_quota_set_limits (struct pl_quota *quota, double rate, double burst, int64_t now_us)
{
  bool is_new = quota->rate == 0;

  quota->rate = rate;
  quota->burst = burst;
  if (is_new)
    {
      /* An earlier process of this host may have just spent the burst, and all hosts may start at
       * once. */
      pl_quota_discard_tokens (quota);
      quota->refilled_us = now_us;
    }
  quota->tokens = fmin (quota->tokens, capacity_of (quota));
}

/* Returns how many of the NEWLY_REPORTED requests of GROUP are covered by the refill withheld
 * while it was silent, and deducts them from it. */
static double
cover_by_withheld (struct pl_quota *quota, const struct group *group, double newly_reported,
                   int64_t resumed_us)
{
  double covered = group->heard_us < resumed_us ? fmin (newly_reported, quota->withheld) : 0;

  quota->withheld -= covered;
  return covered;
}

static struct group *
ensure_group (struct pl_quota *quota, const struct pl_quota_report *report, int64_t now_us)
{
  struct group *group = g_hash_table_lookup (quota->groups, &report->group);

  if (group != NULL)
    return group;
  group = g_new0 (struct group, 1);
  group->id = report->group;
  group->scope = report->scope;
  group->heard_us = now_us;
  group->estimate.since_us = now_us;
  group->streams = g_array_new (FALSE, FALSE, sizeof (struct stream));
  g_hash_table_insert (quota->groups, &group->id, group);
  return group;
}

static struct stream *
find_stream (const struct group *group, uint64_t sender)
{
  for (guint i = 0; i < group->streams->len; i++)
    if (g_array_index (group->streams, struct stream, i).sender == sender)
      return &g_array_index (group->streams, struct stream, i);
  return NULL;
}

/* Adds the stream of a new sender, aligned with the total of its group.  Returns the number of
 * requests not counted yet. */
static double
add_stream (const struct pl_quota *quota, struct group *group, const struct pl_quota_report *report)
{
  struct stream stream = {.sender = report->sender,
                          .incarnation = report->incarnation,
                          .count = report->count,
                          .total = group->counted};
  bool is_new_group = group->streams->len == 0;

  /* A large count is from before this host started, and its bucket was empty at the start. */
  if (is_new_group && report->count <= capacity_of (quota))
    stream.total += report->count;
  g_array_append_val (group->streams, stream);
  return stream.total - group->counted;
}

/* Updates STREAM from REPORT.  Returns the number of requests not counted yet. */
static double
update_stream (const struct group *group, struct stream *stream,
               const struct pl_quota_report *report)
{
  int32_t newly_reported = (int32_t) (report->count - stream->count);

  if (stream->incarnation != report->incarnation)
    {
      /* After a restart a host counts from zero, while a delegate's sum includes earlier requests
       * that others report to it. */
      newly_reported = report->scope == PL_QUOTA_HOST ? (int32_t) report->count : 0;
      stream->total = group->counted;
    }
  else if (newly_reported < 0)
    return 0; /* an older report that arrived late */
  stream->incarnation = report->incarnation;
  stream->count = report->count;
  stream->total += newly_reported;
  return fmax (stream->total - group->counted, 0);
}

static void
update_rate_estimate (struct pl_quota_rate_estimate *estimate, double newly_reported,
                      int64_t now_us)
{
  double seconds = (double) (now_us - estimate->since_us) / 1e6;

  estimate->pending += newly_reported;
  if (now_us - estimate->since_us < RATE_PERIOD_MIN_US)
    return;
  if (estimate->rate == 0)
    estimate->rate = estimate->pending / seconds;
  else
    estimate->rate += RATE_SMOOTHING * (estimate->pending / seconds - estimate->rate);
  estimate->pending = 0;
  estimate->since_us = now_us;
}

/* The sum over all groups of the rate times the time since the last report is kept as two sums, so
 * that it can be evaluated at any time without a pass over the groups. */
static void
update_group_rate (struct pl_quota *quota, struct group *group, double newly_reported,
                   int64_t now_us)
{
  quota->groups_rate -= group->estimate.rate;
  quota->groups_rate_times_heard -= group->estimate.rate * (double) group->heard_us;
  quota->groups_lag -= group->estimate.rate * report_lag_seconds[group->scope];
  update_rate_estimate (&group->estimate, newly_reported, now_us);
  group->heard_us = now_us;
  quota->groups_rate += group->estimate.rate;
  quota->groups_rate_times_heard += group->estimate.rate * (double) group->heard_us;
  quota->groups_lag += group->estimate.rate * report_lag_seconds[group->scope];
}

static void
charge_bucket (struct pl_quota *quota, struct group *group, const struct pl_quota_report *report,
               double newly_reported, int64_t now_us)
{
  refill (quota, now_us);
  quota->tokens
      -= newly_reported - cover_by_withheld (quota, group, newly_reported, report->resumed_us);
  quota->tokens = fmax (quota->tokens, -quota->rate * NEGATIVE_BALANCE_SECONDS_MAX);
  group->counted += newly_reported;
  if (report->scope == PL_QUOTA_HOST)
    quota->admitted_by_domain += newly_reported;
  else
    quota->admitted_by_others += newly_reported;
  update_group_rate (quota, group, newly_reported, now_us);
}

void
pl_quota_on_report (struct pl_quota *quota, const struct pl_quota_report *report, int64_t now_us)
{
  struct group *group = ensure_group (quota, report, now_us);
  struct stream *stream = find_stream (group, report->sender);
  double newly_reported
      = stream == NULL ? add_stream (quota, group, report) : update_stream (group, stream, report);

  if (!report->is_counted)
    {
      /* Other reports cover the same requests.  The stream is aligned with the group in case its
       * reports are counted later. */
      find_stream (group, report->sender)->total = group->counted;
      return;
    }
  charge_bucket (quota, group, report, newly_reported, now_us);
}

uint64_t
pl_quota_count (const struct pl_quota *quota, enum pl_quota_scope scope)
{
  switch (scope)
    {
    case PL_QUOTA_HOST:
      return quota->admitted;
    case PL_QUOTA_DOMAIN:
      return quota->admitted + (uint64_t) quota->admitted_by_domain;
    case PL_QUOTA_FLEET:
    case PL_QUOTA_SCOPES:
      break;
    }
  return quota->admitted + (uint64_t) (quota->admitted_by_domain + quota->admitted_by_others);
}

uint64_t
pl_quota_count_excluding (const struct pl_quota *quota, uint64_t host)
{
  const struct group *group = g_hash_table_lookup (quota->groups, &host);
  double counted = group != NULL && group->scope == PL_QUOTA_HOST ? group->counted : 0;

  return quota->admitted
         + (uint64_t) (quota->admitted_by_domain + quota->admitted_by_others - counted);
}

double
pl_quota_rate_of_others (const struct pl_quota *quota, int64_t *reported_us, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  double rate = 0;

  g_hash_table_iter_init (&iter, quota->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct group *group = value;
      int64_t age_us = now_us - group->heard_us;

      *reported_us = MAX (*reported_us, group->heard_us);
      if (age_us <= RATE_FRESH_US)
        rate += group->estimate.rate;
      else if (age_us < RATE_EXPIRES_US)
        rate += group->estimate.rate * (double) RATE_FRESH_US / (double) age_us;
    }
  return rate;
}

static bool
exceeds_expected (double count, double expected, double threshold)
{
  return count - expected >= fmax (threshold, EXCESS_DEVIATIONS * sqrt (expected));
}

bool
pl_quota_is_urgent (const struct pl_quota *quota, enum pl_quota_scope scope, int sharers,
                    int64_t now_us)
{
  const struct pl_quota_last_report *reported = &quota->reported[scope];
  double unreported = (double) (pl_quota_count (quota, scope) - reported->count);
  double seconds = (double) MIN (now_us - reported->at_us, report_period_us[scope]) / 1e6;
  double share = quota->rate / sharers;
  double threshold
      = fmax (share * REPORT_THRESHOLD_SECONDS,
              scope == PL_QUOTA_HOST ? REPORT_THRESHOLD_MIN : REPORT_THRESHOLD_SUM_MIN);

  if (quota->rate <= 0 || unreported < threshold)
    return false;
  return exceeds_expected (unreported, reported->estimate.rate * seconds, threshold)
         || exceeds_expected (unreported, share * seconds, 0);
}

bool
pl_quota_should_report (const struct pl_quota *quota, enum pl_quota_scope scope, int sharers,
                        int64_t now_us)
{
  const struct pl_quota_last_report *reported = &quota->reported[scope];

  assert (scope < PL_QUOTA_SCOPES);
  if (quota->rate <= 0 || pl_quota_count (quota, scope) == reported->count)
    return false;
  return now_us - reported->at_us >= report_period_us[scope]
         || pl_quota_is_urgent (quota, scope, sharers, now_us);
}

void
pl_quota_record_report (struct pl_quota *quota, enum pl_quota_scope scope, int64_t now_us)
{
  struct pl_quota_last_report *reported = &quota->reported[scope];
  uint64_t count = pl_quota_count (quota, scope);

  update_rate_estimate (&reported->estimate, (double) (count - reported->count), now_us);
  reported->count = count;
  reported->at_us = now_us;
}

void
pl_quota_discard_tokens (struct pl_quota *quota)
{
  quota->tokens = fmin (quota->tokens, 1);
}

bool
pl_quota_admit (struct pl_quota *quota, double silent, int64_t now_us)
{
  if (quota->rate <= 0)
    return true;
  quota->refill_ratio = 1 - silent;
  refill (quota, now_us);
  if (quota->tokens < 1)
    return false;
  quota->tokens -= 1;
  quota->admitted++;
  return true;
}

int64_t
pl_quota_token_wait_us (const struct pl_quota *quota)
{
  if (quota->rate <= 0 || quota->tokens >= 1)
    return 0;
  return (int64_t) fmin ((1 - quota->tokens) / quota->rate * 1e6, TOKEN_WAIT_MAX_US);
}
