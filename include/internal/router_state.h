/* router_state.h - the tables of the router, shared by its parts.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_ROUTER_STATE_H
#define POMELOLATCH_ROUTER_STATE_H

#include "internal/quarantine.h"
#include "internal/quota.h"
#include "internal/router.h"
#include "pomelolatch/error.h"
#include "pomelolatch/histogram.h"

#define MS_US INT64_C (1000)
#define S_US INT64_C (1000000)

/* Why this host answered a request itself. */
enum router_refusal
{
  ROUTER_NO_ROUTING,
  ROUTER_STALE,
  ROUTER_NO_ROUTE,
  ROUTER_NO_KEY,
  ROUTER_QUARANTINED,
  ROUTER_OVER_RATE,
  ROUTER_NO_SERVER,
  ROUTER_FULL,
  ROUTER_TRIED_ALL,
  ROUTER_LATE,       /* no answer within the time; it may have run */
  ROUTER_NO_TIME,    /* the time ran out before it was sent */
  ROUTER_LOST,       /* the answer was lost; it may have run */
  ROUTER_MISLEADING, /* the server's own status would promise what is not known */
  ROUTER_REFUSALS,
};

struct router_counts
{
  uint64_t asked;
  uint64_t served;
  uint64_t refused[ROUTER_REFUSALS];
  struct pl_histogram latency;
};

struct router_account
{
  uint64_t id;
  char name[PL_ID_CHARS];
  struct pl_quota quota;
  bool listed;
  struct router_counts counts;
};

struct router_route
{
  char name[PL_ID_CHARS];
  double credit[PL_ROUTING_PARTS_MAX]; /* smooth weighted round robin */
  int64_t longest_patience_us;
  struct router_counts counts;
};

/* Repeats of the requests for one service that this host may still make. */
struct router_retries
{
  double tokens;
};

enum call_state
{
  CALL_WAITING,
  CALL_AT_SERVER,
};

struct call
{
  uint64_t id;
  char label[PL_ID_CHARS];
  enum call_state state;
  struct router_account *account; /* NULL: an open route */
  struct router_route *route;
  char service[PL_ID_CHARS];
  bool repeatable;
  bool sticky;
  bool is_returning; /* it comes back after a refusal */
  bool has_homes;
  uint32_t homes;
  int priority;
  int attempts_max;
  int64_t objective_us;
  uint64_t object;
  uint64_t fingerprint;
  int64_t body_bytes;
  int64_t arrived_us;
  int64_t wait_until_us;             /* refused when it has no place by then */
  bool is_placeable;                 /* not tried yet, or things have changed since */
  struct pl_placement_choice choice; /* of the last try: what it waits for */
  int64_t ends_us;                   /* answered by then, come what may */
  uint32_t attempt;
  int attempts; /* servers it was sent to */
  uint64_t tried[PL_TRIED_MAX];
  int tried_count;
  bool ran; /* it may have run somewhere */
  struct pl_backend *backend;
  int64_t sent_us;
  double load_at_send; /* of the server, in slots */
};

struct held_row
{
  char *key;
  char *value; /* NULL: gone */
  size_t length;
  int64_t version;
};

struct held_table
{
  int64_t version;
  int64_t whole_from; /* rows gone before this version are forgotten */
  GHashTable *rows;   /* key -> struct held_row */
  int gone;           /* of these, rows that are gone */
};

struct pl_router
{
  struct pl_router_options options;
  struct pl_beacon self; /* what does not change of the beacon */
  int64_t now_us;
  int64_t due_us;
  struct pl_router_effects *effects;

  struct pl_routing *routing;
  GPtrArray *region_names;
  GHashTable *domain_regions; /* domain name -> region index + 1 */
  GHashTable *accounts;       /* id -> struct router_account */
  GHashTable *routes;         /* name -> struct router_route */
  GHashTable *retries;        /* service name -> struct router_retries */
  struct pl_placement placement;
  struct pl_membership membership;
  struct pl_fleet_view view;
  bool is_delegate;    /* as of the view */
  int account_turn;    /* of a delegate: the part of the accounts that it tells of; PL_NONE: all */
  int64_t view_due_us; /* the view is taken anew from then on */
  struct quarantine quarantine;

  struct held_table held[PL_TABLES_MAX];
  bool watching;
  bool store_lost;
  int64_t store_trouble_us; /* when the store last failed this host; -1: never */
  bool fetching;
  uint64_t fetches;
  int64_t fetch_pause_us; /* no peer is asked again before */
  int64_t behind_us;      /* since when a peer is known to hold more; 0: none is */
  int64_t started_us;
  bool was_delegate;   /* as of the last round of beacons */
  int64_t delegate_us; /* since when */
  int64_t beacon_due_us;
  int64_t accounts_due_us;
  int64_t contacts_due_us;
  guint beacon_turn;
  int busy_percent;
  int64_t seeds_due_us;
  int64_t slow_due_us;
  bool tell_soon; /* a beacon is due */
  bool announce;  /* and goes to all of the domain */
  bool has_news;  /* rows came that peers may lack */
  bool tell_accounts;
  int64_t asked_us;   /* when a request came last; 0: never */
  double asked_level; /* requests of late, as of then */

  GHashTable *calls;  /* id -> struct call */
  GPtrArray *waiting; /* of struct call, the first to be placed first */
  bool has_placeable; /* one of them can be tried */

  int64_t notes_second; /* lines about requests in this second */
  int notes;
  int notes_left_out;

  bool stopping;
  bool unlistened;
  bool stopped;
  int64_t stopping_us;
};

/* router.c */
struct pl_router_effect *router_add_effect (struct pl_router *router,
                                            enum pl_router_effect_type type);
void router_note (struct pl_router *router, enum pl_note_level level, const char *event,
                  json_t *fields);
const struct pl_fleet_view *router_view (struct pl_router *router);
/* Returns whether this host speaks for its domain, as of the view. */
bool router_is_delegate (struct pl_router *router);
int router_region (const struct pl_router *router, const char *domain);
struct router_route *router_take_route (struct pl_router *router, const char *name);
struct router_account *router_take_account (struct pl_router *router,
                                            const struct pl_account_rule *rule);

/* router_calls.c */
void calls_on_arrival (struct pl_router *router, const struct pl_call_event *event);
void calls_on_attempt (struct pl_router *router, const struct pl_attempt_event *event);
void calls_on_caller_gone (struct pl_router *router, uint64_t id);
/* Servers came or went: whatever waits may have a place now. */
void calls_on_servers_changed (struct pl_router *router);
void calls_pump (struct pl_router *router);
void calls_run_timers (struct pl_router *router);
extern const char *const router_refusal_names[ROUTER_REFUSALS];

/* router_news.c */
void news_on_rows (struct pl_router *router, const struct pl_rows_event *event);
void news_on_store_state (struct pl_router *router, bool well);
void news_run_timers (struct pl_router *router);
bool news_is_stale (const struct pl_router *router);

/* router_fleet.c */
void fleet_on_beacon (struct pl_router *router, const struct pl_beacon *beacon);
void fleet_run_timers (struct pl_router *router);
void fleet_note_asked (struct pl_router *router);
bool fleet_store_was_away (const struct pl_router *router);
void fleet_note_admitted (struct pl_router *router, const struct router_account *account);
void fleet_note_suspect (struct pl_router *router, uint64_t fingerprint, uint64_t server,
                         bool alone);

#endif
