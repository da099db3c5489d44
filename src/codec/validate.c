#include "codec/validate.h"

/* Reads a big-endian unsigned number of up to eight bytes. */
static uint64_t
read_uint_be(const uint8_t *pos, size_t len)
{
	uint64_t value = 0;
	size_t i;

	for (i = 0; i < len; i++)
		value = value << 8 | pos[i];
	return value;
}

/*
 * Reads the header of a MessagePack element: its length, and the number of
 * bytes (binary) or elements (array) that follow it. Returns false if the
 * header is truncated or its type is none of those that messages use: unsigned
 * integers, binaries and arrays.
 */
static bool
read_header(const uint8_t *pos, size_t remaining, size_t *header_len,
    uint64_t *bytes, uint64_t *elements)
{
	uint8_t type = pos[0];

	*header_len = 1;
	*bytes = *elements = 0;
	if (type <= 0x7f)
		return true;
	if (type >= 0x90 && type <= 0x9f) {
		*elements = type & 0x0f;
		return true;
	}
	if (type >= 0xcc && type <= 0xcf)
		*header_len = 1 + ((size_t)1 << (type - 0xcc));
	else if (type >= 0xc4 && type <= 0xc6)
		*header_len = 1 + ((size_t)1 << (type - 0xc4));
	else if (type == 0xdc || type == 0xdd)
		*header_len = 1 + ((size_t)2 << (type - 0xdc));
	else
		return false;
	if (*header_len > remaining)
		return false;
	if (type <= 0xc6)
		*bytes = read_uint_be(pos + 1, *header_len - 1);
	else if (type >= 0xdc)
		*elements = read_uint_be(pos + 1, *header_len - 1);
	return true;
}

bool
mst_codec_validate(const uint8_t *data, size_t len)
{
	uint64_t bytes, elements, pending = 1;
	size_t pos = 0, header_len;

	while (pos < len && pending > 0) {
		if (!read_header(
			data + pos, len - pos, &header_len, &bytes, &elements))
			return false;
		if (bytes > len - pos - header_len ||
		    elements > len - pos - header_len)
			return false;
		pos += header_len + (size_t)bytes;
		pending += elements - 1;
		if (pending > len - pos)
			return false;
	}
	return pending == 0 && pos == len;
}
