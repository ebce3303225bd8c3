/* history - checks the records that callers and servers made in a run of real processes.
 *
 *   history CALLERS JOURNAL RELEASE
 *
 * CALLERS holds the JSON lines of pomelolatch-load, JOURNAL the runs that the stand-in
 * servers recorded, and RELEASE the release with the accounts' rates and bursts.  Prints
 * each violation and exits with 1 if there is any:
 *
 *  - an operation ran more than once, ran although all its answers said "not run", or was
 *    answered with status 200 and did not run;
 *  - a server received a client account's key;
 *  - a caller took a truncated or wrong answer as complete;
 *  - the runs of an account do not fit one token bucket with its rate and burst.
 */
#include "pomelolatch/release.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A run may start at its server this long after the host's decision, so that evenly spaced
 * decisions can start in a burst. */
#define MAX_START_DELAY_S 0.25

static int violations;

static void G_GNUC_PRINTF (1, 2) report_violation (const char *format, ...)
{
  va_list args;

  violations++;
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

struct operation
{
  bool served;
  bool only_not_run; /* every answer so far was a refusal that says "not run" */
};

static GHashTable *
read_operations (const char *file)
{
  GHashTable *operations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    abort ();
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      json_t *json = json_loads (*line, 0, NULL);
      struct operation *operation;
      char *name;

      if (json == NULL || !json_is_true (json_object_get (json, "unrepeatable")))
        {
          json_decref (json);
          continue;
        }
      name = g_strdup_printf ("%s/%lld", json_string_value (json_object_get (json, "account")),
                              (long long) json_integer_value (json_object_get (json, "number")));
      operation = g_hash_table_lookup (operations, name);
      if (operation == NULL)
        {
          operation = g_new0 (struct operation, 1);
          operation->only_not_run = true;
          g_hash_table_insert (operations, g_strdup (name), operation);
        }
      g_free (name);
      operation->served
          = operation->served || json_integer_value (json_object_get (json, "status")) == 200;
      if (strcmp (json_string_value (json_object_get (json, "outcome")), "not-run") != 0)
        operation->only_not_run = false;
      json_decref (json);
    }
  return operations;
}

/* The journal names operations "account/op-SEED-NUMBER". */
static void
check_operations (GHashTable *operations, const json_t *journal)
{
  g_autoptr (GHashTable) ran = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  const char *name;
  json_t *count;

  json_object_foreach (json_object_get (journal, "operations"), name, count)
  {
    g_auto (GStrv) parts = g_strsplit (name, "/", 2);
    const char *number = strrchr (name, '-');
    char *id = g_strconcat (parts[0], "/", number != NULL ? number + 1 : "", NULL);
    const struct operation *operation = g_hash_table_lookup (operations, id);

    g_hash_table_add (ran, id);
    if (json_integer_value (count) > 1)
      report_violation ("operation %s ran %lld times", name,
                        (long long) json_integer_value (count));
    if (operation != NULL && operation->only_not_run)
      report_violation ("operation %s ran, but all answers to its caller said \"not run\"", name);
  }
  g_hash_table_iter_init (&iter, operations);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((const struct operation *) value)->served && !g_hash_table_contains (ran, key))
      report_violation ("operation %s was answered with status 200 but never ran",
                        (const char *) key);
}

struct bucket
{
  double rate;
  double burst;
  double tokens;
  double filled_s;
  double lowest;
  int runs;
};

static GHashTable *
read_buckets (const char *file)
{
  GHashTable *buckets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  struct pl_findings *findings = pl_findings_new (file);
  g_autofree char *text = NULL;
  struct pl_release *release;
  gsize length;
  size_t i;
  json_t *change;

  if (!g_file_get_contents (file, &text, &length, NULL))
    abort ();
  release = pl_release_parse (text, length, findings);
  json_array_foreach (release->changes, i, change)
  {
    json_t *fields = json_object_get (change, "fields");
    struct bucket *bucket;

    if (strcmp (json_string_value (json_object_get (change, "kind")), "accounts") != 0)
      continue;
    bucket = g_new0 (struct bucket, 1);
    bucket->rate = json_number_value (json_object_get (fields, "rate"));
    bucket->burst = json_number_value (json_object_get (fields, "burst"));
    bucket->tokens = bucket->burst;
    bucket->lowest = bucket->burst;
    g_hash_table_insert (buckets, g_strdup (json_string_value (json_object_get (change, "name"))),
                         bucket);
  }
  pl_release_free (release);
  pl_findings_free (findings);
  return buckets;
}

/* Counts each run as one request.  This is stricter than the rate limit: a retry by the host at
 * another server takes no token.  The journal does not distinguish it from a caller's resend after
 * an unknown outcome, which takes one; only the callers' records do. */
static void
check_rates (GHashTable *buckets, const json_t *journal)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  size_t i;
  json_t *run;

  json_array_foreach (json_object_get (journal, "runs"), i, run)
  {
    double now_s = (double) json_integer_value (json_array_get (run, 0)) / 1e6;
    struct bucket *bucket
        = g_hash_table_lookup (buckets, json_string_value (json_array_get (run, 1)));

    if (bucket == NULL)
      continue;
    if (bucket->runs++ == 0)
      bucket->filled_s = now_s;
    bucket->tokens
        = MIN (bucket->tokens + bucket->rate * (now_s - bucket->filled_s), bucket->burst) - 1.0;
    bucket->filled_s = now_s;
    bucket->lowest = MIN (bucket->lowest, bucket->tokens);
  }
  g_hash_table_iter_init (&iter, buckets);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct bucket *bucket = value;

      if (bucket->lowest < -bucket->rate * MAX_START_DELAY_S - 1.0)
        report_violation ("account %s exceeded its rate and burst by %.1f requests",
                          (const char *) key, -bucket->lowest);
    }
}

/* An answer with status 200 that ended completely must be the one that the request asked for. */
static void
check_answers (const char *file)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  int count = 0;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    abort ();
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL && **line != '\0'; line++)
    {
      json_t *json = json_loads (*line, 0, NULL);

      count++;
      if (json_integer_value (json_object_get (json, "status")) == 200
          && json_integer_value (json_object_get (json, "end")) == 0
          && !json_is_true (json_object_get (json, "right")))
        report_violation ("request %lld got a truncated or wrong answer",
                          (long long) json_integer_value (json_object_get (json, "number")));
      json_decref (json);
    }
  printf ("%d attempts read\n", count);
}

int
main (int argc, char **argv)
{
  GHashTable *operations;
  GHashTable *buckets;
  json_t *journal;

  if (argc != 4)
    {
      fprintf (stderr, "usage: history CALLERS JOURNAL RELEASE\n");
      return 2;
    }
  operations = read_operations (argv[1]);
  journal = json_load_file (argv[2], 0, NULL);
  buckets = read_buckets (argv[3]);
  if (journal == NULL)
    return 2;
  check_operations (operations, journal);
  check_rates (buckets, journal);
  check_answers (argv[1]);
  if (json_integer_value (json_object_get (journal, "keys_seen")) > 0)
    report_violation ("servers received keys in %lld requests",
                      (long long) json_integer_value (json_object_get (journal, "keys_seen")));
  printf ("%u operations, %zu runs, %d violations\n", g_hash_table_size (operations),
          json_array_size (json_object_get (journal, "runs")), violations);
  g_hash_table_destroy (operations);
  g_hash_table_destroy (buckets);
  json_decref (journal);
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
