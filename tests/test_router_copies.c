/* Second copies in the router: each way in which the two attempts of a request can end.
 *
 * Guards against requests that are answered twice or not at all, against "not run" for requests
 * that one of the attempts runs, and against slots that stay taken by cancelled attempts. */
#include "internal/router_state.h"
#include "router_world.h"
#include "suite.h"

#include <string.h>

#define SERVERS 4
#define SAMPLES 32
#define LATENCY_US (40 * WORLD_MS)
/* After the delay of copies, which is at most an eighth above the latency. */
#define COPY_DUE_US (50 * WORLD_MS)

/* After this time without progress a server counts as stalled: two and a half latency objectives.
 */
#define STALL_US (500 * WORLD_MS)

static struct world *world;

/* A route like "read" with an attempt more. */
static const char *const deep_route
    = "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"deep\"},\"Spec\":{\"Host\":\"h\","
      "\"Prefix\":\"/read/deep/\",\"Kind\":\"idempotent\",\"Timeout\":\"800ms\",\"TargetLatency\":"
      "\"200ms\",\"Service\":\"stock\",\"Attempts\":3,\"Sticky\":true}},";

static void
add_servers (void)
{
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_put_server (world, id, i % 2 == 0 ? "a-1" : "b-1", "ready", 1);
    }
}

/* Sends a request that is answered at the moment at which its copy would be due. */
static void
send_usual_request (const char *path)
{
  struct world_call *call = world_send_request (world, path, "key-1");

  world_advance (world, LATENCY_US - 1);
  world->now_us += 1;
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert_int_eq (call->sends, 1);
}

/* A world in which the latencies of the route are known and the budgets are full. */
static void
set_up_with (const struct world_options *options)
{
  world = world_new_from (options);
  world_put_config (world, 3, deep_route);
  add_servers ();
  world_advance (world, 4 * WORLD_SECOND);
  for (int i = 0; i < 4 * SAMPLES; i++)
    send_usual_request ("/read/1");
}

static void
set_up (void)
{
  set_up_with (
      &(struct world_options){.load_management = PL_LOAD_MANAGEMENT_ON, .hedge_ratio = 0.1});
}

static void
tear_down (void)
{
  world_free (world);
}

static void
check_counter (const char *line)
{
  GString *text = g_string_new (NULL);

  pl_router_metrics (world->router, text);
  ck_assert_msg (strstr (text->str, line) != NULL, "no %s in %s", line, text->str);
  g_string_free (text, TRUE);
}

static void
leave (const struct world_call *call)
{
  struct pl_router_event event = {.type = PL_ROUTER_CALLER_GONE, .u.request = call->id};

  world_step (world, &event);
}

/* Returns a request of which two attempts run. */
static struct world_call *
send_with_copy_to (const char *path)
{
  struct world_call *call = world_send_request (world, path, "key-1");

  world_advance (world, COPY_DUE_US);
  ck_assert_int_eq (call->sends, 2);
  ck_assert_int_ne (call->other.number, 0);
  ck_assert_str_ne (call->server, call->other.server);
  return call;
}

static struct world_call *
send_with_copy (void)
{
  return send_with_copy_to ("/read/1");
}

/* Checks that no server has a slot taken: as many requests as there are slots are sent at once. */
static void
check_slots_are_free (void)
{
  for (int i = 0; i < 3; i++)
    {
      struct world_call *call = world_send_request (world, "/read/1", "key-1");

      ck_assert_int_eq (call->sends, 1);
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
}

START_TEST (the_answer_to_the_copy_ends_the_first_attempt)
{
  struct world_call *call = send_with_copy ();

  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (call->delivered && call->answers == 1);
  ck_assert_int_eq (call->ended_attempt, 2);
  check_counter ("copies_total{event=\"sent\"} 1\n");
  check_counter ("copies_total{event=\"won\"} 1\n");
  check_counter ("copies_total{event=\"cancelled\"} 0\n");
  check_slots_are_free ();
}
END_TEST

START_TEST (the_answer_to_the_first_attempt_ends_the_copy)
{
  struct world_call *call = send_with_copy ();

  world_select_other (call);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 404);
  ck_assert (call->delivered && call->answers == 1);
  ck_assert_int_eq (call->ended_attempt, 1);
  check_counter ("copies_total{event=\"won\"} 0\n");
  check_counter ("copies_total{event=\"cancelled\"} 1\n");
  check_slots_are_free ();
}
END_TEST

struct failure
{
  enum pl_attempt_end end;
  int status;
  bool may_have_run;
};

static const struct failure failures[] = {
    {PL_ATTEMPT_ANSWERED, 500, true},  {PL_ATTEMPT_ANSWERED, 503, true},
    {PL_ATTEMPT_ANSWERED, 429, true},  {PL_ATTEMPT_NOT_RUN, 503, false},
    {PL_ATTEMPT_NOT_SENT, 0, false},   {PL_ATTEMPT_OTHER_SERVER, 421, false},
    {PL_ATTEMPT_ANSWER_LOST, 0, true},
};

/* Either attempt fails, and the other one is answered. */
START_TEST (a_failure_beside_a_running_attempt_ends_nothing)
{
  const struct failure *failure = &failures[_i / 2];
  struct world_call *call = send_with_copy ();

  if (_i % 2 == 0)
    world_select_other (call);
  world_end_attempt (world, call, failure->end, failure->status);
  ck_assert_int_eq (call->answers, 0);
  ck_assert_int_eq (call->sends, 2);
  ck_assert (call->at_server && !call->cancelled);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (call->delivered && call->answers == 1);
  check_counter (_i % 2 == 0 ? "copies_total{event=\"won\"} 1\n"
                             : "copies_total{event=\"won\"} 0\n");
}
END_TEST

/* The answer says "not run" only if both attempts did not run. */
START_TEST (two_failures_end_the_request)
{
  const struct failure *first = &failures[_i / (int) G_N_ELEMENTS (failures)];
  const struct failure *second = &failures[_i % (int) G_N_ELEMENTS (failures)];
  struct world_call *call = send_with_copy ();

  world_end_attempt (world, call, first->end, first->status);
  world_end_attempt (world, call, second->end, second->status);
  ck_assert_int_eq (call->answers, 1);
  ck_assert_int_eq (call->sends, 2);
  if (call->delivered)
    ck_assert_int_eq (second->status, 500);
  else if (first->may_have_run || second->may_have_run)
    ck_assert_int_eq (call->status, 502);
  else
    ck_assert_int_eq (call->status, 503);
}
END_TEST

START_TEST (a_caller_that_leaves_cancels_both_attempts)
{
  struct world_call *call = send_with_copy ();

  leave (call);
  ck_assert_int_eq (call->answers, 1);
  ck_assert (call->cancelled);
  ck_assert_int_eq (call->other.number, 0);
  check_slots_are_free ();
}
END_TEST

START_TEST (the_end_of_the_time_cancels_both_attempts)
{
  struct world_call *call = send_with_copy ();

  world_advance (world, WORLD_SECOND);
  ck_assert_int_eq (call->answers, 1);
  ck_assert_int_eq (call->status, 504);
  ck_assert_int_eq (call->other.number, 0);
  check_slots_are_free ();
}
END_TEST

/* Its end has been on the way while the router chose the other attempt. */
START_TEST (the_end_of_a_cancelled_attempt_changes_nothing)
{
  struct world_call *call = send_with_copy ();
  struct pl_router_event event = {.type = PL_ROUTER_ATTEMPT,
                                  .u.attempt = {.request = call->id, .attempt = 1, .status = 200}};

  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  world_step (world, &event);
  ck_assert_int_eq (call->answers, 1);
  check_slots_are_free ();
}
END_TEST

START_TEST (a_late_end_does_not_end_the_attempt_that_runs)
{
  struct world_call *call = send_with_copy ();
  struct pl_router_event event = {.type = PL_ROUTER_ATTEMPT,
                                  .u.attempt = {.request = call->id, .attempt = 2, .status = 200}};

  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 500);
  world_step (world, &event);
  ck_assert_int_eq (call->answers, 0);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (call->delivered);
}
END_TEST

START_TEST (a_request_with_an_attempt_left_is_retried_after_two_losses)
{
  struct world_call *call;

  for (int i = 0; i < SAMPLES; i++)
    send_usual_request ("/read/deep/1");
  call = send_with_copy_to ("/read/deep/1");
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 500);
  world_end_attempt (world, call, PL_ATTEMPT_NOT_RUN, 503);
  ck_assert_int_eq (call->sends, 3);
  world_advance (world, 4 * COPY_DUE_US);
  ck_assert_int_eq (call->other.number, 0);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (call->delivered && call->answers == 1);
}
END_TEST

/* This host is cut off from the servers while two attempts run: both end, and a peer gets the
 * request if its route allows a third attempt. */
START_TEST (both_attempts_end_when_the_servers_are_lost)
{
  const char *path = _i == 0 ? "/read/1" : "/read/deep/1";
  struct pl_beacon beacon = world_peer_beacon ("host-b", "a-1");
  struct world_call *call;

  for (int i = 0; i < SAMPLES; i++)
    send_usual_request (path);
  world_receive_beacon (world, &beacon);
  call = send_with_copy_to (path);
  world_lose_servers (world);
  world_advance (world, 300 * WORLD_MS);
  ck_assert_int_eq (call->other.number, 0);
  if (_i == 0)
    {
      ck_assert_int_eq (call->answers, 1);
      ck_assert_int_eq (call->status, 502);
      return;
    }
  ck_assert (call->at_peer);
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  ck_assert (call->delivered && call->answers == 1);
}
END_TEST

/* Guards against a server that answers nothing and never counts as stalled, since its requests end
 * with the answers to their copies.  The choice by expected time is off: it would leave the server
 * after the first copy, since the other one has the object then and is faster. */
START_TEST (an_overtaken_attempt_is_no_progress_of_its_server)
{
  struct world_call *call;
  const char *silent;

  tear_down ();
  set_up_with (&(struct world_options){.switches = PL_ROUTER_NO_EXPECTED_TIMES,
                                       .load_management = PL_LOAD_MANAGEMENT_ON,
                                       .hedge_ratio = 0.1});
  call = world_send_request (world, "/read/1", "key-1");
  silent = call->server;
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  for (int i = 0;; i++)
    {
      g_autofree char *path = g_strdup_printf ("/write/%d", i);

      call = world_send_request (world, path, "key-1");
      if (call->server == silent)
        break;
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  for (int i = 0; i < STALL_US / COPY_DUE_US; i++)
    {
      call = send_with_copy ();
      ck_assert_ptr_eq (call->other.server, silent);
      world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
    }
  world_advance (world, COPY_DUE_US);
  call = world_send_request (world, "/read/1", "key-1");
  ck_assert_ptr_ne (call->server, silent);
}
END_TEST

/* An operator can tell from the line alone why there was a copy. */
START_TEST (the_log_tells_what_decided_on_a_copy)
{
  static const char *const fields[]
      = {"delay_us", "quantile", "samples", "copy_tokens", "retry_tokens", "waiting", "late_ratio"};
  const json_t *line;

  world->correlation_id = "slow-one";
  send_with_copy ();
  line = world->logged_copy;
  ck_assert_str_eq (json_string_value (json_object_get (line, "request")), "slow-one");
  ck_assert_str_eq (json_string_value (json_object_get (line, "outcome")), "copy");
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    ck_assert (json_is_number (json_object_get (line, fields[i])));
  ck_assert (json_is_false (json_object_get (line, "contended")));
  ck_assert_int_eq (json_integer_value (json_object_get (line, "delay_us")), LATENCY_US);
  ck_assert_double_ge (json_number_value (json_object_get (line, "copy_tokens")), 1);
}
END_TEST

/* A request that makes its server fail would take a second server along. */
START_TEST (a_suspect_gets_no_copy)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");

  world_end_attempt (world, call, PL_ATTEMPT_ANSWER_LOST, 0);
  leave (call);
  call = world_send_request (world, "/read/1", "key-1");
  world_advance (world, COPY_DUE_US);
  ck_assert_int_eq (call->sends, 1);
  check_counter ("copies_not_sent_total{reason=\"suspect\"} 1\n");
}
END_TEST

START_TEST (a_request_that_may_run_once_gets_no_copy)
{
  struct world_call *call;

  for (int i = 0; i < SAMPLES; i++)
    send_usual_request ("/write/1");
  call = world_send_request (world, "/write/1", "key-1");
  world_advance (world, 4 * COPY_DUE_US);
  ck_assert_int_eq (call->sends, 1);
}
END_TEST

/* A retry is the second of the route's two attempts. */
START_TEST (copies_count_as_attempts)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");

  world_end_attempt (world, call, PL_ATTEMPT_NOT_RUN, 503);
  ck_assert_int_eq (call->sends, 2);
  world_advance (world, 4 * COPY_DUE_US);
  ck_assert_int_eq (call->sends, 2);
}
END_TEST

START_TEST (no_copy_goes_to_a_server_with_a_limit)
{
  struct world_call *call;

  for (int i = 0; i < SERVERS * 10; i++)
    {
      g_autofree char *path = g_strdup_printf ("/read/%d", i);

      call = world_send_request (world, path, "key-1");
      if (call->at_server)
        world_answer_with_limit (world, call, 100);
    }
  world_advance (world, 2 * WORLD_SECOND);
  call = world_send_request (world, "/read/1", "key-1");
  ck_assert_int_eq (call->sends, 1);
  world_advance (world, COPY_DUE_US);
  ck_assert_int_eq (call->sends, 1);
  check_counter ("copies_not_sent_total{reason=\"no-server\"} 1\n");
}
END_TEST

/* All servers have restarted since. */
START_TEST (no_copy_goes_to_a_cold_server)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");

  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_put_server (world, id, i % 2 == 0 ? "a-1" : "b-1", "ready", 2);
    }
  world_advance (world, COPY_DUE_US);
  ck_assert_int_eq (call->sends, 1);
  check_counter ("copies_not_sent_total{reason=\"no-server\"} 1\n");
}
END_TEST

static int
requested_service (void)
{
  return pl_placement_ensure_service (&world->router->placement, "stock");
}

/* Records OUTCOME for the service of all requests until it is CONTENDED or not. */
static void
record_outcomes (enum pl_share_outcome outcome, bool contended)
{
  struct pl_fair_share *shares = &world->router->shares;
  int service = requested_service ();
  struct pl_share_service *state = (struct pl_share_service *) pl_fair_share_find (shares, service);
  /* In the past, so that the outcomes of the world's own requests come after them. */
  int64_t now_us = world->now_us - 1500 * WORLD_MS;

  state->sampled_us = now_us;
  /* The service has been in use for longer than the time in which it does not count as contended.
   */
  state->first_us = now_us - 10 * WORLD_SECOND;
  for (int i = 0; i < 1000 && pl_fair_share_is_contended (shares, service) != contended; i++)
    pl_fair_share_record (shares, service, outcome, 0, contended ? 1 : 0, now_us += 50 * WORLD_MS);
  ck_assert_int_le (now_us, world->now_us);
  ck_assert_int_eq (pl_fair_share_is_contended (shares, service), contended);
}

/* Copies took capacity that requests above a fair share were refused for. */
START_TEST (no_copy_is_sent_while_capacity_is_shared_out)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");

  record_outcomes (PL_SHARE_MISSED, true);
  world_advance (world, COPY_DUE_US);
  ck_assert_int_eq (call->sends, 1);
  check_counter ("copies_not_sent_total{reason=\"contended\"} 1\n");
  ck_assert (json_is_true (json_object_get (world->logged_copy, "contended")));
}
END_TEST

/* The same where the fair level is gone by the time at which the copy is due. */
START_TEST (no_copy_is_sent_after_a_refusal_above_a_share)
{
  struct world_call *call = world_send_request (world, "/read/1", "key-1");
  struct world_call *refused = NULL;

  record_outcomes (PL_SHARE_MISSED, true);
  for (int i = 0; i < 1000 && (refused == NULL || refused->answers == 0); i++)
    {
      refused = world_send_request (world, "/write/1", "key-1");
      /* The level is set by what is missed while the account uses the service. */
      pl_fair_share_record (&world->router->shares, requested_service (), PL_SHARE_MISSED, 0, 1,
                            world->now_us);
      if (refused->answers == 0)
        world_end_attempt (world, refused, PL_ATTEMPT_ANSWERED, 200);
      if (refused->delivered)
        refused = NULL;
    }
  ck_assert_str_eq (refused->reason, "over-share");
  record_outcomes (PL_SHARE_FREE, false);
  world_advance (world, COPY_DUE_US);
  ck_assert_int_eq (call->sends, 1);
  check_counter ("copies_not_sent_total{reason=\"contended\"} 1\n");
  ck_assert (json_is_false (json_object_get (world->logged_copy, "contended")));
}
END_TEST

static int64_t
body_bytes_at (const char *server)
{
  return pl_placement_find (&world->router->placement, server)->load.body_bytes;
}

/* Bodies of cancelled attempts counted for ever, until the server got no requests any more. */
START_TEST (each_attempt_releases_its_own_body)
{
  static const int64_t size = 1000;
  struct world_call *call;
  const char *servers[2];

  for (int ended = 0; ended < 3; ended++)
    {
      world->body_bytes = size;
      call = send_with_copy ();
      servers[0] = call->other.server;
      servers[1] = call->server;
      ck_assert_int_eq (body_bytes_at (servers[0]), size);
      ck_assert_int_eq (body_bytes_at (servers[1]), size);
      if (ended == 1)
        world_select_other (call);
      if (ended == 2)
        leave (call);
      else
        world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
      ck_assert_int_eq (call->answers, 1);
      ck_assert_int_eq (body_bytes_at (servers[0]), 0);
      ck_assert_int_eq (body_bytes_at (servers[1]), 0);
    }
}
END_TEST

START_TEST (services_without_load_management_have_no_copies)
{
  struct world_call *call;

  tear_down ();
  set_up_with (&(struct world_options){.hedge_ratio = 0.1});
  call = world_send_request (world, "/read/1", "key-1");
  world_advance (world, 4 * COPY_DUE_US);
  ck_assert_int_eq (call->sends, 1);
}
END_TEST

START_TEST (copies_are_off_by_default)
{
  struct world_call *call;

  tear_down ();
  set_up_with (&(struct world_options){.load_management = PL_LOAD_MANAGEMENT_ON});
  call = world_send_request (world, "/read/1", "key-1");
  world_advance (world, 4 * COPY_DUE_US);
  ck_assert_int_eq (call->sends, 1);
}
END_TEST

START_TEST (a_request_gets_one_copy)
{
  struct world_call *call = send_with_copy ();

  world_advance (world, 4 * COPY_DUE_US);
  ck_assert_int_eq (call->sends, 2);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "router_copies");
  int kinds = (int) G_N_ELEMENTS (failures);

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, the_answer_to_the_copy_ends_the_first_attempt);
  tcase_add_test (tcase, the_answer_to_the_first_attempt_ends_the_copy);
  tcase_add_loop_test (tcase, a_failure_beside_a_running_attempt_ends_nothing, 0, 2 * kinds);
  tcase_add_loop_test (tcase, two_failures_end_the_request, 0, kinds * kinds);
  tcase_add_test (tcase, a_caller_that_leaves_cancels_both_attempts);
  tcase_add_test (tcase, the_end_of_the_time_cancels_both_attempts);
  tcase_add_test (tcase, the_end_of_a_cancelled_attempt_changes_nothing);
  tcase_add_test (tcase, a_late_end_does_not_end_the_attempt_that_runs);
  tcase_add_test (tcase, a_request_with_an_attempt_left_is_retried_after_two_losses);
  tcase_add_loop_test (tcase, both_attempts_end_when_the_servers_are_lost, 0, 2);
  tcase_add_test (tcase, an_overtaken_attempt_is_no_progress_of_its_server);
  tcase_add_test (tcase, the_log_tells_what_decided_on_a_copy);
  tcase_add_test (tcase, a_suspect_gets_no_copy);
  tcase_add_test (tcase, a_request_that_may_run_once_gets_no_copy);
  tcase_add_test (tcase, copies_count_as_attempts);
  tcase_add_test (tcase, no_copy_goes_to_a_server_with_a_limit);
  tcase_add_test (tcase, no_copy_is_sent_while_capacity_is_shared_out);
  tcase_add_test (tcase, no_copy_is_sent_after_a_refusal_above_a_share);
  tcase_add_test (tcase, each_attempt_releases_its_own_body);
  tcase_add_test (tcase, no_copy_goes_to_a_cold_server);
  tcase_add_test (tcase, services_without_load_management_have_no_copies);
  tcase_add_test (tcase, copies_are_off_by_default);
  tcase_add_test (tcase, a_request_gets_one_copy);
  return suite_run (suite);
}
