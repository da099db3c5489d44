#ifndef MST_FIT_H
#define MST_FIT_H

/* Which members a task fits, and how long it is expected to run there. */

#include <masticstall/entry.h>

/* Members that a choice looks at: all of them, or in a large fleet a part, so
 * that its cost does not grow with the fleet. */
struct member_sample {
	guint first;
	guint count;
};

struct job;
struct member;
struct task;

/* Returns the expected service time of a task at a member of slowness 1, in
 * microseconds. */
double mst_task_expected_us(const struct job *job, const struct task *task);
/* Returns true if the total resources of a member suffice for a task. */
bool mst_member_has_resources(
    const struct member *member, const struct task *task);
/* The same for the most resources that the member has had. Its worker may be
 * smaller for a while. */
bool mst_member_may_have_resources(
    const struct member *member, const struct task *task);
/* Returns true if a member has the service that a job requires. */
bool mst_member_has_service(const struct member *member, const struct job *job);
/* Returns true if a member is active and its failure domain is not drained. */
bool mst_member_is_active(
    const struct mst_entry *entry, const struct member *member);
/* Returns true if a member is active and has slots, as it has not while its
 * worker is down. */
bool mst_member_is_up(
    const struct mst_entry *entry, const struct member *member);
/* Returns true if a member is up, not ejected and its upstream not down. */
bool mst_member_is_usable(
    const struct mst_entry *entry, const struct member *member);
/* Returns the number of slots of a member that this entry may use. */
uint32_t mst_member_slots(const struct member *member);
/* Returns true if this entry has as many tasks at a cold member as it may. */
bool mst_member_is_slow_start_full(
    const struct mst_entry *entry, const struct member *member);
/* Returns true if this entry sends no further task to a member that is probed
 * or overdue until the one that is there has ended. */
bool mst_member_is_suspended(const struct member *member);
/* Returns true if a member grants this entry one more task now. */
bool mst_member_has_free_grant(
    const struct mst_entry *entry, const struct member *member);
/* Returns true if a member may be sent one more task now. */
bool mst_member_has_room(
    const struct mst_entry *entry, const struct member *member);
/* Returns true if a member has the label that the task's step requires and is
 * below the step's limit of tasks per member. */
bool mst_member_matches_step(const struct member *member, const struct job *job,
    const struct task *task);
/* Returns true if the members are known and some step of the job fits none of
 * them, even if idle. */
bool mst_spec_is_unplaceable(
    const struct mst_entry *entry, const struct mst_job_spec *spec);
/* Returns the expected service time of a task at a member, in microseconds,
 * before it is scaled by the member's slowness. */
double mst_task_expected_at_us(const struct mst_entry *entry,
    const struct member *member, const struct job *job,
    const struct task *task);
/* Returns the share of the usable members' capacity that is in use, 0 to 1. */
double mst_leased_utilization(const struct mst_entry *entry);
/* Returns the number of free slots of the usable members that have a service
 * (0: any) and are not slower than the given slowness. */
double mst_leased_free_slots(
    const struct mst_entry *entry, GQuark service, double max_slowness);
/* Draws a sample of the members. */
struct member_sample mst_member_sample(const struct mst_entry *entry);
/* Returns all members. */
struct member_sample mst_member_sample_all(const struct mst_entry *entry);
/* Returns the member at an index below the count of a sample. */
struct member *mst_member_sample_get(const struct mst_entry *entry,
    const struct member_sample *sample, guint index);

/* Returns the number of waiting tasks that no pass has tried to place yet. */
uint32_t mst_entry_count_untried(const struct mst_entry *entry);

#endif
