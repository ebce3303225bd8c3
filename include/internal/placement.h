/* placement.h - this host's view of the backend servers, and the selection of one per request.
 *
 * API tier: private.
 *
 * Does no I/O and keeps no state of single requests: a caller of this interface
 * describes each request and reports its outcome.
 *
 * A service is known by a handle, its number in the table, which holds the name once.  Services are
 * never removed, so that a handle is valid for as long as the placement.
 */
#ifndef POMELOLATCH_PLACEMENT_H
#define POMELOLATCH_PLACEMENT_H

#include "internal/region_plan.h"
#include "internal/server_limit.h"
#include "internal/server_load.h"
#include "pomelolatch/event.h"

/* For which services load is managed: shares between accounts, plans between regions, the choice by
 * expected time, and second copies. */
enum pl_load_management
{
  PL_LOAD_MANAGEMENT_OFF,
  PL_LOAD_MANAGEMENT_REPORTED, /* for those whose servers report how long work takes */
  PL_LOAD_MANAGEMENT_ON,
};

#define PL_TRIED_MAX 8
#define PL_PLACEMENT_REGIONS_MAX 32
/* The first server for an object, and two that may take its overflow. */
#define PL_PLACEMENT_RANKED_MAX 3

/* The registration of a server.  Its texts are borrowed; those of a backend belong to the
 * placement. */
struct pl_server_entry
{
  const char *id;
  const char *service;
  char address[PL_ADDRESS_CHARS];
  const char *domain;
  int slots;
  bool draining;
  int64_t cold_us;  /* remaining time in which its cache is cold; 0: warm */
  int64_t born;     /* increases with each start of a server; 0: unknown */
  int64_t sequence; /* counts what the server has written since it started */
};

struct pl_backend
{
  struct pl_server_entry entry;
  uint64_t hash; /* of its id; names the server in events and beacons */
  int service;   /* handle */
  int region;
  bool is_local;      /* in this host's domain */
  int64_t expires_us; /* end of use after its removal; INT64_MAX: it is registered */
  int64_t cold_until_us;
  double cold_tokens;
  int64_t cold_refilled_us;
  /* load */
  int in_flight;              /* from this host */
  int64_t progress_us;        /* when one of them last ended, or the first was sent */
  struct pl_server_load load; /* as reported */
  /* health */
  int failures;      /* consecutive */
  int64_t failed_us; /* the last of them */
  int64_t down_until_us;
  /* Set when the server goes down, until a request or a probe succeeds.  After down_until_us one
   * request or probe at a time is allowed (half-open). */
  bool breaker_tripped;
  bool probe_pending;
  double failure_ratio; /* of recent answers, 0 to 1 */
  int64_t last_chosen_us;
  double work_us;      /* moving average of one request without waiting; 0: unknown */
  double load_at_send; /* in slots, for the latest request */
  double expected_us;  /* time to its answer; 0: unknown */
  struct pl_server_limit limit;
};

/* The load of a region from requests that may run in certain regions only. */
struct pl_placement_region
{
  double home_requests; /* recent requests that are bound to it */
  int slots;
  bool reserved; /* requests that may run anywhere avoid its servers */
};

struct pl_placement_service
{
  char *name;
  bool is_managed;     /* see enum pl_load_management */
  bool compares_times; /* managed, and servers are compared by the expected time */
  GPtrArray *backends; /* of struct pl_backend */
  /* moving averages over all its servers */
  double work_us; /* 0: unknown */
  double failure_ratio;
  double late_ratio;      /* answers later than the latency objective */
  double recent_requests; /* exponentially decayed count */
  uint64_t choices;       /* while it is managed */
  uint64_t bodies_held;   /* servers passed over since their share of bodies is used up */
  uint64_t alternatives;  /* of these, of a server past a first one that is clearly slower */
  struct pl_placement_region regions[PL_PLACEMENT_REGIONS_MAX];
  int64_t reservations_due_us; /* next update of the reservations */
  struct pl_region_plan plan;  /* used if is_managed */
  int64_t cold_time_us;
  double cold_per_second;
};

struct pl_placement
{
  GHashTable *backends;  /* id -> struct pl_backend */
  GHashTable *by_hash;   /* the same by their hash */
  GPtrArray *services;   /* of struct pl_placement_service, by handle */
  GHashTable *handles;   /* name of a service -> its handle + 1 */
  GHashTable *evacuated; /* domain name -> itself */
  char *domain;          /* of this host */
  int region;
  bool is_cut_off; /* this host reaches no server: none is chosen */
  enum pl_load_management load_management;
  bool ignores_speeds; /* servers of managed services are chosen as those of others */
  double max_shift;    /* of the plans, see struct pl_router_options; 0: there are none */
};

/* The request to be placed. */
struct pl_placement_request
{
  int service;             /* handle */
  uint64_t object;         /* hash of the object concerned; 0: none */
  bool is_large;           /* its body is expensive to transfer to another domain */
  int64_t objective_us;    /* latency objective, which limits the use of queues */
  int64_t expected_max_us; /* limit on the expected time to the answer in place of that by the
                              latency objective; 0: none */
  int64_t time_left_us;    /* until the caller or the route's timeout ends it */
  bool at_most_once; /* servers with a tripped breaker are avoided, since it may not run twice */
  bool has_home_regions;
  uint32_t home_regions;
  const uint64_t *tried; /* hashes of servers that must not be chosen again */
  int tried_count;
  int64_t permit_wait_us; /* how long it may wait for a permit to use a server with a rate limit */
  int64_t body_bytes;
  int64_t body_share; /* largest body that callers may send, divided by the number of live hosts */
  /* It is a second copy: only warm servers without a rate limit, with spare capacity. */
  bool is_copy;
};

enum pl_placement_result
{
  PL_PLACED,
  PL_PLACE_FULL,    /* no server that may run it has capacity now, or it waits for a permit */
  PL_PLACE_LIMITED, /* every healthy server that may run it has a rate limit that is used up */
  PL_PLACE_NONE,    /* no server may run it */
  PL_PLACE_CUT_OFF, /* this host reaches no server */
};

void pl_placement_init (struct pl_placement *placement, const char *domain, int region);
void pl_placement_clear (struct pl_placement *placement);

static inline struct pl_placement_service *
pl_placement_service_at (const struct pl_placement *placement, int service)
{
  return g_ptr_array_index (placement->services, service);
}

/* Frees a service; for the placement alone. */
void pl_placement_free_service (void *data);

/* Returns the handle of the service NAME, which is added if it is new. */
int pl_placement_ensure_service (struct pl_placement *placement, const char *name);
/* Returns the name of SERVICE, owned by PLACEMENT. */
const char *pl_placement_service_name (const struct pl_placement *placement, int service);

/* Sets for which services load is managed, also for those that exist. */
void pl_placement_set_load_management (struct pl_placement *placement,
                                       enum pl_load_management management);
/* Starts or ends the management of the load of SERVICE. */
void pl_placement_manage (const struct pl_placement *placement,
                          struct pl_placement_service *service, bool on);
/* Returns whether the load of SERVICE is managed. */
bool pl_placement_is_managed (const struct pl_placement *placement, int service);

/* Returns the fraction of the recent answers for SERVICE that were later than the latency
 * objective, 0 to 1. */
double pl_placement_late_ratio (const struct pl_placement *placement, int service);
/* Sets the bound on the change of plans between regions; see struct pl_router_options. */
void pl_placement_set_max_shift (struct pl_placement *placement, double max_shift);
/* Updates the plan of SERVICE between regions if it is managed.  Does nothing when it is called
 * again within a period of the plan.  Returns the plan, owned by PLACEMENT, or NULL if there is
 * none. */
struct pl_region_plan *pl_placement_update_plan (struct pl_placement *placement, int service,
                                                 int64_t now_us);
/* Returns the plan of SERVICE that is in use, owned by PLACEMENT, or NULL. */
const struct pl_region_plan *pl_placement_plan (const struct pl_placement *placement, int service);

/* Sets how cold servers of SERVICE are treated. */
void pl_placement_set_service (struct pl_placement *placement, int service, int64_t cold_time_us,
                               double cold_per_second);

/* Returns the hash of the server with this ID. */
uint64_t pl_server_hash (const char *id);

/* Adds or updates a server.  AT_START: it was registered before this host started, so that it does
 * not count as newly started. */
struct pl_backend *pl_placement_put (struct pl_placement *placement,
                                     const struct pl_server_entry *entry, int region, bool at_start,
                                     int64_t now_us);

/* Resets the state of a server that is new or has restarted under its old name. */
void pl_placement_reset_backend (struct pl_backend *backend, int64_t now_us);

/* Records that the registration ID was removed; the server is still used until USE_UNTIL_US. */
void pl_placement_remove (struct pl_placement *placement, const char *id, int64_t use_until_us);

/* Starts or ends the evacuation of DOMAIN, whose servers get no new requests meanwhile. */
void pl_placement_evacuate (struct pl_placement *placement, const char *domain, bool on);

struct pl_backend *pl_placement_find (const struct pl_placement *placement, const char *id);
struct pl_backend *pl_placement_find_by_hash (const struct pl_placement *placement, uint64_t hash);

/* Whether this host may send a request to a server with a rate limit. */
enum pl_permit
{
  PL_PERMIT_HELD,
  PL_PERMIT_EXPECTED, /* one may arrive in the time that the request may wait */
  PL_PERMIT_NONE,
};

/* How this host shares with the others what a server can take. */
struct pl_placement_shares
{
  /* Returns the fraction of a cold server's rate that this host may use, 0 to 1. */
  double (*cold_share) (void *data, const struct pl_backend *backend, double cold_per_second);
  /* Returns whether this host may use BACKEND, whose rate limit is in force, for a request that may
   * wait for WAIT_US. */
  enum pl_permit (*permit) (void *data, struct pl_backend *backend, int64_t wait_us);
};

/* The server chosen, or those to wait for. */
struct pl_placement_choice
{
  struct pl_backend *backend; /* PL_PLACED: the server; its in_flight includes the request */
  /* PL_PLACE_FULL: hashes of the servers to wait for; none: any server of the service */
  uint64_t awaited[PL_PLACEMENT_RANKED_MAX];
  int awaited_count;
  /* The server with a rate limit that would have been chosen with a permit, or NULL; with
   * PL_PLACE_LIMITED always one. */
  struct pl_backend *unpermitted;
};

/* Chooses a server.  SHARES NULL: no other host uses the servers, and they name no limits. */
enum pl_placement_result pl_placement_choose (struct pl_placement *placement,
                                              const struct pl_placement_request *request,
                                              const struct pl_placement_shares *shares, void *data,
                                              struct pl_placement_choice *choice, int64_t now_us);

/* Records that a request with BODY_BYTES for which BACKEND was chosen is no longer there. */
void pl_placement_release (struct pl_backend *backend, int64_t body_bytes, int64_t now_us);
/* The same for a request that another server was faster for: it is no progress of BACKEND, which
 * may not answer at all. */
void pl_placement_release_overtaken (struct pl_backend *backend, int64_t body_bytes);

/* Returns whether BACKEND may still be used for new requests. */
bool pl_placement_is_usable (const struct pl_placement *placement, const struct pl_backend *backend,
                             int64_t now_us);

/* The outcome of a request at a server. */
struct pl_placement_answer
{
  bool failed;
  bool late;          /* exceeded the latency objective, measured from the sending */
  int64_t latency_us; /* 0: unknown */
  double load;        /* of the server, in slots, when the request was sent */
  uint64_t object;    /* hash of the object concerned; 0: none */
  int64_t at_us;      /* when it arrived; 0: there was none */
};

void pl_placement_record_answer (struct pl_placement *placement, struct pl_backend *backend,
                                 const struct pl_placement_answer *answer);
/* Records that a request was cancelled, since its copy was answered first.  Of ANSWER, the time and
 * load until then and at_us are used. */
void pl_placement_record_overtaken (const struct pl_placement *placement,
                                    struct pl_backend *backend,
                                    const struct pl_placement_answer *answer);
/* Records that the server rejected a request.  HAS_LOAD: the rejection came with a load report,
 * which is used instead of an estimate. */
void pl_placement_record_rejection (struct pl_placement *placement, struct pl_backend *backend,
                                    bool has_load, int64_t now_us);
/* Records that the server could not be reached (IS_UNREACHABLE) or that the answer to a request was
 * lost.  Returns whether the server is now down. */
bool pl_placement_record_failure (struct pl_placement *placement, struct pl_backend *backend,
                                  bool is_unreachable, int64_t now_us);
/* Takes back the failures recorded since SINCE_US, which turned out not to be the servers'. */
void pl_placement_forgive (struct pl_placement *placement, int64_t since_us);
void pl_placement_record_load (struct pl_placement *placement, struct pl_backend *backend,
                               const struct pl_load_report *report, int64_t now_us);
void pl_placement_record_probe (struct pl_placement *placement, struct pl_backend *backend,
                                bool succeeded, int64_t cold_us, int64_t now_us);

/* Returns whether BACKEND was down and is due for a probe. */
bool pl_placement_needs_probe (const struct pl_placement *placement,
                               const struct pl_backend *backend, int64_t now_us);

/* Frees removed servers that have nothing in flight. */
void pl_placement_expire (struct pl_placement *placement, int64_t now_us);

#endif
