/* Stand-ins for the cases of this review, on blocking sockets with a thread for each connection. */
#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define TEMPLATE "deploy/entry.yaml.in"
#define PROGRAM "target/pomelolatch-entry"
#define PORT_FRONT 8206
#define PORT_READY 8201
#define PORT_DIRECTORY 8209
#define PORT_METRICS 9464
#define PORT_STORE 8205
#define PORT_SERVER 8080
#define ROWS_MAX 64
#define ROW_BYTES 4096
#define READY_LIMIT_MS 10000
#define IDLE_MS 30000
#define DOMAINS_MAX 9
#define SESSIONS_MAX 512
#define POLL_MS 20
/* A host that watches the store asks for changes at least this often. */
#define WATCH_MS 1200
/* Less than a script may take. */
#define LIMIT_S 100

extern char **environ;

struct row
{
  const char *table;
  char key[40];
  char value[ROW_BYTES];
  bool is_gone;
  int version;
};

struct domain
{
  const char *name;
  const char *region;
};

struct host
{
  pid_t pid;
  int status;
  bool has_proxy;
  volatile bool is_silent;
  volatile int64_t polled_ms; /* when it last asked for changes of the configuration */
  char settings[128];
};

static int64_t started_ms;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char network[24]; /* the first three numbers of all addresses, with a dot */
static char folder[64];
static struct row rows[ROWS_MAX];
static int row_count;
static int newest;
static pthread_mutex_t rows_lock = PTHREAD_MUTEX_INITIALIZER;
static struct host hosts[RIG_HOSTS_MAX];
static int host_count;
static int server_count;
static rig_serve *serve_request;
static struct domain domains[DOMAINS_MAX];
static int domain_count;
static volatile bool is_cut;
static int listeners[RIG_SERVERS_MAX];
/* The connections of servers that are open; -1: none. */
static struct
{
  int server;
  int fd;
} sessions[SESSIONS_MAX];
static pthread_mutex_t sessions_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
rig_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep_until (int64_t at_ms)
{
  while (rig_now_ms () < at_ms)
    usleep (1000);
}

void
rig_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7.3f  ", (double) (rig_now_ms () - started_ms) / 1000);
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

void
rig_fail (const char *what)
{
  fprintf (stderr, "could not run: %s\n", what);
  if (record_file != NULL)
    rig_record ("could not run: %s", what);
  rig_stop ();
  exit (2);
}

/* Addresses: hosts end in 10 and up, servers in 100 and up, the store in 2. */
static const char *
address_of (int number, int port, char *text, size_t size)
{
  snprintf (text, size, "%s%d:%d", network, number, port);
  return text;
}

static struct sockaddr_in
socket_address (int number, int port)
{
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons ((uint16_t) port)};
  char text[40];

  snprintf (text, sizeof text, "%s%d", network, number);
  inet_pton (AF_INET, text, &address.sin_addr);
  return address;
}

static int
listen_on (int number, int port)
{
  struct sockaddr_in address = socket_address (number, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0 && listen (fd, 512) == 0)
    return fd;
  close (fd);
  return -1;
}

int
rig_connect (int host, int receive_bytes)
{
  struct sockaddr_in address = socket_address (10 + host, PORT_FRONT);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
rig_send (int fd, const void *bytes, size_t length)
{
  return send (fd, bytes, length, MSG_NOSIGNAL) == (ssize_t) length;
}

enum rig_read
rig_receive (struct rig_stream *stream, size_t most, int64_t until_ms)
{
  struct pollfd ready = {.fd = stream->fd, .events = POLLIN};
  int64_t left_ms = until_ms - rig_now_ms ();
  size_t room = sizeof stream->bytes - stream->used;
  ssize_t received;

  if (poll (&ready, 1, left_ms > 0 ? (int) left_ms : 0) <= 0)
    return RIG_READ_TIMEOUT;
  received = recv (stream->fd, stream->bytes + stream->used, most < room ? most : room, 0);
  if (received < 0)
    return RIG_READ_RESET;
  stream->used += (size_t) received;
  return received > 0 ? RIG_READ_OK : RIG_READ_CLOSED;
}

static void
drop_bytes (struct rig_stream *stream, size_t count)
{
  memmove (stream->bytes, stream->bytes + count, stream->used - count);
  stream->used -= count;
}

enum rig_read
rig_read_head (struct rig_stream *stream, char *head, int64_t until_ms)
{
  const char *end;

  while ((end = memmem (stream->bytes, stream->used, "\r\n\r\n", 4)) == NULL)
    {
      enum rig_read result = rig_receive (stream, sizeof stream->bytes, until_ms);

      if (result != RIG_READ_OK)
        return result;
    }
  memcpy (head, stream->bytes, (size_t) (end + 4 - stream->bytes));
  head[end + 4 - stream->bytes] = '\0';
  drop_bytes (stream, (size_t) (end + 4 - stream->bytes));
  return RIG_READ_OK;
}

bool
rig_get (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);

  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, length) == 0 && line[2 + length] == ':')
      {
        const char *text = line + 3 + length + strspn (line + 3 + length, " ");

        snprintf (value, size, "%.*s", (int) strcspn (text, "\r"), text);
        return true;
      }
  return false;
}

/* Ends the hosts when the program is ended, or takes too long. */
static void
on_signal (int number)
{
  (void) number;
  for (int i = 0; i < host_count; i++)
    if (hosts[i].pid > 0)
      kill (hosts[i].pid, SIGKILL);
  _exit (2);
}

/* Replaces each FROM in TEXT, which has room for it. */
static void
replace (char *text, const char *from, const char *to)
{
  size_t from_length = strlen (from);
  size_t to_length = strlen (to);
  char *at = text;

  while ((at = strstr (at, from)) != NULL)
    {
      memmove (at + to_length, at + from_length, strlen (at + from_length) + 1);
      for (size_t i = 0; i < to_length; i++)
        at[i] = to[i];
      at += to_length;
    }
}

/* The store. */

static void
put_row (const char *table, const char *key, const char *value)
{
  struct row *row = rows;

  pthread_mutex_lock (&rows_lock);
  while (row < rows + row_count && (row->table != table || strcmp (row->key, key) != 0))
    row++;
  if (row == rows + row_count)
    row_count++;
  row->table = table;
  snprintf (row->key, sizeof row->key, "%s", key);
  snprintf (row->value, sizeof row->value, "%s", value != NULL ? value : "");
  row->is_gone = value == NULL;
  row->version = ++newest;
  pthread_mutex_unlock (&rows_lock);
}

static void
append_base64 (char *text, const char *value)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (value);
  char *at = text + strlen (text);

  for (size_t i = 0; i < length; i += 3)
    {
      unsigned group = (unsigned) (unsigned char) value[i] << 16;

      group |= i + 1 < length ? (unsigned) (unsigned char) value[i + 1] << 8 : 0;
      group |= i + 2 < length ? (unsigned) (unsigned char) value[i + 2] : 0;
      *at++ = digits[group >> 18 & 63];
      *at++ = digits[group >> 12 & 63];
      *at++ = i + 1 < length ? digits[group >> 6 & 63] : '=';
      *at++ = i + 2 < length ? digits[group & 63] : '=';
    }
  *at = '\0';
}

/* Writes the rows of TABLE after a version to TEXT, those that are gone only in a FEED.  Returns
 * their number. */
static int
list_rows (const char *table, int after, bool feed, char *text)
{
  int count = 0;

  text[0] = '\0';
  pthread_mutex_lock (&rows_lock);
  for (int i = 0; i < row_count; i++)
    if (strcmp (rows[i].table, table) == 0 && rows[i].version > after && (feed || !rows[i].is_gone))
      {
        sprintf (text + strlen (text),
                 "%s{\"Table\":\"%s\",\"part\":\"\",\"Key\":\"%s\",\"Ver\":%d",
                 count++ > 0 ? "," : "", table, rows[i].key, rows[i].version);
        strcat (text, rows[i].is_gone ? ",\"IsGone\":true,\"Value\":\"" : ",\"Value\":\"");
        append_base64 (text, rows[i].value);
        strcat (text, "\"}");
      }
  pthread_mutex_unlock (&rows_lock);
  return count;
}

static void
get_argument (const char *path, const char *name, char *value, size_t size)
{
  const char *found = strstr (path, name);

  value[0] = '\0';
  if (found != NULL)
    snprintf (value, size, "%.*s", (int) strcspn (found + strlen (name), "& "),
              found + strlen (name));
}

static void
answer_store (struct rig_stream *stream, const char *head)
{
  static const size_t size = (size_t) ROWS_MAX * ROW_BYTES * 2;
  char *list = malloc (size);
  char *body = malloc (size + 128);
  char table[32];
  char after[24];
  char wait_ms[24];
  char start[128];
  int64_t until_ms;

  get_argument (head, "Table=", table, sizeof table);
  get_argument (head, "after=", after, sizeof after);
  get_argument (head, "WaitMs=", wait_ms, sizeof wait_ms);
  until_ms = rig_now_ms () + atoi (wait_ms);
  while (list_rows (table, atoi (after), strstr (head, "rows-feed") != NULL, list) == 0
         && rig_now_ms () < until_ms)
    usleep (2000);
  snprintf (body, size + 128, "{\"Rows\":[%s],\"HasMore\":false,\"Ver\":%d,\"Now\":\"%lldms\"}",
            list, newest, (long long) (rig_now_ms () - started_ms));
  snprintf (start, sizeof start,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
            strlen (body));
  rig_send (stream->fd, start, strlen (start));
  rig_send (stream->fd, body, strlen (body));
  free (list);
  free (body);
}

/* Connections; server -1 is the store. */
struct session
{
  int server;
  struct rig_stream stream;
};

static bool
answer_probe (const struct rig_request *request)
{
  char text[160];

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Instance-Id: s%d\r\nX-Server-Load: 0,0,4\r\n"
            "Content-Length: 0\r\n\r\n",
            request->server);
  return rig_send (request->stream->fd, text, strlen (text));
}

/* Reads the body of REQUEST, which entry hosts send with a length. */
static bool
skip_body (struct rig_request *request)
{
  struct rig_stream *stream = request->stream;
  char value[24];
  size_t left;

  rig_get (request->head, "Content-Length", value, sizeof value);
  request->body_bytes = left = strtoul (value, NULL, 10);
  while (left > 0)
    {
      size_t part = stream->used < left ? stream->used : left;

      drop_bytes (stream, part);
      left -= part;
      if (left > 0
          && rig_receive (stream, sizeof stream->bytes, rig_now_ms () + IDLE_MS) != RIG_READ_OK)
        return false;
    }
  return true;
}

static bool
serve_session (struct session *session, struct rig_request *request)
{
  request->server = session->server;
  request->stream = &session->stream;
  if (rig_read_head (&session->stream, request->head, rig_now_ms () + IDLE_MS) != RIG_READ_OK)
    return false;
  if (session->server < 0)
    {
      answer_store (&session->stream, request->head);
      return true;
    }
  if (sscanf (request->head, "%15s %255s", request->method, request->path) != 2
      || !skip_body (request))
    return false;
  if (strcmp (request->path, "/health") == 0)
    return answer_probe (request);
  rig_get (request->head, "X-Request-Id", request->id, sizeof request->id);
  return serve_request (request);
}

/* Returns where the connection of SESSION is noted. */
static int
note_session (const struct session *session)
{
  int at = 0;

  pthread_mutex_lock (&sessions_lock);
  while (at < SESSIONS_MAX - 1 && sessions[at].fd > 0)
    at++;
  sessions[at].server = session->server;
  sessions[at].fd = session->stream.fd;
  pthread_mutex_unlock (&sessions_lock);
  return at;
}

static void
close_session (const struct session *session, int at)
{
  pthread_mutex_lock (&sessions_lock);
  sessions[at].fd = 0;
  close (session->stream.fd);
  pthread_mutex_unlock (&sessions_lock);
}

static void *
run_session (void *data)
{
  struct session *session = data;
  struct rig_request *request = calloc (1, sizeof *request);
  int at = note_session (session);

  while (serve_session (session, request))
    continue;
  close_session (session, at);
  free (request);
  free (session);
  return NULL;
}

struct listener
{
  int server; /* or the host of a proxy */
  int fd;
};

static void *
run_listener (void *data)
{
  struct listener *listener = data;
  int fd;

  while ((fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct session *session = calloc (1, sizeof *session);
      pthread_t thread;
      int on = 1;

      session->server = listener->server;
      session->stream.fd = fd;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      if (pthread_create (&thread, NULL, run_session, session) == 0)
        pthread_detach (thread);
    }
  return NULL;
}

static void
start_listener (int server)
{
  struct listener *listener = calloc (1, sizeof *listener);
  pthread_t thread;

  listener->server = server;
  listener->fd = server < 0 ? listen_on (2, PORT_STORE) : listen_on (100 + server, PORT_SERVER);
  if (listener->fd < 0 || pthread_create (&thread, NULL, run_listener, listener) != 0)
    rig_fail ("no port for a stand-in");
  if (server >= 0)
    listeners[server] = listener->fd;
  pthread_detach (thread);
}

static void
reset_connection (int fd)
{
  struct linger linger = {1, 0};

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

void
rig_end_server (int server)
{
  rig_record ("server %d ends", server);
  shutdown (listeners[server], SHUT_RDWR);
  pthread_mutex_lock (&sessions_lock);
  for (int i = 0; i < SESSIONS_MAX; i++)
    if (sessions[i].fd > 0 && sessions[i].server == server)
      {
        reset_connection (sessions[i].fd);
        shutdown (sessions[i].fd, SHUT_RDWR);
      }
  pthread_mutex_unlock (&sessions_lock);
}

/* Proxies before the store. */

/* A connection of HOST. */
struct proxied
{
  int host;
  int fd;
};

/* Passes on what has arrived on FROM.  Returns whether both connections stay open. */
static bool
pass_on (int from, int to, struct host *host)
{
  char bytes[16384 + 1];
  ssize_t length = recv (from, bytes, sizeof bytes - 1, 0);

  if (length <= 0)
    return false;
  bytes[length] = '\0';
  if (strstr (bytes, "rows-feed?Table=op&") != NULL)
    host->polled_ms = rig_now_ms ();
  return rig_send (to, bytes, (size_t) length);
}

static void *
run_proxied (void *data)
{
  struct proxied *proxied = data;
  struct host *host = &hosts[proxied->host];
  struct sockaddr_in address = socket_address (2, PORT_STORE);
  int outer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct pollfd ready[] = {{.fd = proxied->fd, .events = POLLIN}, {.fd = outer, .events = POLLIN}};
  bool is_open = connect (outer, (struct sockaddr *) &address, sizeof address) == 0;

  while (is_open && !is_cut)
    {
      if (host->is_silent)
        usleep (POLL_MS * 1000);
      if (host->is_silent || poll (ready, 2, POLL_MS) <= 0)
        continue;
      if (ready[0].revents != 0)
        is_open = pass_on (proxied->fd, outer, host);
      if (is_open && ready[1].revents != 0)
        is_open = pass_on (outer, proxied->fd, host);
    }
  if (is_cut)
    reset_connection (proxied->fd);
  close (proxied->fd);
  close (outer);
  free (proxied);
  return NULL;
}

static void *
run_proxy (void *data)
{
  const struct listener *listener = data;
  int fd;

  while ((fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct proxied *proxied = malloc (sizeof *proxied);
      pthread_t thread;

      *proxied = (struct proxied){listener->server, fd};
      if (pthread_create (&thread, NULL, run_proxied, proxied) == 0)
        pthread_detach (thread);
    }
  return NULL;
}

void
rig_proxy_store (int host)
{
  struct listener *listener = calloc (1, sizeof *listener);
  pthread_t thread;

  listener->server = host;
  listener->fd = listen_on (40 + host, PORT_STORE);
  if (listener->fd < 0 || pthread_create (&thread, NULL, run_proxy, listener) != 0)
    rig_fail ("no port for a proxy");
  pthread_detach (thread);
  hosts[host].has_proxy = true;
}

bool
rig_is_silent (int host)
{
  return hosts[host].is_silent;
}

void
rig_silence_watchers (bool on)
{
  int64_t now_ms = rig_now_ms ();

  for (int i = 0; i < host_count; i++)
    {
      hosts[i].is_silent = on && now_ms - hosts[i].polled_ms < WATCH_MS;
      if (hosts[i].is_silent)
        rig_record ("host %d, which watches the store, is cut off from it", i);
    }
  if (!on)
    rig_record ("the cut ends");
}

void
rig_cut_store (bool on)
{
  rig_record (on ? "the hosts with a proxy are cut off from the store" : "the cut ends");
  is_cut = on;
}

/* Finds a loopback network on which nothing listens. */
static void
choose_network (void)
{
  for (int attempt = 0; attempt < 100; attempt++)
    {
      unsigned number = (unsigned) getpid () * 31 + (unsigned) attempt;
      int fd;

      snprintf (network, sizeof network, "127.%u.%u.", 64 + number / 250 % 100, 1 + number % 250);
      fd = listen_on (2, PORT_STORE);
      if (fd >= 0)
        {
          close (fd);
          return;
        }
    }
  rig_fail ("no free loopback address");
}

/* Returns the domain of hosts and servers with NUMBER. */
static const struct domain *
domain_of (int number)
{
  return &domains[number % domain_count];
}

void
rig_add_domain (const char *name, const char *region)
{
  domains[domain_count++] = (struct domain){name, region};
}

static void
register_server (int server)
{
  char key[16];
  char value[512];
  char address[40];

  snprintf (key, sizeof key, "s%d", server);
  snprintf (value, sizeof value,
            "{\"Address\":\"%s\",\"born\":%d,\"Info\":{\"Service\":\"desk\",\"Version\":\"v1\","
            "\"Zone\":\"%s\",\"Slots\":4},\"Status\":{\"State\":\"ready\",\"Sequence\":1,"
            "\"ColdRemaining\":\"0ms\"}}",
            address_of (100 + server, PORT_SERVER, address, sizeof address), 1000 + server,
            domain_of (server)->name);
  put_row ("servers", key, value);
}

void
rig_remove_server (int server)
{
  char key[16];

  snprintf (key, sizeof key, "s%d", server);
  put_row ("servers", key, NULL);
  rig_record ("the store has removed the entry of server %d", server);
}

void
rig_start (const char *record, int count, rig_serve *serve)
{
  started_ms = rig_now_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGHUP, on_signal);
  signal (SIGALRM, on_signal);
  alarm (LIMIT_S);
  record_file = fopen (record, "w");
  if (record_file == NULL)
    {
      fprintf (stderr, "could not run: no record\n");
      exit (2);
    }
  snprintf (folder, sizeof folder, "/tmp/rig3-XXXXXX");
  if (mkdtemp (folder) == NULL)
    rig_fail ("no temporary folder");
  choose_network ();
  if (domain_count == 0)
    {
      rig_add_domain ("north-a", "north");
      rig_add_domain ("north-b", "north");
    }
  serve_request = serve;
  server_count = count;
  start_listener (-1);
  for (int i = 0; i < count; i++)
    {
      start_listener (i);
      register_server (i);
    }
}

void
rig_put_version (int version)
{
  char value[ROW_BYTES]
      = "{\"Version\":\"r0\",\"Resources\":["
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"read\"},\"Spec\":{\"Host\":"
        "\"rig.example\",\"Prefix\":\"/read/\",\"Kind\":\"idempotent\",\"Timeout\":\"3000ms\","
        "\"TargetLatency\":\"300ms\",\"Priority\":1,\"Service\":\"desk\",\"Attempts\":2}},"
        "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"order\"},\"Spec\":{\"Host\":"
        "\"rig.example\",\"Prefix\":\"/order/\",\"Kind\":\"non_idempotent\",\"Timeout\":"
        "\"3000ms\",\"TargetLatency\":\"400ms\",\"Priority\":1,\"Service\":\"desk\","
        "\"Attempts\":2}},"
        "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"desk\"},\"Spec\":{"
        "\"HealthPath\":\"/health\",\"MaxConnections\":1680,\"ColdStart\":\"0s\",\"ColdPerS\":"
        "100.0}},"
        "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"shop\"},\"Spec\":{\"ApiKeys\":["
        "\"k1\"],\"Priority\":1,\"RatePerS\":0,\"Burst\":0}},"
        "{\"ResourceKind\":\"Limits\",\"Metadata\":{},\"Spec\":{\"MaxHeaderBytes\":16384,"
        "\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}]}";
  char text[16];

  snprintf (text, sizeof text, "\"r%d\"", version);
  replace (value, "\"r0\"", text);
  put_row ("op", "config", value);
}

void
rig_configure (void)
{
  rig_put_version (1);
}

/* Entry hosts. */

static void
fill_template (int host, char *text)
{
  static const char *const fixed[][2] = {
      {"{{Bounds.Grace}}", "6s"},       {"{{Bounds.RetryBudgetRatio}}", "0.2"},
      {"{{Bounds.BudgetSlack}}", "58"}, {"{{Bounds.MaxShift}}", "0.15"},
      {"{{Limits.CpuShare}}", "0.5"},   {"{{Limits.LinkMbps}}", "200.0"},
      {"{{Limits.MemoryMb}}", "260"},   {"{{InternalPorts.0}}", "7600"},
      {"{{InternalPorts.1}}", "7615"},
  };
  char value[64];
  char zones[512] = "";
  char ip[40];

  snprintf (ip, sizeof ip, "%s%d", network, 10 + host);
  for (size_t i = 0; i < sizeof fixed / sizeof fixed[0]; i++)
    replace (text, fixed[i][0], fixed[i][1]);
  for (int i = 0; i < domain_count; i++)
    snprintf (zones + strlen (zones), sizeof zones - strlen (zones), "%s\"%s=%s\"",
              i > 0 ? "," : "", domains[i].name, domains[i].region);
  replace (text, "{{#Zones}}\"{{@}}={{.}}\"{{,}}{{/Zones}}", zones);
  snprintf (value, sizeof value, "edge-%s-%d", domain_of (host)->name, 1 + host / domain_count);
  replace (text, "{{Node}}", value);
  replace (text, "{{Zone}}", domain_of (host)->name);
  replace (text, "{{Listen.Front}}", address_of (10 + host, PORT_FRONT, value, sizeof value));
  replace (text, "{{Listen.Ready}}", address_of (10 + host, PORT_READY, value, sizeof value));
  replace (text, "{{Listen.Directory}}",
           address_of (10 + host, PORT_DIRECTORY, value, sizeof value));
  replace (text, "{{Platform.Address}}",
           address_of (hosts[host].has_proxy ? 40 + host : 2, PORT_STORE, value, sizeof value));
  snprintf (value, sizeof value, "\"%s10:8200\"", network);
  replace (text, "{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}", value);
  replace (text, "{{Ip}}", ip);
}

static void
write_settings (int host)
{
  char text[8192] = "";
  FILE *file = fopen (TEMPLATE, "r");

  if (file == NULL)
    rig_fail ("no settings template; run this in the repository");
  text[fread (text, 1, sizeof text / 2, file)] = '\0';
  fclose (file);
  fill_template (host, text);
  if (strstr (text, "{{") != NULL)
    rig_fail ("the settings template has a field that this rig does not know");
  snprintf (hosts[host].settings, sizeof hosts[host].settings, "%s/host-%d.yaml", folder, host);
  file = fopen (hosts[host].settings, "w");
  if (file == NULL || fputs (text, file) < 0 || fclose (file) != 0)
    rig_fail ("could not write settings");
}

static bool
is_ready (int host)
{
  static const char request[] = "GET /pomelolatch/readiness HTTP/1.0\r\n\r\n";
  struct sockaddr_in address = socket_address (10 + host, PORT_READY);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char answer[64] = "";

  if (connect (fd, (struct sockaddr *) &address, sizeof address) < 0
      || !rig_send (fd, request, strlen (request)) || recv (fd, answer, sizeof answer - 1, 0) < 0)
    answer[0] = '\0';
  close (fd);
  return strstr (answer, " 200 ") != NULL;
}

static void
start_host (int host)
{
  char program[] = PROGRAM;
  char option[] = "--settings";
  char *arguments[] = {program, option, hosts[host].settings, NULL};
  posix_spawn_file_actions_t actions;
  char log[128];

  write_settings (host);
  snprintf (log, sizeof log, "%s/host-%d.log", folder, host);
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND,
                                    0644);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn (&hosts[host].pid, program, &actions, NULL, arguments, environ) != 0)
    {
      hosts[host].pid = 0;
      rig_fail ("could not start " PROGRAM);
    }
  posix_spawn_file_actions_destroy (&actions);
}

void
rig_start_hosts (int count)
{
  int64_t until_ms = rig_now_ms () + READY_LIMIT_MS;

  host_count = count;
  for (int i = 0; i < count; i++)
    start_host (i);
  for (int i = 0; i < count; i++)
    while (!is_ready (i))
      {
        if (rig_now_ms () > until_ms)
          rig_fail ("an entry host is not ready");
        usleep (20000);
      }
  rig_record ("%d entry hosts are ready", count);
}

void
rig_signal_host (int host, int number)
{
  rig_record ("host %d gets signal %d", host, number);
  if (hosts[host].pid > 0)
    kill (hosts[host].pid, number);
}

int
rig_wait_host (int host, int64_t until_ms)
{
  while (hosts[host].pid > 0)
    {
      pid_t ended = waitpid (hosts[host].pid, &hosts[host].status, WNOHANG);

      if (ended == hosts[host].pid)
        {
          hosts[host].pid = 0;
          break;
        }
      if (rig_now_ms () >= until_ms)
        return -1;
      usleep (5000);
    }
  return hosts[host].status;
}

void
rig_stop (void)
{
  for (int i = 0; i < host_count; i++)
    {
      char file[128];

      if (hosts[i].pid > 0)
        {
          kill (hosts[i].pid, SIGKILL);
          waitpid (hosts[i].pid, &hosts[i].status, 0);
          hosts[i].pid = 0;
        }
      unlink (hosts[i].settings);
      snprintf (file, sizeof file, "%s/host-%d.log", folder, i);
      if (getenv ("KEEP_LOGS") == NULL)
        unlink (file);
    }
  rmdir (folder);
}
