#ifndef MST_HTTP_HEADER_H
#define MST_HTTP_HEADER_H

/* What is looked up in the header of a request before h2o has parsed it. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Returns whether input has a header to its end, the empty line. */
bool http_header_is_whole(const char *input, size_t len);

/**
 * Looks up the length that a request announces for its body.
 *
 * @param length set to the length in bytes
 * @param input the request from its start; what follows the header is ignored
 * @param len bytes of input
 * @return false if it announces none, or its header is not whole
 */
bool http_header_length(uint64_t *length, const char *input, size_t len);

/**
 * Drops fields that nobody reads from the new part of a header, once it has
 * more than a number of fields. h2o refuses headers of more than 100 fields.
 *
 * @param input the request from its start; moved together
 * @param len bytes of input
 * @param seen bytes that h2o has seen already, which stay as they are
 * @param names fields that are read, in lower case, besides those of HTTP
 *     itself; ends with NULL
 * @return the bytes of input that are left
 */
size_t http_header_compact(
    char *input, size_t len, size_t seen, const char *const *names);

#endif
