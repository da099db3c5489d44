/*
 * Worker of a leased agent: answers to orders, and time. Only the agent sends
 * orders to the worker. A run is considered ended only if the worker lists it
 * as completed or no longer lists it, or after the worker has gone down or its
 * lease has expired.
 */

#include "core/agent/agent_internal.h"
#include "core/id.h"
#include "core/worker/worker_internal.h"

#define WORKER_UNRELIABLE_US (3 * G_USEC_PER_SEC)

/* Records whether the worker answers. */
static void
count_answer(struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;

	agent->counters.orders[answer->status]++;
	if (answer->status == MST_ORDER_NO_ANSWER ||
	    answer->status == MST_ORDER_NOT_SENT) {
		worker->unreliable_until_us =
		    agent->now_us + WORKER_UNRELIABLE_US;
		worker->unanswered++;
		return;
	}
	worker->unanswered = 0;
	if (answer->status != MST_ORDER_DOWN)
		worker->answered_us = MAX(worker->answered_us, answer->sent_us);
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
	bool is_accepted;
	struct run *run;

	count_answer(agent, answer);
	is_accepted = mst_worker_accept_answer(agent, answer);
	mst_candidate_compare(agent, answer);
	if (answer->kind != MST_ORDER_RENEW && answer->status == MST_ORDER_DONE)
		mst_worker_add_answer_time(
		    agent, agent->now_us - answer->sent_us);
	if (answer->kind == MST_ORDER_RENEW) {
		if (is_accepted)
			mst_worker_handle_renew_answer(agent, answer);
		else
			mst_worker_drop_renewal(agent, answer->id);
		return;
	}
	mst_candidate_handle_refusal(agent, answer);
	run =
	    g_hash_table_lookup(agent->active, mst_u64_to_pointer(answer->id));
	if (run == NULL)
		return;
	if (answer->kind == MST_ORDER_START &&
	    answer->status == MST_ORDER_DONE && !run->start_workers_differ)
		mst_identity_handle_done(agent, answer, run->start_worker);
	if (answer->kind == MST_ORDER_START)
		count_start_answer(run, answer->status);
	if (answer->kind == MST_ORDER_START &&
	    run->order_state == ORDER_STARTING)
		mst_worker_handle_start_answer(agent, run, answer);
	else if (answer->kind == MST_ORDER_STOP &&
	    run->order_state == ORDER_STOPPING)
		mst_worker_handle_stop_answer(agent, run, answer);
}

/* Ends the runs and drops the completions of a worker whose lease has expired.
 */
static void
handle_lease_expiry(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (agent->running > 0)
		mst_worker_fail_runs(agent, MST_PROOF_LAPSED, INT64_MAX);
	if (!worker->lease_expiring && worker->unacked_completions.length == 0)
		return;
	mst_completions_drop(worker);
	if (worker->lease_expiring)
		mst_unknown_drop(worker);
	mst_worker_end_forced_expiry(agent);
}

void
mst_worker_tick(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;
	struct renewal *renewal;

	if (!worker->report_loaded) {
		worker->report_loaded = true;
		/* Those of an earlier incarnation of this agent. */
		worker->unnamed_us = agent->now_us;
		mst_agent_emit(agent, MST_AGENT_FX_LOAD_REPORT);
	}
	if (agent->now_us > worker->lease_end_us)
		handle_lease_expiry(agent);
	mst_worker_check_warm_up(agent);
	mst_completions_tick(agent);
	mst_worker_send_due_orders(agent);
	mst_candidate_tick(agent);
	if (agent->now_us < worker->next_renew_us)
		return;
	renewal = mst_worker_get_free_renewal(agent);
	if (renewal != NULL)
		mst_worker_send_renew(agent, renewal);
}
