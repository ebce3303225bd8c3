/* Forwarding: chooses another entry host for a request when no local slot is free.
 *
 * Hosts of the same domain come first, since a server's slots are split between
 * them, then the region's other domains.  Another region is used only after a
 * short wait for a local slot, within the link's budget in both directions, and
 * through that region's own entry hosts, which can refuse within one round trip.
 * The limit of requests in flight at a peer grows with each success and halves
 * with each refusal, so that shifted traffic ramps up slowly on cold caches.
 */
#include "internal/core_state.h"

#define FORWARD_LIMIT_START 4.0
#define FORWARD_LIMIT_MAX 256.0
#define FORWARD_IDLE_US (30 * PL_US_PER_S)
#define SHED_PAUSE_US (20 * PL_US_PER_MS)
/* Higher than any number of free slots: added for the same region and again for the same domain. */
#define SAME_REGION_SCORE 1000000
#define HEAD_BYTES 1024 /* headers of a request or answer, with the transport's overhead */

static int
region_of (const struct pl_core *core, int host)
{
  return PL_DOMAIN (core->config, PL_HOST (core->config, host)->domain)->region;
}

/* Returns the free slots that MEMBER last reported, less the requests forwarded since.  The
 * reported number already allows for those in flight at the time of the heartbeat. */
static int
free_slots_of (const struct member *member, uint64_t service, int service_index)
{
  int free_slots = 0;
  int added = 0;

  for (int i = 0; i < member->heartbeat.service_count; i++)
    if (member->heartbeat.services[i].service == service)
      free_slots = member->heartbeat.services[i].free_slots;
  if (service_index < PL_SERVICES_MAX)
    added = member->in_flight_by_service[service_index]
            - member->in_flight_at_heartbeat[service_index];
  return free_slots - MAX (added, 0);
}

static bool
is_usable (const struct pl_core *core, const struct member *member)
{
  const struct pl_host_config *host;

  if (member->index == PL_NONE || !peers_is_live (core, member) || member->heartbeat.leaving
      || core->now_us < member->shed_until_us)
    return false;
  host = PL_HOST (core->config, member->index);
  return !host->draining && !PL_DOMAIN (core->config, host->domain)->draining;
}

static double
forward_limit (const struct pl_core *core, const struct member *member)
{
  if (member->forward_limit < FORWARD_LIMIT_START
      || core->now_us - member->last_used_us > FORWARD_IDLE_US)
    return FORWARD_LIMIT_START;
  return member->forward_limit;
}

/* Returns the entry host to forward to, or NULL.  Reserves nothing. */
struct member *
steering_choose (struct pl_core *core, const struct request *request)
{
  bool wait_for_local = servers_any_up (core, request->service)
                        && core->now_us - request->arrived_us < core->options.local_wait_us;
  struct member *best = NULL;
  int best_score = 0;

  if (request->event.forwarded || core->self == PL_NONE
      || (core->switches & PL_SWITCH_LOCAL_ONLY) != 0)
    return NULL;
  for (guint i = 0; i < core->config->hosts->len; i++)
    {
      struct member *member = g_hash_table_lookup (core->members, &PL_HOST (core->config, i)->id);
      bool same_region;
      int score;

      if (member == NULL || (int) i == core->self || !is_usable (core, member)
          || member->in_flight >= forward_limit (core, member))
        continue;
      same_region = region_of (core, (int) i) == region_of (core, core->self);
      if (!same_region && wait_for_local)
        continue;
      score = free_slots_of (member, request->service, request->route.service);
      if (score <= 0)
        continue;
      if (same_region)
        score += SAME_REGION_SCORE;
      if (PL_HOST (core->config, i)->domain == PL_HOST (core->config, core->self)->domain)
        score += SAME_REGION_SCORE;
      if (score > best_score)
        {
          best = member;
          best_score = score;
        }
    }
  return best;
}

static struct link_state *
link_between (struct pl_core *core, int from, int to)
{
  int index = pl_config_find_link (core->config, from, to);

  return index != PL_NONE ? g_hash_table_lookup (core->links, &PL_LINK (core->config, index)->id)
                          : NULL;
}

/* Reserves the estimated bytes of the request and its answer on the links to and from MEMBER.
 * Returns 0, or PL_ERR_LACKING with nothing reserved. */
int
steering_reserve (struct pl_core *core, struct request *request, const struct member *member)
{
  int own = region_of (core, core->self);
  int other = region_of (core, member->index);
  int64_t unused;

  if (own == other || (core->switches & PL_SWITCH_NO_LINK_BUDGET) != 0)
    return PL_OK;
  request->links[0] = link_between (core, own, other);
  request->links[1] = link_between (core, other, own);
  request->link_bytes[0] = request->event.body_bytes + HEAD_BYTES;
  request->link_bytes[1] = request->route.answer_bytes + HEAD_BYTES;
  for (int i = 0; i < 2; i++)
    {
      if (request->links[i] == NULL)
        continue;
      pl_budget_record_demand (&request->links[i]->budget,
                               request->link_bytes[i] * PL_MICRO_PER_TOKEN);
      if (pl_budget_spend (&request->links[i]->budget, request->link_bytes[i] * PL_MICRO_PER_TOKEN,
                           core->now_us, &unused)
          < 0)
        {
          if (i == 1 && request->links[0] != NULL)
            pl_budget_refund (&request->links[0]->budget,
                              request->link_bytes[0] * PL_MICRO_PER_TOKEN, core->now_us);
          request->links[0] = NULL;
          request->links[1] = NULL;
          return PL_ERR_LACKING;
        }
    }
  return PL_OK;
}

/* Replaces the reserved estimate by the bytes used.  ANSWER_BYTES is the size of the answer, 0 when
 * the request did not run, -1 when no attempt was started. */
void
steering_settle (struct pl_core *core, struct request *request, int64_t answer_bytes)
{
  if (request->links[0] != NULL)
    {
      if (answer_bytes < 0)
        pl_budget_refund (&request->links[0]->budget, request->link_bytes[0] * PL_MICRO_PER_TOKEN,
                          core->now_us);
      else
        request->links[0]->bytes += (uint64_t) request->link_bytes[0];
    }
  if (request->links[1] != NULL)
    {
      int64_t used = answer_bytes < 0 ? 0 : answer_bytes + HEAD_BYTES;
      int64_t over = used - request->link_bytes[1];

      if (over > 0)
        pl_budget_charge (&request->links[1]->budget, over * PL_MICRO_PER_TOKEN, core->now_us);
      else
        pl_budget_refund (&request->links[1]->budget, -over * PL_MICRO_PER_TOKEN, core->now_us);
      request->links[1]->bytes += (uint64_t) used;
    }
  request->links[0] = NULL;
  request->links[1] = NULL;
}

/* Adds CHANGE to the number of requests forwarded to MEMBER and still in flight. */
void
steering_add_in_flight (struct member *member, int service, int change)
{
  member->in_flight += change;
  if (service >= 0 && service < PL_SERVICES_MAX)
    member->in_flight_by_service[service] = MAX (member->in_flight_by_service[service] + change, 0);
}

void
steering_record_outcome (struct pl_core *core, const struct request *request,
                         enum pl_outcome outcome)
{
  struct member *member = request->member;
  double limit = forward_limit (core, member);

  steering_add_in_flight (member, request->route.service, -1);
  switch (outcome)
    {
    case PL_OUTCOME_DONE:
      member->forward_limit = MIN (limit + 1.0 / limit, FORWARD_LIMIT_MAX);
      break;
    case PL_OUTCOME_EXPIRED:
      break;
    case PL_OUTCOME_NOT_SENT:
      member->shed_until_us = core->now_us + PL_US_PER_S;
      member->forward_limit = FORWARD_LIMIT_START;
      break;
    default:
      member->forward_limit = MAX (limit / 2, FORWARD_LIMIT_START);
      member->shed_until_us = core->now_us + SHED_PAUSE_US;
      break;
    }
}
