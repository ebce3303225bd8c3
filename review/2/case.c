/* Orders whose headers are long, but shorter than MaxHeaderBytes of the configuration, on kept
 * connections to sound servers.  Does each order that has run get an answer? */
#include "../rig/rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 3
#define ORDERS 30
#define MAX_HEADER_BYTES 16384 /* as in the configuration */
#define HEADERS 30
#define HEADER_VALUE_BYTES 500
#define ANSWER_HEADERS 12
#define ANSWER_VALUE_BYTES 240

static int runs;

/* Writes COUNT header lines, each with a value of LENGTH bytes. */
static void
write_headers (char *text, const char *name, int count, int length)
{
  for (int i = 0; i < count; i++)
    {
      text += sprintf (text, "%s-%02d: ", name, i);
      memset (text, 'a' + i % 26, (size_t) length);
      text += length;
      text += sprintf (text, "\r\n");
    }
}

static void
serve (struct rig_exchange *exchange)
{
  char headers[8192];
  size_t length;

  __atomic_add_fetch (&runs, 1, __ATOMIC_SEQ_CST);
  rig_record ("order %s, head of %zu bytes, runs at %s", exchange->id, strlen (exchange->head),
              exchange->server->id);
  rig_sleep_ms (30);
  length
      = (size_t) snprintf (headers, sizeof headers, "X-Server-Stamp: stamp-%s\r\n", exchange->id);
  write_headers (headers + length, "X-Detail", ANSWER_HEADERS, ANSWER_VALUE_BYTES);
  rig_reply (exchange, "200 OK", headers, "taken");
}

/* Sends one order with HEADERS over FD.  Returns the status of its answer, 0 if there is none. */
static int
order (int fd, const char *headers)
{
  static struct rig_answer answer;
  char id[RIG_ID_MAX];

  if (!rig_request (fd, "POST", RIG_NAME, RIG_ORDERS "new", headers, "one pane", 8, 1500, id))
    return 0;
  rig_read_answer (fd, 3000, &answer);
  rig_record ("order %s with %zu bytes of headers beside the usual: %s %d", id, strlen (headers),
              answer.complete ? "answer" : "no answer,", answer.status);
  return answer.complete ? answer.status : 0;
}

int
main (int argc, char **argv)
{
  char headers[MAX_HEADER_BYTES] = "";
  int unanswered = 0;
  int answered = 0;
  int refused = 0;
  int runs_before;

  rig_init (argc, argv);
  rig_put_config ();
  for (int i = 0; i < SERVERS; i++)
    rig_start_server (RIG_SERVICE, "north-a", serve);
  rig_start_host ("north-a");
  rig_sleep_ms (4000); /* the host is in touch */
  if (rig_has_trouble ())
    write_headers (headers, "X-Attribute", HEADERS, HEADER_VALUE_BYTES);
  for (int i = 0; i < ORDERS; i++)
    {
      int fd = rig_connect (0);
      int status;

      if (fd < 0 || order (fd, "") != 200)
        return rig_finish (RIG_NOT_RUN);
      runs_before = runs;
      status = order (fd, headers);
      answered += status == 200;
      refused += status >= 400;
      unanswered += status == 0 && runs > runs_before;
      close (fd);
    }
  rig_record ("of %d orders on kept connections %d were answered, %d refused, %d ran and got no "
              "answer",
              ORDERS, answered, refused, unanswered);
  printf (
      "of %d orders on kept connections %d were answered, %d refused, %d ran and got no answer\n",
      ORDERS, answered, refused, unanswered);
  return rig_finish (unanswered > 3 ? RIG_BROKEN : RIG_HELD);
}
