/* Placement of an entry: which task goes to which member, and when. */

#include "core/entry_internal.h"

#define PLACE_FASTER      0.95 /* speed ratio that counts as faster */
#define PLACE_SAMPLES_MIN 3    /* results before a speed is believed */
#define PLACE_SLACK_USED  0.9  /* share of a job's slack that is used */
#define PLACE_TASKS_TRIED 64   /* of one team per placement */

double
mst_task_expected_us(const struct job *job, const struct task *task)
{
	double work_us;

	if (!job->restartable)
		return task->declared_us * mst_slowness_ratio(&job->team->bias);
	/* Tasks of one step are alike. */
	work_us = mst_estimate_us(&job->team->estimate, task->declared_us);
	return MAX(work_us, job->steps[task->step].max_observed_us);
}

bool
mst_member_has_resources(const struct member *member, const struct task *task)
{
	return member->resources.millicores >= task->needs.millicores &&
	    member->resources.memory_mb >= task->needs.memory_mb &&
	    member->resources.accelerators >= task->needs.accelerators;
}

bool
mst_member_serves(const struct member *member, const struct job *job)
{
	return job->service == 0 || job->service == member->service;
}

bool
mst_member_usable(const struct mst_entry *entry, const struct member *member)
{
	return member->state == MEMBER_ACTIVE &&
	    entry->now_us >= member->ejected_until_us &&
	    entry->now_us >= member->down_until_us;
}

uint32_t
mst_member_slots(const struct member *member)
{
	/* The grant of a leased member changes with what it runs. */
	return member->leased ? member->slots
			      : MIN(member->slots, member->grant);
}

bool
mst_member_has_room(const struct mst_entry *entry, const struct member *member)
{
	if (!mst_member_usable(entry, member))
		return false;
	if (member->probing || member->overdue)
		return member->outstanding == 0;
	return member->outstanding < member->grant;
}

static uint32_t
usable_members(const struct mst_entry *entry)
{
	uint32_t usable = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++)
		usable += mst_member_usable(entry, entry->members->pdata[i]);
	return usable;
}

bool
mst_member_is_candidate(const struct mst_entry *entry,
    const struct member *member, const struct job *job, const struct task *task)
{
	if (!mst_member_serves(member, job) ||
	    !mst_member_has_room(entry, member) ||
	    !mst_member_has_resources(member, task) ||
	    !mst_member_matches_step(member, job, task))
		return false;
	return task->avoid_member != member->incarnation ||
	    usable_members(entry) < 2;
}

/* Learnt slowness; a member without results counts as the fastest. */
static double
learnt_slowness(
    const struct mst_entry *entry, const struct member *member, double fastest)
{
	if (entry->options.leased)
		return member->reported_slowness > 0 ? member->reported_slowness
						     : 1;
	if (member->slowness_avg.samples < PLACE_SAMPLES_MIN)
		return fastest;
	return mst_slowness_ratio(&member->slowness_avg);
}

static double
learnt_fastest(const struct mst_entry *entry)
{
	double fastest = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];
		double ratio = entry->options.leased
		    ? member->reported_slowness
		    : mst_slowness_ratio(&member->slowness_avg);

		if (!mst_member_usable(entry, member) ||
		    (entry->options.leased
			    ? ratio <= 0
			    : member->slowness_avg.samples < PLACE_SAMPLES_MIN))
			continue;
		if (fastest == 0 || ratio < fastest)
			fastest = ratio;
	}
	return fastest == 0 ? 1 : fastest;
}

static gint
compare_slowness(gconstpointer a, gconstpointer b)
{
	const struct member *left = *(const struct member *const *)a;
	const struct member *right = *(const struct member *const *)b;

	return left->slowness < right->slowness
	    ? -1
	    : left->slowness > right->slowness;
}

/* Gives each member the rate of those that are faster by more than noise. */
static void
rank_rates(struct mst_entry *entry)
{
	GPtrArray *ranked = entry->ranked;
	double rate = 0;
	guint i, faster = 0;

	g_ptr_array_sort(ranked, compare_slowness);
	for (i = 0; i < ranked->len; i++) {
		struct member *member = ranked->pdata[i];

		for (; faster < i; faster++) {
			const struct member *other = ranked->pdata[faster];

			if (other->slowness >= member->slowness * PLACE_FASTER)
				break;
			rate += mst_member_slots(other) / other->slowness;
		}
		member->faster_capacity = rate;
	}
	entry->capacity = rate;
	for (; faster < ranked->len; faster++) {
		const struct member *other = ranked->pdata[faster];

		entry->capacity += mst_member_slots(other) / other->slowness;
	}
}

void
mst_entry_rank_members(struct mst_entry *entry)
{
	guint i;

	entry->min_slowness = learnt_fastest(entry);
	/* A usual worker is at one: when all seem slower, what runs tells
	 * more of itself than of them. */
	if (entry->options.leased)
		entry->min_slowness = MIN(entry->min_slowness, 1);
	g_ptr_array_set_size(entry->ranked, 0);
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		member->slowness =
		    learnt_slowness(entry, member, entry->min_slowness);
		if (mst_member_usable(entry, member))
			g_ptr_array_add(entry->ranked, member);
	}
	rank_rates(entry);
}

double
mst_entry_capacity(const struct mst_entry *entry)
{
	return entry->capacity;
}

/* Share of the members' rate that is in use. */
static double
busy_share(const struct mst_entry *entry)
{
	double busy = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (mst_member_usable(entry, member))
			busy +=
			    MIN(member->outstanding, mst_member_slots(member)) /
			    member->slowness;
	}
	return entry->capacity > 0 ? MIN(busy / entry->capacity, 1) : 1;
}

/* Time for which a job lasts anyway: until its tasks that are sent are
 * expected back, or its longest waiting task could be. */
static double
job_slack_us(const struct mst_entry *entry, const struct job *job)
{
	double slack_us = (double)(job->expected_end_us - entry->now_us);
	uint16_t longest =
	    g_array_index(job->waiting, uint16_t, job->waiting->len - 1);
	double longest_us = mst_task_expected_us(job, &job->tasks[longest]);

	return MAX(slack_us, longest_us * entry->min_slowness);
}

/* True when a faster member would have a slot, and the task done, sooner. */
static bool
faster_members_win(const struct mst_entry *entry, const struct member *chosen,
    double work_us, double ahead_us)
{
	double wait_us;

	if (chosen->faster_capacity <= 0)
		return false;
	wait_us = (ahead_us + work_us) / chosen->faster_capacity;
	return chosen->slowness * work_us >
	    (wait_us + work_us * entry->min_slowness) *
	    entry->config->policy.wait_bias;
}

/* Time until a task would be done at a member, work behind others included;
 * the small term spreads equal members. */
static double
member_finish_us(const struct member *member, double work_us)
{
	double slots = MAX(mst_member_slots(member), 1);
	double ahead = (double)member->outstanding + 1 - slots;

	return member->slowness * work_us *
	    (1 + MAX(ahead, 0) / slots + member->outstanding / slots * 1e-3);
}

/*
 * Chooses by expected finish. A task that doesn't decide when its job ends
 * goes to the slowest member that is done in time, which leaves the fast
 * ones to those that do; how much of the time is used grows with the load. Any
 * other takes the member that finishes it first, or waits when faster ones will
 * be free soon enough.
 */
static struct member *
choose_by_finish(struct mst_entry *entry, const struct job *job,
    const struct task *task, double work_us, double ahead_us)
{
	double slack_us =
	    job_slack_us(entry, job) * PLACE_SLACK_USED * entry->utilization;
	double in_time_us = 0, first_us = 0;
	struct member *in_time = NULL;
	struct member *first = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		double finish_us;

		if (!mst_member_is_candidate(entry, member, job, task))
			continue;
		finish_us = member_finish_us(member, work_us);
		if (finish_us <= slack_us && finish_us > in_time_us) {
			in_time = member;
			in_time_us = finish_us;
		}
		if (first == NULL || finish_us < first_us) {
			first = member;
			first_us = finish_us;
		}
	}
	if (in_time != NULL)
		return in_time;
	if (first != NULL &&
	    faster_members_win(entry, first, work_us, ahead_us))
		return NULL;
	return first;
}

static struct member *
choose_random(
    struct mst_entry *entry, const struct job *job, const struct task *task)
{
	struct member *chosen = NULL;
	gint32 seen = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (!mst_member_is_candidate(entry, member, job, task))
			continue;
		seen++;
		if (g_rand_int_range(entry->rand, 0, seen) == 0)
			chosen = member;
	}
	return chosen;
}

static struct member *
choose_round_robin(
    struct mst_entry *entry, const struct job *job, const struct task *task)
{
	guint n = entry->members->len;
	guint i;

	for (i = 0; i < n; i++) {
		guint at = (entry->round_robin + i) % n;
		struct member *member = entry->members->pdata[at];

		if (!mst_member_is_candidate(entry, member, job, task))
			continue;
		entry->round_robin = at + 1;
		return member;
	}
	return NULL;
}

static struct member *
choose_least_outstanding(
    struct mst_entry *entry, const struct job *job, const struct task *task)
{
	struct member *best = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (!mst_member_is_candidate(entry, member, job, task))
			continue;
		if (best == NULL || member->outstanding < best->outstanding)
			best = member;
	}
	return best;
}

static struct member *
choose_member(struct mst_entry *entry, const struct job *job,
    const struct task *task, double work_us, double ahead_us)
{
	switch (entry->config->policy.placement) {
	case MST_PLACEMENT_RANDOM:
		return choose_random(entry, job, task);
	case MST_PLACEMENT_ROUND_ROBIN:
		return choose_round_robin(entry, job, task);
	case MST_PLACEMENT_LEAST_OUTSTANDING:
		return choose_least_outstanding(entry, job, task);
	case MST_PLACEMENT_FINISH:
		break;
	}
	if (entry->options.leased)
		return mst_choose_leased(entry, job, task);
	return choose_by_finish(entry, job, task, work_us, ahead_us);
}

static void
task_send(struct mst_entry *entry, struct job *job, guint position,
    struct member *member, double work_us)
{
	uint16_t index = g_array_index(job->waiting, uint16_t, position);
	struct task *task = &job->tasks[index];
	uint64_t tag = mst_task_tag(job, index);
	int64_t end_us = entry->now_us + (int64_t)(work_us * member->slowness);

	g_array_remove_index(job->waiting, position);
	mst_team_count_waiting(entry, job, -1, work_us);
	mst_team_charge(entry, job->team, work_us);
	if (job->waiting->len == 0)
		mst_team_dequeue(entry, job);
	if (task->attempts == 0)
		job->started++;
	task->attempts++;
	task->state = TASK_SENT;
	task->withdrawing = false;
	task->member = member;
	task->last_member = member->incarnation;
	task->seq = ++member->next_seq;
	task->sent_us = entry->now_us;
	job->expected_end_us = MAX(job->expected_end_us, end_us);
	if (member->free_slots > 0)
		member->free_slots--;
	else
		member->queued++;
	if (member->outstanding++ == 0)
		member->last_progress_us = entry->now_us;
	entry->sent++;
	entry->retry_tokens = MIN(ENTRY_RETRY_BURST,
	    entry->retry_tokens + entry->config->policy.retry_budget);
	entry->counters.dispatches++;
	g_hash_table_insert(member->sent, mst_key(task->seq), mst_key(tag));
	g_array_append_val(member->outbox, tag);
}

/* Sends the first task of a job that some member should take now; adds the
 * work of those that wait on to what is ahead of the next job's. */
static bool
place_from_job(
    struct mst_entry *entry, struct job *job, double *ahead_us, int *tries)
{
	double crowd = entry->active_teams->len;
	guint position;

	for (position = job->waiting->len; position > 0 && *tries > 0;
	     position--) {
		uint16_t index =
		    g_array_index(job->waiting, uint16_t, position - 1);
		const struct task *task = &job->tasks[index];
		double work_us = mst_task_expected_us(job, task);
		struct member *member =
		    choose_member(entry, job, task, work_us, *ahead_us * crowd);

		if (member != NULL) {
			task_send(entry, job, position - 1, member, work_us);
			return true;
		}
		*ahead_us += work_us;
		(*tries)--;
		/* Tasks of one step are alike: the next would not go either. */
		if (job->restartable && job->step_count == 1)
			break;
	}
	return false;
}

static bool
place_from_team(struct mst_entry *entry, struct team *team)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(team->jobs);
	int tries = PLACE_TASKS_TRIED;
	double ahead_us = 0;

	while (tries > 0 && !g_sequence_iter_is_end(iter)) {
		struct job *job = g_sequence_get(iter);

		iter = g_sequence_iter_next(iter);
		if (place_from_job(entry, job, &ahead_us, &tries))
			return true;
	}
	return false;
}

static bool
any_room(const struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		if (mst_member_has_room(entry, entry->members->pdata[i]))
			return true;
	}
	return false;
}

void
mst_entry_place(struct mst_entry *entry)
{
	struct team *team;

	if (entry->config == NULL)
		return;
	entry->place_round++;
	while (entry->waiting > 0 && any_room(entry) &&
	    (team = mst_team_next(entry)) != NULL) {
		entry->utilization = entry->options.leased
		    ? mst_leased_utilization(entry)
		    : busy_share(entry);
		if (!place_from_team(entry, team))
			team->skipped_round = entry->place_round;
	}
}
