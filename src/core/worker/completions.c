/*
 * Completions of stored jobs' runs. A worker lists a completion until it is
 * acknowledged, which happens only once the completion is recorded: by the
 * entry that owns the job and then acknowledges the result, or by this agent if
 * that entry does not do so in time. If a completion can no longer be recorded
 * because its run was abandoned, the agent lets the worker's lease expire and
 * then drops the completion. After the expiry, completions have no effect.
 */

#include "base/retry_delay.h"
#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

#include <string.h>

/* Time within which the entry should acknowledge a result. */
#define ENTRY_ACK_TIMEOUT_US (INT64_C(1500) * 1000)

/* Time from a failed store operation to the next one, in microseconds. */
static const struct mst_retry_bounds store_bounds = {
    .min = 200 * 1000, .max = 1000 * 1000};

/* Completion that the worker still lists. */
struct unacked_completion {
	uint64_t worker_seq; /* its number in the worker's list */
	uint64_t session;    /* entry that the result was sent to */
	uint64_t result_seq; /* sequence number of the result */
	char *record;        /* key of the job's record */
	uint32_t index;      /* index of the task */
	uint64_t owner;      /* owner of the record when the run was sent */
	uint32_t term;       /* term of the record when the run was sent */
	bool failed;
	bool in_update; /* part of an update without an answer so far */
	bool recorded;
	bool unrecordable; /* waits for the expiry of the worker's lease */
	int64_t received_us;
};

/* Update of a record with the completions of its runs. */
struct record_update {
	char *record;            /* key */
	uint64_t op;             /* operation in flight; 0: none */
	unsigned failures;       /* consecutive failed operations */
	char *tasks;             /* tasks being written; NULL while reading */
	char *unconfirmed_tasks; /* written without an answer, or NULL */
	int64_t due_us;          /* time of the next attempt */
};

static void
free_completion(gpointer data)
{
	struct unacked_completion *completion = data;

	g_free(completion->record);
	g_free(completion);
}

static void
free_update(gpointer data)
{
	struct record_update *update = data;

	g_free(update->record);
	g_free(update->tasks);
	g_free(update->unconfirmed_tasks);
	g_free(update);
}

void
mst_completions_init(struct worker *worker)
{
	g_queue_init(&worker->unacked_completions);
	worker->record_updates = g_ptr_array_new_with_free_func(free_update);
}

void
mst_completions_clear(struct worker *worker)
{
	g_queue_clear_full(&worker->unacked_completions, free_completion);
	g_ptr_array_unref(worker->record_updates);
}

void
mst_completions_drop(struct worker *worker)
{
	g_queue_clear_full(&worker->unacked_completions, free_completion);
	g_ptr_array_set_size(worker->record_updates, 0);
}

bool
mst_completions_add(struct mst_agent *agent, const struct run *run,
    uint64_t worker_seq, bool failed)
{
	struct unacked_completion *completion;

	if (run->task.record.len == 0)
		return false;
	completion = g_new0(struct unacked_completion, 1);
	completion->worker_seq = worker_seq;
	completion->session = run->session->entry;
	completion->result_seq = run->task.seq;
	completion->record = mst_bytes_to_str(run->task.record);
	completion->index = run->task.index;
	completion->owner = run->task.owner;
	completion->term = run->task.term;
	completion->failed = failed;
	completion->received_us = agent->now_us;
	g_queue_push_tail(&agent->worker.unacked_completions, completion);
	return true;
}

static void
drop_recorded_completions(struct worker *worker)
{
	struct unacked_completion *completion;

	while ((completion = g_queue_peek_head(&worker->unacked_completions)) !=
		NULL &&
	    completion->recorded)
		free_completion(g_queue_pop_head(&worker->unacked_completions));
}

void
mst_completions_acknowledge(
    struct mst_agent *agent, uint64_t session, uint64_t seq)
{
	GList *link;

	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		struct unacked_completion *completion = link->data;

		if (completion->session == session &&
		    completion->result_seq == seq)
			completion->recorded = true;
	}
	drop_recorded_completions(&agent->worker);
}

uint64_t
mst_completions_last_acked(const struct worker *worker)
{
	const struct unacked_completion *oldest =
	    g_queue_peek_head((GQueue *)&worker->unacked_completions);

	return oldest != NULL ? oldest->worker_seq - 1
			      : worker->completions_read;
}

static struct record_update *
find_update(const struct worker *worker, const char *record)
{
	guint i;

	for (i = 0; i < worker->record_updates->len; i++) {
		struct record_update *update = worker->record_updates->pdata[i];

		if (strcmp(update->record, record) == 0)
			return update;
	}
	return NULL;
}

static struct record_update *
find_update_by_op(const struct worker *worker, uint64_t op)
{
	guint i;

	for (i = 0; i < worker->record_updates->len; i++) {
		struct record_update *update = worker->record_updates->pdata[i];

		if (update->op == op)
			return update;
	}
	return NULL;
}

static struct mst_store_op *
emit_store_op(struct mst_agent *agent, struct record_update *update,
    enum mst_store_op_kind kind)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_STORE);

	update->op = ++agent->next_handle;
	effect->op = (struct mst_store_op){
	    .kind = kind, .id = update->op, .key = update->record};
	return &effect->op;
}

static bool
is_due_for_recording(
    const struct mst_agent *agent, const struct unacked_completion *completion)
{
	const struct session *session =
	    mst_session_find(agent, completion->session);

	if (completion->recorded || completion->unrecordable)
		return false;
	return agent->now_us - completion->received_us > ENTRY_ACK_TIMEOUT_US ||
	    session == NULL || !mst_session_has_lease(agent, session);
}

void
mst_completions_tick(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;
	GList *link;
	guint i;

	for (link = worker->unacked_completions.head; link; link = link->next) {
		const struct unacked_completion *completion = link->data;
		struct record_update *update;

		if (!is_due_for_recording(agent, completion) ||
		    find_update(worker, completion->record) != NULL)
			continue;
		update = g_new0(struct record_update, 1);
		update->record = g_strdup(completion->record);
		g_ptr_array_add(worker->record_updates, update);
	}
	for (i = 0; i < worker->record_updates->len; i++) {
		struct record_update *update = worker->record_updates->pdata[i];

		if (update->op == 0 && agent->now_us >= update->due_us)
			emit_store_op(agent, update, MST_STORE_GET_RECORD);
	}
}

/* Finishes an update and drops the completions that are recorded: those that
 * the update has written, or all of the record. */
static void
finish_update(
    struct mst_agent *agent, struct record_update *update, bool only_updated)
{
	struct worker *worker = &agent->worker;
	GList *link;

	for (link = worker->unacked_completions.head; link; link = link->next) {
		struct unacked_completion *completion = link->data;

		if (strcmp(completion->record, update->record) == 0 &&
		    (!only_updated || completion->in_update))
			completion->recorded = true;
	}
	drop_recorded_completions(worker);
	g_ptr_array_remove_fast(worker->record_updates, update);
}

/* Returns true if this agent may record a completion, or if the closed record
 * needs no more completions. If the record has another owner or term, the run
 * was abandoned and its task may have been run again. Failures are recorded by
 * owners only, because a failure that is reported twice would be counted twice.
 */
static bool
is_recordable_completion(const struct unacked_completion *completion,
    const struct mst_record *stored)
{
	if (completion->failed && stored->state == MST_RECORD_OPEN)
		return false;
	return completion->owner == stored->owner &&
	    completion->term == stored->term &&
	    completion->index < strlen(stored->tasks);
}

static bool
has_only_recordable_completions(const struct mst_agent *agent,
    const struct record_update *update, const struct mst_record *stored)
{
	GList *link;

	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		const struct unacked_completion *completion = link->data;

		if (strcmp(completion->record, update->record) == 0 &&
		    !completion->recorded &&
		    !is_recordable_completion(completion, stored))
			return false;
	}
	return true;
}

/* Writes the unrecorded completions of an open record. */
static void
write_completions(struct mst_agent *agent, struct record_update *update,
    const struct mst_stored_record *stored)
{
	struct mst_store_op *op;
	GList *link;

	g_free(update->tasks);
	update->tasks = g_strdup(stored->record.tasks);
	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		struct unacked_completion *completion = link->data;

		if (strcmp(completion->record, update->record) != 0 ||
		    completion->recorded)
			continue;
		update->tasks[completion->index] = MST_RECORD_DONE;
		completion->in_update = true;
	}
	if (strcmp(update->tasks, stored->record.tasks) == 0) {
		finish_update(agent, update, false);
		return;
	}
	op = emit_store_op(agent, update, MST_STORE_UPDATE);
	op->expected = stored->version;
	op->record = stored->record;
	op->record.tasks = update->tasks;
}

/* Determines the effect of a write that was not answered: its completions are
 * recorded if the record now has the tasks that it wrote. */
static void
resolve_unconfirmed_write(struct mst_agent *agent,
    const struct record_update *update, const struct mst_record *stored)
{
	bool was_written = update->unconfirmed_tasks != NULL &&
	    strcmp(update->unconfirmed_tasks, stored->tasks) == 0;
	GList *link;

	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		struct unacked_completion *completion = link->data;

		if (strcmp(completion->record, update->record) != 0)
			continue;
		completion->recorded |= was_written && completion->in_update &&
		    is_recordable_completion(completion, stored);
		completion->in_update = false;
	}
}

/* Ends an update whose completions cannot be recorded. They are kept until the
 * worker's lease expires, and the record is not read again for them. */
static void
abandon_update(struct mst_agent *agent, struct record_update *update)
{
	GList *link;

	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		struct unacked_completion *completion = link->data;

		if (strcmp(completion->record, update->record) == 0)
			completion->unrecordable = true;
	}
	g_ptr_array_remove_fast(agent->worker.record_updates, update);
	mst_worker_force_expiry(agent);
}

static void
process_record(struct mst_agent *agent, struct record_update *update,
    const struct mst_store_answer *answer)
{
	const struct mst_stored_record *stored =
	    answer->record_count > 0 ? &answer->records[0] : NULL;

	if (stored != NULL)
		resolve_unconfirmed_write(agent, update, &stored->record);
	g_clear_pointer(&update->unconfirmed_tasks, g_free);
	if (stored == NULL ||
	    !has_only_recordable_completions(agent, update, &stored->record)) {
		abandon_update(agent, update);
	} else if (stored->record.state != MST_RECORD_OPEN) {
		finish_update(agent, update, false);
	} else {
		write_completions(agent, update, stored);
	}
}

void
mst_completions_handle_store_answer(
    struct mst_agent *agent, const struct mst_store_answer *answer)
{
	struct record_update *update =
	    find_update_by_op(&agent->worker, answer->id);
	bool was_write;

	if (update == NULL)
		return;
	was_write = update->tasks != NULL;
	update->op = 0;
	if (answer->status == MST_STORE_OK)
		update->failures = 0;
	if (answer->status == MST_STORE_OK && was_write) {
		finish_update(agent, update, true);
		return;
	}
	if (answer->status == MST_STORE_UNAVAILABLE && was_write) {
		g_free(update->unconfirmed_tasks);
		update->unconfirmed_tasks = g_steal_pointer(&update->tasks);
	}
	g_clear_pointer(&update->tasks, g_free);
	if (answer->status == MST_STORE_OK ||
	    answer->status == MST_STORE_CONFLICT)
		process_record(agent, update, answer);
	else
		update->due_us = agent->now_us +
		    mst_retry_delay(&store_bounds, ++update->failures,
			g_rand_double(agent->rand));
}
