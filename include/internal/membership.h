/* membership.h - which entry hosts there are, and what each last said of itself.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_MEMBERSHIP_H
#define POMELOLATCH_MEMBERSHIP_H

#include "pomelolatch/event.h"

#define PL_TABLES_MAX 2
/* An active host that was not heard for so long, two beacons, counts as silent. */
#define PL_MEMBER_SILENT_US INT64_C (1100000)
#define PL_BEACON_NAME_CHARS 64
#define PL_BEACON_ACCOUNTS_MAX 96
#define PL_BEACON_CONTACTS_MAX 6
#define PL_BEACON_SUSPECTS_MAX 8

/* Where a host is reached. */
struct pl_contact
{
  char name[PL_BEACON_NAME_CHARS];
  char peer_address[PL_ADDRESS_CHARS]; /* datagrams */
};

struct pl_beacon_account
{
  uint64_t account;
  uint64_t admitted; /* requests since the start of the process */
};

struct pl_beacon_suspect
{
  uint64_t fingerprint;
  uint64_t server; /* whose end it was at; 0: an earlier suspicion is withdrawn */
  bool convicted;
};

/* What entry hosts tell each other, in one datagram.  What does not change while a process runs is
 * left out of most of them. */
struct pl_beacon
{
  uint64_t host;        /* id made of the sender's name */
  uint64_t incarnation; /* rises with each start of the process */
  bool has_identity;    /* the next five fields are filled */
  struct pl_contact self;
  char caller_address[PL_ADDRESS_CHARS];
  char relay_address[PL_ADDRESS_CHARS]; /* serves the rows that this host holds */
  char domain[PL_BEACON_NAME_CHARS];
  int capacity;     /* how much it can carry, against other hosts */
  int busy_percent; /* of the time it was not waiting */
  bool active;      /* took requests of late, so it wants to know of accounts */
  bool ready;       /* takes callers */
  bool leaving;
  bool watching;               /* reads the platform's store itself */
  bool store_lost;             /* tries to, and fails */
  int64_t store_trouble_us;    /* how long ago the store last failed it; -1: never */
  int64_t held[PL_TABLES_MAX]; /* version of each watched table */
  int account_count;
  struct pl_beacon_account accounts[PL_BEACON_ACCOUNTS_MAX];
  int contact_count;
  struct pl_contact contacts[PL_BEACON_CONTACTS_MAX];
  int suspect_count;
  struct pl_beacon_suspect suspects[PL_BEACON_SUSPECTS_MAX];
};

struct pl_member
{
  uint64_t id;
  struct pl_contact contact;
  char caller_address[PL_ADDRESS_CHARS];
  char relay_address[PL_ADDRESS_CHARS];
  char domain[PL_BEACON_NAME_CHARS];
  int region;
  uint64_t incarnation;
  int capacity;
  int busy_percent;
  bool active;
  bool heard;      /* a beacon came; else only its address is known */
  bool noted_live; /* as the log last said */
  bool ready;
  bool leaving;
  bool watching;
  bool store_lost;
  int64_t store_trouble_us; /* when the store last failed it; -1: never */
  int64_t heard_us;
  int64_t returned_us; /* when it was last heard again after a silence; 0: never */
  int64_t known_us;    /* since when its address is known */
  int64_t held[PL_TABLES_MAX];
};

struct pl_membership
{
  GHashTable *members; /* id -> struct pl_member */
  GPtrArray *order;    /* the same, in the order in which they came */
  uint64_t self;
  char self_domain[PL_BEACON_NAME_CHARS];
  int self_region;
  int self_capacity;
  bool self_active; /* took requests of late */
  guint contact_turn;
};

void pl_membership_init (struct pl_membership *membership, const char *self_name,
                         const char *domain, int region);
void pl_membership_clear (struct pl_membership *membership);

/* Learns an address at second hand; says nothing of whether the host is up. */
void pl_membership_add_contact (struct pl_membership *membership, const struct pl_contact *contact,
                                int64_t now_us);

/* Returns the id of the host called NAME. */
uint64_t pl_host_id (const char *name);

/* Takes a beacon; REGION is that of its domain, if it tells one.  Returns the member, or NULL when
 * the beacon is from this host, from an earlier process of its host, or from one that has not told
 * yet who it is. */
struct pl_member *pl_membership_on_beacon (struct pl_membership *membership,
                                           const struct pl_beacon *beacon, int region,
                                           int64_t now_us);

bool pl_member_is_live (const struct pl_membership *membership, const struct pl_member *member,
                        int64_t now_us);

/* Fills BEACON with the addresses of some members, others each time. */
void pl_membership_fill_contacts (struct pl_membership *membership, struct pl_beacon *beacon,
                                  int64_t now_us);

/* Returns how many hosts take requests now, with this one. */
int pl_membership_live_count (const struct pl_membership *membership, int64_t now_us);

/* Returns how many hosts took requests of late, at least one. */
int pl_membership_active_count (const struct pl_membership *membership, int64_t now_us);

/* Returns the part of the active hosts that fell silent without taking leave, 0 to 1.  STORE_LOST:
 * this host does not reach the store, so it may be the one that is cut off. */
double pl_membership_silent_part (const struct pl_membership *membership, bool store_lost,
                                  int64_t now_us);

/* Returns whether this host should read the store for its region: one that reads it already, or
 * the strongest, of those that are live and do not fail to.  WATCHING: this host
 * reads it.  STORE_LOST: it fails to, so any other goes first. */
bool pl_membership_should_watch (const struct pl_membership *membership, bool watching,
                                 bool store_lost, int64_t now_us);

/* News spreads in a tree, so that no host sends it to more than a few.  Whoever reads the store
 * gives it to the first host of each domain of its region, and each host to the next few of its
 * domain; hosts that can carry much come first. */
#define PL_RELAY_CHILDREN_MAX 24

/* Fills CHILDREN with the members that this host gives news to; WATCHING: it reads the store.
 * Returns their number. */
int pl_membership_relay_children (const struct pl_membership *membership, bool watching,
                                  const struct pl_member **children, int64_t now_us);

/* Returns whether this host gets news from MEMBER in the first place. */
bool pl_membership_is_relay_parent (const struct pl_membership *membership,
                                    const struct pl_member *member, int64_t now_us);

/* Returns whether this host is among the COUNT hosts that KEY belongs to, of REGION (PL_NONE: of
 * all). */
bool pl_membership_owns (const struct pl_membership *membership, uint64_t key, int region,
                         int count, int64_t now_us);

/* Forgets hosts that have been silent for long. */
void pl_membership_expire (struct pl_membership *membership, bool store_lost, int64_t now_us);

/* Who asks for hosts, and what is known beside the members. */
struct pl_naming
{
  const char *domain; /* of the caller */
  int region;
  const char *self_address; /* NULL: this host takes no callers */
  bool store_lost;          /* this host does not reach the store */
};

/* Fills ADDRESSES, borrowed until the next beacon, with at most ROOM addresses, the best first.
 * Returns their number. */
int pl_membership_name_hosts (const struct pl_membership *membership,
                              const struct pl_naming *naming, const char **addresses, int room,
                              int64_t now_us);

/* Mixes two hashes: equal on every host. */
uint64_t pl_hash_pair (uint64_t a, uint64_t b);

#endif
