/* Faulty servers that spoil some answers: one byte of the version in the status line is wrong. They
 * have run the orders.
 *
 * Usage: garbled RECORD; TROUBLE=0 in the environment leaves out the disruption.  Exits with 1 if a
 * caller was told by 429 or 503 that an order has not run which has run, with 0 if none was, 2 if
 * it could not run.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ORDERS_MAX 1000
#define SERVERS 4
/* Of the servers, half spoil a twentieth of their answers for some seconds. */
#define FAULTY_SERVERS 2
#define SPOILED_PERIOD 20
#define TROUBLE_MS 5000
#define WORK_MS 20
#define DEADLINE_MS 3000

static bool is_on;
static char run_ids[ORDERS_MAX][RIG_ID_BYTES];
static int run_count;
static int answer_counts[SERVERS];
static int spoiled_count;

static bool
serve (struct rig_request *request)
{
  char text[512];
  bool is_order = strncmp (request->path, "/order/", 7) == 0;
  bool is_spoiled = false;

  rig_record ("server %d runs %s %s %s", request->server, request->method, request->path,
              request->id);
  if (is_order && run_count < ORDERS_MAX)
    snprintf (run_ids[run_count++], RIG_ID_BYTES, "%s", request->id);
  if (is_on && is_order && request->server < FAULTY_SERVERS)
    is_spoiled = ++answer_counts[request->server] % SPOILED_PERIOD == 0;
  spoiled_count += is_spoiled;
  usleep (WORK_MS * 1000);
  snprintf (text, sizeof text,
            "%s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %d.%s\r\nX-Server-Load: 0,0,4\r\n"
            "Content-Length: 2\r\n\r\nok",
            is_spoiled ? "HTTP/x.1 503 Service Unavailable" : "HTTP/1.1 200 OK", request->id,
            request->server, request->id);
  rig_record ("server %d sends '%.*s' to %s", request->server, (int) strcspn (text, "\r"), text,
              request->id);
  return rig_send (request->stream->fd, text, strlen (text));
}

/* Sends a request on a new connection.  Returns the status of its answer, 0 if there is none. */
static int
call (const char *method, const char *path, const char *id)
{
  struct rig_stream *stream = calloc (1, sizeof *stream);
  char text[512];
  char head[RIG_STREAM_BYTES] = "";
  char status[8] = "";

  stream->fd = rig_connect (0, 0);
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: rig.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
            "Authorization: Token k1\r\n%s\r\n",
            method, path, id, DEADLINE_MS,
            strcmp (method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
  rig_record ("the caller sends %s %s %s", method, path, id);
  if (stream->fd >= 0 && rig_send (stream->fd, text, strlen (text))
      && rig_read_head (stream, head, rig_now_ms () + DEADLINE_MS) == RIG_READ_OK)
    snprintf (status, sizeof status, "%.3s", head + strlen ("HTTP/1.1 "));
  rig_record ("the caller gets '%.*s' for %s", (int) strcspn (head, "\r"), head, id);
  if (stream->fd >= 0)
    close (stream->fd);
  free (stream);
  return (int) strtol (status, NULL, 10);
}

static bool
has_run (const char *id)
{
  for (int i = 0; i < run_count; i++)
    if (strcmp (run_ids[i], id) == 0)
      return true;
  return false;
}

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  int64_t until_ms;
  int orders = 0;
  int broken = 0;

  is_on = trouble == NULL || strcmp (trouble, "0") != 0;
  if (argc != 2)
    return 2;
  rig_start (argv[1], SERVERS, serve);
  rig_configure ();
  rig_start_hosts (2);
  rig_sleep_until (rig_now_ms () + 4000);
  if (call ("GET", "/read/1", "first") != 200)
    rig_fail ("the caller is not served before the disruption");
  until_ms = rig_now_ms () + TROUBLE_MS;
  while (orders < ORDERS_MAX && rig_now_ms () < until_ms)
    {
      char id[RIG_ID_BYTES];
      int status;

      snprintf (id, sizeof id, "order-%d", orders++);
      status = call ("POST", "/order/1", id);
      broken += (status == 429 || status == 503) && has_run (id);
    }
  rig_record ("%d of %d answers to orders were spoiled", spoiled_count, orders);
  rig_record ("%d of %d orders are answered 429 or 503 although they have run", broken, orders);
  rig_stop ();
  return broken > 0 ? 1 : 0;
}
