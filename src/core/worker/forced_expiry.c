/*
 * Forced expiry of a worker's lease, which ends all its runs. The completions
 * that it lists have no effect afterwards, so those that can't be acknowledged
 * do no harm.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

void
mst_worker_force_expiry(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (worker->lease_expiring)
		return;
	worker->lease_expiring = true;
	agent->counters.forced_expiries++;
	mst_worker_emit_state(agent, "lapses");
}

void
mst_worker_end_forced_expiry(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (!worker->lease_expiring)
		return;
	worker->lease_expiring = false;
	mst_worker_emit_state(agent, "lapsed");
}
