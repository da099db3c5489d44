/* Heartbeats to the members and peers of an entry. */

#include "core/entry/entry_internal.h"
#include "core/member/member_internal.h"

#define IDLE_HEARTBEAT_INTERVAL 2 /* idle members get every second one */
/* Least time between two lists of addresses to a member. Several entries often
 * start or stop together. */
#define PEERS_INTERVAL_US (1500 * 1000)
/* Time after which an unchanged list is repeated, because messages may be
 * lost. */
#define PEERS_REPEAT_US (INT64_C(20) * G_USEC_PER_SEC)

/* Returns true if a member should be sent the addresses of the entries. */
static bool
peers_are_due(const struct mst_entry *entry, const struct member *member)
{
	int64_t elapsed_us = entry->now_us - member->peers_sent_us;

	if (member->peers_version_sent == 0 || elapsed_us >= PEERS_REPEAT_US)
		return true;
	return member->peers_version_sent != entry->peers_version &&
	    elapsed_us >= PEERS_INTERVAL_US;
}

static void
add_peers(struct mst_entry *entry, struct member *member,
    struct mst_heartbeat *heartbeat)
{
	member->peers_version_sent = entry->peers_version;
	member->peers_sent_us = entry->now_us;
	heartbeat->peers =
	    (struct mst_bytes){.data = entry->peer_addresses->str,
		.len = entry->peer_addresses->len};
	heartbeat->build = mst_build_own();
}

void
mst_member_send_heartbeat(struct mst_entry *entry, struct member *member)
{
	struct mst_msg *msg =
	    mst_entry_emit_msg(entry, member->incarnation, MST_MSG_HEARTBEAT);
	struct mst_heartbeat *heartbeat = &msg->heartbeat;

	heartbeat->echo_us = (uint64_t)member->echo.settled_us;
	heartbeat->description_version = member->description_version;
	heartbeat->roster_version = entry->roster_version;
	member->roster_version_sent = entry->roster_version;
	if (!entry->options.leased &&
	    member->roster_version < entry->roster_version) {
		heartbeat->agents = (const uint64_t *)entry->roster->data;
		heartbeat->agent_count = entry->roster->len;
		heartbeat->adoption_floor = entry->adoption_floor;
	}
	heartbeat->sent_through = member->next_seq;
	heartbeat->results_received = member->results_received;
	heartbeat->demand = entry->tasks_waiting;
	heartbeat->crashes_received = member->crashes_received;
	heartbeat->config_version = mst_entry_config_version(entry);
	heartbeat->drains = mst_drains_to_msg(&entry->drains);
	if (peers_are_due(entry, member))
		add_peers(entry, member, heartbeat);
}

void
mst_entry_notify_members(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_GONE)
			mst_member_send_heartbeat(entry, member);
	}
}

/* Returns true if a heartbeat is sent to a member in this round. Members with
 * outstanding tasks get one in every round, which renews this entry's lease
 * there. Idle members get fewer, which are enough to detect their loss. */
static bool
heartbeat_is_due(const struct mst_entry *entry, const struct member *member)
{
	return !entry->options.leased || member->outstanding > 0 ||
	    member->state != MEMBER_ACTIVE ||
	    member->description_version == 0 ||
	    entry->heartbeat_rounds % IDLE_HEARTBEAT_INTERVAL == 0;
}

void
mst_entry_send_heartbeats(struct mst_entry *entry)
{
	guint i;

	entry->heartbeat_rounds++;
	mst_entry_refresh_peers(entry);
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_GONE &&
		    heartbeat_is_due(entry, member))
			mst_member_send_heartbeat(entry, member);
	}
	if (entry->options.leased &&
	    entry->heartbeat_rounds % IDLE_HEARTBEAT_INTERVAL != 0)
		return;
	mst_entry_greet_peers(entry);
}
