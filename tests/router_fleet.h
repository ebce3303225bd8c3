/* router_fleet.h - a simulated fleet of routers with beacons, relays and a store, in virtual time.
 *
 * API tier: private.
 */
#ifndef ROUTER_FLEET_H
#define ROUTER_FLEET_H

#include "router_world.h"

#define ROUTER_FLEET_HOSTS_MAX 300
#define ROUTER_FLEET_START_SPREAD_US (300 * WORLD_MS)
#define ROUTER_FLEET_STORE_ANSWER_US (5 * WORLD_MS)
/* How long a poll of the store waits, when its answer is overdue after that, and when it has
 * failed, as in platform/store.c. */
#define ROUTER_FLEET_POLL_US (900 * WORLD_MS)
#define ROUTER_FLEET_QUIET_US (350 * WORLD_MS)
#define ROUTER_FLEET_POLL_TIMEOUT_US (1500 * WORLD_MS)
#define ROUTER_FLEET_FIRST_VERSION 7
#define ROUTER_FLEET_DOMAINS 9
#define ROUTER_FLEET_STRONG_PER_DOMAIN 3
#define ROUTER_FLEET_ACCOUNTS 190

/* What becomes of fetches of rows from a host that runs. */
enum router_fleet_relay
{
  ROUTER_FLEET_RELAY_ANSWERS,
  ROUTER_FLEET_RELAY_REFUSES,
  ROUTER_FLEET_RELAY_IS_SLOW, /* the rows arrive just before the fetch would fail */
};

/* Nine domains in three regions, and six. */
extern const char *const router_fleet_six_domains[];
extern const char *const router_fleet_domains[ROUTER_FLEET_DOMAINS + 1];

struct router_fleet_host
{
  struct pl_router *router; /* NULL: not started, or killed */
  struct pl_router_effects effects;
  struct pl_regions regions;
  int domain;
  int capacity;
  char name[16];
  char address[PL_ADDRESS_CHARS];
  uint64_t incarnation;
  int64_t starts_us;
  bool watching;
  bool has_stopped;        /* the process has exited after it was told to stop */
  bool is_partitioned;     /* all its datagrams and calls are lost, in both directions */
  bool side;               /* datagrams to hosts of the other side are lost */
  int64_t frozen_until_us; /* until then it does not run, and messages to it are lost */
  bool is_cut_from_store;  /* its calls to the store hang */
  int64_t poll_started_us; /* its poll of the store, while it watches */
  bool is_poll_overdue;    /* it has been told so */
  enum router_fleet_relay relay;
  bool has_no_power;            /* nothing answers at its address; calls to it hang */
  double relay_bytes_available; /* as in struct pl_relay, if links have a bandwidth */
  int64_t relay_refilled_us;
  int relayed;                     /* number of fetches sent to it */
  uint64_t bytes_sent;             /* in beacons, with their headers */
  uint64_t bytes_to_other_domains; /* of these, to other domains */
};

/* The environment of the fleet beyond peers and the store; all functions may be NULL. */
struct router_fleet_hooks
{
  /* Host INDEX has started. */
  void (*on_start) (void *data, int index);
  /* The router of host INDEX has returned EFFECT. */
  void (*on_effect) (void *data, int index, const struct pl_router_effect *effect);
};

struct router_fleet
{
  struct router_fleet_host hosts[ROUTER_FLEET_HOSTS_MAX];
  int count;
  const char *const *domains; /* "DOMAIN=REGION", NULL-terminated */
  int domain_count;
  GArray *messages;      /* of struct message */
  GHashTable *addresses; /* address -> index + 1 */
  int64_t now_us;
  int64_t step_us;
  int version;           /* of the configuration in the store */
  const char *resources; /* of the configuration, as JSON; NULL: none */
  /* Bandwidth of each host's link, in each direction, which answers with rows share; 0: no bound.
   * Beacons and requests take none of it. */
  double link_bytes_per_second;
  GArray *transfers;                       /* of struct transfer */
  enum pl_load_management load_management; /* of hosts that start, as max_shift */
  double max_shift;
  int watches_started;
  int store_reads; /* by hosts that do not watch */
  uint64_t next_request;
  int admitted;
  int refused;
  unsigned switches;  /* of the hosts */
  double report_loss; /* fraction of the beacons whose reports on accounts are lost */
  double beacon_loss; /* fraction of the beacons that are lost */
  uint32_t loss_random;
  const struct router_fleet_hooks *hooks; /* NULL: none */
  void *hooks_data;
};

/* Returns a fleet of COUNT hosts, assigned to DOMAINS round-robin, which start within
 * ROUTER_FLEET_START_SPREAD_US.  When MIXED, the first three of each domain have five times the
 * capacity of the others. */
struct router_fleet *router_fleet_new (int count, const char *const *domains, bool mixed);
void router_fleet_free (struct router_fleet *fleet);

void router_fleet_run (struct router_fleet *fleet, int64_t us);

/* Feeds EVENT to the router of host INDEX, which must be running, and applies its effects. */
void router_fleet_step_host (struct router_fleet *fleet, int index, struct pl_router_event *event);

/* Returns the name of the region of the domain with this index. */
const char *router_fleet_region_of (const struct router_fleet *fleet, int domain);

/* Returns whether host INDEX runs: it is started and not frozen. */
bool router_fleet_is_up (const struct router_fleet *fleet, int index);

/* Returns the resources of a configuration as JSON: a service, a route and ROUTER_FLEET_ACCOUNTS
 * accounts with the keys "key-0", "key-1" and so on. */
char *router_fleet_make_resources (double rate, double burst);

/* Returns the resources of a configuration as JSON: a service and ROUTES routes to it, which differ
 * in random names. */
char *router_fleet_make_routes (int routes);

/* Returns the next pseudo-random number and advances STATE. */
uint32_t router_fleet_next_random (uint32_t *state);

/* Kills the process of host INDEX; it starts again after RETURNS_US, or never for INT64_MAX. */
void router_fleet_kill (struct router_fleet *fleet, int index, int64_t returns_us);

/* Ends host INDEX for good by a loss of power. */
void router_fleet_cut_power (struct router_fleet *fleet, int index);

/* Cuts host INDEX off from the store in silence, right after it has begun a poll. */
void router_fleet_cut_from_store (struct router_fleet *fleet, int index);

/* Puts configuration VERSION into the store, which sends it to its watchers. */
void router_fleet_change_configuration (struct router_fleet *fleet, int version);

/* Sends a request with KEY to host INDEX.  Returns whether it was within its account's rate. */
bool router_fleet_send_request (struct router_fleet *fleet, int index, const char *key);

int router_fleet_held_version (const struct router_fleet_host *host);
int router_fleet_count_configured (const struct router_fleet *fleet);
/* Returns how many hosts that run do not have the configuration of the store. */
int router_fleet_count_missing (const struct router_fleet *fleet);
int router_fleet_count_watching (const struct router_fleet *fleet);

#endif
