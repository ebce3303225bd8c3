/* Membership of entry hosts, tracked by beacons in a two-level hierarchy.
 *
 * The hosts of a failure domain are ranked in a fixed order; the first live ones are
 * its delegates.  A host sends beacons to the delegates of its domain only.  A
 * delegate sends them to all hosts of its domain, together with the states of other
 * hosts, and to the delegates of the other domains.  The traffic of a host hardly
 * grows with the size of the fleet.
 *
 * There is no election of delegates.  Each host ranks the hosts of its domain that it
 * considers live; while views differ, some beacons go to more hosts than needed.  When
 * a delegate becomes silent, each host replaces it by the next in order as soon as it
 * notices.
 *
 * A host is live while its beacons arrive, or while a delegate reports it as live.  In
 * the ranking a report counts no longer than the hosts that were sending reports when it
 * came: if all of them fail, hosts that they reported may have failed with them, and a
 * domain in which all wait for those would have no delegates.  So each survivor first
 * ranks only itself and becomes a delegate, and they hear from each other.  A
 * host that stops announces it.  A host that becomes silent without announcing it may
 * be partitioned and still serve requests, so for a while it still counts as using its
 * share of the rates that hold over the fleet.
 *
 * Ownership uses rendezvous hashing: hosts with the same members agree on the owner of
 * a key without messages, and the loss of a host moves only the keys that it owned.
 */
#include "internal/membership.h"

#include <string.h>

/* A host is live for three beacon periods of 500 ms, plus a margin for delays. */
#define LIVE_US INT64_C (1700000)
/* The same for a host known through a delegate: a beacon to the delegate, and one round-robin pass
 * of the delegate over the states of a domain of 80 hosts.  The failure of the host is noticed
 * sooner: a delegate that no longer hears from a host reports that first. */
#define LIVE_REPORTED_US INT64_C (4200000)
/* States of other domains' delegates are reported less often. */
#define LIVE_REPORTED_REMOTE_US INT64_C (6000000)
/* Longer than network partitions between failure domains usually last.  After that a silent host
 * no longer counts, unless this host itself may be partitioned. */
#define SILENT_US INT64_C (30000000)
/* Longer than a datagram takes between regions, shorter than a restart of a process. */
#define DATAGRAM_DELAY_MAX_US INT64_C (300000)
#define RANK_KEY UINT64_C (0x73746f7265)
/* Hosts of its domain to which a host relays row updates: a domain of 80 hosts is reached in four
 * hops, and a host sends at most this many times what it received. */
#define RELAY_FAN_OUT 4
/* Hosts of a domain, its delegates and the next in order, whose contacts other domains keep.  If
 * all delegates of several domains fail at once, their successors can reach each other. */
#define STANDBYS 6
/* States of other domains' delegates in one beacon. */
#define REMOTE_STATES_MAX 3
/* A changed state takes precedence for this long, which covers two or three beacons. */
#define CHANGE_PRIORITY_US INT64_C (1100000)
/* Contacts are kept for longer than a silent host still counts. */
#define EXPIRE_US (2 * SILENT_US)

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

static void
clear_domain (gpointer domain)
{
  g_free (((struct pl_domain *) domain)->name);
}

int
pl_membership_ensure_domain (struct pl_membership *membership, const char *name, int region)
{
  struct pl_domain domain = {.region = region};

  for (guint i = 0; i < membership->domains->len; i++)
    {
      struct pl_domain *known = &g_array_index (membership->domains, struct pl_domain, i);

      if (strcmp (known->name, name) != 0)
        continue;
      if (known->region == PL_NONE)
        known->region = region;
      return (int) i;
    }
  domain.id = pl_id_of ("domains", name);
  domain.name = g_strdup (name);
  g_array_append_val (membership->domains, domain);
  return (int) membership->domains->len - 1;
}

static struct pl_domain *
domain_at (const struct pl_membership *membership, int index)
{
  return &g_array_index (membership->domains, struct pl_domain, index);
}

const char *
pl_membership_own_domain (const struct pl_membership *membership)
{
  return domain_at (membership, membership->self_domain)->name;
}

struct pl_member *
pl_membership_at (const struct pl_membership *membership, guint index)
{
  return g_ptr_array_index (membership->order, index);
}

void
pl_membership_init (struct pl_membership *membership, const char *self_name, const char *domain,
                    int region)
{
  membership->members = g_hash_table_new (g_int64_hash, g_int64_equal);
  membership->order = g_ptr_array_new_with_free_func (g_free);
  membership->domains = g_array_new (FALSE, FALSE, sizeof (struct pl_domain));
  g_array_set_clear_func (membership->domains, clear_domain);
  membership->self = pl_host_id (self_name);
  membership->self_domain = pl_membership_ensure_domain (membership, domain, region);
  membership->self_region = region;
}

void
pl_membership_clear (struct pl_membership *membership)
{
  g_hash_table_destroy (membership->members);
  g_ptr_array_free (membership->order, TRUE);
  g_array_free (membership->domains, TRUE);
}

static void
set_contact (struct pl_membership *membership, struct pl_member *member,
             const struct pl_contact *contact, int region)
{
  member->contact = *contact;
  member->domain = pl_membership_ensure_domain (membership, contact->domain, region);
  member->region = domain_at (membership, member->domain)->region;
}

static struct pl_member *
ensure_member (struct pl_membership *membership, const struct pl_contact *contact, int region,
               int64_t now_us)
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
  member->reports_since_us = INT64_MAX;
  member->store = (struct pl_store_access){
      .lost_since_us = -1, .failed_us = -1, .back_us = -1, .watching_since_us = -1};
  set_contact (membership, member, contact, region);
  g_hash_table_insert (membership->members, &member->id, member);
  g_ptr_array_add (membership->order, member);
  member->contact_seen_us = now_us;
  return member;
}

void
pl_membership_add_contact (struct pl_membership *membership, const struct pl_contact *contact,
                           int64_t now_us)
{
  struct pl_member *member;

  if (contact->name[0] == '\0' || contact->peer_address[0] == '\0')
    return;
  member = ensure_member (membership, contact, PL_NONE, now_us);
  if (member == NULL)
    return;
  member->contact_seen_us = now_us;
  /* A contact from the host itself takes precedence over one from its peers. */
  if (member->last_beacon_us == 0)
    set_contact (membership, member, contact, PL_NONE);
}

/* Returns whether BEACON is a late datagram of an earlier process of the host.  After
 * DATAGRAM_DELAY_MAX_US a lower incarnation means instead that the host's clock was set back before
 * it restarted. */
static bool
is_from_earlier_process (const struct pl_member *member, const struct pl_beacon *beacon,
                         int64_t now_us)
{
  return member->heard && beacon->incarnation < member->incarnation
         && now_us - member->heard_us < DATAGRAM_DELAY_MAX_US;
}

/* Returns the member that sent BEACON, or NULL when it has not identified itself yet. */
static struct pl_member *
find_sender (struct pl_membership *membership, const struct pl_beacon *beacon, int region,
             int64_t now_us)
{
  struct pl_member *member;

  if (beacon->has_identity)
    return ensure_member (membership, &beacon->self, region, now_us);
  member = g_hash_table_lookup (membership->members, &beacon->host);
  return member != NULL && member->heard ? member : NULL;
}

/* Updates MEMBER from a state that it sent itself or that a delegate reported. */
static void
update_state (struct pl_member *member, const struct pl_beacon_state *state, int64_t now_us)
{
  if (!member->heard || member->ready != state->ready || member->leaving != state->leaving
      || member->active != state->active || member->servers_lost != state->servers_lost)
    member->changed_us = now_us;
  member->heard = true;
  member->ready = state->ready;
  member->leaving = state->leaving;
  member->active = state->active;
  member->watching = state->watching;
  member->servers_lost = state->servers_lost;
  member->busy_percent = state->busy_percent;
}

static void
update_from_delegate (struct pl_membership *membership, struct pl_member *member,
                      const struct pl_beacon *beacon, int64_t now_us)
{
  struct pl_domain *domain = domain_at (membership, member->domain);

  member->is_delegate = beacon->is_delegate;
  if (member->domain != membership->self_domain)
    domain->heard_us = now_us;
  member->store_down = beacon->is_delegate && beacon->store_down;
  if (!beacon->is_delegate)
    return;
  domain->hosts = beacon->domain_hosts;
  domain->active = beacon->domain_active;
  domain->silent = beacon->domain_silent;
  if (member->domain != membership->self_domain)
    return;
  membership->reported = (struct pl_fleet_view){
      .hosts = beacon->fleet_hosts,
      .active = beacon->fleet_active,
      .domains = beacon->fleet_domains,
      .silent = beacon->silent_permille / 1000.0,
  };
  membership->reported_us = now_us;
}

static bool
is_heard_directly (const struct pl_member *member, int64_t limit_us, int64_t now_us)
{
  return member->last_beacon_us > 0 && now_us - member->last_beacon_us <= limit_us;
}

/* Returns whether MEMBER is silent to both the reporting delegate and this host. */
static bool
is_silent_to_both (const struct pl_member *member, const struct pl_beacon_state *state,
                   int64_t now_us)
{
  return state->age_us > LIVE_US && now_us - member->heard_us > LIVE_US;
}

/* Applies the states reported by a delegate that are more recent than those known here. */
static void
update_reported_states (struct pl_membership *membership, const struct pl_beacon *beacon,
                        int64_t now_us)
{
  bool is_delegate = pl_membership_is_delegate (membership, now_us);

  for (int i = 0; i < beacon->state_count; i++)
    {
      const struct pl_beacon_state *state = &beacon->states[i];
      struct pl_member *member = g_hash_table_lookup (membership->members, &state->host);
      int64_t heard_us = now_us - state->age_us;

      if (member == NULL && state->host != membership->self)
        membership->lacks_contacts = true;
      if (member == NULL || (is_delegate && is_heard_directly (member, LIVE_US, now_us)))
        continue;
      member->reported_us = now_us;
      if (member->heard && is_silent_to_both (member, state, now_us))
        member->heard_us = MIN (member->heard_us, now_us - LIVE_REPORTED_REMOTE_US - 1);
      if (member->heard && heard_us <= member->heard_us)
        continue;
      update_state (member, state, now_us);
      member->heard_us = heard_us;
      member->is_delegate = state->is_delegate;
    }
}

struct pl_member *
pl_membership_on_beacon (struct pl_membership *membership, const struct pl_beacon *beacon,
                         int region, int64_t now_us)
{
  struct pl_member *member = find_sender (membership, beacon, region, now_us);
  struct pl_beacon_state state = {
      .ready = beacon->ready,
      .leaving = beacon->leaving,
      .active = beacon->active,
      .watching = beacon->watching,
      .servers_lost = beacon->servers_lost,
      .busy_percent = beacon->busy_percent,
  };

  if (member == NULL || is_from_earlier_process (member, beacon, now_us))
    return NULL;
  if (beacon->has_identity)
    set_contact (membership, member, &beacon->self, region);
  member->incarnation = beacon->incarnation;
  if (member->last_beacon_us > 0 && now_us - member->last_beacon_us > PL_MEMBER_SILENT_AFTER_US)
    member->resumed_us = now_us;
  if (!is_heard_directly (member, LIVE_US, now_us))
    member->reports_since_us = INT64_MAX;
  if (beacon->state_count > 0)
    member->reports_since_us = MIN (member->reports_since_us, now_us);
  update_state (member, &state, now_us);
  member->heard_us = now_us;
  member->last_beacon_us = now_us;
  member->contact_seen_us = now_us;
  memcpy (member->held, beacon->held, sizeof member->held);
  member->retained_configuration = beacon->retained_configuration;
  update_from_delegate (membership, member, beacon, now_us);
  for (int i = 0; i < beacon->contact_count; i++)
    pl_membership_add_contact (membership, &beacon->contacts[i], now_us);
  update_reported_states (membership, beacon, now_us);
  return member;
}

bool
pl_member_is_local (const struct pl_membership *membership, const struct pl_member *member)
{
  return member->domain == membership->self_domain;
}

bool
pl_member_is_live (const struct pl_membership *membership, const struct pl_member *member,
                   int64_t now_us)
{
  int64_t reported_limit_us
      = pl_member_is_local (membership, member) ? LIVE_REPORTED_US : LIVE_REPORTED_REMOTE_US;
  /* Delegates of this domain must be heard from directly. */
  bool is_reported = member->reported_us > 0 && now_us - member->reported_us <= reported_limit_us
                     && !(member->is_delegate && pl_member_is_local (membership, member));

  return member->heard && now_us - member->heard_us <= (is_reported ? reported_limit_us : LIVE_US);
}

bool
pl_member_is_serving (const struct pl_membership *membership, const struct pl_member *member,
                      int64_t now_us)
{
  return pl_member_is_live (membership, member, now_us) && member->ready && !member->leaving;
}

void
pl_membership_update_reporters (struct pl_membership *membership, int64_t now_us)
{
  membership->reporter_since_us = INT64_MAX;
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);

      if (is_heard_directly (member, LIVE_US, now_us))
        membership->reporter_since_us
            = MIN (membership->reporter_since_us, member->reports_since_us);
    }
}

/* Returns whether MEMBER counts in the ranking of its domain. */
static bool
is_ranked (const struct pl_membership *membership, const struct pl_member *member, int64_t now_us)
{
  return pl_member_is_live (membership, member, now_us)
         && (!pl_member_is_local (membership, member) || is_heard_directly (member, LIVE_US, now_us)
             || member->reported_us >= membership->reporter_since_us);
}

/* The position of a host in the ranking, which is the same on all hosts. */
struct rank_key
{
  bool watching; /* a store watcher must be a delegate, so that the whole domain learns of it */
  int capacity;
  uint64_t id;
};

static struct rank_key
rank_key_of (const struct pl_member *member)
{
  return (struct rank_key){member->watching, member->contact.capacity, member->id};
}

static struct rank_key
own_key (const struct pl_membership *membership)
{
  return (struct rank_key){membership->self_watching, membership->self_capacity, membership->self};
}

/* Store watchers rank first, then hosts with more capacity. */
static bool
ranks_before (const struct rank_key *a, const struct rank_key *b)
{
  if (a->watching != b->watching)
    return a->watching;
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return pl_hash_pair (RANK_KEY, a->id) > pl_hash_pair (RANK_KEY, b->id);
}

/* Returns how many live hosts of DOMAIN rank before KEY. */
static int
rank_in (const struct pl_membership *membership, int domain, const struct rank_key *key,
         int64_t now_us)
{
  struct rank_key self = own_key (membership);
  int rank = domain == membership->self_domain && ranks_before (&self, key);

  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);
      struct rank_key other = rank_key_of (member);

      rank += member->domain == domain && is_ranked (membership, member, now_us)
              && ranks_before (&other, key);
    }
  return rank;
}

static int
own_rank (const struct pl_membership *membership, int64_t now_us)
{
  struct rank_key key = own_key (membership);

  return rank_in (membership, membership->self_domain, &key, now_us);
}

static int
rank_of (const struct pl_membership *membership, const struct pl_member *member, int64_t now_us)
{
  struct rank_key key = rank_key_of (member);

  return rank_in (membership, member->domain, &key, now_us);
}

bool
pl_membership_is_delegate (const struct pl_membership *membership, int64_t now_us)
{
  return own_rank (membership, now_us) < PL_DELEGATES;
}

/* Inserts KEY into FIRST, which keeps the first PL_DELEGATES in order.  Returns the new count. */
static int
insert_key (struct rank_key *first, int count, const struct rank_key *key)
{
  int at = count;

  while (at > 0 && ranks_before (key, &first[at - 1]))
    at--;
  if (at == PL_DELEGATES)
    return count;
  count = MIN (count + 1, PL_DELEGATES);
  memmove (&first[at + 1], &first[at], sizeof *first * (size_t) (count - 1 - at));
  first[at] = *key;
  return count;
}

int
pl_membership_delegates (const struct pl_membership *membership, uint64_t *ids, int64_t now_us)
{
  struct rank_key first[PL_DELEGATES] = {own_key (membership)};
  int count = 1;
  int others = 0;

  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);
      struct rank_key key = rank_key_of (member);

      if (pl_member_is_local (membership, member) && is_ranked (membership, member, now_us))
        count = insert_key (first, count, &key);
    }
  memset (ids, 0, sizeof *ids * PL_DELEGATES);
  for (int i = 0; i < count; i++)
    {
      ids[i] = first[i].id != membership->self ? first[i].id : 0;
      others += ids[i] != 0;
    }
  return others;
}

static void
add_state (struct pl_beacon *beacon, const struct pl_member *member, int64_t now_us)
{
  beacon->states[beacon->state_count++] = (struct pl_beacon_state){
      .host = member->id,
      .ready = member->ready,
      .leaving = member->leaving,
      .active = member->active,
      .watching = member->watching,
      .is_delegate = member->is_delegate,
      .servers_lost = member->servers_lost,
      .busy_percent = member->busy_percent,
      .age_us = now_us - member->heard_us,
  };
}

/* Only states received directly are passed on: states that circulate would never expire.  A host
 * that has become silent is still reported for a while. */
static bool
should_report_state (const struct pl_member *member, int64_t now_us)
{
  return is_heard_directly (member, LIVE_US, now_us)
         || (is_heard_directly (member, LIVE_US + 2 * CHANGE_PRIORITY_US, now_us)
             && member->last_beacon_us == member->heard_us);
}

void
pl_membership_fill_states (struct pl_membership *membership, struct pl_beacon *beacon,
                           int64_t now_us)
{
  guint count = membership->order->len;
  int remote = 0;

  for (guint i = 0; i < count && beacon->state_count < PL_BEACON_STATES_MAX / 2; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);

      if (pl_member_is_local (membership, member) && should_report_state (member, now_us)
          && now_us - member->changed_us <= CHANGE_PRIORITY_US)
        add_state (beacon, member, now_us);
    }
  for (guint i = 0; i < count && beacon->state_count < PL_BEACON_STATES_MAX; i++)
    {
      const struct pl_member *member
          = pl_membership_at (membership, membership->state_cursor++ % count);
      bool is_local = pl_member_is_local (membership, member);

      if (!is_heard_directly (member, LIVE_US, now_us) || (!is_local && !member->is_delegate)
          || (!is_local && remote == REMOTE_STATES_MAX))
        continue;
      remote += !is_local;
      add_state (beacon, member, now_us);
    }
}

bool
pl_membership_fill_contacts (const struct pl_membership *membership, int domain, guint *at,
                             struct pl_beacon *beacon, int64_t now_us)
{
  int before = beacon->contact_count;

  for (; *at < membership->order->len && beacon->contact_count < PL_BEACON_CONTACTS_MAX; ++*at)
    {
      const struct pl_member *member = pl_membership_at (membership, *at);
      bool is_wanted = domain == PL_NONE
                           ? member->is_delegate || pl_member_is_local (membership, member)
                           : member->domain == domain;

      if (!is_wanted || !pl_member_is_live (membership, member, now_us))
        continue;
      beacon->contacts[beacon->contact_count++] = member->contact;
      if (beacon->state_count < PL_BEACON_STATES_MAX)
        add_state (beacon, member, now_us);
    }
  return beacon->contact_count > before;
}

bool
pl_member_is_standby (const struct pl_membership *membership, const struct pl_member *member,
                      int64_t now_us)
{
  return pl_member_is_local (membership, member) && pl_member_is_live (membership, member, now_us)
         && rank_of (membership, member, now_us) < STANDBYS;
}

void
pl_membership_fill_standbys (struct pl_membership *membership, bool of_this_domain,
                             struct pl_beacon *beacon, int64_t now_us)
{
  guint count = membership->order->len;

  for (guint i = 0; i < count && beacon->contact_count < PL_BEACON_CONTACTS_MAX; i++)
    {
      const struct pl_member *member
          = pl_membership_at (membership, membership->standby_cursor++ % count);

      if (of_this_domain ? pl_member_is_standby (membership, member, now_us)
                         : !pl_member_is_local (membership, member))
        beacon->contacts[beacon->contact_count++] = member->contact;
    }
}

struct domain_count
{
  int hosts;  /* ready for callers */
  int active; /* with recent requests */
  int silent; /* active hosts that became silent without announcing a shutdown */
};

static struct domain_count
count_local_domain (const struct pl_membership *membership, int64_t silent_limit_us, int64_t now_us)
{
  struct domain_count count = {.hosts = 1, .active = 1};

  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);
      bool is_direct = member->last_beacon_us == member->heard_us;
      bool is_silent = is_direct ? now_us - member->heard_us > PL_MEMBER_SILENT_AFTER_US
                                 : !pl_member_is_live (membership, member, now_us);

      if (!pl_member_is_local (membership, member) || !member->heard || member->leaving
          || now_us - member->heard_us > silent_limit_us)
        continue;
      count.hosts += pl_member_is_serving (membership, member, now_us);
      count.active += member->active && !is_silent;
      count.silent += member->active && is_silent;
    }
  return count;
}

/* Counts the hosts of another domain: as its delegates report, or as heard from directly when that
 * is more. */
static struct domain_count
count_remote_domain (const struct pl_membership *membership, int index, int64_t silent_limit_us,
                     int64_t now_us)
{
  const struct pl_domain *domain = domain_at (membership, index);
  struct domain_count reported = {domain->hosts, domain->active, domain->silent};
  struct domain_count heard = {0};
  bool is_silent = now_us - domain->heard_us > PL_MEMBER_SILENT_AFTER_US;

  if (domain->heard_us == 0 || now_us - domain->heard_us > silent_limit_us)
    return heard;
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);

      if (member->domain != index || !member->heard || member->leaving)
        continue;
      heard.hosts += pl_member_is_serving (membership, member, now_us);
      heard.active
          += member->active && (is_silent || pl_member_is_live (membership, member, now_us));
    }
  reported.hosts = MAX (reported.hosts, heard.hosts);
  reported.active = MAX (reported.active, heard.active);
  if (is_silent)
    return (struct domain_count){0, 0, reported.active + reported.silent};
  return reported;
}

static bool
hears_other_domains (const struct pl_membership *membership, int64_t silent_limit_us,
                     int64_t now_us)
{
  for (guint i = 0; i < membership->domains->len; i++)
    {
      const struct pl_domain *domain = domain_at (membership, (int) i);

      if (domain->heard_us > 0 && now_us - domain->heard_us <= silent_limit_us)
        return true;
    }
  return false;
}

static struct pl_fleet_view
count_fleet (const struct pl_membership *membership, int64_t silent_limit_us, int64_t now_us)
{
  struct domain_count local = count_local_domain (membership, silent_limit_us, now_us);
  struct pl_fleet_view view = {local.hosts, local.active, 1, 0};
  int silent = local.silent;

  for (guint i = 0; i < membership->domains->len; i++)
    {
      struct domain_count remote;

      if ((int) i == membership->self_domain)
        continue;
      remote = count_remote_domain (membership, (int) i, silent_limit_us, now_us);
      view.hosts += remote.hosts;
      view.active += remote.active;
      view.domains += remote.hosts > 0;
      silent += remote.silent;
    }
  /* This host knew other domains only from its delegates, which have become silent. */
  if (!hears_other_domains (membership, silent_limit_us, now_us)
      && now_us - membership->reported_us <= silent_limit_us)
    silent = MAX (silent, membership->reported.active - view.active);
  view.silent = (double) silent / (view.active + silent);
  return view;
}

struct pl_fleet_view
pl_membership_view (const struct pl_membership *membership, bool store_lost, int64_t now_us)
{
  int64_t silent_limit_us = store_lost ? INT64_MAX : SILENT_US;

  if (membership->reported_us > 0 && now_us - membership->reported_us <= LIVE_US
      && !pl_membership_is_delegate (membership, now_us))
    return membership->reported;
  return count_fleet (membership, silent_limit_us, now_us);
}

void
pl_membership_count_domain (const struct pl_membership *membership, struct pl_beacon *beacon,
                            int64_t now_us)
{
  struct domain_count local = count_local_domain (membership, SILENT_US, now_us);

  beacon->domain_hosts = local.hosts;
  beacon->domain_active = local.active;
  beacon->domain_silent = local.silent;
}

bool
pl_membership_should_watch (const struct pl_membership *membership, bool store_lost, int64_t now_us)
{
  struct rank_key self = own_key (membership);

  if (!pl_membership_is_delegate (membership, now_us))
    return false;
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);
      struct rank_key other = rank_key_of (member);

      if ((!member->is_delegate && !member->watching)
          || !is_heard_directly (member, LIVE_US, now_us) || member->leaving
          || member->store.is_lost || member->store.is_quiet
          || member->region != membership->self_region)
        continue;
      /* A current watcher ranks first and keeps watching: each change of watcher costs calls. */
      if (store_lost || ranks_before (&other, &self))
        return false;
    }
  return true;
}

int
pl_membership_relay_children (const struct pl_membership *membership,
                              const struct pl_member **children, int64_t now_us)
{
  int own = own_rank (membership, now_us);
  bool watching = membership->self_watching;
  int count = 0;

  for (guint i = 0; i < membership->order->len && count < PL_RELAY_CHILDREN_MAX; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);
      bool is_local = pl_member_is_local (membership, member);
      int rank;

      if (member->region != membership->self_region
          || !pl_member_is_live (membership, member, now_us) || (!is_local && !watching))
        continue;
      rank = rank_of (membership, member, now_us);
      if ((watching && rank == 0) || (is_local && rank > 0 && (rank - 1) / RELAY_FAN_OUT == own))
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
  return pl_member_is_local (membership, member)
         && rank_of (membership, member, now_us) == (own - 1) / RELAY_FAN_OUT;
}

/* The hosts that may own a key. */
struct owner_group
{
  int domain; /* PL_NONE: any */
  int region; /* PL_NONE: any */
  bool active;
};

static bool
is_candidate (const struct owner_group *group, int domain, int region, bool active)
{
  return (group->domain == PL_NONE || group->domain == domain)
         && (group->region == PL_NONE || group->region == region) && (active || !group->active);
}

/* Returns the number of hosts in GROUP.  Sets *BEFORE to how many of them precede this host in the
 * order for KEY, or to the returned number when this host is not in GROUP. */
static int
rank_owners (const struct pl_membership *membership, const struct owner_group *group, uint64_t key,
             int *before, int64_t now_us)
{
  uint64_t own = pl_hash_pair (key, membership->self);
  bool has_self = is_candidate (group, membership->self_domain, membership->self_region,
                                membership->self_active);
  int count = has_self;

  *before = 0;
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);

      if (!pl_member_is_serving (membership, member, now_us)
          || !is_candidate (group, member->domain, member->region, member->active))
        continue;
      count++;
      *before += !has_self || pl_hash_pair (key, member->id) > own;
    }
  return count;
}

int
pl_membership_owners (struct pl_membership *membership, uint64_t key, const char *domain,
                      int region, int limit, int64_t now_us)
{
  int index = pl_membership_ensure_domain (membership, domain, region);
  /* Active hosts are preferred: what is owned by an idle host would get no requests. */
  const struct owner_group groups[] = {{index, PL_NONE, true},
                                       {index, PL_NONE, false},
                                       {PL_NONE, region, true},
                                       {PL_NONE, region, false},
                                       {PL_NONE, PL_NONE, false}};

  for (size_t i = 0; i < G_N_ELEMENTS (groups); i++)
    {
      int before;
      int found = rank_owners (membership, &groups[i], key, &before, now_us);

      if (found > 0)
        return before < MIN (limit, found) ? MIN (limit, found) : 0;
    }
  return 0;
}

/* A host that may issue permits, in the order of preference. */
struct issuer
{
  uint64_t id;
  int proximity; /* to the server: 2 for its domain, 1 for its region */
  uint64_t hash;
};

static void
consider_issuer (struct issuer *best, uint64_t id, uint64_t key, bool is_in_domain,
                 bool is_in_region)
{
  struct issuer issuer = {id, is_in_domain ? 2 : is_in_region, pl_hash_pair (key, id)};

  if (best->id == 0 || issuer.proximity > best->proximity
      || (issuer.proximity == best->proximity && issuer.hash > best->hash))
    *best = issuer;
}

uint64_t
pl_membership_issuer (const struct pl_membership *membership, uint64_t key, const char *domain,
                      int region, bool is_self_ready, int64_t now_us)
{
  struct issuer best = {0};

  if (is_self_ready && pl_membership_is_delegate (membership, now_us))
    consider_issuer (&best, membership->self, key,
                     strcmp (domain_at (membership, membership->self_domain)->name, domain) == 0,
                     membership->self_region == region);
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = pl_membership_at (membership, i);

      if (member->is_delegate && pl_member_is_serving (membership, member, now_us))
        consider_issuer (&best, member->id, key, strcmp (member->contact.domain, domain) == 0,
                         member->region == region);
    }
  return best.id == membership->self ? 0 : best.id;
}

void
pl_membership_expire (struct pl_membership *membership, bool store_lost, int64_t now_us)
{
  if (store_lost)
    return;
  for (guint i = membership->order->len; i > 0; i--)
    {
      struct pl_member *member = g_ptr_array_index (membership->order, i - 1);
      int64_t since_us = member->heard ? member->heard_us : member->contact_seen_us;

      if (now_us - since_us <= EXPIRE_US)
        continue;
      g_hash_table_remove (membership->members, &member->id);
      g_ptr_array_remove_index (membership->order, i - 1);
    }
}
