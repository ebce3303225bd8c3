/* dialect.h - how callers, servers and the platform's store are spoken to.
 *
 * API tier: private.
 *
 * The adapter of a platform fills these tables; nothing else knows its names.
 */
#ifndef POMELOLATCH_DIALECT_H
#define POMELOLATCH_DIALECT_H

#include "internal/http_client.h"
#include "internal/router.h"
#include "pomelolatch/schema.h"

/* The DATA of decode_row: finds a region's index by its name. */
typedef int (*pl_region_function) (void *data, const char *region);
struct pl_regions
{
  pl_region_function find;
  void *data;
};

struct pl_dialect
{
  /* Names of header lines. */
  const char *request_id;      /* of a caller's attempt; servers echo it */
  const char *deadline;        /* milliseconds that the sender waits */
  const char *account;         /* to servers: whose key came with the request */
  const char *expected_server; /* to servers: the only one that may run it */
  const char *not_run;         /* from servers: the request did not run */
  const char *load;            /* from servers */
  const char *cold;            /* from servers' health answers: milliseconds */
  const char *server_id;       /* from servers' health answers */
  const char *object_cookie;   /* names the object that a request concerns */
  const char *key_scheme;      /* of Authorization, with its space */
  int other_server_status;     /* of a server that is not the expected one */

  /* Paths that this host answers. */
  const char *ready_path;
  const char *directory_path;
  const char *directory_domain; /* query parameters */
  const char *directory_region;

  /* Returns the directory's answer, which the caller owns. */
  char *(*write_directory) (const char *const *addresses, int count, int64_t ttl_us);
  /* Parses what a server says of its load.  Returns false when it can not be read. */
  bool (*read_load) (const char *value, int *running, int *waiting, int *slots);
  /* Parses a duration as the platform writes it.  Returns false when it can not be read. */
  bool (*read_duration) (const char *text, int64_t *duration_us);
  pl_row_decoder decode_row;
};

/* Reads the store's tables and posts what changes. */
struct pl_reactor;
struct pl_store_reader;
struct pl_store_reader_options
{
  const char *address;
  struct pl_http_client *client;
  struct pl_reactor *reactor;
  void (*on_rows) (void *data, const struct pl_rows_event *rows);
  void (*on_state) (void *data, bool well); /* each call's end */
  void *data;
};

struct pl_store_dialect
{
  struct pl_store_reader *(*start) (const struct pl_store_reader_options *options);
  void (*watch) (struct pl_store_reader *reader, bool on);
};

/* The adapter that is built in. */
extern const struct pl_dialect pl_platform_dialect;
extern const struct pl_store_dialect pl_platform_store;

#endif
