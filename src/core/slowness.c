#include "core/slowness.h"

#include <glib.h>
#include <math.h>

#define LOG_RATIO_MAX 7.0 /* a factor of about 1100 */

double
mst_slowness_ratio(const struct mst_slowness *slowness)
{
	return exp(slowness->log_ratio);
}

void
mst_slowness_add_sample(struct mst_slowness *slowness, double observed_us,
    double expected_us, uint32_t window)
{
	double sample = log(MAX(observed_us, 1.0) / MAX(expected_us, 1.0));

	if (slowness->samples < window)
		slowness->samples++;
	slowness->log_ratio +=
	    (sample - slowness->log_ratio) / slowness->samples;
	slowness->log_ratio =
	    CLAMP(slowness->log_ratio, -LOG_RATIO_MAX, LOG_RATIO_MAX);
}
