/* bench_fair_share - processor time of a decision under load, and memory of accounts.
 *
 *   bench_fair_share
 *
 * Prints the microseconds of processor time for one choice among 250 servers with 84 accounts and
 * 500 waiting requests (the decision on the share, the choice of a server, and the search of the
 * queue that an answer causes), for each of these parts, and the bytes that 5,000 accounts take.
 */
#include "internal/fair_share.h"
#include "internal/wait_queue.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define ACCOUNTS 84
#define ACCOUNTS_MAX 5000
#define SERVERS 250
#define WAITING 500
#define REGIONS 3
#define CHOICES 20000
/* Hosts that report an account's use to this one: those of a domain, and the other domains. */
#define REPORTERS 20
#define SECOND INT64_C (1000000)

struct account
{
  struct pl_quota quota;
  struct pl_share_account share;
};

static struct account accounts[ACCOUNTS_MAX];
static struct pl_wait_entry entries[WAITING];

static double
processor_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec + (double) now.tv_nsec / 1e9;
}

static void
add_accounts (void)
{
  for (int i = 0; i < ACCOUNTS; i++)
    {
      struct pl_quota *quota = &accounts[i].quota;

      pl_quota_init (quota, 0);
      pl_quota_set_limits (quota, 20, 40, 0);
      for (int step = 0; step < 2 * REPORTERS; step++)
        {
          struct pl_quota_report report = {
              .scope = PL_QUOTA_HOST,
              .group = (uint64_t) (step % REPORTERS) + 1,
              .sender = (uint64_t) (step % REPORTERS) + 1,
              .incarnation = 1,
              .count = (uint32_t) (step / REPORTERS),
              .is_counted = true,
          };

          pl_quota_on_report (quota, &report, SECOND / 2 * (step / REPORTERS));
        }
    }
}

static void
add_servers (struct pl_placement *placement, int service)
{
  pl_placement_set_service (placement, service, SECOND, 14);
  for (int i = 0; i < SERVERS; i++)
    {
      struct pl_server_entry entry = {.service = "stock", .slots = 4, .born = 1};
      g_autofree char *id = g_strdup_printf ("server-%d", i);
      g_autofree char *domain = g_strdup_printf ("%d-%d", i % REGIONS, i / REGIONS % 2);

      entry.id = id;
      g_snprintf (entry.address, sizeof entry.address, "10.0.0.%d:80", i);
      entry.domain = domain;
      pl_placement_put (placement, &entry, i % REGIONS, true, 0);
    }
}

static void
add_waiting (struct pl_wait_queue *queue, const struct pl_placement *placement, int service)
{
  guint position = 0;

  for (int i = 0; i < WAITING; i++)
    {
      struct pl_placement_choice choice = {.awaited_count = PL_PLACEMENT_RANKED_MAX};

      for (int j = 0; j < PL_PLACEMENT_RANKED_MAX; j++)
        {
          g_autofree char *id = g_strdup_printf ("server-%d", (i * 7 + j * 31) % SERVERS);

          choice.awaited[j] = pl_placement_find (placement, id)->hash;
        }
      entries[i] = (struct pl_wait_entry){.service = service, .priority = i % 3, .arrived_us = i};
      pl_wait_queue_add (queue, &entries[i]);
      pl_wait_entry_await (&entries[i], &choice);
    }
  while (pl_wait_queue_next (queue, &position) != NULL)
    continue;
}

static double
measure_decisions (struct pl_fair_share *shares, int service)
{
  double started = processor_seconds ();

  for (int i = 0; i < CHOICES; i++)
    {
      struct account *account = &accounts[i % ACCOUNTS];
      struct pl_share_request request = {.service = service,
                                         .account = &account->share,
                                         .quota = &account->quota,
                                         .hosts = 84,
                                         .time_left_us = SECOND,
                                         .objective_us = SECOND,
                                         .on_time_us = SECOND};
      /* 200 requests a second; every tenth is missed, so that a level is in force. */
      int64_t now_us = SECOND + INT64_C (5000) * i;

      pl_fair_share_admit (shares, &request, now_us);
      pl_fair_share_record (shares, service, i % 4 == 0 ? PL_SHARE_MISSED : PL_SHARE_BUSY, 300e3, 1,
                            now_us);
    }
  return (processor_seconds () - started) / CHOICES * 1e6;
}

static double
measure_choices (struct pl_placement *placement, int service)
{
  struct pl_placement_request request = {.service = service,
                                         .objective_us = SECOND,
                                         .time_left_us = SECOND,
                                         .home_regions = UINT32_MAX};
  double started = processor_seconds ();

  for (int i = 0; i < CHOICES; i++)
    {
      struct pl_placement_choice choice;

      request.object = (uint64_t) i + 1;
      if (pl_placement_choose (placement, &request, NULL, NULL, &choice, INT64_C (100) * i)
          == PL_PLACED)
        choice.backend->in_flight--;
    }
  return (processor_seconds () - started) / CHOICES * 1e6;
}

/* One answer: marks the entries that wait for its server, and one of them leaves the queue and
 * another comes. */
static double
measure_queue (struct pl_wait_queue *queue, const struct pl_placement *placement)
{
  double started = processor_seconds ();

  for (int i = 0; i < CHOICES; i++)
    {
      guint position = 0;
      struct pl_wait_entry *entry;

      pl_wait_queue_mark_server (
          queue, pl_placement_find_by_hash (placement, entries[i % WAITING].awaited[0]));
      entry = pl_wait_queue_next (queue, &position);
      if (entry == NULL)
        continue;
      pl_wait_queue_remove (queue, entry);
      entry->arrived_us = WAITING + i;
      pl_wait_queue_add (queue, entry);
    }
  return (processor_seconds () - started) / CHOICES * 1e6;
}

int
main (void)
{
  struct pl_placement placement;
  struct pl_fair_share shares;
  struct pl_wait_queue queue;
  double decision;
  double choice;
  double search;
  int service;

  pl_placement_init (&placement, "0-0", 0);
  service = pl_placement_ensure_service (&placement, "stock");
  add_servers (&placement, service);
  add_accounts ();
  pl_fair_share_init (&shares, 1);
  pl_wait_queue_init (&queue);
  add_waiting (&queue, &placement, service);
  decision = measure_decisions (&shares, service);
  choice = measure_choices (&placement, service);
  search = measure_queue (&queue, &placement);
  printf ("accounts %d  servers %d  waiting %d  us a request %.2f: share %.2f, server %.2f, "
          "queue %.2f\n",
          ACCOUNTS, SERVERS, pl_wait_queue_length (&queue), decision + choice + search, decision,
          choice, search);
  printf ("accounts %d  bytes %zu: shares %zu, quotas without reports %zu; a service %zu\n",
          ACCOUNTS_MAX, sizeof accounts, ACCOUNTS_MAX * sizeof (struct pl_share_account),
          ACCOUNTS_MAX * sizeof (struct pl_quota), sizeof (struct pl_share_service));
  pl_wait_queue_clear (&queue);
  pl_fair_share_clear (&shares);
  for (int i = 0; i < ACCOUNTS; i++)
    pl_quota_clear (&accounts[i].quota);
  pl_placement_clear (&placement);
  return 0;
}
