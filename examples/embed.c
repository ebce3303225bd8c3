/* embed - use of libpomelolatch in another program: two reducers share an account's rate.
 *
 * The program has no sockets and no threads.  It simulates the clock, the network
 * and the store, passes events to the reducers and executes their effects.  All
 * requests arrive at host "b", which spends its own share of the rate and what it
 * borrows from host "a".
 */
#include "pomelolatch/core.h"
#include "pomelolatch/release.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 2
#define STEP_US 10000
#define RUN_US 10000000

static const char release_text[]
    = "release: example\n"
      "added:\n"
      "  regions: [{name: r}]\n"
      "  domains: [{name: d1, region: r}, {name: d2, region: r}]\n"
      "  entry_hosts:\n"
      "    - {name: a, domain: d1, caller: 1.1.1.1:1, peer: 1.1.1.1:2, forward: 1.1.1.1:3}\n"
      "    - {name: b, domain: d2, caller: 1.1.1.2:1, peer: 1.1.1.2:2, forward: 1.1.1.2:3}\n"
      "  services: [{name: s}]\n"
      "  servers: [{name: s1, service: s, domain: d2, address: 2.2.2.2:1, slots: 100}]\n"
      "  routes: [{name: r, path: /, service: s, repeatable: true}]\n"
      "  accounts: [{name: shop, rate: 50, burst: 50}]\n"
      "  keys:\n"
      "    - {name: k, account: shop, hash: "
      "0101010101010101010101010101010101010101010101010101010101010101}\n";

struct world
{
  struct pl_core *cores[HOSTS];
  json_t *snapshot;
  int64_t now_us;
  int served;
  int refused;
};

static void feed (struct world *world, int host, struct pl_event *event);

/* Simulates a store that has one configuration and lets any process acquire any name. */
static void
answer_store (struct world *world, int host, const struct pl_store_request *request)
{
  struct pl_event event = {.type = PL_EVENT_STORE};

  event.u.store.call = request->call;
  event.u.store.ticket = request->ticket;
  event.u.store.name_nonce = request->nonce;
  event.u.store.name_incarnation = 1;
  event.u.store.confirmed_version = 1;
  if (request->call == PL_STORE_HEAD && request->version == 0)
    event.u.store.snapshot = world->snapshot;
  feed (world, host, &event);
}

static void
execute_effect (struct world *world, int host, struct pl_effect *effect)
{
  struct pl_event event = {0};

  switch (effect->type)
    {
    case PL_EFFECT_SEND:
      event.type = PL_EVENT_MESSAGE;
      pl_message_copy (&event.u.message, &effect->u.send.message);
      feed (world, 1 - host, &event);
      break;
    case PL_EFFECT_STORE:
      answer_store (world, host, effect->u.store);
      break;
    case PL_EFFECT_PROBE:
      event.type = PL_EVENT_PROBE;
      event.u.probe.server = effect->u.send_request.target;
      event.u.probe.answered = true;
      feed (world, host, &event);
      break;
    case PL_EFFECT_DISPATCH:
      world->served++;
      event.type = PL_EVENT_OUTCOME;
      event.u.outcome.request = effect->request;
      event.u.outcome.attempt = effect->attempt;
      event.u.outcome.outcome = PL_OUTCOME_DONE;
      feed (world, host, &event);
      break;
    case PL_EFFECT_REFUSE:
      world->refused++;
      break;
    default:
      break;
    }
}

static void
feed (struct world *world, int host, struct pl_event *event)
{
  struct pl_effects effects = {0};

  event->now_us = world->now_us;
  pl_core_step (world->cores[host], event, &effects);
  for (int i = 0; i < effects.count; i++)
    execute_effect (world, host, &effects.items[i]);
  pl_effects_free (&effects);
}

static void
send_request (struct world *world, uint64_t number)
{
  struct pl_event event = {.type = PL_EVENT_REQUEST};

  event.u.request.request = number;
  event.u.request.has_key = true;
  memset (event.u.request.key_hash, 1, sizeof event.u.request.key_hash);
  event.u.request.deadline_us = world->now_us + 1000000;
  g_strlcpy (event.u.request.path, "/", sizeof event.u.request.path);
  feed (world, 1, &event);
}

int
main (void)
{
  static const char *const names[HOSTS] = {"a", "b"};
  struct pl_findings *findings = pl_findings_new ("example");
  struct pl_release *release = pl_release_parse (release_text, sizeof release_text - 1, findings);
  json_t *empty = json_object ();
  struct world world = {0};
  uint64_t number = 0;

  if (sodium_init () < 0 || release == NULL)
    return EXIT_FAILURE;
  world.snapshot = json_pack ("{s:i,s:o}", "version", 1, "document",
                              pl_release_apply (empty, release, findings));
  for (int i = 0; i < HOSTS; i++)
    {
      struct pl_core_options options = {.name = names[i], .nonce = (uint64_t) i + 1};

      world.cores[i] = pl_core_new (&options);
    }
  for (world.now_us = STEP_US; world.now_us < RUN_US; world.now_us += STEP_US)
    {
      struct pl_event tick_a = {.type = PL_EVENT_TICK};
      struct pl_event tick_b = {.type = PL_EVENT_TICK};

      feed (&world, 0, &tick_a);
      feed (&world, 1, &tick_b);
      send_request (&world, ++number); /* 100 per second, twice the rate */
    }
  printf ("offered %.0f/s at one host of two, rate 50/s: served %.1f/s, refused %.1f/s\n",
          1e6 / STEP_US, world.served * 1e6 / RUN_US, world.refused * 1e6 / RUN_US);
  for (int i = 0; i < HOSTS; i++)
    pl_core_free (world.cores[i]);
  json_decref (world.snapshot);
  json_decref (empty);
  pl_release_free (release);
  pl_findings_free (findings);
  return EXIT_SUCCESS;
}
