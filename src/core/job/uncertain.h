#ifndef MST_CORE_UNCERTAIN_H
#define MST_CORE_UNCERTAIN_H

/*
 * Tasks of which a start may still be executed. An order to start a run that
 * got no answer may be executed seconds later, also by the next incarnation of
 * the worker, which knows neither the fence nor that the run was stopped. Until
 * its agent's first order there, nothing shuts such an order out. The task is
 * therefore bound to the host that it was sent to, for as long as the order may
 * be executed: it may run again there, because an agent starts nothing before
 * it has fenced the orders of earlier incarnations, and a restart of the worker
 * ends that run too. A task with such starts at several hosts waits until all
 * but those at one of them have expired.
 *
 * A sent task counts as uncertain until its agent has confirmed the start. What
 * is known of a job is kept beyond its end, because its caller may submit it
 * again, and told to the other entries.
 */

#include <masticstall/entry.h>

#include "core/job/start_list.h"

struct job;
struct member;
struct task;

/* What an entry remembers of the starts of closed jobs, and has yet to tell the
 * other entries. */
struct uncertain_jobs {
	GHashTable *by_key; /* key -> struct uncertain_job, of closed jobs */
	GQueue by_expiry;   /* struct uncertain_job, next one to expire first */
	GQueue untold;      /* struct untold_start, next one to tell first */
	GPtrArray *telling; /* struct untold_start that effects refer to */
};

/* uncertain.c */
/* Handles the result of a sent task. Unless each copy of its start order was
 * answered, the task is bound to the member's host. */
void mst_task_handle_start_result(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct member *member,
    const struct mst_result_item *result);
/* Handles a sent task whose member is lost. Unless the member has confirmed its
 * start, the task is bound to the member's host. */
void mst_task_handle_lost_member(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct member *member);
/* Returns true if a task may run at a member: every start of it that may still
 * be executed is at the member's host. */
bool mst_task_may_run_at(const struct mst_entry *entry, const struct task *task,
    const struct member *member);
/* Returns true if some start of a task may still be executed. */
bool mst_task_is_bound(const struct mst_entry *entry, const struct task *task);
/* Returns the number that the next run of a bound task must have, so that the
 * worker takes only one of the starts: that of the starts that may still be
 * executed, or 0 if there is none. */
uint32_t mst_task_bound_run_number(
    const struct mst_entry *entry, const struct task *task);
/* Counts a task that is being sent and has waited for a host, and forgets the
 * starts that can no longer be executed. */
void mst_task_end_wait(struct mst_entry *entry, struct task *task);
/* Remembers the starts of a job that is being closed, also of the tasks that
 * are at a member and not confirmed. */
void mst_uncertain_add_job(struct mst_entry *entry, struct job *job);
/* Handles the result of a member for a task whose job is closed. */
void mst_uncertain_handle_result(struct mst_entry *entry, const struct job *job,
    const struct member *member, const struct mst_result_item *result,
    uint32_t index);
/* Remembers a start that an agent of an earlier build tells of. */
void mst_entry_handle_uncertain_start(
    struct mst_entry *entry, const struct mst_msg *msg);
/* Remembers starts that an agent or another entry tells of. */
void mst_entry_handle_uncertain_starts(
    struct mst_entry *entry, const struct mst_msg *msg);
/* Remembers one start, or binds its task. */
void mst_uncertain_add_told(
    struct mst_entry *entry, const struct mst_uncertain_item *item);
/* Returns true if a job's tasks run again after a loss, without a record. */
bool mst_job_is_best_effort(const struct job *job);
/* Returns true if a member confirms starts, so that one of which it has told
 * nothing is uncertain. */
bool mst_member_confirms_starts(const struct member *member);
/* Binds the tasks of a job that was submitted again to the hosts of the starts
 * that are remembered of it. */
void mst_uncertain_bind_job(struct mst_entry *entry, struct job *job);
/* Returns the starts of a task, of an open job or one that is remembered. */
const struct uncertain_start *mst_uncertain_find(
    const struct mst_entry *entry, const char *key, uint32_t index);

/* uncertain_jobs.c */
void mst_uncertain_init(struct uncertain_jobs *jobs);
void mst_uncertain_clear(struct uncertain_jobs *jobs);
/* Moves the starts of a task to those that are remembered of its job. */
void mst_uncertain_remember(struct mst_entry *entry, const char *key,
    uint32_t index, struct uncertain_start **starts);
/* Returns the remembered starts of a task, or NULL. */
const struct uncertain_start *mst_uncertain_recall(
    const struct mst_entry *entry, const char *key, uint32_t index);
/* Forgets the start of a dispatch of this entry. */
void mst_uncertain_settle(struct mst_entry *entry, const char *key,
    uint32_t index, uint64_t agent, uint64_t seq);
/* Forgets a job and returns its starts by the indices of the tasks, or NULL.
 * The caller unreferences the table. */
GHashTable *mst_uncertain_take(struct mst_entry *entry, const char *key);
/* Calls a function for the starts of each task of the remembered jobs, the last
 * job first, until it returns false. */
void mst_uncertain_for_each(const struct mst_entry *entry,
    bool (*call)(void *ctx, const char *key, uint32_t index,
	const struct uncertain_start *starts),
    void *ctx);
/* Forgets the jobs that were remembered for long enough. */
void mst_uncertain_expire(struct mst_entry *entry);

/* uncertain_tell.c */
/* Tells the other entries of a task's starts after a delay, if they are not
 * settled by then. */
void mst_uncertain_tell_later(
    struct mst_entry *entry, const char *key, uint32_t index, int64_t delay_us);
/* Tells an entry that was met just now of all starts: the callers of the jobs
 * may come to it. */
void mst_uncertain_tell_new_peer(struct mst_entry *entry, uint64_t peer);
/* Tells an entry of starts, to which the effects refer. */
void mst_uncertain_tell_peer(
    struct mst_entry *entry, uint64_t peer, const GArray *items);
/* Tells the other entries of the starts that are due. */
void mst_uncertain_tell_due(struct mst_entry *entry);
/* Frees a struct untold_start. */
void mst_untold_start_free(gpointer data);

#endif
