/* Claims on operations that may run only once.
 *
 * An operation is a row in the platform's table, named by account and hashed
 * Idempotency-Key, which is inserted if absent before the operation is sent to
 * any server.  The host that inserted the row runs the operation; a claim never
 * passes to another host, so correctness does not depend on the timing of a
 * lease.  The row's value names the process and the request: when the answer to
 * a call is lost, the call is repeated, and a row that names the request counts
 * as inserted by it.  Claims are sent in groups, one call at a time, which
 * limits a host's writes.
 *
 * A claim whose operation never ran is removed, but only while the row still
 * names this process and is unfinished.
 */
#include "internal/core_state.h"

#include <string.h>

#define CLAIM_RETRY_US (100 * PL_US_PER_MS)

void
operations_claim (struct pl_core *core, struct request *request)
{
  if (request->state != REQUEST_CLAIMING)
    request->changed_us = core->now_us;
  request->state = REQUEST_CLAIMING;
  g_snprintf (request->claim_row, sizeof request->claim_row, "op/%s/%s", request->account->name,
              request->event.operation);
  g_queue_push_tail (&core->claims, g_memdup2 (&request->event.request, sizeof (uint64_t)));
}

void
operations_send_claims (struct pl_core *core)
{
  struct pl_store_request *store;

  if (core->claim_call_pending || core->claims.length == 0 || core->now_us < core->claim_retry_us)
    return;
  store = core_add_store_effect (core, PL_STORE_CLAIM);
  while (core->claims.length > 0 && store->claim_count < PL_CLAIMS_MAX)
    {
      g_autofree uint64_t *id = g_queue_pop_head (&core->claims);
      const struct request *request = g_hash_table_lookup (core->requests, id);
      struct pl_claim *claim = &store->claims[store->claim_count];

      if (request == NULL || request->state != REQUEST_CLAIMING)
        continue;
      claim->request = *id;
      g_strlcpy (claim->row, request->claim_row, sizeof claim->row);
      store->claim_count++;
    }
  core->claim_call_pending = true;
  /* Delays the next call, unless this one succeeds.  The next call also repeats the claims whose
   * result is unknown. */
  core->claim_retry_us = core->now_us + CLAIM_RETRY_US;
}

void
operations_finish (struct pl_core *core, const struct request *request,
                   const struct pl_outcome_event *event)
{
  struct pl_store_request *store = core_add_store_effect (core, PL_STORE_FINISH);
  json_t *row
      = json_pack ("{s:s,s:I,s:I,s:i,s:s%}", "state", "done", "nonce", (json_int_t) core->nonce,
                   "request", (json_int_t) request->event.request, "status", event->status,
                   "answer", event->answer != NULL ? event->answer : "",
                   event->answer != NULL ? event->answer_length : (size_t) 0);

  if (row == NULL) /* the answer is not valid UTF-8: only its status is stored */
    row = json_pack ("{s:s,s:I,s:I,s:i,s:s}", "state", "done", "nonce", (json_int_t) core->nonce,
                     "request", (json_int_t) request->event.request, "status", event->status,
                     "answer", "");
  store->text = json_dumps (row, JSON_COMPACT);
  store->claim_count = 1;
  store->claims[0].request = request->event.request;
  g_strlcpy (store->claims[0].row, request->claim_row, sizeof store->claims[0].row);
  json_decref (row);
}

void
operations_abandon_row (struct pl_core *core, uint64_t request, const char *row)
{
  struct pl_store_request *store = core_add_store_effect (core, PL_STORE_ABANDON);

  store->claim_count = 1;
  store->claims[0].request = request;
  g_strlcpy (store->claims[0].row, row, sizeof store->claims[0].row);
}

void
operations_abandon (struct pl_core *core, const struct request *request)
{
  operations_abandon_row (core, request->event.request, request->claim_row);
}

void
operations_on_claim_call (struct pl_core *core, bool succeeded)
{
  core->claim_call_pending = false;
  if (succeeded)
    core->claim_retry_us = core->now_us;
}
