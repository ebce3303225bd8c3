/* Asynchronous log: one JSON object per line, written by a separate thread.
 *
 * pl_log() appends its line to a buffer, and the writer thread writes out the whole buffer at
 * once.  A slow or stopped reader of the output blocks only the writer thread: when the buffer is
 * full, further lines are suppressed.  Lines of one event are also limited per second.  The next
 * line of the event reports how many were suppressed, so none is lost without a trace.
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

#define LINES_PER_SECOND_MAX 400 /* of one event */
#define BUFFER_BYTES ((size_t) 256 << 10)
/* How long lines are buffered before they are written. */
#define FLUSH_DELAY_US 50000

struct event_rate
{
  int64_t second;
  int written;
  int suppressed;
};

static const char *const level_names[] = {"debug", "info", "warning", "error"};
static enum pl_log_level log_level = PL_LOG_INFO;
static char log_name[64];
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t log_not_empty = PTHREAD_COND_INITIALIZER;
static GHashTable *log_event_rates;
static GString *log_buffer;
static bool log_writer_started;

void
pl_log_configure (enum pl_log_level level, const char *name)
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

static struct event_rate *
ensure_event_rate (const char *event)
{
  struct event_rate *event_rate;

  if (log_event_rates == NULL)
    log_event_rates = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  event_rate = g_hash_table_lookup (log_event_rates, event);
  if (event_rate == NULL)
    {
      event_rate = g_new0 (struct event_rate, 1);
      g_hash_table_insert (log_event_rates, g_strdup (event), event_rate);
    }
  return event_rate;
}

/* Returns whether a line of the event may be written in SECOND; counts it as suppressed if not. */
static bool
may_write (struct event_rate *event_rate, int64_t second)
{
  if (event_rate->second != second)
    {
      event_rate->second = second;
      event_rate->written = 0;
    }
  if (event_rate->written >= LINES_PER_SECOND_MAX || log_buffer->len >= BUFFER_BYTES)
    {
      event_rate->suppressed++;
      return false;
    }
  event_rate->written++;
  return true;
}

/* Discards the rest when the reader has closed the output: there is nowhere to report the error. */
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
replace_buffer (void)
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
        pthread_cond_wait (&log_not_empty, &log_lock);
      pthread_mutex_unlock (&log_lock);
      g_usleep (FLUSH_DELAY_US);
      pthread_mutex_lock (&log_lock);
      full = replace_buffer ();
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

  if (log_writer_started)
    return;
  log_writer_started = pthread_create (&thread, NULL, writer_thread, NULL) == 0;
  if (!log_writer_started)
    return;
  pthread_detach (thread);
  pthread_setname_np (thread, "log");
}

void
pl_log_flush (void)
{
  GString *full;

  pthread_mutex_lock (&log_lock);
  full = log_buffer != NULL ? replace_buffer () : NULL;
  pthread_mutex_unlock (&log_lock);
  if (full == NULL)
    return;
  write_all (full->str, full->len);
  g_string_free (full, TRUE);
}

static void
append_line (const char *event, enum pl_log_level level, json_t *fields, int suppressed,
             int64_t now_us)
{
  json_t *line = json_pack ("{s:f,s:s,s:s,s:s}", "time", (double) now_us / G_USEC_PER_SEC, "level",
                            level_names[level], "name", log_name, "event", event);
  char *text;

  if (suppressed > 0)
    json_object_set_new (line, "left_out", json_integer (suppressed));
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
  struct event_rate *event_rate;

  if (level < log_level)
    {
      json_decref (fields);
      return;
    }
  pthread_mutex_lock (&log_lock);
  if (log_buffer == NULL)
    log_buffer = g_string_sized_new (BUFFER_BYTES / 16);
  event_rate = ensure_event_rate (event);
  if (may_write (event_rate, now_us / G_USEC_PER_SEC))
    {
      append_line (event, level, fields, event_rate->suppressed, now_us);
      event_rate->suppressed = 0;
      start_writer ();
      pthread_cond_signal (&log_not_empty);
    }
  pthread_mutex_unlock (&log_lock);
  json_decref (fields);
}
