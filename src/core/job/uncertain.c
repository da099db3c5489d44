/* Tasks of which a start may still be executed; see uncertain.h. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/job/uncertain.h"
#include "core/member/member.h"

/* Time within which a live agent has answered the withdrawal of a task. */
#define SETTLE_TIME_US (300 * 1000)

/* Returns true if a start is at the host of a member. Agents of earlier builds
 * tell only their incarnation. */
static bool
is_at_host_of(const struct mst_entry *entry,
    const struct uncertain_start *start, const struct member *member)
{
	const struct member *agent;

	if (start->agent == member->incarnation)
		return true;
	if (start->host != NULL)
		return g_strcmp0(start->host, member->name) == 0;
	agent = mst_member_find(entry, start->agent);
	return agent == NULL || g_strcmp0(agent->name, member->name) == 0;
}

uint32_t
mst_task_bound_run_number(
    const struct mst_entry *entry, const struct task *task)
{
	const struct uncertain_start *start;
	uint32_t number = 0;

	for (start = task->starts; start != NULL; start = start->next) {
		if (entry->now_us < start->expires_us)
			number = MAX(number, MAX(start->run, 1));
	}
	return number;
}

/* A worker that is restarted executes one start of each number, so all starts
 * must have the same one. */
bool
mst_task_may_run_at(const struct mst_entry *entry, const struct task *task,
    const struct member *member)
{
	const struct uncertain_start *start;
	uint32_t number = mst_task_bound_run_number(entry, task);

	for (start = task->starts; start != NULL; start = start->next) {
		if (entry->now_us >= start->expires_us)
			continue;
		if (start->is_spent || MAX(start->run, 1) != number ||
		    !is_at_host_of(entry, start, member))
			return false;
	}
	return true;
}

bool
mst_task_is_bound(const struct mst_entry *entry, const struct task *task)
{
	return mst_start_list_is_live(task->starts, entry->now_us);
}

void
mst_task_end_wait(struct mst_entry *entry, struct task *task)
{
	struct uncertain_start *live = NULL;

	if (task->starts == NULL)
		return;
	mst_start_list_move(&live, &task->starts, entry->now_us);
	task->starts = live;
	if (live != NULL)
		entry->counters.bound_tasks_returned++;
	else
		entry->counters.bound_tasks_released++;
}

bool
mst_job_is_best_effort(const struct job *job)
{
	return job->restartable && job->stored == NULL;
}

/* Returns true if a task is at a member that has not told that its start is
 * settled. Members of builds that never tell it count as settled. */
static bool
may_still_start(const struct mst_entry *entry, const struct task *task)
{
	return entry->options.leased && task->state == TASK_SENT &&
	    task->start_state != START_SETTLED &&
	    (task->member->build.features & MST_FEATURE_UNCERTAIN_STARTS) != 0;
}

bool
mst_member_confirms_starts(const struct member *member)
{
	return (member->build.features & MST_FEATURE_CONFIRMED_STARTS) != 0;
}

/* Returns the open job with a key if its tasks can be bound. */
static struct job *
find_open_job(const struct mst_entry *entry, const char *key)
{
	struct job *job = g_hash_table_lookup(entry->jobs_by_key, key);

	return job != NULL && mst_job_is_best_effort(job) ? job : NULL;
}

static void
note_bound(struct mst_entry *entry, struct job *job, uint32_t index,
    const struct uncertain_start *start)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_BOUND);

	effect->job = job->handle;
	effect->index = index;
	effect->peer = start->agent;
	effect->state = job->tasks[index].starts->host;
	entry->counters.tasks_bound++;
	job->was_bound = true;
}

static void
bind_task(struct mst_entry *entry, struct job *job, uint32_t index,
    const struct uncertain_start *start)
{
	mst_start_list_add(&job->tasks[index].starts, start);
	note_bound(entry, job, index, start);
}

/* Adds a start that this entry was told of to the open job, or remembers it.
 */
static void
add_told_start(struct mst_entry *entry, const char *key, uint32_t index,
    const struct uncertain_start *start)
{
	struct job *job = find_open_job(entry, key);
	struct uncertain_start *starts = NULL;

	if (job != NULL && index < job->count) {
		bind_task(entry, job, index, start);
		return;
	}
	mst_start_list_add(&starts, start);
	mst_uncertain_remember(entry, key, index, &starts);
}

/* Returns the start of a task that is sent to a member. The caller releases its
 * host. */
static struct uncertain_start
sent_start(const struct mst_entry *entry, const struct member *member,
    const struct task *task)
{
	return (struct uncertain_start){
	    .host = g_ref_string_new_intern(member->name ? member->name : ""),
	    .agent = member->incarnation,
	    .seq = task->seq,
	    .run = task->run,
	    .expires_us = entry->now_us + UNCERTAIN_KEEP_US};
}

/* Marks the starts at the host of a member as spent, because its worker has
 * ended a run with their number. A new number is no way out: after a restart
 * the worker might execute the old start as well. */
static void
spend_starts(const struct mst_entry *entry, struct task *task,
    const struct member *member)
{
	struct uncertain_start *start;

	for (start = task->starts; start != NULL; start = start->next)
		start->is_spent |= is_at_host_of(entry, start, member);
}

void
mst_task_handle_start_result(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct member *member,
    const struct mst_result_item *result)
{
	struct uncertain_start start;

	if (result->outcome == MST_OUTCOME_NOT_RUN &&
	    result->reason == MST_REASON_RUN_USED)
		spend_starts(entry, &job->tasks[index], member);
	if (!result->start_uncertain || !mst_job_is_best_effort(job))
		return;
	start = sent_start(entry, member, &job->tasks[index]);
	/* A task that has succeeded runs again only if its job does. */
	if (result->outcome == MST_OUTCOME_DONE &&
	    result->status < STATUS_FAILED_MIN)
		mst_start_list_add(&job->tasks[index].starts, &start);
	else
		bind_task(entry, job, index, &start);
	/* The agent tells only the entries that it serves. */
	if (job->key != NULL)
		mst_uncertain_tell_later(entry, job->key, index, 0);
	g_ref_string_release(start.host);
}

void
mst_task_handle_lost_member(struct mst_entry *entry, struct job *job,
    uint32_t index, const struct member *member)
{
	const struct task *task = &job->tasks[index];
	struct uncertain_start start;
	struct uncertain_start *starts = NULL;

	if (!mst_job_is_best_effort(job) || !may_still_start(entry, task))
		return;
	start = sent_start(entry, member, task);
	if (mst_member_confirms_starts(member) ||
	    task->start_state == START_UNCERTAIN) {
		bind_task(entry, job, index, &start);
		if (job->key != NULL)
			mst_uncertain_tell_later(entry, job->key, index, 0);
	} else if (job->key != NULL) {
		/* A member that never confirms starts: the task may run
		 * elsewhere for the rest of the job. */
		mst_start_list_add(&starts, &start);
		mst_uncertain_remember(entry, job->key, index, &starts);
	}
	g_ref_string_release(start.host);
}

/* Adds the start of a task that is still at its member when its job is closed.
 * The member's answer to the withdrawal may settle it. */
static void
add_sent_task(struct mst_entry *entry, struct task *task)
{
	struct uncertain_start start = sent_start(entry, task->member, task);

	mst_start_list_add(&task->starts, &start);
	g_ref_string_release(start.host);
}

static bool
job_has_bound_task(const struct mst_entry *entry, const struct job *job)
{
	uint32_t i;

	for (i = 0; i < job->count; i++) {
		if (job->tasks[i].state != TASK_CLOSED &&
		    mst_task_is_bound(entry, &job->tasks[i]))
			return true;
	}
	return false;
}

void
mst_uncertain_add_job(struct mst_entry *entry, struct job *job)
{
	int64_t delay_us = entry->draining ? 0 : SETTLE_TIME_US;
	uint32_t i;

	if (!mst_job_is_best_effort(job))
		return;
	job->start_uncertain = job_has_bound_task(entry, job);
	for (i = 0; i < job->count && job->key != NULL; i++) {
		struct task *task = &job->tasks[i];

		if (task->state == TASK_WAITING &&
		    mst_task_is_bound(entry, task))
			entry->counters.bound_tasks_unrun++;
		if (may_still_start(entry, task))
			add_sent_task(entry, task);
		if (task->starts == NULL)
			continue;
		mst_uncertain_remember(entry, job->key, i, &task->starts);
		mst_uncertain_tell_later(entry, job->key, i, delay_us);
	}
}

void
mst_uncertain_handle_result(struct mst_entry *entry, const struct job *job,
    const struct member *member, const struct mst_result_item *result,
    uint32_t index)
{
	struct job *again;

	if (job->key == NULL || result->start_uncertain)
		return;
	again = find_open_job(entry, job->key);
	if (again != NULL && index < again->count &&
	    mst_start_list_settle(
		&again->tasks[index].starts, member->incarnation, result->seq))
		entry->counters.bound_tasks_settled++;
	mst_uncertain_settle(
	    entry, job->key, index, member->incarnation, result->seq);
}

void
mst_entry_handle_uncertain_start(
    struct mst_entry *entry, const struct mst_msg *msg)
{
	const struct mst_uncertain_start *told = &msg->uncertain_start;
	const struct member *member = mst_member_find(entry, told->agent);
	struct uncertain_start start = {.agent = told->agent,
	    .expires_us = entry->now_us + UNCERTAIN_KEEP_US,
	    .is_told = true};
	char *key = mst_bytes_to_str(mst_task_name_job(told->task));

	if (member != NULL && member->name != NULL)
		start.host = g_ref_string_new_intern(member->name);
	add_told_start(entry, key, told->index, &start);
	if (start.host != NULL)
		g_ref_string_release(start.host);
	g_free(key);
}

void
mst_uncertain_add_told(
    struct mst_entry *entry, const struct mst_uncertain_item *item)
{
	int64_t age_us = (int64_t)item->age_ms * 1000;
	struct uncertain_start start = {.agent = item->agent,
	    .run = item->run,
	    .expires_us = entry->now_us + UNCERTAIN_KEEP_US - age_us,
	    .is_told = true};
	char *host, *key;

	if (age_us >= UNCERTAIN_KEEP_US || item->index >= MST_JOB_TASKS_MAX)
		return;
	host = mst_bytes_to_str(item->host);
	key = mst_bytes_to_str(item->job);
	if (item->host.len > 0)
		start.host = g_ref_string_new_intern(host);
	add_told_start(entry, key, item->index, &start);
	if (start.host != NULL)
		g_ref_string_release(start.host);
	g_free(host);
	g_free(key);
}

void
mst_entry_handle_uncertain_starts(
    struct mst_entry *entry, const struct mst_msg *msg)
{
	const struct mst_uncertain_starts *starts = &msg->uncertain_starts;
	uint32_t i;

	for (i = 0; i < starts->count; i++)
		mst_uncertain_add_told(entry, &starts->items[i]);
}

void
mst_uncertain_bind_job(struct mst_entry *entry, struct job *job)
{
	GHashTable *remembered;
	GHashTableIter iter;
	gpointer key, value;

	if (job->key == NULL || !mst_job_is_best_effort(job))
		return;
	remembered = mst_uncertain_take(entry, job->key);
	if (remembered == NULL)
		return;
	g_hash_table_iter_init(&iter, remembered);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint32_t index = GPOINTER_TO_UINT(key);
		struct uncertain_start *starts = value;
		struct task *task;

		if (index >= job->count)
			continue;
		g_hash_table_iter_steal(&iter);
		task = &job->tasks[index];
		mst_start_list_move(&task->starts, &starts, entry->now_us);
		if (task->starts != NULL)
			note_bound(entry, job, index, task->starts);
	}
	g_hash_table_unref(remembered);
}

const struct uncertain_start *
mst_uncertain_find(
    const struct mst_entry *entry, const char *key, uint32_t index)
{
	const struct job *job = find_open_job(entry, key);

	if (job == NULL)
		return mst_uncertain_recall(entry, key, index);
	return index < job->count ? job->tasks[index].starts : NULL;
}
