/* Reports of an event loop that is held up: a host that answers late should say why. */
#include "internal/clock.h"
#include "internal/reactor.h"
#include "suite.h"

#include <glib.h>

#define STALL_US INT64_C (100000)
#define HELD_UP_US INT64_C (300000)

struct loop
{
  struct pl_reactor *reactor;
  int stalls;
  struct pl_reactor_stall last;
};

static void
on_stall (void *data, const struct pl_reactor_stall *stall)
{
  struct loop *loop = data;

  loop->stalls++;
  loop->last = *stall;
}

static void
sleep_long (void *data)
{
  (void) data;
  g_usleep (HELD_UP_US);
}

static void
compute_long (void *data)
{
  int64_t until_us = pl_clock_now_us () + HELD_UP_US;

  (void) data;
  while (pl_clock_now_us () < until_us)
    continue;
}

static void
do_nothing (void *data)
{
  (void) data;
}

static void
quit (void *data)
{
  pl_reactor_quit (((struct loop *) data)->reactor);
}

/* Runs a loop for half a second with a timer that calls WORK. */
static void
run_loop (struct loop *loop, pl_reactor_function work)
{
  int64_t now_us = pl_clock_now_us ();

  *loop = (struct loop){.reactor = pl_reactor_new ()};
  pl_reactor_report_stalls (loop->reactor, STALL_US, on_stall, loop);
  pl_reactor_arm_timer (loop->reactor, pl_reactor_add_timer (loop->reactor, work, loop),
                        now_us + STALL_US / 2);
  pl_reactor_arm_timer (loop->reactor, pl_reactor_add_timer (loop->reactor, quit, loop),
                        now_us + HELD_UP_US + 2 * STALL_US);
  pl_reactor_run (loop->reactor);
  pl_reactor_free (loop->reactor);
}

START_TEST (a_loop_that_waits_is_not_stalled)
{
  struct loop loop;

  run_loop (&loop, do_nothing);
  ck_assert_int_eq (loop.stalls, 0);
}
END_TEST

/* Guards against answers that are late for a reason that no log shows. */
START_TEST (a_loop_that_is_held_up_tells_whether_it_had_the_processor)
{
  struct loop loop;

  run_loop (&loop, _i == 0 ? sleep_long : compute_long);
  ck_assert_int_ge (loop.stalls, 1);
  ck_assert_int_ge (loop.last.busy_us, HELD_UP_US);
  ck_assert_int_ge (loop.last.sampled_us, HELD_UP_US);
  if (_i == 0)
    ck_assert_int_lt (loop.last.cpu_us, HELD_UP_US / 3);
  else
    ck_assert_int_gt (loop.last.cpu_us, 0);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "reactor");

  tcase_add_test (tcase, a_loop_that_waits_is_not_stalled);
  tcase_add_loop_test (tcase, a_loop_that_is_held_up_tells_whether_it_had_the_processor, 0, 2);
  return suite_run (suite);
}
