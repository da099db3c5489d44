/*
 * Tests of the log: a reader that does not read must never block the writer,
 * dropped or suppressed lines must be counted, and drops reported in the log.
 */

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"

#define LINES 20000

static char *
read_all(int fd)
{
	GString *text = g_string_new(NULL);
	char chunk[4096];
	ssize_t n;

	while ((n = read(fd, chunk, sizeof(chunk))) > 0)
		g_string_append_len(text, chunk, n);
	return g_string_free(text, FALSE);
}

/*
 * Writes more lines than the pipe and the log buffer hold. The writer must not
 * block but drop lines, and must report the drop once the log is read again.
 */
static void
log__stalled_reader_does_not_block(void)
{
	struct mst_log_counters before = *mst_log_counters();
	static char names[LINES / 100][16];
	int fds[2];
	char *text;
	int i;

	g_assert_cmpint(pipe(fds), ==, 0);
	mst_log_redirect(fds[1]);
	/*
	 * With 100 lines per event name, no event exceeds the rate limit, so
	 * lines are dropped only because the buffer is full.
	 */
	for (i = 0; i < LINES; i++) {
		char *name = names[i / 100];

		g_snprintf(name, sizeof(names[0]), "event-%d", i / 100);
		mst_log(MST_LOG_INFO, name, "n=%d", i);
		mst_log_flush();
	}
	g_assert_cmpuint(mst_log_counters()->dropped, >, before.dropped);
	close(fds[0]);
	close(fds[1]);
	g_assert_cmpint(pipe(fds), ==, 0);
	mst_log_redirect(fds[1]);
	if (fork() == 0) {
		mst_log_close();
		_exit(0);
	}
	close(fds[1]);
	text = read_all(fds[0]);
	g_assert_nonnull(strstr(text, " event=event-"));
	g_assert_nonnull(strstr(text, "event=log-dropped of=all count="));
	g_free(text);
	close(fds[0]);
}

/*
 * One event that is logged 1,000 times in a row must be suppressed in part;
 * errors have a higher limit.
 */
static void
log__frequent_event_is_suppressed(void)
{
	struct mst_log_counters before = *mst_log_counters();
	int i;

	for (i = 0; i < 1000; i++)
		mst_log(MST_LOG_INFO, "frequent", "n=%d", i);
	g_assert_cmpuint(mst_log_counters()->suppressed, >, before.suppressed);
	for (i = 0; i < 300; i++)
		mst_log(MST_LOG_ERROR, "failure", "n=%d", i);
	g_assert_cmpuint(
	    mst_log_counters()->suppressed - before.suppressed, <=, 1000 - 200);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/log/rate-limit", log__frequent_event_is_suppressed);
	g_test_add_func("/log/blocked", log__stalled_reader_does_not_block);
	return g_test_run();
}
