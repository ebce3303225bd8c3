/* error.h - the error numbers of libpomelolatch.
 *
 * API tier: stable.
 *
 * Every function that can fail returns 0 (or a count) on success and one of
 * these negative numbers on failure.  pl_error_name() never fails.
 */
#ifndef POMELOLATCH_ERROR_H
#define POMELOLATCH_ERROR_H

enum pl_error
{
  PL_OK = 0,
  PL_ERR_INVALID = -1,     /* malformed input; the findings have the locations */
  PL_ERR_NOT_FOUND = -2,   /* no such name, handle or row */
  PL_ERR_FULL = -3,        /* a table or queue is full */
  PL_ERR_LACKING = -4,     /* a budget has too few tokens */
  PL_ERR_CONFLICT = -5,    /* a compare-and-swap failed: the value was changed */
  PL_ERR_UNAVAILABLE = -6, /* the peer or store cannot be reached */
  PL_ERR_TIMEOUT = -7,     /* no answer within the time limit; outcome unknown */
  PL_ERR_DENIED = -8,      /* authentication or permission failed */
  PL_ERR_STALE = -9,       /* older than what is already known */
  PL_ERR_EXPIRED = -10,    /* too late for the operation; nothing was done */
};

/* Returns a static, lower-case name for ERROR ("not-found"). */
const char *pl_error_name (int error);

#endif
