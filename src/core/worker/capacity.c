/* Free resources of a worker, as estimated by its agent. */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

#define WORKER_TASK_MILLICORES 2000.0 /* task size until one has started */
#define WORKER_SLOTS_MAX       4096

/* Time for which a worker that had no room for a start counts as full, unless a
 * run ends before. */
#define FULL_US (50 * 1000)

void
mst_worker_note_full(struct mst_agent *agent, const struct mst_resources *needs)
{
	agent->worker.full_until_us = agent->now_us + FULL_US;
	agent->worker.full_for = *needs;
}

void
mst_worker_note_end(struct mst_agent *agent)
{
	agent->worker.full_until_us = 0;
}

static bool
is_full(const struct mst_agent *agent)
{
	return agent->now_us < agent->worker.full_until_us;
}

/* Returns whether a task needs no less than one that found no room. */
static bool
needs_as_much(
    const struct mst_resources *needs, const struct mst_resources *other)
{
	return needs->millicores >= other->millicores &&
	    needs->memory_mb >= other->memory_mb &&
	    needs->accelerators >= other->accelerators;
}

bool
mst_worker_has_capacity(
    const struct mst_agent *agent, const struct mst_resources *needs)
{
	const struct mst_resources *total = &agent->options.resources;
	const struct mst_resources *used = &agent->worker.used_resources;

	if (is_full(agent) && needs_as_much(needs, &agent->worker.full_for))
		return false;
	return used->millicores + needs->millicores <= total->millicores &&
	    used->memory_mb + needs->memory_mb <= total->memory_mb &&
	    used->accelerators + needs->accelerators <= total->accelerators;
}

/* Returns how many tasks of average size fit into resources. */
static uint32_t
count_slots(const struct mst_agent *agent, const struct mst_resources *room)
{
	double slots = room->millicores /
	    (agent->task_millicores > 0 ? agent->task_millicores
					: WORKER_TASK_MILLICORES);

	/* Tasks may need no memory. */
	if (agent->task_memory_mb > 0)
		slots = MIN(slots, room->memory_mb / agent->task_memory_mb);
	return (uint32_t)MIN(slots, WORKER_SLOTS_MAX);
}

uint32_t
mst_worker_slots(const struct mst_agent *agent)
{
	const struct mst_resources *total = &agent->options.resources;

	/* A worker smaller than a task of average size may fit some. */
	return total->millicores > 0 ? MAX(count_slots(agent, total), 1) : 0;
}

static uint32_t
subtract(uint32_t total, uint32_t used)
{
	return total > used ? total - used : 0;
}

uint32_t
mst_worker_free_slots(const struct mst_agent *agent)
{
	const struct mst_resources *total = &agent->options.resources;
	const struct mst_resources *used = &agent->worker.used_resources;
	const struct mst_resources room = {
	    .millicores = subtract(total->millicores, used->millicores),
	    .memory_mb = subtract(total->memory_mb, used->memory_mb)};

	if (!mst_worker_is_ready(agent) || mst_agent_is_isolating(agent) ||
	    is_full(agent))
		return 0;
	return subtract(count_slots(agent, &room), agent->queue.length);
}

void
mst_worker_adjust_used(
    struct mst_resources *used, const struct mst_resources *needs, int sign)
{
	used->millicores += (uint32_t)sign * needs->millicores;
	used->memory_mb += (uint32_t)sign * needs->memory_mb;
	used->accelerators += (uint32_t)sign * needs->accelerators;
}
