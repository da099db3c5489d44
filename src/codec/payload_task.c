/* Payloads of messages about tasks. Their lists of items are flat arrays with a
 * fixed number of fields for each item; a new field of an item goes into a list
 * of its own that is appended to the message. */

#include "codec/payload.h"

#include <string.h>

#define DISPATCH_ITEM_FIELDS  21
#define RESULT_FIELDS         9
#define UNCERTAIN_FIELDS      1
#define CONFIRMED_FIELDS      1
#define UNCERTAIN_ITEM_FIELDS 6
#define BACKUP_ITEM_FIELDS    5
#define FENCED_ITEM_FIELDS    (2 + RESULT_FIELDS)

void
codec_put_dispatch(msgpack_packer *pk, const struct mst_dispatch *m)
{
	const struct mst_dispatch_item *item;
	uint32_t i;

	codec_put_u64(pk, m->echo_us);
	codec_put_u64(pk, m->expires_us);
	codec_put_u64(pk, m->received_frontier);
	codec_put_u64(pk, m->demand);
	msgpack_pack_array(pk, (size_t)m->count * DISPATCH_ITEM_FIELDS);
	for (i = 0; i < m->count; i++) {
		item = &m->items[i];
		codec_put_u64(pk, item->seq);
		codec_put_u64(pk, item->job.issuer);
		codec_put_u64(pk, item->job.counter);
		codec_put_u64(pk, item->index);
		codec_put_u64(pk, item->flags);
		codec_put_u64(pk, item->timeout_ms);
		codec_put_u64(pk, item->run);
		codec_put_u64(pk, item->expected_service_us);
		codec_put_u64(pk, item->slack_us);
		codec_put_u64(pk, item->team);
		codec_put_resources(pk, &item->needs);
		codec_put_bytes(pk, item->method);
		codec_put_bytes(pk, item->path);
		codec_put_bytes(pk, item->content_type);
		codec_put_bytes(pk, item->body);
		codec_put_bytes(pk, item->traceparent);
		codec_put_bytes(pk, item->record);
		codec_put_u64(pk, item->owner);
		codec_put_u64(pk, item->term);
	}
}

void
codec_get_dispatch(struct codec_reader *r, struct mst_dispatch *m)
{
	struct mst_dispatch_item *items;
	struct codec_reader nested;
	uint32_t count, i;

	m->echo_us = codec_get_u64(r);
	m->expires_us = codec_get_u64(r);
	m->received_frontier = codec_get_u64(r);
	m->demand = codec_get_u32(r);
	nested = codec_get_array(r, &count);
	if (nested.failed || count % DISPATCH_ITEM_FIELDS != 0)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / DISPATCH_ITEM_FIELDS;
	items = codec_list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++) {
		items[i].seq = codec_get_u64(&nested);
		items[i].job.issuer = codec_get_u64(&nested);
		items[i].job.counter = codec_get_u64(&nested);
		items[i].index = codec_get_u32(&nested);
		items[i].flags = codec_get_u32(&nested);
		items[i].timeout_ms = codec_get_u32(&nested);
		items[i].run = codec_get_u32(&nested);
		items[i].expected_service_us = codec_get_u32(&nested);
		items[i].slack_us = codec_get_u32(&nested);
		items[i].team = codec_get_u32(&nested);
		items[i].needs = codec_get_resources(&nested);
		items[i].method = codec_get_bytes(&nested);
		items[i].path = codec_get_bytes(&nested);
		items[i].content_type = codec_get_bytes(&nested);
		items[i].body = codec_get_bytes(&nested);
		items[i].traceparent = codec_get_bytes(&nested);
		items[i].record = codec_get_bytes(&nested);
		items[i].owner = codec_get_u64(&nested);
		items[i].term = codec_get_u32(&nested);
		if (items[i].seq == 0 || items[i].index >= MST_JOB_TASKS_MAX)
			r->failed = true;
	}
	m->items = items;
	r->failed |= nested.failed;
}

static void
put_result(msgpack_packer *pk, const struct mst_result_item *item)
{
	codec_put_u64(pk, item->seq);
	codec_put_u64(pk, item->outcome);
	codec_put_u64(pk, item->reason);
	codec_put_u64(pk, item->status);
	codec_put_u64(pk, item->ack_after_record);
	codec_put_u64(pk, item->queue_us);
	codec_put_u64(pk, item->service_us);
	codec_put_bytes(pk, item->content_type);
	codec_put_bytes(pk, item->body);
}

static void
get_result(struct codec_reader *r, struct mst_result_item *item)
{
	uint64_t outcome, reason, status;

	item->seq = codec_get_u64(r);
	outcome = codec_get_u64(r);
	reason = codec_get_u64(r);
	status = codec_get_u64(r);
	item->ack_after_record = codec_get_bool(r);
	item->queue_us = codec_get_u32(r);
	item->service_us = codec_get_u32(r);
	item->content_type = codec_get_bytes(r);
	item->body = codec_get_bytes(r);
	if (status > 999)
		r->failed = true;
	/* Values that a newer build has added: the task may have run. */
	if (outcome > MST_OUTCOME_UNKNOWN)
		outcome = MST_OUTCOME_UNKNOWN;
	if (reason >= MST_REASON_MAX)
		reason = MST_REASON_OTHER;
	item->outcome = (uint8_t)outcome;
	item->reason = (uint8_t)reason;
	item->status = (uint16_t)status;
}

static bool
has_uncertain_starts(const struct mst_results *m)
{
	uint32_t i;

	for (i = 0; i < m->count; i++) {
		if (m->items[i].start_uncertain)
			return true;
	}
	return false;
}

uint32_t
codec_count_appended_to_results(const struct mst_results *m)
{
	if (m->confirmed_count > 0)
		return UNCERTAIN_FIELDS + CONFIRMED_FIELDS;
	return has_uncertain_starts(m) ? UNCERTAIN_FIELDS : 0;
}

/* Packs one flag for each result. It is packed as well if another field
 * follows. */
static void
put_start_flags(msgpack_packer *pk, const struct mst_results *m)
{
	uint32_t i;

	if (!has_uncertain_starts(m) && m->confirmed_count == 0)
		return;
	msgpack_pack_array(pk, m->count);
	for (i = 0; i < m->count; i++)
		codec_put_u64(pk, m->items[i].start_uncertain);
}

/* Builds before this list was added send messages that end before it. */
static void
get_start_flags(struct codec_reader *r, struct mst_results *m,
    struct mst_result_item *items)
{
	struct codec_reader nested;
	uint32_t count, i;

	if (codec_at_end(r))
		return;
	nested = codec_get_array(r, &count);
	for (i = 0; items != NULL && i < m->count; i++)
		items[i].start_uncertain = codec_get_bool(&nested);
	r->failed |= nested.failed;
}

void
codec_put_results(msgpack_packer *pk, const struct mst_results *m)
{
	uint32_t i;

	codec_put_u64(pk, m->grant);
	codec_put_u64(pk, m->free_slots);
	msgpack_pack_array(pk, (size_t)m->count * RESULT_FIELDS);
	for (i = 0; i < m->count; i++)
		put_result(pk, &m->items[i]);
	put_start_flags(pk, m);
	if (m->confirmed_count > 0)
		codec_put_u64_list(pk, m->confirmed_seqs, m->confirmed_count);
}

void
codec_get_results(struct codec_reader *r, struct mst_results *m)
{
	struct mst_result_item *items;
	struct codec_reader nested;
	uint32_t count, i;

	m->grant = codec_get_u32(r);
	m->free_slots = codec_get_u32(r);
	nested = codec_get_array(r, &count);
	if (nested.failed || count % RESULT_FIELDS != 0)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / RESULT_FIELDS;
	items = codec_list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++)
		get_result(&nested, &items[i]);
	m->items = items;
	r->failed |= nested.failed;
	if (r->failed)
		return;
	get_start_flags(r, m, items);
	if (!codec_at_end(r))
		m->confirmed_seqs = codec_get_u64_list(r, &m->confirmed_count);
}

void
codec_put_uncertain_starts(
    msgpack_packer *pk, const struct mst_uncertain_starts *m)
{
	uint32_t i;

	msgpack_pack_array(pk, (size_t)m->count * UNCERTAIN_ITEM_FIELDS);
	for (i = 0; i < m->count; i++) {
		codec_put_u64(pk, m->items[i].agent);
		codec_put_bytes(pk, m->items[i].host);
		codec_put_bytes(pk, m->items[i].job);
		codec_put_u64(pk, m->items[i].index);
		codec_put_u64(pk, m->items[i].run);
		codec_put_u64(pk, m->items[i].age_ms);
	}
}

void
codec_get_uncertain_starts(
    struct codec_reader *r, struct mst_uncertain_starts *m)
{
	struct mst_uncertain_item *items;
	struct codec_reader nested;
	uint32_t count, i;

	nested = codec_get_array(r, &count);
	if (nested.failed || count % UNCERTAIN_ITEM_FIELDS != 0)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / UNCERTAIN_ITEM_FIELDS;
	items = codec_list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++) {
		items[i].agent = codec_get_u64(&nested);
		items[i].host = codec_get_bytes(&nested);
		items[i].job = codec_get_bytes(&nested);
		items[i].index = codec_get_u32(&nested);
		items[i].run = codec_get_u32(&nested);
		items[i].age_ms = codec_get_u32(&nested);
	}
	m->items = items;
	r->failed |= nested.failed;
}

/* Packs an item. What is the same as in the item before is left empty. */
static void
put_backup_item(msgpack_packer *pk, const struct mst_backup_item *item,
    const struct mst_backup_item *last)
{
	const struct mst_bytes same = {0};
	bool is_same_agent = last != NULL && item->agent == last->agent;
	bool is_same_job = last != NULL && item->job.len == last->job.len &&
	    memcmp(item->job.data, last->job.data, item->job.len) == 0;

	codec_put_u64(pk, is_same_agent ? 0 : item->agent);
	codec_put_bytes(pk, is_same_agent ? same : item->host);
	codec_put_bytes(pk, is_same_job ? same : item->job);
	codec_put_u64(pk, item->index);
	codec_put_u64(pk, item->run);
}

void
codec_put_backup_starts(msgpack_packer *pk, const struct mst_backup_starts *m)
{
	uint32_t i;

	codec_put_u64(pk, m->first_number);
	msgpack_pack_array(pk, (size_t)m->count * BACKUP_ITEM_FIELDS);
	for (i = 0; i < m->count; i++)
		put_backup_item(
		    pk, &m->items[i], i > 0 ? &m->items[i - 1] : NULL);
	codec_put_u64_list(pk, m->settled, m->settled_count);
}

/* Reads an item. Fails if the first one leaves its agent or job empty. */
static void
get_backup_item(struct codec_reader *r, struct mst_backup_item *item,
    const struct mst_backup_item *last)
{
	item->agent = codec_get_u64(r);
	item->host = codec_get_bytes(r);
	item->job = codec_get_bytes(r);
	item->index = codec_get_u32(r);
	item->run = codec_get_u32(r);
	if (last == NULL) {
		r->failed |= item->agent == 0 || item->job.len == 0;
		return;
	}
	if (item->agent == 0) {
		item->agent = last->agent;
		item->host = last->host;
	}
	if (item->job.len == 0)
		item->job = last->job;
}

void
codec_get_backup_starts(struct codec_reader *r, struct mst_backup_starts *m)
{
	struct mst_backup_item *items;
	struct codec_reader nested;
	uint32_t count, i;

	m->first_number = codec_get_u64(r);
	nested = codec_get_array(r, &count);
	if (nested.failed || count % BACKUP_ITEM_FIELDS != 0)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / BACKUP_ITEM_FIELDS;
	items = codec_list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++)
		get_backup_item(
		    &nested, &items[i], i > 0 ? &items[i - 1] : NULL);
	m->items = items;
	r->failed |= nested.failed;
	m->settled = codec_get_u64_list(r, &m->settled_count);
}

void
codec_put_fenced(msgpack_packer *pk, const struct mst_fenced *m)
{
	uint32_t i;

	codec_put_u64(pk, m->fenced_entry);
	codec_put_u64(pk, m->job.issuer);
	codec_put_u64(pk, m->job.counter);
	codec_put_u64(pk, m->has_session);
	codec_put_u64(pk, m->alive);
	codec_put_u64(pk, m->history_incomplete);
	codec_put_u64(pk, m->adopter);
	codec_put_u64_list(pk, m->past_owners, m->past_owner_count);
	codec_put_u64_list(pk, m->agents, m->agent_count);
	msgpack_pack_array(pk, (size_t)m->count * FENCED_ITEM_FIELDS);
	for (i = 0; i < m->count; i++) {
		codec_put_u64(pk, m->items[i].index);
		codec_put_u64(pk, m->items[i].finished);
		put_result(pk, &m->items[i].result);
	}
}

void
codec_get_fenced(struct codec_reader *r, struct mst_fenced *m)
{
	struct mst_fenced_item *items;
	struct codec_reader nested;
	uint32_t count, i;

	m->fenced_entry = codec_get_u64(r);
	m->job.issuer = codec_get_u64(r);
	m->job.counter = codec_get_u64(r);
	m->has_session = codec_get_bool(r);
	m->alive = codec_get_bool(r);
	m->history_incomplete = codec_get_bool(r);
	m->adopter = codec_get_u64(r);
	m->past_owners = codec_get_u64_list(r, &m->past_owner_count);
	m->agents = codec_get_u64_list(r, &m->agent_count);
	nested = codec_get_array(r, &count);
	if (nested.failed || count % FENCED_ITEM_FIELDS != 0)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / FENCED_ITEM_FIELDS;
	items = codec_list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++) {
		items[i].index = codec_get_u32(&nested);
		items[i].finished = codec_get_bool(&nested);
		get_result(&nested, &items[i].result);
		if (items[i].index >= MST_JOB_TASKS_MAX)
			r->failed = true;
	}
	m->items = items;
	r->failed |= nested.failed;
}
