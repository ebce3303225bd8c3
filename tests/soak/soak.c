/* soak - randomized fault injection around real entry hosts.
 *
 * The plan, a list of faults with their times, is generated from the seed and printed
 * before anything starts.  Each violation is printed when it is found.  Runs
 * of one seed should have the same result, since time limits are checked only while
 * nothing that they depend on is disrupted.
 */
#include "soak.h"
#include "internal/router.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVERS 9
#define CALLERS 12
#define READY_US (10 * SOAK_SECOND)
#define FAULTS_MAX 200
/* Longer than STABLE_US of ledger.c, so that the ledger checks time limits again. */
#define RECOVERY_US (4 * SOAK_SECOND)
#define LEAVING_PHASE_US (3500 * SOAK_MS)
#define NETS_PER_BLOCK 10
#define BLOCK_MAX 20
#define FAULT_MIN_MS 300
#define FAULT_RANGE_MS 2500

#define CUTS 2
#define CUT_RANGE_MS 5000
/* At most one host in so many is in a cut, at least all. */
#define CUT_STRIDE_MAX 3
/* Every other host, for long enough that its callers must be served again. */
#define CUT_PHASE_STRIDE 2
#define CUT_PHASE_SETTLE_US (3 * SOAK_SECOND)
#define CUT_PHASE_US (2 * SOAK_SECOND)
#define TROUBLE_RANGE_MS 6000
/* One trouble for so many milliseconds of the fault phase. */
#define TROUBLE_PERIOD_MS 800
#define RENAME_RANGE_MS 600
#define RESTORES 2
/* Servers and operators write again within this time. */
#define REWRITE_MS 2000
/* Home regions of the routes and the account that have some, as versions' numbers tell them.  Hosts
 * that are cut off reach peers in region a if there are only four hosts. */
#define HOMES_A 0
#define HOMES_B_AND_A 1
/* Seconds of writes that a restore loses, at most. */
#define RESTORE_LOST_S 9

enum fault_kind
{
  FAULT_LEG,          /* a network leg misbehaves */
  FAULT_PAUSE,        /* SIGSTOP, later SIGCONT */
  FAULT_KILL,         /* SIGKILL */
  FAULT_TERM,         /* SIGTERM */
  FAULT_RELOAD,       /* SIGHUP */
  FAULT_STORE,        /* the store answers 503 */
  FAULT_DROP_HISTORY, /* the store drops its history */
  FAULT_HANG,         /* a server runs requests and does not answer */
  FAULT_LOSE_ANSWERS, /* a server runs requests and loses their answers */
  FAULT_DRAIN,        /* a server drains, later it is ready again */
  FAULT_REMOVE,       /* a server's row is deleted without a drain, later it is back */
  FAULT_CONFIG,       /* a new configuration, which withdraws a key */
  FAULT_GARBAGE,      /* an invalid configuration and an invalid server row */
  FAULT_EVACUATE,
  FAULT_RESTORE, /* the store loses its last seconds, which are written again later */
  FAULT_CUT,     /* some hosts reach no server */
  FAULT_TROUBLE, /* a server has a trouble */
  FAULT_CROWD,   /* all servers work long */
  FAULT_RENAME,  /* a server has another id, which the store learns later */
  FAULT_KINDS,
};

static const struct
{
  const char *name;
  enum soak_disruption disruption; /* DISRUPTION_COUNT: none, or that of its leg */
} fault_kinds[FAULT_KINDS] = {[FAULT_LEG] = {"leg", DISRUPTION_COUNT},
                              [FAULT_PAUSE] = {"pause", DISRUPTION_HOSTS},
                              [FAULT_KILL] = {"kill", DISRUPTION_HOSTS},
                              [FAULT_TERM] = {"term", DISRUPTION_HOSTS},
                              [FAULT_RELOAD] = {"reload", DISRUPTION_COUNT},
                              [FAULT_STORE] = {"store-down", DISRUPTION_STORE},
                              [FAULT_DROP_HISTORY] = {"drop-history", DISRUPTION_STORE},
                              [FAULT_HANG] = {"hang", DISRUPTION_SERVERS},
                              [FAULT_LOSE_ANSWERS] = {"loses-answers", DISRUPTION_SERVERS},
                              [FAULT_DRAIN] = {"drain", DISRUPTION_COUNT},
                              [FAULT_REMOVE] = {"remove", DISRUPTION_COUNT},
                              [FAULT_CONFIG] = {"configuration", DISRUPTION_COUNT},
                              [FAULT_GARBAGE] = {"garbage", DISRUPTION_COUNT},
                              [FAULT_EVACUATE] = {"evacuate", DISRUPTION_COUNT},
                              [FAULT_RESTORE] = {"restore", DISRUPTION_STORE},
                              [FAULT_CUT] = {"cut", DISRUPTION_SERVERS},
                              [FAULT_TROUBLE] = {"trouble", DISRUPTION_COUNT},
                              [FAULT_CROWD] = {"crowd", DISRUPTION_COUNT},
                              [FAULT_RENAME] = {"rename", DISRUPTION_COUNT}};

static const enum soak_disruption leg_disruptions[LEG_COUNT]
    = {DISRUPTION_CALLERS, DISRUPTION_SERVERS, DISRUPTION_STORE};

static const char *const trouble_names[TROUBLE_COUNT]
    = {"stutters", "breaks-off", "early", "garbage-bytes", "crowded"};

struct fault
{
  enum fault_kind kind;
  int start_ms;
  int duration_ms;
  int target;
  enum soak_leg leg;
  enum soak_behaviour behaviour;
  enum soak_cut cut;
  enum soak_trouble trouble;
  char *old_id; /* of the server that was renamed */
  bool begun;
  bool ended;
};

static uint32_t random_state;
static int64_t start_us;
static int config_version = 3;
static bool key_is_withdrawn;
static int flaws; /* of enum soak_flaw */
static int address_block;
static int host_count;

int64_t
soak_now_us (void)
{
  return g_get_monotonic_time () - start_us;
}

const char *
soak_domain_of (int number)
{
  static const char *const domains[] = {"a-1", "a-2", "b-1"};

  return domains[number % 3];
}

const char *
soak_address (enum soak_net net, int number, int port)
{
  g_autofree char *text = g_strdup_printf (
      "127.%d.0.%d:%d", address_block * NETS_PER_BLOCK + (int) net, number + 1, port);

  return g_intern_string (text);
}

int
soak_member_number (enum soak_net net, const char *address)
{
  int block;
  int last;

  if (sscanf (address, "127.%d.0.%d:", &block, &last) != 2
      || block != address_block * NETS_PER_BLOCK + (int) net)
    return -1;
  return last - 1;
}

uint32_t
soak_random_below (uint32_t bound)
{
  random_state = random_state * 1664525 + 1013904223;
  return (random_state >> 8) % bound;
}

/* Appends the route for paths that begin with NAME. */
static void
append_route (GString *text, const char *name, const char *kind, int timeout_ms, const char *more)
{
  g_string_append_printf (text,
                          "{'ResourceKind':'Routes','Metadata':{'Name':'%s'},'Spec':{'Host':'h',"
                          "'Prefix':'/%s/','Kind':'%s','Timeout':'%dms','TargetLatency':'%dms',"
                          "'Service':'stock','Attempts':2%s}},",
                          name, name, kind, timeout_ms, strcmp (kind, "upload") == 0 ? 400 : 200,
                          more);
}

static void
append_account (GString *text, const char *name, const char *second_key, int rate, const char *more)
{
  g_string_append_printf (text,
                          "{'ResourceKind':'Tenants','Metadata':{'Name':'%s'},'Spec':{'ApiKeys':["
                          "'key-%s-1'%s],'RatePerS':%d,'Burst':%d%s}},",
                          name, name, second_key, rate, rate, more);
}

/* Writes the next version whose number tells HOMES. */
static void
put_config (int homes)
{
  g_autoptr (GString) text = g_string_new (NULL);
  char of_routes[32] = "";
  char of_desk[32] = "";

  while (config_version % SOAK_HOME_VERSIONS != homes)
    config_version++;
  if ((flaws & FLAW_FIRST_HOMES) != 0)
    homes = HOMES_A;
  if ((flaws & FLAW_NO_HOMES) == 0)
    {
      g_snprintf (of_routes, sizeof of_routes, ",'HomeRegions':['%c']", "ab"[homes % 2]);
      g_snprintf (of_desk, sizeof of_desk, ",'HomeRegions':['%c']", "ab"[homes / 2]);
    }
  g_string_append_printf (text, "{'Version':'r%d','Resources':[", config_version++);
  append_route (text, "read", "idempotent", 900, ",'Priority':2,'Sticky':true");
  append_route (text, "write", "non_idempotent", 1000, ",'Sticky':true");
  append_route (text, "upload", "upload", 1000, "");
  append_route (text, "read-home", "idempotent", 900, of_routes);
  append_route (text, "write-home", "non_idempotent", 1000, of_routes);
  append_account (text, "shop", key_is_withdrawn ? "" : ",'key-shop-2'", SOAK_ACCOUNT_RATE, "");
  append_account (text, "desk", "", SOAK_ACCOUNT_RATE, of_desk);
  append_account (text, "bulk", "", 0, "");
  g_string_append (text, "{'ResourceKind':'Services','Metadata':{'Name':'stock'},'Spec':{"
                         "'HealthPath':'/health','ColdStart':'0s','ColdPerS':100}}]}");
  soak_store_put ("op", "config", g_strdelimit (text->str, "'", '"'));
}

static void
withdraw_key (void)
{
  key_is_withdrawn = true;
  put_config (config_version % SOAK_HOME_VERSIONS);
  soak_ledger_withdraw_key ("key-shop-2");
}

/* Changes the links to the servers of one host in STRIDE. */
static void
set_cut (int stride, enum soak_cut cut)
{
  for (int i = 0; i < host_count; i += stride)
    soak_host_set_cut (i, cut);
}

/* Begins (ON) or ends FAULT. */
static void
set_fault (struct fault *fault, bool on)
{
  static const int signals[FAULT_KINDS]
      = {[FAULT_KILL] = SIGKILL, [FAULT_TERM] = SIGTERM, [FAULT_RELOAD] = SIGHUP};

  switch (fault->kind)
    {
    case FAULT_LEG:
      soak_proxy_set (fault->leg, on ? fault->behaviour : BEHAVE_PASS);
      break;
    case FAULT_PAUSE:
      soak_host_signal (fault->target, on ? SIGSTOP : SIGCONT);
      break;
    case FAULT_KILL:
    case FAULT_TERM:
    case FAULT_RELOAD:
      if (on)
        soak_host_signal (fault->target, signals[fault->kind]);
      break;
    case FAULT_STORE:
      soak_store_set_failing (on);
      break;
    case FAULT_DROP_HISTORY:
      if (on)
        soak_store_drop_history ();
      break;
    case FAULT_HANG:
    case FAULT_LOSE_ANSWERS:
      soak_server_set_mode (fault->target, !on                         ? SERVER_HEALTHY
                                           : fault->kind == FAULT_HANG ? SERVER_HANGS
                                                                       : SERVER_LOSES_ANSWERS);
      break;
    case FAULT_DRAIN:
      soak_server_register (fault->target, on);
      break;
    case FAULT_REMOVE:
      if (on)
        soak_server_remove (fault->target);
      else
        soak_server_register (fault->target, false);
      break;
    case FAULT_CONFIG:
    case FAULT_GARBAGE:
      if (on == (fault->kind == FAULT_CONFIG))
        withdraw_key ();
      else if (on)
        {
          soak_store_put ("op", "config", "{\"Version\":\"odd\",\"Resources\":[{");
          soak_store_put ("servers", "odd", "\"no object\"");
        }
      break;
    case FAULT_EVACUATE:
      soak_store_put ("op", "evacuate/a-2", on ? "{}" : NULL);
      break;
    case FAULT_RESTORE:
      if (on)
        soak_store_restore (fault->target * SOAK_SECOND);
      else
        soak_store_rewrite ();
      break;
    case FAULT_CUT:
      set_cut (fault->target, on ? fault->cut : CUT_NONE);
      break;
    case FAULT_TROUBLE:
      soak_server_set_trouble (fault->target, fault->trouble, on);
      break;
    case FAULT_CROWD:
      for (int i = 0; i < SERVERS; i++)
        soak_server_set_trouble (i, TROUBLE_CROWDED, on);
      break;
    case FAULT_RENAME:
      if (on)
        {
          fault->old_id = soak_server_rename (fault->target);
          break;
        }
      soak_store_put ("servers", fault->old_id, NULL);
      soak_server_register (fault->target, false);
      break;
    case FAULT_KINDS:
      break;
    }
}

/* Appends COUNT faults of KIND to PLAN; FAULT_KINDS: each of a kind before FAULT_RESTORE. */
static void
add_faults (GArray *plan, int count, enum fault_kind kind, const struct soak_options *options)
{
  static const uint32_t ranges_ms[FAULT_KINDS + 1] = {
      [FAULT_RESTORE] = REWRITE_MS,       [FAULT_CUT] = CUT_RANGE_MS,
      [FAULT_TROUBLE] = TROUBLE_RANGE_MS, [FAULT_CROWD] = TROUBLE_RANGE_MS,
      [FAULT_RENAME] = RENAME_RANGE_MS,   [FAULT_KINDS] = FAULT_RANGE_MS,
  };

  for (int i = 0; i < count; i++)
    {
      struct fault fault = {.kind = kind};

      if (kind == FAULT_KINDS)
        fault.kind = (enum fault_kind) soak_random_below (FAULT_RESTORE);
      fault.start_ms = (int) soak_random_below ((uint32_t) options->seconds * 1000);
      fault.duration_ms
          = (kind == FAULT_RESTORE ? 0 : FAULT_MIN_MS) + (int) soak_random_below (ranges_ms[kind]);
      if (kind == FAULT_KINDS)
        {
          fault.leg = (enum soak_leg) soak_random_below (LEG_COUNT);
          fault.behaviour = (enum soak_behaviour) (1 + soak_random_below (BEHAVE_COUNT - 1));
          fault.target = (int) soak_random_below (
              fault.kind >= FAULT_HANG ? SERVERS : (uint32_t) options->hosts);
        }
      else if (kind == FAULT_RESTORE)
        fault.target = 1 + (int) soak_random_below (RESTORE_LOST_S);
      else if (kind == FAULT_CUT)
        {
          fault.cut = (enum soak_cut) (1 + soak_random_below (CUT_COUNT - 1));
          fault.target = 1 + (int) soak_random_below (CUT_STRIDE_MAX);
        }
      else
        {
          fault.target = (int) soak_random_below (SERVERS);
          fault.trouble = (enum soak_trouble) soak_random_below (TROUBLE_CROWDED);
          /* Second copies are what most depends on the moment. */
          if (kind == FAULT_TROUBLE && soak_random_below (2) == 0)
            fault.trouble = TROUBLE_STUTTERS;
        }
      g_array_append_val (plan, fault);
    }
}

static gint
compare_start_times (gconstpointer a, gconstpointer b)
{
  return ((const struct fault *) a)->start_ms - ((const struct fault *) b)->start_ms;
}

static GArray *
generate_plan (const struct soak_options *options)
{
  GArray *plan = g_array_new (FALSE, TRUE, sizeof (struct fault));

  /* The faults that were added later are drawn last, so that the others stay the same for each
   * seed. */
  add_faults (plan, MIN (options->seconds * 3 / 2, FAULTS_MAX), FAULT_KINDS, options);
  add_faults (plan, RESTORES, FAULT_RESTORE, options);
  add_faults (plan, CUTS, FAULT_CUT, options);
  add_faults (plan, 1, FAULT_CROWD, options);
  add_faults (plan, 1, FAULT_RENAME, options);
  add_faults (plan, options->seconds * 1000 / TROUBLE_PERIOD_MS, FAULT_TROUBLE, options);
  g_array_sort (plan, compare_start_times);
  for (guint i = 0; i < plan->len; i++)
    {
      const struct fault *fault = &g_array_index (plan, struct fault, i);

      printf ("plan: %6d ms %-13s for %4d ms, target %d%s%s\n", fault->start_ms,
              fault_kinds[fault->kind].name, fault->duration_ms, fault->target,
              fault->kind == FAULT_LEG || fault->kind == FAULT_TROUBLE ? ", " : "",
              fault->kind == FAULT_LEG       ? soak_behaviour_names[fault->behaviour]
              : fault->kind == FAULT_TROUBLE ? trouble_names[fault->trouble]
                                             : "");
    }
  return plan;
}

/* Begins and ends the faults that are due.  Returns whether any fault has yet to end. */
static bool
run_plan (GArray *plan, int64_t begun_us)
{
  int64_t now_ms = (soak_now_us () - begun_us) / SOAK_MS;
  bool more = false;

  for (guint i = 0; i < plan->len; i++)
    {
      struct fault *fault = &g_array_index (plan, struct fault, i);
      enum soak_disruption disruption = fault->kind == FAULT_LEG
                                            ? leg_disruptions[fault->leg]
                                            : fault_kinds[fault->kind].disruption;

      if (!fault->begun && now_ms >= fault->start_ms)
        {
          fault->begun = true;
          if (disruption != DISRUPTION_COUNT)
            soak_ledger_set_disrupted (disruption, true);
          set_fault (fault, true);
        }
      if (fault->begun && !fault->ended && now_ms >= fault->start_ms + fault->duration_ms)
        {
          fault->ended = true;
          set_fault (fault, false);
          if (disruption != DISRUPTION_COUNT)
            soak_ledger_set_disrupted (disruption, false);
        }
      more = more || !fault->ended;
    }
  return more;
}

/* Drains one server and removes another after all faults have ended, so that the ledger checks that
 * leaving servers get no request after the drain time.  During the faults it seldom can, since the
 * store, the hosts or the servers are disrupted. */
static void
run_leaving_phase (void)
{
  put_config (HOMES_B_AND_A);
  g_usleep (RECOVERY_US);
  soak_server_register (0, true);
  soak_server_remove (1);
  g_usleep (LEAVING_PHASE_US);
}

/* Cuts half of the hosts off from all servers, after all other faults have ended, and checks that
 * their callers are served. */
static void
run_cut_phase (const struct soak_options *options)
{
  put_config (HOMES_A);
  g_usleep (RECOVERY_US);
  soak_callers_stay (true);
  set_cut (CUT_PHASE_STRIDE, (enum soak_cut) (1 + options->seed % (CUT_COUNT - 1)));
  g_usleep (CUT_PHASE_SETTLE_US);
  soak_ledger_start_tries ();
  g_usleep (CUT_PHASE_US);
  soak_ledger_check_tries ();
  set_cut (CUT_PHASE_STRIDE, CUT_NONE);
  soak_callers_stay (false);
}

static int
run (const struct soak_options *options)
{
  GArray *plan;
  int64_t begun_us;
  int violations;

  random_state = options->seed;
  address_block = options->block;
  host_count = options->hosts;
  flaws = options->flaws;
  start_us = g_get_monotonic_time ();
  plan = generate_plan (options);
  soak_ledger_start ();
  soak_store_start ();
  put_config (HOMES_A);
  soak_blackhole_open (soak_address (NET_BLACKHOLE, 0, 8080));
  soak_servers_start (options, SERVERS);
  soak_proxy_set_flaws (options->flaws);
  soak_hosts_start (options);
  if (!soak_hosts_wait_ready (READY_US))
    soak_ledger_report_violation ("not all hosts were ready in time");
  soak_callers_start (CALLERS, options->callers, options->hosts);
  begun_us = soak_now_us ();
  while (run_plan (plan, begun_us) || soak_now_us () - begun_us < options->seconds * SOAK_SECOND)
    g_usleep (5000);
  if (options->flaws == 0
      && (options->switches == 0 || options->switches == PL_ROUTER_NO_HANDOVERS))
    run_cut_phase (options);
  if (options->flaws == 0 || options->flaws >= FLAW_NO_HOMES)
    run_leaving_phase ();
  soak_callers_stop ();
  soak_hosts_stop ();
  soak_hosts_check_handovers ();
  violations = soak_ledger_finish ();
  soak_servers_print_summary ();
  soak_ledger_print_summary ();
  printf ("seed %u: %s\n", options->seed, violations == 0 ? "passed" : "FAILED");
  g_array_free (plan, TRUE);
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  g_autofree char *folder = g_path_get_dirname (argv[0]);
  struct soak_options options = {.seed = 1,
                                 .seconds = 20,
                                 .hosts = 6,
                                 .program = "build/pomelolatch-entry",
                                 .folder = folder,
                                 .callers = 20};
  GOptionEntry entries[]
      = {{"seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "Random seed of the fault plan", "N"},
         {"seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds, "Duration of the fault phase", "S"},
         {"processes", 0, 0, G_OPTION_ARG_INT, &options.hosts, "Entry hosts, 2 to 200", "P"},
         {"block", 0, 0, G_OPTION_ARG_INT, &options.block, "Block of loopback addresses, 0 to 20",
          "B"},
         {"switches", 0, 0, G_OPTION_ARG_INT, &options.switches,
          "Mechanisms to disable, as in the settings", "MASK"},
         {"flaws", 0, 0, G_OPTION_ARG_INT, &options.flaws,
          "What servers and callers' connections do wrong", "MASK"},
         {"callers", 0, 0, G_OPTION_ARG_INT, &options.callers, "Callers without a limit, 0 to 200",
          "C"},
         {"program", 0, 0, G_OPTION_ARG_FILENAME, &options.program,
          "Path of the entry host program", "FILE"},
         {NULL}};
  g_autoptr (GOptionContext) context = g_option_context_new ("- entry hosts under faults");

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || options.hosts < 2
      || options.hosts > SOAK_HOSTS_MAX || options.seconds < 1 || options.block < 0
      || options.block > BLOCK_MAX || options.callers < 0 || options.callers > SOAK_CALLERS_MAX)
    {
      fprintf (stderr, "soak: see --help\n");
      return 2;
    }
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  return run (&options);
}
