/* limited_servers.h - backend servers that name rate limits, are cold or are out of reach of some
 * hosts, behind a simulated fleet of routers.
 *
 * API tier: private.
 */
#ifndef LIMITED_SERVERS_H
#define LIMITED_SERVERS_H

#include "router_fleet.h"

#define LIMITED_SERVERS_MAX 500
#define LIMITED_SERVER_SLOTS 4
#define LIMITED_SERVER_WORK_US (80 * WORLD_MS)

/* Six domains in three regions, as of the users' smaller deployments. */
#define LIMITED_DOMAINS 6
extern const char *const limited_domains[LIMITED_DOMAINS + 1];

/* Which answers of a server name its limit. */
enum limited_naming
{
  NAMING_ALL,
  NAMING_SOME,   /* one in three, at random */
  NAMING_EXCESS, /* those given while it gets more than its limit */
  NAMING_NONE,   /* it has just stopped to name it */
};

/* Requests that a server with a queue holds, at most. */
#define LIMITED_HELD_MAX 32
/* Objects that such a server knows. */
#define LIMITED_KNOWN_OBJECTS 120

/* How all servers run requests, if they have a queue: at most SLOTS at a time, and QUEUE more wait.
 */
struct limited_queueing
{
  int slots; /* 0: the servers run any number at a time */
  int queue;
  int64_t known_us; /* work for an object that the server knows */
  int64_t work_us;  /* work for another object */
};

#define LIMITED_ACCOUNTS_MAX 128
#define LIMITED_WINDOW_US (2 * WORLD_SECOND)
#define LIMITED_WINDOWS_MAX 32

/* The requests of an account, by the window of their callers' first attempts. */
struct limited_window
{
  int sent;
  int in_time;
  int late;
};

struct limited_account
{
  double usual; /* requests per second */
  double factor;
  struct limited_window windows[LIMITED_WINDOWS_MAX];
};

struct limited_server
{
  char id[16];
  int domain;
  int cold_ms;  /* how long it is cold after a host starts */
  double limit; /* requests per second over all hosts; negative: it names none */
  enum limited_naming naming;
  int64_t named_us;                  /* when it first named the present limit */
  int running;                       /* requests */
  bool is_down;                      /* it refuses connections */
  int64_t ends_us[LIMITED_HELD_MAX]; /* of the requests in a server with a queue */
  int held;
  uint64_t known[LIMITED_KNOWN_OBJECTS]; /* the latest first */
  GArray *arrivals;                      /* of struct limited_arrival, since then */
};

/* What becomes of a host's connections to the servers. */
enum limited_link
{
  LINK_OPEN,
  LINK_HANGS,        /* all connections hang */
  LINK_RESETS,       /* all are reset, new ones are refused */
  LINK_REFUSES_NEW,  /* kept ones live on, new ones are refused */
  LINK_TAKES_BLINDLY /* requests arrive at the servers, no answer comes back */
};

/* A host as its callers and the servers see it. */
struct limited_host
{
  enum limited_link link;
  int sent; /* by callers, since limited_servers_start_counting() */
  int served;
  int refused;
  int may_have_run; /* answered so that the caller can not tell */
  int connections;  /* to servers, established or tried */
};

struct limited_arrival
{
  int64_t at_us;
  int host;
  bool is_told; /* the host had delivered an answer with the limit, long enough before */
};

struct limited_servers
{
  struct router_fleet *fleet;
  struct limited_server servers[LIMITED_SERVERS_MAX];
  int count;
  GArray *answers;  /* of struct answer: requests at servers */
  GHashTable *told; /* server and host -> time of the first answer with the present limit */
  char *resources;  /* of the configuration */
  uint32_t random;
  double due; /* fraction of the next request */
  int sent;   /* by callers */
  int delivered;
  int refused;
  bool report_no_load;      /* answers come without load reports */
  const double *host_rates; /* relative demand at each host; NULL: equal */
  struct limited_host hosts[ROUTER_FLEET_HOSTS_MAX];
  GHashTable *requests; /* id -> struct request */
  GHashTable *kept;     /* set of the server and host of kept connections */
  GArray *handovers;    /* of struct handover, on their way */
  int handed_over;
  struct limited_queueing queueing;
  int64_t objective_us;
  struct limited_account accounts[LIMITED_ACCOUNTS_MAX];
  int account_count;
  int64_t counted_from_us; /* start of the first window */
  GArray *retries;         /* of struct request *, of callers */
  int class_sent[2];       /* requests of accounts: repeatable, and at most once */
  int class_in_time[2];
  double write_ratio; /* fraction of the requests that must run at most once */
  int ran_twice;      /* of these */
  int ran_though_refused;
};

/* Returns COUNT servers of one service, assigned round-robin to the domains of FLEET; all hosts of
 * FLEET learn of them when they start, so their domains may be changed before.  OBJECTIVE_MS:
 * latency objective of the callers. */
struct limited_servers *limited_servers_new (struct router_fleet *fleet, int count,
                                             int objective_ms);
void limited_servers_free (struct limited_servers *servers);

/* Server INDEX names LIMIT requests per second from now on, in the answers that NAMING says. */
void limited_servers_name (struct limited_servers *servers, int index, double limit,
                           enum limited_naming naming);

/* Runs the fleet for US while callers send PER_SECOND requests, each to a random running host among
 * the first HOSTS and for a random object. */
void limited_servers_run (struct limited_servers *servers, int64_t us, double per_second,
                          int hosts);

/* Gives the servers a queue and adds COUNT accounts; before the first run.  LOAD: their usual
 * demand, of what the servers run if they know all objects; PARTS: that of each account.  The limit
 * of an account is LIMIT_FACTOR times its usual rate. */
void limited_servers_set_accounts (struct limited_servers *servers,
                                   const struct limited_queueing *queueing, const double *parts,
                                   int count, double limit_factor, double load);

/* Runs the fleet for US while each account sends its usual rate times its factor times FACTOR to
 * random hosts.  A caller that is refused with a Retry-After comes again once. */
void limited_servers_run_accounts (struct limited_servers *servers, int64_t us, double factor);

/* Changes what becomes of the connections of host INDEX to the servers. */
void limited_servers_set_link (struct limited_servers *servers, int index, enum limited_link link);

/* Sets the counts of all hosts to 0. */
void limited_servers_start_counting (struct limited_servers *servers);

/* Returns the fraction of the callers' requests to the hosts with open links (IS_OPEN), or to the
 * others, that were served, of those that have ended. */
double limited_servers_served_ratio (const struct limited_servers *servers, bool is_open);

/* Returns how many callers' requests that may be repeated, sent to host INDEX before BEFORE_US,
 * have not been answered. */
int limited_servers_count_open (const struct limited_servers *servers, int index,
                                int64_t before_us);

/* Returns the largest number of requests that server INDEX got in 4 s, divided by what its limit
 * allows, from FROM_US on; ONLY_TOLD: from hosts that had delivered an answer with the limit. */
double limited_servers_excess (const struct limited_servers *servers, int index, int64_t from_us,
                               bool only_told);

/* Returns the largest number of requests that server INDEX got in WINDOW_US, from FROM_US on. */
int limited_servers_most (const struct limited_servers *servers, int index, int64_t window_us,
                          int64_t from_us, bool only_told);

/* Returns the requests per second that server INDEX got from FROM_US on. */
double limited_servers_rate (const struct limited_servers *servers, int index, int64_t from_us);

#endif
