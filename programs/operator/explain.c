/* From a request's id to its cause, from the logs of entry hosts.
 *
 * The first pass finds the lines of the request, and with them the servers, hosts
 * and account that it met.  The second takes what the same hosts came to believe of
 * these servers, of the store and of the configuration shortly before.  Lines are
 * merged by the hosts' times of day, which differ a little.
 */
#include "operator.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define BELIEF_WINDOW_S 3.0
#define LINE_MAX_BYTES 16384

struct line
{
  double time;
  json_t *fields;
};

struct explanation
{
  const char *request;
  GArray *lines; /* of struct line, of the request */
  GArray *beliefs;
  GHashTable *servers; /* ids that the request met */
  GHashTable *hosts;
  double first;
  double last;
};

static const char *
text_of (const json_t *fields, const char *name)
{
  const char *text = json_string_value (json_object_get (fields, name));

  return text != NULL ? text : "";
}

/* What stands before the object, such as a time of a log collector, is passed over. */
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
    json_decref (g_array_index (lines, struct line, i).fields);
  g_array_free (lines, TRUE);
}

static void
take_request_line (struct explanation *explanation, json_t *fields)
{
  struct line line = {json_real_value (json_object_get (fields, "time")), json_incref (fields)};
  const char *server = text_of (fields, "server");

  if (explanation->lines->len == 0 || line.time < explanation->first)
    explanation->first = line.time;
  explanation->last = MAX (explanation->last, line.time);
  g_array_append_val (explanation->lines, line);
  g_hash_table_add (explanation->hosts, g_strdup (text_of (fields, "name")));
  if (server[0] != '\0')
    g_hash_table_add (explanation->servers, g_strdup (server));
}

/* A belief bears on the request when a host that had it held it, of a server that it met or of
 * nothing in particular. */
static bool
bears_on (const struct explanation *explanation, const json_t *fields, double time)
{
  const char *server = text_of (fields, "server");

  if (json_object_get (fields, "request") != NULL
      || !g_hash_table_contains (explanation->hosts, text_of (fields, "name"))
      || time < explanation->first - BELIEF_WINDOW_S || time > explanation->last + 0.5)
    return false;
  return server[0] == '\0' || g_hash_table_contains (explanation->servers, server);
}

static void
take_belief (struct explanation *explanation, json_t *fields)
{
  struct line line = {json_real_value (json_object_get (fields, "time")), NULL};

  if (!bears_on (explanation, fields, line.time))
    return;
  line.fields = json_incref (fields);
  g_array_append_val (explanation->beliefs, line);
}

typedef void (*line_function) (struct explanation *explanation, json_t *fields);

static bool
read_file (struct explanation *explanation, const char *name, const char *needle,
           line_function take)
{
  FILE *file = fopen (name, "r");
  char *text;

  if (file == NULL)
    {
      fprintf (stderr, "%s: can not be read\n", name);
      return false;
    }
  text = g_malloc (LINE_MAX_BYTES);
  while (fgets (text, LINE_MAX_BYTES, file) != NULL)
    {
      json_t *fields;

      if (needle != NULL && strstr (text, needle) == NULL)
        continue;
      fields = parse_line (text);
      if (fields != NULL && (needle == NULL || strcmp (text_of (fields, "request"), needle) == 0))
        take (explanation, fields);
      json_decref (fields);
    }
  g_free (text);
  fclose (file);
  return true;
}

static gint
by_time (gconstpointer a, gconstpointer b)
{
  double left = ((const struct line *) a)->time;
  double right = ((const struct line *) b)->time;

  return (left > right) - (left < right);
}

static void
print_lines (const struct explanation *explanation, GArray *lines)
{
  g_array_sort (lines, by_time);
  for (guint i = 0; i < lines->len; i++)
    {
      const struct line *line = &g_array_index (lines, struct line, i);
      const char *name;
      json_t *value;

      printf ("%+9.3f s  %-24s %-18s", line->time - explanation->first,
              text_of (line->fields, "name"), text_of (line->fields, "event"));
      json_object_foreach (line->fields, name, value)
      {
        g_autofree char *shown = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);

        if (strcmp (name, "time") != 0 && strcmp (name, "name") != 0 && strcmp (name, "event") != 0
            && strcmp (name, "level") != 0 && strcmp (name, "request") != 0)
          printf (" %s=%s", name, shown);
      }
      putchar ('\n');
    }
}

/* What an outcome means, for whoever answers the user. */
static const char *const meanings[][2] = {
    {"delivered", "The server's answer went to the caller; after_us is how long it took."},
    {"over-rate", "The account was beyond its rate over all hosts; nothing was sent."},
    {"servers-full", "No server that holds the object had room within the objective; not sent."},
    {"no-server", "No server of the service could be used; nothing was sent."},
    {"servers-refused", "Each server that was tried refused it or could not be reached."},
    {"no-answer-in-time",
     "It was sent, and the route's timeout or the caller's patience ended it."},
    {"no-time-left", "Its time ran out while it waited; it was not sent."},
    {"answer-lost", "It was sent, and the connection ended without its answer: it may have run."},
    {"failed", "The server failed it with a status that would promise that it did not run."},
    {"quarantined", "Requests like it ended two servers."},
    {"no-configuration", "The host had just started and knew no configuration."},
    {"cut-off", "The host had not heard of the store for a while, so the route or key may be new."},
    {"no-route", "No route of the configuration in force begins this path."},
    {"no-key", "The key is not in the configuration in force."},
    {"cancelled", "The caller closed its connection."},
};

static void
print_meaning (const GArray *lines)
{
  const struct line *last = &g_array_index (lines, struct line, lines->len - 1);

  for (size_t i = 0; i < G_N_ELEMENTS (meanings); i++)
    if (strcmp (text_of (last->fields, "outcome"), meanings[i][0]) == 0)
      printf ("%s: %s\n", meanings[i][0], meanings[i][1]);
}

enum operator_exit
operator_explain (const char *request, char *const *files)
{
  struct explanation explanation = {.request = request};
  enum operator_exit result = OPERATOR_OK;
  bool read = true;

  explanation.lines = g_array_new (FALSE, FALSE, sizeof (struct line));
  explanation.beliefs = g_array_new (FALSE, FALSE, sizeof (struct line));
  explanation.servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explanation.hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (char *const *file = files; *file != NULL; file++)
    read = read_file (&explanation, *file, request, take_request_line) && read;
  if (explanation.lines->len == 0)
    {
      printf ("%s: no line of this request; see requests_left_out in the lines around its time\n",
              request);
      result = OPERATOR_FINDINGS;
      goto out;
    }
  for (char *const *file = files; *file != NULL; file++)
    read_file (&explanation, *file, NULL, take_belief);
  print_lines (&explanation, explanation.lines);
  print_meaning (explanation.lines);
  printf ("What its hosts came to believe from %.0f s before:\n", BELIEF_WINDOW_S);
  print_lines (&explanation, explanation.beliefs);
out:
  free_lines (explanation.lines);
  free_lines (explanation.beliefs);
  g_hash_table_destroy (explanation.servers);
  g_hash_table_destroy (explanation.hosts);
  return read ? result : OPERATOR_USAGE;
}
