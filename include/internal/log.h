/* log.h - JSON lines on standard output.
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

/* Lines below LEVEL are not written; NAME stands in each line. */
void pl_log_set (enum pl_log_level level, const char *name);

/* Parses "debug", "info", "warning" or "error".  Returns a level, or PL_ERR_INVALID. */
int pl_log_parse_level (const char *text);

/* Writes one line; EVENT is a fixed word, FIELDS (may be NULL) is taken over.  Never blocks: lines
 * beyond a limit for each event and second, or beyond what the reader takes, are left out, and the
 * next line of the event tells how many. */
void pl_log (enum pl_log_level level, const char *event, json_t *fields);

/* Writes out what has gathered, waiting for the reader; for the end of a process. */
void pl_log_flush (void);

#endif
