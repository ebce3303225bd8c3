/* Simulates a fleet of routers that exchange beacons and rows, with a store, in virtual time. */
#include "router_fleet.h"
#include "internal/beacon_socket.h"
#include "internal/gzip.h"
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
#define PROGRESS_INTERVAL_US (50 * WORLD_MS)
/* As in programs/pomelolatch-entry.c. */
#define RELAY_LINK_RATIO 0.5
/* An answer without rows. */
#define EMPTY_ANSWER_BYTES 200

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
  MESSAGE_RELAY_PROGRESS,
  MESSAGE_STORE_READ,
};

struct message
{
  enum message_type type;
  int64_t due_us;
  int to;
  int version;    /* of the configuration; 0: none */
  uint64_t fetch; /* number of the fetch that it answers */
  bool is_refused;
  bool has_failed;
  struct pl_beacon *beacon;
};

#define FROM_STORE (-1)

/* An answer with rows on its way over links that have a bandwidth. */
struct transfer
{
  struct message message; /* posted when the last byte has arrived */
  int from;               /* host, or FROM_STORE, whose link has no bound */
  double bytes_left;
  int64_t delay_us; /* of each byte */
  int64_t fails_us; /* INT64_MAX: never */
  int64_t told_us;  /* when the router was last told that bytes arrive */
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

static char *
make_configuration (const struct router_fleet *fleet, int version)
{
  return g_strdup_printf ("{\"Version\":\"r%d\",\"Resources\":[%s]}", version,
                          fleet->resources != NULL ? fleet->resources : "");
}

/* Returns the bytes of an answer of a peer with the configuration VERSION, as modules/relay.c sends
 * it. */
static size_t
relay_answer_bytes (const struct router_fleet *fleet, int version)
{
  g_autofree char *config = make_configuration (fleet, version);
  json_t *value = json_string (config);
  char *text = json_dumps (value, JSON_ENCODE_ANY);
  struct pl_gzip_part part = pl_gzip_compress (text, strlen (text));
  size_t length = part.bytes->len;

  pl_gzip_part_clear (&part);
  free (text);
  json_decref (value);
  return length;
}

/* Posts MESSAGE, an answer of BYTES bytes, which arrives DELAY_US after its last byte was sent. */
static void
post_transfer (struct router_fleet *fleet, int from, const struct message *message, size_t bytes,
               int64_t delay_us, int64_t timeout_us)
{
  struct transfer transfer = {
      .message = *message,
      .from = from,
      .bytes_left = (double) bytes,
      .delay_us = delay_us,
      .fails_us = timeout_us == INT64_MAX ? INT64_MAX : fleet->now_us + timeout_us,
  };

  transfer.message.due_us = fleet->now_us + delay_us;
  if (fleet->link_bytes_per_second > 0)
    g_array_append_val (fleet->transfers, transfer);
  else
    g_array_append_val (fleet->messages, transfer.message);
}

/* Has the store answer host TO with the rows that it lacks. */
static void
post_store_answer (struct router_fleet *fleet, enum message_type type, int to, int64_t timeout_us)
{
  struct message message = {.type = type, .to = to, .version = fleet->version};
  bool has_news = router_fleet_held_version (&fleet->hosts[to]) < fleet->version;
  g_autofree char *config = make_configuration (fleet, fleet->version);

  post_transfer (fleet, FROM_STORE, &message, has_news ? strlen (config) : EMPTY_ANSWER_BYTES,
                 ROUTER_FLEET_STORE_ANSWER_US, timeout_us);
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

/* Returns whether PEER refuses to send rows, as pl_relay_answer() does, and else books BYTES. */
static bool
is_over_link_budget (const struct router_fleet *fleet, struct router_fleet_host *peer, size_t bytes)
{
  double rate = fleet->link_bytes_per_second * RELAY_LINK_RATIO;
  double refill = rate * (double) (fleet->now_us - peer->relay_refilled_us) / WORLD_SECOND;

  if (fleet->link_bytes_per_second <= 0)
    return false;
  peer->relay_bytes_available = MIN (peer->relay_bytes_available + refill, rate);
  peer->relay_refilled_us = fleet->now_us;
  if (peer->relay_bytes_available < 0)
    return true;
  peer->relay_bytes_available -= (double) bytes;
  return false;
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

  int version = is_lost ? 0 : router_fleet_held_version (peer);
  struct message message
      = {.type = MESSAGE_RELAY, .to = index, .version = version, .fetch = effect->u.fetch.number};
  size_t bytes = EMPTY_ANSWER_BYTES;

  peer->relayed++;
  if (fleet->link_bytes_per_second > 0 && version > effect->u.fetch.held[PL_TABLE_CONTROL])
    bytes = relay_answer_bytes (fleet, version);
  message.is_refused = !is_lost && is_over_link_budget (fleet, peer, bytes);
  post_transfer (fleet, find_host (fleet, effect->u.fetch.address), &message,
                 message.is_refused ? EMPTY_ANSWER_BYTES : bytes,
                 is_late ? FETCH_TIMEOUT_US : 2 * DATAGRAM_DELAY_US, FETCH_TIMEOUT_US);
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
        post_store_answer (fleet, MESSAGE_STORE, index, INT64_MAX);
      break;
    case PL_ROUTER_FETCH_ROWS:
      fetch_rows (fleet, index, effect);
      break;
    case PL_ROUTER_READ_STORE:
      fleet->store_reads++;
      if (reaches_store (host))
        post_store_answer (fleet, MESSAGE_STORE_READ, index, ROUTER_FLEET_POLL_TIMEOUT_US);
      else
        post_message (fleet, MESSAGE_STORE_READ, index, fleet->version,
                      ROUTER_FLEET_POLL_TIMEOUT_US);
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
  g_autofree char *config = make_configuration (fleet, version);
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

/* Returns whether an answer of the store to the poll of host INDEX is on its way. */
static bool
is_poll_answered (const struct router_fleet *fleet, int index)
{
  for (guint i = 0; i < fleet->transfers->len; i++)
    {
      const struct message *message = &g_array_index (fleet->transfers, struct transfer, i).message;

      if (message->type == MESSAGE_STORE && message->to == index)
        return true;
    }
  return false;
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
  if (reaches_store (host) && !host->is_poll_overdue && !is_poll_answered (fleet, index))
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
  bool has_rows;

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
      /* The next poll is answered at once. */
      if (message->version < fleet->version)
        post_store_answer (fleet, MESSAGE_STORE, message->to, INT64_MAX);
      break;
    case MESSAGE_STORE_READ:
      event.type = PL_ROUTER_STORE_READ;
      event.u.store_read_succeeded
          = reaches_store (&fleet->hosts[message->to]) && !message->has_failed;
      if (event.u.store_read_succeeded)
        deliver_configuration (fleet, message->to, message->version, false);
      router_fleet_step_host (fleet, message->to, &event);
      break;
    case MESSAGE_RELAY_PROGRESS:
      event.type = PL_ROUTER_FETCH_PROGRESS;
      event.u.fetch = message->fetch;
      router_fleet_step_host (fleet, message->to, &event);
      break;
    case MESSAGE_RELAY:
      has_rows = message->version > 0 && !message->is_refused && !message->has_failed;
      if (has_rows)
        deliver_configuration (fleet, message->to, message->version, true);
      event.type = PL_ROUTER_FETCH_DONE;
      event.u.fetch_done.number = message->fetch;
      event.u.fetch_done.end = has_rows              ? PL_FETCH_ANSWERED
                               : message->is_refused ? PL_FETCH_REFUSED
                                                     : PL_FETCH_FAILED;
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

/* Returns how many bytes of TRANSFER arrive in a step, in which hosts send OUT and receive IN
 * transfers. */
static double
bytes_in_step (const struct router_fleet *fleet, const struct transfer *transfer, const int *out,
               const int *in)
{
  const struct message *message = &transfer->message;
  int sharing = in[message->to];

  if (transfer->from != FROM_STORE)
    sharing = MAX (sharing, out[transfer->from]);
  return fleet->link_bytes_per_second * (double) fleet->step_us / WORLD_SECOND / sharing;
}

/* Returns whether host FROM sends nothing, now or ever. */
static bool
is_sender_silent (const struct router_fleet *fleet, int from)
{
  return from != FROM_STORE && !router_fleet_is_up (fleet, from);
}

/* Has bytes of TRANSFER arrive.  Its host is told now and then. */
static void
receive_bytes (struct router_fleet *fleet, struct transfer *transfer, double bytes)
{
  struct message message = transfer->message;

  transfer->bytes_left -= bytes;
  if (message.type != MESSAGE_RELAY || fleet->now_us - transfer->told_us < PROGRESS_INTERVAL_US)
    return;
  transfer->told_us = fleet->now_us;
  message.type = MESSAGE_RELAY_PROGRESS;
  message.due_us = fleet->now_us + transfer->delay_us;
  g_array_append_val (fleet->messages, message);
}

/* Passes the bytes on that links carry in a step. */
static void
run_transfers (struct router_fleet *fleet)
{
  int out[ROUTER_FLEET_HOSTS_MAX] = {0};
  int in[ROUTER_FLEET_HOSTS_MAX] = {0};

  for (guint i = 0; i < fleet->transfers->len; i++)
    {
      const struct transfer *transfer = &g_array_index (fleet->transfers, struct transfer, i);

      if (is_sender_silent (fleet, transfer->from))
        continue;
      in[transfer->message.to]++;
      if (transfer->from != FROM_STORE)
        out[transfer->from]++;
    }
  for (guint i = 0; i < fleet->transfers->len;)
    {
      struct transfer *transfer = &g_array_index (fleet->transfers, struct transfer, i);

      if (!is_sender_silent (fleet, transfer->from))
        receive_bytes (fleet, transfer, bytes_in_step (fleet, transfer, out, in));
      transfer->message.has_failed = fleet->now_us >= transfer->fails_us;
      if (transfer->bytes_left > 0 && !transfer->message.has_failed)
        {
          i++;
          continue;
        }
      transfer->message.due_us = fleet->now_us + transfer->delay_us;
      g_array_append_val (fleet->messages, transfer->message);
      g_array_remove_index (fleet->transfers, i);
    }
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
      run_transfers (fleet);
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
    if (fleet->hosts[i].watching && !is_poll_answered (fleet, i))
      post_store_answer (fleet, MESSAGE_STORE, i, INT64_MAX);
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

char *
router_fleet_make_routes (int routes)
{
  GString *text = g_string_new (
      "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"stock\"},\"Spec\":{}}");
  uint32_t random = 1;

  for (int i = 0; i < routes; i++)
    {
      uint32_t name = router_fleet_next_random (&random);
      uint32_t path = router_fleet_next_random (&random);

      g_string_append_printf (
          text,
          ",{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"route-%06x-%d\","
          "\"Labels\":{\"team\":\"team-%u\",\"change\":\"%06x%06x\"}},"
          "\"Spec\":{\"Host\":\"host-%u.example\",\"Prefix\":\"/%06x/read/\","
          "\"Kind\":\"idempotent\",\"Service\":\"stock\"}}",
          name, i, name % 40, router_fleet_next_random (&random), path, path % 200, path);
    }
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
  fleet->transfers = g_array_new (FALSE, FALSE, sizeof (struct transfer));
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
  g_array_free (fleet->transfers, TRUE);
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
