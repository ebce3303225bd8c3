/* How recently the store has confirmed the control rows that this host holds.
 *
 * That a host has heard of nothing newer does not mean that there is nothing newer: its peers may
 * have failed, or may themselves have heard nothing.  So each host knows the latest moment as of
 * which what it holds is known to be the newest.  For a host that watches the store that is its
 * last answer, which may say that nothing has changed.  Beacons tell it as an age, together with
 * the positions held, so that it reaches all hosts along the way that changes take.
 */
#include "internal/router_state.h"

void
freshness_on_store_answer (struct pl_router *router, const struct pl_store_call_event *call)
{
  if (call->confirms_control)
    router->confirmed_us = router->now_us;
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
  else if (router->newer_since_us == 0)
    router->newer_since_us = router->now_us;
}

void
freshness_on_rows (struct pl_router *router)
{
  const struct held_table *held = &router->held[PL_TABLE_CONTROL];

  bool is_behind = false;

  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (member->held[PL_TABLE_CONTROL] <= held->version)
        router->confirmed_us = MAX (router->confirmed_us, member->confirmed_us);
      else
        is_behind = is_behind || pl_member_is_live (&router->membership, member, router->now_us);
    }
  if (!is_behind)
    router->newer_since_us = 0;
}

int64_t
freshness_age_us (const struct pl_router *router)
{
  return router->confirmed_us > 0 ? router->now_us - router->confirmed_us : PL_NONE;
}
