/* Tests the platform's store reader against a loopback server with fixed answers. */
#include "internal/dialect.h"
#include "internal/http_client.h"
#include "internal/reactor.h"
#include "loopback.h"
#include "suite.h"

#include <poll.h>
#include <string.h>
#include <unistd.h>

/* A snapshot of two pages that are read at different times: a row of the first page changes in
 * between, and the store's version rises from 10 to 12. */
static const char page_1[]
    = "{\"Rows\":[{\"Table\":\"servers\",\"part\":\"\",\"Key\":\"a\","
      "\"Value\":\"e30=\",\"Ver\":5}],\"HasMore\":true,\"Ver\":10,\"Now\":1}";
static const char page_2[]
    = "{\"Rows\":[{\"Table\":\"servers\",\"part\":\"\",\"Key\":\"b\","
      "\"Value\":\"e30=\",\"Ver\":6}],\"HasMore\":false,\"Ver\":12,\"Now\":2}";
static const char changes[] = "{\"Rows\":[],\"Ver\":12}";
static const char empty_page[] = "{\"Rows\":[],\"HasMore\":false,\"Ver\":10,\"Now\":1}";

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
};

static struct server server;

static const char *
select_answer (const char *request)
{
  if (strstr (request, "rows-feed") != NULL)
    return changes;
  if (strstr (request, "Table=servers") == NULL)
    return empty_page;
  return strstr (request, "From=") == NULL ? page_1 : page_2;
}

static void
record_request (const char *request)
{
  if (strstr (request, "rows-feed?Table=servers") == NULL)
    return;
  if (server.feeds++ == 0)
    g_strlcpy (server.first_feed, request, sizeof server.first_feed);
}

static void
serve_request (int fd)
{
  char request[4096] = "";
  g_autofree char *reply = NULL;
  const char *body;
  size_t length = 0;
  ssize_t received = 1;

  while (received > 0 && strstr (request, "\r\n\r\n") == NULL)
    {
      received = read (fd, request + length, sizeof request - length - 1);
      length += received > 0 ? (size_t) received : 0;
    }
  g_mutex_lock (&server.lock);
  record_request (request);
  g_mutex_unlock (&server.lock);
  body = select_answer (request);
  reply = g_strdup_printf ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n%s",
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
on_state (void *data, bool succeeded)
{
  (void) data;
  ck_assert (succeeded || server.client_closing);
  g_mutex_lock (&server.lock);
  if (server.feeds > 0)
    pl_reactor_quit (server.reactor);
  g_mutex_unlock (&server.lock);
}

/* Guards against losing a change that is made while a snapshot is read: the reader must poll for
 * changes from the version of the first page on, not of the last. */
START_TEST (change_between_two_pages_is_not_missed)
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
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "store_reader");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, change_between_two_pages_is_not_missed);
  return suite_run (suite);
}
