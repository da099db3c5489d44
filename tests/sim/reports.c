/*
 * Reports of the simulated workers: each sends one at its start and then at an
 * interval. Some arrive late, and some come from another writer.
 */

#include "sim/sim_internal.h"

#define REPORT_INTERVAL_US   (500 * 1000)
#define REPORT_LATENCY_US    200
#define REPORT_LATE_MAX_US   (5 * G_USEC_PER_SEC)
#define KEPT_REPORT_DELAY_US (5 * 1000) /* to read it from the store */
#define ODD_CAPACITY         1000       /* of another writer, in millicores */

struct sim_report {
	struct mst_worker_report report; /* strings owned, but the placement */
	bool is_kept;
};

static struct sim_report *
report_copy_new(const struct mst_worker_report *report)
{
	struct sim_report *copy = g_new0(struct sim_report, 1);

	copy->report = *report;
	copy->report.id.data = mst_bytes_to_str(report->id);
	copy->report.service.data = mst_bytes_to_str(report->service);
	return copy;
}

void
sim_report_free(struct sim_report *report)
{
	if (report == NULL)
		return;
	g_free((char *)report->report.id.data);
	g_free((char *)report->report.service.data);
	g_free(report);
}

/* Sends a report to the agent, which arrives after a time. */
static void
send_report(struct sim *sim, int node_id,
    const struct mst_worker_report *report, int64_t delay_us)
{
	sim_schedule(sim, node_id, SIM_EVENT_REPORT, sim->now_us + delay_us)
	    ->report = report_copy_new(report);
}

struct mst_worker_report
sim_present_report(const struct node *node)
{
	return (struct mst_worker_report){
	    .id = mst_bytes_from_str(sim_worker_id(node->worker)),
	    .service = mst_bytes_from_str("service"),
	    .rack = mst_bytes_from_str(node->rack),
	    .labels = mst_bytes_from_str(node->labels),
	    .seq = node->report_seq,
	    .capacity = node->capacity,
	    .cold_ms = sim_worker_cold_ms(node->worker),
	    .incarnation = sim_worker_incarnation(node->worker)};
}

static int64_t
draw_late_us(struct sim *sim)
{
	return (int64_t)(g_rand_double(sim->rand) * REPORT_LATE_MAX_US);
}

/* Sends a worker's present report, and at times another copy of it that is late
 * and may arrive after reports of a later incarnation. */
static void
send_present_report(struct sim *sim, int node_id)
{
	struct node *node = &sim->nodes[node_id];
	struct mst_worker_report report;

	node->report_seq++;
	report = sim_present_report(node);
	send_report(sim, node_id, &report, REPORT_LATENCY_US);
	if (sim->options.late_report_probability > 0 &&
	    g_rand_double(sim->rand) < sim->options.late_report_probability)
		send_report(sim, node_id, &report, draw_late_us(sim));
}

void
sim_handle_report_due(struct sim *sim, const struct sim_event *event)
{
	int node_id = event->target_node_id;
	struct node *node = &sim->nodes[node_id];

	if (event->report_chain != node->report_chain ||
	    sim_worker_is_down(node->worker))
		return;
	send_present_report(sim, node_id);
	sim_schedule(sim, node_id, SIM_EVENT_REPORT_DUE,
	    sim->now_us + REPORT_INTERVAL_US)
	    ->report_chain = node->report_chain;
}

void
sim_start_reports(struct sim *sim, int node_id)
{
	struct node *node = &sim->nodes[node_id];

	node->report_seq = 0;
	node->report_chain++;
	sim_schedule(sim, node_id, SIM_EVENT_REPORT_DUE, sim->now_us)
	    ->report_chain = node->report_chain;
}

/* Keeps a report for the agent's next start, or none after the last one. */
static void
keep_report(struct node *node, const struct mst_worker_report *report)
{
	g_clear_pointer(&node->kept_report, sim_report_free);
	if (!report->shutting_down)
		node->kept_report = report_copy_new(report);
}

void
sim_handle_report(struct sim *sim, const struct sim_event *event)
{
	const struct sim_report *copy = event->report;
	struct node *node = &sim->nodes[event->target_node_id];
	struct mst_agent_event agent_event = {.type = copy->is_kept
		? MST_AGENT_EV_KEPT_REPORT
		: MST_AGENT_EV_REPORT,
	    .report = &copy->report};

	sim_step_agent(sim, event->target_node_id, &agent_event);
	if (!copy->is_kept)
		keep_report(node, &copy->report);
}

void
sim_load_kept_report(struct sim *sim, int node_id)
{
	const struct node *node = &sim->nodes[node_id];
	struct sim_event *event;

	if (node->kept_report == NULL)
		return;
	event = sim_schedule(
	    sim, node_id, SIM_EVENT_REPORT, sim->now_us + KEPT_REPORT_DELAY_US);
	event->report = report_copy_new(&node->kept_report->report);
	event->report->is_kept = true;
}

void
sim_send_odd_report(struct sim *sim, int node_id, enum sim_odd_report kind)
{
	struct mst_worker_report report =
	    sim_present_report(&sim->nodes[node_id]);

	sim_log(sim, "%s odd report %d", sim->nodes[node_id].name, kind);
	switch (kind) {
	case SIM_ODD_ID:
		report.id = mst_bytes_from_str("another");
		break;
	case SIM_ODD_ID_UNDATED:
		report.id = mst_bytes_from_str("another");
		report.incarnation = 0;
		break;
	case SIM_ODD_UNDATED:
		report.incarnation = 0;
		break;
	case SIM_ODD_FUTURE:
		report.incarnation += 3600 * 1000;
		break;
	case SIM_ODD_ENDLESS:
		report.incarnation = UINT64_MAX;
		break;
	case SIM_ODD_PAST:
		report.incarnation -= MIN(report.incarnation - 1, 3600 * 1000);
		break;
	case SIM_ODD_SEQ:
		report.seq = UINT64_MAX;
		break;
	case SIM_ODD_SERVICE:
		report.service = mst_bytes_from_str("unknown");
		report.capacity.millicores = ODD_CAPACITY;
		report.seq++;
		break;
	case SIM_ODD_DELETE:
		report = (struct mst_worker_report){
		    .id = report.id, .shutting_down = true};
		break;
	case SIM_ODD_DELETE_OTHER:
		report = (struct mst_worker_report){
		    .id = mst_bytes_from_str("another"), .shutting_down = true};
		break;
	case SIM_ODD_REPORTS:
		break;
	}
	send_report(sim, node_id, &report, REPORT_LATENCY_US);
}
