/* Free resources and slowness of a worker, as estimated by its agent. */

#include "base/retry_delay.h"
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

/* Failures in a row after which a worker is considered to fail all its runs.
 * Single runs fail by their own fault. */
#define WORKER_FAILURES_MIN 3

/* A run that lasts for this multiple of the time of failed ones, and at least
 * the minimum more, does not fail like them. */
#define PROBE_TIME_FACTOR 3
#define PROBE_TIME_MIN_US (40 * 1000)

/* Time from a failure of such a worker to the next run, in microseconds. */
static const struct mst_retry_bounds probe_bounds = {
    .min = 100 * 1000, .max = 1000 * 1000};

/* A worker that fails whatever it is given looks idle. Its agent sees the
 * failures of all entries, each of which sees only its own. */
bool
mst_worker_is_failing(const struct mst_agent *agent)
{
	return agent->options.tuning.limit_failing &&
	    agent->worker.run_failures >= WORKER_FAILURES_MIN;
}

static void
set_run_failures(struct mst_agent *agent, unsigned run_failures)
{
	bool was_failing = mst_worker_is_failing(agent);

	agent->worker.run_failures = run_failures;
	if (mst_worker_is_failing(agent) == was_failing)
		return;
	mst_worker_emit_state(agent, was_failing ? "sound" : "failing");
	mst_agent_announce_all(agent, agent->now_us);
}

void
mst_worker_count_outcome(
    struct mst_agent *agent, const struct run *run, bool failed)
{
	struct worker *worker = &agent->worker;
	double time_us = (double)(agent->now_us - run->started_us);

	if (!failed) {
		/* Runs from before the first failure show nothing. */
		if (run->started_us >= worker->failing_since_us)
			set_run_failures(agent, 0);
		return;
	}
	if (worker->run_failures == 0) {
		worker->failing_since_us = agent->now_us;
		worker->failure_time_us = time_us;
	}
	worker->failure_time_us +=
	    (time_us - worker->failure_time_us) / WORKER_FAILURES_MIN;
	set_run_failures(agent, worker->run_failures + 1);
	if (mst_worker_is_failing(agent))
		worker->next_probe_us = agent->now_us +
		    mst_retry_delay(&probe_bounds,
			worker->run_failures - WORKER_FAILURES_MIN + 1,
			g_rand_double(agent->rand));
}

/* Returns true if a run was started to probe a failing worker and has lasted
 * longer than the failed ones. */
static bool
probe_has_passed(const struct mst_agent *agent, const struct run *run)
{
	const struct worker *worker = &agent->worker;
	double limit_us =
	    worker->failure_time_us * PROBE_TIME_FACTOR + PROBE_TIME_MIN_US;

	return run->order_state == ORDER_STARTED &&
	    run->started_us >= worker->next_probe_us &&
	    (double)(agent->now_us - run->started_us) > limit_us;
}

/* The success of a long run would show too late that the worker is sound. */
void
mst_worker_check_probe(struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	if (!mst_worker_is_failing(agent))
		return;
	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (probe_has_passed(agent, value)) {
			set_run_failures(agent, 0);
			return;
		}
	}
}

/* Returns true if a worker that fails its runs may be given one more now. */
static bool
may_probe(const struct mst_agent *agent)
{
	return agent->running == 0 &&
	    agent->now_us >= agent->worker.next_probe_us;
}

bool
mst_worker_has_capacity(
    const struct mst_agent *agent, const struct mst_resources *needs)
{
	const struct mst_resources *total = &agent->options.resources;
	const struct mst_resources *used = &agent->worker.used_resources;

	if (mst_worker_is_failing(agent) && !may_probe(agent))
		return false;
	return used->millicores + needs->millicores <= total->millicores &&
	    used->memory_mb + needs->memory_mb <= total->memory_mb &&
	    used->accelerators + needs->accelerators <= total->accelerators;
}

static uint32_t
count_slots(const struct mst_agent *agent, uint32_t millicores)
{
	double size = agent->task_millicores > 0 ? agent->task_millicores
						 : WORKER_TASK_MILLICORES;

	return (uint32_t)MIN(millicores / size, WORKER_SLOTS_MAX);
}

uint32_t
mst_worker_slots(const struct mst_agent *agent)
{
	/* Entries must not count on its capacity. */
	if (mst_worker_is_failing(agent))
		return 1;
	return count_slots(agent, agent->options.resources.millicores);
}

uint32_t
mst_worker_free_slots(const struct mst_agent *agent)
{
	uint32_t total = agent->options.resources.millicores;
	uint32_t used = agent->worker.used_resources.millicores;
	uint32_t free_slots;

	if (!mst_worker_is_ready(agent) || used >= total)
		return 0;
	if (mst_worker_is_failing(agent))
		return may_probe(agent) && agent->queue.length == 0;
	free_slots = count_slots(agent, total - used);
	return free_slots > agent->queue.length
	    ? free_slots - agent->queue.length
	    : 0;
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

	if (run->task.expected_service_us == 0)
		return;
	mst_slowness_add_sample(slowness_avg,
	    (double)(agent->now_us - run->started_us),
	    run->task.expected_service_us, WORKER_SLOWNESS_WINDOW);
	/* Decays the ratio towards 1, so that it stays at 1 for a typical
	 * worker. Entries take 1 as the reference. */
	slowness_avg->log_ratio *= 1 - WORKER_SLOWNESS_DECAY;
}
