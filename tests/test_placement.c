/* Tests of placement, without I/O.  Each guards one rule of the selection of a server under the
 * load that made the rule necessary. */
#include "internal/placement.h"
#include "suite.h"

#include <string.h>

#define SERVERS 16
#define SLOTS 5
#define OBJECTS 285
#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)

static struct pl_placement placement;
static int stock; /* handle of the service of all servers */

static struct pl_server_entry
make_entry (int number, const char *domain)
{
  struct pl_server_entry entry = {.service = "stock", .slots = SLOTS, .born = 1};
  g_autofree char *id = g_strdup_printf ("server-%d", number);

  entry.id = g_intern_string (id);
  g_snprintf (entry.address, sizeof entry.address, "10.0.0.%d:80", number + 1);
  entry.domain = domain;
  return entry;
}

/* Half of the servers in region 0, half in region 1. */
static void
add_servers (int count)
{
  for (int i = 0; i < count; i++)
    {
      struct pl_server_entry entry = make_entry (i, i % 2 == 0 ? "a-1" : "b-1");

      pl_placement_put (&placement, &entry, i % 2, true, 0);
    }
}

static void
set_up (void)
{
  pl_placement_init (&placement, "a-1", 0);
  stock = pl_placement_ensure_service (&placement, "stock");
  pl_placement_set_service (&placement, stock, 3 * SECOND, 14);
  add_servers (SERVERS);
}

static void
tear_down (void)
{
  pl_placement_clear (&placement);
}

static struct pl_placement_request
make_request (uint64_t object)
{
  return (struct pl_placement_request){.service = stock,
                                       .object = object,
                                       .objective_us = 200 * MS,
                                       .time_left_us = SECOND,
                                       .home_regions = UINT32_MAX};
}

static const struct pl_load_report idle = {.slots = SLOTS};

static struct pl_backend *
choose (const struct pl_placement_request *request, int64_t now_us)
{
  struct pl_placement_choice choice;

  pl_placement_choose (&placement, request, NULL, NULL, &choice, now_us);
  return choice.backend;
}

static void
finish (struct pl_backend *backend, int64_t latency_us, int64_t now_us)
{
  double load = backend->load_at_send;

  backend->in_flight--;
  backend->progress_us = now_us;
  pl_placement_record_load (&placement, backend,
                            &(struct pl_load_report){.running = backend->in_flight, .slots = SLOTS},
                            now_us);
  pl_placement_record_answer (&placement, backend,
                              &(struct pl_placement_answer){false, false, latency_us, load});
}

/* The load is more than the servers can take with cold caches and half of what they can take with
 * warm ones.  When requests for a busy first server went to any idle server, each object came to be
 * cached on six servers. */
START_TEST (an_object_is_on_few_servers_under_overload)
{
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct pl_backend *running[4096];
  int64_t ends[4096];
  int running_count = 0;
  uint32_t random = 1;
  guint copies;

  for (int64_t now = 0; now < 4 * SECOND; now += 2 * MS)
    {
      struct pl_placement_request request;
      struct pl_backend *backend;

      for (int i = 0; i < running_count; i++)
        if (ends[i] <= now)
          {
            finish (running[i], 240 * MS, now);
            running[i] = running[--running_count];
            ends[i--] = ends[running_count];
          }
      random = random * 1103515245 + 12345;
      request = make_request (1 + (random >> 16) % OBJECTS);
      backend = choose (&request, now);
      if (backend == NULL)
        continue;
      g_hash_table_add (seen, g_strdup_printf ("%d %s", (int) request.object, backend->entry.id));
      running[running_count] = backend;
      ends[running_count++] = now + 240 * MS;
    }
  copies = g_hash_table_size (seen);
  ck_assert_uint_le (copies, OBJECTS * 3UL);
  g_hash_table_destroy (seen);
}
END_TEST

/* Guards against hosts that each cache an object at another server. */
START_TEST (hosts_choose_the_same_server_independently)
{
  struct pl_placement other;
  struct pl_placement_request request = make_request (77);
  struct pl_backend *here = choose (&request, 0);
  struct pl_placement_choice there;

  pl_placement_init (&other, "b-1", 1);
  for (int i = SERVERS - 1; i >= 0; i--)
    {
      struct pl_server_entry entry = make_entry (i, i % 2 == 0 ? "a-1" : "b-1");

      pl_placement_put (&other, &entry, i % 2, true, 0);
    }
  pl_placement_choose (&other, &request, NULL, NULL, &there, 0);
  ck_assert_str_eq (here->entry.id, there.backend->entry.id);
  pl_placement_clear (&other);
}
END_TEST

/* Fills the queue of the first server for an object, with requests that take 100 ms.  Returns the
 * number of requests that are in flight there then. */
static int
fill_queue (int64_t time_left_us, int late_answers)
{
  struct pl_placement_request request = make_request (5);
  struct pl_backend *first = choose (&request, 0);
  struct pl_placement_answer late = {.late = true, .load = 1};
  int placed = 0;

  finish (first, 100 * MS, 0);
  for (int i = 0; i < late_answers; i++)
    pl_placement_record_answer (&placement, first, &late);
  request.time_left_us = time_left_us;
  while (choose (&request, 0) != NULL)
    placed++;
  ck_assert_int_ge (placed, first->in_flight);
  return first->in_flight;
}

/* The last request of the queue is answered within 1.8 latency objectives of 200 ms. */
START_TEST (a_queue_is_limited_by_the_latency_objective)
{
  int queued = fill_queue (SECOND, 0);

  ck_assert_int_le (queued, SLOTS * 36L / 10);
  ck_assert_int_ge (queued, SLOTS * 2L);
}
END_TEST

/* A request that cannot be answered by its deadline is not queued. */
START_TEST (a_queue_is_limited_by_the_remaining_time)
{
  ck_assert_int_le (fill_queue (250 * MS, 0), SLOTS * 25L / 10);
}
END_TEST

/* When most answers are late, a long queue would make all of them late. */
START_TEST (queues_are_shorter_when_answers_are_late)
{
  ck_assert_int_le (fill_queue (SECOND, 1000), SLOTS * 2L);
}
END_TEST

/* A server that has not answered for long is not chosen again until it answers. */
START_TEST (a_stalled_server_gets_no_new_requests)
{
  struct pl_placement_request request = make_request (9);
  struct pl_backend *silent = choose (&request, 0);
  struct pl_backend *other;

  ck_assert_ptr_eq (choose (&request, 400 * MS), silent);
  other = choose (&request, 600 * MS);
  ck_assert_ptr_ne (other, silent);
  finish (other, 100 * MS, 700 * MS);
  finish (silent, 100 * MS, 700 * MS);
  ck_assert_ptr_eq (choose (&request, 800 * MS), silent);
}
END_TEST

/* Half of the requests may run in region 0 only and need all of its capacity; the others must run
 * elsewhere. */
START_TEST (a_region_is_reserved_for_requests_bound_to_it)
{
  int in_region[2] = {0, 0};

  for (int64_t now = 0; now < 4 * SECOND; now += 4 * MS)
    {
      struct pl_placement_request request = make_request (1 + (uint64_t) (now / MS) % OBJECTS);
      struct pl_backend *backend;

      request.has_home_regions = now / (4 * MS) % 2 == 0;
      request.home_regions = request.has_home_regions ? 1 : UINT32_MAX;
      backend = choose (&request, now);
      ck_assert_ptr_nonnull (backend);
      if (request.has_home_regions)
        ck_assert_int_eq (backend->region, 0);
      else if (now > SECOND)
        in_region[backend->region]++;
      finish (backend, 50 * MS, now);
    }
  ck_assert_int_lt (in_region[0] * 10L, in_region[1]);
}
END_TEST

/* A transfer to another domain takes longer than a cache miss at a local server. */
START_TEST (a_large_body_stays_in_its_domain)
{
  for (uint64_t object = 1; object < 50; object++)
    {
      struct pl_placement_request request = make_request (object);
      struct pl_backend *backend;

      request.is_large = true;
      backend = choose (&request, 0);
      ck_assert_str_eq (backend->entry.domain, "a-1");
      finish (backend, 50 * MS, 0);
    }
}
END_TEST

#define LOCAL_SERVERS 3
/* Each takes one latency objective, so that a server of five slots takes nine of them. */
#define LARGE_REQUESTS 45

/* The callers of a domain with three servers send more large bodies than these can take, and
 * another region has many servers.  Requests without local capacity run in the other region, each
 * object always on the same server.  Once there is local capacity again, requests stay in the
 * domain. */
START_TEST (a_large_body_leaves_its_domain_only_without_local_capacity)
{
  struct pl_backend *busy[LARGE_REQUESTS];
  int local = 0;
  int remote = 0;

  tear_down ();
  pl_placement_init (&placement, "a-1", 0);
  stock = pl_placement_ensure_service (&placement, "stock");
  pl_placement_set_service (&placement, stock, 3 * SECOND, 14);
  for (int i = 0; i < SERVERS; i++)
    {
      struct pl_server_entry entry = make_entry (i, i < LOCAL_SERVERS ? "a-1" : "b-1");

      pl_placement_put (&placement, &entry, i < LOCAL_SERVERS ? 0 : 1, true, 0);
    }
  for (int i = 0; i < LARGE_REQUESTS; i++)
    {
      struct pl_placement_request request = make_request ((uint64_t) i + 1);

      request.is_large = true;
      if (i == 0)
        finish (choose (&request, 0), 200 * MS, 0);
      busy[i] = choose (&request, 0);
      ck_assert_ptr_nonnull (busy[i]);
      local += busy[i]->is_local;
      remote += !busy[i]->is_local;
      if (!busy[i]->is_local)
        {
          struct pl_backend *again = choose (&request, 0);

          ck_assert_ptr_eq (again, busy[i]);
          finish (again, 200 * MS, 0);
        }
    }
  ck_assert_int_ge (local, SLOTS);
  ck_assert_int_ge (remote, SLOTS);
  for (int i = 0; i < LARGE_REQUESTS; i++)
    finish (busy[i], 200 * MS, 0);
  for (uint64_t object = 1; object <= SLOTS; object++)
    {
      struct pl_placement_request request = make_request (object + 100);
      struct pl_backend *backend;

      request.is_large = true;
      backend = choose (&request, 0);
      ck_assert (backend->is_local);
      finish (backend, 200 * MS, 0);
    }
}
END_TEST

/* A server with a cold cache takes three times as long; it gets at most the 14 requests per second
 * that the service allows. */
START_TEST (a_cold_server_is_rate_limited)
{
  struct pl_server_entry entry = make_entry (0, "a-1");
  int placed = 0;

  tear_down ();
  pl_placement_init (&placement, "a-1", 0);
  stock = pl_placement_ensure_service (&placement, "stock");
  pl_placement_set_service (&placement, stock, 3 * SECOND, 14);
  pl_placement_put (&placement, &entry, 0, false, 0);
  for (int64_t now = SECOND; now < 2 * SECOND; now += MS)
    {
      struct pl_placement_request request = make_request ((uint64_t) now);
      struct pl_backend *backend = choose (&request, now);

      if (backend == NULL)
        continue;
      placed++;
      finish (backend, MS, now);
    }
  ck_assert_int_le (placed, 14);
  ck_assert_int_ge (placed, 8);
}
END_TEST

/* Requests for objects whose first server has just restarted with a cold cache go to the next
 * server. */
START_TEST (a_cold_server_does_not_delay_its_objects)
{
  int placed = 0;

  for (int i = 0; i < 4; i++)
    {
      struct pl_server_entry entry = make_entry (i, i % 2 == 0 ? "a-1" : "b-1");

      entry.born = 2;
      pl_placement_put (&placement, &entry, i % 2, false, SECOND);
    }
  for (int64_t now = SECOND; now < 2 * SECOND; now += 4 * MS)
    {
      struct pl_placement_request request = make_request (1 + (uint64_t) (now / MS) % OBJECTS);
      struct pl_backend *backend = choose (&request, now);

      if (backend == NULL)
        continue;
      placed++;
      finish (backend, 50 * MS, now);
    }
  ck_assert_int_eq (placed, 250);
}
END_TEST

START_TEST (draining_evacuated_and_removed_servers_are_not_used)
{
  struct pl_server_entry entry;

  for (int i = 0; i < SERVERS; i += 2)
    pl_placement_remove (&placement, make_entry (i, "a-1").id, i == 0 ? SECOND : 0);
  entry = make_entry (1, "b-1");
  entry.draining = true;
  pl_placement_put (&placement, &entry, 1, false, 0);
  for (uint64_t object = 1; object < 200; object++)
    {
      struct pl_placement_request request = make_request (object);
      struct pl_backend *backend = choose (&request, 2 * SECOND);

      ck_assert_str_eq (backend->entry.domain, "b-1");
      ck_assert_str_ne (backend->entry.id, "server-1");
      finish (backend, MS, 2 * SECOND);
    }
  pl_placement_evacuate (&placement, "b-1", true);
  for (uint64_t object = 1; object < 20; object++)
    {
      struct pl_placement_request request = make_request (object);
      struct pl_placement_choice choice;

      ck_assert_int_eq (pl_placement_choose (&placement, &request, NULL, NULL, &choice, 2 * SECOND),
                        PL_PLACE_NONE);
    }
}
END_TEST

/* Returns the first server that is due for a probe, or NULL. */
static struct pl_backend *
find_to_probe (int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, placement.backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (pl_placement_needs_probe (&placement, value, now_us))
      return value;
  return NULL;
}

/* Guards against the use of requests instead of probes to test a failed server. */
START_TEST (an_unreachable_server_is_probed_before_use)
{
  struct pl_placement_request request = make_request (9);
  struct pl_backend *backend = choose (&request, 0);

  backend->in_flight--;
  pl_placement_record_failure (&placement, backend, true, 0);
  ck_assert_ptr_null (find_to_probe (100 * MS));
  ck_assert_ptr_ne (choose (&request, 100 * MS), backend);
  ck_assert_ptr_eq (find_to_probe (SECOND), backend);
  request.at_most_once = true;
  ck_assert_ptr_ne (choose (&request, SECOND), backend);
  pl_placement_record_probe (&placement, backend, true, 0, SECOND);
  ck_assert_ptr_eq (choose (&request, SECOND), backend);
}
END_TEST

/* All servers reject half of their requests although they are idle.  When each counted as full and
 * failing, nearly all requests were refused. */
START_TEST (servers_that_all_reject_requests_stay_in_use)
{
  int placed = 0;

  for (int64_t now = 0; now < 4 * SECOND; now += 4 * MS)
    {
      struct pl_placement_request request = make_request (1 + (uint64_t) (now / MS) % OBJECTS);
      struct pl_backend *backend = choose (&request, now);

      if (backend == NULL)
        continue;
      placed++;
      if (placed % 2 == 0)
        finish (backend, 50 * MS, now);
      else
        {
          backend->in_flight--;
          pl_placement_record_load (&placement, backend, &idle, now);
          pl_placement_record_rejection (&placement, backend, true, now);
        }
    }
  ck_assert_int_ge (placed, 950);
}
END_TEST

/* Only one server rejects its requests; the others take them. */
START_TEST (a_single_server_that_rejects_requests_is_avoided)
{
  int at_rejecting_server = 0;

  for (int64_t now = 0; now < 4 * SECOND; now += 4 * MS)
    {
      struct pl_placement_request request = make_request (1 + (uint64_t) (now / MS) % OBJECTS);
      struct pl_backend *backend = choose (&request, now);

      ck_assert_ptr_nonnull (backend);
      if (strcmp (backend->entry.id, "server-3") != 0)
        {
          finish (backend, 50 * MS, now);
          continue;
        }
      at_rejecting_server++;
      backend->in_flight--;
      pl_placement_record_load (&placement, backend, &idle, now);
      pl_placement_record_rejection (&placement, backend, true, now);
    }
  ck_assert_int_le (at_rejecting_server, 20);
}
END_TEST

/* What makes the servers that a copy would go to unfit for it. */
enum unfitness
{
  UNFIT_NOT,
  UNFIT_BUSY, /* they would still queue a request of their own */
  UNFIT_COLD,
  UNFIT_LIMITED,
  UNFIT_FAILED,
  UNFIT_COUNT,
};

static void
make_unfit (struct pl_backend *backend, enum unfitness unfitness)
{
  switch (unfitness)
    {
    case UNFIT_BUSY:
      backend->in_flight = SLOTS - 1;
      backend->progress_us = SECOND;
      break;
    case UNFIT_COLD:
      backend->cold_until_us = 2 * SECOND;
      backend->cold_tokens = 1;
      break;
    case UNFIT_LIMITED:
      backend->limit.in_force = true;
      break;
    case UNFIT_FAILED:
      backend->breaker_tripped = true;
      break;
    default:
      break;
    }
}

/* Guards against copies that queue, or take what other requests need: they would be late
 * themselves, and make others late. */
START_TEST (a_copy_goes_to_another_free_server_only)
{
  for (uint64_t object = 0; object < 8; object++)
    {
      struct pl_placement_request request = make_request (object);
      struct pl_placement_choice choice;
      enum pl_placement_result result;
      const struct pl_backend *first;

      tear_down ();
      set_up ();
      first = choose (&request, SECOND);
      request.tried = &first->hash;
      request.tried_count = 1;
      request.is_copy = true;
      for (guint i = 0; _i != UNFIT_NOT && i < SERVERS; i++)
        {
          g_autofree char *id = g_strdup_printf ("server-%u", i);

          make_unfit (pl_placement_find (&placement, id), (enum unfitness) _i);
        }
      result = pl_placement_choose (&placement, &request, NULL, NULL, &choice, SECOND);
      ck_assert_int_eq (result == PL_PLACED, _i == UNFIT_NOT);
      ck_assert_ptr_ne (choice.backend, first);
    }
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "placement");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, an_object_is_on_few_servers_under_overload);
  tcase_add_test (tcase, hosts_choose_the_same_server_independently);
  tcase_add_test (tcase, a_queue_is_limited_by_the_latency_objective);
  tcase_add_test (tcase, a_queue_is_limited_by_the_remaining_time);
  tcase_add_test (tcase, queues_are_shorter_when_answers_are_late);
  tcase_add_test (tcase, a_stalled_server_gets_no_new_requests);
  tcase_add_test (tcase, a_region_is_reserved_for_requests_bound_to_it);
  tcase_add_test (tcase, a_large_body_stays_in_its_domain);
  tcase_add_test (tcase, a_large_body_leaves_its_domain_only_without_local_capacity);
  tcase_add_test (tcase, a_cold_server_is_rate_limited);
  tcase_add_test (tcase, a_cold_server_does_not_delay_its_objects);
  tcase_add_test (tcase, draining_evacuated_and_removed_servers_are_not_used);
  tcase_add_test (tcase, an_unreachable_server_is_probed_before_use);
  tcase_add_test (tcase, servers_that_all_reject_requests_stay_in_use);
  tcase_add_test (tcase, a_single_server_that_rejects_requests_is_avoided);
  tcase_add_loop_test (tcase, a_copy_goes_to_another_free_server_only, UNFIT_NOT, UNFIT_COUNT);
  return suite_run (suite);
}
