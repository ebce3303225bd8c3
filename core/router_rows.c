/* Rows of the watched tables, received from the platform's store or from a peer.
 *
 * Rows are kept unchanged, each with its position (era and version in the store), so that peers
 * that cannot reach the store can fetch them from this host.  A row is applied when its
 * position is higher than the one held; the version of the configuration never decreases.
 * What a store that was restored from a copy has lost is kept for a while: router_eras.c.
 *
 * One host per region watches the store.  It announces new versions in its beacons, and
 * the other hosts fetch the rows from it or from each other.  When the watcher fails or
 * cannot reach the store, the next host in order watches the store instead.
 *
 * A source may have lost power or be frozen, and then says nothing until the transport gives up,
 * which is later than a configuration must be in force.  So a host asks another source as soon as
 * one has been silent for a while.  The first answer counts; a later one brings nothing that is
 * older than what is held.
 *
 * After an outage of the store, entries of live servers may have expired.  They return
 * with the servers' next registration, so servers whose entries are missing then are
 * used for a grace period: router_outages.c.  A host that gets the rows from a peer uses these
 * servers for as long as the peer does.
 */
#include "internal/router_state.h"

#include <assert.h>
#include <string.h>

/* When several entries are deleted at once, they may have expired in an outage that no host
 * noticed, so their servers are used for this long.  That is safe for servers that shut down, too:
 * they keep running for two seconds, and the store's answer takes less than half a second. */
#define MASS_DELETION_GRACE_US (1200 * US_PER_MS)
#define MASS_DELETION_MIN 3
#define FETCH_INTERVAL_US (150 * US_PER_MS)
/* How long a host waits for row updates from the store or from its relay parent before it fetches
 * them from another peer; shorter while it has no configuration and serves no requests. */
#define FETCH_DELAY_US (300 * US_PER_MS)
#define FIRST_FETCH_DELAY_US (60 * US_PER_MS)
/* A source is silent when nothing has come from it for this long; another one is asked then as
 * well.  One from which bytes arrive is not: a second transfer of the same rows would share this
 * host's link with the first, and both would end later.  That only makes updates fast:
 * router_freshness.c bounds the time until rows are in force. */
#define FETCH_SILENT_US (400 * US_PER_MS)
/* The same while this host has no configuration: in a fleet that starts, sources are busy. */
#define FIRST_FETCH_SILENT_US US_PER_S
/* For this long a source from which a fetch has failed is asked only if there is no other.  About
 * the time for which a host whose process has ended still counts as live. */
#define FETCH_FAILED_US (2 * US_PER_S)
/* A fetch that takes this long is logged, like those that fail. */
#define LOGGED_FETCH_US (100 * US_PER_MS)
#define TOMBSTONES_MAX 2000
/* Before it watches the store, a host that starts waits this long for a beacon of a host of its
 * region, which may be watching already.  Without a configuration it can do nothing else. */
#define SETTLE_US (30 * US_PER_MS)
/* A host with little capacity waits longer: by then the hosts that carry most of the requests have
 * the rows, and each host that watches the store costs calls. */
#define SETTLE_WEAK_US (300 * US_PER_MS)
#define WEAK_CAPACITY 150
/* A host that has just become a delegate may not know yet which host watches the store. */
#define SETTLE_DELEGATE_US (150 * US_PER_MS)
/* A host that gets a configuration from a peer can wait until it has heard from all hosts of its
 * region. */
#define SETTLE_CONFIGURED_US (1200 * US_PER_MS)

/* Returns the name of the host with this id, "" if it is not known any more. */
static const char *
member_name (const struct pl_router *router, uint64_t id)
{
  const struct pl_member *member = g_hash_table_lookup (router->membership.members, &id);

  return member != NULL ? member->contact.name : "";
}

uint64_t
pl_router_rows_revision (const struct pl_router *router, enum pl_table table)
{
  return router->held[table].revision;
}

int64_t
pl_router_held_version (const struct pl_router *router, enum pl_table table)
{
  return router->held[table].version;
}

static bool
should_relay (const struct row_value *value, int64_t after, bool is_snapshot)
{
  return is_snapshot ? value->bytes != NULL : value->position > after;
}

/* Returns for how long the server of ROW, which is deleted, is still used. */
static int64_t
remaining_use (const struct pl_router *router, const struct held_row *row)
{
  const struct pl_backend *backend
      = row->type == PL_ROW_UPDATE_SERVER ? pl_placement_find (&router->placement, row->key) : NULL;

  return backend != NULL ? MAX (backend->expires_us - router->now_us, 0) : 0;
}

/* A snapshot lists a deleted row only while its server is used. */
static bool
is_used_without_row (const struct pl_router *router, const struct held_row *row)
{
  return row->current.bytes == NULL && row->current.position > 0 && remaining_use (router, row) > 0;
}

static void
visit_value (const struct pl_router *router, const struct held_row *row,
             const struct row_value *value, enum pl_table table, pl_row_visitor visit, void *data)
{
  struct pl_row shown = {row->key, value->bytes, value->length, value->position, 0};

  if (value->bytes == NULL)
    shown.used_for_us = remaining_use (router, row);
  visit (data, table, &shown);
}

/* A peer that lacks a contested row needs it although its position is low. */
int64_t
pl_router_rows_after (const struct pl_router *router, enum pl_table table, int64_t after,
                      bool *is_snapshot, pl_row_visitor visit, void *data)
{
  const struct held_table *held = &router->held[table];
  GHashTableIter iter;
  gpointer value;

  *is_snapshot = after < held->oldest_delta_version;
  g_hash_table_iter_init (&iter, held->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct held_row *row = value;

      if (row->restored.bytes != NULL && should_relay (&row->restored, after, *is_snapshot))
        visit_value (router, row, &row->restored, table, visit, data);
      if (should_relay (&row->current, after, *is_snapshot)
          || (row_is_contested (row) && row->current.bytes != NULL)
          || (*is_snapshot && is_used_without_row (router, row)))
        visit_value (router, row, &row->current, table, visit, data);
    }
  return held->version;
}

/* Returns whether neither this host nor any live watcher reaches the store, so that updates of
 * routes and keys may be missing. */
bool
rows_are_stale (const struct pl_router *router)
{
  if (!router->store.is_lost)
    return false;
  for (guint i = 0; i < router->membership.order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (router->membership.order, i);

      if (pl_member_is_live (&router->membership, member, router->now_us) && member->watching
          && !member->store.is_lost)
        return false;
    }
  return true;
}

static void
adopt_accounts (struct pl_router *router)
{
  const struct pl_routing *routing = router->routing;
  GHashTableIter iter;
  gpointer value;
  double rates = 0;
  int rated = 0;

  g_hash_table_iter_init (&iter, router->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct router_account *) value)->listed = false;
  for (guint i = 0; i < routing->accounts->len; i++)
    {
      const struct pl_account_rule *rule = PL_RULE_ACCOUNT (routing, i);
      struct router_account *account = router_ensure_account (router, rule);

      account->listed = true;
      pl_quota_set_limits (&account->quota, rule->rate, rule->burst, router->now_us);
      rates += rule->rate;
      rated += rule->rate > 0;
    }
  pl_fair_share_set_mean_weight (&router->shares, rates / MAX (rated, 1));
}

static void
adopt_routing (struct pl_router *router, struct pl_routing *routing)
{
  int64_t behind_since_us = router->held[PL_TABLE_CONTROL].behind_since_us;
  int64_t behind_us = behind_since_us > 0 ? router->now_us - behind_since_us : 0;

  if (router->routing != NULL && routing->version < router->routing->version)
    return;
  router->beacon_pending = router->beacon_pending || router->routing == NULL;
  router->notify_domain = router->notify_domain || router->routing == NULL;
  pl_routing_unref (router->routing);
  router->routing = pl_routing_ref (routing);
  router->adoptions++;
  adopt_accounts (router);
  for (guint i = 0; i < routing->services->len; i++)
    {
      const struct pl_service_rule *rule = PL_RULE_SERVICE (routing, i);

      pl_placement_set_service (&router->placement,
                                pl_placement_ensure_service (&router->placement, rule->name),
                                rule->cold_time_us, rule->cold_per_second);
    }
  router_add_effect (router, PL_ROUTER_SET_LIMITS)->u.limits = routing->limits;
  router_log (router, PL_ROUTER_LOG_STATE, "configuration-adopted",
              json_pack ("{s:I,s:i,s:i,s:i,s:i,s:s,s:I,s:I}", "version",
                         (json_int_t) routing->version, "routes", (int) routing->routes->len,
                         "services", (int) routing->services->len, "accounts",
                         (int) routing->accounts->len, "findings", routing->findings, "source",
                         router->rows_source, "behind_us", (json_int_t) behind_us,
                         "confirmed_age_us", (json_int_t) freshness_age_us (router)));
}

/* Returns until when the servers of DELETED_COUNT rows are used that EVENT lacks or deletes. */
static int64_t
server_grace_until (const struct pl_router *router, const struct pl_rows_event *event,
                    int deleted_count)
{
  int64_t until_us;

  if (event->tells_use)
    return router->now_us;
  until_us
      = event->from_peer ? outages_reported_use_until (router) : outages_lapsed_use_until (router);
  if (deleted_count >= MASS_DELETION_MIN)
    until_us = MAX (until_us, router->now_us + MASS_DELETION_GRACE_US);
  return until_us;
}

static void
remove_server (struct pl_router *router, const char *id, int64_t until_us)
{
  pl_placement_remove (&router->placement, id, until_us);
  router_log (router, PL_ROUTER_LOG_STATE, "server-gone",
              json_pack ("{s:s,s:I}", "server", id, "used_for_us",
                         (json_int_t) (until_us - router->now_us)));
}

static void
apply_server (struct pl_router *router, const struct pl_row_update *update, bool is_deleted,
              bool at_start, int64_t until_us)
{
  bool keep = (router->options.switches & PL_ROUTER_KEEP_DRAINING) != 0;
  const struct pl_backend *before = pl_placement_find (&router->placement, update->server.id);
  bool was_draining = before != NULL && before->entry.draining;

  if (keep && (is_deleted || update->server.draining))
    return;
  if (is_deleted)
    {
      remove_server (router, update->server.id, was_draining ? router->now_us : until_us);
      return;
    }
  pl_placement_put (&router->placement, &update->server,
                    router_domain_region (router, update->server.domain), at_start, router->now_us);
  router_log (router, PL_ROUTER_LOG_STATE, "server-listed",
              json_pack ("{s:s,s:s,s:s,s:b,s:I}", "server", update->server.id, "service",
                         update->server.service, "domain", update->server.domain, "draining",
                         update->server.draining, "cold_us", (json_int_t) update->server.cold_us));
}

/* Logs findings on a row.  A configuration is applied as far as it can be used. */
static void
log_findings (struct pl_router *router, const char *key, bool rejected,
              const struct pl_findings *findings)
{
  router_log (router, PL_ROUTER_LOG_WARNING, rejected ? "row-rejected" : "row-findings",
              json_pack ("{s:s,s:o}", "row", key, "findings", pl_findings_to_json (findings)));
}

void
pl_row_update_clear (struct pl_row_update *update)
{
  pl_routing_unref (update->routing);
  json_decref (update->document);
  *update = (struct pl_row_update){0};
}

/* A received row with its decoded content. */
struct decoded_row
{
  const struct pl_row *row;
  struct pl_row_update update;
  struct row_origin origin;
  bool names_no_server; /* the entry of a server, which can not be read */
};

static void
decode_row (struct pl_router *router, enum pl_table table, const struct pl_row *row,
            struct decoded_row *decoded)
{
  struct pl_findings *findings = pl_findings_new (row->key);
  struct pl_row_update *update = &decoded->update;
  int result;

  *decoded = (struct decoded_row){.row = row};
  result = router->options.decode (router->options.decode_data, table, row->key, row->value,
                                   row->length, update, findings);
  if (pl_findings_count (findings) > 0)
    log_findings (router, row->key, result < 0, findings);
  pl_findings_free (findings);
  decoded->names_no_server = result < 0 && table == PL_TABLE_SERVERS;
  decoded->origin.type = update->type;
  if (update->type == PL_ROW_UPDATE_ROUTING)
    decoded->origin.start = update->routing->version;
  if (update->type != PL_ROW_UPDATE_SERVER)
    return;
  decoded->origin.start = update->server.born;
  decoded->origin.count = update->server.sequence;
  decoded->origin.draining = update->server.draining;
}

/* Applies a decoded row; the server of a deleted row is used until UNTIL_US. */
static void
apply_row (struct pl_router *router, const struct decoded_row *decoded, bool at_start,
           int64_t until_us)
{
  const struct pl_row_update *update = &decoded->update;
  bool is_deleted = decoded->row->value == NULL;

  switch (update->type)
    {
    case PL_ROW_UPDATE_NONE:
      if (decoded->names_no_server)
        remove_server (router, decoded->row->key, router->now_us);
      break;
    case PL_ROW_UPDATE_ROUTING:
      if (!is_deleted)
        adopt_routing (router, update->routing);
      break;
    case PL_ROW_UPDATE_EVACUATION:
      pl_placement_evacuate (&router->placement, update->domain, !is_deleted);
      router_log (router, PL_ROUTER_LOG_STATE, "evacuation",
                  json_pack ("{s:s,s:b}", "domain", update->domain, "on", !is_deleted));
      break;
    case PL_ROW_UPDATE_SERVER:
      apply_server (router, update, is_deleted, at_start, until_us);
      break;
    }
}

static void
set_value (struct row_value *value, const struct pl_row *row)
{
  g_free (value->bytes);
  value->bytes = row->value != NULL ? g_memdup2 (row->value, row->length + 1) : NULL;
  value->length = row->length;
  value->position = row->version;
}

static void
clear_value (struct row_value *value)
{
  g_free (value->bytes);
  *value = (struct row_value){0};
}

static struct held_row *
ensure_row (struct held_table *held, const char *key)
{
  struct held_row *row = g_hash_table_lookup (held->rows, key);

  if (row != NULL)
    return row;
  row = g_new0 (struct held_row, 1);
  row->key = g_strdup (key);
  g_hash_table_insert (held->rows, row->key, row);
  return row;
}

/* Makes the value of DECODED the current one of HELD. */
static void
put_row (struct held_table *held, const struct decoded_row *decoded)
{
  struct held_row *row = ensure_row (held, decoded->row->key);
  bool is_deleted = decoded->row->value == NULL;

  if (row->current.position > 0)
    held->tombstones -= row->current.bytes == NULL;
  held->tombstones += is_deleted;
  set_value (&row->current, decoded->row);
  clear_value (&row->restored);
  if (decoded->origin.type != PL_ROW_UPDATE_NONE)
    row->type = decoded->origin.type;
  if (!is_deleted)
    row->origin = decoded->origin;
}

/* Removes and returns what the store has in the place of ROW, which is replaced by a row that the
 * store has lost; NEWEST is the highest known position. */
static struct row_value
steal_restored_value (struct held_table *held, struct held_row *row, int64_t newest)
{
  struct row_value restored = {.position = newest};
  bool is_of_store = row->current.position > 0
                     && pl_position_era (row->current.position) == pl_position_era (newest);
  struct row_value *from = row_is_contested (row) ? &row->restored
                           : is_of_store          ? &row->current
                                                  : NULL;

  if (from == NULL)
    return restored;
  restored = *from;
  from->bytes = NULL;
  if (from == &row->current && restored.bytes != NULL)
    held->tombstones++;
  return restored;
}

/* Adopts a row that the store has lost and the peer that sent it with EVENT has kept. */
static void
put_kept_row (struct pl_router *router, const struct pl_rows_event *event,
              const struct decoded_row *decoded)
{
  struct held_table *held = &router->held[event->table];
  struct held_row *row = ensure_row (held, decoded->row->key);
  struct row_value restored = steal_restored_value (held, row, MAX (event->version, held->version));

  put_row (held, decoded);
  row->restored = restored;
  eras_on_contested (router, held, row->key);
}

static void
log_ignored (struct pl_router *router, const struct pl_rows_event *event, const struct pl_row *row)
{
  const struct row_value *known
      = &((const struct held_row *) g_hash_table_lookup (router->held[event->table].rows, row->key))
             ->current;
  bool is_same
      = known->bytes == NULL || row->value == NULL
            ? known->bytes == row->value
            : known->length == row->length && memcmp (known->bytes, row->value, row->length) == 0;

  if (!is_same)
    router_log (router, PL_ROUTER_LOG_STATE, "row-ignored",
                json_pack ("{s:s,s:I,s:I,s:I,s:I,s:b,s:b}", "row", row->key, "era",
                           (json_int_t) pl_position_era (row->version), "version",
                           (json_int_t) pl_position_version (row->version), "held_era",
                           (json_int_t) pl_position_era (known->position), "held_version",
                           (json_int_t) pl_position_version (known->position), "from_peer",
                           event->from_peer, "in_snapshot", event->is_snapshot));
}

/* Returns whether the store has already decided on rows that it lost, so that a peer which kept one
 * for longer does not bring it back. */
static bool
is_settled (const struct held_table *held, const struct decoded_row *decoded)
{
  return decoded->origin.type != PL_ROW_UPDATE_ROUTING
         && held->settled_era == pl_position_era (held->version);
}

/* Returns whether ROW, which this host does not know, comes from a peer that has answered late: it
 * was deleted before the version that is held now. */
static bool
is_overtaken (const struct held_table *held, const struct pl_rows_event *event,
              const struct pl_row *row)
{
  return event->from_peer && event->version < held->version && row->version <= held->version
         && pl_position_era (row->version) == pl_position_era (held->version);
}

/* Judges ROW of EVENT and acts on the verdict. */
static void
receive_row (struct pl_router *router, const struct pl_rows_event *event, const struct pl_row *row,
             bool at_start, int64_t until_us)
{
  struct held_table *held = &router->held[event->table];
  struct held_row *known = g_hash_table_lookup (held->rows, row->key);
  struct decoded_row decoded;

  if (known != NULL && row->version == known->current.position)
    return;
  if (known == NULL && is_overtaken (held, event, row))
    return;
  if (event->tells_use)
    until_us = router->now_us + row->used_for_us;
  decode_row (router, event->table, row, &decoded);
  switch (row_judge (known, row, &decoded.origin, event->is_snapshot,
                     pl_position_era (MAX (event->version, held->version))))
    {
    case ROW_IGNORED:
      log_ignored (router, event, row);
      break;
    case ROW_CONFIRMED:
      put_row (held, &decoded);
      break;
    case ROW_ADOPTED:
      put_row (held, &decoded);
      apply_row (router, &decoded, at_start, until_us);
      break;
    case ROW_CONTESTED:
      assert (known != NULL);
      set_value (&known->restored, row);
      eras_on_contested (router, held, row->key);
      break;
    case ROW_KEPT_BY_PEER:
      if (is_settled (held, &decoded))
        break;
      put_kept_row (router, event, &decoded);
      apply_row (router, &decoded, at_start, until_us);
      break;
    }
  pl_row_update_clear (&decoded.update);
}

void
rows_settle (struct pl_router *router, enum pl_table table, const char *key)
{
  struct held_table *held = &router->held[table];
  struct held_row *row = g_hash_table_lookup (held->rows, key);
  struct row_value restored = row->restored;
  struct pl_row store_row = {row->key, restored.bytes, restored.length, restored.position};
  struct decoded_row decoded;

  held->revision++;
  row->restored = (struct row_value){0};
  decode_row (router, table, &store_row, &decoded);
  put_row (held, &decoded);
  router->rows_source = "store";
  apply_row (router, &decoded, false, router->now_us);
  pl_row_update_clear (&decoded.update);
  g_free (restored.bytes);
}

static int
count_deleted (const struct pl_rows_event *event)
{
  int deleted = 0;

  for (int i = 0; i < event->count; i++)
    deleted += event->rows[i].value == NULL;
  return deleted;
}

/* Returns the held keys that the store lacks according to EVENT, a snapshot of the table.  What a
 * peer keeps from an earlier era is not in the store. */
static GPtrArray *
find_missing (const struct held_table *held, const struct pl_rows_event *event)
{
  GPtrArray *missing = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GHashTable) present = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;

  for (int i = 0; i < event->count; i++)
    if (pl_position_era (event->rows[i].version) == pl_position_era (event->version))
      g_hash_table_add (present, (gpointer) event->rows[i].key);
  g_hash_table_iter_init (&iter, held->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct held_row *row = value;

      if (row->current.bytes != NULL && row->current.position <= event->version
          && !g_hash_table_contains (present, row->key))
        g_ptr_array_add (missing, g_strdup (row->key));
    }
  return missing;
}

static void
drop_missing (struct pl_router *router, const struct pl_rows_event *event, bool at_start)
{
  g_autoptr (GPtrArray) missing = find_missing (&router->held[event->table], event);
  int64_t until_us = server_grace_until (router, event, (int) missing->len);

  for (guint i = 0; i < missing->len; i++)
    {
      struct pl_row row = {.key = g_ptr_array_index (missing, i), .version = event->version};

      receive_row (router, event, &row, at_start, until_us);
    }
}

static void
purge_tombstones (struct held_table *held)
{
  GHashTableIter iter;
  gpointer value;

  if (held->tombstones < TOMBSTONES_MAX)
    return;
  held->tombstones = 0;
  g_hash_table_iter_init (&iter, held->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct held_row *row = value;

      if (row->current.bytes != NULL)
        continue;
      if (row_is_contested (row))
        held->tombstones++;
      else
        g_hash_table_iter_remove (&iter);
    }
  held->oldest_delta_version = held->version;
}

/* Returns the name of the source of EVENT: a peer or "store". */
static const char *
source_name (const struct pl_router *router, const struct pl_rows_event *event)
{
  if (!event->from_peer)
    return "store";
  for (int i = 0; i < ROUTER_FETCHES_MAX; i++)
    if (router->fetching[i].number != 0 && router->fetching[i].number == event->fetch)
      return member_name (router, router->fetching[i].peer);
  return "peer";
}

void
rows_on_update (struct pl_router *router, const struct pl_rows_event *event)
{
  struct held_table *held = &router->held[event->table];
  bool at_start = held->version == 0;
  bool is_outdated = pl_position_era (event->version) < pl_position_era (held->version);
  bool is_new_era = pl_position_era (event->version) > pl_position_era (held->version);
  int64_t until_us = server_grace_until (router, event, count_deleted (event));

  if (event->count > 0 || event->is_snapshot || event->version > held->version)
    held->revision++;
  router->rows_source = source_name (router, event);
  for (int i = 0; i < event->count; i++)
    receive_row (router, event, &event->rows[i], at_start, until_us);
  if (event->is_snapshot && !is_outdated)
    drop_missing (router, event, at_start);
  if (at_start || is_new_era)
    held->oldest_delta_version = event->version;
  if (event->version > held->version)
    {
      held->version = event->version;
      router->has_row_updates = router->has_row_updates || event->count > 0;
      held->behind_since_us = 0;
      router->next_fetch_us = 0;
      if (event->table == PL_TABLE_CONTROL)
        freshness_on_rows (router);
    }
  purge_tombstones (held);
}

/* Returns era and version of each table, for logs. */
static json_t *
held_positions (const struct pl_router *router)
{
  const int64_t control = router->held[PL_TABLE_CONTROL].version;
  const int64_t servers = router->held[PL_TABLE_SERVERS].version;

  return json_pack ("{s:[I,I],s:[I,I]}", "control", (json_int_t) pl_position_era (control),
                    (json_int_t) pl_position_version (control), "servers",
                    (json_int_t) pl_position_era (servers),
                    (json_int_t) pl_position_version (servers));
}

void
rows_on_store_state (struct pl_router *router, bool is_reachable,
                     const struct pl_store_call_event *call)
{
  bool was_lost = router->store.is_lost;

  router->beacon_pending = router->beacon_pending || router->store.is_quiet;
  router->store.is_quiet = false;
  outages_on_call (router, is_reachable, call);
  freshness_on_store_answer (router, call);
  if (was_lost == !is_reachable)
    return;
  router->beacon_pending = true;
  router_log (router, PL_ROUTER_LOG_WARNING, is_reachable ? "store-regained" : "store-lost",
              json_pack ("{s:o,s:I,s:I}", "held", held_positions (router), "call_us",
                         (json_int_t) call->age_us, "lost_us",
                         (json_int_t) (router->now_us - router->store.lost_since_us)));
}

void
rows_on_store_quiet (struct pl_router *router)
{
  if (!router->watching || router->store.is_lost || router->store.is_quiet)
    return;
  router->store.is_quiet = true;
  router->beacon_pending = true;
  router->notify_domain = true;
  router_log (router, PL_ROUTER_LOG_STATE, "store-quiet",
              json_pack ("{s:o}", "held", held_positions (router)));
}

/* Returns whether MEMBER is a source of rows of TABLE that are newer than those held. */
static bool
has_newer_rows_of (const struct pl_router *router, const struct pl_member *member,
                   enum pl_table table)
{
  bool is_newer = member->held[table] > router->held[table].version
                  || (table == PL_TABLE_CONTROL && router->routing != NULL
                      && member->retained_configuration > router->routing->version);

  return is_newer && pl_member_is_live (&router->membership, member, router->now_us)
         && member->contact.relay_address[0] != '\0';
}

static bool
has_newer_rows (const struct pl_router *router, const struct pl_member *member)
{
  for (int t = 0; t < PL_TABLES_MAX; t++)
    if (has_newer_rows_of (router, member, (enum pl_table) t))
      return true;
  return false;
}

static bool
is_behind (const struct pl_router *router, enum pl_table table)
{
  for (guint i = 0; i < router->membership.order->len; i++)
    if (has_newer_rows_of (router, g_ptr_array_index (router->membership.order, i), table))
      return true;
  return false;
}

static bool
is_fetching_from (const struct pl_router *router, const struct pl_member *member)
{
  for (int i = 0; i < ROUTER_FETCHES_MAX; i++)
    if (router->fetching[i].number != 0 && router->fetching[i].peer == member->id)
      return true;
  return false;
}

/* Returns a live peer with newer rows than this host that is not being asked, or NULL.  Peers that
 * have just failed to send rows come last.  The relay parent is preferred, then a peer of this
 * region; among equals the choice varies by host and fetch.
 */
static const struct pl_member *
find_fetch_source (const struct pl_router *router, bool *is_parent)
{
  const struct pl_membership *membership = &router->membership;
  const struct pl_member *best = NULL;
  uint64_t best_weight = 0;

  *is_parent = false;
  for (guint i = 0; i < membership->order->len; i++)
    {
      const struct pl_member *member = g_ptr_array_index (membership->order, i);
      uint64_t weight = pl_hash_pair (membership->self ^ router->fetches, member->id) >> 2;
      bool has_failed = router->now_us < member->fetch_due_us;

      if (!has_newer_rows (router, member) || is_fetching_from (router, member))
        continue;
      if (!has_failed && pl_membership_is_relay_parent (membership, member, router->now_us))
        {
          *is_parent = true;
          return member;
        }
      if (member->region == membership->self_region)
        weight |= UINT64_C (1) << 62;
      if (!has_failed)
        weight |= UINT64_C (1) << 63;
      if (best == NULL || weight > best_weight)
        {
          best = member;
          best_weight = weight;
        }
    }
  return best;
}

/* Returns how long to wait for row updates to arrive the regular way before they are fetched. */
static int64_t
fetch_delay (const struct pl_router *router, bool is_parent)
{
  if (router->watching && !router->store.is_lost && !router->store.is_quiet)
    return FETCH_DELAY_US;
  if (is_parent)
    return 0;
  return router->routing == NULL ? FIRST_FETCH_DELAY_US : FETCH_DELAY_US;
}

/* Returns a place for another fetch, or NULL if there is none; *DUE_US is when the last source that
 * was asked counts as silent. */
static struct router_fetch *
find_free_fetch (struct pl_router *router, int64_t *due_us)
{
  int64_t silent_us = router->routing == NULL ? FIRST_FETCH_SILENT_US : FETCH_SILENT_US;
  struct router_fetch *free = NULL;

  *due_us = 0;
  for (int i = 0; i < ROUTER_FETCHES_MAX; i++)
    if (router->fetching[i].number == 0)
      free = &router->fetching[i];
    else
      *due_us = MAX (*due_us, router->fetching[i].heard_us + silent_us);
  return free;
}

static void
start_fetch (struct pl_router *router, struct router_fetch *fetch, const struct pl_member *member)
{
  struct pl_router_effect *effect = router_add_effect (router, PL_ROUTER_FETCH_ROWS);

  *fetch = (struct router_fetch){.number = ++router->fetches,
                                 .peer = member->id,
                                 .started_us = router->now_us,
                                 .heard_us = router->now_us};
  router->next_fetch_us = router->now_us + FETCH_INTERVAL_US;
  effect->u.fetch.number = fetch->number;
  g_strlcpy (effect->u.fetch.address, member->contact.relay_address,
             sizeof effect->u.fetch.address);
  for (int t = 0; t < PL_TABLES_MAX; t++)
    fetch->held[t] = effect->u.fetch.held[t] = router->held[t].version;
}

/* Returns since when live peers are known to hold newer rows of any table than this host. */
static int64_t
behind_since (struct pl_router *router)
{
  int64_t since_us = INT64_MAX;

  for (int t = 0; t < PL_TABLES_MAX; t++)
    {
      struct held_table *held = &router->held[t];

      if (!is_behind (router, (enum pl_table) t))
        held->behind_since_us = 0;
      else if (held->behind_since_us == 0)
        held->behind_since_us = router->now_us;
      if (held->behind_since_us > 0)
        since_us = MIN (since_us, held->behind_since_us);
    }
  return since_us;
}

static void
fetch_from_peer (struct pl_router *router)
{
  bool is_parent;
  int64_t since_us = behind_since (router);
  const struct pl_member *member = find_fetch_source (router, &is_parent);
  int64_t silent_due_us;
  struct router_fetch *fetch = find_free_fetch (router, &silent_due_us);
  int64_t due_us;

  if (member == NULL || fetch == NULL)
    return;
  due_us = MAX (router->next_fetch_us, since_us + fetch_delay (router, is_parent));
  due_us = MAX (due_us, silent_due_us);
  if (router->now_us < due_us)
    router->due_us = MIN (router->due_us, MAX (due_us, router->now_us + US_PER_MS));
  else
    start_fetch (router, fetch, member);
}

const char *const router_fetch_end_names[PL_FETCH_END_COUNT] = {
    [PL_FETCH_ANSWERED] = "answered",
    [PL_FETCH_REFUSED] = "refused",
    [PL_FETCH_FAILED] = "failed",
};

static void
log_fetch (struct pl_router *router, const struct router_fetch *fetch,
           const struct pl_fetch_done_event *done)
{
  router_log (router, PL_ROUTER_LOG_STATE, "rows-fetched",
              json_pack ("{s:s,s:s,s:I,s:I,s:I,s:I,s:o}", "host", member_name (router, fetch->peer),
                         "end", router_fetch_end_names[done->end], "after_us",
                         (json_int_t) (router->now_us - fetch->started_us), "silent_us",
                         (json_int_t) (router->now_us - fetch->heard_us), "wire_bytes",
                         (json_int_t) done->wire_bytes, "bytes", (json_int_t) done->bytes, "held",
                         held_positions (router)));
}

/* Makes the host PEER the last choice as a source of rows for a while. */
static void
avoid_source (struct pl_router *router, uint64_t peer)
{
  struct pl_member *member = g_hash_table_lookup (router->membership.members, &peer);

  if (member != NULL)
    member->fetch_due_us = router->now_us + FETCH_FAILED_US;
}

/* Returns whether this host has got rows since FETCH was started. */
static bool
has_got_rows (const struct pl_router *router, const struct router_fetch *fetch)
{
  for (int t = 0; t < PL_TABLES_MAX; t++)
    if (router->held[t].version > fetch->held[t])
      return true;
  return false;
}

void
rows_on_fetch_progress (struct pl_router *router, uint64_t number)
{
  for (int i = 0; i < ROUTER_FETCHES_MAX; i++)
    if (router->fetching[i].number == number && number != 0)
      router->fetching[i].heard_us = router->now_us;
}

void
rows_on_fetch_done (struct pl_router *router, const struct pl_fetch_done_event *done)
{
  enum pl_fetch_end end = done->end;

  router->counts_fetches[end]++;
  router->fetched_wire_bytes += (uint64_t) done->wire_bytes;
  router->fetched_bytes += (uint64_t) done->bytes;
  for (int i = 0; i < ROUTER_FETCHES_MAX; i++)
    {
      struct router_fetch *fetch = &router->fetching[i];

      if (fetch->number != done->number)
        continue;
      if (end != PL_FETCH_ANSWERED || router->now_us - fetch->started_us >= LOGGED_FETCH_US)
        log_fetch (router, fetch, done);
      if (end != PL_FETCH_ANSWERED || !has_got_rows (router, fetch))
        avoid_source (router, fetch->peer);
      fetch->number = 0;
    }
}

static void
update_watching (struct pl_router *router)
{
  bool has_source = router->routing != NULL || router->held[PL_TABLE_CONTROL].behind_since_us > 0;
  bool is_weak = router->options.capacity < WEAK_CAPACITY;
  int64_t settle_us = has_source ? SETTLE_CONFIGURED_US : is_weak ? SETTLE_WEAK_US : SETTLE_US;
  bool settled = router->now_us - router->started_us >= settle_us
                 && (router->routing == NULL || router->watching
                     || router->now_us - router->delegate_since_us >= SETTLE_DELEGATE_US);
  bool should_watch
      = settled && !router->stopping
        && pl_membership_should_watch (&router->membership, router->store.is_lost, router->now_us);

  if (!settled)
    router->due_us = MIN (router->due_us, router->started_us + settle_us);
  if (should_watch == router->watching)
    return;
  router->watching = should_watch;
  router->membership.self_watching = should_watch;
  router->store.watching_since_us = should_watch ? router->now_us : -1;
  router_add_effect (router, PL_ROUTER_WATCH_STORE)->u.watch = should_watch;
  router_log (router, PL_ROUTER_LOG_STATE, should_watch ? "store-watch-begun" : "store-watch-ended",
              json_pack ("{s:b,s:b,s:i,s:o}", "store_lost", router->store.is_lost, "stopping",
                         router->stopping, "hosts", router_view (router)->hosts, "held",
                         held_positions (router)));
}

void
rows_run_timers (struct pl_router *router)
{
  fetch_from_peer (router);
  eras_run_timers (router);
  update_watching (router);
}
