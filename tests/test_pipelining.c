/* Requests that are sent behind one another on a connection, and callers that do not read, with the
 * test as caller and server.  A server takes the path /WORK_MS/BYTES/TAG as what it is to do; the
 * body of its answer begins with the path, and its head is long if the tag is LONG_HEAD. */
#include "front_fixture.h"
#include "loopback.h"
#include "suite.h"

#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define WAIT_MS 10000
/* Long enough for bytes on the loopback to reach a server. */
#define ARRIVAL_US (50 * MS)
#define PART_BYTES 65536
#define SMALL "100"
#define LARGE "300000"
#define LARGE_BYTES ((size_t) 300000)
#define HUGE "4000000"
#define HUGE_BYTES ((size_t) 4000000)
#define LONG_HEAD "long"
#define LONG_HEAD_BYTES 20000 /* more than libmicrohttpd has the memory for */
#define LISTEN_QUEUE 512      /* a connection for each request in progress */
#define RANDOM_CALLERS 24
#define LEAVES_ONE_IN 25   /* parts that a caller sends */
#define RANDOM_REQUESTS 60 /* of each caller */
#define AHEAD_MAX 8        /* as docs/LOAD.md says */

static struct front_fixture fixture;
static gint running;  /* requests at the server; atomic */
static gint most;     /* at once; atomic */
static gint answered; /* answers that were sent whole; atomic */

static bool
answer_by_path (struct front_fixture *front, int fd, const char *head)
{
  g_auto (GStrv) words = g_strsplit (head, " ", 3);
  g_auto (GStrv) path = g_strsplit (words[1], "/", 4);
  const char *length = strstr (head, "Content-Length: ");
  size_t bytes = (size_t) atoi (path[2]);
  g_autofree char *body = g_malloc0 (bytes + 1);
  g_autoptr (GString) answer = g_string_new (NULL);
  size_t body_left = length != NULL ? (size_t) atoi (strchr (length, ' ')) : 0;
  int now = g_atomic_int_add (&running, 1) + 1;

  (void) front;
  if (now > g_atomic_int_get (&most))
    g_atomic_int_set (&most, now);
  body_left -= MIN (body_left, strlen (strstr (head, "\r\n\r\n") + 4));
  while (body_left > 0)
    {
      char part[256];
      ssize_t received = read (fd, part, MIN (body_left, sizeof part));

      if (received <= 0)
        break;
      body_left -= (size_t) received;
    }
  g_usleep ((gulong) (atoi (path[1]) * MS));
  memset (body, '.', bytes);
  memcpy (body, words[1], MIN (bytes, strlen (words[1])));
  g_string_printf (answer, "HTTP/1.1 200 OK\r\nX-Long: %0*d\r\nContent-Length: %zu\r\n\r\n%s",
                   strcmp (path[3], LONG_HEAD) == 0 ? LONG_HEAD_BYTES : 1, 0, bytes, body);
  g_atomic_int_add (&running, -1);
  if (send (fd, answer->str, answer->len, MSG_NOSIGNAL) == (ssize_t) answer->len)
    g_atomic_int_inc (&answered);
  return true;
}

static void
set_up (void)
{
  static const struct front_script none;

  g_atomic_int_set (&most, 0);
  g_atomic_int_set (&answered, 0);
  set_up_front (&fixture, &none);
  fixture.on_request = answer_by_path;
  listen (fixture.listener, LISTEN_QUEUE);
}

static void
tear_down (void)
{
  tear_down_front (&fixture);
}

static int
connect_caller (int receive_bytes)
{
  struct timeval limit = {.tv_sec = WAIT_MS / 1000};
  int fd = connect_to_front (&fixture, receive_bytes);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
}

/* Appends a GET for each of the PATHS, separated by spaces, to a text. */
static char *
build_requests (const char *paths)
{
  g_auto (GStrv) all = g_strsplit (paths, " ", -1);
  GString *text = g_string_new (NULL);

  for (char **path = all; *path != NULL; path++)
    g_string_append_printf (
        text, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", *path,
        (path - all) % 2 == 0 ? "" : "Connection: Keep-Alive \r\nContent-Length: 0\r\n");
  return g_string_free (text, FALSE);
}

static void
send_requests (int fd, const char *paths)
{
  g_autofree char *text = build_requests (paths);

  send_text (fd, text);
}

/* Removes an answer from FD, of which BUFFER has what was read.  Returns it with its head; NULL:
 * the connection has ended. */
static char *
read_answer (int fd, GString *buffer)
{
  g_autofree char *part = g_malloc (PART_BYTES);
  size_t total = 0;
  char *answer;

  for (;;)
    {
      const char *end = strstr (buffer->str, "\r\n\r\n");
      const char *length = strstr (buffer->str, "Content-Length: ");
      ssize_t received;

      if (end != NULL)
        total = (size_t) (end + 4 - buffer->str)
                + (length != NULL ? (size_t) atoi (strchr (length, ' ')) : 0);
      if (end != NULL && buffer->len >= total)
        break;
      received = read (fd, part, PART_BYTES);
      if (received <= 0)
        return NULL;
      g_string_append_len (buffer, part, received);
    }
  answer = g_strndup (buffer->str, total);
  g_string_erase (buffer, 0, (gssize) total);
  return answer;
}

/* Reads the answers to PATHS, separated by spaces, from FD, and checks that they come in order. */
static void
expect_answers (int fd, GString *buffer, const char *paths)
{
  g_auto (GStrv) all = g_strsplit (paths, " ", -1);

  for (char **path = all; *path != NULL; path++)
    {
      g_autofree char *answer = read_answer (fd, buffer);

      ck_assert_msg (answer != NULL, "no answer to %s", *path);
      ck_assert_msg (g_str_has_prefix (strstr (answer, "\r\n\r\n") + 4, *path), "not to %s: %s",
                     *path, answer);
    }
}

static void
wait_until (const gint *value, gint least)
{
  for (int64_t until_us = g_get_monotonic_time () + WAIT_MS * MS; g_atomic_int_get (value) < least;
       g_usleep (MS))
    ck_assert_int_lt (g_get_monotonic_time (), until_us);
}

/* A head that was too long by one byte ran ahead; its refusal closed the connection, and the
 * answers to the requests behind it, which had run, were lost. */
START_TEST (what_is_behind_a_refused_head_is_not_run)
{
  g_autoptr (GString) buffer = g_string_new (NULL);
  g_autoptr (GString) text = g_string_new ("GET /0/10/b HTTP/1.1\r\nHost: h\r\nX-Filler: ");
  const size_t limit = 1024;
  int fd = connect_caller (0);

  fixture.front->limits.header_bytes_max = (int64_t) limit;
  while (text->len < limit + 1 - strlen ("\r\n\r\n"))
    g_string_append_c (text, 'x');
  g_string_append (text, "\r\n\r\n");
  ck_assert_uint_eq (text->len, limit + 1);
  send_requests (fd, "/300/10/a");
  g_usleep (ARRIVAL_US);
  ck_assert_int_eq (send (fd, text->str, text->len, MSG_NOSIGNAL), (ssize_t) text->len);
  send_requests (fd, "/0/10/c /0/10/d");
  expect_answers (fd, buffer, "/300/10/a");
  g_usleep (300 * MS);
  ck_assert_int_eq (g_atomic_int_get (&answered), 1);
  close (fd);
}
END_TEST

/* Guards against requests that start only when those before them have been answered, and against
 * answers out of order.  The three come in one segment, on a new or a kept connection, or one after
 * the other. */
START_TEST (requests_behind_one_another_run_side_by_side)
{
  g_autoptr (GString) buffer = g_string_new (NULL);
  int fd = connect_caller (0);
  int64_t begun_us;

  if (_i > 0)
    {
      send_requests (fd, "/0/" SMALL "/first");
      expect_answers (fd, buffer, "/0/" SMALL "/first");
    }
  begun_us = g_get_monotonic_time ();
  if (_i < 2)
    send_requests (fd, "/400/" SMALL "/a /10/" SMALL "/b /300/" SMALL "/c");
  else
    {
      send_requests (fd, "/400/" SMALL "/a");
      g_usleep (ARRIVAL_US);
      send_requests (fd, "/10/" SMALL "/b");
      g_usleep (ARRIVAL_US);
      send_requests (fd, "/300/" SMALL "/c");
    }
  wait_until (&fixture.requests, _i > 0 ? 4 : 3);
  ck_assert_int_lt (g_get_monotonic_time () - begun_us, 300 * MS);
  expect_answers (fd, buffer, "/400/" SMALL "/a /10/" SMALL "/b /300/" SMALL "/c");
  ck_assert_int_lt (g_get_monotonic_time () - begun_us, 600 * MS);
  /* The connection serves what follows. */
  send_requests (fd, "/0/" SMALL "/d /0/" SMALL "/e");
  expect_answers (fd, buffer, "/0/" SMALL "/d /0/" SMALL "/e");
  close (fd);
}
END_TEST

/* Guards against answers that differ from those of a connection without pipelining. */
START_TEST (answers_have_the_same_bytes)
{
  static const char path[] = "/0/" LARGE "/a";
  g_autoptr (GString) buffer = g_string_new (NULL);
  g_autofree char *alone = NULL;
  int fd = connect_caller (0);

  send_requests (fd, path);
  alone = read_answer (fd, buffer);
  memset (strstr (alone, "Date: "), ' ', 35);
  send_requests (fd, "/100/" SMALL "/b /0/" LARGE "/a /0/" LARGE "/a /0/" LARGE "/a");
  expect_answers (fd, buffer, "/100/" SMALL "/b");
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *answer = read_answer (fd, buffer);

      memset (strstr (answer, "Date: "), ' ', 35);
      ck_assert_str_eq (answer, alone);
    }
  close (fd);
}
END_TEST

/* Guards against requests behind one that closes the connection being run, and against answers
 * before it being cut off. */
START_TEST (what_is_behind_a_closing_request_is_not_run)
{
  g_autoptr (GString) buffer = g_string_new (NULL);
  g_autofree char *before = build_requests ("/100/" SMALL "/a /0/" SMALL "/b");
  g_autofree char *behind = build_requests ("/0/" SMALL "/d");
  g_autofree char *text = g_strconcat (
      before, "GET /0/" SMALL "/c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", behind, NULL);
  int fd = connect_caller (0);

  send_text (fd, text);
  expect_answers (fd, buffer, "/100/" SMALL "/a /0/" SMALL "/b /0/" SMALL "/c");
  ck_assert_ptr_null (read_answer (fd, buffer));
  ck_assert_int_eq (g_atomic_int_get (&fixture.requests), 3);
  close (fd);
}
END_TEST

/* Guards against requests that go on for a caller that has gone: it closes (0) or resets (1) its
 * connection, or has sent more than runs ahead (2). */
START_TEST (a_caller_that_leaves_ends_all_its_requests)
{
  const struct linger reset = {.l_onoff = 1};
  int fd = connect_caller (0);

  send_requests (fd, "/600/100/a /600/100/b /600/100/c /600/100/d");
  if (_i == 2)
    send_requests (fd, "/600/100/e /600/100/f /600/100/g /600/100/h /600/100/i /600/100/j");
  wait_until (&fixture.requests, _i == 2 ? 1 + AHEAD_MAX : 4);
  g_usleep (100 * MS);
  if (_i == 1)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  g_usleep (200 * MS);
  ck_assert_int_eq (g_atomic_int_get (&fixture.callers_gone), _i == 2 ? 1 + AHEAD_MAX : 4);
  wait_until (&answered, _i == 2 ? 1 + AHEAD_MAX : 4);
  g_usleep (200 * MS);
  ck_assert_uint_eq (pl_front_open_requests (fixture.front), 0);
  ck_assert_uint_eq (fixture.front->buffered_bytes, 0);
  ck_assert_uint_eq (fixture.front->lanes, 0);
}
END_TEST

/* Guards against a connection that stays open for a minute after its last answer, since its end
 * came together with a request. */
START_TEST (an_end_with_a_request_closes_the_connection)
{
  g_autoptr (GString) buffer = g_string_new (NULL);
  int fd = connect_caller (0);
  int64_t begun_us;

  if (_i > 0)
    send_requests (fd, "/200/" SMALL "/a");
  if (_i > 0)
    wait_until (&fixture.requests, 1);
  setsockopt (fd, IPPROTO_TCP, TCP_CORK, &(int){1}, sizeof (int));
  send_requests (fd, "/0/" SMALL "/b");
  shutdown (fd, SHUT_WR);
  begun_us = g_get_monotonic_time ();
  for (int i = 0; i <= _i; i++)
    {
      g_autofree char *answer = read_answer (fd, buffer);

      ck_assert_ptr_nonnull (answer);
    }
  ck_assert_ptr_null (read_answer (fd, buffer));
  ck_assert_int_lt (g_get_monotonic_time () - begun_us, SECOND);
  close (fd);
}
END_TEST

/* Guards against answers that are lost for a caller that has only ended its sending side. */
START_TEST (a_half_closed_caller_gets_its_answers)
{
  g_autoptr (GString) buffer = g_string_new (NULL);
  int fd = connect_caller (0);

  send_requests (fd, "/300/" SMALL "/a /10/" SMALL "/b /200/" SMALL "/c");
  wait_until (&fixture.requests, 3);
  shutdown (fd, SHUT_WR);
  expect_answers (fd, buffer, "/300/" SMALL "/a /10/" SMALL "/b /200/" SMALL "/c");
  ck_assert_ptr_null (read_answer (fd, buffer));
  close (fd);
}
END_TEST

/* Guards against a body being taken for requests, and against a request with a body that starts
 * before those in front of it have ended. */
START_TEST (a_request_with_a_body_waits_its_turn)
{
  g_autoptr (GString) buffer = g_string_new (NULL);
  g_autofree char *first = build_requests ("/200/" SMALL "/a");
  g_autofree char *last = build_requests ("/0/" SMALL "/c /0/" SMALL "/d");
  g_autofree char *text
      = g_strconcat (first, "POST /0/" SMALL "/b HTTP/1.1\r\nHost: h\r\nContent-Length: ", NULL);
  g_autofree char *whole = g_strdup_printf ("%s%zu\r\n\r\n%s%s", text, strlen (last), last, last);
  int fd = connect_caller (0);

  send_text (fd, whole);
  wait_until (&fixture.requests, 1);
  g_usleep (ARRIVAL_US);
  ck_assert_int_eq (g_atomic_int_get (&fixture.requests), 1);
  expect_answers (fd, buffer, "/200/" SMALL "/a /0/" SMALL "/b /0/" SMALL "/c /0/" SMALL "/d");
  ck_assert_int_eq (g_atomic_int_get (&fixture.requests), 4);
  close (fd);
}
END_TEST

/* Guards against a head being read in part, with a request before it or by itself. */
START_TEST (a_head_in_parts_is_read_whole)
{
  static const char paths[] = "/1000/" SMALL "/a /1000/" SMALL "/b /1000/" SMALL "/c";
  g_autoptr (GString) buffer = g_string_new (NULL);
  g_autofree char *text = build_requests (paths);
  int fd = connect_caller (0);
  size_t first = strlen (text) / 3;

  for (size_t sent = 0, part = first + (size_t) _i - 2; sent < strlen (text);
       sent += part, part = 7)
    {
      part = MIN (part, strlen (text) - sent);
      ck_assert_int_eq (send (fd, text + sent, part, MSG_NOSIGNAL), (ssize_t) part);
      g_usleep (5 * MS);
    }
  wait_until (&fixture.requests, 3);
  ck_assert_int_eq (g_atomic_int_get (&answered), 0);
  expect_answers (fd, buffer, paths);
  close (fd);
}
END_TEST

/* Guards against a caller that sends without end taking memory, descriptors or servers without
 * bound, and against requests of a long pipeline being lost. */
START_TEST (an_endless_pipeline_is_bounded)
{
  enum
  {
    REQUESTS = 1000,
  };
  g_autoptr (GString) buffer = g_string_new (NULL);
  int fd = connect_caller (0);
  size_t peak;

  for (int i = 0; i < REQUESTS; i++)
    {
      g_autofree char *path = g_strdup_printf ("/%d/200/%d.", i % 5, i);

      send_requests (fd, path);
    }
  for (int i = 0; i < REQUESTS; i++)
    {
      g_autofree char *path = g_strdup_printf ("/%d/200/%d.", i % 5, i);

      expect_answers (fd, buffer, path);
    }
  ck_assert_int_le (g_atomic_int_get (&most), 1 + AHEAD_MAX);
  pl_front_buffered_bytes (fixture.front, &peak);
  ck_assert_uint_le (peak, (size_t) 1 << 20);
  close (fd);
}
END_TEST

/* Guards against a caller that does not read slowing the reading of servers' answers, and keeping
 * its memory while others need it; and against answers being lost for a caller that reads slowly,
 * or for one that began to read late when there was memory again. */
START_TEST (the_longest_unread_answer_is_dropped_under_pressure)
{
  g_autoptr (GString) buffer = g_string_new (NULL);
  int64_t begun_us = g_get_monotonic_time ();
  size_t slow_bytes = 0;
  char part[4096];
  ssize_t received;
  int slow;
  int fds[2];

  fixture.front->options.memory_limit = (size_t) 12 << 20;
  slow = connect_caller (4096);
  send_requests (slow, "/0/" LARGE "/a /0/" LARGE "/b");
  for (int i = 0; i < 2; i++)
    {
      fds[i] = connect_caller (4096);
      send_requests (fds[i], "/0/" HUGE "/a");
      wait_until (&answered, 2 + i + 1);
      /* The front looks at what callers have read twice a second, and tells apart no closer ones.
       */
      g_usleep (700 * MS);
      ck_assert_uint_ge (fixture.front->buffered_bytes, (size_t) (i + 1) * HUGE_BYTES);
    }
  ck_assert_int_lt (g_get_monotonic_time () - begun_us, 2 * SECOND);
  while (fixture.front->unread_ended == 0)
    {
      received = read (slow, part, sizeof part);
      ck_assert_int_gt (received, 0);
      slow_bytes += (size_t) received;
      g_usleep (100 * MS);
      ck_assert_int_lt (g_get_monotonic_time () - begun_us, 8 * SECOND);
    }
  g_usleep (SECOND);
  ck_assert_uint_lt (fixture.front->buffered_bytes, HUGE_BYTES + 2 * LARGE_BYTES);
  while (slow_bytes < 2 * LARGE_BYTES && (received = read (slow, part, sizeof part)) > 0)
    slow_bytes += (size_t) received;
  ck_assert_uint_ge (slow_bytes, 2 * LARGE_BYTES);
  expect_answers (fds[1], buffer, "/0/" HUGE "/a");
  ck_assert_ptr_null (read_answer (fds[0], buffer));
  ck_assert_uint_eq (fixture.front->unread_ended, 1);
  close (fds[0]);
  close (fds[1]);
  close (slow);
}
END_TEST

/* Guards against an answer that libmicrohttpd can not write ending the connection before the
 * answers to requests that are in progress. */
START_TEST (an_answer_with_a_long_head_leaves_the_connection_open)
{
  static const char paths[] = "/100/" SMALL "/a /0/" SMALL "/" LONG_HEAD " /100/" SMALL "/b";
  g_autoptr (GString) buffer = g_string_new (NULL);
  int fd = connect_caller (0);

  send_requests (fd, paths);
  expect_answers (fd, buffer, paths);
  send_requests (fd, "/0/" SMALL "/c");
  expect_answers (fd, buffer, "/0/" SMALL "/c");
  close (fd);
}
END_TEST

struct random_caller
{
  GRand *random;
  bool leaves; /* at any time, without reading its answers */
};

/* Ends the connection FD in any way. */
static void
leave (int fd, GRand *random)
{
  const struct linger reset = {.l_onoff = 1};
  char bytes[1024];
  int way = g_rand_int_range (random, 0, 3);

  if (way == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  else if (way == 1)
    {
      shutdown (fd, SHUT_WR);
      while (read (fd, bytes, sizeof bytes) > 0)
        continue;
    }
}

/* Sends requests of all kinds on a connection, in parts of any length, and checks the answers. */
static void *
call_at_random (void *data)
{
  const struct random_caller *caller = data;
  GRand *random = caller->random;
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GString) paths = g_string_new (NULL);
  g_autoptr (GString) buffer = g_string_new (NULL);
  int fd = connect_caller (0);

  for (int i = 0; i < RANDOM_REQUESTS; i++)
    {
      g_autofree char *path = g_strdup_printf (
          "/%d/%d/%d.",
          g_rand_int_range (random, 0, 4) * g_rand_int_range (random, 0, caller->leaves ? 60 : 10),
          g_rand_int_range (random, 20, 2000), i);
      int kind = g_rand_int_range (random, 0, 10);

      g_string_append_printf (paths, i == 0 ? "%s" : " %s", path);
      g_string_append_printf (text, "%s %s HTTP/1.1\r\nHost: h\r\n", kind == 0 ? "POST" : "GET",
                              path);
      if (kind == 0)
        g_string_append (text, "Content-Length: 5\r\n\r\nGET /");
      else
        g_string_append (text, kind == 1 ? "Connection: keep-alive\r\n\r\n" : "\r\n");
    }
  for (size_t sent = 0; sent < text->len;)
    {
      size_t part = (size_t) g_rand_int_range (random, 1, 400);

      part = MIN (part, text->len - sent);
      ck_assert_int_eq (send (fd, text->str + sent, part, MSG_NOSIGNAL), (ssize_t) part);
      sent += part;
      if (caller->leaves && g_rand_int_range (random, 0, LEAVES_ONE_IN) == 0)
        {
          leave (fd, random);
          goto out;
        }
      g_usleep ((gulong) g_rand_int_range (random, 0, 3000));
    }
  expect_answers (fd, buffer, paths->str);
out:
  close (fd);
  g_rand_free (random);
  return NULL;
}

static void
run_random_callers (int run, bool leave_early)
{
  struct random_caller callers[RANDOM_CALLERS];
  pthread_t threads[RANDOM_CALLERS];

  for (int i = 0; i < RANDOM_CALLERS; i++)
    {
      callers[i].random = g_rand_new_with_seed ((guint32) (run * RANDOM_CALLERS + i));
      callers[i].leaves = leave_early;
      pthread_create (&threads[i], NULL, call_at_random, &callers[i]);
    }
  for (int i = 0; i < RANDOM_CALLERS; i++)
    pthread_join (threads[i], NULL);
}

/* Guards against requests that are lost, run twice or answered out of order where bodies and other
 * kinds of heads stand between pipelined ones, and where more are pipelined than run ahead. */
START_TEST (any_requests_in_any_parts_are_answered_in_order)
{
  const int requests = RANDOM_CALLERS * RANDOM_REQUESTS;

  run_random_callers (_i, false);
  ck_assert_int_eq (g_atomic_int_get (&fixture.requests), requests);
  ck_assert_uint_gt (fixture.front->requests_ahead, RANDOM_CALLERS);
  g_usleep (ARRIVAL_US);
  ck_assert_uint_eq (fixture.front->buffered_bytes, 0);
}
END_TEST

/* Guards against connections, lanes or memory that stay behind when callers leave, and against an
 * end that arrives with a part of a request going unnoticed until a timeout. */
START_TEST (callers_that_leave_at_any_time_leave_nothing_behind)
{
  run_random_callers (_i, true);
  g_usleep (SECOND);
  ck_assert_uint_eq (pl_front_open_requests (fixture.front), 0);
  ck_assert_uint_eq (fixture.front->lanes, 0);
  ck_assert_uint_eq (fixture.front->pipelines, 0);
  ck_assert_uint_eq (fixture.front->buffered_bytes, 0);
}
END_TEST

/* Guards against requests being cut off that were accepted when the host began to stop, and against
 * others being accepted before the connection is closed. */
START_TEST (a_graceful_stop_answers_what_was_accepted)
{
  g_autoptr (GString) buffer = g_string_new (NULL);
  int fd = connect_caller (0);
  g_autofree char *last = NULL;

  send_requests (fd, "/300/" LARGE "/a /10/" SMALL "/b /200/" LARGE "/c");
  wait_until (&fixture.requests, 3);
  g_atomic_int_set (&fixture.keepalive_due, 1);
  g_usleep (ARRIVAL_US);
  send_requests (fd, "/0/" SMALL "/d");
  expect_answers (fd, buffer, "/300/" LARGE "/a /10/" SMALL "/b");
  last = read_answer (fd, buffer);
  ck_assert_ptr_nonnull (last);
  ck_assert_ptr_nonnull (strstr (last, "Connection: close\r\n"));
  ck_assert_ptr_nonnull (strstr (last, "/200/" LARGE "/c"));
  ck_assert_ptr_null (read_answer (fd, buffer));
  ck_assert_int_eq (g_atomic_int_get (&fixture.requests), 3);
  close (fd);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "pipelining");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, requests_behind_one_another_run_side_by_side, 0, 3);
  tcase_add_test (tcase, what_is_behind_a_refused_head_is_not_run);
  tcase_add_test (tcase, answers_have_the_same_bytes);
  tcase_add_test (tcase, what_is_behind_a_closing_request_is_not_run);
  tcase_add_loop_test (tcase, a_caller_that_leaves_ends_all_its_requests, 0, 3);
  tcase_add_loop_test (tcase, an_end_with_a_request_closes_the_connection, 0, 2);
  tcase_add_test (tcase, a_half_closed_caller_gets_its_answers);
  tcase_add_test (tcase, a_request_with_a_body_waits_its_turn);
  tcase_add_loop_test (tcase, a_head_in_parts_is_read_whole, 0, 5);
  tcase_add_test (tcase, an_endless_pipeline_is_bounded);
  tcase_add_test (tcase, the_longest_unread_answer_is_dropped_under_pressure);
  tcase_add_test (tcase, an_answer_with_a_long_head_leaves_the_connection_open);
  tcase_add_loop_test (tcase, any_requests_in_any_parts_are_answered_in_order, 0, 3);
  tcase_add_loop_test (tcase, callers_that_leave_at_any_time_leave_nothing_behind, 208, 212);
  tcase_add_test (tcase, a_graceful_stop_answers_what_was_accepted);
  return suite_run (suite);
}
