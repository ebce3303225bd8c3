/* The operator takes a key away and, in the same configuration, splits a route over two services
 * with weights of 0.9 and 0.1.
 *
 * Callers send idempotent requests with that key to all hosts all the while.  With TROUBLE=0 the
 * configuration takes the key away and splits nothing. */
#include "rig.h"

#include <pthread.h>
#include <string.h>

#define HOSTS 3
#define SERVERS 6
#define CALLERS 9
#define PAUSE_US (40 * RIG_MS)
#define CHANGE_AT_US (4 * RIG_SECOND)
#define CONFIG_US (2 * RIG_SECOND)
#define END_US (20 * RIG_SECOND)

static const char *const services[] = {"stockroom", "stockroom-next"};
static int is_over;
static GMutex lock;
static int64_t acknowledged_us; /* the configuration without the key; 0: not yet */
static int late[HOSTS]; /* requests with the key, sent after Config, that a server has run */
static int64_t last_late_us;

static char *
make_config (int version, const char *keys, bool is_split)
{
  const char *target = is_split ? "\"TrafficSplit\":[{\"Service\":\"stockroom\",\"Weight\":0.9},"
                                  "{\"Service\":\"stockroom-next\",\"Weight\":0.1}]"
                                : "\"Service\":\"stockroom\"";
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"Version\":\"r%d\",\"Resources\":["
                          "{\"ResourceKind\":\"Routes\",\"Metadata\":{\"Name\":\"r-check\"},"
                          "\"Spec\":{\"Host\":\"stock.example\",\"Prefix\":\"/stock/\","
                          "\"Kind\":\"idempotent\",\"Timeout\":\"800ms\","
                          "\"TargetLatency\":\"200ms\",\"Priority\":2,%s,\"Attempts\":2,"
                          "\"Public\":false,\"Sticky\":false,\"HomeRegions\":[]}},",
                          version, target);
  for (int i = 0; i < 2; i++)
    g_string_append_printf (text,
                            "{\"ResourceKind\":\"Services\",\"Metadata\":{\"Name\":\"%s\"},"
                            "\"Spec\":{\"HealthPath\":\"/health\",\"MaxConnections\":330,"
                            "\"ColdStart\":\"0s\",\"ColdPerS\":100}},",
                            services[i]);
  g_string_append_printf (text,
                          "{\"ResourceKind\":\"Tenants\",\"Metadata\":{\"Name\":\"mill\"},"
                          "\"Spec\":{\"ApiKeys\":[%s]}},"
                          "{\"ResourceKind\":\"Limits\",\"Metadata\":{\"Name\":\"limits\"},"
                          "\"Spec\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,"
                          "\"HeaderTimeout\":\"5s\",\"IdleTimeout\":\"30s\"}}]}",
                          keys);
  return g_string_free (text, FALSE);
}

static void
on_run (struct rig_server *server, const char *id, const char *tenant, const char *path)
{
  rig_record ("run %s at %s, path %s, X-Tenant '%s'", id, server->id, path, tenant);
}

static void
judge (int host, int64_t sent_us, const struct rig_answer *answer)
{
  g_mutex_lock (&lock);
  if (acknowledged_us > 0 && sent_us > acknowledged_us + CONFIG_US && answer->stamp[0] != '\0')
    {
      late[host]++;
      last_late_us = MAX (last_late_us, sent_us);
      rig_record ("CONFIG: %s, with the key that was withdrawn %.3f s before it was sent, has run",
                  answer->id, (double) (sent_us - acknowledged_us) / 1e6);
    }
  g_mutex_unlock (&lock);
}

static void *
call (void *data)
{
  int host = GPOINTER_TO_INT (data) % HOSTS;
  int kept_fd = -1;

  while (g_atomic_int_get (&is_over) == 0)
    {
      struct rig_request request = {
          .address = rig_host_address (host),
          .method = "GET",
          .host = "stock.example",
          .path = "/stock/yarn",
          .key = "key-old",
          .deadline_ms = 1200,
          .kept_fd = &kept_fd,
      };
      int64_t sent_us = rig_now_us ();
      struct rig_answer answer;

      rig_request (&request, &answer);
      rig_record ("sent %s to host %d: %s, status %d, stamp '%s'", answer.id, host,
                  rig_end_names[answer.end], answer.status, answer.stamp);
      judge (host, sent_us, &answer);
      rig_sleep_us (PAUSE_US);
    }
  return NULL;
}

static void
start_all (void)
{
  g_autofree char *config = make_config (3, "\"key-old\",\"key-new\"", false);

  rig_store_start ();
  rig_servers_on_run (on_run);
  rig_store_put ("op", "config", config);
  for (int i = 0; i < SERVERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%d", i);

      rig_server_add (id, services[i / (SERVERS / 2)], i);
    }
  rig_servers_start_beats ();
  rig_hosts_start (HOSTS);
  rig_hosts_wait_ready (10 * RIG_SECOND);
}

static void
sleep_until (int64_t until_us)
{
  rig_sleep_us (until_us - rig_now_us ());
}

static void
take_key (void)
{
  g_autofree char *config = make_config (5, "\"key-new\"", rig_has_trouble ());

  rig_store_put ("op", "config", config);
  g_mutex_lock (&lock);
  acknowledged_us = rig_now_us ();
  g_mutex_unlock (&lock);
  rig_record ("the operator has written r5, which takes 'key-old' away%s",
              rig_has_trouble () ? " and splits the route 0.9 to 0.1" : "");
}

int
main (int argc, char **argv)
{
  pthread_t callers[CALLERS];
  int64_t start_us;
  bool failed = false;

  if (argc != 2)
    return 2;
  rig_begin (argv[1]);
  start_all ();
  start_us = rig_now_us ();
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&callers[i], NULL, call, GINT_TO_POINTER (i));
  sleep_until (start_us + CHANGE_AT_US);
  take_key ();
  sleep_until (start_us + END_US);
  g_atomic_int_set (&is_over, 1);
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  for (int i = 0; i < HOSTS; i++)
    {
      rig_record ("host %d: %d requests with the key, sent later than Config, have run", i,
                  late[i]);
      failed = failed || late[i] > 0;
    }
  if (failed)
    rig_record ("the last was sent %.3f s after the acknowledgement",
                (double) (last_late_us - acknowledged_us) / 1e6);
  rig_end (failed);
}
