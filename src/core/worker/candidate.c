/*
 * Candidate: the last report that names another incarnation of the worker than
 * its answers show. It is verified by a renew order that names its id, which
 * only the worker of that id executes, and changes nothing before.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

/* Time between two attempts to verify a candidate. */
#define CANDIDATE_RETRY_US (20 * 1000)

static void
free_report(struct mst_worker_report *report)
{
	g_free((char *)report->id.data);
	g_free((char *)report->service.data);
	g_free((char *)report->rack.data);
	g_free((char *)report->labels.data);
	*report = (struct mst_worker_report){0};
}

void
mst_candidate_clear(struct candidate *candidate)
{
	free_report(&candidate->report);
	*candidate = (struct candidate){0};
}

static bool
is_same_report(
    const struct candidate *candidate, const struct mst_worker_report *report)
{
	return candidate->is_set &&
	    candidate->report.incarnation == report->incarnation &&
	    mst_bytes_equal_str(report->id, candidate->report.id.data);
}

/* A repeated report keeps the order that verifies the first one. */
void
mst_candidate_set(struct mst_agent *agent,
    const struct mst_worker_report *report, bool is_kept)
{
	struct candidate *candidate = &agent->worker.candidate;
	struct candidate next = {
	    .is_set = true, .is_kept = is_kept, .report = *report};

	if (is_same_report(candidate, report)) {
		if (report->seq < candidate->report.seq)
			return;
		next.renewal = candidate->renewal;
		next.failures = candidate->failures;
		next.due_us = candidate->due_us;
	}
	next.report.id.data = mst_bytes_to_str(report->id);
	next.report.service.data = mst_bytes_to_str(report->service);
	next.report.rack.data = mst_bytes_to_str(report->rack);
	next.report.labels.data = mst_bytes_to_str(report->labels);
	mst_candidate_clear(candidate);
	*candidate = next;
	mst_candidate_tick(agent);
}

/* Nothing is started until the id is verified again. */
static void
verify_id_again(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;
	const struct mst_worker_report report = {
	    .id = mst_bytes_from_str(worker->id),
	    .service = mst_bytes_from_str(worker->service),
	    .rack = mst_bytes_from_str(agent->rack),
	    .labels = mst_bytes_from_str(worker->labels),
	    .incarnation = worker->incarnation,
	    .seq = worker->report_seq,
	    .capacity = agent->options.resources,
	    .cold_ms = mst_worker_cold_ms(agent),
	    .draining = worker->draining};

	if (!worker->candidate.is_set) {
		mst_candidate_set(agent, &report, worker->report_is_kept);
		worker->candidate.is_doubted = true;
	}
	/* Its bytes are kept until the end of the step. */
	mst_identity_set(agent, (struct mst_bytes){0});
}

void
mst_candidate_handle_refusal(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	const struct worker *worker = &agent->worker;

	if (answer->kind == MST_ORDER_START &&
	    answer->status == MST_ORDER_OTHER_INCARNATION &&
	    worker->id != NULL && answer->sent_us >= worker->id_us)
		verify_id_again(agent);
}

/* The order renews no lease and acknowledges nothing: it may be executed by a
 * worker of which nothing is known yet. */
static void
send_renewal(struct mst_agent *agent, struct candidate *candidate)
{
	struct mst_order *order;

	candidate->renewal = (struct renewal){
	    .id = ++agent->next_handle, .fence = agent->worker.fence};
	order = mst_worker_emit_order(
	    agent, MST_ORDER_RENEW, candidate->renewal.id);
	order->worker_id = candidate->report.id;
}

/* A worker that does not answer is left to the renewals of its lease. */
void
mst_candidate_tick(struct mst_agent *agent)
{
	struct candidate *candidate = &agent->worker.candidate;

	if (!candidate->is_set || candidate->renewal.id != 0 ||
	    agent->now_us < candidate->due_us)
		return;
	if (candidate->failures > 0 && agent->worker.renew_failures > 0)
		return;
	send_renewal(agent, candidate);
}

static void
apply_candidate(struct mst_agent *agent, struct candidate *candidate)
{
	candidate->is_set = false;
	candidate->renewal.id = 0;
	mst_worker_apply_report(agent, &candidate->report, candidate->is_kept);
}

static void
refuse_candidate(struct mst_agent *agent, struct candidate *candidate)
{
	candidate->is_set = false;
	candidate->renewal.id = 0;
	if (!candidate->is_doubted)
		mst_worker_refuse_report(agent, &candidate->report);
}

void
mst_candidate_compare(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	const struct worker *worker = &agent->worker;
	struct candidate *candidate = &agent->worker.candidate;

	if (answer->id != candidate->renewal.id && candidate->is_set &&
	    !candidate->is_doubted && worker->id == NULL &&
	    worker->incarnation != 0 &&
	    candidate->report.incarnation == worker->incarnation)
		apply_candidate(agent, candidate);
}

/* Returns true if the answer to an order that named the candidate's id shows
 * its incarnation as well. An answer that tells none cannot show a new one
 * under the same id. */
static bool
is_confirmed(const struct worker *worker, const struct mst_order_answer *answer)
{
	const struct mst_worker_report *report = &worker->candidate.report;

	if (report->incarnation == 0 || answer->incarnation != 0)
		return report->incarnation == 0 ||
		    report->incarnation == answer->incarnation;
	return worker->id == NULL ||
	    !mst_bytes_equal_str(report->id, worker->id);
}

/* Takes the incarnation from the candidate if the answer tells none. */
static void
confirm(struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct candidate *candidate = &agent->worker.candidate;

	if (answer->incarnation == 0)
		mst_worker_take_id(
		    agent, candidate->report.id, candidate->report.incarnation);
	apply_candidate(agent, candidate);
	mst_identity_confirm(agent);
}

struct renewal
mst_candidate_handle_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct candidate *candidate = &agent->worker.candidate;
	struct renewal renewal = candidate->renewal;

	candidate->renewal.id = 0;
	if (answer->status == MST_ORDER_DONE &&
	    is_confirmed(&agent->worker, answer)) {
		confirm(agent, answer);
	} else if (answer->status == MST_ORDER_DONE ||
	    answer->status == MST_ORDER_OTHER_INCARNATION) {
		refuse_candidate(agent, candidate);
	} else {
		candidate->failures++;
		candidate->due_us = agent->now_us + CANDIDATE_RETRY_US;
	}
	return renewal;
}
