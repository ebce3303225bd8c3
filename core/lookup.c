/* Look-up snapshots.
 *
 * The order of entry hosts for callers of each failure domain is computed when
 * the snapshot is made: hosts of the domain itself, then hosts of the same
 * region, then other regions, each by headroom.  An answer contains hosts of at
 * least two domains if two have hosts with headroom.  Answering takes one prefix
 * search and one copy.
 */
#include "pomelolatch/lookup.h"

#include <string.h>

static int
domain_distance (const struct pl_config *config, int domain, int host)
{
  int host_domain = PL_HOST (config, host)->domain;

  if (host_domain == domain)
    return 0;
  return PL_DOMAIN (config, host_domain)->region == PL_DOMAIN (config, domain)->region ? 1 : 2;
}

struct candidate
{
  int host;
  int domain_distance;
  int headroom;
};

static int
compare_candidates (gconstpointer a, gconstpointer b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  if (x->domain_distance != y->domain_distance)
    return x->domain_distance - y->domain_distance;
  if (x->headroom != y->headroom)
    return y->headroom - x->headroom;
  return x->host - y->host;
}

/* Fills ORDER from the sorted CANDIDATES.  The first domain gets at most PL_LOOKUP_HOSTS - 1
 * entries, so that each answer also contains a host of a second domain if there is one. */
static void
fill_order (const struct pl_config *config, GArray *candidates, struct pl_lookup_order *order)
{
  int first_domain = PL_NONE;

  for (guint i = 0; i < candidates->len && order->count < PL_LOOKUP_HOSTS * 2; i++)
    {
      const struct candidate *candidate = &g_array_index (candidates, struct candidate, i);
      int domain = PL_HOST (config, candidate->host)->domain;

      if (first_domain == PL_NONE)
        first_domain = domain;
      if (domain == first_domain && order->count >= PL_LOOKUP_HOSTS - 1)
        continue;
      if (domain == first_domain)
        order->rotated_count = order->count + 1;
      order->hosts[order->count++] = candidate->host;
    }
}

static void
make_order (const struct pl_lookup_options *options, int domain, struct pl_lookup_order *order)
{
  const struct pl_config *config = options->config;
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));

  for (guint i = 0; i < config->hosts->len; i++)
    {
      struct candidate candidate
          = {(int) i, domain_distance (config, domain, (int) i), options->headroom[i]};

      if (candidate.headroom > 0)
        g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  fill_order (config, candidates, order);
  g_array_free (candidates, TRUE);
}

struct pl_lookup *
pl_lookup_new (const struct pl_lookup_options *options)
{
  struct pl_lookup *lookup = g_new0 (struct pl_lookup, 1);

  lookup->config = pl_config_ref (options->config);
  lookup->blocks = options->blocks;
  lookup->own_domain = options->own_domain;
  lookup->ttl_us = options->ttl_us;
  lookup->order_count = (int) options->config->domains->len;
  lookup->orders = g_new0 (struct pl_lookup_order, (gsize) lookup->order_count + 1);
  for (int domain = 0; domain < lookup->order_count; domain++)
    make_order (options, domain, &lookup->orders[domain]);
  return lookup;
}

void
pl_lookup_free (struct pl_lookup *lookup)
{
  if (lookup == NULL)
    return;
  pl_config_unref (lookup->config);
  pl_blocks_unref (lookup->blocks);
  g_free (lookup->orders);
  g_free (lookup);
}

int
pl_lookup_answer (const struct pl_lookup *lookup, uint32_t address, uint32_t salt,
                  struct pl_lookup_answer *answer)
{
  int domain = lookup->blocks != NULL ? pl_blocks_find (lookup->blocks, address) : PL_NONE;
  const struct pl_lookup_order *order;

  if (domain == PL_NONE || domain >= lookup->order_count)
    domain = lookup->own_domain;
  answer->count = 0;
  if (domain == PL_NONE)
    return 0;
  order = &lookup->orders[domain];
  for (int i = 0; i < order->count && answer->count < PL_LOOKUP_HOSTS; i++)
    {
      int position = i;
      const struct pl_host_config *host;

      if (i < order->rotated_count)
        position = (int) (((uint32_t) i + salt) % (uint32_t) order->rotated_count);
      host = PL_HOST (lookup->config, order->hosts[position]);
      answer->addresses[answer->count] = host->caller_address;
      answer->names[answer->count] = host->name;
      answer->domains[answer->count] = PL_DOMAIN (lookup->config, host->domain)->name;
      answer->count++;
    }
  return answer->count;
}
