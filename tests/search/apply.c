/* Effect of the choices of the lease search. */

#include "search/moves.h"

/* Times that may pass: an order's timeout, the leases of an entry and of the
 * runs, and the silence after which an agent is lost and callers come back. */
static const int64_t pass_us[MOVE_PASS_TIMES] = {
    60 * 1000, 620 * 1000, 1320 * 1000};

static bool
is_fault(const struct move_limits *limits, enum move_type type)
{
	return limits->budgets[type] != MOVE_UNLIMITED;
}

bool
moves_are_allowed(const struct move_limits *limits,
    const struct move_counts *counts, enum move_type type)
{
	if (!is_fault(limits, type))
		return true;
	return counts->by_type[type] < limits->budgets[type] &&
	    counts->faults < limits->faults;
}

static void
deliver_pending(struct model *m, guint index)
{
	model_deliver(m, g_ptr_array_steal_index(m->pending, index));
}

static void
deliver_all_pending(struct model *m)
{
	unsigned count = 0;
	guint i = 0;

	while (i < m->pending->len) {
		if (((struct model_event *)m->pending->pdata[i])->is_held) {
			i++;
			continue;
		}
		if (++count > MODEL_PENDING_MAX) {
			model_fail(m, "an exchange without an end");
			return;
		}
		deliver_pending(m, i);
	}
}

/* Stops early where something new is sent that may be lost or held up, if the
 * limits still allow that. */
static void
pass(struct model *m, int64_t us, bool stop_early)
{
	int64_t end_us = m->now_us + us;

	m->has_new_pending = false;
	deliver_all_pending(m);
	model_settle(m);
	while (m->now_us < end_us && m->violation == NULL) {
		if (m->has_new_pending && stop_early)
			return;
		deliver_all_pending(m);
		model_tick(m);
	}
	if (!stop_early)
		deliver_all_pending(m);
}

static void
repeat_message(struct model *m, guint index)
{
	const struct model_event *event = m->pending->pdata[index];
	struct model_event *copy = model_event_copy(event);

	copy->is_held = true;
	deliver_pending(m, index);
	g_ptr_array_add(m->pending, copy);
}

static void
release(struct model *m, guint index)
{
	struct model_event *event = m->pending->pdata[index];

	if (event->type == MODEL_ORDER)
		event->answer_lost = true;
	if (event->type == MODEL_ANSWER &&
	    !model_end_wait(m, event->order.number))
		g_ptr_array_remove_index(m->pending, index);
	else
		deliver_pending(m, index);
}

static void
freeze(struct model *m, int node)
{
	model_log(m, "node %d is frozen", node);
	m->nodes[node].is_frozen = true;
}

static void
route_if(struct model *m, GPtrArray *events, bool answers, bool others)
{
	guint i;

	for (i = 0; i < events->len; i++) {
		struct model_event *event = events->pdata[i];

		if (event == NULL ||
		    (event->type == MODEL_ANSWER ? !answers : !others))
			continue;
		events->pdata[i] = NULL;
		g_queue_push_tail(&m->traffic, event);
	}
}

static void
add_tick(struct model *m, int node)
{
	struct model_event *tick = g_new0(struct model_event, 1);

	tick->type = MODEL_TICK;
	tick->to = node;
	g_queue_push_tail(&m->traffic, tick);
}

static void
thaw(struct model *m, int node, enum thaw variant)
{
	GPtrArray *events = m->nodes[node].backlog;

	m->nodes[node].is_frozen = false;
	m->nodes[node].backlog =
	    g_ptr_array_new_with_free_func(model_event_free);
	if (variant == THAW_TIMEOUTS) {
		model_drop_late_answers(events, m->now_us);
		model_end_waits(m);
	}
	if (variant == THAW_TICK)
		add_tick(m, node);
	if (variant == THAW_ANSWERS || variant == THAW_TIMEOUTS)
		route_if(m, events, true, false);
	route_if(m, events, true, true);
	if (variant != THAW_TICK)
		add_tick(m, node);
	g_ptr_array_set_free_func(events, NULL);
	g_ptr_array_unref(events);
}

static void
heal(struct model *m, int from, int to)
{
	GPtrArray *stalled = m->stalled[from][to];

	m->links[from][to] = MODEL_LINK_UP;
	while (stalled->len > 0)
		model_route(m, g_ptr_array_steal_index(stalled, 0));
}

/* What was sent to the worker and isn't held up is gone, and its agent notices
 * that the connections are closed. */
static void
stop_worker(struct model *m, int agent)
{
	struct search_worker *worker = &m->workers[agent];

	worker->run_count = 0;
	worker->completion_count = 0;
	model_break_worker(m, agent, true);
}

static void
restart_worker(struct model *m, int agent, bool new_id)
{
	stop_worker(m, agent);
	search_worker_restart(&m->workers[agent], m->now_us, new_id);
	m->next_report_us[agent] = m->now_us;
}

static void
apply_to_worker(struct model *m, const struct move *move)
{
	switch (move->type) {
	case MOVE_HOLD_RENEW:
		m->hold_renew[move->a] = true;
		break;
	case MOVE_HOLD_ANSWER:
		m->hold_answer[move->a] = (enum mst_order_kind)move->b;
		break;
	case MOVE_HOLD_ANNOUNCE:
		m->hold_announce[move->a] = move->b + 1;
		break;
	case MOVE_ODD_REPORT:
		model_send_odd_report(
		    m, move->a, (enum model_odd_report)move->b);
		break;
	case MOVE_CUT_WORKER:
		m->worker_cut[move->a] = true;
		break;
	case MOVE_MUTE_WORKER:
		m->worker_muted[move->a] = true;
		break;
	case MOVE_HEAL_WORKER:
		m->worker_cut[move->a] = m->worker_muted[move->a] = false;
		break;
	case MOVE_RESTART_WORKER:
	case MOVE_START_WORKER:
		restart_worker(m, move->a, move->b);
		break;
	case MOVE_CRASH_WORKER:
		stop_worker(m, move->a);
		m->workers[move->a].is_down = true;
		break;
	default:
		search_worker_finish_run(&m->workers[move->a]);
		break;
	}
}

static void
apply_to_pending(struct model *m, const struct move *move)
{
	struct model_event *event = m->pending->pdata[move->a];

	switch (move->type) {
	case MOVE_HOLD:
		event->is_held = true;
		break;
	case MOVE_NO_ANSWER:
		event->answer_lost = true;
		deliver_pending(m, move->a);
		break;
	case MOVE_REPEAT:
		repeat_message(m, move->a);
		break;
	default:
		release(m, move->a);
		break;
	}
}

static void
apply_to_process(struct model *m, const struct move *move)
{
	switch (move->type) {
	case MOVE_KILL_ENTRY:
	case MOVE_KILL_AGENT:
		model_kill(m, move->a);
		break;
	case MOVE_RESTART:
		model_start(m, move->a);
		break;
	case MOVE_FREEZE_ENTRY:
	case MOVE_FREEZE_AGENT:
		freeze(m, move->a);
		break;
	default:
		thaw(m, move->a, move->b);
		break;
	}
}

static void
apply_to_link(struct model *m, const struct move *move)
{
	if (move->type == MOVE_HEAL) {
		heal(m, move->a, move->b);
		return;
	}
	if (move->type == MOVE_STALL) {
		m->links[move->a][move->b] = MODEL_LINK_STALLED;
		return;
	}
	m->links[move->a][move->b] = MODEL_LINK_CUT;
	m->links[move->b][move->a] = MODEL_LINK_CUT;
}

static bool
may_fault_pending(
    const struct move_limits *limits, const struct move_counts *counts)
{
	return moves_are_allowed(limits, counts, MOVE_HOLD) ||
	    moves_are_allowed(limits, counts, MOVE_NO_ANSWER) ||
	    moves_are_allowed(limits, counts, MOVE_REPEAT);
}

void
moves_apply(struct model *m, const struct move *move,
    const struct move_limits *limits, struct move_counts *counts)
{
	counts->last = (enum move_type)move->type;
	if (is_fault(limits, move->type)) {
		counts->by_type[move->type]++;
		counts->faults++;
	}
	if (move->type == MOVE_PASS)
		pass(m, pass_us[move->a], may_fault_pending(limits, counts));
	else if (move->type <= MOVE_RELEASE)
		apply_to_pending(m, move);
	else if (move->type >= MOVE_KILL_ENTRY && move->type <= MOVE_THAW)
		apply_to_process(m, move);
	else if (move->type >= MOVE_CUT && move->type <= MOVE_HEAL)
		apply_to_link(m, move);
	else if (move->type == MOVE_BREAK)
		model_break_caller(m);
	else
		apply_to_worker(m, move);
	model_settle(m);
}

static void
describe_pending(GString *out, const struct model_event *event)
{
	static const char *const orders[] = {"", "start", "stop", "renewal"};

	if (event->type == MODEL_ORDER || event->type == MODEL_ANSWER)
		g_string_append_printf(out, " %s%s to worker %d",
		    event->type == MODEL_ANSWER ? "answer of " : "",
		    orders[event->order.kind], event->to);
	else
		g_string_append_printf(out, " %s of %d to %d",
		    mst_msg_type_name(event->msg_type), event->from, event->to);
}

void
moves_describe(GString *out, const struct model *m, const struct move *move)
{
	static const char *const names[MOVE_TYPES] = {"pass", "hold up",
	    "execute without an answer", "repeat", "release",
	    "hold up the next renewal", "hold up the next answer",
	    "hold up the next announcement", "kill entry", "kill agent",
	    "restart", "freeze entry", "freeze agent", "thaw", "cut", "stall",
	    "heal", "cut from its agent", "mute", "reconnect to its agent",
	    "restart worker", "crash worker", "start worker", "odd report to",
	    "finish a run at worker", "break the caller"};

	g_string_append(out, names[move->type]);
	if (move->type == MOVE_PASS)
		g_string_append_printf(
		    out, " %d ms", (int)(pass_us[move->a] / 1000));
	else if (move->type <= MOVE_RELEASE)
		describe_pending(out, m->pending->pdata[move->a]);
	else if (move->type == MOVE_THAW)
		g_string_append_printf(
		    out, " %d, variant %d", move->a, move->b);
	else if (move->type >= MOVE_CUT && move->type <= MOVE_HEAL)
		g_string_append_printf(out, " %d to %d", move->a, move->b);
	else if (move->type >= MOVE_KILL_ENTRY && move->type <= MOVE_THAW)
		g_string_append_printf(out, " %d", move->a);
	else if (move->type != MOVE_BREAK)
		g_string_append_printf(
		    out, " %d, variant %d", MODEL_ENTRIES + move->a, move->b);
}
