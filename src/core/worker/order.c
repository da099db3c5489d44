/*
 * Orders to start and stop runs. An order without an answer may still be
 * executed later. A start is therefore repeated with the same run number, which
 * the worker accepts only once.
 */

#include "base/retry_delay.h"
#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

#define WORKER_START_TRIES_MAX  6
#define WORKER_TASK_SIZE_WINDOW 64 /* tasks in the average of their size */

/* Time from an order to its repetition, in microseconds. The runs of a lost
 * entry must have been stopped before their jobs are submitted again. */
static const struct mst_retry_bounds order_bounds = {
    .min = 20 * 1000, .max = 140 * 1000};

static void
set_order_run(struct mst_order *order, const struct run *run)
{
	order->task = run->task.path;
	order->run = run->run_number;
}

static void
send_start(struct mst_agent *agent, struct run *run)
{
	struct mst_order *order;

	/* If this agent is lost, nobody else knows of the other copy. */
	if (mst_worker_start_is_uncertain(run))
		mst_agent_tell_uncertain_start(agent, run);
	order = mst_worker_emit_order(agent, MST_ORDER_START, run->handle);
	run->order_state = ORDER_STARTING;
	run->order_us = agent->now_us;
	run->order_due_us =
	    agent->now_us + mst_worker_expected_answer_us(agent);
	run->order_tries++;
	run->starts_open++;
	run->crash_counted = false;
	set_order_run(order, run);
	order->spec = run->task.body;
	mst_identity_note_start(run, order);
	if (order->worker_id.len == 0)
		agent->counters.starts_unnamed++;
	mst_worker_order_set_lease(agent, order);
}

static void
send_stop(struct mst_agent *agent, struct run *run)
{
	struct mst_order *order =
	    mst_worker_emit_order(agent, MST_ORDER_STOP, run->handle);

	run->order_state = ORDER_STOPPING;
	run->order_us = agent->now_us;
	run->order_tries++;
	set_order_run(order, run);
}

void
mst_worker_send_stop(struct mst_agent *agent, struct run *run)
{
	run->order_tries = 0;
	send_stop(agent, run);
}

/* Schedules the repetition of a run's last order; the first one is due at once.
 * The delay counts from that order, so a worker that is silent until the
 * timeout is not waited for twice. */
static void
repeat_order_later(
    struct mst_agent *agent, struct run *run, enum order_state state)
{
	int64_t delay_us = mst_retry_delay(
	    &order_bounds, run->order_tries - 1, g_rand_double(agent->rand));

	run->order_state = (uint8_t)state;
	run->order_due_us = run->order_us + delay_us;
}

static bool
order_is_due(const struct mst_agent *agent, const struct run *run)
{
	if (agent->now_us < run->order_due_us)
		return false;
	/* While the worker leaves renewals unanswered, its runs expire without
	 * a stop, and one kind of order is enough to find out when it is
	 * back. A start would prolong the lease. */
	if (!agent->worker.synced || agent->worker.renew_failures > 0)
		return false;
	if (agent->drained || agent->worker.id == NULL ||
	    agent->worker.fence != agent->worker.fence_in_force ||
	    !mst_worker_has_lease_for_start(agent))
		return run->order_state == ORDER_STOP_DUE;
	return run->order_state == ORDER_START_DUE ||
	    run->order_state == ORDER_STOP_DUE ||
	    (run->order_state == ORDER_STARTING && !run->start_hedged);
}

/* Sends a start again before its timeout, because most answers take less time.
 * The worker takes the run number only once. */
static void
hedge_start(struct mst_agent *agent, struct run *run)
{
	run->start_hedged = true;
	send_start(agent, run);
}

void
mst_worker_send_due_orders(struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (!order_is_due(agent, run))
			continue;
		agent->counters.orders_repeated++;
		if (run->order_state == ORDER_STARTING)
			hedge_start(agent, run);
		else if (run->order_state == ORDER_START_DUE)
			send_start(agent, run);
		else
			send_stop(agent, run);
	}
}

void
mst_worker_start_run(struct mst_agent *agent, struct run *run)
{
	const struct mst_resources *needs = &run->task.needs;

	mst_worker_adjust_used(&agent->worker.used_resources, needs, 1);
	if (agent->task_millicores == 0)
		agent->task_millicores = needs->millicores;
	agent->task_millicores += (needs->millicores - agent->task_millicores) /
	    WORKER_TASK_SIZE_WINDOW;
	agent->task_memory_mb += (needs->memory_mb - agent->task_memory_mb) /
	    WORKER_TASK_SIZE_WINDOW;
	run->run_number = MAX(run->task.run, 1);
	send_start(agent, run);
}

void
mst_worker_stop_run(
    struct mst_agent *agent, struct run *run, enum mst_reason reason)
{
	if (run->order_state >= ORDER_STOPPING)
		return;
	run->stop_reason = reason;
	mst_worker_send_stop(agent, run);
}

void
mst_worker_abandon_run(struct mst_agent *agent, struct run *run,
    int64_t since_us, enum mst_reason reason)
{
	if (run->abandoned_us == 0 || since_us < run->abandoned_us)
		run->abandoned_us = since_us;
	mst_worker_stop_run(agent, run, reason);
}

void
mst_worker_complete_run(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result, enum mst_run_proof proof)
{
	struct mst_result_item told = *result;

	run->proof = (uint8_t)proof;
	if (proof != MST_PROOF_REFUSED)
		mst_worker_note_end(agent);
	/* Also of a run that is listed as ended: another copy of its start may
	 * be executed by the worker's next incarnation. */
	told.start_uncertain = mst_worker_start_is_uncertain(run);
	if (told.start_uncertain)
		mst_agent_tell_uncertain_start(agent, run);
	mst_worker_adjust_used(
	    &agent->worker.used_resources, &run->task.needs, -1);
	mst_run_complete_started(agent, run, &told);
}

void
mst_worker_fail_run(struct mst_agent *agent, struct run *run,
    enum mst_reason reason, enum mst_run_proof proof)
{
	struct mst_result_item result = {
	    .outcome = MST_OUTCOME_UNKNOWN, .reason = (uint8_t)reason};

	if (run->crashed)
		result.reason = MST_REASON_WORKER_CRASHED;
	else if (run->stop_reason != MST_REASON_NONE)
		result.reason = (uint8_t)run->stop_reason;
	else
		agent->counters.runs_lost++;
	mst_worker_complete_run(agent, run, &result, proof);
}

static void
handle_start_refusal(
    struct mst_agent *agent, struct run *run, enum mst_reason reason)
{
	struct mst_result_item result = {
	    .outcome = MST_OUTCOME_NOT_RUN, .reason = (uint8_t)reason};

	/* Another copy of the order may have been executed. */
	if (mst_worker_start_is_uncertain(run))
		mst_worker_stop_run(agent, run, reason);
	else
		mst_worker_complete_run(agent, run, &result, MST_PROOF_REFUSED);
}

GList *
mst_worker_list_runs(const struct mst_agent *agent)
{
	return g_hash_table_get_values(agent->active);
}

/* Returns true if a run must be stopped before it counts as ended, because a
 * start order without an answer may still reach the worker's next incarnation.
 * The run of a best-effort job is given up once the lease that the order asked
 * for has expired; its entry then runs the task again at this worker only. A
 * stored job may go on at any worker, so its run must not start later. */
static bool
must_stop_first(const struct run *run, bool lease_expired)
{
	return mst_worker_start_is_uncertain(run) &&
	    (!lease_expired || run->task.record.len > 0);
}

void
mst_worker_fail_runs(struct mst_agent *agent, enum mst_run_proof proof,
    int64_t confirmed_before_us)
{
	GList *runs = mst_worker_list_runs(agent);
	GList *link;

	for (link = runs; link != NULL; link = link->next) {
		struct run *run = link->data;

		if (run->order_state == ORDER_STARTING ||
		    run->confirmed_us >= confirmed_before_us)
			continue;
		if (must_stop_first(run, proof == MST_PROOF_LAPSED))
			mst_worker_stop_run(agent, run, MST_REASON_RUN_LOST);
		else
			mst_worker_fail_run(
			    agent, run, MST_REASON_RUN_LOST, proof);
	}
	g_list_free(runs);
}

void
mst_worker_handle_down(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;

	/* It has answered an order that was sent later, so it is up again. */
	if (answer->sent_us < worker->answered_us)
		return;
	mst_worker_record_crash(agent, answer->sent_us);
	if (worker->synced)
		mst_worker_emit_state(agent, "down");
	mst_worker_fail_runs(agent, MST_PROOF_DOWN, answer->sent_us);
	worker->synced = false;
	worker->fence = 0;
}

void
mst_worker_cancel_due_starts(struct mst_agent *agent)
{
	GList *runs = mst_worker_list_runs(agent);
	GList *link;

	for (link = runs; link != NULL; link = link->next) {
		struct run *run = link->data;

		if (run->order_state == ORDER_START_DUE)
			handle_start_refusal(agent, run, MST_REASON_DRAINING);
	}
	g_list_free(runs);
}

/* Returns true if a run must keep the number that its entry has sent, so that
 * the entry knows the number of each start that may still be executed. Entries
 * of earlier builds don't know why the task comes back otherwise. */
static bool
must_keep_number(const struct run *run)
{
	uint64_t features = run->session->build.features;

	return (run->task.flags & MST_TASK_SAME_RUN) != 0 ||
	    (run->task.record.len == 0 &&
		(features & MST_FEATURE_CONFIRMED_STARTS) != 0);
}

static void
repeat_start(struct mst_agent *agent, struct run *run)
{
	if (agent->drained)
		handle_start_refusal(agent, run, MST_REASON_DRAINING);
	else if (run->order_tries < WORKER_START_TRIES_MAX &&
	    !agent->worker.lease_expiring)
		repeat_order_later(agent, run, ORDER_START_DUE);
	else
		mst_worker_stop_run(agent, run, MST_REASON_UPSTREAM_TIMEOUT);
}

/* Handles that the worker has seen a start with the run's number, or a higher
 * one. */
static void
handle_old_run(struct mst_agent *agent, struct run *run)
{
	if (mst_worker_start_is_uncertain(run)) {
		/* Another copy used the number; the lists show the state of
		 * its run. */
		mst_worker_confirm_start(agent, run);
	} else if (must_keep_number(run)) {
		handle_start_refusal(agent, run, MST_REASON_RUN_USED);
	} else {
		run->run_number++;
		repeat_start(agent, run);
	}
}

/* Handles a start that never left this host, because all connections to the
 * worker were in use or none was made in time. It says nothing about the
 * worker. A run of which another copy was sent is not given up for it. */
static void
handle_unsent_start(struct mst_agent *agent, struct run *run)
{
	if (!mst_worker_start_is_uncertain(run))
		handle_start_refusal(agent, run, MST_REASON_BUSY);
	else if (run->starts_open == 0)
		repeat_start(agent, run);
}

void
mst_worker_handle_start_answer(struct mst_agent *agent, struct run *run,
    const struct mst_order_answer *answer)
{
	switch (answer->status) {
	case MST_ORDER_DONE:
		mst_worker_confirm_start(agent, run);
		break;
	case MST_ORDER_OLD_RUN:
		handle_old_run(agent, run);
		break;
	case MST_ORDER_NO_ANSWER:
		mst_agent_tell_uncertain_start(agent, run);
		/* Another copy may still be answered. */
		if (run->starts_open == 0)
			repeat_start(agent, run);
		break;
	case MST_ORDER_FENCED:
		mst_worker_handle_fenced(
		    agent, answer->sent_us, agent->worker.incarnation);
		repeat_start(agent, run);
		break;
	case MST_ORDER_LAPSED:
		repeat_start(agent, run);
		break;
	case MST_ORDER_DOWN:
		handle_start_refusal(agent, run, MST_REASON_UPSTREAM_DOWN);
		mst_worker_handle_down(agent, answer);
		break;
	case MST_ORDER_NO_ROOM:
		mst_worker_note_full(agent, &run->task.needs);
		handle_start_refusal(agent, run, MST_REASON_BUSY);
		break;
	case MST_ORDER_NOT_SENT:
		handle_unsent_start(agent, run);
		break;
	case MST_ORDER_OTHER_INCARNATION:
	case MST_ORDER_UNHEALTHY:
		handle_start_refusal(agent, run, MST_REASON_UPSTREAM_DOWN);
		break;
	case MST_ORDER_INVALID:
		if (mst_worker_start_is_uncertain(run))
			mst_worker_stop_run(
			    agent, run, MST_REASON_UPSTREAM_RESET);
		else
			mst_worker_fail_run(agent, run,
			    MST_REASON_UPSTREAM_RESET, MST_PROOF_REFUSED);
		break;
	}
}

/* Returns true if the present incarnation of the worker has carried out a stop.
 * An unhealthy worker has done nothing. If no start can arrive any more, the
 * lists tell the rest, whatever the worker has rejected. */
static bool
stop_is_in_force(const struct mst_agent *agent, const struct run *run,
    const struct mst_order_answer *answer)
{
	if (mst_worker_start_is_uncertain(run))
		return answer->status == MST_ORDER_DONE &&
		    !mst_worker_answer_is_late(agent, answer);
	return answer->status != MST_ORDER_NO_ANSWER &&
	    answer->status != MST_ORDER_NOT_SENT &&
	    answer->status != MST_ORDER_FENCED &&
	    answer->status != MST_ORDER_UNHEALTHY &&
	    answer->status != MST_ORDER_DOWN;
}

void
mst_worker_handle_stop_answer(struct mst_agent *agent, struct run *run,
    const struct mst_order_answer *answer)
{
	if (answer->status == MST_ORDER_FENCED)
		mst_worker_handle_fenced(
		    agent, answer->sent_us, agent->worker.incarnation);
	if (!stop_is_in_force(agent, run, answer)) {
		repeat_order_later(agent, run, ORDER_STOP_DUE);
		return;
	}
	run->order_state = ORDER_STOPPED;
	run->confirmed_us = agent->now_us;
	/* A run that was never started is in no list, so the next lists
	 * complete it as lost. */
	agent->worker.next_renew_us = agent->now_us;
}
