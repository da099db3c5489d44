/* Tasks during whose runs workers have crashed. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

/* Adds to a task's crashes those that the entry has learnt of from agents,
 * which include the task's runs for other entries. */
static void
merge_history(
    const struct mst_entry *entry, const struct job *job, struct task *task)
{
	struct mst_task_crashes known = mst_crash_history_task(
	    entry->crash_history, mst_span_bytes(job, task->path));

	task->crashes.total = MAX(task->crashes.total, known.total);
	task->crashes.alone = MAX(task->crashes.alone, known.alone);
}

static void
mark_suspect(struct mst_entry *entry, struct job *job)
{
	if (job->suspect)
		return;
	job->suspect = entry->has_suspects = true;
	entry->counters.suspect_jobs++;
	mst_quarantine_choose_members(entry);
	mst_entry_rank_members(entry);
}

/* Applies the verdict on a task. Returns true if it has been closed. */
static bool
apply_verdict(struct mst_entry *entry, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];

	switch (mst_crash_judge(&task->crashes)) {
	case MST_CRASH_NO_SUSPECT:
		break;
	case MST_CRASH_SUSPECT:
		mark_suspect(entry, job);
		break;
	case MST_CRASH_GIVE_UP:
		mst_task_close(entry, job, index, MST_OUTCOME_UNKNOWN,
		    MST_REASON_WORKER_CRASHED);
		return true;
	}
	return false;
}

static void
report_crashed_task(struct mst_entry *entry, const struct job *job,
    uint32_t index, const struct member *member)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_CRASHED);

	effect->job = job->handle;
	effect->index = index;
	effect->peer = member->incarnation;
	effect->count = job->tasks[index].crashes.total;
}

/* Puts a job behind those of its team that have not crashed a worker in
 * isolation. A job whose caller waits is closed, because they use all the room
 * that its team may put at risk. Returns true if the job has been closed. */
static bool
postpone_isolated(struct mst_entry *entry, struct job *job, struct task *task)
{
	if (!task->isolated)
		return false;
	if (job->stored != NULL ||
	    job->team->quarantine != QUARANTINE_ISOLATED) {
		mst_job_demote(entry, job);
		return false;
	}
	/* It is no longer counted as sent. */
	task->state = TASK_WAITING;
	task->may_have_run = true;
	task->member = NULL;
	mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_WORKER_CRASHED);
	return true;
}

bool
mst_task_handle_crash(struct mst_entry *entry, struct job *job, uint32_t index,
    const struct member *member)
{
	struct task *task = &job->tasks[index];

	task->crashes.total++;
	merge_history(entry, job, task);
	entry->counters.crashed_runs++;
	report_crashed_task(entry, job, index, member);
	if (apply_verdict(entry, job, index))
		return true;
	return postpone_isolated(entry, job, task);
}

void
mst_job_recall_crashes(struct mst_entry *entry, struct job *job)
{
	uint32_t i;

	for (i = 0; i < job->count && job->state == MST_JOB_OPEN; i++) {
		merge_history(entry, job, &job->tasks[i]);
		if (apply_verdict(entry, job, i))
			break;
	}
}

bool
mst_spec_is_given_up(
    const struct mst_entry *entry, const struct mst_job_spec *spec)
{
	uint32_t i;

	for (i = 0; i < spec->count; i++) {
		struct mst_task_crashes crashes = mst_crash_history_task(
		    entry->crash_history, spec->tasks[i].path);

		if (mst_crash_judge(&crashes) == MST_CRASH_GIVE_UP)
			return true;
	}
	return false;
}

void
mst_entry_handle_crashes(struct mst_entry *entry, const struct mst_msg *msg)
{
	const struct mst_crashes *crashes = &msg->crashes;
	struct member *member = mst_member_find(entry, msg->from);
	uint32_t i;

	if (member == NULL)
		return;
	for (i = 0; i < crashes->count; i++) {
		const struct mst_crash *crash = &crashes->items[i];
		const struct crash_record *record = mst_crash_history_add(
		    entry->crash_history, crash, entry->now_us);

		if (record != NULL && crash->cleared)
			mst_quarantine_lower(entry);
		else if (record != NULL)
			mst_quarantine_raise(entry, record);
		/* Crashes before these may have been lost. */
		if (crashes->after <= member->crashes_received)
			member->crashes_received =
			    MAX(member->crashes_received, crash->number);
	}
	mst_entry_place_tasks(entry);
}
