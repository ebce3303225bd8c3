/* Runs of the simulation: draws faults, runs them, shrinks a failing run and prints results. */
#include "fleet_state.h"

#include <stdio.h>
#include <string.h>

static void
free_item (gpointer data)
{
  struct item *item = data;

  if (item->type == ITEM_EVENT && item->event.type == PL_EVENT_MESSAGE)
    pl_message_clear (&item->event.u.message);
  if (item->type == ITEM_EVENT && item->event.type == PL_EVENT_STORE)
    {
      json_decref (item->event.u.store.releases);
      json_decref (item->event.u.store.snapshot);
      g_free (item->event.u.store.claims);
    }
  g_free (item);
}

static void
handle_item (struct fleet *fleet, struct item *item)
{
  switch (item->type)
    {
    case ITEM_EVENT:
      fleet_handle_event (fleet, item);
      break;
    case ITEM_FAULT_BEGIN:
      fleet_begin_fault (fleet, item->fault);
      break;
    case ITEM_FAULT_END:
      fleet_end_fault (fleet, item->fault);
      break;
    case ITEM_ARRIVAL:
      if (fleet->options->account_rate_ratio > 0)
        fleet_handle_steady_arrival (fleet);
      else
        fleet_handle_arrival (fleet);
      break;
    case ITEM_RUN_END:
      fleet_handle_run_end (fleet, &item->run);
      break;
    case ITEM_STORE_APPLY:
      fleet_handle_store_apply (fleet, item);
      break;
    case ITEM_SERVER_UP:
      fleet->servers[item->run.server].down = false;
      break;
    case ITEM_EXECUTE:
      if (fleet->processes[item->process].alive)
        fleet_execute_effect (fleet, item->process, item->effect, item->decided_us);
      pl_effect_clear (item->effect);
      g_free (item->effect);
      break;
    }
}

static void
run_until (struct fleet *fleet, int64_t until_us)
{
  while (fleet->result->violation[0] == '\0')
    {
      GSequenceIter *first = g_sequence_get_begin_iter (fleet->queue);
      struct item *item;

      if (g_sequence_iter_is_end (first))
        break;
      item = g_sequence_get (first);
      if (item->at_us > until_us)
        break;
      g_sequence_remove (first);
      fleet->now_us = item->at_us;
      handle_item (fleet, item);
      g_free (item);
    }
  fleet->now_us = MAX (fleet->now_us, until_us);
}

/* After the recovery period every listed host must serve each kind of request and have the store's
 * version in force. */
static void
check_recovery (struct fleet *fleet)
{
  fleet->in_final_check = true;
  for (int host = 0; host < SPARE_HOST; host++)
    for (int kind = 0; kind < 3; kind++)
      {
        struct call call = {.origin = -1, .operation = -1, .account = 2, .is_final_check = true};

        /* Kind 0 is repeatable, 1 is a new operation, and 2 needs no key. */
        if (kind == 1 && fleet->operation_count < OPERATIONS_MAX)
          {
            /* The next operation number that belongs to account 2. */
            fleet->operation_count += (2 - fleet->operation_count % 3 + 3) % 3;
            call.operation = fleet->operation_count++;
          }
        if (kind == 2)
          call.account = -1;
        fleet->final_checks_pending++;
        fleet_send_request (fleet, host, &call);
      }
  run_until (fleet, fleet->now_us + 4 * SECOND);
  if (fleet->final_checks_pending > 0)
    fleet_report_violation (fleet, "%d requests after the recovery period were never answered",
                            fleet->final_checks_pending);
  for (int host = 0; host < SPARE_HOST; host++)
    if (fleet->current_processes[host] >= 0
        && fleet->processes[fleet->current_processes[host]].version != fleet->head)
      fleet_report_violation (
          fleet, "after the recovery period %s has version %ld in force, the store %ld",
          host_names[host], fleet->processes[fleet->current_processes[host]].version, fleet->head);
}

static void
set_up (struct fleet *fleet, const struct fleet_options *options, struct fleet_result *result)
{
  g_autofree char *text = fleet_format_initial_release ();

  fleet->options = options;
  fleet->result = result;
  fleet->random = g_rand_new_with_seed (options->seed);
  fleet->queue = g_sequence_new (NULL);
  fleet->calls = g_array_new (FALSE, TRUE, sizeof (struct call));
  fleet->releases = g_ptr_array_new_with_free_func ((GDestroyNotify) json_decref);
  fleet->release_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->claims = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->crashed_servers = g_hash_table_new (NULL, NULL);
  fleet->key_withdrawn_us = -1;
  fleet->server_drained_us = -1;
  fleet->flood_host = -1;
  for (int i = 0; i < ACCOUNTS; i++)
    fleet->tokens[i] = account_bursts[i];
  fleet->link_tokens[0] = fleet->link_tokens[1] = LINK_BYTES;
  for (int i = 0; i < ACCOUNTS; i++)
    fleet->account_hosts[i] = fleet_random_int (fleet, 2 * SPARE_HOST) - SPARE_HOST;
  for (int i = 0; i < HOSTS; i++)
    fleet_start_process (fleet, i);
  run_until (fleet, SECOND);
  /* An operator who gets no answer repeats the command. */
  for (int i = 0; fleet->head == 0 && i < 5; i++)
    {
      fleet_submit_release (fleet, 0, text);
      run_until (fleet, fleet->now_us + 4 * SECOND);
    }
  run_until (fleet, MAX (fleet->now_us, 8 * SECOND));
  fleet->arrivals_end_us = fleet->now_us + options->length_us;
  for (int i = 0; i < options->fault_count; i++)
    {
      const struct fleet_fault *fault = &options->faults[i];

      fleet_schedule (fleet, fault->at_us, ITEM_FAULT_BEGIN)->fault = fault;
      fleet_schedule (fleet, fault->at_us + fault->length_us, ITEM_FAULT_END)->fault = fault;
    }
  fleet_schedule (fleet, 0, ITEM_ARRIVAL);
}

static void
tear_down (struct fleet *fleet)
{
  GSequenceIter *at = g_sequence_get_begin_iter (fleet->queue);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    free_item (g_sequence_get (at));
  g_sequence_free (fleet->queue);
  for (int i = 0; i < fleet->process_count; i++)
    pl_core_free (fleet->processes[i].core);
  g_rand_free (fleet->random);
  g_array_free (fleet->calls, TRUE);
  g_ptr_array_free (fleet->releases, TRUE);
  g_hash_table_destroy (fleet->release_ids);
  g_hash_table_destroy (fleet->claims);
  g_hash_table_destroy (fleet->crashed_servers);
  json_decref (fleet->document);
  g_free (fleet);
}

/* The number of servers that one request may crash is bounded fleet-wide only if nothing else
 * fails: hosts that cannot reach one another must each detect the request themselves. */
static bool
has_only_crashing_requests (const struct fleet_options *options)
{
  for (int i = 0; i < options->fault_count; i++)
    if (options->faults[i].kind != FLEET_CRASHING_REQUEST)
      return false;
  return options->fault_count > 0;
}

void
fleet_run (const struct fleet_options *options, struct fleet_result *result)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  memset (result, 0, sizeof *result);
  set_up (fleet, options, result);
  run_until (fleet, fleet->now_us + options->length_us);
  run_until (fleet, fleet->now_us + RECOVERY_US);
  if (result->violation[0] == '\0')
    check_recovery (fleet);
  if (result->servers_crashed_by_request > 2 && has_only_crashing_requests (options))
    fleet_report_violation (fleet, "one request cost %" G_GUINT64_FORMAT " servers",
                            result->servers_crashed_by_request);
  result->operations = (uint64_t) fleet->operation_count;
  tear_down (fleet);
}

void
fleet_draw_faults (struct fleet_options *options, int count)
{
  GRand *random = g_rand_new_with_seed (options->seed + 7777);

  options->fault_count = MIN (count, FLEET_FAULTS_MAX);
  for (int i = 0; i < options->fault_count; i++)
    {
      struct fleet_fault *fault = &options->faults[i];

      fault->kind = (enum fleet_fault_kind) g_rand_int_range (random, 0, FLEET_FAULT_KINDS);
      fault->subject = g_rand_int_range (random, 0, 1000);
      fault->length_us = g_rand_int_range (random, 100, 6000) * MS;
      fault->at_us
          = (int64_t) (g_rand_double (random) * (double) (options->length_us - fault->length_us));
      /* The list of hosts changes at most once: the spare host's name must not be added while it is
       * still in use. */
      for (int j = 0; j < i; j++)
        if (fault->kind == FLEET_RESIZE_HOST_LIST
            && options->faults[j].kind == FLEET_RESIZE_HOST_LIST)
          fault->kind = FLEET_PAUSE;
    }
  g_rand_free (random);
}

void
fleet_shrink (struct fleet_options *options, struct fleet_result *result)
{
  bool is_reduced = true;

  while (is_reduced)
    {
      is_reduced = false;
      for (int i = 0; i < options->fault_count; i++)
        {
          struct fleet_options candidate = *options;
          struct fleet_result candidate_result;

          memmove (&candidate.faults[i], &candidate.faults[i + 1],
                   (size_t) (candidate.fault_count - i - 1) * sizeof candidate.faults[0]);
          candidate.fault_count--;
          fleet_run (&candidate, &candidate_result);
          if (candidate_result.violation[0] == '\0')
            continue;
          *options = candidate;
          *result = candidate_result;
          is_reduced = true;
          break;
        }
    }
}

void
fleet_print_result (const struct fleet_options *options, const struct fleet_result *result)
{
  static const char *const names[FLEET_FAULT_KINDS] = {"pause",
                                                       "kill",
                                                       "replace",
                                                       "partition-domain",
                                                       "store-down",
                                                       "store-loses-answers",
                                                       "lossy-network",
                                                       "crash-server",
                                                       "crashing-request",
                                                       "silent-server",
                                                       "race-releases",
                                                       "flood-host",
                                                       "resize-host-list"};

  printf ("seed %u: %s at %.3f s\n", options->seed,
          result->violation[0] != '\0' ? result->violation : "no violation",
          (double) result->violated_at_us / 1e6);
  for (int i = 0; i < options->fault_count; i++)
    printf ("  %-20s subject %d from %.3f s for %.3f s\n", names[options->faults[i].kind],
            options->faults[i].subject, (double) options->faults[i].at_us / 1e6,
            (double) options->faults[i].length_us / 1e6);
}
