/* Monotonic clock that also counts while the machine is suspended (CLOCK_BOOTTIME), so that a
 * lease does not outlive a suspended holder. */
#include "internal/clock.h"

#include <time.h>

int64_t
pl_clock_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t) now.tv_sec * 1000000 + now.tv_nsec / 1000;
}
