/*
 * Ownership of stored jobs. An entry that owns stored jobs keeps a row in the
 * store and renews it; if no renewal is confirmed within its lease, it
 * relinquishes the jobs. The other entries poll the rows. When a row has been
 * unchanged for so long that its owner must have relinquished its jobs and
 * every run that it started must have ended, they sweep the records and take
 * over the owner's jobs.
 */

#include "base/retry_delay.h"
#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/stored/owner_internal.h"

#include <string.h>

#define OWNER_POLL_IDLE_US     (10 * G_USEC_PER_SEC) /* if there is no owner */
#define OWNER_DRAIN_TIMEOUT_US (INT64_C(800) * 1000) /* for handing over */

/* Time from a failed renewal or poll to the next one, in microseconds. Several
 * renewals fit into a lease. */
static const struct mst_retry_bounds owner_bounds = {
    .min = 150 * 1000, .max = 400 * 1000};

/* Counts a failed operation and returns the delay before the next one. */
static int64_t
failure_delay_us(struct mst_entry *entry)
{
	entry->owner.store_failures++;
	return mst_retry_delay(&owner_bounds, entry->owner.store_failures,
	    g_rand_double(entry->rand));
}

static void
peer_owner_free(gpointer data)
{
	struct peer_owner *peer = data;

	g_ptr_array_unref(peer->queue_names);
	g_array_unref(peer->queue_lengths);
	g_free(peer);
}

void
mst_owner_init(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;

	owner->peer_owners = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, peer_owner_free);
	owner->unowned = g_ptr_array_new_with_free_func(mst_unowned_free);
	owner->queue_lengths =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_queue_length));
	g_queue_init(&owner->expiring);
	entry->stored_lookups = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)mst_stored_lookup_free);
	entry->store_ops =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
mst_owner_clear(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;

	g_hash_table_unref(owner->peer_owners);
	g_ptr_array_unref(owner->unowned);
	g_array_unref(owner->queue_lengths);
	g_queue_clear_full(&owner->expiring, mst_expiring_record_free);
	g_clear_pointer(&owner->expired, mst_expiring_record_free);
	g_free(owner->sweep_cursor);
	g_ptr_array_unref(entry->stored_lookups);
	g_hash_table_unref(entry->store_ops);
}

/* Renewal of this entry's row. */

static bool
has_stored_jobs(const struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->jobs->len; i++) {
		const struct job *job = entry->jobs->pdata[i];

		if (job != NULL && job->stored != NULL &&
		    job->state == MST_JOB_OPEN)
			return true;
	}
	return false;
}

void
mst_owner_relinquish(struct mst_entry *entry, const char *reason)
{
	struct owner *owner = &entry->owner;
	uint64_t dropped_before = entry->counters.jobs_dropped;

	if (owner->id == 0)
		return;
	mst_stored_suspend_all(entry);
	g_ptr_array_set_size(owner->unowned, 0);
	mst_owner_report(entry, reason, owner->id,
	    (uint32_t)(entry->counters.jobs_dropped - dropped_before));
	owner->id = 0;
	owner->renewing = false;
	owner->loads_pending = 0;
	if (has_stored_jobs(entry) && !entry->draining)
		mst_owner_ensure(entry);
}

void
mst_owner_abandon(struct mst_entry *entry)
{
	mst_owner_relinquish(entry, "new-incarnation");
	mst_stored_drop_all(entry);
}

void
mst_owner_hand_over(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;

	if (owner->id == 0)
		return;
	owner->handing_over = true;
	mst_stored_suspend_all(entry);
}

/* Marks this entry's row as released once all jobs are idle. Relinquishes the
 * ownership without that if it takes longer than OWNER_DRAIN_TIMEOUT_US. */
static void
hand_over_tick(struct mst_entry *entry)
{
	if (entry->now_us - entry->drain_us > OWNER_DRAIN_TIMEOUT_US) {
		mst_stored_drop_all(entry);
		mst_owner_relinquish(entry, "leaves");
	} else if (!entry->owner.renewing && mst_stored_jobs_are_idle(entry)) {
		mst_owner_renew(entry);
	}
}

static void
handle_renewal_answer(struct mst_entry *entry, const struct op_context *op,
    const struct mst_store_answer *answer)
{
	struct owner *owner = &entry->owner;

	/* The ownership that was to be renewed has been relinquished. */
	if (op->cookie != owner->id)
		return;
	owner->renewing = false;
	if (answer->status == MST_STORE_OK) {
		owner->store_failures = 0;
		if (!owner->confirmed)
			mst_owner_report(entry, "owner", owner->id, 0);
		owner->confirmed = true;
		owner->version = answer->version;
		/* The row was written at some time after the request was sent,
		 * so the lease is counted from the request. */
		owner->valid_until_us =
		    op->sent_us + entry->options.owner_lease_us;
		if (op->released) {
			mst_stored_drop_all(entry);
			mst_owner_relinquish(entry, "released");
		}
	} else if (answer->status == MST_STORE_CONFLICT) {
		if (answer->owner_count == 0) {
			mst_owner_relinquish(entry, "row-removed");
			return;
		}
		owner->version = answer->owners[0].version;
		owner->renew_due_us = entry->now_us;
	} else {
		entry->counters.store_failures++;
		owner->renew_due_us = entry->now_us + failure_delay_us(entry);
	}
}

void
mst_owner_check_lease(struct mst_entry *entry)
{
	const struct owner *owner = &entry->owner;

	if (owner->id != 0 && entry->now_us >= owner->valid_until_us)
		mst_owner_relinquish(entry,
		    owner->confirmed ? "lease-lapsed" : "never-confirmed");
}

static void
own_row_tick(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;

	if (owner->id == 0)
		return;
	if (owner->handing_over)
		hand_over_tick(entry);
	else if (!owner->renewing && entry->now_us >= owner->renew_due_us)
		mst_owner_renew(entry);
}

/* Polling of the rows of peer owners, and takeover of their jobs. */

static void
peer_owner_set_lengths(
    struct peer_owner *peer, const struct mst_stored_owner *row)
{
	uint32_t i;

	g_ptr_array_set_size(peer->queue_names, 0);
	g_array_set_size(peer->queue_lengths, 0);
	for (i = 0; i < row->length_count; i++) {
		g_ptr_array_add(
		    peer->queue_names, g_strdup(row->lengths[i].queue));
		g_array_append_val(peer->queue_lengths, row->lengths[i].jobs);
	}
}

/* Updates a peer owner from its polled row. The row was read at some time
 * between the request and its answer, so a row with the same version is known
 * to be unchanged only until the time of the request. */
static void
peer_owner_update(struct mst_entry *entry, const struct mst_stored_owner *row,
    int64_t requested_us)
{
	struct peer_owner *peer = mst_peer_owner_get(entry, row->owner);

	peer->in_poll = true;
	if (peer->version == row->version) {
		peer->unchanged_until_us =
		    MAX(peer->unchanged_until_us, requested_us);
		return;
	}
	peer->version = row->version;
	peer->changed_us = peer->unchanged_until_us = entry->now_us;
	peer->released = row->released;
	peer_owner_set_lengths(peer, row);
}

/* Updates the peer owners whose rows are not in the poll: drops those whose row
 * was removed, and marks those that never had one as unchanged. */
static void
update_missing_peer_owners(struct mst_entry *entry, int64_t requested_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->owner.peer_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_owner *peer = value;

		if (peer->in_poll)
			continue;
		if (peer->version != 0) {
			/* The row was removed. If a sweep still finds a job of
			 * this owner, it adds the owner again. */
			g_hash_table_iter_remove(&iter);
			continue;
		}
		peer->unchanged_until_us =
		    MAX(peer->unchanged_until_us, requested_us);
	}
}

static void
handle_poll_answer(struct mst_entry *entry, const struct op_context *op,
    const struct mst_store_answer *answer)
{
	struct owner *owner = &entry->owner;
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	owner->polling = false;
	if (answer->status != MST_STORE_OK) {
		entry->counters.store_failures++;
		owner->poll_due_us = entry->now_us + failure_delay_us(entry);
		return;
	}
	owner->store_failures = 0;
	g_hash_table_iter_init(&iter, owner->peer_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct peer_owner *)value)->in_poll = false;
	for (i = 0; i < answer->owner_count; i++) {
		if (answer->owners[i].owner != owner->id)
			peer_owner_update(
			    entry, &answer->owners[i], op->sent_us);
	}
	update_missing_peer_owners(entry, op->sent_us);
	owner->poll_due_us = entry->now_us +
	    (owner->id != 0 || g_hash_table_size(owner->peer_owners) > 0
		    ? OWNER_POLL_US
		    : OWNER_POLL_IDLE_US);
}

static bool
has_jobs_to_take_over(const struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->owner.peer_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (mst_owner_may_take_over(entry, value))
			return true;
	}
	return false;
}

static void
peer_owners_tick(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;

	if (!owner->polling && entry->now_us >= owner->poll_due_us) {
		owner->polling = true;
		mst_entry_store_op(entry, MST_STORE_OWNERS, 0);
	}
	if (entry->draining || g_hash_table_size(owner->peer_owners) == 0)
		return;
	if (owner->sweeping)
		return;
	if (owner->id == 0) {
		if (has_jobs_to_take_over(entry))
			mst_owner_ensure(entry);
		return;
	}
	if (mst_owner_is_confirmed(entry) &&
	    (entry->now_us >= owner->sweep_due_us ||
		(entry->now_us >=
			owner->sweep_due_us - OWNER_SWEEP_US + OWNER_POLL_US &&
		    has_jobs_to_take_over(entry))))
		mst_sweep_start(entry);
}

void
mst_owner_tick(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;

	if (!entry->options.stored_jobs)
		return;
	own_row_tick(entry);
	peer_owners_tick(entry);
	mst_unowned_load_next(entry);
	mst_records_remove_expired(entry);
	mst_stored_lookups_retry(entry);
	if (owner->id == 0 || entry->now_us < owner->needed_until_us)
		return;
	if (has_stored_jobs(entry) || owner->unowned->len > 0)
		mst_owner_ensure(entry);
	else
		mst_owner_retire(entry);
}

void
mst_owner_retire(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;
	struct mst_store_op *op;

	op = mst_entry_store_op(entry, MST_STORE_RETIRE, owner->id);
	op->owner = owner->id;
	op->expected = owner->version;
	mst_owner_relinquish(entry, "idle");
}

void
mst_entry_handle_store_answer(
    struct mst_entry *entry, const struct mst_store_answer *answer)
{
	struct op_context context;
	struct job *job;

	if (!mst_entry_take_store_op(&context, entry, answer->id))
		return;
	switch (context.kind) {
	case MST_STORE_CREATE:
	case MST_STORE_UPDATE:
		job = mst_job_find(entry, context.cookie);
		if (job != NULL && job->state == MST_JOB_OPEN)
			mst_stored_handle_write(entry, job, answer);
		break;
	case MST_STORE_GET_RECORD:
	case MST_STORE_CANCEL:
		mst_stored_handle_lookup(entry, context.cookie, answer);
		break;
	case MST_STORE_GET_JOB:
		mst_unowned_handle_loaded(entry, answer);
		break;
	case MST_STORE_SCAN:
		mst_sweep_handle_page(entry, answer);
		break;
	case MST_STORE_RENEW:
		handle_renewal_answer(entry, &context, answer);
		break;
	case MST_STORE_OWNERS:
		handle_poll_answer(entry, &context, answer);
		break;
	case MST_STORE_REMOVE:
	case MST_STORE_RETIRE:
		/* A later sweep finds what was not removed. */
		break;
	}
}
