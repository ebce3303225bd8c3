/* quarantine.h - requests whose fingerprint was in flight when servers died.
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

enum quarantine_verdict
{
  QUARANTINE_CLEAR,
  QUARANTINE_SUSPECT,   /* seen at one death: may run where no other suspect runs */
  QUARANTINE_CONVICTED, /* seen at two: is not run */
};

void quarantine_init (struct quarantine *quarantine);
void quarantine_free (struct quarantine *quarantine);

/* Notes that FINGERPRINT was in flight when SERVER died; ALONE when it ran there as the only
 * suspect.  Returns true when this is news worth telling. */
bool quarantine_note_death (struct quarantine *quarantine, uint64_t fingerprint, uint64_t server,
                            bool alone, int64_t now_us);

/* Takes a peer's word that FINGERPRINT, first seen at the death of SERVER, is convicted.  Returns
 * true when this is news. */
bool quarantine_convict (struct quarantine *quarantine, uint64_t fingerprint, uint64_t server,
                         int64_t now_us);

/* A suspect ended well: it is none.  Returns true when it was one. */
bool quarantine_note_success (struct quarantine *quarantine, uint64_t fingerprint);

enum quarantine_verdict quarantine_judge (const struct quarantine *quarantine,
                                          uint64_t fingerprint);

/* Returns the server at whose death FINGERPRINT was first seen, 0 for none. */
uint64_t quarantine_first_server (const struct quarantine *quarantine, uint64_t fingerprint);

/* Calls TELL for each entry that changed less than WITHIN_US ago. */
typedef void (*quarantine_tell) (void *data, uint64_t fingerprint, uint64_t server, bool convicted);
void quarantine_retell (const struct quarantine *quarantine, int64_t within_us, int64_t now_us,
                        quarantine_tell tell, void *data);

/* Forgets what is older than the time limit. */
void quarantine_expire (struct quarantine *quarantine, int64_t now_us);

#endif
