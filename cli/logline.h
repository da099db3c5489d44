#ifndef MST_CLI_LOGLINE_H
#define MST_CLI_LOGLINE_H

/* Parser for the key=value lines of the daemons' logs. */

#include <glib.h>

struct log_line {
	char *host;   /* last word before the pairs, usually the host; or "" */
	char *time;   /* value of "time", unparsed */
	gint64 at_ms; /* ms since the Unix epoch; 0: no valid time */
	GHashTable *pairs; /* key -> value; owns both */
	/* position in the input; orders lines of equal time */
	guint input_index;
};

/**
 * Parses a line of a daemon's log.
 *
 * @param text the line; a prefix added by a log collector is allowed
 * @param input_index position of the line in the input
 * @return the line, to be freed with log_line_free(), or NULL if text has no
 *   pairs or no event
 */
struct log_line *log_line_parse(const char *text, guint input_index);

/* Frees a line; NULL is allowed. */
void log_line_free(struct log_line *line);

/* Returns the value of a key, or "" if the line doesn't have it. */
const char *log_line_get(const struct log_line *line, const char *key);
/* Returns the value of a key as a decimal number, or 0. */
gint64 log_line_number(const struct log_line *line, const char *key);

#endif
