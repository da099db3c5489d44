/*
 * Stored jobs of an entry: recorded before they are accepted, run while this
 * entry owns their records, and closed when their end is recorded. What a
 * worker has ended is acknowledged to its agent only once it is recorded, so
 * that whoever owns the job next either finds the end or may run the task.
 */

#include "core/entry_stored.h"

#include <string.h>

#define STORED_GATHER_US      (INT64_C(20) * 1000) /* ends for one change */
#define STORED_RETRY_US       (INT64_C(60) * 1000)
#define STORED_RETRY_MAX_US   (INT64_C(500) * 1000)
#define STORED_CANCEL_TRIES   40
#define STORED_RETRY_AFTER_MS 1000
#define STORED_FOREVER_US     (INT64_C(1) << 60)

/* A result that is acknowledged once it is recorded. */
struct settlement {
	uint64_t member; /* incarnation */
	uint64_t seq;
};

int64_t
mst_stored_deadline_us(const struct mst_entry *entry)
{
	return entry->now_us + STORED_FOREVER_US;
}

static struct stored *
stored_new(enum stored_phase phase)
{
	struct stored *stored = g_new0(struct stored, 1);

	stored->phase = phase;
	stored->state = MST_RECORD_OPEN;
	stored->unsettled =
	    g_array_new(FALSE, FALSE, sizeof(struct settlement));
	stored->settling = g_array_new(FALSE, FALSE, sizeof(struct settlement));
	stored->voids = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	stored->voiding = g_array_new(FALSE, FALSE, sizeof(uint16_t));
	stored->cancellers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	stored->tasks = g_string_new(NULL);
	return stored;
}

void
mst_stored_free(struct stored *stored)
{
	if (stored == NULL)
		return;
	g_array_unref(stored->unsettled);
	g_array_unref(stored->settling);
	g_array_unref(stored->voids);
	g_array_unref(stored->voiding);
	g_array_unref(stored->cancellers);
	g_string_free(stored->tasks, TRUE);
	g_free(stored->text);
	g_free(stored);
}

void
mst_entry_tell_state(
    struct mst_entry *entry, uint64_t request, enum mst_stored_state state)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_STATE);

	effect->request = request;
	effect->stored = state;
}

static void
answer_all(struct mst_entry *entry, struct job *job, GArray *requests,
    enum mst_stored_state state)
{
	guint i;

	for (i = 0; i < requests->len; i++) {
		uint64_t request = g_array_index(requests, uint64_t, i);

		g_hash_table_remove(entry->requests, mst_key(request));
		mst_entry_tell_state(entry, request, state);
	}
	g_array_set_size(requests, 0);
}

/* Writing. */

static void
touch(const struct mst_entry *entry, struct stored *stored, int64_t delay_us)
{
	int64_t due_us = entry->now_us + delay_us;

	if (!stored->dirty || due_us < stored->due_us)
		stored->due_us = due_us;
	stored->dirty = true;
}

static void
write_tasks(const struct job *job)
{
	GString *tasks = job->stored->tasks;
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
	struct stored *stored = job->stored;
	struct mst_store_op *op = mst_entry_store_op(entry,
	    stored->phase == STORED_NEW ? MST_STORE_CREATE : MST_STORE_UPDATE,
	    job->handle);

	write_tasks(job);
	move_all(stored->settling, stored->unsettled);
	move_all(stored->voiding, stored->voids);
	/* Counted over all jobs: an older one of the same key has others. */
	stored->change = ++entry->next_change;
	if (stored->first_change == 0)
		stored->first_change = stored->change;
	stored->dirty = false;
	stored->writing = true;
	stored->written_state = stored->state;
	stored->written_owner = entry->owner.id;
	op->key = job->key;
	op->job = stored->text;
	op->expected = stored->version;
	op->record = (struct mst_record){.owner = entry->owner.id,
	    .term = stored->term,
	    .change = stored->change,
	    .state = (uint8_t)stored->state,
	    .tasks = stored->tasks->str,
	    .closed_ms = stored->state == MST_RECORD_OPEN ? 0 : entry->wall_ms};
}

static void
write_if_due(struct mst_entry *entry, struct job *job)
{
	struct stored *stored = job->stored;

	if (stored->dirty && !stored->writing &&
	    entry->now_us >= stored->due_us && mst_owner_is_confirmed(entry))
		write_record(entry, job);
}

static void
settle_all(struct mst_entry *entry, struct stored *stored)
{
	guint i;

	for (i = 0; i < stored->settling->len; i++) {
		const struct settlement *settled =
		    &g_array_index(stored->settling, struct settlement, i);
		struct member *member = mst_member_find(entry, settled->member);

		if (member != NULL)
			mst_seqset_add(&member->received, settled->seq);
	}
	g_array_set_size(stored->settling, 0);
}

static void
requeue_voided(struct mst_entry *entry, struct job *job)
{
	GArray *voiding = job->stored->voiding;
	guint i;

	for (i = 0; i < voiding->len; i++) {
		uint16_t index = g_array_index(voiding, uint16_t, i);

		if (job->tasks[index].state == TASK_HELD)
			mst_task_requeue(entry, job, index);
	}
	g_array_set_size(voiding, 0);
}

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

/* A job whose end is recorded is closed for good. */
static void
close_recorded(struct mst_entry *entry, struct job *job)
{
	struct stored *stored = job->stored;

	answer_all(entry, job, job->requests, MST_STORED_ACCEPTED);
	answer_all(entry, job, stored->cancellers, MST_STORED_CANCELLED);
	mst_records_expire_later(entry, job->key);
	stored->recorded = true;
	mst_job_close(entry, job,
	    job->open == 0 ? MST_JOB_COMPLETE : MST_JOB_FAILED, stored->reason);
	mst_entry_emit(entry, MST_ENTRY_FX_CLOSED)->job = job->handle;
}

static void
now_held(struct mst_entry *entry, struct job *job)
{
	struct stored *stored = job->stored;

	if (stored->phase == STORED_NEW)
		entry->counters.jobs_stored++;
	else
		entry->counters.jobs_taken++;
	stored->phase = STORED_HELD;
	stored->claimed_from = 0;
	g_clear_pointer(&stored->text, g_free);
	answer_all(entry, job, job->requests, MST_STORED_ACCEPTED);
	if (stored->state == MST_RECORD_OPEN)
		mst_job_queue_all(entry, job);
}

/* A record was written under an ownership that was given up since: it is there,
 * but has to be claimed. */
static void
written_before(struct mst_entry *entry, struct stored *stored)
{
	if (stored->phase == STORED_NEW)
		stored->term++;
	stored->phase = STORED_CLAIMED;
	stored->claimed_from = stored->written_owner;
	touch(entry, stored, 0);
}

static void
written(struct mst_entry *entry, struct job *job, uint64_t version)
{
	struct stored *stored = job->stored;

	stored->version = version;
	stored->confirmed = stored->change;
	stored->failures = 0;
	settle_all(entry, stored);
	if (entry->owner.leaving)
		stored->dirty = false; /* it is handed over as it is */
	else if (stored->written_owner != entry->owner.id)
		written_before(entry, stored);
	else if (stored->phase != STORED_HELD)
		now_held(entry, job);
	requeue_voided(entry, job);
	if (stored->written_state != MST_RECORD_OPEN)
		close_recorded(entry, job);
	else
		write_if_due(entry, job);
}

static void
not_written(struct mst_entry *entry, struct stored *stored)
{
	int64_t wait_us = STORED_RETRY_US << MIN(stored->failures, 8);

	stored->failures++;
	entry->counters.store_failures++;
	move_all(stored->unsettled, stored->settling);
	move_all(stored->voids, stored->voiding);
	touch(entry, stored, 0);
	stored->due_us = entry->now_us + MIN(wait_us, STORED_RETRY_MAX_US);
}

/* What others have written into a record that this entry owns: ends that an
 * agent has recorded, or a cancellation. */
static void
merge_tasks(struct mst_entry *entry, struct job *job, const char *tasks)
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
		mst_task_end_elsewhere(entry, job, i);
	}
}

static void
merge(struct mst_entry *entry, struct job *job,
    const struct mst_stored_record *found)
{
	struct stored *stored = job->stored;

	stored->version = found->version;
	stored->term = MAX(stored->term, found->record.term);
	if (found->record.state != MST_RECORD_OPEN) {
		stored->state = found->record.state;
		if (stored->state == MST_RECORD_CANCELLED)
			stored->reason = MST_REASON_CANCELLED;
		close_recorded(entry, job);
		return;
	}
	merge_tasks(entry, job, found->record.tasks);
	touch(entry, stored, 0);
	write_if_due(entry, job);
}

static bool
is_own(const struct mst_entry *entry, const struct job *job,
    const struct mst_stored_record *found)
{
	return found->record.owner == entry->owner.id ||
	    (job->stored->phase != STORED_HELD &&
		found->record.owner == job->stored->claimed_from);
}

/* Another entry has the job: it goes on there. */
static void
let_go(struct mst_entry *entry, struct job *job)
{
	answer_all(entry, job, job->requests, MST_STORED_ACCEPTED);
	answer_all(entry, job, job->stored->cancellers, MST_STORED_AWAY);
	mst_stored_discard(entry, job);
}

static void
conflicted(struct mst_entry *entry, struct job *job,
    const struct mst_store_answer *answer)
{
	struct stored *stored = job->stored;
	const struct mst_stored_record *found =
	    answer->record_count > 0 ? &answer->records[0] : NULL;
	bool tried;

	entry->counters.store_conflicts++;
	if (found == NULL || !is_own(entry, job, found)) {
		let_go(entry, job);
		return;
	}
	tried = found->record.change >= stored->first_change &&
	    found->record.change <= stored->change;
	if (stored->phase == STORED_NEW && !tried &&
	    found->record.state != MST_RECORD_OPEN) {
		let_go(entry, job);
		return;
	}
	if (found->record.owner == entry->owner.id &&
	    found->record.change == stored->change) {
		/* An earlier try was done without an answer. */
		written(entry, job, found->version);
		return;
	}
	if (found->record.owner == entry->owner.id && tried &&
	    stored->phase != STORED_HELD)
		now_held(entry, job);
	else if (stored->phase == STORED_NEW) {
		/* Created under an ownership that was given up since, or
		 * for an earlier submission. */
		stored->phase = STORED_CLAIMED;
		stored->claimed_from = found->record.owner;
		stored->term = found->record.term + 1;
	}
	move_all(stored->unsettled, stored->settling);
	move_all(stored->voids, stored->voiding);
	merge(entry, job, found);
}

void
mst_stored_answer(struct mst_entry *entry, struct job *job,
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
	case MST_STORE_AWAY:
		job->stored->uncertain = true;
		not_written(entry, job->stored);
		break;
	case MST_STORE_BUSY:
		not_written(entry, job->stored);
		break;
	}
}

/* Running. */

void
mst_stored_note(struct mst_entry *entry, struct job *job,
    const struct member *member, uint64_t seq)
{
	const struct settlement settlement = {
	    .member = member->incarnation, .seq = seq};

	/* Its task's end comes next, so nothing is written before that. */
	g_array_append_val(job->stored->unsettled, settlement);
	touch(entry, job->stored, STORED_GATHER_US);
}

void
mst_stored_void(struct mst_entry *entry, struct job *job, uint32_t index)
{
	struct stored *stored = job->stored;
	struct task *task = &job->tasks[index];
	uint16_t value = (uint16_t)index;

	task->state = TASK_HELD;
	task->maybe_started = true;
	task->avoid = task->member ? task->member->incarnation : 0;
	task->member = NULL;
	/* One rise is enough for all that are given up together. */
	if (stored->voids->len == 0)
		stored->term++;
	g_array_append_val(stored->voids, value);
	touch(entry, stored, 0);
}

bool
mst_stored_close(struct mst_entry *entry, struct job *job,
    enum mst_job_state state, enum mst_reason reason)
{
	struct stored *stored = job->stored;

	if (stored->recorded)
		return false;
	if (stored->state == MST_RECORD_OPEN) {
		stored->reason = reason;
		if (state == MST_JOB_COMPLETE)
			stored->state = MST_RECORD_COMPLETE;
		else if (reason == MST_REASON_CANCELLED)
			stored->state = MST_RECORD_CANCELLED;
		else
			stored->state = MST_RECORD_FAILED;
		if (state == MST_JOB_FAILED)
			mst_job_abandon(entry, job, reason);
	}
	touch(entry, stored, 0);
	write_if_due(entry, job);
	return true;
}

uint32_t
mst_stored_run_number(const struct job *job, const struct task *task)
{
	if (job->stored == NULL)
		return task->attempts;
	return (job->stored->term << STORED_TERM_SHIFT) + task->attempts;
}

void
mst_stored_describe(const struct mst_entry *entry, const struct job *job,
    struct mst_dispatch_item *item)
{
	if (job->stored == NULL)
		return;
	item->record = mst_bytes_of(job->key);
	item->owner = entry->owner.id;
	item->term = job->stored->term;
}

bool
mst_stored_is_held(const struct job *job)
{
	return job->stored == NULL || job->stored->phase == STORED_HELD;
}

void
mst_stored_discard(struct mst_entry *entry, struct job *job)
{
	uint32_t i;

	for (i = 0; i < job->count; i++) {
		struct task *task = &job->tasks[i];

		if (task->state != TASK_SENT)
			continue;
		mst_task_withdraw(entry, task);
		entry->sent--;
	}
	mst_job_discard(entry, job);
}

/* Takes back what of a job is at members. Their results still count: nothing is
 * run again before its record is this entry's once more. */
static void
suspend(struct mst_entry *entry, struct job *job)
{
	struct stored *stored = job->stored;
	uint32_t i;

	if (stored->phase == STORED_HELD) {
		stored->phase = STORED_CLAIMED;
		stored->term++;
	}
	stored->claimed_from = entry->owner.id;
	mst_job_unqueue(entry, job);
	for (i = 0; i < job->count; i++) {
		if (job->tasks[i].state == TASK_SENT)
			mst_task_withdraw(entry, &job->tasks[i]);
	}
	if (!entry->owner.leaving)
		touch(entry, stored, 0);
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
		answer_all(entry, job, job->requests, MST_STORED_AWAY);
		answer_all(
		    entry, job, job->stored->cancellers, MST_STORED_AWAY);
		suspend(entry, job);
	}
}

void
mst_stored_discard_all(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->jobs->len; i++) {
		struct job *job = entry->jobs->pdata[i];

		if (job != NULL && job->stored != NULL &&
		    job->state == MST_JOB_OPEN)
			mst_stored_discard(entry, job);
	}
}

bool
mst_stored_is_at_rest(const struct mst_entry *entry)
{
	guint i;
	uint32_t k;

	for (i = 0; i < entry->jobs->len; i++) {
		const struct job *job = entry->jobs->pdata[i];

		if (job == NULL || job->stored == NULL ||
		    job->state != MST_JOB_OPEN)
			continue;
		if (job->stored->writing || job->stored->dirty)
			return false;
		for (k = 0; k < job->count; k++) {
			if (job->tasks[k].state == TASK_SENT)
				return false;
		}
	}
	return true;
}

/* Tells a caller that a job could not be stored: nothing of it runs if no
 * change was ever left without an answer. */
static void
give_up_new(struct mst_entry *entry, struct job *job)
{
	guint i;

	for (i = 0; i < job->requests->len; i++) {
		uint64_t request = g_array_index(job->requests, uint64_t, i);

		g_hash_table_remove(entry->requests, mst_key(request));
		if (job->stored->uncertain)
			mst_entry_tell_state(entry, request, MST_STORED_AWAY);
		else
			mst_entry_refuse(entry, request, MST_REASON_OVERLOAD,
			    STORED_RETRY_AFTER_MS);
	}
	g_array_set_size(job->requests, 0);
	if (!job->stored->uncertain)
		mst_stored_discard(entry, job);
}

void
mst_stored_scan(struct mst_entry *entry, struct job *job)
{
	struct stored *stored = job->stored;

	if (stored->phase == STORED_NEW && job->requests->len > 0 &&
	    !stored->writing && entry->now_us >= stored->patience_us) {
		give_up_new(entry, job);
		return;
	}
	write_if_due(entry, job);
}

/* Callers. */

static enum mst_reason
refusal_reason(const struct mst_entry *entry, const struct mst_job_spec *spec)
{
	if (entry->draining)
		return MST_REASON_STOPPING;
	if (entry->config == NULL)
		return MST_REASON_NO_CONFIG;
	if (entry->jobs_open >= entry->options.jobs_max ||
	    entry->bytes > entry->options.bytes_max ||
	    entry->waiting + spec->count >
		entry->config->policy.queue_tasks_max)
		return MST_REASON_OVERLOAD;
	return MST_REASON_NONE;
}

void
mst_stored_submit(
    struct mst_entry *entry, uint64_t request, const struct mst_job_spec *spec)
{
	struct job *job = g_hash_table_lookup(entry->by_key, spec->key);
	enum mst_reason reason = refusal_reason(entry, spec);
	struct team *team;

	if (job != NULL && job->stored != NULL) {
		if (job->stored->phase == STORED_NEW)
			mst_request_attach(entry, job, request);
		else
			mst_entry_tell_state(
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
	job->stored->text = g_strdup(spec->text);
	job->stored->patience_us =
	    entry->now_us + (int64_t)spec->timeout_ms * 900;
	mst_request_attach(entry, job, request);
	if (mst_spec_fits_nobody(entry, spec)) {
		job->stored->state = MST_RECORD_FAILED;
		job->stored->reason = MST_REASON_NO_FIT;
	}
	touch(entry, job->stored, 0);
	mst_owner_needed(entry);
	write_if_due(entry, job);
}

struct job *
mst_stored_new(struct mst_entry *entry, const struct mst_job_spec *spec,
    struct team *team, enum stored_phase phase)
{
	struct mst_job_spec numbered = *spec;
	struct job *job;

	numbered.ticket.job.minter = entry->incarnation;
	numbered.ticket.job.counter = ++entry->next_counter;
	job = mst_job_new(entry, &numbered, team);
	job->stored = stored_new(phase);
	job->deadline_us = mst_stored_deadline_us(entry);
	mst_job_set_objective(entry, job);
	entry->jobs_open++;
	entry->counters.jobs++;
	entry->counters.tasks += spec->count;
	team->open += spec->count;
	return job;
}

void
mst_stored_claim(struct mst_entry *entry, const struct mst_job_spec *spec,
    const struct mst_stored_record *found)
{
	struct team *team = mst_team_get(entry, spec->team);
	struct job *job;

	if (team == NULL || strlen(found->record.tasks) != spec->count)
		return;
	job = mst_stored_new(entry, spec, team, STORED_CLAIMED);
	job->stored->claimed_from = found->record.owner;
	job->stored->version = found->version;
	job->stored->term = found->record.term + 1;
	merge_tasks(entry, job, found->record.tasks);
	touch(entry, job->stored, 0);
	write_if_due(entry, job);
}

/* A question about a stored job that isn't this entry's, or a cancellation on
 * its way. */
struct inquiry {
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
mst_inquiry_free(struct inquiry *inquiry)
{
	g_free(inquiry->key);
	g_free((char *)inquiry->record.tasks);
	g_free(inquiry);
}

static void
inquiry_ask(struct mst_entry *entry, struct inquiry *inquiry)
{
	struct mst_store_op *op = mst_entry_store_op(entry,
	    inquiry->version != 0 ? MST_STORE_CANCEL : MST_STORE_FIND,
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
	struct inquiry *inquiry = g_new0(struct inquiry, 1);

	inquiry->request = request;
	inquiry->key = g_strdup(key);
	inquiry->cancels = cancels;
	g_ptr_array_add(entry->inquiries, inquiry);
	inquiry_ask(entry, inquiry);
}

static void
inquiry_end(struct mst_entry *entry, struct inquiry *inquiry,
    enum mst_stored_state state)
{
	mst_entry_tell_state(entry, inquiry->request, state);
	g_ptr_array_remove_fast(entry->inquiries, inquiry);
}

/* Writes the cancellation over what was found. */
static void
inquiry_cancel(struct mst_entry *entry, struct inquiry *inquiry,
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
inquiry_found(struct mst_entry *entry, struct inquiry *inquiry,
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
mst_inquiry_answer(struct mst_entry *entry, struct inquiry *inquiry,
    const struct mst_store_answer *answer)
{
	inquiry->asked = false;
	if (answer->status == MST_STORE_CONFLICT ||
	    (answer->status == MST_STORE_OK && inquiry->version == 0)) {
		inquiry->version = 0;
		inquiry_found(entry, inquiry, answer);
	} else if (answer->status == MST_STORE_OK) {
		inquiry_end(entry, inquiry, MST_STORED_CANCELLED);
	} else if (!inquiry->cancels ||
	    ++inquiry->tries > STORED_CANCEL_TRIES) {
		inquiry_end(entry, inquiry, MST_STORED_AWAY);
	} else {
		inquiry->due_us = entry->now_us + STORED_RETRY_US;
	}
}

void
mst_inquiries_scan(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->inquiries->len; i++) {
		struct inquiry *inquiry = entry->inquiries->pdata[i];

		if (!inquiry->asked && entry->now_us >= inquiry->due_us)
			inquiry_ask(entry, inquiry);
	}
}

static struct job *
held_job(const struct mst_entry *entry, const char *key)
{
	struct job *job = g_hash_table_lookup(entry->by_key, key);

	if (job == NULL || job->stored == NULL ||
	    job->stored->phase != STORED_HELD || job->state != MST_JOB_OPEN)
		return NULL;
	return job;
}

void
mst_stored_find(struct mst_entry *entry, uint64_t request, const char *key)
{
	const struct job *job = held_job(entry, key);

	if (job == NULL)
		inquire(entry, request, key, false);
	else
		mst_entry_tell_state(entry, request,
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
	g_array_append_val(job->stored->cancellers, request);
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
			touch(entry, job->stored, 0);
	}
}

void
mst_stored_cancelled(struct mst_entry *entry, const char *key)
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
	close_recorded(entry, job);
}
