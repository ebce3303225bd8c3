/* Division of a region's requests between the regions.
 *
 * The controller is an integrator of bounded speed: when the own region's utilisation is above its
 * target, one unit of its requests goes to the region with the most free capacity; when it is
 * below, one unit comes back.  It acts on the utilisation expected some seconds ahead, since the
 * rate of change is bounded and demand may rise faster than that.
 *
 * Each host sees a sample of the reports only and integrates its noise, so that the plans of hosts
 * of the same region would diverge.  The target therefore falls as the fraction that is kept rises
 * (droop), which pulls the plans of hosts together.
 */
#include "internal/region_plan.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

/* The latest report of each server counts half after this time.  All servers count nearly alike:
 * those with more load send more reports, and would make a region look fuller than it is. */
#define REPORT_HALF_LIFE_US 2e6
/* A region with no later report is unknown. */
#define REPORT_MAX_US INT64_C (4000000)
/* Fraction of max_shift that a plan may use in WINDOW_US: less than half, since requests also
 * change their region when a server is full or fails. */
#define SHIFT_RATIO 0.45
#define WINDOW_US INT64_C (2000000)
#define UNITS_MIN 100
#define UNITS_MAX 100000
/* Updates that are made up for when a host was held up; a longer gap is no reason for a larger
 * step. */
#define CATCH_UP_PERIODS 4
/* Near the target, the own region gets a unit back in two of three periods and loses one in one of
 * two; far from it, in each.  The hosts of a region differ by the noise of their reports, and
 * differ less when those that are far from their target move faster. */
#define FAR_FROM_TARGET 0.15
#define RAISE_PAUSE_PERIODS 3
#define LOWER_PERIODS 2
/* Without reports a unit is moved in every second period only, as there is no hurry. */
#define RETURN_PERIODS 2
/* Half-lives of two averages of the utilisation.  It is extrapolated by a multiple of their
 * difference, about one second ahead. */
#define UTILISATION_HALF_LIFE_US 5e5
#define AVERAGE_HALF_LIFE_US 1e6
#define LEAD_FACTOR 1.0
/* Bounds of the target.  With more than 0.7 a region is above its slots before the bounded rate of
 * change has followed a wave of 55% in 36 s. */
#define TARGET_MIN 0.5
#define TARGET_MAX 0.7
#define TARGET_STEP 0.05
/* A server with c slots that does requests in w answers all but a tenth of them within the
 * objective o up to a utilisation of about 1 - 1.3 w / (c (o - w)) (Erlang C). */
#define WAIT_FACTOR 1.3
/* The target falls by this times the fraction that is kept above the one at the start.  With 0.2
 * the fractions of four hosts of a region were 0.4 apart after a minute; with 0.4, requests of 0.04
 * of the least more left a region in waves with a mean load of 0.35 (trials). */
#define DROOP 0.3
/* No unit is moved between these distances above and below the target.  The lower one is smaller,
 * as noise would otherwise empty the region. */
#define LOWER_BAND 0.08
#define RAISE_BAND 0.03
/* Other regions get requests up to this much below the target, so that they do not send their own
 * requests away in turn. */
#define GUEST_MARGIN 0.05
#define FREE_MIN 0.02
/* The units of other regions may differ from their free capacity by this much. */
#define DIVISION_TOLERANCE 4.0
/* The own region keeps this fraction at least, so that there are reports from it. */
#define OWN_FRACTION_MIN 0.05
/* Weight per slot that regions without units have, as a fraction of the average: they are used when
 * all others have no eligible server. */
#define WEIGHT_MIN 0.002
#define OBJECTIVE_SMOOTHING (1.0 / 64)
/* A change of the own fraction that is logged, and the time between two log lines. */
#define LOG_CHANGE 0.05
#define LOG_PERIOD_US INT64_C (2000000)
/* Requests for each slot that a report may count: a server queues three at most, and one that
 * reports more must not empty its region. */
#define LOAD_MAX_RATIO 4

void
pl_region_input_add_report (struct pl_region_input *input, int load, int slots, int64_t age_us)
{
  double count = exp2 (-(double) MAX (age_us, 0) / REPORT_HALF_LIFE_US);

  if (slots <= 0 || age_us > REPORT_MAX_US)
    return;
  if (!input->is_known || age_us < input->report_age_us)
    input->report_age_us = MAX (age_us, 0);
  input->is_known = true;
  input->reported_slots += slots * count;
  input->reported_load += MIN (load, slots * LOAD_MAX_RATIO) * count;
}

void
pl_region_plan_note_objective (struct pl_region_plan *plan, int64_t objective_us)
{
  if (objective_us <= 0)
    return;
  plan->objective_us += plan->objective_us <= 0
                            ? (double) objective_us
                            : OBJECTIVE_SMOOTHING * ((double) objective_us - plan->objective_us);
}

/* Returns the number of units with which one unit per period stays within MAX_SHIFT. */
static int
count_units (double max_shift)
{
  double moves = (double) WINDOW_US / (double) PL_REGION_PLAN_PERIOD_US;

  return (int) fmin (fmax (ceil (moves / (SHIFT_RATIO * max_shift)), UNITS_MIN), UNITS_MAX);
}

/* Divides all units in proportion to SHARES, by largest remainder. */
static void
divide_units (struct pl_region_plan *plan, const double *shares)
{
  double remainders[PL_REGION_PLAN_REGIONS_MAX];
  double sum = 0;
  int left = plan->total;

  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    sum += shares[r];
  if (sum <= 0)
    return;
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    {
      double units = plan->total * shares[r] / sum;

      plan->regions[r].units = (int) units;
      remainders[r] = units - floor (units);
      left -= plan->regions[r].units;
    }
  assert (left >= 0 && left <= PL_REGION_PLAN_REGIONS_MAX);
  for (; left > 0; left--)
    {
      int largest = 0;

      for (int r = 1; r < PL_REGION_PLAN_REGIONS_MAX; r++)
        if (remainders[r] > remainders[largest])
          largest = r;
      plan->regions[largest].units++;
      remainders[largest] = -1;
    }
}

/* Sets SHARES to those of the constant weights. */
static void
get_constant_shares (const struct pl_region_plan *plan, double *shares)
{
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    shares[r] = plan->regions[r].slots * (r == plan->own_region ? PL_REGION_OWN_WEIGHT : 1);
}

/* Starts with the fraction that the own region's slots can take of an equal share of the demand, so
 * that a host begins near what its peers have come to. */
static void
set_start (struct pl_region_plan *plan)
{
  const struct pl_region_plan_region *own = &plan->regions[plan->own_region];
  double shares[PL_REGION_PLAN_REGIONS_MAX] = {0};
  int regions = own->slots == 0;
  int slots = 0;
  double fraction;

  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    {
      slots += plan->regions[r].slots;
      regions += plan->regions[r].slots > 0;
    }
  fraction = fmin ((double) own->slots / slots * regions, 1);
  plan->start_fraction = fraction;
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    shares[r] = r == plan->own_region ? fraction
                : own->slots < slots
                    ? (1 - fraction) * plan->regions[r].slots / (slots - own->slots)
                    : 0;
  divide_units (plan, shares);
  plan->has_started = true;
}

/* Returns the most slots that REGION has had in the last periods, SLOTS now.  The ranking passes
 * over lost servers by itself, so that a short loss, such as that of a server with a tripped
 * breaker, needs no change of the plan; units come back slowly. */
static int
most_recent_slots (struct pl_region_plan_region *region, int slots)
{
  int most = slots;

  for (int i = PL_REGION_PLAN_LOSS_PERIODS - 1; i > 0; i--)
    {
      region->recent_slots[i] = region->recent_slots[i - 1];
      most = MAX (most, region->recent_slots[i]);
    }
  region->recent_slots[0] = slots;
  return most;
}

/* Takes over the slots of INPUTS.  Regions that lose slots for some periods lose units in
 * proportion.  Regions that gain slots keep their units. */
static void
set_slots (struct pl_region_plan *plan, const struct pl_region_input *inputs)
{
  double shares[PL_REGION_PLAN_REGIONS_MAX];
  bool is_lost = false;

  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    {
      struct pl_region_plan_region *region = &plan->regions[r];
      int slots = most_recent_slots (region, inputs[r].slots);

      shares[r] = region->units + WEIGHT_MIN * slots;
      if (slots < region->slots)
        {
          shares[r] *= (double) slots / region->slots;
          is_lost = true;
        }
      region->slots = slots;
    }
  if (is_lost && plan->has_started)
    divide_units (plan, shares);
}

/* Moves AVERAGE towards SAMPLE by as much as PERIODS and HALF_LIFE_US call for. */
static void
update_average (double *average, double sample, int64_t periods, double half_life_us)
{
  double kept = exp2 (-(double) (periods * PL_REGION_PLAN_PERIOD_US) / half_life_us);

  *average = sample + kept * (*average - sample);
}

static void
set_utilisation (struct pl_region_plan_region *region, const struct pl_region_input *input,
                 int64_t periods)
{
  bool was_known = region->is_known;
  double sample;

  region->is_known = input->is_known;
  if (!region->is_known)
    return;
  sample = input->reported_load / input->reported_slots;
  if (!was_known)
    region->utilisation = region->average = sample;
  update_average (&region->utilisation, sample, periods, UTILISATION_HALF_LIFE_US);
  update_average (&region->average, region->utilisation, periods, AVERAGE_HALF_LIFE_US);
  region->report_age_us = input->report_age_us;
}

static double
expected_utilisation (const struct pl_region_plan_region *region)
{
  return fmax (region->utilisation + LEAD_FACTOR * (region->utilisation - region->average), 0);
}

/* Returns the utilisation at which servers still answer within the latency objective. */
static double
choose_target (const struct pl_region_plan *plan, const struct pl_region_plan_options *options)
{
  double slack_us = plan->objective_us - options->work_us;
  double target = TARGET_MAX;

  if (plan->objective_us > 0 && options->work_us > 0)
    target = slack_us > 0 ? 1 - WAIT_FACTOR * options->work_us / (options->server_slots * slack_us)
                          : TARGET_MIN;
  target = floor (target / TARGET_STEP + 0.5) * TARGET_STEP;
  return fmin (fmax (target, TARGET_MIN), TARGET_MAX);
}

/* Returns the utilisation that the own region is to have: the target with its droop, or that of the
 * other regions if it is higher, as requests gain nothing there then. */
static double
choose_own_utilisation (const struct pl_region_plan *plan)
{
  double fraction = (double) plan->regions[plan->own_region].units / plan->total;
  double target = fmax (plan->target + DROOP * (plan->start_fraction - fraction), TARGET_MIN);
  double load = 0;
  double slots = 0;

  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    if (r != plan->own_region && plan->regions[r].is_known)
      {
        load += plan->regions[r].utilisation * plan->regions[r].slots;
        slots += plan->regions[r].slots;
      }
  return slots > 0 ? fmax (target, load / slots) : target;
}

/* Sets EXCESS to the units of each other region above those that its free capacity justifies. */
static void
get_excess (const struct pl_region_plan *plan, double *excess)
{
  double free_slots[PL_REGION_PLAN_REGIONS_MAX] = {0};
  double sum = 0;
  int units = plan->total - plan->regions[plan->own_region].units;

  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    {
      const struct pl_region_plan_region *region = &plan->regions[r];
      double expected = region->is_known ? expected_utilisation (region) : plan->target / 2;

      if (r == plan->own_region)
        continue;
      free_slots[r] = region->slots * fmax (plan->target - GUEST_MARGIN - expected, FREE_MIN);
      sum += free_slots[r];
    }
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    excess[r] = plan->regions[r].units - (sum > 0 ? units * free_slots[r] / sum : 0);
}

static void
move_unit (struct pl_region_plan *plan, int from, int to)
{
  if (plan->regions[from].units == 0)
    return;
  plan->regions[from].units--;
  plan->regions[to].units++;
}

/* Finds the regions of the highest and of the lowest EXCESS; OMITTED or PL_NONE is not considered.
 * Both are negative if there is no other region with slots. */
static void
find_extremes (const struct pl_region_plan *plan, const double *excess, int omitted, int *highest,
               int *lowest)
{
  *highest = *lowest = -1;
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    {
      if (r == omitted || (plan->regions[r].slots == 0 && plan->regions[r].units == 0))
        continue;
      if (plan->regions[r].units > 0 && (*highest < 0 || excess[r] > excess[*highest]))
        *highest = r;
      if (plan->regions[r].slots > 0 && (*lowest < 0 || excess[r] < excess[*lowest]))
        *lowest = r;
    }
}

/* Moves one unit towards the constant weights. */
static void
step_to_constants (struct pl_region_plan *plan)
{
  struct pl_region_plan goal = *plan;
  double shares[PL_REGION_PLAN_REGIONS_MAX];
  double excess[PL_REGION_PLAN_REGIONS_MAX];
  int highest;
  int lowest;

  get_constant_shares (plan, shares);
  divide_units (&goal, shares);
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    excess[r] = plan->regions[r].units - goal.regions[r].units;
  find_extremes (plan, excess, -1, &highest, &lowest);
  if (highest >= 0 && lowest >= 0 && excess[highest] > 0)
    move_unit (plan, highest, lowest);
}

/* Returns whether there are reports from the own region, or from others if it has no servers. */
static bool
has_recent_reports (const struct pl_region_plan *plan)
{
  const struct pl_region_plan_region *own = &plan->regions[plan->own_region];

  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX && own->slots == 0; r++)
    if (plan->regions[r].is_known)
      return true;
  return own->is_known;
}

/* Moves at most one unit, as the utilisation in period NUMBER demands. */
static void
step (struct pl_region_plan *plan, int64_t number)
{
  struct pl_region_plan_region *own = &plan->regions[plan->own_region];
  double wanted = choose_own_utilisation (plan);
  double expected = expected_utilisation (own);
  bool is_far;
  double excess[PL_REGION_PLAN_REGIONS_MAX];
  int highest;
  int lowest;

  get_excess (plan, excess);
  find_extremes (plan, excess, plan->own_region, &highest, &lowest);
  is_far = fabs (expected - wanted) > FAR_FROM_TARGET;
  if (own->slots > 0 && expected > wanted + LOWER_BAND)
    {
      if (lowest >= 0 && own->units > plan->total * OWN_FRACTION_MIN
          && (is_far || number % LOWER_PERIODS == 0))
        move_unit (plan, plan->own_region, lowest);
    }
  else if (own->slots > 0 && expected < wanted - RAISE_BAND)
    {
      if (highest >= 0 && (is_far || number % RAISE_PAUSE_PERIODS != 0))
        move_unit (plan, highest, plan->own_region);
    }
  else if (highest >= 0 && lowest >= 0 && excess[highest] - excess[lowest] > 2 * DIVISION_TOLERANCE)
    move_unit (plan, highest, lowest);
}

static void
set_weights (struct pl_region_plan *plan)
{
  int slots = 0;

  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    slots += plan->regions[r].slots;
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    {
      struct pl_region_plan_region *region = &plan->regions[r];

      region->weight = WEIGHT_MIN;
      if (region->slots > 0)
        region->weight += (double) region->units / plan->total * slots / region->slots;
    }
}

void
pl_region_plan_update (struct pl_region_plan *plan, const struct pl_region_plan_options *options,
                       const struct pl_region_input *inputs, int64_t now_us)
{
  int64_t period = now_us / PL_REGION_PLAN_PERIOD_US;
  int64_t periods = plan->has_started ? MIN (period - plan->period, CATCH_UP_PERIODS) : 1;
  int slots = 0;

  if (options->own_region < 0 || options->max_shift <= 0)
    {
      plan->has_started = false;
      return;
    }
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    slots += inputs[r].slots;
  /* After the loss of all servers the plan starts anew: the units of the first region that comes
   * back would else be all there are. */
  if (slots == 0)
    plan->has_started = plan->has_reports = false;
  if (periods <= 0 || slots == 0)
    return;
  plan->own_region = options->own_region;
  plan->total = count_units (options->max_shift);
  plan->target = choose_target (plan, options);
  set_slots (plan, inputs);
  for (int r = 0; r < PL_REGION_PLAN_REGIONS_MAX; r++)
    set_utilisation (&plan->regions[r], &inputs[r], periods);
  if (!plan->has_started || !plan->has_reports)
    set_start (plan);
  for (int64_t i = 1 - periods; plan->has_reports && i <= 0; i++)
    {
      if (has_recent_reports (plan))
        step (plan, period + i);
      else if ((period + i) % RETURN_PERIODS == 0)
        step_to_constants (plan);
    }
  plan->has_reports = plan->has_reports || has_recent_reports (plan);
  plan->period = period;
  set_weights (plan);
}

double
pl_region_plan_weight (const struct pl_region_plan *plan, int own_region, int region)
{
  if (!plan->has_started)
    return region == own_region ? PL_REGION_OWN_WEIGHT : 1;
  return region >= 0 ? plan->regions[region].weight : 1;
}

double
pl_region_plan_fraction (const struct pl_region_plan *plan, int region)
{
  return plan->has_started ? (double) plan->regions[region].units / plan->total : 0;
}

bool
pl_region_plan_needs_log (struct pl_region_plan *plan, int64_t now_us)
{
  int units = plan->has_started ? plan->regions[plan->own_region].units : 0;

  if (!plan->has_started || abs (units - plan->logged_units) < plan->total * LOG_CHANGE
      || (plan->logged_us > 0 && now_us - plan->logged_us < LOG_PERIOD_US))
    return false;
  plan->logged_us = now_us;
  plan->logged_units = units;
  return true;
}
