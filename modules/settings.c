/* Settings files: one YAML mapping, validated by the same kind of field tables as releases. */
#include "internal/settings.h"
#include "internal/log.h"
#include "pomelolatch/error.h"

#include <stdio.h>

json_t *
pl_settings_read (const char *file, const struct pl_field *fields)
{
  struct pl_findings *findings = pl_findings_new (file);
  const struct pl_location whole_file = {0, 0};
  g_autofree char *text = NULL;
  g_autofree char *list = NULL;
  GError *error = NULL;
  json_t *settings = NULL;
  gsize length;

  if (!g_file_get_contents (file, &text, &length, &error))
    {
      pl_findings_add (findings, whole_file, "%s", error->message);
      g_error_free (error);
    }
  else
    settings = pl_schema_read_text (text, length, fields, findings);
  list = pl_findings_format (findings);
  fputs (list, stderr);
  pl_findings_free (findings);
  return settings;
}

const char *
pl_settings_text (const json_t *settings, const char *field, const char *fallback)
{
  const char *text = json_string_value (json_object_get (settings, field));

  return text != NULL ? text : fallback;
}

int64_t
pl_settings_number (const json_t *settings, const char *field, int64_t fallback)
{
  json_t *value = json_object_get (settings, field);

  return value != NULL ? json_integer_value (value) : fallback;
}

int
pl_settings_configure_log (const json_t *settings, const char *file)
{
  int level = pl_log_parse_level (pl_settings_text (settings, "log_level", "info"));

  if (level < 0)
    {
      fprintf (stderr, "%s: 'log_level' must be debug, info, warning or error\n", file);
      return PL_ERR_INVALID;
    }
  pl_log_configure ((enum pl_log_level) level, pl_settings_text (settings, "name", ""));
  return PL_OK;
}
