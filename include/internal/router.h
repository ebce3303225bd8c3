/* router.h - the reducer of an entry host whose platform keeps configuration and server list.
 *
 * API tier: private.
 *
 * pl_router_step() is the only place that decides.  It reads no clock and does
 * no input or output; what has to be done comes out as effects, and every
 * outcome comes back as an event.
 */
#ifndef POMELOLATCH_ROUTER_H
#define POMELOLATCH_ROUTER_H

#include "internal/membership.h"
#include "internal/placement.h"
#include "internal/routing.h"

struct pl_router;

/* The tables of the platform's store that are watched. */
enum pl_table
{
  PL_TABLE_CONTROL, /* the configuration, and what operators ask for */
  PL_TABLE_SERVERS, /* what backend servers say of themselves */
};

/* What one row of a watched table says. */
enum pl_news_type
{
  PL_NEWS_NONE,
  PL_NEWS_ROUTING,
  PL_NEWS_EVACUATION,
  PL_NEWS_SERVER,
};

struct pl_news
{
  enum pl_news_type type;
  struct pl_routing *routing;    /* owned by whoever asked for the news */
  char domain[PL_ID_CHARS];      /* evacuation */
  struct pl_server_entry server; /* of a row that is gone only the id is filled */
};

/* Turns a row into news.  VALUE NULL: the row is gone.  Must be a pure function.  Returns 0, or
 * PL_ERR_INVALID with findings added; the row then says nothing. */
typedef int (*pl_row_decoder) (void *data, enum pl_table table, const char *key, const char *value,
                               size_t length, struct pl_news *news, struct pl_findings *findings);

/* Mechanisms that can be switched off, for proofs that must fail. */
enum pl_router_switch
{
  PL_ROUTER_REPEAT_ALL = 1 << 0,   /* unsafe: what may run once only is sent again too */
  PL_ROUTER_KEEP_LEAVING = 1 << 1, /* unsafe: servers that leave are used on */
  PL_ROUTER_NO_QUOTA = 1 << 2,     /* unsafe: accounts have no limit */
};

struct pl_router_options
{
  unsigned switches; /* of enum pl_router_switch */
  const char *name;
  const char *domain;
  const char *caller_address;
  const char *peer_address;
  const char *relay_address;
  const char *const *domains; /* "DOMAIN=REGION", NULL-ended */
  const char *const *seeds;   /* addresses of other hosts' peer ports, NULL-ended; may be stale */
  uint64_t incarnation;
  int capacity; /* what this host can carry, against other hosts */
  int64_t now_us;
  int64_t grace_us;   /* from the order to stop until the process is ended */
  double retry_ratio; /* repeats a request, over the fleet */
  double retry_slack; /* repeats besides, over the fleet */
  pl_row_decoder decode;
  void *decode_data;
};

/* A caller's request, read whole.  Texts are borrowed for the step. */
struct pl_call_event
{
  uint64_t request;
  const char *label; /* the caller's own id for it, for logs */
  const char *host;
  const char *path;
  bool has_key;
  uint8_t key_hash[PL_KEY_HASH_BYTES];
  int64_t patience_us;  /* how long the caller waits; 0: not told */
  uint64_t object;      /* hash of the object it concerns; 0: none */
  uint64_t fingerprint; /* of method, path, key and body */
  int64_t body_bytes;
};

/* How one attempt at a server ended. */
enum pl_attempt_end
{
  PL_ATTEMPT_ANSWERED,  /* a whole answer to this request */
  PL_ATTEMPT_NOT_RUN,   /* the server says that it did not run it */
  PL_ATTEMPT_NOT_SENT,  /* the server could not be reached */
  PL_ATTEMPT_MISPLACED, /* another server has this address now */
  PL_ATTEMPT_BROKEN,    /* it was sent; the answer is lost or spoiled */
};

struct pl_attempt_event
{
  uint64_t request;
  uint32_t attempt;
  enum pl_attempt_end end;
  int status;
  bool has_load;
  int running; /* as the server says of itself */
  int waiting;
  int slots;
};

struct pl_row
{
  const char *key;
  const char *value; /* NULL: the row is gone */
  size_t length;
  int64_t version;
};

struct pl_rows_event
{
  enum pl_table table;
  bool is_whole; /* rows that are missing here are gone */
  bool from_peer;
  int64_t version; /* of the table */
  const struct pl_row *rows;
  int count;
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
  PL_ROUTER_STORE_WELL,
  PL_ROUTER_RELAY_DONE,
  PL_ROUTER_BUSY, /* how much of the time the process was not waiting */
  PL_ROUTER_STOP,
};

struct pl_router_event
{
  enum pl_router_event_type type;
  int64_t now_us;
  union
  {
    struct pl_call_event call;
    uint64_t request; /* caller gone */
    int busy_percent;
    struct pl_attempt_event attempt;
    struct
    {
      char server[PL_SERVER_ID_CHARS];
      bool well;
      int64_t cold_us;
    } probed;
    const struct pl_beacon *beacon;
    struct pl_rows_event rows;
  } u;
};

enum pl_router_effect_type
{
  PL_ROUTER_SEND,    /* the request to a server */
  PL_ROUTER_DELIVER, /* the server's answer to the caller */
  PL_ROUTER_REFUSE,  /* an answer of our own to the caller */
  PL_ROUTER_CANCEL,  /* break the attempt off; no outcome is awaited */
  PL_ROUTER_PROBE,
  PL_ROUTER_TELL,     /* a beacon to a peer */
  PL_ROUTER_FETCH,    /* rows from a peer */
  PL_ROUTER_WATCH,    /* begin or end reading the store */
  PL_ROUTER_LIMITS,   /* what callers may send has changed */
  PL_ROUTER_CLOSING,  /* each answer ends its connection from now on */
  PL_ROUTER_UNLISTEN, /* take no new connections */
  PL_ROUTER_STOPPED,  /* the process may end */
  PL_ROUTER_NOTE,     /* a line for the log */
};

enum pl_note_level
{
  PL_NOTE_REQUEST, /* of one request; many */
  PL_NOTE_BELIEF,  /* what this host believes has changed */
  PL_NOTE_TROUBLE,
};

struct pl_router_effect
{
  enum pl_router_effect_type type;
  uint64_t request;
  uint32_t attempt;
  union
  {
    struct
    {
      char server[PL_SERVER_ID_CHARS];
      char address[PL_ADDRESS_CHARS];
      char account[PL_ID_CHARS]; /* empty: none */
      int64_t time_us;           /* left until the caller or the route's timeout ends it */
      bool once;
    } send;
    struct
    {
      int status;
      const char *reason;     /* static */
      int64_t retry_after_us; /* 0: coming back does not help */
    } refuse;
    struct
    {
      char server[PL_SERVER_ID_CHARS];
      char address[PL_ADDRESS_CHARS];
      char path[PL_PATH_CHARS];
    } probe;
    struct
    {
      char address[PL_ADDRESS_CHARS];
      struct pl_beacon *beacon; /* owned by the effect */
    } tell;
    struct
    {
      char address[PL_ADDRESS_CHARS];
      int64_t held[PL_TABLES_MAX];
    } fetch;
    bool watch;
    struct pl_caller_limits limits;
    struct
    {
      enum pl_note_level level;
      const char *event; /* static */
      json_t *fields;    /* owned by the effect */
    } note;
  } u;
};

struct pl_router_effects
{
  struct pl_router_effect *items;
  int count;
  int room;
};

void pl_router_effects_clear (struct pl_router_effects *effects);
void pl_router_effects_free (struct pl_router_effects *effects);

struct pl_router *pl_router_new (const struct pl_router_options *options);
void pl_router_free (struct pl_router *router);
void pl_router_step (struct pl_router *router, const struct pl_router_event *event,
                     struct pl_router_effects *effects);

/* Returns the index of the region called NAME, which is made when it is new; PL_NONE when there are
 * too many. */
int pl_router_region (struct pl_router *router, const char *name);

/* Returns when a tick is due. */
int64_t pl_router_due_us (const struct pl_router *router);

/* Returns whether this host should be sent callers. */
bool pl_router_is_ready (const struct pl_router *router);

/* Fills ADDRESSES for callers in DOMAIN of REGION; borrowed until the next step. */
int pl_router_name_hosts (const struct pl_router *router, const char *domain, const char *region,
                          const char **addresses, int room, int64_t now_us);

/* Calls VISIT for each row of TABLE newer than AFTER, gone ones too, and returns the version of
 * the table.  IS_WHOLE tells whether those are all there are. */
typedef void (*pl_row_visitor) (void *data, enum pl_table table, const struct pl_row *row);
int64_t pl_router_rows_after (const struct pl_router *router, enum pl_table table, int64_t after,
                              bool *is_whole, pl_row_visitor visit, void *data);

/* Returns the version of TABLE that this host holds, 0 for none. */
int64_t pl_router_held (const struct pl_router *router, enum pl_table table);

/* Appends counters and histograms in the usual text format. */
void pl_router_metrics (const struct pl_router *router, GString *text);

#endif
