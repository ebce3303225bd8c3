/* Divides the rate limit that a backend server names among the entry hosts.
 *
 * For each server with a limit one entry host, the issuer, keeps a token bucket that
 * is refilled at the whole limit.  Any other host needs a permit from the issuer for
 * each request that it sends to the server.  An even division among the hosts would
 * leave most of a limit unused where a few hosts get most of the requests, and could
 * not represent limits below one request per host.  A bucket that is replicated on all
 * hosts would admit one request on each of them at the same moment.
 *
 * A host with steady demand asks in advance, so that a request seldom waits for the
 * issuer.  Permits expire soon: unused ones would add up to a burst.  When the issuer
 * has none, it says when the next is due, and the host does not ask before.
 *
 * A server may stop naming its limit because the limit is kept.  Used in full at once,
 * it would be overloaded again; and not every answer of a server in need has to name it.
 * A limit therefore outlives the last answer that names it by some seconds and some
 * requests, and then ends with an answer without one.  Even under a limit of 0 an
 * occasional request is sent, since only an answer shows that the limit has ended.
 */
#include "internal/server_limit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* A smaller change of the rate, relative to the rate before, is not worth a report. */
#define NOTICEABLE_CHANGE 0.1
/* The lowest rate of requests, per second, at which the end of a limit is noticed. */
#define PER_SECOND_MIN 0.1
/* A limit outlives the last answer that names it by the time for this many requests under it,
 * within these bounds. */
#define HOLD_REQUESTS 10.0
#define HOLD_MIN_US INT64_C (5000000)
#define HOLD_MAX_US INT64_C (20000000)
/* Capacity of the bucket, in seconds of the limit, and its minimum in tokens: with a smaller
 * bucket, tokens would be lost whenever no request comes for a while. */
#define CAPACITY_SECONDS 0.5
#define CAPACITY_MIN 2.0
#define PERMIT_LIFE_US INT64_C (1000000)
/* The estimate of the demand decays by a factor of e in this time. */
#define DEMAND_DECAY_US 1e6
/* A host keeps permits for the demand expected in this time, which is longer than a round trip to
 * the issuer. */
#define STOCK_SECONDS 0.25
/* An ask that is not answered within this time, longer than any round trip, is lost. */
#define ASK_TIMEOUT_US INT64_C (200000)
/* The longest time for which an issuer turns a host away: the limit may change meanwhile. */
#define WAIT_MAX_US INT64_C (2000000)

static bool
is_noticeable_change (const struct pl_server_limit *limit, double per_second)
{
  return !limit->in_force
         || fabs (per_second - limit->per_second) > NOTICEABLE_CHANGE * limit->per_second;
}

bool
pl_server_limit_record_named (struct pl_server_limit *limit, double per_second, int64_t at_us,
                              int64_t now_us)
{
  bool is_noticeable = is_noticeable_change (limit, per_second);

  if (at_us < limit->learned_us)
    return false;
  if (!limit->in_force)
    {
      pl_server_limit_reset (limit, now_us);
      limit->refilled_us = now_us;
    }
  /* Permits of a higher limit would let a burst past the new one. */
  else if (per_second < limit->per_second)
    limit->permits = (int) (limit->permits * per_second / limit->per_second);
  limit->in_force = true;
  limit->learned_us = at_us;
  limit->per_second = per_second;
  if (is_noticeable)
    limit->changed_us = now_us;
  return is_noticeable;
}

/* Returns how long a limit outlives the last answer that names it. */
static int64_t
hold_us (const struct pl_server_limit *limit)
{
  double seconds = HOLD_REQUESTS / fmax (limit->per_second, PER_SECOND_MIN);

  return CLAMP ((int64_t) (seconds * 1e6), HOLD_MIN_US, HOLD_MAX_US);
}

bool
pl_server_limit_record_end (struct pl_server_limit *limit, int64_t at_us, int64_t now_us)
{
  if (!limit->in_force || at_us - limit->learned_us < hold_us (limit))
    return false;
  limit->in_force = false;
  limit->learned_us = at_us;
  limit->changed_us = now_us;
  return true;
}

bool
pl_server_limit_record_absent (struct pl_server_limit *limit, int64_t sent_us, int64_t now_us)
{
  return sent_us >= limit->learned_us && pl_server_limit_record_end (limit, now_us, now_us);
}

void
pl_server_limit_reset (struct pl_server_limit *limit, int64_t now_us)
{
  memset (limit, 0, sizeof *limit);
  limit->learned_us = now_us;
}

static double
demand_at (const struct pl_server_limit *limit, int64_t now_us)
{
  return limit->demand * exp (-(double) (now_us - limit->demand_us) / DEMAND_DECAY_US);
}

void
pl_server_limit_count_demand (struct pl_server_limit *limit, int64_t now_us)
{
  limit->demand = demand_at (limit, now_us) + 1e6 / DEMAND_DECAY_US;
  limit->demand_us = now_us;
}

int
pl_server_limit_permits (const struct pl_server_limit *limit, int64_t now_us)
{
  return now_us < limit->permits_until_us ? limit->permits : 0;
}

void
pl_server_limit_use_permit (struct pl_server_limit *limit)
{
  g_assert (limit->permits > 0);
  limit->permits--;
}

void
pl_server_limit_add_permits (struct pl_server_limit *limit, int count, int64_t wait_us,
                             int64_t now_us)
{
  limit->permits = pl_server_limit_permits (limit, now_us) + count;
  limit->permits_until_us = now_us + PERMIT_LIFE_US;
  limit->ask_after_us = now_us + wait_us;
  limit->asked_us = 0;
}

bool
pl_server_limit_is_asking (const struct pl_server_limit *limit, int64_t now_us)
{
  return limit->asked_us > 0 && now_us - limit->asked_us < ASK_TIMEOUT_US;
}

int
pl_server_limit_wanted (const struct pl_server_limit *limit, int64_t now_us)
{
  int stock;
  int held;

  if (!limit->in_force || pl_server_limit_is_asking (limit, now_us) || now_us < limit->ask_after_us)
    return 0;
  stock = MAX ((int) (demand_at (limit, now_us) * STOCK_SECONDS + 0.5), limit->missed);
  held = pl_server_limit_permits (limit, now_us);
  /* A large stock is filled in large steps, to save datagrams. */
  return held * 2 <= stock ? stock - held : 0;
}

void
pl_server_limit_record_ask (struct pl_server_limit *limit, int64_t now_us)
{
  limit->asked_us = now_us;
  limit->missed = false;
}

static double
issued_per_second (const struct pl_server_limit *limit, double share)
{
  return fmax (limit->per_second, PER_SECOND_MIN) * share;
}

static void
refill (struct pl_server_limit *limit, double share, int64_t now_us)
{
  double rate = issued_per_second (limit, share);
  double seconds = (double) (now_us - limit->refilled_us) / 1e6;

  limit->tokens
      = fmin (limit->tokens + rate * seconds, fmax (rate * CAPACITY_SECONDS, CAPACITY_MIN));
  limit->refilled_us = now_us;
}

int
pl_server_limit_issue (struct pl_server_limit *limit, double share, int wanted, int64_t *wait_us,
                       int64_t now_us)
{
  double rate = issued_per_second (limit, share);
  int admitted;

  refill (limit, share, now_us);
  admitted = MIN (wanted, (int) limit->tokens);
  limit->tokens -= admitted;
  if (limit->tokens >= 1)
    *wait_us = 0;
  else
    *wait_us
        = rate > 0 ? (int64_t) fmin ((1 - limit->tokens) / rate * 1e6, WAIT_MAX_US) : WAIT_MAX_US;
  return admitted;
}

bool
pl_server_limit_can_issue (struct pl_server_limit *limit, double share, int64_t now_us)
{
  refill (limit, share, now_us);
  return limit->tokens >= 1;
}
