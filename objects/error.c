/* Names of the error numbers, for log lines and answers. */
#include "pomelolatch/error.h"

#include <stddef.h>

static const char *const error_names[] = {
    [0] = "ok",
    [-PL_ERR_INVALID] = "invalid",
    [-PL_ERR_NOT_FOUND] = "not-found",
    [-PL_ERR_FULL] = "full",
    [-PL_ERR_LACKING] = "lacking",
    [-PL_ERR_CONFLICT] = "conflict",
    [-PL_ERR_UNAVAILABLE] = "unavailable",
    [-PL_ERR_TIMEOUT] = "timeout",
    [-PL_ERR_DENIED] = "denied",
    [-PL_ERR_STALE] = "stale",
    [-PL_ERR_EXPIRED] = "expired",
};

const char *
pl_error_name (int error)
{
  size_t count = sizeof error_names / sizeof error_names[0];

  if (error > 0 || (size_t) -error >= count)
    return "unknown-error";
  return error_names[-error];
}
