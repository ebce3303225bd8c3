/* timers.h - periodic timers of the reducer.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_TIMERS_H
#define POMELOLATCH_TIMERS_H

#include <stdint.h>

#define PL_TIMERS_MAX 16

typedef void (*pl_timer_function) (void *data);

struct pl_timer
{
  pl_timer_function function;
  int64_t period_us;
  int64_t due_us;
};

struct pl_timers
{
  int count;
  struct pl_timer items[PL_TIMERS_MAX];
};

/* Adds a timer that calls FUNCTION every PERIOD_US, first one period after NOW_US.  Returns 0 or
 * PL_ERR_FULL. */
int pl_timers_add (struct pl_timers *timers, pl_timer_function function, int64_t period_us,
                   int64_t now_us);

/* Runs the timers that are due, each at most once even when it missed several periods.  DATA is
 * passed to their functions. */
void pl_timers_run (struct pl_timers *timers, int64_t now_us, void *data);

#endif
