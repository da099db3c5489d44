/*
 * Active runs of a leased agent by task. An entry may send a task whose earlier
 * run is still active here, for another caller or because it has lost sight of
 * it. A task has one run at a time, so the later one waits in the queue; it is
 * not refused meanwhile either, since its entry could then send it elsewhere.
 */

#include "core/agent/agent_internal.h"

#include <string.h>
#include <xxhash.h>

static guint
hash_task(gconstpointer key)
{
	const struct mst_bytes *path = &((const struct run *)key)->task.path;

	return (guint)XXH3_64bits(path->data, path->len);
}

static gboolean
have_same_task(gconstpointer a, gconstpointer b)
{
	const struct mst_bytes *path = &((const struct run *)a)->task.path;
	const struct mst_bytes *other = &((const struct run *)b)->task.path;

	return path->len == other->len &&
	    memcmp(path->data, other->data, path->len) == 0;
}

GHashTable *
mst_task_runs_new(void)
{
	return g_hash_table_new(hash_task, have_same_task);
}

void
mst_task_runs_add(struct mst_agent *agent, struct run *run)
{
	if (agent->options.leased && run->task.path.len > 0)
		g_hash_table_add(agent->task_runs, run);
}

void
mst_task_runs_remove(struct mst_agent *agent, const struct run *run)
{
	if (run->task.path.len > 0 &&
	    g_hash_table_lookup(agent->task_runs, run) == run)
		g_hash_table_remove(agent->task_runs, run);
}

bool
mst_run_must_wait(const struct mst_agent *agent, const struct run *run)
{
	return run->task.path.len > 0 &&
	    g_hash_table_contains(agent->task_runs, run);
}
