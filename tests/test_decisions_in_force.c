/* Guards against requests that are sent by rules which were replaced while the requests waited,
 * were tried again or were handed over: each sending has to follow the configuration then in force.
 */
#include "internal/router_state.h"
#include "router_world.h"
#include "suite.h"

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

int
main (void)
{
  const int ends = G_N_ELEMENTS (retried_ends);
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
  tcase_add_test (tcase, withdrawn_routes_end_waits);
  tcase_add_test (tcase, answers_are_delivered_after_a_change);
  return suite_run (suite);
}
