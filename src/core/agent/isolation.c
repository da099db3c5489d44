/* Isolated runs of an agent, beside which no run of another job starts. */

#include "core/agent/agent_internal.h"

static bool
is_isolated(const struct run *run)
{
	return (run->task.flags & MST_TASK_ISOLATED) != 0;
}

const struct run *
mst_agent_find_isolated_run(const struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_isolated(value))
			return value;
	}
	return NULL;
}

bool
mst_agent_is_isolating(const struct mst_agent *agent)
{
	GList *link;

	if (mst_agent_find_isolated_run(agent) != NULL)
		return true;
	for (link = agent->queue.head; link != NULL; link = link->next) {
		if (is_isolated(link->data))
			return true;
	}
	return false;
}
