/* config.h - immutable snapshot of a configuration.
 *
 * API tier: stable.
 *
 * Within one snapshot, entries are identified by index; across snapshots and
 * hosts, by pl_id_of(), a 64-bit hash of kind and name.
 */
#ifndef POMELOLATCH_CONFIG_H
#define POMELOLATCH_CONFIG_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define PL_KEY_HASH_BYTES 32
#define PL_NONE (-1)

struct pl_domain_config
{
  const char *name;
  int region;
  bool draining;
};

struct pl_link_config
{
  const char *name;
  uint64_t id;
  int from; /* region */
  int to;   /* region */
  int64_t bytes_per_second;
};

struct pl_host_config
{
  const char *name;
  uint64_t id;
  int domain;
  const char *caller_address;
  const char *peer_address;
  const char *forward_address;
  bool draining;
};

struct pl_server_config
{
  const char *name;
  uint64_t id;
  int service;
  int domain;
  const char *address;
  int slots;
  bool draining;
};

struct pl_route_config
{
  const char *name;
  const char *path;
  int service;
  bool repeatable;
  bool open;
  int64_t answer_bytes;
  int64_t deadline_us;
  int64_t silence_us; /* an attempt without progress for longer than this is cancelled */
  int64_t stale_limit_us;
};

struct pl_account_config
{
  const char *name;
  uint64_t id;
  int64_t rate;  /* requests per second, over the whole fleet */
  int64_t burst; /* requests, over the whole fleet */
};

struct pl_key_config
{
  uint8_t hash[PL_KEY_HASH_BYTES];
  int account;
};

/* A prefix of callers' addresses and the failure domain that should serve them. */
struct pl_block_config
{
  uint32_t address; /* host byte order */
  uint8_t bits;
  uint16_t domain;
};

struct pl_service_config
{
  const char *name;
  uint64_t id;
};

struct pl_config
{
  int references;
  int64_t version;
  json_t *document;
  GPtrArray *region_names;
  GArray *domains; /* of struct pl_domain_config, and so on */
  GArray *links;
  GArray *hosts;
  GArray *services;
  GArray *servers;
  GArray *routes;
  GArray *accounts;
  GArray *keys;
  GArray *blocks;
  GHashTable *key_index; /* of struct pl_key_config, by hash */
};

/* Compiles DOCUMENT, which must come from pl_release_apply().  Returns a snapshot with one
 * reference, owned by the caller. */
struct pl_config *pl_config_new (json_t *document, int64_t version);
struct pl_config *pl_config_ref (struct pl_config *config);
void pl_config_unref (struct pl_config *config);

/* Returns a hash of KIND and NAME that is the same on every host. */
uint64_t pl_id_of (const char *kind, const char *name);

/* These functions return an index, or PL_NONE. */
int pl_config_find_host (const struct pl_config *config, uint64_t id);
int pl_config_find_route (const struct pl_config *config, const char *path);
int pl_config_find_account (const struct pl_config *config, const char *name);
int pl_config_find_account_by_key (const struct pl_config *config, const uint8_t *hash);
int pl_config_find_link (const struct pl_config *config, int from_region, int to_region);

/* These functions return the number of equal shares into which a budget of the whole fleet, or of
 * one link, is split; HOST, an index, has one of them.  They return 0 if it has none. */
int64_t pl_config_fleet_shares (const struct pl_config *config, int host);
int64_t pl_config_link_shares (const struct pl_config *config, int link, int host);

/* Returns the number of entry hosts in DOMAIN. */
int pl_config_count_hosts (const struct pl_config *config, int domain);

#define PL_DOMAIN(config, i) (&g_array_index ((config)->domains, struct pl_domain_config, (i)))
#define PL_LINK(config, i) (&g_array_index ((config)->links, struct pl_link_config, (i)))
#define PL_HOST(config, i) (&g_array_index ((config)->hosts, struct pl_host_config, (i)))
#define PL_SERVICE(config, i) (&g_array_index ((config)->services, struct pl_service_config, (i)))
#define PL_SERVER(config, i) (&g_array_index ((config)->servers, struct pl_server_config, (i)))
#define PL_ROUTE(config, i) (&g_array_index ((config)->routes, struct pl_route_config, (i)))
#define PL_ACCOUNT(config, i) (&g_array_index ((config)->accounts, struct pl_account_config, (i)))

#endif
