/* The starts of this entry at its backup; see backup.h. */

#include "core/job/backup.h"

#include <string.h>
#include <xxhash.h>

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"

/* Most starts in one message. */
#define BACKUP_ITEMS_MAX 1024
/* Longest time until a settled start is told without a dispatch. */
#define BACKUP_SETTLE_US (100 * 1000)

void
mst_backup_init(struct backup *backup)
{
	*backup = (struct backup){
	    .items = g_array_new(FALSE, FALSE, sizeof(struct mst_backup_item)),
	    .settled = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	    .settled_sent = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
}

void
mst_backup_clear(struct backup *backup)
{
	g_array_unref(backup->items);
	g_array_unref(backup->settled);
	g_array_unref(backup->settled_sent);
}

static struct peer *
find_peer(const struct mst_entry *entry, uint64_t incarnation)
{
	return g_hash_table_lookup(
	    entry->peers, mst_u64_to_pointer(incarnation));
}

static bool
can_be_backup(const struct mst_entry *entry, const struct peer *peer)
{
	return peer != NULL && !peer->leaving &&
	    (peer->build.features & MST_FEATURE_BACKUP_STARTS) != 0 &&
	    mst_entry_peer_is_alive(entry, peer->incarnation);
}

/* Returns true if a peer is known to be in another failure domain, so that
 * both are not lost at once. */
static bool
is_apart(const struct mst_entry *entry, const struct peer *peer)
{
	return entry->failure_domain[0] != '\0' &&
	    peer->failure_domain != NULL && peer->failure_domain[0] != '\0' &&
	    strcmp(peer->failure_domain, entry->failure_domain) != 0;
}

/* Returns the rank of a peer as this entry's backup, which differs between
 * entries, so that each keeps the starts of few. */
static uint64_t
backup_rank(const struct mst_entry *entry, const struct peer *peer)
{
	uint64_t seed = XXH64(entry->address, strlen(entry->address), 0);

	return XXH64(peer->address, strlen(peer->address), seed);
}

static bool
is_better(const struct mst_entry *entry, const struct peer *peer,
    const struct peer *other)
{
	bool is_peer_apart = is_apart(entry, peer);
	bool is_other_apart = is_apart(entry, other);

	if (is_peer_apart != is_other_apart)
		return is_peer_apart;
	return backup_rank(entry, peer) < backup_rank(entry, other);
}

static const struct peer *
find_best_peer(const struct mst_entry *entry)
{
	const struct peer *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (can_be_backup(entry, peer) &&
		    (best == NULL || is_better(entry, peer, best)))
			best = peer;
	}
	return best;
}

static void
set_backup(struct mst_entry *entry, uint64_t peer)
{
	struct backup *backup = &entry->backup;

	if (backup->peer == peer)
		return;
	backup->peer = peer;
	backup->is_new = true;
	g_array_set_size(backup->settled, 0);
}

void
mst_backup_choose(struct mst_entry *entry)
{
	const struct peer *present = find_peer(entry, entry->backup.peer);
	const struct peer *best;

	if (!entry->options.leased)
		return;
	if (can_be_backup(entry, present) && is_apart(entry, present))
		return;
	best = find_best_peer(entry);
	if (best != NULL && can_be_backup(entry, present) &&
	    !is_apart(entry, best))
		return;
	set_backup(entry, best != NULL ? best->incarnation : 0);
}

void
mst_backup_reset(struct mst_entry *entry)
{
	set_backup(entry, 0);
}

void
mst_backup_settle(struct mst_entry *entry, struct task *task)
{
	struct backup *backup = &entry->backup;
	uint64_t number = task->backup_number;

	task->backup_number = 0;
	if (number == 0 || backup->peer == 0)
		return;
	if (backup->settled->len == 0)
		backup->settled_us = entry->now_us;
	g_array_append_val(backup->settled, number);
}

/* Adds the start of a task that a member has, or is about to be sent. */
static void
add_task(struct mst_entry *entry, const struct member *member, struct job *job,
    uint32_t index)
{
	struct task *task = &job->tasks[index];
	struct mst_backup_item item;

	if (!mst_job_is_best_effort(job) || job->key == NULL ||
	    task->start_state == START_SETTLED ||
	    !mst_member_confirms_starts(member))
		return;
	task->backup_number = ++entry->backup.last_number;
	item = (struct mst_backup_item){.agent = member->incarnation,
	    .host = mst_bytes_from_str(member->name),
	    .job = mst_bytes_from_str(job->key),
	    .index = index,
	    .run = task->run};
	g_array_append_val(entry->backup.items, item);
	entry->counters.starts_backed_up++;
}

/* Adds the tasks that a new backup does not know, of those sent before. */
static void
add_sent_tasks(struct mst_entry *entry, const struct member *member)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, member->sent_tasks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t tag = (uint64_t)(uintptr_t)value;
		struct job *job;

		if (mst_find_sent_task(entry, member, (uint64_t)(uintptr_t)key,
			tag, &job) != NULL)
			add_task(entry, member, job, (uint32_t)(tag & 0xffff));
	}
}

/* Adds the tasks that are about to be sent for the first time. */
static void
add_outbox(struct mst_entry *entry, const struct member *member)
{
	guint i;

	for (i = 0; i < member->outbox->len; i++) {
		uint64_t tag = g_array_index(member->outbox, uint64_t, i);
		struct job *job = mst_job_find(entry, tag >> 16);
		const struct task *task =
		    job != NULL ? &job->tasks[tag & 0xffff] : NULL;

		if (task != NULL && task->state == TASK_SENT &&
		    task->member == member && task->backup_number == 0)
			add_task(entry, member, job, (uint32_t)(tag & 0xffff));
	}
}

static void
collect_items(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (entry->backup.is_new)
			add_sent_tasks(entry, member);
		else if (member->outbox->len > 0)
			add_outbox(entry, member);
	}
	entry->backup.is_new = false;
}

/* Adds the settled starts to a message. Its effect refers to them, so that
 * further ones go into another array. */
static void
move_settled(struct backup *backup, struct mst_backup_starts *starts)
{
	GArray *sent = backup->settled;

	backup->settled = backup->settled_sent;
	backup->settled_sent = sent;
	g_array_set_size(backup->settled, 0);
	starts->settled = (const uint64_t *)sent->data;
	starts->settled_count = sent->len;
}

static void
send_items(struct mst_entry *entry)
{
	struct backup *backup = &entry->backup;
	const GArray *items = backup->items;
	uint64_t first_number = backup->last_number - items->len + 1;
	guint first = 0;

	do {
		struct mst_msg *msg = mst_entry_emit_msg(
		    entry, backup->peer, MST_MSG_BACKUP_STARTS);
		struct mst_backup_starts *starts = &msg->backup_starts;

		starts->first_number = first_number + first;
		starts->items =
		    &((const struct mst_backup_item *)items->data)[first];
		starts->count = MIN(items->len - first, BACKUP_ITEMS_MAX);
		if (first == 0)
			move_settled(backup, starts);
		first += starts->count;
		entry->counters.backups_sent++;
	} while (first < items->len);
}

void
mst_backup_flush(struct mst_entry *entry)
{
	struct backup *backup = &entry->backup;

	if (!entry->options.leased)
		return;
	g_array_set_size(backup->items, 0);
	if (!can_be_backup(entry, find_peer(entry, backup->peer)))
		mst_backup_choose(entry);
	if (backup->peer == 0)
		return;
	collect_items(entry);
	if (backup->items->len > 0 ||
	    (backup->settled->len > 0 &&
		entry->now_us - backup->settled_us >= BACKUP_SETTLE_US))
		send_items(entry);
}
