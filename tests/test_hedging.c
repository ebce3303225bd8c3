/* Second copies of slow requests, without I/O: the decisions by themselves, and a replay of a load
 * through the router in virtual time with copies off and on.
 *
 * Guards against copies that exceed their budget, that add to the load of servers without capacity,
 * or that do not cut the slowest answers when a few servers are slow. */
#include "internal/hedging.h"
#include "router_world.h"
#include "suite.h"

#include <stdio.h>

#define RATIO 0.05
#define SERVICE 0
#define SAMPLES 64 /* enough for an estimate */
#define FAST_US (40 * WORLD_MS)

static struct pl_hedging hedging;
static struct pl_hedging_route *route;

static void
set_up_with (double hedge_ratio)
{
  pl_hedging_init (&hedging, &(struct pl_hedging_options){0.2, 50, hedge_ratio});
  route = NULL;
}

static void
set_up (void)
{
  set_up_with (RATIO);
}

static void
tear_down (void)
{
  pl_hedging_clear (&hedging);
  g_free (route);
}

static void
record (int count, int64_t latency_us, int64_t now_us)
{
  for (int i = 0; i < count; i++)
    pl_hedging_record_latency (&hedging, &route, latency_us, now_us);
}

static enum pl_hedging_verdict
judge (const struct pl_hedging_request *request)
{
  return pl_hedging_judge (&hedging, route, request, WORLD_SECOND);
}

static const struct pl_hedging_request usual
    = {.service = SERVICE, .reaches_servers = true, .time_left_us = WORLD_SECOND};

START_TEST (a_copy_is_due_after_a_high_quantile)
{
  int64_t due_us;

  record (SAMPLES * 15 / 16, FAST_US, 0);
  record (SAMPLES / 16, 10 * FAST_US, 0);
  due_us = pl_hedging_due_us (&hedging, route, WORLD_SECOND, 0);
  ck_assert_int_ge (due_us, 10 * FAST_US);
  ck_assert_int_le (due_us, 12 * FAST_US);
  record (4 * SAMPLES, FAST_US, 0);
  due_us = pl_hedging_due_us (&hedging, route, WORLD_SECOND, 0);
  ck_assert_int_ge (due_us, FAST_US);
  ck_assert_int_le (due_us, FAST_US * 5 / 4);
}
END_TEST

START_TEST (few_samples_give_no_delay)
{
  ck_assert_int_eq (pl_hedging_due_us (&hedging, route, WORLD_SECOND, 0), INT64_MAX);
  record (24, FAST_US, 0);
  ck_assert_int_eq (pl_hedging_due_us (&hedging, route, WORLD_SECOND, 0), INT64_MAX);
  record (8, FAST_US, 0);
  ck_assert_int_lt (pl_hedging_due_us (&hedging, route, WORLD_SECOND, 0), INT64_MAX);
}
END_TEST

/* A copy that its caller no longer waits for is work for nothing. */
START_TEST (a_copy_that_could_not_be_answered_in_time_is_not_sent)
{
  struct pl_hedging_request late = usual;

  record (SAMPLES, FAST_US, 0);
  pl_hedging_on_request (&hedging, SERVICE, 1);
  ck_assert_int_lt (pl_hedging_due_us (&hedging, route, 3 * FAST_US, 0), INT64_MAX);
  ck_assert_int_eq (pl_hedging_due_us (&hedging, route, FAST_US * 3 / 2, 0), INT64_MAX);
  late.time_left_us = FAST_US / 2;
  ck_assert_int_eq (judge (&late), PL_HEDGING_NO_TIME);
}
END_TEST

START_TEST (old_latencies_are_forgotten)
{
  record (SAMPLES, 10 * FAST_US, 0);
  record (1, FAST_US, 61 * WORLD_SECOND);
  ck_assert_int_eq (pl_hedging_due_us (&hedging, route, INT64_MAX / 2, 0), INT64_MAX);
  record (SAMPLES, FAST_US, 61 * WORLD_SECOND);
  ck_assert_int_lt (pl_hedging_due_us (&hedging, route, INT64_MAX / 2, 0), 2 * FAST_US);
}
END_TEST

START_TEST (without_a_ratio_nothing_is_recorded)
{
  tear_down ();
  set_up_with (0);
  record (SAMPLES, FAST_US, 0);
  ck_assert_ptr_null (route);
}
END_TEST

START_TEST (copies_are_bounded_by_their_ratio)
{
  int sent = 0;

  record (SAMPLES, FAST_US, 0);
  for (int i = 0; i < 2000; i++)
    {
      pl_hedging_on_request (&hedging, SERVICE, 1);
      if (judge (&usual) != PL_HEDGING_COPY)
        continue;
      pl_hedging_spend_copy (&hedging, SERVICE);
      sent++;
    }
  ck_assert_int_eq (judge (&usual), PL_HEDGING_NO_BUDGET);
  ck_assert_int_le (sent, (int) (2000 * RATIO));
  ck_assert_int_ge (sent, (int) (2000 * RATIO) - 1);
}
END_TEST

START_TEST (a_quiet_time_saves_a_small_burst)
{
  int sent = 0;

  record (SAMPLES, FAST_US, 0);
  for (int i = 0; i < 2000; i++)
    pl_hedging_on_request (&hedging, SERVICE, 1);
  for (; judge (&usual) == PL_HEDGING_COPY; sent++)
    pl_hedging_spend_copy (&hedging, SERVICE);
  ck_assert_int_eq (sent, 10);
}
END_TEST

/* Otherwise copies and retries together would exceed what the fleet may add to the load. */
START_TEST (a_copy_takes_a_token_of_the_retries)
{
  record (SAMPLES, FAST_US, 0);
  for (int i = 0; i < 2000; i++)
    pl_hedging_on_request (&hedging, SERVICE, 100);
  ck_assert_int_eq (judge (&usual), PL_HEDGING_COPY);
  ck_assert (pl_hedging_spend_retry (&hedging, SERVICE));
  ck_assert_int_eq (judge (&usual), PL_HEDGING_NO_RETRY_BUDGET);
  for (int i = 0; i < 8; i++)
    pl_hedging_on_request (&hedging, SERVICE, 100);
  pl_hedging_spend_copy (&hedging, SERVICE);
  ck_assert (!pl_hedging_spend_retry (&hedging, SERVICE));
}
END_TEST

struct judged
{
  struct pl_hedging_request request;
  int64_t refused_us;
  enum pl_hedging_verdict verdict;
};

static const struct judged refusals[] = {
    {{.reaches_servers = true, .time_left_us = WORLD_SECOND}, 0, PL_HEDGING_COPY},
    {{.reaches_servers = true, .time_left_us = WORLD_SECOND, .is_suspect = true},
     0,
     PL_HEDGING_SUSPECT},
    {{.time_left_us = WORLD_SECOND}, 0, PL_HEDGING_UNREACHED},
    {{.reaches_servers = true, .time_left_us = WORLD_SECOND, .over_rate = true},
     0,
     PL_HEDGING_OVER_RATE},
    {{.reaches_servers = true, .time_left_us = WORLD_SECOND, .waiting = 1},
     0,
     PL_HEDGING_CONTENDED},
    {{.reaches_servers = true, .time_left_us = WORLD_SECOND, .is_contended = true},
     0,
     PL_HEDGING_CONTENDED},
    {{.reaches_servers = true, .time_left_us = WORLD_SECOND, .late_ratio = 0.6},
     0,
     PL_HEDGING_CONTENDED},
    {{.reaches_servers = true, .time_left_us = WORLD_SECOND},
     WORLD_SECOND / 2,
     PL_HEDGING_CONTENDED},
};

START_TEST (a_copy_must_not_do_harm)
{
  const struct judged *judged = &refusals[_i];

  record (SAMPLES, FAST_US, 0);
  for (int i = 0; i < 100; i++)
    pl_hedging_on_request (&hedging, SERVICE, 1);
  if (judged->refused_us > 0)
    pl_hedging_on_refusal (&hedging, SERVICE, judged->refused_us);
  ck_assert_int_eq (judge (&judged->request), judged->verdict);
  /* A refusal counts for a second. */
  if (judged->refused_us > 0)
    ck_assert_int_eq (
        pl_hedging_judge (&hedging, route, &judged->request, judged->refused_us + 2 * WORLD_SECOND),
        PL_HEDGING_COPY);
}
END_TEST

/* The replay: servers with slots and queues, one host, and requests for random objects. */

#define SERVERS 16
#define SLOTS 4
#define REPLAY_US (30 * WORLD_SECOND)
#define PERIOD_US (2 * WORLD_SECOND) /* of slow times */
#define WORK_MIN_US (30 * WORLD_MS)
#define WORK_SPREAD_US (20 * WORLD_MS)
#define OBJECTS 200

/* An attempt at a server.  It runs to its end whether it is cancelled or not, so that a copy costs
 * as much as it can. */
struct job
{
  struct world_call *call;
  uint32_t attempt;
  int server;
  int64_t ends_us; /* 0: it waits for a slot */
};

struct load
{
  double hedge_ratio;
  int64_t interval_us; /* between requests */
  int slow_servers;    /* at a time */
  int64_t slow_us;     /* of each period */
  int slow_factor;     /* of their work, in per cent */
  unsigned switches;   /* of enum pl_router_switch */
};

/* Each load is also played without fair shares, which refuse much of what slow servers would get:
 * the bounds on copies must hold by themselves. */
static const unsigned switches[] = {0, PL_ROUTER_NO_SHARES};

struct replay
{
  const struct load *load;
  struct world *world;
  uint32_t arrivals_random;
  uint32_t work_random;
  GArray *jobs;
  int running[SERVERS];
  GArray *arrived_us; /* by request */
  /* results */
  struct pl_histogram latency;
  int requests;
  int runs;
  int served;
};

static uint32_t
random_below (uint32_t *random, uint32_t bound)
{
  *random = *random * 1664525 + 1013904223;
  return (*random >> 8) % bound;
}

static bool
is_slow (const struct replay *replay, int server)
{
  int64_t period = replay->world->now_us / PERIOD_US;
  int first = (int) (period * 5 % SERVERS);

  return replay->world->now_us % PERIOD_US < replay->load->slow_us
         && (server - first + SERVERS) % SERVERS < replay->load->slow_servers;
}

static void
start_job (struct replay *replay, struct job *job)
{
  int64_t work_us = WORK_MIN_US + random_below (&replay->work_random, (uint32_t) WORK_SPREAD_US);

  if (is_slow (replay, job->server))
    work_us = work_us * replay->load->slow_factor / 100;
  job->ends_us = replay->world->now_us + work_us;
  replay->running[job->server]++;
}

static void
on_attempt (void *data, struct world_call *call)
{
  struct replay *replay = data;
  struct job job = {call, call->attempt, atoi (call->server + 2), 0};

  replay->runs++;
  if (replay->running[job.server] < SLOTS)
    start_job (replay, &job);
  g_array_append_val (replay->jobs, job);
}

static void
on_answer (void *data, struct world_call *call)
{
  struct replay *replay = data;

  replay->served += call->delivered;
  if (call->delivered)
    pl_histogram_add (&replay->latency,
                      replay->world->now_us
                          - g_array_index (replay->arrived_us, int64_t, call->id - 1));
}

/* Ends the job at INDEX, and starts one that waits for its slot. */
static void
end_job (struct replay *replay, guint index)
{
  struct job job = g_array_index (replay->jobs, struct job, index);

  g_array_remove_index (replay->jobs, index);
  replay->running[job.server]--;
  for (guint i = 0; i < replay->jobs->len; i++)
    {
      struct job *waiting = &g_array_index (replay->jobs, struct job, i);

      if (waiting->server != job.server || waiting->ends_us > 0)
        continue;
      start_job (replay, waiting);
      break;
    }
  if (job.call->answers > 0)
    return;
  if (job.call->other.number == job.attempt)
    world_select_other (job.call);
  if (job.call->attempt == job.attempt && job.call->at_server && !job.call->cancelled)
    world_end_attempt (replay->world, job.call, PL_ATTEMPT_ANSWERED, 200);
}

/* Runs what is due until UNTIL_US. */
static void
run_until (struct replay *replay, int64_t until_us)
{
  for (;;)
    {
      int64_t next_us = INT64_MAX;
      guint next = 0;

      for (guint i = 0; i < replay->jobs->len; i++)
        {
          const struct job *job = &g_array_index (replay->jobs, struct job, i);

          if (job->ends_us == 0 || job->ends_us >= next_us)
            continue;
          next_us = job->ends_us;
          next = i;
        }
      if (next_us > until_us)
        break;
      if (pl_router_due_us (replay->world->router) < next_us)
        {
          /* A copy may be sent before, and end before. */
          int64_t due_us = MAX (pl_router_due_us (replay->world->router), replay->world->now_us);

          world_advance (replay->world, due_us - replay->world->now_us);
          continue;
        }
      world_advance (replay->world, MAX (next_us - replay->world->now_us, 0));
      end_job (replay, next);
    }
  world_advance (replay->world, until_us - replay->world->now_us);
}

/* Plays LOAD; the results hold until the next run. */
static struct replay
play (const struct load *load)
{
  struct replay replay = {.load = load, .arrivals_random = 7, .work_random = 8};
  struct world_options options = {.switches = load->switches,
                                  .load_management = PL_LOAD_MANAGEMENT_ON,
                                  .hedge_ratio = load->hedge_ratio};
  int64_t end_us;

  replay.world = world_new_from (&options);
  replay.jobs = g_array_new (FALSE, FALSE, sizeof (struct job));
  replay.arrived_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  world_put_config (replay.world, 3, NULL);
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_put_server (replay.world, id, i % 2 == 0 ? "a-1" : "b-1", "ready", 1);
    }
  world_advance (replay.world, 4 * WORLD_SECOND);
  replay.world->on_attempt = on_attempt;
  replay.world->on_answer = on_answer;
  replay.world->data = &replay;
  end_us = replay.world->now_us + REPLAY_US;
  while (replay.world->now_us < end_us)
    {
      g_autofree char *path
          = g_strdup_printf ("/read/%u", random_below (&replay.arrivals_random, OBJECTS));
      int64_t wait_us = load->interval_us / 2
                        + random_below (&replay.arrivals_random, (uint32_t) load->interval_us);

      run_until (&replay, replay.world->now_us + wait_us);
      g_array_append_val (replay.arrived_us, replay.world->now_us);
      world_send_request (replay.world, path, "key-1");
      replay.requests++;
    }
  run_until (&replay, replay.world->now_us + 2 * WORLD_SECOND);
  g_array_free (replay.jobs, TRUE);
  g_array_free (replay.arrived_us, TRUE);
  world_free (replay.world);
  return replay;
}

static double
quantile_ms (const struct replay *replay, double fraction)
{
  return (double) pl_histogram_quantile (&replay->latency, fraction) / 1e3;
}

static void
print_replay (const char *name, const struct replay *replay)
{
  printf (
      "%-22s %s, ratio %.2f: %d requests, %d runs (%.3f), %d served, p50 %.0f, p95 %.0f, p99 %.0f, "
      "p99.9 %.0f ms\n",
      name, replay->load->switches == 0 ? "shares" : "no shares", replay->load->hedge_ratio,
      replay->requests, replay->runs, (double) replay->runs / replay->requests, replay->served,
      quantile_ms (replay, 0.5), quantile_ms (replay, 0.95), quantile_ms (replay, 0.99),
      quantile_ms (replay, 0.999));
  fflush (stdout);
}

/* Plays LOAD with copies off and on. */
static void
play_both (const char *name, struct load load, struct replay *off, struct replay *on)
{
  static struct load loads[2];

  loads[0] = loads[1] = load;
  loads[0].hedge_ratio = 0;
  *off = play (&loads[0]);
  *on = play (&loads[1]);
  print_replay (name, off);
  print_replay (name, on);
  ck_assert_int_le (on->runs, (int) (on->requests * (1 + load.hedge_ratio)) + 10);
}

/* Two of 16 servers are eight times slower for 0.6 s of every 2 s. */
START_TEST (copies_cut_the_slowest_answers_when_a_few_servers_are_slow)
{
  struct replay off;
  struct replay on;

  play_both ("a few slow servers",
             (struct load){RATIO, 5 * WORLD_MS, 2, 600 * WORLD_MS, 800, switches[_i]}, &off, &on);
  ck_assert_double_le (quantile_ms (&on, 0.99), quantile_ms (&off, 0.99) * 0.7);
  ck_assert_int_ge (on.served, off.served);
}
END_TEST

/* As in the second reference deployment: an answer of a slow server is about as late as that to a
 * copy would be, so that copies win little.  They must not do harm. */
START_TEST (copies_do_no_harm_when_servers_are_slightly_slow)
{
  struct replay off;
  struct replay on;

  play_both ("slightly slow servers",
             (struct load){0.15, 5 * WORLD_MS, 2, PERIOD_US, 250, switches[_i]}, &off, &on);
  ck_assert_double_le (quantile_ms (&on, 0.99), quantile_ms (&off, 0.99) * 1.1);
  ck_assert_int_ge (on.served, off.served);
}
END_TEST

/* More requests are slow than the budget covers. */
START_TEST (the_budget_holds_when_all_servers_are_slow_at_once)
{
  struct replay off;
  struct replay on;

  play_both ("all servers slow",
             (struct load){RATIO, 10 * WORLD_MS, SERVERS, 600 * WORLD_MS, 800, switches[_i]}, &off,
             &on);
  ck_assert_double_le (quantile_ms (&on, 0.99), quantile_ms (&off, 0.99) * 1.1);
  ck_assert_double_ge (on.served, off.served * 0.99);
}
END_TEST

/* All servers are slow all the time, and get more than twice the load that they can take then. */
START_TEST (no_copies_are_sent_under_overload)
{
  struct replay off;
  struct replay on;

  play_both ("overload", (struct load){RATIO, 2 * WORLD_MS, SERVERS, PERIOD_US, 800, switches[_i]},
             &off, &on);
  ck_assert_double_ge (on.served, off.served * 0.99);
  ck_assert_double_le (on.runs, off.runs * 1.01);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "hedging");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_copy_is_due_after_a_high_quantile);
  tcase_add_test (tcase, few_samples_give_no_delay);
  tcase_add_test (tcase, a_copy_that_could_not_be_answered_in_time_is_not_sent);
  tcase_add_test (tcase, old_latencies_are_forgotten);
  tcase_add_test (tcase, without_a_ratio_nothing_is_recorded);
  tcase_add_test (tcase, copies_are_bounded_by_their_ratio);
  tcase_add_test (tcase, a_quiet_time_saves_a_small_burst);
  tcase_add_test (tcase, a_copy_takes_a_token_of_the_retries);
  tcase_add_loop_test (tcase, a_copy_must_not_do_harm, 0, (int) G_N_ELEMENTS (refusals));
  tcase_add_loop_test (tcase, copies_cut_the_slowest_answers_when_a_few_servers_are_slow, 0,
                       (int) G_N_ELEMENTS (switches));
  tcase_add_loop_test (tcase, copies_do_no_harm_when_servers_are_slightly_slow, 0,
                       (int) G_N_ELEMENTS (switches));
  tcase_add_loop_test (tcase, the_budget_holds_when_all_servers_are_slow_at_once, 0,
                       (int) G_N_ELEMENTS (switches));
  tcase_add_loop_test (tcase, no_copies_are_sent_under_overload, 0, (int) G_N_ELEMENTS (switches));
  return suite_run (suite);
}
