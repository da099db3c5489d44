#ifndef MST_CODEC_VALIDATE_H
#define MST_CODEC_VALIDATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Returns whether an encoded message is exactly one complete MessagePack value
 * of the types that messages use. Must be called before the message is
 * unpacked: msgpack allocates the declared size of an array before it reads the
 * elements, so a short message could make it allocate far more memory than the
 * message has bytes.
 *
 * @param data encoded bytes
 * @param len number of encoded bytes
 */
bool mst_codec_validate(const uint8_t *data, size_t len);

#endif
