/* The choice of a server.
 *
 * A server that handled an object lately does the same work in a third of the
 * time, and one that did not misses the latency objective even when idle.  So the
 * object decides: all entry hosts rank the servers for it by rendezvous hashing
 * and arrive at the same few without talking.  A busy first choice is waited for:
 * a server that has to be warmed for the overflow takes three times as long, and
 * forgets another object for it, so under load that nobody can bear every server
 * would end up cold.  Only a server with time to spare takes overflow.
 *
 * Nearness weighs in by the size of the request: a photograph costs more to carry
 * to another domain than a cold server costs in time, a look-up costs next to
 * nothing.
 *
 * Load is what this host has in flight plus what the server last said that others
 * have, which fades since it gets stale.
 */
#include "internal/placement.h"
#include "internal/membership.h"
#include "internal/routing.h"

#include <math.h>
#include <string.h>

#define REPORT_HALF_LIFE_US 250000.0
#define LATENCY_SMOOTHING 0.1
#define FAILURE_SMOOTHING 0.15
/* A server that fails or turns away more than this, and more than twice what its fellows do, is
 * only tried now and then. */
#define FAILURE_LIMIT 0.35
#define FAILURE_FACTOR 2.0
#define FAILING_RETRY_US INT64_C (1000000)
/* Slower than its fellows by more than this counts as having fewer slots. */
#define SLOW_FACTOR 2.5
/* A server that owes an answer and has given none for so many latency objectives may be silent or
 * very slow; further requests would be held up with the first. */
#define STALL_OBJECTIVES 2.5
#define DOWN_FIRST_US INT64_C (500000)
#define DOWN_LAST_US INT64_C (4000000)
/* How long the work and the wait before it may take, in latency objectives.  Late is better for a
 * caller than refused, but where most answers are late the queues only make all of them late. */
#define QUEUE_OBJECTIVES 1.8
#define QUEUE_OBJECTIVES_LEAST 1.0
/* The first limit falls to the second between these fractions of late answers, smoothed over some
 * hundred answers. */
#define LATE_PART_SOME 0.5
#define LATE_PART_MOST 0.8
#define LATE_SMOOTHING (1.0 / 128)
/* Of the time that the caller has left; beyond it the wait would be for nothing. */
#define QUEUE_TIME_PART 0.85
/* Servers beside the first that an object may overflow to.  More copies would push other objects
 * out of the servers' memory, which makes all requests slow just when there are many. */
#define COPIES 2
/* With fewer servers to choose from than this, one: accounts that are bound to a region bring
 * the objects of all regions to it. */
#define SERVERS_FOR_COPIES 8
/* A server that is less busy than this has time to spare for them. */
#define SPARE_LOAD 0.8
/* What another region counts as, in slots, when any idle server will do. */
#define FAR_LOAD 0.25
#define RESERVED_LOAD 0.4
/* A region is left to the requests bound to it when they make up more than this part of what its
 * share of the servers can take; it is opened again below the second. */
#define RESERVE_ABOVE 0.5
#define RESERVE_BELOW 0.3
#define RESERVE_PERIOD_US INT64_C (500000)
/* Requests that a region's part is judged by. */
#define HOMED_MEMORY 400.0
#define RESERVED_WEIGHT 0.02
/* Of the rate that a cold server bears. */
#define COLD_PART_USED 0.9
#define GONE_KEPT_US INT64_C (5000000)
/* Weights in the ranking: nearness pulls an object to this domain or region. */
/* Enough to keep more than half of the small requests in their region, and little enough that a
 * region with few servers is not filled by its own. */
#define REGION_WEIGHT_SMALL 2.0
#define REGION_WEIGHT_LARGE 1e3
#define DOMAIN_WEIGHT_LARGE 1e6

struct ranked
{
  struct pl_backend *backend;
  double cost; /* lower is better */
};

static void
free_service (gpointer data)
{
  struct pl_placement_service *service = data;

  g_ptr_array_free (service->backends, TRUE);
  g_free (service);
}

void
pl_placement_init (struct pl_placement *placement, const char *domain, int region)
{
  placement->backends = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  placement->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  placement->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_strlcpy (placement->domain, domain, sizeof placement->domain);
  placement->region = region;
}

void
pl_placement_clear (struct pl_placement *placement)
{
  g_hash_table_destroy (placement->services);
  g_hash_table_destroy (placement->backends);
  g_hash_table_destroy (placement->evacuated);
}

static struct pl_placement_service *
take_service (struct pl_placement *placement, const char *name)
{
  struct pl_placement_service *service = g_hash_table_lookup (placement->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (struct pl_placement_service, 1);
  g_strlcpy (service->name, name, sizeof service->name);
  service->backends = g_ptr_array_new ();
  g_hash_table_insert (placement->services, service->name, service);
  return service;
}

void
pl_placement_set_service (struct pl_placement *placement, const char *name, int64_t cold_time_us,
                          double cold_per_second)
{
  struct pl_placement_service *service = take_service (placement, name);

  service->cold_time_us = cold_time_us;
  service->cold_per_second = cold_per_second;
}

struct pl_backend *
pl_placement_find (struct pl_placement *placement, const char *id)
{
  return g_hash_table_lookup (placement->backends, id);
}

/* A server that starts again under its old name has lost all that was known of it. */
static void
restart (struct pl_backend *backend, int64_t now_us)
{
  backend->reported = 0;
  backend->own_at_report = 0;
  backend->failures = 0;
  backend->down_until_us = 0;
  backend->on_trial = false;
  backend->failure_part = 0;
  backend->work_us = 0;
  backend->cold_tokens = 0;
  backend->cold_refilled_us = now_us;
}

struct pl_backend *
pl_placement_put (struct pl_placement *placement, const struct pl_server_entry *entry, int region,
                  bool at_start, int64_t now_us)
{
  struct pl_backend *backend = pl_placement_find (placement, entry->id);
  struct pl_placement_service *service = take_service (placement, entry->service);
  bool is_new = backend == NULL || backend->entry.born != entry->born
                || strcmp (backend->entry.address, entry->address) != 0;
  int64_t cold_us = entry->cold_us;

  if (backend != NULL && strcmp (backend->entry.service, entry->service) != 0)
    {
      g_ptr_array_remove (take_service (placement, backend->entry.service)->backends, backend);
      g_ptr_array_add (service->backends, backend);
    }
  if (backend == NULL)
    {
      backend = g_new0 (struct pl_backend, 1);
      backend->entry = *entry;
      backend->hash = pl_id_of ("servers", entry->id);
      g_hash_table_insert (placement->backends, backend->entry.id, backend);
      g_ptr_array_add (service->backends, backend);
    }
  backend->entry = *entry;
  backend->region = region;
  backend->is_near = strcmp (entry->domain, placement->domain) == 0;
  backend->gone_us = INT64_MAX;
  if (is_new)
    restart (backend, now_us);
  if (is_new && !at_start)
    cold_us = MAX (cold_us, service->cold_time_us);
  if (cold_us > 0)
    backend->cold_until_us = MAX (backend->cold_until_us, now_us + cold_us);
  return backend;
}

void
pl_placement_drop (struct pl_placement *placement, const char *id, int64_t use_until_us)
{
  struct pl_backend *backend = pl_placement_find (placement, id);

  if (backend != NULL)
    backend->gone_us = MIN (backend->gone_us, use_until_us);
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
pl_placement_is_listed (const struct pl_placement *placement, const struct pl_backend *backend,
                        int64_t now_us)
{
  return !backend->entry.draining && now_us < backend->gone_us
         && (g_hash_table_size (placement->evacuated) == 0
             || !g_hash_table_contains (placement->evacuated, backend->entry.domain));
}

static bool
was_tried (const struct pl_placement_wish *wish, const struct pl_backend *backend)
{
  for (int i = 0; i < wish->tried_count; i++)
    if (wish->tried[i] == backend->hash)
      return true;
  return false;
}

static bool
is_eligible (const struct pl_placement *placement, const struct pl_placement_wish *wish,
             const struct pl_backend *backend, int64_t now_us)
{
  if (!pl_placement_is_listed (placement, backend, now_us) || was_tried (wish, backend))
    return false;
  return !wish->has_homes
         || (backend->region != PL_NONE && (wish->homes >> backend->region & 1) != 0);
}

static bool
is_stalled (const struct pl_placement_wish *wish, const struct pl_backend *backend, int64_t now_us)
{
  return backend->in_flight > 0
         && (double) (now_us - backend->progress_us)
                > (double) wish->objective_us * STALL_OBJECTIVES;
}

static bool
is_sound (const struct pl_placement_service *service, const struct pl_placement_wish *wish,
          const struct pl_backend *backend, int64_t now_us)
{
  if (now_us < backend->down_until_us || is_stalled (wish, backend, now_us))
    return false;
  if (backend->on_trial && (wish->only_tried_and_sound || backend->in_flight > 0))
    return false;
  return backend->failure_part < FAILURE_LIMIT
         || backend->failure_part < service->failure_part * FAILURE_FACTOR
         || now_us - backend->picked_us > FAILING_RETRY_US;
}

static double
load_of (const struct pl_backend *backend, int64_t now_us)
{
  double others = MAX (backend->reported - backend->own_at_report, 0);
  double age = (double) (now_us - backend->reported_us) / REPORT_HALF_LIFE_US;

  return backend->in_flight + (others > 0 ? others * exp2 (-age) : 0);
}

static double
slots_of (const struct pl_placement_service *service, const struct pl_backend *backend)
{
  double slots = backend->slots_reported > 0 ? backend->slots_reported : backend->entry.slots;

  if (service->work_us > 0 && backend->work_us > service->work_us * SLOW_FACTOR)
    slots *= service->work_us / backend->work_us;
  return fmax (slots, 0.5);
}

/* Some requests may run in one region only.  Where they need a good part of its servers, requests
 * that may run anywhere keep away. */
static void
count_homed (struct pl_placement_service *service, const struct pl_placement_wish *wish)
{
  double fade = 1 - 1 / HOMED_MEMORY;
  int homes = __builtin_popcount (wish->homes);

  service->asked = service->asked * fade + 1;
  for (int r = 0; r < PL_PLACEMENT_REGIONS_MAX; r++)
    {
      service->regions[r].homed *= fade;
      if (wish->has_homes && (wish->homes >> r & 1) != 0)
        service->regions[r].homed += 1.0 / homes;
    }
}

static void
judge_reservations (struct pl_placement_service *service, int64_t now_us)
{
  int slots = 0;

  if (now_us < service->regions_due_us)
    return;
  service->regions_due_us = now_us + RESERVE_PERIOD_US;
  for (int r = 0; r < PL_PLACEMENT_REGIONS_MAX; r++)
    service->regions[r].slots = 0;
  for (guint i = 0; i < service->backends->len; i++)
    {
      const struct pl_backend *backend = g_ptr_array_index (service->backends, i);

      if (backend->region == PL_NONE || backend->entry.draining || now_us >= backend->gone_us)
        continue;
      service->regions[backend->region].slots += backend->entry.slots;
      slots += backend->entry.slots;
    }
  for (int r = 0; r < PL_PLACEMENT_REGIONS_MAX; r++)
    {
      struct pl_placement_region *region = &service->regions[r];
      double share = slots > 0 ? (double) region->slots / slots : 0;
      double limit = region->reserved ? RESERVE_BELOW : RESERVE_ABOVE;

      region->reserved = region->homed > service->asked * share * limit && region->slots < slots;
    }
}

static bool
is_reserved (const struct pl_placement_service *service, const struct pl_placement_wish *wish,
             const struct pl_backend *backend)
{
  return !wish->has_homes && backend->region != PL_NONE
         && service->regions[backend->region].reserved;
}

static double
weight_of (const struct pl_placement *placement, const struct pl_placement_service *service,
           const struct pl_placement_wish *wish, const struct pl_backend *backend)
{
  double weight = fmax (backend->entry.slots, 1);

  if (is_reserved (service, wish, backend))
    weight *= RESERVED_WEIGHT;

  if (wish->is_large && backend->is_near)
    return weight * DOMAIN_WEIGHT_LARGE;
  if (wish->is_large && backend->region == placement->region)
    return weight * REGION_WEIGHT_LARGE;
  return backend->region == placement->region ? weight * REGION_WEIGHT_SMALL : weight;
}

/* Keeps the PL_PLACEMENT_RANKED_MAX cheapest in rising order.  Returns the new count. */
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

/* Returns whether one more request may go to BACKEND, which may be cold: all hosts together stay
 * below what a cold server bears. */
static bool
has_cold_token (const struct pl_placement_service *service, struct pl_backend *backend,
                double share, int64_t now_us)
{
  double rate = service->cold_per_second * COLD_PART_USED * share;
  double seconds = (double) (now_us - backend->cold_refilled_us) / 1e6;

  backend->cold_tokens = fmin (backend->cold_tokens + seconds * rate, 1.0);
  backend->cold_refilled_us = now_us;
  return share > 0 && backend->cold_tokens >= 1;
}

/* Returns whether a cold server may get a request from this host. */
static bool
may_warm (const struct pl_placement_service *service, struct pl_backend *backend,
          pl_cold_share cold_share, void *data, int64_t now_us)
{
  double share = 1;

  if (backend->in_flight > 0)
    return false;
  if (cold_share != NULL)
    share = cold_share (data, backend, service->cold_per_second);
  return has_cold_token (service, backend, share, now_us);
}

/* What one pass over the servers finds. */
struct scan
{
  struct ranked ranked[PL_PLACEMENT_RANKED_MAX];
  int ranked_count;
  struct pl_backend *idlest;
  double idlest_load; /* in slots */
  int listed;         /* may run it */
  int sound;          /* of these, can be expected to answer */
  int near;           /* of these, in this domain */
};

/* Returns the load of BACKEND with one more request, in slots. */
static double
load_with_one (const struct pl_placement_service *service, const struct pl_backend *backend,
               int64_t now_us)
{
  return (load_of (backend, now_us) + 1) / slots_of (service, backend);
}

static double
queue_objectives (const struct pl_placement_service *service)
{
  double excess = (service->late_part - LATE_PART_SOME) / (LATE_PART_MOST - LATE_PART_SOME);

  return QUEUE_OBJECTIVES
         - (QUEUE_OBJECTIVES - QUEUE_OBJECTIVES_LEAST) * fmin (fmax (excess, 0), 1);
}

/* Returns whether a request sent to BACKEND now is answered in a time that is still of use, or at
 * least runs at once. */
static bool
has_room (const struct pl_placement_service *service, const struct pl_placement_wish *wish,
          const struct pl_backend *backend, int64_t now_us)
{
  double load = load_with_one (service, backend, now_us);
  double work_us = backend->work_us > 0 ? backend->work_us : service->work_us;
  double limit_us = fmin ((double) wish->objective_us * queue_objectives (service),
                          (double) wish->time_us * QUEUE_TIME_PART);

  return load <= 1 || (work_us > 0 && work_us * load <= limit_us);
}

/* The first of the ranking while it has room, then another with time to spare. */
static struct pl_backend *
choose_ranked (const struct pl_placement_service *service, const struct pl_placement_wish *wish,
               const struct scan *scan, int64_t now_us)
{
  const struct ranked *ranked = scan->ranked;
  int choice = wish->is_large && scan->near > 0 ? scan->near : scan->sound;
  int copies = choice >= SERVERS_FOR_COPIES ? COPIES : 1;

  if (scan->ranked_count > 0 && has_room (service, wish, ranked[0].backend, now_us))
    return ranked[0].backend;
  for (int i = 1; i < scan->ranked_count && i <= copies; i++)
    if (load_with_one (service, ranked[i].backend, now_us) <= SPARE_LOAD)
      return ranked[i].backend;
  return NULL;
}

/* Weighted rendezvous hashing: the lowest cost, -log (unit) / weight, wins, so that each server
 * gets its weight's share.  Most servers are passed over by a lower bound of the cost, which needs
 * no logarithm. */
static void
rank (const struct pl_placement *placement, const struct pl_placement_service *service,
      const struct pl_placement_wish *wish, struct pl_backend *backend, struct scan *scan)
{
  double unit = ((double) (pl_hash_pair (wish->object, backend->hash) >> 11) + 1) / 0x1p53;
  double weight = weight_of (placement, service, wish, backend);

  if (scan->ranked_count == PL_PLACEMENT_RANKED_MAX
      && (1 - unit) / weight > scan->ranked[PL_PLACEMENT_RANKED_MAX - 1].cost)
    return;
  scan->ranked_count
      = insert_ranked (scan->ranked, scan->ranked_count, backend, -log (unit) / weight);
}

/* For requests that concern no object. */
static void
note_idlest (const struct pl_placement *placement, const struct pl_placement_service *service,
             const struct pl_placement_wish *wish, struct pl_backend *backend, struct scan *scan,
             int64_t now_us)
{
  double load = load_with_one (service, backend, now_us);

  if (backend->region != placement->region)
    load += FAR_LOAD;
  if (is_reserved (service, wish, backend))
    load += RESERVED_LOAD;
  if (scan->idlest != NULL && load >= scan->idlest_load)
    return;
  scan->idlest = backend;
  scan->idlest_load = load;
}

static void
scan_servers (struct pl_placement *placement, struct pl_placement_service *service,
              const struct pl_placement_wish *wish, struct scan *scan, pl_cold_share cold_share,
              void *data, int64_t now_us)
{
  for (guint i = 0; i < service->backends->len; i++)
    {
      struct pl_backend *backend = g_ptr_array_index (service->backends, i);

      if (!is_eligible (placement, wish, backend, now_us))
        continue;
      scan->listed++;
      if (!is_sound (service, wish, backend, now_us))
        continue;
      if (now_us < backend->cold_until_us && !may_warm (service, backend, cold_share, data, now_us))
        continue;
      scan->sound++;
      scan->near += backend->is_near;
      if (wish->object != 0)
        rank (placement, service, wish, backend, scan);
      else
        note_idlest (placement, service, wish, backend, scan, now_us);
    }
}

/* A large request that has no room near goes where a small one for its object would, so that it may
 * find the object in memory, if that server has time to spare: a domain with few servers for its
 * callers would refuse what others could run. */
static struct pl_backend *
choose_far (struct pl_placement *placement, struct pl_placement_service *service,
            const struct pl_placement_wish *wish, pl_cold_share cold_share, void *data,
            int64_t now_us)
{
  struct pl_placement_wish small = *wish;
  struct scan scan = {.idlest = NULL};

  small.is_large = false;
  scan_servers (placement, service, &small, &scan, cold_share, data, now_us);
  for (int i = 0; i < scan.ranked_count && i <= COPIES; i++)
    if (load_with_one (service, scan.ranked[i].backend, now_us) <= SPARE_LOAD)
      return scan.ranked[i].backend;
  return NULL;
}

/* The caller's request has to wait for one of those that were ranked for it. */
static void
note_awaited (const struct scan *scan, struct pl_placement_choice *choice)
{
  choice->awaited_count = scan->ranked_count;
  for (int i = 0; i < scan->ranked_count; i++)
    choice->awaited[i] = scan->ranked[i].backend->hash;
}

enum pl_placement_verdict
pl_placement_choose (struct pl_placement *placement, const struct pl_placement_wish *wish,
                     pl_cold_share cold_share, void *data, struct pl_placement_choice *choice,
                     int64_t now_us)
{
  struct pl_placement_service *service = g_hash_table_lookup (placement->services, wish->service);
  struct scan scan = {.idlest = NULL};
  struct pl_backend *best = NULL;

  memset (choice, 0, sizeof *choice);
  if (service == NULL)
    return PL_PLACE_NONE;
  judge_reservations (service, now_us);
  scan_servers (placement, service, wish, &scan, cold_share, data, now_us);
  if (scan.listed == 0)
    return PL_PLACE_NONE;
  if (wish->object != 0)
    best = choose_ranked (service, wish, &scan, now_us);
  else if (scan.idlest != NULL && scan.idlest_load <= 1 + FAR_LOAD)
    best = scan.idlest;
  if (best == NULL && wish->object != 0 && wish->is_large)
    best = choose_far (placement, service, wish, cold_share, data, now_us);
  if (best == NULL)
    {
      note_awaited (&scan, choice);
      return PL_PLACE_FULL;
    }
  if (now_us < best->cold_until_us)
    best->cold_tokens -= 1;
  count_homed (service, wish);
  best->load_at_send = load_with_one (service, best, now_us);
  if (best->in_flight == 0)
    best->progress_us = now_us;
  best->in_flight++;
  best->picked_us = now_us;
  choice->backend = best;
  return PL_PLACED;
}

static void
smooth (double *value, double sample, double part)
{
  *value += *value == 0 ? sample : part * (sample - *value);
}

/* FAILED: 0 for none, 1 for a failure, between for what tells less. */
static void
note_failure (struct pl_placement *placement, struct pl_backend *backend, double failed)
{
  struct pl_placement_service *service = take_service (placement, backend->entry.service);

  backend->failure_part += FAILURE_SMOOTHING * (failed - backend->failure_part);
  service->failure_part += FAILURE_SMOOTHING / 4 * (failed - service->failure_part);
}

void
pl_placement_note_answer (struct pl_placement *placement, struct pl_backend *backend,
                          const struct pl_placement_answer *answer)
{
  struct pl_placement_service *service = take_service (placement, backend->entry.service);
  double work_us = (double) answer->latency_us / fmax (answer->load, 1);

  backend->failures = 0;
  backend->on_trial = false;
  note_failure (placement, backend, answer->failed ? 1.0 : 0.0);
  service->late_part += LATE_SMOOTHING * ((answer->late ? 1.0 : 0.0) - service->late_part);
  if (answer->failed || answer->latency_us <= 0)
    return;
  smooth (&backend->work_us, work_us, LATENCY_SMOOTHING);
  smooth (&service->work_us, work_us, LATENCY_SMOOTHING / 4);
}

void
pl_placement_note_full (struct pl_placement *placement, struct pl_backend *backend, bool says_load,
                        int64_t now_us)
{
  note_failure (placement, backend, 1.0);
  if (says_load)
    return;
  backend->reported = MAX (backend->reported, MAX (backend->entry.slots, 1) * 3);
  backend->own_at_report = backend->in_flight;
  backend->reported_us = now_us;
}

bool
pl_placement_note_broken (struct pl_placement *placement, struct pl_backend *backend,
                          bool not_reached, int64_t now_us)
{
  int64_t pause_us = DOWN_FIRST_US << MIN (backend->failures, 3);

  backend->failures++;
  note_failure (placement, backend, 1.0);
  /* One lost connection tells little; two in a row, or a server that can not be reached, do. */
  if (!not_reached && backend->failures < 2)
    return false;
  backend->down_until_us = now_us + MIN (pause_us, DOWN_LAST_US);
  backend->on_trial = true;
  return true;
}

void
pl_placement_note_load (struct pl_backend *backend, int running, int waiting, int slots,
                        int64_t now_us)
{
  backend->reported = running + waiting;
  backend->own_at_report = backend->in_flight;
  backend->reported_us = now_us;
  backend->slots_reported = slots;
}

void
pl_placement_note_probe (struct pl_placement *placement, struct pl_backend *backend, bool well,
                         int64_t cold_us, int64_t now_us)
{
  backend->probe_open = false;
  if (!well)
    {
      pl_placement_note_broken (placement, backend, true, now_us);
      return;
    }
  backend->on_trial = false;
  backend->failures = 0;
  backend->down_until_us = 0;
  if (cold_us > 0)
    backend->cold_until_us = MAX (backend->cold_until_us, now_us + cold_us);
}

struct pl_backend *
pl_placement_to_probe (struct pl_placement *placement, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pl_backend *backend = value;

      if (backend->on_trial && !backend->probe_open && backend->in_flight == 0
          && now_us >= backend->down_until_us
          && pl_placement_is_listed (placement, backend, now_us))
        return backend;
    }
  return NULL;
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

      if (backend->gone_us > now_us - GONE_KEPT_US || backend->in_flight > 0 || backend->probe_open)
        continue;
      g_ptr_array_remove (take_service (placement, backend->entry.service)->backends, backend);
      g_hash_table_iter_remove (&iter);
    }
}
