/* Placement of an entry: chooses a member for each waiting task. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/constraint.h"
#include "core/place/fit.h"
#include "core/place/place.h"

#define PLACE_SLACK_SHARE 0.9 /* share of a job's slack used at full load */
#define PLACE_TASKS_MAX   64  /* tasks tried per team and placement */

/* Returns the share of the usable members' capacity that is in use. */
static double
compute_utilization(const struct mst_entry *entry)
{
	double busy_capacity = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (mst_member_is_usable(entry, member))
			busy_capacity +=
			    MIN(member->outstanding, mst_member_slots(member)) /
			    member->slowness;
	}
	return entry->capacity > 0 ? MIN(busy_capacity / entry->capacity, 1)
				   : 1;
}

/* Returns the time that a job still needs at least, in microseconds: until its
 * sent tasks are expected to end, or the service time of its longest waiting
 * task at the fastest member, whichever is longer. A task that finishes within
 * it does not delay the job. */
static double
job_slack_us(const struct mst_entry *entry, const struct job *job)
{
	double slack_us = (double)(job->expected_end_us - entry->now_us);
	uint16_t longest = g_array_index(
	    job->waiting_tasks, uint16_t, job->waiting_tasks->len - 1);
	double longest_us = mst_task_expected_us(job, &job->tasks[longest]);

	return MAX(slack_us, longest_us * entry->min_slowness);
}

/* Returns true if a task may wait for some member that is faster than the
 * chosen one. */
static bool
has_faster_member(const struct mst_entry *entry, const struct member *chosen,
    const struct job *job, const struct task *task, enum mst_preference lifted)
{
	guint i;

	for (i = 0; i < entry->ranked->len; i++) {
		const struct member *member = entry->ranked->pdata[i];

		if (member->slowness >= chosen->slowness)
			break;
		if (mst_member_may_be_awaited(entry, member, job, task, lifted))
			return true;
	}
	return false;
}

/* Returns true if a task is expected to finish sooner by waiting for a slot of
 * a faster member than at the chosen member. */
static bool
is_faster_member_sooner(const struct mst_entry *entry,
    const struct member *chosen, const struct job *job, const struct task *task,
    enum mst_preference lifted, double service_us, double queued_us)
{
	double wait_us;

	if (chosen->faster_capacity <= 0 ||
	    !has_faster_member(entry, chosen, job, task, lifted))
		return false;
	wait_us = (queued_us + service_us) / chosen->faster_capacity;
	return chosen->slowness * service_us >
	    (wait_us + service_us * entry->min_slowness) *
	    entry->config->policy.wait_bias;
}

/* Returns the expected time until a task finishes at a member, in microseconds,
 * including the wait for a slot. The term of 1e-3 spreads tasks over equal
 * members. */
static double
expected_finish_us(const struct member *member, double service_us)
{
	double slots = MAX(mst_member_slots(member), 1);
	double excess = (double)member->outstanding + 1 - slots;

	return member->slowness * service_us *
	    (1 + MAX(excess, 0) / slots + member->outstanding / slots * 1e-3);
}

/*
 * Chooses a member by expected finish time. A task that does not delay the
 * completion of its job goes to the member that finishes it last but within the
 * job's slack, which leaves the fast members to critical tasks; the share of
 * the slack that is used grows with the load. Any other task goes to the member
 * that finishes it first. Returns NULL if the task should rather wait, because
 * a faster member is expected to be free soon enough.
 */
static struct member *
choose_by_finish_time(struct mst_entry *entry, const struct job *job,
    const struct task *task, enum mst_preference lifted, double service_us,
    double queued_us)
{
	double slack_us =
	    job_slack_us(entry, job) * PLACE_SLACK_SHARE * entry->utilization;
	double latest_us = 0, earliest_us = 0;
	struct member *latest_in_time = NULL;
	struct member *earliest = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		double finish_us;

		if (!mst_member_is_candidate(entry, member, job, task, lifted))
			continue;
		finish_us = expected_finish_us(member, service_us);
		if (finish_us <= slack_us && finish_us > latest_us) {
			latest_in_time = member;
			latest_us = finish_us;
		}
		if (earliest == NULL || finish_us < earliest_us) {
			earliest = member;
			earliest_us = finish_us;
		}
	}
	if (latest_in_time != NULL)
		return latest_in_time;
	if (earliest != NULL &&
	    is_faster_member_sooner(
		entry, earliest, job, task, lifted, service_us, queued_us))
		return NULL;
	return earliest;
}

static struct member *
choose_random(struct mst_entry *entry, const struct job *job,
    const struct task *task, enum mst_preference lifted)
{
	struct member *chosen = NULL;
	gint32 candidates = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (!mst_member_is_candidate(entry, member, job, task, lifted))
			continue;
		candidates++;
		if (g_rand_int_range(entry->rand, 0, candidates) == 0)
			chosen = member;
	}
	return chosen;
}

static struct member *
choose_round_robin(struct mst_entry *entry, const struct job *job,
    const struct task *task, enum mst_preference lifted)
{
	guint member_count = entry->members->len;
	guint i;

	for (i = 0; i < member_count; i++) {
		guint index = (entry->round_robin + i) % member_count;
		struct member *member = entry->members->pdata[index];

		if (!mst_member_is_candidate(entry, member, job, task, lifted))
			continue;
		entry->round_robin = index + 1;
		return member;
	}
	return NULL;
}

static struct member *
choose_least_outstanding(struct mst_entry *entry, const struct job *job,
    const struct task *task, enum mst_preference lifted)
{
	struct member *best = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (!mst_member_is_candidate(entry, member, job, task, lifted))
			continue;
		if (best == NULL || member->outstanding < best->outstanding)
			best = member;
	}
	return best;
}

static struct member *
choose_by_policy(struct mst_entry *entry, const struct job *job,
    const struct task *task, enum mst_preference lifted, double service_us,
    double queued_us)
{
	entry->counters.placement_checks += entry->members->len;
	if (mst_job_is_isolated(job))
		return mst_quarantine_choose_isolated(entry, job, task, lifted);
	switch (entry->config->policy.placement) {
	case MST_PLACEMENT_RANDOM:
		return choose_random(entry, job, task, lifted);
	case MST_PLACEMENT_ROUND_ROBIN:
		return choose_round_robin(entry, job, task, lifted);
	case MST_PLACEMENT_LEAST_OUTSTANDING:
		return choose_least_outstanding(entry, job, task, lifted);
	case MST_PLACEMENT_FINISH:
		break;
	}
	if (entry->options.leased)
		return mst_choose_leased_member(entry, job, task, lifted);
	return choose_by_finish_time(
	    entry, job, task, lifted, service_us, queued_us);
}

/* Returns a member for a task or, if it should wait, NULL. */
static struct member *
choose_member(struct mst_entry *entry, const struct job *job,
    const struct task *task, double service_us, double queued_us)
{
	enum mst_preference first = mst_task_has_waited_long(entry, task)
	    ? MST_PREFER_OTHER
	    : MST_PREFER_NONE;
	struct member *member =
	    choose_by_policy(entry, job, task, first, service_us, queued_us);
	enum mst_preference lifted;

	if (member != NULL)
		return member;
	entry->counters.placement_checks += entry->members->len;
	lifted = mst_preferences_to_lift(entry, job, task);
	if (lifted <= first)
		return NULL;
	return choose_by_policy(
	    entry, job, task, lifted, service_us, queued_us);
}

/* Sets the number of a task's run, which repeated dispatches keep, whatever is
 * told of its starts meanwhile. */
static void
set_run_number(const struct mst_entry *entry, const struct member *member,
    const struct job *job, struct task *task)
{
	uint32_t bound_run = mst_task_bound_run_number(entry, task);

	task->run =
	    bound_run > 0 ? bound_run : mst_stored_run_number(job, task);
	task->flags &= (uint8_t)~MST_TASK_SAME_RUN;
	if (bound_run > 0 &&
	    (member->build.features & MST_FEATURE_CONFIRMED_STARTS) != 0)
		task->flags |= MST_TASK_SAME_RUN;
}

static void
send_task(struct mst_entry *entry, struct job *job, guint position,
    struct member *member, double service_us)
{
	uint16_t index = g_array_index(job->waiting_tasks, uint16_t, position);
	struct task *task = &job->tasks[index];
	uint64_t tag = mst_task_tag(job, index);
	int64_t end_us =
	    entry->now_us + (int64_t)(service_us * member->slowness);

	g_array_remove_index(job->waiting_tasks, position);
	mst_team_count_waiting(entry, job, -1, service_us);
	mst_team_charge(entry, job->team, service_us);
	if (job->waiting_tasks->len == 0)
		mst_team_dequeue(entry, job);
	if (task->attempts == 0)
		job->started++;
	task->attempts++;
	task->state = TASK_SENT;
	task->withdrawing = false;
	task->start_state = START_UNKNOWN;
	task->backup_number = 0;
	mst_task_end_wait(entry, task);
	task->isolated = mst_job_is_isolated(job);
	task->member = member;
	task->last_member = member->incarnation;
	task->seq = ++member->next_seq;
	set_run_number(entry, member, job, task);
	task->sent_us = entry->now_us;
	job->expected_end_us = MAX(job->expected_end_us, end_us);
	if (member->free_slots > 0)
		member->free_slots--;
	else
		member->queued_tasks++;
	if (member->outstanding++ == 0)
		member->last_progress_us = entry->now_us;
	entry->tasks_sent++;
	entry->retry_tokens = MIN(ENTRY_RETRY_BURST,
	    entry->retry_tokens + entry->config->policy.retry_budget);
	entry->counters.dispatches++;
	g_hash_table_insert(member->sent_tasks, mst_u64_to_pointer(task->seq),
	    mst_u64_to_pointer(tag));
	g_array_append_val(member->outbox, tag);
}

/* Sends the first task of a job for which a member is found, and returns true
 * if there is one. The service times of the tasks that keep waiting are added
 * to the load that is queued before the next job, and their number is
 * subtracted from the tries that are left for the team. */
static bool
place_task_of_job(struct mst_entry *entry, struct job *job, double *queued_us,
    int *tries_left)
{
	double active_teams = entry->active_teams->len;
	guint position;

	for (position = job->waiting_tasks->len;
	     position > 0 && *tries_left > 0; position--) {
		uint16_t index =
		    g_array_index(job->waiting_tasks, uint16_t, position - 1);
		const struct task *task = &job->tasks[index];
		double service_us = mst_task_expected_us(job, task);
		struct member *member = choose_member(
		    entry, job, task, service_us, *queued_us * active_teams);

		if (member != NULL) {
			send_task(entry, job, position - 1, member, service_us);
			return true;
		}
		*queued_us += service_us;
		(*tries_left)--;
		/* Tasks of one step are similar: the next could not be placed
		 * either, unless this one is bound to a member. */
		if (job->restartable && job->step_count == 1 &&
		    !mst_task_is_bound(entry, task))
			break;
	}
	return false;
}

static bool
place_task_of_team(struct mst_entry *entry, struct team *team)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(team->jobs);
	int tries_left = PLACE_TASKS_MAX;
	double queued_us = 0;

	while (tries_left > 0 && !g_sequence_iter_is_end(iter)) {
		struct job *job = g_sequence_get(iter);

		iter = g_sequence_iter_next(iter);
		if (place_task_of_job(entry, job, &queued_us, &tries_left))
			return true;
	}
	return false;
}

/* Returns true if some member may get a task, if need be against preferences.
 */
static bool
has_available_member(const struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (mst_member_is_up(entry, member) &&
		    entry->now_us >= member->down_until_us &&
		    mst_member_has_free_grant(entry, member))
			return true;
	}
	return false;
}

void
mst_entry_place_tasks(struct mst_entry *entry)
{
	entry->place_due = true;
}

void
mst_entry_place_due_tasks(struct mst_entry *entry)
{
	struct team *team;

	if (entry->config == NULL || !entry->place_due)
		return;
	entry->place_due = false;
	entry->place_round++;
	while (entry->tasks_waiting > 0 && has_available_member(entry) &&
	    (team = mst_team_next(entry)) != NULL) {
		entry->utilization = entry->options.leased
		    ? mst_leased_utilization(entry)
		    : compute_utilization(entry);
		if (!place_task_of_team(entry, team))
			team->skipped_round = entry->place_round;
	}
	entry->tasks_tried = entry->tasks_waiting;
}
