/*
 * HOLD orders: they renew the lease of everything that runs and bring the lists
 * of what runs and what has ended.
 */

#include "core/worker_internal.h"

#include <string.h>

#define WORKER_HOLD_SLACK_MS 50 /* an answer may take longer than asked */
#define WORKER_FLAKY_WAIT_US (40 * 1000)
#define WORKER_HOLD_RETRY_US (20 * 1000)
#define WORKER_UNKNOWN_MAX   64 /* stopped at once after one list */

static struct run *
run_by_name(
    const struct mst_agent *agent, struct mst_bytes task, uint32_t number)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (run->number == number && run->task.path.len == task.len &&
		    memcmp(run->task.path.data, task.data, task.len) == 0)
			return run;
	}
	return NULL;
}

static void
take_end(struct mst_agent *agent, const struct mst_worker_completion *end)
{
	struct run *run = run_by_name(agent, end->task, end->run);
	struct mst_result_item result = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};
	bool counts =
	    end->status == MST_RUN_DONE || end->status == MST_RUN_FAILED;

	agent->worker.completions_read = end->seq;
	if (run == NULL) {
		if (counts && !agent->worker.synced)
			mst_completions_unknown(agent);
		return;
	}
	result.ack_after_record = counts &&
	    mst_completions_add(
		agent, run, end->seq, end->status == MST_RUN_FAILED);
	switch (end->status) {
	case MST_RUN_DONE:
		mst_worker_learn_speed(agent, run);
		mst_worker_complete_run(agent, run, &result);
		break;
	case MST_RUN_FAILED:
		result.status = 500;
		result.reason = MST_REASON_RUN_FAILED;
		mst_worker_complete_run(agent, run, &result);
		break;
	case MST_RUN_STOPPED:
	case MST_RUN_LAPSED:
	case MST_RUN_GANG_FAILED:
		mst_worker_run_lost(agent, run, MST_REASON_RUN_LOST);
		break;
	}
}

static void
stop_unknown(struct mst_agent *agent, const struct mst_worker_run *listed)
{
	struct mst_order *order =
	    mst_worker_emit_order(agent, MST_ORDER_STOP, 0);

	order->task = listed->task;
	order->run = listed->run;
	agent->counters.runs_unknown++;
}

/* A run that the worker confirmed before it was asked for its list, and that
 * the list doesn't have, has ended unseen. */
static void
lose_unlisted(
    struct mst_agent *agent, const struct mst_order_answer *answer, GList *runs)
{
	GList *link;

	for (link = runs; link != NULL; link = link->next) {
		struct run *run = link->data;

		if ((run->order_state == ORDER_STARTED ||
			run->order_state == ORDER_STOPPED) &&
		    run->confirmed_us < answer->sent_us)
			mst_worker_run_lost(agent, run, MST_REASON_RUN_LOST);
	}
}

/* Takes what the worker lists; returns how many runs there are not this
 * agent's. */
static uint32_t
take_lists(struct mst_agent *agent, const struct mst_order_answer *answer)
{
	GList *unlisted;
	uint32_t unknown = 0;
	uint32_t i;

	for (i = 0; i < answer->completion_count; i++) {
		if (answer->completions[i].seq > agent->worker.completions_read)
			take_end(agent, &answer->completions[i]);
	}
	unlisted = mst_worker_runs(agent);
	for (i = 0; i < answer->running_count; i++) {
		const struct mst_worker_run *listed = &answer->running[i];
		struct run *run = run_by_name(agent, listed->task, listed->run);

		if (run == NULL) {
			if (unknown++ < WORKER_UNKNOWN_MAX)
				stop_unknown(agent, listed);
			continue;
		}
		unlisted = g_list_remove(unlisted, run);
		if (run->order_state == ORDER_STARTING) {
			run->order_state = ORDER_STARTED;
			run->confirmed_us = agent->now_us;
		} else if (run->order_state == ORDER_STOPPED &&
		    run->confirmed_us < answer->sent_us) {
			/* A start that was held up came after the stop. */
			mst_worker_send_stop(agent, run);
		}
	}
	lose_unlisted(agent, answer, unlisted);
	g_list_free(unlisted);
	return unknown;
}

bool
mst_worker_is_unreliable(const struct mst_agent *agent)
{
	return agent->now_us < agent->worker.unreliable_until_us;
}

uint64_t *
mst_worker_renew_find(struct worker *worker, uint64_t id)
{
	size_t i;

	for (i = 0; i < WORKER_RENEWS_MAX; i++) {
		if (worker->renew_ids[i] == id)
			return &worker->renew_ids[i];
	}
	return NULL;
}

/* A place for one more HOLD, or NULL. While answers get lost, a second one
 * learns of ends that the first may never tell. */
uint64_t *
mst_worker_renew_free_slot(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (worker->synced && mst_worker_is_unreliable(agent))
		return mst_worker_renew_find(worker, 0);
	return worker->renew_ids[0] == 0 && worker->renew_ids[1] == 0
	    ? &worker->renew_ids[0]
	    : NULL;
}

void
mst_worker_renew(struct mst_agent *agent, uint64_t *place)
{
	struct worker *worker = &agent->worker;
	int64_t wait_us = mst_worker_is_unreliable(agent)
	    ? WORKER_FLAKY_WAIT_US
	    : agent->options.leases.renew_interval_us;
	struct mst_order *order;

	/* What has no lease any more must not get a new one. */
	mst_agent_check_leases(agent);
	*place = ++agent->next_handle;
	order = mst_worker_emit_order(agent, MST_ORDER_RENEW, *place);
	order->completions_acked =
	    worker->lease_expiring ? 0 : mst_completions_acked(worker);
	if (worker->synced && worker->renew_failures == 0)
		order->wait_ms = (uint32_t)(wait_us / 1000);
	order->timeout_ms = order->wait_ms + WORKER_HOLD_SLACK_MS;
	/* What an earlier life of this agent has left is not renewed. */
	if (worker->synced && !worker->lease_expiring)
		mst_worker_order_set_lease(agent, order);
	worker->next_renew_us = agent->now_us + wait_us;
}

static void
hold_failed(struct mst_agent *agent, enum mst_order_status status)
{
	struct worker *worker = &agent->worker;

	if (++worker->renew_failures == WORKER_RENEW_FAILURES_MAX &&
	    worker->synced)
		mst_worker_emit_state(agent, mst_order_status_name(status));
	worker->next_renew_us = agent->now_us;
	if (worker->renew_failures > 1)
		worker->next_renew_us += WORKER_HOLD_RETRY_US;
}

static void
send_due_stops(struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (run->order_state == ORDER_STOP_DUE)
			mst_worker_send_stop(agent, run);
	}
}

static void
hold_done(struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;
	bool lost = worker->renew_failures >= WORKER_RENEW_FAILURES_MAX;
	uint32_t unknown;

	worker->next_renew_us = agent->now_us;
	/* The other one tells of the next end. */
	if (worker->renew_ids[0] != 0 || worker->renew_ids[1] != 0)
		worker->next_renew_us += WORKER_FLAKY_WAIT_US / 2;
	if (worker->fence == 0) {
		mst_worker_raise_fence(agent);
		return;
	}
	unknown = take_lists(agent, answer);
	send_due_stops(agent);
	worker->renew_failures = 0;
	/* Entries may have what an earlier life of this agent has started tried
	 * elsewhere as soon as they hear of this one. */
	if (!worker->synced && unknown > 0) {
		worker->next_renew_us = agent->now_us + WORKER_HOLD_RETRY_US;
		return;
	}
	if (!worker->synced || lost)
		mst_worker_emit_state(agent, "answers");
	/* The entries hear at once of a worker that is there again. */
	if (!worker->synced)
		agent->next_heartbeat_us = agent->now_us;
	worker->synced = true;
}

void
mst_worker_renew_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;
	uint64_t *place = mst_worker_renew_find(worker, answer->id);

	if (place == NULL)
		return;
	*place = 0;
	switch (answer->status) {
	case MST_ORDER_DONE:
		hold_done(agent, answer);
		break;
	case MST_ORDER_FENCED:
		mst_worker_raise_fence(agent);
		worker->next_renew_us = agent->now_us;
		break;
	case MST_ORDER_DOWN:
		mst_worker_on_down(agent);
		hold_failed(agent, answer->status);
		break;
	default:
		hold_failed(agent, answer->status);
		break;
	}
}
