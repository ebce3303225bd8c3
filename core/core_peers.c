/* Peers: heartbeats, liveness and the state that peers report.
 *
 * A heartbeat reports the version in force, the time since the store was last
 * read, and the free slots of each service.  A host that receives a higher
 * version than its own fetches the missing releases from the sender.  Freshness
 * spreads with heartbeats: one from a host that read the store a second ago
 * counts as a read of the store at that time.
 */
#include "internal/core_state.h"

#include <string.h>

#define SUSPECT_RESEND_US PL_US_PER_S

bool
peers_is_live (const struct pl_core *core, const struct member *member)
{
  return member->heard && core->now_us - member->heard_at_us <= PL_MEMBER_TIMEOUT_US;
}

void
peers_send (struct pl_core *core, uint64_t peer, const struct pl_message *message)
{
  struct pl_effect *effect = core_add_effect (core, PL_EFFECT_SEND);

  effect->u.send.peer = peer;
  pl_message_copy (&effect->u.send.message, message);
  effect->u.send.message.from = core->id;
  if (message->type == PL_MESSAGE_LOAN_GRANT)
    effect->valid_until_us = core->now_us + PL_LOAN_TERM_US;
}

void
peers_broadcast (struct pl_core *core, const struct pl_message *message)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct member *member = value;

      if (member->index != PL_NONE)
        peers_send (core, member->id, message);
    }
}

/* Counts the requests that wait for a slot of SERVICE; those that wait for tokens do not count. */
static int
count_waiting_for_slot (const struct pl_core *core, uint64_t service)
{
  int waiting = 0;

  for (guint i = 0; i < core->account_order->len; i++)
    {
      const struct account_state *account = g_ptr_array_index (core->account_order, i);

      for (const GList *at = account->waiting.head; at != NULL; at = at->next)
        {
          const struct request *request = at->data;

          if (request->service == service && request->lacks_slot)
            waiting++;
        }
    }
  return waiting;
}

void
peers_send_heartbeat (struct pl_core *core)
{
  struct pl_message message = {.type = PL_MESSAGE_HEARTBEAT};
  struct pl_heartbeat *heartbeat = &message.u.heartbeat;
  guint services = 0;

  heartbeat->version = pl_core_version (core);
  heartbeat->store_age_us = core->store_read_at_us < 0 ? -1 : core->now_us - core->store_read_at_us;
  heartbeat->leaving = core->stopping;
  if (core->config != NULL)
    services = MIN (core->config->services->len, (guint) PL_SERVICES_MAX);
  for (guint i = 0; i < services; i++)
    {
      struct pl_service_load *load = &heartbeat->services[heartbeat->service_count++];

      load->service = PL_SERVICE (core->config, i)->id;
      load->waiting = count_waiting_for_slot (core, load->service);
      load->free_slots = servers_free_slots (core, (int) i) - load->waiting;
    }
  peers_broadcast (core, &message);
}

void
peers_send_suspect (void *data, uint64_t fingerprint, uint64_t server, bool confirmed)
{
  struct pl_message message = {.type = PL_MESSAGE_SUSPECT};

  message.u.suspect.fingerprint = fingerprint;
  message.u.suspect.server = server;
  message.u.suspect.confirmed = confirmed;
  peers_broadcast (data, &message);
}

/* Recent suspicions are sent again with every heartbeat, since a message may be lost. */
static void
heartbeat_timer (void *data)
{
  struct pl_core *core = data;

  peers_send_heartbeat (core);
  quarantine_visit_recent (&core->quarantine, SUSPECT_RESEND_US, core->now_us, peers_send_suspect,
                           core);
}

static struct member *
ensure_member (struct pl_core *core, uint64_t id)
{
  struct member *member = g_hash_table_lookup (core->members, &id);

  if (member == NULL)
    {
      member = g_new0 (struct member, 1);
      member->id = id;
      member->index = PL_NONE;
      g_hash_table_insert (core->members, &member->id, member);
    }
  return member;
}

/* Members that are no longer in the configuration stay in the table, since requests may still run
 * there, but are sent nothing. */
void
peers_adopt (struct pl_core *core)
{
  GHashTableIter iter;
  gpointer value;

  core->self = pl_config_find_host (core->config, core->id);
  g_hash_table_iter_init (&iter, core->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct member *member = value;

      /* The indices of services may have changed: the counts by service start again at 0. */
      memset (member->in_flight_by_service, 0, sizeof member->in_flight_by_service);
      memset (member->in_flight_at_heartbeat, 0, sizeof member->in_flight_at_heartbeat);
      member->index = PL_NONE;
    }
  for (guint i = 0; i < core->config->hosts->len; i++)
    if ((int) i != core->self)
      ensure_member (core, PL_HOST (core->config, i)->id)->index = (int) i;
}

static void
on_heartbeat (struct pl_core *core, struct member *member, const struct pl_heartbeat *heartbeat)
{
  struct pl_message fetch = {.type = PL_MESSAGE_FETCH_RELEASES};

  member->heartbeat = *heartbeat;
  member->heartbeat.service_count = CLAMP (heartbeat->service_count, 0, PL_SERVICES_MAX);
  memcpy (member->in_flight_at_heartbeat, member->in_flight_by_service,
          sizeof member->in_flight_at_heartbeat);
  if (heartbeat->store_age_us >= 0)
    core->store_read_at_us = MAX (core->store_read_at_us, core->now_us - heartbeat->store_age_us);
  if (heartbeat->version > pl_core_version (core))
    {
      fetch.u.document.version = pl_core_version (core);
      peers_send (core, member->id, &fetch);
    }
}

static void
on_suspect (struct pl_core *core, const struct pl_suspect_message *suspect)
{
  if (suspect->server == 0)
    quarantine_record_success (&core->quarantine, suspect->fingerprint);
  else if (suspect->confirmed)
    quarantine_confirm (&core->quarantine, suspect->fingerprint, suspect->server, core->now_us);
  else
    quarantine_record_failure (&core->quarantine, suspect->fingerprint, suspect->server, false,
                               core->now_us);
}

bool
peers_on_message (struct pl_core *core, const struct pl_message *message)
{
  struct member *member;

  if (message->from == core->id)
    return false;
  /* Without a configuration a host does not know the other hosts, and accepts every peer that the
   * peer port has authenticated. */
  member = g_hash_table_lookup (core->members, &message->from);
  if (member == NULL && core->config != NULL)
    return false;
  if (member == NULL)
    member = ensure_member (core, message->from);
  member->heard = true;
  member->heard_at_us = core->now_us;
  if (message->type == PL_MESSAGE_HEARTBEAT)
    on_heartbeat (core, member, &message->u.heartbeat);
  else if (message->type == PL_MESSAGE_SUSPECT)
    on_suspect (core, &message->u.suspect);
  return true;
}

/* Returns the lowest version in force at this host and at all peers in the configuration, as last
 * reported. */
int64_t
peers_lowest_version (const struct pl_core *core)
{
  int64_t lowest = pl_core_version (core);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct member *member = value;

      if (member->index != PL_NONE)
        lowest = MIN (lowest, member->heartbeat.version);
    }
  return lowest;
}

void
peers_start (struct pl_core *core)
{
  pl_timers_add (&core->timers, heartbeat_timer, core->options.heartbeat_us, core->now_us);
}
