#include "base/retry_delay.h"

#include <glib.h>

#define DOUBLINGS_MAX 20 /* keeps the shift within the type */

int64_t
mst_retry_delay(
    const struct mst_retry_bounds *bounds, unsigned failures, double jitter)
{
	int64_t delay, half;

	if (failures == 0)
		return 0;
	delay = bounds->min << MIN(failures - 1, DOUBLINGS_MAX);
	delay = MIN(delay, bounds->max);
	half = delay / 2;
	return half + (int64_t)((double)(delay - half) * jitter);
}
