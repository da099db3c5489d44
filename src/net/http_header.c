#include "net/http_header.h"

#include <glib.h>
#include <string.h>

#define LENGTH_FIELD "content-length:"

/* Returns the end of the header, behind its last field, or NULL. */
static const char *
find_end(const char *input, size_t len)
{
	const char *end = memmem(input, len, "\r\n\r\n", 4);
	const char *bare = memmem(input, len, "\n\n", 2);

	if (end == NULL || (bare != NULL && bare < end))
		return bare;
	return end;
}

/* Reads a decimal number behind spaces. A malformed one, or one that is too
 * large, is for h2o to refuse. */
static uint64_t
read_number(const char *text, const char *end)
{
	uint64_t number = 0;

	for (; text < end && (*text == ' ' || *text == '\t'); text++)
		continue;
	for (; text < end && g_ascii_isdigit(*text); text++)
		number = number * 10 + (uint64_t)(*text - '0');
	return number;
}

bool
http_header_is_whole(const char *input, size_t len)
{
	return find_end(input, len) != NULL;
}

bool
http_header_length(uint64_t *length, const char *input, size_t len)
{
	const char *end = find_end(input, len);
	const char *line = input;

	while (end != NULL && line < end) {
		/* A line break follows the last field, so no line reaches
		 * behind the input. */
		if (g_ascii_strncasecmp(
			line, LENGTH_FIELD, strlen(LENGTH_FIELD)) == 0) {
			*length = read_number(line + strlen(LENGTH_FIELD), end);
			return true;
		}
		line = (const char *)memchr(line, '\n', (size_t)(end - line));
		if (line == NULL)
			return false;
		line++;
	}
	return false;
}
