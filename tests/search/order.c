/* Orders of the lease search, and the waits for their answers. */

#include "search/model_internal.h"

/* Longest wait for the answer to an order that does not wait itself. */
#define ANSWER_TIMEOUT_US (50 * 1000)

bool
model_end_wait(struct model *m, uint64_t number)
{
	guint i;

	for (i = 0; i < m->waits->len; i++) {
		if (g_array_index(m->waits, struct model_wait, i)
			.order.number == number) {
			g_array_remove_index(m->waits, i);
			return true;
		}
	}
	return false;
}

/* Holds up an answer, which is delivered by a move if its agent still waits. */
static void
hold_answer(struct model *m, int agent, struct model_event *event)
{
	m->hold_answer[agent] = 0;
	event->is_held = true;
	g_ptr_array_add(m->pending, event);
}

static struct model_event *
answer_event_new(struct model *m, int agent, const struct search_order *order,
    enum mst_order_status status)
{
	struct model_event *event =
	    model_event_new(MODEL_ANSWER, MODEL_ENTRIES + agent);

	event->agent_start = m->nodes[event->to].starts;
	event->order = *order;
	event->answer =
	    search_answer_new(&m->workers[agent], order, status, m->now_us);
	return event;
}

/* Answers an order if its agent waits for that. */
static void
answer_order(struct model *m, int agent, const struct search_order *order,
    enum mst_order_status status)
{
	struct model_event *event;

	if (order->kind == m->hold_answer[agent] &&
	    status != MST_ORDER_NO_ANSWER) {
		hold_answer(
		    m, agent, answer_event_new(m, agent, order, status));
		return;
	}
	if (!model_end_wait(m, order->number))
		return;
	event = answer_event_new(m, agent, order, status);
	/* An agent repeats such an order at once, up to thousands of times. */
	if (status == MST_ORDER_FENCED)
		g_queue_push_tail(&m->next_traffic, event);
	else
		model_route(m, event);
}

void
model_send_order(struct model *m, int node, const struct mst_order *order)
{
	struct model_event *event = model_event_new(MODEL_ORDER, node);
	struct model_wait wait = {.agent = node - MODEL_ENTRIES};

	event->agent_start = m->nodes[node].starts;
	event->order = (struct search_order){.kind = order->kind,
	    .id = order->id,
	    .number = ++m->last_order_number,
	    .worker_id = search_worker_find_id(order->worker_id),
	    .run = order->run,
	    .lease_end_ms = order->lease_end_ms,
	    .fence = order->fence,
	    .completions_acked = order->completions_acked,
	    .wait_ms = order->wait_ms,
	    .sent_us = m->now_us};
	wait.order = event->order;
	wait.end_us = m->now_us + (int64_t)order->timeout_ms * 1000;
	g_array_append_val(m->waits, wait);
	if (order->kind != MST_ORDER_RENEW)
		model_log(m, "node %d orders %s of run %u", node,
		    order->kind == MST_ORDER_START ? "the start" : "the stop",
		    order->run);
	model_route(m, event);
}

/* Checks what must hold when a worker has started a run. */
static void
check_start(struct model *m, int agent)
{
	model_log(m, "worker %d starts the task", MODEL_ENTRIES + agent);
	if (model_count_runs(m) > 1)
		model_fail(m, "two runs of one task at a time");
	if (m->caller.is_turned_away)
		model_fail(m, "start for a job refused as not run");
}

void
model_execute_order(struct model *m, struct model_event *event)
{
	int agent = event->to - MODEL_ENTRIES;
	struct search_worker *worker = &m->workers[agent];
	struct search_order *order = &event->order;
	unsigned runs_started = worker->runs_started;
	enum mst_order_status status;
	struct model_poll poll = {.agent = agent, .order = *order};

	if (worker->is_down) {
		answer_order(m, agent, order, MST_ORDER_DOWN);
		return;
	}
	status = search_worker_execute(worker, order, m->now_us);
	if (order->kind != MST_ORDER_RENEW)
		model_log(m, "worker %d: %s of run %u, %s", event->to,
		    order->kind == MST_ORDER_START ? "start" : "stop",
		    order->run, mst_order_status_name(status));
	if (worker->runs_started > runs_started)
		check_start(m, agent);
	if (event->answer_lost || m->worker_muted[agent])
		return;
	if (order->kind == MST_ORDER_RENEW && status == MST_ORDER_DONE &&
	    order->wait_ms > 0 && worker->completion_count == 0) {
		poll.end_us = m->now_us + (int64_t)order->wait_ms * 1000;
		g_array_append_val(m->polls, poll);
		return;
	}
	answer_order(m, agent, order, status);
}

void
model_break_worker(struct model *m, int agent, bool only_polls)
{
	guint i = 0;

	while (i < m->polls->len) {
		struct model_poll poll =
		    g_array_index(m->polls, struct model_poll, i);

		if (poll.agent != agent) {
			i++;
			continue;
		}
		g_array_remove_index(m->polls, i);
		answer_order(m, agent, &poll.order, MST_ORDER_NO_ANSWER);
	}
	i = 0;
	while (!only_polls && i < m->waits->len) {
		if (g_array_index(m->waits, struct model_wait, i).agent ==
		    agent)
			g_array_remove_index(m->waits, i);
		else
			i++;
	}
}

void
model_end_polls(struct model *m)
{
	guint i = 0;

	while (i < m->polls->len) {
		struct model_poll poll =
		    g_array_index(m->polls, struct model_poll, i);

		if (m->workers[poll.agent].completion_count == 0 &&
		    m->now_us < poll.end_us) {
			i++;
			continue;
		}
		g_array_remove_index(m->polls, i);
		if (!m->worker_cut[poll.agent] && !m->worker_muted[poll.agent])
			answer_order(
			    m, poll.agent, &poll.order, MST_ORDER_DONE);
	}
}

void
model_end_waits(struct model *m)
{
	guint i = 0;

	while (i < m->waits->len) {
		struct model_wait wait =
		    g_array_index(m->waits, struct model_wait, i);

		/* A frozen agent finds out when it goes on. */
		if (m->now_us < wait.end_us ||
		    m->nodes[MODEL_ENTRIES + wait.agent].is_frozen) {
			i++;
			continue;
		}
		answer_order(m, wait.agent, &wait.order, MST_ORDER_NO_ANSWER);
	}
}

void
model_drop_late_answers(GPtrArray *events, int64_t now_us)
{
	guint i;

	for (i = 0; i < events->len; i++) {
		struct model_event *event = events->pdata[i];
		struct mst_order_answer *answer;

		if (event->type != MODEL_ANSWER)
			continue;
		answer = &event->answer->answer;
		if (now_us - answer->sent_us <= ANSWER_TIMEOUT_US)
			continue;
		*answer = (struct mst_order_answer){.kind = answer->kind,
		    .id = answer->id,
		    .status = MST_ORDER_NO_ANSWER,
		    .sent_us = answer->sent_us};
	}
}
