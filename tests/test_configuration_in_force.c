/* A new configuration reaches all hosts in time while those that would pass it on fail: in
 * fleets of 84 to 300 hosts, whatever fails at the same moment. */
#include "router_fleet.h"
#include "suite.h"

/* The smallest Config of the users' sites; hosts that reach the store have it by then. */
#define IN_FORCE_US (2 * WORLD_SECOND)
/* By then all hosts have heard of each other. */
#define SETTLED_US (8 * WORLD_SECOND)

static struct router_fleet *
new_fleet (int hosts)
{
  bool is_large = hosts > 100;
  struct router_fleet *fleet
      = router_fleet_new (hosts, is_large ? router_fleet_domains : router_fleet_six_domains, true);

  if (is_large)
    fleet->step_us = 4 * WORLD_MS;
  router_fleet_run (fleet, SETTLED_US);
  return fleet;
}

static void
check_change_is_in_force (struct router_fleet *fleet, int64_t changed_us)
{
  router_fleet_run (fleet, changed_us + IN_FORCE_US - fleet->now_us);
  ck_assert_int_eq (router_fleet_count_missing (fleet), 0);
  router_fleet_free (fleet);
}

/* Makes host INDEX fail for good: without power its connections hang, else they are refused. */
static void
end_host (struct router_fleet *fleet, int index, bool loses_power)
{
  if (loses_power)
    router_fleet_cut_power (fleet, index);
  else
    router_fleet_kill (fleet, index, INT64_MAX);
}

static const int sizes[] = {84, 98, 300};

/* Guards against CONFIG: the survivors of a domain took hosts for its new delegates that had failed
 * together with the old ones, so that nobody told them of a configuration. */
START_TEST (a_domain_that_loses_its_first_hosts_gets_a_configuration_in_time)
{
  static const int losses[] = {2, 4, 7, 10};
  static const int delays_ms[] = {0, 600, 1300};
  int hosts = sizes[_i / 4];

  for (size_t d = 0; d < G_N_ELEMENTS (delays_ms); d++)
    for (int loses_power = 0; loses_power < 2; loses_power++)
      {
        struct router_fleet *fleet = new_fleet (hosts);
        int domain = (int) d % 3;

        for (int lost = 0; lost < losses[_i % 4]; lost++)
          end_host (fleet, domain + lost * fleet->domain_count, loses_power != 0);
        router_fleet_run (fleet, delays_ms[d] * WORLD_MS);
        router_fleet_change_configuration (fleet, fleet->version + 1);
        check_change_is_in_force (fleet, fleet->now_us);
      }
}
END_TEST

/* Returns the lowest host of REGION that has the newest configuration, or -1. */
static int
find_source (const struct router_fleet *fleet, const char *region)
{
  for (int i = 0; i < fleet->count; i++)
    if (fleet->hosts[i].router != NULL
        && strcmp (router_fleet_region_of (fleet, fleet->hosts[i].domain), region) == 0
        && router_fleet_held_version (&fleet->hosts[i]) == fleet->version)
      return i;
  return -1;
}

static bool
is_any_source_cut_off (const struct router_fleet *fleet)
{
  for (int i = 0; i < fleet->count; i++)
    if (fleet->hosts[i].is_cut_from_store)
      return true;
  return false;
}

/* Ends COUNT hosts of a region one after the other, each 1 to 4 ms after it, as the next one, has a
 * configuration that the store acknowledges now. */
static void
change_while_sources_fail (struct router_fleet *fleet, int count, bool loses_power, uint32_t seed)
{
  int64_t changed_us = fleet->now_us;
  int watcher = 0;
  const char *region;

  while (!fleet->hosts[watcher].watching)
    watcher++;
  region = router_fleet_region_of (fleet, fleet->hosts[watcher].domain);
  router_fleet_change_configuration (fleet, fleet->version + 1);
  for (int ended = 0; ended < count && fleet->now_us < changed_us + IN_FORCE_US;)
    {
      int source = find_source (fleet, region);

      router_fleet_run (fleet, WORLD_MS);
      if (source < 0)
        continue;
      router_fleet_run (fleet, router_fleet_next_random (&seed) % 4 * WORLD_MS);
      end_host (fleet, source, loses_power);
      ended++;
      router_fleet_run (fleet, (int64_t) (5 + router_fleet_next_random (&seed) % 60) * WORLD_MS);
    }
  check_change_is_in_force (fleet, changed_us);
}

/* Guards against CONFIG: the time after which a watcher noticed that it was cut off from the store
 * and those after which silent sources of rows were passed over added up to more than 2 s. */
START_TEST (silent_watchers_and_failing_sources_do_not_add_up)
{
  int hosts = sizes[_i / 5];
  int sources = _i % 5;

  for (uint32_t seed = 0; seed < 4; seed++)
    {
      struct router_fleet *fleet = new_fleet (hosts);

      for (int i = 0; i < hosts; i++)
        if (fleet->hosts[i].watching)
          router_fleet_cut_from_store (fleet, i);
      ck_assert (is_any_source_cut_off (fleet));
      change_while_sources_fail (fleet, sources, seed % 4 != 3, seed);
    }
}
END_TEST

START_TEST (sources_that_fail_one_after_the_other_do_not_hold_up_a_configuration)
{
  int hosts = sizes[_i / 3];
  int sources = 2 + _i % 3 * 2;

  for (uint32_t seed = 0; seed < 4; seed++)
    change_while_sources_fail (new_fleet (hosts), sources, seed % 4 != 3, seed);
}
END_TEST

/* Strong hosts, from which the others get their rows, refuse to send them or are slow. */
START_TEST (sources_that_refuse_or_are_slow_do_not_hold_up_a_configuration)
{
  static const enum router_fleet_relay relays[]
      = {ROUTER_FLEET_RELAY_REFUSES, ROUTER_FLEET_RELAY_IS_SLOW};
  struct router_fleet *fleet = new_fleet (sizes[_i / 2]);

  for (int i = 0; i < fleet->domain_count * ROUTER_FLEET_STRONG_PER_DOMAIN; i++)
    fleet->hosts[i].relay = relays[_i % 2];
  router_fleet_change_configuration (fleet, fleet->version + 1);
  check_change_is_in_force (fleet, fleet->now_us);
}
END_TEST

START_TEST (lost_beacons_do_not_hold_up_a_configuration)
{
  struct router_fleet *fleet = new_fleet (sizes[_i]);

  fleet->beacon_loss = 0.4;
  router_fleet_run (fleet, WORLD_SECOND);
  router_fleet_change_configuration (fleet, fleet->version + 1);
  check_change_is_in_force (fleet, fleet->now_us);
}
END_TEST

/* Hosts that start in a domain at the moment at which it loses its delegates. */
START_TEST (hosts_that_start_in_a_domain_without_delegates_get_a_configuration_in_time)
{
  struct router_fleet *fleet = new_fleet (sizes[_i]);
  int count = fleet->domain_count;

  for (int i = 0; i < 4; i++)
    router_fleet_kill (fleet, 1 + (6 + i) * count, 200 * WORLD_MS);
  for (int i = 0; i < 6; i++)
    router_fleet_cut_power (fleet, 1 + i * count);
  router_fleet_run (fleet, 500 * WORLD_MS);
  router_fleet_change_configuration (fleet, fleet->version + 1);
  check_change_is_in_force (fleet, fleet->now_us);
}
END_TEST

/* By then the survivors have noticed that their delegates are silent, and one has watched the store
 * for its region if the watcher is among them. */
#define REPLACED_US (2200 * WORLD_MS)
/* For a change that comes the regular way. */
#define RELAYED_US (700 * WORLD_MS)

/* Guards against survivors of a domain that took hosts for its new delegates of which they knew by
 * reports of the old ones only, as long as those reports held. */
START_TEST (a_domain_that_loses_its_first_hosts_has_delegates_again)
{
  static const int losses[] = {2, 4, 7, 10};
  int reads;

  for (int loses_power = 0; loses_power < 2; loses_power++)
    for (int domain = 0; domain < 3; domain++)
      {
        struct router_fleet *fleet = new_fleet (sizes[_i / 4]);

        for (int lost = 0; lost < losses[_i % 4]; lost++)
          end_host (fleet, domain + lost * fleet->domain_count, loses_power != 0);
        router_fleet_run (fleet, REPLACED_US);
        reads = fleet->store_reads;
        router_fleet_change_configuration (fleet, fleet->version + 1);
        router_fleet_run (fleet, RELAYED_US);
        ck_assert_int_eq (router_fleet_count_missing (fleet), 0);
        ck_assert_int_eq (fleet->store_reads, reads);
        router_fleet_free (fleet);
      }
}
END_TEST

/* The links of most entry hosts of the users' sites: 10 Mbit/s. */
#define LINK_BYTES_PER_SECOND 1.25e6
#define CHANGE_INTERVAL_US (400 * WORLD_MS)

/* Guards against CONFIG: hosts had a large configuration up to 24 s late, as its transfers were
 * doubled while they ran, until most of them timed out. */
START_TEST (a_large_configuration_is_in_force_in_time)
{
  static const int routes[] = {1400, 4200};
  g_autofree char *resources = router_fleet_make_routes (routes[_i / 2]);
  int changes = _i % 2 == 0 ? 1 : 3;
  struct router_fleet *fleet = new_fleet (84);

  fleet->link_bytes_per_second = LINK_BYTES_PER_SECOND;
  fleet->resources = resources;
  for (int i = 0; i < changes; i++)
    {
      if (i > 0)
        router_fleet_run (fleet, CHANGE_INTERVAL_US);
      router_fleet_change_configuration (fleet, fleet->version + 1);
    }
  check_change_is_in_force (fleet, fleet->now_us);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "configuration_in_force");

  tcase_add_loop_test (tcase, a_domain_that_loses_its_first_hosts_gets_a_configuration_in_time, 0,
                       12);
  tcase_add_loop_test (tcase, a_domain_that_loses_its_first_hosts_has_delegates_again, 0, 8);
  tcase_add_loop_test (tcase, silent_watchers_and_failing_sources_do_not_add_up, 0, 15);
  tcase_add_loop_test (tcase, sources_that_fail_one_after_the_other_do_not_hold_up_a_configuration,
                       0, 9);
  tcase_add_loop_test (tcase, sources_that_refuse_or_are_slow_do_not_hold_up_a_configuration, 0, 6);
  tcase_add_loop_test (tcase, lost_beacons_do_not_hold_up_a_configuration, 0, 3);
  tcase_add_loop_test (
      tcase, hosts_that_start_in_a_domain_without_delegates_get_a_configuration_in_time, 0, 3);
  tcase_add_loop_test (tcase, a_large_configuration_is_in_force_in_time, 0, 4);
  return suite_run (suite);
}
