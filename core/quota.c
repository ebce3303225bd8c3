/* One bucket for the fleet, copied on every entry host.
 *
 * Each host refills its copy at the account's full rate and takes out what it
 * admits itself and what its peers report to have admitted.  Between two reports
 * of a peer its last rate is assumed to go on, and the next report corrects the
 * guess.  A host knows what its peers assume, and reports only when that is wrong
 * by more than a little: an account that is used evenly costs next to no messages,
 * a flood is told at once.  What a flood gets before its hosts have heard of each
 * other is paid back as debt, so the average holds; the bucket holds less than the
 * configured burst to leave room for that.
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
/* Told again after this long even when nothing changed, as datagrams get lost; peers go on with a
 * guess for somewhat longer. */
#define TELL_PERIOD_US INT64_C (3000000)
#define GUESS_LIMIT_US INT64_C (4500000)
/* Over how long the own rate is smoothed. */
#define RATE_TIME_US 600000.0
/* What all hosts' guesses may be off by together, in seconds of the account's rate. */
#define ERROR_SECONDS 0.25
#define ERROR_MIN 1.5

struct pl_quota_peer
{
  uint64_t incarnation;
  uint64_t admitted;
  int64_t reported_us;
  int64_t guessed_us; /* up to when the guess was taken out */
  double guessed;     /* taken out since the report */
  double rate;        /* requests a second, as it said */
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
                  double rate, int64_t now_us)
{
  struct pl_quota_peer *other = g_hash_table_lookup (quota->others, &peer);
  double fresh = 0;

  if (other == NULL)
    {
      other = g_new0 (struct pl_quota_peer, 1);
      other->incarnation = incarnation;
      other->admitted = admitted;
      other->reported_us = now_us;
      other->guessed_us = now_us;
      other->rate = rate;
      g_hash_table_insert (quota->others, g_memdup2 (&peer, sizeof peer), other);
      return;
    }
  if (other->incarnation != incarnation)
    fresh = (double) admitted;
  else if (admitted < other->admitted)
    return; /* an older report that came late */
  else
    fresh = (double) (admitted - other->admitted);
  quota->tokens -= fresh - other->guessed;
  quota->tokens = fmax (quota->tokens, -quota->rate * DEBT_SECONDS);
  other->rate = rate;
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

static double
own_rate_at (const struct pl_quota *quota, int64_t now_us)
{
  return quota->own_rate * exp (-(double) (now_us - quota->rated_us) / RATE_TIME_US);
}

static void
fade_rate (struct pl_quota *quota, int64_t now_us)
{
  quota->own_rate = own_rate_at (quota, now_us);
  quota->rated_us = now_us;
}

bool
pl_quota_should_tell (const struct pl_quota *quota, int hosts, int64_t now_us)
{
  int64_t age_us = now_us - quota->told_us;
  double assumed = (double) quota->told + quota->told_rate * (double) age_us / 1e6;
  double bearable = fmax (quota->rate * ERROR_SECONDS / hosts, ERROR_MIN);

  if (quota->rate <= 0 || quota->admitted == 0)
    return false;
  if (quota->told_us == 0)
    return true;
  if (age_us > TELL_PERIOD_US)
    return quota->admitted != quota->told || quota->told_rate > 0;
  return fabs ((double) quota->admitted - assumed) > bearable;
}

void
pl_quota_note_told (struct pl_quota *quota, int64_t now_us)
{
  fade_rate (quota, now_us);
  quota->told = quota->admitted;
  quota->told_rate = quota->own_rate;
  quota->told_us = now_us;
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
  fade_rate (quota, now_us);
  quota->own_rate += 1e6 / RATE_TIME_US;
  return true;
}

int64_t
pl_quota_wait_us (const struct pl_quota *quota)
{
  if (quota->rate <= 0 || quota->tokens >= 1)
    return 0;
  return (int64_t) ((1 - quota->tokens) / quota->rate * 1e6);
}
