/* budget.h - one host's share of a token bucket that is split over many hosts.
 *
 * API tier: stable.
 *
 * Amounts are micro-tokens (1e-6 token); a token is one request or one byte.
 * Times are in microseconds on this host's monotonic clock.
 */
#ifndef POMELOLATCH_BUDGET_H
#define POMELOLATCH_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define PL_MICRO_PER_TOKEN INT64_C (1000000)
/* A borrower may spend a loan for this long after it sent the loan request. */
#define PL_LOAN_TERM_US INT64_C (1000000)
/* A lender counts a loan as open for this long after granting it: the term plus a margin for clocks
 * that run at different rates. */
#define PL_LOAN_OPEN_US INT64_C (1200000)
/* 1 / PL_BUDGET_FLOOR_DIVISOR of the burst is never lent. */
#define PL_BUDGET_FLOOR_DIVISOR 32
#define PL_LOANS_MAX 32
#define PL_LENDERS_MAX 64

struct pl_loan
{
  uint64_t peer;
  uint64_t number; /* assigned by the lender, ascending */
  int64_t amount;  /* not spent yet */
  int64_t expires_us;
};

/* What a borrower stores per lender, so that each grant is applied at most once. */
struct pl_lender
{
  uint64_t peer;
  uint64_t last_number;
  int64_t surplus; /* last reported by the lender */
};

struct pl_budget
{
  int64_t rate;  /* micro-tokens per second, this host's share */
  int64_t burst; /* micro-tokens, this host's share */
  int64_t own;   /* micro-tokens refilled here and not spent or lent; may be negative */
  int64_t last_refill_us;
  uint64_t last_grant_number; /* the incarnation in the upper half */
  int64_t demand;             /* micro-tokens per second, moving average */
  int64_t window_demand;
  int64_t window_start_us;
  int64_t backlog; /* micro-tokens that queued requests need */
  int borrowed_count;
  int lent_count;
  int lender_count;
  struct pl_loan borrowed[PL_LOANS_MAX];
  struct pl_loan lent[PL_LOANS_MAX];
  struct pl_lender lenders[PL_LENDERS_MAX];
};

struct pl_grant
{
  uint64_t number;
  int64_t amount;
  int64_t surplus;
};

/* Initializes an empty bucket that is refilled from REFILL_FROM_US on.  INCARNATION (32 bits) must
 * be higher than that of any earlier bucket for the same share. */
void pl_budget_init (struct pl_budget *budget, uint64_t incarnation, int64_t refill_from_us);

/* Sets this host's share; tokens above the new burst are dropped at once. */
void pl_budget_set_share (struct pl_budget *budget, int64_t rate, int64_t burst, int64_t now_us);

/* Spends AMOUNT.  Returns 0 and stores in *VALID_UNTIL_US the time until which the work may start,
 * or returns PL_ERR_LACKING and spends nothing. */
int pl_budget_spend (struct pl_budget *budget, int64_t amount, int64_t now_us,
                     int64_t *valid_until_us);

/* Refunds tokens that were spent but not used; tokens above the burst are dropped. */
void pl_budget_refund (struct pl_budget *budget, int64_t amount, int64_t now_us);

/* Charges AMOUNT for work that was done without spending first.  The balance may become negative;
 * tokens can be spent again when refills have covered it. */
void pl_budget_charge (struct pl_budget *budget, int64_t amount, int64_t now_us);

/* Records AMOUNT of arriving work, whether it is admitted or not, for the demand forecast. */
void pl_budget_record_demand (struct pl_budget *budget, int64_t amount);

/* Returns how many micro-tokens to borrow now for the next HORIZON_US, or 0. */
int64_t pl_budget_shortfall (struct pl_budget *budget, int64_t horizon_us, int64_t now_us);

/* Borrower: removes a loan that is not expected to be needed before it expires, to be returned.
 * Returns the lender and stores the loan's number and amount, or returns 0 when there is none. */
uint64_t pl_budget_return_loan (struct pl_budget *budget, int64_t horizon_us, int64_t now_us,
                                uint64_t *number, int64_t *amount);

/* Lender: credits AMOUNT of loan NUMBER, which PEER returns.  Has no effect on a loan that is
 * closed or was returned before. */
void pl_budget_accept_return (struct pl_budget *budget, uint64_t peer, uint64_t number,
                              int64_t amount, int64_t now_us);

/* Lender: closes the loans of PEER up to number ACKED, and grants at most AMOUNT of the tokens that
 * are not needed here.  Returns the grant; its amount may be 0. */
struct pl_grant pl_budget_lend (struct pl_budget *budget, uint64_t peer, int64_t amount,
                                uint64_t acked, int64_t now_us);

/* Borrower: applies GRANT from PEER for a loan request sent at REQUESTED_US.  Returns 0,
 * PL_ERR_STALE when this or a later grant was applied before, PL_ERR_EXPIRED when its term is over,
 * or PL_ERR_FULL when a table is full.  On failure no tokens are added. */
int pl_budget_receive (struct pl_budget *budget, uint64_t peer, const struct pl_grant *grant,
                       int64_t requested_us, int64_t now_us);

/* Returns the highest loan number of PEER up to which all loans are spent or expired. */
uint64_t pl_budget_acked (const struct pl_budget *budget, uint64_t peer);

/* Returns the surplus that PEER last reported, or -1 when it has not reported one. */
int64_t pl_budget_peer_surplus (const struct pl_budget *budget, uint64_t peer);

/* Returns the micro-tokens that can be spent at NOW_US, borrowed ones included. */
int64_t pl_budget_balance (struct pl_budget *budget, int64_t now_us);

#endif
