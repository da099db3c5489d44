/*
 * Sweeps over the stored records. Open jobs whose owner was lost or has no row
 * are loaded and claimed; records of jobs that were closed long ago are
 * removed.
 */

#include "core/entry/entry_internal.h"
#include "core/stored/owner_internal.h"

#include <string.h>

#define SWEEP_LOADS_MAX   16   /* concurrent reads of jobs */
#define SWEEP_UNOWNED_MAX 4096 /* unowned records that wait to be claimed */

static void
sweep_request_page(struct mst_entry *entry)
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
	sweep_request_page(entry);
}

static bool
is_known_unowned(const struct mst_entry *entry, const char *key)
{
	guint i;

	for (i = 0; i < entry->owner.unowned->len; i++) {
		const struct unowned_record *unowned =
		    entry->owner.unowned->pdata[i];

		if (strcmp(unowned->key, key) == 0)
			return true;
	}
	return false;
}

static void
unowned_add(
    struct mst_entry *entry, const struct mst_stored_record *stored_record)
{
	struct unowned_record *unowned;

	if (entry->owner.unowned->len >= SWEEP_UNOWNED_MAX ||
	    g_hash_table_contains(entry->jobs_by_key, stored_record->key) ||
	    is_known_unowned(entry, stored_record->key))
		return;
	unowned = g_new0(struct unowned_record, 1);
	unowned->key = g_strdup(stored_record->key);
	unowned->version = stored_record->version;
	mst_record_copy(&unowned->record, &stored_record->record);
	g_ptr_array_add(entry->owner.unowned, unowned);
}

static void
sweep_handle_record(
    struct mst_entry *entry, const struct mst_stored_record *stored_record)
{
	const struct mst_record *record = &stored_record->record;
	int64_t retention_ms = entry->options.record_retention_us / 1000;
	struct mst_store_op *op;
	struct peer_owner *peer_owner;

	if (record->state != MST_RECORD_OPEN) {
		if (entry->wall_ms - record->closed_ms > retention_ms) {
			op = mst_entry_store_op(entry, MST_STORE_REMOVE, 0);
			op->key = stored_record->key;
		}
		return;
	}
	/* unowned_add skips the records of jobs that this entry has loaded. */
	if (record->owner == entry->owner.id) {
		unowned_add(entry, stored_record);
		return;
	}
	peer_owner = mst_peer_owner_get(entry, record->owner);
	peer_owner->has_jobs = true;
	if (mst_owner_may_take_over(entry, peer_owner))
		unowned_add(entry, stored_record);
}

/* Removes the rows of lost owners that have no open jobs left. */
static void
retire_owners_without_jobs(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->owner.peer_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_owner *peer_owner = value;
		struct mst_store_op *op;

		if (peer_owner->has_jobs ||
		    !mst_peer_owner_is_expired(entry, peer_owner, 0))
			continue;
		if (peer_owner->version == 0) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		op =
		    mst_entry_store_op(entry, MST_STORE_RETIRE, peer_owner->id);
		op->owner = peer_owner->id;
		op->expected = peer_owner->version;
	}
}

void
mst_sweep_handle_page(
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
		sweep_handle_record(entry, &answer->records[i]);
	g_clear_pointer(&owner->sweep_cursor, g_free);
	if (answer->more_records && answer->record_count > 0)
		owner->sweep_cursor =
		    g_strdup(answer->records[answer->record_count - 1].key);
	else
		owner->sweep_partition++;
	if (owner->sweep_partition < MST_STORE_PARTITIONS) {
		sweep_request_page(entry);
		return;
	}
	owner->sweeping = false;
	owner->sweep_due_us = entry->now_us + OWNER_SWEEP_US;
	retire_owners_without_jobs(entry);
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
	     i < owner->unowned->len && owner->loads_pending < SWEEP_LOADS_MAX;
	     i++) {
		struct unowned_record *unowned = owner->unowned->pdata[i];
		struct mst_store_op *op;

		if (unowned->load_op != 0)
			continue;
		owner->loads_pending++;
		op = mst_entry_store_op(entry, MST_STORE_GET_JOB, 0);
		op->key = unowned->key;
		unowned->load_op = op->id;
	}
}

static bool
find_unowned_by_op(const struct owner *owner, uint64_t op, guint *index)
{
	for (*index = 0; *index < owner->unowned->len; (*index)++) {
		const struct unowned_record *unowned =
		    owner->unowned->pdata[*index];

		if (unowned->load_op == op)
			return true;
	}
	return false;
}

void
mst_unowned_handle_loaded(
    struct mst_entry *entry, const struct mst_store_answer *answer)
{
	struct owner *owner = &entry->owner;
	struct mst_stored_record stored_record;
	struct unowned_record *unowned;
	guint index;

	/* The record was dropped when the ownership was relinquished. */
	if (!find_unowned_by_op(owner, answer->id, &index))
		return;
	unowned = owner->unowned->pdata[index];
	owner->loads_pending--;
	stored_record = (struct mst_stored_record){.key = unowned->key,
	    .version = unowned->version,
	    .record = unowned->record};
	if (answer->status == MST_STORE_OK && answer->spec != NULL &&
	    !g_hash_table_contains(entry->jobs_by_key, unowned->key))
		mst_stored_claim(entry, answer->spec, &stored_record);
	g_ptr_array_remove_index_fast(owner->unowned, index);
}
