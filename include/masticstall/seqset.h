#ifndef MST_SEQSET_H
#define MST_SEQSET_H

/**
 * Exact set of sequence numbers, which start at 1. It holds every number up
 * to and including a frontier, and sorted ranges above it, so that its memory
 * grows with the number of gaps and not with the number of elements.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most ranges that one set holds above its frontier. */
#define MST_SEQSET_RANGES_MAX 4096

/** Inclusive range of sequence numbers. */
struct mst_range {
	uint64_t first;
	uint64_t last;
};

/** Set of sequence numbers; zeroed memory is the empty set. */
struct mst_seqset {
	uint64_t frontier;
	struct mst_range *ranges;
	uint32_t count;
	uint32_t capacity;
};

/** Result of adding a number. */
enum mst_seqset_added {
	MST_SEQSET_FULL = -1,   /* not added: it would need too many ranges */
	MST_SEQSET_PRESENT = 0, /* already in the set */
	MST_SEQSET_ADDED = 1
};

/**
 * Adds one number.
 *
 * @param set the set
 * @param seq the number, at least 1
 * @return result; the set is unchanged if it is MST_SEQSET_FULL
 */
enum mst_seqset_added mst_seqset_add(struct mst_seqset *set, uint64_t seq);

/**
 * Returns true if a number is in the set.
 *
 * @param set the set
 * @param seq the number
 * @return true if the set contains it
 */
bool mst_seqset_contains(const struct mst_seqset *set, uint64_t seq);

/**
 * Releases the memory of a set and empties it.
 *
 * @param set the set
 */
void mst_seqset_clear(struct mst_seqset *set);

#endif
