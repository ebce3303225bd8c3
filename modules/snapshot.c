/* Publishes look-up snapshots by epoch-based reclamation (Concurrency Kit).
 *
 * A reader records the epoch in which it entered, and a replaced snapshot is
 * freed when every reader has left that epoch.  Each thread has one epoch
 * record, registered at its first read and unregistered when the thread ends.
 */
#include "internal/snapshot.h"

#include <ck_epoch.h>
#include <ck_pr.h>
#include <pthread.h>
#include <stdlib.h>

struct retired
{
  ck_epoch_entry_t entry;
  struct pl_lookup *lookup;
};

static ck_epoch_t epoch;
static pthread_once_t epoch_once = PTHREAD_ONCE_INIT;
static pthread_key_t record_key;
static struct pl_lookup *current;

static void
unregister_record (void *record)
{
  ck_epoch_unregister (record);
}

static void
init_epoch (void)
{
  ck_epoch_init (&epoch);
  pthread_key_create (&record_key, unregister_record);
}

static ck_epoch_record_t *
ensure_record (void)
{
  ck_epoch_record_t *record;

  pthread_once (&epoch_once, init_epoch);
  record = pthread_getspecific (record_key);
  if (record != NULL)
    return record;
  record = ck_epoch_recycle (&epoch, NULL);
  if (record == NULL)
    {
      record = aligned_alloc (CK_MD_CACHELINE, (sizeof *record + CK_MD_CACHELINE - 1)
                                                   / CK_MD_CACHELINE * CK_MD_CACHELINE);
      if (record == NULL)
        abort ();
      ck_epoch_register (&epoch, record, NULL);
    }
  pthread_setspecific (record_key, record);
  return record;
}

static void
free_retired (ck_epoch_entry_t *entry)
{
  struct retired *retired = (struct retired *) entry;

  pl_lookup_free (retired->lookup);
  g_free (retired);
}

void
pl_snapshot_publish (struct pl_lookup *lookup)
{
  ck_epoch_record_t *record = ensure_record ();
  struct pl_lookup *previous = ck_pr_load_ptr (&current);

  ck_pr_fence_store ();
  ck_pr_store_ptr (&current, lookup);
  if (previous != NULL)
    {
      struct retired *retired = g_new0 (struct retired, 1);

      retired->lookup = previous;
      ck_epoch_call (record, &retired->entry, free_retired);
    }
  ck_epoch_poll (record);
}

const struct pl_lookup *
pl_snapshot_begin (void)
{
  ck_epoch_begin (ensure_record (), NULL);
  return ck_pr_load_ptr (&current);
}

void
pl_snapshot_end (void)
{
  ck_epoch_end (ensure_record (), NULL);
}
