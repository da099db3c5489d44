/*
 * Ownership of stored jobs, of this entry and of its peers, and the operations
 * on the store that are not answered yet.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/place/place.h"
#include "core/stored/owner_internal.h"

#define OWNER_RENEW_US        (INT64_C(700) * 1000) /* between renewals */
#define OWNER_RETIRE_DELAY_US (30 * G_USEC_PER_SEC) /* after the last job */
#define OWNER_TURN_DELAY_US   (INT64_C(800) * 1000) /* per preceding owner */
#define OWNER_RANK_FACTOR     0x9e3779b97f4a7c15u   /* 2^64 / golden ratio */

/* Store operation that has not been answered; keyed by id in store_ops. */
struct pending_op {
	gint64 id;
	struct op_context context;
};

struct mst_store_op *
mst_entry_store_op(
    struct mst_entry *entry, enum mst_store_op_kind kind, uint64_t cookie)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_STORE);
	struct pending_op *op = g_new0(struct pending_op, 1);

	op->id = (gint64)++entry->next_op;
	op->context = (struct op_context){
	    .kind = kind, .cookie = cookie, .sent_us = entry->now_us};
	g_hash_table_insert(entry->store_ops, &op->id, op);
	entry->counters.store_ops++;
	effect->op =
	    (struct mst_store_op){.kind = kind, .id = (uint64_t)op->id};
	return &effect->op;
}

static struct op_context *
find_op_context(const struct mst_entry *entry, const struct mst_store_op *op)
{
	struct pending_op *pending =
	    g_hash_table_lookup(entry->store_ops, &op->id);

	return &pending->context;
}

bool
mst_entry_take_store_op(
    struct op_context *out, struct mst_entry *entry, uint64_t id)
{
	struct pending_op *op = g_hash_table_lookup(entry->store_ops, &id);

	if (op == NULL)
		return false;
	*out = op->context;
	g_hash_table_remove(entry->store_ops, &id);
	return true;
}

void
mst_owner_report(
    struct mst_entry *entry, const char *state, uint64_t id, uint32_t count)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_OWNER);

	effect->state = state;
	effect->owner = id;
	effect->count = count;
}

bool
mst_owner_is_confirmed(const struct mst_entry *entry)
{
	return entry->owner.id != 0 && entry->owner.confirmed &&
	    entry->now_us < entry->owner.valid_until_us;
}

/* Counts the owned jobs that have not started, by queue. */
static void
count_queued_jobs(struct mst_entry *entry)
{
	GArray *lengths = entry->owner.queue_lengths;
	guint i, k;

	g_array_set_size(lengths, 0);
	for (i = 0; i < entry->jobs->len; i++) {
		const struct job *job = entry->jobs->pdata[i];
		struct mst_queue_length length = {.jobs = 1};

		if (job == NULL || job->stored == NULL ||
		    job->state != MST_JOB_OPEN || job->started > 0 ||
		    job->stored->phase != STORED_OWNED)
			continue;
		length.queue = job->team->name;
		for (k = 0; k < lengths->len; k++) {
			struct mst_queue_length *existing =
			    &g_array_index(lengths, struct mst_queue_length, k);

			if (existing->queue == length.queue) {
				existing->jobs++;
				break;
			}
		}
		if (k == lengths->len)
			g_array_append_val(lengths, length);
	}
}

bool
mst_stored_jobs_are_idle(const struct mst_entry *entry)
{
	guint i;
	uint32_t k;

	for (i = 0; i < entry->jobs->len; i++) {
		const struct job *job = entry->jobs->pdata[i];

		if (job == NULL || job->stored == NULL ||
		    job->state != MST_JOB_OPEN)
			continue;
		if (job->stored->writing || job->stored->dirty)
			return false;
		for (k = 0; k < job->count; k++) {
			if (job->tasks[k].state == TASK_SENT)
				return false;
		}
	}
	return true;
}

void
mst_owner_renew(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;
	struct mst_store_op *op;

	count_queued_jobs(entry);
	op = mst_entry_store_op(entry, MST_STORE_RENEW, owner->id);
	op->owner = owner->id;
	op->expected = owner->version;
	op->lengths =
	    (const struct mst_queue_length *)owner->queue_lengths->data;
	op->length_count = owner->queue_lengths->len;
	op->released = owner->handing_over && mst_stored_jobs_are_idle(entry);
	find_op_context(entry, op)->released = op->released;
	owner->renewing = true;
	owner->renew_due_us = entry->now_us + OWNER_RENEW_US;
}

void
mst_owner_ensure(struct mst_entry *entry)
{
	struct owner *owner = &entry->owner;

	owner->needed_until_us = entry->now_us + OWNER_RETIRE_DELAY_US;
	if (owner->id != 0)
		return;
	owner->id = mst_entry_random_id(entry);
	owner->version = 0;
	owner->confirmed = false;
	owner->valid_until_us = entry->now_us + entry->options.owner_lease_us;
	/* Peer owners may have appeared since the last poll. */
	owner->poll_due_us = MIN(owner->poll_due_us, entry->now_us);
	mst_owner_renew(entry);
}

struct peer_owner *
mst_peer_owner_get(struct mst_entry *entry, uint64_t id)
{
	struct peer_owner *peer =
	    g_hash_table_lookup(entry->owner.peer_owners, &id);

	if (peer != NULL)
		return peer;
	peer = g_new0(struct peer_owner, 1);
	peer->id = id;
	peer->changed_us = peer->unchanged_until_us = entry->now_us;
	peer->queue_names = g_ptr_array_new_with_free_func(g_free);
	peer->queue_lengths = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_insert(entry->owner.peer_owners, &peer->id, peer);
	return peer;
}

/* Returns the rank of a live owner among those that may take over from a lost
 * one. The lowest goes first; the order differs from one lost owner to another,
 * which spreads the jobs. */
static uint64_t
takeover_rank(uint64_t candidate, uint64_t lost)
{
	return (candidate ^ lost) * OWNER_RANK_FACTOR;
}

bool
mst_peer_owner_is_expired(const struct mst_entry *entry,
    const struct peer_owner *peer, int64_t extra_us)
{
	int64_t wait_us = peer->released ? 0 : entry->options.takeover_delay_us;

	return peer->unchanged_until_us - peer->changed_us >=
	    wait_us + extra_us;
}

bool
mst_owner_may_take_over(
    const struct mst_entry *entry, const struct peer_owner *lost)
{
	uint64_t own_rank = takeover_rank(entry->owner.id, lost->id);
	int64_t turn_delay_us = 0;
	GHashTableIter iter;
	gpointer value;

	if (!mst_peer_owner_is_expired(entry, lost, 0))
		return false;
	g_hash_table_iter_init(&iter, entry->owner.peer_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_owner *peer = value;

		if (peer->version != 0 &&
		    !mst_peer_owner_is_expired(entry, peer, 0) &&
		    takeover_rank(peer->id, lost->id) < own_rank)
			turn_delay_us += OWNER_TURN_DELAY_US;
	}
	return mst_peer_owner_is_expired(entry, lost, turn_delay_us);
}

void
mst_unowned_free(gpointer data)
{
	struct unowned_record *unowned = data;

	g_free(unowned->key);
	mst_record_clear(&unowned->record);
	g_free(unowned);
}

uint32_t
mst_entry_queue_length(const struct mst_entry *entry, const char *queue)
{
	uint32_t total = 0;
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < entry->jobs->len; i++) {
		const struct job *job = entry->jobs->pdata[i];

		total += job != NULL && job->stored != NULL &&
		    job->state == MST_JOB_OPEN && job->started == 0 &&
		    job->stored->phase == STORED_OWNED &&
		    strcmp(job->team->name, queue) == 0;
	}
	g_hash_table_iter_init(&iter, entry->owner.peer_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_owner *peer = value;

		for (i = 0; i < peer->queue_names->len; i++) {
			if (strcmp(peer->queue_names->pdata[i], queue) == 0)
				total += g_array_index(
				    peer->queue_lengths, uint32_t, i);
		}
	}
	return total;
}
