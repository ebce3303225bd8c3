/* front_fixture.h - a front on a reactor of its own, with the test as the router, the backend
 * server and the caller, on the loopback.
 *
 * API tier: private.
 */
#ifndef FRONT_FIXTURE_H
#define FRONT_FIXTURE_H

#include "internal/front.h"
#include "internal/reactor.h"

#include <pthread.h>

#define ATTEMPTS_MAX 8

/* What the server sends as answer to a request, by its number on its connection. */
struct front_script
{
  const char *answers[ATTEMPTS_MAX];
};

struct front_fixture
{
  /* Answers TEXT, the head of a request, on the server's connection FD, in place of the script.
   * Returns false to close the connection.  May be NULL. */
  bool (*on_request) (struct front_fixture *fixture, int fd, const char *text);
  /* Decides in place of the router, with front_add_effect().  May be NULL. */
  void (*on_event) (struct front_fixture *fixture, const struct pl_router_event *event);
  void *data; /* of these functions */
  const struct front_script *script;
  bool closes;  /* the server closes a connection after its last answer */
  bool resets;  /* the server resets a connection after its last answer */
  bool repeats; /* the server sends each answer once more, when it has been read */
  int listener;
  uint16_t port;
  int connections; /* accepted by the server; atomic */
  int requests;    /* that the server got; atomic */
  pthread_t server;

  struct pl_reactor *reactor;
  struct pl_http_client *client;
  struct pl_front *front;
  char caller_address[PL_ADDRESS_CHARS];
  pthread_t reactor_thread;
  int timer;
  bool tries_again; /* once, at the same address, when the server did not run a request */
  bool at_most_once;
  int attempts; /* that have ended; atomic */
  enum pl_attempt_end ends[ATTEMPTS_MAX];
  GQueue effects;     /* of struct pl_router_effect; on the reactor's thread */
  gint stopping;      /* atomic */
  gint probe_due;     /* atomic */
  gint probed;        /* atomic */
  bool is_healthy;    /* as the last probe found */
  bool has_load;      /* the last attempt or probe brought a load report */
  gint callers_gone;  /* that the front reported; atomic */
  gint keepalive_due; /* to be disabled; atomic */
  gint closing_due;   /* of idle connections; atomic */
  struct pl_load_report load;
};

void set_up_front (struct front_fixture *fixture, const struct front_script *script);
void tear_down_front (struct front_fixture *fixture);
/* Has the front execute a copy of EFFECT; to be called from on_event(). */
void front_add_effect (struct front_fixture *fixture, const struct pl_router_effect *effect);
/* Returns a caller's connection, with RECEIVE_BYTES of buffer if they are not 0. */
int connect_to_front (const struct front_fixture *fixture, int receive_bytes);
/* Returns a connection of a caller that has sent a request with ID, or without one if it is NULL.
 */
int begin_exchange (const struct front_fixture *fixture, const char *method, const char *id);
/* Sends a request with ID, or without one if it is NULL, and returns all that the caller gets. */
char *exchange (const struct front_fixture *fixture, const char *method, const char *id);
/* Returns the status of an answer, or 0 if there is none. */
int status_of (const char *answer);
/* Sends a GET with ID, or without one if it is NULL, and returns the status of the answer. */
int request (const struct front_fixture *fixture, const char *id);
/* Returns when a probe has ended. */
void probe (struct front_fixture *fixture);

#endif
