/* What is looked up and dropped in headers of requests. */

#include <glib.h>
#include <string.h>

#include "net/http_header.h"

static const char *const names[] = {"x-deadline-ms", NULL};

static void
length__finds_announced_length(void)
{
	static const struct {
		const char *input;
		uint64_t length; /* 0: none is announced */
	} cases[] = {
	    {"POST / HTTP/1.1\r\nContent-Length: 262144\r\n\r\n{", 262144},
	    {"POST / HTTP/1.1\ncontent-length:7\n\n{}", 7},
	    {"POST / HTTP/1.1\r\nCONTENT-LENGTH: \t12 \r\na: b\r\n\r\n", 12},
	    {"POST / HTTP/1.1\r\nHost: content-length: 5\r\n\r\n", 0},
	    {"POST / HTTP/1.1\r\n\r\nContent-Length: 5\r\n", 0},
	    {"POST / HTTP/1.1\r\nContent-Length: \r\n\r\n9", 0},
	    {"POST / HTTP/1.1\r\nContent-Length: 5\r\n", 0}, {"\r\n\r\n", 0},
	    {"", 0}};
	uint64_t length;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		length = 0;
		http_header_length(
		    &length, cases[i].input, strlen(cases[i].input));
		g_assert_cmpuint(length, ==, cases[i].length);
	}
}

/* Appends fields x-0: 0 and so on. */
static void
append_fields(GString *input, unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		g_string_append_printf(input, "x-%u: %u\r\n", i, i);
}

static unsigned
count_lines(const char *text, size_t len)
{
	unsigned count = 0;
	size_t i;

	for (i = 0; i < len; i++)
		count += text[i] == '\n';
	return count;
}

static bool
contains(const GString *input, size_t len, const char *text)
{
	return memmem(input->str, len, text, strlen(text)) != NULL;
}

static void
compact__keeps_few_fields(void)
{
	GString *input = g_string_new("POST / HTTP/1.1\r\n");
	size_t len;

	append_fields(input, 60);
	g_string_append(input, "\r\n{\n\n\n}");
	len = http_header_compact(input->str, input->len, 0, names);
	g_assert_cmpuint(len, ==, input->len);
	g_string_free(input, TRUE);
}

static void
compact__drops_fields_that_nobody_reads(void)
{
	GString *input = g_string_new("POST / HTTP/1.1\r\n");
	size_t len;

	append_fields(input, 700);
	g_string_append(input, "Content-Length: 4\r\nX-Deadline-MS: 9\r\n");
	g_string_append(input, "x-folded: 1\r\n 2\r\nhost: h\r\n\r\nbody");
	len = http_header_compact(input->str, input->len, 0, names);
	g_assert_cmpuint(count_lines(input->str, len), <, 75);
	g_assert_true(contains(input, len, "\r\nContent-Length: 4\r\n"));
	g_assert_true(contains(input, len, "\r\nX-Deadline-MS: 9\r\n"));
	g_assert_true(contains(input, len, "\r\nx-folded: 1\r\n 2\r\n"));
	g_assert_true(contains(input, len, "\r\nhost: h\r\n\r\nbody"));
	g_assert_false(contains(input, len, "x-699"));
	g_string_free(input, TRUE);
}

/* The input comes in pieces, of which each is compacted behind what h2o has
 * seen before. */
static void
compact__leaves_what_was_seen(void)
{
	GString *input = g_string_new("POST / HTTP/1.1\r\n");
	GString *pieces = g_string_new("POST / HTTP/1.1\r\n");
	char *before;
	size_t sent, seen;

	append_fields(input, 400);
	g_string_append(input, "x-deadline-ms: 9\r\n\r\n");
	for (sent = seen = pieces->len; sent < input->len; seen = pieces->len) {
		size_t len = MIN(1000, input->len - sent);

		before = g_strndup(pieces->str, seen);
		g_string_append_len(pieces, input->str + sent, (gssize)len);
		sent += len;
		pieces->len =
		    http_header_compact(pieces->str, pieces->len, seen, names);
		g_assert_cmpuint(pieces->len, >=, seen);
		g_assert_cmpint(memcmp(pieces->str, before, seen), ==, 0);
		g_free(before);
	}
	g_assert_cmpuint(count_lines(pieces->str, pieces->len), <, 80);
	g_assert_true(
	    contains(pieces, pieces->len, "\r\nx-deadline-ms: 9\r\n\r\n"));
	g_string_free(input, TRUE);
	g_string_free(pieces, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-header/length", length__finds_announced_length);
	g_test_add_func("/http-header/few", compact__keeps_few_fields);
	g_test_add_func(
	    "/http-header/many", compact__drops_fields_that_nobody_reads);
	g_test_add_func("/http-header/pieces", compact__leaves_what_was_seen);
	return g_test_run();
}
