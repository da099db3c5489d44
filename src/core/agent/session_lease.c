/* Sessions of an agent by entry, and the leases of the entries. */

#include "core/agent/agent_internal.h"
#include "core/id.h"

struct session *
mst_session_find(const struct mst_agent *agent, uint64_t entry)
{
	return g_hash_table_lookup(agent->sessions, mst_u64_to_pointer(entry));
}

void
mst_session_update_echo(
    struct mst_agent *agent, struct session *session, uint64_t echo_us)
{
	/* This agent cannot have announced a time in the future. */
	if (echo_us > (uint64_t)agent->now_us)
		return;
	session->echo_us = MAX(session->echo_us, (int64_t)echo_us);
}

bool
mst_session_has_lease(
    const struct mst_agent *agent, const struct session *session)
{
	return session->echo_us > 0 &&
	    agent->now_us - session->echo_us <=
	    agent->options.leases.entry_lease_us;
}
