/* quota.h - an account's rate over all entry hosts, from what each host tells of its own.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_QUOTA_H
#define POMELOLATCH_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct pl_quota
{
  double rate;  /* requests a second over the fleet; 0: no limit */
  double burst; /* requests */
  double tokens;
  int64_t refilled_us;
  double heard_part; /* of the hosts, 0 to 1: the part of the rate that is refilled */
  double withheld;   /* requests left out of the refill for peers that are silent */
  int64_t withheld_us;
  uint64_t admitted;  /* here, since the start */
  uint64_t told;      /* admitted, as peers last heard */
  int64_t told_us;    /* 0: never */
  GHashTable *others; /* peer id -> struct pl_quota_peer */
};

void pl_quota_init (struct pl_quota *quota, int64_t now_us);
void pl_quota_clear (struct pl_quota *quota);

/* Puts new limits in force.  Tokens saved beyond the new burst are dropped. */
void pl_quota_limit (struct pl_quota *quota, double rate, double burst, int64_t now_us);

/* Takes a peer's word of how many requests it admitted since its start as INCARNATION.
 * RETURNED_US is when it was last heard again after a silence; 0: it was never silent. */
void pl_quota_on_peer (struct pl_quota *quota, uint64_t peer, uint64_t incarnation,
                       uint64_t admitted, int64_t returned_us, int64_t now_us);

/* Returns whether peers know of fewer requests than the account can bear, when HOSTS take them. */
bool pl_quota_is_pressing (const struct pl_quota *quota, int hosts);

/* Returns whether a beacon that is sent anyway should tell of the account. */
bool pl_quota_should_tell (const struct pl_quota *quota, int hosts, int64_t now_us);

/* Peers are told now. */
void pl_quota_note_told (struct pl_quota *quota, int64_t now_us);

/* Returns whether one more request may run, and counts it.  SILENT is the part of the fleet that
 * is not heard from, 0 to 1: it may be admitting its share. */
bool pl_quota_take (struct pl_quota *quota, double silent, int64_t now_us);

/* Returns after how long a token is there, microseconds. */
int64_t pl_quota_wait_us (const struct pl_quota *quota);

#endif
