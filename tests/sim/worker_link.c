/* Orders on their way to a simulated worker, and the answers to its agent. */

#include "sim/worker_internal.h"

#define WORKER_LATENCY_US 200 /* one way, between agent and worker */

/* A late order is delayed by the minimum plus a random part of the spread. */
#define ORDER_DELAY_MIN_US    (2 * G_USEC_PER_SEC)
#define ORDER_DELAY_SPREAD_US (10 * G_USEC_PER_SEC)

/* A slow answer takes up to this long; orders time out after 50 ms or more. */
#define SLOW_ANSWER_MAX_US (60 * 1000)

/* Returns the time at which an answer that is sent now reaches the agent. */
static int64_t
draw_arrival_us(struct sim_worker *worker)
{
	int64_t at_us = sim_worker_now_us(worker) + WORKER_LATENCY_US;

	if (sim_worker_draw(worker, worker->slow_answer_probability))
		at_us += sim_worker_draw_time_us(worker, SLOW_ANSWER_MAX_US);
	return at_us;
}

/* Returns true if the agent still waits for the answer to an order when it
 * arrives, and ends the wait. */
static bool
end_wait(struct sim_worker *worker, uint64_t number, int64_t arrival_us)
{
	guint i;

	for (i = 0; i < worker->waits->len; i++) {
		const struct sim_wait *wait =
		    &g_array_index(worker->waits, struct sim_wait, i);

		if (wait->number != number)
			continue;
		if (worker->slow_answer_probability > 0 &&
		    arrival_us > wait->end_us)
			return false;
		g_array_remove_index(worker->waits, i);
		return true;
	}
	return false;
}

void
sim_worker_send_answer(struct sim_worker *worker,
    const struct sim_order *pending, enum mst_order_status status)
{
	struct mst_order_answer answer = {.kind = pending->order.kind,
	    .id = pending->order.id,
	    .status = status,
	    .sent_us = pending->sent_us,
	    .clock_ms = sim_worker_clock_ms(worker)};
	struct mst_worker_run *running =
	    g_new0(struct mst_worker_run, worker->runs->len + 1);
	struct mst_worker_completion *completions =
	    g_new0(struct mst_worker_completion, worker->completions->len + 1);
	int64_t arrival_us = draw_arrival_us(worker);
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct sim_run *run = worker->runs->pdata[i];

		running[i].task = mst_bytes_from_str(run->task);
		running[i].run = run->run_number;
	}
	for (i = 0; i < worker->completions->len; i++) {
		const struct sim_completion *completion =
		    worker->completions->pdata[i];

		completions[i].seq = completion->seq;
		completions[i].task = mst_bytes_from_str(completion->task);
		completions[i].run = completion->run_number;
		completions[i].status = completion->status;
	}
	if (pending->order.kind == MST_ORDER_RENEW &&
	    status == MST_ORDER_DONE) {
		answer.incarnation = worker->incarnation;
		answer.running = running;
		answer.running_count = worker->runs->len;
		answer.completions = completions;
		answer.completion_count = worker->completions->len;
	}
	if (!pending->answer_lost && !worker->unavailable &&
	    end_wait(worker, pending->number, arrival_us))
		worker->callbacks.deliver_answer(worker->callbacks.ctx,
		    worker->callbacks.agent_node_id, &answer, arrival_us);
	g_free(running);
	g_free(completions);
}

/* Adds the wait for an answer, which ends when the order times out. */
static void
add_wait(
    struct sim_worker *worker, const struct mst_order *order, uint64_t number)
{
	const struct sim_wait wait = {.number = number,
	    .kind = order->kind,
	    .id = order->id,
	    .sent_us = sim_worker_now_us(worker),
	    .end_us =
		sim_worker_now_us(worker) + (int64_t)order->timeout_ms * 1000};

	g_array_append_val(worker->waits, wait);
	worker->callbacks.schedule_timer_at(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id, wait.end_us);
}

void
sim_worker_end_expired_waits(struct sim_worker *worker)
{
	guint i = 0;

	while (i < worker->waits->len) {
		const struct sim_wait wait =
		    g_array_index(worker->waits, struct sim_wait, i);
		struct mst_order_answer answer = {.kind = wait.kind,
		    .id = wait.id,
		    .status = MST_ORDER_NO_ANSWER,
		    .sent_us = wait.sent_us};

		if (wait.end_us > sim_worker_now_us(worker)) {
			i++;
			continue;
		}
		g_array_remove_index(worker->waits, i);
		worker->callbacks.deliver_answer(worker->callbacks.ctx,
		    worker->callbacks.agent_node_id, &answer,
		    sim_worker_now_us(worker));
	}
}

static void
answer_with_fault(struct sim_worker *worker, const struct mst_order *order,
    enum mst_order_status status)
{
	struct mst_order_answer answer = {.kind = order->kind,
	    .id = order->id,
	    .status = status,
	    .sent_us = sim_worker_now_us(worker)};

	worker->callbacks.deliver_answer(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id, &answer, draw_arrival_us(worker));
}

static struct sim_order *
order_copy_new(const struct mst_order *order)
{
	struct sim_order *copy = g_new0(struct sim_order, 1);

	copy->order = *order;
	copy->order.task.data = mst_bytes_to_str(order->task);
	copy->order.spec.data = mst_bytes_to_str(order->spec);
	copy->order.worker_id.data = mst_bytes_to_str(order->worker_id);
	return copy;
}

/* Sends an order to the worker and waits for its answer. */
static void
transmit_order(struct sim_worker *worker, struct sim_order *pending)
{
	bool delayed = sim_worker_draw(worker, worker->late_probability);

	pending->sent_us = sim_worker_now_us(worker);
	pending->arrival_us = pending->sent_us + WORKER_LATENCY_US;
	pending->incarnation = worker->incarnation;
	if (delayed) {
		pending->answer_lost = true;
		pending->arrival_us += ORDER_DELAY_MIN_US +
		    sim_worker_draw_time_us(worker, ORDER_DELAY_SPREAD_US);
	}
	pending->number = ++worker->last_order_number;
	add_wait(worker, &pending->order, pending->number);
	g_ptr_array_add(worker->orders, pending);
	worker->callbacks.schedule_timer_at(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id, pending->arrival_us);
}

static bool
has_free_connection(const struct sim_worker *worker)
{
	return worker->connections == 0 ||
	    worker->waits->len < worker->connections;
}

/* Keeps an order until a connection is free or its time is over. */
static void
hold_order(struct sim_worker *worker, struct sim_order *pending)
{
	pending->sent_us = sim_worker_now_us(worker);
	pending->send_by_us = sim_worker_now_us(worker) +
	    (int64_t)pending->order.timeout_ms * 1000;
	g_ptr_array_add(worker->unsent, pending);
	worker->callbacks.schedule_timer_at(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id, pending->send_by_us);
}

static void
report_unsent(struct sim_worker *worker, const struct sim_order *pending)
{
	struct mst_order_answer answer = {.kind = pending->order.kind,
	    .id = pending->order.id,
	    .status = MST_ORDER_NOT_SENT,
	    .sent_us = pending->sent_us};

	worker->callbacks.deliver_answer(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id, &answer,
	    sim_worker_now_us(worker));
}

void
sim_worker_send_held_orders(struct sim_worker *worker)
{
	guint i = 0;

	while (i < worker->unsent->len) {
		struct sim_order *pending = worker->unsent->pdata[i];

		if (worker->down_until_us > 0) {
			answer_with_fault(
			    worker, &pending->order, MST_ORDER_DOWN);
			g_ptr_array_remove_index(worker->unsent, i);
		} else if (pending->send_by_us <= sim_worker_now_us(worker)) {
			report_unsent(worker, pending);
			g_ptr_array_remove_index(worker->unsent, i);
		} else if (has_free_connection(worker)) {
			transmit_order(
			    worker, g_ptr_array_steal_index(worker->unsent, i));
		} else {
			i++;
		}
	}
}

void
sim_worker_send_order(struct sim_worker *worker, const struct mst_order *order)
{
	if (worker->down_until_us > 0)
		answer_with_fault(worker, order, MST_ORDER_DOWN);
	else if (worker->order_fault != MST_ORDER_DONE)
		answer_with_fault(worker, order, worker->order_fault);
	else if (has_free_connection(worker))
		transmit_order(worker, order_copy_new(order));
	else
		hold_order(worker, order_copy_new(order));
}
