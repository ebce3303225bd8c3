/* An epoll event loop with a small table of timers.
 *
 * Entry hosts have a fraction of a core, on which handing a request from thread to thread costs
 * more than the work itself.  Therefore sockets, libcurl, libmicrohttpd and the reducer share one
 * thread, and no callback may block.
 */
#include "internal/reactor.h"
#include "internal/clock.h"

#include <assert.h>
#include <glib.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#define TIMERS_MAX 16
#define HOOKS_MAX 8
#define READY_MAX 64
/* The thread's processor time is read once in this time, as that costs a call to the kernel. */
#define CPU_SAMPLE_PERIOD_US INT64_C (100000)

struct watch
{
  pl_reactor_fd_function function;
  void *data;
  uint32_t mask;
};

struct timer
{
  pl_reactor_function function;
  void *data;
  int64_t due_us;
};

struct hook
{
  pl_reactor_function function;
  void *data;
};

struct pl_reactor
{
  int epoll;
  GArray *watches; /* of struct watch, by descriptor */
  struct timer timers[TIMERS_MAX];
  int timer_count;
  struct hook hooks[HOOKS_MAX];
  int hook_count;
  bool skip_wait;
  bool quit;
  int64_t waited_us;
  pl_reactor_stall_function on_stall; /* NULL: stalls are not reported */
  void *stall_data;
  int64_t stall_us; /* the shortest that is reported */
  int64_t due_us;   /* when the last wait was to end at the latest */
  int64_t woke_us;  /* when it ended */
  int64_t sample_us;
  int64_t sample_cpu_us; /* processor time then */
};

struct pl_reactor *
pl_reactor_new (void)
{
  struct pl_reactor *reactor = g_new0 (struct pl_reactor, 1);

  reactor->epoll = epoll_create1 (EPOLL_CLOEXEC);
  reactor->watches = g_array_new (FALSE, TRUE, sizeof (struct watch));
  return reactor;
}

void
pl_reactor_free (struct pl_reactor *reactor)
{
  if (reactor == NULL)
    return;
  close (reactor->epoll);
  g_array_free (reactor->watches, TRUE);
  g_free (reactor);
}

void
pl_reactor_watch (struct pl_reactor *reactor, int fd, uint32_t mask,
                  pl_reactor_fd_function function, void *data)
{
  struct epoll_event event = {.events = mask, .data = {.fd = fd}};
  struct watch *watch;

  if ((guint) fd >= reactor->watches->len)
    g_array_set_size (reactor->watches, (guint) fd + 1);
  watch = &g_array_index (reactor->watches, struct watch, fd);
  /* Closing a descriptor removes it from the epoll set, so the recorded mask may be outdated: when
   * one operation fails, try the other. */
  if (mask == 0)
    epoll_ctl (reactor->epoll, EPOLL_CTL_DEL, fd, NULL);
  else if (watch->mask == 0 || epoll_ctl (reactor->epoll, EPOLL_CTL_MOD, fd, &event) < 0)
    if (epoll_ctl (reactor->epoll, EPOLL_CTL_ADD, fd, &event) < 0)
      epoll_ctl (reactor->epoll, EPOLL_CTL_MOD, fd, &event);
  watch->mask = mask;
  watch->function = function;
  watch->data = data;
}

int
pl_reactor_add_timer (struct pl_reactor *reactor, pl_reactor_function function, void *data)
{
  struct timer *timer = &reactor->timers[reactor->timer_count];

  assert (reactor->timer_count < TIMERS_MAX);
  timer->function = function;
  timer->data = data;
  timer->due_us = INT64_MAX;
  return reactor->timer_count++;
}

void
pl_reactor_arm_timer (struct pl_reactor *reactor, int timer, int64_t due_us)
{
  reactor->timers[timer].due_us = due_us;
}

void
pl_reactor_add_wait_hook (struct pl_reactor *reactor, pl_reactor_function function, void *data)
{
  struct hook *hook = &reactor->hooks[reactor->hook_count++];

  assert (reactor->hook_count <= HOOKS_MAX);
  hook->function = function;
  hook->data = data;
}

void
pl_reactor_skip_wait (struct pl_reactor *reactor)
{
  reactor->skip_wait = true;
}

static void
run_timers (struct pl_reactor *reactor)
{
  int64_t now_us = pl_clock_now_us ();

  for (int i = 0; i < reactor->timer_count; i++)
    {
      struct timer *timer = &reactor->timers[i];

      if (timer->due_us > now_us)
        continue;
      timer->due_us = INT64_MAX;
      timer->function (timer->data);
    }
}

/* Returns the timeout for epoll_wait() in milliseconds, rounded up; -1 without an armed timer. */
static int
wait_ms (const struct pl_reactor *reactor)
{
  int64_t first_us = INT64_MAX;
  int64_t left_us;

  if (reactor->skip_wait)
    return 0;
  for (int i = 0; i < reactor->timer_count; i++)
    first_us = MIN (first_us, reactor->timers[i].due_us);
  if (first_us == INT64_MAX)
    return -1;
  left_us = first_us - pl_clock_now_us ();
  return left_us <= 0 ? 0 : (int) MIN ((left_us + 999) / 1000, 60000);
}

static void
run_ready (struct pl_reactor *reactor, const struct epoll_event *events, int count)
{
  for (int i = 0; i < count; i++)
    {
      int fd = events[i].data.fd;
      struct watch watch = g_array_index (reactor->watches, struct watch, fd);

      if (watch.mask != 0)
        watch.function (watch.data, fd, events[i].events);
    }
}

static int64_t
thread_cpu_us (void)
{
  struct timespec used;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &used);
  return (int64_t) used.tv_sec * 1000000 + used.tv_nsec / 1000;
}

void
pl_reactor_report_stalls (struct pl_reactor *reactor, int64_t stall_us,
                          pl_reactor_stall_function function, void *data)
{
  reactor->on_stall = function;
  reactor->stall_data = data;
  reactor->stall_us = stall_us;
}

/* Reports the time since the last wait was to end, if it was long; NOW_US is when the next one
 * begins. */
static void
check_stall (struct pl_reactor *reactor, int64_t now_us)
{
  struct pl_reactor_stall stall = {.late_us = MAX (reactor->woke_us - reactor->due_us, 0),
                                   .busy_us = now_us - reactor->woke_us,
                                   .sampled_us = now_us - reactor->sample_us};
  bool is_stall = stall.late_us + stall.busy_us > reactor->stall_us;
  int64_t cpu_us;

  if (!is_stall && stall.sampled_us < CPU_SAMPLE_PERIOD_US)
    return;
  cpu_us = thread_cpu_us ();
  stall.cpu_us = cpu_us - reactor->sample_cpu_us;
  reactor->sample_us = now_us;
  reactor->sample_cpu_us = cpu_us;
  if (is_stall)
    reactor->on_stall (reactor->stall_data, &stall);
}

void
pl_reactor_run (struct pl_reactor *reactor)
{
  struct epoll_event events[READY_MAX];

  while (!reactor->quit)
    {
      int64_t started_us;
      int timeout_ms;
      int count;

      for (int i = 0; i < reactor->hook_count; i++)
        reactor->hooks[i].function (reactor->hooks[i].data);
      if (reactor->quit)
        break; /* what is read now would not be processed */
      started_us = pl_clock_now_us ();
      if (reactor->on_stall != NULL && reactor->woke_us > 0)
        check_stall (reactor, started_us);
      timeout_ms = wait_ms (reactor);
      count = epoll_wait (reactor->epoll, events, READY_MAX, timeout_ms);
      reactor->woke_us = pl_clock_now_us ();
      reactor->due_us = timeout_ms < 0 ? INT64_MAX : started_us + timeout_ms * INT64_C (1000);
      reactor->waited_us += reactor->woke_us - started_us;
      reactor->skip_wait = false;
      run_ready (reactor, events, count);
      run_timers (reactor);
    }
}

int64_t
pl_reactor_waited_us (const struct pl_reactor *reactor)
{
  return reactor->waited_us;
}

void
pl_reactor_quit (struct pl_reactor *reactor)
{
  reactor->quit = true;
  reactor->skip_wait = true;
}
