/* The table service: an ordered map of rows with conditional transactions, under one lock. */
#include "standin.h"

#include <string.h>

struct row
{
  int64_t version;
  json_t *value; /* NULL when deleted; the version is kept and still incremented */
};

struct table
{
  GMutex lock;
  GTree *rows; /* key -> struct row */
  uint64_t reads;
  uint64_t writes;
};

static void
row_free (gpointer data)
{
  struct row *row = data;

  json_decref (row->value);
  g_free (row);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void) data;
  return strcmp (a, b);
}

struct table *
table_new (void)
{
  struct table *table = g_new0 (struct table, 1);

  g_mutex_init (&table->lock);
  table->rows = g_tree_new_full (compare_keys, NULL, g_free, row_free);
  return table;
}

void
table_get_counts (struct table *table, uint64_t *reads, uint64_t *writes)
{
  g_mutex_lock (&table->lock);
  *reads = table->reads;
  *writes = table->writes;
  g_mutex_unlock (&table->lock);
}

static void
add_row (json_t *rows, const char *key, const struct row *row)
{
  if (row != NULL && row->value != NULL)
    json_object_set_new (
        rows, key,
        json_pack ("{s:I,s:O}", "version", (json_int_t) row->version, "value", row->value));
}

static void
read_range (struct table *table, json_t *rows, const char *from, const char *to, int limit)
{
  GTreeNode *node = g_tree_lower_bound (table->rows, from);

  for (int i = 0; node != NULL && i < limit; i++, node = g_tree_node_next (node))
    {
      if (strcmp (g_tree_node_key (node), to) >= 0)
        break;
      add_row (rows, g_tree_node_key (node), g_tree_node_value (node));
    }
}

json_t *
table_read (struct table *table, const json_t *body, unsigned *status)
{
  json_t *rows = json_object ();
  size_t i;
  json_t *item;

  g_mutex_lock (&table->lock);
  table->reads++;
  json_array_foreach (json_object_get (body, "keys"), i, item) add_row (
      rows, json_string_value (item), g_tree_lookup (table->rows, json_string_value (item)));
  json_array_foreach (json_object_get (body, "prefixes"), i, item)
  {
    g_autofree char *end = g_strconcat (json_string_value (item), "~", NULL);

    read_range (table, rows, json_string_value (item), end, G_MAXINT);
  }
  json_array_foreach (json_object_get (body, "ranges"), i, item)
      read_range (table, rows, json_string_value (json_object_get (item, "from")),
                  json_string_value (json_object_get (item, "to")),
                  (int) json_integer_value (json_object_get (item, "limit")));
  g_mutex_unlock (&table->lock);
  *status = MHD_HTTP_OK;
  return json_pack ("{s:o}", "rows", rows);
}

/* Returns whether the conditions of OP hold for ROW, which is NULL when it never existed. */
static bool
op_conditions_hold (const struct row *row, const json_t *op)
{
  int64_t version = row != NULL && row->value != NULL ? row->version : 0;
  json_t *if_version = json_object_get (op, "if_version");
  json_t *if_value = json_object_get (op, "if_value");

  if (if_version != NULL && json_integer_value (if_version) >= 0
      && json_integer_value (if_version) != version)
    return false;
  return if_value == NULL || (row != NULL && json_equal (row->value, if_value));
}

static void
apply_op (struct table *table, struct row *row, const json_t *op)
{
  if (row == NULL)
    {
      row = g_new0 (struct row, 1);
      g_tree_insert (table->rows, g_strdup (json_string_value (json_object_get (op, "key"))), row);
    }
  row->version++;
  json_decref (row->value);
  row->value = json_incref (json_object_get (op, "value"));
}

json_t *
table_transact (struct table *table, const json_t *body, unsigned *status)
{
  bool each = json_is_true (json_object_get (body, "each"));
  json_t *ops = json_object_get (body, "ops");
  json_t *results = json_array ();
  bool all_hold = true;
  size_t i;
  json_t *op;

  g_mutex_lock (&table->lock);
  table->writes++;
  json_array_foreach (ops, i, op)
  {
    const char *key = json_string_value (json_object_get (op, "key"));
    struct row *row = g_tree_lookup (table->rows, key);
    bool ok = op_conditions_hold (row, op);
    json_t *result = json_pack ("{s:b}", "ok", ok);

    if (!ok && row != NULL && row->value != NULL)
      json_object_set (result, "value", row->value);
    json_array_append_new (results, result);
    all_hold = all_hold && ok;
    if (each && ok)
      apply_op (table, row, op);
  }
  if (!each && all_hold)
    json_array_foreach (ops, i, op) apply_op (
        table, g_tree_lookup (table->rows, json_string_value (json_object_get (op, "key"))), op);
  g_mutex_unlock (&table->lock);
  *status = each || all_hold ? MHD_HTTP_OK : MHD_HTTP_CONFLICT;
  return json_pack ("{s:o}", "results", results);
}
