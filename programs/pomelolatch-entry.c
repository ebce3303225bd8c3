/* pomelolatch-entry - entry host that reads its configuration and servers from a platform's store.
 *
 * The program has one thread.  Its reactor drives the callers' port, the calls to servers and to
 * the store, the beacons and the timers, and passes each event to the router.
 * SIGTERM and SIGINT start a graceful stop; SIGHUP reloads the settings.
 */
#include "internal/beacon_socket.h"
#include "internal/clock.h"
#include "internal/front.h"
#include "internal/lingering.h"
#include "internal/log.h"
#include "internal/reactor.h"
#include "internal/relay.h"
#include "internal/settings.h"
#include "internal/small_port.h"
#include "pomelolatch/error.h"

#include <curl/curl.h>
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#define DIRECTORY_HOSTS_MAX 16
#define DIRECTORY_TTL_DEFAULT_MS 2000
/* Thousandths of a core that the requests on 1 Mbit/s need.  At a few kilobytes per request, a
 * thousandth of a core serves a fifth of a Mbit/s. */
#define CAPACITY_PER_MBPS 5.0
#define BYTES_PER_MBIT 125000.0
/* Fraction of the link that row updates for peers may use; the rest is for requests. */
#define RELAY_LINK_RATIO 0.5
/* Percentage of the grace time after which a stopping process exits, even with open requests. */
#define STOP_DEADLINE_PERCENT 94
/* Fraction of the memory that bodies and answers may use; the rest is for connections, rows and
 * socket buffers. */
#define BUFFER_MEMORY_RATIO 0.25
#define BYTES_PER_MB 1e6
#define MAX_SHIFT_DEFAULT 0.15
#define BUSY_PERIOD_US INT64_C (1000000)
/* A delay of the event loop that callers notice. */
#define STALL_US INT64_C (200000)

static const struct pl_field settings_fields[] = {
    {"name", PL_FIELD_TEXT, true, 1, PL_HOST_NAME_BYTES_MAX, NULL},
    {"domain", PL_FIELD_TEXT, true, 1, PL_HOST_NAME_BYTES_MAX, NULL},
    {"caller", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"ready", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"directory", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"peer", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"handover", PL_FIELD_ADDRESS, false, 0, 0, NULL},
    {"metrics", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"store", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"domains", PL_FIELD_LIST, true, 0, 0, NULL},
    {"seeds", PL_FIELD_LIST, false, 0, 0, NULL},
    {"grace", PL_FIELD_TEXT, true, 0, 0, NULL},
    {"retry_ratio", PL_FIELD_TEXT, true, 0, 0, NULL},
    {"retry_slack", PL_FIELD_TEXT, true, 0, 0, NULL},
    {"load_management", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"load_management_terms", PL_FIELD_LIST, false, 0, 0, NULL},
    {"terms", PL_FIELD_LIST, false, 0, 0, NULL},
    {"fair_shares", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"max_shift", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"hedge_ratio", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"cpu_share", PL_FIELD_TEXT, true, 0, 0, NULL},
    {"link_mbps", PL_FIELD_TEXT, true, 0, 0, NULL},
    {"memory_mb", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"switches", PL_FIELD_NUMBER, false, 0, 65535, NULL},
    {"log_level", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"directory_ttl_ms", PL_FIELD_NUMBER, false, 100, 600000, NULL},
    {NULL},
};

struct entry
{
  json_t *settings;
  const char *settings_file;
  struct pl_reactor *reactor;
  struct pl_http_client *request_client;
  struct pl_http_client *control_client;
  struct pl_front *front;
  struct pl_beacon_socket *beacons;
  struct pl_store_reader *store;
  struct pl_router *router;
  struct pl_relay relay;
  struct pl_regions regions;
  GQueue events; /* of struct pl_router_event, in order */
  struct pl_router_effects effects;
  int router_timer;
  int busy_timer;
  int64_t busy_period_start_us;
  int64_t busy_period_waited_us;
  bool router_stopped; /* the router has no decisions left to make */
  int64_t stop_deadline_us;
  int64_t grace_us;
  char **domains;
  char **seeds;
};

static int
log_level_of (enum pl_router_log_level level)
{
  switch (level)
    {
    case PL_ROUTER_LOG_REQUEST:
    case PL_ROUTER_LOG_STATE:
      return PL_LOG_INFO;
    case PL_ROUTER_LOG_WARNING:
      return PL_LOG_WARNING;
    }
  return PL_LOG_INFO;
}

static void handle_rows (void *data, const struct pl_rows_event *rows);
static void handle_relay_progress (void *data, uint64_t number);
static void handle_relay_done (void *data, const struct pl_fetch_done_event *done);

static void
fetch_rows (struct entry *entry, const struct pl_router_effect *effect)
{
  struct pl_relay_fetch fetch = {
      .client = entry->control_client,
      .address = effect->u.fetch.address,
      .held = effect->u.fetch.held,
      .on_rows = handle_rows,
      .on_progress = handle_relay_progress,
      .done = handle_relay_done,
      .number = effect->u.fetch.number,
      .data = entry,
  };

  pl_relay_fetch (&fetch);
}

static void
execute_effect (struct entry *entry, struct pl_router_effect *effect)
{
  switch (effect->type)
    {
    case PL_ROUTER_SEND_BEACON:
      pl_beacon_socket_send (entry->beacons, effect->u.datagram.address, effect->u.datagram.beacon);
      break;
    case PL_ROUTER_FETCH_ROWS:
      fetch_rows (entry, effect);
      break;
    case PL_ROUTER_WATCH_STORE:
      pl_platform_store.watch (entry->store, effect->u.watch);
      break;
    case PL_ROUTER_CHECK_STORE:
      pl_platform_store.check (entry->store);
      break;
    case PL_ROUTER_READ_STORE:
      pl_platform_store.read_once (entry->store, effect->u.read.held);
      break;
    case PL_ROUTER_STOPPED:
      entry->router_stopped = true;
      break;
    case PL_ROUTER_LOG:
      pl_log ((enum pl_log_level) log_level_of (effect->u.log_line.level), effect->u.log_line.event,
              g_steal_pointer (&effect->u.log_line.fields));
      break;
    default:
      pl_front_execute (entry->front, effect);
      break;
    }
}

/* Executing an effect may post further events, which are queued rather than processed within this
 * step. */
static void
step_router (struct entry *entry, struct pl_router_event *event)
{
  event->now_us = pl_clock_now_us ();
  pl_router_step (entry->router, event, &entry->effects);
  for (int i = 0; i < entry->effects.count; i++)
    execute_effect (entry, &entry->effects.items[i]);
  pl_router_effects_clear (&entry->effects);
}

/* PL_ROUTER_CALL borrows strings from the request, so it is processed at once; it is never posted
 * from within a step. */
static void
post_event (void *data, struct pl_router_event *event)
{
  struct entry *entry = data;

  if (event->type == PL_ROUTER_CALL)
    {
      step_router (entry, event);
      return;
    }
  g_queue_push_tail (&entry->events, g_memdup2 (event, sizeof *event));
  pl_reactor_skip_wait (entry->reactor);
}

/* When the router has stopped, the last answers may still be in transmission, and their callers may
 * still be reading. */
static void
finish_stop (struct entry *entry)
{
  bool is_overdue = pl_clock_now_us () >= entry->stop_deadline_us;

  if (!is_overdue && pl_front_open_requests (entry->front) > 0)
    return;
  pl_front_close_idle (entry->front);
  if (is_overdue || pl_lingering_count (pl_front_lingering (entry->front)) == 0)
    pl_reactor_quit (entry->reactor);
}

static void
process_events (void *data)
{
  struct entry *entry = data;
  struct pl_router_event tick = {.type = PL_ROUTER_TICK};
  struct pl_router_event *event;

  while ((event = g_queue_pop_head (&entry->events)) != NULL)
    {
      step_router (entry, event);
      g_free (event);
    }
  if (pl_router_due_us (entry->router) <= pl_clock_now_us ())
    step_router (entry, &tick);
  pl_reactor_arm_timer (entry->reactor, entry->router_timer, pl_router_due_us (entry->router));
  if (entry->router_stopped)
    finish_stop (entry);
}

static double
decimal_of (const json_t *settings, const char *field)
{
  return g_ascii_strtod (pl_settings_text (settings, field, "0"), NULL);
}

static void
measure_busy (void *data)
{
  struct entry *entry = data;
  struct pl_router_event event = {.type = PL_ROUTER_BUSY_PERCENT};
  int64_t now_us = pl_clock_now_us ();
  int64_t waited_us = pl_reactor_waited_us (entry->reactor);
  double passed_us = (double) MAX (now_us - entry->busy_period_start_us, 1);

  event.u.busy_percent
      = (int) (100 - 100 * (double) (waited_us - entry->busy_period_waited_us) / passed_us);
  entry->busy_period_start_us = now_us;
  entry->busy_period_waited_us = waited_us;
  post_event (entry, &event);
  pl_reactor_arm_timer (entry->reactor, entry->busy_timer, now_us + BUSY_PERIOD_US);
}

/* The timer only ends the wait; process_events() runs what is due before the next one. */
static void
on_router_timer (void *data)
{
  (void) data;
}

static void
handle_rows (void *data, const struct pl_rows_event *rows)
{
  struct entry *entry = data;
  struct pl_router_event event = {.type = PL_ROUTER_ROWS};

  event.u.rows = *rows;
  step_router (entry, &event);
}

static void
handle_relay_progress (void *data, uint64_t number)
{
  struct pl_router_event event = {.type = PL_ROUTER_FETCH_PROGRESS, .u.fetch = number};

  /* Called by libcurl, which effects of a step may call. */
  post_event (data, &event);
}

static void
handle_relay_done (void *data, const struct pl_fetch_done_event *done)
{
  struct pl_router_event event = {.type = PL_ROUTER_FETCH_DONE, .u.fetch_done = *done};

  step_router (data, &event);
}

static void
handle_store_state (void *data, bool succeeded, const struct pl_store_call_event *call)
{
  struct pl_router_event event
      = {.type = succeeded ? PL_ROUTER_STORE_OK : PL_ROUTER_STORE_FAILED, .u.store_call = *call};

  post_event (data, &event);
}

static void
handle_store_read (void *data, bool succeeded)
{
  struct pl_router_event event
      = {.type = PL_ROUTER_STORE_READ, .u.store_read_succeeded = succeeded};

  post_event (data, &event);
}

static void
handle_store_quiet (void *data)
{
  struct pl_router_event event = {.type = PL_ROUTER_STORE_QUIET};

  post_event (data, &event);
}

static void
log_stall (void *data, const struct pl_reactor_stall *stall)
{
  (void) data;
  pl_log (PL_LOG_WARNING, "loop-stalled",
          json_pack ("{s:I,s:I,s:I,s:I}", "late_us", (json_int_t) stall->late_us, "busy_us",
                     (json_int_t) stall->busy_us, "cpu_us", (json_int_t) stall->cpu_us,
                     "sampled_us", (json_int_t) stall->sampled_us));
}

static void
handle_beacon (void *data, const struct pl_beacon *beacon)
{
  struct pl_router_event event = {.type = PL_ROUTER_BEACON};

  event.u.beacon = beacon;
  step_router (data, &event);
}

static int
answer_ready (void *data, struct MHD_Connection *connection, const char *path,
              struct pl_small_port_answer *answer)
{
  const struct entry *entry = data;

  (void) connection;
  if (strcmp (path, pl_platform_dialect.ready_path) != 0)
    return 404;
  g_string_append (answer->body, "{}");
  return pl_router_is_ready (entry->router) ? 200 : 503;
}

static int
answer_directory (void *data, struct MHD_Connection *connection, const char *path,
                  struct pl_small_port_answer *answer)
{
  const struct entry *entry = data;
  const struct pl_dialect *dialect = &pl_platform_dialect;
  const char *domain
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, dialect->directory_domain);
  const char *region
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, dialect->directory_region);
  const char *addresses[DIRECTORY_HOSTS_MAX];
  g_autofree char *text = NULL;
  int count;

  if (strcmp (path, dialect->directory_path) != 0)
    return 404;
  count = pl_router_select_hosts (entry->router, domain != NULL ? domain : "", region, addresses,
                                  DIRECTORY_HOSTS_MAX, pl_clock_now_us ());
  if (count == 0)
    return 503;
  text = dialect->write_directory (
      addresses, count,
      pl_settings_number (entry->settings, "directory_ttl_ms", DIRECTORY_TTL_DEFAULT_MS) * 1000);
  g_string_append (answer->body, text);
  return 200;
}

static int
answer_metrics (void *data, struct MHD_Connection *connection, const char *path,
                struct pl_small_port_answer *answer)
{
  const struct entry *entry = data;
  size_t buffered_peak;
  size_t buffered = pl_front_buffered_bytes (entry->front, &buffered_peak);

  (void) connection;
  (void) path;
  answer->type = "text/plain";
  pl_router_metrics (entry->router, answer->body);
  pl_beacon_socket_metrics (entry->beacons, answer->body);
  pl_front_metrics (entry->front, answer->body);
  g_string_append_printf (answer->body,
                          "pomelolatch_held_bytes %zu\npomelolatch_held_bytes_most %zu\n", buffered,
                          buffered_peak);
  g_string_append_printf (answer->body,
                          "pomelolatch_load_reports_malformed_total %" G_GUINT64_FORMAT "\n",
                          pl_front_malformed_loads (entry->front));
  return 200;
}

static int
find_region (void *data, const char *region)
{
  const struct entry *entry = data;

  return pl_router_ensure_region (entry->router, region);
}

static char **
copy_text_list (const json_t *settings, const char *field)
{
  const json_t *list = json_object_get (settings, field);
  char **texts = g_new0 (char *, json_array_size (list) + 1);
  size_t i;
  json_t *text;

  json_array_foreach (list, i, text) texts[i] = g_strdup (json_string_value (text));
  return texts;
}

/* Returns the seeds with their ports replaced by this host's peer port: the settings list the seeds
 * with another port, and all hosts listen for peers on the same one. */
static char **
peer_seeds_of (const json_t *settings)
{
  char **seeds = copy_text_list (settings, "seeds");
  const char *port = strrchr (pl_settings_text (settings, "peer", ":0"), ':');

  for (int i = 0; seeds[i] != NULL; i++)
    {
      char *colon = strrchr (seeds[i], ':');
      g_autofree char *listed = seeds[i];

      seeds[i] = g_strdup_printf (
          "%.*s%s", colon != NULL ? (int) (colon - listed) : (int) strlen (listed), listed, port);
    }
  return seeds;
}

/* Returns the host's capacity in thousandths of a core: the CPU share, or what the link can feed if
 * that is less (25 for a link of 5 Mbit/s). */
static int
capacity_of (const json_t *settings)
{
  double cpu = decimal_of (settings, "cpu_share") * 1000;
  double link = decimal_of (settings, "link_mbps") * CAPACITY_PER_MBPS;

  return (int) MAX (MIN (cpu, link), 1.0);
}

/* Returns the port of the address in FIELD of the settings, or NULL if there is none. */
static const char *
port_of (const json_t *settings, const char *field)
{
  const char *colon = strrchr (pl_settings_text (settings, field, ""), ':');

  return colon != NULL ? colon + 1 : NULL;
}

static void
log_bad_setting (const char *field, const char *value)
{
  pl_log (PL_LOG_ERROR, "bad-settings", json_pack ("{s:s,s:s}", "field", field, "value", value));
}

/* Reads the fraction in FIELD, from 0 to 1. */
static int
read_ratio (const json_t *settings, const char *field, double initial, double *ratio)
{
  const char *text = pl_settings_text (settings, field, NULL);
  char *end;

  *ratio = initial;
  if (text == NULL)
    return PL_OK;
  *ratio = g_ascii_strtod (text, &end);
  if (end != text && *end == '\0' && *ratio >= 0 && *ratio <= 1)
    return PL_OK;
  log_bad_setting (field, text);
  return PL_ERR_INVALID;
}

/* Returns whether the platform's terms include one of those for which load is managed. */
static bool
has_managed_terms (const json_t *settings)
{
  size_t i;
  size_t j;
  json_t *term;
  json_t *managed;

  json_array_foreach (json_object_get (settings, "terms"), i, term)
      json_array_foreach (json_object_get (settings, "load_management_terms"), j,
                          managed) if (json_equal (term, managed)) return true;
  return false;
}

/* Reads whether managed services are shared fairly between client accounts. */
static int
read_fair_shares (const json_t *settings, struct pl_router_options *options)
{
  const char *text = pl_settings_text (settings, "fair_shares", "off");

  if (strcmp (text, "on") != 0 && strcmp (text, "off") != 0)
    {
      log_bad_setting ("fair_shares", text);
      return PL_ERR_INVALID;
    }
  if (strcmp (text, "off") == 0)
    options->switches |= PL_ROUTER_NO_SHARES;
  return PL_OK;
}

static int
read_load_management (const json_t *settings, struct pl_router_options *options)
{
  static const char *const names[] = {[PL_LOAD_MANAGEMENT_OFF] = "off",
                                      [PL_LOAD_MANAGEMENT_REPORTED] = "reported",
                                      [PL_LOAD_MANAGEMENT_ON] = "on"};
  const char *name = pl_settings_text (settings, "load_management", "off");
  size_t management = 0;

  while (management < G_N_ELEMENTS (names) && strcmp (names[management], name) != 0)
    management++;
  if (management == G_N_ELEMENTS (names))
    {
      log_bad_setting ("load_management", name);
      return PL_ERR_INVALID;
    }
  options->load_management
      = has_managed_terms (settings) ? PL_LOAD_MANAGEMENT_ON : (enum pl_load_management) management;
  if (read_fair_shares (settings, options) < 0)
    return PL_ERR_INVALID;
  if (read_ratio (settings, "max_shift", MAX_SHIFT_DEFAULT, &options->max_shift) < 0)
    return PL_ERR_INVALID;
  return read_ratio (settings, "hedge_ratio", 0, &options->hedge_ratio);
}

static int
create_router (struct entry *entry)
{
  const json_t *settings = entry->settings;
  struct pl_router_options options = {
      .switches = (unsigned) pl_settings_number (settings, "switches", 0),
      .name = pl_settings_text (settings, "name", ""),
      .domain = pl_settings_text (settings, "domain", ""),
      .caller_address = pl_settings_text (settings, "caller", ""),
      .peer_address = pl_settings_text (settings, "peer", ""),
      .relay_address = pl_settings_text (settings, "peer", ""),
      .handover_port = port_of (settings, "handover"),
      /* The time of day distinguishes the starts of a host.  If the clock was set back, other hosts
       * accept the lower value after a while. */
      .incarnation = (uint64_t) g_get_real_time (),
      .capacity = capacity_of (settings),
      .now_us = pl_clock_now_us (),
      .retry_ratio = decimal_of (settings, "retry_ratio"),
      .retry_slack = decimal_of (settings, "retry_slack"),
      .decode = pl_platform_dialect.decode_row,
      .decode_data = &entry->regions,
  };

  if (read_load_management (settings, &options) < 0)
    return PL_ERR_INVALID;
  entry->domains = copy_text_list (settings, "domains");
  entry->seeds = peer_seeds_of (settings);
  options.domains = (const char *const *) entry->domains;
  options.seeds = (const char *const *) entry->seeds;
  if (!pl_platform_dialect.read_duration (pl_settings_text (settings, "grace", ""),
                                          &options.grace_us))
    {
      log_bad_setting ("grace", pl_settings_text (settings, "grace", ""));
      return PL_ERR_INVALID;
    }
  entry->grace_us = options.grace_us;
  entry->regions.find = find_region;
  entry->regions.data = entry;
  entry->router = pl_router_new (&options);
  return PL_OK;
}

static int
open_ports (struct entry *entry)
{
  const json_t *settings = entry->settings;
  struct pl_front_options front = {
      .address = pl_settings_text (settings, "caller", ""),
      .handover_address = pl_settings_text (settings, "handover", NULL),
      .dialect = &pl_platform_dialect,
      .reactor = entry->reactor,
      .client = entry->request_client,
      .memory_limit
      = (size_t) (decimal_of (settings, "memory_mb") * BYTES_PER_MB * BUFFER_MEMORY_RATIO),
      .post = post_event,
      .data = entry,
  };
  struct pl_beacon_socket_options beacons = {
      .address = pl_settings_text (settings, "peer", ""),
      .reactor = entry->reactor,
      .on_beacon = handle_beacon,
      .data = entry,
  };
  struct pl_small_port_options ports[] = {
      {pl_settings_text (settings, "ready", ""), entry->reactor, answer_ready, entry},
      {pl_settings_text (settings, "directory", ""), entry->reactor, answer_directory, entry},
      {pl_settings_text (settings, "metrics", ""), entry->reactor, answer_metrics, entry},
      {pl_settings_text (settings, "peer", ""), entry->reactor, pl_relay_answer, &entry->relay},
  };

  entry->relay = (struct pl_relay){
      .router = entry->router,
      .bytes_per_second = decimal_of (settings, "link_mbps") * BYTES_PER_MBIT * RELAY_LINK_RATIO,
      .refilled_us = pl_clock_now_us (),
  };
  entry->front = pl_front_new (&front);
  entry->beacons = pl_beacon_socket_open (&beacons);
  if (entry->front == NULL || entry->beacons == NULL)
    {
      pl_log (
          PL_LOG_ERROR, "can-not-listen",
          json_pack ("{s:b,s:b}", "caller", entry->front != NULL, "peer", entry->beacons != NULL));
      return PL_ERR_UNAVAILABLE;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (ports); i++)
    {
      ports[i].lingering = pl_front_lingering (entry->front);
      if (pl_small_port_open (&ports[i]) == PL_OK)
        continue;
      pl_log (PL_LOG_ERROR, "can-not-listen", json_pack ("{s:s}", "address", ports[i].address));
      return PL_ERR_UNAVAILABLE;
    }
  return PL_OK;
}

/* Applies the settings that can change while the process runs: directory_ttl_ms. */
static void
reload_settings (struct entry *entry)
{
  json_t *settings = pl_settings_read (entry->settings_file, settings_fields);

  if (settings == NULL)
    {
      pl_log (PL_LOG_ERROR, "settings-rejected", json_pack ("{s:s}", "file", entry->settings_file));
      return;
    }
  /* The router and the ports borrow texts from the initial settings, which are therefore kept. */
  json_object_set (entry->settings, "directory_ttl_ms",
                   json_object_get (settings, "directory_ttl_ms"));
  json_decref (settings);
  pl_log (PL_LOG_INFO, "settings-reloaded", NULL);
}

static void
on_signal (void *data, int fd, uint32_t events)
{
  struct entry *entry = data;
  struct pl_router_event stop = {.type = PL_ROUTER_STOP};
  struct signalfd_siginfo info;

  (void) events;
  while (read (fd, &info, sizeof info) == (ssize_t) sizeof info)
    {
      if (info.ssi_signo == SIGHUP)
        {
          reload_settings (entry);
          continue;
        }
      pl_log (PL_LOG_INFO, "stopping", json_pack ("{s:i}", "signal", (int) info.ssi_signo));
      entry->stop_deadline_us = pl_clock_now_us () + entry->grace_us * STOP_DEADLINE_PERCENT / 100;
      post_event (entry, &stop);
    }
}

static void
watch_signals (struct entry *entry)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (SIG_BLOCK, &set, NULL);
  pl_reactor_watch (entry->reactor, signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC), EPOLLIN,
                    on_signal, entry);
}

static int
run (struct entry *entry)
{
  struct pl_store_reader_options store = {
      .address = pl_settings_text (entry->settings, "store", ""),
      .on_rows = handle_rows,
      .on_state = handle_store_state,
      .on_read = handle_store_read,
      .on_quiet = handle_store_quiet,
      .data = entry,
  };

  entry->reactor = pl_reactor_new ();
  pl_reactor_report_stalls (entry->reactor, STALL_US, log_stall, NULL);
  g_queue_init (&entry->events);
  watch_signals (entry);
  entry->request_client = pl_http_client_new_on_reactor (entry->reactor);
  entry->control_client = pl_http_client_new_on_reactor (entry->reactor);
  entry->router_timer = pl_reactor_add_timer (entry->reactor, on_router_timer, entry);
  store.client = entry->control_client;
  store.reactor = entry->reactor;
  entry->store = pl_platform_store.start (&store);
  if (create_router (entry) < 0 || open_ports (entry) < 0)
    {
      pl_log_flush ();
      return EXIT_FAILURE; /* no resource outlives the process */
    }
  pl_reactor_add_wait_hook (entry->reactor, process_events, entry);
  entry->busy_timer = pl_reactor_add_timer (entry->reactor, measure_busy, entry);
  entry->busy_period_start_us = pl_clock_now_us ();
  pl_reactor_arm_timer (entry->reactor, entry->busy_timer,
                        entry->busy_period_start_us + BUSY_PERIOD_US);
  pl_log (PL_LOG_INFO, "started",
          json_pack ("{s:s}", "domain", pl_settings_text (entry->settings, "domain", "")));
  pl_reactor_run (entry->reactor);
  pl_lingering_end_all (pl_front_lingering (entry->front));
  pl_log (PL_LOG_INFO, "stopped", NULL);
  pl_log_flush ();
  /* Every request that was read is answered, or the stop deadline has passed.  The kernel closes
   * the descriptors that are left. */
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  g_autofree char *file = NULL;
  gboolean check = FALSE;
  GOptionEntry entries[]
      = {{"settings", 's', 0, G_OPTION_ARG_FILENAME, &file, "Settings file", "FILE"},
         {"check", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings and exit", NULL},
         {NULL}};
  g_autoptr (GOptionContext) context = g_option_context_new ("- run an entry host on a platform");
  g_autoptr (GError) error = NULL;
  struct entry entry = {0};

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context, "Exit status: 0 after a graceful stop or a passed check, 1 on failure, 2 on bad\n"
               "usage or settings.\n\nExample:\n  pomelolatch-entry --settings entry.yaml\n");
  if (!g_option_context_parse (context, &argc, &argv, &error) || file == NULL)
    {
      fprintf (stderr, "pomelolatch-entry: %s\n",
               error != NULL ? error->message : "--settings FILE is required");
      return 2;
    }
  entry.settings_file = file;
  entry.settings = pl_settings_read (file, settings_fields);
  if (entry.settings == NULL)
    return 2;
  if (pl_settings_configure_log (entry.settings, file) < 0)
    return 2;
  if (read_load_management (entry.settings, &(struct pl_router_options){0}) < 0)
    {
      pl_log_flush ();
      return 2;
    }
  if (check)
    return EXIT_SUCCESS;
  signal (SIGPIPE, SIG_IGN);
  mallopt (M_ARENA_MAX, 1);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_FAILURE;
  return run (&entry);
}
