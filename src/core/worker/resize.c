/* Changes of a worker's resources. */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

static bool
resources_equal(const struct mst_resources *a, const struct mst_resources *b)
{
	return a->millicores == b->millicores && a->memory_mb == b->memory_mb &&
	    a->accelerators == b->accelerators;
}

static void
raise_to(struct mst_resources *max, const struct mst_resources *value)
{
	max->millicores = MAX(max->millicores, value->millicores);
	max->memory_mb = MAX(max->memory_mb, value->memory_mb);
	max->accelerators = MAX(max->accelerators, value->accelerators);
}

void
mst_worker_set_capacity(
    struct mst_agent *agent, const struct mst_resources *capacity)
{
	bool changed = agent->worker.has_reported &&
	    !resources_equal(&agent->options.resources, capacity);

	agent->options.resources = *capacity;
	raise_to(&agent->worker.capacity_max, capacity);
	if (!changed)
		return;
	mst_worker_emit_state(agent, "resized");
	mst_agent_refuse_unfit(agent);
	mst_agent_announce_all(agent, agent->now_us);
}
