/* Free resources and slowness of a worker, as estimated by its agent. */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

#define WORKER_TASK_MILLICORES 2000.0 /* task size until one has started */
#define WORKER_SLOTS_MAX       4096
/* Number of runs in the average slowness. It is small because a worker may slow
 * down within a second. */
#define WORKER_SLOWNESS_WINDOW      12
#define WORKER_SLOWNESS_SAMPLES_MIN 3
#define WORKER_SLOWNESS_DECAY       0.002 /* per run */
/* The lag ratio replaces the average slowness if it is greater by this factor
 * and at least this many runs are running. */
#define WORKER_LAG_FACTOR   1.5
#define WORKER_LAG_RUNS_MIN 3

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

bool
mst_worker_has_capacity(
    const struct mst_agent *agent, const struct mst_resources *needs)
{
	const struct mst_resources *total = &agent->options.resources;
	const struct mst_resources *used = &agent->worker.used_resources;

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

	if (!mst_worker_is_ready(agent) || mst_agent_is_isolating(agent))
		return 0;
	return subtract(count_slots(agent, &room), agent->queue.length);
}

/* Returns the ratio of the elapsed to the expected time of the running runs. It
 * is about one half if the speed of the worker has not changed. */
static double
get_lag_ratio(const struct mst_agent *agent)
{
	double elapsed_us = 0, expected_us = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;

		if (!mst_worker_shows_speed(agent, run))
			continue;
		elapsed_us += (double)(agent->now_us - run->started_us);
		expected_us += run->task.expected_service_us;
	}
	return expected_us > 0 ? elapsed_us / expected_us : 0;
}

uint32_t
mst_worker_slowness_milli(const struct mst_agent *agent)
{
	const struct mst_slowness *slowness_avg = &agent->worker.slowness_avg;
	double slowness = mst_slowness_ratio(slowness_avg);
	double lag = get_lag_ratio(agent);

	/* Runs that are late show a slow worker before they complete. */
	if (agent->options.tuning.report_lag &&
	    agent->running >= WORKER_LAG_RUNS_MIN &&
	    lag > slowness * WORKER_LAG_FACTOR)
		slowness = lag;
	else if (slowness_avg->samples < WORKER_SLOWNESS_SAMPLES_MIN)
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
mst_worker_update_slowness(struct mst_agent *agent, const struct run *run)
{
	struct mst_slowness *slowness_avg = &agent->worker.slowness_avg;

	if (run->task.expected_service_us == 0 ||
	    !mst_worker_shows_speed(agent, run))
		return;
	mst_slowness_add_sample(slowness_avg,
	    (double)(agent->now_us - run->started_us),
	    run->task.expected_service_us, WORKER_SLOWNESS_WINDOW);
	/* Decays the ratio towards 1, so that it stays at 1 for a typical
	 * worker. Entries take 1 as the reference. */
	slowness_avg->log_ratio *= 1 - WORKER_SLOWNESS_DECAY;
}
