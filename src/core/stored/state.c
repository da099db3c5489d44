/* What a stored job adds to a job, and what other parts read of it. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/stored/stored_internal.h"

#define STORED_NO_DEADLINE_US (INT64_C(1) << 60)

int64_t
mst_stored_no_deadline_us(const struct mst_entry *entry)
{
	return entry->now_us + STORED_NO_DEADLINE_US;
}

void
mst_record_copy(struct mst_record *to, const struct mst_record *from)
{
	*to = *from;
	to->tasks = g_strdup(from->tasks);
	to->extra = g_strdup(from->extra);
}

void
mst_record_clear(struct mst_record *record)
{
	g_free((char *)record->tasks);
	g_free((char *)record->extra);
	*record = (struct mst_record){0};
}

bool
mst_stored_is_final_recorded(const struct job *job)
{
	return job->stored == NULL || job->stored->final_recorded;
}

bool
mst_stored_set_final(
    struct job *job, enum mst_job_state state, enum mst_reason reason)
{
	struct stored_job *stored = job->stored;

	if (stored->state != MST_RECORD_OPEN)
		return false;
	stored->reason = reason;
	if (state == MST_JOB_COMPLETE)
		stored->state = MST_RECORD_COMPLETE;
	else if (reason == MST_REASON_CANCELLED)
		stored->state = MST_RECORD_CANCELLED;
	else
		stored->state = MST_RECORD_FAILED;
	return true;
}

struct stored_job *
mst_stored_state_new(enum stored_phase phase)
{
	struct stored_job *stored = g_new0(struct stored_job, 1);

	stored->phase = phase;
	stored->state = MST_RECORD_OPEN;
	stored->acks_pending =
	    g_array_new(FALSE, FALSE, sizeof(struct pending_ack));
	stored->acks_in_flight =
	    g_array_new(FALSE, FALSE, sizeof(struct pending_ack));
	stored->abandoned = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	stored->abandoned_in_flight =
	    g_array_new(FALSE, FALSE, sizeof(uint16_t));
	stored->cancel_requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	stored->task_codes = g_string_new(NULL);
	return stored;
}

void
mst_stored_free(struct stored_job *stored)
{
	if (stored == NULL)
		return;
	g_array_unref(stored->acks_pending);
	g_array_unref(stored->acks_in_flight);
	g_array_unref(stored->abandoned);
	g_array_unref(stored->abandoned_in_flight);
	g_array_unref(stored->cancel_requests);
	g_string_free(stored->task_codes, TRUE);
	g_free(stored->serialized_job);
	g_free(stored->extra);
	g_free(stored);
}

void
mst_entry_report_state(
    struct mst_entry *entry, uint64_t request, enum mst_stored_state state)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_STATE);

	effect->request = request;
	effect->stored = state;
}

uint32_t
mst_stored_run_number(const struct job *job, const struct task *task)
{
	if (job->stored == NULL)
		return task->attempts;
	return (job->stored->term << STORED_TERM_SHIFT) + task->attempts;
}

bool
mst_stored_has_used_run_numbers(const struct job *job, const struct task *task)
{
	return job->stored != NULL &&
	    task->attempts >= (1u << STORED_TERM_SHIFT) - 1;
}

void
mst_stored_fill_dispatch(const struct mst_entry *entry, const struct job *job,
    struct mst_dispatch_item *item)
{
	if (job->stored == NULL)
		return;
	item->record = mst_bytes_from_str(job->key);
	item->owner = entry->owner.id;
	item->term = job->stored->term;
}

bool
mst_stored_is_owned(const struct job *job)
{
	return job->stored == NULL || job->stored->phase == STORED_OWNED;
}
