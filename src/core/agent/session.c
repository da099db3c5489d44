/* Sessions of an agent with entries: grants, fences and claims. */

#include "core/agent/agent_internal.h"
#include "core/id.h"

#include <math.h>

/* Time for which an unwanted entry is kept at least: more than two heartbeats,
 * whose answers tell it. */
#define UNWANTED_MIN_US (1 * G_USEC_PER_SEC)
/* Time after which it is left in any case. */
#define UNWANTED_MAX_US (10 * G_USEC_PER_SEC)

struct session *
mst_session_open(struct mst_agent *agent, uint64_t entry)
{
	struct session *session;

	if (g_hash_table_size(agent->sessions) >= AGENT_SESSIONS_MAX) {
		agent->counters.sessions_refused++;
		return NULL;
	}
	session = g_new0(struct session, 1);
	session->entry = entry;
	session->last_heard_us = agent->now_us;
	session->roster = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	session->runs = g_hash_table_new(g_direct_hash, g_direct_equal);
	session->jobs = g_hash_table_new(mst_job_id_hash, mst_job_id_equal);
	session->outbox = g_ptr_array_new();
	g_hash_table_insert(
	    agent->sessions, mst_u64_to_pointer(entry), session);
	return session;
}

void
mst_session_free(struct session *session)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, session->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		mst_run_free(value);
	g_hash_table_unref(session->jobs);
	g_hash_table_unref(session->runs);
	g_ptr_array_unref(session->outbox);
	g_array_unref(session->roster);
	mst_seqset_clear(&session->seqs_received);
	g_free(session);
}

static void
report_build(struct mst_agent *agent, const struct session *session, bool gone)
{
	struct mst_agent_effect *effect;

	if (!mst_build_differs(&session->build))
		return;
	effect = mst_agent_emit(agent, MST_AGENT_FX_BUILD);
	effect->entry = session->entry;
	effect->build = (struct mst_build_change){.kind = MST_PROCESS_ENTRY,
	    .version = session->build.version,
	    .features = session->build.features,
	    .is_gone = gone};
}

void
mst_session_update_build(struct mst_agent *agent, struct session *session,
    const struct mst_build_msg *msg)
{
	if (mst_build_update(&session->build, msg))
		report_build(agent, session, false);
}

GArray *
mst_agent_builds(const struct mst_agent *agent)
{
	GArray *counts =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_build_count));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *session = value;

		if (agent->now_us - session->last_heard_us <=
		    AGENT_ENTRY_SILENT_US)
			mst_build_count(
			    counts, MST_PROCESS_ENTRY, &session->build);
	}
	return counts;
}

void
mst_agent_prune_sessions(struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct session *session = value;
		int64_t silent_us = agent->now_us - session->last_heard_us;
		int64_t keep_us = agent->options.leased
		    ? AGENT_LEASED_SESSION_KEEP_US
		    : AGENT_SESSION_KEEP_US;

		if (silent_us > AGENT_UNACKED_KEEP_US)
			mst_agent_retain_all(agent, session);
		/* A session is kept until all its runs have been evicted. */
		if (silent_us <= keep_us ||
		    g_hash_table_size(session->runs) > 0)
			continue;
		report_build(agent, session, true);
		g_hash_table_iter_remove(&iter);
	}
}

void
mst_session_set_wanted(struct mst_agent *agent, uint64_t entry, bool wanted)
{
	struct session *session = mst_session_find(agent, entry);

	if (session == NULL && !wanted)
		mst_agent_emit(agent, MST_AGENT_FX_ENTRY_UNUSED)->entry = entry;
	if (session == NULL || session->unwanted == !wanted)
		return;
	session->unwanted = !wanted;
	session->unwanted_us = agent->now_us;
}

/* An entry is left only after it has been told, so that it sends nothing more.
 * One that does not answer is lost. */
static bool
has_no_work(const struct mst_agent *agent, const struct session *session)
{
	int64_t unwanted_us = agent->now_us - session->unwanted_us;

	if (unwanted_us >= UNWANTED_MAX_US)
		return true;
	return unwanted_us >= UNWANTED_MIN_US && session->open == 0 &&
	    session->unacked.length == 0 && session->outbox->len == 0;
}

void
mst_agent_leave_unwanted(struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct session *session = value;

		if (!session->unwanted || !has_no_work(agent, session))
			continue;
		session->unwanted = false;
		mst_agent_emit(agent, MST_AGENT_FX_ENTRY_UNUSED)->entry =
		    session->entry;
	}
}

static uint32_t
prefetch_count(const struct mst_agent *agent)
{
	double service_us = MAX(agent->service_us, 1.0);
	double tasks = agent->options.slots *
	    (double)agent->options.prefetch_rtt_us / service_us;

	return (uint32_t)CLAMP(round(tasks), 0, AGENT_PREFETCH_MAX);
}

/* Tasks that wait for the next free slot while slots are offered. One hides the
 * round trip of an offer. */
#define CONTENDED_QUEUE_MAX 1

/* Returns the number of tasks that an entry may have at a leased agent: the
 * open ones, one for each free slot, and a few that wait for the next free
 * slot. Slots that are not offered to an entry are granted to all; a task whose
 * slot another entry has used waits for the next one. */
static uint32_t
get_leased_grant(const struct mst_agent *agent, const struct session *session)
{
	uint32_t waiting = agent->queue.length;
	uint32_t max = agent->options.tuning.queue_max;
	uint32_t queue_room;

	if (!mst_worker_is_ready(agent))
		return 0;
	/* Each entry may have one isolated job wait here. */
	if (mst_agent_is_isolating(agent))
		return session->open + 1;
	if (mst_agent_is_contended(agent))
		max = MIN(max, CONTENDED_QUEUE_MAX);
	queue_room = waiting < max ? max - waiting : 0;
	return session->open + mst_session_free_slots(agent, session) +
	    queue_room;
}

uint32_t
mst_session_grant(const struct mst_agent *agent, const struct session *session)
{
	uint32_t total = agent->options.slots + prefetch_count(agent);
	uint32_t active_sessions = 0;
	GHashTableIter iter;
	gpointer value;

	if (agent->draining || agent->drained || session->fenced)
		return 0;
	if (agent->options.leased)
		return get_leased_grant(agent, session);
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *other = value;

		if (!other->fenced &&
		    agent->now_us - other->last_heard_us <=
			AGENT_ENTRY_SILENT_US &&
		    (other->demand > 0 || other->open > 0))
			active_sessions++;
	}
	if (session->demand == 0 && session->open == 0)
		active_sessions++;
	return MAX(1, total / MAX(active_sessions, 1));
}

void
mst_claim_free(struct claim *claim)
{
	g_array_unref(claim->past_owners);
	g_free(claim);
}

/* Returns the claim of a job after a request to claim it, or NULL if it cannot
 * be claimed. The issuer of the job's ticket is its first owner. The requesting
 * entry becomes the owner if it fences the present one. */
static struct claim *
assign_claim(
    struct mst_agent *agent, uint64_t from, const struct mst_fence *fence)
{
	struct claim *claim = g_hash_table_lookup(agent->claims, &fence->job);

	if (claim == NULL) {
		if (fence->fenced_entry != fence->job.issuer ||
		    g_hash_table_size(agent->claims) >= AGENT_CLAIMS_MAX)
			return NULL;
		claim = g_new0(struct claim, 1);
		claim->job = fence->job;
		claim->adopter = fence->fenced_entry;
		claim->past_owners =
		    g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(agent->claims, &claim->job, claim);
	}
	if (claim->adopter == fence->fenced_entry && claim->adopter != from) {
		g_array_append_val(claim->past_owners, claim->adopter);
		claim->adopter = from;
	}
	return claim;
}

static void
add_fenced_run(struct mst_agent *agent, struct mst_msg *msg, struct run *run,
    size_t *bytes)
{
	struct mst_fenced_item item = {.index = run->task.index,
	    .finished = run->state == RUN_FINISHED,
	    .result = run->result};

	*bytes += item.result.body.len;
	if (*bytes > AGENT_FENCED_BYTES_MAX) {
		/* The task ran, but its result exceeds the message limit. */
		item.result =
		    (struct mst_result_item){.outcome = MST_OUTCOME_UNKNOWN,
			.reason = MST_REASON_HISTORY_LOST};
	}
	g_array_append_val(agent->scratch_fenced, item);
	msg->fenced.count++;
}

static void
fill_fence_answer(struct mst_agent *agent, struct session *session,
    struct mst_msg *msg, const struct mst_job_id *job)
{
	struct run *run;
	size_t bytes = 0;

	if (session->entry == job->issuer)
		msg->fenced.history_incomplete =
		    job->counter <= session->evicted_counter;
	else
		msg->fenced.history_incomplete = session->evicted_adopted;
	msg->fenced.agents = (const uint64_t *)session->roster->data;
	msg->fenced.agent_count = session->roster->len;
	g_array_set_size(agent->scratch_fenced, 0);
	run = g_hash_table_lookup(session->jobs, job);
	for (; run != NULL; run = run->next_in_job)
		add_fenced_run(agent, msg, run, &bytes);
	msg->fenced.items =
	    (const struct mst_fenced_item *)agent->scratch_fenced->data;
}

static bool
is_entry_alive(const struct mst_agent *agent, const struct session *session)
{
	return session != NULL && !session->fenced &&
	    agent->now_us - session->last_heard_us <
	    agent->options.fence_silence_us;
}

void
mst_agent_handle_fence(
    struct mst_agent *agent, uint64_t from, const struct mst_fence *fence)
{
	struct session *session = mst_session_find(agent, fence->fenced_entry);
	struct claim *claim = NULL;
	struct mst_msg *msg;

	agent->counters.fences++;
	msg = mst_agent_emit_msg(agent, from, MST_MSG_FENCED);
	msg->fenced.fenced_entry = fence->fenced_entry;
	msg->fenced.job = fence->job;
	msg->fenced.alive = is_entry_alive(agent, session);
	if (msg->fenced.alive)
		return;
	if (fence->claim) {
		claim = assign_claim(agent, from, fence);
		msg->fenced.adopter = claim ? claim->adopter : 0;
		if (claim == NULL || claim->adopter != from)
			return;
		msg->fenced.past_owners =
		    (const uint64_t *)claim->past_owners->data;
		msg->fenced.past_owner_count = claim->past_owners->len;
	}
	msg->fenced.has_session =
	    session != NULL && session->roster_version > 0;
	if (session == NULL)
		session = mst_session_open(agent, fence->fenced_entry);
	if (session == NULL) {
		msg->fenced.alive = true;
		return;
	}
	if (!session->fenced) {
		session->fenced = true;
		mst_agent_refuse_queued(agent, session, MST_REASON_FENCED);
	}
	fill_fence_answer(agent, session, msg, &fence->job);
}
