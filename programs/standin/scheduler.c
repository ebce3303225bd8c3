/* One thread that calls functions when they are due, in order of time. */
#include "standin.h"

#include <pthread.h>

struct entry
{
  int64_t due_us;
  scheduler_function function;
  void *data;
};

static GMutex scheduler_lock;
static GCond scheduler_changed;
static GSequence *entries;

static int
compare_entries (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct entry *x = a;
  const struct entry *y = b;

  (void) data;
  return (x->due_us > y->due_us) - (x->due_us < y->due_us);
}

static void *
scheduler_thread (void *data)
{
  (void) data;
  g_mutex_lock (&scheduler_lock);
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (entries);
      struct entry *entry;

      if (g_sequence_iter_is_end (first))
        {
          g_cond_wait (&scheduler_changed, &scheduler_lock);
          continue;
        }
      entry = g_sequence_get (first);
      if (entry->due_us > g_get_monotonic_time ())
        {
          g_cond_wait_until (&scheduler_changed, &scheduler_lock, entry->due_us);
          continue;
        }
      g_sequence_remove (first);
      g_mutex_unlock (&scheduler_lock);
      entry->function (entry->data);
      g_free (entry);
      g_mutex_lock (&scheduler_lock);
    }
  return NULL;
}

void
scheduler_start (void)
{
  pthread_t thread;

  entries = g_sequence_new (NULL);
  pthread_create (&thread, NULL, scheduler_thread, NULL);
  pthread_detach (thread);
}

void
scheduler_call (int64_t delay_us, scheduler_function function, void *data)
{
  struct entry *entry = g_new0 (struct entry, 1);

  entry->due_us = g_get_monotonic_time () + delay_us;
  entry->function = function;
  entry->data = data;
  g_mutex_lock (&scheduler_lock);
  g_sequence_insert_sorted (entries, entry, compare_entries, NULL);
  g_cond_signal (&scheduler_changed);
  g_mutex_unlock (&scheduler_lock);
}
