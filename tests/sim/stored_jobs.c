/*
 * Stored jobs of a simulation: access to the store with injected faults, and
 * checks of the invariants on the runs of stored tasks.
 */

#include "sim/sim_internal.h"

#include <inttypes.h>
#include <string.h>

#define STORE_LATENCY_US (4 * 1000)   /* round trip */
#define STORE_TIMEOUT_US (600 * 1000) /* until a lost answer is reported */

/* A late write is delayed by the minimum plus a random part of the spread. */
#define STORE_DELAY_MIN_US    (1 * G_USEC_PER_SEC)
#define STORE_DELAY_SPREAD_US (5 * G_USEC_PER_SEC)

#define FAILURES_MAX 64 /* acknowledged failures recorded per task */

/* Runs of one stored task. */
struct task_history {
	int64_t last_start_us;
	bool done_acked; /* a successful completion is acknowledged */
	unsigned failures_acked;
	int64_t failure_ends_us[FAILURES_MAX]; /* when the failed runs ended */
};

static struct task_history *
get_task_history(struct sim *sim, const char *task)
{
	struct task_history *history =
	    g_hash_table_lookup(sim->task_histories, task);

	if (history == NULL) {
		history = g_new0(struct task_history, 1);
		g_hash_table_insert(
		    sim->task_histories, g_strdup(task), history);
	}
	return history;
}

static void
report_violation(struct sim *sim, const char *task, const char *description)
{
	sim_log(sim, "VIOLATION: %s %s", task, description);
	if (sim->violation == NULL)
		sim->violation = g_strdup_printf("%s %s", task, description);
}

/* Reports a violation if the last start came after max_attempts failed runs. */
static void
check_attempt_limit(
    struct sim *sim, const char *task, const struct task_history *history)
{
	unsigned earlier_failures = 0, i;

	for (i = 0; i < history->failures_acked; i++)
		earlier_failures +=
		    history->failure_ends_us[i] < history->last_start_us;
	if (sim->options.max_attempts > 0 &&
	    earlier_failures >= sim->options.max_attempts)
		report_violation(sim, task,
		    "was started after its last allowed attempt failed");
}

void
sim_task_started(struct sim *sim, const char *task)
{
	struct task_history *history = get_task_history(sim, task);

	if (history->done_acked)
		report_violation(sim, task,
		    "was started after its completion was acknowledged");
	history->last_start_us = sim->now_us;
	check_attempt_limit(sim, task, history);
}

void
sim_completion_acked(
    struct sim *sim, const char *task, bool done, int64_t ended_us)
{
	struct task_history *history = get_task_history(sim, task);

	sim_log(sim, "completion of %s acknowledged: %s", task,
	    done ? "done" : "failed");
	if (!done) {
		g_assert_cmpuint(history->failures_acked, <, FAILURES_MAX);
		history->failure_ends_us[history->failures_acked++] = ended_us;
		check_attempt_limit(sim, task, history);
		return;
	}
	history->done_acked = true;
	if (history->last_start_us > ended_us)
		report_violation(sim, task,
		    "was started after a successful run acknowledged later");
}

const char *
sim_violation(const struct sim *sim)
{
	return sim->violation;
}

static bool
draw_fault(struct sim *sim, double probability)
{
	return probability > 0 && g_rand_double(sim->rand) < probability;
}

static bool
is_write(enum mst_store_op_kind kind)
{
	return kind != MST_STORE_GET_RECORD && kind != MST_STORE_GET_JOB &&
	    kind != MST_STORE_SCAN && kind != MST_STORE_OWNERS;
}

void
sim_send_store_op(struct sim *sim, int node_id, const struct mst_store_op *op)
{
	struct sim_event *event;
	int64_t delay_us = STORE_LATENCY_US / 2;
	bool disconnected = sim->nodes[node_id].store_cut;
	bool delayed =
	    is_write(op->kind) && draw_fault(sim, sim->store_late_probability);

	if (delayed)
		delay_us += STORE_DELAY_MIN_US +
		    (int64_t)(g_rand_double(sim->rand) * STORE_DELAY_SPREAD_US);
	event = sim_schedule(sim, node_id,
	    disconnected ? SIM_EVENT_STORE_ANSWER : SIM_EVENT_STORE_OP,
	    sim->now_us + (disconnected ? STORE_TIMEOUT_US : delay_us));
	event->store_request = sim_store_request_new(op);
	event->answer_lost = disconnected || delayed ||
	    (is_write(op->kind) &&
		draw_fault(sim, sim->store_loss_probability));
	event->caller_timed_out = delayed;
	if (delayed) {
		event = sim_schedule(sim, node_id, SIM_EVENT_STORE_ANSWER,
		    sim->now_us + STORE_TIMEOUT_US);
		event->store_request = sim_store_request_new(op);
		event->answer_lost = true;
	}
}

static void
notify_cancelled(struct sim *sim, int node_id, const char *key)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_STORED_CANCELLED, .key = key};

	sim_step_entry(sim, node_id, &event);
}

/*
 * Notifies all running entries of a cancellation. Entries that are paused or
 * cut off from the store are notified once they are reachable.
 */
static void
broadcast_cancelled(struct sim *sim, const char *key)
{
	int node_id;

	for (node_id = 0; node_id < sim->node_count; node_id++) {
		struct node *node = &sim->nodes[node_id];

		if (node->kind != SIM_ENTRY || !node->alive)
			continue;
		if (node->store_cut || node->paused)
			g_ptr_array_add(node->missed_cancels, g_strdup(key));
		else
			notify_cancelled(sim, node_id, key);
	}
}

void
sim_deliver_missed_cancels(struct sim *sim, int node_id)
{
	struct node *node = &sim->nodes[node_id];
	guint i;

	if (node->store_cut || node->paused)
		return;
	for (i = 0; i < node->missed_cancels->len; i++)
		notify_cancelled(sim, node_id, node->missed_cancels->pdata[i]);
	g_ptr_array_set_size(node->missed_cancels, 0);
}

void
sim_handle_store_op(struct sim *sim, struct sim_event *event)
{
	const struct mst_store_op *op =
	    sim_store_request_op(event->store_request);
	struct mst_store_answer answer;
	struct sim_event *reply;

	sim_store_perform(sim->store, event->store_request);
	answer = sim_store_request_answer(event->store_request, false);
	if (sim->options.verbose && is_write(op->kind) && op->key != NULL)
		sim_log(sim,
		    "store: %s writes %s over version %" PRIu64
		    ": state %s, owner %" PRIx64
		    ", term %u, update %u, tasks %s: %s",
		    sim->nodes[event->target_node_id].name, op->key,
		    op->expected, mst_record_state_name(op->record.state),
		    op->record.owner, op->record.term, op->record.update_seq,
		    op->record.tasks ? op->record.tasks : "-",
		    answer.status == MST_STORE_OK ? "done" : "conflict");
	if (op->kind == MST_STORE_CANCEL && answer.status == MST_STORE_OK)
		broadcast_cancelled(sim, op->key);
	if (event->caller_timed_out)
		return;
	reply = sim_schedule(sim, event->target_node_id, SIM_EVENT_STORE_ANSWER,
	    sim->now_us +
		(event->answer_lost ? STORE_TIMEOUT_US : STORE_LATENCY_US / 2));
	reply->node_start_number = event->node_start_number;
	reply->answer_lost = event->answer_lost;
	reply->store_request = g_steal_pointer(&event->store_request);
}

void
sim_handle_store_answer(struct sim *sim, struct sim_event *event)
{
	struct mst_store_answer answer =
	    sim_store_request_answer(event->store_request, event->answer_lost);
	struct mst_entry_event entry_event = {
	    .type = MST_ENTRY_EV_STORE_ANSWER, .answer = &answer};
	struct mst_agent_event agent_event = {
	    .type = MST_AGENT_EV_STORE_ANSWER, .store_answer = &answer};
	const struct mst_store_op *op =
	    sim_store_request_op(event->store_request);

	if (op->kind == MST_STORE_GET_JOB && answer.status == MST_STORE_OK)
		answer.spec =
		    sim->options.load_job_spec(sim->options.ctx, op->key);
	if (sim->nodes[event->target_node_id].kind == SIM_ENTRY)
		sim_step_entry(sim, event->target_node_id, &entry_event);
	else
		sim_step_agent(sim, event->target_node_id, &agent_event);
}

void
sim_set_store_faults(
    struct sim *sim, double loss_probability, double late_probability)
{
	sim->store_loss_probability = loss_probability;
	sim->store_late_probability = late_probability;
}

void
sim_set_store_cut(struct sim *sim, int node_id, bool cut)
{
	sim->nodes[node_id].store_cut = cut;
	sim_deliver_missed_cancels(sim, node_id);
}

int
sim_record_state(const struct sim *sim, const char *key)
{
	return sim_store_state(sim->store, key);
}

void
sim_request_set_state(struct sim *sim, const struct mst_entry_effect *effect)
{
	struct sim_request *request =
	    g_hash_table_lookup(sim->requests, (gpointer)effect->request);

	if (request == NULL || request->answered_us != 0)
		return;
	request->stored_state = effect->stored;
	sim_request_finish(sim, request);
}

static uint64_t
send_key_request(
    struct sim *sim, int entry, const char *key, enum mst_entry_event_type type)
{
	struct sim_request *request = sim_request_new(sim, entry);
	struct mst_entry_event event = {
	    .type = type, .request = request->id, .key = key};

	sim_step_entry(sim, entry, &event);
	return request->id;
}

uint64_t
sim_query_stored_job(struct sim *sim, int entry, const char *key)
{
	return send_key_request(sim, entry, key, MST_ENTRY_EV_QUERY_STORED);
}

uint64_t
sim_cancel_stored_job(struct sim *sim, int entry, const char *key)
{
	return send_key_request(sim, entry, key, MST_ENTRY_EV_CANCEL_STORED);
}
