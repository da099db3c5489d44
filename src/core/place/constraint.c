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

enum mst_preference
mst_preferences_to_lift(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	enum mst_preference weakest = find_weakest_exclusion(entry, job, task);

	return weakest == MST_PREFER_OTHER ? weakest : MST_PREFER_NONE;
}

enum mst_preference
mst_preferences_outwaited(
    const struct mst_entry *entry, const struct task *task)
{
	return entry->now_us - task->ready_us >= PREFERRED_WAIT_MAX_US
	    ? MST_PREFER_OTHER
	    : MST_PREFER_NONE;
}

bool
mst_member_is_candidate(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task,
    enum mst_preference lifted)
{
	return mst_member_could_take(entry, member, job, task) &&
	    mst_member_has_free_grant(entry, member) &&
	    mst_member_excluded_by(entry, member, job, task) <= lifted;
}
