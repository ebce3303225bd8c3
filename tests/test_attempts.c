/* Which answers pomelolatchd takes for those of an attempt, with the test as the backend server and
 * as the reducer.  Guards against requests that are reported as not run, or run again, though they
 * ran, since another answer was taken for theirs. */
#include "internal/entry.h"
#include "loopback.h"
#include "suite.h"

#include <curl/curl.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#define SECOND INT64_C (1000000)
#define TEXT_BYTES 4096
#define ANSWERS_MAX 4
#define OUTCOMES_MAX 8
#define BODY_MAX 1000
/* Of an answer, more than a caller takes at once. */
#define LARGE_BYTES 30000
/* Long enough for what must not happen to happen. */
#define SETTLE_US ((gulong) 100000)

#define ECHO "Pomelolatch-Request: %s\r\n"
#define SHED_WITH(lines)                                                                           \
  "HTTP/1.1 503 Service Unavailable\r\nPomelolatch-Outcome: not-run\r\n" lines                     \
  "Content-Length: 0\r\n\r\n"
#define OK_WITH(lines) "HTTP/1.1 200 OK\r\n" lines "Content-Length: 2\r\n\r\nok"

/* A host: its ports, and what stands for its reducer. */
struct host
{
  struct pl_entry *entry;
  char callers[PL_ADDRESS_CHARS];
  char forwards[PL_ADDRESS_CHARS];
  const char *target;           /* address of the server or peer that its requests are sent to */
  enum pl_effect_type decision; /* on a request */
  GAsyncQueue *effects;         /* of struct pl_effect; one of type PL_EFFECT_PROBE ends it */
  pthread_t executor;
  gint held; /* effects are executed once this is 0; atomic */
  gint outcomes;
  enum pl_outcome outcome[OUTCOMES_MAX];
  gint callers_gone;
};

/* A server that answers the requests of a connection in order; %s stands for what it must echo. */
static const char *const *script;
static int listener;
static char server_address[PL_ADDRESS_CHARS];
static gint connections;
static gint requests;
static struct pl_http_client *client;

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
}

/* Reads until END has come.  Returns false if the connection ends before. */
static bool
read_until (int fd, const char *end, char *text)
{
  size_t length = 0;

  memset (text, 0, TEXT_BYTES);
  while (strstr (text, end) == NULL)
    {
      ssize_t received = read (fd, text + length, TEXT_BYTES - 1 - length);

      if (received <= 0)
        return false;
      length += (size_t) received;
    }
  return true;
}

static void *
serve_connection (void *data)
{
  int fd = GPOINTER_TO_INT (data);
  char text[TEXT_BYTES];

  for (int i = 0; i < ANSWERS_MAX && script[i] != NULL; i++)
    {
      g_auto (GStrv) parts = g_strsplit (script[i], "%s", -1);
      g_autofree char *echo = NULL;
      g_autofree char *answer = NULL;
      const char *at;

      if (!read_until (fd, "\r\n\r\n", text))
        break;
      g_atomic_int_inc (&requests);
      at = strstr (text, "Pomelolatch-Request: ") + strlen ("Pomelolatch-Request: ");
      echo = g_strndup (at, strcspn (at, "\r"));
      answer = g_strjoinv (echo, parts);
      send_text (fd, answer);
    }
  while (read (fd, text, sizeof text) > 0)
    continue;
  close (fd);
  return NULL;
}

static void *
serve (void *data)
{
  int fd;

  (void) data;
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      pthread_t thread;

      g_atomic_int_inc (&connections);
      pthread_create (&thread, NULL, serve_connection, GINT_TO_POINTER (fd));
      pthread_detach (thread);
    }
  return NULL;
}

static void *
execute (void *data)
{
  struct host *host = data;
  struct pl_effect *effect;

  while ((effect = g_async_queue_pop (host->effects))->type != PL_EFFECT_PROBE)
    {
      while (g_atomic_int_get (&host->held) > 0)
        g_usleep (1000);
      pl_entry_execute (host->entry, effect);
      g_free (effect);
    }
  g_free (effect);
  return NULL;
}

/* Replaces the reducer.  A failed attempt is refused. */
static void
on_event (void *data, const struct pl_event *event)
{
  struct host *host = data;
  struct pl_effect *effect = g_new0 (struct pl_effect, 1);

  if (event->type == PL_EVENT_REQUEST)
    {
      effect->type = host->decision;
      effect->request = event->u.request.request;
      effect->attempt = 1;
      effect->u.refuse.refusal = PL_REFUSAL_NO_SERVER;
    }
  if (event->type == PL_EVENT_REQUEST && effect->type != PL_EFFECT_REFUSE)
    {
      g_strlcpy (effect->u.send_request.address, host->target,
                 sizeof effect->u.send_request.address);
      g_strlcpy (effect->u.send_request.account, "shop", sizeof effect->u.send_request.account);
      effect->u.send_request.deadline_us = g_get_monotonic_time () + 5 * SECOND;
    }
  if (event->type == PL_EVENT_OUTCOME)
    {
      host->outcome[g_atomic_int_add (&host->outcomes, 1) % OUTCOMES_MAX]
          = event->u.outcome.outcome;
      effect->type = PL_EFFECT_REFUSE;
      effect->request = event->u.outcome.request;
      effect->u.refuse.refusal = PL_REFUSAL_ANSWER_LOST;
      effect->u.refuse.attempt_ran = effect->u.refuse.operation_ran = true;
    }
  if (event->type == PL_EVENT_CALLER_GONE)
    g_atomic_int_inc (&host->callers_gone);
  if (effect->request == 0
      || (event->type == PL_EVENT_OUTCOME && event->u.outcome.outcome == PL_OUTCOME_DONE))
    g_free (effect);
  else
    g_async_queue_push (host->effects, effect);
}

static void
set_free_address (char *address)
{
  uint16_t port;

  close (loopback_listen (&port));
  g_snprintf (address, PL_ADDRESS_CHARS, "127.0.0.1:%u", port);
}

static void
open_host (struct host *host, enum pl_effect_type decision, const char *target)
{
  struct pl_entry_options options = {
      .caller_address = host->callers,
      .forward_address = host->forwards,
      .body_max = BODY_MAX,
      .client = client,
      .post = on_event,
      .data = host,
  };

  memset (host, 0, sizeof *host);
  host->decision = decision;
  host->target = target;
  host->effects = g_async_queue_new ();
  set_free_address (host->callers);
  set_free_address (host->forwards);
  host->entry = pl_entry_new (&options);
  ck_assert_ptr_nonnull (host->entry);
  pthread_create (&host->executor, NULL, execute, host);
}

static void
close_host (struct host *host)
{
  struct pl_effect *end = g_new0 (struct pl_effect, 1);

  end->type = PL_EFFECT_PROBE;
  g_async_queue_push (host->effects, end);
  pthread_join (host->executor, NULL);
  pl_entry_free (host->entry);
  g_async_queue_unref (host->effects);
}

static void
start_server (const char *const *answers)
{
  uint16_t port;
  pthread_t thread;

  script = answers;
  g_atomic_int_set (&connections, 0);
  g_atomic_int_set (&requests, 0);
  listener = loopback_listen (&port);
  g_snprintf (server_address, sizeof server_address, "127.0.0.1:%u", port);
  pthread_create (&thread, NULL, serve, NULL);
  pthread_detach (thread);
  client = pl_http_client_new ("test");
}

/* Returns a caller's connection, with RECEIVE_BYTES of buffer if they are not 0. */
static int
connect_caller (const struct host *host, int receive_bytes)
{
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK)};
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  address.sin_port
      = htons ((uint16_t) g_ascii_strtoull (strchr (host->callers, ':') + 1, NULL, 10));
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

/* Sends a request and stores the answer in TEXT.  HALF_CLOSES: the caller sends nothing more on the
 * connection.  Returns the status. */
static int
request_with (const struct host *host, char *text, bool half_closes)
{
  size_t length = 0;
  ssize_t received;
  int fd = connect_caller (host, 0);

  memset (text, 0, TEXT_BYTES);
  send_text (fd, "GET /stock HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  if (half_closes)
    {
      g_usleep (SETTLE_US);
      shutdown (fd, SHUT_WR);
    }
  while ((received = read (fd, text + length, TEXT_BYTES - 1 - length)) > 0)
    length += (size_t) received;
  close (fd);
  return length > 0 ? atoi (text + strlen ("HTTP/1.1 ")) : 0;
}

static int
request (const struct host *host, char *text)
{
  return request_with (host, text, false);
}

static const char *const foreign_answers[] = {
    OK_WITH (""),
    OK_WITH ("Pomelolatch-Request: 999-1\r\n"),
    OK_WITH (ECHO "Pomelolatch-Request: 999-1\r\n"),
    SHED_WITH (""),
    SHED_WITH ("Pomelolatch-Request: 999-1\r\n"),
    "HTTP/1.1 103 Early Hints\r\nPomelolatch-Request: 999-1\r\n\r\n" OK_WITH (ECHO),
};

START_TEST (an_answer_that_does_not_echo_the_attempt_is_not_its_answer)
{
  const char *const answers[] = {OK_WITH (ECHO), foreign_answers[_i], OK_WITH (ECHO), NULL};
  char text[TEXT_BYTES];
  struct host host;

  start_server (answers);
  open_host (&host, PL_EFFECT_DISPATCH, server_address);
  ck_assert_int_eq (request (&host, text), 200);
  ck_assert_int_eq (request (&host, text), 502);
  ck_assert_int_eq (host.outcome[1], PL_OUTCOME_ANSWER_LOST);
  /* What follows on that connection may belong to any request. */
  ck_assert_int_eq (request (&host, text), 200);
  ck_assert_int_eq (g_atomic_int_get (&connections), 2);
  close_host (&host);
}
END_TEST

START_TEST (a_refusal_that_echoes_the_attempt_says_that_it_did_not_run)
{
  static const char *const answers[] = {SHED_WITH (ECHO), NULL};
  char text[TEXT_BYTES];
  struct host host;

  start_server (answers);
  open_host (&host, PL_EFFECT_DISPATCH, server_address);
  request (&host, text);
  ck_assert_int_eq (host.outcome[0], PL_OUTCOME_SHED);
  close_host (&host);
}
END_TEST

static const char *const marked_elsewhere[] = {
    "HTTP/1.1 103 Early Hints\r\nPomelolatch-Outcome: not-run\r\n\r\n"
    "HTTP/1.1 503 Service Unavailable\r\n" ECHO "Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 503 Service Unavailable\r\n" ECHO "Transfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\nPomelolatch-Outcome: not-run\r\nPomelolatch-Request: 999-1\r\n\r\n",
};

/* What an interim answer or a trailer says holds for no head. */
START_TEST (only_the_final_head_marks_the_answer)
{
  const char *const answers[] = {marked_elsewhere[_i], NULL};
  char text[TEXT_BYTES];
  struct host host;

  start_server (answers);
  open_host (&host, PL_EFFECT_DISPATCH, server_address);
  ck_assert_int_eq (request (&host, text), 503);
  ck_assert_int_eq (host.outcome[0], PL_OUTCOME_DONE);
  ck_assert_ptr_null (strstr (text, "Pomelolatch-Outcome"));
  close_host (&host);
}
END_TEST

/* These headers are this host's own statements. */
START_TEST (a_server_can_not_tell_the_caller_that_a_request_did_not_run)
{
  static const char *const answers[]
      = {OK_WITH (ECHO "Pomelolatch-Outcome: not-run\r\nPomelolatch-Attempt: not-run\r\n"), NULL};
  char text[TEXT_BYTES];
  struct host host;

  start_server (answers);
  open_host (&host, PL_EFFECT_DISPATCH, server_address);
  ck_assert_int_eq (request (&host, text), 200);
  ck_assert_ptr_null (strstr (text, "not-run"));
  close_host (&host);
}
END_TEST

START_TEST (a_peer_echoes_the_attempt)
{
  static const char *const answers[] = {OK_WITH (ECHO "Pomelolatch-Outcome: not-run\r\n"), NULL};
  char text[TEXT_BYTES];
  struct host host;
  struct host peer;

  start_server (answers);
  open_host (&peer, _i == 0 ? PL_EFFECT_DISPATCH : PL_EFFECT_REFUSE, server_address);
  open_host (&host, PL_EFFECT_FORWARD, peer.forwards);
  ck_assert_int_eq (request (&host, text), _i == 0 ? 200 : 502);
  ck_assert_int_eq (host.outcome[0], _i == 0 ? PL_OUTCOME_DONE : PL_OUTCOME_SHED);
  close_host (&host);
  close_host (&peer);
}
END_TEST

/* The attempt was decided on before the body turned out to be too large. */
START_TEST (a_request_that_was_refused_is_not_sent_afterwards)
{
  static const char *const answers[] = {OK_WITH (ECHO), NULL};
  g_autofree char *chunk = g_strnfill (BODY_MAX, 'x');
  g_autofree char *text
      = g_strdup_printf ("POST /photos HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "%x\r\n%s\r\n",
                         BODY_MAX, chunk);
  char answer[TEXT_BYTES];
  struct host host;
  int fd;

  start_server (answers);
  open_host (&host, PL_EFFECT_DISPATCH, server_address);
  g_atomic_int_set (&host.held, 1);
  fd = connect_caller (&host, 0);
  send_text (fd, text);
  g_usleep (SETTLE_US);
  send_text (fd, "2\r\nxx\r\n");
  g_usleep (SETTLE_US);
  g_atomic_int_set (&host.held, 0);
  g_usleep (SETTLE_US);
  send_text (fd, "0\r\n\r\n");
  ck_assert (read_until (fd, "}\n", answer));
  ck_assert (g_str_has_prefix (answer, "HTTP/1.1 413"));
  ck_assert_ptr_nonnull (strstr (answer, "Pomelolatch-Outcome: not-run"));
  ck_assert_int_eq (g_atomic_int_get (&requests), 0);
  ck_assert_int_eq (g_atomic_int_get (&host.callers_gone), 1);
  close (fd);
  close_host (&host);
}
END_TEST

/* It may have closed one direction of its connection only, and the request is at a server. */
START_TEST (a_caller_that_has_left_is_not_told_that_its_request_did_not_run)
{
  static const char *const answers[] = {"", NULL};
  char text[TEXT_BYTES];
  struct host host;

  start_server (answers);
  open_host (&host, PL_EFFECT_DISPATCH, server_address);
  ck_assert_int_eq (request_with (&host, text, true), 502);
  ck_assert_ptr_null (strstr (text, "not-run"));
  close_host (&host);
}
END_TEST

/* Guards against LOST: the request that a caller sent behind one whose answer ends the connection
 * made the kernel reset it, before the caller had read the answer.  The caller (0) or a stop of the
 * host (1) has asked for the end. */
START_TEST (an_answer_outlives_what_is_sent_behind_it)
{
  g_autofree char *body = g_strnfill (LARGE_BYTES, '.');
  g_autofree char *large = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n" ECHO "Content-Length: %d\r\n\r\n%s", "%s", LARGE_BYTES, body);
  const char *const answers[] = {large, NULL};
  size_t length = 0;
  ssize_t received;
  char text[TEXT_BYTES];
  struct host host;
  int fd;

  start_server (answers);
  open_host (&host, PL_EFFECT_DISPATCH, server_address);
  if (_i == 1)
    pl_entry_disable_keepalive (host.entry);
  fd = connect_caller (&host, TEXT_BYTES);
  send_text (fd, _i == 0 ? "GET /stock HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                         : "GET /stock HTTP/1.1\r\nHost: h\r\n\r\n");
  while (g_atomic_int_get (&host.outcomes) == 0)
    g_usleep (1000);
  g_usleep (SETTLE_US);
  send_text (fd, "GET /stock HTTP/1.1\r\nHost: h\r\n\r\n");
  g_usleep (SETTLE_US);
  while ((received = read (fd, text, sizeof text)) > 0)
    {
      length += (size_t) received;
      g_usleep (SETTLE_US / 20);
    }
  ck_assert_int_eq (received, 0);
  ck_assert_uint_gt (length, LARGE_BYTES);
  ck_assert_int_eq (g_atomic_int_get (&requests), 1);
  close (fd);
  pl_entry_finish_closing (host.entry);
  close_host (&host);
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "attempts");

  curl_global_init (CURL_GLOBAL_DEFAULT);
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, an_answer_that_does_not_echo_the_attempt_is_not_its_answer, 0,
                       G_N_ELEMENTS (foreign_answers));
  tcase_add_test (tcase, a_refusal_that_echoes_the_attempt_says_that_it_did_not_run);
  tcase_add_loop_test (tcase, only_the_final_head_marks_the_answer, 0,
                       G_N_ELEMENTS (marked_elsewhere));
  tcase_add_test (tcase, a_server_can_not_tell_the_caller_that_a_request_did_not_run);
  tcase_add_loop_test (tcase, a_peer_echoes_the_attempt, 0, 2);
  tcase_add_test (tcase, a_request_that_was_refused_is_not_sent_afterwards);
  tcase_add_test (tcase, a_caller_that_has_left_is_not_told_that_its_request_did_not_run);
  tcase_add_loop_test (tcase, an_answer_outlives_what_is_sent_behind_it, 0, 2);
  return suite_run (suite);
}
