/*
 * Detection of tasks that take much longer than expected at a leased member.
 * Either the member has become slow, or the task hangs, or it is long by
 * itself. A slow member is marked as overdue before any result arrives, and the
 * task is withdrawn if another member could still finish it in time, unless its
 * member completes other tasks.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/constraint.h"
#include "core/place/fit.h"
#include "core/place/place.h"

/* A task is overdue after a multiple of its expected time that is well above
 * the learnt error of that time, plus this slack. */
#define OVERDUE_SLACK_US (INT64_C(60) * 1000)
/* Multiple of that time after which a task is moved in any case. */
#define KEEP_LIMITS_MAX 3
/* Doublings of that time for a task that no other member could take. */
#define STAY_DOUBLINGS_MAX 5
/* A member is marked as overdue if it has at least this share and number of
 * overdue tasks. */
#define OVERDUE_SHARE     0.5
#define OVERDUE_TASKS_MIN 2

/* Progress of a sent task, in microseconds. */
struct progress {
	double elapsed_us;
	double expected_us;
	double limit_us; /* the task is overdue after this time */
};

static struct progress
get_progress(const struct mst_entry *entry, const struct member *member,
    const struct job *job, const struct task *task)
{
	double factor = mst_estimate_overrun(
	    &job->team->estimate, entry->options.tuning.overdue_deviations);
	struct progress progress = {
	    .elapsed_us = (double)(entry->now_us - task->sent_us),
	    .expected_us = mst_task_expected_at_us(entry, member, job, task) *
		member->slowness};

	progress.limit_us = progress.expected_us * factor + OVERDUE_SLACK_US;
	return progress;
}

/* Returns true if a member has completed another task since an overdue one
 * should have ended. Then the task is probably long by itself, and would take
 * as long elsewhere. One that takes much longer still may hang. */
static bool
is_probably_long(const struct mst_entry *entry, const struct member *member,
    const struct task *task, const struct progress *progress)
{
	return entry->options.tuning.keep_long_tasks && !member->overdue &&
	    (double)(member->last_progress_us - task->sent_us) >
	    progress->expected_us &&
	    progress->elapsed_us < progress->limit_us * KEEP_LIMITS_MAX;
}

/* Returns true if a member other than the one that has a task could take it, if
 * need be after a wait. */
static bool
has_other_member(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member != task->member &&
		    mst_member_may_be_awaited(
			entry, member, job, task, MST_PREFER_OTHER))
			return true;
	}
	return false;
}

/* Returns true if a task that no other member could take should be left to its
 * member. It would start there anew, so it gets more time with each attempt. */
static bool
should_stay(const struct mst_entry *entry, const struct job *job,
    const struct task *task, const struct progress *progress)
{
	unsigned doublings = MIN(task->attempts, STAY_DOUBLINGS_MAX);
	double limit_us =
	    progress->limit_us * KEEP_LIMITS_MAX * (double)(1u << doublings);

	return progress->elapsed_us < limit_us &&
	    !has_other_member(entry, job, task);
}

/* Returns true if a task may be moved and the fastest member could still finish
 * it before the job expires. */
static bool
is_worth_moving(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	double service_us = mst_task_expected_us(job, task);

	return job->restartable && !task->withdrawing &&
	    entry->now_us + (int64_t)(service_us * entry->min_slowness) <
	    job->expiry_us;
}

static void
member_scan_overdue(struct mst_entry *entry, struct member *member)
{
	const struct mst_tuning *tuning = &entry->options.tuning;
	uint32_t overdue_count = 0, sent_count = 0;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent_tasks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct progress progress;
		struct job *job;
		struct task *task = mst_find_sent_task(
		    entry, member, (uint64_t)(uintptr_t)key, tag, &job);

		if (task == NULL)
			continue;
		sent_count++;
		progress = get_progress(entry, member, job, task);
		if (progress.elapsed_us <= progress.limit_us)
			continue;
		overdue_count++;
		if (tuning->withdraw_overdue &&
		    is_worth_moving(entry, job, task) &&
		    !is_probably_long(entry, member, task, &progress) &&
		    !should_stay(entry, job, task, &progress))
			mst_task_withdraw(entry, task);
	}
	member->overdue = tuning->limit_overdue &&
	    overdue_count >= OVERDUE_TASKS_MIN &&
	    overdue_count >= sent_count * OVERDUE_SHARE;
}

void
mst_entry_scan_overdue(struct mst_entry *entry)
{
	guint i;

	if (!entry->options.leased)
		return;
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		/* The running tasks of a drained domain stay there, as there
		 * may be no other member. */
		if (mst_member_is_active(entry, member))
			member_scan_overdue(entry, member);
	}
}
