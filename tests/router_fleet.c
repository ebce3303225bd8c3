/* Simulates a fleet of routers that exchange beacons and rows, with a store, in virtual time. */
#include "router_fleet.h"
#include "internal/beacon_socket.h"
#include "internal/keys.h"

#include <assert.h>
#include <string.h>

#define SEEDS 2
#define DATAGRAM_DELAY_US (2 * WORLD_MS)
#define INTER_REGION_DELAY_US (13 * WORLD_MS)
#define HANDOVER_PORT "7615"
/* IPv4 and UDP headers. */
#define DATAGRAM_HEADER_BYTES 28
#define STRONG_CAPACITY 500
/* Time from the end of a process that was told to stop to its next start. */
#define RESTART_US (500 * WORLD_MS)
#define CAPACITY 100
/* As in modules/relay.c. */
#define FETCH_TIMEOUT_US (3 * WORLD_SECOND)

static const char *const seeds[SEEDS + 1] = {"10.0.0.0:7600", "10.0.0.1:7600", NULL};

const char *const router_fleet_domains[ROUTER_FLEET_DOMAINS + 1]
    = {"a-1=a", "b-1=b", "c-1=c", "a-2=a", "b-2=b", "c-2=c", "a-3=a", "b-3=b", "c-3=c", NULL};

const char *const router_fleet_six_domains[]
    = {"a-1=a", "b-1=b", "c-1=c", "a-2=a", "b-2=b", "c-2=c", NULL};

enum message_type
{
  MESSAGE_BEACON,
  MESSAGE_STORE,
  MESSAGE_RELAY,
  MESSAGE_STORE_READ,
};

struct message
{
  enum message_type type;
  int64_t due_us;
  int to;
  int version;    /* of the configuration; 0: none */
  uint64_t fetch; /* number of the fetch that it answers */
  struct pl_beacon *beacon;
};

static int
find_region (void *data, const char *region)
{
  struct router_fleet_host *host = data;

  return pl_router_ensure_region (host->router, region);
}

static int
find_host (const struct router_fleet *fleet, const char *address)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (fleet->addresses, address)) - 1;
}

static void
post_message (struct router_fleet *fleet, enum message_type type, int to, int version,
              int64_t delay_us)
{
  struct message message
      = {.type = type, .to = to, .version = version, .due_us = fleet->now_us + delay_us};

  g_array_append_val (fleet->messages, message);
}

int
router_fleet_held_version (const struct router_fleet_host *host)
{
  return host->router != NULL ? (int) pl_router_held_version (host->router, PL_TABLE_CONTROL) : 0;
}

const char *
router_fleet_region_of (const struct router_fleet *fleet, int domain)
{
  return strchr (fleet->domains[domain], '=') + 1;
}

static void
send_beacon (struct router_fleet *fleet, struct router_fleet_host *host,
             const struct pl_router_effect *effect)
{
  struct message message = {.type = MESSAGE_BEACON, .due_us = fleet->now_us + DATAGRAM_DELAY_US};
  char bytes[PL_BEACON_BYTES_MAX];
  int length = pl_beacon_encode (effect->u.datagram.beacon, bytes, sizeof bytes);
  struct router_fleet_host *target;

  assert (length > 0);
  message.to = find_host (fleet, effect->u.datagram.address);
  host->bytes_sent += (uint64_t) length + DATAGRAM_HEADER_BYTES;
  if (message.to < 0)
    return;
  target = &fleet->hosts[message.to];
  if (target->domain != host->domain)
    host->bytes_to_other_domains += (uint64_t) length + DATAGRAM_HEADER_BYTES;
  if (strcmp (router_fleet_region_of (fleet, target->domain),
              router_fleet_region_of (fleet, host->domain))
      != 0)
    message.due_us = fleet->now_us + INTER_REGION_DELAY_US;
  if (host->is_partitioned || target->is_partitioned || host->side != target->side)
    return;
  if (fleet->beacon_loss > 0
      && router_fleet_next_random (&fleet->loss_random) < fleet->beacon_loss * (1 << 24))
    return;
  message.beacon = g_new0 (struct pl_beacon, 1);
  assert (pl_beacon_decode (bytes, (size_t) length, message.beacon) == 0);
  g_array_append_val (fleet->messages, message);
}

static bool
reaches_store (const struct router_fleet_host *host)
{
  return !host->is_partitioned && !host->is_cut_from_store;
}

static void
fetch_rows (struct router_fleet *fleet, int index, const struct pl_router_effect *effect)
{
  struct router_fleet_host *host = &fleet->hosts[index];
  struct router_fleet_host *peer = &fleet->hosts[find_host (fleet, effect->u.fetch.address)];
  bool is_silent = peer->has_no_power || fleet->now_us < peer->frozen_until_us;
  bool is_lost = is_silent || host->is_partitioned || peer->is_partitioned
                 || peer->relay == ROUTER_FLEET_RELAY_REFUSES;
  bool is_late = is_silent || peer->relay == ROUTER_FLEET_RELAY_IS_SLOW;

  peer->relayed++;
  post_message (fleet, MESSAGE_RELAY, index, is_lost ? 0 : router_fleet_held_version (peer),
                is_late ? FETCH_TIMEOUT_US : 2 * DATAGRAM_DELAY_US);
  g_array_index (fleet->messages, struct message, fleet->messages->len - 1).fetch
      = effect->u.fetch.number;
}

static void
apply_effect (struct router_fleet *fleet, int index, const struct pl_router_effect *effect)
{
  struct router_fleet_host *host = &fleet->hosts[index];

  if (fleet->hooks != NULL && fleet->hooks->on_effect != NULL)
    fleet->hooks->on_effect (fleet->hooks_data, index, effect);
  switch (effect->type)
    {
    case PL_ROUTER_SEND_BEACON:
      send_beacon (fleet, host, effect);
      break;
    case PL_ROUTER_WATCH_STORE:
      host->watching = effect->u.watch;
      fleet->watches_started += host->watching;
      host->poll_started_us = fleet->now_us;
      host->is_poll_overdue = false;
      if (host->watching)
        post_message (fleet, MESSAGE_STORE, index, fleet->version, ROUTER_FLEET_STORE_ANSWER_US);
      break;
    case PL_ROUTER_FETCH_ROWS:
      fetch_rows (fleet, index, effect);
      break;
    case PL_ROUTER_READ_STORE:
      fleet->store_reads++;
      post_message (fleet, MESSAGE_STORE_READ, index, fleet->version,
                    reaches_store (host) ? ROUTER_FLEET_STORE_ANSWER_US
                                         : ROUTER_FLEET_POLL_TIMEOUT_US);
      break;
    case PL_ROUTER_STOPPED:
      host->has_stopped = true;
      break;
    case PL_ROUTER_REFUSE:
      /* There are no servers, so a request that its account's rate admits gets 503. */
      fleet->refused += effect->u.refuse.status == 429;
      fleet->admitted += effect->u.refuse.status == 503;
      break;
    default:
      break;
    }
}

void
router_fleet_step_host (struct router_fleet *fleet, int index, struct pl_router_event *event)
{
  struct router_fleet_host *host = &fleet->hosts[index];

  event->now_us = fleet->now_us;
  pl_router_step (host->router, event, &host->effects);
  for (int i = 0; i < host->effects.count; i++)
    apply_effect (fleet, index, &host->effects.items[i]);
  pl_router_effects_clear (&host->effects);
}

static void
deliver_configuration (struct router_fleet *fleet, int index, int version, bool from_peer)
{
  g_autofree char *config = g_strdup_printf ("{\"Version\":\"r%d\",\"Resources\":[%s]}", version,
                                             fleet->resources != NULL ? fleet->resources : "");
  struct pl_row row = {"config", config, strlen (config), version};
  struct pl_router_event event = {
      .type = PL_ROUTER_ROWS,
      .u.rows = {.table = PL_TABLE_CONTROL,
                 .is_snapshot = true,
                 .from_peer = from_peer,
                 .version = version,
                 .rows = &row,
                 .count = 1},
  };

  router_fleet_step_host (fleet, index, &event);
}

/* The store has answered host INDEX, and has nothing that was not delivered before. */
static void
confirm_rows (struct router_fleet *fleet, int index)
{
  struct router_fleet_host *host = &fleet->hosts[index];
  struct pl_router_event event = {
      .type = PL_ROUTER_STORE_OK,
      .u.store_call = {.age_us = fleet->now_us - host->poll_started_us, .confirms_control = true},
  };

  host->poll_started_us = fleet->now_us;
  host->is_poll_overdue = false;
  router_fleet_step_host (fleet, index, &event);
}

/* Ends the poll of host INDEX, or tells the host that it is overdue. */
static void
run_poll (struct router_fleet *fleet, int index)
{
  struct router_fleet_host *host = &fleet->hosts[index];
  int64_t waited_us = fleet->now_us - host->poll_started_us;
  struct pl_router_event overdue = {.type = PL_ROUTER_STORE_QUIET};
  struct pl_router_event failed
      = {.type = PL_ROUTER_STORE_FAILED, .u.store_call = {.age_us = waited_us, .timed_out = true}};

  if (!host->watching || waited_us < ROUTER_FLEET_POLL_US + ROUTER_FLEET_STORE_ANSWER_US)
    return;
  if (reaches_store (host) && !host->is_poll_overdue)
    confirm_rows (fleet, index);
  else if (waited_us >= ROUTER_FLEET_POLL_US + ROUTER_FLEET_POLL_TIMEOUT_US)
    {
      /* The next call does not wait for changes. */
      host->poll_started_us = fleet->now_us - ROUTER_FLEET_POLL_US;
      host->is_poll_overdue = false;
      router_fleet_step_host (fleet, index, &failed);
    }
  else if (waited_us >= ROUTER_FLEET_POLL_US + ROUTER_FLEET_QUIET_US && !host->is_poll_overdue)
    {
      host->is_poll_overdue = true;
      router_fleet_step_host (fleet, index, &overdue);
    }
}

bool
router_fleet_is_up (const struct router_fleet *fleet, int index)
{
  const struct router_fleet_host *host = &fleet->hosts[index];

  return host->router != NULL && fleet->now_us >= host->frozen_until_us;
}

static void
deliver (struct router_fleet *fleet, const struct message *message)
{
  struct pl_router_event event = {.type = PL_ROUTER_BEACON, .u.beacon = message->beacon};

  if (!router_fleet_is_up (fleet, message->to))
    return;
  switch (message->type)
    {
    case MESSAGE_BEACON:
      if (fleet->report_loss > 0
          && router_fleet_next_random (&fleet->loss_random) < fleet->report_loss * (1 << 24))
        message->beacon->account_count = 0;
      router_fleet_step_host (fleet, message->to, &event);
      break;
    case MESSAGE_STORE:
      if (!reaches_store (&fleet->hosts[message->to]))
        break;
      deliver_configuration (fleet, message->to, message->version, false);
      confirm_rows (fleet, message->to);
      break;
    case MESSAGE_STORE_READ:
      event.type = PL_ROUTER_STORE_READ;
      event.u.store_read_succeeded = reaches_store (&fleet->hosts[message->to]);
      if (event.u.store_read_succeeded)
        deliver_configuration (fleet, message->to, message->version, false);
      router_fleet_step_host (fleet, message->to, &event);
      break;
    case MESSAGE_RELAY:
      if (message->version > 0)
        deliver_configuration (fleet, message->to, message->version, true);
      event.type = PL_ROUTER_FETCH_DONE;
      event.u.fetch_done.number = message->fetch;
      event.u.fetch_done.end = message->version > 0 ? PL_FETCH_ANSWERED : PL_FETCH_FAILED;
      router_fleet_step_host (fleet, message->to, &event);
      break;
    }
}

/* Delivers the messages that are due.  Those posted meanwhile are due later. */
static void
deliver_due (struct router_fleet *fleet)
{
  GArray *pending = fleet->messages;

  fleet->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  for (guint i = 0; i < pending->len; i++)
    {
      struct message message = g_array_index (pending, struct message, i);

      if (message.due_us > fleet->now_us)
        {
          g_array_append_val (fleet->messages, message);
          continue;
        }
      deliver (fleet, &message);
      g_free (message.beacon);
    }
  g_array_free (pending, TRUE);
}

static void
start_host (struct router_fleet *fleet, int index)
{
  struct router_fleet_host *host = &fleet->hosts[index];
  const char *pair = fleet->domains[host->domain];
  g_autofree char *domain = g_strndup (pair, strcspn (pair, "="));
  struct pl_router_options options = {
      .name = host->name,
      .domain = domain,
      .caller_address = host->address,
      .peer_address = host->address,
      .relay_address = host->address,
      .handover_port = HANDOVER_PORT,
      .domains = fleet->domains,
      .seeds = seeds,
      .incarnation = ++host->incarnation,
      .capacity = host->capacity,
      .now_us = fleet->now_us,
      .grace_us = 6 * WORLD_SECOND,
      .retry_ratio = 0.2,
      .retry_slack = 50,
      .load_management = fleet->load_management,
      .switches = fleet->switches,
      .max_shift = fleet->max_shift,
      .decode = pl_platform_dialect.decode_row,
  };

  host->regions.find = find_region;
  host->regions.data = host;
  options.decode_data = &host->regions;
  host->router = pl_router_new (&options);
  host->watching = false;
  if (fleet->hooks != NULL && fleet->hooks->on_start != NULL)
    fleet->hooks->on_start (fleet->hooks_data, index);
}

void
router_fleet_run (struct router_fleet *fleet, int64_t us)
{
  int64_t until_us = fleet->now_us + us;
  struct pl_router_event tick = {.type = PL_ROUTER_TICK};

  for (; fleet->now_us < until_us; fleet->now_us += fleet->step_us)
    {
      deliver_due (fleet);
      for (int i = 0; i < fleet->count; i++)
        {
          struct router_fleet_host *host = &fleet->hosts[i];

          if (host->has_stopped)
            router_fleet_kill (fleet, i, RESTART_US);
          if (host->router == NULL && fleet->now_us >= host->starts_us)
            start_host (fleet, i);
          if (router_fleet_is_up (fleet, i))
            run_poll (fleet, i);
          if (router_fleet_is_up (fleet, i) && pl_router_due_us (host->router) <= fleet->now_us)
            router_fleet_step_host (fleet, i, &tick);
        }
    }
}

void
router_fleet_kill (struct router_fleet *fleet, int index, int64_t returns_us)
{
  struct router_fleet_host *host = &fleet->hosts[index];

  pl_router_free (host->router);
  host->router = NULL;
  host->watching = false;
  host->has_stopped = false;
  host->starts_us = returns_us == INT64_MAX ? INT64_MAX : fleet->now_us + returns_us;
}

void
router_fleet_cut_power (struct router_fleet *fleet, int index)
{
  fleet->hosts[index].has_no_power = true;
  router_fleet_kill (fleet, index, INT64_MAX);
}

void
router_fleet_cut_from_store (struct router_fleet *fleet, int index)
{
  fleet->hosts[index].is_cut_from_store = true;
  fleet->hosts[index].poll_started_us = fleet->now_us;
}

void
router_fleet_change_configuration (struct router_fleet *fleet, int version)
{
  fleet->version = version;
  for (int i = 0; i < fleet->count; i++)
    if (fleet->hosts[i].watching)
      post_message (fleet, MESSAGE_STORE, i, version, ROUTER_FLEET_STORE_ANSWER_US);
}

bool
router_fleet_send_request (struct router_fleet *fleet, int index, const char *key)
{
  struct pl_router_event event = {.type = PL_ROUTER_CALL};
  int refused = fleet->refused;

  event.u.call.request = ++fleet->next_request;
  event.u.call.correlation_id = "label";
  event.u.call.host = "h";
  event.u.call.path = "/read/1";
  event.u.call.caller_timeout_us = 2 * WORLD_SECOND;
  event.u.call.fingerprint = fleet->next_request;
  event.u.call.has_key = true;
  pl_key_hash (key, strlen (key), event.u.call.key_hash);
  router_fleet_step_host (fleet, index, &event);
  return fleet->refused == refused;
}

char *
router_fleet_make_resources (double rate, double burst)
{
  GString *text = g_string_new (
      "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"stock\"},\"Spec\":{}},"
      "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"read\"},\"Spec\":{\"Host\":\"h\","
      "\"Prefix\":\"/read/\",\"Kind\":\"idempotent\",\"Service\":\"stock\"}}");

  for (int i = 0; i < ROUTER_FLEET_ACCOUNTS; i++)
    g_string_append_printf (text,
                            ",{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"t-%d\"},"
                            "\"Spec\":{\"ApiKeys\":[\"key-%d\"],\"RatePerS\":%f,\"Burst\":%f}}",
                            i, i, rate, burst);
  return g_string_free (text, FALSE);
}

uint32_t
router_fleet_next_random (uint32_t *state)
{
  *state = *state * 1664525 + 1013904223;
  return *state >> 8;
}

struct router_fleet *
router_fleet_new (int count, const char *const *domains, bool mixed)
{
  struct router_fleet *fleet = g_new0 (struct router_fleet, 1);

  assert (count <= ROUTER_FLEET_HOSTS_MAX);
  fleet->count = count;
  fleet->domains = domains;
  while (domains[fleet->domain_count] != NULL)
    fleet->domain_count++;
  fleet->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  fleet->addresses = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->now_us = WORLD_SECOND;
  fleet->step_us = WORLD_MS;
  fleet->version = ROUTER_FLEET_FIRST_VERSION;
  for (int i = 0; i < count; i++)
    {
      struct router_fleet_host *host = &fleet->hosts[i];

      host->domain = i % fleet->domain_count;
      host->capacity = mixed && i / fleet->domain_count < ROUTER_FLEET_STRONG_PER_DOMAIN
                           ? STRONG_CAPACITY
                           : CAPACITY;
      g_snprintf (host->name, sizeof host->name, "host-%d", i);
      g_snprintf (host->address, sizeof host->address, "10.0.%d.%d:7600", i / 250, i % 250);
      host->starts_us = fleet->now_us + ROUTER_FLEET_START_SPREAD_US * (i * 7 % count) / count;
      g_hash_table_insert (fleet->addresses, host->address, GINT_TO_POINTER (i + 1));
    }
  return fleet;
}

void
router_fleet_free (struct router_fleet *fleet)
{
  for (int i = 0; i < fleet->count; i++)
    {
      pl_router_free (fleet->hosts[i].router);
      pl_router_effects_free (&fleet->hosts[i].effects);
    }
  for (guint i = 0; i < fleet->messages->len; i++)
    g_free (g_array_index (fleet->messages, struct message, i).beacon);
  g_array_free (fleet->messages, TRUE);
  g_hash_table_destroy (fleet->addresses);
  g_free (fleet);
}

int
router_fleet_count_configured (const struct router_fleet *fleet)
{
  int configured = 0;

  for (int i = 0; i < fleet->count; i++)
    configured += router_fleet_held_version (&fleet->hosts[i]) == fleet->version;
  return configured;
}

int
router_fleet_count_missing (const struct router_fleet *fleet)
{
  int missing = 0;

  for (int i = 0; i < fleet->count; i++)
    missing += fleet->hosts[i].router != NULL
               && router_fleet_held_version (&fleet->hosts[i]) != fleet->version;
  return missing;
}

int
router_fleet_count_watching (const struct router_fleet *fleet)
{
  int watching = 0;

  for (int i = 0; i < fleet->count; i++)
    watching += fleet->hosts[i].watching;
  return watching;
}
