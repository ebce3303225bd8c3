/* lookup.h - immutable snapshot that maps a caller's address to entry hosts.
 *
 * API tier: provisional.
 */
#ifndef POMELOLATCH_LOOKUP_H
#define POMELOLATCH_LOOKUP_H

#include "pomelolatch/blocks.h"

/* Maximum number of hosts in one answer. */
#define PL_LOOKUP_HOSTS 4

struct pl_lookup_order
{
  int count;
  int rotated_count; /* number of leading hosts, equally good, that are rotated */
  int hosts[PL_LOOKUP_HOSTS * 2];
};

struct pl_lookup
{
  struct pl_config *config; /* one reference */
  struct pl_blocks *blocks; /* one reference, or NULL */
  int own_domain;
  int64_t ttl_us;
  int order_count;
  struct pl_lookup_order *orders; /* by domain */
};

struct pl_lookup_answer
{
  int count;
  const char *addresses[PL_LOOKUP_HOSTS]; /* owned by the snapshot */
  const char *names[PL_LOOKUP_HOSTS];
  const char *domains[PL_LOOKUP_HOSTS];
};

struct pl_lookup_options
{
  struct pl_config *config;
  struct pl_blocks *blocks; /* the snapshot takes the reference */
  int own_domain;
  int64_t ttl_us;
  const int *headroom; /* by host index; 0: not selected, for example draining or silent */
};

/* Returns a snapshot, owned by the caller. */
struct pl_lookup *pl_lookup_new (const struct pl_lookup_options *options);
void pl_lookup_free (struct pl_lookup *lookup);

/* Fills ANSWER for a caller at ADDRESS (host byte order).  SALT rotates the leading hosts, which
 * spreads callers over them.  Returns the number of hosts in ANSWER. */
int pl_lookup_answer (const struct pl_lookup *lookup, uint32_t address, uint32_t salt,
                      struct pl_lookup_answer *answer);

#endif
