/* operator_http.h - the operators' port: releases, status, report, metrics.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_OPERATOR_HTTP_H
#define POMELOLATCH_OPERATOR_HTTP_H

#include "pomelolatch/event.h"

struct pl_operators;

struct pl_operators_options
{
  const char *address;
  uint8_t key_hash[PL_KEY_HASH_BYTES];
  bool allow_faults; /* serve /cut, which injects network partitions in tests */
  void (*post) (void *data, const struct pl_event *event);
  json_t *(*report) (void *data);
  void (*set_partitioned) (void *data, const char *peer, bool partitioned);
  /* Returns the releases known here as a JSON array, or NULL when the store cannot be read. */
  json_t *(*history) (void *data);
  void *data;
};

/* Returns a listening port, or NULL. */
struct pl_operators *pl_operators_new (const struct pl_operators_options *options);
void pl_operators_free (struct pl_operators *operators);

/* Passes the outcome of a release to the operator's request that waits for it. */
void pl_operators_complete_release (struct pl_operators *operators, const struct pl_effect *effect);

#endif
