/* The configuration in force: how it is adopted and how operators change it.
 *
 * Versions are consecutive, and the content of each is fixed by the store's
 * compare-and-swap on the head row.  A host adopts, from the store or from a
 * peer, either the release that follows the version in force or a snapshot of a
 * higher version, so the version in force never decreases.
 *
 * An operator's release is first looked up by its id, then checked against the
 * configuration in force and committed to the head.  If another release was
 * committed first, it is checked again on top of that one.  If the answer to the
 * commit is lost, the id is looked up; the release is not written again.
 *
 * The head call also returns which process holds this host's name.
 */
#include "internal/core_state.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#define CONTROL_TIMER_US (20 * PL_US_PER_MS)
#define CONFIRM_POLL_US (100 * PL_US_PER_MS)
#define RELEASE_LOG_MAX 256 /* releases kept for peers that lag behind */

/* Acquires this host's name in the store or, when it holds the name, records the version in force
 * there. */
static void
send_name_call (struct pl_core *core)
{
  core->name_call_pending = true;
  g_strlcpy (core_add_store_effect (core, PL_STORE_NAME)->id, core->name, PL_ID_CHARS);
}

void
control_release_name (struct pl_core *core)
{
  struct pl_store_request *store = core_add_store_effect (core, PL_STORE_NAME);

  core->name_released = true;
  core->holds_name = false;
  budgets_set_shares (core);
  g_strlcpy (store->id, core->name, PL_ID_CHARS);
  store->name_released = true;
}

static bool
changes_hosts (const json_t *changes)
{
  size_t i;
  json_t *change;

  json_array_foreach (changes, i, change)
  {
    const char *kind = json_string_value (json_object_get (change, "kind"));

    if (strcmp (kind, "entry_hosts") == 0 || strcmp (kind, "domains") == 0)
      return true;
  }
  return false;
}

/* Returns the document that results from RELEASE as VERSION, or NULL with findings added; the
 * caller owns it. */
static json_t *
document_after (struct pl_core *core, const struct pl_release *release, int64_t version,
                struct pl_findings *findings)
{
  json_t *before = core->config != NULL ? json_incref (core->config->document) : json_object ();
  json_t *after = pl_release_apply (before, release, findings);

  if (after != NULL)
    json_object_set_new (
        after, "hosts_version",
        json_integer (changes_hosts (release->changes) ? version : core->hosts_version));
  json_decref (before);
  return after;
}

/* Returns whether VERSION may replace the configuration in force. */
static bool
may_adopt (const struct pl_core *core, int64_t version)
{
  if ((core->switches & PL_SWITCH_FREEZE_CONFIG) != 0 && core->config != NULL)
    return false;
  return version > pl_core_version (core);
}

/* Puts DOCUMENT in force as VERSION, which must be higher than the one in force. */
void
control_adopt (struct pl_core *core, json_t *document, int64_t version)
{
  struct pl_config *config = pl_config_new (document, version);
  json_t *old_blocks = NULL;
  json_t *new_blocks = json_object_get (document, "blocks");
  int64_t hosts_version = json_integer_value (json_object_get (document, "hosts_version"));

  assert (may_adopt (core, version));
  if (core->config != NULL)
    old_blocks = json_object_get (core->config->document, "blocks");
  if (core->blocks == NULL || !json_equal (old_blocks, new_blocks))
    {
      pl_blocks_unref (core->blocks);
      core->blocks
          = pl_blocks_new ((struct pl_block_config *) config->blocks->data, config->blocks->len);
    }
  pl_config_unref (core->config);
  core->config = config;
  peers_adopt (core);
  servers_adopt (core);
  if (hosts_version != core->hosts_version)
    {
      core->hosts_version = hosts_version;
      if (core->holds_name)
        send_name_call (core);
    }
  budgets_adopt (core);
  core_add_effect (core, PL_EFFECT_CONFIG)->u.config = pl_config_ref (config);
  core_publish_lookup (core);
  peers_send_heartbeat (core);
}

static void
log_release (struct pl_core *core, int64_t version, const json_t *release)
{
  g_ptr_array_add (core->release_log, json_pack ("{s:I,s:O}", "version", (json_int_t) version,
                                                 "release", (json_t *) release));
  if (core->release_log->len > RELEASE_LOG_MAX)
    g_ptr_array_remove_index (core->release_log, 0);
}

/* Applies ENTRY, {"version","release"}, if it follows the version in force. */
static int
adopt_release (struct pl_core *core, const json_t *entry)
{
  int64_t version = json_integer_value (json_object_get (entry, "version"));
  struct pl_findings *findings;
  struct pl_release *release;
  json_t *document = NULL;

  if (version != pl_core_version (core) + 1 || !may_adopt (core, version))
    return PL_ERR_STALE;
  release = pl_release_from_json (json_object_get (entry, "release"));
  if (release == NULL)
    return PL_ERR_INVALID;
  findings = pl_findings_new ("store");
  document = document_after (core, release, version, findings);
  if (document != NULL)
    {
      log_release (core, version, json_object_get (entry, "release"));
      control_adopt (core, document, version);
    }
  json_decref (document);
  pl_findings_free (findings);
  pl_release_free (release);
  return document != NULL ? PL_OK : PL_ERR_INVALID;
}

static int
adopt_snapshot (struct pl_core *core, const json_t *snapshot)
{
  int64_t version = json_integer_value (json_object_get (snapshot, "version"));
  json_t *document = json_object_get (snapshot, "document");

  if (!may_adopt (core, version))
    return PL_ERR_STALE;
  if (!json_is_object (document))
    return PL_ERR_INVALID;
  g_ptr_array_set_size (core->release_log, 0);
  control_adopt (core, document, version);
  return PL_OK;
}

/* Sends PEER what it lacks after PEER_VERSION: releases if the log reaches back far enough, else a
 * snapshot. */
void
control_send_releases (struct pl_core *core, uint64_t peer, int64_t peer_version)
{
  struct pl_message message = {.type = PL_MESSAGE_RELEASE};
  json_t *snapshot;
  int64_t first;

  if (pl_core_version (core) <= peer_version)
    return;
  first = pl_core_version (core) - (int64_t) core->release_log->len + 1;
  if (first <= peer_version + 1)
    {
      for (guint i = (guint) (peer_version + 1 - first); i < core->release_log->len; i++)
        {
          const json_t *entry = g_ptr_array_index (core->release_log, i);

          message.u.document.version = json_integer_value (json_object_get (entry, "version"));
          message.u.document.text = json_dumps (entry, JSON_COMPACT);
          peers_send (core, peer, &message);
          free (message.u.document.text);
        }
      return;
    }
  snapshot = json_pack ("{s:I,s:O}", "version", (json_int_t) pl_core_version (core), "document",
                        core->config->document);
  message.type = PL_MESSAGE_SNAPSHOT;
  message.u.document.version = pl_core_version (core);
  message.u.document.text = json_dumps (snapshot, JSON_COMPACT);
  peers_send (core, peer, &message);
  free (message.u.document.text);
  json_decref (snapshot);
}

void
control_on_document (struct pl_core *core, struct pl_message *message)
{
  json_t *json;

  if (message->u.document.text == NULL || !may_adopt (core, message->u.document.version))
    return;
  json = json_loads (message->u.document.text, 0, NULL);
  if (message->type == PL_MESSAGE_RELEASE)
    adopt_release (core, json);
  else
    adopt_snapshot (core, json);
  json_decref (json);
}

/* Sends releases that came from the store to the peers that lack them. */
static void
send_new_releases (struct pl_core *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct member *member = value;

      if (member->index != PL_NONE && member->heard
          && member->heartbeat.version < pl_core_version (core))
        control_send_releases (core, member->id, member->heartbeat.version);
    }
}

static void
send_release_result (struct pl_core *core, struct pending_release *pending, int result,
                     int64_t version, struct pl_findings *findings)
{
  struct pl_effect *effect = core_add_effect (core, PL_EFFECT_RELEASED);

  effect->valid_until_us = INT64_MAX;
  effect->u.released.ticket = pending->ticket;
  effect->u.released.result = result;
  effect->u.released.version = version;
  if (findings != NULL)
    effect->u.released.findings = pl_findings_to_json (findings);
  g_queue_remove (&core->releases, pending);
  pl_release_free (pending->release);
  json_decref (pending->document);
  g_free (pending);
}

static void
digest_release (struct pending_release *pending)
{
  unsigned char hash[PL_KEY_HASH_BYTES];
  json_t *json = pl_release_to_json (pending->release);
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);

  crypto_generichash (hash, sizeof hash, (unsigned char *) text, strlen (text), NULL, 0);
  sodium_bin2hex (pending->digest, sizeof pending->digest, hash, sizeof hash);
  free (text);
  json_decref (json);
}

static void
send_find_call (struct pl_core *core, struct pending_release *pending, enum release_phase phase)
{
  struct pl_store_request *store = core_add_store_effect (core, PL_STORE_FIND);

  pending->phase = phase;
  pending->store_ticket = store->ticket;
  g_strlcpy (store->id, pending->release->id, sizeof store->id);
}

void
control_on_release (struct pl_core *core, struct pl_release_event *event)
{
  struct pending_release *pending = g_new0 (struct pending_release, 1);

  pending->ticket = event->ticket;
  pending->release = event->release;
  pending->check_only = event->check_only;
  digest_release (pending);
  g_queue_push_tail (&core->releases, pending);
  send_find_call (core, pending, RELEASE_FINDING);
}

static void
commit_release (struct pl_core *core, struct pending_release *pending)
{
  struct pl_findings *findings = pl_findings_new (pending->release->id);
  int64_t version = pl_core_version (core) + 1;
  struct pl_store_request *store;
  json_t *json;

  json_decref (pending->document);
  pending->document = document_after (core, pending->release, version, findings);
  if (pending->document == NULL || pending->check_only)
    {
      send_release_result (core, pending, pending->document == NULL ? PL_ERR_INVALID : PL_OK,
                           version - 1, findings);
      pl_findings_free (findings);
      return;
    }
  pl_findings_free (findings);
  store = core_add_store_effect (core, PL_STORE_COMMIT);
  json = pl_release_to_json (pending->release);
  store->version = version - 1;
  store->text = json_dumps (json, JSON_COMPACT);
  store->document = json_dumps (pending->document, JSON_COMPACT);
  g_strlcpy (store->id, pending->release->id, sizeof store->id);
  g_strlcpy (store->digest, pending->digest, sizeof store->digest);
  pending->store_ticket = store->ticket;
  pending->phase = RELEASE_COMMITTING;
  json_decref (json);
}

static void
on_found (struct pl_core *core, struct pending_release *pending, const struct pl_store_event *event)
{
  if (event->result == PL_OK)
    send_release_result (core, pending,
                         strcmp (event->digest, pending->digest) == 0 ? PL_OK : PL_ERR_CONFLICT,
                         event->version, NULL);
  else if (event->result == PL_ERR_NOT_FOUND && pending->phase == RELEASE_FINDING)
    pending->phase = RELEASE_READY;
  else if (event->result == PL_ERR_NOT_FOUND)
    send_release_result (core, pending, PL_ERR_TIMEOUT, 0, NULL);
  else
    send_release_result (core, pending,
                         pending->phase == RELEASE_FINDING ? PL_ERR_UNAVAILABLE : PL_ERR_TIMEOUT, 0,
                         NULL);
}

static void
on_committed (struct pl_core *core, struct pending_release *pending,
              const struct pl_store_event *event)
{
  json_t *entry;

  switch (event->result)
    {
    case PL_OK:
      entry = json_pack ("{s:I,s:o}", "version", (json_int_t) event->version, "release",
                         pl_release_to_json (pending->release));
      adopt_release (core, entry);
      json_decref (entry);
      send_new_releases (core);
      send_release_result (core, pending, PL_OK, event->version, NULL);
      break;
    case PL_ERR_CONFLICT:
      /* Another release was committed first: read it, then check this one again. */
      pending->phase = RELEASE_CATCHING_UP;
      core->head_due_us = core->now_us;
      break;
    case PL_ERR_TIMEOUT:
      send_find_call (core, pending, RELEASE_RESOLVING);
      break;
    default:
      send_release_result (core, pending, event->result, 0, NULL);
      break;
    }
}

static struct pending_release *
find_pending_release (struct pl_core *core, uint64_t ticket)
{
  for (GList *at = core->releases.head; at != NULL; at = at->next)
    if (((struct pending_release *) at->data)->store_ticket == ticket)
      return at->data;
  return NULL;
}

static int64_t
poll_period (const struct pl_core *core)
{
  int hosts = 1;

  /* The hosts of a domain share the polling: each polls less often and passes on what it reads. */
  if (core->self != PL_NONE)
    hosts = pl_config_count_hosts (core->config, PL_HOST (core->config, core->self)->domain);
  if (core->confirmed_version < core->hosts_version || (core->name_unverified && core->holds_name))
    return CONFIRM_POLL_US;
  return core->options.store_poll_us * hosts;
}

static void
check_name (struct pl_core *core, const struct pl_store_event *event)
{
  if (core->stopping)
    return;
  if (!core->holds_name && !core->name_call_pending && core->config != NULL && core->self != PL_NONE
      && core->incarnation == 0)
    send_name_call (core);
  if (core->holds_name && event->name_nonce != core->nonce)
    {
      /* Another process has acquired the name: this one continues with borrowed tokens only. */
      core->holds_name = false;
      budgets_set_shares (core);
    }
  else if (core->holds_name && core->name_unverified)
    {
      core->name_unverified = false;
      core->refill_from_us = core->now_us;
      budgets_restart (core);
    }
}

static void
on_head (struct pl_core *core, const struct pl_store_event *event)
{
  int64_t version_before = pl_core_version (core);
  size_t i;
  json_t *entry;

  core->head_call_pending = false;
  core->head_due_us = core->now_us + poll_period (core);
  if (event->result < 0)
    return;
  core->store_read_at_us = core->now_us;
  if (event->snapshot != NULL)
    adopt_snapshot (core, event->snapshot);
  json_array_foreach (event->releases, i, entry) adopt_release (core, entry);
  if (pl_core_version (core) > version_before)
    send_new_releases (core);
  if (event->confirmed_version != core->confirmed_version)
    {
      core->confirmed_version = event->confirmed_version;
      budgets_set_shares (core);
    }
  check_name (core, event);
  for (GList *at = core->releases.head; at != NULL; at = at->next)
    {
      struct pending_release *pending = at->data;

      if (pending->phase == RELEASE_CATCHING_UP)
        pending->phase = RELEASE_READY;
    }
}

static void
on_name (struct pl_core *core, const struct pl_store_event *event)
{
  core->name_call_pending = false;
  if (core->name_released)
    return;
  if (event->result < 0)
    {
      if (core->holds_name)
        send_name_call (core); /* the version in force here must be recorded */
      return;
    }
  core->head_due_us = core->now_us;
  if (core->holds_name)
    return;
  core->holds_name = true;
  core->incarnation = event->name_incarnation;
  core->refill_from_us = core->now_us + (event->taken_over ? PL_NAME_FENCE_US : 0);
  budgets_restart (core);
}

void
control_on_store (struct pl_core *core, struct pl_store_event *event)
{
  struct pending_release *pending = find_pending_release (core, event->ticket);

  switch (event->call)
    {
    case PL_STORE_HEAD:
      on_head (core, event);
      break;
    case PL_STORE_NAME:
      on_name (core, event);
      break;
    case PL_STORE_FIND:
      if (pending != NULL)
        on_found (core, pending, event);
      break;
    case PL_STORE_COMMIT:
      if (pending != NULL)
        on_committed (core, pending, event);
      break;
    case PL_STORE_CLAIM:
    case PL_STORE_FINISH:
    case PL_STORE_ABANDON:
      break;
    }
}

static void
control_timer (void *data)
{
  struct pl_core *core = data;
  GList *next;

  if (!core->head_call_pending && core->now_us >= core->head_due_us)
    {
      struct pl_store_request *store = core_add_store_effect (core, PL_STORE_HEAD);

      g_strlcpy (store->id, core->name, sizeof store->id);
      core->head_call_pending = true;
    }
  for (GList *at = core->releases.head; at != NULL; at = next)
    {
      struct pending_release *pending = at->data;

      next = at->next;
      if (pending->phase == RELEASE_READY && core->store_read_at_us >= 0)
        commit_release (core, pending);
    }
}

void
control_start (struct pl_core *core)
{
  pl_timers_add (&core->timers, control_timer, CONTROL_TIMER_US, core->now_us);
}

void
control_free (struct pl_core *core)
{
  struct pending_release *pending;

  while ((pending = g_queue_pop_head (&core->releases)) != NULL)
    {
      pl_release_free (pending->release);
      json_decref (pending->document);
      g_free (pending);
    }
}
