/* rig.h - stand-ins for the store, the servers and the callers, and entry hosts as processes.
 *
 * All run on loopback addresses of one block.  Each stand-in behaves as the platform's pages say of
 * a sound one, but for what a case sets.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_MS INT64_C (1000)
#define RIG_SECOND INT64_C (1000000)
#define RIG_HOSTS_MAX 12
#define RIG_SERVERS_MAX 16

/* Opens record.txt in FOLDER and finds a free block of addresses.  Exits with 2 if that fails. */
void rig_begin (const char *folder);
/* Ends all hosts and exits with 1 if FAILED. */
void rig_end (bool failed) G_GNUC_NORETURN;
/* Returns false if the environment has TROUBLE=0. */
bool rig_has_trouble (void);
int64_t rig_now_us (void);
void rig_sleep_us (int64_t us);
/* Writes a line to record.txt, with the seconds since the beginning. */
void rig_record (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* The store. */
void rig_store_start (void);
void rig_store_put (const char *table, const char *key, const char *value); /* NULL: removes */

/* Entry hosts, the commands of the deploy file. */
void rig_hosts_start (int count);
/* Returns whether the process of HOST still runs; records how it ended. */
bool rig_host_is_running (int host);
void rig_host_restart (int host);
/* Waits until all hosts say that they are ready.  Exits with 2 after LIMIT_US. */
void rig_hosts_wait_ready (int64_t limit_us);
const char *rig_host_address (int host); /* for callers */
const char *rig_host_zone (int host);

/* Servers. */
struct rig_server
{
  char id[224];
  char service[224];
  char address[32];
  char zone[24];
  int64_t born_ms;
  int sequence;
  int running; /* requests */
};

/* Called for each request that a server begins to run, on a thread of its own. */
typedef void (*rig_run_function) (struct rig_server *server, const char *id, const char *tenant,
                                  const char *path);
void rig_servers_on_run (rig_run_function function);
struct rig_server *rig_server_add (const char *id, const char *service, int number);
/* Writes the server's entry as it is, which happens every heartbeat as well. */
void rig_server_beat (struct rig_server *server);
void rig_servers_start_beats (void);

/* Callers. */
enum rig_end_kind
{
  RIG_ANSWERED,
  RIG_CLOSED, /* in order, without a whole answer */
  RIG_RESET,
  RIG_REFUSED, /* no connection */
  RIG_TIMEOUT,
};
extern const char *const rig_end_names[];

struct rig_request
{
  const char *address;
  const char *method;
  const char *host;
  const char *path;
  const char *key;  /* NULL: none */
  const char *body; /* NULL: none */
  int deadline_ms;
  int *kept_fd; /* a connection that is kept, -1: none yet; NULL: a new one */
};

struct rig_answer
{
  enum rig_end_kind end;
  bool was_kept; /* the connection was not new */
  int status;
  char id[40];
  char stamp[64];
  char body[256];
};

void rig_request (const struct rig_request *request, struct rig_answer *answer);

#endif
