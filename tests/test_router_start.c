/* Many routers that start at once, with beacons, relays and the store between them in virtual time.
 */
#include "router_world.h"
#include "suite.h"

#include <string.h>

#define HOSTS 24
#define SEEDS 2
#define START_SPREAD_US (300 * WORLD_MS)
#define DATAGRAM_US (2 * WORLD_MS)
#define STORE_ANSWER_US (5 * WORLD_MS)
#define STEP_US WORLD_MS
#define FIRST_VERSION 7
/* A host gives news to four hosts of its domain and, if it reads the store, to the first of each of
 * two domains. */
#define RELAYS_MAX 6

static const char *const domains[] = {"a-1=a", "a-2=a", NULL};
static const char *const seeds[SEEDS + 1] = {"10.0.0.0:7600", "10.0.0.1:7600", NULL};

struct host
{
  struct pl_router *router; /* NULL: it has not started */
  struct pl_router_effects effects;
  struct pl_regions regions;
  char name[16];
  char address[PL_ADDRESS_CHARS];
  int64_t starts_us;
  bool watching;
  int relayed; /* answers to peers */
};

enum message_type
{
  MESSAGE_BEACON,
  MESSAGE_STORE,
  MESSAGE_RELAY,
};

struct message
{
  enum message_type type;
  int64_t due_us;
  int to;
  int version; /* of the configuration; 0: none */
  struct pl_beacon *beacon;
};

struct fleet
{
  struct host hosts[HOSTS];
  GArray *messages; /* of struct message */
  int64_t now_us;
  int version; /* of the configuration in the store */
  int watches_begun;
};

static int
find_region (void *data, const char *region)
{
  struct host *host = data;

  return pl_router_region (host->router, region);
}

static int
find_host (const struct fleet *fleet, const char *address)
{
  for (int i = 0; i < HOSTS; i++)
    if (strcmp (fleet->hosts[i].address, address) == 0)
      return i;
  return -1;
}

static void
post (struct fleet *fleet, enum message_type type, int to, int version, int64_t delay_us)
{
  struct message message
      = {.type = type, .to = to, .version = version, .due_us = fleet->now_us + delay_us};

  g_array_append_val (fleet->messages, message);
}

/* Returns 0 for a host that does not run. */
static int
held_version (const struct host *host)
{
  return host->router != NULL ? (int) pl_router_held (host->router, PL_TABLE_CONTROL) : 0;
}

static void
take_effect (struct fleet *fleet, int index, const struct pl_router_effect *effect)
{
  struct host *host = &fleet->hosts[index];
  struct message message = {.type = MESSAGE_BEACON, .due_us = fleet->now_us + DATAGRAM_US};
  int peer;

  switch (effect->type)
    {
    case PL_ROUTER_TELL:
      message.to = find_host (fleet, effect->u.tell.address);
      message.beacon = g_memdup2 (effect->u.tell.beacon, sizeof *effect->u.tell.beacon);
      g_array_append_val (fleet->messages, message);
      break;
    case PL_ROUTER_WATCH:
      host->watching = effect->u.watch;
      fleet->watches_begun += host->watching;
      if (host->watching)
        post (fleet, MESSAGE_STORE, index, fleet->version, STORE_ANSWER_US);
      break;
    case PL_ROUTER_FETCH:
      peer = find_host (fleet, effect->u.fetch.address);
      fleet->hosts[peer].relayed++;
      post (fleet, MESSAGE_RELAY, index, held_version (&fleet->hosts[peer]), 2 * DATAGRAM_US);
      break;
    default:
      break;
    }
}

static void
step (struct fleet *fleet, int index, struct pl_router_event *event)
{
  struct host *host = &fleet->hosts[index];

  event->now_us = fleet->now_us;
  pl_router_step (host->router, event, &host->effects);
  for (int i = 0; i < host->effects.count; i++)
    take_effect (fleet, index, &host->effects.items[i]);
  pl_router_effects_clear (&host->effects);
}

static void
give_config (struct fleet *fleet, int index, int version, bool from_peer)
{
  g_autofree char *config = g_strdup_printf ("{\"Version\":\"r%d\",\"Resources\":[]}", version);
  struct pl_row row = {"config", config, strlen (config), version};
  struct pl_router_event event = {
      .type = PL_ROUTER_ROWS,
      .u.rows = {.table = PL_TABLE_CONTROL,
                 .is_whole = true,
                 .from_peer = from_peer,
                 .version = version,
                 .rows = &row,
                 .count = 1},
  };

  step (fleet, index, &event);
}

static void
deliver (struct fleet *fleet, const struct message *message)
{
  struct pl_router_event event = {.type = PL_ROUTER_BEACON, .u.beacon = message->beacon};

  if (message->to < 0 || fleet->hosts[message->to].router == NULL)
    return;
  switch (message->type)
    {
    case MESSAGE_BEACON:
      step (fleet, message->to, &event);
      break;
    case MESSAGE_STORE:
      give_config (fleet, message->to, message->version, false);
      break;
    case MESSAGE_RELAY:
      if (message->version > 0)
        give_config (fleet, message->to, message->version, true);
      event.type = PL_ROUTER_RELAY_DONE;
      step (fleet, message->to, &event);
      break;
    }
}

static void
deliver_due (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->messages->len; i++)
    {
      struct message message = g_array_index (fleet->messages, struct message, i);

      if (message.due_us > fleet->now_us)
        continue;
      g_array_remove_index (fleet->messages, i--);
      deliver (fleet, &message);
      g_free (message.beacon);
    }
}

static void
start_host (struct fleet *fleet, int index)
{
  struct host *host = &fleet->hosts[index];
  struct pl_router_options options = {
      .name = host->name,
      .domain = index % 2 == 0 ? "a-1" : "a-2",
      .caller_address = host->address,
      .peer_address = host->address,
      .relay_address = host->address,
      .domains = domains,
      .seeds = seeds,
      .incarnation = 1,
      .capacity = 200,
      .now_us = fleet->now_us,
      .grace_us = 6 * WORLD_SECOND,
      .retry_ratio = 0.2,
      .retry_slack = 50,
      .decode = pl_platform_dialect.decode_row,
  };

  host->regions.find = find_region;
  host->regions.data = host;
  options.decode_data = &host->regions;
  host->router = pl_router_new (&options);
}

static void
run (struct fleet *fleet, int64_t us)
{
  int64_t until_us = fleet->now_us + us;
  struct pl_router_event tick = {.type = PL_ROUTER_TICK};

  for (; fleet->now_us < until_us; fleet->now_us += STEP_US)
    {
      deliver_due (fleet);
      for (int i = 0; i < HOSTS; i++)
        {
          struct host *host = &fleet->hosts[i];

          if (host->router == NULL && fleet->now_us >= host->starts_us)
            start_host (fleet, i);
          if (host->router != NULL && pl_router_due_us (host->router) <= fleet->now_us)
            step (fleet, i, &tick);
        }
    }
}

static struct fleet *
fleet_new (void)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  fleet->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  fleet->now_us = WORLD_SECOND;
  fleet->version = FIRST_VERSION;
  for (int i = 0; i < HOSTS; i++)
    {
      struct host *host = &fleet->hosts[i];

      g_snprintf (host->name, sizeof host->name, "host-%d", i);
      g_snprintf (host->address, sizeof host->address, "10.0.0.%d:7600", i);
      host->starts_us = fleet->now_us + START_SPREAD_US * (i * 7 % HOSTS) / HOSTS;
    }
  return fleet;
}

static void
fleet_free (struct fleet *fleet)
{
  for (int i = 0; i < HOSTS; i++)
    {
      pl_router_free (fleet->hosts[i].router);
      pl_router_effects_free (&fleet->hosts[i].effects);
    }
  for (guint i = 0; i < fleet->messages->len; i++)
    g_free (g_array_index (fleet->messages, struct message, i).beacon);
  g_array_free (fleet->messages, TRUE);
  g_free (fleet);
}

static int
count_configured (const struct fleet *fleet)
{
  int configured = 0;

  for (int i = 0; i < HOSTS; i++)
    configured += held_version (&fleet->hosts[i]) == fleet->version;
  return configured;
}

static int
count_watching (const struct fleet *fleet)
{
  int watching = 0;

  for (int i = 0; i < HOSTS; i++)
    watching += fleet->hosts[i].watching;
  return watching;
}

/* Each host that reads the store costs calls, so a fleet that starts must not have all of them
 * read it; nor may they wait long for a configuration. */
START_TEST (few_hosts_read_the_store_when_all_start_at_once)
{
  struct fleet *fleet = fleet_new ();

  run (fleet, START_SPREAD_US + 500 * WORLD_MS);
  ck_assert_int_eq (count_configured (fleet), HOSTS);
  run (fleet, 5 * WORLD_SECOND);
  ck_assert_int_eq (count_watching (fleet), 1);
  ck_assert_int_le (fleet->watches_begun, HOSTS / 6);
  fleet_free (fleet);
}
END_TEST

/* Whoever reads the store goes on when another joins, whichever of them is first by hash. */
START_TEST (a_host_that_joins_leaves_the_reader_alone)
{
  struct fleet *fleet = fleet_new ();
  int begun;

  fleet->hosts[_i].starts_us += 8 * WORLD_SECOND;
  run (fleet, 7 * WORLD_SECOND);
  ck_assert_int_eq (count_watching (fleet), 1);
  begun = fleet->watches_begun;
  run (fleet, 6 * WORLD_SECOND);
  ck_assert_int_eq (count_configured (fleet), HOSTS);
  ck_assert_int_eq (fleet->watches_begun, begun);
  fleet_free (fleet);
}
END_TEST

/* A change reaches all hosts soon, and no host has to send it to many. */
START_TEST (news_spreads_without_loading_any_host)
{
  struct fleet *fleet = fleet_new ();

  run (fleet, 6 * WORLD_SECOND);
  for (int change = 1; change <= 5; change++)
    {
      fleet->version++;
      for (int i = 0; i < HOSTS; i++)
        {
          fleet->hosts[i].relayed = 0;
          if (fleet->hosts[i].watching)
            post (fleet, MESSAGE_STORE, i, fleet->version, STORE_ANSWER_US);
        }
      run (fleet, 100 * WORLD_MS);
      ck_assert_int_eq (count_configured (fleet), HOSTS);
      for (int i = 0; i < HOSTS; i++)
        ck_assert_int_le (fleet->hosts[i].relayed, RELAYS_MAX);
      run (fleet, 2 * WORLD_SECOND);
    }
  fleet_free (fleet);
}
END_TEST

/* Without the host that others get their news from, they ask another. */
START_TEST (news_goes_round_a_host_that_does_not_pass_them_on)
{
  struct fleet *fleet = fleet_new ();
  int source = 0;

  run (fleet, 6 * WORLD_SECOND);
  while (!fleet->hosts[source].watching)
    source++;
  /* The reader ends; it took no leave. */
  pl_router_free (fleet->hosts[source].router);
  fleet->hosts[source].router = NULL;
  fleet->hosts[source].watching = false;
  fleet->hosts[source].starts_us = INT64_MAX;
  fleet->version++;
  run (fleet, 3 * WORLD_SECOND);
  ck_assert_int_eq (count_watching (fleet), 1);
  ck_assert_int_eq (count_configured (fleet), HOSTS - 1);
  fleet_free (fleet);
}
END_TEST

/* Most beacons do not say who they are from; everybody is known all the same. */
START_TEST (all_hosts_come_to_know_each_other)
{
  struct fleet *fleet = fleet_new ();

  run (fleet, 20 * WORLD_SECOND);
  for (int second = 0; second < 10; second++)
    {
      for (int i = 0; i < HOSTS; i++)
        {
          const char *addresses[HOSTS];

          ck_assert_int_eq (pl_router_name_hosts (fleet->hosts[i].router, "a-1", "a", addresses,
                                                  HOSTS, fleet->now_us),
                            HOSTS / 2);
        }
      run (fleet, WORLD_SECOND);
    }
  fleet_free (fleet);
}
END_TEST

/* The seeds in the settings may be down. */
START_TEST (hosts_start_without_their_seeds)
{
  struct fleet *fleet = fleet_new ();

  for (int i = 0; i < SEEDS; i++)
    fleet->hosts[i].starts_us += 20 * WORLD_SECOND;
  run (fleet, START_SPREAD_US + 500 * WORLD_MS);
  for (int i = SEEDS; i < HOSTS; i++)
    ck_assert_int_eq (held_version (&fleet->hosts[i]), FIRST_VERSION);
  run (fleet, 25 * WORLD_SECOND);
  ck_assert_int_eq (count_configured (fleet), HOSTS);
  ck_assert_int_eq (count_watching (fleet), 1);
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
  tcase_add_test (tcase, all_hosts_come_to_know_each_other);
  tcase_add_test (tcase, hosts_start_without_their_seeds);
  return suite_run (suite);
}
