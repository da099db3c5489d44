/* What may happen next in a state of the lease search. */

#include "search/moves.h"

struct listing {
	GArray *moves;
	const struct model *m;
	const struct move_limits *limits;
	const struct move_counts *counts;
};

static void
add(const struct listing *l, enum move_type type, int a, int b)
{
	const struct move move = {
	    .type = (uint8_t)type, .a = (uint8_t)a, .b = (uint8_t)b};

	if (moves_are_allowed(l->limits, l->counts, type))
		g_array_append_val(l->moves, move);
}

static void
list_pending(const struct listing *l)
{
	guint i;

	for (i = 0; i < l->m->pending->len; i++) {
		const struct model_event *event = l->m->pending->pdata[i];

		if (event->is_held) {
			add(l, MOVE_RELEASE, (int)i, 0);
			continue;
		}
		add(l, MOVE_HOLD, (int)i, 0);
		if (event->type == MODEL_ORDER)
			add(l, MOVE_NO_ANSWER, (int)i, 0);
		else
			add(l, MOVE_REPEAT, (int)i, 0);
	}
}

static void
list_thaws(const struct listing *l, int node)
{
	int variants = node < MODEL_ENTRIES ? THAW_ANSWERS : THAW_VARIANTS;
	int i;

	for (i = 0; i < variants; i++)
		add(l, MOVE_THAW, node, i);
}

static void
list_faults_of_process(const struct listing *l, int node)
{
	bool is_entry = node < MODEL_ENTRIES;

	if (is_entry)
		add(l, MOVE_KILL_ENTRY, node, 0);
	else if (l->m->nodes[node].has_told || !l->m->options.agents_tell_first)
		add(l, MOVE_KILL_AGENT, node, 0);
	if (l->m->nodes[node].is_frozen)
		list_thaws(l, node);
	else
		add(l, is_entry ? MOVE_FREEZE_ENTRY : MOVE_FREEZE_AGENT, node,
		    0);
}

/* Processes that have had nothing of the job are all alike. */
static void
list_process_moves(const struct listing *l)
{
	int i;

	for (i = 0; i < MODEL_NODES; i++) {
		const struct model_node *node = &l->m->nodes[i];

		if (!node->is_alive)
			add(l, MOVE_RESTART, i, 0);
		else if (node->was_used)
			list_faults_of_process(l, i);
	}
}

static void
list_link_moves(const struct listing *l, int entry, int agent)
{
	enum model_link down = l->m->links[entry][agent];
	enum model_link up = l->m->links[agent][entry];

	if (down != MODEL_LINK_UP)
		add(l, MOVE_HEAL, entry, agent);
	if (up != MODEL_LINK_UP)
		add(l, MOVE_HEAL, agent, entry);
	if (down != MODEL_LINK_UP || up != MODEL_LINK_UP ||
	    !l->m->nodes[entry].was_used || !l->m->nodes[agent].was_used)
		return;
	add(l, MOVE_CUT, entry, agent);
	add(l, MOVE_STALL, entry, agent);
	add(l, MOVE_STALL, agent, entry);
}

/* A worker may get an id of its own at its start. */
static void
list_worker_starts(const struct listing *l, enum move_type type, int agent)
{
	add(l, type, agent, false);
	if (l->m->options.new_ids &&
	    l->m->workers[agent].id + 1 < SEARCH_IDS_MAX)
		add(l, type, agent, true);
}

static void
list_reports(const struct listing *l, int agent)
{
	int i;

	if (!model_is_running(l->m, MODEL_ENTRIES + agent))
		return;
	for (i = 0; i < MODEL_ODD_REPORTS; i++)
		add(l, MOVE_ODD_REPORT, agent, i);
}

/* What is held up later, if nothing is held up already. */
static void
list_holds(const struct listing *l, int agent)
{
	int entry;

	if (!l->m->hold_renew[agent])
		add(l, MOVE_HOLD_RENEW, agent, 0);
	if (l->m->hold_answer[agent] == 0) {
		add(l, MOVE_HOLD_ANSWER, agent, MST_ORDER_START);
		add(l, MOVE_HOLD_ANSWER, agent, MST_ORDER_RENEW);
	}
	for (entry = 0; entry < MODEL_ENTRIES; entry++) {
		if (l->m->hold_announce[agent] == 0 &&
		    l->m->nodes[entry].was_used)
			add(l, MOVE_HOLD_ANNOUNCE, agent, entry);
	}
}

static void
list_worker_moves(const struct listing *l, int agent)
{
	const struct search_worker *worker = &l->m->workers[agent];
	bool is_cut = l->m->worker_cut[agent] || l->m->worker_muted[agent];

	if (is_cut)
		add(l, MOVE_HEAL_WORKER, agent, 0);
	if (worker->is_down)
		list_worker_starts(l, MOVE_START_WORKER, agent);
	if (!l->m->nodes[MODEL_ENTRIES + agent].was_used)
		return;
	list_holds(l, agent);
	list_reports(l, agent);
	if (!is_cut) {
		add(l, MOVE_CUT_WORKER, agent, 0);
		add(l, MOVE_MUTE_WORKER, agent, 0);
	}
	if (worker->is_down)
		return;
	list_worker_starts(l, MOVE_RESTART_WORKER, agent);
	add(l, MOVE_CRASH_WORKER, agent, 0);
	if (worker->run_count > 0)
		add(l, MOVE_FINISH, agent, 0);
}

void
moves_list(GArray *moves, const struct model *m,
    const struct move_limits *limits, const struct move_counts *counts)
{
	const struct listing l = {
	    .moves = moves, .m = m, .limits = limits, .counts = counts};
	int i = counts->last == MOVE_PASS && !m->has_new_pending;
	int k;

	/* A short time matters after something has happened. */
	for (; i < MOVE_PASS_TIMES; i++)
		add(&l, MOVE_PASS, i, 0);
	list_pending(&l);
	list_process_moves(&l);
	for (i = 0; i < MODEL_ENTRIES; i++) {
		for (k = 0; k < MODEL_AGENTS; k++)
			list_link_moves(&l, i, MODEL_ENTRIES + k);
	}
	for (i = 0; i < MODEL_AGENTS; i++)
		list_worker_moves(&l, i);
	if (m->caller.entry >= 0 && !m->caller.finished)
		add(&l, MOVE_BREAK, 0, 0);
}
