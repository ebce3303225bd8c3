/* Tests the platform's store reader against a loopback server with fixed answers. */
#include "internal/dialect.h"
#include "internal/http_client.h"
#include "internal/reactor.h"
#include "loopback.h"
#include "suite.h"

#include <poll.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

/* A snapshot of two pages that are read at different times: a row of the first page changes in
 * between, and the store's version rises from 10 to 12. */
static const char page_1[]
    = "{\"Rows\":[{\"Table\":\"servers\",\"part\":\"\",\"Key\":\"a\","
      "\"Value\":\"e30=\",\"Ver\":5}],\"HasMore\":true,\"Ver\":10,\"Now\":1}";
static const char page_2[]
    = "{\"Rows\":[{\"Table\":\"servers\",\"part\":\"\",\"Key\":\"b\","
      "\"Value\":\"e30=\",\"Ver\":6}],\"HasMore\":false,\"Ver\":12,\"Now\":2}";
/* The same beside keys with a NUL byte, one of them the last of the first page. */
static const char odd_page_1[]
    = "{\"Rows\":[{\"Table\":\"servers\",\"part\":\"\",\"Key\":\"a\",\"Value\":\"e30=\",\"Ver\":5},"
      "{\"Table\":\"servers\",\"part\":\"\",\"Key\":\"a\\u0000b\",\"Value\":\"e30=\",\"Ver\":5}],"
      "\"HasMore\":true,\"Ver\":10,\"Now\":1}";
static const char odd_page_2[]
    = "{\"Rows\":[{\"Table\":\"servers\",\"part\":\"\",\"Key\":\"\\u0000\",\"Value\":\"e30=\","
      "\"Ver\":6},"
      "{\"Table\":\"servers\",\"part\":\"\",\"Key\":\"b\",\"Value\":\"e30=\",\"Ver\":6}],"
      "\"HasMore\":false,\"Ver\":12,\"Now\":2}";
static const char changes[] = "{\"Rows\":[],\"Ver\":12}";
static const char empty_page[] = "{\"Rows\":[],\"HasMore\":false,\"Ver\":10,\"Now\":1}";

#define HANGING_MAX 16

/* What the store does with polls for changes. */
enum poll_mode
{
  POLLS_ANSWERED,
  POLLS_HANG,   /* those that wait for changes */
  POLLS_REFUSED /* the next poll of the servers' table; the others hang */
};

struct server
{
  int listener;
  char address[32];
  GThread *thread;
  struct pl_reactor *reactor;
  GMutex lock;
  bool stopping;
  int feeds;
  char first_feed[256]; /* first poll for changes of the servers' table */
  int rows;             /* number of rows in the snapshot that the reader reported */
  int64_t version;
  bool client_closing; /* pending calls fail when the client is freed */
  enum poll_mode mode;
  bool has_odd_keys;
  int hanging[HANGING_MAX]; /* connections of polls that are not answered */
  int hanging_count;
  int immediate_polls[PL_TABLES_MAX]; /* that wait for no changes */
  int failures;
  int64_t quiet_us; /* when the reader last said that an answer is overdue; 0: never */
  int failures_when_quiet;
  bool is_back; /* the last call was answered */
  bool is_history_gone;
  int reads[2]; /* read_once that failed, that succeeded */
};

static struct server server;

static const char *
select_answer (const char *request)
{
  if (strstr (request, "rows-feed") != NULL)
    return server.is_history_gone ? "" : changes;
  if (strstr (request, "Table=servers") == NULL)
    return empty_page;
  if (server.has_odd_keys)
    return strstr (request, "From=a%00b%00") == NULL ? odd_page_1 : odd_page_2;
  return strstr (request, "From=") == NULL ? page_1 : page_2;
}

static void
record_request (const char *request)
{
  if (strstr (request, "WaitMs=0 ") != NULL)
    server.immediate_polls[strstr (request, "Table=servers") != NULL ? PL_TABLE_SERVERS
                                                                     : PL_TABLE_CONTROL]++;
  if (strstr (request, "rows-feed?Table=servers") == NULL)
    return;
  if (server.feeds++ == 0)
    g_strlcpy (server.first_feed, request, sizeof server.first_feed);
}

static bool
is_poll (const char *request)
{
  return strstr (request, "rows-feed") != NULL && strstr (request, "WaitMs=0 ") == NULL;
}

/* Returns whether the connection of REQUEST is kept without an answer. */
static bool
hangs (const char *request, int fd)
{
  if (server.mode == POLLS_ANSWERED || !is_poll (request) || server.hanging_count == HANGING_MAX)
    return false;
  if (server.mode == POLLS_REFUSED && strstr (request, "Table=servers") != NULL)
    return false;
  server.hanging[server.hanging_count++] = fd;
  return true;
}

static void
serve_request (int fd)
{
  char request[4096] = "";
  g_autofree char *reply = NULL;
  const char *body;
  size_t length = 0;
  ssize_t received = 1;
  /* The reader may stop between the connection and its request. */
  struct timeval limit = {.tv_sec = 1};

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  while (received > 0 && strstr (request, "\r\n\r\n") == NULL)
    {
      received = read (fd, request + length, sizeof request - length - 1);
      length += received > 0 ? (size_t) received : 0;
    }
  g_mutex_lock (&server.lock);
  record_request (request);
  if (hangs (request, fd))
    {
      g_mutex_unlock (&server.lock);
      return;
    }
  body = select_answer (request);
  if (server.mode == POLLS_REFUSED && is_poll (request))
    {
      server.mode = POLLS_HANG;
      body = "";
    }
  g_mutex_unlock (&server.lock);
  reply = g_strdup_printf ("HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n%s",
                           body[0] != '\0'          ? "200 OK"
                           : server.is_history_gone ? "410 Gone"
                                                    : "503 Busy",
                           strlen (body), body);
  if (write (fd, reply, strlen (reply)) < 0)
    g_printerr ("could not write the answer\n");
  close (fd);
}

static gpointer
serve (gpointer data)
{
  struct pollfd wait = {.fd = server.listener, .events = POLLIN};
  bool stopping = false;

  (void) data;
  while (!stopping)
    {
      if (poll (&wait, 1, 100) == 1)
        serve_request (accept (server.listener, NULL, NULL));
      g_mutex_lock (&server.lock);
      stopping = server.stopping;
      g_mutex_unlock (&server.lock);
    }
  return NULL;
}

static void
set_up (void)
{
  uint16_t port;

  memset (&server, 0, sizeof server);
  server.listener = loopback_listen (&port);
  g_snprintf (server.address, sizeof server.address, "127.0.0.1:%u", port);
  server.reactor = pl_reactor_new ();
  server.thread = g_thread_new ("store", serve, NULL);
}

static void
tear_down (void)
{
  g_mutex_lock (&server.lock);
  server.stopping = true;
  g_mutex_unlock (&server.lock);
  g_thread_join (server.thread);
  close (server.listener);
}

static void
on_rows (void *data, const struct pl_rows_event *event)
{
  (void) data;
  if (event->table != PL_TABLE_SERVERS || !event->is_snapshot)
    return;
  server.rows = event->count;
  server.version = event->version;
}

static void
on_state (void *data, bool succeeded, const struct pl_store_call_event *call)
{
  (void) data;
  (void) call;
  ck_assert (succeeded || server.client_closing);
  g_mutex_lock (&server.lock);
  if (server.feeds > 0)
    pl_reactor_quit (server.reactor);
  g_mutex_unlock (&server.lock);
}

/* Guards against losing a change that is made while a snapshot is read: the reader must poll for
 * changes from the version of the first page on, not of the last. */
static void
read_two_pages (void)
{
  struct pl_http_client *client = pl_http_client_new_on_reactor (server.reactor);
  struct pl_store_reader_options options = {
      .address = server.address,
      .client = client,
      .reactor = server.reactor,
      .on_rows = on_rows,
      .on_state = on_state,
  };

  pl_platform_store.watch (pl_platform_store.start (&options), true);
  pl_reactor_run (server.reactor);
  server.client_closing = true;
  ck_assert_int_eq (server.rows, 2);
  ck_assert_int_eq (server.version, 10);
  ck_assert_ptr_nonnull (strstr (server.first_feed, "after=10&"));
  pl_http_client_free (client);
}

START_TEST (change_between_two_pages_is_not_missed)
{
  read_two_pages ();
}
END_TEST

/* Guards against one row with an odd key that hides all others of its table. */
START_TEST (a_key_with_a_nul_byte_does_not_hold_up_other_rows)
{
  server.has_odd_keys = true;
  read_two_pages ();
}
END_TEST

static void
count_state (void *data, bool succeeded, const struct pl_store_call_event *call)
{
  (void) data;
  ck_assert_int_ge (call->age_us, 0);
  g_mutex_lock (&server.lock);
  server.failures += !succeeded;
  server.is_back = succeeded;
  g_mutex_unlock (&server.lock);
}

static void
quit (void *data)
{
  (void) data;
  pl_reactor_quit (server.reactor);
}

static void
check_again (void *data)
{
  pl_platform_store.check (data);
}

static void
count_quiet (void *data)
{
  (void) data;
  server.quiet_us = g_get_monotonic_time ();
  server.failures_when_quiet = server.failures;
}

/* Runs a reader for RUN_US, with polls in MODE; in the middle it is told to check the store if
 * CHECKS. */
static void
run_reader (enum poll_mode mode, bool checks, int64_t run_us)
{
  struct pl_http_client *client = pl_http_client_new_on_reactor (server.reactor);
  struct pl_store_reader_options options = {
      .address = server.address,
      .client = client,
      .reactor = server.reactor,
      .on_rows = on_rows,
      .on_state = count_state,
      .on_quiet = count_quiet,
  };
  struct pl_store_reader *reader = pl_platform_store.start (&options);
  int64_t now_us = g_get_monotonic_time ();

  server.mode = mode;
  pl_reactor_arm_timer (server.reactor, pl_reactor_add_timer (server.reactor, quit, NULL),
                        now_us + run_us);
  if (checks)
    pl_reactor_arm_timer (server.reactor,
                          pl_reactor_add_timer (server.reactor, check_again, reader),
                          now_us + run_us / 2);
  pl_platform_store.watch (reader, true);
  pl_reactor_run (server.reactor);
  for (int i = 0; i < server.hanging_count; i++)
    close (server.hanging[i]);
}

/* Guards against a return of the store that is seen only when a poll ends, three seconds later. */
START_TEST (the_call_after_a_failure_waits_for_no_changes)
{
  run_reader (POLLS_REFUSED, false, G_USEC_PER_SEC);
  ck_assert_int_eq (server.failures, 1);
  ck_assert (server.is_back);
  ck_assert_int_eq (server.immediate_polls[PL_TABLE_SERVERS], 1);
}
END_TEST

/* Guards against polls that hang since an outage, while the store answers other calls. */
START_TEST (polls_that_were_sent_before_a_failure_are_repeated)
{
  run_reader (POLLS_REFUSED, false, G_USEC_PER_SEC);
  ck_assert_int_eq (server.immediate_polls[PL_TABLE_CONTROL], 1);
}
END_TEST

START_TEST (a_check_repeats_polls_that_may_hang)
{
  run_reader (POLLS_HANG, true, G_USEC_PER_SEC);
  ck_assert_int_eq (server.failures, 0);
  ck_assert_int_eq (server.immediate_polls[PL_TABLE_CONTROL], 1);
  ck_assert_int_eq (server.immediate_polls[PL_TABLE_SERVERS], 1);
}
END_TEST

/* Guards against CONFIG: a host that watches the store noticed a cut after 4.5 s, when another one
 * could no longer read a version in time. */
START_TEST (an_overdue_answer_is_told_before_the_call_fails)
{
  int64_t begun_us = g_get_monotonic_time ();

  run_reader (POLLS_HANG, false, 3 * G_USEC_PER_SEC / 2);
  ck_assert_int_gt (server.quiet_us, begun_us + G_USEC_PER_SEC);
  ck_assert_int_lt (server.quiet_us, begun_us + 3 * G_USEC_PER_SEC / 2);
  ck_assert_int_eq (server.failures_when_quiet, 0);
}
END_TEST

START_TEST (a_store_that_answers_is_not_quiet)
{
  run_reader (POLLS_ANSWERED, false, 3 * G_USEC_PER_SEC / 2);
  ck_assert_int_eq (server.quiet_us, 0);
}
END_TEST

static void
count_read (void *data, bool succeeded)
{
  (void) data;
  server.reads[succeeded]++;
  pl_reactor_quit (server.reactor);
}

static void
refuse_state (void *data, bool succeeded, const struct pl_store_call_event *call)
{
  (void) data;
  (void) succeeded;
  (void) call;
  ck_abort_msg ("a host that does not watch the store has no part in judging its outages");
}

/* Reads the tables once, from version HELD on. */
static void
read_once (int64_t held)
{
  const int64_t positions[PL_TABLES_MAX] = {held, held};
  struct pl_store_reader_options options = {
      .address = server.address,
      .client = pl_http_client_new_on_reactor (server.reactor),
      .reactor = server.reactor,
      .on_rows = on_rows,
      .on_state = refuse_state,
      .on_read = count_read,
  };

  pl_reactor_arm_timer (server.reactor, pl_reactor_add_timer (server.reactor, quit, NULL),
                        g_get_monotonic_time () + G_USEC_PER_SEC);
  pl_platform_store.read_once (pl_platform_store.start (&options), positions);
  pl_reactor_run (server.reactor);
}

START_TEST (a_host_that_does_not_watch_reads_changes_once)
{
  read_once (7);
  ck_assert_int_eq (server.reads[true], 1);
  ck_assert_ptr_nonnull (strstr (server.first_feed, "after=7&WaitMs=0 "));
  ck_assert_int_eq (server.immediate_polls[PL_TABLE_CONTROL], 1);
  ck_assert_int_eq (server.immediate_polls[PL_TABLE_SERVERS], 1);
}
END_TEST

START_TEST (a_host_that_holds_nothing_reads_all_rows_once)
{
  read_once (0);
  ck_assert_int_eq (server.reads[true], 1);
  ck_assert_int_eq (server.rows, 2);
  ck_assert_int_eq (server.feeds, 0);
}
END_TEST

START_TEST (all_rows_are_read_where_the_history_is_gone)
{
  server.is_history_gone = true;
  read_once (7);
  ck_assert_int_eq (server.reads[true], 1);
  ck_assert_int_eq (server.rows, 2);
}
END_TEST

START_TEST (a_read_that_fails_is_told_once)
{
  close (server.listener);
  server.listener = -1;
  read_once (7);
  ck_assert_int_eq (server.reads[false], 1);
  ck_assert_int_eq (server.reads[true], 0);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "store_reader");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, a_key_with_a_nul_byte_does_not_hold_up_other_rows);
  tcase_add_test (tcase, change_between_two_pages_is_not_missed);
  tcase_add_test (tcase, the_call_after_a_failure_waits_for_no_changes);
  tcase_add_test (tcase, polls_that_were_sent_before_a_failure_are_repeated);
  tcase_add_test (tcase, a_check_repeats_polls_that_may_hang);
  tcase_add_test (tcase, an_overdue_answer_is_told_before_the_call_fails);
  tcase_add_test (tcase, a_store_that_answers_is_not_quiet);
  tcase_add_test (tcase, a_host_that_does_not_watch_reads_changes_once);
  tcase_add_test (tcase, a_host_that_holds_nothing_reads_all_rows_once);
  tcase_add_test (tcase, all_rows_are_read_where_the_history_is_gone);
  tcase_add_test (tcase, a_read_that_fails_is_told_once);
  return suite_run (suite);
}
