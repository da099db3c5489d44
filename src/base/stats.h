#ifndef MST_STATS_H
#define MST_STATS_H

/* Order statistics of samples. */

#include <glib.h>

/* Sorts an array of doubles in ascending order. */
void mst_stats_sort(GArray *values);

/* Returns the quantile q (0 to 1) of sorted doubles; 0 for an empty array. */
double mst_stats_quantile(const GArray *sorted, double q);

#endif
