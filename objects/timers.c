/* Periodic timers in a small array.  A timer that is late runs once, and its next
 * period starts then: periods missed while the process was paused are skipped.
 */
#include "internal/timers.h"
#include "pomelolatch/error.h"

int
pl_timers_add (struct pl_timers *timers, pl_timer_function function, int64_t period_us,
               int64_t now_us)
{
  if (timers->count == PL_TIMERS_MAX)
    return PL_ERR_FULL;
  timers->items[timers->count++] = (struct pl_timer){function, period_us, now_us + period_us};
  return PL_OK;
}

void
pl_timers_run (struct pl_timers *timers, int64_t now_us, void *data)
{
  for (int i = 0; i < timers->count; i++)
    {
      struct pl_timer *timer = &timers->items[i];

      if (timer->due_us > now_us)
        continue;
      timer->due_us = now_us + timer->period_us;
      timer->function (data);
    }
}
