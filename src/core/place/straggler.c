/* Tasks that wait behind stragglers are withdrawn and placed elsewhere. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/constraint.h"
#include "core/place/fit.h"
#include "core/place/place.h"

/*
 * A member's excess tasks are withdrawn when it has returned no result for
 * this many mean service times, but not before the minimum has passed.
 */
#define STRAGGLER_FACTOR 2.0
#define STRAGGLER_MIN_US (20 * 1000)

/* Returns true if a member other than the one that has a task has a free slot
 * for it. */
static bool
has_idle_member(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member != task->member &&
		    member->outstanding < mst_member_slots(member) &&
		    mst_member_is_candidate(
			entry, member, job, task, MST_PREFER_NONE))
			return true;
	}
	return false;
}

/* Withdraws the tasks that a member has beyond its slots, newest first, as far
 * as others have a free slot for them. */
static void
withdraw_newest_tasks(struct mst_entry *entry, struct member *member)
{
	uint32_t excess = member->outstanding - mst_member_slots(member);
	uint64_t seq = member->next_seq;

	for (; seq > 0 && excess > 0; seq--) {
		uint64_t tag = (uint64_t)(uintptr_t)g_hash_table_lookup(
		    member->sent_tasks, mst_u64_to_pointer(seq));
		struct job *job;
		struct task *task;

		if (tag == 0)
			continue;
		excess--;
		task = mst_find_sent_task(entry, member, seq, tag, &job);
		if (task == NULL || task->withdrawing ||
		    !has_idle_member(entry, job, task))
			continue;
		mst_task_withdraw(entry, task);
	}
}

void
mst_entry_withdraw_stragglers(struct mst_entry *entry)
{
	guint i;

	if (entry->config == NULL || !entry->config->policy.withdraw_stragglers)
		return;
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		double limit_us =
		    MAX(member->mean_service_us * STRAGGLER_FACTOR,
			STRAGGLER_MIN_US);

		if (member->outstanding > mst_member_slots(member) &&
		    entry->now_us - member->last_progress_us > limit_us)
			withdraw_newest_tasks(entry, member);
	}
}
