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
  bool allow_faults; /* offer /cut, for tests */
  void (*post) (void *data, const struct pl_event *event);
  json_t *(*report) (void *data);
  void (*cut) (void *data, const char *peer, bool cut);
  /* Returns the releases known here as a JSON array, or NULL when the store can not be read. */
  json_t *(*history) (void *data);
  void *data;
};

/* Returns a listening port, or NULL. */
struct pl_operators *pl_operators_new (const struct pl_operators_options *options);
void pl_operators_free (struct pl_operators *operators);

/* Hands the outcome of a release to the operator who waits for it. */
void pl_operators_released (struct pl_operators *operators, const struct pl_effect *effect);

#endif
