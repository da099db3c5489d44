/* Members of an entry: announcements, roster, heartbeats and lost members. */

#include "core/entry/entry_internal.h"
#include "core/member/member_internal.h"
#include "core/place/place.h"

#include <string.h>

static void
member_set_labels(struct member *member, struct mst_bytes labels)
{
	char *text = mst_bytes_to_str(labels);

	g_strfreev(member->labels);
	member->labels = g_strsplit(text, ",", -1);
	g_free(text);
}

static void
member_set_service(struct member *member, struct mst_bytes name)
{
	char *text;

	if (name.len == 0)
		return;
	text = mst_bytes_to_str(name);
	member->service = g_quark_from_string(text);
	g_free(text);
}

static void
member_set_description(struct mst_entry *entry, struct member *member,
    const struct mst_announce *announce)
{
	/* The description is sent with the first announcement and whenever it
	 * changes. */
	if (announce->name.len > 0) {
		member->description_version = announce->description_version;
		mst_string_replace(&member->name, announce->name);
		mst_string_replace(
		    &member->failure_domain, announce->failure_domain);
		mst_string_replace(&member->rack, announce->rack);
		member_set_labels(member, announce->labels);
		member_set_service(member, announce->service);
		mst_entry_update_build(entry, member->incarnation,
		    MST_PROCESS_AGENT, &member->build, &announce->build);
	}
	member->slots = announce->slots;
	member->resources = announce->resources;
	member->resources_max = announce->resources_max;
	member->config_version = announce->config_version;
}

/* Applies an announcement. Its grant, free slots and acknowledgements concern
 * only the entry that it is addressed to. The member may have an outdated set
 * of drained domains. */
static void
member_update(struct mst_entry *entry, struct member *member,
    const struct mst_announce *announce, bool is_recipient, bool outdated)
{
	/* A member that drains because its domain is drained, or was in the
	 * older set that it has, stays active. It is then usable as soon as the
	 * domain is restored. */
	bool is_leaving = announce->draining && !outdated &&
	    !mst_drains_contains(&entry->drains, member->failure_domain);

	/* A delayed announcement must not make a warm member cold again, or
	 * bring back the speed that it had while it was cold. */
	bool is_newest = (int64_t)announce->clock_us >= member->clock_us;

	if (is_newest)
		mst_member_set_cold(entry, member, announce->cold_ms);
	if (is_recipient && is_newest)
		member->reported_slowness = announce->slowness_milli / 1000.0;
	if (is_recipient) {
		member->grant = announce->grant;
		member->free_slots = announce->free_slots;
		member->queued_tasks = announce->queued;
		member->roster_version =
		    MAX(member->roster_version, announce->roster_version);
		mst_member_repair(entry, member, announce);
	}
	if (member->unproven)
		return;
	if (is_leaving)
		mst_member_set_state(entry, member, MEMBER_LEAVING);
	else if (member->state == MEMBER_SUSPECT ||
	    (entry->options.leased && member->state == MEMBER_LEAVING))
		mst_member_set_state(entry, member, MEMBER_ACTIVE);
}

/* Records the clock of a member. An older reading than the last one is from a
 * delayed announcement and is ignored. */
static void
member_update_clock(struct mst_entry *entry, struct member *member,
    const struct mst_announce *announce)
{
	if ((int64_t)announce->clock_us <= member->clock_us)
		return;
	mst_member_add_clock(entry, member, (int64_t)announce->clock_us);
}

/* Handles a new incarnation of a known member, which has the same name: it
 * inherits the measured speed, and the earlier incarnation is marked as lost at
 * once. This is safe because that one has terminated, and a leased agent ends
 * the runs that it left before it announces itself. */
static void
member_replace_predecessor(struct mst_entry *entry, struct member *member)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *predecessor = entry->members->pdata[i];

		if (predecessor == member ||
		    g_strcmp0(predecessor->name, member->name) != 0)
			continue;
		member->slowness_avg = predecessor->slowness_avg;
		member->reported_slowness = predecessor->is_cold
		    ? predecessor->warm_slowness
		    : predecessor->reported_slowness;
		member->mean_service_us = predecessor->mean_service_us;
		if (predecessor->state != MEMBER_GONE)
			mst_member_mark_lost(entry, predecessor);
	}
}

/* Returns true if a member is heard from that has the same name. */
static bool
has_living_namesake(const struct mst_entry *entry, const struct member *member)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *other = entry->members->pdata[i];

		if (other != member && other->state != MEMBER_GONE &&
		    g_strcmp0(other->name, member->name) == 0)
			return true;
	}
	return false;
}

/* Adds a member that has announced itself. Beside a living one of the same name
 * it is its successor, or an earlier incarnation that has ended and whose
 * announcement was delayed. */
static void
member_join(struct mst_entry *entry, struct member *member)
{
	member->unproven =
	    entry->options.leased && has_living_namesake(entry, member);
	if (member->unproven)
		entry->counters.members_unproven++;
	else if (entry->options.leased)
		member_replace_predecessor(entry, member);
	mst_roster_add(entry, member);
}

/* Takes a member for the successor of its namesakes once it has answered a
 * heartbeat: it lives, so they have ended. */
static void
member_check_proof(struct mst_entry *entry, struct member *member,
    const struct mst_announce *announce, bool is_recipient)
{
	if (!member->unproven || !is_recipient ||
	    announce->roster_version < member->join_version)
		return;
	member->unproven = false;
	member_replace_predecessor(entry, member);
}

void
mst_entry_handle_announce(struct mst_entry *entry, const struct mst_msg *msg)
{
	const struct mst_announce *announce = &msg->announce;
	struct member *member = mst_member_find(entry, msg->from);
	bool outdated =
	    mst_entry_merge_drains(entry, &announce->drains, "agent");
	struct mst_entry_effect *effect;

	if (announce->fenced && msg->to == entry->incarnation) {
		mst_entry_start_incarnation(entry);
		return;
	}
	if (member == NULL) {
		member = mst_member_new(entry, msg->from);
		if (member == NULL)
			return;
		member_set_description(entry, member, announce);
		mst_member_report(entry, member);
		member_join(entry, member);
	} else if (member->state == MEMBER_GONE) {
		mst_member_set_state(entry, member, MEMBER_JOINING);
		member_join(entry, member);
	}
	member_set_description(entry, member, announce);
	member->last_heard_us = entry->now_us;
	member_update_clock(entry, member, announce);
	member_check_proof(
	    entry, member, announce, msg->to == entry->incarnation);
	member_update(
	    entry, member, announce, msg->to == entry->incarnation, outdated);
	if (outdated)
		mst_member_send_heartbeat(entry, member);
	if (announce->entries.len > 0) {
		effect = mst_entry_emit(entry, MST_ENTRY_FX_PEERS);
		effect->peers = announce->entries;
	}
	mst_entry_pull_config(entry, msg->from, announce->config_version);
	mst_roster_activate_recorded(entry);
	mst_entry_place_tasks(entry);
}
