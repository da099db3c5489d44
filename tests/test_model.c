/*
 * Exhaustive search over the interleavings of a small system built from the
 * real reducers: two entries, two agents with one slot each, and one job of
 * two tasks. Each path is replayed from the initial state by its list of
 * choices. A choice delivers, loses or duplicates a message, finishes a task,
 * pauses, resumes or kills the first entry, lets time pass, or submits the
 * job again at the second entry. The test fails if a task starts twice, or if
 * a task that an answer reports as not run has been started.
 *
 * MST_MODEL_DEPTH sets the maximum number of choices per path.
 */

#include <glib.h>
#include <masticstall.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/codec.h"

#define MODEL_NODES        4 /* entries 0 and 1, agents 2 and 3 */
#define MODEL_TASKS        2
#define MODEL_DEPTH        4
#define MODEL_PATH_MAX     64
#define MODEL_OUTAGE_US    (4 * G_USEC_PER_SEC)
#define MODEL_HEARTBEAT_US (1100 * 1000)

struct pending_message {
	int to;              /* receiving node */
	unsigned created_at; /* choice_count when the message was sent */
	GByteArray *bytes;   /* encoded message */
};

struct active_run {
	int agent;           /* node that executes the run */
	unsigned created_at; /* choice_count when the run was started */
	uint64_t run;
};

struct model {
	struct mst_entry *entries[2];
	struct mst_agent *agents[2];
	uint64_t incarnations[MODEL_NODES];
	bool killed, paused; /* state of the first entry */
	/* GByteArray; encoded messages to the first entry, delivered when it
	 * resumes. */
	GPtrArray *held_messages;
	GArray *pending_messages; /* struct pending_message */
	GArray *active_runs;      /* struct active_run */
	unsigned choice_count;    /* choices applied so far */
	int last_node; /* the only node that the last choice changed, or -1 */
	unsigned starts[MODEL_TASKS];
	/* Tasks reported as not run before the job was submitted again. */
	bool reported_not_run[MODEL_TASKS];
	int64_t now_us;
	struct mst_ticket ticket;
	/* Number of choices of each kind that were applied so far. */
	unsigned losses, duplicates, pauses, kills, outages, heartbeats,
	    submits;
	bool violated; /* a check failed */
};

/* Choices that lead from the initial state to the state under test. */
struct path {
	unsigned choice[MODEL_PATH_MAX];  /* index of the move taken */
	unsigned options[MODEL_PATH_MAX]; /* number of moves available */
	unsigned depth;
};

static void step_entry(
    struct model *m, int node, struct mst_entry_event *event);
static void step_agent(
    struct model *m, int node, struct mst_agent_event *event);

static int
find_node_by_incarnation(const struct model *m, uint64_t incarnation)
{
	int i;

	for (i = 0; i < 2; i++) {
		if (m->entries[i] != NULL &&
		    mst_entry_gauges(m->entries[i]).incarnation == incarnation)
			return i;
	}
	for (i = 2; i < MODEL_NODES; i++) {
		if (m->incarnations[i] == incarnation)
			return i;
	}
	return -1;
}

static void
deliver_message(struct model *m, int to, const GByteArray *bytes)
{
	struct mst_entry_event entry = {.type = MST_ENTRY_EV_MESSAGE};
	struct mst_agent_event agent = {.type = MST_AGENT_EV_MESSAGE};
	struct mst_decoder *decoder;
	struct mst_msg msg;

	if (to == 0 && m->killed)
		return;
	if (to == 0 && m->paused) {
		GByteArray *copy = g_byte_array_new();

		g_byte_array_append(copy, bytes->data, bytes->len);
		g_ptr_array_add(m->held_messages, copy);
		return;
	}
	/* Deliveries nest, so each call uses its own decoder. */
	decoder = mst_decoder_new();
	mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, NULL);
	entry.msg = agent.msg = &msg;
	if (to < 2)
		step_entry(m, to, &entry);
	else
		step_agent(m, to, &agent);
	mst_decoder_free(decoder);
}

static bool
is_delivery_explored(enum mst_msg_type type)
{
	return type == MST_MSG_DISPATCH || type == MST_MSG_RESULT ||
	    type == MST_MSG_WITHDRAW || type == MST_MSG_FENCE ||
	    type == MST_MSG_FENCED;
}

/* Queues a message for its receivers. Announcements and heartbeats are
 * delivered as soon as the current effects have been processed; messages of the
 * explored types are delivered by a choice. */
static void
route_message(struct model *m, GPtrArray *immediate, GArray *targets,
    const struct mst_msg *msg)
{
	GByteArray *bytes = g_byte_array_new();
	int first = msg->to ? find_node_by_incarnation(m, msg->to) : 0;
	int last = msg->to ? first : 1;
	int to;

	mst_msg_encode(bytes, msg);
	for (to = first; to >= 0 && to <= last; to++) {
		struct pending_message message = {.to = to,
		    .created_at = m->choice_count,
		    .bytes = g_byte_array_ref(bytes)};

		if (is_delivery_explored(msg->type)) {
			g_array_append_val(m->pending_messages, message);
		} else {
			g_ptr_array_add(immediate, message.bytes);
			g_array_append_val(targets, to);
		}
	}
	g_byte_array_unref(bytes);
}

static void
deliver_immediate(struct model *m, GPtrArray *immediate, GArray *targets)
{
	guint i;

	for (i = 0; i < immediate->len; i++) {
		deliver_message(
		    m, g_array_index(targets, int, i), immediate->pdata[i]);
		g_byte_array_unref(immediate->pdata[i]);
	}
	g_ptr_array_unref(immediate);
	g_array_unref(targets);
}

static void
check_answer(struct model *m, int node, const struct mst_entry_effect *effect)
{
	struct mst_task_view task;
	uint32_t i;

	for (i = 0; i < MODEL_TASKS; i++) {
		mst_entry_task(&task, m->entries[node], effect->job, i);
		if (task.outcome != MST_OUTCOME_NOT_RUN)
			continue;
		if (m->starts[i] > 0)
			m->violated = true;
		if (m->submits == 0)
			m->reported_not_run[i] = true;
	}
}

static void
execute_entry_effects(struct model *m, int node, const GArray *effects)
{
	GPtrArray *immediate = g_ptr_array_new();
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(int));
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_SEND)
			route_message(m, immediate, targets, &effect->msg);
		else if (effect->type == MST_ENTRY_FX_ANSWER)
			check_answer(m, node, effect);
		else if (effect->type == MST_ENTRY_FX_TICKET)
			m->ticket = effect->ticket;
	}
	deliver_immediate(m, immediate, targets);
}

static void
step_entry(struct model *m, int node, struct mst_entry_event *event)
{
	struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

	event->now_us = flush.now_us = m->now_us;
	execute_entry_effects(m, node, mst_entry_step(m->entries[node], event));
	execute_entry_effects(
	    m, node, mst_entry_step(m->entries[node], &flush));
}

static void
execute_agent_effects(struct model *m, int node, const GArray *effects)
{
	GPtrArray *immediate = g_ptr_array_new();
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(int));
	struct active_run run;
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_SEND) {
			route_message(m, immediate, targets, &effect->msg);
		} else if (effect->type == MST_AGENT_FX_START) {
			run = (struct active_run){.agent = node,
			    .created_at = m->choice_count,
			    .run = effect->run};
			g_array_append_val(m->active_runs, run);
			m->starts[effect->task->index]++;
		}
	}
	deliver_immediate(m, immediate, targets);
}

static void
step_agent(struct model *m, int node, struct mst_agent_event *event)
{
	struct mst_agent_event flush = {.type = MST_AGENT_EV_FLUSH};
	struct mst_agent *agent = m->agents[node - 2];

	event->now_us = flush.now_us = m->now_us;
	execute_agent_effects(m, node, mst_agent_step(agent, event));
	execute_agent_effects(m, node, mst_agent_step(agent, &flush));
}

static void
tick_nodes(struct model *m, int64_t us)
{
	int i;

	m->now_us += us;
	for (i = 0; i < MODEL_NODES; i++) {
		struct mst_entry_event entry = {.type = MST_ENTRY_EV_TICK};
		struct mst_agent_event agent = {.type = MST_AGENT_EV_TICK};

		if (i == 0 && (m->killed || m->paused))
			continue;
		if (i < 2)
			step_entry(m, i, &entry);
		else
			step_agent(m, i, &agent);
	}
}

/* Advances the clock in steps of at most 400 ms, so that no node takes the gap
 * between two ticks for a pause of its process. */
static void
advance_time(struct model *m, int64_t us)
{
	int64_t step_us = 400 * 1000;

	for (; us > 0; us -= step_us)
		tick_nodes(m, MIN(us, step_us));
}

static void
submit_job(struct model *m, int node)
{
	struct mst_task_spec tasks[MODEL_TASKS] = {0};
	struct mst_job_spec spec = {.ticket = m->ticket,
	    .team = "t",
	    .timeout_ms = 3600000,
	    .count = MODEL_TASKS,
	    .tasks = tasks};
	struct mst_entry_event event = {.type = MST_ENTRY_EV_SUBMIT,
	    .request = (uint64_t)node + 1,
	    .spec = &spec};
	int i;

	for (i = 0; i < MODEL_TASKS; i++) {
		tasks[i].method = mst_bytes_from_str("POST");
		tasks[i].path = mst_bytes_from_str("/");
	}
	step_entry(m, node, &event);
}

static void
model_init(struct model *m)
{
	struct mst_entry_options entry = MST_ENTRY_OPTIONS_INIT;
	struct mst_agent_options agent = MST_AGENT_OPTIONS_INIT;
	struct mst_entry_event ticket_request = {
	    .type = MST_ENTRY_EV_TICKET, .request = 9};
	int i;

	*m = (struct model){.now_us = G_USEC_PER_SEC,
	    .held_messages = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref),
	    .pending_messages =
		g_array_new(FALSE, FALSE, sizeof(struct pending_message)),
	    .active_runs = g_array_new(FALSE, FALSE, sizeof(struct active_run)),
	    .last_node = -1};
	agent.slots = 1;
	for (i = 0; i < MODEL_NODES; i++) {
		m->incarnations[i] = (uint64_t)(i + 1) * 1000 + 1;
		if (i < 2) {
			entry.incarnation = m->incarnations[i];
			entry.seed = (uint32_t)i + 1;
			mst_entry_new(&m->entries[i], &entry);
		} else {
			agent.incarnation = m->incarnations[i];
			mst_agent_new(&m->agents[i - 2], &agent);
		}
	}
	for (i = 0; i < 2; i++) {
		struct mst_entry_event config = {
		    .type = MST_ENTRY_EV_CONFIG, .document = "{}"};

		mst_config_parse(&config.config, "{}", 1, NULL);
		step_entry(m, i, &config);
	}
	advance_time(m, 2 * MODEL_HEARTBEAT_US);
	step_entry(m, 0, &ticket_request);
	submit_job(m, 0);
}

static void
model_clear(struct model *m)
{
	guint i;

	for (i = 0; i < m->pending_messages->len; i++)
		g_byte_array_unref(g_array_index(
		    m->pending_messages, struct pending_message, i)
				       .bytes);
	g_ptr_array_unref(m->held_messages);
	g_array_unref(m->pending_messages);
	g_array_unref(m->active_runs);
	for (i = 0; i < 2; i++) {
		mst_entry_free(m->entries[i]);
		mst_agent_free(m->agents[i]);
	}
}

static void
resume_entry(struct model *m)
{
	struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
	GPtrArray *messages = m->held_messages;
	guint i;

	m->paused = false;
	m->held_messages =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	step_entry(m, 0, &tick);
	for (i = 0; i < messages->len; i++)
		deliver_message(m, 0, messages->pdata[i]);
	g_ptr_array_unref(messages);
}

static void
finish_run(struct model *m, guint index)
{
	struct active_run run =
	    g_array_index(m->active_runs, struct active_run, index);
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_FINISHED, .run = run.run};

	g_array_remove_index(m->active_runs, index);
	event.result.outcome = MST_OUTCOME_DONE;
	event.result.status = 200;
	step_agent(m, run.agent, &event);
}

enum move_type {
	MOVE_DELIVER,
	MOVE_LOSE,
	MOVE_DUPLICATE,
	MOVE_FINISH,
	MOVE_PAUSE,
	MOVE_RESUME,
	MOVE_KILL,
	MOVE_OUTAGE,   /* MODEL_OUTAGE_US pass without the first entry */
	MOVE_SUBMIT,   /* the job is submitted again, to the second entry */
	MOVE_HEARTBEAT /* MODEL_HEARTBEAT_US pass */
};

struct move {
	enum move_type type;
	guint index; /* of the message or run that it applies to */
};

static void
add_move(GArray *moves, enum move_type type, guint index)
{
	struct move move = {.type = type, .index = index};

	g_array_append_val(moves, move);
}

/* Returns true if another path covers a choice: two choices that change
 * different nodes, and that were both available before either was applied, lead
 * to the same state in either order, so only the order by node index is
 * explored. */
static bool
is_order_redundant(const struct model *m, int node, unsigned created_at)
{
	return m->last_node >= 0 && node < m->last_node &&
	    created_at < m->choice_count;
}

static void
list_moves(const struct model *m, GArray *moves)
{
	bool unavailable = m->paused || m->killed;
	guint i;

	for (i = 0; i < m->pending_messages->len; i++) {
		const struct pending_message *message = &g_array_index(
		    m->pending_messages, struct pending_message, i);

		if (is_order_redundant(m, message->to, message->created_at))
			continue;
		add_move(moves, MOVE_DELIVER, i);
		if (m->losses == 0)
			add_move(moves, MOVE_LOSE, i);
		if (m->duplicates == 0)
			add_move(moves, MOVE_DUPLICATE, i);
	}
	for (i = 0; i < m->active_runs->len; i++) {
		const struct active_run *run =
		    &g_array_index(m->active_runs, struct active_run, i);

		if (!is_order_redundant(m, run->agent, run->created_at))
			add_move(moves, MOVE_FINISH, i);
	}
	if (!unavailable && m->pauses == 0)
		add_move(moves, MOVE_PAUSE, 0);
	if (m->paused)
		add_move(moves, MOVE_RESUME, 0);
	if (!m->killed && m->kills == 0)
		add_move(moves, MOVE_KILL, 0);
	if (unavailable && m->outages == 0)
		add_move(moves, MOVE_OUTAGE, 0);
	if (m->outages > 0 && m->submits == 0)
		add_move(moves, MOVE_SUBMIT, 0);
	if (m->heartbeats < 1)
		add_move(moves, MOVE_HEARTBEAT, 0);
}

/* Returns the only node that a choice changes, or -1 if there are several. */
static int
get_move_node(const struct model *m, const struct move *move)
{
	switch (move->type) {
	case MOVE_DELIVER:
	case MOVE_LOSE:
	case MOVE_DUPLICATE:
		return g_array_index(
		    m->pending_messages, struct pending_message, move->index)
		    .to;
	case MOVE_FINISH:
		return g_array_index(
		    m->active_runs, struct active_run, move->index)
		    .agent;
	default:
		return -1;
	}
}

static void
apply_message_move(struct model *m, const struct move *move)
{
	struct pending_message message = g_array_index(
	    m->pending_messages, struct pending_message, move->index);

	if (move->type == MOVE_DUPLICATE) {
		m->duplicates++;
		deliver_message(m, message.to, message.bytes);
		return;
	}
	g_array_remove_index(m->pending_messages, move->index);
	if (move->type == MOVE_DELIVER)
		deliver_message(m, message.to, message.bytes);
	else
		m->losses++;
	g_byte_array_unref(message.bytes);
}

static void
apply_move(struct model *m, const struct move *move)
{
	switch (move->type) {
	case MOVE_DELIVER:
	case MOVE_LOSE:
	case MOVE_DUPLICATE:
		apply_message_move(m, move);
		break;
	case MOVE_FINISH:
		finish_run(m, move->index);
		break;
	case MOVE_PAUSE:
		m->paused = true;
		m->pauses++;
		break;
	case MOVE_RESUME:
		resume_entry(m);
		break;
	case MOVE_KILL:
		m->killed = true;
		m->paused = false;
		m->kills++;
		break;
	case MOVE_OUTAGE:
		m->outages++;
		advance_time(m, MODEL_OUTAGE_US);
		break;
	case MOVE_SUBMIT:
		m->submits++;
		submit_job(m, 1);
		break;
	case MOVE_HEARTBEAT:
		m->heartbeats++;
		advance_time(m, MODEL_HEARTBEAT_US);
		break;
	}
}

static void
check_start_counts(struct model *m)
{
	int i;

	for (i = 0; i < MODEL_TASKS; i++) {
		if (m->starts[i] > 1 ||
		    (m->reported_not_run[i] && m->starts[i] > 0 &&
			m->submits == 0))
			m->violated = true;
	}
}

/* Pauses the first entry while its dispatches are pending, and submits the job
 * again at the second entry, which adopts it. */
static void
begin_adoption(struct model *m)
{
	m->paused = true;
	m->pauses++;
	m->outages++;
	advance_time(m, MODEL_OUTAGE_US);
	m->submits++;
	submit_job(m, 1);
}

/* Replays the path's choices, then extends the path with the first available
 * choice of each state, up to the given depth. Returns true if a check failed;
 * the path then ends with the choice that made it fail. */
static bool
path_run(struct path *path, bool from_adoption, unsigned depth, uint64_t *steps)
{
	GArray *moves = g_array_new(FALSE, FALSE, sizeof(struct move));
	struct model m;
	struct move move;
	unsigned at;
	bool violated;

	model_init(&m);
	if (from_adoption)
		begin_adoption(&m);
	for (at = 0; at < depth; at++) {
		g_array_set_size(moves, 0);
		list_moves(&m, moves);
		if (moves->len == 0)
			break;
		if (at >= path->depth) {
			path->choice[at] = 0;
			path->depth = at + 1;
		}
		path->options[at] = moves->len;
		move = g_array_index(moves, struct move, path->choice[at]);
		m.choice_count = at + 1;
		m.last_node = get_move_node(&m, &move);
		apply_move(&m, &move);
		(*steps)++;
		check_start_counts(&m);
		if (m.violated)
			break;
	}
	path->depth = MIN(path->depth, at + (m.violated ? 1 : 0));
	violated = m.violated;
	model_clear(&m);
	g_array_unref(moves);
	return violated;
}

/* Advances to the next path in depth-first order. Returns false after the last
 * one. */
static bool
path_next(struct path *path)
{
	while (path->depth > 0) {
		unsigned at = path->depth - 1;

		if (++path->choice[at] < path->options[at])
			return true;
		path->depth--;
	}
	return false;
}

static void
search_paths(bool from_adoption)
{
	const char *depth_text = g_getenv("MST_MODEL_DEPTH");
	unsigned depth =
	    depth_text ? (unsigned)strtoul(depth_text, NULL, 10) : MODEL_DEPTH;
	struct path path = {0};
	uint64_t paths = 0, steps = 0;
	bool violated = false;
	unsigned i;

	do {
		paths++;
		violated = path_run(&path, from_adoption, depth, &steps);
	} while (!violated && path_next(&path));
	g_test_message("depth %u: %" G_GUINT64_FORMAT
		       " paths, %" G_GUINT64_FORMAT " states",
	    depth, paths, steps);
	for (i = 0; violated && i < path.depth; i++)
		g_test_message(
		    "choice %u of %u", path.choice[i], path.options[i]);
	g_assert_false(violated);
}

static void
model__no_second_start(void)
{
	search_paths(false);
}

static void
model__no_second_start_after_adoption(void)
{
	search_paths(true);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/model/single-start", model__no_second_start);
	g_test_add_func(
	    "/model/adoption", model__no_second_start_after_adoption);
	return g_test_run();
}
