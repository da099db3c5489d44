/* Checks of all connections at intervals: time limits, room that brings little,
 * what is logged, and memory that goes back to the system. */

#include "net/http_guard_internal.h"

#include <inttypes.h>
#include <malloc.h>
#include <poll.h>

#include "base/log.h"

#define TICK_MS 100
/* A longer gap between two checks is a pause of this process, for which clients
 * don't answer. */
#define PAUSE_MIN_MS 500
#define LOG_MS       1000
/* Least input of an unfinished request while others wait for room, and the time
 * over which it counts. */
#define SLOW_BYTES_PER_MS 64
#define SLOW_MIN_MS       1000
/* Time for which a connection may keep room that does not suffice for it. */
#define STUCK_MS 2000
/* Paused connections that are read to their end in one check, because their
 * clients send no more. What is left of each is in its socket's buffer. */
#define ENDED_PER_TICK 32
/* Share of the room below which memory is returned to the system. */
#define RETURN_SHARE 0.25

/* Returns whether a connection keeps room and brings little for it. */
static bool
is_slow(const struct http_conn *conn, uint64_t now)
{
	uint64_t age_ms = now - conn->since_ms;

	if (conn->reserved + conn->answer == 0 || conn->phase == PHASE_BUSY)
		return false;
	if (conn->paused)
		return age_ms >= STUCK_MS;
	if (now - conn->moved_ms >= SLOW_MIN_MS)
		return true;
	return conn->phase != PHASE_ANSWER && age_ms >= SLOW_MIN_MS &&
	    conn->received < age_ms * SLOW_BYTES_PER_MS;
}

/* Cuts the connections that bring little for their room, which others wait for.
 */
static void
cut_slow(struct http_guard *guard)
{
	uint64_t now = http_guard_now_ms(guard);
	GList *link = guard->conns.head;
	GList *next;

	for (; link != NULL; link = next) {
		next = link->next;
		if (is_slow(link->data, now))
			http_conn_cut(link->data, HTTP_CUT_MEMORY);
	}
}

/* Returns the paused connections whose clients have closed them, or their
 * direction of them. */
static GPtrArray *
find_ended(const struct http_guard *guard)
{
	GArray *polled = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	GPtrArray *conns = g_ptr_array_new();
	GPtrArray *ended = g_ptr_array_new();
	GList *link;
	guint i;

	for (link = guard->paused.head; link != NULL; link = link->next) {
		struct http_conn *conn = link->data;
		const struct pollfd item = {
		    .fd = h2o_socket_get_fd(conn->sock), .events = POLLRDHUP};

		g_array_append_val(polled, item);
		g_ptr_array_add(conns, conn);
	}
	poll((struct pollfd *)polled->data, polled->len, 0);
	for (i = 0; i < polled->len; i++) {
		if (g_array_index(polled, struct pollfd, i).revents != 0)
			g_ptr_array_add(ended, conns->pdata[i]);
	}
	g_ptr_array_unref(conns);
	g_array_unref(polled);
	return ended;
}

/* Reads the rest of connections whose clients send no more: either the request
 * is complete, or h2o gives it up. */
static void
resume_ended(struct http_guard *guard)
{
	GPtrArray *ended = find_ended(guard);
	guint i;

	for (i = 0; i < MIN(ended->len, ENDED_PER_TICK); i++) {
		struct http_conn *conn = ended->pdata[i];

		conn->ended = true;
		http_conn_resume(conn);
	}
	g_ptr_array_unref(ended);
}

/* Returns why a connection is over a time limit, or 0. */
static enum http_cut
check_times(struct http_conn *conn, uint64_t now)
{
	const struct http_guard *guard = conn->guard;
	bool still = now - conn->moved_ms > guard->idle_ms;
	size_t unsent;

	switch (conn->phase) {
	case PHASE_IDLE:
		return still ? HTTP_CUT_IDLE : 0;
	case PHASE_HEADER:
		return !conn->paused && now - conn->since_ms > guard->header_ms
		    ? HTTP_CUT_HEADER
		    : 0;
	case PHASE_BODY:
		return still && !conn->paused ? HTTP_CUT_BODY : 0;
	case PHASE_ANSWER:
		unsent = uv_stream_get_write_queue_size(conn->stream);
		if (unsent != conn->unsent)
			http_conn_note_progress(conn);
		conn->unsent = unsent;
		return still ? HTTP_CUT_UNREAD : 0;
	case PHASE_BUSY:
		break;
	}
	return 0;
}

static void
apply_times(struct http_guard *guard)
{
	uint64_t now = http_guard_now_ms(guard);
	GList *link = guard->conns.head;
	GList *last = guard->conns.tail;
	GList *next;

	/* Those that have moved are put behind the last one. */
	for (; link != NULL; link = next) {
		enum http_cut reason;

		next = link != last ? link->next : NULL;
		reason = check_times(link->data, now);
		if (reason != 0)
			http_conn_cut(link->data, reason);
	}
}

/* Moves all times forward by a pause of this process. */
static void
skip_pause(struct http_guard *guard, uint64_t pause_ms)
{
	uint64_t now = http_guard_now_ms(guard);
	GList *link;

	for (link = guard->conns.head; link != NULL; link = link->next) {
		struct http_conn *conn = link->data;

		conn->since_ms = MIN(conn->since_ms + pause_ms, now);
		conn->moved_ms = MIN(conn->moved_ms + pause_ms, now);
	}
}

/* Logs what was done to clients, in one line a second. */
static void
log_cuts(struct http_guard *guard)
{
	const struct http_guard_counters *now = &guard->counters;
	const struct http_guard_counters *logged = &guard->logged;
	uint64_t news =
	    now->refused + now->pauses - logged->refused - logged->pauses;
	uint64_t cuts[HTTP_CUT_MAX];
	int i;

	for (i = 1; i < HTTP_CUT_MAX; i++) {
		cuts[i] = now->cut[i] - logged->cut[i];
		news += i != HTTP_CUT_IDLE ? cuts[i] : 0;
	}
	if (news > 0)
		mst_log(MST_LOG_WARNING, "clients-cut",
		    "header=%" PRIu64 " body=%" PRIu64 " unread=%" PRIu64
		    " memory=%" PRIu64 " answer=%" PRIu64
		    " connections=%" PRIu64 " refused=%" PRIu64
		    " paused=%u open=%u bytes=%" PRIu64,
		    cuts[HTTP_CUT_HEADER], cuts[HTTP_CUT_BODY],
		    cuts[HTTP_CUT_UNREAD], cuts[HTTP_CUT_MEMORY],
		    cuts[HTTP_CUT_ANSWER], cuts[HTTP_CUT_CONNECTIONS],
		    now->refused - logged->refused, guard->paused.length,
		    guard->conns.length, guard->bytes);
	guard->logged = *now;
	guard->logged_ms = http_guard_now_ms(guard);
}

/* Returns freed memory to the system after there was no room. */
static void
return_memory(struct http_guard *guard)
{
	if (!guard->was_full || guard->paused.length > 0 ||
	    (double)guard->bytes >
		(double)guard->options.bytes_max * RETURN_SHARE)
		return;
	malloc_trim(0);
	guard->was_full = false;
}

void
http_guard_tick(struct http_guard *guard)
{
	uint64_t gap_ms = http_guard_now_ms(guard) - guard->tick_ms;

	if (gap_ms < TICK_MS)
		return;
	guard->tick_ms = http_guard_now_ms(guard);
	if (gap_ms > PAUSE_MIN_MS) {
		skip_pause(guard, gap_ms);
		return;
	}
	apply_times(guard);
	if (guard->paused.length > 0) {
		resume_ended(guard);
		cut_slow(guard);
	} else if (guard->answer_cut) {
		cut_slow(guard);
	}
	guard->answer_cut = false;
	return_memory(guard);
	if (http_guard_now_ms(guard) - guard->logged_ms >= LOG_MS)
		log_cuts(guard);
}
