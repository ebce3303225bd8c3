/* Smooth weighted round robin over the parts of a route: each part gets its exact share, evenly
 * spread over time. */
#include "internal/traffic_split.h"
#include "internal/membership.h"

/* Steps of a split's sequence, times its parts, among which its first request is chosen: enough for
 * a part of a thousandth to begin at any of them. */
#define SPLIT_STEPS_MAX UINT64_C (65536)

void
pl_traffic_split_clear (struct pl_traffic_split *state)
{
  g_free (state->credit);
}

static int
choose_part (struct pl_traffic_split *state, const struct pl_route_rule *rule)
{
  double total = 0;
  int best = 0;

  for (int i = 0; i < rule->part_count; i++)
    {
      state->credit[i] += rule->parts[i].weight;
      total += rule->parts[i].weight;
      if (state->credit[i] > state->credit[best])
        best = i;
    }
  state->credit[best] -= total;
  return best;
}

/* Begins the split of RULE at a point of its sequence that differs between hosts and their starts.
 * If all began at the same point, and each had only a few requests, a small part would get none. */
static void
begin_split (struct pl_traffic_split *state, const struct pl_route_rule *rule, uint64_t seed)
{
  uint64_t random = pl_hash_pair (rule->split, seed);
  uint64_t steps = random % MAX (SPLIT_STEPS_MAX / (uint64_t) rule->part_count, 1);

  state->split = rule->split;
  g_free (state->credit);
  state->credit = g_new0 (double, rule->part_count);
  while (steps-- > 0)
    choose_part (state, rule);
}

const struct pl_route_part *
pl_traffic_split_next (struct pl_traffic_split *state, const struct pl_route_rule *rule,
                       uint64_t seed)
{
  if (rule->part_count == 1)
    return &rule->parts[0];
  if (state->split != rule->split)
    begin_split (state, rule, seed);
  return &rule->parts[choose_part (state, rule)];
}
