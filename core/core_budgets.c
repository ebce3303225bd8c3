/* The budgets of this host: its share of each account's rate and of each link's bytes.
 *
 * A share is an equal part of the configured figure; the list of entry hosts
 * determines how many shares there are.  When that list changes, shares shrink
 * at once but grow only when every host that holds a name is known to have the
 * new list in force; in between, the sum of all shares is below the configured
 * figure, never above it.  A host that does not hold its name in the store has no
 * share and serves requests with borrowed tokens.
 */
#include "internal/core_state.h"

#include <string.h>

#define LOAN_PERIOD_US (50 * PL_US_PER_MS)
#define LOAN_HORIZON_US (150 * PL_US_PER_MS)
#define LOAN_FANOUT 8

static bool
holds_shares (const struct pl_core *core)
{
  return core->holds_name && !core->name_unverified && core->self != PL_NONE;
}

static bool
shares_may_grow (const struct pl_core *core)
{
  return (core->switches & PL_SWITCH_NO_SHARE_CONFIRMATION) != 0
         || core->confirmed_version >= core->hosts_version;
}

/* Returns one of SHARES equal shares of TOTAL units, in micro-units, rounded down. */
static int64_t
share_of (int64_t total, int64_t shares)
{
  return shares > 0 ? (int64_t) ((__int128) total * PL_MICRO_PER_TOKEN / shares) : 0;
}

void
budgets_set_shares (struct pl_core *core)
{
  GHashTableIter iter;
  gpointer value;
  int64_t shares = 0;

  if (core->config == NULL)
    return;
  if (holds_shares (core))
    shares = pl_config_fleet_shares (core->config, core->self);
  /* A higher number makes each share smaller and applies at once; a lower one, and the first one of
   * a host without a share, has to wait. */
  if (shares == 0 || shares > core->fleet_shares || shares_may_grow (core))
    {
      if (shares == 0 || core->fleet_shares > 0 || shares_may_grow (core))
        core->fleet_shares = shares;
    }
  g_hash_table_iter_init (&iter, core->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct account_state *account = value;
      int64_t rate = 0;
      int64_t burst = 0;

      if (account->index != PL_NONE)
        {
          rate = share_of (PL_ACCOUNT (core->config, account->index)->rate, core->fleet_shares);
          burst = share_of (PL_ACCOUNT (core->config, account->index)->burst, core->fleet_shares);
        }
      pl_budget_set_share (&account->budget, rate, burst, core->now_us);
    }
  g_hash_table_iter_init (&iter, core->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct link_state *link = value;
      int64_t rate = 0;

      if (link->index != PL_NONE && holds_shares (core) && shares_may_grow (core))
        rate = share_of (PL_LINK (core->config, link->index)->bytes_per_second,
                         pl_config_link_shares (core->config, link->index, core->self));
      pl_budget_set_share (&link->budget, rate, rate, core->now_us);
    }
}

static void
init_budget (struct pl_core *core, struct pl_budget *budget)
{
  int64_t from_us
      = (core->switches & PL_SWITCH_NO_FENCE) != 0 ? core->now_us : core->refill_from_us;

  pl_budget_init (budget, core->incarnation & UINT32_MAX, from_us);
}

/* Begins a new incarnation: empties all buckets and numbers grants above those of the last one. */
void
budgets_restart (struct pl_core *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    init_budget (core, &((struct account_state *) value)->budget);
  g_hash_table_iter_init (&iter, core->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    init_budget (core, &((struct link_state *) value)->budget);
  budgets_set_shares (core);
}

static void
adopt_account (struct pl_core *core, int index)
{
  uint64_t id = PL_ACCOUNT (core->config, index)->id;
  struct account_state *account = g_hash_table_lookup (core->accounts, &id);

  if (account == NULL)
    {
      account = g_new0 (struct account_state, 1);
      account->id = id;
      g_strlcpy (account->name, PL_ACCOUNT (core->config, index)->name, sizeof account->name);
      g_queue_init (&account->waiting);
      init_budget (core, &account->budget);
      if (core->now_us > account->budget.last_refill_us)
        account->budget.last_refill_us = core->now_us;
      g_hash_table_insert (core->accounts, &account->id, account);
      g_ptr_array_add (core->account_order, account);
    }
  account->index = index;
}

static void
adopt_link (struct pl_core *core, int index)
{
  uint64_t id = PL_LINK (core->config, index)->id;
  struct link_state *link = g_hash_table_lookup (core->links, &id);

  if (link == NULL)
    {
      link = g_new0 (struct link_state, 1);
      link->id = id;
      init_budget (core, &link->budget);
      if (core->now_us > link->budget.last_refill_us)
        link->budget.last_refill_us = core->now_us;
      g_hash_table_insert (core->links, &link->id, link);
    }
  link->index = index;
}

void
budgets_adopt (struct pl_core *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct account_state *) value)->index = PL_NONE;
  g_hash_table_iter_init (&iter, core->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct link_state *) value)->index = PL_NONE;
  for (guint i = 0; i < core->config->accounts->len; i++)
    adopt_account (core, (int) i);
  for (guint i = 0; i < core->config->links->len; i++)
    adopt_link (core, (int) i);
  budgets_set_shares (core);
}

static struct pl_budget *
find_budget (struct pl_core *core, uint64_t id)
{
  struct account_state *account = g_hash_table_lookup (core->accounts, &id);
  struct link_state *link;

  if (account != NULL && account != core->open_account)
    return &account->budget;
  link = g_hash_table_lookup (core->links, &id);
  return link != NULL ? &link->budget : NULL;
}

void
budgets_on_loan_request (struct pl_core *core, const struct pl_message *message)
{
  const struct pl_loan_message *loan_request = &message->u.loans;
  struct pl_message reply = {.type = PL_MESSAGE_LOAN_GRANT};

  reply.u.loans.requested_us = loan_request->requested_us;
  reply.u.loans.nonce = loan_request->nonce;
  for (int i = 0; i < loan_request->count; i++)
    {
      const struct pl_loan_item *item = &loan_request->items[i];
      struct pl_budget *budget = find_budget (core, item->budget);
      struct pl_loan_item *answer = &reply.u.loans.items[reply.u.loans.count];
      struct pl_grant grant;

      if (budget == NULL || item->amount < 0)
        continue;
      if (item->returned_number != 0)
        pl_budget_accept_return (budget, message->from, item->returned_number,
                                 item->returned_amount, core->now_us);
      grant = pl_budget_lend (budget, message->from, item->amount, item->number, core->now_us);
      *answer = (struct pl_loan_item){item->budget, grant.number, grant.amount, grant.surplus};
      reply.u.loans.count++;
    }
  if (reply.u.loans.count > 0)
    peers_send (core, message->from, &reply);
}

void
budgets_on_loan_grant (struct pl_core *core, const struct pl_message *message)
{
  const struct pl_loan_message *loans = &message->u.loans;

  /* A grant to an earlier process of this name carries times of another clock. */
  if (loans->nonce != core->nonce)
    return;
  for (int i = 0; i < loans->count; i++)
    {
      struct pl_budget *budget = find_budget (core, loans->items[i].budget);
      struct pl_grant grant
          = {loans->items[i].number, loans->items[i].amount, loans->items[i].surplus};

      if (budget != NULL)
        pl_budget_receive (budget, message->from, &grant, loans->requested_us, core->now_us);
    }
}

bool
budgets_link_eligible (const struct pl_core *core, const struct link_state *link, int host)
{
  return link->index != PL_NONE && pl_config_link_shares (core->config, link->index, host) > 0;
}

struct lender_list
{
  int count;
  struct member *members[PL_LENDERS_MAX];
  struct pl_message *messages[PL_LENDERS_MAX];
};

static struct pl_message *
ensure_message (struct pl_core *core, struct lender_list *lenders, int at)
{
  if (lenders->messages[at] == NULL)
    {
      lenders->messages[at] = g_new0 (struct pl_message, 1);
      lenders->messages[at]->type = PL_MESSAGE_LOAN_REQUEST;
      lenders->messages[at]->u.loans.requested_us = core->now_us;
      lenders->messages[at]->u.loans.nonce = core->nonce;
    }
  return lenders->messages[at];
}

/* Splits SHORTFALL over the lenders in proportion to the surplus that each last reported.  A lender
 * that reported none still gets a request for a small amount, since its surplus is known only from
 * its answers. */
static void
request_loan (struct pl_core *core, struct lender_list *lenders, uint64_t id,
              struct pl_budget *budget, const struct link_state *link, int64_t shortfall)
{
  int64_t total = 0;
  int eligible = 0;
  bool is_eligible[PL_LENDERS_MAX];

  for (int i = 0; i < lenders->count; i++)
    {
      is_eligible[i]
          = link == NULL || budgets_link_eligible (core, link, lenders->members[i]->index);
      if (!is_eligible[i])
        continue;
      eligible++;
      total += MAX (pl_budget_peer_surplus (budget, lenders->members[i]->id), 0);
    }
  for (int i = 0; i < lenders->count && eligible > 0; i++)
    {
      int64_t surplus = MAX (pl_budget_peer_surplus (budget, lenders->members[i]->id), 0);
      int64_t amount = shortfall / eligible + 1;
      struct pl_loan_message *loan_request;

      if (!is_eligible[i])
        continue;
      if (total > 0)
        amount = amount / 4 + (int64_t) ((__int128) shortfall * surplus / total);
      loan_request = &ensure_message (core, lenders, i)->u.loans;
      if (loan_request->count == PL_LOAN_ITEMS_MAX)
        continue;
      loan_request->items[loan_request->count++]
          = (struct pl_loan_item){id, pl_budget_acked (budget, lenders->members[i]->id), amount, 0};
    }
}

/* Adds the loans that are returned to the messages for their lenders. */
static void
return_loans (struct pl_core *core, struct lender_list *lenders, uint64_t id,
              struct pl_budget *budget)
{
  uint64_t number;
  int64_t amount;
  uint64_t peer;

  while ((peer = pl_budget_return_loan (budget, LOAN_HORIZON_US, core->now_us, &number, &amount))
         != 0)
    for (int i = 0; i < lenders->count; i++)
      {
        struct pl_loan_message *loan_request;

        if (lenders->members[i]->id != peer)
          continue;
        loan_request = &ensure_message (core, lenders, i)->u.loans;
        if (loan_request->count < PL_LOAN_ITEMS_MAX)
          loan_request->items[loan_request->count++] = (struct pl_loan_item){
              id, 0, 0, 0, number, amount,
          };
      }
}

static void
find_lenders (struct pl_core *core, struct lender_list *lenders)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->members);
  while (g_hash_table_iter_next (&iter, NULL, &value) && lenders->count < LOAN_FANOUT)
    {
      struct member *member = value;

      if (member->index != PL_NONE && peers_is_live (core, member))
        lenders->members[lenders->count++] = member;
    }
}

/* Returns the micro-tokens that waiting requests need in addition to the forecast demand. */
static int64_t
backlog_of (const struct account_state *account)
{
  return (int64_t) account->waiting.length * PL_MICRO_PER_TOKEN;
}

void
budgets_request_loans (struct pl_core *core)
{
  struct lender_list lenders = {0};
  GHashTableIter iter;
  gpointer value;

  find_lenders (core, &lenders);
  if (lenders.count == 0)
    return;
  g_hash_table_iter_init (&iter, core->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct account_state *account = value;
      int64_t shortfall;

      if (account->index == PL_NONE)
        continue;
      account->budget.backlog = backlog_of (account);
      shortfall = pl_budget_shortfall (&account->budget, LOAN_HORIZON_US, core->now_us);
      if (shortfall > 0)
        request_loan (core, &lenders, account->id, &account->budget, NULL, shortfall);
      else
        return_loans (core, &lenders, account->id, &account->budget);
    }
  g_hash_table_iter_init (&iter, core->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct link_state *link = value;
      int64_t shortfall = pl_budget_shortfall (&link->budget, LOAN_HORIZON_US, core->now_us);

      if (shortfall > 0 && budgets_link_eligible (core, link, core->self))
        request_loan (core, &lenders, link->id, &link->budget, link, shortfall);
      else
        return_loans (core, &lenders, link->id, &link->budget);
    }
  for (int i = 0; i < lenders.count; i++)
    if (lenders.messages[i] != NULL)
      {
        peers_send (core, lenders.members[i]->id, lenders.messages[i]);
        g_free (lenders.messages[i]);
      }
}

static void
loan_timer (void *data)
{
  struct pl_core *core = data;

  if (core->config != NULL && (core->switches & PL_SWITCH_NO_LOANS) == 0)
    budgets_request_loans (core);
}

void
budgets_start (struct pl_core *core)
{
  pl_timers_add (&core->timers, loan_timer, LOAN_PERIOD_US, core->now_us);
}
