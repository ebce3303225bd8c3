/* routing.h - routes, services and client accounts of one configuration version.
 *
 * API tier: private.
 *
 * A routing table is filled by an adapter and immutable after pl_routing_seal().
 * Entries refer to each other by index.
 *
 * A version is in force as soon as it is known, also where a host can not use all of it: an entry
 * that is marked as unusable refuses the requests that it is about, and nothing else.
 */
#ifndef POMELOLATCH_ROUTING_H
#define POMELOLATCH_ROUTING_H

#include "pomelolatch/config.h"
#include "pomelolatch/findings.h"

#define PL_ROUTING_REGIONS_MAX 32

/* One of the services that a route splits its requests over. */
struct pl_route_part
{
  const char *service_name;
  int service;   /* set by pl_routing_seal(); PL_NONE: unknown, its share is refused */
  double weight; /* finite, not negative; pl_routing_seal() scales the weights of a route */
};

struct pl_route_rule
{
  const char *name;
  bool is_unusable;      /* its requests are refused */
  const char *host;      /* HTTP host name; the table holds it normalized */
  const char *prefix;    /* of the path */
  bool repeatable;       /* may run more than once */
  bool open;             /* requires no API key */
  bool sticky;           /* a server that handled the object recently is faster */
  bool has_home_regions; /* only servers of the home regions may run it */
  uint32_t home_regions; /* bit per region */
  int attempts;          /* maximum number of servers that one request is sent to */
  int priority;          /* 0 is the most urgent */
  int64_t timeout_us;    /* longest time until the answer */
  int64_t objective_us;  /* latency objective */
  int part_count;
  struct pl_route_part *parts; /* owned by the table */
  uint64_t split;              /* set by pl_routing_seal(): hash of the parts */
};

struct pl_service_rule
{
  const char *name;
  const char *health_path;
  int64_t cold_time_us;   /* how long a server is cold after its start */
  double cold_per_second; /* requests a cold server can take, from all entry hosts */
  int connections_max;    /* of one server, from all entry hosts */
};

struct pl_account_rule
{
  const char *name;
  uint64_t id;
  bool is_unusable; /* requests with its keys are refused */
  int priority;     /* PL_NONE: the route's priority applies */
  bool has_home_regions;
  uint32_t home_regions;
  double rate;  /* requests per second over all entry hosts; 0: unlimited */
  double burst; /* requests */
};

/* The largest body that callers may send where a configuration sets no limit, in bytes. */
#define PL_BODY_BYTES_DEFAULT ((int64_t) 64 << 20)

struct pl_caller_limits
{
  int64_t header_bytes_max;
  int64_t body_bytes_max;
  int64_t idle_us; /* a connection that is idle for this long may be closed */
};

struct pl_routing
{
  int references;
  int64_t version;
  GStringChunk *texts; /* holds all strings */
  GArray *routes;      /* of struct pl_route_rule */
  GArray *services;
  GArray *accounts;
  GHashTable *keys;  /* hash of a key -> account index + 1 */
  GHashTable *hosts; /* HTTP host name -> GArray of route indices, longest prefix first */
  struct pl_caller_limits limits;
  /* An entry was left out of which it is not known which requests it is about.  Those without a
   * route, or with an unknown key, may be meant. */
  bool lacks_routes;
  bool lacks_accounts;
  int findings; /* number of findings about the document */
};

/* Returns an empty table with one reference, owned by the caller. */
struct pl_routing *pl_routing_new (int64_t version);
struct pl_routing *pl_routing_ref (struct pl_routing *routing);
void pl_routing_unref (struct pl_routing *routing);

/* These functions copy their arguments, strings included. */
void pl_routing_add_route (struct pl_routing *routing, const struct pl_route_rule *route);
void pl_routing_add_service (struct pl_routing *routing, const struct pl_service_rule *service);
void pl_routing_add_account (struct pl_routing *routing, const struct pl_account_rule *account,
                             const char *const *keys);

/* Resolves names, sorts prefixes and makes the table immutable.  Adds a finding for each route of
 * which no part, or only some, can be used. */
void pl_routing_seal (struct pl_routing *routing, struct pl_findings *findings);

/* Returns TEXT, of a Host header or a route, in the form in which hosts are compared: in lower
 * case, without port and the dot of the root.  Owned by the caller. */
char *pl_routing_normalize_host (const char *text);

/* These functions return an index, or PL_NONE.  HOST is normalized. */
int pl_routing_find_route (const struct pl_routing *routing, const char *host, const char *path);
int pl_routing_find_service (const struct pl_routing *routing, const char *name);
int pl_routing_find_account (const struct pl_routing *routing, const uint8_t *key_hash);

/* Returns whether requests on ROUTE require the API key of an account.  Without accounts no key is
 * required. */
bool pl_routing_needs_key (const struct pl_routing *routing, const struct pl_route_rule *route);

#define PL_RULE_ROUTE(r, i) (&g_array_index ((r)->routes, struct pl_route_rule, (i)))
#define PL_RULE_SERVICE(r, i) (&g_array_index ((r)->services, struct pl_service_rule, (i)))
#define PL_RULE_ACCOUNT(r, i) (&g_array_index ((r)->accounts, struct pl_account_rule, (i)))

#endif
