#include "sim/cluster.h"

#include <stdio.h>
#include <stdlib.h>

#include "sim/worker.h"

void
cluster_init(struct cluster *cast, struct sim *world, int entries, int agents,
    const struct mst_resources *capacity)
{
	char name[16];
	int i;

	*cast = (struct cluster){
	    .sim = world, .entry_count = entries, .agent_count = agents};
	for (i = 0; i < entries; i++) {
		g_snprintf(name, sizeof(name), "entry%d", i + 1);
		cast->entries[i] = sim_add_entry(world, name);
		sim_configure(world, cast->entries[i], 1, "{}");
	}
	for (i = 0; i < agents; i++) {
		g_snprintf(name, sizeof(name), "agent%d", i + 1);
		cast->agents[i] = sim_add_leased_agent(world, name, capacity);
	}
}

int
cluster_size(const struct cluster *cast)
{
	return cast->entry_count + cast->agent_count;
}

int
cluster_node(const struct cluster *cast, int at)
{
	return at < cast->entry_count ? cast->entries[at]
				      : cast->agents[at - cast->entry_count];
}

void
cluster_cut_random_links(const struct cluster *cast, GRand *rand)
{
	int size = cluster_size(cast);
	int a = cluster_node(cast, g_rand_int_range(rand, 0, size));
	bool one_way = g_rand_boolean(rand);
	int n;

	for (n = 0; n < size; n++) {
		int b = cluster_node(cast, n);

		if (a == b || g_rand_int_range(rand, 0, 3) == 0)
			continue;
		world_link(cast->sim, a, b)->cut = true;
		if (!one_way)
			world_link(cast->sim, b, a)->cut = true;
	}
}

void
cluster_restore_links(const struct cluster *cast)
{
	int a, b;

	for (a = 0; a < cluster_size(cast); a++) {
		for (b = 0; b < cluster_size(cast); b++)
			world_link(cast->sim, cluster_node(cast, a),
			    cluster_node(cast, b))
			    ->cut = false;
	}
}

void
cluster_restart(const struct cluster *cast, int at)
{
	int node = cluster_node(cast, at);

	sim_restart(cast->sim, node);
	if (at < cast->entry_count)
		sim_configure(cast->sim, node, 1, "{}");
}

void
cluster_clear_worker_faults(const struct cluster *cast)
{
	int i;

	for (i = 0; i < cast->agent_count; i++) {
		struct sim_worker *worker =
		    sim_get_worker(cast->sim, cast->agents[i]);

		sim_worker_set_late_share(worker, 0);
		sim_worker_set_unavailable(worker, false);
	}
}

void
cluster_log_stderr(void *ctx, const char *line)
{
	if (getenv("MST_TEST_LOG") != NULL)
		fprintf(stderr, "%s\n", line);
}
