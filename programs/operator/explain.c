/* Explains the outcome of a request from the logs of entry hosts.
 *
 * The first pass collects the log lines of the request and the hosts and servers that
 * they name.  The second collects the state changes that the same hosts logged shortly
 * before about these servers, the store and the configuration.  Lines are merged by the
 * hosts' wall clocks, which differ slightly.
 */
#include "operator.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define STATE_WINDOW_S 3.0
#define LINE_BYTES_MAX 16384

struct log_line
{
  double time;
  json_t *fields;
};

struct explanation
{
  const char *request;
  GArray *request_lines; /* of struct log_line, about the request */
  GArray *state_lines;   /* of struct log_line, without a request */
  GHashTable *servers;   /* set of the names in the lines of the request */
  GHashTable *hosts;     /* set of the names of the hosts that logged these lines */
  double first_time;
  double last_time;
};

static const char *
get_text (const json_t *fields, const char *name)
{
  const char *text = json_string_value (json_object_get (fields, name));

  return text != NULL ? text : "";
}

/* Ignores text before the JSON object, such as a timestamp added by a log collector. */
static json_t *
parse_line (const char *text)
{
  const char *begin = strchr (text, '{');

  return begin != NULL ? json_loads (begin, 0, NULL) : NULL;
}

static void
free_lines (GArray *lines)
{
  for (guint i = 0; i < lines->len; i++)
    json_decref (g_array_index (lines, struct log_line, i).fields);
  g_array_free (lines, TRUE);
}

static void
add_request_line (struct explanation *explanation, json_t *fields)
{
  struct log_line line = {json_real_value (json_object_get (fields, "time")), json_incref (fields)};
  const char *server = get_text (fields, "server");
  const char *passed_over = get_text (fields, "passed_over");

  if (explanation->request_lines->len == 0 || line.time < explanation->first_time)
    explanation->first_time = line.time;
  explanation->last_time = MAX (explanation->last_time, line.time);
  g_array_append_val (explanation->request_lines, line);
  g_hash_table_add (explanation->hosts, g_strdup (get_text (fields, "name")));
  if (server[0] != '\0')
    g_hash_table_add (explanation->servers, g_strdup (server));
  if (passed_over[0] != '\0')
    g_hash_table_add (explanation->servers, g_strdup (passed_over));
}

/* Returns whether a line without a request is relevant: one of the request's hosts logged it near
 * the time of the request, about one of the request's servers or about no server. */
static bool
is_relevant (const struct explanation *explanation, const json_t *fields, double time)
{
  const char *server = get_text (fields, "server");

  if (json_object_get (fields, "request") != NULL
      || !g_hash_table_contains (explanation->hosts, get_text (fields, "name"))
      || time < explanation->first_time - STATE_WINDOW_S || time > explanation->last_time + 0.5)
    return false;
  return server[0] == '\0' || g_hash_table_contains (explanation->servers, server);
}

static void
add_state_line (struct explanation *explanation, json_t *fields)
{
  struct log_line line = {json_real_value (json_object_get (fields, "time")), NULL};

  if (!is_relevant (explanation, fields, line.time))
    return;
  line.fields = json_incref (fields);
  g_array_append_val (explanation->state_lines, line);
}

typedef void (*line_function) (struct explanation *explanation, json_t *fields);

/* Calls ADD_LINE for each log line in the file NAME, or only for those of REQUEST unless NULL.
 * Returns false when the file cannot be read. */
static bool
read_file (struct explanation *explanation, const char *name, const char *request,
           line_function add_line)
{
  FILE *file = fopen (name, "r");
  char *text;

  if (file == NULL)
    {
      fprintf (stderr, "%s: cannot be read\n", name);
      return false;
    }
  text = g_malloc (LINE_BYTES_MAX);
  while (fgets (text, LINE_BYTES_MAX, file) != NULL)
    {
      json_t *fields;

      if (request != NULL && strstr (text, request) == NULL)
        continue;
      fields = parse_line (text);
      if (fields != NULL
          && (request == NULL || strcmp (get_text (fields, "request"), request) == 0))
        add_line (explanation, fields);
      json_decref (fields);
    }
  g_free (text);
  fclose (file);
  return true;
}

static gint
compare_by_time (gconstpointer a, gconstpointer b)
{
  double left = ((const struct log_line *) a)->time;
  double right = ((const struct log_line *) b)->time;

  return (left > right) - (left < right);
}

static void
print_lines (const struct explanation *explanation, GArray *lines)
{
  g_array_sort (lines, compare_by_time);
  for (guint i = 0; i < lines->len; i++)
    {
      const struct log_line *line = &g_array_index (lines, struct log_line, i);
      const char *name;
      json_t *value;

      printf ("%+9.3f s  %-24s %-18s", line->time - explanation->first_time,
              get_text (line->fields, "name"), get_text (line->fields, "event"));
      json_object_foreach (line->fields, name, value)
      {
        g_autofree char *formatted = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);

        if (strcmp (name, "time") != 0 && strcmp (name, "name") != 0 && strcmp (name, "event") != 0
            && strcmp (name, "level") != 0 && strcmp (name, "request") != 0)
          printf (" %s=%s", name, formatted);
      }
      putchar ('\n');
    }
}

/* Explanations of the outcomes, for operators who answer a user's question. */
static const char *const outcome_meanings[][2] = {
    {"delivered", "The server's answer was sent to the caller; after_us is the time that it took."},
    {"over-rate", "The account exceeded its rate over all hosts; nothing was sent."},
    {"servers-full", "No server that holds the object had capacity within the latency objective; "
                     "nothing was sent."},
    {"servers-limited",
     "Each server that could be used had named a rate limit that was used up over "
     "all hosts; nothing was sent."},
    {"no-server", "No server of the service could be used; nothing was sent."},
    {"servers-refused", "Each server that was tried rejected the request or was unreachable."},
    {"servers-lost",
     "The host could connect to no server, and no peer that can was known; nothing was sent."},
    {"unusable-configuration",
     "The configuration in force has no usable route, service or account for it: see row-findings; "
     "nothing was sent."},
    {"old-configuration",
     "A host with a newer configuration handed the request over; nothing was sent."},
    {"peer-refused", "The request was handed over to a host that could not take it."},
    {"no-answer-in-time",
     "The request was sent, and the route's or the caller's timeout expired before an answer."},
    {"no-time-left", "The deadline expired while the request was waiting; it was not sent."},
    {"answer-lost",
     "The request was sent, and its answer was lost, not whole, or not its own: it may have run."},
    {"failed",
     "The server answered with a status that implies that the request did not run, although it may "
     "have run."},
    {"quarantined", "Two servers failed while running requests like this one."},
    {"no-configuration", "The host had just started and had no configuration yet."},
    {"cut-off",
     "The host had lost contact with the store, so its configuration may lack a new route or key."},
    {"no-route", "No route of the configuration in force has a prefix of this path."},
    {"no-key", "The key is not in the configuration in force."},
    {"caller-gone", "The caller closed its connection, or the direction in which it sends."},
    {"stopping",
     "The host was stopping and might have exited before the request had an answer; nothing was "
     "sent."},
};

static void
print_meaning (const GArray *lines)
{
  const struct log_line *last = &g_array_index (lines, struct log_line, lines->len - 1);

  for (size_t i = 0; i < G_N_ELEMENTS (outcome_meanings); i++)
    if (strcmp (get_text (last->fields, "outcome"), outcome_meanings[i][0]) == 0)
      printf ("%s: %s\n", outcome_meanings[i][0], outcome_meanings[i][1]);
}

enum operator_exit
operator_explain (const char *request, char *const *files)
{
  struct explanation explanation = {.request = request};
  enum operator_exit result = OPERATOR_OK;
  bool all_readable = true;

  explanation.request_lines = g_array_new (FALSE, FALSE, sizeof (struct log_line));
  explanation.state_lines = g_array_new (FALSE, FALSE, sizeof (struct log_line));
  explanation.servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explanation.hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (char *const *file = files; *file != NULL; file++)
    all_readable = read_file (&explanation, *file, request, add_request_line) && all_readable;
  if (explanation.request_lines->len == 0)
    {
      printf (
          "%s: no log line of this request; see requests_left_out in the lines around its time\n",
          request);
      result = OPERATOR_FINDINGS;
      goto out;
    }
  for (char *const *file = files; *file != NULL; file++)
    read_file (&explanation, *file, NULL, add_state_line);
  print_lines (&explanation, explanation.request_lines);
  print_meaning (explanation.request_lines);
  printf ("State changes on its hosts, from %.0f s before:\n", STATE_WINDOW_S);
  print_lines (&explanation, explanation.state_lines);
out:
  free_lines (explanation.request_lines);
  free_lines (explanation.state_lines);
  g_hash_table_destroy (explanation.servers);
  g_hash_table_destroy (explanation.hosts);
  return all_readable ? result : OPERATOR_USAGE;
}
