/*
 * Quarantine of jobs that may crash workers. It answers a load in which some of
 * a team's jobs crash every worker that runs them: a crash costs the worker for
 * seconds and all runs beside the cause, so even one crash for each such job
 * can take down the fleet. What the team may put at risk is therefore limited
 * to a share of the members, which all entries choose alike.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

/* Expected number of jobs that have caused crashes, from which on their team is
 * confined, or isolated. */
#define CONFINE_EVIDENCE 0.6
#define ISOLATE_EVIDENCE 1.5
/* Least probability that a team has caused a crash for it to count. */
#define BLAME_MIN 0.25
/* Jobs that complete without a crash before a level is lowered. */
#define ISOLATED_COMPLETE_MIN 16
#define CONFINED_COMPLETE_MIN 24

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

/* Returns true if a quarantined team was the only one at a worker that crashed,
 * and so has caused the crash. */
static bool
is_sole_cause(const struct team *team, const struct crash_record *record)
{
	return team->quarantine != QUARANTINE_NONE &&
	    mst_crash_has_one_team(record, team->hash);
}

static enum quarantine_level
level_after_crash(const struct mst_entry *entry, const struct team *team,
    const struct crash_record *record)
{
	enum quarantine_level level = level_by_history(entry, team->hash);

	if (is_sole_cause(team, record))
		level = QUARANTINE_ISOLATED;
	return MAX(level, team->quarantine);
}

static bool
is_blamed(struct mst_entry *entry, const struct team *team,
    const struct crash_record *record)
{
	return is_sole_cause(team, record) ||
	    mst_crash_blame(entry->crash_history, record, team->hash) >=
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
