/* Stand-ins for the platform's store, backend servers and callers around entry hosts. */
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ROWS_MAX 256
#define SERVERS_MAX 64
#define HOSTS_MAX 16
#define STORE_PORT 8205
#define STORE_MEMBER 200 /* the store has an address for each host */
#define SERVER_PORT 8080
#define TEMPLATE "deploy/entry.yaml.in"
#define PROGRAM "target/pomelolatch-entry"
#define READY_LIMIT_MS 20000

/* One route, without keys: orders, which run once at most. */
static const char config[]
    = "{\"Version\":\"r7\",\"Resources\":["
      "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"r-order\"},\"Spec\":{"
      "\"Host\":\"orders.example\",\"Prefix\":\"/order/\",\"Kind\":\"non_idempotent\","
      "\"Timeout\":\"1500ms\",\"TargetLatency\":\"200ms\",\"Priority\":1,"
      "\"Service\":\"cutline\",\"Attempts\":2,\"Public\":true,\"Sticky\":true,"
      "\"HomeRegions\":[]}},"
      "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"cutline\"},\"Spec\":{"
      "\"HealthPath\":\"/health\",\"MaxConnections\":330,\"Protocol\":\"h1\",\"Tls\":false,"
      "\"ColdStart\":\"0s\",\"ColdPerS\":1000.0}},"
      "{\"ResourceKind\":\"Limits\",\"Metadata\":{},\"Spec\":{\"MaxHeaderBytes\":16384,"
      "\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}]}";

struct row
{
  char table[32];
  char key[128];
  char *value; /* NULL: removed */
  int64_t version;
};

struct host
{
  pid_t pid;
  char domain[32];
  char settings[256];
  char log[256];
  int status;
  bool ended;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct row rows[ROWS_MAX];
static int row_count;
static int64_t version;
static bool store_serves = true;
static bool store_hangs[HOSTS_MAX];
static int polls[HOSTS_MAX]; /* calls to the store that wait for changes; atomic */
static const char *zones = "\"north-a=north\",\"north-b=north\",\"south-a=south\"";
static struct rig_server servers[SERVERS_MAX];
static rig_handler handlers[SERVERS_MAX];
static int server_count;
static struct host hosts[HOSTS_MAX];
static int host_count;
static int block[2]; /* the middle numbers of all addresses */
static char folder[128];
static FILE *record;
static int64_t started_ms;
static int next_id;

int64_t
rig_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep_ms (int ms)
{
  struct timespec wait = {ms / 1000, (long) (ms % 1000) * 1000000};

  while (nanosleep (&wait, &wait) < 0 && errno == EINTR)
    continue;
}

bool
rig_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

void
rig_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&lock);
  fprintf (record, "%8.3f ", (double) (rig_now_ms () - started_ms) / 1000);
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&lock);
}

static void
give_up (const char *what)
{
  fprintf (stderr, "the case could not run: %s (%s)\n", what, strerror (errno));
  exit (rig_finish (RIG_NOT_RUN));
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = {.sin_family = AF_INET};
  char host[32] = "";
  const char *colon = strchr (text, ':');

  memcpy (host, text, (size_t) (colon - text));
  inet_pton (AF_INET, host, &address.sin_addr);
  address.sin_port = htons ((uint16_t) strtol (colon + 1, NULL, 10));
  return address;
}

static void
write_address (char *text, size_t room, int member, int port)
{
  snprintf (text, room, "127.%d.%d.%d:%d", block[0], block[1], member, port);
}

static int
listen_on (const char *text)
{
  struct sockaddr_in address = parse_address (text);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0 && listen (fd, 512) == 0)
    return fd;
  close (fd);
  return -1;
}

void
rig_send (int fd, const void *bytes, size_t length)
{
  const char *at = bytes;

  while (length > 0)
    {
      ssize_t sent = send (fd, at, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      at += sent;
      length -= (size_t) sent;
    }
}

void
rig_header (const char *head, const char *name, char *value, size_t room)
{
  size_t length = strlen (name);

  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line, "\r\n"))
    {
      const char *end;

      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      line += length + 1;
      line += strspn (line, " \t");
      end = strstr (line, "\r\n");
      snprintf (value, room, "%.*s", (int) (end != NULL ? end - line : 0), line);
      return;
    }
}

/* A connection with what has been read and not used yet. */
struct input
{
  int fd;
  int host; /* of the store's connections: for which it listens */
  char buffer[RIG_HEAD_MAX];
  size_t length;
};

/* Reads more.  Returns false at the end of the connection, or after LIMIT_MS. */
static bool
fill (struct input *input, int64_t until_ms)
{
  struct pollfd ready = {.fd = input->fd, .events = POLLIN};
  int64_t left_ms = until_ms - rig_now_ms ();
  ssize_t received;

  if (input->length + 1 >= sizeof input->buffer || left_ms <= 0
      || poll (&ready, 1, (int) left_ms) <= 0)
    return false;
  received = recv (input->fd, input->buffer + input->length,
                   sizeof input->buffer - 1 - input->length, 0);
  if (received <= 0)
    return false;
  input->length += (size_t) received;
  input->buffer[input->length] = '\0';
  return true;
}

static void
consume (struct input *input, size_t length)
{
  memmove (input->buffer, input->buffer + length, input->length - length);
  input->length -= length;
  input->buffer[input->length] = '\0';
}

/* Moves the next head to HEAD.  Returns false when the connection ends before. */
static bool
read_head (struct input *input, char *head, int64_t until_ms)
{
  const char *end;

  while ((end = strstr (input->buffer, "\r\n\r\n")) == NULL)
    if (!fill (input, until_ms))
      return false;
  memcpy (head, input->buffer, (size_t) (end - input->buffer) + 4);
  head[end - input->buffer + 4] = '\0';
  consume (input, (size_t) (end - input->buffer) + 4);
  return true;
}

/* Moves LENGTH bytes to BYTES, of which ROOM are kept. */
static bool
read_bytes (struct input *input, char *bytes, size_t room, size_t length, int64_t until_ms)
{
  size_t done = 0;

  while (done < length)
    {
      size_t part;

      if (input->length == 0 && !fill (input, until_ms))
        return false;
      part = input->length < length - done ? input->length : length - done;
      if (done < room)
        memcpy (bytes + done, input->buffer, part < room - done ? part : room - done);
      consume (input, part);
      done += part;
    }
  return true;
}

static size_t
content_length (const char *head)
{
  char value[32];

  rig_header (head, "Content-Length", value, sizeof value);
  return (size_t) strtoul (value, NULL, 10);
}

/* --- the store --- */

void
rig_store_serves (bool serves)
{
  pthread_mutex_lock (&lock);
  store_serves = serves;
  pthread_mutex_unlock (&lock);
}

void
rig_store_hangs (int host, bool hangs)
{
  pthread_mutex_lock (&lock);
  store_hangs[host] = hangs;
  pthread_mutex_unlock (&lock);
}

int
rig_store_polls (int host)
{
  return __atomic_load_n (&polls[host], __ATOMIC_SEQ_CST);
}

void
rig_set_zones (const char *list)
{
  zones = list;
}

static void
write_row (const char *table, const char *key, const char *value)
{
  struct row *row = NULL;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < row_count; i++)
    if (strcmp (rows[i].table, table) == 0 && strcmp (rows[i].key, key) == 0)
      row = &rows[i];
  if (row == NULL && row_count < ROWS_MAX)
    row = &rows[row_count++];
  if (row != NULL)
    {
      snprintf (row->table, sizeof row->table, "%s", table);
      snprintf (row->key, sizeof row->key, "%s", key);
      free (row->value);
      row->value = value != NULL ? strdup (value) : NULL;
      row->version = ++version;
    }
  pthread_mutex_unlock (&lock);
}

void
rig_put (const char *table, const char *key, const char *value)
{
  write_row (table, key, value);
}

void
rig_remove (const char *table, const char *key)
{
  write_row (table, key, NULL);
}

void
rig_put_config (void)
{
  rig_put ("op", "config", config);
}

static char *
encode_base64 (const char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (text);
  char *encoded = calloc (1, (length + 2) / 3 * 4 + 1);
  char *at = encoded;

  for (size_t i = 0; i < length; i += 3)
    {
      uint32_t bits = (uint32_t) (uint8_t) text[i] << 16;

      bits |= i + 1 < length ? (uint32_t) (uint8_t) text[i + 1] << 8 : 0;
      bits |= i + 2 < length ? (uint32_t) (uint8_t) text[i + 2] : 0;
      *at++ = digits[bits >> 18 & 63];
      *at++ = digits[bits >> 12 & 63];
      *at++ = i + 1 < length ? digits[bits >> 6 & 63] : '=';
      *at++ = i + 2 < length ? digits[bits & 63] : '=';
    }
  return encoded;
}

/* Returns the rows of TABLE written after AFTER as JSON; in a snapshot without the removed ones. */
static char *
list_rows (const char *table, int64_t after, bool is_snapshot, int *count)
{
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);

  *count = 0;
  fputs ("{\"Rows\":[", out);
  for (int64_t v = after + 1; v <= version; v++)
    for (int i = 0; i < row_count; i++)
      {
        const struct row *row = &rows[i];
        char *value;

        if (row->version != v || strcmp (row->table, table) != 0
            || (is_snapshot && row->value == NULL))
          continue;
        value = encode_base64 (row->value != NULL ? row->value : "");
        fprintf (out, "%s{\"Table\":\"%s\",\"part\":\"\",\"Key\":\"%s\",\"Ver\":%lld,",
                 (*count)++ > 0 ? "," : "", row->table, row->key, (long long) row->version);
        if (row->value != NULL)
          fprintf (out, "\"Value\":\"%s\"}", value);
        else
          fputs ("\"IsGone\":true}", out);
        free (value);
      }
  fprintf (out, "],\"HasMore\":false,\"Ver\":%lld,\"Now\":\"%lldms\"}", (long long) version,
           (long long) rig_now_ms ());
  fclose (out);
  return text;
}

static long long
query_number (const char *target, const char *name)
{
  char pattern[32];
  const char *at;

  snprintf (pattern, sizeof pattern, "%s=", name);
  at = strstr (target, pattern);
  return at != NULL ? strtoll (at + strlen (pattern), NULL, 10) : 0;
}

/* While the store hangs for HOST, waits until it does not.  Returns whether it has waited. */
static bool
wait_while_hanging (int host)
{
  bool has_waited = false;

  for (;;)
    {
      bool hangs;

      pthread_mutex_lock (&lock);
      hangs = store_hangs[host];
      pthread_mutex_unlock (&lock);
      if (!hangs)
        return has_waited;
      has_waited = true;
      rig_sleep_ms (20);
    }
}

/* Answers a call to the store; changes are waited for.  Returns false when the connection has to
 * end, since its answer is lost. */
static bool
answer_store_call (int host, int fd, const char *head)
{
  const char *table = strstr (head, "Table=servers") != NULL ? "servers" : "op";
  bool is_snapshot = strstr (head, "/rows-get") != NULL;
  int64_t after = is_snapshot ? 0 : query_number (head, "after");
  int64_t until_ms = rig_now_ms () + (is_snapshot ? 0 : query_number (head, "WaitMs"));
  char answer[256];
  char *text = NULL;
  int count = 0;
  bool serves;

  do
    {
      free (text);
      pthread_mutex_lock (&lock);
      serves = store_serves;
      text = list_rows (table, after, is_snapshot, &count);
      pthread_mutex_unlock (&lock);
      if (!serves || count > 0 || is_snapshot)
        break;
      rig_sleep_ms (5);
    }
  while (rig_now_ms () < until_ms && !wait_while_hanging (host));
  if (wait_while_hanging (host) || (!is_snapshot && rig_now_ms () > until_ms + 1000))
    {
      free (text);
      return false;
    }
  if (!serves)
    snprintf (text, 3, "{}");
  snprintf (answer, sizeof answer,
            "HTTP/1.1 %s\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
            "Content-Length: %zu\r\n\r\n",
            serves ? "200 OK" : "503 Service Unavailable", strlen (text));
  rig_send (fd, answer, strlen (answer));
  rig_send (fd, text, strlen (text));
  free (text);
  return true;
}

static void *
serve_store_connection (void *data)
{
  struct input *input = data;
  char *head = malloc (RIG_HEAD_MAX);
  bool goes_on = true;

  while (goes_on && read_head (input, head, rig_now_ms () + 120000))
    {
      bool is_poll = strstr (head, "/rows-feed") != NULL;

      __atomic_add_fetch (&polls[input->host], is_poll ? 1 : 0, __ATOMIC_SEQ_CST);
      goes_on = answer_store_call (input->host, input->fd, head);
      __atomic_sub_fetch (&polls[input->host], is_poll ? 1 : 0, __ATOMIC_SEQ_CST);
    }
  close (input->fd);
  free (head);
  free (input);
  return NULL;
}

/* Starts a thread for each connection. */
struct listener
{
  int fd;
  void *(*serve) (void *);
  struct rig_server *server; /* NULL: the store */
  int host;
};

struct server_connection
{
  struct input input;
  struct rig_server *server;
};

static void
start_thread (void *(*function) (void *), void *data)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, (size_t) 256 << 10);
  if (pthread_create (&thread, &attributes, function, data) != 0)
    give_up ("no thread");
  pthread_attr_destroy (&attributes);
}

static void *
accept_connections (void *data)
{
  struct listener *listener = data;
  int on = 1;

  for (;;)
    {
      int fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0 && listener->server != NULL && listener->server->ended)
        break;
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      if (listener->server == NULL)
        {
          struct input *input = calloc (1, sizeof *input);

          input->fd = fd;
          input->host = listener->host;
          start_thread (listener->serve, input);
        }
      else
        {
          struct server_connection *connection = calloc (1, sizeof *connection);

          connection->input.fd = fd;
          connection->server = listener->server;
          start_thread (listener->serve, connection);
        }
    }
  close (listener->fd);
  return NULL;
}

static void
start_listener (const char *address, void *(*serve) (void *), struct rig_server *server, int host)
{
  struct listener *listener = calloc (1, sizeof *listener);

  listener->fd = listen_on (address);
  listener->serve = serve;
  listener->server = server;
  listener->host = host;
  if (listener->fd < 0)
    give_up (address);
  if (server != NULL)
    server->listening_fd = listener->fd;
  start_thread (accept_connections, listener);
}

/* --- backend servers --- */

void
rig_reply (struct rig_exchange *exchange, const char *status, const char *headers, const char *body)
{
  char *answer = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&answer, &length);

  fprintf (out,
           "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\n%sContent-Length: %zu\r\n\r\n"
           "%s",
           status, exchange->id, exchange->server->id, headers, strlen (body), body);
  fclose (out);
  rig_send (exchange->fd, answer, length);
  free (answer);
}

/* Replaces FROM by TO among the connections of SERVER. */
static void
set_connection (struct rig_server *server, int from, int to)
{
  pthread_mutex_lock (&lock);
  for (int i = 0; i < RIG_CONNECTIONS_MAX; i++)
    if (server->connections[i] == from)
      {
        server->connections[i] = to;
        break;
      }
  pthread_mutex_unlock (&lock);
}

void
rig_end_server (struct rig_server *server)
{
  pthread_mutex_lock (&lock);
  server->ended = true;
  shutdown (server->listening_fd, SHUT_RDWR);
  for (int i = 0; i < RIG_CONNECTIONS_MAX; i++)
    if (server->connections[i] > 0)
      shutdown (server->connections[i], SHUT_RDWR);
  pthread_mutex_unlock (&lock);
}

static bool
read_exchange (struct server_connection *connection, struct rig_exchange *exchange)
{
  int64_t until_ms = rig_now_ms () + 120000;

  exchange->server = connection->server;
  exchange->fd = connection->input.fd;
  if (!read_head (&connection->input, exchange->head, until_ms)
      || sscanf (exchange->head, "%15s %8191s", exchange->method, exchange->target) != 2)
    return false;
  rig_header (exchange->head, "X-Request-Id", exchange->id, sizeof exchange->id);
  rig_header (exchange->head, "X-Expect-Instance", exchange->expected, sizeof exchange->expected);
  exchange->body_length = content_length (exchange->head);
  if (exchange->body_length > RIG_BODY_MAX)
    return false;
  exchange->body = malloc (exchange->body_length + 1);
  return read_bytes (&connection->input, (char *) exchange->body, exchange->body_length,
                     exchange->body_length, until_ms);
}

static void
answer_health (struct rig_exchange *exchange)
{
  char answer[256];

  snprintf (answer, sizeof answer,
            "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
            exchange->server->id);
  rig_send (exchange->fd, answer, strlen (answer));
}

static void *
serve_server_connection (void *data)
{
  struct server_connection *connection = data;
  struct rig_server *server = connection->server;
  int served = 0;
  bool goes_on = !server->ended;

  set_connection (server, 0, connection->input.fd);

  while (goes_on)
    {
      struct rig_exchange *exchange = calloc (1, sizeof *exchange);

      goes_on = read_exchange (connection, exchange);
      exchange->on_connection = ++served;
      if (goes_on && strcmp (exchange->target, "/health") == 0)
        answer_health (exchange);
      else if (goes_on && exchange->expected[0] != '\0'
               && strcmp (exchange->expected, server->id) != 0)
        rig_reply (exchange, "421 Misdirected Request", "X-Not-Executed: 1\r\n", "");
      else if (goes_on)
        {
          __atomic_add_fetch (&server->running, 1, __ATOMIC_SEQ_CST);
          handlers[server->number](exchange);
          __atomic_sub_fetch (&server->running, 1, __ATOMIC_SEQ_CST);
        }
      goes_on = goes_on && !exchange->close && !server->ended;
      free (exchange->body);
      free (exchange);
    }
  set_connection (server, connection->input.fd, 0);
  close (connection->input.fd);
  free (connection);
  return NULL;
}

void
rig_list_server (struct rig_server *server, const char *state)
{
  char text[512];

  snprintf (text, sizeof text,
            "{\"Address\":\"%s\",\"born\":%lld,\"Info\":{\"Service\":\"%s\",\"Version\":\"v1\","
            "\"Zone\":\"%s\",\"Slots\":2},\"Status\":{\"State\":\"%s\",\"Sequence\":%d,"
            "\"ColdRemaining\":\"0ms\"}}",
            server->address, (long long) server->born_ms, server->service, server->domain, state,
            ++server->sequence);
  rig_put ("servers", server->id, text);
}

struct rig_server *
rig_start_server (const char *service, const char *domain, rig_handler handler)
{
  struct rig_server *server = &servers[server_count];
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  server->number = server_count;
  server->service = service;
  server->domain = domain;
  server->born_ms = (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
  handlers[server_count] = handler;
  snprintf (server->id, sizeof server->id, "i-%04x", 0x7f30 + server_count);
  write_address (server->address, sizeof server->address, 50 + server_count, SERVER_PORT);
  server_count++;
  start_listener (server->address, serve_server_connection, server, 0);
  rig_list_server (server, "ready");
  return server;
}

/* --- entry hosts --- */

/* Returns the value of the placeholder NAME of the template for HOST. */
static void
fill_placeholder (int host, const char *name, char *value, size_t room)
{
  static const struct
  {
    const char *name;
    const char *value;
  } fixed[] = {{"Bounds.Grace", "6s"},       {"Bounds.RetryBudgetRatio", "0.2"},
               {"Bounds.BudgetSlack", "56"}, {"Limits.CpuShare", "0.2"},
               {"Limits.LinkMbps", "1000"},  {"Limits.MemoryMb", "260"}};
  static const struct
  {
    const char *name;
    int port;
  } ports[] = {
      {"Listen.Front", 8206},
      {"Listen.Ready", 8201},
      {"Listen.Directory", 8209},
  };

  value[0] = '\0';
  for (size_t i = 0; i < sizeof fixed / sizeof fixed[0]; i++)
    if (strcmp (name, fixed[i].name) == 0)
      snprintf (value, room, "%s", fixed[i].value);
  for (size_t i = 0; i < sizeof ports / sizeof ports[0]; i++)
    if (strcmp (name, ports[i].name) == 0)
      write_address (value, room, 10 + host, ports[i].port);
  if (strcmp (name, "Node") == 0)
    snprintf (value, room, "edge-%s-%d", hosts[host].domain, host);
  else if (strcmp (name, "Zone") == 0)
    snprintf (value, room, "%s", hosts[host].domain);
  else if (strcmp (name, "Platform.Address") == 0)
    write_address (value, room, STORE_MEMBER + host, STORE_PORT);
  else if (strcmp (name, "Ip") == 0)
    snprintf (value, room, "127.%d.%d.%d", block[0], block[1], 10 + host);
  else if (strcmp (name, "InternalPorts.0") == 0)
    snprintf (value, room, "7600");
  else if (strcmp (name, "InternalPorts.1") == 0)
    snprintf (value, room, "7615");
}

/* Fills in one line of the template; the two lines with sections are known. */
static void
fill_line (FILE *out, int host, const char *line)
{
  const char *open;

  if (strncmp (line, "domains:", 8) == 0)
    {
      fprintf (out, "domains: [%s]\n", zones);
      return;
    }
  if (strncmp (line, "seeds:", 6) == 0)
    {
      fprintf (out, "seeds: [\"127.%d.%d.10:8200\",\"127.%d.%d.11:8200\"]\n", block[0], block[1],
               block[0], block[1]);
      return;
    }
  while ((open = strstr (line, "{{")) != NULL)
    {
      const char *end = strstr (open, "}}");
      char name[64];
      char value[64];

      snprintf (name, sizeof name, "%.*s", (int) (end - open - 2), open + 2);
      fill_placeholder (host, name, value, sizeof value);
      fprintf (out, "%.*s%s", (int) (open - line), line, value);
      line = end + 2;
    }
  fputs (line, out);
}

static void
write_settings (int host)
{
  FILE *in = fopen (TEMPLATE, "r");
  FILE *out = fopen (hosts[host].settings, "w");
  char line[512];

  if (in == NULL || out == NULL)
    give_up (TEMPLATE);
  while (fgets (line, sizeof line, in) != NULL)
    fill_line (out, host, line);
  fclose (in);
  fclose (out);
}

static void
spawn_host (struct host *host)
{
  host->ended = false;
  host->pid = fork ();
  if (host->pid < 0)
    give_up ("no process");
  if (host->pid == 0)
    {
      int fd = open (host->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (PROGRAM, PROGRAM, "--settings", host->settings, (char *) NULL);
      _exit (127);
    }
}

static bool
is_ready (int host)
{
  static const char request[] = "GET /pomelolatch/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
  static struct rig_answer answer;
  char address[32];
  int fd;

  write_address (address, sizeof address, 10 + host, 8201);
  fd = rig_connect_to (address);
  if (fd < 0)
    return false;
  rig_send (fd, request, strlen (request));
  rig_read_answer (fd, 1000, &answer);
  close (fd);
  return answer.status == 200;
}

int
rig_start_host (const char *domain)
{
  int number = host_count++;
  struct host *host = &hosts[number];
  int64_t until_ms = rig_now_ms () + READY_LIMIT_MS;

  snprintf (host->domain, sizeof host->domain, "%s", domain);
  snprintf (host->settings, sizeof host->settings, "%s/host-%d.yaml", folder, number);
  snprintf (host->log, sizeof host->log, "%s/host-%d.log", folder, number);
  write_settings (number);
  spawn_host (host);
  while (!is_ready (number))
    {
      if (rig_now_ms () > until_ms)
        give_up ("an entry host is not ready");
      rig_sleep_ms (50);
    }
  rig_record ("host %d of %s is ready", number, domain);
  return number;
}

pid_t
rig_host_pid (int host)
{
  return hosts[host].pid;
}

const char *
rig_host_log (int host)
{
  return hosts[host].log;
}

bool
rig_host_has_ended (int host, int *status)
{
  struct host *entry = &hosts[host];

  if (!entry->ended && entry->pid > 0 && waitpid (entry->pid, &entry->status, WNOHANG) > 0)
    entry->ended = true;
  *status = entry->status;
  return entry->ended;
}

void
rig_stop_host (int host, int signal)
{
  int status;

  if (hosts[host].pid > 0 && !rig_host_has_ended (host, &status))
    kill (hosts[host].pid, signal);
}

static void
remove_files (void)
{
  char path[256];

  if (getenv ("KEEP") != NULL)
    {
      printf ("logs are kept in %s\n", folder);
      return;
    }
  for (int i = 0; i < host_count; i++)
    {
      unlink (hosts[i].settings);
      unlink (hosts[i].log);
    }
  snprintf (path, sizeof path, "%s", folder);
  rmdir (path);
}

int
rig_finish (enum rig_result result)
{
  for (int i = 0; i < host_count; i++)
    {
      int status;

      if (hosts[i].pid <= 0 || rig_host_has_ended (i, &status))
        continue;
      kill (hosts[i].pid, SIGKILL);
      waitpid (hosts[i].pid, &status, 0);
    }
  remove_files ();
  printf ("%s\n", result == RIG_HELD     ? "the rule held"
                  : result == RIG_BROKEN ? "the rule was broken"
                                         : "the case did not run");
  return result;
}

/* Chooses a block of addresses in which the first host's and the store's ports are free. */
static bool
choose_block (void)
{
  for (int i = 0; i < 50; i++)
    {
      int seed = (int) getpid () + i * 7919;
      char address[32];
      int fd;

      block[0] = 60 + seed % 100;
      block[1] = 1 + seed / 100 % 250;
      write_address (address, sizeof address, STORE_MEMBER, STORE_PORT);
      fd = listen_on (address);
      if (fd < 0)
        continue;
      close (fd);
      return true;
    }
  return false;
}

void
rig_init (int argc, char **argv)
{
  const char *temporary = getenv ("TMPDIR");
  char path[512];
  char address[32];

  started_ms = rig_now_ms ();
  signal (SIGPIPE, SIG_IGN);
  snprintf (path, sizeof path, "%s/record.txt", argc > 1 ? argv[1] : ".");
  record = fopen (path, "w");
  snprintf (folder, sizeof folder, "%s/review-XXXXXX", temporary != NULL ? temporary : "/tmp");
  if (record == NULL || mkdtemp (folder) == NULL || !choose_block ())
    {
      fprintf (stderr, "the case could not run: %s\n", strerror (errno));
      exit (RIG_NOT_RUN);
    }
  for (int i = 0; i < HOSTS_MAX; i++)
    {
      write_address (address, sizeof address, STORE_MEMBER + i, STORE_PORT);
      start_listener (address, serve_store_connection, NULL, i);
    }
}

/* --- callers --- */

int
rig_connect_to (const char *where)
{
  struct sockaddr_in address = parse_address (where);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (connect (fd, (struct sockaddr *) &address, sizeof address) < 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

int
rig_connect (int host)
{
  char address[32];

  write_address (address, sizeof address, 10 + host, 8206);
  return rig_connect_to (address);
}

void
rig_read_answer (int fd, int limit_ms, struct rig_answer *answer)
{
  struct input *input = calloc (1, sizeof *input);
  int64_t until_ms = rig_now_ms () + limit_ms;

  memset (answer, 0, sizeof *answer);
  input->fd = fd;
  if (read_head (input, answer->head, until_ms)
      && sscanf (answer->head, "HTTP/1.%*c %d", &answer->status) == 1)
    {
      answer->body_length = content_length (answer->head);
      answer->complete = read_bytes (input, answer->body, sizeof answer->body - 1,
                                     answer->body_length, until_ms);
    }
  free (input);
}

bool
rig_request (int fd, const char *method, const char *host, const char *target, const char *headers,
             const void *body, size_t body_length, int deadline_ms, char *id)
{
  char *text = NULL;
  size_t length = 0;
  FILE *out = open_memstream (&text, &length);
  int number = __atomic_add_fetch (&next_id, 1, __ATOMIC_SEQ_CST);
  bool is_sent;

  snprintf (id, RIG_ID_MAX, "%08x%08x", (unsigned) getpid (), (unsigned) number);
  fprintf (out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s", method,
           target, host, id, deadline_ms, headers);
  if (body_length > 0)
    fprintf (out, "Content-Length: %zu\r\n", body_length);
  fputs ("\r\n", out);
  if (body_length > 0)
    fwrite (body, 1, body_length, out);
  fclose (out);
  is_sent = send (fd, text, length, MSG_NOSIGNAL) == (ssize_t) length;
  free (text);
  return is_sent;
}
