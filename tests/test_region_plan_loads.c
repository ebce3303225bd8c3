/* Tests of the plans between regions in a fleet with as many hosts as the users' first deployment,
 * at other mean loads. */
#include "region_waves.h"
#include "suite.h"

#define HOSTS 84
#define SERVERS 140

/* Guards against hosts that each keep less than they could, by the noise of their few reports. */
START_TEST (waves_move_no_more_than_they_must_at_other_loads)
{
  static const double loads[] = {0.35, 0.4, 0.6};
  struct region_waves *waves = region_waves_new (HOSTS, SERVERS, loads[_i], REGION_WAVES_MAX_SHIFT);
  int bins;

  region_waves_run (waves, REGION_WAVES_S, REGION_WAVES_HEIGHT);
  region_waves_start_measuring (waves);
  region_waves_run (waves, REGION_WAVES_S, REGION_WAVES_HEIGHT);
  bins = region_waves_count (waves);
  ck_assert_double_le (region_waves_largest_shift (waves, bins), REGION_WAVES_MAX_SHIFT);
  ck_assert_int_le (region_waves_longest_overload (waves, bins), REGION_WAVES_WINDOW_BINS);
  ck_assert_int_eq (waves->servers->refused, 0);
  ck_assert_double_le (region_waves_sent_away (waves, bins), 1.1);
  region_waves_free (waves);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "region_plan_loads");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, waves_move_no_more_than_they_must_at_other_loads, 0, 3);
  return suite_run (suite);
}
