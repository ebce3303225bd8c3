/* How the HTTP client uses its connections, with the test program as the server on the loopback.
 * Guards against requests that are sent twice, calls that end with the wrong result, and requests
 * that were given up and reach a server later. */
#include "internal/http_client.h"
#include "loopback.h"
#include "suite.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define WAIT_MS 10000
#define MS INT64_C (1000)
#define SECOND INT64_C (1000000)
#define FDS_MAX 256
#define HEAD_BYTES_MAX 2048

/* A server that is busy does not read for this long, which exceeds the limit on unacknowledged
 * bytes. */
#define BUSY_US (3 * SECOND / 2)
#define LARGE_BODY_BYTES ((int64_t) 16 << 20)
/* More than libcurl reads at once. */
#define EARLY_ANSWER_BYTES 200000

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

static int listener;
static uint16_t port;
static char url[64];
static struct pl_http_client *client;
static GMutex lock;
static GCond call_ended;
static int ended;
static enum pl_http_end last_end;
static int64_t answer_bytes; /* of all calls with body_handler or upload_handler */

static void
set_up (void)
{
  listener = loopback_listen (&port);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/", port);
  ended = 0;
  answer_bytes = 0;
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
  g_cond_signal (&call_ended);
  g_mutex_unlock (&lock);
}

static size_t
on_read (void *data, char *bytes, size_t length)
{
  int64_t *left = data;
  size_t part = (size_t) MIN ((int64_t) length, *left);

  memset (bytes, 'x', part);
  *left -= (int64_t) part;
  return part;
}

static size_t
on_write (void *data, const char *bytes, size_t length)
{
  (void) data;
  (void) bytes;
  g_mutex_lock (&lock);
  answer_bytes += (int64_t) length;
  g_mutex_unlock (&lock);
  return length;
}

static bool
refuse_head (void *data, const struct pl_answer_head *head)
{
  (void) data;
  (void) head;
  return false;
}

static const struct pl_http_handler handler = {.done = on_done};
static const struct pl_http_handler body_handler = {.write = on_write, .done = on_done};
static const struct pl_http_handler refusing_handler = {.head_ended = refuse_head, .done = on_done};
static const struct pl_http_handler upload_handler
    = {.write = on_write, .read = on_read, .done = on_done};

static void
wait_for_ended_calls (int count)
{
  int64_t until_us = g_get_monotonic_time () + WAIT_MS * MS;

  g_mutex_lock (&lock);
  while (ended < count)
    ck_assert (g_cond_wait_until (&call_ended, &lock, until_us));
  g_mutex_unlock (&lock);
}

static void
start_call (bool send_at_most_once, int64_t unacked_limit_us)
{
  struct pl_http_call_options options = {
      .method = "GET",
      .url = url,
      .timeout_us = 8 * SECOND,
      .send_at_most_once = send_at_most_once,
      .unacked_limit_us = unacked_limit_us,
      .handler = &handler,
  };

  pl_http_call_unref (pl_http_client_start (client, &options));
}

/* Reads the head of a request on FD. */
static void
read_request (int fd)
{
  char text[HEAD_BYTES_MAX] = "";
  size_t length = 0;

  while (strstr (text, "\r\n\r\n") == NULL)
    {
      ssize_t received = read (fd, text + length, sizeof text - length - 1);

      ck_assert_int_gt (received, 0);
      length += (size_t) received;
    }
}

/* Returns the client's next connection after the head of a request has arrived on it. */
static int
accept_request (void)
{
  struct pollfd wait = {.fd = listener, .events = POLLIN};
  int fd;

  ck_assert_int_eq (poll (&wait, 1, WAIT_MS), 1);
  fd = accept (listener, NULL, NULL);
  read_request (fd);
  return fd;
}

/* Connects until the kernel takes no further connection, since none is accepted. */
static void
fill_backlog (void)
{
  struct sockaddr_in address = {
      .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK), .sin_port = htons (port)};
  struct pollfd wait = {.events = POLLOUT};

  do
    {
      wait.fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      if (connect (wait.fd, (struct sockaddr *) &address, sizeof address) < 0)
        ck_assert_int_eq (errno, EINPROGRESS);
    }
  while (poll (&wait, 1, 100) == 1);
}

/* Returns TCP_USER_TIMEOUT of the client's socket of a connection to the server. */
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

/* Returns 1 if the client has sent anything on a further connection, and 0 otherwise.  The read
 * does not block for long, since the client closes a connection that it may not use. */
static ssize_t
resent_bytes (void)
{
  struct pollfd wait = {.fd = listener, .events = POLLIN};
  char byte;
  ssize_t received;
  int fd;

  if (poll (&wait, 1, 0) == 0)
    return 0;
  fd = accept (listener, NULL, NULL);
  received = read (fd, &byte, 1);
  close (fd);
  return MAX (received, 0);
}

/* Reads what is left on FD.  Returns 0 if the connection ends in order, and ECONNRESET if it is
 * reset. */
static int
read_to_end (int fd)
{
  struct pollfd wait = {.fd = fd, .events = POLLIN};
  char bytes[65536];
  ssize_t received;

  do
    {
      ck_assert_int_eq (poll (&wait, 1, WAIT_MS), 1);
      received = read (fd, bytes, sizeof bytes);
    }
  while (received > 0);
  return received == 0 ? 0 : errno;
}

static void
write_text (int fd, const char *text)
{
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t) strlen (text));
}

/* Returns the client's next connection after the head of a request has arrived on it and TEXT was
 * written as its answer. */
static int
accept_and_answer (const char *text)
{
  int fd = accept_request ();

  write_text (fd, text);
  return fd;
}

/* Checks that the call ends as END, and its connection, which is closed then, with ERROR. */
static void
check_ends (int fd, enum pl_http_end end, int error)
{
  wait_for_ended_calls (1);
  ck_assert_int_eq (last_end, end);
  ck_assert_int_eq (read_to_end (fd), error);
  close (fd);
}

/* Guards against calls to a server that has vanished without a reset and that last until their
 * timeout. */
START_TEST (the_limit_on_unacknowledged_bytes_is_set_on_the_socket)
{
  int fd;

  start_call (true, SECOND / 2);
  fd = accept_request ();
  ck_assert_uint_eq (unacked_limit_ms (), 500);
  ck_assert_int_eq (write (fd, answer, sizeof answer - 1), sizeof answer - 1);
  wait_for_ended_calls (1);
  ck_assert_int_eq (last_end, PL_HTTP_COMPLETE);
  close (fd);
}
END_TEST

/* The limit on unacknowledged bytes ends a connection whose receiver has no room, so it must be
 * longer than a server may be busy. */
START_TEST (a_server_that_does_not_read_for_a_while_is_not_given_up)
{
  int64_t left = LARGE_BODY_BYTES;
  struct pl_http_call_options options = {
      .method = "POST",
      .url = url,
      .timeout_us = 8 * SECOND,
      .body_length = LARGE_BODY_BYTES,
      .unacked_limit_us = 4 * SECOND,
      .handler = &upload_handler,
      .data = &left,
  };
  char bytes[65536];
  int64_t received = 0;
  ssize_t part;
  int fd;

  pl_http_call_unref (pl_http_client_start (client, &options));
  fd = accept_request ();
  g_usleep (BUSY_US);
  /* The head and the first bytes of the body have been read already. */
  while (received < LARGE_BODY_BYTES - HEAD_BYTES_MAX
         && (part = read (fd, bytes, sizeof bytes)) > 0)
    received += part;
  ck_assert_int_ge (received, LARGE_BODY_BYTES - HEAD_BYTES_MAX);
  ck_assert_int_eq (write (fd, answer, sizeof answer - 1), sizeof answer - 1);
  wait_for_ended_calls (1);
  close (fd);
}
END_TEST

/* The server's host answers no further SYN, as one behind a partition. */
START_TEST (a_connection_that_hangs_ends_as_not_sent_in_time)
{
  int64_t begun_us = g_get_monotonic_time ();
  struct pl_http_call_options options = {
      .method = "GET",
      .url = url,
      .timeout_us = 8 * SECOND,
      .connect_timeout_us = SECOND / 4,
      .handler = &handler,
  };

  fill_backlog ();
  pl_http_call_unref (pl_http_client_start (client, &options));
  wait_for_ended_calls (1);
  ck_assert_int_eq (last_end, PL_HTTP_NOT_SENT);
  ck_assert_int_ge (g_get_monotonic_time () - begun_us, SECOND / 4);
  ck_assert_int_le (g_get_monotonic_time () - begun_us, SECOND);
}
END_TEST

/* A call that may only use a kept connection opens none. */
START_TEST (a_call_for_kept_connections_opens_no_new_one)
{
  struct pl_http_call_options options = {
      .method = "GET",
      .url = url,
      .timeout_us = 8 * SECOND,
      .only_kept_connection = true,
      .handler = &handler,
  };
  int fd;

  pl_http_call_unref (pl_http_client_start (client, &options));
  wait_for_ended_calls (1);
  ck_assert_int_eq (last_end, PL_HTTP_NOT_SENT);
  ck_assert_int_eq (resent_bytes (), 0);
  start_call (true, 0);
  fd = accept_request ();
  ck_assert_int_eq (write (fd, answer, sizeof answer - 1), sizeof answer - 1);
  wait_for_ended_calls (2);
  pl_http_call_unref (pl_http_client_start (client, &options));
  read_request (fd);
  ck_assert_int_eq (write (fd, answer, sizeof answer - 1), sizeof answer - 1);
  wait_for_ended_calls (3);
  ck_assert_int_eq (last_end, PL_HTTP_COMPLETE);
  close (fd);
}
END_TEST

/* The server resets a kept-alive connection after the next request was sent on it.  libcurl would
 * resend that request on a new connection. */
START_TEST (a_call_sent_at_most_once_is_not_resent_after_a_connection_reset)
{
  struct pollfd wait = {.events = POLLIN};
  int fd;

  start_call (true, 0);
  fd = accept_request ();
  ck_assert_int_eq (write (fd, answer, sizeof answer - 1), sizeof answer - 1);
  wait_for_ended_calls (1);
  start_call (true, 0);
  wait.fd = fd;
  ck_assert_int_eq (poll (&wait, 1, WAIT_MS), 1);
  close (fd); /* with unread bytes, so that the client gets a reset */
  wait_for_ended_calls (2);
  ck_assert_int_ne (last_end, PL_HTTP_COMPLETE);
  ck_assert_int_eq (resent_bytes (), 0);
}
END_TEST

/* A request that was not sent may go to another server, even if it may run at most once. */
START_TEST (a_refused_connection_ends_as_not_sent)
{
  close (listener);
  start_call (true, 0);
  wait_for_ended_calls (1);
  ck_assert_int_eq (last_end, PL_HTTP_NOT_SENT);
  listener = socket (AF_INET, SOCK_STREAM, 0); /* tear_down() closes it */
}
END_TEST

/* What is sent in vain must not reach the server later, as it does when a partition ends after the
 * connection was closed in order: the server is in an evacuated domain by then, or outside the home
 * regions.  Only a reset has the kernel drop it. */
START_TEST (a_connection_whose_call_was_cancelled_is_reset)
{
  struct pl_http_call_options options
      = {.method = "GET", .url = url, .timeout_us = 8 * SECOND, .handler = &handler};
  struct pl_http_call *call = pl_http_client_start (client, &options);
  int fd = accept_request ();

  pl_http_call_cancel (call);
  pl_http_call_unref (call);
  check_ends (fd, PL_HTTP_NO_ANSWER, ECONNRESET);
}
END_TEST

START_TEST (a_kept_connection_whose_call_was_cancelled_is_reset)
{
  struct pl_http_call_options options
      = {.method = "GET", .url = url, .timeout_us = 8 * SECOND, .handler = &handler};
  struct pl_http_call *call;
  int fd;

  start_call (true, 0);
  fd = accept_and_answer (answer);
  wait_for_ended_calls (1);
  ck_assert_int_eq (last_end, PL_HTTP_COMPLETE);
  call = pl_http_client_start (client, &options);
  read_request (fd);
  pl_http_call_cancel (call);
  pl_http_call_unref (call);
  wait_for_ended_calls (2);
  ck_assert_int_eq (last_end, PL_HTTP_NO_ANSWER);
  ck_assert_int_eq (read_to_end (fd), ECONNRESET);
  close (fd);
}
END_TEST

START_TEST (a_connection_whose_call_timed_out_is_reset)
{
  struct pl_http_call_options options
      = {.method = "GET", .url = url, .timeout_us = SECOND / 4, .handler = &handler};

  pl_http_call_unref (pl_http_client_start (client, &options));
  check_ends (accept_request (), PL_HTTP_NO_ANSWER, ECONNRESET);
}
END_TEST

/* libcurl has closed the connection before it tells that the call has failed. */
START_TEST (a_connection_with_a_malformed_answer_is_reset)
{
  start_call (true, 0);
  check_ends (accept_and_answer ("HTTP/1.1 200 OK\r\nbad field: 1\r\n\r\n"), PL_HTTP_TRUNCATED,
              ECONNRESET);
}
END_TEST

START_TEST (a_connection_whose_answer_was_refused_is_reset)
{
  struct pl_http_call_options options
      = {.method = "GET", .url = url, .timeout_us = 8 * SECOND, .handler = &refusing_handler};

  pl_http_call_unref (pl_http_client_start (client, &options));
  check_ends (accept_and_answer ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), PL_HTTP_TRUNCATED,
              ECONNRESET);
}
END_TEST

/* The server ends its sending side alone, and could still read the request. */
START_TEST (a_connection_whose_answer_broke_off_is_reset)
{
  int fd;

  start_call (true, 0);
  fd = accept_and_answer ("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok");
  shutdown (fd, SHUT_WR);
  check_ends (fd, PL_HTTP_TRUNCATED, ECONNRESET);
}
END_TEST

START_TEST (a_connection_whose_call_was_cancelled_in_its_body_is_reset)
{
  int64_t left = LARGE_BODY_BYTES;
  struct pl_http_call_options options = {
      .method = "POST",
      .url = url,
      .timeout_us = 8 * SECOND,
      .body_length = LARGE_BODY_BYTES,
      .unacked_limit_us = 4 * SECOND,
      .handler = &upload_handler,
      .data = &left,
  };
  struct pl_http_call *call = pl_http_client_start (client, &options);
  int fd = accept_request ();

  g_usleep (SECOND / 10); /* until the buffers of the connection are full */
  pl_http_call_cancel (call);
  pl_http_call_unref (call);
  check_ends (fd, PL_HTTP_NO_ANSWER, ECONNRESET);
  ck_assert_int_gt (left, 0);
}
END_TEST

START_TEST (a_connection_of_a_client_that_ends_during_a_call_is_reset)
{
  int fd;

  start_call (true, 0);
  fd = accept_request ();
  pl_http_client_free (client);
  client = NULL; /* tear_down() frees it */
  check_ends (fd, PL_HTTP_NO_ANSWER, ECONNRESET);
}
END_TEST

/* The kernel closes the connections of a process that ends, also of one that is killed. */
START_TEST (a_connection_of_a_process_that_ends_during_a_call_is_reset)
{
  pid_t process;
  int fd;

  pl_http_client_free (client); /* its thread would not be there in the other process */
  client = NULL;
  process = fork ();
  ck_assert_int_ge (process, 0);
  if (process == 0)
    {
      client = pl_http_client_new ("test");
      start_call (true, 0);
      pause ();
    }
  fd = accept_request ();
  ck_assert_int_eq (kill (process, SIGKILL), 0);
  ck_assert_int_eq (waitpid (process, NULL, 0), process);
  ck_assert_int_eq (read_to_end (fd), ECONNRESET);
  close (fd);
}
END_TEST

/* The answer is read before the connection is closed, and the request has arrived. */
static const char *const closing_answers[] = {
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: "
    "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2"
    "\r\n\r\nok",
    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
};

START_TEST (a_connection_that_an_answer_closes_ends_in_order)
{
  struct pl_http_call_options options
      = {.method = "GET", .url = url, .timeout_us = 8 * SECOND, .handler = &body_handler};

  pl_http_call_unref (pl_http_client_start (client, &options));
  check_ends (accept_and_answer (closing_answers[_i]), PL_HTTP_COMPLETE, 0);
  ck_assert_int_eq (answer_bytes, 2);
}
END_TEST

START_TEST (a_connection_that_an_answer_to_head_closes_ends_in_order)
{
  struct pl_http_call_options options
      = {.method = "HEAD", .url = url, .timeout_us = 8 * SECOND, .handler = &handler};

  pl_http_call_unref (pl_http_client_start (client, &options));
  check_ends (
      accept_and_answer ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"),
      PL_HTTP_COMPLETE, 0);
}
END_TEST

/* An answer without a length is whole when the server ends the connection. */
START_TEST (a_connection_that_ends_with_its_answer_ends_in_order)
{
  int fd;

  start_call (true, 0);
  fd = accept_and_answer ("HTTP/1.1 200 OK\r\n\r\nok");
  shutdown (fd, SHUT_WR);
  check_ends (fd, PL_HTTP_COMPLETE, 0);
}
END_TEST

START_TEST (a_connection_for_one_call_ends_in_order)
{
  struct pl_http_call_options options = {.method = "GET",
                                         .url = url,
                                         .timeout_us = 8 * SECOND,
                                         .fresh_connection = true,
                                         .handler = &handler};

  pl_http_call_unref (pl_http_client_start (client, &options));
  check_ends (accept_and_answer (answer), PL_HTTP_COMPLETE, 0);
}
END_TEST

START_TEST (an_idle_connection_ends_in_order)
{
  struct pl_http_call_options options = {.method = "GET",
                                         .url = url,
                                         .timeout_us = 8 * SECOND,
                                         .idle_limit_s = 1,
                                         .handler = &handler};
  int idle_fd;
  int fd;

  start_call (true, 0);
  idle_fd = accept_and_answer (answer);
  wait_for_ended_calls (1);
  g_usleep (5 * SECOND / 2);
  pl_http_call_unref (pl_http_client_start (client, &options));
  fd = accept_and_answer (answer);
  wait_for_ended_calls (2);
  ck_assert_int_eq (last_end, PL_HTTP_COMPLETE);
  ck_assert_int_eq (read_to_end (idle_fd), 0);
  close (idle_fd);
  /* The other one is idle when the client ends. */
  pl_http_client_free (client);
  client = NULL;
  ck_assert_int_eq (read_to_end (fd), 0);
  close (fd);
}
END_TEST

/* A server may answer before it has read a long body.  A reset must not cost the caller any of that
 * answer, and the server sees no reset before it has closed the connection. */
static const char *const early_heads[]
    = {"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n",
       "HTTP/1.1 413 Content Too Large\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n"};

START_TEST (an_early_answer_is_read_whole_and_its_connection_ends_in_order)
{
  int64_t left = LARGE_BODY_BYTES;
  struct pl_http_call_options options = {
      .method = "POST",
      .url = url,
      .timeout_us = 8 * SECOND,
      .body_length = LARGE_BODY_BYTES,
      .unacked_limit_us = 4 * SECOND,
      .handler = &upload_handler,
      .data = &left,
  };
  g_autofree char *head
      = g_strdup_printf ("%sContent-Length: %d\r\n\r\n", early_heads[_i], EARLY_ANSWER_BYTES);
  g_autofree char *body = g_strnfill (EARLY_ANSWER_BYTES, 'a');
  int fd;

  pl_http_call_unref (pl_http_client_start (client, &options));
  fd = accept_request ();
  g_usleep (SECOND / 10); /* until the buffers of the connection are full */
  write_text (fd, head);
  write_text (fd, body);
  check_ends (fd, PL_HTTP_COMPLETE, 0);
  ck_assert_int_eq (answer_bytes, EARLY_ANSWER_BYTES);
  ck_assert_int_gt (left, 0);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "http_client");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, the_limit_on_unacknowledged_bytes_is_set_on_the_socket);
  tcase_add_test (tcase, a_call_sent_at_most_once_is_not_resent_after_a_connection_reset);
  tcase_add_test (tcase, a_server_that_does_not_read_for_a_while_is_not_given_up);
  tcase_add_test (tcase, a_connection_that_hangs_ends_as_not_sent_in_time);
  tcase_add_test (tcase, a_call_for_kept_connections_opens_no_new_one);
  tcase_add_test (tcase, a_refused_connection_ends_as_not_sent);
  tcase_add_test (tcase, a_connection_whose_call_was_cancelled_is_reset);
  tcase_add_test (tcase, a_kept_connection_whose_call_was_cancelled_is_reset);
  tcase_add_test (tcase, a_connection_whose_call_timed_out_is_reset);
  tcase_add_test (tcase, a_connection_with_a_malformed_answer_is_reset);
  tcase_add_test (tcase, a_connection_whose_answer_was_refused_is_reset);
  tcase_add_test (tcase, a_connection_whose_answer_broke_off_is_reset);
  tcase_add_test (tcase, a_connection_whose_call_was_cancelled_in_its_body_is_reset);
  tcase_add_test (tcase, a_connection_of_a_client_that_ends_during_a_call_is_reset);
  tcase_add_test (tcase, a_connection_of_a_process_that_ends_during_a_call_is_reset);
  tcase_add_loop_test (tcase, a_connection_that_an_answer_closes_ends_in_order, 0,
                       G_N_ELEMENTS (closing_answers));
  tcase_add_test (tcase, a_connection_that_an_answer_to_head_closes_ends_in_order);
  tcase_add_test (tcase, a_connection_that_ends_with_its_answer_ends_in_order);
  tcase_add_test (tcase, a_connection_for_one_call_ends_in_order);
  tcase_add_test (tcase, an_idle_connection_ends_in_order);
  tcase_add_loop_test (tcase, an_early_answer_is_read_whole_and_its_connection_ends_in_order, 0,
                       G_N_ELEMENTS (early_heads));
  return suite_run (suite);
}
