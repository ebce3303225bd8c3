/* core.h - the reducer: all decisions of an entry host.
 *
 * API tier: provisional.
 *
 * pl_core_step() is the only place that decides.  It does no input or output,
 * reads no clock, and never blocks, so a fleet of reducers can be driven in
 * virtual time without a socket.  One thread at a time may use a core.
 */
#ifndef POMELOLATCH_CORE_H
#define POMELOLATCH_CORE_H

#include "pomelolatch/event.h"
#include "pomelolatch/histogram.h"

struct pl_core;

/* Parts of the design that can be switched off, for baselines and for proofs that must fail. */
enum pl_core_switch
{
  PL_SWITCH_NO_LOANS = 1 << 0,        /* split rates evenly and never lend */
  PL_SWITCH_LOCAL_ONLY = 1 << 1,      /* never use another domain */
  PL_SWITCH_ROUND_ROBIN = 1 << 2,     /* choose servers in turn */
  PL_SWITCH_NO_RETRY_BUDGET = 1 << 3, /* retry without limit */
  PL_SWITCH_NO_QUARANTINE = 1 << 4,
  PL_SWITCH_NO_CLAIMS = 1 << 5,      /* unsafe: run unrepeatable work unclaimed */
  PL_SWITCH_NO_KEY_RECHECK = 1 << 6, /* unsafe: keys are checked on arrival only */
  PL_SWITCH_NO_FENCE = 1 << 7,       /* unsafe: mint at once after taking a name over */
  PL_SWITCH_GROW_AT_ONCE = 1 << 8,   /* unsafe: larger parts without confirmation */
  PL_SWITCH_NO_LINK_BUDGET = 1 << 9, /* unsafe: links carry what comes */
  PL_SWITCH_DEAF = 1 << 10,          /* unsafe: stay with the first configuration */
};

struct pl_core_options
{
  const char *name;  /* this entry host's, as in the configuration */
  uint64_t nonce;    /* differs between any two processes */
  unsigned switches; /* of enum pl_core_switch */
  int64_t now_us;
  int64_t heartbeat_us;       /* 0: the default */
  int64_t store_poll_us;      /* of one domain; 0: the default */
  int64_t lookup_ttl_us;      /* 0: the default */
  int64_t remote_patience_us; /* wait for a local slot before another region; 0: the default */
};

/* Returns a core that the caller ends with pl_core_free(). */
struct pl_core *pl_core_new (const struct pl_core_options *options);
void pl_core_free (struct pl_core *core);

/* Applies EVENT and appends what has to be done to EFFECTS.  Takes over what the event owns. */
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

/* Returns the version in force here, 0 for none. */
int64_t pl_core_version (const struct pl_core *core);

/* For oracles and tests: what this host could spend of ACCOUNT now, micro-tokens. */
int64_t pl_core_balance (struct pl_core *core, const char *account, int64_t now_us);

#endif
