/* Quarantine of requests that make servers fail.
 *
 * When a server fails, each request in flight there becomes a suspect, which may run
 * again.  If a second server fails while no other suspect runs there, the request is
 * confirmed as the cause and its fingerprint is quarantined.  Other requests that were
 * at the first server succeed at their second and are cleared.  The reducer of
 * pomelolatchd sends a suspect only to a server where no other suspect runs, so that a
 * request that crashes servers costs two of them.
 */
#include "internal/quarantine.h"

#define QUARANTINE_PERIOD_US INT64_C (600000000)
#define SUSPICION_PERIOD_US INT64_C (60000000)
#define ENTRIES_MAX 4096

struct quarantine_entry
{
  uint64_t fingerprint;
  uint64_t first_server;
  bool confirmed;
  int64_t since_us;
};

void
quarantine_init (struct quarantine *quarantine)
{
  quarantine->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
quarantine_free (struct quarantine *quarantine)
{
  g_hash_table_destroy (quarantine->entries);
}

/* Returns a new entry, or NULL when the table is full. */
static struct quarantine_entry *
add_entry (struct quarantine *quarantine, uint64_t fingerprint, uint64_t server, int64_t now_us)
{
  struct quarantine_entry *entry;

  if (g_hash_table_size (quarantine->entries) >= ENTRIES_MAX)
    return NULL;
  entry = g_new0 (struct quarantine_entry, 1);
  entry->fingerprint = fingerprint;
  entry->first_server = server;
  entry->since_us = now_us;
  g_hash_table_insert (quarantine->entries, &entry->fingerprint, entry);
  return entry;
}

bool
quarantine_confirm (struct quarantine *quarantine, uint64_t fingerprint, uint64_t server,
                    int64_t now_us)
{
  struct quarantine_entry *entry = g_hash_table_lookup (quarantine->entries, &fingerprint);

  if (entry == NULL)
    entry = add_entry (quarantine, fingerprint, server, now_us);
  if (entry == NULL || entry->confirmed)
    return false;
  entry->confirmed = true;
  entry->since_us = now_us;
  return true;
}

bool
quarantine_record_failure (struct quarantine *quarantine, uint64_t fingerprint, uint64_t server,
                           bool is_only_suspect, int64_t now_us)
{
  struct quarantine_entry *entry = g_hash_table_lookup (quarantine->entries, &fingerprint);

  if (entry == NULL)
    return add_entry (quarantine, fingerprint, server, now_us) != NULL;
  entry->since_us = now_us;
  if (entry->confirmed || entry->first_server == server || !is_only_suspect)
    return false;
  entry->confirmed = true;
  return true;
}

bool
quarantine_record_success (struct quarantine *quarantine, uint64_t fingerprint)
{
  const struct quarantine_entry *entry = g_hash_table_lookup (quarantine->entries, &fingerprint);

  if (entry == NULL || entry->confirmed)
    return false;
  return g_hash_table_remove (quarantine->entries, &fingerprint);
}

enum quarantine_status
quarantine_get_status (const struct quarantine *quarantine, uint64_t fingerprint)
{
  const struct quarantine_entry *entry = g_hash_table_lookup (quarantine->entries, &fingerprint);

  if (entry == NULL)
    return QUARANTINE_CLEAR;
  return entry->confirmed ? QUARANTINE_CONFIRMED : QUARANTINE_SUSPECTED;
}

uint64_t
quarantine_first_server (const struct quarantine *quarantine, uint64_t fingerprint)
{
  const struct quarantine_entry *entry = g_hash_table_lookup (quarantine->entries, &fingerprint);

  return entry != NULL ? entry->first_server : 0;
}

void
quarantine_visit_recent (const struct quarantine *quarantine, int64_t within_us, int64_t now_us,
                         quarantine_visitor visit, void *data)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct quarantine_entry *entry = value;

      if (now_us - entry->since_us <= within_us && entry->first_server != 0)
        visit (data, entry->fingerprint, entry->first_server, entry->confirmed);
    }
}

void
quarantine_expire (struct quarantine *quarantine, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct quarantine_entry *entry = value;
      int64_t limit = entry->confirmed ? QUARANTINE_PERIOD_US : SUSPICION_PERIOD_US;

      if (now_us - entry->since_us > limit)
        g_hash_table_iter_remove (&iter);
    }
}
