/* soak.h - entry hosts as real processes among stand-ins, with faults from outside.
 *
 * API tier: private.
 *
 * Everything but the entry hosts runs in the soak's own process: the platform's
 * store, the backend servers, the callers, and a loopback proxy on each leg.  The
 * ledger keeps what callers were told and what servers ran, and finds broken
 * promises.
 */
#ifndef SOAK_H
#define SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_HOSTS_MAX 200
#define SOAK_SERVERS_MAX 24
#define SOAK_MS INT64_C (1000)
#define SOAK_SECOND INT64_C (1000000)
#define SOAK_ACCOUNT_RATE 40

struct soak_options
{
  uint32_t seed;
  int seconds;
  int hosts;
  int block; /* of loopback addresses, 0 to 20 */
  const char *program;
  const char *folder; /* where the soak's own program stands */
  int switches;       /* mechanisms of the entry hosts that are off, to see that the soak sees it */
};

/* Loopback nets; runs side by side each have a block of their own. */
enum soak_net
{
  NET_HOSTS = 1,
  NET_SERVERS,
  NET_SERVER_PROXIES,
  NET_STORE,
  NET_HOST_PROXIES,
};

/* Returns "IP:PORT" of member NUMBER, from 0, of NET; lasts as long as the process. */
const char *soak_address (enum soak_net net, int number, int port);

/* Returns the number of the member that has ADDRESS, or -1. */
int soak_member_number (enum soak_net net, const char *address);

int64_t soak_now_us (void);

/* A random number below MOST, from the seed alone; for the plan only. */
uint32_t soak_random_below (uint32_t most);

/* proxy.c: legs between two sides, each with a behaviour that can change at any time. */
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
  BEHAVE_DELAY,   /* each piece waits */
  BEHAVE_RESET,   /* open connections are reset, new ones too */
  BEHAVE_ONE_WAY, /* nothing comes back until it is over */
  BEHAVE_SILENT,  /* nothing moves, and connections stay open */
  BEHAVE_COUNT,
};

extern const char *const soak_behaviour_names[BEHAVE_COUNT];

/* Listens on FROM (IP:port) and connects each connection on to TO. */
void soak_proxy_open (enum soak_leg leg, const char *from, const char *to);
void soak_proxy_set (enum soak_leg leg, enum soak_behaviour behaviour);

/* store.c */
void soak_store_start (void);
void soak_store_put (const char *table, const char *key, const char *value); /* NULL: remove */
void soak_store_set_failing (bool fail); /* each call gets 503 */
void soak_store_drop_history (void);     /* the history is dropped */

/* servers.c */
enum soak_server_mode
{
  SERVER_HEALTHY,
  SERVER_HANGS,         /* runs requests and does not answer until it is well again */
  SERVER_LOSES_ANSWERS, /* runs requests and closes their connections */
};

void soak_servers_start (int count);
void soak_server_register (int server, bool draining);
void soak_server_remove (int server);
void soak_server_set_mode (int server, enum soak_server_mode mode);
int soak_server_count (void);

/* hosts.c */
void soak_hosts_start (const struct soak_options *options);
void soak_host_signal (int host, int number); /* SIGTERM and SIGKILL: it is started again */
bool soak_hosts_wait_ready (int64_t limit_us);
/* Ends all; returns how many ended by themselves during the run. */
int soak_hosts_stop (void);
const char *soak_host_log (int host); /* path */

/* callers.c */
void soak_callers_start (int count, int hosts);
void soak_callers_stop (void);
void soak_callers_withdraw_key (const char *key);

/* ledger.c */
enum soak_disruption
{
  DISRUPTION_STORE,   /* the store, or the way to it */
  DISRUPTION_HOSTS,   /* a host was paused or killed */
  DISRUPTION_SERVERS, /* a server, or the way to it */
  DISRUPTION_CALLERS, /* the way from callers */
  DISRUPTION_COUNT,
};

void soak_ledger_start (void);
/* Something of this kind is harmed from now on, or no longer. */
void soak_ledger_set_disrupted (enum soak_disruption disruption, bool on);
/* Whether nothing of this kind was harmed since SINCE_US. */
bool soak_ledger_is_stable (enum soak_disruption disruption, int64_t since_us);
void soak_ledger_record_sent (const char *id, const char *account, bool at_most_once);
void soak_ledger_record_run (const char *id, const char *account, int server);
void soak_ledger_record_answer (const char *id, int status);
void soak_ledger_set_leaving (int server, bool leaving); /* it drains or is gone, or is back */
void soak_ledger_report_violation (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Checks what can only be checked at the end.  Returns the number of broken promises. */
int soak_ledger_finish (void);
void soak_ledger_print_summary (void);

#endif
