/*
 * Confirmation of a worker's id: what follows once its present incarnation has
 * executed an order that names it.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

/* Returns true if the starts of a run named one other id than the worker's, so
 * that none of them can be executed any more, and the present incarnation has
 * not shown the run. */
static bool
is_settled_by(const struct run *run, const struct worker *worker)
{
	return run->seen_us < worker->heard_us &&
	    mst_worker_start_is_uncertain(run) && run->start_worker != 0 &&
	    run->start_worker != worker->id_hash && !run->start_workers_differ;
}

static void
settle_run(struct mst_agent *agent, struct run *run)
{
	run->start_unanswered = false;
	run->starts_open = 0;
	mst_worker_fail_run(
	    agent, run, MST_REASON_RUN_LOST, MST_PROOF_OTHER_ID);
}

void
mst_identity_confirm(struct mst_agent *agent)
{
	struct worker *worker = &agent->worker;
	GList *runs;
	GList *link;

	if (worker->id == NULL || worker->id_confirmed)
		return;
	worker->id_confirmed = true;
	if (worker->id_is_new)
		mst_worker_exclude_long_lease(agent);
	runs = mst_worker_list_runs(agent);
	for (link = runs; link != NULL; link = link->next) {
		if (is_settled_by(link->data, worker))
			settle_run(agent, link->data);
	}
	g_list_free(runs);
}

void
mst_identity_handle_done(struct mst_agent *agent,
    const struct mst_order_answer *answer, uint64_t named_id)
{
	const struct worker *worker = &agent->worker;

	if (named_id != 0 && named_id == worker->id_hash &&
	    answer->sent_us >= worker->id_us)
		mst_identity_confirm(agent);
}
