/*
 * Id of a worker, and what it proves. An order that names an id is executed by
 * the incarnation of this id only. So once the worker is known to go by another
 * id than the one that an order named, that order can no longer be executed,
 * even if it is held up: a start needs no stop, and no lease is granted by it.
 */

#include "core/agent/agent_internal.h"
#include "core/worker/worker_internal.h"

#include <xxhash.h>

/* Longest time for which an order may be held up. */
#define ORDER_HELD_UP_MAX_US (INT64_C(14) * G_USEC_PER_SEC)

void
mst_identity_init(struct worker *worker)
{
	worker->old_ids = g_ptr_array_new_with_free_func(g_free);
}

void
mst_identity_clear(struct worker *worker)
{
	g_ptr_array_unref(worker->old_ids);
	g_free(worker->id);
}

static uint64_t
hash_id(struct mst_bytes id)
{
	return id.len > 0 ? XXH64(id.data, id.len, 0) : 0;
}

static bool
may_be_held_up(const struct mst_agent *agent, int64_t sent_us)
{
	return sent_us > 0 && agent->now_us - sent_us <= ORDER_HELD_UP_MAX_US;
}

/* Returns true if no order that may be held up gives a lease to the worker of
 * an id. */
static bool
is_new_id(const struct mst_agent *agent, uint64_t hash)
{
	const struct worker *worker = &agent->worker;
	size_t i;

	if (may_be_held_up(agent, worker->unnamed_us))
		return false;
	for (i = 0; i < WORKER_NAMED_IDS_MAX; i++) {
		const struct named_id *named = &worker->named_ids[i];

		if (named->hash == hash &&
		    may_be_held_up(agent, named->sent_us))
			return false;
	}
	return true;
}

void
mst_identity_set(struct mst_agent *agent, struct mst_bytes id)
{
	struct worker *worker = &agent->worker;

	if (worker->id != NULL)
		g_ptr_array_add(worker->old_ids, worker->id);
	worker->id = id.len > 0 ? mst_bytes_to_str(id) : NULL;
	worker->id_us = agent->now_us;
	worker->id_hash = hash_id(id);
	worker->id_confirmed = worker->has_ended = false;
	worker->id_is_new =
	    worker->id != NULL && is_new_id(agent, worker->id_hash);
	if (mst_identity_must_confirm(worker))
		worker->next_renew_us = agent->now_us;
}

bool
mst_identity_must_confirm(const struct worker *worker)
{
	return worker->id != NULL && !worker->id_confirmed &&
	    worker->id_is_new && worker->expects_long_lease;
}

void
mst_identity_handle_refusal(
    struct mst_agent *agent, const struct mst_order_answer *answer)
{
	struct worker *worker = &agent->worker;
	bool has_ended = worker->id_confirmed;

	if (worker->id == NULL || answer->sent_us < worker->id_us)
		return;
	mst_identity_set(agent, (struct mst_bytes){0});
	worker->has_ended = has_ended;
	worker->next_renew_us = agent->now_us;
}

/* Returns the record of an id, or the oldest one, which the id may replace. */
static struct named_id *
find_named(struct worker *worker, uint64_t hash)
{
	struct named_id *oldest = &worker->named_ids[0];
	size_t i;

	for (i = 0; i < WORKER_NAMED_IDS_MAX; i++) {
		struct named_id *named = &worker->named_ids[i];

		if (named->hash == hash)
			return named;
		if (named->sent_us < oldest->sent_us)
			oldest = named;
	}
	return oldest;
}

void
mst_identity_note_lease(struct mst_agent *agent, const struct mst_order *order)
{
	struct worker *worker = &agent->worker;
	uint64_t hash = hash_id(order->worker_id);
	struct named_id *named;

	if (hash == 0) {
		worker->unnamed_us = agent->now_us;
		return;
	}
	named = find_named(worker, hash);
	/* A dropped id can't be told from a new one, so its orders count as
	 * orders without an id. */
	if (named->hash != hash && may_be_held_up(agent, named->sent_us))
		worker->unnamed_us = MAX(worker->unnamed_us, named->sent_us);
	*named = (struct named_id){.hash = hash, .sent_us = agent->now_us};
}

void
mst_identity_note_start(struct run *run, const struct mst_order *order)
{
	uint64_t hash = hash_id(order->worker_id);

	if (run->start_worker != 0 && run->start_worker != hash)
		run->start_workers_differ = true;
	run->start_worker = hash;
}
