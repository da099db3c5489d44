/* Closed jobs of an entry, which are kept for their answers while there is
 * memory for them. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"

void
mst_job_free_oldest_closed(struct mst_entry *entry)
{
	GList *link = entry->closed_jobs.head;

	g_queue_unlink(&entry->closed_jobs, link);
	mst_job_free(entry, link->data);
}

bool
mst_entry_make_room(struct mst_entry *entry, uint64_t bytes, uint64_t bytes_max)
{
	const struct job *oldest;

	while (entry->bytes + bytes > bytes_max) {
		oldest = g_queue_peek_head(&entry->closed_jobs);
		/* Its last answer may not have been written yet. */
		if (oldest == NULL ||
		    entry->now_us - oldest->closed_us < ENTRY_SCAN_US)
			return false;
		mst_job_free_oldest_closed(entry);
	}
	return true;
}
