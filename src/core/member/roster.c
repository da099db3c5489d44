/*
 * Roster of an entry: which members may run its tasks. An entry that fences
 * this one learns from the roster at any member which others to ask.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member_internal.h"
#include "core/place/place.h"
#include "core/stored/stored.h"

static void
roster_rebuild(struct mst_entry *entry)
{
	guint i;

	entry->roster_version++;
	g_array_set_size(entry->roster, 0);
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->in_roster)
			g_array_append_val(entry->roster, member->incarnation);
	}
}

static bool
member_can_arbitrate(const struct member *arbiter, const struct member *joining)
{
	return arbiter != joining && arbiter->in_roster &&
	    arbiter->roster_recorded &&
	    arbiter->join_version < joining->join_version &&
	    arbiter->state != MEMBER_GONE;
}

/* Returns true if a joining member may receive tasks: it and a member that
 * joined before it have recorded a roster of this incarnation that lists it. An
 * entry that fences this incarnation then learns of the member, whichever
 * member it asks first. */
static bool
member_is_recorded(const struct mst_entry *entry, const struct member *joining)
{
	guint i;

	if (entry->options.leased)
		return !joining->unproven;
	if (joining->roster_version < joining->join_version)
		return false;
	if (joining->join_version == 1)
		return true;
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member_can_arbitrate(member, joining) &&
		    member->roster_version >= joining->join_version)
			return true;
	}
	return false;
}

/* Sends the roster that lists a joining member to one earlier member, unless
 * one has been sent it already. */
static void
member_notify_arbiter(struct mst_entry *entry, const struct member *joining)
{
	struct member *arbiter = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (!member_can_arbitrate(member, joining))
			continue;
		if (member->roster_version_sent >= joining->join_version)
			return;
		if (arbiter == NULL || arbiter->state != MEMBER_ACTIVE)
			arbiter = member;
	}
	if (arbiter != NULL)
		mst_member_send_heartbeat(entry, arbiter);
}

void
mst_roster_activate_recorded(struct mst_entry *entry)
{
	bool activated = false;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_JOINING ||
		    !member_is_recorded(entry, member))
			continue;
		member->roster_recorded = true;
		mst_member_set_state(entry, member, MEMBER_ACTIVE);
		activated = true;
	}
	if (!activated)
		return;
	mst_entry_rank_members(entry);
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state == MEMBER_JOINING)
			member_notify_arbiter(entry, member);
	}
	mst_entry_place_tasks(entry);
}

void
mst_roster_add(struct mst_entry *entry, struct member *member)
{
	member->in_roster = true;
	member->roster_recorded = false;
	member->joined_us = entry->now_us;
	roster_rebuild(entry);
	member->join_version = entry->roster_version;
	mst_member_send_heartbeat(entry, member);
	member_notify_arbiter(entry, member);
}

/* Removes a member from the roster long after its loss. The jobs of all tickets
 * issued so far can then no longer be adopted, because the member may have run
 * some of their tasks. */
void
mst_roster_remove(struct mst_entry *entry, struct member *member)
{
	member->in_roster = false;
	entry->adoption_floor = entry->next_counter;
	roster_rebuild(entry);
}

/* Returns true if a member waits to join and no live member can record it. */
static bool
join_is_blocked(const struct mst_entry *entry)
{
	bool has_joining = false;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state == MEMBER_JOINING)
			has_joining = true;
		else if (member->roster_recorded &&
		    member->state != MEMBER_GONE)
			return false;
	}
	return has_joining;
}

void
mst_roster_check_arbiter(struct mst_entry *entry)
{
	if (!join_is_blocked(entry)) {
		entry->no_arbiter_since_us = 0;
		return;
	}
	if (entry->no_arbiter_since_us == 0)
		entry->no_arbiter_since_us = entry->now_us;
	else if (entry->now_us - entry->no_arbiter_since_us >
	    ENTRY_ARBITER_TIMEOUT_US)
		mst_entry_start_incarnation(entry);
}

static void
reset_roster(struct mst_entry *entry)
{
	guint i;

	entry->roster_version = 0;
	entry->adoption_floor = 0;
	entry->no_arbiter_since_us = 0;
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		g_hash_table_remove_all(member->sent_tasks);
		g_array_set_size(member->outbox, 0);
		g_array_set_size(member->withdrawals, 0);
		mst_seqset_clear(&member->results_received);
		member->outstanding = 0;
		member->next_seq = 0;
		member->roster_version = 0;
		member->join_version = 1;
		member->roster_recorded = false;
		member->in_roster = member->state != MEMBER_GONE;
		if (member->in_roster && member->state != MEMBER_LEAVING)
			mst_member_set_state(entry, member, MEMBER_JOINING);
	}
	roster_rebuild(entry);
	mst_entry_send_heartbeats(entry);
}

/* Starts a new incarnation. Other entries may have adopted the jobs of the
 * previous one, so its open jobs are closed as failed. Tasks without a result
 * get the outcome "unknown", because they may have run. Stored jobs have not
 * failed: they are dropped, for whoever takes over their records. */
void
mst_entry_start_incarnation(struct mst_entry *entry)
{
	guint i;

	mst_owner_abandon(entry);
	for (i = 0; i < entry->jobs->len; i++) {
		struct job *job = entry->jobs->pdata[i];

		if (job == NULL || job->state != MST_JOB_OPEN)
			continue;
		job->may_have_run = true;
		mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_FENCED);
	}
	entry->incarnation = mst_entry_random_id(entry);
	entry->counters.incarnations++;
	mst_seqset_clear(&entry->used_counters);
	/* Job counters are not reset: the new incarnation's set of used
	 * counters starts after the last one issued. */
	entry->used_counters.frontier = entry->next_counter;
	mst_backup_reset(entry);
	reset_roster(entry);
}
