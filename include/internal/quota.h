/* quota.h - an account's rate over all entry hosts, from what each host tells of its own.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_QUOTA_H
#define POMELOLATCH_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Whose requests a count is of. */
enum pl_quota_scope
{
  PL_QUOTA_HOST,   /* of one host */
  PL_QUOTA_DOMAIN, /* of all hosts of a failure domain */
  PL_QUOTA_FLEET,  /* of all hosts, in reports without those of the host that gets them */
  PL_QUOTA_SCOPES,
};

/* How fast a count grows, smoothed. */
struct pl_quota_pace
{
  double rate;      /* a second */
  int64_t since_us; /* what came since is not in the rate yet */
  double pending;
};

struct pl_quota_told
{
  uint64_t count;
  int64_t at_us; /* 0: never */
  struct pl_quota_pace pace;
};

struct pl_quota
{
  double rate;  /* requests a second over the fleet; 0: no limit */
  double burst; /* requests */
  double tokens;
  int64_t refilled_us;
  double heard_part; /* of the hosts, 0 to 1: the part of the rate that is refilled */
  double withheld;   /* requests left out of the refill for peers that are silent */
  int64_t withheld_us;
  uint64_t admitted;    /* here, since the start */
  double domain_others; /* by other hosts of this domain, as far as they report here */
  double far_others;    /* by the rest of the fleet */
  struct pl_quota_told told[PL_QUOTA_SCOPES];
  GHashTable *groups;       /* id -> struct group */
  double groups_rate;       /* requests a second that the groups go on using, and the sum over */
  double groups_rate_since; /* them of that times when each was heard */
  double groups_lag;        /* and of what their reports leave out */
};

void pl_quota_init (struct pl_quota *quota, int64_t now_us);
void pl_quota_clear (struct pl_quota *quota);

/* Puts new limits in force.  Tokens saved beyond the new burst are dropped. */
void pl_quota_limit (struct pl_quota *quota, double rate, double burst, int64_t now_us);

/* What a peer says of requests that were admitted elsewhere. */
struct pl_quota_report
{
  enum pl_quota_scope scope;
  uint64_t group; /* whose requests: a host, a domain, all; several peers may report on it */
  uint64_t sender;
  uint64_t incarnation; /* of the sender: its counts start anew with it */
  uint32_t count;       /* requests since then; it wraps around */
  int64_t returned_us;  /* when the sender was last heard again after a silence; 0: never */
  bool is_followed;     /* else another report tells of the same requests */
};

/* Takes what REPORT says beyond what is known out of the bucket. */
void pl_quota_on_report (struct pl_quota *quota, const struct pl_quota_report *report,
                         int64_t now_us);

/* Returns how many requests were admitted in SCOPE, as far as known here. */
uint64_t pl_quota_count (const struct pl_quota *quota, enum pl_quota_scope scope);

/* Returns how many were admitted in the fleet but for those that HOST reported. */
uint64_t pl_quota_count_without (const struct pl_quota *quota, uint64_t host);

/* Returns whether peers must know at once of what was admitted in SCOPE, when SHARES hosts or
 * domains keep such a count: it is more than they expect, or than an even share of the rate. */
bool pl_quota_is_pressing (const struct pl_quota *quota, enum pl_quota_scope scope, int shares,
                           int64_t now_us);

/* Returns whether a beacon that is sent anyway should tell of the account. */
bool pl_quota_should_tell (const struct pl_quota *quota, enum pl_quota_scope scope, int shares,
                           int64_t now_us);

/* Peers are told now. */
void pl_quota_note_told (struct pl_quota *quota, enum pl_quota_scope scope, int64_t now_us);

/* Does not trust tokens saved while reports were not followed: few are left. */
void pl_quota_distrust (struct pl_quota *quota);

/* Returns whether one more request may run, and counts it.  SILENT is the part of the fleet that
 * is not heard from, 0 to 1: it may be admitting its share. */
bool pl_quota_take (struct pl_quota *quota, double silent, int64_t now_us);

/* Returns after how long a token is there, microseconds. */
int64_t pl_quota_wait_us (const struct pl_quota *quota);

#endif
