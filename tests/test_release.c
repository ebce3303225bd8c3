/* Releases: locations of findings, deltas and references.  Also API keys stripped from forwarded
 * requests, damaged input to the peer codec, snapshots of an older version, and refusals of a host
 * without a configuration. */
#include "internal/keys.h"
#include "internal/peer_codec.h"
#include "pomelolatch/core.h"
#include "pomelolatch/error.h"
#include "pomelolatch/release.h"
#include "suite.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static char *
parse_and_format_findings (const char *text)
{
  struct pl_findings *findings = pl_findings_new ("f");
  struct pl_release *release = pl_release_parse (text, strlen (text), findings);
  char *list = pl_findings_format (findings);

  ck_assert_int_eq (release == NULL, pl_findings_count (findings) > 0);
  pl_release_free (release);
  pl_findings_free (findings);
  return list;
}

struct finding_case
{
  const char *text;
  const char *finding;
};

static const struct finding_case finding_cases[] = {
    {"", "f:1:1: the document is empty\n"},
    {"a: [", "f:"},
    {"release: a\nrelease: b\n", "f:2:1: field 'release' occurs more than once\n"},
    {"added: {}\n", "f:1:1: field 'release' is missing\n"},
    {"release: a\nadded: 5\n", "f:2:8: 'added' must map kinds to lists\n"},
    {"release: a\nadded: {accounts: {}}\n", "f:2:19: 'accounts' must be a list\n"},
    {"release: a\nadded: {shops: []}\n", "f:2:9: unknown kind\n"},
    {"release: a\nwithdrawn: {keys: [{a: b}]}\n", "f:2:20: expected a name\n"},
    {"release: a\nwithdrawn: {keys: [k, k]}\n",
     "f:2:23: 'k' of 'keys' occurs more than once in this release\n"},
    {"release: a\nadded: {regions: [{name: r}]}\nwithdrawn: {regions: [r]}\n",
     "f:3:23: 'r' of 'regions' occurs more than once in this release\n"},
    {"release: &x a\nadded: *x\n", "f:2:8: aliases are not allowed\n"},
    {"release: a\nadded: {accounts: [{name: a, rate: 0, burst: 1}]}\n",
     "f:2:36: 'rate' must lie between 1 and 1000000000, not 0\n"},
    {"release: a\nadded: {accounts: [{name: 'a b', rate: 1, burst: 99999999999999999999}]}\n",
     "f:2:27: 'name' must be a name of letters, digits, '.', '_' and '-', not 'a b'\n"
     "f:2:50: 'burst' must be a whole number, not '99999999999999999999'\n"},
};

START_TEST (findings_report_line_and_column)
{
  g_autofree char *list = parse_and_format_findings (finding_cases[_i].text);

  ck_assert_msg (g_str_has_prefix (list, finding_cases[_i].finding), "%s", list);
}
END_TEST

static json_t *
apply (json_t *document, const char *text, char **list)
{
  struct pl_findings *findings = pl_findings_new ("f");
  struct pl_release *release = pl_release_parse (text, strlen (text), findings);
  json_t *next = release != NULL ? pl_release_apply (document, release, findings) : NULL;

  *list = pl_findings_format (findings);
  pl_release_free (release);
  pl_findings_free (findings);
  return next;
}

/* Guards against a release that changes the document it is applied to, which may be in force. */
START_TEST (a_release_changes_a_copy)
{
  json_t *empty = json_object ();
  g_autofree char *list = NULL;
  g_autofree char *second_list = NULL;
  g_autofree char *third_list = NULL;
  json_t *first
      = apply (empty, "release: a\nadded:\n  accounts: [{name: x, rate: 5, burst: 9}]\n", &list);
  json_t *second
      = apply (first, "release: b\nchanged:\n  accounts: [{name: x, rate: 7}]\n", &second_list);
  json_t *third = apply (second,
                         "release: c\nadded:\n  keys: [{name: k, account: y, hash: "
                         "000000000000000000000000000000000000000000000000000000000000000"
                         "0}]\n",
                         &third_list);
  json_t *account = json_object_get (json_object_get (second, "accounts"), "x");

  ck_assert_int_eq (json_object_size (empty), 0);
  ck_assert_int_eq (json_integer_value (json_object_get (account, "rate")), 7);
  ck_assert_int_eq (json_integer_value (json_object_get (account, "burst")), 9);
  account = json_object_get (json_object_get (first, "accounts"), "x");
  ck_assert_int_eq (json_integer_value (json_object_get (account, "rate")), 5);
  ck_assert_ptr_null (third);
  ck_assert_str_eq (third_list,
                    "f:3:29: 'k' of 'keys' refers to 'y', which is not in 'accounts'\n");
  json_decref (first);
  json_decref (second);
  json_decref (empty);
}
END_TEST

START_TEST (a_referenced_entry_cannot_be_withdrawn)
{
  json_t *empty = json_object ();
  g_autofree char *list = NULL;
  g_autofree char *second_list = NULL;
  json_t *first = apply (empty,
                         "release: a\nadded:\n  regions: [{name: r}]\n"
                         "  domains: [{name: d, region: r}]\n",
                         &list);
  json_t *second = apply (first, "release: b\nwithdrawn: {regions: [r]}\n", &second_list);

  ck_assert_ptr_nonnull (first);
  ck_assert_ptr_null (second);
  ck_assert_ptr_nonnull (strstr (second_list, "'d' of 'domains' refers to 'r'"));
  json_decref (first);
  json_decref (empty);
}
END_TEST

struct target_case
{
  const char *target;
  const char *stripped; /* NULL: the target is rejected */
};

static const struct target_case target_cases[] = {
    {"/a?x=1&api_key=plk_s&y=2", "/a?x=1&y=2"},
    {"/a?API_KEY=plk_s", "/a"},
    {"/a?k%65y=plk_s&x=1", "/a?x=1"},
    {"/a?token=other", "/a"},
    {"/a?note=plk_s", NULL},
    {"/a?note=plk%5Fs", NULL},
    {"/plk_s/a", NULL},
    {"/a?x=%zz", NULL},
    {"/a", "/a"},
};

/* Guards against servers that receive a caller's key. */
START_TEST (api_keys_are_stripped_from_the_target)
{
  g_autofree char *stripped = pl_key_strip_target (target_cases[_i].target, "plk_s");

  if (target_cases[_i].stripped == NULL)
    ck_assert_ptr_null (stripped);
  else
    ck_assert_str_eq (stripped, target_cases[_i].stripped);
}
END_TEST

START_TEST (only_allowed_headers_without_the_key_are_forwarded)
{
  ck_assert (pl_key_header_is_allowed ("content-type", "text/plain", "plk_s"));
  ck_assert (!pl_key_header_is_allowed ("User-Agent", "x plk_s y", "plk_s"));
  ck_assert (!pl_key_header_is_allowed ("Authorization", "Bearer other", "plk_s"));
  ck_assert (!pl_key_header_is_allowed ("Cookie", "a=b", NULL));
  ck_assert (!pl_key_header_is_allowed ("X-Api-Key", "another", "plk_s"));
}
END_TEST

static int decoded;

static void
count_message (void *data, struct pl_message *message)
{
  (void) data;
  decoded++;
  pl_message_clear (message);
}

/* Damaged batches may decode to other messages, but must not crash the decoder. */
START_TEST (messages_round_trip_and_truncated_batches_are_rejected)
{
  struct pl_message messages[3] = {{.type = PL_MESSAGE_HEARTBEAT},
                                   {.type = PL_MESSAGE_LOAN_REQUEST},
                                   {.type = PL_MESSAGE_RELEASE}};
  GRand *random = g_rand_new_with_seed (1);
  char text[] = "{}";
  size_t length;
  char *bytes;

  messages[0].u.heartbeat.service_count = PL_SERVICES_MAX;
  messages[1].u.loans.count = PL_LOAN_ITEMS_MAX;
  messages[2].u.document.text = text;
  bytes = pl_peer_encode (messages, 3, &length);
  decoded = 0;
  ck_assert_int_eq (pl_peer_decode (bytes, length, 1, count_message, NULL), PL_OK);
  ck_assert_int_eq (decoded, 3);
  decoded = 0;
  for (size_t truncated_length = 0; truncated_length < length; truncated_length++)
    ck_assert_int_eq (pl_peer_decode (bytes, truncated_length, 1, count_message, NULL),
                      PL_ERR_INVALID);
  ck_assert_int_eq (decoded, 0);
  for (int i = 0; i < 20000; i++)
    {
      g_autofree char *damaged = g_memdup2 (bytes, length);

      for (int j = 0; j < 4; j++)
        damaged[g_rand_int_range (random, 0, (gint32) length)] = (char) g_rand_int (random);
      pl_peer_decode (damaged, length, 1, count_message, NULL);
    }
  g_free (bytes);
  g_rand_free (random);
}
END_TEST

static void
send_snapshot (struct pl_core *core, int version)
{
  struct pl_effects effects = {0};
  struct pl_event event = {.type = PL_EVENT_MESSAGE, .now_us = 1};

  event.u.message.type = PL_MESSAGE_SNAPSHOT;
  event.u.message.from = 77;
  event.u.message.u.document.version = version;
  event.u.message.u.document.text = g_strdup_printf (
      "{\"version\":%d,\"document\":{\"entry_hosts\":{},\"domains\":{}}}", version);
  pl_core_step (core, &event, &effects);
  pl_effects_free (&effects);
}

/* Guards against a version in force that decreases when snapshots arrive out of order. */
START_TEST (an_older_snapshot_is_ignored)
{
  struct pl_core_options options = {.name = "h", .nonce = 1};
  struct pl_core *core = pl_core_new (&options);

  send_snapshot (core, 5);
  ck_assert_int_eq (pl_core_version (core), 5);
  send_snapshot (core, 4);
  ck_assert_int_eq (pl_core_version (core), 5);
  pl_core_free (core);
}
END_TEST

/* Found by the fuzzer (seed 14): a host without a configuration must not report that an operation
 * did not run, since it may have run through another host. */
START_TEST (without_a_configuration_the_operation_may_have_run)
{
  struct pl_core_options options = {.name = "h", .nonce = 1};
  struct pl_core *core = pl_core_new (&options);
  struct pl_effects effects = {0};
  struct pl_event event = {.type = PL_EVENT_REQUEST, .now_us = 1};

  event.u.request.request = 1;
  g_strlcpy (event.u.request.operation, "abc", sizeof event.u.request.operation);
  pl_core_step (core, &event, &effects);
  ck_assert_int_eq (effects.items[0].type, PL_EFFECT_REFUSE);
  ck_assert (effects.items[0].u.refuse.operation_ran);
  ck_assert (!effects.items[0].u.refuse.attempt_ran);
  pl_effects_free (&effects);
  pl_core_free (core);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "release");

  if (sodium_init () < 0)
    return EXIT_FAILURE;
  tcase_add_loop_test (tcase, findings_report_line_and_column, 0,
                       (int) G_N_ELEMENTS (finding_cases));
  tcase_add_test (tcase, a_release_changes_a_copy);
  tcase_add_test (tcase, a_referenced_entry_cannot_be_withdrawn);
  tcase_add_loop_test (tcase, api_keys_are_stripped_from_the_target, 0,
                       (int) G_N_ELEMENTS (target_cases));
  tcase_add_test (tcase, only_allowed_headers_without_the_key_are_forwarded);
  tcase_add_test (tcase, messages_round_trip_and_truncated_batches_are_rejected);
  tcase_add_test (tcase, an_older_snapshot_is_ignored);
  tcase_add_test (tcase, without_a_configuration_the_operation_may_have_run);
  return suite_run (suite);
}
