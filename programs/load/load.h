/* load.h - parts of the load generator.
 *
 * API tier: private.
 */
#ifndef LOAD_H
#define LOAD_H

#include "internal/http_client.h"
#include "pomelolatch/findings.h"
#include "pomelolatch/histogram.h"

#include <stdbool.h>
#include <stdio.h>

#define LOAD_REASONS_MAX 24

/* plan.c: the plan of a run, read from a settings file. */
struct load_account
{
  const char *name;
  const char *key;
  double rate;
  double burst;
  double offered; /* requests a second */
};

struct load_route
{
  const char *path;
  const char *method;
  int weight;
  bool unrepeatable;
  int64_t body_bytes;
  int64_t answer_bytes;
  const char *fault; /* the fault argument of the request's target, or NULL */
};

struct load_fault
{
  int64_t at_us;
  const char *post;    /* IP:port/path, or NULL */
  const char *process; /* a name from the file of process ids, or NULL */
  int signal;
  const char *release; /* a release note to apply, or NULL */
  bool done;
};

struct load_plan
{
  json_t *json;    /* owns all strings */
  json_t *lookups; /* addresses to which look-ups of entry hosts are sent */
  const char *platform;
  const char *entry; /* address that all requests go to, or NULL */
  const char *operator_key;
  const char *operator_address;
  int64_t duration_us;
  uint32_t seed;
  bool resend;
  GArray *accounts; /* of struct load_account */
  GArray *routes;
  GArray *faults;
  int weight_sum;
};

/* Returns a plan, or NULL after printing findings. */
struct load_plan *load_plan_read (const char *file);

/* tally.c: the results of an account's requests. */
struct load_tally
{
  const struct load_account *account;
  double tokens; /* of a token bucket with the account's rate and burst */
  int64_t refilled_at_us;
  uint64_t offered;
  uint64_t within_rate; /* arrivals for which the bucket had a token */
  uint64_t served;
  uint64_t served_within_rate;
  uint64_t refused_within_rate;
  uint64_t wrong;
  uint64_t lost;
  const char *reasons[LOAD_REASONS_MAX];
  uint64_t reason_counts[LOAD_REASONS_MAX];
  struct pl_histogram latency;
};

/* The result of a finished request. */
struct load_result
{
  bool within_rate;
  bool served;
  bool wrong;         /* the answer is incomplete or belongs to another request */
  const char *reason; /* interned; NULL when served */
  int64_t latency_us; /* since the time at which it was due */
};

/* Counts an arrival.  Returns whether it is within the account's rate. */
bool load_tally_record_arrival (struct load_tally *tally, int64_t now_us);
void load_tally_record_result (struct load_tally *tally, const struct load_result *result);
void load_tally_print (const struct load_tally *tallies, guint count, double seconds, FILE *out);
void load_tally_write_csv (const struct load_tally *tallies, guint count, const char *label,
                           const char *file);
/* Plots the latency of each account by quantile to a PNG file. */
void load_tally_plot (const struct load_tally *tallies, guint count, const char *file);

/* caller.c: callers, which cache look-ups and send requests. */
struct load_callers;

struct load_callers_options
{
  const struct load_plan *plan;
  struct load_tally *tallies;
  FILE *history; /* JSON lines, or NULL */
};

struct load_callers *load_callers_new (const struct load_callers_options *options);
/* Sends a request of the account at index ACCOUNT that was due at DUE_US. */
void load_callers_send (struct load_callers *callers, guint account, int64_t due_us);
/* Waits at most LIMIT_US until no request is open. */
void load_callers_wait_until_idle (struct load_callers *callers, int64_t limit_us);
/* Stops writing the history, even if requests are still open. */
void load_callers_stop_history (struct load_callers *callers);
/* Returns how many requests were finished so far. */
uint64_t load_callers_count_finished (struct load_callers *callers);
struct pl_http_client *load_callers_get_client (struct load_callers *callers);

/* faults.c: the fault script.  Runs each fault that is due and was not run before. */
void load_faults_run_due (const struct load_plan *plan, struct pl_http_client *client,
                          json_t *processes, int64_t elapsed_us);

#endif
