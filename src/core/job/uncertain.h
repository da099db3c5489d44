#ifndef MST_CORE_UNCERTAIN_H
#define MST_CORE_UNCERTAIN_H

/*
 * Tasks of which a start may still be executed. An order to start a run that
 * got no answer may be executed seconds later, also by the next incarnation of
 * the worker, which knows neither the fence nor that the run was stopped. While
 * its agent can't reach the worker, or is lost itself, nothing shuts such an
 * order out. The task is therefore bound to the member that it was sent to: it
 * may run again there, because an agent starts nothing before it has fenced the
 * orders of earlier incarnations, and elsewhere once the member's successor
 * announces itself, which has fenced them as well. Bound tasks are remembered
 * beyond their job, because its caller may submit the job again.
 */

#include <masticstall/entry.h>

struct job;
struct member;
struct task;

/* Jobs with bound tasks that were closed. */
struct uncertain_jobs {
	GHashTable *by_key; /* key -> struct uncertain_job */
	GQueue by_expiry;   /* struct uncertain_job, next one to expire first */
};

void mst_uncertain_init(struct uncertain_jobs *jobs);
void mst_uncertain_clear(struct uncertain_jobs *jobs);
/* Binds a task of a best-effort job to the member that it was sent to. */
void mst_task_bind(struct mst_entry *entry, struct job *job, uint32_t index,
    const struct member *member);
/* Handles a task whose member is lost. The task is bound if the member had told
 * that its start was uncertain. If it had told nothing, the task may run
 * elsewhere for the rest of the job, but not when the job is submitted again.
 */
void mst_task_handle_lost_member(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct member *member);
/* Returns true if a task may run at a member: it is not bound to another one,
 * or that one's successor has announced itself. */
bool mst_task_may_run_at(const struct mst_entry *entry, const struct task *task,
    const struct member *member);
/* Returns true if some task of a job that has not completed is bound. */
bool mst_job_is_uncertain(const struct job *job);
/* Remembers the tasks of a job that is being closed that are bound or still at
 * a member. */
void mst_uncertain_add_job(struct mst_entry *entry, const struct job *job);
/* Handles the result of a member for a task whose job is closed. */
void mst_uncertain_handle_result(struct mst_entry *entry, const struct job *job,
    const struct member *member, const struct mst_result_item *result,
    uint32_t index);
/* Remembers a start that an agent tells of, and binds its task if the job is
 * waiting here. */
void mst_entry_handle_uncertain_start(
    struct mst_entry *entry, const struct mst_msg *msg);
/* Binds the tasks of a job that was submitted again. */
void mst_uncertain_bind_job(struct mst_entry *entry, struct job *job);
/* Forgets the jobs that were remembered for long enough. */
void mst_uncertain_expire(struct mst_entry *entry);

#endif
