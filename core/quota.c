/* One bucket for the fleet, copied on every entry host.
 *
 * Each host refills its copy at the account's full rate and takes out what it
 * admits itself and what its peers report to have admitted.  A host reports once
 * in a while, and at once when it has admitted more than a little that nobody
 * knows of, so a flood is met within some tens of milliseconds.  What it got by
 * then is paid back as debt: the average holds, and the bucket holds less than the
 * configured burst to leave room for the rest.
 *
 * A peer that falls silent may be dead or cut off.  Both sides of a cut refill
 * only the part of the rate that belongs to the hosts they hear, so together they
 * stay within the whole.  When the peer is heard again, what it admitted meanwhile
 * is covered by the part that was left out, and is not taken from the bucket a
 * second time.
 */
#include "internal/quota.h"

#include <math.h>

/* Of the burst; the rest covers what peers admit before they hear of each other. */
#define BURST_USED 0.4
#define DEBT_SECONDS 1.0
/* Reported after this long when there is anything to report. */
#define TELL_PERIOD_US INT64_C (2000000)
/* What all hosts together may have admitted unknown to each other, in seconds of the rate: a part
 * of what the smaller bucket leaves. */
#define UNTOLD_SECONDS 0.4
#define UNTOLD_MIN 3.0
/* Peers that were silent have reported by then. */
#define WITHHELD_KEPT_US (2 * TELL_PERIOD_US)

struct pl_quota_peer
{
  uint64_t incarnation;
  uint64_t admitted;
  int64_t heard_us;
};

static double
capacity_of (const struct pl_quota *quota)
{
  return fmax (quota->burst * BURST_USED, fmax (quota->rate * 0.1, 1.0));
}

static void
refill (struct pl_quota *quota, int64_t now_us)
{
  double seconds = (double) (now_us - quota->refilled_us) / 1e6;
  double due = seconds * quota->rate;

  quota->tokens = fmin (quota->tokens + due * quota->heard_part, capacity_of (quota));
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
  quota->others = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  quota->refilled_us = now_us;
  quota->heard_part = 1;
}

void
pl_quota_clear (struct pl_quota *quota)
{
  g_hash_table_destroy (quota->others);
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
      quota->tokens = 1;
      quota->refilled_us = now_us;
    }
  quota->tokens = fmin (quota->tokens, capacity_of (quota));
}

/* Returns how many of the FRESH requests that a peer reports are covered by what was left out of
 * the refill while it was silent. */
static double
use_withheld (struct pl_quota *quota, const struct pl_quota_peer *other, double fresh,
              int64_t returned_us)
{
  double covered = other->heard_us < returned_us ? fmin (fresh, quota->withheld) : 0;

  quota->withheld -= covered;
  return covered;
}

void
pl_quota_on_peer (struct pl_quota *quota, uint64_t peer, uint64_t incarnation, uint64_t admitted,
                  int64_t returned_us, int64_t now_us)
{
  struct pl_quota_peer *other = g_hash_table_lookup (quota->others, &peer);
  double fresh = 0;

  if (other == NULL)
    {
      other = g_new0 (struct pl_quota_peer, 1);
      other->incarnation = incarnation;
      other->admitted = admitted;
      other->heard_us = now_us;
      g_hash_table_insert (quota->others, g_memdup2 (&peer, sizeof peer), other);
      /* A large count is from before this host's own start, whose bucket was empty then. */
      refill (quota, now_us);
      if ((double) admitted <= capacity_of (quota))
        quota->tokens -= (double) admitted;
      return;
    }
  if (other->incarnation != incarnation)
    fresh = (double) admitted;
  else if (admitted < other->admitted)
    return; /* an older report that came late */
  else
    fresh = (double) (admitted - other->admitted);
  refill (quota, now_us);
  quota->tokens -= fresh - use_withheld (quota, other, fresh, returned_us);
  quota->tokens = fmax (quota->tokens, -quota->rate * DEBT_SECONDS);
  other->incarnation = incarnation;
  other->admitted = admitted;
  other->heard_us = now_us;
}

bool
pl_quota_is_pressing (const struct pl_quota *quota, int hosts)
{
  double bearable = fmax (quota->rate * UNTOLD_SECONDS / hosts, UNTOLD_MIN);

  return quota->rate > 0 && (double) (quota->admitted - quota->told) >= bearable;
}

bool
pl_quota_should_tell (const struct pl_quota *quota, int hosts, int64_t now_us)
{
  if (quota->rate <= 0 || quota->admitted == quota->told)
    return false;
  return now_us - quota->told_us >= TELL_PERIOD_US || pl_quota_is_pressing (quota, hosts * 2);
}

void
pl_quota_note_told (struct pl_quota *quota, int64_t now_us)
{
  quota->told = quota->admitted;
  quota->told_us = now_us;
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
