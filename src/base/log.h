#ifndef MST_LOG_H
#define MST_LOG_H

/*
 * Log lines of key=value pairs on standard output, one per event. Writing never
 * blocks: lines wait in a bounded buffer until the reader takes them, and what
 * doesn't fit is dropped and counted. An event that comes too often in a second
 * is summed up.
 */

#include <glib.h>
#include <stdint.h>

enum mst_log_level {
	MST_LOG_ERROR = 0,
	MST_LOG_WARNING,
	MST_LOG_INFO,
	MST_LOG_DEBUG
};

struct mst_log_counters {
	uint64_t lines;
	uint64_t suppressed; /* left out as their event came too often */
	uint64_t dropped;    /* left out as nobody read */
};

/* Sets the program's name and the least important level that is written. */
void mst_log_open(const char *program, enum mst_log_level level);

/* Writes to another descriptor than standard output. */
void mst_log_redirect(int fd);

/*
 * Writes one line: time, level, program, process, event and further pairs. The
 * event's name is static text; the format gives the pairs; text from outside
 * goes through mst_log_quote().
 */
void mst_log(enum mst_log_level level, const char *event, const char *format,
    ...) G_GNUC_PRINTF(3, 4);

/* Writes what the reader takes now. Called once a turn of the loop. */
void mst_log_flush(void);

/* Writes what is left, waiting a moment for a reader. */
void mst_log_close(void);

const struct mst_log_counters *mst_log_counters(void);

/* Quotes text for a value; the result is valid for the next eight calls. */
const char *mst_log_quote(const char *text);

#endif
