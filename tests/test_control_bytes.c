/* Measures control traffic per host in fleets of 30 and of 300 hosts.  Guards against control
 * traffic that grows with the number of hosts. */
#include "router_fleet.h"
#include "suite.h"

#define HOSTS 300
#define HOSTS_FEW 30
/* The users' target for the mean per host. */
#define CONTROL_BYTES_PER_SECOND 2000
/* The mean of 300 hosts may be this many times that of 30. */
#define GROWTH_MAX 1.2
#define REQUESTS_PER_SECOND 2600

/* Sends a request of a random account to a random strong host. */
static void
send_random_request (struct router_fleet *fleet, uint32_t *state)
{
  int host = (int) (router_fleet_next_random (state)
                    % (ROUTER_FLEET_DOMAINS * ROUTER_FLEET_STRONG_PER_DOMAIN));
  char key[16];

  g_snprintf (key, sizeof key, "key-%u", router_fleet_next_random (state) % ROUTER_FLEET_ACCOUNTS);
  if (fleet->hosts[host].router != NULL)
    router_fleet_send_request (fleet, host, key);
}

/* Returns the mean control bytes per host and second in ten seconds of traffic. */
static double
control_bytes (int hosts)
{
  struct router_fleet *fleet = router_fleet_new (hosts, router_fleet_domains, true);
  g_autofree char *resources = router_fleet_make_resources (22, 22);
  uint32_t state = 1;
  uint64_t sent = 0;

  fleet->resources = resources;
  fleet->step_us = 5 * WORLD_MS;
  router_fleet_run (fleet, 10 * WORLD_SECOND);
  for (int i = 0; i < hosts; i++)
    fleet->hosts[i].bytes_sent = 0;
  for (int tick = 0; tick < 2000; tick++)
    {
      for (int i = 0; i < REQUESTS_PER_SECOND / 200; i++)
        send_random_request (fleet, &state);
      router_fleet_run (fleet, 5 * WORLD_MS);
    }
  for (int i = 0; i < hosts; i++)
    sent += fleet->hosts[i].bytes_sent;
  router_fleet_free (fleet);
  return (double) sent / hosts / 10;
}

START_TEST (control_costs_a_host_the_same_in_a_large_fleet)
{
  double few = control_bytes (HOSTS_FEW);
  double many = control_bytes (HOSTS);

  printf ("control bytes a host and second: %.0f of %d hosts, %.0f of %d\n", few, HOSTS_FEW, many,
          HOSTS);
  ck_assert_double_le (many, CONTROL_BYTES_PER_SECOND);
  ck_assert_double_le (many, few * GROWTH_MAX);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "control_bytes");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, control_costs_a_host_the_same_in_a_large_fleet);
  return suite_run (suite);
}
