/* The HTTP client against a server that closes connections. */

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "net/http_client.h"

#define CALLS        2
#define TIMEOUT_MS   2000
#define SILENT_MS    100 /* timeout of a call that is not answered */
#define WAITING_PATH "waiting"
#define SHORT_MS     50   /* timeout of a call that waits for that one */
#define FROZEN_MS    1200 /* of this process */

/* Answers the first request of the first connection and closes connections at
 * every further one. */
struct server {
	uv_tcp_t listener;
	uv_tcp_t connections[CALLS + 1];
	unsigned connection_count;
	unsigned requests;
	unsigned waiting_requests; /* those of WAITING_PATH */
	char buffer[4096];
	bool is_silent; /* answers nothing */
};

struct fixture {
	uv_loop_t loop;
	struct server server;
	struct mst_http_client *client;
	char url[64];
	int statuses[CALLS];
	unsigned done;
	bool closes_listener; /* before the second call */
	bool ends_after_first;
	int waiting_status; /* of a call that waits for a connection */
};

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct server *server = handle->data;

	*buf = uv_buf_init(server->buffer, sizeof(server->buffer));
}

static void
on_written(uv_write_t *request, int status)
{
	g_free(request);
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buf)
{
	static char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	struct server *server = stream->data;
	uv_buf_t out = uv_buf_init(answer, sizeof(answer) - 1);

	if (length <= 0)
		return;
	server->requests++;
	if (g_strstr_len(server->buffer, length, WAITING_PATH) != NULL)
		server->waiting_requests++;
	if (server->is_silent)
		return;
	if (server->requests == 1)
		uv_write(g_new0(uv_write_t, 1), stream, &out, 1, on_written);
	else if (!uv_is_closing((uv_handle_t *)stream))
		uv_close((uv_handle_t *)stream, NULL);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct server *server = listener->data;
	uv_tcp_t *connection;

	g_assert_cmpuint(server->connection_count, <=, CALLS);
	connection = &server->connections[server->connection_count++];
	uv_tcp_init(listener->loop, connection);
	connection->data = server;
	uv_accept(listener, (uv_stream_t *)connection);
	uv_read_start((uv_stream_t *)connection, on_alloc, on_read);
}

static void
start_server(struct fixture *fixture)
{
	struct server *server = &fixture->server;
	struct sockaddr_in address;
	int length = sizeof(address);

	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_tcp_init(&fixture->loop, &server->listener);
	server->listener.data = server;
	g_assert_cmpint(uv_tcp_bind(&server->listener,
			    (const struct sockaddr *)&address, 0),
	    ==, 0);
	g_assert_cmpint(
	    uv_listen((uv_stream_t *)&server->listener, CALLS, on_connection),
	    ==, 0);
	uv_tcp_getsockname(
	    &server->listener, (struct sockaddr *)&address, &length);
	g_snprintf(fixture->url, sizeof(fixture->url), "http://127.0.0.1:%d/",
	    g_ntohs(address.sin_port));
}

static void send_call(struct fixture *fixture);

static void
on_done(int status, const char *body, size_t len, void *ctx)
{
	struct fixture *fixture = ctx;

	fixture->statuses[fixture->done++] = status;
	if (fixture->done == CALLS || fixture->ends_after_first) {
		uv_stop(&fixture->loop);
		return;
	}
	if (fixture->closes_listener)
		uv_close((uv_handle_t *)&fixture->server.listener, NULL);
	send_call(fixture);
}

static void
send_call(struct fixture *fixture)
{
	const struct mst_http_call call = {.url = fixture->url,
	    .method = "POST",
	    .body = "{}",
	    .timeout_ms = fixture->server.is_silent ? SILENT_MS : TIMEOUT_MS,
	    .on_done = on_done,
	    .ctx = fixture};

	mst_http_client_send(fixture->client, &call);
}

static void
on_waiting_done(int status, const char *body, size_t len, void *ctx)
{
	struct fixture *fixture = ctx;

	fixture->waiting_status = status;
	uv_stop(&fixture->loop);
}

/* Sends a call while the only connection is in use; libcurl lets it wait until
 * that is free, and its time is over then. */
static void
send_waiting_call(struct fixture *fixture)
{
	char *url = g_strconcat(fixture->url, WAITING_PATH, NULL);
	const struct mst_http_call call = {.url = url,
	    .method = "POST",
	    .timeout_ms = SHORT_MS,
	    .on_done = on_waiting_done,
	    .ctx = fixture};

	mst_http_client_send(fixture->client, &call);
	g_free(url);
}

static void
on_walk(uv_handle_t *handle, void *ctx)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void
fixture_init(struct fixture *fixture)
{
	uv_loop_init(&fixture->loop);
	start_server(fixture);
	fixture->client = mst_http_client_new(&fixture->loop, 1);
}

static void
fixture_clear(struct fixture *fixture)
{
	mst_http_client_close(fixture->client);
	uv_run(&fixture->loop, UV_RUN_NOWAIT);
	uv_walk(&fixture->loop, on_walk, NULL);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	g_assert_cmpint(uv_loop_close(&fixture->loop), ==, 0);
}

/* Guards against an order that never left this host and counts as one that may
 * still be executed. */
static void
http_client__unsent_request_is_told(void)
{
	struct fixture fixture = {.server = {.is_silent = true}};

	fixture_init(&fixture);
	send_call(&fixture);
	send_waiting_call(&fixture);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	g_assert_cmpint(fixture.waiting_status, ==, MST_HTTP_NOT_SENT);
	g_assert_cmpuint(fixture.server.waiting_requests, ==, 0);
	fixture_clear(&fixture);
}

/* Guards against an order that leaves this host long after it was given,
 * because the process was frozen in between: its time is over, and whoever has
 * given it up must be sure that it is not executed. */
static void
http_client__request_is_not_sent_after_its_time(gconstpointer is_reused)
{
	struct fixture fixture = {0};

	fixture_init(&fixture);
	if (GPOINTER_TO_INT(is_reused)) {
		fixture.ends_after_first = true;
		send_call(&fixture);
		uv_run(&fixture.loop, UV_RUN_DEFAULT);
		g_assert_cmpint(fixture.statuses[0], ==, 200);
	}
	send_waiting_call(&fixture);
	g_usleep(FROZEN_MS * 1000);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	g_assert_cmpint(fixture.waiting_status, ==, MST_HTTP_NOT_SENT);
	g_assert_cmpuint(fixture.server.waiting_requests, ==, 0);
	fixture_clear(&fixture);
}

/* Guards against a request that is sent twice as if it were one: its first copy
 * may have been executed, whatever becomes of the second. */
static void
http_client__request_is_sent_once(gconstpointer closes_listener)
{
	struct fixture fixture = {
	    .closes_listener = GPOINTER_TO_INT(closes_listener)};

	fixture_init(&fixture);
	send_call(&fixture);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	g_assert_cmpint(fixture.statuses[0], ==, 200);
	g_assert_cmpint(fixture.statuses[1], ==, MST_HTTP_NO_RESPONSE);
	g_assert_cmpuint(fixture.server.requests, ==, CALLS);
	fixture_clear(&fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/http-client/reset", GINT_TO_POINTER(false),
	    http_client__request_is_sent_once);
	g_test_add_data_func("/http-client/reset-then-refused",
	    GINT_TO_POINTER(true), http_client__request_is_sent_once);
	g_test_add_func(
	    "/http-client/unsent", http_client__unsent_request_is_told);
	g_test_add_data_func("/http-client/frozen", GINT_TO_POINTER(false),
	    http_client__request_is_not_sent_after_its_time);
	g_test_add_data_func("/http-client/frozen-connected",
	    GINT_TO_POINTER(true),
	    http_client__request_is_not_sent_after_its_time);
	return g_test_run();
}
