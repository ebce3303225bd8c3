/* soak.h - shared declarations of the fault soak.
 *
 * API tier: private.
 *
 * The soak runs entry hosts as real processes and injects faults around them.  All
 * else runs in the soak's own process: the platform's store, the backend servers, the
 * callers, and a loopback proxy on each network leg.  The ledger records the status
 * that each caller received and the requests that each server ran, and reports
 * violated invariants.
 */
#ifndef SOAK_H
#define SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_HOSTS_MAX 200
#define SOAK_SERVERS_MAX 24
#define SOAK_CALLERS_MAX 200
#define SOAK_MS INT64_C (1000)
#define SOAK_SECOND INT64_C (1000000)
#define SOAK_ACCOUNT_RATE 40
/* Requests per second over all hosts that one of the servers names as its limit. */
#define SOAK_SERVER_LIMIT 3
/* A configuration must be in force within this time while hosts and the store are undisturbed. */
#define SOAK_CONFIG_US (3 * SOAK_SECOND)

struct soak_options
{
  int seed;
  int seconds;
  int hosts;
  int block; /* block of loopback addresses, 0 to 20 */
  char *program;
  const char *folder; /* folder of the soak program */
  int switches;       /* mechanisms that the hosts disable, to prove that the soak detects it */
  int flaws;          /* of enum soak_flaw */
  int callers;        /* that send without a limit */
};

/* What servers and callers' connections do wrong, to prove that the ledger detects it. */
enum soak_flaw
{
  FLAW_FALSE_REJECTIONS = 1, /* servers run requests and say that they did not */
  FLAW_FORGED_COPIES = 2,    /* second answers bear the id of the next request */
  FLAW_CUT_ANSWERS = 4,      /* callers' connections end inside of answers */
  FLAW_SECOND_ANSWERS = 8,   /* callers get answers twice */
  FLAW_NO_HOMES = 16,        /* hosts get configurations without home regions */
  FLAW_FIRST_HOMES = 32,     /* hosts get configurations with the home regions of the first one */
};

/* Loopback networks.  Concurrent runs each use their own block of networks. */
enum soak_net
{
  NET_HOSTS = 1,
  NET_SERVERS,
  NET_SERVER_PROXIES,
  NET_STORE,
  NET_HOST_PROXIES,
  NET_BLACKHOLE,
};

/* Returns "IP:PORT" of member NUMBER, from 0, of NET.  The string is never freed. */
const char *soak_address (enum soak_net net, int number, int port);

/* Returns the failure domain of a host, a server or a caller; its region is the first letter. */
const char *soak_domain_of (int number);

/* Returns the number of the member that has ADDRESS, or -1. */
int soak_member_number (enum soak_net net, const char *address);

int64_t soak_now_us (void);

/* Returns a random number below BOUND.  Only the plan may draw from this generator, so that the
 * plan depends on the seed alone. */
uint32_t soak_random_below (uint32_t bound);

/* wire.c */
struct soak_wire
{
  int fd;            /* -1: closed */
  GByteArray *input; /* received and not yet read */
  int64_t pace_us;   /* before each receive */
};

enum soak_read
{
  READ_OK,
  READ_CLOSED,
  READ_RESET,
  READ_TIMEOUT,
  READ_MALFORMED,
};

void soak_wire_open (struct soak_wire *wire, int fd);
/* Does nothing if WIRE is closed. */
void soak_wire_close (struct soak_wire *wire);
/* Reads a head until UNTIL_US, with its empty line.  HEAD is NULL unless it is complete. */
enum soak_read soak_wire_read_head (struct soak_wire *wire, int64_t until_us, char **head);
/* Reads the body that belongs to HEAD. */
enum soak_read soak_wire_read_body (struct soak_wire *wire, const char *head, bool is_answer,
                                    int64_t until_us, GByteArray *body);
/* Copies the value of header NAME.  Returns whether HEAD has it. */
bool soak_wire_get (const char *head, const char *name, char *value, size_t size);
bool soak_wire_send (struct soak_wire *wire, const void *bytes, size_t length);
/* Makes close() reset the connection instead of shutting it down in order. */
void soak_wire_set_reset_on_close (int fd);
guint soak_wire_hash (const char *text);
/* Returns bytes that depend on SEED alone. */
GByteArray *soak_wire_make_body (const char *seed, guint length);
/* Appends BODY in chunks of CHUNK_BYTES, with their end. */
void soak_wire_append_chunks (GByteArray *message, const GByteArray *body, guint chunk_bytes);

/* proxy.c: network legs, each with a behaviour that can change at any time. */
enum soak_leg
{
  LEG_CALLERS, /* callers to entry hosts */
  LEG_SERVERS, /* entry hosts to backend servers */
  LEG_STORE,   /* entry hosts to the store */
  LEG_COUNT,
};

enum soak_behaviour
{
  BEHAVE_PASS,
  BEHAVE_DELAY,   /* delays each chunk */
  BEHAVE_RESET,   /* resets open and new connections */
  BEHAVE_ONE_WAY, /* forwards nothing to the client until the behaviour changes */
  BEHAVE_SILENT,  /* forwards nothing and keeps connections open */
  BEHAVE_COUNT,
};

extern const char *const soak_behaviour_names[BEHAVE_COUNT];

/* Listens on FROM (IP:port) and forwards each connection to TO. */
void soak_proxy_open (enum soak_leg leg, const char *from, const char *to);
void soak_proxy_set (enum soak_leg leg, enum soak_behaviour behaviour);
/* The same for the connections of one entry host to the servers. */
void soak_proxy_set_host (int host, enum soak_behaviour behaviour);
/* Applies the flaws in MASK to answers on the leg from callers. */
void soak_proxy_set_flaws (int mask);
/* Listens on ADDRESS and accepts nothing, so that connections to it hang. */
void soak_blackhole_open (const char *address);

/* store.c */
void soak_store_start (void);
void soak_store_put (const char *table, const char *key, const char *value); /* NULL: delete */
void soak_store_set_failing (bool fail);                                     /* answers 503 */
void soak_store_drop_history (void);
/* Restores the store as it was LOST_US ago, in a new era; versions are given out again. */
void soak_store_restore (int64_t lost_us);
/* Writes again what restores have undone, but for rows that were written since. */
void soak_store_rewrite (void);

/* servers.c */
enum soak_server_mode
{
  SERVER_HEALTHY,
  SERVER_HANGS,         /* runs requests and answers only when it is healthy again */
  SERVER_LOSES_ANSWERS, /* runs requests and closes their connections without an answer */
};

/* What servers do besides; no time limit and no check is suspended for it. */
enum soak_trouble
{
  TROUBLE_STUTTERS,   /* sends answers twice, rejections above all */
  TROUBLE_BREAKS_OFF, /* ends the connection inside of an answer */
  TROUBLE_EARLY,      /* rejects uploads before it has read them, and reads on */
  TROUBLE_GARBAGE,    /* sends bytes that are no answer */
  TROUBLE_CROWDED,    /* works several times as long */
  TROUBLE_COUNT,
};

/* Requests with this prefix have bodies of soak_upload_bytes(), others with a body of
 * soak_write_bytes(); the bytes depend on the request's id. */
#define SOAK_UPLOAD_PREFIX "/upload/"
guint soak_upload_bytes (const char *id);
guint soak_write_bytes (const char *id);
/* Returns the body of the answer that bears STAMP to the request ID. */
GByteArray *soak_answer_body (const char *id, const char *stamp);

void soak_servers_start (const struct soak_options *options, int count);
void soak_server_set_trouble (int server, enum soak_trouble trouble, bool on);
void soak_servers_print_summary (void);
/* Gives SERVER another id; others are not served there any more.  Returns the one that it had. */
char *soak_server_rename (int server);
void soak_server_register (int server, bool draining);
void soak_server_remove (int server);
void soak_server_set_mode (int server, enum soak_server_mode mode);

/* hosts.c */
void soak_hosts_start (const struct soak_options *options);
/* Sends signal NUMBER to HOST.  After SIGTERM and SIGKILL the host is restarted. */
void soak_host_signal (int host, int number);
/* What becomes of a host's links to all servers. */
enum soak_cut
{
  CUT_NONE,
  CUT_HANGS,       /* all connections hang */
  CUT_RESETS,      /* all are reset, new ones refused */
  CUT_REFUSES_NEW, /* open ones live on */
  CUT_COUNT,
};
void soak_host_set_cut (int host, enum soak_cut cut);
bool soak_host_is_cut (int host);
/* Returns whether HOST has been running, without a signal but for reloads, since some seconds
 * before SINCE_US. */
bool soak_host_is_steady (int host, int64_t since_us);
/* The same, but for stops (SIGTERM) and starts. */
bool soak_host_is_undisrupted (int host, int64_t since_us);
bool soak_hosts_wait_ready (int64_t limit_us);
void soak_hosts_stop (void);
/* Checks the hand-overs that the hosts have logged. */
void soak_hosts_check_handovers (void);

/* callers.c */
/* Starts COUNT callers that have limits, and UNLIMITED that have none. */
void soak_callers_start (int count, int unlimited, int hosts);
void soak_callers_stop (void);
/* Callers keep to their hosts, whatever the directory says. */
void soak_callers_stay (bool stay);

/* ledger.c */
enum soak_disruption
{
  DISRUPTION_STORE,   /* the store or the leg to it */
  DISRUPTION_HOSTS,   /* a host is paused, stopped or killed */
  DISRUPTION_SERVERS, /* a server or the leg to it */
  DISRUPTION_CALLERS, /* the leg from callers */
  DISRUPTION_COUNT,
};

void soak_ledger_start (void);
/* Marks the beginning (ON) or the end of a disruption.  Disruptions of one kind may overlap. */
void soak_ledger_set_disrupted (enum soak_disruption disruption, bool on);
/* Requests with KEY may not run any more once SOAK_CONFIG_US has passed. */
void soak_ledger_withdraw_key (const char *key);
void soak_ledger_record_sent (const char *id, const char *account, const char *key,
                              const char *path, int host);
/* Records VERSION of the configuration when the store acknowledges it.  Its number tells the home
 * regions: region b of the routes with SOAK_HOME_PATH if it is odd, region b of the account desk if
 * its half is, region a else. */
#define SOAK_HOME_VERSIONS 4
#define SOAK_HOME_PATH "-home/"
void soak_ledger_record_version (int version);
/* Checks that a host in the region of PEER may get the body of ID. */
void soak_ledger_check_handover (const char *id, int peer);
void soak_ledger_record_run (const char *id, const char *account, int server);
/* Records what a server answers, before it is sent. */
void soak_ledger_record_reply (const char *id, const char *stamp, int status);
/* Records an answer at its caller.  STAMP is that of the server, if any. */
void soak_ledger_record_answer (const char *id, int status, const char *stamp);
/* Records that ID has no answer.  IS_NEW: on a new connection. */
void soak_ledger_record_no_answer (const char *id, bool is_new, const char *reason);
/* Records a request at a server that names SOAK_SERVER_LIMIT. */
void soak_ledger_record_limited (void);
/* Counts the tries of callers from now on, by whether their host was cut off from the servers. */
void soak_ledger_start_tries (void);
void soak_ledger_record_try (bool is_cut, bool is_served, int64_t begun_us);
/* Checks the tries since. */
void soak_ledger_check_tries (void);
/* Marks SERVER as leaving (it drains or is removed) or as registered again. */
void soak_ledger_set_leaving (int server, bool leaving);
void soak_ledger_report_violation (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Runs the checks that need the whole run.  Returns the number of violations. */
int soak_ledger_finish (void);
void soak_ledger_print_summary (void);

#endif
