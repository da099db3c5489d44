/*
 * The store's answers to writes of the records of stored jobs. After a
 * conflict, the changes that agents or other entries have written are merged.
 */

#include "base/retry_delay.h"
#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/stored/stored_internal.h"

/* Time from a failed write of a record to the next one, in microseconds. */
static const struct mst_retry_bounds write_bounds = {
    .min = 60 * 1000, .max = 500 * 1000};

static void
array_move_all(GArray *to, GArray *from)
{
	g_array_append_vals(to, from->data, from->len);
	g_array_set_size(from, 0);
}

static void
acknowledge_recorded_results(struct mst_entry *entry, struct stored_job *stored)
{
	guint i;

	for (i = 0; i < stored->acks_in_flight->len; i++) {
		const struct pending_ack *ack = &g_array_index(
		    stored->acks_in_flight, struct pending_ack, i);
		struct member *member = mst_member_find(entry, ack->member);

		if (member != NULL)
			mst_seqset_add(&member->results_received, ack->seq);
	}
	g_array_set_size(stored->acks_in_flight, 0);
}

static void
requeue_abandoned_tasks(struct mst_entry *entry, struct job *job)
{
	GArray *abandoned_runs = job->stored->abandoned_in_flight;
	guint i;

	for (i = 0; i < abandoned_runs->len; i++) {
		uint16_t index = g_array_index(abandoned_runs, uint16_t, i);

		if (job->tasks[index].state == TASK_BLOCKED) {
			job->tasks[index].ready_us = entry->now_us;
			mst_task_requeue(entry, job, index);
		}
	}
	g_array_set_size(abandoned_runs, 0);
}

/* Closes a job whose final state is recorded and answers the requests that wait
 * for it. */
void
mst_stored_close_recorded(struct mst_entry *entry, struct job *job)
{
	struct stored_job *stored = job->stored;

	mst_stored_answer_requests(
	    entry, job, job->requests, MST_STORED_ACCEPTED);
	mst_stored_answer_requests(
	    entry, job, stored->cancel_requests, MST_STORED_CANCELLED);
	mst_record_schedule_expiry(entry, job->key);
	stored->final_recorded = true;
	mst_job_close(entry, job,
	    job->open == 0 ? MST_JOB_COMPLETE : MST_JOB_FAILED, stored->reason);
	mst_entry_emit(entry, MST_ENTRY_FX_CLOSED)->job = job->handle;
}

static void
mark_job_owned(struct mst_entry *entry, struct job *job)
{
	struct stored_job *stored = job->stored;

	if (stored->phase == STORED_NEW)
		entry->counters.jobs_stored++;
	else
		entry->counters.jobs_taken_over++;
	stored->phase = STORED_OWNED;
	stored->claimed_from = 0;
	mst_job_release_text(entry, job, &stored->serialized_job);
	mst_stored_answer_requests(
	    entry, job, job->requests, MST_STORED_ACCEPTED);
	if (stored->state == MST_RECORD_OPEN)
		mst_job_recall_crashes(entry, job);
	if (stored->state == MST_RECORD_OPEN)
		mst_job_queue_all(entry, job);
}

/* Marks a record to be claimed again, because it was written under an ownership
 * that was relinquished meanwhile. */
static void
reclaim_record(struct mst_entry *entry, struct stored_job *stored)
{
	if (stored->phase == STORED_NEW)
		stored->term++;
	stored->phase = STORED_CLAIMED;
	stored->claimed_from = stored->in_flight_owner;
	mst_stored_mark_dirty(entry, stored, 0);
}

static void
handle_write_success(struct mst_entry *entry, struct job *job, uint64_t version)
{
	struct stored_job *stored = job->stored;

	stored->version = version;
	stored->update_seq_confirmed = stored->update_seq_last;
	stored->write_failures = 0;
	acknowledge_recorded_results(entry, stored);
	if (entry->owner.handing_over)
		stored->dirty = false; /* no more writes before the handover */
	else if (stored->in_flight_owner != entry->owner.id)
		reclaim_record(entry, stored);
	else if (stored->phase != STORED_OWNED)
		mark_job_owned(entry, job);
	requeue_abandoned_tasks(entry, job);
	if (stored->in_flight_state != MST_RECORD_OPEN)
		mst_stored_close_recorded(entry, job);
	else
		mst_stored_write_if_due(entry, job);
}

static void
handle_write_failure(struct mst_entry *entry, struct stored_job *stored)
{
	stored->write_failures++;
	entry->counters.store_failures++;
	array_move_all(stored->acks_pending, stored->acks_in_flight);
	array_move_all(stored->abandoned, stored->abandoned_in_flight);
	mst_stored_mark_dirty(entry, stored, 0);
	stored->write_due_us = entry->now_us +
	    mst_retry_delay(&write_bounds, stored->write_failures,
		g_rand_double(entry->rand));
}

/* Merges the current record after a conflict. A final state, such as that of a
 * cancellation, closes the job. */
static void
merge_current_record(struct mst_entry *entry, struct job *job,
    const struct mst_stored_record *current)
{
	struct stored_job *stored = job->stored;

	stored->version = current->version;
	stored->term = MAX(stored->term, current->record.term);
	g_free(stored->extra);
	stored->extra = g_strdup(current->record.extra);
	if (current->record.state != MST_RECORD_OPEN) {
		stored->state = current->record.state;
		if (stored->state == MST_RECORD_CANCELLED)
			stored->reason = MST_REASON_CANCELLED;
		mst_stored_close_recorded(entry, job);
		return;
	}
	mst_stored_merge_tasks(entry, job, current->record.tasks);
	mst_stored_mark_dirty(entry, stored, 0);
	mst_stored_write_if_due(entry, job);
}

/* Returns true if this entry, or the owner that it claims the job from, was the
 * last to write the record as its owner. */
static bool
is_own_record(const struct mst_entry *entry, const struct job *job,
    const struct mst_stored_record *current)
{
	return current->record.owner == entry->owner.id ||
	    (job->stored->phase != STORED_OWNED &&
		current->record.owner == job->stored->claimed_from);
}

/* Drops a job that another entry owns; the job continues there. */
static void
yield_to_owner(struct mst_entry *entry, struct job *job)
{
	mst_stored_answer_requests(
	    entry, job, job->requests, MST_STORED_ACCEPTED);
	mst_stored_answer_requests(
	    entry, job, job->stored->cancel_requests, MST_STORED_UNAVAILABLE);
	mst_stored_drop(entry, job);
}

static void
handle_write_conflict(struct mst_entry *entry, struct job *job,
    const struct mst_store_answer *answer)
{
	struct stored_job *stored = job->stored;
	const struct mst_stored_record *current =
	    answer->record_count > 0 ? &answer->records[0] : NULL;
	bool is_own_update;

	entry->counters.store_conflicts++;
	if (current == NULL || !is_own_record(entry, job, current)) {
		yield_to_owner(entry, job);
		return;
	}
	is_own_update =
	    current->record.update_seq >= stored->update_seq_first &&
	    current->record.update_seq <= stored->update_seq_last;
	/* An earlier submission with this key has been closed. */
	if (stored->phase == STORED_NEW && !is_own_update &&
	    current->record.state != MST_RECORD_OPEN) {
		yield_to_owner(entry, job);
		return;
	}
	if (current->record.owner == entry->owner.id &&
	    current->record.update_seq == stored->update_seq_last) {
		/* An earlier write succeeded, but its answer was lost. */
		handle_write_success(entry, job, current->version);
		return;
	}
	if (current->record.owner == entry->owner.id && is_own_update &&
	    stored->phase != STORED_OWNED)
		mark_job_owned(entry, job);
	else if (stored->phase == STORED_NEW) {
		/* The record was created under an ownership that was
		 * relinquished meanwhile, or for an earlier submission. */
		stored->phase = STORED_CLAIMED;
		stored->claimed_from = current->record.owner;
		stored->term = current->record.term + 1;
	}
	array_move_all(stored->acks_pending, stored->acks_in_flight);
	array_move_all(stored->abandoned, stored->abandoned_in_flight);
	merge_current_record(entry, job, current);
}

void
mst_stored_handle_write(struct mst_entry *entry, struct job *job,
    const struct mst_store_answer *answer)
{
	job->stored->writing = false;
	switch (answer->status) {
	case MST_STORE_OK:
		handle_write_success(entry, job, answer->version);
		break;
	case MST_STORE_CONFLICT:
		handle_write_conflict(entry, job, answer);
		break;
	case MST_STORE_UNAVAILABLE:
		job->stored->write_uncertain = true;
		handle_write_failure(entry, job->stored);
		break;
	case MST_STORE_BUSY:
		handle_write_failure(entry, job->stored);
		break;
	}
}
