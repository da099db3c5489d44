/* Progress of jobs: tasks that wait, end and unblock others. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"

/* Orders by declared time, shortest first. Tasks are sent from the end of the
 * array, so the longest one is sent first. */
static gint
compare_declared_time(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct job *job = ctx;
	uint16_t left = *(const uint16_t *)a;
	uint16_t right = *(const uint16_t *)b;
	uint32_t left_us = job->tasks[left].declared_us;
	uint32_t right_us = job->tasks[right].declared_us;

	if (left_us != right_us)
		return left_us < right_us ? -1 : 1;
	return (gint)right - (gint)left;
}

static void
queue_step(struct mst_entry *entry, struct job *job, const struct step *step)
{
	uint32_t i;

	if (!mst_stored_is_owned(job))
		return;
	for (i = step->first; i < step->first + step->count; i++) {
		uint16_t index = (uint16_t)i;

		if (job->tasks[i].state != TASK_WAITING)
			continue;
		job->tasks[i].ready_us = entry->now_us;
		g_array_append_val(job->waiting_tasks, index);
		mst_team_count_waiting(
		    entry, job, 1, mst_task_expected_us(job, &job->tasks[i]));
	}
	g_array_sort_with_data(job->waiting_tasks, compare_declared_time, job);
	if (job->waiting_tasks->len > 0)
		mst_team_enqueue(entry, job);
}

void
mst_job_queue_all(struct mst_entry *entry, struct job *job)
{
	uint32_t s;

	for (s = 0; s < job->step_count; s++)
		queue_step(entry, job, &job->steps[s]);
}

void
mst_task_avoid(const struct mst_entry *entry, struct task *task,
    const struct member *member)
{
	task->avoid_member = member != NULL ? member->incarnation : 0;
	task->ready_us = entry->now_us;
}

void
mst_task_requeue(struct mst_entry *entry, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];
	uint16_t task_index = (uint16_t)index;

	task->state = TASK_WAITING;
	task->member = NULL;
	task->withdrawing = false;
	if (!mst_stored_is_owned(job))
		return;
	g_array_append_val(job->waiting_tasks, task_index);
	mst_team_count_waiting(entry, job, 1, mst_task_expected_us(job, task));
	mst_team_enqueue(entry, job);
}

void
mst_task_withdraw(struct mst_entry *entry, struct task *task)
{
	if (task->withdrawing)
		return;
	task->withdrawing = true;
	task->withdrawn_us = entry->now_us;
	entry->counters.withdrawals++;
	g_array_append_val(task->member->withdrawals, task->seq);
}

void
mst_task_set_result(struct mst_entry *entry, struct job *job, uint32_t index,
    const struct mst_result_item *result)
{
	struct task *task = &job->tasks[index];
	uint64_t bytes = result->body.len + result->content_type.len;

	task->status = result->status;
	task->queue_us = result->queue_us;
	task->service_us = result->service_us;
	task->result_type =
	    (struct mst_bytes){.data = mst_bytes_dup(result->content_type),
		.len = result->content_type.len};
	task->result_body = (struct mst_bytes){
	    .data = mst_bytes_dup(result->body), .len = result->body.len};
	job->bytes += bytes;
	entry->bytes += bytes;
	mst_task_close(entry, job, index, MST_OUTCOME_DONE,
	    result->status >= STATUS_FAILED_MIN ? MST_REASON_TASK_FAILED
						: MST_REASON_NONE);
}

static void
answer_attached_requests(struct mst_entry *entry, struct job *job)
{
	guint i;

	for (i = 0; i < job->requests->len; i++) {
		uint64_t request = g_array_index(job->requests, uint64_t, i);
		struct mst_entry_effect *effect =
		    mst_entry_emit(entry, MST_ENTRY_FX_ANSWER);

		effect->request = request;
		effect->job = job->handle;
		g_hash_table_remove(
		    entry->requests, mst_u64_to_pointer(request));
	}
	g_array_set_size(job->requests, 0);
}

static void
release_job_key(struct mst_entry *entry, struct job *job)
{
	if (job->key != NULL &&
	    g_hash_table_lookup(entry->jobs_by_key, job->key) == job)
		g_hash_table_remove(entry->jobs_by_key, job->key);
}

void
mst_job_unqueue(struct mst_entry *entry, struct job *job)
{
	guint i;

	for (i = 0; i < job->waiting_tasks->len; i++) {
		uint16_t index = g_array_index(job->waiting_tasks, uint16_t, i);

		mst_team_count_waiting(entry, job, -1,
		    mst_task_expected_us(job, &job->tasks[index]));
	}
	g_array_set_size(job->waiting_tasks, 0);
	mst_team_dequeue(entry, job);
}

/* Closes a task that has not ended, because its job is closed. Its outcome is
 * "unknown" if it may have been started. */
static void
close_unfinished_task(struct mst_entry *entry, struct job *job, uint32_t index,
    enum mst_reason reason)
{
	struct task *task = &job->tasks[index];
	enum mst_outcome outcome = MST_OUTCOME_NOT_RUN;

	if (task->state == TASK_SENT || job->may_have_run || task->may_have_run)
		outcome = MST_OUTCOME_UNKNOWN;
	if (task->state == TASK_SENT) {
		mst_task_withdraw(entry, task);
		entry->tasks_sent--;
	}
	task->state = TASK_CLOSED;
	task->closed_us = entry->now_us;
	task->outcome = (uint8_t)outcome;
	task->reason = (uint8_t)reason;
	entry->counters.outcomes[outcome]++;
}

void
mst_job_close_tasks(
    struct mst_entry *entry, struct job *job, enum mst_reason reason)
{
	uint32_t i;

	mst_job_unqueue(entry, job);
	mst_uncertain_add_job(entry, job);
	for (i = 0; i < job->count; i++) {
		if (job->tasks[i].state != TASK_CLOSED)
			close_unfinished_task(entry, job, i, reason);
	}
}

/* Records the final state of a stored job, which is closed once that is done.
 */
static void
record_final_state(struct mst_entry *entry, struct job *job,
    enum mst_job_state state, enum mst_reason reason)
{
	if (mst_stored_set_final(job, state, reason) && state == MST_JOB_FAILED)
		mst_job_close_tasks(entry, job, reason);
	mst_stored_schedule_write(entry, job);
}

void
mst_job_close(struct mst_entry *entry, struct job *job,
    enum mst_job_state state, enum mst_reason reason)
{
	if (job->state != MST_JOB_OPEN)
		return;
	if (!mst_stored_is_final_recorded(job)) {
		record_final_state(entry, job, state, reason);
		return;
	}
	/* An earlier owner may have started any task of an adopted job. */
	if (job->adoption != NULL)
		job->may_have_run = true;
	if (state == MST_JOB_FAILED) {
		mst_job_close_tasks(entry, job, reason);
		entry->counters.jobs_failed++;
	} else {
		mst_uncertain_add_job(entry, job);
		entry->counters.jobs_complete++;
		mst_quarantine_count_complete(entry, job);
	}
	release_job_key(entry, job);
	job->state = state;
	job->reason = reason;
	job->team->tasks_open -= job->open;
	job->open = 0;
	job->closed_us = entry->now_us;
	entry->jobs_open--;
	g_queue_push_tail_link(&entry->closed_jobs, &job->closed_link);
	answer_attached_requests(entry, job);
}

static bool
has_completed_dependencies(const struct job *job, const struct step *step)
{
	uint32_t s;

	for (s = 0; s < job->step_count; s++) {
		if ((step->dependencies >> s & 1) && job->steps[s].open > 0)
			return false;
	}
	return true;
}

static void
handle_task_done(struct mst_entry *entry, struct job *job, uint32_t index)
{
	struct step *task_step = &job->steps[job->tasks[index].step];
	uint32_t s, i;

	if (--task_step->open > 0)
		return;
	for (s = 0; s < job->step_count; s++) {
		struct step *step = &job->steps[s];

		if (!step->blocked || !has_completed_dependencies(job, step))
			continue;
		step->blocked = false;
		for (i = step->first; i < step->first + step->count; i++) {
			if (job->tasks[i].state == TASK_BLOCKED)
				job->tasks[i].state = TASK_WAITING;
		}
		queue_step(entry, job, step);
	}
}

void
mst_task_close(struct mst_entry *entry, struct job *job, uint32_t index,
    enum mst_outcome outcome, enum mst_reason reason)
{
	struct task *task = &job->tasks[index];
	struct mst_entry_effect *effect;

	if (outcome == MST_OUTCOME_NOT_RUN && task->may_have_run)
		outcome = MST_OUTCOME_UNKNOWN;
	effect = mst_entry_emit(entry, MST_ENTRY_FX_TASK);
	effect->job = job->handle;
	effect->index = index;
	effect->peer = task->member ? task->member->incarnation : 0;
	task->state = TASK_CLOSED;
	task->outcome = (uint8_t)outcome;
	task->reason = (uint8_t)reason;
	task->closed_us = entry->now_us;
	task->member = NULL;
	entry->counters.outcomes[outcome]++;
	job->open--;
	job->team->tasks_open--;
	if (outcome != MST_OUTCOME_DONE || reason != MST_REASON_NONE) {
		mst_job_close(entry, job, MST_JOB_FAILED,
		    reason == MST_REASON_DEADLINE ? reason
						  : MST_REASON_TASK_FAILED);
		return;
	}
	if (job->open == 0)
		mst_job_close(entry, job, MST_JOB_COMPLETE, MST_REASON_NONE);
	else
		handle_task_done(entry, job, index);
}

static void
unqueue_task(struct mst_entry *entry, struct job *job, uint32_t index)
{
	guint i;

	for (i = 0; i < job->waiting_tasks->len; i++) {
		if (g_array_index(job->waiting_tasks, uint16_t, i) != index)
			continue;
		g_array_remove_index(job->waiting_tasks, i);
		mst_team_count_waiting(entry, job, -1,
		    mst_task_expected_us(job, &job->tasks[index]));
		break;
	}
	if (job->waiting_tasks->len == 0)
		mst_team_dequeue(entry, job);
}

void
mst_task_force_done(struct mst_entry *entry, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];

	if (task->state == TASK_SENT) {
		mst_task_withdraw(entry, task);
		entry->tasks_sent--;
	} else if (task->state == TASK_WAITING) {
		unqueue_task(entry, job, index);
	}
	mst_task_close(entry, job, index, MST_OUTCOME_DONE, MST_REASON_NONE);
}

void
mst_job_drop(struct mst_entry *entry, struct job *job)
{
	entry->jobs_open--;
	release_job_key(entry, job);
	job->team->tasks_open -= job->open;
	mst_job_unqueue(entry, job);
	mst_job_free(entry, job);
}
