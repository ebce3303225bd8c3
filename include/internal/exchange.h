/* exchange.h - one caller's request and its answer, shared between the threads that move them.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_EXCHANGE_H
#define POMELOLATCH_EXCHANGE_H

#include "internal/http_client.h"
#include "pomelolatch/event.h"

#include <microhttpd.h>

/* A body of at most this many bytes is held whole and can be sent again. */
#define PL_BODY_HELD_MAX ((size_t) 256 << 10)
/* What a streamed body may have waiting in memory, each way. */
#define PL_BODY_WINDOW ((size_t) 256 << 10)
/* An answer is passed on only when it is whole or longer than this. */
#define PL_ANSWER_HELD_MAX ((size_t) 64 << 10)

struct pl_pipe
{
  GByteArray *bytes;
  size_t taken; /* from the front */
  bool ended;
};

struct pl_exchange
{
  int references;
  GMutex lock;
  uint64_t id;
  struct MHD_Connection *connection; /* until the caller's side has let go */
  bool suspended;
  bool is_lookup;
  bool begun;     /* the headers have been looked at */
  bool submitted; /* the reducer knows of it */
  bool caller_done;

  char *method;
  char *target;       /* path and query without any key */
  GPtrArray *headers; /* "Name: value" that may be sent on */
  char *raw_target;
  struct pl_request_event event;
  int64_t body_length; /* -1: chunked */
  int64_t body_seen;
  bool streamed;      /* the body is not held whole */
  bool body_consumed; /* part of a streamed body has been sent */
  struct pl_pipe body;

  struct pl_http_call *call; /* the attempt under way */
  uint32_t attempt;
  bool answer_open; /* the caller is being answered */
  bool answer_cut;
  bool from_server; /* what is passed on came whole from a backend server */
  int status;
  GPtrArray *answer_headers;
  int64_t answer_length; /* -1: not told */
  int64_t answer_seen;
  struct pl_pipe answer;
};

/* Returns an exchange with one reference for the caller's side. */
struct pl_exchange *pl_exchange_new (uint64_t id);
struct pl_exchange *pl_exchange_ref (struct pl_exchange *exchange);
void pl_exchange_unref (struct pl_exchange *exchange);

/* The caller of each of these holds the lock. */
void pl_exchange_suspend (struct pl_exchange *exchange);
void pl_exchange_resume (struct pl_exchange *exchange);
size_t pl_pipe_waiting (const struct pl_pipe *pipe);
void pl_pipe_add (struct pl_pipe *pipe, const void *bytes, size_t length);
/* Moves up to LENGTH bytes out; KEEP leaves them in memory for a later rewind. */
size_t pl_pipe_take (struct pl_pipe *pipe, void *bytes, size_t length, bool keep);

#endif
