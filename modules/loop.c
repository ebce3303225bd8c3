/* The thread that passes events to the reducer and executes its effects.
 *
 * Events come through a ring buffer with many producers and one consumer
 * (Concurrency Kit), so posting never takes a lock.  The consumer waits in
 * poll() on an eventfd for at most one tick; a producer writes to the eventfd
 * only while the consumer has set "sleeping".
 */
#include "internal/loop.h"
#include "internal/clock.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <poll.h>
#include <pthread.h>
#include <sched.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define RING_SIZE 16384
#define TICK_MS 10
#define TICK_US INT64_C (10000)
#define EVENTS_PER_ITERATION 256

struct item
{
  bool is_report; /* else an event */
  struct pl_event event;
  json_t **report;
  GMutex *lock;
  GCond *done;
};

struct pl_loop
{
  struct pl_loop_options options;
  pthread_t thread;
  ck_ring_t ring;
  ck_ring_buffer_t buffer[RING_SIZE];
  int wakeup;
  uint32_t sleeping;
  uint32_t stopping;
};

static void
enqueue (struct pl_loop *loop, struct item *item)
{
  uint64_t one = 1;

  while (!ck_ring_enqueue_mpsc (&loop->ring, loop->buffer, item))
    sched_yield ();
  ck_pr_fence_memory ();
  if (ck_pr_load_32 (&loop->sleeping) != 0 && write (loop->wakeup, &one, sizeof one) < 0)
    return; /* the counter is at its maximum: the consumer wakes up anyway */
}

void
pl_loop_post (struct pl_loop *loop, const struct pl_event *event)
{
  struct item *item = g_new (struct item, 1);

  item->is_report = false;
  item->event = *event;
  enqueue (loop, item);
}

json_t *
pl_loop_report (struct pl_loop *loop)
{
  struct item *item = g_new0 (struct item, 1);
  json_t *report = NULL;
  GMutex lock;
  GCond done;

  g_mutex_init (&lock);
  g_cond_init (&done);
  item->is_report = true;
  item->report = &report;
  item->lock = &lock;
  item->done = &done;
  g_mutex_lock (&lock);
  enqueue (loop, item);
  while (report == NULL)
    g_cond_wait (&done, &lock);
  g_mutex_unlock (&lock);
  g_mutex_clear (&lock);
  g_cond_clear (&done);
  return report;
}

static void
run_effects (struct pl_loop *loop, struct pl_effects *effects)
{
  int64_t now_us = pl_clock_now_us ();

  for (int i = 0; i < effects->count; i++)
    {
      struct pl_effect *effect = &effects->items[i];

      if (now_us > effect->valid_until_us)
        loop->options.on_expired (loop->options.data, effect);
      else
        loop->options.execute (loop->options.data, effect);
    }
  pl_effects_clear (effects);
}

static void
process_item (struct pl_loop *loop, struct item *item, struct pl_effects *effects)
{
  if (item->is_report)
    {
      g_mutex_lock (item->lock);
      *item->report = pl_core_report (loop->options.core, pl_clock_now_us ());
      g_cond_signal (item->done);
      g_mutex_unlock (item->lock);
      return;
    }
  item->event.now_us = pl_clock_now_us ();
  pl_core_step (loop->options.core, &item->event, effects);
  if (item->event.type == PL_EVENT_OUTCOME)
    g_free ((char *) item->event.u.outcome.answer);
  if (item->event.type == PL_EVENT_LEAVING_LIST)
    g_free ((uint64_t *) item->event.u.leaving.servers);
  if (item->event.type == PL_EVENT_STORE)
    {
      json_decref (item->event.u.store.releases);
      json_decref (item->event.u.store.snapshot);
    }
}

static void
wait_for_event (struct pl_loop *loop)
{
  struct pollfd wakeup = {.fd = loop->wakeup, .events = POLLIN};
  uint64_t count;

  ck_pr_store_32 (&loop->sleeping, 1);
  ck_pr_fence_memory ();
  if (ck_ring_size (&loop->ring) == 0 && poll (&wakeup, 1, TICK_MS) > 0
      && read (loop->wakeup, &count, sizeof count) < 0)
    count = 0;
  ck_pr_store_32 (&loop->sleeping, 0);
}

static void *
loop_thread (void *data)
{
  struct pl_loop *loop = data;
  struct pl_effects effects = {0};
  struct item tick = {.event.type = PL_EVENT_TICK};
  int64_t last_tick_us = 0;
  struct item *item;

  while (ck_pr_load_32 (&loop->stopping) == 0)
    {
      for (int i = 0; i < EVENTS_PER_ITERATION; i++)
        {
          if (!ck_ring_dequeue_mpsc (&loop->ring, loop->buffer, &item))
            break;
          process_item (loop, item, &effects);
          run_effects (loop, &effects);
          g_free (item);
        }
      if (pl_clock_now_us () - last_tick_us >= TICK_US)
        {
          last_tick_us = pl_clock_now_us ();
          process_item (loop, &tick, &effects);
          run_effects (loop, &effects);
        }
      if (ck_ring_size (&loop->ring) == 0)
        wait_for_event (loop);
    }
  pl_effects_free (&effects);
  return NULL;
}

struct pl_loop *
pl_loop_new (const struct pl_loop_options *options)
{
  struct pl_loop *loop = g_new0 (struct pl_loop, 1);

  loop->options = *options;
  ck_ring_init (&loop->ring, RING_SIZE);
  loop->wakeup = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  return loop;
}

void
pl_loop_start (struct pl_loop *loop)
{
  pthread_create (&loop->thread, NULL, loop_thread, loop);
  pthread_setname_np (loop->thread, "reducer");
}

void
pl_loop_free (struct pl_loop *loop)
{
  struct item *item;

  ck_pr_store_32 (&loop->stopping, 1);
  pthread_join (loop->thread, NULL);
  while (ck_ring_dequeue_mpsc (&loop->ring, loop->buffer, &item))
    {
      if (item->event.type == PL_EVENT_MESSAGE)
        pl_message_clear (&item->event.u.message);
      g_free (item);
    }
  pl_core_free (loop->options.core);
  close (loop->wakeup);
  g_free (loop);
}
