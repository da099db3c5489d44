#include "net/http_header.h"

#include <glib.h>
#include <string.h>

#define LENGTH_FIELD "content-length:"
/* Fields of a header that are kept in any case. */
#define FIELDS_KEPT 64

/* Fields that the server itself reads. */
static const char *const http_names[] = {"host", "content-length",
    "transfer-encoding", "connection", "expect", "upgrade", NULL};

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

static bool
has_name(const char *line, size_t len, const char *const *names)
{
	const char *colon = memchr(line, ':', len);
	size_t name_len = colon != NULL ? (size_t)(colon - line) : len;

	for (; *names != NULL; names++) {
		if (strlen(*names) == name_len &&
		    g_ascii_strncasecmp(line, *names, name_len) == 0)
			return true;
	}
	return false;
}

static bool
is_end(const char *line)
{
	return *line == '\r' || *line == '\n';
}

/* Returns whether a line continues the field before it. */
static bool
is_continuation(const char *line)
{
	return *line == ' ' || *line == '\t';
}

size_t
http_header_compact(
    char *input, size_t len, size_t seen, const char *const *names)
{
	const char *end = input + len;
	const char *line = input;
	char *to = input;
	size_t kept = 0;

	/* The last line that has arrived stays: the next one may continue it.
	 */
	while (line < end && !is_end(line)) {
		const char *feed = memchr(line, '\n', (size_t)(end - line));
		const char *next = feed != NULL ? feed + 1 : end;
		size_t size = (size_t)(next - line);
		bool keep = kept < FIELDS_KEPT || line < input + seen ||
		    next == end || is_continuation(line) ||
		    is_continuation(next) || has_name(line, size, http_names) ||
		    has_name(line, size, names);

		if (keep) {
			memmove(to, line, size);
			to += size;
			kept += !is_continuation(line);
		}
		line = next;
	}
	memmove(to, line, (size_t)(end - line));
	return (size_t)(to - input) + (size_t)(end - line);
}
