/* Reports of an agent to its entries: results, and with them the starts that
 * were confirmed meanwhile. A confirmed start is not reported on its own; the
 * next announcement shows it. */

#include "core/agent/agent_internal.h"

/* Moves the results in a session's outbox to the collected ones. */
static void
collect_results(struct mst_agent *agent, struct session *session)
{
	guint i;

	for (i = 0; i < session->outbox->len; i++) {
		struct run *run = session->outbox->pdata[i];

		run->in_outbox = false;
		run->sent_us = agent->now_us;
		g_array_append_val(agent->scratch_results, run->result);
	}
}

static void
flush_session(struct mst_agent *agent, struct session *session)
{
	guint first_result = agent->scratch_results->len;
	guint first_start = agent->scratch_confirmed->len;
	struct mst_msg *msg;

	if (session->outbox->len == 0 && !session->offer_due)
		return;
	session->offer_due = false;
	collect_results(agent, session);
	mst_session_confirm_starts(agent, session, agent->scratch_confirmed);
	msg = mst_agent_emit_msg(agent, session->entry, MST_MSG_RESULT);
	msg->results.grant = mst_session_grant(agent, session);
	msg->results.free_slots = mst_session_free_slots(agent, session);
	msg->results.count = session->outbox->len;
	msg->results.confirmed_count =
	    agent->scratch_confirmed->len - first_start;
	/* Stores indices, because the arrays may still be reallocated.
	 * set_pointers() replaces them. */
	msg->results.items = (const void *)(uintptr_t)first_result;
	msg->results.confirmed_seqs = (const void *)(uintptr_t)first_start;
	g_ptr_array_set_size(session->outbox, 0);
}

static void
set_pointers(const struct mst_agent *agent, struct mst_results *results)
{
	results->items = &g_array_index(agent->scratch_results,
	    struct mst_result_item, (uintptr_t)results->items);
	results->confirmed_seqs = &g_array_index(agent->scratch_confirmed,
	    uint64_t, (uintptr_t)results->confirmed_seqs);
}

void
mst_agent_flush(struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_array_set_size(agent->scratch_results, 0);
	g_array_set_size(agent->scratch_confirmed, 0);
	mst_agent_offer_slots(agent);
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		flush_session(agent, value);
	for (i = 0; i < agent->effects->len; i++) {
		struct mst_msg *msg =
		    &g_array_index(agent->effects, struct mst_agent_effect, i)
			 .msg;

		if (msg->type == MST_MSG_RESULT)
			set_pointers(agent, &msg->results);
	}
}
