/* Weighted fair shares between the client accounts of a service.
 *
 * The level follows the outcomes of requests.  Each tells about one server, and all
 * hosts see outcomes of the same servers, so their levels agree on average without
 * messages.  An outcome counts by the time since the one before it, so that the level
 * changes as fast at a host with few requests as at one with many.
 *
 * A level is a ratio of use to weight.  If this host knows only its own requests, all
 * ratios are smaller, and so is the level: it starts below the largest recent ratio.
 */
#include "internal/fair_share.h"

#include <math.h>

/* Time constant of this host's estimate of an account's requests.  Shorter ones give estimates that
 * jump with each request at hosts that get few of them. */
#define OWN_RATE_US 2e6
/* The rate at other hosts is computed again after this time; beacons come less often. */
#define OTHERS_PERIOD_US INT64_C (100000)
/* Time constant of the reaction to outcomes.  An answer takes some hundred milliseconds, and a
 * level that changes faster than the load that it causes oscillates. */
#define REACTION_US 700e3
/* Bounds the effect of one outcome, so that a host with few requests is not misled by some. */
#define OUTCOME_WEIGHT_MAX 0.08
/* Rise of the level with an outcome that shows a free slot, relative to its fall with a missed one.
 * In balance, the missed outcomes are this fraction of those with a free slot.  At 0.4 to
 * 1, slots stayed free under overload; at 2, more answers were late. */
#define RISE_RATIO 1.6
/* The service is contended when more outcomes than this are missed, and more than this fraction of
 * its slots is busy.  With free slots, requests are late since objects are in no cache or single
 * servers are slow, and refusals bring the others nothing. */
#define CONTENDED_MISSED_ABOVE 0.1
#define CONTENDED_BUSY_ABOVE 0.75
/* Requests that are late already are refused if more outcomes than this are missed, or while a
 * level is in force. */
#define REFUSE_LATE_ABOVE 0.4
/* Not before this long after the first outcome: when callers or hosts start, the servers' caches
 * may be cold, and refusals only delay that they get warm. */
#define CONTENDED_AFTER_US INT64_C (2000000)
/* The level does not fall below this fraction of the largest ratio, so that outcomes go on. */
#define LEVEL_MIN_RATIO 0.05
/* Without outcomes for this long, the level doubles in each second. */
#define OUTCOMES_EXPECTED_US INT64_C (500000)
/* Weight of an answer in the average time of a request that does not wait. */
#define WORK_SMOOTHING 0.05
/* Part of the latency objective that the answer of a server may take.  The rest is for the network
 * and for requests that are on their way there. */
#define ON_TIME_RATIO 0.75
/* Part of the time until the end of the objective that a server may take while the service is
 * contended. */
#define ANSWER_RATIO 0.9
/* An answer may take this many times the work in any case: a latency objective shorter than the
 * work is missed by every request, whatever is refused. */
#define WORK_TURNS_MIN 1.5
/* Callers come again once, so that not more than half of an account's requests are retries.  If
 * more than this seem to be late on arrival, its callers wait for less time than others do. */
#define LATE_RATIO_MAX 0.7
#define LATE_SMOOTHING 0.05
/* Half-life of the largest ratio. */
#define RATIO_HALF_LIFE_US 2e6
/* Shortest Retry-After: the time that a refused caller needs to come again anyway. */
#define RETRY_AFTER_MIN_US 80e3
/* Used while no time to an answer is known. */
#define RETRY_AFTER_UNKNOWN_US 150e3
/* A refused request of an account above its share waits longer, by up to this factor. */
#define RETRY_AFTER_FACTOR_MAX 4.0
/* Callers honour a Retry-After of up to this fraction of the time that they have left. */
#define RETRY_AFTER_LEFT_RATIO (1.0 / 3)

void
pl_fair_share_init (struct pl_fair_share *shares, uint64_t seed)
{
  *shares = (struct pl_fair_share){
      .services = g_ptr_array_new_with_free_func (g_free),
      .random = (uint32_t) (seed ^ seed >> 32) | 1,
  };
}

void
pl_fair_share_clear (struct pl_fair_share *shares)
{
  g_ptr_array_free (shares->services, TRUE);
}

void
pl_fair_share_set_mean_weight (struct pl_fair_share *shares, double mean_weight)
{
  shares->mean_weight = mean_weight;
}

/* Returns a random number from 0 to 1 (xorshift). */
static double
random_unit (struct pl_fair_share *shares)
{
  shares->random ^= shares->random << 13;
  shares->random ^= shares->random >> 17;
  shares->random ^= shares->random << 5;
  return (double) shares->random / 0x1p32;
}

static struct pl_share_service *
find_service (const struct pl_fair_share *shares, int service)
{
  return (guint) service < shares->services->len ? g_ptr_array_index (shares->services, service)
                                                 : NULL;
}

static struct pl_share_service *
ensure_service (struct pl_fair_share *shares, int service)
{
  if (shares->services->len <= (guint) service)
    g_ptr_array_set_size (shares->services, service + 1);
  if (g_ptr_array_index (shares->services, service) == NULL)
    g_ptr_array_index (shares->services, service) = g_new0 (struct pl_share_service, 1);
  return g_ptr_array_index (shares->services, service);
}

const struct pl_share_service *
pl_fair_share_find (const struct pl_fair_share *shares, int service)
{
  return find_service (shares, service);
}

/* Counts a request and returns the rate of those before it. */
static double
count_own (struct pl_share_account *account, int64_t now_us)
{
  double decay = exp (-(double) (now_us - account->own_us) / OWN_RATE_US);
  double rate = account->own_rate * decay;

  account->own_rate = rate + 1e6 / OWN_RATE_US;
  account->own_us = now_us;
  return rate;
}

/* Returns the rate of the account's requests over the fleet. */
static double
measure_use (struct pl_share_account *account, const struct pl_share_request *request,
             int64_t now_us)
{
  const struct pl_quota *quota = request->quota;
  double own_rate = count_own (account, now_us);

  /* Of accounts without a rate nothing is reported: the hosts are taken to get the same. */
  if (quota == NULL || quota->rate <= 0)
    return own_rate * request->hosts;
  if (account->others_us == 0 || now_us - account->others_us >= OTHERS_PERIOD_US)
    {
      account->others_rate = pl_quota_rate_of_others (quota, &account->reported_us, now_us);
      account->others_us = now_us;
    }
  return own_rate + account->others_rate;
}

static bool
is_contended (const struct pl_share_service *state)
{
  return state->sampled_us - state->first_us >= CONTENDED_AFTER_US
         && state->missed_ratio > CONTENDED_MISSED_ABOVE
         && state->busy_ratio > CONTENDED_BUSY_ABOVE;
}

static void
update_ratio_max (struct pl_share_service *state, double ratio, int64_t now_us)
{
  double decay = exp2 (-(double) (now_us - state->ratio_us) / RATIO_HALF_LIFE_US);

  state->ratio_max = fmax (state->ratio_max * decay, ratio);
  state->ratio_us = now_us;
}

/* Keeps the level within its bounds.  One that refuses nothing is no longer in force. */
static void
limit_level (struct pl_share_service *state)
{
  if (state->level >= state->ratio_max)
    state->level = 0;
  else if (state->level > 0)
    state->level = fmax (state->level, state->ratio_max * LEVEL_MIN_RATIO);
}

/* Raises the level for a time without outcomes, which would otherwise stay low for ever. */
static void
raise_without_outcomes (struct pl_share_service *state, int64_t now_us)
{
  int64_t overdue_us = now_us - state->sampled_us - OUTCOMES_EXPECTED_US;

  if (state->sampled_us == 0 || overdue_us <= 0)
    return;
  if (state->level > 0)
    state->level = fmin (state->level * exp2 ((double) overdue_us / 1e6), state->ratio_max);
  state->work_us *= exp2 (-(double) overdue_us / 1e6);
  state->missed_ratio *= exp2 (-(double) overdue_us / 1e6);
  state->busy_ratio *= exp2 (-(double) overdue_us / 1e6);
  state->sampled_us += overdue_us;
}

/* Returns the time until the end of REQUEST's latency objective. */
static int64_t
check_on_time (struct pl_share_account *account, const struct pl_share_request *request)
{
  bool is_late = request->on_time_us <= 0;

  account->late_ratio += LATE_SMOOTHING * ((is_late ? 1 : 0) - account->late_ratio);
  return is_late && account->late_ratio > LATE_RATIO_MAX ? request->objective_us
                                                         : request->on_time_us;
}

static enum pl_share_decision
decide (struct pl_fair_share *shares, const struct pl_share_service *state,
        const struct pl_share_request *request, const struct pl_share_verdict *verdict)
{
  double share = state->level * verdict->weight;

  /* The work of the service's routes differs, so that a free slot may still serve the caller. */
  if ((double) request->time_left_us < state->work_us && is_contended (state))
    return PL_SHARE_NO_TIME;
  /* Where little is missed, late requests take no slots from those that can be in time. */
  if (verdict->on_time_us <= 0 && is_contended (state)
      && (state->level > 0 || state->missed_ratio > REFUSE_LATE_ABOVE))
    return PL_SHARE_TOO_LATE;
  /* A caller that was told to come again is not turned away a second time; its account's new
   * requests make room for it. */
  if (!request->is_retry && state->level > 0 && verdict->use > share
      && random_unit (shares) * verdict->use >= share)
    return PL_SHARE_OVER_SHARE;
  return PL_SHARE_ADMITTED;
}

struct pl_share_verdict
pl_fair_share_admit (struct pl_fair_share *shares, const struct pl_share_request *request,
                     int64_t now_us)
{
  struct pl_share_service *state = ensure_service (shares, request->service);
  struct pl_share_account *account = request->account != NULL ? request->account : &shares->open;
  double rate = request->quota != NULL ? request->quota->rate : 0;
  struct pl_share_verdict verdict = {
      .on_time_us = check_on_time (account, request),
      .use = measure_use (account, request, now_us),
      .weight = rate > 0 ? rate : fmax (shares->mean_weight, 1),
      .age_us = account->reported_us > 0 ? now_us - account->reported_us : -1,
  };

  update_ratio_max (state, verdict.use / verdict.weight, now_us);
  raise_without_outcomes (state, now_us);
  limit_level (state);
  verdict.level = state->level;
  verdict.decision = decide (shares, state, request, &verdict);
  state->admitted += verdict.decision == PL_SHARE_ADMITTED;
  state->refused += verdict.decision != PL_SHARE_ADMITTED;
  return verdict;
}

void
pl_fair_share_record (struct pl_fair_share *shares, int service, enum pl_share_outcome outcome,
                      double answer_us, double busy_ratio, int64_t now_us)
{
  struct pl_share_service *state = ensure_service (shares, service);
  double weight = fmin ((double) (now_us - state->sampled_us) / REACTION_US, OUTCOME_WEIGHT_MAX);

  if (state->sampled_us == 0)
    state->first_us = now_us;
  state->sampled_us = now_us;
  if (busy_ratio >= 0)
    state->busy_ratio += weight * (busy_ratio - state->busy_ratio);
  state->missed_ratio += weight * ((outcome == PL_SHARE_MISSED ? 1 : 0) - state->missed_ratio);
  if (answer_us > 0)
    state->answer_us += state->answer_us == 0 ? answer_us : weight * (answer_us - state->answer_us);
  if (outcome == PL_SHARE_FREE)
    state->level *= 1 + weight * RISE_RATIO;
  else if (outcome == PL_SHARE_MISSED && state->level > 0)
    state->level *= 1 - weight;
  else if (outcome == PL_SHARE_MISSED && is_contended (state))
    state->level = state->ratio_max * (1 - weight);
  limit_level (state);
}

void
pl_fair_share_record_answer (struct pl_fair_share *shares, int service,
                             const struct pl_share_answer *answer, int64_t now_us)
{
  struct pl_share_service *state = ensure_service (shares, service);
  const struct pl_load_report *load = &answer->load;
  int requests = load->running + load->waiting;
  bool has_slot = answer->has_load ? requests < load->slots : !answer->is_late;
  double turns = has_slot ? 1 : (double) (requests + 1) / MAX (load->slots, 1);
  double busy_ratio = -1;
  enum pl_share_outcome outcome = PL_SHARE_BUSY;

  /* The server has a free slot, so the request hardly waited there. */
  if (has_slot && !answer->is_rejected && !answer->is_failure)
    state->work_us += (state->work_us == 0 ? 1 : WORK_SMOOTHING)
                      * ((double) answer->latency_us - state->work_us);
  if (answer->has_load)
    busy_ratio = load->waiting > 0 ? 1 : fmin ((double) load->running / MAX (load->slots, 1), 1);
  else if (answer->is_rejected)
    busy_ratio = 1;
  /* A server that rejects requests while it has free slots is at fault, not short of capacity. */
  if (answer->is_rejected && !(answer->has_load && has_slot))
    outcome = PL_SHARE_MISSED;
  else if (answer->is_rejected)
    outcome = PL_SHARE_BUSY;
  else if (has_slot)
    outcome = answer->is_failure ? PL_SHARE_BUSY : PL_SHARE_FREE;
  else if (!answer->has_load
           || state->work_us * turns > fmax ((double) answer->objective_us * ON_TIME_RATIO,
                                             state->work_us * WORK_TURNS_MIN)
           || (answer->is_late && load->waiting > 0))
    outcome = PL_SHARE_MISSED;
  pl_fair_share_record (shares, service, outcome, state->work_us * turns, busy_ratio, now_us);
}

void
pl_fair_share_record_waiting (struct pl_fair_share *shares, int service, int64_t waited_us)
{
  pl_histogram_add (&ensure_service (shares, service)->waiting, waited_us);
}

bool
pl_fair_share_is_contended (const struct pl_fair_share *shares, int service)
{
  const struct pl_share_service *state = find_service (shares, service);

  return state != NULL && is_contended (state);
}

int64_t
pl_fair_share_retry_after_us (struct pl_fair_share *shares, int service,
                              const struct pl_share_verdict *verdict, int64_t time_left_us)
{
  const struct pl_share_service *state = find_service (shares, service);
  double after_us = RETRY_AFTER_UNKNOWN_US;

  /* The servers work off what they have now in the time that one more request would take there;
   * what is missed now comes on top of it. */
  if (state != NULL && state->answer_us > 0)
    after_us = state->answer_us * (1 + state->missed_ratio);
  if (verdict != NULL && verdict->level > 0)
    after_us *= fmin (verdict->use / (verdict->level * verdict->weight), RETRY_AFTER_FACTOR_MAX);
  after_us = fmax (after_us, RETRY_AFTER_MIN_US) * (0.5 + random_unit (shares));
  return (int64_t) fmin (after_us, fmax ((double) time_left_us, 0) * RETRY_AFTER_LEFT_RATIO);
}

int64_t
pl_fair_share_answer_max_us (const struct pl_fair_share *shares, int service, int64_t on_time_us)
{
  const struct pl_share_service *state = find_service (shares, service);
  double work_us = state != NULL ? state->work_us : 0;

  return (int64_t) fmax (fmax ((double) on_time_us * ANSWER_RATIO, work_us * WORK_TURNS_MIN), 1);
}
