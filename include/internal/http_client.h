/* http_client.h - HTTP calls on one thread or on a reactor, streamed both ways.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_HTTP_CLIENT_H
#define POMELOLATCH_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>

struct pl_http_client;
struct pl_http_call;

/* What a handler's read and write return when they can not go on now; pl_http_call_wake()
 * then has them called again. */
#define PL_HTTP_PAUSE SIZE_MAX

/* How far a call came. */
enum pl_http_end
{
  PL_HTTP_WHOLE,     /* the whole answer was read */
  PL_HTTP_NOT_SENT,  /* nothing of the request left */
  PL_HTTP_NO_ANSWER, /* sent, in part or whole, without any answer */
  PL_HTTP_CUT,       /* ended within the answer */
};

/* All functions are called on the client's thread; any but done may be NULL. */
struct pl_http_handler
{
  /* One header line of the answer, with its line end; status line included.  Returns false to
   * break off: the connection is then not used again. */
  bool (*header) (void *data, const char *line, size_t length);
  /* Bytes of the answer.  Returns LENGTH, PL_HTTP_PAUSE, or another number to break off. */
  size_t (*write) (void *data, const char *bytes, size_t length);
  /* Fills at most LENGTH bytes of the request body.  Returns their number, 0 at the end, or
   * PL_HTTP_PAUSE. */
  size_t (*read) (void *data, char *bytes, size_t length);
  /* The call is over; called exactly once. */
  void (*done) (void *data, enum pl_http_end end, int status);
};

struct pl_http_call_options
{
  const char *method;
  const char *url;
  const char *const *headers; /* "Name: value", NULL-ended */
  int64_t body_length;        /* -1: chunked; 0: none */
  int64_t timeout_us;
  bool fresh_connection;      /* neither use nor keep a kept connection */
  bool send_once;             /* never sent again by itself, also when a kept connection was dead */
  int64_t connect_timeout_us; /* 0: the default */
  int64_t unacked_limit_us;   /* sent bytes that the other end's host does not acknowledge for so
                                 long end the connection; 0: the default */
  int idle_limit_s;           /* a connection idle for longer is not used again; 0: the default */
  const struct pl_http_handler *handler;
  void *data;
};

/* Returns a client with a thread of its own; ended by pl_http_client_free(), which breaks off
 * all calls. */
struct pl_http_client *pl_http_client_new (const char *name);
void pl_http_client_free (struct pl_http_client *client);

/* Returns a client that runs on REACTOR, which must outlive it; its functions then belong to the
 * reactor's thread. */
struct pl_reactor;
struct pl_http_client *pl_http_client_new_on (struct pl_reactor *reactor);

/* Starts a call.  Returns a reference that the caller ends with pl_http_call_unref(). */
struct pl_http_call *pl_http_client_start (struct pl_http_client *client,
                                           const struct pl_http_call_options *options);
void pl_http_call_wake (struct pl_http_call *call);
void pl_http_call_cancel (struct pl_http_call *call);
void pl_http_call_unref (struct pl_http_call *call);

/* A call with a text there and a text back.  DONE gets the answer, owned by the client, or NULL;
 * it is called on the client's thread. */
typedef void (*pl_http_text_function) (void *data, enum pl_http_end end, int status,
                                       const char *text);
struct pl_http_fetch
{
  const char *method;
  const char *url;
  const char *header; /* one more, or NULL */
  const char *body;   /* or NULL */
  int64_t timeout_us;
  bool fresh_connection;
  pl_http_text_function done;
  void *data;
};

/* Nothing that WANTED points to but its data need outlive the call. */
void pl_http_client_fetch (struct pl_http_client *client, const struct pl_http_fetch *wanted);

#endif
