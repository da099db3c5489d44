/*
 * Jobs that were closed while starts of their tasks could still be executed.
 * They are remembered by their keys, because their callers may submit them
 * again.
 */

#include "core/entry/entry_internal.h"
#include "core/job/uncertain.h"

/* Most jobs remembered; the oldest one is dropped first. */
#define UNCERTAIN_JOBS_MAX 4096

/* Closed job that may be submitted again. */
struct uncertain_job {
	char *key;
	int64_t expires_us;
	GHashTable *starts; /* index of a task -> struct uncertain_start */
	GList link;
};

static void
uncertain_job_free(gpointer data)
{
	struct uncertain_job *uncertain = data;

	g_free(uncertain->key);
	g_hash_table_unref(uncertain->starts);
	g_free(uncertain);
}

void
mst_uncertain_init(struct uncertain_jobs *jobs)
{
	jobs->by_key = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, uncertain_job_free);
	g_queue_init(&jobs->by_expiry);
	g_queue_init(&jobs->untold);
	jobs->telling = g_ptr_array_new_with_free_func(mst_untold_start_free);
}

void
mst_uncertain_clear(struct uncertain_jobs *jobs)
{
	g_hash_table_unref(jobs->by_key);
	g_queue_clear_full(&jobs->untold, mst_untold_start_free);
	g_ptr_array_unref(jobs->telling);
}

static void
remove_job(struct mst_entry *entry, struct uncertain_job *uncertain)
{
	g_queue_unlink(&entry->uncertain.by_expiry, &uncertain->link);
	g_hash_table_remove(entry->uncertain.by_key, uncertain->key);
}

/* Returns the record of a job's key, and creates it if there is none. */
static struct uncertain_job *
get_job(struct mst_entry *entry, const char *key)
{
	struct uncertain_jobs *jobs = &entry->uncertain;
	struct uncertain_job *uncertain =
	    g_hash_table_lookup(jobs->by_key, key);

	if (uncertain != NULL) {
		g_queue_unlink(&jobs->by_expiry, &uncertain->link);
	} else {
		if (jobs->by_expiry.length >= UNCERTAIN_JOBS_MAX)
			remove_job(entry, g_queue_peek_head(&jobs->by_expiry));
		uncertain = g_new0(struct uncertain_job, 1);
		uncertain->key = g_strdup(key);
		uncertain->starts = g_hash_table_new_full(g_direct_hash,
		    g_direct_equal, NULL, (GDestroyNotify)mst_start_list_free);
		uncertain->link.data = uncertain;
		g_hash_table_insert(jobs->by_key, uncertain->key, uncertain);
	}
	uncertain->expires_us = entry->now_us + UNCERTAIN_KEEP_US;
	g_queue_push_tail_link(&jobs->by_expiry, &uncertain->link);
	return uncertain;
}

void
mst_uncertain_remember(struct mst_entry *entry, const char *key, uint32_t index,
    struct uncertain_start **starts)
{
	struct uncertain_job *uncertain = get_job(entry, key);
	struct uncertain_start *list = NULL;
	gpointer known;

	if (g_hash_table_steal_extended(
		uncertain->starts, GUINT_TO_POINTER(index), NULL, &known))
		list = known;
	mst_start_list_move(&list, starts, entry->now_us);
	if (list != NULL)
		g_hash_table_insert(
		    uncertain->starts, GUINT_TO_POINTER(index), list);
}

const struct uncertain_start *
mst_uncertain_recall(
    const struct mst_entry *entry, const char *key, uint32_t index)
{
	const struct uncertain_job *uncertain =
	    g_hash_table_lookup(entry->uncertain.by_key, key);

	return uncertain != NULL
	    ? g_hash_table_lookup(uncertain->starts, GUINT_TO_POINTER(index))
	    : NULL;
}

void
mst_uncertain_settle(struct mst_entry *entry, const char *key, uint32_t index,
    uint64_t agent, uint64_t seq)
{
	struct uncertain_job *uncertain =
	    g_hash_table_lookup(entry->uncertain.by_key, key);
	struct uncertain_start *list;

	if (uncertain == NULL)
		return;
	list = g_hash_table_lookup(uncertain->starts, GUINT_TO_POINTER(index));
	if (!mst_start_list_settle(&list, agent, seq))
		return;
	g_hash_table_steal(uncertain->starts, GUINT_TO_POINTER(index));
	if (list != NULL)
		g_hash_table_insert(
		    uncertain->starts, GUINT_TO_POINTER(index), list);
	if (g_hash_table_size(uncertain->starts) == 0)
		remove_job(entry, uncertain);
}

GHashTable *
mst_uncertain_take(struct mst_entry *entry, const char *key)
{
	struct uncertain_job *uncertain =
	    g_hash_table_lookup(entry->uncertain.by_key, key);
	GHashTable *starts;

	if (uncertain == NULL)
		return NULL;
	starts = g_hash_table_ref(uncertain->starts);
	remove_job(entry, uncertain);
	return starts;
}

void
mst_uncertain_for_each(const struct mst_entry *entry,
    bool (*call)(void *ctx, const char *key, uint32_t index,
	const struct uncertain_start *starts),
    void *ctx)
{
	const GList *link;
	GHashTableIter iter;
	gpointer index, starts;

	for (link = entry->uncertain.by_expiry.tail; link != NULL;
	     link = link->prev) {
		const struct uncertain_job *uncertain = link->data;

		g_hash_table_iter_init(&iter, uncertain->starts);
		while (g_hash_table_iter_next(&iter, &index, &starts)) {
			if (!call(ctx, uncertain->key, GPOINTER_TO_UINT(index),
				starts))
				return;
		}
	}
}

void
mst_uncertain_expire(struct mst_entry *entry)
{
	struct uncertain_job *oldest;

	while (
	    (oldest = g_queue_peek_head(&entry->uncertain.by_expiry)) != NULL &&
	    entry->now_us >= oldest->expires_us)
		remove_job(entry, oldest);
}
