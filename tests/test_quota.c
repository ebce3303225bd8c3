/* Enforcement of an account's rate over a fleet under floods, network partitions, restarts and lost
 * reports, in virtual time.  Guards against accounts that exceed their rate and against requests
 * within the rate that are refused. */
#include "internal/membership.h"
#include "internal/quota.h"
#include "suite.h"

#define HOSTS_MAX 12
#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define TICK_US (10 * MS)
#define WINDOW_TICKS 500 /* five seconds */
#define RUN_TICKS 3000
/* Time until each side of a partition counts the other as silent. */
#define SILENT_TICKS ((int) (PL_MEMBER_SILENT_AFTER_US / TICK_US))
#define REPORT_DELAY_TICKS 3 /* ticks from a report to its arrival */

struct report
{
  int to;
  int from;
  uint64_t incarnation;
  uint64_t admitted;
  int due;
};

struct quota_fleet
{
  int hosts;
  struct pl_quota quotas[HOSTS_MAX];
  uint64_t incarnations[HOSTS_MAX];
  GArray *reports;
  int partition_from; /* ticks in which the two halves of the fleet are partitioned */
  int partition_until;
  int lost_percent;
  int report_interval;     /* least number of ticks between two reports of a host */
  int reported[HOSTS_MAX]; /* tick of each host's last report */
  uint32_t random;
  int admitted[RUN_TICKS];
  int refused;
};

static uint32_t
next_random (struct quota_fleet *fleet)
{
  fleet->random = fleet->random * 1664525 + 1013904223;
  return fleet->random >> 8;
}

static void
start_host (struct quota_fleet *fleet, int host, double rate, int64_t now_us)
{
  pl_quota_init (&fleet->quotas[host], now_us);
  pl_quota_set_limits (&fleet->quotas[host], rate, rate, now_us);
  fleet->incarnations[host]++;
}

static struct quota_fleet *
quota_fleet_new (int hosts, double rate)
{
  struct quota_fleet *fleet = g_new0 (struct quota_fleet, 1);

  fleet->hosts = hosts;
  fleet->random = 1;
  fleet->reports = g_array_new (FALSE, FALSE, sizeof (struct report));
  for (int i = 0; i < hosts; i++)
    start_host (fleet, i, rate, 0);
  return fleet;
}

static void
quota_fleet_free (struct quota_fleet *fleet)
{
  for (int i = 0; i < fleet->hosts; i++)
    pl_quota_clear (&fleet->quotas[i]);
  g_array_free (fleet->reports, TRUE);
  g_free (fleet);
}

static void
receive_report (struct pl_quota *quota, uint64_t host, uint64_t incarnation, uint64_t admitted,
                int64_t resumed_us, int64_t now_us)
{
  const struct pl_quota_report report = {.scope = PL_QUOTA_HOST,
                                         .group = host,
                                         .sender = host,
                                         .incarnation = incarnation,
                                         .count = (uint32_t) admitted,
                                         .resumed_us = resumed_us,
                                         .is_counted = true};

  pl_quota_on_report (quota, &report, now_us);
}

static bool
is_partitioned (const struct quota_fleet *fleet, int a, int b, int tick)
{
  return tick >= fleet->partition_from && tick < fleet->partition_until
         && (a < fleet->hosts / 2) != (b < fleet->hosts / 2);
}

static void
send_reports (struct quota_fleet *fleet, int from, int tick)
{
  struct pl_quota *quota = &fleet->quotas[from];

  if (fleet->report_interval > 0 && tick - fleet->reported[from] < fleet->report_interval)
    return;
  if (!pl_quota_is_urgent (quota, PL_QUOTA_HOST, fleet->hosts, tick * TICK_US)
      && (tick % 50 != 0
          || !pl_quota_should_report (quota, PL_QUOTA_HOST, fleet->hosts, tick * TICK_US)))
    return;
  fleet->reported[from] = tick;
  pl_quota_record_report (quota, PL_QUOTA_HOST, tick * TICK_US);
  for (int to = 0; to < fleet->hosts; to++)
    {
      struct report report
          = {to, from, fleet->incarnations[from], quota->admitted, tick + REPORT_DELAY_TICKS};

      if (to != from && !is_partitioned (fleet, from, to, tick)
          && next_random (fleet) % 100 >= (uint32_t) fleet->lost_percent)
        g_array_append_val (fleet->reports, report);
    }
}

/* Returns when the sender was heard from again after a partition, which the membership learns from
 * its beacons. */
static int64_t
resumed_us (const struct quota_fleet *fleet, const struct report *report, int tick)
{
  bool was_partitioned
      = fleet->partition_until > 0 && tick >= fleet->partition_until
        && is_partitioned (fleet, report->to, report->from, fleet->partition_until - 1);

  return was_partitioned ? fleet->partition_until * TICK_US : 0;
}

/* Returns the fraction of the fleet that each host counts as silent. */
static double
silent_ratio (const struct quota_fleet *fleet, int tick)
{
  bool is_known = is_partitioned (fleet, 0, fleet->hosts - 1, tick - SILENT_TICKS);

  return is_known && is_partitioned (fleet, 0, fleet->hosts - 1, tick) ? 0.5 : 0;
}

static void
deliver_reports (struct quota_fleet *fleet, int tick)
{
  for (guint i = 0; i < fleet->reports->len; i++)
    {
      const struct report *report = &g_array_index (fleet->reports, struct report, i);

      if (report->due > tick)
        continue;
      receive_report (&fleet->quotas[report->to], (uint64_t) report->from + 1, report->incarnation,
                      report->admitted, resumed_us (fleet, report, tick), tick * TICK_US);
      g_array_remove_index_fast (fleet->reports, i--);
    }
}

/* Sends OFFERED requests per second to random hosts from tick FROM to tick UNTIL. */
static void
run (struct quota_fleet *fleet, int from, int until, double offered)
{
  double due = 0;

  for (int tick = from; tick < until; tick++)
    {
      deliver_reports (fleet, tick);
      for (due += offered * TICK_US / SECOND; due >= 1; due -= 1)
        {
          int host = (int) (next_random (fleet) % (uint32_t) fleet->hosts);

          if (pl_quota_admit (&fleet->quotas[host], silent_ratio (fleet, tick), tick * TICK_US))
            fleet->admitted[tick]++;
          else
            fleet->refused++;
        }
      for (int host = 0; host < fleet->hosts; host++)
        send_reports (fleet, host, tick);
    }
}

/* Checks the users' bound: over any five seconds at most the rate times five plus the burst, plus a
 * tenth of that, plus twenty. */
static void
check_windows (const struct quota_fleet *fleet, double rate)
{
  int sum = 0;

  for (int tick = 0; tick < RUN_TICKS; tick++)
    {
      sum += fleet->admitted[tick];
      if (tick >= WINDOW_TICKS)
        sum -= fleet->admitted[tick - WINDOW_TICKS];
      ck_assert_double_le (sum, (rate * 5 + rate) * 1.1 + 20);
    }
}

START_TEST (a_flood_stays_within_the_rate)
{
  static const double rates[] = {38, 121, 300};
  double rate = rates[_i];
  struct quota_fleet *fleet = quota_fleet_new (9, rate);

  run (fleet, 0, 1000, rate * 0.6);
  run (fleet, 1000, RUN_TICKS, rate * 5);
  check_windows (fleet, rate);
  quota_fleet_free (fleet);
}
END_TEST

/* In a fleet of 300 hosts the reports of a host are at least half a second apart. */
START_TEST (a_flood_stays_within_the_rate_when_reports_are_rare)
{
  static const double rates[] = {38, 121, 300};
  double rate = rates[_i];
  struct quota_fleet *fleet = quota_fleet_new (HOSTS_MAX, rate);

  fleet->report_interval = 54;
  run (fleet, 0, 1000, rate * 0.6);
  run (fleet, 1000, RUN_TICKS, rate * 5);
  check_windows (fleet, rate);
  quota_fleet_free (fleet);
}
END_TEST

START_TEST (use_within_the_rate_is_not_refused)
{
  static const int hosts[] = {4, 9, 12};
  struct quota_fleet *fleet = quota_fleet_new (hosts[_i], 60);

  run (fleet, 0, RUN_TICKS, 60 * 0.62);
  ck_assert_int_le (fleet->refused, 4);
  quota_fleet_free (fleet);
}
END_TEST

/* Guards against each side admitting the whole rate. */
START_TEST (both_sides_of_a_partition_stay_within_the_rate)
{
  struct quota_fleet *fleet = quota_fleet_new (8, 100);

  fleet->partition_from = 1000;
  fleet->partition_until = 2200;
  run (fleet, 0, RUN_TICKS, 400);
  check_windows (fleet, 100);
  quota_fleet_free (fleet);
}
END_TEST

/* What each side admits during a partition is within its share, so it must not be charged to the
 * other side afterwards. */
START_TEST (use_within_the_rate_is_not_refused_after_a_partition)
{
  struct quota_fleet *fleet = quota_fleet_new (8, 100);
  int refused_before;

  fleet->partition_from = 500;
  fleet->partition_until = 1700;
  run (fleet, 0, fleet->partition_until, 62);
  refused_before = fleet->refused;
  run (fleet, fleet->partition_until, RUN_TICKS, 62);
  ck_assert_int_le (fleet->refused - refused_before, 4);
  check_windows (fleet, 100);
  quota_fleet_free (fleet);
}
END_TEST

/* During a partition each side withholds the part of the refill that belongs to the other side.
 * This part covers what the other side admitted meanwhile, but not a flood afterwards. */
START_TEST (a_flood_after_a_partition_stays_within_the_rate)
{
  struct quota_fleet *fleet = quota_fleet_new (8, 100);

  fleet->partition_from = 500;
  fleet->partition_until = 1700;
  run (fleet, 0, fleet->partition_until, 62);
  run (fleet, fleet->partition_until, RUN_TICKS, 500);
  check_windows (fleet, 100);
  quota_fleet_free (fleet);
}
END_TEST

/* Guards against a full bucket after each restart. */
START_TEST (hosts_that_start_again_do_not_spend_the_burst_again)
{
  struct quota_fleet *fleet = quota_fleet_new (8, 100);

  run (fleet, 0, 1000, 400);
  for (int host = 0; host < 8; host++)
    {
      pl_quota_clear (&fleet->quotas[host]);
      start_host (fleet, host, 100, 1000 * TICK_US);
    }
  g_array_set_size (fleet->reports, 0);
  run (fleet, 1000, RUN_TICKS, 400);
  check_windows (fleet, 100);
  quota_fleet_free (fleet);
}
END_TEST

/* Reports carry cumulative counts, so that the next one makes up for a lost one. */
START_TEST (a_flood_stays_within_the_rate_when_reports_are_lost)
{
  struct quota_fleet *fleet = quota_fleet_new (9, 100);

  fleet->lost_percent = 10;
  run (fleet, 0, RUN_TICKS, 300);
  check_windows (fleet, 100);
  quota_fleet_free (fleet);
}
END_TEST

/* Guards against a charge for a report that arrives after a later one. */
START_TEST (an_old_report_changes_nothing)
{
  struct pl_quota quota = {0};
  double before;

  pl_quota_init (&quota, 0);
  pl_quota_set_limits (&quota, 10, 10, 0);
  receive_report (&quota, 1, 1, 5, 0, 0);
  receive_report (&quota, 1, 1, 8, 0, 0);
  before = quota.tokens;
  receive_report (&quota, 1, 1, 6, 0, 0);
  ck_assert_double_eq (quota.tokens, before);
  pl_quota_clear (&quota);
}
END_TEST

/* The first report of a group is counted whether it is about one host or is a sum over a domain or
 * the fleet.  Otherwise hosts that start together would miss each other's first requests. */
START_TEST (the_first_report_of_a_new_group_counts)
{
  struct pl_quota_report report = {.scope = (enum pl_quota_scope) _i,
                                   .group = 7,
                                   .sender = 1,
                                   .incarnation = 1,
                                   .count = 5,
                                   .is_counted = true};
  struct pl_quota quota = {0};
  double before;

  pl_quota_init (&quota, 0);
  pl_quota_set_limits (&quota, 40, 40, 0);
  pl_quota_admit (&quota, 0, SECOND);
  before = quota.tokens;
  pl_quota_on_report (&quota, &report, SECOND);
  ck_assert_double_eq (quota.tokens, before - report.count);
  /* Another sender's report of the same requests is not counted again. */
  report.sender = 2;
  pl_quota_on_report (&quota, &report, SECOND);
  ck_assert_double_eq (quota.tokens, before - report.count);
  pl_quota_clear (&quota);
}
END_TEST

static const double rates[] = {1e-300, 1e-9, 1, 1e300};

/* Guards against a wait that is negative, or undefined, as the time is beyond its type. */
START_TEST (the_wait_for_a_token_is_a_time_at_any_rate)
{
  struct pl_quota quota;
  int64_t wait_us;

  pl_quota_init (&quota, 0);
  pl_quota_set_limits (&quota, rates[_i], 1, 0);
  pl_quota_admit (&quota, 0, 1);
  pl_quota_admit (&quota, 0, 1);
  wait_us = pl_quota_token_wait_us (&quota);
  ck_assert_int_ge (wait_us, 0);
  ck_assert_int_le (wait_us, INT64_C (3600) * 1000000);
  pl_quota_clear (&quota);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "quota");

  tcase_add_loop_test (tcase, a_flood_stays_within_the_rate, 0, 3);
  tcase_add_loop_test (tcase, a_flood_stays_within_the_rate_when_reports_are_rare, 0, 3);
  tcase_add_loop_test (tcase, use_within_the_rate_is_not_refused, 0, 3);
  tcase_add_test (tcase, both_sides_of_a_partition_stay_within_the_rate);
  tcase_add_test (tcase, use_within_the_rate_is_not_refused_after_a_partition);
  tcase_add_test (tcase, a_flood_after_a_partition_stays_within_the_rate);
  tcase_add_test (tcase, hosts_that_start_again_do_not_spend_the_burst_again);
  tcase_add_test (tcase, a_flood_stays_within_the_rate_when_reports_are_lost);
  tcase_add_test (tcase, an_old_report_changes_nothing);
  tcase_add_loop_test (tcase, the_first_report_of_a_new_group_counts, 0, PL_QUOTA_SCOPES);
  tcase_add_loop_test (tcase, the_wait_for_a_token_is_a_time_at_any_rate, 0, G_N_ELEMENTS (rates));
  return suite_run (suite);
}
