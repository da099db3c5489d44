/*
 * Completions of runs that an earlier incarnation of this agent has started. A
 * completion of a stored job must not be acknowledged before it is recorded,
 * which only the incarnation that sent the start could do: then the worker's
 * lease expires first. Whether a job is stored is read from the store.
 */

#include "core/agent/agent_internal.h"
#include "core/id.h"
#include "core/worker/worker_internal.h"

#include <string.h>

/* Records looked up at a time. With more, letting the lease expire is cheaper.
 */
#define UNKNOWN_RECORDS_MAX 64

/* Record that is looked up for an unknown completion. */
struct unknown_record {
	char *key;
	uint64_t op;
};

static void
unknown_record_free(gpointer data)
{
	struct unknown_record *unknown = data;

	g_free(unknown->key);
	g_free(unknown);
}

void
mst_unknown_init(struct worker *worker)
{
	worker->unknown_records =
	    g_ptr_array_new_with_free_func(unknown_record_free);
}

void
mst_unknown_clear(struct worker *worker)
{
	g_ptr_array_unref(worker->unknown_records);
}

void
mst_unknown_drop(struct worker *worker)
{
	g_ptr_array_set_size(worker->unknown_records, 0);
}

static bool
is_looked_up(const struct worker *worker, const char *key)
{
	guint i;

	for (i = 0; i < worker->unknown_records->len; i++) {
		const struct unknown_record *unknown =
		    worker->unknown_records->pdata[i];

		if (strcmp(unknown->key, key) == 0)
			return true;
	}
	return false;
}

/* Forces the expiry of the lease. One that an earlier incarnation of this agent
 * has renewed ends within the duration of a lease from now. */
static void
force_expiry(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (worker->lease_expiring)
		return;
	worker->lease_end_us =
	    MAX(worker->lease_end_us, mst_worker_lease_end_us(agent));
	mst_worker_force_expiry(agent);
}

static void
look_up(struct mst_agent *agent, char *key)
{
	struct unknown_record *unknown = g_new0(struct unknown_record, 1);
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_STORE);

	unknown->key = key;
	unknown->op = ++agent->next_handle;
	g_ptr_array_add(agent->worker.unknown_records, unknown);
	effect->op = (struct mst_store_op){.kind = MST_STORE_GET_RECORD,
	    .id = unknown->op,
	    .key = unknown->key};
}

void
mst_unknown_completion_add(struct mst_agent *agent, struct mst_bytes task)
{
	struct worker *worker = &agent->worker;
	char *key;

	if (!agent->options.stored_jobs || worker->lease_expiring)
		return;
	key = mst_bytes_to_str(mst_task_name_job(task));
	if (is_looked_up(worker, key)) {
		g_free(key);
	} else if (worker->unknown_records->len >= UNKNOWN_RECORDS_MAX) {
		g_free(key);
		/* The lookups are kept, because effects of this step may refer
		 * to their keys. */
		force_expiry(agent);
	} else {
		look_up(agent, key);
	}
}

bool
mst_unknown_completions_are_pending(const struct worker *worker)
{
	return !worker->lease_expiring && worker->unknown_records->len > 0;
}

void
mst_unknown_handle_store_answer(
    struct mst_agent *agent, const struct mst_store_answer *answer)
{
	GPtrArray *records = agent->worker.unknown_records;
	guint i;

	for (i = 0; i < records->len; i++) {
		const struct unknown_record *unknown = records->pdata[i];

		if (unknown->op == answer->id)
			break;
	}
	if (i == records->len)
		return;
	if (answer->status == MST_STORE_OK && answer->record_count == 0) {
		g_ptr_array_remove_index_fast(records, i);
		if (records->len == 0)
			agent->worker.next_renew_us = agent->now_us;
		return;
	}
	/* The job is stored, or may be. */
	g_ptr_array_set_size(records, 0);
	force_expiry(agent);
}
