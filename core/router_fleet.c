/* Beacons: what this host tells its peers, how often, and what it learns.
 *
 * Hosts of this region, and those that take requests, hear of it twice a second and
 * others each two seconds; news, leaving, and
 * accounts of which much was admitted are told sooner.  Accounts are told only to
 * hosts that take requests, and addresses of other hosts go along now and then.
 */
#include "internal/router_state.h"

#include <string.h>

#define BEACON_PERIOD_US (500 * MS_US)
/* Other regions get each fourth one, but for hosts that take requests on both sides. */
#define FAR_EACH 4
/* Each so many beacons tell who the sender is, and of other hosts. */
#define IDENTITY_EACH 8
/* All of them do while a process is young. */
#define YOUNG_US (5 * S_US)
/* Beacons that tell of accounts follow each other no faster, and slower in a large fleet, where
 * they would be most of what hosts send: with 300 hosts they go with about every regular beacon. */
#define ACCOUNTS_PERIOD_US (40 * MS_US)
#define ACCOUNTS_PERIOD_A_HOST_US (2 * MS_US)
#define ACCOUNTS_HOSTS_FREE 50
/* A host that took no request for so long is not active. */
#define ACTIVE_US (4 * S_US)
#define SEEDS_PERIOD_US (300 * MS_US)
#define SUSPECT_RETELL_US (2 * S_US)

static void
add_suspect (void *data, uint64_t fingerprint, uint64_t server, bool convicted)
{
  struct pl_beacon *beacon = data;

  if (beacon->suspect_count < PL_BEACON_SUSPECTS_MAX)
    beacon->suspects[beacon->suspect_count++]
        = (struct pl_beacon_suspect){fingerprint, server, convicted};
}

/* Adds the accounts of which peers should know more. */
static void
add_accounts (struct pl_router *router, struct pl_beacon *beacon)
{
  int hosts = pl_membership_active_count (&router->membership, router->now_us);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && beacon->account_count < PL_BEACON_ACCOUNTS_MAX)
    {
      struct router_account *account = value;

      if (!pl_quota_should_tell (&account->quota, hosts, router->now_us))
        continue;
      pl_quota_note_told (&account->quota, router->now_us);
      beacon->accounts[beacon->account_count++]
          = (struct pl_beacon_account){account->id, account->quota.admitted};
    }
}

static void
fill_beacon (struct pl_router *router, struct pl_beacon *beacon)
{
  *beacon = router->self;
  beacon->has_identity = router->now_us - router->started_us < YOUNG_US;
  beacon->ready = pl_router_is_ready (router);
  beacon->leaving = router->stopping;
  beacon->watching = router->watching;
  beacon->store_lost = router->store_lost;
  beacon->store_trouble_us
      = router->store_trouble_us < 0 ? -1 : router->now_us - router->store_trouble_us;
  for (int t = 0; t < PL_TABLES_MAX; t++)
    beacon->held[t] = router->held[t].version;
  beacon->busy_percent = router->busy_percent;
  beacon->active = router->membership.self_active;
  quarantine_retell (&router->quarantine, SUSPECT_RETELL_US, router->now_us, add_suspect, beacon);
}

/* For hosts that may not know who the sender is. */
static void
add_identity (struct pl_router *router, struct pl_beacon *beacon)
{
  beacon->has_identity = true;
  pl_membership_fill_contacts (&router->membership, beacon, router->now_us);
}

static void
tell (struct pl_router *router, const char *address, const struct pl_beacon *beacon)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_TELL);

  g_strlcpy (effect->u.tell.address, address, sizeof effect->u.tell.address);
  effect->u.tell.beacon = g_memdup2 (beacon, sizeof *beacon);
}

static bool
knows_address (const struct pl_router *router, const char *address)
{
  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (pl_member_is_live (&router->membership, member, router->now_us)
          && strcmp (member->contact.peer_address, address) == 0)
        return true;
    }
  return false;
}

static void
tell_seeds (struct pl_router *router, const struct pl_beacon *beacon)
{
  for (const char *const *seed = router->options.seeds; seed != NULL && *seed != NULL; seed++)
    if (strcmp (*seed, router->options.peer_address) != 0 && !knows_address (router, *seed))
      tell (router, *seed, beacon);
}

/* TO_ALL: other regions too, whether it is their turn or not.  ONLY_ACCOUNTS: only those who want
 * to know of accounts. */
static void
tell_members (struct pl_router *router, bool to_all, bool only_accounts)
{
  struct pl_beacon beacon;
  struct pl_beacon account_beacon;
  struct pl_beacon full_beacon;
  bool far_turn = to_all || router->beacon_turn % FAR_EACH == 0;

  fill_beacon (router, &beacon);
  if (!only_accounts && router->beacon_turn++ % IDENTITY_EACH == 0)
    add_identity (router, &beacon);
  full_beacon = beacon;
  add_identity (router, &full_beacon);
  account_beacon = beacon;
  add_accounts (router, &account_beacon);
  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (member->active && account_beacon.account_count > 0)
        tell (router, member->contact.peer_address, &account_beacon);
      else if (only_accounts)
        continue;
      else if (!member->heard)
        tell (router, member->contact.peer_address, &full_beacon);
      else if (far_turn || member->region == router->membership.self_region
               || (beacon.active && member->active))
        tell (router, member->contact.peer_address, &beacon);
    }
  if (router->now_us >= router->seeds_due_us)
    {
      router->seeds_due_us = router->now_us + SEEDS_PERIOD_US;
      tell_seeds (router, &full_beacon);
    }
}

/* News came: those that get it from this host are told. */
static void
tell_children (struct pl_router *router)
{
  const struct pl_member *children[PL_RELAY_CHILDREN_MAX];
  int count = pl_membership_relay_children (&router->membership, router->watching, children,
                                            router->now_us);
  struct pl_beacon beacon;

  fill_beacon (router, &beacon);
  for (int i = 0; i < count; i++)
    tell (router, children[i]->contact.peer_address, &beacon);
}

static void
note_silent (struct pl_router *router)
{
  for (guint i = 0; i < router->membership.order->len; i++)
    {
      struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (!member->noted_live || pl_member_is_live (&router->membership, member, router->now_us))
        continue;
      member->noted_live = false;
      router_note (router, PL_NOTE_BELIEF, "host-silent",
                   json_pack ("{s:s,s:s,s:b,s:I}", "host", member->contact.name, "domain",
                              member->domain, "was_leaving", member->leaving, "silent_us",
                              (json_int_t) (router->now_us - member->heard_us)));
    }
}

static int64_t
accounts_period_us (const struct pl_router *router)
{
  int hosts = pl_membership_active_count (&router->membership, router->now_us);

  return ACCOUNTS_PERIOD_US + ACCOUNTS_PERIOD_A_HOST_US * MAX (hosts - ACCOUNTS_HOSTS_FREE, 0);
}

void
fleet_run_timers (struct pl_router *router)
{
  bool due = router->now_us >= router->beacon_due_us || router->tell_soon;
  bool accounts = router->tell_accounts && router->now_us >= router->accounts_due_us;

  if (router->now_us - router->asked_us > ACTIVE_US)
    router->membership.self_active = false;
  if (router->has_news && !due)
    tell_children (router);
  router->has_news = false;
  if (due || accounts)
    {
      tell_members (router, router->tell_soon, !due);
      router->tell_accounts = false;
      router->accounts_due_us = router->now_us + accounts_period_us (router);
    }
  if (due)
    {
      note_silent (router);
      router->tell_soon = false;
      router->beacon_due_us = router->now_us + BEACON_PERIOD_US;
    }
  router->due_us = MIN (router->due_us, router->beacon_due_us);
  if (router->tell_accounts)
    router->due_us = MIN (router->due_us, router->accounts_due_us);
}

/* A request came.  Peers must know at once that this host is active, since they tell only such
 * hosts what they admit. */
void
fleet_note_asked (struct pl_router *router)
{
  router->asked_us = router->now_us;
  if (router->membership.self_active)
    return;
  router->membership.self_active = true;
  router->tell_soon = true;
}

/* A request of ACCOUNT was admitted. */
void
fleet_note_admitted (struct pl_router *router, const struct router_account *account)
{
  int hosts = pl_membership_active_count (&router->membership, router->now_us);

  if (!pl_quota_is_pressing (&account->quota, hosts))
    return;
  router->tell_accounts = true;
  router->due_us = MIN (router->due_us, MAX (router->accounts_due_us, router->now_us));
}

static void
on_suspects (struct pl_router *router, const struct pl_beacon *beacon)
{
  for (int i = 0; i < beacon->suspect_count; i++)
    {
      const struct pl_beacon_suspect *suspect = &beacon->suspects[i];

      if (suspect->convicted)
        quarantine_convict (&router->quarantine, suspect->fingerprint, router->now_us);
      else
        quarantine_note_death (&router->quarantine, suspect->fingerprint, suspect->server, false,
                               router->now_us);
    }
}

static void
on_accounts (struct pl_router *router, const struct pl_member *member,
             const struct pl_beacon *beacon)
{
  for (int i = 0; i < beacon->account_count; i++)
    {
      struct router_account *account
          = g_hash_table_lookup (router->accounts, &beacon->accounts[i].account);

      if (account != NULL)
        pl_quota_on_peer (&account->quota, member->id, member->incarnation,
                          beacon->accounts[i].admitted, member->returned_us, router->now_us);
    }
}

/* A host that has just started learns at once what this one holds. */
static void
greet (struct pl_router *router, const struct pl_member *member)
{
  struct pl_beacon beacon;

  fill_beacon (router, &beacon);
  add_identity (router, &beacon);
  tell (router, member->contact.peer_address, &beacon);
}

void
fleet_on_beacon (struct pl_router *router, const struct pl_beacon *beacon)
{
  const struct pl_member *known = g_hash_table_lookup (router->membership.members, &beacon->host);
  bool is_known = known != NULL && known->incarnation == beacon->incarnation
                  && pl_member_is_live (&router->membership, known, router->now_us);
  const struct pl_member *member = pl_membership_on_beacon (
      &router->membership, beacon, router_region (router, beacon->domain), router->now_us);

  if (member == NULL)
    return;
  if (!is_known)
    {
      greet (router, member);
      router_note (router, PL_NOTE_BELIEF, "host-heard",
                   json_pack ("{s:s,s:s,s:b}", "host", member->contact.name, "domain",
                              member->domain, "ready", beacon->ready));
    }
  on_accounts (router, member, beacon);
  on_suspects (router, beacon);
  for (int t = 0; t < PL_TABLES_MAX; t++)
    if (beacon->held[t] > router->held[t].version)
      router->due_us = router->now_us;
}

void
fleet_note_suspect (struct pl_router *router, uint64_t fingerprint, uint64_t server, bool alone)
{
  if (!quarantine_note_death (&router->quarantine, fingerprint, server, alone, router->now_us))
    return;
  router->tell_soon = true;
  router_note (
      router, PL_NOTE_BELIEF, "request-suspected",
      json_pack ("{s:I,s:b}", "fingerprint", (json_int_t) (fingerprint >> 1), "convicted",
                 quarantine_judge (&router->quarantine, fingerprint) == QUARANTINE_CONVICTED));
}
