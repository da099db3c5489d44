#ifndef MST_CORE_PLACE_H
#define MST_CORE_PLACE_H

/* Queueing, refusing and placing: teams, objectives, the choice of members and
 * the dispatches to them. */

#include <masticstall/entry.h>
#include "core/place/estimate.h"
#include "core/place/quarantine.h"
#include "core/slowness.h"

struct job;
struct member;
struct task;

struct team {
	char *name;
	uint32_t hash; /* of the name, the same at all entries */
	struct mst_team_config config;
	GSequence *jobs; /* jobs with waiting tasks, by virtual deadline */
	uint32_t tasks_waiting;
	uint32_t tasks_open; /* tasks that are not closed */
	double virtual_time;
	double waiting_load_us; /* expected service time of waiting tasks */
	double sent_load_us;    /* load sent since the last rate update */
	double dispatch_rate;   /* moving average of load sent per time */
	/* Ratio of observed to declared service time. */
	struct mst_slowness service_time_ratio;
	struct mst_estimate estimate; /* for restartable tasks */
	bool active;                  /* in the entry's active_teams */
	uint32_t skipped_round; /* last round in which no task was placed */
	enum quarantine_level quarantine;
	/* Jobs completed since the level was set or a crash. */
	uint32_t completed_in_quarantine;
};

/* team.c */
/* Returns the team, creating it if necessary; NULL if the name is unknown and
 * unknown teams are not allowed, or if there are too many teams. */
struct team *mst_team_get(struct mst_entry *entry, const char *name);
void mst_team_free(struct team *team);
/* Adds a job to its team's queue unless it is there already. */
void mst_team_enqueue(struct mst_entry *entry, struct job *job);
/* Removes a job from its team's queue if it is there. */
void mst_team_dequeue(struct mst_entry *entry, struct job *job);
/* Adds a task of the given load to the counts of waiting tasks (change is 1) or
 * removes it (change is -1). */
void mst_team_count_waiting(
    struct mst_entry *entry, struct job *job, int change, double load_us);
/* Returns the team to place tasks for next, or NULL if all have been skipped in
 * this round. */
struct team *mst_team_next(const struct mst_entry *entry);
/* Charges a team for the load of a task that is sent. */
void mst_team_charge(
    struct mst_entry *entry, struct team *team, double load_us);
/* Returns the number of open tasks that a team may have at this entry: its
 * quota divided by the number of live entries. */
uint32_t mst_team_quota(const struct mst_entry *entry, const struct team *team);
/* Applies the present configuration to the existing teams. */
void mst_teams_reconfigure(struct mst_entry *entry);
/* Updates each team's dispatch rate from the load sent since the last call. */
void mst_teams_update_rates(struct mst_entry *entry, int64_t elapsed_us);
/* Returns the expected time, in microseconds, until a team's waiting load and
 * an extra load have been sent to members. */
double mst_team_queue_delay_us(
    const struct mst_entry *entry, const struct team *team, double extra_us);
/* Moves a job within its team's queue after its virtual deadline has changed.
 */
void mst_team_reorder(struct mst_entry *entry, struct job *job);

/* dispatch.c */
/* Emits the pending dispatches and withdrawals of all members. */
void mst_entry_flush(struct mst_entry *entry);

/* objective.c */
/* Sets a job's soft deadline, expiry, virtual deadline and latest start. */
void mst_job_set_objective(struct mst_entry *entry, struct job *job);
/* Returns the expected time until a job with this virtual deadline would be
 * first in the queue, in microseconds. */
double mst_entry_queue_delay_us(
    const struct mst_entry *entry, int64_t virtual_deadline_us);
/* Returns true if a new job is expected to miss its objective even if it
 * started now at the fastest member. */
bool mst_spec_is_too_long(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team);
/* Returns true if the entry is about to stop and a new job might not end before
 * that. */
bool mst_spec_outlasts_entry(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team);
/* Returns true if a new job is expected to miss its objective. Stores the
 * expected wait. */
bool mst_spec_would_be_late(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team, double *wait_us);
/* Moves a job behind those that are not demoted. */
void mst_job_demote(struct mst_entry *entry, struct job *job);
/* Moves a job that can no longer meet its objective behind those that can.
 * Returns false if it would then be first in the queue only after it expires,
 * so that it should be closed. */
bool mst_job_demote_late(struct mst_entry *entry, struct job *job);

/* place_leased.c */
GArray *mst_candidates_new(void);
/* Returns the member that a task should be sent to, or NULL if none has room or
 * the task should wait for a better one. */
struct member *mst_choose_leased_member(struct mst_entry *entry,
    const struct job *job, const struct task *task, enum mst_preference lifted);

/* overdue.c */
/* Marks the members with many overdue tasks and withdraws overdue tasks that
 * may still succeed elsewhere. */
void mst_entry_scan_overdue(struct mst_entry *entry);

/* straggler.c */
/* Withdraws the tasks that members have beyond their slots, if they make no
 * progress while another member has a free slot. */
void mst_entry_withdraw_stragglers(struct mst_entry *entry);

/* rank.c */
/* Ranks the usable members by estimated slowness and updates the capacity. */
void mst_entry_rank_members(struct mst_entry *entry);

/* place.c */
/* Has the next flush send waiting tasks to members while any has room. A pass
 * costs as much as many events, so there is one for all events of an iteration
 * of the loop. */
void mst_entry_place_tasks(struct mst_entry *entry);
/* Sends them now, if that is due. */
void mst_entry_place_due_tasks(struct mst_entry *entry);

#endif
