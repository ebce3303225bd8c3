/* One bucket for the fleet, copied on every entry host.
 *
 * Each host refills its copy at the account's full rate and takes out what it
 * admits itself and what its peers report to have admitted.  Between two reports
 * of a peer its last rate is assumed to go on, and the next report corrects the
 * guess.  A sudden flood is let through for one report's delay and then paid back
 * as debt, so the average holds; the bucket holds less than the configured burst
 * to leave room for that.
 *
 * A peer that falls silent may be dead or cut off.  Both sides of a cut refill
 * only the part of the rate that belongs to the hosts they hear, so together they
 * stay within the whole.
 */
#include "internal/quota.h"

#include <math.h>

/* Of the burst; the rest covers what peers admit before they hear of each other. */
#define BURST_USED 0.4
#define DEBT_SECONDS 1.0
#define PRESSED_SECONDS 0.3
#define GUESS_LIMIT_US INT64_C (700000)
#define RATE_SMOOTHING 0.5

struct pl_quota_peer
{
  uint64_t incarnation;
  uint64_t admitted;
  int64_t reported_us;
  int64_t guessed_us; /* up to when the guess was taken out */
  double guessed;     /* taken out since the report */
  double rate;        /* requests a second */
};

static double
capacity_of (const struct pl_quota *quota)
{
  return fmax (quota->burst * BURST_USED, fmax (quota->rate * 0.1, 1.0));
}

void
pl_quota_init (struct pl_quota *quota, int64_t now_us)
{
  quota->others = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  quota->refilled_us = now_us;
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
      /* An earlier process of this host may have spent the burst a moment ago. */
      quota->tokens = rate * 0.1;
      quota->refilled_us = now_us;
    }
  quota->tokens = fmin (quota->tokens, capacity_of (quota));
}

void
pl_quota_on_peer (struct pl_quota *quota, uint64_t peer, uint64_t incarnation, uint64_t admitted,
                  int64_t now_us)
{
  struct pl_quota_peer *other = g_hash_table_lookup (quota->others, &peer);
  double fresh = 0;
  double seconds;

  if (other == NULL)
    {
      other = g_new0 (struct pl_quota_peer, 1);
      other->incarnation = incarnation;
      other->admitted = admitted;
      other->reported_us = now_us;
      other->guessed_us = now_us;
      g_hash_table_insert (quota->others, g_memdup2 (&peer, sizeof peer), other);
      return;
    }
  if (other->incarnation != incarnation)
    fresh = (double) admitted;
  else if (admitted < other->admitted)
    return; /* an older report that came late */
  else
    fresh = (double) (admitted - other->admitted);
  seconds = fmax ((double) (now_us - other->reported_us) / 1e6, 0.01);
  quota->tokens -= fresh - other->guessed;
  quota->tokens = fmax (quota->tokens, -quota->rate * DEBT_SECONDS);
  other->rate += RATE_SMOOTHING * (fresh / seconds - other->rate);
  other->incarnation = incarnation;
  other->admitted = admitted;
  other->reported_us = now_us;
  other->guessed_us = now_us;
  other->guessed = 0;
}

static void
take_guesses (struct pl_quota *quota, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quota->others);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_quota_peer *other = value;
      int64_t until_us = MIN (now_us, other->reported_us + GUESS_LIMIT_US);
      double guess = other->rate * (double) (until_us - other->guessed_us) / 1e6;

      if (until_us <= other->guessed_us)
        continue;
      other->guessed += guess;
      other->guessed_us = until_us;
      quota->tokens -= guess;
    }
}

bool
pl_quota_take (struct pl_quota *quota, double silent, int64_t now_us)
{
  double seconds = (double) (now_us - quota->refilled_us) / 1e6;

  if (quota->rate <= 0)
    return true;
  quota->tokens += seconds * quota->rate * (1 - silent);
  quota->tokens = fmin (quota->tokens, capacity_of (quota));
  quota->refilled_us = now_us;
  take_guesses (quota, now_us);
  quota->tokens = fmax (quota->tokens, -quota->rate * DEBT_SECONDS);
  if (quota->tokens < 1)
    return false;
  quota->tokens -= 1;
  quota->admitted++;
  return true;
}

bool
pl_quota_is_pressed (const struct pl_quota *quota)
{
  return quota->rate > 0 && quota->tokens < quota->rate * PRESSED_SECONDS;
}

int64_t
pl_quota_wait_us (const struct pl_quota *quota)
{
  if (quota->rate <= 0 || quota->tokens >= 1)
    return 0;
  return (int64_t) ((1 - quota->tokens) / quota->rate * 1e6);
}
