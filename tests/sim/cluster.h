#ifndef MST_SIM_CLUSTER_H
#define MST_SIM_CLUSTER_H

/* Test fixture: a simulation with entries and leased agents. */

#include "sim/sim.h"

#define CLUSTER_NODES_MAX 100

struct cluster {
	struct sim *sim;
	int entry_count;
	int agent_count;
	int entries[CLUSTER_NODES_MAX]; /* node ids */
	int agents[CLUSTER_NODES_MAX];  /* node ids */
};

/*
 * Adds entries with an empty configuration of version 1, and leased agents
 * whose workers have the given capacity.
 */
void cluster_init(struct cluster *cluster, struct sim *sim, int entries,
    int agents, const struct mst_resources *capacity);

/* Adds a leased agent whose worker has the given capacity. */
void cluster_add_agent(
    struct cluster *cluster, const struct mst_resources *capacity);

/* Returns the number of entries and agents. */
int cluster_size(const struct cluster *cluster);

/* Returns the node id at an index; the entries come before the agents. */
int cluster_node(const struct cluster *cluster, int index);

/*
 * Cuts the links from one random node to about two thirds of the other nodes.
 * With a probability of one half the links back are cut too.
 */
void cluster_cut_random_links(const struct cluster *cluster, GRand *rand);

/* Restores all cut links. */
void cluster_restore_links(const struct cluster *cluster);

/* Clears the injected faults of all workers. */
void cluster_clear_worker_faults(const struct cluster *cluster);

/* Log callback: writes the line to standard error if MST_TEST_LOG is set. */
void cluster_log_stderr(void *ctx, const char *line);

/*
 * Restarts the node at an index. An entry also gets the empty configuration of
 * version 1.
 */
void cluster_restart(const struct cluster *cluster, int index);

#endif
