/* front_pipeline.h - requests that callers send behind one another on a connection, and callers
 * that do not read their answers.
 *
 * API tier: private.
 *
 * A caller's connection on which requests are pipelined has a pipeline.  Each of its requests is
 * read by a lane: a connection of libmicrohttpd that gets the head of one request over a socket
 * pair.  When the answers before it have been written, the lane's descriptor is made to refer to
 * the caller's socket, and libmicrohttpd writes the answer there.
 */
#ifndef POMELOLATCH_FRONT_PIPELINE_H
#define POMELOLATCH_FRONT_PIPELINE_H

#include "internal/front.h"

struct pl_front_pipeline;

/* A connection of a caller or a peer, or a lane. */
struct pl_front_connection
{
  struct pl_front_port *port;
  int fd;
  struct MHD_Connection *handle; /* NULL: no daemon has it yet */
  /* The kept connection of which a wide one has taken the socket; NULL: none. */
  struct pl_front_connection *origin;
  bool is_wide;
  bool is_watched; /* the reactor tells what arrives */
  bool awaits_head;
  bool is_spent;  /* nothing more is read from it */
  bool has_input; /* there may be bytes, or an end, that have not been looked at */
  bool has_ended; /* the reactor has told of the end of what is sent on it */
  bool is_reset;  /* on purpose, as its caller does not read */
  /* Of the last request that was answered on a caller's connection: its id (NULL: none), and until
   * when its caller waits (0: it has not said). */
  char *answered_id;
  int64_t answered_until_us;
  /* Since when its head waits for the memory to have it read; 0: it does not. */
  int64_t lacks_memory_since_us;
  int64_t awaits_since_us;
  size_t reserved_bytes;            /* of the front's memory limit */
  struct pl_front_request *request; /* that libmicrohttpd is processing; NULL: none */

  /* What has been read from the socket, in bytes, as far as the front can tell. */
  uint64_t read_bytes;
  bool is_uncounted; /* the front can not tell */

  struct pl_front_pipeline *pipeline; /* that it has, or that it is a lane of; NULL: none */
  bool is_lane;
  bool has_turn; /* a lane whose answer is written now */
  bool is_lost;  /* a lane that libmicrohttpd has closed before its turn */
  int feed_fd;   /* of a lane, over which it gets the head; -1: closed */
};

/* front_connections.c */
struct pl_front_connection *pl_front_new_connection (struct pl_front_port *port, int fd);
/* Releases CONNECTION, whose descriptor is closed or belongs to libmicrohttpd. */
void pl_front_free_connection (struct pl_front_connection *connection);
/* Closes a caller's connection that no daemon has, without a reset. */
void pl_front_close_connection (struct pl_front_connection *connection);
/* Makes the descriptor of CONNECTION refer to what FD does.  libmicrohttpd must not have it in its
 * epoll set. */
void pl_front_bind_connection (const struct pl_front_connection *connection, int fd);
/* Gives CONNECTION to DAEMON.  If that fails, ends it and returns false. */
bool pl_front_give_to_daemon (struct pl_front_connection *connection, struct MHD_Daemon *daemon);
/* Has the daemon go on with CONNECTION, which it has suspended. */
void pl_front_resume_connection (struct pl_front_connection *connection);
/* Has the daemon close CONNECTION, which it has suspended, and not the caller's socket. */
void pl_front_detach_connection (struct pl_front_connection *connection);
void pl_front_watch_connection (struct pl_front_connection *connection);
void pl_front_unwatch_connection (struct pl_front_connection *connection);
/* Waits for the next head on CONNECTION. */
void pl_front_await_head (struct pl_front_connection *connection);
/* Returns whether the narrow daemon has the memory for a head of SIZE. */
bool pl_front_head_is_narrow (const struct pl_head_size *size);
/* Peeks at what has arrived on CONNECTION, into the front's buffer.  LIMIT gets how much is read at
 * most.  Returns what recv() returns. */
ssize_t pl_front_peek (const struct pl_front_connection *connection, size_t *limit);

/* front_heads.c: returns whether the whole head TEXT is that of a GET without a body that leaves
 * its connection open, and in the strict form that no HTTP server refuses. */
bool pl_front_head_is_plain (const char *text, size_t length);

/* front_pipeline.c */
/* Opens the sockets that lanes refer to while they do not refer to a caller's. */
bool pl_front_open_pairs (struct pl_front *front);
void pl_front_close_pairs (const struct pl_front *front);
/* Has the heads at the start of the LENGTH bytes in the front's buffer, the first of FIRST_BYTES,
 * read by lanes if CONNECTION, which awaits a head, pipelines.  Returns whether it did. */
bool pl_front_begin_pipeline (struct pl_front_connection *connection, size_t length,
                              size_t first_bytes);
/* Has the requests read that have arrived on CONNECTION behind those in progress, as far as they
 * may run ahead. */
void pl_front_read_ahead (struct pl_front_connection *connection);
/* Returns whether requests of CONNECTION, a caller's, are in progress in lanes. */
bool pl_front_has_lanes (const struct pl_front_connection *connection);
/* The request of CONNECTION was posted to the router. */
void pl_front_on_submitted (struct pl_front_connection *connection);
/* Returns whether the answer to the request of CONNECTION may be written now.  If not, its turn
 * comes by pl_front_finish(). */
bool pl_front_take_turn (struct pl_front_connection *connection);
/* Called when the answer is queued: from now on CONNECTION refers to the caller's socket. */
void pl_front_bind_turn (struct pl_front_connection *connection);
/* Returns whether CONNECTION is a lane whose turn has not come. */
bool pl_front_awaits_turn (const struct pl_front_connection *connection);
/* Returns the caller's connection of CONNECTION, which may be a lane; NULL: it has ended. */
struct pl_front_connection *pl_front_caller_of (struct pl_front_connection *connection);
/* Returns whether requests behind that of CONNECTION are in progress, so that its answer must leave
 * the caller's connection open. */
bool pl_front_has_requests_behind (const struct pl_front_connection *connection);
/* The answer to the request of CONNECTION closes the caller's connection. */
void pl_front_note_closing (struct pl_front_connection *connection);
/* Returns whether the caller of CONNECTION has ended at least its sending side. */
bool pl_front_caller_has_closed (const struct pl_front_connection *connection);
/* The answer of LANE was written.  Returns whether the lane was suspended, for
 * pl_front_retire_lane(); if not, libmicrohttpd closes it. */
bool pl_front_hold_lane (struct pl_front_connection *lane);
/* LANE is suspended and has no further use: ends the lane, and gives the next one its turn. */
void pl_front_retire_lane (struct pl_front_connection *lane);
/* libmicrohttpd has closed LANE. */
void pl_front_end_lane (struct pl_front_connection *lane);
/* The caller's connection of PIPELINE has ended. */
void pl_front_end_pipeline (struct pl_front_pipeline *pipeline);
/* Ends connections whose callers do not read their answers. */
void pl_front_check_readers (struct pl_front *front, int64_t now_us);
/* Counts and logs that REQUEST's connection was ended after STALLED_US without progress. */
void pl_front_note_unread (struct pl_front_request *request, int64_t stalled_us);

#endif
