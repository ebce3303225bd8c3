/* Fair shares between the accounts of a service: the decisions by themselves, and the load of
 * docs/LOAD.md, two hot accounts and a burst, over a simulated fleet with the servers of its second
 * deployment. */
#include "internal/fair_share.h"
#include "limited_servers.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define STOCK 0
#define ON_TIME_US (200 * WORLD_MS)

/* The fleet. */
#define HOSTS 24
#define SERVERS 24
#define ACCOUNTS 28
#define OBJECTIVE_MS 400
#define LIMIT_FACTOR 1.6
/* Usual demand, of what the servers run if they know all objects. */
#define USUAL_LOAD 0.72
/* The first two accounts become hot, and each has this part of the usual demand. */
#define HOT_ACCOUNTS 2
#define HOT_PART 0.15
#define FIRST_FACTOR 4.5
#define SECOND_FACTOR 3.0
#define BURST_FACTOR 1.5
/* Duration of the load, in windows and in steps of 100 ms. */
#define WINDOWS 10
#define STEPS 200
/* Part of what can be served in time that must be. */
#define SERVED_RATIO_MIN 0.9

static const struct limited_queueing queueing
    = {.slots = 6, .queue = 18, .known_us = 147 * WORLD_MS, .work_us = 440 * WORLD_MS};

static struct pl_fair_share shares;
static struct pl_quota quotas[ACCOUNTS];
static struct pl_share_account accounts[ACCOUNTS];
static int64_t now_us;

static void
set_up (void)
{
  now_us = WORLD_SECOND;
  pl_fair_share_init (&shares, 1);
  memset (accounts, 0, sizeof accounts);
  for (int i = 0; i < ACCOUNTS; i++)
    {
      quotas[i] = (struct pl_quota){.rate = 0};
      pl_quota_init (&quotas[i], now_us);
      pl_quota_set_limits (&quotas[i], 100, 100, now_us);
    }
}

static void
tear_down (void)
{
  for (int i = 0; i < ACCOUNTS; i++)
    pl_quota_clear (&quotas[i]);
  pl_fair_share_clear (&shares);
}

static struct pl_share_request
make_request (int index)
{
  return (struct pl_share_request){.service = STOCK,
                                   .account = &accounts[index],
                                   .quota = &quotas[index],
                                   .hosts = 1,
                                   .time_left_us = 2 * WORLD_SECOND,
                                   .objective_us = OBJECTIVE_MS * WORLD_MS,
                                   .on_time_us = OBJECTIVE_MS * WORLD_MS};
}

/* Sends PER_SECOND requests of account INDEX for a second while OUTCOME is that of all requests to
 * the service.  Returns the fraction that is admitted. */
static double
send (int index, int per_second, enum pl_share_outcome outcome)
{
  struct pl_share_request request = make_request (index);
  int admitted = 0;

  for (int i = 0; i < per_second; i++)
    {
      admitted += pl_fair_share_admit (&shares, &request, now_us).decision == PL_SHARE_ADMITTED;
      pl_fair_share_record (&shares, STOCK, outcome, ON_TIME_US, outcome == PL_SHARE_FREE ? 0 : 1,
                            now_us);
      now_us += WORLD_SECOND / per_second;
    }
  return (double) admitted / per_second;
}

/* Lets the time pass in which a service does not count as contended. */
static void
pass_first_seconds (void)
{
  for (int second = 0; second < 3; second++)
    send (0, 20, PL_SHARE_FREE);
}

/* Reports that another host admits PER_SECOND requests of account INDEX for two seconds. */
static void
report_use (int index, int per_second)
{
  struct pl_quota_report report
      = {.scope = PL_QUOTA_HOST, .group = 7, .sender = 7, .incarnation = 1, .is_counted = true};

  for (int i = 0; i <= 4; i++, now_us += WORLD_SECOND / 2)
    {
      report.count = (uint32_t) (per_second * i / 2);
      pl_quota_on_report (&quotas[index], &report, now_us);
    }
}

/* Requests were refused although servers had free slots. */
START_TEST (nothing_is_refused_while_there_is_room)
{
  ck_assert_double_eq (send (0, 300, PL_SHARE_FREE), 1);
  ck_assert_double_eq (send (0, 300, PL_SHARE_BUSY), 1);
  ck_assert (!pl_fair_share_is_contended (&shares, STOCK));
}
END_TEST

/* The account that uses most is cut first, and to the same level as the next; one below the level
 * loses nothing. */
START_TEST (use_above_the_level_is_cut_to_it)
{
  struct pl_share_service *state;
  double served[3] = {0};

  pass_first_seconds ();
  send (0, 100, PL_SHARE_MISSED);
  send (0, 100, PL_SHARE_MISSED);
  state = (struct pl_share_service *) pl_fair_share_find (&shares, STOCK);
  ck_assert_double_gt (state->level, 0);
  /* 400, 200 and 40 requests a second of accounts with the weight 100, at level 1. */
  for (int i = 0; i < 4000; i++)
    for (int j = 0; j < 3; j++)
      for (int k = 0; k < (j == 0 ? 10 : j == 1 ? 5 : 1); k++)
        {
          struct pl_share_request request = make_request (j);

          state->level = 1;
          state->sampled_us = now_us;
          served[j]
              += pl_fair_share_admit (&shares, &request, now_us).decision == PL_SHARE_ADMITTED;
          now_us += 25 * WORLD_MS / 16;
        }
  ck_assert_double_eq_tol (served[0] / 100, 100, 10);
  ck_assert_double_eq_tol (served[1] / 100, 100, 10);
  ck_assert_double_eq (served[2], 4000);
}
END_TEST

/* A hot account was admitted whole by hosts that get few of its requests. */
START_TEST (use_at_other_hosts_counts_until_it_expires)
{
  int64_t reported_us = 0;

  report_use (0, 200);
  ck_assert_double_eq_tol (pl_quota_rate_of_others (&quotas[0], &reported_us, now_us), 200, 20);
  ck_assert_int_eq (reported_us, now_us - WORLD_SECOND / 2);
  ck_assert_double_le (
      pl_quota_rate_of_others (&quotas[0], &reported_us, now_us + 6 * WORLD_SECOND), 120);
  ck_assert_double_eq (
      pl_quota_rate_of_others (&quotas[0], &reported_us, now_us + 10 * WORLD_SECOND), 0);
}
END_TEST

/* A host without reports knows a small part of the use only, and refused nothing. */
START_TEST (a_host_that_hears_nothing_decides_by_its_own_requests)
{
  double hot = 1;
  double usual = 1;

  /* Far below the weights, which are those of the fleet. */
  for (int i = 0; i < 6; i++)
    {
      usual = send (1, 10, PL_SHARE_MISSED);
      hot = send (0, 40, PL_SHARE_MISSED);
    }
  ck_assert_double_lt (hot, 0.5);
  ck_assert_double_gt (usual, hot);
}
END_TEST

/* The level stayed low after the load, or for ever when nothing was answered any more. */
START_TEST (the_level_rises_with_room_and_without_outcomes)
{
  struct pl_share_request request = make_request (0);

  for (int i = 0; i < 5; i++)
    send (0, 100, PL_SHARE_MISSED);
  ck_assert (pl_fair_share_is_contended (&shares, STOCK));
  send (0, 100, PL_SHARE_FREE);
  send (0, 100, PL_SHARE_FREE);
  send (0, 100, PL_SHARE_FREE);
  ck_assert_double_eq (send (0, 100, PL_SHARE_FREE), 1);
  for (int i = 0; i < 5; i++)
    send (0, 100, PL_SHARE_MISSED);
  now_us += 10 * WORLD_SECOND;
  ck_assert_int_eq (pl_fair_share_admit (&shares, &request, now_us).decision, PL_SHARE_ADMITTED);
  ck_assert (!pl_fair_share_is_contended (&shares, STOCK));
}
END_TEST

/* Retries that were late already took slots while others could still be in time.  Callers that wait
 * for less time than others do, whose requests look like late retries, got no answers. */
START_TEST (late_retries_are_refused_under_contention_only)
{
  struct pl_share_request request = make_request (0);
  int refused = 0;

  request.on_time_us = -1;
  ck_assert_int_eq (pl_fair_share_admit (&shares, &request, now_us).decision, PL_SHARE_ADMITTED);
  pass_first_seconds ();
  send (1, 100, PL_SHARE_MISSED);
  send (1, 100, PL_SHARE_MISSED);
  ck_assert (pl_fair_share_is_contended (&shares, STOCK));
  ck_assert_int_eq (pl_fair_share_admit (&shares, &request, now_us).decision, PL_SHARE_TOO_LATE);
  for (int i = 0; i < 100; i++)
    refused += pl_fair_share_admit (&shares, &request, now_us).decision == PL_SHARE_TOO_LATE;
  ck_assert_int_lt (refused, 50);
}
END_TEST

/* A request whose caller would not wait for the answer took a slot all the same. */
START_TEST (a_request_without_time_for_its_work_is_refused)
{
  struct pl_share_request request = make_request (0);
  struct pl_share_answer answer = {.latency_us = 300 * WORLD_MS};

  pl_fair_share_record_answer (&shares, STOCK, &answer, now_us);
  request.time_left_us = 250 * WORLD_MS;
  /* Other routes of the service may need less time, and there are free slots. */
  ck_assert_int_eq (pl_fair_share_admit (&shares, &request, now_us).decision, PL_SHARE_ADMITTED);
  pass_first_seconds ();
  send (1, 100, PL_SHARE_MISSED);
  send (1, 100, PL_SHARE_MISSED);
  ck_assert (pl_fair_share_is_contended (&shares, STOCK));
  ck_assert_int_eq (pl_fair_share_admit (&shares, &request, now_us).decision, PL_SHARE_NO_TIME);
  request.time_left_us = 350 * WORLD_MS;
  ck_assert_int_eq (pl_fair_share_admit (&shares, &request, now_us).decision, PL_SHARE_ADMITTED);
}
END_TEST

/* After a quarter of an hour without requests the level was not a number, and a refused request
 * that was over its time got a negative Retry-After. */
START_TEST (a_long_pause_leaves_numbers)
{
  struct pl_share_request request = make_request (0);
  const struct pl_share_service *state = pl_fair_share_find (&shares, STOCK);

  pass_first_seconds ();
  now_us += 2000 * WORLD_SECOND;
  pl_fair_share_admit (&shares, &request, now_us);
  state = pl_fair_share_find (&shares, STOCK);
  ck_assert (state->level >= 0 && state->busy_ratio >= 0);
  ck_assert_int_ge (pl_fair_share_retry_after_us (&shares, STOCK, NULL, -300 * WORLD_MS), 0);
}
END_TEST

/* A server that fails at once seemed to work fast and to have room. */
START_TEST (failures_tell_nothing_of_the_work_time)
{
  struct pl_share_answer answer = {.latency_us = 300 * WORLD_MS, .has_load = true};

  answer.load.slots = 3;
  pl_fair_share_record_answer (&shares, STOCK, &answer, now_us);
  answer.is_failure = true;
  answer.latency_us = 2 * WORLD_MS;
  for (int i = 0; i < 60; i++)
    pl_fair_share_record_answer (&shares, STOCK, &answer, now_us += 10 * WORLD_MS);
  ck_assert_double_ge (pl_fair_share_find (&shares, STOCK)->work_us, 299 * WORLD_MS);
}
END_TEST

/* Refused callers came again together, or later than they wait. */
START_TEST (retry_after_grows_with_the_backlog_is_spread_and_bounded)
{
  struct pl_share_answer answer
      = {.latency_us = 100 * WORLD_MS, .has_load = true, .objective_us = 400 * WORLD_MS};
  double calm = 0;
  double busy = 0;
  int64_t least = INT64_MAX;
  int64_t most = 0;

  for (int round = 0; round < 2; round++)
    {
      answer.load = (struct pl_load_report){
          .running = round == 0 ? 3 : 6, .waiting = round == 0 ? 0 : 18, .slots = 6};
      for (int i = 0; i < 400; i++, now_us += 10 * WORLD_MS)
        pl_fair_share_record_answer (&shares, STOCK, &answer, now_us);
      for (int i = 0; i < 100; i++)
        {
          int64_t after_us = pl_fair_share_retry_after_us (&shares, STOCK, NULL, 30 * WORLD_SECOND);

          least = MIN (least, round == 1 ? after_us : INT64_MAX);
          most = MAX (most, round == 1 ? after_us : 0);
          *(round == 0 ? &calm : &busy) += (double) after_us / 100;
        }
    }
  ck_assert_double_gt (busy, 3 * calm);
  ck_assert_int_gt (most, 2 * least);
  ck_assert_int_le (pl_fair_share_retry_after_us (&shares, STOCK, NULL, 300 * WORLD_MS),
                    100 * WORLD_MS);
}
END_TEST

static void
reset_counts (struct limited_servers *servers)
{
  servers->counted_from_us = servers->fleet->now_us;
  for (int i = 0; i < ACCOUNTS; i++)
    memset (servers->accounts[i].windows, 0, sizeof servers->accounts[i].windows);
}

/* Returns a fleet whose servers know their objects. */
static struct limited_servers *
start_fleet (enum pl_load_management management, unsigned switches, int seed)
{
  struct router_fleet *fleet = router_fleet_new (HOSTS, limited_domains, false);
  struct limited_servers *servers = limited_servers_new (fleet, SERVERS, OBJECTIVE_MS);
  double usual[ACCOUNTS];

  servers->random = (uint32_t) seed + 1;
  fleet->load_management = management;
  fleet->switches = switches;
  for (int i = 0; i < ACCOUNTS; i++)
    usual[i]
        = i < HOT_ACCOUNTS ? HOT_PART : (1 - HOT_ACCOUNTS * HOT_PART) / (ACCOUNTS - HOT_ACCOUNTS);
  limited_servers_set_accounts (servers, &queueing, usual, ACCOUNTS, LIMIT_FACTOR, USUAL_LOAD);
  limited_servers_run_accounts (servers, 3 * WORLD_SECOND, 0);
  limited_servers_run_accounts (servers, 15 * WORLD_SECOND, 0.4);
  limited_servers_run_accounts (servers, 5 * WORLD_SECOND, 0.8);
  reset_counts (servers);
  return servers;
}

static void
stop_fleet (struct limited_servers *servers)
{
  struct router_fleet *fleet = servers->fleet;

  limited_servers_free (servers);
  router_fleet_free (fleet);
}

static struct limited_window
sum_accounts (const struct limited_servers *servers, int window, int first)
{
  struct limited_window sum = {0};

  for (int i = first; i < ACCOUNTS; i++)
    {
      const struct limited_window *counts = &servers->accounts[i].windows[window];

      sum.sent += counts->sent;
      sum.in_time += counts->in_time;
      sum.late += counts->late;
    }
  return sum;
}

/* What the servers can do, measured without load management and without trouble. */
struct ability
{
  double calm_ratio; /* of the requests that are served in time at low load */
  double per_window; /* most requests served in time in a window, at any steady load */
};

static struct ability
measure_ability (int seed)
{
  static const double factors[] = {0.6, 1.1, 1.2, 1.3};
  struct ability ability = {0};

  for (size_t i = 0; i < G_N_ELEMENTS (factors); i++)
    {
      struct limited_servers *servers = start_fleet (PL_LOAD_MANAGEMENT_OFF, 0, seed);
      struct limited_window sum = {0};

      limited_servers_run_accounts (servers, 4 * LIMITED_WINDOW_US, factors[i]);
      limited_servers_run_accounts (servers, 3 * WORLD_SECOND, 0);
      for (int window = 0; window < 4; window++)
        {
          struct limited_window counts = sum_accounts (servers, window, 0);

          sum.sent += counts.sent;
          sum.in_time += counts.in_time;
        }
      if (i == 0)
        ability.calm_ratio = (double) sum.in_time / sum.sent;
      ability.per_window = fmax (ability.per_window, sum.in_time / 4.0);
      stop_fleet (servers);
    }
  return ability;
}

enum trouble
{
  TROUBLE_NONE,
  TROUBLE_CUT_OFF,  /* a sixth of the hosts hears nothing from the others */
  TROUBLE_RESTARTS, /* each second a host is killed, and starts again after half a second */
  TROUBLE_LOSS,     /* half of the reports on accounts are lost */
  TROUBLE_SILENCE,  /* all of them are lost from the first hot account on */
};

static void
make_trouble (struct limited_servers *servers, enum trouble trouble, int step)
{
  struct router_fleet *fleet = servers->fleet;

  if (trouble == TROUBLE_LOSS)
    fleet->report_loss = 0.5;
  if (trouble == TROUBLE_SILENCE && step == 10)
    fleet->report_loss = 1;
  if (trouble == TROUBLE_CUT_OFF && step == 0)
    for (int i = 0; i < HOSTS; i += 6)
      fleet->hosts[i].is_partitioned = true;
  if (trouble == TROUBLE_RESTARTS && step % 10 == 0)
    router_fleet_kill (fleet, step / 10 % HOSTS, WORLD_SECOND / 2);
}

/* Runs 20 s of the load: the second account is hot from 1 s, the first from 9 s, 8 s each; the
 * burst begins at 13 s. */
static void
run_load (struct limited_servers *servers, enum trouble trouble)
{
  for (int step = 0; step < STEPS; step++)
    {
      bool is_burst = step >= 130 && step < 153;

      servers->accounts[1].factor = step >= 10 && step < 90 ? SECOND_FACTOR : 1;
      servers->accounts[0].factor = step >= 90 && step < 170 ? FIRST_FACTOR : 1;
      make_trouble (servers, trouble, step);
      limited_servers_run_accounts (servers, 100 * WORLD_MS, is_burst ? BURST_FACTOR : 1);
    }
  limited_servers_run_accounts (servers, 3 * WORLD_SECOND, 0);
}

/* Of what can be served in time, the part that was. */
struct served
{
  double usual; /* of the accounts that are not hot, up to their usual rates */
  double all;   /* of all accounts, each within its limit */
};

static struct served
replay_load (const struct ability *ability, enum pl_load_management management, unsigned switches,
             enum trouble trouble, int seed)
{
  struct limited_servers *servers = start_fleet (management, switches, seed);
  struct served served;
  double usual = 0;
  double all = 0;
  double usual_max = 0;
  double all_max = 0;
  double usual_rate = 0;

  for (int i = HOT_ACCOUNTS; i < ACCOUNTS; i++)
    usual_rate += servers->accounts[i].usual;
  run_load (servers, trouble);
  for (int window = 0; window < WINDOWS; window++)
    {
      struct limited_window counts = sum_accounts (servers, window, HOT_ACCOUNTS);
      double sent = counts.sent;
      /* In the burst, all send more than their usual rates, and share the capacity. */
      double entitled
          = fmin (fmin (sent, usual_rate * LIMITED_WINDOW_US / 1e6) * ability->calm_ratio,
                  ability->per_window);

      usual += fmin (counts.in_time, entitled);
      usual_max += entitled;
      for (int i = 0; i < HOT_ACCOUNTS; i++)
        sent += fmin (servers->accounts[i].windows[window].sent,
                      servers->accounts[i].usual * LIMIT_FACTOR * LIMITED_WINDOW_US / 1e6);
      all += sum_accounts (servers, window, 0).in_time;
      all_max += fmin (sent * ability->calm_ratio, ability->per_window);
    }
  served = (struct served){usual / usual_max, all / all_max};
  printf ("management %d trouble %d seed %d: usual %.3f of %.0f, all %.3f of %.0f\n", management,
          trouble, seed, served.usual, usual_max, served.all, all_max);
  stop_fleet (servers);
  return served;
}

/* Two hot accounts within their limits and a burst took the capacity from all others: most requests
 * were answered, but late.  Without load management the same load fails the criterion. */
START_TEST (usual_rates_are_served_in_time_beside_hot_accounts)
{
  struct ability ability = measure_ability (_i);
  struct served off = replay_load (&ability, PL_LOAD_MANAGEMENT_OFF, 0, TROUBLE_NONE, _i);
  struct served on = replay_load (&ability, PL_LOAD_MANAGEMENT_ON, 0, TROUBLE_NONE, _i);

  ck_assert_double_lt (off.usual, SERVED_RATIO_MIN);
  ck_assert_double_ge (on.usual, SERVED_RATIO_MIN);
  ck_assert_double_ge (on.all, SERVED_RATIO_MIN);
}
END_TEST

/* The same when hosts do not hear of the use at others, or lose their levels. */
START_TEST (usual_rates_are_served_in_time_during_trouble)
{
  static const enum trouble troubles[]
      = {TROUBLE_CUT_OFF, TROUBLE_RESTARTS, TROUBLE_LOSS, TROUBLE_SILENCE};
  struct ability ability = measure_ability (0);
  struct served served = replay_load (&ability, PL_LOAD_MANAGEMENT_ON, 0, troubles[_i], 0);

  ck_assert_double_ge (served.usual, SERVED_RATIO_MIN);
}
END_TEST

/* Under steady overload, less urgent requests got nothing, or as much as more urgent ones only when
 * those were refused. */
START_TEST (no_class_starves_and_none_is_put_behind_a_less_urgent_one)
{
  struct limited_servers *servers = start_fleet (PL_LOAD_MANAGEMENT_ON, 0, 0);
  double served[2];

  servers->write_ratio = 0.3;
  memset (servers->class_sent, 0, sizeof servers->class_sent);
  memset (servers->class_in_time, 0, sizeof servers->class_in_time);
  limited_servers_run_accounts (servers, 10 * WORLD_SECOND, 1.6);
  limited_servers_run_accounts (servers, 3 * WORLD_SECOND, 0);
  for (int i = 0; i < 2; i++)
    served[i] = (double) servers->class_in_time[i] / servers->class_sent[i];
  printf ("in time, priority 0: %.3f, priority 2: %.3f\n", served[0], served[1]);
  ck_assert_double_lt (served[0], 0.95); /* there is not enough for all */
  ck_assert_double_ge (served[1], 0.8 * served[0]);
  ck_assert_double_ge (served[0], 0.97 * served[1]);
  stop_fleet (servers);
}
END_TEST

/* The switch that ends the shares alone, for comparisons. */
START_TEST (without_shares_the_criterion_is_missed)
{
  struct ability ability = measure_ability (0);
  struct served served
      = replay_load (&ability, PL_LOAD_MANAGEMENT_ON, PL_ROUTER_NO_SHARES, TROUBLE_NONE, 0);

  ck_assert_double_lt (served.usual, SERVED_RATIO_MIN);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "fair_share");
  TCase *fleet = tcase_create ("fleet");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, nothing_is_refused_while_there_is_room);
  tcase_add_test (tcase, use_above_the_level_is_cut_to_it);
  tcase_add_test (tcase, use_at_other_hosts_counts_until_it_expires);
  tcase_add_test (tcase, a_host_that_hears_nothing_decides_by_its_own_requests);
  tcase_add_test (tcase, the_level_rises_with_room_and_without_outcomes);
  tcase_add_test (tcase, late_retries_are_refused_under_contention_only);
  tcase_add_test (tcase, a_request_without_time_for_its_work_is_refused);
  tcase_add_test (tcase, a_long_pause_leaves_numbers);
  tcase_add_test (tcase, failures_tell_nothing_of_the_work_time);
  tcase_add_test (tcase, retry_after_grows_with_the_backlog_is_spread_and_bounded);
  tcase_set_timeout (fleet, 120);
  tcase_add_loop_test (fleet, usual_rates_are_served_in_time_beside_hot_accounts, 0, 3);
  tcase_add_loop_test (fleet, usual_rates_are_served_in_time_during_trouble, 0, 4);
  tcase_add_test (fleet, without_shares_the_criterion_is_missed);
  tcase_add_test (fleet, no_class_starves_and_none_is_put_behind_a_less_urgent_one);
  suite_add_tcase (suite, fleet);
  return suite_run (suite);
}
