/*
 * Reports that arrive. A report may be late, kept by an earlier incarnation of
 * this agent, or from another sender. It is applied if it names the incarnation
 * that the worker's answers show; others become candidates, which candidate.c
 * verifies.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

/* Most reports by which a late one is behind the last one. */
#define REPORTS_LATE_MAX 64

/* Returns true if a report was sent before the last one. A number that is far
 * lower is no late report's: the last one was of another sender. */
static bool
is_late(const struct worker *worker, const struct mst_worker_report *report)
{
	return worker->id != NULL && report->seq < worker->report_seq &&
	    worker->report_seq - report->seq <= REPORTS_LATE_MAX;
}

/* Returns true if a report is of the incarnation that the worker's answers
 * show. A last report names the worker's id only. */
static bool
is_of_present(
    const struct worker *worker, const struct mst_worker_report *report)
{
	bool same_incarnation = report->incarnation == worker->incarnation;

	if (worker->id == NULL)
		return same_incarnation && worker->incarnation != 0;
	if (!mst_bytes_equal_str(report->id, worker->id))
		return false;
	return same_incarnation || report->incarnation == 0 ||
	    worker->incarnation == 0;
}

void
mst_worker_handle_report(
    struct mst_agent *agent, const struct mst_worker_report *report)
{
	const struct worker *worker = &agent->worker;

	if (!is_of_present(worker, report)) {
		if (report->shutting_down)
			mst_worker_refuse_report(agent, report);
		else
			mst_candidate_set(agent, report, false);
		return;
	}
	if (report->shutting_down)
		mst_worker_apply_last_report(agent, report);
	else if (!is_late(worker, report))
		mst_worker_apply_report(agent, report, false);
}

/* A kept report stands in for the first one of the same incarnation of the
 * worker, so that a restarted agent need not wait for the next report. */
void
mst_worker_handle_kept_report(
    struct mst_agent *agent, const struct mst_worker_report *report)
{
	const struct worker *worker = &agent->worker;

	if (worker->has_reported || worker->candidate.is_set ||
	    report->incarnation == 0)
		return;
	if (is_of_present(worker, report))
		mst_worker_apply_report(agent, report, true);
	else if (worker->incarnation == 0)
		mst_candidate_set(agent, report, true);
}
