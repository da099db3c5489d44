/* Requirements and preferences of tasks towards members. */

#include "core/place/constraint.h"

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

/* Time for which a task waits for room at the members that it prefers. Longer
 * than a short task takes, and shorter than callers accept that nothing runs.
 */
#define PREFERRED_WAIT_MAX_US (INT64_C(1) * G_USEC_PER_SEC)
/* Time for which a task waits for members that are ejected, probed or overdue.
 * Ejections and overdue tasks last far longer than that. */
#define UNHEALTHY_WAIT_MAX_US (INT64_C(2) * G_USEC_PER_SEC)
/* Time for which a task waits for members on its side of the quarantine that
 * are down. Longer than workers take to restart, as crashes would else reach
 * the other members while these restart. */
#define RESTART_WAIT_MAX_US (INT64_C(5) * G_USEC_PER_SEC)

/* Returns true if a member could take a task at some time. */
static bool
is_right_for(const struct mst_entry *entry, const struct member *member,
    const struct job *job, const struct task *task)
{
	return mst_member_has_service(member, job) &&
	    (mst_member_has_resources(member, task) ||
		mst_member_may_have_resources(member, task)) &&
	    mst_member_matches_step(member, job, task) &&
	    mst_task_may_run_at(entry, task, member);
}

bool
mst_member_could_take(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	return mst_member_is_up(entry, member) &&
	    entry->now_us >= member->down_until_us &&
	    mst_member_has_resources(member, task) &&
	    is_right_for(entry, member, job, task);
}

/* Returns true if a member that is down or lost is likely to be back soon and
 * could take a task then. A lost one is quarantined for a while only. */
static bool
could_take_after_restart(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	return member->state != MEMBER_LEAVING &&
	    (member->state != MEMBER_GONE || member->quarantined) &&
	    !mst_drains_contains(&entry->drains, member->failure_domain) &&
	    is_right_for(entry, member, job, task);
}

bool
mst_task_is_drained(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	bool has_drained = false;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state == MEMBER_GONE ||
		    !is_right_for(entry, member, job, task))
			continue;
		if (!mst_drains_contains(
			&entry->drains, member->failure_domain))
			return false;
		has_drained = true;
	}
	return has_drained;
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

/* Returns the strongest preference that excludes a member, whatever tasks it
 * has. */
static enum mst_preference
find_lasting_exclusion(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	if (member->quarantined != mst_job_is_quarantined(job))
		return MST_PREFER_APART;
	if (entry->now_us < member->ejected_until_us)
		return MST_PREFER_HEALTHY;
	return is_avoided(member, job, task) ? MST_PREFER_OTHER
					     : MST_PREFER_NONE;
}

enum mst_preference
mst_member_excluded_by(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	enum mst_preference lasting =
	    find_lasting_exclusion(entry, member, job, task);

	if (mst_member_is_suspended(member))
		return MAX(lasting, MST_PREFER_HEALTHY);
	if (mst_member_is_slow_start_full(entry, member))
		return MAX(lasting, MST_PREFER_WARM);
	return lasting;
}

/* Returns the weakest preference that excludes one of the members that could
 * take a task, or MST_PREFERENCE_MAX if no member could. */
static enum mst_preference
find_weakest_exclusion(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	enum mst_preference weakest = MST_PREFERENCE_MAX;
	guint i;

	for (i = 0; i < entry->members->len && weakest > MST_PREFER_NONE; i++) {
		const struct member *member = entry->members->pdata[i];

		if (mst_member_could_take(entry, member, job, task))
			weakest = MIN(weakest,
			    mst_member_excluded_by(entry, member, job, task));
	}
	return weakest;
}

/* Returns true if a task should wait for a member on its side of the quarantine
 * that is down. */
static bool
waits_for_restart(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	guint i;

	if (entry->now_us - task->ready_us >= RESTART_WAIT_MAX_US)
		return false;
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (mst_member_excluded_by(entry, member, job, task) <
			MST_PREFER_APART &&
		    could_take_after_restart(entry, member, job, task))
			return true;
	}
	return false;
}

enum mst_preference
mst_preferences_to_lift(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	enum mst_preference weakest = find_weakest_exclusion(entry, job, task);
	int64_t waited_us = entry->now_us - task->ready_us;

	switch (weakest) {
	case MST_PREFER_WARM:
	case MST_PREFER_OTHER:
		return weakest;
	case MST_PREFER_HEALTHY:
		return waited_us >= UNHEALTHY_WAIT_MAX_US ? weakest
							  : MST_PREFER_OTHER;
	case MST_PREFER_APART:
		return waits_for_restart(entry, job, task) ? MST_PREFER_NONE
							   : weakest;
	default:
		return MST_PREFER_NONE;
	}
}

bool
mst_task_has_waited_long(const struct mst_entry *entry, const struct task *task)
{
	return entry->now_us - task->ready_us >= PREFERRED_WAIT_MAX_US;
}

bool
mst_member_may_be_awaited(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task,
    enum mst_preference lifted)
{
	return mst_member_could_take(entry, member, job, task) &&
	    find_lasting_exclusion(entry, member, job, task) <= lifted;
}

bool
mst_member_is_candidate(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task,
    enum mst_preference lifted)
{
	return mst_member_has_free_grant(entry, member) &&
	    mst_member_could_take(entry, member, job, task) &&
	    mst_member_excluded_by(entry, member, job, task) <= lifted;
}
