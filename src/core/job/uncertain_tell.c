/*
 * What an entry tells the other entries of starts that may still be executed,
 * because the caller of a job may come back at any of them. An agent that lives
 * tells all entries itself, so a start is told only once its agent is lost, or
 * has not answered a withdrawal for a while.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/job/uncertain.h"
#include "core/member/member.h"

/* Most starts in one message. */
#define TELL_STARTS_MAX 256
/* Most tasks whose starts wait to be told; further ones are not told. */
#define UNTOLD_MAX 16384

/* Task whose starts are told when that is due. */
struct untold_start {
	char *key; /* of its job */
	uint32_t index;
	int64_t due_us;
};

void
mst_untold_start_free(gpointer data)
{
	struct untold_start *untold = data;

	g_free(untold->key);
	g_free(untold);
}

void
mst_uncertain_tell_later(
    struct mst_entry *entry, const char *key, uint32_t index, int64_t delay_us)
{
	struct untold_start *untold;

	if (entry->uncertain.untold.length >= UNTOLD_MAX) {
		entry->counters.starts_untold++;
		return;
	}
	untold = g_new(struct untold_start, 1);
	*untold = (struct untold_start){.key = g_strdup(key),
	    .index = index,
	    .due_us = entry->now_us + delay_us};
	/* The other delays are all equal, so the queue is ordered by due_us. */
	if (delay_us == 0)
		g_queue_push_head(&entry->uncertain.untold, untold);
	else
		g_queue_push_tail(&entry->uncertain.untold, untold);
}

static struct mst_uncertain_item
make_item(const struct mst_entry *entry, const char *key, uint32_t index,
    const struct uncertain_start *start)
{
	int64_t left_us = start->expires_us - entry->now_us;

	return (struct mst_uncertain_item){.agent = start->agent,
	    .host = mst_bytes_from_str(start->host),
	    .job = mst_bytes_from_str(key),
	    .index = index,
	    .run = start->run,
	    .age_ms = (uint32_t)((UNCERTAIN_KEEP_US - left_us) / 1000)};
}

/* Collects the starts of a task that the other entries have not been told of.
 */
static void
collect_starts(struct mst_entry *entry, const struct untold_start *untold)
{
	struct uncertain_start *start =
	    (struct uncertain_start *)mst_uncertain_find(
		entry, untold->key, untold->index);

	for (; start != NULL; start = start->next) {
		struct mst_uncertain_item item;

		if (start->is_told || entry->now_us >= start->expires_us)
			continue;
		start->is_told = true;
		item = make_item(entry, untold->key, untold->index, start);
		g_array_append_val(entry->scratch_starts, item);
	}
}

/* Collects the starts of a task that have not expired. Returns false once
 * UNTOLD_MAX of them are collected. */
static bool
collect_known_starts(void *ctx, const char *key, uint32_t index,
    const struct uncertain_start *start)
{
	const struct mst_entry *entry = ctx;

	for (; start != NULL; start = start->next) {
		struct mst_uncertain_item item =
		    make_item(entry, key, index, start);

		if (entry->now_us < start->expires_us)
			g_array_append_val(entry->scratch_starts, item);
	}
	return entry->scratch_starts->len < UNTOLD_MAX;
}

/* Adds the starts of open jobs, whose callers may leave this entry. */
static void
collect_open_starts(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer key, value;
	uint32_t i;

	g_hash_table_iter_init(&iter, entry->jobs_by_key);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct job *job = value;

		for (i = 0; i < job->count; i++) {
			if (!collect_known_starts(
				entry, key, i, job->tasks[i].starts))
				return;
		}
	}
}

void
mst_uncertain_tell_peer(
    struct mst_entry *entry, uint64_t peer, const GArray *items)
{
	guint first;

	for (first = 0; first < items->len; first += TELL_STARTS_MAX) {
		struct mst_msg *msg =
		    mst_entry_emit_msg(entry, peer, MST_MSG_UNCERTAIN_STARTS);

		msg->uncertain_starts.items =
		    &g_array_index(items, struct mst_uncertain_item, first);
		msg->uncertain_starts.count =
		    MIN(items->len - first, TELL_STARTS_MAX);
		entry->counters.starts_told++;
	}
}

void
mst_uncertain_tell_new_peer(struct mst_entry *entry, uint64_t peer)
{
	g_array_set_size(entry->scratch_starts, 0);
	collect_open_starts(entry);
	mst_uncertain_for_each(entry, collect_known_starts, entry);
	mst_uncertain_tell_peer(entry, peer, entry->scratch_starts);
}

static void
tell_peers(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->build.features & MST_FEATURE_CONFIRMED_STARTS)
			mst_uncertain_tell_peer(
			    entry, peer->incarnation, entry->scratch_starts);
	}
}

void
mst_uncertain_tell_due(struct mst_entry *entry)
{
	struct uncertain_jobs *jobs = &entry->uncertain;
	GArray *items = entry->scratch_starts;
	const struct untold_start *next;

	g_array_set_size(items, 0);
	g_ptr_array_set_size(jobs->telling, 0);
	while (items->len < TELL_STARTS_MAX &&
	    (next = g_queue_peek_head(&jobs->untold)) != NULL &&
	    entry->now_us >= next->due_us) {
		g_ptr_array_add(jobs->telling, g_queue_pop_head(&jobs->untold));
		collect_starts(entry, next);
	}
	if (items->len > 0)
		tell_peers(entry);
}
