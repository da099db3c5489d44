/*
 * Objectives of restartable jobs: a job is in time when it ends within a
 * multiple of its longest task and some more. Which job goes first, and when a
 * job can't be in time any more, follow from that.
 */

#include "core/entry_internal.h"

#define OBJECTIVE_LATE 3.0 /* in objectives: later answers are worth little */

/* Expected work of the longest task that has not ended. */
static double
longest_work_us(const struct job *job)
{
	double longest_us = 0;
	uint32_t i;

	for (i = 0; i < job->count; i++) {
		const struct task *task = &job->tasks[i];

		if (task->state != TASK_CLOSED)
			longest_us =
			    MAX(longest_us, mst_task_work_us(job, task));
	}
	return longest_us;
}

void
mst_job_set_objective(struct mst_entry *entry, struct job *job)
{
	double work_us = longest_work_us(job);
	int64_t given_us = job->deadline_us - job->submitted_us;
	int64_t objective_us =
	    (int64_t)(job->stretch * work_us) + job->target_us;

	if (!job->restartable || objective_us <= 0)
		objective_us = given_us;
	job->in_time_us = job->submitted_us + MIN(objective_us, given_us);
	job->useful_us = job->submitted_us +
	    MIN((int64_t)((double)objective_us * OBJECTIVE_LATE), given_us);
	job->urgent_us = job->in_time_us - (int64_t)(work_us * entry->fastest);
}

void
mst_job_demote_late(struct mst_entry *entry, struct job *job)
{
	if (!job->restartable || job->demoted || job->started > 0 ||
	    entry->now_us <= job->urgent_us)
		return;
	/* It goes behind those that can still be in time. */
	job->demoted = true;
	job->urgent_us = job->useful_us;
	mst_team_resort(entry, job);
}
