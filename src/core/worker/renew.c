/*
 * Renew orders, which renew the lease of all runs of the worker. Their answers
 * list the running and the completed runs.
 */

#include "base/retry_delay.h"
#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

#include <string.h>

#define WORKER_RENEW_MARGIN_MS    50 /* for the answer, beyond the wait */
#define WORKER_UNRELIABLE_WAIT_US (20 * 1000)
#define WORKER_RENEW_RETRY_US     (20 * 1000) /* while runs are awaited */
/* Latest plausible incarnation, in milliseconds since 1970. Fences, which are
 * derived from it, stay far below their limit. */
#define WORKER_INCARNATION_MAX   (UINT64_C(1) << 43)
#define WORKER_UNKNOWN_STOPS_MAX 64 /* per list of running runs */
/* Consecutive failures after which the lease is not renewed before an answer
 * arrives, so that it is known when the runs have ended. */
#define WORKER_RENEWED_FAILURES_MAX 2

/* Time from a failed renewal to the next one after several failures, in
 * microseconds. Several fit into a lease. */
static const struct mst_retry_bounds renew_bounds = {
    .min = 20 * 1000, .max = 150 * 1000};

static struct run *
find_run(const struct mst_agent *agent, struct mst_bytes task, uint32_t number)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (run->run_number == number &&
		    run->task.path.len == task.len &&
		    memcmp(run->task.path.data, task.data, task.len) == 0)
			return run;
	}
	return NULL;
}

static void
process_completion(
    struct mst_agent *agent, const struct mst_worker_completion *completion)
{
	struct run *run = find_run(agent, completion->task, completion->run);
	struct mst_result_item result = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};
	bool has_result = completion->status == MST_RUN_DONE ||
	    completion->status == MST_RUN_FAILED;

	agent->worker.completions_read = completion->seq;
	if (run == NULL) {
		if (has_result && !agent->worker.synced)
			mst_unknown_completion_add(agent, completion->task);
		return;
	}
	result.ack_after_record = has_result &&
	    mst_completions_add(agent, run, completion->seq,
		completion->status == MST_RUN_FAILED);
	switch (completion->status) {
	case MST_RUN_DONE:
		if (run->task.flags & MST_TASK_SUSPECT)
			mst_agent_clear_suspect(agent, run);
		mst_worker_update_slowness(agent, run);
		mst_worker_complete_run(agent, run, &result, MST_PROOF_LISTED);
		break;
	case MST_RUN_FAILED:
		result.status = 500;
		result.reason = MST_REASON_RUN_FAILED;
		mst_worker_complete_run(agent, run, &result, MST_PROOF_LISTED);
		break;
	case MST_RUN_STOPPED:
	case MST_RUN_LAPSED:
	case MST_RUN_GANG_FAILED:
		mst_worker_fail_run(
		    agent, run, MST_REASON_RUN_LOST, MST_PROOF_LISTED);
		break;
	}
}

static void
stop_unknown_run(struct mst_agent *agent, const struct mst_worker_run *listed)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_UNKNOWN_RUN);
	struct mst_order *order;

	effect->unknown_run = *listed;
	effect->worker_incarnation = agent->worker.incarnation;
	order = mst_worker_emit_order(agent, MST_ORDER_STOP, 0);
	order->task = listed->task;
	order->run = listed->run;
	agent->counters.runs_unknown++;
}

/* Returns true if a start order without an answer may still start a run: what
 * shut it out is known to an earlier incarnation of the worker only. */
static bool
may_start_again(const struct mst_agent *agent, const struct run *run)
{
	return mst_worker_start_is_uncertain(run) &&
	    run->confirmed_us < agent->worker.heard_us;
}

/* Ends the runs that the worker had confirmed before the lists were requested,
 * but does not list. They have ended without a listed completion. */
static void
end_unlisted_runs(
    struct mst_agent *agent, const struct mst_order_answer *answer, GList *runs)
{
	GList *link;

	for (link = runs; link != NULL; link = link->next) {
		struct run *run = link->data;

		if ((run->order_state != ORDER_STARTED &&
			run->order_state != ORDER_STOPPED) ||
		    run->confirmed_us >= answer->sent_us)
			continue;
		if (may_start_again(agent, run))
			mst_worker_send_stop(agent, run);
		else
			mst_worker_fail_run(agent, run, MST_REASON_RUN_LOST,
			    MST_PROOF_UNLISTED);
	}
}

/* Processes the lists of the worker. Returns the number of listed running runs
 * that this agent does not know. */
static uint32_t
process_lists(struct mst_agent *agent, const struct mst_order_answer *answer)
{
	GList *unlisted;
	uint32_t unknown_runs = 0;
	uint32_t i;

	for (i = 0; i < answer->completion_count; i++) {
		if (answer->completions[i].seq > agent->worker.completions_read)
			process_completion(agent, &answer->completions[i]);
	}
	unlisted = mst_worker_list_runs(agent);
	for (i = 0; i < answer->running_count; i++) {
		const struct mst_worker_run *listed = &answer->running[i];
		struct run *run = find_run(agent, listed->task, listed->run);

		if (run == NULL) {
			if (unknown_runs++ < WORKER_UNKNOWN_STOPS_MAX)
				stop_unknown_run(agent, listed);
			continue;
		}
		unlisted = g_list_remove(unlisted, run);
		run->crashed = false;
		run->seen_us = agent->now_us;
		if (run->order_state == ORDER_STARTING ||
		    run->order_state == ORDER_START_DUE) {
			mst_worker_confirm_start(agent, run);
		} else if (run->order_state == ORDER_STOPPED &&
		    run->confirmed_us < answer->sent_us) {
			/* A delayed start arrived after the stop. */
			mst_worker_send_stop(agent, run);
		}
	}
	/* Others may have ended with a completion that is listed later. */
	if (!answer->has_more_completions)
		end_unlisted_runs(agent, answer, unlisted);
	g_list_free(unlisted);
	return unknown_runs;
}

struct renewal *
mst_worker_find_renewal(struct worker *worker, uint64_t id)
{
	size_t i;

	for (i = 0; i < WORKER_RENEWS_MAX; i++) {
		if (worker->renewals[i].id == id)
			return &worker->renewals[i];
	}
	return NULL;
}

static bool
has_open_renewal(const struct worker *worker)
{
	size_t i;

	for (i = 0; i < WORKER_RENEWS_MAX; i++) {
		if (worker->renewals[i].id != 0)
			return true;
	}
	return false;
}

/* Returns true if a renew order that names the id is to be sent at once. */
static bool
must_confirm_id(const struct worker *worker)
{
	size_t i;

	for (i = 0; i < WORKER_RENEWS_MAX; i++) {
		if (worker->renewals[i].id != 0 &&
		    worker->renewals[i].named_id != 0)
			return false;
	}
	return mst_identity_must_confirm(worker);
}

/* Two renew orders are open at a time while answers get lost, because the
 * answer to the second lists the completions as well, and while an order
 * without the worker's id waits although the id is to be confirmed. */
struct renewal *
mst_worker_get_free_renewal(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (must_confirm_id(worker) ||
	    (worker->synced && mst_worker_is_unreliable(agent)))
		return mst_worker_find_renewal(worker, 0);
	return has_open_renewal(worker) ? NULL : &worker->renewals[0];
}

/* Returns true if the worker's present incarnation has a run of this agent.
 * Only then is its lease renewed before its id is known: a later incarnation
 * could execute the order as well, and would get a lease that nobody expects.
 */
static bool
has_seen_run(const struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;

		if (run->seen_us >= agent->worker.heard_us)
			return !agent->worker.has_ended;
	}
	return false;
}

void
mst_worker_send_renew(struct mst_agent *agent, struct renewal *renewal)
{
	struct worker *worker = &agent->worker;
	int64_t wait_us = mst_worker_is_unreliable(agent)
	    ? WORKER_UNRELIABLE_WAIT_US
	    : agent->options.leases.renew_interval_us;
	struct mst_order *order;

	*renewal = (struct renewal){.id = ++agent->next_handle,
	    .fence = worker->fence,
	    .named_id = worker->id_hash};
	order = mst_worker_emit_order(agent, MST_ORDER_RENEW, renewal->id);
	if (!worker->lease_expiring &&
	    !mst_unknown_completions_are_pending(worker))
		order->completions_acked = mst_completions_last_acked(worker);
	if (worker->synced && worker->renew_failures == 0 &&
	    worker->fence == worker->fence_in_force &&
	    !mst_identity_must_confirm(worker))
		order->wait_ms = (uint32_t)(wait_us / 1000);
	order->timeout_ms = order->wait_ms + WORKER_RENEW_MARGIN_MS;
	/* Runs left by an earlier incarnation of this agent are not renewed. */
	if (worker->synced && !worker->lease_expiring &&
	    (worker->id != NULL || has_seen_run(agent)) &&
	    worker->renew_failures < WORKER_RENEWED_FAILURES_MAX)
		mst_worker_order_set_lease(agent, order);
	worker->next_renew_us = agent->now_us + wait_us;
}

static void
handle_renew_failure(struct mst_agent *agent, enum mst_order_status status)
{
	struct worker *worker = &agent->worker;

	if (++worker->renew_failures == WORKER_RENEW_FAILURES_MAX &&
	    worker->synced) {
		mst_worker_emit_state(agent, mst_order_status_name(status));
		/* Entries must learn at once that nothing is accepted. */
		mst_agent_announce_all(agent, agent->now_us);
	}
	/* A single failure is repeated at once, since it delays completions. */
	worker->next_renew_us = agent->now_us +
	    mst_retry_delay(&renew_bounds, worker->renew_failures - 1,
		g_rand_double(agent->rand));
	agent->counters.orders_repeated++;
}

/* Records since when the worker has runs that this agent does not know. Their
 * stops may be refused, so the lease is renewed for a limited time only. */
static void
record_unknown_runs(struct mst_agent *agent,
    const struct mst_order_answer *answer, uint32_t unknown_runs)
{
	struct worker *worker = &agent->worker;

	if (unknown_runs > 0 && worker->unknown_since_us == 0)
		worker->unknown_since_us = agent->now_us;
	else if (unknown_runs == 0 &&
	    answer->sent_us >= worker->unknown_since_us)
		worker->unknown_since_us = 0;
}

/* Records that the worker has taken the present fence. If an earlier
 * incarnation of this agent may have used it, it is raised once more first,
 * because the worker also executes delayed orders with that fence. */
static void
put_fence_in_force(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	worker->fence_step = 0;
	if (worker->fence_is_guess)
		mst_worker_raise_fence(agent, worker->incarnation);
	else
		worker->fence_in_force = worker->fence;
}

/* Handles the answer to a renew order with the given fence. */
static void
handle_renew_success(struct mst_agent *agent,
    const struct mst_order_answer *answer, uint64_t fence)
{
	struct worker *worker = &agent->worker;
	bool was_lost = worker->renew_failures >= WORKER_RENEW_FAILURES_MAX;
	uint32_t unknown_runs;

	worker->next_renew_us = agent->now_us;
	/* The answer to the other renew order lists the next completion. */
	if (has_open_renewal(worker))
		worker->next_renew_us += WORKER_UNRELIABLE_WAIT_US / 2;
	/* The fence depends on the worker's clock, which is now known. */
	if (worker->fence == 0) {
		mst_worker_raise_fence(agent, worker->incarnation);
		return;
	}
	if (fence == worker->fence)
		put_fence_in_force(agent);
	/* The worker may still execute starts that were delayed since its
	 * earlier incarnation. */
	if (!worker->synced && fence != worker->fence)
		return;
	if (!worker->was_synced)
		mst_worker_allow_long_lease(agent);
	unknown_runs = process_lists(agent, answer);
	record_unknown_runs(agent, answer, unknown_runs);
	worker->renew_failures = 0;
	/* Runs of an earlier incarnation of this agent must end first, because
	 * entries may start their tasks elsewhere once they know of this
	 * incarnation. */
	if (!worker->synced &&
	    (unknown_runs > 0 || mst_unknown_completions_are_pending(worker))) {
		worker->next_renew_us = agent->now_us + WORKER_RENEW_RETRY_US;
		return;
	}
	if (!worker->synced || was_lost)
		mst_worker_emit_state(agent, "answers");
	if (worker->is_restarted) {
		worker->is_restarted = false;
		mst_worker_expect_long_lease(agent);
	}
	/* Announces the worker without delay. */
	if (!worker->synced)
		agent->next_heartbeat_us = agent->now_us;
	worker->synced = worker->was_synced = true;
	if (was_lost)
		mst_agent_announce_all(agent, agent->now_us);
}

/* Returns the incarnation to derive the fence from after the order that was to
 * verify a candidate was rejected for its fence. Only the worker that the order
 * names checks the fence, so the candidate's incarnation counts, unless it is
 * not plausible. */
static uint64_t
get_fence_incarnation(
    const struct worker *worker, const struct mst_worker_report *report)
{
	if (report->incarnation > WORKER_INCARNATION_MAX)
		return worker->incarnation;
	return MAX(worker->incarnation, report->incarnation);
}

/* The order that verified a candidate is no renewal of the lease, so it does
 * not tell whether renewals fail. Its answer shows the lists all the same. */
static void
handle_candidate_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;
	uint64_t fence_incarnation =
	    get_fence_incarnation(worker, &worker->candidate.report);
	struct renewal renewal = mst_candidate_handle_answer(agent, answer);

	if (answer->status == MST_ORDER_DONE)
		handle_renew_success(agent, answer, renewal.fence);
	else if (answer->status == MST_ORDER_DOWN)
		mst_worker_handle_down(agent, answer);
	if (answer->status != MST_ORDER_FENCED)
		return;
	mst_worker_handle_fenced(agent, answer->sent_us, fence_incarnation);
	worker->next_renew_us = agent->now_us;
}

static void
handle_renewal_answer(struct mst_agent *agent,
    const struct mst_order_answer *answer, struct renewal *renewal)
{
	struct worker *worker = &agent->worker;

	renewal->id = 0;
	switch (answer->status) {
	case MST_ORDER_DONE:
		mst_identity_handle_done(agent, answer, renewal->named_id);
		handle_renew_success(agent, answer, renewal->fence);
		break;
	case MST_ORDER_FENCED:
		mst_worker_handle_fenced(
		    agent, answer->sent_us, worker->incarnation);
		worker->next_renew_us = agent->now_us;
		break;
	case MST_ORDER_DOWN:
		mst_worker_handle_down(agent, answer);
		handle_renew_failure(agent, answer->status);
		break;
	case MST_ORDER_OTHER_INCARNATION:
		mst_identity_handle_refusal(agent, answer);
		break;
	default:
		handle_renew_failure(agent, answer->status);
		break;
	}
}

void
mst_worker_handle_renew_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;
	struct renewal *renewal = mst_worker_find_renewal(worker, answer->id);

	if (worker->candidate.renewal.id == answer->id)
		handle_candidate_answer(agent, answer);
	else if (renewal != NULL)
		handle_renewal_answer(agent, answer, renewal);
}

void
mst_worker_drop_renewal(struct mst_agent *agent, uint64_t id)
{
	struct worker *worker = &agent->worker;
	struct renewal *renewal = mst_worker_find_renewal(worker, id);

	if (worker->candidate.renewal.id == id)
		worker->candidate.renewal.id = 0;
	else if (renewal != NULL)
		renewal->id = 0;
}
