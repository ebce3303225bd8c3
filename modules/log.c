/* One line, one JSON object, one write.
 *
 * Repeats of an event are limited per second; the count of those left out is
 * told by the next line of the same event, so nothing disappears unsaid.
 */
#include "internal/log.h"
#include "pomelolatch/error.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LINES_PER_SECOND 10

struct repeat
{
  int64_t second;
  int written;
  int left_out;
};

static const char *const level_names[] = {"debug", "info", "warning", "error"};
static enum pl_log_level log_level = PL_LOG_INFO;
static char log_name[64];
static GMutex log_lock;
static GHashTable *log_repeats;

void
pl_log_set (enum pl_log_level level, const char *name)
{
  log_level = level;
  g_strlcpy (log_name, name, sizeof log_name);
}

int
pl_log_parse_level (const char *text)
{
  for (int i = 0; i < (int) G_N_ELEMENTS (level_names); i++)
    if (strcmp (level_names[i], text) == 0)
      return i;
  return PL_ERR_INVALID;
}

/* Returns how many lines of EVENT were left out before this one, or -1 to leave it out. */
static int
count_repeat (const char *event, int64_t second)
{
  struct repeat *repeat;
  int left_out;

  if (log_repeats == NULL)
    log_repeats = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  repeat = g_hash_table_lookup (log_repeats, event);
  if (repeat == NULL)
    {
      repeat = g_new0 (struct repeat, 1);
      g_hash_table_insert (log_repeats, g_strdup (event), repeat);
    }
  if (repeat->second != second)
    {
      repeat->second = second;
      repeat->written = 0;
    }
  if (repeat->written >= LINES_PER_SECOND)
    {
      repeat->left_out++;
      return -1;
    }
  repeat->written++;
  left_out = repeat->left_out;
  repeat->left_out = 0;
  return left_out;
}

void
pl_log (enum pl_log_level level, const char *event, json_t *fields)
{
  int64_t now_us = g_get_real_time ();
  int left_out;
  json_t *line;
  char *text;

  if (level < log_level)
    {
      json_decref (fields);
      return;
    }
  g_mutex_lock (&log_lock);
  left_out = count_repeat (event, now_us / G_USEC_PER_SEC);
  if (left_out >= 0)
    {
      line = json_pack ("{s:f,s:s,s:s,s:s}", "time", (double) now_us / G_USEC_PER_SEC, "level",
                        level_names[level], "name", log_name, "event", event);
      if (left_out > 0)
        json_object_set_new (line, "left_out", json_integer (left_out));
      if (fields != NULL)
        json_object_update (line, fields);
      text = json_dumps (line, JSON_COMPACT | JSON_REAL_PRECISION (16));
      dprintf (STDERR_FILENO, "%s\n", text);
      free (text);
      json_decref (line);
    }
  g_mutex_unlock (&log_lock);
  json_decref (fields);
}
