#ifndef MST_QUARANTINE_H
#define MST_QUARANTINE_H

/*
 * Quarantine of jobs that may crash workers: while tasks of a team crash their
 * workers, all its jobs run at a small part of the members, so that the others
 * serve the other teams.
 */

#include <masticstall/entry.h>

struct crash_record;
struct job;
struct member;
struct task;
struct team;

enum quarantine_level {
	QUARANTINE_NONE = 0,
	QUARANTINE_CONFINED, /* only at quarantined members */
	QUARANTINE_ISOLATED  /* there, and one job at a time */
};

/* Raises the levels of the teams that a new crash is evidence against. */
void mst_quarantine_raise(
    struct mst_entry *entry, const struct crash_record *record);
/* Lowers the levels of the teams against which there is no evidence any more,
 * because suspects have been cleared. */
void mst_quarantine_lower(struct mst_entry *entry);
/* Sets the level of a new team by the evidence so far. */
void mst_quarantine_add_team(struct mst_entry *entry, struct team *team);
/* Counts a job that completed. Enough of them lower the level of its team. */
void mst_quarantine_count_complete(
    struct mst_entry *entry, const struct job *job);
/* Returns the number of teams that are quarantined. */
uint32_t mst_quarantine_count_teams(const struct mst_entry *entry);
/* Chooses the quarantined members if there are jobs for them, else none. */
void mst_quarantine_choose_members(struct mst_entry *entry);
/* Returns true if a job runs only at quarantined members. */
bool mst_job_is_quarantined(const struct job *job);
/* Returns true if a job must run without other jobs beside it. */
bool mst_job_is_isolated(const struct job *job);
/* Returns the member for a task of an isolated job, or NULL, given the
 * preferences that are lifted. */
struct member *mst_quarantine_choose_isolated(const struct mst_entry *entry,
    const struct job *job, const struct task *task, enum mst_preference lifted);
/* Returns true if a new job of a quarantined team is expected to wait longer
 * than it can. Stores the expected wait. */
bool mst_quarantine_would_be_late(const struct mst_entry *entry,
    const struct team *team, uint32_t count, double service_us, double slack_us,
    double *wait_us);

#endif
