/* event.h - the events and effects of the reducer.
 *
 * API tier: provisional.
 *
 * An event is input to the reducer: something that happened outside of it.  An
 * effect is output: an action for the caller to execute.  Both are plain data.
 * Times are in microseconds on the host's monotonic clock.
 *
 * An attempt must not be started after the valid_until_us of its effect: the
 * executor reports PL_OUTCOME_EXPIRED instead, so that a process that was paused
 * does not spend tokens late.  Other late effects are dropped, unless they are
 * still correct, such as a new configuration.  The reducer waits for the outcome
 * of a store call, so one that is dropped is reported as PL_ERR_UNAVAILABLE.
 */
#ifndef POMELOLATCH_EVENT_H
#define POMELOLATCH_EVENT_H

#include "pomelolatch/config.h"

#define PL_ID_CHARS 64
#define PL_ADDRESS_CHARS 24
#define PL_PATH_CHARS 256
#define PL_LOAN_ITEMS_MAX 32
#define PL_SERVICES_MAX 16
#define PL_STORED_ANSWER_BYTES_MAX 4096

/* How an attempt at a backend server or another entry host ended. */
enum pl_outcome
{
  PL_OUTCOME_DONE,        /* the complete answer was read */
  PL_OUTCOME_NOT_SENT,    /* no byte of the request was sent: it did not run */
  PL_OUTCOME_EXPIRED,     /* the effect was too old and was dropped: it did not run */
  PL_OUTCOME_SHED,        /* the server or host reported that it did not run */
  PL_OUTCOME_ANSWER_LOST, /* failed after sending, before an answer began: it may have run */
  PL_OUTCOME_TRUNCATED,   /* the answer ended early */
  PL_OUTCOME_STALLED,     /* cancelled by this host for lack of progress: it may have run */
};

/* Why a request is refused: indexes of pl_refusals. */
enum pl_refusal
{
  PL_REFUSAL_NO_CONFIG,
  PL_REFUSAL_NO_ROUTE,
  PL_REFUSAL_NO_KEY,
  PL_REFUSAL_STALE,
  PL_REFUSAL_QUARANTINED,
  PL_REFUSAL_NO_OPERATION,
  PL_REFUSAL_OVER_RATE,
  PL_REFUSAL_QUEUE_FULL,
  PL_REFUSAL_NO_SERVER,
  PL_REFUSAL_DEADLINE,
  PL_REFUSAL_ANSWER_LOST,
  PL_REFUSAL_REPEATED,
  PL_REFUSAL_STORE_DOWN,
  PL_REFUSAL_COUNT,
};

struct pl_refusal_info
{
  const char *name;
  int status;
  int retry_after_ms; /* 0: a retry does not help */
};

extern const struct pl_refusal_info pl_refusals[PL_REFUSAL_COUNT];

struct pl_request_event
{
  uint64_t request; /* number assigned by the code that serves callers */
  bool has_key;
  uint8_t key_hash[PL_KEY_HASH_BYTES];
  char path[PL_PATH_CHARS];
  char operation[PL_ID_CHARS + 1]; /* hash of the Idempotency-Key in hex, or empty */
  uint64_t fingerprint;            /* of account, method, target and operation */
  int64_t deadline_us;
  int64_t body_bytes;
  bool forwarded;      /* received by another entry host, which spent tokens and made the claim */
  bool body_available; /* the body can still be sent whole, in another attempt */
  uint64_t suspected_server; /* forwarded: a server that failed while running it; 0: none */
  char account[PL_ID_CHARS];
};

struct pl_outcome_event
{
  uint64_t request;
  uint32_t attempt;
  enum pl_outcome outcome;
  int status;
  int64_t answer_bytes;
  bool body_consumed;   /* part of the body was sent and is not buffered: no other attempt */
  const char *answer;   /* stored for retries of the same operation, or NULL; borrowed */
  size_t answer_length; /* bytes */
};

struct pl_probe_event
{
  uint64_t server;
  bool answered;
  bool leaving;
  int load; /* running requests as reported by the server */
};

enum pl_message_type
{
  PL_MESSAGE_HEARTBEAT,
  PL_MESSAGE_LOAN_REQUEST,
  PL_MESSAGE_LOAN_GRANT,
  PL_MESSAGE_SUSPECT,
  PL_MESSAGE_RELEASE,
  PL_MESSAGE_SNAPSHOT,
  PL_MESSAGE_FETCH_RELEASES,
  PL_MESSAGE_COUNT,
};

struct pl_service_load
{
  uint64_t service;
  int32_t free_slots;
  int32_t waiting;
};

struct pl_heartbeat
{
  int64_t version;
  int64_t store_age_us; /* since the store was last read, here or by a peer; -1: never */
  bool leaving;
  int32_t service_count;
  struct pl_service_load services[PL_SERVICES_MAX];
};

struct pl_loan_item
{
  uint64_t budget;
  uint64_t number; /* request: loans up to this one are spent or expired; grant: its own number */
  int64_t amount;
  int64_t surplus;          /* grant: what the lender could lend beyond it */
  uint64_t returned_number; /* request: number of a returned loan, or 0 */
  int64_t returned_amount;
};

struct pl_loan_message
{
  int64_t requested_us; /* by the borrower's clock, echoed in the grant */
  uint64_t nonce;       /* of the borrowing process, echoed in the grant */
  int32_t count;
  struct pl_loan_item items[PL_LOAN_ITEMS_MAX];
};

struct pl_suspect_message
{
  uint64_t fingerprint;
  uint64_t server; /* that failed while running it; 0: the suspicion is cleared */
  bool confirmed;
};

struct pl_message
{
  enum pl_message_type type;
  uint64_t from;
  union
  {
    struct pl_heartbeat heartbeat;
    struct pl_loan_message loans;
    struct pl_suspect_message suspect;
    struct
    {
      int64_t version;
      char *text; /* owned by the message */
    } document;   /* release, snapshot: JSON; fetch: the sender's version, no text */
  } u;
};

/* Frees what MESSAGE owns, not MESSAGE itself. */
void pl_message_clear (struct pl_message *message);
/* Copies SOURCE and all that it owns into TARGET. */
void pl_message_copy (struct pl_message *target, const struct pl_message *source);

enum pl_store_call
{
  PL_STORE_HEAD,    /* read the head and the releases after a version */
  PL_STORE_COMMIT,  /* append a release if the head is as expected */
  PL_STORE_FIND,    /* look up a release by its id */
  PL_STORE_CLAIM,   /* insert claims that do not exist yet */
  PL_STORE_FINISH,  /* store an operation's answer in its claim */
  PL_STORE_ABANDON, /* remove this host's claim of an operation that did not run */
  PL_STORE_NAME,    /* acquire or release this host's name, or write its version in force */
};

#define PL_CLAIMS_MAX 64

struct pl_claim
{
  uint64_t request;
  char row[PL_ID_CHARS * 2 + 8];
};

struct pl_store_request
{
  enum pl_store_call call;
  uint64_t ticket;
  int64_t version;      /* head: version of this host; commit: expected head */
  char *text;           /* commit: the release; finish: the row; owned by the effect */
  char *document;       /* commit: the resulting document; owned by the effect */
  char id[PL_ID_CHARS]; /* commit, find: of the release; head, name: the name of this host */
  char digest[PL_ID_CHARS + 1]; /* commit: of the release's content */
  uint64_t nonce;               /* of this process */
  bool name_released;           /* name: this host stops and releases its name */
  int claim_count;
  struct pl_claim claims[PL_CLAIMS_MAX];
};

enum pl_claim_state
{
  PL_CLAIM_CREATED,
  PL_CLAIM_OURS,    /* this host's row, written by a call whose answer was lost */
  PL_CLAIM_TAKEN,   /* another request's row; its outcome is unknown */
  PL_CLAIM_DONE,    /* finished; the answer is stored */
  PL_CLAIM_UNKNOWN, /* the call to the store failed */
};

struct pl_claim_result
{
  uint64_t request;
  char row[PL_ID_CHARS * 2 + 8];
  enum pl_claim_state state;
  int status;
  char *answer; /* stored answer, or NULL; owned by the event */
};

struct pl_store_event
{
  enum pl_store_call call;
  uint64_t ticket;
  int result;      /* PL_OK or negative; PL_ERR_TIMEOUT when it may have been applied */
  int64_t version; /* head, commit: of the head; find: of the release found */
  char digest[PL_ID_CHARS + 1]; /* find: of the release's content */
  json_t *releases;             /* head: array of {"version","release"}; borrowed */
  json_t *snapshot;          /* head: {"version","document"} if older releases are gone; borrowed */
  uint64_t name_nonce;       /* head, name: the process that holds this host's name; 0: none */
  uint64_t name_incarnation; /* name: how often the name was acquired */
  bool taken_over;           /* name: another process held it before and did not release it */
  int64_t confirmed_version; /* head: lowest version in force on any host that holds a name */
  int claim_count;
  struct pl_claim_result *claims; /* owned by the event */
};

/* An operator's release, parsed from YAML. */
struct pl_release;
struct pl_release_event
{
  uint64_t ticket;
  struct pl_release *release; /* the reducer takes ownership */
  bool check_only;
};

enum pl_event_type
{
  PL_EVENT_TICK,
  PL_EVENT_REQUEST,
  PL_EVENT_CALLER_GONE,
  PL_EVENT_PROGRESS, /* bytes were sent or received in an attempt */
  PL_EVENT_OUTCOME,
  PL_EVENT_PROBE,
  PL_EVENT_MESSAGE,
  PL_EVENT_STORE,
  PL_EVENT_LEAVING_LIST, /* the platform's list of leaving servers */
  PL_EVENT_RELEASE,
  PL_EVENT_STOP,
};

struct pl_event
{
  enum pl_event_type type;
  int64_t now_us;
  union
  {
    struct pl_request_event request;
    struct pl_outcome_event outcome;
    struct pl_probe_event probe;
    struct pl_message message;
    struct pl_store_event store;
    struct pl_release_event release;
    struct
    {
      int count;
      const uint64_t *servers; /* borrowed */
    } leaving;
    struct
    {
      uint64_t request;
      uint32_t attempt;
    } progress; /* caller gone: without the attempt */
  } u;
};

enum pl_effect_type
{
  PL_EFFECT_DISPATCH, /* send the request to a backend server */
  PL_EFFECT_FORWARD,  /* send the request to another entry host */
  PL_EFFECT_REFUSE,   /* answer the caller with a refusal */
  PL_EFFECT_REPLAY,   /* answer the caller with a stored answer */
  PL_EFFECT_CANCEL,   /* cancel an attempt */
  PL_EFFECT_PROBE,    /* probe the health of a backend server on a new connection */
  PL_EFFECT_SEND,     /* send a message to a peer */
  PL_EFFECT_STORE,    /* call the store */
  PL_EFFECT_CONFIG,   /* a new configuration is in force here */
  PL_EFFECT_LOOKUP,   /* a new look-up snapshot is to be published */
  PL_EFFECT_RELEASED, /* answer an operator's release */
  PL_EFFECT_STOPPED,  /* all work is finished; the process may exit */
};

struct pl_effect
{
  enum pl_effect_type type;
  int64_t valid_until_us;
  uint64_t request;
  uint32_t attempt;
  union
  {
    struct
    {
      char address[PL_ADDRESS_CHARS];
      char account[PL_ID_CHARS];
      uint64_t target; /* server or entry host */
      uint64_t suspected_server;
      int64_t deadline_us;
      bool store_answer;
      bool fresh_connection;
    } send_request; /* dispatch, forward; probe: target and address */
    struct
    {
      enum pl_refusal refusal;
      bool attempt_ran;   /* this request may have reached a server */
      bool operation_ran; /* this or an earlier request of the same operation may have */
      int retry_after_ms;
    } refuse;
    struct
    {
      int status;
      char *answer; /* owned by the effect */
    } replay;
    struct
    {
      uint64_t peer;
      struct pl_message message;
    } send;
    struct pl_store_request *store; /* owned by the effect */
    struct pl_config *config;       /* one reference, owned by the effect */
    struct pl_lookup *lookup;       /* owned by the effect, unless the executor sets it to NULL */
    struct
    {
      uint64_t ticket;
      int result;
      int64_t version;
      json_t *findings; /* owned by the effect, or NULL */
    } released;
  } u;
};

/* A list of effects, which grows as needed and is reused from step to step. */
struct pl_effects
{
  struct pl_effect *items;
  int count;
  int capacity;
};

/* Frees what EFFECT owns. */
void pl_effect_clear (struct pl_effect *effect);
void pl_effects_clear (struct pl_effects *effects);
void pl_effects_free (struct pl_effects *effects);

#endif
