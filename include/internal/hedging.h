/* hedging.h - second copies of slow requests, and the budgets of retries and copies.
 *
 * API tier: private.
 *
 * Does no I/O and keeps no state of single requests: a caller of this interface asks whether a
 * request gets a copy, sends it, and reports latencies and ends.  All times are in microseconds.
 */
#ifndef POMELOLATCH_HEDGING_H
#define POMELOLATCH_HEDGING_H

#include "pomelolatch/histogram.h"

#include <glib.h>
#include <stdbool.h>

struct pl_hedging_options
{
  double retry_ratio; /* retries and copies per request, over the fleet */
  double retry_slack; /* further ones in a burst, over the fleet */
  double hedge_ratio; /* fraction of the requests that may get a copy; 0: none */
};

/* Why a request gets a copy or none. */
enum pl_hedging_verdict
{
  PL_HEDGING_COPY,
  PL_HEDGING_SUSPECT,         /* a server has failed while it ran the request */
  PL_HEDGING_UNREACHED,       /* this host may be cut off from the servers */
  PL_HEDGING_OVER_RATE,       /* the account has used up its rate */
  PL_HEDGING_CONTENDED,       /* the servers of the service have no capacity to spare */
  PL_HEDGING_NO_TIME,         /* the copy could not be answered in the time left */
  PL_HEDGING_NO_BUDGET,       /* the hedge_ratio is used up */
  PL_HEDGING_NO_RETRY_BUDGET, /* retries and earlier copies have used up their budget */
  PL_HEDGING_NO_SERVER,       /* no other server is warm and free; found by the placement */
  PL_HEDGING_VERDICT_COUNT,
};

/* Names in logs and metrics. */
extern const char *const pl_hedging_verdict_names[PL_HEDGING_VERDICT_COUNT];

/* Tokens of a service; each buys one retry or copy. */
struct pl_hedging_service
{
  double retry_tokens;
  double copy_tokens;
  int64_t refused_us; /* when a request was last refused for lack of capacity; 0: never */
};

/* Recent latencies of a route: those of the attempts that are no copies, measured from the sending.
 * An attempt that was cancelled as its copy won counts with its time until then.  Its latency would
 * have been higher, but both lie above the delay, so that the quantile is the same. */
struct pl_hedging_route
{
  struct pl_histogram recent;
  struct pl_histogram previous; /* the generation before */
  int64_t recent_since_us;
  /* derived from both generations */
  unsigned samples;
  int64_t delay_us;
  int64_t median_us;
};

struct pl_hedging
{
  struct pl_hedging_options options;
  GArray *services; /* of struct pl_hedging_service, by handle of the service */
  uint64_t sent;
  uint64_t won;       /* copies whose answer was delivered */
  uint64_t cancelled; /* copies cancelled before they had ended */
  uint64_t verdicts[PL_HEDGING_VERDICT_COUNT];
};

/* A request at a server, and what is known of its service. */
struct pl_hedging_request
{
  int service; /* handle */
  bool is_suspect;
  bool reaches_servers; /* connections to servers are established */
  bool over_rate;
  int waiting;       /* requests for the service that wait for a slot */
  bool is_contended; /* capacity of the service is divided between accounts, see fair_share.h */
  double late_ratio; /* fraction of the service's answers that are late, 0 to 1 */
  int64_t time_left_us;
};

void pl_hedging_init (struct pl_hedging *hedging, const struct pl_hedging_options *options);
void pl_hedging_clear (struct pl_hedging *hedging);

/* Adds to the budgets of SERVICE for a request that has just arrived; HOSTS: number of hosts that
 * share the fleet's budget of retries. */
void pl_hedging_on_request (struct pl_hedging *hedging, int service, int hosts);
/* A request for SERVICE was refused for lack of capacity, or since its account is above its fair
 * share. */
void pl_hedging_on_refusal (struct pl_hedging *hedging, int service, int64_t now_us);

/* Takes a token for a retry at SERVICE.  Returns false when there is none. */
bool pl_hedging_spend_retry (struct pl_hedging *hedging, int service);
/* Takes the tokens for a copy, which pl_hedging_judge() has allowed. */
void pl_hedging_spend_copy (struct pl_hedging *hedging, int service);

/* Returns the budgets of SERVICE; borrowed until the next service is added. */
const struct pl_hedging_service *pl_hedging_budgets (struct pl_hedging *hedging, int service);

/* Returns the quantile of a route's recent latencies after which a copy is sent, 0 to 1. */
double pl_hedging_quantile (const struct pl_hedging *hedging);

/* Records a latency of *ROUTE, which is allocated at its first one, to be freed with g_free(). Does
 * nothing while hedging is off. */
void pl_hedging_record_latency (const struct pl_hedging *hedging, struct pl_hedging_route **route,
                                int64_t latency_us, int64_t now_us);

/* Returns when a copy of a request of ROUTE (may be NULL) that is sent now is due, or INT64_MAX:
 * hedging is off, there are too few samples, or the copy could not be answered by DEADLINE_US. */
int64_t pl_hedging_due_us (const struct pl_hedging *hedging, const struct pl_hedging_route *route,
                           int64_t deadline_us, int64_t now_us);

/* Decides whether REQUEST, whose copy is due, gets one.  Spends nothing. */
enum pl_hedging_verdict pl_hedging_judge (struct pl_hedging *hedging,
                                          const struct pl_hedging_route *route,
                                          const struct pl_hedging_request *request, int64_t now_us);

/* Appends counters in the Prometheus text format. */
void pl_hedging_metrics (const struct pl_hedging *hedging, GString *text);

#endif
