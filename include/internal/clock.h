/* clock.h - this host's monotonic clock.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_CLOCK_H
#define POMELOLATCH_CLOCK_H

#include <stdint.h>

/* Returns microseconds since some fixed point. */
int64_t pl_clock_now_us (void);

#endif
