#ifndef MST_CODEC_FIELDS_H
#define MST_CODEC_FIELDS_H

/* Fields of messages: how values, bytes, lists and sets are packed and read. */

#include <glib.h>
#include <masticstall/message.h>
#include <msgpack.h>

struct mst_decoder {
	msgpack_unpacked unpacked;
	GPtrArray *allocations; /* lists of the last message */
};

/* Walks the fields of one array; the first fault makes all later reads 0. */
struct codec_reader {
	struct mst_decoder *decoder;
	const msgpack_object *next;
	const msgpack_object *end;
	bool failed;
};

/* Where the packer writes: a GByteArray. */
int codec_pack_append(void *data, const char *buf, size_t len);

/* Packing. */
void codec_put_u64(msgpack_packer *pk, uint64_t value);
void codec_put_bytes(msgpack_packer *pk, struct mst_bytes bytes);
void codec_put_u64_list(
    msgpack_packer *pk, const uint64_t *list, uint32_t count);
void codec_put_seqset(msgpack_packer *pk, const struct mst_seqset *set);

/* Reading; a value of another type fails its reader. */
const msgpack_object *codec_get_object(
    struct codec_reader *r, msgpack_object_type type);
uint64_t codec_get_u64(struct codec_reader *r);
uint32_t codec_get_u32(struct codec_reader *r);
bool codec_get_bool(struct codec_reader *r);
struct mst_bytes codec_get_bytes(struct codec_reader *r);
/* Opens a nested array; its reader fails when the outer one has. */
struct codec_reader codec_get_array(struct codec_reader *r, uint32_t *count);
/* Memory for a list, of the decoder until its next message. */
void *codec_list_alloc(struct codec_reader *r, uint32_t count, size_t size);
const uint64_t *codec_get_u64_list(struct codec_reader *r, uint32_t *count);
struct mst_seqset codec_get_seqset(struct codec_reader *r);

#endif
