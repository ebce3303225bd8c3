/* bench_http - measures the rate and latency of HTTP requests in a closed loop.
 *
 *   bench_http URL COUNT CONCURRENT [HEADER...]
 */
#include "internal/clock.h"
#include "internal/http_client.h"
#include "pomelolatch/histogram.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

struct bench
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

struct worker
{
  struct bench *bench;
  int64_t sent_us;
};

static void send_next (struct worker *worker);

static void
on_done (void *data, enum pl_http_end end, int status)
{
  struct worker *worker = data;
  struct bench *bench = worker->bench;
  bool has_next;

  g_mutex_lock (&bench->lock);
  pl_histogram_add (&bench->latency, pl_clock_now_us () - worker->sent_us);
  bench->failed += end != PL_HTTP_COMPLETE || status != 200;
  has_next = bench->to_send > 0;
  if (has_next)
    bench->to_send--;
  else if (--bench->open == 0)
    g_cond_signal (&bench->ended);
  g_mutex_unlock (&bench->lock);
  if (has_next)
    send_next (worker);
}

static const struct pl_http_handler handler = {.done = on_done};

static void
send_next (struct worker *worker)
{
  struct pl_http_call_options options = worker->bench->options;

  options.data = worker;
  worker->sent_us = pl_clock_now_us ();
  pl_http_call_unref (pl_http_client_start (worker->bench->client, &options));
}

int
main (int argc, char **argv)
{
  struct bench bench = {0};
  struct worker *workers;
  int64_t start_us;
  double elapsed_s;
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
  bench.client = pl_http_client_new ("bench");
  bench.options.method = "GET";
  bench.options.url = argv[1];
  bench.options.headers = (const char *const *) argv + 4;
  bench.options.timeout_us = 10000000;
  bench.options.handler = &handler;
  bench.to_send = count - concurrent;
  bench.open = concurrent;
  workers = g_new0 (struct worker, concurrent);
  start_us = pl_clock_now_us ();
  for (int i = 0; i < concurrent; i++)
    {
      workers[i].bench = &bench;
      send_next (&workers[i]);
    }
  g_mutex_lock (&bench.lock);
  while (bench.open > 0)
    g_cond_wait (&bench.ended, &bench.lock);
  g_mutex_unlock (&bench.lock);
  elapsed_s = (double) (pl_clock_now_us () - start_us) / 1e6;
  printf ("%d requests, %d failed, %.0f/s, p50 %.2f ms, p99 %.2f ms\n", count, bench.failed,
          count / elapsed_s, (double) pl_histogram_quantile (&bench.latency, 0.5) / 1e3,
          (double) pl_histogram_quantile (&bench.latency, 0.99) / 1e3);
  pl_http_client_free (bench.client);
  return bench.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
