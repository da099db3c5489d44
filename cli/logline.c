/* Parser for the key=value lines of the daemons' logs. */

#include "logline.h"

#include <stdlib.h>
#include <string.h>

#define LINE_START "time="

/*
 * Parses one key=value pair, with the value in quotes or not, into pairs.
 *
 * @return the start of the next pair, or the end of the text
 */
static const char *
parse_pair(GHashTable *pairs, const char *key)
{
	const char *equals = strchr(key, '=');
	const char *end;
	char *quoted;

	if (equals == NULL)
		return key + strlen(key);
	if (equals[1] != '"') {
		end = equals + 1 + strcspn(equals + 1, " \n");
		g_hash_table_replace(pairs,
		    g_strndup(key, (gsize)(equals - key)),
		    g_strndup(equals + 1, (gsize)(end - equals - 1)));
		return end + strspn(end, " \n");
	}
	end = equals + 2;
	while (*end != '\0' && *end != '"')
		end += *end == '\\' && end[1] != '\0' ? 2 : 1;
	quoted = g_strndup(equals + 2, (gsize)(end - equals - 2));
	g_hash_table_replace(pairs, g_strndup(key, (gsize)(equals - key)),
	    g_strcompress(quoted));
	g_free(quoted);
	if (*end == '"')
		end++;
	return end + strspn(end, " \n");
}

static gint64
parse_time_ms(const char *text)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	gint64 ms;

	if (time == NULL)
		return 0;
	ms = g_date_time_to_unix(time) * 1000 +
	    g_date_time_get_microsecond(time) / 1000;
	g_date_time_unref(time);
	return ms;
}

/*
 * Returns the last word before the log line. A log collector may put its own
 * time and the host's name there.
 */
static char *
copy_last_word(const char *text, gsize len)
{
	char *prefix = g_strstrip(g_strndup(text, len));
	const char *space = strrchr(prefix, ' ');
	char *word = g_strdup(space != NULL ? space + 1 : prefix);

	g_free(prefix);
	return word;
}

struct log_line *
log_line_parse(const char *text, guint input_index)
{
	const char *start = strstr(text, LINE_START);
	struct log_line *line;
	const char *next;

	if (start == NULL || (start != text && start[-1] != ' '))
		return NULL;
	line = g_new0(struct log_line, 1);
	line->input_index = input_index;
	line->host = copy_last_word(text, (gsize)(start - text));
	line->pairs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (next = start; *next != '\0';)
		next = parse_pair(line->pairs, next);
	line->time = g_strdup(log_line_get(line, "time"));
	line->at_ms = parse_time_ms(line->time);
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
	g_free(line->host);
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
