#ifndef MST_CLI_LOGLINE_H
#define MST_CLI_LOGLINE_H

/* Lines of the daemons' logs. */

#include <glib.h>

struct log_line {
	char *source;      /* text before the line itself, as a host's name */
	char *time;        /* as it stands in the line */
	gint64 at_ms;      /* since 1970 */
	GHashTable *pairs; /* key -> value, both owned */
	guint order;       /* of reading */
};

/* Reads one line; NULL when it is none of the daemons'. */
struct log_line *log_line_parse(const char *text, guint order);
void log_line_free(struct log_line *line);

/* A value, or "" when there is none. */
const char *log_line_get(const struct log_line *line, const char *key);
gint64 log_line_number(const struct log_line *line, const char *key);

#endif
