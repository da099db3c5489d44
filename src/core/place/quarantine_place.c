/* Placing and refusing the jobs of quarantined teams. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/constraint.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

/* Tasks of an isolated job that are sent to its member, per slot. */
#define ISOLATED_TASKS_PER_SLOT 2
/* Wait that is assumed until one of the members is back. */
#define RESTART_WAIT_US (2.0 * G_USEC_PER_SEC)
/* Share of its slack that a job of a confined team may wait. */
#define CONFINED_WAIT_SHARE 0.5

/* Returns the number of sent tasks of a job, at one member or, if NULL, at all
 * members. */
static uint32_t
count_sent(const struct job *job, const struct member *member)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < job->count; i++) {
		const struct task *task = &job->tasks[i];

		count += task->state == TASK_SENT &&
		    (member == NULL || task->member == member);
	}
	return count;
}

/* Returns true if an isolated job may send a task to a member: all its tasks go
 * to one member, where this entry has no others. The agent makes them wait for
 * those of other entries. A member outside the quarantine also has others of
 * this entry. Cold members get as many as others. */
static bool
can_isolate_at(const struct mst_entry *entry, const struct member *member,
    const struct job *job, const struct task *task, enum mst_preference lifted)
{
	uint32_t sent_there = count_sent(job, member);

	return mst_member_may_be_awaited(entry, member, job, task, lifted) &&
	    mst_member_has_valid_echo(entry, member) && member->grant > 0 &&
	    (member->outstanding == sent_there || !member->quarantined) &&
	    count_sent(job, NULL) == sent_there &&
	    sent_there < member->slots * ISOLATED_TASKS_PER_SLOT;
}

/* Returns the work at a member as last reported, relative to its speed. */
static double
relative_load(const struct member *member)
{
	double busy = member->slots - MIN(member->free_slots, member->slots);

	return (1 + (busy + member->queued_tasks) / MAX(member->slots, 1)) *
	    member->slowness;
}

struct member *
mst_quarantine_choose_isolated(const struct mst_entry *entry,
    const struct job *job, const struct task *task, enum mst_preference lifted)
{
	struct member *best = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (!can_isolate_at(entry, member, job, task, lifted))
			continue;
		if (best == NULL || relative_load(member) < relative_load(best))
			best = member;
	}
	return best;
}

/* What the quarantined members can serve now. */
struct quarantine_room {
	uint32_t members;
	double capacity; /* slots / slowness */
	double free_slots;
};

static struct quarantine_room
get_room(const struct mst_entry *entry)
{
	struct quarantine_room room = {0};
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (!member->quarantined ||
		    !mst_member_is_usable(entry, member) || member->grant == 0)
			continue;
		room.members++;
		room.capacity += member->slots / member->slowness;
		room.free_slots += member->free_slots;
	}
	return room;
}

static uint32_t
count_open_jobs(const struct mst_entry *entry, const struct team *team)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < entry->jobs->len; i++) {
		const struct job *job = entry->jobs->pdata[i];

		count += job != NULL && job->state == MST_JOB_OPEN &&
		    job->team == team;
	}
	return count;
}

bool
mst_quarantine_would_be_late(const struct mst_entry *entry,
    const struct team *team, uint32_t count, double service_us, double slack_us,
    double *wait_us)
{
	struct quarantine_room room = get_room(entry);
	double entries = mst_entry_count_live_entries(entry);

	*wait_us = RESTART_WAIT_US;
	if (room.members == 0)
		return true;
	if (team->quarantine == QUARANTINE_ISOLATED) {
		*wait_us = count_open_jobs(entry, team) * service_us * entries /
		    room.members;
		return *wait_us > slack_us;
	}
	*wait_us = room.free_slots >= count * entries
	    ? 0
	    : team->waiting_load_us * entries / MAX(room.capacity, 1e-3);
	return *wait_us > slack_us * CONFINED_WAIT_SHARE;
}
