/* Slowness of a worker, as measured by its agent. */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

/* Number of runs in the average slowness. It is small because a worker may slow
 * down within a second. */
#define WORKER_SLOWNESS_WINDOW      12
#define WORKER_SLOWNESS_SAMPLES_MIN 3
#define WORKER_SLOWNESS_DECAY       0.002 /* per run */
/* The lag ratio replaces the average slowness if it is greater by this factor
 * and at least this many runs are running. */
#define WORKER_LAG_FACTOR   1.5
#define WORKER_LAG_RUNS_MIN 3

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
