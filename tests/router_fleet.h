/* router_fleet.h - a simulated fleet of routers with beacons, relays and a store, in virtual time.
 *
 * API tier: private.
 */
#ifndef ROUTER_FLEET_H
#define ROUTER_FLEET_H

#include "router_world.h"

#define FLEET_HOSTS_MAX 300
#define FLEET_START_SPREAD_US (300 * WORLD_MS)
#define FLEET_STORE_ANSWER_US (5 * WORLD_MS)
#define FLEET_FIRST_VERSION 7
#define FLEET_DOMAINS 9
#define FLEET_STRONG_PER_DOMAIN 3
#define FLEET_ACCOUNTS 190

/* Nine domains in three regions. */
extern const char *const fleet_domains[FLEET_DOMAINS + 1];

struct fleet_host
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
  bool is_partitioned;             /* all its datagrams and calls are lost, in both directions */
  int64_t frozen_until_us;         /* until then it does not run, and messages to it are lost */
  int relayed;                     /* number of fetches sent to it */
  uint64_t bytes_sent;             /* in beacons, with their headers */
  uint64_t bytes_to_other_domains; /* of these, to other domains */
};

struct fleet
{
  struct fleet_host hosts[FLEET_HOSTS_MAX];
  int count;
  const char *const *domains; /* "DOMAIN=REGION", NULL-terminated */
  int domain_count;
  GArray *messages;      /* of struct message */
  GHashTable *addresses; /* address -> index + 1 */
  int64_t now_us;
  int64_t step_us;
  int version;           /* of the configuration in the store */
  const char *resources; /* of the configuration, as JSON; NULL: none */
  int watches_started;
  uint64_t next_request;
  int admitted;
  int refused;
};

/* Returns a fleet of COUNT hosts, assigned to DOMAINS round-robin, which start within
 * FLEET_START_SPREAD_US.  When MIXED, the first three of each domain have five times the capacity
 * of the others. */
struct fleet *fleet_new (int count, const char *const *domains, bool mixed);
void fleet_free (struct fleet *fleet);

void fleet_run (struct fleet *fleet, int64_t us);

/* Returns the resources of a configuration as JSON: a service, a route and FLEET_ACCOUNTS accounts
 * with the keys "key-0", "key-1" and so on. */
char *fleet_make_resources (double rate, double burst);

/* Returns the next pseudo-random number and advances STATE. */
uint32_t fleet_next_random (uint32_t *state);

/* Kills the process of host INDEX; it starts again after RETURNS_US, or never for INT64_MAX. */
void fleet_kill (struct fleet *fleet, int index, int64_t returns_us);

/* Puts configuration VERSION into the store, which sends it to its watchers. */
void fleet_change_configuration (struct fleet *fleet, int version);

/* Sends a request with KEY to host INDEX.  Returns whether it was within its account's rate. */
bool fleet_send_request (struct fleet *fleet, int index, const char *key);

int fleet_held_version (const struct fleet_host *host);
int fleet_count_configured (const struct fleet *fleet);
int fleet_count_watching (const struct fleet *fleet);

#endif
