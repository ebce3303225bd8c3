/* settings.h - what a program reads from its YAML settings file.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_SETTINGS_H
#define POMELOLATCH_SETTINGS_H

#include "pomelolatch/schema.h"

/* Reads FILE by FIELDS.  Returns an object that the caller owns; on failure prints all findings
 * with file, line and column to standard error and returns NULL. */
json_t *pl_settings_read (const char *file, const struct pl_field *fields);

/* Returns the text of FIELD, or FALLBACK. */
const char *pl_settings_text (const json_t *settings, const char *field, const char *fallback);
int64_t pl_settings_number (const json_t *settings, const char *field, int64_t fallback);

/* Sets the log's level and name by the fields log_level and name.  Returns 0, or PL_ERR_INVALID
 * after a line on standard error that names FILE. */
int pl_settings_set_log (const json_t *settings, const char *file);

#endif
