/* Counts and state of a simulation that tests ask for. */

#include <inttypes.h>

#include "sim/sim_internal.h"

char *
sim_task_key(struct mst_job_id job, uint32_t index)
{
	return g_strdup_printf(
	    "%" PRIx64 "-%" PRIx64 "-%u", job.issuer, job.counter, index);
}

struct sim_link *
sim_get_link(struct sim *sim, int from, int to)
{
	return &sim->links[from][to];
}

void
sim_set_message_faults(
    struct sim *sim, double drop_probability, double repeat_probability)
{
	sim->options.drop_probability = drop_probability;
	sim->options.repeat_probability = repeat_probability;
}

struct mst_entry *
sim_get_entry(const struct sim *sim, int node_id)
{
	return sim->nodes[node_id].entry;
}

struct mst_agent *
sim_get_agent(const struct sim *sim, int node_id)
{
	return sim->nodes[node_id].agent;
}

unsigned
sim_count_starts(const struct sim *sim, struct mst_job_id job, uint32_t index)
{
	char *key = sim_task_key(job, index);
	unsigned count =
	    GPOINTER_TO_UINT(g_hash_table_lookup(sim->start_counts, key));

	g_free(key);
	return count;
}

uint64_t
sim_count_all_starts(const struct sim *sim)
{
	return sim->starts_total;
}

unsigned
sim_count_repeated_starts(const struct sim *sim)
{
	unsigned repeated = 0;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, sim->start_counts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (GPOINTER_TO_UINT(value) > 1 &&
		    !g_hash_table_contains(sim->idempotent_tasks, key))
			repeated++;
	}
	return repeated;
}

uint64_t
sim_count_messages(const struct sim *sim, enum mst_msg_type type)
{
	return sim->message_counts[type];
}

uint64_t
sim_message_bytes(const struct sim *sim)
{
	return sim->message_bytes;
}
