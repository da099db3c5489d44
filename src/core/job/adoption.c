/* State of the adoption of a job. */

#include "core/entry/entry_internal.h"
#include "core/job/adoption.h"

void
mst_adoption_free(struct adoption *adoption)
{
	uint32_t i;

	if (adoption == NULL)
		return;
	for (i = 0; i < adoption->count; i++) {
		g_free((char *)adoption->earlier_results[i]
			   .result.content_type.data);
		g_free((char *)adoption->earlier_results[i].result.body.data);
	}
	g_free(adoption->earlier_results);
	g_array_unref(adoption->fences);
	g_free(adoption);
}
