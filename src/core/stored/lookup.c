/*
 * State requests and cancellations of stored jobs, which callers may send to
 * any entry. Jobs that this entry does not own are looked up in the store.
 */

#include "base/retry_delay.h"
#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/stored/stored_internal.h"

#include <string.h>

#define LOOKUP_FAILURES_MAX 20 /* failed operations of one cancellation */

/* Time from a failed operation to the next one, in microseconds. */
static const struct mst_retry_bounds lookup_bounds = {
    .min = 60 * 1000, .max = 160 * 1000};

static enum mst_stored_state
stored_state_of_closed(enum mst_record_state state)
{
	switch (state) {
	case MST_RECORD_COMPLETE:
		return MST_STORED_COMPLETE;
	case MST_RECORD_FAILED:
		return MST_STORED_FAILED;
	case MST_RECORD_CANCELLED:
		return MST_STORED_CANCELLED;
	case MST_RECORD_OPEN:
		break;
	}
	return MST_STORED_RUNNING;
}

/* A pending state request or cancellation for a stored job that this entry does
 * not own. */
struct stored_lookup {
	uint64_t request;
	char *key;
	bool is_cancellation;     /* false: a state request */
	unsigned failures;        /* cancellation: failed operations */
	int64_t due_us;           /* time of the next attempt */
	bool in_flight;           /* a store operation is in flight */
	uint64_t version;         /* version to replace; 0: not read yet */
	struct mst_record record; /* cancelled record to write; a copy */
};

void
mst_stored_lookup_free(struct stored_lookup *lookup)
{
	g_free(lookup->key);
	mst_record_clear(&lookup->record);
	g_free(lookup);
}

static void
lookup_send_op(struct mst_entry *entry, struct stored_lookup *lookup)
{
	struct mst_store_op *op = mst_entry_store_op(entry,
	    lookup->version != 0 ? MST_STORE_CANCEL : MST_STORE_GET_RECORD,
	    lookup->request);

	lookup->in_flight = true;
	op->key = lookup->key;
	op->expected = lookup->version;
	op->record = lookup->record;
}

static void
lookup_start(struct mst_entry *entry, uint64_t request, const char *key,
    bool is_cancellation)
{
	struct stored_lookup *lookup = g_new0(struct stored_lookup, 1);

	lookup->request = request;
	lookup->key = g_strdup(key);
	lookup->is_cancellation = is_cancellation;
	g_ptr_array_add(entry->stored_lookups, lookup);
	lookup_send_op(entry, lookup);
}

static void
lookup_finish(struct mst_entry *entry, struct stored_lookup *lookup,
    enum mst_stored_state state)
{
	mst_entry_report_state(entry, lookup->request, state);
	g_ptr_array_remove_fast(entry->stored_lookups, lookup);
}

/* Writes the current record with its state changed to cancelled. */
static void
lookup_write_cancelled(struct mst_entry *entry, struct stored_lookup *lookup,
    const struct mst_stored_record *current)
{
	mst_record_clear(&lookup->record);
	mst_record_copy(&lookup->record, &current->record);
	lookup->record.state = MST_RECORD_CANCELLED;
	lookup->record.closed_ms = entry->wall_ms;
	lookup->version = current->version;
	lookup_send_op(entry, lookup);
}

static enum mst_stored_state
stored_state_of_record(const struct mst_record *record)
{
	const char *code;

	if (record->state != MST_RECORD_OPEN)
		return stored_state_of_closed(record->state);
	for (code = record->tasks; *code != '\0'; code++) {
		if (*code != MST_RECORD_NO_FAILURES)
			return MST_STORED_RUNNING;
	}
	return MST_STORED_QUEUED;
}

static void
lookup_handle_record(struct mst_entry *entry, struct stored_lookup *lookup,
    const struct mst_store_answer *answer)
{
	const struct mst_stored_record *current =
	    answer->record_count > 0 ? &answer->records[0] : NULL;

	if (current == NULL)
		lookup_finish(entry, lookup, MST_STORED_UNKNOWN);
	else if (lookup->is_cancellation &&
	    current->record.state == MST_RECORD_OPEN)
		lookup_write_cancelled(entry, lookup, current);
	else
		lookup_finish(
		    entry, lookup, stored_state_of_record(&current->record));
}

static struct stored_lookup *
find_lookup(const struct mst_entry *entry, uint64_t request)
{
	guint i;

	for (i = 0; i < entry->stored_lookups->len; i++) {
		struct stored_lookup *lookup = entry->stored_lookups->pdata[i];

		if (lookup->request == request)
			return lookup;
	}
	return NULL;
}

void
mst_stored_handle_lookup(struct mst_entry *entry, uint64_t request,
    const struct mst_store_answer *answer)
{
	struct stored_lookup *lookup = find_lookup(entry, request);

	if (lookup == NULL)
		return;
	lookup->in_flight = false;
	if (answer->status == MST_STORE_CONFLICT ||
	    (answer->status == MST_STORE_OK && lookup->version == 0)) {
		lookup->version = 0;
		lookup_handle_record(entry, lookup, answer);
	} else if (answer->status == MST_STORE_OK) {
		lookup_finish(entry, lookup, MST_STORED_CANCELLED);
	} else if (!lookup->is_cancellation ||
	    ++lookup->failures > LOOKUP_FAILURES_MAX) {
		lookup_finish(entry, lookup, MST_STORED_UNAVAILABLE);
	} else {
		lookup->due_us = entry->now_us +
		    mst_retry_delay(&lookup_bounds, lookup->failures,
			g_rand_double(entry->rand));
	}
}

void
mst_stored_lookups_retry(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->stored_lookups->len; i++) {
		struct stored_lookup *lookup = entry->stored_lookups->pdata[i];

		if (!lookup->in_flight && entry->now_us >= lookup->due_us)
			lookup_send_op(entry, lookup);
	}
}

static struct job *
find_owned_job(const struct mst_entry *entry, const char *key)
{
	struct job *job = g_hash_table_lookup(entry->jobs_by_key, key);

	if (job == NULL || job->stored == NULL ||
	    job->stored->phase != STORED_OWNED || job->state != MST_JOB_OPEN)
		return NULL;
	return job;
}

void
mst_stored_report_state(
    struct mst_entry *entry, uint64_t request, const char *key)
{
	const struct job *job = find_owned_job(entry, key);

	if (job == NULL)
		lookup_start(entry, request, key, false);
	else
		mst_entry_report_state(entry, request,
		    job->started > 0 ? MST_STORED_RUNNING : MST_STORED_QUEUED);
}

void
mst_stored_cancel(struct mst_entry *entry, uint64_t request, const char *key)
{
	struct job *job = find_owned_job(entry, key);

	if (job == NULL) {
		lookup_start(entry, request, key, true);
		return;
	}
	g_array_append_val(job->stored->cancel_requests, request);
	mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_CANCELLED);
}

/* Marks the records of all open stored jobs dirty. Called when notices of
 * cancellations may have been missed: writing a record that was cancelled fails
 * with a conflict, whose answer contains its state. */
static void
mark_stored_jobs_dirty(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->jobs->len; i++) {
		struct job *job = entry->jobs->pdata[i];

		if (job != NULL && job->stored != NULL &&
		    job->state == MST_JOB_OPEN)
			mst_stored_mark_dirty(entry, job->stored, 0);
	}
}

void
mst_stored_handle_cancelled(struct mst_entry *entry, const char *key)
{
	struct job *job;

	if (key == NULL) {
		mark_stored_jobs_dirty(entry);
		return;
	}
	job = find_owned_job(entry, key);
	if (job == NULL || job->stored->state != MST_RECORD_OPEN)
		return;
	/* The record already has this state. */
	job->stored->state = MST_RECORD_CANCELLED;
	job->stored->reason = MST_REASON_CANCELLED;
	mst_stored_close_recorded(entry, job);
}
