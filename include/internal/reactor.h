/* reactor.h - single-threaded event loop for sockets and timers.
 *
 * API tier: private.
 *
 * All callbacks run on the thread that calls pl_reactor_run(), so they share state without locks.
 */
#ifndef POMELOLATCH_REACTOR_H
#define POMELOLATCH_REACTOR_H

#include <stdbool.h>
#include <stdint.h>

struct pl_reactor;

/* EVENTS is a mask of EPOLLIN, EPOLLOUT and so on. */
typedef void (*pl_reactor_fd_function) (void *data, int fd, uint32_t events);
typedef void (*pl_reactor_function) (void *data);

/* Returns a reactor that the caller frees with pl_reactor_free(). */
struct pl_reactor *pl_reactor_new (void);
void pl_reactor_free (struct pl_reactor *reactor);

/* Watches FD for the events in MASK; 0 stops watching.  A later call for the same descriptor
 * replaces the mask. */
void pl_reactor_watch (struct pl_reactor *reactor, int fd, uint32_t mask,
                       pl_reactor_fd_function function, void *data);

/* Adds a timer that calls FUNCTION; pl_reactor_arm_timer() arms it.  Returns its handle. */
int pl_reactor_add_timer (struct pl_reactor *reactor, pl_reactor_function function, void *data);

/* Sets when the timer expires, on the clock of pl_clock_now_us(); INT64_MAX disarms it. */
void pl_reactor_arm_timer (struct pl_reactor *reactor, int timer, int64_t due_us);

/* Adds a hook that is called once in each loop iteration, just before the reactor waits. */
void pl_reactor_add_wait_hook (struct pl_reactor *reactor, pl_reactor_function function,
                               void *data);

/* Makes the next wait return at once, so that another loop iteration follows without delay. */
void pl_reactor_skip_wait (struct pl_reactor *reactor);

/* Returns how long the reactor has waited for events since its start, in microseconds.  The rest of
 * the elapsed time was spent in callbacks, or waiting for the processor. */
int64_t pl_reactor_waited_us (const struct pl_reactor *reactor);

/* A time in which the loop did not wait for events, or did not get to run; all in microseconds. */
struct pl_reactor_stall
{
  int64_t late_us; /* from when a wait was to end to when it ended */
  int64_t busy_us; /* in callbacks since then */
  /* The thread's processor time in the last SAMPLED_US.  Much less than busy_us: it was blocked,
   * stopped or not scheduled. */
  int64_t cpu_us;
  int64_t sampled_us;
};
typedef void (*pl_reactor_stall_function) (void *data, const struct pl_reactor_stall *stall);

/* FUNCTION is called, before the next wait, when such a time has been longer than STALL_US. */
void pl_reactor_report_stalls (struct pl_reactor *reactor, int64_t stall_us,
                               pl_reactor_stall_function function, void *data);

/* Runs until pl_reactor_quit(). */
void pl_reactor_run (struct pl_reactor *reactor);
void pl_reactor_quit (struct pl_reactor *reactor);

#endif
