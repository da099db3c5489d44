/*
 * Questions of callers about stored jobs: their state and their cancellation,
 * at any entry. What isn't this entry's is looked up in the store.
 */

#include "core/entry_stored.h"

#include <string.h>

#define INQUIRY_RETRY_US (INT64_C(60) * 1000)
#define INQUIRY_TRIES    40 /* of a cancellation */

static enum mst_stored_state
closed_state(enum mst_record_state state)
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

/* A question about a stored job that isn't this entry's, or a cancellation on
 * its way. */
struct stored_lookup {
	uint64_t request;
	char *key;
	bool cancels;
	unsigned tries;
	int64_t due_us;
	bool asked; /* an operation is on its way */
	uint64_t version;
	struct mst_record record; /* CANCEL: as it is written; tasks owned */
};

void
mst_stored_lookup_free(struct stored_lookup *inquiry)
{
	g_free(inquiry->key);
	g_free((char *)inquiry->record.tasks);
	g_free(inquiry);
}

static void
inquiry_ask(struct mst_entry *entry, struct stored_lookup *inquiry)
{
	struct mst_store_op *op = mst_entry_store_op(entry,
	    inquiry->version != 0 ? MST_STORE_CANCEL : MST_STORE_GET_RECORD,
	    (uint64_t)(uintptr_t)inquiry);

	inquiry->asked = true;
	op->key = inquiry->key;
	op->expected = inquiry->version;
	op->record = inquiry->record;
}

static void
inquire(
    struct mst_entry *entry, uint64_t request, const char *key, bool cancels)
{
	struct stored_lookup *inquiry = g_new0(struct stored_lookup, 1);

	inquiry->request = request;
	inquiry->key = g_strdup(key);
	inquiry->cancels = cancels;
	g_ptr_array_add(entry->stored_lookups, inquiry);
	inquiry_ask(entry, inquiry);
}

static void
inquiry_end(struct mst_entry *entry, struct stored_lookup *inquiry,
    enum mst_stored_state state)
{
	mst_entry_report_state(entry, inquiry->request, state);
	g_ptr_array_remove_fast(entry->stored_lookups, inquiry);
}

/* Writes the cancellation over what was found. */
static void
inquiry_cancel(struct mst_entry *entry, struct stored_lookup *inquiry,
    const struct mst_stored_record *found)
{
	g_free((char *)inquiry->record.tasks);
	inquiry->record = found->record;
	inquiry->record.tasks = g_strdup(found->record.tasks);
	inquiry->record.state = MST_RECORD_CANCELLED;
	inquiry->record.closed_ms = entry->wall_ms;
	inquiry->version = found->version;
	inquiry_ask(entry, inquiry);
}

static enum mst_stored_state
state_of_record(const struct mst_record *record)
{
	const char *at;

	if (record->state != MST_RECORD_OPEN)
		return closed_state(record->state);
	for (at = record->tasks; *at != '\0'; at++) {
		if (*at != MST_RECORD_NO_FAILURES)
			return MST_STORED_RUNNING;
	}
	return MST_STORED_QUEUED;
}

static void
inquiry_found(struct mst_entry *entry, struct stored_lookup *inquiry,
    const struct mst_store_answer *answer)
{
	const struct mst_stored_record *found =
	    answer->record_count > 0 ? &answer->records[0] : NULL;

	if (found == NULL)
		inquiry_end(entry, inquiry, MST_STORED_UNKNOWN);
	else if (inquiry->cancels && found->record.state == MST_RECORD_OPEN)
		inquiry_cancel(entry, inquiry, found);
	else
		inquiry_end(entry, inquiry, state_of_record(&found->record));
}

void
mst_stored_lookup_done(struct mst_entry *entry, struct stored_lookup *inquiry,
    const struct mst_store_answer *answer)
{
	inquiry->asked = false;
	if (answer->status == MST_STORE_CONFLICT ||
	    (answer->status == MST_STORE_OK && inquiry->version == 0)) {
		inquiry->version = 0;
		inquiry_found(entry, inquiry, answer);
	} else if (answer->status == MST_STORE_OK) {
		inquiry_end(entry, inquiry, MST_STORED_CANCELLED);
	} else if (!inquiry->cancels || ++inquiry->tries > INQUIRY_TRIES) {
		inquiry_end(entry, inquiry, MST_STORED_UNAVAILABLE);
	} else {
		inquiry->due_us = entry->now_us + INQUIRY_RETRY_US;
	}
}

void
mst_stored_lookups_retry(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->stored_lookups->len; i++) {
		struct stored_lookup *inquiry = entry->stored_lookups->pdata[i];

		if (!inquiry->asked && entry->now_us >= inquiry->due_us)
			inquiry_ask(entry, inquiry);
	}
}

static struct job *
held_job(const struct mst_entry *entry, const char *key)
{
	struct job *job = g_hash_table_lookup(entry->by_key, key);

	if (job == NULL || job->stored == NULL ||
	    job->stored->phase != STORED_OWNED || job->state != MST_JOB_OPEN)
		return NULL;
	return job;
}

void
mst_stored_report_state(
    struct mst_entry *entry, uint64_t request, const char *key)
{
	const struct job *job = held_job(entry, key);

	if (job == NULL)
		inquire(entry, request, key, false);
	else
		mst_entry_report_state(entry, request,
		    job->started > 0 ? MST_STORED_RUNNING : MST_STORED_QUEUED);
}

void
mst_stored_cancel(struct mst_entry *entry, uint64_t request, const char *key)
{
	struct job *job = held_job(entry, key);

	if (job == NULL) {
		inquire(entry, request, key, true);
		return;
	}
	g_array_append_val(job->stored->cancel_requests, request);
	mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_CANCELLED);
}

/* Cancellations may have been missed: the records tell. */
static void
touch_all(struct mst_entry *entry)
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
		touch_all(entry);
		return;
	}
	job = held_job(entry, key);
	if (job == NULL || job->stored->state != MST_RECORD_OPEN)
		return;
	/* Its record says so already. */
	job->stored->state = MST_RECORD_CANCELLED;
	job->stored->reason = MST_REASON_CANCELLED;
	mst_stored_close_recorded(entry, job);
}
