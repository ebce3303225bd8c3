/* reactor.h - one thread that waits for sockets and timers.
 *
 * API tier: private.
 *
 * Everything that is subscribed here runs on the thread that calls
 * pl_reactor_run(), so subscribers share state without locks.
 */
#ifndef POMELOLATCH_REACTOR_H
#define POMELOLATCH_REACTOR_H

#include <stdbool.h>
#include <stdint.h>

struct pl_reactor;

/* READY is a mask of EPOLLIN, EPOLLOUT and so on. */
typedef void (*pl_reactor_fd_function) (void *data, int fd, uint32_t ready);
typedef void (*pl_reactor_function) (void *data);

/* Returns a reactor that the caller ends with pl_reactor_free(). */
struct pl_reactor *pl_reactor_new (void);
void pl_reactor_free (struct pl_reactor *reactor);

/* Watches FD for MASK (0: no longer).  A later call for the same descriptor replaces the mask. */
void pl_reactor_watch (struct pl_reactor *reactor, int fd, uint32_t mask,
                       pl_reactor_fd_function function, void *data);

/* Subscribes FUNCTION to a timer; it first runs when pl_reactor_arm() sets a time.  Returns a
 * handle. */
int pl_reactor_timer (struct pl_reactor *reactor, pl_reactor_function function, void *data);

/* Sets when the timer runs next, on the clock of pl_clock_now_us(); INT64_MAX: not at all. */
void pl_reactor_arm (struct pl_reactor *reactor, int timer, int64_t due_us);

/* Calls FUNCTION once in each turn, just before the reactor waits. */
void pl_reactor_before_wait (struct pl_reactor *reactor, pl_reactor_function function, void *data);

/* Has the turn under way be followed by another without waiting. */
void pl_reactor_again (struct pl_reactor *reactor);

/* Returns how long the reactor has waited with nothing to do since its start, microseconds.  What
 * is missing to the time that passed was spent working, or waiting for the processor. */
int64_t pl_reactor_waited_us (const struct pl_reactor *reactor);

/* Runs until pl_reactor_quit(). */
void pl_reactor_run (struct pl_reactor *reactor);
void pl_reactor_quit (struct pl_reactor *reactor);

#endif
