/*
 * The task codes of a stored record: completions that an agent or an earlier
 * owner has recorded, and counts of failed runs.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/stored/stored_internal.h"

#include <string.h>

void
mst_stored_merge_tasks(
    struct mst_entry *entry, struct job *job, const char *tasks)
{
	uint32_t i;

	if (strlen(tasks) != job->count)
		return;
	for (i = 0; i < job->count && job->state == MST_JOB_OPEN; i++) {
		struct task *task = &job->tasks[i];

		if (task->state == TASK_CLOSED)
			continue;
		if (tasks[i] != MST_RECORD_DONE) {
			task->failures = MAX(task->failures,
			    (uint8_t)(tasks[i] - MST_RECORD_NO_FAILURES));
			continue;
		}
		mst_task_force_done(entry, job, i);
	}
}
