/* Stored jobs of a world: its store, and what their tasks' runs have broken. */

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
history_of(struct sim *world, const char *task)
{
	struct history *history =
	    g_hash_table_lookup(world->task_histories, task);

	if (history == NULL) {
		history = g_new0(struct history, 1);
		g_hash_table_insert(
		    world->task_histories, g_strdup(task), history);
	}
	return history;
}

static void
violate(struct sim *world, const char *task, const char *what)
{
	sim_log(world, "VIOLATION: %s %s", task, what);
	if (world->violation == NULL)
		world->violation = g_strdup_printf("%s %s", task, what);
}

/* A start must not come after as many failures as are allowed. */
static void
check_failures(
    struct sim *world, const char *task, const struct history *history)
{
	unsigned before = 0, i;

	for (i = 0; i < history->failures_noted; i++)
		before += history->failures_us[i] < history->last_start_us;
	if (world->options.max_attempts > 0 &&
	    before >= world->options.max_attempts)
		violate(world, task, "is started after its last failure");
}

void
sim_task_started(struct sim *world, const char *task)
{
	struct history *history = history_of(world, task);

	if (history->done_noted)
		violate(world, task, "starts after its end was noted");
	history->last_start_us = world->now_us;
	check_failures(world, task, history);
}

void
sim_completion_acked(
    struct sim *world, const char *task, bool done, int64_t ended_us)
{
	struct history *history = history_of(world, task);

	sim_log(world, "%s %s is noted", task, done ? "done" : "failed");
	if (!done) {
		g_assert_cmpuint(history->failures_noted, <, FAILURES_MAX);
		history->failures_us[history->failures_noted++] = ended_us;
		check_failures(world, task, history);
		return;
	}
	history->done_noted = true;
	if (history->last_start_us > ended_us)
		violate(world, task, "was started after an end noted later");
}

const char *
sim_violation(const struct sim *world)
{
	return world->violation;
}

static bool
chance(struct sim *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

static bool
is_change(enum mst_store_op_kind kind)
{
	return kind != MST_STORE_GET_RECORD && kind != MST_STORE_GET_JOB &&
	    kind != MST_STORE_SCAN && kind != MST_STORE_OWNERS;
}

void
sim_send_store_op(struct sim *world, int at, const struct mst_store_op *op)
{
	struct sim_event *h;
	int64_t after_us = STORE_LATENCY_US / 2;
	bool cut = world->nodes[at].store_cut;
	bool late =
	    is_change(op->kind) && chance(world, world->store_late_share);

	if (late)
		after_us += STORE_LATE_MIN_US +
		    (int64_t)(g_rand_double(world->rand) * STORE_LATE_US);
	h = sim_schedule(world, at,
	    cut ? SIM_EVENT_STORE_ANSWER : SIM_EVENT_STORE_OP,
	    world->now_us + (cut ? STORE_TIMEOUT_US : after_us));
	h->store_request = sim_store_request_new(op);
	h->answer_lost = cut || late ||
	    (is_change(op->kind) && chance(world, world->store_loss_share));
	h->caller_timed_out = late;
	if (late) {
		h = sim_schedule(world, at, SIM_EVENT_STORE_ANSWER,
		    world->now_us + STORE_TIMEOUT_US);
		h->store_request = sim_store_request_new(op);
		h->answer_lost = true;
	}
}

static void
hear_cancelled(struct sim *world, int at, const char *key)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CANCELLED, .key = key};

	sim_step_entry(world, at, &event);
}

/* Tells the entries that watch of a cancellation, or those that can't now
 * later. */
static void
tell_cancelled(struct sim *world, const char *key)
{
	int at;

	for (at = 0; at < world->node_count; at++) {
		struct node *node = &world->nodes[at];

		if (node->kind != SIM_ENTRY || !node->alive)
			continue;
		if (node->store_cut || node->paused)
			g_ptr_array_add(node->missed_cancels, g_strdup(key));
		else
			hear_cancelled(world, at, key);
	}
}

void
sim_deliver_missed_cancels(struct sim *world, int at)
{
	struct node *node = &world->nodes[at];
	guint i;

	if (node->store_cut || node->paused)
		return;
	for (i = 0; i < node->missed_cancels->len; i++)
		hear_cancelled(world, at, node->missed_cancels->pdata[i]);
	g_ptr_array_set_size(node->missed_cancels, 0);
}

void
sim_handle_store_op(struct sim *world, struct sim_event *h)
{
	const struct mst_store_op *op = sim_store_request_op(h->store_request);
	struct mst_store_answer answer;
	struct sim_event *reply;

	sim_store_perform(world->store, h->store_request);
	answer = sim_store_request_answer(h->store_request, false);
	if (world->options.verbose && is_change(op->kind) && op->key != NULL)
		sim_log(world,
		    "store: %s changes %s from %" PRIu64 ": %s of %" PRIx64
		    ", term %u, change %u, %s: %s",
		    world->nodes[h->node].name, op->key, op->expected,
		    mst_record_state_name(op->record.state), op->record.owner,
		    op->record.term, op->record.update_seq,
		    op->record.tasks ? op->record.tasks : "-",
		    answer.status == MST_STORE_OK ? "done" : "conflict");
	if (op->kind == MST_STORE_CANCEL && answer.status == MST_STORE_OK)
		tell_cancelled(world, op->key);
	if (h->caller_timed_out)
		return;
	reply = sim_schedule(world, h->node, SIM_EVENT_STORE_ANSWER,
	    world->now_us +
		(h->answer_lost ? STORE_TIMEOUT_US : STORE_LATENCY_US / 2));
	reply->restart_count = h->restart_count;
	reply->answer_lost = h->answer_lost;
	reply->store_request = g_steal_pointer(&h->store_request);
}

void
sim_handle_store_answer(struct sim *world, struct sim_event *h)
{
	struct mst_store_answer answer =
	    sim_store_request_answer(h->store_request, h->answer_lost);
	struct mst_entry_event entry = {
	    .type = MST_ENTRY_EV_STORE, .answer = &answer};
	struct mst_agent_event agent = {
	    .type = MST_AGENT_EV_STORE, .store_answer = &answer};
	const struct mst_store_op *op = sim_store_request_op(h->store_request);

	if (op->kind == MST_STORE_GET_JOB && answer.status == MST_STORE_OK)
		answer.spec = world->options.load(world->options.ctx, op->key);
	if (world->nodes[h->node].kind == SIM_ENTRY)
		sim_step_entry(world, h->node, &entry);
	else
		sim_step_agent(world, h->node, &agent);
}

void
sim_set_store_faults(struct sim *world, double lost, double late)
{
	world->store_loss_share = lost;
	world->store_late_share = late;
}

void
sim_set_store_cut(struct sim *world, int node, bool cut)
{
	world->nodes[node].store_cut = cut;
	sim_deliver_missed_cancels(world, node);
}

int
sim_record_state(const struct sim *world, const char *key)
{
	return sim_store_state(world->store, key);
}

void
sim_request_set_state(struct sim *world, const struct mst_entry_effect *effect)
{
	struct sim_request *request =
	    g_hash_table_lookup(world->requests, (gpointer)effect->request);

	if (request == NULL || request->answered_us != 0)
		return;
	request->stored_state = effect->stored;
	sim_request_finish(world, request);
}

static uint64_t
ask(struct sim *world, int entry, const char *key,
    enum mst_entry_event_type type)
{
	struct sim_request *request = sim_request_new(world, entry);
	struct mst_entry_event event = {
	    .type = type, .request = request->id, .key = key};

	sim_step_entry(world, entry, &event);
	return request->id;
}

uint64_t
sim_find_key(struct sim *world, int entry, const char *key)
{
	return ask(world, entry, key, MST_ENTRY_EV_FIND_KEY);
}

uint64_t
sim_cancel_key(struct sim *world, int entry, const char *key)
{
	return ask(world, entry, key, MST_ENTRY_EV_CANCEL_KEY);
}
