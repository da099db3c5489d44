/* Reports of a worker that are known to be of its present incarnation. */

#include "core/agent/agent_internal.h"
#include "core/id.h"
#include "core/worker/worker_internal.h"

/* Updates a field of this agent's description, which is sent to the entries
 * when it changes. */
static void
update_description(struct mst_agent *agent, char **text, struct mst_bytes value)
{
	if (*text != NULL && mst_bytes_equal_str(value, *text))
		return;
	g_free(*text);
	*text = mst_bytes_to_str(value);
	agent->description_version++;
}

/* Emits the state in a report, if it is new. A kept report does not show that
 * the worker still accepts tasks. */
static void
emit_reported_state(struct mst_agent *agent,
    const struct mst_worker_report *report, bool is_kept)
{
	const struct worker *worker = &agent->worker;

	if (is_kept)
		mst_worker_emit_state(agent, "kept-report");
	else if (!worker->has_reported || worker->report_is_kept ||
	    worker->draining != report->draining)
		mst_worker_emit_state(
		    agent, report->draining ? "draining" : "ready");
}

static void
keep_report(struct mst_agent *agent, const struct mst_worker_report *report)
{
	mst_agent_emit(agent, MST_AGENT_FX_KEEP_REPORT)->report = report;
}

void
mst_worker_apply_report(struct mst_agent *agent,
    const struct mst_worker_report *report, bool is_kept)
{
	struct worker *worker = &agent->worker;

	worker->report_seq = report->seq;
	if (worker->id == NULL || !mst_bytes_equal_str(report->id, worker->id))
		mst_identity_set(agent, report->id);
	emit_reported_state(agent, report, is_kept);
	update_description(agent, &worker->service, report->service);
	update_description(agent, &agent->rack, report->rack);
	update_description(agent, &worker->labels, report->labels);
	mst_worker_set_capacity(agent, &report->capacity);
	worker->draining = report->draining;
	/* The time in a kept report has passed in part. */
	if (!is_kept)
		mst_worker_set_cold(agent, report->cold_ms);
	if (!worker->has_reported)
		agent->next_heartbeat_us = agent->now_us;
	worker->has_reported = true;
	worker->report_is_kept = is_kept;
	if (worker->draining)
		mst_agent_refuse_queued(agent, NULL, MST_REASON_DRAINING);
	if (!is_kept)
		keep_report(agent, report);
}

void
mst_worker_refuse_report(
    struct mst_agent *agent, const struct mst_worker_report *report)
{
	struct mst_agent_effect *effect =
	    mst_agent_emit(agent, MST_AGENT_FX_REPORT_REFUSED);

	effect->report = report;
	effect->worker_incarnation = agent->worker.incarnation;
	agent->counters.reports_refused++;
}

void
mst_worker_apply_last_report(
    struct mst_agent *agent, const struct mst_worker_report *report)
{
	agent->worker.draining = true;
	keep_report(agent, report);
}
