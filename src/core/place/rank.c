/* Ranking of the members of an entry by their speed. */

#include "core/entry/entry_internal.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/slow_start.h"

/* A member is faster than another one if its slowness is below this share of
 * the other's. */
#define FASTER_SLOWNESS_RATIO 0.95
#define PLACE_SAMPLES_MIN     3 /* results before a slowness is used */
/* Least share of the slots that are warm for cold members to be held back. */
#define WARM_SHARE_MIN 0.75
/* Least share of the slots that are warm for the deadline of a task to decide
 * whether it may go to a cold member. */
#define WARM_SHARE_FOR_DEADLINES 0.5

/* Returns the estimated slowness of a member. A member with too few results
 * counts as the fastest, so that it gets tasks. The slowness of a leased member
 * is the one that it reports, or 1 if it has reported none. */
static double
estimate_slowness(const struct mst_entry *entry, const struct member *member,
    double min_slowness)
{
	if (member->is_cold && entry->options.tuning.slow_start)
		return mst_slow_start_slowness(
		    member->reported_slowness, entry->mostly_warm);
	if (entry->options.leased)
		return member->reported_slowness > 0 ? member->reported_slowness
						     : 1;
	if (member->slowness_avg.samples < PLACE_SAMPLES_MIN)
		return min_slowness;
	return mst_slowness_ratio(&member->slowness_avg);
}

/* Returns the lowest slowness of the usable members, or 1 if none is known. */
static double
find_min_slowness(const struct mst_entry *entry)
{
	double min_slowness = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];
		double ratio = entry->options.leased
		    ? member->reported_slowness
		    : mst_slowness_ratio(&member->slowness_avg);

		if (!mst_member_is_usable(entry, member) ||
		    (entry->options.leased
			    ? ratio <= 0
			    : member->slowness_avg.samples < PLACE_SAMPLES_MIN))
			continue;
		if (min_slowness == 0 || ratio < min_slowness)
			min_slowness = ratio;
	}
	return min_slowness == 0 ? 1 : min_slowness;
}

/* Returns the share of the usable members' slots that are at warm ones, or 0 if
 * there is none. */
static double
warm_share(const struct mst_entry *entry)
{
	double slots = 0, warm_slots = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (!mst_member_is_usable(entry, member))
			continue;
		slots += member->slots;
		if (!member->is_cold)
			warm_slots += member->slots;
	}
	return slots > 0 ? warm_slots / slots : 0;
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

/* Sets faster_capacity of each member, leaving out differences within the noise
 * of the estimates, and the capacity of all usable members. */
static void
update_capacities(struct mst_entry *entry)
{
	GPtrArray *ranked = entry->ranked;
	double capacity = 0;
	guint i, faster = 0;

	g_ptr_array_sort(ranked, compare_slowness);
	for (i = 0; i < ranked->len; i++) {
		struct member *member = ranked->pdata[i];

		for (; faster < i; faster++) {
			const struct member *other = ranked->pdata[faster];

			if (other->slowness >=
			    member->slowness * FASTER_SLOWNESS_RATIO)
				break;
			capacity += mst_member_slots(other) / other->slowness;
		}
		member->faster_capacity = capacity;
	}
	entry->capacity = capacity;
	for (; faster < ranked->len; faster++) {
		const struct member *other = ranked->pdata[faster];

		entry->capacity += mst_member_slots(other) / other->slowness;
	}
}

void
mst_entry_rank_members(struct mst_entry *entry)
{
	double warm = warm_share(entry);
	guint i;

	entry->mostly_warm = warm >= WARM_SHARE_MIN;
	entry->half_warm = warm >= WARM_SHARE_FOR_DEADLINES;
	entry->min_slowness = find_min_slowness(entry);
	/* A typical worker has a slowness of 1. If all workers seem slower, the
	 * cause is more likely the tasks than the workers. */
	if (entry->options.leased)
		entry->min_slowness = MIN(entry->min_slowness, 1);
	g_ptr_array_set_size(entry->ranked, 0);
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		member->slowness =
		    estimate_slowness(entry, member, entry->min_slowness);
		if (mst_member_is_usable(entry, member) && !member->quarantined)
			g_ptr_array_add(entry->ranked, member);
	}
	update_capacities(entry);
}
