/*
 * State of a leased agent's worker. Only the agent sends orders to the worker.
 * A run is considered ended only if the worker lists it as completed or no
 * longer lists it, or after the worker has gone down or its lease has expired.
 */

#include "core/agent/agent_internal.h"
#include "core/id.h"
#include "core/worker/worker_internal.h"

#define WORKER_UNRELIABLE_US (3 * G_USEC_PER_SEC)
#define WORKER_CLOCK_BACK_MS 500 /* more than an answer may be delayed */

/* Resets the state for a new incarnation of the worker. The runs of the earlier
 * one no longer exist. Runs that the new one has been given since are in its
 * first lists. */
static void
reset_worker(
    struct mst_agent *agent, uint64_t incarnation, enum mst_restart_cause cause)
{
	struct worker *worker = &agent->worker;

	mst_worker_record_crash(agent);
	worker->incarnation = incarnation;
	if (worker->clock_ms > 0) {
		worker->is_restarted = true;
		mst_worker_expect_long_lease(agent);
	}
	if (worker->report_is_kept)
		worker->has_reported = worker->report_is_kept = false;
	g_clear_pointer(&worker->id, g_free);
	worker->synced = false;
	worker->fence = 0;
	worker->completions_read = 0;
	mst_completions_drop(worker);
	mst_unknown_drop(worker);
	worker->lease_expiring = false;
	worker->capacity_max = (struct mst_resources){0};
	worker->clock_ms = 0;
	worker->next_renew_us = agent->now_us;
	mst_worker_reset_warm_up(agent);
	mst_worker_emit_restart(agent, cause);
}

/* Returns true if the worker's clock has gone back by more than a delayed
 * answer can explain. The worker was then restarted and has not reported it
 * yet. */
static bool
clock_was_reset(
    const struct mst_agent *agent, const struct mst_order_answer *answer)
{
	return answer->clock_ms > 0 && agent->worker.clock_ms > 0 &&
	    answer->clock_ms + WORKER_CLOCK_BACK_MS <
	    mst_worker_clock_ms(agent);
}

/* Records the incarnation of the worker that has sent an answer or a report.
 * Returns false if it is an earlier one, whose messages must be ignored. */
static bool
accept_incarnation(
    struct mst_agent *agent, uint64_t incarnation, enum mst_restart_cause cause)
{
	struct worker *worker = &agent->worker;

	if (incarnation == 0 || incarnation == worker->incarnation)
		return true;
	if (incarnation < worker->incarnation)
		return false;
	if (worker->incarnation == 0)
		worker->incarnation = incarnation;
	else
		reset_worker(agent, incarnation, cause);
	return true;
}

/* Updates a field of this agent's description, which is sent to the entries
 * when it changes. */
static void
update_description(struct mst_agent *agent, char **text, struct mst_bytes value)
{
	if (*text != NULL && mst_bytes_equal_str(value, *text))
		return;
	g_free(*text);
	*text = mst_bytes_to_str(value);
	agent->description_version++;
}

/* Emits the state in a report, if it is new. A kept report does not show that
 * the worker still exists. */
static void
emit_reported_state(struct mst_agent *agent,
    const struct mst_worker_report *report, bool is_kept)
{
	const struct worker *worker = &agent->worker;

	if (is_kept)
		mst_worker_emit_state(agent, "kept-report");
	else if (!worker->has_reported || worker->report_is_kept ||
	    worker->draining != report->draining)
		mst_worker_emit_state(
		    agent, report->draining ? "draining" : "ready");
}

static void
handle_report(struct mst_agent *agent, const struct mst_worker_report *report,
    bool is_kept)
{
	struct worker *worker = &agent->worker;
	bool has_same_id;

	if (!accept_incarnation(agent, report->incarnation, MST_RESTART_REPORT))
		return;
	has_same_id =
	    worker->id != NULL && mst_bytes_equal_str(report->id, worker->id);
	if (worker->id != NULL && !has_same_id && report->incarnation == 0)
		reset_worker(agent, 0, MST_RESTART_REPORT);
	if (has_same_id && report->incarnation == worker->incarnation &&
	    report->seq < worker->report_seq)
		return;
	worker->report_seq = report->seq;
	if (report->shutting_down) {
		worker->draining = true;
		return;
	}
	if (!has_same_id) {
		g_free(worker->id);
		worker->id = mst_bytes_to_str(report->id);
	}
	emit_reported_state(agent, report, is_kept);
	update_description(agent, &worker->service, report->service);
	update_description(agent, &agent->rack, report->rack);
	update_description(agent, &worker->labels, report->labels);
	mst_worker_set_capacity(agent, &report->capacity);
	worker->draining = report->draining;
	/* The time in a kept report has passed in part. */
	if (!is_kept)
		mst_worker_set_cold(agent, report->cold_ms);
	if (!worker->has_reported)
		agent->next_heartbeat_us = agent->now_us;
	worker->has_reported = true;
	worker->report_is_kept = is_kept;
	if (worker->draining)
		mst_agent_refuse_queued(agent, NULL, MST_REASON_DRAINING);
}

void
mst_worker_handle_report(
    struct mst_agent *agent, const struct mst_worker_report *report)
{
	handle_report(agent, report, false);
}

/* A kept report stands in for the first one of the same incarnation of the
 * worker, so that a restarted agent need not wait for the next report. It also
 * tells the incarnation, without which the fence cannot be raised above that of
 * the earlier incarnation of this agent. If the worker has been restarted
 * since, its lists show that before this agent announces itself. */
void
mst_worker_handle_kept_report(
    struct mst_agent *agent, const struct mst_worker_report *report)
{
	const struct worker *worker = &agent->worker;

	if (worker->has_reported || report->incarnation == 0 ||
	    (worker->incarnation != 0 &&
		report->incarnation != worker->incarnation))
		return;
	handle_report(agent, report, true);
}

static void
count_start_answer(struct run *run, enum mst_order_status status)
{
	if (run->starts_open > 0)
		run->starts_open--;
	if (status == MST_ORDER_NO_ANSWER)
		run->start_unanswered = true;
}

void
mst_worker_handle_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct renewal *renewal;
	struct run *run;

	agent->counters.orders[answer->status]++;
	if (answer->status == MST_ORDER_NO_ANSWER) {
		agent->worker.unreliable_until_us =
		    agent->now_us + WORKER_UNRELIABLE_US;
		agent->worker.unanswered++;
	} else {
		agent->worker.unanswered = 0;
	}
	if (!accept_incarnation(agent, answer->incarnation, MST_RESTART_LIST)) {
		renewal = mst_worker_find_renewal(&agent->worker, answer->id);
		if (answer->kind == MST_ORDER_RENEW && renewal != NULL)
			renewal->id = 0;
		return;
	}
	if (clock_was_reset(agent, answer))
		reset_worker(
		    agent, agent->worker.incarnation, MST_RESTART_CLOCK);
	mst_worker_update_clock(agent, answer->clock_ms);
	if (answer->kind != MST_ORDER_RENEW && answer->status == MST_ORDER_DONE)
		mst_worker_add_answer_time(
		    agent, agent->now_us - answer->sent_us);
	if (answer->kind == MST_ORDER_RENEW) {
		mst_worker_handle_renew_answer(agent, answer);
		return;
	}
	run =
	    g_hash_table_lookup(agent->active, mst_u64_to_pointer(answer->id));
	if (run == NULL)
		return;
	if (answer->kind == MST_ORDER_START)
		count_start_answer(run, answer->status);
	if (answer->kind == MST_ORDER_START &&
	    run->order_state == ORDER_STARTING)
		mst_worker_handle_start_answer(agent, run, answer);
	else if (answer->kind == MST_ORDER_STOP &&
	    run->order_state == ORDER_STOPPING)
		mst_worker_handle_stop_answer(agent, run, answer);
}

void
mst_worker_tick(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;
	struct renewal *renewal;

	if (!worker->report_loaded) {
		worker->report_loaded = true;
		mst_agent_emit(agent, MST_AGENT_FX_LOAD_REPORT);
	}
	if (agent->now_us > worker->lease_end_us) {
		if (agent->running > 0)
			mst_worker_fail_runs(agent, true);
		if (worker->lease_expiring ||
		    worker->unacked_completions.length > 0)
			mst_completions_handle_expiry(agent);
	}
	mst_worker_check_warm_up(agent);
	mst_completions_tick(agent);
	mst_worker_send_due_orders(agent);
	if (agent->now_us < worker->next_renew_us)
		return;
	renewal = mst_worker_get_free_renewal(agent);
	if (renewal != NULL)
		mst_worker_send_renew(agent, renewal);
}
