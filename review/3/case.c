/* A server that never reports that it drains is taken away, when the store has been back from an
 * outage for the stable window.  Do hosts stop sending to it within the time for draining, before
 * it ends? */
#include "../rig/rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOSTS 3
#define SERVERS 6
#define CALLERS 18
#define WORK_MS 150
#define OUTAGE_MS 4500
#define STABLE_WINDOW_MS 3000
#define DRAIN_MS 2000
/* The row is removed this long after the store is stable. */
#define REMOVED_AFTER_MS 200
/* A server whose entry lapsed while the store was away registers this long after its return. */
#define REGISTERED_AFTER_MS 1000
/* The server ends this long after the time for draining. */
#define ENDED_AFTER_MS 300
#define ROUNDS 3
#define ROUND_PAUSE_MS 4000

static struct rig_server *servers[SERVERS];
static struct rig_server *leaver;
static int64_t removed_ms; /* when the store had removed the row of the leaver; 0: not yet */
static int late;           /* requests that reached it after the time for draining */
static int cut;            /* orders that ran there when it ended */
static int runs;
static volatile bool stopping;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
serve (struct rig_exchange *exchange)
{
  struct rig_server *server = exchange->server;
  char headers[160];

  pthread_mutex_lock (&lock);
  runs++;
  if (server == leaver && removed_ms > 0 && rig_now_ms () - removed_ms > DRAIN_MS)
    {
      late++;
      rig_record ("order %s reaches %s %lld ms after the store had removed it", exchange->id,
                  server->id, (long long) (rig_now_ms () - removed_ms));
    }
  else
    rig_record ("order %s runs at %s", exchange->id, server->id);
  pthread_mutex_unlock (&lock);
  rig_sleep_ms (WORK_MS);
  if (server->ended)
    {
      __atomic_add_fetch (&cut, 1, __ATOMIC_SEQ_CST);
      rig_record ("server %s has ended at work on order %s", server->id, exchange->id);
      exchange->close = true;
      return;
    }
  snprintf (headers, sizeof headers, "X-Server-Stamp: stamp-%s\r\nX-Server-Load: %d,0,2\r\n",
            exchange->id, server->running);
  rig_reply (exchange, "200 OK", headers, "taken");
}

static void *
call (void *data)
{
  int host = *(int *) data % HOSTS;
  struct rig_answer *answer = calloc (1, sizeof *answer);

  while (!stopping)
    {
      int fd = rig_connect (host);
      char id[RIG_ID_MAX];

      if (fd >= 0
          && rig_request (fd, "POST", RIG_NAME, RIG_ORDERS "new", "Connection: close\r\n",
                          "one pane", 8, 1500, id))
        {
          rig_read_answer (fd, 3000, answer);
          rig_record ("order %s is answered %d", id, answer->status);
        }
      if (fd >= 0)
        close (fd);
      rig_sleep_ms (100);
    }
  free (answer);
  return NULL;
}

/* One outage of the store, and after it the end of SERVER. */
static void
run_round (struct rig_server *server)
{
  if (rig_has_trouble ())
    {
      rig_record ("the store answers 503 for %d ms", OUTAGE_MS);
      rig_store_serves (false);
    }
  rig_sleep_ms (OUTAGE_MS);
  rig_remove ("servers", servers[SERVERS - 1]->id);
  rig_store_serves (true);
  rig_record ("the store serves; the entry of %s has lapsed", servers[SERVERS - 1]->id);
  rig_sleep_ms (REGISTERED_AFTER_MS);
  rig_list_server (servers[SERVERS - 1], "ready");
  rig_record ("server %s has registered again", servers[SERVERS - 1]->id);
  rig_sleep_ms (STABLE_WINDOW_MS + REMOVED_AFTER_MS - REGISTERED_AFTER_MS);
  rig_remove ("servers", server->id);
  pthread_mutex_lock (&lock);
  leaver = server;
  removed_ms = rig_now_ms ();
  pthread_mutex_unlock (&lock);
  rig_record ("the store has removed %s", server->id);
  rig_sleep_ms (DRAIN_MS + ENDED_AFTER_MS);
  rig_end_server (server);
  rig_record ("server %s ends", server->id);
  rig_sleep_ms (ROUND_PAUSE_MS);
}

int
main (int argc, char **argv)
{
  static const char *const domains[] = {"north-a", "north-b", "south-a"};
  pthread_t callers[CALLERS];
  int numbers[CALLERS];

  rig_init (argc, argv);
  rig_put_config ();
  for (int i = 0; i < SERVERS; i++)
    servers[i] = rig_start_server (RIG_SERVICE, domains[i % 3], serve);
  for (int i = 0; i < HOSTS; i++)
    rig_start_host (domains[i]);
  rig_sleep_ms (4000);
  for (int i = 0; i < CALLERS; i++)
    {
      numbers[i] = i;
      pthread_create (&callers[i], NULL, call, &numbers[i]);
    }
  rig_sleep_ms (2000);
  for (int i = 0; i < ROUNDS; i++)
    run_round (servers[i]);
  stopping = true;
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  rig_record ("%d orders ran; %d reached a removed server too late, %d were cut when it ended",
              runs, late, cut);
  printf ("%d orders ran; %d reached a removed server too late, %d were cut when it ended\n", runs,
          late, cut);
  if (runs < 500)
    return rig_finish (RIG_NOT_RUN);
  return rig_finish (late > 0 ? RIG_BROKEN : RIG_HELD);
}
