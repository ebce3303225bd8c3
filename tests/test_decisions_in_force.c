/* Guards against requests that are sent by rules which were replaced while the requests waited,
 * were tried again or were handed over: each sending has to follow the configuration then in force.
 */
#include "internal/router_state.h"
#include "router_world.h"
#include "suite.h"

#include <assert.h>
#include <string.h>

#define SERVERS 3 /* in each region */
#define SLOTS 4   /* of each server */

static struct world *world;

/* What the routes and the account of a configuration say that differs between the cases. */
struct rules
{
  const char *route; /* fields of both routes; NULL: there are none */
  const char *read_kind;
  int attempts;
  const char *account; /* fields of the account that has the key */
  const char *name;    /* of that account */
};

static const struct rules in_region_a = {.route = "\"HomeRegions\":[\"a\"],\"Service\":\"stock\""};
static const struct rules in_region_b = {.route = "\"HomeRegions\":[\"b\"],\"Service\":\"stock\""};
static const struct rules account_in_a = {.account = "\"HomeRegions\":[\"a\"],"};
static const struct rules account_in_b = {.account = "\"HomeRegions\":[\"b\"],"};
static const struct rules unbound = {.attempts = 3};

static char *
make_route (const struct rules *rules, const char *name, const char *kind)
{
  return g_strdup_printf (
      "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"bound-%s\"},\"Spec\":"
      "{\"Host\":\"h\",\"Prefix\":\"/%s/bound/\",\"Kind\":\"%s\",\"Timeout\":"
      "\"1500ms\",\"TargetLatency\":\"200ms\",\"Attempts\":%d,%s}},",
      name, name, kind, rules->attempts > 0 ? rules->attempts : 3,
      rules->route != NULL ? rules->route : "\"Service\":\"stock\"");
}

static void
put_rules (int version, const struct rules *rules, bool has_routes)
{
  g_autofree char *read
      = make_route (rules, "read", rules->read_kind != NULL ? rules->read_kind : "idempotent");
  g_autofree char *write = make_route (rules, "write", "non_idempotent");
  g_autofree char *resources = g_strdup_printf (
      "%s%s{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"other\"},\"Spec\":{"
      "\"HealthPath\":\"/health\"}},{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"%s\"},"
      "\"Spec\":{%s\"ApiKeys\":[%s],\"RatePerS\":1000,\"Burst\":1000}},",
      has_routes ? read : "", has_routes ? write : "", rules->name != NULL ? rules->name : "bound",
      rules->account != NULL ? rules->account : "",
      g_strcmp0 (rules->name, "keyless") == 0 ? "" : "\"key\"");

  world_put_config (world, version, resources);
}

static void
put_servers (const char *service, const char *prefix)
{
  static const char *const domains[] = {"a-1", "b-1"};

  for (int i = 0; i < 2 * SERVERS; i++)
    {
      const char *domain = domains[i % 2];
      g_autofree char *id = g_strdup_printf ("%s%c-%d", prefix, domain[0], i);
      g_autofree char *row = g_strdup_printf (
          "{\"Address\":\"10.1.%d.%d:80\",\"born\":1,\"Info\":{\"Service\":\"%s\",\"Zone\":\"%s\","
          "\"Slots\":%d},\"Status\":{\"State\":\"ready\",\"Sequence\":1,\"ColdRemaining\":"
          "\"0ms\"}}",
          prefix[0] != '\0', i + 1, service, domain, SLOTS);

      world_put_row (world, PL_TABLE_SERVERS, id, row);
    }
}

static void
set_up (void)
{
  world = world_new ();
  put_rules (3, &unbound, true);
  put_servers ("stock", "");
  put_servers ("other", "o");
  world_advance (world, 4 * WORLD_SECOND);
}

static void
tear_down (void)
{
  world_free (world);
}

/* The ends of an attempt after which a request may be sent again; READS: only one that may run more
 * than once. */
static const struct
{
  enum pl_attempt_end end;
  bool reads;
} retried_ends[] = {
    {PL_ATTEMPT_NOT_RUN, false},    {PL_ATTEMPT_NOT_SENT, false}, {PL_ATTEMPT_OTHER_SERVER, false},
    {PL_ATTEMPT_NOT_RUN, true},     {PL_ATTEMPT_NOT_SENT, true},  {PL_ATTEMPT_OTHER_SERVER, true},
    {PL_ATTEMPT_ANSWER_LOST, true},
};

/* Sends a request by BEFORE, adopts AFTER and ends the first attempt like case I of retried_ends.
 */
static struct world_call *
retry_across (const struct rules *before, const struct rules *after, bool has_routes, int i)
{
  const char *path = retried_ends[i].reads ? "/read/bound/1" : "/write/bound/1";
  struct world_call *call;

  put_rules (4, before, true);
  call = world_send_request (world, path, "key");
  ck_assert_int_eq (call->sends, 1);
  put_rules (5, after, has_routes);
  world_end_attempt (world, call, retried_ends[i].end, 0);
  return call;
}

START_TEST (retries_follow_the_homes_of_the_route)
{
  struct world_call *call = retry_across (&in_region_a, &in_region_b, true, _i);

  ck_assert_int_eq (call->sends, 2);
  ck_assert_int_eq (call->server[0], 'b');
}
END_TEST

START_TEST (retries_follow_the_homes_of_the_account)
{
  struct world_call *call = retry_across (&account_in_a, &account_in_b, true, _i);

  ck_assert_int_eq (call->sends, 2);
  ck_assert_int_eq (call->server[0], 'b');
}
END_TEST

START_TEST (retries_follow_homes_that_were_added)
{
  struct world_call *call;

  put_rules (4, &unbound, true);
  do
    call = world_send_request (world, "/read/bound/1", "key");
  while (call->server[0] != 'a');
  put_rules (5, &in_region_b, true);
  world_end_attempt (world, call, retried_ends[_i].end, 0);
  ck_assert_int_eq (call->server[0], 'b');
}
END_TEST

START_TEST (requests_that_wait_follow_the_homes)
{
  const char *path = _i % 2 == 0 ? "/read/bound/1" : "/write/bound/1";
  struct world_call *call;

  put_rules (4, _i < 2 ? &in_region_a : &account_in_a, true);
  do
    call = world_send_request (world, path, "key");
  while (call->sends > 0);
  put_rules (5, _i < 2 ? &in_region_b : &account_in_b, true);
  ck_assert_int_eq (call->sends, 1);
  ck_assert_int_eq (call->server[0], 'b');
}
END_TEST

static void
check_peer (const struct world_call *call, const struct pl_beacon *peer)
{
  size_t length = strcspn (peer->self.peer_address, ":") + 1;

  ck_assert (call->at_peer);
  ck_assert_mem_eq (call->address, peer->self.peer_address, length);
}

START_TEST (hand_overs_follow_the_homes)
{
  struct pl_beacon peer_in_a = world_peer_beacon ("peer-a", "a-2");
  struct pl_beacon peer_in_b = world_peer_beacon ("peer-b", "b-1");
  struct world_call *call;

  put_rules (4, &in_region_a, true);
  world_receive_beacon (world, &peer_in_a);
  world_receive_beacon (world, &peer_in_b);
  world_lose_servers (world);
  call = world_send_request (world, _i == 0 ? "/read/bound/1" : "/write/bound/1", "key");
  check_peer (call, &peer_in_a);
  put_rules (5, &in_region_b, true);
  world_refuse_by_peer (world, call, 503, "old-configuration", 0);
  ck_assert_int_eq (call->answers, 0);
  check_peer (call, &peer_in_b);
}
END_TEST

START_TEST (retries_follow_the_service_of_the_route)
{
  static const struct rules moved = {.route = "\"Service\":\"other\""};
  struct world_call *call = retry_across (&unbound, &moved, true, _i);

  ck_assert_int_eq (call->sends, 2);
  ck_assert_int_eq (call->server[0], 'o');
}
END_TEST

/* A change that leaves the service in its route must not move the request to another part. */
START_TEST (retries_keep_a_service_that_the_route_keeps)
{
  static const struct rules split
      = {.route = "\"TrafficSplit\":[{\"Service\":\"other\",\"Weight\":99},"
                  "{\"Service\":\"stock\",\"Weight\":1}]"};
  struct world_call *call = retry_across (&unbound, &split, true, _i);

  ck_assert_int_eq (call->sends, 2);
  ck_assert_int_ne (call->server[0], 'o');
}
END_TEST

START_TEST (retries_name_the_account_that_has_the_key)
{
  static const struct rules renamed = {.name = "successor"};
  struct world_call *call = retry_across (&unbound, &renamed, true, _i);

  ck_assert_int_eq (call->sends, 2);
  ck_assert_str_eq (call->account, "successor");
}
END_TEST

static void
check_refused (const struct world_call *call, int status)
{
  ck_assert_int_eq (call->sends, 1);
  ck_assert_int_eq (call->answers, 1);
  ck_assert (!call->delivered);
  ck_assert_int_eq (call->status, call->may_have_run ? 502 : status);
}

START_TEST (withdrawn_keys_end_retries)
{
  static const struct rules keyless = {.name = "keyless"};

  check_refused (retry_across (&unbound, &keyless, true, _i), 401);
}
END_TEST

START_TEST (fewer_attempts_end_retries)
{
  static const struct rules once = {.attempts = 1};

  check_refused (retry_across (&unbound, &once, true, _i), 503);
}
END_TEST

/* An answer that was lost may be that of a request which ran. */
START_TEST (requests_that_must_run_once_now_are_not_repeated)
{
  static const struct rules once = {.read_kind = "non_idempotent"};
  struct world_call *call = retry_across (&unbound, &once, true, G_N_ELEMENTS (retried_ends) - 1);

  check_refused (call, 503);
}
END_TEST

/* Sends a read whose first attempt is lost while all servers of region a are busy, so that its next
 * attempt waits, and then adopts AFTER. */
static struct world_call *
wait_for_retry_across (const struct rules *after)
{
  struct world_call *call;
  const struct world_call *last;

  put_rules (4, &in_region_a, true);
  call = world_send_request (world, "/read/bound/1", "key");
  do
    last = world_send_request (world, "/read/bound/1", "key");
  while (last->sends > 0);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
  ck_assert_int_eq (last->sends, 1);
  ck_assert_int_eq (call->sends, 1);
  ck_assert_int_eq (call->answers, 0);
  put_rules (5, after, true);
  return call;
}

/* Both guard against a retry that was decided on before the change, and is sent after it. */
START_TEST (fewer_attempts_end_waits_for_a_retry)
{
  static const struct rules once
      = {.route = "\"HomeRegions\":[\"b\"],\"Service\":\"stock\"", .attempts = 1};

  check_refused (wait_for_retry_across (&once), 503);
}
END_TEST

START_TEST (requests_that_must_run_once_now_wait_for_no_retry)
{
  static const struct rules once
      = {.route = "\"HomeRegions\":[\"b\"],\"Service\":\"stock\"", .read_kind = "non_idempotent"};

  check_refused (wait_for_retry_across (&once), 503);
}
END_TEST

START_TEST (waits_for_a_retry_follow_the_homes)
{
  struct world_call *call = wait_for_retry_across (&in_region_b);

  ck_assert_int_eq (call->sends, 2);
  ck_assert_int_eq (call->server[0], 'b');
}
END_TEST

START_TEST (withdrawn_routes_end_waits)
{
  struct world_call *call;

  put_rules (4, &in_region_a, true);
  do
    call = world_send_request (world, "/read/bound/1", "key");
  while (call->sends > 0);
  put_rules (5, &in_region_a, false);
  /* The route "read" of all configurations matches now, without homes. */
  ck_assert_int_eq (call->sends, 1);
  put_rules (6, &in_region_a, true);
  do
    call = world_send_request (world, "/read/bound/1", "key");
  while (call->sends > 0);
  world_put_row (world, PL_TABLE_CONTROL, "config", "{\"Version\":\"r7\",\"Resources\":[]}");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 404);
}
END_TEST

/* The answer to an attempt is the caller's, whatever has changed since. */
START_TEST (answers_are_delivered_after_a_change)
{
  struct world_call *call;

  put_rules (4, &in_region_a, true);
  call = world_send_request (world, "/write/bound/1", "key");
  put_rules (5, &in_region_b, false);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (call->delivered);
}
END_TEST

/* Sends a read by homes in region a, moves them to b, and loses the servers while PEER, in DOMAIN,
 * reaches them. */
static struct world_call *
lose_servers_across (struct pl_beacon *peer, const char *domain)
{
  struct world_call *call;

  *peer = world_peer_beacon ("peer", domain);
  put_rules (4, &in_region_a, true);
  call = world_send_request (world, "/read/bound/1", "key");
  put_rules (5, &in_region_b, true);
  world_receive_beacon (world, peer);
  world_lose_servers (world);
  return call;
}

/* An attempt must not be given up for a peer that the homes in force rule out. */
START_TEST (lost_servers_keep_requests_that_no_peer_may_take)
{
  struct pl_beacon peer;
  const struct world_call *call = lose_servers_across (&peer, "a-2");

  ck_assert_int_eq (call->answers, 0);
}
END_TEST

START_TEST (lost_servers_give_requests_to_peers_in_the_new_homes)
{
  struct pl_beacon peer;

  check_peer (lose_servers_across (&peer, "b-1"), &peer);
}
END_TEST

/* Random changes of routes, account, key and servers among requests with random ends of attempts.
 * The oracle knows what was fed last, and checks that each sending follows it. */

#define RANDOM_SEEDS 40
#define RANDOM_STEPS 3000
#define PENDING_MAX 80
#define POOL_SERVERS 6 /* of each service */
#define POOLS 2        /* services */
#define PEERS 4
#define BEACON_PERIOD_US (300 * WORLD_MS)
#define IN_A 1U
#define IN_B 2U
#define STOCK 1U
#define OTHER 2U

/* The fields of routes, and the regions and services that they allow. */
static const struct
{
  const char *fields;
  unsigned regions;
  unsigned services;
} random_routes[] = {
    {"\"Service\":\"stock\"", IN_A | IN_B, STOCK},
    {"\"Service\":\"other\"", IN_A | IN_B, OTHER},
    {"\"HomeRegions\":[\"a\"],\"Service\":\"stock\"", IN_A, STOCK},
    {"\"HomeRegions\":[\"b\"],\"Service\":\"stock\"", IN_B, STOCK},
    {"\"HomeRegions\":[\"a\"],\"Service\":\"other\"", IN_A, OTHER},
    {"\"HomeRegions\":[\"b\"],\"Service\":\"other\"", IN_B, OTHER},
    {"\"HomeRegions\":[\"b\"],\"TrafficSplit\":[{\"Service\":\"other\",\"Weight\":1},"
     "{\"Service\":\"stock\",\"Weight\":1}]",
     IN_B, STOCK | OTHER},
    {"\"HomeRegions\":[\"a\",\"b\"],\"TrafficSplit\":[{\"Service\":\"other\",\"Weight\":1},"
     "{\"Service\":\"stock\",\"Weight\":9}]",
     IN_A | IN_B, STOCK | OTHER},
};

static const struct
{
  const char *fields;
  unsigned regions;
} random_accounts[]
    = {{"", IN_A | IN_B}, {"\"HomeRegions\":[\"a\"],", IN_A}, {"\"HomeRegions\":[\"b\"],", IN_B}};

static const char *const pool_names[POOLS] = {"stock", "other"};

struct random_run
{
  uint32_t random;
  int version;
  struct rules rules;
  int route;       /* of random_routes */
  int account;     /* of random_accounts */
  bool has_routes; /* otherwise the routes of all configurations match */
  bool is_empty;   /* the configuration has no routes at all */
  unsigned server_regions[POOLS][POOL_SERVERS];
  bool is_cut; /* new connections to servers fail */
  struct pl_beacon peers[PEERS];
  int64_t beacons_due_us;
  GPtrArray *pending; /* of struct world_call */
  GArray *versions;   /* that were in force at the arrivals; index: id of the request */
  int sends;
  int later_sends; /* of requests that had arrived before the last change */
};

/* What the configuration that was fed last allows for one request. */
struct allowed
{
  const char *account; /* NULL: it must not be sent */
  unsigned regions;
  unsigned services;
  int attempts;
  bool runs_once;
};

static uint32_t
random_below (struct random_run *run, uint32_t bound)
{
  run->random = run->random * 1664525 + 1013904223;
  return (run->random >> 8) % bound;
}

/* Requests of the account "shop", which no change concerns. */
static bool
is_of_shop (uint64_t id)
{
  return id % 4 == 0;
}

static struct allowed
find_allowed (const struct random_run *run, const struct world_call *call)
{
  const struct rules *rules = &run->rules;
  struct allowed allowed = {NULL, IN_A | IN_B, STOCK, 2, !call->repeatable};

  if (run->is_empty)
    return allowed;
  if (is_of_shop (call->id))
    allowed.account = "shop";
  else if (strcmp (rules->name, "keyless") != 0)
    {
      allowed.account = rules->name;
      allowed.regions = random_accounts[run->account].regions;
    }
  if (!run->has_routes)
    return allowed;
  allowed.regions &= random_routes[run->route].regions;
  allowed.services = random_routes[run->route].services;
  allowed.attempts = rules->attempts;
  allowed.runs_once = !call->repeatable || strcmp (rules->read_kind, "idempotent") != 0;
  return allowed;
}

static unsigned
region_of_peer (const struct random_run *run, const struct world_call *call)
{
  for (int i = 0; i < PEERS; i++)
    {
      const char *address = run->peers[i].self.peer_address;

      if (strncmp (call->address, address, strcspn (address, ":") + 1) == 0)
        return run->peers[i].self.domain[0] == 'a' ? IN_A : IN_B;
    }
  return 0;
}

static void
check_random_attempt (void *data, struct world_call *call)
{
  struct random_run *run = data;
  struct allowed allowed = find_allowed (run, call);

  assert (allowed.account != NULL);
  assert (!allowed.runs_once || (call->at_most_once && !call->may_have_run));
  assert (!allowed.runs_once || call->other.number == 0);
  run->sends++;
  run->later_sends += g_array_index (run->versions, int, call->id) < run->version;
  if (call->at_peer)
    {
      assert ((allowed.regions & region_of_peer (run, call)) != 0);
      return;
    }
  for (int pool = 0; pool < POOLS; pool++)
    if (g_str_has_prefix (call->server, pool_names[pool]))
      {
        int server = atoi (call->server + strlen (pool_names[pool]) + 1);

        assert ((allowed.services >> pool & 1) != 0);
        assert ((allowed.regions & run->server_regions[pool][server]) != 0);
      }
  assert (call->sends <= allowed.attempts);
  assert (strcmp (call->account, allowed.account) == 0);
}

static void
check_random_answer (void *data, struct world_call *call)
{
  (void) data;
  assert (call->answers == 1);
  if (!call->delivered && call->status != 502 && call->status != 504)
    assert (!call->may_have_run);
}

static void
put_random_server (struct random_run *run, int pool, int server)
{
  bool is_in_a = random_below (run, 2) == 0;
  g_autofree char *id = g_strdup_printf ("%s-%d", pool_names[pool], server);
  g_autofree char *row = g_strdup_printf (
      "{\"Address\":\"10.1.%d.%d:80\",\"born\":1,\"Info\":{\"Service\":\"%s\",\"Zone\":\"%s\","
      "\"Slots\":%d},\"Status\":{\"State\":\"ready\",\"Sequence\":1,\"ColdRemaining\":\"0ms\"}}",
      pool, server + 1, pool_names[pool], is_in_a ? "a-1" : "b-1", SLOTS);

  run->server_regions[pool][server] = is_in_a ? IN_A : IN_B;
  world_put_row (world, PL_TABLE_SERVERS, id, row);
}

static void
put_random_rules (struct random_run *run)
{
  run->rules.route = random_routes[run->route].fields;
  run->rules.account = random_accounts[run->account].fields;
  run->version++;
  if (run->is_empty)
    {
      g_autofree char *row
          = g_strdup_printf ("{\"Version\":\"r%d\",\"Resources\":[]}", run->version);

      world_put_row (world, PL_TABLE_CONTROL, "config", row);
    }
  else
    put_rules (run->version, &run->rules, run->has_routes);
}

static void
change_random_rule (struct random_run *run)
{
  static const char *const names[] = {"bound", "successor", "bound", "successor", "keyless"};
  static const char *const kinds[] = {"idempotent", "non_idempotent"};

  switch (random_below (run, 8))
    {
    case 0:
    case 1:
      run->route = (int) random_below (run, G_N_ELEMENTS (random_routes));
      break;
    case 2:
    case 3:
      run->account = (int) random_below (run, G_N_ELEMENTS (random_accounts));
      break;
    case 4:
      run->rules.name = names[random_below (run, G_N_ELEMENTS (names))];
      break;
    case 5:
      run->rules.read_kind = kinds[random_below (run, G_N_ELEMENTS (kinds))];
      break;
    case 6:
      run->rules.attempts = 1 + (int) random_below (run, 3);
      break;
    default:
      run->has_routes = !run->has_routes;
      break;
    }
  run->is_empty = random_below (run, 30) == 0;
  put_random_rules (run);
}

static void
send_random_request (struct random_run *run)
{
  /* Requests that are alike are quarantined when several of them end the connections of servers. */
  g_autofree char *path = g_strdup_printf (
      random_below (run, 3) > 0 ? "/read/bound/%d" : "/write/bound/%d", (int) run->versions->len);
  const char *key = is_of_shop (world->next_request + 1) ? "key-1" : "key";

  if (run->pending->len == PENDING_MAX)
    return;
  g_array_append_val (run->versions, run->version);
  g_ptr_array_add (run->pending, random_below (run, 12) > 0
                                     ? world_send_request (world, path, key)
                                     : world_send_handover (world, path, key));
}

static struct world_call *
choose_random_call (struct random_run *run)
{
  return run->pending->len > 0
             ? g_ptr_array_index (run->pending, random_below (run, run->pending->len))
             : NULL;
}

static void
end_at_random_peer (struct random_run *run, struct world_call *call)
{
  static const char *const reasons[]
      = {"old-configuration", "servers-lost", "servers-full", "no-route", "stopping"};

  switch (random_below (run, 6))
    {
    case 0:
      world_end_attempt (world, call, PL_ATTEMPT_NOT_SENT, 0);
      break;
    case 1:
      world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
      break;
    case 2:
    case 3:
      world_refuse_by_peer (world, call, 503, reasons[random_below (run, G_N_ELEMENTS (reasons))],
                            0);
      break;
    default:
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
      break;
    }
}

static void
end_random_attempt (struct random_run *run)
{
  static const int statuses[] = {200, 200, 200, 200, 500, 503};
  static const enum pl_attempt_end failures[]
      = {PL_ATTEMPT_NOT_RUN, PL_ATTEMPT_NOT_SENT, PL_ATTEMPT_OTHER_SERVER, PL_ATTEMPT_ANSWER_LOST};
  struct world_call *call = choose_random_call (run);

  if (call == NULL || !call->at_server || call->cancelled)
    return;
  if (call->other.number != 0 && random_below (run, 2) == 0)
    world_select_other (call);
  if (call->at_peer)
    end_at_random_peer (run, call);
  else if (run->is_cut && random_below (run, 4) > 0)
    world_end_attempt (world, call, PL_ATTEMPT_NOT_SENT, 0);
  else if (random_below (run, 3) == 0)
    world_end_attempt (world, call, failures[random_below (run, G_N_ELEMENTS (failures))], 0);
  else
    world_end_attempt (world, call, PL_ATTEMPT_ANSWERED,
                       statuses[random_below (run, G_N_ELEMENTS (statuses))]);
}

static void
disconnect_random_caller (struct random_run *run)
{
  struct pl_router_event event = {.type = PL_ROUTER_CALLER_GONE};
  const struct world_call *call = choose_random_call (run);

  if (call == NULL)
    return;
  event.u.request = call->id;
  world_step (world, &event);
}

static void
answer_probe (const struct random_run *run)
{
  struct pl_router_event event = {.type = PL_ROUTER_PROBED};
  g_autofree char *server = g_queue_pop_head (&world->probed);

  if (server == NULL)
    return;
  event.u.probed.server = pl_server_hash (server);
  event.u.probed.connected = event.u.probed.healthy = !run->is_cut;
  world_step (world, &event);
}

static void
send_beacons (struct random_run *run)
{
  if (world->now_us < run->beacons_due_us)
    return;
  run->beacons_due_us = world->now_us + BEACON_PERIOD_US;
  for (int i = 0; i < PEERS; i++)
    world_receive_beacon (world, &run->peers[i]);
}

static void
take_answered (struct random_run *run)
{
  for (guint i = 0; i < run->pending->len; i++)
    if (((const struct world_call *) g_ptr_array_index (run->pending, i))->answers > 0)
      g_ptr_array_remove_index_fast (run->pending, i--);
}

static void
run_random_step (struct random_run *run)
{
  uint32_t kind = random_below (run, 100);

  if (kind < 40)
    send_random_request (run);
  else if (kind < 78)
    end_random_attempt (run);
  else if (kind < 83)
    change_random_rule (run);
  else if (kind < 86)
    put_random_server (run, (int) random_below (run, POOLS),
                       (int) random_below (run, POOL_SERVERS));
  else if (kind < 87)
    disconnect_random_caller (run);
  else if (kind < 91)
    answer_probe (run);
  else if (kind < 92)
    run->is_cut = random_below (run, 8) == 0;
  else
    world_advance (world, (int64_t) random_below (run, 40) * WORLD_MS);
  take_answered (run);
  send_beacons (run);
}

START_TEST (random_changes_bind_each_sending)
{
  struct world_options options = {
      .load_management = _i % 2 == 0 ? PL_LOAD_MANAGEMENT_ON : PL_LOAD_MANAGEMENT_OFF,
      .hedge_ratio = _i % 4 == 0 ? 0.2 : 0,
  };
  struct random_run run = {.random = (uint32_t) _i,
                           .version = 2,
                           .rules = {.read_kind = "idempotent", .attempts = 3, .name = "bound"},
                           .has_routes = true};
  static const int no_version = 0;

  world = world_new_from (&options);
  run.pending = g_ptr_array_new ();
  run.versions = g_array_new (FALSE, FALSE, sizeof (int));
  g_array_append_val (run.versions, no_version);
  for (int i = 0; i < PEERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("peer-%d", i);

      run.peers[i] = world_peer_beacon (name, i % 2 == 0 ? "a-2" : "b-1");
    }
  put_random_rules (&run);
  for (int i = 0; i < POOLS * POOL_SERVERS; i++)
    put_random_server (&run, i % POOLS, i / POOLS);
  world->on_attempt = check_random_attempt;
  world->on_answer = check_random_answer;
  world->data = &run;
  world_advance (world, 4 * WORLD_SECOND);
  for (int i = 0; i < RANDOM_STEPS; i++)
    run_random_step (&run);
  for (int i = 0; i < 40; i++)
    world_advance (world, 50 * WORLD_MS);
  take_answered (&run);
  ck_assert_uint_eq (run.pending->len, 0);
  /* Without enough of both, the checks above would be vacuous. */
  ck_assert_int_gt (run.sends, RANDOM_STEPS / 20);
  ck_assert_int_gt (run.later_sends, 5);
  g_ptr_array_free (run.pending, TRUE);
  g_array_free (run.versions, TRUE);
  world_free (world);
}
END_TEST

/* Usage: test_decisions_in_force [FIRST-SEED COUNT] */
int
main (int argc, char **argv)
{
  const int ends = G_N_ELEMENTS (retried_ends);
  int first = argc > 1 ? atoi (argv[1]) : 1;
  int count = argc > 2 ? atoi (argv[2]) : RANDOM_SEEDS;
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "decisions in force");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, retries_follow_the_homes_of_the_route, 0, ends);
  tcase_add_loop_test (tcase, retries_follow_the_homes_of_the_account, 0, ends);
  tcase_add_loop_test (tcase, retries_follow_homes_that_were_added, 0, ends);
  tcase_add_loop_test (tcase, requests_that_wait_follow_the_homes, 0, 4);
  tcase_add_loop_test (tcase, hand_overs_follow_the_homes, 0, 2);
  tcase_add_loop_test (tcase, retries_follow_the_service_of_the_route, 0, ends);
  tcase_add_loop_test (tcase, retries_keep_a_service_that_the_route_keeps, 0, ends);
  tcase_add_loop_test (tcase, retries_name_the_account_that_has_the_key, 0, ends);
  tcase_add_loop_test (tcase, withdrawn_keys_end_retries, 0, ends);
  tcase_add_loop_test (tcase, fewer_attempts_end_retries, 0, ends);
  tcase_add_test (tcase, requests_that_must_run_once_now_are_not_repeated);
  tcase_add_test (tcase, fewer_attempts_end_waits_for_a_retry);
  tcase_add_test (tcase, requests_that_must_run_once_now_wait_for_no_retry);
  tcase_add_test (tcase, waits_for_a_retry_follow_the_homes);
  tcase_add_test (tcase, lost_servers_keep_requests_that_no_peer_may_take);
  tcase_add_test (tcase, lost_servers_give_requests_to_peers_in_the_new_homes);
  tcase_add_test (tcase, withdrawn_routes_end_waits);
  tcase_add_test (tcase, answers_are_delivered_after_a_change);
  tcase = tcase_create ("random changes");
  tcase_set_timeout (tcase, 0);
  tcase_add_loop_test (tcase, random_changes_bind_each_sending, first, first + count);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
