/* lookup.h - which entry hosts a caller should use: an immutable snapshot.
 *
 * API tier: provisional.
 */
#ifndef POMELOLATCH_LOOKUP_H
#define POMELOLATCH_LOOKUP_H

#include "pomelolatch/blocks.h"

/* Hosts named in one answer. */
#define PL_LOOKUP_HOSTS 4

struct pl_lookup_order
{
  int count;
  int first_count; /* the first this many are equally good and are rotated */
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

/* What the look-up needs to know of an entry host: 0 means do not name it. */
struct pl_lookup_options
{
  struct pl_config *config;
  struct pl_blocks *blocks; /* taken over */
  int own_domain;
  int64_t ttl_us;
  const int *headroom; /* by host index: weight, 0 when it leaves or is not heard of */
};

/* Returns a snapshot that the caller owns. */
struct pl_lookup *pl_lookup_new (const struct pl_lookup_options *options);
void pl_lookup_free (struct pl_lookup *lookup);

/* Fills ANSWER for a client at ADDRESS (host byte order).  SALT spreads callers over equal hosts.
 * Returns the number of hosts named. */
int pl_lookup_answer (const struct pl_lookup *lookup, uint32_t address, uint32_t salt,
                      struct pl_lookup_answer *answer);

#endif
