/* Records of closed jobs, which are removed after their retention time. */

#include "core/entry/entry_internal.h"
#include "core/stored/owner_internal.h"

/* The record of a closed job, to be removed at due_us. */
struct expiring_record {
	char *key;
	int64_t due_us;
};

void
mst_expiring_record_free(gpointer data)
{
	struct expiring_record *expiring = data;

	g_free(expiring->key);
	g_free(expiring);
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
	/* Kept until the next call, because the effect refers to its key. */
	owner->expired = g_queue_pop_head(&owner->expiring);
	mst_entry_store_op(entry, MST_STORE_REMOVE, 0)->key = expiring->key;
}
