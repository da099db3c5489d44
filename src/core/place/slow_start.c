#include "core/place/slow_start.h"

#include <glib.h>

/* Slowness of a cold worker of which nothing else is known. Its first tasks are
 * chosen so that they end in time at this slowness. */
#define COLD_SLOWNESS 2.0
/* A task that takes longer than this multiple of its expected time halves the
 * count. */
#define LATE_FACTOR 2.0

double
mst_slow_start_slowness(double reported_slowness, bool mostly_warm)
{
	if (reported_slowness > 0)
		return reported_slowness;
	return mostly_warm ? COLD_SLOWNESS : 1;
}

uint32_t
mst_slow_start_limit(uint32_t slots, uint32_t shown, bool mostly_warm)
{
	return mostly_warm && shown < slots ? shown + 1 : UINT32_MAX;
}

uint32_t
mst_slow_start_count(uint32_t shown, double observed_us, double expected_us)
{
	if (observed_us > expected_us * LATE_FACTOR)
		return shown / 2;
	return shown < UINT32_MAX ? shown + 1 : shown;
}
