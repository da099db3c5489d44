#include "logline.h"

#include <stdlib.h>
#include <string.h>

#define LINE_START "time="

/* Takes one key=value pair; a value may be quoted. */
static const char *
pair_take(GHashTable *pairs, const char *at)
{
	const char *equals = strchr(at, '=');
	const char *end;
	char *quoted;

	if (equals == NULL)
		return at + strlen(at);
	if (equals[1] != '"') {
		end = equals + 1 + strcspn(equals + 1, " \n");
		g_hash_table_replace(pairs, g_strndup(at, (gsize)(equals - at)),
		    g_strndup(equals + 1, (gsize)(end - equals - 1)));
		return end + strspn(end, " \n");
	}
	end = equals + 2;
	while (*end != '\0' && *end != '"')
		end += *end == '\\' && end[1] != '\0' ? 2 : 1;
	quoted = g_strndup(equals + 2, (gsize)(end - equals - 2));
	g_hash_table_replace(
	    pairs, g_strndup(at, (gsize)(equals - at)), g_strcompress(quoted));
	g_free(quoted);
	if (*end == '"')
		end++;
	return end + strspn(end, " \n");
}

static gint64
time_ms(const char *text)
{
	GDateTime *when = g_date_time_new_from_iso8601(text, NULL);
	gint64 ms;

	if (when == NULL)
		return 0;
	ms = g_date_time_to_unix(when) * 1000 +
	    g_date_time_get_microsecond(when) / 1000;
	g_date_time_unref(when);
	return ms;
}

/* A collector may put its own time before the host's name. */
static char *
last_word(const char *text, gsize len)
{
	char *prefix = g_strstrip(g_strndup(text, len));
	const char *space = strrchr(prefix, ' ');
	char *word = g_strdup(space != NULL ? space + 1 : prefix);

	g_free(prefix);
	return word;
}

struct log_line *
log_line_parse(const char *text, guint order)
{
	const char *start = strstr(text, LINE_START);
	struct log_line *line;
	const char *at;

	if (start == NULL || (start != text && start[-1] != ' '))
		return NULL;
	line = g_new0(struct log_line, 1);
	line->order = order;
	line->source = last_word(text, (gsize)(start - text));
	line->pairs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (at = start; *at != '\0';)
		at = pair_take(line->pairs, at);
	line->time = g_strdup(log_line_get(line, "time"));
	line->at_ms = time_ms(line->time);
	if (*log_line_get(line, "event") != '\0')
		return line;
	log_line_free(line);
	return NULL;
}

void
log_line_free(struct log_line *line)
{
	if (line == NULL)
		return;
	g_hash_table_unref(line->pairs);
	g_free(line->source);
	g_free(line->time);
	g_free(line);
}

const char *
log_line_get(const struct log_line *line, const char *key)
{
	const char *value = g_hash_table_lookup(line->pairs, key);

	return value != NULL ? value : "";
}

gint64
log_line_number(const struct log_line *line, const char *key)
{
	return g_ascii_strtoll(log_line_get(line, key), NULL, 10);
}
