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
  PL_ERR_INVALID = -1,     /* malformed input; findings tell where */
  PL_ERR_NOT_FOUND = -2,   /* no such name, handle or row */
  PL_ERR_FULL = -3,        /* a table or queue has no room left */
  PL_ERR_LACKING = -4,     /* a budget holds too few tokens */
  PL_ERR_CONFLICT = -5,    /* a compare-and-swap lost */
  PL_ERR_UNAVAILABLE = -6, /* the other side can not be reached */
  PL_ERR_TIMEOUT = -7,     /* no answer within the time limit; outcome unknown */
  PL_ERR_DENIED = -8,      /* authentication or permission failed */
  PL_ERR_STALE = -9,       /* older than what is already known */
  PL_ERR_EXPIRED = -10,    /* the time to act has passed; nothing was done */
};

/* Returns a static, lower-case name for ERROR ("not-found"). */
const char *pl_error_name (int error);

#endif
