/* log.h - asynchronous log: JSON lines on standard output.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_LOG_H
#define POMELOLATCH_LOG_H

#include <jansson.h>

enum pl_log_level
{
  PL_LOG_DEBUG,
  PL_LOG_INFO,
  PL_LOG_WARNING,
  PL_LOG_ERROR,
};

/* Sets the lowest LEVEL that is logged, and the NAME that each line contains. */
void pl_log_configure (enum pl_log_level level, const char *name);

/* Parses "debug", "info", "warning" or "error".  Returns a level, or PL_ERR_INVALID. */
int pl_log_parse_level (const char *text);

/* Logs one line; EVENT is a fixed word.  Takes ownership of FIELDS, which may be NULL.  Never
 * blocks on output: lines above a limit per event and second, or that do not fit in the buffer, are
 * suppressed, and the next line of the event reports how many. */
void pl_log (enum pl_log_level level, const char *event, json_t *fields);

/* Writes out all buffered lines and may block on the output; for the end of a process. */
void pl_log_flush (void);

#endif
