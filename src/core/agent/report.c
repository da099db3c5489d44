/* Reports of results from an agent to the entries. */

#include "core/agent/agent_internal.h"

static void
flush_session(struct mst_agent *agent, struct session *session)
{
	guint first_index = agent->scratch_results->len;
	struct mst_msg *msg;
	guint i;

	if (session->outbox->len == 0 && !session->offer_due)
		return;
	session->offer_due = false;
	for (i = 0; i < session->outbox->len; i++) {
		struct run *run = session->outbox->pdata[i];

		run->in_outbox = false;
		run->sent_us = agent->now_us;
		g_array_append_val(agent->scratch_results, run->result);
	}
	msg = mst_agent_emit_msg(agent, session->entry, MST_MSG_RESULT);
	msg->results.grant = mst_session_grant(agent, session);
	msg->results.free_slots = mst_session_free_slots(agent, session);
	msg->results.count = session->outbox->len;
	/* Stores an index, because the array may still be reallocated.
	 * mst_agent_flush() replaces it by a pointer. */
	msg->results.items = (const void *)(uintptr_t)first_index;
	g_ptr_array_set_size(session->outbox, 0);
}

void
mst_agent_flush(struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_array_set_size(agent->scratch_results, 0);
	mst_agent_offer_slots(agent);
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		flush_session(agent, value);
	for (i = 0; i < agent->effects->len; i++) {
		struct mst_msg *msg =
		    &g_array_index(agent->effects, struct mst_agent_effect, i)
			 .msg;

		if (msg->type != MST_MSG_RESULT)
			continue;
		msg->results.items = &g_array_index(agent->scratch_results,
		    struct mst_result_item, (uintptr_t)msg->results.items);
	}
}
