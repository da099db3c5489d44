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
#define CHOOSE_STRETCH_MAX  2.0  /* of the first finish, when crowded */
#define CHOOSE_TAKEN_WEIGHT 0.1
#define CHOOSE_NOISE        0.1
#define CHOOSE_SERVICE_US   (150.0 * 1000) /* where none is known */

/* Time until a member has a slot for one more task. */
static double
slot_wait_us(const struct member *member, uint32_t queued)
{
	double service_us =
	    member->service_us > 0 ? member->service_us : CHOOSE_SERVICE_US;

	if (member->free_slots > 0)
		return 0;
	return service_us * (queued + 1) / MAX(member->slots, 1);
}

static double
finish_us(const struct member *member, double work_us)
{
	return CHOOSE_OVERHEAD_US + slot_wait_us(member, member->queued) +
	    work_us * member->slowness;
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
mst_leased_busy_share(const struct mst_entry *entry)
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
later_finish_us(const struct mst_entry *entry, const struct job *job,
    const struct task *task, double work_us)
{
	double best_us = G_MAXDOUBLE;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (!mst_member_usable(entry, member) ||
		    !mst_member_serves(member, job) ||
		    !mst_member_fits(member, task) ||
		    mst_member_has_room(entry, member))
			continue;
		best_us = MIN(best_us,
		    finish_us(member, work_us) +
			slot_wait_us(member, entry->waiting));
	}
	return best_us;
}

/* True when a task ends in time at a member, also when its work turns out to
 * be longer than expected: the objective grows with it, the deadline not. */
static bool
ends_in_time(const struct mst_entry *entry, const struct member *member,
    const struct job *job, double work_us)
{
	static const double factors[] = {1, CHOOSE_LONGER};
	double elapsed_us = (double)(entry->now_us - job->submitted_us);
	double given_us = (double)(job->deadline_us - job->submitted_us);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(factors); i++) {
		double objective_us = factors[i] * job->stretch * work_us +
		    (double)job->target_us;
		double end_us =
		    elapsed_us + finish_us(member, factors[i] * work_us);

		if (end_us > MIN(objective_us, given_us) * CHOOSE_MARGIN)
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
	    (entry->busy - CHOOSE_CALM) / (CHOOSE_CROWDED - CHOOSE_CALM);

	return first_us * (1 + CHOOSE_STRETCH_MAX * CLAMP(crowd, 0, 1));
}

/* The member that would end a task first, and when. */
static struct member *
first_to_finish(struct mst_entry *entry, const struct job *job,
    const struct task *task, double work_us, double *first_us)
{
	struct member *first = NULL;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		double us;

		if (!mst_member_is_candidate(entry, member, job, task))
			continue;
		us = finish_us(member, work_us) * spread(entry, member);
		if (first != NULL && us >= *first_us)
			continue;
		first = member;
		*first_us = us;
	}
	return first;
}

/* The last member to end a task that is in time and within a limit; NULL when
 * there is none. */
static struct member *
last_in_time(struct mst_entry *entry, const struct job *job,
    const struct task *task, double work_us, double limit_us)
{
	struct member *last = NULL;
	double last_us = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		double us;

		if (!mst_member_is_candidate(entry, member, job, task))
			continue;
		us = finish_us(member, work_us) * spread(entry, member);
		if (us > limit_us || us <= last_us ||
		    !ends_in_time(entry, member, job, work_us))
			continue;
		last = member;
		last_us = us;
	}
	return last;
}

struct member *
mst_choose_leased(struct mst_entry *entry, const struct job *job,
    const struct task *task, double work_us)
{
	struct member *first, *last;
	double first_us = 0;

	first = first_to_finish(entry, job, task, work_us, &first_us);
	if (first == NULL)
		return NULL;
	if (!ends_in_time(entry, first, job, work_us) &&
	    later_finish_us(entry, job, task, work_us) <
		finish_us(first, work_us))
		return NULL;
	last = last_in_time(
	    entry, job, task, work_us, accepted_us(entry, first_us));
	return last != NULL ? last : first;
}
