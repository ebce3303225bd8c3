/* The fault script: signals to the processes that the run's scripts started, POST requests to the
 * fault pages of the stand-in and the entry hosts, and releases, each at a given time. */
#include "load.h"

#include <curl/curl.h>
#include <signal.h>

static void
on_post_done (void *data, enum pl_http_end end, int status, const char *text)
{
  const struct load_fault *fault = data;

  if (end != PL_HTTP_COMPLETE || status >= 300)
    fprintf (stderr, "fault at %ld ms: status %d %s\n", fault->at_us / 1000, status, text);
}

static void
on_release_done (void *data, enum pl_http_end end, int status, const char *text)
{
  (void) data;
  if (end != PL_HTTP_COMPLETE || status != 200)
    fprintf (stderr, "release: status %d %s\n", status, text);
}

static void
post_release (const struct load_plan *plan, struct pl_http_client *client, const char *file)
{
  g_autofree char *url = g_strdup_printf ("http://%s/release", plan->operator_address);
  g_autofree char *key = g_strdup_printf ("Authorization: Bearer %s", plan->operator_key);
  g_autofree char *text = NULL;
  struct pl_http_fetch fetch = {
      .method = "POST", .url = url, .header = key, .timeout_us = 15000000, .done = on_release_done};

  if (!g_file_get_contents (file, &text, NULL, NULL))
    fprintf (stderr, "cannot read %s\n", file);
  fetch.body = text;
  pl_http_client_fetch (client, &fetch);
}

void
load_faults_run_due (const struct load_plan *plan, struct pl_http_client *client, json_t *processes,
                     int64_t elapsed_us)
{
  for (guint i = 0; i < plan->faults->len; i++)
    {
      struct load_fault *fault = &g_array_index (plan->faults, struct load_fault, i);
      pid_t pid;

      if (fault->done || fault->at_us > elapsed_us)
        continue;
      fault->done = true;
      if (fault->process != NULL)
        {
          pid = (pid_t) json_integer_value (json_object_get (processes, fault->process));
          if (pid <= 1 || kill (pid, fault->signal) < 0)
            fprintf (stderr, "cannot signal %s\n", fault->process);
        }
      if (fault->post != NULL)
        {
          g_autofree char *url = g_strdup_printf ("http://%s", fault->post);

          struct pl_http_fetch fetch = {.method = "POST",
                                        .url = url,
                                        .timeout_us = 5000000,
                                        .fresh_connection = true,
                                        .done = on_post_done,
                                        .data = fault};

          pl_http_client_fetch (client, &fetch);
        }
      if (fault->release != NULL && plan->operator_address != NULL)
        post_release (plan, client, fault->release);
    }
}
