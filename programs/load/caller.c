/* Callers: they ask which hosts to use, keep the answer for its time to live, and try the hosts
 * in order while nothing of the request has run.
 *
 * Work that may not be repeated carries an Idempotency-Key; when its outcome is
 * unknown it is sent again with the same key, as a real caller would.  Every
 * attempt is a line of the history.
 */
#include "load.h"

#include "internal/clock.h"

#include <stdlib.h>
#include <string.h>

#define SITES 6 /* blocks 10.0.0.0/16 to 10.5.0.0/16 */
#define HOSTS_MAX 4
#define TIMEOUT_US 8000000
#define LOOKUP_TIMEOUT_US 1000000
#define RESENDS_MAX 4

struct route_cache
{
  int64_t valid_until_us;
  bool asking;
  int count;
  char hosts[HOSTS_MAX][24];
};

struct load_callers
{
  struct load_callers_options options;
  struct pl_http_client *client;
  GRand *random;
  GMutex lock;
  struct route_cache caches[SITES];
  guint lookup_turn;
  uint64_t next_number;
  uint64_t open;
  uint64_t answered;
};

struct attempt
{
  struct load_callers *callers;
  guint account;
  const struct load_route *route;
  int site;
  int host; /* which of the cached ones */
  char address[24];
  uint64_t number;
  int sends;
  bool inside;
  int64_t due_us;
  int64_t sent_us;
  GString *answer;
  char outcome[16];
  char reason[40];
  int64_t body_left;
};

static void send_attempt (struct attempt *attempt);

static void
on_lookup (void *data, enum pl_http_end end, int status, const char *text)
{
  struct attempt *asker = data; /* a bare record: callers and site only */
  struct load_callers *callers = asker->callers;
  struct route_cache *cache = &callers->caches[asker->site];
  json_t *json = end == PL_HTTP_COMPLETE && status == 200 ? json_loads (text, 0, NULL) : NULL;
  json_t *hosts = json_object_get (json, "hosts");
  json_int_t ttl_ms = json_integer_value (json_object_get (json, "ttl_ms"));
  size_t i;
  json_t *host;

  g_mutex_lock (&callers->lock);
  cache->asking = false;
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
  g_free (asker);
}

/* Asks anew when the cache has run out; the old answer is used meanwhile.  Lock held. */
static void
refresh (struct load_callers *callers, int site)
{
  const struct load_plan *plan = callers->options.plan;
  struct route_cache *cache = &callers->caches[site];
  guint turn = callers->lookup_turn++;
  const char *address
      = json_string_value (json_array_get (plan->lookups, turn % json_array_size (plan->lookups)));
  g_autofree char *url = NULL;
  struct attempt *asker;
  struct pl_http_fetch fetch
      = {.method = "GET", .timeout_us = LOOKUP_TIMEOUT_US, .done = on_lookup};

  if (cache->asking || pl_clock_now_us () < cache->valid_until_us)
    return;
  /* An address that was named before is as good as one from the settings. */
  if (cache->count > 0 && turn % 2 == 0)
    address = cache->hosts[turn / 2 % (guint) cache->count];
  cache->asking = true;
  asker = g_new0 (struct attempt, 1);
  asker->callers = callers;
  asker->site = site;
  url = g_strdup_printf ("http://%s/pomelolatch/lookup?client=10.%d.0.%u", address, site,
                         turn % 250 + 1);
  fetch.url = url;
  fetch.data = asker;
  pl_http_client_fetch (callers->client, &fetch);
}

static bool
choose_host (struct attempt *attempt)
{
  struct load_callers *callers = attempt->callers;
  const struct load_plan *plan = callers->options.plan;
  struct route_cache *cache = &callers->caches[attempt->site];
  bool chosen = true;

  if (plan->entry != NULL)
    {
      g_strlcpy (attempt->address, plan->entry, sizeof attempt->address);
      return true;
    }
  g_mutex_lock (&callers->lock);
  refresh (callers, attempt->site);
  if (cache->count > 0)
    {
      /* Callers of a site share the load between the first two hosts that they were given. */
      int at = (attempt->host + (int) (attempt->number % 2)) % cache->count;

      g_strlcpy (attempt->address, cache->hosts[at], sizeof attempt->address);
    }
  else
    chosen = false;
  g_mutex_unlock (&callers->lock);
  return chosen;
}

static void
write_history (struct attempt *attempt, int status, enum pl_http_end end, bool right)
{
  struct load_callers *callers = attempt->callers;
  const struct load_account *account
      = &g_array_index (callers->options.plan->accounts, struct load_account, attempt->account);

  g_mutex_lock (&callers->lock);
  if (callers->options.history != NULL)
    fprintf (callers->options.history,
             "{\"number\":%lu,\"account\":\"%s\",\"path\":\"%s\",\"unrepeatable\":%s,\"send\":%d,"
             "\"host\":\"%s\",\"sent_us\":%ld,\"done_us\":%ld,\"status\":%d,\"end\":%d,"
             "\"outcome\":\"%s\",\"reason\":\"%s\",\"right\":%s}\n",
             attempt->number, account->name, attempt->route->path,
             attempt->route->unrepeatable ? "true" : "false", attempt->sends, attempt->address,
             attempt->sent_us, pl_clock_now_us (), status, (int) end, attempt->outcome,
             attempt->reason, right ? "true" : "false");
  g_mutex_unlock (&callers->lock);
}

static void
finish (struct attempt *attempt, bool served, bool wrong, const char *reason)
{
  struct load_callers *callers = attempt->callers;
  struct load_result result
      = {attempt->inside, served, wrong, reason != NULL ? g_intern_string (reason) : NULL,
         pl_clock_now_us () - attempt->due_us};

  g_mutex_lock (&callers->lock);
  load_tally_add (&callers->options.tallies[attempt->account], &result);
  callers->open--;
  callers->answered++;
  g_mutex_unlock (&callers->lock);
  g_string_free (attempt->answer, TRUE);
  g_free (attempt);
}

static bool
on_header (void *data, const char *line, size_t length)
{
  struct attempt *attempt = data;
  g_autofree char *text = g_strchomp (g_strndup (line, length));

  if (g_ascii_strncasecmp (text, "Pomelolatch-Outcome: ", 21) == 0)
    g_strlcpy (attempt->outcome, text + 21, sizeof attempt->outcome);
  if (g_ascii_strncasecmp (text, "Pomelolatch-Reason: ", 20) == 0)
    g_strlcpy (attempt->reason, text + 20, sizeof attempt->reason);
  return true;
}

static size_t
on_write (void *data, const char *bytes, size_t length)
{
  struct attempt *attempt = data;

  g_string_append_len (attempt->answer, bytes, (gssize) length);
  return length;
}

static size_t
on_read (void *data, char *bytes, size_t length)
{
  struct attempt *attempt = data;
  size_t part = (size_t) MIN ((int64_t) length, attempt->body_left);

  memset (bytes, 'p', part);
  attempt->body_left -= (int64_t) part;
  return part;
}

/* An answer is right when it is as long as asked for and echoes this request's tag and body. */
static bool
answer_is_right (const struct attempt *attempt)
{
  g_autofree char *start
      = g_strdup_printf ("tag=%lu received=%ld ", attempt->number, attempt->route->body_bytes);

  return g_str_has_prefix (attempt->answer->str, start)
         && (int64_t) attempt->answer->len == attempt->route->answer_bytes;
}

static void
resend (struct attempt *attempt)
{
  attempt->sends++;
  attempt->host++;
  send_attempt (attempt);
}

static void
on_done (void *data, enum pl_http_end end, int status)
{
  struct attempt *attempt = data;
  bool whole = end == PL_HTTP_COMPLETE;
  bool served = whole && status == 200;
  bool wrong = served && !answer_is_right (attempt);
  bool not_run = strcmp (attempt->outcome, "not-run") == 0;
  bool elsewhere = end == PL_HTTP_NOT_SENT
                   || (not_run && status == 503 && strcmp (attempt->reason, "stopping") == 0);
  bool unknown = !served && !elsewhere && !not_run;

  write_history (attempt, status, end, served && !wrong);
  if (attempt->sends < RESENDS_MAX
      && (elsewhere
          || (unknown && attempt->callers->options.plan->resend && attempt->route->fault == NULL)))
    {
      resend (attempt);
      return;
    }
  if (served)
    finish (attempt, !wrong, wrong, wrong ? "wrong-answer" : NULL);
  else if (attempt->reason[0] != '\0')
    finish (attempt, false, false, attempt->reason);
  else
    finish (attempt, false, false, end == PL_HTTP_TRUNCATED ? "cut" : "no-answer");
}

static const struct pl_http_handler handler = {on_header, on_write, on_read, on_done};

static void
send_attempt (struct attempt *attempt)
{
  struct load_callers *callers = attempt->callers;
  const struct load_route *route = attempt->route;
  const struct load_account *account
      = &g_array_index (callers->options.plan->accounts, struct load_account, attempt->account);
  g_autofree char *url = NULL;
  g_autofree char *key = g_strdup_printf ("X-Api-Key: %s", account->key);
  g_autofree char *operation = g_strdup_printf ("Idempotency-Key: op-%u-%lu",
                                                callers->options.plan->seed, attempt->number);
  const char *headers[] = {key, route->unrepeatable ? operation : NULL, NULL};
  struct pl_http_call_options options = {0};

  attempt->outcome[0] = '\0';
  attempt->reason[0] = '\0';
  attempt->body_left = route->body_bytes;
  attempt->sent_us = pl_clock_now_us ();
  g_string_set_size (attempt->answer, 0);
  if (!choose_host (attempt))
    {
      finish (attempt, false, false, "no-lookup");
      return;
    }
  url = g_strdup_printf ("http://%s%s/%lu?tag=%lu&bytes=%ld%s%s", attempt->address, route->path,
                         attempt->number, attempt->number, route->answer_bytes,
                         route->fault != NULL ? "&fault=" : "",
                         route->fault != NULL ? route->fault : "");
  options.method = route->method;
  options.url = url;
  options.headers = headers;
  options.body_length = route->body_bytes;
  options.timeout_us = TIMEOUT_US;
  options.fresh_connection = attempt->sends > 0;
  options.handler = &handler;
  options.data = attempt;
  pl_http_call_unref (pl_http_client_start (callers->client, &options));
}

static const struct load_route *
choose_route (struct load_callers *callers)
{
  const struct load_plan *plan = callers->options.plan;
  int at = g_rand_int_range (callers->random, 0, plan->weight_sum);
  guint i = 0;

  for (; i + 1 < plan->routes->len; i++)
    {
      at -= g_array_index (plan->routes, struct load_route, i).weight;
      if (at < 0)
        break;
    }
  return &g_array_index (plan->routes, struct load_route, i);
}

void
load_callers_send (struct load_callers *callers, guint account, int64_t due_us)
{
  struct attempt *attempt = g_new0 (struct attempt, 1);

  attempt->callers = callers;
  attempt->account = account;
  attempt->route = choose_route (callers);
  attempt->site = g_rand_int_range (callers->random, 0, SITES);
  attempt->due_us = due_us;
  attempt->answer = g_string_new (NULL);
  g_mutex_lock (&callers->lock);
  attempt->number = ++callers->next_number;
  attempt->inside = load_tally_arrive (&callers->options.tallies[account], due_us);
  callers->open++;
  g_mutex_unlock (&callers->lock);
  send_attempt (attempt);
}

struct pl_http_client *
load_callers_client (struct load_callers *callers)
{
  return callers->client;
}

uint64_t
load_callers_answered (struct load_callers *callers)
{
  uint64_t answered;

  g_mutex_lock (&callers->lock);
  answered = callers->answered;
  g_mutex_unlock (&callers->lock);
  return answered;
}

void
load_callers_end_history (struct load_callers *callers)
{
  g_mutex_lock (&callers->lock);
  callers->options.history = NULL;
  g_mutex_unlock (&callers->lock);
}

void
load_callers_wait (struct load_callers *callers, int64_t limit_us)
{
  int64_t until_us = pl_clock_now_us () + limit_us;
  uint64_t open = 1;

  while (open > 0 && pl_clock_now_us () < until_us)
    {
      g_usleep (10000);
      g_mutex_lock (&callers->lock);
      open = callers->open;
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
  for (int site = 0; site < SITES && options->plan->entry == NULL; site++)
    {
      g_mutex_lock (&callers->lock);
      refresh (callers, site);
      g_mutex_unlock (&callers->lock);
    }
  return callers;
}
