#include "base/log.h"

#include <errno.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

#define LOG_QUOTE_SLOTS    8
#define LOG_QUOTE_BYTES    256
#define LOG_BUFFER_BYTES   (256 * 1024)
#define LOG_CHUNK_BYTES    4096 /* a pipe that is ready takes as much at once */
#define LOG_CLOSE_MS       200
#define LOG_EVENTS_MAX     64
#define LOG_LINES_A_SECOND 200 /* of one event; four times as many failures */
#define LOG_FAILURE_FACTOR 4

/* How often one event came in the present second. */
struct event_rate {
	const char *event; /* static text, compared by address */
	int64_t second;
	unsigned lines;
	unsigned summed;
};

static const char *const level_names[] = {"error", "warning", "info", "debug"};
static const char *log_program = "masticstall";
static enum mst_log_level log_level = MST_LOG_INFO;
static int log_fd = STDOUT_FILENO;
static GString *log_buffer;
static unsigned log_untold; /* dropped, and not told yet */
static struct event_rate log_rates[LOG_EVENTS_MAX];
static struct mst_log_counters log_counters;

void
mst_log_open(const char *program, enum mst_log_level level)
{
	log_program = program;
	log_level = level;
}

void
mst_log_redirect(int fd)
{
	log_fd = fd;
}

static void
line_start(GString *line, enum mst_log_level level, const char *event)
{
	struct timespec now;
	struct tm utc;
	char stamp[32];

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	g_string_append_printf(line,
	    "time=%s.%03ldZ level=%s program=%s pid=%d event=%s ", stamp,
	    now.tv_nsec / 1000000, level_names[level], log_program,
	    (int)getpid(), event);
}

/* Adds a line to the buffer, or counts it as dropped. */
static void
line_keep(const GString *line)
{
	if (log_buffer == NULL)
		log_buffer = g_string_sized_new(LOG_CHUNK_BYTES);
	if (log_buffer->len + line->len > LOG_BUFFER_BYTES) {
		log_untold++;
		log_counters.dropped++;
		return;
	}
	g_string_append_len(log_buffer, line->str, (gssize)line->len);
	log_counters.lines++;
}

static void
tell_count(const char *event, const char *of, unsigned count)
{
	GString *line = g_string_new(NULL);

	line_start(line, MST_LOG_WARNING, event);
	g_string_append_printf(line, "of=%s count=%u\n", of, count);
	line_keep(line);
	g_string_free(line, TRUE);
}

static struct event_rate *
rate_of(const char *event)
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

/* True when one more line of an event may be written in this second. */
static bool
rate_allows(enum mst_log_level level, const char *event)
{
	struct event_rate *rate = rate_of(event);
	int64_t second = mst_clock_us() / G_USEC_PER_SEC;
	unsigned most = LOG_LINES_A_SECOND *
	    (level <= MST_LOG_WARNING ? LOG_FAILURE_FACTOR : 1);

	if (rate == NULL)
		return true;
	if (rate->second != second) {
		if (rate->summed > 0)
			tell_count("log-summed", event, rate->summed);
		*rate = (struct event_rate){.event = event, .second = second};
	}
	if (rate->lines >= most) {
		rate->summed++;
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

	if (level > log_level || !rate_allows(level, event))
		return;
	line = g_string_sized_new(256);
	line_start(line, level, event);
	va_start(args, format);
	g_string_append_vprintf(line, format, args);
	va_end(args);
	g_string_append_c(line, '\n');
	line_keep(line);
	g_string_free(line, TRUE);
}

/* Writes one chunk if the reader takes it within a time; false if not. */
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

static void
write_buffer(int wait_ms)
{
	if (log_buffer == NULL)
		return;
	while (log_buffer->len > 0 && write_chunk(wait_ms))
		continue;
	if (log_buffer->len == 0 && log_untold > 0) {
		unsigned untold = log_untold;

		log_untold = 0;
		tell_count("log-dropped", "all", untold);
		write_chunk(wait_ms);
	}
}

void
mst_log_flush(void)
{
	write_buffer(0);
}

void
mst_log_close(void)
{
	write_buffer(LOG_CLOSE_MS);
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
