/* timers.h - periodic work that parts of the reducer subscribe to.
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

/* Calls FUNCTION every PERIOD_US, first one period after NOW_US.  Returns 0 or PL_ERR_FULL. */
int pl_timers_subscribe (struct pl_timers *timers, pl_timer_function function, int64_t period_us,
                         int64_t now_us);

/* Runs what is due, each at most once however late it is. */
void pl_timers_run (struct pl_timers *timers, int64_t now_us, void *data);

#endif
