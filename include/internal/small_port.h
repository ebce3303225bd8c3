/* small_port.h - a minimal HTTP server on the reactor, for short GET requests that are answered at
 * once.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_SMALL_PORT_H
#define POMELOLATCH_SMALL_PORT_H

#include "internal/reactor.h"

#include <glib.h>
#include <microhttpd.h>

struct pl_small_port_answer
{
  GString *body;
  const char *type;     /* static; JSON unless the handler sets another one */
  const char *encoding; /* of the body (Content-Encoding), static; NULL: none */
};

/* Answers a GET of PATH: fills ANSWER and returns the status. */
typedef int (*pl_small_port_handler) (void *data, struct MHD_Connection *connection,
                                      const char *path, struct pl_small_port_answer *answer);

struct pl_small_port_options
{
  const char *address;
  struct pl_reactor *reactor;
  pl_small_port_handler answer;
  void *data;
  struct pl_lingering *lingering; /* for its connections; NULL: they are closed at once */
};

/* Starts a server that runs until the process ends.  Returns 0 or PL_ERR_UNAVAILABLE. */
int pl_small_port_open (const struct pl_small_port_options *options);

#endif
