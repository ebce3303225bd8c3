/* router_state.h - the state of the router, shared by its source files.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_ROUTER_STATE_H
#define POMELOLATCH_ROUTER_STATE_H

#include "internal/fair_share.h"
#include "internal/hedging.h"
#include "internal/quarantine.h"
#include "internal/quota.h"
#include "internal/router.h"
#include "internal/traffic_split.h"
#include "internal/wait_queue.h"
#include "pomelolatch/error.h"
#include "pomelolatch/histogram.h"

#define US_PER_MS INT64_C (1000)
#define US_PER_S INT64_C (1000000)

/* Why this host refused a request. */
enum router_refusal
{
  ROUTER_NO_ROUTING,
  ROUTER_STALE, /* no route or key found, but the store is out of reach and may have it */
  ROUTER_NO_ROUTE,
  ROUTER_NO_KEY,
  ROUTER_QUARANTINED,
  ROUTER_OVER_RATE,
  ROUTER_NO_SERVER,
  ROUTER_SERVERS_FULL,
  ROUTER_OVER_SHARE,      /* its account uses more than its share of a contended service */
  ROUTER_TOO_LATE,        /* it would be late, and the service is contended */
  ROUTER_SERVERS_LIMITED, /* the rate limits that the servers name are used up */
  ROUTER_SERVERS_REFUSED,
  ROUTER_SERVERS_LOST,  /* neither this host nor a peer that could take the request reaches servers
                         */
  ROUTER_UNUSABLE_RULE, /* the part of the configuration that decides on it can not be used */
  ROUTER_OLD_ROUTING,   /* handed over by a peer that has a newer configuration */
  ROUTER_STOPPING,      /* this host may exit before the request ends */
  ROUTER_PEER_REFUSED,  /* the peer that it was handed over to could not take it */
  ROUTER_TIMED_OUT,     /* no answer within the time; the request may have run */
  ROUTER_NO_TIME,       /* the time ran out before the request was sent */
  ROUTER_ANSWER_LOST,   /* the answer was lost; the request may have run */
  ROUTER_UNSAFE_STATUS, /* the server's status would say "not run", which is not known */
  ROUTER_CALLER_GONE,   /* the caller has closed its connection, in one direction at least */
  ROUTER_REFUSAL_COUNT,
};

struct router_counts
{
  uint64_t requests;
  uint64_t served;
  uint64_t refused[ROUTER_REFUSAL_COUNT];
  struct pl_histogram latency;
};

/* The state of an account, which outlives configurations: calls in progress refer to it. */
struct router_account
{
  char *name;
  uint64_t id; /* in beacons: a hash of the name */
  struct pl_quota quota;
  struct pl_share_account share;
  bool listed; /* in the current configuration */
  struct router_counts counts;
};

/* The state of a route, which outlives configurations: calls in progress refer to it. */
struct router_route
{
  char *name;
  struct pl_traffic_split split;
  int64_t longest_caller_timeout_us;
  struct pl_hedging_route *hedging; /* recent latencies; NULL: none yet */
  struct router_counts counts;
};

enum call_state
{
  CALL_WAITING,
  CALL_AT_SERVER,
  CALL_AT_PEER, /* handed over */
};

/* One sending of a request to a server, or its hand-over to a peer. */
struct call_attempt
{
  uint32_t number;
  struct pl_backend *backend; /* NULL: a peer, or none */
  int64_t sent_us;
  double load_at_send; /* of the server, in slots */
  double expected_us;  /* time to the answer, when it was sent; 0: unknown */
  bool is_copy;        /* sent while the one before it ran */
};

struct call
{
  struct pl_wait_entry wait; /* in the queue exactly while the call is waiting; the first member */
  uint64_t id;
  enum call_state state;
  struct router_account *account; /* NULL: an open route */
  struct router_route *route;
  const char *host; /* normalized */
  const char *path;
  bool has_key;
  uint8_t key_hash[PL_KEY_HASH_BYTES];
  uint64_t adoption; /* number of the adoption of the configuration that decided on it */
  int64_t version;   /* of that configuration; 0: none has decided */
  int refusal;       /* its decision, of enum router_refusal; -1: it may be sent */
  int service;       /* handle; PL_NONE: not chosen yet */
  bool repeatable;
  bool sticky;
  bool has_home_regions;
  uint32_t home_regions;
  int attempts_max;
  int64_t objective_us;
  int64_t on_time_until_us;      /* end of the latency objective, from the caller's first attempt */
  struct pl_share_verdict share; /* of a service whose load is managed */
  uint64_t object;
  uint64_t fingerprint;
  int64_t body_bytes;
  struct pl_placement_choice choice; /* of the last try: the servers that it waits for */
  bool missed_permit;                /* counted as demand for a server with a rate limit */
  uint64_t passed_over;              /* hash of such a server, at the last try; 0: none */
  int64_t deadline_us;               /* answered by then in any case */
  uint32_t attempts_begun;           /* at servers and peers; the number of the latest */
  int attempts;                      /* servers it was sent to */
  uint64_t tried[PL_TRIED_MAX];
  int tried_count;
  bool may_have_run;           /* on some server */
  bool caller_gone;            /* has closed its connection, in one direction at least */
  struct call_attempt attempt; /* the latest, or the one that has just ended */
  struct call_attempt other;   /* one that runs beside it; without a backend: none */
  bool has_copy;               /* had one, at least */
  int64_t copy_due_us;         /* when a copy is to be sent; INT64_MAX: never */
  bool is_handover;            /* a peer has handed it over; it is not handed over again */
  int handovers;               /* to peers, by this host */
  uint64_t peer;               /* that has it, or had it last; 0: none */
  char correlation_id[];       /* host and path are behind it */
};

/* How the writer of a row orders what it writes; in contrast to positions, that holds also when
 * the store is restored. */
struct row_origin
{
  enum pl_row_update_type type; /* NONE: the row has no such order, or cannot be decoded */
  int64_t start;                /* of a configuration its version, of a server its start */
  int64_t count;                /* how often a server has written since */
  bool draining;                /* a server's state */
};

struct row_value
{
  char *bytes; /* NULL: the row is deleted */
  size_t length;
  int64_t position; /* 0: no value */
};

/* A row as this host uses it.  A contested row has also a restored value, which the store has now
 * and which contradicts what is known from an earlier era: see router_eras.c. */
struct held_row
{
  char *key;
  enum pl_row_update_type type;
  struct row_value current;
  struct row_value restored;
  struct row_origin origin; /* of the current value; of a deleted row, of its last one */
};

struct held_table
{
  int64_t version;              /* position */
  int64_t oldest_delta_version; /* tombstones before this position are no longer held */
  GHashTable *rows;             /* key -> struct held_row */
  int tombstones;               /* in rows */
  uint64_t revision;            /* grows with each change */
  int64_t contest_until_us;     /* when contested rows are replaced by restored ones; 0: none is */
  int64_t settled_era;          /* the last era in which that was done; PL_NONE: none */
  int64_t behind_since_us;      /* since when a peer is known to hold newer rows; 0: none is */
};

enum row_verdict
{
  ROW_IGNORED,      /* it is not newer */
  ROW_CONFIRMED,    /* the same value in a later era */
  ROW_ADOPTED,      /* it takes effect */
  ROW_CONTESTED,    /* the row held stays in effect for now */
  ROW_KEPT_BY_PEER, /* it takes effect, but is contested at the peer that sent it */
};

/* Requests that this host has handed over to peers, by their end, and taken from peers. */
struct router_handover_counts
{
  uint64_t answered;
  uint64_t refused; /* by the peer */
  uint64_t failed;  /* the peer was not reached, or its answer was lost */
  uint64_t taken;
};

/* Counts concerning servers with a rate limit in force. */
struct router_permit_counts
{
  uint64_t sent;    /* requests sent to them */
  uint64_t missed;  /* requests that had no permit for the server of first choice */
  uint64_t asked;   /* permits asked for */
  uint64_t granted; /* permits received */
  uint64_t issued;  /* permits issued to other hosts */
};

/* Fetches of rows at a time: several sources in a row may be silent. */
#define ROUTER_FETCHES_MAX 4

/* A fetch of rows from a peer that has not ended. */
struct router_fetch
{
  uint64_t number; /* 0: none */
  uint64_t peer;
  int64_t started_us;
  int64_t heard_us;            /* when bytes of its answer last arrived, or it was started */
  int64_t held[PL_TABLES_MAX]; /* by this host when it was started */
};

/* The reading of the store by a host that does not watch it. */
struct router_store_read
{
  bool in_progress;
  int64_t sent_us; /* the last one */
  int64_t due_us;  /* none before */
  int failures;    /* since the last one that succeeded */
};

struct pl_router
{
  struct pl_router_options options;
  struct pl_beacon self; /* the fields of beacons that do not change */
  int64_t now_us;
  int64_t due_us;
  struct pl_router_effects *effects;

  struct pl_routing *routing;
  uint64_t adoptions; /* of configurations */
  GPtrArray *region_names;
  GHashTable *domain_regions; /* domain name -> region index + 1 */
  GHashTable *accounts;       /* name -> struct router_account */
  GHashTable *accounts_by_id; /* the same by their id */
  GHashTable *routes;         /* name -> struct router_route */
  struct pl_hedging hedging;  /* second copies, and budgets of retries */
  struct pl_placement placement;
  struct pl_fair_share shares;
  struct pl_membership membership;
  struct pl_fleet_view view;
  bool is_delegate;    /* as of the view */
  int account_shard;   /* the accounts that this delegate reports; PL_NONE: all */
  int64_t view_due_us; /* when the view is to be computed again */
  struct quarantine quarantine;

  struct held_table held[PL_TABLES_MAX];
  bool watching;
  struct pl_store_access store;
  int64_t store_check_due_us; /* no check of the store before */
  struct router_fetch fetching[ROUTER_FETCHES_MAX];
  uint64_t fetches; /* started so far; the number of the last one */
  uint64_t counts_fetches[PL_FETCH_END_COUNT];
  uint64_t fetched_wire_bytes; /* of the answers */
  uint64_t fetched_bytes;      /* the same, decoded */
  int64_t next_fetch_us;       /* no rows are fetched from a peer before */
  int64_t confirmed_us;        /* when the store confirmed the control rows held; 0: never */
  struct router_store_read store_read;
  uint64_t counts_store_reads[2]; /* that failed, that succeeded */
  const char *rows_source;        /* where the rows of this step come from */
  int64_t started_us;
  bool was_delegate;         /* as of the last round of beacons */
  int64_t delegate_since_us; /* when was_delegate last changed */
  int64_t beacon_due_us;
  int64_t accounts_due_us;
  int64_t contacts_due_us;
  guint beacon_count;
  int busy_percent;
  int64_t seeds_due_us;
  int64_t maintenance_due_us;
  bool beacon_pending;  /* send the next round of beacons now */
  bool notify_domain;   /* send it to all hosts of the domain */
  bool has_row_updates; /* rows have arrived that peers may lack */
  bool account_report_pending;
  int64_t last_request_us; /* when the last request arrived; 0: never */
  double recent_requests;  /* decaying count of requests, as of then */

  GHashTable *calls; /* id -> struct call */
  struct pl_wait_queue waiting;

  int64_t log_second; /* the second of now_us that log_lines counts */
  int log_lines;      /* about requests */
  int log_lines_suppressed;

  struct router_permit_counts counts_permits;
  bool permits_wanted; /* asks for permits are to be sent */
  int64_t asks_due_us; /* not before */
  guint limit_cursor;  /* position of the next unchanged limit for a beacon */

  struct pl_reach reach;
  bool servers_lost_pending; /* calls at servers have not been handed over yet */
  struct router_handover_counts counts_handovers;
  uint64_t counts_attempts[PL_ATTEMPT_END_COUNT][PL_ANSWER_ID_COUNT];

  bool stopping;
  bool stopped_listening;
  bool stopped;
  int64_t stopping_us; /* when stopping was set */
};

/* router.c */
struct pl_router_effect *router_add_effect (struct pl_router *router,
                                            enum pl_router_effect_type type);
void router_log (struct pl_router *router, enum pl_router_log_level level, const char *event,
                 json_t *fields);
const struct pl_fleet_view *router_view (struct pl_router *router);
/* Probes BACKEND; ON_NEW_CONNECTION: not on a kept one. */
void router_probe (struct pl_router *router, struct pl_backend *backend, bool on_new_connection);
/* Returns whether this host is a delegate of its domain, as of the view. */
bool router_is_delegate (struct pl_router *router);
/* Returns whether a request that arrives now and has until DEADLINE_US may still be running when
 * this host, which is stopping, exits. */
bool router_may_exit_before (const struct pl_router *router, int64_t deadline_us);
/* Returns the index of the region of DOMAIN, or PL_NONE. */
int router_domain_region (const struct pl_router *router, const char *domain);
struct router_route *router_ensure_route (struct pl_router *router, const char *name);
struct router_account *router_ensure_account (struct pl_router *router,
                                              const struct pl_account_rule *rule);

/* router_calls.c */
void calls_on_arrival (struct pl_router *router, const struct pl_call_event *event);
void calls_on_attempt (struct pl_router *router, const struct pl_attempt_event *event);
void calls_on_caller_gone (struct pl_router *router, uint64_t id);
/* Servers were added, removed or probed: any waiting call may have a slot now. */
void calls_on_servers_changed (struct pl_router *router);
void calls_place_waiting (struct pl_router *router);
/* Permits for BACKEND have been granted or refused, or are no longer needed. */
void calls_on_permits (struct pl_router *router, const struct pl_backend *backend);
void calls_run_timers (struct pl_router *router);
/* This host reaches no server any more: ends what is at servers and may be repeated, if there are
 * peers that reach them. */
void calls_on_servers_lost (struct pl_router *router);

/* call_decision.c */
/* Decides on CALL, which arrives with EVENT, by the configuration in force.  Returns the refusal,
 * or -1 if it is admitted: then it is charged to its account, and has a service. */
int decision_admit (struct pl_router *router, struct call *call, const struct pl_call_event *event);
/* Decides again on CALL, which was admitted, if a configuration has been adopted since.  Returns
 * the refusal, or -1 if it may be sent. */
int decision_renew (struct pl_router *router, struct call *call);
/* Sets PREVIEW to CALL with the regions, account and kind that decision_renew() would give it, but
 * charges no account and chooses no service: CALL may have an attempt in progress, whose outcome is
 * recorded by the decision that sent it.  PREVIEW has no correlation id and is valid while CALL is.
 * Returns whether a route and key allow it. */
bool decision_preview (struct pl_router *router, const struct call *call, struct call *preview);
/* Returns whether CALL may be sent by the configuration in force, and its fields are as that says.
 */
bool decision_is_in_force (const struct pl_router *router, const struct call *call);

/* call_shares.c */
/* Returns whether CALL's service is shared fairly between accounts.  Where it is not, the functions
 * below that record something do nothing, and all calls are admitted. */
bool shares_apply (const struct pl_router *router, const struct call *call);
/* Decides on a CALL that is admitted otherwise.  Returns the refusal, or -1. */
int shares_admit (struct pl_router *router, struct call *call);
/* Chooses a server for CALL; while its service is contended, only one that answers in time. */
enum pl_placement_result shares_choose_server (struct pl_router *router, struct call *call,
                                               struct pl_placement_request *request);
/* CALL could not be answered in time. */
void shares_record_missed (struct pl_router *router, const struct call *call);
/* Records how long CALL has waited for the present attempt or its refusal. */
void shares_record_waiting (struct pl_router *router, const struct call *call);
/* Records what the end of CALL's attempt tells of the load of its service. */
void shares_record_outcome (struct pl_router *router, const struct call *call,
                            const struct pl_attempt_event *event);

/* router_reach.c */
/* BACKEND could not be connected to (IS_UNREACHABLE), or a connection to it broke.  The server
 * counts as failed unless this host turns out to be cut off. */
void reach_record_failure (struct pl_router *router, struct pl_backend *backend,
                           bool is_unreachable);
void reach_on_answer (struct pl_router *router, int64_t opened_us);
void reach_on_probed (struct pl_router *router, const struct pl_backend *backend, bool connected);
void reach_run_timers (struct pl_router *router);
/* Returns whether failures of connections tell nothing about the servers. */
bool reach_is_suspect (const struct pl_router *router);
/* Returns whether CALL is to be handed over rather than sent to a server, as load returns to the
 * servers step by step. */
bool reach_holds_back (const struct pl_router *router, const struct call *call);
/* Returns the peer to which CALL is to be handed over, or NULL if there is none. */
struct pl_member *reach_choose_peer (const struct pl_router *router, const struct call *call);
const char *reach_peer_name (const struct pl_router *router, uint64_t peer);
/* PEER could not take a request: it gets none for a while. */
void reach_avoid_peer (const struct pl_router *router, uint64_t peer);

/* router_call_log.c */
void call_log (struct pl_router *router, const struct call *call, const char *event,
               const char *outcome, int status);
/* Names in logs and metrics. */
extern const char *const router_refusal_names[ROUTER_REFUSAL_COUNT];
extern const char *const call_attempt_end_names[PL_ATTEMPT_END_COUNT];
extern const char *const call_answer_id_names[PL_ANSWER_ID_COUNT];
/* Logs the failure of an attempt, with what tells a failed server from a host that reaches none. */
void call_log_failed_attempt (struct pl_router *router, const struct call *call,
                              const struct pl_attempt_event *event);
/* Logs whether CALL, whose copy is due, gets one, with what decided that. */
void call_log_copy (struct pl_router *router, const struct call *call,
                    enum pl_hedging_verdict verdict, const struct pl_hedging_request *request);

/* router_limits.c */
/* Records what an answer or a probe of BACKEND says about its rate limit. */
void limits_on_report (struct pl_router *router, struct pl_backend *backend,
                       enum pl_rate_limit_report report, double per_second);
/* Returns whether this host may use BACKEND, whose limit is in force, for a request that may wait
 * for WAIT_US. */
enum pl_permit limits_permit (struct pl_router *router, struct pl_backend *backend,
                              int64_t wait_us);
/* Returns the time until a permit for BACKEND may be had. */
int64_t limits_wait_us (struct pl_router *router, struct pl_backend *backend);
/* Returns the largest body that the configuration allows, divided by the number of live hosts: each
 * host sends so much for each request that a server can hold. */
int64_t limits_body_share (struct pl_router *router);
/* BACKEND was the first choice for a request, but there was no permit. */
void limits_on_missed (struct pl_router *router, struct pl_backend *backend);
/* Counts CALL, as its choice says, as demand for the server that it would have been sent to with a
 * permit. */
void limits_on_placed (struct pl_router *router, struct call *call);
/* A request is sent to BACKEND; uses a permit if its limit is in force.  IS_NEW_DEMAND: the request
 * is not one that has missed a permit before. */
void limits_on_sent (struct pl_router *router, struct pl_backend *backend, bool is_new_demand);
/* How placement learns what this host may send to cold servers and to those with a rate limit. */
extern const struct pl_placement_shares limits_shares;
void limits_send_asks (struct pl_router *router);
/* Adds the limits from position *AT on, which is advanced, for a host that has just started.
 * Returns whether there may be more. */
bool limits_fill_first_beacon (const struct pl_router *router, struct pl_beacon *beacon, guint *at);
/* Adds limits that peers should know: changed ones and, WITH_UNCHANGED, some of the others in turn.
 */
void limits_fill_beacon (struct pl_router *router, bool with_unchanged, struct pl_beacon *beacon);
void limits_on_beacon (struct pl_router *router, const struct pl_beacon *beacon);
/* Answers the asks and takes the grants in BEACON, from MEMBER. */
void limits_on_permits (struct pl_router *router, struct pl_member *member,
                        const struct pl_beacon *beacon);
/* Records what the answer to a request, sent at SENT_US, says about the rate limit of BACKEND. */
void limits_on_answer (struct pl_router *router, struct pl_backend *backend,
                       const struct pl_attempt_event *event, int64_t sent_us);

/* router_rows.c */
void rows_on_update (struct pl_router *router, const struct pl_rows_event *event);
/* A call to the store has ended. */
void rows_on_store_state (struct pl_router *router, bool is_reachable,
                          const struct pl_store_call_event *call);
/* An answer of the store is overdue.  A host that watches can not tell a store without changes from
 * a path that is cut, so it has another host watch as well. */
void rows_on_store_quiet (struct pl_router *router);
extern const char *const router_fetch_end_names[PL_FETCH_END_COUNT];
void rows_run_timers (struct pl_router *router);
void rows_on_fetch_progress (struct pl_router *router, uint64_t number);
void rows_on_fetch_done (struct pl_router *router, const struct pl_fetch_done_event *done);
bool rows_are_stale (const struct pl_router *router);
/* Replaces the contested row KEY by its restored value. */
void rows_settle (struct pl_router *router, enum pl_table table, const char *key);

/* router_freshness.c */
void freshness_on_store_answer (struct pl_router *router, const struct pl_store_call_event *call);
/* BEACON of MEMBER tells what that holds, and how recently the store confirmed it. */
void freshness_on_beacon (struct pl_router *router, struct pl_member *member,
                          const struct pl_beacon *beacon);
/* The position held of the control table has changed. */
void freshness_on_rows (struct pl_router *router);
/* A PL_ROUTER_READ_STORE has ended. */
void freshness_on_store_read (struct pl_router *router, bool succeeded);
void freshness_run_timers (struct pl_router *router);
/* Returns how long ago the store confirmed the control rows held; PL_NONE: not known. */
int64_t freshness_age_us (const struct pl_router *router);

/* router_outages.c */
/* A call of this host to the store has ended. */
void outages_on_call (struct pl_router *router, bool is_answered,
                      const struct pl_store_call_event *call);
/* BEACON, of MEMBER, tells of its access to the store. */
void outages_on_beacon (struct pl_router *router, struct pl_member *member,
                        const struct pl_beacon *beacon);
/* Returns until when the servers are used whose rows the store turns out to lack now; the present
 * time if no outage explains that. */
int64_t outages_lapsed_use_until (const struct pl_router *router);
/* The same for rows from a peer that does not tell, as it runs an earlier version. */
int64_t outages_reported_use_until (const struct pl_router *router);
bool outages_store_was_down (const struct pl_router *router);

/* router_eras.c */
bool row_is_contested (const struct held_row *row);
/* Judges ROW, with ORIGIN, which is part of a snapshot if IS_SNAPSHOT; KNOWN is the row held, or
 * NULL, and STORE_ERA the highest known era. */
enum row_verdict row_judge (const struct held_row *known, const struct pl_row *row,
                            const struct row_origin *origin, bool is_snapshot, int64_t store_era);
/* The row KEY of HELD has become contested. */
void eras_on_contested (struct pl_router *router, struct held_table *held, const char *key);
void eras_run_timers (struct pl_router *router);
int eras_count_contested (const struct pl_router *router);
/* Returns the version of the configuration in force if the store has an older one, or 0. */
int64_t eras_retained_configuration (const struct pl_router *router);

/* router_fleet.c */
void fleet_on_beacon (struct pl_router *router, const struct pl_beacon *beacon);
void fleet_run_timers (struct pl_router *router);
void fleet_record_request (struct pl_router *router);
void fleet_record_admitted (struct pl_router *router, const struct router_account *account);
void fleet_record_suspect (struct pl_router *router, uint64_t fingerprint, uint64_t server,
                           bool is_only_suspect);

#endif
