/* traffic_split.h - the parts of a route's traffic split, in turns.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_TRAFFIC_SPLIT_H
#define POMELOLATCH_TRAFFIC_SPLIT_H

#include "internal/routing.h"

/* Where a host is in the sequence of a split; all zero at first. */
struct pl_split_position
{
  uint64_t split; /* of which the credits are; see struct pl_route_rule */
  double *credit; /* by part; smooth weighted round robin */
};

/* Returns the next part of RULE that gets a request.  SEED differs between hosts and their starts;
 * it selects the point of the sequence at which POSITION begins. */
const struct pl_route_part *pl_split_next (struct pl_split_position *position,
                                           const struct pl_route_rule *rule, uint64_t seed);

void pl_split_clear (struct pl_split_position *position);

#endif
