#ifndef MST_RANDOM_H
#define MST_RANDOM_H

#include <stdint.h>

/* Returns a random number from the kernel's generator; always odd, so that it
 * is never 0. Aborts if the generator fails. */
uint64_t mst_random_u64(void);

/* Returns a random number from 0 to 1. */
double mst_random_share(void);

#endif
