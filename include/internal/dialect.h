/* dialect.h - interface to a platform's adapter: its protocol with callers, servers and its store.
 *
 * API tier: private.
 *
 * The adapter of a platform defines these tables; no other code contains the platform's names.
 */
#ifndef POMELOLATCH_DIALECT_H
#define POMELOLATCH_DIALECT_H

#include "internal/http_client.h"
#include "internal/router.h"
#include "pomelolatch/schema.h"

/* Returns the index of the region with this name, which is added if new, or PL_NONE when there are
 * too many regions. */
typedef int (*pl_region_function) (void *data, const char *region);

/* The DATA of decode_row. */
struct pl_regions
{
  pl_region_function find;
  void *data;
};

struct pl_dialect
{
  /* Names of headers. */
  const char *request_id;      /* from callers, of one attempt; servers echo it */
  const char *deadline;        /* milliseconds until the sender's timeout */
  const char *account;         /* to servers: the account whose API key the request has */
  const char *expected_server; /* to servers: id of the only server that may run the request */
  const char *not_run;         /* from servers: the request did not run */
  const char *load;            /* from servers; parsed by read_load */
  const char *rate_limit;      /* from servers; parsed by read_rate_limit */
  const char *cold_time;     /* from health checks: milliseconds for which the server stays cold */
  const char *server_id;     /* from health checks */
  const char *object_cookie; /* cookie with the object that a request concerns */
  const char *key_scheme;    /* scheme of Authorization, with the space after it */
  int other_server_status;   /* from a server that is not the expected one */

  /* Paths that this host answers. */
  const char *ready_path;
  const char *directory_path;
  const char *directory_domain; /* query parameters */
  const char *directory_region;

  /* Returns the body of the directory's answer, owned by the caller. */
  char *(*write_directory) (const char *const *addresses, int count, int64_t ttl_us);
  /* Parses the load reported by a server.  Returns false, and leaves REPORT as it is, when VALUE is
   * malformed. */
  bool (*read_load) (const char *value, struct pl_load_report *report);
  /* Parses the limit that a server names, in requests per second over all hosts.  Returns false
   * when VALUE is malformed. */
  bool (*read_rate_limit) (const char *value, double *per_second);
  /* Parses a duration in the platform's format.  Returns false when TEXT is malformed. */
  bool (*read_duration) (const char *text, int64_t *duration_us);
  pl_row_decoder decode_row;
};

/* Watches the tables of the store and posts row updates. */
struct pl_reactor;
struct pl_store_reader;
struct pl_store_reader_options
{
  const char *address;
  struct pl_http_client *client;
  struct pl_reactor *reactor;
  void (*on_rows) (void *data, const struct pl_rows_event *rows);
  /* After each call to the store. */
  void (*on_state) (void *data, bool succeeded, const struct pl_store_call_event *call);
  /* A read_once has ended: all rows were read, or not. */
  void (*on_read) (void *data, bool succeeded);
  /* An answer is overdue; the call that it belongs to has not failed yet.  NULL: ignored. */
  void (*on_quiet) (void *data);
  void *data;
};

struct pl_store_dialect
{
  struct pl_store_reader *(*start) (const struct pl_store_reader_options *options);
  void (*watch) (struct pl_store_reader *reader, bool on);
  /* Finds out at once whether the store answers: polls that may hang are given up and repeated. */
  void (*check) (struct pl_store_reader *reader);
  /* Reads what has changed in all tables since the positions HELD, without watching them.  Ends
   * with on_read; on_state is not called.  Does nothing but fail while the tables are watched. */
  void (*read_once) (struct pl_store_reader *reader, const int64_t *held);
};

/* The built-in adapter. */
extern const struct pl_dialect pl_platform_dialect;
extern const struct pl_store_dialect pl_platform_store;

#endif
