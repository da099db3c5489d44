/*
 * Incarnations of a worker. Only the worker's own answers show which one is
 * present. An answer may be late, so one that shows another incarnation counts
 * only if its order was sent after the present one was first heard. The numbers
 * of incarnations say nothing of their order: each is the time of day at the
 * worker's start, which may have been set back.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

/* Both clocks that are compared are in whole milliseconds. */
#define WORKER_CLOCK_ROUNDING_MS 2

/* Resets the state for a new incarnation of the worker. The runs of the earlier
 * one no longer exist. Runs that the new one has been given since are in its
 * first lists. Nothing is started before its id is known. */
static void
reset_worker(
    struct mst_agent *agent, uint64_t incarnation, enum mst_restart_cause cause)
{
	struct worker *worker = &agent->worker;

	mst_worker_record_crash(agent, INT64_MAX);
	worker->incarnation = incarnation;
	worker->heard_us = agent->now_us;
	if (worker->clock_ms > 0) {
		worker->is_restarted = true;
		mst_worker_expect_long_lease(agent);
	}
	if (worker->report_is_kept)
		worker->has_reported = worker->report_is_kept = false;
	mst_identity_set(agent, (struct mst_bytes){0});
	worker->synced = false;
	worker->fence = worker->fence_in_force = 0;
	worker->completions_read = 0;
	mst_completions_drop(worker);
	mst_unknown_drop(worker);
	worker->lease_expiring = false;
	worker->unknown_since_us = 0;
	worker->capacity_max = (struct mst_resources){0};
	worker->clock_ms = 0;
	worker->next_renew_us = agent->now_us;
	mst_worker_reset_warm_up(agent);
	mst_worker_emit_restart(agent, cause);
}

/* Returns true if the worker's clock is behind the least that it can show after
 * an order was sent, although nothing else shows another incarnation. */
static bool
clock_was_reset(
    const struct mst_agent *agent, const struct mst_order_answer *answer)
{
	return agent->worker.clock_ms > 0 &&
	    answer->clock_ms + WORKER_CLOCK_ROUNDING_MS <
	    mst_worker_least_clock_ms(agent, answer->sent_us);
}

static void
use_clock(struct mst_agent *agent, const struct mst_order_answer *answer)
{
	if (answer->clock_ms <= 0)
		return;
	if (clock_was_reset(agent, answer))
		reset_worker(agent, answer->incarnation, MST_RESTART_CLOCK);
	mst_worker_update_clock(agent, answer->clock_ms);
}

void
mst_worker_take_id(
    struct mst_agent *agent, struct mst_bytes id, uint64_t incarnation)
{
	struct worker *worker = &agent->worker;

	if (worker->id != NULL && !mst_bytes_equal_str(id, worker->id)) {
		reset_worker(agent, incarnation, MST_RESTART_REPORT);
	} else if (worker->incarnation == 0) {
		worker->incarnation = incarnation;
		worker->heard_us = agent->now_us;
	}
}

bool
mst_worker_answer_is_late(
    const struct mst_agent *agent, const struct mst_order_answer *answer)
{
	const struct worker *worker = &agent->worker;
	bool shows_present = answer->incarnation != 0 &&
	    answer->incarnation == worker->incarnation;

	return !shows_present && answer->sent_us < worker->heard_us;
}

bool
mst_worker_accept_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;
	bool is_other = answer->incarnation != 0 &&
	    answer->incarnation != worker->incarnation;

	/* Lists that show no incarnation may be those of the earlier one. */
	if (mst_worker_answer_is_late(agent, answer))
		return !is_other && answer->kind != MST_ORDER_RENEW;
	if (is_other && worker->incarnation != 0) {
		reset_worker(agent, answer->incarnation, MST_RESTART_LIST);
	} else if (is_other) {
		worker->incarnation = answer->incarnation;
		worker->heard_us = agent->now_us;
	}
	use_clock(agent, answer);
	return true;
}
