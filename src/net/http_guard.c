/* Connections: what h2o is given to read, room for requests, and new ones. */

#include "net/http_guard_internal.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/http_header.h"

/* Input of a connection that is always read: an ordinary request. */
#define SMALL_INPUT_BYTES 8192
/* Room that is reserved first for a body whose length is not announced. */
#define UNANNOUNCED_BYTES (256 * 1024)
/* Time after which a connection without a request may go for a new one, before
 * those that have moved since. */
#define STILL_MS 1000
/* Less input can't have more fields than h2o takes. */
#define MANY_FIELDS_MIN_BYTES 400

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

uint64_t
http_guard_now_ms(const struct http_guard *guard)
{
	return uv_now(guard->options.loop);
}

static void
set_phase(struct http_conn *conn, enum phase phase)
{
	conn->phase = phase;
	conn->since_ms = http_guard_now_ms(conn->guard);
	conn->received = 0;
}

void
http_conn_note_progress(struct http_conn *conn)
{
	conn->moved_ms = http_guard_now_ms(conn->guard);
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

void
http_conn_cut(struct http_conn *conn, enum http_cut reason)
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

void
http_conn_resume(struct http_conn *conn)
{
	leave_wait_queue(conn);
	set_phase(conn, conn->phase);
	http_conn_note_progress(conn);
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
		http_conn_note_progress(conn);
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
		http_conn_resume(conn);
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

/* How much a connection can be spared for a new one; the greatest goes first.
 */
enum spare_rank {
	SPARE_NOT,    /* it has a whole request */
	SPARE_PAUSED, /* it stands still for the guard's sake */
	SPARE_SERVED, /* it has had an answer, and has moved just now */
	SPARE_NEW,    /* it has had none yet, and has moved just now */
	SPARE_STILL_SERVED,
	SPARE_STILL_NEW
};

static enum spare_rank
rank_spare(const struct http_conn *conn, uint64_t now)
{
	if (is_with_server(conn))
		return SPARE_NOT;
	if (conn->paused)
		return SPARE_PAUSED;
	if (now - conn->moved_ms < STILL_MS)
		return conn->served ? SPARE_SERVED : SPARE_NEW;
	return conn->served ? SPARE_STILL_SERVED : SPARE_STILL_NEW;
}

/* Returns the connection without a whole request that is to go for another one,
 * or NULL: one of a server, or of any if that is NULL. Of several, the one goes
 * that has stood still for longest. */
static struct http_conn *
find_spare(
    const struct http_guard *guard, const struct http_guard_server *server)
{
	struct http_conn *spare = NULL;
	enum spare_rank spare_rank = SPARE_NOT;
	uint64_t now = http_guard_now_ms(guard);
	GList *link;

	for (link = guard->conns.head;
	     link != NULL && spare_rank < SPARE_STILL_NEW; link = link->next) {
		struct http_conn *conn = link->data;
		enum spare_rank rank = rank_spare(conn, now);

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
		http_conn_cut(spare, HTTP_CUT_CONNECTIONS);
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
	conn->moved_ms = http_guard_now_ms(guard);
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
	http_conn_note_progress(conn);
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
	http_conn_note_progress(conn);
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
	http_guard_set_times(guard, HTTP_GUARD_HEADER_MS, HTTP_GUARD_IDLE_MS);
	/* h2o would keep large input in files, which machines without a disk
	 * keep in memory. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	uv_prepare_init(options->loop, &guard->prepare);
	guard->prepare.data = guard;
	uv_prepare_start(&guard->prepare, on_prepare);
	uv_unref((uv_handle_t *)&guard->prepare);
	return guard;
}
