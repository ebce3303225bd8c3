/* Asynchronous HTTP client: one libcurl multi handle, on a thread of its own or on a reactor.
 *
 * Commands (start, resume, cancel) are queued and run by that thread, since libcurl must not be
 * re-entered from its own callbacks.  Calls are reference-counted; the thread holds a reference
 * until done() has been called, and each queued command holds one, so that no command reaches a
 * freed call.
 *
 * libcurl silently resends a request when a kept-alive connection turns out to be closed.
 * CURLOPT_PREREQFUNCTION runs before each send; a call that must be sent at most once aborts there
 * the second time.
 *
 * libcurl 7.88 is less strict about answers than a caller that acts on them has to be.  It reuses a
 * connection on which bytes have arrived since the last answer, takes the end of a connection
 * within a head for the end of the answer, takes a malformed version for HTTP/1.0 with status 200,
 * and reads heads with malformed fields or several lengths.  Therefore a kept connection is checked
 * before each send, and each head is read by pl_answer_head_read() as well: handlers get that
 * result, and a call that it or libcurl refuses, or of which they read different statuses, does not
 * end as complete.
 *
 * A connection is reset when it is closed unless each of its exchanges ended with a complete
 * answer.  A partition may hold up a request that is given up; after an orderly close the kernel
 * would deliver it when the partition ends, to a server that may not be used any more.  The socket
 * is set so from the first byte of a request to the end of the answer, since the kernel closes the
 * connections of a process that is killed.
 */
#include "internal/http_client.h"
#include "internal/answer_head.h"
#include "internal/clock.h"
#include "internal/log.h"
#include "internal/net.h"
#include "internal/reactor.h"

#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_MS 1000L
#define CONNECTION_LIFETIME_S 60L
#define CONNECTION_IDLE_LIMIT_S 20L
#define IDLE_CONNECTIONS_MAX 1024L
#define POLL_MS 200
/* libcurl 7.88 may drop a timer that expires in the same millisecond as the limit that it stands
 * for, and then never ends the call unless something else happens on its connection. */
#define OVERDUE_CHECK_US INT64_C (100000)
#define OVERDUE_US INT64_C (50000)
/* TCP keep-alive probes detect an unresponsive connection within about three seconds. */
#define KEEPALIVE_IDLE_S 1L
#define KEEPALIVE_INTERVAL_S 1L
#define UNACKED_LIMIT_MS 2500
/* Two addresses with ports as text, also of IPv6. */
#define CONNECTION_ENDS_CHARS 112

enum command_type
{
  COMMAND_START,
  COMMAND_RESUME,
  COMMAND_CANCEL,
};

struct command
{
  enum command_type type;
  struct pl_http_call *call; /* one reference */
};

struct pl_http_call
{
  int references;
  struct pl_http_client *client;
  CURL *easy;
  struct curl_slist *headers;
  const struct pl_http_handler *handler;
  void *data;
  bool send_at_most_once;
  unsigned unacked_limit_ms;
  int64_t timeout_us;
  bool running; /* this and all below: used on the client's thread only */
  int64_t deadline_us;
  bool connection_opened;
  curl_socket_t opened_fd;  /* of the connection opened last, if connection_opened */
  bool connection_unusable; /* found before sending; the call is started again */
  bool send_started;
  int sent_fd;            /* of the connection that the request was sent on last; -1: none */
  bool sent_fd_is_closed; /* by libcurl; the descriptor stays open until the call ends */
  bool answer_started;
  struct pl_answer_head head;
  bool paused;
};

struct pl_http_client
{
  CURLM *multi;
  pthread_t thread;
  GMutex lock;
  GQueue commands;               /* of struct command */
  GHashTable *running;           /* of struct pl_http_call; used on the client's thread only */
  GHashTable *unacked_limits_ms; /* of connections, by their descriptors; as running */
  GHashTable *connections;       /* descriptors, by the addresses of both ends; as running */
  GHashTable *connection_ends;   /* the keys of connections, by descriptor; as running */
  GHashTable *exchanges;         /* struct pl_http_call by the descriptor on which its request was
                                    sent; NULL: it has ended without a complete answer; as running */
  bool stopping;
  struct pl_reactor *reactor; /* NULL: the client has a thread of its own */
  int timer;
  int overdue_timer;
  bool overdue_armed;
};

void
pl_http_call_unref (struct pl_http_call *call)
{
  if (call == NULL || !g_atomic_int_dec_and_test (&call->references))
    return;
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_free (call);
}

/* Logs that PART of what a server sends is not that of an answer. */
static void
log_malformed (const struct pl_http_call *call, const char *part)
{
  const char *address = NULL;
  long port = 0;

  curl_easy_getinfo (call->easy, CURLINFO_PRIMARY_IP, &address);
  curl_easy_getinfo (call->easy, CURLINFO_PRIMARY_PORT, &port);
  pl_log (PL_LOG_WARNING, "answer-malformed",
          json_pack ("{s:s?,s:i,s:s}", "address", address, "port", (int) port, "part", part));
}

static bool
read_head_line (struct pl_http_call *call, const char *line, size_t length)
{
  const struct pl_http_handler *handler = call->handler;
  bool had_head = call->head.state == PL_ANSWER_HEAD_FIELDS;
  struct pl_answer_field field = {0};
  bool accepted = true;

  switch (pl_answer_head_read (&call->head, line, length, &field))
    {
    case PL_ANSWER_LINE_MALFORMED:
      log_malformed (call, had_head ? "field" : "status-line");
      return false;
    case PL_ANSWER_LINE_STATUS:
      return handler->head_begun == NULL
             || handler->head_begun (call->data, call->head.status, length);
    case PL_ANSWER_LINE_FIELD:
      if (handler->field != NULL)
        accepted = handler->field (call->data, field.name, field.value);
      g_free (field.text);
      return accepted;
    case PL_ANSWER_LINE_END:
      return !had_head || handler->head_ended == NULL
             || handler->head_ended (call->data, &call->head);
    case PL_ANSWER_LINE_TRAILER:
      break;
    }
  return true;
}

static size_t
on_header (char *line, size_t size, size_t count, void *data)
{
  struct pl_http_call *call = data;

  call->answer_started = true;
  return read_head_line (call, line, size * count) ? size * count : 0;
}

static size_t
on_write (char *bytes, size_t size, size_t count, void *data)
{
  struct pl_http_call *call = data;
  size_t result = size * count;

  if (call->handler->write != NULL)
    result = call->handler->write (call->data, bytes, size * count);
  call->paused = call->paused || result == PL_HTTP_PAUSE;
  return result == PL_HTTP_PAUSE ? CURL_WRITEFUNC_PAUSE : result;
}

static size_t
on_read (char *bytes, size_t size, size_t count, void *data)
{
  struct pl_http_call *call = data;
  size_t result = 0;

  if (call->handler->read != NULL)
    result = call->handler->read (call->data, bytes, size * count);
  call->paused = call->paused || result == PL_HTTP_PAUSE;
  return result == PL_HTTP_PAUSE ? CURL_READFUNC_PAUSE : result;
}

static void
set_unacked_limit (const struct pl_http_call *call, curl_socket_t fd)
{
  g_hash_table_insert (call->client->unacked_limits_ms, GINT_TO_POINTER (fd),
                       GUINT_TO_POINTER (call->unacked_limit_ms));
  if (setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &call->unacked_limit_ms,
                  sizeof call->unacked_limit_ms)
      < 0)
    pl_log (PL_LOG_WARNING, "socket-option-refused", json_pack ("{s:i}", "errno", errno));
}

/* Returns the descriptor of a connection, or -1.  libcurl does not tell it before a call has ended.
 */
static int
find_connection (const struct pl_http_client *client, const char *ends)
{
  gpointer fd;

  return g_hash_table_lookup_extended (client->connections, ends, NULL, &fd) ? GPOINTER_TO_INT (fd)
                                                                             : -1;
}

static void
add_connection (struct pl_http_client *client, const char *ends, int fd)
{
  char *key = g_strdup (ends);

  g_hash_table_insert (client->connections, key, GINT_TO_POINTER (fd));
  g_hash_table_insert (client->connection_ends, GINT_TO_POINTER (fd), key);
}

static void
set_reset_on_close (int fd, bool reset)
{
  const struct linger linger = {.l_onoff = reset};

  if (setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger) < 0)
    pl_log (PL_LOG_WARNING, "socket-option-refused", json_pack ("{s:i}", "errno", errno));
}

/* Closes the connection that CALL sent its request on, if libcurl has closed it. */
static void
close_sent_fd (struct pl_http_call *call)
{
  if (call->sent_fd_is_closed)
    close (call->sent_fd);
  call->sent_fd_is_closed = false;
  call->sent_fd = -1;
}

/* Notes that the request of CALL is about to be sent on FD. */
static void
begin_exchange (struct pl_http_call *call, int fd)
{
  close_sent_fd (call); /* libcurl sends the request again */
  call->sent_fd = fd;
  g_hash_table_insert (call->client->exchanges, GINT_TO_POINTER (fd), call);
  set_reset_on_close (fd, true);
}

/* Notes that CALL has ended. */
static void
end_exchange (struct pl_http_call *call, bool complete)
{
  GHashTable *exchanges = call->client->exchanges;

  if (call->sent_fd < 0)
    return;
  if (complete)
    {
      set_reset_on_close (call->sent_fd, false);
      g_hash_table_remove (exchanges, GINT_TO_POINTER (call->sent_fd));
    }
  else if (!call->sent_fd_is_closed)
    g_hash_table_insert (exchanges, GINT_TO_POINTER (call->sent_fd), NULL);
  close_sent_fd (call);
}

static int
on_socket_closed (void *data, curl_socket_t fd)
{
  struct pl_http_client *client = data;
  const char *ends = g_hash_table_lookup (client->connection_ends, GINT_TO_POINTER (fd));
  struct pl_http_call *call = g_hash_table_lookup (client->exchanges, GINT_TO_POINTER (fd));

  g_hash_table_remove (client->connection_ends, GINT_TO_POINTER (fd));
  if (ends != NULL)
    g_hash_table_remove (client->connections, ends);
  g_hash_table_remove (client->exchanges, GINT_TO_POINTER (fd));
  if (call == NULL)
    return close (fd);
  /* libcurl may close a connection before it tells how the call has ended. */
  call->sent_fd_is_closed = true;
  return 0;
}

/* Called by libcurl when the connection is established and the request is about to be sent. */
static int
on_before_send (void *data, char *remote, char *local, int remote_port, int local_port)
{
  struct pl_http_call *call = data;
  char ends[CONNECTION_ENDS_CHARS];
  int fd;

  if (call->send_started && call->send_at_most_once)
    return CURL_PREREQFUNC_ABORT;
  g_snprintf (ends, sizeof ends, "%s:%d %s:%d", local, local_port, remote, remote_port);
  fd = find_connection (call->client, ends);
  if (fd < 0)
    {
      fd = call->opened_fd;
      add_connection (call->client, ends, fd);
    }
  /* What has arrived since the last answer is the connection's end, or bytes that would pass for
   * the answer to this request. */
  else if (!pl_net_is_idle (fd)
           || g_hash_table_contains (call->client->exchanges, GINT_TO_POINTER (fd)))
    {
      call->connection_unusable = true;
      return CURL_PREREQFUNC_ABORT;
    }
  begin_exchange (call, fd);
  call->send_started = true;
  call->head = (struct pl_answer_head){0};
  return CURL_PREREQFUNC_OK;
}

static int
on_socket_created (void *data, curl_socket_t fd, curlsocktype purpose)
{
  struct pl_http_call *call = data;

  (void) purpose;
  call->connection_opened = true;
  call->opened_fd = fd;
  set_unacked_limit (call, fd);
  return CURL_SOCKOPT_OK;
}

static curl_socket_t
refuse_socket (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
  (void) data;
  (void) purpose;
  (void) address;
  return CURL_SOCKET_BAD;
}

static void
finish_call (struct pl_http_call *call, CURLcode code)
{
  enum pl_http_end end = PL_HTTP_COMPLETE;
  long status = 0;

  call->running = false;
  curl_multi_remove_handle (call->client->multi, call->easy);
  g_hash_table_remove (call->client->running, call);
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK && call->head.status != status)
    log_malformed (call, "status");
  /* libcurl takes a connection that ends inside a head for the end of an answer. */
  if (code != CURLE_OK || !pl_answer_head_is_final (&call->head) || call->head.status != status)
    end = call->answer_started ? PL_HTTP_TRUNCATED
          : call->send_started ? PL_HTTP_NO_ANSWER
                               : PL_HTTP_NOT_SENT;
  end_exchange (call, end == PL_HTTP_COMPLETE);
  call->handler->done (call->data, end, call->head.status);
  pl_http_call_unref (call);
}

static void
arm_overdue_check (struct pl_http_client *client)
{
  if (client->reactor == NULL || client->overdue_armed)
    return;
  client->overdue_armed = true;
  pl_reactor_arm_timer (client->reactor, client->overdue_timer,
                        pl_clock_now_us () + OVERDUE_CHECK_US);
}

static void
run_command (struct pl_http_client *client, struct command *command)
{
  struct pl_http_call *call = command->call;

  switch (command->type)
    {
    case COMMAND_START:
      call->running = true;
      call->deadline_us = pl_clock_now_us () + call->timeout_us;
      arm_overdue_check (client);
      g_atomic_int_inc (&call->references);
      g_hash_table_add (client->running, call);
      curl_multi_add_handle (client->multi, call->easy);
      break;
    case COMMAND_RESUME:
      if (call->running && call->paused)
        {
          call->paused = false;
          curl_easy_pause (call->easy, CURLPAUSE_CONT);
        }
      break;
    case COMMAND_CANCEL:
      if (call->running)
        finish_call (call, CURLE_ABORTED_BY_CALLBACK);
      break;
    }
  pl_http_call_unref (call);
}

/* Returns false when the client is stopping. */
static bool
run_commands (struct pl_http_client *client)
{
  GQueue commands;
  struct command *command;
  bool stopping;

  g_mutex_lock (&client->lock);
  commands = client->commands;
  g_queue_init (&client->commands);
  stopping = client->stopping;
  g_mutex_unlock (&client->lock);
  while ((command = g_queue_pop_head (&commands)) != NULL)
    {
      run_command (client, command);
      g_free (command);
    }
  return !stopping;
}

static void
set_timeout (struct pl_http_call *call, int64_t timeout_us)
{
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, (long) MAX (timeout_us / 1000, INT64_C (1)));
}

/* Starts a call again that found its connection unusable before it sent anything there.  libcurl
 * has closed that connection. */
static void
restart_call (struct pl_http_call *call)
{
  call->connection_unusable = false;
  curl_multi_remove_handle (call->client->multi, call->easy);
  set_timeout (call, call->deadline_us - pl_clock_now_us ());
  curl_multi_add_handle (call->client->multi, call->easy);
}

static void
finish_completed_calls (struct pl_http_client *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      struct pl_http_call *call;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **) &call);
      if (call->connection_unusable)
        restart_call (call);
      else
        finish_call (call, message->data.result);
    }
}

static void *
client_thread (void *data)
{
  struct pl_http_client *client = data;
  GList *left;
  int running;

  while (run_commands (client))
    {
      curl_multi_perform (client->multi, &running);
      finish_completed_calls (client);
      curl_multi_poll (client->multi, NULL, 0, POLL_MS, NULL);
    }
  left = g_hash_table_get_keys (client->running);
  for (GList *at = left; at != NULL; at = at->next)
    finish_call (at->data, CURLE_ABORTED_BY_CALLBACK);
  g_list_free (left);
  return NULL;
}

static struct pl_http_client *
new_client (void)
{
  struct pl_http_client *client = g_new0 (struct pl_http_client, 1);

  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
  g_mutex_init (&client->lock);
  g_queue_init (&client->commands);
  client->running = g_hash_table_new (NULL, NULL);
  client->unacked_limits_ms = g_hash_table_new (NULL, NULL);
  client->connections = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  client->connection_ends = g_hash_table_new (NULL, NULL);
  client->exchanges = g_hash_table_new (NULL, NULL);
  return client;
}

static void
on_reactor_fd (void *data, int fd, uint32_t ready)
{
  struct pl_http_client *client = data;
  int mask = (ready & EPOLLIN ? CURL_CSELECT_IN : 0) | (ready & EPOLLOUT ? CURL_CSELECT_OUT : 0)
             | (ready & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
  int running;

  curl_multi_socket_action (client->multi, fd, mask, &running);
  finish_completed_calls (client);
}

static void
on_reactor_timer (void *data)
{
  struct pl_http_client *client = data;
  int running;

  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed_calls (client);
}

static void
end_overdue_calls (void *data)
{
  struct pl_http_client *client = data;
  int64_t now_us = pl_clock_now_us ();
  g_autoptr (GPtrArray) overdue = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer call;

  client->overdue_armed = false;
  g_hash_table_iter_init (&iter, client->running);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    if (now_us - ((const struct pl_http_call *) call)->deadline_us > OVERDUE_US)
      g_ptr_array_add (overdue, call);
  for (guint i = 0; i < overdue->len; i++)
    finish_call (g_ptr_array_index (overdue, i), CURLE_OPERATION_TIMEDOUT);
  if (g_hash_table_size (client->running) > 0)
    arm_overdue_check (client);
}

static int
on_socket_update (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  struct pl_http_client *client = data;
  struct pl_http_call *call = NULL;
  uint32_t mask = 0;

  (void) socket_data;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **) &call);
  /* A kept connection has the limit of an earlier call. */
  if (call != NULL && what != CURL_POLL_REMOVE
      && GPOINTER_TO_UINT (g_hash_table_lookup (client->unacked_limits_ms, GINT_TO_POINTER (fd)))
             != call->unacked_limit_ms)
    set_unacked_limit (call, fd);
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    mask |= EPOLLIN;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    mask |= EPOLLOUT;
  pl_reactor_watch (client->reactor, fd, mask, on_reactor_fd, client);
  return 0;
}

static int
on_timer_update (CURLM *multi, long timeout_ms, void *data)
{
  struct pl_http_client *client = data;

  (void) multi;
  pl_reactor_arm_timer (client->reactor, client->timer,
                        timeout_ms < 0 ? INT64_MAX
                                       : pl_clock_now_us () + timeout_ms * INT64_C (1000));
  return 0;
}

static void
run_commands_before_wait (void *data)
{
  struct pl_http_client *client = data;

  run_commands (client);
}

struct pl_http_client *
pl_http_client_new_on_reactor (struct pl_reactor *reactor)
{
  struct pl_http_client *client = new_client ();

  client->reactor = reactor;
  client->timer = pl_reactor_add_timer (reactor, on_reactor_timer, client);
  client->overdue_timer = pl_reactor_add_timer (reactor, end_overdue_calls, client);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_socket_update);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_timer_update);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  pl_reactor_add_wait_hook (reactor, run_commands_before_wait, client);
  return client;
}

struct pl_http_client *
pl_http_client_new (const char *name)
{
  struct pl_http_client *client = new_client ();

  pthread_create (&client->thread, NULL, client_thread, client);
  pthread_setname_np (client->thread, name);
  return client;
}

void
pl_http_client_free (struct pl_http_client *client)
{
  struct command *command;

  if (client == NULL)
    return;
  g_mutex_lock (&client->lock);
  client->stopping = true;
  g_mutex_unlock (&client->lock);
  if (client->reactor == NULL)
    {
      curl_multi_wakeup (client->multi);
      pthread_join (client->thread, NULL);
    }
  while ((command = g_queue_pop_head (&client->commands)) != NULL)
    {
      if (command->type == COMMAND_START)
        command->call->handler->done (command->call->data, PL_HTTP_NOT_SENT, 0);
      pl_http_call_unref (command->call);
      g_free (command);
    }
  g_hash_table_remove_all (client->exchanges); /* calls that still run do not end any more */
  curl_multi_cleanup (client->multi);
  g_hash_table_destroy (client->running);
  g_hash_table_destroy (client->unacked_limits_ms);
  g_hash_table_destroy (client->exchanges);
  g_hash_table_destroy (client->connection_ends);
  g_hash_table_destroy (client->connections);
  g_mutex_clear (&client->lock);
  g_free (client);
}

static void
send_command (struct pl_http_call *call, enum command_type type)
{
  struct pl_http_client *client = call->client;
  struct command *command = g_new0 (struct command, 1);

  command->type = type;
  command->call = call;
  g_atomic_int_inc (&call->references);
  g_mutex_lock (&client->lock);
  g_queue_push_tail (&client->commands, command);
  g_mutex_unlock (&client->lock);
  if (client->reactor != NULL)
    pl_reactor_skip_wait (client->reactor);
  else
    curl_multi_wakeup (client->multi);
}

void
pl_http_call_resume (struct pl_http_call *call)
{
  send_command (call, COMMAND_RESUME);
}

void
pl_http_call_cancel (struct pl_http_call *call)
{
  send_command (call, COMMAND_CANCEL);
}

bool
pl_http_call_opened_connection (const struct pl_http_call *call)
{
  return call->connection_opened;
}

static void
set_body (struct pl_http_call *call, const struct pl_http_call_options *options)
{
  if (options->body_length == 0 && strcmp (options->method, "GET") == 0)
    return;
  if (options->body_length == 0 && strcmp (options->method, "HEAD") == 0)
    {
      curl_easy_setopt (call->easy, CURLOPT_NOBODY, 1L);
      return;
    }
  curl_easy_setopt (call->easy, CURLOPT_UPLOAD, 1L);
  if (options->body_length >= 0)
    curl_easy_setopt (call->easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t) options->body_length);
}

struct pl_http_call *
pl_http_client_start (struct pl_http_client *client, const struct pl_http_call_options *options)
{
  struct pl_http_call *call = g_new0 (struct pl_http_call, 1);

  call->references = 1;
  call->client = client;
  call->sent_fd = -1;
  call->handler = options->handler;
  call->data = options->data;
  call->send_at_most_once = options->send_at_most_once;
  call->timeout_us = options->timeout_us;
  call->unacked_limit_ms = options->unacked_limit_us > 0
                               ? (unsigned) (options->unacked_limit_us / 1000)
                               : UNACKED_LIMIT_MS;
  call->easy = curl_easy_init ();
  call->headers = curl_slist_append (call->headers, "Expect:");
  for (const char *const *header = options->headers; header != NULL && *header != NULL; header++)
    call->headers = curl_slist_append (call->headers, *header);
  set_body (call, options);
  curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, options->method);
  curl_easy_setopt (call->easy, CURLOPT_URL, options->url);
  /* libcurl would remove dot segments and what follows a '#'. */
  if (options->target != NULL)
    curl_easy_setopt (call->easy, CURLOPT_REQUEST_TARGET, options->target);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (call->easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_write);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_READFUNCTION, on_read);
  curl_easy_setopt (call->easy, CURLOPT_READDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (call->easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (call->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  curl_easy_setopt (call->easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_closed);
  curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETDATA, client);
  curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS,
                    options->connect_timeout_us > 0 ? (long) (options->connect_timeout_us / 1000)
                                                    : CONNECT_TIMEOUT_MS);
  curl_easy_setopt (call->easy, CURLOPT_MAXLIFETIME_CONN, CONNECTION_LIFETIME_S);
  curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN,
                    options->idle_limit_s > 0 ? (long) options->idle_limit_s
                                              : CONNECTION_IDLE_LIMIT_S);
  set_timeout (call, call->timeout_us);
  if (options->only_kept_connection)
    curl_easy_setopt (call->easy, CURLOPT_OPENSOCKETFUNCTION, refuse_socket);
  if (options->fresh_connection)
    {
      curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
    }
  if (options->accept_gzip)
    curl_easy_setopt (call->easy, CURLOPT_ACCEPT_ENCODING, "gzip");
  send_command (call, COMMAND_START);
  return call;
}

struct fetch
{
  GString *answer;
  char *body;
  size_t body_length;
  size_t body_read;
  const char *answer_header;
  void (*on_answer_header) (void *data, const char *value);
  void (*on_bytes) (void *data, int64_t wire_bytes, int64_t bytes);
  int64_t wire_bytes;
  pl_http_fetch_function done;
  void *data;
};

/* Bytes of an answer of the store or a peer, decoded: many times the rows of a large fleet, and
 * little memory on a small host. */
#define FETCH_ANSWER_BYTES_MAX ((size_t) 16 << 20)

static bool
fetch_field (void *data, const char *name, const char *value)
{
  struct fetch *fetch = data;

  if (fetch->answer_header != NULL && g_ascii_strcasecmp (name, fetch->answer_header) == 0)
    fetch->on_answer_header (fetch->data, value);
  return true;
}

static bool
fetch_head_ended (void *data, const struct pl_answer_head *head)
{
  struct fetch *fetch = data;

  fetch->wire_bytes = head->has_length ? (int64_t) head->length : 0;
  return true;
}

static size_t
fetch_write (void *data, const char *bytes, size_t length)
{
  struct fetch *fetch = data;

  if (fetch->answer->len + length > FETCH_ANSWER_BYTES_MAX)
    return 0;
  g_string_append_len (fetch->answer, bytes, (gssize) length);
  if (fetch->on_bytes != NULL)
    fetch->on_bytes (fetch->data, fetch->wire_bytes, (int64_t) fetch->answer->len);
  return length;
}

static size_t
fetch_read (void *data, char *bytes, size_t length)
{
  struct fetch *fetch = data;
  size_t part = MIN (length, fetch->body_length - fetch->body_read);

  memcpy (bytes, fetch->body + fetch->body_read, part);
  fetch->body_read += part;
  return part;
}

static void
fetch_done (void *data, enum pl_http_end end, int status)
{
  struct fetch *fetch = data;

  fetch->done (fetch->data, end, status, fetch->answer->str);
  g_string_free (fetch->answer, TRUE);
  g_free (fetch->body);
  g_free (fetch);
}

static const struct pl_http_handler fetch_handler = {.field = fetch_field,
                                                     .head_ended = fetch_head_ended,
                                                     .write = fetch_write,
                                                     .read = fetch_read,
                                                     .done = fetch_done};

void
pl_http_client_fetch (struct pl_http_client *client, const struct pl_http_fetch *request)
{
  struct fetch *fetch = g_new0 (struct fetch, 1);
  const char *headers[] = {request->header, NULL};
  struct pl_http_call_options options = {
      .method = request->method,
      .url = request->url,
      .headers = headers,
      .timeout_us = request->timeout_us,
      .fresh_connection = request->fresh_connection,
      .accept_gzip = request->accept_gzip,
      .handler = &fetch_handler,
      .data = fetch,
  };

  fetch->answer = g_string_new (NULL);
  fetch->body = g_strdup (request->body != NULL ? request->body : "");
  fetch->body_length = strlen (fetch->body);
  fetch->answer_header = request->answer_header;
  fetch->on_answer_header = request->on_answer_header;
  fetch->on_bytes = request->on_bytes;
  fetch->done = request->done;
  fetch->data = request->data;
  options.body_length = (int64_t) fetch->body_length;
  pl_http_call_unref (pl_http_client_start (client, &options));
}
