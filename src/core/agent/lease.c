/*
 * Leases of entries at a leased agent. An entry holds a lease as long as it
 * echoes this agent's clock in time. When the lease expires, the runs of the
 * entry are stopped.
 */

#include "core/agent/agent_internal.h"

static void
stop_session_runs(struct mst_agent *agent, const struct session *session)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct run *run = value;

		if (run->session == session)
			mst_worker_abandon_run(agent, run,
			    session->echo_us +
				agent->options.leases.entry_lease_us,
			    MST_REASON_LEASE_LAPSED);
	}
}

/* Counts and reports the expiry of a lease, once and not at every check. */
static void
report_expired_lease(struct mst_agent *agent, struct session *session)
{
	struct mst_agent_effect *effect;

	if (session->expired_echo_us == session->echo_us)
		return;
	session->expired_echo_us = session->echo_us;
	agent->counters.leases_expired++;
	effect = mst_agent_emit(agent, MST_AGENT_FX_LEASE_EXPIRED);
	effect->entry = session->entry;
	effect->silent_us = agent->now_us - session->echo_us;
	effect->open = session->open;
}

void
mst_agent_check_leases(struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct session *session = value;

		if (session->open == 0 || mst_session_has_lease(agent, session))
			continue;
		report_expired_lease(agent, session);
		mst_agent_refuse_queued(
		    agent, session, MST_REASON_LEASE_LAPSED);
		stop_session_runs(agent, session);
	}
}
