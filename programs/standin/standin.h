/* standin.h - simulated platform and backend servers.
 *
 * API tier: private, for tests and demonstrations.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/* Prefix of all keys that tests use.  A server that receives it was sent a caller's key. */
#define STANDIN_KEY_PREFIX "plk_"

/* table.c: versioned JSON rows and conditional transactions. */
struct table;
struct table *table_new (void);
/* Each returns the answer, owned by the caller, and sets *STATUS. */
json_t *table_read (struct table *table, const json_t *body, unsigned *status);
json_t *table_transact (struct table *table, const json_t *body, unsigned *status);
/* Sets the number of read calls and transactions so far. */
void table_get_counts (struct table *table, uint64_t *reads, uint64_t *writes);

/* journal.c: an in-memory record of what the servers ran. */
/* Records a run; OPERATION is the idempotency key, or NULL. */
void journal_record_run (const char *account, const char *operation, const char *server);
/* Counts a request that contained a caller's key. */
void journal_record_key (void);
/* Counts a request whose connection ended before its answer. */
void journal_record_cancelled (void);
/* Returns the whole journal; the caller owns it. */
json_t *journal_report (void);

/* scheduler.c: calls functions after a delay, on a thread of its own. */
typedef void (*scheduler_function) (void *data);
void scheduler_start (void);
void scheduler_call_after (int64_t delay_us, scheduler_function function, void *data);

/* servers.c: backend servers. */
struct servers_options
{
  int think_ms;
  int answer_bytes;
  uint32_t seed;
};

struct server;
void servers_init (const struct servers_options *options);
/* Returns a running server, or NULL when ADDRESS cannot be bound. */
struct server *server_new (const char *name, const char *address, int slots);
/* Sets or ends a fault; returns false for an unknown one.  "crash" needs no call to end it, the
 * others end with the second word: "silent" / "talking" (no answers), "leave" / "stay" (announces
 * its shutdown), "lie" / "honest" (reports no load), "slow" / "quick" (ten times the processing
 * time), "shed" / "take" (sheds each request). */
bool server_set_fault (struct server *server, const char *fault);
const char *server_name (const struct server *server);
bool server_is_leaving (const struct server *server);
bool server_is_up (const struct server *server);

#endif
