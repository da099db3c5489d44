/*
 * Stored jobs of an entry. A stored job is recorded before it is accepted, runs
 * while this entry owns its record, and is closed once its final state is
 * recorded. A completion is acknowledged to the agent only after it has been
 * recorded, so that the next owner of the job either finds the completion or
 * may run the task.
 */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/stored/stored_internal.h"

#include <string.h>

/* Delay of a write that records completions, to batch several of them. */
#define STORED_BATCH_US       (INT64_C(20) * 1000)
#define STORED_RETRY_AFTER_MS 1000
/* Of the memory for jobs and of the tasks that may wait. Stored jobs may wait
 * for long; the rest is kept for jobs whose callers wait for the answer. */
#define STORED_JOBS_SHARE 0.75

void
mst_stored_defer_ack(struct mst_entry *entry, struct job *job,
    const struct member *member, uint64_t seq)
{
	const struct pending_ack ack = {
	    .member = member->incarnation, .seq = seq};

	/* The caller applies the task's completion next, so no write can start
	 * in between. */
	g_array_append_val(job->stored->acks_pending, ack);
	mst_stored_mark_dirty(entry, job->stored, STORED_BATCH_US);
}

void
mst_stored_abandon_run(struct mst_entry *entry, struct job *job, uint32_t index)
{
	struct stored_job *stored = job->stored;
	struct task *task = &job->tasks[index];
	uint16_t task_index = (uint16_t)index;

	task->state = TASK_BLOCKED;
	task->may_have_run = true;
	mst_task_avoid(entry, task, task->member);
	task->member = NULL;
	/* One increment is enough for all runs that one write abandons. */
	if (stored->abandoned->len == 0 ||
	    mst_stored_has_used_run_numbers(job, task))
		stored->term++;
	if (mst_stored_has_used_run_numbers(job, task))
		task->attempts = 0;
	g_array_append_val(stored->abandoned, task_index);
	mst_stored_mark_dirty(entry, stored, 0);
}

void
mst_stored_drop(struct mst_entry *entry, struct job *job)
{
	uint32_t i;

	for (i = 0; i < job->count; i++) {
		struct task *task = &job->tasks[i];

		if (task->state != TASK_SENT)
			continue;
		mst_task_withdraw(entry, task);
		entry->tasks_sent--;
	}
	mst_job_drop(entry, job);
}

/* Withdraws a job's tasks from the members until this entry owns the record
 * again. Results that arrive meanwhile are accepted, because no task is run
 * again before that. */
static void
suspend_job(struct mst_entry *entry, struct job *job)
{
	struct stored_job *stored = job->stored;
	uint32_t i;

	if (stored->phase == STORED_OWNED) {
		stored->phase = STORED_CLAIMED;
		stored->term++;
	}
	stored->claimed_from = entry->owner.id;
	mst_job_unqueue(entry, job);
	for (i = 0; i < job->count; i++) {
		if (job->tasks[i].state == TASK_SENT)
			mst_task_withdraw(entry, &job->tasks[i]);
	}
	if (!entry->owner.handing_over)
		mst_stored_mark_dirty(entry, stored, 0);
}

void
mst_stored_suspend_all(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->jobs->len; i++) {
		struct job *job = entry->jobs->pdata[i];

		if (job == NULL || job->stored == NULL ||
		    job->state != MST_JOB_OPEN)
			continue;
		entry->counters.jobs_dropped++;
		mst_stored_answer_requests(
		    entry, job, job->requests, MST_STORED_UNAVAILABLE);
		mst_stored_answer_requests(entry, job,
		    job->stored->cancel_requests, MST_STORED_UNAVAILABLE);
		suspend_job(entry, job);
	}
}

void
mst_stored_drop_all(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->jobs->len; i++) {
		struct job *job = entry->jobs->pdata[i];

		if (job != NULL && job->stored != NULL &&
		    job->state == MST_JOB_OPEN)
			mst_stored_drop(entry, job);
	}
}

/* Answers the callers of a job that could not be stored in time. If every write
 * was answered, the job is refused and dropped, as none of its tasks can run.
 * After a write without an answer the record may exist, so the job is kept and
 * its state is reported as unavailable. */
static void
fail_submission(struct mst_entry *entry, struct job *job)
{
	guint i;

	for (i = 0; i < job->requests->len; i++) {
		uint64_t request = g_array_index(job->requests, uint64_t, i);

		g_hash_table_remove(
		    entry->requests, mst_u64_to_pointer(request));
		if (job->stored->write_uncertain)
			mst_entry_report_state(
			    entry, request, MST_STORED_UNAVAILABLE);
		else
			mst_entry_refuse(entry, request, MST_REASON_OVERLOAD,
			    STORED_RETRY_AFTER_MS);
	}
	g_array_set_size(job->requests, 0);
	if (!job->stored->write_uncertain)
		mst_stored_drop(entry, job);
}

void
mst_stored_tick(struct mst_entry *entry, struct job *job)
{
	struct stored_job *stored = job->stored;

	if (stored->phase == STORED_NEW && job->requests->len > 0 &&
	    !stored->writing && entry->now_us >= stored->accept_deadline_us) {
		fail_submission(entry, job);
		return;
	}
	mst_stored_write_if_due(entry, job);
}

static enum mst_reason
refusal_reason(struct mst_entry *entry, const struct mst_job_spec *spec)
{
	if (entry->draining)
		return MST_REASON_STOPPING;
	if (entry->config == NULL)
		return MST_REASON_NO_CONFIG;
	if (entry->jobs_open >= entry->options.jobs_max ||
	    !mst_entry_make_room(entry, mst_spec_bytes(spec),
		(uint64_t)((double)entry->options.bytes_max *
		    STORED_JOBS_SHARE)) ||
	    entry->tasks_waiting + spec->count >
		entry->config->policy.queue_tasks_max * STORED_JOBS_SHARE)
		return MST_REASON_OVERLOAD;
	return MST_REASON_NONE;
}

void
mst_stored_submit(
    struct mst_entry *entry, uint64_t request, const struct mst_job_spec *spec)
{
	struct job *job = g_hash_table_lookup(entry->jobs_by_key, spec->key);
	enum mst_reason reason = refusal_reason(entry, spec);
	struct team *team;

	if (job != NULL && job->stored != NULL) {
		if (job->stored->phase == STORED_NEW)
			mst_request_attach(entry, job, request);
		else
			mst_entry_report_state(
			    entry, request, MST_STORED_ACCEPTED);
		return;
	}
	team = mst_team_get(entry, spec->team);
	if (reason == MST_REASON_NONE && team == NULL)
		reason = MST_REASON_QUOTA;
	if (reason != MST_REASON_NONE) {
		mst_entry_refuse(entry, request, reason, STORED_RETRY_AFTER_MS);
		return;
	}
	job = mst_stored_new(entry, spec, team, STORED_NEW);
	job->stored->serialized_job = g_strdup(spec->serialized_job);
	/* 90 % of the timeout, so that the caller gets an answer in time. */
	job->stored->accept_deadline_us =
	    entry->now_us + (int64_t)spec->timeout_ms * 900;
	mst_request_attach(entry, job, request);
	if (mst_spec_is_unplaceable(entry, spec)) {
		job->stored->state = MST_RECORD_FAILED;
		job->stored->reason = MST_REASON_NO_FIT;
	}
	mst_stored_mark_dirty(entry, job->stored, 0);
	mst_owner_ensure(entry);
	mst_stored_write_if_due(entry, job);
}

struct job *
mst_stored_new(struct mst_entry *entry, const struct mst_job_spec *spec,
    struct team *team, enum stored_phase phase)
{
	struct mst_job_spec spec_with_id = *spec;
	struct job *job;

	spec_with_id.ticket.job.issuer = entry->incarnation;
	spec_with_id.ticket.job.counter = ++entry->next_counter;
	job = mst_job_new(entry, &spec_with_id, team);
	job->stored = mst_stored_state_new(phase);
	job->deadline_us = mst_stored_no_deadline_us(entry);
	mst_job_set_objective(entry, job);
	entry->jobs_open++;
	entry->counters.jobs++;
	entry->counters.tasks += spec->count;
	team->tasks_open += spec->count;
	return job;
}

void
mst_stored_claim(struct mst_entry *entry, const struct mst_job_spec *spec,
    const struct mst_stored_record *stored_record)
{
	struct team *team = mst_team_get(entry, spec->team);
	struct job *job;

	if (team == NULL || strlen(stored_record->record.tasks) != spec->count)
		return;
	/* A later sweep finds it again, or another entry's. */
	if (!mst_entry_make_room(
		entry, mst_spec_bytes(spec), entry->options.bytes_max))
		return;
	job = mst_stored_new(entry, spec, team, STORED_CLAIMED);
	job->stored->claimed_from = stored_record->record.owner;
	job->stored->version = stored_record->version;
	job->stored->term = stored_record->record.term + 1;
	job->stored->extra = g_strdup(stored_record->record.extra);
	mst_stored_merge_tasks(entry, job, stored_record->record.tasks);
	mst_stored_mark_dirty(entry, job->stored, 0);
	mst_stored_write_if_due(entry, job);
}
