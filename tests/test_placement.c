/* Placement under the loads that it answers: each test replays one without I/O. */
#include "internal/placement.h"
#include "suite.h"

#include <string.h>

#define SERVERS 16
#define SLOTS 5
#define OBJECTS 285
#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)

static struct pl_placement placement;

static struct pl_server_entry
make_entry (int number, const char *domain)
{
  struct pl_server_entry entry = {.slots = SLOTS, .born = 1};

  g_snprintf (entry.id, sizeof entry.id, "server-%d", number);
  g_snprintf (entry.address, sizeof entry.address, "10.0.0.%d:80", number + 1);
  g_strlcpy (entry.service, "stock", sizeof entry.service);
  g_strlcpy (entry.domain, domain, sizeof entry.domain);
  return entry;
}

/* Half of the servers in region 0, half in region 1. */
static void
add_servers (int count)
{
  for (int i = 0; i < count; i++)
    {
      struct pl_server_entry entry = make_entry (i, i % 2 == 0 ? "a-1" : "b-1");

      pl_placement_put (&placement, &entry, i % 2, true, 0);
    }
}

static void
set_up (void)
{
  pl_placement_init (&placement, "a-1", 0);
  pl_placement_set_service (&placement, "stock", 3 * SECOND, 14);
  add_servers (SERVERS);
}

static void
tear_down (void)
{
  pl_placement_clear (&placement);
}

static struct pl_placement_wish
wish_for (uint64_t object)
{
  return (struct pl_placement_wish){.service = "stock",
                                    .object = object,
                                    .objective_us = 200 * MS,
                                    .time_us = SECOND,
                                    .homes = UINT32_MAX};
}

static struct pl_backend *
choose (const struct pl_placement_wish *wish, int64_t now_us)
{
  struct pl_placement_choice choice;

  pl_placement_choose (&placement, wish, NULL, NULL, &choice, now_us);
  return choice.backend;
}

static void
finish (struct pl_backend *backend, int64_t latency_us, int64_t now_us)
{
  double load = backend->load_at_send;

  backend->in_flight--;
  backend->progress_us = now_us;
  pl_placement_note_load (backend, backend->in_flight, 0, SLOTS, now_us);
  pl_placement_note_answer (&placement, backend,
                            &(struct pl_placement_answer){false, false, latency_us, load});
}

/* The load of a heavy day: more than the servers can take cold, half of what they take warm.  When
 * every busy first choice sent its requests to any idle server, an object came to be on six. */
START_TEST (an_object_is_on_few_servers_when_all_are_busy)
{
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct pl_backend *open[4096];
  int64_t ends[4096];
  int open_count = 0;
  uint32_t random = 1;
  guint copies;

  for (int64_t now = 0; now < 4 * SECOND; now += 2 * MS)
    {
      struct pl_placement_wish wish;
      struct pl_backend *backend;

      for (int i = 0; i < open_count; i++)
        if (ends[i] <= now)
          {
            finish (open[i], 240 * MS, now);
            open[i] = open[--open_count];
            ends[i--] = ends[open_count];
          }
      random = random * 1103515245 + 12345;
      wish = wish_for (1 + (random >> 16) % OBJECTS);
      backend = choose (&wish, now);
      if (backend == NULL)
        continue;
      g_hash_table_add (seen, g_strdup_printf ("%d %s", (int) wish.object, backend->entry.id));
      open[open_count] = backend;
      ends[open_count++] = now + 240 * MS;
    }
  copies = g_hash_table_size (seen);
  ck_assert_uint_le (copies, OBJECTS * 3UL);
  g_hash_table_destroy (seen);
}
END_TEST

START_TEST (hosts_agree_on_a_server_without_talking)
{
  struct pl_placement other;
  struct pl_placement_wish wish = wish_for (77);
  struct pl_backend *here = choose (&wish, 0);
  struct pl_placement_choice there;

  pl_placement_init (&other, "b-1", 1);
  for (int i = SERVERS - 1; i >= 0; i--)
    {
      struct pl_server_entry entry = make_entry (i, i % 2 == 0 ? "a-1" : "b-1");

      pl_placement_put (&other, &entry, i % 2, true, 0);
    }
  pl_placement_choose (&other, &wish, NULL, NULL, &there, 0);
  ck_assert_str_eq (here->entry.id, there.backend->entry.id);
  pl_placement_clear (&other);
}
END_TEST

/* Fills the queue of the first server for an object, whose work takes 100 ms; returns how many
 * requests that are there then. */
static int
fill_queue (int64_t time_us, int late_answers)
{
  struct pl_placement_wish wish = wish_for (5);
  struct pl_backend *first = choose (&wish, 0);
  struct pl_placement_answer late = {.late = true, .load = 1};
  int left = 0;

  finish (first, 100 * MS, 0);
  for (int i = 0; i < late_answers; i++)
    pl_placement_note_answer (&placement, first, &late);
  wish.time_us = time_us;
  while (choose (&wish, 0) != NULL)
    left++;
  ck_assert_int_ge (left, first->in_flight);
  return first->in_flight;
}

/* The last of the queue is answered within 1.8 objectives of 200 ms. */
START_TEST (a_queue_is_used_while_the_answer_is_of_use)
{
  int queued = fill_queue (SECOND, 0);

  ck_assert_int_le (queued, SLOTS * 36L / 10);
  ck_assert_int_ge (queued, SLOTS * 2L);
}
END_TEST

START_TEST (a_queue_ends_before_its_callers_time_does)
{
  ck_assert_int_le (fill_queue (250 * MS, 0), SLOTS * 25L / 10);
}
END_TEST

/* Where most answers are late, a long queue would make all of them late. */
START_TEST (queues_are_short_where_answers_are_late)
{
  ck_assert_int_le (fill_queue (SECOND, 1000), SLOTS * 2L);
}
END_TEST

/* A server that owes an answer for long is passed over until one comes. */
START_TEST (a_server_that_does_not_answer_gets_no_more)
{
  struct pl_placement_wish wish = wish_for (9);
  struct pl_backend *silent = choose (&wish, 0);
  struct pl_backend *other;

  ck_assert_ptr_eq (choose (&wish, 400 * MS), silent);
  other = choose (&wish, 600 * MS);
  ck_assert_ptr_ne (other, silent);
  finish (other, 100 * MS, 700 * MS);
  finish (silent, 100 * MS, 700 * MS);
  ck_assert_ptr_eq (choose (&wish, 800 * MS), silent);
}
END_TEST

/* One account may run in region 0 only and needs all of it. */
START_TEST (a_region_is_left_to_those_bound_to_it)
{
  int in_region[2] = {0, 0};

  for (int64_t now = 0; now < 4 * SECOND; now += 4 * MS)
    {
      struct pl_placement_wish wish = wish_for (1 + (uint64_t) (now / MS) % OBJECTS);
      struct pl_backend *backend;

      wish.has_homes = now / (4 * MS) % 2 == 0;
      wish.homes = wish.has_homes ? 1 : UINT32_MAX;
      backend = choose (&wish, now);
      ck_assert_ptr_nonnull (backend);
      if (wish.has_homes)
        ck_assert_int_eq (backend->region, 0);
      else if (now > SECOND)
        in_region[backend->region]++;
      finish (backend, 50 * MS, now);
    }
  ck_assert_int_lt (in_region[0] * 10L, in_region[1]);
}
END_TEST

START_TEST (a_large_body_stays_near)
{
  for (uint64_t object = 1; object < 50; object++)
    {
      struct pl_placement_wish wish = wish_for (object);
      struct pl_backend *backend;

      wish.is_large = true;
      backend = choose (&wish, 0);
      ck_assert_str_eq (backend->entry.domain, "a-1");
      finish (backend, 50 * MS, 0);
    }
}
END_TEST

#define NEAR_SERVERS 3
/* Of an objective each, so a server of five slots has room for nine. */
#define LARGE_REQUESTS 45

/* A domain with three servers, whose callers send more photographs than that can take, beside a
 * region with many: what has no room near is run far, one object always by the same server, and
 * what comes when there is room again stays near. */
START_TEST (a_large_body_goes_far_only_when_there_is_no_room_near)
{
  struct pl_backend *busy[LARGE_REQUESTS];
  int near = 0;
  int far = 0;

  tear_down ();
  pl_placement_init (&placement, "a-1", 0);
  pl_placement_set_service (&placement, "stock", 3 * SECOND, 14);
  for (int i = 0; i < SERVERS; i++)
    {
      struct pl_server_entry entry = make_entry (i, i < NEAR_SERVERS ? "a-1" : "b-1");

      pl_placement_put (&placement, &entry, i < NEAR_SERVERS ? 0 : 1, true, 0);
    }
  for (int i = 0; i < LARGE_REQUESTS; i++)
    {
      struct pl_placement_wish wish = wish_for ((uint64_t) i + 1);

      wish.is_large = true;
      if (i == 0)
        finish (choose (&wish, 0), 200 * MS, 0);
      busy[i] = choose (&wish, 0);
      ck_assert_ptr_nonnull (busy[i]);
      near += busy[i]->is_local;
      far += !busy[i]->is_local;
      if (!busy[i]->is_local)
        {
          struct pl_backend *again = choose (&wish, 0);

          ck_assert_ptr_eq (again, busy[i]);
          finish (again, 200 * MS, 0);
        }
    }
  ck_assert_int_ge (near, SLOTS);
  ck_assert_int_ge (far, SLOTS);
  for (int i = 0; i < LARGE_REQUESTS; i++)
    finish (busy[i], 200 * MS, 0);
  for (uint64_t object = 1; object <= SLOTS; object++)
    {
      struct pl_placement_wish wish = wish_for (object + 100);
      struct pl_backend *backend;

      wish.is_large = true;
      backend = choose (&wish, 0);
      ck_assert (backend->is_local);
      finish (backend, 200 * MS, 0);
    }
}
END_TEST

START_TEST (a_cold_server_gets_no_more_than_it_bears)
{
  struct pl_server_entry entry = make_entry (0, "a-1");
  int in_second = 0;

  tear_down ();
  pl_placement_init (&placement, "a-1", 0);
  pl_placement_set_service (&placement, "stock", 3 * SECOND, 14);
  pl_placement_put (&placement, &entry, 0, false, 0);
  for (int64_t now = SECOND; now < 2 * SECOND; now += MS)
    {
      struct pl_placement_wish wish = wish_for ((uint64_t) now);
      struct pl_backend *backend = choose (&wish, now);

      if (backend == NULL)
        continue;
      in_second++;
      finish (backend, MS, now);
    }
  ck_assert_int_le (in_second, 14);
  ck_assert_int_ge (in_second, 8);
}
END_TEST

/* Objects whose first server has just come back cold go to their other copy. */
START_TEST (a_cold_server_does_not_hold_up_its_objects)
{
  int placed = 0;

  for (int i = 0; i < 4; i++)
    {
      struct pl_server_entry entry = make_entry (i, i % 2 == 0 ? "a-1" : "b-1");

      entry.born = 2;
      pl_placement_put (&placement, &entry, i % 2, false, SECOND);
    }
  for (int64_t now = SECOND; now < 2 * SECOND; now += 4 * MS)
    {
      struct pl_placement_wish wish = wish_for (1 + (uint64_t) (now / MS) % OBJECTS);
      struct pl_backend *backend = choose (&wish, now);

      if (backend == NULL)
        continue;
      placed++;
      finish (backend, 50 * MS, now);
    }
  ck_assert_int_eq (placed, 250);
}
END_TEST

START_TEST (leaving_evacuated_and_gone_servers_are_not_used)
{
  struct pl_server_entry entry;

  for (int i = 0; i < SERVERS; i += 2)
    pl_placement_drop (&placement, make_entry (i, "a-1").id, i == 0 ? SECOND : 0);
  entry = make_entry (1, "b-1");
  entry.draining = true;
  pl_placement_put (&placement, &entry, 1, false, 0);
  for (uint64_t object = 1; object < 200; object++)
    {
      struct pl_placement_wish wish = wish_for (object);
      struct pl_backend *backend = choose (&wish, 2 * SECOND);

      ck_assert_str_eq (backend->entry.domain, "b-1");
      ck_assert_str_ne (backend->entry.id, "server-1");
      finish (backend, MS, 2 * SECOND);
    }
  pl_placement_evacuate (&placement, "b-1", true);
  for (uint64_t object = 1; object < 20; object++)
    {
      struct pl_placement_wish wish = wish_for (object);
      struct pl_placement_choice choice;

      ck_assert_int_eq (pl_placement_choose (&placement, &wish, NULL, NULL, &choice, 2 * SECOND),
                        PL_PLACE_NONE);
    }
}
END_TEST

START_TEST (a_server_that_can_not_be_reached_is_tried_with_a_probe)
{
  struct pl_placement_wish wish = wish_for (9);
  struct pl_backend *backend = choose (&wish, 0);

  backend->in_flight--;
  pl_placement_note_broken (&placement, backend, true, 0);
  ck_assert_ptr_null (pl_placement_to_probe (&placement, 100 * MS));
  ck_assert_ptr_ne (choose (&wish, 100 * MS), backend);
  ck_assert_ptr_eq (pl_placement_to_probe (&placement, SECOND), backend);
  wish.only_tried_and_sound = true;
  ck_assert_ptr_ne (choose (&wish, SECOND), backend);
  pl_placement_note_probe (&placement, backend, true, 0, SECOND);
  ck_assert_ptr_eq (choose (&wish, SECOND), backend);
}
END_TEST

/* All servers turn away half of what comes though they are idle.  When each counted as full and
 * failing, nearly everything was refused. */
START_TEST (servers_that_all_turn_away_are_used_on)
{
  int placed = 0;

  for (int64_t now = 0; now < 4 * SECOND; now += 4 * MS)
    {
      struct pl_placement_wish wish = wish_for (1 + (uint64_t) (now / MS) % OBJECTS);
      struct pl_backend *backend = choose (&wish, now);

      if (backend == NULL)
        continue;
      placed++;
      if (placed % 2 == 0)
        finish (backend, 50 * MS, now);
      else
        {
          backend->in_flight--;
          pl_placement_note_load (backend, 0, 0, SLOTS, now);
          pl_placement_note_full (&placement, backend, true, now);
        }
    }
  ck_assert_int_ge (placed, 950);
}
END_TEST

/* One of them does it alone: the others take its requests. */
START_TEST (a_server_that_alone_turns_away_is_spared)
{
  int at_odd = 0;

  for (int64_t now = 0; now < 4 * SECOND; now += 4 * MS)
    {
      struct pl_placement_wish wish = wish_for (1 + (uint64_t) (now / MS) % OBJECTS);
      struct pl_backend *backend = choose (&wish, now);

      ck_assert_ptr_nonnull (backend);
      if (strcmp (backend->entry.id, "server-3") != 0)
        {
          finish (backend, 50 * MS, now);
          continue;
        }
      at_odd++;
      backend->in_flight--;
      pl_placement_note_load (backend, 0, 0, SLOTS, now);
      pl_placement_note_full (&placement, backend, true, now);
    }
  ck_assert_int_le (at_odd, 20);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "placement");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, an_object_is_on_few_servers_when_all_are_busy);
  tcase_add_test (tcase, hosts_agree_on_a_server_without_talking);
  tcase_add_test (tcase, a_queue_is_used_while_the_answer_is_of_use);
  tcase_add_test (tcase, a_queue_ends_before_its_callers_time_does);
  tcase_add_test (tcase, queues_are_short_where_answers_are_late);
  tcase_add_test (tcase, a_server_that_does_not_answer_gets_no_more);
  tcase_add_test (tcase, a_region_is_left_to_those_bound_to_it);
  tcase_add_test (tcase, a_large_body_stays_near);
  tcase_add_test (tcase, a_large_body_goes_far_only_when_there_is_no_room_near);
  tcase_add_test (tcase, a_cold_server_gets_no_more_than_it_bears);
  tcase_add_test (tcase, a_cold_server_does_not_hold_up_its_objects);
  tcase_add_test (tcase, leaving_evacuated_and_gone_servers_are_not_used);
  tcase_add_test (tcase, a_server_that_can_not_be_reached_is_tried_with_a_probe);
  tcase_add_test (tcase, servers_that_all_turn_away_are_used_on);
  tcase_add_test (tcase, a_server_that_alone_turns_away_is_spared);
  return suite_run (suite);
}
