/* front.h - callers' requests on a reactor: read whole, decided by the router, answered whole.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_FRONT_H
#define POMELOLATCH_FRONT_H

#include "internal/dialect.h"

#include <microhttpd.h>

struct pl_reactor;
struct pl_front;

struct pl_front_options
{
  const char *address; /* that callers connect to */
  const struct pl_dialect *dialect;
  struct pl_reactor *reactor;
  struct pl_http_client *client;
  size_t memory_limit; /* bytes of bodies and answers held at once, of all callers; 0: 64 MiB */
  /* Hands an event to the router.  Never called from within pl_front_execute(). */
  void (*post) (void *data, struct pl_router_event *event);
  void *data;
};

/* Returns a front that listens, or NULL. */
struct pl_front *pl_front_new (const struct pl_front_options *options);

/* Carries out SEND, DELIVER, REFUSE, CANCEL, PROBE, LIMITS, CLOSING and UNLISTEN. */
void pl_front_execute (struct pl_front *front, const struct pl_router_effect *effect);

/* Returns how many requests are being read, run or answered. */
unsigned pl_front_open_calls (const struct pl_front *front);

/* Returns the bytes of bodies and answers that are held now; MOST: the most that ever were. */
size_t pl_front_held_bytes (const struct pl_front *front, size_t *most);

/* One caller's request with its attempt and answer; shared by front.c and front_attempts.c. */
struct pl_front_call
{
  struct pl_front *front;
  uint64_t id;
  struct MHD_Connection *connection;
  bool suspended;
  bool submitted;
  bool done; /* an answer of ours or of the server is ready to be sent */
  bool gone; /* the caller closed its connection */
  int64_t begun_us;

  char *method;
  char *target;       /* path and query, as sent */
  char *label;        /* the caller's id for this request */
  GPtrArray *headers; /* "Name: value" that go on to a server */
  bool has_key;
  uint8_t key_hash[PL_KEY_HASH_BYTES];
  int64_t patience_us;
  uint64_t object;
  int64_t body_length; /* -1: chunked */
  bool too_large;
  bool no_room; /* the body did not fit into what this host may hold */
  size_t held;  /* bytes of body and answer */
  GByteArray *body;

  struct pl_http_call *attempt_call; /* the attempt under way */
  uint32_t attempt;
  struct pl_front_attempt *attempt_state;

  int status;
  GPtrArray *answer_headers;
  GByteArray *answer;
};

struct pl_front
{
  struct pl_front_options options;
  struct MHD_Daemon *daemon;
  GHashTable *calls; /* id -> struct pl_front_call */
  uint64_t next_id;
  struct pl_caller_limits limits;
  size_t held; /* bytes, over all calls and attempts */
  size_t held_most;
  bool closing;
  bool resumed; /* connections were resumed since the daemon last ran */
  int watch_timer;
  bool watch_armed;
};

/* front_attempts.c */
void pl_front_send (struct pl_front *front, struct pl_front_call *call,
                    const struct pl_router_effect *effect);
void pl_front_cancel (struct pl_front_call *call);
void pl_front_probe (struct pl_front *front, const struct pl_router_effect *effect);

/* front.c: the answer in CALL is ready. */
void pl_front_finish (struct pl_front_call *call);

/* front.c: adds BYTES to HELD, of a call or an attempt, and to what the front holds.  Returns
 * false, and adds nothing, when that would be more than the front may hold. */
bool pl_front_hold (struct pl_front *front, size_t *held, size_t bytes);
void pl_front_release (struct pl_front *front, size_t *held);

#endif
