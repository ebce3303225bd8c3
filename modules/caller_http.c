/* The callers' port and the forward port, on libmicrohttpd.
 *
 * Request heads are validated here, not by the library: it would answer a malformed
 * head and close at once, and the TCP reset that the rest of the request then causes
 * can discard the answer before the caller has read it.  Here the rest is read and
 * discarded before the answer is sent.
 *
 * A request passes through three stages: its head is checked and the key removed
 * from it; its body is buffered if short or streamed if long; it is posted to the
 * reducer and its connection suspended until there is an answer.  libmicrohttpd
 * does not detect that the caller has closed a suspended connection, so a thread
 * polls the sockets of those connections.
 */
#include "internal/clock.h"
#include "internal/entry.h"
#include "internal/keys.h"
#include "internal/net.h"
#include "internal/snapshot.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#define CONNECTION_MEMORY ((size_t) 64 << 10)
#define CONNECTION_LIMIT 8192u
#define CONNECTION_TIMEOUT_S 120u
#define CALLER_THREADS 2u
#define ANSWER_BLOCK ((size_t) 64 << 10)
#define DEADLINE_DEFAULT_MS 60000
#define DEADLINE_MAX_MS 3600000
#define LOOKUP_PATH "/pomelolatch/lookup"
#define LOOKUP_TEXT_BYTES_MAX 2048
/* Longest body of a refused request that is read and discarded, bytes. */
#define DISCARDED_BODY_BYTES_MAX ((int64_t) 4 << 20)

struct port
{
  struct pl_entry *entry;
  bool forwarded; /* the port for requests from other entry hosts */
};

struct head
{
  struct pl_exchange *exchange;
  const char *key; /* as presented, or NULL */
  int key_count;
  int length_count;
  int host_count;
  bool chunked;
  bool is_malformed;
  const char *account; /* forwarded: set by the other entry host */
  const char *mac;     /* forwarded: see pl_entry_compute_forward_mac() */
  const char *deadline;
  const char *operation; /* the Idempotency-Key */
  uint64_t fingerprint;
  uint64_t suspected_server;
};

/* First pass over the headers: finds the key and checks the framing. */
static enum MHD_Result
scan_header (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  struct head *head = data;

  (void) kind;
  if (value == NULL)
    value = "";
  if (g_ascii_strcasecmp (name, "Authorization") == 0)
    {
      head->key_count++;
      if (g_ascii_strncasecmp (value, "Bearer ", 7) == 0)
        head->key = value + 7;
    }
  else if (g_ascii_strcasecmp (name, "X-Api-Key") == 0)
    {
      head->key_count++;
      head->key = value;
    }
  else if (g_ascii_strcasecmp (name, "Host") == 0)
    head->host_count++;
  else if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    {
      head->length_count++;
      head->is_malformed = head->is_malformed || value[0] == '\0'
                           || strspn (value, "0123456789") != strlen (value) || strlen (value) > 18;
      head->exchange->body_length = strtoll (value, NULL, 10);
    }
  else if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0)
    {
      head->is_malformed
          = head->is_malformed || head->chunked || g_ascii_strcasecmp (value, "chunked") != 0;
      head->chunked = true;
    }
  else if (g_ascii_strcasecmp (name, "Idempotency-Key") == 0)
    {
      head->is_malformed = head->is_malformed || head->operation != NULL;
      head->operation = value;
    }
  else if (g_ascii_strcasecmp (name, "Pomelolatch-Account") == 0)
    head->account = value;
  else if (g_ascii_strcasecmp (name, "Pomelolatch-Peer") == 0)
    head->mac = value;
  else if (g_ascii_strcasecmp (name, "Pomelolatch-Deadline-Ms") == 0)
    head->deadline = value;
  else if (g_ascii_strcasecmp (name, "Pomelolatch-Fingerprint") == 0)
    head->fingerprint = strtoull (value, NULL, 10);
  else if (g_ascii_strcasecmp (name, "Pomelolatch-Suspected") == 0)
    head->suspected_server = strtoull (value, NULL, 10);
  return MHD_YES;
}

/* Second pass, when the key is known: copies the headers that are forwarded. */
static enum MHD_Result
copy_header (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  struct head *head = data;

  (void) kind;
  if (value != NULL && pl_key_header_is_allowed (name, value, head->key))
    g_ptr_array_add (head->exchange->headers, g_strdup_printf ("%s: %s", name, value));
  return MHD_YES;
}

/* Refuses a request before it is posted to the reducer.  The request did not run; with an
 * Idempotency-Key the outcome is unknown, because claims are not looked up for it and an earlier
 * request with the same key may have run. */
static void
refuse_early (const struct head *head, int status, const char *reason)
{
  pl_entry_set_refusal (head->exchange, status, reason, head->operation != NULL, false, 0);
}

static bool
forward_is_authentic (struct pl_entry *entry, const struct pl_exchange *exchange,
                      const struct head *head)
{
  char mac[65];

  if (head->mac == NULL || head->account == NULL || head->deadline == NULL
      || strlen (head->mac) != sizeof mac - 1)
    return false;
  pl_entry_compute_forward_mac (entry, exchange->method, exchange->raw_target, head->account,
                                head->deadline, mac);
  return sodium_memcmp (mac, head->mac, sizeof mac) == 0;
}

static void
fill_event (struct pl_exchange *exchange, const struct head *head, bool forwarded)
{
  struct pl_request_event *event = &exchange->event;
  long deadline_ms = head->deadline != NULL ? atol (head->deadline) : DEADLINE_DEFAULT_MS;
  uint8_t hash[PL_KEY_HASH_BYTES];
  g_autofree char *fingerprint_input = NULL;

  event->request = exchange->id;
  event->forwarded = forwarded;
  event->body_available = true;
  event->has_key = !forwarded && head->key != NULL;
  if (event->has_key)
    pl_key_hash (head->key, strlen (head->key), event->key_hash);
  if (forwarded)
    g_strlcpy (event->account, head->account, sizeof event->account);
  g_strlcpy (event->path, exchange->target, sizeof event->path);
  event->path[strcspn (event->path, "?")] = '\0';
  event->deadline_us = pl_clock_now_us () + CLAMP (deadline_ms, 1, DEADLINE_MAX_MS) * 1000;
  event->body_bytes = MAX (exchange->body_length, 0);
  if (head->operation != NULL && head->operation[0] != '\0')
    {
      crypto_generichash (hash, sizeof hash, (const uint8_t *) head->operation,
                          strlen (head->operation), NULL, 0);
      sodium_bin2hex (event->operation, sizeof event->operation, hash, sizeof hash);
    }
  fingerprint_input = g_strjoin ("\n", exchange->method, exchange->target, event->operation, NULL);
  event->fingerprint = XXH3_64bits_withSeed (fingerprint_input, strlen (fingerprint_input),
                                             XXH3_64bits (event->key_hash, sizeof event->key_hash));
  if (forwarded)
    {
      event->fingerprint = head->fingerprint;
      event->suspected_server = head->suspected_server;
    }
}

/* Checks the head.  Sets a refusal and returns false when the request is not accepted. */
static bool
check_head (struct port *port, struct pl_exchange *exchange, struct MHD_Connection *connection,
            const char *method)
{
  struct head head = {.exchange = exchange};

  exchange->connection = connection;
  exchange->method = g_strdup (method);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, scan_header, &head);
  if (head.length_count > 1 || (head.length_count > 0 && head.chunked) || head.host_count != 1
      || head.is_malformed)
    {
      refuse_early (&head, 400, "malformed-framing-or-repeated-header");
      return false;
    }
  if (head.key_count > 1)
    {
      refuse_early (&head, 400, "more-than-one-key");
      return false;
    }
  if (head.chunked)
    exchange->body_length = -1;
  if (exchange->body_length > port->entry->options.body_max)
    {
      refuse_early (&head, 413, "body-too-large");
      return false;
    }
  if (port->forwarded && !forward_is_authentic (port->entry, exchange, &head))
    {
      refuse_early (&head, 403, "not-an-entry-host");
      return false;
    }
  if (exchange->raw_target[0] != '/' || strlen (exchange->raw_target) >= 8192)
    {
      refuse_early (&head, 400, "malformed-target");
      return false;
    }
  exchange->target = pl_key_strip_target (exchange->raw_target, head.key);
  if (exchange->target == NULL)
    {
      refuse_early (&head, 400, "key-in-target");
      return false;
    }
  MHD_get_connection_values (connection, MHD_HEADER_KIND, copy_header, &head);
  fill_event (exchange, &head, port->forwarded);
  exchange->streamed
      = exchange->body_length < 0 || exchange->body_length > (int64_t) PL_BODY_BUFFERED_BYTES_MAX;
  return true;
}

static void
submit (struct pl_entry *entry, struct pl_exchange *exchange)
{
  struct pl_event event = {.type = PL_EVENT_REQUEST};

  exchange->submitted = true;
  event.u.request = exchange->event;
  pl_entry_add (entry, exchange);
  entry->options.post (entry->options.data, &event);
}

static void
post_caller_gone (struct pl_entry *entry, uint64_t id)
{
  struct pl_event event = {.type = PL_EVENT_CALLER_GONE};

  event.u.progress.request = id;
  entry->options.post (entry->options.data, &event);
}

/* Receives a part of the body; returns the number of bytes consumed. */
static size_t
receive_body (struct pl_entry *entry, struct pl_exchange *exchange, const char *bytes,
              size_t length)
{
  size_t accepted = length;

  if (exchange->answer_started && !exchange->from_server)
    {
      exchange->body_received += (int64_t) length;
      return length; /* refused: the rest is read and discarded */
    }
  if (exchange->streamed)
    {
      size_t unread = pl_pipe_unread (&exchange->body);

      if (!exchange->submitted)
        submit (entry, exchange);
      accepted = MIN (length, PL_BODY_WINDOW - MIN (unread, PL_BODY_WINDOW));
    }
  exchange->body_received += (int64_t) accepted;
  if (exchange->body_received > entry->options.body_max)
    {
      exchange->body.ended = true;
      if (exchange->call != NULL)
        pl_http_call_cancel (exchange->call);
      pl_entry_set_refusal (exchange, 413, "body-too-large", exchange->attempt > 0,
                            exchange->attempt > 0, 0);
      if (exchange->submitted)
        post_caller_gone (entry, exchange->id);
      return length;
    }
  pl_pipe_append (&exchange->body, bytes, accepted);
  if (exchange->call != NULL)
    pl_http_call_resume (exchange->call);
  if (accepted == 0)
    pl_exchange_suspend (exchange);
  return accepted;
}

static ssize_t
read_answer (void *data, uint64_t position, char *bytes, size_t length)
{
  struct pl_exchange *exchange = data;
  ssize_t result;

  (void) position;
  g_mutex_lock (&exchange->lock);
  result = (ssize_t) pl_pipe_read (&exchange->answer, bytes, length, false);
  if (result > 0 && exchange->call != NULL)
    pl_http_call_resume (exchange->call);
  if (result == 0 && exchange->answer_truncated)
    result = MHD_CONTENT_READER_END_WITH_ERROR;
  else if (result == 0 && exchange->answer.ended)
    result = MHD_CONTENT_READER_END_OF_STREAM;
  else if (result == 0)
    pl_exchange_suspend (exchange);
  g_mutex_unlock (&exchange->lock);
  return result;
}

static void
release_exchange (void *data)
{
  pl_exchange_unref (data);
}

static bool
may_have_body (const struct pl_exchange *exchange)
{
  return strcmp (exchange->method, "HEAD") != 0 && exchange->status != 204
         && exchange->status != 304;
}

/* The other entry host takes an answer for its own only if it echoes the number that it sent. */
static void
add_echo (struct MHD_Connection *connection, struct MHD_Response *response)
{
  const char *echo
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, PL_ATTEMPT_ECHO_HEADER);

  if (echo != NULL)
    MHD_add_response_header (response, PL_ATTEMPT_ECHO_HEADER, echo);
}

static enum MHD_Result
queue_answer (const struct port *port, struct pl_exchange *exchange,
              struct MHD_Connection *connection)
{
  uint64_t size = MHD_SIZE_UNKNOWN;
  struct MHD_Response *response;
  enum MHD_Result result;

  if (exchange->answer.ended && !exchange->answer_truncated)
    size = pl_pipe_unread (&exchange->answer);
  else if (exchange->answer_length >= 0)
    size = (uint64_t) exchange->answer_length;
  if (may_have_body (exchange))
    response = MHD_create_response_from_callback (size, ANSWER_BLOCK, read_answer,
                                                  pl_exchange_ref (exchange), release_exchange);
  else
    response = MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  for (guint i = 0; i < exchange->answer_headers->len; i++)
    {
      const char *line = g_ptr_array_index (exchange->answer_headers, i);
      const char *colon = strchr (line, ':');
      g_autofree char *name = g_strndup (line, (gsize) (colon - line));

      MHD_add_response_header (response, name, colon + 1 + strspn (colon + 1, " "));
    }
  if (port->forwarded)
    add_echo (connection, response);
  if (ck_pr_load_32 (&port->entry->keepalive_disabled) != 0)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (connection, (unsigned) exchange->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_lookup (struct pl_entry *entry, struct MHD_Connection *connection)
{
  const char *client = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "client");
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  struct in_addr address = ((const struct sockaddr_in *) info->client_addr)->sin_addr;
  uint32_t salt = (uint32_t) ck_pr_faa_64 (&entry->next_id, 1);
  struct pl_lookup_answer answer = {0};
  const struct pl_lookup *lookup;
  GString *text = g_string_sized_new (LOOKUP_TEXT_BYTES_MAX);
  struct MHD_Response *response;
  enum MHD_Result result;
  unsigned status = MHD_HTTP_OK;

  if (client != NULL && inet_pton (AF_INET, client, &address) != 1)
    status = MHD_HTTP_BAD_REQUEST;
  lookup = pl_snapshot_begin ();
  if (lookup != NULL)
    pl_lookup_answer (lookup, ntohl (address.s_addr), salt, &answer);
  if (answer.count == 0 && status == MHD_HTTP_OK)
    status = MHD_HTTP_SERVICE_UNAVAILABLE;
  g_string_printf (text, "{\"ttl_ms\":%" G_GINT64_FORMAT ",\"hosts\":[",
                   lookup != NULL ? lookup->ttl_us / 1000 : 0);
  for (int i = 0; i < answer.count; i++)
    g_string_append_printf (text, "%s{\"name\":\"%s\",\"domain\":\"%s\",\"address\":\"%s\"}",
                            i > 0 ? "," : "", answer.names[i], answer.domains[i],
                            answer.addresses[i]);
  pl_snapshot_end ();
  g_string_append (text, "]}\n");
  response = MHD_create_response_from_buffer (text->len, text->str, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  g_string_free (text, TRUE);
  return result;
}

/* The body is complete: posts the request to the reducer if that is not yet done, or queues the
 * answer if there is one. */
static enum MHD_Result
on_body_complete (struct port *port, struct pl_exchange *exchange,
                  struct MHD_Connection *connection)
{
  exchange->body.ended = true;
  if (exchange->answer_started)
    return queue_answer (port, exchange, connection);
  if (exchange->call != NULL)
    pl_http_call_resume (exchange->call);
  /* Suspended before the reducer receives the request, so that a resume finds it suspended. */
  pl_exchange_suspend (exchange);
  if (!exchange->submitted)
    submit (port->entry, exchange);
  return MHD_YES;
}

/* libmicrohttpd closes a connection that is answered before its body was read, and the TCP reset
 * that the rest of the body then causes can discard the answer.  The body of a refused request is
 * therefore read and discarded first if it is at most DISCARDED_BODY_BYTES_MAX long.  A body that
 * the caller sends only after "100 Continue" is not waited for. */
static bool
should_discard_body (const struct pl_exchange *exchange, struct MHD_Connection *connection)
{
  return exchange->body_length <= DISCARDED_BODY_BYTES_MAX
         && MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Expect") == NULL;
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **context)
{
  struct port *port = data;
  struct pl_exchange *exchange = *context;
  enum MHD_Result result = MHD_YES;

  (void) version;
  g_mutex_lock (&exchange->lock);
  if (!exchange->head_checked)
    {
      exchange->head_checked = true;
      exchange->is_lookup = !port->forwarded && strcmp (url, LOOKUP_PATH) == 0;
      if (!exchange->is_lookup && !check_head (port, exchange, connection, method)
          && !should_discard_body (exchange, connection))
        result = queue_answer (port, exchange, connection);
    }
  else if (exchange->is_lookup && *upload_size > 0)
    *upload_size = 0;
  else if (exchange->is_lookup)
    result = answer_lookup (port->entry, connection);
  else if (*upload_size > 0)
    {
      *upload_size -= receive_body (port->entry, exchange, upload, *upload_size);
      if (exchange->body_received > 2 * port->entry->options.body_max)
        result = MHD_NO; /* a refused caller that sends an endless body */
    }
  else
    result = on_body_complete (port, exchange, connection);
  g_mutex_unlock (&exchange->lock);
  return result;
}

static void *
on_target (void *data, const char *target, struct MHD_Connection *connection)
{
  struct port *port = data;
  struct pl_exchange *exchange = pl_exchange_new (ck_pr_faa_64 (&port->entry->next_id, 1) + 1);

  (void) connection;
  exchange->raw_target = g_strdup (target);
  return exchange;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct port *port = data;
  struct pl_exchange *exchange = *context;
  struct pl_http_call *call = NULL;
  bool unanswered;

  (void) connection;
  (void) code;
  if (exchange == NULL)
    return;
  g_mutex_lock (&exchange->lock);
  exchange->caller_done = true;
  exchange->connection = NULL;
  exchange->suspended = false;
  exchange->body.ended = true;
  unanswered = exchange->submitted && !exchange->answer.ended;
  call = exchange->call;
  if (call != NULL)
    pl_http_call_resume (call);
  g_mutex_unlock (&exchange->lock);
  if (unanswered)
    post_caller_gone (port->entry, exchange->id);
  /* The reducer must still find the exchange to cancel an attempt that is in progress. */
  if (call == NULL)
    pl_entry_remove (port->entry, exchange->id);
  pl_exchange_unref (exchange);
  *context = NULL;
}

static bool
peer_has_closed (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  return pl_net_peer_has_closed (info->connect_fd);
}

/* Aborts the suspended requests whose callers have closed their connections.  on_completed() then
 * reports them to the reducer. */
void
pl_callers_abort_disconnected (struct pl_entry *entry)
{
  g_autoptr (GPtrArray) all = pl_entry_list (entry);

  for (guint i = 0; i < all->len; i++)
    {
      struct pl_exchange *exchange = g_ptr_array_index (all, i);
      bool gone = false;

      g_mutex_lock (&exchange->lock);
      if (exchange->suspended && exchange->connection != NULL && !exchange->caller_done)
        gone = peer_has_closed (exchange->connection);
      if (gone && !exchange->answer_started)
        {
          /* The connection must be resumed to be closed; a caller that has closed one direction
           * only receives the head. */
          pl_entry_set_refusal (exchange, exchange->attempt > 0 ? 502 : 503, "caller-gone",
                                exchange->attempt > 0, exchange->attempt > 0, 0);
          exchange->answer.ended = false;
          exchange->answer_truncated = true;
        }
      if (gone)
        pl_exchange_resume (exchange);
      g_mutex_unlock (&exchange->lock);
    }
}

/* libmicrohttpd closes a connection when this returns. */
static void
on_connection (void *data, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct port *port = data;

  (void) context;
  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    pl_entry_linger (
        port->entry,
        MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd);
}

struct MHD_Daemon *
pl_callers_start (struct pl_entry *entry, const char *address, bool forwarded)
{
  struct port *port = g_new0 (struct port, 1); /* freed only when the process ends */
  struct sockaddr_in listen_address;
  int fd;

  port->entry = entry;
  port->forwarded = forwarded;
  if (pl_net_parse (address, &listen_address) < 0)
    return NULL;
  fd = pl_net_listen (&listen_address);
  if (fd < 0)
    return NULL;
  return MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, port,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_THREAD_POOL_SIZE, CALLER_THREADS,
      MHD_OPTION_URI_LOG_CALLBACK, on_target, port, MHD_OPTION_NOTIFY_COMPLETED, on_completed, port,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, port, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      CONNECTION_MEMORY, MHD_OPTION_CONNECTION_LIMIT, CONNECTION_LIMIT,
      MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S, MHD_OPTION_STRICT_FOR_CLIENT, 0,
      MHD_OPTION_END);
}
