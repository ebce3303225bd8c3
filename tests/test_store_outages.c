/* Rows that go missing around outages of the store: servers that could not renew their rows are
 * used until they register again, servers that have left are not. */
#include "internal/router_state.h"
#include "router_world.h"
#include "suite.h"

#include <string.h>

/* Bounds of the users. */
#define DRAIN_US (2 * WORLD_SECOND)
#define STABLE_WINDOW_US (3 * WORLD_SECOND)
#define REGISTERED_US (2 * WORLD_SECOND)

#define OUTAGE_US (4500 * WORLD_MS)
#define SERVERS 6
#define PEERS 2
#define STRONG_CAPACITY 10000
#define BEACON_PERIOD_US (500 * WORLD_MS)

static struct world *world;
static struct pl_beacon peers[PEERS];
static bool has_peers;

static void
set_up (void)
{
  static const char *const domains[] = {"a-1", "b-1"};

  world = world_new ();
  has_peers = false;
  world_put_config (world, 7, NULL);
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("s-%d", i);

      world_put_server (world, id, domains[i % 2], "ready", 1);
    }
  world_advance (world, 5 * WORLD_SECOND);
  ck_assert (world->watching);
}

static void
tear_down (void)
{
  world_free (world);
}

static void
feed_call (enum pl_router_event_type type, int64_t age_us, bool timed_out)
{
  struct pl_router_event event
      = {.type = type, .u.store_call = {.age_us = age_us, .timed_out = timed_out}};

  world_step (world, &event);
}

/* A call to the store that was sent AGE_US ago is answered; or it fails, by a timeout if it is not
 * new. */
static void
end_call (bool is_answered, int64_t age_us)
{
  feed_call (is_answered ? PL_ROUTER_STORE_OK : PL_ROUTER_STORE_FAILED, age_us,
             !is_answered && age_us > 0);
}

static bool
is_used (const char *id)
{
  const struct pl_backend *backend = pl_placement_find (&world->router->placement, id);

  return backend != NULL
         && pl_placement_is_usable (&world->router->placement, backend, world->now_us);
}

/* Feeds the deletion of COUNT servers from FIRST on, as one change. */
static void
delete_servers (int first, int count)
{
  struct pl_row rows[SERVERS] = {0};
  char keys[SERVERS][8];

  for (int i = 0; i < count; i++)
    {
      g_snprintf (keys[i], sizeof keys[i], "s-%d", first + i);
      rows[i] = (struct pl_row){.key = keys[i], .version = ++world->version};
    }
  world_feed_rows (world, &(struct pl_rows_event){.table = PL_TABLE_SERVERS,
                                                  .version = world->version,
                                                  .rows = rows,
                                                  .count = count});
}

/* How an outage shows. */
enum outage_kind
{
  BUSY,    /* calls are refused at once */
  SILENT,  /* calls hang, the last one from before the return on */
  HANGING, /* no call is made but the poll that was sent before, which hangs through the end */
  OUTAGE_KINDS,
};

/* A call that fails, in milliseconds from the start of the outage. */
struct failing_call
{
  int ended;
  int age;
};

static const struct failing_call failing_calls[OUTAGE_KINDS][12] = {
    [BUSY]
    = {{0, 0}, {100, 0}, {300, 0}, {700, 0}, {1500, 0}, {2300, 0}, {3100, 0}, {3900, 0}, {-1, 0}},
    [SILENT] = {{1500, 2000}, {3200, 1500}, {5500, 1500}, {-1, 0}},
    [HANGING] = {{4400, 4500}, {-1, 0}},
};
/* When the first call is answered. */
static const int answered_ms[OUTAGE_KINDS] = {[BUSY] = 4700, [SILENT] = 6300, [HANGING] = 4510};

static void
send_peer_beacons (void)
{
  for (int i = 0; has_peers && i < PEERS; i++)
    world_receive_beacon (world, &peers[i]);
}

static void
meet_peers (void)
{
  peers[0] = world_peer_beacon ("peer-1", "a-2");
  peers[1] = world_peer_beacon ("peer-2", "b-1");
  has_peers = true;
  send_peer_beacons ();
}

/* The peers' calls to the store fail, or are answered again. */
static void
set_peers_lost (bool is_lost)
{
  for (int i = 0; i < PEERS; i++)
    {
      peers[i].store_lost = is_lost;
      peers[i].store_error_us = 0;
    }
  send_peer_beacons ();
}

static void
advance_to (int64_t us)
{
  while (world->now_us < us)
    {
      world_advance (world, MIN (us - world->now_us, BEACON_PERIOD_US));
      for (int i = 0; i < PEERS; i++)
        if (!peers[i].store_lost && peers[i].store_error_us >= 0)
          peers[i].store_error_us += BEACON_PERIOD_US;
      send_peer_beacons ();
    }
}

/* Runs an outage that begins now, up to the first answer.  Returns when the store came back. */
static int64_t
run_outage (enum outage_kind kind, bool for_peers)
{
  int64_t begun_us = world->now_us;

  for (const struct failing_call *call = failing_calls[kind]; call->ended >= 0; call++)
    {
      advance_to (begun_us + call->ended * WORLD_MS);
      end_call (false, call->age * WORLD_MS);
      if (for_peers)
        set_peers_lost (true);
    }
  advance_to (begun_us + answered_ms[kind] * WORLD_MS);
  end_call (true, 5 * WORLD_MS);
  return begun_us + OUTAGE_US;
}

/* Polls that hang are reset when the store is back. */
START_TEST (a_reset_dates_the_failure)
{
  int64_t back_us = world->now_us + OUTAGE_US;

  advance_to (back_us);
  feed_call (PL_ROUTER_STORE_FAILED, 4200 * WORLD_MS, false);
  advance_to (back_us + 110 * WORLD_MS);
  end_call (true, 5 * WORLD_MS);
  delete_servers (0, 1);
  advance_to (back_us + REGISTERED_US);
  ck_assert (is_used ("s-0"));
  advance_to (back_us + STABLE_WINDOW_US);
  ck_assert (!is_used ("s-0"));
}
END_TEST

/* One watcher's poll hangs on when the others have been answered, and is then reset. */
START_TEST (a_reset_after_the_return_is_no_new_failure)
{
  int64_t back_us;

  meet_peers ();
  back_us = world->now_us + OUTAGE_US;
  advance_to (back_us - 500 * WORLD_MS);
  set_peers_lost (true);
  advance_to (back_us + 100 * WORLD_MS);
  set_peers_lost (false);
  advance_to (back_us + 1500 * WORLD_MS);
  feed_call (PL_ROUTER_STORE_FAILED, 4000 * WORLD_MS, false);
  world_advance (world, 100 * WORLD_MS);
  end_call (true, 5 * WORLD_MS);
  delete_servers (0, 1);
  ck_assert (is_used ("s-0"));
  advance_to (back_us + STABLE_WINDOW_US);
  ck_assert (!is_used ("s-0"));
}
END_TEST

/* Guards against the use of servers that left when the store had been back for long: each
 * departure within four seconds of an outage was taken for a lapse (DRAIN). */
START_TEST (a_server_that_leaves_after_an_outage_is_not_used)
{
  int64_t back_us;

  if (_i / OUTAGE_KINDS == 1)
    meet_peers ();
  back_us = run_outage ((enum outage_kind) (_i % OUTAGE_KINDS), _i / OUTAGE_KINDS == 1);
  advance_to (back_us + STABLE_WINDOW_US + 50 * WORLD_MS);
  end_call (true, 50 * WORLD_MS);
  delete_servers (0, 1);
  advance_to (world->now_us + DRAIN_US - 200 * WORLD_MS);
  ck_assert (!is_used ("s-0"));
  ck_assert (is_used ("s-1"));
}
END_TEST

/* Guards against services without servers while those register again. */
START_TEST (servers_whose_rows_lapsed_are_used_until_they_register_again)
{
  enum outage_kind kind = (enum outage_kind) _i;
  int64_t back_us = run_outage (kind, false);

  delete_servers (0, 4);
  ck_assert (is_used ("s-0") && is_used ("s-3"));
  if (kind != HANGING) /* nobody knows when the store came back */
    advance_to (MAX (back_us + REGISTERED_US, world->now_us));
  ck_assert (is_used ("s-0") && is_used ("s-3"));
  world_put_server (world, "s-0", "a-1", "ready", 1);
  advance_to (back_us + STABLE_WINDOW_US + DRAIN_US - 200 * WORLD_MS);
  ck_assert (is_used ("s-0"));
  ck_assert (!is_used ("s-3"));
}
END_TEST

/* A row that is reported late has lapsed no later. */
START_TEST (rows_that_are_reported_late_are_used_no_longer)
{
  int64_t back_us = run_outage (BUSY, false);

  advance_to (back_us + 2 * WORLD_SECOND);
  delete_servers (0, 2);
  ck_assert (is_used ("s-0"));
  advance_to (back_us + STABLE_WINDOW_US);
  ck_assert (!is_used ("s-0"));
}
END_TEST

/* The store refuses the calls of this host only. */
START_TEST (an_outage_for_one_host_explains_no_missing_row)
{
  meet_peers ();
  run_outage (BUSY, false);
  delete_servers (0, 1);
  ck_assert (!is_used ("s-0"));
}
END_TEST

/* Guards against the second outage being taken for one of the store, since all hosts met the
 * first. */
START_TEST (an_outage_for_one_host_behind_one_of_the_store_explains_no_missing_row)
{
  meet_peers ();
  run_outage (BUSY, true);
  set_peers_lost (false);
  advance_to (world->now_us + 2500 * WORLD_MS);
  end_call (false, 0);
  advance_to (world->now_us + 1500 * WORLD_MS);
  end_call (false, 0);
  advance_to (world->now_us + 500 * WORLD_MS);
  end_call (true, 5 * WORLD_MS);
  delete_servers (0, 1);
  ck_assert (!is_used ("s-0"));
}
END_TEST

/* Connections that are reset once are no outage in which a row can lapse. */
START_TEST (a_single_failure_explains_no_missing_row)
{
  end_call (false, 0);
  world_advance (world, 100 * WORLD_MS);
  end_call (true, 5 * WORLD_MS);
  delete_servers (0, 1);
  ck_assert (!is_used ("s-0"));
}
END_TEST

START_TEST (each_outage_of_a_row_of_them_counts_from_its_own_end)
{
  int64_t back_us;

  run_outage (BUSY, false);
  world_advance (world, STABLE_WINDOW_US);
  back_us = run_outage (SILENT, false);
  delete_servers (0, 2);
  advance_to (back_us + REGISTERED_US);
  ck_assert (is_used ("s-0"));
  advance_to (back_us + STABLE_WINDOW_US + DRAIN_US - 200 * WORLD_MS);
  ck_assert (!is_used ("s-0"));
}
END_TEST

/* A peer tells with the rows how long their servers are used. */
START_TEST (rows_from_a_peer_are_used_for_as_long_as_the_peer_uses_them)
{
  struct pl_row rows[]
      = {{.key = "s-0", .version = world->version + 1, .used_for_us = 0},
         {.key = "s-1", .version = world->version + 2, .used_for_us = 700 * WORLD_MS},
         {.key = "s-2", .version = world->version + 3, .used_for_us = 0}};

  if (_i == 1) /* whatever this host has met itself */
    run_outage (BUSY, false);
  world_feed_rows (world, &(struct pl_rows_event){.table = PL_TABLE_SERVERS,
                                                  .from_peer = true,
                                                  .tells_use = true,
                                                  .version = world->version + 3,
                                                  .rows = rows,
                                                  .count = G_N_ELEMENTS (rows)});
  ck_assert (!is_used ("s-0") && is_used ("s-1") && !is_used ("s-2"));
  world_advance (world, 600 * WORLD_MS);
  ck_assert (is_used ("s-1"));
  world_advance (world, 200 * WORLD_MS);
  ck_assert (!is_used ("s-1"));
}
END_TEST

struct relayed
{
  int deleted;
  int64_t longest_us;
};

static void
record_relayed (void *data, enum pl_table table, const struct pl_row *row)
{
  struct relayed *relayed = data;

  if (table != PL_TABLE_SERVERS || row->value != NULL)
    return;
  relayed->deleted++;
  relayed->longest_us = MAX (relayed->longest_us, row->used_for_us);
}

/* What is told to peers shrinks with time, so that no host uses a server for longer than the one
 * that has read the store. */
START_TEST (peers_are_told_the_rest_of_the_time)
{
  struct relayed first = {0};
  struct relayed second = {0};
  struct relayed whole = {0};
  int64_t before = world->version;
  bool is_snapshot;

  run_outage (BUSY, false);
  delete_servers (0, 4);
  pl_router_rows_after (world->router, PL_TABLE_SERVERS, before, &is_snapshot, record_relayed,
                        &first);
  world_advance (world, WORLD_SECOND);
  pl_router_rows_after (world->router, PL_TABLE_SERVERS, before, &is_snapshot, record_relayed,
                        &second);
  ck_assert_int_eq (first.deleted, 4);
  ck_assert_int_eq (second.deleted, 4);
  ck_assert_int_eq (second.longest_us, first.longest_us - WORLD_SECOND);
  pl_router_rows_after (world->router, PL_TABLE_SERVERS, -1, &is_snapshot, record_relayed, &whole);
  ck_assert_int_eq (whole.deleted, 4);
  ck_assert_int_eq (whole.longest_us, second.longest_us);
}
END_TEST

/* Guards against a report of an outage that a host gave as a delegate and never took back. */
START_TEST (a_former_delegate_reports_no_outage)
{
  struct pl_beacon delegate = world_peer_beacon ("peer-1", "a-1");
  struct pl_row row = {.key = "s-0", .version = world->version + 1};
  struct pl_rows_event of_earlier_version = {.table = PL_TABLE_SERVERS,
                                             .from_peer = true,
                                             .version = world->version + 1,
                                             .rows = &row,
                                             .count = 1};

  /* This host is no delegate itself. */
  for (int i = 0; i < PL_DELEGATES; i++)
    {
      g_autofree char *name = g_strdup_printf ("strong-%d", i);
      struct pl_beacon strong = world_peer_beacon (name, "a-1");

      strong.self.capacity = STRONG_CAPACITY;
      world_receive_beacon (world, &strong);
    }
  delegate.is_delegate = delegate.store_down = true;
  world_receive_beacon (world, &delegate);
  delegate.is_delegate = delegate.store_down = _i == 1;
  world_receive_beacon (world, &delegate);
  world_feed_rows (world, &of_earlier_version);
  ck_assert (is_used ("s-0") == (_i == 1));
}
END_TEST

/* Several rows that go missing at once may have lapsed in an outage that no host has met. */
START_TEST (removals_at_once_stay_within_the_time_for_draining)
{
  int64_t told_us = 600 * WORLD_MS; /* by a slow store, to a host that reads it */

  world_advance (world, told_us);
  delete_servers (0, 4);
  ck_assert (is_used ("s-0"));
  world_advance (world, DRAIN_US - told_us - 100 * WORLD_MS);
  ck_assert (!is_used ("s-0"));
}
END_TEST

static void
feed_kept_row (const struct pl_row *row)
{
  world_feed_rows (world, &(struct pl_rows_event){.table = PL_TABLE_SERVERS,
                                                  .from_peer = true,
                                                  .tells_use = true,
                                                  .version = pl_position (1, 30),
                                                  .rows = row,
                                                  .count = 1});
}

/* Guards against hosts that keep what a restored store has lost for longer and longer, as each
 * brings it back to the others, while servers that have left stay in use. */
START_TEST (the_store_decides_once_on_rows_that_it_has_lost)
{
  g_autofree char *ready = world_make_server ("s-0", "a-1", "ready", 1, 1);
  g_autofree char *draining = world_make_server ("s-0", "a-1", "draining", 1, 9);
  struct pl_row copied = {"s-0", ready, strlen (ready), pl_position (1, 3), 0};
  struct pl_row kept = {"s-0", draining, strlen (draining), world->version + 5, 0};
  int64_t restored_us = world->now_us;

  world_feed_rows (world, &(struct pl_rows_event){.table = PL_TABLE_SERVERS,
                                                  .is_snapshot = true,
                                                  .version = pl_position (1, 30),
                                                  .rows = &copied,
                                                  .count = 1});
  ck_assert (is_used ("s-0") && is_used ("s-1"));
  /* What a peer knows arrives later than the store's own rows. */
  advance_to (restored_us + WORLD_SECOND);
  feed_kept_row (&kept);
  ck_assert (!is_used ("s-0") && is_used ("s-1"));
  advance_to (restored_us + STABLE_WINDOW_US);
  ck_assert (is_used ("s-0") && !is_used ("s-1"));
  feed_kept_row (&kept);
  ck_assert (is_used ("s-0"));
  ck_assert_int_eq (eras_count_contested (world->router), 0);
}
END_TEST

/* A watcher whose polls hang learns from its peers that it should ask again. */
START_TEST (a_peers_loss_or_return_makes_a_watcher_check_the_store)
{
  meet_peers ();
  ck_assert_int_eq (world->store_checks, 0);
  set_peers_lost (true);
  ck_assert_int_eq (world->store_checks, 1);
  advance_to (world->now_us + 1200 * WORLD_MS);
  set_peers_lost (false);
  ck_assert_int_eq (world->store_checks, 2);
  end_call (false, 0);
  advance_to (world->now_us + 1200 * WORLD_MS);
  set_peers_lost (true); /* it knows already */
  ck_assert_int_eq (world->store_checks, 2);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "store_outages");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, a_server_that_leaves_after_an_outage_is_not_used, 0,
                       2 * OUTAGE_KINDS);
  tcase_add_loop_test (tcase, servers_whose_rows_lapsed_are_used_until_they_register_again, 0,
                       OUTAGE_KINDS);
  tcase_add_test (tcase, a_reset_dates_the_failure);
  tcase_add_test (tcase, a_reset_after_the_return_is_no_new_failure);
  tcase_add_test (tcase, rows_that_are_reported_late_are_used_no_longer);
  tcase_add_test (tcase, an_outage_for_one_host_explains_no_missing_row);
  tcase_add_test (tcase, an_outage_for_one_host_behind_one_of_the_store_explains_no_missing_row);
  tcase_add_test (tcase, a_single_failure_explains_no_missing_row);
  tcase_add_test (tcase, each_outage_of_a_row_of_them_counts_from_its_own_end);
  tcase_add_loop_test (tcase, rows_from_a_peer_are_used_for_as_long_as_the_peer_uses_them, 0, 2);
  tcase_add_test (tcase, peers_are_told_the_rest_of_the_time);
  tcase_add_loop_test (tcase, a_former_delegate_reports_no_outage, 0, 2);
  tcase_add_test (tcase, removals_at_once_stay_within_the_time_for_draining);
  tcase_add_test (tcase, the_store_decides_once_on_rows_that_it_has_lost);
  tcase_add_test (tcase, a_peers_loss_or_return_makes_a_watcher_check_the_store);
  return suite_run (suite);
}
