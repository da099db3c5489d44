/*
 * Crashes of a worker. Any of the runs that were in progress may have caused a
 * crash, so all of them are reported as crashed, each at most once after an
 * order to start it. A run that the worker has never shown ("unseen") may not
 * have started. It is reported only if its task was unseen at an earlier crash,
 * too: a task that crashes its worker before the start is answered does so
 * again.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

#include <xxhash.h>

/* Time for which a task that was not seen at a crash is remembered. */
#define UNSEEN_KEEP_US (INT64_C(60) * G_USEC_PER_SEC)

static struct unseen_task *
find_unseen(struct mst_agent *agent, uint64_t hash)
{
	struct worker *worker = &agent->worker;
	size_t i;

	for (i = 0; i < WORKER_UNSEEN_TASKS_MAX; i++) {
		struct unseen_task *unseen = &worker->unseen_tasks[i];

		if (unseen->hash == hash && unseen->crashed_us > 0 &&
		    agent->now_us - unseen->crashed_us <= UNSEEN_KEEP_US)
			return unseen;
	}
	return NULL;
}

/* Records that the task of an unseen run may have been in progress at a crash.
 * Returns true if that was so at an earlier crash, too. */
static bool
note_unseen(struct mst_agent *agent, const struct run *run)
{
	struct worker *worker = &agent->worker;
	uint64_t hash = XXH64(run->task.path.data, run->task.path.len, 0);
	struct unseen_task *unseen = find_unseen(agent, hash);
	bool is_known = unseen != NULL;

	if (!is_known) {
		unseen = &worker->unseen_tasks[worker->unseen_next];
		worker->unseen_next =
		    (worker->unseen_next + 1) % WORKER_UNSEEN_TASKS_MAX;
	}
	*unseen =
	    (struct unseen_task){.hash = hash, .crashed_us = agent->now_us};
	return is_known;
}

/* Returns true if an unseen run may have been in progress. A start whose answer
 * is still awaited was most likely sent after the crash; if not, it will get no
 * answer. */
static bool
may_have_started(const struct run *run, int64_t before_us)
{
	if (run->order_state == ORDER_STARTING && !run->start_unanswered)
		return false;
	return mst_worker_start_is_uncertain(run) &&
	    run->started_us < before_us;
}

/* Returns true if a run counts as present at a crash. */
static bool
count_presence(
    struct mst_agent *agent, struct run *run, int64_t confirmed_before_us)
{
	if (run->crash_counted)
		return false;
	if (run->seen_us > 0) {
		run->crash_counted = run->confirmed_us < confirmed_before_us;
		return run->crash_counted;
	}
	run->crash_counted = may_have_started(run, confirmed_before_us);
	return run->crash_counted && note_unseen(agent, run);
}

void
mst_worker_record_crash(struct mst_agent *agent, int64_t confirmed_before_us)
{
	GPtrArray *runs;
	GHashTableIter iter;
	gpointer value;

	if (agent->worker.draining)
		return;
	runs = g_ptr_array_new();
	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (!count_presence(agent, run, confirmed_before_us))
			continue;
		run->crashed = true;
		g_ptr_array_add(runs, run);
	}
	if (runs->len > 0)
		mst_agent_record_crash(agent, runs);
	g_ptr_array_unref(runs);
}
