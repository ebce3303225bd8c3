/* Backend servers: slots, a short queue, a time to think, and faults on demand.
 *
 * What a request's target says: bytes=N sets the length of the answer,
 * think_ms=N the time, tag=T is echoed, fault=crash kills the server and all it
 * runs, fault=cut and fault=cut-chunked end the answer in its middle.
 *
 * A crash closes the listening socket and every connection without an answer;
 * the server comes back two seconds later.
 */
#include "standin.h"

#include "internal/net.h"

#include <stdlib.h>
#include <string.h>

#define CRASH_TIME_US INT64_C (2000000)
#define QUEUE_FACTOR 2 /* a server takes in this many times its slots, the rest it sheds */

enum work_state
{
  WORK_QUEUED,
  WORK_RUNNING,
  WORK_DONE,
  WORK_SHED,
  WORK_ABORTED,
};

struct server
{
  char *name;
  char *address;
  int slots;
  GMutex lock;
  struct MHD_Daemon *daemon;
  int running;
  GQueue queued;    /* of struct work */
  GHashTable *open; /* of struct work */
  bool down;
  bool silent;
  bool leaving;
  bool lying;
  bool slow;
  bool shedding;       /* sheds all, after reading the request */
  uint64_t generation; /* counts crashes */
};

struct work
{
  int references;
  struct server *server;
  struct MHD_Connection *connection;
  enum work_state state;
  bool begun;
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
work_unref (struct work *work)
{
  if (!g_atomic_int_dec_and_test (&work->references))
    return;
  g_free (work->target);
  g_free (work);
}

/* Between half and one and a half times the usual time. */
static int64_t
think_time_us (const struct server *server, const char *think)
{
  int64_t mean_us
      = think != NULL ? atoll (think) * 1000 : (int64_t) servers_options.think_ms * 1000;
  double factor;

  g_mutex_lock (&servers_lock);
  factor = g_rand_double_range (servers_random, 0.5, 1.5);
  g_mutex_unlock (&servers_lock);
  return (int64_t) ((double) mean_us * factor) * (server->slow ? 10 : 1);
}

static void
resume (struct work *work)
{
  if (!work->suspended || work->closed)
    return;
  work->suspended = false;
  MHD_resume_connection (work->connection);
}

static void start_next (struct server *server);

static void
work_is_due (void *data)
{
  struct work *work = data;
  struct server *server = work->server;

  g_mutex_lock (&server->lock);
  if (work->state == WORK_RUNNING)
    {
      work->state = WORK_DONE;
      if (work->generation == server->generation)
        server->running--;
      /* A silent connection neither answers nor closes. */
      if (!server->silent)
        resume (work);
      start_next (server);
    }
  g_mutex_unlock (&server->lock);
  work_unref (work);
}

static const char *
argument (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
}

static const char *
header (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
}

static void
start_work (struct server *server, struct work *work)
{
  const char *account = header (work->connection, "Pomelolatch-Account");

  work->state = WORK_RUNNING;
  work->generation = server->generation;
  server->running++;
  journal_note_run (account != NULL ? account : "?", header (work->connection, "Idempotency-Key"),
                    server->name);
  g_atomic_int_inc (&work->references);
  scheduler_call (think_time_us (server, argument (work->connection, "think_ms")), work_is_due,
                  work);
}

static void
start_next (struct server *server)
{
  while (server->running < server->slots && server->queued.length > 0)
    start_work (server, g_queue_pop_head (&server->queued));
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
come_back (void *data)
{
  struct server *server = data;

  MHD_stop_daemon (server->daemon);
  g_mutex_lock (&server->lock);
  server->down = !server_listen (server);
  g_mutex_unlock (&server->lock);
}

/* Called with the lock held, on any thread. */
static void
crash (struct server *server)
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
  g_hash_table_iter_init (&iter, server->open);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      struct work *work = value;

      work->state = WORK_ABORTED;
      resume (work);
    }
  scheduler_call (CRASH_TIME_US, come_back, server);
}

bool
server_set_fault (struct server *server, const char *fault)
{
  bool known = true;

  g_mutex_lock (&server->lock);
  if (strcmp (fault, "crash") == 0)
    crash (server);
  else if (strcmp (fault, "silent") == 0 || strcmp (fault, "talking") == 0)
    server->silent = fault[0] == 's';
  else if (strcmp (fault, "leave") == 0 || strcmp (fault, "stay") == 0)
    server->leaving = fault[0] == 'l';
  else if (strcmp (fault, "lie") == 0 || strcmp (fault, "honest") == 0)
    server->lying = fault[0] == 'l';
  else if (strcmp (fault, "slow") == 0 || strcmp (fault, "quick") == 0)
    server->slow = fault[0] == 's';
  else if (strcmp (fault, "shed") == 0 || strcmp (fault, "take") == 0)
    server->shedding = fault[0] == 's';
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
  if (value != NULL && strstr (value, STANDIN_KEY_MARK) != NULL)
    *(bool *) data = true;
  return MHD_YES;
}

static void
look_for_key (const struct work *work)
{
  bool seen = strstr (work->target, STANDIN_KEY_MARK) != NULL;

  MHD_get_connection_values (work->connection, MHD_HEADER_KIND, scan_for_key, &seen);
  if (seen)
    journal_note_key ();
}

static enum MHD_Result
send_answer (struct work *work, unsigned status, const char *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), (void *) text, MHD_RESPMEM_MUST_COPY);
  const char *number = header (work->connection, "Pomelolatch-Request");
  enum MHD_Result result;

  if (number != NULL)
    MHD_add_response_header (response, "Pomelolatch-Request", number);
  if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
    MHD_add_response_header (response, "Pomelolatch-Outcome", "not-run");
  result = MHD_queue_response (work->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static ssize_t
read_cut_answer (void *data, uint64_t position, char *bytes, size_t length)
{
  size_t half = GPOINTER_TO_SIZE (data) / 2;

  if (position >= half)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  length = MIN (length, half - position);
  memset (bytes, 'c', length);
  return (ssize_t) length;
}

static enum MHD_Result
send_cut_answer (struct work *work, size_t length, bool chunked)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      chunked ? MHD_SIZE_UNKNOWN : length, 65536, read_cut_answer, GSIZE_TO_POINTER (length), NULL);
  enum MHD_Result result = MHD_queue_response (work->connection, MHD_HTTP_OK, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
finish_work (struct work *work)
{
  const char *bytes = argument (work->connection, "bytes");
  const char *tag = argument (work->connection, "tag");
  const char *fault = argument (work->connection, "fault");
  size_t length = bytes != NULL ? (size_t) atoll (bytes) : (size_t) servers_options.answer_bytes;
  GString *text = g_string_new (NULL);
  enum MHD_Result result;

  if (fault != NULL && g_str_has_prefix (fault, "cut"))
    {
      g_string_free (text, TRUE);
      return send_cut_answer (work, length, strcmp (fault, "cut-chunked") == 0);
    }
  g_string_printf (text, "tag=%s received=%" G_GUINT64_FORMAT " server=%s\n",
                   tag != NULL ? tag : "", work->received, work->server->name);
  while (text->len + 1 < length)
    g_string_append_c (text, 'x');
  g_string_append_c (text, '\n');
  result = send_answer (work, MHD_HTTP_OK, text->str);
  g_string_free (text, TRUE);
  return result;
}

static enum MHD_Result
answer_health (struct server *server, struct work *work)
{
  char text[128];

  if (server->silent && server->slow)
    return MHD_NO;
  g_snprintf (text, sizeof text, "{\"load\":%d,\"leaving\":%s}\n",
              server->lying ? 0 : server->running, server->leaving ? "true" : "false");
  return send_answer (work, MHD_HTTP_OK, text);
}

/* Takes the work in: runs it, queues it, or sheds it. */
static enum MHD_Result
admit (struct server *server, struct work *work)
{
  const char *fault = argument (work->connection, "fault");

  look_for_key (work);
  if (fault != NULL && strcmp (fault, "crash") == 0)
    {
      journal_note_run ("crash", NULL, server->name);
      crash (server);
      return MHD_NO;
    }
  if (server->shedding
      || server->running + (int) server->queued.length >= server->slots * QUEUE_FACTOR)
    {
      work->state = WORK_SHED;
      return send_answer (work, MHD_HTTP_SERVICE_UNAVAILABLE, "shed\n");
    }
  work->suspended = true;
  MHD_suspend_connection (work->connection);
  if (server->running < server->slots)
    start_work (server, work);
  else
    g_queue_push_tail (&server->queued, work);
  return MHD_YES;
}

static enum MHD_Result
advance (struct server *server, struct work *work, const char *url)
{
  if (work->state == WORK_ABORTED || server->down)
    return MHD_NO;
  if (work->state == WORK_DONE)
    return finish_work (work);
  if (strcmp (url, "/health") == 0)
    return answer_health (server, work);
  return admit (server, work);
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **context)
{
  struct server *server = data;
  struct work *work = *context;
  enum MHD_Result result = MHD_YES;

  (void) method;
  (void) version;
  g_mutex_lock (&server->lock);
  work->connection = connection;
  if (!work->begun)
    {
      work->begun = true;
      g_hash_table_add (server->open, work);
    }
  else if (*upload_size > 0)
    {
      (void) upload;
      work->received += *upload_size;
      *upload_size = 0;
    }
  else
    result = advance (server, work, url);
  g_mutex_unlock (&server->lock);
  return result;
}

static void *
on_target (void *data, const char *target, struct MHD_Connection *connection)
{
  struct work *work = g_new0 (struct work, 1);

  work->references = 1;
  work->server = data;
  work->connection = connection;
  work->target = g_strdup (target);
  return work;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct server *server = data;
  struct work *work = *context;

  (void) connection;
  if (work == NULL)
    return;
  g_mutex_lock (&server->lock);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && work->state != WORK_ABORTED)
    journal_note_cancelled ();
  work->closed = true;
  g_hash_table_remove (server->open, work);
  g_queue_remove (&server->queued, work);
  g_mutex_unlock (&server->lock);
  work_unref (work);
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
  server->open = g_hash_table_new (NULL, NULL);
  if (!server_listen (server))
    return NULL;
  return server;
}
