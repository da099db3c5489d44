#include "net/httpd.h"

#include <errno.h>
#include <h2o.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "base/address.h"
#include "net/http_guard.h"

G_DEFINE_QUARK(mst_httpd_error, mst_httpd_error)

#define HTTPD_BACKLOG 1024
/* h2o's own limit for a request; those of the guard are lower. */
#define HTTPD_REQ_TIMEOUT_MS (3600 * 1000)
/* Buffer for input of a connection's socket. What is not read waits there and
 * at the sender. */
#define HTTPD_RECEIVE_BYTES (64 * 1024)
/* A body that is longer than allowed by no more than this is read to its end,
 * so that its sender gets the answer. */
#define HTTPD_BODY_EXCESS_BYTES (64 * 1024)
/* Bounds of a server without a guard. */
#define HTTPD_INPUT_MAX_BYTES (UINT64_C(1) << 30)
#define HTTPD_CONNECTIONS_MAX 65536
/* Limit for idle connections once a server is shut down. */
#define HTTPD_SHUTDOWN_IDLE_MS 10000
/* Interval of the checks for disconnected callers. */
#define HTTPD_DISCONNECT_CHECK_MS 20

/* Handler of all paths. */
struct handler {
	h2o_handler_t super;
	struct mst_httpd *httpd;
};

struct mst_httpd {
	struct mst_httpd_options options;
	struct http_guard_server server;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	uv_timer_t disconnect_timer;
	bool closed;
	uint64_t next_id;
	GHashTable *pending; /* request id -> struct exchange */
	GArray *polled;      /* struct pollfd; scratch of the check */
	GArray *polled_ids;  /* uint64_t; their requests */
};

/* A request and its state; allocated in h2o's memory pool of the request. */
struct exchange {
	struct mst_http_request request;
	struct mst_httpd *httpd;
	struct http_conn *conn;
	h2o_req_t *req;
	bool responded;
};

/* Reports the disconnect if h2o releases a request that has no response yet. */
static void
exchange_dispose(void *data)
{
	struct exchange *exchange = data;
	struct mst_httpd *httpd = exchange->httpd;

	http_conn_end(exchange->conn);
	if (exchange->responded)
		return;
	g_hash_table_remove(httpd->pending, (gpointer)exchange->request.id);
	httpd->options.on_disconnect(exchange->request.id, httpd->options.ctx);
}

static struct mst_bytes
iovec_to_bytes(h2o_iovec_t iov)
{
	return (struct mst_bytes){.data = iov.base, .len = iov.len};
}

static int
on_req(h2o_handler_t *super, h2o_req_t *req)
{
	struct mst_httpd *httpd = ((struct handler *)super)->httpd;
	struct exchange *exchange = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*exchange), exchange_dispose);
	struct mst_http_request *request = &exchange->request;

	*exchange = (struct exchange){.httpd = httpd,
	    .conn = http_conn_from_socket(
		req->conn->callbacks->get_socket(req->conn)),
	    .req = req};
	http_conn_begin(exchange->conn);
	request->id = ++httpd->next_id;
	request->internal = exchange;
	request->method = iovec_to_bytes(req->method);
	request->host = iovec_to_bytes(req->input.authority);
	request->path = iovec_to_bytes(req->path);
	if (req->query_at != SIZE_MAX) {
		request->path.len = req->query_at;
		request->query = (struct mst_bytes){
		    .data = req->path.base + req->query_at + 1,
		    .len = req->path.len - req->query_at - 1};
	}
	request->body = iovec_to_bytes(req->entity);
	g_hash_table_insert(httpd->pending, (gpointer)request->id, exchange);
	if (request->body.len > httpd->server.body_max)
		mst_http_respond(httpd, request->id, 413, NULL, 0, "", 0);
	else
		httpd->options.on_request(request, httpd->options.ctx);
	return 0;
}

static void
on_client_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct mst_httpd *httpd = listener->data;
	uv_tcp_t *client;
	h2o_socket_t *sock;

	if (status != 0)
		return;
	client = g_new0(uv_tcp_t, 1);
	uv_tcp_init(listener->loop, client);
	if (uv_accept(listener, (uv_stream_t *)client) != 0 ||
	    !http_guard_make_room(httpd->options.guard, &httpd->server)) {
		uv_close((uv_handle_t *)client, on_client_closed);
		return;
	}
	uv_tcp_nodelay(client, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)client, (uv_close_cb)g_free);
	h2o_accept(&httpd->accept, sock);
	http_guard_watch(
	    httpd->options.guard, sock, (uv_stream_t *)client, &httpd->server);
}

/* Polls the connections of all pending requests. Returns whether any has input
 * or has been closed. */
static bool
poll_connections(struct mst_httpd *httpd)
{
	GHashTableIter iter;
	gpointer key, value;

	g_array_set_size(httpd->polled, 0);
	g_array_set_size(httpd->polled_ids, 0);
	g_hash_table_iter_init(&iter, httpd->pending);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct exchange *exchange = value;
		h2o_conn_t *conn = exchange->req->conn;
		h2o_socket_t *sock = conn->callbacks->get_socket(conn);
		struct pollfd polled = {.events = POLLIN};

		if (sock == NULL)
			continue;
		polled.fd = h2o_socket_get_fd(sock);
		g_array_append_val(httpd->polled, polled);
		g_array_append_val(httpd->polled_ids, exchange->request.id);
	}
	return httpd->polled->len > 0 &&
	    poll((struct pollfd *)httpd->polled->data, httpd->polled->len, 0) >
	    0;
}

/* Returns whether a connection that has input or an error is closed. */
static bool
is_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/*
 * Reports the callers that have disconnected and releases their requests. h2o
 * doesn't read from a connection while a request is being processed, so it
 * doesn't notice that by itself.
 */
static void
on_disconnect_check(uv_timer_t *timer)
{
	struct mst_httpd *httpd = timer->data;
	guint i;

	http_guard_tick(httpd->options.guard);
	if (!poll_connections(httpd))
		return;
	for (i = 0; i < httpd->polled->len; i++) {
		const struct pollfd *polled =
		    &g_array_index(httpd->polled, struct pollfd, i);
		uint64_t id = g_array_index(httpd->polled_ids, uint64_t, i);

		if (polled->revents == 0 || !is_closed(polled->fd))
			continue;
		httpd->options.on_disconnect(id, httpd->options.ctx);
		/* No one receives this; it makes h2o close the connection. */
		mst_http_respond(httpd, id, 503, NULL, 0, "", 0);
	}
}

static int
httpd_listen(struct mst_httpd *httpd, GError **error)
{
	const char *text = httpd->options.listen;
	int receive_bytes = HTTPD_RECEIVE_BYTES;
	struct sockaddr_in address;
	int rc;

	address_parse(&address, text);
	uv_tcp_init(httpd->options.loop, &httpd->listener);
	uv_timer_init(httpd->options.loop, &httpd->disconnect_timer);
	httpd->disconnect_timer.data = httpd;
	uv_timer_start(&httpd->disconnect_timer, on_disconnect_check,
	    HTTPD_DISCONNECT_CHECK_MS, HTTPD_DISCONNECT_CHECK_MS);
	httpd->listener.data = httpd;
	rc =
	    uv_tcp_bind(&httpd->listener, (const struct sockaddr *)&address, 0);
	/* The connections inherit it. */
	if (rc == 0)
		uv_recv_buffer_size(
		    (uv_handle_t *)&httpd->listener, &receive_bytes);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&httpd->listener, HTTPD_BACKLOG,
		    on_connection);
	if (rc != 0)
		g_set_error(error, MST_HTTPD_ERROR, MST_HTTPD_ERROR_LISTEN,
		    "%s: %s", text, uv_strerror(rc));
	return rc == 0 ? 0 : -1;
}

void
mst_httpd_set_body_max(struct mst_httpd *httpd, size_t bytes)
{
	httpd->server.body_max = bytes;
	httpd->config.max_request_entity_size = bytes + HTTPD_BODY_EXCESS_BYTES;
}

int
mst_httpd_new(struct mst_httpd **out, const struct mst_httpd_options *options,
    GError **error)
{
	struct mst_httpd *httpd = g_new0(struct mst_httpd, 1);
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;
	const struct http_guard_options guard_options = {.loop = options->loop,
	    .bytes_max = HTTPD_INPUT_MAX_BYTES,
	    .connections_max = HTTPD_CONNECTIONS_MAX};

	httpd->options = *options;
	if (options->guard == NULL)
		httpd->options.guard = http_guard_new(&guard_options);
	httpd->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
	httpd->polled = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
	httpd->polled_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	h2o_config_init(&httpd->config);
	httpd->server.header_names = options->header_names;
	httpd->server.connections_kept = options->connections_kept;
	mst_httpd_set_body_max(httpd, options->body_max_bytes);
	httpd->config.http1.req_timeout = HTTPD_REQ_TIMEOUT_MS;
	/* Only HTTP/1.1 is promised. */
	httpd->config.http1.upgrade_to_http2 = 0;
	httpd->config.server_name = h2o_iovec_init(H2O_STRLIT("masticstall"));
	host = h2o_config_register_host(
	    &httpd->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler =
	    (struct handler *)h2o_create_handler(path, sizeof(struct handler));
	handler->super.on_req = on_req;
	handler->httpd = httpd;
	h2o_context_init(&httpd->context, options->loop, &httpd->config);
	httpd->accept.ctx = &httpd->context;
	httpd->accept.hosts = httpd->config.hosts;
	*out = httpd;
	return httpd_listen(httpd, error);
}

struct mst_bytes
mst_http_header(const struct mst_http_request *request, const char *name)
{
	const struct exchange *exchange = request->internal;
	ssize_t index;

	if (exchange == NULL)
		return (struct mst_bytes){0};
	index = h2o_find_header_by_str(
	    &exchange->req->headers, name, strlen(name), -1);
	if (index < 0)
		return (struct mst_bytes){0};
	return iovec_to_bytes(exchange->req->headers.entries[index].value);
}

bool
mst_http_respond(struct mst_httpd *httpd, uint64_t id, int status,
    const struct mst_http_header *headers, size_t count, const char *body,
    size_t len)
{
	struct exchange *exchange =
	    g_hash_table_lookup(httpd->pending, (gpointer)id);
	h2o_req_t *req;
	size_t i;

	if (exchange == NULL)
		return false;
	req = exchange->req;
	exchange->responded = true;
	if (!http_conn_answer(exchange->conn, len)) {
		count = len = 0;
		req->http1_is_persistent = 0;
	}
	g_hash_table_remove(httpd->pending, (gpointer)id);
	req->res.status = status;
	req->res.reason = "";
	for (i = 0; i < count; i++) {
		if (strcmp(headers[i].name, "connection") == 0) {
			req->http1_is_persistent = 0;
			continue;
		}
		h2o_iovec_t value = h2o_strdup(
		    &req->pool, headers[i].value, strlen(headers[i].value));

		h2o_add_header_by_str(&req->pool, &req->res.headers,
		    headers[i].name, strlen(headers[i].name), 1, NULL,
		    value.base, value.len);
	}
	h2o_send_inline(req, body, len);
	return true;
}

void
mst_httpd_shutdown(struct mst_httpd *httpd)
{
	if (httpd->closed)
		return;
	httpd->closed = true;
	uv_close((uv_handle_t *)&httpd->listener, NULL);
	uv_unref((uv_handle_t *)&httpd->disconnect_timer);
	http_guard_set_times(httpd->options.guard, HTTPD_SHUTDOWN_IDLE_MS,
	    HTTPD_SHUTDOWN_IDLE_MS);
	h2o_context_request_shutdown(&httpd->context);
}
