/* release.h - a release note: what is added, changed and withdrawn.
 *
 * API tier: stable.
 *
 * A configuration document is a JSON object kind -> name -> fields.  A release
 * is a delta over it with an id chosen by the operator.  Documents are treated
 * as immutable: applying a release gives a new one.
 */
#ifndef POMELOLATCH_RELEASE_H
#define POMELOLATCH_RELEASE_H

#include "pomelolatch/schema.h"

struct pl_release
{
  char *id;
  json_t *changes; /* array of {"action","kind","name","fields","line","column","places"} */
};

/* The kinds of a configuration, ended by a NULL name. */
extern const struct pl_kind pl_release_kinds[];

/* Reads a release note.  Returns a release that the caller frees with pl_release_free(), or NULL
 * with findings added. */
struct pl_release *pl_release_parse (const char *text, size_t length, struct pl_findings *findings);
void pl_release_free (struct pl_release *release);

/* Applies RELEASE to DOCUMENT.  Returns a new document that the caller owns, or NULL with
 * findings added: a doubled or unknown name, a reference to nothing, a withdrawal of something
 * still used.  DOCUMENT is left as it was. */
json_t *pl_release_apply (const json_t *document, const struct pl_release *release,
                          struct pl_findings *findings);

/* The wire and row form of a release, and back; the caller owns what is returned. */
json_t *pl_release_to_json (const struct pl_release *release);
struct pl_release *pl_release_from_json (const json_t *json);

#endif
