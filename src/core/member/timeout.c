/* Silent and lost members of an entry. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member_internal.h"
#include "core/place/place.h"

static void
member_release_tasks(struct mst_entry *entry, struct member *member)
{
	GHashTable *sent = member->sent_tasks;
	GHashTableIter iter;
	gpointer key, value;

	member->sent_tasks = g_hash_table_new(g_direct_hash, g_direct_equal);
	member->outstanding = 0;
	g_array_set_size(member->outbox, 0);
	g_array_set_size(member->withdrawals, 0);
	g_hash_table_iter_init(&iter, sent);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job;

		if (mst_find_sent_task(entry, member, (uint64_t)(uintptr_t)key,
			tag, &job) == NULL)
			continue;
		entry->tasks_sent--;
		mst_task_handle_lost_member(
		    entry, job, (uint32_t)(tag & 0xffff), member);
		mst_task_handle_unknown(entry, job, (uint32_t)(tag & 0xffff),
		    MST_REASON_AGENT_LOST);
	}
	g_hash_table_unref(sent);
}

/* Retries the idempotent tasks of a silent member elsewhere, as far as the
 * retry budget allows. The other tasks wait until the member is heard from
 * again or is lost. */
static void
member_retry_elsewhere(struct mst_entry *entry, const struct member *member)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent_tasks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job;

		if (mst_find_sent_task(entry, member, (uint64_t)(uintptr_t)key,
			tag, &job) != NULL)
			mst_task_retry(entry, job, (uint32_t)(tag & 0xffff));
	}
}

void
mst_member_mark_lost(struct mst_entry *entry, struct member *member)
{
	mst_member_set_state(entry, member, MEMBER_GONE);
	member->gone_us = entry->now_us;
	mst_entry_forget_build(
	    entry, member->incarnation, MST_PROCESS_AGENT, &member->build);
	entry->counters.members_lost++;
	member_release_tasks(entry, member);
}

static void
member_check_timeouts(struct mst_entry *entry, struct member *member)
{
	int64_t silent_us = entry->now_us - member->last_heard_us;

	if (member->state == MEMBER_GONE) {
		if (member->in_roster &&
		    entry->now_us - member->gone_us > ENTRY_GONE_EVICT_US)
			mst_roster_remove(entry, member);
		return;
	}
	if (silent_us > entry->options.remove_us)
		mst_member_mark_lost(entry, member);
	else if (silent_us > entry->options.suspect_us &&
	    member->state == MEMBER_ACTIVE)
		mst_member_set_state(entry, member, MEMBER_SUSPECT);
	if (member->state == MEMBER_SUSPECT && !entry->options.leased)
		member_retry_elsewhere(entry, member);
	if (member->ejected_until_us != 0 &&
	    entry->now_us >= member->ejected_until_us) {
		member->ejected_until_us = 0;
		member->probing = true;
		mst_member_report(entry, member);
	}
}

/* Evicts lost members of a leased entry. They do not return, because the next
 * incarnation of an agent is a new member. */
static void
members_evict_gone(struct mst_entry *entry)
{
	guint i = 0;

	while (entry->options.leased && i < entry->members->len) {
		struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_GONE ||
		    entry->now_us - member->gone_us < ENTRY_GONE_KEEP_US) {
			i++;
			continue;
		}
		g_hash_table_remove(entry->members_by_incarnation,
		    mst_u64_to_pointer(member->incarnation));
		g_ptr_array_remove_index(entry->members, i);
	}
}

void
mst_entry_scan_members(struct mst_entry *entry)
{
	guint i;

	members_evict_gone(entry);
	for (i = 0; i < entry->members->len; i++) {
		mst_member_check_warm_up(entry, entry->members->pdata[i]);
		member_check_timeouts(entry, entry->members->pdata[i]);
	}
	mst_roster_check_arbiter(entry);
	mst_crash_history_expire(entry->crash_history, entry->now_us);
	if (entry->quarantined_members > 0)
		mst_quarantine_lower(entry);
	mst_quarantine_choose_members(entry);
	mst_entry_rank_members(entry);
	mst_roster_activate_recorded(entry);
	mst_entry_place_tasks(entry);
}

void
mst_entry_exclude_pause(struct mst_entry *entry, int64_t paused_us)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		member->last_heard_us += paused_us;
		member->last_progress_us += paused_us;
	}
	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		peer->last_heard_us += paused_us;
	}
	mst_kept_exclude_pause(entry, paused_us);
}
