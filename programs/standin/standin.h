/* standin.h - small stand-ins for the platform and the backend servers.
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

/* Keys that tests use start so; a server that sees one has been shown a key. */
#define STANDIN_KEY_MARK "plk_"

/* table.c: rows of JSON with versions, and conditional transactions. */
struct table;
struct table *table_new (void);
/* Each returns the answer, owned by the caller, and sets *STATUS. */
json_t *table_read (struct table *table, const json_t *body, unsigned *status);
json_t *table_transact (struct table *table, const json_t *body, unsigned *status);
/* Returns transactions and reads so far. */
void table_counts (struct table *table, uint64_t *reads, uint64_t *writes);

/* journal.c: what the servers ran, in memory. */
void journal_note_run (const char *account, const char *operation, const char *server);
void journal_note_key (void);
void journal_note_cancelled (void);
/* Returns everything noted; the caller owns it. */
json_t *journal_report (void);

/* scheduler.c: calls a function later, on one thread. */
typedef void (*scheduler_function) (void *data);
void scheduler_start (void);
void scheduler_call (int64_t delay_us, scheduler_function function, void *data);

/* servers.c: backend servers. */
struct servers_options
{
  int think_ms;
  int answer_bytes;
  uint32_t seed;
};

struct server;
void servers_init (const struct servers_options *options);
/* Returns a running server, or NULL when ADDRESS can not be bound. */
struct server *server_new (const char *name, const char *address, int slots);
/* Sets a fault: "crash", "silent", "talking", "leave", "stay", "lie", "honest", "slow", "quick",
 * "shed", "take".
 * Returns false for another word. */
bool server_set_fault (struct server *server, const char *fault);
const char *server_name (const struct server *server);
bool server_is_leaving (const struct server *server);
bool server_is_up (const struct server *server);

#endif
