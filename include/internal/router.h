/* router.h - the reducer of an entry host whose platform keeps configuration and server list.
 *
 * API tier: private.
 *
 * pl_router_step() makes all decisions.  It reads no clock and does no input or
 * output: it returns the actions to take as effects, and each outcome comes back
 * as an event.
 */
#ifndef POMELOLATCH_ROUTER_H
#define POMELOLATCH_ROUTER_H

#include "internal/membership.h"
#include "internal/placement.h"
#include "internal/reach.h"
#include "internal/routing.h"
#include "internal/server_load.h"

struct pl_router;

/* The tables of the platform's store that hosts watch. */
enum pl_table
{
  PL_TABLE_CONTROL, /* the configuration, and operators' evacuations */
  PL_TABLE_SERVERS, /* the rows that backend servers write about themselves */
};

/* A position in the history of a table: the era of the store in the upper bits, then the store's
 * version, so that positions compare across eras.  A store that is restored from a copy assigns
 * versions again, but in a higher era. */
#define PL_POSITION_VERSION_BITS 44
#define PL_POSITION_ERA_MAX ((INT64_C (1) << (63 - PL_POSITION_VERSION_BITS)) - 1)

static inline int64_t
pl_position (int64_t era, int64_t version)
{
  return era << PL_POSITION_VERSION_BITS | version;
}

static inline int64_t
pl_position_era (int64_t position)
{
  return position >> PL_POSITION_VERSION_BITS;
}

static inline int64_t
pl_position_version (int64_t position)
{
  return position & ((INT64_C (1) << PL_POSITION_VERSION_BITS) - 1);
}

/* The content of a decoded row of a watched table. */
enum pl_row_update_type
{
  PL_ROW_UPDATE_NONE,
  PL_ROW_UPDATE_ROUTING,
  PL_ROW_UPDATE_EVACUATION,
  PL_ROW_UPDATE_SERVER,
};

/* Texts point into the key of the row or into DOCUMENT. */
struct pl_row_update
{
  enum pl_row_update_type type;
  json_t *document;              /* a reference, or NULL; see pl_row_update_clear() */
  struct pl_routing *routing;    /* a reference, or NULL */
  const char *domain;            /* evacuation */
  struct pl_server_entry server; /* only the id is set for a deleted row */
};

/* Releases what UPDATE refers to. */
void pl_row_update_clear (struct pl_row_update *update);

/* Decodes a row; VALUE is NULL for a deleted one.  Must be a pure function.  Returns 0, or
 * PL_ERR_INVALID with findings added: the row says nothing, and an entry of a server names none. */
typedef int (*pl_row_decoder) (void *data, enum pl_table table, const char *key, const char *value,
                               size_t length, struct pl_row_update *update,
                               struct pl_findings *findings);

/* Switches off safety mechanisms, for tests that must fail without them. */
enum pl_router_switch
{
  PL_ROUTER_RETRY_ALL = 1 << 0,     /* unsafe: also retries requests that may run at most once */
  PL_ROUTER_KEEP_DRAINING = 1 << 1, /* unsafe: keeps using draining and deleted servers */
  PL_ROUTER_NO_QUOTA = 1 << 2,      /* unsafe: accounts have no limit */
  PL_ROUTER_NO_PERMITS = 1 << 3,    /* unsafe: servers with rate limits are used without permits */
  PL_ROUTER_NO_HANDOVERS = 1 << 4,  /* a host that reaches no server serves nobody */
  PL_ROUTER_NO_SHARES = 1 << 5,     /* accounts take what they can get of managed services */
  PL_ROUTER_NO_EXPECTED_TIMES = 1 << 8, /* reported speeds do not affect the choice of servers */
};

struct pl_router_options
{
  unsigned switches; /* of enum pl_router_switch */
  const char *name;  /* at most PL_HOST_NAME_BYTES_MAX bytes, like the domain */
  const char *domain;
  const char *caller_address;
  const char *peer_address;
  const char *relay_address;
  const char *handover_port;  /* TCP port on which all hosts take hand-overs; NULL: none */
  const char *const *domains; /* "DOMAIN=REGION", NULL-terminated */
  const char *const *seeds;   /* peer addresses of other hosts, NULL-terminated; may be stale */
  uint64_t incarnation;
  int capacity; /* relative to that of other hosts */
  int64_t now_us;
  int64_t grace_us;   /* from the stop signal until the process is killed */
  double retry_ratio; /* retries per request, over the fleet */
  double retry_slack; /* further retries in a burst, over the fleet */
  enum pl_load_management load_management;
  /* Fraction of the requests that change their region from one window of two seconds to the next,
   * at most. */
  double max_shift;
  double hedge_ratio; /* fraction of the requests that may get a second copy; 0: none */
  pl_row_decoder decode;
  void *decode_data;
};

/* A caller's request, received completely.  Strings are borrowed for the step. */
struct pl_call_event
{
  uint64_t request;
  const char *correlation_id; /* the caller's id of the request, for logs; UTF-8 */
  const char *host;           /* from the Host header, normalized */
  const char *path;
  bool has_key;
  uint8_t key_hash[PL_KEY_HASH_BYTES];
  int64_t caller_timeout_us; /* how long the caller waits; 0: unknown */
  uint64_t object;           /* hash of the object that the request concerns; 0: none */
  uint64_t fingerprint;      /* of method, path, key and body */
  int64_t body_bytes;
  /* Of a request that a peer has handed over: */
  bool is_handover;
  int64_t handover_version; /* of the peer's configuration */
  int handover_attempts;    /* at servers, by the peer */
};

/* The outcome of one attempt at a server, or of a hand-over to a peer. */
enum pl_attempt_end
{
  PL_ATTEMPT_ANSWERED,     /* a complete answer to this request */
  PL_ATTEMPT_NOT_RUN,      /* the server says that it did not run the request */
  PL_ATTEMPT_NOT_SENT,     /* the server could not be reached */
  PL_ATTEMPT_OTHER_SERVER, /* another server has this address now */
  PL_ATTEMPT_ANSWER_LOST,  /* the request was sent; the answer is lost or malformed */
  PL_ATTEMPT_PEER_REFUSED, /* hand-over: the answer is the peer's own refusal */
};
#define PL_ATTEMPT_END_COUNT (PL_ATTEMPT_PEER_REFUSED + 1)

/* A refusal by the peer that a request was handed over to. */
#define PL_REFUSAL_CHARS 24
struct pl_peer_refusal
{
  char reason[PL_REFUSAL_CHARS];
  int attempts; /* at servers, by the peer */
  int64_t retry_after_us;
};

/* What an answer says about the rate limit of its server. */
enum pl_rate_limit_report
{
  PL_RATE_LIMIT_UNKNOWN, /* the answer did not arrive, or its limit is malformed */
  PL_RATE_LIMIT_ABSENT,
  PL_RATE_LIMIT_NAMED,
};

/* Whose id the last head of an answer bears. */
enum pl_answer_id
{
  PL_ANSWER_ID_NONE, /* no id, or no head */
  PL_ANSWER_ID_OWN,
  PL_ANSWER_ID_OTHER,
  PL_ANSWER_ID_COUNT,
};

/* What determines the length of an answer's body. */
enum pl_answer_framing
{
  PL_ANSWER_FRAMING_CLOSE, /* by the end of the connection, or no head */
  PL_ANSWER_FRAMING_LENGTH,
  PL_ANSWER_FRAMING_CHUNKED,
};

struct pl_attempt_event
{
  uint64_t request;
  uint32_t attempt;
  enum pl_attempt_end end;
  int status;
  bool is_new_connection; /* it was opened for this attempt, or could not be opened */
  bool has_load;
  struct pl_load_report load;
  enum pl_rate_limit_report rate_limit_report;
  double rate_limit; /* requests per second over all hosts, if named */
  struct pl_peer_refusal refusal;
  enum pl_answer_id answer_id;
  enum pl_answer_framing answer_framing;
  int64_t answer_bytes; /* of the body, as far as it was read */
};

struct pl_row
{
  const char *key;
  const char *value; /* NULL: the row is deleted */
  size_t length;
  int64_t version;
  int64_t used_for_us; /* deleted, in an event that tells: how long its server is still used */
};

struct pl_rows_event
{
  enum pl_table table;
  bool is_snapshot; /* all rows of the table: those that are missing are deleted */
  bool from_peer;
  bool tells_use;  /* used_for_us of deleted rows is set; servers of missing rows are not used */
  int64_t version; /* of the table */
  uint64_t fetch;  /* number of the fetch from the peer */
  const struct pl_row *rows;
  int count;
};

/* The end of a call to the store. */
struct pl_store_call_event
{
  int64_t age_us; /* since it was sent */
  bool timed_out; /* it failed as nothing came for too long; otherwise it was refused or reset */
  bool confirms_control; /* with the rows posted before, all of the control table are known */
};

/* How a fetch of rows from a peer has ended. */
enum pl_fetch_end
{
  PL_FETCH_ANSWERED,
  PL_FETCH_REFUSED, /* the peer spends its share of the link on others */
  PL_FETCH_FAILED,
};
#define PL_FETCH_END_COUNT (PL_FETCH_FAILED + 1)

struct pl_fetch_done_event
{
  uint64_t number;
  enum pl_fetch_end end;
  int64_t wire_bytes; /* of the answer's body as its head tells them; 0: it does not */
  int64_t bytes;      /* the same as far as they were read, decoded */
};

enum pl_router_event_type
{
  PL_ROUTER_TICK,
  PL_ROUTER_CALL,
  PL_ROUTER_CALLER_GONE,
  PL_ROUTER_ATTEMPT,
  PL_ROUTER_PROBED,
  PL_ROUTER_BEACON,
  PL_ROUTER_ROWS,
  PL_ROUTER_STORE_FAILED,
  PL_ROUTER_STORE_OK,
  PL_ROUTER_STORE_QUIET,    /* an answer of the store is overdue */
  PL_ROUTER_STORE_READ,     /* PL_ROUTER_READ_STORE has ended; rows were posted before */
  PL_ROUTER_FETCH_PROGRESS, /* bytes of a fetch of rows from a peer have arrived */
  PL_ROUTER_FETCH_DONE,     /* a fetch of rows from a peer has ended, with or without rows */
  PL_ROUTER_BUSY_PERCENT,   /* percentage of time that the process was not waiting for events */
  PL_ROUTER_STOP,
};

struct pl_router_event
{
  enum pl_router_event_type type;
  int64_t now_us;
  union
  {
    struct pl_call_event call;
    uint64_t request; /* of PL_ROUTER_CALLER_GONE */
    uint64_t fetch;   /* number of a fetch; of PL_ROUTER_FETCH_PROGRESS */
    struct pl_fetch_done_event fetch_done;
    int busy_percent;
    struct pl_attempt_event attempt;
    struct
    {
      uint64_t server; /* hash of its id */
      bool connected;  /* a connection was established, whatever the answer */
      bool healthy;
      int64_t cold_us;
      bool has_load;
      struct pl_load_report load;
      enum pl_rate_limit_report rate_limit_report;
      double rate_limit; /* requests per second over all hosts, if named */
    } probed;
    const struct pl_beacon *beacon;
    struct pl_rows_event rows;
    struct pl_store_call_event store_call; /* STORE_FAILED, STORE_OK */
    bool store_read_succeeded;             /* of PL_ROUTER_STORE_READ */
  } u;
};

enum pl_router_effect_type
{
  PL_ROUTER_SEND,              /* send the request to a server */
  PL_ROUTER_HAND_OVER,         /* send the request to a peer, which sends it to a server */
  PL_ROUTER_DELIVER,           /* pass the server's answer to the caller */
  PL_ROUTER_REFUSE,            /* answer the caller without a server */
  PL_ROUTER_CANCEL,            /* cancel the attempt; no outcome is expected */
  PL_ROUTER_PROBE,             /* probe the health of a server */
  PL_ROUTER_SEND_BEACON,       /* send a beacon to a peer */
  PL_ROUTER_FETCH_ROWS,        /* fetch rows from a peer */
  PL_ROUTER_WATCH_STORE,       /* start or stop watching the store */
  PL_ROUTER_CHECK_STORE,       /* find out at once whether the store answers */
  PL_ROUTER_READ_STORE,        /* read all tables of the store once, from the positions held */
  PL_ROUTER_SET_LIMITS,        /* apply changed limits on callers' requests */
  PL_ROUTER_DISABLE_KEEPALIVE, /* close each connection after its answer from now on */
  PL_ROUTER_STOP_LISTENING,    /* accept no new connections */
  PL_ROUTER_STOPPED,           /* the process may exit */
  PL_ROUTER_LOG,               /* write a log line */
};

enum pl_router_log_level
{
  PL_ROUTER_LOG_REQUEST, /* about one request; frequent */
  PL_ROUTER_LOG_STATE,   /* this host's state or its view of the fleet has changed */
  PL_ROUTER_LOG_WARNING, /* a problem */
};

/* Texts are borrowed until the next step, but for those that an effect owns. */
struct pl_router_effect
{
  enum pl_router_effect_type type;
  uint64_t request;
  uint32_t attempt;
  union
  {
    struct
    {
      const char *server; /* its id */
      char address[PL_ADDRESS_CHARS];
      const char *account;  /* NULL: none */
      int64_t time_left_us; /* left until the timeout of the caller or of the route */
      bool at_most_once;
      bool only_kept_connection; /* the attempt fails if a new one is required */
    } send;
    struct
    {
      char address[PL_ADDRESS_CHARS];
      int64_t time_left_us;
      int64_t version; /* of the configuration */
      int attempts;    /* at servers so far */
      bool at_most_once;
    } hand_over;
    struct
    {
      int status; /* of the server's answer; none that would say that the request did not run */
    } deliver;
    struct
    {
      int status;
      const char *reason;     /* static */
      int attempts;           /* at servers */
      int64_t retry_after_us; /* 0: a retry does not help */
    } refuse;
    struct
    {
      uint64_t server; /* hash of its id */
      const char *server_id;
      char address[PL_ADDRESS_CHARS];
      char *path; /* owned by the effect */
      bool on_new_connection;
    } probe;
    struct
    {
      char address[PL_ADDRESS_CHARS];
      struct pl_beacon *beacon; /* owned by the effect */
    } datagram;
    struct
    {
      uint64_t number;
      char address[PL_ADDRESS_CHARS];
      int64_t held[PL_TABLES_MAX];
    } fetch;
    struct
    {
      int64_t held[PL_TABLES_MAX];
    } read;
    bool watch;
    struct pl_caller_limits limits;
    struct
    {
      enum pl_router_log_level level;
      const char *event; /* static */
      json_t *fields;    /* owned by the effect */
    } log_line;
  } u;
};

struct pl_router_effects
{
  struct pl_router_effect *items;
  int count;
  int capacity; /* allocated items */
};

void pl_router_effects_clear (struct pl_router_effects *effects);
void pl_router_effects_free (struct pl_router_effects *effects);

struct pl_router *pl_router_new (const struct pl_router_options *options);
void pl_router_free (struct pl_router *router);
void pl_router_step (struct pl_router *router, const struct pl_router_event *event,
                     struct pl_router_effects *effects);

/* Returns the index of the region NAME, which is added when it is new, or PL_NONE when there are
 * too many. */
int pl_router_ensure_region (struct pl_router *router, const char *name);

/* Returns when the next tick is due. */
int64_t pl_router_due_us (const struct pl_router *router);

/* Returns whether callers should be sent to this host. */
bool pl_router_is_ready (const struct pl_router *router);

/* Fills ADDRESSES with the hosts for callers in DOMAIN of REGION, and returns their number.  The
 * strings are borrowed until the next step. */
int pl_router_select_hosts (const struct pl_router *router, const char *domain, const char *region,
                            const char **addresses, int room, int64_t now_us);

/* Calls VISIT for each row of TABLE newer than AFTER, deleted ones too, and returns the version of
 * the table.  IS_SNAPSHOT is set when deletions since AFTER are no longer known: then VISIT is
 * called for all rows of the table that are not deleted. */
typedef void (*pl_row_visitor) (void *data, enum pl_table table, const struct pl_row *row);
int64_t pl_router_rows_after (const struct pl_router *router, enum pl_table table, int64_t after,
                              bool *is_snapshot, pl_row_visitor visit, void *data);

/* Returns a number that changes with the rows of TABLE: while it is the same, so is what
 * pl_router_rows_after() tells, but for how long servers of deleted rows are still used. */
uint64_t pl_router_rows_revision (const struct pl_router *router, enum pl_table table);

/* Returns the version of TABLE that this host holds, 0 for none. */
int64_t pl_router_held_version (const struct pl_router *router, enum pl_table table);

/* Appends counters and histograms in the Prometheus text format. */
void pl_router_metrics (const struct pl_router *router, GString *text);

#endif
