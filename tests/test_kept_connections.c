/* What happens to a call whose kept connections fail one after the other, with the test program as
 * the server on the loopback.  Guards against requests whose body is cut, and against bytes that
 * pass for the answer to a later request. */
#include "internal/http_client.h"
#include "loopback.h"
#include "suite.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#define WAIT_MS 3000
#define MS INT64_C (1000)
#define TIMEOUT_US INT64_C (1000000)
#define TEXT_BYTES 4096
/* Long enough for bytes on the loopback to arrive. */
#define ARRIVAL_US (20 * MS)
#define BODY "the whole body"
#define BODY_BYTES ((size_t) 14)

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

static int listener;
static char url[64];
static struct pl_http_client *client;
static GMutex lock;
static GCond call_ended;
static int ended;
static enum pl_http_end last_end;

static void
set_up (void)
{
  uint16_t port;

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
  (void) status;
  g_free (data);
  g_mutex_lock (&lock);
  ended++;
  last_end = end;
  g_cond_signal (&call_ended);
  g_mutex_unlock (&lock);
}

/* DATA counts the bytes that were read. */
static size_t
on_read (void *data, char *bytes, size_t length)
{
  size_t *offset = data;
  size_t part = MIN (length, BODY_BYTES - *offset);

  memcpy (bytes, BODY + *offset, part);
  *offset += part;
  return part;
}

static const struct pl_http_handler handler = {.read = on_read, .done = on_done};

/* Starts a call that may be repeated.  Returns a reference. */
static struct pl_http_call *
begin_call (int64_t body_length)
{
  struct pl_http_call_options options = {
      .method = body_length > 0 ? "PUT" : "GET",
      .url = url,
      .body_length = body_length,
      .timeout_us = TIMEOUT_US,
      .handler = &handler,
      .data = g_new0 (size_t, 1),
  };

  return pl_http_client_start (client, &options);
}

static void
start_call (int64_t body_length)
{
  pl_http_call_unref (begin_call (body_length));
}

static void
wait_for_ended_calls (int count)
{
  int64_t until_us = g_get_monotonic_time () + WAIT_MS * MS;

  g_mutex_lock (&lock);
  while (ended < count)
    ck_assert (g_cond_wait_until (&call_ended, &lock, until_us));
  g_mutex_unlock (&lock);
}

static bool
is_readable (int fd, int wait_ms)
{
  struct pollfd wait = {.fd = fd, .events = POLLIN};

  return poll (&wait, 1, wait_ms) == 1;
}

/* Reads from FD until TEXT has the head of a request and LENGTH bytes of its body, or nothing more
 * arrives.  Returns the number of bytes of the body. */
static size_t
read_request (int fd, char *text, size_t length)
{
  size_t received = 0;
  const char *body = NULL;

  memset (text, 0, TEXT_BYTES);
  while (body == NULL || strlen (body) < length)
    {
      ssize_t part = 0;

      if (is_readable (fd, WAIT_MS / 6))
        part = read (fd, text + received, TEXT_BYTES - 1 - received);
      if (part <= 0)
        break;
      received += (size_t) part;
      body = strstr (text, "\r\n\r\n");
      body = body != NULL ? body + strlen ("\r\n\r\n") : NULL;
    }
  return body != NULL ? strlen (body) : 0;
}

static void
send_answer (int fd)
{
  ck_assert_int_eq (write (fd, answer, sizeof answer - 1), (ssize_t) sizeof answer - 1);
}

/* Returns the client's next connection after the head of a request has arrived on it. */
static int
accept_request (void)
{
  char text[TEXT_BYTES];
  int fd;

  ck_assert (is_readable (listener, WAIT_MS));
  fd = accept (listener, NULL, NULL);
  read_request (fd, text, 0);
  return fd;
}

/* Leaves two idle connections to the server, of which FDS are the server's ends. */
static void
keep_two_connections (int *fds)
{
  start_call (0);
  start_call (0);
  fds[0] = accept_request ();
  fds[1] = accept_request ();
  send_answer (fds[0]);
  send_answer (fds[1]);
  wait_for_ended_calls (2);
}

/* Returns which of the connections FDS has a request, whose head and LENGTH bytes of the body are
 * read, and sends bytes of another answer on the other one. */
static int
take_request (const int *fds, size_t length)
{
  char text[TEXT_BYTES];
  int used;

  while (!is_readable (fds[0], 1) && !is_readable (fds[1], 1))
    continue;
  used = is_readable (fds[1], 0) ? 1 : 0;
  ck_assert_uint_eq (read_request (fds[used], text, length), length);
  send_answer (fds[1 - used]);
  g_usleep (ARRIVAL_US);
  return used;
}

/* Only the connection with bytes that nobody asked for is closed. */
START_TEST (a_quiet_connection_is_used_beside_one_with_bytes_of_no_request)
{
  char text[TEXT_BYTES];
  int fds[2];

  keep_two_connections (fds);
  send_answer (fds[_i]);
  g_usleep (ARRIVAL_US);
  for (int i = 0; i < 2; i++)
    {
      start_call (0);
      read_request (fds[1 - _i], text, 0);
      ck_assert (g_str_has_prefix (text, "GET"));
      send_answer (fds[1 - _i]);
      wait_for_ended_calls (3 + i);
      ck_assert_int_eq (last_end, PL_HTTP_COMPLETE);
    }
  ck_assert (!is_readable (listener, 0));
  close (fds[0]);
  close (fds[1]);
}
END_TEST

/* The connection on which a request was sent ends without an answer, and the one on which libcurl
 * would send it again has bytes of another answer. */
START_TEST (a_request_that_is_sent_again_has_its_whole_body)
{
  char text[TEXT_BYTES];
  int fds[2];

  keep_two_connections (fds);
  start_call (BODY_BYTES);
  close (fds[take_request (fds, BODY_BYTES)]);
  if (is_readable (listener, WAIT_MS / 6))
    {
      int fd = accept (listener, NULL, NULL);

      ck_assert_uint_eq (read_request (fd, text, BODY_BYTES), BODY_BYTES);
      send_answer (fd);
    }
  wait_for_ended_calls (3);
}
END_TEST

/* Checks that the client has reset FD, and that no answer can be sent on it. */
static void
fail_to_send_answer (int fd)
{
  ck_assert (is_readable (fd, WAIT_MS));
  ck_assert_int_eq (send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL), -1);
  ck_assert_int_eq (errno, ECONNRESET);
}

/* A call that ends before its answer leaves no connection on which the answer could arrive for a
 * later call: the store's answers bear no id. */
START_TEST (a_late_answer_is_read_by_no_other_call)
{
  bool is_cancelled = _i == 1;
  struct pl_http_call *call = begin_call (0);
  int fds[2];

  fds[0] = accept_request ();
  if (is_cancelled)
    pl_http_call_cancel (call);
  wait_for_ended_calls (1);
  ck_assert_int_eq (last_end, PL_HTTP_NO_ANSWER);
  fail_to_send_answer (fds[0]);
  start_call (0);
  fds[1] = accept_request ();
  send_answer (fds[1]);
  wait_for_ended_calls (2);
  ck_assert_int_eq (last_end, PL_HTTP_COMPLETE);
  pl_http_call_unref (call);
  close (fds[0]);
  close (fds[1]);
}
END_TEST

/* A call that is started again has what is left of its time. */
START_TEST (a_call_that_is_started_again_ends_in_time)
{
  int64_t begun_us;
  int fds[2];
  int used;

  keep_two_connections (fds);
  begun_us = g_get_monotonic_time ();
  start_call (0);
  used = take_request (fds, 0);
  g_usleep (3 * TIMEOUT_US / 4);
  close (fds[used]);
  wait_for_ended_calls (3);
  ck_assert_int_eq (last_end, PL_HTTP_NO_ANSWER);
  ck_assert_int_le (g_get_monotonic_time () - begun_us, 5 * TIMEOUT_US / 4);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "kept_connections");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, a_quiet_connection_is_used_beside_one_with_bytes_of_no_request, 0, 2);
  tcase_add_test (tcase, a_request_that_is_sent_again_has_its_whole_body);
  tcase_add_loop_test (tcase, a_late_answer_is_read_by_no_other_call, 0, 2);
  tcase_add_test (tcase, a_call_that_is_started_again_ends_in_time);
  return suite_run (suite);
}
