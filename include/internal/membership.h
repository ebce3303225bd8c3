/* membership.h - which entry hosts there are, and what each last said of itself.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_MEMBERSHIP_H
#define POMELOLATCH_MEMBERSHIP_H

#include "internal/quota.h"
#include "pomelolatch/event.h"

#define PL_TABLES_MAX 2
/* An active host that was not heard for so long, two beacons, counts as silent. */
#define PL_MEMBER_SILENT_US INT64_C (1100000)
#define PL_BEACON_NAME_CHARS 64
#define PL_BEACON_ACCOUNTS_MAX 96
#define PL_BEACON_CONTACTS_MAX 8
#define PL_BEACON_SUSPECTS_MAX 8
#define PL_BEACON_STATES_MAX 12
/* Hosts that speak for a failure domain: one may die or be cut off unnoticed. */
#define PL_DELEGATES 2

/* Who a host is and where it is reached. */
struct pl_contact
{
  char name[PL_BEACON_NAME_CHARS];
  char domain[PL_BEACON_NAME_CHARS];
  char peer_address[PL_ADDRESS_CHARS]; /* datagrams */
  char caller_address[PL_ADDRESS_CHARS];
  char relay_address[PL_ADDRESS_CHARS]; /* serves the rows that the host holds */
  int capacity;                         /* how much it can carry, against other hosts */
};

struct pl_beacon_account
{
  uint64_t account;
  uint32_t admitted; /* requests since the start of the process; it may wrap around */
};

/* What a delegate last heard of a host. */
struct pl_beacon_state
{
  uint64_t host;
  bool ready;
  bool leaving;
  bool active;
  bool watching;
  bool is_delegate;
  int busy_percent;
  int64_t age_us; /* since it was heard */
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
  bool only_accounts;   /* nothing else is told but the two above */
  bool has_identity;    /* self is filled */
  struct pl_contact self;
  int busy_percent; /* of the time it was not waiting */
  bool active;      /* took requests of late, so it wants to know of accounts */
  bool ready;       /* takes callers */
  bool leaving;
  bool watching;       /* reads the platform's store itself */
  bool store_lost;     /* tries to, and fails */
  bool store_away;     /* as a delegate sees it: for the fleet, not for some hosts only */
  bool wants_contacts; /* the sender does not know all hosts that it should */
  bool is_delegate;    /* as the sender sees it; what follows is told only then */
  int domain_hosts;    /* hosts of its domain that take callers */
  int domain_active;   /* of these, that took requests of late */
  int domain_silent;   /* active ones that fell silent without taking leave */
  int fleet_hosts;     /* as in struct pl_fleet_view */
  int fleet_active;
  int fleet_domains;
  int silent_permille;
  int64_t store_trouble_us;    /* how long ago the store last failed it; -1: never */
  int64_t held[PL_TABLES_MAX]; /* version of each watched table */
  enum pl_quota_scope account_scope;
  int account_count;
  struct pl_beacon_account accounts[PL_BEACON_ACCOUNTS_MAX];
  int state_count;
  struct pl_beacon_state states[PL_BEACON_STATES_MAX];
  int contact_count;
  struct pl_contact contacts[PL_BEACON_CONTACTS_MAX];
  int suspect_count;
  struct pl_beacon_suspect suspects[PL_BEACON_SUSPECTS_MAX];
};

/* A failure domain, as its delegates tell of it. */
struct pl_domain
{
  char name[PL_BEACON_NAME_CHARS];
  uint64_t id; /* made of its name */
  int region;
  int hosts;        /* that take callers */
  int active;       /* of these, that took requests of late */
  int silent;       /* active ones that fell silent without taking leave */
  int64_t heard_us; /* from any of its hosts; 0: never, and for this host's own domain */
};

/* What a host knows of the fleet, itself or from its delegates. */
struct pl_fleet_view
{
  int hosts;     /* that take callers, at least one */
  int active;    /* that took requests of late, at least one */
  int domains;   /* that are heard, at least one */
  double silent; /* part of the active hosts that fell silent without taking leave, 0 to 1 */
};

struct pl_member
{
  uint64_t id;
  struct pl_contact contact;
  int domain; /* index of its domain */
  int region;
  uint64_t incarnation;
  int busy_percent;
  bool active;
  bool heard;      /* a beacon came, or a delegate told of it; else only its contact is known */
  bool noted_live; /* as the log last said */
  bool ready;
  bool leaving;
  bool watching;
  bool store_lost;
  bool store_away;
  bool is_delegate;
  int64_t store_trouble_us; /* when the store last failed it; -1: never */
  int64_t heard_us;
  int64_t direct_us;   /* when its own beacon came last; 0: never */
  int64_t told_us;     /* when a delegate last told of it; 0: never */
  int64_t returned_us; /* when that was after a silence; 0: never */
  int64_t known_us;    /* when its contact was last told */
  int64_t changed_us;  /* when its state last changed */
  int64_t guided_us;   /* when it was last told of other hosts unasked */
  int64_t held[PL_TABLES_MAX];
};

struct pl_membership
{
  GHashTable *members; /* id -> struct pl_member */
  GPtrArray *order;    /* the same, in the order in which they came */
  GArray *domains;     /* of struct pl_domain */
  uint64_t self;
  int self_domain; /* index */
  int self_region;
  int self_capacity;
  bool self_active;    /* took requests of late */
  bool self_watching;  /* reads the platform's store */
  bool lacks_contacts; /* a host was told of whose contact is not known */
  guint state_turn;
  guint contact_turn;
  guint reserve_turn;
  struct pl_fleet_view told; /* by a delegate */
  int64_t told_us;           /* 0: never */
};

void pl_membership_init (struct pl_membership *membership, const char *self_name,
                         const char *domain, int region);
void pl_membership_clear (struct pl_membership *membership);

/* Returns the index of the domain called NAME in REGION; it is made when it is new. */
int pl_membership_domain (struct pl_membership *membership, const char *name, int region);

/* Learns of a host at second hand; says nothing of whether it is up. */
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

/* Returns whether MEMBER is of this host's domain. */
bool pl_member_is_near (const struct pl_membership *membership, const struct pl_member *member);

bool pl_member_is_live (const struct pl_membership *membership, const struct pl_member *member,
                        int64_t now_us);

/* Returns whether this host speaks for its domain. */
bool pl_membership_is_delegate (const struct pl_membership *membership, int64_t now_us);

/* Fills IDS, of PL_DELEGATES, with the hosts that speak for this domain in order, 0 for this host
 * and where there are fewer.  Returns how many of them are other hosts. */
int pl_membership_delegates (const struct pl_membership *membership, uint64_t *ids, int64_t now_us);

/* Adds to BEACON what this host knows of hosts of its domain and of other domains' delegates:
 * changes first, then others each time. */
void pl_membership_fill_states (struct pl_membership *membership, struct pl_beacon *beacon,
                                int64_t now_us);

/* Adds contacts and states of live hosts to BEACON, from *AT on, which is moved on: those of
 * DOMAIN, or of this domain and all delegates for PL_NONE.  Returns whether any were added. */
bool pl_membership_fill_contacts (const struct pl_membership *membership, int domain, guint *at,
                                  struct pl_beacon *beacon, int64_t now_us);

/* Returns whether MEMBER is a delegate of this domain or one of the next in order. */
bool pl_member_is_reserve (const struct pl_membership *membership, const struct pl_member *member,
                           int64_t now_us);

/* Adds contacts of those to BEACON, or of hosts of other domains, others each time. */
void pl_membership_fill_reserves (struct pl_membership *membership, bool of_this_domain,
                                  struct pl_beacon *beacon, int64_t now_us);

/* Returns what is known of the fleet.  STORE_LOST: this host does not reach the store, so it may be
 * the one that is cut off, and hosts stay silent for good. */
struct pl_fleet_view pl_membership_view (const struct pl_membership *membership, bool store_lost,
                                         int64_t now_us);

/* Fills the counts of this domain in BEACON. */
void pl_membership_count_domain (const struct pl_membership *membership, struct pl_beacon *beacon,
                                 int64_t now_us);

/* Returns whether this host should read the store for its region: of the delegates one that reads
 * it already, or the strongest, of those that are live and do not fail to.  STORE_LOST: this host
 * fails to, so any other goes first. */
bool pl_membership_should_watch (const struct pl_membership *membership, bool store_lost,
                                 int64_t now_us);

/* News spreads in a tree, so that no host sends it to more than a few.  Whoever reads the store
 * gives it to the first host of each domain of its region, and each host to the next few of its
 * domain; hosts that can carry much come first. */
#define PL_RELAY_CHILDREN_MAX 24

/* Fills CHILDREN with the members that this host gives news to.  Returns their number. */
int pl_membership_relay_children (const struct pl_membership *membership,
                                  const struct pl_member **children, int64_t now_us);

/* Returns whether this host gets news from MEMBER in the first place. */
bool pl_membership_is_relay_parent (const struct pl_membership *membership,
                                    const struct pl_member *member, int64_t now_us);

/* Returns among how many hosts, MOST at the most, this one shares KEY, which lies in DOMAIN of
 * REGION; 0: it is none of them.  They are of that domain, or of the region where the domain has
 * none. */
int pl_membership_owners (struct pl_membership *membership, uint64_t key, const char *domain,
                          int region, int most, int64_t now_us);

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
