/* Simulates backend servers that name rate limits, and hosts that do not reach them.
 *
 * A server runs each request for LIMITED_SERVER_WORK_US, whatever its load, and names its limit in
 * the answer.  The users' bound is checked on its arrivals.
 */
#include "limited_servers.h"
#include "internal/keys.h"

#include <assert.h>
#include <string.h>

#define OBJECTS_PER_SERVER 25
#define WORK_US (80 * WORLD_MS)
#define CALLER_TIMEOUT_US (2 * WORLD_SECOND)
/* One way between caller and host. */
#define CALLER_DELAY_US (3 * WORLD_MS)
#define NEAR_DELAY_US (1 * WORLD_MS)
#define FAR_DELAY_US (12 * WORLD_MS)
/* The users' bound on what a server with a limit gets. */
#define LIMIT_WINDOW_US (4 * WORLD_SECOND)
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5.0
/* A host counts from this long after it delivered an answer with the limit. */
#define TOLD_DELAY_US (500 * WORLD_MS)

/* As the entry hosts' connections to servers end. */
#define CONNECT_TIMEOUT_US (250 * WORLD_MS)
#define UNACKED_LIMIT_US (500 * WORLD_MS)

/* A caller's request, or one that a host has handed over to another. */
struct request
{
  uint64_t id;
  int host;
  int64_t sent_us;
  struct request *origin; /* of one handed over; NULL: a caller's */
  uint64_t origin_incarnation;
  uint32_t origin_attempt;
  char path[16];
  uint64_t object;
  bool is_write; /* must run at most once */
  bool ended;
  bool was_refused; /* with a promise that it has not run */
  int account;      /* -1: none */
  bool is_retry;    /* the caller's */
  int64_t first_us; /* the caller's first attempt */
  int64_t retry_us; /* when the caller comes again */
  int runs;
};

/* A request on its way to a peer, or the answer to it on its way back. */
struct handover
{
  int64_t due_us;
  struct request *request;
  bool is_answer;
  struct pl_attempt_event answer;
  int64_t time_left_us;
  int64_t version;
  int attempts;
};

struct answer
{
  int64_t arrives_us; /* at the server; 0: it has arrived, or never does */
  enum pl_attempt_end end;
  bool is_new_connection;
  bool is_probe;
  int64_t due_us; /* at the host */
  int host;
  uint64_t incarnation; /* of the host */
  uint64_t request;
  uint32_t attempt;
  int server;
  double limit;
};

const char *const limited_domains[LIMITED_DOMAINS + 1] = {"north-a=north",
                                                          "central-a=central",
                                                          "south-a=south",
                                                          "north-b=north",
                                                          "central-b=central",
                                                          "south-b=south",
                                                          NULL};

static const char *const resources_form
    = "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"stock\"},\"Spec\":{"
      "\"ColdStart\":\"3s\",\"ColdPerS\":14.0}},"
      "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"read\"},\"Spec\":{\"Host\":\"h\","
      "\"Prefix\":\"/read/\",\"Kind\":\"idempotent\",\"Timeout\":\"1800ms\",\"TargetLatency\":"
      "\"%dms\",\"Service\":\"stock\",\"Attempts\":2,\"Sticky\":true}},"
      "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"write\"},\"Spec\":{\"Host\":\"h\","
      "\"Prefix\":\"/write/\",\"Kind\":\"non_idempotent\",\"Timeout\":\"1800ms\",\"TargetLatency\":"
      "\"%dms\",\"Service\":\"stock\",\"Attempts\":2,\"Sticky\":true,\"Priority\":2}}";

/* Key of a pair of server and host. */
static gpointer
told_key (int server, int host)
{
  return GINT_TO_POINTER (server * ROUTER_FLEET_HOSTS_MAX + host + 1);
}

static int64_t
delay_between (const struct limited_servers *servers, int host, int server)
{
  const struct router_fleet *fleet = servers->fleet;

  return strcmp (router_fleet_region_of (fleet, fleet->hosts[host].domain),
                 router_fleet_region_of (fleet, servers->servers[server].domain))
                 == 0
             ? NEAR_DELAY_US
             : FAR_DELAY_US;
}

static void
on_start (void *data, int index)
{
  struct limited_servers *servers = data;
  struct router_fleet *fleet = servers->fleet;
  g_autofree struct pl_row *rows = g_new0 (struct pl_row, servers->count);
  struct pl_router_event event = {
      .type = PL_ROUTER_ROWS,
      .u.rows = {.table = PL_TABLE_SERVERS,
                 .is_snapshot = true,
                 .from_peer = true,
                 .version = ROUTER_FLEET_FIRST_VERSION,
                 .rows = rows,
                 .count = servers->count},
  };

  for (int i = 0; i < servers->count; i++)
    {
      const char *pair = fleet->domains[servers->servers[i].domain];

      rows[i].key = servers->servers[i].id;
      rows[i].value = g_strdup_printf (
          "{\"Address\":\"10.1.%d.%d:80\",\"born\":1,\"Info\":{\"Service\":\"stock\",\"Zone\":"
          "\"%.*s\",\"Slots\":%d},\"Status\":{\"State\":\"ready\",\"Sequence\":1,"
          "\"ColdRemaining\":\"%dms\"}}",
          i / 250, i % 250 + 1, (int) strcspn (pair, "="), pair,
          servers->queueing.slots > 0 ? servers->queueing.slots : LIMITED_SERVER_SLOTS,
          servers->servers[i].cold_ms);
      rows[i].length = strlen (rows[i].value);
      rows[i].version = ROUTER_FLEET_FIRST_VERSION;
      g_hash_table_remove (servers->told, told_key (i, index));
    }
  router_fleet_step_host (fleet, index, &event);
  for (int i = 0; i < servers->count; i++)
    g_free ((char *) rows[i].value);
}

static int
find_server (const struct limited_servers *servers, const char *id)
{
  int index = atoi (id + strlen ("s-"));

  assert (index < servers->count && strcmp (servers->servers[index].id, id) == 0);
  return index;
}

/* Sets how the sending of ANSWER's request ends, as the link of its host to the servers is. */
static void
apply_link (struct limited_servers *servers, struct answer *answer, int64_t delay_us)
{
  int64_t now_us = servers->fleet->now_us;
  struct limited_host *host = &servers->hosts[answer->host];
  gpointer connection = told_key (answer->server, answer->host);
  bool is_kept = !answer->is_probe && g_hash_table_contains (servers->kept, connection);
  bool is_refused = host->link == LINK_RESETS || (host->link == LINK_REFUSES_NEW && !is_kept)
                    || servers->servers[answer->server].is_down;

  answer->is_new_connection = !is_kept;
  answer->arrives_us = now_us + delay_us;
  answer->due_us = now_us + 2 * delay_us + (answer->is_probe ? 0 : LIMITED_SERVER_WORK_US);
  answer->end = PL_ATTEMPT_ANSWERED;
  host->connections += !is_kept;
  if (is_refused)
    answer->end = PL_ATTEMPT_NOT_SENT;
  else if (host->link == LINK_HANGS)
    answer->end = is_kept ? PL_ATTEMPT_ANSWER_LOST : PL_ATTEMPT_NOT_SENT;
  if (answer->end == PL_ATTEMPT_ANSWERED)
    return;
  g_hash_table_remove (servers->kept, connection);
  answer->arrives_us = 0;
  answer->due_us = now_us
                   + (is_refused ? 2 * delay_us
                      : is_kept  ? UNACKED_LIMIT_US
                                 : CONNECT_TIMEOUT_US);
}

static void
send_to_server (struct limited_servers *servers, int index, const char *id, bool is_probe,
                const struct pl_router_effect *effect)
{
  struct router_fleet *fleet = servers->fleet;
  struct answer answer = {.host = index,
                          .incarnation = fleet->hosts[index].incarnation,
                          .is_probe = is_probe,
                          .request = effect->request,
                          .attempt = effect->attempt,
                          .server = find_server (servers, id)};

  apply_link (servers, &answer, delay_between (servers, index, answer.server));
  g_array_append_val (servers->answers, answer);
}

static int64_t
delay_between_hosts (const struct limited_servers *servers, int a, int b)
{
  const struct router_fleet *fleet = servers->fleet;

  return strcmp (router_fleet_region_of (fleet, fleet->hosts[a].domain),
                 router_fleet_region_of (fleet, fleet->hosts[b].domain))
                 == 0
             ? NEAR_DELAY_US
             : FAR_DELAY_US;
}

static int
find_host_by_ip (const struct router_fleet *fleet, const char *address)
{
  size_t length = strcspn (address, ":");

  for (int i = 0; i < fleet->count; i++)
    if (strncmp (fleet->hosts[i].address, address, length) == 0
        && fleet->hosts[i].address[length] == ':')
      return i;
  return -1;
}

static void
send_to_peer (struct limited_servers *servers, int index, const struct pl_router_effect *effect)
{
  struct router_fleet *fleet = servers->fleet;
  struct request *origin = g_hash_table_lookup (servers->requests, &effect->request);
  struct request *request = g_new0 (struct request, 1);
  struct handover handover = {.request = request,
                              .time_left_us = effect->u.hand_over.time_left_us,
                              .version = effect->u.hand_over.version,
                              .attempts = effect->u.hand_over.attempts};

  assert (origin != NULL && origin->origin == NULL); /* no request is handed over twice */
  *request = *origin;
  request->id = ++fleet->next_request;
  request->host = find_host_by_ip (fleet, effect->u.hand_over.address);
  request->origin = origin;
  request->origin_incarnation = fleet->hosts[index].incarnation;
  request->origin_attempt = effect->attempt;
  g_hash_table_insert (servers->requests, &request->id, request);
  handover.due_us = fleet->now_us + delay_between_hosts (servers, index, request->host);
  g_array_append_val (servers->handovers, handover);
  servers->handed_over++;
}

/* Sends ANSWER to the host that has handed REQUEST over. */
static void
answer_origin (struct limited_servers *servers, struct request *request,
               const struct pl_attempt_event *answer)
{
  struct handover handover = {.request = request, .is_answer = true, .answer = *answer};

  handover.due_us = servers->fleet->now_us
                    + delay_between_hosts (servers, request->host, request->origin->host);
  handover.answer.request = request->origin->id;
  handover.answer.attempt = request->origin_attempt;
  g_array_append_val (servers->handovers, handover);
}

static void
end_handover (struct limited_servers *servers, struct request *request,
              const struct pl_router_effect *effect)
{
  struct pl_attempt_event answer = {.end = PL_ATTEMPT_ANSWERED, .status = 200};

  if (effect->type == PL_ROUTER_REFUSE)
    {
      answer.end = PL_ATTEMPT_PEER_REFUSED;
      answer.status = effect->u.refuse.status;
      answer.refusal.attempts = effect->u.refuse.attempts;
      answer.refusal.retry_after_us = effect->u.refuse.retry_after_us;
      g_strlcpy (answer.refusal.reason, effect->u.refuse.reason, sizeof answer.refusal.reason);
    }
  answer_origin (servers, request, &answer);
}

static void
deliver_to_peer (struct limited_servers *servers, const struct handover *handover)
{
  struct request *request = handover->request;
  struct pl_attempt_event not_sent = {.end = PL_ATTEMPT_NOT_SENT};
  struct pl_router_event event = {.type = PL_ROUTER_CALL};

  if (!router_fleet_is_up (servers->fleet, request->host))
    {
      answer_origin (servers, request, &not_sent);
      return;
    }
  event.u.call.request = request->id;
  event.u.call.correlation_id = "label";
  event.u.call.host = "h";
  event.u.call.path = request->path;
  event.u.call.caller_timeout_us = handover->time_left_us;
  event.u.call.fingerprint = request->origin->id;
  event.u.call.object = request->object;
  event.u.call.is_handover = true;
  event.u.call.handover_version = handover->version;
  event.u.call.handover_attempts = handover->attempts;
  router_fleet_step_host (servers->fleet, request->host, &event);
}

static void
deliver_to_origin (struct limited_servers *servers, const struct handover *handover)
{
  const struct request *request = handover->request;
  int origin = request->origin->host;
  struct pl_router_event event = {.type = PL_ROUTER_ATTEMPT, .u.attempt = handover->answer};

  if (router_fleet_is_up (servers->fleet, origin)
      && servers->fleet->hosts[origin].incarnation == request->origin_incarnation)
    router_fleet_step_host (servers->fleet, origin, &event);
}

/* Delivers the hand-overs and their answers that are due.  Those sent meanwhile are due later. */
static void
deliver_handovers (struct limited_servers *servers)
{
  GArray *pending = servers->handovers;

  servers->handovers = g_array_new (FALSE, FALSE, sizeof (struct handover));
  for (guint i = 0; i < pending->len; i++)
    {
      const struct handover *handover = &g_array_index (pending, struct handover, i);

      if (handover->due_us > servers->fleet->now_us)
        g_array_append_val (servers->handovers, *handover);
      else if (handover->is_answer)
        deliver_to_origin (servers, handover);
      else
        deliver_to_peer (servers, handover);
    }
  g_array_free (pending, TRUE);
}

/* Counts the end of REQUEST, of an account, or has its caller come again. */
static void
end_accounts_request (struct limited_servers *servers, struct request *request,
                      const struct pl_router_effect *effect)
{
  int64_t now_us = servers->fleet->now_us;
  int64_t window = (request->first_us - servers->counted_from_us) / LIMITED_WINDOW_US;
  struct limited_window *counts;

  if (request->was_refused && !request->is_retry && effect->u.refuse.retry_after_us > 0)
    {
      request->retry_us = now_us + effect->u.refuse.retry_after_us + 2 * CALLER_DELAY_US;
      g_array_append_val (servers->retries, request);
      return;
    }
  if (request->first_us < servers->counted_from_us || window >= LIMITED_WINDOWS_MAX
      || effect->type != PL_ROUTER_DELIVER)
    return;
  counts = &servers->accounts[request->account].windows[window];
  if (now_us + CALLER_DELAY_US - request->first_us <= servers->objective_us)
    {
      counts->in_time++;
      servers->class_in_time[request->is_write]++;
    }
  else
    counts->late++;
}

/* Counts the end of a caller's request at host INDEX. */
static void
end_request (struct limited_servers *servers, int index, const struct pl_router_effect *effect)
{
  struct limited_host *host = &servers->hosts[index];
  struct request *request = g_hash_table_lookup (servers->requests, &effect->request);
  bool is_served = effect->type == PL_ROUTER_DELIVER;
  int status = is_served ? 200 : effect->u.refuse.status;

  if (request != NULL && request->origin != NULL)
    {
      end_handover (servers, request, effect);
      return;
    }
  servers->delivered += is_served;
  servers->refused += !is_served;
  host->served += is_served;
  host->refused += status == 503 || status == 429;
  host->may_have_run += status == 502 || status == 504;
  if (request == NULL)
    return;
  request->ended = true;
  request->was_refused = status == 503 || status == 429;
  if (request->account >= 0)
    end_accounts_request (servers, request, effect);
  servers->ran_though_refused += request->was_refused && request->runs > 0;
}

static void
on_effect (void *data, int index, const struct pl_router_effect *effect)
{
  struct limited_servers *servers = data;

  switch (effect->type)
    {
    case PL_ROUTER_SEND:
      send_to_server (servers, index, effect->u.send.server, false, effect);
      break;
    case PL_ROUTER_PROBE:
      send_to_server (servers, index, effect->u.probe.server_id, true, effect);
      break;
    case PL_ROUTER_HAND_OVER:
      send_to_peer (servers, index, effect);
      break;
    case PL_ROUTER_DELIVER:
    case PL_ROUTER_REFUSE:
      end_request (servers, index, effect);
      break;
    default:
      break;
    }
}

static const struct router_fleet_hooks hooks = {on_start, on_effect};

struct limited_servers *
limited_servers_new (struct router_fleet *fleet, int count, int objective_ms)
{
  struct limited_servers *servers = g_new0 (struct limited_servers, 1);

  assert (count <= LIMITED_SERVERS_MAX);
  servers->fleet = fleet;
  servers->count = count;
  servers->random = 1;
  servers->answers = g_array_new (FALSE, FALSE, sizeof (struct answer));
  servers->told = g_hash_table_new (NULL, NULL);
  servers->kept = g_hash_table_new (NULL, NULL);
  servers->handovers = g_array_new (FALSE, FALSE, sizeof (struct handover));
  servers->retries = g_array_new (FALSE, FALSE, sizeof (struct request *));
  servers->objective_us = objective_ms * WORLD_MS;
  servers->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (int i = 0; i < count; i++)
    {
      struct limited_server *server = &servers->servers[i];

      g_snprintf (server->id, sizeof server->id, "s-%d", i);
      server->domain = i % fleet->domain_count;
      server->limit = -1;
      server->arrivals = g_array_new (FALSE, FALSE, sizeof (struct limited_arrival));
    }
  servers->resources = g_strdup_printf (resources_form, objective_ms, objective_ms);
  fleet->resources = servers->resources;
  fleet->hooks = &hooks;
  fleet->hooks_data = servers;
  return servers;
}

void
limited_servers_free (struct limited_servers *servers)
{
  servers->fleet->hooks = NULL;
  for (int i = 0; i < servers->count; i++)
    g_array_free (servers->servers[i].arrivals, TRUE);
  g_array_free (servers->answers, TRUE);
  g_hash_table_destroy (servers->told);
  g_hash_table_destroy (servers->kept);
  g_array_free (servers->handovers, TRUE);
  g_array_free (servers->retries, TRUE);
  g_hash_table_destroy (servers->requests);
  g_free (servers->resources);
  g_free (servers);
}

void
limited_servers_name (struct limited_servers *servers, int index, double limit,
                      enum limited_naming naming)
{
  struct limited_server *server = &servers->servers[index];

  server->limit = limit;
  server->naming = naming;
  server->named_us = servers->fleet->now_us;
  g_array_set_size (server->arrivals, 0);
  for (int host = 0; host < servers->fleet->count; host++)
    g_hash_table_remove (servers->told, told_key (index, host));
}

static bool
names_limit (struct limited_servers *servers, const struct limited_server *server)
{
  int64_t since_us = servers->fleet->now_us - WORLD_SECOND;
  int recent = 0;

  switch (server->naming)
    {
    case NAMING_ALL:
      return true;
    case NAMING_SOME:
      return router_fleet_next_random (&servers->random) % 3 == 0;
    case NAMING_EXCESS:
      for (guint i = server->arrivals->len; i > 0; i--)
        recent += g_array_index (server->arrivals, struct limited_arrival, i - 1).at_us > since_us;
      return recent > server->limit;
    case NAMING_NONE:
      break;
    }
  return false;
}

/* Returns whether SERVER knows OBJECT, which it knows from now on. */
static bool
learn_object (struct limited_server *server, uint64_t object)
{
  int at = 0;
  bool is_known;

  while (at < LIMITED_KNOWN_OBJECTS - 1 && server->known[at] != object)
    at++;
  is_known = server->known[at] == object;
  memmove (&server->known[1], &server->known[0], (size_t) at * sizeof server->known[0]);
  server->known[0] = object;
  return is_known;
}

/* Removes what SERVER, which has a queue, has done. */
static void
end_held (struct limited_server *server, int64_t now_us)
{
  int kept = 0;

  for (int i = 0; i < server->held; i++)
    if (server->ends_us[i] > now_us)
      server->ends_us[kept++] = server->ends_us[i];
  server->held = kept;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t difference = *(const int64_t *) a - *(const int64_t *) b;

  return (difference > 0) - (difference < 0);
}

/* Runs ANSWER's request behind those that its server holds, or rejects it. */
static void
hold_request (struct limited_servers *servers, struct answer *answer, uint64_t object)
{
  const struct limited_queueing *queueing = &servers->queueing;
  struct limited_server *server = &servers->servers[answer->server];
  int64_t now_us = servers->fleet->now_us;
  int64_t delay_us = delay_between (servers, answer->host, answer->server);
  int64_t start_us = now_us;

  end_held (server, now_us);
  answer->due_us = now_us + delay_us;
  if (server->held >= queueing->slots + queueing->queue)
    {
      answer->end = PL_ATTEMPT_NOT_RUN;
      return;
    }
  /* It starts when all but slots - 1 of those before it have ended. */
  qsort (server->ends_us, (size_t) server->held, sizeof server->ends_us[0], compare_times);
  if (server->held >= queueing->slots)
    start_us = server->ends_us[server->held - queueing->slots];
  server->ends_us[server->held++]
      = start_us + (learn_object (server, object) ? queueing->known_us : queueing->work_us);
  answer->due_us += server->ends_us[server->held - 1] - now_us;
}

static struct pl_load_report
report_load (struct limited_servers *servers, struct limited_server *server)
{
  int slots = servers->queueing.slots;

  if (slots == 0)
    return (struct pl_load_report){.running = server->running, .slots = LIMITED_SERVER_SLOTS};
  end_held (server, servers->fleet->now_us);
  return (struct pl_load_report){.running = MIN (server->held, slots),
                                 .waiting = MAX (server->held - slots, 0),
                                 .slots = slots};
}

static void
record_arrival (struct limited_servers *servers, struct answer *answer)
{
  struct limited_server *server = &servers->servers[answer->server];
  struct request *request = g_hash_table_lookup (servers->requests, &answer->request);
  const int64_t *told_us
      = g_hash_table_lookup (servers->told, told_key (answer->server, answer->host));
  struct limited_arrival arrival = {
      .at_us = servers->fleet->now_us,
      .host = answer->host,
      .is_told = told_us != NULL
                 && servers->fleet->now_us - GPOINTER_TO_INT (told_us) * WORLD_MS >= TOLD_DELAY_US,
  };

  answer->arrives_us = 0;
  if (answer->is_probe)
    return;
  if (request != NULL && request->origin != NULL)
    request = request->origin;
  if (request != NULL)
    {
      servers->ran_twice += request->is_write && request->runs > 0;
      servers->ran_though_refused += request->was_refused;
      request->runs++;
    }
  answer->limit = server->limit >= 0 && names_limit (servers, server) ? server->limit : -1;
  server->running++;
  if (servers->queueing.slots > 0 && request != NULL)
    hold_request (servers, answer, request->object);
  if (answer->end == PL_ATTEMPT_NOT_RUN && request != NULL)
    request->runs--;
  g_array_append_val (server->arrivals, arrival);
}

static void
deliver_probe (struct limited_servers *servers, const struct answer *answer)
{
  struct pl_router_event event = {.type = PL_ROUTER_PROBED};

  event.u.probed.connected = answer->end == PL_ATTEMPT_ANSWERED;
  event.u.probed.healthy = answer->end == PL_ATTEMPT_ANSWERED;
  event.u.probed.server = pl_server_hash (servers->servers[answer->server].id);
  router_fleet_step_host (servers->fleet, answer->host, &event);
}

/* Returns whether the link of the host was or is cut, so that an answer on the way is lost. */
static bool
is_answer_cut_off (const struct limited_servers *servers, const struct answer *answer)
{
  const struct limited_host *host = &servers->hosts[answer->host];

  return host->link == LINK_HANGS || host->link == LINK_RESETS || host->link == LINK_TAKES_BLINDLY;
}

static void
deliver_answer (struct limited_servers *servers, const struct answer *answer)
{
  struct router_fleet *fleet = servers->fleet;
  struct limited_server *server = &servers->servers[answer->server];
  struct pl_router_event event = {.type = PL_ROUTER_ATTEMPT};
  gpointer key = told_key (answer->server, answer->host);
  bool has_arrived = answer->end == PL_ATTEMPT_ANSWERED || answer->end == PL_ATTEMPT_NOT_RUN;
  bool is_lost = has_arrived && is_answer_cut_off (servers, answer);

  server->running -= has_arrived;
  if (!router_fleet_is_up (fleet, answer->host)
      || fleet->hosts[answer->host].incarnation != answer->incarnation)
    return;
  /* Nothing tells the host of an answer that hangs. */
  if (is_lost && servers->hosts[answer->host].link == LINK_HANGS)
    return;
  event.u.attempt = (struct pl_attempt_event){
      .request = answer->request,
      .attempt = answer->attempt,
      .end = is_lost ? PL_ATTEMPT_ANSWER_LOST : answer->end,
      .is_new_connection = answer->is_new_connection,
  };
  if (has_arrived && !is_lost)
    {
      if (answer->limit >= 0 && answer->limit == server->limit
          && !g_hash_table_contains (servers->told, key))
        g_hash_table_insert (servers->told, key,
                             GINT_TO_POINTER ((int) (fleet->now_us / WORLD_MS)));
      g_hash_table_add (servers->kept, key);
      event.u.attempt.status = 200;
      event.u.attempt.has_load = !servers->report_no_load;
      event.u.attempt.load = report_load (servers, server);
      event.u.attempt.rate_limit_report
          = answer->limit >= 0 ? PL_RATE_LIMIT_NAMED : PL_RATE_LIMIT_ABSENT;
      event.u.attempt.rate_limit = answer->limit;
    }
  else
    g_hash_table_remove (servers->kept, key);
  router_fleet_step_host (fleet, answer->host, &event);
}

/* Delivers the requests and answers that are due.  Those sent meanwhile are due later. */
static void
deliver_due (struct limited_servers *servers)
{
  GArray *pending = servers->answers;

  servers->answers = g_array_new (FALSE, FALSE, sizeof (struct answer));
  for (guint i = 0; i < pending->len; i++)
    {
      struct answer *answer = &g_array_index (pending, struct answer, i);

      if (answer->arrives_us > 0 && answer->arrives_us <= servers->fleet->now_us)
        record_arrival (servers, answer);
      if (answer->due_us > servers->fleet->now_us)
        g_array_append_val (servers->answers, *answer);
      else if (answer->is_probe)
        deliver_probe (servers, answer);
      else
        deliver_answer (servers, answer);
    }
  g_array_free (pending, TRUE);
}

static int
choose_host (struct limited_servers *servers, int hosts)
{
  uint32_t random = router_fleet_next_random (&servers->random);
  double sum = 0;
  double at;
  int host = 0;

  if (servers->host_rates == NULL)
    return (int) (random % (uint32_t) hosts);
  for (int i = 0; i < hosts; i++)
    sum += servers->host_rates[i];
  at = sum * random / (1 << 24);
  while (host < hosts - 1 && at >= servers->host_rates[host])
    at -= servers->host_rates[host++];
  return host;
}

/* Sends a request of ACCOUNT, or of none for -1, to one of the first HOSTS.  RETRIED: the refused
 * request that the caller sends again, or NULL. */
static void
send_request (struct limited_servers *servers, int hosts, int account,
              const struct request *retried)
{
  struct router_fleet *fleet = servers->fleet;
  struct pl_router_event event = {.type = PL_ROUTER_CALL};
  int host = choose_host (servers, hosts);
  struct request *request;
  int tried = 0;

  for (; tried < hosts && !router_fleet_is_up (fleet, host); tried++)
    host = (host + 1) % hosts;
  if (tried == hosts)
    return;
  event.u.call.request = ++fleet->next_request;
  event.u.call.correlation_id = "label";
  event.u.call.host = "h";
  request = g_new0 (struct request, 1);
  request->id = fleet->next_request;
  request->host = host;
  request->sent_us = fleet->now_us;
  request->account = account;
  request->first_us = retried != NULL ? retried->first_us : fleet->now_us - CALLER_DELAY_US;
  request->is_retry = retried != NULL;
  request->is_write = retried != NULL ? retried->is_write
                                      : servers->write_ratio > 0
                                            && router_fleet_next_random (&servers->random) % 1000
                                                   < servers->write_ratio * 1000;
  g_hash_table_insert (servers->requests, &request->id, request);
  g_strlcpy (request->path, request->is_write ? "/write/1" : "/read/1", sizeof request->path);
  event.u.call.path = request->path;
  event.u.call.caller_timeout_us = CALLER_TIMEOUT_US;
  if (retried != NULL)
    event.u.call.caller_timeout_us -= fleet->now_us - CALLER_DELAY_US - retried->first_us;
  event.u.call.fingerprint = fleet->next_request;
  event.u.call.object = 1
                        + router_fleet_next_random (&servers->random)
                              % (uint32_t) (servers->count * OBJECTS_PER_SERVER);
  if (retried != NULL)
    event.u.call.object = retried->object;
  if (account >= 0)
    {
      g_autofree char *key = g_strdup_printf ("key-%d", account);

      event.u.call.has_key = true;
      pl_key_hash (key, strlen (key), event.u.call.key_hash);
    }
  request->object = event.u.call.object;
  servers->sent++;
  servers->class_sent[request->is_write] += retried == NULL;
  servers->hosts[host].sent++;
  router_fleet_step_host (fleet, host, &event);
}

void
limited_servers_run (struct limited_servers *servers, int64_t us, double per_second, int hosts)
{
  struct router_fleet *fleet = servers->fleet;
  int64_t until_us = fleet->now_us + us;

  while (fleet->now_us < until_us)
    {
      deliver_due (servers);
      deliver_handovers (servers);
      for (servers->due += per_second * (double) fleet->step_us / 1e6; servers->due >= 1;
           servers->due -= 1)
        send_request (servers, hosts, -1, NULL);
      router_fleet_run (fleet, fleet->step_us);
    }
}

void
limited_servers_set_accounts (struct limited_servers *servers,
                              const struct limited_queueing *queueing, const double *parts,
                              int count, double limit_factor, double load)
{
  double total = load * servers->count * queueing->slots * 1e6 / (double) queueing->known_us;
  GString *resources = g_string_new (servers->resources);

  assert (count <= LIMITED_ACCOUNTS_MAX && queueing->slots + queueing->queue <= LIMITED_HELD_MAX);
  servers->queueing = *queueing;
  servers->account_count = count;
  for (int i = 0; i < count; i++)
    {
      servers->accounts[i] = (struct limited_account){.usual = total * parts[i], .factor = 1};
      g_string_append_printf (resources,
                              ",{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"t-%d\"},"
                              "\"Spec\":{\"ApiKeys\":[\"key-%d\"],\"RatePerS\":%f,\"Burst\":%f}}",
                              i, i, total * parts[i] * limit_factor,
                              total * parts[i] * limit_factor);
    }
  g_free (servers->resources);
  servers->resources = g_string_free (resources, FALSE);
  servers->fleet->resources = servers->resources;
}

/* Sends the retries of callers that are due.  Those refused meanwhile are not tried again. */
static void
send_retries (struct limited_servers *servers)
{
  GArray *pending = servers->retries;

  servers->retries = g_array_new (FALSE, FALSE, sizeof (struct request *));
  for (guint i = 0; i < pending->len; i++)
    {
      struct request *request = g_array_index (pending, struct request *, i);

      if (request->retry_us > servers->fleet->now_us)
        g_array_append_val (servers->retries, request);
      else
        send_request (servers, servers->fleet->count, request->account, request);
    }
  g_array_free (pending, TRUE);
}

void
limited_servers_run_accounts (struct limited_servers *servers, int64_t us, double factor)
{
  struct router_fleet *fleet = servers->fleet;
  int64_t until_us = fleet->now_us + us;

  while (fleet->now_us < until_us)
    {
      int64_t window = (fleet->now_us - servers->counted_from_us) / LIMITED_WINDOW_US;

      deliver_due (servers);
      deliver_handovers (servers);
      send_retries (servers);
      for (int i = 0; i < servers->account_count; i++)
        {
          struct limited_account *account = &servers->accounts[i];

          double expected
              = account->usual * account->factor * factor * (double) fleet->step_us / 1e6;

          /* Random arrivals, at most one in each step. */
          if (router_fleet_next_random (&servers->random) >= expected * (1 << 24))
            continue;
          account->windows[CLAMP (window, 0, LIMITED_WINDOWS_MAX - 1)].sent++;
          send_request (servers, fleet->count, i, NULL);
        }
      router_fleet_run (fleet, fleet->step_us);
    }
}

void
limited_servers_set_link (struct limited_servers *servers, int index, enum limited_link link)
{
  servers->hosts[index].link = link;
}

void
limited_servers_start_counting (struct limited_servers *servers)
{
  for (int i = 0; i < servers->fleet->count; i++)
    {
      struct limited_host *host = &servers->hosts[i];

      host->sent = host->served = host->refused = host->may_have_run = host->connections = 0;
    }
}

double
limited_servers_served_ratio (const struct limited_servers *servers, bool is_open)
{
  int served = 0;
  int ended = 0;

  for (int i = 0; i < servers->fleet->count; i++)
    {
      const struct limited_host *host = &servers->hosts[i];

      if ((host->link == LINK_OPEN) != is_open)
        continue;
      served += host->served;
      ended += host->served + host->refused + host->may_have_run;
    }
  return ended > 0 ? (double) served / ended : 1;
}

int
limited_servers_count_open (const struct limited_servers *servers, int index, int64_t before_us)
{
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_hash_table_iter_init (&iter, servers->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct request *request = value;

      count += request->origin == NULL && request->host == index && !request->is_write
               && !request->ended && request->sent_us < before_us;
    }
  return count;
}

int
limited_servers_most (const struct limited_servers *servers, int index, int64_t window_us,
                      int64_t from_us, bool only_told)
{
  const struct limited_server *server = &servers->servers[index];
  guint first = 0;
  int counted = 0;
  int most = 0;

  for (guint i = 0; i < server->arrivals->len; i++)
    {
      const struct limited_arrival *arrival
          = &g_array_index (server->arrivals, struct limited_arrival, i);

      if (arrival->at_us < from_us || (only_told && !arrival->is_told))
        continue;
      counted++;
      for (; first < i; first++)
        {
          const struct limited_arrival *oldest
              = &g_array_index (server->arrivals, struct limited_arrival, first);

          if (oldest->at_us > arrival->at_us - window_us)
            break;
          counted -= oldest->at_us >= from_us && (!only_told || oldest->is_told);
        }
      most = MAX (most, counted);
    }
  return most;
}

double
limited_servers_excess (const struct limited_servers *servers, int index, int64_t from_us,
                        bool only_told)
{
  double allowed
      = servers->servers[index].limit * LIMIT_FACTOR * (double) LIMIT_WINDOW_US / 1e6 + LIMIT_SLACK;

  return limited_servers_most (servers, index, LIMIT_WINDOW_US, from_us, only_told) / allowed;
}

double
limited_servers_rate (const struct limited_servers *servers, int index, int64_t from_us)
{
  const struct limited_server *server = &servers->servers[index];
  int counted = 0;

  for (guint i = 0; i < server->arrivals->len; i++)
    counted += g_array_index (server->arrivals, struct limited_arrival, i).at_us >= from_us;
  return counted / ((double) (servers->fleet->now_us - from_us) / 1e6);
}
