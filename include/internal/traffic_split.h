/* traffic_split.h - which of a route's services gets its next request.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_TRAFFIC_SPLIT_H
#define POMELOLATCH_TRAFFIC_SPLIT_H

#include "internal/routing.h"

/* The state of a route's split.  Zeroed at first. */
struct pl_traffic_split
{
  uint64_t split; /* of which the credits are; see struct pl_route_rule */
  double *credit; /* smooth weighted round robin; owned */
};

void pl_traffic_split_clear (struct pl_traffic_split *state);

/* Returns the part of RULE that gets the next request.  SEED differs between hosts and their
 * starts. */
const struct pl_route_part *pl_traffic_split_next (struct pl_traffic_split *state,
                                                   const struct pl_route_rule *rule, uint64_t seed);

#endif
