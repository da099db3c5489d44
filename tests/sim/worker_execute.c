/* Execution of the orders of a simulated worker: its runs and its lease. */

#include <string.h>

#include "sim/worker_internal.h"

#define WORKER_LEASE_MAX_MS 1000 /* longest lease granted */

static int64_t
clock_to_sim_time_us(const struct sim_worker *worker, int64_t ms)
{
	return worker->started_us +
	    (int64_t)((double)ms * 1000 / WORKER_CLOCK_RATE);
}

static void
update_last_run_number(
    struct sim_worker *worker, const char *task, uint32_t run_number)
{
	guint last_number = GPOINTER_TO_UINT(
	    g_hash_table_lookup(worker->last_run_numbers, task));

	if (run_number > last_number)
		g_hash_table_replace(worker->last_run_numbers, g_strdup(task),
		    GUINT_TO_POINTER(run_number));
}

void
sim_worker_end_run(
    struct sim_worker *worker, guint run_index, enum mst_run_status status)
{
	struct sim_run *run = worker->runs->pdata[run_index];
	struct sim_completion *completion = g_new0(struct sim_completion, 1);

	completion->seq = ++worker->last_completion_seq;
	completion->task = g_strdup(run->task);
	completion->run_number = run->run_number;
	completion->status = status;
	completion->ended_us = sim_worker_now_us(worker);
	g_ptr_array_add(worker->completions, completion);
	update_last_run_number(worker, run->task, run->run_number);
	worker->callbacks.run_ended(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id, mst_bytes_from_str(run->task));
	g_ptr_array_remove_index(worker->runs, run_index);
}

static void
extend_lease(struct sim_worker *worker, int64_t end_ms)
{
	int64_t max_end_ms = sim_worker_clock_ms(worker) + WORKER_LEASE_MAX_MS;
	guint i;

	for (i = 0; sim_worker_clock_ms(worker) >= worker->lease_end_ms &&
	     i < worker->completions->len;
	     i++)
		((struct sim_completion *)worker->completions->pdata[i])
		    ->lease_lapsed = true;
	worker->lease_end_ms =
	    MAX(worker->lease_end_ms, MIN(end_ms, max_end_ms));
	worker->callbacks.schedule_timer_at(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id,
	    clock_to_sim_time_us(worker, worker->lease_end_ms) + 1);
}

static bool
has_free_capacity(const struct sim_worker *worker)
{
	uint32_t used_millicores = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++)
		used_millicores +=
		    ((const struct sim_run *)worker->runs->pdata[i])
			->needs.millicores;
	return used_millicores < worker->capacity.millicores;
}

static int
find_run(const struct sim_worker *worker, const char *task, uint32_t run_number)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct sim_run *run = worker->runs->pdata[i];

		if (run->run_number == run_number &&
		    strcmp(run->task, task) == 0)
			return (int)i;
	}
	return -1;
}

static enum mst_order_status
start_run(struct sim_worker *worker, struct sim_order *pending)
{
	const struct mst_order *order = &pending->order;
	const char *task = order->task.data;
	struct sim_task_result service;
	struct sim_run *run;

	if (find_run(worker, task, order->run) >= 0)
		return MST_ORDER_DONE;
	if (order->run <= GPOINTER_TO_UINT(g_hash_table_lookup(
			      worker->last_run_numbers, task)))
		return MST_ORDER_OLD_RUN;
	if (order->lease_end_ms <= sim_worker_clock_ms(worker))
		return MST_ORDER_LAPSED;
	if (!has_free_capacity(worker))
		return MST_ORDER_NO_ROOM;
	service = worker->callbacks.serve_run(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id, order->task);
	run = g_new0(struct sim_run, 1);
	run->task = g_strdup(task);
	run->run_number = order->run;
	run->needs.millicores = 1000;
	run->status = service.status < 500 ? MST_RUN_DONE : MST_RUN_FAILED;
	run->crashes = service.crashes;
	pending->answer_lost |= service.start_unanswered;
	run->end_us = service.duration_us < 0
	    ? G_MAXINT64
	    : sim_worker_now_us(worker) + service.duration_us;
	g_ptr_array_add(worker->runs, run);
	worker->callbacks.run_started(worker->callbacks.ctx,
	    worker->callbacks.agent_node_id, order->task);
	if (service.duration_us >= 0)
		worker->callbacks.schedule_timer_at(worker->callbacks.ctx,
		    worker->callbacks.agent_node_id, run->end_us);
	return MST_ORDER_DONE;
}

/* Lets a run end after a while, unless it is being stopped already. */
static void
begin_stop(struct sim_worker *worker, struct sim_run *run)
{
	int64_t end_us = sim_worker_now_us(worker) +
	    sim_worker_draw_time_us(worker, worker->stop_max_us);

	if (run->stopping || end_us >= run->end_us)
		return;
	run->stopping = true;
	run->crashes = false;
	run->status = MST_RUN_STOPPED;
	run->end_us = end_us;
	worker->callbacks.schedule_timer_at(
	    worker->callbacks.ctx, worker->callbacks.agent_node_id, end_us);
}

static enum mst_order_status
stop_run(struct sim_worker *worker, const struct mst_order *order)
{
	int run_index = find_run(worker, order->task.data, order->run);

	if (run_index >= 0 && worker->stop_max_us > 0)
		begin_stop(worker, worker->runs->pdata[run_index]);
	else if (run_index >= 0)
		sim_worker_end_run(worker, (guint)run_index, MST_RUN_STOPPED);
	update_last_run_number(worker, order->task.data, order->run);
	return MST_ORDER_DONE;
}

static void
drop_acked_completions(struct sim_worker *worker, uint64_t through_seq)
{
	while (worker->completions->len > 0) {
		const struct sim_completion *completion =
		    worker->completions->pdata[0];

		if (completion->seq > through_seq)
			break;
		if (!completion->lease_lapsed &&
		    sim_worker_clock_ms(worker) < worker->lease_end_ms)
			worker->callbacks.completion_acked(
			    worker->callbacks.ctx,
			    mst_bytes_from_str(completion->task),
			    completion->status, completion->ended_us);
		g_ptr_array_remove_index(worker->completions, 0);
	}
}

bool
sim_worker_execute_order(struct sim_worker *worker, struct sim_order *pending)
{
	const struct mst_order *order = &pending->order;
	enum mst_order_status status = MST_ORDER_DONE;

	if (order->worker_id.len > 0 &&
	    !mst_bytes_equal_str(order->worker_id, worker->id)) {
		sim_worker_send_answer(
		    worker, pending, MST_ORDER_OTHER_INCARNATION);
		return true;
	}
	if (order->fence < worker->fence) {
		sim_worker_send_answer(worker, pending, MST_ORDER_FENCED);
		return true;
	}
	worker->fence = order->fence;
	if (order->lease_end_ms > 0 &&
	    order->lease_end_ms > sim_worker_clock_ms(worker))
		extend_lease(worker, order->lease_end_ms);
	if (order->kind == MST_ORDER_START)
		status = start_run(worker, pending);
	else if (order->kind == MST_ORDER_STOP)
		status = stop_run(worker, order);
	else
		drop_acked_completions(worker, order->completions_acked);
	if (order->kind == MST_ORDER_RENEW && order->wait_ms > 0 &&
	    worker->completions->len == 0) {
		pending->wait_end_us =
		    sim_worker_now_us(worker) + (int64_t)order->wait_ms * 1000;
		worker->callbacks.schedule_timer_at(worker->callbacks.ctx,
		    worker->callbacks.agent_node_id, pending->wait_end_us);
		return false;
	}
	sim_worker_send_answer(worker, pending, status);
	return true;
}
