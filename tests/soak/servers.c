/* Backend servers of the soak: run requests, record each run in the ledger, and hang, lose answers,
 * send them twice or break them off as their mode and troubles say. */
#include "soak.h"
#include "internal/net.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SLOTS 4
#define WORK_MS 25
#define PROBE_MS 2
#define CROWDED_WORK_MS 150
#define LIMITED_SERVER 3 /* names SOAK_SERVER_LIMIT */
#define IDLE_US (60 * SOAK_SECOND)
/* One in so many requests finds all slots taken by others; with a server that stutters. */
#define FULL_PERIOD 16
#define FULL_PERIOD_STUTTERS 4
#define ERROR_PERIOD 40
#define CLOSE_PERIOD 50
#define FLAW_PERIOD 8
#define PIECES_MAX 6
#define COPY_DELAY_MAX_MS 9

enum framing
{
  FRAMING_LENGTH,
  FRAMING_CHUNKED,
  FRAMING_NONE, /* the answer ends with its connection */
};

struct server
{
  int number;
  int generation; /* how often it was renamed */
  int sequence;   /* of its row */
  int running;
  int mode; /* of enum soak_server_mode */
  int troubles[TROUBLE_COUNT];
  int draw_count;
};

struct session
{
  struct server *server;
  struct soak_wire wire;
  GByteArray *copy; /* of the last answer, to be sent before the next one; NULL: none */
  char last_stamp[24];
};

struct request
{
  char *head;
  const char *path; /* in HEAD */
  char id[40];      /* "": none */
  bool is_probe;
  bool is_upload;
};

struct answer
{
  int status;
  bool is_not_run;
  bool is_last;
  enum framing framing;
  char stamp[24];
};

static struct server servers[SOAK_SERVERS_MAX];
static uint32_t seed;
static int flaws;
static int run_count; /* of all servers */
/* What the servers did by their troubles. */
static int trouble_counts[TROUBLE_COUNT];

void
soak_servers_print_summary (void)
{
  printf ("second copies %d, broken off %d, early rejections %d, garbage %d\n",
          trouble_counts[TROUBLE_STUTTERS], trouble_counts[TROUBLE_BREAKS_OFF],
          trouble_counts[TROUBLE_EARLY], trouble_counts[TROUBLE_GARBAGE]);
}

static char *
make_server_id (int server)
{
  int generation = g_atomic_int_get (&servers[server].generation);

  return generation == 0 ? g_strdup_printf ("s-%d", server)
                         : g_strdup_printf ("s-%d-%d", server, generation);
}

void
soak_server_register (int server, bool draining)
{
  g_autofree char *id = make_server_id (server);
  g_autofree char *text = g_strdup_printf (
      "{\"Address\":\"%s\",\"born\":1,\"Info\":{\"Service\":\"stock\",\"Zone\":\"%s\","
      "\"Slots\":%d},\"Status\":{\"State\":\"%s\",\"Sequence\":%d,\"ColdRemaining\":\"0ms\"}}",
      soak_address (NET_SERVER_PROXIES, server, 8080), soak_domain_of (server), SLOTS,
      draining ? "draining" : "ready", ++servers[server].sequence);

  soak_store_put ("servers", id, text);
  soak_ledger_set_leaving (server, draining);
}

void
soak_server_remove (int server)
{
  g_autofree char *id = make_server_id (server);

  soak_store_put ("servers", id, NULL);
  soak_ledger_set_leaving (server, true);
}

char *
soak_server_rename (int server)
{
  char *id = make_server_id (server);

  g_atomic_int_inc (&servers[server].generation);
  return id;
}

void
soak_server_set_mode (int server, enum soak_server_mode mode)
{
  g_atomic_int_set (&servers[server].mode, (int) mode);
}

void
soak_server_set_trouble (int server, enum soak_trouble trouble, bool on)
{
  g_atomic_int_add (&servers[server].troubles[trouble], on ? 1 : -1);
}

static bool
has_trouble (struct server *server, enum soak_trouble trouble)
{
  return g_atomic_int_get (&server->troubles[trouble]) > 0;
}

static guint
draw (struct server *server, guint bound)
{
  g_autofree char *text = g_strdup_printf ("%u/%d/%d", seed, server->number,
                                           g_atomic_int_add (&server->draw_count, 1));

  return soak_wire_hash (text) % bound;
}

guint
soak_upload_bytes (const char *id)
{
  return 10000 + soak_wire_hash (id) % 200000;
}

guint
soak_write_bytes (const char *id)
{
  return 1 + soak_wire_hash (id) % 60;
}

GByteArray *
soak_answer_body (const char *id, const char *stamp)
{
  g_autofree char *text = g_strconcat (id, "|", stamp, NULL);
  guint hash = soak_wire_hash (text);
  guint length;

  if (hash % 16 == 0)
    length = 20000 + hash / 16 % 250000;
  else if (hash % 16 < 6)
    length = 1 + hash / 16 % 8000;
  else
    length = 1 + hash / 16 % 100;
  return soak_wire_make_body (text, length);
}

static GByteArray *
encode_answer (struct server *server, const char *request_id, const struct answer *answer)
{
  g_autofree char *id = make_server_id (server->number);
  g_autoptr (GByteArray) body = soak_answer_body (request_id, answer->stamp);
  GByteArray *message = g_byte_array_new ();
  g_autoptr (GString) head = g_string_new (NULL);

  g_string_append_printf (head, "HTTP/1.1 %d Status\r\n", answer->status);
  if (request_id[0] != '\0')
    g_string_append_printf (head, "X-Request-Id: %s\r\n", request_id);
  g_string_append_printf (head, "X-Server-Stamp: %s\r\nX-Instance-Id: %s\r\n", answer->stamp, id);
  g_string_append_printf (head, "X-Server-Load: %d,0,%d\r\n", g_atomic_int_get (&server->running),
                          SLOTS);
  if (server->number == LIMITED_SERVER)
    g_string_append_printf (head, "Server-Limit: %d\r\n", SOAK_SERVER_LIMIT);
  if (answer->is_not_run)
    g_string_append (head, "X-Not-Executed: 1\r\n");
  if (answer->is_last)
    g_string_append (head, "Connection: close\r\n");
  if (answer->framing == FRAMING_LENGTH)
    g_string_append_printf (head, "Content-Length: %u\r\n", body->len);
  if (answer->framing == FRAMING_CHUNKED)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  g_string_append (head, "\r\n");
  g_byte_array_append (message, (const guint8 *) head->str, (guint) head->len);
  if (answer->framing == FRAMING_CHUNKED)
    soak_wire_append_chunks (message, body, 1 + draw (server, 30000));
  else
    g_byte_array_append (message, body->data, body->len);
  return message;
}

/* Sends MESSAGE in pieces.  Returns whether that succeeded. */
static bool
send_pieces (struct session *session, const GByteArray *message)
{
  guint count = 1 + draw (session->server, PIECES_MAX);
  guint from = 0;

  for (guint i = 0; i < count; i++)
    {
      guint until
          = i + 1 == count ? message->len : from + draw (session->server, message->len - from + 1);

      if (!soak_wire_send (&session->wire, message->data + from, until - from))
        return false;
      from = until;
      if (i + 1 < count)
        g_usleep (SOAK_MS);
    }
  return true;
}

/* Sends a part of MESSAGE; its connection ends then. */
static void
break_off (struct session *session, const struct answer *answer, const GByteArray *message)
{
  const guint8 *end = memmem (message->data, message->len, "\r\n\r\n", 4);
  guint head_bytes = (guint) (end - message->data) + 4;
  guint length = draw (session->server, 3) == 0
                     ? 1 + draw (session->server, head_bytes - 1)
                     : head_bytes + draw (session->server, message->len - head_bytes);

  soak_wire_send (&session->wire, message->data, length);
  g_usleep (SOAK_MS);
  /* An answer without a length that ends in order is complete. */
  if (answer->framing == FRAMING_NONE || draw (session->server, 4) == 0)
    soak_wire_set_reset_on_close (session->wire.fd);
}

/* Sends MESSAGE, once more if the server stutters.  Returns whether the connection stays open. */
static bool
send_copies (struct session *session, const struct answer *answer, GByteArray *message)
{
  struct server *server = session->server;
  guint length = message->len;
  guint kind = 3;

  if (session->copy != NULL)
    {
      /* Together with this answer, or some time before. */
      soak_wire_send (&session->wire, session->copy->data, session->copy->len);
      if (draw (server, 2) == 0)
        g_usleep (SOAK_MS * (1 + draw (server, COPY_DELAY_MAX_MS)));
      g_clear_pointer (&session->copy, g_byte_array_unref);
    }
  if (has_trouble (server, TROUBLE_STUTTERS) && !answer->is_last
      && (answer->is_not_run || draw (server, 3) == 0))
    {
      kind = draw (server, 3);
      g_atomic_int_inc (&trouble_counts[TROUBLE_STUTTERS]);
    }
  if (kind == 0)
    {
      g_byte_array_set_size (message, 2 * length);
      memcpy (message->data + length, message->data, length);
    }
  if (!send_pieces (session, message) || answer->is_last)
    return false;
  if (kind == 1)
    {
      g_usleep (SOAK_MS * (1 + draw (server, COPY_DELAY_MAX_MS)));
      return soak_wire_send (&session->wire, message->data, length);
    }
  if (kind == 2)
    session->copy = g_byte_array_ref (message);
  return true;
}

static bool
send_answer (struct session *session, const struct request *request, int status, bool is_not_run)
{
  struct server *server = session->server;
  struct answer answer = {.status = status, .is_not_run = is_not_run};
  g_autoptr (GByteArray) message = NULL;

  answer.framing = (enum framing) draw (server, draw (server, 4) == 0 ? 3 : 2);
  answer.is_last = answer.framing == FRAMING_NONE || draw (server, CLOSE_PERIOD) == 0;
  g_snprintf (answer.stamp, sizeof answer.stamp, "%d.%d", server->number,
              g_atomic_int_add (&run_count, 1));
  message = encode_answer (server, request->id, &answer);
  if (!request->is_probe)
    soak_ledger_record_reply (request->id, answer.stamp, status);
  g_strlcpy (session->last_stamp, answer.stamp, sizeof session->last_stamp);
  if (has_trouble (server, TROUBLE_BREAKS_OFF) && draw (server, 2) == 0)
    {
      g_atomic_int_inc (&trouble_counts[TROUBLE_BREAKS_OFF]);
      break_off (session, &answer, message);
      return false;
    }
  if (has_trouble (server, TROUBLE_GARBAGE) && draw (server, 2) == 0)
    {
      g_autoptr (GByteArray) garbage = soak_wire_make_body (answer.stamp, 1 + draw (server, 5000));

      g_atomic_int_inc (&trouble_counts[TROUBLE_GARBAGE]);
      return soak_wire_send (&session->wire, garbage->data, garbage->len) && draw (server, 2) == 0;
    }
  return send_copies (session, &answer, message);
}

/* Reads the body of a request and compares it with that sent.  Returns whether it is complete. */
static bool
read_request_body (struct session *session, const struct request *request)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  g_autoptr (GByteArray) expected = NULL;
  enum soak_read result
      = soak_wire_read_body (&session->wire, request->head, false, soak_now_us () + IDLE_US, body);

  if (request->id[0] == '\0' || g_str_has_prefix (request->head, "GET "))
    return result == READ_OK;
  expected = soak_wire_make_body (request->id, request->is_upload ? soak_upload_bytes (request->id)
                                                                  : soak_write_bytes (request->id));
  if (result == READ_MALFORMED || body->len > expected->len
      || memcmp (body->data, expected->data, body->len) != 0
      || (result == READ_OK && body->len < expected->len))
    soak_ledger_report_violation ("UNASKED: server %d got another body of %s, %u of %u bytes",
                                  session->server->number, request->id, body->len, expected->len);
  return result == READ_OK;
}

/* Takes one of the server's slots.  Returns whether one was free. */
static bool
take_slot (struct server *server)
{
  guint period = has_trouble (server, TROUBLE_STUTTERS) ? FULL_PERIOD_STUTTERS : FULL_PERIOD;

  if (draw (server, period) == 0)
    return false;
  if (g_atomic_int_add (&server->running, 1) < SLOTS)
    return true;
  g_atomic_int_add (&server->running, -1);
  return false;
}

static bool
run_request (struct session *session, const struct request *request)
{
  struct server *server = session->server;
  int work_ms = has_trouble (server, TROUBLE_CROWDED) ? CROWDED_WORK_MS : WORK_MS;
  char tenant[32];
  char key[8];

  if (soak_wire_get (request->head, "Authorization", key, sizeof key))
    soak_ledger_report_violation ("server %d received an API key", server->number);
  soak_wire_get (request->head, "X-Tenant", tenant, sizeof tenant);
  soak_ledger_record_run (request->id, tenant, server->number);
  while (g_atomic_int_get (&server->mode) == SERVER_HANGS)
    g_usleep (20000);
  g_usleep ((gulong) work_ms * 1000);
  if (g_atomic_int_get (&server->mode) == SERVER_LOSES_ANSWERS)
    return false;
  if ((flaws & FLAW_FALSE_REJECTIONS) != 0 && draw (server, FLAW_PERIOD) == 0)
    return send_answer (session, request, 503, true);
  return send_answer (session, request, draw (server, ERROR_PERIOD) == 0 ? 500 : 200, false);
}

/* Sends the last answer under the id of REQUEST. */
static void
send_forged_copy (struct session *session, const struct request *request)
{
  struct answer answer = {.status = 200, .framing = FRAMING_LENGTH};
  g_autoptr (GByteArray) message = NULL;

  g_strlcpy (answer.stamp, session->last_stamp, sizeof answer.stamp);
  message = encode_answer (session->server, request->id, &answer);
  soak_wire_send (&session->wire, message->data, message->len);
}

/* Returns whether the connection stays open. */
static bool
serve_request (struct session *session, const struct request *request)
{
  struct server *server = session->server;
  g_autofree char *own_id = make_server_id (server->number);
  char expected_id[16];
  bool open;

  if (request->is_upload && has_trouble (server, TROUBLE_EARLY) && draw (server, 2) == 0)
    {
      g_atomic_int_inc (&trouble_counts[TROUBLE_EARLY]);
      return send_answer (session, request, 503, true) && read_request_body (session, request);
    }
  if (!read_request_body (session, request))
    return false;
  if ((flaws & FLAW_FORGED_COPIES) != 0 && !request->is_probe && session->last_stamp[0] != '\0'
      && draw (server, FLAW_PERIOD) == 0)
    send_forged_copy (session, request);
  soak_wire_get (request->head, "X-Expect-Instance", expected_id, sizeof expected_id);
  if (!request->is_probe && strcmp (expected_id, own_id) != 0)
    return send_answer (session, request, 421, true);
  if (!request->is_probe && server->number == LIMITED_SERVER)
    soak_ledger_record_limited ();
  if (!take_slot (server))
    return send_answer (session, request, 503, true);
  if (request->is_probe)
    {
      g_usleep (PROBE_MS * SOAK_MS);
      open = send_answer (session, request, 200, false);
    }
  else
    open = run_request (session, request);
  g_atomic_int_add (&server->running, -1);
  return open;
}

static void *
run_session (void *data)
{
  struct session *session = data;
  bool open = true;

  while (open)
    {
      struct request request = {0};

      if (soak_wire_read_head (&session->wire, soak_now_us () + IDLE_US, &request.head) != READ_OK)
        break;
      request.path = strchr (request.head, ' ');
      request.path = request.path != NULL ? request.path + 1 : "";
      soak_wire_get (request.head, "X-Request-Id", request.id, sizeof request.id);
      request.is_probe = g_str_has_prefix (request.path, "/health ");
      request.is_upload = g_str_has_prefix (request.path, SOAK_UPLOAD_PREFIX);
      open = serve_request (session, &request);
      g_free (request.head);
    }
  soak_wire_close (&session->wire);
  g_clear_pointer (&session->copy, g_byte_array_unref);
  g_free (session);
  return NULL;
}

struct listener
{
  struct server *server;
  int fd;
};

static void *
accept_sessions (void *data)
{
  const struct listener *listener = data;

  for (;;)
    {
      int fd = accept (listener->fd, NULL, NULL);
      struct session *session;
      pthread_t thread;

      if (fd < 0)
        continue;
      session = g_new0 (struct session, 1);
      session->server = listener->server;
      soak_wire_open (&session->wire, fd);
      if (pthread_create (&thread, NULL, run_session, session) == 0)
        pthread_detach (thread);
      else
        {
          soak_wire_close (&session->wire);
          g_free (session);
        }
    }
  return NULL;
}

void
soak_servers_start (const struct soak_options *options, int count)
{
  seed = options->seed;
  flaws = options->flaws;
  for (int i = 0; i < count; i++)
    {
      const char *address = soak_address (NET_SERVERS, i, 8080);
      struct listener *listener = g_new0 (struct listener, 1);
      struct sockaddr_in parsed;
      pthread_t thread;

      servers[i].number = i;
      listener->server = &servers[i];
      if (pl_net_parse (address, &parsed) < 0 || (listener->fd = pl_net_listen (&parsed)) < 0
          || pthread_create (&thread, NULL, accept_sessions, listener) != 0)
        {
          g_printerr ("soak: server %d cannot listen\n", i);
          exit (2);
        }
      pthread_detach (thread);
      soak_proxy_open (LEG_SERVERS, soak_address (NET_SERVER_PROXIES, i, 8080), address);
      soak_server_register (i, false);
    }
}
