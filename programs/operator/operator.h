/* operator.h - parts of the command-line program for operators.
 *
 * API tier: private.
 */
#ifndef OPERATOR_H
#define OPERATOR_H

#include "pomelolatch/findings.h"

#include <stdbool.h>

/* Exit statuses of the program, as documented in its help. */
enum operator_exit
{
  OPERATOR_OK = 0,
  OPERATOR_FINDINGS = 1, /* the release, layout or settings are wrong; nothing was changed */
  OPERATOR_USAGE = 2,
  OPERATOR_UNAVAILABLE = 3, /* no entry host or no store: nothing was changed */
  OPERATOR_UNKNOWN = 4,     /* the outcome is unknown; the command may be repeated */
  OPERATOR_CONFLICT = 5,    /* another release has the same id */
  OPERATOR_WAITING = 6,     /* recorded, but not yet in force everywhere */
};

struct operator_settings
{
  json_t *settings;
  json_t *hosts; /* array of strings IP:port, borrowed from settings */
  const char *key;
};

/* Calls the operators' port of HOST.  Returns the JSON of the answer, owned by the caller, or NULL
 * without one.  Sets *STATUS to the HTTP status, to 0 when nothing was sent, or to -1 when the
 * outcome is unknown. */
json_t *operator_call (const struct operator_settings *settings, const char *host,
                       const char *method, const char *path, const char *body, size_t length,
                       long *status);

/* Prints what the log files FILES (NULL-terminated) contain about the request with the id REQUEST,
 * and the state changes around it. */
enum operator_exit operator_explain (const char *request, char *const *files);

/* The layout of a report's table. */
struct layout;
/* Returns a layout, or NULL after adding findings. */
struct layout *layout_read (const char *file, struct pl_findings *findings);
void layout_free (struct layout *layout);
/* Prints the table for REPORTS, an array with one report per host, to standard output. */
void layout_print (const struct layout *layout, const json_t *reports);

/* Returns an object name -> figures for ROWS ("accounts", "routes", ...), aggregated over all
 * hosts; the caller owns it. */
json_t *summary_make (const json_t *reports, const char *rows);
/* Returns whether ROWS is a kind of row. */
bool summary_has_rows (const char *rows);
/* Returns whether FIGURE is a figure of ROWS. */
bool summary_has_figure (const char *rows, const char *figure);

#endif
