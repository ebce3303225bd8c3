/* Replays a recorded burst in virtual time, with placement on nine entry hosts and with simpler
 * policies.
 *
 * tests/data/burst.csv holds the requests that nine hosts admitted in eight seconds of a day on
 * which traffic rose to more than three times the usual rate.  The simulated servers behave as on
 * that day: a request for a cached object takes a third of the time, the cache evicts the least
 * recently used object, and a full queue rejects requests.
 *
 * Guards against changes by which placement serves fewer requests in time than a simpler policy.
 * With --table it prints the results of each policy.
 */
#include "internal/membership.h"
#include "internal/placement.h"
#include "suite.h"

#include <errno.h>
#include <stdio.h>
#include <assert.h>
#include <string.h>

#define RECORDING "tests/data/burst.csv"
#define HOSTS 9
#define REGIONS 3
#define SERVICES 3
#define SERVERS_MAX 40
#define CACHE_MAX 40 /* objects */
#define QUEUE_FACTOR 3
#define MS INT64_C (1000)
#define OBJECTIVE_US (200 * MS)
#define CALLER_TIMEOUT_US (1200 * MS)
#define QUEUE_WAIT_US (OBJECTIVE_US / 8)
#define RETRY_AFTER_US (150 * MS)
#define REGION_DELAY_US (12 * MS) /* one way between regions */
#define END_US (11000 * MS)
#define LATE_CREDIT 0.2 /* of an answer after the latency objective; one in time counts 1 */

static const struct
{
  int servers;
  int slots;
  int cache_capacity; /* objects */
  int64_t warm_us;
} services[SERVICES] = {{16, 5, 40, 88 * MS}, {12, 3, 22, 115 * MS}, {12, 3, 22, 87 * MS}};
#define COLD_FACTOR 3
/* On machines that servers share with others, this many in 100 work slower by the factor, for a
 * phase of this length at a time. */
#define SLOW_IN_100 15
#define SLOW_PERCENT 250
#define PHASE_US (600 * MS)
#define PHASES_SEEDS 6
/* Fractions of the recording with which such servers are tried: with all of it they are overloaded.
 */
static const int kept_in_100[] = {50, 75, 100};

/* What a run varies. */
struct run
{
  bool is_doubled;     /* adds a request for the object of the service's previous request to each */
  int kept_in_100;     /* of the recorded requests */
  bool has_no_objects; /* all requests do the same work */
  bool has_slow_phases;
  int phases_seed;
  bool is_managed;
};

struct request
{
  int64_t arrived_us; /* at the first host */
  int64_t due_us;     /* end of the wait for a server; the request is refused then */
  int64_t sent_us;
  double load_at_send;
  int host;
  int service;
  uint64_t object;
  bool retried;
  int server;
  struct pl_backend *backend; /* the host's view of the server */
};

struct server
{
  int number;
  int service;
  int region;
  uint64_t hash;
  int running;
  GQueue waiting; /* of struct request */
  uint64_t cache[CACHE_MAX];
  int cache_size;
};

enum event_type
{
  EVENT_ARRIVED,
  EVENT_AT_SERVER,
  EVENT_PROCESSED,
  EVENT_ANSWERED,
  EVENT_REJECTED,
};

struct event
{
  int64_t due_us;
  enum event_type type;
  struct request *request;
};

struct result
{
  int in_time;
  int late;
  int refused;
  int cold;
};

struct replay;
struct policy
{
  const char *name;
  /* Returns the number of a server, or -1: the request waits. */
  int (*choose) (struct replay *replay, struct request *request);
};

struct replay
{
  const struct policy *policy;
  struct run run;
  struct pl_placement placements[HOSTS];
  struct server servers[SERVERS_MAX];
  int server_count;
  int loads[HOSTS][SERVERS_MAX]; /* requests in flight or reported, for the simpler policies */
  GSequence *events;             /* of struct event, by due time */
  GQueue waiting;                /* of struct request, at the entry hosts */
  int64_t now_us;
  uint32_t random;
  struct result result;
};

static int
region_of (int host)
{
  return host * REGIONS / HOSTS;
}

static gint
compare_due_times (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *left = a;
  const struct event *right = b;

  (void) data;
  return left->due_us < right->due_us ? -1 : left->due_us > right->due_us;
}

static void
schedule (struct replay *replay, enum event_type type, struct request *request, int64_t delay_us)
{
  struct event *event = g_new (struct event, 1);

  *event = (struct event){replay->now_us + delay_us, type, request};
  g_sequence_insert_sorted (replay->events, event, compare_due_times, NULL);
}

static bool
is_full (const struct replay *replay, int host, int server)
{
  return replay->loads[host][server] >= services[replay->servers[server].service].slots;
}

static int
choose_random (struct replay *replay, struct request *request)
{
  int server;

  do
    {
      replay->random = replay->random * 1664525 + 1013904223;
      server = (int) ((replay->random >> 8) % (uint32_t) replay->server_count);
    }
  while (replay->servers[server].service != request->service);
  return server;
}

static int
choose_least_loaded (struct replay *replay, struct request *request)
{
  int best = -1;

  for (int i = 0; i < replay->server_count; i++)
    if (replay->servers[i].service == request->service
        && replay->servers[i].region == region_of (request->host)
        && (best < 0 || replay->loads[request->host][i] < replay->loads[request->host][best]))
      best = i;
  return is_full (replay, request->host, best) ? -1 : best;
}

static int
choose_by_hash (struct replay *replay, struct request *request)
{
  uint64_t best_weight = 0;
  int best = -1;

  for (int i = 0; i < replay->server_count; i++)
    {
      uint64_t weight = pl_hash_pair (request->object, replay->servers[i].hash);

      if (replay->servers[i].service == request->service && (best < 0 || weight > best_weight))
        {
          best = i;
          best_weight = weight;
        }
    }
  return best;
}

static int
choose_placement (struct replay *replay, struct request *request)
{
  struct pl_placement_request placement_request
      = {.service = request->service,
         .object = request->object,
         .objective_us = OBJECTIVE_US,
         .time_left_us = request->arrived_us + CALLER_TIMEOUT_US - replay->now_us,
         .home_regions = UINT32_MAX};

  struct pl_placement_choice choice;

  if (pl_placement_choose (&replay->placements[request->host], &placement_request, NULL, NULL,
                           &choice, replay->now_us)
      != PL_PLACED)
    return -1;
  request->backend = choice.backend;
  return atoi (request->backend->entry.id);
}

static const struct policy policies[] = {
    {"random", choose_random},
    {"least loaded of the region", choose_least_loaded},
    {"rendezvous hashing without bounds", choose_by_hash},
    {"placement", choose_placement},
};
#define PLACEMENT (G_N_ELEMENTS (policies) - 1)

static void
add_server (struct replay *replay, int service, int region)
{
  struct server *server = &replay->servers[replay->server_count];
  static const char *const names[SERVICES] = {"0", "1", "2"};
  struct pl_server_entry entry = {.slots = services[service].slots, .born = 1};
  g_autofree char *id = g_strdup_printf ("%d", replay->server_count);
  g_autofree char *domain = g_strdup_printf ("%d-%d", region, replay->server_count % 2);

  server->number = replay->server_count++;
  server->service = service;
  server->region = region;
  g_queue_init (&server->waiting);
  entry.id = id;
  entry.service = names[service];
  g_snprintf (entry.address, sizeof entry.address, "10.0.0.%d:80", server->number);
  entry.domain = domain;
  for (int host = 0; host < HOSTS; host++)
    {
      struct pl_backend *backend
          = pl_placement_put (&replay->placements[host], &entry, region, true, 0);

      assert (backend->service == service);
      server->hash = backend->hash;
    }
}

static struct replay *
replay_new (const struct policy *policy, const struct run *run)
{
  struct replay *replay = g_new0 (struct replay, 1);

  replay->policy = policy;
  replay->run = *run;
  replay->events = g_sequence_new (g_free);
  replay->random = 1;
  g_queue_init (&replay->waiting);
  for (int host = 0; host < HOSTS; host++)
    {
      char domain[8];

      g_snprintf (domain, sizeof domain, "%d-%d", region_of (host), host % 2);
      pl_placement_init (&replay->placements[host], domain, region_of (host));
      if (run->is_managed)
        pl_placement_set_load_management (&replay->placements[host], PL_LOAD_MANAGEMENT_REPORTED);
    }
  for (int service = 0; service < SERVICES; service++)
    for (int i = 0; i < services[service].servers; i++)
      add_server (replay, service, i % REGIONS);
  return replay;
}

static void
replay_free (struct replay *replay)
{
  for (int host = 0; host < HOSTS; host++)
    pl_placement_clear (&replay->placements[host]);
  for (int i = 0; i < replay->server_count; i++)
    g_queue_clear_full (&replay->servers[i].waiting, g_free);
  g_queue_clear_full (&replay->waiting, g_free);
  g_sequence_free (replay->events);
  g_free (replay);
}

static void
add_request (struct replay *replay, int ms, int host, int service, int object)
{
  struct request *request = g_new0 (struct request, 1);

  request->arrived_us = ms * MS;
  request->host = host;
  request->service = service;
  if (!replay->run.has_no_objects)
    request->object = pl_hash_pair ((uint64_t) object + 1, (uint64_t) service);
  schedule (replay, EVENT_ARRIVED, request, request->arrived_us);
}

static void
load_recording (struct replay *replay)
{
  FILE *file = fopen (RECORDING, "r");
  int last_objects[SERVICES] = {0};
  int line_number = 0;
  char line[64];

  if (file == NULL)
    g_error ("%s: %s", RECORDING, g_strerror (errno));
  while (fgets (line, sizeof line, file) != NULL)
    {
      int ms, host, service, object;

      if (sscanf (line, "%d,%d,%d,%d", &ms, &host, &service, &object) != 4)
        continue;
      if (replay->run.kept_in_100 > 0 && line_number++ % 100 >= replay->run.kept_in_100)
        continue;
      add_request (replay, ms, host, service, object);
      if (replay->run.is_doubled)
        add_request (replay, ms, (host + 4) % HOSTS, service, last_objects[service]);
      last_objects[service] = object;
    }
  fclose (file);
}

static int64_t
network_delay_us (const struct replay *replay, const struct request *request)
{
  return replay->servers[request->server].region == region_of (request->host) ? 0 : REGION_DELAY_US;
}

static void
refuse (struct replay *replay, struct request *request)
{
  if (request->retried)
    {
      replay->result.refused++;
      g_free (request);
      return;
    }
  request->retried = true;
  request->host = (request->host + 1) % HOSTS;
  schedule (replay, EVENT_ARRIVED, request, RETRY_AFTER_US);
}

static bool
place (struct replay *replay, struct request *request)
{
  request->backend = NULL;
  request->server = replay->policy->choose (replay, request);
  if (request->server < 0)
    return false;
  replay->loads[request->host][request->server]++;
  request->sent_us = replay->now_us;
  if (request->backend != NULL)
    request->load_at_send = request->backend->load_at_send;
  schedule (replay, EVENT_AT_SERVER, request, network_delay_us (replay, request));
  return true;
}

/* Returns whether SERVER had OBJECT cached; caches it otherwise. */
static bool
use_cache (struct server *server, uint64_t object)
{
  int position = 0;
  bool hit;

  while (position < server->cache_size && server->cache[position] != object)
    position++;
  hit = position < server->cache_size;
  if (!hit && server->cache_size < services[server->service].cache_capacity)
    server->cache_size++;
  position = MIN (position, server->cache_size - 1);
  memmove (&server->cache[1], &server->cache[0], sizeof server->cache[0] * (size_t) position);
  server->cache[0] = object;
  return hit;
}

/* Returns how long work takes at SERVER at AT_US, in per cent.  The phases of servers begin at
 * different times. */
static int
work_percent (const struct replay *replay, const struct server *server, int64_t at_us)
{
  uint64_t phase = (uint64_t) ((at_us + (int64_t) server->number * 37 * MS) / PHASE_US)
                   + 1000 * (uint64_t) replay->run.phases_seed;
  bool is_slow = replay->run.has_slow_phases
                 && pl_hash_pair (phase, (uint64_t) server->number) % 100 < SLOW_IN_100;

  return is_slow ? SLOW_PERCENT : 100;
}

/* Returns how long SERVER takes from now on for what takes WORK_US at the usual speed. */
static int64_t
time_of_work (const struct replay *replay, const struct server *server, int64_t work_us)
{
  int64_t at_us = replay->now_us;

  while (work_us > 0)
    {
      work_us -= MS * 100 / work_percent (replay, server, at_us);
      at_us += MS;
    }
  return at_us - replay->now_us;
}

static void
start_processing (struct replay *replay, struct server *server, struct request *request)
{
  int64_t work_us = services[server->service].warm_us;

  server->running++;
  if (!use_cache (server, request->object))
    {
      work_us *= COLD_FACTOR;
      replay->result.cold++;
    }
  /* Varies by up to 20 %, depending on the request. */
  work_us += work_us * ((request->arrived_us / MS * 7 + request->host) % 41 - 20) / 100;
  if (replay->run.has_slow_phases)
    work_us = time_of_work (replay, server, work_us);
  schedule (replay, EVENT_PROCESSED, request, work_us);
}

static void
on_arrival_at_server (struct replay *replay, struct request *request)
{
  struct server *server = &replay->servers[request->server];
  int slots = services[server->service].slots;

  if (server->running < slots)
    start_processing (replay, server, request);
  else if (g_queue_get_length (&server->waiting) < (guint) (slots * QUEUE_FACTOR))
    g_queue_push_tail (&server->waiting, request);
  else
    schedule (replay, EVENT_REJECTED, request, network_delay_us (replay, request));
}

static void
on_processed (struct replay *replay, struct request *request)
{
  struct server *server = &replay->servers[request->server];
  struct request *next = g_queue_pop_head (&server->waiting);

  server->running--;
  if (next != NULL)
    start_processing (replay, server, next);
  schedule (replay, EVENT_ANSWERED, request, network_delay_us (replay, request));
}

/* The answer carries the server's load, which the simpler policies use too. */
static void
record_outcome (struct replay *replay, struct request *request, bool served)
{
  const struct server *server = &replay->servers[request->server];
  struct pl_placement *placement = &replay->placements[request->host];
  struct pl_backend *backend = request->backend;
  int waiting = (int) g_queue_get_length ((GQueue *) &server->waiting);
  struct pl_placement_answer answer = {.latency_us = replay->now_us - request->sent_us};

  replay->loads[request->host][request->server] = server->running + waiting;
  if (backend == NULL)
    return;
  answer.late = answer.latency_us > OBJECTIVE_US;
  answer.load = request->load_at_send;
  answer.object = request->object;
  answer.at_us = replay->now_us;
  backend->in_flight--;
  backend->progress_us = replay->now_us;
  pl_placement_record_load (
      placement, backend,
      &(struct pl_load_report){
          server->running, waiting, services[server->service].slots,
          replay->run.has_slow_phases ? work_percent (replay, server, replay->now_us) : 0},
      replay->now_us);
  if (served)
    pl_placement_record_answer (placement, backend, &answer);
  else
    pl_placement_record_rejection (placement, backend, true, replay->now_us);
}

static void
on_answered (struct replay *replay, struct request *request)
{
  int64_t latency_us = replay->now_us - request->arrived_us;

  record_outcome (replay, request, true);
  if (latency_us <= OBJECTIVE_US)
    replay->result.in_time++;
  else if (latency_us <= CALLER_TIMEOUT_US)
    replay->result.late++;
  else
    replay->result.refused++;
  g_free (request);
}

/* Retries the placement of all waiting requests, since any event may have freed capacity. */
static void
place_waiting (struct replay *replay)
{
  guint count = g_queue_get_length (&replay->waiting);

  for (guint i = 0; i < count; i++)
    {
      struct request *request = g_queue_pop_head (&replay->waiting);

      if (place (replay, request))
        continue;
      if (request->due_us <= replay->now_us)
        refuse (replay, request);
      else
        g_queue_push_tail (&replay->waiting, request);
    }
}

static void
handle (struct replay *replay, const struct event *event)
{
  struct request *request = event->request;

  switch (event->type)
    {
    case EVENT_ARRIVED:
      request->due_us = replay->now_us + QUEUE_WAIT_US;
      g_queue_push_tail (&replay->waiting, request);
      break;
    case EVENT_AT_SERVER:
      on_arrival_at_server (replay, request);
      break;
    case EVENT_PROCESSED:
      on_processed (replay, request);
      break;
    case EVENT_ANSWERED:
      on_answered (replay, request);
      break;
    case EVENT_REJECTED:
      record_outcome (replay, request, false);
      refuse (replay, request);
      break;
    }
}

static struct result
run_replay (const struct policy *policy, const struct run *run)
{
  struct replay *replay = replay_new (policy, run);
  struct result result;

  load_recording (replay);
  while (replay->now_us < END_US && g_sequence_get_length (replay->events) > 0)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (replay->events);
      struct event event = *(struct event *) g_sequence_get (first);

      g_sequence_remove (first);
      replay->now_us = event.due_us;
      handle (replay, &event);
      place_waiting (replay);
    }
  result = replay->result;
  replay_free (replay);
  return result;
}

static double
credit_of (const struct result *result)
{
  int all = result->in_time + result->late + result->refused;

  return (result->in_time + LATE_CREDIT * result->late) / all;
}

static void
print_results (const struct run *run)
{
  printf ("\n%s\n\n| policy | in time | late | refused | cold runs | credit "
          "|\n|---|---|---|---|---|---|\n",
          run->is_doubled ? "The recording doubled" : "As recorded");
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      struct result result = run_replay (&policies[i], run);

      printf ("| %s | %d | %d | %d | %d | %.3f |\n", policies[i].name, result.in_time, result.late,
              result.refused, result.cold, credit_of (&result));
    }
}

/* Runs placement with KEPT in 100 requests on servers with slow phases, for PHASES_SEEDS sequences
 * of these.  Returns the sums of the results. */
static struct result
run_slow_phases (int kept, bool has_no_objects, bool is_managed)
{
  struct result sum = {0};

  for (int seed = 0; seed < PHASES_SEEDS; seed++)
    {
      struct run run = {.kept_in_100 = kept,
                        .has_no_objects = has_no_objects,
                        .has_slow_phases = true,
                        .phases_seed = seed,
                        .is_managed = is_managed};
      struct result result = run_replay (&policies[PLACEMENT], &run);

      sum.in_time += result.in_time;
      sum.late += result.late;
      sum.refused += result.refused;
      sum.cold += result.cold;
    }
  return sum;
}

static void
print_slow_phases (void)
{
  printf ("\nServers with slow phases\n\n| requests, of the recorded | objects | load management "
          "| in time | late | refused | cold runs | credit |\n|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < 4 * G_N_ELEMENTS (kept_in_100); i++)
    {
      bool is_managed = i % 2 == 1;
      bool has_no_objects = i / 2 % 2 == 1;
      struct result result = run_slow_phases (kept_in_100[i / 4], has_no_objects, is_managed);

      printf ("| %d %% | %s | %s | %d | %d | %d | %d | %.3f |\n", kept_in_100[i / 4],
              has_no_objects ? "none" : "as recorded", is_managed ? "on" : "off", result.in_time,
              result.late, result.refused, result.cold, credit_of (&result));
    }
}

START_TEST (placement_serves_more_in_time_than_a_simpler_policy)
{
  for (int is_doubled = 0; is_doubled < 2; is_doubled++)
    {
      struct run run = {.is_doubled = is_doubled};
      struct result ours = run_replay (&policies[PLACEMENT], &run);
      struct result other = run_replay (&policies[_i], &run);

      ck_assert_int_gt (ours.in_time, other.in_time);
      ck_assert_double_gt (credit_of (&ours), credit_of (&other));
    }
}
END_TEST

/* Guards against a choice by reported speeds that serves fewer in time than one that ignores them.
 */
START_TEST (expected_times_serve_more_in_time_beside_slow_phases)
{
  int kept = kept_in_100[_i / 2];
  struct result off = run_slow_phases (kept, _i % 2 == 1, false);
  struct result on = run_slow_phases (kept, _i % 2 == 1, true);

  ck_assert_int_gt (on.in_time, off.in_time);
  ck_assert_double_gt (credit_of (&on), credit_of (&off));
}
END_TEST

/* Guards against results that cannot be compared, since they depend on more than the recording. */
START_TEST (a_replay_is_the_same_each_time)
{
  struct run run = {.is_doubled = true};
  struct result first = run_replay (&policies[PLACEMENT], &run);
  struct result second = run_replay (&policies[PLACEMENT], &run);

  ck_assert_int_eq (first.in_time, second.in_time);
  ck_assert_int_eq (first.refused, second.refused);
}
END_TEST

int
main (int argc, char **argv)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "replay");

  if (argc > 1 && strcmp (argv[1], "--table") == 0)
    {
      print_results (&(struct run){.is_doubled = false});
      print_results (&(struct run){.is_doubled = true});
      print_slow_phases ();
      return 0;
    }
  tcase_add_loop_test (tcase, placement_serves_more_in_time_than_a_simpler_policy, 0, PLACEMENT);
  tcase_add_loop_test (tcase, expected_times_serve_more_in_time_beside_slow_phases, 0,
                       2 * G_N_ELEMENTS (kept_in_100));
  tcase_add_test (tcase, a_replay_is_the_same_each_time);
  return suite_run (suite);
}
