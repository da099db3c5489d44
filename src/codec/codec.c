#include "codec/validate.h"
#include "codec/codec.h"
#include "codec/fields.h"

#include <msgpack.h>

G_DEFINE_QUARK(mst_codec_error, mst_codec_error)

/* Number of fields per item; a list of items is encoded as one flat array. */
#define DISPATCH_ITEM_FIELDS 21
#define RESULT_FIELDS        9
#define FENCED_ITEM_FIELDS   (2 + RESULT_FIELDS)
#define CRASH_FIELDS         5
#define CRASHED_RUN_FIELDS   2

static void
put_resources(msgpack_packer *pk, const struct mst_resources *resources)
{
	codec_put_u64(pk, resources->millicores);
	codec_put_u64(pk, resources->memory_mb);
	codec_put_u64(pk, resources->accelerators);
}

static struct mst_resources
get_resources(struct codec_reader *r)
{
	struct mst_resources resources;

	resources.millicores = codec_get_u32(r);
	resources.memory_mb = codec_get_u32(r);
	resources.accelerators = codec_get_u32(r);
	return resources;
}

static void
put_drains(msgpack_packer *pk, const struct mst_drains_msg *m)
{
	codec_put_u64(pk, m->revision);
	codec_put_bytes(pk, m->domains);
}

static struct mst_drains_msg
get_drains(struct codec_reader *r)
{
	struct mst_drains_msg m;

	m.revision = codec_get_u64(r);
	m.domains = codec_get_bytes(r);
	return m;
}

static void
put_announce(msgpack_packer *pk, const struct mst_announce *m)
{
	codec_put_bytes(pk, m->name);
	codec_put_bytes(pk, m->failure_domain);
	codec_put_bytes(pk, m->rack);
	codec_put_bytes(pk, m->service);
	codec_put_bytes(pk, m->labels);
	codec_put_u64(pk, m->description_version);
	codec_put_u64(pk, m->clock_us);
	codec_put_u64(pk, m->slots);
	codec_put_u64(pk, m->connections);
	put_resources(pk, &m->resources);
	put_resources(pk, &m->resources_max);
	codec_put_u64(pk, m->draining);
	codec_put_u64(pk, m->fenced);
	codec_put_u64(pk, m->grant);
	codec_put_u64(pk, m->free_slots);
	codec_put_u64(pk, m->slowness_milli);
	codec_put_u64(pk, m->cold_ms);
	codec_put_u64(pk, m->running);
	codec_put_u64(pk, m->queued);
	codec_put_u64(pk, m->roster_version);
	codec_put_u64(pk, m->sent_through);
	codec_put_seqset(pk, &m->seqs_received);
	codec_put_u64(pk, m->config_version);
	codec_put_bytes(pk, m->entries);
	put_drains(pk, &m->drains);
}

static void
get_announce(struct codec_reader *r, struct mst_announce *m)
{
	m->name = codec_get_bytes(r);
	m->failure_domain = codec_get_bytes(r);
	m->rack = codec_get_bytes(r);
	m->service = codec_get_bytes(r);
	m->labels = codec_get_bytes(r);
	m->description_version = codec_get_u32(r);
	m->clock_us = codec_get_u64(r);
	m->slots = codec_get_u32(r);
	m->connections = codec_get_u32(r);
	m->resources = get_resources(r);
	m->resources_max = get_resources(r);
	m->draining = codec_get_bool(r);
	m->fenced = codec_get_bool(r);
	m->grant = codec_get_u32(r);
	m->free_slots = codec_get_u32(r);
	m->slowness_milli = codec_get_u32(r);
	m->cold_ms = codec_get_u32(r);
	m->running = codec_get_u32(r);
	m->queued = codec_get_u32(r);
	m->roster_version = codec_get_u64(r);
	m->sent_through = codec_get_u64(r);
	m->seqs_received = codec_get_seqset(r);
	m->config_version = codec_get_u64(r);
	m->entries = codec_get_bytes(r);
	m->drains = get_drains(r);
}

static void
put_heartbeat(msgpack_packer *pk, const struct mst_heartbeat *m)
{
	codec_put_u64(pk, m->echo_us);
	codec_put_u64(pk, m->description_version);
	codec_put_u64(pk, m->roster_version);
	codec_put_u64_list(pk, m->agents, m->agent_count);
	codec_put_u64(pk, m->adoption_floor);
	codec_put_u64(pk, m->sent_through);
	codec_put_seqset(pk, &m->results_received);
	codec_put_u64(pk, m->demand);
	codec_put_u64(pk, m->crashes_received);
	codec_put_u64(pk, m->config_version);
	codec_put_bytes(pk, m->peers);
	put_drains(pk, &m->drains);
}

static void
get_heartbeat(struct codec_reader *r, struct mst_heartbeat *m)
{
	m->echo_us = codec_get_u64(r);
	m->description_version = codec_get_u32(r);
	m->roster_version = codec_get_u64(r);
	m->agents = codec_get_u64_list(r, &m->agent_count);
	m->adoption_floor = codec_get_u64(r);
	m->sent_through = codec_get_u64(r);
	m->results_received = codec_get_seqset(r);
	m->demand = codec_get_u32(r);
	m->crashes_received = codec_get_u64(r);
	m->config_version = codec_get_u64(r);
	m->peers = codec_get_bytes(r);
	m->drains = get_drains(r);
}

static void
put_dispatch(msgpack_packer *pk, const struct mst_dispatch *m)
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
		put_resources(pk, &item->needs);
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

static void
get_dispatch(struct codec_reader *r, struct mst_dispatch *m)
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
		items[i].needs = get_resources(&nested);
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
	if (outcome > MST_OUTCOME_UNKNOWN || reason >= MST_REASON_MAX ||
	    status > 999)
		r->failed = true;
	item->outcome = (uint8_t)outcome;
	item->reason = (uint8_t)reason;
	item->status = (uint16_t)status;
}

static void
put_results(msgpack_packer *pk, const struct mst_results *m)
{
	uint32_t i;

	codec_put_u64(pk, m->grant);
	codec_put_u64(pk, m->free_slots);
	msgpack_pack_array(pk, (size_t)m->count * RESULT_FIELDS);
	for (i = 0; i < m->count; i++)
		put_result(pk, &m->items[i]);
}

static void
get_results(struct codec_reader *r, struct mst_results *m)
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
}

static void
put_fenced(msgpack_packer *pk, const struct mst_fenced *m)
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

static void
get_fenced(struct codec_reader *r, struct mst_fenced *m)
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

static void
put_crashes(msgpack_packer *pk, const struct mst_crashes *m)
{
	uint32_t i, k;

	codec_put_u64(pk, m->after);
	msgpack_pack_array(pk, (size_t)m->count * CRASH_FIELDS);
	for (i = 0; i < m->count; i++) {
		const struct mst_crash *crash = &m->items[i];

		codec_put_u64(pk, crash->number);
		codec_put_u64(pk, crash->id);
		codec_put_u64(pk, crash->age_ms);
		codec_put_u64(pk, crash->cleared);
		msgpack_pack_array(
		    pk, (size_t)crash->run_count * CRASHED_RUN_FIELDS);
		for (k = 0; k < crash->run_count; k++) {
			codec_put_bytes(pk, crash->runs[k].task);
			codec_put_u64(pk, crash->runs[k].team);
		}
	}
}

static void
get_crashed_runs(struct codec_reader *r, struct mst_crash *crash)
{
	struct mst_crashed_run *runs;
	struct codec_reader nested;
	uint32_t count, i;

	nested = codec_get_array(r, &count);
	if (nested.failed || count % CRASHED_RUN_FIELDS != 0 ||
	    count / CRASHED_RUN_FIELDS > MST_CRASH_RUNS_MAX) {
		r->failed = true;
		return;
	}
	crash->run_count = count / CRASHED_RUN_FIELDS;
	runs = codec_list_alloc(r, crash->run_count, sizeof(*runs));
	for (i = 0; runs != NULL && i < crash->run_count; i++) {
		runs[i].task = codec_get_bytes(&nested);
		runs[i].team = codec_get_u32(&nested);
	}
	crash->runs = runs;
	r->failed |= nested.failed;
}

static void
get_crashes(struct codec_reader *r, struct mst_crashes *m)
{
	struct mst_crash *items;
	struct codec_reader nested;
	uint32_t count, i;

	m->after = codec_get_u64(r);
	nested = codec_get_array(r, &count);
	if (nested.failed || count % CRASH_FIELDS != 0 ||
	    count / CRASH_FIELDS > MST_CRASHES_MAX)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / CRASH_FIELDS;
	items = codec_list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++) {
		items[i].number = codec_get_u64(&nested);
		items[i].id = codec_get_u64(&nested);
		items[i].age_ms = codec_get_u32(&nested);
		items[i].cleared = codec_get_bool(&nested);
		get_crashed_runs(&nested, &items[i]);
	}
	m->items = items;
	r->failed |= nested.failed;
}

static void
put_payload(msgpack_packer *pk, const struct mst_msg *msg)
{
	switch (msg->type) {
	case MST_MSG_ANNOUNCE:
		put_announce(pk, &msg->announce);
		break;
	case MST_MSG_HEARTBEAT:
		put_heartbeat(pk, &msg->heartbeat);
		break;
	case MST_MSG_DISPATCH:
		put_dispatch(pk, &msg->dispatch);
		break;
	case MST_MSG_RESULT:
		put_results(pk, &msg->results);
		break;
	case MST_MSG_WITHDRAW:
		codec_put_u64_list(pk, msg->withdraw.seqs, msg->withdraw.count);
		break;
	case MST_MSG_FENCE:
		codec_put_u64(pk, msg->fence.fenced_entry);
		codec_put_u64(pk, msg->fence.job.issuer);
		codec_put_u64(pk, msg->fence.job.counter);
		codec_put_u64(pk, msg->fence.claim);
		break;
	case MST_MSG_FENCED:
		put_fenced(pk, &msg->fenced);
		break;
	case MST_MSG_PEER:
		codec_put_bytes(pk, msg->peer.address);
		codec_put_u64(pk, msg->peer.config_version);
		codec_put_u64(pk, msg->peer.leaving);
		codec_put_u64(pk, msg->peer.is_reply);
		codec_put_u64(pk, msg->peer.demand_ms);
		put_drains(pk, &msg->peer.drains);
		break;
	case MST_MSG_CONFIG:
		codec_put_u64(pk, msg->config.version);
		codec_put_bytes(pk, msg->config.document);
		break;
	case MST_MSG_CONFIG_REQUEST:
		codec_put_u64(pk, msg->config_request.version);
		break;
	case MST_MSG_FORWARD:
		codec_put_u64(pk, msg->forward.id);
		codec_put_u64(pk, msg->forward.kind);
		codec_put_bytes(pk, msg->forward.ticket);
		codec_put_bytes(pk, msg->forward.body);
		codec_put_bytes(pk, msg->forward.traceparent);
		break;
	case MST_MSG_FORWARDED:
		codec_put_u64(pk, msg->forwarded.id);
		codec_put_u64(pk, msg->forwarded.status);
		codec_put_u64(pk, msg->forwarded.retry_after_s);
		codec_put_bytes(pk, msg->forwarded.body);
		break;
	case MST_MSG_CRASHES:
		put_crashes(pk, &msg->crashes);
		break;
	case MST_MSG_MAX:
		break;
	}
}

static void
get_payload(struct codec_reader *r, struct mst_msg *msg)
{
	switch (msg->type) {
	case MST_MSG_ANNOUNCE:
		get_announce(r, &msg->announce);
		break;
	case MST_MSG_HEARTBEAT:
		get_heartbeat(r, &msg->heartbeat);
		break;
	case MST_MSG_DISPATCH:
		get_dispatch(r, &msg->dispatch);
		break;
	case MST_MSG_RESULT:
		get_results(r, &msg->results);
		break;
	case MST_MSG_WITHDRAW:
		msg->withdraw.seqs =
		    codec_get_u64_list(r, &msg->withdraw.count);
		break;
	case MST_MSG_FENCE:
		msg->fence.fenced_entry = codec_get_u64(r);
		msg->fence.job.issuer = codec_get_u64(r);
		msg->fence.job.counter = codec_get_u64(r);
		msg->fence.claim = codec_get_bool(r);
		break;
	case MST_MSG_FENCED:
		get_fenced(r, &msg->fenced);
		break;
	case MST_MSG_PEER:
		msg->peer.address = codec_get_bytes(r);
		msg->peer.config_version = codec_get_u64(r);
		msg->peer.leaving = codec_get_bool(r);
		msg->peer.is_reply = codec_get_bool(r);
		msg->peer.demand_ms = codec_get_u32(r);
		msg->peer.drains = get_drains(r);
		break;
	case MST_MSG_CONFIG:
		msg->config.version = codec_get_u64(r);
		msg->config.document = codec_get_bytes(r);
		break;
	case MST_MSG_CONFIG_REQUEST:
		msg->config_request.version = codec_get_u64(r);
		break;
	case MST_MSG_CRASHES:
		get_crashes(r, &msg->crashes);
		break;
	case MST_MSG_FORWARD:
		msg->forward.id = codec_get_u64(r);
		msg->forward.kind = codec_get_u32(r);
		msg->forward.ticket = codec_get_bytes(r);
		msg->forward.body = codec_get_bytes(r);
		msg->forward.traceparent = codec_get_bytes(r);
		break;
	case MST_MSG_FORWARDED:
		msg->forwarded.id = codec_get_u64(r);
		msg->forwarded.status = codec_get_u32(r);
		msg->forwarded.retry_after_s = codec_get_u32(r);
		msg->forwarded.body = codec_get_bytes(r);
		break;
	default:
		r->failed = true;
	}
}

/* Number of fields that follow the header (version, type, from, to). */
static const uint8_t payload_fields[MST_MSG_MAX] = {
    [MST_MSG_ANNOUNCE] = 30,
    [MST_MSG_HEARTBEAT] = 13,
    [MST_MSG_DISPATCH] = 5,
    [MST_MSG_RESULT] = 3,
    [MST_MSG_WITHDRAW] = 1,
    [MST_MSG_FENCE] = 4,
    [MST_MSG_FENCED] = 10,
    [MST_MSG_PEER] = 7,
    [MST_MSG_CONFIG] = 2,
    [MST_MSG_FORWARD] = 5,
    [MST_MSG_FORWARDED] = 4,
    [MST_MSG_CONFIG_REQUEST] = 1,
    [MST_MSG_CRASHES] = 2,
};

void
mst_msg_encode(GByteArray *out, const struct mst_msg *msg)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_pack_append);
	msgpack_pack_array(&pk, 4 + (size_t)payload_fields[msg->type]);
	codec_put_u64(&pk, MST_MSG_VERSION);
	codec_put_u64(&pk, msg->type);
	codec_put_u64(&pk, msg->from);
	codec_put_u64(&pk, msg->to);
	put_payload(&pk, msg);
}

struct mst_decoder *
mst_decoder_new(void)
{
	struct mst_decoder *decoder = g_new0(struct mst_decoder, 1);

	msgpack_unpacked_init(&decoder->unpacked);
	decoder->allocations = g_ptr_array_new_with_free_func(g_free);
	return decoder;
}

void
mst_decoder_free(struct mst_decoder *decoder)
{
	if (decoder == NULL)
		return;
	msgpack_unpacked_destroy(&decoder->unpacked);
	g_ptr_array_unref(decoder->allocations);
	g_free(decoder);
}

static int
decode_array(struct mst_msg *msg, struct mst_decoder *decoder,
    const msgpack_object *root, GError **error)
{
	struct codec_reader r = {.decoder = decoder,
	    .next = root->via.array.ptr,
	    .end = root->via.array.ptr + root->via.array.size};
	uint64_t version = codec_get_u64(&r);
	uint64_t type;

	if (r.failed || version != MST_MSG_VERSION) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_VERSION,
		    "unsupported message version %" G_GUINT64_FORMAT
		    ", expected %d",
		    version, MST_MSG_VERSION);
		return -1;
	}
	type = codec_get_u64(&r);
	msg->from = codec_get_u64(&r);
	msg->to = codec_get_u64(&r);
	if (type == 0 || type >= MST_MSG_MAX) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_MALFORMED,
		    "unknown message type %" G_GUINT64_FORMAT, type);
		return -1;
	}
	msg->type = (enum mst_msg_type)type;
	get_payload(&r, msg);
	if (r.failed) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_MALFORMED,
		    "malformed fields in %s message",
		    mst_msg_type_name(msg->type));
		return -1;
	}
	return 0;
}

int
mst_decoder_decode(struct mst_msg *msg, struct mst_decoder *decoder,
    const void *data, size_t len, GError **error)
{
	size_t offset = 0;

	*msg = (struct mst_msg){0};
	g_ptr_array_set_size(decoder->allocations, 0);
	if (len > MST_MSG_MAX_BYTES) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_TOO_LONG,
		    "message of %zu bytes exceeds the limit of %u", len,
		    MST_MSG_MAX_BYTES);
		return -1;
	}
	if (!mst_codec_validate(data, len)) {
		g_set_error_literal(error, MST_CODEC_ERROR,
		    MST_CODEC_ERROR_MALFORMED,
		    "message is truncated, has trailing bytes or uses an "
		    "unsupported type");
		return -1;
	}
	if (msgpack_unpack_next(&decoder->unpacked, data, len, &offset) !=
		MSGPACK_UNPACK_SUCCESS ||
	    offset != len ||
	    decoder->unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
		g_set_error_literal(error, MST_CODEC_ERROR,
		    MST_CODEC_ERROR_MALFORMED, "message is not a single array");
		return -1;
	}
	return decode_array(msg, decoder, &decoder->unpacked.data, error);
}
