/* Token buckets split over hosts, with loans between them.
 *
 * Each host has a fixed share of the fleet's rate and burst and refills its
 * bucket only from that share.  A host that runs short borrows unused tokens of
 * other hosts.  The invariant is on the sum over all hosts:
 *
 *   own tokens + borrowed tokens that may still be spent <= fleet burst
 *   tokens refilled in an interval                       <= fleet rate * interval
 *
 * so the fleet as a whole admits no more than one bucket of that rate and burst.
 * Three rules ensure this without consensus between hosts:
 *
 *  - A lender deducts a loan from its tokens before it sends the grant.  When a
 *    grant is lost, the fleet has fewer tokens, never more.
 *  - While a loan is open, the capacity of the lender's bucket is reduced by it,
 *    so that the lender's refills and the tokens of the borrower together fit
 *    the burst.  A loan is closed when the borrower acknowledges that it is spent,
 *    or when it expires.  The borrower's term starts at its loan request, the
 *    lender's at the later grant and is longer, so the loan always expires first
 *    at the borrower.
 *  - Grants are numbered, with the lender's incarnation in the upper half, and
 *    the borrower stores the highest number that it applied.  So a duplicate or
 *    late grant adds nothing, and an acknowledgement meant for an earlier
 *    incarnation closes no loan of a later one.
 *
 * Future refills are never lent, and a fraction of the bucket is not lendable at
 * all: this floor is left to a host that is partitioned from all others.  A
 * loan that the borrower turns out not to need is returned before it expires;
 * otherwise its tokens would be lost, which affects accounts with a low rate most.
 */
#include "pomelolatch/budget.h"
#include "pomelolatch/error.h"

#include <assert.h>
#include <string.h>

#define US_PER_S INT64_C (1000000)
#define INCARNATION_SHIFT 32
#define DEMAND_WINDOW_US INT64_C (100000)
/* A lender does not lend what its own callers are expected to need in this time. */
#define RESERVE_US INT64_C (100000)
/* A loan that expires within this time and is not expected to be needed is returned. */
#define RETURN_BEFORE_US INT64_C (400000)

static int64_t
min64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Computes RATE * SPAN without overflow: with a link's rate in micro-bytes the product needs more
 * than 64 bits. */
static int64_t
amount_over (int64_t rate, int64_t span_us)
{
  return (int64_t) ((__int128) rate * span_us / US_PER_S);
}

static void
remove_expired (struct pl_loan *loans, int *count, int64_t now_us)
{
  int kept = 0;

  for (int i = 0; i < *count; i++)
    if (loans[i].expires_us > now_us && loans[i].amount > 0)
      loans[kept++] = loans[i];
  *count = kept;
}

static int64_t
total_amount (const struct pl_loan *loans, int count)
{
  int64_t sum = 0;

  for (int i = 0; i < count; i++)
    sum += loans[i].amount;
  return sum;
}

/* Removes expired loans, refills the bucket, and limits it to its capacity. */
static void
update_balance (struct pl_budget *budget, int64_t now_us)
{
  int64_t capacity;

  remove_expired (budget->borrowed, &budget->borrowed_count, now_us);
  remove_expired (budget->lent, &budget->lent_count, now_us);
  if (now_us > budget->last_refill_us)
    {
      /* After an hour the bucket is full in any case. */
      int64_t span = min64 (now_us - budget->last_refill_us, 3600 * US_PER_S);
      int64_t refilled = amount_over (budget->rate, span);

      if (refilled > 0 || budget->rate == 0)
        {
          budget->own += refilled;
          budget->last_refill_us = now_us;
        }
    }
  capacity = budget->burst - total_amount (budget->lent, budget->lent_count);
  if (budget->own > capacity)
    budget->own = capacity;
}

void
pl_budget_init (struct pl_budget *budget, uint64_t incarnation, int64_t refill_from_us)
{
  assert (incarnation <= UINT32_MAX);
  memset (budget, 0, sizeof *budget);
  budget->last_grant_number = incarnation << INCARNATION_SHIFT;
  budget->last_refill_us = refill_from_us;
  budget->window_start_us = refill_from_us;
}

void
pl_budget_set_share (struct pl_budget *budget, int64_t rate, int64_t burst, int64_t now_us)
{
  assert (rate >= 0 && burst >= 0);
  update_balance (budget, now_us);
  budget->rate = rate;
  budget->burst = burst;
  update_balance (budget, now_us);
}

int64_t
pl_budget_balance (struct pl_budget *budget, int64_t now_us)
{
  update_balance (budget, now_us);
  return budget->own + total_amount (budget->borrowed, budget->borrowed_count);
}

/* Spends from the loans, in order of expiry.  Returns the amount that they did not cover. */
static int64_t
spend_borrowed (struct pl_budget *budget, int64_t amount, int64_t *valid_until_us)
{
  while (amount > 0 && budget->borrowed_count > 0)
    {
      struct pl_loan *first = &budget->borrowed[0];
      int64_t spent;

      for (int i = 1; i < budget->borrowed_count; i++)
        if (budget->borrowed[i].expires_us < first->expires_us)
          first = &budget->borrowed[i];
      spent = min64 (amount, first->amount);
      first->amount -= spent;
      amount -= spent;
      *valid_until_us = min64 (*valid_until_us, first->expires_us);
      if (first->amount == 0)
        *first = budget->borrowed[--budget->borrowed_count];
    }
  return amount;
}

int
pl_budget_spend (struct pl_budget *budget, int64_t amount, int64_t now_us, int64_t *valid_until_us)
{
  *valid_until_us = INT64_MAX;
  if (pl_budget_balance (budget, now_us) < amount)
    return PL_ERR_LACKING;
  budget->own -= spend_borrowed (budget, amount, valid_until_us);
  return PL_OK;
}

void
pl_budget_refund (struct pl_budget *budget, int64_t amount, int64_t now_us)
{
  budget->own += amount;
  update_balance (budget, now_us);
}

void
pl_budget_charge (struct pl_budget *budget, int64_t amount, int64_t now_us)
{
  int64_t unused;

  update_balance (budget, now_us);
  budget->own -= spend_borrowed (budget, amount, &unused);
}

void
pl_budget_record_demand (struct pl_budget *budget, int64_t amount)
{
  budget->window_demand += amount;
}

/* Updates the moving average of the demand, with weight 1/4 for the last window: a single arrival
 * in a window of an account with a low rate is chance and must not look like a rate.  Queued
 * requests are accounted for separately, in the backlog. */
static void
update_demand (struct pl_budget *budget, int64_t now_us)
{
  int64_t span = now_us - budget->window_start_us;
  int64_t seen;

  if (span < DEMAND_WINDOW_US)
    return;
  seen = (int64_t) ((__int128) budget->window_demand * US_PER_S / span);
  budget->demand += (seen - budget->demand) / 4;
  budget->window_demand = 0;
  budget->window_start_us = now_us;
}

int64_t
pl_budget_shortfall (struct pl_budget *budget, int64_t horizon_us, int64_t now_us)
{
  int64_t need;
  int64_t missing;

  update_demand (budget, now_us);
  need = amount_over (budget->demand, horizon_us) + budget->backlog;
  missing = need - pl_budget_balance (budget, now_us);
  return missing > 0 ? missing : 0;
}

static void
close_acked_loans (struct pl_budget *budget, uint64_t peer, uint64_t acked)
{
  for (int i = 0; i < budget->lent_count; i++)
    if (budget->lent[i].peer == peer && budget->lent[i].number <= acked)
      budget->lent[i].amount = 0;
}

/* A loan is returned when it is about to expire and the other tokens cover the forecast demand. */
uint64_t
pl_budget_return_loan (struct pl_budget *budget, int64_t horizon_us, int64_t now_us,
                       uint64_t *number, int64_t *amount)
{
  int64_t need = amount_over (budget->demand, horizon_us) + budget->backlog;
  int64_t spare = pl_budget_balance (budget, now_us) - need;

  for (int i = 0; i < budget->borrowed_count; i++)
    {
      struct pl_loan loan = budget->borrowed[i];

      if (loan.expires_us - now_us > RETURN_BEFORE_US || loan.amount > spare)
        continue;
      budget->borrowed[i] = budget->borrowed[--budget->borrowed_count];
      *number = loan.number;
      *amount = loan.amount;
      return loan.peer;
    }
  return 0;
}

void
pl_budget_accept_return (struct pl_budget *budget, uint64_t peer, uint64_t number, int64_t amount,
                         int64_t now_us)
{
  update_balance (budget, now_us);
  for (int i = 0; i < budget->lent_count; i++)
    {
      struct pl_loan *loan = &budget->lent[i];

      if (loan->peer != peer || loan->number != number || amount <= 0)
        continue;
      budget->own += min64 (amount, loan->amount);
      loan->amount = 0;
    }
  update_balance (budget, now_us);
}

/* Returns the tokens that can be lent now: all but the reserve for own callers and the floor. */
static int64_t
compute_surplus (struct pl_budget *budget, int64_t now_us)
{
  int64_t lent = total_amount (budget->lent, budget->lent_count);
  int64_t lendable = budget->burst - budget->burst / PL_BUDGET_FLOOR_DIVISOR - lent;
  int64_t reserve;
  int64_t spare;

  update_demand (budget, now_us);
  reserve = amount_over (budget->demand, RESERVE_US) + budget->backlog;
  spare = budget->own - reserve;
  spare = min64 (spare, lendable);
  return spare > 0 ? spare : 0;
}

/* Adds a loan to the lent ones.  When the table is full, merges it into an open loan of the same
 * peer, which then stays open until the later number is spent or the later time is reached.
 * Returns false when there is none. */
static bool
add_lent_loan (struct pl_budget *budget, const struct pl_loan *loan)
{
  if (budget->lent_count < PL_LOANS_MAX)
    {
      budget->lent[budget->lent_count++] = *loan;
      return true;
    }
  for (int i = budget->lent_count - 1; i >= 0; i--)
    if (budget->lent[i].peer == loan->peer)
      {
        budget->lent[i].amount += loan->amount;
        budget->lent[i].number = loan->number;
        budget->lent[i].expires_us = loan->expires_us;
        return true;
      }
  return false;
}

/* As add_lent_loan(), but a merged loan keeps the earlier number and expiry time. */
static bool
add_borrowed_loan (struct pl_budget *budget, const struct pl_loan *loan)
{
  if (budget->borrowed_count < PL_LOANS_MAX)
    {
      budget->borrowed[budget->borrowed_count++] = *loan;
      return true;
    }
  for (int i = budget->borrowed_count - 1; i >= 0; i--)
    if (budget->borrowed[i].peer == loan->peer)
      {
        budget->borrowed[i].amount += loan->amount;
        return true;
      }
  return false;
}

struct pl_grant
pl_budget_lend (struct pl_budget *budget, uint64_t peer, int64_t amount, uint64_t acked,
                int64_t now_us)
{
  struct pl_grant grant = {0, 0, 0};
  int64_t surplus;

  close_acked_loans (budget, peer, acked);
  update_balance (budget, now_us);
  surplus = compute_surplus (budget, now_us);
  if (amount > 0 && surplus > 0)
    {
      struct pl_loan loan = {peer, budget->last_grant_number + 1, min64 (amount, surplus),
                             now_us + PL_LOAN_OPEN_US};

      if (add_lent_loan (budget, &loan))
        {
          budget->last_grant_number++;
          budget->own -= loan.amount;
          grant.number = loan.number;
          grant.amount = loan.amount;
        }
    }
  grant.surplus = surplus - grant.amount;
  return grant;
}

/* Returns the record of PEER, which is created if needed; NULL when the table is full. */
static struct pl_lender *
ensure_lender (struct pl_budget *budget, uint64_t peer)
{
  struct pl_lender *lender;

  for (int i = 0; i < budget->lender_count; i++)
    if (budget->lenders[i].peer == peer)
      return &budget->lenders[i];
  if (budget->lender_count == PL_LENDERS_MAX)
    return NULL;
  lender = &budget->lenders[budget->lender_count++];
  *lender = (struct pl_lender){peer, 0, 0};
  return lender;
}

int
pl_budget_receive (struct pl_budget *budget, uint64_t peer, const struct pl_grant *grant,
                   int64_t requested_us, int64_t now_us)
{
  struct pl_lender *lender = ensure_lender (budget, peer);
  struct pl_loan loan;

  if (lender == NULL)
    return PL_ERR_FULL;
  lender->surplus = grant->surplus;
  if (grant->amount <= 0)
    return PL_OK;
  if (grant->number <= lender->last_number)
    return PL_ERR_STALE;
  lender->last_number = grant->number;
  update_balance (budget, now_us);
  if (requested_us + PL_LOAN_TERM_US <= now_us)
    return PL_ERR_EXPIRED;
  loan = (struct pl_loan){peer, grant->number, grant->amount, requested_us + PL_LOAN_TERM_US};
  return add_borrowed_loan (budget, &loan) ? PL_OK : PL_ERR_FULL;
}

uint64_t
pl_budget_acked (const struct pl_budget *budget, uint64_t peer)
{
  uint64_t acked = 0;

  for (int i = 0; i < budget->lender_count; i++)
    if (budget->lenders[i].peer == peer)
      acked = budget->lenders[i].last_number;
  for (int i = 0; i < budget->borrowed_count; i++)
    if (budget->borrowed[i].peer == peer && budget->borrowed[i].number <= acked)
      acked = budget->borrowed[i].number - 1;
  return acked;
}

int64_t
pl_budget_peer_surplus (const struct pl_budget *budget, uint64_t peer)
{
  for (int i = 0; i < budget->lender_count; i++)
    if (budget->lenders[i].peer == peer)
      return budget->lenders[i].surplus;
  return -1;
}
