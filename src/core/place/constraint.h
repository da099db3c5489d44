#ifndef MST_CONSTRAINT_H
#define MST_CONSTRAINT_H

/*
 * What keeps a task from a member. A member that does not meet the requirements
 * never gets the task. One that does may still be excluded by a preference, see
 * enum mst_preference, while another member could take the task. The weaker
 * preferences hold for a limited time even then.
 */

#include <masticstall/entry.h>

struct job;
struct member;
struct task;

/* Returns true if a member meets the requirements of a task now: it is up and
 * reachable, has the service, the resources and the label, is below the step's
 * limit of tasks per member, and no start elsewhere binds the task. It need not
 * have room. */
bool mst_member_could_take(const struct mst_entry *entry,
    const struct member *member, const struct job *job,
    const struct task *task);
/* Returns true if there are members that could take a task, now or when they
 * have room, and the failure domains of all of them are drained. */
bool mst_task_is_drained(const struct mst_entry *entry, const struct job *job,
    const struct task *task);
/* Returns the strongest preference that excludes a member for a task. */
enum mst_preference mst_member_excluded_by(const struct mst_entry *entry,
    const struct member *member, const struct job *job,
    const struct task *task);
/* Returns the strongest preference that no longer holds for a task, because
 * each member that could take the task is excluded by it or by a stronger one.
 * Weaker ones do not hold either. MST_PREFER_NONE: all hold. */
enum mst_preference mst_preferences_to_lift(const struct mst_entry *entry,
    const struct job *job, const struct task *task);
/* Returns true if a task has waited so long for a better member that it should
 * take any that has a free slot. */
bool mst_task_has_waited_long(
    const struct mst_entry *entry, const struct task *task);
/* Returns true if a task may wait for room at a member, given the preferences
 * that are lifted. Those that depend on the tasks that the member has do not
 * count. */
bool mst_member_may_be_awaited(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task,
    enum mst_preference lifted);
/* Returns true if a task may be sent to a member now, given the preferences
 * that are lifted. */
bool mst_member_is_candidate(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task,
    enum mst_preference lifted);

#endif
