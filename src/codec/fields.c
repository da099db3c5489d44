#include "codec/fields.h"

int
codec_pack_append(void *data, const char *buf, size_t len)
{
	g_byte_array_append(data, (const guint8 *)buf, len);
	return 0;
}

void
codec_put_u64(msgpack_packer *pk, uint64_t value)
{
	msgpack_pack_uint64(pk, value);
}

void
codec_put_bytes(msgpack_packer *pk, struct mst_bytes bytes)
{
	msgpack_pack_bin(pk, bytes.len);
	if (bytes.len > 0)
		msgpack_pack_bin_body(pk, bytes.data, bytes.len);
}

void
codec_put_u64_list(msgpack_packer *pk, const uint64_t *list, uint32_t count)
{
	uint32_t i;

	msgpack_pack_array(pk, count);
	for (i = 0; i < count; i++)
		codec_put_u64(pk, list[i]);
}

void
codec_put_seqset(msgpack_packer *pk, const struct mst_seqset *set)
{
	uint32_t i;

	msgpack_pack_array(pk, 1 + 2 * (size_t)set->count);
	codec_put_u64(pk, set->frontier);
	for (i = 0; i < set->count; i++) {
		codec_put_u64(pk, set->ranges[i].first);
		codec_put_u64(pk, set->ranges[i].last);
	}
}

bool
codec_at_end(const struct codec_reader *r)
{
	return r->failed || r->next == r->end;
}

const msgpack_object *
codec_get_object(struct codec_reader *r, msgpack_object_type type)
{
	if (r->failed || r->next == r->end || r->next->type != type) {
		r->failed = true;
		return NULL;
	}
	return r->next++;
}

uint64_t
codec_get_u64(struct codec_reader *r)
{
	const msgpack_object *object =
	    codec_get_object(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return object ? object->via.u64 : 0;
}

uint32_t
codec_get_u32(struct codec_reader *r)
{
	uint64_t value = codec_get_u64(r);

	if (value > UINT32_MAX)
		r->failed = true;
	return (uint32_t)value;
}

bool
codec_get_bool(struct codec_reader *r)
{
	return codec_get_u64(r) != 0;
}

struct mst_bytes
codec_get_bytes(struct codec_reader *r)
{
	const msgpack_object *object = codec_get_object(r, MSGPACK_OBJECT_BIN);

	if (object == NULL)
		return (struct mst_bytes){0};
	return (struct mst_bytes){
	    .data = object->via.bin.ptr, .len = object->via.bin.size};
}

struct codec_reader
codec_get_array(struct codec_reader *r, uint32_t *count)
{
	const msgpack_object *object =
	    codec_get_object(r, MSGPACK_OBJECT_ARRAY);

	*count = 0;
	if (object == NULL)
		return (struct codec_reader){.failed = true};
	*count = object->via.array.size;
	return (struct codec_reader){.decoder = r->decoder,
	    .next = object->via.array.ptr,
	    .end = object->via.array.ptr + object->via.array.size};
}

void *
codec_list_alloc(struct codec_reader *r, uint32_t count, size_t size)
{
	void *list;

	if (count > MST_LIST_MAX) {
		r->failed = true;
		return NULL;
	}
	list = g_malloc0_n(MAX(count, 1), size);
	g_ptr_array_add(r->decoder->allocations, list);
	return list;
}

const uint64_t *
codec_get_u64_list(struct codec_reader *r, uint32_t *count)
{
	struct codec_reader nested = codec_get_array(r, count);
	uint64_t *list;
	uint32_t i;

	if (nested.failed)
		return NULL;
	list = codec_list_alloc(r, *count, sizeof(*list));
	if (list == NULL)
		return NULL;
	for (i = 0; i < *count; i++)
		list[i] = codec_get_u64(&nested);
	r->failed |= nested.failed;
	return list;
}

struct mst_seqset
codec_get_seqset(struct codec_reader *r)
{
	struct mst_seqset set = {0};
	struct codec_reader nested;
	uint64_t previous_last;
	uint32_t count, i;

	nested = codec_get_array(r, &count);
	if (nested.failed || count % 2 == 0 ||
	    count / 2 > MST_SEQSET_RANGES_MAX) {
		r->failed = true;
		return set;
	}
	set.frontier = codec_get_u64(&nested);
	set.count = count / 2;
	set.ranges = codec_list_alloc(r, set.count, sizeof(*set.ranges));
	previous_last = set.frontier;
	for (i = 0; i < set.count; i++) {
		set.ranges[i].first = codec_get_u64(&nested);
		set.ranges[i].last = codec_get_u64(&nested);
		if (set.ranges[i].first <= previous_last ||
		    set.ranges[i].last < set.ranges[i].first)
			r->failed = true;
		previous_last = set.ranges[i].last;
	}
	r->failed |= nested.failed;
	return set;
}

void
codec_put_resources(msgpack_packer *pk, const struct mst_resources *resources)
{
	codec_put_u64(pk, resources->millicores);
	codec_put_u64(pk, resources->memory_mb);
	codec_put_u64(pk, resources->accelerators);
}

struct mst_resources
codec_get_resources(struct codec_reader *r)
{
	struct mst_resources resources;

	resources.millicores = codec_get_u32(r);
	resources.memory_mb = codec_get_u32(r);
	resources.accelerators = codec_get_u32(r);
	return resources;
}
