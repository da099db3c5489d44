/* Leased agents of a sim: their workers, and runs of one task at once. */

#include "sim/sim_internal.h"

#define WORLD_REPORT_US (500 * 1000)

static int64_t
worker_now_us(void *ctx)
{
	return ((const struct sim *)ctx)->now_us;
}

static void
worker_call_at(void *ctx, int node, int64_t at_us)
{
	sim_schedule(ctx, node, SIM_EVENT_WORKER_TIMER, at_us);
}

static void
worker_answer(
    void *ctx, int node, const struct mst_order_answer *answer, int64_t at_us)
{
	struct sim_event *h =
	    sim_schedule(ctx, node, SIM_EVENT_WORKER_ANSWER, at_us);

	h->answer = answer_copy_new(answer);
}

static struct sim_service
worker_serve(void *ctx, int node, struct mst_bytes task)
{
	struct sim *sim = ctx;
	const struct mst_dispatch_item item = {.path = task};

	return sim->options.service(sim->options.ctx, node, &item, sim->now_us);
}

static void
count_running(struct sim *sim, struct mst_bytes task, int change)
{
	char *key = mst_bytes_to_str(task);
	int count =
	    GPOINTER_TO_INT(g_hash_table_lookup(sim->running_counts, key)) +
	    change;

	if (count > 1) {
		sim->overlaps++;
		sim_log(sim, "OVERLAP of %s", key);
	}
	g_hash_table_replace(sim->running_counts, key, GINT_TO_POINTER(count));
}

static void
worker_started(void *ctx, int node, struct mst_bytes task)
{
	struct sim *sim = ctx;

	sim_log(sim, "%s runs %.*s", sim->nodes[node].name, (int)task.len,
	    task.data);
	sim->starts_total++;
	count_running(sim, task, 1);
	if (sim->options.stored_jobs) {
		char *name = mst_bytes_to_str(task);

		sim_task_started(sim, name);
		g_free(name);
	}
}

static void
worker_ended(void *ctx, int node, struct mst_bytes task)
{
	count_running(ctx, task, -1);
}

static void
worker_noted(
    void *ctx, struct mst_bytes task, enum mst_run_status how, int64_t ended_us)
{
	struct sim *sim = ctx;
	char *name = mst_bytes_to_str(task);

	if (sim->options.stored_jobs &&
	    (how == MST_RUN_DONE || how == MST_RUN_FAILED))
		sim_completion_acked(sim, name, how == MST_RUN_DONE, ended_us);
	g_free(name);
}

static double
worker_chance(void *ctx)
{
	return g_rand_double(((struct sim *)ctx)->rand);
}

int
sim_add_leased_agent(
    struct sim *sim, const char *name, const struct mst_resources *capacity)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct sim_worker_callbacks host = {.now_us = worker_now_us,
	    .call_at = worker_call_at,
	    .answer = worker_answer,
	    .serve = worker_serve,
	    .started = worker_started,
	    .ended = worker_ended,
	    .completion_acked = worker_noted,
	    .random_double = worker_chance,
	    .ctx = sim};
	int at;

	mst_agent_options_lease(&options, &sim->leases);
	at = sim_add_agent(sim, name, &options);
	host.node = at;
	sim->nodes[at].capacity = *capacity;
	sim->nodes[at].worker = sim_worker_new(&host, capacity);
	return at;
}

void
sim_set_worker_placement(
    struct sim *sim, int at, const char *rack, const char *labels)
{
	sim->nodes[at].rack = rack;
	sim->nodes[at].labels = labels;
}

struct sim_worker *
sim_get_worker(const struct sim *sim, int at)
{
	return sim->nodes[at].worker;
}

unsigned
sim_overlapping_runs(const struct sim *sim)
{
	return sim->overlaps;
}

/* The worker beside a leased agent reports about itself. */
void
sim_send_worker_report(struct sim *sim, int at)
{
	struct node *node = &sim->nodes[at];
	struct mst_worker_report report = {.id = mst_bytes_from_str(node->name),
	    .service = mst_bytes_from_str("service"),
	    .rack = mst_bytes_from_str(node->rack),
	    .labels = mst_bytes_from_str(node->labels),
	    .seq = ++node->report_seq,
	    .capacity = node->capacity};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};

	if (node->worker == NULL || sim->now_us < node->next_report_us)
		return;
	node->next_report_us = sim->now_us + WORLD_REPORT_US;
	report.incarnation = sim_worker_incarnation(node->worker);
	sim_step_agent(sim, at, &event);
}
