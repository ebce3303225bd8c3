/* Tests of the queue of waiting requests, without I/O.  Each guards one rule of its order, its
 * bound or its marks. */
#include "internal/wait_queue.h"
#include "suite.h"

#include <string.h>

#define STOCK 0
#define OFFERS 1

static struct pl_wait_queue queue;
static struct pl_wait_entry entries[PL_WAIT_QUEUE_MAX + 1];

static void
set_up (void)
{
  pl_wait_queue_init (&queue);
  memset (entries, 0, sizeof entries);
}

static void
tear_down (void)
{
  pl_wait_queue_clear (&queue);
}

/* Adds entry INDEX, which arrives after those with lower numbers. */
static struct pl_wait_entry *
add (int index, int priority, bool is_caller_retry)
{
  entries[index].priority = priority;
  entries[index].is_caller_retry = is_caller_retry;
  entries[index].arrived_us = index;
  return pl_wait_queue_add (&queue, &entries[index]);
}

/* Takes the marks of all entries, and returns how many there were. */
static int
take_marks (void)
{
  guint position = 0;
  int count = 0;

  while (pl_wait_queue_next (&queue, &position) != NULL)
    count++;
  return count;
}

static void
assert_next (guint *position, int index)
{
  struct pl_wait_entry *entry = pl_wait_queue_next (&queue, position);

  ck_assert_ptr_nonnull (entry);
  ck_assert_int_eq ((int) (entry - entries), index);
}

/* A less urgent or newer request took the slot that a more urgent one waited for. */
START_TEST (more_urgent_then_retried_then_oldest_goes_first)
{
  static const int order[] = {3, 4, 2, 0, 5, 1};
  guint position = 0;

  add (0, 1, false);
  add (1, 2, true);
  add (2, 1, true);
  add (3, 0, false);
  add (4, 0, false);
  add (5, 1, false);
  for (size_t i = 0; i < G_N_ELEMENTS (order); i++)
    assert_next (&position, order[i]);
  ck_assert_ptr_null (pl_wait_queue_next (&queue, &position));
}
END_TEST

/* An entry was passed over when the one before it left the queue. */
START_TEST (removal_of_the_current_entry_skips_none)
{
  guint position = 0;

  for (int i = 0; i < 3; i++)
    add (i, 1, false);
  assert_next (&position, 0);
  pl_wait_queue_remove (&queue, &entries[0]);
  position--;
  assert_next (&position, 1);
  assert_next (&position, 2);
  ck_assert_int_eq (pl_wait_queue_length (&queue), 2);
}
END_TEST

/* A request waited on although its server had a free slot, or was tried for each slot of others. */
START_TEST (a_free_slot_marks_the_entries_that_wait_for_the_server)
{
  struct pl_backend backend = {.service = STOCK, .hash = 7};
  struct pl_placement_choice choice = {.awaited = {5, 7}, .awaited_count = 2};

  for (int i = 0; i < 4; i++)
    add (i, 1, false);
  entries[3].service = OFFERS;
  pl_wait_entry_await (&entries[0], &choice);
  choice.awaited[1] = 8;
  pl_wait_entry_await (&entries[1], &choice);
  ck_assert_int_eq (take_marks (), 4);
  pl_wait_queue_mark_server (&queue, &backend);
  /* The one that waits for the server, and the one that waits for any server of its service. */
  ck_assert (entries[0].is_placeable && entries[2].is_placeable);
  ck_assert_int_eq (take_marks (), 2);
  ck_assert_int_eq (take_marks (), 0);
  pl_wait_queue_mark_all (&queue);
  ck_assert_int_eq (take_marks (), 4);
}
END_TEST

/* The load that a server last reported decays, so that it may have room before any answer.  A new
 * request got that room although a more urgent one waited for it. */
START_TEST (entries_ahead_of_a_new_one_are_tried_first)
{
  struct pl_wait_entry entry = {.service = STOCK, .priority = 1, .arrived_us = 9};

  add (0, 0, false);
  add (1, 1, false);
  add (2, 2, false);
  add (3, 1, false);
  entries[3].service = OFFERS;
  take_marks ();
  pl_wait_queue_mark_ahead (&queue, &entry);
  ck_assert (entries[0].is_placeable && entries[1].is_placeable);
  ck_assert_int_eq (take_marks (), 2);
  for (int i = 4; i < 20; i++)
    add (i, 0, false);
  take_marks ();
  pl_wait_queue_mark_ahead (&queue, &entry);
  ck_assert_int_eq (take_marks (), PL_WAIT_QUEUE_AHEAD_MAX);
}
END_TEST

/* Requests that wait for one service kept copies of requests for another from being sent. */
START_TEST (entries_are_counted_by_service)
{
  for (int i = 0; i < 3; i++)
    add (i, 1, false);
  entries[1].service = OFFERS;
  ck_assert_int_eq (pl_wait_queue_count (&queue, STOCK), 2);
  ck_assert_int_eq (pl_wait_queue_count (&queue, OFFERS), 1);
  pl_wait_queue_remove (&queue, &entries[1]);
  ck_assert_int_eq (pl_wait_queue_count (&queue, OFFERS), 0);
}
END_TEST

/* Memory and the time for a search grew with the backlog.  What leaves a full queue is the newest
 * request of the least urgent class. */
START_TEST (a_full_queue_gives_up_its_last_entry)
{
  for (int i = 0; i < PL_WAIT_QUEUE_MAX; i++)
    ck_assert_ptr_null (add (i, 1, false));
  ck_assert_ptr_eq (add (PL_WAIT_QUEUE_MAX, 1, false), &entries[PL_WAIT_QUEUE_MAX]);
  ck_assert_ptr_eq (add (PL_WAIT_QUEUE_MAX, 0, false), &entries[PL_WAIT_QUEUE_MAX - 1]);
  ck_assert_int_eq (pl_wait_queue_length (&queue), PL_WAIT_QUEUE_MAX);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "wait_queue");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, more_urgent_then_retried_then_oldest_goes_first);
  tcase_add_test (tcase, removal_of_the_current_entry_skips_none);
  tcase_add_test (tcase, a_free_slot_marks_the_entries_that_wait_for_the_server);
  tcase_add_test (tcase, entries_ahead_of_a_new_one_are_tried_first);
  tcase_add_test (tcase, entries_are_counted_by_service);
  tcase_add_test (tcase, a_full_queue_gives_up_its_last_entry);
  return suite_run (suite);
}
