/*
 * Choice of a leased member for a task. Entries see the same free slots, so a
 * member's room is what it last told, less what was sent since.
 */

#include "core/entry_internal.h"

#define CHOOSE_OVERHEAD_US  (INT64_C(6) * 1000) /* orders and messages */
#define CHOOSE_MARGIN       0.85 /* share of the time left that is planned */
#define CHOOSE_CALM         0.35 /* below this share busy: the fastest */
#define CHOOSE_CROWDED      0.75 /* above: the slowest that is in time */
#define CHOOSE_LONGER       1.5  /* work against what is expected of it */
#define CHOOSE_STRETCH_MAX  0.5  /* of the first finish, when crowded */
#define CHOOSE_TAKEN_WEIGHT 0.1
#define CHOOSE_NOISE        0.1
#define CHOOSE_SERVICE_US   (150.0 * 1000) /* where none is known */

/* Time until a member has a slot for one more task. */
static double
slot_wait_us(const struct member *member, uint32_t queued)
{
	double service_us = member->mean_service_us > 0
	    ? member->mean_service_us
	    : CHOOSE_SERVICE_US;

	if (member->free_slots > 0)
		return 0;
	return service_us * (queued + 1) / MAX(member->slots, 1);
}

/* A task that a member is chosen for. */
struct choice {
	struct mst_entry *entry;
	const struct job *job;
	const struct task *task;
};

/* Expected time until a member would have ended the task, if its work were so
 * many times as long as it seems. */
static double
finish_us(
    const struct choice *choice, const struct member *member, double factor)
{
	double work_us = mst_task_expected_at_us(
	    choice->entry, member, choice->job, choice->task);

	return CHOOSE_OVERHEAD_US + slot_wait_us(member, member->queued) +
	    factor * work_us * member->slowness;
}

/* Spreads tasks over members that are alike: entries that choose at the same
 * moment should not all choose the same one. */
static double
spread(const struct mst_entry *entry, const struct member *member)
{
	double taken = 1 -
	    MIN(member->free_slots, member->slots) / MAX(member->slots, 1.0);

	return 1 + CHOOSE_TAKEN_WEIGHT * taken +
	    g_rand_double_range(entry->rand, 0, CHOOSE_NOISE);
}

double
mst_leased_utilization(const struct mst_entry *entry)
{
	double all = 0, idle = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (!mst_member_usable(entry, member))
			continue;
		all += member->slots / member->slowness;
		idle +=
		    MIN(member->free_slots, member->slots) / member->slowness;
	}
	return all > 0 ? 1 - idle / all : 1;
}

/* The best expected finish at a member that has no room now. */
static double
later_finish_us(const struct choice *choice)
{
	const struct mst_entry *entry = choice->entry;
	double best_us = G_MAXDOUBLE;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (!mst_member_usable(entry, member) ||
		    !mst_member_serves(member, choice->job) ||
		    !mst_member_has_resources(member, choice->task) ||
		    mst_member_has_room(entry, member))
			continue;
		best_us = MIN(best_us,
		    finish_us(choice, member, 1) +
			slot_wait_us(member, entry->waiting));
	}
	return best_us;
}

/* Time from its start in which a job should end, if the task's work were so
 * many times as long as it seems. */
static double
objective_us(const struct choice *choice, double factor)
{
	const struct job *job = choice->job;

	if (job->step_count > 1)
		return (double)(job->soft_deadline_us - job->submitted_us);
	return factor * job->stretch * mst_task_expected_us(job, choice->task) +
	    (double)job->target_us;
}

/* True when a task ends in time at a member, also when its work turns out to
 * be longer than expected: the objective grows with it, the deadline not. */
static bool
ends_in_time(const struct choice *choice, const struct member *member)
{
	static const double factors[] = {1, CHOOSE_LONGER};
	const struct mst_entry *entry = choice->entry;
	const struct job *job = choice->job;
	double elapsed_us = (double)(entry->now_us - job->submitted_us);
	double given_us = (double)(job->deadline_us - job->submitted_us);
	double rest_us = job->steps[choice->task->step].successors_us;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(factors); i++) {
		double end_us = elapsed_us +
		    finish_us(choice, member, factors[i]) +
		    rest_us * entry->min_slowness;
		double limit_us =
		    MIN(objective_us(choice, factors[i]), given_us);

		if (end_us > limit_us * CHOOSE_MARGIN)
			return false;
	}
	return true;
}

/* Longest finish that is accepted: the first one when there is plenty of room,
 * any that is in time when there is not. */
static double
accepted_us(const struct mst_entry *entry, double first_us)
{
	double crowd =
	    (entry->utilization - CHOOSE_CALM) / (CHOOSE_CROWDED - CHOOSE_CALM);

	return first_us * (1 + CHOOSE_STRETCH_MAX * CLAMP(crowd, 0, 1));
}

/* A member with room for the task, and when it would end it. */
struct candidate {
	struct member *member;
	double finish_us;
};

GArray *
mst_candidates_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct candidate));
}

static GArray *
candidates_of(const struct choice *choice)
{
	struct mst_entry *entry = choice->entry;
	GArray *candidates = entry->scratch_candidates;
	guint i;

	g_array_set_size(candidates, 0);
	for (i = 0; i < entry->members->len; i++) {
		struct candidate candidate = {
		    .member = entry->members->pdata[i]};

		if (!mst_member_is_candidate(
			entry, candidate.member, choice->job, choice->task))
			continue;
		candidate.finish_us = finish_us(choice, candidate.member, 1) *
		    spread(entry, candidate.member);
		g_array_append_val(candidates, candidate);
	}
	return candidates;
}

static const struct candidate *
first_to_finish(const GArray *candidates)
{
	const struct candidate *first = NULL;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
		    &g_array_index(candidates, struct candidate, i);

		if (first == NULL || candidate->finish_us < first->finish_us)
			first = candidate;
	}
	return first;
}

/* The last to end the task that is in time and within a limit; NULL when
 * there is none. */
static const struct candidate *
last_in_time(
    const struct choice *choice, const GArray *candidates, double limit_us)
{
	const struct candidate *last = NULL;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
		    &g_array_index(candidates, struct candidate, i);

		if (candidate->finish_us > limit_us ||
		    (last != NULL && candidate->finish_us <= last->finish_us) ||
		    !ends_in_time(choice, candidate->member))
			continue;
		last = candidate;
	}
	return last;
}

struct member *
mst_choose_leased(
    struct mst_entry *entry, const struct job *job, const struct task *task)
{
	const struct choice choice = {.entry = entry, .job = job, .task = task};
	const GArray *candidates = candidates_of(&choice);
	const struct candidate *first = first_to_finish(candidates);
	const struct candidate *last;

	if (first == NULL)
		return NULL;
	if (!ends_in_time(&choice, first->member) &&
	    later_finish_us(&choice) < finish_us(&choice, first->member, 1))
		return NULL;
	last = last_in_time(
	    &choice, candidates, accepted_us(entry, first->finish_us));
	return last != NULL ? last->member : first->member;
}
