#ifndef MST_HISTOGRAM_H
#define MST_HISTOGRAM_H

#include <stdint.h>

/* Upper bounds of the buckets, in microseconds; the last one is open. They are
 * the same everywhere, so that histograms of several processes can be added. */
#define MST_HISTOGRAM_BOUND_COUNT 16
extern const int64_t mst_histogram_bounds_us[MST_HISTOGRAM_BOUND_COUNT];

struct mst_histogram {
	uint64_t counts[MST_HISTOGRAM_BOUND_COUNT + 1];
	uint64_t count;
	double sum_us;
};

/* Counts one duration. */
void mst_histogram_observe(struct mst_histogram *histogram, int64_t us);

#endif
