/* Budgets: the token bucket, and loans with late, reordered and duplicate grants and returns.
 * Guards against tokens that two hosts can spend or that one host gets twice. */
#include "pomelolatch/budget.h"
#include "pomelolatch/error.h"
#include "suite.h"

#include <stdlib.h>

#define SECOND INT64_C (1000000)

static struct pl_budget lender;
static struct pl_budget borrower;

static void
set_up (void)
{
  pl_budget_init (&lender, 1, 0);
  pl_budget_init (&borrower, 1, 0);
  pl_budget_set_share (&lender, 10 * PL_MICRO_PER_TOKEN, 20 * PL_MICRO_PER_TOKEN, 0);
  pl_budget_set_share (&borrower, 0, 0, 0);
}

START_TEST (bucket_starts_empty_and_fills_to_its_burst)
{
  int64_t until;

  ck_assert_int_eq (pl_budget_spend (&lender, PL_MICRO_PER_TOKEN, 0, &until), PL_ERR_LACKING);
  ck_assert_int_eq (pl_budget_balance (&lender, SECOND), 10 * PL_MICRO_PER_TOKEN);
  ck_assert_int_eq (pl_budget_balance (&lender, 100 * SECOND), 20 * PL_MICRO_PER_TOKEN);
  ck_assert_int_eq (pl_budget_spend (&lender, PL_MICRO_PER_TOKEN, 100 * SECOND, &until), PL_OK);
  ck_assert_int_eq (until, INT64_MAX);
}
END_TEST

START_TEST (huge_rates_do_not_overflow)
{
  pl_budget_set_share (&lender, INT64_C (500000000) * PL_MICRO_PER_TOKEN,
                       INT64_C (500000000) * PL_MICRO_PER_TOKEN, 0);
  ck_assert_int_eq (pl_budget_balance (&lender, 3600 * SECOND),
                    INT64_C (500000000) * PL_MICRO_PER_TOKEN);
}
END_TEST

START_TEST (a_negative_balance_is_repaid_first)
{
  int64_t until;

  pl_budget_charge (&lender, 30 * PL_MICRO_PER_TOKEN, 2 * SECOND);
  ck_assert_int_eq (pl_budget_balance (&lender, 2 * SECOND), -10 * PL_MICRO_PER_TOKEN);
  ck_assert_int_eq (pl_budget_spend (&lender, PL_MICRO_PER_TOKEN, 2 * SECOND + SECOND, &until),
                    PL_ERR_LACKING);
  ck_assert_int_eq (pl_budget_spend (&lender, PL_MICRO_PER_TOKEN, 4 * SECOND, &until), PL_OK);
}
END_TEST

START_TEST (a_grant_applies_once)
{
  int64_t now = 2 * SECOND;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 5 * PL_MICRO_PER_TOKEN, 0, now);

  ck_assert_int_eq (grant.amount, 5 * PL_MICRO_PER_TOKEN);
  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &grant, now, now), PL_OK);
  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &grant, now, now), PL_ERR_STALE);
  ck_assert_int_eq (pl_budget_balance (&borrower, now), 5 * PL_MICRO_PER_TOKEN);
}
END_TEST

/* The borrower stores only the highest number that it applied, so it cannot distinguish an
 * earlier grant from a duplicate. */
START_TEST (an_earlier_grant_after_a_later_one_is_dropped)
{
  int64_t now = 2 * SECOND;
  struct pl_grant first = pl_budget_lend (&lender, 7, PL_MICRO_PER_TOKEN, 0, now);
  struct pl_grant second = pl_budget_lend (&lender, 7, PL_MICRO_PER_TOKEN, 0, now);

  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &second, now, now), PL_OK);
  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &first, now, now), PL_ERR_STALE);
}
END_TEST

/* Guards against a lender that refills lent tokens while the borrower may still spend them. */
START_TEST (a_loan_expires_at_the_borrower_first)
{
  int64_t now = 2 * SECOND;
  int64_t until;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 15 * PL_MICRO_PER_TOKEN, 0, now);

  pl_budget_receive (&borrower, 9, &grant, now, now);
  ck_assert_int_eq (pl_budget_spend (&borrower, PL_MICRO_PER_TOKEN, now + 1, &until), PL_OK);
  ck_assert_int_lt (until, now + PL_LOAN_OPEN_US);
  ck_assert_int_eq (pl_budget_spend (&borrower, PL_MICRO_PER_TOKEN, until, &until), PL_ERR_LACKING);
  /* While the loan is open, the lender's bucket is filled only up to its burst less the loan. */
  ck_assert_int_eq (pl_budget_balance (&lender, now + PL_LOAN_OPEN_US - 1), 5 * PL_MICRO_PER_TOKEN);
  ck_assert_int_gt (pl_budget_balance (&lender, now + 3 * SECOND), 5 * PL_MICRO_PER_TOKEN);
}
END_TEST

START_TEST (a_grant_after_its_term_is_rejected)
{
  int64_t now = 2 * SECOND;
  struct pl_grant grant = pl_budget_lend (&lender, 7, PL_MICRO_PER_TOKEN, 0, now);

  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &grant, now, now + PL_LOAN_TERM_US),
                    PL_ERR_EXPIRED);
  ck_assert_int_eq (pl_budget_balance (&borrower, now + PL_LOAN_TERM_US), 0);
}
END_TEST

START_TEST (an_acknowledgement_of_an_earlier_incarnation_closes_no_loan)
{
  struct pl_budget restarted;
  int64_t now = 5 * SECOND;
  struct pl_grant old = pl_budget_lend (&lender, 7, PL_MICRO_PER_TOKEN, 0, now);

  pl_budget_init (&restarted, 2, 0);
  pl_budget_set_share (&restarted, 10 * PL_MICRO_PER_TOKEN, 20 * PL_MICRO_PER_TOKEN, 0);
  pl_budget_lend (&restarted, 7, 15 * PL_MICRO_PER_TOKEN, 0, now);
  pl_budget_lend (&restarted, 7, 0, old.number, now);
  ck_assert_int_eq (pl_budget_balance (&restarted, now + SECOND), 5 * PL_MICRO_PER_TOKEN);
}
END_TEST

START_TEST (a_returned_loan_is_credited_once)
{
  int64_t now = 2 * SECOND;
  uint64_t number = 0;
  int64_t amount = 0;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 5 * PL_MICRO_PER_TOKEN, 0, now);

  pl_budget_receive (&borrower, 9, &grant, now, now);
  ck_assert_uint_eq (pl_budget_return_loan (&borrower, 0, now, &number, &amount), 0);
  now += PL_LOAN_TERM_US - 1;
  ck_assert_uint_eq (pl_budget_return_loan (&borrower, 0, now, &number, &amount), 9);
  ck_assert_int_eq (pl_budget_balance (&borrower, now), 0);
  pl_budget_accept_return (&lender, 7, number, amount, now);
  pl_budget_accept_return (&lender, 7, number, amount, now);
  ck_assert_int_eq (pl_budget_balance (&lender, now), 20 * PL_MICRO_PER_TOKEN);
}
END_TEST

START_TEST (a_loan_returned_after_it_expired_is_not_credited)
{
  int64_t now = 2 * SECOND;
  int64_t until;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 5 * PL_MICRO_PER_TOKEN, 0, now);

  now += PL_LOAN_OPEN_US;
  pl_budget_spend (&lender, 15 * PL_MICRO_PER_TOKEN, now, &until);
  int64_t before = pl_budget_balance (&lender, now);

  pl_budget_accept_return (&lender, 7, grant.number, grant.amount, now);
  ck_assert_int_eq (pl_budget_balance (&lender, now), before);
}
END_TEST

/* A part of the bucket is never lent, so that a host that is then partitioned can still serve. */
START_TEST (lending_keeps_the_floor)
{
  int64_t now = 100 * SECOND;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 1000 * PL_MICRO_PER_TOKEN, 0, now);

  ck_assert_int_eq (grant.amount,
                    20 * PL_MICRO_PER_TOKEN - 20 * PL_MICRO_PER_TOKEN / PL_BUDGET_FLOOR_DIVISOR);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "budget");

  tcase_add_checked_fixture (tcase, set_up, NULL);
  tcase_add_test (tcase, bucket_starts_empty_and_fills_to_its_burst);
  tcase_add_test (tcase, huge_rates_do_not_overflow);
  tcase_add_test (tcase, a_negative_balance_is_repaid_first);
  tcase_add_test (tcase, a_grant_applies_once);
  tcase_add_test (tcase, an_earlier_grant_after_a_later_one_is_dropped);
  tcase_add_test (tcase, a_loan_expires_at_the_borrower_first);
  tcase_add_test (tcase, a_grant_after_its_term_is_rejected);
  tcase_add_test (tcase, an_acknowledgement_of_an_earlier_incarnation_closes_no_loan);
  tcase_add_test (tcase, a_returned_loan_is_credited_once);
  tcase_add_test (tcase, a_loan_returned_after_it_expired_is_not_credited);
  tcase_add_test (tcase, lending_keeps_the_floor);
  return suite_run (suite);
}
