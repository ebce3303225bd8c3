/* The platform's store as far as entry hosts use it: table snapshots and long polls for row
 * updates. */
#include "soak.h"
#include "internal/net.h"

#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A write to the store: the operator's or a server's. */
struct write
{
  int64_t at_us;
  char *table; /* never freed, as KEY and VALUE */
  char *key;
  char *value; /* NULL: deletes the row */
};

struct row
{
  struct write write;
  int64_t version;
};

static GMutex lock;
static GCond changed;
static GHashTable *rows; /* "table/key" -> struct row */
static int64_t version;
static GArray *writes;      /* of struct write, in order; those of the current rows and before */
static GArray *lost_writes; /* of struct write: undone by the last restore, to be written again */
static int64_t era = 1;
static int64_t history_from; /* the history holds the updates after this version */
static bool failing;

static void
put_row (const struct write *write)
{
  struct row *row = g_new0 (struct row, 1);
  int config_version;

  row->write = *write;
  row->version = ++version;
  g_hash_table_insert (rows, g_strdup_printf ("%s/%s", write->table, write->key), row);
  g_array_append_val (writes, *write);
  if (write->value != NULL && sscanf (write->value, "{\"Version\":\"r%d\"", &config_version) == 1)
    soak_ledger_record_version (config_version);
}

void
soak_store_put (const char *table, const char *key, const char *value)
{
  struct write write = {soak_now_us (), g_strdup (table), g_strdup (key), g_strdup (value)};

  g_mutex_lock (&lock);
  put_row (&write);
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

void
soak_store_restore (int64_t lost_us)
{
  int64_t until_us = soak_now_us () - lost_us;
  g_autoptr (GArray) all = NULL;

  g_mutex_lock (&lock);
  all = g_steal_pointer (&writes);
  writes = g_array_new (FALSE, FALSE, sizeof (struct write));
  g_hash_table_remove_all (rows);
  version = 0;
  for (guint i = 0; i < all->len; i++)
    {
      const struct write *write = &g_array_index (all, struct write, i);

      if (write->at_us <= until_us)
        put_row (write);
      else
        g_array_append_val (lost_writes, *write);
    }
  era++;
  history_from = version;
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

static gint
compare_write_times (gconstpointer a, gconstpointer b)
{
  return (gint) (((const struct write *) a)->at_us - ((const struct write *) b)->at_us);
}

void
soak_store_rewrite (void)
{
  g_mutex_lock (&lock);
  /* What a second restore has undone may be older than what the first one has. */
  g_array_sort (lost_writes, compare_write_times);
  for (guint i = lost_writes->len; i-- > 0;)
    {
      struct write write = g_array_index (lost_writes, struct write, i);
      g_autofree char *name = g_strdup_printf ("%s/%s", write.table, write.key);
      const struct row *row = g_hash_table_lookup (rows, name);

      if (row != NULL && row->write.at_us > write.at_us)
        continue; /* its writer has written since */
      write.at_us = soak_now_us ();
      put_row (&write);
    }
  g_array_set_size (lost_writes, 0);
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

void
soak_store_set_failing (bool fail)
{
  g_mutex_lock (&lock);
  failing = fail;
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

void
soak_store_drop_history (void)
{
  g_mutex_lock (&lock);
  history_from = version;
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

static json_t *
encode_row (const struct row *row)
{
  json_t *object = json_pack ("{s:s,s:s,s:s,s:I}", "Table", row->write.table, "part", "", "Key",
                              row->write.key, "Ver", (json_int_t) row->version);

  if (row->write.value != NULL)
    {
      g_autofree char *text
          = g_base64_encode ((guchar *) row->write.value, strlen (row->write.value));

      json_object_set_new (object, "Value", json_string (text));
    }
  else
    json_object_set_new (object, "IsGone", json_true ());
  return object;
}

/* Returns the rows of TABLE with versions above AFTER; in a snapshot without the deleted ones. */
static json_t *
list_rows (const char *table, int64_t after, bool is_snapshot)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct row *row = value;

      if (strcmp (row->write.table, table) == 0 && row->version > after
          && (!is_snapshot || row->write.value != NULL))
        json_array_append_new (list, encode_row (row));
    }
  return list;
}

/* Waits until TABLE has row updates after AFTER, at most WAIT_US.  Returns the HTTP status: 503
 * when the store fails, 410 when it does not have the history after AFTER. */
static int
wait_for_rows (const char *table, int64_t after, int64_t wait_us, json_t **list)
{
  int64_t until_us = g_get_monotonic_time () + wait_us;

  *list = NULL;
  while (!failing && after >= history_from && after <= version)
    {
      json_decref (*list);
      *list = list_rows (table, after, false);
      if (json_array_size (*list) > 0 || !g_cond_wait_until (&changed, &lock, until_us))
        return 200;
    }
  return failing ? 503 : 410;
}

static const char *
get_query_argument (struct MHD_Connection *connection, const char *name)
{
  const char *text = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return text != NULL ? text : "0";
}

static enum MHD_Result
answer_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
                const char *http, const char *upload, size_t *upload_size, void **context)
{
  char era_text[24];
  json_t *list = NULL;
  json_t *body;
  char *text;
  struct MHD_Response *response;
  enum MHD_Result result;
  int status = 200;

  (void) data;
  (void) method;
  (void) http;
  (void) upload;
  (void) context;
  *upload_size = 0;
  g_mutex_lock (&lock);
  if (failing)
    status = 503;
  else if (strcmp (url, "/pomelolatch/rows-get") == 0)
    list = list_rows (get_query_argument (connection, "Table"), 0, true);
  else
    status = wait_for_rows (
        get_query_argument (connection, "Table"),
        g_ascii_strtoll (get_query_argument (connection, "after"), NULL, 10),
        g_ascii_strtoll (get_query_argument (connection, "WaitMs"), NULL, 10) * SOAK_MS, &list);
  g_snprintf (era_text, sizeof era_text, "%" G_GINT64_FORMAT, era);
  body = json_pack ("{s:o?,s:b,s:I,s:s}", "Rows", list, "HasMore", 0, "Ver", (json_int_t) version,
                    "Now", "0ms");
  g_mutex_unlock (&lock);
  text = json_dumps (body, JSON_COMPACT);
  response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Store-Era", era_text);
  result = MHD_queue_response (connection, (unsigned) status, response);
  MHD_destroy_response (response);
  json_decref (body);
  return result;
}

void
soak_store_start (void)
{
  struct sockaddr_in address;

  writes = g_array_new (FALSE, FALSE, sizeof (struct write));
  lost_writes = g_array_new (FALSE, FALSE, sizeof (struct write));
  rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (pl_net_parse (soak_address (NET_STORE, 0, 8205), &address) < 0
      || MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
                               | MHD_USE_POLL,
                           0, NULL, NULL, answer_request, NULL, MHD_OPTION_LISTEN_SOCKET,
                           pl_net_listen (&address), MHD_OPTION_END)
             == NULL)
    {
      g_printerr ("soak: the store cannot listen\n");
      exit (2);
    }
}
