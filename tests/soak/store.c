/* The platform's store as far as entry hosts use it: table snapshots and long polls for row
 * updates. */
#include "soak.h"
#include "internal/net.h"

#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

struct row
{
  char *table;
  char *key;
  char *value; /* NULL: the row is deleted */
  int64_t version;
};

static GMutex lock;
static GCond changed;
static GHashTable *rows; /* "table/key" -> struct row */
static int64_t version;
static int64_t history_from; /* the history holds the updates after this version */
static bool failing;

void
soak_store_put (const char *table, const char *key, const char *value)
{
  char *name = g_strdup_printf ("%s/%s", table, key);
  struct row *row = g_new0 (struct row, 1);

  row->table = g_strdup (table);
  row->key = g_strdup (key);
  row->value = g_strdup (value);
  g_mutex_lock (&lock);
  row->version = ++version;
  g_hash_table_insert (rows, name, row);
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
  json_t *object = json_pack ("{s:s,s:s,s:s,s:I}", "Table", row->table, "part", "", "Key", row->key,
                              "Ver", (json_int_t) row->version);

  if (row->value != NULL)
    {
      g_autofree char *text = g_base64_encode ((guchar *) row->value, strlen (row->value));

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

      if (strcmp (row->table, table) == 0 && row->version > after
          && (!is_snapshot || row->value != NULL))
        json_array_append_new (list, encode_row (row));
    }
  return list;
}

/* Waits until TABLE has row updates after AFTER, at most WAIT_US.  Returns the HTTP status: 503
 * when the store fails, 410 when the history no longer reaches back to AFTER. */
static int
wait_for_rows (const char *table, int64_t after, int64_t wait_us, json_t **list)
{
  int64_t until_us = g_get_monotonic_time () + wait_us;

  *list = NULL;
  while (!failing && after >= history_from)
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
  body = json_pack ("{s:o?,s:b,s:I,s:s}", "Rows", list, "HasMore", 0, "Ver", (json_int_t) version,
                    "Now", "0ms");
  g_mutex_unlock (&lock);
  text = json_dumps (body, JSON_COMPACT);
  response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  result = MHD_queue_response (connection, (unsigned) status, response);
  MHD_destroy_response (response);
  json_decref (body);
  return result;
}

void
soak_store_start (void)
{
  struct sockaddr_in address;

  rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (pl_net_parse (soak_address (NET_STORE, 0, 8205), &address) < 0
      || MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
                           NULL, answer_request, NULL, MHD_OPTION_LISTEN_SOCKET,
                           pl_net_listen (&address), MHD_OPTION_END)
             == NULL)
    {
      g_printerr ("soak: the store cannot listen\n");
      exit (2);
    }
}
