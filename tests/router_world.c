/* Simulates the router's environment for tests: feeds events in and records the effects. */
#include "router_world.h"
#include "internal/keys.h"

#include <assert.h>
#include <string.h>

static const char *const domains[] = {"a-1=a", "a-2=a", "b-1=b", NULL};

static int
find_region (void *data, const char *region)
{
  struct world *world = data;

  return pl_router_ensure_region (world->router, region);
}

struct world *
world_new_from (const struct world_options *options)
{
  struct world *world = g_new0 (struct world, 1);
  struct pl_router_options router = {
      .switches = options->switches,
      .load_management = options->load_management,
      .name = options->name != NULL ? options->name : "host-a",
      .domain = options->domain != NULL ? options->domain : "a-1",
      .caller_address = "10.0.0.1:80",
      .peer_address = "10.0.0.1:7600",
      .relay_address = "10.0.0.1:7600",
      .handover_port = "7700",
      .domains = domains,
      .incarnation = MAX (options->incarnation, 1),
      .capacity = 200,
      .now_us = WORLD_SECOND,
      .grace_us = 6 * WORLD_SECOND,
      .retry_ratio = 0.2,
      .retry_slack = 50,
      .hedge_ratio = options->hedge_ratio,
      .decode = pl_platform_dialect.decode_row,
  };

  world->now_us = WORLD_SECOND;
  world->regions.find = find_region;
  world->regions.data = world;
  router.decode_data = &world->regions;
  world->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  world->router = pl_router_new (&router);
  return world;
}

struct world *
world_new_with (unsigned switches)
{
  return world_new_from (&(struct world_options){.switches = switches});
}

struct world *
world_new (void)
{
  return world_new_with (0);
}

void
world_free (struct world *world)
{
  pl_router_free (world->router);
  pl_router_effects_free (&world->effects);
  g_hash_table_destroy (world->calls);
  g_queue_clear_full (&world->probed, g_free);
  json_decref (world->logged_copy);
  g_free (world);
}

/* Records the start of an attempt at a server or peer. */
static struct world_call *
record_attempt (struct world *world, const struct pl_router_effect *effect)
{
  struct world_call *call = g_hash_table_lookup (world->calls, &effect->request);

  assert (call != NULL);
  assert (call->answers == 0);
  assert (call->other.number == 0);
  if (call->at_server && !call->cancelled)
    {
      assert (call->repeatable && !call->at_peer && effect->type == PL_ROUTER_SEND);
      call->other = (struct world_attempt){call->attempt, call->server, call->sent_us, call->tag};
    }
  assert (effect->attempt == call->attempts_begun + 1);
  call->attempts_begun++;
  call->at_server = true;
  call->at_peer = effect->type == PL_ROUTER_HAND_OVER;
  call->cancelled = false;
  call->attempt = effect->attempt;
  call->sent_us = world->now_us;
  return call;
}

static void
record_hand_over (struct world *world, const struct pl_router_effect *effect)
{
  struct world_call *call = record_attempt (world, effect);

  g_strlcpy (call->address, effect->u.hand_over.address, sizeof call->address);
  call->time_left_us = effect->u.hand_over.time_left_us;
  call->at_most_once = effect->u.hand_over.at_most_once;
  if (world->on_attempt != NULL)
    world->on_attempt (world->data, call);
}

static void
record_send (struct world *world, const struct pl_router_effect *effect)
{
  struct world_call *call = record_attempt (world, effect);

  call->sends++;
  call->time_left_us = effect->u.send.time_left_us;
  call->at_most_once = effect->u.send.at_most_once;
  call->server = g_intern_string (effect->u.send.server);
  call->account = g_intern_string (effect->u.send.account != NULL ? effect->u.send.account : "");
  g_strlcpy (call->address, effect->u.send.address, sizeof call->address);
  if (world->on_attempt != NULL)
    world->on_attempt (world->data, call);
}

static void
record_answer (struct world *world, const struct pl_router_effect *effect)
{
  struct world_call *call = g_hash_table_lookup (world->calls, &effect->request);

  assert (call != NULL);
  assert (!call->at_server || call->cancelled);
  assert (call->other.number == 0);
  call->answers++;
  call->delivered = effect->type == PL_ROUTER_DELIVER;
  assert (!call->delivered || effect->attempt == call->ended_attempt);
  if (!call->delivered)
    {
      call->status = effect->u.refuse.status;
      call->reason = effect->u.refuse.reason;
      call->retry_after_us = effect->u.refuse.retry_after_us;
    }
  if (world->on_answer != NULL)
    world->on_answer (world->data, call);
}

/* The attempt in progress has ended: the other one is now in progress. */
static void
continue_with_other (struct world_call *call)
{
  call->attempt = call->other.number;
  call->server = call->other.server;
  call->sent_us = call->other.sent_us;
  call->tag = call->other.tag;
  call->cancelled = false;
  call->other.number = 0;
}

static void
apply_effect (struct world *world, const struct pl_router_effect *effect)
{
  struct world_call *call;

  switch (effect->type)
    {
    case PL_ROUTER_SEND:
      record_send (world, effect);
      break;
    case PL_ROUTER_DELIVER:
    case PL_ROUTER_REFUSE:
      record_answer (world, effect);
      break;
    case PL_ROUTER_CANCEL:
      call = g_hash_table_lookup (world->calls, &effect->request);
      call->may_have_run = true;
      if (call->other.number == effect->attempt)
        {
          call->other.number = 0;
          break;
        }
      assert (call->attempt == effect->attempt && call->at_server && !call->cancelled);
      call->cancelled = true;
      if (call->other.number != 0)
        continue_with_other (call);
      break;
    case PL_ROUTER_HAND_OVER:
      record_hand_over (world, effect);
      break;
    case PL_ROUTER_PROBE:
      world->probes++;
      world->probed_path = g_intern_string (effect->u.probe.path);
      g_queue_push_tail (&world->probed, g_strdup (effect->u.probe.server_id));
      break;
    case PL_ROUTER_SEND_BEACON:
      world->beacons++;
      world->last_beacon = *effect->u.datagram.beacon;
      break;
    case PL_ROUTER_FETCH_ROWS:
      world->fetches++;
      break;
    case PL_ROUTER_WATCH_STORE:
      world->watching = effect->u.watch;
      break;
    case PL_ROUTER_DISABLE_KEEPALIVE:
      world->keepalive_disabled = true;
      break;
    case PL_ROUTER_STOPPED:
      world->stopped = true;
      break;
    case PL_ROUTER_LOG:
      if (strcmp (effect->u.log_line.event, "copy") == 0)
        {
          json_decref (world->logged_copy);
          world->logged_copy = json_incref (effect->u.log_line.fields);
        }
      world->warnings += effect->u.log_line.level == PL_ROUTER_LOG_WARNING;
      if (effect->u.log_line.level == PL_ROUTER_LOG_REQUEST)
        world->logged_request = g_intern_string (
            json_string_value (json_object_get (effect->u.log_line.fields, "request")));
      break;
    case PL_ROUTER_CHECK_STORE:
      world->store_checks++;
      break;
    case PL_ROUTER_READ_STORE:
      world->store_reads++;
      break;
    case PL_ROUTER_SET_LIMITS:
    case PL_ROUTER_STOP_LISTENING:
      break;
    }
}

void
world_step (struct world *world, struct pl_router_event *event)
{
  event->now_us = world->now_us;
  pl_router_step (world->router, event, &world->effects);
  for (int i = 0; i < world->effects.count; i++)
    apply_effect (world, &world->effects.items[i]);
  pl_router_effects_clear (&world->effects);
}

void
world_advance (struct world *world, int64_t us)
{
  int64_t until_us = world->now_us + us;
  struct pl_router_event tick = {.type = PL_ROUTER_TICK};

  while (pl_router_due_us (world->router) < until_us)
    {
      world->now_us = MAX (world->now_us, pl_router_due_us (world->router));
      world_step (world, &tick);
    }
  world->now_us = until_us;
  world_step (world, &tick);
}

void
world_feed_rows (struct world *world, const struct pl_rows_event *rows)
{
  struct pl_router_event event = {.type = PL_ROUTER_ROWS, .u.rows = *rows};

  world_step (world, &event);
}

void
world_put_row (struct world *world, enum pl_table table, const char *key, const char *value)
{
  struct pl_row row = {key, value, value != NULL ? strlen (value) : 0, ++world->version};

  world_feed_rows (world, &(struct pl_rows_event){
                              .table = table, .version = world->version, .rows = &row, .count = 1});
}

char *
world_make_config (int version, const char *extra_route)
{
  static const char *const form
      = "{\"Version\":\"r%d\",\"Resources\":["
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"read\"},\"Spec\":{\"Host\":\"h\","
        "\"Prefix\":\"/read/\",\"Kind\":\"idempotent\",\"Timeout\":\"800ms\",\"TargetLatency\":"
        "\"200ms\",\"Priority\":2,\"Service\":\"stock\",\"Attempts\":2,\"Sticky\":true}},"
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"write\"},\"Spec\":{\"Host\":\"h\","
        "\"Prefix\":\"/write/\",\"Kind\":\"non_idempotent\",\"Timeout\":\"1000ms\","
        "\"TargetLatency\":\"200ms\",\"Service\":\"stock\",\"Attempts\":2,\"Sticky\":true}},%s"
        "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"stock\"},\"Spec\":{"
        "\"HealthPath\":\"/health\",\"ColdStart\":\"3s\",\"ColdPerS\":14.0}},"
        "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"shop\"},\"Spec\":{\"ApiKeys\":"
        "[\"key-1\",\"key-2\"],\"RatePerS\":1000,\"Burst\":1000}}]}";

  return g_strdup_printf (form, version, extra_route != NULL ? extra_route : "");
}

void
world_put_config (struct world *world, int version, const char *extra_route)
{
  g_autofree char *text = world_make_config (version, extra_route);

  world_put_row (world, PL_TABLE_CONTROL, "config", text);
}

char *
world_make_server (const char *id, const char *domain, const char *state, int64_t born,
                   int sequence)
{
  return g_strdup_printf (
      "{\"Address\":\"10.1.0.%d:80\",\"born\":%d,\"Info\":{\"Service\":\"stock\",\"Zone\":\"%s\","
      "\"Slots\":4},\"Status\":{\"State\":\"%s\",\"Sequence\":%d,\"ColdRemaining\":\"0ms\"}}",
      (int) (g_str_hash (id) % 250) + 1, (int) born, domain, state, sequence);
}

void
world_put_server (struct world *world, const char *id, const char *domain, const char *state,
                  int64_t born)
{
  g_autofree char *text = world_make_server (id, domain, state, born, 1);

  world_put_row (world, PL_TABLE_SERVERS, id, text);
}

static struct world_call *
send_request (struct world *world, const char *path, const char *key, bool is_handover)
{
  struct world_call *call = g_new0 (struct world_call, 1);
  struct pl_router_event event = {.type = PL_ROUTER_CALL};

  call->id = ++world->next_request;
  call->server = "";
  call->account = "";
  call->repeatable = g_str_has_prefix (path, "/read/");
  call->is_handover = is_handover;
  g_hash_table_insert (world->calls, &call->id, call);
  event.u.call.request = call->id;
  event.u.call.correlation_id = world->correlation_id != NULL ? world->correlation_id : "label";
  event.u.call.host = world->host != NULL ? world->host : "h";
  event.u.call.path = path;
  event.u.call.caller_timeout_us = 2 * WORLD_SECOND;
  event.u.call.object = g_str_hash (path) | 1;
  event.u.call.fingerprint = g_str_hash (path);
  event.u.call.body_bytes = world->body_bytes;
  event.u.call.has_key = key != NULL;
  event.u.call.is_handover = is_handover;
  if (key != NULL)
    pl_key_hash (key, strlen (key), event.u.call.key_hash);
  world_step (world, &event);
  return call;
}

struct world_call *
world_send_request (struct world *world, const char *path, const char *key)
{
  return send_request (world, path, key, false);
}

struct world_call *
world_send_handover (struct world *world, const char *path, const char *key)
{
  return send_request (world, path, key, true);
}

struct pl_beacon
world_peer_beacon (const char *name, const char *domain)
{
  struct pl_beacon beacon = {.incarnation = 1,
                             .ready = true,
                             .self.capacity = 200,
                             .watching = true,
                             .store_error_us = -1};

  beacon.host = pl_host_id (name);
  beacon.has_identity = true;
  g_strlcpy (beacon.self.name, name, sizeof beacon.self.name);
  g_snprintf (beacon.self.peer_address, sizeof beacon.self.peer_address, "10.0.1.%d:7600",
              (int) (g_str_hash (name) % 200));
  g_snprintf (beacon.self.caller_address, sizeof beacon.self.caller_address, "10.0.1.%d:80",
              (int) (g_str_hash (name) % 200));
  g_strlcpy (beacon.self.relay_address, beacon.self.peer_address, sizeof beacon.self.relay_address);
  g_strlcpy (beacon.self.domain, domain, sizeof beacon.self.domain);
  return beacon;
}

void
world_receive_beacon (struct world *world, struct pl_beacon *beacon)
{
  struct pl_router_event event = {.type = PL_ROUTER_BEACON};

  event.u.beacon = beacon;
  world_step (world, &event);
}

void
world_select_other (struct world_call *call)
{
  struct world_attempt current = {call->attempt, call->server, call->sent_us, call->tag};

  assert (call->other.number != 0);
  continue_with_other (call);
  call->other = current;
}

/* Feeds EVENT, the end of the attempt in progress, with the fields that are the same for all. */
static void
end_attempt (struct world *world, struct world_call *call, struct pl_router_event *event)
{
  enum pl_attempt_end end = event->u.attempt.end;

  assert (call->at_server);
  event->u.attempt.attempt = call->ended_attempt = call->attempt;
  call->at_server = call->other.number != 0;
  if (call->at_server)
    continue_with_other (call);
  if (end == PL_ATTEMPT_ANSWERED || end == PL_ATTEMPT_ANSWER_LOST
      || (end == PL_ATTEMPT_PEER_REFUSED && event->u.attempt.status != 503))
    call->may_have_run = true;
  event->u.attempt.request = call->id;
  world_step (world, event);
}

void
world_end_attempt (struct world *world, struct world_call *call, enum pl_attempt_end end,
                   int status)
{
  struct pl_router_event event
      = {.type = PL_ROUTER_ATTEMPT, .u.attempt = {.end = end, .status = status}};

  end_attempt (world, call, &event);
}

void
world_refuse_by_peer (struct world *world, struct world_call *call, int status, const char *reason,
                      int attempts)
{
  struct pl_router_event event
      = {.type = PL_ROUTER_ATTEMPT,
         .u.attempt
         = {.end = PL_ATTEMPT_PEER_REFUSED, .status = status, .refusal = {.attempts = attempts}}};

  g_strlcpy (event.u.attempt.refusal.reason, reason, sizeof event.u.attempt.refusal.reason);
  end_attempt (world, call, &event);
}

void
world_answer_with_limit (struct world *world, struct world_call *call, double per_second)
{
  struct pl_router_event event = {
      .type = PL_ROUTER_ATTEMPT,
      .u.attempt = {.end = PL_ATTEMPT_ANSWERED,
                    .status = 200,
                    .rate_limit_report = PL_RATE_LIMIT_NAMED,
                    .rate_limit = per_second},
  };

  end_attempt (world, call, &event);
}

void
world_answer_with_load (struct world *world, struct world_call *call,
                        const struct pl_load_report *load)
{
  struct pl_router_event event = {
      .type = PL_ROUTER_ATTEMPT,
      .u.attempt = {.end = PL_ATTEMPT_ANSWERED, .status = 200, .has_load = true, .load = *load},
  };

  end_attempt (world, call, &event);
}

void
world_lose_servers (struct world *world)
{
  char *server;

  for (int i = 0; i < 8; i++)
    {
      struct world_call *call = world_send_request (world, "/read/1", "key-1");

      while (call->at_server && !call->at_peer)
        world_end_attempt (world, call, PL_ATTEMPT_NOT_SENT, 0);
    }
  world_advance (world, WORLD_MS);
  while ((server = g_queue_pop_head (&world->probed)) != NULL)
    {
      struct pl_router_event event = {.type = PL_ROUTER_PROBED};

      event.u.probed.server = pl_server_hash (server);
      world_step (world, &event);
      g_free (server);
    }
}
