/* The router's promises, one at a time, in virtual time. */
#include "router_world.h"
#include "suite.h"

#include <string.h>

static struct world *world;

static void
set_up (void)
{
  world = world_new ();
  world_config (world, 3, NULL);
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_server (world, id, i % 2 == 0 ? "a-1" : "b-1", "ready", 1);
    }
  world_run (world, 4 * WORLD_SECOND);
}

static void
tear_down (void)
{
  world_free (world);
}

START_TEST (a_request_is_sent_and_its_answer_delivered)
{
  struct world_call *call = world_call (world, "/read/1", "key-1");

  ck_assert_int_eq (call->sends, 1);
  ck_assert (!call->once);
  ck_assert_int_le (call->time_us, 800 * WORLD_MS);
  world_end (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert_int_eq (call->answers, 1);
  ck_assert (call->delivered);
}
END_TEST

START_TEST (unknown_routes_and_keys_are_refused)
{
  ck_assert_int_eq (world_call (world, "/none/1", "key-1")->status, 404);
  ck_assert_int_eq (world_call (world, "/read/1", "key-9")->status, 401);
  ck_assert_int_eq (world_call (world, "/read/1", NULL)->status, 401);
}
END_TEST

START_TEST (without_accounts_no_key_is_asked_for)
{
  static const char config[]
      = "{\"Version\":\"r9\",\"Resources\":["
        "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"stock\"},\"Spec\":{}},"
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"read\"},\"Spec\":{\"Host\":\"h\","
        "\"Prefix\":\"/read/\",\"Kind\":\"idempotent\",\"Service\":\"stock\"}}]}";

  world_row (world, PL_TABLE_CONTROL, "config", config);
  ck_assert_int_eq (world_call (world, "/read/1", NULL)->sends, 1);
  ck_assert_int_eq (world_call (world, "/read/2", "key-1")->sends, 1);
}
END_TEST

#define ROUTE_OF_KIND                                                                              \
  "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"kind\"},\"Spec\":{\"Host\":\"h\","        \
  "\"Prefix\":\"/read/kind/\",\"Kind\":\"%s\",\"Timeout\":\"800ms\",\"TargetLatency\":\"200ms\","  \
  "\"Service\":\"stock\",\"Attempts\":2,\"Sticky\":true}},"

/* What may run more than once follows from the route's kind alone. */
START_TEST (kinds_tell_what_may_be_repeated)
{
  static const struct
  {
    const char *kind;
    bool repeatable;
  } kinds[]
      = {{"idempotent", true}, {"download", true}, {"non_idempotent", false}, {"upload", false}};
  g_autofree char *route = g_strdup_printf (ROUTE_OF_KIND, kinds[_i].kind);
  struct world_call *call;

  world_config (world, 4, route);
  call = world_call (world, "/read/kind/1", "key-1");
  call->repeatable = kinds[_i].repeatable;
  ck_assert (call->once == !kinds[_i].repeatable);
  world_end (world, call, PL_ATTEMPT_BROKEN, 0);
  ck_assert_int_eq (call->sends, kinds[_i].repeatable ? 2 : 1);
}
END_TEST

START_TEST (without_a_configuration_nothing_is_denied)
{
  struct world *empty = world_new ();
  struct world_call *call = world_call (empty, "/read/1", "key-1");

  ck_assert_int_eq (call->status, 503);
  ck_assert_int_gt (call->retry_after_us, 0);
  world_free (empty);
}
END_TEST

START_TEST (work_that_runs_once_is_not_repeated_after_a_lost_answer)
{
  struct world_call *call = world_call (world, "/write/1", "key-1");

  ck_assert (call->once);
  world_end (world, call, PL_ATTEMPT_BROKEN, 0);
  ck_assert_int_eq (call->sends, 1);
  ck_assert_int_eq (call->status, 502);
}
END_TEST

START_TEST (work_that_did_not_run_is_sent_to_another_server)
{
  struct world_call *call = world_call (world, "/write/1", "key-1");
  char first[PL_SERVER_ID_CHARS];

  strcpy (first, call->server);
  world_end (world, call, PL_ATTEMPT_NOT_RUN, 503);
  ck_assert_int_eq (call->sends, 2);
  ck_assert_str_ne (call->server, first);
  world_end (world, call, PL_ATTEMPT_NOT_RUN, 503);
  ck_assert_int_eq (call->sends, 2);
  ck_assert_int_eq (call->status, 503);
  ck_assert_int_gt (call->retry_after_us, 0);
}
END_TEST

START_TEST (a_refusal_after_a_lost_answer_does_not_say_not_run)
{
  struct world_call *call = world_call (world, "/read/1", "key-1");

  world_end (world, call, PL_ATTEMPT_BROKEN, 0);
  ck_assert_int_eq (call->sends, 2);
  world_end (world, call, PL_ATTEMPT_NOT_RUN, 503);
  ck_assert_int_eq (call->status, 502);
}
END_TEST

START_TEST (a_servers_own_503_is_not_passed_on_as_a_promise)
{
  struct world_call *call = world_call (world, "/write/1", "key-1");

  world_end (world, call, PL_ATTEMPT_ANSWERED, 503);
  ck_assert (!call->delivered);
  ck_assert_int_eq (call->status, 502);
}
END_TEST

START_TEST (a_request_is_answered_by_its_routes_timeout)
{
  struct world_call *call = world_call (world, "/read/1", "key-1");

  world_run (world, 790 * WORLD_MS);
  ck_assert_int_eq (call->answers, 0);
  world_run (world, 20 * WORLD_MS);
  ck_assert (call->cancelled);
  ck_assert_int_eq (call->status, 504);
}
END_TEST

START_TEST (repeatable_work_ends_with_its_caller)
{
  struct world_call *read = world_call (world, "/read/1", "key-1");
  struct world_call *write = world_call (world, "/write/1", "key-1");
  struct pl_router_event gone = {.type = PL_ROUTER_CALLER_GONE};

  gone.u.request = read->id;
  world_step (world, &gone);
  gone.u.request = write->id;
  world_step (world, &gone);
  ck_assert (read->cancelled);
  ck_assert (!write->cancelled);
  world_end (world, write, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (write->delivered);
}
END_TEST

START_TEST (what_has_no_room_is_refused_after_a_short_wait)
{
  struct world_call *last = NULL;

  for (int i = 0; i < 60; i++)
    last = world_call (world, "/read/1", "key-1");
  ck_assert_int_eq (last->sends, 0);
  ck_assert_int_eq (last->answers, 0);
  world_run (world, 30 * WORLD_MS);
  ck_assert_int_eq (last->status, 503);
  ck_assert_int_gt (last->retry_after_us, 0);
}
END_TEST

/* A request whose server is full waits; one behind it whose server is free does not. */
START_TEST (a_request_that_waits_holds_up_nobody_else)
{
  struct world_call *waiting;
  int sent = 0;

  do
    waiting = world_call (world, "/read/busy", "key-1");
  while (waiting->at_server);
  ck_assert_int_eq (waiting->answers, 0);
  for (int i = 0; i < 12; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);

      sent += world_call (world, path, "key-1")->at_server;
    }
  ck_assert_int_ge (sent, 4);
}
END_TEST

/* The place that an answer frees goes to the request that waits for it. */
START_TEST (a_place_that_is_freed_is_given_away_at_once)
{
  struct world_call *first = world_call (world, "/read/busy", "key-1");
  struct world_call *waiting;

  do
    waiting = world_call (world, "/read/busy", "key-1");
  while (waiting->at_server);
  world_run (world, 5 * WORLD_MS);
  world_end (world, first, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (waiting->at_server);
}
END_TEST

START_TEST (without_servers_a_request_is_refused_at_once)
{
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_server (world, id, "a-1", "draining", 1);
    }
  ck_assert_int_eq (world_call (world, "/read/1", "key-1")->status, 503);
}
END_TEST

START_TEST (an_evacuated_domain_gets_nothing_until_it_is_taken_back)
{
  world_row (world, PL_TABLE_CONTROL, "evacuate/a-1", "{}");
  for (int i = 0; i < 20; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_call (world, path, "key-1");

      ck_assert_int_eq (call->sends, 1);
      ck_assert (strcmp (call->server, "s-1") == 0 || strcmp (call->server, "s-3") == 0);
      world_end (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  world_row (world, PL_TABLE_CONTROL, "evacuate/a-1", NULL);
}
END_TEST

START_TEST (an_older_configuration_changes_nothing)
{
  world_config (world, 2, NULL);
  ck_assert_int_eq (pl_router_held (world->router, PL_TABLE_CONTROL), world->version);
  world_row (world, PL_TABLE_CONTROL, "config", "{\"Version\":\"r9\",\"Resources\":[{");
  ck_assert_int_eq (world->troubles, 1);
  ck_assert_int_eq (world_call (world, "/read/1", "key-1")->sends, 1);
}
END_TEST

START_TEST (an_unknown_kind_is_logged_and_the_rest_holds)
{
  world_config (world, 4,
                "{\"ResourceKind\":\"Riddles\",\"Metadata\":{\"Name\":\"odd\"},\"Spec\":{}},");
  ck_assert_int_eq (world->troubles, 1);
  ck_assert_int_eq (world_call (world, "/read/1", "key-1")->sends, 1);
}
END_TEST

START_TEST (a_row_that_can_not_be_read_names_no_server)
{
  static const char *const odd_state = "{\"Address\":\"10.1.0.9:80\",\"Info\":{\"Service\":"
                                       "\"stock\",\"Zone\":\"a-1\",\"Slots\":4},"
                                       "\"Status\":{\"State\":\"resting\"}}";
  const char *const rows[] = {"{\"Address\":7}", "not json", "[]", odd_state, "\xff\xfe"};

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    world_row (world, PL_TABLE_SERVERS, "odd", rows[i]);
  ck_assert_int_eq (world->troubles, (int) G_N_ELEMENTS (rows));
  ck_assert_int_eq (world_call (world, "/read/1", "key-1")->sends, 1);
}
END_TEST

/* The trial sent requests to servers for 2.5 s after the store had turned down some hosts only. */
START_TEST (a_server_whose_entry_is_gone_gets_nothing_more)
{
  struct world_call *call = world_call (world, "/read/1", "key-1");
  char first[PL_SERVER_ID_CHARS];

  strcpy (first, call->server);
  world_end (world, call, PL_ATTEMPT_ANSWERED, 200);
  world_row (world, PL_TABLE_SERVERS, first, NULL);
  call = world_call (world, "/read/1", "key-1");
  ck_assert_str_ne (call->server, first);
}
END_TEST

START_TEST (entries_that_lapsed_with_the_store_are_used_a_little_longer)
{
  struct pl_router_event failed = {.type = PL_ROUTER_STORE_FAILED};
  struct pl_router_event well = {.type = PL_ROUTER_STORE_WELL};

  world_step (world, &failed);
  world_run (world, 4 * WORLD_SECOND);
  world_step (world, &well);
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_row (world, PL_TABLE_SERVERS, id, NULL);
    }
  ck_assert_int_eq (world_call (world, "/read/1", "key-1")->sends, 1);
  world_run (world, 3 * WORLD_SECOND);
  ck_assert_int_eq (world_call (world, "/read/2", "key-1")->status, 503);
}
END_TEST

START_TEST (a_request_that_ends_servers_is_quarantined)
{
  struct world_call *call = world_call (world, "/read/bad", "key-1");

  world_end (world, call, PL_ATTEMPT_BROKEN, 0);
  world_end (world, call, PL_ATTEMPT_BROKEN, 0);
  call = world_call (world, "/read/bad", "key-1");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 503);
  ck_assert_int_eq (world_call (world, "/read/good", "key-1")->sends, 1);
}
END_TEST

START_TEST (a_stopping_host_finishes_what_it_has)
{
  struct world_call *call = world_call (world, "/read/1", "key-1");
  struct pl_router_event stop = {.type = PL_ROUTER_STOP};
  const char *addresses[4];

  ck_assert (pl_router_is_ready (world->router));
  world_step (world, &stop);
  ck_assert (world->closing);
  ck_assert (!pl_router_is_ready (world->router));
  ck_assert_int_eq (pl_router_name_hosts (world->router, "a-1", "a", addresses, 4, world->now_us),
                    0);
  world_run (world, 500 * WORLD_MS);
  ck_assert (!world->stopped);
  world_end (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (call->delivered);
  ck_assert_int_eq (world_call (world, "/read/2", "key-1")->sends, 1);
  world_run (world, 6 * WORLD_SECOND);
  ck_assert (world->stopped);
}
END_TEST

static struct pl_beacon
peer_beacon (const char *name, const char *domain)
{
  struct pl_beacon beacon = {.incarnation = 1,
                             .ready = true,
                             .self.capacity = 200,
                             .watching = true,
                             .store_trouble_us = -1};

  beacon.host = pl_host_id (name);
  beacon.has_identity = true;
  g_strlcpy (beacon.self.name, name, sizeof beacon.self.name);
  g_snprintf (beacon.self.peer_address, sizeof beacon.self.peer_address, "10.0.1.%d:7600",
              (int) (g_str_hash (name) % 200));
  g_snprintf (beacon.self.caller_address, sizeof beacon.self.caller_address, "10.0.1.%d:80",
              (int) (g_str_hash (name) % 200));
  g_strlcpy (beacon.self.relay_address, beacon.self.peer_address, sizeof beacon.self.relay_address);
  g_strlcpy (beacon.self.domain, domain, sizeof beacon.self.domain);
  return beacon;
}

static void
hear (struct pl_beacon *beacon)
{
  struct pl_router_event event = {.type = PL_ROUTER_BEACON};

  event.u.beacon = beacon;
  world_step (world, &event);
}

START_TEST (a_host_fetches_news_that_a_peer_holds)
{
  struct pl_beacon beacon = peer_beacon ("host-b", "a-2");

  beacon.held[PL_TABLE_CONTROL] = world->version + 1;
  hear (&beacon);
  world_run (world, WORLD_SECOND);
  ck_assert_int_ge (world->fetches, 1);
}
END_TEST

static void
count_row (void *data, enum pl_table table, const struct pl_row *row)
{
  (void) table;
  (void) row;
  ++*(int *) data;
}

/* However many rows there are, a peer that lacks one gets one. */
START_TEST (a_change_among_many_servers_is_one_row)
{
  int64_t before;
  bool is_whole;
  int rows = 0;

  for (int i = 0; i < 2500; i++)
    {
      g_autofree char *id = g_strdup_printf ("many-%d", i);

      world_server (world, id, "a-1", "ready", 1);
    }
  before = pl_router_held (world->router, PL_TABLE_SERVERS);
  world_server (world, "many-7", "a-1", "draining", 1);
  pl_router_rows_after (world->router, PL_TABLE_SERVERS, before, &is_whole, count_row, &rows);
  ck_assert (!is_whole);
  ck_assert_int_eq (rows, 1);
}
END_TEST

/* What was gone long ago is forgotten; a peer that may still hold it gets all there is. */
START_TEST (rows_that_are_gone_are_forgotten_in_the_end)
{
  bool is_whole;
  int rows = 0;

  for (int i = 0; i < 2500; i++)
    {
      g_autofree char *id = g_strdup_printf ("many-%d", i);

      world_server (world, id, "a-1", "ready", 1);
      world_row (world, PL_TABLE_SERVERS, id, NULL);
    }
  pl_router_rows_after (world->router, PL_TABLE_SERVERS, 10, &is_whole, count_row, &rows);
  ck_assert (is_whole);
  ck_assert_int_eq (rows, 4);
}
END_TEST

/* All processes were killed: nobody is there to ask. */
START_TEST (a_host_that_hears_nobody_reads_the_store_at_once)
{
  struct world *empty = world_new ();

  world_run (empty, 40 * WORLD_MS);
  ck_assert (empty->watching);
  world_free (empty);
}
END_TEST

START_TEST (one_host_a_region_reads_the_store)
{
  int watchers = 0;

  /* Whichever of the two is first by hash, the other does not read while it hears it. */
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *name = g_strdup_printf ("peer-%d", i);
      struct pl_beacon beacon = peer_beacon (name, "a-2");

      tear_down ();
      set_up ();
      for (int j = 0; j < 4; j++)
        {
          hear (&beacon);
          world_run (world, 500 * WORLD_MS);
        }
      watchers += world->watching;
      world_run (world, 4 * WORLD_SECOND);
      ck_assert (world->watching);
    }
  ck_assert_int_gt (watchers, 0);
  ck_assert_int_lt (watchers, 8);
}
END_TEST

START_TEST (the_directory_names_strong_hosts_of_the_callers_domain)
{
  struct pl_beacon weak = peer_beacon ("weak", "a-1");
  struct pl_beacon strong = peer_beacon ("strong", "a-1");
  struct pl_beacon far = peer_beacon ("far", "b-1");
  const char *addresses[8];

  weak.self.capacity = 20;
  hear (&weak);
  hear (&strong);
  hear (&far);
  ck_assert_int_eq (pl_router_name_hosts (world->router, "a-1", "a", addresses, 8, world->now_us),
                    2);
  strong.leaving = true;
  hear (&strong);
  ck_assert_int_eq (pl_router_name_hosts (world->router, "a-1", "a", addresses, 8, world->now_us),
                    2);
  ck_assert_int_eq (pl_router_name_hosts (world->router, "b-1", "b", addresses, 8, world->now_us),
                    1);
  ck_assert_str_eq (addresses[0], far.self.caller_address);
  /* A host that fell silent is named no longer. */
  world_run (world, 5 * WORLD_SECOND);
  ck_assert_int_eq (pl_router_name_hosts (world->router, "b-1", "b", addresses, 8, world->now_us),
                    1);
  ck_assert_str_eq (addresses[0], "10.0.0.1:80");
}
END_TEST

static void
lose_store (void)
{
  struct pl_router_event event = {.type = PL_ROUTER_STORE_FAILED};

  world_step (world, &event);
}

/* Callers of a domain that is cut off can often reach the others. */
START_TEST (a_host_that_is_cut_off_names_others_beside_itself)
{
  struct pl_beacon near = peer_beacon ("near", "a-2");
  struct pl_beacon far = peer_beacon ("far", "b-1");
  const char *addresses[8];

  near.active = true;
  far.active = true;
  hear (&near);
  hear (&far);
  world_run (world, 6 * WORLD_SECOND);
  /* With the store in reach the others are down, not cut off. */
  ck_assert_int_eq (pl_router_name_hosts (world->router, "a-1", "a", addresses, 8, world->now_us),
                    1);
  lose_store ();
  ck_assert_int_eq (pl_router_name_hosts (world->router, "a-1", "a", addresses, 8, world->now_us),
                    3);
  ck_assert_str_eq (addresses[0], "10.0.0.1:80");
  ck_assert_str_eq (addresses[1], near.self.caller_address);
  ck_assert_str_eq (addresses[2], far.self.caller_address);
}
END_TEST

#define SMALL_RATE 90
#define SMALL_ACCOUNT                                                                              \
  "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"small\"},\"Spec\":{"                     \
  "\"ApiKeys\":[\"key-small\"],\"RatePerS\":90,\"Burst\":10}},"

/* Returns how many requests are admitted in a second in which more than the account's rate come. */
static int
admitted_in_a_second (void)
{
  int admitted = 0;

  for (int i = 0; i < 200; i++)
    {
      struct world_call *call = world_call (world, "/read/1", "key-small");

      if (call->at_server)
        world_end (world, call, PL_ATTEMPT_ANSWERED, 200);
      admitted += call->delivered;
      world_run (world, 5 * WORLD_MS);
    }
  return admitted;
}

/* Eight hosts that fell silent keep their part of each rate; for good when it may be this host that
 * is cut off. */
START_TEST (a_host_alone_keeps_to_its_part_of_a_rate)
{
  static const int64_t silences[] = {25 * WORLD_SECOND, 100 * WORLD_SECOND};

  world_config (world, 4, SMALL_ACCOUNT);
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *name = g_strdup_printf ("host-%d", i);
      struct pl_beacon beacon = peer_beacon (name, i % 2 == 0 ? "a-2" : "b-1");

      beacon.active = true;
      hear (&beacon);
    }
  lose_store ();
  for (size_t i = 0; i < G_N_ELEMENTS (silences); i++)
    {
      world_run (world, silences[i]);
      /* A bucket of a tenth of the rate, and one of nine parts of it. */
      ck_assert_int_le (admitted_in_a_second (), SMALL_RATE / 10 + SMALL_RATE / 9 + 1);
    }
}
END_TEST

/* A host started again after its time of day was set back. */
START_TEST (a_host_whose_clock_was_set_back_is_heard)
{
  struct pl_beacon beacon = peer_beacon ("far", "b-1");
  const char *addresses[8];

  beacon.incarnation = 9;
  hear (&beacon);
  beacon.incarnation = 5;
  beacon.leaving = true;
  hear (&beacon);
  /* So soon it is a late datagram of an earlier process. */
  ck_assert_int_eq (pl_router_name_hosts (world->router, "b-1", "b", addresses, 8, world->now_us),
                    1);
  ck_assert_str_eq (addresses[0], beacon.self.caller_address);
  world_run (world, WORLD_SECOND);
  beacon.leaving = false;
  g_strlcpy (beacon.self.caller_address, "10.0.9.9:80", sizeof beacon.self.caller_address);
  hear (&beacon);
  pl_router_name_hosts (world->router, "b-1", "b", addresses, 8, world->now_us);
  ck_assert_str_eq (addresses[0], "10.0.9.9:80");
}
END_TEST

START_TEST (parts_of_a_split_get_their_weights)
{
  int parts[2] = {0, 0};

  world_config (world, 4,
                "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"other\"},\"Spec\":{"
                "\"HealthPath\":\"/health\"}},"
                "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"split\"},\"Spec\":{\"Host\":"
                "\"h\",\"Prefix\":\"/read/split/\",\"Kind\":\"idempotent\",\"Timeout\":\"1s\","
                "\"TargetLatency\":\"200ms\",\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":"
                "90},{\"Service\":\"other\",\"Weight\":10}],\"Attempts\":1}},");
  for (int i = 0; i < 300; i++)
    {
      struct world_call *call = world_call (world, "/read/split/1", "key-1");

      /* The other service has no servers: its part is refused, not moved. */
      parts[call->sends > 0 ? 0 : 1]++;
      if (call->sends > 0)
        world_end (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  ck_assert_int_eq (parts[0], 270);
  ck_assert_int_eq (parts[1], 30);
}
END_TEST

/* Each answer is counted in a bucket that is not above its latency, and in the total. */
START_TEST (metrics_hold_a_histogram_by_account_and_route)
{
  g_autoptr (GString) text = g_string_new (NULL);

  for (int i = 0; i < 3; i++)
    {
      struct world_call *call = world_call (world, "/read/1", "key-1");

      world_run (world, 100 * WORLD_MS);
      world_end (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  pl_router_metrics (world->router, text);
  ck_assert_ptr_nonnull (strstr (text->str, "pomelolatch_latency_seconds_bucket{account=\"shop\","
                                            "le=\"0.131071\"} 3\n"));
  ck_assert_ptr_nonnull (strstr (text->str, "pomelolatch_latency_seconds_bucket{route=\"read\","
                                            "le=\"+Inf\"} 3\n"));
  ck_assert_ptr_nonnull (
      strstr (text->str, "pomelolatch_latency_seconds_count{account=\"shop\"} 3"));
  ck_assert_ptr_null (strstr (text->str, "le=\"0.065535\""));
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "router");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_request_is_sent_and_its_answer_delivered);
  tcase_add_test (tcase, unknown_routes_and_keys_are_refused);
  tcase_add_test (tcase, without_accounts_no_key_is_asked_for);
  tcase_add_loop_test (tcase, kinds_tell_what_may_be_repeated, 0, 4);
  tcase_add_test (tcase, without_a_configuration_nothing_is_denied);
  tcase_add_test (tcase, work_that_runs_once_is_not_repeated_after_a_lost_answer);
  tcase_add_test (tcase, work_that_did_not_run_is_sent_to_another_server);
  tcase_add_test (tcase, a_refusal_after_a_lost_answer_does_not_say_not_run);
  tcase_add_test (tcase, a_servers_own_503_is_not_passed_on_as_a_promise);
  tcase_add_test (tcase, a_request_is_answered_by_its_routes_timeout);
  tcase_add_test (tcase, repeatable_work_ends_with_its_caller);
  tcase_add_test (tcase, what_has_no_room_is_refused_after_a_short_wait);
  tcase_add_test (tcase, a_request_that_waits_holds_up_nobody_else);
  tcase_add_test (tcase, a_place_that_is_freed_is_given_away_at_once);
  tcase_add_test (tcase, without_servers_a_request_is_refused_at_once);
  tcase_add_test (tcase, an_evacuated_domain_gets_nothing_until_it_is_taken_back);
  tcase_add_test (tcase, an_older_configuration_changes_nothing);
  tcase_add_test (tcase, an_unknown_kind_is_logged_and_the_rest_holds);
  tcase_add_test (tcase, a_row_that_can_not_be_read_names_no_server);
  tcase_add_test (tcase, a_server_whose_entry_is_gone_gets_nothing_more);
  tcase_add_test (tcase, entries_that_lapsed_with_the_store_are_used_a_little_longer);
  tcase_add_test (tcase, a_request_that_ends_servers_is_quarantined);
  tcase_add_test (tcase, a_stopping_host_finishes_what_it_has);
  tcase_add_test (tcase, a_host_fetches_news_that_a_peer_holds);
  tcase_add_test (tcase, a_change_among_many_servers_is_one_row);
  tcase_add_test (tcase, rows_that_are_gone_are_forgotten_in_the_end);
  tcase_add_test (tcase, a_host_that_hears_nobody_reads_the_store_at_once);
  tcase_add_test (tcase, one_host_a_region_reads_the_store);
  tcase_add_test (tcase, the_directory_names_strong_hosts_of_the_callers_domain);
  tcase_add_test (tcase, a_host_that_is_cut_off_names_others_beside_itself);
  tcase_add_test (tcase, a_host_alone_keeps_to_its_part_of_a_rate);
  tcase_add_test (tcase, a_host_whose_clock_was_set_back_is_heard);
  tcase_add_test (tcase, parts_of_a_split_get_their_weights);
  tcase_add_test (tcase, metrics_hold_a_histogram_by_account_and_route);
  return suite_run (suite);
}
