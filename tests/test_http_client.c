/* What a call does to its connection, against a server on the loopback that this program holds. */
#include "internal/http_client.h"
#include "loopback.h"
#include "suite.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#define WAIT_MS 10000
#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define FDS_MAX 256

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

static int listener;
static uint16_t port;
static char url[64];
static struct pl_http_client *client;
static GMutex lock;
static GCond ended_changed;
static int ended;
static enum pl_http_end last_end;

static void
set_up (void)
{
  listener = loopback_listen (&port);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/", port);
  ended = 0;
  client = pl_http_client_new ("test");
}

static void
tear_down (void)
{
  pl_http_client_free (client);
  close (listener);
}

static void
on_done (void *data, enum pl_http_end end, int status)
{
  (void) data;
  (void) status;
  g_mutex_lock (&lock);
  ended++;
  last_end = end;
  g_cond_signal (&ended_changed);
  g_mutex_unlock (&lock);
}

static const struct pl_http_handler handler = {.done = on_done};

static void
await_ends (int count)
{
  int64_t until_us = g_get_monotonic_time () + WAIT_MS * MS;

  g_mutex_lock (&lock);
  while (ended < count)
    ck_assert (g_cond_wait_until (&ended_changed, &lock, until_us));
  g_mutex_unlock (&lock);
}

static void
start_call (bool send_once, int64_t unacked_limit_us)
{
  struct pl_http_call_options options = {
      .method = "GET",
      .url = url,
      .timeout_us = 8 * SECOND,
      .send_once = send_once,
      .unacked_limit_us = unacked_limit_us,
      .handler = &handler,
  };

  pl_http_call_unref (pl_http_client_start (client, &options));
}

/* Returns the client's next connection once a whole request came on it. */
static int
accept_request (void)
{
  struct pollfd wait = {.fd = listener, .events = POLLIN};
  char text[2048] = "";
  size_t length = 0;
  int fd;

  ck_assert_int_eq (poll (&wait, 1, WAIT_MS), 1);
  fd = accept (listener, NULL, NULL);
  while (strstr (text, "\r\n\r\n") == NULL)
    {
      ssize_t got = read (fd, text + length, sizeof text - length - 1);

      ck_assert_int_gt (got, 0);
      length += (size_t) got;
    }
  return fd;
}

/* Returns the limit that the client's own end of a connection to the server has. */
static unsigned
unacked_limit_ms (void)
{
  for (int fd = 0; fd < FDS_MAX; fd++)
    {
      struct sockaddr_in peer = {0};
      socklen_t length = sizeof peer;
      unsigned limit_ms = 0;

      if (getpeername (fd, (struct sockaddr *) &peer, &length) < 0 || ntohs (peer.sin_port) != port)
        continue;
      length = sizeof limit_ms;
      ck_assert_int_eq (getsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, &length), 0);
      return limit_ms;
    }
  ck_abort_msg ("no connection to the server");
  return 0;
}

/* Returns how many bytes came on a connection that the client made since; it ends it itself. */
static ssize_t
late_bytes (void)
{
  struct pollfd wait = {.fd = listener, .events = POLLIN};
  char byte;
  ssize_t got;
  int fd;

  if (poll (&wait, 1, 0) == 0)
    return 0;
  fd = accept (listener, NULL, NULL);
  got = read (fd, &byte, 1);
  close (fd);
  return MAX (got, 0);
}

START_TEST (a_connection_gives_up_a_silent_host_by_the_calls_limit)
{
  int fd;

  start_call (true, SECOND / 2);
  fd = accept_request ();
  ck_assert_uint_eq (unacked_limit_ms (), 500);
  ck_assert_int_eq (write (fd, answer, sizeof answer - 1), sizeof answer - 1);
  await_ends (1);
  ck_assert_int_eq (last_end, PL_HTTP_WHOLE);
  close (fd);
}
END_TEST

/* A kept connection that ends under the next request: libcurl would send it again. */
START_TEST (what_is_sent_once_is_not_sent_again_when_a_kept_connection_is_dead)
{
  struct pollfd wait = {.events = POLLIN};
  int fd;

  start_call (true, 0);
  fd = accept_request ();
  ck_assert_int_eq (write (fd, answer, sizeof answer - 1), sizeof answer - 1);
  await_ends (1);
  start_call (true, 0);
  wait.fd = fd;
  ck_assert_int_eq (poll (&wait, 1, WAIT_MS), 1);
  close (fd); /* with unread bytes: the client gets a reset */
  await_ends (2);
  ck_assert_int_ne (last_end, PL_HTTP_WHOLE);
  ck_assert_int_eq (late_bytes (), 0);
}
END_TEST

START_TEST (a_call_to_nobody_was_not_sent)
{
  close (listener);
  start_call (true, 0);
  await_ends (1);
  ck_assert_int_eq (last_end, PL_HTTP_NOT_SENT);
  listener = socket (AF_INET, SOCK_STREAM, 0);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "http_client");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, a_connection_gives_up_a_silent_host_by_the_calls_limit);
  tcase_add_test (tcase, what_is_sent_once_is_not_sent_again_when_a_kept_connection_is_dead);
  tcase_add_test (tcase, a_call_to_nobody_was_not_sent);
  return suite_run (suite);
}
