/* quota.h - enforces an account's rate over the fleet, from counts that entry hosts exchange.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_QUOTA_H
#define POMELOLATCH_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The hosts whose requests a count covers. */
enum pl_quota_scope
{
  PL_QUOTA_HOST,   /* of one host */
  PL_QUOTA_DOMAIN, /* of all hosts of a failure domain */
  PL_QUOTA_FLEET,  /* of all hosts; a report excludes those of the host that receives it */
  PL_QUOTA_SCOPES,
};

/* A smoothed estimate of how fast a count grows. */
struct pl_quota_rate_estimate
{
  double rate;      /* per second */
  int64_t since_us; /* end of the last period in the estimate */
  double pending;   /* counted since then */
};

/* The last report sent for a scope. */
struct pl_quota_last_report
{
  uint64_t count;
  int64_t at_us; /* 0: never */
  struct pl_quota_rate_estimate estimate;
};

struct pl_quota
{
  double rate;  /* requests per second over the fleet; 0: no limit */
  double burst; /* requests */
  double tokens;
  int64_t refilled_us;
  double refill_ratio; /* fraction of the rate that is refilled: that of the hosts not silent */
  double withheld;     /* tokens left out of the refill because of silent peers */
  int64_t withheld_us;
  uint64_t admitted;         /* requests admitted by this host since its start */
  double admitted_by_domain; /* by other hosts of this domain, as far as they report to this host */
  double admitted_by_others; /* by the rest of the fleet */
  struct pl_quota_last_report reported[PL_QUOTA_SCOPES];
  GHashTable *groups; /* id -> struct group */
  /* sums over the groups */
  double groups_rate;             /* of the estimated requests per second */
  double groups_rate_times_heard; /* of that rate times the time of the last report */
  double groups_lag;              /* of the requests that the last report did not include yet */
};

void pl_quota_init (struct pl_quota *quota, int64_t now_us);
void pl_quota_clear (struct pl_quota *quota);

/* Applies new limits.  Tokens beyond the new capacity are dropped. */
void pl_quota_set_limits (struct pl_quota *quota, double rate, double burst, int64_t now_us);

/* A peer's count of requests that were admitted elsewhere. */
struct pl_quota_report
{
  enum pl_quota_scope scope;
  uint64_t group; /* id of the host, the domain or the fleet; several peers may report on it */
  uint64_t sender;
  uint64_t incarnation; /* of the sender; its counts restart with it */
  uint32_t count;       /* requests since then; wraps around */
  int64_t resumed_us;   /* when the sender's last silence ended; 0: none */
  bool is_counted;      /* false: other reports cover the same requests */
};

/* Charges the bucket with the requests in REPORT that are not counted yet. */
void pl_quota_on_report (struct pl_quota *quota, const struct pl_quota_report *report,
                         int64_t now_us);

/* Returns how many requests are known to have been admitted in SCOPE. */
uint64_t pl_quota_count (const struct pl_quota *quota, enum pl_quota_scope scope);

/* Returns how many requests were admitted in the fleet, without those that HOST reported. */
uint64_t pl_quota_count_excluding (const struct pl_quota *quota, uint64_t host);

/* Returns the estimated rate at which all other hosts admit requests, per second.  The estimate of
 * a host or domain that no longer reports falls with its age and expires.  *REPORTED_US gets the
 * time of the last report; unchanged if there was none. */
double pl_quota_rate_of_others (const struct pl_quota *quota, int64_t *reported_us, int64_t now_us);

/* Returns whether the requests admitted in SCOPE must be reported at once: they exceed what peers
 * expect, or an even share of the rate among the SHARERS hosts or domains that keep such a count.
 */
bool pl_quota_is_urgent (const struct pl_quota *quota, enum pl_quota_scope scope, int sharers,
                         int64_t now_us);

/* Returns whether a beacon that is sent anyway should include the account. */
bool pl_quota_should_report (const struct pl_quota *quota, enum pl_quota_scope scope, int sharers,
                             int64_t now_us);

/* Records that the count of SCOPE is reported to peers now. */
void pl_quota_record_report (struct pl_quota *quota, enum pl_quota_scope scope, int64_t now_us);

/* Discards all but one of the saved tokens.  They cannot be trusted when they were saved while
 * this host received no reports of what others admitted. */
void pl_quota_discard_tokens (struct pl_quota *quota);

/* Returns whether one more request may run, and counts it if so.  SILENT is the silent fraction of
 * the fleet, 0 to 1, which may be admitting its share. */
bool pl_quota_admit (struct pl_quota *quota, double silent, int64_t now_us);

/* Returns the time until a token is available, in microseconds. */
int64_t pl_quota_token_wait_us (const struct pl_quota *quota);

#endif
