#include "base/clock.h"

#include <glib.h>
#include <time.h>

int64_t
mst_clock_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}
