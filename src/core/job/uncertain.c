/* Tasks of which a start may still be executed; see uncertain.h. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/job/uncertain.h"
#include "core/member/member.h"

/* Time for which a start without an answer may still be executed. */
#define UNCERTAIN_KEEP_US (INT64_C(20) * G_USEC_PER_SEC)
/* Most jobs remembered; the oldest one is dropped first. */
#define UNCERTAIN_JOBS_MAX 4096

/* Closed job that may be submitted again. */
struct uncertain_job {
	char *key;
	int64_t expires_us;
	GArray *tasks; /* struct uncertain_task */
	GList link;
};

struct uncertain_task {
	uint32_t index;
	uint64_t bound_to; /* incarnation of the member */
};

static void
uncertain_job_free(gpointer data)
{
	struct uncertain_job *uncertain = data;

	g_free(uncertain->key);
	g_array_unref(uncertain->tasks);
	g_free(uncertain);
}

void
mst_uncertain_init(struct uncertain_jobs *jobs)
{
	jobs->by_key = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, uncertain_job_free);
	g_queue_init(&jobs->by_expiry);
}

void
mst_uncertain_clear(struct uncertain_jobs *jobs)
{
	g_hash_table_unref(jobs->by_key);
}

bool
mst_task_may_run_at(const struct mst_entry *entry, const struct task *task,
    const struct member *member)
{
	const struct member *bound_to;

	if (task->bound_to == 0 || task->bound_to == member->incarnation)
		return true;
	bound_to = mst_member_find(entry, task->bound_to);
	return bound_to == NULL || bound_to->succeeded;
}

static bool
is_best_effort(const struct job *job)
{
	return job->restartable && job->stored == NULL;
}

void
mst_task_bind(struct mst_entry *entry, struct job *job, uint32_t index,
    const struct member *member)
{
	struct task *task = &job->tasks[index];

	if (!is_best_effort(job))
		return;
	task->bound_to = member->incarnation;
	entry->counters.tasks_bound++;
}

/* Returns true if a task is at a member that has not told that its start is
 * settled. Members of builds that never tell it count as settled. */
static bool
may_still_start(const struct task *task)
{
	return task->state == TASK_SENT && task->start_state != START_SETTLED &&
	    (task->member->build.features & MST_FEATURE_UNCERTAIN_STARTS) != 0;
}

bool
mst_job_is_uncertain(const struct job *job)
{
	uint32_t i;

	for (i = 0; i < job->count; i++) {
		const struct task *task = &job->tasks[i];

		if (task->bound_to != 0 &&
		    (task->state != TASK_CLOSED ||
			task->outcome == MST_OUTCOME_UNKNOWN))
			return true;
	}
	return false;
}

static void
remove_job(struct mst_entry *entry, struct uncertain_job *uncertain)
{
	g_queue_unlink(&entry->uncertain.by_expiry, &uncertain->link);
	g_hash_table_remove(entry->uncertain.by_key, uncertain->key);
}

/* Returns the record of a job's key, and creates it if there is none. */
static struct uncertain_job *
get_job(struct mst_entry *entry, const char *key)
{
	struct uncertain_jobs *jobs = &entry->uncertain;
	struct uncertain_job *uncertain =
	    g_hash_table_lookup(jobs->by_key, key);

	if (uncertain != NULL) {
		g_queue_unlink(&jobs->by_expiry, &uncertain->link);
	} else {
		if (jobs->by_expiry.length >= UNCERTAIN_JOBS_MAX)
			remove_job(entry, g_queue_peek_head(&jobs->by_expiry));
		uncertain = g_new0(struct uncertain_job, 1);
		uncertain->key = g_strdup(key);
		uncertain->tasks =
		    g_array_new(FALSE, FALSE, sizeof(struct uncertain_task));
		uncertain->link.data = uncertain;
		g_hash_table_insert(jobs->by_key, uncertain->key, uncertain);
	}
	uncertain->expires_us = entry->now_us + UNCERTAIN_KEEP_US;
	g_queue_push_tail_link(&jobs->by_expiry, &uncertain->link);
	return uncertain;
}

static struct uncertain_task *
find_task(const struct uncertain_job *uncertain, uint32_t index)
{
	guint i;

	for (i = 0; i < uncertain->tasks->len; i++) {
		struct uncertain_task *task =
		    &g_array_index(uncertain->tasks, struct uncertain_task, i);

		if (task->index == index)
			return task;
	}
	return NULL;
}

static void
add_task(
    struct mst_entry *entry, const char *key, uint32_t index, uint64_t bound_to)
{
	struct uncertain_job *uncertain = get_job(entry, key);
	struct uncertain_task task = {.index = index, .bound_to = bound_to};
	struct uncertain_task *known = find_task(uncertain, index);

	if (known != NULL)
		known->bound_to = bound_to;
	else
		g_array_append_val(uncertain->tasks, task);
}

void
mst_task_handle_lost_member(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct member *member)
{
	const struct task *task = &job->tasks[index];

	if (!is_best_effort(job) || !may_still_start(task))
		return;
	if (task->start_state == START_UNCERTAIN)
		mst_task_bind(entry, job, index, member);
	else if (job->key != NULL)
		add_task(entry, job->key, index, member->incarnation);
}

void
mst_uncertain_add_job(struct mst_entry *entry, const struct job *job)
{
	uint32_t i;

	if (job->key == NULL || !is_best_effort(job))
		return;
	for (i = 0; i < job->count; i++) {
		const struct task *task = &job->tasks[i];

		if (task->state == TASK_CLOSED)
			continue;
		if (may_still_start(task))
			add_task(entry, job->key, i, task->member->incarnation);
		else if (task->bound_to != 0)
			add_task(entry, job->key, i, task->bound_to);
	}
}

void
mst_uncertain_handle_result(struct mst_entry *entry, const struct job *job,
    const struct member *member, const struct mst_result_item *result,
    uint32_t index)
{
	struct uncertain_job *uncertain = job->key != NULL
	    ? g_hash_table_lookup(entry->uncertain.by_key, job->key)
	    : NULL;
	struct uncertain_task *task;

	if (uncertain == NULL || result->start_uncertain)
		return;
	task = find_task(uncertain, index);
	if (task == NULL || task->bound_to != member->incarnation)
		return;
	g_array_remove_index_fast(uncertain->tasks,
	    (guint)(task -
		&g_array_index(uncertain->tasks, struct uncertain_task, 0)));
	if (uncertain->tasks->len == 0)
		remove_job(entry, uncertain);
}

void
mst_entry_handle_uncertain_start(
    struct mst_entry *entry, const struct mst_msg *msg)
{
	const struct mst_uncertain_start *start = &msg->uncertain_start;
	char *key = mst_bytes_to_str(mst_task_name_job(start->task));
	struct job *job = g_hash_table_lookup(entry->jobs_by_key, key);
	struct task *task;

	add_task(entry, key, start->index, start->agent);
	g_free(key);
	if (job == NULL || !is_best_effort(job) || start->index >= job->count)
		return;
	task = &job->tasks[start->index];
	if (task->state != TASK_WAITING)
		return;
	task->bound_to = start->agent;
	entry->counters.tasks_bound++;
}

void
mst_uncertain_bind_job(struct mst_entry *entry, struct job *job)
{
	const struct uncertain_job *uncertain = job->key != NULL
	    ? g_hash_table_lookup(entry->uncertain.by_key, job->key)
	    : NULL;
	guint i;

	for (i = 0; uncertain != NULL && i < uncertain->tasks->len; i++) {
		const struct uncertain_task *task =
		    &g_array_index(uncertain->tasks, struct uncertain_task, i);

		if (task->index < job->count) {
			job->tasks[task->index].bound_to = task->bound_to;
			entry->counters.tasks_bound++;
		}
	}
}

void
mst_uncertain_expire(struct mst_entry *entry)
{
	struct uncertain_job *oldest;

	while (
	    (oldest = g_queue_peek_head(&entry->uncertain.by_expiry)) != NULL &&
	    entry->now_us >= oldest->expires_us)
		remove_job(entry, oldest);
}
