/* Starts that this entry keeps for others, as their backup; see backup.h. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/backup.h"
#include "core/job/uncertain.h"
#include "core/member/member.h"

/* Most starts kept, for all entries together. */
#define KEPT_STARTS_MAX 32768
/* Time after which a start is forgotten that was never settled, because its
 * agent is lost or the message was. A task may wait at its agent before it is
 * started, for less than that. */
#define KEPT_START_US (INT64_C(60) * G_USEC_PER_SEC)

static void
kept_start_free(gpointer data)
{
	struct kept_start *start = data;

	g_ref_string_release(start->host);
	g_ref_string_release(start->job);
	g_free(start);
}

static void
kept_starts_free(gpointer data)
{
	struct kept_starts *kept = data;

	g_hash_table_unref(kept->by_number);
	g_free(kept);
}

void
mst_kept_init(struct kept_backups *kept)
{
	*kept = (struct kept_backups){
	    .by_entry = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, kept_starts_free),
	    .items =
		g_array_new(FALSE, FALSE, sizeof(struct mst_uncertain_item))};
}

void
mst_kept_clear(struct kept_backups *kept)
{
	g_hash_table_unref(kept->by_entry);
	g_array_unref(kept->items);
}

/* Returns what is kept for an entry, or NULL if it is one too many. */
static struct kept_starts *
get_kept(struct mst_entry *entry, uint64_t incarnation)
{
	GHashTable *by_entry = entry->kept.by_entry;
	struct kept_starts *kept =
	    g_hash_table_lookup(by_entry, mst_u64_to_pointer(incarnation));

	if (kept != NULL || g_hash_table_size(by_entry) >= ENTRY_PEERS_MAX)
		return kept;
	kept = g_new0(struct kept_starts, 1);
	kept->entry = incarnation;
	kept->by_number = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, kept_start_free);
	g_queue_init(&kept->by_age);
	g_hash_table_insert(by_entry, mst_u64_to_pointer(incarnation), kept);
	return kept;
}

static void
remove_start(struct mst_entry *entry, struct kept_starts *kept,
    const struct kept_start *start)
{
	g_queue_unlink(&kept->by_age, (GList *)&start->link);
	g_hash_table_remove(kept->by_number, mst_u64_to_pointer(start->number));
	entry->kept.count--;
}

/* Returns a copy of a text, shared with the last start if that has the same. */
static char *
ref_text(char *last, struct mst_bytes text)
{
	if (last != NULL && mst_bytes_equal_str(text, last))
		return g_ref_string_acquire(last);
	return g_ref_string_new_len(
	    text.len > 0 ? text.data : "", (gssize)text.len);
}

static void
add_start(struct mst_entry *entry, struct kept_starts *kept, uint64_t number,
    const struct mst_backup_item *item)
{
	gpointer key = mst_u64_to_pointer(number);
	const struct kept_start *last = g_queue_peek_tail(&kept->by_age);
	struct kept_start *start;

	if (item->index >= MST_JOB_TASKS_MAX ||
	    g_hash_table_contains(kept->by_number, key))
		return;
	if (entry->kept.count >= KEPT_STARTS_MAX) {
		entry->counters.starts_not_kept++;
		return;
	}
	start = g_new(struct kept_start, 1);
	*start = (struct kept_start){.number = number,
	    .agent = item->agent,
	    .host = ref_text(last != NULL ? last->host : NULL, item->host),
	    .job = ref_text(last != NULL ? last->job : NULL, item->job),
	    .index = item->index,
	    .run = item->run,
	    .expires_us = entry->now_us + KEPT_START_US,
	    .link.data = start};
	g_hash_table_insert(kept->by_number, key, start);
	g_queue_push_tail_link(&kept->by_age, &start->link);
	entry->kept.count++;
}

static void
settle_starts(struct mst_entry *entry, struct kept_starts *kept,
    const struct mst_backup_starts *starts)
{
	uint32_t i;

	for (i = 0; i < starts->settled_count; i++) {
		const struct kept_start *start = g_hash_table_lookup(
		    kept->by_number, mst_u64_to_pointer(starts->settled[i]));

		if (start != NULL)
			remove_start(entry, kept, start);
	}
}

void
mst_kept_handle(struct mst_entry *entry, const struct mst_msg *msg)
{
	const struct mst_backup_starts *starts = &msg->backup_starts;
	struct kept_starts *kept;
	uint32_t i;

	if (!entry->options.leased || msg->from == entry->incarnation)
		return;
	kept = get_kept(entry, msg->from);
	if (kept == NULL) {
		entry->counters.starts_not_kept += starts->count;
		return;
	}
	kept->heard_us = entry->now_us;
	settle_starts(entry, kept, starts);
	for (i = 0; i < starts->count; i++)
		add_start(
		    entry, kept, starts->first_number + i, &starts->items[i]);
}

static bool
is_heard(const struct mst_entry *entry, const struct kept_starts *kept)
{
	return mst_entry_peer_is_alive(entry, kept->entry) ||
	    entry->now_us - kept->heard_us <= entry->options.suspect_us;
}

/* Returns true if an agent is heard, and so tells its starts itself. */
static bool
is_agent_heard(const struct mst_entry *entry, uint64_t agent)
{
	const struct member *member = mst_member_find(entry, agent);

	return member != NULL && member->state != MEMBER_GONE &&
	    entry->now_us - member->last_heard_us <= entry->options.suspect_us;
}

static void
collect_start(struct mst_entry *entry, struct kept_start *start)
{
	const struct mst_uncertain_item item = {.agent = start->agent,
	    .host = mst_bytes_from_str(start->host),
	    .job = mst_bytes_from_str(start->job),
	    .index = start->index,
	    .run = start->run};

	start->is_told = true;
	g_array_append_val(entry->kept.items, item);
	entry->counters.kept_starts_told++;
}

/* Collects the starts of a lost entry at agents that are lost, too. After a
 * while, an agent that still lives has told what is uncertain: its lease of the
 * entry has ended, and its last orders to start are overdue. */
static void
collect_lost(struct mst_entry *entry, const struct kept_starts *kept)
{
	const GList *link;

	if (entry->now_us - kept->lost_us > entry->options.remove_us)
		return;
	for (link = kept->by_age.head; link != NULL; link = link->next) {
		struct kept_start *start = link->data;

		if (!start->is_told && !is_agent_heard(entry, start->agent))
			collect_start(entry, start);
	}
}

/* The entry is heard again: what has been told may be lost anew. */
static void
mark_heard(struct kept_starts *kept)
{
	const GList *link;

	if (kept->lost_us == 0)
		return;
	kept->lost_us = 0;
	for (link = kept->by_age.head; link != NULL; link = link->next)
		((struct kept_start *)link->data)->is_told = false;
}

static void
expire_starts(struct mst_entry *entry, struct kept_starts *kept)
{
	const struct kept_start *oldest;

	while ((oldest = g_queue_peek_head(&kept->by_age)) != NULL &&
	    entry->now_us >= oldest->expires_us)
		remove_start(entry, kept, oldest);
}

/* Tells the other entries of the collected starts, but not the lost ones, which
 * know their starts if they live. */
static void
tell_peers(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct peer *peer = value;
		const struct kept_starts *kept =
		    g_hash_table_lookup(entry->kept.by_entry, key);

		if ((kept == NULL || kept->lost_us == 0) &&
		    (peer->build.features & MST_FEATURE_CONFIRMED_STARTS) != 0)
			mst_uncertain_tell_peer(
			    entry, peer->incarnation, entry->kept.items);
	}
}

static void
use_items(struct mst_entry *entry)
{
	const GArray *items = entry->kept.items;
	guint i;

	for (i = 0; i < items->len; i++)
		mst_uncertain_add_told(
		    entry, &g_array_index(items, struct mst_uncertain_item, i));
	if (items->len > 0)
		tell_peers(entry);
}

void
mst_kept_check(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(entry->kept.items, 0);
	g_hash_table_iter_init(&iter, entry->kept.by_entry);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct kept_starts *kept = value;

		expire_starts(entry, kept);
		if (is_heard(entry, kept)) {
			mark_heard(kept);
			continue;
		}
		if (kept->lost_us == 0)
			kept->lost_us = entry->now_us;
		collect_lost(entry, kept);
		if (kept->by_age.length == 0)
			g_hash_table_iter_remove(&iter);
	}
	use_items(entry);
}

void
mst_kept_exclude_pause(struct mst_entry *entry, int64_t paused_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->kept.by_entry);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct kept_starts *)value)->heard_us += paused_us;
}
