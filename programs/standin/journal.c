/* The journal that history checks read: the account, server and time of each run, and the number
 * of runs of each operation. */
#include "standin.h"

#include "internal/clock.h"

struct run
{
  int64_t time_us;
  const char *account; /* interned, as is the server */
  const char *server;
};

static GMutex journal_lock;
static GHashTable *operations; /* "account/idempotency key" -> number of runs */
static GArray *runs;
static int keys_seen;
static int cancelled;

void
journal_record_run (const char *account, const char *operation, const char *server)
{
  struct run run = {pl_clock_now_us (), g_intern_string (account), g_intern_string (server)};

  g_mutex_lock (&journal_lock);
  if (runs == NULL)
    {
      runs = g_array_new (FALSE, FALSE, sizeof (struct run));
      operations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  g_array_append_val (runs, run);
  if (operation != NULL)
    {
      char *name = g_strdup_printf ("%s/%s", account, operation);
      int run_count = GPOINTER_TO_INT (g_hash_table_lookup (operations, name));

      g_hash_table_replace (operations, name, GINT_TO_POINTER (run_count + 1));
    }
  g_mutex_unlock (&journal_lock);
}

void
journal_record_key (void)
{
  g_mutex_lock (&journal_lock);
  keys_seen++;
  g_mutex_unlock (&journal_lock);
}

void
journal_record_cancelled (void)
{
  g_mutex_lock (&journal_lock);
  cancelled++;
  g_mutex_unlock (&journal_lock);
}

json_t *
journal_report (void)
{
  json_t *operation_runs = json_object ();
  json_t *run_list = json_array ();
  GHashTableIter iter;
  gpointer name;
  gpointer count;

  g_mutex_lock (&journal_lock);
  if (runs != NULL)
    {
      g_hash_table_iter_init (&iter, operations);
      while (g_hash_table_iter_next (&iter, &name, &count))
        json_object_set_new (operation_runs, name, json_integer (GPOINTER_TO_INT (count)));
      for (guint i = 0; i < runs->len; i++)
        {
          const struct run *run = &g_array_index (runs, struct run, i);

          json_array_append_new (run_list, json_pack ("[I,s,s]", (json_int_t) run->time_us,
                                                      run->account, run->server));
        }
    }
  g_mutex_unlock (&journal_lock);
  return json_pack ("{s:o,s:o,s:i,s:i}", "operations", operation_runs, "runs", run_list,
                    "keys_seen", keys_seen, "cancelled", cancelled);
}
