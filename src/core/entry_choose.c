/*
 * Choice of a leased member for a task. Entries see the same free slots, so a
 * member's room is what it last told, less what was sent since.
 */

#include "core/entry_internal.h"

#define CHOOSE_OVERHEAD_US (INT64_C(6) * 1000) /* orders and messages */
#define CHOOSE_MARGIN      0.85 /* share of the time left that is planned */
#define CHOOSE_CALM        0.35 /* below this share busy: the fastest */
#define CHOOSE_CROWDED     0.75 /* above: the slowest that is in time */
#define CHOOSE_SERVICE_US  (150.0 * 1000) /* where none is known */

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

/* Share of the members' speed that is in use. */
static double
leased_busy_share(const struct mst_entry *entry)
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

/* How late a task may end: what is left of its job's objective, used the more
 * the busier the members are. */
static double
limit_us(const struct mst_entry *entry, const struct job *job, double first_us)
{
	double left_us = (double)(job->in_time_us - entry->now_us);
	double crowd =
	    (entry->busy - CHOOSE_CALM) / (CHOOSE_CROWDED - CHOOSE_CALM);

	left_us *= CHOOSE_MARGIN;
	return first_us + (left_us - first_us) * CLAMP(crowd, 0, 1);
}

struct member *
mst_choose_leased(struct mst_entry *entry, const struct job *job,
    const struct task *task, double work_us)
{
	struct member *first = NULL, *slowest = NULL;
	double first_us = 0, slowest_us = 0, allowed_us;
	guint i;

	entry->busy = leased_busy_share(entry);
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		double us;

		if (!mst_member_is_candidate(entry, member, job, task))
			continue;
		us = finish_us(member, work_us);
		if (first == NULL || us < first_us) {
			first = member;
			first_us = us;
		}
	}
	if (first == NULL)
		return NULL;
	allowed_us = limit_us(entry, job, first_us);
	if (first_us > allowed_us &&
	    later_finish_us(entry, job, task, work_us) < first_us)
		return NULL;
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		double us;

		if (!mst_member_is_candidate(entry, member, job, task))
			continue;
		us = finish_us(member, work_us);
		if (us <= allowed_us && us > slowest_us) {
			slowest = member;
			slowest_us = us;
		}
	}
	return slowest != NULL ? slowest : first;
}
