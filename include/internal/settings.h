/* settings.h - reader for a program's YAML settings file.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_SETTINGS_H
#define POMELOLATCH_SETTINGS_H

#include "pomelolatch/schema.h"

/* Reads FILE and validates it by FIELDS.  Returns an object that the caller owns; on failure prints
 * all findings with file, line and column to standard error and returns NULL. */
json_t *pl_settings_read (const char *file, const struct pl_field *fields);

/* Returns the value of FIELD, or FALLBACK. */
const char *pl_settings_text (const json_t *settings, const char *field, const char *fallback);
int64_t pl_settings_number (const json_t *settings, const char *field, int64_t fallback);

/* Sets the log's level and name from the fields log_level and name.  Returns 0, or prints an error
 * that names FILE to standard error and returns PL_ERR_INVALID. */
int pl_settings_configure_log (const json_t *settings, const char *file);

#endif
