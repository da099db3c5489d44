#ifndef MST_LOG_H
#define MST_LOG_H

/*
 * Writes log lines of key=value pairs to standard output, one per event.
 * Logging never blocks: lines are kept in a bounded buffer until the reader
 * accepts them, and lines that don't fit are dropped and counted. The lines of
 * one event are limited per second; those above the limit are counted, and the
 * count is logged.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum mst_log_level {
	MST_LOG_ERROR = 0,
	MST_LOG_WARNING,
	MST_LOG_INFO,
	MST_LOG_DEBUG
};

struct mst_log_counters {
	uint64_t lines;      /* added to the buffer */
	uint64_t suppressed; /* left out because of the rate limit */
	uint64_t dropped;    /* left out because the buffer was full */
};

/* Sets the program's name and the least severe level that is written. */
void mst_log_open(const char *program, enum mst_log_level level);

/* Sends the lines to another file descriptor instead of standard output. */
void mst_log_redirect(int fd);

/**
 * Logs one line: time, level, program, process id, event and further pairs.
 *
 * @param level severity; lines less severe than the level given to
 *     mst_log_open() are left out
 * @param event the event's name, a static string (compared by address)
 * @param format printf format of the further key=value pairs; text from outside
 *     the program must go through mst_log_quote()
 */
void mst_log(enum mst_log_level level, const char *event, const char *format,
    ...) G_GNUC_PRINTF(3, 4);

/* Writes the buffered lines that the reader accepts without waiting. The event
 * loop calls it at each tick, and before if there is a chunk to write. */
void mst_log_flush(void);

/* Returns whether the buffered lines fill a chunk, so that it does not pay to
 * wait for more of them. */
bool mst_log_has_chunk(void);

/* Writes the remaining lines, waiting up to 200 ms for the reader per write. */
void mst_log_close(void);

/* Returns the counters since the start of the program; static, never freed. */
const struct mst_log_counters *mst_log_counters(void);

/**
 * Quotes and escapes a text for use as a value.
 *
 * @param text any text; NULL is treated as ""
 * @return the text in quotes, cut to 253 bytes without them; static, valid
 *     until the eighth call after this one
 */
const char *mst_log_quote(const char *text);

#endif
