/* Beacons: what this host tells its peers, how often, and what it learns.
 *
 * The pace is slow while nothing happens, and fast while an account is close to
 * its limit, since what peers admit is guessed between beacons.  News, and leaving,
 * are told at once.
 */
#include "internal/router_state.h"

#include <string.h>

#define BEACON_SLOW_US (500 * MS_US)
#define BEACON_FAST_US (150 * MS_US)
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

/* Accounts that admitted something since the last beacon. */
static void
add_accounts (struct pl_router *router, struct pl_beacon *beacon)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && beacon->account_count < PL_BEACON_ACCOUNTS_MAX)
    {
      struct router_account *account = value;

      if (account->quota.admitted == account->told)
        continue;
      account->told = account->quota.admitted;
      beacon->accounts[beacon->account_count++]
          = (struct pl_beacon_account){account->id, account->quota.admitted};
    }
}

static void
fill_beacon (struct pl_router *router, struct pl_beacon *beacon)
{
  *beacon = router->self;
  beacon->ready = pl_router_is_ready (router);
  beacon->leaving = router->stopping;
  beacon->watching = router->watching;
  beacon->store_lost = router->store_lost;
  beacon->store_trouble_us
      = router->store_trouble_us < 0 ? -1 : router->now_us - router->store_trouble_us;
  for (int t = 0; t < PL_TABLES_MAX; t++)
    beacon->held[t] = router->held[t].version;
  add_accounts (router, beacon);
  pl_membership_fill_contacts (&router->membership, beacon, router->now_us);
  quarantine_retell (&router->quarantine, SUSPECT_RETELL_US, router->now_us, add_suspect, beacon);
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

      if (pl_member_is_live (member, router->now_us)
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

void
fleet_tell_all (struct pl_router *router)
{
  struct pl_beacon beacon;

  fill_beacon (router, &beacon);
  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      tell (router, member->contact.peer_address, &beacon);
    }
  if (router->now_us >= router->seeds_due_us)
    {
      router->seeds_due_us = router->now_us + SEEDS_PERIOD_US;
      tell_seeds (router, &beacon);
    }
}

static bool
is_pressed (struct pl_router *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct router_account *account = value;

      if (account->listed && account->quota.admitted != account->told
          && pl_quota_is_pressed (&account->quota))
        return true;
    }
  return false;
}

void
fleet_run_timers (struct pl_router *router)
{
  if (router->now_us >= router->beacon_due_us || router->tell_soon)
    {
      router->tell_soon = false;
      router->beacon_due_us
          = router->now_us + (is_pressed (router) ? BEACON_FAST_US : BEACON_SLOW_US);
      fleet_tell_all (router);
    }
  router->due_us = MIN (router->due_us, router->beacon_due_us);
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
                          beacon->accounts[i].admitted, router->now_us);
    }
}

void
fleet_on_beacon (struct pl_router *router, const struct pl_beacon *beacon)
{
  uint64_t id = pl_id_of ("entry_hosts", beacon->self.name);
  const struct pl_member *known = g_hash_table_lookup (router->membership.members, &id);
  bool was_live = known != NULL && pl_member_is_live (known, router->now_us);
  const struct pl_member *member = pl_membership_on_beacon (
      &router->membership, beacon, router_region (router, beacon->domain), router->now_us);

  if (member == NULL)
    return;
  if (!was_live)
    {
      router->tell_soon = true;
      router_note (router, PL_NOTE_BELIEF, "host-heard",
                   json_pack ("{s:s,s:s,s:b}", "host", beacon->self.name, "domain", beacon->domain,
                              "ready", beacon->ready));
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
