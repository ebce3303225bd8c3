/* region_waves.h - demand in waves in three regions with one, four and five tenths of the servers,
 * over a simulated fleet of routers.
 *
 * API tier: private.
 */
#ifndef REGION_WAVES_H
#define REGION_WAVES_H

#include "limited_servers.h"

#define REGION_WAVES_REGIONS 3
#define REGION_WAVES_WINDOW_BINS 4 /* 2 s */
#define REGION_WAVES_BINS_MAX 160
#define REGION_WAVES_S 36.0 /* period */
#define REGION_WAVES_HEIGHT 0.55
#define REGION_WAVES_OBJECTIVE_MS 200
/* The bound on the fraction of requests that change their region. */
#define REGION_WAVES_MAX_SHIFT 0.15

/* Tenths of the servers by region. */
extern const int region_waves_tenths[REGION_WAVES_REGIONS];

struct region_waves
{
  struct limited_servers *servers;
  int hosts;
  int count;        /* of servers */
  double mean_load; /* fraction of all slots that the mean demand takes */
  double rates[ROUTER_FLEET_HOSTS_MAX];
  int64_t start_us; /* of the demand */
  double least;     /* requests that had to leave their region, since measured_us */
  int64_t measured_us;
  int counts[REGION_WAVES_BINS_MAX][REGION_WAVES_REGIONS]
            [REGION_WAVES_REGIONS]; /* requests by bin, own region and region that ran it */
};

/* Returns a fleet that has started, with COUNT servers whose load is managed.  MAX_SHIFT 0: with
 * constant weights. */
struct region_waves *region_waves_new (int hosts, int count, double mean_load, double max_shift);
void region_waves_free (struct region_waves *waves);

/* Runs for SECONDS with demand of a third of the mean in each region, in waves of HEIGHT. */
void region_waves_run (struct region_waves *waves, double seconds, double height);

void region_waves_start_measuring (struct region_waves *waves);

/* Counts the requests since measured_us, and returns the number of bins. */
int region_waves_count (struct region_waves *waves);

/* Sets FRACTIONS of the requests of region OWN that each region ran in the window from BIN on. */
void region_waves_fractions (const struct region_waves *waves, int bin, int own, double *fractions);

/* Returns the largest fraction of a region's requests that changed their region between windows. */
double region_waves_largest_shift (const struct region_waves *waves, int bins);

/* Returns for how many bins in a row a region had a load above its slots while another had room. */
int region_waves_longest_overload (const struct region_waves *waves, int bins);

/* Returns the requests that left their region, as a multiple of the least. */
double region_waves_sent_away (const struct region_waves *waves, int bins);

#endif
