/* Time limits of jobs, and the removal of closed ones. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/constraint.h"
#include "core/place/fit.h"
#include "core/place/place.h"

/* Returns the task of a job that is sent next, or NULL if none waits. */
static const struct task *
next_task(const struct job *job)
{
	uint32_t waiting = job->waiting_tasks->len;

	return waiting == 0 ? NULL
			    : &job->tasks[g_array_index(
				  job->waiting_tasks, uint16_t, waiting - 1)];
}

/* Returns true if some members serve the job, but none of them has the
 * resources for its next task. */
static bool
has_no_fitting_member(const struct mst_entry *entry, const struct job *job)
{
	const struct task *task = next_task(job);
	bool is_served = false;
	guint i;

	if (task == NULL)
		return false;
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state == MEMBER_GONE)
			continue;
		if (!mst_member_has_service(member, job))
			continue;
		is_served = true;
		if (mst_member_may_have_resources(member, task))
			return false;
	}
	return is_served;
}

/* Returns true if a job that has not started would expire before its longest
 * task finished, even if the fastest member started that task now. */
static bool
is_certain_to_expire(const struct mst_entry *entry, const struct job *job)
{
	const struct task *longest = next_task(job);
	double service_us;

	if (job->started > 0 || longest == NULL)
		return false;
	service_us = mst_task_expected_us(job, longest);
	return entry->now_us + (int64_t)(service_us * entry->min_slowness) >
	    job->expiry_us;
}

/* Returns true if a job must be answered now because the entry stops. Its
 * caller can submit it again elsewhere at once. */
static bool
is_cut_by_stop(const struct mst_entry *entry, const struct job *job)
{
	return job->restartable && entry->stop_us > 0 &&
	    entry->now_us >= entry->stop_us;
}

/* Returns true if a job must be answered now because the failure domains of all
 * members that could take its next task are drained. A job of which some task
 * may have run stays open until its deadline, because its running tasks end and
 * a domain may be restored. */
static bool
is_cut_by_drains(const struct mst_entry *entry, const struct job *job)
{
	const struct task *task = next_task(job);

	/* Members of other domains may not have announced themselves yet. */
	return entry->now_us - entry->started_us > ENTRY_WARM_UP_US &&
	    task != NULL && mst_task_is_drained(entry, job, task) &&
	    !job->may_have_run && !mst_job_may_have_run(job);
}

/* Closes an open job that has reached or will miss its deadline or that no
 * member can run, and demotes a restartable job that is late. Stored jobs and
 * jobs being adopted are handled by their own modules. */
static void
job_tick(struct mst_entry *entry, struct job *job)
{
	int64_t settle_us = (int64_t)entry->config->policy.settle_ms * 1000;

	if (job->stored != NULL) {
		mst_stored_tick(entry, job);
		return;
	}
	if (entry->now_us >= job->deadline_us ||
	    is_certain_to_expire(entry, job))
		mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_DEADLINE);
	else if (is_cut_by_stop(entry, job))
		mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_STOPPING);
	else if (job->adoption != NULL)
		mst_adoption_tick(entry, job);
	else if (is_cut_by_drains(entry, job))
		mst_job_close(
		    entry, job, MST_JOB_FAILED, MST_REASON_NO_MEMBERS);
	else if (job->restartable && !mst_job_demote_late(entry, job))
		mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_OVERLOAD);
	else if (!job->restartable &&
	    entry->now_us - job->submitted_us > settle_us &&
	    has_no_fitting_member(entry, job))
		mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_NO_FIT);
}

void
mst_entry_expire_jobs(struct mst_entry *entry)
{
	const struct job *oldest;
	guint i;

	for (i = 0; i < entry->jobs->len && entry->jobs_open > 0; i++) {
		struct job *job = entry->jobs->pdata[i];

		if (job != NULL && job->state == MST_JOB_OPEN)
			job_tick(entry, job);
	}
	mst_uncertain_expire(entry);
	while ((oldest = g_queue_peek_head(&entry->closed_jobs)) != NULL &&
	    (entry->now_us - oldest->closed_us >=
		    entry->options.answer_retention_us ||
		entry->bytes > entry->options.bytes_max))
		mst_job_free_oldest_closed(entry);
}
