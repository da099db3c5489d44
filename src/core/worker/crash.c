/*
 * Crashes of a worker. Any of the runs that were in progress may have caused a
 * crash, so all of them are reported as crashed.
 */

#include "core/agent/agent_internal.h"
#include "core/id.h"
#include "core/worker/worker_internal.h"

/* Returns true if a run may have been in progress at the worker. A start that
 * has not been answered yet was most likely sent after the crash; if not, it
 * will get no answer. */
static bool
may_have_been_running(const struct run *run)
{
	return run->order_state != ORDER_STARTING || run->start_unanswered;
}

static uint32_t
count_jobs(GHashTable *jobs, const struct run *run)
{
	g_hash_table_add(jobs, (gpointer)&run->task.job);
	return g_hash_table_size(jobs);
}

static void
report_crash(struct mst_agent *agent, uint32_t runs, uint32_t jobs)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_CRASH);

	effect->open = runs;
	effect->jobs = jobs;
	agent->counters.crashes++;
}

void
mst_worker_record_crash(struct mst_agent *agent)
{
	GHashTable *jobs;
	GHashTableIter iter;
	gpointer value;
	uint32_t run_count = 0, job_count = 0;

	if (!agent->worker.synced || agent->worker.draining)
		return;
	jobs = g_hash_table_new(mst_job_id_hash, mst_job_id_equal);
	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (!may_have_been_running(run))
			continue;
		run->crashed = true;
		run_count++;
		job_count = count_jobs(jobs, run);
	}
	g_hash_table_unref(jobs);
	if (run_count > 0)
		report_crash(agent, run_count, job_count);
}
