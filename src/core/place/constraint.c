/* Requirements and preferences of tasks towards members. */

#include "core/place/constraint.h"

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

bool
mst_member_could_take(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	return mst_member_is_up(entry, member) &&
	    entry->now_us >= member->down_until_us &&
	    mst_member_has_service(member, job) &&
	    mst_member_has_resources(member, task) &&
	    mst_member_matches_step(member, job, task) &&
	    mst_task_may_run_at(entry, task, member);
}

/* A member that has failed a task is avoided by it, but not by quarantined
 * jobs, which may run at few members. */
static bool
is_avoided(
    const struct member *member, const struct job *job, const struct task *task)
{
	return task->avoid_member == member->incarnation &&
	    !mst_job_is_quarantined(job);
}

enum mst_preference
mst_member_excluded_by(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	if (member->quarantined != mst_job_is_quarantined(job))
		return MST_PREFER_APART;
	if (entry->now_us < member->ejected_until_us)
		return MST_PREFER_HEALTHY;
	if (is_avoided(member, job, task))
		return MST_PREFER_OTHER;
	if (mst_member_is_slow_start_full(entry, member))
		return MST_PREFER_WARM;
	return MST_PREFER_NONE;
}

static uint32_t
count_usable_members(const struct mst_entry *entry)
{
	uint32_t usable = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++)
		usable += mst_member_is_usable(entry, entry->members->pdata[i]);
	return usable;
}

bool
mst_member_is_candidate(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	enum mst_preference excluded_by;

	if (!mst_member_could_take(entry, member, job, task) ||
	    !mst_member_has_free_grant(entry, member))
		return false;
	excluded_by = mst_member_excluded_by(entry, member, job, task);
	return excluded_by == MST_PREFER_NONE ||
	    (excluded_by == MST_PREFER_OTHER &&
		mst_member_has_room(entry, member) &&
		(mst_task_is_bound(entry, task) ||
		    count_usable_members(entry) < 2));
}
