/* budget.h - one host's part of a rate that many hosts spend together.
 *
 * API tier: stable.
 *
 * Amounts are micro-tokens (1e-6 token); a token is one request or one byte.
 * Times are microseconds on this host's own monotonic clock.
 */
#ifndef POMELOLATCH_BUDGET_H
#define POMELOLATCH_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define PL_MICRO INT64_C (1000000)
/* A borrower may spend a loan for this long after it asked. */
#define PL_LOAN_TERM_US INT64_C (1000000)
/* A lender counts a loan as open for this long after granting it: the term and a margin for
 * clocks that run at different rates. */
#define PL_LOAN_OPEN_US INT64_C (1200000)
/* One part in so many of a bucket is never lent. */
#define PL_BUDGET_FLOOR_DIVISOR 32
#define PL_LOANS_MAX 32
#define PL_LENDERS_MAX 64

struct pl_loan
{
  uint64_t peer;
  uint64_t number; /* of the lender, rising */
  int64_t amount;  /* what is left of it */
  int64_t expires_us;
};

/* What a borrower keeps of each lender: enough to apply each grant once. */
struct pl_lender
{
  uint64_t peer;
  uint64_t last_number;
  int64_t surplus; /* as last told by the lender */
};

struct pl_budget
{
  int64_t rate;  /* micro-tokens a second, this host's part */
  int64_t burst; /* micro-tokens, this host's part */
  int64_t own;
  int64_t minted_at_us;
  uint64_t next_number;
  int64_t demand; /* micro-tokens a second, smoothed */
  int64_t window_demand;
  int64_t window_start_us;
  int64_t backlog; /* micro-tokens that waiting work needs */
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

/* Starts with no tokens, minting from MINT_FROM_US on.  INCARNATION (32 bits) must be higher than
 * that of any earlier bucket for the same part. */
void pl_budget_init (struct pl_budget *budget, uint64_t incarnation, int64_t mint_from_us);

/* Sets this host's part; tokens over the new burst are dropped at once. */
void pl_budget_set_part (struct pl_budget *budget, int64_t rate, int64_t burst, int64_t now_us);

/* Spends AMOUNT.  Returns 0 and stores in *VALID_UNTIL_US until when the work may start, or
 * PL_ERR_LACKING and spends nothing. */
int pl_budget_take (struct pl_budget *budget, int64_t amount, int64_t now_us,
                    int64_t *valid_until_us);

/* Gives back what was taken and not used; what exceeds the burst is dropped. */
void pl_budget_give_back (struct pl_budget *budget, int64_t amount, int64_t now_us);

/* Charges AMOUNT that was used without having been taken; the balance may turn negative, and is
 * then made up before the next take succeeds. */
void pl_budget_charge (struct pl_budget *budget, int64_t amount, int64_t now_us);

/* Counts AMOUNT of work that arrived, spent or not, for the forecast. */
void pl_budget_note_demand (struct pl_budget *budget, int64_t amount);

/* Returns how many micro-tokens to borrow now for the coming HORIZON_US, or 0. */
int64_t pl_budget_want (struct pl_budget *budget, int64_t horizon_us, int64_t now_us);

/* As borrower: gives up a loan that will not be needed before it ends.  Returns the peer that lent
 * it, with its number and amount stored, or 0 when there is none to give up. */
uint64_t pl_budget_give_up (struct pl_budget *budget, int64_t horizon_us, int64_t now_us,
                            uint64_t *number, int64_t *amount);

/* As lender: takes back AMOUNT of the loan NUMBER of PEER.  A loan that is closed already, or was
 * taken back before, adds nothing. */
void pl_budget_take_back (struct pl_budget *budget, uint64_t peer, uint64_t number, int64_t amount,
                          int64_t now_us);

/* As lender: closes the loans of PEER up to ACKED, grants at most AMOUNT from what is not needed
 * here, and returns the grant; its amount may be 0. */
struct pl_grant pl_budget_lend (struct pl_budget *budget, uint64_t peer, int64_t amount,
                                uint64_t acked, int64_t now_us);

/* As borrower: takes in GRANT of PEER for an ask made at ASKED_US.  Returns 0, PL_ERR_STALE
 * when this or a later grant was applied before, PL_ERR_EXPIRED when its term is over,
 * PL_ERR_FULL when no room is left.  On failure nothing was added. */
int pl_budget_receive (struct pl_budget *budget, uint64_t peer, const struct pl_grant *grant,
                       int64_t asked_us, int64_t now_us);

/* Returns the highest loan number of PEER up to which everything is spent or ended. */
uint64_t pl_budget_acked (const struct pl_budget *budget, uint64_t peer);

/* Returns what PEER last told it could spare, or -1 when it told nothing yet. */
int64_t pl_budget_surplus_of (const struct pl_budget *budget, uint64_t peer);

/* Returns all micro-tokens that could be spent at NOW_US. */
int64_t pl_budget_balance (struct pl_budget *budget, int64_t now_us);

#endif
