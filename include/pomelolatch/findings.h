/* findings.h - problems found in a document, with their locations.
 *
 * API tier: stable.
 *
 * A checker continues after the first problem and adds one finding for each, so
 * that an operator sees all of them at once.
 */
#ifndef POMELOLATCH_FINDINGS_H
#define POMELOLATCH_FINDINGS_H

#include <glib.h>
#include <jansson.h>

struct pl_location
{
  int line;   /* from 1; 0 for the document as a whole */
  int column; /* from 1 */
};

struct pl_finding
{
  struct pl_location location;
  char *text; /* owned by the list */
};

struct pl_findings
{
  char *source;     /* file or peer that the document is from; owned */
  GPtrArray *items; /* of struct pl_finding, owned */
};

/* Returns an empty list that the caller frees with pl_findings_free(). */
struct pl_findings *pl_findings_new (const char *source);
void pl_findings_free (struct pl_findings *findings);

/* Adds one finding.  Never fails. */
void pl_findings_add (struct pl_findings *findings, struct pl_location location, const char *format,
                      ...) G_GNUC_PRINTF (3, 4);
guint pl_findings_count (const struct pl_findings *findings);

/* Returns "source:line:column: text\n" for each finding; the caller frees it with g_free(). */
char *pl_findings_format (const struct pl_findings *findings);

/* Returns a JSON array of {"line","column","text"} objects; the caller owns the reference. */
json_t *pl_findings_to_json (const struct pl_findings *findings);

/* Adds each element of ARRAY, as returned by pl_findings_to_json(), to FINDINGS. */
void pl_findings_add_json (struct pl_findings *findings, const json_t *array);

#endif
