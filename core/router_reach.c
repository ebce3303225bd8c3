/* What this host does while it reaches no backend server: it hands its callers' requests over to
 * peers that do.
 *
 * A peer gets a request with the caller's key, the time left and the version of the
 * configuration by which it was admitted, decides on the server and its retries by
 * itself, and returns the server's answer.  It never hands the request over again, so
 * two hosts that are both cut off can not pass it to and fro.  What counts over the
 * fleet counts once: the account's rate here, where the request was admitted; retries,
 * permits and the rates of cold servers at the peer, which sends it.
 *
 * A refusal by the peer that says that the request reached no server allows another
 * peer to be tried; after a lost answer the rules for lost answers of servers hold.
 */
#include "internal/router_state.h"

#include <string.h>

/* A peer that could not take a request is avoided for this long: beacons bring the news that it is
 * cut off in about that time. */
#define PEER_AVOIDED_US US_PER_S

static void
log_state (struct pl_router *router)
{
  const struct pl_reach *reach = &router->reach;

  router_log (
      router,
      reach->state == PL_REACH_KEPT_ONLY || reach->state == PL_REACH_LOST ? PL_ROUTER_LOG_WARNING
                                                                          : PL_ROUTER_LOG_STATE,
      "reach-changed",
      json_pack ("{s:s,s:i,s:I,s:I}", "state", pl_reach_state_names[reach->state], "servers_failed",
                 reach->failed_count, "failing_us",
                 (json_int_t) (reach->failed_count > 0 ? router->now_us - reach->failing_us : 0),
                 "servers_silent_us",
                 (json_int_t) (reach->answered_us > 0 ? router->now_us - reach->answered_us : -1)));
}

/* Applies a change of the state from BEFORE. */
static void
apply_state (struct pl_router *router, enum pl_reach_state before)
{
  enum pl_reach_state state = router->reach.state;
  bool was_cut_off = before == PL_REACH_KEPT_ONLY || before == PL_REACH_LOST;
  bool is_cut_off = pl_reach_is_cut_off (&router->reach);

  if (state == before)
    return;
  log_state (router);
  router->placement.is_cut_off = state == PL_REACH_LOST;
  if (is_cut_off != was_cut_off)
    {
      router->beacon_pending = true;
      router->notify_domain = true;
      router->due_us = router->now_us;
    }
  if (is_cut_off && !was_cut_off)
    pl_placement_forgive (&router->placement, router->reach.failing_us);
  if (state == PL_REACH_LOST)
    {
      router->servers_lost_pending = true;
      router->due_us = router->now_us;
    }
  calls_on_servers_changed (router);
}

static int
count_usable_servers (const struct pl_router *router)
{
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_hash_table_iter_init (&iter, router->placement.backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += pl_placement_is_usable (&router->placement, value, router->now_us);
  return count;
}

static void
on_failure (struct pl_router *router, const struct pl_backend *backend)
{
  enum pl_reach_state before = router->reach.state;

  pl_reach_on_failure (&router->reach, backend->hash, count_usable_servers (router),
                       router->now_us);
  apply_state (router, before);
  if (router->reach.state == PL_REACH_SUSPECTED)
    router->due_us = MIN (router->due_us, pl_reach_due_us (&router->reach));
}

void
reach_record_failure (struct pl_router *router, struct pl_backend *backend, bool is_unreachable)
{
  on_failure (router, backend);
  if (pl_reach_is_cut_off (&router->reach))
    return;
  if (pl_placement_record_failure (&router->placement, backend, is_unreachable, router->now_us))
    router_log (router, PL_ROUTER_LOG_STATE, "server-down",
                json_pack ("{s:s,s:s,s:b,s:i,s:I}", "server", backend->entry.id, "domain",
                           backend->entry.domain, "not_reached", is_unreachable, "failures",
                           backend->failures, "for_us",
                           (json_int_t) (backend->down_until_us - router->now_us)));
}

void
reach_on_answer (struct pl_router *router, int64_t opened_us)
{
  enum pl_reach_state before = router->reach.state;

  pl_reach_on_answer (&router->reach, opened_us, router->now_us);
  apply_state (router, before);
}

void
reach_on_probed (struct pl_router *router, const struct pl_backend *backend, bool connected)
{
  enum pl_reach_state before = router->reach.state;

  pl_reach_on_probed (&router->reach, backend->hash, connected, router->now_us);
  apply_state (router, before);
}

bool
reach_is_suspect (const struct pl_router *router)
{
  return router->reach.state == PL_REACH_SUSPECTED || pl_reach_is_cut_off (&router->reach);
}

bool
reach_holds_back (const struct pl_router *router, const struct call *call)
{
  double unit = (double) (pl_hash_pair (call->id, router->membership.self) >> 11) / 0x1p53;

  return unit >= pl_reach_direct_ratio (&router->reach, router->now_us);
}

static bool
is_in (const struct pl_backend *const *chosen, int count, const char *domain)
{
  for (int i = 0; i < count; i++)
    if (strcmp (chosen[i]->entry.domain, domain) == 0)
      return true;
  return false;
}

/* Returns whether a probe of BACKEND tells whether servers are reached, and does not use up what it
 * shares between hosts. */
static bool
may_probe (const struct pl_router *router, const struct pl_backend *backend)
{
  return !backend->probe_pending && !backend->limit.in_force
         && router->now_us >= backend->cold_until_us && router->now_us >= backend->down_until_us
         && pl_placement_is_usable (&router->placement, backend, router->now_us);
}

/* Returns a server to be probed, another one at each time, of a domain in which none of CHOSEN
 * lies; NULL: there is none. */
static struct pl_backend *
choose_server_to_probe (const struct pl_router *router, struct pl_backend *const *chosen, int count)
{
  struct pl_backend *best = NULL;
  uint64_t best_hash = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->placement.backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_backend *backend = value;
      uint64_t hash = pl_hash_pair ((uint64_t) router->now_us, backend->hash);

      if (may_probe (router, backend)
          && !is_in ((const struct pl_backend *const *) chosen, count, backend->entry.domain)
          && (best == NULL || hash > best_hash))
        {
          best = backend;
          best_hash = hash;
        }
    }
  return best;
}

static void
start_probes (struct pl_router *router, int due)
{
  struct pl_backend *chosen[PL_REACH_PROBES];
  uint64_t hashes[PL_REACH_PROBES];
  int count = 0;

  for (; count < due; count++)
    {
      chosen[count] = choose_server_to_probe (router, chosen, count);
      if (chosen[count] == NULL) /* there are fewer domains */
        chosen[count] = choose_server_to_probe (router, NULL, 0);
      if (chosen[count] == NULL)
        break;
      hashes[count] = chosen[count]->hash;
      router_probe (router, chosen[count], true);
    }
  pl_reach_on_probes_started (&router->reach, hashes, count, router->now_us);
}

void
reach_run_timers (struct pl_router *router)
{
  enum pl_reach_state before = router->reach.state;
  int due;

  pl_reach_run_timers (&router->reach, router->now_us);
  apply_state (router, before);
  if (router->servers_lost_pending)
    calls_on_servers_lost (router);
  router->servers_lost_pending = false;
  due = pl_reach_probes_due (&router->reach, router->now_us);
  if (due > 0)
    start_probes (router, due);
  router->due_us = MIN (router->due_us, pl_reach_due_us (&router->reach));
}

struct pl_member *
reach_choose_peer (const struct pl_router *router, const struct call *call)
{
  struct pl_handover_query query = {
      .key = call->id + (uint64_t) call->handovers,
      .has_home_regions = call->has_home_regions,
      .home_regions = call->home_regions,
  };

  if (router->options.handover_port == NULL || call->is_handover
      || (router->options.switches & PL_ROUTER_NO_HANDOVERS) != 0)
    return NULL;
  return pl_membership_choose_peer (&router->membership, &query, router->now_us);
}

const char *
reach_peer_name (const struct pl_router *router, uint64_t peer)
{
  const struct pl_member *member = g_hash_table_lookup (router->membership.members, &peer);

  return member != NULL ? member->contact.name : "";
}

void
reach_avoid_peer (const struct pl_router *router, uint64_t peer)
{
  struct pl_member *member = g_hash_table_lookup (router->membership.members, &peer);

  if (member != NULL)
    member->handover_due_us = router->now_us + PEER_AVOIDED_US;
}
