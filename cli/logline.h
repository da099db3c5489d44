#ifndef MST_CLI_LOGLINE_H
#define MST_CLI_LOGLINE_H

/* Parser for the key=value lines of the daemons' logs. */

#include <glib.h>

struct log_line {
	char *host;   /* last word before the pairs, usually the host; or "" */
	char *time;   /* value of "time", unparsed */
	gint64 at_ms; /* ms since the Unix epoch; 0: no valid time */
	GHashTable *pairs; /* key -> value; owns both */
	guint
	    input_index; /* position in the input; sorts lines of equal time */
};

/* Parses a line; returns NULL if it isn't a line of a daemon's log. */
struct log_line *log_line_parse(const char *text, guint order);
void log_line_free(struct log_line *line);

/* Returns the value of a key, or "" if the line doesn't have it. */
const char *log_line_get(const struct log_line *line, const char *key);
/* Returns the value of a key as a decimal number, or 0. */
gint64 log_line_number(const struct log_line *line, const char *key);

#endif
