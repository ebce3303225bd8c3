/* Tests the router's guarantees one at a time, in virtual time.  test_router_fuzz.c checks them
 * under random sequences of events. */
#include "router_world.h"
#include "suite.h"

#include <string.h>

static struct world *world;

static void
set_up (void)
{
  world = world_new ();
  world_put_config (world, 3, NULL);
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_put_server (world, id, i % 2 == 0 ? "a-1" : "b-1", "ready", 1);
    }
  world_advance (world, 4 * WORLD_SECOND);
}

static void
tear_down (void)
{
  world_free (world);
}

START_TEST (a_request_is_sent_and_its_answer_delivered)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");

  ck_assert_int_eq (call->sends, 1);
  ck_assert (!call->at_most_once);
  ck_assert_int_le (call->time_left_us, 800 * WORLD_MS);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert_int_eq (call->answers, 1);
  ck_assert (call->delivered);
}
END_TEST

/* Sends requests until each of the four servers has answered one and named a limit of
 * PER_SECOND. */
static void
name_limit_of_all_servers (double per_second)
{
  for (int i = 0; i < 40; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_send_request (world, path, "key-1");

      if (call->at_server)
        world_answer_with_limit (world, call, per_second);
    }
}

/* The server accepts connections and loses each answer, so that its breaker trips again and again.
 */
START_TEST (probes_of_a_server_keep_to_its_limit)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");
  struct pl_router_event probed = {.type = PL_ROUTER_PROBED};

  world_answer_with_limit (world, call, 0);
  for (int i = 0; i < 2; i++)
    {
      struct world_call *lost;

      do
        {
          world_advance (world, 100 * WORLD_MS);
          lost = world_send_request (world, "/read/1", "key-1");
          if (strcmp (lost->server, call->server) != 0)
            world_end_attempt (world, lost, PL_ATTEMPT_ANSWERED, 200);
        }
      while (strcmp (lost->server, call->server) != 0);
      world_end_attempt (world, lost, PL_ATTEMPT_ANSWER_LOST, 0);
      if (lost->at_server)
        world_end_attempt (world, lost, PL_ATTEMPT_ANSWERED, 200);
    }
  world->probes = 0;
  for (int i = 0; i < 40; i++)
    {
      int before = world->probes;

      world_advance (world, 500 * WORLD_MS);
      if (world->probes == before)
        continue;
      probed.u.probed.server = pl_server_hash (call->server);
      world_step (world, &probed);
    }
  ck_assert_int_ge (world->probes, 1);
  /* A limit of 0 leaves one request in ten seconds, and two saved up. */
  ck_assert_int_le (world->probes, 4);
}
END_TEST

START_TEST (requests_beyond_the_limits_of_all_servers_are_refused_at_once)
{
  int served = 0;

  name_limit_of_all_servers (2);
  world_advance (world, 10 * WORLD_SECOND);
  for (int i = 0; i < 40; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_send_request (world, path, "key-1");

      if (call->at_server)
        {
          served++;
          world_answer_with_limit (world, call, 2);
          continue;
        }
      ck_assert_int_eq (call->answers, 1);
      ck_assert_int_eq (call->status, 503);
      ck_assert_str_eq (call->reason, "servers-limited");
      ck_assert_int_gt (call->retry_after_us, 0);
    }
  ck_assert_int_ge (served, 4);
  ck_assert_int_le (served, 12);
}
END_TEST

START_TEST (answers_without_a_limit_do_not_end_it_at_once)
{
  struct world_call *early[8];
  struct world_call *call;
  int sent = 0;

  for (int i = 0; i < 8; i++)
    early[i] = world_send_request (world, "/read/1", "key-1");
  world_answer_with_limit (world, early[0], 0);
  for (int i = 1; i < 8; i++)
    if (strcmp (early[i]->server, early[0]->server) == 0)
      world_end_attempt (world, early[i], PL_ATTEMPT_ANSWERED, 200);
  for (int i = 0; i < 10; i++)
    {
      call = world_send_request (world, "/read/1", "key-1");
      sent += strcmp (call->server, early[0]->server) == 0;
    }
  ck_assert_int_le (sent, 2);
}
END_TEST

START_TEST (unknown_routes_and_keys_are_refused)
{
  ck_assert_int_eq (world_send_request (world, "/none/1", "key-1")->status, 404);
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-9")->status, 401);
  ck_assert_int_eq (world_send_request (world, "/read/1", NULL)->status, 401);
}
END_TEST

/* Guards against a configuration without accounts that refuses every request. */
START_TEST (without_accounts_no_key_is_required)
{
  static const char config[]
      = "{\"Version\":\"r9\",\"Resources\":["
        "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"stock\"},\"Spec\":{}},"
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"read\"},\"Spec\":{\"Host\":\"h\","
        "\"Prefix\":\"/read/\",\"Kind\":\"idempotent\",\"Service\":\"stock\"}}]}";

  world_put_row (world, PL_TABLE_CONTROL, "config", config);
  ck_assert_int_eq (world_send_request (world, "/read/1", NULL)->sends, 1);
  ck_assert_int_eq (world_send_request (world, "/read/2", "key-1")->sends, 1);
}
END_TEST

#define ROUTE_OF_KIND                                                                              \
  "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"kind\"},\"Spec\":{\"Host\":\"h\","        \
  "\"Prefix\":\"/read/kind/\",\"Kind\":\"%s\",\"Timeout\":\"800ms\",\"TargetLatency\":\"200ms\","  \
  "\"Service\":\"stock\",\"Attempts\":2,\"Sticky\":true}},"

/* Whether a request may run more than once depends on the kind of its route alone. */
START_TEST (the_route_kind_decides_what_may_be_retried)
{
  static const struct
  {
    const char *kind;
    bool repeatable;
  } kinds[]
      = {{"idempotent", true}, {"download", true}, {"non_idempotent", false}, {"upload", false}};
  g_autofree char *route = g_strdup_printf (ROUTE_OF_KIND, kinds[_i].kind);
  struct world_call *call;

  world_put_config (world, 4, route);
  call = world_send_request (world, "/read/kind/1", "key-1");
  call->repeatable = kinds[_i].repeatable;
  ck_assert (call->at_most_once == !kinds[_i].repeatable);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
  ck_assert_int_eq (call->sends, kinds[_i].repeatable ? 2 : 1);
}
END_TEST

START_TEST (without_a_configuration_requests_get_503)
{
  struct world *empty = world_new ();
  struct world_call *call = world_send_request (empty, "/read/1", "key-1");

  ck_assert_int_eq (call->status, 503);
  ck_assert_int_gt (call->retry_after_us, 0);
  world_free (empty);
}
END_TEST

/* Guards against a second run of a request that may run at most once. */
START_TEST (a_request_that_may_run_at_most_once_is_not_retried_after_a_lost_answer)
{
  struct world_call *call = world_send_request (world, "/write/1", "key-1");

  ck_assert (call->at_most_once);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
  ck_assert_int_eq (call->sends, 1);
  ck_assert_int_eq (call->status, 502);
}
END_TEST

START_TEST (a_request_that_did_not_run_is_sent_to_another_server)
{
  struct world_call *call = world_send_request (world, "/write/1", "key-1");
  const char *first = call->server;

  world_end_attempt (world, call, PL_ATTEMPT_NOT_RUN, 503);
  ck_assert_int_eq (call->sends, 2);
  ck_assert_str_ne (call->server, first);
  world_end_attempt (world, call, PL_ATTEMPT_NOT_RUN, 503);
  ck_assert_int_eq (call->sends, 2);
  ck_assert_int_eq (call->status, 503);
  ck_assert_int_gt (call->retry_after_us, 0);
}
END_TEST

/* The first server may have run the request, even though the second did not. */
START_TEST (a_refusal_after_a_lost_answer_does_not_say_not_run)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");

  world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
  ck_assert_int_eq (call->sends, 2);
  world_end_attempt (world, call, PL_ATTEMPT_NOT_RUN, 503);
  ck_assert_int_eq (call->status, 502);
}
END_TEST

/* To a caller, 503 means that the request did not run; this one may have run. */
START_TEST (a_503_answer_of_a_server_is_not_forwarded)
{
  struct world_call *call = world_send_request (world, "/write/1", "key-1");

  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 503);
  ck_assert (!call->delivered);
  ck_assert_int_eq (call->status, 502);
}
END_TEST

START_TEST (a_request_is_answered_by_its_routes_timeout)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");

  world_advance (world, 790 * WORLD_MS);
  ck_assert_int_eq (call->answers, 0);
  world_advance (world, 20 * WORLD_MS);
  ck_assert (call->cancelled);
  ck_assert_int_eq (call->status, 504);
}
END_TEST

/* When its caller disconnects, a repeatable request is cancelled; one that may run at most once
 * continues. */
START_TEST (a_repeatable_request_is_cancelled_with_its_caller)
{
  struct world_call *read = world_send_request (world, "/read/1", "key-1");
  struct world_call *write = world_send_request (world, "/write/1", "key-1");
  struct pl_router_event gone = {.type = PL_ROUTER_CALLER_GONE};

  gone.u.request = read->id;
  world_step (world, &gone);
  gone.u.request = write->id;
  world_step (world, &gone);
  ck_assert (read->cancelled);
  ck_assert (!write->cancelled);
  world_end_attempt (world, write, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (write->delivered);
}
END_TEST

/* A peer knows only of its own attempts. */
START_TEST (a_peer_that_can_not_serve_does_not_undo_an_earlier_run)
{
  static const char *const reasons[] = {"no-configuration", "cut-off", "servers-lost"};

  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    {
      struct pl_beacon near = world_peer_beacon ("host-b", "a-1");
      struct pl_beacon far = world_peer_beacon ("host-c", "a-2");
      struct world_call *call;

      tear_down ();
      set_up ();
      world_receive_beacon (world, &near);
      world_receive_beacon (world, &far);
      world_lose_servers (world);
      call = world_send_request (world, "/read/2", "key-1");
      ck_assert (call->at_peer);
      world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
      ck_assert (call->at_peer);
      world_refuse_by_peer (world, call, 503, reasons[i], 0);
      ck_assert_int_eq (call->answers, 1);
      ck_assert_int_eq (call->status, 502);
    }
}
END_TEST

/* Nobody waits for the answer any more. */
START_TEST (a_request_whose_caller_has_left_is_not_sent_again)
{
  static const enum pl_attempt_end ends[] = {PL_ATTEMPT_NOT_RUN, PL_ATTEMPT_NOT_SENT};

  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      struct world_call *write = world_send_request (world, "/write/1", "key-1");
      struct pl_router_event gone = {.type = PL_ROUTER_CALLER_GONE};

      ck_assert_int_eq (write->sends, 1);
      gone.u.request = write->id;
      world_step (world, &gone);
      world_end_attempt (world, write, ends[i], 503);
      ck_assert_int_eq (write->sends, 1);
      ck_assert_int_eq (write->answers, 1);
    }
}
END_TEST

/* Another version may limit accounts at the peer, and a public route has none. */
START_TEST (a_peer_may_refuse_for_any_reason)
{
  static const char *const reasons[] = {"over-rate", "no-key", "no-route", "quarantined", "new"};

  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    {
      struct pl_beacon near = world_peer_beacon ("host-b", "a-1");
      struct world_call *call;

      tear_down ();
      set_up ();
      world_put_config (world, 4,
                        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"open\"},\"Spec\":{"
                        "\"Host\":\"h\",\"Prefix\":\"/open/\",\"Kind\":\"idempotent\","
                        "\"Timeout\":\"800ms\",\"TargetLatency\":\"200ms\",\"Public\":true,"
                        "\"Service\":\"stock\",\"Attempts\":2}},");
      world_receive_beacon (world, &near);
      world_lose_servers (world);
      call = world_send_request (world, "/open/1", NULL);
      ck_assert (call->at_peer);
      world_refuse_by_peer (world, call, 429, reasons[i], 0);
      ck_assert_int_eq (call->answers, 1);
      ck_assert_int_ge (call->status, 401);
    }
}
END_TEST

/* Its connection is held until there is an answer, and may be closed in one direction only. */
START_TEST (a_request_whose_caller_has_left_is_answered)
{
  struct pl_router_event gone = {.type = PL_ROUTER_CALLER_GONE};
  struct world_call *read = world_send_request (world, "/read/1", "key-1");
  struct world_call *waiting = NULL;

  for (int i = 0; i < 60; i++)
    waiting = world_send_request (world, i % 2 == 0 ? "/read/1" : "/write/1", "key-1");
  ck_assert_int_eq (waiting->sends, 0);
  gone.u.request = waiting->id;
  world_step (world, &gone);
  ck_assert_int_eq (waiting->answers, 1);
  ck_assert_int_eq (waiting->status, 503);
  gone.u.request = read->id;
  world_step (world, &gone);
  ck_assert_int_eq (read->answers, 1);
  ck_assert_int_eq (read->status, 502); /* a server may have run it */
}
END_TEST

START_TEST (a_request_without_a_slot_is_refused_after_a_short_wait)
{
  struct world_call *last = NULL;

  for (int i = 0; i < 60; i++)
    last = world_send_request (world, "/read/1", "key-1");
  ck_assert_int_eq (last->sends, 0);
  ck_assert_int_eq (last->answers, 0);
  world_advance (world, 30 * WORLD_MS);
  ck_assert_int_eq (last->status, 503);
  ck_assert_int_gt (last->retry_after_us, 0);
}
END_TEST

/* A request whose server is full waits; one behind it whose server has a free slot does not. */
START_TEST (a_waiting_request_does_not_block_others)
{
  struct world_call *waiting;
  int sent = 0;

  do
    waiting = world_send_request (world, "/read/busy", "key-1");
  while (waiting->at_server);
  ck_assert_int_eq (waiting->answers, 0);
  for (int i = 0; i < 12; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);

      sent += world_send_request (world, path, "key-1")->at_server;
    }
  ck_assert_int_ge (sent, 4);
}
END_TEST

/* The slot that an answer frees goes to the request that waits for it. */
START_TEST (a_freed_slot_is_used_at_once)
{
  struct world_call *first = world_send_request (world, "/read/busy", "key-1");
  struct world_call *waiting;

  do
    waiting = world_send_request (world, "/read/busy", "key-1");
  while (waiting->at_server);
  world_advance (world, 5 * WORLD_MS);
  world_end_attempt (world, first, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (waiting->at_server);
}
END_TEST

START_TEST (without_servers_a_request_is_refused_at_once)
{
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_put_server (world, id, "a-1", "draining", 1);
    }
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-1")->status, 503);
}
END_TEST

START_TEST (an_evacuated_domain_gets_no_requests)
{
  world_put_row (world, PL_TABLE_CONTROL, "evacuate/a-1", "{}");
  for (int i = 0; i < 20; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_send_request (world, path, "key-1");

      ck_assert_int_eq (call->sends, 1);
      ck_assert (strcmp (call->server, "s-1") == 0 || strcmp (call->server, "s-3") == 0);
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  world_put_row (world, PL_TABLE_CONTROL, "evacuate/a-1", NULL);
}
END_TEST

/* Guards against a configuration that goes back to an older version or is lost with a malformed
 * one. */
START_TEST (an_older_configuration_changes_nothing)
{
  world_put_config (world, 2, NULL);
  ck_assert_int_eq (pl_router_held_version (world->router, PL_TABLE_CONTROL), world->version);
  world_put_row (world, PL_TABLE_CONTROL, "config", "{\"Version\":\"r9\",\"Resources\":[{");
  ck_assert_int_eq (world->warnings, 1);
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-1")->sends, 1);
}
END_TEST

START_TEST (an_unknown_resource_kind_is_logged_and_the_rest_applies)
{
  world_put_config (world, 4,
                    "{\"ResourceKind\":\"Riddles\",\"Metadata\":{\"Name\":\"odd\"},\"Spec\":{}},");
  ck_assert_int_eq (world->warnings, 1);
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-1")->sends, 1);
}
END_TEST

START_TEST (a_malformed_server_row_is_ignored)
{
  static const char *const odd_state = "{\"Address\":\"10.1.0.9:80\",\"Info\":{\"Service\":"
                                       "\"stock\",\"Zone\":\"a-1\",\"Slots\":4},"
                                       "\"Status\":{\"State\":\"resting\"}}";
  const char *const rows[] = {"{\"Address\":7}", "not json", "[]", odd_state, "\xff\xfe"};

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    world_put_row (world, PL_TABLE_SERVERS, "odd", rows[i]);
  ck_assert_int_eq (world->warnings, (int) G_N_ELEMENTS (rows));
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-1")->sends, 1);
}
END_TEST

/* Guards against the use of a server after its row is deleted: in a trial, requests went to such
 * servers for 2.5 s after the store had refused the calls of only some hosts. */
START_TEST (a_server_whose_row_is_deleted_gets_no_requests)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");
  const char *first = call->server;

  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  world_put_row (world, PL_TABLE_SERVERS, first, NULL);
  call = world_send_request (world, "/read/1", "key-1");
  ck_assert_str_ne (call->server, first);
}
END_TEST

/* Servers cannot renew their rows during an outage of the store, so that the rows expire although
 * the servers are up.  Guards against refusals until the servers have registered again. */
START_TEST (rows_that_expired_with_the_store_are_used_briefly)
{
  struct pl_router_event failed = {.type = PL_ROUTER_STORE_FAILED};
  struct pl_router_event recovered = {.type = PL_ROUTER_STORE_OK};

  for (int i = 0; i < 5; i++)
    {
      world_step (world, &failed);
      world_advance (world, 800 * WORLD_MS);
    }
  world_step (world, &recovered);
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_put_row (world, PL_TABLE_SERVERS, id, NULL);
    }
  ck_assert_int_eq (world_send_request (world, "/read/1", "key-1")->sends, 1);
  world_advance (world, 3 * WORLD_SECOND);
  ck_assert_int_eq (world_send_request (world, "/read/2", "key-1")->status, 503);
}
END_TEST

/* Guards against a request that crashes one server after another. */
START_TEST (a_request_that_crashes_servers_is_quarantined)
{
  struct world_call *call = world_send_request (world, "/read/bad", "key-1");

  world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
  call = world_send_request (world, "/read/bad", "key-1");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 503);
  ck_assert_int_eq (world_send_request (world, "/read/good", "key-1")->sends, 1);
}
END_TEST

/* Guards against requests that are lost when a host is stopped, among them those of callers that
 * still have its address. */
START_TEST (a_stopping_host_finishes_its_requests)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");
  struct pl_router_event stop = {.type = PL_ROUTER_STOP};
  const char *addresses[4];

  ck_assert (pl_router_is_ready (world->router));
  world_step (world, &stop);
  ck_assert (world->keepalive_disabled);
  ck_assert (!pl_router_is_ready (world->router));
  ck_assert_int_eq (pl_router_select_hosts (world->router, "a-1", "a", addresses, 4, world->now_us),
                    0);
  world_advance (world, 500 * WORLD_MS);
  ck_assert (!world->stopped);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (call->delivered);
  ck_assert_int_eq (world_send_request (world, "/read/2", "key-1")->sends, 1);
  world_advance (world, 6 * WORLD_SECOND);
  ck_assert (world->stopped);
}
END_TEST

/* Guards against requests on kept connections that a server runs when the process exits. */
START_TEST (a_stopping_host_takes_no_request_that_may_outlast_it)
{
  struct pl_router_event stop = {.type = PL_ROUTER_STOP};
  struct world_call *call;

  world_step (world, &stop);
  world_advance (world, 4 * WORLD_SECOND);
  call = world_send_request (world, "/write/1", "key-1");
  ck_assert_int_eq (call->sends, 1);
  world_advance (world, 500 * WORLD_MS);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  call = world_send_request (world, "/write/2", "key-1");
  ck_assert_int_eq (call->sends, 0);
  ck_assert_int_eq (call->status, 503);
  ck_assert_str_eq (call->reason, "stopping");
}
END_TEST

/* Guards against a server that left and is used again, as a peer that was asked before another one
 * answers after it. */
START_TEST (a_late_answer_of_a_peer_brings_nothing_back)
{
  g_autofree char *gone = world_make_server ("gone", "a-1", "ready", 1, 1);
  struct pl_row row = {"gone", gone, strlen (gone), 1, 0};
  struct pl_rows_event late = {.table = PL_TABLE_SERVERS,
                               .is_snapshot = true,
                               .from_peer = true,
                               .tells_use = true,
                               .version = 2,
                               .rows = &row,
                               .count = 1};

  world_feed_rows (world, &late);
  world_advance (world, 4 * WORLD_SECOND);
  for (int i = 0; i < 40; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);
      struct world_call *call = world_send_request (world, path, "key-1");

      ck_assert_int_eq (call->sends, 1);
      ck_assert_str_ne (call->server, "gone");
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
}
END_TEST

START_TEST (a_host_fetches_newer_rows_from_a_peer)
{
  struct pl_beacon beacon = world_peer_beacon ("host-b", "a-2");

  beacon.held[PL_TABLE_CONTROL] = world->version + 1;
  world_receive_beacon (world, &beacon);
  world_advance (world, WORLD_SECOND);
  ck_assert_int_ge (world->fetches, 1);
}
END_TEST

/* Guards against CONFIG: a transfer of a large configuration counted as silent while it ran, and
 * shared the link with up to three more of the same rows. */
START_TEST (rows_that_are_arriving_are_not_fetched_from_another_peer)
{
  static const char *const names[] = {"host-b", "host-c"};
  struct pl_router_event progress = {.type = PL_ROUTER_FETCH_PROGRESS, .u.fetch = 1};

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct pl_beacon beacon = world_peer_beacon (names[i], "a-2");

      beacon.held[PL_TABLE_CONTROL] = world->version + 1;
      world_receive_beacon (world, &beacon);
    }
  world_advance (world, 350 * WORLD_MS);
  ck_assert_int_eq (world->fetches, 1);
  for (int i = 0; i < 4; i++)
    {
      world_step (world, &progress);
      world_advance (world, 200 * WORLD_MS);
    }
  ck_assert_int_eq (world->fetches, 1);
  /* Nothing arrives any more. */
  world_advance (world, 250 * WORLD_MS);
  ck_assert_int_eq (world->fetches, 2);
}
END_TEST

/* Guards against CONFIG: a watcher whose poll of the configuration hung put off fetching a newer
 * one with each change of a server. */
START_TEST (changes_of_servers_do_not_put_off_a_newer_configuration)
{
  struct pl_beacon beacon = world_peer_beacon ("host-b", "b-1");

  ck_assert (world->watching);
  beacon.held[PL_TABLE_CONTROL] = world->version + 1000;
  world_receive_beacon (world, &beacon);
  for (int i = 0; i < 5; i++)
    {
      world_advance (world, 100 * WORLD_MS);
      world_put_server (world, "s-0", "a-1", i % 2 == 0 ? "draining" : "ready", 1);
    }
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

/* A peer that lacks one row gets only that row, however many there are. */
START_TEST (a_change_among_many_servers_is_sent_as_one_row)
{
  int64_t before;
  bool is_snapshot;
  int rows = 0;

  for (int i = 0; i < 2500; i++)
    {
      g_autofree char *id = g_strdup_printf ("many-%d", i);

      world_put_server (world, id, "a-1", "ready", 1);
    }
  before = pl_router_held_version (world->router, PL_TABLE_SERVERS);
  world_put_server (world, "many-7", "a-1", "draining", 1);
  pl_router_rows_after (world->router, PL_TABLE_SERVERS, before, &is_snapshot, count_row, &rows);
  ck_assert (!is_snapshot);
  ck_assert_int_eq (rows, 1);
}
END_TEST

/* Tombstones are removed when there are too many; a peer that may still hold such a row gets a
 * snapshot of the table. */
START_TEST (old_tombstones_are_removed)
{
  bool is_snapshot;
  int rows = 0;

  for (int i = 0; i < 2500; i++)
    {
      g_autofree char *id = g_strdup_printf ("many-%d", i);

      world_put_server (world, id, "a-1", "ready", 1);
      world_put_row (world, PL_TABLE_SERVERS, id, NULL);
    }
  pl_router_rows_after (world->router, PL_TABLE_SERVERS, 10, &is_snapshot, count_row, &rows);
  ck_assert (is_snapshot);
  ck_assert_int_eq (rows, 4);
}
END_TEST

/* As after all processes were killed: there is no peer to fetch rows from. */
START_TEST (a_host_without_peers_watches_the_store_at_once)
{
  struct world *empty = world_new ();

  world_advance (empty, 40 * WORLD_MS);
  ck_assert (empty->watching);
  world_free (empty);
}
END_TEST

/* Guards against a store that every host watches, and against a region without a watcher. */
START_TEST (one_host_per_region_watches_the_store)
{
  int watchers = 0;

  /* Of the two hosts, the first by hash watches; the other does not while it receives beacons. */
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *name = g_strdup_printf ("peer-%d", i);
      struct pl_beacon beacon = world_peer_beacon (name, "a-2");

      tear_down ();
      set_up ();
      for (int j = 0; j < 4; j++)
        {
          world_receive_beacon (world, &beacon);
          world_advance (world, 500 * WORLD_MS);
        }
      watchers += world->watching;
      world_advance (world, 4 * WORLD_SECOND);
      ck_assert (world->watching);
    }
  ck_assert_int_gt (watchers, 0);
  ck_assert_int_lt (watchers, 8);
}
END_TEST

/* Guards against callers that are sent to weak, leaving, silent or remote hosts while better ones
 * are known. */
START_TEST (callers_get_hosts_with_capacity_in_their_domain)
{
  struct pl_beacon weak = world_peer_beacon ("weak", "a-1");
  struct pl_beacon strong = world_peer_beacon ("strong", "a-1");
  struct pl_beacon other_region = world_peer_beacon ("far", "b-1");
  const char *addresses[8];

  weak.self.capacity = 20;
  world_receive_beacon (world, &weak);
  world_receive_beacon (world, &strong);
  world_receive_beacon (world, &other_region);
  ck_assert_int_eq (pl_router_select_hosts (world->router, "a-1", "a", addresses, 8, world->now_us),
                    2);
  strong.leaving = true;
  world_receive_beacon (world, &strong);
  ck_assert_int_eq (pl_router_select_hosts (world->router, "a-1", "a", addresses, 8, world->now_us),
                    2);
  ck_assert_int_eq (pl_router_select_hosts (world->router, "b-1", "b", addresses, 8, world->now_us),
                    1);
  ck_assert_str_eq (addresses[0], other_region.self.caller_address);
  /* A silent host is no longer selected. */
  world_advance (world, 5 * WORLD_SECOND);
  ck_assert_int_eq (pl_router_select_hosts (world->router, "b-1", "b", addresses, 8, world->now_us),
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

/* Callers of a partitioned domain can often reach hosts of other domains. */
START_TEST (a_partitioned_host_selects_others_beside_itself)
{
  struct pl_beacon same_region = world_peer_beacon ("near", "a-2");
  struct pl_beacon other_region = world_peer_beacon ("far", "b-1");
  const char *addresses[8];

  same_region.active = true;
  other_region.active = true;
  world_receive_beacon (world, &same_region);
  world_receive_beacon (world, &other_region);
  world_advance (world, 6 * WORLD_SECOND);
  /* While this host reaches the store, silent hosts are down, not partitioned. */
  ck_assert_int_eq (pl_router_select_hosts (world->router, "a-1", "a", addresses, 8, world->now_us),
                    1);
  lose_store ();
  ck_assert_int_eq (pl_router_select_hosts (world->router, "a-1", "a", addresses, 8, world->now_us),
                    3);
  ck_assert_str_eq (addresses[0], "10.0.0.1:80");
  ck_assert_str_eq (addresses[1], same_region.self.caller_address);
  ck_assert_str_eq (addresses[2], other_region.self.caller_address);
}
END_TEST

#define SMALL_RATE 90
#define SMALL_ACCOUNT                                                                              \
  "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"small\"},\"Spec\":{"                     \
  "\"ApiKeys\":[\"key-small\"],\"RatePerS\":90,\"Burst\":10}},"

/* Sends more than the account's rate for a second and returns how many requests are admitted. */
static int
admitted_in_a_second (void)
{
  int admitted = 0;

  for (int i = 0; i < 200; i++)
    {
      struct world_call *call = world_send_request (world, "/read/1", "key-small");

      if (call->at_server)
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
      admitted += call->delivered;
      world_advance (world, 5 * WORLD_MS);
    }
  return admitted;
}

/* The shares of eight silent hosts stay reserved for as long as this host does not reach the store
 * either: it may be the one that is partitioned. */
START_TEST (an_isolated_host_keeps_to_its_share_of_a_rate)
{
  static const int64_t silences[] = {25 * WORLD_SECOND, 100 * WORLD_SECOND};

  world_put_config (world, 4, SMALL_ACCOUNT);
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *name = g_strdup_printf ("host-%d", i);
      struct pl_beacon beacon = world_peer_beacon (name, i % 2 == 0 ? "a-2" : "b-1");

      beacon.active = true;
      world_receive_beacon (world, &beacon);
    }
  lose_store ();
  for (size_t i = 0; i < G_N_ELEMENTS (silences); i++)
    {
      world_advance (world, silences[i]);
      /* At most a bucket of a tenth of the rate, and a ninth of the rate in the second. */
      ck_assert_int_le (admitted_in_a_second (), SMALL_RATE / 10 + SMALL_RATE / 9 + 1);
    }
}
END_TEST

/* A host that restarts after its clock was set back has a lower incarnation than before. */
START_TEST (a_host_restarted_after_its_clock_was_set_back_is_accepted)
{
  struct pl_beacon beacon = world_peer_beacon ("far", "b-1");
  const char *addresses[8];

  beacon.incarnation = 9;
  world_receive_beacon (world, &beacon);
  beacon.incarnation = 5;
  beacon.leaving = true;
  world_receive_beacon (world, &beacon);
  /* So soon after, it is taken for a delayed datagram of an earlier process. */
  ck_assert_int_eq (pl_router_select_hosts (world->router, "b-1", "b", addresses, 8, world->now_us),
                    1);
  ck_assert_str_eq (addresses[0], beacon.self.caller_address);
  world_advance (world, WORLD_SECOND);
  beacon.leaving = false;
  g_strlcpy (beacon.self.caller_address, "10.0.9.9:80", sizeof beacon.self.caller_address);
  world_receive_beacon (world, &beacon);
  pl_router_select_hosts (world->router, "b-1", "b", addresses, 8, world->now_us);
  ck_assert_str_eq (addresses[0], "10.0.9.9:80");
}
END_TEST

START_TEST (a_traffic_split_follows_its_weights)
{
  int counts[2] = {0, 0}; /* of requests sent, and refused */

  world_put_config (
      world, 4,
      "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"other\"},\"Spec\":{"
      "\"HealthPath\":\"/health\"}},"
      "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"split\"},\"Spec\":{\"Host\":"
      "\"h\",\"Prefix\":\"/read/split/\",\"Kind\":\"idempotent\",\"Timeout\":\"1s\","
      "\"TargetLatency\":\"200ms\",\"TrafficSplit\":[{\"Service\":\"stock\",\"Weight\":"
      "90},{\"Service\":\"other\",\"Weight\":10}],\"Attempts\":1}},");
  for (int i = 0; i < 300; i++)
    {
      struct world_call *call = world_send_request (world, "/read/split/1", "key-1");

      /* The other service has no servers: its share is refused, not moved to the first. */
      counts[call->sends > 0 ? 0 : 1]++;
      if (call->sends > 0)
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  ck_assert_int_eq (counts[0], 270);
  ck_assert_int_eq (counts[1], 30);
}
END_TEST

/* Each answer is counted in the bucket of its latency, in no lower one, and in the total. */
START_TEST (metrics_include_histograms_by_account_and_route)
{
  g_autoptr (GString) text = g_string_new (NULL);

  for (int i = 0; i < 3; i++)
    {
      struct world_call *call = world_send_request (world, "/read/1", "key-1");

      world_advance (world, 100 * WORLD_MS);
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
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
  tcase_add_test (tcase, without_accounts_no_key_is_required);
  tcase_add_loop_test (tcase, the_route_kind_decides_what_may_be_retried, 0, 4);
  tcase_add_test (tcase, without_a_configuration_requests_get_503);
  tcase_add_test (tcase, a_request_that_may_run_at_most_once_is_not_retried_after_a_lost_answer);
  tcase_add_test (tcase, a_request_that_did_not_run_is_sent_to_another_server);
  tcase_add_test (tcase, a_refusal_after_a_lost_answer_does_not_say_not_run);
  tcase_add_test (tcase, a_503_answer_of_a_server_is_not_forwarded);
  tcase_add_test (tcase, a_request_is_answered_by_its_routes_timeout);
  tcase_add_test (tcase, a_repeatable_request_is_cancelled_with_its_caller);
  tcase_add_test (tcase, a_peer_that_can_not_serve_does_not_undo_an_earlier_run);
  tcase_add_test (tcase, a_request_whose_caller_has_left_is_not_sent_again);
  tcase_add_test (tcase, a_peer_may_refuse_for_any_reason);
  tcase_add_test (tcase, a_request_whose_caller_has_left_is_answered);
  tcase_add_test (tcase, a_request_without_a_slot_is_refused_after_a_short_wait);
  tcase_add_test (tcase, a_waiting_request_does_not_block_others);
  tcase_add_test (tcase, a_freed_slot_is_used_at_once);
  tcase_add_test (tcase, without_servers_a_request_is_refused_at_once);
  tcase_add_test (tcase, an_evacuated_domain_gets_no_requests);
  tcase_add_test (tcase, an_older_configuration_changes_nothing);
  tcase_add_test (tcase, an_unknown_resource_kind_is_logged_and_the_rest_applies);
  tcase_add_test (tcase, a_malformed_server_row_is_ignored);
  tcase_add_test (tcase, a_server_whose_row_is_deleted_gets_no_requests);
  tcase_add_test (tcase, rows_that_expired_with_the_store_are_used_briefly);
  tcase_add_test (tcase, a_request_that_crashes_servers_is_quarantined);
  tcase_add_test (tcase, a_stopping_host_finishes_its_requests);
  tcase_add_test (tcase, a_stopping_host_takes_no_request_that_may_outlast_it);
  tcase_add_test (tcase, a_late_answer_of_a_peer_brings_nothing_back);
  tcase_add_test (tcase, a_host_fetches_newer_rows_from_a_peer);
  tcase_add_test (tcase, rows_that_are_arriving_are_not_fetched_from_another_peer);
  tcase_add_test (tcase, changes_of_servers_do_not_put_off_a_newer_configuration);
  tcase_add_test (tcase, a_change_among_many_servers_is_sent_as_one_row);
  tcase_add_test (tcase, old_tombstones_are_removed);
  tcase_add_test (tcase, a_host_without_peers_watches_the_store_at_once);
  tcase_add_test (tcase, one_host_per_region_watches_the_store);
  tcase_add_test (tcase, callers_get_hosts_with_capacity_in_their_domain);
  tcase_add_test (tcase, a_partitioned_host_selects_others_beside_itself);
  tcase_add_test (tcase, an_isolated_host_keeps_to_its_share_of_a_rate);
  tcase_add_test (tcase, a_host_restarted_after_its_clock_was_set_back_is_accepted);
  tcase_add_test (tcase, a_traffic_split_follows_its_weights);
  tcase_add_test (tcase, metrics_include_histograms_by_account_and_route);
  tcase_add_test (tcase, probes_of_a_server_keep_to_its_limit);
  tcase_add_test (tcase, requests_beyond_the_limits_of_all_servers_are_refused_at_once);
  tcase_add_test (tcase, answers_without_a_limit_do_not_end_it_at_once);
  return suite_run (suite);
}
