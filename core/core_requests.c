/* The life cycle of a request: arrival, waiting and start.
 *
 * A request waits in the queue of its account until a token, a slot and, if it
 * is not repeatable, a claim are available together.  Only then is the token
 * spent, so that tokens collected while requests waited cannot start them in one
 * burst.  Accounts are served round-robin.  Invariant: a request is in its
 * account's queue exactly while its state is REQUEST_WAITING.
 */
#include "internal/core_state.h"

#include <assert.h>
#include <string.h>

#define QUEUE_MAX 64     /* requests of one account */
#define WAITING_MAX 1024 /* requests of all accounts */
#define SCAN_MAX 16      /* requests of one account examined in one round */
#define SWEEP_PERIOD_US (20 * PL_US_PER_MS)
#define TOKEN_WAIT_US (1000 * PL_US_PER_MS)
#define FORWARDED_WAIT_US (60 * PL_US_PER_MS)
#define CLAIM_WAIT_US (3 * PL_US_PER_S)
#define MEMBER_SILENCE_EXTRA_US (500 * PL_US_PER_MS)
#define RETRY_TOKENS_PER_REQUEST 0.1

static struct account_state *
account_by_index (struct pl_core *core, int index)
{
  return g_hash_table_lookup (core->accounts, &PL_ACCOUNT (core->config, index)->id);
}

/* Returns the account that EVENT's key, or a forwarding host, names in the configuration in force;
 * NULL for none. */
static struct account_state *
authenticate (struct pl_core *core, const struct pl_request_event *event)
{
  int index = PL_NONE;

  if (event->forwarded)
    index = pl_config_find_account (core->config, event->account);
  else if (event->has_key)
    index = pl_config_find_account_by_key (core->config, event->key_hash);
  return index != PL_NONE ? account_by_index (core, index) : NULL;
}

static bool
account_lacks_tokens (struct pl_core *core, struct account_state *account)
{
  return account != core->open_account
         && pl_budget_balance (&account->budget, core->now_us) < PL_MICRO_PER_TOKEN;
}

/* Refuses a waiting request, so that another one can be enqueued: of the accounts beyond their
 * rate, the one with the longest queue loses its newest request.  Returns false when no account is
 * beyond its rate. */
static bool
shed_over_rate (struct pl_core *core)
{
  struct account_state *longest = NULL;
  struct request *newest;

  for (guint i = 0; i < core->account_order->len; i++)
    {
      struct account_state *account = g_ptr_array_index (core->account_order, i);

      if (account->waiting.length > 1 && account_lacks_tokens (core, account)
          && (longest == NULL || account->waiting.length > longest->waiting.length))
        longest = account;
    }
  if (longest == NULL)
    return false;
  newest = g_queue_peek_tail (&longest->waiting);
  queue_dequeue (core, newest);
  queue_refuse (core, newest, PL_REFUSAL_QUEUE_FULL);
  return true;
}

/* Returns the refusal for a request that cannot be enqueued, or -1. */
static int
check_arrival (struct pl_core *core, struct request *request)
{
  const struct pl_request_event *event = &request->event;
  int route;

  if (core->config == NULL)
    return PL_REFUSAL_NO_CONFIG;
  route = pl_config_find_route (core->config, event->path);
  if (route == PL_NONE)
    return PL_REFUSAL_NO_ROUTE;
  request->route = *PL_ROUTE (core->config, route);
  g_strlcpy (request->route_name, request->route.name, sizeof request->route_name);
  request->service = PL_SERVICE (core->config, request->route.service)->id;
  request->config_version = core->config->version;
  report_ensure_route (core, request->route_name)->asked++;
  request->account = authenticate (core, event);
  if (request->account == NULL && request->route.open)
    request->account = core->open_account;
  if (request->account == NULL)
    return PL_REFUSAL_NO_KEY;
  request->account->counts.asked++;
  if (request->account != core->open_account && !event->forwarded)
    pl_budget_record_demand (&request->account->budget, PL_MICRO_PER_TOKEN);
  if (!core_is_fresh (core, &request->route) && !request->route.open)
    return PL_REFUSAL_STALE;
  if (!request->route.repeatable && !event->forwarded && event->operation[0] == '\0')
    return PL_REFUSAL_NO_OPERATION;
  if (request->account->waiting.length >= QUEUE_MAX)
    return PL_REFUSAL_QUEUE_FULL;
  if (core->waiting_count >= WAITING_MAX && !shed_over_rate (core))
    return PL_REFUSAL_NO_SERVER;
  return -1;
}

void
requests_on_arrival (struct pl_core *core, const struct pl_request_event *event)
{
  struct request *request;
  int refusal;

  if (g_hash_table_contains (core->requests, &event->request))
    return;
  request = g_new0 (struct request, 1);
  request->event = *event;
  request->route.service = PL_NONE;
  request->arrived_us = core->now_us;
  g_hash_table_insert (core->requests, &request->event.request, request);
  refusal = check_arrival (core, request);
  if (refusal >= 0)
    {
      queue_refuse (core, request, (enum pl_refusal) refusal);
      return;
    }
  if (request->event.deadline_us > core->now_us + request->route.deadline_us)
    request->event.deadline_us = core->now_us + request->route.deadline_us;
  if (event->suspected_server != 0)
    quarantine_record_failure (&core->quarantine, event->fingerprint, event->suspected_server,
                               false, core->now_us);
  core->retry_tokens = MIN (core->retry_tokens + RETRY_TOKENS_PER_REQUEST, PL_RETRY_TOKENS_MAX);
  queue_enqueue (core, request, false);
}

enum start_result
{
  START_DONE,      /* it left the queue: started, refused or waiting for a claim */
  START_NO_TOKENS, /* no request of this account can start */
  START_NO_SLOT,   /* no request for this service can start */
  START_LATER,     /* this one cannot start yet, others may */
};

/* Updates route.service, since indices differ between configurations.  Returns false when the
 * service was withdrawn. */
static bool
find_service (const struct pl_core *core, struct request *request)
{
  if (request->config_version == core->config->version)
    return request->route.service != PL_NONE;
  request->config_version = core->config->version;
  request->route.service = PL_NONE;
  for (guint i = 0; i < core->config->services->len; i++)
    if (PL_SERVICE (core->config, i)->id == request->service)
      request->route.service = (int) i;
  return request->route.service != PL_NONE;
}

/* Returns the refusal for a waiting request that may no longer run, or -1. */
static int
check_waiting (struct pl_core *core, struct request *request)
{
  enum quarantine_status status = QUARANTINE_CLEAR;
  bool recheck = (core->switches & PL_SWITCH_NO_KEY_RECHECK) == 0;

  if (core->now_us >= request->event.deadline_us)
    return PL_REFUSAL_DEADLINE;
  if (!find_service (core, request))
    return PL_REFUSAL_NO_ROUTE;
  if (recheck && request->account != core->open_account
      && authenticate (core, &request->event) != request->account)
    return PL_REFUSAL_NO_KEY;
  if ((core->switches & PL_SWITCH_NO_QUARANTINE) == 0)
    status = quarantine_get_status (&core->quarantine, request->event.fingerprint);
  if (status == QUARANTINE_CONFIRMED)
    return PL_REFUSAL_QUARANTINED;
  request->suspect = status == QUARANTINE_SUSPECTED;
  return -1;
}

static bool
needs_claim (const struct pl_core *core, const struct request *request)
{
  return !request->route.repeatable && !request->event.forwarded && !request->claimed
         && (core->switches & PL_SWITCH_NO_CLAIMS) == 0;
}

static int
spend_token (struct pl_core *core, struct request *request)
{
  int result;

  request->valid_until_us = INT64_MAX;
  if (request->token_spent || request->event.forwarded || request->account == core->open_account)
    return PL_OK;
  result = pl_budget_spend (&request->account->budget, PL_MICRO_PER_TOKEN, core->now_us,
                            &request->valid_until_us);
  request->token_spent = result == PL_OK;
  return result;
}

static enum start_result
try_start (struct pl_core *core, struct request *request)
{
  int refusal = check_waiting (core, request);
  struct server_state *server;
  struct member *member = NULL;

  if (refusal >= 0)
    {
      queue_dequeue (core, request);
      queue_refuse (core, request, (enum pl_refusal) refusal);
      return START_DONE;
    }
  if (core->now_us < request->not_before_us)
    return START_LATER;
  if (!request->token_spent && !request->event.forwarded
      && account_lacks_tokens (core, request->account))
    return START_NO_TOKENS;
  server = servers_choose (core, request);
  if (server == NULL)
    member = steering_choose (core, request);
  if (server == NULL && member == NULL)
    return START_NO_SLOT;
  if (needs_claim (core, request))
    {
      queue_dequeue (core, request);
      operations_claim (core, request);
      return START_DONE;
    }
  if (server == NULL && steering_reserve (core, request, member) < 0)
    return START_NO_SLOT;
  if (spend_token (core, request) < 0)
    {
      steering_settle (core, request, -1);
      return START_NO_TOKENS;
    }
  queue_dequeue (core, request);
  if (server != NULL)
    attempts_start_at_server (core, request, server);
  else
    attempts_start_at_member (core, request, member);
  return START_DONE;
}

/* Starts at most one request of ACCOUNT.  Returns true when one left the queue. */
static bool
try_account (struct pl_core *core, struct account_state *account)
{
  uint64_t blocked[SCAN_MAX];
  int blocked_count = 0;
  int seen = 0;

  for (GList *at = account->waiting.head; at != NULL && seen < SCAN_MAX; at = at->next, seen++)
    {
      struct request *request = at->data;
      bool skip = false;
      enum start_result result;

      for (int i = 0; i < blocked_count; i++)
        skip = skip || blocked[i] == request->service;
      if (skip)
        continue;
      result = try_start (core, request);
      if (result != START_DONE)
        request->lacks_slot = result == START_NO_SLOT;
      if (result == START_DONE)
        return true;
      if (result == START_NO_TOKENS)
        return false;
      if (result == START_NO_SLOT)
        blocked[blocked_count++] = request->service;
    }
  return false;
}

void
requests_start_waiting (struct pl_core *core)
{
  bool moved = core->config != NULL && core->waiting_count > 0;

  while (moved)
    {
      moved = false;
      for (guint i = 0; i < core->account_order->len; i++)
        {
          guint at = (core->account_cursor + i) % core->account_order->len;

          moved = try_account (core, g_ptr_array_index (core->account_order, at)) || moved;
        }
      core->account_cursor++;
    }
}

void
requests_on_claims (struct pl_core *core, struct pl_store_event *event)
{
  for (int i = 0; i < event->claim_count; i++)
    {
      struct pl_claim_result *claim = &event->claims[i];
      struct request *request = g_hash_table_lookup (core->requests, &claim->request);
      struct pl_effect *effect;

      if (request == NULL || request->state != REQUEST_CLAIMING)
        {
          if (claim->state != PL_CLAIM_TAKEN && claim->state != PL_CLAIM_DONE)
            operations_abandon_row (core, claim->request, claim->row);
          g_free (claim->answer);
          continue;
        }
      switch (claim->state)
        {
        case PL_CLAIM_CREATED:
        case PL_CLAIM_OURS:
          request->claimed = true;
          if (request->caller_gone)
            {
              operations_abandon (core, request);
              queue_free_request (core, request);
            }
          else
            queue_enqueue (core, request, true);
          break;
        case PL_CLAIM_DONE:
          effect = core_add_effect (core, PL_EFFECT_REPLAY);
          effect->request = request->event.request;
          effect->valid_until_us = INT64_MAX;
          effect->u.replay.status = claim->status;
          effect->u.replay.answer = g_steal_pointer (&claim->answer);
          queue_free_request (core, request);
          break;
        case PL_CLAIM_TAKEN:
          queue_refuse (core, request, PL_REFUSAL_REPEATED);
          break;
        case PL_CLAIM_UNKNOWN:
          /* Sent again with the next group, until the request has waited CLAIM_WAIT_US. */
          operations_claim (core, request);
          break;
        }
      g_free (claim->answer);
    }
  g_clear_pointer (&event->claims, g_free);
}

/* Returns the refusal for a request that has waited too long in its state, or -1. */
static int
check_timeout (struct pl_core *core, const struct request *request)
{
  int64_t waited = core->now_us - request->changed_us;
  bool lacks_tokens = !request->token_spent && !request->event.forwarded
                      && account_lacks_tokens (core, request->account);

  if (core->now_us >= request->event.deadline_us)
    return PL_REFUSAL_DEADLINE;
  if (request->state == REQUEST_CLAIMING)
    return waited > CLAIM_WAIT_US ? PL_REFUSAL_STORE_DOWN : -1;
  if (request->event.forwarded)
    return waited > FORWARDED_WAIT_US ? PL_REFUSAL_NO_SERVER : -1;
  if (lacks_tokens)
    return waited > TOKEN_WAIT_US ? PL_REFUSAL_OVER_RATE : -1;
  return core->now_us - request->arrived_us > PL_SLOT_WAIT_US ? PL_REFUSAL_NO_SERVER : -1;
}

static void
sweep_one (struct pl_core *core, struct request *request)
{
  int64_t silence = request->route.silence_us;
  int refusal;

  if (request->state == REQUEST_AT_SERVER || request->state == REQUEST_AT_MEMBER)
    {
      if (request->state == REQUEST_AT_MEMBER)
        silence += MEMBER_SILENCE_EXTRA_US;
      if (!request->cancelled
          && (core->now_us - request->changed_us > silence
              || core->now_us >= request->event.deadline_us))
        attempts_cancel (core, request);
      return;
    }
  if (request->state == REQUEST_REFUSAL_DELAYED)
    {
      queue_refuse (core, request, request->delayed_refusal);
      return;
    }
  refusal = check_timeout (core, request);
  if (refusal < 0)
    return;
  if (request->state == REQUEST_WAITING)
    queue_dequeue (core, request);
  queue_refuse (core, request, (enum pl_refusal) refusal);
}

static void
sweep (void *data)
{
  struct pl_core *core = data;
  GList *all;

  if (core->config == NULL)
    return;
  all = g_hash_table_get_values (core->requests);
  for (GList *at = all; at != NULL; at = at->next)
    sweep_one (core, at->data);
  g_list_free (all);
}

void
requests_start (struct pl_core *core)
{
  core->retry_tokens = PL_RETRY_TOKENS_MAX;
  core->open_account = g_new0 (struct account_state, 1);
  core->open_account->index = PL_NONE;
  g_strlcpy (core->open_account->name, "-", sizeof core->open_account->name);
  g_queue_init (&core->open_account->waiting);
  g_hash_table_insert (core->accounts, &core->open_account->id, core->open_account);
  g_ptr_array_add (core->account_order, core->open_account);
  pl_timers_add (&core->timers, sweep, SWEEP_PERIOD_US, core->now_us);
}

void
requests_free_all (struct pl_core *core)
{
  GList *all = g_hash_table_get_values (core->requests);

  for (guint i = 0; i < core->account_order->len; i++)
    g_queue_clear (&((struct account_state *) g_ptr_array_index (core->account_order, i))->waiting);
  g_list_free_full (all, g_free);
}
