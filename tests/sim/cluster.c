#include "sim/cluster.h"

#include <stdio.h>
#include <stdlib.h>

#include "sim/worker.h"

void
cluster_add_agent(struct cluster *cluster, const struct mst_resources *capacity)
{
	int index = cluster->agent_count++;
	char name[16];

	g_snprintf(name, sizeof(name), "agent%d", index + 1);
	cluster->agents[index] =
	    sim_add_leased_agent(cluster->sim, name, capacity);
}

void
cluster_init(struct cluster *cluster, struct sim *sim, int entries, int agents,
    const struct mst_resources *capacity)
{
	char name[16];
	int i;

	*cluster = (struct cluster){.sim = sim, .entry_count = entries};
	for (i = 0; i < entries; i++) {
		g_snprintf(name, sizeof(name), "entry%d", i + 1);
		cluster->entries[i] = sim_add_entry(sim, name);
		sim_configure(sim, cluster->entries[i], 1, "{}");
	}
	for (i = 0; i < agents; i++)
		cluster_add_agent(cluster, capacity);
}

int
cluster_size(const struct cluster *cluster)
{
	return cluster->entry_count + cluster->agent_count;
}

int
cluster_node(const struct cluster *cluster, int index)
{
	return index < cluster->entry_count
	    ? cluster->entries[index]
	    : cluster->agents[index - cluster->entry_count];
}

void
cluster_cut_random_links(const struct cluster *cluster, GRand *rand)
{
	int size = cluster_size(cluster);
	int isolated = cluster_node(cluster, g_rand_int_range(rand, 0, size));
	bool one_way = g_rand_boolean(rand);
	int n;

	for (n = 0; n < size; n++) {
		int other = cluster_node(cluster, n);

		if (isolated == other || g_rand_int_range(rand, 0, 3) == 0)
			continue;
		sim_get_link(cluster->sim, isolated, other)->cut = true;
		if (!one_way)
			sim_get_link(cluster->sim, other, isolated)->cut = true;
	}
}

void
cluster_restore_links(const struct cluster *cluster)
{
	int from, to;

	for (from = 0; from < cluster_size(cluster); from++) {
		for (to = 0; to < cluster_size(cluster); to++)
			sim_get_link(cluster->sim, cluster_node(cluster, from),
			    cluster_node(cluster, to))
			    ->cut = false;
	}
}

void
cluster_restart(const struct cluster *cluster, int index)
{
	int node_id = cluster_node(cluster, index);

	sim_restart(cluster->sim, node_id);
	if (index < cluster->entry_count)
		sim_configure(cluster->sim, node_id, 1, "{}");
}

void
cluster_clear_worker_faults(const struct cluster *cluster)
{
	int i;

	for (i = 0; i < cluster->agent_count; i++) {
		struct sim_worker *worker =
		    sim_get_worker(cluster->sim, cluster->agents[i]);

		sim_worker_set_late_probability(worker, 0);
		sim_worker_set_unavailable(worker, false);
		sim_worker_set_order_fault(worker, MST_ORDER_DONE);
	}
}

void
cluster_log_stderr(void *ctx, const char *line)
{
	if (getenv("MST_TEST_LOG") != NULL)
		fprintf(stderr, "%s\n", line);
}
