/*
 * Starts of a leased agent's runs, as it tells its entries of them. A start is
 * confirmed once the worker has started the run and each copy of the order has
 * an answer; before, it may still be executed after this agent is lost.
 */

#include "core/agent/agent_internal.h"
#include "core/id.h"

/* Returns an array that lives until the end of the step, so that effects may
 * refer to it. */
static GArray *
add_scratch(struct mst_agent *agent, guint size)
{
	GArray *array = g_array_new(FALSE, FALSE, size);

	g_ptr_array_add(agent->scratch_starts, array);
	return array;
}

static void
emit_uncertain_start(struct mst_agent *agent, const struct session *session,
    const struct run *run)
{
	struct mst_msg *msg =
	    mst_agent_emit_msg(agent, session->entry, MST_MSG_UNCERTAIN_START);

	msg->uncertain_start =
	    (struct mst_uncertain_start){.agent = agent->options.incarnation,
		.task = run->task.path,
		.index = run->task.index};
}

/* Tells an entry of the start of a run, which items holds. The run's own entry
 * needs no message: to it a start is uncertain until it is confirmed. */
static void
tell_session(struct mst_agent *agent, const struct session *session,
    const struct run *run, const GArray *items)
{
	uint64_t features = session->build.features;
	struct mst_msg *msg;

	if (!(features & MST_FEATURE_CONFIRMED_STARTS)) {
		if (features & MST_FEATURE_UNCERTAIN_STARTS)
			emit_uncertain_start(agent, session, run);
		return;
	}
	if (session == run->session)
		return;
	msg =
	    mst_agent_emit_msg(agent, session->entry, MST_MSG_UNCERTAIN_STARTS);
	msg->uncertain_starts.items = (const void *)items->data;
	msg->uncertain_starts.count = items->len;
	agent->counters.starts_told++;
}

void
mst_agent_tell_uncertain_start(struct mst_agent *agent, struct run *run)
{
	const struct mst_uncertain_item item = {
	    .agent = agent->options.incarnation,
	    .host = mst_bytes_from_str(agent->name),
	    .job = mst_task_name_job(run->task.path),
	    .index = run->task.index,
	    .run = run->run_number};
	GArray *items;
	GHashTableIter iter;
	gpointer value;

	if (run->task.record.len > 0 || run->start_told)
		return;
	run->start_told = true;
	items = add_scratch(agent, sizeof(item));
	g_array_append_val(items, item);
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *session = value;

		if (agent->now_us - session->last_heard_us <=
		    AGENT_ENTRY_SILENT_US)
			tell_session(agent, session, run, items);
	}
}

static void
add_queued(
    const struct mst_agent *agent, const struct session *session, GArray *seqs)
{
	GList *link;

	for (link = agent->queue.head; link != NULL; link = link->next) {
		const struct run *run = link->data;

		if (run->session == session)
			g_array_append_val(seqs, run->task.seq);
	}
}

static void
add_unsettled(
    const struct mst_agent *agent, const struct session *session, GArray *seqs)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *run = value;

		if (run->session == session &&
		    !mst_worker_start_is_settled(run))
			g_array_append_val(seqs, run->task.seq);
	}
}

/* Adds the runs that have ended with an uncertain start, as long as their entry
 * has not acknowledged the result. */
static void
add_unacked(const struct session *session, GArray *seqs)
{
	GList *link;

	for (link = session->unacked.head; link != NULL; link = link->next) {
		const struct run *run = link->data;

		if (run->result.start_uncertain)
			g_array_append_val(seqs, run->task.seq);
	}
}

void
mst_session_list_uncertain_starts(struct mst_agent *agent,
    const struct session *session, struct mst_announce *announce)
{
	GArray *seqs;

	if (session->open == 0 && session->unacked.length == 0)
		return;
	seqs = add_scratch(agent, sizeof(uint64_t));
	add_queued(agent, session, seqs);
	add_unsettled(agent, session, seqs);
	add_unacked(session, seqs);
	announce->uncertain_seqs = (const uint64_t *)seqs->data;
	announce->uncertain_count = seqs->len;
}

void
mst_session_confirm_starts(
    struct mst_agent *agent, const struct session *session, GArray *seqs)
{
	GHashTableIter iter;
	gpointer value;

	if (!agent->options.leased || session->open == 0 ||
	    !(session->build.features & MST_FEATURE_CONFIRMED_STARTS))
		return;
	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (run->session != session || run->start_confirmed ||
		    !mst_worker_start_is_settled(run))
			continue;
		run->start_confirmed = true;
		g_array_append_val(seqs, run->task.seq);
		agent->counters.starts_confirmed++;
	}
}
