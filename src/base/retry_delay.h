#ifndef MST_RETRY_DELAY_H
#define MST_RETRY_DELAY_H

/* Delays between the attempts of a call that keeps failing. */

#include <stdint.h>

/* Bounds of a delay, in one unit of time, which the caller chooses. */
struct mst_retry_bounds {
	int64_t min; /* after the first failure; doubled by each further one */
	int64_t max;
};

/* Returns the delay before the next attempt after a number of consecutive
 * failures, in the unit of the bounds. The jitter, from 0 to 1, chooses a value
 * in the upper half of the range, so that callers that fail together do not
 * repeat their calls together. There is no delay without a failure. */
int64_t mst_retry_delay(
    const struct mst_retry_bounds *bounds, unsigned failures, double jitter);

#endif
