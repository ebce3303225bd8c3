/* Entry point of the reducer: takes one event and produces effects.
 *
 * Every part keeps its state in struct pl_core and adds effects with
 * core_add_effect().  A step first sets the time, so that all parts see the
 * same instant, and ends by starting waiting requests, since any event may have
 * freed a slot or added tokens.
 */
#include "internal/core_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_HEARTBEAT_US (100 * PL_US_PER_MS)
#define DEFAULT_STORE_POLL_US (500 * PL_US_PER_MS)
#define DEFAULT_LOOKUP_TTL_US (2 * PL_US_PER_S)
#define DEFAULT_LOCAL_WAIT_US (30 * PL_US_PER_MS)
#define LOOKUP_PERIOD_US (200 * PL_US_PER_MS)
#define QUARANTINE_PERIOD_US PL_US_PER_S
#define STOP_PERIOD_US (50 * PL_US_PER_MS)
#define EFFECT_LIFE_US (2 * PL_US_PER_S)

struct pl_effect *
core_add_effect (struct pl_core *core, enum pl_effect_type type)
{
  struct pl_effects *effects = core->effects;
  struct pl_effect *effect;

  if (effects->count == effects->capacity)
    {
      effects->capacity = effects->capacity == 0 ? 32 : effects->capacity * 2;
      effects->items = g_renew (struct pl_effect, effects->items, effects->capacity);
    }
  effect = &effects->items[effects->count++];
  memset (effect, 0, sizeof *effect);
  effect->type = type;
  effect->valid_until_us = core->now_us + EFFECT_LIFE_US;
  return effect;
}

struct pl_store_request *
core_add_store_effect (struct pl_core *core, enum pl_store_call call)
{
  struct pl_effect *effect = core_add_effect (core, PL_EFFECT_STORE);

  effect->u.store = g_new0 (struct pl_store_request, 1);
  effect->u.store->call = call;
  effect->u.store->ticket = ++core->last_ticket;
  effect->u.store->nonce = core->nonce;
  effect->u.store->version = pl_core_version (core);
  return effect->u.store;
}

void
pl_message_clear (struct pl_message *message)
{
  if (message->type == PL_MESSAGE_RELEASE || message->type == PL_MESSAGE_SNAPSHOT)
    g_clear_pointer (&message->u.document.text, g_free);
}

void
pl_message_copy (struct pl_message *target, const struct pl_message *source)
{
  *target = *source;
  if (source->type == PL_MESSAGE_RELEASE || source->type == PL_MESSAGE_SNAPSHOT)
    target->u.document.text = g_strdup (source->u.document.text);
}

void
pl_effect_clear (struct pl_effect *effect)
{
  switch (effect->type)
    {
    case PL_EFFECT_REPLAY:
      g_free (effect->u.replay.answer);
      break;
    case PL_EFFECT_SEND:
      pl_message_clear (&effect->u.send.message);
      break;
    case PL_EFFECT_STORE:
      if (effect->u.store != NULL)
        {
          g_free (effect->u.store->text);
          g_free (effect->u.store->document);
        }
      g_free (effect->u.store);
      break;
    case PL_EFFECT_CONFIG:
      pl_config_unref (effect->u.config);
      break;
    case PL_EFFECT_LOOKUP:
      pl_lookup_free (effect->u.lookup);
      break;
    case PL_EFFECT_RELEASED:
      json_decref (effect->u.released.findings);
      break;
    default:
      break;
    }
}

void
pl_effects_clear (struct pl_effects *effects)
{
  for (int i = 0; i < effects->count; i++)
    pl_effect_clear (&effects->items[i]);
  effects->count = 0;
}

void
pl_effects_free (struct pl_effects *effects)
{
  pl_effects_clear (effects);
  g_clear_pointer (&effects->items, g_free);
  effects->capacity = 0;
}

bool
core_is_fresh (const struct pl_core *core, const struct pl_route_config *route)
{
  return core->store_read_at_us >= 0
         && core->now_us - core->store_read_at_us <= route->stale_limit_us;
}

/* Returns 1 when look-up answers may contain HOST, else 0. */
static int
headroom_of (const struct pl_core *core, int host)
{
  const struct member *member;

  if (PL_HOST (core->config, host)->draining
      || PL_DOMAIN (core->config, PL_HOST (core->config, host)->domain)->draining)
    return 0;
  if (host == core->self)
    return core->stopping ? 0 : 1;
  member = g_hash_table_lookup (core->members, &PL_HOST (core->config, host)->id);
  if (member == NULL || !peers_is_live (core, member) || member->heartbeat.leaving)
    return 0;
  return 1;
}

static void
lookup_timer (void *data)
{
  core_publish_lookup (data);
}

void
core_publish_lookup (struct pl_core *core)
{
  struct pl_lookup_options options = {0};
  int *headroom;

  if (core->config == NULL)
    return;
  headroom = g_new0 (int, core->config->hosts->len + 1);
  for (guint i = 0; i < core->config->hosts->len; i++)
    headroom[i] = headroom_of (core, (int) i);
  options.config = core->config;
  options.blocks = core->blocks != NULL ? pl_blocks_ref (core->blocks) : NULL;
  options.own_domain = core->self != PL_NONE ? PL_HOST (core->config, core->self)->domain : 0;
  options.ttl_us = core->options.lookup_ttl_us;
  options.headroom = headroom;
  core_add_effect (core, PL_EFFECT_LOOKUP)->u.lookup = pl_lookup_new (&options);
  g_free (headroom);
}

static void
expire_quarantine (void *data)
{
  struct pl_core *core = data;

  quarantine_expire (&core->quarantine, core->now_us);
}

/* The host has stopped when the look-up answers that callers cache have expired and no request is
 * left. */
static void
check_stop (void *data)
{
  struct pl_core *core = data;
  int64_t linger_us = core->options.lookup_ttl_us + core->options.lookup_ttl_us / 2;

  if (!core->stopping || core->stopped || core->now_us - core->stopping_since_us < linger_us
      || g_hash_table_size (core->requests) > 0)
    return;
  if (core->holds_name && !core->name_released)
    {
      control_release_name (core);
      return;
    }
  core->stopped = true;
  core_add_effect (core, PL_EFFECT_STOPPED);
}

static void
advance_time (struct pl_core *core, int64_t now_us)
{
  if (now_us < core->now_us)
    now_us = core->now_us;
  if (now_us - core->now_us > PL_PAUSE_LIMIT_US && core->holds_name)
    {
      core->name_unverified = true;
      budgets_set_shares (core);
    }
  core->now_us = now_us;
}

struct pl_core *
pl_core_new (const struct pl_core_options *options)
{
  struct pl_core *core = g_new0 (struct pl_core, 1);

  g_strlcpy (core->name, options->name, sizeof core->name);
  core->id = pl_id_of ("entry_hosts", core->name);
  core->nonce = options->nonce;
  core->switches = options->switches;
  core->options = *options;
  if (core->options.heartbeat_us == 0)
    core->options.heartbeat_us = DEFAULT_HEARTBEAT_US;
  if (core->options.store_poll_us == 0)
    core->options.store_poll_us = DEFAULT_STORE_POLL_US;
  if (core->options.lookup_ttl_us == 0)
    core->options.lookup_ttl_us = DEFAULT_LOOKUP_TTL_US;
  if (core->options.local_wait_us == 0)
    core->options.local_wait_us = DEFAULT_LOCAL_WAIT_US;
  core->now_us = options->now_us;
  core->self = PL_NONE;
  core->store_read_at_us = -1;
  core->head_due_us = options->now_us;
  core->accounts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->links = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->servers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->members = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, NULL);
  core->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->account_order = g_ptr_array_new ();
  core->server_order = g_ptr_array_new ();
  core->release_log = g_ptr_array_new_with_free_func ((GDestroyNotify) json_decref);
  g_queue_init (&core->claims);
  g_queue_init (&core->releases);
  quarantine_init (&core->quarantine);
  requests_start (core);
  servers_start (core);
  budgets_start (core);
  peers_start (core);
  control_start (core);
  pl_timers_add (&core->timers, lookup_timer, LOOKUP_PERIOD_US, core->now_us);
  pl_timers_add (&core->timers, expire_quarantine, QUARANTINE_PERIOD_US, core->now_us);
  pl_timers_add (&core->timers, check_stop, STOP_PERIOD_US, core->now_us);
  return core;
}

void
pl_core_free (struct pl_core *core)
{
  if (core == NULL)
    return;
  requests_free_all (core);
  control_free (core);
  quarantine_free (&core->quarantine);
  g_queue_clear_full (&core->claims, g_free);
  g_ptr_array_free (core->release_log, TRUE);
  g_ptr_array_free (core->server_order, TRUE);
  g_ptr_array_free (core->account_order, TRUE);
  g_hash_table_destroy (core->routes);
  g_hash_table_destroy (core->requests);
  g_hash_table_destroy (core->members);
  g_hash_table_destroy (core->servers);
  g_hash_table_destroy (core->links);
  g_hash_table_destroy (core->accounts);
  pl_blocks_unref (core->blocks);
  pl_config_unref (core->config);
  g_free (core);
}

static void
begin_stop (struct pl_core *core)
{
  if (core->stopping)
    return;
  core->stopping = true;
  core->stopping_since_us = core->now_us;
  peers_send_heartbeat (core);
  core_publish_lookup (core);
}

static void
on_message (struct pl_core *core, struct pl_message *message)
{
  if (!peers_on_message (core, message))
    return;
  switch (message->type)
    {
    case PL_MESSAGE_LOAN_REQUEST:
      budgets_on_loan_request (core, message);
      break;
    case PL_MESSAGE_LOAN_GRANT:
      budgets_on_loan_grant (core, message);
      break;
    case PL_MESSAGE_RELEASE:
    case PL_MESSAGE_SNAPSHOT:
      control_on_document (core, message);
      break;
    case PL_MESSAGE_FETCH_RELEASES:
      control_send_releases (core, message->from, message->u.document.version);
      break;
    case PL_MESSAGE_HEARTBEAT:
    case PL_MESSAGE_SUSPECT:
    case PL_MESSAGE_COUNT:
      break;
    }
}

static void
on_store (struct pl_core *core, struct pl_store_event *event)
{
  if (event->call != PL_STORE_CLAIM)
    {
      control_on_store (core, event);
      return;
    }
  operations_on_claim_call (core, event->result == PL_OK);
  requests_on_claims (core, event);
}

static void
apply_event (struct pl_core *core, struct pl_event *event)
{
  switch (event->type)
    {
    case PL_EVENT_TICK:
      break;
    case PL_EVENT_REQUEST:
      requests_on_arrival (core, &event->u.request);
      break;
    case PL_EVENT_CALLER_GONE:
      attempts_on_caller_gone (core, event->u.progress.request);
      break;
    case PL_EVENT_PROGRESS:
      attempts_on_progress (core, event->u.progress.request, event->u.progress.attempt);
      break;
    case PL_EVENT_OUTCOME:
      attempts_on_outcome (core, &event->u.outcome);
      break;
    case PL_EVENT_PROBE:
      servers_on_probe (core, &event->u.probe);
      break;
    case PL_EVENT_MESSAGE:
      on_message (core, &event->u.message);
      pl_message_clear (&event->u.message);
      break;
    case PL_EVENT_STORE:
      on_store (core, &event->u.store);
      break;
    case PL_EVENT_LEAVING_LIST:
      servers_on_leaving_list (core, event->u.leaving.servers, event->u.leaving.count);
      break;
    case PL_EVENT_RELEASE:
      control_on_release (core, &event->u.release);
      break;
    case PL_EVENT_STOP:
      begin_stop (core);
      break;
    }
}

void
pl_core_step (struct pl_core *core, struct pl_event *event, struct pl_effects *effects)
{
  core->effects = effects;
  advance_time (core, event->now_us);
  apply_event (core, event);
  pl_timers_run (&core->timers, core->now_us, core);
  requests_start_waiting (core);
  operations_send_claims (core);
  core->effects = NULL;
}

int64_t
pl_core_version (const struct pl_core *core)
{
  return core->config != NULL ? core->config->version : 0;
}

int64_t
pl_core_balance (struct pl_core *core, const char *account, int64_t now_us)
{
  uint64_t id = pl_id_of ("accounts", account);
  struct account_state *state = g_hash_table_lookup (core->accounts, &id);

  return state != NULL ? pl_budget_balance (&state->budget, now_us) : 0;
}
