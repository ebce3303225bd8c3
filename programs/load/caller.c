/* Callers: look up which entry hosts to use, cache the answer for its time to live, and try the
 * hosts in order as long as the request has not run.
 *
 * Requests on unrepeatable routes carry an Idempotency-Key.  When the outcome of a request
 * is unknown, it is sent again with the same key, as a real caller would do.  Each attempt
 * is a line of the history.
 */
#include "load.h"

#include "internal/clock.h"

#include <stdlib.h>
#include <string.h>

#define SITE_COUNT 6 /* blocks 10.0.0.0/16 to 10.5.0.0/16 */
#define HOSTS_MAX 4
#define TIMEOUT_US 8000000
#define LOOKUP_TIMEOUT_US 1000000
#define RESENDS_MAX 4

struct lookup_cache
{
  int64_t valid_until_us;
  bool is_pending;
  int count;
  char hosts[HOSTS_MAX][24];
};

struct load_callers
{
  struct load_callers_options options;
  struct pl_http_client *client;
  GRand *random;
  GMutex lock;
  struct lookup_cache caches[SITE_COUNT];
  guint lookup_count;
  uint64_t next_number;
  uint64_t open_requests;
  uint64_t finished;
};

struct request
{
  struct load_callers *callers;
  guint account;
  const struct load_route *route;
  int site;
  int host; /* position in the cached list */
  char address[24];
  uint64_t number;
  int sends;
  bool within_rate;
  int64_t due_us;
  int64_t sent_us;
  GString *answer;
  char outcome[16];
  char reason[40];
  int64_t body_left;
};

static void send_request (struct request *request);

static void
on_lookup (void *data, enum pl_http_end end, int status, const char *text)
{
  struct request *lookup = data; /* only callers and site are set */
  struct load_callers *callers = lookup->callers;
  struct lookup_cache *cache = &callers->caches[lookup->site];
  json_t *json = end == PL_HTTP_COMPLETE && status == 200 ? json_loads (text, 0, NULL) : NULL;
  json_t *hosts = json_object_get (json, "hosts");
  json_int_t ttl_ms = json_integer_value (json_object_get (json, "ttl_ms"));
  size_t i;
  json_t *host;

  g_mutex_lock (&callers->lock);
  cache->is_pending = false;
  if (json_array_size (hosts) > 0)
    {
      cache->count = 0;
      json_array_foreach (hosts, i, host) if (cache->count < HOSTS_MAX)
          g_strlcpy (cache->hosts[cache->count++],
                     json_string_value (json_object_get (host, "address")), sizeof cache->hosts[0]);
      cache->valid_until_us = pl_clock_now_us () + ttl_ms * 1000;
    }
  g_mutex_unlock (&callers->lock);
  json_decref (json);
  g_free (lookup);
}

/* Starts a look-up when the cache entry of SITE has expired; the old answer stays in use until it
 * completes.  Called with the lock held. */
static void
refresh_lookup (struct load_callers *callers, int site)
{
  const struct load_plan *plan = callers->options.plan;
  struct lookup_cache *cache = &callers->caches[site];
  guint lookup_index = callers->lookup_count++;
  const char *address = json_string_value (
      json_array_get (plan->lookups, lookup_index % json_array_size (plan->lookups)));
  g_autofree char *url = NULL;
  struct request *lookup;
  struct pl_http_fetch fetch
      = {.method = "GET", .timeout_us = LOOKUP_TIMEOUT_US, .done = on_lookup};

  if (cache->is_pending || pl_clock_now_us () < cache->valid_until_us)
    return;
  /* Every second look-up goes to a host from the last answer instead of one from the settings:
   * both are entry hosts. */
  if (cache->count > 0 && lookup_index % 2 == 0)
    address = cache->hosts[lookup_index / 2 % (guint) cache->count];
  cache->is_pending = true;
  lookup = g_new0 (struct request, 1);
  lookup->callers = callers;
  lookup->site = site;
  url = g_strdup_printf ("http://%s/pomelolatch/lookup?client=10.%d.0.%u", address, site,
                         lookup_index % 250 + 1);
  fetch.url = url;
  fetch.data = lookup;
  pl_http_client_fetch (callers->client, &fetch);
}

static bool
select_host (struct request *request)
{
  struct load_callers *callers = request->callers;
  const struct load_plan *plan = callers->options.plan;
  struct lookup_cache *cache = &callers->caches[request->site];
  bool has_host = true;

  if (plan->entry != NULL)
    {
      g_strlcpy (request->address, plan->entry, sizeof request->address);
      return true;
    }
  g_mutex_lock (&callers->lock);
  refresh_lookup (callers, request->site);
  if (cache->count > 0)
    {
      /* Callers of a site distribute their requests over the first two hosts of the answer. */
      int position = (request->host + (int) (request->number % 2)) % cache->count;

      g_strlcpy (request->address, cache->hosts[position], sizeof request->address);
    }
  else
    has_host = false;
  g_mutex_unlock (&callers->lock);
  return has_host;
}

static void
write_history (struct request *request, int status, enum pl_http_end end, bool is_correct)
{
  struct load_callers *callers = request->callers;
  const struct load_account *account
      = &g_array_index (callers->options.plan->accounts, struct load_account, request->account);

  g_mutex_lock (&callers->lock);
  if (callers->options.history != NULL)
    fprintf (callers->options.history,
             "{\"number\":%lu,\"account\":\"%s\",\"path\":\"%s\",\"unrepeatable\":%s,\"send\":%d,"
             "\"host\":\"%s\",\"sent_us\":%ld,\"done_us\":%ld,\"status\":%d,\"end\":%d,"
             "\"outcome\":\"%s\",\"reason\":\"%s\",\"right\":%s}\n",
             request->number, account->name, request->route->path,
             request->route->unrepeatable ? "true" : "false", request->sends, request->address,
             request->sent_us, pl_clock_now_us (), status, (int) end, request->outcome,
             request->reason, is_correct ? "true" : "false");
  g_mutex_unlock (&callers->lock);
}

static void
finish_request (struct request *request, bool served, bool wrong, const char *reason)
{
  struct load_callers *callers = request->callers;
  struct load_result result
      = {request->within_rate, served, wrong, reason != NULL ? g_intern_string (reason) : NULL,
         pl_clock_now_us () - request->due_us};

  g_mutex_lock (&callers->lock);
  load_tally_record_result (&callers->options.tallies[request->account], &result);
  callers->open_requests--;
  callers->finished++;
  g_mutex_unlock (&callers->lock);
  g_string_free (request->answer, TRUE);
  g_free (request);
}

static bool
on_field (void *data, const char *name, const char *value)
{
  struct request *request = data;

  if (g_ascii_strcasecmp (name, "Pomelolatch-Outcome") == 0)
    g_strlcpy (request->outcome, value, sizeof request->outcome);
  if (g_ascii_strcasecmp (name, "Pomelolatch-Reason") == 0)
    g_strlcpy (request->reason, value, sizeof request->reason);
  return true;
}

static size_t
on_write (void *data, const char *bytes, size_t length)
{
  struct request *request = data;

  g_string_append_len (request->answer, bytes, (gssize) length);
  return length;
}

static size_t
on_read (void *data, char *bytes, size_t length)
{
  struct request *request = data;
  size_t size = (size_t) MIN ((int64_t) length, request->body_left);

  memset (bytes, 'p', size);
  request->body_left -= (int64_t) size;
  return size;
}

/* Returns whether the answer has the requested length and echoes the tag and the body length of
 * this request. */
static bool
answer_is_correct (const struct request *request)
{
  g_autofree char *start
      = g_strdup_printf ("tag=%lu received=%ld ", request->number, request->route->body_bytes);

  return g_str_has_prefix (request->answer->str, start)
         && (int64_t) request->answer->len == request->route->answer_bytes;
}

static void
resend_request (struct request *request)
{
  request->sends++;
  request->host++;
  send_request (request);
}

static void
on_done (void *data, enum pl_http_end end, int status)
{
  struct request *request = data;
  bool is_complete = end == PL_HTTP_COMPLETE;
  bool served = is_complete && status == 200;
  bool wrong = served && !answer_is_correct (request);
  bool not_run = strcmp (request->outcome, "not-run") == 0;
  bool try_next_host = end == PL_HTTP_NOT_SENT
                       || (not_run && status == 503 && strcmp (request->reason, "stopping") == 0);
  bool is_outcome_unknown = !served && !try_next_host && !not_run;

  write_history (request, status, end, served && !wrong);
  if (request->sends < RESENDS_MAX
      && (try_next_host
          || (is_outcome_unknown && request->callers->options.plan->resend
              && request->route->fault == NULL)))
    {
      resend_request (request);
      return;
    }
  if (served)
    finish_request (request, !wrong, wrong, wrong ? "wrong-answer" : NULL);
  else if (request->reason[0] != '\0')
    finish_request (request, false, false, request->reason);
  else
    finish_request (request, false, false, end == PL_HTTP_TRUNCATED ? "cut" : "no-answer");
}

static const struct pl_http_handler handler
    = {.field = on_field, .write = on_write, .read = on_read, .done = on_done};

static void
send_request (struct request *request)
{
  struct load_callers *callers = request->callers;
  const struct load_route *route = request->route;
  const struct load_account *account
      = &g_array_index (callers->options.plan->accounts, struct load_account, request->account);
  g_autofree char *url = NULL;
  g_autofree char *key = g_strdup_printf ("X-Api-Key: %s", account->key);
  g_autofree char *operation = g_strdup_printf ("Idempotency-Key: op-%u-%lu",
                                                callers->options.plan->seed, request->number);
  const char *headers[] = {key, route->unrepeatable ? operation : NULL, NULL};
  struct pl_http_call_options options = {0};

  request->outcome[0] = '\0';
  request->reason[0] = '\0';
  request->body_left = route->body_bytes;
  request->sent_us = pl_clock_now_us ();
  g_string_set_size (request->answer, 0);
  if (!select_host (request))
    {
      finish_request (request, false, false, "no-lookup");
      return;
    }
  url = g_strdup_printf ("http://%s%s/%lu?tag=%lu&bytes=%ld%s%s", request->address, route->path,
                         request->number, request->number, route->answer_bytes,
                         route->fault != NULL ? "&fault=" : "",
                         route->fault != NULL ? route->fault : "");
  options.method = route->method;
  options.url = url;
  options.headers = headers;
  options.body_length = route->body_bytes;
  options.timeout_us = TIMEOUT_US;
  options.fresh_connection = request->sends > 0;
  options.handler = &handler;
  options.data = request;
  pl_http_call_unref (pl_http_client_start (callers->client, &options));
}

static const struct load_route *
select_route (struct load_callers *callers)
{
  const struct load_plan *plan = callers->options.plan;
  int weight_left = g_rand_int_range (callers->random, 0, plan->weight_sum);
  guint i = 0;

  for (; i + 1 < plan->routes->len; i++)
    {
      weight_left -= g_array_index (plan->routes, struct load_route, i).weight;
      if (weight_left < 0)
        break;
    }
  return &g_array_index (plan->routes, struct load_route, i);
}

void
load_callers_send (struct load_callers *callers, guint account, int64_t due_us)
{
  struct request *request = g_new0 (struct request, 1);

  request->callers = callers;
  request->account = account;
  request->route = select_route (callers);
  request->site = g_rand_int_range (callers->random, 0, SITE_COUNT);
  request->due_us = due_us;
  request->answer = g_string_new (NULL);
  g_mutex_lock (&callers->lock);
  request->number = ++callers->next_number;
  request->within_rate = load_tally_record_arrival (&callers->options.tallies[account], due_us);
  callers->open_requests++;
  g_mutex_unlock (&callers->lock);
  send_request (request);
}

struct pl_http_client *
load_callers_get_client (struct load_callers *callers)
{
  return callers->client;
}

uint64_t
load_callers_count_finished (struct load_callers *callers)
{
  uint64_t finished;

  g_mutex_lock (&callers->lock);
  finished = callers->finished;
  g_mutex_unlock (&callers->lock);
  return finished;
}

void
load_callers_stop_history (struct load_callers *callers)
{
  g_mutex_lock (&callers->lock);
  callers->options.history = NULL;
  g_mutex_unlock (&callers->lock);
}

void
load_callers_wait_until_idle (struct load_callers *callers, int64_t limit_us)
{
  int64_t deadline_us = pl_clock_now_us () + limit_us;
  uint64_t open_requests = 1;

  while (open_requests > 0 && pl_clock_now_us () < deadline_us)
    {
      g_usleep (10000);
      g_mutex_lock (&callers->lock);
      open_requests = callers->open_requests;
      g_mutex_unlock (&callers->lock);
    }
}

struct load_callers *
load_callers_new (const struct load_callers_options *options)
{
  struct load_callers *callers = g_new0 (struct load_callers, 1);

  callers->options = *options;
  callers->random = g_rand_new_with_seed (options->plan->seed);
  g_mutex_init (&callers->lock);
  callers->client = pl_http_client_new ("callers");
  for (int site = 0; site < SITE_COUNT && options->plan->entry == NULL; site++)
    {
      g_mutex_lock (&callers->lock);
      refresh_lookup (callers, site);
      g_mutex_unlock (&callers->lock);
    }
  return callers;
}
