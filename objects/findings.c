/* Findings: an append-only list of (location, text).
 *
 * Invariant: items are in the order in which they were added, which for the YAML
 * reader is the order of the document.
 */
#include "pomelolatch/findings.h"

static void
finding_free (gpointer data)
{
  struct pl_finding *finding = data;

  g_free (finding->text);
  g_free (finding);
}

struct pl_findings *
pl_findings_new (const char *source)
{
  struct pl_findings *findings = g_new0 (struct pl_findings, 1);

  findings->source = g_strdup (source);
  findings->items = g_ptr_array_new_with_free_func (finding_free);
  return findings;
}

void
pl_findings_free (struct pl_findings *findings)
{
  if (findings == NULL)
    return;
  g_ptr_array_free (findings->items, TRUE);
  g_free (findings->source);
  g_free (findings);
}

void
pl_findings_add (struct pl_findings *findings, struct pl_location location, const char *format, ...)
{
  struct pl_finding *finding = g_new0 (struct pl_finding, 1);
  va_list args;

  finding->location = location;
  va_start (args, format);
  finding->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (findings->items, finding);
}

guint
pl_findings_count (const struct pl_findings *findings)
{
  return findings->items->len;
}

char *
pl_findings_format (const struct pl_findings *findings)
{
  GString *out = g_string_new (NULL);

  for (guint i = 0; i < findings->items->len; i++)
    {
      const struct pl_finding *finding = g_ptr_array_index (findings->items, i);

      g_string_append_printf (out, "%s:%d:%d: %s\n", findings->source, finding->location.line,
                              finding->location.column, finding->text);
    }
  return g_string_free (out, FALSE);
}

json_t *
pl_findings_to_json (const struct pl_findings *findings)
{
  json_t *array = json_array ();

  for (guint i = 0; i < findings->items->len; i++)
    {
      const struct pl_finding *finding = g_ptr_array_index (findings->items, i);

      json_array_append_new (array,
                             json_pack ("{s:i,s:i,s:s}", "line", finding->location.line, "column",
                                        finding->location.column, "text", finding->text));
    }
  return array;
}

void
pl_findings_add_json (struct pl_findings *findings, const json_t *array)
{
  size_t i;
  json_t *item;

  json_array_foreach (array, i, item)
  {
    struct pl_location location = {0, 0};
    const char *text = "?";

    json_unpack (item, "{s:i,s:i,s:s}", "line", &location.line, "column", &location.column, "text",
                 &text);
    pl_findings_add (findings, location, "%s", text);
  }
}
