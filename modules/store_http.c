/* Client of the platform's table service, for the reducer's store requests.
 *
 * The service offers reads of several keys and ranges, and transactions of conditional
 * operations, which apply all or none, or each on its own.  Every value is JSON, and every row has
 * a version that counts its writes.  A call that failed before anything was sent had no effect;
 * after any other failure it may have had one, which is reported as PL_ERR_TIMEOUT.
 */
#include "internal/store_http.h"
#include "pomelolatch/error.h"

#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_US 1000000
#define FINISH_TRIES 3
#define RELEASES_PER_READ 64
#define HISTORY_LIMIT 1000

struct pl_store
{
  struct pl_store_options options;
};

/* A call in progress. */
struct store_call
{
  struct pl_store *store;
  struct pl_store_request request; /* text and document are copies */
  int tries_left;
  bool name_taken_over;
  uint64_t name_incarnation;
};

static void
call_free (struct store_call *call)
{
  g_free (call->request.text);
  g_free (call->request.document);
  g_free (call);
}

static int
result_of (enum pl_http_end end, int status)
{
  if (end == PL_HTTP_NOT_SENT)
    return PL_ERR_UNAVAILABLE;
  if (end != PL_HTTP_COMPLETE)
    return PL_ERR_TIMEOUT;
  if (status == 200)
    return PL_OK;
  return status == 409 ? PL_ERR_CONFLICT : status == 503 ? PL_ERR_UNAVAILABLE : PL_ERR_TIMEOUT;
}

static void
send_call (struct store_call *call, const char *path, json_t *body, pl_http_fetch_function done)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", call->store->options.address, path);
  char *text = json_dumps (body, JSON_COMPACT);
  struct pl_http_fetch fetch
      = {.method = "POST", .timeout_us = CALL_TIMEOUT_US, .done = done, .data = call};

  fetch.url = url;
  fetch.body = text;
  pl_http_client_fetch (call->store->options.client, &fetch);
  free (text);
  json_decref (body);
}

static struct pl_event
new_event (const struct store_call *call, int result)
{
  struct pl_event event = {.type = PL_EVENT_STORE};

  event.u.store.call = call->request.call;
  event.u.store.ticket = call->request.ticket;
  event.u.store.result = result;
  return event;
}

/* Reports the call's outcome as EVENT and frees CALL. */
static void
complete_call (struct store_call *call, const struct pl_event *event)
{
  call->store->options.on_event (call->store->options.data, event);
  call_free (call);
}

static json_t *
row_value (json_t *rows, const char *key)
{
  return json_object_get (json_object_get (rows, key), "value");
}

static char *
release_key (int64_t version)
{
  return g_strdup_printf ("release/%010" G_GINT64_FORMAT, version);
}

/* Fills EVENT with the releases after the request's version, in order; with the snapshot instead
 * when the request's version is 0 and the store has one. */
static void
parse_releases (const struct store_call *call, json_t *rows, struct pl_store_event *event)
{
  json_t *snapshot = row_value (rows, "snapshot");

  event->releases = json_array ();
  if (call->request.version == 0 && snapshot != NULL)
    {
      event->snapshot = json_incref (snapshot);
      return;
    }
  for (int64_t version = call->request.version + 1;; version++)
    {
      g_autofree char *key = release_key (version);
      json_t *release = row_value (rows, key);

      if (release == NULL)
        break;
      json_array_append_new (event->releases,
                             json_pack ("{s:I,s:O}", "version", (json_int_t) version, "release",
                                        json_object_get (release, "release")));
    }
}

/* Returns the lowest configuration version that is recorded by a process which holds a host's name:
 * the row slot/NAME records that process, its version, and whether it released the name. */
static int64_t
lowest_recorded_version (json_t *rows)
{
  int64_t lowest = INT64_MAX;
  const char *key;
  json_t *row;

  json_object_foreach (rows, key, row)
  {
    json_t *value = json_object_get (row, "value");

    if (strncmp (key, "slot/", 5) == 0 && !json_is_true (json_object_get (value, "released")))
      lowest = MIN (lowest, json_integer_value (json_object_get (value, "version")));
  }
  return lowest;
}

static void
head_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct store_call *call = data;
  struct pl_event event = new_event (call, result_of (end, status));
  g_autofree char *name_key = g_strdup_printf ("slot/%s", call->request.id);
  json_t *json = event.u.store.result == PL_OK ? json_loads (text, 0, NULL) : NULL;
  json_t *rows = json_object_get (json, "rows");

  if (event.u.store.result == PL_OK && rows == NULL)
    event.u.store.result = PL_ERR_UNAVAILABLE;
  if (rows != NULL)
    {
      event.u.store.version
          = json_integer_value (json_object_get (row_value (rows, "head"), "version"));
      event.u.store.name_nonce
          = (uint64_t) json_integer_value (json_object_get (row_value (rows, name_key), "nonce"));
      event.u.store.confirmed_version = lowest_recorded_version (rows);
      parse_releases (call, rows, &event.u.store);
    }
  json_decref (json);
  complete_call (call, &event);
}

static void
send_head (struct store_call *call)
{
  g_autofree char *first = release_key (call->request.version + 1);
  json_t *body = json_pack ("{s:[s],s:[s],s:[{s:s,s:s,s:i}]}", "keys", "head", "prefixes", "slot/",
                            "ranges", "from", first, "to", "release/~", "limit", RELEASES_PER_READ);

  if (call->request.version == 0)
    json_array_append_new (json_object_get (body, "keys"), json_string ("snapshot"));
  send_call (call, "/read", body, head_done);
}

static json_t *
put_op (const char *key, int64_t if_version, json_t *value)
{
  return json_pack ("{s:s,s:s,s:I,s:o}", "op", "put", "key", key, "if_version",
                    (json_int_t) if_version, "value", value);
}

static void
commit_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct store_call *call = data;
  struct pl_event event = new_event (call, result_of (end, status));

  (void) text;
  event.u.store.version = call->request.version + 1;
  complete_call (call, &event);
}

/* The head row's own version counts commits, so it equals the configuration's version. */
static void
send_commit (struct store_call *call)
{
  const struct pl_store_request *request = &call->request;
  int64_t version = request->version + 1;
  g_autofree char *key = release_key (version);
  g_autofree char *id_key = g_strdup_printf ("release-id/%s", request->id);
  json_t *ops = json_array ();

  json_array_append_new (
      ops, put_op ("head", request->version,
                   json_pack ("{s:I,s:s}", "version", (json_int_t) version, "id", request->id)));
  json_array_append_new (ops,
                         put_op (key, 0,
                                 json_pack ("{s:s,s:o,s:I}", "id", request->id, "release",
                                            json_loads (request->text, 0, NULL), "time",
                                            (json_int_t) (g_get_real_time () / G_USEC_PER_SEC))));
  json_array_append_new (ops, put_op (id_key, 0,
                                      json_pack ("{s:I,s:s}", "version", (json_int_t) version,
                                                 "digest", request->digest)));
  json_array_append_new (ops,
                         put_op ("snapshot", -1,
                                 json_pack ("{s:I,s:o}", "version", (json_int_t) version,
                                            "document", json_loads (request->document, 0, NULL))));
  send_call (call, "/transaction", json_pack ("{s:b,s:o}", "each", 0, "ops", ops), commit_done);
}

static void
find_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct store_call *call = data;
  struct pl_event event = new_event (call, result_of (end, status));
  g_autofree char *key = g_strdup_printf ("release-id/%s", call->request.id);
  json_t *json = event.u.store.result == PL_OK ? json_loads (text, 0, NULL) : NULL;
  json_t *value = row_value (json_object_get (json, "rows"), key);
  const char *digest = json_string_value (json_object_get (value, "digest"));

  if (event.u.store.result == PL_OK && value == NULL)
    event.u.store.result = PL_ERR_NOT_FOUND;
  event.u.store.version = json_integer_value (json_object_get (value, "version"));
  if (digest != NULL)
    g_strlcpy (event.u.store.digest, digest, sizeof event.u.store.digest);
  json_decref (json);
  complete_call (call, &event);
}

static void
send_find (struct store_call *call)
{
  g_autofree char *key = g_strdup_printf ("release-id/%s", call->request.id);

  send_call (call, "/read", json_pack ("{s:[s]}", "keys", key), find_done);
}

/* Parses the service's result for one claim. */
static void
parse_claim_result (const struct store_call *call, const json_t *result,
                    struct pl_claim_result *claim)
{
  json_t *value = json_object_get (result, "value");
  bool is_ours
      = (uint64_t) json_integer_value (json_object_get (value, "nonce")) == call->request.nonce
        && (uint64_t) json_integer_value (json_object_get (value, "request")) == claim->request;
  const char *state = json_string_value (json_object_get (value, "state"));

  if (json_is_true (json_object_get (result, "ok")))
    claim->state = PL_CLAIM_CREATED;
  else if (state == NULL)
    claim->state = PL_CLAIM_UNKNOWN;
  else if (strcmp (state, "done") == 0)
    {
      claim->state = PL_CLAIM_DONE;
      claim->status = (int) json_integer_value (json_object_get (value, "status"));
      claim->answer = g_strdup (json_string_value (json_object_get (value, "answer")));
    }
  else
    claim->state = is_ours ? PL_CLAIM_OURS : PL_CLAIM_TAKEN;
}

static void
claim_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct store_call *call = data;
  struct pl_event event = new_event (call, result_of (end, status));
  json_t *json = event.u.store.result == PL_OK ? json_loads (text, 0, NULL) : NULL;
  json_t *results = json_object_get (json, "results");

  event.u.store.claim_count = call->request.claim_count;
  event.u.store.claims = g_new0 (struct pl_claim_result, PL_CLAIMS_MAX);
  for (int i = 0; i < call->request.claim_count; i++)
    {
      struct pl_claim_result *claim = &event.u.store.claims[i];

      claim->request = call->request.claims[i].request;
      memcpy (claim->row, call->request.claims[i].row, sizeof claim->row);
      claim->state = PL_CLAIM_UNKNOWN;
      if (results != NULL)
        parse_claim_result (call, json_array_get (results, (size_t) i), claim);
    }
  json_decref (json);
  complete_call (call, &event);
}

static json_t *
claim_value (const struct store_call *call, int at)
{
  return json_pack ("{s:s,s:I,s:I}", "state", "claimed", "nonce", (json_int_t) call->request.nonce,
                    "request", (json_int_t) call->request.claims[at].request);
}

static void
send_claims (struct store_call *call)
{
  json_t *ops = json_array ();

  for (int i = 0; i < call->request.claim_count; i++)
    json_array_append_new (ops, put_op (call->request.claims[i].row, 0, claim_value (call, i)));
  send_call (call, "/transaction", json_pack ("{s:b,s:o}", "each", 1, "ops", ops), claim_done);
}

static void send_finish (struct store_call *call);

/* Retries a failed write a few times: it is idempotent. */
static void
finish_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct store_call *call = data;
  int result = result_of (end, status);
  struct pl_event event = new_event (call, result);

  (void) text;
  if (result < 0 && --call->tries_left > 0)
    send_finish (call);
  else
    complete_call (call, &event);
}

static void
send_finish (struct store_call *call)
{
  json_t *op;

  if (call->request.call == PL_STORE_FINISH)
    op = put_op (call->request.claims[0].row, -1, json_loads (call->request.text, 0, NULL));
  else
    op = json_pack ("{s:s,s:s,s:o}", "op", "delete", "key", call->request.claims[0].row, "if_value",
                    claim_value (call, 0));
  send_call (call, "/transaction", json_pack ("{s:b,s:[o]}", "each", 1, "ops", op), finish_done);
}

static void
name_write_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct store_call *call = data;
  struct pl_event event = new_event (call, result_of (end, status));

  (void) text;
  event.u.store.name_nonce = call->request.nonce;
  event.u.store.name_incarnation = call->name_incarnation;
  event.u.store.taken_over = call->name_taken_over;
  complete_call (call, &event);
}

/* Acquires the host's name if another process or none holds it, or releases it when requested.  If
 * this process holds the name, the incarnation stays the same. */
static void
name_read_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct store_call *call = data;
  struct pl_event event = new_event (call, result_of (end, status));
  g_autofree char *key = g_strdup_printf ("slot/%s", call->request.id);
  json_t *json = event.u.store.result == PL_OK ? json_loads (text, 0, NULL) : NULL;
  json_t *row = json_object_get (json_object_get (json, "rows"), key);
  json_t *value = json_object_get (row, "value");
  int64_t row_version = json_integer_value (json_object_get (row, "version"));
  bool is_ours
      = (uint64_t) json_integer_value (json_object_get (value, "nonce")) == call->request.nonce;
  json_t *op;

  if (json == NULL)
    {
      complete_call (call, &event);
      return;
    }
  call->name_incarnation
      = (uint64_t) json_integer_value (json_object_get (value, "incarnation")) + (is_ours ? 0 : 1);
  call->name_taken_over
      = value != NULL && !is_ours && !json_is_true (json_object_get (value, "released"));
  op = put_op (key, row_version,
               json_pack ("{s:I,s:I,s:I,s:b}", "nonce", (json_int_t) call->request.nonce,
                          "incarnation", (json_int_t) call->name_incarnation, "version",
                          (json_int_t) call->request.version, "released",
                          call->request.name_released));
  json_decref (json);
  send_call (call, "/transaction", json_pack ("{s:b,s:[o]}", "each", 0, "ops", op),
             name_write_done);
}

static void
send_name_read (struct store_call *call)
{
  g_autofree char *key = g_strdup_printf ("slot/%s", call->request.id);

  send_call (call, "/read", json_pack ("{s:[s]}", "keys", key), name_read_done);
}

typedef void (*send_function) (struct store_call *call);

static const send_function send_functions[] = {
    [PL_STORE_HEAD] = send_head,      [PL_STORE_COMMIT] = send_commit,
    [PL_STORE_FIND] = send_find,      [PL_STORE_CLAIM] = send_claims,
    [PL_STORE_FINISH] = send_finish,  [PL_STORE_ABANDON] = send_finish,
    [PL_STORE_NAME] = send_name_read,
};

void
pl_store_call (struct pl_store *store, const struct pl_store_request *request)
{
  struct store_call *call = g_new0 (struct store_call, 1);

  call->store = store;
  call->request = *request;
  call->request.text = g_strdup (request->text);
  call->request.document = g_strdup (request->document);
  call->tries_left = FINISH_TRIES;
  send_functions[request->call](call);
}

static void
leaving_list_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct pl_store *store = data;
  struct pl_event event = {.type = PL_EVENT_LEAVING_LIST};
  json_t *json = end == PL_HTTP_COMPLETE && status == 200 ? json_loads (text, 0, NULL) : NULL;
  json_t *leaving = json_object_get (json, "leaving");
  uint64_t *servers;
  size_t i;
  json_t *name;

  if (json_array_size (leaving) > 0)
    {
      servers = g_new0 (uint64_t, json_array_size (leaving));
      json_array_foreach (leaving, i, name) if (json_is_string (name))
          servers[event.u.leaving.count++]
          = pl_id_of ("servers", json_string_value (name));
      event.u.leaving.servers = servers;
      store->options.on_event (store->options.data, &event);
    }
  json_decref (json);
}

void
pl_store_fetch_leaving_list (struct pl_store *store)
{
  g_autofree char *url = g_strdup_printf ("http://%s/hosts", store->options.address);
  struct pl_http_fetch fetch = {.method = "GET",
                                .url = url,
                                .timeout_us = CALL_TIMEOUT_US,
                                .done = leaving_list_done,
                                .data = store};

  pl_http_client_fetch (store->options.client, &fetch);
}

struct history
{
  GMutex lock;
  GCond done;
  bool ended;
  json_t *list;
};

static void
history_done (void *data, enum pl_http_end end, int status, const char *text)
{
  struct history *history = data;
  json_t *json = end == PL_HTTP_COMPLETE && status == 200 ? json_loads (text, 0, NULL) : NULL;
  json_t *rows = json_object_get (json, "rows");
  const char *key;
  json_t *row;

  g_mutex_lock (&history->lock);
  if (rows != NULL)
    history->list = json_array ();
  json_object_foreach (rows, key, row)
  {
    json_t *value = json_object_get (row, "value");

    json_array_append_new (
        history->list,
        json_pack ("{s:i,s:O,s:O,s:O}", "version", atoi (key + strlen ("release/")), "id",
                   json_object_get (value, "id"), "time", json_object_get (value, "time"),
                   "changes", json_object_get (json_object_get (value, "release"), "changes")));
  }
  history->ended = true;
  g_cond_signal (&history->done);
  g_mutex_unlock (&history->lock);
  json_decref (json);
}

json_t *
pl_store_read_history (struct pl_store *store, int64_t from_version)
{
  g_autofree char *url = g_strdup_printf ("http://%s/read", store->options.address);
  g_autofree char *from = release_key (from_version);
  g_autofree char *body = g_strdup_printf (
      "{\"ranges\":[{\"from\":\"%s\",\"to\":\"release/~\",\"limit\":%d}]}", from, HISTORY_LIMIT);
  struct history history = {0};
  struct pl_http_fetch fetch = {.method = "POST",
                                .url = url,
                                .body = body,
                                .timeout_us = CALL_TIMEOUT_US,
                                .done = history_done,
                                .data = &history};

  g_mutex_init (&history.lock);
  g_cond_init (&history.done);
  pl_http_client_fetch (store->options.client, &fetch);
  g_mutex_lock (&history.lock);
  while (!history.ended)
    g_cond_wait (&history.done, &history.lock);
  g_mutex_unlock (&history.lock);
  g_mutex_clear (&history.lock);
  g_cond_clear (&history.done);
  return history.list;
}

struct pl_store *
pl_store_new (const struct pl_store_options *options)
{
  struct pl_store *store = g_new0 (struct pl_store, 1);

  store->options = *options;
  store->options.address = g_strdup (options->address);
  return store;
}

void
pl_store_free (struct pl_store *store)
{
  if (store == NULL)
    return;
  g_free ((char *) store->options.address);
  g_free (store);
}
