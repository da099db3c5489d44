#ifndef MST_WORLD_CAST_H
#define MST_WORLD_CAST_H

/* The usual members of a world: entries and leased agents. */

#include "world/world.h"

#define CAST_MAX 24

struct cast {
	struct world *world;
	int entry_count;
	int agent_count;
	int entries[CAST_MAX]; /* nodes */
	int agents[CAST_MAX];
};

/* Adds entries with a configuration, and agents beside workers of a size. */
void cast_add(struct cast *cast, struct world *world, int entries, int agents,
    const struct mst_resources *capacity);

/* How many nodes there are, and which: first the entries. */
int cast_size(const struct cast *cast);
int cast_node(const struct cast *cast, int at);

/* Cuts a node off from some of the others, in one way or both. */
void cast_cut_some(const struct cast *cast, GRand *rand);
void cast_heal_all(const struct cast *cast);

/* Ends the faults of all workers. */
void cast_calm_workers(const struct cast *cast);

/* Writes a world's log to standard error when MST_TEST_LOG is set. */
void cast_log(void *ctx, const char *line);

/* Starts what has died, with a configuration where it is an entry. */
void cast_restart(const struct cast *cast, int at);

#endif
