/* Start of a fleet: which routers watch the store, and how row updates reach the others.  Guards
 * against hosts without a configuration, and against too many calls to the store or to one host. */
#include "router_fleet.h"
#include "suite.h"

#define HOSTS 24
#define SEEDS 2
/* A host relays row updates to four hosts of its domain and, if it watches the store, to the first
 * host of each of the two domains. */
#define RELAYS_MAX 6

static const char *const domains[] = {"a-1=a", "a-2=a", NULL};

/* Each host that watches the store costs calls, so not all hosts of a starting fleet may watch it;
 * nor may they wait long for a configuration. */
START_TEST (few_hosts_watch_the_store_when_all_start_at_once)
{
  struct router_fleet *fleet = router_fleet_new (HOSTS, domains, false);

  router_fleet_run (fleet, ROUTER_FLEET_START_SPREAD_US + 500 * WORLD_MS);
  ck_assert_int_eq (router_fleet_count_configured (fleet), HOSTS);
  router_fleet_run (fleet, 5 * WORLD_SECOND);
  ck_assert_int_eq (router_fleet_count_watching (fleet), 1);
  ck_assert_int_le (fleet->watches_started, HOSTS / 6);
  router_fleet_free (fleet);
}
END_TEST

/* The watcher keeps watching the store when another host joins, whichever ranks first by hash. */
START_TEST (a_joining_host_does_not_replace_the_store_watcher)
{
  struct router_fleet *fleet = router_fleet_new (HOSTS, domains, false);
  int started;

  fleet->hosts[_i].starts_us += 8 * WORLD_SECOND;
  router_fleet_run (fleet, 7 * WORLD_SECOND);
  ck_assert_int_eq (router_fleet_count_watching (fleet), 1);
  started = fleet->watches_started;
  router_fleet_run (fleet, 6 * WORLD_SECOND);
  ck_assert_int_eq (router_fleet_count_configured (fleet), HOSTS);
  ck_assert_int_eq (fleet->watches_started, started);
  router_fleet_free (fleet);
}
END_TEST

/* A change reaches all hosts within 100 ms, and no host sends it to more than RELAYS_MAX. */
START_TEST (row_updates_spread_without_overloading_any_host)
{
  struct router_fleet *fleet = router_fleet_new (HOSTS, domains, false);

  router_fleet_run (fleet, 6 * WORLD_SECOND);
  for (int change = 1; change <= 5; change++)
    {
      for (int i = 0; i < HOSTS; i++)
        fleet->hosts[i].relayed = 0;
      router_fleet_change_configuration (fleet, fleet->version + 1);
      router_fleet_run (fleet, 100 * WORLD_MS);
      ck_assert_int_eq (router_fleet_count_configured (fleet), HOSTS);
      for (int i = 0; i < HOSTS; i++)
        ck_assert_int_le (fleet->hosts[i].relayed, RELAYS_MAX);
      router_fleet_run (fleet, 2 * WORLD_SECOND);
    }
  router_fleet_free (fleet);
}
END_TEST

/* Hosts whose source of row updates has failed fetch them from another. */
START_TEST (row_updates_bypass_a_failed_host)
{
  struct router_fleet *fleet = router_fleet_new (HOSTS, domains, false);
  int source = 0;

  router_fleet_run (fleet, 6 * WORLD_SECOND);
  while (!fleet->hosts[source].watching)
    source++;
  /* The watcher crashes, so it does not announce a shutdown. */
  router_fleet_kill (fleet, source, INT64_MAX);
  fleet->version++;
  router_fleet_run (fleet, 3 * WORLD_SECOND);
  ck_assert_int_eq (router_fleet_count_watching (fleet), 1);
  ck_assert_int_eq (router_fleet_count_configured (fleet), HOSTS - 1);
  router_fleet_free (fleet);
}
END_TEST

/* Most beacons carry no identity.  Still, all hosts of a domain know each other, and other domains
 * know its delegates. */
START_TEST (all_hosts_of_a_domain_discover_each_other)
{
  struct router_fleet *fleet = router_fleet_new (HOSTS, domains, false);

  router_fleet_run (fleet, 20 * WORLD_SECOND);
  for (int second = 0; second < 10; second++)
    {
      for (int i = 0; i < HOSTS; i++)
        {
          const char *addresses[HOSTS];

          ck_assert_int_eq (pl_router_select_hosts (fleet->hosts[i].router, "a-1", "a", addresses,
                                                    HOSTS, fleet->now_us),
                            fleet->hosts[i].domain == 0 ? HOSTS / 2 : PL_DELEGATES);
        }
      router_fleet_run (fleet, WORLD_SECOND);
    }
  router_fleet_free (fleet);
}
END_TEST

/* The seeds in the settings may be down. */
START_TEST (hosts_start_without_their_seeds)
{
  struct router_fleet *fleet = router_fleet_new (HOSTS, domains, false);

  for (int i = 0; i < SEEDS; i++)
    fleet->hosts[i].starts_us += 20 * WORLD_SECOND;
  router_fleet_run (fleet, ROUTER_FLEET_START_SPREAD_US + 500 * WORLD_MS);
  for (int i = SEEDS; i < HOSTS; i++)
    ck_assert_int_eq (router_fleet_held_version (&fleet->hosts[i]), ROUTER_FLEET_FIRST_VERSION);
  router_fleet_run (fleet, 25 * WORLD_SECOND);
  ck_assert_int_eq (router_fleet_count_configured (fleet), HOSTS);
  ck_assert_int_eq (router_fleet_count_watching (fleet), 1);
  router_fleet_free (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "router_start");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, few_hosts_watch_the_store_when_all_start_at_once);
  tcase_add_loop_test (tcase, a_joining_host_does_not_replace_the_store_watcher, 0, HOSTS);
  tcase_add_test (tcase, row_updates_spread_without_overloading_any_host);
  tcase_add_test (tcase, row_updates_bypass_a_failed_host);
  tcase_add_test (tcase, all_hosts_of_a_domain_discover_each_other);
  tcase_add_test (tcase, hosts_start_without_their_seeds);
  return suite_run (suite);
}
