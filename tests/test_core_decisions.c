/* Guards against requests of a core that are sent by a route which was withdrawn while they waited
 * for a slot, or were at a server whose answer was lost. */
#include "pomelolatch/core.h"
#include "pomelolatch/release.h"
#include "suite.h"

#include <sodium.h>
#include <string.h>

#define SECOND INT64_C (1000000)

static const char added[]
    = "release: a\nadded:\n  regions: [{name: n}]\n  domains: [{name: n-a, region: n}]\n"
      "  entry_hosts: [{name: h, domain: n-a, caller: 1.1.1.1:1, peer: 1.1.1.1:2, "
      "forward: 1.1.1.1:3}]\n"
      "  services: [{name: work}]\n"
      "  servers:\n"
      "    - {name: s-1, service: work, domain: n-a, address: 2.2.2.2:1, slots: 1}\n"
      "    - {name: s-2, service: work, domain: n-a, address: 2.2.2.2:2, slots: 1}\n"
      "  routes: [{name: o, path: /o, service: work, repeatable: true, open: true, "
      "answer_bytes: 1000}]\n";
static const char withdrawn[] = "release: b\nwithdrawn:\n  routes: [o]\n";

static struct pl_core *core;
static struct pl_effects effects;
static int64_t now_us;
static json_t *document;

static void
step (struct pl_event *event)
{
  pl_effects_free (&effects);
  effects = (struct pl_effects){0};
  event->now_us = ++now_us;
  pl_core_step (core, event, &effects);
}

/* Adopts VERSION, which is the configuration before with the release TEXT. */
static void
adopt (int version, const char *text)
{
  struct pl_findings *findings = pl_findings_new ("release");
  struct pl_release *release = pl_release_parse (text, strlen (text), findings);
  struct pl_event event = {.type = PL_EVENT_MESSAGE};
  g_autofree char *list = NULL;
  json_t *next = release != NULL ? pl_release_apply (document, release, findings) : NULL;
  char *bytes;

  list = pl_findings_format (findings);
  ck_assert_str_eq (list, "");
  pl_release_free (release);
  pl_findings_free (findings);
  json_decref (document);
  document = next;
  bytes = json_dumps (document, JSON_COMPACT);
  event.u.message.type = PL_MESSAGE_SNAPSHOT;
  event.u.message.from = 77;
  event.u.message.u.document.version = version;
  event.u.message.u.document.text
      = g_strdup_printf ("{\"version\":%d,\"document\":%s}", version, bytes);
  free (bytes);
  step (&event);
  ck_assert_int_eq (pl_core_version (core), version);
}

static void
send_request (uint64_t id)
{
  struct pl_event event = {.type = PL_EVENT_REQUEST};

  event.u.request.request = id;
  event.u.request.deadline_us = now_us + 2 * SECOND;
  event.u.request.body_available = true;
  g_strlcpy (event.u.request.path, "/o", sizeof event.u.request.path);
  step (&event);
}

static void
end_attempt (uint64_t id, enum pl_outcome outcome)
{
  struct pl_event event = {.type = PL_EVENT_OUTCOME};

  event.u.outcome.request = id;
  event.u.outcome.attempt = 1;
  event.u.outcome.outcome = outcome;
  step (&event);
}

/* Returns the effect of TYPE on the request ID in the last step, or NULL. */
static const struct pl_effect *
find_effect (enum pl_effect_type type, uint64_t id)
{
  for (int i = 0; i < effects.count; i++)
    if (effects.items[i].type == type && effects.items[i].request == id)
      return &effects.items[i];
  return NULL;
}

static void
set_up (void)
{
  struct pl_core_options options = {.name = "h", .nonce = 1};

  now_us = 20 * SECOND;
  options.now_us = now_us;
  core = pl_core_new (&options);
  document = json_object ();
  adopt (1, added);
  now_us += 10 * SECOND;
  send_request (1);
  ck_assert (find_effect (PL_EFFECT_DISPATCH, 1) != NULL);
  send_request (2);
  ck_assert (find_effect (PL_EFFECT_DISPATCH, 2) != NULL);
  send_request (3);
  ck_assert (find_effect (PL_EFFECT_DISPATCH, 3) == NULL);
}

static void
tear_down (void)
{
  pl_effects_free (&effects);
  pl_core_free (core);
  json_decref (document);
}

START_TEST (a_withdrawn_route_ends_waits)
{
  adopt (2, withdrawn);
  end_attempt (1, PL_OUTCOME_DONE);
  ck_assert (find_effect (PL_EFFECT_DISPATCH, 3) == NULL);
}
END_TEST

START_TEST (a_withdrawn_route_ends_retries)
{
  adopt (2, withdrawn);
  end_attempt (1, PL_OUTCOME_DONE);
  end_attempt (3, PL_OUTCOME_DONE); /* a slot is free, whether it was sent or not */
  end_attempt (2, PL_OUTCOME_ANSWER_LOST);
  ck_assert (find_effect (PL_EFFECT_DISPATCH, 2) == NULL);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "core decisions");

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_withdrawn_route_ends_waits);
  tcase_add_test (tcase, a_withdrawn_route_ends_retries);
  return suite_run (suite);
}
