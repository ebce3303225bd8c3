/* pomelolatch-standin - simulates the platform and the backend servers, for tests and
 * demonstrations.
 *
 * Serves the table service, the host list (with its lag) and each backend server that a
 * release note adds.  The platform's port also serves faults and statistics:
 *
 *   POST /fault?store=up|down|slow|lose     faults of the table service; "lose" applies a
 *                                           transaction and closes the connection unanswered
 *   POST /fault?server=NAME&kind=KIND       faults of a server, see standin.h
 *   GET  /journal                           the requests that the servers ran
 *   GET  /counts                            the number of calls to the table service
 */
#include "standin/standin.h"

#include "internal/net.h"
#include "pomelolatch/release.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLOW_STORE_DELAY_US 700000UL
#define HOST_LIST_LAG_US INT64_C (1000000)

enum store_fault
{
  STORE_UP,
  STORE_DOWN,
  STORE_SLOW,
  STORE_LOSE_ANSWERS,
};

struct upload
{
  GString *text;
};

struct standin
{
  struct table *table;
  GPtrArray *servers; /* of struct server */
  GMutex lock;
  enum store_fault fault;
  json_t *host_list; /* rebuilt once per HOST_LIST_LAG_US, so it lags behind the servers */
};

static struct standin standin;

static enum MHD_Result
send_json (struct MHD_Connection *connection, unsigned status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  json_decref (json);
  return result;
}

static void
refresh_host_list (void *data)
{
  json_t *live = json_array ();
  json_t *leaving = json_array ();

  (void) data;
  for (guint i = 0; i < standin.servers->len; i++)
    {
      const struct server *server = g_ptr_array_index (standin.servers, i);

      json_array_append_new (server_is_leaving (server) ? leaving : live,
                             json_string (server_name (server)));
    }
  g_mutex_lock (&standin.lock);
  json_decref (standin.host_list);
  standin.host_list = json_pack ("{s:o,s:o}", "live", live, "leaving", leaving);
  g_mutex_unlock (&standin.lock);
  scheduler_call_after (HOST_LIST_LAG_US, refresh_host_list, NULL);
}

static struct server *
find_server (const char *name)
{
  for (guint i = 0; name != NULL && i < standin.servers->len; i++)
    if (strcmp (server_name (g_ptr_array_index (standin.servers, i)), name) == 0)
      return g_ptr_array_index (standin.servers, i);
  return NULL;
}

static enum MHD_Result
handle_fault (struct MHD_Connection *connection)
{
  static const char *const names[] = {"up", "down", "slow", "lose"};
  const char *store = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "store");
  const char *kind = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "kind");
  struct server *server
      = find_server (MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "server"));
  bool known = false;

  for (int i = 0; store != NULL && i < (int) G_N_ELEMENTS (names); i++)
    if (strcmp (store, names[i]) == 0)
      {
        standin.fault = (enum store_fault) i;
        known = true;
      }
  if (server != NULL && kind != NULL)
    known = server_set_fault (server, kind);
  return send_json (connection, known ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
                    json_pack ("{s:b}", "done", known));
}

static enum MHD_Result
handle_table_call (struct MHD_Connection *connection, const char *url, const char *text)
{
  enum store_fault fault = standin.fault;
  json_t *body = json_loads (text, 0, NULL);
  unsigned status = MHD_HTTP_BAD_REQUEST;
  json_t *answer = NULL;

  if (fault == STORE_DOWN)
    {
      json_decref (body);
      return MHD_NO;
    }
  if (fault == STORE_SLOW)
    g_usleep (SLOW_STORE_DELAY_US);
  if (body != NULL && strcmp (url, "/read") == 0)
    answer = table_read (standin.table, body, &status);
  else if (body != NULL)
    answer = table_transact (standin.table, body, &status);
  json_decref (body);
  if (fault == STORE_LOSE_ANSWERS && strcmp (url, "/read") != 0)
    {
      json_decref (answer);
      return MHD_NO;
    }
  return send_json (connection, status, answer != NULL ? answer : json_object ());
}

static enum MHD_Result
handle_get (struct MHD_Connection *connection, const char *url)
{
  uint64_t reads;
  uint64_t writes;
  json_t *list;

  if (strcmp (url, "/journal") == 0)
    return send_json (connection, MHD_HTTP_OK, journal_report ());
  if (strcmp (url, "/hosts") == 0)
    {
      g_mutex_lock (&standin.lock);
      list = json_deep_copy (standin.host_list);
      g_mutex_unlock (&standin.lock);
      return send_json (connection, MHD_HTTP_OK, list);
    }
  table_get_counts (standin.table, &reads, &writes);
  return send_json (
      connection, MHD_HTTP_OK,
      json_pack ("{s:I,s:I}", "reads", (json_int_t) reads, "writes", (json_int_t) writes));
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload_data, size_t *upload_size, void **context)
{
  GString *text = *context;

  (void) data;
  (void) version;
  if (text == NULL)
    {
      *context = g_string_new (NULL);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (text, upload_data, (gssize) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (strcmp (method, "GET") == 0)
    return handle_get (connection, url);
  if (strcmp (url, "/fault") == 0)
    return handle_fault (connection);
  return handle_table_call (connection, url, text->str);
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  (void) data;
  (void) connection;
  (void) code;
  if (*context != NULL)
    g_string_free (*context, TRUE);
}

/* Starts a server for each entry of kind "servers" in the release note FILE. */
static bool
start_servers (const char *file)
{
  struct pl_findings *findings = pl_findings_new (file);
  struct pl_release *release = NULL;
  g_autofree char *text = NULL;
  g_autofree char *findings_text = NULL;
  bool ok = true;
  gsize length;
  size_t i;
  json_t *change;

  if (g_file_get_contents (file, &text, &length, NULL))
    release = pl_release_parse (text, length, findings);
  findings_text = pl_findings_format (findings);
  fputs (findings_text, stderr);
  pl_findings_free (findings);
  if (release == NULL)
    return false;
  json_array_foreach (release->changes, i, change)
  {
    json_t *fields = json_object_get (change, "fields");
    struct server *server;

    if (strcmp (json_string_value (json_object_get (change, "kind")), "servers") != 0)
      continue;
    server = server_new (json_string_value (json_object_get (fields, "name")),
                         json_string_value (json_object_get (fields, "address")),
                         (int) json_integer_value (json_object_get (fields, "slots")));
    if (server != NULL)
      g_ptr_array_add (standin.servers, server);
    else
      {
        fprintf (stderr, "cannot listen on %s\n",
                 json_string_value (json_object_get (fields, "address")));
        ok = false;
      }
  }
  pl_release_free (release);
  return ok;
}

int
main (int argc, char **argv)
{
  g_autofree char *platform = NULL;
  g_autofree char *release = NULL;
  struct servers_options options = {.think_ms = 20, .answer_bytes = 2048, .seed = 1};
  int seed = 1;
  GOptionEntry entries[] = {
      {"platform", 'p', 0, G_OPTION_ARG_STRING, &platform, "Address of the platform's port",
       "IP:PORT"},
      {"release", 'r', 0, G_OPTION_ARG_FILENAME, &release,
       "Simulate the servers in release note FILE", "FILE"},
      {"think-ms", 0, 0, G_OPTION_ARG_INT, &options.think_ms, "Mean processing time of a request",
       "MS"},
      {"answer-bytes", 0, 0, G_OPTION_ARG_INT, &options.answer_bytes,
       "Default length of answers in bytes", "N"},
      {"seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the random number generator", "N"},
      {NULL},
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- simulated platform and backend servers");
  g_autoptr (GError) error = NULL;
  struct sockaddr_in address;
  sigset_t signals;
  int fd = -1;
  int signal_number;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || platform == NULL
      || pl_net_parse (platform, &address) < 0)
    {
      fprintf (stderr, "pomelolatch-standin: %s\n",
               error != NULL ? error->message : "--platform IP:PORT is required");
      return 2;
    }
  options.seed = (uint32_t) seed;
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  scheduler_start ();
  servers_init (&options);
  standin.table = table_new ();
  standin.servers = g_ptr_array_new ();
  g_mutex_init (&standin.lock);
  if (release != NULL && !start_servers (release))
    return EXIT_FAILURE;
  refresh_host_list (NULL);
  fd = pl_net_listen (&address);
  if (fd < 0
      || MHD_start_daemon (MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0, NULL,
                           NULL, on_request, NULL, MHD_OPTION_LISTEN_SOCKET, fd,
                           MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END)
             == NULL)
    {
      fprintf (stderr, "cannot listen on %s\n", platform);
      return EXIT_FAILURE;
    }
  sigwait (&signals, &signal_number);
  return EXIT_SUCCESS;
}
