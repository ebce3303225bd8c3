/* exchange.h - a caller's request and its answer, shared between the threads that transfer them.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_EXCHANGE_H
#define POMELOLATCH_EXCHANGE_H

#include "internal/http_client.h"
#include "pomelolatch/event.h"

#include <microhttpd.h>

/* A body of at most this many bytes is buffered whole, so that it can be sent again. */
#define PL_BODY_BUFFERED_BYTES_MAX ((size_t) 256 << 10)
/* Limit of the unread bytes of a streamed body in memory, in each direction. */
#define PL_BODY_WINDOW ((size_t) 256 << 10)
/* An answer is forwarded to the caller once it is complete or longer than this. */
#define PL_ANSWER_BUFFERED_BYTES_MAX ((size_t) 64 << 10)

/* Bytes of a body that one thread appends and another reads. */
struct pl_pipe
{
  GByteArray *bytes;
  size_t read_offset;
  bool ended;
};

struct pl_exchange
{
  int references;
  GMutex lock;
  uint64_t id;
  struct MHD_Connection *connection; /* NULL once libmicrohttpd has completed the request */
  bool suspended;
  bool is_lookup;
  bool head_checked;
  bool submitted;   /* posted to the reducer */
  bool caller_done; /* the answer was sent or the caller's connection was closed */

  char *method;
  char *target;       /* path and query without any key */
  GPtrArray *headers; /* "Name: value" lines that are forwarded */
  char *raw_target;
  struct pl_request_event event;
  int64_t body_length; /* -1: chunked */
  int64_t body_received;
  bool streamed;      /* the body is not buffered whole */
  bool body_consumed; /* part of a streamed body has been sent */
  struct pl_pipe body;

  struct pl_http_call *call; /* the current attempt's, or NULL */
  uint32_t attempt;
  bool answer_started; /* the answer to the caller has begun */
  bool answer_truncated;
  bool from_server; /* the answer is an attempt's, not a refusal or a replay */
  int status;
  GPtrArray *answer_headers;
  int64_t answer_length; /* -1: unknown */
  int64_t answer_received;
  struct pl_pipe answer;
};

/* Returns an exchange with one reference for the caller's side. */
struct pl_exchange *pl_exchange_new (uint64_t id);
struct pl_exchange *pl_exchange_ref (struct pl_exchange *exchange);
void pl_exchange_unref (struct pl_exchange *exchange);

/* The caller of each of these functions holds the exchange's lock. */
void pl_exchange_suspend (struct pl_exchange *exchange);
void pl_exchange_resume (struct pl_exchange *exchange);
size_t pl_pipe_unread (const struct pl_pipe *pipe);
void pl_pipe_append (struct pl_pipe *pipe, const void *bytes, size_t length);
/* Reads up to LENGTH bytes; KEEP leaves them in memory for a later rewind. */
size_t pl_pipe_read (struct pl_pipe *pipe, void *bytes, size_t length, bool keep);

#endif
