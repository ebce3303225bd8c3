/* Backend servers: slots, a short queue, a processing time, and faults on demand.
 *
 * Query arguments of a request: bytes=N sets the length of the answer, think_ms=N its
 * mean processing time, tag=T is echoed in the answer, fault=crash crashes the server,
 * and fault=cut and fault=cut-chunked end the answer halfway.
 *
 * A crash closes the listening socket and all connections without an answer; the
 * server restarts two seconds later.
 */
#include "standin.h"

#include "internal/net.h"

#include <stdlib.h>
#include <string.h>

#define RESTART_DELAY_US INT64_C (2000000)
#define QUEUE_FACTOR 2 /* a server admits this many requests per slot and sheds the rest */

enum request_state
{
  REQUEST_QUEUED,
  REQUEST_RUNNING,
  REQUEST_DONE,
  REQUEST_SHED,
  REQUEST_ABORTED,
};

struct server
{
  char *name;
  char *address;
  int slots;
  GMutex lock;
  struct MHD_Daemon *daemon;
  int running;
  GQueue queued;             /* of struct request */
  GHashTable *open_requests; /* of struct request */
  bool down;
  bool silent;
  bool leaving;
  bool reports_no_load;
  bool slow;
  bool is_shedding;    /* sheds each request after reading it */
  uint64_t generation; /* number of crashes */
};

struct request
{
  int references;
  struct server *server;
  struct MHD_Connection *connection;
  enum request_state state;
  bool headers_done;
  bool suspended;
  bool closed;
  uint64_t generation;
  uint64_t received;
  uint32_t checksum;
  char *target;
};

static struct servers_options servers_options;
static GRand *servers_random;
static GMutex servers_lock;

void
servers_init (const struct servers_options *options)
{
  servers_options = *options;
  servers_random = g_rand_new_with_seed (options->seed);
}

const char *
server_name (const struct server *server)
{
  return server->name;
}

bool
server_is_leaving (const struct server *server)
{
  return server->leaving;
}

bool
server_is_up (const struct server *server)
{
  return !server->down;
}

static void
request_unref (struct request *request)
{
  if (!g_atomic_int_dec_and_test (&request->references))
    return;
  g_free (request->target);
  g_free (request);
}

/* Returns a random time of 0.5 to 1.5 times the mean, ten times as long on a slow server. */
static int64_t
processing_time_us (const struct server *server, const char *requested_ms)
{
  int64_t mean_us = requested_ms != NULL ? atoll (requested_ms) * 1000
                                         : (int64_t) servers_options.think_ms * 1000;
  double factor;

  g_mutex_lock (&servers_lock);
  factor = g_rand_double_range (servers_random, 0.5, 1.5);
  g_mutex_unlock (&servers_lock);
  return (int64_t) ((double) mean_us * factor) * (server->slow ? 10 : 1);
}

static void
resume_connection (struct request *request)
{
  if (!request->suspended || request->closed)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
}

static void start_queued (struct server *server);

static void
on_processing_done (void *data)
{
  struct request *request = data;
  struct server *server = request->server;

  g_mutex_lock (&server->lock);
  if (request->state == REQUEST_RUNNING)
    {
      request->state = REQUEST_DONE;
      if (request->generation == server->generation)
        server->running--;
      /* A silent server neither answers nor closes the connection. */
      if (!server->silent)
        resume_connection (request);
      start_queued (server);
    }
  g_mutex_unlock (&server->lock);
  request_unref (request);
}

static const char *
get_argument (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
}

static const char *
get_header (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
}

static void
start_request (struct server *server, struct request *request)
{
  const char *account = get_header (request->connection, "Pomelolatch-Account");

  request->state = REQUEST_RUNNING;
  request->generation = server->generation;
  server->running++;
  journal_record_run (account != NULL ? account : "?",
                      get_header (request->connection, "Idempotency-Key"), server->name);
  g_atomic_int_inc (&request->references);
  scheduler_call_after (processing_time_us (server, get_argument (request->connection, "think_ms")),
                        on_processing_done, request);
}

static void
start_queued (struct server *server)
{
  while (server->running < server->slots && server->queued.length > 0)
    start_request (server, g_queue_pop_head (&server->queued));
}

static enum MHD_Result on_request (void *data, struct MHD_Connection *connection, const char *url,
                                   const char *method, const char *version, const char *upload,
                                   size_t *upload_size, void **context);
static void on_completed (void *data, struct MHD_Connection *connection, void **context,
                          enum MHD_RequestTerminationCode code);
static void *on_target (void *data, const char *target, struct MHD_Connection *connection);

static bool
server_listen (struct server *server)
{
  struct sockaddr_in address;
  int fd = -1;

  if (pl_net_parse (server->address, &address) == 0)
    fd = pl_net_listen (&address);
  if (fd < 0)
    return false;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, server,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK, on_target, server,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_END);
  return server->daemon != NULL;
}

static void
restart_server (void *data)
{
  struct server *server = data;

  MHD_stop_daemon (server->daemon);
  g_mutex_lock (&server->lock);
  server->down = !server_listen (server);
  g_mutex_unlock (&server->lock);
}

/* Called with the lock held, from any thread. */
static void
crash_server (struct server *server)
{
  GHashTableIter iter;
  gpointer value;
  int fd;

  if (server->down)
    return;
  server->down = true;
  server->generation++;
  server->running = 0;
  g_queue_clear (&server->queued);
  fd = MHD_quiesce_daemon (server->daemon);
  if (fd >= 0)
    close (fd);
  g_hash_table_iter_init (&iter, server->open_requests);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      struct request *request = value;

      request->state = REQUEST_ABORTED;
      resume_connection (request);
    }
  scheduler_call_after (RESTART_DELAY_US, restart_server, server);
}

bool
server_set_fault (struct server *server, const char *fault)
{
  bool known = true;

  g_mutex_lock (&server->lock);
  if (strcmp (fault, "crash") == 0)
    crash_server (server);
  else if (strcmp (fault, "silent") == 0 || strcmp (fault, "talking") == 0)
    server->silent = fault[0] == 's';
  else if (strcmp (fault, "leave") == 0 || strcmp (fault, "stay") == 0)
    server->leaving = fault[0] == 'l';
  else if (strcmp (fault, "lie") == 0 || strcmp (fault, "honest") == 0)
    server->reports_no_load = fault[0] == 'l';
  else if (strcmp (fault, "slow") == 0 || strcmp (fault, "quick") == 0)
    server->slow = fault[0] == 's';
  else if (strcmp (fault, "shed") == 0 || strcmp (fault, "take") == 0)
    server->is_shedding = fault[0] == 's';
  else
    known = false;
  g_mutex_unlock (&server->lock);
  return known;
}

static enum MHD_Result
scan_for_key (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  (void) kind;
  (void) name;
  if (value != NULL && strstr (value, STANDIN_KEY_PREFIX) != NULL)
    *(bool *) data = true;
  return MHD_YES;
}

static void
check_for_key (const struct request *request)
{
  bool seen = strstr (request->target, STANDIN_KEY_PREFIX) != NULL;

  MHD_get_connection_values (request->connection, MHD_HEADER_KIND, scan_for_key, &seen);
  if (seen)
    journal_record_key ();
}

static void
add_echo (const struct request *request, struct MHD_Response *response)
{
  const char *request_id = get_header (request->connection, "Pomelolatch-Request");

  if (request_id != NULL)
    MHD_add_response_header (response, "Pomelolatch-Request", request_id);
}

static enum MHD_Result
send_answer (struct request *request, unsigned status, const char *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), (void *) text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  add_echo (request, response);
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, "Pomelolatch-Outcome", "not-run");
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static ssize_t
read_truncated_answer (void *data, uint64_t position, char *bytes, size_t length)
{
  size_t half = GPOINTER_TO_SIZE (data) / 2;

  if (position >= half)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  length = MIN (length, half - position);
  memset (bytes, 'c', length);
  return (ssize_t) length;
}

static enum MHD_Result
send_truncated_answer (struct request *request, size_t length, bool chunked)
{
  struct MHD_Response *response
      = MHD_create_response_from_callback (chunked ? MHD_SIZE_UNKNOWN : length, 65536,
                                           read_truncated_answer, GSIZE_TO_POINTER (length), NULL);
  enum MHD_Result result;

  add_echo (request, response);
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_request (struct request *request)
{
  const char *bytes = get_argument (request->connection, "bytes");
  const char *tag = get_argument (request->connection, "tag");
  const char *fault = get_argument (request->connection, "fault");
  size_t length = bytes != NULL ? (size_t) atoll (bytes) : (size_t) servers_options.answer_bytes;
  GString *text = g_string_new (NULL);
  enum MHD_Result result;

  if (fault != NULL && g_str_has_prefix (fault, "cut"))
    {
      g_string_free (text, TRUE);
      return send_truncated_answer (request, length, strcmp (fault, "cut-chunked") == 0);
    }
  g_string_printf (text, "tag=%s received=%" G_GUINT64_FORMAT " server=%s\n",
                   tag != NULL ? tag : "", request->received, request->server->name);
  while (text->len + 1 < length)
    g_string_append_c (text, 'x');
  g_string_append_c (text, '\n');
  result = send_answer (request, MHD_HTTP_OK, text->str);
  g_string_free (text, TRUE);
  return result;
}

static enum MHD_Result
handle_health_check (struct server *server, struct request *request)
{
  char text[128];

  /* A silent server still answers health checks, unless it is slow too. */
  if (server->silent && server->slow)
    return MHD_NO;
  g_snprintf (text, sizeof text, "{\"load\":%d,\"leaving\":%s}\n",
              server->reports_no_load ? 0 : server->running, server->leaving ? "true" : "false");
  return send_answer (request, MHD_HTTP_OK, text);
}

/* Runs, queues or sheds the request. */
static enum MHD_Result
admit_request (struct server *server, struct request *request)
{
  const char *fault = get_argument (request->connection, "fault");

  check_for_key (request);
  if (fault != NULL && strcmp (fault, "crash") == 0)
    {
      journal_record_run ("crash", NULL, server->name);
      crash_server (server);
      return MHD_NO;
    }
  if (server->is_shedding
      || server->running + (int) server->queued.length >= server->slots * QUEUE_FACTOR)
    {
      request->state = REQUEST_SHED;
      return send_answer (request, MHD_HTTP_SERVICE_UNAVAILABLE, "shed\n");
    }
  request->suspended = true;
  MHD_suspend_connection (request->connection);
  if (server->running < server->slots)
    start_request (server, request);
  else
    g_queue_push_tail (&server->queued, request);
  return MHD_YES;
}

static enum MHD_Result
handle_request (struct server *server, struct request *request, const char *url)
{
  if (request->state == REQUEST_ABORTED || server->down)
    return MHD_NO;
  if (request->state == REQUEST_DONE)
    return answer_request (request);
  if (strcmp (url, "/health") == 0)
    return handle_health_check (server, request);
  return admit_request (server, request);
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **context)
{
  struct server *server = data;
  struct request *request = *context;
  enum MHD_Result result = MHD_YES;

  (void) method;
  (void) version;
  g_mutex_lock (&server->lock);
  request->connection = connection;
  if (!request->headers_done)
    {
      request->headers_done = true;
      g_hash_table_add (server->open_requests, request);
    }
  else if (*upload_size > 0)
    {
      (void) upload;
      request->received += *upload_size;
      *upload_size = 0;
    }
  else
    result = handle_request (server, request, url);
  g_mutex_unlock (&server->lock);
  return result;
}

static void *
on_target (void *data, const char *target, struct MHD_Connection *connection)
{
  struct request *request = g_new0 (struct request, 1);

  request->references = 1;
  request->server = data;
  request->connection = connection;
  request->target = g_strdup (target);
  return request;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct server *server = data;
  struct request *request = *context;

  (void) connection;
  if (request == NULL)
    return;
  g_mutex_lock (&server->lock);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && request->state != REQUEST_ABORTED)
    journal_record_cancelled ();
  request->closed = true;
  g_hash_table_remove (server->open_requests, request);
  g_queue_remove (&server->queued, request);
  g_mutex_unlock (&server->lock);
  request_unref (request);
}

struct server *
server_new (const char *name, const char *address, int slots)
{
  struct server *server = g_new0 (struct server, 1);

  server->name = g_strdup (name);
  server->address = g_strdup (address);
  server->slots = slots;
  g_mutex_init (&server->lock);
  g_queue_init (&server->queued);
  server->open_requests = g_hash_table_new (NULL, NULL);
  if (!server_listen (server))
    return NULL;
  return server;
}
