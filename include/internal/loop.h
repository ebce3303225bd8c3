/* loop.h - the thread that runs the reducer.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_LOOP_H
#define POMELOLATCH_LOOP_H

#include "pomelolatch/core.h"

struct pl_loop;

struct pl_loop_options
{
  struct pl_core *core; /* owned by the loop */
  /* Executes one effect that is still valid.  Called on the loop's thread. */
  void (*execute) (void *data, struct pl_effect *effect);
  /* Handles an effect whose valid_until_us has passed, as event.h describes.  Called on the loop's
   * thread. */
  void (*on_expired) (void *data, struct pl_effect *effect);
  void *data;
};

struct pl_loop *pl_loop_new (const struct pl_loop_options *options);
void pl_loop_free (struct pl_loop *loop);

/* Starts the thread. */
void pl_loop_start (struct pl_loop *loop);

/* Queues a copy of EVENT, which takes ownership of what EVENT owns.  Its time is set when the
 * reducer processes it.  Waits while the ring is full.  Any thread. */
void pl_loop_post (struct pl_loop *loop, const struct pl_event *event);

/* Returns the reducer's report; the caller owns it.  Any thread but the loop's. */
json_t *pl_loop_report (struct pl_loop *loop);

#endif
