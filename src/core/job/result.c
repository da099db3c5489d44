/* Results that agents report to an entry, and retries of tasks. */

#include "base/retry_delay.h"
#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/slow_start.h"

#define RESULT_MEMBER_WINDOW 32  /* samples in the averages of a member */
#define RESULT_TEAM_WINDOW   128 /* samples in the averages of a team */

/* Delay of a retry, in microseconds. */
static const struct mst_retry_bounds retry_bounds = {
    .min = 40 * 1000, .max = 1280 * 1000};

static bool
take_retry_token(struct mst_entry *entry)
{
	if (entry->config == NULL || entry->config->policy.retry_budget == 0 ||
	    entry->retry_tokens < 1)
		return false;
	entry->retry_tokens -= 1;
	return true;
}

/* Returns true if a task may be retried now, and in this case takes a token
 * from the retry budget. */
static bool
take_retry_permission(
    struct mst_entry *entry, const struct job *job, const struct task *task)
{
	return (task->flags & MST_TASK_IDEMPOTENT) != 0 &&
	    task->attempts < ENTRY_ATTEMPTS_MAX &&
	    mst_crash_judge(&task->crashes) != MST_CRASH_GIVE_UP &&
	    entry->now_us < job->deadline_us && !entry->stopped &&
	    take_retry_token(entry);
}

/* Delays the next attempt of a task: exponential back-off with jitter. */
static void
schedule_retry(struct mst_entry *entry, struct job *job, uint32_t index)
{
	struct task *task = &job->tasks[index];
	struct retry retry = {.tag = mst_task_tag(job, index)};

	entry->counters.retries++;
	task->may_have_run = true;
	mst_task_avoid(entry, task, task->member);
	task->member = NULL;
	task->state = TASK_DELAYED;
	retry.due_us = entry->now_us +
	    mst_retry_delay(
		&retry_bounds, task->attempts, g_rand_double(entry->rand));
	g_array_append_val(entry->retries, retry);
}

void
mst_entry_queue_due_retries(struct mst_entry *entry)
{
	guint i = 0;

	while (i < entry->retries->len) {
		struct retry retry =
		    g_array_index(entry->retries, struct retry, i);
		struct job *job = mst_job_find(entry, retry.tag >> 16);
		uint32_t index = (uint32_t)(retry.tag & 0xffff);

		if (retry.due_us > entry->now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(entry->retries, i);
		if (job != NULL && job->state == MST_JOB_OPEN &&
		    job->tasks[index].state == TASK_DELAYED) {
			job->tasks[index].ready_us = entry->now_us;
			mst_task_requeue(entry, job, index);
		}
	}
}

void
mst_task_retry(struct mst_entry *entry, struct job *job, uint32_t index)
{
	if (!take_retry_permission(entry, job, &job->tasks[index]))
		return;
	entry->tasks_sent--;
	schedule_retry(entry, job, index);
}

/* Queues a restartable task again after a run without success. */
static void
requeue_after_run(struct mst_entry *entry, struct job *job, uint32_t index,
    struct member *member)
{
	struct task *task = &job->tasks[index];

	task->may_have_run = true;
	mst_task_avoid(entry, task, member);
	entry->counters.retries++;
	mst_task_requeue(entry, job, index);
}

void
mst_task_handle_unknown(struct mst_entry *entry, struct job *job,
    uint32_t index, enum mst_reason reason)
{
	struct task *task = &job->tasks[index];

	if (job->stored != NULL) {
		mst_stored_abandon_run(entry, job, index);
		return;
	}
	if (job->restartable) {
		requeue_after_run(entry, job, index, task->member);
		return;
	}
	if (take_retry_permission(entry, job, task)) {
		schedule_retry(entry, job, index);
		return;
	}
	mst_task_close(entry, job, index, MST_OUTCOME_UNKNOWN, reason);
}

/* Queues a task again that was returned without being run, or closes it if its
 * deadline has passed. Tasks of jobs that are not restartable have a limit on
 * their attempts. Those of restartable jobs fail only by runs that fail. */
static void
handle_task_not_run(struct mst_entry *entry, struct job *job, uint32_t index,
    enum mst_reason reason)
{
	struct task *task = &job->tasks[index];

	entry->counters.requeued[reason]++;
	if (reason == MST_REASON_DEADLINE ||
	    (!job->restartable && task->attempts >= ENTRY_ATTEMPTS_MAX))
		mst_task_close(entry, job, index, MST_OUTCOME_NOT_RUN, reason);
	else if (mst_stored_has_used_run_numbers(job, task))
		mst_stored_abandon_run(entry, job, index);
	else
		mst_task_requeue(entry, job, index);
}

/* Updates the estimates of restartable tasks. The observed time is normalized
 * to a member of slowness 1 in the rack of the data. */
static void
update_restartable_estimate(const struct mst_entry *entry,
    const struct member *member, struct job *job, const struct task *task,
    double observed_us)
{
	struct step *step = &job->steps[task->step];
	double remote_factor =
	    mst_task_expected_at_us(entry, member, job, task) /
	    mst_task_expected_us(job, task);
	double service_us = observed_us / member->slowness / remote_factor;

	if (!entry->options.tuning.learn_times)
		return;
	mst_estimate_add_sample(&job->team->estimate, task->declared_us,
	    service_us, RESULT_TEAM_WINDOW);
	step->max_observed_us = MAX(step->max_observed_us, service_us);
}

/* Updates the estimates of the member's and the team's service times. */
static void
update_service_estimates(const struct mst_entry *entry, struct member *member,
    struct job *job, const struct task *task, double observed_us)
{
	struct mst_slowness *team_ratio = &job->team->service_time_ratio;
	double declared_us = task->declared_us;

	if (member->is_cold)
		member->cold_shown =
		    mst_slow_start_count(member->cold_shown, observed_us,
			mst_task_expected_at_us(entry, member, job, task) *
			    member->slowness);
	member->mean_service_us += (observed_us - member->mean_service_us) / 8;
	if (job->restartable) {
		update_restartable_estimate(
		    entry, member, job, task, observed_us);
		return;
	}
	mst_slowness_add_sample(&member->slowness_avg, observed_us,
	    declared_us * mst_slowness_ratio(team_ratio), RESULT_MEMBER_WINDOW);
	mst_slowness_add_sample(team_ratio, observed_us,
	    declared_us * mst_slowness_ratio(&member->slowness_avg),
	    RESULT_TEAM_WINDOW);
}

static void
handle_task_done(struct mst_entry *entry, struct job *job, uint32_t index,
    const struct mst_result_item *result)
{
	struct task *task = &job->tasks[index];
	bool failed = result->status >= STATUS_FAILED_MIN;

	if (failed && take_retry_permission(entry, job, task)) {
		schedule_retry(entry, job, index);
		return;
	}
	mst_task_set_result(entry, job, index, result);
}

/* Returns true if the result of a run says nothing about the member's health,
 * because it was ended by this entry or an operator, or by a crash that any run
 * may have caused. The agent grants nothing until the worker is back. */
static bool
is_without_fault(uint8_t reason)
{
	return reason == MST_REASON_WITHDRAWN ||
	    reason == MST_REASON_LEASE_LAPSED ||
	    reason == MST_REASON_DRAINING ||
	    reason == MST_REASON_WORKER_CRASHED;
}

static void
handle_task_failed(struct mst_entry *entry, struct job *job, uint32_t index,
    struct member *member)
{
	struct task *task = &job->tasks[index];

	task->failures++;
	if (task->failures < job->attempts)
		requeue_after_run(entry, job, index, member);
	else
		mst_task_close(
		    entry, job, index, MST_OUTCOME_DONE, MST_REASON_RUN_FAILED);
}

static void
handle_task_result(struct mst_entry *entry, struct job *job, uint32_t index,
    struct member *member, const struct mst_result_item *result)
{
	struct task *task = &job->tasks[index];

	switch ((enum mst_outcome)result->outcome) {
	case MST_OUTCOME_DONE:
		mst_member_update_health(
		    entry, member, result->status >= STATUS_FAILED_MIN);
		if (job->restartable && result->status >= STATUS_FAILED_MIN) {
			handle_task_failed(entry, job, index, member);
			break;
		}
		if (result->status < STATUS_FAILED_MIN)
			update_service_estimates(
			    entry, member, job, task, result->service_us);
		handle_task_done(entry, job, index, result);
		break;
	case MST_OUTCOME_NOT_RUN:
		if (result->reason == MST_REASON_UPSTREAM_DOWN) {
			mst_member_update_health(entry, member, true);
			mst_member_back_off(entry, member);
		}
		if (result->reason == MST_REASON_STALE)
			mst_member_refuse_echo(member);
		handle_task_not_run(entry, job, index, result->reason);
		break;
	case MST_OUTCOME_UNKNOWN:
	case MST_OUTCOME_NONE:
		if (result->reason == MST_REASON_WORKER_CRASHED &&
		    mst_task_handle_crash(entry, job, index, member))
			break;
		/* An upstream that crashes closes its connections. */
		if (result->reason == MST_REASON_UPSTREAM_RESET &&
		    !job->restartable)
			task->crashes.total++;
		if (!is_without_fault(result->reason))
			mst_member_update_health(entry, member, true);
		if (job->restartable) {
			requeue_after_run(entry, job, index, member);
			break;
		}
		mst_task_handle_unknown(entry, job, index, result->reason);
		break;
	}
}

/* Settles the start that a result is about at this entry's backup, unless it
 * may still be executed. */
static void
settle_start(struct mst_entry *entry, const struct member *member,
    const struct mst_result_item *result, uint64_t tag)
{
	struct job *job = mst_job_find(entry, tag >> 16);
	struct task *task = job != NULL ? &job->tasks[tag & 0xffff] : NULL;

	if (task != NULL && !result->start_uncertain &&
	    task->last_member == member->incarnation &&
	    task->seq == result->seq)
		mst_backup_settle(entry, task);
}

static void
apply_result(struct mst_entry *entry, struct member *member,
    const struct mst_result_item *result)
{
	gpointer key = mst_u64_to_pointer(result->seq);
	uint64_t tag =
	    (uint64_t)(uintptr_t)g_hash_table_lookup(member->sent_tasks, key);
	struct job *job;

	entry->counters.results++;
	if (tag == 0) {
		entry->counters.results_repeated++;
		/* A result that must be recorded in the store first is
		 * acknowledged only by the write that records it. */
		if (!result->ack_after_record)
			mst_seqset_add(&member->results_received, result->seq);
		return;
	}
	if (result->outcome == MST_OUTCOME_NOT_RUN &&
	    result->reason == MST_REASON_FENCED) {
		mst_entry_start_incarnation(entry);
		return;
	}
	g_hash_table_remove(member->sent_tasks, key);
	if (!result->ack_after_record)
		mst_seqset_add(&member->results_received, result->seq);
	member->outstanding--;
	member->last_progress_us = entry->now_us;
	settle_start(entry, member, result, tag);
	if (mst_find_sent_task(entry, member, result->seq, tag, &job) == NULL) {
		entry->counters.results_late++;
		if (job != NULL && job->state != MST_JOB_OPEN)
			mst_uncertain_handle_result(entry, job, member, result,
			    (uint32_t)(tag & 0xffff));
		return;
	}
	entry->tasks_sent--;
	mst_task_handle_start_result(
	    entry, job, (uint32_t)(tag & 0xffff), member, result);
	if (result->ack_after_record && job->stored != NULL)
		mst_stored_defer_ack(entry, job, member, result->seq);
	handle_task_result(
	    entry, job, (uint32_t)(tag & 0xffff), member, result);
}

/* Records which sent tasks have started for certain. */
static void
confirm_starts(struct mst_entry *entry, struct member *member,
    const struct mst_results *results)
{
	uint32_t i;

	for (i = 0; i < results->confirmed_count; i++) {
		uint64_t seq = results->confirmed_seqs[i];
		uint64_t tag = (uint64_t)(uintptr_t)g_hash_table_lookup(
		    member->sent_tasks, mst_u64_to_pointer(seq));
		struct job *job;
		struct task *task = tag != 0
		    ? mst_find_sent_task(entry, member, seq, tag, &job)
		    : NULL;

		if (task == NULL)
			continue;
		task->start_state = START_SETTLED;
		mst_backup_settle(entry, task);
		entry->counters.starts_confirmed++;
	}
}

void
mst_entry_handle_results(struct mst_entry *entry, struct member *member,
    const struct mst_results *results)
{
	uint64_t incarnation = entry->incarnation;
	uint32_t i;

	member->grant = results->grant;
	member->free_slots = results->free_slots;
	confirm_starts(entry, member, results);
	for (i = 0; i < results->count; i++) {
		apply_result(entry, member, &results->items[i]);
		if (entry->incarnation != incarnation)
			return;
	}
	mst_entry_place_tasks(entry);
}
