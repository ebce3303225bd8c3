/* Shifts the wall clock of an entry host under the soak.
 *
 * Preloaded into the process.  SOAK_CLOCK is "OFFSET,JUMP_AFTER,JUMP" in milliseconds:
 * the offset from the start, the time until the clock jumps, and the size of the jump.
 * Monotonic clocks are not changed.
 */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_MS INT64_C (1000000)
#define NS_PER_SECOND INT64_C (1000000000)

static long offset_ms;
static long jump_after_ms;
static long jump_ms;
static int64_t started_ns;

static int64_t
read_clock (clockid_t clock)
{
  struct timespec now;

  syscall (SYS_clock_gettime, clock, &now);
  return now.tv_sec * NS_PER_SECOND + now.tv_nsec;
}

static int64_t
shifted_realtime_ns (void)
{
  long offset = offset_ms;

  if (read_clock (CLOCK_MONOTONIC) - started_ns > jump_after_ms * NS_PER_MS)
    offset += jump_ms;
  return read_clock (CLOCK_REALTIME) + offset * NS_PER_MS;
}

static void __attribute__ ((constructor)) read_settings (void)
{
  const char *text = getenv ("SOAK_CLOCK");

  started_ns = read_clock (CLOCK_MONOTONIC);
  if (text != NULL && sscanf (text, "%ld,%ld,%ld", &offset_ms, &jump_after_ms, &jump_ms) != 3)
    abort ();
}

int
clock_gettime (clockid_t clock_id, struct timespec *tp)
{
  int64_t ns;

  if (clock_id != CLOCK_REALTIME && clock_id != CLOCK_REALTIME_COARSE)
    return (int) syscall (SYS_clock_gettime, clock_id, tp);
  ns = shifted_realtime_ns ();
  tp->tv_sec = ns / NS_PER_SECOND;
  tp->tv_nsec = ns % NS_PER_SECOND;
  return 0;
}

int
gettimeofday (struct timeval *restrict tv, void *restrict tz)
{
  int64_t ns = shifted_realtime_ns ();

  (void) tz;
  tv->tv_sec = ns / NS_PER_SECOND;
  tv->tv_usec = ns % NS_PER_SECOND / 1000;
  return 0;
}

time_t
time (time_t *timer)
{
  time_t seconds = shifted_realtime_ns () / NS_PER_SECOND;

  if (timer != NULL)
    *timer = seconds;
  return seconds;
}
