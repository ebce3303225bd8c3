/* bench_http - a closed loop of HTTP requests: rate and latency.
 *
 *   bench_http URL COUNT CONCURRENT [HEADER...]
 */
#include "internal/clock.h"
#include "internal/http_client.h"
#include "pomelolatch/histogram.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

struct loop
{
  struct pl_http_client *client;
  struct pl_http_call_options options;
  GMutex lock;
  GCond ended;
  int to_send;
  int open;
  int failed;
  struct pl_histogram latency;
};

struct turn
{
  struct loop *loop;
  int64_t sent_us;
};

static void send_next (struct turn *turn);

static void
on_done (void *data, enum pl_http_end end, int status)
{
  struct turn *turn = data;
  struct loop *loop = turn->loop;
  bool more;

  g_mutex_lock (&loop->lock);
  pl_histogram_add (&loop->latency, pl_clock_now_us () - turn->sent_us);
  loop->failed += end != PL_HTTP_WHOLE || status != 200;
  more = loop->to_send > 0;
  if (more)
    loop->to_send--;
  else if (--loop->open == 0)
    g_cond_signal (&loop->ended);
  g_mutex_unlock (&loop->lock);
  if (more)
    send_next (turn);
}

static const struct pl_http_handler handler = {NULL, NULL, NULL, on_done};

static void
send_next (struct turn *turn)
{
  struct pl_http_call_options options = turn->loop->options;

  options.data = turn;
  turn->sent_us = pl_clock_now_us ();
  pl_http_call_unref (pl_http_client_start (turn->loop->client, &options));
}

int
main (int argc, char **argv)
{
  struct loop loop = {0};
  struct turn *turns;
  int64_t start_us;
  double took_s;
  int count;
  int concurrent;

  if (argc < 4)
    {
      fprintf (stderr, "usage: bench_http URL COUNT CONCURRENT [HEADER...]\n");
      return 2;
    }
  count = atoi (argv[2]);
  concurrent = atoi (argv[3]);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  loop.client = pl_http_client_new ("bench");
  loop.options.method = "GET";
  loop.options.url = argv[1];
  loop.options.headers = (const char *const *) argv + 4;
  loop.options.timeout_us = 10000000;
  loop.options.handler = &handler;
  loop.to_send = count - concurrent;
  loop.open = concurrent;
  turns = g_new0 (struct turn, concurrent);
  start_us = pl_clock_now_us ();
  for (int i = 0; i < concurrent; i++)
    {
      turns[i].loop = &loop;
      send_next (&turns[i]);
    }
  g_mutex_lock (&loop.lock);
  while (loop.open > 0)
    g_cond_wait (&loop.ended, &loop.lock);
  g_mutex_unlock (&loop.lock);
  took_s = (double) (pl_clock_now_us () - start_us) / 1e6;
  printf ("%d requests, %d failed, %.0f/s, p50 %.2f ms, p99 %.2f ms\n", count, loop.failed,
          count / took_s, (double) pl_histogram_quantile (&loop.latency, 0.5) / 1e3,
          (double) pl_histogram_quantile (&loop.latency, 0.99) / 1e3);
  pl_http_client_free (loop.client);
  return loop.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
