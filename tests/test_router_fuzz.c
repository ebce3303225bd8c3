/* Tests the router with random events against an oracle.
 *
 * The oracle knows the rows, evacuations and keys in force, and checks each effect.  It also
 * decides what becomes of each attempt when that is sent: whether a server runs it does not
 * depend on how the host sees it end, which may be by a lost answer, a timeout or a cancel,
 * before or after the run.  Peers that take requests over are a part of it.
 *
 *  - a request is answered exactly once, by its timeout at the latest;
 *  - a request that may run at most once is not sent again once it runs or will run;
 *  - a status that says "not run" is given only to requests that run nowhere, also later, and
 *    never passed on from a server;
 *  - the end of an earlier attempt changes nothing;
 *  - no request is sent after its caller has left;
 *  - no request is sent to a server that is draining, deleted, or in an evacuated
 *    domain;
 *  - no request is sent more often than its route allows;
 *  - at most two attempts of a request run at once, of a repeatable one, at different servers; and
 *    the answer that is delivered is that of the attempt that has just ended.
 *
 * Each seed runs without and with load management, and every other one also with second copies of
 * slow requests.
 */
#include "router_world.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 8
#define STEPS 4000
#define STEPS_STOPPING 400 /* after the signal to stop */
#define SEEDS_IN_CI 40
/* Runs with copies are calm after the first steps of each period: none is sent while the service is
 * contended. */
#define PERIOD_STEPS 2000
#define PERIOD_STEPS_WILD 500
#define CALM_REQUESTS 4 /* pending at a time */
#define TIMEOUT_MAX_US (1100 * WORLD_MS)
/* Servers whose rows have expired register again within two seconds after the store is back, and
 * the rows arrive within half a second. */
#define EXPIRED_USE_MAX_US (2500 * WORLD_MS)
/* A few of these exceed a host's share of what a server can hold. */
#define BODY_STEP_BYTES (INT64_C (20) << 20)
#define PEERS 3
#define BEACON_PERIOD_US (300 * WORLD_MS)

struct oracle_server
{
  bool listed;
  bool draining;
  int64_t deleted_us;      /* when the row was deleted, if it is not listed */
  bool expired_with_store; /* deleted while the store was lost, or soon after */
  int64_t born;
};

/* What becomes of an attempt, decided when it is sent. */
enum fate
{
  FATE_LOST,     /* it reaches nobody */
  FATE_REJECTED, /* it reaches a server or peer that does not run it */
  FATE_RUNS,     /* a server runs it, at any time from now on */
};

/* What servers do with a request. */
struct life
{
  int status; /* of the last answer by a server */
  int runs;
  bool caller_gone;
};

struct run
{
  struct world *world;
  uint32_t random;
  struct oracle_server servers[SERVERS];
  bool evacuated[2];
  bool store_lost;
  int64_t store_back_us;
  int config;
  GPtrArray *pending; /* of struct world_call */
  GHashTable *lives;  /* by id of the request: struct life */
  bool is_calm;
  bool cut; /* new connections to servers fail */
  int64_t beacons_due_us;
  uint32_t handovers;
  uint32_t not_run; /* answers that say so, after an attempt */
  uint32_t sent;
  uint32_t copies;
  uint32_t served;
};

static uint32_t
random_below (struct run *run, uint32_t bound)
{
  run->random = run->random * 1664525 + 1013904223;
  return (run->random >> 8) % bound;
}

static const char *
domain_of (int server)
{
  return server % 2 == 0 ? "a-1" : "b-1";
}

static void
put_server (struct run *run, int server, bool draining)
{
  char id[8];

  g_snprintf (id, sizeof id, "s-%d", server);
  run->servers[server].listed = true;
  run->servers[server].draining = draining;
  run->servers[server].expired_with_store = false;
  world_put_server (run->world, id, domain_of (server), draining ? "draining" : "ready",
                    run->servers[server].born);
}

static void
delete_server (struct run *run, int server)
{
  char id[8];

  g_snprintf (id, sizeof id, "s-%d", server);
  /* Deleting the row again changes nothing. */
  if (run->servers[server].listed)
    {
      run->servers[server].deleted_us = run->world->now_us;
      run->servers[server].expired_with_store
          = run->store_lost || run->world->now_us - run->store_back_us < EXPIRED_USE_MAX_US;
    }
  run->servers[server].listed = false;
  world_put_row (run->world, PL_TABLE_SERVERS, id, NULL);
}

static struct life *
ensure_life (const struct run *run, const struct world_call *call)
{
  struct life *life = g_hash_table_lookup (run->lives, &call->id);

  if (life == NULL)
    {
      life = g_new0 (struct life, 1);
      g_hash_table_insert (run->lives, g_memdup2 (&call->id, sizeof call->id), life);
    }
  return life;
}

/* Checks a request that is being sent to a server. */
static void
check_send (const struct run *run, const struct world_call *call)
{
  int server = atoi (call->server + 2);
  const struct oracle_server *entry = &run->servers[server];

  assert (!run->evacuated[server % 2]);
  assert (!entry->draining || !entry->listed);
  if (!entry->listed)
    assert (entry->expired_with_store
            && run->world->now_us - (run->store_lost ? entry->deleted_us : run->store_back_us)
                   <= EXPIRED_USE_MAX_US);
  assert (call->sends <= 2);
  assert (call->other.number == 0 || strcmp (call->other.server, call->server) != 0);
}

/* Decides what becomes of an attempt that is being sent. */
static void
on_attempt (void *data, struct world_call *call)
{
  struct run *run = data;
  struct life *life = ensure_life (run, call);
  uint32_t kind = random_below (run, 16);

  assert (call->repeatable || life->runs == 0);
  assert (!life->caller_gone);
  assert (call->time_left_us > 0);
  assert (call->time_left_us <= TIMEOUT_MAX_US);
  assert (call->at_most_once == !call->repeatable);
  assert (!call->at_peer || !call->is_handover);
  if (!call->at_peer)
    check_send (run, call);
  run->sent += !call->at_peer;
  run->copies += call->other.number != 0;
  run->handovers += call->at_peer;
  if (run->cut && !call->at_peer)
    call->tag = kind < 12 ? FATE_LOST : FATE_RUNS;
  else
    call->tag = kind < 1 ? FATE_LOST : kind < 3 ? FATE_REJECTED : FATE_RUNS;
  if (run->is_calm && random_below (run, 6) > 0)
    call->tag = FATE_RUNS;
  life->runs += call->tag == FATE_RUNS;
}

static void
on_answer (void *data, struct world_call *call)
{
  struct run *run = data;
  int status = call->delivered ? ensure_life (run, call)->status : call->status;

  assert (call->answers == 1);
  if (status != 503 && status != 429 && status != 421 && status != 408)
    return;
  assert (!call->delivered);
  if (ensure_life (run, call)->runs > 0)
    fprintf (stderr, "request %" G_GUINT64_FORMAT " runs, and was refused with %d %s\n", call->id,
             call->status, call->reason);
  assert (ensure_life (run, call)->runs == 0);
  run->not_run += call->attempt > 0;
}

/* Checks what the last step did with all pending requests. */
static void
check_calls (struct run *run)
{
  for (guint i = 0; i < run->pending->len; i++)
    {
      struct world_call *call = g_ptr_array_index (run->pending, i);

      if (call->answers > 0)
        {
          run->served += call->delivered;
          g_ptr_array_remove_index_fast (run->pending, i--);
        }
    }
}

static void
send_random_request (struct run *run)
{
  static const char *const kinds[] = {"/read/", "/write/"};
  g_autofree char *path
      = g_strdup_printf ("%s%u", kinds[random_below (run, 2)], random_below (run, 4000));
  const char *key = random_below (run, 20) > 0 ? "key-1" : "odd";

  run->world->body_bytes = (int64_t) (run->world->next_request % 4) * BODY_STEP_BYTES;
  g_ptr_array_add (run->pending, random_below (run, 10) > 0
                                     ? world_send_request (run->world, path, key)
                                     : world_send_handover (run->world, path, key));
}

/* Ends an attempt at a server as the host sees it. */
static void
end_at_server (struct run *run, struct world_call *call, enum fate fate)
{
  static const int statuses[] = {200, 200, 200, 200, 200, 200, 404, 408, 421, 429, 500, 503, 504};
  int status = statuses[random_below (run, G_N_ELEMENTS (statuses))];
  enum pl_attempt_end end = PL_ATTEMPT_ANSWERED;
  bool is_answer_lost = random_below (run, 8) == 0;

  if (run->is_calm && random_below (run, 8) > 0)
    {
      status = 200;
      is_answer_lost = false;
    }
  if (fate == FATE_LOST && !is_answer_lost)
    end = PL_ATTEMPT_NOT_SENT;
  else if (is_answer_lost)
    end = PL_ATTEMPT_ANSWER_LOST;
  else if (fate == FATE_REJECTED)
    end = random_below (run, 6) == 0 ? PL_ATTEMPT_OTHER_SERVER : PL_ATTEMPT_NOT_RUN;
  ensure_life (run, call)->status = status;
  world_end_attempt (run->world, call, end, status);
}

/* Ends an attempt at a peer, which answers, refuses with what it knows, or is gone. */
static void
end_at_peer (struct run *run, struct world_call *call, enum fate fate)
{
  static const char *const not_run_reasons[]
      = {"servers-full", "servers-refused", "servers-lost",     "no-server",
         "no-memory",    "cut-off",         "no-configuration", "old-configuration",
         "no-time-left", "quarantined",     "stopping"};
  static const char *const run_reasons[] = {"answer-lost", "failed", "no-answer-in-time"};
  static const int statuses[] = {200, 404, 500, 502, 503, 504};
  int status = statuses[random_below (run, G_N_ELEMENTS (statuses))];
  bool is_answer_lost = random_below (run, 3) == 0;

  if (fate == FATE_LOST && !is_answer_lost)
    world_end_attempt (run->world, call, PL_ATTEMPT_NOT_SENT, 0);
  else if (is_answer_lost)
    world_end_attempt (run->world, call, PL_ATTEMPT_ANSWER_LOST, 0);
  else if (fate == FATE_REJECTED && random_below (run, 6) > 0)
    world_refuse_by_peer (run->world, call, 503,
                          not_run_reasons[random_below (run, G_N_ELEMENTS (not_run_reasons))],
                          (int) random_below (run, 3));
  else if (fate == FATE_REJECTED || random_below (run, 3) == 0)
    {
      uint32_t reason = random_below (run, G_N_ELEMENTS (run_reasons));

      world_refuse_by_peer (run->world, call, reason == 2 ? 504 : 502, run_reasons[reason], 1);
    }
  else
    {
      ensure_life (run, call)->status = status;
      world_end_attempt (run->world, call, PL_ATTEMPT_ANSWERED, status);
    }
}

static void
end_random_attempt (struct run *run)
{
  struct world_call *call;

  if (run->pending->len == 0)
    return;
  call = g_ptr_array_index (run->pending, random_below (run, run->pending->len));
  if (!call->at_server || call->cancelled || call->answers > 0)
    return;
  if (call->other.number != 0 && random_below (run, 2) == 0)
    world_select_other (call);
  if (call->at_peer)
    end_at_peer (run, call, (enum fate) call->tag);
  else
    end_at_server (run, call, (enum fate) call->tag);
}

/* Feeds the end of an attempt that has ended already, or was cancelled. */
static void
repeat_random_end (struct run *run)
{
  struct pl_router_event event
      = {.type = PL_ROUTER_ATTEMPT,
         .u.attempt = {.end = (enum pl_attempt_end) random_below (run, PL_ATTEMPT_END_COUNT),
                       .status = random_below (run, 2) == 0 ? 200 : 503}};
  const struct world_call *call;
  int sends;
  int answers;

  if (run->pending->len == 0)
    return;
  call = g_ptr_array_index (run->pending, random_below (run, run->pending->len));
  event.u.attempt.attempt = random_below (run, call->attempts_begun + 1);
  if (call->attempts_begun == 0 || event.u.attempt.attempt == call->other.number
      || (call->at_server && !call->cancelled && event.u.attempt.attempt == call->attempt))
    return;
  world_advance (run->world, 0); /* what is due happens in any step */
  sends = call->sends;
  answers = call->answers;
  event.u.attempt.request = call->id;
  world_step (run->world, &event);
  assert (call->sends == sends && call->answers == answers);
}

static void
answer_random_probe (struct run *run)
{
  struct pl_router_event event = {.type = PL_ROUTER_PROBED};
  g_autofree char *server = g_queue_pop_head (&run->world->probed);

  if (server == NULL)
    return;
  event.u.probed.server = pl_server_hash (server);
  event.u.probed.connected = !run->cut;
  event.u.probed.healthy = !run->cut && random_below (run, 20) > 0;
  world_step (run->world, &event);
}

/* Peers that reach servers, or, once in a while, do not. */
static void
send_beacons (struct run *run)
{
  if (run->world->now_us < run->beacons_due_us)
    return;
  run->beacons_due_us = run->world->now_us + BEACON_PERIOD_US;
  for (int i = 0; i < PEERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("peer-%d", i);
      struct pl_beacon beacon = world_peer_beacon (name, i == 0 ? "a-1" : "a-2");

      beacon.servers_lost = random_below (run, 8) == 0;
      world_receive_beacon (run->world, &beacon);
    }
}

static void
disconnect_random_caller (struct run *run)
{
  struct pl_router_event event = {.type = PL_ROUTER_CALLER_GONE};
  const struct world_call *call;

  if (run->pending->len == 0)
    return;
  call = g_ptr_array_index (run->pending, random_below (run, run->pending->len));
  event.u.request = call->id;
  ensure_life (run, call)->caller_gone = true;
  world_step (run->world, &event);
}

static void
change_random_server (struct run *run)
{
  int server = (int) random_below (run, SERVERS);

  switch (random_below (run, 9))
    {
    case 0:
      delete_server (run, server);
      break;
    case 1:
      put_server (run, server, true);
      break;
    default:
      run->servers[server].born += random_below (run, 3) == 0;
      put_server (run, server, false);
      break;
    }
}

static void
change_random_control (struct run *run)
{
  struct pl_router_event event = {.type = PL_ROUTER_STORE_FAILED};
  int region = (int) random_below (run, 2);

  switch (random_below (run, 4))
    {
    case 0:
      run->evacuated[region] = !run->evacuated[region] && random_below (run, 6) == 0;
      world_put_row (run->world, PL_TABLE_CONTROL, region == 0 ? "evacuate/a-1" : "evacuate/b-1",
                     run->evacuated[region] ? "{}" : NULL);
      break;
    case 1:
      world_put_config (run->world, ++run->config, NULL);
      break;
    case 2:
      world_put_row (run->world, PL_TABLE_CONTROL, "config", "{\"Version\":\"r99999\",");
      break;
    default:
      event.type = run->store_lost ? PL_ROUTER_STORE_OK : PL_ROUTER_STORE_FAILED;
      if (run->store_lost)
        run->store_back_us = run->world->now_us;
      run->store_lost = !run->store_lost;
      world_step (run->world, &event);
      break;
    }
}

static void
run_random_step (struct run *run)
{
  uint32_t kind = random_below (run, 100);

  if (kind < 40)
    send_random_request (run);
  else if (kind < 78)
    end_random_attempt (run);
  else if (kind < 80)
    disconnect_random_caller (run);
  else if (kind < 83)
    change_random_server (run);
  else if (kind < 84)
    change_random_control (run);
  else if (kind < 86)
    repeat_random_end (run);
  else if (kind < 88)
    answer_random_probe (run);
  else if (kind < 89)
    run->cut = random_below (run, 8) == 0;
  else if (kind < 90 && random_below (run, 20) == 0)
    /* The process does not get to run: afterwards all is due at once, in any order. */
    run->world->now_us += (int64_t) random_below (run, 2000) * WORLD_MS;
  else
    world_advance (run->world, (int64_t) random_below (run, 40) * WORLD_MS);
  check_calls (run);
  send_beacons (run);
}

/* All servers are usable, and this host reaches them. */
static void
begin_calm (struct run *run)
{
  run->cut = false;
  for (int i = 0; i < SERVERS; i++)
    put_server (run, i, false);
  for (int i = 0; i < 2; i++)
    {
      run->evacuated[i] = false;
      world_put_row (run->world, PL_TABLE_CONTROL, i == 0 ? "evacuate/a-1" : "evacuate/b-1", NULL);
    }
}

/* Keeps a few requests pending, of which the slowest get copies. */
static void
run_calm_step (struct run *run)
{
  if (run->pending->len < CALM_REQUESTS)
    send_random_request (run);
  else if (random_below (run, 3) == 0)
    end_random_attempt (run);
  else if (random_below (run, 40) == 0)
    disconnect_random_caller (run);
  else if (random_below (run, 10) == 0)
    repeat_random_end (run);
  else
    world_advance (run->world, (int64_t) random_below (run, 15) * WORLD_MS);
  answer_random_probe (run);
  check_calls (run);
  send_beacons (run);
}

/* Checks that every pending request is answered by its timeout, whatever its server does. */
static void
check_all_answered (struct run *run)
{
  for (int i = 0; i < 30; i++)
    {
      world_advance (run->world, 50 * WORLD_MS);
      check_calls (run);
    }
  assert (run->pending->len == 0);
}

static void
run_seed (uint32_t seed, const struct world_options *options, struct run *total)
{
  struct pl_router_event stop = {.type = PL_ROUTER_STOP};
  struct run run = {.random = seed, .config = 3, .store_back_us = -100 * WORLD_SECOND};

  run.world = world_new_from (options);
  run.world->on_attempt = on_attempt;
  run.world->on_answer = on_answer;
  run.world->data = &run;
  run.pending = g_ptr_array_new ();
  run.lives = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  world_put_config (run.world, run.config, NULL);
  for (int i = 0; i < SERVERS; i++)
    put_server (&run, i, false);
  world_advance (run.world, 4 * WORLD_SECOND);
  for (int i = 0; i < STEPS; i++)
    {
      run.is_calm = options->hedge_ratio > 0 && i % PERIOD_STEPS >= PERIOD_STEPS_WILD;
      if (run.is_calm && i % PERIOD_STEPS == PERIOD_STEPS_WILD)
        begin_calm (&run);
      if (run.is_calm)
        run_calm_step (&run);
      else
        run_random_step (&run);
    }
  run.is_calm = false;
  world_step (run.world, &stop);
  for (int i = 0; i < STEPS_STOPPING; i++)
    run_random_step (&run);
  check_all_answered (&run);
  total->sent += run.sent;
  total->copies += run.copies;
  total->served += run.served;
  total->handovers += run.handovers;
  total->not_run += run.not_run;
  g_ptr_array_free (run.pending, TRUE);
  g_hash_table_destroy (run.lives);
  world_free (run.world);
}

/* Usage: test_router_fuzz [FIRST-SEED COUNT [SWITCHES]]; switches of enum pl_router_switch take
 * mechanisms out, so that the checks can be seen to fail. */
int
main (int argc, char **argv)
{
  uint32_t first = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  struct world_options options = {.switches = argc > 3 ? (unsigned) strtoul (argv[3], NULL, 0) : 0};
  struct run total = {0};
  uint32_t count = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : SEEDS_IN_CI;
  uint32_t runs = 0;

  for (uint32_t seed = first; seed < first + count; seed++)
    {
      printf ("seed %u\n", seed);
      fflush (stdout);
      options.load_management = PL_LOAD_MANAGEMENT_OFF;
      run_seed (seed, &options, &total);
      options.load_management = PL_LOAD_MANAGEMENT_ON;
      run_seed (seed, &options, &total);
      runs += 2;
      if (seed % 2 != 0)
        continue;
      options.hedge_ratio = 0.2;
      run_seed (seed, &options, &total);
      options.hedge_ratio = 0;
      runs++;
    }
  /* Without enough traffic the checks above would be vacuous. */
  printf (
      "%u sent, %u of them copies, %u handed over, %u served, %u \"not run\" after an attempt\n",
      total.sent, total.copies, total.handovers, total.served, total.not_run);
  fflush (stdout);
  assert (total.sent > 200 * runs);
  assert (total.served > 100 * runs);
  assert (total.handovers > 10 * runs);
  assert (total.not_run > 10 * runs);
  assert (total.copies > 2 * count || count < 2);
  printf ("100%%: Checks: %u, Failures: 0, Errors: 0\n", count);
  return EXIT_SUCCESS;
}
