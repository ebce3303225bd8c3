/* fleet.h - simulates many reducers in virtual time and checks them against an oracle.
 *
 * The simulation opens no sockets; its network model has only delay, loss, duplication
 * and partitions.  Every random choice comes from the seed, so that a seed and a list of
 * faults reproduce a run.
 */
#ifndef FLEET_H
#define FLEET_H

#include "pomelolatch/core.h"

enum fleet_fault_kind
{
  FLEET_PAUSE,               /* a process is paused, then resumes */
  FLEET_KILL,                /* a process is killed; a new one takes its name later */
  FLEET_REPLACE,             /* a paused process resumes after a new one has taken its name */
  FLEET_PARTITION_DOMAIN,    /* a domain reaches neither the other domains nor the store */
  FLEET_STORE_DOWN,          /* no call reaches the store */
  FLEET_STORE_LOSES_ANSWERS, /* the store applies writes, but their answers are lost */
  FLEET_LOSSY_NETWORK,       /* messages are often lost or duplicated */
  FLEET_CRASH_SERVER,        /* a server fails with all requests that it runs */
  FLEET_CRASHING_REQUEST,    /* a request that crashes each server it runs on is sent repeatedly */
  FLEET_SILENT_SERVER,       /* a server runs requests, but answers none */
  FLEET_RACE_RELEASES,       /* two operators post releases at two hosts at once */
  FLEET_FLOOD_HOST,          /* an account sends several times its rate to one host */
  FLEET_RESIZE_HOST_LIST,    /* the list of entry hosts changes */
  FLEET_FAULT_KINDS,
};

struct fleet_fault
{
  enum fleet_fault_kind kind;
  int64_t at_us; /* after the start of the period with faults */
  int64_t length_us;
  int subject; /* which host, domain, server or release, modulo their number */
};

#define FLEET_FAULTS_MAX 64

struct fleet_options
{
  uint32_t seed;
  int64_t length_us; /* of the period with faults, which the recovery period follows */
  unsigned switches;
  int fault_count;
  struct fleet_fault faults[FLEET_FAULTS_MAX];
  bool trace;
  double load; /* 1: about the capacity of the servers */
  /* Not 0: each account sends requests at its rate times this, and there are no others. */
  double account_rate_ratio;
  bool one_host; /* with account_rate_ratio: all requests arrive at host 0 */
};

struct fleet_result
{
  char violation[256]; /* empty: none found */
  int64_t violated_at_us;
  uint64_t steps;
  uint64_t requests;
  uint64_t served;
  uint64_t runs;
  uint64_t operations;
  uint64_t refused_not_run;
  uint64_t refused_unknown; /* may have run */
  uint64_t within_rate; /* arrivals within the account's rate and burst, with account_rate_ratio */
  uint64_t refused_within_rate;
  uint64_t served_by_account[3];
  int64_t total_wait_us; /* sum over the requests served, from arrival to dispatch */
  uint64_t loans;
  uint64_t forwards;
  uint64_t messages;
  uint64_t servers_crashed_by_request;
  int64_t versions;
};

/* Draws COUNT faults from the seed of OPTIONS into OPTIONS. */
void fleet_draw_faults (struct fleet_options *options, int count);

/* Runs until the end or the first violation. */
void fleet_run (const struct fleet_options *options, struct fleet_result *result);

/* Removes one fault at a time from OPTIONS while a violation remains. */
void fleet_shrink (struct fleet_options *options, struct fleet_result *result);

void fleet_print_result (const struct fleet_options *options, const struct fleet_result *result);

#endif
