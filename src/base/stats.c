#include "base/stats.h"

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

void
mst_stats_sort(GArray *values)
{
	g_array_sort(values, compare_doubles);
}

double
mst_stats_quantile(const GArray *sorted, double q)
{
	guint index = (guint)(sorted->len * q);

	if (sorted->len == 0)
		return 0;
	return g_array_index(sorted, double, MIN(index, sorted->len - 1));
}
