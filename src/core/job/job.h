#ifndef MST_CORE_JOB_H
#define MST_CORE_JOB_H

/* Jobs of an entry: their steps and tasks, from submission to result. */

#include <masticstall/entry.h>

#include "core/job/task.h"

struct adoption;
struct member;
struct stored_job;
struct team;

struct job {
	uint64_t handle;
	struct mst_ticket ticket;
	uint64_t fingerprint; /* hash of the request */
	struct team *team;
	enum mst_job_state state;
	enum mst_reason reason;
	int64_t submitted_us;
	int64_t deadline_us;
	int64_t expected_end_us; /* when the tasks sent so far should end */
	int64_t closed_us;
	uint32_t count;       /* number of tasks */
	uint32_t open;        /* tasks that are not closed */
	uint32_t started;     /* tasks that were sent at least once */
	bool may_have_run;    /* other owners may have started any task */
	bool was_bound;       /* some task has been bound to a host */
	bool start_uncertain; /* closed while an open task was bound */
	struct task *tasks;
	struct step *steps;
	uint32_t step_count;
	GArray *waiting_tasks; /* uint16_t task indexes, sent from the end */
	GSequenceIter *queue_iter; /* position in the team's queue, or NULL */
	GArray *requests;          /* uint64_t ids of the waiting requests */
	char *arena;
	size_t arena_len;
	struct span traceparent;
	bool restartable;
	char *key;
	GQuark service;         /* 0: any service */
	uint32_t priority;      /* 0 is the highest */
	uint32_t attempts;      /* failed runs after which a task has failed */
	double stretch;         /* objective: factor of the critical path */
	int64_t target_us;      /* objective: added to that product */
	double waiting_load_us; /* expected service time of waiting tasks */
	int64_t soft_deadline_us;    /* time by which the objective is met */
	int64_t expiry_us;           /* time after which an answer is useless */
	int64_t latest_start_us;     /* latest start that meets the objective */
	int64_t virtual_deadline_us; /* queue order: latest start + priority */
	bool demoted;                /* can no longer meet its objective */
	bool suspect; /* a task of it may crash any worker that runs it */
	uint32_t retry_after_ms;
	uint64_t bytes;
	GList closed_link;         /* link in the entry's closed_jobs */
	struct adoption *adoption; /* set while being adopted, else NULL */
	struct stored_job *stored; /* NULL unless the job is stored */
};

/* A task that waits for its next attempt. */
struct retry {
	uint64_t tag; /* see mst_task_tag */
	int64_t due_us;
};

/* submit.c */
/* Handles a request for a ticket or the submission of a job. */
void mst_entry_submit(
    struct mst_entry *entry, const struct mst_entry_event *event);
/* Answers a request with the state of a job: at once if poll is set, else when
 * the job is closed. Requests for jobs of live peers are forwarded. */
void mst_entry_wait(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id, bool poll);
/* Closes a job as cancelled and answers the request. */
void mst_entry_cancel(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id);
/* Detaches the request of a caller that has disconnected. A restartable job
 * without a waiting request is closed, unless it is stored. */
void mst_entry_disconnect(struct mst_entry *entry, uint64_t request);

/* job.c */
/* Creates an open job. Its tasks are not queued yet. */
struct job *mst_job_new(struct mst_entry *entry,
    const struct mst_job_spec *spec, struct team *team);
/* Returns the memory that a job takes, in bytes, without its results. */
uint64_t mst_spec_bytes(const struct mst_job_spec *spec);
/* Frees the text of a stored job, which has been stored, and sets it to NULL.
 */
void mst_job_release_text(
    struct mst_entry *entry, struct job *job, char **text);
/* Returns the job with a handle, or NULL if it has been freed. */
struct job *mst_job_find(const struct mst_entry *entry, uint64_t handle);
/* Returns false only if it is certain that no task has started. */
bool mst_job_may_have_run(const struct job *job);
/* Frees a job. The entry is NULL if it is being freed itself. */
void mst_job_free(struct mst_entry *entry, struct job *job);
/* Adds a request that is answered when the job is closed. */
void mst_request_attach(
    struct mst_entry *entry, struct job *job, uint64_t request);

/* progress.c */
/* Withdraws a sent task unless it is being withdrawn already. */
void mst_task_withdraw(struct mst_entry *entry, struct task *task);
/* Closes an open job and answers its requests. A stored job is closed only once
 * its final state is recorded. */
void mst_job_close(struct mst_entry *entry, struct job *job,
    enum mst_job_state state, enum mst_reason reason);
/* Closes a task. The job is closed with it if the task has failed or was the
 * last open one; otherwise the steps that this unblocks are queued. */
void mst_task_close(struct mst_entry *entry, struct job *job, uint32_t index,
    enum mst_outcome outcome, enum mst_reason reason);
/* Notes that a run of a task at a member had no success, so that the task
 * prefers other members. */
void mst_task_avoid(const struct mst_entry *entry, struct task *task,
    const struct member *member);
/* Makes a task wait for a member again. */
void mst_task_requeue(struct mst_entry *entry, struct job *job, uint32_t index);
/* Adds the waiting tasks of all steps to the team's queue. */
void mst_job_queue_all(struct mst_entry *entry, struct job *job);
/* Frees an open job without closing it. None of its tasks may be counted as
 * sent. */
void mst_job_drop(struct mst_entry *entry, struct job *job);
/* Removes a job's waiting tasks from its team's queue. */
void mst_job_unqueue(struct mst_entry *entry, struct job *job);
/* Closes all tasks of a job that have not ended and withdraws those sent. */
void mst_job_close_tasks(
    struct mst_entry *entry, struct job *job, enum mst_reason reason);
/* Closes a task that is known to have succeeded, whatever its state here:
 * withdraws it or removes it from the queue first. */
void mst_task_force_done(
    struct mst_entry *entry, struct job *job, uint32_t index);
/* Stores a copy of the result of a task and closes it. */
void mst_task_set_result(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct mst_result_item *result);

/* expire.c */
/* Checks the time limits of open jobs and frees closed ones after the retention
 * time. */
void mst_entry_expire_jobs(struct mst_entry *entry);

/* retention.c */
/* Frees the job that was closed first; there must be one. */
void mst_job_free_oldest_closed(struct mst_entry *entry);
/* Returns whether there is memory for a job of a size in bytes, within a limit
 * for all jobs. Frees the oldest closed jobs if there is none otherwise. */
bool mst_entry_make_room(
    struct mst_entry *entry, uint64_t bytes, uint64_t bytes_max);

/* step.c */
/* Creates a job's steps from its specification, or a single step with all tasks
 * if it has none. append copies bytes to the job's arena. */
void mst_job_set_steps(struct job *job, const struct mst_job_spec *spec,
    struct span (*append)(struct job *job, struct mst_bytes bytes));
/* Returns the expected service time of a job's critical path, in microseconds,
 * and sets successors_us of each step. */
double mst_job_critical_path_us(struct job *job);
/* Returns the expected service time of the critical path of a job that has not
 * been created yet, in microseconds. */
double mst_spec_critical_path_us(
    const struct mst_job_spec *spec, const struct team *team);

/* result.c */
void mst_entry_handle_results(struct mst_entry *entry, struct member *member,
    const struct mst_results *results);
/* Schedules another attempt of a sent task if it may be retried and the retry
 * budget allows. */
void mst_task_retry(struct mst_entry *entry, struct job *job, uint32_t index);
/* Queues the tasks whose retry is due. */
void mst_entry_queue_due_retries(struct mst_entry *entry);
/* Handles a run whose outcome is unknown: retries the task or closes it. */
void mst_task_handle_unknown(struct mst_entry *entry, struct job *job,
    uint32_t index, enum mst_reason reason);

/* crash.c */
/* Counts a run of a sent task that ended because its worker crashed. Returns
 * true if the task is given up and has been closed. */
bool mst_task_handle_crash(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct member *member);
/* Applies what is known of the crashes of a new job's tasks, which may have run
 * for another entry. The job may be closed with it. */
void mst_job_recall_crashes(struct mst_entry *entry, struct job *job);
/* Returns true if a task of a new job is known not to be started again. */
bool mst_spec_is_given_up(
    const struct mst_entry *entry, const struct mst_job_spec *spec);
/* Handles the crashes that an agent has recorded. */
void mst_entry_handle_crashes(
    struct mst_entry *entry, const struct mst_msg *msg);

/* adopt.c */
/* Starts the adoption of a job whose ticket another entry has issued. */
void mst_entry_adopt_job(struct mst_entry *entry, struct job *job);
void mst_entry_handle_fenced(
    struct mst_entry *entry, const struct mst_msg *msg);
/* Fails an adoption that takes too long, or repeats its fences if that is due.
 */
void mst_adoption_tick(struct mst_entry *entry, struct job *job);

/* Returns the tag of a task: the job's handle and, in the low 16 bits, the
 * task's index. */
static inline uint64_t
mst_task_tag(const struct job *job, uint32_t index)
{
	return job->handle << 16 | index;
}

static inline struct mst_bytes
mst_span_bytes(const struct job *job, struct span span)
{
	return (struct mst_bytes){
	    .data = job->arena + span.offset, .len = span.len};
}

/* Returns the task that was sent to a member under this sequence number, and
 * stores its job; NULL if the task was closed or sent elsewhere since. */
static inline struct task *
mst_find_sent_task(const struct mst_entry *entry, const struct member *member,
    uint64_t seq, uint64_t tag, struct job **job)
{
	struct task *task;

	*job = mst_job_find(entry, tag >> 16);
	if (*job == NULL)
		return NULL;
	task = &(*job)->tasks[tag & 0xffff];
	if (task->state != TASK_SENT || task->member != member ||
	    task->seq != seq)
		return NULL;
	return task;
}

#endif
