/* Selection of entry hosts: those that the directory names to callers, and the peer that takes a
 * request which this host can not send to a server.
 *
 * Callers choose among the named hosts at random, so weak hosts are named only where they are
 * needed.  A peer is chosen at random by capacity.
 */
#include "internal/membership.h"

#include <math.h>
#include <string.h>

/* Hosts with less than this fraction of the capacity of the strongest candidate are selected only
 * when the others are busy or too few. */
#define STRONG_RATIO 0.4
#define BUSY_PERCENT 55
#define SELECTED_MIN 2
/* Silent hosts that a host returns to callers when it seems to be partitioned: enough to take most
 * of its callers, few enough for a caller to try them all. */
#define SILENT_SELECTED_MAX 2
/* A host for which more than this fraction of the active hosts is silent may be partitioned. */
#define PARTITION_SILENT_RATIO 0.5
/* Weights in the choice of a peer that takes a request: hosts of other domains and of other regions
 * relative to those of this domain, and busy hosts relative to others. */
#define OTHER_DOMAIN_WEIGHT 0.05
#define OTHER_REGION_WEIGHT 0.001
#define BUSY_WEIGHT 0.01
#define WEAK_WEIGHT 0.02
/* A host that reaches no server serves its callers through others.  It counts as one of a little
 * less than STRONG_RATIO of its capacity: it is selected rather than a weak host, but not along
 * with enough others of its strength. */
#define SERVERS_LOST_RATIO (STRONG_RATIO * 0.99)

/* Returns whether MEMBER can take the request of QUERY.  Only a host in a home region may get the
 * body of a request that is bound to it. */
static bool
can_take_over (const struct pl_membership *membership, const struct pl_handover_query *query,
               const struct pl_member *member, int64_t now_us)
{
  return pl_member_is_serving (membership, member, now_us) && !member->servers_lost
         && now_us >= member->handover_due_us
         && (!query->has_home_regions
             || (member->region != PL_NONE && (query->home_regions >> member->region & 1) != 0));
}

/* Returns the weight of MEMBER in the choice of a peer; STRONGEST: the highest capacity of all that
 * can take the request. */
static double
peer_weight (const struct pl_membership *membership, const struct pl_member *member, int strongest)
{
  double weight = fmax (member->contact.capacity, 1);

  if (member->contact.capacity < strongest * STRONG_RATIO)
    weight *= WEAK_WEIGHT;
  if (member->busy_percent > BUSY_PERCENT)
    weight *= BUSY_WEIGHT;
  if (member->region != membership->self_region)
    return weight * OTHER_REGION_WEIGHT;
  return pl_member_is_local (membership, member) ? weight : weight * OTHER_DOMAIN_WEIGHT;
}

/* Weighted rendezvous hashing with a key that differs from request to request spreads the requests
 * in proportion to the weights. */
struct pl_member *
pl_membership_choose_peer (const struct pl_membership *membership,
                           const struct pl_handover_query *query, int64_t now_us)
{
  struct pl_member *best = NULL;
  double best_cost = 0;
  int strongest = 0;

  for (guint i = 0; i < membership->order->len; i++)
    if (can_take_over (membership, query, pl_membership_at (membership, i), now_us))
      strongest = MAX (strongest, pl_membership_at (membership, i)->contact.capacity);
  for (guint i = 0; i < membership->order->len; i++)
    {
      struct pl_member *member = pl_membership_at (membership, i);
      double unit = ((double) (pl_hash_pair (query->key, member->id) >> 11) + 1) / 0x1p53;
      double cost = -log (unit) / peer_weight (membership, member, strongest);

      if (!can_take_over (membership, query, member, now_us) || (best != NULL && cost >= best_cost))
        continue;
      best = member;
      best_cost = cost;
    }
  return best;
}

/* Selects hosts of one domain, of one region, or all. */
struct host_filter
{
  const char *domain; /* NULL: any */
  int region;         /* PL_NONE: any */
};

struct candidate
{
  const char *address;
  int capacity;
  int busy_percent;
};

static bool
passes_filter (const struct host_filter *filter, const char *domain, int region)
{
  return (filter->domain == NULL || strcmp (filter->domain, domain) == 0)
         && (filter->region == PL_NONE || filter->region == region);
}

static gint
compare_capacity_descending (gconstpointer a, gconstpointer b)
{
  return ((const struct candidate *) b)->capacity - ((const struct candidate *) a)->capacity;
}

static int
usable_capacity (int capacity, bool servers_lost)
{
  return servers_lost ? (int) (capacity * SERVERS_LOST_RATIO) : capacity;
}

static GArray *
find_candidates (const struct pl_membership *membership, const struct pl_host_query *query,
                 const struct host_filter *filter, int64_t now_us)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  struct candidate self
      = {query->self_address, usable_capacity (membership->self_capacity, query->servers_lost), 0};

  if (query->self_address != NULL
      && passes_filter (filter, pl_membership_own_domain (membership), membership->self_region))
    g_array_append_val (found, self);
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);
      struct candidate next = {member->contact.caller_address,
                               usable_capacity (member->contact.capacity, member->servers_lost),
                               member->busy_percent};

      if (pl_member_is_serving (membership, member, now_us)
          && passes_filter (filter, member->contact.domain, member->region))
        g_array_append_val (found, next);
    }
  g_array_sort (found, compare_capacity_descending);
  return found;
}

/* Callers choose among the selected hosts at random, so a weak host is not selected along with much
 * stronger ones unless it is needed. */
static int
select_strongest (const GArray *found, const char **addresses, int room)
{
  bool busy = false;
  int count = 0;

  for (guint i = 0; i < found->len && count < room; i++)
    {
      const struct candidate *next = &g_array_index (found, struct candidate, i);
      const struct candidate *first = &g_array_index (found, struct candidate, 0);

      if (next->capacity < first->capacity * STRONG_RATIO && count >= SELECTED_MIN && !busy)
        break;
      busy = busy || next->busy_percent > BUSY_PERCENT;
      addresses[count++] = next->address;
    }
  return count;
}

/* Returns whether this host seems to be partitioned from most of the fleet.  It then reaches only
 * the servers of its own side, while its callers may still reach the other hosts. */
static bool
is_partitioned (const struct pl_membership *membership, const struct pl_host_query *query,
                int64_t now_us)
{
  return query->store_lost
         && pl_membership_view (membership, true, now_us).silent > PARTITION_SILENT_RATIO;
}

/* Appends silent hosts that were ready when last heard from: those of this region first, starting
 * at a different host each time. */
static int
append_silent_hosts (const struct pl_membership *membership, const char **addresses, int count,
                     int room, int64_t now_us)
{
  guint known = membership->order->len;
  int limit = MIN (count + SILENT_SELECTED_MAX, room);

  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < known && count < limit; i++)
      {
        guint at = (guint) ((now_us / 1000 + i) % known);
        const struct pl_member *member = g_ptr_array_index (membership->order, at);
        bool is_other_region = member->region != membership->self_region;

        if (member->heard && member->ready && !member->leaving && is_other_region == (pass == 1)
            && !pl_member_is_live (membership, member, now_us))
          addresses[count++] = member->contact.caller_address;
      }
  return count;
}

int
pl_membership_select_hosts (const struct pl_membership *membership,
                            const struct pl_host_query *query, const char **addresses, int room,
                            int64_t now_us)
{
  const struct host_filter filters[]
      = {{query->domain, PL_NONE}, {NULL, query->region}, {NULL, PL_NONE}};
  int count = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (filters) && count == 0; i++)
    {
      GArray *found = find_candidates (membership, query, &filters[i], now_us);

      count = select_strongest (found, addresses, room);
      g_array_free (found, TRUE);
    }
  if (is_partitioned (membership, query, now_us))
    count = append_silent_hosts (membership, addresses, count, room, now_us);
  return count;
}
