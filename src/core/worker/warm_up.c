/*
 * Warm-up of a worker. It reports for how long it will still be slow after its
 * start; between two reports that time is counted down. The speed of a cold
 * worker is learnt apart from that of a warm one.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

/* Longest warm-up. A worker whose reports never count down counts as warm
 * afterwards. */
#define WARM_UP_MAX_US (30 * G_USEC_PER_SEC)

static void
begin_warm_up(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	worker->is_cold = true;
	worker->cold_since_us = agent->now_us;
	worker->warm_slowness_avg = worker->slowness_avg;
	worker->slowness_avg = (struct mst_slowness){0};
	agent->next_heartbeat_us = agent->now_us;
}

static void
end_warm_up(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (!worker->is_cold)
		return;
	worker->is_cold = false;
	worker->warm_since_us = agent->now_us;
	worker->slowness_avg = worker->warm_slowness_avg;
	agent->next_heartbeat_us = agent->now_us;
}

void
mst_worker_reset_warm_up(struct mst_agent *agent)
{
	end_warm_up(agent);
	agent->worker.cold_since_us = 0;
}

void
mst_worker_set_cold(struct mst_agent *agent, uint32_t cold_ms)
{
	struct worker *worker = &agent->worker;

	if (cold_ms == 0) {
		mst_worker_reset_warm_up(agent);
		return;
	}
	if (worker->cold_since_us == 0)
		begin_warm_up(agent);
	worker->cold_until_us = MIN(agent->now_us + (int64_t)cold_ms * 1000,
	    worker->cold_since_us + WARM_UP_MAX_US);
}

void
mst_worker_check_warm_up(struct mst_agent *agent)
{
	if (agent->now_us >= agent->worker.cold_until_us)
		end_warm_up(agent);
}

uint32_t
mst_worker_cold_ms(const struct mst_agent *agent)
{
	const struct worker *worker = &agent->worker;

	if (!worker->is_cold || agent->now_us >= worker->cold_until_us)
		return 0;
	return (uint32_t)((worker->cold_until_us - agent->now_us + 999) / 1000);
}

bool
mst_worker_shows_speed(const struct mst_agent *agent, const struct run *run)
{
	const struct worker *worker = &agent->worker;

	return worker->is_cold || run->started_us >= worker->warm_since_us;
}
