#include "codec/validate.h"

/* Reads a big-endian number of up to eight bytes. */
static uint64_t
read_number(const uint8_t *at, size_t len)
{
	uint64_t value = 0;
	size_t i;

	for (i = 0; i < len; i++)
		value = value << 8 | at[i];
	return value;
}

/* Tells how long an element's head is and what it announces: the bytes of a
 * binary, or the elements of an array. Other types are not used. */
static bool
read_head(const uint8_t *at, size_t left, size_t *head, uint64_t *bytes,
    uint64_t *elements)
{
	uint8_t type = at[0];

	*head = 1;
	*bytes = *elements = 0;
	if (type <= 0x7f)
		return true;
	if (type >= 0x90 && type <= 0x9f) {
		*elements = type & 0x0f;
		return true;
	}
	if (type >= 0xcc && type <= 0xcf)
		*head = 1 + ((size_t)1 << (type - 0xcc));
	else if (type >= 0xc4 && type <= 0xc6)
		*head = 1 + ((size_t)1 << (type - 0xc4));
	else if (type == 0xdc || type == 0xdd)
		*head = 1 + ((size_t)2 << (type - 0xdc));
	else
		return false;
	if (*head > left)
		return false;
	if (type <= 0xc6)
		*bytes = read_number(at + 1, *head - 1);
	else if (type >= 0xdc)
		*elements = read_number(at + 1, *head - 1);
	return true;
}

bool
mst_codec_validate(const uint8_t *data, size_t len)
{
	uint64_t bytes, elements, wanted = 1;
	size_t at = 0, head;

	while (at < len && wanted > 0) {
		if (!read_head(data + at, len - at, &head, &bytes, &elements))
			return false;
		if (bytes > len - at - head || elements > len - at - head)
			return false;
		at += head + (size_t)bytes;
		wanted += elements - 1;
		if (wanted > len - at)
			return false;
	}
	return wanted == 0 && at == len;
}
