/* Answers of which one byte of the head is wrong, read by the HTTP client from a server on the
 * loopback: each byte of each head, with several values.  Guards against a status that the server
 * did not send, above all one that says that the request did not run, and against two readers of
 * one answer. */
#include "internal/answer_head.h"
#include "internal/http_client.h"
#include "loopback.h"
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TIMEOUT_US INT64_C (5000000)
#define TEXT_BYTES 4096
#define BODY "0123456789abcdefghij"

static const int statuses[] = {200, 204, 404, 408, 421, 429, 500, 503};
static const char *const framings[] = {
    "Content-Length: 20\r\n\r\n" BODY,
    "Transfer-Encoding: chunked\r\n\r\n14\r\n" BODY "\r\n0\r\n\r\n",
    "\r\n" BODY,
    "Connection: close\r\nContent-Length: 20\r\n\r\n" BODY,
};
static const char *const methods[] = {"GET", "POST", "HEAD"};
static const char *const interim_heads[] = {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"};
/* Line ends, separators, controls, digits and letters. */
static const char spoilers[] = "\n\r\t \x01:/.,-059xX\xff";

#define ANSWERS                                                                                    \
  ((int) (G_N_ELEMENTS (statuses) * G_N_ELEMENTS (framings) * G_N_ELEMENTS (methods)               \
          * G_N_ELEMENTS (interim_heads)))

static int listener;
static char url[64];
static pthread_t server;
static struct pl_http_client *client;
static const char *answer; /* of the server, to the next request */
static size_t answer_length;

static GMutex lock;
static GCond call_ended;
static bool is_over;
static enum pl_http_end last_end;
static int last_status;   /* as the call ended */
static int head_status;   /* as the last head began */
static GString *received; /* body of the answer */

/* Answers one request a connection, and closes it. */
static void *
serve (void *data)
{
  char text[TEXT_BYTES];
  int fd;

  (void) data;
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      size_t length = 0;
      ssize_t part = 1;

      memset (text, 0, sizeof text);
      while (strstr (text, "\r\n\r\n") == NULL && part > 0)
        {
          part = read (fd, text + length, sizeof text - 1 - length);
          length += (size_t) MAX (part, 0);
        }
      send (fd, answer, answer_length, MSG_NOSIGNAL);
      shutdown (fd, SHUT_WR);
      while (read (fd, text, sizeof text) > 0)
        continue;
      close (fd);
    }
  return NULL;
}

static void
set_up (void)
{
  uint16_t port;

  listener = loopback_listen (&port);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/", port);
  pthread_create (&server, NULL, serve, NULL);
  client = pl_http_client_new ("test");
  received = g_string_new (NULL);
}

static void
tear_down (void)
{
  pl_http_client_free (client);
  shutdown (listener, SHUT_RDWR);
  pthread_join (server, NULL);
  close (listener);
  g_string_free (received, TRUE);
}

static bool
on_head_begun (void *data, int status, size_t length)
{
  (void) data;
  (void) length;
  head_status = status;
  return true;
}

static size_t
on_write (void *data, const char *bytes, size_t length)
{
  (void) data;
  g_string_append_len (received, bytes, (gssize) length);
  return length;
}

static void
on_done (void *data, enum pl_http_end end, int status)
{
  (void) data;
  g_mutex_lock (&lock);
  is_over = true;
  last_end = end;
  last_status = status;
  g_cond_signal (&call_ended);
  g_mutex_unlock (&lock);
}

static const struct pl_http_handler handler
    = {.head_begun = on_head_begun, .write = on_write, .done = on_done};

static void
call (const char *method, const char *text, size_t length)
{
  struct pl_http_call_options options = {
      .method = method,
      .url = url,
      .timeout_us = TIMEOUT_US,
      .send_at_most_once = true,
      .fresh_connection = true,
      .handler = &handler,
  };

  answer = text;
  answer_length = length;
  head_status = 0;
  g_string_truncate (received, 0);
  is_over = false;
  pl_http_call_unref (pl_http_client_start (client, &options));
  g_mutex_lock (&lock);
  while (!is_over)
    g_cond_wait (&call_ended, &lock);
  g_mutex_unlock (&lock);
}

/* Decodes the chunks in [TEXT, END) to BODY.  Returns whether they are whole. */
static bool
decode_chunks (const char *text, const char *end, GString *body)
{
  for (;;)
    {
      char *line_end;
      guint64 size = g_ascii_strtoull (text, &line_end, 16);

      if (line_end == text || end - line_end < 4 || memcmp (line_end, "\r\n", 2) != 0)
        return false;
      text = line_end + 2;
      if (size == 0)
        return true;
      if (size > (guint64) (end - text))
        return false;
      g_string_append_len (body, text, (gssize) size);
      text += size + 2;
    }
}

/* Returns the value of the field NAME in HEAD, or NULL. */
static char *
find_field (const char *head, const char *name)
{
  g_autofree char *pattern = g_strdup_printf ("\r\n%s:[ \t]*(.*?)[ \t]*(?=\r\n|$)", name);
  g_autoptr (GRegex) regex
      = g_regex_new (pattern, G_REGEX_RAW | G_REGEX_CASELESS | G_REGEX_DOTALL, 0, NULL);
  g_autoptr (GMatchInfo) match = NULL;

  return g_regex_match (regex, head, 0, &match) ? g_match_info_fetch (match, 1) : NULL;
}

/* Reads TEXT of LENGTH bytes, the answer to a request with METHOD, by the grammar of RFC 9112.
 * Returns its status; 0: it is none. */
static int
read_by_grammar (const char *text, size_t length, const char *method, GString *body)
{
  static const char pattern[] = "^HTTP/1\\.[01] ([1-5]\\d\\d) [\\t\\x20-\\x7e\\x80-\\xff]*"
                                "(\\r\\n[!#$%&'*+.^_`|~\\w-]+:[\\t\\x20-\\x7e\\x80-\\xff]*)*\\z";
  g_autoptr (GRegex) regex = g_regex_new (pattern, G_REGEX_RAW, 0, NULL);
  const char *end = text + length;
  g_autofree char *head = NULL;
  int status = 0;

  while (status < PL_STATUS_FINAL_MIN)
    {
      const char *head_end = memmem (text, (size_t) (end - text), "\r\n\r\n", 4);

      g_free (head);
      head = head_end != NULL ? g_strndup (text, (gsize) (head_end - text)) : NULL;
      if (head == NULL || !g_regex_match (regex, head, 0, NULL))
        return 0;
      status = atoi (head + strlen ("HTTP/1.1 "));
      text = head_end + 4;
    }
  if (strcmp (method, "HEAD") != 0 && status != 204)
    {
      g_autofree char *encoding = find_field (head, "Transfer-Encoding");
      g_autofree char *size = find_field (head, "Content-Length");
      size_t left = (size_t) (end - text);
      size_t wanted = size != NULL ? (size_t) atoi (size) : left;

      if (encoding != NULL)
        {
          /* A list may have empty elements. */
          const char *name = g_strdelimit (encoding, ",", ' ') + strspn (encoding, " \t");

          return strcmp (name, "chunked") == 0 && decode_chunks (text, end, body) ? status : 0;
        }
      if (size != NULL && (size[0] == '\0' || size[strspn (size, "0123456789")] != '\0'))
        return 0;
      if (wanted > left)
        return 0;
      g_string_append_len (body, text, (gssize) wanted);
    }
  return status;
}

START_TEST (a_spoiled_head_brings_nothing_that_was_not_sent)
{
  int left = _i;
  int status = statuses[left % (int) G_N_ELEMENTS (statuses)];
  const char *framing = framings[(left /= (int) G_N_ELEMENTS (statuses)) % 4];
  const char *method = methods[(left /= 4) % 3];
  const char *interim = interim_heads[left / 3];
  g_autofree char *sound = g_strdup_printf ("%sHTTP/1.1 %d Reason Phrase\r\nX-Request-Id: a\r\n%s",
                                            interim, status, framing);
  size_t length = strlen (sound);
  size_t head_length = (size_t) (strstr (sound + strlen (interim), "\r\n\r\n") + 4 - sound);

  call (method, sound, length);
  ck_assert_int_eq (last_end, PL_HTTP_COMPLETE);
  ck_assert_int_eq (last_status, status);
  for (size_t at = 0; at < head_length; at++)
    for (const char *spoiler = spoilers; *spoiler != '\0'; spoiler++)
      {
        g_autofree char *spoiled = g_strdup (sound);
        g_autoptr (GString) body = g_string_new (NULL);
        int sent;

        spoiled[at] = *spoiler;
        call (method, spoiled, length);
        if (last_end != PL_HTTP_COMPLETE)
          continue;
        sent = read_by_grammar (spoiled, length, method, body);
        ck_assert_msg (last_status == sent && head_status == sent, "%d for: %s", last_status,
                       spoiled);
        ck_assert_msg (g_string_equal (received, body), "'%s' for: %s", received->str, spoiled);
      }
}
END_TEST

int
main (void)
{
  Suite *suite;
  TCase *tcase = suite_new_case (&suite, "spoiled_answers");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, a_spoiled_head_brings_nothing_that_was_not_sent, 0, ANSWERS);
  return suite_run (suite);
}
