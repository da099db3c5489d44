/*
 * Exhaustive search over the interleavings of a small system of the real
 * reducers: two entries, two agents of one slot, one job of two tasks. Each
 * path is run anew from the start by its choices; a choice delivers, loses or
 * repeats a message, ends a task, freezes, wakes or kills the first entry,
 * lets time pass, or hands the job in at the second entry. No task may start
 * twice, and none that an answer calls not run may have started.
 *
 * MST_MODEL_DEPTH sets the greatest number of choices on a path.
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
#define MODEL_SILENCE_US   (4 * G_USEC_PER_SEC)
#define MODEL_HEARTBEAT_US (1100 * 1000)

struct flight {
	int to;
	unsigned created; /* choice after which it was there */
	GByteArray *bytes;
};

struct running {
	int agent;
	unsigned created;
	uint64_t run;
};

struct model {
	struct mst_entry *entries[2];
	struct mst_agent *agents[2];
	uint64_t incarnations[MODEL_NODES];
	bool dead, frozen;
	GPtrArray *frozen_mail; /* GByteArray, for the first entry */
	GArray *flights;        /* struct flight */
	GArray *running;        /* struct running */
	unsigned step;          /* choices made */
	int last_node;          /* that the last choice touched alone, or -1 */
	unsigned starts[MODEL_TASKS];
	bool not_run[MODEL_TASKS]; /* by an answer of a job not handed in again
				    */
	int64_t now_us;
	struct mst_ticket ticket;
	unsigned losses, repeats, freezes, kills, silences, heartbeats, submits;
	bool wrong;
};

/* Steps of the search. */
struct path {
	unsigned choice[MODEL_PATH_MAX];
	unsigned options[MODEL_PATH_MAX];
	unsigned depth;
};

static void run_entry(struct model *m, int at, struct mst_entry_event *event);
static void run_agent(struct model *m, int at, struct mst_agent_event *event);

static int
node_of(const struct model *m, uint64_t incarnation)
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
deliver_bytes(struct model *m, int to, const GByteArray *bytes)
{
	struct mst_entry_event entry = {.type = MST_ENTRY_EV_MESSAGE};
	struct mst_agent_event agent = {.type = MST_AGENT_EV_MESSAGE};
	struct mst_decoder *decoder;
	struct mst_msg msg;

	if (to == 0 && m->dead)
		return;
	if (to == 0 && m->frozen) {
		GByteArray *kept = g_byte_array_new();

		g_byte_array_append(kept, bytes->data, bytes->len);
		g_ptr_array_add(m->frozen_mail, kept);
		return;
	}
	/* Deliveries nest, so each has its own decoder. */
	decoder = mst_decoder_new();
	mst_decoder_decode(&msg, decoder, bytes->data, bytes->len, NULL);
	entry.msg = agent.msg = &msg;
	if (to < 2)
		run_entry(m, to, &entry);
	else
		run_agent(m, to, &agent);
	mst_decoder_free(decoder);
}

static bool
is_explored(enum mst_msg_type type)
{
	return type == MST_MSG_DISPATCH || type == MST_MSG_RESULT ||
	    type == MST_MSG_WITHDRAW || type == MST_MSG_FENCE ||
	    type == MST_MSG_FENCED;
}

/* Announcements and heartbeats arrive at once; the others wait for a choice. */
static void
collect(struct model *m, GPtrArray *at_once, GArray *targets,
    const struct mst_msg *msg)
{
	GByteArray *bytes = g_byte_array_new();
	int first = msg->to ? node_of(m, msg->to) : 0;
	int last = msg->to ? first : 1;
	int to;

	mst_msg_encode(bytes, msg);
	for (to = first; to >= 0 && to <= last; to++) {
		struct flight flight = {.to = to,
		    .created = m->step,
		    .bytes = g_byte_array_ref(bytes)};

		if (is_explored(msg->type)) {
			g_array_append_val(m->flights, flight);
		} else {
			g_ptr_array_add(at_once, flight.bytes);
			g_array_append_val(targets, to);
		}
	}
	g_byte_array_unref(bytes);
}

static void
deliver_collected(struct model *m, GPtrArray *at_once, GArray *targets)
{
	guint i;

	for (i = 0; i < at_once->len; i++) {
		deliver_bytes(
		    m, g_array_index(targets, int, i), at_once->pdata[i]);
		g_byte_array_unref(at_once->pdata[i]);
	}
	g_ptr_array_unref(at_once);
	g_array_unref(targets);
}

static void
note_answer(struct model *m, int at, const struct mst_entry_effect *effect)
{
	struct mst_task_view task;
	uint32_t i;

	for (i = 0; i < MODEL_TASKS; i++) {
		mst_entry_task(&task, m->entries[at], effect->job, i);
		if (task.outcome != MST_OUTCOME_NOT_RUN)
			continue;
		if (m->starts[i] > 0)
			m->wrong = true;
		if (m->submits == 0)
			m->not_run[i] = true;
	}
}

static void
execute_entry(struct model *m, int at, const GArray *effects)
{
	GPtrArray *at_once = g_ptr_array_new();
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(int));
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_SEND)
			collect(m, at_once, targets, &effect->msg);
		else if (effect->type == MST_ENTRY_FX_ANSWER)
			note_answer(m, at, effect);
		else if (effect->type == MST_ENTRY_FX_TICKET)
			m->ticket = effect->ticket;
	}
	deliver_collected(m, at_once, targets);
}

static void
run_entry(struct model *m, int at, struct mst_entry_event *event)
{
	struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

	event->now_us = flush.now_us = m->now_us;
	execute_entry(m, at, mst_entry_step(m->entries[at], event));
	execute_entry(m, at, mst_entry_step(m->entries[at], &flush));
}

static void
execute_agent(struct model *m, int at, const GArray *effects)
{
	GPtrArray *at_once = g_ptr_array_new();
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(int));
	struct running run;
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_SEND) {
			collect(m, at_once, targets, &effect->msg);
		} else if (effect->type == MST_AGENT_FX_START) {
			run = (struct running){.agent = at,
			    .created = m->step,
			    .run = effect->run};
			g_array_append_val(m->running, run);
			m->starts[effect->task->index]++;
		}
	}
	deliver_collected(m, at_once, targets);
}

static void
run_agent(struct model *m, int at, struct mst_agent_event *event)
{
	struct mst_agent_event flush = {.type = MST_AGENT_EV_FLUSH};
	struct mst_agent *agent = m->agents[at - 2];

	event->now_us = flush.now_us = m->now_us;
	execute_agent(m, at, mst_agent_step(agent, event));
	execute_agent(m, at, mst_agent_step(agent, &flush));
}

static void
tick_all(struct model *m, int64_t us)
{
	int i;

	m->now_us += us;
	for (i = 0; i < MODEL_NODES; i++) {
		struct mst_entry_event entry = {.type = MST_ENTRY_EV_TICK};
		struct mst_agent_event agent = {.type = MST_AGENT_EV_TICK};

		if (i == 0 && (m->dead || m->frozen))
			continue;
		if (i < 2)
			run_entry(m, i, &entry);
		else
			run_agent(m, i, &agent);
	}
}

/* Time passes in small steps, as nobody's own pause is meant. */
static void
pass(struct model *m, int64_t us)
{
	int64_t step_us = 400 * 1000;

	for (; us > 0; us -= step_us)
		tick_all(m, MIN(us, step_us));
}

static void
submit(struct model *m, int at)
{
	struct mst_task_spec tasks[MODEL_TASKS] = {0};
	struct mst_job_spec spec = {.ticket = m->ticket,
	    .team = "t",
	    .timeout_ms = 3600000,
	    .count = MODEL_TASKS,
	    .tasks = tasks};
	struct mst_entry_event event = {.type = MST_ENTRY_EV_SUBMIT,
	    .request = (uint64_t)at + 1,
	    .spec = &spec};
	int i;

	for (i = 0; i < MODEL_TASKS; i++) {
		tasks[i].method = mst_bytes_from_str("POST");
		tasks[i].path = mst_bytes_from_str("/");
	}
	run_entry(m, at, &event);
}

static void
model_open(struct model *m)
{
	struct mst_entry_options entry = MST_ENTRY_OPTIONS_INIT;
	struct mst_agent_options agent = MST_AGENT_OPTIONS_INIT;
	struct mst_entry_event mint = {
	    .type = MST_ENTRY_EV_TICKET, .request = 9};
	int i;

	*m = (struct model){.now_us = G_USEC_PER_SEC,
	    .frozen_mail = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref),
	    .flights = g_array_new(FALSE, FALSE, sizeof(struct flight)),
	    .running = g_array_new(FALSE, FALSE, sizeof(struct running)),
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
		run_entry(m, i, &config);
	}
	pass(m, 2 * MODEL_HEARTBEAT_US);
	run_entry(m, 0, &mint);
	submit(m, 0);
}

static void
model_close(struct model *m)
{
	guint i;

	for (i = 0; i < m->flights->len; i++)
		g_byte_array_unref(
		    g_array_index(m->flights, struct flight, i).bytes);
	g_ptr_array_unref(m->frozen_mail);
	g_array_unref(m->flights);
	g_array_unref(m->running);
	for (i = 0; i < 2; i++) {
		mst_entry_free(m->entries[i]);
		mst_agent_free(m->agents[i]);
	}
}

static void
wake(struct model *m)
{
	struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
	GPtrArray *mail = m->frozen_mail;
	guint i;

	m->frozen = false;
	m->frozen_mail =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
	run_entry(m, 0, &tick);
	for (i = 0; i < mail->len; i++)
		deliver_bytes(m, 0, mail->pdata[i]);
	g_ptr_array_unref(mail);
}

static void
finish(struct model *m, guint which)
{
	struct running run = g_array_index(m->running, struct running, which);
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_FINISHED, .run = run.run};

	g_array_remove_index(m->running, which);
	event.result.outcome = MST_OUTCOME_DONE;
	event.result.status = 200;
	run_agent(m, run.agent, &event);
}

enum move_type {
	MOVE_DELIVER,
	MOVE_LOSE,
	MOVE_REPEAT,
	MOVE_FINISH,
	MOVE_FREEZE,
	MOVE_WAKE,
	MOVE_KILL,
	MOVE_SILENCE,
	MOVE_SUBMIT,
	MOVE_HEARTBEAT
};

struct move {
	enum move_type type;
	guint which;
};

static void
move_add(GArray *moves, enum move_type type, guint which)
{
	struct move move = {.type = type, .which = which};

	g_array_append_val(moves, move);
}

/* Two choices that touch different nodes and were both there already give
 * the same state in either order; only the order by nodes is taken. */
static bool
is_taken_elsewhere(const struct model *m, int node, unsigned created)
{
	return m->last_node >= 0 && node < m->last_node && created < m->step;
}

static void
moves_list(const struct model *m, GArray *moves)
{
	bool away = m->frozen || m->dead;
	guint i;

	for (i = 0; i < m->flights->len; i++) {
		const struct flight *flight =
		    &g_array_index(m->flights, struct flight, i);

		if (is_taken_elsewhere(m, flight->to, flight->created))
			continue;
		move_add(moves, MOVE_DELIVER, i);
		if (m->losses == 0)
			move_add(moves, MOVE_LOSE, i);
		if (m->repeats == 0)
			move_add(moves, MOVE_REPEAT, i);
	}
	for (i = 0; i < m->running->len; i++) {
		const struct running *run =
		    &g_array_index(m->running, struct running, i);

		if (!is_taken_elsewhere(m, run->agent, run->created))
			move_add(moves, MOVE_FINISH, i);
	}
	if (!away && m->freezes == 0)
		move_add(moves, MOVE_FREEZE, 0);
	if (m->frozen)
		move_add(moves, MOVE_WAKE, 0);
	if (!m->dead && m->kills == 0)
		move_add(moves, MOVE_KILL, 0);
	if (away && m->silences == 0)
		move_add(moves, MOVE_SILENCE, 0);
	if (m->silences > 0 && m->submits == 0)
		move_add(moves, MOVE_SUBMIT, 0);
	if (m->heartbeats < 1)
		move_add(moves, MOVE_HEARTBEAT, 0);
}

/* The node that a choice touches, or -1 when it is more than one. */
static int
move_node(const struct model *m, const struct move *move)
{
	switch (move->type) {
	case MOVE_DELIVER:
	case MOVE_LOSE:
	case MOVE_REPEAT:
		return g_array_index(m->flights, struct flight, move->which).to;
	case MOVE_FINISH:
		return g_array_index(m->running, struct running, move->which)
		    .agent;
	default:
		return -1;
	}
}

static void
move_flight(struct model *m, const struct move *move)
{
	struct flight flight =
	    g_array_index(m->flights, struct flight, move->which);

	if (move->type == MOVE_REPEAT) {
		m->repeats++;
		deliver_bytes(m, flight.to, flight.bytes);
		return;
	}
	g_array_remove_index(m->flights, move->which);
	if (move->type == MOVE_DELIVER)
		deliver_bytes(m, flight.to, flight.bytes);
	else
		m->losses++;
	g_byte_array_unref(flight.bytes);
}

static void
move_make(struct model *m, const struct move *move)
{
	switch (move->type) {
	case MOVE_DELIVER:
	case MOVE_LOSE:
	case MOVE_REPEAT:
		move_flight(m, move);
		break;
	case MOVE_FINISH:
		finish(m, move->which);
		break;
	case MOVE_FREEZE:
		m->frozen = true;
		m->freezes++;
		break;
	case MOVE_WAKE:
		wake(m);
		break;
	case MOVE_KILL:
		m->dead = true;
		m->frozen = false;
		m->kills++;
		break;
	case MOVE_SILENCE:
		m->silences++;
		pass(m, MODEL_SILENCE_US);
		break;
	case MOVE_SUBMIT:
		m->submits++;
		submit(m, 1);
		break;
	case MOVE_HEARTBEAT:
		m->heartbeats++;
		pass(m, MODEL_HEARTBEAT_US);
		break;
	}
}

static void
model_check(struct model *m)
{
	int i;

	for (i = 0; i < MODEL_TASKS; i++) {
		if (m->starts[i] > 1 ||
		    (m->not_run[i] && m->starts[i] > 0 && m->submits == 0))
			m->wrong = true;
	}
}

/* The first entry is frozen, its dispatches are on their way, and the second
 * one has just been handed the job. */
static void
begin_adoption(struct model *m)
{
	m->frozen = true;
	m->freezes++;
	m->silences++;
	pass(m, MODEL_SILENCE_US);
	m->submits++;
	submit(m, 1);
}

/* Follows the path's choices, then first choices down to the depth. */
static bool
path_run(struct path *path, bool adopting, unsigned depth, uint64_t *steps)
{
	GArray *moves = g_array_new(FALSE, FALSE, sizeof(struct move));
	struct model m;
	struct move move;
	unsigned at;
	bool wrong;

	model_open(&m);
	if (adopting)
		begin_adoption(&m);
	for (at = 0; at < depth; at++) {
		g_array_set_size(moves, 0);
		moves_list(&m, moves);
		if (moves->len == 0)
			break;
		if (at >= path->depth) {
			path->choice[at] = 0;
			path->depth = at + 1;
		}
		path->options[at] = moves->len;
		move = g_array_index(moves, struct move, path->choice[at]);
		m.step = at + 1;
		m.last_node = move_node(&m, &move);
		move_make(&m, &move);
		(*steps)++;
		model_check(&m);
		if (m.wrong)
			break;
	}
	path->depth = MIN(path->depth, at + (m.wrong ? 1 : 0));
	wrong = m.wrong;
	model_close(&m);
	g_array_unref(moves);
	return wrong;
}

/* Moves on to the next path; false after the last one. */
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
search(bool adopting)
{
	const char *text = g_getenv("MST_MODEL_DEPTH");
	unsigned depth = text ? (unsigned)strtoul(text, NULL, 10) : MODEL_DEPTH;
	struct path path = {0};
	uint64_t paths = 0, steps = 0;
	bool wrong = false;
	unsigned i;

	do {
		paths++;
		wrong = path_run(&path, adopting, depth, &steps);
	} while (!wrong && path_next(&path));
	g_test_message("depth %u: %" G_GUINT64_FORMAT
		       " paths, %" G_GUINT64_FORMAT " states",
	    depth, paths, steps);
	for (i = 0; wrong && i < path.depth; i++)
		g_test_message(
		    "choice %u of %u", path.choice[i], path.options[i]);
	g_assert_false(wrong);
}

static void
model__no_second_start(void)
{
	search(false);
}

static void
model__no_second_start_by_an_adopter(void)
{
	search(true);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/model/starts", model__no_second_start);
	g_test_add_func(
	    "/model/adoption", model__no_second_start_by_an_adopter);
	return g_test_run();
}
