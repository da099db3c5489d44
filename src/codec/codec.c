#include "codec/validate.h"
#include "codec/codec.h"
#include "codec/payload.h"

#include <msgpack.h>

G_DEFINE_QUARK(mst_codec_error, mst_codec_error)

static void
put_payload(msgpack_packer *pk, const struct mst_msg *msg)
{
	switch (msg->type) {
	case MST_MSG_ANNOUNCE:
		codec_put_announce(pk, &msg->announce);
		break;
	case MST_MSG_HEARTBEAT:
		codec_put_heartbeat(pk, &msg->heartbeat);
		break;
	case MST_MSG_DISPATCH:
		codec_put_dispatch(pk, &msg->dispatch);
		break;
	case MST_MSG_RESULT:
		codec_put_results(pk, &msg->results);
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
		codec_put_fenced(pk, &msg->fenced);
		break;
	case MST_MSG_PEER:
		codec_put_peer(pk, &msg->peer);
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
	case MST_MSG_UNCERTAIN_START:
		codec_put_u64(pk, msg->uncertain_start.agent);
		codec_put_bytes(pk, msg->uncertain_start.task);
		codec_put_u64(pk, msg->uncertain_start.index);
		break;
	case MST_MSG_UNCERTAIN_STARTS:
		codec_put_uncertain_starts(pk, &msg->uncertain_starts);
		break;
	case MST_MSG_BACKUP_STARTS:
		codec_put_backup_starts(pk, &msg->backup_starts);
		break;
	case MST_MSG_CRASHES:
		codec_put_crashes(pk, &msg->crashes);
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
		codec_get_announce(r, &msg->announce);
		break;
	case MST_MSG_HEARTBEAT:
		codec_get_heartbeat(r, &msg->heartbeat);
		break;
	case MST_MSG_DISPATCH:
		codec_get_dispatch(r, &msg->dispatch);
		break;
	case MST_MSG_RESULT:
		codec_get_results(r, &msg->results);
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
		codec_get_fenced(r, &msg->fenced);
		break;
	case MST_MSG_PEER:
		codec_get_peer(r, &msg->peer);
		break;
	case MST_MSG_CONFIG:
		msg->config.version = codec_get_u64(r);
		msg->config.document = codec_get_bytes(r);
		break;
	case MST_MSG_CONFIG_REQUEST:
		msg->config_request.version = codec_get_u64(r);
		break;
	case MST_MSG_UNCERTAIN_START:
		msg->uncertain_start.agent = codec_get_u64(r);
		msg->uncertain_start.task = codec_get_bytes(r);
		msg->uncertain_start.index = codec_get_u32(r);
		break;
	case MST_MSG_UNCERTAIN_STARTS:
		codec_get_uncertain_starts(r, &msg->uncertain_starts);
		break;
	case MST_MSG_BACKUP_STARTS:
		codec_get_backup_starts(r, &msg->backup_starts);
		break;
	case MST_MSG_CRASHES:
		codec_get_crashes(r, &msg->crashes);
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

/* Number of fields that follow the header (version, type, from, to) in the
 * first format. */
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
    [MST_MSG_UNCERTAIN_START] = 3,
    [MST_MSG_UNCERTAIN_STARTS] = 1,
    [MST_MSG_BACKUP_STARTS] = 3,
};

void
mst_msg_encode(GByteArray *out, const struct mst_msg *msg)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_pack_append);
	msgpack_pack_array(&pk,
	    4 + (size_t)payload_fields[msg->type] + codec_count_appended(msg));
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
	uint64_t type = codec_get_u64(&r);

	msg->from = codec_get_u64(&r);
	msg->to = codec_get_u64(&r);
	if (r.failed || version != MST_MSG_VERSION) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_VERSION,
		    "unsupported message version %" G_GUINT64_FORMAT
		    ", expected %d",
		    version, MST_MSG_VERSION);
		return -1;
	}
	if (type == 0 || type >= MST_MSG_MAX) {
		g_set_error(error, MST_CODEC_ERROR, MST_CODEC_ERROR_TYPE,
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
