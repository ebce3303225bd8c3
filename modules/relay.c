/* Relay of rows: a host that cannot reach the store fetches the rows that it lacks from a peer.
 *
 * An answer holds whole values, and a configuration may have a megabyte, which its host sends to
 * several peers.  So peers that accept gzip get it; those of earlier versions do not ask for it.
 *
 * Values are JSON texts of the platform and are sent as JSON strings.  A value that is not valid
 * UTF-8 cannot be parsed by any host; it is replaced by an empty one, which says as little.
 */
#include "internal/relay.h"
#include "internal/clock.h"
#include "internal/log.h"

#include <stdlib.h>
#include <string.h>

/* Enough for all rows of a large fleet over the slowest link. */
#define FETCH_TIMEOUT_US INT64_C (3000000)
#define BUSY_STATUS 503
#define GZIP "gzip"
/* How often the arrival of bytes is told: a small part of the time after which a source counts as
 * silent. */
#define PROGRESS_INTERVAL_US INT64_C (50000)
/* Above what any host uses a server whose row is gone. */
#define USED_FOR_MAX_US INT64_C (5000000)

/* The rows of a table for a peer. */
struct row_list
{
  json_t *rows;
  bool tells_use; /* of the server of a deleted row, for some more time */
};

static void
append_row (void *data, enum pl_table table, const struct pl_row *row)
{
  struct row_list *list = data;
  json_t *value = row->value != NULL ? json_stringn (row->value, row->length) : json_null ();

  (void) table;
  if (value == NULL)
    {
      pl_log (PL_LOG_WARNING, "row-relayed-empty", json_pack ("{s:s}", "row", row->key));
      value = json_string ("");
    }
  list->tells_use = list->tells_use || row->used_for_us > 0;
  json_array_append_new (list->rows,
                         row->value != NULL
                             ? json_pack ("[s,o,I]", row->key, value, (json_int_t) row->version)
                             : json_pack ("[s,o,I,I]", row->key, value, (json_int_t) row->version,
                                          (json_int_t) row->used_for_us));
}

/* Refills the byte budget and returns whether it is overdrawn.  When many peers request rows at
 * once, those that got an answer can serve the rows to the others. */
static bool
is_over_link_budget (struct pl_relay *relay)
{
  int64_t now_us = pl_clock_now_us ();
  double refill = relay->bytes_per_second * (double) (now_us - relay->refilled_us) / 1e6;

  relay->bytes_available = MIN (relay->bytes_available + refill, relay->bytes_per_second);
  relay->refilled_us = now_us;
  return relay->bytes_available < 0;
}

/* Returns TABLE's part of an answer, which is a JSON list of tables, with the rows newer than
 * AFTER. *TELLS_USE: they tell how long servers are still used, from now on. */
static GString *
write_rows (const struct pl_relay *relay, enum pl_table table, int64_t after, bool *tells_use)
{
  struct row_list list = {.rows = json_array ()};
  GString *part = g_string_new (table == 0 ? "[" : ",");
  bool is_snapshot;
  int64_t version
      = pl_router_rows_after (relay->router, table, after, &is_snapshot, append_row, &list);
  json_t *object = json_pack ("{s:I,s:b,s:b,s:o}", "version", (json_int_t) version, "whole",
                              is_snapshot, "tells_use", true, "rows", list.rows);
  char *text = json_dumps (object, JSON_COMPACT);

  *tells_use = list.tells_use;
  g_string_append (part, text);
  if (table == PL_TABLES_MAX - 1)
    g_string_append (part, "]");
  free (text);
  json_decref (object);
  return part;
}

/* Returns the same part in gzip.  Belongs to RELAY. */
static const struct pl_gzip_part *
compress_rows (struct pl_relay *relay, enum pl_table table, int64_t after)
{
  struct pl_relay_rows *kept = &relay->compressed[table];
  uint64_t revision = pl_router_rows_revision (relay->router, table);
  g_autoptr (GString) text = NULL;
  bool tells_use;

  if (kept->part.bytes != NULL && kept->revision == revision && kept->after == after)
    return &kept->part;
  text = write_rows (relay, table, after, &tells_use);
  pl_gzip_part_clear (&kept->part);
  kept->part = pl_gzip_compress (text->str, text->len);
  /* A time that is left must not be told again later. */
  kept->revision = tells_use ? revision - 1 : revision;
  kept->after = after;
  relay->compressions++;
  return &kept->part;
}

static int64_t
requested_after (struct MHD_Connection *connection, enum pl_table table)
{
  char name[8];
  const char *after;

  g_snprintf (name, sizeof name, "t%d", (int) table);
  after = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
  return after != NULL ? g_ascii_strtoll (after, NULL, 10) : 0;
}

static bool
accepts_gzip (struct MHD_Connection *connection)
{
  const char *accepted
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Accept-Encoding");
  g_auto (GStrv) encodings = g_strsplit (accepted != NULL ? accepted : "", ",", -1);

  for (int i = 0; encodings[i] != NULL; i++)
    if (g_ascii_strcasecmp (g_strstrip (encodings[i]), GZIP) == 0)
      return true;
  return false;
}

static void
append_plain (const struct pl_relay *relay, struct MHD_Connection *connection, GString *body)
{
  for (int t = 0; t < PL_TABLES_MAX; t++)
    {
      enum pl_table table = (enum pl_table) t;
      bool tells_use;
      g_autoptr (GString) part
          = write_rows (relay, table, requested_after (connection, table), &tells_use);

      g_string_append_len (body, part->str, (gssize) part->len);
    }
}

static void
append_compressed (struct pl_relay *relay, struct MHD_Connection *connection, GString *body)
{
  struct pl_gzip_part parts[PL_TABLES_MAX];

  for (int t = 0; t < PL_TABLES_MAX; t++)
    {
      enum pl_table table = (enum pl_table) t;

      parts[t] = *compress_rows (relay, table, requested_after (connection, table));
    }
  pl_gzip_append (body, parts, PL_TABLES_MAX);
}

void
pl_relay_clear (struct pl_relay *relay)
{
  for (int t = 0; t < PL_TABLES_MAX; t++)
    pl_gzip_part_clear (&relay->compressed[t].part);
}

int
pl_relay_answer (void *data, struct MHD_Connection *connection, const char *path,
                 struct pl_small_port_answer *answer)
{
  struct pl_relay *relay = data;

  if (strcmp (path, PL_RELAY_PATH) != 0)
    return 404;
  if (is_over_link_budget (relay))
    return BUSY_STATUS;
  if (accepts_gzip (connection))
    {
      append_compressed (relay, connection, answer->body);
      answer->encoding = GZIP;
    }
  else
    append_plain (relay, connection, answer->body);
  relay->bytes_available -= (double) answer->body->len;
  return 200;
}

struct fetch
{
  void (*on_rows) (void *data, const struct pl_rows_event *rows);
  void (*on_progress) (void *data, uint64_t number);
  void (*done) (void *data, const struct pl_fetch_done_event *done);
  int64_t progress_us;              /* when progress was last told */
  struct pl_fetch_done_event event; /* of its end */
  void *data;
};

static void
post_table_rows (const struct fetch *fetch, enum pl_table table, const json_t *answer)
{
  const json_t *list = json_object_get (answer, "rows");
  g_autofree struct pl_row *rows = g_new0 (struct pl_row, json_array_size (list) + 1);
  struct pl_rows_event event = {
      .table = table,
      .from_peer = true,
      .is_snapshot = json_is_true (json_object_get (answer, "whole")),
      .tells_use = json_is_true (json_object_get (answer, "tells_use")),
      .version = json_integer_value (json_object_get (answer, "version")),
      .fetch = fetch->event.number,
      .rows = rows,
  };
  size_t i;
  json_t *row;

  json_array_foreach (list, i, row)
  {
    struct pl_row *next = &rows[event.count];
    const json_t *value = json_array_get (row, 1);

    next->key = json_string_value (json_array_get (row, 0));
    next->value = json_string_value (value);
    next->length = json_string_length (value);
    next->version = json_integer_value (json_array_get (row, 2));
    next->used_for_us = CLAMP (json_integer_value (json_array_get (row, 3)), 0, USED_FOR_MAX_US);
    event.count += next->key != NULL;
  }
  if (event.version > 0)
    fetch->on_rows (fetch->data, &event);
}

static void
on_bytes (void *data, int64_t wire_bytes, int64_t bytes)
{
  struct fetch *fetch = data;
  int64_t now_us = pl_clock_now_us ();

  fetch->event.wire_bytes = wire_bytes;
  fetch->event.bytes = bytes;
  if (fetch->on_progress == NULL || now_us - fetch->progress_us < PROGRESS_INTERVAL_US)
    return;
  fetch->progress_us = now_us;
  fetch->on_progress (fetch->data, fetch->event.number);
}

static void
on_answer (void *data, enum pl_http_end end, int status, const char *text)
{
  struct fetch *fetch = data;
  json_t *tables
      = end == PL_HTTP_COMPLETE && status == 200 ? json_loads (text, JSON_ALLOW_NUL, NULL) : NULL;

  bool is_refused = end == PL_HTTP_COMPLETE && status == BUSY_STATUS;

  fetch->event.end = is_refused               ? PL_FETCH_REFUSED
                     : json_is_array (tables) ? PL_FETCH_ANSWERED
                                              : PL_FETCH_FAILED;
  if (is_refused)
    pl_log (PL_LOG_INFO, "relay-busy", json_object ());
  else if (!json_is_array (tables))
    pl_log (PL_LOG_WARNING, "relay-failed",
            json_pack ("{s:i,s:i,s:I,s:I}", "end", (int) end, "status", status, "wire_bytes",
                       (json_int_t) fetch->event.wire_bytes, "bytes",
                       (json_int_t) fetch->event.bytes));
  for (int t = 0; t < PL_TABLES_MAX && t < (int) json_array_size (tables); t++)
    post_table_rows (fetch, (enum pl_table) t, json_array_get (tables, (size_t) t));
  fetch->done (fetch->data, &fetch->event);
  json_decref (tables);
  g_free (fetch);
}

void
pl_relay_fetch (const struct pl_relay_fetch *request)
{
  struct fetch *fetch = g_new0 (struct fetch, 1);
  g_autofree char *url
      = g_strdup_printf ("http://%s%s?t0=%" G_GINT64_FORMAT "&t1=%" G_GINT64_FORMAT,
                         request->address, PL_RELAY_PATH, request->held[0], request->held[1]);
  struct pl_http_fetch call = {.method = "GET",
                               .url = url,
                               .timeout_us = FETCH_TIMEOUT_US,
                               .fresh_connection = true,
                               .accept_gzip = true,
                               .on_bytes = on_bytes,
                               .done = on_answer,
                               .data = fetch};

  fetch->on_rows = request->on_rows;
  fetch->done = request->done;
  fetch->on_progress = request->on_progress;
  fetch->event.number = request->number;
  fetch->data = request->data;
  pl_http_client_fetch (request->client, &call);
}
