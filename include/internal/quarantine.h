/* quarantine.h - fingerprints of requests that were in flight when servers failed.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_QUARANTINE_H
#define POMELOLATCH_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct quarantine
{
  GHashTable *entries; /* fingerprint -> struct quarantine_entry */
};

enum quarantine_status
{
  QUARANTINE_CLEAR,
  QUARANTINE_SUSPECTED, /* was in flight at the failure of one server */
  QUARANTINE_CONFIRMED, /* made two servers fail: must not run */
};

void quarantine_init (struct quarantine *quarantine);
void quarantine_free (struct quarantine *quarantine);

/* Records that FINGERPRINT was in flight when SERVER failed; IS_ONLY_SUSPECT: it was the only
 * suspect there.  Returns true when peers should learn of it. */
bool quarantine_record_failure (struct quarantine *quarantine, uint64_t fingerprint,
                                uint64_t server, bool is_only_suspect, int64_t now_us);

/* Applies a peer's report that FINGERPRINT, first seen at the failure of SERVER, is confirmed.
 * Returns true when this host did not know it. */
bool quarantine_confirm (struct quarantine *quarantine, uint64_t fingerprint, uint64_t server,
                         int64_t now_us);

/* Clears a suspect whose request succeeded.  Returns true when it was one. */
bool quarantine_record_success (struct quarantine *quarantine, uint64_t fingerprint);

enum quarantine_status quarantine_get_status (const struct quarantine *quarantine,
                                              uint64_t fingerprint);

/* Returns the server at whose failure FINGERPRINT was first seen, 0 for none. */
uint64_t quarantine_first_server (const struct quarantine *quarantine, uint64_t fingerprint);

typedef void (*quarantine_visitor) (void *data, uint64_t fingerprint, uint64_t server,
                                    bool confirmed);

/* Calls VISIT for each entry that changed at most WITHIN_US ago. */
void quarantine_visit_recent (const struct quarantine *quarantine, int64_t within_us,
                              int64_t now_us, quarantine_visitor visit, void *data);

/* Removes the entries that are older than their time limit. */
void quarantine_expire (struct quarantine *quarantine, int64_t now_us);

#endif
