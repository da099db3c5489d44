#ifndef MST_CODEC_VALIDATE_H
#define MST_CODEC_VALIDATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Checks that an encoded message announces no more elements and bytes than it
 * brings, and holds only the types in use: the library allocates what an
 * array announces before it reads the elements.
 */
bool mst_codec_validate(const uint8_t *data, size_t len);

#endif
