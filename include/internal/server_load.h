/* server_load.h - what a backend server reports of its load.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_SERVER_LOAD_H
#define POMELOLATCH_SERVER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* A load report, as sent with an answer. */
struct pl_load_report
{
  int running; /* requests */
  int waiting; /* requests */
  int slots;
  int work_percent; /* time that work takes there now, of the usual; 0: not reported */
};

#endif
