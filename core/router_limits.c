/* Rate limits that backend servers name in their answers.
 *
 * What any host learns of a limit travels with the beacons, so that hosts that have not
 * sent the server a request yet keep it too.  Permits are asked for and granted in short
 * datagrams between a host and the issuer of the server's permits.
 *
 * Hosts choose the issuer by the same rule from the hosts that they know to be live,
 * without an election.  While their views differ, a host that does not consider itself
 * the issuer grants nothing, and one that does starts with at most the capacity of the
 * bucket.  Both sides of a network partition issue only the fraction of the limit that
 * belongs to the hosts that they hear from.
 */
#include "internal/router_state.h"

#include <string.h>

/* A host that has just started does not know yet which others are live, and would issue permits
 * beside the actual issuer. */
#define ISSUE_AFTER_START_US (2 * US_PER_S)
#define ISSUER_PERIOD_US (50 * US_PER_MS)
/* Time from an ask to its answer that is assumed of an issuer that has not answered yet. */
#define TRIP_ASSUMED_US (30 * US_PER_MS)
/* Weight of the newest time in the average. */
#define TRIP_WEIGHT 0.25
/* Minimum time between datagrams with asks. */
#define ASK_PERIOD_US (10 * US_PER_MS)
/* The wait told to a host that takes this one for the issuer by mistake: its view will soon be the
 * same. */
#define WRONG_ISSUER_WAIT_US (200 * US_PER_MS)
/* Number of entry hosts that share the rate of a cold server, as a ratio of that rate per second.
 * Each holds at most one token, so the number bounds what they can send at once. */
#define COLD_OWNERS_RATIO 0.5
/* More than there are hosts. */
#define COLD_OWNERS_MAX 1e6
/* A changed limit goes into all beacons for this long. */
#define CHANGE_PRIORITY_US (3 * US_PER_S)
/* Other limits in one beacon, in turn, for hosts that missed the change. */
#define UNCHANGED_LIMITS_MAX 8

static void
log_limit (struct pl_router *router, const struct pl_backend *backend, const char *source)
{
  const struct pl_server_limit *limit = &backend->limit;

  router_log (router, PL_ROUTER_LOG_STATE, "server-limit",
              json_pack ("{s:s,s:s,s:b,s:f,s:s,s:I}", "server", backend->entry.id, "domain",
                         backend->entry.domain, "in_force", limit->in_force, "per_second",
                         limit->per_second, "source", source, "sent", (json_int_t) limit->sent));
}

static void
on_ended (struct pl_router *router, const struct pl_backend *backend, const char *source)
{
  log_limit (router, backend, source);
  calls_on_permits (router, backend);
}

void
limits_on_report (struct pl_router *router, struct pl_backend *backend,
                  enum pl_rate_limit_report report, double per_second)
{
  if (report == PL_RATE_LIMIT_NAMED
      && pl_server_limit_record_named (&backend->limit, per_second, router->now_us, router->now_us))
    log_limit (router, backend, "answer");
}

void
limits_on_answer (struct pl_router *router, struct pl_backend *backend,
                  const struct pl_attempt_event *event, int64_t sent_us)
{
  limits_on_report (router, backend, event->rate_limit_report, event->rate_limit);
  if (event->rate_limit_report == PL_RATE_LIMIT_ABSENT && event->end == PL_ATTEMPT_ANSWERED
      && event->status < 500
      && pl_server_limit_record_absent (&backend->limit, sent_us, router->now_us))
    on_ended (router, backend, "answer");
}

/* Returns whether this host issues the permits for BACKEND; looks up who does when that is due. */
static bool
is_issuer (struct pl_router *router, struct pl_backend *backend)
{
  struct pl_server_limit *limit = &backend->limit;

  if (router->now_us >= limit->issuer_due_us)
    {
      limit->issuer
          = pl_membership_issuer (&router->membership, backend->hash, backend->entry.domain,
                                  backend->region, pl_router_is_ready (router), router->now_us);
      limit->issuer_due_us = router->now_us + ISSUER_PERIOD_US;
    }
  return limit->issuer == 0;
}

/* Returns the other host that issues the permits for BACKEND, or NULL when it is not known. */
static const struct pl_member *
issuer_of (const struct pl_router *router, const struct pl_backend *backend)
{
  return g_hash_table_lookup (router->membership.members, &backend->limit.issuer);
}

/* Returns the fraction of limits that this host issues: that of the hosts that are not silent. */
static double
issued_share (struct pl_router *router)
{
  if (router->now_us - router->started_us < ISSUE_AFTER_START_US)
    return 0;
  return 1 - router_view (router)->silent;
}

enum pl_permit
limits_permit (struct pl_router *router, struct pl_backend *backend, int64_t wait_us)
{
  struct pl_server_limit *limit = &backend->limit;
  const struct pl_member *issuer;
  int64_t trip_us;
  int64_t asked_us;

  if ((router->options.switches & PL_ROUTER_NO_PERMITS) != 0)
    return PL_PERMIT_HELD;
  if (is_issuer (router, backend))
    return pl_server_limit_can_issue (limit, issued_share (router), router->now_us)
               ? PL_PERMIT_HELD
               : PL_PERMIT_NONE;
  if (pl_server_limit_permits (limit, router->now_us) > 0)
    return PL_PERMIT_HELD;
  issuer = issuer_of (router, backend);
  if (issuer == NULL || wait_us <= 0 || router->now_us < limit->ask_after_us)
    return PL_PERMIT_NONE;
  trip_us = issuer->permit_trip_us > 0 ? issuer->permit_trip_us : TRIP_ASSUMED_US;
  asked_us = pl_server_limit_is_asking (limit, router->now_us) ? limit->asked_us : router->now_us;
  return asked_us + trip_us <= router->now_us + wait_us ? PL_PERMIT_EXPECTED : PL_PERMIT_NONE;
}

/* Returns this host's share of a cold server's rate, reduced by the fraction of the active hosts
 * that are silent, since those may be sending to the server too. */
static double
cold_share (void *data, const struct pl_backend *backend, double cold_per_second)
{
  struct pl_router *router = data;
  int owners = (int) CLAMP (cold_per_second * COLD_OWNERS_RATIO, 1, COLD_OWNERS_MAX);
  int found = pl_membership_owners (&router->membership, backend->hash, backend->entry.domain,
                                    backend->region, owners, router->now_us);

  return found > 0 ? (1 - router_view (router)->silent) / found : 0;
}

static enum pl_permit
permit (void *data, struct pl_backend *backend, int64_t wait_us)
{
  return limits_permit (data, backend, wait_us);
}

const struct pl_placement_shares limits_shares = {cold_share, permit};

int64_t
limits_wait_us (struct pl_router *router, struct pl_backend *backend)
{
  int64_t wait_us;

  if (!is_issuer (router, backend))
    return MAX (backend->limit.ask_after_us - router->now_us, 0);
  pl_server_limit_issue (&backend->limit, issued_share (router), 0, &wait_us, router->now_us);
  return wait_us;
}

static void
schedule_ask (struct pl_router *router, const struct pl_backend *backend)
{
  if (backend->limit.issuer == 0 || pl_server_limit_wanted (&backend->limit, router->now_us) == 0)
    return;
  router->permits_wanted = true;
  router->due_us = MIN (router->due_us, MAX (router->asks_due_us, router->now_us));
}

void
limits_on_missed (struct pl_router *router, struct pl_backend *backend)
{
  pl_server_limit_count_demand (&backend->limit, router->now_us);
  backend->limit.missed = true;
  router->counts_permits.missed++;
  schedule_ask (router, backend);
}

void
limits_on_placed (struct pl_router *router, struct call *call)
{
  struct pl_backend *backend = call->choice.unpermitted;

  call->passed_over = backend != NULL ? backend->hash : 0;
  if (backend == NULL)
    return;
  if (!call->missed_permit)
    limits_on_missed (router, backend);
  call->missed_permit = true;
}

void
limits_on_sent (struct pl_router *router, struct pl_backend *backend, bool is_new_demand)
{
  struct pl_server_limit *limit = &backend->limit;
  int64_t wait_us;

  if (!limit->in_force)
    return;
  limit->sent++;
  router->counts_permits.sent++;
  if (is_new_demand)
    pl_server_limit_count_demand (limit, router->now_us);
  if (is_issuer (router, backend))
    pl_server_limit_issue (limit, issued_share (router), 1, &wait_us, router->now_us);
  else if (pl_server_limit_permits (limit, router->now_us) > 0)
    pl_server_limit_use_permit (limit);
  schedule_ask (router, backend);
}

static struct pl_beacon_limit
describe_limit (const struct pl_router *router, const struct pl_backend *backend)
{
  return (struct pl_beacon_limit){
      .server = backend->hash,
      .in_force = backend->limit.in_force,
      .per_second = backend->limit.per_second,
      .age_us = router->now_us - backend->limit.learned_us,
  };
}

static void
begin_permits_beacon (const struct pl_router *router, struct pl_beacon *beacon)
{
  memset (beacon, 0, sizeof *beacon);
  beacon->host = router->self.host;
  beacon->incarnation = router->self.incarnation;
  beacon->is_short = true;
}

static void
send_permits (struct pl_router *router, const struct pl_member *member,
              const struct pl_beacon *beacon)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_SEND_BEACON);

  g_strlcpy (effect->u.datagram.address, member->contact.peer_address,
             sizeof effect->u.datagram.address);
  effect->u.datagram.beacon = g_memdup2 (beacon, sizeof *beacon);
}

/* Adds the ask for permits of BACKEND to BEACON, which goes to its issuer. */
static void
add_ask (struct pl_router *router, struct pl_backend *backend, struct pl_beacon *beacon)
{
  int wanted = pl_server_limit_wanted (&backend->limit, router->now_us);

  beacon->permits[beacon->permits_count++] = (struct pl_beacon_permits){
      .limit = describe_limit (router, backend),
      .count = MIN (wanted, PL_BEACON_PERMIT_COUNT_MAX),
  };
  router->counts_permits.asked += (uint64_t) wanted;
  pl_server_limit_record_ask (&backend->limit, router->now_us);
}

/* Sends the asks that are due to ISSUER.  Returns whether all of them fit into one beacon. */
static bool
send_asks_to (struct pl_router *router, const struct pl_member *issuer)
{
  struct pl_beacon beacon;
  GHashTableIter iter;
  gpointer value;

  begin_permits_beacon (router, &beacon);
  g_hash_table_iter_init (&iter, router->placement.backends);
  while (beacon.permits_count < PL_BEACON_PERMITS_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_backend *backend = value;

      if (backend->limit.issuer == issuer->id
          && pl_server_limit_wanted (&backend->limit, router->now_us) > 0)
        add_ask (router, backend, &beacon);
    }
  if (beacon.permits_count > 0)
    send_permits (router, issuer, &beacon);
  return beacon.permits_count < PL_BEACON_PERMITS_MAX;
}

void
limits_send_asks (struct pl_router *router)
{
  GHashTableIter iter;
  gpointer value;

  if (!router->permits_wanted || router->now_us < router->asks_due_us)
    return;
  router->permits_wanted = false;
  router->asks_due_us = router->now_us + ASK_PERIOD_US;
  g_hash_table_iter_init (&iter, router->placement.backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_backend *backend = value;
      const struct pl_member *issuer;

      if (pl_server_limit_wanted (&backend->limit, router->now_us) == 0
          || is_issuer (router, backend))
        continue;
      issuer = issuer_of (router, backend);
      while (issuer != NULL && !send_asks_to (router, issuer))
        continue;
    }
}

/* Answers an ask of another host.  Only the issuer grants permits. */
static struct pl_beacon_permits
answer_ask (struct pl_router *router, struct pl_backend *backend, int wanted)
{
  struct pl_beacon_permits answer = {.is_grant = true, .wait_us = WRONG_ISSUER_WAIT_US};

  if (is_issuer (router, backend) && backend->limit.in_force)
    answer.count = pl_server_limit_issue (&backend->limit, issued_share (router), wanted,
                                          &answer.wait_us, router->now_us);
  answer.limit = describe_limit (router, backend);
  router->counts_permits.issued += (uint64_t) answer.count;
  return answer;
}

static void
on_limit (struct pl_router *router, struct pl_backend *backend, const struct pl_beacon_limit *limit)
{
  int64_t at_us = router->now_us - limit->age_us;

  if (limit->in_force)
    {
      if (pl_server_limit_record_named (&backend->limit, limit->per_second, at_us, router->now_us))
        log_limit (router, backend, "peer");
    }
  else if (pl_server_limit_record_end (&backend->limit, at_us, router->now_us))
    on_ended (router, backend, "peer");
}

static void
on_grant (struct pl_router *router, struct pl_member *member, struct pl_backend *backend,
          const struct pl_beacon_permits *grant)
{
  struct pl_server_limit *limit = &backend->limit;
  int64_t trip_us = router->now_us - limit->asked_us;

  if (limit->asked_us > 0)
    member->permit_trip_us = member->permit_trip_us == 0
                                 ? trip_us
                                 : (int64_t) ((double) member->permit_trip_us * (1 - TRIP_WEIGHT)
                                              + (double) trip_us * TRIP_WEIGHT);
  router->counts_permits.granted += (uint64_t) grant->count;
  pl_server_limit_add_permits (limit, grant->count, grant->wait_us, router->now_us);
  calls_on_permits (router, backend);
}

void
limits_on_permits (struct pl_router *router, struct pl_member *member,
                   const struct pl_beacon *beacon)
{
  struct pl_beacon answers;

  begin_permits_beacon (router, &answers);
  for (int i = 0; i < beacon->permits_count; i++)
    {
      const struct pl_beacon_permits *permits = &beacon->permits[i];
      struct pl_backend *backend
          = pl_placement_find_by_hash (&router->placement, permits->limit.server);

      if (backend == NULL)
        continue;
      on_limit (router, backend, &permits->limit);
      if (permits->is_grant)
        on_grant (router, member, backend, permits);
      else
        answers.permits[answers.permits_count++] = answer_ask (router, backend, permits->count);
    }
  if (answers.permits_count > 0)
    send_permits (router, member, &answers);
}

void
limits_on_beacon (struct pl_router *router, const struct pl_beacon *beacon)
{
  for (int i = 0; i < beacon->limit_count; i++)
    {
      struct pl_backend *backend
          = pl_placement_find_by_hash (&router->placement, beacon->limits[i].server);

      if (backend != NULL)
        on_limit (router, backend, &beacon->limits[i]);
    }
}

bool
limits_fill_first_beacon (const struct pl_router *router, struct pl_beacon *beacon, guint *at)
{
  GHashTableIter iter;
  gpointer value;
  guint seen = 0;

  g_hash_table_iter_init (&iter, router->placement.backends);
  while (beacon->limit_count < PL_BEACON_LIMITS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    if (((const struct pl_backend *) value)->limit.in_force && seen++ >= *at)
      beacon->limits[beacon->limit_count++] = describe_limit (router, value);
  *at += (guint) beacon->limit_count;
  return beacon->limit_count == PL_BEACON_LIMITS_MAX;
}

void
limits_fill_beacon (struct pl_router *router, bool with_unchanged, struct pl_beacon *beacon)
{
  GHashTableIter iter;
  gpointer value;
  guint unchanged = 0;
  guint skipped = 0;

  g_hash_table_iter_init (&iter, router->placement.backends);
  while (beacon->limit_count < PL_BEACON_LIMITS_MAX && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct pl_backend *backend = value;
      const struct pl_server_limit *limit = &backend->limit;
      bool is_changed
          = limit->changed_us > 0 && router->now_us - limit->changed_us <= CHANGE_PRIORITY_US;

      if (!is_changed
          && (!limit->in_force || !with_unchanged || unchanged == UNCHANGED_LIMITS_MAX
              || skipped++ < router->limit_cursor))
        continue;
      unchanged += !is_changed;
      beacon->limits[beacon->limit_count++] = describe_limit (router, backend);
    }
  /* The next beacon goes on behind the last of these; after the end it starts anew. */
  if (with_unchanged)
    router->limit_cursor = unchanged == UNCHANGED_LIMITS_MAX ? router->limit_cursor + unchanged : 0;
}

int64_t
limits_body_share (struct pl_router *router)
{
  int64_t most = router->routing->limits.body_bytes_max;

  return (most > 0 ? most : PL_BODY_BYTES_DEFAULT) / MAX (router_view (router)->hosts, 1);
}
