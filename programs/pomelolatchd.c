/* pomelolatchd - the daemon of an entry host.
 *
 * Connects the reducer to its input and output: the callers' port, the forward
 * port, the peer port, the operators' port and the store.  SIGTERM or SIGINT
 * begins a graceful stop: look-ups no longer select the host, it continues to
 * listen until look-up answers cached by callers have expired, completes the
 * open requests, and exits.
 */
#include "internal/clock.h"
#include "internal/entry.h"
#include "internal/keys.h"
#include "internal/log.h"
#include "internal/loop.h"
#include "internal/operator_http.h"
#include "internal/peer_rpc.h"
#include "internal/settings.h"
#include "internal/snapshot.h"
#include "internal/store_http.h"
#include "pomelolatch/error.h"

#include <curl/curl.h>
#include <glib-unix.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEAVING_LIST_PERIOD_S 1
#define HISTORY_RELEASES_MAX 100
#define BODY_MAX_DEFAULT ((int64_t) 256 << 20)

static const struct pl_field settings_fields[] = {
    {"name", PL_FIELD_NAME, true, 0, 0, NULL},
    {"caller", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"forward", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"peer", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"operator", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"platform", PL_FIELD_ADDRESS, true, 0, 0, NULL},
    {"peer_secret", PL_FIELD_HASH, true, 0, 0, NULL},
    {"operator_key_hash", PL_FIELD_HASH, true, 0, 0, NULL},
    {"log_level", PL_FIELD_TEXT, false, 0, 0, NULL},
    {"body_max_bytes", PL_FIELD_NUMBER, false, 1, INT64_MAX, NULL},
    {"heartbeat_ms", PL_FIELD_NUMBER, false, 10, 60000, NULL},
    {"store_poll_ms", PL_FIELD_NUMBER, false, 10, 60000, NULL},
    {"lookup_ttl_ms", PL_FIELD_NUMBER, false, 100, 600000, NULL},
    {"remote_patience_ms", PL_FIELD_NUMBER, false, 1, 60000, NULL},
    {"switches", PL_FIELD_NUMBER, false, 0, 65535, NULL},
    {"allow_faults", PL_FIELD_BOOL, false, 0, 0, NULL},
    {NULL},
};

struct host
{
  json_t *settings;
  struct pl_loop *loop;
  struct pl_http_client *traffic_client;
  struct pl_http_client *store_client;
  struct pl_store *store;
  struct pl_peers *peers;
  struct pl_entry *entry;
  struct pl_operators *operators;
  GMainLoop *main_loop;
};

static void
post_event (void *data, const struct pl_event *event)
{
  struct host *host = data;

  pl_loop_post (host->loop, event);
}

static void
on_message (void *data, struct pl_message *message)
{
  struct host *host = data;
  struct pl_event event = {.type = PL_EVENT_MESSAGE};

  event.u.message = *message;
  pl_loop_post (host->loop, &event);
}

static void
adopt_config (struct host *host, const struct pl_config *config)
{
  uint64_t own = pl_id_of ("entry_hosts", pl_settings_text (host->settings, "name", ""));

  pl_log (PL_LOG_INFO, "configuration-in-force",
          json_pack ("{s:I}", "version", (json_int_t) config->version));
  for (guint i = 0; i < config->hosts->len; i++)
    if (PL_HOST (config, i)->id != own)
      pl_peers_set_address (host->peers, PL_HOST (config, i)->id,
                            PL_HOST (config, i)->peer_address);
}

static gboolean
quit (gpointer data)
{
  struct host *host = data;

  g_main_loop_quit (host->main_loop);
  return G_SOURCE_REMOVE;
}

static void
log_refusal (const struct pl_effect *effect)
{
  enum pl_refusal refusal = effect->u.refuse.refusal;
  enum pl_log_level level = refusal == PL_REFUSAL_OVER_RATE ? PL_LOG_DEBUG : PL_LOG_INFO;

  pl_log (level, "refused",
          json_pack ("{s:s,s:b}", "reason", pl_refusals[refusal].name, "may_have_run",
                     effect->u.refuse.attempt_ran));
}

static void
execute (void *data, struct pl_effect *effect)
{
  struct host *host = data;

  switch (effect->type)
    {
    case PL_EFFECT_REFUSE:
      log_refusal (effect);
      pl_entry_execute (host->entry, effect);
      break;
    case PL_EFFECT_DISPATCH:
    case PL_EFFECT_FORWARD:
    case PL_EFFECT_REPLAY:
    case PL_EFFECT_CANCEL:
    case PL_EFFECT_PROBE:
      pl_entry_execute (host->entry, effect);
      break;
    case PL_EFFECT_SEND:
      pl_peers_send (host->peers, effect->u.send.peer, &effect->u.send.message);
      break;
    case PL_EFFECT_STORE:
      pl_store_call (host->store, effect->u.store);
      break;
    case PL_EFFECT_CONFIG:
      adopt_config (host, effect->u.config);
      break;
    case PL_EFFECT_LOOKUP:
      pl_snapshot_publish (g_steal_pointer (&effect->u.lookup));
      break;
    case PL_EFFECT_RELEASED:
      pl_operators_complete_release (host->operators, effect);
      break;
    case PL_EFFECT_STOPPED:
      g_idle_add (quit, host);
      break;
    }
}

/* Handles an effect whose valid_until_us has passed.  Attempts and store calls are reported to the
 * reducer, which waits for them; a configuration, a claim and a probe are executed all the same;
 * every other effect is dropped. */
static void
on_expired (void *data, struct pl_effect *effect)
{
  struct host *host = data;
  struct pl_event event = {.type = PL_EVENT_STORE};

  if (effect->type == PL_EFFECT_DISPATCH || effect->type == PL_EFFECT_FORWARD)
    pl_attempt_report_skipped (host->entry, effect->request, effect->attempt, PL_OUTCOME_EXPIRED);
  if (effect->type == PL_EFFECT_CONFIG)
    adopt_config (host, effect->u.config);
  if (effect->type == PL_EFFECT_STORE)
    {
      /* The call was not made: its outcome is reported, since the reducer waits for it. */
      event.u.store.call = effect->u.store->call;
      event.u.store.ticket = effect->u.store->ticket;
      event.u.store.result = PL_ERR_UNAVAILABLE;
      if (effect->u.store->call == PL_STORE_CLAIM)
        pl_store_call (host->store, effect->u.store);
      else
        pl_loop_post (host->loop, &event);
    }
  if (effect->type == PL_EFFECT_PROBE)
    pl_attempt_probe (host->entry, effect);
}

static json_t *
make_report (void *data)
{
  struct host *host = data;
  json_t *report = pl_loop_report (host->loop);

  json_object_set_new (report, "peer_bytes_sent",
                       json_integer ((json_int_t) pl_peers_bytes_sent (host->peers)));
  return report;
}

static void
set_peer_partitioned (void *data, const char *peer, bool partitioned)
{
  struct host *host = data;
  uint64_t id = pl_id_of ("entry_hosts", peer);

  pl_peers_set_partitioned (host->peers, id, partitioned);
  pl_entry_set_partitioned (host->entry, id, partitioned);
}

static json_t *
read_history (void *data)
{
  struct host *host = data;
  json_t *report = pl_loop_report (host->loop);
  json_int_t version = json_integer_value (json_object_get (report, "version"));

  json_decref (report);
  return pl_store_read_history (host->store, MAX (version - HISTORY_RELEASES_MAX, 0));
}

static gboolean
fetch_leaving_list (gpointer data)
{
  struct host *host = data;

  pl_store_fetch_leaving_list (host->store);
  return G_SOURCE_CONTINUE;
}

static gboolean
start_graceful_stop (gpointer data)
{
  struct host *host = data;
  struct pl_event event = {.type = PL_EVENT_STOP};

  pl_log (PL_LOG_INFO, "stopping", NULL);
  pl_entry_disable_keepalive (host->entry);
  pl_loop_post (host->loop, &event);
  return G_SOURCE_CONTINUE;
}

static void
read_hash (const json_t *settings, const char *field, uint8_t *hash)
{
  const char *text = pl_settings_text (settings, field, "");

  sodium_hex2bin (hash, PL_KEY_HASH_BYTES, text, strlen (text), NULL, NULL, NULL);
}

static struct pl_core *
make_core (const json_t *settings, uint64_t nonce)
{
  struct pl_core_options options = {
      .name = pl_settings_text (settings, "name", ""),
      .nonce = nonce,
      .switches = (unsigned) pl_settings_number (settings, "switches", 0),
      .now_us = pl_clock_now_us (),
      .heartbeat_us = pl_settings_number (settings, "heartbeat_ms", 0) * 1000,
      .store_poll_us = pl_settings_number (settings, "store_poll_ms", 0) * 1000,
      .lookup_ttl_us = pl_settings_number (settings, "lookup_ttl_ms", 0) * 1000,
      .local_wait_us = pl_settings_number (settings, "remote_patience_ms", 0) * 1000,
  };

  return pl_core_new (&options);
}

/* Opens all ports.  Returns 0, or PL_ERR_UNAVAILABLE after logging which could not be opened. */
static int
open_ports (struct host *host, uint64_t nonce)
{
  const json_t *settings = host->settings;
  struct pl_peers_options peers = {
      .name = pl_settings_text (settings, "name", ""),
      .listen = pl_settings_text (settings, "peer", ""),
      .nonce = nonce,
      .on_message = on_message,
      .data = host,
  };
  struct pl_entry_options entry = {
      .caller_address = pl_settings_text (settings, "caller", ""),
      .forward_address = pl_settings_text (settings, "forward", ""),
      .body_max = pl_settings_number (settings, "body_max_bytes", BODY_MAX_DEFAULT),
      .client = host->traffic_client,
      .post = post_event,
      .data = host,
  };
  struct pl_operators_options operators = {
      .address = pl_settings_text (settings, "operator", ""),
      .allow_faults = json_is_true (json_object_get (settings, "allow_faults")),
      .post = post_event,
      .report = make_report,
      .set_partitioned = set_peer_partitioned,
      .history = read_history,
      .data = host,
  };

  read_hash (settings, "peer_secret", peers.secret);
  read_hash (settings, "peer_secret", entry.secret);
  read_hash (settings, "operator_key_hash", operators.key_hash);
  host->peers = pl_peers_new (&peers);
  host->entry = pl_entry_new (&entry);
  host->operators = pl_operators_new (&operators);
  if (host->peers != NULL && host->entry != NULL && host->operators != NULL)
    return PL_OK;
  pl_log (PL_LOG_ERROR, "can-not-listen",
          json_pack ("{s:b,s:b,s:b}", "peer", host->peers != NULL, "caller_and_forward",
                     host->entry != NULL, "operator", host->operators != NULL));
  return PL_ERR_UNAVAILABLE;
}

static int
run (json_t *settings)
{
  struct host host = {.settings = settings};
  struct pl_loop_options loop = {.execute = execute, .on_expired = on_expired, .data = &host};
  struct pl_store_options store = {.on_event = post_event, .data = &host};
  uint64_t nonce = 0;
  int result;

  /* 62 bits, because the nonce is also written to JSON, whose integers are signed. */
  randombytes_buf (&nonce, sizeof nonce);
  nonce >>= 2;
  host.main_loop = g_main_loop_new (NULL, FALSE);
  host.traffic_client = pl_http_client_new ("traffic");
  host.store_client = pl_http_client_new ("store");
  loop.core = make_core (settings, nonce);
  host.loop = pl_loop_new (&loop);
  store.client = host.store_client;
  store.address = pl_settings_text (settings, "platform", "");
  host.store = pl_store_new (&store);
  result = open_ports (&host, nonce);
  if (result < 0)
    {
      pl_log_flush ();
      return EXIT_FAILURE; /* no resource that outlives the process is held yet */
    }
  pl_loop_start (host.loop);
  g_timeout_add_seconds (LEAVING_LIST_PERIOD_S, fetch_leaving_list, &host);
  g_unix_signal_add (SIGTERM, start_graceful_stop, &host);
  g_unix_signal_add (SIGINT, start_graceful_stop, &host);
  pl_log (PL_LOG_INFO, "started", NULL);
  g_main_loop_run (host.main_loop);
  pl_entry_finish_closing (host.entry);
  pl_log (PL_LOG_INFO, "stopped", NULL);
  pl_log_flush ();
  /* Nothing is freed: every request is complete and the host's name is released in the store. */
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
  g_autoptr (GOptionContext) context = g_option_context_new ("- an entry host");
  g_autoptr (GError) error = NULL;
  json_t *settings;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_set_description (
      context, "Exit status: 0 after a graceful stop or a passed check, 1 on failure, 2 on bad\n"
               "usage or settings.\n\nExample:\n  pomelolatchd --settings erie-a-1.yaml\n");
  if (!g_option_context_parse (context, &argc, &argv, &error) || file == NULL)
    {
      fprintf (stderr, "pomelolatchd: %s\n",
               error != NULL ? error->message : "--settings FILE is required");
      return 2;
    }
  settings = pl_settings_read (file, settings_fields);
  if (settings == NULL)
    return 2;
  if (pl_settings_configure_log (settings, file) < 0)
    return 2;
  if (check)
    return EXIT_SUCCESS;
  signal (SIGPIPE, SIG_IGN);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_FAILURE;
  return run (settings);
}
