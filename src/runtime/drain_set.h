#ifndef MST_DRAIN_SET_H
#define MST_DRAIN_SET_H

/*
 * Drained failure domains as the store has shown them. Updates of the store
 * contain changes; the reducer gets the whole set.
 */

#include "runtime/drivers.h"

struct drain_set {
	uint64_t revision;  /* of the store, as of which the set is known */
	bool was_drained;   /* the store has shown a drained domain */
	GPtrArray *domains; /* char * */
};

void drain_set_init(struct drain_set *set);
void drain_set_clear(struct drain_set *set);

/**
 * Applies an update of the configuration's table. An update that is not newer
 * than the set is ignored.
 *
 * @param set the set
 * @param update a successful update
 * @return true if the reducer must be told: the set is known as of a newer
 *     revision, and the store has shown a drained domain before or now
 */
bool drain_set_update(struct drain_set *set, const struct store_update *update);

/* Returns the event that passes the set to the reducer; it borrows the set's
 * names. */
struct mst_entry_event drain_set_event(const struct drain_set *set);

#endif
