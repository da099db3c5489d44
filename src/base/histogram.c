#include "base/histogram.h"

const int64_t mst_histogram_bounds_us[MST_HISTOGRAM_BOUND_COUNT] = {1000, 2000,
    5000, 10000, 20000, 50000, 75000, 100000, 150000, 200000, 300000, 500000,
    750000, 1000000, 2000000, 5000000};

void
mst_histogram_observe(struct mst_histogram *histogram, int64_t us)
{
	int i = 0;

	while (i < MST_HISTOGRAM_BOUND_COUNT && us > mst_histogram_bounds_us[i])
		i++;
	histogram->counts[i]++;
	histogram->count++;
	histogram->sum_us += (double)us;
}
