/* Endless answers from servers on the loopback: the front buffers no more than its memory limit and
 * still serves other callers. */
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
#define MEMORY_LIMIT ((size_t) 40 << 20) /* a quarter of the memory of a host of 160 MB */
#define HEAD_LIMIT ((size_t) 128 << 10)  /* twice the limit of an answer's head */
#define SENT_BYTES_MAX ((size_t) 256 << 20)
#define TEST_LIMIT_US (20 * SECOND)
#define CHUNK_BYTES 16384
#define ANSWER_DELAY_US 500000
/* Longer than a server is waited for that acknowledges nothing. */
#define BUSY_US SECOND
#define UPLOAD_BYTES (16 << 20) /* more than the kernel buffers on both sides */

enum endless
{
  ENDLESS_HEAD,
  ENDLESS_INTERIM, /* repeated interim (1xx) answers */
  ENDLESS_BODY,    /* chunked, so that no length is announced */
  ENDLESS_KINDS,
};

struct server
{
  enum endless kind;
  bool keeps_connection; /* from a small request before the upload */
  int64_t busy_us;       /* before it reads the upload */
  int listener;
  uint16_t port;
  pthread_t thread;
};

struct fixture
{
  struct pl_reactor *reactor;
  struct pl_http_client *client;
  struct pl_front *front;
  GQueue effects; /* of struct pl_router_effect */
  char caller_address[PL_ADDRESS_CHARS];
  uint16_t targets[SERVERS + 1]; /* ports of the servers for the requests, in order of arrival */
  int requests;
  int answers_lost;
  int answered;
  int expected;
  int timer;
  int64_t ends_us;
};

/* Sends UNIT repeatedly until the peer closes the connection or SENT_BYTES_MAX bytes were sent. */
static void
send_endlessly (int fd, const char *unit, size_t length)
{
  for (size_t sent = 0; sent < SENT_BYTES_MAX;)
    {
      ssize_t part = send (fd, unit, length, MSG_NOSIGNAL);

      if (part <= 0)
        return;
      sent += (size_t) part;
    }
}

/* Reads the head of one request.  Returns the number of bytes read, also of its body; 0: the
 * connection ended before. */
static size_t
read_head (int fd, char *text, size_t size)
{
  size_t length = 0;

  memset (text, 0, size);
  while (strstr (text, "\r\n\r\n") == NULL && length < size - 1)
    {
      ssize_t received = read (fd, text + length, size - 1 - length);

      if (received <= 0)
        return 0;
      length += (size_t) received;
    }
  return length;
}

static void *
serve_endless_answer (void *data)
{
  const struct server *server = data;
  static const char interim[] = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  static const char line[]
      = "X-More: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
  g_autofree char *chunk = g_strdup_printf ("%x\r\n%0*d\r\n", CHUNK_BYTES, CHUNK_BYTES, 0);
  char text[4096];
  int fd = accept (server->listener, NULL, NULL);

  if (fd < 0 || read_head (fd, text, sizeof text) == 0)
    return NULL;
  switch (server->kind)
    {
    case ENDLESS_HEAD:
      send (fd, "HTTP/1.1 200 OK\r\n", 17, MSG_NOSIGNAL);
      send_endlessly (fd, line, strlen (line));
      break;
    case ENDLESS_INTERIM:
      send_endlessly (fd, interim, strlen (interim));
      break;
    default:
      g_snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\n%s: id-%d\r\nTransfer-Encoding: chunked\r\n\r\n",
                  pl_platform_dialect.request_id, 1);
      send (fd, text, strlen (text), MSG_NOSIGNAL);
      send_endlessly (fd, chunk, strlen (chunk));
      break;
    }
  close (fd);
  return NULL;
}

/* Answers with the request's id and two bytes. */
static void
send_answer (int fd)
{
  char text[256];

  g_snprintf (text, sizeof text, "HTTP/1.1 200 OK\r\n%s: id-1\r\nContent-Length: 2\r\n\r\nok",
              pl_platform_dialect.request_id);
  send (fd, text, strlen (text), MSG_NOSIGNAL);
}

/* Answers one request, after a delay. */
static void *
serve_late_answer (void *data)
{
  const struct server *server = data;
  char text[4096];
  int fd = accept (server->listener, NULL, NULL);

  if (fd < 0 || read_head (fd, text, sizeof text) == 0)
    return NULL;
  /* After this delay the endless answers have used up the memory that they may use. */
  g_usleep (ANSWER_DELAY_US);
  send_answer (fd);
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

/* Replaces the router: sends each request to the next target and refuses it when its
 * attempt fails. */
static void
on_event (void *data, struct pl_router_event *event)
{
  struct fixture *fixture = data;
  struct pl_router_effect effect = {0};

  if (event->type == PL_ROUTER_CALL)
    {
      effect.type = PL_ROUTER_SEND;
      effect.request = event->u.call.request;
      effect.attempt = 1;
      effect.u.send.server = "s-1";
      g_snprintf (effect.u.send.address, sizeof effect.u.send.address, "127.0.0.1:%u",
                  fixture->targets[fixture->requests++]);
      effect.u.send.time_left_us = TEST_LIMIT_US;
    }
  else if (event->type == PL_ROUTER_ATTEMPT)
    {
      bool is_answered = event->u.attempt.end == PL_ATTEMPT_ANSWERED;

      fixture->answered += is_answered;
      fixture->answers_lost += event->u.attempt.end == PL_ATTEMPT_ANSWER_LOST;
      effect.type = is_answered ? PL_ROUTER_DELIVER : PL_ROUTER_REFUSE;
      effect.request = event->u.attempt.request;
      effect.attempt = event->u.attempt.attempt;
      effect.u.refuse.status = 502;
      effect.u.refuse.reason = "answer-lost";
      if (effect.type == PL_ROUTER_DELIVER)
        effect.u.deliver.status = event->u.attempt.status;
    }
  else
    return;
  g_queue_push_tail (&fixture->effects, g_memdup2 (&effect, sizeof effect));
  pl_reactor_skip_wait (fixture->reactor);
}

static void
run_effects (void *data)
{
  struct fixture *fixture = data;
  struct pl_router_effect *effect;

  while ((effect = g_queue_pop_head (&fixture->effects)) != NULL)
    {
      pl_front_execute (fixture->front, effect);
      g_free (effect);
    }
  if (fixture->answered + fixture->answers_lost >= fixture->expected)
    pl_reactor_quit (fixture->reactor);
}

static void
on_timeout (void *data)
{
  struct fixture *fixture = data;

  pl_reactor_quit (fixture->reactor);
}

static void
set_up_fixture (struct fixture *fixture)
{
  uint16_t port;
  int fd = loopback_listen (&port);
  struct pl_front_options options = {.dialect = &pl_platform_dialect, .memory_limit = MEMORY_LIMIT};

  close (fd);
  memset (fixture, 0, sizeof *fixture);
  g_queue_init (&fixture->effects);
  fixture->reactor = pl_reactor_new ();
  fixture->client = pl_http_client_new_on_reactor (fixture->reactor);
  g_snprintf (fixture->caller_address, sizeof fixture->caller_address, "127.0.0.1:%u", port);
  options.address = fixture->caller_address;
  options.reactor = fixture->reactor;
  options.client = fixture->client;
  options.post = on_event;
  options.data = fixture;
  fixture->front = pl_front_new (&options);
  ck_assert_ptr_nonnull (fixture->front);
  pl_reactor_add_wait_hook (fixture->reactor, run_effects, fixture);
  fixture->timer = pl_reactor_add_timer (fixture->reactor, on_timeout, fixture);
}

/* Returns a caller's connection. */
static int
connect_caller (const struct fixture *fixture)
{
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port
      = htons ((uint16_t) g_ascii_strtoull (strchr (fixture->caller_address, ':') + 1, NULL, 10));
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

/* Returns a caller's connection on which a request has been sent. */
static int
send_request (const struct fixture *fixture)
{
  g_autofree char *text = g_strdup_printf ("GET /a HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n\r\n",
                                           pl_platform_dialect.request_id);
  int fd = connect_caller (fixture);

  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  return fd;
}

static size_t
peak_buffered_bytes (const struct fixture *fixture)
{
  size_t peak;

  pl_front_buffered_bytes (fixture->front, &peak);
  return peak;
}

static void
run_fixture (struct fixture *fixture, int expected)
{
  fixture->expected = expected;
  pl_reactor_arm_timer (fixture->reactor, fixture->timer, g_get_monotonic_time () + TEST_LIMIT_US);
  pl_reactor_run (fixture->reactor);
}

START_TEST (an_endless_answer_is_aborted)
{
  struct server server;
  struct fixture fixture;
  int caller;

  set_up_fixture (&fixture);
  start_server (&server, (enum endless) _i, serve_endless_answer);
  fixture.targets[0] = server.port;
  caller = send_request (&fixture);
  run_fixture (&fixture, 1);
  ck_assert_int_eq (fixture.answers_lost, 1);
  ck_assert_uint_le (peak_buffered_bytes (&fixture),
                     _i == ENDLESS_BODY ? MEMORY_LIMIT : HEAD_LIMIT);
  close (caller);
  stop_server (&server);
}
END_TEST

/* A hundred endless answers at once leave memory for the answer of a healthy server. */
START_TEST (requests_are_served_beside_a_hundred_endless_answers)
{
  static struct server servers[SERVERS + 1];
  struct fixture fixture;
  int callers[SERVERS + 1];

  set_up_fixture (&fixture);
  for (int i = 0; i < SERVERS; i++)
    start_server (&servers[i], (enum endless) (i % ENDLESS_KINDS), serve_endless_answer);
  start_server (&servers[SERVERS], ENDLESS_BODY, serve_late_answer);
  for (int i = 0; i <= SERVERS; i++)
    {
      fixture.targets[i] = servers[i].port;
      callers[i] = send_request (&fixture);
    }
  run_fixture (&fixture, SERVERS + 1);
  ck_assert_int_eq (fixture.answered, 1);
  ck_assert_int_eq (fixture.answers_lost, SERVERS);
  ck_assert_uint_le (peak_buffered_bytes (&fixture), MEMORY_LIMIT);
  for (int i = 0; i <= SERVERS; i++)
    {
      close (callers[i]);
      stop_server (&servers[i]);
    }
}
END_TEST

/* Large answers reach their limit before small ones have to be dropped. */
START_TEST (large_answers_leave_memory_for_small_ones)
{
  struct fixture fixture;
  size_t large_bytes = 0;
  size_t small_bytes = 0;

  set_up_fixture (&fixture);
  while (pl_front_reserve_memory (fixture.front, &large_bytes, CHUNK_BYTES))
    continue;
  ck_assert (pl_front_reserve_memory (fixture.front, &small_bytes, (size_t) 2 * CHUNK_BYTES));
  ck_assert_uint_le (peak_buffered_bytes (&fixture), MEMORY_LIMIT);
  pl_front_release_memory (fixture.front, &large_bytes);
  pl_front_release_memory (fixture.front, &small_bytes);
  ck_assert_uint_eq (fixture.front->buffered_bytes, 0);
}
END_TEST

/* Reads an upload after a while, and answers. */
static void *
serve_upload (void *data)
{
  const struct server *server = data;
  g_autofree char *bytes = g_malloc (CHUNK_BYTES);
  char text[4096];
  ssize_t left;
  ssize_t part;
  int fd = accept (server->listener, NULL, NULL);

  left = (ssize_t) read_head (fd, text, sizeof text);
  if (server->keeps_connection)
    {
      send_answer (fd);
      left = (ssize_t) read_head (fd, text, sizeof text);
    }
  left = UPLOAD_BYTES - (left - (strstr (text, "\r\n\r\n") + 4 - text));
  g_usleep ((gulong) server->busy_us);
  while (left > 0 && (part = read (fd, bytes, CHUNK_BYTES)) > 0)
    left -= part;
  send_answer (fd);
  close (fd);
  return NULL;
}

struct upload
{
  int fd;
  int small; /* an earlier request whose answer is awaited first; -1: none */
};

static void *
send_upload (void *data)
{
  const struct upload *upload = data;
  g_autofree char *body = g_malloc0 (UPLOAD_BYTES);
  g_autofree char *head = g_strdup_printf ("POST /a HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n"
                                           "Content-Length: %d\r\n\r\n",
                                           pl_platform_dialect.request_id, UPLOAD_BYTES);

  if (upload->small >= 0 && read (upload->small, body, 1) < 1)
    return NULL;
  send (upload->fd, head, strlen (head), MSG_NOSIGNAL);
  send (upload->fd, body, UPLOAD_BYTES, MSG_NOSIGNAL);
  return NULL;
}

/* Returns whether a caller's upload is answered; if KEEPS_CONNECTION, on a connection to the server
 * that is kept from a small request. */
static bool
is_upload_answered (int64_t busy_us, bool keeps_connection)
{
  struct server server = {.busy_us = busy_us, .keeps_connection = keeps_connection};
  struct upload upload = {.small = -1};
  struct fixture fixture;
  pthread_t thread;

  set_up_fixture (&fixture);
  start_server (&server, ENDLESS_BODY, serve_upload);
  fixture.targets[0] = fixture.targets[1] = server.port;
  if (keeps_connection)
    upload.small = send_request (&fixture);
  upload.fd = connect_caller (&fixture);
  pthread_create (&thread, NULL, send_upload, &upload);
  run_fixture (&fixture, keeps_connection ? 2 : 1);
  shutdown (upload.fd, SHUT_RDWR);
  pthread_join (thread, NULL);
  close (upload.fd);
  if (upload.small >= 0)
    close (upload.small);
  stop_server (&server);
  return fixture.answered == fixture.expected;
}

/* A body that arrived at once was read in part, until something else arrived. */
START_TEST (a_body_that_arrives_at_once_is_read_whole)
{
  ck_assert (is_upload_answered (0, false));
}
END_TEST

/* A server whose slots are busy does not read an upload yet. */
START_TEST (an_upload_to_a_busy_server_is_not_given_up)
{
  ck_assert (is_upload_answered (BUSY_US, _i == 1));
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "front_limits");

  curl_global_init (CURL_GLOBAL_DEFAULT);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, an_endless_answer_is_aborted, 0, ENDLESS_KINDS);
  tcase_add_test (tcase, a_body_that_arrives_at_once_is_read_whole);
  tcase_add_loop_test (tcase, an_upload_to_a_busy_server_is_not_given_up, 0, 2);
  tcase_add_test (tcase, large_answers_leave_memory_for_small_ones);
  tcase_add_test (tcase, requests_are_served_beside_a_hundred_endless_answers);
  return suite_run (suite);
}
