/* Tests the router with random events against an oracle.
 *
 * The oracle knows the rows, evacuations and keys in force, and what servers did with
 * each request, and checks each effect:
 *
 *  - a request is answered exactly once, by its timeout at the latest;
 *  - a request that may run at most once is not sent again after it may have run;
 *  - a status that says "not run" is given only to requests that ran nowhere;
 *  - no request is sent to a server that is draining, deleted, or in an evacuated
 *    domain;
 *  - no request is sent more often than its route allows.
 */
#include "router_world.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 8
#define STEPS 4000
#define SEEDS_IN_CI 40
#define TIMEOUT_MAX_US (1100 * WORLD_MS)
#define EXPIRED_USE_MAX_US (3 * WORLD_SECOND)

struct oracle_server
{
  bool listed;
  bool draining;
  int64_t deleted_us;      /* when the row was deleted, if it is not listed */
  bool expired_with_store; /* deleted while the store was lost or soon after: used for a while */
  int64_t born;
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
  uint32_t sent;
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
          = run->store_lost || run->world->now_us - run->store_back_us < 2 * EXPIRED_USE_MAX_US;
    }
  run->servers[server].listed = false;
  world_put_row (run->world, PL_TABLE_SERVERS, id, NULL);
}

/* Checks a request that was sent in the last step. */
static void
check_send (struct run *run, const struct world_call *call)
{
  int server = atoi (call->server + 2);
  const struct oracle_server *entry = &run->servers[server];

  assert (!run->evacuated[server % 2]);
  assert (!entry->draining || !entry->listed);
  if (!entry->listed)
    assert (entry->expired_with_store
            && run->world->now_us - entry->deleted_us <= EXPIRED_USE_MAX_US);
  assert (call->repeatable || !call->may_have_run);
  assert (call->at_most_once == !call->repeatable);
  assert (call->sends <= 2);
  assert (call->time_left_us <= TIMEOUT_MAX_US);
}

static void
check_answer (const struct world_call *call)
{
  bool says_not_run = call->status == 503 || call->status == 429 || call->status == 408;

  assert (call->answers == 1);
  if (!call->delivered)
    assert (!says_not_run || !call->may_have_run);
}

/* Checks what the last step did with all pending requests. */
static void
check_calls (struct run *run)
{
  for (guint i = 0; i < run->pending->len; i++)
    {
      struct world_call *call = g_ptr_array_index (run->pending, i);

      if (call->sends > call->sends_checked)
        {
          check_send (run, call);
          call->sends_checked = call->sends;
          run->sent++;
        }
      if (call->answers > 0)
        {
          check_answer (call);
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

  g_ptr_array_add (run->pending, world_send_request (run->world, path,
                                                     random_below (run, 20) > 0 ? "key-1" : "odd"));
}

static void
end_random_attempt (struct run *run)
{
  static const enum pl_attempt_end ends[]
      = {PL_ATTEMPT_NOT_RUN, PL_ATTEMPT_NOT_SENT, PL_ATTEMPT_OTHER_SERVER, PL_ATTEMPT_ANSWER_LOST};
  static const int statuses[] = {200, 200, 200, 404, 500, 503, 504};
  struct world_call *call;

  if (run->pending->len == 0)
    return;
  call = g_ptr_array_index (run->pending, random_below (run, run->pending->len));
  if (call->at_server && !call->cancelled)
    world_end_attempt (run->world, call,
                       random_below (run, 4) > 0 ? PL_ATTEMPT_ANSWERED
                                                 : ends[random_below (run, G_N_ELEMENTS (ends))],
                       statuses[random_below (run, G_N_ELEMENTS (statuses))]);
}

static void
disconnect_random_caller (struct run *run)
{
  struct pl_router_event event = {.type = PL_ROUTER_CALLER_GONE};
  guint at;
  struct world_call *call;

  if (run->pending->len == 0)
    return;
  at = random_below (run, run->pending->len);
  call = g_ptr_array_index (run->pending, at);
  event.u.request = call->id;
  world_step (run->world, &event);
  if (call->repeatable || !call->at_server)
    g_ptr_array_remove_index_fast (run->pending, at);
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
  else
    world_advance (run->world, (int64_t) random_below (run, 40) * WORLD_MS);
  check_calls (run);
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
run_seed (uint32_t seed, uint32_t *sent, uint32_t *served)
{
  struct run run = {.random = seed, .config = 3, .store_back_us = -100 * WORLD_SECOND};

  run.world = world_new ();
  run.pending = g_ptr_array_new ();
  world_put_config (run.world, run.config, NULL);
  for (int i = 0; i < SERVERS; i++)
    put_server (&run, i, false);
  world_advance (run.world, 4 * WORLD_SECOND);
  for (int i = 0; i < STEPS; i++)
    run_random_step (&run);
  check_all_answered (&run);
  *sent += run.sent;
  *served += run.served;
  g_ptr_array_free (run.pending, TRUE);
  world_free (run.world);
}

/* Usage: test_router_fuzz [FIRST-SEED COUNT] */
int
main (int argc, char **argv)
{
  uint32_t first = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  uint32_t sent = 0;
  uint32_t served = 0;
  uint32_t count = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : SEEDS_IN_CI;

  for (uint32_t seed = first; seed < first + count; seed++)
    {
      printf ("seed %u\n", seed);
      fflush (stdout);
      run_seed (seed, &sent, &served);
    }
  /* Without enough traffic the checks above would be vacuous. */
  assert (sent > 200 * count);
  assert (served > 100 * count);
  printf ("100%%: Checks: %u, Failures: 0, Errors: 0\n", count);
  return EXIT_SUCCESS;
}
