/* relay.h - transfer of rows of the watched tables from one entry host to another.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_RELAY_H
#define POMELOLATCH_RELAY_H

#include "internal/gzip.h"
#include "internal/http_client.h"
#include "internal/router.h"
#include "internal/small_port.h"

#define PL_RELAY_PATH "/rows"

/* The rows of a table newer than AFTER, as they were last sent in gzip.  Several peers lack the
 * same rows at the same time. */
struct pl_relay_rows
{
  struct pl_gzip_part part; /* none: no bytes */
  uint64_t revision;
  int64_t after;
};

/* The rows that a host serves to its peers, and the share of its link that this may use (a token
 * bucket of bytes). */
struct pl_relay
{
  const struct pl_router *router;
  double bytes_per_second;
  double bytes_available; /* below zero: requests are refused for now */
  int64_t refilled_us;
  struct pl_relay_rows compressed[PL_TABLES_MAX];
  uint64_t compressions; /* of rows of a table, so far */
};

/* Releases what RELAY has kept of its answers. */
void pl_relay_clear (struct pl_relay *relay);

/* Answers a peer with the rows that are newer than the versions in the query of CONNECTION, in gzip
 * if the peer accepts it.  A pl_small_port_handler with a struct pl_relay as DATA. */
int pl_relay_answer (void *data, struct MHD_Connection *connection, const char *path,
                     struct pl_small_port_answer *answer);

struct pl_relay_fetch
{
  struct pl_http_client *client;
  const char *address;
  const int64_t *held; /* for each table, the version that this host has */
  /* Called for each table of which the answer contains a version; DONE is called last, also after
   * a failure. */
  void (*on_rows) (void *data, const struct pl_rows_event *rows);
  void (*done) (void *data, const struct pl_fetch_done_event *done);
  /* Bytes of the answer have arrived; called at most once in a while.  May be NULL. */
  void (*on_progress) (void *data, uint64_t number);
  uint64_t number; /* of the fetch */
  void *data;
};

/* Requests from a peer the rows that are newer than HELD. */
void pl_relay_fetch (const struct pl_relay_fetch *request);

#endif
