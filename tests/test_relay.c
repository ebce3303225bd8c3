/* Tests what a host takes from the answer of a peer, against a loopback server that plays the peer.
 */
#include "internal/http_client.h"
#include "internal/reactor.h"
#include "internal/relay.h"
#include "internal/small_port.h"
#include "loopback.h"
#include "router_world.h"
#include "suite.h"

#include <string.h>
#include <unistd.h>

#define FETCH_NUMBER 7

struct peer
{
  int listener;
  char address[PL_ADDRESS_CHARS];
  const char *body;
  GThread *thread;
  struct pl_reactor *reactor;
  int rows; /* that the host has taken */
  int empty_values;
  bool done;
};

static gpointer
serve (gpointer data)
{
  struct peer *peer = data;
  int fd = accept (peer->listener, NULL, NULL);
  char request[4096];
  g_autofree char *reply = NULL;

  ck_assert_int_gt (read (fd, request, sizeof request), 0);
  reply = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (peer->body),
                           peer->body);
  ck_assert_int_gt (write (fd, reply, strlen (reply)), 0);
  close (fd);
  return NULL;
}

static void
set_up (struct peer *peer, const char *body)
{
  uint16_t port;

  memset (peer, 0, sizeof *peer);
  peer->listener = loopback_listen (&port);
  g_snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u", port);
  peer->body = body;
  peer->reactor = pl_reactor_new ();
  peer->thread = g_thread_new ("peer", serve, peer);
}

static void
tear_down (struct peer *peer)
{
  g_thread_join (peer->thread);
  close (peer->listener);
}

static void
on_rows (void *data, const struct pl_rows_event *event)
{
  struct peer *peer = data;

  peer->rows += event->count;
  for (int i = 0; i < event->count; i++)
    peer->empty_values += event->rows[i].length == 0;
}

static void
on_done (void *data, uint64_t number)
{
  struct peer *peer = data;

  ck_assert_uint_eq (number, FETCH_NUMBER);

  peer->done = true;
  pl_reactor_quit (peer->reactor);
}

static void
fetch (struct peer *peer)
{
  static const int64_t held[PL_TABLES_MAX];
  struct pl_http_client *client = pl_http_client_new_on_reactor (peer->reactor);
  struct pl_relay_fetch request = {
      .client = client,
      .address = peer->address,
      .held = held,
      .on_rows = on_rows,
      .done = on_done,
      .number = FETCH_NUMBER,
      .data = peer,
  };

  pl_relay_fetch (&request);
  pl_reactor_run (peer->reactor);
  pl_http_client_free (client);
}

/* Guards against one row of another writer that keeps all rows from a host that gets them from its
 * peers. */
START_TEST (a_row_with_a_nul_byte_does_not_hold_up_other_rows)
{
  struct peer peer;

  set_up (&peer, "[{\"version\":3,\"whole\":true,\"tells_use\":true,\"rows\":"
                 "[[\"config\",\"{}\",3]]},"
                 "{\"version\":4,\"whole\":true,\"tells_use\":true,\"rows\":"
                 "[[\"odd\",\"a\\u0000b\",3],[\"s\",\"{}\",4]]}]");
  fetch (&peer);
  ck_assert (peer.done);
  ck_assert_int_eq (peer.rows, 3);
  tear_down (&peer);
}
END_TEST

/* Guards against a server that some hosts use by its entry before, since the new one, which no host
 * can read, does not reach them. */
START_TEST (a_value_that_is_no_text_is_relayed_as_one_that_can_not_be_read)
{
  struct world *world = world_new ();
  struct pl_relay relay = {.router = world->router, .bytes_per_second = 1e6};
  struct peer peer = {.reactor = pl_reactor_new ()};
  struct pl_small_port_options port = {.reactor = peer.reactor, .answer = pl_relay_answer};
  uint16_t number;

  close (loopback_listen (&number));
  g_snprintf (peer.address, sizeof peer.address, "127.0.0.1:%u", number);
  port.address = peer.address;
  port.data = &relay;
  ck_assert_int_eq (pl_small_port_open (&port), 0);
  world_put_server (world, "s-0", "a-1", "ready", 1);
  world_put_server (world, "s-1", "a-1", "ready", 1);
  world_put_row (world, PL_TABLE_SERVERS, "s-0", "\xff\xfe");
  fetch (&peer);
  ck_assert_int_eq (peer.rows, 2);
  ck_assert_int_eq (peer.empty_values, 1);
  world_free (world);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "relay");

  tcase_add_test (tcase, a_row_with_a_nul_byte_does_not_hold_up_other_rows);
  tcase_add_test (tcase, a_value_that_is_no_text_is_relayed_as_one_that_can_not_be_read);
  return suite_run (suite);
}
