/* The queue of scheduled items in virtual time; random numbers, violations and the trace. */
#include "fleet_state.h"

#include <stdio.h>

const char *const host_names[HOSTS] = {"n-a-1", "n-a-2", "n-b-1", "s-a-1", "s-b-1"};
const char *const domain_names[DOMAINS] = {"n-a", "n-b", "s-a", "s-b"};
const int host_domains[HOSTS] = {0, 0, 1, 2, 3};
const int account_rates[ACCOUNTS] = {40, 6, 150};
const int account_bursts[ACCOUNTS] = {20, 6, 100};

double
fleet_random_double (struct fleet *fleet)
{
  return g_rand_double (fleet->random);
}

int
fleet_random_int (struct fleet *fleet, int below)
{
  return g_rand_int_range (fleet->random, 0, below);
}

void
fleet_report_violation (struct fleet *fleet, const char *format, ...)
{
  va_list args;

  if (fleet->result->violation[0] != '\0')
    return;
  va_start (args, format);
  g_vsnprintf (fleet->result->violation, sizeof fleet->result->violation, format, args);
  va_end (args);
  fleet->result->violated_at_us = fleet->now_us;
}

void
fleet_trace (const struct fleet *fleet, const char *format, ...)
{
  va_list args;

  if (!fleet->options->trace)
    return;
  printf ("%10.3f ms  ", (double) fleet->now_us / 1e3);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

static int
compare_items (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct item *x = a;
  const struct item *y = b;

  (void) data;
  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

struct item *
fleet_schedule (struct fleet *fleet, int64_t delay_us, enum item_type type)
{
  struct item *item = g_new0 (struct item, 1);

  item->at_us = fleet->now_us + delay_us;
  item->order = fleet->next_order++;
  item->type = type;
  g_sequence_insert_sorted (fleet->queue, item, compare_items, NULL);
  return item;
}

struct pl_event *
fleet_schedule_event (struct fleet *fleet, int64_t delay_us, int process, enum pl_event_type type)
{
  struct item *item = fleet_schedule (fleet, delay_us, ITEM_EVENT);

  item->process = process;
  item->event.type = type;
  return &item->event;
}

struct call *
fleet_get_call (struct fleet *fleet, uint64_t request)
{
  return &g_array_index (fleet->calls, struct call, request - 1);
}

bool
fleet_is_stable (const struct fleet *fleet, int64_t since_us)
{
  return fleet->active_faults == 0
         && fleet->now_us - MAX (fleet->last_fault_end_us, since_us) > RELEASE_IN_FORCE_US;
}
