/* Guards against the restore of the store from an older copy: versions are assigned again, and what
 * was written in the seconds before is gone until it is written again. */
#include "internal/http_client.h"
#include "internal/reactor.h"
#include "loopback.h"
#include "router_world.h"
#include "suite.h"

#include <poll.h>
#include <string.h>
#include <unistd.h>

/* Servers and operators write again within two seconds after the store is back. */
#define REWRITE_US (2 * WORLD_SECOND)
/* Later than any memory of an earlier era may last. */
#define MEMORY_GONE_US (4 * WORLD_SECOND)

/* More than the records of deleted rows that are kept. */
#define DEPARTURES 2100

#define NEW_ROUTE                                                                                  \
  "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"new\"},\"Spec\":{\"Host\":\"h\","         \
  "\"Prefix\":\"/new/\",\"Kind\":\"idempotent\",\"Timeout\":\"800ms\",\"Service\":\"stock\"}},"

static struct world *world;

static void
feed (enum pl_table table, bool is_snapshot, int64_t version, const struct pl_row *rows, int count)
{
  world_feed_rows (world, &(struct pl_rows_event){.table = table,
                                                  .is_snapshot = is_snapshot,
                                                  .version = version,
                                                  .rows = rows,
                                                  .count = count});
}

static void
feed_config (bool is_snapshot, int64_t version, int number, const char *extra_route)
{
  g_autofree char *text = world_make_config (number, extra_route);
  struct pl_row row = {"config", text, strlen (text), version};

  feed (PL_TABLE_CONTROL, is_snapshot, version, &row, 1);
}

/* Feeds a snapshot of the servers' table with one server in STATE, which has written SEQUENCE times
 * since it was BORN. */
static void
feed_server (bool is_snapshot, int64_t version, const char *state, int64_t born, int sequence)
{
  g_autofree char *text = world_make_server ("s-1", "a-1", state, born, sequence);
  struct pl_row row = {"s-1", text, strlen (text), version};

  feed (PL_TABLE_SERVERS, is_snapshot, version, &row, 1);
}

static void
feed_deleted (enum pl_table table, int64_t version, const char *key)
{
  struct pl_row row = {key, NULL, 0, version};

  feed (table, false, version, &row, 1);
}

/* Era 1: configuration 14 and one server; versions up to 44. */
static void
set_up (void)
{
  world = world_new ();
  feed_config (true, pl_position (1, 44), 14, NULL);
  feed_server (true, pl_position (1, 41), "ready", 1, 7);
  world_advance (world, 4 * WORLD_SECOND);
}

static void
tear_down (void)
{
  world_free (world);
}

/* Returns whether a request on PATH is sent to a server, which answers it. */
static bool
is_served (const char *path)
{
  struct world_call *call = world_send_request (world, path, "key-1");

  if (!call->at_server)
    return false;
  world_end_attempt (world, call, PL_ATTEMPT_ANSWERED, 200);
  return true;
}

static void
visit_config (void *data, enum pl_table table, const struct pl_row *row)
{
  int *highest = data;
  int number = 0;

  (void) table;
  if (strcmp (row->key, "config") == 0 && row->value != NULL)
    sscanf (row->value, "{\"Version\":\"r%d", &number);
  *highest = MAX (*highest, number);
}

/* Returns the number of the configuration that a peer which holds AFTER gets from this host. */
static int
relayed_config (int64_t after)
{
  int number = 0;
  bool is_snapshot;

  pl_router_rows_after (world->router, PL_TABLE_CONTROL, after, &is_snapshot, visit_config,
                        &number);
  return number;
}

START_TEST (a_change_after_a_restore_comes_into_force)
{
  feed_config (true, pl_position (2, 43), 14, NULL);
  ck_assert (!is_served ("/new/1"));
  feed_config (false, pl_position (2, 44), 18, NEW_ROUTE);
  ck_assert (is_served ("/new/1"));
}
END_TEST

/* The copy has an older configuration than the one in force.  The newer one stays in force, and is
 * what peers get. */
START_TEST (a_confirmed_configuration_does_not_come_back_older)
{
  feed_config (false, pl_position (1, 45), 18, NEW_ROUTE);
  feed_config (true, pl_position (2, 43), 14, NULL);
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/new/1"));
  ck_assert_int_eq (relayed_config (0), 18);
  ck_assert_int_eq (relayed_config (pl_position (2, 43)), 18);
  feed_config (false, pl_position (2, 44), 11, NULL);
  ck_assert (is_served ("/new/1"));
  feed_config (false, pl_position (2, 45), 21, NULL);
  ck_assert (!is_served ("/new/1"));
  ck_assert_int_eq (relayed_config (0), 21);
}
END_TEST

/* The copy has no configuration, or one that cannot be decoded. */
START_TEST (a_configuration_outlives_a_copy_without_a_valid_one)
{
  struct pl_row row = {"config", "{\"Version\":\"r", 13, pl_position (2, 3)};

  feed_config (false, pl_position (1, 45), 18, NEW_ROUTE);
  feed (PL_TABLE_CONTROL, true, pl_position (2, 3), &row, _i);
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/new/1"));
  ck_assert_int_eq (relayed_config (0), 18);
}
END_TEST

START_TEST (a_configuration_number_that_is_given_out_again_is_adopted)
{
  feed_config (false, pl_position (1, 45), 18, NULL);
  feed_config (true, pl_position (2, 43), 14, NULL);
  feed_config (false, pl_position (2, 44), 18, NEW_ROUTE);
  ck_assert (is_served ("/new/1"));
}
END_TEST

START_TEST (changes_come_into_force_after_two_restores_in_a_row)
{
  feed_config (false, pl_position (1, 45), 18, NULL);
  feed_config (true, pl_position (2, 43), 14, NULL);
  feed_config (false, pl_position (2, 44), 18, NULL);
  feed_config (true, pl_position (3, 40), 11, NULL);
  feed_config (false, pl_position (3, 41), 21, NEW_ROUTE);
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/new/1"));
}
END_TEST

/* A host that starts knows only the copy.  A peer announces that it has a newer configuration, and
 * sends it although its row is of an earlier era. */
START_TEST (a_host_that_knows_only_the_copy_gets_the_newer_configuration)
{
  g_autofree char *text = world_make_config (18, NEW_ROUTE);
  struct pl_row row = {"config", text, strlen (text), pl_position (1, 45)};
  struct pl_beacon beacon = {
      .host = pl_host_id ("host-b"),
      .incarnation = 1,
      .has_identity = true,
      .ready = true,
      .held = {pl_position (2, 43), pl_position (2, 43)},
      .retained_configuration = 18,
      .self = {.name = "host-b",
               .domain = "a-1",
               .peer_address = "10.0.0.2:7600",
               .caller_address = "10.0.0.2:80",
               .relay_address = "10.0.0.2:7600",
               .capacity = 200},
  };
  struct pl_router_event event = {.type = PL_ROUTER_BEACON, .u.beacon = &beacon};

  feed_config (true, pl_position (2, 43), 14, NULL);
  feed_server (true, pl_position (2, 43), "ready", 1, 8);
  world->fetches = 0;
  world_step (world, &event);
  world_advance (world, 500 * WORLD_MS);
  ck_assert_int_eq (world->fetches, 1);
  world_feed_rows (world, &(struct pl_rows_event){.table = PL_TABLE_CONTROL,
                                                  .from_peer = true,
                                                  .version = pl_position (2, 43),
                                                  .rows = &row,
                                                  .count = 1});
  ck_assert (is_served ("/new/1"));
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/new/1"));
  ck_assert_int_eq (world->last_beacon.retained_configuration, 18);
}
END_TEST

/* An evacuation that is missing in the copy lasts until the operator writes it again. */
START_TEST (an_evacuation_outlives_a_restore)
{
  struct pl_row row = {"evacuate/a-1", "{}", 2, pl_position (1, 45)};

  feed (PL_TABLE_CONTROL, false, pl_position (1, 45), &row, 1);
  ck_assert (!is_served ("/read/1"));
  feed_config (true, pl_position (2, 43), 14, NULL);
  world_advance (world, REWRITE_US);
  ck_assert (!is_served ("/read/1"));
  if (_i == 0)
    {
      row.version = pl_position (2, 44);
      feed (PL_TABLE_CONTROL, false, pl_position (2, 44), &row, 1);
    }
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/read/1") == (_i == 1));
}
END_TEST

/* An evacuation that was taken back stands in the copy. */
START_TEST (an_evacuation_that_was_taken_back_does_not_begin_anew)
{
  g_autofree char *config = world_make_config (14, NULL);
  struct pl_row rows[] = {{"config", config, strlen (config), pl_position (2, 40)},
                          {"evacuate/a-1", "{}", 2, pl_position (2, 43)}};

  rows[1].version = pl_position (1, 45);
  feed (PL_TABLE_CONTROL, false, pl_position (1, 45), &rows[1], 1);
  feed_deleted (PL_TABLE_CONTROL, pl_position (1, 46), "evacuate/a-1");
  ck_assert (is_served ("/read/1"));
  rows[1].version = pl_position (2, 43);
  feed (PL_TABLE_CONTROL, true, pl_position (2, 43), rows, 2);
  world_advance (world, REWRITE_US);
  ck_assert (is_served ("/read/1"));
  if (_i == 0)
    feed_deleted (PL_TABLE_CONTROL, pl_position (2, 44), "evacuate/a-1");
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/read/1") == (_i == 0));
}
END_TEST

/* A server that drains is ready in the copy. */
START_TEST (a_draining_server_is_not_used_again_after_a_restore)
{
  feed_server (false, pl_position (1, 45), "draining", 1, 9);
  feed_server (true, pl_position (2, 43), "ready", 1, 8);
  ck_assert (!is_served ("/read/1"));
  world_advance (world, REWRITE_US);
  ck_assert (!is_served ("/read/1"));
  feed_server (false, pl_position (2, 44), "draining", 1, 10);
  world_advance (world, MEMORY_GONE_US);
  ck_assert (!is_served ("/read/1"));
  feed_server (false, pl_position (2, 45), "ready", 2, 1);
  world_advance (world, WORLD_SECOND);
  ck_assert (is_served ("/read/1"));
}
END_TEST

/* A server that has left stands in the copy.  Its next process has the same id; or the copy was
 * right, and nobody writes again. */
START_TEST (a_server_that_left_is_not_used_again_after_a_restore)
{
  feed_deleted (PL_TABLE_SERVERS, pl_position (1, 45), "s-1");
  world_advance (world, 3 * WORLD_SECOND);
  feed_server (true, pl_position (2, 43), "ready", 1, 7);
  ck_assert (!is_served ("/read/1"));
  world_advance (world, REWRITE_US);
  ck_assert (!is_served ("/read/1"));
  if (_i == 0)
    feed_server (false, pl_position (2, 44), "ready", 2, 1);
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/read/1"));
}
END_TEST

/* Many servers leave while one that stands in the copy again is contested; the store decides on
 * that one all the same. */
START_TEST (many_departures_do_not_lose_a_contested_row)
{
  g_autofree struct pl_row *rows = g_new0 (struct pl_row, DEPARTURES);
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);

  feed_deleted (PL_TABLE_SERVERS, pl_position (1, 45), "s-1");
  feed_server (true, pl_position (2, 43), "ready", 1, 7);
  for (int i = 0; i < DEPARTURES; i++)
    {
      g_ptr_array_add (keys, g_strdup_printf ("gone-%d", i));
      rows[i] = (struct pl_row){keys->pdata[i], NULL, 0, pl_position (2, 44 + i)};
    }
  feed (PL_TABLE_SERVERS, false, pl_position (2, 43 + DEPARTURES), rows, DEPARTURES);
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/read/1"));
}
END_TEST

/* A server that has joined is missing in the copy. */
START_TEST (a_server_that_joined_is_used_until_it_writes_again)
{
  feed (PL_TABLE_SERVERS, true, pl_position (2, 30), NULL, 0);
  ck_assert (is_served ("/read/1"));
  world_advance (world, REWRITE_US);
  ck_assert (is_served ("/read/1"));
  if (_i == 0)
    feed_server (false, pl_position (2, 31), "ready", 1, 8);
  world_advance (world, MEMORY_GONE_US);
  ck_assert (is_served ("/read/1") == (_i == 0));
}
END_TEST

/* A stand-in for the store that answers each call for the operators' table with the next step of a
 * script, and says that the servers' table is empty. */
struct step
{
  bool is_feed; /* a poll for changes, else a snapshot */
  int status;
  int era;
  const char *body;
};

#define CONFIG_14 "{\"Key\":\"config\",\"Value\":\"e30=\",\"Ver\":40}"
#define CONFIG_18 "{\"Key\":\"config\",\"Value\":\"e30=\",\"Ver\":44}"
#define OTHER_ROW "{\"Key\":\"evacuate/a-1\",\"Value\":\"e30=\",\"Ver\":46}"

/* The store has no version 44 any more, and gives it out again. */
static const struct step versions_given_out_again[] = {
    {false, 200, 1, "{\"Rows\":[" CONFIG_14 "],\"HasMore\":false,\"Ver\":44}"},
    {true, 410, 2, "{}"},
    {false, 200, 2, "{\"Rows\":[" CONFIG_14 "],\"HasMore\":false,\"Ver\":43}"},
    {true, 200, 2, "{\"Rows\":[" CONFIG_18 "],\"Ver\":44}"},
    {0},
};

/* The restored store has already counted past version 44 at the first poll, so the answer lacks
 * what was written before. */
static const struct step versions_passed_already[] = {
    {false, 200, 1, "{\"Rows\":[" CONFIG_14 "],\"HasMore\":false,\"Ver\":44}"},
    {true, 200, 2, "{\"Rows\":[" OTHER_ROW "],\"Ver\":46}"},
    {false, 200, 2, "{\"Rows\":[" CONFIG_18 "," OTHER_ROW "],\"HasMore\":false,\"Ver\":46}"},
    {0},
};

/* The store is restored while a snapshot is read page by page. */
static const struct step restored_between_pages[] = {
    {false, 200, 1, "{\"Rows\":[" CONFIG_14 "],\"HasMore\":true,\"Ver\":44}"},
    {false, 200, 2, "{\"Rows\":[" OTHER_ROW "],\"HasMore\":false,\"Ver\":46}"},
    {false, 200, 2, "{\"Rows\":[" CONFIG_18 "," OTHER_ROW "],\"HasMore\":false,\"Ver\":46}"},
    {0},
};

static const struct step *const scripts[]
    = {versions_given_out_again, versions_passed_already, restored_between_pages};

struct reading
{
  int listener;
  const struct step *next;
  struct pl_reactor *reactor;
  int64_t first;  /* position of the first table that was reported */
  int64_t config; /* position of the latest row of the configuration */
  int64_t rows;   /* number of rows that were last reported */
};

static void
answer_call (struct reading *reading)
{
  int fd = accept (reading->listener, NULL, NULL);
  char request[4096] = "";
  g_autofree char *reply = NULL;
  struct step step = {false, 200, 1, "{\"Rows\":[],\"HasMore\":false,\"Ver\":1}"};

  if (read (fd, request, sizeof request - 1) <= 0)
    g_printerr ("no request\n");
  if (strstr (request, "Table=op") != NULL && reading->next->body != NULL)
    {
      step = *reading->next++;
      if (step.is_feed != (strstr (request, "rows-feed") != NULL))
        step.status = 500;
    }
  else if (strstr (request, "rows-feed") != NULL)
    g_usleep (20 * WORLD_MS);
  reply = g_strdup_printf ("HTTP/1.1 %d X\r\nConnection: close\r\nStore-Era: %d\r\n"
                           "Content-Length: %zu\r\n\r\n%s",
                           step.status, step.era, strlen (step.body), step.body);
  if (write (fd, reply, strlen (reply)) < 0)
    g_printerr ("could not write the answer\n");
  close (fd);
}

static gpointer
serve_script (gpointer data)
{
  struct reading *reading = data;
  struct pollfd wait = {.fd = reading->listener, .events = POLLIN};

  while (poll (&wait, 1, 300) == 1)
    answer_call (reading);
  return NULL;
}

static void
record_rows (void *data, const struct pl_rows_event *event)
{
  struct reading *reading = data;

  if (event->table != PL_TABLE_CONTROL)
    return;
  if (reading->first == 0)
    reading->first = event->version;
  reading->rows = event->count;
  for (int i = 0; i < event->count; i++)
    if (strcmp (event->rows[i].key, "config") == 0)
      reading->config = event->rows[i].version;
  if (reading->next->body == NULL)
    pl_reactor_quit (reading->reactor);
}

static void
ignore_state (void *data, bool succeeded, const struct pl_store_call_event *call)
{
  (void) data;
  (void) succeeded;
  (void) call;
}

START_TEST (rows_of_a_restored_store_are_newer_than_those_before)
{
  uint16_t port;
  struct reading reading = {.listener = loopback_listen (&port), .next = scripts[_i]};
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", port);
  GThread *thread = g_thread_new ("store", serve_script, &reading);
  struct pl_http_client *client;
  struct pl_store_reader_options options
      = {.address = address, .on_rows = record_rows, .on_state = ignore_state, .data = &reading};

  reading.reactor = pl_reactor_new ();
  client = pl_http_client_new_on_reactor (reading.reactor);
  options.client = client;
  options.reactor = reading.reactor;
  pl_platform_store.watch (pl_platform_store.start (&options), true);
  pl_reactor_run (reading.reactor);
  ck_assert_int_eq (pl_position_era (reading.config), 2);
  ck_assert_int_eq (pl_position_version (reading.config), 44);
  ck_assert_int_eq (reading.rows, _i == 0 ? 1 : 2);
  pl_http_client_free (client);
  g_thread_join (thread);
  close (reading.listener);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "store_eras");
  TCase *reader = tcase_create ("reader");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, a_change_after_a_restore_comes_into_force);
  tcase_add_test (tcase, a_confirmed_configuration_does_not_come_back_older);
  tcase_add_loop_test (tcase, a_configuration_outlives_a_copy_without_a_valid_one, 0, 2);
  tcase_add_test (tcase, a_configuration_number_that_is_given_out_again_is_adopted);
  tcase_add_test (tcase, changes_come_into_force_after_two_restores_in_a_row);
  tcase_add_test (tcase, a_host_that_knows_only_the_copy_gets_the_newer_configuration);
  tcase_add_loop_test (tcase, an_evacuation_outlives_a_restore, 0, 2);
  tcase_add_loop_test (tcase, an_evacuation_that_was_taken_back_does_not_begin_anew, 0, 2);
  tcase_add_test (tcase, a_draining_server_is_not_used_again_after_a_restore);
  tcase_add_loop_test (tcase, a_server_that_left_is_not_used_again_after_a_restore, 0, 2);
  tcase_add_test (tcase, many_departures_do_not_lose_a_contested_row);
  tcase_add_loop_test (tcase, a_server_that_joined_is_used_until_it_writes_again, 0, 2);
  tcase_set_timeout (reader, 10);
  tcase_add_loop_test (reader, rows_of_a_restored_store_are_newer_than_those_before, 0,
                       G_N_ELEMENTS (scripts));
  suite_add_tcase (suite, reader);
  return suite_run (suite);
}
