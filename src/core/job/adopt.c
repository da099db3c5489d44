/*
 * Adoption of a job whose entry is lost: claims the job at its arbiter, fences
 * the earlier owners at their agents, collects the results and resumes the job.
 */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/adoption.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/place.h"

#define ADOPT_RESEND_US (200 * 1000)
#define RANK_STARTED    2 /* lowest rank of a task that may have started */

static void
fence_send(struct mst_entry *entry, const struct job *job, uint64_t agent,
    uint64_t fenced_entry, bool claim)
{
	struct mst_msg *msg = mst_entry_emit_msg(entry, agent, MST_MSG_FENCE);

	msg->fence.fenced_entry = fenced_entry;
	msg->fence.job = job->ticket.job;
	msg->fence.claim = claim;
}

static bool
arbiter_is_usable(const struct mst_entry *entry, const struct job *job)
{
	const struct member *arbiter =
	    mst_member_find(entry, job->ticket.arbiter);

	/* The arbiter must have recorded this entry's current roster, because
	 * a later adopter learns of this entry's members from the arbiter. */
	return arbiter != NULL && arbiter->state != MEMBER_JOINING &&
	    arbiter->state != MEMBER_GONE &&
	    arbiter->roster_version == entry->roster_version;
}

static void
adoption_send_fences(struct mst_entry *entry, struct job *job)
{
	struct adoption *adoption = job->adoption;
	guint i;

	adoption->next_send_us = entry->now_us + ADOPT_RESEND_US;
	if (!arbiter_is_usable(entry, job))
		return;
	if (!adoption->claimed) {
		fence_send(entry, job, job->ticket.arbiter,
		    adoption->claim_from, true);
		return;
	}
	for (i = 0; i < adoption->fences->len; i++) {
		const struct fence_state *fence =
		    &g_array_index(adoption->fences, struct fence_state, i);

		if (!fence->done)
			fence_send(entry, job, fence->agent,
			    fence->fenced_entry, false);
	}
}

void
mst_entry_adopt_job(struct mst_entry *entry, struct job *job)
{
	struct adoption *adoption = g_new0(struct adoption, 1);

	job->adoption = adoption;
	adoption->started_us = entry->now_us;
	adoption->claim_from = job->ticket.job.issuer;
	adoption->fences = g_array_new(FALSE, TRUE, sizeof(struct fence_state));
	adoption->earlier_results = g_new0(struct earlier_result, job->count);
	adoption->count = job->count;
	entry->counters.jobs_adopted++;
	adoption_send_fences(entry, job);
}

static void
adoption_fail(struct mst_entry *entry, struct job *job)
{
	job->may_have_run = true;
	mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_HISTORY_LOST);
}

/* Ends the adoption and drops the job without closing it, because its owner is
 * alive. The waiting requests are forwarded to the owner, or refused if this
 * entry receives no messages from it. */
static void
adoption_yield_to_owner(
    struct mst_entry *entry, struct job *job, uint64_t owner)
{
	bool can_forward = mst_entry_peer_is_alive(entry, owner);
	guint i;

	for (i = 0; i < job->requests->len; i++) {
		uint64_t request = g_array_index(job->requests, uint64_t, i);
		struct mst_entry_effect *effect = mst_entry_emit(entry,
		    can_forward ? MST_ENTRY_FX_FORWARD : MST_ENTRY_FX_REFUSE);

		effect->request = request;
		effect->peer = owner;
		effect->reason = MST_REASON_OWNER_UNREACHABLE;
		effect->may_have_run = true;
		effect->retry_after_ms = 1000;
		g_hash_table_remove(
		    entry->requests, mst_u64_to_pointer(request));
	}
	mst_job_drop(entry, job);
}

static void
fence_add(struct adoption *adoption, uint64_t fenced_entry, uint64_t agent)
{
	struct fence_state fence = {
	    .fenced_entry = fenced_entry, .agent = agent};
	guint i;

	for (i = 0; i < adoption->fences->len; i++) {
		const struct fence_state *existing =
		    &g_array_index(adoption->fences, struct fence_state, i);

		if (existing->fenced_entry == fenced_entry &&
		    existing->agent == agent)
			return;
	}
	g_array_append_val(adoption->fences, fence);
}

/* Returns how much an outcome tells about a task. A result replaces another one
 * of a lower rank. */
static int
outcome_rank(const struct mst_result_item *result)
{
	switch ((enum mst_outcome)result->outcome) {
	case MST_OUTCOME_DONE:
		return 3;
	case MST_OUTCOME_UNKNOWN:
		return 2;
	case MST_OUTCOME_NOT_RUN:
		return 1;
	case MST_OUTCOME_NONE:
		break;
	}
	return 0;
}

static void
earlier_result_merge(
    struct earlier_result *earlier, const struct mst_result_item *result)
{
	if (outcome_rank(result) <= outcome_rank(&earlier->result))
		return;
	g_free((char *)earlier->result.content_type.data);
	g_free((char *)earlier->result.body.data);
	earlier->result = *result;
	earlier->result.content_type.data = mst_bytes_dup(result->content_type);
	earlier->result.body.data = mst_bytes_dup(result->body);
}

static struct fence_state *
fence_find(struct adoption *adoption, uint64_t fenced_entry, uint64_t agent)
{
	guint i;

	for (i = 0; i < adoption->fences->len; i++) {
		struct fence_state *fence =
		    &g_array_index(adoption->fences, struct fence_state, i);

		if (fence->fenced_entry == fenced_entry &&
		    fence->agent == agent)
			return fence;
	}
	return NULL;
}

static bool
all_fences_are_done(const struct adoption *adoption)
{
	guint i;

	for (i = 0; i < adoption->fences->len; i++) {
		if (!g_array_index(adoption->fences, struct fence_state, i)
			 .done)
			return false;
	}
	return true;
}

/* Applies the results of the tasks that finished under earlier owners, then
 * closes the non-idempotent tasks that may have run but have no result. The
 * first failure closes the job, so may_have_run is set on all tasks first. */
static void
adoption_apply_results(struct mst_entry *entry, struct job *job,
    const struct earlier_result *earlier_results)
{
	uint32_t i;

	for (i = 0; i < job->count; i++)
		job->tasks[i].may_have_run =
		    outcome_rank(&earlier_results[i].result) >= RANK_STARTED;
	for (i = 0; i < job->count && job->state == MST_JOB_OPEN; i++) {
		if (earlier_results[i].result.outcome == MST_OUTCOME_DONE)
			mst_task_set_result(
			    entry, job, i, &earlier_results[i].result);
	}
	for (i = 0; i < job->count && job->state == MST_JOB_OPEN; i++) {
		if (earlier_results[i].result.outcome == MST_OUTCOME_UNKNOWN &&
		    (job->tasks[i].flags & MST_TASK_IDEMPOTENT) == 0)
			mst_task_close(entry, job, i, MST_OUTCOME_UNKNOWN,
			    earlier_results[i].result.reason);
	}
}

/* Applies the collected results and queues the remaining tasks. Must be called
 * only once all fences are done, because every start by an earlier owner is
 * known only then. */
static void
adoption_finish(struct mst_entry *entry, struct job *job)
{
	struct adoption *adoption = job->adoption;

	job->adoption = NULL;
	adoption_apply_results(entry, job, adoption->earlier_results);
	mst_adoption_free(adoption);
	if (job->state != MST_JOB_OPEN)
		return;
	mst_job_queue_all(entry, job);
	mst_entry_place_tasks(entry);
}

/* Handles the answer of an agent to a fence: collects the results of the fenced
 * entry's runs and fences that entry at the other agents of its roster. */
static void
handle_fence_answer(
    struct mst_entry *entry, struct job *job, const struct mst_msg *msg)
{
	const struct mst_fenced *answer = &msg->fenced;
	struct adoption *adoption = job->adoption;
	struct fence_state *fence =
	    fence_find(adoption, answer->fenced_entry, msg->from);
	bool running = false;
	uint32_t i;

	if (fence == NULL || fence->done)
		return;
	/* Refused, because the agent still receives heartbeats of the fenced
	 * entry. The fence is repeated by mst_adoption_tick. */
	if (answer->alive)
		return;
	if (answer->history_incomplete) {
		adoption_fail(entry, job);
		return;
	}
	for (i = 0; i < answer->count; i++) {
		const struct mst_fenced_item *item = &answer->items[i];

		if (item->index >= job->count) {
			adoption_fail(entry, job);
			return;
		}
		if (item->finished)
			earlier_result_merge(
			    &adoption->earlier_results[item->index],
			    &item->result);
		else
			running = true;
	}
	fence->done = !running;
	for (i = 0; i < answer->agent_count; i++)
		fence_add(adoption, answer->fenced_entry, answer->agents[i]);
	if (all_fences_are_done(adoption))
		adoption_finish(entry, job);
	else
		adoption_send_fences(entry, job);
}

/* Handles the answer of the arbiter to a claim. If another entry has claimed
 * the job before, the job is left to it or, if it is lost, claimed from it. */
static void
handle_claim_answer(
    struct mst_entry *entry, struct job *job, const struct mst_msg *msg)
{
	const struct mst_fenced *answer = &msg->fenced;
	struct adoption *adoption = job->adoption;
	uint32_t i;

	if (answer->fenced_entry != adoption->claim_from)
		return;
	if (answer->alive) {
		adoption_yield_to_owner(entry, job, answer->fenced_entry);
		return;
	}
	if (answer->adopter == 0) {
		adoption_fail(entry, job);
		return;
	}
	if (answer->adopter != entry->incarnation) {
		if (mst_entry_peer_is_alive(entry, answer->adopter)) {
			adoption_yield_to_owner(entry, job, answer->adopter);
			return;
		}
		adoption->claim_from = answer->adopter;
		adoption_send_fences(entry, job);
		return;
	}
	if (!answer->has_session) {
		/* An arbiter without a record of the fenced entry cannot
		 * prove which tasks have started. */
		adoption_fail(entry, job);
		return;
	}
	adoption->claimed = true;
	for (i = 0; i < answer->past_owner_count; i++)
		fence_add(
		    adoption, answer->past_owners[i], job->ticket.arbiter);
	/* The answer to the claim also reports the runs of the fenced entry. */
	handle_fence_answer(entry, job, msg);
}

void
mst_entry_handle_fenced(struct mst_entry *entry, const struct mst_msg *msg)
{
	struct job *job =
	    g_hash_table_lookup(entry->jobs_by_id, &msg->fenced.job);

	if (job == NULL || job->adoption == NULL || job->state != MST_JOB_OPEN)
		return;
	if (!job->adoption->claimed)
		handle_claim_answer(entry, job, msg);
	else
		handle_fence_answer(entry, job, msg);
}

void
mst_adoption_tick(struct mst_entry *entry, struct job *job)
{
	struct adoption *adoption = job->adoption;
	int64_t age_us = entry->now_us - adoption->started_us;

	if (job->ticket.arbiter == 0 ||
	    age_us > entry->options.adopt_timeout_us)
		adoption_fail(entry, job);
	else if (entry->now_us >= adoption->next_send_us)
		adoption_send_fences(entry, job);
}
