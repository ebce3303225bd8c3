/* region_plan.h - which fraction of a region's requests for a service runs in which region.
 *
 * API tier: private.
 *
 * Requests stay in their own region as long as its servers keep a target load; the rest is divided
 * between the other regions in proportion to their free capacity.  The fractions are counted in
 * units, of which one is moved from one region to another per period, so that hosts that see the
 * same reports compute the same plan, and the rate of change is bounded.
 *
 * Does no I/O, reads no clock and allocates nothing.  A plan of zeros has not started.
 */
#ifndef POMELOLATCH_REGION_PLAN_H
#define POMELOLATCH_REGION_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#define PL_REGION_PLAN_REGIONS_MAX 32
#define PL_REGION_PLAN_PERIOD_US INT64_C (250000)
/* Weight of the own region where there is no plan.  It is high enough to keep more than half of the
 * requests in their region, and low enough that a region with few servers is not filled by its own
 * requests. */
#define PL_REGION_OWN_WEIGHT 2.0

/* What is known of the servers of a region. */
struct pl_region_input
{
  int slots;             /* of usable servers */
  bool is_known;         /* there is a recent report */
  int64_t report_age_us; /* of the latest report, if is_known */
  double reported_slots; /* sums over the servers with reports, which count less with their age */
  double reported_load;  /* requests running and waiting */
};

/* Updates for which slots must be lost before the plan follows: a server whose breaker trips is
 * back after half a second. */
#define PL_REGION_PLAN_LOSS_PERIODS 4

struct pl_region_plan_region
{
  int units;
  int slots;                                     /* the most at the last updates */
  int recent_slots[PL_REGION_PLAN_LOSS_PERIODS]; /* the latest first */
  bool is_known;      /* there is a recent report, and utilisation is set */
  double utilisation; /* requests running and waiting per slot */
  double average;     /* of the utilisation, over a longer time */
  int64_t report_age_us;
  double weight; /* in the ranking, per slot */
};

struct pl_region_plan
{
  bool has_started; /* the regions have units */
  bool has_reports; /* there have been reports, see has_recent_reports() */
  int own_region;
  int total;      /* units */
  int64_t period; /* number of the one of the last update */
  double
      start_fraction;  /* of the own region: what its slots take of an equal share of the demand */
  double target;       /* utilisation of the own region's servers */
  double objective_us; /* moving average over requests; 0: unknown */
  int64_t logged_us;   /* used by pl_region_plan_needs_log() */
  int logged_units;
  struct pl_region_plan_region regions[PL_REGION_PLAN_REGIONS_MAX];
};

struct pl_region_plan_options
{
  int own_region;      /* an index, or negative: unknown, and there is no plan */
  double max_shift;    /* see struct pl_router_options; 0: there is no plan */
  double work_us;      /* of one request without waiting; 0: unknown */
  double server_slots; /* of a server, on average */
};

/* Adds a server with LOAD requests in SLOTS slots, by its latest load report, to INPUT. */
void pl_region_input_add_report (struct pl_region_input *input, int load, int slots,
                                 int64_t age_us);

/* Records the latency objective of a request. */
void pl_region_plan_note_objective (struct pl_region_plan *plan, int64_t objective_us);

/* Updates PLAN from INPUTS, one for each of PL_REGION_PLAN_REGIONS_MAX regions, if a new period has
 * begun.  Periods are counted from the origin of the clock, not from the start of the host. */
void pl_region_plan_update (struct pl_region_plan *plan,
                            const struct pl_region_plan_options *options,
                            const struct pl_region_input *inputs, int64_t now_us);

/* Returns the weight per slot of the servers of REGION for requests of OWN_REGION, relative to
 * others of the same service.  REGION may be negative: unknown. */
double pl_region_plan_weight (const struct pl_region_plan *plan, int own_region, int region);

/* Returns the fraction of the own region's requests that REGION is to run, or 0 without a plan. */
double pl_region_plan_fraction (const struct pl_region_plan *plan, int region);

/* Returns whether the fraction of the own region has changed enough to be logged since the last
 * time that this was true, at least two seconds ago. */
bool pl_region_plan_needs_log (struct pl_region_plan *plan, int64_t now_us);

#endif
