#ifndef MST_JSON_SIZE_H
#define MST_JSON_SIZE_H

#include <stdbool.h>
#include <stddef.h>

/**
 * Checks how many values a JSON text can hold, before it is parsed: each takes
 * some 30 times the memory of its shortest text.
 *
 * @param text the text, which need not be valid
 * @param len its length in bytes
 * @param max most values, with those inside others
 * @return false if it may hold more
 */
bool json_has_at_most(const char *text, size_t len, size_t max);

#endif
