/* histogram.h - histogram of durations with a bounded relative error.
 *
 * API tier: stable.
 */
#ifndef POMELOLATCH_HISTOGRAM_H
#define POMELOLATCH_HISTOGRAM_H

#include <stdint.h>

/* Values up to 2^36 microseconds (19 hours).  Each octave has eight buckets of equal width, so the
 * width of a bucket is between 1/15 and 1/8 of the values in it. */
#define PL_HISTOGRAM_SUB_BITS 3
#define PL_HISTOGRAM_BUCKETS (34 << PL_HISTOGRAM_SUB_BITS)

struct pl_histogram
{
  uint64_t count;
  uint64_t sum_us;
  int64_t max_us;
  uint64_t buckets[PL_HISTOGRAM_BUCKETS];
};

/* Counts VALUE_US; negative values count as zero, too large ones in the last bucket. */
void pl_histogram_add (struct pl_histogram *histogram, int64_t value_us);

/* Adds all counts of OTHER to HISTOGRAM. */
void pl_histogram_merge (struct pl_histogram *histogram, const struct pl_histogram *other);

/* Returns the largest value of bucket INDEX, in microseconds. */
int64_t pl_histogram_upper_edge (unsigned index);

/* Returns the upper edge, in microseconds, of the bucket with the quantile FRACTION (0..1), at most
 * the largest value counted; 0 when the histogram is empty. */
int64_t pl_histogram_quantile (const struct pl_histogram *histogram, double fraction);

#endif
