/* Tests that texts of the platform are used whole, whatever their length: each test gives two
 * things texts that are alike but for the last byte, and compares what servers, callers, peers and
 * operators get byte by byte. */
#include "internal/beacon_socket.h"
#include "router_world.h"
#include "suite.h"

#include <string.h>

/* Around the sizes of fixed fields that once held such texts, the longest key of a row, and a text
 * that only the length of a row's value bounds. */
static const int lengths[] = {1, 63, 64, 65, 72, 200, 3000};

/* Of a row, by the platform's protocol. */
#define KEY_BYTES_MAX 200

static struct world *world;

static void
set_up (void)
{
  world = world_new ();
  world_put_config (world, 3, NULL);
  world_put_server (world, "s-0", "a-1", "ready", 1);
  world_put_server (world, "s-1", "a-1", "ready", 1);
  world_put_server (world, "s-2", "b-1", "ready", 1);
  world_advance (world, 4 * WORLD_SECOND);
}

static void
tear_down (void)
{
  world_free (world);
}

/* Returns a text of LENGTH bytes that ends with LAST. */
static char *
make_text (int length, char last)
{
  char *text = g_strnfill ((gsize) length, 'x');

  text[length - 1] = last;
  return text;
}

/* Fills TEXTS with two texts of LENGTH bytes. */
static void
make_texts (char **texts, int length)
{
  texts[0] = make_text (length, 'a');
  texts[1] = make_text (length, 'b');
}

static void
free_texts (char **texts)
{
  g_free (texts[0]);
  g_free (texts[1]);
}

static void
put_server (const char *id, const char *service, const char *domain)
{
  g_autofree char *text = g_strdup_printf (
      "{\"Address\":\"10.1.0.%d:80\",\"born\":1,\"Info\":{\"Service\":\"%s\",\"Zone\":\"%s\","
      "\"Slots\":4},\"Status\":{\"State\":\"ready\",\"Sequence\":1}}",
      (int) (g_str_hash (id) % 250) + 1, service, domain);

  world_put_row (world, PL_TABLE_SERVERS, id, text);
}

/* Guards against LOST: the state of a route was stored under the first 63 characters of its name
 * and looked up by the whole one, so that each request replaced the state that calls in progress
 * used, and the host crashed. */
START_TEST (calls_on_a_route_with_a_long_name_share_its_state)
{
  char *names[2];
  g_autoptr (GString) routes = g_string_new (NULL);
  g_autoptr (GString) metrics = g_string_new (NULL);
  struct world_call *calls[16];

  make_texts (names, lengths[_i]);
  for (int i = 0; i < 2; i++)
    g_string_append_printf (
        routes,
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"%s\"},\"Spec\":{\"Host\":\"h\","
        "\"Prefix\":\"/read/%d/\",\"Kind\":\"idempotent\",\"Service\":\"stock\"}},",
        names[i], i);
  world_put_config (world, 4, routes->str);
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    calls[i] = world_send_request (world, i % 4 == 0 ? "/read/0/1" : "/read/1/1", "key-1");
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    if (calls[i]->at_server)
      world_end_attempt (world, calls[i], PL_ATTEMPT_ANSWERED, 200);
  world_advance (world, WORLD_SECOND);
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    ck_assert_int_eq (calls[i]->answers, 1);
  pl_router_metrics (world->router, metrics);
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *line = g_strdup_printf ("pomelolatch_requests_total{route=\"%s\"} %d\n",
                                               names[i], i == 0 ? 4 : 12);

      ck_assert_ptr_nonnull (strstr (metrics->str, line));
    }
  free_texts (names);
}
END_TEST

static void
put_config_with_services (int version, char **names)
{
  g_autoptr (GString) extra = g_string_new (NULL);

  for (int i = 0; i < 2; i++)
    g_string_append_printf (
        extra,
        "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"%s\"},\"Spec\":{"
        "\"HealthPath\":\"/health\"}},"
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"r-%d\"},\"Spec\":{\"Host\":\"h\","
        "\"Prefix\":\"/read/%d/\",\"Kind\":\"idempotent\",\"Service\":\"%s\",\"Attempts\":2}},",
        names[i], i, i, names[i]);
  world_put_config (world, version, extra->str);
}

/* Guards against ROUTE: two services whose names are alike in their first 63 characters were one,
 * and a later configuration took its servers away. */
START_TEST (a_request_is_run_by_the_service_of_its_route_whatever_the_names)
{
  char *names[2];

  make_texts (names, lengths[_i]);
  put_config_with_services (4, names);
  put_server ("0-first", names[0], "a-1");
  put_server ("1-first", names[1], "a-1");
  put_server ("0-second", names[0], "b-1");
  put_server ("1-second", names[1], "b-1");
  for (int i = 0; i < 60; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d/%d", i % 2, i);
      struct world_call *call = world_send_request (world, path, "key-1");

      if (i == 30)
        put_config_with_services (5, names);
      ck_assert_int_eq (call->sends, 1);
      ck_assert_int_eq (call->server[0] - '0', i % 2);
      if (i < 2) /* the next try */
        world_end_attempt (world, call, PL_ATTEMPT_NOT_RUN, 503);
      ck_assert_int_eq (call->server[0] - '0', i % 2);
      if (call->at_server)
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
      ck_assert (call->delivered);
      world_advance (world, 100 * WORLD_MS);
    }
  free_texts (names);
}
END_TEST

/* Guards against UNASKED: servers got the first 63 characters of the name of an account, the same
 * for two accounts that are alike in them. */
START_TEST (a_request_runs_for_the_account_of_its_key_whatever_the_names)
{
  g_autoptr (GString) accounts = g_string_new (NULL);
  char *names[2];

  make_texts (names, lengths[_i]);
  for (int i = 0; i < 2; i++)
    g_string_append_printf (accounts,
                            "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"%s\"},"
                            "\"Spec\":{\"ApiKeys\":[\"key-%s\"]}},",
                            names[i], names[i]);
  world_put_config (world, 4, accounts->str);
  for (int i = 0; i < 10; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%s", names[i % 2]);
      struct world_call *call = world_send_request (world, "/read/1", key);

      ck_assert_int_eq (call->sends, 1);
      ck_assert_str_eq (call->account, names[i % 2]);
      /* Calls in progress keep their account when a configuration takes it away. */
      if (i == 9)
        world_put_config (world, 5, NULL);
      world_end_attempt (world, call, i < 2 ? PL_ATTEMPT_NOT_RUN : PL_ATTEMPT_ANSWERED, 200);
      ck_assert_str_eq (call->account, names[i % 2]);
      if (call->at_server)
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
      world_advance (world, 2 * WORLD_SECOND);
    }
  free_texts (names);
}
END_TEST

/* Guards against refusals: servers whose ids have 64 characters or more were told that the requests
 * are for another server, and rejected them all; of two that were alike in 63 one was not known. */
START_TEST (a_server_is_named_by_its_whole_id)
{
  int length = MIN (lengths[_i], KEY_BYTES_MAX);
  int sends[2] = {0, 0};
  char *ids[2];

  make_texts (ids, length);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *other = g_strdup_printf ("s-%d", i);

      world_put_row (world, PL_TABLE_SERVERS, other, NULL);
    }
  for (int i = 0; i < 2; i++)
    world_put_server (world, ids[i], "a-1", "ready", 1);
  world_advance (world, 4 * WORLD_SECOND);
  for (int i = 0; i < 40; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_send_request (world, path, "key-1");

      ck_assert_int_eq (call->sends, 1);
      for (int j = 0; j < 2; j++)
        sends[j] += strcmp (call->server, ids[j]) == 0;
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  ck_assert_int_gt (sends[0], 0);
  ck_assert_int_gt (sends[1], 0);
  ck_assert_int_eq (sends[0] + sends[1], 40);
  world_put_row (world, PL_TABLE_SERVERS, ids[0], NULL);
  ck_assert_str_eq (world_send_request (world, "/read/1", "key-1")->server, ids[1]);
  free_texts (ids);
}
END_TEST

/* A server that is down is probed by its id, and the outcome counts for that server. */
START_TEST (a_probe_names_the_server_by_its_whole_id)
{
  int length = MIN (lengths[_i], KEY_BYTES_MAX);
  char *ids[2];
  const char *down = NULL;

  make_texts (ids, length);
  for (int i = 0; i < 2; i++)
    world_put_server (world, ids[i], "a-1", "ready", 1);
  world_advance (world, 4 * WORLD_SECOND);
  for (int i = 0; i < 200 && down == NULL; i++)
    {
      g_autofree char *path = g_strdup_printf ("/write/%d", i);
      struct world_call *call = world_send_request (world, path, "key-1");

      if (strcmp (call->server, ids[0]) != 0)
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
      else
        {
          world_end_attempt (world, call, PL_ATTEMPT_NOT_SENT, 0);
          down = ids[0];
        }
    }
  ck_assert_ptr_nonnull (down);
  world_advance (world, WORLD_SECOND);
  ck_assert_str_eq (g_queue_peek_head (&world->probed), ids[0]);
  free_texts (ids);
}
END_TEST

/* Guards against a healthy server that stays down, as another path than its own is probed. */
START_TEST (a_server_is_probed_at_its_whole_health_path)
{
  int length = MAX (lengths[_i], 2);
  g_autofree char *rest = make_text (length - 1, 'a');
  g_autofree char *path = g_strconcat ("/", rest, NULL);
  g_autofree char *config = world_make_config (4, NULL);
  g_auto (GStrv) around = g_strsplit (config, "/health", 2);
  g_autofree char *changed = g_strconcat (around[0], path, around[1], NULL);

  world_put_row (world, PL_TABLE_CONTROL, "config", changed);
  for (int i = 0; i < 20 && world->probes == 0; i++)
    {
      struct world_call *call = world_send_request (world, "/write/1", "key-1");

      if (call->at_server)
        world_end_attempt (world, call, PL_ATTEMPT_NOT_SENT, 0);
      if (call->at_server)
        world_end_attempt (world, call, PL_ATTEMPT_NOT_SENT, 0);
      world_advance (world, WORLD_SECOND);
    }
  ck_assert_int_gt (world->probes, 0);
  ck_assert_str_eq (world->probed_path, path);
}
END_TEST

/* Guards against two requests that are one in the logs. */
START_TEST (a_request_is_logged_by_its_whole_id)
{
  char *ids[2];

  make_texts (ids, lengths[_i]);
  for (int i = 0; i < 2; i++)
    {
      world->correlation_id = ids[i];
      world_end_attempt (world, world_send_request (world, "/read/1", "key-1"), PL_ATTEMPT_ANSWERED,
                         200);
      ck_assert_str_eq (world->logged_request, ids[i]);
    }
  free_texts (ids);
}
END_TEST

/* Guards against metrics that can not be read for one name. */
START_TEST (names_are_escaped_in_metrics)
{
  g_autoptr (GString) metrics = g_string_new (NULL);

  world_put_config (world, 4,
                    "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"a\\\"b\\\\c\\nd\"},"
                    "\"Spec\":{\"Host\":\"h\",\"Prefix\":\"/read/new/\",\"Kind\":\"idempotent\","
                    "\"Service\":\"stock\"}},");
  world_send_request (world, "/read/new/1", "key-1");
  pl_router_metrics (world->router, metrics);
  ck_assert_ptr_nonnull (
      strstr (metrics->str, "pomelolatch_requests_total{route=\"a\\\"b\\\\c\\nd\"} 1\n"));
}
END_TEST

#define EVACUATE "evacuate/"

/* Guards against an evacuation that empties another domain too, or none. */
START_TEST (an_evacuation_is_of_the_domain_with_the_whole_name)
{
  int length = MIN (lengths[_i], KEY_BYTES_MAX - (int) strlen (EVACUATE));
  g_autofree char *key = NULL;
  char *domains[2];

  make_texts (domains, length);
  key = g_strconcat (EVACUATE, domains[0], NULL);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *other = g_strdup_printf ("s-%d", i);

      world_put_row (world, PL_TABLE_SERVERS, other, NULL);
    }
  put_server ("0", "stock", domains[0]);
  put_server ("1", "stock", domains[1]);
  world_advance (world, 4 * WORLD_SECOND);
  world_put_row (world, PL_TABLE_CONTROL, key, "{}");
  for (int i = 0; i < 40; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_send_request (world, path, "key-1");

      ck_assert_str_eq (call->server, "1");
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  world_put_row (world, PL_TABLE_CONTROL, key, NULL);
  put_server ("1", "stock", domains[0]);
  world_put_row (world, PL_TABLE_SERVERS, "1", NULL);
  ck_assert_str_eq (world_send_request (world, "/read/1", "key-1")->server, "0");
  free_texts (domains);
}
END_TEST

/* Returns what BEACON is at the host that receives it. */
static struct pl_beacon
transmit (const struct pl_beacon *beacon)
{
  char bytes[PL_BEACON_BYTES_MAX];
  int length = pl_beacon_encode (beacon, bytes, sizeof bytes);
  struct pl_beacon received;

  ck_assert_int_gt (length, 0);
  ck_assert_int_eq (pl_beacon_decode (bytes, (size_t) length, &received), 0);
  return received;
}

/* Guards against two hosts that are one to their peers. */
START_TEST (hosts_and_their_domains_are_told_apart_whatever_their_names)
{
  int length = MIN (lengths[_i], PL_HOST_NAME_BYTES_MAX);
  const char *addresses[8];
  char *names[2];

  make_texts (names, length);
  for (int i = 0; i < 2; i++)
    {
      struct world *host = world_new_from (
          &(struct world_options){.name = names[i], .domain = names[i], .incarnation = 2});
      struct pl_beacon beacon = world_peer_beacon ("peer", "a-2");

      beacon.wants_contacts = true;
      world_receive_beacon (host, &beacon);
      ck_assert_str_eq (host->last_beacon.self.name, names[i]);
      ck_assert_str_eq (host->last_beacon.self.domain, names[i]);
      beacon = transmit (&host->last_beacon);
      ck_assert_str_eq (beacon.self.name, names[i]);
      beacon.ready = true;
      g_snprintf (beacon.self.caller_address, sizeof beacon.self.caller_address, "10.0.2.%d:80", i);
      world_receive_beacon (world, &beacon);
      world_free (host);
    }
  for (int i = 0; i < 2; i++)
    {
      int found
          = pl_router_select_hosts (world->router, names[i], "b", addresses, 8, world->now_us);
      bool is_named = false;

      for (int j = 0; j < found; j++)
        is_named = is_named || addresses[j][strlen ("10.0.2.")] == '0' + i;
      ck_assert (is_named);
    }
  free_texts (names);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "long_texts");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, calls_on_a_route_with_a_long_name_share_its_state, 0,
                       G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, a_request_is_run_by_the_service_of_its_route_whatever_the_names, 0,
                       G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, a_request_runs_for_the_account_of_its_key_whatever_the_names, 0,
                       G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, a_server_is_named_by_its_whole_id, 0, G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, a_probe_names_the_server_by_its_whole_id, 0, G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, an_evacuation_is_of_the_domain_with_the_whole_name, 0,
                       G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, hosts_and_their_domains_are_told_apart_whatever_their_names, 0,
                       G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, a_server_is_probed_at_its_whole_health_path, 0,
                       G_N_ELEMENTS (lengths));
  tcase_add_loop_test (tcase, a_request_is_logged_by_its_whole_id, 0, G_N_ELEMENTS (lengths));
  tcase_add_test (tcase, names_are_escaped_in_metrics);
  return suite_run (suite);
}
