/*
 * A leased agent's dealings with its worker. The agent is the only one that
 * gives it orders; a run counts as ended only when the worker's lists, its
 * death or its lease say so.
 */

#include "core/worker_internal.h"

#define WORKER_FLAKY_US      (3 * G_USEC_PER_SEC)
#define WORKER_CLOCK_BACK_MS 500

static const char *const status_names[] = {[MST_ORDER_DONE] = "done",
    [MST_ORDER_NO_ANSWER] = "no-answer",
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

bool
mst_worker_ready(const struct mst_agent *agent)
{
	const struct worker *worker = &agent->worker;

	return worker->known && worker->synced && !worker->draining &&
	    !worker->lease_expiring &&
	    worker->renew_failures < WORKER_RENEW_FAILURES_MAX;
}

void
mst_worker_emit_state(struct mst_agent *agent, const char *state)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_WORKER);

	effect->state = state;
}

/* Another life of the worker: it runs nothing of before, but it may have been
 * given work since; its first list tells. */
static void
worker_reborn(struct mst_agent *agent, uint64_t life)
{
	struct worker *worker = &agent->worker;

	worker->incarnation = life;
	g_clear_pointer(&worker->id, g_free);
	worker->synced = false;
	worker->fence = 0;
	worker->completions_read = 0;
	mst_completions_drop(worker);
	worker->lease_expiring = false;
	worker->clock_ms = 0;
	worker->next_renew_us = agent->now_us;
	mst_worker_emit_state(agent, "restarted");
}

/* True when a worker's clock has gone back by more than an answer may have been
 * held up: it started anew, before it told so. */
static bool
clock_started_anew(
    const struct mst_agent *agent, const struct mst_order_answer *answer)
{
	return answer->clock_ms > 0 && agent->worker.clock_ms > 0 &&
	    answer->clock_ms + WORKER_CLOCK_BACK_MS <
	    mst_worker_clock_ms(agent);
}

/* Takes note of the life that an answer or report is from; false when it is
 * from an earlier one. */
static bool
worker_check_life(struct mst_agent *agent, uint64_t life)
{
	struct worker *worker = &agent->worker;

	if (life == 0 || life == worker->incarnation)
		return true;
	if (life < worker->incarnation)
		return false;
	if (worker->incarnation == 0)
		worker->incarnation = life;
	else
		worker_reborn(agent, life);
	return true;
}

void
mst_worker_on_down(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (worker->synced)
		mst_worker_emit_state(agent, "down");
	mst_worker_fail_runs(agent);
	worker->synced = false;
	worker->fence = 0;
}

/* Takes over a text that entries are told when it changes. */
static void
describe(struct mst_agent *agent, char **text, struct mst_bytes told)
{
	if (*text != NULL && mst_bytes_equal_str(told, *text))
		return;
	g_free(*text);
	*text = mst_bytes_to_str(told);
	agent->description_version++;
}

void
mst_worker_report(
    struct mst_agent *agent, const struct mst_worker_report *report)
{
	struct worker *worker = &agent->worker;
	bool same;

	if (!worker_check_life(agent, report->incarnation))
		return;
	same =
	    worker->id != NULL && mst_bytes_equal_str(report->id, worker->id);
	if (worker->id != NULL && !same && report->incarnation == 0)
		worker_reborn(agent, 0);
	if (same && report->incarnation == worker->incarnation &&
	    report->seq < worker->report_seq)
		return;
	worker->report_seq = report->seq;
	if (report->gone) {
		worker->draining = true;
		return;
	}
	if (!same) {
		g_free(worker->id);
		worker->id = mst_bytes_to_str(report->id);
	}
	if (!worker->known || worker->draining != report->draining)
		mst_worker_emit_state(
		    agent, report->draining ? "draining" : "ready");
	describe(agent, &worker->service, report->service);
	describe(agent, &agent->rack, report->rack);
	describe(agent, &worker->labels, report->labels);
	agent->options.resources = report->capacity;
	worker->draining = report->draining;
	if (!worker->known)
		agent->next_heartbeat_us = agent->now_us;
	worker->known = true;
	if (worker->draining)
		mst_agent_refuse_queued(agent, NULL, MST_REASON_DRAINING);
}

void
mst_worker_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	uint64_t *place;
	struct run *run;

	agent->counters.orders[answer->status]++;
	if (answer->status == MST_ORDER_NO_ANSWER)
		agent->worker.unreliable_until_us =
		    agent->now_us + WORKER_FLAKY_US;
	if (!worker_check_life(agent, answer->incarnation)) {
		place = mst_worker_renew_find(&agent->worker, answer->id);
		if (answer->kind == MST_ORDER_RENEW && place != NULL)
			*place = 0;
		return;
	}
	if (clock_started_anew(agent, answer))
		worker_reborn(agent, agent->worker.incarnation);
	mst_worker_learn_clock(agent, answer->clock_ms);
	if (answer->kind == MST_ORDER_RENEW) {
		mst_worker_renew_answer(agent, answer);
		return;
	}
	run = g_hash_table_lookup(agent->active, mst_key(answer->id));
	if (run == NULL)
		return;
	if (answer->kind == MST_ORDER_START &&
	    run->order_state == ORDER_STARTING)
		mst_worker_start_answer(agent, run, answer);
	else if (answer->kind == MST_ORDER_STOP &&
	    run->order_state == ORDER_STOPPING)
		mst_worker_stop_answer(agent, run, answer);
}

void
mst_worker_tick(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;
	uint64_t *place;

	if (agent->now_us > worker->lease_end_us) {
		if (agent->running > 0)
			mst_worker_fail_runs(agent);
		if (worker->lease_expiring ||
		    worker->unacked_completions.length > 0)
			mst_completions_lapsed(agent);
	}
	mst_completions_tick(agent);
	if (agent->now_us < worker->next_renew_us)
		return;
	place = mst_worker_renew_free_slot(agent);
	if (place != NULL)
		mst_worker_renew(agent, place);
}
