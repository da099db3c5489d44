#include "codec/bounds.h"
#include "codec/codec.h"

#include <msgpack.h>

G_DEFINE_QUARK(mst_codec_error, mst_codec_error)

#define DISPATCH_ITEM_FIELDS 16

struct mst_decoder {
	msgpack_unpacked unpacked;
	GPtrArray *arrays; /* lists of the last message */
};

/* Walks the fields of one array; the first fault makes all later reads 0. */
struct reader {
	struct mst_decoder *decoder;
	const msgpack_object *next;
	const msgpack_object *end;
	bool failed;
};

static int
pack_append(void *data, const char *buf, size_t len)
{
	g_byte_array_append(data, (const guint8 *)buf, len);
	return 0;
}

static void
put_u64(msgpack_packer *pk, uint64_t value)
{
	msgpack_pack_uint64(pk, value);
}

static void
put_bytes(msgpack_packer *pk, struct mst_bytes bytes)
{
	msgpack_pack_bin(pk, bytes.len);
	if (bytes.len > 0)
		msgpack_pack_bin_body(pk, bytes.data, bytes.len);
}

static void
put_u64_list(msgpack_packer *pk, const uint64_t *list, uint32_t count)
{
	uint32_t i;

	msgpack_pack_array(pk, count);
	for (i = 0; i < count; i++)
		put_u64(pk, list[i]);
}

static void
put_seqset(msgpack_packer *pk, const struct mst_seqset *set)
{
	uint32_t i;

	msgpack_pack_array(pk, 1 + 2 * (size_t)set->count);
	put_u64(pk, set->frontier);
	for (i = 0; i < set->count; i++) {
		put_u64(pk, set->ranges[i].first);
		put_u64(pk, set->ranges[i].last);
	}
}

static const msgpack_object *
get(struct reader *r, msgpack_object_type type)
{
	if (r->failed || r->next == r->end || r->next->type != type) {
		r->failed = true;
		return NULL;
	}
	return r->next++;
}

static uint64_t
get_u64(struct reader *r)
{
	const msgpack_object *o = get(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

static uint32_t
get_u32(struct reader *r)
{
	uint64_t value = get_u64(r);

	if (value > UINT32_MAX)
		r->failed = true;
	return (uint32_t)value;
}

static bool
get_bool(struct reader *r)
{
	return get_u64(r) != 0;
}

static struct mst_bytes
get_bytes(struct reader *r)
{
	const msgpack_object *o = get(r, MSGPACK_OBJECT_BIN);

	if (o == NULL)
		return (struct mst_bytes){0};
	return (struct mst_bytes){
	    .data = o->via.bin.ptr, .len = o->via.bin.size};
}

/* Opens a nested array; its reader fails when the outer one has. */
static struct reader
get_array(struct reader *r, uint32_t *count)
{
	const msgpack_object *o = get(r, MSGPACK_OBJECT_ARRAY);

	*count = 0;
	if (o == NULL)
		return (struct reader){.failed = true};
	*count = o->via.array.size;
	return (struct reader){.decoder = r->decoder,
	    .next = o->via.array.ptr,
	    .end = o->via.array.ptr + o->via.array.size};
}

static void *
list_alloc(struct reader *r, uint32_t count, size_t size)
{
	void *list;

	if (count > MST_LIST_MAX) {
		r->failed = true;
		return NULL;
	}
	list = g_malloc0_n(MAX(count, 1), size);
	g_ptr_array_add(r->decoder->arrays, list);
	return list;
}

static const uint64_t *
get_u64_list(struct reader *r, uint32_t *count)
{
	struct reader nested = get_array(r, count);
	uint64_t *list;
	uint32_t i;

	if (nested.failed)
		return NULL;
	list = list_alloc(r, *count, sizeof(*list));
	if (list == NULL)
		return NULL;
	for (i = 0; i < *count; i++)
		list[i] = get_u64(&nested);
	r->failed |= nested.failed;
	return list;
}

static struct mst_seqset
get_seqset(struct reader *r)
{
	struct mst_seqset set = {0};
	struct reader nested;
	uint64_t floor;
	uint32_t count, i;

	nested = get_array(r, &count);
	if (nested.failed || count % 2 == 0 ||
	    count / 2 > MST_SEQSET_RANGES_MAX) {
		r->failed = true;
		return set;
	}
	set.frontier = get_u64(&nested);
	set.count = count / 2;
	set.ranges = list_alloc(r, set.count, sizeof(*set.ranges));
	floor = set.frontier;
	for (i = 0; i < set.count; i++) {
		set.ranges[i].first = get_u64(&nested);
		set.ranges[i].last = get_u64(&nested);
		if (set.ranges[i].first <= floor ||
		    set.ranges[i].last < set.ranges[i].first)
			r->failed = true;
		floor = set.ranges[i].last;
	}
	r->failed |= nested.failed;
	return set;
}

static void
put_resources(msgpack_packer *pk, const struct mst_resources *resources)
{
	put_u64(pk, resources->millicores);
	put_u64(pk, resources->memory_mb);
	put_u64(pk, resources->accelerators);
}

static struct mst_resources
get_resources(struct reader *r)
{
	struct mst_resources resources;

	resources.millicores = get_u32(r);
	resources.memory_mb = get_u32(r);
	resources.accelerators = get_u32(r);
	return resources;
}

static void
put_announce(msgpack_packer *pk, const struct mst_announce *m)
{
	put_bytes(pk, m->name);
	put_bytes(pk, m->failure_domain);
	put_bytes(pk, m->rack);
	put_bytes(pk, m->service);
	put_u64(pk, m->description);
	put_u64(pk, m->clock_us);
	put_u64(pk, m->slots);
	put_u64(pk, m->connections);
	put_resources(pk, &m->resources);
	put_u64(pk, m->draining);
	put_u64(pk, m->fenced);
	put_u64(pk, m->grant);
	put_u64(pk, m->free_slots);
	put_u64(pk, m->slowness_milli);
	put_u64(pk, m->running);
	put_u64(pk, m->queued);
	put_u64(pk, m->roster_version);
	put_u64(pk, m->sent_upto);
	put_seqset(pk, &m->seen);
	put_u64(pk, m->config_version);
	put_bytes(pk, m->entries);
}

static void
get_announce(struct reader *r, struct mst_announce *m)
{
	m->name = get_bytes(r);
	m->failure_domain = get_bytes(r);
	m->rack = get_bytes(r);
	m->service = get_bytes(r);
	m->description = get_u32(r);
	m->clock_us = get_u64(r);
	m->slots = get_u32(r);
	m->connections = get_u32(r);
	m->resources = get_resources(r);
	m->draining = get_bool(r);
	m->fenced = get_bool(r);
	m->grant = get_u32(r);
	m->free_slots = get_u32(r);
	m->slowness_milli = get_u32(r);
	m->running = get_u32(r);
	m->queued = get_u32(r);
	m->roster_version = get_u64(r);
	m->sent_upto = get_u64(r);
	m->seen = get_seqset(r);
	m->config_version = get_u64(r);
	m->entries = get_bytes(r);
}

static void
put_heartbeat(msgpack_packer *pk, const struct mst_heartbeat *m)
{
	put_u64(pk, m->echo_us);
	put_u64(pk, m->description);
	put_u64(pk, m->roster_version);
	put_u64_list(pk, m->agents, m->agent_count);
	put_u64(pk, m->floor);
	put_u64(pk, m->sent_upto);
	put_seqset(pk, &m->received);
	put_u64(pk, m->demand);
	put_u64(pk, m->config_version);
	put_bytes(pk, m->peers);
}

static void
get_heartbeat(struct reader *r, struct mst_heartbeat *m)
{
	m->echo_us = get_u64(r);
	m->description = get_u32(r);
	m->roster_version = get_u64(r);
	m->agents = get_u64_list(r, &m->agent_count);
	m->floor = get_u64(r);
	m->sent_upto = get_u64(r);
	m->received = get_seqset(r);
	m->demand = get_u32(r);
	m->config_version = get_u64(r);
	m->peers = get_bytes(r);
}

static void
put_dispatch(msgpack_packer *pk, const struct mst_dispatch *m)
{
	const struct mst_dispatch_item *t;
	uint32_t i;

	put_u64(pk, m->echo_us);
	put_u64(pk, m->expires_us);
	put_u64(pk, m->received_frontier);
	put_u64(pk, m->demand);
	msgpack_pack_array(pk, (size_t)m->count * DISPATCH_ITEM_FIELDS);
	for (i = 0; i < m->count; i++) {
		t = &m->items[i];
		put_u64(pk, t->seq);
		put_u64(pk, t->job.minter);
		put_u64(pk, t->job.counter);
		put_u64(pk, t->index);
		put_u64(pk, t->flags);
		put_u64(pk, t->timeout_ms);
		put_u64(pk, t->run);
		put_u64(pk, t->work_us);
		put_resources(pk, &t->needs);
		put_bytes(pk, t->method);
		put_bytes(pk, t->path);
		put_bytes(pk, t->content_type);
		put_bytes(pk, t->body);
		put_bytes(pk, t->traceparent);
	}
}

static void
get_dispatch(struct reader *r, struct mst_dispatch *m)
{
	struct mst_dispatch_item *items;
	struct reader nested;
	uint32_t count, i;

	m->echo_us = get_u64(r);
	m->expires_us = get_u64(r);
	m->received_frontier = get_u64(r);
	m->demand = get_u32(r);
	nested = get_array(r, &count);
	if (nested.failed || count % DISPATCH_ITEM_FIELDS != 0)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / DISPATCH_ITEM_FIELDS;
	items = list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++) {
		items[i].seq = get_u64(&nested);
		items[i].job.minter = get_u64(&nested);
		items[i].job.counter = get_u64(&nested);
		items[i].index = get_u32(&nested);
		items[i].flags = get_u32(&nested);
		items[i].timeout_ms = get_u32(&nested);
		items[i].run = get_u32(&nested);
		items[i].work_us = get_u32(&nested);
		items[i].needs = get_resources(&nested);
		items[i].method = get_bytes(&nested);
		items[i].path = get_bytes(&nested);
		items[i].content_type = get_bytes(&nested);
		items[i].body = get_bytes(&nested);
		items[i].traceparent = get_bytes(&nested);
		if (items[i].seq == 0 || items[i].index >= MST_JOB_TASKS_MAX)
			r->failed = true;
	}
	m->items = items;
	r->failed |= nested.failed;
}

static void
put_result(msgpack_packer *pk, const struct mst_result_item *t)
{
	put_u64(pk, t->seq);
	put_u64(pk, t->outcome);
	put_u64(pk, t->reason);
	put_u64(pk, t->status);
	put_u64(pk, t->queue_us);
	put_u64(pk, t->service_us);
	put_bytes(pk, t->content_type);
	put_bytes(pk, t->body);
}

static void
get_result(struct reader *r, struct mst_result_item *t)
{
	uint64_t outcome, reason, status;

	t->seq = get_u64(r);
	outcome = get_u64(r);
	reason = get_u64(r);
	status = get_u64(r);
	t->queue_us = get_u32(r);
	t->service_us = get_u32(r);
	t->content_type = get_bytes(r);
	t->body = get_bytes(r);
	if (outcome > MST_OUTCOME_UNKNOWN || reason >= MST_REASON_MAX ||
	    status > 999)
		r->failed = true;
	t->outcome = (uint8_t)outcome;
	t->reason = (uint8_t)reason;
	t->status = (uint16_t)status;
}

static void
put_results(msgpack_packer *pk, const struct mst_results *m)
{
	uint32_t i;

	put_u64(pk, m->grant);
	put_u64(pk, m->free_slots);
	msgpack_pack_array(pk, (size_t)m->count * 8);
	for (i = 0; i < m->count; i++)
		put_result(pk, &m->items[i]);
}

static void
get_results(struct reader *r, struct mst_results *m)
{
	struct mst_result_item *items;
	struct reader nested;
	uint32_t count, i;

	m->grant = get_u32(r);
	m->free_slots = get_u32(r);
	nested = get_array(r, &count);
	if (nested.failed || count % 8 != 0)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / 8;
	items = list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++)
		get_result(&nested, &items[i]);
	m->items = items;
	r->failed |= nested.failed;
}

static void
put_fenced(msgpack_packer *pk, const struct mst_fenced *m)
{
	uint32_t i;

	put_u64(pk, m->victim);
	put_u64(pk, m->job.minter);
	put_u64(pk, m->job.counter);
	put_u64(pk, m->known);
	put_u64(pk, m->alive);
	put_u64(pk, m->forgotten);
	put_u64(pk, m->adopter);
	put_u64_list(pk, m->lineage, m->lineage_count);
	put_u64_list(pk, m->agents, m->agent_count);
	msgpack_pack_array(pk, (size_t)m->count * 10);
	for (i = 0; i < m->count; i++) {
		put_u64(pk, m->items[i].index);
		put_u64(pk, m->items[i].finished);
		put_result(pk, &m->items[i].result);
	}
}

static void
get_fenced(struct reader *r, struct mst_fenced *m)
{
	struct mst_fenced_item *items;
	struct reader nested;
	uint32_t count, i;

	m->victim = get_u64(r);
	m->job.minter = get_u64(r);
	m->job.counter = get_u64(r);
	m->known = get_bool(r);
	m->alive = get_bool(r);
	m->forgotten = get_bool(r);
	m->adopter = get_u64(r);
	m->lineage = get_u64_list(r, &m->lineage_count);
	m->agents = get_u64_list(r, &m->agent_count);
	nested = get_array(r, &count);
	if (nested.failed || count % 10 != 0)
		r->failed = true;
	if (r->failed)
		return;
	m->count = count / 10;
	items = list_alloc(r, m->count, sizeof(*items));
	for (i = 0; items != NULL && i < m->count; i++) {
		items[i].index = get_u32(&nested);
		items[i].finished = get_bool(&nested);
		get_result(&nested, &items[i].result);
		if (items[i].index >= MST_JOB_TASKS_MAX)
			r->failed = true;
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
		put_u64_list(pk, msg->withdraw.seqs, msg->withdraw.count);
		break;
	case MST_MSG_FENCE:
		put_u64(pk, msg->fence.victim);
		put_u64(pk, msg->fence.job.minter);
		put_u64(pk, msg->fence.job.counter);
		put_u64(pk, msg->fence.claim);
		break;
	case MST_MSG_FENCED:
		put_fenced(pk, &msg->fenced);
		break;
	case MST_MSG_PEER:
		put_bytes(pk, msg->peer.address);
		put_u64(pk, msg->peer.config_version);
		put_u64(pk, msg->peer.leaving);
		put_u64(pk, msg->peer.reply);
		break;
	case MST_MSG_CONFIG:
		put_u64(pk, msg->config.version);
		put_bytes(pk, msg->config.document);
		break;
	case MST_MSG_FORWARD:
		put_u64(pk, msg->forward.id);
		put_u64(pk, msg->forward.kind);
		put_bytes(pk, msg->forward.ticket);
		put_bytes(pk, msg->forward.body);
		put_bytes(pk, msg->forward.traceparent);
		break;
	case MST_MSG_FORWARDED:
		put_u64(pk, msg->forwarded.id);
		put_u64(pk, msg->forwarded.status);
		put_u64(pk, msg->forwarded.retry_after_s);
		put_bytes(pk, msg->forwarded.body);
		break;
	case MST_MSG_MAX:
		break;
	}
}

static void
get_payload(struct reader *r, struct mst_msg *msg)
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
		msg->withdraw.seqs = get_u64_list(r, &msg->withdraw.count);
		break;
	case MST_MSG_FENCE:
		msg->fence.victim = get_u64(r);
		msg->fence.job.minter = get_u64(r);
		msg->fence.job.counter = get_u64(r);
		msg->fence.claim = get_bool(r);
		break;
	case MST_MSG_FENCED:
		get_fenced(r, &msg->fenced);
		break;
	case MST_MSG_PEER:
		msg->peer.address = get_bytes(r);
		msg->peer.config_version = get_u64(r);
		msg->peer.leaving = get_bool(r);
		msg->peer.reply = get_bool(r);
		break;
	case MST_MSG_CONFIG:
		msg->config.version = get_u64(r);
		msg->config.document = get_bytes(r);
		break;
	case MST_MSG_FORWARD:
		msg->forward.id = get_u64(r);
		msg->forward.kind = get_u32(r);
		msg->forward.ticket = get_bytes(r);
		msg->forward.body = get_bytes(r);
		msg->forward.traceparent = get_bytes(r);
		break;
	case MST_MSG_FORWARDED:
		msg->forwarded.id = get_u64(r);
		msg->forwarded.status = get_u32(r);
		msg->forwarded.retry_after_s = get_u32(r);
		msg->forwarded.body = get_bytes(r);
		break;
	default:
		r->failed = true;
	}
}

static const uint8_t payload_fields[MST_MSG_MAX] = {
    [MST_MSG_ANNOUNCE] = 23,
    [MST_MSG_HEARTBEAT] = 10,
    [MST_MSG_DISPATCH] = 5,
    [MST_MSG_RESULT] = 3,
    [MST_MSG_WITHDRAW] = 1,
    [MST_MSG_FENCE] = 4,
    [MST_MSG_FENCED] = 10,
    [MST_MSG_PEER] = 4,
    [MST_MSG_CONFIG] = 2,
    [MST_MSG_FORWARD] = 5,
    [MST_MSG_FORWARDED] = 4,
};

void
mst_msg_encode(GByteArray *out, const struct mst_msg *msg)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, pack_append);
	msgpack_pack_array(&pk, 4 + (size_t)payload_fields[msg->type]);
	put_u64(&pk, MST_MSG_VERSION);
	put_u64(&pk, msg->type);
	put_u64(&pk, msg->from);
	put_u64(&pk, msg->to);
	put_payload(&pk, msg);
}

struct mst_decoder *
mst_decoder_new(void)
{
	struct mst_decoder *decoder = g_new0(struct mst_decoder, 1);

	msgpack_unpacked_init(&decoder->unpacked);
	decoder->arrays = g_ptr_array_new_with_free_func(g_free);
	return decoder;
}

void
mst_decoder_free(struct mst_decoder *decoder)
{
	if (decoder == NULL)
		return;
	msgpack_unpacked_destroy(&decoder->unpacked);
	g_ptr_array_unref(decoder->arrays);
	g_free(decoder);
}

static int
decode_array(struct mst_msg *msg, struct mst_decoder *decoder,
    const msgpack_object *root, GError **error)
{
	struct reader r = {.decoder = decoder,
	    .next = root->via.array.ptr,
	    .end = root->via.array.ptr + root->via.array.size};
	uint64_t version = get_u64(&r);
	uint64_t type;

	if (r.failed || version != MST_MSG_VERSION) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_VERSION,
		    "message version %" G_GUINT64_FORMAT " is not %d", version,
		    MST_MSG_VERSION);
		return -1;
	}
	type = get_u64(&r);
	msg->from = get_u64(&r);
	msg->to = get_u64(&r);
	if (type == 0 || type >= MST_MSG_MAX) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_MALFORMED,
		    "message type %" G_GUINT64_FORMAT " does not exist", type);
		return -1;
	}
	msg->type = (enum mst_msg_type)type;
	get_payload(&r, msg);
	if (r.failed) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_MALFORMED,
		    "fields of %s message are malformed",
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
	g_ptr_array_set_size(decoder->arrays, 0);
	if (len > MST_MSG_MAX_BYTES) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_TOO_LONG,
		    "message of %zu bytes is past %u", len, MST_MSG_MAX_BYTES);
		return -1;
	}
	if (!mst_codec_is_bounded(data, len)) {
		g_set_error_literal(error, MST_CODEC_ERROR,
		    MST_CODEC_ERROR_MALFORMED,
		    "message announces more than it brings");
		return -1;
	}
	if (msgpack_unpack_next(&decoder->unpacked, data, len, &offset) !=
		MSGPACK_UNPACK_SUCCESS ||
	    offset != len ||
	    decoder->unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
		g_set_error_literal(error, MST_CODEC_ERROR,
		    MST_CODEC_ERROR_MALFORMED, "message is not one array");
		return -1;
	}
	return decode_array(msg, decoder, &decoder->unpacked.data, error);
}
