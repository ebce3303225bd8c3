/* Entry hosts of the soak: starts each as a process with its own settings and restarts it when it
 * has ended.  Signals go to process ids only. */
#include "soak.h"
#include "internal/net.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define RESTART_INTERVAL_US 300000
#define SETTLE_US (2 * SOAK_SECOND)
#define STOP_TIMEOUT_US (8 * SOAK_SECOND)
/* Limit of the error of a host's wall clock, and of the one jump that the clock makes. */
#define CLOCK_OFFSET_MAX_MS 5000
#define CLOCK_JUMP_AFTER_MAX_MS 8000

struct host
{
  pid_t pid;
  bool exit_expected;
  uint32_t start_count;
  int64_t disturbed_us; /* when it was started or got its last signal */
  int64_t abrupt_us;    /* when it was paused, resumed or killed last */
  bool paused;
  char settings[256];
  char log[256];
  char link[256]; /* file that says what becomes of new connections to servers */
  int cut;        /* of enum soak_cut */
};

static struct host hosts[SOAK_HOSTS_MAX];
static int host_count;
static const char *program;
static int switches;
static uint32_t seed;
static char *libraries; /* that are preloaded into the hosts */
static char *folder;
static GMutex lock;
static int stopping;

static void
write_settings (int host)
{
  static const struct
  {
    const char *name;
    int port;
  } ports[] = {{"caller", 8206}, {"ready", 8201},    {"directory", 8209},
               {"peer", 7600},   {"handover", 7615}, {"metrics", 9464}};
  FILE *file = fopen (hosts[host].settings, "w");

  if (file == NULL)
    exit (2);
  fprintf (file, "name: host-%d\ndomain: %s\ngrace: \"6s\"\nretry_ratio: \"0.2\"\n", host,
           soak_domain_of (host));
  fprintf (file, "retry_slack: \"58\"\ncpu_share: \"0.5\"\nlink_mbps: \"1000\"\n");
  fprintf (file, "switches: %d\n", switches);
  fprintf (file, "domains: [\"a-1=a\",\"a-2=a\",\"b-1=b\"]\nstore: %s\n",
           soak_address (NET_STORE, 1, 8205));
  fprintf (file, "seeds: [\"%s\",\"%s\"]\n", soak_address (NET_HOSTS, 0, 8200),
           soak_address (NET_HOSTS, 1, 8200));
  for (size_t i = 0; i < G_N_ELEMENTS (ports); i++)
    fprintf (file, "%s: %s\n", ports[i].name, soak_address (NET_HOSTS, host, ports[i].port));
  fclose (file);
}

/* Returns the environment of a host, with other clock errors for each start.  They come from a
 * generator of their own, so that the fault plan does not depend on them. */
static char **
make_environment (int host)
{
  g_autoptr (GRand) random
      = g_rand_new_with_seed (seed * 7919 + (uint32_t) host * 104729 + hosts[host].start_count++);
  g_autofree char *clock = g_strdup_printf (
      "%d,%d,%d", g_rand_int_range (random, -CLOCK_OFFSET_MAX_MS, CLOCK_OFFSET_MAX_MS),
      g_rand_int_range (random, 0, CLOCK_JUMP_AFTER_MAX_MS),
      g_rand_int_range (random, -CLOCK_OFFSET_MAX_MS, CLOCK_OFFSET_MAX_MS));
  g_autofree char *source = g_strndup (soak_address (NET_HOSTS, host, 0),
                                       strcspn (soak_address (NET_HOSTS, host, 0), ":"));
  char **environment = g_environ_setenv (g_get_environ (), "SOAK_CLOCK", clock, TRUE);

  environment = g_environ_setenv (environment, "SOAK_SOURCE", source, TRUE);
  environment = g_environ_setenv (environment, "SOAK_SERVERS",
                                  soak_address (NET_SERVER_PROXIES, 0, 0), TRUE);
  environment = g_environ_setenv (environment, "SOAK_BLACKHOLE",
                                  soak_address (NET_BLACKHOLE, 0, 8080), TRUE);
  environment = g_environ_setenv (environment, "SOAK_LINK", hosts[host].link, TRUE);
  return g_environ_setenv (environment, "LD_PRELOAD", libraries, TRUE);
}

static void
start_host (int host)
{
  g_auto (GStrv) environment = make_environment (host);
  char *arguments[] = {(char *) program, "--settings", hosts[host].settings, NULL};
  posix_spawn_file_actions_t actions;

  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, hosts[host].log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn (&hosts[host].pid, program, &actions, NULL, arguments, environment) != 0)
    {
      g_printerr ("soak: cannot start %s\n", program);
      exit (2);
    }
  posix_spawn_file_actions_destroy (&actions);
  hosts[host].exit_expected = false;
  hosts[host].paused = false;
  hosts[host].disturbed_us = soak_now_us ();
}

static void
on_process_exit (int host, int status)
{
  if (!hosts[host].exit_expected)
    soak_ledger_report_violation ("host %d exited unexpectedly, wait status %d; see %s", host,
                                  status, hosts[host].log);
  hosts[host].pid = 0;
}

static void *
supervise_hosts (void *data)
{
  (void) data;
  while (!g_atomic_int_get (&stopping))
    {
      g_usleep (RESTART_INTERVAL_US);
      g_mutex_lock (&lock);
      for (int i = 0; i < host_count && !g_atomic_int_get (&stopping); i++)
        {
          int status;

          if (hosts[i].pid > 0 && waitpid (hosts[i].pid, &status, WNOHANG) > 0)
            on_process_exit (i, status);
          if (hosts[i].pid == 0)
            start_host (i);
        }
      g_mutex_unlock (&lock);
    }
  return NULL;
}

void
soak_hosts_start (const struct soak_options *options)
{
  pthread_t thread;

  program = options->program;
  switches = options->switches;
  seed = options->seed;
  libraries = g_strconcat (options->folder, "/preload/clock.so:", options->folder,
                           "/preload/links.so", NULL);
  host_count = options->hosts;
  folder = g_dir_make_tmp ("soak-XXXXXX", NULL);
  printf ("logs of the entry hosts: %s\n", folder);
  soak_proxy_open (LEG_STORE, soak_address (NET_STORE, 1, 8205), soak_address (NET_STORE, 0, 8205));
  for (int i = 0; i < host_count; i++)
    {
      g_snprintf (hosts[i].settings, sizeof hosts[i].settings, "%s/host-%d.yaml", folder, i);
      g_snprintf (hosts[i].log, sizeof hosts[i].log, "%s/host-%d.log", folder, i);
      g_snprintf (hosts[i].link, sizeof hosts[i].link, "%s/host-%d.link", folder, i);
      soak_proxy_open (LEG_CALLERS, soak_address (NET_HOST_PROXIES, i, 8206),
                       soak_address (NET_HOSTS, i, 8206));
      write_settings (i);
      start_host (i);
    }
  pthread_create (&thread, NULL, supervise_hosts, NULL);
  pthread_detach (thread);
}

void
soak_host_signal (int host, int number)
{
  g_mutex_lock (&lock);
  if (number == SIGTERM || number == SIGKILL)
    hosts[host].exit_expected = true;
  if (number != SIGHUP)
    hosts[host].disturbed_us = soak_now_us ();
  if (number == SIGSTOP || number == SIGCONT)
    hosts[host].paused = number == SIGSTOP;
  if (number == SIGSTOP || number == SIGCONT || number == SIGKILL)
    hosts[host].abrupt_us = soak_now_us ();
  if (hosts[host].pid > 0)
    kill (hosts[host].pid, number);
  g_mutex_unlock (&lock);
}

void
soak_host_set_cut (int host, enum soak_cut cut)
{
  static const enum soak_behaviour behaviours[CUT_COUNT]
      = {BEHAVE_PASS, BEHAVE_SILENT, BEHAVE_RESET, BEHAVE_PASS};
  static const char *const states[CUT_COUNT] = {"o", "h", "r", "r"};

  g_atomic_int_set (&hosts[host].cut, (int) cut);
  g_file_set_contents (hosts[host].link, states[cut], 1, NULL);
  soak_proxy_set_host (host, behaviours[cut]);
}

bool
soak_host_is_cut (int host)
{
  return g_atomic_int_get (&hosts[host].cut) != CUT_NONE;
}

bool
soak_host_is_steady (int host, int64_t since_us)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&lock);

  return hosts[host].pid > 0 && !hosts[host].exit_expected && !hosts[host].paused
         && hosts[host].disturbed_us + SETTLE_US < since_us;
}

bool
soak_host_is_undisrupted (int host, int64_t since_us)
{
  g_autoptr (GMutexLocker) locker = g_mutex_locker_new (&lock);

  return !hosts[host].paused && hosts[host].abrupt_us + SETTLE_US < since_us;
}

static bool
is_ready (int host)
{
  static const char request[] = "GET /pomelolatch/readiness HTTP/1.0\r\n\r\n";
  struct sockaddr_in parsed;
  char answer[64] = "";
  int fd;

  pl_net_parse (soak_address (NET_HOSTS, host, 8201), &parsed);
  fd = pl_net_connect (&parsed, 200);
  if (fd < 0)
    return false;
  if (send (fd, request, sizeof request - 1, MSG_NOSIGNAL) < 0
      || recv (fd, answer, sizeof answer - 1, 0) < 0)
    answer[0] = '\0';
  close (fd);
  return strstr (answer, " 200 ") != NULL;
}

bool
soak_hosts_wait_ready (int64_t limit_us)
{
  int64_t until_us = soak_now_us () + limit_us;

  for (int i = 0; i < host_count; i++)
    while (!is_ready (i))
      {
        if (soak_now_us () > until_us)
          return false;
        g_usleep (20000);
      }
  return true;
}

void
soak_hosts_stop (void)
{
  int64_t until_us = soak_now_us () + STOP_TIMEOUT_US;

  g_atomic_int_set (&stopping, 1);
  g_mutex_lock (&lock);
  for (int i = 0; i < host_count; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGCONT);
        kill (hosts[i].pid, SIGTERM);
      }
  for (int i = 0; i < host_count; i++)
    while (hosts[i].pid > 0 && waitpid (hosts[i].pid, NULL, WNOHANG) == 0)
      {
        g_usleep (20000);
        if (soak_now_us () > until_us)
          kill (hosts[i].pid, SIGKILL);
      }
  g_mutex_unlock (&lock);
}

void
soak_hosts_check_handovers (void)
{
  for (int i = 0; i < host_count; i++)
    {
      FILE *file = fopen (hosts[i].log, "r");
      char line[2048];
      char id[40];

      while (file != NULL && fgets (line, sizeof line, file) != NULL)
        {
          const char *event = strstr (line, "\"handed-over\"");
          const char *peer = strstr (line, "\"peer\":\"host-");

          if (event != NULL && peer != NULL
              && sscanf (event, "\"handed-over\",\"request\":\"%39[^\"]", id) == 1)
            soak_ledger_check_handover (id, atoi (peer + strlen ("\"peer\":\"host-")));
        }
      if (file != NULL)
        fclose (file);
    }
}
