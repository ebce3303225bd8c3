/* Outages of the store, and which missing rows they explain.
 *
 * In an outage, backend servers cannot renew their rows, so that rows lapse though the servers are
 * up.  They register again when the store is back.  The row of a server that has left is missing
 * in the same way; what tells them apart is when the store answered again.  Rows that are missing
 * until then, or shortly after, may have lapsed: their servers are used until all that live have
 * had the time to register, counted from the return and not from when a host reads the rows.  What
 * goes missing later was removed.
 *
 * The return is the first answer that any host gets to a call that was sent after the last failure.
 * A call that is refused or reset dates the failure itself.  One that times out does so by when it
 * was sent, as it may hang long after the store is back.  An outage is one of the store, and not of
 * some hosts' links, if nearly all of the few hosts that watch the store have met it.
 *
 * Only hosts that read the store judge; the others are told with the rows how long their servers
 * are used.
 */
#include "internal/router_state.h"

/* A server registers again within two seconds after the store is back; the row takes as long as any
 * change to arrive. */
#define REGISTRATION_US (2300 * US_PER_MS)
/* Failures this recent belong to an outage that may still explain missing rows: a call that hangs
 * and the time in which servers register are shorter together. */
#define FAILURE_RECENT_US (8 * US_PER_S)
/* Rows lapse when they have not been renewed for several seconds. */
#define LAPSING_OUTAGE_MIN_US (1 * US_PER_S)
/* After a failure the store is tried again at least this often.  If it was not, its return can not
 * be dated, and an outage explains nothing. */
#define RETRY_GAP_MAX_US (2500 * US_PER_MS)
#define CHECK_PERIOD_US (1 * US_PER_S)

static bool
is_recent (const struct pl_router *router, int64_t failed_us)
{
  return failed_us >= 0 && router->now_us - failed_us < FAILURE_RECENT_US;
}

/* Returns the last failure of any host; -1: none recently. */
static int64_t
last_failure (const struct pl_router *router)
{
  int64_t last_us = is_recent (router, router->store.failed_us) ? router->store.failed_us : -1;

  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (pl_member_is_live (&router->membership, member, router->now_us)
          && is_recent (router, member->store.failed_us))
        last_us = MAX (last_us, member->store.failed_us);
    }
  return last_us;
}

struct outage
{
  int64_t last_failure_us;
  int64_t begun_us; /* the first failure that is known; INT64_MAX: none */
  int64_t back_us;  /* the first answer; INT64_MAX: none yet */
  int hosts_with;   /* that have met it */
  int hosts_without;
};

/* Counts a host with ACCESS to the store. */
static void
count_host (const struct pl_router *router, struct outage *outage,
            const struct pl_store_access *access, bool is_watching)
{
  bool is_back = access->back_us > outage->last_failure_us;

  if (is_back)
    outage->back_us = MIN (outage->back_us, access->back_us);
  /* A host that was back before the last failure has not met the outage which that belongs to. */
  if (is_recent (router, access->failed_us) && (access->is_lost || is_back))
    {
      outage->hosts_with++;
      outage->begun_us = MIN (outage->begun_us, access->lost_since_us);
    }
  else if (is_watching && access->watching_since_us <= outage->last_failure_us)
    outage->hosts_without++;
}

/* Returns false if no call has failed recently. */
static bool
find_outage (const struct pl_router *router, struct outage *outage)
{
  *outage = (struct outage){
      .last_failure_us = last_failure (router), .begun_us = INT64_MAX, .back_us = INT64_MAX};
  if (outage->last_failure_us < 0)
    return false;
  count_host (router, outage, &router->store, router->watching);
  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (pl_member_is_live (&router->membership, member, router->now_us))
        count_host (router, outage, &member->store, member->watching);
    }
  return true;
}

static bool
is_of_store (const struct outage *outage)
{
  return outage->hosts_with > 0
         && outage->hosts_with * 4 >= (outage->hosts_with + outage->hosts_without) * 3;
}

bool
outages_store_was_down (const struct pl_router *router)
{
  struct outage outage;

  return find_outage (router, &outage) && is_of_store (&outage)
         && (outage.back_us == INT64_MAX || router->now_us < outage.back_us + REGISTRATION_US);
}

int64_t
outages_lapsed_use_until (const struct pl_router *router)
{
  struct outage outage;
  int64_t back_us;

  if (!find_outage (router, &outage) || !is_of_store (&outage))
    return router->now_us;
  back_us = MIN (outage.back_us, router->now_us);
  if (back_us - outage.begun_us < LAPSING_OUTAGE_MIN_US
      || back_us - outage.last_failure_us > RETRY_GAP_MAX_US)
    return router->now_us;
  return MAX (router->now_us, back_us + REGISTRATION_US);
}

/* Returns when the store was last seen to return, by any host; -1: never. */
static int64_t
last_return (const struct pl_router *router)
{
  int64_t last_us = router->store.back_us;

  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      last_us = MAX (last_us, member->store.back_us);
    }
  return last_us;
}

static void
on_failure (struct pl_router *router, const struct pl_store_call_event *call)
{
  struct pl_store_access *access = &router->store;
  int64_t sent_us = router->now_us - call->age_us;
  /* The connection of a call that was lost in an outage may be reset when that is over. */
  bool is_of_outage_before = last_return (router) > sent_us;

  if (!access->is_lost || !is_recent (router, access->failed_us))
    access->lost_since_us = sent_us;
  access->failed_us
      = MAX (access->failed_us, call->timed_out || is_of_outage_before ? sent_us : router->now_us);
  access->is_lost = true;
}

void
outages_on_call (struct pl_router *router, bool is_answered, const struct pl_store_call_event *call)
{
  struct pl_store_access *access = &router->store;
  int64_t failed_us;

  if (!is_answered)
    {
      on_failure (router, call);
      return;
    }
  access->is_lost = false;
  failed_us = last_failure (router);
  if (access->back_us <= failed_us && router->now_us - call->age_us > failed_us)
    access->back_us = router->now_us;
}

/* Checks the access of this host, whose calls may hang. */
static void
check_store (struct pl_router *router)
{
  if (!router->watching || router->store.is_lost || router->now_us < router->store_check_due_us)
    return;
  router->store_check_due_us = router->now_us + CHECK_PERIOD_US;
  router_add_effect (router, PL_ROUTER_CHECK_STORE);
}

void
outages_on_beacon (struct pl_router *router, struct pl_member *member,
                   const struct pl_beacon *beacon)
{
  struct pl_store_access *access = &member->store;
  bool was_lost = access->is_lost;

  if (beacon->watching && access->watching_since_us < 0)
    access->watching_since_us = router->now_us;
  else if (!beacon->watching)
    access->watching_since_us = -1;
  access->is_lost = beacon->store_lost;
  access->is_quiet = beacon->store_quiet;
  if (access->is_lost && (!was_lost || !is_recent (router, access->failed_us)))
    access->lost_since_us = router->now_us - MAX (beacon->store_error_us, 0);
  if (beacon->store_error_us >= 0)
    access->failed_us = router->now_us - beacon->store_error_us;
  if (was_lost && !access->is_lost)
    access->back_us = router->now_us;
  if (was_lost != access->is_lost)
    check_store (router);
}

static bool
is_reported (const struct pl_router *router)
{
  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (member->is_delegate && member->store_down
          && pl_member_is_local (&router->membership, member)
          && pl_member_is_live (&router->membership, member, router->now_us))
        return true;
    }
  return false;
}

int64_t
outages_reported_use_until (const struct pl_router *router)
{
  return is_reported (router) ? router->now_us + REGISTRATION_US
                              : outages_lapsed_use_until (router);
}
