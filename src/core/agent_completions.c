/*
 * Ends of stored jobs' runs. A worker lists an end until it is told that it was
 * seen, and that is only told once the end is recorded: by the entry that owns
 * the job, which then acknowledges the result, or, when that stays away, by
 * this agent. An end that can't be recorded any more, as its run was given up,
 * is told of after a lapse of the worker's lease, when it counts for nothing.
 */

#include "core/worker_internal.h"

#include <string.h>

#define ENDS_PATIENCE_US (INT64_C(1500) * 1000) /* for the entry */
#define ENDS_RETRY_US    (INT64_C(200) * 1000)

/* An end that its worker still lists. */
struct unacked_completion {
	uint64_t number; /* the worker's */
	uint64_t session;
	uint64_t seq; /* of the result */
	char *record; /* key */
	uint32_t index;
	uint64_t owner;
	uint32_t term;
	bool failed;
	bool in_change; /* that had no answer, or is on its way */
	bool released;
	int64_t since_us;
};

/* A record that this agent puts ends into. */
struct settling {
	char *record;
	uint64_t op;     /* on its way; 0: none */
	char *tasks;     /* as written, or NULL while it is read */
	char *uncertain; /* as written by a change without an answer, or NULL */
	int64_t due_us;
};

static void
kept_free(gpointer data)
{
	struct unacked_completion *end = data;

	g_free(end->record);
	g_free(end);
}

static void
settling_free(gpointer data)
{
	struct settling *settling = data;

	g_free(settling->record);
	g_free(settling->tasks);
	g_free(settling->uncertain);
	g_free(settling);
}

void
mst_completions_init(struct worker *worker)
{
	g_queue_init(&worker->unacked_completions);
	worker->pending_acks = g_ptr_array_new_with_free_func(settling_free);
}

void
mst_completions_clear(struct worker *worker)
{
	g_queue_clear_full(&worker->unacked_completions, kept_free);
	g_ptr_array_unref(worker->pending_acks);
}

void
mst_completions_drop(struct worker *worker)
{
	g_queue_clear_full(&worker->unacked_completions, kept_free);
	g_ptr_array_set_size(worker->pending_acks, 0);
}

bool
mst_completions_add(struct mst_agent *agent, const struct run *run,
    uint64_t number, bool failed)
{
	struct unacked_completion *end;

	if (run->task.record.len == 0)
		return false;
	end = g_new0(struct unacked_completion, 1);
	end->number = number;
	end->session = run->session->entry;
	end->seq = run->task.seq;
	end->record = mst_bytes_to_str(run->task.record);
	end->index = run->task.index;
	end->owner = run->task.owner;
	end->term = run->task.term;
	end->failed = failed;
	end->since_us = agent->now_us;
	g_queue_push_tail(&agent->worker.unacked_completions, end);
	return true;
}

static void
drop_released(struct worker *worker)
{
	struct unacked_completion *end;

	while (
	    (end = g_queue_peek_head(&worker->unacked_completions)) != NULL &&
	    end->released)
		kept_free(g_queue_pop_head(&worker->unacked_completions));
}

void
mst_completions_acknowledge(
    struct mst_agent *agent, uint64_t session, uint64_t seq)
{
	GList *link;

	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		struct unacked_completion *end = link->data;

		if (end->session == session && end->seq == seq)
			end->released = true;
	}
	drop_released(&agent->worker);
}

uint64_t
mst_completions_acked(const struct worker *worker)
{
	const struct unacked_completion *first =
	    g_queue_peek_head((GQueue *)&worker->unacked_completions);

	return first != NULL ? first->number - 1 : worker->completions_read;
}

/* Lets everything on the worker lapse. Its ends count for nothing then. */
static void
cleanse(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (worker->lease_expiring)
		return;
	worker->lease_expiring = true;
	agent->counters.forced_lapses++;
	mst_worker_emit_state(agent, "lapses");
}

void
mst_completions_lapsed(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	mst_completions_drop(worker);
	if (!worker->lease_expiring)
		return;
	worker->lease_expiring = false;
	mst_worker_emit_state(agent, "lapsed");
}

void
mst_completions_unknown(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (!agent->options.stored_jobs || worker->lease_expiring)
		return;
	/* Whatever the earlier life has renewed lapses within a lease. */
	worker->lease_end_us =
	    MAX(worker->lease_end_us, mst_worker_lease_end_us(agent));
	cleanse(agent);
}

static struct settling *
settling_find(const struct worker *worker, const char *record)
{
	guint i;

	for (i = 0; i < worker->pending_acks->len; i++) {
		struct settling *settling = worker->pending_acks->pdata[i];

		if (strcmp(settling->record, record) == 0)
			return settling;
	}
	return NULL;
}

static struct settling *
settling_of_op(const struct worker *worker, uint64_t op)
{
	guint i;

	for (i = 0; i < worker->pending_acks->len; i++) {
		struct settling *settling = worker->pending_acks->pdata[i];

		if (settling->op == op)
			return settling;
	}
	return NULL;
}

static struct mst_store_op *
store_op(struct mst_agent *agent, struct settling *settling,
    enum mst_store_op_kind kind)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_STORE);

	settling->op = ++agent->next_handle;
	effect->op = (struct mst_store_op){
	    .kind = kind, .id = settling->op, .key = settling->record};
	return &effect->op;
}

static bool
must_be_settled(
    const struct mst_agent *agent, const struct unacked_completion *end)
{
	const struct session *session = mst_session_find(agent, end->session);

	if (end->released)
		return false;
	return agent->now_us - end->since_us > ENDS_PATIENCE_US ||
	    session == NULL || !mst_session_is_leased(agent, session);
}

void
mst_completions_tick(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;
	GList *link;
	guint i;

	for (link = worker->unacked_completions.head; link; link = link->next) {
		const struct unacked_completion *end = link->data;
		struct settling *settling;

		if (!must_be_settled(agent, end) ||
		    settling_find(worker, end->record) != NULL)
			continue;
		settling = g_new0(struct settling, 1);
		settling->record = g_strdup(end->record);
		g_ptr_array_add(worker->pending_acks, settling);
	}
	for (i = 0; i < worker->pending_acks->len; i++) {
		struct settling *settling = worker->pending_acks->pdata[i];

		if (settling->op == 0 && agent->now_us >= settling->due_us)
			store_op(agent, settling, MST_STORE_GET_RECORD);
	}
}

/* Releases the ends that are recorded: all, or those of the change. */
static void
settling_end(struct mst_agent *agent, struct settling *settling, bool of_change)
{
	struct worker *worker = &agent->worker;
	GList *link;

	for (link = worker->unacked_completions.head; link; link = link->next) {
		struct unacked_completion *end = link->data;

		if (strcmp(end->record, settling->record) == 0 &&
		    (!of_change || end->in_change))
			end->released = true;
	}
	drop_released(worker);
	g_ptr_array_remove_fast(worker->pending_acks, settling);
}

/* True when a record still counts on this run: otherwise its task may have been
 * run again. Failures are counted by owners only, as one told twice counts
 * twice. */
static bool
is_awaited(const struct unacked_completion *end, const struct mst_record *found)
{
	if (end->failed && found->state == MST_RECORD_OPEN)
		return false;
	return end->owner == found->owner && end->term == found->term &&
	    end->index < strlen(found->tasks);
}

static bool
all_are_awaited(const struct mst_agent *agent, const struct settling *settling,
    const struct mst_record *found)
{
	GList *link;

	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		const struct unacked_completion *end = link->data;

		if (strcmp(end->record, settling->record) == 0 &&
		    !end->released && !is_awaited(end, found))
			return false;
	}
	return true;
}

/* Writes the ends of a record that was found open. */
static void
settling_write(struct mst_agent *agent, struct settling *settling,
    const struct mst_stored_record *found)
{
	struct mst_store_op *op;
	GList *link;

	g_free(settling->tasks);
	settling->tasks = g_strdup(found->record.tasks);
	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		struct unacked_completion *end = link->data;

		if (strcmp(end->record, settling->record) != 0 || end->released)
			continue;
		settling->tasks[end->index] = MST_RECORD_DONE;
		end->in_change = true;
	}
	if (strcmp(settling->tasks, found->record.tasks) == 0) {
		settling_end(agent, settling, false);
		return;
	}
	op = store_op(agent, settling, MST_STORE_UPDATE);
	op->expected = found->version;
	op->record = found->record;
	op->record.tasks = settling->tasks;
}

/* Ends of a change without an answer are recorded if the record is what it was
 * to become. */
static void
resolve_change(struct mst_agent *agent, const struct settling *settling,
    const struct mst_record *found)
{
	bool done = settling->uncertain != NULL &&
	    strcmp(settling->uncertain, found->tasks) == 0;
	GList *link;

	for (link = agent->worker.unacked_completions.head; link;
	     link = link->next) {
		struct unacked_completion *end = link->data;

		if (strcmp(end->record, settling->record) != 0)
			continue;
		end->released |=
		    done && end->in_change && is_awaited(end, found);
		end->in_change = false;
	}
}

static void
settling_found(struct mst_agent *agent, struct settling *settling,
    const struct mst_store_answer *answer)
{
	const struct mst_stored_record *found =
	    answer->record_count > 0 ? &answer->records[0] : NULL;

	if (found != NULL)
		resolve_change(agent, settling, &found->record);
	g_clear_pointer(&settling->uncertain, g_free);
	if (found == NULL ||
	    !all_are_awaited(agent, settling, &found->record)) {
		g_ptr_array_remove_fast(agent->worker.pending_acks, settling);
		cleanse(agent);
	} else if (found->record.state != MST_RECORD_OPEN) {
		settling_end(agent, settling, false);
	} else {
		settling_write(agent, settling, found);
	}
}

void
mst_completions_store_answer(
    struct mst_agent *agent, const struct mst_store_answer *answer)
{
	struct settling *settling = settling_of_op(&agent->worker, answer->id);
	bool wrote;

	if (settling == NULL)
		return;
	wrote = settling->tasks != NULL;
	settling->op = 0;
	if (answer->status == MST_STORE_OK && wrote) {
		settling_end(agent, settling, true);
		return;
	}
	if (answer->status == MST_STORE_UNAVAILABLE && wrote) {
		g_free(settling->uncertain);
		settling->uncertain = g_steal_pointer(&settling->tasks);
	}
	g_clear_pointer(&settling->tasks, g_free);
	if (answer->status == MST_STORE_OK ||
	    answer->status == MST_STORE_CONFLICT)
		settling_found(agent, settling, answer);
	else
		settling->due_us = agent->now_us + ENDS_RETRY_US;
}
