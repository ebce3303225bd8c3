/* When a host that does not watch the store reads it. */
#include "router_world.h"
#include "suite.h"

#define BEACON_PERIOD_US (500 * WORLD_MS)
/* Longer than an unconfirmed delegate waits, shorter than its peers count as live. */
#define UNCONFIRMED_US (1400 * WORLD_MS)

static struct world *world;
static struct pl_beacon watcher; /* a stronger peer of the same domain, which watches the store */

/* Lets the watcher send its beacons for US; they tell CONFIRMED_AGE_US, growing if IS_STUCK. */
static void
hear_watcher (int64_t us, int64_t confirmed_age_us, bool is_stuck)
{
  for (int64_t passed_us = 0; passed_us < us; passed_us += BEACON_PERIOD_US)
    {
      watcher.confirmed_age_us = confirmed_age_us + (is_stuck ? passed_us : 0);
      world_receive_beacon (world, &watcher);
      world_advance (world, BEACON_PERIOD_US);
    }
}

static void
set_up (void)
{
  world = world_new ();
  world_put_config (world, 3, NULL);
  watcher = world_peer_beacon ("strong", "a-1");
  watcher.self.capacity = 1000;
  watcher.is_delegate = true;
  watcher.watching = true;
  watcher.held[PL_TABLE_CONTROL] = pl_router_held_version (world->router, PL_TABLE_CONTROL);
  hear_watcher (4 * WORLD_SECOND, 0, false);
  ck_assert (!world->watching);
  ck_assert_int_eq (world->store_reads, 0);
}

static void
tear_down (void)
{
  world_free (world);
}

static void
end_read (bool succeeded)
{
  struct pl_router_event event
      = {.type = PL_ROUTER_STORE_READ, .u.store_read_succeeded = succeeded};

  world_step (world, &event);
}

START_TEST (a_host_that_is_told_nothing_reads_the_store)
{
  world_advance (world, UNCONFIRMED_US - BEACON_PERIOD_US);
  ck_assert_int_eq (world->store_reads, 1);
}
END_TEST

START_TEST (a_host_whose_watcher_is_told_nothing_reads_the_store)
{
  hear_watcher (UNCONFIRMED_US, 0, true);
  ck_assert_int_eq (world->store_reads, 1);
}
END_TEST

/* A peer that has newer rows does not confirm those held here. */
START_TEST (a_host_that_can_not_fetch_newer_rows_reads_the_store)
{
  watcher.held[PL_TABLE_CONTROL]++;
  hear_watcher (UNCONFIRMED_US, 0, false);
  ck_assert_int_eq (world->store_reads, 1);
}
END_TEST

START_TEST (a_read_confirms_the_rows_and_is_told)
{
  hear_watcher (UNCONFIRMED_US, 0, true);
  end_read (true);
  ck_assert_int_le (world->last_beacon.confirmed_age_us, BEACON_PERIOD_US);
  hear_watcher (WORLD_SECOND, 3 * WORLD_SECOND, true);
  ck_assert_int_eq (world->store_reads, 1);
  hear_watcher (WORLD_SECOND, 4 * WORLD_SECOND, true);
  ck_assert_int_eq (world->store_reads, 2);
}
END_TEST

/* Hosts must not overload a store that is down. */
START_TEST (reads_that_fail_become_rare)
{
  int reads = 0;

  for (int i = 0; i < 40; i++)
    {
      hear_watcher (BEACON_PERIOD_US, 10 * WORLD_SECOND, false);
      if (world->store_reads > reads)
        end_read (false);
      reads = world->store_reads;
    }
  ck_assert_int_ge (reads, 5);
  ck_assert_int_le (reads, 9);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "freshness");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_host_that_is_told_nothing_reads_the_store);
  tcase_add_test (tcase, a_host_whose_watcher_is_told_nothing_reads_the_store);
  tcase_add_test (tcase, a_host_that_can_not_fetch_newer_rows_reads_the_store);
  tcase_add_test (tcase, a_read_confirms_the_rows_and_is_told);
  tcase_add_test (tcase, reads_that_fail_become_rare);
  return suite_run (suite);
}
