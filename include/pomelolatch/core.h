/* core.h - the reducer: all decisions of an entry host.
 *
 * API tier: provisional.
 *
 * All decisions are taken in pl_core_step(), which does no input or output,
 * reads no clock and never blocks, so that a fleet of reducers can be run in
 * virtual time without sockets.  Only one thread at a time may use a core.
 */
#ifndef POMELOLATCH_CORE_H
#define POMELOLATCH_CORE_H

#include "pomelolatch/event.h"
#include "pomelolatch/histogram.h"

struct pl_core;

/* Mechanisms that can be disabled, for baseline measurements and for tests that check that the
 * oracle finds a violation. */
enum pl_core_switch
{
  PL_SWITCH_NO_LOANS = 1 << 0,        /* split rates evenly, without loans between hosts */
  PL_SWITCH_LOCAL_ONLY = 1 << 1,      /* never use another domain */
  PL_SWITCH_ROUND_ROBIN = 1 << 2,     /* choose servers round-robin */
  PL_SWITCH_NO_RETRY_BUDGET = 1 << 3, /* retry without limit */
  PL_SWITCH_NO_QUARANTINE = 1 << 4,
  PL_SWITCH_NO_CLAIMS = 1 << 5,      /* unsafe: run unrepeatable requests without a claim */
  PL_SWITCH_NO_KEY_RECHECK = 1 << 6, /* unsafe: check keys on arrival only */
  PL_SWITCH_NO_FENCE = 1 << 7,       /* unsafe: refill at once after taking over a name */
  PL_SWITCH_NO_SHARE_CONFIRMATION
      = 1 << 8,                      /* unsafe: enlarge shares before all hosts have confirmed */
  PL_SWITCH_NO_LINK_BUDGET = 1 << 9, /* unsafe: do not limit the traffic on links */
  PL_SWITCH_FREEZE_CONFIG = 1 << 10, /* unsafe: keep the first configuration */
};

struct pl_core_options
{
  const char *name;  /* of this entry host, as in the configuration */
  uint64_t nonce;    /* unique to this process */
  unsigned switches; /* bits of enum pl_core_switch */
  int64_t now_us;
  int64_t heartbeat_us;  /* 0: the default */
  int64_t store_poll_us; /* for a whole domain; 0: the default */
  int64_t lookup_ttl_us; /* 0: the default */
  int64_t local_wait_us; /* wait for a local slot before using another region; 0: the default */
};

/* Returns a core that the caller frees with pl_core_free(). */
struct pl_core *pl_core_new (const struct pl_core_options *options);
void pl_core_free (struct pl_core *core);

/* Applies EVENT and appends the resulting effects to EFFECTS; takes ownership of EVENT's data. */
void pl_core_step (struct pl_core *core, struct pl_event *event, struct pl_effects *effects);

/* Counters of one account or route. */
struct pl_counts
{
  uint64_t asked;
  uint64_t served;
  uint64_t refused[PL_REFUSAL_COUNT];
  struct pl_histogram latency;
};

/* Returns a report of the host as JSON; the caller owns it. */
json_t *pl_core_report (struct pl_core *core, int64_t now_us);

/* Returns the version of the configuration in force, 0 for none. */
int64_t pl_core_version (const struct pl_core *core);

/* For oracles and tests: returns the micro-tokens that this host could spend for ACCOUNT now. */
int64_t pl_core_balance (struct pl_core *core, const char *account, int64_t now_us);

#endif
