/* router_world.h - a router in virtual time and without sockets, fed with the platform's rows.
 *
 * API tier: private.
 */
#ifndef ROUTER_WORLD_H
#define ROUTER_WORLD_H

#include "internal/dialect.h"

#define WORLD_MS INT64_C (1000)
#define WORLD_SECOND INT64_C (1000000)

/* An attempt that runs beside the latest one. */
struct world_attempt
{
  uint32_t number; /* 0: none runs */
  const char *server;
  int64_t sent_us;
  int tag;
};

/* What the test has seen of one request.  While two attempts run, the fields of an attempt are
 * those of the copy, and OTHER is the first; when one has ended, they are those of the other. */
struct world_call
{
  uint64_t id;
  bool repeatable;
  bool is_handover;    /* a peer has handed it over */
  int sends;           /* to servers */
  const char *server;  /* interned */
  const char *account; /* whose request the server got; interned; empty: none */
  char address[PL_ADDRESS_CHARS];
  uint32_t attempt;
  uint32_t attempts_begun;
  uint32_t ended_attempt; /* the last one that the test has ended */
  int tag;                /* the test's own, of the attempt */
  struct world_attempt other;
  int64_t sent_us;
  int64_t time_left_us; /* limit of the attempt */
  bool at_most_once;
  bool at_server; /* or at a peer */
  bool at_peer;
  bool may_have_run;
  bool cancelled;
  int answers;
  bool delivered;
  int status; /* of a refusal */
  const char *reason;
  int64_t retry_after_us;
};

/* A router with its simulated environment, which records the router's effects. */
struct world
{
  struct pl_router *router;
  struct pl_router_effects effects;
  struct pl_regions regions;
  int64_t now_us;
  int64_t version; /* of the tables */
  uint64_t next_request;
  GHashTable *calls; /* id -> struct world_call */
  int probes;
  int beacons;
  struct pl_beacon last_beacon;
  int fetches;
  bool watching;
  int store_checks;
  int store_reads;
  bool stopped;
  bool keepalive_disabled;
  int warnings;               /* log lines of level warning */
  const char *probed_path;    /* of the last probe; interned */
  const char *logged_request; /* field of the last log line about a request; interned */
  json_t *logged_copy;        /* fields of the last log line about a copy; NULL: none */
  const char *correlation_id; /* of the requests that are sent; NULL: label */
  int64_t body_bytes;         /* of the requests that are sent */
  const char *host;           /* to which they are sent; NULL: h */
  GQueue probed;              /* ids of servers whose probes have no answer yet; owned */
  /* Called when an attempt is sent to a server or peer, and when the caller is answered; may be
   * NULL. */
  void (*on_attempt) (void *data, struct world_call *call);
  void (*on_answer) (void *data, struct world_call *call);
  void *data;
};

struct world_options
{
  unsigned switches; /* of enum pl_router_switch */
  enum pl_load_management load_management;
  uint64_t incarnation; /* 0: 1 */
  const char *name;     /* of the host; NULL: host-a */
  const char *domain;   /* NULL: a-1 */
  double hedge_ratio;
};

/* Returns a world whose router has no rows yet; freed with world_free(). */
struct world *world_new (void);
struct world *world_new_with (unsigned switches); /* of enum pl_router_switch */
struct world *world_new_from (const struct world_options *options);
void world_free (struct world *world);

void world_step (struct world *world, struct pl_router_event *event);

/* Advances the time by US and runs the ticks that become due. */
void world_advance (struct world *world, int64_t us);

/* Feed rows as operators and servers write them; VALUE NULL: the row is deleted. */
void world_put_row (struct world *world, enum pl_table table, const char *key, const char *value);
void world_put_config (struct world *world, int version, const char *extra_route);
void world_put_server (struct world *world, const char *id, const char *domain, const char *state,
                       int64_t born);

/* Feeds rows as the store or a peer sends them. */
void world_feed_rows (struct world *world, const struct pl_rows_event *rows);

/* Return the values of such rows, owned by the caller.  SEQUENCE counts what a server has written
 * since it started. */
char *world_make_config (int version, const char *extra_route);
char *world_make_server (const char *id, const char *domain, const char *state, int64_t born,
                         int sequence);

/* Feeds a caller's request; PATH begins with /read/ (repeatable) or /write/ (at most once), or
 * matches no route. */
struct world_call *world_send_request (struct world *world, const char *path, const char *key);

/* The same for a request that a peer has handed over. */
struct world_call *world_send_handover (struct world *world, const char *path, const char *key);

/* Returns a beacon of a peer that serves callers, and feeds one. */
struct pl_beacon world_peer_beacon (const char *name, const char *domain);
void world_receive_beacon (struct world *world, struct pl_beacon *beacon);

/* Ends the attempt in progress, at a peer, with a refusal of the peer's. */
void world_refuse_by_peer (struct world *world, struct world_call *call, int status,
                           const char *reason, int attempts);

/* Ends the attempt in progress with an answer that names a limit of PER_SECOND. */
void world_answer_with_limit (struct world *world, struct world_call *call, double per_second);

/* Ends the attempt in progress with an answer that reports a load. */
void world_answer_with_load (struct world *world, struct world_call *call,
                             const struct pl_load_report *load);

/* Makes the first of two attempts the one that the functions below end. */
void world_select_other (struct world_call *call);

/* Ends the attempt in progress. */
void world_end_attempt (struct world *world, struct world_call *call, enum pl_attempt_end end,
                        int status);

/* Cuts the host off from all servers, which it then knows. */
void world_lose_servers (struct world *world);

#endif
