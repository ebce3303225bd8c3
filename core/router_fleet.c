/* Beacons: sends the state of this host to its peers and processes theirs.
 *
 * Twice a second a host sends its state to the delegates of its domain.  A delegate
 * sends its own to the hosts of its domain, together with states of other hosts, and to
 * the delegates of the other domains.  Row updates, shutdowns and urgent account
 * reports are sent sooner.
 *
 * Account reports follow the same paths: a host's own counts to its delegates, sums of
 * a domain between delegates, and to each active host what the rest of the fleet
 * admitted.
 *
 * A host that knows too few others requests contacts, at first from the seeds in its
 * settings.
 */
#include "internal/router_state.h"

#include <math.h>
#include <string.h>

#define BEACON_PERIOD_US (500 * US_PER_MS)
/* One in this many beacons carries the identity of the sender; silent hosts get only those. */
#define BEACONS_PER_IDENTITY 16
/* A process sends its identity in all beacons for this long after its start. */
#define STARTUP_US (5 * US_PER_S)
/* One in this many regular beacons of a delegate carries states of other hosts, recent changes
 * first; a beacon that is sent early always does. */
#define BEACONS_PER_STATES 2
/* Minimum time between beacons with urgent account reports. */
#define ACCOUNTS_PERIOD_US (20 * US_PER_MS)
/* A host becomes inactive when its decayed count of requests falls below the first, and active when
 * the count reaches the second.  The platform's occasional probes do not make a host active. */
#define ACTIVE_LOW 1.0
#define ACTIVE_HIGH 4.0
/* The count decays by a factor of e in this time: older requests count for about a third. */
#define ACTIVE_DECAY_US (4 * US_PER_S)
#define SEEDS_PERIOD_US (300 * US_PER_MS)
/* Contacts are requested from the seeds when another domain has been silent for this long. */
#define DOMAIN_SILENT_US (2 * US_PER_S)
#define CONTACTS_PERIOD_US (500 * US_PER_MS)
#define SUSPECT_RESEND_US (2 * US_PER_S)

static void
add_suspect (void *data, uint64_t fingerprint, uint64_t server, bool confirmed)
{
  struct pl_beacon *beacon = data;

  if (beacon->suspect_count < PL_BEACON_SUSPECTS_MAX)
    beacon->suspects[beacon->suspect_count++]
        = (struct pl_beacon_suspect){fingerprint, server, confirmed};
}

/* Which count of an account is reported to a kind of recipient. */
struct account_report_policy
{
  enum pl_quota_scope scope;
  int sharers; /* how many hosts or domains keep such a count */
  int shard;   /* the shard of the accounts that this delegate reports; PL_NONE: all */
};

/* The delegates of a domain have the same sums, so each reports only its own shard of the accounts:
 * urgent counts at once, and counts that grow as expected with regular beacons.  If one delegate
 * has failed, the other reports what is urgent in that shard with its next regular beacon. */
static bool
belongs_to_other_delegate (const struct account_report_policy *policy,
                           const struct router_account *account)
{
  return policy->shard != PL_NONE && (int) (account->id % PL_DELEGATES) != policy->shard;
}

/* Returns whether ACCOUNT should be reported now.  ONLY_URGENT leaves the rest for a regular
 * beacon. */
static bool
should_report_account (const struct pl_router *router, const struct account_report_policy *policy,
                       const struct router_account *account, bool only_urgent)
{
  if (!only_urgent)
    return pl_quota_should_report (&account->quota, policy->scope, policy->sharers, router->now_us);
  return !belongs_to_other_delegate (policy, account)
         && pl_quota_is_urgent (&account->quota, policy->scope, policy->sharers, router->now_us);
}

/* Adds to BEACON the counts of the accounts that should be reported. */
static void
add_accounts (struct pl_router *router, const struct account_report_policy *policy,
              bool only_urgent, struct pl_beacon *beacon)
{
  GHashTableIter iter;
  gpointer value;

  beacon->account_scope = policy->scope;
  g_hash_table_iter_init (&iter, router->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && beacon->account_count < PL_BEACON_ACCOUNTS_MAX)
    {
      struct router_account *account = value;
      bool is_omitted;

      if (!should_report_account (router, policy, account, only_urgent))
        continue;
      is_omitted = belongs_to_other_delegate (policy, account)
                   && !pl_quota_is_urgent (&account->quota, policy->scope, policy->sharers,
                                           router->now_us);
      pl_quota_record_report (&account->quota, policy->scope, router->now_us);
      if (is_omitted) /* the other delegate reports it */
        continue;
      beacon->accounts[beacon->account_count++] = (struct pl_beacon_account){
          account->id, (uint32_t) pl_quota_count (&account->quota, policy->scope)};
    }
}

/* Excludes what MEMBER admitted itself from the counts in BEACON. */
static void
exclude_own_counts (struct pl_router *router, const struct pl_member *member,
                    struct pl_beacon *beacon)
{
  for (int i = 0; i < beacon->account_count; i++)
    {
      const struct router_account *account
          = g_hash_table_lookup (router->accounts_by_id, &beacon->accounts[i].account);

      beacon->accounts[i].admitted
          = (uint32_t) pl_quota_count_excluding (&account->quota, member->id);
    }
}

static void
fill_beacon (struct pl_router *router, struct pl_beacon *beacon)
{
  const struct pl_fleet_view *view = router_view (router);

  *beacon = router->self;
  beacon->has_identity = router->now_us - router->started_us < STARTUP_US;
  beacon->ready = pl_router_is_ready (router);
  beacon->leaving = router->stopping;
  beacon->watching = router->watching;
  beacon->store_lost = router->store.is_lost;
  beacon->store_quiet = router->store.is_quiet;
  beacon->servers_lost = pl_reach_is_cut_off (&router->reach);
  beacon->store_error_us
      = router->store.failed_us < 0 ? -1 : router->now_us - router->store.failed_us;
  beacon->confirmed_age_us = freshness_age_us (router);
  for (int t = 0; t < PL_TABLES_MAX; t++)
    beacon->held[t] = router->held[t].version;
  beacon->retained_configuration = eras_retained_configuration (router);
  beacon->busy_percent = router->busy_percent;
  beacon->active = router->membership.self_active;
  beacon->is_delegate = router->is_delegate;
  if (beacon->is_delegate)
    {
      pl_membership_count_domain (&router->membership, beacon, router->now_us);
      beacon->store_down = outages_store_was_down (router);
      beacon->fleet_hosts = view->hosts;
      beacon->fleet_active = view->active;
      beacon->fleet_domains = view->domains;
      beacon->silent_permille = (int) (view->silent * 1000);
    }
  quarantine_visit_recent (&router->quarantine, SUSPECT_RESEND_US, router->now_us, add_suspect,
                           beacon);
}

static void
send_beacon (struct pl_router *router, const char *address, const struct pl_beacon *beacon)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_SEND_BEACON);

  g_strlcpy (effect->u.datagram.address, address, sizeof effect->u.datagram.address);
  effect->u.datagram.beacon = g_memdup2 (beacon, sizeof *beacon);
}

/* Returns whether a configured domain is silent, so that its delegates must be discovered. */
static bool
misses_remote_domain (const struct pl_router *router)
{
  const struct pl_membership *membership = &router->membership;

  for (guint i = 0; i < membership->domains->len; i++)
    {
      const struct pl_domain *domain = &g_array_index (membership->domains, struct pl_domain, i);

      if ((int) i != membership->self_domain
          && (domain->heard_us == 0 || router->now_us - domain->heard_us > DOMAIN_SILENT_US))
        return true;
    }
  return false;
}

/* Contacts are requested from the seeds during the first seconds, and by a delegate while it misses
 * a domain. */
static bool
needs_seeds (struct pl_router *router)
{
  return router->now_us - router->started_us < STARTUP_US
         || (router_is_delegate (router) && misses_remote_domain (router));
}

static void
request_contacts_from_seeds (struct pl_router *router, const struct pl_beacon *beacon)
{
  struct pl_beacon request = *beacon;

  router->seeds_due_us = router->now_us + SEEDS_PERIOD_US;
  request.has_identity = true;
  request.wants_contacts = true;
  for (const char *const *seed = router->options.seeds; seed != NULL && *seed != NULL; seed++)
    if (strcmp (*seed, router->options.peer_address) != 0)
      send_beacon (router, *seed, &request);
}

/* The kind of recipient that a host is, which determines the content of its beacon. */
enum recipient_kind
{
  RECIPIENT_NONE,
  RECIPIENT_DELEGATE,        /* of this domain */
  RECIPIENT_DOMAIN,          /* a host of this domain, of which this host is a delegate */
  RECIPIENT_REMOTE_DELEGATE, /* a delegate of another domain */
  RECIPIENT_KINDS,
};

static enum recipient_kind
recipient_kind_of (const struct pl_router *router, const struct pl_member *member,
                   const uint64_t *delegates, bool is_delegate)
{
  if (!pl_member_is_local (&router->membership, member))
    return is_delegate && (member->is_delegate || !member->heard) ? RECIPIENT_REMOTE_DELEGATE
                                                                  : RECIPIENT_NONE;
  for (int i = 0; i < PL_DELEGATES; i++)
    if (delegates[i] == member->id)
      return RECIPIENT_DELEGATE;
  return is_delegate ? RECIPIENT_DOMAIN : RECIPIENT_NONE;
}

/* One round of beacons; the content is prepared once for each kind of recipient. */
struct round
{
  uint64_t delegates[PL_DELEGATES];
  bool is_delegate;
  bool only_accounts; /* sends account reports only, to hosts that need them */
  bool to_all;        /* this host starts or stops accepting callers */
  bool carries_identity;
  struct pl_beacon beacons[RECIPIENT_KINDS];
};

static void
set_report_policies (struct pl_router *router, struct account_report_policy *policies)
{
  const struct pl_fleet_view *view = router_view (router);

  policies[RECIPIENT_DELEGATE]
      = (struct account_report_policy){PL_QUOTA_HOST, view->active, PL_NONE};
  policies[RECIPIENT_DOMAIN] = (struct account_report_policy){PL_QUOTA_FLEET, 1, PL_NONE};
  policies[RECIPIENT_REMOTE_DELEGATE]
      = (struct account_report_policy){PL_QUOTA_DOMAIN, view->domains, router->account_shard};
}

static void
prepare_round (struct pl_router *router, struct round *round)
{
  struct account_report_policy policies[RECIPIENT_KINDS];
  struct pl_beacon beacon;

  pl_membership_delegates (&router->membership, round->delegates, router->now_us);
  round->is_delegate = router_is_delegate (router);
  fill_beacon (router, &beacon);
  round->carries_identity
      = !round->only_accounts && router->beacon_count++ % BEACONS_PER_IDENTITY == 0;
  beacon.is_short = round->only_accounts;
  beacon.has_identity = beacon.has_identity || round->carries_identity;
  if (!round->only_accounts)
    limits_fill_beacon (router, round->carries_identity, &beacon);
  set_report_policies (router, policies);
  for (int i = RECIPIENT_DELEGATE; i < RECIPIENT_KINDS; i++)
    {
      round->beacons[i] = beacon;
      if (i == RECIPIENT_DELEGATE || round->is_delegate)
        add_accounts (router, &policies[i], round->only_accounts, &round->beacons[i]);
    }
  if (!round->only_accounts && router->membership.lacks_contacts
      && router->now_us >= router->contacts_due_us)
    {
      router->contacts_due_us = router->now_us + CONTACTS_PERIOD_US;
      router->membership.lacks_contacts = false;
      round->beacons[RECIPIENT_DELEGATE].wants_contacts = true;
    }
  if (round->is_delegate && !round->only_accounts
      && (round->to_all || router->beacon_pending
          || router->beacon_count % BEACONS_PER_STATES == 0))
    pl_membership_fill_states (&router->membership, &round->beacons[RECIPIENT_DOMAIN],
                               router->now_us);
}

/* Adds contacts of standby delegates, so that they know each other before they become delegates. */
static void
add_standbys (struct pl_router *router, const struct pl_member *member,
              enum recipient_kind recipient, struct pl_beacon *beacon)
{
  struct pl_membership *membership = &router->membership;

  if (recipient == RECIPIENT_REMOTE_DELEGATE)
    pl_membership_fill_standbys (membership, true, beacon, router->now_us);
  else if (pl_member_is_standby (membership, member, router->now_us))
    pl_membership_fill_standbys (membership, false, beacon, router->now_us);
}

/* Returns whether MEMBER, a recipient of kind RECIPIENT, gets a beacon in this round. */
static bool
is_recipient (const struct pl_router *router, const struct round *round,
              enum recipient_kind recipient, const struct pl_member *member)
{
  /* All hosts of the domain learn at once when this host starts or stops accepting callers. */
  if (recipient == RECIPIENT_NONE)
    return round->to_all && pl_member_is_local (&router->membership, member);
  /* A silent host may be back. */
  return !member->heard || round->carries_identity || round->to_all
         || pl_member_is_live (&router->membership, member, router->now_us);
}

static void
send_to_member (struct pl_router *router, const struct round *round, const struct pl_member *member)
{
  enum recipient_kind recipient
      = recipient_kind_of (router, member, round->delegates, round->is_delegate);
  struct pl_beacon beacon
      = round->beacons[recipient == RECIPIENT_NONE ? RECIPIENT_DELEGATE : recipient];

  if (recipient == RECIPIENT_NONE || (recipient == RECIPIENT_DOMAIN && !member->active))
    beacon.account_count = 0;
  if (!is_recipient (router, round, recipient, member)
      || (round->only_accounts && beacon.account_count == 0))
    return;
  beacon.has_identity = beacon.has_identity || !member->heard;
  if (recipient == RECIPIENT_DOMAIN)
    exclude_own_counts (router, member, &beacon);
  if (round->carries_identity && round->is_delegate)
    add_standbys (router, member, recipient, &beacon);
  send_beacon (router, member->contact.peer_address, &beacon);
}

static void
send_round (struct pl_router *router, bool to_all, bool only_accounts)
{
  g_autofree struct round *round = g_new0 (struct round, 1);

  round->to_all = to_all;
  round->only_accounts = only_accounts;
  prepare_round (router, round);
  for (guint i = 0; i < router->membership.order->len; i++)
    send_to_member (router, round, g_ptr_array_index (router->membership.order, i));
  if (router->now_us >= router->seeds_due_us && needs_seeds (router))
    request_contacts_from_seeds (router, &round->beacons[RECIPIENT_DELEGATE]);
}

/* Announces new row versions to the hosts that get rows from this one. */
static void
announce_to_children (struct pl_router *router)
{
  const struct pl_member *children[PL_RELAY_CHILDREN_MAX];
  int count = pl_membership_relay_children (&router->membership, children, router->now_us);
  struct pl_beacon beacon;

  fill_beacon (router, &beacon);
  for (int i = 0; i < count; i++)
    {
      beacon.has_identity = beacon.has_identity || children[i]->last_beacon_us == 0;
      send_beacon (router, children[i]->contact.peer_address, &beacon);
    }
}

static void
log_silent_hosts (struct pl_router *router)
{
  for (guint i = 0; i < router->membership.order->len; i++)
    {
      struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (!member->logged_live || pl_member_is_live (&router->membership, member, router->now_us))
        continue;
      member->logged_live = false;
      member->changed_us = router->now_us;
      router_log (router, PL_ROUTER_LOG_STATE, "host-silent",
                  json_pack ("{s:s,s:s,s:b,s:I}", "host", member->contact.name, "domain",
                             member->contact.domain, "was_leaving", member->leaving, "silent_us",
                             (json_int_t) (router->now_us - member->heard_us)));
    }
}

/* Returns the count of recent requests, which decays exponentially. */
static double
decayed_request_count (const struct pl_router *router)
{
  double age = (double) (router->now_us - router->last_request_us) / (double) ACTIVE_DECAY_US;

  return router->recent_requests * exp (-age);
}

/* A host that becomes a delegate announces it at once. */
static void
announce_promotion (struct pl_router *router)
{
  bool is_delegate = router_is_delegate (router);

  if (is_delegate == router->was_delegate)
    return;
  router->was_delegate = is_delegate;
  router->delegate_since_us = router->now_us;
  router->beacon_pending = router->beacon_pending || is_delegate;
}

void
fleet_run_timers (struct pl_router *router)
{
  bool due;
  bool accounts_due = router->account_report_pending && router->now_us >= router->accounts_due_us;

  announce_promotion (router);
  due = router->now_us >= router->beacon_due_us || router->beacon_pending;
  if (router->membership.self_active && decayed_request_count (router) < ACTIVE_LOW)
    router->membership.self_active = false;
  if (router->has_row_updates)
    announce_to_children (router);
  router->has_row_updates = false;
  if (due || accounts_due)
    {
      send_round (router, router->notify_domain, !due);
      router->notify_domain = router->notify_domain && !due;
      router->account_report_pending = false;
      router->accounts_due_us = router->now_us + ACCOUNTS_PERIOD_US;
    }
  if (due)
    {
      log_silent_hosts (router);
      router->beacon_pending = false;
      router->beacon_due_us = router->now_us + BEACON_PERIOD_US;
    }
  router->due_us = MIN (router->due_us, router->beacon_due_us);
  if (router->account_report_pending)
    router->due_us = MIN (router->due_us, router->accounts_due_us);
}

static void
discard_account_tokens (struct pl_router *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    pl_quota_discard_tokens (&((struct router_account *) value)->quota);
}

/* Counts a request.  The delegates must learn at once that this host has become active, since they
 * send only active hosts what others admit. */
void
fleet_record_request (struct pl_router *router)
{
  router->recent_requests = decayed_request_count (router) + 1;
  router->last_request_us = router->now_us;
  if (router->membership.self_active || router->recent_requests < ACTIVE_HIGH)
    return;
  router->membership.self_active = true;
  router->beacon_pending = true;
  /* Until now this host received no reports of what others admit. */
  if (!router_is_delegate (router))
    discard_account_tokens (router);
}

static void
schedule_account_reports (struct pl_router *router)
{
  router->account_report_pending = true;
  router->due_us = MIN (router->due_us, MAX (router->accounts_due_us, router->now_us));
}

/* Schedules a report when the count of ACCOUNT, which has grown, is urgent. */
void
fleet_record_admitted (struct pl_router *router, const struct router_account *account)
{
  struct account_report_policy policies[RECIPIENT_KINDS];

  set_report_policies (router, policies);
  for (int i = RECIPIENT_DELEGATE; i < RECIPIENT_KINDS && !router->account_report_pending; i++)
    if ((i == RECIPIENT_DELEGATE || router->is_delegate)
        && should_report_account (router, &policies[i], account, true))
      schedule_account_reports (router);
}

/* Applies reports of suspected and confirmed requests.  A delegate passes on those that are new. */
static void
on_suspects (struct pl_router *router, const struct pl_beacon *beacon)
{
  bool is_new = false;

  for (int i = 0; i < beacon->suspect_count; i++)
    {
      const struct pl_beacon_suspect *suspect = &beacon->suspects[i];

      if (suspect->confirmed)
        is_new |= quarantine_confirm (&router->quarantine, suspect->fingerprint, suspect->server,
                                      router->now_us);
      else
        is_new |= quarantine_record_failure (&router->quarantine, suspect->fingerprint,
                                             suspect->server, false, router->now_us);
    }
  if (is_new && router_is_delegate (router))
    router->beacon_pending = true;
}

/* Returns whether this host uses reports of SCOPE.  A delegate sums up hosts and domains; another
 * host uses the sum from its delegates, which covers the same requests. */
static bool
counts_scope (struct pl_router *router, enum pl_quota_scope scope)
{
  return router_is_delegate (router) != (scope == PL_QUOTA_FLEET);
}

/* Returns the id of the group that the counts of BEACON, from MEMBER, cover, or 0 when MEMBER is
 * not entitled to report them. */
static uint64_t
report_group_of (const struct pl_router *router, const struct pl_member *member,
                 const struct pl_beacon *beacon)
{
  bool is_local = pl_member_is_local (&router->membership, member);

  switch (beacon->account_scope)
    {
    case PL_QUOTA_HOST:
      return is_local ? member->id : 0;
    case PL_QUOTA_DOMAIN:
      return is_local
                 ? 0
                 : g_array_index (router->membership.domains, struct pl_domain, member->domain).id;
    case PL_QUOTA_FLEET:
      return is_local ? pl_id_of ("fleet", "") : 0;
    case PL_QUOTA_SCOPES:
      break;
    }
  return 0;
}

static void
on_accounts (struct pl_router *router, const struct pl_member *member,
             const struct pl_beacon *beacon)
{
  struct pl_quota_report report = {
      .scope = beacon->account_scope,
      .group = report_group_of (router, member, beacon),
      .sender = member->id,
      .incarnation = member->incarnation,
      .resumed_us = member->resumed_us,
      .is_counted = counts_scope (router, beacon->account_scope),
  };

  if (report.group == 0)
    return;
  for (int i = 0; i < beacon->account_count; i++)
    {
      struct router_account *account
          = g_hash_table_lookup (router->accounts_by_id, &beacon->accounts[i].account);

      if (account == NULL)
        continue;
      report.count = beacon->accounts[i].admitted;
      pl_quota_on_report (&account->quota, &report, router->now_us);
      fleet_record_admitted (router, account);
    }
}

/* Sends this host's identity, row versions and servers' limits to MEMBER, which is new, restarted
 * or was silent. */
static void
send_identity (struct pl_router *router, const struct pl_member *member)
{
  struct pl_beacon beacon;
  guint at = 0;
  bool has_more;

  fill_beacon (router, &beacon);
  beacon.has_identity = true;
  do
    {
      beacon.limit_count = 0;
      has_more = limits_fill_first_beacon (router, &beacon, &at);
      send_beacon (router, member->contact.peer_address, &beacon);
    }
  while (has_more);
}

/* Sends MEMBER as many contacts of hosts of DOMAIN as fit into one beacon, starting at *AT. */
static bool
send_contacts_beacon (struct pl_router *router, const struct pl_member *member, int domain,
                      guint *at)
{
  struct pl_beacon beacon;

  fill_beacon (router, &beacon);
  beacon.has_identity = true;
  if (!pl_membership_fill_contacts (&router->membership, domain, at, &beacon, router->now_us))
    return false;
  send_beacon (router, member->contact.peer_address, &beacon);
  return true;
}

/* Sends contacts to MEMBER.  A member of this domain gets those of the domain and of all delegates;
 * a member of another domain gets some of its own domain, and some of this domain and of the
 * delegates, round-robin. */
static void
send_contacts (struct pl_router *router, const struct pl_member *member)
{
  struct pl_membership *membership = &router->membership;
  guint at = 0;

  send_identity (router, member);
  if (pl_member_is_local (membership, member))
    {
      while (send_contacts_beacon (router, member, PL_NONE, &at))
        continue;
      return;
    }
  send_contacts_beacon (router, member, member->domain, &at);
  if (!send_contacts_beacon (router, member, PL_NONE, &membership->contact_cursor))
    membership->contact_cursor = 0;
}

/* Returns whether MEMBER sends its beacons to this host by mistake: neither is a delegate. */
static bool
is_misdirected (struct pl_router *router, const struct pl_member *member)
{
  return pl_member_is_local (&router->membership, member) && !member->is_delegate
         && !router_is_delegate (router);
}

static bool
may_send_unrequested_contacts (const struct pl_router *router, struct pl_member *member)
{
  if (router->now_us - member->contacts_sent_us < CONTACTS_PERIOD_US)
    return false;
  member->contacts_sent_us = router->now_us;
  return true;
}

static void
on_short_beacon (struct pl_router *router, const struct pl_beacon *beacon)
{
  struct pl_member *member = g_hash_table_lookup (router->membership.members, &beacon->host);

  if (member == NULL || member->incarnation != beacon->incarnation)
    return;
  on_accounts (router, member, beacon);
  limits_on_permits (router, member, beacon);
}

static void
on_full_beacon (struct pl_router *router, const struct pl_beacon *beacon)
{
  const struct pl_member *known = g_hash_table_lookup (router->membership.members, &beacon->host);
  bool is_known = known != NULL && known->last_beacon_us > 0
                  && known->incarnation == beacon->incarnation
                  && pl_member_is_live (&router->membership, known, router->now_us);
  struct pl_member *member = pl_membership_on_beacon (
      &router->membership, beacon, router_domain_region (router, beacon->self.domain),
      router->now_us);

  if (member == NULL)
    return;
  if (!member->logged_live)
    {
      member->logged_live = true;
      router_log (router, PL_ROUTER_LOG_STATE, "host-heard",
                  json_pack ("{s:s,s:s,s:b}", "host", member->contact.name, "domain",
                             member->contact.domain, "ready", beacon->ready));
    }
  if (beacon->wants_contacts
      || (is_known && is_misdirected (router, member)
          && may_send_unrequested_contacts (router, member)))
    send_contacts (router, member);
  else if (!is_known && beacon->has_identity)
    send_identity (router, member);
  outages_on_beacon (router, member, beacon);
  freshness_on_beacon (router, member, beacon);
  on_accounts (router, member, beacon);
  on_suspects (router, beacon);
  limits_on_beacon (router, beacon);
  for (int t = 0; t < PL_TABLES_MAX; t++)
    if (beacon->held[t] > router->held[t].version)
      router->due_us = router->now_us;
  if (beacon->retained_configuration > 0)
    router->due_us = router->now_us;
}

void
fleet_on_beacon (struct pl_router *router, const struct pl_beacon *beacon)
{
  if (beacon->is_short)
    on_short_beacon (router, beacon);
  else
    on_full_beacon (router, beacon);
}

void
fleet_record_suspect (struct pl_router *router, uint64_t fingerprint, uint64_t server,
                      bool is_only_suspect)
{
  if (!quarantine_record_failure (&router->quarantine, fingerprint, server, is_only_suspect,
                                  router->now_us))
    return;
  router->beacon_pending = true;
  router_log (
      router, PL_ROUTER_LOG_STATE, "request-suspected",
      json_pack ("{s:I,s:b}", "fingerprint", (json_int_t) (fingerprint >> 1), "convicted",
                 quarantine_get_status (&router->quarantine, fingerprint) == QUARANTINE_CONFIRMED));
}
