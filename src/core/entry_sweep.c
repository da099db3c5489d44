/*
 * Sweeps over the records: jobs whose owner was lost or has no row are loaded
 * and claimed, records of jobs that were closed long ago are removed.
 */

#include "core/entry_owner.h"

#include <string.h>

#define OWNER_LOADS_MAX   16
#define OWNER_ORPHANS_MAX 4096

/* A closed job whose record is removed later. */
struct expiring_record {
	char *key;
	int64_t due_us;
};

void
mst_unowned_free(gpointer data)
{
	struct unowned_record *orphan = data;

	g_free(orphan->key);
	g_free((char *)orphan->record.tasks);
	g_free(orphan);
}

void
mst_expiring_record_free(gpointer data)
{
	struct expiring_record *expiring = data;

	g_free(expiring->key);
	g_free(expiring);
}

static void
sweep_ask(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;
	struct mst_store_op *op =
	    mst_entry_store_op(entry, MST_STORE_SCAN, owner->sweep_partition);

	op->partition = owner->sweep_partition;
	op->key = owner->sweep_cursor;
}

void
mst_sweep_start(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;
	GHashTableIter iter;
	gpointer value;

	owner->sweeping = true;
	owner->sweep_partition = 0;
	g_clear_pointer(&owner->sweep_cursor, g_free);
	g_hash_table_iter_init(&iter, owner->peer_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct peer_owner *)value)->has_jobs = false;
	sweep_ask(entry);
}

static bool
is_known_orphan(const struct mst_entry *entry, const char *key)
{
	guint i;

	for (i = 0; i < entry->owner.unowned->len; i++) {
		const struct unowned_record *orphan =
		    entry->owner.unowned->pdata[i];

		if (strcmp(orphan->key, key) == 0)
			return true;
	}
	return false;
}

static void
orphan_add(struct mst_entry *entry, const struct mst_stored_record *found)
{
	struct unowned_record *orphan;

	if (entry->owner.unowned->len >= OWNER_ORPHANS_MAX ||
	    g_hash_table_contains(entry->by_key, found->key) ||
	    is_known_orphan(entry, found->key))
		return;
	orphan = g_new0(struct unowned_record, 1);
	orphan->key = g_strdup(found->key);
	orphan->version = found->version;
	orphan->record = found->record;
	orphan->record.tasks = g_strdup(found->record.tasks);
	g_ptr_array_add(entry->owner.unowned, orphan);
}

static void
sweep_record(struct mst_entry *entry, const struct mst_stored_record *found)
{
	const struct mst_record *record = &found->record;
	int64_t keep_ms = entry->options.record_retention_us / 1000;
	struct mst_store_op *op;
	struct peer_owner *other;

	if (record->state != MST_RECORD_OPEN) {
		if (entry->wall_ms - record->closed_ms > keep_ms) {
			op = mst_entry_store_op(entry, MST_STORE_REMOVE, 0);
			op->key = found->key;
		}
		return;
	}
	if (record->owner == entry->owner.id) {
		orphan_add(entry, found);
		return;
	}
	other = mst_peer_owner_get(entry, record->owner);
	other->has_jobs = true;
	if (mst_owner_may_take_over(entry, other))
		orphan_add(entry, found);
}

/* Rows of lost owners that have no jobs any more are removed. */
static void
retire_empty(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->owner.peer_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_owner *other = value;
		struct mst_store_op *op;

		if (other->has_jobs ||
		    !mst_peer_owner_is_expired(entry, other, 0))
			continue;
		if (other->version == 0) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		op = mst_entry_store_op(entry, MST_STORE_RETIRE, other->id);
		op->owner = other->id;
		op->expected = other->version;
	}
}

void
mst_sweep_page_done(
    struct mst_entry *entry, const struct mst_store_answer *answer)
{
	struct owner *owner = &entry->owner;
	uint32_t i;

	if (!owner->sweeping)
		return;
	if (answer->status != MST_STORE_OK) {
		owner->sweeping = false;
		owner->sweep_due_us = entry->now_us + OWNER_POLL_US;
		return;
	}
	for (i = 0; i < answer->record_count; i++)
		sweep_record(entry, &answer->records[i]);
	g_clear_pointer(&owner->sweep_cursor, g_free);
	if (answer->more_records && answer->record_count > 0)
		owner->sweep_cursor =
		    g_strdup(answer->records[answer->record_count - 1].key);
	else
		owner->sweep_partition++;
	if (owner->sweep_partition < MST_STORE_PARTITIONS) {
		sweep_ask(entry);
		return;
	}
	owner->sweeping = false;
	owner->sweep_due_us = entry->now_us + OWNER_SWEEP_US;
	retire_empty(entry);
	if (owner->unowned->len > 0)
		mst_owner_report(entry, "taking-over", 0, owner->unowned->len);
}

void
mst_unowned_load_next(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;
	guint i;

	if (!mst_owner_is_confirmed(entry))
		return;
	for (i = 0;
	     i < owner->unowned->len && owner->loads_pending < OWNER_LOADS_MAX;
	     i++) {
		struct unowned_record *orphan = owner->unowned->pdata[i];
		struct mst_store_op *op;

		if (orphan->loading)
			continue;
		orphan->loading = true;
		owner->loads_pending++;
		op = mst_entry_store_op(
		    entry, MST_STORE_GET_JOB, (uint64_t)(uintptr_t)orphan);
		op->key = orphan->key;
	}
}

void
mst_unowned_loaded(struct mst_entry *entry, const struct op_context *op,
    const struct mst_store_answer *answer)
{
	struct owner *owner = &entry->owner;
	struct mst_stored_record found;
	struct unowned_record *orphan;
	guint at;

	/* Claims of an ownership that was given up are gone. */
	if (!g_ptr_array_find(
		owner->unowned, (gconstpointer)(uintptr_t)op->cookie, &at))
		return;
	orphan = owner->unowned->pdata[at];
	owner->loads_pending--;
	found = (struct mst_stored_record){.key = orphan->key,
	    .version = orphan->version,
	    .record = orphan->record};
	if (answer->status == MST_STORE_OK && answer->spec != NULL &&
	    !g_hash_table_contains(entry->by_key, orphan->key))
		mst_stored_claim(entry, answer->spec, &found);
	g_ptr_array_remove_index_fast(owner->unowned, at);
}

void
mst_record_schedule_expiry(struct mst_entry *entry, const char *key)
{
	struct expiring_record *expiring = g_new0(struct expiring_record, 1);

	expiring->key = g_strdup(key);
	expiring->due_us = entry->now_us + entry->options.record_retention_us;
	g_queue_push_tail(&entry->owner.expiring, expiring);
}

void
mst_records_remove_expired(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;
	struct expiring_record *expiring;

	if (owner->expired != NULL)
		g_clear_pointer(&owner->expired, mst_expiring_record_free);
	expiring = g_queue_peek_head(&owner->expiring);
	if (expiring == NULL || entry->now_us < expiring->due_us)
		return;
	/* The effect refers to its key. */
	owner->expired = g_queue_pop_head(&owner->expiring);
	mst_entry_store_op(entry, MST_STORE_REMOVE, 0)->key = expiring->key;
}
