/* Ids as keys of hash tables, and names of tasks. */

#include "core/id.h"

#include <string.h>

guint
mst_job_id_hash(gconstpointer key)
{
	const struct mst_job_id *id = key;
	uint64_t hash = (id->issuer ^ id->counter) * 0x9e3779b97f4a7c15u;

	return (guint)(hash >> 32);
}

gboolean
mst_job_id_equal(gconstpointer a, gconstpointer b)
{
	const struct mst_job_id *left = a;
	const struct mst_job_id *right = b;

	return left->issuer == right->issuer && left->counter == right->counter;
}

struct mst_bytes
mst_task_name_job(struct mst_bytes name)
{
	const char *dot =
	    name.len > 0 ? memchr(name.data, '.', name.len) : NULL;

	if (dot != NULL)
		name.len = (size_t)(dot - name.data);
	return name;
}
