/* Many routers that start at once: who reads the store, and how news reach the others. */
#include "router_fleet.h"
#include "suite.h"

#define HOSTS 24
#define SEEDS 2
/* A host gives news to four hosts of its domain and, if it reads the store, to the first of each of
 * two domains. */
#define RELAYS_MAX 6

static const char *const domains[] = {"a-1=a", "a-2=a", NULL};

/* Each host that reads the store costs calls, so a fleet that starts must not have all of them
 * read it; nor may they wait long for a configuration. */
START_TEST (few_hosts_read_the_store_when_all_start_at_once)
{
  struct fleet *fleet = fleet_new (HOSTS, domains, false);

  fleet_run (fleet, FLEET_START_SPREAD_US + 500 * WORLD_MS);
  ck_assert_int_eq (fleet_count_configured (fleet), HOSTS);
  fleet_run (fleet, 5 * WORLD_SECOND);
  ck_assert_int_eq (fleet_count_watching (fleet), 1);
  ck_assert_int_le (fleet->watches_begun, HOSTS / 6);
  fleet_free (fleet);
}
END_TEST

/* Whoever reads the store goes on when another joins, whichever of them is first by hash. */
START_TEST (a_host_that_joins_leaves_the_reader_alone)
{
  struct fleet *fleet = fleet_new (HOSTS, domains, false);
  int begun;

  fleet->hosts[_i].starts_us += 8 * WORLD_SECOND;
  fleet_run (fleet, 7 * WORLD_SECOND);
  ck_assert_int_eq (fleet_count_watching (fleet), 1);
  begun = fleet->watches_begun;
  fleet_run (fleet, 6 * WORLD_SECOND);
  ck_assert_int_eq (fleet_count_configured (fleet), HOSTS);
  ck_assert_int_eq (fleet->watches_begun, begun);
  fleet_free (fleet);
}
END_TEST

/* A change reaches all hosts soon, and no host has to send it to many. */
START_TEST (news_spreads_without_loading_any_host)
{
  struct fleet *fleet = fleet_new (HOSTS, domains, false);

  fleet_run (fleet, 6 * WORLD_SECOND);
  for (int change = 1; change <= 5; change++)
    {
      for (int i = 0; i < HOSTS; i++)
        fleet->hosts[i].relayed = 0;
      fleet_change (fleet, fleet->version + 1);
      fleet_run (fleet, 100 * WORLD_MS);
      ck_assert_int_eq (fleet_count_configured (fleet), HOSTS);
      for (int i = 0; i < HOSTS; i++)
        ck_assert_int_le (fleet->hosts[i].relayed, RELAYS_MAX);
      fleet_run (fleet, 2 * WORLD_SECOND);
    }
  fleet_free (fleet);
}
END_TEST

/* Without the host that others get their news from, they ask another. */
START_TEST (news_goes_round_a_host_that_does_not_pass_them_on)
{
  struct fleet *fleet = fleet_new (HOSTS, domains, false);
  int source = 0;

  fleet_run (fleet, 6 * WORLD_SECOND);
  while (!fleet->hosts[source].watching)
    source++;
  /* The reader ends; it took no leave. */
  fleet_kill (fleet, source, INT64_MAX);
  fleet->version++;
  fleet_run (fleet, 3 * WORLD_SECOND);
  ck_assert_int_eq (fleet_count_watching (fleet), 1);
  ck_assert_int_eq (fleet_count_configured (fleet), HOSTS - 1);
  fleet_free (fleet);
}
END_TEST

/* Most beacons do not say who they are from; everybody of a domain is known there all the same, and
 * in other domains those who speak for it. */
START_TEST (all_hosts_of_a_domain_come_to_know_each_other)
{
  struct fleet *fleet = fleet_new (HOSTS, domains, false);

  fleet_run (fleet, 20 * WORLD_SECOND);
  for (int second = 0; second < 10; second++)
    {
      for (int i = 0; i < HOSTS; i++)
        {
          const char *addresses[HOSTS];

          ck_assert_int_eq (pl_router_name_hosts (fleet->hosts[i].router, "a-1", "a", addresses,
                                                  HOSTS, fleet->now_us),
                            fleet->hosts[i].domain == 0 ? HOSTS / 2 : PL_DELEGATES);
        }
      fleet_run (fleet, WORLD_SECOND);
    }
  fleet_free (fleet);
}
END_TEST

/* The seeds in the settings may be down. */
START_TEST (hosts_start_without_their_seeds)
{
  struct fleet *fleet = fleet_new (HOSTS, domains, false);

  for (int i = 0; i < SEEDS; i++)
    fleet->hosts[i].starts_us += 20 * WORLD_SECOND;
  fleet_run (fleet, FLEET_START_SPREAD_US + 500 * WORLD_MS);
  for (int i = SEEDS; i < HOSTS; i++)
    ck_assert_int_eq (fleet_held (&fleet->hosts[i]), FLEET_FIRST_VERSION);
  fleet_run (fleet, 25 * WORLD_SECOND);
  ck_assert_int_eq (fleet_count_configured (fleet), HOSTS);
  ck_assert_int_eq (fleet_count_watching (fleet), 1);
  fleet_free (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "router_start");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, few_hosts_read_the_store_when_all_start_at_once);
  tcase_add_loop_test (tcase, a_host_that_joins_leaves_the_reader_alone, 0, HOSTS);
  tcase_add_test (tcase, news_spreads_without_loading_any_host);
  tcase_add_test (tcase, news_goes_round_a_host_that_does_not_pass_them_on);
  tcase_add_test (tcase, all_hosts_of_a_domain_come_to_know_each_other);
  tcase_add_test (tcase, hosts_start_without_their_seeds);
  return suite_run (suite);
}
