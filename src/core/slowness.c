#include "core/slowness.h"

#include <glib.h>
#include <math.h>

#define SPEED_LOG_MAX 7.0 /* about a factor of 1100 */

double
mst_slowness_ratio(const struct mst_slowness *speed)
{
	return exp(speed->log_ratio);
}

void
mst_slowness_add_sample(struct mst_slowness *speed, double observed_us,
    double expected_us, uint32_t window)
{
	double sample = log(MAX(observed_us, 1.0) / MAX(expected_us, 1.0));

	if (speed->samples < window)
		speed->samples++;
	speed->log_ratio += (sample - speed->log_ratio) / speed->samples;
	speed->log_ratio =
	    CLAMP(speed->log_ratio, -SPEED_LOG_MAX, SPEED_LOG_MAX);
}
