/*
 * Crashes of a worker. Any of the runs that were in progress may have caused a
 * crash, so all of them are reported as crashed.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

/* Returns true if a run may have been in progress at the worker. A start that
 * has not been answered yet was most likely sent after the crash; if not, it
 * will get no answer. */
static bool
may_have_been_running(const struct run *run)
{
	return run->order_state != ORDER_STARTING || run->start_unanswered;
}

void
mst_worker_record_crash(struct mst_agent *agent)
{
	GPtrArray *runs;
	GHashTableIter iter;
	gpointer value;

	if (!agent->worker.synced || agent->worker.draining)
		return;
	runs = g_ptr_array_new();
	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (!may_have_been_running(run))
			continue;
		run->crashed = true;
		g_ptr_array_add(runs, run);
	}
	if (runs->len > 0)
		mst_agent_record_crash(agent, runs);
	g_ptr_array_unref(runs);
}
