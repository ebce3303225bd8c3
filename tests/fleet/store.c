/* The platform's store: its tables in memory, with answers lost and calls applied late. */
#include "fleet_state.h"

#include <stdlib.h>
#include <string.h>

static int
host_by_name (const char *name)
{
  for (int i = 0; i < HOSTS; i++)
    if (strcmp (host_names[i], name) == 0)
      return i;
  abort ();
}

static void
store_head (struct fleet *fleet, const struct pl_store_request *request,
            struct pl_store_event *event)
{
  int host = host_by_name (request->id);

  event->version = fleet->head;
  event->name_nonce = fleet->name_rows[host].nonce;
  event->confirmed_version = INT64_MAX;
  for (int i = 0; i < HOSTS; i++)
    if (fleet->name_rows[i].nonce != 0 && !fleet->name_rows[i].released)
      event->confirmed_version = MIN (event->confirmed_version, fleet->name_rows[i].version);
  event->releases = json_array ();
  if (request->version == 0 && fleet->head > 0)
    event->snapshot
        = json_pack ("{s:I,s:O}", "version", (json_int_t) fleet->head, "document", fleet->document);
  else
    for (int64_t version = request->version + 1; version <= fleet->head; version++)
      json_array_append_new (
          event->releases,
          json_pack ("{s:I,s:O}", "version", (json_int_t) version, "release",
                     (json_t *) g_ptr_array_index (fleet->releases, (guint) version - 1)));
}

static int
store_commit (struct fleet *fleet, const struct pl_store_request *request)
{
  if (fleet->head != request->version || g_hash_table_contains (fleet->release_ids, request->id))
    return PL_ERR_CONFLICT;
  fleet->head++;
  g_ptr_array_add (fleet->releases, json_loads (request->text, 0, NULL));
  json_decref (fleet->document);
  fleet->document = json_loads (request->document, 0, NULL);
  g_hash_table_insert (fleet->release_ids, g_strdup (request->id),
                       g_strdup_printf ("%s %" G_GINT64_FORMAT, request->digest, fleet->head));
  fleet->result->versions = fleet->head;
  if (g_str_has_prefix (request->id, "withdraw-key"))
    fleet->key_withdrawn_us = fleet->now_us;
  if (g_str_has_prefix (request->id, "give-key"))
    fleet->key_withdrawn_us = -1;
  if (g_str_has_prefix (request->id, "drain"))
    fleet->server_drained_us = fleet->now_us;
  if (g_str_has_prefix (request->id, "undrain"))
    fleet->server_drained_us = -1;
  fleet_trace (fleet, "store: %s is version %ld", request->id, fleet->head);
  return PL_OK;
}

static int
store_find (struct fleet *fleet, const struct pl_store_request *request,
            struct pl_store_event *event)
{
  const char *text = g_hash_table_lookup (fleet->release_ids, request->id);

  if (text == NULL)
    return PL_ERR_NOT_FOUND;
  sscanf (text, "%64s %" G_GINT64_FORMAT, event->digest, &event->version);
  return PL_OK;
}

static char *
format_claim (const struct pl_store_request *request, int at, const char *state)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %s", request->nonce,
                          request->claims[at].request, state);
}

static void
store_claim (struct fleet *fleet, const struct pl_store_request *request,
             struct pl_store_event *event)
{
  event->claim_count = request->claim_count;
  event->claims = g_new0 (struct pl_claim_result, PL_CLAIMS_MAX);
  for (int i = 0; i < request->claim_count; i++)
    {
      const char *row = request->claims[i].row;
      const char *known = g_hash_table_lookup (fleet->claims, row);
      g_autofree char *ours = format_claim (request, i, "claimed");
      struct pl_claim_result *claim = &event->claims[i];

      fleet_trace (fleet, "claim of %s by %s, known %s", row, ours, known != NULL ? known : "-");
      claim->request = request->claims[i].request;
      g_strlcpy (claim->row, row, sizeof claim->row);
      if (known == NULL)
        {
          g_hash_table_insert (fleet->claims, g_strdup (row), g_strdup (ours));
          claim->state = PL_CLAIM_CREATED;
        }
      else if (strcmp (known, ours) == 0)
        claim->state = PL_CLAIM_OURS;
      else if (g_str_has_suffix (known, "done"))
        claim->state = PL_CLAIM_DONE;
      else
        claim->state = PL_CLAIM_TAKEN;
    }
}

static void
store_name (struct fleet *fleet, const struct pl_store_request *request,
            struct pl_store_event *event)
{
  int host = host_by_name (request->id);
  bool ours = fleet->name_rows[host].nonce == request->nonce;

  event->taken_over
      = fleet->name_rows[host].nonce != 0 && !ours && !fleet->name_rows[host].released;
  if (!ours)
    fleet->name_rows[host].incarnation++;
  fleet->name_rows[host].nonce = request->nonce;
  fleet->name_rows[host].version = request->version;
  fleet->name_rows[host].released = request->name_released;
  event->name_nonce = request->nonce;
  event->name_incarnation = fleet->name_rows[host].incarnation;
}

static void
store_apply (struct fleet *fleet, const struct pl_store_request *request,
             struct pl_store_event *event)
{
  const char *known;
  g_autofree char *ours = NULL;

  event->call = request->call;
  event->ticket = request->ticket;
  event->result = PL_OK;
  switch (request->call)
    {
    case PL_STORE_HEAD:
      store_head (fleet, request, event);
      break;
    case PL_STORE_COMMIT:
      event->result = store_commit (fleet, request);
      event->version = request->version + 1;
      break;
    case PL_STORE_FIND:
      event->result = store_find (fleet, request, event);
      break;
    case PL_STORE_CLAIM:
      store_claim (fleet, request, event);
      break;
    case PL_STORE_FINISH:
      g_hash_table_insert (fleet->claims, g_strdup (request->claims[0].row),
                           format_claim (request, 0, "done"));
      break;
    case PL_STORE_ABANDON:
      ours = format_claim (request, 0, "claimed");
      fleet_trace (fleet, "abandon of %s by %s", request->claims[0].row, ours);
      known = g_hash_table_lookup (fleet->claims, request->claims[0].row);
      if (known != NULL && strcmp (known, ours) == 0)
        g_hash_table_remove (fleet->claims, request->claims[0].row);
      break;
    case PL_STORE_NAME:
      store_name (fleet, request, event);
      break;
    }
}

/* Applies a call that has reached the store; its answer arrives later or is lost. */
void
fleet_handle_store_apply (struct fleet *fleet, struct item *item)
{
  struct pl_store_event event = {0};

  store_apply (fleet, item->store, &event);
  if (item->store_call_timed_out)
    {
      g_free (event.claims);
      json_decref (event.releases);
      json_decref (event.snapshot);
    }
  else if (item->lose_answer || (fleet->store_loses_answers && item->store->call != PL_STORE_HEAD))
    {
      for (int i = 0; i < event.claim_count; i++)
        {
          event.claims[i].state = PL_CLAIM_UNKNOWN;
          g_clear_pointer (&event.claims[i].answer, g_free);
        }
      g_clear_pointer (&event.releases, json_decref);
      g_clear_pointer (&event.snapshot, json_decref);
      event.result = PL_ERR_TIMEOUT;
      fleet_schedule_event (fleet, SECOND, item->process, PL_EVENT_STORE)->u.store = event;
    }
  else
    fleet_schedule_event (fleet, 1 * MS + fleet_random_int (fleet, 20 * MS), item->process,
                          PL_EVENT_STORE)
        ->u.store
        = event;
  g_free (item->store->text);
  g_free (item->store->document);
  g_free (item->store);
}

struct pl_store_event
fleet_make_store_failure (const struct pl_store_request *request, int result)
{
  struct pl_store_event event = {.call = request->call, .ticket = request->ticket};

  event.result = result;
  if (request->call == PL_STORE_CLAIM)
    {
      event.claim_count = request->claim_count;
      event.claims = g_new0 (struct pl_claim_result, PL_CLAIMS_MAX);
      for (int i = 0; i < request->claim_count; i++)
        {
          event.claims[i].request = request->claims[i].request;
          g_strlcpy (event.claims[i].row, request->claims[i].row, sizeof event.claims[i].row);
          event.claims[i].state = PL_CLAIM_UNKNOWN;
        }
    }
  return event;
}

void
fleet_call_store (struct fleet *fleet, int process, struct pl_effect *effect)
{
  struct pl_store_request *request = effect->u.store;
  int domain = host_domains[fleet->processes[process].host];
  bool is_applied_late = !fleet->in_final_check && fleet_random_double (fleet) < 0.005;
  struct item *item;

  if (fleet->store_down || fleet->domain_partitioned[domain])
    {
      fleet_schedule_event (fleet, SECOND, process, PL_EVENT_STORE)->u.store
          = fleet_make_store_failure (request, PL_ERR_TIMEOUT);
      return;
    }
  effect->u.store = NULL;
  item = fleet_schedule (fleet,
                         (is_applied_late ? 2 * SECOND : MS) + fleet_random_int (fleet, 10 * MS),
                         ITEM_STORE_APPLY);
  item->process = process;
  item->store = request;
  item->lose_answer = !fleet->in_final_check && fleet_random_double (fleet) < 0.01;
  if (is_applied_late)
    {
      /* The call takes effect after it has timed out at the host; its answer is dropped. */
      item->store_call_timed_out = true;
      fleet_schedule_event (fleet, SECOND, process, PL_EVENT_STORE)->u.store
          = fleet_make_store_failure (request, PL_ERR_TIMEOUT);
    }
}
