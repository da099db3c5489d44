#ifndef MST_HISTOGRAM_H
#define MST_HISTOGRAM_H

#include <stdint.h>

/*
 * Upper bounds of the buckets in microseconds, inclusive; one more bucket
 * counts what is above the last bound. They are the same in all programs, so
 * that the histograms of several processes can be added up.
 */
#define MST_HISTOGRAM_BOUND_COUNT 16
extern const int64_t mst_histogram_bounds_us[MST_HISTOGRAM_BOUND_COUNT];

struct mst_histogram {
	/* Number of durations in each bucket. */
	uint64_t counts[MST_HISTOGRAM_BOUND_COUNT + 1];
	uint64_t count; /* total number of durations */
	double sum_us;  /* sum of the durations */
};

/* Adds one duration, in microseconds. */
void mst_histogram_observe(struct mst_histogram *histogram, int64_t us);

#endif
