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

/* Three beacons at the slow pace of 500 ms, and a little for delays. */
#define LIVE_US INT64_C (1700000)
/* As long as cuts between failure domains usually last; after that a silent host counts as gone. */
#define SILENT_US INT64_C (12000000)
#define FORGET_US INT64_C (20000000)

uint64_t
pl_hash_pair (uint64_t a, uint64_t b)
{
  uint64_t mixed = a ^ (b + UINT64_C (0x9e3779b97f4a7c15) + (a << 6) + (a >> 2));

  mixed = (mixed ^ (mixed >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  mixed = (mixed ^ (mixed >> 27)) * UINT64_C (0x94d049bb133111eb);
  return mixed ^ (mixed >> 31);
}

void
pl_membership_init (struct pl_membership *membership, const char *self_name, const char *domain,
                    int region)
{
  membership->members = g_hash_table_new (g_int64_hash, g_int64_equal);
  membership->order = g_ptr_array_new_with_free_func (g_free);
  membership->self = pl_id_of ("entry_hosts", self_name);
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
  uint64_t id = pl_id_of ("entry_hosts", contact->name);
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

struct pl_member *
pl_membership_on_beacon (struct pl_membership *membership, const struct pl_beacon *beacon,
                         int region, int64_t now_us)
{
  struct pl_member *member = take_member (membership, &beacon->self, now_us);

  if (member == NULL || (member->heard && beacon->incarnation < member->incarnation))
    return NULL;
  member->contact = beacon->self;
  g_strlcpy (member->caller_address, beacon->caller_address, sizeof member->caller_address);
  g_strlcpy (member->relay_address, beacon->relay_address, sizeof member->relay_address);
  g_strlcpy (member->domain, beacon->domain, sizeof member->domain);
  member->region = region;
  member->incarnation = beacon->incarnation;
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
pl_member_is_live (const struct pl_member *member, int64_t now_us)
{
  return member->heard && now_us - member->heard_us <= LIVE_US;
}

static bool
serves (const struct pl_member *member, int64_t now_us)
{
  return pl_member_is_live (member, now_us) && member->ready && !member->leaving;
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

      if (pl_member_is_live (member, now_us))
        beacon->contacts[beacon->contact_count++] = member->contact;
    }
}

int
pl_membership_live_count (const struct pl_membership *membership, int64_t now_us)
{
  int live = 1;

  for (guint i = 0; i < membership->order->len; i++)
    live += serves (g_ptr_array_index (membership->order, i), now_us);
  return live;
}

double
pl_membership_silent_part (const struct pl_membership *membership, int64_t now_us)
{
  int silent = 0;
  int all = 1;

  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);

      if (!member->heard || now_us - member->heard_us > SILENT_US || member->leaving)
        continue;
      all++;
      silent += !pl_member_is_live (member, now_us);
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

      if (serves (member, now_us) && (region == PL_NONE || member->region == region)
          && pl_hash_pair (key, member->id) > own)
        before++;
    }
  return before < count;
}

void
pl_membership_expire (struct pl_membership *membership, int64_t now_us)
{
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

/* Adds the hosts of DOMAIN (NULL: of any), of REGION (PL_NONE: of any) that are not in yet. */
static int
add_hosts (const struct pl_membership *membership, const char *domain, int region,
           const char *self_address, const char **addresses, int count, int room, int64_t now_us)
{
  if (self_address != NULL && count < room && count == 0
      && (domain == NULL || strcmp (domain, membership->self_domain) == 0)
      && (region == PL_NONE || region == membership->self_region))
    addresses[count++] = self_address;
  for (guint i = 0; i < membership->order->len && count < room; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);

      if (serves (member, now_us) && (domain == NULL || strcmp (domain, member->domain) == 0)
          && (region == PL_NONE || region == member->region))
        addresses[count++] = member->caller_address;
    }
  return count;
}

int
pl_membership_name_hosts (const struct pl_membership *membership, const char *domain, int region,
                          const char *self_address, const char **addresses, int room,
                          int64_t now_us)
{
  int count = add_hosts (membership, domain, PL_NONE, self_address, addresses, 0, room, now_us);

  if (count == 0)
    count = add_hosts (membership, NULL, region, self_address, addresses, 0, room, now_us);
  if (count == 0)
    count = add_hosts (membership, NULL, PL_NONE, self_address, addresses, 0, room, now_us);
  return count;
}
