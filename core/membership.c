/* Entry hosts find each other by beacons.
 *
 * Each host sends a beacon to every member that it knows an address of; addresses
 * travel with beacons, so knowing one live host is enough to come to know all.  A
 * host is live while its beacons come.  One that stops says so; one that falls
 * silent without that may be cut off and still serve, so for a while it counts as
 * taking its share of rates that hold over the fleet.
 *
 * Ownership by rendezvous hashing: hosts that see the same members agree on who
 * does what without a word, and the loss of one moves only what it owned.
 */
#include "internal/membership.h"

#include <string.h>

/* Three beacons, and a little for delays: in this region, and between hosts that take requests,
 * they come every 500 ms; else every two seconds, of which one may be lost. */
#define LIVE_NEAR_US INT64_C (1700000)
#define LIVE_FAR_US INT64_C (4600000)
/* Longer than cuts between failure domains usually last; after that a silent host counts as gone,
 * unless it may be this host that is cut off. */
#define SILENT_US INT64_C (30000000)
/* Longer than a datagram takes between regions, shorter than a process takes to start again. */
#define LATE_DATAGRAM_US INT64_C (300000)
#define WATCH_KEY UINT64_C (0x73746f7265)
/* Hosts that a host passes news on to, within its domain: a domain of 80 is reached in four steps,
 * and a host sends no more than this many times what it got. */
#define RELAY_FAN_OUT 4
/* Hosts that can carry less than this part of the strongest of their domain are named only when the
 * others are busy or too few. */
#define STRONG_PART 0.4
#define BUSY_PERCENT 55
#define NAMED_MIN 2
/* Hosts that a host names although it does not hear them, when it seems to be cut off: enough to
 * take most of its callers, few enough for a caller to try them all. */
#define UNHEARD_NAMED 2
/* A host that hears less than this part of the active hosts may be cut off. */
#define CUT_OFF_PART 0.5
/* Contacts outlive the time in which a silent host still counts. */
#define FORGET_US (2 * SILENT_US)

uint64_t
pl_hash_pair (uint64_t a, uint64_t b)
{
  uint64_t mixed = a ^ (b + UINT64_C (0x9e3779b97f4a7c15) + (a << 6) + (a >> 2));

  mixed = (mixed ^ (mixed >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  mixed = (mixed ^ (mixed >> 27)) * UINT64_C (0x94d049bb133111eb);
  return mixed ^ (mixed >> 31);
}

uint64_t
pl_host_id (const char *name)
{
  return pl_id_of ("entry_hosts", name);
}

void
pl_membership_init (struct pl_membership *membership, const char *self_name, const char *domain,
                    int region)
{
  membership->members = g_hash_table_new (g_int64_hash, g_int64_equal);
  membership->order = g_ptr_array_new_with_free_func (g_free);
  membership->self = pl_host_id (self_name);
  g_strlcpy (membership->self_domain, domain, sizeof membership->self_domain);
  membership->self_region = region;
}

void
pl_membership_clear (struct pl_membership *membership)
{
  g_hash_table_destroy (membership->members);
  g_ptr_array_free (membership->order, TRUE);
}

static struct pl_member *
take_member (struct pl_membership *membership, const struct pl_contact *contact, int64_t now_us)
{
  uint64_t id = pl_host_id (contact->name);
  struct pl_member *member;

  if (id == membership->self)
    return NULL;
  member = g_hash_table_lookup (membership->members, &id);
  if (member != NULL)
    return member;
  member = g_new0 (struct pl_member, 1);
  member->id = id;
  member->contact = *contact;
  member->known_us = now_us;
  g_hash_table_insert (membership->members, &member->id, member);
  g_ptr_array_add (membership->order, member);
  return member;
}

void
pl_membership_add_contact (struct pl_membership *membership, const struct pl_contact *contact,
                           int64_t now_us)
{
  if (contact->name[0] != '\0' && contact->peer_address[0] != '\0')
    take_member (membership, contact, now_us);
}

/* A datagram of an earlier process of the host may come late.  After a while it can not, and a
 * lower incarnation then means that the host's time of day was set back before it started. */
static bool
is_older (const struct pl_member *member, const struct pl_beacon *beacon, int64_t now_us)
{
  return member->heard && beacon->incarnation < member->incarnation
         && now_us - member->heard_us < LATE_DATAGRAM_US;
}

static void
take_identity (struct pl_member *member, const struct pl_beacon *beacon, int region)
{
  member->contact = beacon->self;
  g_strlcpy (member->caller_address, beacon->caller_address, sizeof member->caller_address);
  g_strlcpy (member->relay_address, beacon->relay_address, sizeof member->relay_address);
  g_strlcpy (member->domain, beacon->domain, sizeof member->domain);
  member->region = region;
  member->capacity = beacon->capacity;
}

/* Returns the member that BEACON is from, when it is known who that is. */
static struct pl_member *
find_sender (struct pl_membership *membership, const struct pl_beacon *beacon, int64_t now_us)
{
  struct pl_member *member;

  if (beacon->has_identity)
    return take_member (membership, &beacon->self, now_us);
  member = g_hash_table_lookup (membership->members, &beacon->host);
  return member != NULL && member->heard ? member : NULL;
}

struct pl_member *
pl_membership_on_beacon (struct pl_membership *membership, const struct pl_beacon *beacon,
                         int region, int64_t now_us)
{
  struct pl_member *member = find_sender (membership, beacon, now_us);

  if (member == NULL || is_older (member, beacon, now_us))
    return NULL;
  if (beacon->has_identity)
    take_identity (member, beacon, region);
  member->incarnation = beacon->incarnation;
  member->busy_percent = beacon->busy_percent;
  member->active = beacon->active;
  if (member->heard && now_us - member->heard_us > PL_MEMBER_SILENT_US)
    member->returned_us = now_us;
  member->heard = true;
  member->heard_us = now_us;
  member->ready = beacon->ready;
  member->leaving = beacon->leaving;
  member->watching = beacon->watching;
  member->store_lost = beacon->store_lost;
  member->store_trouble_us = beacon->store_trouble_us < 0 ? -1 : now_us - beacon->store_trouble_us;
  memcpy (member->held, beacon->held, sizeof member->held);
  for (int i = 0; i < beacon->contact_count; i++)
    pl_membership_add_contact (membership, &beacon->contacts[i], now_us);
  return member;
}

bool
pl_member_is_live (const struct pl_membership *membership, const struct pl_member *member,
                   int64_t now_us)
{
  bool is_near
      = member->region == membership->self_region || (member->active && membership->self_active);
  int64_t limit_us = is_near ? LIVE_NEAR_US : LIVE_FAR_US;

  return member->heard && now_us - member->heard_us <= limit_us;
}

static bool
serves (const struct pl_membership *membership, const struct pl_member *member, int64_t now_us)
{
  return pl_member_is_live (membership, member, now_us) && member->ready && !member->leaving;
}

/* A total order in which all hosts agree: those that can carry more come first. */
static bool
comes_before (int capacity, uint64_t id, int other_capacity, uint64_t other_id)
{
  if (capacity != other_capacity)
    return capacity > other_capacity;
  return pl_hash_pair (WATCH_KEY, id) > pl_hash_pair (WATCH_KEY, other_id);
}

bool
pl_membership_should_watch (const struct pl_membership *membership, bool watching, bool store_lost,
                            int64_t now_us)
{
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);
      bool goes_first = comes_before (member->capacity, member->id, membership->self_capacity,
                                      membership->self);

      if (!pl_member_is_live (membership, member, now_us) || member->leaving || member->store_lost
          || member->region != membership->self_region)
        continue;
      /* Whoever reads already goes on: each change of reader costs calls. */
      if (watching != member->watching)
        goes_first = member->watching;
      if (store_lost || goes_first)
        return false;
    }
  return true;
}

/* How many live hosts of DOMAIN come before the host with CAPACITY and ID. */
static int
rank_in (const struct pl_membership *membership, const char *domain, int capacity, uint64_t id,
         int64_t now_us)
{
  bool has_self = strcmp (domain, membership->self_domain) == 0;
  int rank = has_self && comes_before (membership->self_capacity, membership->self, capacity, id);

  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);

      rank += strcmp (member->domain, domain) == 0 && pl_member_is_live (membership, member, now_us)
              && comes_before (member->capacity, member->id, capacity, id);
    }
  return rank;
}

static int
own_rank (const struct pl_membership *membership, int64_t now_us)
{
  return rank_in (membership, membership->self_domain, membership->self_capacity, membership->self,
                  now_us);
}

static int
rank_of (const struct pl_membership *membership, const struct pl_member *member, int64_t now_us)
{
  return rank_in (membership, member->domain, member->capacity, member->id, now_us);
}

int
pl_membership_relay_children (const struct pl_membership *membership, bool watching,
                              const struct pl_member **children, int64_t now_us)
{
  int own = own_rank (membership, now_us);
  int count = 0;

  for (guint i = 0; i < membership->order->len && count < PL_RELAY_CHILDREN_MAX; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);
      bool is_near = strcmp (member->domain, membership->self_domain) == 0;
      int rank;

      if (member->region != membership->self_region
          || !pl_member_is_live (membership, member, now_us) || (!is_near && !watching))
        continue;
      rank = rank_of (membership, member, now_us);
      if ((watching && rank == 0) || (is_near && rank > 0 && (rank - 1) / RELAY_FAN_OUT == own))
        children[count++] = member;
    }
  return count;
}

bool
pl_membership_is_relay_parent (const struct pl_membership *membership,
                               const struct pl_member *member, int64_t now_us)
{
  int own = own_rank (membership, now_us);

  if (member->region != membership->self_region)
    return false;
  if (own == 0)
    return member->watching;
  return strcmp (member->domain, membership->self_domain) == 0
         && rank_of (membership, member, now_us) == (own - 1) / RELAY_FAN_OUT;
}

void
pl_membership_fill_contacts (struct pl_membership *membership, struct pl_beacon *beacon,
                             int64_t now_us)
{
  guint count = membership->order->len;

  beacon->contact_count = 0;
  for (guint i = 0; i < count && beacon->contact_count < PL_BEACON_CONTACTS_MAX; i++)
    {
      const struct pl_member *member
          = g_ptr_array_index (membership->order, membership->contact_turn++ % count);

      if (pl_member_is_live (membership, member, now_us))
        beacon->contacts[beacon->contact_count++] = member->contact;
    }
}

int
pl_membership_live_count (const struct pl_membership *membership, int64_t now_us)
{
  int live = 1;

  for (guint i = 0; i < membership->order->len; i++)
    live += serves (membership, g_ptr_array_index (membership->order, i), now_us);
  return live;
}

int
pl_membership_active_count (const struct pl_membership *membership, int64_t now_us)
{
  int active = 1;

  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);

      active += member->active && pl_member_is_live (membership, member, now_us);
    }
  return active;
}

double
pl_membership_silent_part (const struct pl_membership *membership, bool store_lost, int64_t now_us)
{
  int64_t limit_us = store_lost ? INT64_MAX : SILENT_US;
  int silent = 0;
  int all = 1;

  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);

      if (!member->heard || !member->active || member->leaving
          || now_us - member->heard_us > limit_us)
        continue;
      all++;
      silent += now_us - member->heard_us > PL_MEMBER_SILENT_US;
    }
  return (double) silent / all;
}

bool
pl_membership_owns (const struct pl_membership *membership, uint64_t key, int region, int count,
                    int64_t now_us)
{
  uint64_t own = pl_hash_pair (key, membership->self);
  int before = 0;

  if (region != PL_NONE && region != membership->self_region)
    return false;
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);

      if (serves (membership, member, now_us) && (region == PL_NONE || member->region == region)
          && pl_hash_pair (key, member->id) > own)
        before++;
    }
  return before < count;
}

void
pl_membership_expire (struct pl_membership *membership, bool store_lost, int64_t now_us)
{
  if (store_lost)
    return;
  for (guint i = membership->order->len; i > 0; i--)
    {
      struct pl_member *member = g_ptr_array_index (membership->order, i - 1);
      int64_t since_us = member->heard ? member->heard_us : member->known_us;

      if (now_us - since_us <= FORGET_US)
        continue;
      g_hash_table_remove (membership->members, &member->id);
      g_ptr_array_remove_index (membership->order, i - 1);
    }
}

/* Who is asked for: hosts of one domain, of one region, or all. */
struct group
{
  const char *domain; /* NULL: any */
  int region;         /* PL_NONE: any */
  const char *self_address;
};

struct candidate
{
  const char *address;
  int capacity;
  int busy_percent;
};

static bool
is_in (const struct group *group, const char *domain, int region)
{
  return (group->domain == NULL || strcmp (group->domain, domain) == 0)
         && (group->region == PL_NONE || group->region == region);
}

static gint
by_falling_capacity (gconstpointer a, gconstpointer b)
{
  return ((const struct candidate *) b)->capacity - ((const struct candidate *) a)->capacity;
}

static GArray *
find_candidates (const struct pl_membership *membership, const struct group *group, int64_t now_us)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  struct candidate self = {group->self_address, membership->self_capacity, 0};

  if (group->self_address != NULL
      && is_in (group, membership->self_domain, membership->self_region))
    g_array_append_val (found, self);
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);
      struct candidate next = {member->caller_address, member->capacity, member->busy_percent};

      if (serves (membership, member, now_us) && is_in (group, member->domain, member->region))
        g_array_append_val (found, next);
    }
  g_array_sort (found, by_falling_capacity);
  return found;
}

/* Callers choose among the named at random, so a host that can carry little is better not named
 * beside one that can carry much. */
static int
name_strongest (const GArray *found, const char **addresses, int room)
{
  bool busy = false;
  int count = 0;

  for (guint i = 0; i < found->len && count < room; i++)
    {
      const struct candidate *next = &g_array_index (found, struct candidate, i);
      const struct candidate *first = &g_array_index (found, struct candidate, 0);

      if (next->capacity < first->capacity * STRONG_PART && count >= NAMED_MIN && !busy)
        break;
      busy = busy || next->busy_percent > BUSY_PERCENT;
      addresses[count++] = next->address;
    }
  return count;
}

/* A domain that is cut off has only its own servers, while its callers may well reach the rest. */
static bool
is_cut_off (const struct pl_membership *membership, const struct pl_naming *naming, int64_t now_us)
{
  return naming->store_lost && pl_membership_silent_part (membership, true, now_us) > CUT_OFF_PART;
}

/* Adds hosts that were last heard to take callers: of this region first, others at each time. */
static int
name_unheard (const struct pl_membership *membership, const char **addresses, int count, int room,
              int64_t now_us)
{
  guint known = membership->order->len;
  int most = MIN (count + UNHEARD_NAMED, room);

  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < known && count < most; i++)
      {
        guint at = (guint) ((now_us / 1000 + i) % known);
        const struct pl_member *member = g_ptr_array_index (membership->order, at);
        bool is_far = member->region != membership->self_region;

        if (member->heard && member->ready && !member->leaving && is_far == (pass == 1)
            && !pl_member_is_live (membership, member, now_us))
          addresses[count++] = member->caller_address;
      }
  return count;
}

int
pl_membership_name_hosts (const struct pl_membership *membership, const struct pl_naming *naming,
                          const char **addresses, int room, int64_t now_us)
{
  const char *self = naming->self_address;
  const struct group groups[]
      = {{naming->domain, PL_NONE, self}, {NULL, naming->region, self}, {NULL, PL_NONE, self}};
  int count = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (groups) && count == 0; i++)
    {
      GArray *found = find_candidates (membership, &groups[i], now_us);

      count = name_strongest (found, addresses, room);
      g_array_free (found, TRUE);
    }
  if (is_cut_off (membership, naming, now_us))
    count = name_unheard (membership, addresses, count, room, now_us);
  return count;
}
