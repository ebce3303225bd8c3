/* The operator adds a route, two accounts or two services with names of more than 63 characters.
 *
 * Callers send orders to three entry hosts, on kept connections, all the while; the servers and the
 * store are sound.  Two seconds after the new configuration has been acknowledged the callers use
 * what is new in it. */
#include "rig.h"

#include <pthread.h>
#include <string.h>

#define HOSTS 3
#define SERVERS 6
#define CALLERS 18
#define PAUSE_US (10 * RIG_MS)
#define CHANGE_AT_US (3 * RIG_SECOND)
/* Config: a configuration is in force this long after its acknowledgement. */
#define CONFIG_US (2 * RIG_SECOND)
#define END_US (20 * RIG_SECOND)
#define WATCH_US (100 * RIG_MS)
#define RECONNECT_US (300 * RIG_MS)
#define LOST_MAX 3
#define STATUS_MAX 600
#define VIOLATION_LINES 20

/* 72 characters each. */
static const char *const long_names[]
    = {"measurement-sheet-lookup-for-municipal-housing-and-private-fitters-north",
       "measurement-sheet-lookup-for-municipal-housing-and-private-fitters-south"};
static const char *const long_keys[] = {"key-new-north", "key-new-south"};

/* What has the new names. */
enum subject
{
  SUBJECT_ROUTE,
  SUBJECT_ACCOUNT,
  SUBJECT_SERVICE,
  SUBJECT_COUNT,
};

static const char *const subject_names[SUBJECT_COUNT] = {"route", "account", "service"};
static enum subject subject;
static int is_over;
static int has_changed;
static GMutex lock;
static GHashTable *runs; /* id of a request -> the X-Tenant with which it ran */
static int lost[HOSTS];  /* ran, from a kept connection that was closed without an answer */
static int ended[HOSTS]; /* processes that ended by themselves */
static int foreign;      /* ran for another account than the one that holds the key */
static int misrouted;    /* ran at a service to which no route that is used leads */
static int statuses[STATUS_MAX];

static void
on_run (struct rig_server *server, const char *id, const char *tenant, const char *path)
{
  rig_record ("run %s at %s of service '%s', path %s, X-Tenant '%s'", id, server->id,
              server->service, path, tenant);
  g_mutex_lock (&lock);
  if (strcmp (server->service, long_names[1]) == 0 && misrouted++ < VIOLATION_LINES)
    rig_record ("ROUTE: %s, path %s, has run at service '%s'", id, path, server->service);
  g_hash_table_insert (runs, g_strdup (id), g_strdup (tenant));
  g_mutex_unlock (&lock);
}

static void
add_route (GString *text, const char *name, const char *prefix, const char *service)
{
  g_string_append_printf (
      text,
      "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"%s\"},\"Spec\":{"
      "\"Host\":\"orders.example\",\"Prefix\":\"%s\",\"Kind\":\"non_idempotent\","
      "\"Timeout\":\"1000ms\",\"TargetLatency\":\"200ms\",\"Priority\":1,"
      "\"Service\":\"%s\",\"Attempts\":2,\"Public\":false,\"Sticky\":false,"
      "\"HomeRegions\":[]}},",
      name, prefix, service);
}

static void
add_account (GString *text, const char *name, const char *key)
{
  g_string_append_printf (text,
                          "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"%s\"},"
                          "\"Spec\":{\"ApiKeys\":[\"%s\"]}},",
                          name, key);
}

static void
add_service (GString *text, const char *name)
{
  g_string_append_printf (text,
                          "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"%s\"},"
                          "\"Spec\":{\"HealthPath\":\"/health\",\"MaxConnections\":330,"
                          "\"ColdStart\":\"0s\",\"ColdPerS\":100}},",
                          name);
}

static void
add_new (GString *text)
{
  switch (subject)
    {
    case SUBJECT_ROUTE:
      add_route (text, long_names[0], "/orders/bulk/", "orderbook");
      break;
    case SUBJECT_ACCOUNT:
      add_account (text, long_names[0], long_keys[0]);
      add_account (text, long_names[1], long_keys[1]);
      break;
    case SUBJECT_SERVICE:
      add_service (text, long_names[0]);
      add_service (text, long_names[1]);
      add_route (text, "r-bulk", "/orders/bulk/", long_names[0]);
      add_route (text, "r-unused", "/unused/", long_names[1]);
      break;
    case SUBJECT_COUNT:
      break;
    }
}

static char *
make_config (bool is_second)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"Version\":\"r%d\",\"Resources\":[", is_second ? 5 : 3);
  add_service (text, "orderbook");
  add_route (text, "r-order", "/orders/", "orderbook");
  add_account (text, "mill-north", "key-north");
  if (is_second)
    add_new (text);
  g_string_append (text, "{\"ResourceKind\":\"Limits\",\"Metadata\":{\"Name\":\"limits\"},"
                         "\"Spec\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,"
                         "\"HeaderTimeout\":\"5s\",\"IdleTimeout\":\"30s\"}}]}");
  return g_string_free (text, FALSE);
}

static void
judge (int host, const char *account, const struct rig_answer *answer)
{
  const char *tenant;

  rig_record ("sent %s to host %d, key of '%s': %s, status %d, stamp '%s'", answer->id, host,
              account, rig_end_names[answer->end], answer->status, answer->stamp);
  g_mutex_lock (&lock);
  tenant = g_hash_table_lookup (runs, answer->id);
  if (answer->end == RIG_ANSWERED)
    statuses[answer->status % STATUS_MAX]++;
  if (tenant != NULL && answer->was_kept && (answer->end == RIG_CLOSED || answer->end == RIG_RESET))
    {
      lost[host]++;
      rig_record ("LOST: %s, from a kept connection to host %d, has run and is not answered",
                  answer->id, host);
    }
  if (tenant != NULL && strcmp (tenant, account) != 0)
    {
      if (foreign++ < VIOLATION_LINES)
        rig_record ("UNASKED: %s has the key of '%s' and has run with X-Tenant '%s'", answer->id,
                    account, tenant);
    }
  g_mutex_unlock (&lock);
}

static void *
call (void *data)
{
  int number = GPOINTER_TO_INT (data);
  int host = number % HOSTS;
  int which = number / HOSTS % 2;
  int kept_fd = -1;

  while (g_atomic_int_get (&is_over) == 0)
    {
      bool uses_new = g_atomic_int_get (&has_changed) != 0;
      const char *account
          = uses_new && subject == SUBJECT_ACCOUNT ? long_names[which] : "mill-north";
      struct rig_request request = {
          .address = rig_host_address (host),
          .method = "POST",
          .host = "orders.example",
          .path = "/orders/bulk/1",
          .key = uses_new && subject == SUBJECT_ACCOUNT ? long_keys[which] : "key-north",
          .body = "ten bolts",
          .deadline_ms = 1500,
          .kept_fd = &kept_fd,
      };
      struct rig_answer answer;

      rig_request (&request, &answer);
      judge (host, account, &answer);
      rig_sleep_us (answer.end == RIG_REFUSED ? RECONNECT_US : PAUSE_US);
    }
  return NULL;
}

/* The platform restarts processes that end. */
static void
watch_hosts (int64_t until_us)
{
  while (rig_now_us () < until_us)
    {
      rig_sleep_us (WATCH_US);
      for (int i = 0; i < HOSTS; i++)
        if (!rig_host_is_running (i))
          {
            ended[i]++;
            rig_host_restart (i);
          }
    }
}

/* Starts the servers of the new services. */
static void
add_servers (void)
{
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-new-%d", i);

      rig_server_add (id, long_names[i % 2], SERVERS + i);
    }
}

static void
start_all (void)
{
  g_autofree char *config = make_config (false);

  rig_store_start ();
  rig_servers_on_run (on_run);
  rig_store_put ("op", "config", config);
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%d", i);

      rig_server_add (id, "orderbook", i);
    }
  rig_servers_start_beats ();
  rig_hosts_start (HOSTS);
  rig_hosts_wait_ready (10 * RIG_SECOND);
}

/* Writes what was seen.  Returns whether a rule was broken. */
static bool
report (void)
{
  bool failed = foreign > 0 || misrouted > 0;

  for (int i = 0; i < HOSTS; i++)
    {
      rig_record (
          "host %d: its process ended by itself %d times; %d requests from kept connections "
          "ran and were not answered",
          i, ended[i], lost[i]);
      failed = failed || lost[i] > LOST_MAX;
    }
  for (int i = 0; i < STATUS_MAX; i++)
    if (statuses[i] > 0)
      rig_record ("status %d: %d times", i, statuses[i]);
  rig_record ("requests run for another account than that of their key: %d", foreign);
  rig_record ("requests run by a service to which no used route leads: %d", misrouted);
  return failed;
}

int
main (int argc, char **argv)
{
  pthread_t callers[CALLERS];
  int64_t start_us;

  if (argc != 3)
    return 2;
  while (subject < SUBJECT_COUNT && strcmp (argv[2], subject_names[subject]) != 0)
    subject++;
  if (subject == SUBJECT_COUNT)
    return 2;
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rig_begin (argv[1]);
  start_all ();
  start_us = rig_now_us ();
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&callers[i], NULL, call, GINT_TO_POINTER (i));
  watch_hosts (start_us + CHANGE_AT_US);
  if (rig_has_trouble ())
    {
      g_autofree char *config = make_config (true);

      rig_store_put ("op", "config", config);
      rig_record ("the operator has written r5, which adds %s '%s'", subject_names[subject],
                  long_names[0]);
      if (subject == SUBJECT_SERVICE)
        add_servers ();
    }
  watch_hosts (start_us + CHANGE_AT_US + CONFIG_US);
  g_atomic_int_set (&has_changed, rig_has_trouble ());
  watch_hosts (start_us + END_US);
  g_atomic_int_set (&is_over, 1);
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  rig_end (report ());
}
