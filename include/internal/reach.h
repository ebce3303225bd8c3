/* reach.h - whether this host reaches the backend servers at all.
 *
 * API tier: private.
 *
 * Does no I/O.  The caller reports how connections to servers end and starts the probes that
 * pl_reach_probes_due() asks for.
 */
#ifndef POMELOLATCH_REACH_H
#define POMELOLATCH_REACH_H

#include <stdbool.h>
#include <stdint.h>

/* So many servers in a row, none of which could be connected to, raise the suspicion that this
 * host is cut off; with fewer servers in all it can not be told from their failure. */
#define PL_REACH_SERVERS_MIN 3
/* Other servers that are probed then; all must fail. */
#define PL_REACH_PROBES 3

enum pl_reach_state
{
  PL_REACH_OPEN,      /* connections are established */
  PL_REACH_SUSPECTED, /* none was established at several servers in a row; others are probed */
  PL_REACH_KEPT_ONLY, /* none can be established; kept ones still bring answers */
  PL_REACH_LOST,      /* no server is reached */
  PL_REACH_RETURNING, /* connections are established again; load returns step by step */
};

struct pl_reach
{
  enum pl_reach_state state;
  int64_t since_us;                      /* when it entered the state */
  uint64_t failed[PL_REACH_SERVERS_MIN]; /* servers since the last established connection */
  int failed_count;
  int64_t failing_us;  /* the first of these failures */
  int64_t answered_us; /* when a server last answered; 0: never */
  uint64_t probed[PL_REACH_PROBES];
  int probed_count; /* probes whose outcome is not known yet */
  int64_t probe_due_us;
};

/* A connection to SERVER, a hash of its id, was not established, or a kept one broke.
 * SERVERS_COUNT: number of servers that this host may use. */
void pl_reach_on_failure (struct pl_reach *reach, uint64_t server, int servers_count,
                          int64_t now_us);

/* A server answered, on a connection that was opened for the request at OPENED_US, or on a kept one
 * (OPENED_US 0). */
void pl_reach_on_answer (struct pl_reach *reach, int64_t opened_us, int64_t now_us);

/* Returns how many servers should be probed now on new connections. */
int pl_reach_probes_due (const struct pl_reach *reach, int64_t now_us);
/* COUNT SERVERS are being probed, at most as many as are due. */
void pl_reach_on_probes_started (struct pl_reach *reach, const uint64_t *servers, int count,
                                 int64_t now_us);

/* The probe of SERVER has ended; CONNECTED: its connection was established.  Ignores probes that
 * were not started for this purpose. */
void pl_reach_on_probed (struct pl_reach *reach, uint64_t server, bool connected, int64_t now_us);

/* Returns when pl_reach_run_timers() is due, or INT64_MAX. */
int64_t pl_reach_due_us (const struct pl_reach *reach);
void pl_reach_run_timers (struct pl_reach *reach, int64_t now_us);

/* Returns whether this host can open no connection to any server. */
bool pl_reach_is_cut_off (const struct pl_reach *reach);

/* Returns the fraction of the requests that this host should send to servers itself. */
double pl_reach_direct_ratio (const struct pl_reach *reach, int64_t now_us);

extern const char *const pl_reach_state_names[];

#endif
