/* membership.h - the known entry hosts and the last reported state of each.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_MEMBERSHIP_H
#define POMELOLATCH_MEMBERSHIP_H

#include "internal/quota.h"
#include "pomelolatch/event.h"

#define PL_TABLES_MAX 2
/* An active host counts as silent when no beacon of it arrived for this long: two beacon periods of
 * 500 ms, plus a margin for delays. */
#define PL_MEMBER_SILENT_AFTER_US INT64_C (1100000)
/* Longest name of a host, and of the domain of one: that of a key of the platform's store. Settings
 * with a longer one are refused, so that beacons carry each name whole. */
#define PL_HOST_NAME_BYTES_MAX 200
#define PL_BEACON_NAME_CHARS (PL_HOST_NAME_BYTES_MAX + 1)
#define PL_BEACON_ACCOUNTS_MAX 96
#define PL_BEACON_CONTACTS_MAX 8
#define PL_BEACON_SUSPECTS_MAX 8
#define PL_BEACON_STATES_MAX 12
#define PL_BEACON_LIMITS_MAX 16
#define PL_BEACON_PERMITS_MAX 16
#define PL_BEACON_PERMIT_COUNT_MAX 10000
/* Hosts that represent a failure domain: two, since the failure of one is noticed only after a
 * while. */
#define PL_DELEGATES 2

/* Identity and addresses of a host. */
struct pl_contact
{
  char name[PL_BEACON_NAME_CHARS];
  char domain[PL_BEACON_NAME_CHARS];
  char peer_address[PL_ADDRESS_CHARS]; /* receives beacons */
  char caller_address[PL_ADDRESS_CHARS];
  char relay_address[PL_ADDRESS_CHARS]; /* serves the rows that the host holds */
  int capacity;                         /* relative to other hosts */
};

struct pl_beacon_account
{
  uint64_t account;
  uint32_t admitted; /* requests since the process started; wraps around */
};

/* The state of a host as last received by a delegate. */
struct pl_beacon_state
{
  uint64_t host;
  bool ready;
  bool leaving;
  bool active;
  bool watching;
  bool is_delegate;
  bool servers_lost;
  int busy_percent;
  int64_t age_us; /* since the host was last heard from */
};

struct pl_beacon_suspect
{
  uint64_t fingerprint;
  uint64_t server; /* that failed while running it */
  bool confirmed;
};

/* The rate limit of a backend server, as the sender knows it. */
struct pl_beacon_limit
{
  uint64_t server; /* hash of its id */
  bool in_force;
  double per_second; /* requests over all hosts, while in force */
  int64_t age_us;    /* since the answer from which it is known */
};

/* Permits to send requests to a server with a rate limit. */
struct pl_beacon_permits
{
  struct pl_beacon_limit limit;
  bool is_grant;   /* from the issuer; otherwise the sender asks for them */
  int count;       /* asked for, or granted */
  int64_t wait_us; /* grant: the issuer has no more for this long */
};

/* A message between entry hosts, sent as one datagram.  Most beacons omit what does not change
 * while a process runs. */
struct pl_beacon
{
  uint64_t host;        /* id derived from the sender's name */
  uint64_t incarnation; /* increases with each start of the process */
  bool is_short;        /* only host, incarnation, accounts and permits are filled */
  bool has_identity;    /* self is filled */
  struct pl_contact self;
  int busy_percent; /* fraction of the time that its event loop was not waiting */
  bool active;      /* had requests recently, so it needs account reports */
  bool ready;       /* accepts callers */
  bool leaving;
  bool watching; /* watches the platform's store itself */
  /* Time since the store confirmed that held[PL_TABLE_CONTROL] is its newest; -1: not known. */
  int64_t confirmed_age_us;
  bool store_lost;   /* cannot reach the store */
  bool store_quiet;  /* watches the store, and an answer is overdue */
  bool servers_lost; /* cannot reach backend servers */
  /* A delegate considers rows to have lapsed in an outage of the store.  Only earlier versions use
   * this. */
  bool store_down;
  bool wants_contacts; /* the sender lacks contacts of hosts that it should know */
  bool is_delegate;    /* as the sender sees it; it then fills the fields up to silent_permille */
  int domain_hosts;    /* hosts of its domain that accept callers */
  int domain_active;   /* of these, with recent requests */
  int domain_silent;   /* active ones that became silent without announcing a shutdown */
  int fleet_hosts;     /* as in struct pl_fleet_view */
  int fleet_active;
  int fleet_domains;
  int silent_permille;
  int64_t store_error_us;         /* time since the sender's last failure to reach the store; -1:
                                     none */
  int64_t held[PL_TABLES_MAX];    /* position held of each watched table */
  int64_t retained_configuration; /* version of the sender's configuration, if the store does not
                                     have it (again); 0: it has */
  enum pl_quota_scope account_scope;
  int account_count;
  struct pl_beacon_account accounts[PL_BEACON_ACCOUNTS_MAX];
  int state_count;
  struct pl_beacon_state states[PL_BEACON_STATES_MAX];
  int contact_count;
  struct pl_contact contacts[PL_BEACON_CONTACTS_MAX];
  int suspect_count;
  struct pl_beacon_suspect suspects[PL_BEACON_SUSPECTS_MAX];
  int limit_count;
  struct pl_beacon_limit limits[PL_BEACON_LIMITS_MAX];
  int permits_count;
  struct pl_beacon_permits permits[PL_BEACON_PERMITS_MAX];
};

/* A failure domain, as reported by its delegates. */
struct pl_domain
{
  char *name;
  uint64_t id; /* derived from its name */
  int region;
  int hosts;        /* that accept callers */
  int active;       /* of these, with recent requests */
  int silent;       /* active ones that became silent without announcing a shutdown */
  int64_t heard_us; /* last beacon of any of its hosts; 0: none, or this host's own domain */
};

/* The fleet as this host sees it, or as its delegates report it. */
struct pl_fleet_view
{
  int hosts;     /* that accept callers, at least one */
  int active;    /* with recent requests, at least one */
  int domains;   /* that are heard from, at least one */
  double silent; /* fraction of the active hosts that became silent without announcing a shutdown */
};

/* A host's access to the platform's store; times are -1 for never. */
struct pl_store_access
{
  bool is_lost;          /* its last call has failed */
  bool is_quiet;         /* an answer is overdue: it may be cut off from the store */
  int64_t lost_since_us; /* when the first call that failed since its last success was sent */
  int64_t failed_us;     /* its last failure: refused, reset, or not answered since then */
  int64_t back_us;       /* its first answer to a call sent after the last failure of any host */
  int64_t watching_since_us; /* since when it watches the store */
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
  bool heard; /* its state arrived, directly or by a delegate; else only its contact is known */
  bool logged_live; /* as last logged */
  bool ready;
  bool leaving;
  bool watching;
  bool store_down;
  bool servers_lost;
  bool is_delegate;
  struct pl_store_access store;
  int64_t fetch_due_us;     /* last choice as a source of rows before */
  int64_t handover_due_us;  /* no requests are handed over to it before */
  int64_t heard_us;         /* when its state was current, from a beacon or a delegate's report */
  int64_t last_beacon_us;   /* its last own beacon; 0: none */
  int64_t reported_us;      /* the last report of it by a delegate; 0: none */
  int64_t reports_since_us; /* since when its own beacons report states, without a silence;
                               INT64_MAX: they do not */
  int64_t resumed_us;       /* its last own beacon that ended a silence; 0: none */
  int64_t contact_seen_us;  /* when its contact was last received */
  int64_t changed_us;       /* when its state last changed */
  int64_t contacts_sent_us; /* when it was last sent contacts that it had not requested */
  int64_t permit_trip_us;   /* last time from an ask for permits to its answer; 0: unknown */
  int64_t held[PL_TABLES_MAX];
  int64_t retained_configuration;
  int64_t confirmed_us; /* when the store confirmed its control rows; 0: not known */
};

struct pl_membership
{
  GHashTable *members; /* id -> struct pl_member */
  GPtrArray *order;    /* the same, in order of discovery */
  GArray *domains;     /* of struct pl_domain */
  uint64_t self;
  int self_domain; /* index */
  int self_region;
  int self_capacity;
  bool self_active;          /* had requests recently */
  bool self_watching;        /* watches the platform's store */
  int64_t reporter_since_us; /* the earliest reports_since_us of the hosts that are heard */
  bool lacks_contacts;       /* the state of a host was reported whose contact is not known */
  guint state_cursor;
  guint contact_cursor;
  guint standby_cursor;
  struct pl_fleet_view reported; /* the last one received from a delegate */
  int64_t reported_us;           /* when it was received; 0: never */
};

void pl_membership_init (struct pl_membership *membership, const char *self_name,
                         const char *domain, int region);
void pl_membership_clear (struct pl_membership *membership);

/* Returns the index of the domain called NAME in REGION; adds the domain when it is new. */
int pl_membership_ensure_domain (struct pl_membership *membership, const char *name, int region);

/* Adds or updates a host whose contact a peer has sent.  Does not make the host live. */
void pl_membership_add_contact (struct pl_membership *membership, const struct pl_contact *contact,
                                int64_t now_us);

/* Returns the id of the host called NAME. */
uint64_t pl_host_id (const char *name);

/* Updates the membership from BEACON; REGION is that of its domain, if it names one.  Returns the
 * member, or NULL when the beacon is from this host, from an earlier process of its host, or from a
 * host that has not identified itself yet. */
struct pl_member *pl_membership_on_beacon (struct pl_membership *membership,
                                           const struct pl_beacon *beacon, int region,
                                           int64_t now_us);

/* Returns whether MEMBER is of this host's domain. */
bool pl_member_is_local (const struct pl_membership *membership, const struct pl_member *member);

/* Returns the member with this INDEX, in order of discovery. */
struct pl_member *pl_membership_at (const struct pl_membership *membership, guint index);

/* Returns the name of this host's domain. */
const char *pl_membership_own_domain (const struct pl_membership *membership);

bool pl_member_is_live (const struct pl_membership *membership, const struct pl_member *member,
                        int64_t now_us);

/* Returns whether MEMBER is live and accepts callers. */
bool pl_member_is_serving (const struct pl_membership *membership, const struct pl_member *member,
                           int64_t now_us);

/* Finds out which reports of states still count in the ranking.  To be called regularly, and
 * before it is asked who is a delegate. */
void pl_membership_update_reporters (struct pl_membership *membership, int64_t now_us);

/* Returns whether this host is a delegate of its domain. */
bool pl_membership_is_delegate (const struct pl_membership *membership, int64_t now_us);

/* Fills IDS, an array of PL_DELEGATES, with the delegates of this domain in order: 0 for this host
 * and for missing ones.  Returns how many of them are other hosts. */
int pl_membership_delegates (const struct pl_membership *membership, uint64_t *ids, int64_t now_us);

/* Adds states of hosts of this domain and of other domains' delegates to BEACON: recent changes
 * first, then others round-robin. */
void pl_membership_fill_states (struct pl_membership *membership, struct pl_beacon *beacon,
                                int64_t now_us);

/* Adds contacts and states of live hosts to BEACON, starting at position *AT, which is advanced:
 * hosts of DOMAIN, or for PL_NONE those of this domain and all delegates.  Returns whether any were
 * added. */
bool pl_membership_fill_contacts (const struct pl_membership *membership, int domain, guint *at,
                                  struct pl_beacon *beacon, int64_t now_us);

/* Returns whether MEMBER is a delegate of this domain or a standby, one of the next in order. */
bool pl_member_is_standby (const struct pl_membership *membership, const struct pl_member *member,
                           int64_t now_us);

/* Adds contacts to BEACON, round-robin: of the delegates and standbys of this domain, or, when
 * OF_THIS_DOMAIN is false, of hosts of other domains. */
void pl_membership_fill_standbys (struct pl_membership *membership, bool of_this_domain,
                                  struct pl_beacon *beacon, int64_t now_us);

/* Returns the view of the fleet.  STORE_LOST: this host does not reach the store, so it may be
 * partitioned itself, and silent hosts count without a time limit. */
struct pl_fleet_view pl_membership_view (const struct pl_membership *membership, bool store_lost,
                                         int64_t now_us);

/* Fills the counts of this domain in BEACON. */
void pl_membership_count_domain (const struct pl_membership *membership, struct pl_beacon *beacon,
                                 int64_t now_us);

/* Returns whether this host should watch the store for its region.  Of the live delegates that
 * reach the store, a current watcher comes first, then the strongest.  STORE_LOST: this host does
 * not reach the store, so any other takes precedence. */
bool pl_membership_should_watch (const struct pl_membership *membership, bool store_lost,
                                 int64_t now_us);

/* Row updates spread in a tree, so that no host sends them to more than a few.  The store watcher
 * sends them to the first host of each domain of its region, and each host to the next few of its
 * domain; hosts with more capacity come first. */
#define PL_RELAY_CHILDREN_MAX 24

/* Fills CHILDREN with the members to which this host relays row updates.  Returns their number. */
int pl_membership_relay_children (const struct pl_membership *membership,
                                  const struct pl_member **children, int64_t now_us);

/* Returns whether MEMBER is this host's parent in the relay tree. */
bool pl_membership_is_relay_parent (const struct pl_membership *membership,
                                    const struct pl_member *member, int64_t now_us);

/* Returns the number of hosts, at most LIMIT, that own KEY, which lies in DOMAIN of REGION, or 0
 * when this host is not one of them.  The owners are hosts of that domain; of the region when the
 * domain has none; of the fleet when the region has none. */
int pl_membership_owners (struct pl_membership *membership, uint64_t key, const char *domain,
                          int region, int limit, int64_t now_us);

/* Returns the id of the host that issues the permits for the server KEY, which lies in DOMAIN of
 * REGION, or 0 for this host.  The issuer is a delegate, since every host knows those: of that
 * domain if there is one, else of the region, else any.  IS_SELF_READY: this host may be it, if it
 * is a delegate. */
uint64_t pl_membership_issuer (const struct pl_membership *membership, uint64_t key,
                               const char *domain, int region, bool is_self_ready, int64_t now_us);

/* Removes hosts that have long been silent. */
void pl_membership_expire (struct pl_membership *membership, bool store_lost, int64_t now_us);

/* host_selection.c */

/* A caller's query for hosts, and what the selection needs besides the members. */
struct pl_host_query
{
  const char *domain; /* of the caller */
  int region;
  const char *self_address; /* NULL: this host accepts no callers */
  bool store_lost;          /* this host does not reach the store */
  bool servers_lost;        /* it does not reach backend servers */
};

/* Fills ADDRESSES with at most ROOM addresses, the best first; they are valid until the next
 * beacon.  Returns their number. */
int pl_membership_select_hosts (const struct pl_membership *membership,
                                const struct pl_host_query *query, const char **addresses, int room,
                                int64_t now_us);

/* A request to be handed over to a peer. */
struct pl_handover_query
{
  uint64_t key; /* differs from request to request */
  bool has_home_regions;
  uint32_t home_regions;
};

/* Returns the member that should take the request, or NULL if there is none. */
struct pl_member *pl_membership_choose_peer (const struct pl_membership *membership,
                                             const struct pl_handover_query *query, int64_t now_us);

/* Mixes two hashes; the result is the same on every host. */
uint64_t pl_hash_pair (uint64_t a, uint64_t b);

#endif
