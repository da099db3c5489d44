/* Stored jobs of a sim: its store, and what their tasks' runs have broken. */

#include "sim/sim_internal.h"

#include <inttypes.h>
#include <string.h>

#define STORE_LATENCY_US  (4 * 1000)
#define STORE_TIMEOUT_US  (600 * 1000)
#define STORE_LATE_MIN_US (1 * G_USEC_PER_SEC)
#define STORE_LATE_US     (5 * G_USEC_PER_SEC)

#define FAILURES_MAX 64

/* What is known of one task's runs. */
struct history {
	int64_t last_start_us;
	bool done_noted;
	unsigned failures_noted;
	int64_t failures_us[FAILURES_MAX]; /* when these ended */
};

static struct history *
history_of(struct sim *sim, const char *task)
{
	struct history *history =
	    g_hash_table_lookup(sim->task_histories, task);

	if (history == NULL) {
		history = g_new0(struct history, 1);
		g_hash_table_insert(
		    sim->task_histories, g_strdup(task), history);
	}
	return history;
}

static void
violate(struct sim *sim, const char *task, const char *what)
{
	sim_log(sim, "VIOLATION: %s %s", task, what);
	if (sim->violation == NULL)
		sim->violation = g_strdup_printf("%s %s", task, what);
}

/* A start must not come after as many failures as are allowed. */
static void
check_failures(struct sim *sim, const char *task, const struct history *history)
{
	unsigned before = 0, i;

	for (i = 0; i < history->failures_noted; i++)
		before += history->failures_us[i] < history->last_start_us;
	if (sim->options.max_attempts > 0 &&
	    before >= sim->options.max_attempts)
		violate(sim, task, "is started after its last failure");
}

void
sim_task_started(struct sim *sim, const char *task)
{
	struct history *history = history_of(sim, task);

	if (history->done_noted)
		violate(sim, task, "starts after its end was noted");
	history->last_start_us = sim->now_us;
	check_failures(sim, task, history);
}

void
sim_completion_acked(
    struct sim *sim, const char *task, bool done, int64_t ended_us)
{
	struct history *history = history_of(sim, task);

	sim_log(sim, "%s %s is noted", task, done ? "done" : "failed");
	if (!done) {
		g_assert_cmpuint(history->failures_noted, <, FAILURES_MAX);
		history->failures_us[history->failures_noted++] = ended_us;
		check_failures(sim, task, history);
		return;
	}
	history->done_noted = true;
	if (history->last_start_us > ended_us)
		violate(sim, task, "was started after an end noted later");
}

const char *
sim_violation(const struct sim *sim)
{
	return sim->violation;
}

static bool
chance(struct sim *sim, double share)
{
	return share > 0 && g_rand_double(sim->rand) < share;
}

static bool
is_change(enum mst_store_op_kind kind)
{
	return kind != MST_STORE_GET_RECORD && kind != MST_STORE_GET_JOB &&
	    kind != MST_STORE_SCAN && kind != MST_STORE_OWNERS;
}

void
sim_send_store_op(struct sim *sim, int at, const struct mst_store_op *op)
{
	struct sim_event *h;
	int64_t after_us = STORE_LATENCY_US / 2;
	bool cut = sim->nodes[at].store_cut;
	bool late = is_change(op->kind) && chance(sim, sim->store_late_share);

	if (late)
		after_us += STORE_LATE_MIN_US +
		    (int64_t)(g_rand_double(sim->rand) * STORE_LATE_US);
	h = sim_schedule(sim, at,
	    cut ? SIM_EVENT_STORE_ANSWER : SIM_EVENT_STORE_OP,
	    sim->now_us + (cut ? STORE_TIMEOUT_US : after_us));
	h->store_request = sim_store_request_new(op);
	h->answer_lost = cut || late ||
	    (is_change(op->kind) && chance(sim, sim->store_loss_share));
	h->caller_timed_out = late;
	if (late) {
		h = sim_schedule(sim, at, SIM_EVENT_STORE_ANSWER,
		    sim->now_us + STORE_TIMEOUT_US);
		h->store_request = sim_store_request_new(op);
		h->answer_lost = true;
	}
}

static void
hear_cancelled(struct sim *sim, int at, const char *key)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CANCELLED, .key = key};

	sim_step_entry(sim, at, &event);
}

/* Tells the entries that watch of a cancellation, or those that can't now
 * later. */
static void
tell_cancelled(struct sim *sim, const char *key)
{
	int at;

	for (at = 0; at < sim->node_count; at++) {
		struct node *node = &sim->nodes[at];

		if (node->kind != SIM_ENTRY || !node->alive)
			continue;
		if (node->store_cut || node->paused)
			g_ptr_array_add(node->missed_cancels, g_strdup(key));
		else
			hear_cancelled(sim, at, key);
	}
}

void
sim_deliver_missed_cancels(struct sim *sim, int at)
{
	struct node *node = &sim->nodes[at];
	guint i;

	if (node->store_cut || node->paused)
		return;
	for (i = 0; i < node->missed_cancels->len; i++)
		hear_cancelled(sim, at, node->missed_cancels->pdata[i]);
	g_ptr_array_set_size(node->missed_cancels, 0);
}

void
sim_handle_store_op(struct sim *sim, struct sim_event *h)
{
	const struct mst_store_op *op = sim_store_request_op(h->store_request);
	struct mst_store_answer answer;
	struct sim_event *reply;

	sim_store_perform(sim->store, h->store_request);
	answer = sim_store_request_answer(h->store_request, false);
	if (sim->options.verbose && is_change(op->kind) && op->key != NULL)
		sim_log(sim,
		    "store: %s changes %s from %" PRIu64 ": %s of %" PRIx64
		    ", term %u, change %u, %s: %s",
		    sim->nodes[h->node].name, op->key, op->expected,
		    mst_record_state_name(op->record.state), op->record.owner,
		    op->record.term, op->record.update_seq,
		    op->record.tasks ? op->record.tasks : "-",
		    answer.status == MST_STORE_OK ? "done" : "conflict");
	if (op->kind == MST_STORE_CANCEL && answer.status == MST_STORE_OK)
		tell_cancelled(sim, op->key);
	if (h->caller_timed_out)
		return;
	reply = sim_schedule(sim, h->node, SIM_EVENT_STORE_ANSWER,
	    sim->now_us +
		(h->answer_lost ? STORE_TIMEOUT_US : STORE_LATENCY_US / 2));
	reply->restart_count = h->restart_count;
	reply->answer_lost = h->answer_lost;
	reply->store_request = g_steal_pointer(&h->store_request);
}

void
sim_handle_store_answer(struct sim *sim, struct sim_event *h)
{
	struct mst_store_answer answer =
	    sim_store_request_answer(h->store_request, h->answer_lost);
	struct mst_entry_event entry = {
	    .type = MST_ENTRY_EV_STORE, .answer = &answer};
	struct mst_agent_event agent = {
	    .type = MST_AGENT_EV_STORE, .store_answer = &answer};
	const struct mst_store_op *op = sim_store_request_op(h->store_request);

	if (op->kind == MST_STORE_GET_JOB && answer.status == MST_STORE_OK)
		answer.spec = sim->options.load(sim->options.ctx, op->key);
	if (sim->nodes[h->node].kind == SIM_ENTRY)
		sim_step_entry(sim, h->node, &entry);
	else
		sim_step_agent(sim, h->node, &agent);
}

void
sim_set_store_faults(struct sim *sim, double lost, double late)
{
	sim->store_loss_share = lost;
	sim->store_late_share = late;
}

void
sim_set_store_cut(struct sim *sim, int node, bool cut)
{
	sim->nodes[node].store_cut = cut;
	sim_deliver_missed_cancels(sim, node);
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
ask(struct sim *sim, int entry, const char *key, enum mst_entry_event_type type)
{
	struct sim_request *request = sim_request_new(sim, entry);
	struct mst_entry_event event = {
	    .type = type, .request = request->id, .key = key};

	sim_step_entry(sim, entry, &event);
	return request->id;
}

uint64_t
sim_find_key(struct sim *sim, int entry, const char *key)
{
	return ask(sim, entry, key, MST_ENTRY_EV_FIND_KEY);
}

uint64_t
sim_cancel_key(struct sim *sim, int entry, const char *key)
{
	return ask(sim, entry, key, MST_ENTRY_EV_CANCEL_KEY);
}
