/* pomelolatch-load - load generator with open-loop arrivals and scripted faults.
 *
 * The requests of each account arrive as an independent Poisson process.  Latency is
 * measured from the time at which a request was due, so that a slow answer does not
 * delay the requests after it (no coordinated omission).
 */
#include "load/load.h"

#include "internal/clock.h"

#include <curl/curl.h>
#include <glib.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define SEND_INTERVAL_US 500
#define PROGRESS_INTERVAL_US 1000000
#define DRAIN_TIMEOUT_US 10000000

struct run_options
{
  char *plan;
  char *history;
  char *csv;
  char *plot;
  char *processes;
  char *label;
  double scale;
  int milliseconds;
  gboolean quiet;
};

/* Returns the exponentially distributed time until the next arrival at RATE requests a second. */
static double
next_arrival_gap_us (GRand *random, double rate)
{
  return rate > 0 ? -log (1.0 - g_rand_double (random)) / rate * 1e6 : 1e15;
}

static void
print_progress (struct load_callers *callers, const struct load_tally *tallies, guint count,
                int64_t elapsed_us)
{
  uint64_t served = 0;
  uint64_t offered = 0;

  for (guint i = 0; i < count; i++)
    {
      served += tallies[i].served;
      offered += tallies[i].offered;
    }
  fprintf (stderr, "\r%5.1f s  sent %lu  answered %lu  served %lu ", (double) elapsed_us / 1e6,
           offered, load_callers_count_finished (callers), served);
}

/* Sends requests and runs the faults until the plan's duration is over. */
static void
run_plan (const struct load_plan *plan, struct load_callers *callers, struct load_tally *tallies,
          json_t *processes, const struct run_options *options)
{
  guint count = plan->accounts->len;
  GRand *random = g_rand_new_with_seed (plan->seed + 1);
  g_autofree double *due_us = g_new0 (double, count);
  int64_t start_us = pl_clock_now_us ();
  int64_t last_progress_us = 0;
  int64_t elapsed_us = 0;

  for (guint i = 0; i < count; i++)
    due_us[i] = next_arrival_gap_us (random, tallies[i].account->offered * options->scale);
  while (elapsed_us < plan->duration_us)
    {
      for (guint i = 0; i < count; i++)
        while (due_us[i] <= (double) elapsed_us)
          {
            load_callers_send (callers, i, start_us + (int64_t) due_us[i]);
            due_us[i] += next_arrival_gap_us (random, tallies[i].account->offered * options->scale);
          }
      load_faults_run_due (plan, load_callers_get_client (callers), processes, elapsed_us);
      if (!options->quiet && elapsed_us - last_progress_us >= PROGRESS_INTERVAL_US)
        {
          last_progress_us = elapsed_us;
          print_progress (callers, tallies, count, elapsed_us);
        }
      g_usleep (SEND_INTERVAL_US);
      elapsed_us = pl_clock_now_us () - start_us;
    }
  if (!options->quiet)
    fprintf (stderr, "\n");
  g_rand_free (random);
}

static int
run (const struct run_options *options)
{
  struct load_plan *plan = load_plan_read (options->plan);
  struct load_callers_options callers_options = {0};
  struct load_callers *callers;
  struct load_tally *tallies;
  json_t *processes = NULL;

  if (plan == NULL)
    return 2;
  if (options->milliseconds > 0)
    plan->duration_us = (int64_t) options->milliseconds * 1000;
  if (options->processes != NULL)
    processes = json_load_file (options->processes, 0, NULL);
  tallies = g_new0 (struct load_tally, plan->accounts->len);
  for (guint i = 0; i < plan->accounts->len; i++)
    tallies[i].account = &g_array_index (plan->accounts, struct load_account, i);
  callers_options.plan = plan;
  callers_options.tallies = tallies;
  if (options->history != NULL)
    callers_options.history = fopen (options->history, "w");
  callers = load_callers_new (&callers_options);
  g_usleep (300000); /* time for the first look-ups to complete */
  run_plan (plan, callers, tallies, processes, options);
  load_callers_wait_until_idle (callers, DRAIN_TIMEOUT_US);
  load_callers_stop_history (callers);
  if (callers_options.history != NULL)
    fclose (callers_options.history);
  load_tally_print (tallies, plan->accounts->len, (double) plan->duration_us / 1e6, stdout);
  if (options->csv != NULL)
    load_tally_write_csv (tallies, plan->accounts->len,
                          options->label != NULL ? options->label : "run", options->csv);
  if (options->plot != NULL)
    load_tally_plot (tallies, plan->accounts->len, options->plot);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct run_options options = {.scale = 1.0};
  GOptionEntry entries[] = {
      {"plan", 'p', 0, G_OPTION_ARG_FILENAME, &options.plan,
       "Accounts, routes and faults of the run", "FILE"},
      {"scale", 0, 0, G_OPTION_ARG_DOUBLE, &options.scale, "Multiply the offered rates by X", "X"},
      {"milliseconds", 0, 0, G_OPTION_ARG_INT, &options.milliseconds, "Duration of the run", "MS"},
      {"history", 0, 0, G_OPTION_ARG_FILENAME, &options.history, "Write each attempt to FILE",
       "FILE"},
      {"csv", 0, 0, G_OPTION_ARG_FILENAME, &options.csv, "Append the figures to FILE", "FILE"},
      {"label", 0, 0, G_OPTION_ARG_STRING, &options.label, "Name of the run in the CSV", "TEXT"},
      {"plot", 0, 0, G_OPTION_ARG_FILENAME, &options.plot, "Plot latencies to FILE (PNG)", "FILE"},
      {"processes", 0, 0, G_OPTION_ARG_FILENAME, &options.processes,
       "JSON object with names and ids of the processes that faults may signal", "FILE"},
      {"quiet", 'q', 0, G_OPTION_ARG_NONE, &options.quiet, "No progress line", NULL},
      {NULL},
  };
  g_autoptr (GOptionContext) context = g_option_context_new ("- open-loop load generator");
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || options.plan == NULL)
    {
      fprintf (stderr, "pomelolatch-load: %s\n",
               error != NULL ? error->message : "--plan FILE is required");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return run (&options);
}
