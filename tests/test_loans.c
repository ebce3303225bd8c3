/* Simulation of loans, compared with a single bucket of the whole rate and burst.
 * Guards against loans by which the fleet spends tokens that it does not have.
 *
 * Five hosts have shares of one account.  Messages are delayed, duplicated,
 * reordered and lost; hosts are paused, or replaced by ones with an empty bucket
 * that is refilled only after the fencing time (4 s here).  Hosts spend all their
 * tokens when they have the most, so that any excess token drives the single bucket
 * below zero.
 */
#include "pomelolatch/budget.h"
#include "pomelolatch/error.h"
#include "suite.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define HOSTS 5
#define RATE 200
#define BURST 300
#define STEPS 40000
#define STEP_US (5 * MS)
#define MESSAGES_MAX 4096
#define LOAN_AMOUNT_MAX (30 * PL_MICRO_PER_TOKEN)

enum message_kind
{
  MESSAGE_LOAN_REQUEST,
  MESSAGE_LOAN_GRANT,
};

struct message
{
  bool used;
  enum message_kind kind;
  int64_t due_us;
  int from;
  int to;
  int borrower_incarnation;
  int64_t amount;
  uint64_t acked;
  uint64_t returned_number;
  int64_t returned_amount;
  struct pl_grant grant;
  int64_t requested_us;
};

struct host
{
  struct pl_budget budget;
  uint64_t incarnation;
  int64_t paused_until_us;
};

struct run
{
  GRand *random;
  int64_t now_us;
  struct host hosts[HOSTS];
  struct message messages[MESSAGES_MAX];
  double tokens;
  double lowest_balance;
  int64_t refilled_us;
  double loss;
  double duplication;
  bool has_synchronized_spending; /* host 0 borrows and holds all it can, then all hosts spend at
                                     once */
  bool has_churn;                 /* hosts are paused and replaced */
};

static void
start_host (struct run *run, int at, int64_t refill_from_us)
{
  struct host *host = &run->hosts[at];

  host->incarnation++;
  pl_budget_init (&host->budget, host->incarnation, refill_from_us);
  pl_budget_set_share (&host->budget, RATE * PL_MICRO_PER_TOKEN / HOSTS,
                       BURST * PL_MICRO_PER_TOKEN / HOSTS, run->now_us);
}

static void
enqueue_message (struct run *run, const struct message *message)
{
  for (int i = 0; i < MESSAGES_MAX; i++)
    if (!run->messages[i].used)
      {
        run->messages[i] = *message;
        run->messages[i].used = true;
        run->messages[i].due_us
            = run->now_us + g_rand_int_range (run->random, 1, 30) * MS
              + (g_rand_double (run->random) < 0.02 ? g_rand_int_range (run->random, 1, 1500) * MS
                                                    : 0);
        return;
      }
}

static void
send_message (struct run *run, const struct message *message)
{
  if (g_rand_double (run->random) >= run->loss)
    enqueue_message (run, message);
  if (g_rand_double (run->random) < run->duplication)
    enqueue_message (run, message);
}

static void
receive_message (struct run *run, const struct message *message)
{
  struct host *host = &run->hosts[message->to];
  struct message reply = {.kind = MESSAGE_LOAN_GRANT, .from = message->to, .to = message->from};

  if (message->kind == MESSAGE_LOAN_GRANT)
    {
      /* A grant that was requested by an earlier incarnation of the host is dropped. */
      if (message->borrower_incarnation == (int) host->incarnation)
        pl_budget_receive (&host->budget, (uint64_t) message->from + 1, &message->grant,
                           message->requested_us, run->now_us);
      return;
    }
  if (message->returned_number != 0)
    pl_budget_accept_return (&host->budget, (uint64_t) message->from + 1, message->returned_number,
                             message->returned_amount, run->now_us);
  reply.grant = pl_budget_lend (&host->budget, (uint64_t) message->from + 1, message->amount,
                                message->acked, run->now_us);
  reply.borrower_incarnation = message->borrower_incarnation;
  reply.requested_us = message->requested_us;
  send_message (run, &reply);
}

/* Spends AMOUNT from the reference bucket, which is full at the start. */
static void
record_spent (struct run *run, int64_t amount)
{
  run->tokens += (double) RATE * (double) (run->now_us - run->refilled_us) / 1e6;
  run->tokens = MIN (run->tokens, BURST) - (double) amount / PL_MICRO_PER_TOKEN;
  run->refilled_us = run->now_us;
  run->lowest_balance = MIN (run->lowest_balance, run->tokens);
}

static void
spend_all (struct run *run, int at)
{
  struct pl_budget *budget = &run->hosts[at].budget;
  int64_t balance = pl_budget_balance (budget, run->now_us);
  int64_t until;

  if (balance > 0 && pl_budget_spend (budget, balance, run->now_us, &until) == PL_OK)
    record_spent (run, balance);
}

static void
request_loan (struct run *run, int at, int to)
{
  struct pl_budget *budget = &run->hosts[at].budget;
  struct message message = {.kind = MESSAGE_LOAN_REQUEST, .from = at, .to = to};

  message.borrower_incarnation = (int) run->hosts[at].incarnation;
  message.requested_us = run->now_us;
  message.amount
      = g_rand_int_range (run->random, 0, (gint32) (LOAN_AMOUNT_MAX / 1000)) * INT64_C (1000);
  message.acked = pl_budget_acked (budget, (uint64_t) to + 1);
  if (!run->has_synchronized_spending && g_rand_boolean (run->random)
      && pl_budget_return_loan (budget, 0, run->now_us, &message.returned_number,
                                &message.returned_amount)
             != (uint64_t) to + 1)
    message.returned_number = 0; /* the loan is of another lender; its return is lost */
  send_message (run, &message);
}

#define CYCLE_US (2500 * MS)
#define CYCLE_REQUEST_US (100 * MS)
#define CYCLE_SPEND_END_US (1050 * MS)

/* Host 0 borrows from all others at the start of each cycle.  All hosts spend their tokens around
 * the end of the loans' term, when tokens that both lender and borrower have would show. */
static void
step_synchronized (struct run *run)
{
  int64_t phase_us = run->now_us % CYCLE_US;

  if (phase_us < CYCLE_REQUEST_US)
    for (int to = 1; to < HOSTS; to++)
      request_loan (run, 0, to);
  if (phase_us >= CYCLE_SPEND_END_US - 100 * MS && phase_us < CYCLE_SPEND_END_US)
    for (int i = 0; i < HOSTS; i++)
      if (run->hosts[i].paused_until_us <= run->now_us)
        spend_all (run, i);
}

static void
spend_and_borrow (struct run *run, int at, int to, bool spends_often)
{
  /* Host 0 borrows what the others do not use and spends in bursts; rarely all hosts spend. */
  if (to != 0 && at == 0)
    request_loan (run, 0, to);
  if (at != 0 && to != at && g_rand_double (run->random) < 0.1)
    request_loan (run, at, to);
  if (at == 0 && g_rand_double (run->random) < (spends_often ? 0.5 : 0.02))
    spend_all (run, 0);
  if (g_rand_double (run->random) < 0.002)
    for (int i = 0; i < HOSTS; i++)
      if (run->hosts[i].paused_until_us <= run->now_us)
        spend_all (run, i);
}

static void
step (struct run *run, bool spends_often)
{
  int at = g_rand_int_range (run->random, 0, HOSTS);
  int to = g_rand_int_range (run->random, 0, HOSTS);
  struct host *host = &run->hosts[at];

  run->now_us += STEP_US;
  for (int i = 0; i < MESSAGES_MAX; i++)
    {
      struct message message = run->messages[i];

      if (!message.used || message.due_us > run->now_us
          || run->hosts[message.to].paused_until_us > run->now_us)
        continue;
      run->messages[i].used = false;
      receive_message (run, &message);
    }
  if (host->paused_until_us > run->now_us)
    return;
  if (run->has_synchronized_spending)
    step_synchronized (run);
  else
    spend_and_borrow (run, at, to, spends_often);
  if (!run->has_churn)
    return;
  if (g_rand_double (run->random) < 0.001)
    host->paused_until_us = run->now_us + g_rand_int_range (run->random, 1, 1900) * MS;
  if (g_rand_double (run->random) < 0.0005)
    start_host (run, at, run->now_us + 4 * SECOND);
}

static struct run *
run_simulation (guint32 seed, double loss, double duplication, bool spends_often,
                bool has_synchronized_spending, bool has_churn)
{
  struct run *run = g_new0 (struct run, 1);

  run->random = g_rand_new_with_seed (seed);
  run->tokens = BURST;
  run->loss = loss;
  run->duplication = duplication;
  run->has_synchronized_spending = has_synchronized_spending;
  run->has_churn = has_churn;
  for (int i = 0; i < HOSTS; i++)
    start_host (run, i, 0);
  for (int i = 0; i < STEPS; i++)
    step (run, spends_often);
  return run;
}

static void
free_run (struct run *run)
{
  g_rand_free (run->random);
  g_free (run);
}

START_TEST (the_fleet_never_exceeds_its_rate_and_burst)
{
  double loss = _i % 3 == 0 ? 0.0 : 0.1;
  struct run *run = run_simulation ((guint32) _i + 1, loss, _i % 2 == 0 ? 0.3 : 0.05, _i % 4 < 2,
                                    _i % 8 >= 5, _i % 5 != 0);

  ck_assert_double_ge (run->lowest_balance, -0.01);
  free_run (run);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "loans");

  tcase_add_loop_test (tcase, the_fleet_never_exceeds_its_rate_and_burst, 0, 24);
  return suite_run (suite);
}
