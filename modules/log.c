/* One line, one JSON object, written by a thread of its own.
 *
 * A caller formats its line into a buffer and goes on; the writer takes what has
 * gathered and writes it in one piece.  A reader that is slow or stands still
 * blocks the writer only: the buffer fills, further lines are left out and counted.
 * Repeats of one event are limited per second as well.  The count of what was left
 * out stands in the next line of the event, so nothing disappears unsaid.
 */
#include "internal/log.h"
#include "pomelolatch/error.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LINES_PER_SECOND 400 /* of one event */
#define BUFFER_BYTES ((size_t) 256 << 10)
/* Lines gather for so long before they are written. */
#define GATHER_US 50000

struct repeat
{
  int64_t second;
  int written;
  int left_out;
};

static const char *const level_names[] = {"debug", "info", "warning", "error"};
static enum pl_log_level log_level = PL_LOG_INFO;
static char log_name[64];
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t log_filled = PTHREAD_COND_INITIALIZER;
static GHashTable *log_repeats;
static GString *log_buffer;
static bool log_is_writing;

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

static struct repeat *
take_repeat (const char *event)
{
  struct repeat *repeat;

  if (log_repeats == NULL)
    log_repeats = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  repeat = g_hash_table_lookup (log_repeats, event);
  if (repeat == NULL)
    {
      repeat = g_new0 (struct repeat, 1);
      g_hash_table_insert (log_repeats, g_strdup (event), repeat);
    }
  return repeat;
}

/* Returns whether a line may be written now; one that may not is counted. */
static bool
may_write (struct repeat *repeat, int64_t second)
{
  if (repeat->second != second)
    {
      repeat->second = second;
      repeat->written = 0;
    }
  if (repeat->written >= LINES_PER_SECOND || log_buffer->len >= BUFFER_BYTES)
    {
      repeat->left_out++;
      return false;
    }
  repeat->written++;
  return true;
}

/* A reader that has gone leaves nobody to tell. */
static void
write_all (const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t written = write (STDOUT_FILENO, bytes, length);

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return;
      bytes += written;
      length -= (size_t) written;
    }
}

static GString *
take_buffer (void)
{
  GString *full = log_buffer;

  log_buffer = g_string_sized_new (BUFFER_BYTES / 16);
  return full;
}

static void *
writer_thread (void *data)
{
  (void) data;
  for (;;)
    {
      GString *full;

      pthread_mutex_lock (&log_lock);
      while (log_buffer->len == 0)
        pthread_cond_wait (&log_filled, &log_lock);
      pthread_mutex_unlock (&log_lock);
      g_usleep (GATHER_US);
      pthread_mutex_lock (&log_lock);
      full = take_buffer ();
      pthread_mutex_unlock (&log_lock);
      write_all (full->str, full->len);
      g_string_free (full, TRUE);
    }
  return NULL;
}

static void
start_writer (void)
{
  pthread_t thread;

  if (log_is_writing)
    return;
  log_is_writing = pthread_create (&thread, NULL, writer_thread, NULL) == 0;
  if (!log_is_writing)
    return;
  pthread_detach (thread);
  pthread_setname_np (thread, "log");
}

void
pl_log_flush (void)
{
  GString *full;

  pthread_mutex_lock (&log_lock);
  full = log_buffer != NULL ? take_buffer () : NULL;
  pthread_mutex_unlock (&log_lock);
  if (full == NULL)
    return;
  write_all (full->str, full->len);
  g_string_free (full, TRUE);
}

static void
append_line (const char *event, enum pl_log_level level, json_t *fields, int left_out,
             int64_t now_us)
{
  json_t *line = json_pack ("{s:f,s:s,s:s,s:s}", "time", (double) now_us / G_USEC_PER_SEC, "level",
                            level_names[level], "name", log_name, "event", event);
  char *text;

  if (left_out > 0)
    json_object_set_new (line, "left_out", json_integer (left_out));
  if (fields != NULL)
    json_object_update (line, fields);
  text = json_dumps (line, JSON_COMPACT | JSON_REAL_PRECISION (16));
  g_string_append (log_buffer, text);
  g_string_append_c (log_buffer, '\n');
  free (text);
  json_decref (line);
}

void
pl_log (enum pl_log_level level, const char *event, json_t *fields)
{
  int64_t now_us = g_get_real_time ();
  struct repeat *repeat;

  if (level < log_level)
    {
      json_decref (fields);
      return;
    }
  pthread_mutex_lock (&log_lock);
  if (log_buffer == NULL)
    log_buffer = g_string_sized_new (BUFFER_BYTES / 16);
  repeat = take_repeat (event);
  if (may_write (repeat, now_us / G_USEC_PER_SEC))
    {
      append_line (event, level, fields, repeat->left_out, now_us);
      repeat->left_out = 0;
      start_writer ();
      pthread_cond_signal (&log_filled);
    }
  pthread_mutex_unlock (&log_lock);
  json_decref (fields);
}
