/* Ledger of the soak: records requests, runs and answers and checks these invariants:
 *
 *  - TWICE: a request that is not repeatable runs at most once;
 *  - REFUSED: a request answered with "not run" (503, 429, 408, 421) never runs, before or after;
 *  - MIXED: an answer that bears a server's stamp is that server's to this request, with its status
 *    and all of its body; a success bears one; nothing follows an answer;
 *  - LOST: a request that a steady host has read is answered; one that a server got from it also
 *    while the host stops;
 *  - a server runs only requests that a caller sent, for the account of their key;
 *  - a withdrawn key works no more after the time in which a configuration is in force;
 *  - a leaving server gets no request after the drain time;
 *  - the runs of an account in any five seconds stay within its rate, its burst and the
 *    slack that the users allow;
 *  - a server that names a rate limit gets in any four seconds at most one and a half times what
 *    that allows, and five requests;
 *  - HOME: a request reaches only servers in the home regions of its route and account, as a
 *    configuration that may be in force names them, and its body only hosts there or in its
 * caller's region;
 *  - callers of hosts that are cut off from all servers are served at least two thirds as often as
 *    the others.
 *
 * Time limits, such as the drain time, are checked only while nothing that they depend on is
 * disrupted.
 */
#include "soak.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DRAIN_US (2 * SOAK_SECOND)
/* Time limits are checked again this long after a disruption; the users count the same way. */
#define STABLE_US (3 * SOAK_SECOND)
/* The same time, without that after which soak_host_is_steady() counts a host as steady. */
#define HOST_SETTLE_US SOAK_SECOND
#define QUOTA_WINDOW_US (5 * SOAK_SECOND)
#define LIMIT_WINDOW_US (4 * SOAK_SECOND)
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5
/* Failures at hosts that are cut off that are accepted in any case: so many, and a fraction of all
 * tries. */
#define CUT_FAILURES 10
#define CUT_FAILURE_RATIO 0.02
#define STATUS_MAX 599
#define ALL_REGIONS 3u /* a and b, a bit for each */

/* What a server answered to a request. */
struct reply
{
  char stamp[24];
  int status;
};

struct record
{
  char account[32];
  char key[32];
  bool at_most_once;
  bool has_homes;  /* by its route */
  int host;        /* that it was sent to */
  int64_t sent_us; /* to that host */
  guint regions;   /* in which it might run until its caller had the answer */
  int run_count;
  int status;      /* 0: no answer yet */
  GArray *replies; /* of struct reply; NULL: none */
  GString *events; /* its runs and replies, for reports */
};

/* A version of the configuration, in the store from FROM_US until the next one. */
struct version
{
  int64_t from_us;
  int number;
};

static GMutex lock;
static GArray *versions;     /* of struct version */
static GHashTable *records;  /* id -> struct record */
static GArray *run_times[2]; /* by account */
static const char *const accounts[2] = {"shop", "desk"};
static char withdrawn_key[32];
static int64_t withdrawn_us;
static int64_t disrupted_until_us[DISRUPTION_COUNT]; /* INT64_MAX: disrupted now; 0: never */
static int active_disruptions[DISRUPTION_COUNT];
static int64_t leaving_since_us[SOAK_SERVERS_MAX]; /* 0: it is not leaving */
static GArray *limited_times;    /* of requests at the server with a limit, in one window */
static int64_t first_limited_us; /* 0: none yet */
static guint max_limited;        /* in one window */
struct tries
{
  int all;
  int served;
};
static struct tries tries[2]; /* at hosts that reach servers, and at hosts that do not */
static int64_t tries_from_us; /* when counting began */
static int violations;
static int replies[2];     /* rejections, and all others */
static int bound_arrivals; /* at servers, which are not so in all regions */
static int bound_handovers;
static int no_answers;
static int unexcused_no_answers;
static int sent;
static int served;
static int statuses[STATUS_MAX + 1]; /* of answers at callers */

static void
free_record (gpointer data)
{
  struct record *record = data;

  if (record->replies != NULL)
    g_array_unref (record->replies);
  g_string_free (record->events, TRUE);
  g_free (record);
}

void
soak_ledger_start (void)
{
  records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_record);
  versions = g_array_new (FALSE, FALSE, sizeof (struct version));
  limited_times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (int i = 0; i < 2; i++)
    run_times[i] = g_array_new (FALSE, FALSE, sizeof (int64_t));
}

void
soak_ledger_report_violation (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  printf ("BROKEN at %.3f s: ", (double) soak_now_us () / 1e6);
  vprintf (format, arguments);
  putchar ('\n');
  fflush (stdout);
  va_end (arguments);
  violations++;
}

void
soak_ledger_set_disrupted (enum soak_disruption disruption, bool on)
{
  g_mutex_lock (&lock);
  active_disruptions[disruption] += on ? 1 : -1;
  disrupted_until_us[disruption] = active_disruptions[disruption] > 0 ? INT64_MAX : soak_now_us ();
  g_mutex_unlock (&lock);
}

static bool
is_stable (enum soak_disruption disruption, int64_t since_us)
{
  return disrupted_until_us[disruption] == 0
         || (disrupted_until_us[disruption] != INT64_MAX
             && disrupted_until_us[disruption] + STABLE_US < since_us);
}

void
soak_ledger_withdraw_key (const char *key)
{
  g_mutex_lock (&lock);
  g_strlcpy (withdrawn_key, key, sizeof withdrawn_key);
  withdrawn_us = soak_now_us ();
  g_mutex_unlock (&lock);
}

void
soak_ledger_record_version (int version)
{
  struct version next = {soak_now_us (), version};

  g_mutex_lock (&lock);
  g_array_append_val (versions, next);
  g_mutex_unlock (&lock);
}

/* Returns the regions in which RECORD may run, by any version that has been in force since its
 * caller sent it.  When the store was disrupted, or its host, before that or since, these are all.
 */
static guint
regions_of (const struct record *record)
{
  bool is_desk = strcmp (record->account, "desk") == 0;
  guint regions = 0;

  if (!is_stable (DISRUPTION_STORE, record->sent_us)
      || !soak_host_is_steady (record->host, record->sent_us - HOST_SETTLE_US))
    return ALL_REGIONS;
  for (guint i = versions->len; i-- > 0;)
    {
      const struct version *version = &g_array_index (versions, struct version, i);

      regions |= (record->has_homes ? 1u << version->number % 2 : ALL_REGIONS)
                 & (is_desk ? 1u << version->number / 2 % 2 : ALL_REGIONS);
      if (version->from_us + SOAK_CONFIG_US < record->sent_us)
        break;
    }
  return regions;
}

static guint
region_bit (int member)
{
  return 1u << (soak_domain_of (member)[0] - 'a');
}

static void
check_homes (const char *id, const struct record *record, int server)
{
  guint regions = regions_of (record);

  bound_arrivals += regions != ALL_REGIONS;
  if ((regions & region_bit (server)) == 0)
    soak_ledger_report_violation ("HOME: %s of %s at host %d, sent at %.3f, reached server %d%s",
                                  id, record->account, record->host, (double) record->sent_us / 1e6,
                                  server, record->events->str);
}

void
soak_ledger_check_handover (const char *id, int peer)
{
  const struct record *record = g_hash_table_lookup (records, id);

  if (record == NULL)
    return;
  bound_handovers += record->regions != ALL_REGIONS;
  if (((record->regions | region_bit (atoi (id + 1))) & region_bit (peer)) == 0)
    soak_ledger_report_violation ("HOME: the body of %s of %s, sent at %.3f, went to host %d", id,
                                  record->account, (double) record->sent_us / 1e6, peer);
}

void
soak_ledger_record_sent (const char *id, const char *account, const char *key, const char *path,
                         int host)
{
  struct record *record = g_new0 (struct record, 1);

  g_strlcpy (record->account, account, sizeof record->account);
  record->at_most_once = !g_str_has_prefix (path, "/read");
  record->has_homes = g_str_has_suffix (path, SOAK_HOME_PATH);
  record->host = host;
  g_strlcpy (record->key, key, sizeof record->key);
  record->sent_us = soak_now_us ();
  record->regions = ALL_REGIONS;
  record->events = g_string_new (NULL);
  g_mutex_lock (&lock);
  g_hash_table_insert (records, g_strdup (id), record);
  sent++;
  g_mutex_unlock (&lock);
}

static const char *
kind_of (const struct record *record)
{
  return record->at_most_once ? "" : " (repeatable)";
}

static bool
means_not_run (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
check_leaving_server (const char *id, int server, int64_t now_us)
{
  int64_t since_us = leaving_since_us[server];

  if (since_us != 0 && now_us - since_us > DRAIN_US && is_stable (DISRUPTION_STORE, since_us)
      && is_stable (DISRUPTION_HOSTS, since_us) && is_stable (DISRUPTION_SERVERS, since_us))
    soak_ledger_report_violation ("%s reached server %d %.1f s after it left", id, server,
                                  (double) (now_us - since_us) / 1e6);
}

void
soak_ledger_record_run (const char *id, const char *account, int server)
{
  int64_t now_us = soak_now_us ();
  struct record *record;

  g_mutex_lock (&lock);
  record = g_hash_table_lookup (records, id);
  if (record == NULL)
    soak_ledger_report_violation ("server %d ran '%s', which no caller sent", server, id);
  else
    {
      record->run_count++;
      g_string_append_printf (record->events, "; run at %.3f by %d", (double) now_us / 1e6, server);
      if (strcmp (record->account, account) != 0)
        soak_ledger_report_violation ("%s of %s ran for '%s'", id, record->account, account);
      if (record->at_most_once && record->run_count > 1)
        soak_ledger_report_violation ("TWICE: %s ran %d times%s", id, record->run_count,
                                      record->events->str);
      if (means_not_run (record->status))
        soak_ledger_report_violation ("REFUSED: %s%s ran after it was answered %d%s", id,
                                      kind_of (record), record->status, record->events->str);
      for (int i = 0; i < 2; i++)
        if (strcmp (accounts[i], account) == 0)
          g_array_append_val (run_times[i], now_us);
      check_leaving_server (id, server, now_us);
      check_homes (id, record, server);
    }
  g_mutex_unlock (&lock);
}

void
soak_ledger_record_limited (void)
{
  double bound = SOAK_SERVER_LIMIT * LIMIT_FACTOR * (double) LIMIT_WINDOW_US / 1e6 + LIMIT_SLACK;
  int64_t now_us = soak_now_us ();

  g_mutex_lock (&lock);
  if (first_limited_us == 0)
    first_limited_us = now_us;
  /* Hosts that restart or are paused, and requests that were held up, are excused. */
  if (now_us - first_limited_us < STABLE_US || !is_stable (DISRUPTION_HOSTS, now_us)
      || !is_stable (DISRUPTION_SERVERS, now_us))
    g_array_set_size (limited_times, 0);
  else
    g_array_append_val (limited_times, now_us);
  while (limited_times->len > 0
         && now_us - g_array_index (limited_times, int64_t, 0) > LIMIT_WINDOW_US)
    g_array_remove_index (limited_times, 0);
  max_limited = MAX (max_limited, limited_times->len);
  if (limited_times->len > bound)
    {
      soak_ledger_report_violation (
          "the server with a limit got %u requests in four seconds, it allows %.0f",
          limited_times->len, bound);
      g_array_set_size (limited_times, 0);
    }
  g_mutex_unlock (&lock);
}

void
soak_ledger_record_reply (const char *id, const char *stamp, int status)
{
  struct reply reply = {.status = status};
  struct record *record;

  g_strlcpy (reply.stamp, stamp, sizeof reply.stamp);
  g_mutex_lock (&lock);
  record = g_hash_table_lookup (records, id);
  if (record == NULL)
    soak_ledger_report_violation ("a server got '%s', which no caller sent", id);
  else
    {
      if (record->replies == NULL)
        record->replies = g_array_new (FALSE, FALSE, sizeof reply);
      g_array_append_val (record->replies, reply);
      g_string_append_printf (record->events, "; %d at %.3f with %s", status,
                              (double) soak_now_us () / 1e6, stamp);
      replies[!means_not_run (status)]++;
      if (record->run_count == 0)
        check_homes (id, record, atoi (stamp));
    }
  g_mutex_unlock (&lock);
}

/* Checks that a server gave the answer to this request. */
static void
check_stamp (const char *id, const struct record *record, int status, const char *stamp)
{
  guint count = record->replies != NULL ? record->replies->len : 0;

  if (stamp[0] == '\0')
    {
      if (status >= 200 && status < 300)
        soak_ledger_report_violation ("MIXED: %s was answered %d by no server%s", id, status,
                                      record->events->str);
      return;
    }
  for (guint i = 0; i < count; i++)
    {
      const struct reply *reply = &g_array_index (record->replies, struct reply, i);

      if (strcmp (reply->stamp, stamp) != 0)
        continue;
      if (reply->status != status)
        soak_ledger_report_violation ("MIXED: %s was answered %d where the server said %d%s", id,
                                      status, reply->status, record->events->str);
      return;
    }
  soak_ledger_report_violation ("MIXED: %s was answered %d with %s of another request%s", id,
                                status, stamp, record->events->str);
}

void
soak_ledger_record_answer (const char *id, int status, const char *stamp)
{
  struct record *record;

  g_mutex_lock (&lock);
  record = g_hash_table_lookup (records, id);
  record->status = status;
  record->regions = regions_of (record);
  served += status == 200;
  statuses[CLAMP (status, 0, STATUS_MAX)]++;
  if (means_not_run (status) && record->run_count > 0)
    soak_ledger_report_violation ("REFUSED: %s%s was answered %d but has run%s", id,
                                  kind_of (record), status, record->events->str);
  check_stamp (id, record, status, stamp);
  if (status == 200 && strcmp (record->key, withdrawn_key) == 0
      && record->sent_us - withdrawn_us > SOAK_CONFIG_US
      && is_stable (DISRUPTION_STORE, withdrawn_us) && is_stable (DISRUPTION_HOSTS, withdrawn_us))
    soak_ledger_report_violation ("%s ran with a key withdrawn %.1f s before", id,
                                  (double) (record->sent_us - withdrawn_us) / 1e6);
  g_mutex_unlock (&lock);
}

void
soak_ledger_record_no_answer (const char *id, bool is_new, const char *reason)
{
  struct record *record;
  bool has_arrived;

  g_mutex_lock (&lock);
  record = g_hash_table_lookup (records, id);
  no_answers++;
  record->regions = regions_of (record);
  has_arrived = record->run_count > 0 || record->replies != NULL;
  /* What a server got must be answered during a stop, too.  Else the request may not have reached
   * the host: on a kept connection it may have crossed the host's close. */
  if ((has_arrived ? soak_host_is_undisrupted (record->host, record->sent_us)
                   : is_new && soak_host_is_steady (record->host, record->sent_us))
      && is_stable (DISRUPTION_CALLERS, record->sent_us))
    {
      unexcused_no_answers++;
      soak_ledger_report_violation ("LOST: %s at host %d%s: %s%s", id, record->host,
                                    kind_of (record), reason, record->events->str);
    }
  g_mutex_unlock (&lock);
}

void
soak_ledger_set_leaving (int server, bool leaving)
{
  g_mutex_lock (&lock);
  if (!leaving || leaving_since_us[server] == 0)
    leaving_since_us[server] = leaving ? soak_now_us () : 0;
  g_mutex_unlock (&lock);
}

void
soak_ledger_start_tries (void)
{
  g_mutex_lock (&lock);
  memset (tries, 0, sizeof tries);
  tries_from_us = soak_now_us ();
  g_mutex_unlock (&lock);
}

void
soak_ledger_record_try (bool is_cut, bool is_served, int64_t begun_us)
{
  g_mutex_lock (&lock);
  if (begun_us >= tries_from_us)
    {
      tries[is_cut].all++;
      tries[is_cut].served += is_served;
    }
  g_mutex_unlock (&lock);
}

void
soak_ledger_check_tries (void)
{
  const struct tries *open = &tries[0];
  const struct tries *cut = &tries[1];

  g_mutex_lock (&lock);
  printf ("hosts cut off from the servers served %d of %d, the others %d of %d\n", cut->served,
          cut->all, open->served, open->all);
  if (cut->served * 3.0 * open->all < open->served * 2.0 * cut->all
      && cut->all - cut->served > CUT_FAILURES + CUT_FAILURE_RATIO * (cut->all + open->all))
    soak_ledger_report_violation ("hosts cut off from the servers served %d of %d", cut->served,
                                  cut->all);
  g_mutex_unlock (&lock);
}

static void
check_quota (int account)
{
  const GArray *times = run_times[account];
  double bound = (SOAK_ACCOUNT_RATE * 5 + SOAK_ACCOUNT_RATE) * 1.1 + 20;
  guint from = 0;
  guint max_runs = 0;
  int64_t max_until_us = 0;

  for (guint i = 0; i < times->len; i++)
    {
      int64_t until_us = g_array_index (times, int64_t, i);

      while (until_us - g_array_index (times, int64_t, from) > QUOTA_WINDOW_US)
        from++;
      if (i - from + 1 > max_runs)
        {
          max_runs = i - from + 1;
          max_until_us = until_us;
        }
    }
  printf ("%s: at most %u runs in five seconds, %.0f allowed\n", accounts[account], max_runs,
          bound);
  if (max_runs > bound)
    soak_ledger_report_violation (
        "%s ran %u requests in the five seconds to %.3f s, %.0f are allowed", accounts[account],
        max_runs, (double) max_until_us / 1e6, bound);
}

int
soak_ledger_finish (void)
{
  for (int i = 0; i < 2; i++)
    check_quota (i);
  if (served * 10 < sent)
    soak_ledger_report_violation ("only %d of %d requests were served", served, sent);
  return violations;
}

void
soak_ledger_print_summary (void)
{
  printf ("server with a limit of %d a second: at most %u requests in four seconds\n",
          SOAK_SERVER_LIMIT, max_limited);
  printf ("bound to home regions: %d arrivals at servers, %d hand-overs\n", bound_arrivals,
          bound_handovers);
  printf ("servers rejected %d and answered %d; %d requests without an answer, %d not excused\n",
          replies[0], replies[1], no_answers, unexcused_no_answers);
  for (int status = 0; status <= STATUS_MAX; status++)
    if (statuses[status] > 0)
      printf ("%d: %d, ", status, statuses[status]);
  printf ("sent %d, violations %d\n", sent, violations);
}
