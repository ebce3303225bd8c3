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
  GHashTable *values; /* key -> GBytes that it should have; NULL: not compared */
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
compare_value (struct peer *peer, const struct pl_row *row)
{
  gsize length;
  const void *value = g_bytes_get_data (g_hash_table_lookup (peer->values, row->key), &length);

  ck_assert_uint_eq (row->length, length);
  ck_assert_mem_eq (row->value, value, length);
}

static void
on_rows (void *data, const struct pl_rows_event *event)
{
  struct peer *peer = data;

  ck_assert_uint_eq (event->fetch, FETCH_NUMBER);
  peer->rows += event->count;
  for (int i = 0; i < event->count; i++)
    {
      const struct pl_row *row = &event->rows[i];

      peer->empty_values += row->length == 0;
      if (peer->values != NULL)
        compare_value (peer, row);
    }
}

static void
on_done (void *data, uint64_t number, enum pl_fetch_end end)
{
  struct peer *peer = data;

  ck_assert_uint_eq (number, FETCH_NUMBER);
  ck_assert_int_eq (end, PL_FETCH_ANSWERED);

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

/* Has PEER serve the rows of RELAY. */
static void
serve_rows (struct peer *peer, struct pl_relay *relay)
{
  struct pl_small_port_options port
      = {.reactor = peer->reactor, .answer = pl_relay_answer, .data = relay};
  uint16_t number;

  close (loopback_listen (&number));
  g_snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u", number);
  port.address = peer->address;
  ck_assert_int_eq (pl_small_port_open (&port), 0);
}

/* Guards against a server that some hosts use by its entry before, since the new one, which no host
 * can read, does not reach them. */
START_TEST (a_value_that_is_no_text_is_relayed_as_one_that_can_not_be_read)
{
  struct world *world = world_new ();
  struct pl_relay relay = {.router = world->router, .bytes_per_second = 1e6};
  struct peer peer = {.reactor = pl_reactor_new ()};

  serve_rows (&peer, &relay);
  world_put_server (world, "s-0", "a-1", "ready", 1);
  world_put_server (world, "s-1", "a-1", "ready", 1);
  world_put_row (world, PL_TABLE_SERVERS, "s-0", "\xff\xfe");
  fetch (&peer);
  ck_assert_int_eq (peer.rows, 2);
  ck_assert_int_eq (peer.empty_values, 1);
  world_free (world);
}
END_TEST

/* Returns a random value: valid UTF-8 with any character, NUL bytes too. */
static GBytes *
make_value (GRand *random)
{
  GString *text = g_string_new (NULL);
  int length = g_rand_int_range (random, 0, 40);

  for (int i = 0; i < length; i++)
    {
      gunichar character = (gunichar) g_rand_int_range (random, 0, i % 3 == 0 ? 0x110000 : 0x80);

      if (g_unichar_validate (character))
        g_string_append_unichar (text, character);
    }
  if (length > 30)
    g_string_append_len (text, "\0", 1);
  return g_string_free_to_bytes (text);
}

/* Guards against rows that peers get in another form than this host has them in. */
START_TEST (rows_are_relayed_byte_by_byte)
{
  struct world *world = world_new ();
  struct pl_relay relay = {.router = world->router, .bytes_per_second = 1e6};
  struct peer peer = {.reactor = pl_reactor_new ()};
  GRand *random = g_rand_new_with_seed (1);

  peer.values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  serve_rows (&peer, &relay);
  for (int i = 0; i < 300; i++)
    {
      GBytes *value = make_value (random);
      /* With a byte behind it, as rows have. */
      GString *text
          = g_string_new_len (g_bytes_get_data (value, NULL), (gssize) g_bytes_get_size (value));
      struct pl_row row = {.key = g_strdup_printf ("%0*d", 1 + i % 200, i),
                           .value = text->str,
                           .length = text->len,
                           .version = i + 1};

      g_hash_table_insert (peer.values, (gpointer) row.key, value);
      world_feed_rows (world,
                       &(struct pl_rows_event){
                           .table = PL_TABLE_SERVERS, .version = i + 1, .rows = &row, .count = 1});
      g_string_free (text, TRUE);
    }
  fetch (&peer);
  ck_assert_int_eq (peer.rows, 300);
  g_hash_table_destroy (peer.values);
  g_rand_free (random);
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
  tcase_add_test (tcase, rows_are_relayed_byte_by_byte);
  return suite_run (suite);
}
