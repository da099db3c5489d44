/*
 * State of a worker: its clock, the fence of its orders, and whether it can be
 * given work.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

#include <math.h>

#define WORKER_ORDER_TIMEOUT_MS 50
/* Consecutive orders without an answer after which nothing is started. */
#define WORKER_UNANSWERED_MAX 2
/* Least time within which an answer is expected. */
#define ANSWER_TIME_MIN_US (10 * 1000)
/* Weights of a sample in the averages, and deviations that are expected. */
#define ANSWER_TIME_WEIGHT      0.125
#define ANSWER_DEVIATION_WEIGHT 0.25
#define ANSWER_DEVIATIONS       4
#define WORKER_CLOCK_DRIFT      0.04 /* clocks differ by up to 2 % */
#define WORKER_LEASE_MARGIN_US  (30 * 1000)
#define WORKER_FENCE_MAX        ((UINT64_C(1) << 53) - 1) /* in JSON */
/* Age of a worker up to which an order to its earlier incarnation may arrive.
 */
#define WORKER_YOUNG_MAX_MS 14000

static const char *const status_names[] = {[MST_ORDER_DONE] = "done",
    [MST_ORDER_NO_ANSWER] = "no-answer",
    [MST_ORDER_NOT_SENT] = "not-sent",
    [MST_ORDER_DOWN] = "down",
    [MST_ORDER_FENCED] = "fenced",
    [MST_ORDER_OLD_RUN] = "old-run",
    [MST_ORDER_LAPSED] = "lapsed",
    [MST_ORDER_NO_ROOM] = "no-room",
    [MST_ORDER_UNHEALTHY] = "unhealthy",
    [MST_ORDER_OTHER_INCARNATION] = "other-life",
    [MST_ORDER_INVALID] = "invalid"};

const char *
mst_order_status_name(int status)
{
	if (status < MST_ORDER_DONE || status > MST_ORDER_INVALID)
		return "invalid";
	return status_names[status];
}

const char *
mst_restart_cause_name(int cause)
{
	static const char *const names[] = {[MST_RESTART_UNKNOWN] = "unknown",
	    [MST_RESTART_REPORT] = "report",
	    [MST_RESTART_LIST] = "list",
	    [MST_RESTART_CLOCK] = "clock"};

	if (cause < 0 || cause >= (int)G_N_ELEMENTS(names))
		return "unknown";
	return names[cause];
}

const char *
mst_run_proof_name(int proof)
{
	static const char *const names[] = {[MST_PROOF_NONE] = "none",
	    [MST_PROOF_UNSENT] = "unsent",
	    [MST_PROOF_LISTED] = "listed",
	    [MST_PROOF_UNLISTED] = "unlisted",
	    [MST_PROOF_REFUSED] = "refused",
	    [MST_PROOF_DOWN] = "down",
	    [MST_PROOF_LAPSED] = "lapsed",
	    [MST_PROOF_OTHER_ID] = "other-id"};

	if (proof < 0 || proof >= MST_PROOF_MAX)
		return "none";
	return names[proof];
}

/* Returns the duration of a lease that is granted now. The lease of the worker
 * is that of all its runs, so it must end in time for the abandoned ones and
 * for those that this agent does not know. It is at most 0 once they have had a
 * whole lease. */
static int64_t
lease_left_us(const struct mst_agent *agent)
{
	int64_t lease_us = agent->options.leases.run_lease_us;
	int64_t unknown_since_us = agent->worker.unknown_since_us;
	int64_t left_us = lease_us;
	GHashTableIter iter;
	gpointer value;

	if (unknown_since_us > 0)
		left_us = unknown_since_us + lease_us - agent->now_us;
	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;

		if (run->abandoned_us > 0)
			left_us = MIN(left_us,
			    run->abandoned_us + lease_us - agent->now_us);
	}
	return left_us;
}

bool
mst_worker_has_lease_for_start(const struct mst_agent *agent)
{
	return agent->now_us >= agent->worker.start_after_us &&
	    lease_left_us(agent) >= agent->options.leases.run_lease_us / 2;
}

bool
mst_worker_is_ready(const struct mst_agent *agent)
{
	const struct worker *worker = &agent->worker;

	return worker->has_reported && worker->id != NULL && worker->synced &&
	    worker->fence == worker->fence_in_force && !worker->draining &&
	    !agent->drained && !worker->lease_expiring &&
	    worker->unanswered < WORKER_UNANSWERED_MAX &&
	    mst_worker_has_lease_for_start(agent) &&
	    worker->renew_failures < WORKER_RENEW_FAILURES_MAX;
}

bool
mst_worker_is_unreliable(const struct mst_agent *agent)
{
	return agent->now_us < agent->worker.unreliable_until_us;
}

void
mst_worker_emit_state(struct mst_agent *agent, const char *state)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_WORKER);

	effect->state = state;
	effect->worker_incarnation = agent->worker.incarnation;
}

void
mst_worker_emit_restart(struct mst_agent *agent, enum mst_restart_cause cause)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_WORKER);

	effect->state = "restarted";
	effect->restart_cause = cause;
	effect->worker_incarnation = agent->worker.incarnation;
}

int64_t
mst_worker_clock_ms(const struct mst_agent *agent)
{
	return agent->worker.clock_ms +
	    (agent->now_us - agent->worker.clock_us) / 1000;
}

int64_t
mst_worker_least_clock_ms(const struct mst_agent *agent, int64_t at_us)
{
	const struct worker *worker = &agent->worker;
	double elapsed_ms = (double)(at_us - worker->clock_us) / 1000;
	double rate =
	    elapsed_ms < 0 ? 1 + WORKER_CLOCK_DRIFT : 1 - WORKER_CLOCK_DRIFT;

	return worker->clock_ms + (int64_t)(elapsed_ms * rate);
}

/* Updates the estimate of the worker's clock from an answer. The clock in the
 * answer is behind by the delay of the answer. The estimate is therefore set to
 * the greater of that clock and the least that the present estimate allows. */
void
mst_worker_update_clock(struct mst_agent *agent, int64_t clock_ms)
{
	struct worker *worker = &agent->worker;
	int64_t expected_ms = mst_worker_least_clock_ms(agent, agent->now_us);

	if (clock_ms <= 0)
		return;
	worker->clock_ms =
	    worker->clock_ms > 0 ? MAX(clock_ms, expected_ms) : clock_ms;
	worker->clock_us = agent->now_us;
}

void
mst_worker_add_answer_time(struct mst_agent *agent, int64_t time_us)
{
	struct worker *worker = &agent->worker;
	double deviation_us = fabs((double)time_us - worker->answer_time_us);

	if (worker->answer_time_us == 0) {
		worker->answer_time_us = (double)time_us;
		worker->answer_deviation_us = (double)time_us / 2;
		return;
	}
	worker->answer_deviation_us += ANSWER_DEVIATION_WEIGHT *
	    (deviation_us - worker->answer_deviation_us);
	worker->answer_time_us +=
	    ANSWER_TIME_WEIGHT * ((double)time_us - worker->answer_time_us);
}

int64_t
mst_worker_expected_answer_us(const struct mst_agent *agent)
{
	const struct worker *worker = &agent->worker;
	double expected_us = worker->answer_time_us +
	    ANSWER_DEVIATIONS * worker->answer_deviation_us;

	return (int64_t)MAX(expected_us, ANSWER_TIME_MIN_US);
}

/* The fence need not be stored, because it is derived from the worker's clock,
 * which increases for as long as the worker remembers a fence. The clock is
 * added to the incarnation of the worker, so the fence also increases across
 * its incarnations and an order that was delayed since an earlier one is
 * rejected. It also rises if the time of day, which names the incarnations,
 * goes back. */
void
mst_worker_raise_fence(struct mst_agent *agent, uint64_t incarnation)
{
	struct worker *worker = &agent->worker;
	uint64_t derived =
	    incarnation + (uint64_t)MAX(mst_worker_clock_ms(agent), 1);
	uint64_t fence =
	    MAX(derived, worker->fence_max + MAX(worker->fence_step, 1));

	worker->fence_is_guess = worker->fence_step > 0 && fence > derived;
	worker->fence = worker->fence_max = MIN(fence, WORKER_FENCE_MAX);
	worker->fence_us = agent->now_us;
}

/* The steps double, because the worker's fence may be much higher. */
void
mst_worker_handle_fenced(
    struct mst_agent *agent, int64_t sent_us, uint64_t incarnation)
{
	struct worker *worker = &agent->worker;

	if (sent_us < worker->fence_us)
		return;
	worker->fence_step =
	    CLAMP(worker->fence_step * 2, 1, WORKER_FENCE_MAX / 2);
	mst_worker_raise_fence(agent, incarnation);
}

struct mst_order *
mst_worker_emit_order(
    struct mst_agent *agent, enum mst_order_kind kind, uint64_t id)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_ORDER);

	effect->order = (struct mst_order){.kind = kind,
	    .id = id,
	    .worker_id = mst_bytes_from_str(agent->worker.id),
	    .fence = agent->worker.fence,
	    .timeout_ms = WORKER_ORDER_TIMEOUT_MS};
	return &effect->order;
}

/* Returns the time by which a lease of a given duration has certainly expired
 * that the worker grants now. */
static int64_t
lease_end_us(const struct mst_agent *agent, int64_t lease_us)
{
	double longest_us = (double)lease_us * (1 + WORKER_CLOCK_DRIFT);

	return agent->now_us + (int64_t)longest_us + WORKER_LEASE_MARGIN_US;
}

int64_t
mst_worker_lease_end_us(const struct mst_agent *agent)
{
	return lease_end_us(agent, agent->options.leases.run_lease_us);
}

/* The orders that the new incarnation was given before the fence was raised
 * name times on the clock of the earlier one, which is ahead. So its lease may
 * be as long as any that it grants, and cannot be shortened. */
void
mst_worker_expect_long_lease(struct mst_agent *agent)
{
	const struct mst_lease_times *leases = &agent->options.leases;
	struct worker *worker = &agent->worker;
	int64_t long_end_us = lease_end_us(agent, leases->run_lease_max_us);

	worker->lease_end_us = MAX(worker->lease_end_us, long_end_us);
	worker->start_after_us = long_end_us - leases->run_lease_us;
	worker->expects_long_lease = true;
}

void
mst_worker_allow_long_lease(struct mst_agent *agent)
{
	const struct mst_lease_times *leases = &agent->options.leases;
	struct worker *worker = &agent->worker;

	if (mst_worker_clock_ms(agent) < WORKER_YOUNG_MAX_MS)
		worker->lease_end_us = MAX(worker->lease_end_us,
		    lease_end_us(agent, leases->run_lease_max_us));
}

void
mst_worker_exclude_long_lease(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	worker->is_restarted = worker->expects_long_lease = false;
	worker->start_after_us = 0;
	worker->lease_end_us =
	    MIN(worker->lease_end_us, mst_worker_lease_end_us(agent));
}

void
mst_worker_order_set_lease(struct mst_agent *agent, struct mst_order *order)
{
	struct worker *worker = &agent->worker;
	int64_t left_us = lease_left_us(agent);

	if (left_us <= 0)
		return;
	order->lease_end_ms = mst_worker_clock_ms(agent) + left_us / 1000;
	worker->lease_end_us =
	    MAX(worker->lease_end_us, lease_end_us(agent, left_us));
	mst_identity_note_lease(agent, order);
}
