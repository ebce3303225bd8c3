/* server_limit.h - the rate limit that a backend server names, and its division among entry hosts.
 *
 * API tier: private.
 *
 * Does no I/O.  All times are of the monotonic clock, in microseconds.
 */
#ifndef POMELOLATCH_SERVER_LIMIT_H
#define POMELOLATCH_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct pl_server_limit
{
  bool in_force;
  double per_second;  /* requests over all hosts, while in force */
  int64_t learned_us; /* in force: time of the last answer that named it; else its end; 0: none */
  int64_t changed_us; /* when this host last noticed a change; 0: never */
  uint64_t sent;      /* requests sent by this host while it was in force */
  /* permits of this host */
  double demand; /* decaying estimate of the requests per second for which the server is the first
                    choice */
  int64_t demand_us;
  int permits;
  int64_t permits_until_us; /* when they expire */
  bool missed;              /* a request had no permit since the last ask */
  int64_t asked_us;         /* when the unanswered ask was sent; 0: none */
  int64_t ask_after_us;     /* the issuer has no permits before */
  /* the bucket from which this host issues permits, if it is the issuer */
  double tokens;
  int64_t refilled_us;
  /* the host that issues the permits, as of the last look-up; 0: this host */
  uint64_t issuer;
  int64_t issuer_due_us; /* next look-up */
};

/* Records that an answer at AT_US named a limit of PER_SECOND.  Older information than that already
 * recorded is ignored.  Returns whether a limit has begun or noticeably changed. */
bool pl_server_limit_record_named (struct pl_server_limit *limit, double per_second, int64_t at_us,
                                   int64_t now_us);

/* Records that a limit had ended at AT_US.  Ignored when the limit was named too recently, or after
 * AT_US.  Returns whether it has ended by that. */
bool pl_server_limit_record_end (struct pl_server_limit *limit, int64_t at_us, int64_t now_us);

/* Records an answer without a limit to a request that was sent at SENT_US.  Returns whether the
 * limit has ended by that. */
bool pl_server_limit_record_absent (struct pl_server_limit *limit, int64_t sent_us, int64_t now_us);

/* Forgets the limit of a server that has restarted at NOW_US. */
void pl_server_limit_reset (struct pl_server_limit *limit, int64_t now_us);

/* Counts a request for which the server was the first choice. */
void pl_server_limit_count_demand (struct pl_server_limit *limit, int64_t now_us);

/* Returns the number of permits that this host holds. */
int pl_server_limit_permits (const struct pl_server_limit *limit, int64_t now_us);

/* Uses one permit, which this host must hold. */
void pl_server_limit_use_permit (struct pl_server_limit *limit);

/* Adds COUNT permits from the issuer, which has no more for WAIT_US. */
void pl_server_limit_add_permits (struct pl_server_limit *limit, int count, int64_t wait_us,
                                  int64_t now_us);

/* Returns whether an ask for permits is under way. */
bool pl_server_limit_is_asking (const struct pl_server_limit *limit, int64_t now_us);

/* Returns the number of permits to ask for now, which fill the stock for the expected demand.  0:
 * none are needed, an ask is under way, or the issuer has none yet. */
int pl_server_limit_wanted (const struct pl_server_limit *limit, int64_t now_us);

/* Records that permits were asked for. */
void pl_server_limit_record_ask (struct pl_server_limit *limit, int64_t now_us);

/* Returns how many of WANTED requests the bucket admits now, and deducts them.  SHARE is the
 * fraction of the limit that this host may issue, 0 to 1.  *WAIT_US gets the time until the bucket
 * admits another. */
int pl_server_limit_issue (struct pl_server_limit *limit, double share, int wanted,
                           int64_t *wait_us, int64_t now_us);

/* Returns whether pl_server_limit_issue() would admit one request, and deducts nothing. */
bool pl_server_limit_can_issue (struct pl_server_limit *limit, double share, int64_t now_us);

#endif
