/* The operators' port.
 *
 * There is one thread per connection, since operators are few and may wait for the
 * store.  A release is parsed and its form checked on this thread, then posted to
 * the reducer with a ticket; the thread waits for the answer to this ticket.  All
 * calls but /health require the operators' key.
 */
#include "internal/operator_http.h"
#include "internal/keys.h"
#include "internal/metrics.h"
#include "internal/net.h"
#include "pomelolatch/error.h"
#include "pomelolatch/release.h"

#include <microhttpd.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define RELEASE_BYTES_MAX ((size_t) 16 << 20)
#define RELEASE_WAIT_US (10 * G_TIME_SPAN_SECOND)

struct pl_operators
{
  struct pl_operators_options options;
  struct MHD_Daemon *daemon;
  GMutex lock;
  GCond answered;
  GHashTable *answers; /* ticket -> JSON, or NULL while the answer is pending */
  uint64_t next_ticket;
};

struct upload
{
  GString *text;
  bool too_large;
};

static enum MHD_Result
send_text (struct MHD_Connection *connection, unsigned status, const char *type, const char *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), (void *) text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", type);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
send_json (struct MHD_Connection *connection, unsigned status, json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (1));
  enum MHD_Result result = send_text (connection, status, "application/json", text);

  free (text);
  json_decref (json);
  return result;
}

static bool
is_authorized (const struct pl_operators *operators, struct MHD_Connection *connection)
{
  const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Authorization");
  uint8_t hash[PL_KEY_HASH_BYTES];

  if (value == NULL || strncmp (value, "Bearer ", 7) != 0)
    return false;
  pl_key_hash (value + 7, strlen (value + 7), hash);
  return sodium_memcmp (hash, operators->options.key_hash, sizeof hash) == 0;
}

void
pl_operators_complete_release (struct pl_operators *operators, const struct pl_effect *effect)
{
  uint64_t ticket = effect->u.released.ticket;
  json_t *answer
      = json_pack ("{s:s,s:i,s:I}", "result", pl_error_name (effect->u.released.result), "code",
                   effect->u.released.result, "version", (json_int_t) effect->u.released.version);

  if (effect->u.released.findings != NULL)
    json_object_set (answer, "findings", effect->u.released.findings);
  g_mutex_lock (&operators->lock);
  if (g_hash_table_contains (operators->answers, &ticket))
    {
      g_hash_table_replace (operators->answers, g_memdup2 (&ticket, sizeof ticket), answer);
      g_cond_broadcast (&operators->answered);
    }
  else
    json_decref (answer);
  g_mutex_unlock (&operators->lock);
}

/* Posts RELEASE to the reducer, which takes it over, and waits for the outcome.  Returns the
 * answer, owned by the caller. */
static json_t *
submit_release (struct pl_operators *operators, struct pl_release *release, bool check_only)
{
  struct pl_event event = {.type = PL_EVENT_RELEASE};
  gint64 deadline_us = g_get_monotonic_time () + RELEASE_WAIT_US;
  json_t *answer = NULL;
  uint64_t ticket;

  g_mutex_lock (&operators->lock);
  ticket = ++operators->next_ticket;
  g_hash_table_insert (operators->answers, g_memdup2 (&ticket, sizeof ticket), NULL);
  event.u.release.ticket = ticket;
  event.u.release.release = release;
  event.u.release.check_only = check_only;
  operators->options.post (operators->options.data, &event);
  while ((answer = g_hash_table_lookup (operators->answers, &ticket)) == NULL)
    if (!g_cond_wait_until (&operators->answered, &operators->lock, deadline_us))
      break;
  if (answer != NULL)
    json_incref (answer);
  g_hash_table_remove (operators->answers, &ticket);
  g_mutex_unlock (&operators->lock);
  if (answer == NULL)
    answer = json_pack ("{s:s,s:i,s:i}", "result", pl_error_name (PL_ERR_TIMEOUT), "code",
                        PL_ERR_TIMEOUT, "version", 0);
  return answer;
}

static unsigned
http_status (int code)
{
  switch (code)
    {
    case PL_OK:
      return MHD_HTTP_OK;
    case PL_ERR_INVALID:
      return MHD_HTTP_UNPROCESSABLE_CONTENT;
    case PL_ERR_CONFLICT:
      return MHD_HTTP_CONFLICT;
    case PL_ERR_TIMEOUT:
      return MHD_HTTP_GATEWAY_TIMEOUT;
    default:
      return MHD_HTTP_SERVICE_UNAVAILABLE;
    }
}

static enum MHD_Result
handle_release (struct pl_operators *operators, struct MHD_Connection *connection,
                const struct upload *upload)
{
  const char *check = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "check");
  struct pl_findings *findings;
  struct pl_release *release;
  json_t *answer;

  if (upload->too_large)
    return send_json (connection, MHD_HTTP_CONTENT_TOO_LARGE,
                      json_pack ("{s:s,s:i}", "result", "too-large", "code", PL_ERR_FULL));
  findings = pl_findings_new ("release");
  release = pl_release_parse (upload->text->str, upload->text->len, findings);
  if (release != NULL)
    answer = submit_release (operators, release, check != NULL);
  else
    answer = json_pack ("{s:s,s:i,s:i,s:o}", "result", pl_error_name (PL_ERR_INVALID), "code",
                        PL_ERR_INVALID, "version", 0, "findings", pl_findings_to_json (findings));
  pl_findings_free (findings);
  return send_json (connection,
                    http_status ((int) json_integer_value (json_object_get (answer, "code"))),
                    answer);
}

static enum MHD_Result
handle_partition (struct pl_operators *operators, struct MHD_Connection *connection)
{
  const char *peer = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "peer");
  const char *on = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "on");

  if (peer == NULL || on == NULL)
    return send_text (connection, MHD_HTTP_BAD_REQUEST, "text/plain", "peer and on\n");
  operators->options.set_partitioned (operators->options.data, peer, strcmp (on, "1") == 0);
  return send_text (connection, MHD_HTTP_OK, "text/plain", "done\n");
}

static enum MHD_Result
handle_get (struct pl_operators *operators, struct MHD_Connection *connection, const char *url)
{
  g_autofree char *text = NULL;
  json_t *json;
  enum MHD_Result result;

  if (strcmp (url, "/report") == 0)
    return send_json (connection, MHD_HTTP_OK, operators->options.report (operators->options.data));
  if (strcmp (url, "/metrics") == 0)
    {
      json = operators->options.report (operators->options.data);
      text = pl_metrics_format (json);
      json_decref (json);
      result = send_text (connection, MHD_HTTP_OK, "text/plain; version=0.0.4", text);
      return result;
    }
  if (strcmp (url, "/history") == 0)
    {
      json = operators->options.history (operators->options.data);
      if (json == NULL)
        return send_text (connection, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
                          "the store can not be read now\n");
      return send_json (connection, MHD_HTTP_OK, json);
    }
  return send_text (connection, MHD_HTTP_NOT_FOUND, "text/plain", "no such page\n");
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload_data, size_t *upload_size, void **context)
{
  struct pl_operators *operators = data;
  struct upload *upload = *context;

  (void) version;
  if (upload == NULL)
    {
      upload = g_new0 (struct upload, 1);
      upload->text = g_string_new (NULL);
      *context = upload;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      upload->too_large = upload->too_large || upload->text->len + *upload_size > RELEASE_BYTES_MAX;
      if (!upload->too_large)
        g_string_append_len (upload->text, upload_data, (gssize) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/health") == 0)
    return send_text (connection, MHD_HTTP_OK, "text/plain", "up\n");
  if (!is_authorized (operators, connection))
    return send_text (connection, MHD_HTTP_UNAUTHORIZED, "text/plain", "operators only\n");
  if (strcmp (method, "POST") == 0 && strcmp (url, "/release") == 0)
    return handle_release (operators, connection, upload);
  if (strcmp (method, "POST") == 0 && strcmp (url, "/cut") == 0 && operators->options.allow_faults)
    return handle_partition (operators, connection);
  if (strcmp (method, "GET") == 0)
    return handle_get (operators, connection, url);
  return send_text (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "text/plain", "no such call\n");
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct upload *upload = *context;

  (void) data;
  (void) connection;
  (void) code;
  if (upload == NULL)
    return;
  g_string_free (upload->text, TRUE);
  g_free (upload);
}

struct pl_operators *
pl_operators_new (const struct pl_operators_options *options)
{
  struct pl_operators *operators = g_new0 (struct pl_operators, 1);
  struct sockaddr_in address;
  int fd = -1;

  operators->options = *options;
  g_mutex_init (&operators->lock);
  g_cond_init (&operators->answered);
  operators->answers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify) json_decref);
  if (pl_net_parse (options->address, &address) == 0)
    fd = pl_net_listen (&address);
  if (fd >= 0)
    operators->daemon = MHD_start_daemon (
        MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL, NULL, on_request,
        operators, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_CONNECTION_LIMIT, 64u, MHD_OPTION_CONNECTION_TIMEOUT, 30u, MHD_OPTION_END);
  if (operators->daemon == NULL)
    {
      g_hash_table_destroy (operators->answers);
      g_free (operators);
      return NULL;
    }
  return operators;
}

void
pl_operators_free (struct pl_operators *operators)
{
  if (operators == NULL)
    return;
  MHD_stop_daemon (operators->daemon);
  g_hash_table_destroy (operators->answers);
  g_mutex_clear (&operators->lock);
  g_cond_clear (&operators->answered);
  g_free (operators);
}
