#ifndef MST_CLOCK_H
#define MST_CLOCK_H

#include <stdint.h>

/* Microseconds of a clock that only goes forward, and that counts the time for
 * which the host was suspended. */
int64_t mst_clock_us(void);

#endif
