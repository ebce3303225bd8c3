/* One bucket for the fleet, copied on every entry host.
 *
 * Each host refills its copy at the account's full rate and takes out what it
 * admits itself and what others report to have admitted.  A host reports once
 * in a while, and at once when it has admitted more than a little that nobody
 * knows of, so a flood is met within some tens of milliseconds.  What it got by
 * then is paid back as debt: the average holds, and the bucket holds less than the
 * configured burst to leave room for the rest.
 *
 * Reports are cumulative counts, so a lost one is made up by the next.  A host
 * reports to the delegates of its domain; delegates report the sum of their domain
 * to the delegates of other domains, and to each host of their own domain what all
 * but that host admitted.  Several delegates so tell of the same requests: their
 * counts form one group, of which the one that is furthest ahead counts.  Counts of
 * different delegates differ by what they saw before the others started, so each is
 * put level with its group when it is first heard.
 *
 * Reports of use within the rate are rare, and each takes a lump out of the bucket.
 * Meanwhile the bucket may fill above its capacity by what reports that are due are
 * likely to bring; capped at its capacity, it would lose that part of the refill and
 * refuse requests within the rate after each report.
 *
 * A peer that falls silent may be dead or cut off.  Both sides of a cut refill
 * only the part of the rate that belongs to the hosts they hear, so together they
 * stay within the whole.  When the peer is heard again, what it admitted meanwhile
 * is covered by the part that was left out, and is not taken from the bucket a
 * second time.
 */
#include "internal/quota.h"

#include <assert.h>
#include <math.h>

/* Of the burst; the rest covers what peers admit before they hear of each other. */
#define BURST_USED 0.3
/* Requests of a small burst that are used all the same: the rest would not bear the lumps in which
 * news of use arrive. */
#define BURST_USED_LEAST 10.0
/* Of the refill while in debt: more use is likely to be on its way, and every host waits for the
 * same moment to admit again. */
#define DEBT_REFILL 0.93
#define DEBT_SECONDS 2.0
/* What all that keep a count may have admitted unknown to each other, in seconds of the rate: a
 * part of what the smaller bucket leaves. */
#define UNTOLD_SECONDS 0.1
#define UNTOLD_MIN 2.0
/* Of sums, which go to many. */
#define UNTOLD_SUM_MIN 3.0
/* Use exceeds what is expected when it does so by this many standard deviations of use that comes
 * at random; less can wait for the next regular report. */
#define EXCESS_DEVIATIONS 3.5
/* Peers that were silent have reported by then. */
#define WITHHELD_KEPT_US INT64_C (4000000)
#define PACE_SMOOTHING 0.3
/* Counts over a shorter time than this tell too little of a rate. */
#define PACE_SPAN_US INT64_C (200000)
/* Use that is not reported yet is allowed for up to so many seconds of the rate. */
#define UNREPORTED_SECONDS 2.0

/* Reported after this long when there is anything to report.  Sums go to many, and bring smaller
 * lumps for their size. */
static const int64_t tell_period_us[PL_QUOTA_SCOPES] = {
    [PL_QUOTA_HOST] = INT64_C (1000000),
    [PL_QUOTA_DOMAIN] = INT64_C (1500000),
    [PL_QUOTA_FLEET] = INT64_C (1000000),
};

/* What a report leaves out, in seconds of use: it was on its way, and the count that it tells was
 * made of reports that left out some.  A report on the fleet went through two delegates. */
static const double report_lag_seconds[PL_QUOTA_SCOPES] = {
    [PL_QUOTA_HOST] = 0.3,
    [PL_QUOTA_DOMAIN] = 0.3,
    [PL_QUOTA_FLEET] = 0.6,
};

/* One sender of reports on a group. */
struct stream
{
  uint64_t sender;
  uint64_t incarnation;
  uint32_t count; /* as last reported */
  double total;   /* that, on the scale of the group */
};

/* Hosts whose requests are reported as one count. */
struct group
{
  uint64_t id;
  enum pl_quota_scope scope;
  double counted; /* requests taken from the bucket for it */
  int64_t heard_us;
  GArray *streams; /* of struct stream */
  struct pl_quota_pace pace;
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
  double small = fmin (quota->burst, BURST_USED_LEAST);

  return fmax (fmax (quota->burst * BURST_USED, small), fmax (quota->rate * 0.1, 1.0));
}

/* Returns what the reports that are due are likely to bring. */
static double
unreported (const struct pl_quota *quota, int64_t now_us)
{
  double due = (quota->groups_rate * (double) now_us - quota->groups_rate_since) / 1e6;

  return fmin (fmax (due, 0) + quota->groups_lag, quota->rate * UNREPORTED_SECONDS);
}

static void
refill (struct pl_quota *quota, int64_t now_us)
{
  double seconds = (double) (now_us - quota->refilled_us) / 1e6;
  double due = seconds * quota->rate * (quota->tokens < 0 ? DEBT_REFILL : 1);

  quota->tokens = fmin (quota->tokens + due * quota->heard_part,
                        capacity_of (quota) + unreported (quota, now_us));
  quota->refilled_us = now_us;
  if (quota->heard_part < 1)
    {
      quota->withheld += due * (1 - quota->heard_part);
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
  quota->heard_part = 1;
}

void
pl_quota_clear (struct pl_quota *quota)
{
  g_hash_table_destroy (quota->groups);
}

void
pl_quota_limit (struct pl_quota *quota, double rate, double burst, int64_t now_us)
{
  bool is_new = quota->rate == 0;

  quota->rate = rate;
  quota->burst = burst;
  if (is_new)
    {
      /* An earlier process of this host may have spent the burst a moment ago, and all hosts may
       * start at once. */
      pl_quota_distrust (quota);
      quota->refilled_us = now_us;
    }
  quota->tokens = fmin (quota->tokens, capacity_of (quota));
}

/* Returns how many of the FRESH requests that a group reports are covered by what was left out of
 * the refill while it was silent. */
static double
use_withheld (struct pl_quota *quota, const struct group *group, double fresh, int64_t returned_us)
{
  double covered = group->heard_us < returned_us ? fmin (fresh, quota->withheld) : 0;

  quota->withheld -= covered;
  return covered;
}

static struct group *
take_group (struct pl_quota *quota, const struct pl_quota_report *report, int64_t now_us)
{
  struct group *group = g_hash_table_lookup (quota->groups, &report->group);

  if (group != NULL)
    return group;
  group = g_new0 (struct group, 1);
  group->id = report->group;
  group->scope = report->scope;
  group->heard_us = now_us;
  group->pace.since_us = now_us;
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

/* Puts a stream that is heard for the first time level with its group.  Returns the requests that
 * it brings. */
static double
begin_stream (const struct pl_quota *quota, struct group *group,
              const struct pl_quota_report *report)
{
  struct stream stream = {.sender = report->sender,
                          .incarnation = report->incarnation,
                          .count = report->count,
                          .total = group->counted};
  bool is_new_group = group->streams->len == 0;

  /* A large count is from before this host's own start, whose bucket was empty then. */
  if (is_new_group && report->count <= capacity_of (quota))
    stream.total += report->count;
  g_array_append_val (group->streams, stream);
  return stream.total - group->counted;
}

/* Returns the requests that REPORT brings beyond those counted. */
static double
follow_stream (const struct group *group, struct stream *stream,
               const struct pl_quota_report *report)
{
  int32_t fresh = (int32_t) (report->count - stream->count);

  if (stream->incarnation != report->incarnation)
    {
      /* A host counts from nothing after a start; a delegate then sums up what it hears. */
      fresh = report->scope == PL_QUOTA_HOST ? (int32_t) report->count : 0;
      stream->total = group->counted;
    }
  else if (fresh < 0)
    return 0; /* an older report that came late */
  stream->incarnation = report->incarnation;
  stream->count = report->count;
  stream->total += fresh;
  return fmax (stream->total - group->counted, 0);
}

static void
keep_pace (struct pl_quota_pace *pace, double fresh, int64_t now_us)
{
  double seconds = (double) (now_us - pace->since_us) / 1e6;

  pace->pending += fresh;
  if (now_us - pace->since_us < PACE_SPAN_US)
    return;
  if (pace->rate == 0)
    pace->rate = pace->pending / seconds;
  else
    pace->rate += PACE_SMOOTHING * (pace->pending / seconds - pace->rate);
  pace->pending = 0;
  pace->since_us = now_us;
}

/* The sum over all groups of rate times time since the last report is kept as two sums. */
static void
rate_group (struct pl_quota *quota, struct group *group, double fresh, int64_t now_us)
{
  quota->groups_rate -= group->pace.rate;
  quota->groups_rate_since -= group->pace.rate * (double) group->heard_us;
  quota->groups_lag -= group->pace.rate * report_lag_seconds[group->scope];
  keep_pace (&group->pace, fresh, now_us);
  group->heard_us = now_us;
  quota->groups_rate += group->pace.rate;
  quota->groups_rate_since += group->pace.rate * (double) group->heard_us;
  quota->groups_lag += group->pace.rate * report_lag_seconds[group->scope];
}

static void
spend (struct pl_quota *quota, struct group *group, const struct pl_quota_report *report,
       double fresh, int64_t now_us)
{
  refill (quota, now_us);
  quota->tokens -= fresh - use_withheld (quota, group, fresh, report->returned_us);
  quota->tokens = fmax (quota->tokens, -quota->rate * DEBT_SECONDS);
  group->counted += fresh;
  if (report->scope == PL_QUOTA_HOST)
    quota->domain_others += fresh;
  else
    quota->far_others += fresh;
  rate_group (quota, group, fresh, now_us);
}

void
pl_quota_on_report (struct pl_quota *quota, const struct pl_quota_report *report, int64_t now_us)
{
  struct group *group = take_group (quota, report, now_us);
  struct stream *stream = find_stream (group, report->sender);
  double fresh = stream == NULL ? begin_stream (quota, group, report)
                                : follow_stream (group, stream, report);

  if (!report->is_followed)
    {
      /* Others tell of the same requests; this sender goes on from here if it is followed later. */
      find_stream (group, report->sender)->total = group->counted;
      return;
    }
  spend (quota, group, report, fresh, now_us);
}

uint64_t
pl_quota_count (const struct pl_quota *quota, enum pl_quota_scope scope)
{
  switch (scope)
    {
    case PL_QUOTA_HOST:
      return quota->admitted;
    case PL_QUOTA_DOMAIN:
      return quota->admitted + (uint64_t) quota->domain_others;
    case PL_QUOTA_FLEET:
    case PL_QUOTA_SCOPES:
      break;
    }
  return quota->admitted + (uint64_t) (quota->domain_others + quota->far_others);
}

uint64_t
pl_quota_count_without (const struct pl_quota *quota, uint64_t host)
{
  const struct group *group = g_hash_table_lookup (quota->groups, &host);
  double counted = group != NULL && group->scope == PL_QUOTA_HOST ? group->counted : 0;

  return quota->admitted + (uint64_t) (quota->domain_others + quota->far_others - counted);
}

static bool
exceeds (double count, double expected, double least)
{
  return count - expected >= fmax (least, EXCESS_DEVIATIONS * sqrt (expected));
}

bool
pl_quota_is_pressing (const struct pl_quota *quota, enum pl_quota_scope scope, int shares,
                      int64_t now_us)
{
  const struct pl_quota_told *told = &quota->told[scope];
  double untold = (double) (pl_quota_count (quota, scope) - told->count);
  double seconds = (double) MIN (now_us - told->at_us, tell_period_us[scope]) / 1e6;
  double share = quota->rate / shares;
  double least
      = fmax (share * UNTOLD_SECONDS, scope == PL_QUOTA_HOST ? UNTOLD_MIN : UNTOLD_SUM_MIN);

  if (quota->rate <= 0 || untold < least)
    return false;
  return exceeds (untold, told->pace.rate * seconds, least) || exceeds (untold, share * seconds, 0);
}

bool
pl_quota_should_tell (const struct pl_quota *quota, enum pl_quota_scope scope, int shares,
                      int64_t now_us)
{
  const struct pl_quota_told *told = &quota->told[scope];

  assert (scope < PL_QUOTA_SCOPES);
  if (quota->rate <= 0 || pl_quota_count (quota, scope) == told->count)
    return false;
  return now_us - told->at_us >= tell_period_us[scope]
         || pl_quota_is_pressing (quota, scope, shares, now_us);
}

void
pl_quota_note_told (struct pl_quota *quota, enum pl_quota_scope scope, int64_t now_us)
{
  struct pl_quota_told *told = &quota->told[scope];
  uint64_t count = pl_quota_count (quota, scope);

  keep_pace (&told->pace, (double) (count - told->count), now_us);
  told->count = count;
  told->at_us = now_us;
}

void
pl_quota_distrust (struct pl_quota *quota)
{
  quota->tokens = fmin (quota->tokens, 1);
}

bool
pl_quota_take (struct pl_quota *quota, double silent, int64_t now_us)
{
  if (quota->rate <= 0)
    return true;
  quota->heard_part = 1 - silent;
  refill (quota, now_us);
  if (quota->tokens < 1)
    return false;
  quota->tokens -= 1;
  quota->admitted++;
  return true;
}

int64_t
pl_quota_wait_us (const struct pl_quota *quota)
{
  if (quota->rate <= 0 || quota->tokens >= 1)
    return 0;
  return (int64_t) ((1 - quota->tokens) / quota->rate * 1e6);
}
