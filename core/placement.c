/* Selection of a backend server for each request.
 *
 * A server that has an object in its cache does the same work in a third of the
 * time of one without it, which misses the latency objective even when it is
 * idle.  Servers are therefore ranked by the object: all entry hosts compute the
 * same ranking by rendezvous hashing, without communication.  When the first
 * server is busy, the request waits for it: another server takes three times as
 * long and evicts another object from its cache, so that under overload every
 * cache would miss.  Only a server with spare capacity takes overflow.
 *
 * The weight of locality depends on the size of the request: transferring a large
 * body such as a photograph to another domain costs more time than a cache miss,
 * transferring a small request costs next to nothing.
 *
 * The load of a server is what this host has in flight there plus what the server
 * last reported of other hosts, see server_load.c; what is recorded of servers,
 * see placement_reports.c.
 */
#include "internal/placement.h"
#include "internal/membership.h"
#include "internal/routing.h"

#include <math.h>
#include <string.h>

/* A server that fails or rejects more than this fraction of its requests, and more than twice the
 * average of its service, gets one request per UNHEALTHY_RETRY_US. */
#define FAILURE_LIMIT 0.35
#define FAILURE_FACTOR 2.0
#define UNHEALTHY_RETRY_US INT64_C (1000000)
/* A server that is slower than the average of its service by more than this factor counts as
 * having fewer slots. */
#define SLOW_FACTOR 2.5
/* A server with requests in flight that has not answered for this many latency objectives may be
 * unresponsive or very slow; further requests would be delayed with the first. */
#define STALL_OBJECTIVES 2.5
/* The longest time that queueing and processing may take, in latency objectives.  A late answer is
 * better for a caller than a refusal, but when most answers are late, long queues only make all of
 * them late. */
#define QUEUE_OBJECTIVES_MAX 1.8
#define QUEUE_OBJECTIVES_MIN 1.0
/* The limit falls from the maximum to the minimum between these fractions of late answers, which
 * are averaged over about a hundred answers. */
#define LATE_RATIO_LOW 0.5
#define LATE_RATIO_HIGH 0.8
/* Fraction of the caller's remaining time that queueing and processing may take; an answer after a
 * longer wait would come too late. */
#define QUEUE_TIME_RATIO 0.85
/* Servers besides the first that may take an object's overflow.  More copies would evict other
 * objects from the servers' memory, which slows all requests down under high load. */
#define OVERFLOW_SERVERS 2
/* With fewer candidates than this, only one other server takes overflow: the few servers of a
 * region get the objects of all regions from the accounts that are bound to that region. */
#define OVERFLOW_SERVERS_THRESHOLD 8
/* A server takes overflow up to this load. */
#define OVERFLOW_LOAD_MAX 0.8
/* The first server of the ranking is preferred to another that has the object in its cache unless
 * it is expected to take this many times as long.  Work times differ by kind of request, so that
 * expected times are compared with some error; 1.1 and 1.5 served fewer in time in test_replay. */
#define CLEARLY_SLOWER 1.25
/* Load, with the new request, up to which a server takes requests that another would answer later.
 * With 1.0, hosts seldom find one when many requests are late. */
#define ALTERNATIVE_LOAD_MAX 1.5
/* Servers that are compared for a request that concerns no object, in this host's region and in
 * the others.  Of two, both are too often slow or busy: test_replay served up to 3 % fewer in time.
 */
#define DRAWN_MAX 4
/* Of servers with free slots the less loaded one is preferred, by this fraction of the time of work
 * for a difference of its whole load. */
#define IDLE_PREFERENCE 0.1
/* Load, in slots, added to servers of other regions and of reserved regions when a request concerns
 * no object and the least loaded server is chosen. */
#define OTHER_REGION_LOAD 0.25
#define RESERVED_REGION_LOAD 0.4
/* A region is reserved for the requests bound to it when they exceed the first of these fractions
 * of what its share of the servers can take, until they fall below the second. */
#define RESERVE_ABOVE 0.5
#define RESERVE_BELOW 0.3
#define RESERVE_PERIOD_US INT64_C (500000)
/* Number of recent requests over which those bound to a region are averaged. */
#define HOME_REQUESTS_WINDOW 400.0
/* Factor in the ranking of servers of reserved regions, for requests that are bound to none. */
#define RESERVED_REGION_WEIGHT 0.02
/* Fraction that is used of the rate that a cold server can take. */
#define COLD_USE_RATIO 0.9
#define EXPIRED_KEPT_US INT64_C (5000000)
/* Weights in the ranking of large requests for servers of this host's region and domain. */
#define OWN_REGION_WEIGHT_LARGE 1e3
#define OWN_DOMAIN_WEIGHT_LARGE 1e6

struct ranked
{
  struct pl_backend *backend;
  double cost; /* lower is better */
};

static void
free_backend (gpointer data)
{
  struct pl_backend *backend = data;

  g_free ((char *) backend->entry.id);
  g_free ((char *) backend->entry.domain);
  pl_server_load_clear (&backend->load);
  g_free (backend);
}

void
pl_placement_init (struct pl_placement *placement, const char *domain, int region)
{
  placement->backends = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_backend);
  placement->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  placement->services = g_ptr_array_new_with_free_func (pl_placement_free_service);
  placement->handles = g_hash_table_new (g_str_hash, g_str_equal);
  placement->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  placement->domain = g_strdup (domain);
  placement->region = region;
  placement->is_cut_off = false;
  placement->load_management = PL_LOAD_MANAGEMENT_OFF;
  placement->ignores_speeds = false;
}

void
pl_placement_clear (struct pl_placement *placement)
{
  g_hash_table_destroy (placement->handles);
  g_ptr_array_free (placement->services, TRUE);
  g_hash_table_destroy (placement->by_hash);
  g_hash_table_destroy (placement->backends);
  g_hash_table_destroy (placement->evacuated);
  g_free (placement->domain);
}

struct pl_backend *
pl_placement_find (const struct pl_placement *placement, const char *id)
{
  return g_hash_table_lookup (placement->backends, id);
}

struct pl_backend *
pl_placement_find_by_hash (const struct pl_placement *placement, uint64_t hash)
{
  return g_hash_table_lookup (placement->by_hash, &hash);
}

uint64_t
pl_server_hash (const char *id)
{
  return pl_id_of ("servers", id);
}

/* Copies ENTRY; SERVICE is the name that the table of services holds. */
static void
set_entry (struct pl_backend *backend, const struct pl_server_entry *entry, const char *service)
{
  const char *id = backend->entry.id;
  char *domain = (char *) backend->entry.domain;

  if (g_strcmp0 (domain, entry->domain) != 0)
    {
      g_free (domain);
      domain = g_strdup (entry->domain);
    }
  backend->entry = *entry;
  backend->entry.id = id;
  backend->entry.service = service;
  backend->entry.domain = domain;
}

struct pl_backend *
pl_placement_put (struct pl_placement *placement, const struct pl_server_entry *entry, int region,
                  bool at_start, int64_t now_us)
{
  struct pl_backend *backend = pl_placement_find (placement, entry->id);
  int handle = pl_placement_ensure_service (placement, entry->service);
  struct pl_placement_service *service = pl_placement_service_at (placement, handle);
  bool is_known = backend != NULL;
  bool is_new = !is_known || backend->entry.born != entry->born
                || strcmp (backend->entry.address, entry->address) != 0;
  int64_t cold_us = entry->cold_us;

  if (backend != NULL && backend->service != handle)
    {
      g_ptr_array_remove (pl_placement_service_at (placement, backend->service)->backends, backend);
      g_ptr_array_add (service->backends, backend);
    }
  if (backend == NULL)
    {
      backend = g_new0 (struct pl_backend, 1);
      backend->entry.id = g_strdup (entry->id);
      backend->hash = pl_server_hash (entry->id);
      g_hash_table_insert (placement->backends, (gpointer) backend->entry.id, backend);
      g_hash_table_insert (placement->by_hash, &backend->hash, backend);
      g_ptr_array_add (service->backends, backend);
    }
  set_entry (backend, entry, service->name);
  backend->service = handle;
  backend->region = region;
  backend->is_local = strcmp (entry->domain, placement->domain) == 0;
  backend->expires_us = INT64_MAX;
  if (is_new)
    pl_placement_reset_backend (backend, now_us);
  if (is_new && is_known)
    pl_server_limit_reset (&backend->limit, now_us);
  if (is_new && !at_start)
    cold_us = MAX (cold_us, service->cold_time_us);
  if (cold_us > 0)
    backend->cold_until_us = MAX (backend->cold_until_us, now_us + cold_us);
  return backend;
}

void
pl_placement_remove (struct pl_placement *placement, const char *id, int64_t use_until_us)
{
  struct pl_backend *backend = pl_placement_find (placement, id);

  if (backend != NULL)
    backend->expires_us = MIN (backend->expires_us, use_until_us);
}

void
pl_placement_evacuate (struct pl_placement *placement, const char *domain, bool on)
{
  if (on)
    g_hash_table_add (placement->evacuated, g_strdup (domain));
  else
    g_hash_table_remove (placement->evacuated, domain);
}

bool
pl_placement_is_usable (const struct pl_placement *placement, const struct pl_backend *backend,
                        int64_t now_us)
{
  return !backend->entry.draining && now_us < backend->expires_us
         && (g_hash_table_size (placement->evacuated) == 0
             || !g_hash_table_contains (placement->evacuated, backend->entry.domain));
}

static bool
was_tried (const struct pl_placement_request *request, const struct pl_backend *backend)
{
  for (int i = 0; i < request->tried_count; i++)
    if (request->tried[i] == backend->hash)
      return true;
  return false;
}

static bool
is_eligible (const struct pl_placement *placement, const struct pl_placement_request *request,
             const struct pl_backend *backend, int64_t now_us)
{
  if (!pl_placement_is_usable (placement, backend, now_us) || was_tried (request, backend))
    return false;
  return !request->has_home_regions
         || (backend->region != PL_NONE && (request->home_regions >> backend->region & 1) != 0);
}

static bool
is_stalled (const struct pl_placement_request *request, const struct pl_backend *backend,
            int64_t now_us)
{
  return backend->in_flight > 0
         && (double) (now_us - backend->progress_us)
                > (double) request->objective_us * STALL_OBJECTIVES;
}

static bool
is_healthy (const struct pl_placement_service *service, const struct pl_placement_request *request,
            const struct pl_backend *backend, int64_t now_us)
{
  if (now_us < backend->down_until_us || is_stalled (request, backend, now_us))
    return false;
  if (backend->breaker_tripped && (request->at_most_once || backend->in_flight > 0))
    return false;
  return backend->failure_ratio < FAILURE_LIMIT
         || backend->failure_ratio < service->failure_ratio * FAILURE_FACTOR
         || now_us - backend->last_chosen_us > UNHEALTHY_RETRY_US;
}

/* Returns whether BACKEND may run second copies: they take neither of what it can do while it is
 * cold nor of its rate limit, and do not test whether it has recovered. */
static bool
may_run_copy (const struct pl_backend *backend, int64_t now_us)
{
  return now_us >= backend->cold_until_us && !backend->limit.in_force && !backend->breaker_tripped;
}

static double
effective_slots (const struct pl_placement_service *service, const struct pl_backend *backend)
{
  double slots = backend->load.slots > 0 ? backend->load.slots : backend->entry.slots;

  if (service->work_us > 0 && backend->work_us > service->work_us * SLOW_FACTOR)
    slots *= service->work_us / backend->work_us;
  return fmax (slots, 0.5);
}

/* Counts the recent requests that are bound to each region.  A region whose servers are largely
 * needed by such requests is reserved for them, see update_reservations(). */
static void
count_home_requests (struct pl_placement_service *service,
                     const struct pl_placement_request *request)
{
  double decay = 1 - 1 / HOME_REQUESTS_WINDOW;
  int home_regions = __builtin_popcount (request->home_regions);

  service->recent_requests = service->recent_requests * decay + 1;
  for (int r = 0; r < PL_PLACEMENT_REGIONS_MAX; r++)
    {
      service->regions[r].home_requests *= decay;
      if (request->has_home_regions && (request->home_regions >> r & 1) != 0)
        service->regions[r].home_requests += 1.0 / home_regions;
    }
}

static void
update_reservations (struct pl_placement_service *service, int64_t now_us)
{
  int slots = 0;

  if (now_us < service->reservations_due_us)
    return;
  service->reservations_due_us = now_us + RESERVE_PERIOD_US;
  for (int r = 0; r < PL_PLACEMENT_REGIONS_MAX; r++)
    service->regions[r].slots = 0;
  for (guint i = 0; i < service->backends->len; i++)
    {
      const struct pl_backend *backend = g_ptr_array_index (service->backends, i);

      if (backend->region == PL_NONE || backend->entry.draining || now_us >= backend->expires_us)
        continue;
      service->regions[backend->region].slots += backend->entry.slots;
      slots += backend->entry.slots;
    }
  for (int r = 0; r < PL_PLACEMENT_REGIONS_MAX; r++)
    {
      struct pl_placement_region *region = &service->regions[r];
      double share = slots > 0 ? (double) region->slots / slots : 0;
      double limit = region->reserved ? RESERVE_BELOW : RESERVE_ABOVE;

      region->reserved = region->home_requests > service->recent_requests * share * limit
                         && region->slots < slots;
    }
}

static bool
is_reserved (const struct pl_placement_service *service, const struct pl_placement_request *request,
             const struct pl_backend *backend)
{
  return !request->has_home_regions && backend->region != PL_NONE
         && service->regions[backend->region].reserved;
}

static double
ranking_weight (const struct pl_placement *placement, const struct pl_placement_service *service,
                const struct pl_placement_request *request, const struct pl_backend *backend)
{
  double weight = fmax (backend->entry.slots, 1);

  if (is_reserved (service, request, backend))
    weight *= RESERVED_REGION_WEIGHT;

  if (request->is_large && backend->is_local)
    return weight * OWN_DOMAIN_WEIGHT_LARGE;
  if (request->is_large && backend->region == placement->region)
    return weight * OWN_REGION_WEIGHT_LARGE;
  if (service->is_managed && !request->is_large && !request->has_home_regions)
    return weight * pl_region_plan_weight (&service->plan, placement->region, backend->region);
  return backend->region == placement->region ? weight * PL_REGION_OWN_WEIGHT : weight;
}

/* Inserts BACKEND; keeps the PL_PLACEMENT_RANKED_MAX of lowest cost in rising order.  Returns the
 * new count. */
static int
insert_ranked (struct ranked *ranked, int count, struct pl_backend *backend, double cost)
{
  int at = count;

  while (at > 0 && ranked[at - 1].cost > cost)
    at--;
  if (at == PL_PLACEMENT_RANKED_MAX)
    return count;
  count = MIN (count + 1, PL_PLACEMENT_RANKED_MAX);
  memmove (&ranked[at + 1], &ranked[at], sizeof *ranked * (size_t) (count - 1 - at));
  ranked[at] = (struct ranked){backend, cost};
  return count;
}

/* Refills the token bucket of the cold server BACKEND and returns whether it holds a token.  SHARE
 * is this host's fraction of the rate, so that all hosts together stay below what a cold server can
 * take. */
static bool
has_cold_token (const struct pl_placement_service *service, struct pl_backend *backend,
                double share, int64_t now_us)
{
  double rate = service->cold_per_second * COLD_USE_RATIO * share;
  double seconds = (double) (now_us - backend->cold_refilled_us) / 1e6;

  backend->cold_tokens = fmin (backend->cold_tokens + seconds * rate, 1.0);
  backend->cold_refilled_us = now_us;
  return share > 0 && backend->cold_tokens >= 1;
}

/* Returns whether this host may send a request to the cold server BACKEND. */
static bool
may_use_cold (const struct pl_placement_service *service, struct pl_backend *backend,
              const struct pl_placement_shares *shares, void *data, int64_t now_us)
{
  double share = 1;

  if (backend->in_flight > 0)
    return false;
  if (shares != NULL)
    share = shares->cold_share (data, backend, service->cold_per_second);
  return has_cold_token (service, backend, share, now_us);
}

/* Servers drawn at random: those with the lowest numbers. */
struct draw
{
  struct pl_backend *backend;
  uint64_t number;
};

/* The result of one pass over the servers of a service. */
struct scan
{
  uint64_t seed;                   /* of draws */
  struct draw drawn[2][DRAWN_MAX]; /* managed services; [1]: of this host's region */

  struct ranked ranked[PL_PLACEMENT_RANKED_MAX];
  int ranked_count;
  struct pl_backend *least_loaded;
  double least_load;  /* in slots */
  int eligible_count; /* servers that may run the request */
  int healthy_count;  /* of these, expected to answer */
  int local_count;    /* of these, in this host's domain */
  /* the best healthy server whose rate limit leaves no permit for this request */
  struct ranked unpermitted;
  enum pl_permit permit;
};

/* Returns the load of BACKEND with one more request, in slots. */
static double
load_with_one (const struct pl_placement_service *service, const struct pl_backend *backend,
               int64_t now_us)
{
  return (pl_server_load_requests (&backend->load, backend->in_flight, now_us) + 1)
         / effective_slots (service, backend);
}

static double
queue_limit_objectives (const struct pl_placement_service *service)
{
  double excess = (service->late_ratio - LATE_RATIO_LOW) / (LATE_RATIO_HIGH - LATE_RATIO_LOW);

  return QUEUE_OBJECTIVES_MAX
         - (QUEUE_OBJECTIVES_MAX - QUEUE_OBJECTIVES_MIN) * fmin (fmax (excess, 0), 1);
}

/* Returns the expected time until BACKEND answers one more request, 0 if it is unknown. */
static double
expected_us (const struct pl_placement_service *service, const struct pl_backend *backend,
             int64_t now_us)
{
  double work_us = backend->work_us > 0 ? backend->work_us : service->work_us;
  double load = load_with_one (service, backend, now_us);

  if (service->compares_times)
    return pl_server_load_expected_us (&backend->load, load, work_us, now_us);
  return work_us * load;
}

/* Returns whether BACKEND can run a request at once or is expected to answer it within the limits
 * on queueing and processing time. */
static bool
has_capacity (const struct pl_placement_service *service,
              const struct pl_placement_request *request, const struct pl_backend *backend,
              int64_t now_us)
{
  double time_us = expected_us (service, backend, now_us);
  double objectives_us = (double) request->objective_us * queue_limit_objectives (service);
  double limit_us
      = fmin (request->expected_max_us > 0 ? (double) request->expected_max_us : objectives_us,
              (double) request->time_left_us * QUEUE_TIME_RATIO);

  return load_with_one (service, backend, now_us) <= 1 || (time_us > 0 && time_us <= limit_us);
}

/* Returns one of the servers after the first of the ranking, up to LAST, that have the object in
 * their cache and room, and are in the region of the first, or NULL.  It is drawn at random: hosts
 * that chose the best one by the same reports would all choose the same. */
static struct pl_backend *
draw_alternative (const struct pl_placement_service *service,
                  const struct pl_placement_request *request, const struct scan *scan, int last,
                  int64_t now_us)
{
  struct pl_backend *found[PL_PLACEMENT_RANKED_MAX];
  uint64_t count = 0;

  for (int i = 1; i < scan->ranked_count && i <= last; i++)
    {
      struct pl_backend *backend = scan->ranked[i].backend;

      if ((!request->is_large || backend->is_local)
          && backend->region == scan->ranked[0].backend->region
          && pl_server_load_is_warm (&backend->load, request->object, now_us)
          && load_with_one (service, backend, now_us) <= ALTERNATIVE_LOAD_MAX)
        found[count++] = backend;
    }
  return count > 0 ? found[scan->seed % count] : NULL;
}

/* Returns a server for a request of a managed service that FIRST, the first of the ranking, would
 * answer clearly later, or NULL. */
static struct pl_backend *
choose_alternative (struct pl_placement_service *service,
                    const struct pl_placement_request *request, const struct scan *scan, int last,
                    int64_t now_us)
{
  const struct pl_backend *first = scan->ranked[0].backend;
  struct pl_backend *alternative = draw_alternative (service, request, scan, last, now_us);

  if (first == NULL || alternative == NULL
      || expected_us (service, alternative, now_us) * CLEARLY_SLOWER
             >= expected_us (service, first, now_us))
    return NULL;
  service->alternatives++;
  return alternative;
}

/* Returns the first server of the ranking if it has capacity, else one of the next with spare
 * capacity for overflow, or NULL.  A copy takes no queue: it goes to one with spare capacity. */
static struct pl_backend *
choose_ranked (struct pl_placement_service *service, const struct pl_placement_request *request,
               const struct scan *scan, int64_t now_us)
{
  const struct ranked *ranked = scan->ranked;
  struct pl_backend *alternative = NULL;
  int candidates
      = request->is_large && scan->local_count > 0 ? scan->local_count : scan->healthy_count;
  int overflow_servers = candidates >= OVERFLOW_SERVERS_THRESHOLD ? OVERFLOW_SERVERS : 1;
  int first = request->is_copy ? 0 : 1;

  if (service->compares_times && !request->is_copy)
    alternative = choose_alternative (service, request, scan, overflow_servers, now_us);
  if (alternative != NULL)
    return alternative;
  if (!request->is_copy && scan->ranked_count > 0
      && has_capacity (service, request, ranked[0].backend, now_us))
    return ranked[0].backend;
  for (int i = first; i < scan->ranked_count && i < first + overflow_servers; i++)
    if (load_with_one (service, ranked[i].backend, now_us) <= OVERFLOW_LOAD_MAX)
      return ranked[i].backend;
  return NULL;
}

/* Maps the object and BACKEND to a number between 0 and 1. */
static double
hash_to_unit (const struct pl_placement_request *request, const struct pl_backend *backend)
{
  return ((double) (pl_hash_pair (request->object, backend->hash) >> 11) + 1) / 0x1p53;
}

/* Weighted rendezvous hashing: the server with the lowest cost, -log (unit) / weight, wins, so that
 * each server is chosen in proportion to its weight.  Most servers are excluded by a lower bound of
 * the cost that needs no logarithm. */
static void
rank_backend (const struct pl_placement *placement, const struct pl_placement_service *service,
              const struct pl_placement_request *request, struct pl_backend *backend,
              struct scan *scan)
{
  double unit = hash_to_unit (request, backend);
  double weight = ranking_weight (placement, service, request, backend);

  if (scan->ranked_count == PL_PLACEMENT_RANKED_MAX
      && (1 - unit) / weight > scan->ranked[PL_PLACEMENT_RANKED_MAX - 1].cost)
    return;
  scan->ranked_count
      = insert_ranked (scan->ranked, scan->ranked_count, backend, -log (unit) / weight);
}

/* Returns the load by which servers are compared for requests that concern no object. */
static double
compared_load (const struct pl_placement *placement, const struct pl_placement_service *service,
               const struct pl_placement_request *request, const struct pl_backend *backend,
               int64_t now_us)
{
  double load = load_with_one (service, backend, now_us);

  if (backend->region != placement->region)
    load += OTHER_REGION_LOAD;
  if (is_reserved (service, request, backend))
    load += RESERVED_REGION_LOAD;
  return load;
}

/* Keeps the DRAWN_MAX servers of this host's region, and of the others, that get the lowest numbers
 * at random. */
static void
draw (const struct pl_placement *placement, struct pl_backend *backend, struct scan *scan)
{
  struct draw *drawn = scan->drawn[backend->region == placement->region];
  struct draw next = {backend, pl_hash_pair (scan->seed, backend->hash)};

  for (int i = 0; i < DRAWN_MAX && next.backend != NULL; i++)
    if (drawn[i].backend == NULL || next.number < drawn[i].number)
      {
        struct draw replaced = drawn[i];

        drawn[i] = next;
        next = replaced;
      }
}

/* Keeps the least loaded server, for requests that concern no object. */
static void
update_least_loaded (const struct pl_placement *placement,
                     const struct pl_placement_service *service,
                     const struct pl_placement_request *request, struct pl_backend *backend,
                     struct scan *scan, int64_t now_us)
{
  double load = compared_load (placement, service, request, backend, now_us);

  if (scan->least_loaded != NULL && load >= scan->least_load)
    return;
  scan->least_loaded = backend;
  scan->least_load = load;
}

/* Returns the server for a request that concerns no object: for managed services the one of those
 * drawn that is expected to answer first, unless all of them are full.  Hosts that chose the best
 * of all by the same reports would all choose the same.  A copy goes to one with spare capacity. */
static struct pl_backend *
choose_unranked (const struct pl_placement *placement, const struct pl_placement_service *service,
                 const struct pl_placement_request *request, const struct scan *scan,
                 int64_t now_us)
{
  const struct draw *drawn = scan->drawn[0];
  double load_max = request->is_copy ? OVERFLOW_LOAD_MAX : 1 + OTHER_REGION_LOAD;
  struct pl_backend *best = NULL;
  double best_cost = 0;

  for (int i = 0; i < 2 * DRAWN_MAX; i++)
    {
      struct pl_backend *backend = drawn[i].backend;
      double load = backend != NULL ? load_with_one (service, backend, now_us) : 0;
      double excess = 0;
      double cost;

      if (backend == NULL)
        continue;
      excess = compared_load (placement, service, request, backend, now_us) - load;
      if (load + excess > load_max)
        continue;
      cost = (1 + excess + IDLE_PREFERENCE * load) * expected_us (service, backend, now_us);
      if (best != NULL && cost >= best_cost)
        continue;
      best = backend;
      best_cost = cost;
    }
  if (best != NULL)
    return best;
  return scan->least_loaded != NULL && scan->least_load <= load_max ? scan->least_loaded : NULL;
}

/* Keeps the best server for which this host has no permit. */
static void
update_unpermitted (const struct pl_placement *placement,
                    const struct pl_placement_service *service,
                    const struct pl_placement_request *request, struct pl_backend *backend,
                    enum pl_permit permit, struct scan *scan, int64_t now_us)
{
  double cost = request->object != 0 ? -log (hash_to_unit (request, backend))
                                           / ranking_weight (placement, service, request, backend)
                                     : compared_load (placement, service, request, backend, now_us);

  if (scan->unpermitted.backend != NULL && cost >= scan->unpermitted.cost)
    return;
  scan->unpermitted = (struct ranked){backend, cost};
  scan->permit = permit;
}

/* Returns whether the server without a permit would have been chosen with one. */
static bool
is_unpermitted_preferred (const struct pl_placement_service *service,
                          const struct pl_placement_request *request, const struct scan *scan,
                          int64_t now_us)
{
  const struct ranked *unpermitted = &scan->unpermitted;

  if (unpermitted->backend == NULL)
    return false;
  if (request->object == 0)
    return scan->least_loaded == NULL || unpermitted->cost < scan->least_load;
  return (scan->ranked_count == 0 || unpermitted->cost < scan->ranked[0].cost)
         && has_capacity (service, request, unpermitted->backend, now_us);
}

/* Returns whether the bodies that this host has at BACKEND leave room for that of the request. */
static bool
has_body_room (const struct pl_placement_request *request, const struct pl_backend *backend)
{
  int slots = backend->load.slots > 0 ? backend->load.slots : backend->entry.slots;

  return pl_server_load_has_room (&backend->load, slots, request->body_bytes, request->body_share);
}

static void
scan_servers (struct pl_placement *placement, struct pl_placement_service *service,
              const struct pl_placement_request *request, struct scan *scan,
              const struct pl_placement_shares *shares, void *data, int64_t now_us)
{
  for (guint i = 0; i < service->backends->len; i++)
    {
      struct pl_backend *backend = g_ptr_array_index (service->backends, i);

      if (!is_eligible (placement, request, backend, now_us))
        continue;
      scan->eligible_count++;
      if (!is_healthy (service, request, backend, now_us))
        continue;
      if (request->is_copy && !may_run_copy (backend, now_us))
        continue;
      if (now_us < backend->cold_until_us && !may_use_cold (service, backend, shares, data, now_us))
        continue;
      if (shares != NULL && backend->limit.in_force)
        {
          enum pl_permit permit = shares->permit (data, backend, request->permit_wait_us);

          if (permit != PL_PERMIT_HELD)
            {
              update_unpermitted (placement, service, request, backend, permit, scan, now_us);
              continue;
            }
        }
      if (service->is_managed && !has_body_room (request, backend))
        {
          service->bodies_held++;
          continue;
        }
      scan->healthy_count++;
      scan->local_count += backend->is_local;
      if (request->object != 0)
        rank_backend (placement, service, request, backend, scan);
      else
        update_least_loaded (placement, service, request, backend, scan, now_us);
      if (request->object == 0 && service->compares_times)
        draw (placement, backend, scan);
    }
}

/* Returns a server with spare capacity for a large request that no local server can take, or NULL:
 * a domain with few servers for its callers would otherwise refuse what others could run.  Ranks
 * the servers as for a small request, so that the object is likely to be in the server's memory. */
static struct pl_backend *
choose_remote (struct pl_placement *placement, struct pl_placement_service *service,
               const struct pl_placement_request *request, const struct pl_placement_shares *shares,
               void *data, int64_t now_us)
{
  struct pl_placement_request small_request = *request;
  struct scan scan = {.least_loaded = NULL};

  small_request.is_large = false;
  scan_servers (placement, service, &small_request, &scan, shares, data, now_us);
  for (int i = 0; i < scan.ranked_count && i <= OVERFLOW_SERVERS; i++)
    if (load_with_one (service, scan.ranked[i].backend, now_us) <= OVERFLOW_LOAD_MAX)
      return scan.ranked[i].backend;
  return NULL;
}

/* Sets the servers that the request waits for: those that were ranked for it. */
static void
set_awaited (const struct scan *scan, struct pl_placement_choice *choice)
{
  choice->awaited_count = scan->ranked_count;
  for (int i = 0; i < scan->ranked_count; i++)
    choice->awaited[i] = scan->ranked[i].backend->hash;
}

enum pl_placement_result
pl_placement_choose (struct pl_placement *placement, const struct pl_placement_request *request,
                     const struct pl_placement_shares *shares, void *data,
                     struct pl_placement_choice *choice, int64_t now_us)
{
  struct pl_placement_service *service = pl_placement_service_at (placement, request->service);
  struct scan scan = {.least_loaded = NULL};
  struct pl_backend *best = NULL;

  memset (choice, 0, sizeof *choice);
  if (placement->is_cut_off)
    return PL_PLACE_CUT_OFF;
  update_reservations (service, now_us);
  if (service->compares_times)
    scan.seed = pl_hash_pair (++service->choices, (uint64_t) now_us);
  pl_region_plan_note_objective (&service->plan, request->objective_us);
  scan_servers (placement, service, request, &scan, shares, data, now_us);
  if (scan.eligible_count == 0)
    return PL_PLACE_NONE;
  if (is_unpermitted_preferred (service, request, &scan, now_us))
    {
      choice->unpermitted = scan.unpermitted.backend;
      if (scan.permit == PL_PERMIT_EXPECTED)
        {
          choice->awaited[0] = choice->unpermitted->hash;
          choice->awaited_count = 1;
          return PL_PLACE_FULL;
        }
    }
  if (request->object != 0)
    best = choose_ranked (service, request, &scan, now_us);
  else
    best = choose_unranked (placement, service, request, &scan, now_us);
  if (best == NULL && request->object != 0 && request->is_large && !request->is_copy)
    best = choose_remote (placement, service, request, shares, data, now_us);
  if (best == NULL)
    {
      set_awaited (&scan, choice);
      if (scan.healthy_count > 0 || scan.unpermitted.backend == NULL)
        return PL_PLACE_FULL;
      choice->unpermitted = scan.unpermitted.backend;
      return PL_PLACE_LIMITED;
    }
  if (now_us < best->cold_until_us)
    best->cold_tokens -= 1;
  if (!request->is_copy)
    count_home_requests (service, request);
  best->load_at_send = load_with_one (service, best, now_us);
  best->expected_us = expected_us (service, best, now_us);
  if (best->in_flight == 0)
    best->progress_us = now_us;
  best->in_flight++;
  best->load.body_bytes += request->body_bytes;
  best->last_chosen_us = now_us;
  choice->backend = best;
  return PL_PLACED;
}

void
pl_placement_expire (struct pl_placement *placement, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_backend *backend = value;

      if (backend->expires_us > now_us - EXPIRED_KEPT_US || backend->in_flight > 0
          || backend->probe_pending)
        continue;
      g_ptr_array_remove (pl_placement_service_at (placement, backend->service)->backends, backend);
      g_hash_table_remove (placement->by_hash, &backend->hash);
      g_hash_table_iter_remove (&iter);
    }
}
