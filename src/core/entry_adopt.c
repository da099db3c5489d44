/* Taking over a job whose entry is gone: claim, fence, collect, finish. */

#include "core/entry_internal.h"

#define ADOPT_RESEND_US (200 * 1000)
#define RANK_STARTED    2 /* least rank of a task that has started */

/* One agent that must fence one earlier owner of the job. */
struct fence_state {
	uint64_t victim;
	uint64_t agent;
	int64_t sent_us; /* 0: not yet */
	bool done;
};

/* What is known of one task so far. */
struct found {
	struct mst_result_item result; /* strings owned */
	bool running;
};

struct adoption {
	int64_t started_us;
	int64_t next_send_us;
	uint64_t claim_victim; /* owner to take the job from */
	bool claimed;
	GArray *fences; /* struct fence_state */
	struct found *found;
	uint32_t count;
};

void
mst_adoption_free(struct adoption *adoption)
{
	uint32_t i;

	if (adoption == NULL)
		return;
	for (i = 0; i < adoption->count; i++) {
		g_free((char *)adoption->found[i].result.content_type.data);
		g_free((char *)adoption->found[i].result.body.data);
	}
	g_free(adoption->found);
	g_array_unref(adoption->fences);
	g_free(adoption);
}

static void
fence_send(struct mst_entry *entry, const struct job *job, uint64_t agent,
    uint64_t victim, bool claim)
{
	struct mst_msg *msg = mst_entry_emit_msg(entry, agent, MST_MSG_FENCE);

	msg->fence.fenced_entry = victim;
	msg->fence.job = job->ticket.job;
	msg->fence.claim = claim;
}

static bool
witness_is_usable(const struct mst_entry *entry, const struct job *job)
{
	const struct member *witness =
	    mst_member_find(entry, job->ticket.arbiter);

	/* The witness must know this entry's roster, so that a later adopter
	 * finds this entry's members through it. */
	return witness != NULL && witness->state != MEMBER_JOINING &&
	    witness->state != MEMBER_GONE &&
	    witness->roster_version == entry->roster_version;
}

static void
adoption_send(struct mst_entry *entry, struct job *job)
{
	struct adoption *adoption = job->adoption;
	guint i;

	adoption->next_send_us = entry->now_us + ADOPT_RESEND_US;
	if (!witness_is_usable(entry, job))
		return;
	if (!adoption->claimed) {
		fence_send(entry, job, job->ticket.arbiter,
		    adoption->claim_victim, true);
		return;
	}
	for (i = 0; i < adoption->fences->len; i++) {
		const struct fence_state *fence =
		    &g_array_index(adoption->fences, struct fence_state, i);

		if (!fence->done)
			fence_send(
			    entry, job, fence->agent, fence->victim, false);
	}
}

void
mst_entry_adopt(struct mst_entry *entry, struct job *job)
{
	struct adoption *adoption = g_new0(struct adoption, 1);

	job->adoption = adoption;
	adoption->started_us = entry->now_us;
	adoption->claim_victim = job->ticket.job.issuer;
	adoption->fences = g_array_new(FALSE, TRUE, sizeof(struct fence_state));
	adoption->found = g_new0(struct found, job->count);
	adoption->count = job->count;
	entry->counters.jobs_adopted++;
	adoption_send(entry, job);
}

static void
adoption_fail(struct mst_entry *entry, struct job *job)
{
	job->maybe_started = true;
	mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_HISTORY_LOST);
}

/* Ends the attempt without an outcome for the job: its owner lives. */
static void
adoption_leave(struct mst_entry *entry, struct job *job, uint64_t owner)
{
	bool forward = mst_entry_peer_is_alive(entry, owner);
	guint i;

	for (i = 0; i < job->requests->len; i++) {
		uint64_t request = g_array_index(job->requests, uint64_t, i);
		struct mst_entry_effect *effect = mst_entry_emit(entry,
		    forward ? MST_ENTRY_FX_FORWARD : MST_ENTRY_FX_REFUSE);

		effect->request = request;
		effect->peer = owner;
		effect->reason = MST_REASON_OWNER_UNREACHABLE;
		effect->may_have_run = true;
		effect->retry_after_ms = 1000;
		g_hash_table_remove(entry->requests, mst_key(request));
	}
	mst_job_drop(entry, job);
}

static void
fence_add(struct adoption *adoption, uint64_t victim, uint64_t agent)
{
	struct fence_state fence = {.victim = victim, .agent = agent};
	guint i;

	for (i = 0; i < adoption->fences->len; i++) {
		const struct fence_state *known =
		    &g_array_index(adoption->fences, struct fence_state, i);

		if (known->victim == victim && known->agent == agent)
			return;
	}
	g_array_append_val(adoption->fences, fence);
}

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
found_merge(struct found *found, const struct mst_result_item *result)
{
	if (outcome_rank(result) <= outcome_rank(&found->result))
		return;
	g_free((char *)found->result.content_type.data);
	g_free((char *)found->result.body.data);
	found->result = *result;
	found->result.content_type.data = mst_bytes_dup(result->content_type);
	found->result.body.data = mst_bytes_dup(result->body);
}

static struct fence_state *
fence_find(struct adoption *adoption, uint64_t victim, uint64_t agent)
{
	guint i;

	for (i = 0; i < adoption->fences->len; i++) {
		struct fence_state *fence =
		    &g_array_index(adoption->fences, struct fence_state, i);

		if (fence->victim == victim && fence->agent == agent)
			return fence;
	}
	return NULL;
}

static bool
fences_done(const struct adoption *adoption)
{
	guint i;

	for (i = 0; i < adoption->fences->len; i++) {
		if (!g_array_index(adoption->fences, struct fence_state, i)
			 .done)
			return false;
	}
	return true;
}

/* Keeps what an earlier owner's members have finished, then closes what may
 * have run without an answer. The first failure closes the job, so all that
 * has started is marked before. */
static void
adoption_take_found(
    struct mst_entry *entry, struct job *job, const struct found *found)
{
	uint32_t i;

	for (i = 0; i < job->count; i++)
		job->tasks[i].maybe_started =
		    outcome_rank(&found[i].result) >= RANK_STARTED;
	for (i = 0; i < job->count && job->state == MST_JOB_OPEN; i++) {
		if (found[i].result.outcome == MST_OUTCOME_DONE)
			mst_task_set_result(entry, job, i, &found[i].result);
	}
	for (i = 0; i < job->count && job->state == MST_JOB_OPEN; i++) {
		if (found[i].result.outcome == MST_OUTCOME_UNKNOWN &&
		    (job->tasks[i].flags & MST_TASK_IDEMPOTENT) == 0)
			mst_task_close(entry, job, i, MST_OUTCOME_UNKNOWN,
			    found[i].result.reason);
	}
}

/* Every earlier start is known now: keeps the results and runs the rest. */
static void
adoption_finish(struct mst_entry *entry, struct job *job)
{
	struct adoption *adoption = job->adoption;

	job->adoption = NULL;
	adoption_take_found(entry, job, adoption->found);
	mst_adoption_free(adoption);
	if (job->state != MST_JOB_OPEN)
		return;
	mst_job_queue_all(entry, job);
	mst_entry_place(entry);
}

static void
fence_answered(
    struct mst_entry *entry, struct job *job, const struct mst_msg *msg)
{
	const struct mst_fenced *m = &msg->fenced;
	struct adoption *adoption = job->adoption;
	struct fence_state *fence =
	    fence_find(adoption, m->fenced_entry, msg->from);
	bool running = false;
	uint32_t i;

	if (fence == NULL || fence->done)
		return;
	if (m->alive)
		return;
	if (m->history_incomplete) {
		adoption_fail(entry, job);
		return;
	}
	for (i = 0; i < m->count; i++) {
		const struct mst_fenced_item *item = &m->items[i];

		if (item->index >= job->count) {
			adoption_fail(entry, job);
			return;
		}
		if (item->finished)
			found_merge(
			    &adoption->found[item->index], &item->result);
		else
			running = true;
	}
	fence->done = !running;
	for (i = 0; i < m->agent_count; i++)
		fence_add(adoption, m->fenced_entry, m->agents[i]);
	if (fences_done(adoption))
		adoption_finish(entry, job);
	else
		adoption_send(entry, job);
}

static void
claim_answered(
    struct mst_entry *entry, struct job *job, const struct mst_msg *msg)
{
	const struct mst_fenced *m = &msg->fenced;
	struct adoption *adoption = job->adoption;
	uint32_t i;

	if (m->fenced_entry != adoption->claim_victim)
		return;
	if (m->alive) {
		adoption_leave(entry, job, m->fenced_entry);
		return;
	}
	if (m->adopter == 0) {
		adoption_fail(entry, job);
		return;
	}
	if (m->adopter != entry->incarnation) {
		if (mst_entry_peer_is_alive(entry, m->adopter)) {
			adoption_leave(entry, job, m->adopter);
			return;
		}
		adoption->claim_victim = m->adopter;
		adoption_send(entry, job);
		return;
	}
	if (!m->known) {
		/* A witness that has no record of the owner proves nothing. */
		adoption_fail(entry, job);
		return;
	}
	adoption->claimed = true;
	for (i = 0; i < m->past_owner_count; i++)
		fence_add(adoption, m->past_owners[i], job->ticket.arbiter);
	/* The claim's answer tells of its victim, too. */
	fence_answered(entry, job, msg);
}

void
mst_entry_handle_fenced(struct mst_entry *entry, const struct mst_msg *msg)
{
	struct job *job = g_hash_table_lookup(entry->by_id, &msg->fenced.job);

	if (job == NULL || job->adoption == NULL || job->state != MST_JOB_OPEN)
		return;
	if (!job->adoption->claimed)
		claim_answered(entry, job, msg);
	else
		fence_answered(entry, job, msg);
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
		adoption_send(entry, job);
}
