/* entry.h - the caller's port and the forward port, and the attempts made for their requests.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_ENTRY_H
#define POMELOLATCH_ENTRY_H

#include "internal/exchange.h"
#include "internal/peer_rpc.h"

struct pl_entry;

struct pl_entry_options
{
  const char *caller_address;
  const char *forward_address; /* for other entry hosts; authenticated by SECRET */
  uint8_t secret[PL_PEER_SECRET_BYTES];
  int64_t body_max; /* bytes */
  struct pl_http_client *client;
  void (*post) (void *data, const struct pl_event *event);
  void *data;
};

/* Returns a listening entry, or NULL with errno set. */
struct pl_entry *pl_entry_new (const struct pl_entry_options *options);

/* Stops listening and ends what is open; no effect may be carried out afterwards. */
void pl_entry_free (struct pl_entry *entry);

/* Carries out a dispatch, forward, refusal, replay, cancellation or probe. */
void pl_entry_execute (struct pl_entry *entry, struct pl_effect *effect);

/* From now on each answer ends its connection, so that none is open when the process ends. */
void pl_entry_begin_close (struct pl_entry *entry);

/* For tests and cuts on purpose: forwards to PEER fail while CUT. */
void pl_entry_cut (struct pl_entry *entry, uint64_t peer, bool cut);

/* Shared by entry.c, caller_http.c and attempts.c. */
struct pl_entry
{
  struct pl_entry_options options;
  struct MHD_Daemon *callers;
  struct MHD_Daemon *forwards;
  uint64_t next_id;
  GMutex lock;
  GHashTable *exchanges; /* id -> struct pl_exchange, one reference each */
  GHashTable *cut;       /* of peer id */
  pthread_t watcher;
  uint32_t closing; /* a graceful stop has begun: no connection is kept */
  uint32_t stopping;
};

/* caller_http.c */
struct MHD_Daemon *pl_callers_start (struct pl_entry *entry, const char *address, bool forwarded);
void pl_callers_watch (struct pl_entry *entry);

/* attempts.c */
void pl_attempt_start (struct pl_entry *entry, struct pl_exchange *exchange,
                       const struct pl_effect *effect);
void pl_attempt_not_made (struct pl_entry *entry, uint64_t request, uint32_t attempt,
                          enum pl_outcome outcome);
void pl_attempt_probe (struct pl_entry *entry, const struct pl_effect *effect);

/* entry.c */
struct pl_exchange *pl_entry_find (struct pl_entry *entry, uint64_t id);
/* Returns references to all open exchanges. An exchange's lock may be held while the table's is
 * taken, never the other way round. */
GPtrArray *pl_entry_list (struct pl_entry *entry);
void pl_entry_add (struct pl_entry *entry, struct pl_exchange *exchange);
void pl_entry_remove (struct pl_entry *entry, uint64_t id);
void pl_entry_forward_mac (const struct pl_entry *entry, const char *method, const char *target,
                           const char *account, const char *deadline, char *text);
/* Puts a refusal in place of an answer.  The caller holds the exchange's lock. */
void pl_entry_set_refusal (struct pl_exchange *exchange, int status, const char *reason,
                           bool operation_ran, bool attempt_ran, int retry_after_ms);

#endif
