/* Counts of the tasks that preferences keep from members with room. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/constraint.h"
#include "core/place/fit.h"
#include "core/place/place.h"

#include <string.h>

/* Waiting tasks that are looked at, of one team and in all. */
#define TEAM_TASKS_MAX 64
#define TASKS_MAX      1024

const char *
mst_preference_name(enum mst_preference preference)
{
	static const char *const names[] = {[MST_PREFER_NONE] = "none",
	    [MST_PREFER_WARM] = "slow-start",
	    [MST_PREFER_OTHER] = "failed-there",
	    [MST_PREFER_HEALTHY] = "unhealthy",
	    [MST_PREFER_APART] = "quarantine"};

	return names[preference];
}

/* Returns the preference that keeps a waiting task from all members that could
 * start it now, the weakest one if several do, or MST_PREFER_NONE if it waits
 * for room or for a member. */
static enum mst_preference
find_withholding(const struct mst_entry *entry, const struct job *job,
    const struct task *task)
{
	enum mst_preference weakest = MST_PREFERENCE_MAX;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (mst_member_could_take(entry, member, job, task) &&
		    mst_member_has_free_grant(entry, member))
			weakest = MIN(weakest,
			    mst_member_excluded_by(entry, member, job, task));
	}
	return weakest < MST_PREFERENCE_MAX ? weakest : MST_PREFER_NONE;
}

static void
count_tasks_of_job(const struct mst_entry *entry, const struct job *job,
    uint32_t counts[MST_PREFERENCE_MAX], unsigned *tasks_left)
{
	guint i;

	for (i = 0; i<job->waiting_tasks->len && * tasks_left> 0; i++) {
		uint16_t index = g_array_index(job->waiting_tasks, uint16_t, i);

		counts[find_withholding(entry, job, &job->tasks[index])]++;
		(*tasks_left)--;
	}
}

/* Counts up to tasks_max tasks. Returns the number of tasks counted. */
static unsigned
count_tasks_of_team(const struct mst_entry *entry, const struct team *team,
    uint32_t counts[MST_PREFERENCE_MAX], unsigned tasks_max)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(team->jobs);
	unsigned tasks_left = tasks_max;

	while (tasks_left > 0 && !g_sequence_iter_is_end(iter)) {
		count_tasks_of_job(
		    entry, g_sequence_get(iter), counts, &tasks_left);
		iter = g_sequence_iter_next(iter);
	}
	return tasks_max - tasks_left;
}

void
mst_entry_count_withheld(
    uint32_t counts[MST_PREFERENCE_MAX], const struct mst_entry *entry)
{
	unsigned tasks_left = TASKS_MAX;
	guint i;

	memset(counts, 0, MST_PREFERENCE_MAX * sizeof(counts[0]));
	for (i = 0; i < entry->active_teams->len && tasks_left > 0; i++)
		tasks_left -=
		    count_tasks_of_team(entry, entry->active_teams->pdata[i],
			counts, MIN(tasks_left, TEAM_TASKS_MAX));
}
