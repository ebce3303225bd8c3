/* Tests the beacon codec, and how the membership handles beacons with and without identity.  Guards
 * against values that the codec loses, truncated datagrams that it accepts, and large beacons. */
#include "internal/beacon_socket.h"
#include "internal/routing.h"
#include "suite.h"

#include <string.h>

/* Limit for a beacon without identity, which a host sends to each other host twice a second. */
#define STATE_BYTES_MAX 96

static struct pl_beacon
make_beacon (bool has_identity)
{
  struct pl_beacon beacon = {
      .host = pl_host_id ("host-1"),
      .incarnation = 7,
      .has_identity = has_identity,
      .busy_percent = 40,
      .active = true,
      .watching = true,
      .store_error_us = 5000,
      .held = {12, 34},
  };

  if (!has_identity)
    return beacon;
  beacon.self.capacity = 200;
  g_strlcpy (beacon.self.name, "host-1", sizeof beacon.self.name);
  g_strlcpy (beacon.self.peer_address, "10.0.0.1:7600", sizeof beacon.self.peer_address);
  g_strlcpy (beacon.self.caller_address, "10.0.0.1:80", sizeof beacon.self.caller_address);
  g_strlcpy (beacon.self.relay_address, "10.0.0.1:7600", sizeof beacon.self.relay_address);
  g_strlcpy (beacon.self.domain, "a-1", sizeof beacon.self.domain);
  return beacon;
}

/* Once without and once with identity. */
START_TEST (decode_returns_the_encoded_beacon)
{
  struct pl_beacon original = make_beacon (_i == 1);
  struct pl_beacon decoded;
  char bytes[PL_BEACON_BYTES_MAX];
  int length;

  original.account_count = 1;
  original.accounts[0] = (struct pl_beacon_account){99, 1234};
  original.suspect_count = 1;
  original.suspects[0] = (struct pl_beacon_suspect){5, 6, true};
  original.limit_count = 2;
  original.limits[0] = (struct pl_beacon_limit){71, true, 0.25, 40000};
  original.limits[1] = (struct pl_beacon_limit){72, false, 0, 0};
  original.permits_count = 1;
  original.permits[0]
      = (struct pl_beacon_permits){{73, true, 4000, 1000}, true, PL_BEACON_PERMITS_MAX, 250000};
  length = pl_beacon_encode (&original, bytes, sizeof bytes);
  ck_assert_int_gt (length, 0);
  ck_assert_int_eq (pl_beacon_decode (bytes, (size_t) length, &decoded), 0);
  ck_assert_uint_eq (decoded.host, original.host);
  ck_assert_uint_eq (decoded.incarnation, original.incarnation);
  ck_assert (decoded.active && decoded.watching && !decoded.ready && !decoded.leaving
             && !decoded.store_lost);
  ck_assert (decoded.has_identity == original.has_identity);
  ck_assert_str_eq (decoded.self.domain, original.self.domain);
  ck_assert_str_eq (decoded.self.caller_address, original.self.caller_address);
  ck_assert_int_eq (decoded.held[1], 34);
  ck_assert_uint_eq (decoded.accounts[0].admitted, 1234);
  ck_assert (decoded.suspects[0].confirmed);
  ck_assert_int_eq (decoded.limit_count, 2);
  ck_assert (decoded.limits[0].in_force && !decoded.limits[1].in_force);
  ck_assert_double_eq (decoded.limits[0].per_second, 0.25);
  ck_assert_int_eq (decoded.limits[0].age_us, 40000);
  ck_assert_int_eq (decoded.permits_count, 1);
  ck_assert_uint_eq (decoded.permits[0].limit.server, 73);
  ck_assert_double_eq (decoded.permits[0].limit.per_second, 4000);
  ck_assert (decoded.permits[0].is_grant);
  ck_assert_int_eq (decoded.permits[0].count, PL_BEACON_PERMITS_MAX);
  ck_assert_int_eq (decoded.permits[0].wait_us, 250000);
}
END_TEST

static struct pl_contact
make_longest_contact (char last)
{
  struct pl_contact contact = {.capacity = 200};

  memset (contact.name, 'x', PL_HOST_NAME_BYTES_MAX);
  contact.name[PL_HOST_NAME_BYTES_MAX - 1] = last;
  memcpy (contact.domain, contact.name, sizeof contact.domain);
  memset (contact.peer_address, '9', sizeof contact.peer_address - 1);
  memset (contact.caller_address, '9', sizeof contact.caller_address - 1);
  memset (contact.relay_address, '9', sizeof contact.relay_address - 1);
  return contact;
}

/* Guards against hosts with long names that never hear of each other. */
START_TEST (the_fullest_beacon_with_the_longest_names_is_sent_whole)
{
  struct pl_beacon original = make_beacon (true);
  struct pl_beacon decoded;
  char bytes[PL_BEACON_BYTES_MAX];
  int length;

  original.is_delegate = true;
  original.self = make_longest_contact ('0');
  original.account_count = PL_BEACON_ACCOUNTS_MAX;
  original.state_count = PL_BEACON_STATES_MAX;
  original.suspect_count = PL_BEACON_SUSPECTS_MAX;
  original.limit_count = PL_BEACON_LIMITS_MAX;
  original.permits_count = PL_BEACON_PERMITS_MAX;
  original.retained_configuration = 1;
  original.contact_count = PL_BEACON_CONTACTS_MAX;
  for (int i = 0; i < PL_BEACON_CONTACTS_MAX; i++)
    original.contacts[i] = make_longest_contact ((char) ('a' + i));
  length = pl_beacon_encode (&original, bytes, sizeof bytes);
  ck_assert_int_gt (length, 0);
  ck_assert_int_eq (pl_beacon_decode (bytes, (size_t) length, &decoded), 0);
  ck_assert_mem_eq (&decoded.self, &original.self, sizeof decoded.self);
  ck_assert_mem_eq (decoded.contacts, original.contacts, sizeof decoded.contacts);
}
END_TEST

START_TEST (state_without_identity_is_small)
{
  struct pl_beacon beacon = make_beacon (false);
  char bytes[PL_BEACON_BYTES_MAX];

  ck_assert_int_le (pl_beacon_encode (&beacon, bytes, sizeof bytes), STATE_BYTES_MAX);
}
END_TEST

/* An age that is not sent exactly is sent as a higher one. */
START_TEST (the_age_of_a_confirmation_is_kept)
{
  static const struct
  {
    int64_t age_us;
    int64_t decoded_us;
  } cases[] = {{0, 0}, {1, 10000}, {1234567, 1240000}, {5090000, 5090000}, {5090001, -1}, {-1, -1}};
  struct pl_beacon beacon = make_beacon (false);
  struct pl_beacon decoded;
  char bytes[PL_BEACON_BYTES_MAX];

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int length;

      beacon.confirmed_age_us = cases[i].age_us;
      length = pl_beacon_encode (&beacon, bytes, sizeof bytes);
      ck_assert_int_eq (pl_beacon_decode (bytes, (size_t) length, &decoded), 0);
      ck_assert_int_eq (decoded.confirmed_age_us, cases[i].decoded_us);
      ck_assert_int_eq (decoded.busy_percent, beacon.busy_percent);
    }
}
END_TEST

/* Versions before limits wrote nothing behind the lists. */
START_TEST (limits_and_permits_take_no_bytes_when_there_are_none)
{
  struct pl_beacon beacon = make_beacon (false);
  struct pl_beacon decoded;
  char bytes[PL_BEACON_BYTES_MAX];
  int length = pl_beacon_encode (&beacon, bytes, sizeof bytes);

  beacon.limit_count = 1;
  ck_assert_int_gt (pl_beacon_encode (&beacon, bytes, sizeof bytes), length);
  ck_assert_int_eq (pl_beacon_decode (bytes, (size_t) length, &decoded), 0);
  ck_assert_int_eq (decoded.limit_count, 0);
}
END_TEST

static uint64_t
next_random (uint64_t *state)
{
  *state = *state * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
  return *state >> 16;
}

/* Returns an end of the range from 0 to MAX, or a number in it. */
static uint64_t
pick (uint64_t *state, uint64_t max)
{
  switch (next_random (state) % 4)
    {
    case 0:
      return 0;
    case 1:
      return max;
    default:
      return max < UINT64_MAX ? next_random (state) % (max + 1) : next_random (state);
    }
}

static void
pick_text (uint64_t *state, char *text, size_t size)
{
  size_t length = (size_t) pick (state, size - 1);

  memset (text, (int) ('a' + next_random (state) % 26), length);
}

static struct pl_contact
pick_contact (uint64_t *state)
{
  struct pl_contact contact = {.capacity = (int) pick (state, INT32_MAX)};

  pick_text (state, contact.name, sizeof contact.name);
  pick_text (state, contact.domain, sizeof contact.domain);
  pick_text (state, contact.peer_address, sizeof contact.peer_address);
  pick_text (state, contact.caller_address, sizeof contact.caller_address);
  pick_text (state, contact.relay_address, sizeof contact.relay_address);
  return contact;
}

static void
pick_lists (uint64_t *state, struct pl_beacon *beacon)
{
  beacon->account_count = (int) pick (state, PL_BEACON_ACCOUNTS_MAX);
  for (int i = 0; i < beacon->account_count; i++)
    beacon->accounts[i]
        = (struct pl_beacon_account){pick (state, UINT64_MAX), (uint32_t) pick (state, UINT32_MAX)};
  beacon->state_count = (int) pick (state, PL_BEACON_STATES_MAX);
  for (int i = 0; i < beacon->state_count; i++)
    beacon->states[i] = (struct pl_beacon_state){
        .host = pick (state, UINT64_MAX),
        .ready = pick (state, 1) == 1,
        .watching = pick (state, 1) == 1,
        .servers_lost = pick (state, 1) == 1,
        .busy_percent = (int) pick (state, 100),
        .age_us = (int64_t) pick (state, 0xffff) * 10000,
    };
  beacon->contact_count = (int) pick (state, PL_BEACON_CONTACTS_MAX);
  for (int i = 0; i < beacon->contact_count; i++)
    beacon->contacts[i] = pick_contact (state);
  beacon->suspect_count = (int) pick (state, PL_BEACON_SUSPECTS_MAX);
  for (int i = 0; i < beacon->suspect_count; i++)
    beacon->suspects[i] = (struct pl_beacon_suspect){
        pick (state, UINT64_MAX), pick (state, UINT64_MAX), pick (state, 1) == 1};
}

static struct pl_beacon
pick_beacon (uint64_t *state)
{
  struct pl_beacon beacon = {
      .host = pick (state, UINT64_MAX),
      .incarnation = pick (state, UINT64_MAX),
      .has_identity = pick (state, 1) == 1,
      .busy_percent = (int) pick (state, 100),
      .active = pick (state, 1) == 1,
      .ready = pick (state, 1) == 1,
      .leaving = pick (state, 1) == 1,
      .watching = pick (state, 1) == 1,
      .store_lost = pick (state, 1) == 1,
      .store_quiet = pick (state, 1) == 1,
      .servers_lost = pick (state, 1) == 1,
      .store_down = pick (state, 1) == 1,
      .wants_contacts = pick (state, 1) == 1,
      .is_delegate = pick (state, 1) == 1,
      .store_error_us = (int64_t) pick (state, INT64_MAX) - 1,
      .held = {(int64_t) pick (state, INT64_MAX), (int64_t) pick (state, INT64_MAX)},
      .retained_configuration = (int64_t) pick (state, INT64_MAX),
      .account_scope = (enum pl_quota_scope) pick (state, PL_QUOTA_SCOPES - 1),
  };

  if (beacon.has_identity)
    beacon.self = pick_contact (state);
  if (beacon.is_delegate)
    {
      beacon.domain_hosts = (int) pick (state, INT32_MAX);
      beacon.fleet_hosts = (int) pick (state, INT32_MAX);
      beacon.silent_permille = (int) pick (state, 1000);
    }
  pick_lists (state, &beacon);
  return beacon;
}

/* Guards against a field that is lost or shortened on its way to a peer. */
START_TEST (every_field_is_received_as_it_was_sent)
{
  uint64_t state = 1;

  for (int i = 0; i < 2000; i++)
    {
      struct pl_beacon original = pick_beacon (&state);
      struct pl_beacon decoded;
      char bytes[PL_BEACON_BYTES_MAX];
      int length = pl_beacon_encode (&original, bytes, sizeof bytes);

      ck_assert_int_gt (length, 0);
      ck_assert_int_eq (pl_beacon_decode (bytes, (size_t) length, &decoded), 0);
      ck_assert_mem_eq (&decoded, &original, sizeof decoded);
    }
}
END_TEST

/* A datagram with some bytes changed is rejected, or has lists within their bounds and texts that
 * end. */
START_TEST (an_altered_beacon_stays_within_bounds)
{
  uint64_t state = 7;

  for (int i = 0; i < 20000; i++)
    {
      struct pl_beacon beacon = pick_beacon (&state);
      char bytes[PL_BEACON_BYTES_MAX];
      int length = pl_beacon_encode (&beacon, bytes, sizeof bytes);

      for (int j = 0; j < 3; j++)
        bytes[next_random (&state) % (uint64_t) length] = (char) next_random (&state);
      if (pl_beacon_decode (bytes, (size_t) length, &beacon) < 0)
        continue;
      ck_assert (beacon.account_count >= 0 && beacon.account_count <= PL_BEACON_ACCOUNTS_MAX);
      ck_assert (beacon.state_count >= 0 && beacon.state_count <= PL_BEACON_STATES_MAX);
      ck_assert (beacon.contact_count >= 0 && beacon.contact_count <= PL_BEACON_CONTACTS_MAX);
      ck_assert (beacon.suspect_count >= 0 && beacon.suspect_count <= PL_BEACON_SUSPECTS_MAX);
      ck_assert (memchr (beacon.self.name, '\0', sizeof beacon.self.name) != NULL);
      for (int j = 0; j < beacon.contact_count; j++)
        ck_assert (memchr (beacon.contacts[j].domain, '\0', sizeof beacon.contacts[j].domain)
                   != NULL);
    }
}
END_TEST

START_TEST (truncated_beacon_is_rejected)
{
  struct pl_beacon beacon = make_beacon (true);
  char bytes[PL_BEACON_BYTES_MAX];
  int length = pl_beacon_encode (&beacon, bytes, sizeof bytes);

  for (int truncated_length = 0; truncated_length < length; truncated_length++)
    ck_assert_int_lt (pl_beacon_decode (bytes, (size_t) truncated_length, &beacon), 0);
}
END_TEST

/* A datagram with some bytes changed is rejected, or has counts within their bounds. */
START_TEST (altered_limits_and_permits_stay_within_bounds)
{
  struct pl_beacon beacon = make_beacon (false);
  char bytes[PL_BEACON_BYTES_MAX];
  uint32_t random = 1;
  int length;

  beacon.limit_count = PL_BEACON_LIMITS_MAX;
  beacon.permits_count = PL_BEACON_PERMITS_MAX;
  length = pl_beacon_encode (&beacon, bytes, sizeof bytes);
  ck_assert_int_gt (length, 0);
  for (int i = 0; i < 20000; i++)
    {
      char altered[PL_BEACON_BYTES_MAX];
      struct pl_beacon decoded;

      memcpy (altered, bytes, (size_t) length);
      for (int change = 0; change < 4; change++)
        {
          random = random * 1664525 + 1013904223;
          altered[(random >> 8) % (uint32_t) length] = (char) (random >> 3);
        }
      if (pl_beacon_decode (altered, (size_t) length, &decoded) < 0)
        continue;
      ck_assert_int_le (decoded.limit_count, PL_BEACON_LIMITS_MAX);
      ck_assert_int_le (decoded.permits_count, PL_BEACON_PERMITS_MAX);
      for (int j = 0; j < decoded.permits_count; j++)
        {
          ck_assert_int_ge (decoded.permits[j].count, 0);
          ck_assert_int_le (decoded.permits[j].count, PL_BEACON_PERMIT_COUNT_MAX);
          ck_assert_double_ge (decoded.permits[j].limit.per_second, 0);
          ck_assert_int_ge (decoded.permits[j].wait_us, 0);
        }
    }
}
END_TEST

/* Guards against state being attributed to a host whose identity has not come in a beacon, even if
 * its contact is known. */
START_TEST (state_is_accepted_only_from_identified_host)
{
  struct pl_membership membership = {0};
  struct pl_beacon state = make_beacon (false);
  struct pl_beacon identity = make_beacon (true);
  const struct pl_member *member;

  pl_membership_init (&membership, "self", "a-1", 0);
  ck_assert_ptr_null (pl_membership_on_beacon (&membership, &state, PL_NONE, 0));
  pl_membership_add_contact (&membership, &identity.self, 0);
  ck_assert_ptr_null (pl_membership_on_beacon (&membership, &state, PL_NONE, 0));
  ck_assert_ptr_nonnull (pl_membership_on_beacon (&membership, &identity, 0, 0));
  state.ready = true;
  member = pl_membership_on_beacon (&membership, &state, PL_NONE, 1000);
  ck_assert_ptr_nonnull (member);
  ck_assert (member->ready);
  ck_assert_int_eq (member->region, 0);
  ck_assert_str_eq (member->contact.domain, "a-1");
  pl_membership_clear (&membership);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "beacon");

  tcase_add_loop_test (tcase, decode_returns_the_encoded_beacon, 0, 2);
  tcase_add_test (tcase, the_fullest_beacon_with_the_longest_names_is_sent_whole);
  tcase_add_test (tcase, state_without_identity_is_small);
  tcase_add_test (tcase, the_age_of_a_confirmation_is_kept);
  tcase_add_test (tcase, limits_and_permits_take_no_bytes_when_there_are_none);
  tcase_add_test (tcase, every_field_is_received_as_it_was_sent);
  tcase_add_test (tcase, an_altered_beacon_stays_within_bounds);
  tcase_add_test (tcase, truncated_beacon_is_rejected);
  tcase_add_test (tcase, altered_limits_and_permits_stay_within_bounds);
  tcase_add_test (tcase, state_is_accepted_only_from_identified_host);
  return suite_run (suite);
}
