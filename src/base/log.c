#include "base/log.h"

#include <errno.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

/* Results of mst_log_quote() that are valid at the same time. */
#define LOG_QUOTE_SLOTS  8
#define LOG_QUOTE_BYTES  256
#define LOG_BUFFER_BYTES (256 * 1024)
/* A pipe that polls as writable has room for this many bytes. */
#define LOG_CHUNK_BYTES      4096
#define LOG_CLOSE_WAIT_MS    200
#define LOG_EVENTS_MAX       64
#define LOG_LINES_PER_SECOND 200 /* per event name */
#define LOG_FAILURE_FACTOR   4   /* factor for warnings and errors */

/* Counts the lines of one event in the current second. */
struct event_rate {
	const char *event; /* static string, compared by address */
	int64_t second;
	unsigned lines;      /* logged */
	unsigned suppressed; /* left out because of the rate limit */
};

static const char *const level_names[] = {"error", "warning", "info", "debug"};
static const char *log_program = "masticstall";
static enum mst_log_level log_level = MST_LOG_INFO;
static int log_fd = STDOUT_FILENO;
static GString *log_buffer;
/* Lines dropped since the last log-dropped line. */
static unsigned log_dropped_unreported;
static struct event_rate log_rates[LOG_EVENTS_MAX];
static struct mst_log_counters log_counters;
static pid_t log_pid;
/* Start of a line in the present second. */
static time_t log_second;
static char log_timestamp[32];

void
mst_log_open(const char *program, enum mst_log_level level)
{
	log_program = program;
	log_level = level;
	log_pid = getpid();
}

void
mst_log_redirect(int fd)
{
	log_fd = fd;
}

static void
append_line_prefix(GString *line, enum mst_log_level level, const char *event)
{
	struct timespec now;
	struct tm utc;

	clock_gettime(CLOCK_REALTIME, &now);
	if (now.tv_sec != log_second) {
		log_second = now.tv_sec;
		gmtime_r(&now.tv_sec, &utc);
		strftime(log_timestamp, sizeof(log_timestamp),
		    "%Y-%m-%dT%H:%M:%S", &utc);
	}
	g_string_append_printf(line,
	    "time=%s.%03ldZ level=%s program=%s pid=%d event=%s ",
	    log_timestamp, now.tv_nsec / 1000000, level_names[level],
	    log_program, (int)log_pid, event);
}

/* Appends a line to the buffer; counts it as dropped if the buffer is full. */
static void
buffer_line(const GString *line)
{
	if (log_buffer == NULL)
		log_buffer = g_string_sized_new(LOG_CHUNK_BYTES);
	if (log_buffer->len + line->len > LOG_BUFFER_BYTES) {
		log_dropped_unreported++;
		log_counters.dropped++;
		return;
	}
	g_string_append_len(log_buffer, line->str, (gssize)line->len);
	log_counters.lines++;
}

/*
 * Logs how many lines were left out.
 *
 * @param event name of the event to log
 * @param omitted_event event of the lines left out, or "all"
 * @param count number of lines left out
 */
static void
log_omitted_lines(const char *event, const char *omitted_event, unsigned count)
{
	GString *line = g_string_new(NULL);

	append_line_prefix(line, MST_LOG_WARNING, event);
	g_string_append_printf(line, "of=%s count=%u\n", omitted_event, count);
	buffer_line(line);
	g_string_free(line, TRUE);
}

/* Returns the counter of an event; NULL if all slots hold other events. */
static struct event_rate *
find_rate(const char *event)
{
	unsigned i;

	for (i = 0; i < LOG_EVENTS_MAX; i++) {
		if (log_rates[i].event == NULL)
			log_rates[i].event = event;
		if (log_rates[i].event == event)
			return &log_rates[i];
	}
	return NULL;
}

/*
 * Counts a line of an event and returns whether the rate limit allows it. The
 * number of lines left out is logged with the event's first line in a later
 * second.
 */
static bool
is_line_allowed(enum mst_log_level level, const char *event)
{
	struct event_rate *rate = find_rate(event);
	int64_t second = mst_clock_us() / G_USEC_PER_SEC;
	unsigned lines_max = LOG_LINES_PER_SECOND *
	    (level <= MST_LOG_WARNING ? LOG_FAILURE_FACTOR : 1);

	if (rate == NULL)
		return true;
	if (rate->second != second) {
		if (rate->suppressed > 0)
			log_omitted_lines(
			    "log-summed", event, rate->suppressed);
		*rate = (struct event_rate){.event = event, .second = second};
	}
	if (rate->lines >= lines_max) {
		rate->suppressed++;
		log_counters.suppressed++;
		return false;
	}
	rate->lines++;
	return true;
}

void
mst_log(enum mst_log_level level, const char *event, const char *format, ...)
{
	GString *line;
	va_list args;

	if (level > log_level || !is_line_allowed(level, event))
		return;
	line = g_string_sized_new(256);
	append_line_prefix(line, level, event);
	va_start(args, format);
	g_string_append_vprintf(line, format, args);
	va_end(args);
	g_string_append_c(line, '\n');
	buffer_line(line);
	g_string_free(line, TRUE);
}

/* Writes one chunk of the buffer. Returns false if the descriptor did not
 * become writable within wait_ms or the write failed. */
static bool
write_chunk(int wait_ms)
{
	struct pollfd ready = {.fd = log_fd, .events = POLLOUT};
	ssize_t n;

	if (poll(&ready, 1, wait_ms) <= 0 || !(ready.revents & POLLOUT))
		return false;
	n = write(
	    log_fd, log_buffer->str, MIN(log_buffer->len, LOG_CHUNK_BYTES));
	if (n <= 0)
		return n < 0 && errno == EINTR;
	g_string_erase(log_buffer, 0, n);
	return true;
}

/*
 * Writes the buffer, waiting at most wait_ms for each chunk, and then logs how
 * many lines were dropped, if any.
 */
static void
write_buffer(int wait_ms)
{
	if (log_buffer == NULL)
		return;
	while (log_buffer->len > 0 && write_chunk(wait_ms))
		continue;
	if (log_buffer->len == 0 && log_dropped_unreported > 0) {
		unsigned dropped = log_dropped_unreported;

		log_dropped_unreported = 0;
		log_omitted_lines("log-dropped", "all", dropped);
		write_chunk(wait_ms);
	}
}

bool
mst_log_has_chunk(void)
{
	return log_buffer != NULL && log_buffer->len >= LOG_CHUNK_BYTES;
}

void
mst_log_flush(void)
{
	write_buffer(0);
}

void
mst_log_close(void)
{
	write_buffer(LOG_CLOSE_WAIT_MS);
}

const struct mst_log_counters *
mst_log_counters(void)
{
	return &log_counters;
}

const char *
mst_log_quote(const char *text)
{
	static char slots[LOG_QUOTE_SLOTS][LOG_QUOTE_BYTES];
	static unsigned next;
	char *out = slots[next++ % LOG_QUOTE_SLOTS];
	char *escaped = g_strescape(text ? text : "", NULL);

	snprintf(
	    out, LOG_QUOTE_BYTES, "\"%.*s\"", LOG_QUOTE_BYTES - 3, escaped);
	g_free(escaped);
	return out;
}
