#ifndef MST_SIM_CLUSTER_H
#define MST_SIM_CLUSTER_H

/* The usual members of a sim: entries and leased agents. */

#include "sim/sim.h"

#define CLUSTER_NODES_MAX 24

struct cluster {
	struct sim *sim;
	int entry_count;
	int agent_count;
	int entries[CLUSTER_NODES_MAX]; /* nodes */
	int agents[CLUSTER_NODES_MAX];
};

/* Adds entries with a configuration, and agents beside workers of a size. */
void cluster_init(struct cluster *cluster, struct sim *sim, int entries,
    int agents, const struct mst_resources *capacity);

/* How many nodes there are, and which: first the entries. */
int cluster_size(const struct cluster *cluster);
int cluster_node(const struct cluster *cluster, int at);

/* Cuts a node off from some of the others, in one way or both. */
void cluster_cut_random_links(const struct cluster *cluster, GRand *rand);
void cluster_restore_links(const struct cluster *cluster);

/* Ends the faults of all workers. */
void cluster_clear_worker_faults(const struct cluster *cluster);

/* Writes a sim's log to standard error when MST_TEST_LOG is set. */
void cluster_log_stderr(void *ctx, const char *line);

/* Starts what has died, with a configuration where it is an entry. */
void cluster_restart(const struct cluster *cluster, int at);

#endif
