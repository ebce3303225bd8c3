/* entry.h - the callers' port and the forward port, and the attempts made for their requests.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_ENTRY_H
#define POMELOLATCH_ENTRY_H

#include "internal/exchange.h"
#include "internal/peer_rpc.h"

/* Names the attempt in a request to a server or another entry host, and in its answer. */
#define PL_ATTEMPT_ECHO_HEADER "Pomelolatch-Request"

struct pl_entry;
struct pl_lingering;
struct pl_reactor;

struct pl_entry_options
{
  const char *caller_address;
  const char *forward_address; /* for other entry hosts, authenticated with SECRET */
  uint8_t secret[PL_PEER_SECRET_BYTES];
  int64_t body_max; /* bytes */
  struct pl_http_client *client;
  void (*post) (void *data, const struct pl_event *event);
  void *data;
};

/* Opens both ports.  Returns an entry, or NULL with errno set. */
struct pl_entry *pl_entry_new (const struct pl_entry_options *options);

/* Stops listening and ends all open requests; no effect may be executed afterwards. */
void pl_entry_free (struct pl_entry *entry);

/* Waits until callers have closed the connections that the entry has ended, for a short time at
 * most. */
void pl_entry_finish_closing (struct pl_entry *entry);

/* Executes a dispatch, forward, refusal, replay, cancellation or probe. */
void pl_entry_execute (struct pl_entry *entry, struct pl_effect *effect);

/* Makes each later answer close its connection, so that none is open when the process ends. */
void pl_entry_disable_keepalive (struct pl_entry *entry);

/* Fault injection: forwards to PEER fail while PARTITIONED. */
void pl_entry_set_partitioned (struct pl_entry *entry, uint64_t peer, bool partitioned);

/* Shared by entry.c, caller_http.c and attempts.c. */
struct pl_entry
{
  struct pl_entry_options options;
  struct MHD_Daemon *caller_daemon;
  struct MHD_Daemon *forward_daemon;
  uint64_t next_id;
  GMutex lock;
  GHashTable *exchanges;       /* id -> struct pl_exchange, one reference each */
  GHashTable *partitioned;     /* set of peer ids */
  pthread_t connection_thread; /* runs the reactor below */
  struct pl_reactor *reactor;
  int poll_timer;                 /* finds callers that have closed their connections */
  struct pl_lingering *lingering; /* used on that thread only */
  GQueue closing;                 /* descriptors that are to linger; guarded by lock */
  unsigned lingering_count;       /* as of the last poll; guarded by lock */
  uint32_t keepalive_disabled;    /* a graceful stop has begun */
  uint32_t stopping;
};

/* caller_http.c */
/* Opens the callers' port or, if FORWARDED, the port for requests from other entry hosts. */
struct MHD_Daemon *pl_callers_start (struct pl_entry *entry, const char *address, bool forwarded);
void pl_callers_abort_disconnected (struct pl_entry *entry);

/* attempts.c */
void pl_attempt_start (struct pl_entry *entry, struct pl_exchange *exchange,
                       const struct pl_effect *effect);
void pl_attempt_report_skipped (struct pl_entry *entry, uint64_t request, uint32_t attempt,
                                enum pl_outcome outcome);
void pl_attempt_probe (struct pl_entry *entry, const struct pl_effect *effect);

/* entry.c */
/* Has the socket FD, which its owner is about to close, linger. */
void pl_entry_linger (struct pl_entry *entry, int fd);
struct pl_exchange *pl_entry_find (struct pl_entry *entry, uint64_t id);
/* Returns references to all open exchanges.  Lock order: an exchange's lock before the table's. */
GPtrArray *pl_entry_list (struct pl_entry *entry);
void pl_entry_add (struct pl_entry *entry, struct pl_exchange *exchange);
void pl_entry_remove (struct pl_entry *entry, uint64_t id);
/* Stores in TEXT the hexadecimal MAC by which a forwarded request proves that an entry host sent
 * it. */
void pl_entry_compute_forward_mac (const struct pl_entry *entry, const char *method,
                                   const char *target, const char *account, const char *deadline,
                                   char *text);
/* Replaces the answer by a refusal.  The caller holds the exchange's lock. */
void pl_entry_set_refusal (struct pl_exchange *exchange, int status, const char *reason,
                           bool operation_ran, bool attempt_ran, int retry_after_ms);

#endif
