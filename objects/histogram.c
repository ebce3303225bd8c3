/* Log-linear histogram: the highest set bit of a value selects its octave, the next
 * three bits one of its eight buckets.  Values under 8 us have a bucket each.
 */
#include "pomelolatch/histogram.h"

#include <stddef.h>

static unsigned
bucket_of (uint64_t value)
{
  unsigned sub_count = 1u << PL_HISTOGRAM_SUB_BITS;
  unsigned shift;
  unsigned index;

  if (value < sub_count)
    return (unsigned) value;
  shift = 63u - (unsigned) __builtin_clzll (value) - PL_HISTOGRAM_SUB_BITS;
  index = (shift << PL_HISTOGRAM_SUB_BITS) + (unsigned) (value >> shift);
  return index < PL_HISTOGRAM_BUCKETS ? index : PL_HISTOGRAM_BUCKETS - 1;
}

int64_t
pl_histogram_upper_edge (unsigned index)
{
  unsigned sub_count = 1u << PL_HISTOGRAM_SUB_BITS;
  unsigned shift;
  uint64_t base;

  if (index < 2 * sub_count)
    return (int64_t) index;
  shift = (index >> PL_HISTOGRAM_SUB_BITS) - 1;
  base = (index & (sub_count - 1)) + sub_count;
  return (int64_t) (((base + 1) << shift) - 1);
}

void
pl_histogram_add (struct pl_histogram *histogram, int64_t value_us)
{
  if (value_us < 0)
    value_us = 0;
  histogram->buckets[bucket_of ((uint64_t) value_us)]++;
  histogram->count++;
  histogram->sum_us += (uint64_t) value_us;
  if (value_us > histogram->max_us)
    histogram->max_us = value_us;
}

void
pl_histogram_merge (struct pl_histogram *histogram, const struct pl_histogram *other)
{
  for (size_t i = 0; i < PL_HISTOGRAM_BUCKETS; i++)
    histogram->buckets[i] += other->buckets[i];
  histogram->count += other->count;
  histogram->sum_us += other->sum_us;
  if (other->max_us > histogram->max_us)
    histogram->max_us = other->max_us;
}

int64_t
pl_histogram_quantile (const struct pl_histogram *histogram, double fraction)
{
  double wanted = fraction * (double) histogram->count;
  uint64_t seen = 0;

  if (histogram->count == 0)
    return 0;
  for (unsigned i = 0; i < PL_HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if ((double) seen >= wanted && seen > 0)
        return pl_histogram_upper_edge (i) < histogram->max_us ? pl_histogram_upper_edge (i)
                                                               : histogram->max_us;
    }
  return histogram->max_us;
}
