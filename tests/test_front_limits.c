/* Answers without end, from servers on the loopback: the front holds no more than it may, and
 * serves its other callers. */
#include "internal/front.h"
#include "internal/log.h"
#include "internal/reactor.h"
#include "loopback.h"
#include "suite.h"

#include <curl/curl.h>
#include <pthread.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#define SERVERS 100
#define SECOND INT64_C (1000000)
#define MEMORY_LIMIT ((size_t) 40 << 20) /* a quarter of a host of 160 MB */
#define HEAD_LIMIT ((size_t) 128 << 10)  /* twice what a head may have */
#define SENT_MAX ((size_t) 256 << 20)
#define TEST_LIMIT_US (20 * SECOND)
#define CHUNK 16384
#define LATE_US 500000

enum endless
{
  ENDLESS_HEAD,
  ENDLESS_INTERIM, /* one interim answer after the other */
  ENDLESS_BODY,    /* chunked, so that no length says when it ends */
  ENDLESS_KINDS,
};

struct server
{
  enum endless kind;
  int listener;
  uint16_t port;
  pthread_t thread;
};

struct bench
{
  struct pl_reactor *reactor;
  struct pl_http_client *client;
  struct pl_front *front;
  GQueue effects; /* of struct pl_router_effect */
  char caller_address[PL_ADDRESS_CHARS];
  uint16_t targets[SERVERS + 1]; /* ports that requests go to, in the order in which they come */
  int calls;
  int broken;
  int answered;
  int expected;
  int timer;
  int64_t ends_us;
};

/* Writes until the other side closes, or SENT_MAX was sent. */
static void
send_without_end (int fd, const char *unit, size_t length)
{
  for (size_t sent = 0; sent < SENT_MAX;)
    {
      ssize_t part = send (fd, unit, length, MSG_NOSIGNAL);

      if (part <= 0)
        return;
      sent += (size_t) part;
    }
}

/* Reads one request's head. */
static bool
read_head (int fd, char *text, size_t room)
{
  size_t length = 0;

  memset (text, 0, room);
  while (strstr (text, "\r\n\r\n") == NULL && length < room - 1)
    {
      ssize_t got = read (fd, text + length, room - 1 - length);

      if (got <= 0)
        return false;
      length += (size_t) got;
    }
  return true;
}

static void *
serve_without_end (void *data)
{
  const struct server *server = data;
  static const char interim[] = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  static const char line[]
      = "X-More: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
  g_autofree char *chunk = g_strdup_printf ("%x\r\n%0*d\r\n", CHUNK, CHUNK, 0);
  char text[4096];
  int fd = accept (server->listener, NULL, NULL);

  if (fd < 0 || !read_head (fd, text, sizeof text))
    return NULL;
  switch (server->kind)
    {
    case ENDLESS_HEAD:
      send (fd, "HTTP/1.1 200 OK\r\n", 17, MSG_NOSIGNAL);
      send_without_end (fd, line, strlen (line));
      break;
    case ENDLESS_INTERIM:
      send_without_end (fd, interim, strlen (interim));
      break;
    default:
      g_snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\n%s: id-%d\r\nTransfer-Encoding: chunked\r\n\r\n",
                  pl_platform_dialect.request_id, 1);
      send (fd, text, strlen (text), MSG_NOSIGNAL);
      send_without_end (fd, chunk, strlen (chunk));
      break;
    }
  close (fd);
  return NULL;
}

/* Answers each request with two bytes and its id. */
static void *
serve_well (void *data)
{
  const struct server *server = data;
  char text[4096];
  int fd = accept (server->listener, NULL, NULL);

  if (fd < 0 || !read_head (fd, text, sizeof text))
    return NULL;
  /* By now the others have filled what they may. */
  g_usleep (LATE_US);
  g_snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\n%s: id-1\r\nContent-Length: 2\r\n\r\nok",
              pl_platform_dialect.request_id);
  send (fd, text, strlen (text), MSG_NOSIGNAL);
  close (fd);
  return NULL;
}

static void
start_server (struct server *server, enum endless kind, void *(*serve) (void *) )
{
  server->kind = kind;
  server->listener = loopback_listen (&server->port);
  pthread_create (&server->thread, NULL, serve, server);
}

static void
stop_server (struct server *server)
{
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->listener);
}

/* Stands for the router: each request goes to the next target; what breaks is refused. */
static void
on_event (void *data, struct pl_router_event *event)
{
  struct bench *bench = data;
  struct pl_router_effect effect = {0};

  if (event->type == PL_ROUTER_CALL)
    {
      effect.type = PL_ROUTER_SEND;
      effect.request = event->u.call.request;
      effect.attempt = 1;
      g_strlcpy (effect.u.send.server, "s-1", sizeof effect.u.send.server);
      g_snprintf (effect.u.send.address, sizeof effect.u.send.address, "127.0.0.1:%u",
                  bench->targets[bench->calls++]);
      effect.u.send.time_us = TEST_LIMIT_US;
    }
  else if (event->type == PL_ROUTER_ATTEMPT)
    {
      bool is_answered = event->u.attempt.end == PL_ATTEMPT_ANSWERED;

      bench->answered += is_answered;
      bench->broken += event->u.attempt.end == PL_ATTEMPT_BROKEN;
      effect.type = is_answered ? PL_ROUTER_DELIVER : PL_ROUTER_REFUSE;
      effect.request = event->u.attempt.request;
      effect.u.refuse.status = 502;
      effect.u.refuse.reason = "answer-lost";
    }
  else
    return;
  g_queue_push_tail (&bench->effects, g_memdup2 (&effect, sizeof effect));
  pl_reactor_again (bench->reactor);
}

static void
run_effects (void *data)
{
  struct bench *bench = data;
  struct pl_router_effect *effect;

  while ((effect = g_queue_pop_head (&bench->effects)) != NULL)
    {
      pl_front_execute (bench->front, effect);
      g_free (effect);
    }
  if (bench->answered + bench->broken >= bench->expected)
    pl_reactor_quit (bench->reactor);
}

static void
on_time (void *data)
{
  struct bench *bench = data;

  pl_reactor_quit (bench->reactor);
}

static void
bench_begin (struct bench *bench)
{
  uint16_t port;
  int fd = loopback_listen (&port);
  struct pl_front_options options = {.dialect = &pl_platform_dialect, .memory_limit = MEMORY_LIMIT};

  close (fd);
  memset (bench, 0, sizeof *bench);
  g_queue_init (&bench->effects);
  bench->reactor = pl_reactor_new ();
  bench->client = pl_http_client_new_on (bench->reactor);
  g_snprintf (bench->caller_address, sizeof bench->caller_address, "127.0.0.1:%u", port);
  options.address = bench->caller_address;
  options.reactor = bench->reactor;
  options.client = bench->client;
  options.post = on_event;
  options.data = bench;
  bench->front = pl_front_new (&options);
  ck_assert_ptr_nonnull (bench->front);
  pl_reactor_before_wait (bench->reactor, run_effects, bench);
  bench->timer = pl_reactor_timer (bench->reactor, on_time, bench);
}

/* Returns a caller's connection with its request sent. */
static int
ask (const struct bench *bench)
{
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  g_autofree char *text = g_strdup_printf ("GET /a HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n\r\n",
                                           pl_platform_dialect.request_id);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port
      = htons ((uint16_t) g_ascii_strtoull (strchr (bench->caller_address, ':') + 1, NULL, 10));
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  return fd;
}

static size_t
held_most (const struct bench *bench)
{
  size_t most;

  pl_front_held_bytes (bench->front, &most);
  return most;
}

static void
bench_run (struct bench *bench, int expected)
{
  bench->expected = expected;
  pl_reactor_arm (bench->reactor, bench->timer, g_get_monotonic_time () + TEST_LIMIT_US);
  pl_reactor_run (bench->reactor);
}

START_TEST (an_answer_without_end_is_broken_off)
{
  struct server server;
  struct bench bench;
  int caller;

  bench_begin (&bench);
  start_server (&server, (enum endless) _i, serve_without_end);
  bench.targets[0] = server.port;
  caller = ask (&bench);
  bench_run (&bench, 1);
  ck_assert_int_eq (bench.broken, 1);
  ck_assert_uint_le (held_most (&bench), _i == ENDLESS_BODY ? MEMORY_LIMIT : HEAD_LIMIT);
  close (caller);
  stop_server (&server);
}
END_TEST

/* A hundred of them at once leave room for a caller whose server is well. */
START_TEST (others_are_served_beside_a_hundred_endless_answers)
{
  static struct server servers[SERVERS + 1];
  struct bench bench;
  int callers[SERVERS + 1];

  bench_begin (&bench);
  for (int i = 0; i < SERVERS; i++)
    start_server (&servers[i], (enum endless) (i % ENDLESS_KINDS), serve_without_end);
  start_server (&servers[SERVERS], ENDLESS_BODY, serve_well);
  for (int i = 0; i <= SERVERS; i++)
    {
      bench.targets[i] = servers[i].port;
      callers[i] = ask (&bench);
    }
  bench_run (&bench, SERVERS + 1);
  ck_assert_int_eq (bench.answered, 1);
  ck_assert_int_eq (bench.broken, SERVERS);
  ck_assert_uint_le (held_most (&bench), MEMORY_LIMIT);
  for (int i = 0; i <= SERVERS; i++)
    {
      close (callers[i]);
      stop_server (&servers[i]);
    }
}
END_TEST

/* Whoever holds much gets no more before small answers have to be dropped. */
START_TEST (large_answers_leave_room_for_small_ones)
{
  struct bench bench;
  size_t large = 0;
  size_t small = 0;

  bench_begin (&bench);
  while (pl_front_hold (bench.front, &large, CHUNK))
    continue;
  ck_assert (pl_front_hold (bench.front, &small, (size_t) 2 * CHUNK));
  ck_assert_uint_le (held_most (&bench), MEMORY_LIMIT);
  pl_front_release (bench.front, &large);
  pl_front_release (bench.front, &small);
  ck_assert_uint_eq (bench.front->held, 0);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "front_limits");

  curl_global_init (CURL_GLOBAL_DEFAULT);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, an_answer_without_end_is_broken_off, 0, ENDLESS_KINDS);
  tcase_add_test (tcase, large_answers_leave_room_for_small_ones);
  tcase_add_test (tcase, others_are_served_beside_a_hundred_endless_answers);
  return suite_run (suite);
}
