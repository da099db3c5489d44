/* Leased agents of a simulation and their workers; counts overlapping runs. */

#include "sim/sim_internal.h"

#include <inttypes.h>

#define WORKER_REPORT_INTERVAL_US (500 * 1000)

static int64_t
worker_now_us(void *ctx)
{
	return ((const struct sim *)ctx)->now_us;
}

static void
schedule_worker_timer(void *ctx, int node_id, int64_t at_us)
{
	sim_schedule(ctx, node_id, SIM_EVENT_WORKER_TIMER, at_us);
}

static void
schedule_worker_answer(void *ctx, int node_id,
    const struct mst_order_answer *answer, int64_t at_us)
{
	struct sim_event *event =
	    sim_schedule(ctx, node_id, SIM_EVENT_WORKER_ANSWER, at_us);

	event->answer = answer_copy_new(answer);
}

static struct sim_task_result
serve_task(void *ctx, int node_id, struct mst_bytes task)
{
	struct sim *sim = ctx;
	const struct mst_dispatch_item item = {.path = task};

	return sim->options.get_task_result(
	    sim->options.ctx, node_id, &item, sim->now_us);
}

static void
update_running_count(struct sim *sim, struct mst_bytes task, int delta)
{
	char *key = mst_bytes_to_str(task);
	int count =
	    GPOINTER_TO_INT(g_hash_table_lookup(sim->running_counts, key)) +
	    delta;

	if (count > 1) {
		sim->overlaps++;
		sim_log(sim, "VIOLATION: runs of %s overlap", key);
	}
	g_hash_table_replace(sim->running_counts, key, GINT_TO_POINTER(count));
}

static void
handle_run_start(void *ctx, int node_id, struct mst_bytes task)
{
	struct sim *sim = ctx;

	sim_log(sim, "%s runs %.*s", sim->nodes[node_id].name, (int)task.len,
	    task.data);
	sim->starts_total++;
	update_running_count(sim, task, 1);
	if (sim->options.stored_jobs) {
		char *name = mst_bytes_to_str(task);

		sim_task_started(sim, name);
		g_free(name);
	}
}

static void
handle_run_end(void *ctx, int node_id, struct mst_bytes task)
{
	update_running_count(ctx, task, -1);
}

static void
handle_completion_acked(void *ctx, struct mst_bytes task,
    enum mst_run_status status, int64_t ended_us)
{
	struct sim *sim = ctx;
	char *name = mst_bytes_to_str(task);

	if (sim->options.stored_jobs &&
	    (status == MST_RUN_DONE || status == MST_RUN_FAILED))
		sim_completion_acked(
		    sim, name, status == MST_RUN_DONE, ended_us);
	g_free(name);
}

static void
handle_worker_restart(void *ctx, int node_id)
{
	struct sim *sim = ctx;

	sim_log(sim, "%s worker up as %s, incarnation %" PRIu64,
	    sim->nodes[node_id].name, sim_worker_id(sim->nodes[node_id].worker),
	    sim_worker_incarnation(sim->nodes[node_id].worker));
	if (sim->options.worker_reports)
		sim_start_reports(sim, node_id);
}

static double
random_double(void *ctx)
{
	return g_rand_double(((struct sim *)ctx)->rand);
}

int
sim_add_leased_agent(
    struct sim *sim, const char *name, const struct mst_resources *capacity)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct sim_worker_callbacks callbacks = {.now_us = worker_now_us,
	    .schedule_timer_at = schedule_worker_timer,
	    .deliver_answer = schedule_worker_answer,
	    .serve_run = serve_task,
	    .run_started = handle_run_start,
	    .run_ended = handle_run_end,
	    .completion_acked = handle_completion_acked,
	    .restarted = handle_worker_restart,
	    .random_double = random_double,
	    .ctx = sim};
	int node_id;

	mst_agent_options_set_leases(&options, &sim->leases);
	node_id = sim_add_agent(sim, name, &options);
	callbacks.agent_node_id = node_id;
	callbacks.id = sim->nodes[node_id].name;
	sim->nodes[node_id].capacity = *capacity;
	sim->nodes[node_id].worker = sim_worker_new(&callbacks, capacity);
	if (sim->options.worker_reports)
		sim_start_reports(sim, node_id);
	return node_id;
}

void
sim_set_worker_placement(
    struct sim *sim, int node_id, const char *rack, const char *labels)
{
	sim->nodes[node_id].rack = rack;
	sim->nodes[node_id].labels = labels;
}

struct sim_worker *
sim_get_worker(const struct sim *sim, int node_id)
{
	return sim->nodes[node_id].worker;
}

unsigned
sim_overlap_count(const struct sim *sim)
{
	return sim->overlaps;
}

unsigned
sim_crash_count(const struct sim *sim)
{
	return sim->crashes;
}

unsigned
sim_restart_count(const struct sim *sim)
{
	return sim->restarts;
}

/* Returns true if the report of a node's worker is due. */
static bool
report_is_due(const struct sim *sim, const struct node *node)
{
	return node->worker != NULL && !sim_worker_is_down(node->worker) &&
	    sim->now_us >= node->next_report_us;
}

void
sim_send_worker_report(struct sim *sim, int node_id)
{
	struct node *node = &sim->nodes[node_id];
	struct mst_worker_report report;
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};

	if (!report_is_due(sim, node))
		return;
	node->next_report_us = sim->now_us + WORKER_REPORT_INTERVAL_US;
	node->report_seq++;
	report = sim_present_report(node);
	sim_step_agent(sim, node_id, &event);
}
