/* Budgets: the bucket itself, loans, and the sum over hosts under lost, late and doubled grants. */
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
  pl_budget_set_part (&lender, 10 * PL_MICRO, 20 * PL_MICRO, 0);
  pl_budget_set_part (&borrower, 0, 0, 0);
}

START_TEST (bucket_starts_empty_and_fills_to_its_burst)
{
  int64_t until;

  ck_assert_int_eq (pl_budget_take (&lender, PL_MICRO, 0, &until), PL_ERR_LACKING);
  ck_assert_int_eq (pl_budget_balance (&lender, SECOND), 10 * PL_MICRO);
  ck_assert_int_eq (pl_budget_balance (&lender, 100 * SECOND), 20 * PL_MICRO);
  ck_assert_int_eq (pl_budget_take (&lender, PL_MICRO, 100 * SECOND, &until), PL_OK);
  ck_assert_int_eq (until, INT64_MAX);
}
END_TEST

START_TEST (huge_rates_do_not_overflow)
{
  pl_budget_set_part (&lender, INT64_C (500000000) * PL_MICRO, INT64_C (500000000) * PL_MICRO, 0);
  ck_assert_int_eq (pl_budget_balance (&lender, 3600 * SECOND), INT64_C (500000000) * PL_MICRO);
}
END_TEST

START_TEST (debt_is_made_up_first)
{
  int64_t until;

  pl_budget_charge (&lender, 30 * PL_MICRO, 2 * SECOND);
  ck_assert_int_eq (pl_budget_balance (&lender, 2 * SECOND), -10 * PL_MICRO);
  ck_assert_int_eq (pl_budget_take (&lender, PL_MICRO, 2 * SECOND + SECOND, &until),
                    PL_ERR_LACKING);
  ck_assert_int_eq (pl_budget_take (&lender, PL_MICRO, 4 * SECOND, &until), PL_OK);
}
END_TEST

START_TEST (a_grant_applies_once)
{
  int64_t now = 2 * SECOND;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 5 * PL_MICRO, 0, now);

  ck_assert_int_eq (grant.amount, 5 * PL_MICRO);
  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &grant, now, now), PL_OK);
  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &grant, now, now), PL_ERR_STALE);
  ck_assert_int_eq (pl_budget_balance (&borrower, now), 5 * PL_MICRO);
}
END_TEST

START_TEST (an_earlier_grant_after_a_later_one_is_dropped)
{
  int64_t now = 2 * SECOND;
  struct pl_grant first = pl_budget_lend (&lender, 7, PL_MICRO, 0, now);
  struct pl_grant second = pl_budget_lend (&lender, 7, PL_MICRO, 0, now);

  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &second, now, now), PL_OK);
  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &first, now, now), PL_ERR_STALE);
}
END_TEST

START_TEST (the_borrower_stops_before_the_lender_counts_the_loan_as_over)
{
  int64_t now = 2 * SECOND;
  int64_t until;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 15 * PL_MICRO, 0, now);

  pl_budget_receive (&borrower, 9, &grant, now, now);
  ck_assert_int_eq (pl_budget_take (&borrower, PL_MICRO, now + 1, &until), PL_OK);
  ck_assert_int_lt (until, now + PL_LOAN_OPEN_US);
  ck_assert_int_eq (pl_budget_take (&borrower, PL_MICRO, until, &until), PL_ERR_LACKING);
  /* While the loan is open what the lender mints fits beside it. */
  ck_assert_int_eq (pl_budget_balance (&lender, now + PL_LOAN_OPEN_US - 1), 5 * PL_MICRO);
  ck_assert_int_gt (pl_budget_balance (&lender, now + 3 * SECOND), 5 * PL_MICRO);
}
END_TEST

START_TEST (a_late_grant_is_worth_nothing)
{
  int64_t now = 2 * SECOND;
  struct pl_grant grant = pl_budget_lend (&lender, 7, PL_MICRO, 0, now);

  ck_assert_int_eq (pl_budget_receive (&borrower, 9, &grant, now, now + PL_LOAN_TERM_US),
                    PL_ERR_EXPIRED);
  ck_assert_int_eq (pl_budget_balance (&borrower, now + PL_LOAN_TERM_US), 0);
}
END_TEST

START_TEST (a_word_of_spent_for_an_earlier_incarnation_closes_nothing)
{
  struct pl_budget again;
  int64_t now = 5 * SECOND;
  struct pl_grant old = pl_budget_lend (&lender, 7, PL_MICRO, 0, now);

  pl_budget_init (&again, 2, 0);
  pl_budget_set_part (&again, 10 * PL_MICRO, 20 * PL_MICRO, 0);
  pl_budget_lend (&again, 7, 15 * PL_MICRO, 0, now);
  pl_budget_lend (&again, 7, 0, old.number, now);
  ck_assert_int_eq (pl_budget_balance (&again, now + SECOND), 5 * PL_MICRO);
}
END_TEST

START_TEST (a_loan_given_back_counts_once)
{
  int64_t now = 2 * SECOND;
  uint64_t number = 0;
  int64_t amount = 0;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 5 * PL_MICRO, 0, now);

  pl_budget_receive (&borrower, 9, &grant, now, now);
  ck_assert_uint_eq (pl_budget_give_up (&borrower, 0, now, &number, &amount), 0);
  now += PL_LOAN_TERM_US - 1;
  ck_assert_uint_eq (pl_budget_give_up (&borrower, 0, now, &number, &amount), 9);
  ck_assert_int_eq (pl_budget_balance (&borrower, now), 0);
  pl_budget_take_back (&lender, 7, number, amount, now);
  pl_budget_take_back (&lender, 7, number, amount, now);
  ck_assert_int_eq (pl_budget_balance (&lender, now), 20 * PL_MICRO);
}
END_TEST

START_TEST (a_loan_given_back_after_it_lapsed_adds_nothing)
{
  int64_t now = 2 * SECOND;
  int64_t until;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 5 * PL_MICRO, 0, now);

  now += PL_LOAN_OPEN_US;
  pl_budget_take (&lender, 15 * PL_MICRO, now, &until);
  int64_t before = pl_budget_balance (&lender, now);

  pl_budget_take_back (&lender, 7, grant.number, grant.amount, now);
  ck_assert_int_eq (pl_budget_balance (&lender, now), before);
}
END_TEST

START_TEST (what_is_lent_leaves_the_floor)
{
  int64_t now = 100 * SECOND;
  struct pl_grant grant = pl_budget_lend (&lender, 7, 1000 * PL_MICRO, 0, now);

  ck_assert_int_eq (grant.amount, 20 * PL_MICRO - 20 * PL_MICRO / PL_BUDGET_FLOOR_DIVISOR);
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
  tcase_add_test (tcase, debt_is_made_up_first);
  tcase_add_test (tcase, a_grant_applies_once);
  tcase_add_test (tcase, an_earlier_grant_after_a_later_one_is_dropped);
  tcase_add_test (tcase, the_borrower_stops_before_the_lender_counts_the_loan_as_over);
  tcase_add_test (tcase, a_late_grant_is_worth_nothing);
  tcase_add_test (tcase, a_word_of_spent_for_an_earlier_incarnation_closes_nothing);
  tcase_add_test (tcase, a_loan_given_back_counts_once);
  tcase_add_test (tcase, a_loan_given_back_after_it_lapsed_adds_nothing);
  tcase_add_test (tcase, what_is_lent_leaves_the_floor);
  return suite_run (suite);
}
