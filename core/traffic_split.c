/* The parts of a route's traffic split, in turns. */
#include "internal/traffic_split.h"
#include "internal/membership.h"

/* Steps of a split's sequence, times its parts, among which its first request is chosen: enough for
 * a part of a thousandth to begin at any of them. */
#define SPLIT_STEPS_MAX UINT64_C (65536)

/* Smooth weighted round robin: each part gets its exact share, evenly spread over time. */
static int
choose_part (double *credit, const struct pl_route_rule *rule)
{
  double total = 0;
  int best = 0;

  for (int i = 0; i < rule->part_count; i++)
    {
      credit[i] += rule->parts[i].weight;
      total += rule->parts[i].weight;
      if (credit[i] > credit[best])
        best = i;
    }
  credit[best] -= total;
  return best;
}

/* Begins the split of RULE at a point of its sequence that differs between hosts and their starts.
 * If all began at the same point, and each had only a few requests, a small part would get none. */
static void
begin_split (struct pl_split_position *position, const struct pl_route_rule *rule, uint64_t seed)
{
  uint64_t random = pl_hash_pair (rule->split, seed);
  uint64_t steps = random % MAX (SPLIT_STEPS_MAX / (uint64_t) rule->part_count, 1);

  position->split = rule->split;
  g_free (position->credit);
  position->credit = g_new0 (double, rule->part_count);
  while (steps-- > 0)
    choose_part (position->credit, rule);
}

const struct pl_route_part *
pl_split_next (struct pl_split_position *position, const struct pl_route_rule *rule, uint64_t seed)
{
  if (rule->part_count == 1)
    return &rule->parts[0];
  if (position->split != rule->split)
    begin_split (position, rule, seed);
  return &rule->parts[choose_part (position->credit, rule)];
}

void
pl_split_clear (struct pl_split_position *position)
{
  g_clear_pointer (&position->credit, g_free);
}
