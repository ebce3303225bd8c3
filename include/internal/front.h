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

#endif
