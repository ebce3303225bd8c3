/* Stateful fuzzer: injects random faults into a simulated fleet of reducers (fleet/), which an
 * oracle checks.
 *
 * Without arguments it runs fixed seeds, and checks that the oracle detects each disabled
 * mechanism.  --seed and --runs choose other and longer runs; a failing run is shrunk.
 */
#include "fleet/fleet.h"
#include "suite.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND INT64_C (1000000)
#define LENGTH_US (20 * SECOND)
#define FAULTS 8

static struct fleet_options
make_options (uint32_t seed, unsigned switches)
{
  struct fleet_options options
      = {.seed = seed, .length_us = LENGTH_US, .switches = switches, .load = 1.0};

  fleet_draw_faults (&options, FAULTS);
  return options;
}

START_TEST (random_faults_violate_no_invariant)
{
  struct fleet_options options = make_options ((uint32_t) _i, 0);
  struct fleet_result result;

  fleet_run (&options, &result);
  if (result.violation[0] != '\0')
    {
      fleet_shrink (&options, &result);
      fleet_print_result (&options, &result);
    }
  ck_assert_str_eq (result.violation, "");
  ck_assert_uint_gt (result.served, 100);
}
END_TEST

/* A mechanism, the switch that disables it, and the faults that it protects against.  With the
 * switch set the oracle must report a violation: a check that cannot fail proves nothing. */
struct mechanism_case
{
  const char *violation; /* part of the expected message of the oracle */
  unsigned switches;
  double load;
  int fault_count;
  struct fleet_fault faults[4];
};

static const struct mechanism_case mechanism_cases[] = {
    {"ran twice",
     PL_SWITCH_NO_CLAIMS,
     1.5,
     1,
     {{FLEET_STORE_LOSES_ANSWERS, SECOND, 5 * SECOND, 0}}},
    {"rate and burst",
     PL_SWITCH_NO_FENCE,
     1.5,
     4,
     {{FLEET_REPLACE, 1 * SECOND, 3 * SECOND / 2, 0},
      {FLEET_REPLACE, 4 * SECOND, 3 * SECOND / 2, 1},
      {FLEET_REPLACE, 7 * SECOND, 3 * SECOND / 2, 2},
      {FLEET_REPLACE, 10 * SECOND, 3 * SECOND / 2, 3}}},
    {"rate and burst",
     PL_SWITCH_NO_SHARE_CONFIRMATION,
     6.0,
     2,
     {{FLEET_PARTITION_DOMAIN, SECOND, 15 * SECOND, 2},
      {FLEET_RESIZE_HOST_LIST, 2 * SECOND, 14 * SECOND, 0}}},
    {"over its cap",
     PL_SWITCH_NO_LINK_BUDGET,
     4.0,
     4,
     {{FLEET_CRASH_SERVER, SECOND, 15 * SECOND, 0},
      {FLEET_CRASH_SERVER, SECOND, 15 * SECOND, 1},
      {FLEET_CRASH_SERVER, SECOND, 15 * SECOND, 4},
      {FLEET_CRASH_SERVER, SECOND, 15 * SECOND, 5}}},
    {"one request cost",
     PL_SWITCH_NO_QUARANTINE,
     1.5,
     1,
     {{FLEET_CRASHING_REQUEST, SECOND, 9 * SECOND, 0}}},
    {"key withdrawn",
     PL_SWITCH_FREEZE_CONFIG,
     1.0,
     1,
     {{FLEET_RACE_RELEASES, SECOND, 3 * SECOND / 2, 0}}},
    {"server drained",
     PL_SWITCH_FREEZE_CONFIG,
     1.0,
     1,
     {{FLEET_RACE_RELEASES, SECOND, 3 * SECOND / 2, 1}}},
};

/* Runs the faults of MECHANISM with SWITCHES, over up to 10 seeds.  Stops at the first violation,
 * with SWITCHES set at the first expected one. */
static void
run_mechanism_case (const struct mechanism_case *mechanism, unsigned switches, bool with_trace,
                    struct fleet_result *result)
{
  memset (result, 0, sizeof *result);
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct fleet_options options = {.seed = seed,
                                      .length_us = LENGTH_US,
                                      .switches = switches,
                                      .load = mechanism->load,
                                      .trace = with_trace,
                                      .fault_count = mechanism->fault_count};

      memcpy (options.faults, mechanism->faults, sizeof mechanism->faults);
      fleet_run (&options, result);
      if (with_trace)
        printf ("seed %u: %s\n", seed, result->violation);
      if (strstr (result->violation, mechanism->violation) != NULL
          || (switches == 0 && result->violation[0] != '\0'))
        break;
    }
}

START_TEST (disabling_a_mechanism_is_detected)
{
  struct fleet_result result;

  run_mechanism_case (&mechanism_cases[_i], mechanism_cases[_i].switches, false, &result);
  printf ("with switch %#x: %s\n", mechanism_cases[_i].switches, result.violation);
  ck_assert_ptr_nonnull (strstr (result.violation, mechanism_cases[_i].violation));
  run_mechanism_case (&mechanism_cases[_i], 0, false, &result);
  ck_assert_str_eq (result.violation, "");
}
END_TEST

/* Targets of the users for rate budgets; measured in virtual time, with a delay of 12 ms between
 * regions, and 2 % of the messages delivered 0 to 2 times. */
#define MIN_SERVED_RATIO 0.95
#define MAX_REFUSED_RATIO 0.001
#define STEADY_SEEDS 4
#define STEADY_US (100 * SECOND)

static const int steady_rates[] = {40, 6, 150};

/* Guards against a host that can use no more than its share although the other hosts are idle. */
START_TEST (loans_let_one_host_use_the_whole_rate)
{
  struct fleet_options options
      = {.seed = 1, .length_us = STEADY_US, .account_rate_ratio = 1.5, .one_host = true};
  struct fleet_result result;

  fleet_run (&options, &result);
  ck_assert_str_eq (result.violation, "");
  for (size_t i = 0; i < G_N_ELEMENTS (steady_rates); i++)
    ck_assert_double_ge ((double) result.served_by_account[i] * 1e6 / STEADY_US,
                         MIN_SERVED_RATIO * steady_rates[i]);
  options.switches = PL_SWITCH_NO_LOANS;
  fleet_run (&options, &result);
  ck_assert_double_lt ((double) result.served_by_account[0] * 1e6 / STEADY_US,
                       MIN_SERVED_RATIO * steady_rates[0]);
}
END_TEST

static double
measure_refused_ratio (unsigned switches)
{
  uint64_t within_rate = 0;
  uint64_t refused = 0;

  for (uint32_t seed = 1; seed <= STEADY_SEEDS; seed++)
    {
      struct fleet_options options
          = {.seed = seed, .length_us = STEADY_US, .switches = switches, .account_rate_ratio = 0.9};
      struct fleet_result result;

      fleet_run (&options, &result);
      ck_assert_str_eq (result.violation, "");
      within_rate += result.within_rate;
      refused += result.refused_within_rate;
    }
  return (double) refused / (double) within_rate;
}

/* Guards against a host that refuses requests while other hosts have tokens left. */
START_TEST (few_requests_within_rate_are_refused)
{
  ck_assert_double_lt (measure_refused_ratio (0), MAX_REFUSED_RATIO);
  ck_assert_double_gt (measure_refused_ratio (PL_SWITCH_NO_LOANS), MAX_REFUSED_RATIO);
}
END_TEST

static int
run_suite (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "fuzz");

  tcase_add_loop_test (tcase, random_faults_violate_no_invariant, 1, 25);
  tcase_add_loop_test (tcase, disabling_a_mechanism_is_detected, 0,
                       (int) G_N_ELEMENTS (mechanism_cases));
  tcase_add_test (tcase, loans_let_one_host_use_the_whole_rate);
  tcase_add_test (tcase, few_requests_within_rate_are_refused);
  return suite_run (suite);
}

/* Measures rate budgets without faults and prints the figures; checks nothing. */
static int
run_steady (uint32_t seed, double rate_ratio, bool one_host, unsigned switches)
{
  struct fleet_options options = {.seed = seed,
                                  .length_us = 200 * SECOND,
                                  .switches = switches,
                                  .account_rate_ratio = rate_ratio,
                                  .one_host = one_host};
  struct fleet_result result;

  fleet_run (&options, &result);
  printf ("%s part %.2f%s switches %d: requests %lu inside %lu refused inside %.4f%% "
          "served/s %.2f %.2f %.2f mean wait %.1f ms messages/s %.1f loans/s %.1f\n",
          result.violation, rate_ratio, one_host ? " at one host" : "", (int) switches,
          result.requests, result.within_rate,
          100.0 * (double) result.refused_within_rate / (double) result.within_rate,
          (double) result.served_by_account[0] / 200, (double) result.served_by_account[1] / 200,
          (double) result.served_by_account[2] / 200,
          (double) result.total_wait_us / 1e3 / (double) result.served,
          (double) result.messages / 200, (double) result.loans / 200);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  int seed = 0;
  int runs = 1;
  int faults = FAULTS;
  int mechanism = -1;
  int steady = 0;
  int switches = 0;
  gboolean one_host = FALSE;
  gboolean safe = FALSE;
  gboolean with_trace = FALSE;
  GOptionEntry entries[] = {
      {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "First seed of a long run", "N"},
      {"runs", 0, 0, G_OPTION_ARG_INT, &runs, "Number of seeds", "N"},
      {"faults", 0, 0, G_OPTION_ARG_INT, &faults, "Faults in each run", "N"},
      {"broken", 0, 0, G_OPTION_ARG_INT, &mechanism, "Run one mechanism's case with its switch",
       "N"},
      {"steady", 0, 0, G_OPTION_ARG_INT, &steady,
       "Measure rate budgets with each account at this percentage of its rate", "N"},
      {"one-host", 0, 0, G_OPTION_ARG_NONE, &one_host,
       "With --steady: send all requests to one host", NULL},
      {"switches", 0, 0, G_OPTION_ARG_INT, &switches, "With --steady: mechanisms to disable", "N"},
      {"safe", 0, 0, G_OPTION_ARG_NONE, &safe, "With --broken: leave the switch unset", NULL},
      {"trace", 0, 0, G_OPTION_ARG_NONE, &with_trace, "Print a trace", NULL},
      {NULL},
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- stateful fuzzing");

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || sodium_init () < 0)
    return 2;
  if (steady > 0)
    return run_steady ((uint32_t) MAX (seed, 1), steady / 100.0, one_host, (unsigned) switches);
  if (mechanism >= 0 && mechanism < (int) G_N_ELEMENTS (mechanism_cases))
    {
      struct fleet_result result;

      run_mechanism_case (&mechanism_cases[mechanism],
                          safe ? 0 : mechanism_cases[mechanism].switches, with_trace, &result);
      printf ("%s: requests %lu served %lu runs %lu forwards %lu\n", result.violation,
              result.requests, result.served, result.runs, result.forwards);
      return EXIT_SUCCESS;
    }
  if (seed == 0)
    return run_suite ();
  for (int i = 0; i < runs; i++)
    {
      struct fleet_options options
          = {.seed = (uint32_t) (seed + i), .length_us = LENGTH_US, .load = 1.0};
      struct fleet_result result;

      fleet_draw_faults (&options, faults);
      options.trace = with_trace;
      fleet_run (&options, &result);
      if (result.violation[0] != '\0')
        {
          options.trace = FALSE;
          fleet_print_result (&options, &result);
          fleet_shrink (&options, &result);
          fleet_print_result (&options, &result);
          return EXIT_FAILURE;
        }
      printf ("seed %d: steps %lu requests %lu served %lu runs %lu not-run %lu unknown %lu "
              "loans %lu versions %ld\n",
              seed + i, result.steps, result.requests, result.served, result.runs,
              result.refused_not_run, result.refused_unknown, result.loans, result.versions);
    }
  return EXIT_SUCCESS;
}
