/* Tests what a host takes from the answer of a peer, against a loopback server that plays the peer.
 */
#include "internal/gzip.h"
#include "internal/http_client.h"
#include "internal/reactor.h"
#include "internal/relay.h"
#include "internal/small_port.h"
#include "loopback.h"
#include "router_world.h"
#include "suite.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FETCH_NUMBER 7
/* Above what a host reads of an answer, decoded. */
#define TOO_LONG_BYTES ((size_t) 20 << 20)
#define ROUTES 400
#define PLAIN_BYTES_MIN 40000
#define PART_DELAY_US 100000
/* A configuration as it is sent to a peer takes at most this part of its size. */
#define WIRE_RATIO_MAX 0.25

struct peer
{
  int listener;
  char address[PL_ADDRESS_CHARS];
  const char *body;
  size_t body_length;
  const char *encoding; /* of the body; NULL: none */
  size_t sent_first;    /* bytes of the body that are sent some time before the others */
  char request[4096];
  GThread *thread;
  struct pl_reactor *reactor;
  int rows; /* that the host has taken */
  int empty_values;
  GHashTable *values; /* key -> GBytes that it should have; NULL: not compared */
  bool done;
  int progress;
  int64_t used_for_us; /* the longest time for which a server is still used */
  struct pl_fetch_done_event end;
};

static gpointer
serve (gpointer data)
{
  struct peer *peer = data;
  int fd = accept (peer->listener, NULL, NULL);
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n%s%s%s\r\n", peer->body_length,
      peer->encoding != NULL ? "Content-Encoding: " : "",
      peer->encoding != NULL ? peer->encoding : "", peer->encoding != NULL ? "\r\n" : "");

  ck_assert_int_gt (read (fd, peer->request, sizeof peer->request - 1), 0);
  ck_assert_int_gt (write (fd, head, strlen (head)), 0);
  if (peer->sent_first > 0)
    {
      ck_assert_int_gt (write (fd, peer->body, peer->sent_first), 0);
      g_usleep (PART_DELAY_US);
    }
  /* The host may have closed its end. */
  send (fd, peer->body + peer->sent_first, peer->body_length - peer->sent_first, MSG_NOSIGNAL);
  close (fd);
  return NULL;
}

static void
set_up_encoded (struct peer *peer, const char *body, size_t length, const char *encoding)
{
  uint16_t port;

  memset (peer, 0, sizeof *peer);
  peer->body_length = length;
  peer->encoding = encoding;
  peer->listener = loopback_listen (&port);
  g_snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u", port);
  peer->body = body;
  peer->reactor = pl_reactor_new ();
  peer->thread = g_thread_new ("peer", serve, peer);
}

static void
set_up (struct peer *peer, const char *body)
{
  set_up_encoded (peer, body, strlen (body), NULL);
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
      peer->used_for_us = MAX (peer->used_for_us, row->used_for_us);
      if (peer->values != NULL)
        compare_value (peer, row);
    }
}

static void
on_done (void *data, const struct pl_fetch_done_event *done)
{
  struct peer *peer = data;

  ck_assert_uint_eq (done->number, FETCH_NUMBER);
  peer->end = *done;
  peer->done = true;
  pl_reactor_quit (peer->reactor);
}

static void
on_progress (void *data, uint64_t number)
{
  struct peer *peer = data;

  ck_assert_uint_eq (number, FETCH_NUMBER);
  peer->progress++;
}

static void
fetch_to_any_end (struct peer *peer)
{
  static const int64_t held[PL_TABLES_MAX];
  struct pl_http_client *client = pl_http_client_new_on_reactor (peer->reactor);
  struct pl_relay_fetch request = {
      .client = client,
      .address = peer->address,
      .held = held,
      .on_rows = on_rows,
      .on_progress = on_progress,
      .done = on_done,
      .number = FETCH_NUMBER,
      .data = peer,
  };

  pl_relay_fetch (&request);
  pl_reactor_run (peer->reactor);
  pl_http_client_free (client);
}

static void
fetch (struct peer *peer)
{
  fetch_to_any_end (peer);
  ck_assert_int_eq (peer->end.end, PL_FETCH_ANSWERED);
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
  pl_relay_clear (&relay);
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
  pl_relay_clear (&relay);
  world_free (world);
}
END_TEST

/* Puts a configuration of ROUTES routes into WORLD. */
static void
put_large_configuration (struct world *world, int version)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < ROUTES; i++)
    g_string_append_printf (text,
                            "%s{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"route-%x\"},"
                            "\"Spec\":{\"Host\":\"h\",\"Prefix\":\"/%x/\",\"Kind\":"
                            "\"idempotent\",\"Service\":\"stock\"}}",
                            i == 0 ? "" : ",", i * 7919, i * 104729);
  world_put_config (world, version, text->str);
  g_string_free (text, TRUE);
}

/* Fetches the rows of RELAY. */
static void
fetch_from (struct peer *peer, struct pl_relay *relay)
{
  peer->reactor = pl_reactor_new ();
  serve_rows (peer, relay);
  fetch (peer);
}

/* Guards against links that large configurations saturate, and processors that compress the same
 * rows for each of their peers. */
START_TEST (a_large_configuration_is_compressed_once_for_all_peers)
{
  struct world *world = world_new ();
  struct pl_relay relay = {.router = world->router, .bytes_per_second = 1e6};
  struct peer peer = {0};

  put_large_configuration (world, 3);
  for (int i = 0; i < 3; i++)
    {
      peer.rows = 0;
      fetch_from (&peer, &relay);
      ck_assert_int_eq (peer.rows, 1);
      ck_assert_int_gt (peer.end.bytes, PLAIN_BYTES_MIN);
      ck_assert_int_gt (peer.end.wire_bytes, 0);
      ck_assert_double_le ((double) peer.end.wire_bytes, WIRE_RATIO_MAX * (double) peer.end.bytes);
    }
  ck_assert_uint_eq (relay.compressions, PL_TABLES_MAX);
  put_large_configuration (world, 4);
  fetch_from (&peer, &relay);
  ck_assert_uint_eq (relay.compressions, PL_TABLES_MAX + 1);
  pl_relay_clear (&relay);
  world_free (world);
}
END_TEST

/* Guards against a server that a host uses for longer than the peer that told it. */
START_TEST (how_long_servers_are_still_used_is_told_anew)
{
  static const char *const servers[] = {"s-0", "s-1", "s-2"};
  struct world *world = world_new ();
  struct pl_relay relay = {.router = world->router, .bytes_per_second = 1e6};
  struct peer peer = {0};
  struct pl_row rows[G_N_ELEMENTS (servers)];

  for (size_t i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      world_put_server (world, servers[i], "a-1", "ready", 1);
      rows[i] = (struct pl_row){.key = servers[i], .version = world->version + 100};
    }
  world_feed_rows (world, &(struct pl_rows_event){.table = PL_TABLE_SERVERS,
                                                  .version = world->version + 100,
                                                  .rows = rows,
                                                  .count = G_N_ELEMENTS (rows)});
  fetch_from (&peer, &relay);
  ck_assert_int_gt (peer.used_for_us, 0);
  peer.used_for_us = 0;
  world_advance (world, 5 * WORLD_SECOND);
  fetch_from (&peer, &relay);
  ck_assert_int_eq (peer.used_for_us, 0);
  pl_relay_clear (&relay);
  world_free (world);
}
END_TEST

static void
on_plain_answer (void *data, enum pl_http_end end, int status, const char *text)
{
  struct peer *peer = data;
  json_t *tables = json_loads (text, 0, NULL);

  ck_assert_int_eq (end, PL_HTTP_COMPLETE);
  ck_assert_int_eq (status, 200);
  ck_assert_uint_eq (json_array_size (tables), PL_TABLES_MAX);
  json_decref (tables);
  pl_reactor_quit (peer->reactor);
}

/* Guards against hosts of an earlier version that can not read what newer ones send. */
START_TEST (a_peer_that_does_not_ask_for_gzip_gets_plain_rows)
{
  struct world *world = world_new ();
  struct pl_relay relay = {.router = world->router, .bytes_per_second = 1e6};
  struct peer peer = {.reactor = pl_reactor_new ()};
  struct pl_http_client *client = pl_http_client_new_on_reactor (peer.reactor);
  struct pl_http_fetch request
      = {.method = "GET", .timeout_us = WORLD_SECOND, .done = on_plain_answer, .data = &peer};
  g_autofree char *url = NULL;

  serve_rows (&peer, &relay);
  put_large_configuration (world, 3);
  url = g_strdup_printf ("http://%s%s?t0=0&t1=0", peer.address, PL_RELAY_PATH);
  request.url = url;
  pl_http_client_fetch (client, &request);
  pl_reactor_run (peer.reactor);
  ck_assert_uint_eq (relay.compressions, 0);
  pl_http_client_free (client);
  pl_relay_clear (&relay);
  world_free (world);
}
END_TEST

/* Fetches TEXT in gzip, of which the byte DAMAGED is changed, from a peer.  -1: none. */
static void
fetch_gzip (struct peer *peer, const char *text, gssize damaged)
{
  struct pl_gzip_part part = pl_gzip_compress (text, strlen (text));
  GString *body = g_string_new (NULL);

  pl_gzip_append (body, &part, 1);
  pl_gzip_part_clear (&part);
  if (damaged >= 0)
    body->str[damaged] ^= 0x55;
  set_up_encoded (peer, body->str, body->len, "gzip");
  fetch_to_any_end (peer);
  tear_down (peer);
  g_string_free (body, TRUE);
}

static const char rows_text[] = "[{\"version\":3,\"whole\":true,\"tells_use\":true,\"rows\":"
                                "[[\"config\",\"{}\",3]]},"
                                "{\"version\":4,\"whole\":true,\"tells_use\":true,\"rows\":[]}]";

/* Guards against rows that are taken from damaged answers.  Heads of gzip texts hold bytes without
 * effect. */
START_TEST (rows_in_damaged_gzip_are_not_taken)
{
  struct peer peer;

  fetch_gzip (&peer, rows_text, -1);
  ck_assert_int_eq (peer.end.end, PL_FETCH_ANSWERED);
  ck_assert_int_eq (peer.rows, 1);
  ck_assert_ptr_nonnull (strstr (peer.request, "Accept-Encoding: gzip"));
  for (int at = 10; at < (int) peer.body_length; at++)
    {
      fetch_gzip (&peer, rows_text, at);
      ck_assert_int_eq (peer.end.end, PL_FETCH_FAILED);
      ck_assert_int_eq (peer.rows, 0);
    }
}
END_TEST

/* Guards against a small answer that takes a host's memory when it is decoded. */
START_TEST (an_answer_that_is_too_long_when_decoded_is_not_read)
{
  g_autofree char *text = g_strnfill (TOO_LONG_BYTES, ' ');
  struct peer peer;

  text[0] = '[';
  text[TOO_LONG_BYTES - 1] = ']';
  fetch_gzip (&peer, text, -1);
  ck_assert_int_eq (peer.end.end, PL_FETCH_FAILED);
  ck_assert_int_le (peer.end.bytes, 16 << 20);
}
END_TEST

/* Guards against a host that takes a peer for silent while bytes arrive from it. */
START_TEST (the_arrival_of_bytes_is_told)
{
  struct peer peer;

  set_up (&peer, rows_text);
  peer.sent_first = 10;
  fetch (&peer);
  ck_assert_int_ge (peer.progress, 2);
  ck_assert_int_eq (peer.end.bytes, (int64_t) strlen (rows_text));
  ck_assert_int_eq (peer.end.wire_bytes, (int64_t) strlen (rows_text));
  tear_down (&peer);
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
  tcase_add_test (tcase, a_large_configuration_is_compressed_once_for_all_peers);
  tcase_add_test (tcase, how_long_servers_are_still_used_is_told_anew);
  tcase_add_test (tcase, a_peer_that_does_not_ask_for_gzip_gets_plain_rows);
  tcase_add_test (tcase, rows_in_damaged_gzip_are_not_taken);
  tcase_add_test (tcase, an_answer_that_is_too_long_when_decoded_is_not_read);
  tcase_add_test (tcase, the_arrival_of_bytes_is_told);
  return suite_run (suite);
}
