#include "base/random.h"

#include <glib.h>
#include <sys/random.h>

uint64_t
mst_random_u64(void)
{
	uint64_t value = 0;

	if (getrandom(&value, sizeof(value), 0) != sizeof(value))
		g_error("getrandom failed");
	return value | 1;
}

double
mst_random_share(void)
{
	return (double)mst_random_u64() / (double)UINT64_MAX;
}
