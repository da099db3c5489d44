/*
 * Writes of the records of an entry's stored jobs. Each record has at most one
 * write in flight.
 */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/stored/stored_internal.h"

void
mst_stored_answer_requests(struct mst_entry *entry, struct job *job,
    GArray *requests, enum mst_stored_state state)
{
	guint i;

	for (i = 0; i < requests->len; i++) {
		uint64_t request = g_array_index(requests, uint64_t, i);

		g_hash_table_remove(
		    entry->requests, mst_u64_to_pointer(request));
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

/* Encodes the tasks of a job into task_codes, one character per task. */
static void
encode_tasks(const struct job *job)
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
array_move_all(GArray *to, GArray *from)
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

	encode_tasks(job);
	array_move_all(stored->acks_in_flight, stored->acks_pending);
	array_move_all(stored->abandoned_in_flight, stored->abandoned);
	/* The numbers are unique over all jobs of this entry, so that writes of
	 * an earlier job with the same key are not mistaken for this one. */
	stored->update_seq_last = ++entry->last_update_seq;
	if (stored->update_seq_first == 0)
		stored->update_seq_first = stored->update_seq_last;
	stored->dirty = false;
	stored->writing = true;
	stored->in_flight_state = stored->state;
	stored->in_flight_owner = entry->owner.id;
	op->key = job->key;
	op->serialized_job = stored->serialized_job;
	op->expected = stored->version;
	op->record = (struct mst_record){.owner = entry->owner.id,
	    .term = stored->term,
	    .update_seq = stored->update_seq_last,
	    .state = (uint8_t)stored->state,
	    .tasks = stored->task_codes->str,
	    .closed_ms = stored->state == MST_RECORD_OPEN ? 0 : entry->wall_ms,
	    .extra = stored->extra};
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

void
mst_stored_schedule_write(struct mst_entry *entry, struct job *job)
{
	mst_stored_mark_dirty(entry, job->stored, 0);
	mst_stored_write_if_due(entry, job);
}
