/* Callers of the soak: look up an entry host in the directory, send requests over a kept-alive
 * connection and check the answers. */
#include "soak.h"
#include "internal/net.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

#define CALLER_TIMEOUT_MS 1500
#define CONNECT_TIMEOUT_MS 500
/* Longer, for a body whose head came in time. */
#define BODY_TIMEOUT_US SOAK_SECOND
#define REQUESTS_PER_LOOKUP 25
#define PAUSE_MEAN_US 40000
/* One in so many requests that must run once, without a limit, is an upload. */
#define UPLOAD_PERIOD 4
#define SLOW_PERIOD 10
#define SLOW_PACE_US (8 * SOAK_MS)
/* Of a caller, so that a slow one slows what sends to it. */
#define RECEIVE_BUFFER_BYTES 16384
/* One in so many requests has a lookup sent behind it before its answer is read. */
#define AHEAD_PERIOD 2
#define AHEAD_DELAY_MAX_US (400 * SOAK_MS)
/* One in so many requests is for a route with home regions. */
#define HOME_PERIOD 4

struct caller
{
  int number;
  int host_count;
  uint32_t random_state;
  bool is_unlimited;
  int host; /* number of the host in use, from 0 */
  int request_count;
  char id[40];
  struct soak_wire wire;
  int wire_host; /* to which it is connected */
};

/* A lookup that was sent behind another request. */
struct ahead
{
  char id[40];
  int64_t begun_us; /* 0: none was sent */
};

static int running;
static int staying;
static pthread_t threads[2 * SOAK_CALLERS_MAX];
static int thread_count;

void
soak_callers_stay (bool stay)
{
  g_atomic_int_set (&staying, stay);
}

static uint32_t
random_below (struct caller *caller, uint32_t bound)
{
  caller->random_state = caller->random_state * 1664525 + 1013904223;
  return (caller->random_state >> 8) % bound;
}

/* Closes the caller's connection unless it can carry another request. */
static void
check_kept_connection (struct caller *caller)
{
  char byte;
  ssize_t length = 0;

  if (caller->wire.fd < 0)
    return;
  if (caller->wire.input->len == 0)
    length = recv (caller->wire.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (caller->wire.input->len > 0 || length > 0)
    soak_ledger_report_violation ("MIXED: bytes follow the answer to %s on its connection",
                                  caller->id);
  if (caller->wire_host != caller->host || caller->wire.input->len > 0 || length >= 0)
    soak_wire_close (&caller->wire);
}

/* Returns whether the caller has a connection to its host; IS_NEW says whether that is a new one.
 */
static bool
connect_to_host (struct caller *caller, bool *is_new)
{
  struct timeval limit = {.tv_sec = 1, .tv_usec = 500000};
  const int receive_buffer = RECEIVE_BUFFER_BYTES;
  struct sockaddr_in address;
  int fd;

  check_kept_connection (caller);
  *is_new = caller->wire.fd < 0;
  if (!*is_new)
    return true;
  pl_net_parse (soak_address (NET_HOST_PROXIES, caller->host, 8206), &address);
  fd = pl_net_connect (&address, CONNECT_TIMEOUT_MS);
  if (fd < 0)
    return false;
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  soak_wire_open (&caller->wire, fd);
  caller->wire_host = caller->host;
  return true;
}

/* Returns the body of the directory's answer, or NULL. */
static char *
look_up (const char *directory, const char *path)
{
  g_autofree char *request = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);
  g_autoptr (GByteArray) body = g_byte_array_new ();
  int64_t until_us = soak_now_us () + CALLER_TIMEOUT_MS * SOAK_MS;
  struct soak_wire wire;
  struct sockaddr_in address;
  g_autofree char *head = NULL;
  int fd;
  bool ok;

  pl_net_parse (directory, &address);
  fd = pl_net_connect (&address, CONNECT_TIMEOUT_MS);
  if (fd < 0)
    return NULL;
  soak_wire_open (&wire, fd);
  ok = soak_wire_send (&wire, request, strlen (request))
       && soak_wire_read_head (&wire, until_us, &head) == READ_OK
       && soak_wire_read_body (&wire, head, true, until_us, body) == READ_OK;
  soak_wire_close (&wire);
  return ok ? g_strndup ((const char *) body->data, body->len) : NULL;
}

/* Picks a random one of the entry hosts that a random host's directory returns. */
static void
choose_host (struct caller *caller)
{
  const char *domain = soak_domain_of (caller->number);
  g_autofree char *path
      = g_strdup_printf ("/pomelolatch/resolve?Name=h&Region=%c&Zone=%s", domain[0], domain);
  g_autofree char *text = NULL;
  json_t *answer = NULL;
  const json_t *list;
  const char *address;

  if (g_atomic_int_get (&staying))
    return;
  text = look_up (
      soak_address (NET_HOSTS, (int) random_below (caller, (uint32_t) caller->host_count), 8209),
      path);
  if (text != NULL)
    answer = json_loads (text, 0, NULL);
  list = json_object_get (answer, "Addresses");
  if (json_array_size (list) > 0)
    {
      address = json_string_value (
          json_array_get (list, random_below (caller, (uint32_t) json_array_size (list))));
      if (address != NULL && soak_member_number (NET_HOSTS, address) >= 0)
        caller->host = soak_member_number (NET_HOSTS, address);
    }
  json_decref (answer);
}

/* Compares the body of a success with that of the server whose stamp it bears. */
static void
check_body (const struct caller *caller, const char *stamp, const GByteArray *body)
{
  g_autoptr (GByteArray) expected = soak_answer_body (caller->id, stamp);

  if (body->len != expected->len || memcmp (body->data, expected->data, body->len) != 0)
    soak_ledger_report_violation (
        "MIXED: %s got another body than that of %s, %u bytes instead of %u", caller->id, stamp,
        body->len, expected->len);
}

static void
check_answer (const struct caller *caller, const char *head, const GByteArray *body,
              int64_t begun_us)
{
  int status = (int) g_ascii_strtoll (head + strlen ("HTTP/1.1 "), NULL, 10);
  char echoed_id[40];
  char stamp[24];

  /* What exceeds an account's rate, or has a withdrawn key, is not owed an answer. */
  if (status != 429 && status != 401)
    soak_ledger_record_try (soak_host_is_cut (caller->host), status == 200, begun_us);
  soak_wire_get (head, "X-Server-Stamp", stamp, sizeof stamp);
  if (soak_wire_get (head, "X-Request-Id", echoed_id, sizeof echoed_id)
      && strcmp (echoed_id, caller->id) != 0)
    soak_ledger_report_violation ("MIXED: %s got the answer %d of %s", caller->id, status,
                                  echoed_id);
  if (status == 200 && stamp[0] != '\0')
    check_body (caller, stamp, body);
  soak_ledger_record_answer (caller->id, status, stamp);
}

/* Reads the final answer.  Returns NULL, or why there is none. */
static const char *
read_answer (struct caller *caller, int64_t until_us, char **head, GByteArray *body)
{
  static const char *const reasons[] = {"", "the connection was closed", "the connection was reset",
                                        "no answer in time", "bytes that are no answer"};
  enum soak_read result;

  for (;;)
    {
      result = soak_wire_read_head (&caller->wire, until_us, head);
      if (*head != NULL && !g_str_has_prefix (*head, "HTTP/1.1 "))
        result = READ_MALFORMED;
      if (result != READ_OK || !g_str_has_prefix (*head, "HTTP/1.1 1"))
        break;
      g_clear_pointer (head, g_free);
    }
  if (result == READ_OK)
    result = soak_wire_read_body (&caller->wire, *head, true, until_us + BODY_TIMEOUT_US, body);
  if (result == READ_MALFORMED)
    soak_ledger_report_violation ("MIXED: %s got bytes that are no answer", caller->id);
  return result == READ_OK ? NULL : reasons[result];
}

static GByteArray *
encode_request (struct caller *caller, const char *id, const char *key, const char *path,
                guint body_bytes)
{
  GByteArray *message = g_byte_array_new ();
  g_autoptr (GByteArray) body = soak_wire_make_body (id, body_bytes);
  bool is_chunked = body_bytes > 0 && random_below (caller, 2) == 0;
  g_autoptr (GString) head = g_string_new (NULL);

  g_string_append_printf (head, "%s %s%u HTTP/1.1\r\nHost: h\r\n", body_bytes > 0 ? "POST" : "GET",
                          path, random_below (caller, 50));
  g_string_append_printf (head, "X-Request-Id: %s\r\nAuthorization: Token %s\r\n", id, key);
  g_string_append_printf (head, "X-Deadline-Ms: %d\r\nCookie: X-Affinity-Key=%u\r\n",
                          CALLER_TIMEOUT_MS, random_below (caller, 50));
  if (is_chunked)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  else if (body_bytes > 0)
    g_string_append_printf (head, "Content-Length: %u\r\n", body_bytes);
  g_string_append (head, "\r\n");
  g_byte_array_append (message, (const guint8 *) head->str, (guint) head->len);
  if (is_chunked)
    soak_wire_append_chunks (message, body, 1 + random_below (caller, 20000));
  else
    g_byte_array_append (message, body->data, body->len);
  return message;
}

/* Reads the answer to the caller's request, which was sent at BEGUN_US. */
static void
receive_answer (struct caller *caller, bool is_new, bool is_sent, int64_t begun_us)
{
  /* The answer to a lookup sent ahead can be read when the one before it has been. */
  int64_t until_us
      = MAX (begun_us, soak_now_us () - AHEAD_DELAY_MAX_US) + CALLER_TIMEOUT_MS * SOAK_MS;
  g_autoptr (GByteArray) body = g_byte_array_new ();
  g_autofree char *head = NULL;
  const char *reason = "no connection";
  char value[16];

  if (caller->wire.fd >= 0)
    reason = read_answer (caller, until_us, &head, body);
  if (reason != NULL)
    {
      soak_wire_close (&caller->wire);
      soak_ledger_record_try (soak_host_is_cut (caller->host), false, begun_us);
      soak_ledger_record_no_answer (caller->id, is_new && is_sent, reason);
      choose_host (caller);
      return;
    }
  check_answer (caller, head, body, begun_us);
  /* A request that was not read to its end, and an answer that ends with its connection. */
  soak_wire_get (head, "Connection", value, sizeof value);
  if (!is_sent || g_ascii_strcasecmp (value, "close") == 0
      || (!soak_wire_get (head, "Content-Length", value, sizeof value)
          && !soak_wire_get (head, "Transfer-Encoding", value, sizeof value)))
    soak_wire_close (&caller->wire);
}

/* Sends a lookup behind the caller's request, at any time before it reads the answer to that. */
static void
send_ahead (struct caller *caller, const char *account, const char *key, struct ahead *ahead)
{
  g_autoptr (GByteArray) message = NULL;

  g_usleep (random_below (caller, AHEAD_DELAY_MAX_US));
  g_snprintf (ahead->id, sizeof ahead->id, "%.30s-ahead", caller->id);
  message = encode_request (caller, ahead->id, key, "/read/", 0);
  soak_ledger_record_sent (ahead->id, account, key, "/read/", caller->host);
  ahead->begun_us = soak_now_us ();
  soak_wire_send (&caller->wire, message->data, message->len);
  g_usleep (random_below (caller, AHEAD_DELAY_MAX_US) / 2);
}

/* Sends MESSAGE, with one in AHEAD_PERIOD a lookup behind it, and reads the answers.  What is sent
 * behind an answer that ends the connection has not been read. */
static void
exchange (struct caller *caller, const char *account, const char *key, const GByteArray *message)
{
  bool sends_ahead = random_below (caller, AHEAD_PERIOD) == 0;
  struct ahead ahead = {0};
  int64_t begun_us = soak_now_us ();
  bool is_new = false;
  bool is_sent = false;

  if (connect_to_host (caller, &is_new))
    {
      is_sent = soak_wire_send (&caller->wire, message->data, message->len);
      caller->wire.pace_us
          = sends_ahead || random_below (caller, SLOW_PERIOD) == 0 ? SLOW_PACE_US : 0;
      if (is_sent && sends_ahead)
        send_ahead (caller, account, key, &ahead);
    }
  receive_answer (caller, is_new, is_sent, begun_us);
  if (ahead.begun_us == 0)
    return;
  memcpy (caller->id, ahead.id, sizeof caller->id);
  if (caller->wire.fd >= 0)
    receive_answer (caller, false, true, ahead.begun_us);
  else
    soak_ledger_record_no_answer (ahead.id, false, "the connection ended before");
}

static void
send_request (struct caller *caller)
{
  static const char *const keys[] = {"key-shop-1", "key-desk-1", "key-shop-2"};
  uint32_t key_index = random_below (caller, G_N_ELEMENTS (keys));
  const char *account = key_index == 1 ? "desk" : "shop";
  const char *key = keys[key_index];
  bool at_most_once = random_below (caller, 2) == 0;
  const char *path = at_most_once ? "/write/" : "/read/";
  g_autoptr (GByteArray) message = NULL;
  guint body_bytes = 0;

  g_snprintf (caller->id, sizeof caller->id, "c%d-%d", caller->number, caller->request_count);
  if (caller->is_unlimited)
    {
      account = "bulk";
      key = "key-bulk-1";
    }
  if (at_most_once)
    body_bytes = soak_write_bytes (caller->id);
  if (at_most_once && caller->is_unlimited && random_below (caller, UPLOAD_PERIOD) == 0)
    {
      path = SOAK_UPLOAD_PREFIX;
      body_bytes = soak_upload_bytes (caller->id);
    }
  else if (soak_wire_hash (caller->id) % HOME_PERIOD == 0)
    path = at_most_once ? "/write" SOAK_HOME_PATH : "/read" SOAK_HOME_PATH;
  message = encode_request (caller, caller->id, key, path, body_bytes);
  soak_ledger_record_sent (caller->id, account, key, path, caller->host);
  exchange (caller, account, key, message);
}

static void *
run_caller (void *data)
{
  struct caller *caller = data;

  while (g_atomic_int_get (&running))
    {
      if (caller->request_count % REQUESTS_PER_LOOKUP == 0)
        choose_host (caller);
      caller->request_count++;
      send_request (caller);
      g_usleep (PAUSE_MEAN_US / 2 + random_below (caller, PAUSE_MEAN_US));
    }
  check_kept_connection (caller);
  soak_wire_close (&caller->wire);
  g_free (caller);
  return NULL;
}

void
soak_callers_start (int count, int unlimited, int hosts)
{
  g_atomic_int_set (&running, 1);
  thread_count = MIN (count + unlimited, (int) G_N_ELEMENTS (threads));
  for (int i = 0; i < thread_count; i++)
    {
      struct caller *caller = g_new0 (struct caller, 1);

      caller->number = i;
      caller->host_count = hosts;
      caller->host = i % hosts;
      caller->is_unlimited = i >= count;
      caller->wire.fd = -1;
      caller->random_state = (uint32_t) i + 1;
      pthread_create (&threads[i], NULL, run_caller, caller);
    }
}

void
soak_callers_stop (void)
{
  g_atomic_int_set (&running, 0);
  for (int i = 0; i < thread_count; i++)
    pthread_join (threads[i], NULL);
}
