#ifndef MST_SLOWNESS_H
#define MST_SLOWNESS_H

#include <stdint.h>

/* Learnt ratio of observed to expected time; a geometric moving average. */
struct mst_slowness {
	double log_ratio;
	uint32_t samples;
};

/* Ratio learnt so far; 1 without samples. */
double mst_slowness_ratio(const struct mst_slowness *speed);

/* Takes in one observation; later ones weigh 1/window. */
void mst_slowness_add_sample(struct mst_slowness *speed, double observed_us,
    double expected_us, uint32_t window);

#endif
