/* relay.h - rows of the watched tables, from one entry host to another.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_RELAY_H
#define POMELOLATCH_RELAY_H

#include "internal/http_client.h"
#include "internal/router.h"

#include <microhttpd.h>

#define PL_RELAY_PATH "/rows"

/* What a host gives to its peers, and how much of its link it spends on that. */
struct pl_relay
{
  const struct pl_router *router;
  double bytes_per_second;
  double bytes_left; /* below zero: peers are turned away for now */
  int64_t refilled_us;
};

/* Answers a peer that holds the versions in CONNECTION's query; a pl_small_port_function with a
 * struct pl_relay as DATA. */
int pl_relay_answer (void *data, struct MHD_Connection *connection, const char *path, GString *body,
                     const char **type);

struct pl_relay_fetch
{
  struct pl_http_client *client;
  const char *address;
  const int64_t *held;
  /* Called for each table, then DONE. */
  void (*on_rows) (void *data, const struct pl_rows_event *rows);
  void (*done) (void *data);
  void *data;
};

void pl_relay_fetch (const struct pl_relay_fetch *wanted);

#endif
