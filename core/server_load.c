/* The load that a backend server reports.
 *
 * The queue of a server changes within its work time, and its speed where it shares
 * its machine with others within half a second.  Both are therefore forgotten by
 * half-lives: of the queue, what other hosts have there; of the speed, what differs
 * from the usual.  A server whose reports stop is soon judged by this host's own
 * requests and its measured work time alone.
 *
 * A server that reports a wrong speed all the time gains nothing by it: its work time
 * is measured relative to the speed it reports, so that the product is the time
 * measured.  For the same to hold once the report is old, the speed is forgotten
 * towards the average of the server's own reports, not towards 1.
 */
#include "internal/server_load.h"

#include <glib.h>
#include <math.h>

#define REPORT_HALF_LIFE_US 250000.0
/* Servers that share their machines are slow for about 600 ms at a time.  A report is on average
 * from the middle of such a phase. */
#define SPEED_HALF_LIFE_US 300000.0
/* Weight of a report in the average of a server's speeds: of some fifty reports, far more than come
 * in one phase. */
#define USUAL_SMOOTHING 0.02
/* Reported speeds outside these bounds are limited to them: no machine works that much faster than
 * usual, and one slower than that gets no requests anyway. */
#define WORK_PERCENT_LOW 50
#define WORK_PERCENT_HIGH 1000
/* More requests or slots than a server has. */
#define COUNT_MAX 1000000
/* Servers queue this many requests for each slot before they reject any. */
#define QUEUE_FACTOR 3
/* An object that a server has handled within this time is likely to be in its cache: a server that
 * answers ten requests a second replaces a cache of some forty objects in no less. */
#define WARM_LIFE_MS 5000
/* Log lines about malformed reports, each second: enough to name the servers that send them. */
#define FINDINGS_LOGGED_MAX 5

void
pl_server_load_clear (struct pl_server_load *load)
{
  g_clear_pointer (&load->warm, g_free);
}

void
pl_server_load_reset (struct pl_server_load *load)
{
  load->requests = 0;
  load->own_requests = 0;
  load->work_percent = 0;
  load->usual = 0;
  pl_server_load_clear (load);
}

void
pl_server_load_record (struct pl_server_load *load, const struct pl_load_report *report,
                       int own_requests, int64_t now_us)
{
  load->requests = CLAMP (report->running, 0, COUNT_MAX) + CLAMP (report->waiting, 0, COUNT_MAX);
  load->own_requests = own_requests;
  load->slots = CLAMP (report->slots, 0, COUNT_MAX);
  load->reported_us = now_us;
  if (report->work_percent <= 0)
    return;
  load->work_percent = CLAMP (report->work_percent, WORK_PERCENT_LOW, WORK_PERCENT_HIGH);
  load->work_reported_us = now_us;
  load->usual = load->usual == 0 ? 1 : load->usual;
  load->usual += USUAL_SMOOTHING * (load->work_percent / 100.0 - load->usual);
}

void
pl_server_load_record_full (struct pl_server_load *load, int slots, int own_requests,
                            int64_t now_us)
{
  load->requests = MAX (load->requests, MAX (slots, 1) * QUEUE_FACTOR);
  load->own_requests = own_requests;
  load->reported_us = now_us;
}

double
pl_server_load_requests (const struct pl_server_load *load, int own_requests, int64_t now_us)
{
  double others = MAX (load->requests - load->own_requests, 0);
  double age = (double) (now_us - load->reported_us) / REPORT_HALF_LIFE_US;

  return own_requests + (others > 0 ? others * exp2 (-age) : 0);
}

double
pl_server_load_slowdown (const struct pl_server_load *load, int64_t now_us)
{
  double excess = load->work_percent / 100.0 - load->usual;
  double age = (double) (now_us - load->work_reported_us) / SPEED_HALF_LIFE_US;

  return load->work_percent == 0 ? 1 : load->usual + excess * exp2 (-age);
}

int64_t
pl_server_load_work_age_us (const struct pl_server_load *load, int64_t now_us)
{
  return load->work_percent != 0 ? now_us - load->work_reported_us : -1;
}

double
pl_server_load_expected_us (const struct pl_server_load *load, double requests, double work_us,
                            int64_t now_us)
{
  return fmax (requests, 1) * work_us * pl_server_load_slowdown (load, now_us);
}

/* Returns the name of OBJECT in the table, which is not 0. */
static uint32_t
name_of (uint64_t object)
{
  return (uint32_t) (object >> 32 ^ object) | 1;
}

/* Returns the place of OBJECT in the table.  The lowest bit of the hash of an object may be set in
 * all. */
static size_t
place_of (uint64_t object)
{
  return (object >> 1) % PL_WARM_OBJECTS;
}

void
pl_server_load_record_object (struct pl_server_load *load, uint64_t object, int64_t now_us)
{
  if (load->warm == NULL)
    load->warm = g_new0 (struct pl_warm_object, PL_WARM_OBJECTS);
  load->warm[place_of (object)]
      = (struct pl_warm_object){name_of (object), (uint32_t) (now_us / 1000)};
}

bool
pl_server_load_is_warm (const struct pl_server_load *load, uint64_t object, int64_t now_us)
{
  const struct pl_warm_object *warm = load->warm != NULL ? &load->warm[place_of (object)] : NULL;

  return warm != NULL && warm->object == name_of (object)
         && (uint32_t) (now_us / 1000) - warm->seen_ms <= WARM_LIFE_MS;
}

bool
pl_server_load_has_room (const struct pl_server_load *load, int slots, int64_t body_bytes,
                         int64_t body_share)
{
  double bound = fmax (slots, 1) * (1 + QUEUE_FACTOR) * (double) body_share;

  return body_share == 0 || body_bytes == 0 || load->body_bytes == 0
         || (double) load->body_bytes + (double) body_bytes <= bound;
}

bool
pl_load_findings_add (struct pl_load_findings *findings, uint64_t *left_out, int64_t now_us)
{
  int64_t second = now_us / G_USEC_PER_SEC;

  findings->count++;
  if (findings->second != second)
    {
      findings->second = second;
      findings->logged = 0;
    }
  if (findings->logged >= FINDINGS_LOGGED_MAX)
    {
      findings->left_out++;
      return false;
    }
  findings->logged++;
  *left_out = findings->left_out;
  findings->left_out = 0;
  return true;
}
