/*
 * Offers of free slots. While entries have tasks that wait for a slot, a slot
 * that gets free is reserved for one of them for a short time, and that entry
 * is told at once. Without offers, an entry hears of free slots from the
 * results of its own tasks and from periodic announcements, so under overload
 * entries with many running tasks would take the slots from those with few.
 */

#include "core/agent/agent_internal.h"

/* Time to use an offer: a round trip between failure domains and the work of a
 * busy entry. */
#define OFFER_TIMEOUT_US (6 * 1000)

/* Returns the number of slots that are reserved for an entry. */
static uint32_t
count_offers(const struct mst_agent *agent, const struct session *session)
{
	bool valid = agent->now_us < session->offered_until_us &&
	    mst_session_has_lease(agent, session);

	return valid ? session->offers : 0;
}

/* Returns the number of tasks that wait at an entry and have no offer. */
static uint32_t
unmet_demand(const struct mst_agent *agent, const struct session *session)
{
	uint32_t offers = count_offers(agent, session);

	if (session->fenced || session->unwanted || session->demand <= offers ||
	    !mst_session_has_lease(agent, session))
		return 0;
	return session->demand - offers;
}

/* Slots are offered if several entries could use them. A single entry has all
 * free slots anyway. */
static bool
can_offer_slots(const struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;
	unsigned live = 0;

	if (!agent->options.leased || !agent->options.tuning.offer_slots)
		return false;
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		live += mst_session_has_lease(agent, value);
	return live > 1;
}

/* Returns the number of slots that are offered to other sessions. */
static uint32_t
count_other_offers(const struct mst_agent *agent, const struct session *session)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t offers = 0;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *other = value;

		if (other != session)
			offers += count_offers(agent, other);
	}
	return offers;
}

bool
mst_agent_is_contended(const struct mst_agent *agent)
{
	GHashTableIter iter;
	gpointer value;

	if (!can_offer_slots(agent))
		return false;
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *session = value;

		if (count_offers(agent, session) > 0 ||
		    unmet_demand(agent, session) > 0)
			return true;
	}
	return false;
}

uint32_t
mst_session_free_slots(
    const struct mst_agent *agent, const struct session *session)
{
	uint32_t free_slots = mst_worker_free_slots(agent);
	uint32_t reserved = count_other_offers(agent, session);

	return free_slots > reserved ? free_slots - reserved : 0;
}

void
mst_session_use_offers(struct session *session, uint32_t count)
{
	session->offers -= MIN(session->offers, count);
}

/* Withdraws the offers that were not used. The entry may have placed its tasks
 * elsewhere, so its demand is not known until its next message. */
static void
expire_offers(const struct mst_agent *agent, struct session *session)
{
	if (session->offers == 0 || agent->now_us < session->offered_until_us)
		return;
	session->offers = 0;
	session->demand = 0;
}

/* Draws a session in proportion to the unmet demand, of which total is the
 * sum. */
static struct session *
draw_session(struct mst_agent *agent, uint32_t total)
{
	uint32_t draw =
	    (uint32_t)g_rand_int_range(agent->rand, 0, (gint32)total);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint32_t unmet = unmet_demand(agent, value);

		if (draw < unmet)
			return value;
		draw -= unmet;
	}
	return NULL;
}

static void
offer_slot(struct mst_agent *agent, struct session *session)
{
	session->offers++;
	session->offered_until_us = agent->now_us + OFFER_TIMEOUT_US;
	session->offer_due = true;
	agent->counters.offers++;
}

void
mst_agent_offer_slots(struct mst_agent *agent)
{
	uint32_t free_slots, offered = 0, total = 0;
	GHashTableIter iter;
	gpointer value;

	if (!can_offer_slots(agent))
		return;
	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct session *session = value;

		expire_offers(agent, session);
		offered += session->offers;
		total += unmet_demand(agent, session);
	}
	free_slots = mst_worker_free_slots(agent);
	for (; offered < free_slots && total > 0; offered++, total--)
		offer_slot(agent, draw_session(agent, total));
}
