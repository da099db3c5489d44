/*
 * What is known of the start of a run: whether the worker has shown it, and
 * whether an order for it may still be executed.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

void
mst_worker_confirm_start(const struct mst_agent *agent, struct run *run)
{
	run->seen_us = agent->now_us;
	run->order_state = ORDER_STARTED;
	run->confirmed_us = agent->now_us;
}

bool
mst_worker_start_is_uncertain(const struct run *run)
{
	return run->start_unanswered || run->starts_open > 0;
}

bool
mst_worker_start_is_settled(const struct run *run)
{
	return run->order_state >= ORDER_STARTED &&
	    !mst_worker_start_is_uncertain(run);
}
