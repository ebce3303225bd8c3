/* server_load.h - what a backend server reports of its load, and how long it may be relied on.
 *
 * API tier: private.
 *
 * Does no I/O.  All times are of the monotonic clock, in microseconds.  The state belongs to the
 * caller, is zero at first and released with pl_server_load_clear().  Reports come from answers and
 * from health checks of this host; the hosts do not exchange them.
 */
#ifndef POMELOLATCH_SERVER_LOAD_H
#define POMELOLATCH_SERVER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* A load report, as sent with an answer. */
struct pl_load_report
{
  int running; /* requests */
  int waiting; /* requests */
  int slots;
  int work_percent; /* time that work takes there now, of the usual; 0: not reported */
};

/* Objects that are remembered for each server.  Servers of the reference deployments cache fewer
 * than this. */
#define PL_WARM_OBJECTS 64

struct pl_warm_object
{
  uint32_t object;  /* a name of it, from its hash; 0: none */
  uint32_t seen_ms; /* when the server last answered a request for it; wraps around */
};

struct pl_server_load
{
  int requests;     /* running and waiting by the last report */
  int own_requests; /* in flight from this host at that time */
  int slots;        /* 0: unknown */
  int work_percent; /* by the last report that had it, within bounds; 0: none had */
  double usual;     /* average of the reported speeds, as a ratio; 0: none was reported */
  int64_t reported_us;
  int64_t work_reported_us;
  int64_t body_bytes;          /* of the requests that this host has there */
  struct pl_warm_object *warm; /* PL_WARM_OBJECTS by the object's hash; NULL: none yet */
};

void pl_server_load_clear (struct pl_server_load *load);

/* Forgets what does not outlive a restart of the server. */
void pl_server_load_reset (struct pl_server_load *load);

/* Records REPORT; OWN_REQUESTS are in flight from this host.  Counts that are negative or exceed
 * what a server can have are limited. */
void pl_server_load_record (struct pl_server_load *load, const struct pl_load_report *report,
                            int own_requests, int64_t now_us);

/* Records that the server is full, as it has rejected a request without a report.  SLOTS is what it
 * registered. */
void pl_server_load_record_full (struct pl_server_load *load, int slots, int own_requests,
                                 int64_t now_us);

/* Returns the number of requests running and waiting, where OWN_REQUESTS are in flight from this
 * host: those of other hosts count less the older the report is. */
double pl_server_load_requests (const struct pl_server_load *load, int own_requests,
                                int64_t now_us);

/* Returns how long work takes, relative to the usual (2.5: two and a half times as long).  The
 * older the report, the closer to the average of the server's reports, which is 1 at first. */
double pl_server_load_slowdown (const struct pl_server_load *load, int64_t now_us);

/* Returns the age of the last report of the speed; -1: there was none. */
int64_t pl_server_load_work_age_us (const struct pl_server_load *load, int64_t now_us);

/* Returns the expected time until the answer to a request, in microseconds.  REQUESTS: its load in
 * slots with that request; WORK_US: the usual time of a request without waiting. */
double pl_server_load_expected_us (const struct pl_server_load *load, double requests,
                                   double work_us, int64_t now_us);

/* Records that the server has answered a request for OBJECT, whose hash is not 0. */
void pl_server_load_record_object (struct pl_server_load *load, uint64_t object, int64_t now_us);

/* Returns whether the server has answered a request for OBJECT so recently that it is likely to
 * have it in its cache. */
bool pl_server_load_is_warm (const struct pl_server_load *load, uint64_t object, int64_t now_us);

/* Returns whether this host may send a body of BODY_BYTES to a server with SLOTS.  BODY_SHARE: the
 * largest body that callers may send, divided by the number of hosts; 0: no bound.  One body is
 * always allowed. */
bool pl_server_load_has_room (const struct pl_server_load *load, int slots, int64_t body_bytes,
                              int64_t body_share);

/* Reports that could not be read. */
struct pl_load_findings
{
  uint64_t count;
  int64_t second;    /* to which LOGGED applies */
  int logged;        /* log lines */
  uint64_t left_out; /* findings without a log line, since the last one that had one */
};

/* Counts a finding.  Returns whether it gets a log line, which few a second do; then *LEFT_OUT gets
 * the number of those before it that got none. */
bool pl_load_findings_add (struct pl_load_findings *findings, uint64_t *left_out, int64_t now_us);

#endif
