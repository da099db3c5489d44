#ifndef MST_CORE_START_LIST_H
#define MST_CORE_START_LIST_H

/* Starts of one task that may still be executed, each at a host. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Time for which a start without an answer may still be executed: orders are up
 * to 12 s late, and copies of one may be sent for a while after the entries
 * were told of it. */
#define UNCERTAIN_KEEP_US (INT64_C(14) * G_USEC_PER_SEC)

struct uncertain_start {
	struct uncertain_start *next;
	char *host;     /* interned name of the agent; NULL: not told */
	uint64_t agent; /* its incarnation */
	/* Number of this entry's dispatch, whose result may still settle the
	 * start; 0: of another entry's. */
	uint64_t seq;
	uint32_t run; /* its number */
	int64_t expires_us;
	/* The worker has ended a run with this number, so that the task can't
	 * run there again under the same one. */
	bool is_spent;
	bool is_told; /* the other entries were told of it */
};

/* Adds a copy of a start. One that is listed already is kept for as long as the
 * copy would be. */
void mst_start_list_add(
    struct uncertain_start **list, const struct uncertain_start *start);
/* Removes the start of a dispatch of this entry. Returns false if it is not
 * listed. */
bool mst_start_list_settle(
    struct uncertain_start **list, uint64_t agent, uint64_t seq);
/* Moves the starts that have not expired to another list, and frees the others.
 * The list that they came from is empty afterwards. */
void mst_start_list_move(
    struct uncertain_start **to, struct uncertain_start **from, int64_t now_us);
/* Returns true if some start of a list may still be executed. */
bool mst_start_list_is_live(const struct uncertain_start *list, int64_t now_us);
/* Frees all starts of a list, which may be empty. */
void mst_start_list_free(struct uncertain_start *list);

#endif
