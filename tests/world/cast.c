#include "world/cast.h"

#include <stdio.h>
#include <stdlib.h>

#include "world/worker.h"

void
cast_add(struct cast *cast, struct world *world, int entries, int agents,
    const struct mst_resources *capacity)
{
	char name[16];
	int i;

	*cast = (struct cast){
	    .world = world, .entry_count = entries, .agent_count = agents};
	for (i = 0; i < entries; i++) {
		g_snprintf(name, sizeof(name), "entry%d", i + 1);
		cast->entries[i] = world_add_entry(world, name);
		world_configure(world, cast->entries[i], 1, "{}");
	}
	for (i = 0; i < agents; i++) {
		g_snprintf(name, sizeof(name), "agent%d", i + 1);
		cast->agents[i] = world_add_leased(world, name, capacity);
	}
}

int
cast_size(const struct cast *cast)
{
	return cast->entry_count + cast->agent_count;
}

int
cast_node(const struct cast *cast, int at)
{
	return at < cast->entry_count ? cast->entries[at]
				      : cast->agents[at - cast->entry_count];
}

void
cast_cut_some(const struct cast *cast, GRand *rand)
{
	int size = cast_size(cast);
	int a = cast_node(cast, g_rand_int_range(rand, 0, size));
	bool one_way = g_rand_boolean(rand);
	int n;

	for (n = 0; n < size; n++) {
		int b = cast_node(cast, n);

		if (a == b || g_rand_int_range(rand, 0, 3) == 0)
			continue;
		world_link(cast->world, a, b)->cut = true;
		if (!one_way)
			world_link(cast->world, b, a)->cut = true;
	}
}

void
cast_heal_all(const struct cast *cast)
{
	int a, b;

	for (a = 0; a < cast_size(cast); a++) {
		for (b = 0; b < cast_size(cast); b++)
			world_link(
			    cast->world, cast_node(cast, a), cast_node(cast, b))
			    ->cut = false;
	}
}

void
cast_restart(const struct cast *cast, int at)
{
	int node = cast_node(cast, at);

	world_restart(cast->world, node);
	if (at < cast->entry_count)
		world_configure(cast->world, node, 1, "{}");
}

void
cast_calm_workers(const struct cast *cast)
{
	int i;

	for (i = 0; i < cast->agent_count; i++) {
		struct sim_worker *worker =
		    world_worker(cast->world, cast->agents[i]);

		sim_worker_set_late(worker, 0);
		sim_worker_set_away(worker, false);
	}
}

void
cast_log(void *ctx, const char *line)
{
	if (getenv("MST_TEST_LOG") != NULL)
		fprintf(stderr, "%s\n", line);
}
