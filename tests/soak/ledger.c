/* What was promised and what happened.
 *
 *  - work that runs once ran at most once;
 *  - a request that was told "not run" (503, 429, 408, 421) ran nowhere, then or later;
 *  - a server ran only what a caller sent, for the account whose key came with it;
 *  - a server that leaves gets nothing after the drain time, while the store is well;
 *  - an account's runs in any five seconds stay within rate and burst and the users' slack.
 *
 * Bounds with a time count only while what they depend on was not harmed.
 */
#include "soak.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define DRAIN_US (2 * SOAK_SECOND)
/* As the users count: a host is judged again this long after a disruption. */
#define STABLE_US (3 * SOAK_SECOND)
#define QUOTA_WINDOW_US (5 * SOAK_SECOND)

struct entry
{
  char account[32];
  bool once;
  int runs;
  int status; /* 0: not told yet */
};

static GMutex lock;
static GHashTable *entries; /* id -> struct entry */
static GArray *runs[2];     /* times, by account */
static const char *const accounts[2] = {"shop", "desk"};
static int64_t harmed_until[TROUBLE_COUNT]; /* INT64_MAX: it is harmed now */
static int harmed_depth[TROUBLE_COUNT];
static int64_t left_at[SOAK_SERVERS_MAX]; /* 0: it does not leave */
static int broken;
static int sent;
static int served;
static int refused;

void
soak_ledger_start (void)
{
  entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (int i = 0; i < 2; i++)
    runs[i] = g_array_new (FALSE, FALSE, sizeof (int64_t));
}

void
soak_ledger_break (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  printf ("BROKEN at %.3f s: ", (double) soak_now_us () / 1e6);
  vprintf (format, arguments);
  putchar ('\n');
  fflush (stdout);
  va_end (arguments);
  broken++;
}

void
soak_ledger_trouble (enum soak_trouble trouble, bool on)
{
  g_mutex_lock (&lock);
  harmed_depth[trouble] += on ? 1 : -1;
  harmed_until[trouble] = harmed_depth[trouble] > 0 ? INT64_MAX : soak_now_us ();
  g_mutex_unlock (&lock);
}

static bool
is_calm (enum soak_trouble trouble, int64_t since_us)
{
  return harmed_until[trouble] == 0
         || (harmed_until[trouble] != INT64_MAX && harmed_until[trouble] + STABLE_US < since_us);
}

bool
soak_ledger_calm (enum soak_trouble trouble, int64_t since_us)
{
  bool calm;

  g_mutex_lock (&lock);
  calm = is_calm (trouble, since_us);
  g_mutex_unlock (&lock);
  return calm;
}

void
soak_ledger_sent (const char *id, const char *account, bool once)
{
  struct entry *entry = g_new0 (struct entry, 1);

  g_strlcpy (entry->account, account, sizeof entry->account);
  entry->once = once;
  g_mutex_lock (&lock);
  g_hash_table_insert (entries, g_strdup (id), entry);
  sent++;
  g_mutex_unlock (&lock);
}

static bool
promises_not_run (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
check_leaving (const char *id, int server, int64_t now_us)
{
  int64_t left_us = left_at[server];

  if (left_us != 0 && now_us - left_us > DRAIN_US && is_calm (TROUBLE_STORE, left_us)
      && is_calm (TROUBLE_HOSTS, left_us) && is_calm (TROUBLE_SERVERS, left_us))
    soak_ledger_break ("%s reached server %d %.1f s after it left", id, server,
                       (double) (now_us - left_us) / 1e6);
}

void
soak_ledger_ran (const char *id, const char *account, int server)
{
  int64_t now_us = soak_now_us ();
  struct entry *entry;

  g_mutex_lock (&lock);
  entry = g_hash_table_lookup (entries, id);
  if (entry == NULL)
    soak_ledger_break ("server %d ran '%s', which nobody sent", server, id);
  else
    {
      entry->runs++;
      if (strcmp (entry->account, account) != 0)
        soak_ledger_break ("%s of %s ran for '%s'", id, entry->account, account);
      if (entry->once && entry->runs > 1)
        soak_ledger_break ("%s ran %d times", id, entry->runs);
      if (promises_not_run (entry->status))
        soak_ledger_break ("%s ran after it was told %d", id, entry->status);
      for (int i = 0; i < 2; i++)
        if (strcmp (accounts[i], account) == 0)
          g_array_append_val (runs[i], now_us);
      check_leaving (id, server, now_us);
    }
  g_mutex_unlock (&lock);
}

void
soak_ledger_told (const char *id, int status)
{
  struct entry *entry;

  g_mutex_lock (&lock);
  entry = g_hash_table_lookup (entries, id);
  entry->status = status;
  served += status == 200;
  refused += promises_not_run (status);
  if (promises_not_run (status) && entry->runs > 0)
    soak_ledger_break ("%s was told %d and has run", id, status);
  g_mutex_unlock (&lock);
}

void
soak_ledger_left (int server, bool left)
{
  g_mutex_lock (&lock);
  if (!left)
    left_at[server] = 0;
  else if (left_at[server] == 0)
    left_at[server] = soak_now_us ();
  g_mutex_unlock (&lock);
}

static void
check_quota (int account)
{
  const GArray *times = runs[account];
  double bound = (SOAK_ACCOUNT_RATE * 5 + SOAK_ACCOUNT_RATE) * 1.1 + 20;
  guint from = 0;
  guint most = 0;
  int64_t most_until_us = 0;

  for (guint i = 0; i < times->len; i++)
    {
      int64_t until_us = g_array_index (times, int64_t, i);

      while (until_us - g_array_index (times, int64_t, from) > QUOTA_WINDOW_US)
        from++;
      if (i - from + 1 > most)
        {
          most = i - from + 1;
          most_until_us = until_us;
        }
    }
  printf ("%s: at most %u runs in five seconds, %.0f allowed\n", accounts[account], most, bound);
  if (most > bound)
    soak_ledger_break ("%s ran %u requests in the five seconds to %.3f s, %.0f are allowed",
                       accounts[account], most, (double) most_until_us / 1e6, bound);
}

int
soak_ledger_finish (void)
{
  for (int i = 0; i < 2; i++)
    check_quota (i);
  if (served * 10 < sent)
    soak_ledger_break ("only %d of %d requests were served", served, sent);
  return broken;
}

void
soak_ledger_summary (void)
{
  printf ("sent %d, served %d, refused %d, broken promises %d\n", sent, served, refused, broken);
}
