/* The queue of requests that wait for a slot of a backend server. */
#include "internal/wait_queue.h"

#include <assert.h>
#include <string.h>

static struct pl_wait_entry *
entry_at (const struct pl_wait_queue *queue, guint index)
{
  return g_ptr_array_index (queue->entries, index);
}

void
pl_wait_queue_init (struct pl_wait_queue *queue)
{
  queue->entries = g_ptr_array_new ();
  queue->has_placeable = false;
}

void
pl_wait_queue_clear (struct pl_wait_queue *queue)
{
  g_ptr_array_free (queue->entries, TRUE);
}

int
pl_wait_queue_length (const struct pl_wait_queue *queue)
{
  return (int) queue->entries->len;
}

int
pl_wait_queue_count (const struct pl_wait_queue *queue, int service)
{
  int count = 0;

  for (guint i = 0; i < queue->entries->len; i++)
    count += entry_at (queue, i)->service == service;
  return count;
}

static int
compare_entries (const struct pl_wait_entry *a, const struct pl_wait_entry *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->is_caller_retry != b->is_caller_retry)
    return a->is_caller_retry ? -1 : 1;
  return a->arrived_us < b->arrived_us ? -1 : 1;
}

struct pl_wait_entry *
pl_wait_queue_add (struct pl_wait_queue *queue, struct pl_wait_entry *entry)
{
  guint at = queue->entries->len;

  while (at > 0 && compare_entries (entry, entry_at (queue, at - 1)) < 0)
    at--;
  entry->is_placeable = true;
  queue->has_placeable = true;
  g_ptr_array_insert (queue->entries, (gint) at, entry);
  if (queue->entries->len <= PL_WAIT_QUEUE_MAX)
    return NULL;
  return g_ptr_array_steal_index (queue->entries, queue->entries->len - 1);
}

void
pl_wait_queue_remove (struct pl_wait_queue *queue, struct pl_wait_entry *entry)
{
  gboolean is_found = g_ptr_array_remove (queue->entries, entry);

  assert (is_found);
  (void) is_found;
}

void
pl_wait_entry_await (struct pl_wait_entry *entry, const struct pl_placement_choice *choice)
{
  entry->awaited_count = choice->awaited_count;
  memcpy (entry->awaited, choice->awaited, sizeof entry->awaited);
}

static bool
is_waiting_for (const struct pl_wait_entry *entry, const struct pl_backend *backend)
{
  if (entry->awaited_count == 0)
    return entry->service == backend->service;
  for (int i = 0; i < entry->awaited_count; i++)
    if (entry->awaited[i] == backend->hash)
      return true;
  return false;
}

void
pl_wait_queue_mark_server (struct pl_wait_queue *queue, const struct pl_backend *backend)
{
  for (guint i = 0; i < queue->entries->len; i++)
    {
      struct pl_wait_entry *entry = entry_at (queue, i);

      entry->is_placeable = entry->is_placeable || is_waiting_for (entry, backend);
      queue->has_placeable = queue->has_placeable || entry->is_placeable;
    }
}

void
pl_wait_queue_mark_ahead (struct pl_wait_queue *queue, const struct pl_wait_entry *entry)
{
  int marked = 0;

  for (guint i = 0; i < queue->entries->len && marked < PL_WAIT_QUEUE_AHEAD_MAX; i++)
    {
      struct pl_wait_entry *ahead = entry_at (queue, i);

      if (compare_entries (ahead, entry) > 0)
        break;
      if (ahead->service != entry->service)
        continue;
      ahead->is_placeable = true;
      queue->has_placeable = true;
      marked++;
    }
}

void
pl_wait_queue_mark_all (struct pl_wait_queue *queue)
{
  for (guint i = 0; i < queue->entries->len; i++)
    entry_at (queue, i)->is_placeable = true;
  queue->has_placeable = queue->entries->len > 0;
}

struct pl_wait_entry *
pl_wait_queue_next (struct pl_wait_queue *queue, guint *position)
{
  while (queue->has_placeable && *position < queue->entries->len)
    {
      struct pl_wait_entry *entry = entry_at (queue, *position);

      ++*position;
      if (!entry->is_placeable)
        continue;
      entry->is_placeable = false;
      return entry;
    }
  queue->has_placeable = false;
  return NULL;
}
