/* rig.h - stand-ins for the platform's store, backend servers and callers around entry hosts.
 *
 * API tier: private.
 *
 * The entry hosts run as separate processes, started with the command of deploy/system.toml.  The
 * stand-ins are threads of the test: each connection has one, and calls block.  Everything listens
 * on loopback addresses of a block that is free when the test starts.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_HEAD_MAX 65536
#define RIG_BODY_MAX (8 << 20)
#define RIG_ID_MAX 64
#define RIG_CONNECTIONS_MAX 512

#define RIG_NAME "orders.example"
#define RIG_ORDERS "/order/"
#define RIG_SERVICE "cutline"

/* Exit statuses of a case. */
enum rig_result
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_NOT_RUN = 2,
};

struct rig_server
{
  int number;
  const char *service;
  const char *domain;
  char id[32];
  char address[32];
  int sequence;
  int running; /* atomic */
  bool ended;
  int listening_fd;
  int connections[RIG_CONNECTIONS_MAX]; /* descriptors; 0: free */
  int64_t born_ms;
};

/* A request that has arrived at a server, with its body. */
struct rig_exchange
{
  struct rig_server *server;
  int fd;
  int on_connection; /* requests on this connection, with this one */
  char head[RIG_HEAD_MAX];
  char method[16];
  char target[8192];
  char id[RIG_ID_MAX];
  char expected[64];
  uint8_t *body;
  size_t body_length;
  bool close; /* set by the handler: the connection ends with this request */
};

/* Answers EXCHANGE. */
typedef void (*rig_handler) (struct rig_exchange *exchange);

/* A caller's answer. */
struct rig_answer
{
  int status;    /* 0: none */
  bool complete; /* with its whole body */
  char head[RIG_HEAD_MAX];
  char body[8192];
  size_t body_length;
};

int64_t rig_now_ms (void);
void rig_sleep_ms (int ms);
/* Writes a line with the time to record.txt. */
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Whether the disruption shall be left out (TROUBLE=0). */
bool rig_has_trouble (void);

/* Starts the store.  ARGV: the folder for record.txt.  Exits with RIG_NOT_RUN on failure. */
void rig_init (int argc, char **argv);
/* Ends all processes and returns RESULT. */
int rig_finish (enum rig_result result);

void rig_put (const char *table, const char *key, const char *value);
/* Writes a configuration with the route RIG_ORDERS of the host name RIG_NAME to service
 * RIG_SERVICE. */
void rig_put_config (void);
void rig_remove (const char *table, const char *key);
/* Whether the store answers; otherwise calls to it get 503. */
void rig_store_serves (bool serves);
/* Whether HOST's calls to the store hang; their connections end without an answer when that is
 * over.
 */
void rig_store_hangs (int host, bool hangs);
/* Returns how many calls of HOST wait at the store for changes. */
int rig_store_polls (int host);
/* Sets the zones and their regions, as entries of the settings' list of domains, for hosts that are
 * started from now on. */
void rig_set_zones (const char *list);

/* Starts a server, listed in the store as ready. */
struct rig_server *rig_start_server (const char *service, const char *domain, rig_handler handler);
void rig_list_server (struct rig_server *server, const char *state);
/* Ends SERVER like a process that exits: its connections close, new ones are refused. */
void rig_end_server (struct rig_server *server);
/* Returns a header of a head, without the white space around it; "" if there is none. */
void rig_header (const char *head, const char *name, char *value, size_t room);
void rig_send (int fd, const void *bytes, size_t length);
/* Sends an answer; HEADERS: more lines, each with its line end. */
void rig_reply (struct rig_exchange *exchange, const char *status, const char *headers,
                const char *body);

/* Starts an entry host and waits until it is ready.  Returns its number. */
int rig_start_host (const char *domain);
pid_t rig_host_pid (int host);
const char *rig_host_log (int host);
void rig_stop_host (int host, int signal);
bool rig_host_has_ended (int host, int *status);

/* Opens a caller's connection to HOST, or returns -1. */
int rig_connect (int host);
int rig_connect_to (const char *where);
/* Reads one answer within LIMIT_MS. */
void rig_read_answer (int fd, int limit_ms, struct rig_answer *answer);
/* Sends a request with a new id, which is stored in ID.  HEADERS: more lines. */
bool rig_request (int fd, const char *method, const char *host, const char *target,
                  const char *headers, const void *body, size_t body_length, int deadline_ms,
                  char *id);

#endif
