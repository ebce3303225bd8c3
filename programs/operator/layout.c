/* Report layouts: the rows, columns, sort order, headings, units and widths of a table.
 *
 * The layout is a settings file, so that operators can keep the tables of the system that
 * they replaced.  All errors of a file are reported at once, as for other documents.
 */
#include "operator.h"

#include "pomelolatch/schema.h"

#include <stdio.h>
#include <string.h>

#define WIDTH_MAX 200
#define DECIMALS_DEFAULT 0

static const struct pl_field layout_fields[] = {
    {"title", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"rows", PL_FIELD_NAME, true, 0, 0, NULL},
    {"format", PL_FIELD_NAME, false, 0, 0, NULL},
    {"separator", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"order", PL_FIELD_NAME, false, 0, 0, NULL},
    {"columns", PL_FIELD_ANY, true, 0, 0, NULL},
    {NULL},
};

static const struct pl_field column_fields[] = {
    {"heading", PL_FIELD_TEXT, true, 0, 0, NULL},
    {"figure", PL_FIELD_NAME, true, 0, 0, NULL},
    {"unit", PL_FIELD_NAME, false, 0, 0, NULL},
    {"width", PL_FIELD_NUMBER, false, 1, WIDTH_MAX, NULL},
    {"decimals", PL_FIELD_NUMBER, false, 0, 9, NULL},
    {NULL},
};

struct unit
{
  const char *name;
  double factor; /* converts from seconds, ratios or bytes */
};

static const struct unit units[] = {
    {"none", 1}, {"s", 1}, {"ms", 1e3}, {"us", 1e6}, {"percent", 100}, {"kB", 1e-3}, {"MB", 1e-6},
};

struct layout
{
  json_t *options;
  json_t *columns; /* array of objects */
};

static const struct unit *
find_unit (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (units); i++)
    if (strcmp (units[i].name, name) == 0)
      return &units[i];
  return NULL;
}

static const char *
get_text (const json_t *object, const char *field, const char *fallback)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text != NULL ? text : fallback;
}

static void
check_column (const json_t *column, const char *rows, struct pl_location location,
              struct pl_findings *findings)
{
  const char *figure = get_text (column, "figure", "");
  const char *unit = get_text (column, "unit", "none");

  if (figure[0] != '\0' && !summary_has_figure (rows, figure))
    pl_findings_add (findings, location, "rows of '%s' have no figure '%s'", rows, figure);
  if (find_unit (unit) == NULL)
    pl_findings_add (findings, location, "unknown unit '%s'", unit);
}

static void
read_columns (struct layout *layout, yaml_document_t *document, yaml_node_t *list,
              struct pl_findings *findings)
{
  const char *rows = get_text (layout->options, "rows", "");
  json_t *locations = json_array ();
  size_t i;
  json_t *column;

  layout->columns = pl_schema_read_list (document, list, column_fields, locations, findings);
  json_array_foreach (layout->columns, i, column)
  {
    struct pl_location location = {0, 0};

    json_unpack (json_array_get (locations, i), "[i,i]", &location.line, &location.column);
    check_column (column, rows, location, findings);
  }
  if (json_array_size (layout->columns) == 0)
    pl_findings_add (findings, pl_schema_location (list),
                     "'columns' must contain at least one column");
  json_decref (locations);
}

static void
check_options (const struct layout *layout, struct pl_findings *findings)
{
  const struct pl_location start = {1, 1};
  const char *rows = get_text (layout->options, "rows", "accounts");
  const char *format = get_text (layout->options, "format", "table");
  const char *order = get_text (layout->options, "order", "name");

  if (!summary_has_rows (rows))
    pl_findings_add (findings, start, "unknown kind of rows '%s'", rows);
  else if (!summary_has_figure (rows, order))
    pl_findings_add (findings, start, "rows of '%s' have no figure '%s' to order by", rows, order);
  if (strcmp (format, "table") != 0 && strcmp (format, "csv") != 0)
    pl_findings_add (findings, start, "'format' must be table or csv, not '%s'", format);
}

struct layout *
layout_read (const char *file, struct pl_findings *findings)
{
  const struct pl_location whole_file = {0, 0};
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  yaml_document_t document;
  yaml_node_t *root;
  struct layout *layout;
  gsize length;

  if (!g_file_get_contents (file, &text, &length, &error))
    {
      pl_findings_add (findings, whole_file, "%s", error->message);
      return NULL;
    }
  if (pl_schema_parse (text, length, &document, findings) < 0)
    return NULL;
  layout = g_new0 (struct layout, 1);
  root = yaml_document_get_root_node (&document);
  layout->options = pl_schema_read_mapping (&document, root, layout_fields, false, NULL, findings);
  if (layout->options != NULL)
    {
      check_options (layout, findings);
      if (pl_schema_lookup (&document, root, "columns") != NULL)
        read_columns (layout, &document, pl_schema_lookup (&document, root, "columns"), findings);
    }
  yaml_document_delete (&document);
  if (pl_findings_count (findings) > 0)
    g_clear_pointer (&layout, layout_free);
  return layout;
}

void
layout_free (struct layout *layout)
{
  json_decref (layout->options);
  json_decref (layout->columns);
  g_free (layout);
}

static char *
format_cell (const json_t *column, const json_t *row)
{
  const json_t *value = json_object_get (row, get_text (column, "figure", ""));
  json_t *decimals = json_object_get (column, "decimals");

  if (json_is_string (value))
    return g_strdup (json_string_value (value));
  if (!json_is_number (value))
    return g_strdup ("-");
  return g_strdup_printf (
      "%.*f", decimals != NULL ? (int) json_integer_value (decimals) : DECIMALS_DEFAULT,
      json_number_value (value) * find_unit (get_text (column, "unit", "none"))->factor);
}

static void
print_cell (const struct layout *layout, size_t column_index, const char *text, bool is_text)
{
  const json_t *column = json_array_get (layout->columns, column_index);
  int width = (int) json_integer_value (json_object_get (column, "width"));
  const char *separator = get_text (layout->options, "separator", " ");

  if (strcmp (get_text (layout->options, "format", "table"), "csv") == 0)
    {
      /* Quotes a cell that contains a separator, quote or line break, and doubles its quotes. */
      g_auto (GStrv) parts = g_strsplit (text, "\"", -1);
      g_autofree char *escaped = g_strjoinv ("\"\"", parts);
      const char *quote = strpbrk (text, ",\"\n") != NULL ? "\"" : "";

      printf ("%s%s%s%s", column_index > 0 ? "," : "", quote, escaped, quote);
      return;
    }
  printf (is_text ? "%s%-*s" : "%s%*s", column_index > 0 ? separator : "", width, text);
}

static int
compare_rows (gconstpointer a, gconstpointer b, gpointer data)
{
  const json_t *x = json_object_get (*(json_t *const *) a, data);
  const json_t *y = json_object_get (*(json_t *const *) b, data);

  if (json_is_string (x) && json_is_string (y))
    return strcmp (json_string_value (x), json_string_value (y));
  return (json_number_value (x) > json_number_value (y))
         - (json_number_value (x) < json_number_value (y));
}

void
layout_print (const struct layout *layout, const json_t *reports)
{
  json_t *summary = summary_make (reports, get_text (layout->options, "rows", "accounts"));
  g_autoptr (GPtrArray) rows = g_ptr_array_new ();
  const char *title = get_text (layout->options, "title", "");
  const char *name;
  json_t *row;
  size_t column_index;
  json_t *column;

  json_object_foreach (summary, name, row) g_ptr_array_add (rows, row);
  g_ptr_array_sort_with_data (rows, compare_rows,
                              (gpointer) get_text (layout->options, "order", "name"));
  if (title[0] != '\0' && strcmp (get_text (layout->options, "format", "table"), "csv") != 0)
    printf ("%s\n", title);
  json_array_foreach (layout->columns, column_index, column)
      print_cell (layout, column_index, get_text (column, "heading", ""),
                  strcmp (get_text (column, "figure", ""), "name") == 0);
  printf ("\n");
  for (guint i = 0; i < rows->len; i++)
    {
      json_array_foreach (layout->columns, column_index, column)
      {
        g_autofree char *text = format_cell (column, g_ptr_array_index (rows, i));

        print_cell (layout, column_index, text,
                    strcmp (get_text (column, "figure", ""), "name") == 0);
      }
      printf ("\n");
    }
  json_decref (summary);
}
