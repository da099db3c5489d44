#ifndef MST_CLOCK_H
#define MST_CLOCK_H

#include <stdint.h>

/* Returns the time of a monotonic clock in microseconds; the clock includes the
 * time for which the host was suspended. */
int64_t mst_clock_us(void);

#endif
