/*
 * A leased agent's dealings with its worker. The agent is the only one that
 * gives it orders. An order without an answer may be carried out later, so a
 * start is repeated under its number, which the worker takes once, and a run
 * counts as ended only when the worker's lists, its death or its lease say so.
 */

#include "core/agent_internal.h"

#include <string.h>

#define WORKER_ORDER_TIMEOUT_MS 50
#define WORKER_HOLD_SLACK_MS    50 /* an answer may take longer than asked */
#define WORKER_HOLD_FAILURES    4  /* in a row: the worker is lost */
#define WORKER_FLAKY_US         (3 * G_USEC_PER_SEC)
#define WORKER_FLAKY_WAIT_US    (40 * 1000)
#define WORKER_START_TRIES      6
#define WORKER_HOLD_RETRY_US    (20 * 1000)
#define WORKER_UNKNOWN_MAX      64   /* stopped at once after one list */
#define WORKER_DRIFT            0.04 /* clocks are up to 2 % apart */
#define WORKER_LAPSE_SLACK_US   (30 * 1000)
#define WORKER_TASK_MILLICORES  2000.0 /* of a task, before any was seen */
#define WORKER_SIZE_WINDOW      64     /* tasks that the usual size is of */
#define WORKER_SLOTS_MAX        4096
#define WORKER_SPEED_WINDOW     12 /* runs; it may turn slow within a second */
#define WORKER_SPEED_SAMPLES    3
#define WORKER_SPEED_LEAK       0.002
#define WORKER_LAG              1.5
#define WORKER_LAG_RUNS         3

static const char *const status_names[] = {[MST_ORDER_DONE] = "done",
    [MST_ORDER_NO_ANSWER] = "no-answer",
    [MST_ORDER_DOWN] = "down",
    [MST_ORDER_FENCED] = "fenced",
    [MST_ORDER_OLD_RUN] = "old-run",
    [MST_ORDER_LAPSED] = "lapsed",
    [MST_ORDER_NO_ROOM] = "no-room",
    [MST_ORDER_UNHEALTHY] = "unhealthy",
    [MST_ORDER_OTHER_LIFE] = "other-life",
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
	    worker->hold_failures < WORKER_HOLD_FAILURES;
}

bool
mst_worker_has_room(
    const struct mst_agent *agent, const struct mst_resources *needs)
{
	const struct mst_resources *all = &agent->options.resources;
	const struct mst_resources *used = &agent->worker.used;

	return used->millicores + needs->millicores <= all->millicores &&
	    used->memory_mb + needs->memory_mb <= all->memory_mb &&
	    used->accelerators + needs->accelerators <= all->accelerators;
}

static uint32_t
slots_of(const struct mst_agent *agent, uint32_t millicores)
{
	double size = agent->task_millicores > 0 ? agent->task_millicores
						 : WORKER_TASK_MILLICORES;

	return (uint32_t)MIN(millicores / size, WORKER_SLOTS_MAX);
}

uint32_t
mst_worker_slots(const struct mst_agent *agent)
{
	return slots_of(agent, agent->options.resources.millicores);
}

uint32_t
mst_worker_free_slots(const struct mst_agent *agent)
{
	uint32_t all = agent->options.resources.millicores;
	uint32_t used = agent->worker.used.millicores;
	uint32_t free_slots;

	if (!mst_worker_ready(agent) || used >= all)
		return 0;
	free_slots = slots_of(agent, all - used);
	return free_slots > agent->queue.length
	    ? free_slots - agent->queue.length
	    : 0;
}

/* Time that the present runs have taken over what was expected of them: near
 * one half on a worker that is as fast as it was. */
static double
worker_lag(const struct mst_agent *agent)
{
	double elapsed_us = 0, expected_us = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;

		elapsed_us += (double)(agent->now_us - run->started_us);
		expected_us += run->task.work_us;
	}
	return expected_us > 0 ? elapsed_us / expected_us : 0;
}

uint32_t
mst_worker_slowness_milli(const struct mst_agent *agent)
{
	const struct mst_speed *speed = &agent->worker.speed;
	double slowness = mst_speed_ratio(speed);
	double lag = worker_lag(agent);

	/* Runs that are late tell of a slow worker before they end. */
	if (agent->running >= WORKER_LAG_RUNS && lag > slowness * WORKER_LAG)
		slowness = lag;
	else if (speed->samples < WORKER_SPEED_SAMPLES)
		return 0;
	return (uint32_t)CLAMP(slowness * 1000, 1, UINT32_MAX);
}

static void
resources_change(
    struct mst_resources *used, const struct mst_resources *needs, int sign)
{
	used->millicores += (uint32_t)sign * needs->millicores;
	used->memory_mb += (uint32_t)sign * needs->memory_mb;
	used->accelerators += (uint32_t)sign * needs->accelerators;
}

static int64_t
worker_clock_ms(const struct mst_agent *agent)
{
	return agent->worker.clock_ms +
	    (agent->now_us - agent->worker.clock_us) / 1000;
}

/* A told clock is behind by the answer's delay, so the greater of it and the
 * expected one is kept, less what the clocks may have drifted apart. */
static void
worker_learn_clock(struct mst_agent *agent, int64_t clock_ms)
{
	struct worker *worker = &agent->worker;
	double elapsed_ms = (double)(agent->now_us - worker->clock_us) / 1000;
	int64_t expected_ms =
	    worker_clock_ms(agent) - (int64_t)(elapsed_ms * WORKER_DRIFT);

	if (clock_ms <= 0)
		return;
	worker->clock_ms =
	    worker->clock_ms > 0 ? MAX(clock_ms, expected_ms) : clock_ms;
	worker->clock_us = agent->now_us;
}

/* Gives orders a fence above those of this agent's earlier lives, without a
 * store: the worker's time rises as long as it remembers any. Counted from the
 * start of its life it also rises over its lives, so that an order that was
 * held up since an earlier one is refused. */
static void
worker_raise_fence(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	worker->fence = MAX(worker->fence + 1,
	    worker->life + (uint64_t)MAX(worker_clock_ms(agent), 1));
}

static struct mst_order *
order_emit(struct mst_agent *agent, enum mst_order_kind kind, uint64_t id)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_ORDER);

	effect->order = (struct mst_order){.kind = kind,
	    .id = id,
	    .fence = agent->worker.fence,
	    .timeout_ms = WORKER_ORDER_TIMEOUT_MS};
	return &effect->order;
}

/* Names the lease's new end in an order. */
static void
order_renews(struct mst_agent *agent, struct mst_order *order)
{
	struct worker *worker = &agent->worker;
	int64_t lease_us = agent->options.run_lease_us;
	int64_t lapse_us = agent->now_us +
	    (int64_t)((double)lease_us * (1 + WORKER_DRIFT)) +
	    WORKER_LAPSE_SLACK_US;

	order->until_ms = worker_clock_ms(agent) + lease_us / 1000;
	worker->lapse_us = MAX(worker->lapse_us, lapse_us);
}

static void
order_names_run(struct mst_order *order, const struct run *run)
{
	order->task = run->task.path;
	order->run = run->number;
}

static void
start_send(struct mst_agent *agent, struct run *run)
{
	struct mst_order *order =
	    order_emit(agent, MST_ORDER_START, run->handle);

	run->order_state = ORDER_STARTING;
	run->order_us = agent->now_us;
	run->order_tries++;
	order_names_run(order, run);
	order->spec = run->task.body;
	order->worker = mst_bytes_of(agent->worker.id);
	order_renews(agent, order);
}

static void
stop_send(struct mst_agent *agent, struct run *run)
{
	struct mst_order *order =
	    order_emit(agent, MST_ORDER_STOP, run->handle);

	run->order_state = ORDER_STOPPING;
	run->order_us = agent->now_us;
	order_names_run(order, run);
}

void
mst_worker_start(struct mst_agent *agent, struct run *run)
{
	const struct mst_resources *needs = &run->task.needs;

	resources_change(&agent->worker.used, needs, 1);
	if (agent->task_millicores == 0)
		agent->task_millicores = needs->millicores;
	agent->task_millicores +=
	    (needs->millicores - agent->task_millicores) / WORKER_SIZE_WINDOW;
	run->number = MAX(run->task.run, 1);
	start_send(agent, run);
}

void
mst_worker_stop(
    struct mst_agent *agent, struct run *run, enum mst_reason reason)
{
	if (run->order_state >= ORDER_STOPPING)
		return;
	run->stop_reason = reason;
	stop_send(agent, run);
}

static void
run_over(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result)
{
	resources_change(&agent->worker.used, &run->task.needs, -1);
	mst_run_ended(agent, run, result);
}

static void
run_lost(struct mst_agent *agent, struct run *run, enum mst_reason reason)
{
	struct mst_result_item result = {
	    .outcome = MST_OUTCOME_UNKNOWN, .reason = (uint8_t)reason};

	if (run->stop_reason != MST_REASON_NONE)
		result.reason = (uint8_t)run->stop_reason;
	else
		agent->counters.runs_lost++;
	run_over(agent, run, &result);
}

static void
run_not_started(
    struct mst_agent *agent, struct run *run, enum mst_reason reason)
{
	struct mst_result_item result = {
	    .outcome = MST_OUTCOME_NOT_RUN, .reason = (uint8_t)reason};

	/* An earlier copy of the order may have been carried out. */
	if (run->unanswered)
		mst_worker_stop(agent, run, reason);
	else
		run_over(agent, run, &result);
}

/* The runs at this moment; the caller frees the list. */
static GList *
active_runs(const struct mst_agent *agent)
{
	return g_hash_table_get_values(agent->active);
}

/* Ends the runs of a worker that runs nothing any more. An order to start that
 * has no answer yet, or never got one, may still reach its next life: such a
 * run ends only when that has been told to stop it. */
static void
lose_all_runs(struct mst_agent *agent)
{
	GList *runs = active_runs(agent);
	GList *link;

	for (link = runs; link != NULL; link = link->next) {
		struct run *run = link->data;

		if (run->order_state == ORDER_STARTING)
			continue;
		if (run->unanswered)
			mst_worker_stop(agent, run, MST_REASON_RUN_LOST);
		else
			run_lost(agent, run, MST_REASON_RUN_LOST);
	}
	g_list_free(runs);
}

static void
worker_tell(struct mst_agent *agent, const char *state)
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

	worker->life = life;
	g_clear_pointer(&worker->id, g_free);
	worker->synced = false;
	worker->fence = 0;
	worker->ends_seen = 0;
	worker->clock_ms = 0;
	worker->hold_due_us = agent->now_us;
	worker_tell(agent, "restarted");
}

/* Takes note of the life that an answer or report is from; false when it is
 * from an earlier one. */
static bool
worker_check_life(struct mst_agent *agent, uint64_t life)
{
	struct worker *worker = &agent->worker;

	if (life == 0 || life == worker->life)
		return true;
	if (life < worker->life)
		return false;
	if (worker->life == 0)
		worker->life = life;
	else
		worker_reborn(agent, life);
	return true;
}

static void
worker_gone(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (worker->synced)
		worker_tell(agent, "down");
	lose_all_runs(agent);
	worker->synced = false;
	worker->fence = 0;
}

/* Takes over a text that entries are told when it changes. */
static void
describe(struct mst_agent *agent, char **text, struct mst_bytes told)
{
	if (*text != NULL && strlen(*text) == told.len &&
	    memcmp(*text, told.data, told.len) == 0)
		return;
	g_free(*text);
	*text = mst_bytes_string(told);
	agent->description++;
}

void
mst_worker_report(
    struct mst_agent *agent, const struct mst_worker_report *report)
{
	struct worker *worker = &agent->worker;
	bool same;

	if (!worker_check_life(agent, report->life))
		return;
	same = worker->id != NULL && report->id.len == strlen(worker->id) &&
	    memcmp(worker->id, report->id.data, report->id.len) == 0;
	if (worker->id != NULL && !same && report->life == 0)
		worker_reborn(agent, 0);
	if (same && report->life == worker->life &&
	    report->seq < worker->report_seq)
		return;
	worker->report_seq = report->seq;
	if (report->gone) {
		worker->draining = true;
		return;
	}
	if (!same) {
		g_free(worker->id);
		worker->id = mst_bytes_string(report->id);
	}
	if (!worker->known || worker->draining != report->draining)
		worker_tell(agent, report->draining ? "draining" : "ready");
	describe(agent, &worker->service, report->service);
	describe(agent, &agent->rack, report->rack);
	agent->options.resources = report->capacity;
	worker->draining = report->draining;
	if (!worker->known)
		agent->next_heartbeat_us = agent->now_us;
	worker->known = true;
	if (worker->draining)
		mst_agent_refuse_queued(agent, NULL, MST_REASON_DRAINING);
}

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
worker_learn_speed(struct mst_agent *agent, const struct run *run)
{
	struct mst_speed *speed = &agent->worker.speed;

	if (run->task.work_us == 0)
		return;
	mst_speed_learn(speed, (double)(agent->now_us - run->started_us),
	    run->task.work_us, WORKER_SPEED_WINDOW);
	/* Keeps the usual worker at one, as entries measure against it. */
	speed->log_ratio *= 1 - WORKER_SPEED_LEAK;
}

static void
take_end(struct mst_agent *agent, const struct mst_worker_end *end)
{
	struct run *run = run_by_name(agent, end->task, end->run);
	struct mst_result_item result = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};

	agent->worker.ends_seen = end->seq;
	if (run == NULL)
		return;
	switch (end->how) {
	case MST_RUN_DONE:
		worker_learn_speed(agent, run);
		run_over(agent, run, &result);
		break;
	case MST_RUN_FAILED:
		result.status = 500;
		result.reason = MST_REASON_RUN_FAILED;
		run_over(agent, run, &result);
		break;
	case MST_RUN_STOPPED:
	case MST_RUN_LAPSED:
	case MST_RUN_BROKEN:
		run_lost(agent, run, MST_REASON_RUN_LOST);
		break;
	}
}

static void
stop_unknown(struct mst_agent *agent, const struct mst_worker_run *listed)
{
	struct mst_order *order = order_emit(agent, MST_ORDER_STOP, 0);

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
			run_lost(agent, run, MST_REASON_RUN_LOST);
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

	for (i = 0; i < answer->ended_count; i++) {
		if (answer->ended[i].seq > agent->worker.ends_seen)
			take_end(agent, &answer->ended[i]);
	}
	unlisted = active_runs(agent);
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
			stop_send(agent, run);
		}
	}
	lose_unlisted(agent, answer, unlisted);
	g_list_free(unlisted);
	return unknown;
}

static bool
worker_is_flaky(const struct mst_agent *agent)
{
	return agent->now_us < agent->worker.flaky_until_us;
}

static uint64_t *
hold_find(struct worker *worker, uint64_t id)
{
	size_t i;

	for (i = 0; i < WORKER_HOLDS; i++) {
		if (worker->holds[i] == id)
			return &worker->holds[i];
	}
	return NULL;
}

/* A place for one more HOLD, or NULL. While answers get lost, a second one
 * learns of ends that the first may never tell. */
static uint64_t *
hold_place(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;

	if (worker->synced && worker_is_flaky(agent))
		return hold_find(worker, 0);
	return worker->holds[0] == 0 && worker->holds[1] == 0
	    ? &worker->holds[0]
	    : NULL;
}

static void
hold_send(struct mst_agent *agent, uint64_t *place)
{
	struct worker *worker = &agent->worker;
	int64_t wait_us = worker_is_flaky(agent) ? WORKER_FLAKY_WAIT_US
						 : agent->options.renew_us;
	struct mst_order *order;

	/* What has no lease any more must not get a new one. */
	mst_agent_check_leases(agent);
	*place = ++agent->next_handle;
	order = order_emit(agent, MST_ORDER_HOLD, *place);
	order->ends_seen = worker->ends_seen;
	if (worker->synced && worker->hold_failures == 0)
		order->wait_ms = (uint32_t)(wait_us / 1000);
	order->timeout_ms = order->wait_ms + WORKER_HOLD_SLACK_MS;
	/* What an earlier life of this agent has left is not renewed. */
	if (worker->synced)
		order_renews(agent, order);
	worker->hold_due_us = agent->now_us + wait_us;
}

static void
hold_failed(struct mst_agent *agent, enum mst_order_status status)
{
	struct worker *worker = &agent->worker;

	if (++worker->hold_failures == WORKER_HOLD_FAILURES && worker->synced)
		worker_tell(agent, mst_order_status_name(status));
	worker->hold_due_us = agent->now_us;
	if (worker->hold_failures > 1)
		worker->hold_due_us += WORKER_HOLD_RETRY_US;
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
			stop_send(agent, run);
	}
}

static void
hold_done(struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;
	bool lost = worker->hold_failures >= WORKER_HOLD_FAILURES;
	uint32_t unknown;

	worker->hold_due_us = agent->now_us;
	/* The other one tells of the next end. */
	if (worker->holds[0] != 0 || worker->holds[1] != 0)
		worker->hold_due_us += WORKER_FLAKY_WAIT_US / 2;
	if (worker->fence == 0) {
		worker_raise_fence(agent);
		return;
	}
	unknown = take_lists(agent, answer);
	send_due_stops(agent);
	worker->hold_failures = 0;
	/* Entries may have what an earlier life of this agent has started tried
	 * elsewhere as soon as they hear of this one. */
	if (!worker->synced && unknown > 0) {
		worker->hold_due_us = agent->now_us + WORKER_HOLD_RETRY_US;
		return;
	}
	if (!worker->synced || lost)
		worker_tell(agent, "answers");
	/* The entries hear at once of a worker that is there again. */
	if (!worker->synced)
		agent->next_heartbeat_us = agent->now_us;
	worker->synced = true;
}

static void
hold_answer(struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;
	uint64_t *place = hold_find(worker, answer->id);

	if (place == NULL)
		return;
	*place = 0;
	switch (answer->status) {
	case MST_ORDER_DONE:
		hold_done(agent, answer);
		break;
	case MST_ORDER_FENCED:
		worker_raise_fence(agent);
		worker->hold_due_us = agent->now_us;
		break;
	case MST_ORDER_DOWN:
		worker_gone(agent);
		hold_failed(agent, answer->status);
		break;
	default:
		hold_failed(agent, answer->status);
		break;
	}
}

static void
start_repeat(struct mst_agent *agent, struct run *run)
{
	if (run->order_tries < WORKER_START_TRIES)
		start_send(agent, run);
	else
		mst_worker_stop(agent, run, MST_REASON_UPSTREAM_TIMEOUT);
}

static void
start_answer(struct mst_agent *agent, struct run *run,
    const struct mst_order_answer *answer)
{
	switch (answer->status) {
	case MST_ORDER_DONE:
		run->order_state = ORDER_STARTED;
		run->confirmed_us = agent->now_us;
		break;
	case MST_ORDER_OLD_RUN:
		if (run->unanswered) {
			/* An earlier copy took the number; the lists tell
			 * what became of it. */
			run->order_state = ORDER_STARTED;
			run->confirmed_us = agent->now_us;
		} else {
			run->number++;
			start_repeat(agent, run);
		}
		break;
	case MST_ORDER_NO_ANSWER:
		run->unanswered = true;
		start_repeat(agent, run);
		break;
	case MST_ORDER_FENCED:
		worker_raise_fence(agent);
		start_repeat(agent, run);
		break;
	case MST_ORDER_LAPSED:
		start_repeat(agent, run);
		break;
	case MST_ORDER_DOWN:
		run_not_started(agent, run, MST_REASON_UPSTREAM_DOWN);
		worker_gone(agent);
		break;
	case MST_ORDER_NO_ROOM:
		run_not_started(agent, run, MST_REASON_BUSY);
		break;
	case MST_ORDER_UNHEALTHY:
	case MST_ORDER_OTHER_LIFE:
		run_not_started(agent, run, MST_REASON_UPSTREAM_DOWN);
		break;
	case MST_ORDER_INVALID:
		run_lost(agent, run, MST_REASON_UPSTREAM_RESET);
		break;
	}
}

static void
stop_answer(struct mst_agent *agent, struct run *run,
    const struct mst_order_answer *answer)
{
	if (answer->status == MST_ORDER_FENCED)
		worker_raise_fence(agent);
	if (answer->status == MST_ORDER_NO_ANSWER ||
	    answer->status == MST_ORDER_FENCED) {
		stop_send(agent, run);
		return;
	}
	if (answer->status == MST_ORDER_DOWN) {
		run->order_state = ORDER_STOP_DUE;
		return;
	}
	run->order_state = ORDER_STOPPED;
	run->confirmed_us = agent->now_us;
	/* Where nothing was started, no list will ever name it. */
	agent->worker.hold_due_us = agent->now_us;
}

void
mst_worker_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	uint64_t *place;
	struct run *run;

	agent->counters.orders[answer->status]++;
	if (answer->status == MST_ORDER_NO_ANSWER)
		agent->worker.flaky_until_us = agent->now_us + WORKER_FLAKY_US;
	if (!worker_check_life(agent, answer->life)) {
		place = hold_find(&agent->worker, answer->id);
		if (answer->kind == MST_ORDER_HOLD && place != NULL)
			*place = 0;
		return;
	}
	worker_learn_clock(agent, answer->clock_ms);
	if (answer->kind == MST_ORDER_HOLD) {
		hold_answer(agent, answer);
		return;
	}
	run = g_hash_table_lookup(agent->active, mst_key(answer->id));
	if (run == NULL)
		return;
	if (answer->kind == MST_ORDER_START &&
	    run->order_state == ORDER_STARTING)
		start_answer(agent, run, answer);
	else if (answer->kind == MST_ORDER_STOP &&
	    run->order_state == ORDER_STOPPING)
		stop_answer(agent, run, answer);
}

void
mst_worker_tick(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;
	uint64_t *place;

	if (agent->running > 0 && agent->now_us > worker->lapse_us)
		lose_all_runs(agent);
	if (agent->now_us < worker->hold_due_us)
		return;
	place = hold_place(agent);
	if (place != NULL)
		hold_send(agent, place);
}
