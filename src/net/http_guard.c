#include "net/http_guard.h"

#include <glib.h>
#include <inttypes.h>
#include <malloc.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "net/http_header.h"

#define TICK_MS 100
/* A longer gap between two checks is a pause of this process, for which clients
 * don't answer. */
#define PAUSE_MIN_MS 500
#define LOG_MS       1000
/* Input of a connection that is always read: an ordinary request. */
#define SMALL_INPUT_BYTES 8192
/* Room that is reserved first for a body whose length is not announced. */
#define UNANNOUNCED_BYTES (256 * 1024)
/* Time after which a connection without a request may go for a new one, before
 * those that have moved since. */
#define STILL_MS       1000
#define SPARE_RANK_MAX 5
/* Time for which a connection may keep room that does not suffice for it. */
#define STUCK_MS 2000
/* Least input of an unfinished request while others wait for room, and the time
 * over which it counts. */
#define SLOW_BYTES_PER_MS 64
#define SLOW_MIN_MS       1000
/* Paused connections that are read to their end in one check, because their
 * clients send no more. What is left of each is in its socket's buffer. */
#define ENDED_PER_TICK 32
/* Share of the room below which memory is returned to the system. */
#define RETURN_SHARE 0.25
/* Less input can't have more fields than h2o takes. */
#define MANY_FIELDS_MIN_BYTES 400
/* Until the configuration sets the limits. */
#define DEFAULT_HEADER_MS 10000
#define DEFAULT_IDLE_MS   15000

enum phase {
	PHASE_IDLE,   /* between requests */
	PHASE_HEADER, /* a header has begun */
	PHASE_BODY,   /* the header is complete, the body is not */
	PHASE_BUSY,   /* the request waits for its answer */
	PHASE_ANSWER  /* the answer is being written */
};

struct http_conn {
	struct http_guard *guard;
	h2o_socket_t *sock; /* NULL: closed */
	uv_stream_t *stream;
	struct http_guard_server *server;
	h2o_socket_cb read; /* of h2o */
	enum phase phase;
	bool in_read;      /* h2o handles input now */
	bool unhooked;     /* h2o has stopped reading, or started by itself */
	bool paused;       /* is not read from, for want of room */
	bool ended;        /* the client sends no more than is in the buffer */
	bool served;       /* has had an answer */
	size_t input;      /* bytes in the buffer when h2o last handled it */
	size_t reserved;   /* bytes of room for its request; 0: a small one */
	size_t answer;     /* bytes of room for its answer */
	size_t unsent;     /* bytes of the answer, at the last check */
	uint64_t since_ms; /* when the phase began, or it was resumed */
	uint64_t moved_ms; /* when bytes were last received or sent */
	uint64_t received; /* bytes since since_ms */
	GList link;        /* in conns */
	GList wait_link;   /* in unhooked or paused */
};

struct http_guard {
	struct http_guard_options options;
	uint32_t header_ms;
	uint32_t idle_ms;
	uint64_t bytes;     /* reserved, and of answers */
	bool has_more_room; /* some was released since it was looked for */
	bool answer_cut;    /* for want of room, since the last check */
	GQueue conns;       /* in the order of moved_ms */
	GQueue unhooked;    /* read callbacks to be looked at */
	GQueue paused;      /* longest first */
	uv_prepare_t prepare;
	uint64_t tick_ms; /* time of the last check */
	uint64_t logged_ms;
	bool was_full; /* some had to wait since memory was last returned */
	struct http_guard_counters counters;
	struct http_guard_counters logged;
};

static const char *const cut_names[HTTP_CUT_MAX] = {
    [HTTP_CUT_HEADER] = "header",
    [HTTP_CUT_IDLE] = "idle",
    [HTTP_CUT_BODY] = "body",
    [HTTP_CUT_UNREAD] = "unread",
    [HTTP_CUT_MEMORY] = "memory",
    [HTTP_CUT_ANSWER] = "answer",
    [HTTP_CUT_CONNECTIONS] = "connections"};

const char *
http_cut_name(enum http_cut reason)
{
	return cut_names[reason];
}

static uint64_t
now_ms(const struct http_guard *guard)
{
	return uv_now(guard->options.loop);
}

static void
set_phase(struct http_conn *conn, enum phase phase)
{
	conn->phase = phase;
	conn->since_ms = now_ms(conn->guard);
	conn->received = 0;
}

static void
note_progress(struct http_conn *conn)
{
	conn->moved_ms = now_ms(conn->guard);
	g_queue_unlink(&conn->guard->conns, &conn->link);
	g_queue_push_tail_link(&conn->guard->conns, &conn->link);
}

static void
release(struct http_guard *guard, size_t *bytes)
{
	if (*bytes == 0)
		return;
	guard->bytes -= *bytes;
	guard->has_more_room = true;
	*bytes = 0;
}

static void
leave_wait_queue(struct http_conn *conn)
{
	if (conn->paused)
		g_queue_unlink(&conn->guard->paused, &conn->wait_link);
	else if (conn->unhooked)
		g_queue_unlink(&conn->guard->unhooked, &conn->wait_link);
	conn->paused = conn->unhooked = false;
}

/* Called by h2o once a socket is closed. */
static void
on_closed(void *data)
{
	struct http_conn *conn = data;
	struct http_guard *guard = conn->guard;

	leave_wait_queue(conn);
	release(guard, &conn->reserved);
	release(guard, &conn->answer);
	g_queue_unlink(&guard->conns, &conn->link);
	conn->server->connections--;
	conn->sock = NULL;
	if (!conn->in_read)
		g_free(conn);
}

/* Closes a connection. If h2o reads from it, or would if it was not paused, h2o
 * takes it for closed by the client; otherwise the next write fails. */
static void
cut(struct http_conn *conn, enum http_cut reason)
{
	conn->guard->counters.cut[reason]++;
	if (conn->paused || h2o_socket_is_reading(conn->sock))
		conn->read(conn->sock, h2o_socket_error_closed);
	else
		shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
}

static void on_input(h2o_socket_t *sock, const char *err);

static void
pause_reading(struct http_conn *conn)
{
	h2o_socket_read_stop(conn->sock);
	conn->paused = true;
	conn->guard->counters.pauses++;
	conn->guard->was_full = true;
	g_queue_push_tail_link(&conn->guard->paused, &conn->wait_link);
}

static void
resume_reading(struct http_conn *conn)
{
	leave_wait_queue(conn);
	set_phase(conn, conn->phase);
	note_progress(conn);
	h2o_socket_read_start(conn->sock, on_input);
}

/* Lets the loop look at the read callback before it next waits for input. */
static void
unhook(struct http_conn *conn)
{
	if (conn->unhooked)
		return;
	conn->unhooked = true;
	g_queue_push_tail_link(&conn->guard->unhooked, &conn->wait_link);
}

/* Returns whether the request is complete and its answer not written yet. */
static bool
is_with_server(const struct http_conn *conn)
{
	return conn->phase == PHASE_BUSY || conn->phase == PHASE_ANSWER;
}

/* Follows the state of a request that h2o is reading. */
static void
update_phase(struct http_conn *conn)
{
	const h2o_buffer_t *input = conn->sock->input;

	if (input->size == 0)
		return;
	if (conn->phase == PHASE_IDLE)
		set_phase(conn, PHASE_HEADER);
	if (conn->phase == PHASE_HEADER &&
	    http_header_is_whole(input->bytes, input->size))
		set_phase(conn, PHASE_BODY);
}

/* Returns the room that a request needs: its length if it is announced, and the
 * longest possible once it is longer than was reserved. */
static size_t
needed_room(const struct http_conn *conn)
{
	const h2o_buffer_t *input = conn->sock->input;
	uint64_t announced;

	if (conn->reserved > 0)
		return conn->server->body_max + SMALL_INPUT_BYTES;
	if (!http_header_length(&announced, input->bytes, input->size))
		announced = UNANNOUNCED_BYTES;
	return MIN(announced, conn->server->body_max) + SMALL_INPUT_BYTES;
}

/* Reserves room for a request that is no longer a small one. Returns false if
 * there is none. A request is let in if no other one has room, however long. */
static bool
reserve_room(struct http_conn *conn)
{
	struct http_guard *guard = conn->guard;
	size_t needed = MAX(needed_room(conn), conn->reserved);
	uint64_t others = guard->bytes - conn->reserved;

	if (others > 0 && others + needed > guard->options.bytes_max)
		return false;
	guard->bytes = others + needed;
	conn->reserved = needed;
	return true;
}

static bool
must_pause(struct http_conn *conn)
{
	bool first = conn->reserved == 0;

	if (conn->ended ||
	    conn->input <= MAX(conn->reserved, SMALL_INPUT_BYTES))
		return false;
	/* Those that wait already come first. */
	return (first && conn->guard->paused.length > 0) || !reserve_room(conn);
}

/* Makes a header of very many fields fit what h2o takes. */
static void
compact_header(struct http_conn *conn)
{
	h2o_buffer_t *input = conn->sock->input;

	if (conn->server->header_names == NULL ||
	    input->size < MANY_FIELDS_MIN_BYTES ||
	    (conn->phase != PHASE_IDLE && conn->phase != PHASE_HEADER))
		return;
	input->size = http_header_compact(
	    input->bytes, input->size, conn->input, conn->server->header_names);
}

/* Replaces the read callback of h2o, which it calls. */
static void
on_input(h2o_socket_t *sock, const char *err)
{
	struct http_conn *conn = sock->on_close.data;

	if (err == NULL) {
		conn->received += sock->input->size - conn->input;
		note_progress(conn);
		compact_header(conn);
	}
	conn->in_read = true;
	conn->read(sock, err);
	conn->in_read = false;
	if (conn->sock == NULL) {
		g_free(conn);
		return;
	}
	conn->input = sock->input->size;
	if (!h2o_socket_is_reading(sock)) {
		if (!is_with_server(conn))
			unhook(conn);
		return;
	}
	update_phase(conn);
	if (must_pause(conn))
		pause_reading(conn);
}

/* Reads on from the connections that have waited for longest, while there is
 * room for them. */
static void
resume_paused(struct http_guard *guard)
{
	struct http_conn *conn;

	guard->has_more_room = false;
	while ((conn = g_queue_peek_head(&guard->paused)) != NULL &&
	    reserve_room(conn))
		resume_reading(conn);
}

/* Replaces the read callback again where h2o has set it. It does so after each
 * answer and after an interim response. */
static void
on_prepare(uv_prepare_t *prepare)
{
	struct http_guard *guard = prepare->data;
	GList *link = guard->unhooked.head;
	GList *next;

	for (; link != NULL; link = next) {
		struct http_conn *conn = link->data;

		next = link->next;
		conn->input = conn->sock->input->size;
		if (h2o_socket_is_reading(conn->sock)) {
			leave_wait_queue(conn);
			h2o_socket_read_start(conn->sock, on_input);
			update_phase(conn);
		} else if (is_with_server(conn)) {
			leave_wait_queue(conn);
		}
	}
	if (guard->has_more_room)
		resume_paused(guard);
}

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
	uint64_t now = now_ms(guard);
	GList *link = guard->conns.head;
	GList *next;

	for (; link != NULL; link = next) {
		next = link->next;
		if (is_slow(link->data, now))
			cut(link->data, HTTP_CUT_MEMORY);
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
		resume_reading(conn);
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
			note_progress(conn);
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
	uint64_t now = now_ms(guard);
	GList *link = guard->conns.head;
	GList *last = guard->conns.tail;
	GList *next;

	/* Those that have moved are put behind the last one. */
	for (; link != NULL; link = next) {
		enum http_cut reason;

		next = link != last ? link->next : NULL;
		reason = check_times(link->data, now);
		if (reason != 0)
			cut(link->data, reason);
	}
}

/* Moves all times forward by a pause of this process. */
static void
skip_pause(struct http_guard *guard, uint64_t pause_ms)
{
	uint64_t now = now_ms(guard);
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
	guard->logged_ms = now_ms(guard);
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
	uint64_t gap_ms = now_ms(guard) - guard->tick_ms;

	if (gap_ms < TICK_MS)
		return;
	guard->tick_ms = now_ms(guard);
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
	if (now_ms(guard) - guard->logged_ms >= LOG_MS)
		log_cuts(guard);
}

/* How much a connection can be spared for a new one; the greatest goes first.
 */
static unsigned
rank_spare(const struct http_conn *conn, uint64_t now)
{
	if (is_with_server(conn))
		return 0;
	/* It stands still for the guard's sake. */
	if (conn->paused)
		return 1;
	if (now - conn->moved_ms < STILL_MS)
		return conn->served ? 2 : 3;
	return conn->served ? 4 : SPARE_RANK_MAX;
}

/* Returns the connection without a whole request that is to go for another one,
 * or NULL: one of a server, or of any if that is NULL. Of several, the one goes
 * that has stood still for longest. */
static struct http_conn *
find_spare(
    const struct http_guard *guard, const struct http_guard_server *server)
{
	struct http_conn *spare = NULL;
	unsigned spare_rank = 0;
	uint64_t now = now_ms(guard);
	GList *link;

	for (link = guard->conns.head;
	     link != NULL && spare_rank < SPARE_RANK_MAX; link = link->next) {
		struct http_conn *conn = link->data;
		unsigned rank = rank_spare(conn, now);

		if (rank <= spare_rank ||
		    (server != NULL && conn->server != server))
			continue;
		spare = conn;
		spare_rank = rank;
	}
	return spare;
}

bool
http_guard_make_room(
    struct http_guard *guard, const struct http_guard_server *server)
{
	uint32_t max = guard->options.connections_max;
	uint32_t server_max = max - MIN(server->connections_kept, max / 2);
	bool server_is_full = server->connections >= server_max;
	struct http_conn *spare;

	if (!server_is_full && guard->conns.length < max)
		return true;
	spare = find_spare(guard, server_is_full ? server : NULL);
	if (spare != NULL)
		cut(spare, HTTP_CUT_CONNECTIONS);
	if (server->connections < server_max && guard->conns.length < max)
		return true;
	guard->counters.refused++;
	return false;
}

void
http_guard_watch(struct http_guard *guard, h2o_socket_t *sock,
    uv_stream_t *stream, struct http_guard_server *server)
{
	struct http_conn *conn = g_new0(struct http_conn, 1);

	conn->guard = guard;
	conn->sock = sock;
	conn->stream = stream;
	conn->server = server;
	conn->read = sock->_cb.read;
	conn->link.data = conn->wait_link.data = conn;
	conn->moved_ms = now_ms(guard);
	g_queue_push_tail_link(&guard->conns, &conn->link);
	guard->counters.accepted++;
	server->connections++;
	set_phase(conn, PHASE_IDLE);
	sock->on_close.cb = on_closed;
	sock->on_close.data = conn;
	h2o_socket_read_start(sock, on_input);
}

struct http_conn *
http_conn_from_socket(h2o_socket_t *sock)
{
	return sock->on_close.data;
}

void
http_conn_begin(struct http_conn *conn)
{
	set_phase(conn, PHASE_BUSY);
}

bool
http_conn_answer(struct http_conn *conn, size_t len)
{
	struct http_guard *guard = conn->guard;

	set_phase(conn, PHASE_ANSWER);
	note_progress(conn);
	if (len <= SMALL_INPUT_BYTES)
		return true;
	if (guard->bytes > 0 && guard->bytes + len > guard->options.bytes_max) {
		guard->answer_cut = true;
		guard->counters.cut[HTTP_CUT_ANSWER]++;
		shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
		return false;
	}
	conn->answer = len;
	guard->bytes += len;
	return true;
}

void
http_conn_end(struct http_conn *conn)
{
	release(conn->guard, &conn->reserved);
	release(conn->guard, &conn->answer);
	conn->unsent = 0;
	conn->ended = false;
	conn->served = true;
	set_phase(conn, PHASE_IDLE);
	note_progress(conn);
	unhook(conn);
}

void
http_guard_set_times(
    struct http_guard *guard, uint32_t header_ms, uint32_t idle_ms)
{
	guard->header_ms = header_ms;
	guard->idle_ms = idle_ms;
}

const struct http_guard_counters *
http_guard_counters(const struct http_guard *guard)
{
	return &guard->counters;
}

struct http_guard_gauges
http_guard_gauges(const struct http_guard *guard)
{
	return (struct http_guard_gauges){.connections = guard->conns.length,
	    .paused = guard->paused.length,
	    .bytes = guard->bytes};
}

struct http_guard *
http_guard_new(const struct http_guard_options *options)
{
	struct http_guard *guard = g_new0(struct http_guard, 1);

	guard->options = *options;
	guard->tick_ms = guard->logged_ms = uv_now(options->loop);
	http_guard_set_times(guard, DEFAULT_HEADER_MS, DEFAULT_IDLE_MS);
	/* h2o would keep large input in files, which machines without a disk
	 * keep in memory. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	uv_prepare_init(options->loop, &guard->prepare);
	guard->prepare.data = guard;
	uv_prepare_start(&guard->prepare, on_prepare);
	uv_unref((uv_handle_t *)&guard->prepare);
	return guard;
}
