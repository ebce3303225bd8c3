/* http_client.h - asynchronous HTTP client on a thread of its own or on a reactor; streams request
 * and answer bodies.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_HTTP_CLIENT_H
#define POMELOLATCH_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>

struct pl_answer_head;
struct pl_http_client;
struct pl_http_call;

/* Returned by a handler's read or write that cannot continue now.  It is called again after
 * pl_http_call_resume(). */
#define PL_HTTP_PAUSE SIZE_MAX

/* How far a call got. */
enum pl_http_end
{
  PL_HTTP_COMPLETE,  /* the complete answer was read */
  PL_HTTP_NOT_SENT,  /* no byte of the request was sent */
  PL_HTTP_NO_ANSWER, /* sending had begun; no line of an answer was read */
  PL_HTTP_TRUNCATED, /* failed after the answer had begun */
};

/* All functions are called on the client's thread; any but done may be NULL. */
struct pl_http_handler
{
  /* Get the parts of a head, of an interim answer or the final one: its status, whose line has
   * LENGTH bytes; a field; its end.  What belongs to an earlier head is void when another begins.
   * Trailers are not passed on.  Return false to abort the call and close its connection. */
  bool (*head_begun) (void *data, int status, size_t length);
  bool (*field) (void *data, const char *name, const char *value);
  bool (*head_ended) (void *data, const struct pl_answer_head *head);
  /* Gets bytes of the answer's body.  Returns LENGTH, PL_HTTP_PAUSE, or any other number to abort
   * the call. */
  size_t (*write) (void *data, const char *bytes, size_t length);
  /* Fills at most LENGTH bytes of the request body.  Returns their number, 0 at its end, or
   * PL_HTTP_PAUSE. */
  size_t (*read) (void *data, char *bytes, size_t length);
  /* Called exactly once, when the call has ended.  STATUS is that of the last head. */
  void (*done) (void *data, enum pl_http_end end, int status);
};

struct pl_http_call_options
{
  const char *method;
  const char *url;
  const char *target;         /* sent unchanged in place of the URL's path and query; NULL: those */
  const char *const *headers; /* "Name: value", NULL-terminated */
  int64_t body_length;        /* -1: chunked; 0: no body */
  int64_t timeout_us;
  bool fresh_connection;      /* open a new connection and close it afterwards */
  bool accept_gzip;           /* ask for an answer in gzip, too; handlers get it decoded */
  bool only_kept_connection;  /* the call ends as not sent if it requires a new one */
  bool send_at_most_once;     /* never resend, not even when a kept-alive connection was closed */
  int64_t connect_timeout_us; /* 0: the default */
  int64_t unacked_limit_us;   /* the connection fails when sent bytes stay unacknowledged for this
                                 long (TCP_USER_TIMEOUT); 0: the default */
  int idle_limit_s;           /* a connection idle for longer is not reused; 0: the default */
  const struct pl_http_handler *handler;
  void *data;
};

/* Returns a client with a thread of its own.  pl_http_client_free() aborts all calls and ends the
 * thread. */
struct pl_http_client *pl_http_client_new (const char *name);
void pl_http_client_free (struct pl_http_client *client);

/* Returns a client that runs on REACTOR, which must outlive it; the functions below are then called
 * on the reactor's thread only. */
struct pl_reactor;
struct pl_http_client *pl_http_client_new_on_reactor (struct pl_reactor *reactor);

/* Starts a call.  Returns a reference, to be released with pl_http_call_unref(). */
struct pl_http_call *pl_http_client_start (struct pl_http_client *client,
                                           const struct pl_http_call_options *options);
/* Resumes a call whose handler returned PL_HTTP_PAUSE. */
void pl_http_call_resume (struct pl_http_call *call);
/* Aborts a call that has not ended yet; its done function is called.  As after each call that does
 * not end with a complete answer, the connection is reset: what the server has not received yet is
 * lost. */
void pl_http_call_cancel (struct pl_http_call *call);
void pl_http_call_unref (struct pl_http_call *call);
/* Returns whether the call has opened a connection, successfully or not, rather than used a kept
 * one.  For use on the client's thread, until the call's done function has returned. */
bool pl_http_call_opened_connection (const struct pl_http_call *call);

/* Gets the result of a fetch; called on the client's thread.  TEXT is the body of the answer as far
 * as it was read; the client owns it. */
typedef void (*pl_http_fetch_function) (void *data, enum pl_http_end end, int status,
                                        const char *text);

/* A request and an answer whose bodies are texts. */
struct pl_http_fetch
{
  const char *method;
  const char *url;
  const char *header; /* an additional header line, or NULL */
  const char *body;   /* or NULL */
  int64_t timeout_us;
  bool fresh_connection;
  bool accept_gzip;          /* of the answer; the limit on its bytes is on those decoded */
  const char *answer_header; /* name of a header of the answer, or NULL; static */
  /* Gets the value of that header, if the answer has it, before DONE is called. */
  void (*on_answer_header) (void *data, const char *value);
  /* Called when bytes of the answer's body have arrived.  BYTES: those so far, decoded;
   * WIRE_BYTES: of the whole body as sent, 0 if the head does not tell it.  NULL: not called. */
  void (*on_bytes) (void *data, int64_t wire_bytes, int64_t bytes);
  pl_http_fetch_function done;
  void *data;
};

/* Starts REQUEST.  Only its DATA must outlive the call of this function. */
void pl_http_client_fetch (struct pl_http_client *client, const struct pl_http_fetch *request);

#endif
