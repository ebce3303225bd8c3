/* relay.h - transfer of rows of the watched tables from one entry host to another.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_RELAY_H
#define POMELOLATCH_RELAY_H

#include "internal/http_client.h"
#include "internal/router.h"

#include <microhttpd.h>

#define PL_RELAY_PATH "/rows"

/* The rows that a host serves to its peers, and the share of its link that this may use (a token
 * bucket of bytes). */
struct pl_relay
{
  const struct pl_router *router;
  double bytes_per_second;
  double bytes_available; /* below zero: requests are refused for now */
  int64_t refilled_us;
};

/* Answers a peer with the rows that are newer than the versions in the query of CONNECTION.  A
 * pl_small_port_handler with a struct pl_relay as DATA. */
int pl_relay_answer (void *data, struct MHD_Connection *connection, const char *path, GString *body,
                     const char **type);

struct pl_relay_fetch
{
  struct pl_http_client *client;
  const char *address;
  const int64_t *held; /* for each table, the version that this host has */
  /* Called for each table of which the answer contains a version; DONE is called last, also after
   * a failure. */
  void (*on_rows) (void *data, const struct pl_rows_event *rows);
  void (*done) (void *data, uint64_t number, enum pl_fetch_end end);
  uint64_t number; /* of the fetch */
  void *data;
};

/* Requests from a peer the rows that are newer than HELD. */
void pl_relay_fetch (const struct pl_relay_fetch *request);

#endif
