/* A server that is full rejects an order, and the second copy of that rejection arrives late, where
 * the answer to the next order on the connection is expected.  Is the next order run twice? */
#include "../rig/rig.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOSTS 2
#define SERVERS 6
#define FAULTY_SERVERS 3 /* share 0.5 */
#define FAULTY_PERMILLE 15
#define CALLERS 30
#define SECONDS 40
#define WAVE_MS 100
#define SLOTS 2
#define QUEUE 3
#define WORK_MS 10
#define OBJECTS 24
#define ORDERS_MAX 262144

/* What happened to an order, by the number in its id. */
struct order
{
  int runs;
  int status; /* of the caller's answer */
};

/* The copy of a rejection that a connection's next request meets; by descriptor. */
static char pending[4096][512];
static int pending_length[4096];
static struct order orders[ORDERS_MAX];
static int answers_of_faulty;
static int copies_made;
static int copies_sent;
static int rejections;
static volatile bool stopping;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static unsigned
order_number (const char *id)
{
  return (unsigned) strtoul (id + 8, NULL, 16) % ORDERS_MAX;
}

/* Counts an answer of SERVER.  Returns whether it is sent twice: of the faulty servers' answers,
 * rejections up to FAULTY_PERMILLE of all of them. */
static bool
count_answer (const struct rig_server *server, bool is_rejection)
{
  bool chosen;

  if (!rig_has_trouble () || server->number >= FAULTY_SERVERS)
    return false;
  pthread_mutex_lock (&lock);
  answers_of_faulty++;
  chosen = is_rejection && (copies_made + 1) * 1000 <= answers_of_faulty * FAULTY_PERMILLE;
  copies_made += chosen;
  pthread_mutex_unlock (&lock);
  return chosen;
}

static void
reject (struct rig_exchange *exchange)
{
  int fd = exchange->fd;

  __atomic_add_fetch (&rejections, 1, __ATOMIC_SEQ_CST);
  rig_reply (exchange, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
  if (!count_answer (exchange->server, true))
    return;
  pending_length[fd] = snprintf (pending[fd], sizeof pending[fd],
                                 "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\n"
                                 "X-Instance-Id: %s\r\nX-Not-Executed: 1\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 exchange->id, exchange->server->id);
}

static void
serve (struct rig_exchange *exchange)
{
  struct rig_server *server = exchange->server;
  struct order *order = &orders[order_number (exchange->id)];
  int running = __atomic_load_n (&server->running, __ATOMIC_SEQ_CST);
  int fd = exchange->fd;
  char headers[256];
  char body[96];
  int runs;

  if (exchange->on_connection == 1)
    pending_length[fd] = 0; /* of an earlier connection with this descriptor */
  if (pending_length[fd] > 0)
    {
      rig_send (fd, pending[fd], (size_t) pending_length[fd]);
      pending_length[fd] = 0;
      __atomic_add_fetch (&copies_sent, 1, __ATOMIC_SEQ_CST);
      rig_record ("server %s sends a late copy before the answer to %s", server->id, exchange->id);
    }
  if (running > SLOTS + QUEUE)
    {
      reject (exchange);
      return;
    }
  runs = __atomic_add_fetch (&order->runs, 1, __ATOMIC_SEQ_CST);
  if (runs > 1)
    rig_record ("order %s runs at %s, for the %d. time", exchange->id, server->id, runs);
  else
    rig_record ("order %s runs at %s", exchange->id, server->id);
  rig_sleep_ms (running > SLOTS ? WORK_MS * running / SLOTS : WORK_MS);
  snprintf (headers, sizeof headers, "X-Server-Stamp: stamp-%s\r\n", exchange->id);
  snprintf (body, sizeof body, "order %s taken", exchange->id);
  rig_reply (exchange, "200 OK", headers, body);
  count_answer (server, false);
}

static void *
call (void *data)
{
  int host = *(int *) data % HOSTS;
  struct rig_answer *answer = calloc (1, sizeof *answer);
  char cookie[64];
  int fd = -1;

  snprintf (cookie, sizeof cookie, "Cookie: X-Affinity-Key=%d\r\n", *(int *) data % OBJECTS);
  while (!stopping)
    {
      char id[RIG_ID_MAX];
      char wait[32];

      if (fd < 0)
        fd = rig_connect (host);
      if (fd < 0
          || !rig_request (fd, "POST", "orders.example", "/order/new", cookie, "one pane", 8, 1500,
                           id))
        {
          close (fd);
          fd = -1;
          continue;
        }
      rig_read_answer (fd, 3000, answer);
      orders[order_number (id)].status = answer->status;
      rig_record ("order %s is answered %d", id, answer->status);
      rig_header (answer->head, "Connection", wait, sizeof wait);
      if (!answer->complete || strcmp (wait, "close") == 0)
        {
          close (fd);
          fd = -1;
        }
      rig_sleep_ms ((int) (WAVE_MS - rig_now_ms () % WAVE_MS));
    }
  close (fd);
  free (answer);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t callers[CALLERS];
  int numbers[CALLERS];
  int twice = 0;
  int refused = 0;
  int run = 0;

  rig_init (argc, argv);
  rig_put_config ();
  for (int i = 0; i < SERVERS; i++)
    rig_start_server ("cutline", i % 2 == 0 ? "north-a" : "north-b", serve);
  for (int i = 0; i < HOSTS; i++)
    rig_start_host (i % 2 == 0 ? "north-a" : "north-b");
  rig_sleep_ms (3000);
  for (int i = 0; i < CALLERS; i++)
    {
      numbers[i] = i;
      pthread_create (&callers[i], NULL, call, &numbers[i]);
    }
  rig_sleep_ms (SECONDS * 1000);
  stopping = true;
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  rig_sleep_ms (1000);
  for (int i = 0; i < ORDERS_MAX; i++)
    {
      run += orders[i].runs > 0;
      twice += orders[i].runs > 1;
      refused += orders[i].runs > 0 && (orders[i].status == 503 || orders[i].status == 429);
    }
  rig_record (
      "%d orders run, %d rejections by servers, %d late copies among %d answers of %d servers", run,
      rejections, copies_sent, answers_of_faulty, FAULTY_SERVERS);
  rig_record ("%d orders ran more than once; %d ran and were answered 429 or 503", twice, refused);
  printf ("%d orders run, %d rejections, %d late copies; %d ran more than once, %d ran and were "
          "refused\n",
          run, rejections, copies_sent, twice, refused);
  if (run < 500)
    return rig_finish (RIG_NOT_RUN);
  return rig_finish (twice + refused > 0 ? RIG_BROKEN : RIG_HELD);
}
