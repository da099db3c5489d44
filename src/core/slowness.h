#ifndef MST_SLOWNESS_H
#define MST_SLOWNESS_H

#include <stdint.h>

/* Ratio of observed to expected time, as a geometric moving average. */
struct mst_slowness {
	double log_ratio; /* natural logarithm of the ratio */
	uint32_t samples; /* number of samples, at most the window */
};

/**
 * Computes the average ratio of observed to expected time.
 *
 * @param slowness average of the samples so far
 * @return the ratio; 1 without samples
 */
double mst_slowness_ratio(const struct mst_slowness *slowness);

/**
 * Adds an observation.
 *
 * @param slowness average to update
 * @param observed_us observed time in microseconds
 * @param expected_us expected time in microseconds
 * @param window number of samples after which each new one weighs 1/window
 */
void mst_slowness_add_sample(struct mst_slowness *slowness, double observed_us,
    double expected_us, uint32_t window);

#endif
