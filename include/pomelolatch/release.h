/* release.h - releases: sets of changes to the configuration.
 *
 * API tier: stable.
 *
 * A configuration document is a JSON object kind -> name -> fields.  A release
 * is a delta to it, with an id chosen by the operator: entries that are added,
 * changed and withdrawn.  Documents are immutable: applying a release returns a
 * new one.
 */
#ifndef POMELOLATCH_RELEASE_H
#define POMELOLATCH_RELEASE_H

#include "pomelolatch/schema.h"

struct pl_release
{
  char *id;
  /* Array of {"action","kind","name","fields","line","column","places"}; "places" maps the names of
   * fields to [line, column]. */
  json_t *changes;
};

/* The kinds of configuration entries; a NULL name ends the array. */
extern const struct pl_kind pl_release_kinds[];

/* Parses a release in YAML.  Returns a release that the caller frees with pl_release_free(), or
 * NULL with findings added. */
struct pl_release *pl_release_parse (const char *text, size_t length, struct pl_findings *findings);
void pl_release_free (struct pl_release *release);

/* Applies RELEASE to DOCUMENT, which is not modified.  Returns a new document that the caller owns,
 * or NULL with findings added: an added name that exists already, an unknown name, a dangling
 * reference, a withdrawn entry that is still referenced. */
json_t *pl_release_apply (const json_t *document, const struct pl_release *release,
                          struct pl_findings *findings);

/* Converts a release to and from JSON, as sent between entry hosts and stored in rows.  The caller
 * owns what is returned. */
json_t *pl_release_to_json (const struct pl_release *release);
struct pl_release *pl_release_from_json (const json_t *json);

#endif
