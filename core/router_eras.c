/* Rows that the store lost when it was restored from a copy.
 *
 * The store is restored in a new era.  Its rows are then some seconds old: what was written last is
 * gone, until operators and servers write it again.  This host may know better from before, so
 * where the first rows of an era contradict the row held, the row held stays in effect and is
 * contested:
 *
 * - A configuration has a version of its own, given by the operator.  An older one never replaces
 *   it, however long the store has that.  Peers that know only the copy are told so in beacons.
 * - A server counts what it has written since it started.  A row from before it drained or left
 *   does not bring it back.
 * - A row that is missing may have been written just before the restore, and one that was deleted
 *   then stands in the copy again.
 *
 * Except for the configuration, the store is right in the end: rows that are still contested after
 * a grace period are replaced by what the store has.  A row that is written in the new era is
 * always right.
 */
#include "internal/router_state.h"

#include <string.h>

/* Operators and servers write again within two seconds after the store is back. */
#define CONTEST_GRACE_US (2500 * US_PER_MS)

bool
row_is_contested (const struct held_row *row)
{
  return row->restored.position > 0;
}

static bool
is_same_value (const struct row_value *value, const struct pl_row *row)
{
  if (value->bytes == NULL || row->value == NULL)
    return value->bytes == row->value;
  return value->length == row->length && memcmp (value->bytes, row->value, row->length) == 0;
}

static int
compare_origins (const struct row_origin *a, const struct row_origin *b)
{
  if (a->start != b->start)
    return a->start < b->start ? -1 : 1;
  return a->count < b->count ? -1 : a->count > b->count;
}

/* Returns whether a server in state NEW stands in an older row of the store as in OLD, which would
 * bring it back into use or bring back its process before. */
static bool
is_revived (const struct row_origin *old, const struct row_origin *new)
{
  return compare_origins (old, new) < 0
         && (old->start < new->start || (new->draining && !old->draining));
}

/* Returns whether ROW, with ORIGIN, of a restored store contradicts KNOWN, of an earlier era. */
static bool
contradicts (const struct held_row *known, const struct pl_row *row,
             const struct row_origin *origin)
{
  bool was_deleted = known->current.bytes == NULL;

  switch (known->type)
    {
    case PL_ROW_UPDATE_ROUTING:
      return false; /* decided by its version in all cases */
    case PL_ROW_UPDATE_SERVER:
      if (origin->type != PL_ROW_UPDATE_SERVER)
        return false;
      if (was_deleted)
        return row->value != NULL && compare_origins (origin, &known->origin) <= 0;
      return row->value == NULL ? !known->origin.draining : is_revived (origin, &known->origin);
    case PL_ROW_UPDATE_EVACUATION:
      return was_deleted != (row->value == NULL);
    case PL_ROW_UPDATE_NONE:
      break;
    }
  return false;
}

/* Judges a row of an earlier era than the one held, which a peer keeps. */
static enum row_verdict
judge_earlier (const struct held_row *known, const struct row_origin *origin)
{
  if (known->current.bytes == NULL || origin->type != PL_ROW_UPDATE_SERVER
      || known->type != PL_ROW_UPDATE_SERVER)
    return ROW_IGNORED;
  return is_revived (&known->origin, origin) ? ROW_KEPT_BY_PEER : ROW_IGNORED;
}

/* Judges a configuration, for which its version counts before its position. */
static enum row_verdict
judge_configuration (const struct held_row *known, const struct pl_row *row,
                     const struct row_origin *origin)
{
  bool is_earlier = pl_position_era (row->version) < pl_position_era (known->current.position);
  int order;

  if (origin->type != PL_ROW_UPDATE_ROUTING)
    return is_earlier ? ROW_IGNORED : ROW_CONTESTED;
  order = compare_origins (origin, &known->origin);
  if (is_earlier)
    return order > 0 ? ROW_KEPT_BY_PEER : ROW_IGNORED;
  if (order < 0)
    return ROW_CONTESTED;
  return is_same_value (&known->current, row) ? ROW_CONFIRMED : ROW_ADOPTED;
}

/* Judges a row of a later era than KNOWN. */
static enum row_verdict
judge_later (const struct held_row *known, const struct pl_row *row,
             const struct row_origin *origin, bool is_snapshot)
{
  bool is_new_era = pl_position_era (known->restored.position) < pl_position_era (row->version);
  bool is_still_missing = row->value == NULL && known->restored.bytes == NULL;

  if (row->version <= known->restored.position || (is_snapshot && !is_new_era && is_still_missing))
    return ROW_IGNORED;
  if (is_same_value (&known->current, row))
    return ROW_CONFIRMED;
  /* Changes, and rows that differ from an earlier snapshot of this era, were written in it. */
  if (is_snapshot && is_new_era && contradicts (known, row, origin))
    return ROW_CONTESTED;
  return ROW_ADOPTED;
}

static enum row_verdict
judge_known (const struct held_row *known, const struct pl_row *row,
             const struct row_origin *origin, bool is_snapshot)
{
  int64_t era = pl_position_era (row->version);
  int64_t known_era = pl_position_era (known->current.position);

  if (era == known_era && row->version <= known->current.position)
    return ROW_IGNORED;
  if (known->type == PL_ROW_UPDATE_ROUTING)
    return judge_configuration (known, row, origin);
  if (era < known_era)
    return judge_earlier (known, origin);
  return era == known_era ? ROW_ADOPTED : judge_later (known, row, origin, is_snapshot);
}

enum row_verdict
row_judge (const struct held_row *known, const struct pl_row *row, const struct row_origin *origin,
           bool is_snapshot, int64_t store_era)
{
  enum row_verdict verdict
      = known != NULL ? judge_known (known, row, origin, is_snapshot) : ROW_ADOPTED;

  return verdict == ROW_ADOPTED && pl_position_era (row->version) < store_era ? ROW_KEPT_BY_PEER
                                                                              : verdict;
}

void
eras_on_contested (struct pl_router *router, struct held_table *held, const char *key)
{
  if (held->contest_until_us == 0)
    held->contest_until_us = router->now_us + CONTEST_GRACE_US;
  router->due_us = MIN (router->due_us, held->contest_until_us);
  router_log (
      router, PL_ROUTER_LOG_STATE, "row-kept",
      json_pack ("{s:s,s:I}", "row", key, "era", (json_int_t) pl_position_era (held->version)));
}

/* Returns the keys of the contested rows that the store decides. */
static GPtrArray *
find_contested (const struct held_table *held)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, held->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct held_row *row = value;

      if (row_is_contested (row) && row->type != PL_ROW_UPDATE_ROUTING)
        g_ptr_array_add (keys, g_strdup (row->key));
    }
  return keys;
}

static void
settle_table (struct pl_router *router, enum pl_table table)
{
  struct held_table *held = &router->held[table];
  g_autoptr (GPtrArray) keys = find_contested (held);

  held->contest_until_us = 0;
  held->settled_era = pl_position_era (held->version);
  for (guint i = 0; i < keys->len; i++)
    rows_settle (router, table, g_ptr_array_index (keys, i));
  if (keys->len > 0)
    router_log (router, PL_ROUTER_LOG_WARNING, "rows-settled",
                json_pack ("{s:i,s:i}", "table", (int) table, "rows", (int) keys->len));
}

void
eras_run_timers (struct pl_router *router)
{
  for (int t = 0; t < PL_TABLES_MAX; t++)
    {
      struct held_table *held = &router->held[t];

      if (held->contest_until_us == 0)
        continue;
      /* Nobody can write again while the store is out of reach. */
      if (rows_are_stale (router))
        held->contest_until_us = router->now_us + CONTEST_GRACE_US;
      if (held->contest_until_us <= router->now_us)
        settle_table (router, (enum pl_table) t);
      else
        router->due_us = MIN (router->due_us, held->contest_until_us);
    }
}

int
eras_count_contested (const struct pl_router *router)
{
  int contested = 0;

  for (int t = 0; t < PL_TABLES_MAX; t++)
    {
      GHashTableIter iter;
      gpointer value;

      g_hash_table_iter_init (&iter, router->held[t].rows);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        contested += row_is_contested (value);
    }
  return contested;
}

int64_t
eras_retained_configuration (const struct pl_router *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->held[PL_TABLE_CONTROL].rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct held_row *row = value;

      if (row->type == PL_ROW_UPDATE_ROUTING && row_is_contested (row))
        return row->origin.start;
    }
  return 0;
}
