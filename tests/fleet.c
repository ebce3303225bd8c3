/* The scheduler and the fakes around the reducers.
 *
 * The fakes are as simple as they can be: a server runs a request for a drawn
 * time; the store is a few tables; a message takes a drawn delay.  The oracle
 * (oracle_* below) sees each decision to run something at the moment it is made:
 *
 *  - an account's runs fit one bucket of its rate and burst, fleet-wide;
 *  - an operation runs at most once, and a refusal that says "not run" is true;
 *  - a host's version in force never falls;
 *  - in calm times nothing runs for a withdrawn key or at a drained server
 *    3 s after the release, and servers have no more in flight than slots;
 *  - what a link was promised to carry fits its cap;
 *  - after all faults have ended, every host serves again.
 */
#include "fleet.h"

#include "pomelolatch/error.h"
#include "pomelolatch/release.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define HOSTS 5
#define SPARE_HOST 4 /* added and withdrawn by releases */
#define PROCESSES_MAX 96
#define DOMAINS 4
#define SERVERS 8
#define SLOTS 3
#define ACCOUNTS 3
#define OPERATIONS_MAX 40000
#define TICK_US (10 * MS)
#define SETTLE_US (14 * SECOND) /* the calm time at the end */
#define IN_FORCE_US (3 * SECOND)
#define LINK_BYTES 200000

static const char *const host_names[HOSTS] = {"n-a-1", "n-a-2", "n-b-1", "s-a-1", "s-b-1"};
static const char *const domain_names[DOMAINS] = {"n-a", "n-b", "s-a", "s-b"};
static const int host_domains[HOSTS] = {0, 0, 1, 2, 3};
static const int account_rates[ACCOUNTS] = {40, 6, 150};
static const int account_bursts[ACCOUNTS] = {20, 6, 100};

struct process
{
  struct pl_core *core;
  int host;
  uint64_t nonce;
  bool alive;
  int64_t offset_us; /* of its clock */
  int64_t paused_until_us;
  int64_t version;
};

enum item_type
{
  ITEM_EVENT,
  ITEM_FAULT_BEGIN,
  ITEM_FAULT_END,
  ITEM_ARRIVAL,
  ITEM_RUN_END,
  ITEM_STORE_APPLY,
  ITEM_SERVER_UP,
  ITEM_EXECUTE, /* effects of a process that was paused between deciding and doing */
};

struct run_end
{
  int server;
  uint64_t request;
  uint32_t attempt;
  int process;
  uint64_t generation;
  enum pl_outcome outcome;
};

struct item
{
  int64_t at_us;
  uint64_t order;
  enum item_type type;
  int process;
  struct pl_event event;
  const struct fleet_fault *fault;
  struct run_end run;
  struct pl_store_request *store;
  bool lose_answer;
  bool is_silent; /* the caller has heard already that the outcome is unknown */
  struct pl_effect *effect;
  int64_t decided_us;
};

/* A request as its caller knows it. */
struct call
{
  int process;
  int account;   /* -1: none */
  int operation; /* -1: repeatable */
  int origin;    /* call that it was forwarded for, or -1 */
  uint32_t origin_attempt;
  uint64_t runs;
  bool ended;
  bool said_not_run;
  bool is_crasher;
  bool is_last; /* of the calm time: must be served */
  bool inside;  /* came within its account's rate and burst */
  int64_t sent_us;
};

struct operation
{
  int runs;
};

struct server
{
  int in_flight;
  bool down;
  bool silent;
  uint64_t generation;
};

struct fleet
{
  const struct fleet_options *options;
  struct fleet_result *result;
  GRand *random;
  GSequence *queue;
  uint64_t next_order;
  int64_t now_us;
  int process_count;
  struct process processes[PROCESSES_MAX];
  int current[HOSTS]; /* process by host, -1: none */
  bool domain_cut[DOMAINS];
  bool store_down;
  bool store_loses;
  bool lossy;
  int active_faults;
  int64_t calm_since_us;
  int64_t arrivals_end_us;
  struct server servers[SERVERS];
  GArray *calls; /* of struct call */
  struct operation operations[OPERATIONS_MAX];
  int operation_count;
  /* the store */
  int64_t head;
  GPtrArray *releases;     /* json */
  GHashTable *release_ids; /* id -> digest and version as text */
  json_t *document;
  struct
  {
    uint64_t nonce;
    uint64_t incarnation;
    int64_t version;
    bool released;
  } slots[HOSTS];
  GHashTable *claims; /* row -> "nonce request state" */
  /* the oracle */
  double tokens[ACCOUNTS];
  int64_t filled_us[ACCOUNTS];
  double steady_tokens[ACCOUNTS];
  int64_t steady_filled_us[ACCOUNTS];
  double link_tokens[2];
  int64_t link_filled_us[2];
  int64_t withdrawn_us; /* when the key of account 0 was withdrawn; -1: it is not */
  int64_t drained_us;   /* server 0 */
  int release_number;
  int flood_host;      /* -1: none */
  int homes[ACCOUNTS]; /* where all of an account arrives, so that it lives on loans; -1: anywhere
                        */
  bool crasher_on;
  bool crasher_open; /* its caller sends it again only when it has ended */
  GHashTable *crasher_victims;
  int last_calls_open;
  bool is_quiet; /* the last calls: nothing at all goes wrong */
};

static double
draw (struct fleet *fleet)
{
  return g_rand_double (fleet->random);
}

static int
draw_int (struct fleet *fleet, int below)
{
  return g_rand_int_range (fleet->random, 0, below);
}

static void G_GNUC_PRINTF (2, 3) violate (struct fleet *fleet, const char *format, ...)
{
  va_list args;

  if (fleet->result->violation[0] != '\0')
    return;
  va_start (args, format);
  g_vsnprintf (fleet->result->violation, sizeof fleet->result->violation, format, args);
  va_end (args);
  fleet->result->violated_at_us = fleet->now_us;
}

static void G_GNUC_PRINTF (2, 3) trace (const struct fleet *fleet, const char *format, ...)
{
  va_list args;

  if (!fleet->options->trace)
    return;
  printf ("%10.3f ms  ", (double) fleet->now_us / 1e3);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

static int
compare_items (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct item *x = a;
  const struct item *y = b;

  (void) data;
  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static struct item *
schedule (struct fleet *fleet, int64_t delay_us, enum item_type type)
{
  struct item *item = g_new0 (struct item, 1);

  item->at_us = fleet->now_us + delay_us;
  item->order = fleet->next_order++;
  item->type = type;
  g_sequence_insert_sorted (fleet->queue, item, compare_items, NULL);
  return item;
}

static struct pl_event *
schedule_event (struct fleet *fleet, int64_t delay_us, int process, enum pl_event_type type)
{
  struct item *item = schedule (fleet, delay_us, ITEM_EVENT);

  item->process = process;
  item->event.type = type;
  return &item->event;
}

static struct call *
call_at (struct fleet *fleet, uint64_t request)
{
  return &g_array_index (fleet->calls, struct call, request - 1);
}

static bool
is_calm (const struct fleet *fleet, int64_t since_us)
{
  return fleet->active_faults == 0
         && fleet->now_us - MAX (fleet->calm_since_us, since_us) > IN_FORCE_US;
}

/* ---- the oracle ---- */

static void
oracle_spend (struct fleet *fleet, int account)
{
  double *tokens = &fleet->tokens[account];

  *tokens += (double) account_rates[account] * (double) (fleet->now_us - fleet->filled_us[account])
             / 1e6;
  fleet->filled_us[account] = fleet->now_us;
  *tokens = MIN (*tokens, account_bursts[account]) - 1.0;
  if (*tokens < -0.001)
    violate (fleet, "account %d got more than its rate and burst: %.3f tokens", account, *tokens);
}

static void
oracle_run (struct fleet *fleet, struct call *call, int server, int64_t decided_us)
{
  struct call *origin = call->origin >= 0 ? call_at (fleet, (uint64_t) call->origin) : call;

  if (origin->operation >= 0)
    trace (fleet, "operation %d runs at server %d, request of process %d", origin->operation,
           server, origin->process);
  fleet->result->runs++;
  origin->runs++;
  if (call != origin)
    call->runs++;
  if (origin->runs == 1 && origin->sent_us > 0)
    {
      fleet->result->waited_us += fleet->now_us - origin->sent_us;
      fleet->result->served_of[origin->account]++;
    }
  if (origin->said_not_run)
    violate (fleet, "a request ran after a refusal had said that it did not");
  if (origin->operation >= 0 && ++fleet->operations[origin->operation].runs > 1)
    violate (fleet, "operation %d ran twice", origin->operation);
  if (origin->account == 0 && fleet->withdrawn_us >= 0 && is_calm (fleet, fleet->withdrawn_us))
    violate (fleet, "ran for a key withdrawn %.1f s before",
             (double) (decided_us - fleet->withdrawn_us) / 1e6);
  if (server == 0 && fleet->drained_us >= 0 && is_calm (fleet, fleet->drained_us))
    violate (fleet, "ran at a server drained %.1f s before",
             (double) (decided_us - fleet->drained_us) / 1e6);
}

static void
oracle_refusal (struct fleet *fleet, struct call *call, const struct pl_effect *effect)
{
  if (call->origin >= 0)
    return; /* the host that it was forwarded for judges */
  if (call->operation >= 0)
    trace (fleet, "operation %d refused by process %d: %s, attempt %s, operation %s",
           call->operation, call->process, pl_refusals[effect->u.refuse.refusal].name,
           effect->u.refuse.attempt_ran ? "unknown" : "not run",
           effect->u.refuse.operation_ran ? "unknown" : "not run");
  fleet->result->refused_inside += call->inside;
  if (effect->u.refuse.operation_ran)
    fleet->result->refused_unknown++;
  else
    fleet->result->refused_not_run++;
  if (!effect->u.refuse.attempt_ran)
    {
      call->said_not_run = true;
      if (call->runs > 0)
        violate (fleet, "a refusal says that this attempt did not run, and it did");
    }
  if (!effect->u.refuse.operation_ran && call->operation >= 0
      && fleet->operations[call->operation].runs > 0)
    violate (fleet, "a refusal says \"not run\" of operation %d, which ran", call->operation);
  if (!effect->u.refuse.operation_ran && call->runs > 0)
    violate (fleet, "a refusal says \"not run\", and it ran");
  if (call->is_last && effect->u.refuse.refusal != PL_REFUSAL_OVER_RATE)
    violate (fleet, "in calm times a request at %s was refused: %s",
             host_names[fleet->processes[call->process].host],
             pl_refusals[effect->u.refuse.refusal].name);
}

static void
oracle_link (struct fleet *fleet, int direction, int64_t bytes)
{
  double *tokens = &fleet->link_tokens[direction];

  *tokens
      += (double) LINK_BYTES * (double) (fleet->now_us - fleet->link_filled_us[direction]) / 1e6;
  fleet->link_filled_us[direction] = fleet->now_us;
  *tokens = MIN (*tokens, LINK_BYTES) - (double) bytes;
  if (*tokens < -1.0)
    violate (fleet, "link %d is over its cap by %.0f bytes", direction, -*tokens);
}

/* ---- the store ---- */

static int
host_by_name (const char *name)
{
  for (int i = 0; i < HOSTS; i++)
    if (strcmp (host_names[i], name) == 0)
      return i;
  abort ();
}

static void
store_head (struct fleet *fleet, const struct pl_store_request *request,
            struct pl_store_event *event)
{
  int host = host_by_name (request->id);

  event->version = fleet->head;
  event->slot_nonce = fleet->slots[host].nonce;
  event->confirmed_version = INT64_MAX;
  for (int i = 0; i < HOSTS; i++)
    if (fleet->slots[i].nonce != 0 && !fleet->slots[i].released)
      event->confirmed_version = MIN (event->confirmed_version, fleet->slots[i].version);
  event->releases = json_array ();
  if (request->version == 0 && fleet->head > 0)
    event->snapshot
        = json_pack ("{s:I,s:O}", "version", (json_int_t) fleet->head, "document", fleet->document);
  else
    for (int64_t version = request->version + 1; version <= fleet->head; version++)
      json_array_append_new (
          event->releases,
          json_pack ("{s:I,s:O}", "version", (json_int_t) version, "release",
                     (json_t *) g_ptr_array_index (fleet->releases, (guint) version - 1)));
}

static int
store_commit (struct fleet *fleet, const struct pl_store_request *request)
{
  if (fleet->head != request->version || g_hash_table_contains (fleet->release_ids, request->id))
    return PL_ERR_CONFLICT;
  fleet->head++;
  g_ptr_array_add (fleet->releases, json_loads (request->text, 0, NULL));
  json_decref (fleet->document);
  fleet->document = json_loads (request->document, 0, NULL);
  g_hash_table_insert (fleet->release_ids, g_strdup (request->id),
                       g_strdup_printf ("%s %" G_GINT64_FORMAT, request->digest, fleet->head));
  fleet->result->versions = fleet->head;
  if (g_str_has_prefix (request->id, "withdraw-key"))
    fleet->withdrawn_us = fleet->now_us;
  if (g_str_has_prefix (request->id, "give-key"))
    fleet->withdrawn_us = -1;
  if (g_str_has_prefix (request->id, "drain"))
    fleet->drained_us = fleet->now_us;
  if (g_str_has_prefix (request->id, "undrain"))
    fleet->drained_us = -1;
  trace (fleet, "store: %s is version %ld", request->id, fleet->head);
  return PL_OK;
}

static int
store_find (struct fleet *fleet, const struct pl_store_request *request,
            struct pl_store_event *event)
{
  const char *text = g_hash_table_lookup (fleet->release_ids, request->id);

  if (text == NULL)
    return PL_ERR_NOT_FOUND;
  sscanf (text, "%64s %" G_GINT64_FORMAT, event->digest, &event->version);
  return PL_OK;
}

static char *
claim_text (const struct pl_store_request *request, int at, const char *state)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %s", request->nonce,
                          request->claims[at].request, state);
}

static void
store_claim (struct fleet *fleet, const struct pl_store_request *request,
             struct pl_store_event *event)
{
  event->claim_count = request->claim_count;
  event->claims = g_new0 (struct pl_claim_result, PL_CLAIMS_MAX);
  for (int i = 0; i < request->claim_count; i++)
    {
      const char *row = request->claims[i].row;
      const char *known = g_hash_table_lookup (fleet->claims, row);
      g_autofree char *ours = claim_text (request, i, "claimed");
      struct pl_claim_result *claim = &event->claims[i];

      trace (fleet, "claim of %s by %s, known %s", row, ours, known != NULL ? known : "-");
      claim->request = request->claims[i].request;
      g_strlcpy (claim->row, row, sizeof claim->row);
      if (known == NULL)
        {
          g_hash_table_insert (fleet->claims, g_strdup (row), g_strdup (ours));
          claim->state = PL_CLAIM_CREATED;
        }
      else if (strcmp (known, ours) == 0)
        claim->state = PL_CLAIM_OURS;
      else if (g_str_has_suffix (known, "done"))
        claim->state = PL_CLAIM_DONE;
      else
        claim->state = PL_CLAIM_TAKEN;
    }
}

static void
store_slot (struct fleet *fleet, const struct pl_store_request *request,
            struct pl_store_event *event)
{
  int host = host_by_name (request->id);
  bool ours = fleet->slots[host].nonce == request->nonce;

  event->taken_over = fleet->slots[host].nonce != 0 && !ours && !fleet->slots[host].released;
  if (!ours)
    fleet->slots[host].incarnation++;
  fleet->slots[host].nonce = request->nonce;
  fleet->slots[host].version = request->version;
  fleet->slots[host].released = request->release_slot;
  event->slot_nonce = request->nonce;
  event->slot_incarnation = fleet->slots[host].incarnation;
}

static void
store_apply (struct fleet *fleet, const struct pl_store_request *request,
             struct pl_store_event *event)
{
  const char *known;
  g_autofree char *ours = NULL;

  event->call = request->call;
  event->ticket = request->ticket;
  event->result = PL_OK;
  switch (request->call)
    {
    case PL_STORE_HEAD:
      store_head (fleet, request, event);
      break;
    case PL_STORE_COMMIT:
      event->result = store_commit (fleet, request);
      event->version = request->version + 1;
      break;
    case PL_STORE_FIND:
      event->result = store_find (fleet, request, event);
      break;
    case PL_STORE_CLAIM:
      store_claim (fleet, request, event);
      break;
    case PL_STORE_FINISH:
      g_hash_table_insert (fleet->claims, g_strdup (request->claims[0].row),
                           claim_text (request, 0, "done"));
      break;
    case PL_STORE_ABANDON:
      ours = claim_text (request, 0, "claimed");
      trace (fleet, "abandon of %s by %s", request->claims[0].row, ours);
      known = g_hash_table_lookup (fleet->claims, request->claims[0].row);
      if (known != NULL && strcmp (known, ours) == 0)
        g_hash_table_remove (fleet->claims, request->claims[0].row);
      break;
    case PL_STORE_SLOT:
      store_slot (fleet, request, event);
      break;
    }
}

/* The call has reached the store: it takes effect now, and its answer comes later or never. */
static void
run_store_apply (struct fleet *fleet, struct item *item)
{
  struct pl_store_event event = {0};

  store_apply (fleet, item->store, &event);
  if (item->is_silent)
    {
      g_free (event.claims);
      json_decref (event.releases);
      json_decref (event.snapshot);
    }
  else if (item->lose_answer || (fleet->store_loses && item->store->call != PL_STORE_HEAD))
    {
      for (int i = 0; i < event.claim_count; i++)
        {
          event.claims[i].state = PL_CLAIM_UNKNOWN;
          g_clear_pointer (&event.claims[i].answer, g_free);
        }
      g_clear_pointer (&event.releases, json_decref);
      g_clear_pointer (&event.snapshot, json_decref);
      event.result = PL_ERR_TIMEOUT;
      schedule_event (fleet, SECOND, item->process, PL_EVENT_STORE)->u.store = event;
    }
  else
    schedule_event (fleet, 1 * MS + draw_int (fleet, 20 * MS), item->process, PL_EVENT_STORE)
        ->u.store
        = event;
  g_free (item->store->text);
  g_free (item->store->document);
  g_free (item->store);
}

static struct pl_store_event
lost_call (const struct pl_store_request *request, int result)
{
  struct pl_store_event event = {.call = request->call, .ticket = request->ticket};

  event.result = result;
  if (request->call == PL_STORE_CLAIM)
    {
      event.claim_count = request->claim_count;
      event.claims = g_new0 (struct pl_claim_result, PL_CLAIMS_MAX);
      for (int i = 0; i < request->claim_count; i++)
        {
          event.claims[i].request = request->claims[i].request;
          g_strlcpy (event.claims[i].row, request->claims[i].row, sizeof event.claims[i].row);
          event.claims[i].state = PL_CLAIM_UNKNOWN;
        }
    }
  return event;
}

static void
call_store (struct fleet *fleet, int process, struct pl_effect *effect)
{
  struct pl_store_request *request = effect->u.store;
  int domain = host_domains[fleet->processes[process].host];
  bool applies_late = !fleet->is_quiet && draw (fleet) < 0.005;
  struct item *item;

  if (fleet->store_down || fleet->domain_cut[domain])
    {
      schedule_event (fleet, SECOND, process, PL_EVENT_STORE)->u.store
          = lost_call (request, PL_ERR_TIMEOUT);
      return;
    }
  effect->u.store = NULL;
  item = schedule (fleet, (applies_late ? 2 * SECOND : MS) + draw_int (fleet, 10 * MS),
                   ITEM_STORE_APPLY);
  item->process = process;
  item->store = request;
  item->lose_answer = !fleet->is_quiet && draw (fleet) < 0.01;
  if (applies_late)
    {
      /* The caller gives up, and the call takes effect afterwards; nobody hears the answer. */
      item->is_silent = true;
      schedule_event (fleet, SECOND, process, PL_EVENT_STORE)->u.store
          = lost_call (request, PL_ERR_TIMEOUT);
    }
}

/* ---- servers ---- */

static int
server_domain (int server)
{
  return server % DOMAINS;
}

static int
server_by_id (uint64_t id)
{
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *name = g_strdup_printf ("server-%d", i);

      if (pl_id_of ("servers", name) == id)
        return i;
    }
  abort ();
}

static void
post_outcome (struct fleet *fleet, int64_t delay_us, int process, uint64_t request,
              uint32_t attempt, enum pl_outcome outcome)
{
  struct pl_event *event = schedule_event (fleet, delay_us, process, PL_EVENT_OUTCOME);

  event->u.outcome.request = request;
  event->u.outcome.attempt = attempt;
  event->u.outcome.outcome = outcome;
  event->u.outcome.status = 200;
  event->u.outcome.answer_bytes = 1000;
}

static void
crash_server (struct fleet *fleet, int server)
{
  trace (fleet, "server %d dies with %d in flight", server, fleet->servers[server].in_flight);
  fleet->servers[server].down = true;
  fleet->servers[server].generation++;
  fleet->servers[server].in_flight = 0;
}

static void
dispatch (struct fleet *fleet, int process, const struct pl_effect *effect, int64_t decided_us)
{
  int at = server_by_id (effect->u.send_request.target);
  struct server *server = &fleet->servers[at];
  struct call *call = call_at (fleet, effect->request);
  struct item *item;

  if (server->down)
    {
      post_outcome (fleet, MS, process, effect->request, effect->attempt, PL_OUTCOME_NOT_SENT);
      return;
    }
  if (call->is_crasher)
    trace (fleet, "the killing request goes to server %d from process %d", at, process);
  if (!fleet->is_quiet && draw (fleet) < 0.01)
    {
      post_outcome (fleet, 2 * MS, process, effect->request, effect->attempt, PL_OUTCOME_SHED);
      return;
    }
  oracle_run (fleet, call, at, decided_us);
  server->in_flight++;
  if (server->in_flight > SLOTS && is_calm (fleet, 0) && fleet->flood_host < 0)
    violate (fleet, "server %d has %d requests in flight at %d slots", at, server->in_flight,
             SLOTS);
  item = schedule (fleet, 5 * MS + draw_int (fleet, 30 * MS), ITEM_RUN_END);
  item->run = (struct run_end){at,
                               effect->request,
                               effect->attempt,
                               process,
                               server->generation,
                               !fleet->is_quiet && draw (fleet) < 0.01 ? PL_OUTCOME_BROKEN
                                                                       : PL_OUTCOME_DONE};
  if (call->is_crasher)
    {
      if (g_hash_table_add (fleet->crasher_victims, GINT_TO_POINTER (at + 1)))
        fleet->result->servers_lost_to_crasher++;
      crash_server (fleet, at);
      schedule (fleet, 2 * SECOND, ITEM_SERVER_UP)->run.server = at;
    }
}

static void
run_run_end (struct fleet *fleet, const struct run_end *run)
{
  struct server *server = &fleet->servers[run->server];

  if (run->generation != server->generation)
    {
      post_outcome (fleet, 0, run->process, run->request, run->attempt, PL_OUTCOME_BROKEN);
      return;
    }
  server->in_flight--;
  if (!server->silent)
    post_outcome (fleet, MS, run->process, run->request, run->attempt, run->outcome);
}

/* ---- messages and forwards ---- */

static bool
is_reachable (const struct fleet *fleet, int from_host, int to_host)
{
  int from = host_domains[from_host];
  int to = host_domains[to_host];

  return from == to || (!fleet->domain_cut[from] && !fleet->domain_cut[to]);
}

static int
host_by_id (uint64_t id)
{
  for (int i = 0; i < HOSTS; i++)
    if (pl_id_of ("entry_hosts", host_names[i]) == id)
      return i;
  abort ();
}

static int64_t
delay_between (struct fleet *fleet, int from_host, int to_host)
{
  bool same_region = host_domains[from_host] / 2 == host_domains[to_host] / 2;

  return (same_region ? MS : 12 * MS) + draw_int (fleet, fleet->lossy ? 200 * MS : 3 * MS);
}

static void
send_message (struct fleet *fleet, int process, struct pl_effect *effect)
{
  int from = fleet->processes[process].host;
  int to = host_by_id (effect->u.send.peer);
  int copies = 1;

  fleet->result->messages++;
  if (effect->u.send.message.type == PL_MESSAGE_GRANT)
    for (int i = 0; i < effect->u.send.message.u.loans.count; i++)
      fleet->result->loans += effect->u.send.message.u.loans.items[i].amount > 0;
  if (!is_reachable (fleet, from, to) || fleet->current[to] < 0)
    return;
  if (fleet->lossy || draw (fleet) < 0.02)
    copies = draw_int (fleet, 3);
  for (int i = 0; i < copies; i++)
    pl_message_copy (&schedule_event (fleet, delay_between (fleet, from, to), fleet->current[to],
                                      PL_EVENT_MESSAGE)
                          ->u.message,
                     &effect->u.send.message);
}

static uint64_t
add_call (struct fleet *fleet, const struct call *call)
{
  g_array_append_val (fleet->calls, *call);
  fleet->result->requests += call->origin < 0;
  return fleet->calls->len;
}

static void
forward (struct fleet *fleet, int process, const struct pl_effect *effect)
{
  int from = fleet->processes[process].host;
  int to = host_by_id (effect->u.send_request.target);
  struct call *origin = call_at (fleet, effect->request);
  struct call call = *origin;
  struct pl_event *event;

  if (!is_reachable (fleet, from, to) || fleet->current[to] < 0)
    {
      post_outcome (fleet, 2 * MS, process, effect->request, effect->attempt, PL_OUTCOME_NOT_SENT);
      return;
    }
  fleet->result->forwards++;
  call.process = fleet->current[to];
  call.origin = (int) effect->request;
  call.origin_attempt = effect->attempt;
  call.runs = 0;
  event = schedule_event (fleet, delay_between (fleet, from, to), fleet->current[to],
                          PL_EVENT_REQUEST);
  event->u.request.request = add_call (fleet, &call);
  event->u.request.forwarded = true;
  event->u.request.suspected_server = effect->u.send_request.suspected_server;
  event->u.request.replayable = true;
  event->u.request.deadline_us = INT64_MAX; /* set on arrival */
  event->u.request.body_bytes = 2000;
  origin = call_at (fleet, effect->request);
  event->u.request.fingerprint = origin->is_crasher ? 666 : 1000 + effect->request;
  g_strlcpy (event->u.request.path, origin->operation >= 0 ? "/u" : "/r",
             sizeof event->u.request.path);
  g_strlcpy (event->u.request.account, effect->u.send_request.account,
             sizeof event->u.request.account);
}

/* A forwarded request has ended here: its origin hears of it. */
static void
answer_origin (struct fleet *fleet, struct call *call, enum pl_outcome outcome)
{
  struct call *origin = call_at (fleet, (uint64_t) call->origin);
  int from = fleet->processes[call->process].host;
  int to = fleet->processes[origin->process].host;

  if (!is_reachable (fleet, from, to))
    outcome = PL_OUTCOME_BROKEN;
  post_outcome (fleet, delay_between (fleet, from, to), origin->process, (uint64_t) call->origin,
                call->origin_attempt, outcome);
}

/* ---- callers ---- */

static void
fill_key (struct pl_request_event *event, int account)
{
  event->has_key = account >= 0;
  memset (event->key_hash, account + 1, sizeof event->key_hash);
}

static void
send_request (struct fleet *fleet, int host, const struct call *call)
{
  struct pl_event *event;
  uint64_t request;

  if (fleet->current[host] < 0)
    return;
  request = add_call (fleet, call);
  call_at (fleet, request)->process = fleet->current[host];
  event = schedule_event (fleet, 0, fleet->current[host], PL_EVENT_REQUEST);
  event->u.request.request = request;
  event->u.request.replayable = true;
  event->u.request.body_bytes = 2000;
  event->u.request.deadline_us = INT64_MAX;
  event->u.request.fingerprint = call->is_crasher ? 666 : 1000 + request;
  fill_key (&event->u.request, call->account);
  g_strlcpy (event->u.request.path,
             call->operation >= 0 ? "/u"
             : call->account < 0  ? "/o"
                                  : "/r",
             sizeof event->u.request.path);
  if (call->operation >= 0)
    g_snprintf (event->u.request.operation, sizeof event->u.request.operation, "op%d",
                call->operation);
}

static void
draw_request (struct fleet *fleet)
{
  struct call call = {.origin = -1, .operation = -1};
  int host = draw_int (fleet, HOSTS);
  double kind = draw (fleet);

  call.account = draw_int (fleet, ACCOUNTS + 1) - 1;
  if (fleet->flood_host >= 0 && draw (fleet) < 0.6)
    {
      host = fleet->flood_host;
      call.account = 1;
    }
  if (call.account >= 0 && kind < 0.3 && fleet->operation_count < OPERATIONS_MAX)
    call.operation = fleet->operation_count++;
  else if (call.account >= 0 && kind < 0.4 && fleet->operation_count > 0)
    {
      /* A resend, perhaps while the first is still under way, perhaps elsewhere. */
      int recent = MIN (fleet->operation_count, 20);

      call.operation = fleet->operation_count - 1 - draw_int (fleet, recent);
      call.account = call.operation % ACCOUNTS;
    }
  if (call.operation >= 0)
    call.account = call.operation % ACCOUNTS;
  if (call.account >= 0 && fleet->homes[call.account] >= 0)
    host = fleet->homes[call.account];
  if (fleet->crasher_on && !fleet->crasher_open && draw (fleet) < 0.1)
    {
      fleet->crasher_open = true;

      call = (struct call){.origin = -1, .operation = -1, .account = 2, .is_crasher = true};
    }
  send_request (fleet, host, &call);
}

/* One arrival of an account that keeps to a part of its rate, and whether one bucket for the whole
 * fleet would have had a token for it. */
static void
draw_steady_request (struct fleet *fleet)
{
  struct call call = {.origin = -1, .operation = -1, .sent_us = fleet->now_us};
  int at = draw_int (fleet, account_rates[0] + account_rates[1] + account_rates[2]);
  double *tokens;

  while (call.account < ACCOUNTS - 1 && at >= account_rates[call.account])
    at -= account_rates[call.account++];
  tokens = &fleet->steady_tokens[call.account];
  *tokens += (double) account_rates[call.account]
             * (double) (fleet->now_us - fleet->steady_filled_us[call.account]) / 1e6;
  *tokens = MIN (*tokens, account_bursts[call.account]);
  fleet->steady_filled_us[call.account] = fleet->now_us;
  call.inside = *tokens >= 1.0;
  if (call.inside)
    *tokens -= 1.0;
  fleet->result->inside += call.inside;
  send_request (fleet, fleet->options->one_host ? 0 : draw_int (fleet, SPARE_HOST), &call);
}

static void
run_steady_arrival (struct fleet *fleet)
{
  double rate
      = fleet->options->account_part * (account_rates[0] + account_rates[1] + account_rates[2]);

  if (fleet->now_us > fleet->arrivals_end_us)
    return;
  draw_steady_request (fleet);
  schedule (fleet, (int64_t) (-log (1.0 - draw (fleet)) / rate * 1e6) + 1, ITEM_ARRIVAL);
}

static void
run_arrival (struct fleet *fleet)
{
  double rate = 150 * fleet->options->load * (fleet->flood_host >= 0 ? 3 : 1);
  int64_t gap_us = (int64_t) (2.0 * draw (fleet) / rate * 1e6);

  if (fleet->now_us > fleet->arrivals_end_us)
    return;
  draw_request (fleet);
  schedule (fleet, gap_us + 1, ITEM_ARRIVAL);
}

/* ---- processes ---- */

static void
start_process (struct fleet *fleet, int host)
{
  struct process *process = &fleet->processes[fleet->process_count];
  struct pl_core_options options = {0};

  if (fleet->process_count == PROCESSES_MAX)
    return;
  process->host = host;
  process->alive = true;
  process->nonce = 1000 + (uint64_t) fleet->process_count;
  process->offset_us = draw_int (fleet, 1000 * SECOND);
  options.name = host_names[host];
  options.nonce = process->nonce;
  options.switches = fleet->options->switches;
  options.now_us = fleet->now_us + process->offset_us;
  process->core = pl_core_new (&options);
  fleet->current[host] = fleet->process_count;
  schedule_event (fleet, draw_int (fleet, TICK_US), fleet->process_count, PL_EVENT_TICK);
  fleet->process_count++;
}

static void
end_call (struct fleet *fleet, uint64_t request, enum pl_outcome outcome)
{
  struct call *call = call_at (fleet, request);

  if (call->ended)
    return;
  call->ended = true;
  if (call->is_crasher && call->origin < 0)
    fleet->crasher_open = false;
  if (call->is_last)
    fleet->last_calls_open--;
  if (call->origin >= 0)
    answer_origin (fleet, call, outcome);
  else if (outcome == PL_OUTCOME_DONE)
    fleet->result->served++;
}

static void
execute (struct fleet *fleet, int at, struct pl_effect *effect, int64_t decided_us)
{
  struct process *process = &fleet->processes[at];
  struct call *call;

  if (fleet->now_us + process->offset_us > effect->valid_until_us)
    {
      if (effect->type == PL_EFFECT_DISPATCH || effect->type == PL_EFFECT_FORWARD)
        post_outcome (fleet, 0, at, effect->request, effect->attempt, PL_OUTCOME_EXPIRED);
      if (effect->type == PL_EFFECT_STORE)
        schedule_event (fleet, 0, at, PL_EVENT_STORE)->u.store
            = lost_call (effect->u.store, PL_ERR_UNAVAILABLE);
      return;
    }
  switch (effect->type)
    {
    case PL_EFFECT_DISPATCH:
      dispatch (fleet, at, effect, decided_us);
      break;
    case PL_EFFECT_FORWARD:
      forward (fleet, at, effect);
      break;
    case PL_EFFECT_REFUSE:
      call = call_at (fleet, effect->request);
      oracle_refusal (fleet, call, effect);
      end_call (fleet, effect->request,
                effect->u.refuse.attempt_ran ? PL_OUTCOME_BROKEN : PL_OUTCOME_SHED);
      break;
    case PL_EFFECT_REPLAY:
      end_call (fleet, effect->request, PL_OUTCOME_DONE);
      break;
    case PL_EFFECT_CANCEL:
      post_outcome (fleet, MS, at, effect->request, effect->attempt, PL_OUTCOME_SILENT);
      break;
    case PL_EFFECT_PROBE:
      {
        struct pl_event *event = schedule_event (fleet, 6 * MS, at, PL_EVENT_PROBE);

        event->u.probe.server = effect->u.send_request.target;
        event->u.probe.answered
            = !fleet->servers[server_by_id (effect->u.send_request.target)].down;
        event->u.probe.load = draw_int (fleet, 10); /* it lies */
        break;
      }
    case PL_EFFECT_SEND:
      send_message (fleet, at, effect);
      break;
    case PL_EFFECT_STORE:
      call_store (fleet, at, effect);
      break;
    default:
      break;
    }
}

/* What the step decided on spends tokens and bytes at the moment of the decision. */
static void
oracle_decisions (struct fleet *fleet, int process, const struct pl_effects *effects)
{
  int region = host_domains[fleet->processes[process].host] / 2;

  for (int i = 0; i < effects->count; i++)
    {
      const struct pl_effect *effect = &effects->items[i];
      const struct call *call;

      if (effect->type != PL_EFFECT_DISPATCH && effect->type != PL_EFFECT_FORWARD)
        continue;
      call = call_at (fleet, effect->request);
      if (effect->type == PL_EFFECT_FORWARD
          && host_domains[host_by_id (effect->u.send_request.target)] / 2 != region)
        oracle_link (fleet, region, 2000 + 1024);
      if (call->origin < 0 && call->account >= 0 && effect->attempt == 1)
        oracle_spend (fleet, call->account);
    }
}

static void
step_process (struct fleet *fleet, int at, struct pl_event *event)
{
  struct process *process = &fleet->processes[at];
  struct pl_effects effects = {0};
  bool stands_still;
  int64_t version;

  event->now_us = fleet->now_us + process->offset_us;
  if (event->type == PL_EVENT_REQUEST)
    event->u.request.deadline_us = event->now_us + 4 * SECOND;
  if (event->type == PL_EVENT_OUTCOME && event->u.outcome.outcome == PL_OUTCOME_DONE)
    end_call (fleet, event->u.outcome.request, PL_OUTCOME_DONE);
  fleet->result->steps++;
  pl_core_step (process->core, event, &effects);
  if (event->type == PL_EVENT_STORE)
    {
      json_decref (event->u.store.releases);
      json_decref (event->u.store.snapshot);
    }
  version = pl_core_version (process->core);
  if (version < process->version)
    violate (fleet, "the version in force fell from %ld to %ld", process->version, version);
  process->version = version;
  oracle_decisions (fleet, at, &effects);
  stands_still = fleet->active_faults > 0 && effects.count > 0 && draw (fleet) < 0.0005;
  for (int i = 0; i < effects.count; i++)
    {
      if (stands_still)
        {
          struct item *item = schedule (fleet, 1500 * MS, ITEM_EXECUTE);

          item->process = at;
          item->decided_us = fleet->now_us;
          item->effect = g_memdup2 (&effects.items[i], sizeof effects.items[i]);
          effects.items[i].type = PL_EFFECT_STOPPED; /* what it owned has moved */
        }
      else
        execute (fleet, at, &effects.items[i], fleet->now_us);
    }
  if (stands_still)
    process->paused_until_us = fleet->now_us + 1500 * MS + 1;
  pl_effects_free (&effects);
}

static void
run_event (struct fleet *fleet, struct item *item)
{
  struct process *process = &fleet->processes[item->process];

  if (!process->alive)
    {
      if (item->event.type == PL_EVENT_MESSAGE)
        pl_message_clear (&item->event.u.message);
      return;
    }
  if (fleet->now_us < process->paused_until_us)
    {
      struct item *later = schedule (fleet, process->paused_until_us - fleet->now_us, ITEM_EVENT);

      later->process = item->process;
      later->event = item->event;
      return;
    }
  if (item->event.type == PL_EVENT_TICK)
    schedule_event (fleet, TICK_US, item->process, PL_EVENT_TICK);
  step_process (fleet, item->process, &item->event);
}

/* ---- releases ---- */

static void
post_release (struct fleet *fleet, int host, const char *text)
{
  struct pl_findings *findings = pl_findings_new ("fleet");
  struct pl_release *release = pl_release_parse (text, strlen (text), findings);
  struct pl_event *event;

  if (release == NULL)
    {
      g_autofree char *list = pl_findings_format (findings);

      violate (fleet, "%s", list);
    }
  else if (fleet->current[host] >= 0)
    {
      event = schedule_event (fleet, MS, fleet->current[host], PL_EVENT_RELEASE);
      event->u.release.ticket = (uint64_t) ++fleet->release_number;
      event->u.release.release = release;
    }
  pl_findings_free (findings);
}

static char *
hash_text (int account)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < PL_KEY_HASH_BYTES; i++)
    g_string_append_printf (text, "%02x", account + 1);
  return g_string_free (text, FALSE);
}

static char *
first_release (void)
{
  GString *text = g_string_new ("release: first\nadded:\n");

  g_string_append (text, "  regions: [{name: n}, {name: s}]\n  domains:\n");
  for (int i = 0; i < DOMAINS; i++)
    g_string_append_printf (text, "    - {name: %s, region: %s}\n", domain_names[i],
                            i < 2 ? "n" : "s");
  g_string_append_printf (text,
                          "  links:\n    - {name: ns, from: n, to: s, bytes_per_second: %d}\n"
                          "    - {name: sn, from: s, to: n, bytes_per_second: %d}\n",
                          LINK_BYTES, LINK_BYTES);
  g_string_append (text, "  entry_hosts:\n");
  for (int i = 0; i < SPARE_HOST; i++)
    g_string_append_printf (text,
                            "    - {name: %s, domain: %s, caller: 1.1.1.1:1, peer: 1.1.1.1:2, "
                            "forward: 1.1.1.1:3}\n",
                            host_names[i], domain_names[host_domains[i]]);
  g_string_append (text, "  services: [{name: work}]\n  servers:\n");
  for (int i = 0; i < SERVERS; i++)
    g_string_append_printf (text,
                            "    - {name: server-%d, service: work, domain: %s, "
                            "address: 2.2.2.2:%d, slots: %d}\n",
                            i, domain_names[server_domain (i)], i + 1, SLOTS);
  g_string_append (
      text, "  routes:\n"
            "    - {name: r, path: /r, service: work, repeatable: true, answer_bytes: 1000}\n"
            "    - {name: u, path: /u, service: work, repeatable: false, "
            "answer_bytes: 1000}\n"
            "    - {name: o, path: /o, service: work, repeatable: true, open: true, "
            "answer_bytes: 1000}\n  accounts:\n");
  for (int i = 0; i < ACCOUNTS; i++)
    g_string_append_printf (text, "    - {name: account-%d, rate: %d, burst: %d}\n", i,
                            account_rates[i], account_bursts[i]);
  g_string_append (text, "  keys:\n");
  for (int i = 0; i < ACCOUNTS; i++)
    {
      g_autofree char *hash = hash_text (i);

      g_string_append_printf (text, "    - {name: key-%d, account: account-%d, hash: %s}\n", i, i,
                              hash);
    }
  return g_string_free (text, FALSE);
}

/* Two operators at two hosts want to change the same thing. */
static void
race_releases (struct fleet *fleet, int subject)
{
  int number = fleet->release_number;
  g_autofree char *hash = hash_text (0);
  g_autofree char *first = NULL;
  g_autofree char *second = NULL;

  if (subject % 2 == 0)
    {
      bool withdrawn = fleet->withdrawn_us >= 0;

      first = withdrawn ? g_strdup_printf ("release: give-key-%d\nadded:\n  keys:\n    - "
                                           "{name: key-0, account: account-0, hash: %s}\n",
                                           number, hash)
                        : g_strdup_printf (
                            "release: withdraw-key-%d\nwithdrawn:\n  keys: [key-0]\n", number);
    }
  else
    {
      first
          = fleet->drained_us >= 0
                ? g_strdup_printf ("release: undrain-%d\nwithdrawn:\n  drains: [d]\n", number)
                : g_strdup_printf (
                    "release: drain-%d\nadded:\n  drains: [{name: d, server: server-0}]\n", number);
    }
  second
      = g_strdup_printf ("release: other-%d\nadded:\n  services: [{name: s-%d}]\n", number, number);
  post_release (fleet, subject % SPARE_HOST, first);
  post_release (fleet, (subject + 1) % SPARE_HOST, second);
}

static void
resize (struct fleet *fleet, bool begin)
{
  g_autofree char *text = NULL;

  if (begin)
    text = g_strdup_printf ("release: grow-%d\nadded:\n  entry_hosts:\n    - {name: s-b-1, domain: "
                            "s-b, caller: 1.1.1.1:1, peer: 1.1.1.1:2, forward: 1.1.1.1:3}\n",
                            fleet->release_number);
  else
    text = g_strdup_printf ("release: shrink-%d\nwithdrawn:\n  entry_hosts: [s-b-1]\n",
                            fleet->release_number);
  post_release (fleet, 0, text);
}

/* ---- faults ---- */

static void
kill_process (struct fleet *fleet, int host)
{
  int at = fleet->current[host];

  if (at < 0)
    return;
  fleet->processes[at].alive = false;
  fleet->current[host] = -1;
}

static void
begin_fault (struct fleet *fleet, const struct fleet_fault *fault)
{
  int host = fault->subject % HOSTS;
  int64_t until_us = fleet->now_us + fault->length_us;

  fleet->active_faults++;
  trace (fleet, "fault %d on %d begins", (int) fault->kind, fault->subject);
  switch (fault->kind)
    {
    case FLEET_PAUSE:
    case FLEET_REPLACE:
      if (fleet->current[host] >= 0)
        fleet->processes[fleet->current[host]].paused_until_us = until_us;
      if (fault->kind == FLEET_REPLACE && fleet->current[host] >= 0)
        start_process (fleet, host);
      break;
    case FLEET_KILL:
      kill_process (fleet, host);
      break;
    case FLEET_CUT_DOMAIN:
      fleet->domain_cut[fault->subject % DOMAINS] = true;
      break;
    case FLEET_CUT_STORE:
      fleet->store_down = true;
      break;
    case FLEET_LOSE_STORE:
      fleet->store_loses = true;
      break;
    case FLEET_LOSSY:
      fleet->lossy = true;
      break;
    case FLEET_CRASH:
      crash_server (fleet, fault->subject % SERVERS);
      break;
    case FLEET_CRASHER:
      fleet->crasher_on = true;
      fleet->crasher_open = false;
      break;
    case FLEET_SILENT:
      fleet->servers[fault->subject % SERVERS].silent = true;
      break;
    case FLEET_RELEASE:
      race_releases (fleet, fault->subject);
      break;
    case FLEET_FLOOD:
      fleet->flood_host = host;
      break;
    case FLEET_RESIZE:
      resize (fleet, true);
      break;
    case FLEET_KINDS:
      break;
    }
}

static void
end_fault (struct fleet *fleet, const struct fleet_fault *fault)
{
  int host = fault->subject % HOSTS;

  trace (fleet, "fault %d on %d ends", (int) fault->kind, fault->subject);
  switch (fault->kind)
    {
    case FLEET_KILL:
      if (fleet->current[host] < 0)
        start_process (fleet, host);
      break;
    case FLEET_CUT_DOMAIN:
      fleet->domain_cut[fault->subject % DOMAINS] = false;
      break;
    case FLEET_CUT_STORE:
      fleet->store_down = false;
      break;
    case FLEET_LOSE_STORE:
      fleet->store_loses = false;
      break;
    case FLEET_LOSSY:
      fleet->lossy = false;
      break;
    case FLEET_CRASH:
      fleet->servers[fault->subject % SERVERS].down = false;
      break;
    case FLEET_CRASHER:
      fleet->crasher_on = false;
      break;
    case FLEET_SILENT:
      fleet->servers[fault->subject % SERVERS].silent = false;
      break;
    case FLEET_FLOOD:
      fleet->flood_host = -1;
      break;
    case FLEET_RESIZE:
      resize (fleet, false);
      break;
    default:
      break;
    }
  fleet->active_faults--;
  fleet->calm_since_us = fleet->now_us;
}

/* ---- runs ---- */

static void
free_item (gpointer data)
{
  struct item *item = data;

  if (item->type == ITEM_EVENT && item->event.type == PL_EVENT_MESSAGE)
    pl_message_clear (&item->event.u.message);
  if (item->type == ITEM_EVENT && item->event.type == PL_EVENT_STORE)
    {
      json_decref (item->event.u.store.releases);
      json_decref (item->event.u.store.snapshot);
      g_free (item->event.u.store.claims);
    }
  g_free (item);
}

static void
run_item (struct fleet *fleet, struct item *item)
{
  switch (item->type)
    {
    case ITEM_EVENT:
      run_event (fleet, item);
      break;
    case ITEM_FAULT_BEGIN:
      begin_fault (fleet, item->fault);
      break;
    case ITEM_FAULT_END:
      end_fault (fleet, item->fault);
      break;
    case ITEM_ARRIVAL:
      if (fleet->options->account_part > 0)
        run_steady_arrival (fleet);
      else
        run_arrival (fleet);
      break;
    case ITEM_RUN_END:
      run_run_end (fleet, &item->run);
      break;
    case ITEM_STORE_APPLY:
      run_store_apply (fleet, item);
      break;
    case ITEM_SERVER_UP:
      fleet->servers[item->run.server].down = false;
      break;
    case ITEM_EXECUTE:
      if (fleet->processes[item->process].alive)
        execute (fleet, item->process, item->effect, item->decided_us);
      pl_effect_clear (item->effect);
      g_free (item->effect);
      break;
    }
}

static void
run_until (struct fleet *fleet, int64_t until_us)
{
  while (fleet->result->violation[0] == '\0')
    {
      GSequenceIter *first = g_sequence_get_begin_iter (fleet->queue);
      struct item *item;

      if (g_sequence_iter_is_end (first))
        break;
      item = g_sequence_get (first);
      if (item->at_us > until_us)
        break;
      g_sequence_remove (first);
      fleet->now_us = item->at_us;
      run_item (fleet, item);
      g_free (item);
    }
  fleet->now_us = MAX (fleet->now_us, until_us);
}

/* In calm times every named host serves each kind of request, and all have one version. */
static void
check_calm (struct fleet *fleet)
{
  fleet->is_quiet = true;
  for (int host = 0; host < SPARE_HOST; host++)
    for (int kind = 0; kind < 3; kind++)
      {
        struct call call = {.origin = -1, .operation = -1, .account = 2, .is_last = true};

        if (kind == 1 && fleet->operation_count < OPERATIONS_MAX)
          {
            fleet->operation_count += (2 - fleet->operation_count % 3 + 3) % 3;
            call.operation = fleet->operation_count++;
          }
        if (kind == 2)
          call.account = -1;
        fleet->last_calls_open++;
        send_request (fleet, host, &call);
      }
  run_until (fleet, fleet->now_us + 4 * SECOND);
  if (fleet->last_calls_open > 0)
    violate (fleet, "%d requests of the calm time were never answered", fleet->last_calls_open);
  for (int host = 0; host < SPARE_HOST; host++)
    if (fleet->current[host] >= 0 && fleet->processes[fleet->current[host]].version != fleet->head)
      violate (fleet, "in calm times %s has version %ld in force, the store %ld", host_names[host],
               fleet->processes[fleet->current[host]].version, fleet->head);
}

static void
set_up (struct fleet *fleet, const struct fleet_options *options, struct fleet_result *result)
{
  g_autofree char *text = first_release ();

  fleet->options = options;
  fleet->result = result;
  fleet->random = g_rand_new_with_seed (options->seed);
  fleet->queue = g_sequence_new (NULL);
  fleet->calls = g_array_new (FALSE, TRUE, sizeof (struct call));
  fleet->releases = g_ptr_array_new_with_free_func ((GDestroyNotify) json_decref);
  fleet->release_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->claims = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->crasher_victims = g_hash_table_new (NULL, NULL);
  fleet->withdrawn_us = -1;
  fleet->drained_us = -1;
  fleet->flood_host = -1;
  for (int i = 0; i < ACCOUNTS; i++)
    fleet->tokens[i] = account_bursts[i];
  fleet->link_tokens[0] = fleet->link_tokens[1] = LINK_BYTES;
  for (int i = 0; i < ACCOUNTS; i++)
    fleet->homes[i] = draw_int (fleet, 2 * SPARE_HOST) - SPARE_HOST;
  for (int i = 0; i < HOSTS; i++)
    start_process (fleet, i);
  run_until (fleet, SECOND);
  /* An operator who does not know the outcome gives the same command again. */
  for (int i = 0; fleet->head == 0 && i < 5; i++)
    {
      post_release (fleet, 0, text);
      run_until (fleet, fleet->now_us + 4 * SECOND);
    }
  run_until (fleet, MAX (fleet->now_us, 8 * SECOND));
  fleet->arrivals_end_us = fleet->now_us + options->length_us;
  for (int i = 0; i < options->fault_count; i++)
    {
      const struct fleet_fault *fault = &options->faults[i];

      schedule (fleet, fault->at_us, ITEM_FAULT_BEGIN)->fault = fault;
      schedule (fleet, fault->at_us + fault->length_us, ITEM_FAULT_END)->fault = fault;
    }
  schedule (fleet, 0, ITEM_ARRIVAL);
}

static void
tear_down (struct fleet *fleet)
{
  GSequenceIter *at = g_sequence_get_begin_iter (fleet->queue);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    free_item (g_sequence_get (at));
  g_sequence_free (fleet->queue);
  for (int i = 0; i < fleet->process_count; i++)
    pl_core_free (fleet->processes[i].core);
  g_rand_free (fleet->random);
  g_array_free (fleet->calls, TRUE);
  g_ptr_array_free (fleet->releases, TRUE);
  g_hash_table_destroy (fleet->release_ids);
  g_hash_table_destroy (fleet->claims);
  g_hash_table_destroy (fleet->crasher_victims);
  json_decref (fleet->document);
  g_free (fleet);
}

/* Hosts that can not hear of one another each learn for themselves, so the cost of a request that
 * kills servers is bounded fleet-wide only when nothing else fails. */
static bool
is_only_crasher (const struct fleet_options *options)
{
  for (int i = 0; i < options->fault_count; i++)
    if (options->faults[i].kind != FLEET_CRASHER)
      return false;
  return options->fault_count > 0;
}

void
fleet_run (const struct fleet_options *options, struct fleet_result *result)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  memset (result, 0, sizeof *result);
  set_up (fleet, options, result);
  run_until (fleet, fleet->now_us + options->length_us);
  run_until (fleet, fleet->now_us + SETTLE_US);
  if (result->violation[0] == '\0')
    check_calm (fleet);
  if (result->servers_lost_to_crasher > 2 && is_only_crasher (options))
    violate (fleet, "one request cost %" G_GUINT64_FORMAT " servers",
             result->servers_lost_to_crasher);
  result->operations = (uint64_t) fleet->operation_count;
  tear_down (fleet);
}

void
fleet_draw_faults (struct fleet_options *options, int count)
{
  GRand *random = g_rand_new_with_seed (options->seed + 7777);

  options->fault_count = MIN (count, FLEET_FAULTS_MAX);
  for (int i = 0; i < options->fault_count; i++)
    {
      struct fleet_fault *fault = &options->faults[i];

      fault->kind = (enum fleet_fault_kind) g_rand_int_range (random, 0, FLEET_KINDS);
      fault->subject = g_rand_int_range (random, 0, 1000);
      fault->length_us = g_rand_int_range (random, 100, 6000) * MS;
      fault->at_us
          = (int64_t) (g_rand_double (random) * (double) (options->length_us - fault->length_us));
      /* The list of hosts changes once at the most: names are not reused while in use. */
      for (int j = 0; j < i; j++)
        if (fault->kind == FLEET_RESIZE && options->faults[j].kind == FLEET_RESIZE)
          fault->kind = FLEET_PAUSE;
    }
  g_rand_free (random);
}

void
fleet_shrink (struct fleet_options *options, struct fleet_result *result)
{
  bool smaller = true;

  while (smaller)
    {
      smaller = false;
      for (int i = 0; i < options->fault_count; i++)
        {
          struct fleet_options fewer = *options;
          struct fleet_result other;

          memmove (&fewer.faults[i], &fewer.faults[i + 1],
                   (size_t) (fewer.fault_count - i - 1) * sizeof fewer.faults[0]);
          fewer.fault_count--;
          fleet_run (&fewer, &other);
          if (other.violation[0] == '\0')
            continue;
          *options = fewer;
          *result = other;
          smaller = true;
          break;
        }
    }
}

void
fleet_print (const struct fleet_options *options, const struct fleet_result *result)
{
  static const char *const names[FLEET_KINDS]
      = {"pause", "kill",    "replace", "cut-domain", "cut-store", "lose-store", "lossy",
         "crash", "crasher", "silent",  "release",    "flood",     "resize"};

  printf ("seed %u: %s at %.3f s\n", options->seed,
          result->violation[0] != '\0' ? result->violation : "no violation",
          (double) result->violated_at_us / 1e6);
  for (int i = 0; i < options->fault_count; i++)
    printf ("  %-10s subject %d from %.3f s for %.3f s\n", names[options->faults[i].kind],
            options->faults[i].subject, (double) options->faults[i].at_us / 1e6,
            (double) options->faults[i].length_us / 1e6);
}
