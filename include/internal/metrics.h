/* metrics.h - a report in the Prometheus text format.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_METRICS_H
#define POMELOLATCH_METRICS_H

#include <jansson.h>

/* Returns REPORT, made by pl_core_report(), as text; the caller frees it with g_free(). */
char *pl_metrics_format (const json_t *report);

#endif
