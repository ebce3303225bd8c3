/* core_state.h - the state of the reducer, shared by core/core*.c.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_CORE_STATE_H
#define POMELOLATCH_CORE_STATE_H

#include "pomelolatch/budget.h"
#include "pomelolatch/core.h"
#include "pomelolatch/error.h"
#include "pomelolatch/lookup.h"
#include "pomelolatch/release.h"
#include "internal/quarantine.h"
#include "internal/timers.h"

#define PL_US_PER_MS INT64_C (1000)
#define PL_US_PER_S INT64_C (1000000)

/* A request that finds no free slot is refused after this time. */
#define PL_SLOT_WAIT_US (3 * PL_US_PER_S)
#define PL_RETRY_TOKENS_MAX 20.0
/* A peer that has sent nothing for this long counts as silent. */
#define PL_MEMBER_TIMEOUT_US (3 * PL_US_PER_S)
/* A host that acquired its name while another process held it refills no bucket for this long,
 * since the former holder may spend tokens of the same share until it learns that it has lost the
 * name. */
#define PL_NAME_FENCE_US (4 * PL_US_PER_S)
/* After a pause of this length another process may hold the host's name, so that the host must
 * verify it in the store. */
#define PL_PAUSE_LIMIT_US (2 * PL_US_PER_S)

struct account_state
{
  uint64_t id;
  int index; /* in the configuration in force; PL_NONE: withdrawn */
  char name[PL_ID_CHARS];
  struct pl_budget budget;
  GQueue waiting; /* of struct request */
  struct pl_counts counts;
};

struct link_state
{
  uint64_t id;
  int index;
  struct pl_budget budget;
  uint64_t bytes;
};

struct server_state
{
  uint64_t id;
  int index;
  int in_flight;
  int suspects; /* suspected requests in flight */
  int failures; /* consecutive */
  bool down;
  bool leaving; /* according to its probe answer or the platform's list */
  int reported_load;
  int64_t shed_until_us;
  int64_t warm_up_since_us; /* when it was added, or answered a probe after being down */
  int64_t drain_since_us;   /* 0: it is not draining */
  int64_t drain_us;         /* how long the last drain took; -1: in progress */
  int64_t probed_at_us;
  bool probe_pending;
  uint64_t served;
};

/* Another entry host: what it last reported, and the requests forwarded to it. */
struct member
{
  uint64_t id;
  int index; /* in the configuration, or PL_NONE */
  bool heard;
  int64_t heard_at_us;
  struct pl_heartbeat heartbeat;
  int in_flight;                               /* requests forwarded to it */
  int in_flight_by_service[PL_SERVICES_MAX];   /* the same for each service */
  int in_flight_at_heartbeat[PL_SERVICES_MAX]; /* their values at its last heartbeat */
  double forward_limit;
  int64_t shed_until_us;
  int64_t last_used_us;
};

enum request_state
{
  REQUEST_WAITING,
  REQUEST_CLAIMING,
  REQUEST_AT_SERVER,
  REQUEST_AT_MEMBER,
  REQUEST_REFUSAL_DELAYED, /* refused once peers can have received the suspicion */
};

struct request
{
  struct pl_request_event event;
  enum request_state state;
  struct account_state *account;
  struct pl_route_config route; /* its strings are not used after arrival */
  char route_name[PL_ID_CHARS];
  uint64_t service;
  int64_t config_version; /* the version in which route.service is an index */
  int64_t arrived_us;
  int64_t changed_us;        /* when its state changed or its attempt made progress */
  int64_t valid_until_us;    /* latest start, when borrowed tokens were spent */
  int64_t not_before_us;     /* earliest time of the next attempt */
  int64_t suspicion_sent_us; /* when a server's failure on it was reported to peers; 0: never */
  enum pl_refusal delayed_refusal;
  uint32_t attempt;
  int attempts;
  bool lacks_slot; /* waits for a slot, not for tokens */
  bool token_spent;
  bool claimed;
  bool may_have_run;         /* in the current attempt or an earlier one */
  bool earlier_may_have_run; /* in an earlier attempt */
  bool suspect;
  bool cancelled; /* the attempt is being cancelled; its outcome is pending */
  bool caller_gone;
  struct server_state *server;
  struct server_state *last_server; /* of the last attempt; the next one uses another */
  struct member *member;
  int64_t link_bytes[2]; /* reserved for the request and for its answer */
  struct link_state *links[2];
  char claim_row[PL_ID_CHARS * 2 + 8];
};

enum release_phase
{
  RELEASE_FINDING,     /* looking in the store for a release with this id */
  RELEASE_READY,       /* not found: to be applied and committed */
  RELEASE_CATCHING_UP, /* the head has moved: to be applied again after the next head call */
  RELEASE_COMMITTING,
  RELEASE_RESOLVING, /* the commit's answer was lost: looking for the id */
};

struct pending_release
{
  uint64_t ticket; /* of the operator's call */
  struct pl_release *release;
  bool check_only;
  enum release_phase phase;
  uint64_t store_ticket;
  json_t *document; /* the configuration after the release */
  char digest[PL_ID_CHARS + 1];
};

struct pl_core
{
  char name[PL_ID_CHARS];
  uint64_t id;
  uint64_t nonce;
  unsigned switches;
  struct pl_core_options options;
  int64_t now_us;
  struct pl_effects *effects; /* of the current step */
  struct pl_timers timers;

  struct pl_config *config; /* in force, or NULL */
  struct pl_blocks *blocks;
  int64_t hosts_version;  /* version that last changed the list of entry hosts */
  int self;               /* own index, or PL_NONE */
  GPtrArray *release_log; /* of JSON {"version","release"}, newest last */

  /* How often the name had been acquired by any process when this one acquired it; 0: this process
   * has not acquired it. */
  uint64_t incarnation;
  bool holds_name; /* the store's slot row for this name names this process */
  bool name_call_pending;
  bool name_unverified; /* the process was paused since the last check of the name */
  int64_t refill_from_us;
  int64_t confirmed_version; /* lowest version in force on any host that holds a name */
  int64_t fleet_shares;      /* number of equal shares of each account's rate; 0: no share */
  int64_t store_read_at_us;  /* last read, here or by a peer; -1: never */
  bool head_call_pending;
  int64_t head_due_us;

  struct account_state *open_account; /* for callers of open routes without a key */
  GHashTable *accounts;               /* id -> struct account_state */
  GHashTable *links;
  GHashTable *servers;
  GHashTable *members;
  GHashTable *requests; /* request -> struct request */
  GHashTable *routes;   /* name -> struct pl_counts */
  GPtrArray *account_order;
  guint account_cursor; /* round-robin position */
  GPtrArray *server_order;
  guint server_cursor; /* round-robin position */
  int sharing_hosts;   /* live entry hosts of this domain, including this one */
  int sharing_rank;    /* this host's rank among them by id */
  int waiting_count;
  int active_count;
  double retry_tokens;
  struct quarantine quarantine;

  GQueue claims; /* of request numbers, as uint64_t * */
  bool claim_call_pending;
  int64_t claim_retry_us; /* earliest time of the next claim call, after a failed one */
  GQueue releases;        /* of struct pending_release */
  uint64_t last_ticket;

  bool stopping;
  int64_t stopping_since_us;
  bool name_released;
  bool stopped;
};

/* core.c */
struct pl_effect *core_add_effect (struct pl_core *core, enum pl_effect_type type);
/* Returns the call's request, owned by the effect, with a ticket of its own. */
struct pl_store_request *core_add_store_effect (struct pl_core *core, enum pl_store_call call);
void core_publish_lookup (struct pl_core *core);
/* Returns whether the store was last read within ROUTE's stale limit, here or by a peer. */
bool core_is_fresh (const struct pl_core *core, const struct pl_route_config *route);

/* core_requests.c */
void requests_start (struct pl_core *core);
void requests_on_arrival (struct pl_core *core, const struct pl_request_event *event);
void requests_on_claims (struct pl_core *core, struct pl_store_event *event);
void requests_start_waiting (struct pl_core *core);
void requests_free_all (struct pl_core *core);

/* core_queue.c */
void queue_enqueue (struct pl_core *core, struct request *request, bool first);
void queue_dequeue (struct pl_core *core, struct request *request);
void queue_free_request (struct pl_core *core, struct request *request);
/* Answers with REFUSAL and frees the request, which must be in no queue. */
void queue_refuse (struct pl_core *core, struct request *request, enum pl_refusal refusal);

/* core_attempts.c */
void attempts_start_at_server (struct pl_core *core, struct request *request,
                               struct server_state *server);
void attempts_start_at_member (struct pl_core *core, struct request *request,
                               struct member *member);
void attempts_cancel (struct pl_core *core, struct request *request);
void attempts_on_outcome (struct pl_core *core, const struct pl_outcome_event *event);
void attempts_on_progress (struct pl_core *core, uint64_t id, uint32_t attempt);
void attempts_on_caller_gone (struct pl_core *core, uint64_t id);

/* core_operations.c */
void operations_claim (struct pl_core *core, struct request *request);
void operations_send_claims (struct pl_core *core);
/* Handles the end of a claim call; SUCCEEDED: whether the store executed it. */
void operations_on_claim_call (struct pl_core *core, bool succeeded);
void operations_finish (struct pl_core *core, const struct request *request,
                        const struct pl_outcome_event *event);
void operations_abandon (struct pl_core *core, const struct request *request);
void operations_abandon_row (struct pl_core *core, uint64_t request, const char *row);

/* core_servers.c */
void servers_start (struct pl_core *core);
void servers_adopt (struct pl_core *core);
struct server_state *servers_choose (struct pl_core *core, const struct request *request);
int servers_free_slots (struct pl_core *core, int service);
bool servers_any_up (struct pl_core *core, uint64_t service);
void servers_on_probe (struct pl_core *core, const struct pl_probe_event *event);
void servers_on_leaving_list (struct pl_core *core, const uint64_t *servers, int count);
void servers_record_outcome (struct pl_core *core, struct server_state *server,
                             enum pl_outcome outcome);

/* core_peers.c */
void peers_start (struct pl_core *core);
void peers_adopt (struct pl_core *core);
/* Records what MESSAGE says about its sender.  Returns false when the message is to be ignored. */
bool peers_on_message (struct pl_core *core, const struct pl_message *message);
bool peers_is_live (const struct pl_core *core, const struct member *member);
void peers_send (struct pl_core *core, uint64_t peer, const struct pl_message *message);
void peers_broadcast (struct pl_core *core, const struct pl_message *message);
void peers_send_heartbeat (struct pl_core *core);
/* Broadcasts that FINGERPRINT is suspected of the failure of SERVER, or confirmed as its cause;
 * SERVER 0 clears it.  DATA is the core: the function is also a callback of quarantine.h. */
void peers_send_suspect (void *data, uint64_t fingerprint, uint64_t server, bool confirmed);
int64_t peers_lowest_version (const struct pl_core *core);

/* core_budgets.c */
void budgets_start (struct pl_core *core);
void budgets_adopt (struct pl_core *core);
void budgets_restart (struct pl_core *core);
/* Returns whether HOST has a share of the link's bytes. */
bool budgets_link_eligible (const struct pl_core *core, const struct link_state *link, int host);
void budgets_set_shares (struct pl_core *core);
void budgets_on_loan_request (struct pl_core *core, const struct pl_message *message);
void budgets_on_loan_grant (struct pl_core *core, const struct pl_message *message);
void budgets_request_loans (struct pl_core *core);

/* core_steering.c */
struct member *steering_choose (struct pl_core *core, const struct request *request);
int steering_reserve (struct pl_core *core, struct request *request, const struct member *member);
void steering_add_in_flight (struct member *member, int service, int change);
void steering_record_outcome (struct pl_core *core, const struct request *request,
                              enum pl_outcome outcome);
void steering_settle (struct pl_core *core, struct request *request, int64_t answer_bytes);

/* core_control.c */
void control_start (struct pl_core *core);
void control_on_store (struct pl_core *core, struct pl_store_event *event);
void control_on_release (struct pl_core *core, struct pl_release_event *event);
void control_on_document (struct pl_core *core, struct pl_message *message);
void control_send_releases (struct pl_core *core, uint64_t peer, int64_t peer_version);
void control_adopt (struct pl_core *core, json_t *document, int64_t version);
void control_release_name (struct pl_core *core);
void control_free (struct pl_core *core);

/* core_report.c */
struct pl_counts *report_ensure_route (struct pl_core *core, const char *name);

#endif
