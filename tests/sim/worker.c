#include "sim/worker.h"

#include <string.h>

#define WORKER_LATENCY_US  200
#define WORKER_LEASE_MS    1000  /* longest that it grants */
#define WORKER_DRIFT       0.985 /* its clock is a little slow */
#define WORKER_LATE_MIN_US (2 * G_USEC_PER_SEC)
#define WORKER_LATE_US     (10 * G_USEC_PER_SEC)

struct sim_run {
	char *task;
	uint32_t number;
	int64_t ends_us; /* G_MAXINT64: never by itself */
	enum mst_run_status how;
	struct mst_resources needs;
};

struct sim_end {
	uint64_t seq;
	char *task;
	uint32_t number;
	enum mst_run_status how;
	int64_t at_us;
	bool lapsed; /* the lease lapsed since */
};

/* An order on its way, or a HOLD that waits. */
struct sim_order {
	struct mst_order order; /* strings owned */
	int64_t sent_us;
	int64_t arrives_us;
	int64_t waits_until_us; /* HOLD; 0: has not arrived */
	uint64_t life;          /* of the worker, when it was sent */
	bool silent;            /* its answer is lost */
};

struct sim_worker {
	struct sim_worker_callbacks host;
	struct mst_resources capacity;
	uint64_t life;
	int64_t born_us;
	uint64_t fence;
	int64_t lease_ms;
	uint64_t next_end;
	bool away;
	double late;
	GPtrArray *runs;   /* struct sim_run */
	GPtrArray *ends;   /* struct sim_end */
	GPtrArray *orders; /* struct sim_order */
	GHashTable *used;  /* task -> highest number stopped or ended */
};

static void
run_free(gpointer data)
{
	struct sim_run *run = data;

	g_free(run->task);
	g_free(run);
}

static void
end_free(gpointer data)
{
	struct sim_end *end = data;

	g_free(end->task);
	g_free(end);
}

static void
order_free(gpointer data)
{
	struct sim_order *order = data;

	g_free((char *)order->order.task.data);
	g_free((char *)order->order.spec.data);
	g_free(order);
}

static int64_t
now_us(const struct sim_worker *worker)
{
	return worker->host.now_us(worker->host.ctx);
}

static int64_t
clock_ms(const struct sim_worker *worker)
{
	double elapsed_us = (double)(now_us(worker) - worker->born_us);

	return (int64_t)(elapsed_us * WORKER_DRIFT / 1000) + 1;
}

static int64_t
time_of_clock_us(const struct sim_worker *worker, int64_t ms)
{
	return worker->born_us + (int64_t)((double)ms * 1000 / WORKER_DRIFT);
}

struct sim_worker *
sim_worker_new(const struct sim_worker_callbacks *host,
    const struct mst_resources *capacity)
{
	struct sim_worker *worker = g_new0(struct sim_worker, 1);

	worker->host = *host;
	worker->capacity = *capacity;
	worker->born_us = now_us(worker);
	worker->life = (uint64_t)(worker->born_us / 1000);
	worker->runs = g_ptr_array_new_with_free_func(run_free);
	worker->ends = g_ptr_array_new_with_free_func(end_free);
	worker->orders = g_ptr_array_new_with_free_func(order_free);
	worker->used =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return worker;
}

void
sim_worker_free(struct sim_worker *worker)
{
	if (worker == NULL)
		return;
	g_ptr_array_unref(worker->runs);
	g_ptr_array_unref(worker->ends);
	g_ptr_array_unref(worker->orders);
	g_hash_table_unref(worker->used);
	g_free(worker);
}

static void
number_use(struct sim_worker *worker, const char *task, uint32_t number)
{
	guint used = GPOINTER_TO_UINT(g_hash_table_lookup(worker->used, task));

	if (number > used)
		g_hash_table_replace(
		    worker->used, g_strdup(task), GUINT_TO_POINTER(number));
}

static void
run_end(struct sim_worker *worker, guint at, enum mst_run_status how)
{
	struct sim_run *run = worker->runs->pdata[at];
	struct sim_end *end = g_new0(struct sim_end, 1);

	end->seq = ++worker->next_end;
	end->task = g_strdup(run->task);
	end->number = run->number;
	end->how = how;
	end->at_us = now_us(worker);
	g_ptr_array_add(worker->ends, end);
	number_use(worker, run->task, run->number);
	worker->host.ended(
	    worker->host.ctx, worker->host.node, mst_bytes_from_str(run->task));
	g_ptr_array_remove_index(worker->runs, at);
}

static void
answer(struct sim_worker *worker, const struct sim_order *sent,
    enum mst_order_status status)
{
	struct mst_order_answer out = {.kind = sent->order.kind,
	    .id = sent->order.id,
	    .status = status,
	    .sent_us = sent->sent_us,
	    .clock_ms = clock_ms(worker)};
	struct mst_worker_run *running =
	    g_new0(struct mst_worker_run, worker->runs->len + 1);
	struct mst_worker_completion *ended =
	    g_new0(struct mst_worker_completion, worker->ends->len + 1);
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct sim_run *run = worker->runs->pdata[i];

		running[i].task = mst_bytes_from_str(run->task);
		running[i].run = run->number;
	}
	for (i = 0; i < worker->ends->len; i++) {
		const struct sim_end *end = worker->ends->pdata[i];

		ended[i].seq = end->seq;
		ended[i].task = mst_bytes_from_str(end->task);
		ended[i].run = end->number;
		ended[i].status = end->how;
	}
	if (sent->order.kind == MST_ORDER_RENEW && status == MST_ORDER_DONE) {
		out.incarnation = worker->life;
		out.running = running;
		out.running_count = worker->runs->len;
		out.completions = ended;
		out.completion_count = worker->ends->len;
	}
	if (!sent->silent && !worker->away)
		worker->host.answer(worker->host.ctx, worker->host.node, &out,
		    now_us(worker) + WORKER_LATENCY_US);
	g_free(running);
	g_free(ended);
}

/* Without an answer in time, the agent's client gives up. */
static void
expect_timeout(struct sim_worker *worker, const struct mst_order *order)
{
	struct mst_order_answer out = {.kind = order->kind,
	    .id = order->id,
	    .status = MST_ORDER_NO_ANSWER,
	    .sent_us = now_us(worker)};

	worker->host.answer(worker->host.ctx, worker->host.node, &out,
	    now_us(worker) + (int64_t)order->timeout_ms * 1000);
}

void
sim_worker_send_order(struct sim_worker *worker, const struct mst_order *order)
{
	struct sim_order *sent = g_new0(struct sim_order, 1);
	bool late = worker->late > 0 &&
	    worker->host.random_double(worker->host.ctx) < worker->late;

	sent->order = *order;
	sent->order.task.data = mst_bytes_to_str(order->task);
	sent->order.spec.data = mst_bytes_to_str(order->spec);
	sent->sent_us = now_us(worker);
	sent->arrives_us = sent->sent_us + WORKER_LATENCY_US;
	sent->life = worker->life;
	if (late) {
		sent->silent = true;
		sent->arrives_us += WORKER_LATE_MIN_US +
		    (int64_t)(worker->host.random_double(worker->host.ctx) *
			WORKER_LATE_US);
	}
	expect_timeout(worker, order);
	g_ptr_array_add(worker->orders, sent);
	worker->host.call_at(
	    worker->host.ctx, worker->host.node, sent->arrives_us);
}

static void
lease_extend(struct sim_worker *worker, int64_t until_ms)
{
	int64_t longest_ms = clock_ms(worker) + WORKER_LEASE_MS;
	guint i;

	for (i = 0;
	     clock_ms(worker) >= worker->lease_ms && i < worker->ends->len; i++)
		((struct sim_end *)worker->ends->pdata[i])->lapsed = true;
	worker->lease_ms = MAX(worker->lease_ms, MIN(until_ms, longest_ms));
	worker->host.call_at(worker->host.ctx, worker->host.node,
	    time_of_clock_us(worker, worker->lease_ms) + 1);
}

static bool
has_room(const struct sim_worker *worker)
{
	uint32_t used = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++)
		used += ((const struct sim_run *)worker->runs->pdata[i])
			    ->needs.millicores;
	return used < worker->capacity.millicores;
}

static int
run_find(const struct sim_worker *worker, const char *task, uint32_t number)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct sim_run *run = worker->runs->pdata[i];

		if (run->number == number && strcmp(run->task, task) == 0)
			return (int)i;
	}
	return -1;
}

static enum mst_order_status
order_start(struct sim_worker *worker, const struct mst_order *order)
{
	const char *task = order->task.data;
	struct sim_service service;
	struct sim_run *run;

	if (run_find(worker, task, order->run) >= 0)
		return MST_ORDER_DONE;
	if (order->run <=
	    GPOINTER_TO_UINT(g_hash_table_lookup(worker->used, task)))
		return MST_ORDER_OLD_RUN;
	if (order->lease_end_ms <= clock_ms(worker))
		return MST_ORDER_LAPSED;
	if (!has_room(worker))
		return MST_ORDER_NO_ROOM;
	service = worker->host.serve(
	    worker->host.ctx, worker->host.node, order->task);
	run = g_new0(struct sim_run, 1);
	run->task = g_strdup(task);
	run->number = order->run;
	run->needs.millicores = 1000;
	run->how = service.status < 500 ? MST_RUN_DONE : MST_RUN_FAILED;
	run->ends_us = service.duration_us < 0
	    ? G_MAXINT64
	    : now_us(worker) + service.duration_us;
	g_ptr_array_add(worker->runs, run);
	worker->host.started(worker->host.ctx, worker->host.node, order->task);
	if (service.duration_us >= 0)
		worker->host.call_at(
		    worker->host.ctx, worker->host.node, run->ends_us);
	return MST_ORDER_DONE;
}

static enum mst_order_status
order_stop(struct sim_worker *worker, const struct mst_order *order)
{
	int at = run_find(worker, order->task.data, order->run);

	if (at >= 0)
		run_end(worker, (guint)at, MST_RUN_STOPPED);
	number_use(worker, order->task.data, order->run);
	return MST_ORDER_DONE;
}

static void
forget_ends(struct sim_worker *worker, uint64_t upto)
{
	while (worker->ends->len > 0) {
		const struct sim_end *end = worker->ends->pdata[0];

		if (end->seq > upto)
			break;
		if (!end->lapsed && clock_ms(worker) < worker->lease_ms)
			worker->host.completion_acked(worker->host.ctx,
			    mst_bytes_from_str(end->task), end->how,
			    end->at_us);
		g_ptr_array_remove_index(worker->ends, 0);
	}
}

/* Carries out an order that has arrived; true when it is settled. */
static bool
order_arrive(struct sim_worker *worker, struct sim_order *sent)
{
	const struct mst_order *order = &sent->order;
	enum mst_order_status status = MST_ORDER_DONE;

	if (order->fence < worker->fence) {
		answer(worker, sent, MST_ORDER_FENCED);
		return true;
	}
	worker->fence = order->fence;
	if (order->lease_end_ms > 0 && order->lease_end_ms > clock_ms(worker))
		lease_extend(worker, order->lease_end_ms);
	if (order->kind == MST_ORDER_START)
		status = order_start(worker, order);
	else if (order->kind == MST_ORDER_STOP)
		status = order_stop(worker, order);
	else
		forget_ends(worker, order->completions_acked);
	if (order->kind == MST_ORDER_RENEW && order->wait_ms > 0 &&
	    worker->ends->len == 0) {
		sent->waits_until_us =
		    now_us(worker) + (int64_t)order->wait_ms * 1000;
		worker->host.call_at(
		    worker->host.ctx, worker->host.node, sent->waits_until_us);
		return false;
	}
	answer(worker, sent, status);
	return true;
}

static void
lapse_and_finish(struct sim_worker *worker)
{
	bool lapsed =
	    worker->runs->len > 0 && clock_ms(worker) >= worker->lease_ms;
	guint i = 0;

	while (i < worker->runs->len) {
		const struct sim_run *run = worker->runs->pdata[i];

		if (run->ends_us <= now_us(worker))
			run_end(worker, i, run->how);
		else if (lapsed)
			run_end(worker, i, MST_RUN_LAPSED);
		else
			i++;
	}
}

/* True when an order's turn has come and it is settled. */
static bool
order_advance(struct sim_worker *worker, struct sim_order *sent)
{
	if (sent->waits_until_us > 0) {
		if (worker->ends->len == 0 &&
		    now_us(worker) < sent->waits_until_us)
			return false;
		answer(worker, sent, MST_ORDER_DONE);
		return true;
	}
	if (sent->arrives_us > now_us(worker))
		return false;
	if (worker->away)
		return true;
	return order_arrive(worker, sent);
}

void
sim_worker_handle_timer(struct sim_worker *worker)
{
	guint i = 0;

	lapse_and_finish(worker);
	while (i < worker->orders->len) {
		if (order_advance(worker, worker->orders->pdata[i]))
			g_ptr_array_remove_index(worker->orders, i);
		else
			i++;
	}
}

void
sim_worker_restart(struct sim_worker *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++)
		worker->host.ended(worker->host.ctx, worker->host.node,
		    mst_bytes_from_str(
			((const struct sim_run *)worker->runs->pdata[i])
			    ->task));
	g_ptr_array_set_size(worker->runs, 0);
	g_ptr_array_set_size(worker->ends, 0);
	g_hash_table_remove_all(worker->used);
	worker->born_us = now_us(worker);
	worker->life = (uint64_t)(worker->born_us / 1000);
	worker->fence = 0;
	worker->lease_ms = 0;
	worker->next_end = 0;
}

void
sim_worker_drop_orders(struct sim_worker *worker)
{
	g_ptr_array_set_size(worker->orders, 0);
}

void
sim_worker_set_unavailable(struct sim_worker *worker, bool away)
{
	worker->away = away;
}

void
sim_worker_set_late_share(struct sim_worker *worker, double share)
{
	worker->late = share;
}

uint64_t
sim_worker_incarnation(const struct sim_worker *worker)
{
	return worker->life;
}

unsigned
sim_worker_running(const struct sim_worker *worker)
{
	return worker->runs->len;
}

const char *
sim_worker_first_task(const struct sim_worker *worker)
{
	return worker->runs->len > 0
	    ? ((const struct sim_run *)worker->runs->pdata[0])->task
	    : "";
}
