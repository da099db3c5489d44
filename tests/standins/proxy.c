/*
 * Stand-in for the network: forwards TCP connections of loopback. Each link has
 * a name, an address at which it listens and the address that it leads to.
 * PUT /links/NAME at CONTROL injects faults: {"delay_ms": n} delays all bytes;
 * {"cut": "in"}, "out", "both" or "" holds the bytes towards the target, those
 * from it, both or none; {"silence": true} holds the bytes of the connections
 * that are open now for good; {"reset": true} resets them; {"reset_one": n}
 * resets one of them.
 *
 * Usage: standin-proxy CONTROL [NAME LISTEN TARGET]...
 */

#include <cjson/cJSON.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/httpd.h"

#define BACKLOG     1024
#define READ_BYTES  16384
#define LINK_PREFIX "/links/"

struct connection;

/* Where bytes go: towards the target of the link, or back from it. */
enum direction { IN, OUT, DIRECTION_MAX };

struct link {
	uv_tcp_t listener;
	struct sockaddr_in target;
	unsigned delay_ms;
	bool cut[DIRECTION_MAX];
	GPtrArray *connections; /* struct connection */
};

/* Bytes on their way, or with length 0 the end of the stream. */
struct chunk {
	uv_write_t write; /* first member; cast to and from the structure */
	uint64_t due_ms;
	size_t len;
	char bytes[];
};

/* One of the two sockets of a connection, and what was read from it. */
struct end {
	uv_tcp_t tcp; /* first member; cast to and from the structure */
	struct connection *connection;
	enum direction direction; /* of the bytes that it reads */
	uv_timer_t timer;
	GQueue *chunks;
	char buffer[READ_BYTES];
};

struct connection {
	struct link *link;
	struct end ends[DIRECTION_MAX]; /* [IN] faces the client */
	uv_connect_t connect;
	bool connected;
	bool silent;
	bool closing;
	unsigned ended; /* sockets of which the end was read */
	unsigned open_handles;
};

static uv_loop_t *loop;
static struct mst_httpd *httpd;
static GHashTable *links; /* name -> struct link */

static struct end *
other_end(struct end *end)
{
	return &end->connection->ends[end->direction == IN ? OUT : IN];
}

static void
on_closed(uv_handle_t *handle)
{
	struct connection *connection = handle->data;
	int i;

	if (--connection->open_handles > 0)
		return;
	for (i = 0; i < DIRECTION_MAX; i++)
		g_queue_free_full(connection->ends[i].chunks, g_free);
	g_free(connection);
}

/* Closes both sockets, by a reset or after the bytes written so far. */
static void
connection_close(struct connection *connection, bool reset)
{
	int i;

	if (connection->closing)
		return;
	connection->closing = true;
	g_ptr_array_remove(connection->link->connections, connection);
	for (i = 0; i < DIRECTION_MAX; i++) {
		struct end *end = &connection->ends[i];

		if (!reset || uv_tcp_close_reset(&end->tcp, on_closed) < 0)
			uv_close((uv_handle_t *)&end->tcp, on_closed);
		uv_close((uv_handle_t *)&end->timer, on_closed);
	}
}

static void
on_written(uv_write_t *write, int status)
{
	struct connection *connection = write->handle->data;

	g_free(write);
	if (status < 0)
		connection_close(connection, true);
}

static void
send_chunk(struct end *end, struct chunk *chunk)
{
	uv_buf_t buf = uv_buf_init(chunk->bytes, (unsigned)chunk->len);
	uv_stream_t *target = (uv_stream_t *)&other_end(end)->tcp;

	if (uv_write(&chunk->write, target, &buf, 1, on_written) < 0) {
		g_free(chunk);
		connection_close(end->connection, true);
	}
}

static void on_due(uv_timer_t *timer);

/* Sends the chunks that are due and may pass. */
static void
forward(struct end *end)
{
	struct connection *connection = end->connection;

	while (!connection->closing && connection->connected &&
	    !connection->silent && !connection->link->cut[end->direction]) {
		struct chunk *chunk = g_queue_peek_head(end->chunks);

		if (chunk == NULL)
			return;
		if (chunk->due_ms > uv_now(loop)) {
			uv_timer_start(&end->timer, on_due,
			    chunk->due_ms - uv_now(loop), 0);
			return;
		}
		g_queue_pop_head(end->chunks);
		if (chunk->len > 0) {
			send_chunk(end, chunk);
			continue;
		}
		g_free(chunk);
		connection_close(connection, false);
	}
}

static void
on_due(uv_timer_t *timer)
{
	struct connection *connection = timer->data;

	forward(&connection->ends[IN]);
	forward(&connection->ends[OUT]);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct end *end = (struct end *)handle;

	*buf = uv_buf_init(end->buffer, sizeof(end->buffer));
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct end *end = (struct end *)stream;
	struct chunk *chunk;
	size_t size = len > 0 ? (size_t)len : 0;

	if (len == 0)
		return;
	if (len < 0) {
		uv_read_stop(stream);
		end->connection->ended++;
	}
	if (end->connection->ended == DIRECTION_MAX) {
		connection_close(end->connection, false);
		return;
	}
	chunk = g_malloc0(sizeof(*chunk) + size);
	chunk->len = size;
	chunk->due_ms = uv_now(loop) + end->connection->link->delay_ms;
	if (size > 0)
		memcpy(chunk->bytes, buf->base, size);
	g_queue_push_tail(end->chunks, chunk);
	forward(end);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct connection *connection = connect->handle->data;

	if (connection->closing)
		return;
	if (status < 0) {
		connection_close(connection, true);
		return;
	}
	connection->connected = true;
	uv_read_start(
	    (uv_stream_t *)&connection->ends[OUT].tcp, on_alloc, on_read);
	forward(&connection->ends[IN]);
}

static struct connection *
connection_new(struct link *link)
{
	struct connection *connection = g_new0(struct connection, 1);
	int i;

	connection->link = link;
	for (i = 0; i < DIRECTION_MAX; i++) {
		struct end *end = &connection->ends[i];

		end->connection = connection;
		end->direction = (enum direction)i;
		end->chunks = g_queue_new();
		uv_tcp_init(loop, &end->tcp);
		uv_tcp_nodelay(&end->tcp, 1);
		uv_timer_init(loop, &end->timer);
		end->tcp.data = end->timer.data = connection;
		connection->open_handles += 2;
	}
	g_ptr_array_add(link->connections, connection);
	return connection;
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct link *link = listener->data;
	struct connection *connection = connection_new(link);

	if (status < 0 ||
	    uv_accept(listener, (uv_stream_t *)&connection->ends[IN].tcp) < 0 ||
	    uv_tcp_connect(&connection->connect, &connection->ends[OUT].tcp,
		(struct sockaddr *)&link->target, on_connected) < 0) {
		connection_close(connection, false);
		return;
	}
	uv_read_start(
	    (uv_stream_t *)&connection->ends[IN].tcp, on_alloc, on_read);
}

/* Forwards what was held, in all connections of a link. */
static void
forward_all(struct link *link)
{
	guint i;

	for (i = link->connections->len; i > 0; i--) {
		struct connection *connection = link->connections->pdata[i - 1];

		forward(&connection->ends[IN]);
		if (!connection->closing)
			forward(&connection->ends[OUT]);
	}
}

static void
set_cut(struct link *link, const char *cut)
{
	bool both = strcmp(cut, "both") == 0;

	link->cut[IN] = both || strcmp(cut, "in") == 0;
	link->cut[OUT] = both || strcmp(cut, "out") == 0;
	forward_all(link);
}

static void
set_faults(struct link *link, const cJSON *json)
{
	GPtrArray *open = link->connections;
	const cJSON *item;
	guint i;

	item = cJSON_GetObjectItemCaseSensitive(json, "delay_ms");
	if (cJSON_IsNumber(item))
		link->delay_ms = (unsigned)item->valuedouble;
	item = cJSON_GetObjectItemCaseSensitive(json, "cut");
	if (cJSON_IsString(item))
		set_cut(link, item->valuestring);
	item = cJSON_GetObjectItemCaseSensitive(json, "reset_one");
	if (cJSON_IsNumber(item) && open->len > 0)
		connection_close(
		    open->pdata[(guint)item->valuedouble % open->len], true);
	if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "reset"))) {
		while (open->len > 0)
			connection_close(open->pdata[0], true);
	}
	if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "silence"))) {
		for (i = 0; i < open->len; i++)
			((struct connection *)open->pdata[i])->silent = true;
	}
}

static void
on_request(struct mst_http_request *request, void *ctx)
{
	cJSON *json =
	    cJSON_ParseWithLength(request->body.data, request->body.len);
	char *path = mst_bytes_to_str(request->path);
	struct link *link = NULL;

	if (g_str_has_prefix(path, LINK_PREFIX))
		link = g_hash_table_lookup(links, path + strlen(LINK_PREFIX));
	if (link != NULL)
		set_faults(link, json);
	mst_http_respond(
	    httpd, request->id, link != NULL ? 204 : 404, NULL, 0, "", 0);
	g_free(path);
	cJSON_Delete(json);
}

static void
on_disconnect(uint64_t id, void *ctx)
{
}

static void
read_address(struct sockaddr_in *out, const char *text)
{
	char **parts = g_strsplit(text, ":", 2);

	if (parts[0] == NULL || parts[1] == NULL ||
	    uv_ip4_addr(parts[0], atoi(parts[1]), out) < 0) {
		fprintf(stderr, "not an address: %s\n", text);
		exit(2);
	}
	g_strfreev(parts);
}

static void
add_link(const char *name, const char *listen, const char *target)
{
	struct link *link = g_new0(struct link, 1);
	struct sockaddr_in address;

	read_address(&address, listen);
	read_address(&link->target, target);
	link->connections = g_ptr_array_new();
	link->listener.data = link;
	uv_tcp_init(loop, &link->listener);
	if (uv_tcp_bind(&link->listener, (struct sockaddr *)&address, 0) < 0 ||
	    uv_listen((uv_stream_t *)&link->listener, BACKLOG, on_connection) <
		0) {
		fprintf(stderr, "cannot listen at %s\n", listen);
		exit(1);
	}
	g_hash_table_insert(links, g_strdup(name), link);
}

static void
on_signal(uv_signal_t *signal, int number)
{
	exit(0);
}

int
main(int argc, char **argv)
{
	struct mst_httpd_options options = {.body_max_bytes = 1 << 16,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect};
	uv_signal_t sigterm;
	GError *error = NULL;
	int i;

	if (argc < 2) {
		fprintf(stderr,
		    "Usage: standin-proxy CONTROL [NAME LISTEN TARGET]...\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	options.loop = loop;
	options.listen = argv[1];
	links = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 2; i + 2 < argc; i += 3)
		add_link(argv[i], argv[i + 1], argv[i + 2]);
	if (mst_httpd_new(&httpd, &options, &error) < 0) {
		fprintf(stderr, "%s\n", error->message);
		return 1;
	}
	uv_signal_init(loop, &sigterm);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	return uv_run(loop, UV_RUN_DEFAULT);
}
