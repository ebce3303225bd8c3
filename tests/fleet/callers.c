/* Callers: which requests arrive, when, and at which host. */
#include "fleet_state.h"

#include <math.h>
#include <string.h>

static void
fill_key (struct pl_request_event *event, int account)
{
  event->has_key = account >= 0;
  memset (event->key_hash, account + 1, sizeof event->key_hash);
}

void
fleet_send_request (struct fleet *fleet, int host, const struct call *call)
{
  struct pl_event *event;
  uint64_t request;

  if (fleet->current_processes[host] < 0)
    return;
  request = fleet_add_call (fleet, call);
  fleet_get_call (fleet, request)->process = fleet->current_processes[host];
  event = fleet_schedule_event (fleet, 0, fleet->current_processes[host], PL_EVENT_REQUEST);
  event->u.request.request = request;
  event->u.request.body_available = true;
  event->u.request.body_bytes = BODY_BYTES;
  event->u.request.deadline_us = INT64_MAX;
  event->u.request.fingerprint = call->crashes_server ? CRASHING_FINGERPRINT : 1000 + request;
  fill_key (&event->u.request, call->account);
  /* The routes of the initial release: /u is not repeatable, /o needs no key, /r is repeatable. */
  g_strlcpy (event->u.request.path,
             call->operation >= 0 ? "/u"
             : call->account < 0  ? "/o"
                                  : "/r",
             sizeof event->u.request.path);
  if (call->operation >= 0)
    g_snprintf (event->u.request.operation, sizeof event->u.request.operation, "op%d",
                call->operation);
}

static void
send_random_request (struct fleet *fleet)
{
  struct call call = {.origin = -1, .operation = -1};
  int host = fleet_random_int (fleet, HOSTS);
  double operation_choice = fleet_random_double (fleet);

  call.account = fleet_random_int (fleet, ACCOUNTS + 1) - 1;
  if (fleet->flood_host >= 0 && fleet_random_double (fleet) < 0.6)
    {
      host = fleet->flood_host;
      call.account = 1;
    }
  if (call.account >= 0 && operation_choice < 0.3 && fleet->operation_count < OPERATIONS_MAX)
    call.operation = fleet->operation_count++;
  else if (call.account >= 0 && operation_choice < 0.4 && fleet->operation_count > 0)
    {
      /* Resends a recent operation, possibly while it still runs and to another host. */
      int recent = MIN (fleet->operation_count, 20);

      call.operation = fleet->operation_count - 1 - fleet_random_int (fleet, recent);
      call.account = call.operation % ACCOUNTS;
    }
  /* Each operation belongs to one account. */
  if (call.operation >= 0)
    call.account = call.operation % ACCOUNTS;
  if (call.account >= 0 && fleet->account_hosts[call.account] >= 0)
    host = fleet->account_hosts[call.account];
  if (fleet->crashing_request_enabled && !fleet->crashing_request_pending
      && fleet_random_double (fleet) < 0.1)
    {
      fleet->crashing_request_pending = true;

      call = (struct call){.origin = -1, .operation = -1, .account = 2, .crashes_server = true};
    }
  fleet_send_request (fleet, host, &call);
}

/* Sends one request of an account drawn by rate.  The request is within the rate if one bucket for
 * the whole fleet has a token for it. */
static void
send_steady_request (struct fleet *fleet)
{
  struct call call = {.origin = -1, .operation = -1, .sent_us = fleet->now_us};
  int offset = fleet_random_int (fleet, account_rates[0] + account_rates[1] + account_rates[2]);
  double *tokens;

  while (call.account < ACCOUNTS - 1 && offset >= account_rates[call.account])
    offset -= account_rates[call.account++];
  tokens = &fleet->steady_tokens[call.account];
  *tokens += (double) account_rates[call.account]
             * (double) (fleet->now_us - fleet->steady_filled_us[call.account]) / 1e6;
  *tokens = MIN (*tokens, account_bursts[call.account]);
  fleet->steady_filled_us[call.account] = fleet->now_us;
  call.within_rate = *tokens >= 1.0;
  if (call.within_rate)
    *tokens -= 1.0;
  fleet->result->within_rate += call.within_rate;
  fleet_send_request (fleet, fleet->options->one_host ? 0 : fleet_random_int (fleet, SPARE_HOST),
                      &call);
}

void
fleet_handle_steady_arrival (struct fleet *fleet)
{
  double rate = fleet->options->account_rate_ratio
                * (account_rates[0] + account_rates[1] + account_rates[2]);

  if (fleet->now_us > fleet->arrivals_end_us)
    return;
  send_steady_request (fleet);
  fleet_schedule (fleet, (int64_t) (-log (1.0 - fleet_random_double (fleet)) / rate * 1e6) + 1,
                  ITEM_ARRIVAL);
}

void
fleet_handle_arrival (struct fleet *fleet)
{
  double rate = 150 * fleet->options->load * (fleet->flood_host >= 0 ? 3 : 1);
  int64_t gap_us = (int64_t) (2.0 * fleet_random_double (fleet) / rate * 1e6);

  if (fleet->now_us > fleet->arrivals_end_us)
    return;
  send_random_request (fleet);
  fleet_schedule (fleet, gap_us + 1, ITEM_ARRIVAL);
}
