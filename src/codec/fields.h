#ifndef MST_CODEC_FIELDS_H
#define MST_CODEC_FIELDS_H

/* Packs and reads the fields of messages: numbers, bytes, lists and sets. */

#include <glib.h>
#include <masticstall/message.h>
#include <msgpack.h>

struct mst_decoder {
	msgpack_unpacked unpacked;
	GPtrArray *allocations; /* lists of the last decoded message */
};

/* Reads the fields of one array in order. After the first failure all further
 * reads return 0 or an empty value. */
struct codec_reader {
	struct mst_decoder *decoder; /* owns the lists that are read */
	const msgpack_object *next;  /* the next field */
	const msgpack_object *end;   /* one past the last field */
	bool failed;
};

/* Write callback of the packer: appends to the GByteArray data. */
int codec_pack_append(void *data, const char *buf, size_t len);

/* Packing: each function appends one field. */
void codec_put_u64(msgpack_packer *pk, uint64_t value);
void codec_put_bytes(msgpack_packer *pk, struct mst_bytes bytes);
void codec_put_u64_list(
    msgpack_packer *pk, const uint64_t *list, uint32_t count);
void codec_put_seqset(msgpack_packer *pk, const struct mst_seqset *set);
void codec_put_resources(
    msgpack_packer *pk, const struct mst_resources *resources);

/* Reading: each function consumes one field. The reader fails if the field has
 * another type or no field is left. */
/* Returns true if no field is left to read. */
bool codec_at_end(const struct codec_reader *r);
const msgpack_object *codec_get_object(
    struct codec_reader *r, msgpack_object_type type);
uint64_t codec_get_u64(struct codec_reader *r);
uint32_t codec_get_u32(struct codec_reader *r);
bool codec_get_bool(struct codec_reader *r);
struct mst_bytes codec_get_bytes(struct codec_reader *r);
/* Returns a reader of a nested array and its number of elements. The reader is
 * failed if the outer one is or if the field is not an array. */
struct codec_reader codec_get_array(struct codec_reader *r, uint32_t *count);
/* Allocates a zeroed list that the decoder frees at its next message. Fails the
 * reader and returns NULL for more than MST_LIST_MAX elements. */
void *codec_list_alloc(struct codec_reader *r, uint32_t count, size_t size);
const uint64_t *codec_get_u64_list(struct codec_reader *r, uint32_t *count);
struct mst_seqset codec_get_seqset(struct codec_reader *r);
struct mst_resources codec_get_resources(struct codec_reader *r);

#endif
