/* wait_queue.h - requests that wait for a slot of a backend server, in the order of placement.
 *
 * API tier: private.
 *
 * The order is by priority; within one priority, callers' retries after a refusal go before new
 * requests, and then the oldest goes first.  An entry leaves the queue at the end of its waiting
 * time at the latest, so that none waits for ever behind more urgent ones.
 *
 * Times are in microseconds.  Entries belong to the caller, which embeds them in its own structures
 * and removes them before it frees them.
 */
#ifndef POMELOLATCH_WAIT_QUEUE_H
#define POMELOLATCH_WAIT_QUEUE_H

#include "internal/placement.h"

/* Entries.  Bounds the time for a search of the queue, which each answer of a server causes. */
#define PL_WAIT_QUEUE_MAX 512

/* Entries that pl_wait_queue_mark_ahead() marks, each of which costs the choice of a server. */
#define PL_WAIT_QUEUE_AHEAD_MAX 4

/* What waits. */
struct pl_wait_entry
{
  int service;          /* handle */
  int priority;         /* 0 is the most urgent */
  bool is_caller_retry; /* of a request that was refused */
  int64_t arrived_us;
  int64_t until_us; /* end of the waiting time */
  /* state */
  bool is_placeable; /* not tried yet, or a slot may have become free since */
  int awaited_count; /* 0: it waits for any server of the service */
  uint64_t awaited[PL_PLACEMENT_RANKED_MAX]; /* hashes of servers */
};

struct pl_wait_queue
{
  GPtrArray *entries; /* of struct pl_wait_entry, in the order of placement */
  bool has_placeable; /* one of them may be */
};

void pl_wait_queue_init (struct pl_wait_queue *queue);
void pl_wait_queue_clear (struct pl_wait_queue *queue);

/* Returns the number of entries. */
int pl_wait_queue_length (const struct pl_wait_queue *queue);
/* Returns the number of entries that wait for servers of SERVICE. */
int pl_wait_queue_count (const struct pl_wait_queue *queue, int service);

/* Adds ENTRY, marked as placeable.  Returns the entry that leaves the queue because it is full,
 * which is the last one and may be ENTRY itself, or NULL. */
struct pl_wait_entry *pl_wait_queue_add (struct pl_wait_queue *queue, struct pl_wait_entry *entry);

/* Removes ENTRY, which must be in the queue. */
void pl_wait_queue_remove (struct pl_wait_queue *queue, struct pl_wait_entry *entry);

/* Records that ENTRY waits for the servers in CHOICE. */
void pl_wait_entry_await (struct pl_wait_entry *entry, const struct pl_placement_choice *choice);

/* Marks the entries that wait for BACKEND, which may have a free slot. */
void pl_wait_queue_mark_server (struct pl_wait_queue *queue, const struct pl_backend *backend);

/* Marks the first entries that go before ENTRY, which is not in the queue yet, and wait for servers
 * of the same service: a slot may have become free without an answer, and is theirs. */
void pl_wait_queue_mark_ahead (struct pl_wait_queue *queue, const struct pl_wait_entry *entry);

/* Marks all entries. */
void pl_wait_queue_mark_all (struct pl_wait_queue *queue);

/* Returns the first marked entry from *POSITION on and takes its mark, or NULL.  *POSITION, 0 at
 * first, is that of the entry behind it; a caller that removes the entry decrements it. */
struct pl_wait_entry *pl_wait_queue_next (struct pl_wait_queue *queue, guint *position);

#endif
