/* fleet.h - many reducers in virtual time, under a seeded scheduler, against an oracle.
 *
 * No sockets and no network model beyond delay, loss, doubling and cuts.  Every
 * random choice comes from the seed, so a run is repeated by its seed and its
 * list of faults.
 */
#ifndef FLEET_H
#define FLEET_H

#include "pomelolatch/core.h"

enum fleet_fault_kind
{
  FLEET_PAUSE,   /* a process stands still and goes on */
  FLEET_KILL,    /* a process dies; a new one takes its name later */
  FLEET_REPLACE, /* a process stands still, a new one takes its name, the old one goes on */
  FLEET_PARTITION_DOMAIN,    /* a domain is cut off from the others, and from the store */
  FLEET_STORE_DOWN,          /* the store answers nobody */
  FLEET_STORE_LOSES_ANSWERS, /* the store applies writes and loses the answers */
  FLEET_LOSSY_NETWORK,       /* messages are lost and doubled often */
  FLEET_CRASH_SERVER,        /* a server dies with what it runs */
  FLEET_CRASHING_REQUEST,    /* a request that kills each server it runs on, sent again and again */
  FLEET_SILENT_SERVER,       /* what runs at a server is never answered */
  FLEET_RACE_RELEASES,       /* operators race: two releases at two hosts */
  FLEET_FLOOD_HOST,          /* an account sends several times its rate, at one host */
  FLEET_RESIZE_HOST_LIST,    /* the list of entry hosts changes */
  FLEET_FAULT_KINDS,
};

struct fleet_fault
{
  enum fleet_fault_kind kind;
  int64_t at_us;
  int64_t length_us;
  int subject;
};

#define FLEET_FAULTS_MAX 64

struct fleet_options
{
  uint32_t seed;
  int64_t length_us; /* with faults; a calm time follows in which all must come right again */
  unsigned switches;
  int fault_count;
  struct fleet_fault faults[FLEET_FAULTS_MAX];
  bool trace;
  double load; /* 1: about what the servers can take */
  double
      account_rate_ratio; /* not 0: every account sends this part of its rate, and nothing else */
  bool one_host;          /* with it: all of it arrives at one host */
};

struct fleet_result
{
  char violation[256]; /* empty: none */
  int64_t violated_at_us;
  uint64_t steps;
  uint64_t requests;
  uint64_t served;
  uint64_t runs;
  uint64_t operations;
  uint64_t refused_not_run;
  uint64_t refused_unknown;
  uint64_t conforming; /* arrivals within the account's rate and burst, with account_rate_ratio */
  uint64_t refused_conforming;
  uint64_t served_by_account[3]; /* by account */
  int64_t total_wait_us;         /* by those served, from arrival to the decision to run, in all */
  uint64_t loans;
  uint64_t forwards;
  uint64_t messages;
  uint64_t servers_crashed_by_request;
  int64_t versions;
};

/* Fills in COUNT faults drawn from the seed of OPTIONS. */
void fleet_draw_faults (struct fleet_options *options, int count);

/* Runs until the end or the first violation. */
void fleet_run (const struct fleet_options *options, struct fleet_result *result);

/* Leaves out every fault that the violation does not need. */
void fleet_shrink (struct fleet_options *options, struct fleet_result *result);

void fleet_print_result (const struct fleet_options *options, const struct fleet_result *result);

#endif
