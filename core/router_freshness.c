/* How recently the store has confirmed the control rows that this host holds.
 *
 * That a host has heard of nothing newer does not mean that there is nothing newer: its peers may
 * have failed, or may themselves have heard nothing.  So each host knows the latest moment as of
 * which what it holds is known to be the newest.  For a host that watches the store that is its
 * last answer, which may say that nothing has changed.  Beacons tell it as an age, together with
 * the positions held, so that it reaches all hosts along the way that changes take.
 *
 * A host that has not been told for too long reads the store itself.  That bounds the time until a
 * row is in force by this host's own clock, whichever of the hosts between it and the store have
 * failed, and however many: bounds of single steps on the way would add up.
 */
#include "internal/router_state.h"

/* Rows are in force within two seconds; what is left is for reading them over a slow link.  A
 * watcher hears from the store every 0.95 s, and after a change 0.12 s later.  Its beacons reach
 * delegates at once, and other hosts with the next beacon of a delegate, up to 0.5 s later. */
#define READ_AFTER_DELEGATE_US (1300 * US_PER_MS)
#define READ_AFTER_US (1650 * US_PER_MS)
/* Time from a failed read to the next one; it doubles with each further failure. */
#define READ_RETRY_MIN_US (500 * US_PER_MS)
#define READ_RETRY_MAX_US (4 * US_PER_S)
/* The same when all hosts known to watch the store have lost it, too: they go on trying. */
#define READ_RETRY_IN_OUTAGE_US (2 * US_PER_S)

void
freshness_on_store_answer (struct pl_router *router, const struct pl_store_call_event *call)
{
  if (!call->confirms_control)
    return;
  router->confirmed_us = router->now_us;
  if (!router->watching)
    return;
  router->beacon_due_us = MIN (router->beacon_due_us, router->now_us);
  router->due_us = MIN (router->due_us, router->now_us);
}

void
freshness_on_beacon (struct pl_router *router, struct pl_member *member,
                     const struct pl_beacon *beacon)
{
  const struct held_table *held = &router->held[PL_TABLE_CONTROL];

  member->confirmed_us
      = beacon->confirmed_age_us >= 0 ? router->now_us - beacon->confirmed_age_us : 0;
  if (beacon->held[PL_TABLE_CONTROL] <= held->version)
    router->confirmed_us = MAX (router->confirmed_us, member->confirmed_us);
}

void
freshness_on_rows (struct pl_router *router)
{
  const struct held_table *held = &router->held[PL_TABLE_CONTROL];

  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (member->held[PL_TABLE_CONTROL] <= held->version)
        router->confirmed_us = MAX (router->confirmed_us, member->confirmed_us);
    }
}

int64_t
freshness_age_us (const struct pl_router *router)
{
  return router->confirmed_us > 0 ? router->now_us - router->confirmed_us : PL_NONE;
}

static bool
is_outage_known (const struct pl_router *router)
{
  bool is_known = false;

  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (!member->watching || !pl_member_is_live (&router->membership, member, router->now_us))
        continue;
      if (!member->store.is_lost)
        return false;
      is_known = true;
    }
  return is_known;
}

static int64_t
retry_delay (const struct pl_router *router)
{
  int64_t delay_us
      = MIN (READ_RETRY_MIN_US << MIN (router->store_read.failures - 1, 8), READ_RETRY_MAX_US);

  return is_outage_known (router) ? MAX (delay_us, READ_RETRY_IN_OUTAGE_US) : delay_us;
}

void
freshness_on_store_read (struct pl_router *router, bool succeeded)
{
  struct router_store_read *read = &router->store_read;

  router->counts_store_reads[succeeded]++;
  router_log (router, PL_ROUTER_LOG_STATE, "store-read",
              json_pack ("{s:b,s:I,s:I}", "succeeded", succeeded, "after_us",
                         (json_int_t) (router->now_us - read->sent_us), "confirmed_age_us",
                         (json_int_t) freshness_age_us (router)));
  read->in_progress = false;
  if (succeeded)
    {
      read->failures = 0;
      router->confirmed_us = MAX (router->confirmed_us, read->sent_us);
      router->beacon_pending = router->beacon_pending || router_is_delegate (router);
      if (router->store.is_lost) /* since it stopped watching */
        rows_on_store_state (
            router, true, &(struct pl_store_call_event){.age_us = router->now_us - read->sent_us});
    }
  else
    {
      read->failures++;
      read->due_us = router->now_us + retry_delay (router);
    }
}

/* Returns when this host is to read the store, if it is not told before that it has the newest
 * rows. */
static int64_t
read_due (struct pl_router *router)
{
  int64_t limit_us = router_is_delegate (router) ? READ_AFTER_DELEGATE_US : READ_AFTER_US;

  return MAX (MAX (router->confirmed_us, router->started_us) + limit_us, router->store_read.due_us);
}

void
freshness_run_timers (struct pl_router *router)
{
  struct pl_router_effect *effect;
  int64_t due_us = read_due (router);

  if (router->watching || router->store_read.in_progress)
    return;
  if (router->now_us < due_us)
    {
      router->due_us = MIN (router->due_us, due_us);
      return;
    }
  router->store_read.in_progress = true;
  router->store_read.sent_us = router->now_us;
  effect = router_add_effect (router, PL_ROUTER_READ_STORE);
  for (int t = 0; t < PL_TABLES_MAX; t++)
    effect->u.read.held[t] = router->held[t].version;
}
