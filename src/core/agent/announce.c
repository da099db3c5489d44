/* Announcements of an agent to its entries. */

#include "core/agent/agent_internal.h"

/* Least time between two lists of entries to the same entry. */
#define ENTRIES_INTERVAL_US (1500 * 1000)
/* Time after which all known entries are listed again. */
#define ENTRIES_REPEAT_US (INT64_C(20) * G_USEC_PER_SEC)

/* While its worker is down, a leased agent has no slots. */
static uint32_t
agent_slots(const struct mst_agent *agent)
{
	if (!agent->options.leased)
		return agent->options.slots;
	return agent->worker.synced ? mst_worker_slots(agent) : 0;
}

/* Returns true if this agent may announce itself to entries. A leased agent
 * must not do so before the runs of its earlier incarnation have ended. It does
 * while its worker is down later, so that new entries learn of it as well. */
bool
mst_agent_is_available(const struct mst_agent *agent)
{
	return !agent->options.leased ||
	    (agent->worker.has_reported && agent->worker.was_synced);
}

/* Adds the description, which changes rarely and is therefore sent to an entry
 * only until the entry has confirmed its version. */
static void
add_description(const struct mst_agent *agent, struct mst_announce *announce)
{
	announce->name = mst_bytes_from_str(agent->name);
	announce->failure_domain = mst_bytes_from_str(agent->failure_domain);
	announce->rack = mst_bytes_from_str(agent->rack);
	announce->service = mst_bytes_from_str(agent->worker.service);
	announce->labels = mst_bytes_from_str(agent->worker.labels);
	announce->build = mst_build_own();
}

/* Adds the addresses of entries that the entry of a session has not been sent
 * yet. New ones are collected for a while, because entries often start
 * together. All are repeated at times, because messages may be lost. */
static void
add_entries(const struct mst_agent *agent, struct session *session,
    struct mst_announce *announce)
{
	struct mst_bytes entries = mst_bytes_from_str(agent->entries);
	gsize told;

	if (session == NULL) {
		announce->entries = entries;
		return;
	}
	if (agent->now_us - session->entries_repeated_us >= ENTRIES_REPEAT_US) {
		session->entries_repeated_us = agent->now_us;
		session->entries_told = 0;
	}
	told = session->entries_told;
	if (told >= entries.len ||
	    agent->now_us - session->entries_told_us < ENTRIES_INTERVAL_US)
		return;
	session->entries_told = entries.len;
	session->entries_told_us = agent->now_us;
	announce->entries = (struct mst_bytes){
	    .data = entries.data + told, .len = entries.len - told};
}

/* Announces this agent to the entry of a session, or without the fields of a
 * session to all entries if it is NULL. */
void
mst_agent_announce(struct mst_agent *agent, struct session *session)
{
	uint64_t to = session ? session->entry : 0;
	struct mst_msg *msg = mst_agent_emit_msg(agent, to, MST_MSG_ANNOUNCE);
	struct mst_announce *announce = &msg->announce;

	if (session == NULL ||
	    session->description_version != agent->description_version)
		add_description(agent, announce);
	add_entries(agent, session, announce);
	announce->description_version = agent->description_version;
	announce->clock_us = (uint64_t)agent->now_us;
	announce->slots = agent_slots(agent);
	announce->connections = agent->options.connections;
	announce->resources = agent->options.resources;
	announce->resources_max = agent->options.leased
	    ? agent->worker.capacity_max
	    : agent->options.resources;
	announce->draining = agent->draining || agent->drained ||
	    agent->worker.draining || (session != NULL && session->unwanted);
	announce->drains = mst_drains_to_msg(&agent->drains);
	announce->cold_ms = mst_worker_cold_ms(agent);
	announce->running = agent->running;
	announce->queued = agent->queue.length;
	announce->config_version = agent->config_version;
	if (session == NULL)
		return;
	session->announced_us = agent->now_us;
	announce->fenced = session->fenced;
	announce->grant = mst_session_grant(agent, session);
	announce->free_slots = mst_session_free_slots(agent, session);
	announce->slowness_milli = mst_worker_slowness_milli(agent);
	announce->roster_version = session->roster_version;
	announce->sent_through = session->sent_through;
	announce->seqs_received = session->seqs_received;
	if (agent->options.leased)
		mst_session_list_uncertain_starts(agent, session, announce);
}

/* Broadcasts an announcement. Also announces this agent to each live entry that
 * has been sent no announcement of its own since a given time. Heartbeats are
 * answered with announcements, so these are the entries whose heartbeats do not
 * arrive. */
void
mst_agent_announce_all(struct mst_agent *agent, int64_t since_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!mst_agent_is_available(agent))
		return;
	mst_agent_announce(agent, NULL);
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct session *session = value;

		if (agent->now_us - session->last_heard_us <=
			AGENT_ENTRY_SILENT_US &&
		    session->announced_us <= since_us)
			mst_agent_announce(agent, session);
	}
}

/* Refuses an unknown entry that has already sent tasks to this agent. The agent
 * no longer has its session, so it cannot distinguish new sequence numbers from
 * repeated ones. */
void
mst_agent_refuse_dropped_session(struct mst_agent *agent, uint64_t entry)
{
	struct mst_msg *msg =
	    mst_agent_emit_msg(agent, entry, MST_MSG_ANNOUNCE);

	msg->announce.name = mst_bytes_from_str(agent->name);
	msg->announce.fenced = true;
	agent->counters.sessions_refused++;
}

/* Addresses are usually added at the end. If some have gone, all are told
 * again.
 */
void
mst_agent_set_entries(struct mst_agent *agent, const char *entries)
{
	bool extended =
	    agent->entries == NULL || g_str_has_prefix(entries, agent->entries);
	GHashTableIter iter;
	gpointer value;

	g_free(agent->entries);
	agent->entries = g_strdup(entries);
	if (extended)
		return;
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct session *)value)->entries_told = 0;
}
