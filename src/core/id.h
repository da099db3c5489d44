#ifndef MST_ID_H
#define MST_ID_H

/* Ids as keys of hash tables, names of tasks, copies of byte strings. */

#include <glib.h>
#include <masticstall/message.h>

guint mst_job_id_hash(gconstpointer key);
gboolean mst_job_id_equal(gconstpointer a, gconstpointer b);

/* Returns the key of a task's job: the task's name up to the first dot. */
struct mst_bytes mst_task_name_job(struct mst_bytes name);

static inline gpointer
mst_u64_to_pointer(uint64_t value)
{
	return (gpointer)(uintptr_t)value;
}

static inline char *
mst_bytes_dup(struct mst_bytes bytes)
{
	return bytes.len > 0 ? g_memdup2(bytes.data, bytes.len) : NULL;
}

#endif
