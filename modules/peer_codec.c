/* Converts between the reducer's messages and the XDR types, field by field.
 *
 * The generated decoder limits every array and string, so the memory that a
 * malicious body takes is bounded by its length; the counts are checked again
 * here against the reducer's fixed arrays.
 */
#include "internal/peer_codec.h"
#include "pomelolatch/error.h"

#include "peer_xdr.h"

#include <assert.h>
#include <string.h>

#define ENCODE_FIXED_BYTES ((size_t) 128 << 10)

G_STATIC_ASSERT (PEER_SERVICES_MAX == PL_SERVICES_MAX);
G_STATIC_ASSERT (PEER_ITEMS_MAX == PL_LOAN_ITEMS_MAX);

struct scratch
{
  struct peer_message messages[PEER_MESSAGES_MAX];
  struct peer_load loads[PEER_MESSAGES_MAX][PEER_SERVICES_MAX];
  struct peer_loan_item items[PEER_MESSAGES_MAX][PEER_ITEMS_MAX];
};

static void
loans_to_wire (const struct pl_loan_message *from, struct peer_loans *to,
               struct peer_loan_item *items)
{
  to->requested_us = from->requested_us;
  to->nonce = from->nonce;
  to->items.items_len = (u_int) from->count;
  to->items.items_val = items;
  for (int i = 0; i < from->count; i++)
    items[i] = (struct peer_loan_item){
        from->items[i].budget,  from->items[i].number,          from->items[i].amount,
        from->items[i].surplus, from->items[i].returned_number, from->items[i].returned_amount,
    };
}

static void
heartbeat_to_wire (const struct pl_heartbeat *from, struct peer_heartbeat *to,
                   struct peer_load *loads)
{
  to->config_version = from->version;
  to->store_age_us = from->store_age_us;
  to->leaving = from->leaving;
  to->services.services_len = (u_int) from->service_count;
  to->services.services_val = loads;
  for (int i = 0; i < from->service_count; i++)
    loads[i] = (struct peer_load){from->services[i].service, from->services[i].free_slots,
                                  from->services[i].waiting};
}

static void
message_to_wire (const struct pl_message *from, struct scratch *scratch, int index)
{
  struct peer_message *to = &scratch->messages[index];

  to->type = (int) from->type;
  switch (from->type)
    {
    case PL_MESSAGE_HEARTBEAT:
      heartbeat_to_wire (&from->u.heartbeat, &to->peer_message_u.heartbeat, scratch->loads[index]);
      break;
    case PL_MESSAGE_LOAN_REQUEST:
    case PL_MESSAGE_LOAN_GRANT:
      loans_to_wire (&from->u.loans, &to->peer_message_u.loan_request, scratch->items[index]);
      break;
    case PL_MESSAGE_SUSPECT:
      to->peer_message_u.suspect = (struct peer_suspect){
          from->u.suspect.fingerprint, from->u.suspect.server, from->u.suspect.confirmed};
      break;
    case PL_MESSAGE_RELEASE:
    case PL_MESSAGE_SNAPSHOT:
      to->peer_message_u.release
          = (struct peer_document){from->u.document.version, from->u.document.text};
      break;
    case PL_MESSAGE_FETCH_RELEASES:
      to->peer_message_u.held_version = from->u.document.version;
      break;
    case PL_MESSAGE_COUNT:
      assert (0);
      break;
    }
}

char *
pl_peer_encode (const struct pl_message *messages, int count, size_t *length)
{
  struct scratch *scratch = g_new0 (struct scratch, 1);
  struct peer_batch batch = {{(u_int) count, scratch->messages}};
  size_t size = ENCODE_FIXED_BYTES;
  char *bytes;
  XDR xdrs;

  assert (count <= PEER_MESSAGES_MAX);
  for (int i = 0; i < count; i++)
    {
      message_to_wire (&messages[i], scratch, i);
      if (messages[i].type == PL_MESSAGE_RELEASE || messages[i].type == PL_MESSAGE_SNAPSHOT)
        size += strlen (messages[i].u.document.text) + 16;
    }
  bytes = g_malloc (size);
  xdrmem_create (&xdrs, bytes, (u_int) size, XDR_ENCODE);
  if (xdr_peer_batch (&xdrs, &batch))
    *length = xdr_getpos (&xdrs);
  else
    g_clear_pointer (&bytes, g_free);
  xdr_destroy (&xdrs);
  g_free (scratch);
  return bytes;
}

static void
loans_from_wire (const struct peer_loans *from, struct pl_loan_message *to)
{
  to->requested_us = from->requested_us;
  to->nonce = from->nonce;
  to->count = (int32_t) MIN (from->items.items_len, (u_int) PL_LOAN_ITEMS_MAX);
  for (int i = 0; i < to->count; i++)
    {
      const struct peer_loan_item *item = &from->items.items_val[i];

      to->items[i] = (struct pl_loan_item){
          item->budget,  item->number,          item->amount,
          item->surplus, item->returned_number, item->returned_amount,
      };
    }
}

static void
heartbeat_from_wire (const struct peer_heartbeat *from, struct pl_heartbeat *to)
{
  to->version = from->config_version;
  to->store_age_us = from->store_age_us;
  to->leaving = from->leaving;
  to->service_count = (int32_t) MIN (from->services.services_len, (u_int) PL_SERVICES_MAX);
  for (int i = 0; i < to->service_count; i++)
    {
      const struct peer_load *load = &from->services.services_val[i];

      to->services[i] = (struct pl_service_load){load->service, load->free_slots, load->waiting};
    }
}

static void
message_from_wire (const struct peer_message *from, struct pl_message *to)
{
  to->type = (enum pl_message_type) from->type;
  switch (to->type)
    {
    case PL_MESSAGE_HEARTBEAT:
      heartbeat_from_wire (&from->peer_message_u.heartbeat, &to->u.heartbeat);
      break;
    case PL_MESSAGE_LOAN_REQUEST:
    case PL_MESSAGE_LOAN_GRANT:
      loans_from_wire (&from->peer_message_u.loan_request, &to->u.loans);
      break;
    case PL_MESSAGE_SUSPECT:
      to->u.suspect = (struct pl_suspect_message){from->peer_message_u.suspect.fingerprint,
                                                  from->peer_message_u.suspect.server,
                                                  from->peer_message_u.suspect.confirmed};
      break;
    case PL_MESSAGE_RELEASE:
    case PL_MESSAGE_SNAPSHOT:
      to->u.document.version = from->peer_message_u.release.config_version;
      to->u.document.text = g_strdup (from->peer_message_u.release.text);
      break;
    default:
      to->u.document.version = from->peer_message_u.held_version;
      break;
    }
}

int
pl_peer_decode (const char *bytes, size_t length, uint64_t from,
                void (*on_message) (void *data, struct pl_message *message), void *data)
{
  struct peer_batch batch = {0};
  XDR xdrs;
  bool decoded;

  xdrmem_create (&xdrs, (char *) bytes, (u_int) length, XDR_DECODE);
  decoded = xdr_peer_batch (&xdrs, &batch) && xdr_getpos (&xdrs) == length;
  xdr_destroy (&xdrs);
  for (u_int i = 0; decoded && i < batch.messages.messages_len; i++)
    {
      struct pl_message message = {0};

      message_from_wire (&batch.messages.messages_val[i], &message);
      message.from = from;
      on_message (data, &message);
    }
  xdr_free ((xdrproc_t) xdr_peer_batch, &batch);
  return decoded ? PL_OK : PL_ERR_INVALID;
}
