/* The fault script: signals to processes that the run's own scripts started, calls to the
 * stand-in's and hosts' fault pages, and releases, each at its time. */
#include "load.h"

#include <curl/curl.h>
#include <signal.h>

static void
on_posted (void *data, enum pl_http_end end, int status, const char *text)
{
  const struct load_fault *fault = data;

  if (end != PL_HTTP_WHOLE || status >= 300)
    fprintf (stderr, "fault at %ld ms: status %d %s\n", fault->at_us / 1000, status, text);
}

struct apply
{
  GString *answer;
  char *body;
  size_t length;
  size_t read;
};

static size_t
apply_write (void *data, const char *bytes, size_t length)
{
  struct apply *apply = data;

  g_string_append_len (apply->answer, bytes, (gssize) length);
  return length;
}

static size_t
apply_read (void *data, char *bytes, size_t length)
{
  struct apply *apply = data;
  size_t part = MIN (length, apply->length - apply->read);

  memcpy (bytes, apply->body + apply->read, part);
  apply->read += part;
  return part;
}

static void
apply_done (void *data, enum pl_http_end end, int status)
{
  struct apply *apply = data;

  if (end != PL_HTTP_WHOLE || status != 200)
    fprintf (stderr, "release: status %d %s\n", status, apply->answer->str);
  g_string_free (apply->answer, TRUE);
  g_free (apply->body);
  g_free (apply);
}

static const struct pl_http_handler apply_handler = {NULL, apply_write, apply_read, apply_done};

static void
post_release (const struct load_plan *plan, struct pl_http_client *client, const char *file)
{
  struct apply *apply = g_new0 (struct apply, 1);
  g_autofree char *url = g_strdup_printf ("http://%s/release", plan->operator_address);
  g_autofree char *key = g_strdup_printf ("Authorization: Bearer %s", plan->operator_key);
  const char *headers[] = {key, NULL};
  struct pl_http_call_options options = {.method = "POST",
                                         .url = url,
                                         .headers = headers,
                                         .timeout_us = 15000000,
                                         .handler = &apply_handler,
                                         .data = apply};

  apply->answer = g_string_new (NULL);
  if (!g_file_get_contents (file, &apply->body, &apply->length, NULL))
    fprintf (stderr, "can not read %s\n", file);
  options.body_length = (int64_t) apply->length;
  pl_http_call_unref (pl_http_client_start (client, &options));
}

void
load_faults_run (const struct load_plan *plan, struct pl_http_client *client, json_t *processes,
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
            fprintf (stderr, "can not signal %s\n", fault->process);
        }
      if (fault->post != NULL)
        {
          g_autofree char *url = g_strdup_printf ("http://%s", fault->post);

          pl_http_client_fetch (client, "POST", url, "", 5000000, true, on_posted, fault);
        }
      if (fault->release != NULL && plan->operator_address != NULL)
        post_release (plan, client, fault->release);
    }
}
