#include "runtime/metrics.h"

#include <inttypes.h>

#include "base/input_fault.h"
#include "base/log.h"
#include "runtime/drivers.h"

void
metrics_add_family(
    GString *out, const char *name, const char *type, const char *help)
{
	g_string_append_printf(out,
	    "# HELP masticstall_%s %s\n# TYPE masticstall_%s %s\n", name, help,
	    name, type);
}

void
metrics_add_sample(GString *out, const char *name, const char *label,
    const char *label_value, double value)
{
	g_string_append_printf(out, "masticstall_%s", name);
	if (label != NULL)
		g_string_append_printf(out, "{%s=\"%s\"}", label, label_value);
	g_string_append_printf(out, " %.17g\n", value);
}

void
metrics_add_single(GString *out, const char *name, const char *type,
    const char *help, double value)
{
	metrics_add_family(out, name, type, help);
	metrics_add_sample(out, name, NULL, NULL, value);
}

void
metrics_add_histogram(GString *out, const char *name, const char *label,
    const char *label_value, const struct mst_histogram *histogram)
{
	uint64_t cumulative = 0;
	int i;

	for (i = 0; i < MST_HISTOGRAM_BOUND_COUNT; i++) {
		cumulative += histogram->counts[i];
		g_string_append_printf(out,
		    "masticstall_%s_bucket{%s=\"%s\",le=\"%g\"} %" PRIu64 "\n",
		    name, label, label_value,
		    (double)mst_histogram_bounds_us[i] / G_USEC_PER_SEC,
		    cumulative);
	}
	g_string_append_printf(out,
	    "masticstall_%s_bucket{%s=\"%s\",le=\"+Inf\"} %" PRIu64 "\n"
	    "masticstall_%s_sum{%s=\"%s\"} %.6f\n"
	    "masticstall_%s_count{%s=\"%s\"} %" PRIu64 "\n",
	    name, label, label_value, histogram->count, name, label,
	    label_value, histogram->sum_us / G_USEC_PER_SEC, name, label,
	    label_value, histogram->count);
}

static void
add_input_faults(GString *out)
{
	int kind, fault;

	metrics_add_family(out, "inputs_refused_total", "counter",
	    "Input of other processes that was ignored for a fault.");
	for (kind = 1; kind < INPUT_KIND_MAX; kind++) {
		for (fault = 1; fault < INPUT_FAULT_KIND_MAX; fault++) {
			uint64_t count = input_fault_count(kind, fault);

			if (count > 0)
				g_string_append_printf(out,
				    "masticstall_inputs_refused_total"
				    "{input=\"%s\",fault=\"%s\"} %" PRIu64 "\n",
				    input_kind_name(kind),
				    input_fault_kind_name(fault), count);
		}
	}
}

void
metrics_add_process(GString *out, const struct mst_histogram *lag)
{
	const struct mst_log_counters *log = mst_log_counters();

	metrics_add_family(out, "loop_lag_seconds", "histogram",
	    "Time by which the loop's ticks were late.");
	metrics_add_histogram(out, "loop_lag_seconds", "timer", "tick", lag);
	metrics_add_single(out, "log_lines_total", "counter", "Lines logged.",
	    (double)log->lines);
	metrics_add_single(out, "log_summed_total", "counter",
	    "Lines left out as their event came too often.",
	    (double)log->suppressed);
	metrics_add_single(out, "log_dropped_total", "counter",
	    "Lines left out as nobody read them.", (double)log->dropped);
	add_input_faults(out);
}

void
metrics_add_clients(GString *out, const struct http_guard *guard)
{
	const struct http_guard_counters *counters = http_guard_counters(guard);
	struct http_guard_gauges gauges = http_guard_gauges(guard);
	int i;

	metrics_add_single(out, "client_connections", "gauge",
	    "Connections to the HTTP servers.", gauges.connections);
	metrics_add_single(out, "client_connections_paused", "gauge",
	    "Of these, connections not read from for want of room.",
	    gauges.paused);
	metrics_add_single(out, "client_bytes", "gauge",
	    "Memory of requests and responses under way.",
	    (double)gauges.bytes);
	metrics_add_single(out, "client_connections_total", "counter",
	    "Connections accepted.", (double)counters->accepted);
	metrics_add_single(out, "client_connections_refused_total", "counter",
	    "Connections closed at once: all others have requests.",
	    (double)counters->refused);
	metrics_add_single(out, "client_pauses_total", "counter",
	    "Times that a connection was not read from for want of room.",
	    (double)counters->pauses);
	metrics_add_family(out, "client_connections_cut_total", "counter",
	    "Connections closed because of what their clients did.");
	for (i = 1; i < HTTP_CUT_MAX; i++)
		metrics_add_sample(out, "client_connections_cut_total",
		    "reason", http_cut_name(i), (double)counters->cut[i]);
}

void
metrics_add_loop(GString *out, const struct runtime_loop_load *load)
{
	metrics_add_single(out, "loop_busy_seconds_total", "counter",
	    "Time in which the loop handled events.",
	    (double)load->busy_us / G_USEC_PER_SEC);
	metrics_add_single(out, "loop_iterations_total", "counter",
	    "Times that the loop has waited for events.",
	    (double)load->iterations);
	metrics_add_single(out, "cpu_seconds_total", "counter",
	    "Processor time of all threads.",
	    (double)load->cpu_us / G_USEC_PER_SEC);
}

static void
add_event_times(GString *out, const int64_t *event_us)
{
	int type;

	metrics_add_family(out, "event_seconds_total", "counter",
	    "Time in which events were handled, by kind.");
	for (type = MST_ENTRY_EV_TICK; type < MST_ENTRY_EV_MAX; type++) {
		if (event_us[type] > 0)
			metrics_add_sample(out, "event_seconds_total", "event",
			    mst_entry_event_name(type),
			    (double)event_us[type] / G_USEC_PER_SEC);
	}
}

static void
add_counters_by_reason(
    GString *out, const char *name, const char *help, const uint64_t *counts)
{
	int i;

	metrics_add_family(out, name, "counter", help);
	for (i = 1; i < MST_REASON_MAX; i++) {
		if (counts[i] > 0)
			metrics_add_sample(out, name, "reason",
			    mst_reason_name(i), (double)counts[i]);
	}
}

/* Adds what is known of starts that may still be executed. */
static void
add_bound_tasks(GString *out, const struct mst_entry_counters *counters)
{
	metrics_add_single(out, "starts_confirmed_total", "counter",
	    "Starts of sent tasks that their agents have confirmed.",
	    (double)counters->starts_confirmed);
	metrics_add_single(out, "tasks_bound_total", "counter",
	    "Tasks that may run again at one host only.",
	    (double)counters->tasks_bound);
	metrics_add_family(out, "bound_waits_total", "counter",
	    "Bound tasks that waited for a host, by how that ended.");
	metrics_add_sample(out, "bound_waits_total", "end", "returned",
	    (double)counters->bound_tasks_returned);
	metrics_add_sample(out, "bound_waits_total", "end", "released",
	    (double)counters->bound_tasks_released);
	metrics_add_sample(out, "bound_waits_total", "end", "settled",
	    (double)counters->bound_tasks_settled);
	metrics_add_sample(out, "bound_waits_total", "end", "unrun",
	    (double)counters->bound_tasks_unrun);
	metrics_add_single(out, "starts_told_total", "counter",
	    "Messages to other entries about uncertain starts.",
	    (double)counters->starts_told);
	metrics_add_single(out, "starts_untold_total", "counter",
	    "Tasks with uncertain starts that others were not told of.",
	    (double)counters->starts_untold);
	metrics_add_single(out, "starts_backed_up_total", "counter",
	    "Starts that another entry was told of when they were sent.",
	    (double)counters->starts_backed_up);
	metrics_add_single(out, "backups_sent_total", "counter",
	    "Messages to that entry.", (double)counters->backups_sent);
	metrics_add_single(out, "starts_not_kept_total", "counter",
	    "Starts of other entries that were too many to keep.",
	    (double)counters->starts_not_kept);
	metrics_add_single(out, "kept_starts_told_total", "counter",
	    "Starts that were told after their entry was lost.",
	    (double)counters->kept_starts_told);
	metrics_add_single(out, "members_unproven_total", "counter",
	    "Agents heard from while another one of their name was.",
	    (double)counters->members_unproven);
}

/* Adds what became of jobs, and of the records of stored ones. */
static void
add_job_counters(GString *out, const struct mst_entry_counters *counters)
{
	metrics_add_single(out, "jobs_total", "counter", "Jobs accepted.",
	    (double)counters->jobs);
	metrics_add_single(out, "jobs_complete_total", "counter",
	    "Jobs closed complete.", (double)counters->jobs_complete);
	metrics_add_single(out, "jobs_failed_total", "counter",
	    "Jobs closed failed.", (double)counters->jobs_failed);
	metrics_add_single(out, "jobs_adopted_total", "counter",
	    "Jobs taken over from another entry.",
	    (double)counters->jobs_adopted);
	metrics_add_single(out, "jobs_stored_total", "counter",
	    "Jobs accepted once they were stored.",
	    (double)counters->jobs_stored);
	metrics_add_single(out, "jobs_taken_total", "counter",
	    "Stored jobs taken over from a lost owner.",
	    (double)counters->jobs_taken_over);
	metrics_add_single(out, "jobs_dropped_total", "counter",
	    "Stored jobs given up as ownership was lost.",
	    (double)counters->jobs_dropped);
	metrics_add_single(out, "store_operations_total", "counter",
	    "Operations on records.", (double)counters->store_ops);
	metrics_add_single(out, "store_conflicts_total", "counter",
	    "Changes of records that others had overtaken.",
	    (double)counters->store_conflicts);
	metrics_add_single(out, "store_failures_total", "counter",
	    "Operations refused as busy or left without an answer.",
	    (double)counters->store_failures);
	add_counters_by_reason(out, "jobs_refused_total",
	    "Jobs refused, not run.", counters->jobs_refused);
	metrics_add_single(out, "jobs_shed_total", "counter",
	    "Jobs refused because this process is short of processor.",
	    (double)counters->jobs_shed);
}

/* Adds what became of tasks, and the messages about them. */
static void
add_task_counters(GString *out, const struct mst_entry_counters *counters)
{
	int i;

	metrics_add_single(out, "tasks_total", "counter", "Tasks accepted.",
	    (double)counters->tasks);
	metrics_add_family(
	    out, "task_outcomes_total", "counter", "Final outcomes.");
	for (i = 1; i <= MST_OUTCOME_UNKNOWN; i++)
		metrics_add_sample(out, "task_outcomes_total", "outcome",
		    mst_outcome_name(i), (double)counters->outcomes[i]);
	metrics_add_single(out, "dispatches_total", "counter",
	    "Tasks sent to agents.", (double)counters->dispatches);
	metrics_add_single(out, "placement_checks_total", "counter",
	    "Members looked at to place tasks.",
	    (double)counters->placement_checks);
	metrics_add_family(out, "wasted_total", "counter",
	    "Messages that need not have been sent, by cause.");
	metrics_add_sample(out, "wasted_total", "cause", "dispatch-repeated",
	    (double)counters->dispatches_repeated);
	metrics_add_sample(
	    out, "wasted_total", "cause", "retry", (double)counters->retries);
	metrics_add_sample(out, "wasted_total", "cause", "withdrawal",
	    (double)counters->withdrawals);
	metrics_add_sample(out, "wasted_total", "cause", "result-late",
	    (double)counters->results_late);
	metrics_add_sample(out, "wasted_total", "cause", "result-repeated",
	    (double)counters->results_repeated);
}

static void
add_entry_counters(GString *out, const struct mst_entry_counters *counters)
{
	add_job_counters(out, counters);
	add_task_counters(out, counters);
	add_bound_tasks(out, counters);
	metrics_add_single(out, "crashed_runs_total", "counter",
	    "Runs that ended because their worker crashed.",
	    (double)counters->crashed_runs);
	metrics_add_single(out, "suspect_jobs_total", "counter",
	    "Jobs that were to run alone, as workers crashed under them.",
	    (double)counters->suspect_jobs);
	metrics_add_single(out, "quarantines_total", "counter",
	    "Restrictions of queues whose jobs crash workers.",
	    (double)counters->quarantines);
	add_counters_by_reason(out, "tasks_returned_total",
	    "Tasks that agents gave back, not run.", counters->requeued);
	metrics_add_single(out, "ejections_total", "counter",
	    "Members taken out for their failures.",
	    (double)counters->ejections);
	metrics_add_single(out, "members_lost_total", "counter",
	    "Members lost by silence.", (double)counters->members_lost);
	metrics_add_single(out, "incarnations_total", "counter",
	    "Incarnations of this process.", (double)counters->incarnations);
}

static void
add_entry_gauges(GString *out, const struct mst_entry_gauges *gauges)
{
	metrics_add_single(
	    out, "jobs_open", "gauge", "Open jobs.", gauges->jobs_open);
	metrics_add_single(
	    out, "jobs_kept", "gauge", "Closed jobs kept.", gauges->jobs_kept);
	metrics_add_single(out, "tasks_waiting", "gauge", "Tasks not sent.",
	    gauges->tasks_waiting);
	metrics_add_single(
	    out, "tasks_sent", "gauge", "Tasks at agents.", gauges->tasks_sent);
	metrics_add_single(
	    out, "members", "gauge", "Members known.", gauges->members);
	metrics_add_single(out, "members_active", "gauge",
	    "Members that may get work.", gauges->members_active);
	metrics_add_single(out, "members_cold", "gauge",
	    "Active members that are still warming up.", gauges->members_cold);
	metrics_add_single(out, "free_slots", "gauge",
	    "Free slots of the active members, as they last told.",
	    gauges->free_slots);
	metrics_add_single(
	    out, "peers", "gauge", "Other entries.", gauges->peers);
	metrics_add_single(out, "teams", "gauge", "Teams seen.", gauges->teams);
	metrics_add_single(out, "teams_quarantined", "gauge",
	    "Teams whose jobs crash workers.", gauges->teams_quarantined);
	metrics_add_single(out, "members_quarantined", "gauge",
	    "Members for the jobs of such teams.", gauges->members_quarantined);
	metrics_add_single(out, "job_bytes", "gauge", "Memory of jobs.",
	    (double)gauges->bytes);
	metrics_add_single(out, "config_version", "gauge",
	    "Configuration in force.", (double)gauges->config_version);
}

static void
add_withheld_tasks(GString *out, const uint32_t *counts)
{
	int i;

	metrics_add_family(out, "tasks_withheld", "gauge",
	    "Waiting tasks kept from members that could start them.");
	for (i = MST_PREFER_NONE + 1; i < MST_PREFERENCE_MAX; i++)
		metrics_add_sample(out, "tasks_withheld", "by",
		    mst_preference_name(i), counts[i]);
}

/* Adds a sample of a domain, whose name agents choose. */
static void
add_domain_sample(
    GString *out, const char *name, const char *domain, double value)
{
	GString *escaped = g_string_new(domain);

	g_string_replace(escaped, "\\", "\\\\", 0);
	g_string_replace(escaped, "\"", "\\\"", 0);
	g_string_replace(escaped, "\n", "\\n", 0);
	metrics_add_sample(out, name, "domain", escaped->str, value);
	g_string_free(escaped, TRUE);
}

static void
add_domains(GString *out, const GArray *domains)
{
	guint i;

	metrics_add_family(out, "domain_drained", "gauge",
	    "Whether the failure domain is drained.");
	for (i = 0; i < domains->len; i++) {
		const struct domain_figures *domain =
		    &g_array_index(domains, struct domain_figures, i);

		add_domain_sample(
		    out, "domain_drained", domain->name, domain->drained);
	}
	metrics_add_family(out, "domain_running", "gauge",
	    "Tasks of this entry at the agents of the failure domain.");
	for (i = 0; i < domains->len; i++) {
		const struct domain_figures *domain =
		    &g_array_index(domains, struct domain_figures, i);

		add_domain_sample(
		    out, "domain_running", domain->name, domain->running);
	}
}

static void
add_bus_counters(GString *out, const struct mst_bus_counters *counters)
{
	int i;

	metrics_add_family(
	    out, "messages_sent_total", "counter", "Messages sent, by type.");
	for (i = 1; i < MST_MSG_MAX; i++)
		metrics_add_sample(out, "messages_sent_total", "type",
		    mst_msg_type_name(i), (double)counters->sent[i]);
	metrics_add_family(out, "messages_received_total", "counter",
	    "Messages received, by type.");
	for (i = 1; i < MST_MSG_MAX; i++)
		metrics_add_sample(out, "messages_received_total", "type",
		    mst_msg_type_name(i), (double)counters->received[i]);
	metrics_add_single(out, "messages_dropped_total", "counter",
	    "Malformed messages.", (double)counters->dropped);
	metrics_add_single(out, "messages_unroutable_total", "counter",
	    "Messages without a way to their receiver.",
	    (double)counters->unroutable);
	metrics_add_single(out, "message_bytes_sent_total", "counter",
	    "Bytes of messages sent.", (double)counters->bytes_sent);
	metrics_add_single(out, "message_bytes_received_total", "counter",
	    "Bytes of messages received.", (double)counters->bytes_received);
}

static void
add_frontend_figures(GString *out, const struct frontend_figures *figures)
{
	int i;

	metrics_add_family(out, "job_seconds", "histogram",
	    "Time from a job's arrival to its answer, by outcome.");
	for (i = 0; i < FRONTEND_OUTCOME_MAX; i++) {
		if (figures->job_times[i].count > 0)
			metrics_add_histogram(out, "job_seconds", "outcome",
			    frontend_outcome_name(i), &figures->job_times[i]);
	}
	metrics_add_family(out, "store_failures_in_a_row", "gauge",
	    "Calls to the store that have failed since the last success.");
	metrics_add_sample(out, "store_failures_in_a_row", "subject", "config",
	    figures->config_failures);
	metrics_add_sample(out, "store_failures_in_a_row", "subject", "entries",
	    figures->entries_failures);
	metrics_add_single(out, "config_age_seconds", "gauge",
	    "Time since the configuration came into force.",
	    figures->config_age_s);
}

static void
add_table_counters(GString *out, const struct mst_table_counters *counters)
{
	metrics_add_single(out, "table_reads_total", "counter",
	    "Reads of the platform's table.", (double)counters->reads);
	metrics_add_single(out, "table_writes_total", "counter",
	    "Writes to the platform's table.", (double)counters->writes);
	metrics_add_single(out, "table_failures_total", "counter",
	    "Requests to the table without a usable answer.",
	    (double)counters->failures);
}

GString *
metrics_format_entry(const struct entry_figures *figures)
{
	GString *out = g_string_new(NULL);

	add_entry_counters(out, figures->counters);
	add_entry_gauges(out, figures->gauges);
	add_withheld_tasks(out, figures->tasks_withheld);
	add_domains(out, figures->domains);
	add_bus_counters(out, figures->bus);
	metrics_add_process(out, figures->loop_lag);
	if (figures->http_guard != NULL)
		metrics_add_clients(out, figures->http_guard);
	if (figures->loop_load != NULL)
		metrics_add_loop(out, figures->loop_load);
	if (figures->event_us != NULL)
		add_event_times(out, figures->event_us);
	if (figures->frontend != NULL)
		add_frontend_figures(out, figures->frontend);
	if (figures->table != NULL)
		add_table_counters(out, figures->table);
	return out;
}

/* Adds what an agent has done for its entries. */
static void
add_dispatch_counters(GString *out, const struct mst_agent_counters *counters)
{
	metrics_add_single(out, "dispatches_received_total", "counter",
	    "Tasks received.", (double)counters->dispatches);
	metrics_add_single(out, "dispatch_duplicates_total", "counter",
	    "Tasks received again.", (double)counters->duplicates);
	metrics_add_single(out, "starts_total", "counter",
	    "Calls started on the upstream.", (double)counters->starts);
	metrics_add_single(out, "finished_total", "counter",
	    "Calls that have ended.", (double)counters->finished);
	metrics_add_single(out, "withdrawn_total", "counter",
	    "Tasks withdrawn before their start.", (double)counters->withdrawn);
	add_counters_by_reason(out, "refused_total",
	    "Tasks given back, not run.", counters->refused);
	metrics_add_single(out, "results_repeated_total", "counter",
	    "Results sent again.", (double)counters->results_repeated);
	metrics_add_single(out, "fences_total", "counter", "Fences asked for.",
	    (double)counters->fences);
}

/* Adds the counters of runs and starts at the worker of a leased agent. */
static void
add_run_counters(GString *out, const struct mst_agent_counters *counters)
{
	int i;

	metrics_add_single(out, "worker_lapses_total", "counter",
	    "Leases left to expire to make completions void.",
	    (double)counters->forced_expiries);
	metrics_add_single(out, "runs_lost_total", "counter",
	    "Runs that ended without a result.", (double)counters->runs_lost);
	metrics_add_single(out, "worker_crashes_total", "counter",
	    "Crashes of the worker while runs were in progress.",
	    (double)counters->crashes);
	metrics_add_single(out, "runs_unknown_total", "counter",
	    "Runs found on the worker that this agent had not started.",
	    (double)counters->runs_unknown);
	metrics_add_single(out, "starts_uncertain_total", "counter",
	    "Runs that ended while a start of them had no answer.",
	    (double)counters->starts_uncertain);
	metrics_add_family(out, "runs_ended_total", "counter",
	    "Runs that have ended, by what proves it.");
	for (i = MST_PROOF_UNSENT; i < MST_PROOF_MAX; i++)
		metrics_add_sample(out, "runs_ended_total", "proof",
		    mst_run_proof_name(i), (double)counters->runs_ended[i]);
	metrics_add_single(out, "reports_refused_total", "counter",
	    "Reports that are not of the worker's present incarnation.",
	    (double)counters->reports_refused);
	metrics_add_single(out, "starts_unnamed_total", "counter",
	    "Orders to start that did not name the worker.",
	    (double)counters->starts_unnamed);
	metrics_add_single(out, "starts_confirmed_total", "counter",
	    "Starts that were confirmed to their entries.",
	    (double)counters->starts_confirmed);
	metrics_add_single(out, "starts_told_total", "counter",
	    "Messages to other entries about uncertain starts.",
	    (double)counters->starts_told);
}

static void
add_order_counters(GString *out, const struct mst_agent_counters *counters)
{
	int i;

	metrics_add_single(out, "entry_leases_lapsed_total", "counter",
	    "Times that an entry's work was ended for its silence.",
	    (double)counters->leases_expired);
	metrics_add_family(
	    out, "orders_total", "counter", "Orders to the worker, by answer.");
	for (i = MST_ORDER_DONE; i <= MST_ORDER_INVALID; i++)
		metrics_add_sample(out, "orders_total", "answer",
		    mst_order_status_name(i), (double)counters->orders[i]);
	metrics_add_single(out, "orders_repeated_total", "counter",
	    "Orders to the worker that were sent again after a failure.",
	    (double)counters->orders_repeated);
	metrics_add_single(out, "offers_total", "counter",
	    "Free slots reserved for entries whose tasks wait.",
	    (double)counters->offers);
}

static void
add_agent_gauges(GString *out, const struct mst_agent_gauges *gauges)
{
	metrics_add_single(out, "drained", "gauge",
	    "Whether the failure domain is drained.", gauges->drained);
	metrics_add_single(
	    out, "running", "gauge", "Calls running.", gauges->running);
	metrics_add_single(
	    out, "queued", "gauge", "Tasks that wait.", gauges->queued);
	metrics_add_single(
	    out, "sessions", "gauge", "Entries known.", gauges->sessions);
	metrics_add_single(
	    out, "records", "gauge", "Task records kept.", gauges->runs_kept);
	metrics_add_single(out, "retained_bytes", "gauge",
	    "Memory of acknowledged results.", (double)gauges->retained_bytes);
	metrics_add_single(out, "config_version", "gauge",
	    "Configuration in force.", (double)gauges->config_version);
}

GString *
runtime_agent_metrics(const struct mst_agent_counters *counters,
    const struct mst_agent_gauges *gauges,
    const struct mst_bus_counters *bus_counters)
{
	GString *out = g_string_new(NULL);

	add_dispatch_counters(out, counters);
	add_run_counters(out, counters);
	add_order_counters(out, counters);
	add_agent_gauges(out, gauges);
	add_bus_counters(out, bus_counters);
	return out;
}
