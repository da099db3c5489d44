/*
 * Records of an entry's stored jobs: what is written, when, and what follows
 * from the answer. One change of a record is on its way at a time; what others
 * have written meanwhile is merged.
 */

#include "core/entry_stored.h"

#include <string.h>

#define STORED_RETRY_US     (INT64_C(60) * 1000)
#define STORED_RETRY_MAX_US (INT64_C(500) * 1000)

void
mst_stored_reply_all(struct mst_entry *entry, struct job *job, GArray *requests,
    enum mst_stored_state state)
{
	guint i;

	for (i = 0; i < requests->len; i++) {
		uint64_t request = g_array_index(requests, uint64_t, i);

		g_hash_table_remove(entry->requests, mst_key(request));
		mst_entry_report_state(entry, request, state);
	}
	g_array_set_size(requests, 0);
}

void
mst_stored_mark_dirty(
    const struct mst_entry *entry, struct stored_job *stored, int64_t delay_us)
{
	int64_t due_us = entry->now_us + delay_us;

	if (!stored->dirty || due_us < stored->write_due_us)
		stored->write_due_us = due_us;
	stored->dirty = true;
}

static void
write_tasks(const struct job *job)
{
	GString *tasks = job->stored->task_codes;
	uint32_t i;

	g_string_set_size(tasks, job->count);
	for (i = 0; i < job->count; i++) {
		const struct task *task = &job->tasks[i];
		bool done = task->state == TASK_CLOSED &&
		    task->outcome == MST_OUTCOME_DONE &&
		    task->reason == MST_REASON_NONE;

		tasks->str[i] = done
		    ? MST_RECORD_DONE
		    : (char)(MST_RECORD_NO_FAILURES +
			  MIN(task->failures, MST_RECORD_FAILURES_MAX));
	}
}

static void
move_all(GArray *to, GArray *from)
{
	g_array_append_vals(to, from->data, from->len);
	g_array_set_size(from, 0);
}

static void
write_record(struct mst_entry *entry, struct job *job)
{
	struct stored_job *stored = job->stored;
	struct mst_store_op *op = mst_entry_store_op(entry,
	    stored->phase == STORED_NEW ? MST_STORE_CREATE : MST_STORE_UPDATE,
	    job->handle);

	write_tasks(job);
	move_all(stored->acks_in_flight, stored->acks_pending);
	move_all(stored->abandoned_in_flight, stored->abandoned);
	/* Counted over all jobs: an older one of the same key has others. */
	stored->update_seq_last = ++entry->last_update_seq;
	if (stored->update_seq_first == 0)
		stored->update_seq_first = stored->update_seq_last;
	stored->dirty = false;
	stored->writing = true;
	stored->in_flight_state = stored->state;
	stored->in_flight_owner = entry->owner.id;
	op->key = job->key;
	op->serialized_job = stored->spec_text;
	op->expected = stored->version;
	op->record = (struct mst_record){.owner = entry->owner.id,
	    .term = stored->term,
	    .update_seq = stored->update_seq_last,
	    .state = (uint8_t)stored->state,
	    .tasks = stored->task_codes->str,
	    .closed_ms = stored->state == MST_RECORD_OPEN ? 0 : entry->wall_ms};
}

void
mst_stored_write_if_due(struct mst_entry *entry, struct job *job)
{
	struct stored_job *stored = job->stored;

	if (stored->dirty && !stored->writing &&
	    entry->now_us >= stored->write_due_us &&
	    mst_owner_is_confirmed(entry))
		write_record(entry, job);
}

static void
settle_all(struct mst_entry *entry, struct stored_job *stored)
{
	guint i;

	for (i = 0; i < stored->acks_in_flight->len; i++) {
		const struct pending_ack *settled = &g_array_index(
		    stored->acks_in_flight, struct pending_ack, i);
		struct member *member = mst_member_find(entry, settled->member);

		if (member != NULL)
			mst_seqset_add(&member->received, settled->seq);
	}
	g_array_set_size(stored->acks_in_flight, 0);
}

static void
requeue_voided(struct mst_entry *entry, struct job *job)
{
	GArray *voiding = job->stored->abandoned_in_flight;
	guint i;

	for (i = 0; i < voiding->len; i++) {
		uint16_t index = g_array_index(voiding, uint16_t, i);

		if (job->tasks[index].state == TASK_BLOCKED)
			mst_task_requeue(entry, job, index);
	}
	g_array_set_size(voiding, 0);
}

/* A job whose end is recorded is closed for good. */
void
mst_stored_close_recorded(struct mst_entry *entry, struct job *job)
{
	struct stored_job *stored = job->stored;

	mst_stored_reply_all(entry, job, job->requests, MST_STORED_ACCEPTED);
	mst_stored_reply_all(
	    entry, job, stored->cancel_requests, MST_STORED_CANCELLED);
	mst_record_schedule_expiry(entry, job->key);
	stored->final_recorded = true;
	mst_job_close(entry, job,
	    job->open == 0 ? MST_JOB_COMPLETE : MST_JOB_FAILED, stored->reason);
	mst_entry_emit(entry, MST_ENTRY_FX_CLOSED)->job = job->handle;
}

static void
now_held(struct mst_entry *entry, struct job *job)
{
	struct stored_job *stored = job->stored;

	if (stored->phase == STORED_NEW)
		entry->counters.jobs_stored++;
	else
		entry->counters.jobs_taken_over++;
	stored->phase = STORED_OWNED;
	stored->claimed_from = 0;
	g_clear_pointer(&stored->spec_text, g_free);
	mst_stored_reply_all(entry, job, job->requests, MST_STORED_ACCEPTED);
	if (stored->state == MST_RECORD_OPEN)
		mst_job_queue_all(entry, job);
}

/* A record was written under an ownership that was given up since: it is there,
 * but has to be claimed. */
static void
written_before(struct mst_entry *entry, struct stored_job *stored)
{
	if (stored->phase == STORED_NEW)
		stored->term++;
	stored->phase = STORED_CLAIMED;
	stored->claimed_from = stored->in_flight_owner;
	mst_stored_mark_dirty(entry, stored, 0);
}

static void
written(struct mst_entry *entry, struct job *job, uint64_t version)
{
	struct stored_job *stored = job->stored;

	stored->version = version;
	stored->update_seq_confirmed = stored->update_seq_last;
	stored->write_failures = 0;
	settle_all(entry, stored);
	if (entry->owner.handing_over)
		stored->dirty = false; /* it is handed over as it is */
	else if (stored->in_flight_owner != entry->owner.id)
		written_before(entry, stored);
	else if (stored->phase != STORED_OWNED)
		now_held(entry, job);
	requeue_voided(entry, job);
	if (stored->in_flight_state != MST_RECORD_OPEN)
		mst_stored_close_recorded(entry, job);
	else
		mst_stored_write_if_due(entry, job);
}

static void
not_written(struct mst_entry *entry, struct stored_job *stored)
{
	int64_t wait_us = STORED_RETRY_US << MIN(stored->write_failures, 8);

	stored->write_failures++;
	entry->counters.store_failures++;
	move_all(stored->acks_pending, stored->acks_in_flight);
	move_all(stored->abandoned, stored->abandoned_in_flight);
	mst_stored_mark_dirty(entry, stored, 0);
	stored->write_due_us =
	    entry->now_us + MIN(wait_us, STORED_RETRY_MAX_US);
}

/* What others have written into a record that this entry owns: ends that an
 * agent has recorded, or a cancellation. */
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

static void
merge(struct mst_entry *entry, struct job *job,
    const struct mst_stored_record *found)
{
	struct stored_job *stored = job->stored;

	stored->version = found->version;
	stored->term = MAX(stored->term, found->record.term);
	if (found->record.state != MST_RECORD_OPEN) {
		stored->state = found->record.state;
		if (stored->state == MST_RECORD_CANCELLED)
			stored->reason = MST_REASON_CANCELLED;
		mst_stored_close_recorded(entry, job);
		return;
	}
	mst_stored_merge_tasks(entry, job, found->record.tasks);
	mst_stored_mark_dirty(entry, stored, 0);
	mst_stored_write_if_due(entry, job);
}

static bool
is_own(const struct mst_entry *entry, const struct job *job,
    const struct mst_stored_record *found)
{
	return found->record.owner == entry->owner.id ||
	    (job->stored->phase != STORED_OWNED &&
		found->record.owner == job->stored->claimed_from);
}

/* Another entry has the job: it goes on there. */
static void
let_go(struct mst_entry *entry, struct job *job)
{
	mst_stored_reply_all(entry, job, job->requests, MST_STORED_ACCEPTED);
	mst_stored_reply_all(
	    entry, job, job->stored->cancel_requests, MST_STORED_UNAVAILABLE);
	mst_stored_drop(entry, job);
}

static void
conflicted(struct mst_entry *entry, struct job *job,
    const struct mst_store_answer *answer)
{
	struct stored_job *stored = job->stored;
	const struct mst_stored_record *found =
	    answer->record_count > 0 ? &answer->records[0] : NULL;
	bool tried;

	entry->counters.store_conflicts++;
	if (found == NULL || !is_own(entry, job, found)) {
		let_go(entry, job);
		return;
	}
	tried = found->record.update_seq >= stored->update_seq_first &&
	    found->record.update_seq <= stored->update_seq_last;
	if (stored->phase == STORED_NEW && !tried &&
	    found->record.state != MST_RECORD_OPEN) {
		let_go(entry, job);
		return;
	}
	if (found->record.owner == entry->owner.id &&
	    found->record.update_seq == stored->update_seq_last) {
		/* An earlier try was done without an answer. */
		written(entry, job, found->version);
		return;
	}
	if (found->record.owner == entry->owner.id && tried &&
	    stored->phase != STORED_OWNED)
		now_held(entry, job);
	else if (stored->phase == STORED_NEW) {
		/* Created under an ownership that was given up since, or
		 * for an earlier submission. */
		stored->phase = STORED_CLAIMED;
		stored->claimed_from = found->record.owner;
		stored->term = found->record.term + 1;
	}
	move_all(stored->acks_pending, stored->acks_in_flight);
	move_all(stored->abandoned, stored->abandoned_in_flight);
	merge(entry, job, found);
}

void
mst_stored_write_done(struct mst_entry *entry, struct job *job,
    const struct mst_store_answer *answer)
{
	job->stored->writing = false;
	switch (answer->status) {
	case MST_STORE_OK:
		written(entry, job, answer->version);
		break;
	case MST_STORE_CONFLICT:
		conflicted(entry, job, answer);
		break;
	case MST_STORE_UNAVAILABLE:
		job->stored->write_uncertain = true;
		not_written(entry, job->stored);
		break;
	case MST_STORE_BUSY:
		not_written(entry, job->stored);
		break;
	}
}
