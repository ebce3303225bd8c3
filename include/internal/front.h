/* front.h - the callers' HTTP front, on a reactor.  Requests and answers are buffered whole; the
 * router decides what becomes of each request.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_FRONT_H
#define POMELOLATCH_FRONT_H

#include "internal/dialect.h"

#include <microhttpd.h>

struct pl_lingering;
struct pl_reactor;
struct pl_front;

struct pl_front_options
{
  const char *address;          /* IP:port on which it listens for callers */
  const char *handover_address; /* on which it takes hand-overs of peers; NULL: takes none */
  const struct pl_dialect *dialect;
  struct pl_reactor *reactor;
  struct pl_http_client *client;
  size_t memory_limit; /* bytes of buffered bodies and answers, all callers; 0: 64 MiB */
  /* Posts an event to the router.  Never called from within pl_front_execute(). */
  void (*post) (void *data, struct pl_router_event *event);
  void *data;
};

/* Returns a front that listens on its address, or NULL on failure. */
struct pl_front *pl_front_new (const struct pl_front_options *options);

/* Executes an effect of the router that concerns a request, a probe, the limits of callers or
 * the listening socket; ignores others. */
void pl_front_execute (struct pl_front *front, const struct pl_router_effect *effect);

/* Returns the number of requests that are being read, processed or answered. */
unsigned pl_front_open_requests (const struct pl_front *front);

/* The connections that the front, and other ports, have ended and are about to close. */
struct pl_lingering *pl_front_lingering (const struct pl_front *front);

/* Closes the callers' connections on which no request is in progress.  The front must have stopped
 * listening. */
void pl_front_close_idle (struct pl_front *front);

/* Returns the bytes of bodies and answers that are buffered now; PEAK gets the highest value so
 * far. */
size_t pl_front_buffered_bytes (const struct pl_front *front, size_t *peak);

/* Returns the number of load reports so far that could not be read. */
uint64_t pl_front_malformed_loads (const struct pl_front *front);
/* Appends the front's metrics to TEXT. */
void pl_front_metrics (const struct pl_front *front, GString *text);

/* Headers between entry hosts.  A hand-over carries the version of the sender's configuration and
 * the number of attempts at servers so far; a peer's own refusal of it the reason and the number of
 * attempts.  Both are removed from what callers send. */
#define PL_FRONT_HANDOVER_HEADER "Pomelolatch-Handover"
#define PL_FRONT_REFUSAL_HEADER "Pomelolatch-Refusal"

/* The longest head of a request that a configuration may allow, in bytes, and what callers may send
 * where it sets no limit. */
#define PL_FRONT_HEAD_BYTES_MAX ((size_t) 64 << 10)
#define PL_FRONT_HEAD_BYTES_DEFAULT ((size_t) 16 << 10)

/* A connection on which nothing arrives, or of which the caller reads nothing, for this long.
 * Callers wait for at most some seconds, so that it has gone; a caller that reads slowly may take
 * most of this time between two updates of its TCP window. */
#define PL_FRONT_STALLED_S 60u

/* A connection of a caller or a peer; see front_pipeline.h. */
struct pl_front_connection;

/* A port on which the front listens. */
struct pl_front_port
{
  struct pl_front *front;
  struct MHD_Daemon *daemon;      /* NULL: not open */
  struct MHD_Daemon *wide_daemon; /* for heads that take much memory; NULL: there was none yet */
  unsigned wide_count;            /* connections that it has */
  GHashTable *connections;        /* set of struct pl_front_connection */
  GHashTable *joining;            /* descriptor -> the one that is being given to a daemon */
  GPtrArray *between_requests;    /* those that have ended a request since the daemon last ran */
  /* Those on which something has arrived behind a request that was posted since then. */
  GPtrArray *submitted;
  int listener;       /* -1: closed */
  bool accepts_later; /* there was no descriptor for a connection */
  bool takes_handovers;
  bool needs_run; /* connections were resumed, or have more to read, since the daemon last ran */
};

/* Attempts of a request that may run at once: the second is a copy of the first. */
#define PL_FRONT_ATTEMPTS_MAX 2

/* A caller's request with its attempts and its answer; shared by front.c and front_attempts.c. */
struct pl_front_request
{
  struct pl_front *front;
  struct pl_front_port *port;
  uint64_t id;
  struct MHD_Connection *connection;
  struct pl_front_connection *link; /* the same connection, as the front knows it */
  bool suspended;
  bool submitted;
  bool answer_ready; /* an answer, made here or by a server, is ready to be sent */
  bool caller_gone;  /* the caller closed its connection */
  bool closes;       /* the connection has no further use */
  bool is_written;   /* the whole answer, without libmicrohttpd */
  bool is_http_1_1;
  int64_t begun_us;

  char *method;
  char *target;         /* path and query, as sent */
  char *correlation_id; /* request id given by the caller; may be empty */
  GPtrArray *headers;   /* "Name: value", forwarded to the server */
  char *authorization;  /* header with the API key, for hand-overs only; NULL: none */
  bool has_key;
  uint8_t key_hash[PL_KEY_HASH_BYTES];
  int64_t handover_version;
  int handover_attempts;
  int64_t caller_timeout_us;
  uint64_t object;
  int64_t body_length; /* -1: chunked */
  bool too_large;
  bool no_memory;        /* the body exceeded the memory limit */
  size_t buffered_bytes; /* of body and answer */
  GByteArray *body;
  size_t taken_bytes; /* at most, of the connection's memory */

  GPtrArray *addresses; /* to which it was sent */
  /* Those that run, and those whose whole answer may still be delivered; NULL: none. */
  struct pl_front_attempt *attempts[PL_FRONT_ATTEMPTS_MAX];

  int status;
  GPtrArray *answer_headers;
  GByteArray *answer;
  struct pl_front_direct *direct; /* the answer while it is written without libmicrohttpd */
  /* While the answer is written: what the caller has acknowledged, when that last grew, and when it
   * is to be looked at again. */
  uint64_t acked_bytes;
  int64_t progress_us;
  int64_t progress_check_us;
};

struct pl_front
{
  struct pl_front_options options;
  struct pl_front_port callers;
  struct pl_front_port handovers;
  GHashTable *requests; /* id -> struct pl_front_request */
  uint64_t next_id;
  struct pl_caller_limits limits;
  size_t buffered_bytes; /* over all requests and attempts */
  size_t buffered_peak;
  struct pl_lingering *lingering;
  uint64_t answers_cut; /* that could not be written whole */
  struct pl_load_findings load_findings;
  bool keepalive_disabled; /* each answer closes its connection */
  int spare_fd;            /* closed to accept a connection when no descriptor is left */
  int caller_check_timer;
  bool caller_check_armed;
  int connections_timer;
  int64_t connections_due_us; /* when that timer expires; 0: it is not armed */
  char *peeked;               /* the bytes of heads that have not been read */
  unsigned lanes;             /* see front_pipeline.c */
  int idle_fds[2];            /* a socket pair; lanes refer to the first before their answers */
  int ended_fd;               /* a socket whose peer has closed; lanes refer to it after them */
  unsigned pipelines;         /* callers' connections on which requests were sent ahead */
  uint64_t requests_ahead;    /* that were read while one before them was in progress */
  uint64_t unread_ended;      /* connections ended because the caller did not read */
};

/* How much a request's head takes; see front_heads.c. */
struct pl_head_size
{
  size_t bytes;
  size_t fields;       /* headers, query parameters and cookies */
  size_t copied_bytes; /* of cookies */
  bool has_request_line;
};

/* front_heads.c: measures the head at the start of TEXT.  Returns whether it is whole; if not, SIZE
 * covers what there is. */
bool pl_front_measure_head (const char *text, size_t length, struct pl_head_size *size);

/* front_connections.c: closes the idle connections of PORT; see pl_front_close_idle(). */
void pl_front_close_idle_connections (struct pl_front_port *port);
/* Opens the daemons of PORT.  Returns a negative error number on failure. */
int pl_front_open_daemons (struct pl_front_port *port);
void pl_front_start_checks (struct pl_front *front);
/* Takes the accepted connection FD, or closes it if there are too many. */
void pl_front_add_connection (struct pl_front_port *port, int fd);
unsigned pl_front_connections_open (const struct pl_front_port *port);
/* Has the daemons read and write what they can. */
void pl_front_run_daemons (struct pl_front_port *port);
/* Returns whether that is to be repeated at once. */
bool pl_front_has_more_to_read (const struct pl_front_port *port);
/* A callback of libmicrohttpd: a connection has been added, or has ended. */
void pl_front_on_connection (void *data, struct MHD_Connection *handle, void **context,
                             enum MHD_ConnectionNotificationCode code);
struct pl_front_connection *pl_front_connection_of (struct MHD_Connection *handle);
void pl_front_on_request_begun (struct pl_front_connection *connection,
                                struct pl_front_request *request);
/* The head of CONNECTION's request was read. */
void pl_front_on_head_read (struct pl_front_connection *connection);
/* IS_WHOLE: its answer was written.  Takes the id of the request. */
void pl_front_on_request_ended (struct pl_front_connection *connection, bool is_whole);
/* Returns whether CONNECTION ends with its answer. */
bool pl_front_connection_is_wide (const struct pl_front_connection *connection);
/* Returns whether nothing more is to be read from CONNECTION. */
bool pl_front_connection_is_spent (const struct pl_front_connection *connection);
/* Returns how much of its connection's memory REQUEST takes at most. */
size_t pl_front_measure_taken (const struct pl_front_request *request);
/* Returns whether libmicrohttpd certainly has the memory to build the head of the answer. */
bool pl_front_answer_head_fits (const struct pl_front_request *request);
/* Returns how many bytes the head of a request on PORT may have. */
size_t pl_front_head_limit (const struct pl_front_port *port);
/* Returns whether the head of REQUEST exceeds the limit of the configuration. */
bool pl_front_head_is_too_long (const struct pl_front_request *request);

/* front.c: starts a daemon for connections of PORT with MEMORY bytes each.  Returns NULL on
 * failure. */
struct MHD_Daemon *pl_front_start_daemon (struct pl_front_port *port, size_t memory);

/* front_attempts.c */
void pl_front_start_attempt (struct pl_front *front, struct pl_front_request *request,
                             const struct pl_router_effect *effect);
void pl_front_start_handover (struct pl_front *front, struct pl_front_request *request,
                              const struct pl_router_effect *effect);
/* Takes the whole answer to the attempt NUMBER of REQUEST, with STATUS, as the one to be sent to
 * the caller. */
void pl_front_take_answer (struct pl_front_request *request, uint32_t number, int status);
/* Cancels the attempt NUMBER of REQUEST, or discards its answer. */
void pl_front_cancel_attempt (struct pl_front_request *request, uint32_t number);
/* Does that with all its attempts. */
void pl_front_cancel_attempts (struct pl_front_request *request);
void pl_front_start_probe (struct pl_front *front, const struct pl_router_effect *effect);

/* front.c: marks the answer of REQUEST as ready and, if it is its turn, resumes its connection to
 * send it. */
void pl_front_finish (struct pl_front_request *request);
/* front.c: tells the router that the caller of REQUEST has gone. */
void pl_front_report_caller_gone (struct pl_front_request *request);

/* front_direct.c: suspends the connection of REQUEST and writes the answer to it, whatever memory
 * the connection has; then resumes it to be closed, the caller's connection only if CLOSES. */
void pl_front_send_directly (struct pl_front_request *request, bool closes);
/* Ends such an answer if its caller does not read it. */
void pl_front_check_direct (struct pl_front_request *request, int64_t now_us);

/* front.c: adds BYTES to *BUFFERED_BYTES, the count of a request or an attempt, and to the total of
 * the front.  Returns false, and adds nothing, when the total would exceed the memory limit.  When
 * *BUFFERED_BYTES would become large, only a part of the memory limit may be used. */
bool pl_front_reserve_memory (struct pl_front *front, size_t *buffered_bytes, size_t bytes);
/* Subtracts *BUFFERED_BYTES from the total of the front and sets it to 0. */
void pl_front_release_memory (struct pl_front *front, size_t *buffered_bytes);

#endif
