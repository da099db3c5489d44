/* A worker's room and its speed, as its agent accounts for them. */

#include "core/worker_internal.h"

#define WORKER_TASK_MILLICORES 2000.0 /* of a task, before any was seen */
#define WORKER_SLOTS_MAX       4096
#define WORKER_SPEED_WINDOW    12 /* runs; it may turn slow within a second */
#define WORKER_SPEED_SAMPLES   3
#define WORKER_SPEED_LEAK      0.002
#define WORKER_LAG             1.5
#define WORKER_LAG_RUNS        3

bool
mst_worker_has_capacity(
    const struct mst_agent *agent, const struct mst_resources *needs)
{
	const struct mst_resources *all = &agent->options.resources;
	const struct mst_resources *used = &agent->worker.used;

	return used->millicores + needs->millicores <= all->millicores &&
	    used->memory_mb + needs->memory_mb <= all->memory_mb &&
	    used->accelerators + needs->accelerators <= all->accelerators;
}

static uint32_t
slots_of(const struct mst_agent *agent, uint32_t millicores)
{
	double size = agent->task_millicores > 0 ? agent->task_millicores
						 : WORKER_TASK_MILLICORES;

	return (uint32_t)MIN(millicores / size, WORKER_SLOTS_MAX);
}

uint32_t
mst_worker_slots(const struct mst_agent *agent)
{
	return slots_of(agent, agent->options.resources.millicores);
}

uint32_t
mst_worker_free_slots(const struct mst_agent *agent)
{
	uint32_t all = agent->options.resources.millicores;
	uint32_t used = agent->worker.used.millicores;
	uint32_t free_slots;

	if (!mst_worker_ready(agent) || used >= all)
		return 0;
	free_slots = slots_of(agent, all - used);
	return free_slots > agent->queue.length
	    ? free_slots - agent->queue.length
	    : 0;
}

/* Time that the present runs have taken over what was expected of them: near
 * one half on a worker that is as fast as it was. */
static double
worker_lag(const struct mst_agent *agent)
{
	double elapsed_us = 0, expected_us = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;

		elapsed_us += (double)(agent->now_us - run->started_us);
		expected_us += run->task.expected_service_us;
	}
	return expected_us > 0 ? elapsed_us / expected_us : 0;
}

uint32_t
mst_worker_slowness_milli(const struct mst_agent *agent)
{
	const struct mst_slowness *speed = &agent->worker.speed;
	double slowness = mst_slowness_ratio(speed);
	double lag = worker_lag(agent);

	/* Runs that are late tell of a slow worker before they end. */
	if (agent->running >= WORKER_LAG_RUNS && lag > slowness * WORKER_LAG)
		slowness = lag;
	else if (speed->samples < WORKER_SPEED_SAMPLES)
		return 0;
	return (uint32_t)CLAMP(slowness * 1000, 1, UINT32_MAX);
}

void
mst_worker_adjust_used(
    struct mst_resources *used, const struct mst_resources *needs, int sign)
{
	used->millicores += (uint32_t)sign * needs->millicores;
	used->memory_mb += (uint32_t)sign * needs->memory_mb;
	used->accelerators += (uint32_t)sign * needs->accelerators;
}

void
mst_worker_learn_speed(struct mst_agent *agent, const struct run *run)
{
	struct mst_slowness *speed = &agent->worker.speed;

	if (run->task.expected_service_us == 0)
		return;
	mst_slowness_add_sample(speed,
	    (double)(agent->now_us - run->started_us),
	    run->task.expected_service_us, WORKER_SPEED_WINDOW);
	/* Keeps the usual worker at one, as entries measure against it. */
	speed->log_ratio *= 1 - WORKER_SPEED_LEAK;
}
