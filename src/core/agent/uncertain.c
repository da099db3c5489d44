/* Starts that got no answer, as an agent tells its entries. */

#include "core/agent/agent_internal.h"

void
mst_agent_tell_uncertain_start(struct mst_agent *agent, const struct run *run)
{
	GHashTableIter iter;
	gpointer value;

	if (run->task.record.len > 0)
		return;
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *session = value;
		struct mst_msg *msg;

		if (!(session->build.features & MST_FEATURE_UNCERTAIN_STARTS) ||
		    agent->now_us - session->last_heard_us >
			AGENT_ENTRY_SILENT_US)
			continue;
		msg = mst_agent_emit_msg(
		    agent, session->entry, MST_MSG_UNCERTAIN_START);
		msg->uncertain_start = (struct mst_uncertain_start){
		    .agent = agent->options.incarnation,
		    .task = run->task.path,
		    .index = run->task.index};
	}
}
