/* fair_share.h - divides the capacity of a contended service between client accounts.
 *
 * API tier: private.
 *
 * While a service is contended, this host keeps a fair level for it: the ratio of use to weight up
 * to which the requests of an account are all admitted.  Those of an account above the level are
 * admitted with the probability level * weight / use, so that each account gets the smaller of its
 * use and its share (core-stateless fair queueing: Stoica, Shenker, Zhang, SIGCOMM 1998).
 *
 * The weight of an account is its configured rate.  Its use is the rate of its requests over the
 * fleet, from the reports that hosts exchange for rate limiting.
 *
 * Units: times are in microseconds, rates and weights in requests per second, ratios from 0 to 1.
 * Calls can not fail.  Quotas are borrowed for the call.
 */
#ifndef POMELOLATCH_FAIR_SHARE_H
#define POMELOLATCH_FAIR_SHARE_H

#include "internal/quota.h"
#include "internal/server_load.h"
#include "pomelolatch/histogram.h"

/* What an account uses, as known to this host.  Zeroed at first. */
struct pl_share_account
{
  double own_rate; /* of requests to this host, as of own_us */
  int64_t own_us;
  double others_rate;  /* of requests to other hosts, as of others_us */
  int64_t others_us;   /* 0: never computed */
  int64_t reported_us; /* when other hosts last reported use; 0: never */
  double late_ratio;   /* moving average of the requests that seem to be late on arrival */
};

/* What is known of a service whose load is managed. */
struct pl_share_service
{
  double level;     /* fair level; 0: none is in force, all requests are admitted */
  double ratio_max; /* the largest recent ratio of use to weight, as of ratio_us */
  int64_t ratio_us;
  double busy_ratio;   /* moving average of the busy fraction of its servers' slots */
  double missed_ratio; /* moving average of the outcomes that were PL_SHARE_MISSED */
  double answer_us;    /* moving average of the expected time to an answer; 0: unknown */
  double work_us;      /* moving average of the time of one request without waiting; 0: unknown */
  int64_t first_us;    /* the first outcome */
  int64_t sampled_us;  /* the last outcome; 0: none */
  uint64_t admitted;
  uint64_t refused;
  struct pl_histogram waiting; /* times from arrival to the sending or the refusal */
};

struct pl_fair_share
{
  GPtrArray *services;          /* of struct pl_share_service, by handle; NULL: not managed */
  struct pl_share_account open; /* of all requests without an account */
  double mean_weight;           /* of accounts without a configured rate */
  uint32_t random;
};

/* SEED differs between hosts, whose random choices must be independent. */
void pl_fair_share_init (struct pl_fair_share *shares, uint64_t seed);
void pl_fair_share_clear (struct pl_fair_share *shares);

/* Sets the weight of accounts without a configured rate.  0: no account has one. */
void pl_fair_share_set_mean_weight (struct pl_fair_share *shares, double mean_weight);

/* A request that has arrived within the rate of its account. */
struct pl_share_request
{
  int service;                      /* handle */
  struct pl_share_account *account; /* NULL: of no account */
  const struct pl_quota *quota;     /* of the account; NULL: of no account */
  int hosts;                        /* live hosts of the fleet, with this one */
  bool is_retry;                    /* its caller was told to come again */
  int64_t time_left_us;             /* of its caller */
  int64_t objective_us;
  int64_t on_time_us; /* until the end of the objective, from the caller's first attempt */
};

enum pl_share_decision
{
  PL_SHARE_ADMITTED,
  PL_SHARE_OVER_SHARE, /* its account uses more than its share */
  PL_SHARE_TOO_LATE,   /* it is late already, and others would be with it */
  PL_SHARE_NO_TIME,    /* its caller does not wait for as long as the work takes */
};

/* What decided on a request, for logs. */
struct pl_share_verdict
{
  enum pl_share_decision decision;
  int64_t on_time_us; /* as in the request, or the objective if that can not be right */
  double level;       /* 0: none in force */
  double use;
  double weight;
  int64_t age_us; /* of the last report of other hosts on the use; -1: there was none */
};

/* Decides on REQUEST and counts it as use. */
struct pl_share_verdict pl_fair_share_admit (struct pl_fair_share *shares,
                                             const struct pl_share_request *request,
                                             int64_t now_us);

/* What became of an admitted request, which tells whether the service has room. */
enum pl_share_outcome
{
  PL_SHARE_FREE,   /* its server has a free slot */
  PL_SHARE_BUSY,   /* its server has none, but would still answer in time */
  PL_SHARE_MISSED, /* no server could answer it in time, or its server would not answer another */
};

/* The answer of a server to an admitted request. */
struct pl_share_answer
{
  bool is_rejected; /* the server has not run the request */
  bool is_failure;  /* it tells nothing of how long the work takes */
  bool is_late;
  int64_t latency_us;
  bool has_load;
  struct pl_load_report load;
  int64_t objective_us;
};

/* Records OUTCOME.  ANSWER_US: the time in which its server is expected to answer one more request;
 * 0: unknown.  BUSY_RATIO: the fraction of its slots that are busy; negative: unknown. */
void pl_fair_share_record (struct pl_fair_share *shares, int service, enum pl_share_outcome outcome,
                           double answer_us, double busy_ratio, int64_t now_us);

/* Records the outcome that ANSWER shows. */
void pl_fair_share_record_answer (struct pl_fair_share *shares, int service,
                                  const struct pl_share_answer *answer, int64_t now_us);

/* Records that an admitted request waited for WAITED_US until it was sent or refused. */
void pl_fair_share_record_waiting (struct pl_fair_share *shares, int service, int64_t waited_us);

/* Returns whether SERVICE is contended: a request that can only be answered late takes time from
 * others that could be answered in time. */
bool pl_fair_share_is_contended (const struct pl_fair_share *shares, int service);

/* Returns how long a server of SERVICE, which is contended, may take for a request that is in time
 * for another ON_TIME_US. */
int64_t pl_fair_share_answer_max_us (const struct pl_fair_share *shares, int service,
                                     int64_t on_time_us);

/* Returns after which time a refused request is to come again.  VERDICT NULL: it was refused for
 * lack of capacity.  TIME_LEFT_US: of its caller. */
int64_t pl_fair_share_retry_after_us (struct pl_fair_share *shares, int service,
                                      const struct pl_share_verdict *verdict, int64_t time_left_us);

/* Returns the state of SERVICE, or NULL if its load was never managed. */
const struct pl_share_service *pl_fair_share_find (const struct pl_fair_share *shares, int service);

#endif
