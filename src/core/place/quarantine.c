/*
 * Quarantine of jobs that may crash workers. It answers a load in which some of
 * a team's jobs crash every worker that runs them: a crash costs the worker for
 * seconds and all runs beside the cause, so even one crash for each such job
 * can take down the fleet. What the team may put at risk is therefore limited
 * to a share of the members, which all entries choose alike.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Expected number of jobs that have caused crashes, from which on their team is
 * confined, or isolated. */
#define CONFINE_EVIDENCE 0.6
#define ISOLATE_EVIDENCE 1.5
/* Least probability that a team has caused a crash for it to count. */
#define BLAME_MIN 0.25
/* Jobs that complete without a crash before a level is lowered. */
#define ISOLATED_COMPLETE_MIN 16
#define CONFINED_COMPLETE_MIN 24
/* A lost member stays chosen for this time. If another one took its place, the
 * crashes would reach one member after the other. */
#define LOST_KEEP_US (INT64_C(10) * G_USEC_PER_SEC)
/* Highest utilization of the other members at which more are quarantined. */
#define OTHERS_UTILIZATION 0.75
#define LOAD_WEIGHT        0.2 /* of a sample in the average load */
#define RESERVED_MEMBERS   1   /* never quarantined, for jobs of other teams */
#define GROWTH_INTERVAL_US (200 * 1000)
/* Tasks of an isolated job that are sent to its member, per slot. */
#define ISOLATED_TASKS_PER_SLOT 2
/* Wait that is assumed until one of the members is back. */
#define RESTART_WAIT_US (2.0 * G_USEC_PER_SEC)
/* Share of its slack that a job of a confined team may wait. */
#define CONFINED_WAIT_SHARE 0.5

static const char *const level_names[] = {[QUARANTINE_NONE] = "lifted",
    [QUARANTINE_CONFINED] = "confined",
    [QUARANTINE_ISOLATED] = "isolated"};

static enum quarantine_level
level_by_evidence(double evidence)
{
	if (evidence >= ISOLATE_EVIDENCE)
		return QUARANTINE_ISOLATED;
	return evidence >= CONFINE_EVIDENCE ? QUARANTINE_CONFINED
					    : QUARANTINE_NONE;
}

static enum quarantine_level
level_by_history(const struct mst_entry *entry, uint32_t team_hash)
{
	if (!entry->options.tuning.quarantine)
		return QUARANTINE_NONE;
	return level_by_evidence(
	    mst_crash_evidence(entry->crash_history, team_hash, entry->now_us));
}

static void
set_level(
    struct mst_entry *entry, struct team *team, enum quarantine_level level)
{
	struct mst_entry_effect *effect;

	team->completed_in_quarantine = 0;
	if (team->quarantine == level)
		return;
	team->quarantine = level;
	entry->counters.quarantines += level != QUARANTINE_NONE;
	mst_quarantine_choose_members(entry);
	mst_entry_rank_members(entry);
	effect = mst_entry_emit(entry, MST_ENTRY_FX_QUARANTINE);
	effect->state = level_names[level];
	effect->team = team->name;
	effect->count = entry->quarantined_members;
}

void
mst_quarantine_add_team(struct mst_entry *entry, struct team *team)
{
	set_level(entry, team, level_by_history(entry, team->hash));
}

void
mst_quarantine_lower(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct team *team = value;
		if (team->quarantine != QUARANTINE_NONE &&
		    level_by_history(entry, team->hash) == QUARANTINE_NONE)
			set_level(entry, team, QUARANTINE_NONE);
	}
}

/* Returns the level of a team after a crash. A confined team that was the only
 * one at the worker has caused it. */
static enum quarantine_level
level_after_crash(const struct mst_entry *entry, const struct team *team,
    const struct crash_record *record)
{
	enum quarantine_level level = level_by_history(entry, team->hash);

	if (team->quarantine != QUARANTINE_NONE &&
	    mst_crash_has_one_team(record, team->hash))
		level = QUARANTINE_ISOLATED;
	return MAX(level, team->quarantine);
}

static bool
is_blamed(struct mst_entry *entry, const struct team *team,
    const struct crash_record *record)
{
	if (team->quarantine != QUARANTINE_NONE &&
	    mst_crash_has_one_team(record, team->hash))
		return true;
	return mst_crash_blame(entry->crash_history, record, team->hash) >=
	    BLAME_MIN;
}

void
mst_quarantine_raise(struct mst_entry *entry, const struct crash_record *record)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct team *team = value;

		if (is_blamed(entry, team, record))
			set_level(entry, team,
			    level_after_crash(entry, team, record));
	}
}

void
mst_quarantine_count_complete(struct mst_entry *entry, const struct job *job)
{
	struct team *team = job->team;
	uint32_t needed = team->quarantine == QUARANTINE_ISOLATED
	    ? ISOLATED_COMPLETE_MIN
	    : CONFINED_COMPLETE_MIN;

	if (team->quarantine != QUARANTINE_NONE &&
	    ++team->completed_in_quarantine >= needed)
		set_level(entry, team, team->quarantine - 1);
}

bool
mst_job_is_isolated(const struct job *job)
{
	return job->suspect || job->team->quarantine == QUARANTINE_ISOLATED;
}

bool
mst_job_is_quarantined(const struct job *job)
{
	return job->suspect || job->team->quarantine != QUARANTINE_NONE;
}

uint32_t
mst_quarantine_count_teams(const struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count +=
		    ((const struct team *)value)->quarantine != QUARANTINE_NONE;
	return count;
}

/* Returns true if some open job must run at quarantined members. */
static bool
has_quarantined_jobs(const struct mst_entry *entry)
{
	guint i;

	if (mst_quarantine_count_teams(entry) > 0)
		return true;
	for (i = 0; i < entry->jobs->len && entry->has_suspects; i++) {
		const struct job *job = entry->jobs->pdata[i];

		if (job != NULL && job->state == MST_JOB_OPEN && job->suspect)
			return true;
	}
	return false;
}

/* Returns true if a lost member has been replaced by one of the same name. */
static bool
is_replaced(const struct mst_entry *entry, const struct member *lost)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_GONE &&
		    g_strcmp0(member->name, lost->name) == 0)
			return true;
	}
	return false;
}

/* Returns true if a member counts in the choice, although it may be down now.
 */
static bool
is_eligible(const struct mst_entry *entry, const struct member *member)
{
	if (member->name == NULL || member->state == MEMBER_LEAVING ||
	    mst_drains_contains(&entry->drains, member->failure_domain))
		return false;
	if (member->state != MEMBER_GONE)
		return true;
	return entry->now_us - member->gone_us < LOST_KEEP_US &&
	    !is_replaced(entry, member);
}

static uint32_t
member_rank(const struct member *member)
{
	return XXH32(member->name, strlen(member->name), 0);
}

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
	uint32_t left = member_rank(*(const struct member *const *)a);
	uint32_t right = member_rank(*(const struct member *const *)b);

	return left < right ? -1 : left > right;
}

/* Members by their part in the quarantine, and what the others serve. */
struct fleet {
	uint32_t usable;
	uint32_t others_down; /* not quarantined, and not usable now */
	double capacity;      /* slots / slowness of the usable members */
	double others_busy;   /* the same, in use at members not quarantined */
};

static struct fleet
measure_fleet(const GPtrArray *eligible, const struct mst_entry *entry)
{
	struct fleet fleet = {0};
	guint i;

	for (i = 0; i < eligible->len; i++) {
		const struct member *member = eligible->pdata[i];
		double busy =
		    member->slots - MIN(member->free_slots, member->slots);

		if (!mst_member_is_usable(entry, member)) {
			fleet.others_down += !member->quarantined;
			continue;
		}
		fleet.usable++;
		fleet.capacity += member->slots / member->slowness;
		if (!member->quarantined)
			fleet.others_busy += busy / member->slowness;
	}
	return fleet;
}

/* Returns the number of members that the jobs of other teams leave. */
static double
spare_members(struct mst_entry *entry, const GPtrArray *eligible)
{
	struct fleet fleet = measure_fleet(eligible, entry);
	double mean_capacity = fleet.capacity / MAX(fleet.usable, 1);

	entry->others_busy +=
	    LOAD_WEIGHT * (fleet.others_busy - entry->others_busy);
	if (mean_capacity <= 0)
		return 0;
	return eligible->len - fleet.others_down -
	    ceil(entry->others_busy / OTHERS_UTILIZATION / mean_capacity) -
	    RESERVED_MEMBERS;
}

/* Returns how many members to quarantine: a fixed share at least, and as many
 * as the jobs of other teams leave. It grows one by one. */
static uint32_t
quarantine_size(struct mst_entry *entry, const GPtrArray *eligible)
{
	double least =
	    ceil(eligible->len * entry->options.tuning.quarantine_share);
	double most = MAX(least, (double)eligible->len - RESERVED_MEMBERS);
	double size = CLAMP(spare_members(entry, eligible), least, most);

	if (size <= entry->quarantined_members)
		return (uint32_t)size;
	if (entry->quarantined_members < least)
		return (uint32_t)least;
	if (entry->now_us < entry->next_quarantine_growth_us)
		return MIN(entry->quarantined_members, eligible->len);
	entry->next_quarantine_growth_us = entry->now_us + GROWTH_INTERVAL_US;
	return entry->quarantined_members + 1;
}

static void
quarantine_first(GPtrArray *eligible, uint32_t count)
{
	guint i;

	g_ptr_array_sort(eligible, compare_ranks);
	for (i = 0; i < eligible->len; i++)
		((struct member *)eligible->pdata[i])->quarantined = i < count;
}

static void
end_quarantine(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->members->len; i++)
		((struct member *)entry->members->pdata[i])->quarantined =
		    false;
	entry->quarantined_members = 0;
	entry->has_suspects = false;
}

void
mst_quarantine_choose_members(struct mst_entry *entry)
{
	GPtrArray *eligible;
	guint i;

	if (!has_quarantined_jobs(entry)) {
		end_quarantine(entry);
		return;
	}
	eligible = g_ptr_array_new();
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (is_eligible(entry, member))
			g_ptr_array_add(eligible, member);
		else
			member->quarantined = false;
	}
	entry->quarantined_members = quarantine_size(entry, eligible);
	quarantine_first(eligible, entry->quarantined_members);
	g_ptr_array_unref(eligible);
}

static uint32_t
count_sent_to(const struct job *job, const struct member *member)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < job->count; i++)
		count += job->tasks[i].state == TASK_SENT &&
		    job->tasks[i].member == member;
	return count;
}

static uint32_t
count_sent(const struct job *job)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < job->count; i++)
		count += job->tasks[i].state == TASK_SENT;
	return count;
}

/* Returns true if an isolated job may send a task to a member: all its tasks go
 * to one member, where this entry has no others. The agent makes them wait for
 * those of other entries. */
static bool
can_isolate_at(const struct mst_entry *entry, const struct member *member,
    const struct job *job, const struct task *task)
{
	uint32_t sent_there = count_sent_to(job, member);

	return member->quarantined && mst_member_is_usable(entry, member) &&
	    member->grant > 0 && member->outstanding == sent_there &&
	    count_sent(job) == sent_there &&
	    sent_there < member->slots * ISOLATED_TASKS_PER_SLOT &&
	    mst_member_has_service(member, job) &&
	    mst_member_has_resources(member, task) &&
	    mst_member_matches_step(member, job, task);
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
    const struct job *job, const struct task *task)
{
	struct member *best = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (!can_isolate_at(entry, member, job, task))
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
