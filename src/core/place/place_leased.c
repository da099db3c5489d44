/*
 * Choice of a leased member for a task. Members report the same free slots to
 * all entries, so an entry subtracts the tasks that it has sent since the last
 * report from the free slots in that report.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/constraint.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/slow_start.h"

#define DISPATCH_OVERHEAD_US (INT64_C(6) * 1000) /* worker orders, messages */
/* Shares of the expected time until the finish of a task. */
#define OCCUPANCY_WEIGHT   0.1            /* delay of a fully occupied member */
#define FINISH_JITTER      0.1            /* largest random delay */
#define DEFAULT_SERVICE_US (150.0 * 1000) /* if none is known */
/* Time without tasks after which a cold member is sent one, so that it warms up
 * and shows its speed. */
#define COLD_IDLE_US (INT64_C(300) * 1000)

/* Returns the expected time until a member has a slot for one more task, in
 * microseconds. */
static double
slot_wait_us(const struct member *member, uint32_t queued)
{
	double service_us = member->mean_service_us > 0
	    ? member->mean_service_us
	    : DEFAULT_SERVICE_US;

	if (member->free_slots > 0)
		return 0;
	return service_us * (queued + 1) / MAX(member->slots, 1);
}

/* Task that a member is chosen for. */
struct placement {
	struct mst_entry *entry;
	const struct job *job;
	const struct task *task;
	enum mst_preference lifted;  /* this and the weaker ones */
	struct member_sample sample; /* members that are considered */
	/* Avoid members with a task of another job that was present at a crash
	 * as well. If this one crashes, it is known which task is the cause. */
	bool separate;
	/* The task has waited long: avoid members without a free slot, and wait
	 * for none. */
	bool at_once;
};

/* Returns true if a member has a task of another job that was present at a
 * crash. */
static bool
has_other_crashed_task(const struct mst_entry *entry,
    const struct member *member, const struct job *job)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent_tasks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct job *other;
		const struct task *task =
		    mst_find_sent_task(entry, member, (uint64_t)(uintptr_t)key,
			(uint64_t)(uintptr_t)value, &other);

		if (task != NULL && other != job && task->crashes.total > 0)
			return true;
	}
	return false;
}

/* Returns the expected time until a task would finish at a member, in
 * microseconds, if its service time were the expected one times a factor. */
static double
expected_finish_us(const struct placement *placement,
    const struct member *member, double factor)
{
	double service_us = mst_task_expected_at_us(
	    placement->entry, member, placement->job, placement->task);

	return DISPATCH_OVERHEAD_US +
	    slot_wait_us(member, member->queued_tasks) +
	    factor * service_us * member->slowness;
}

/* Returns a factor for the expected finish that grows with a member's occupancy
 * and has a random part. It spreads tasks over similar members, so that entries
 * that choose at the same time do not all choose the same member. */
static double
spread_factor(const struct mst_entry *entry, const struct member *member)
{
	double occupancy = 1 -
	    MIN(member->free_slots, member->slots) / MAX(member->slots, 1.0);

	if (!entry->options.tuning.spread)
		return 1;
	return 1 + OCCUPANCY_WEIGHT * occupancy +
	    g_rand_double_range(entry->rand, 0, FINISH_JITTER);
}

/* Returns the earliest expected finish at a member that could take the task but
 * has no room now. */
static double
earliest_finish_when_full_us(const struct placement *placement)
{
	const struct mst_entry *entry = placement->entry;
	double earliest_us = G_MAXDOUBLE;
	guint i;

	for (i = 0; i < placement->sample.count; i++) {
		const struct member *member =
		    mst_member_sample_get(entry, &placement->sample, i);

		if (!mst_member_may_be_awaited(entry, member, placement->job,
			placement->task, placement->lifted) ||
		    mst_member_has_room(entry, member))
			continue;
		earliest_us = MIN(earliest_us,
		    expected_finish_us(placement, member, 1) +
			slot_wait_us(member, entry->tasks_waiting));
	}
	return earliest_us;
}

/* Returns the time after its submission within which a job should complete, in
 * microseconds, if the task's service time were the expected one times a
 * factor. */
static double
objective_for_us(const struct placement *placement, double factor)
{
	const struct job *job = placement->job;

	if (job->step_count > 1)
		return (double)(job->soft_deadline_us - job->submitted_us);
	return factor * job->stretch *
	    mst_task_expected_us(job, placement->task) +
	    (double)job->target_us;
}

/* Returns true if a task is expected to finish in time at a member, even if its
 * service time turns out longer than expected. The objective grows with the
 * service time, but the deadline does not. */
static bool
can_end_in_time(const struct placement *placement, const struct member *member)
{
	const struct mst_entry *entry = placement->entry;
	const struct mst_tuning *tuning = &entry->options.tuning;
	const double factors[] = {1,
	    mst_estimate_overrun(
		&placement->job->team->estimate, tuning->overrun_deviations)};
	const struct job *job = placement->job;
	double elapsed_us = (double)(entry->now_us - job->submitted_us);
	double timeout_us = (double)(job->deadline_us - job->submitted_us);
	double successors_us = job->steps[placement->task->step].successors_us;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(factors); i++) {
		double end_us = elapsed_us +
		    expected_finish_us(placement, member, factors[i]) +
		    successors_us * entry->min_slowness;
		double limit_us =
		    MIN(objective_for_us(placement, factors[i]), timeout_us);

		if (end_us > limit_us * tuning->planned_share)
			return false;
	}
	return true;
}

/* Returns true if a task might end after its job's deadline at a member because
 * that is cold and its speed is not known yet. */
static bool
may_outlast_deadline(
    const struct placement *placement, const struct member *member)
{
	const struct mst_entry *entry = placement->entry;
	const struct mst_tuning *tuning = &entry->options.tuning;
	const struct job *job = placement->job;
	double service_us, left_us;

	if (!member->is_cold || member->reported_slowness > 0 ||
	    !entry->half_warm || !tuning->slow_start)
		return false;
	service_us =
	    mst_task_expected_at_us(entry, member, job, placement->task) *
	    mst_estimate_overrun(
		&job->team->estimate, tuning->overrun_deviations) *
	    mst_slow_start_slowness(0, true);
	left_us = (double)(job->deadline_us - job->submitted_us) *
		tuning->planned_share -
	    (double)(entry->now_us - job->submitted_us);
	return DISPATCH_OVERHEAD_US + service_us > left_us;
}

/* Returns the latest finish that is accepted: the earliest one at low
 * utilization, up to 1 + finish_stretch_max times that at high utilization. */
static double
max_finish_us(const struct mst_entry *entry, double first_us)
{
	const struct mst_tuning *tuning = &entry->options.tuning;
	double load_level = (entry->utilization - tuning->low_utilization) /
	    (tuning->high_utilization - tuning->low_utilization);

	return first_us *
	    (1 + tuning->finish_stretch_max * CLAMP(load_level, 0, 1));
}

/* A member with room for the task, and its expected finish. */
struct candidate {
	struct member *member;
	double finish_us;
	bool may_expire; /* might finish after the job's deadline */
};

GArray *
mst_candidates_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct candidate));
}

static GArray *
collect_candidates(const struct placement *placement)
{
	struct mst_entry *entry = placement->entry;
	GArray *candidates = entry->scratch_candidates;
	guint i;

	g_array_set_size(candidates, 0);
	for (i = 0; i < placement->sample.count; i++) {
		struct candidate candidate = {
		    .member =
			mst_member_sample_get(entry, &placement->sample, i)};

		if (!mst_member_is_candidate(entry, candidate.member,
			placement->job, placement->task, placement->lifted) ||
		    (placement->at_once && candidate.member->free_slots == 0) ||
		    (placement->separate &&
			has_other_crashed_task(
			    entry, candidate.member, placement->job)))
			continue;
		candidate.finish_us =
		    expected_finish_us(placement, candidate.member, 1) *
		    spread_factor(entry, candidate.member);
		candidate.may_expire =
		    may_outlast_deadline(placement, candidate.member);
		g_array_append_val(candidates, candidate);
	}
	return candidates;
}

static bool
finishes_first(const struct candidate *candidate, const struct candidate *other)
{
	if (candidate->may_expire != other->may_expire)
		return !candidate->may_expire;
	return candidate->finish_us < other->finish_us;
}

/* Returns the candidate that finishes the task first, among those that finish
 * it before the deadline if there is any, or NULL without candidates. */
static const struct candidate *
find_first_to_finish(const GArray *candidates)
{
	const struct candidate *first = NULL;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
		    &g_array_index(candidates, struct candidate, i);

		if (first == NULL || finishes_first(candidate, first))
			first = candidate;
	}
	return first;
}

/* Returns the candidate that finishes the task last among those that finish it
 * in time and within a limit, or NULL if there is none. */
static const struct candidate *
find_last_in_time(const struct placement *placement, const GArray *candidates,
    double limit_us)
{
	const struct candidate *last = NULL;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
		    &g_array_index(candidates, struct candidate, i);

		if (candidate->finish_us > limit_us || candidate->may_expire ||
		    (last != NULL && candidate->finish_us <= last->finish_us) ||
		    !can_end_in_time(placement, candidate->member))
			continue;
		last = candidate;
	}
	return last;
}

/* Returns an idle cold member that should be sent a task and is expected to
 * finish this one within its objective, or NULL. */
static struct member *
find_idle_cold_member(
    const struct placement *placement, const GArray *candidates)
{
	const struct mst_entry *entry = placement->entry;
	double elapsed_us =
	    (double)(entry->now_us - placement->job->submitted_us);
	guint i;

	if (!entry->mostly_warm || !entry->options.tuning.slow_start)
		return NULL;
	for (i = 0; i < candidates->len; i++) {
		struct member *member =
		    g_array_index(candidates, struct candidate, i).member;

		if (member->is_cold && member->outstanding == 0 &&
		    entry->now_us - member->last_progress_us >= COLD_IDLE_US &&
		    elapsed_us + expected_finish_us(placement, member, 1) <=
			objective_for_us(placement, 1))
			return member;
	}
	return NULL;
}

struct member *
mst_choose_leased_member(struct mst_entry *entry, const struct job *job,
    const struct task *task, enum mst_preference lifted)
{
	const struct mst_tuning *tuning = &entry->options.tuning;
	struct placement placement = {.entry = entry,
	    .job = job,
	    .task = task,
	    .lifted = lifted,
	    .sample = mst_member_sample(entry),
	    .separate = task->crashes.total > 0,
	    .at_once = mst_task_has_waited_long(entry, task)};
	const GArray *candidates = collect_candidates(&placement);
	const struct candidate *first = find_first_to_finish(candidates);
	const struct candidate *last;
	struct member *cold;

	if (first == NULL && (placement.separate || placement.at_once)) {
		placement.separate = placement.at_once = false;
		candidates = collect_candidates(&placement);
		first = find_first_to_finish(candidates);
	}
	if (first == NULL && placement.sample.count < entry->members->len) {
		/* Few members fit the task. */
		placement.sample = mst_member_sample_all(entry);
		candidates = collect_candidates(&placement);
		first = find_first_to_finish(candidates);
	}
	if (first == NULL)
		return NULL;
	cold = find_idle_cold_member(&placement, candidates);
	if (cold != NULL)
		return cold;
	if (tuning->wait_for_better && !placement.at_once &&
	    !can_end_in_time(&placement, first->member) &&
	    earliest_finish_when_full_us(&placement) <
		expected_finish_us(&placement, first->member, 1))
		return NULL;
	if (!tuning->use_slow_members)
		return first->member;
	last = find_last_in_time(
	    &placement, candidates, max_finish_us(entry, first->finish_us));
	return last != NULL ? last->member : first->member;
}
