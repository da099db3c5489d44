/* Stored jobs of a world: its store, and what their tasks' runs have broken. */

#include "world/world_internal.h"

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
history_of(struct world *world, const char *task)
{
	struct history *history = g_hash_table_lookup(world->histories, task);

	if (history == NULL) {
		history = g_new0(struct history, 1);
		g_hash_table_insert(world->histories, g_strdup(task), history);
	}
	return history;
}

static void
violate(struct world *world, const char *task, const char *what)
{
	world_log(world, "VIOLATION: %s %s", task, what);
	if (world->violation == NULL)
		world->violation = g_strdup_printf("%s %s", task, what);
}

/* A start must not come after as many failures as are allowed. */
static void
check_failures(
    struct world *world, const char *task, const struct history *history)
{
	unsigned before = 0, i;

	for (i = 0; i < history->failures_noted; i++)
		before += history->failures_us[i] < history->last_start_us;
	if (world->options.attempts > 0 && before >= world->options.attempts)
		violate(world, task, "is started after its last failure");
}

void
world_task_started(struct world *world, const char *task)
{
	struct history *history = history_of(world, task);

	if (history->done_noted)
		violate(world, task, "starts after its end was noted");
	history->last_start_us = world->now_us;
	check_failures(world, task, history);
}

void
world_end_noted(
    struct world *world, const char *task, bool done, int64_t ended_us)
{
	struct history *history = history_of(world, task);

	world_log(world, "%s %s is noted", task, done ? "done" : "failed");
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
world_violation(const struct world *world)
{
	return world->violation;
}

static bool
chance(struct world *world, double share)
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
world_store_do(struct world *world, int at, const struct mst_store_op *op)
{
	struct happening *h;
	int64_t after_us = STORE_LATENCY_US / 2;
	bool cut = world->nodes[at].store_cut;
	bool late = is_change(op->kind) && chance(world, world->store_late);

	if (late)
		after_us += STORE_LATE_MIN_US +
		    (int64_t)(g_rand_double(world->rand) * STORE_LATE_US);
	h = world_happen(world, at, cut ? HAPPEN_STORED : HAPPEN_STORE,
	    world->now_us + (cut ? STORE_TIMEOUT_US : after_us));
	h->work = store_work_new(op);
	h->silent = cut || late ||
	    (is_change(op->kind) && chance(world, world->store_lost));
	h->given_up = late;
	if (late) {
		h = world_happen(
		    world, at, HAPPEN_STORED, world->now_us + STORE_TIMEOUT_US);
		h->work = store_work_new(op);
		h->silent = true;
	}
}

static void
hear_cancelled(struct world *world, int at, const char *key)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CANCELLED, .key = key};

	world_step_entry(world, at, &event);
}

/* Tells the entries that watch of a cancellation, or those that can't now
 * later. */
static void
tell_cancelled(struct world *world, const char *key)
{
	int at;

	for (at = 0; at < world->count; at++) {
		struct node *node = &world->nodes[at];

		if (node->kind != WORLD_ENTRY || !node->alive)
			continue;
		if (node->store_cut || node->paused)
			g_ptr_array_add(node->missed, g_strdup(key));
		else
			hear_cancelled(world, at, key);
	}
}

void
world_hear_missed(struct world *world, int at)
{
	struct node *node = &world->nodes[at];
	guint i;

	if (node->store_cut || node->paused)
		return;
	for (i = 0; i < node->missed->len; i++)
		hear_cancelled(world, at, node->missed->pdata[i]);
	g_ptr_array_set_size(node->missed, 0);
}

void
world_store_arrive(struct world *world, struct happening *h)
{
	const struct mst_store_op *op = store_work_op(h->work);
	struct mst_store_answer answer;
	struct happening *reply;

	sim_store_perform(world->store, h->work);
	answer = store_work_answer(h->work, false);
	if (world->options.verbose && is_change(op->kind) && op->key != NULL)
		world_log(world,
		    "store: %s changes %s from %" PRIu64 ": %s of %" PRIx64
		    ", term %u, change %u, %s: %s",
		    world->nodes[h->node].name, op->key, op->expected,
		    mst_record_state_name(op->record.state), op->record.owner,
		    op->record.term, op->record.update_seq,
		    op->record.tasks ? op->record.tasks : "-",
		    answer.status == MST_STORE_OK ? "done" : "conflict");
	if (op->kind == MST_STORE_CANCEL && answer.status == MST_STORE_OK)
		tell_cancelled(world, op->key);
	if (h->given_up)
		return;
	reply = world_happen(world, h->node, HAPPEN_STORED,
	    world->now_us +
		(h->silent ? STORE_TIMEOUT_US : STORE_LATENCY_US / 2));
	reply->life = h->life;
	reply->silent = h->silent;
	reply->work = g_steal_pointer(&h->work);
}

void
world_store_answered(struct world *world, struct happening *h)
{
	struct mst_store_answer answer = store_work_answer(h->work, h->silent);
	struct mst_entry_event entry = {
	    .type = MST_ENTRY_EV_STORE, .answer = &answer};
	struct mst_agent_event agent = {
	    .type = MST_AGENT_EV_STORE, .store_answer = &answer};
	const struct mst_store_op *op = store_work_op(h->work);

	if (op->kind == MST_STORE_GET_JOB && answer.status == MST_STORE_OK)
		answer.spec = world->options.load(world->options.ctx, op->key);
	if (world->nodes[h->node].kind == WORLD_ENTRY)
		world_step_entry(world, h->node, &entry);
	else
		world_step_agent(world, h->node, &agent);
}

void
world_store_faults(struct world *world, double lost, double late)
{
	world->store_lost = lost;
	world->store_late = late;
}

void
world_store_cut(struct world *world, int node, bool cut)
{
	world->nodes[node].store_cut = cut;
	world_hear_missed(world, node);
}

int
world_record_state(const struct world *world, const char *key)
{
	return sim_store_state(world->store, key);
}

void
world_request_state(struct world *world, const struct mst_entry_effect *effect)
{
	struct world_request *request =
	    g_hash_table_lookup(world->requests, (gpointer)effect->request);

	if (request == NULL || request->answered_us != 0)
		return;
	request->stored = effect->stored;
	world_request_finish(world, request);
}

static uint64_t
ask(struct world *world, int entry, const char *key,
    enum mst_entry_event_type type)
{
	struct world_request *request = world_request_new(world, entry);
	struct mst_entry_event event = {
	    .type = type, .request = request->id, .key = key};

	world_step_entry(world, entry, &event);
	return request->id;
}

uint64_t
world_find(struct world *world, int entry, const char *key)
{
	return ask(world, entry, key, MST_ENTRY_EV_FIND_KEY);
}

uint64_t
world_cancel_key(struct world *world, int entry, const char *key)
{
	return ask(world, entry, key, MST_ENTRY_EV_CANCEL_KEY);
}
