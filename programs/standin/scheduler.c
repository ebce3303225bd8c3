/* A thread that calls functions when they are due, in order of time. */
#include "standin.h"

#include <pthread.h>

struct scheduled_call
{
  int64_t due_us;
  scheduler_function function;
  void *data;
};

static GMutex scheduler_lock;
static GCond scheduler_changed;
static GSequence *scheduled_calls;

static int
compare_by_due_time (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct scheduled_call *x = a;
  const struct scheduled_call *y = b;

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
      GSequenceIter *first = g_sequence_get_begin_iter (scheduled_calls);
      struct scheduled_call *scheduled_call;

      if (g_sequence_iter_is_end (first))
        {
          g_cond_wait (&scheduler_changed, &scheduler_lock);
          continue;
        }
      scheduled_call = g_sequence_get (first);
      if (scheduled_call->due_us > g_get_monotonic_time ())
        {
          g_cond_wait_until (&scheduler_changed, &scheduler_lock, scheduled_call->due_us);
          continue;
        }
      g_sequence_remove (first);
      g_mutex_unlock (&scheduler_lock);
      scheduled_call->function (scheduled_call->data);
      g_free (scheduled_call);
      g_mutex_lock (&scheduler_lock);
    }
  return NULL;
}

void
scheduler_start (void)
{
  pthread_t thread;

  scheduled_calls = g_sequence_new (NULL);
  pthread_create (&thread, NULL, scheduler_thread, NULL);
  pthread_detach (thread);
}

void
scheduler_call_after (int64_t delay_us, scheduler_function function, void *data)
{
  struct scheduled_call *scheduled_call = g_new0 (struct scheduled_call, 1);

  scheduled_call->due_us = g_get_monotonic_time () + delay_us;
  scheduled_call->function = function;
  scheduled_call->data = data;
  g_mutex_lock (&scheduler_lock);
  g_sequence_insert_sorted (scheduled_calls, scheduled_call, compare_by_due_time, NULL);
  g_cond_signal (&scheduler_changed);
  g_mutex_unlock (&scheduler_lock);
}
