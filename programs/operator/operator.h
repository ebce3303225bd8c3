/* operator.h - parts of the operators' program.
 *
 * API tier: private.
 */
#ifndef OPERATOR_H
#define OPERATOR_H

#include "pomelolatch/findings.h"

#include <stdbool.h>

/* Exit statuses of the program, told in its help. */
enum operator_exit
{
  OPERATOR_OK = 0,
  OPERATOR_FINDINGS = 1, /* the release, layout or settings are wrong; nothing was changed */
  OPERATOR_USAGE = 2,
  OPERATOR_UNAVAILABLE = 3, /* no entry host or no store: nothing was changed */
  OPERATOR_UNKNOWN = 4,     /* the outcome is not known; the same command may be given again */
  OPERATOR_CONFLICT = 5,    /* another release has the same id */
  OPERATOR_WAITING = 6,     /* recorded, but not yet in force everywhere */
};

struct operator_settings
{
  json_t *settings;
  json_t *hosts; /* texts IP:port, borrowed from settings */
  const char *key;
};

/* Calls the operators' port of HOST.  Returns the answer's JSON, owned by the caller, or NULL
 * when there was none; *STATUS is 0 when nothing was sent, -1 when the outcome is unknown. */
json_t *operator_call (const struct operator_settings *settings, const char *host,
                       const char *method, const char *path, const char *body, size_t length,
                       long *status);

/* Prints what the logs FILES (NULL-ended) say of the request with the caller's id REQUEST. */
enum operator_exit operator_explain (const char *request, char *const *files);

/* One table of a report. */
struct layout;
/* Returns a layout, or NULL with findings added. */
struct layout *layout_read (const char *file, struct pl_findings *findings);
void layout_free (struct layout *layout);
/* Prints the table of REPORTS (an array, one for each host) to standard output. */
void layout_print (const struct layout *layout, const json_t *reports);

/* Returns name -> figures for ROWS ("accounts", "routes", ...), all hosts added up; the caller
 * owns it. */
json_t *summary_make (const json_t *reports, const char *rows);
/* Returns whether ROWS is a kind of row, and COLUMN a figure of such rows. */
bool summary_has_rows (const char *rows);
bool summary_has_figure (const char *rows, const char *figure);

#endif
