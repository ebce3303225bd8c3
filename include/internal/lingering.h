/* lingering.h - closes TCP connections without resetting them.
 *
 * API tier: private.
 *
 * The kernel resets a connection that is closed while it has unread bytes, or on which bytes arrive
 * afterwards, and drops what the peer has not received.  A lingering close ends the sending side,
 * and reads and discards what arrives until the peer has closed.
 */
#ifndef POMELOLATCH_LINGERING_H
#define POMELOLATCH_LINGERING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct pl_reactor;
struct pl_lingering;

struct pl_lingering_options
{
  int fd; /* of a non-blocking socket; is closed */
  /* Until when the peer may read, on the clock of pl_clock_now_us().  0: as long as it goes on
   * reading. */
  int64_t until_us;
  const char *label; /* for the log; NULL: none */
};

/* Returns an empty set of closing connections on REACTOR.  The functions below are called on the
 * reactor's thread, or when it has ended. */
struct pl_lingering *pl_lingering_new (struct pl_reactor *reactor);
/* Closes all connections.  The reactor must not run any more. */
void pl_lingering_free (struct pl_lingering *lingering);

/* Closes a connection as OPTIONS say. */
void pl_lingering_close (struct pl_lingering *lingering,
                         const struct pl_lingering_options *options);

/* Does that on a duplicate of the descriptor in OPTIONS, which its owner closes afterwards. Without
 * a free descriptor only what has arrived is discarded. */
void pl_lingering_close_copy (struct pl_lingering *lingering,
                              const struct pl_lingering_options *options);

/* Closes the oldest of the connections of which the peer has received all bytes.  Returns false if
 * there is none among the oldest few. */
bool pl_lingering_make_room (struct pl_lingering *lingering);

/* Closes all connections. */
void pl_lingering_end_all (struct pl_lingering *lingering);

/* Returns how many connections there are. */
unsigned pl_lingering_count (const struct pl_lingering *lingering);

void pl_lingering_metrics (const struct pl_lingering *lingering, GString *text);

#endif
