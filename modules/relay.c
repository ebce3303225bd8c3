/* Relay of rows: a host that cannot reach the store fetches the rows that it lacks from a peer.
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
/* Above what any host uses a server whose row is gone. */
#define USED_FOR_MAX_US INT64_C (5000000)

static void
append_row (void *data, enum pl_table table, const struct pl_row *row)
{
  json_t *rows = data;
  json_t *value = row->value != NULL ? json_stringn (row->value, row->length) : json_null ();

  (void) table;
  if (value == NULL)
    {
      pl_log (PL_LOG_WARNING, "row-relayed-empty", json_pack ("{s:s}", "row", row->key));
      value = json_string ("");
    }
  json_array_append_new (
      rows, row->value != NULL ? json_pack ("[s,o,I]", row->key, value, (json_int_t) row->version)
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

int
pl_relay_answer (void *data, struct MHD_Connection *connection, const char *path, GString *body,
                 const char **type)
{
  struct pl_relay *relay = data;
  json_t *tables;
  char *text;

  (void) type;
  if (strcmp (path, PL_RELAY_PATH) != 0)
    return 404;
  if (is_over_link_budget (relay))
    return BUSY_STATUS;
  tables = json_array ();
  for (int t = 0; t < PL_TABLES_MAX; t++)
    {
      char name[8];
      const char *after;
      json_t *rows = json_array ();
      bool is_snapshot;
      int64_t version;

      g_snprintf (name, sizeof name, "t%d", t);
      after = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
      version = pl_router_rows_after (relay->router, (enum pl_table) t,
                                      after != NULL ? g_ascii_strtoll (after, NULL, 10) : 0,
                                      &is_snapshot, append_row, rows);
      json_array_append_new (tables,
                             json_pack ("{s:I,s:b,s:b,s:o}", "version", (json_int_t) version,
                                        "whole", is_snapshot, "tells_use", true, "rows", rows));
    }
  text = json_dumps (tables, JSON_COMPACT);
  g_string_append (body, text);
  relay->bytes_available -= (double) body->len;
  free (text);
  json_decref (tables);
  return 200;
}

struct fetch
{
  void (*on_rows) (void *data, const struct pl_rows_event *rows);
  void (*done) (void *data, uint64_t number, enum pl_fetch_end end);
  uint64_t number;
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
      .fetch = fetch->number,
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
on_answer (void *data, enum pl_http_end end, int status, const char *text)
{
  struct fetch *fetch = data;
  json_t *tables
      = end == PL_HTTP_COMPLETE && status == 200 ? json_loads (text, JSON_ALLOW_NUL, NULL) : NULL;

  bool is_refused = end == PL_HTTP_COMPLETE && status == BUSY_STATUS;
  enum pl_fetch_end fetch_end = is_refused               ? PL_FETCH_REFUSED
                                : json_is_array (tables) ? PL_FETCH_ANSWERED
                                                         : PL_FETCH_FAILED;

  if (is_refused)
    pl_log (PL_LOG_INFO, "relay-busy", json_object ());
  else if (!json_is_array (tables))
    pl_log (PL_LOG_WARNING, "relay-failed",
            json_pack ("{s:i,s:i}", "end", (int) end, "status", status));
  for (int t = 0; t < PL_TABLES_MAX && t < (int) json_array_size (tables); t++)
    post_table_rows (fetch, (enum pl_table) t, json_array_get (tables, (size_t) t));
  fetch->done (fetch->data, fetch->number, fetch_end);
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
                               .done = on_answer,
                               .data = fetch};

  fetch->on_rows = request->on_rows;
  fetch->done = request->done;
  fetch->number = request->number;
  fetch->data = request->data;
  pl_http_client_fetch (request->client, &call);
}
