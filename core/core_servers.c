/* The backend servers of this host's failure domain.
 *
 * A server is chosen by the requests that this host has in flight there.  Load
 * reports lag and may be wrong, so they only order servers that are otherwise
 * equal.  A server's slots are split between the live entry hosts of the domain;
 * a host never has more requests in flight at a server than its share.  A server
 * that is new or was down is cold: its limit rises over WARM_UP_US.
 */
#include "internal/core_state.h"

#include <string.h>

#define PROBE_PERIOD_US PL_US_PER_S
#define PROBE_DOWN_PERIOD_US (300 * PL_US_PER_MS)
#define PROBE_TIMER_US (100 * PL_US_PER_MS)
#define SHED_PAUSE_US (100 * PL_US_PER_MS)
#define WARM_UP_US (5 * PL_US_PER_S)
#define FAILURES_TO_DOWN 3

static const struct pl_server_config *
server_config (const struct pl_core *core, const struct server_state *server)
{
  return PL_SERVER (core->config, server->index);
}

/* Returns this host's share of the server's slots.  Which hosts have the slots left over by the
 * division depends on the server's index. */
static int
server_limit (const struct pl_core *core, const struct server_state *server)
{
  int hosts = MAX (core->sharing_hosts, 1);
  int slots = server_config (core, server)->slots;
  int limit = slots / hosts;
  int64_t warm_us = core->now_us - server->warm_up_since_us;

  if ((server->index + core->sharing_rank) % hosts < slots % hosts)
    limit++;
  if (warm_us < WARM_UP_US && limit > 1)
    limit = 1 + (int) ((limit - 1) * warm_us / WARM_UP_US);
  return limit;
}

/* Records when a server began to drain, and how long it took until no request was in flight. */
static void
record_drain (struct pl_core *core, struct server_state *server)
{
  bool draining = server->leaving || server_config (core, server)->draining;

  if (!draining)
    server->drain_since_us = 0;
  else if (server->drain_since_us == 0)
    {
      server->drain_since_us = core->now_us;
      server->drain_us = -1;
    }
  if (draining && server->in_flight == 0 && server->drain_us < 0)
    server->drain_us = core->now_us - server->drain_since_us;
}

static bool
is_usable (const struct pl_core *core, const struct server_state *server)
{
  return !server->down && !server->leaving && !server_config (core, server)->draining
         && core->now_us >= server->shed_until_us;
}

/* Lower is better: the used fraction of the limit, then the load that the server last reported. */
static int64_t
server_score (const struct pl_core *core, const struct server_state *server, int limit)
{
  return (int64_t) (server->in_flight + 1) * 1000 / limit
         + MIN (server->reported_load, 100) * 10 / server_config (core, server)->slots;
}

struct server_state *
servers_choose (struct pl_core *core, const struct request *request)
{
  bool round_robin = (core->switches & PL_SWITCH_ROUND_ROBIN) != 0;
  struct server_state *best = NULL;
  int64_t best_score = INT64_MAX;
  guint count = core->server_order->len;

  for (guint i = 0; i < count; i++)
    {
      struct server_state *server
          = g_ptr_array_index (core->server_order, (core->server_cursor + i) % count);
      int limit = server_limit (core, server);
      int64_t score;

      if (server_config (core, server)->service != request->route.service
          || !is_usable (core, server) || server == request->last_server
          || (request->suspect && server->suspects > 0))
        continue;
      if (round_robin)
        {
          core->server_cursor += i + 1;
          return server;
        }
      if (server->in_flight >= limit)
        continue;
      score = server_score (core, server, limit);
      if (score < best_score)
        {
          best = server;
          best_score = score;
        }
    }
  if (best != NULL)
    core->server_cursor++;
  return best;
}

int
servers_free_slots (struct pl_core *core, int service)
{
  int free_slots = 0;

  for (guint i = 0; i < core->server_order->len; i++)
    {
      struct server_state *server = g_ptr_array_index (core->server_order, i);

      if (server_config (core, server)->service == service && is_usable (core, server))
        free_slots += MAX (server_limit (core, server) - server->in_flight, 0);
    }
  return free_slots;
}

bool
servers_any_up (struct pl_core *core, uint64_t service)
{
  for (guint i = 0; i < core->server_order->len; i++)
    {
      struct server_state *server = g_ptr_array_index (core->server_order, i);
      int index = server_config (core, server)->service;

      if (PL_SERVICE (core->config, index)->id == service && !server->down && !server->leaving
          && !server_config (core, server)->draining)
        return true;
    }
  return false;
}

static void
probe (struct pl_core *core, struct server_state *server)
{
  struct pl_effect *effect;

  if (server->probe_pending || server->index == PL_NONE)
    return;
  effect = core_add_effect (core, PL_EFFECT_PROBE);
  server->probe_pending = true;
  server->probed_at_us = core->now_us;
  effect->u.send_request.target = server->id;
  g_strlcpy (effect->u.send_request.address, server_config (core, server)->address,
             sizeof effect->u.send_request.address);
}

static void
mark_down (struct pl_core *core, struct server_state *server)
{
  server->down = true;
  probe (core, server);
}

void
servers_record_outcome (struct pl_core *core, struct server_state *server, enum pl_outcome outcome)
{
  switch (outcome)
    {
    case PL_OUTCOME_DONE:
      server->failures = 0;
      server->served++;
      break;
    case PL_OUTCOME_EXPIRED:
      break;
    case PL_OUTCOME_SHED:
      server->shed_until_us = core->now_us + SHED_PAUSE_US;
      break;
    case PL_OUTCOME_NOT_SENT:
      mark_down (core, server);
      break;
    case PL_OUTCOME_ANSWER_LOST:
    case PL_OUTCOME_TRUNCATED:
    case PL_OUTCOME_STALLED:
      /* The connection or the server may have failed; a probe on a new connection shows which. */
      if (++server->failures >= FAILURES_TO_DOWN)
        mark_down (core, server);
      else
        probe (core, server);
      break;
    }
}

void
servers_on_probe (struct pl_core *core, const struct pl_probe_event *event)
{
  struct server_state *server = g_hash_table_lookup (core->servers, &event->server);

  if (server == NULL)
    return;
  server->probe_pending = false;
  if (!event->answered)
    {
      server->down = true;
      return;
    }
  if (server->down)
    server->warm_up_since_us = core->now_us;
  server->down = false;
  server->failures = 0;
  server->reported_load = event->load;
  server->leaving = event->leaving;
}

void
servers_on_leaving_list (struct pl_core *core, const uint64_t *servers, int count)
{
  /* The list lags behind, so it can only mark servers as leaving; the next answer to a probe
   * replaces the mark. */
  for (int i = 0; i < count; i++)
    {
      struct server_state *server = g_hash_table_lookup (core->servers, &servers[i]);

      if (server != NULL)
        server->leaving = true;
    }
}

static void
probe_timer (void *data)
{
  struct pl_core *core = data;

  for (guint i = 0; i < core->server_order->len; i++)
    {
      struct server_state *server = g_ptr_array_index (core->server_order, i);
      int64_t period = server->down ? PROBE_DOWN_PERIOD_US : PROBE_PERIOD_US;

      record_drain (core, server);
      if (core->now_us - server->probed_at_us >= period)
        probe (core, server);
    }
}

/* Updates the number of live entry hosts in this domain, and this host's rank among them by id. */
static void
refresh_sharing (void *data)
{
  struct pl_core *core = data;
  int hosts = 0;
  int rank = 0;

  if (core->config == NULL || core->self == PL_NONE)
    return;
  for (guint i = 0; i < core->config->hosts->len; i++)
    {
      const struct pl_host_config *host = PL_HOST (core->config, i);
      const struct member *member;

      if (host->domain != PL_HOST (core->config, core->self)->domain)
        continue;
      member = g_hash_table_lookup (core->members, &host->id);
      if ((int) i != core->self && (member == NULL || !peers_is_live (core, member)))
        continue;
      hosts++;
      if (host->id < core->id)
        rank++;
    }
  core->sharing_hosts = hosts;
  core->sharing_rank = rank;
}

static struct server_state *
ensure_server (struct pl_core *core, int index, bool is_first)
{
  uint64_t id = PL_SERVER (core->config, index)->id;
  struct server_state *server = g_hash_table_lookup (core->servers, &id);

  if (server == NULL)
    {
      server = g_new0 (struct server_state, 1);
      server->id = id;
      server->probed_at_us = core->now_us - PROBE_PERIOD_US;
      /* When this host itself has just started, its servers are not assumed to be cold. */
      server->warm_up_since_us = is_first ? core->now_us - WARM_UP_US : core->now_us;
      g_hash_table_insert (core->servers, &server->id, server);
    }
  server->index = index;
  return server;
}

/* A withdrawn server is not chosen any more, but stays in the table for the requests that still run
 * there. */
void
servers_adopt (struct pl_core *core)
{
  bool is_first = g_hash_table_size (core->servers) == 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct server_state *) value)->index = PL_NONE;
  g_ptr_array_set_size (core->server_order, 0);
  for (guint i = 0; core->self != PL_NONE && i < core->config->servers->len; i++)
    if (PL_SERVER (core->config, i)->domain == PL_HOST (core->config, core->self)->domain)
      g_ptr_array_add (core->server_order, ensure_server (core, (int) i, is_first));
  refresh_sharing (core);
}

void
servers_start (struct pl_core *core)
{
  pl_timers_add (&core->timers, probe_timer, PROBE_TIMER_US, core->now_us);
  pl_timers_add (&core->timers, refresh_sharing, PROBE_TIMER_US, core->now_us);
}
