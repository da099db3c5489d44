#include <masticstall/seqset.h>

#include <glib.h>
#include <string.h>

/* Returns the index of the first range whose last number is at least seq - 1,
 * or set->count if there is none. */
static uint32_t
range_search(const struct mst_seqset *set, uint64_t seq)
{
	uint32_t lo = 0;
	uint32_t hi = set->count;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (set->ranges[mid].last + 1 < seq)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static void
range_remove(struct mst_seqset *set, uint32_t index)
{
	set->count--;
	memmove(&set->ranges[index], &set->ranges[index + 1],
	    (set->count - index) * sizeof(*set->ranges));
}

static int
range_insert(struct mst_seqset *set, uint32_t index, uint64_t seq)
{
	if (set->count == MST_SEQSET_RANGES_MAX)
		return -1;
	if (set->ranges == NULL || set->count == set->capacity) {
		set->capacity = set->capacity ? set->capacity * 2 : 4;
		set->ranges =
		    g_renew(struct mst_range, set->ranges, set->capacity);
	}
	memmove(&set->ranges[index + 1], &set->ranges[index],
	    (set->count - index) * sizeof(*set->ranges));
	set->ranges[index] = (struct mst_range){.first = seq, .last = seq};
	set->count++;
	return 0;
}

/* Merges the ranges that the frontier has reached into it. */
static void
frontier_merge_ranges(struct mst_seqset *set)
{
	uint32_t merged = 0;

	while (merged < set->count &&
	    set->ranges[merged].first <= set->frontier + 1) {
		if (set->ranges[merged].last > set->frontier)
			set->frontier = set->ranges[merged].last;
		merged++;
	}
	if (merged == 0)
		return;
	set->count -= merged;
	memmove(set->ranges, &set->ranges[merged],
	    set->count * sizeof(*set->ranges));
}

enum mst_seqset_added
mst_seqset_add(struct mst_seqset *set, uint64_t seq)
{
	struct mst_range *range;
	uint32_t index;

	if (seq <= set->frontier)
		return MST_SEQSET_PRESENT;
	if (seq == set->frontier + 1) {
		set->frontier = seq;
		frontier_merge_ranges(set);
		return MST_SEQSET_ADDED;
	}
	index = range_search(set, seq);
	range = index < set->count ? &set->ranges[index] : NULL;
	if (range != NULL && seq >= range->first && seq <= range->last)
		return MST_SEQSET_PRESENT;
	if (range != NULL && range->last + 1 == seq) {
		range->last = seq;
		if (index + 1 < set->count && range[1].first == seq + 1) {
			range->last = range[1].last;
			range_remove(set, index + 1);
		}
		return MST_SEQSET_ADDED;
	}
	if (range != NULL && range->first == seq + 1) {
		range->first = seq;
		return MST_SEQSET_ADDED;
	}
	if (range_insert(set, index, seq) < 0)
		return MST_SEQSET_FULL;
	return MST_SEQSET_ADDED;
}

bool
mst_seqset_contains(const struct mst_seqset *set, uint64_t seq)
{
	uint32_t index;

	if (seq <= set->frontier)
		return true;
	index = range_search(set, seq);
	/* The range at this index may end at seq - 1. */
	return index < set->count && set->ranges[index].first <= seq &&
	    seq <= set->ranges[index].last;
}

void
mst_seqset_clear(struct mst_seqset *set)
{
	g_free(set->ranges);
	*set = (struct mst_seqset){0};
}
