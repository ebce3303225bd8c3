/* pomelolatch - the command-line program for operators.
 *
 * Sends a command to the first entry host in its settings that can be reached;
 * reports and the release status come from all hosts.  The exit status says
 * whether the command changed anything.
 */
#include "operator/operator.h"

#include "internal/keys.h"
#include "internal/settings.h"
#include "pomelolatch/error.h"
#include "pomelolatch/release.h"

#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_INTERVAL_US 200000UL

static const char description[]
    = "Commands:\n"
      "  release check FILE     check a release note against the configuration in force\n"
      "  release apply FILE     check a release note and record it\n"
      "  release status         show which version is in force on which host\n"
      "  release history        list the recorded releases, newest last\n"
      "  report LAYOUT...       print tables as defined by layout files\n"
      "  explain ID FILE...     show what the logs of entry hosts contain about a request\n"
      "  key hash               read a key from standard input and print its hash\n"
      "\n"
      "Exit status:\n"
      "  0  success; for apply: recorded, and with --wait in force everywhere\n"
      "  1  findings: nothing was changed\n"
      "  2  usage or settings error: nothing was changed\n"
      "  3  no entry host or no store could be reached: nothing was changed\n"
      "  4  the outcome is unknown; run the same command again, it is idempotent\n"
      "  5  another release has this id\n"
      "  6  recorded, but not yet in force everywhere\n"
      "\n"
      "Examples:\n"
      "  pomelolatch -s operators.yaml release check withdraw-key.yaml\n"
      "  pomelolatch -s operators.yaml --wait 5 release apply withdraw-key.yaml\n"
      "  pomelolatch -s operators.yaml report layouts/accounts.yaml\n"
      "  pomelolatch explain 9c41d07be2a35f68 host-*.log\n"
      "  printf %s \"$KEY\" | pomelolatch key hash\n";

static const struct pl_field settings_fields[] = {
    {"hosts", PL_FIELD_LIST, true, 0, 0, NULL},
    {"key", PL_FIELD_TEXT, true, 0, 0, NULL},
    {NULL},
};

static int option_wait_s;

static void
print_findings (const char *file, const json_t *array)
{
  struct pl_findings *findings = pl_findings_new (file);
  g_autofree char *text = NULL;

  pl_findings_add_json (findings, array);
  text = pl_findings_format (findings);
  fputs (text, stderr);
  pl_findings_free (findings);
}

/* Sends the request to the first entry host that can be reached.  Returns as operator_call(). */
static json_t *
call_first_reachable (const struct operator_settings *settings, const char *method,
                      const char *path, const char *body, size_t length, long *status)
{
  json_t *answer = NULL;
  size_t i;
  json_t *host;

  *status = 0;
  json_array_foreach (settings->hosts, i, host)
  {
    answer = operator_call (settings, json_string_value (host), method, path, body, length, status);
    /* A request that was sent may have been executed, so no other host is sent it again. */
    if (*status != 0)
      return answer;
  }
  return answer;
}

static json_t *
fetch_reports (const struct operator_settings *settings)
{
  json_t *reports = json_array ();
  size_t i;
  json_t *host;

  json_array_foreach (settings->hosts, i, host)
  {
    long status;
    json_t *report
        = operator_call (settings, json_string_value (host), "GET", "/report", NULL, 0, &status);

    if (report != NULL && status == 200)
      json_array_append (reports, report);
    else
      fprintf (stderr, "pomelolatch: no report from %s\n", json_string_value (host));
    json_decref (report);
  }
  return reports;
}

/* Returns a comma-separated list of the failure domains with a member host that no report shows
 * at VERSION or later. */
static char *
list_lagging_domains (const json_t *reports, json_int_t version)
{
  GHashTable *lagging_domains = g_hash_table_new (g_str_hash, g_str_equal);
  const char *name;
  json_t *member;
  GString *list = g_string_new (NULL);
  GHashTableIter iter;
  gpointer key;

  json_object_foreach (json_object_get (json_array_get (reports, 0), "members"), name, member)
  {
    json_int_t highest_version = 0;
    size_t i;
    json_t *report;

    json_array_foreach (reports, i, report)
    {
      json_t *view = json_object_get (json_object_get (report, "members"), name);

      highest_version
          = MAX (highest_version, json_integer_value (json_object_get (view, "version")));
    }
    if (highest_version < version)
      g_hash_table_add (lagging_domains,
                        (gpointer) json_string_value (json_object_get (member, "domain")));
  }
  g_hash_table_iter_init (&iter, lagging_domains);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_string_append_printf (list, "%s%s", list->len > 0 ? ", " : "", (const char *) key);
  g_hash_table_destroy (lagging_domains);
  return g_string_free (list, FALSE);
}

/* Prints which failure domains still lack VERSION, or the highest version that a host reports if
 * that is higher. */
static enum operator_exit
print_release_status (const struct operator_settings *settings, json_int_t version)
{
  json_t *reports = fetch_reports (settings);
  g_autofree char *lagging_domains = NULL;
  enum operator_exit result = OPERATOR_UNAVAILABLE;
  size_t i;
  json_t *report;

  json_array_foreach (reports, i, report) version
      = MAX (version, json_integer_value (json_object_get (report, "version")));
  if (json_array_size (reports) > 0)
    {
      lagging_domains = list_lagging_domains (reports, version);
      result = lagging_domains[0] == '\0' ? OPERATOR_OK : OPERATOR_WAITING;
      if (result == OPERATOR_OK)
        printf ("version %lld: in force everywhere\n", (long long) version);
      else
        printf ("version %lld: recorded, waiting for %s\n", (long long) version, lagging_domains);
      json_array_foreach (reports, i, report)
          printf ("  %-20s version %lld in force here\n",
                  json_string_value (json_object_get (report, "host")),
                  (long long) json_integer_value (json_object_get (report, "version")));
    }
  else
    fprintf (stderr, "pomelolatch: no entry host could be reached\n");
  json_decref (reports);
  return result;
}

static enum operator_exit
wait_until_in_force (const struct operator_settings *settings, json_int_t version)
{
  gint64 deadline_us = g_get_monotonic_time () + (gint64) option_wait_s * G_USEC_PER_SEC;

  while (g_get_monotonic_time () < deadline_us)
    {
      json_t *reports = fetch_reports (settings);
      g_autofree char *lagging_domains = list_lagging_domains (reports, version);
      bool done = json_array_size (reports) > 0 && lagging_domains[0] == '\0';

      json_decref (reports);
      if (done)
        break;
      g_usleep (POLL_INTERVAL_US);
    }
  return print_release_status (settings, version);
}

static enum operator_exit
send_release (const struct operator_settings *settings, const char *file, bool check_only)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  enum operator_exit result;
  json_t *answer;
  json_int_t version;
  gsize length;
  long status;

  if (!g_file_get_contents (file, &text, &length, &error))
    {
      fprintf (stderr, "pomelolatch: %s\n", error->message);
      return OPERATOR_USAGE;
    }
  answer = call_first_reachable (settings, "POST", check_only ? "/release?check=1" : "/release",
                                 text, length, &status);
  version = json_integer_value (json_object_get (answer, "version"));
  print_findings (file, json_object_get (answer, "findings"));
  switch (status)
    {
    case 200:
      result = OPERATOR_OK;
      printf (check_only ? "no findings against version %lld\n" : "recorded as version %lld\n",
              (long long) version);
      break;
    case 422:
      result = OPERATOR_FINDINGS;
      break;
    case 401:
      fprintf (stderr, "pomelolatch: the operator key was rejected\n");
      result = OPERATOR_USAGE;
      break;
    case 409:
      fprintf (stderr, "pomelolatch: version %lld has the same id and different content\n",
               (long long) version);
      result = OPERATOR_CONFLICT;
      break;
    case -1:
    case 504:
      fprintf (stderr, "pomelolatch: the outcome is unknown; run the same command again\n");
      result = OPERATOR_UNKNOWN;
      break;
    default:
      fprintf (stderr, "pomelolatch: nothing was changed: %s\n",
               answer != NULL ? json_string_value (json_object_get (answer, "result"))
                              : "no entry host could be reached");
      result = OPERATOR_UNAVAILABLE;
      break;
    }
  json_decref (answer);
  if (result == OPERATOR_OK && !check_only && option_wait_s > 0)
    result = wait_until_in_force (settings, version);
  return result;
}

static enum operator_exit
print_release_history (const struct operator_settings *settings)
{
  long status;
  json_t *list = call_first_reachable (settings, "GET", "/history", NULL, 0, &status);
  size_t i;
  json_t *release;

  if (status != 200 || list == NULL)
    {
      fprintf (stderr, "pomelolatch: cannot read the release history from the store\n");
      json_decref (list);
      return OPERATOR_UNAVAILABLE;
    }
  json_array_foreach (list, i, release)
  {
    g_autoptr (GDateTime) time
        = g_date_time_new_from_unix_utc (json_integer_value (json_object_get (release, "time")));
    g_autofree char *text = g_date_time_format_iso8601 (time);

    printf ("%6lld  %s  %-40s %zu changes\n",
            (long long) json_integer_value (json_object_get (release, "version")), text,
            json_string_value (json_object_get (release, "id")),
            json_array_size (json_object_get (release, "changes")));
  }
  json_decref (list);
  return OPERATOR_OK;
}

static enum operator_exit
print_reports (const struct operator_settings *settings, char **files)
{
  enum operator_exit result = OPERATOR_OK;
  json_t *reports = NULL;

  for (char **file = files; *file != NULL; file++)
    {
      struct pl_findings *findings = pl_findings_new (*file);
      struct layout *layout = layout_read (*file, findings);
      g_autofree char *text = pl_findings_format (findings);

      fputs (text, stderr);
      pl_findings_free (findings);
      if (layout == NULL)
        {
          result = OPERATOR_FINDINGS;
          continue;
        }
      if (reports == NULL)
        reports = fetch_reports (settings);
      layout_print (layout, reports);
      layout_free (layout);
    }
  if (reports != NULL && json_array_size (reports) == 0)
    result = OPERATOR_UNAVAILABLE;
  json_decref (reports);
  return result;
}

static enum operator_exit
print_key_hash (void)
{
  char key[4096];
  char text[PL_KEY_HASH_BYTES * 2 + 1];
  size_t length = fread (key, 1, sizeof key - 1, stdin);

  key[length] = '\0';
  key[strcspn (key, "\r\n")] = '\0';
  if (strlen (key) < 8)
    {
      fprintf (stderr, "pomelolatch: the key must have at least 8 characters\n");
      return OPERATOR_USAGE;
    }
  pl_key_hash_text (key, text);
  printf ("%s\n", text);
  sodium_memzero (key, sizeof key);
  return OPERATOR_OK;
}

static enum operator_exit
run_command (const struct operator_settings *settings, int argc, char **argv)
{
  bool is_release = argc >= 3 && strcmp (argv[1], "release") == 0;

  if (is_release && argc == 4 && strcmp (argv[2], "check") == 0)
    return send_release (settings, argv[3], true);
  if (is_release && argc == 4 && strcmp (argv[2], "apply") == 0)
    return send_release (settings, argv[3], false);
  if (is_release && argc == 3 && strcmp (argv[2], "status") == 0)
    return print_release_status (settings, 0);
  if (is_release && argc == 3 && strcmp (argv[2], "history") == 0)
    return print_release_history (settings);
  if (argc >= 3 && strcmp (argv[1], "report") == 0)
    return print_reports (settings, argv + 2);
  fprintf (stderr, "pomelolatch: unknown command; see --help\n");
  return OPERATOR_USAGE;
}

int
main (int argc, char **argv)
{
  g_autofree char *file = NULL;
  gboolean check = FALSE;
  GOptionEntry entries[] = {
      {"settings", 's', 0, G_OPTION_ARG_FILENAME, &file, "Settings file for operators", "FILE"},
      {"check", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings and exit", NULL},
      {"wait", 'w', 0, G_OPTION_ARG_INT, &option_wait_s,
       "After apply, wait up to S seconds for the release to be in force everywhere", "S"},
      {NULL},
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("COMMAND - manage releases and inspect entry hosts");
  g_autoptr (GError) error = NULL;
  struct operator_settings settings = {0};
  enum operator_exit result;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (context, description);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "pomelolatch: %s\n", error->message);
      return OPERATOR_USAGE;
    }
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_FAILURE;
  if (argc >= 4 && strcmp (argv[1], "explain") == 0)
    return operator_explain (argv[2], argv + 3);
  if (argc == 3 && strcmp (argv[1], "key") == 0 && strcmp (argv[2], "hash") == 0)
    return print_key_hash ();
  if (file == NULL)
    {
      fprintf (stderr, "pomelolatch: --settings FILE is required\n");
      return OPERATOR_USAGE;
    }
  settings.settings = pl_settings_read (file, settings_fields);
  if (settings.settings == NULL)
    return OPERATOR_USAGE;
  settings.hosts = json_object_get (settings.settings, "hosts");
  settings.key = pl_settings_text (settings.settings, "key", "");
  result = check ? OPERATOR_OK : run_command (&settings, argc, argv);
  json_decref (settings.settings);
  return result;
}
