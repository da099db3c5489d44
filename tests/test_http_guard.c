/* Bounds of what the clients of an HTTP server make it hold, over loopback. */

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "net/http_guard.h"
#include "net/httpd.h"

#define CLIENTS      4
#define ANSWER_BYTES (8 * 1024 * 1024) /* more than the sockets take */
#define ROOM_BYTES   (64 * 1024)
#define BODY_BYTES   40000
#define STEPS        30 /* of the loop, which settles in fewer */
#define STEP_US      1000

struct fixture {
	uv_loop_t loop;
	struct http_guard *guard;
	struct mst_httpd *httpd;
	struct sockaddr_in address;
	int clients[CLIENTS];
	uint64_t requests[CLIENTS]; /* in the order of their arrival */
	unsigned request_count;
	uint32_t connections_kept; /* for other servers */
};

static void
on_request(struct mst_http_request *request, void *ctx)
{
	struct fixture *f = ctx;

	g_assert_cmpuint(f->request_count, <, CLIENTS);
	f->requests[f->request_count++] = request->id;
}

static void
on_disconnect(uint64_t id, void *ctx)
{
}

static int
find_free_port(void)
{
	struct sockaddr_in any = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(any);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&any, len), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&any, &len), ==, 0);
	close(fd);
	return ntohs(any.sin_port);
}

static void
setup(struct fixture *f, uint32_t connections_max)
{
	const struct http_guard_options guard_options = {.loop = &f->loop,
	    .bytes_max = ROOM_BYTES,
	    .connections_max = connections_max};
	char *listen = g_strdup_printf("127.0.0.1:%d", find_free_port());
	struct mst_httpd_options options = {.loop = &f->loop,
	    .listen = listen,
	    .body_max_bytes = ROOM_BYTES,
	    .connections_kept = f->connections_kept,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect,
	    .ctx = f};
	GError *error = NULL;

	uv_loop_init(&f->loop);
	f->guard = http_guard_new(&guard_options);
	options.guard = f->guard;
	mst_httpd_new(&f->httpd, &options, &error);
	g_assert_no_error(error);
	address_parse(&f->address, listen);
}

static void
run(struct fixture *f)
{
	int i;

	for (i = 0; i < STEPS; i++) {
		uv_run(&f->loop, UV_RUN_NOWAIT);
		g_usleep(STEP_US);
	}
}

static void
connect_client(struct fixture *f, int index, const char *input, size_t len)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&f->address, sizeof(f->address)), ==,
	    0);
	g_assert_cmpint(send(fd, input, len, 0), ==, (ssize_t)len);
	f->clients[index] = fd;
}

/* Sends a request with a body, of which only the first bytes are sent. */
static void
connect_with_body(struct fixture *f, int index, size_t sent)
{
	char *header = g_strdup_printf(
	    "POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", BODY_BYTES);
	GString *input = g_string_new(header);

	g_string_set_size(input, strlen(header) + sent);
	memset(input->str + strlen(header), ' ', sent);
	connect_client(f, index, input->str, input->len);
	g_string_free(input, TRUE);
	g_free(header);
}

static bool
is_closed(const struct fixture *f, int index)
{
	char byte;

	return recv(f->clients[index], &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
guard__answer_without_room_is_not_sent(void)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	struct fixture f = {0};
	char *answer = g_malloc0(ANSWER_BYTES);
	unsigned i;

	setup(&f, CLIENTS);
	for (i = 0; i < CLIENTS; i++)
		connect_client(&f, (int)i, request, strlen(request));
	run(&f);
	g_assert_cmpuint(f.request_count, ==, CLIENTS);
	for (i = 0; i < CLIENTS; i++)
		mst_http_respond(
		    f.httpd, f.requests[i], 200, NULL, 0, answer, ANSWER_BYTES);
	g_assert_cmpuint(http_guard_gauges(f.guard).bytes, ==, ANSWER_BYTES);
	run(&f);
	g_assert_cmpuint(http_guard_gauges(f.guard).connections, ==, 1);
	g_assert_cmpuint(http_guard_counters(f.guard)->cut[HTTP_CUT_ANSWER], ==,
	    CLIENTS - 1);
	g_free(answer);
}

static void
guard__large_request_waits_for_room(void)
{
	struct fixture f = {0};

	setup(&f, CLIENTS);
	connect_with_body(&f, 0, BODY_BYTES - 1);
	run(&f);
	connect_with_body(&f, 1, BODY_BYTES);
	run(&f);
	g_assert_cmpuint(http_guard_gauges(f.guard).paused, ==, 1);
	g_assert_cmpuint(f.request_count, ==, 0);
	g_assert_cmpint(send(f.clients[0], " ", 1, 0), ==, 1);
	run(&f);
	g_assert_cmpuint(f.request_count, ==, 1);
	mst_http_respond(f.httpd, f.requests[0], 200, NULL, 0, "{}", 2);
	run(&f);
	g_assert_cmpuint(f.request_count, ==, 2);
	g_assert_cmpuint(http_guard_gauges(f.guard).paused, ==, 0);
}

static void
guard__small_request_is_read_without_room(void)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	struct fixture f = {0};

	setup(&f, CLIENTS);
	connect_with_body(&f, 0, BODY_BYTES - 1);
	connect_with_body(&f, 1, BODY_BYTES - 1);
	run(&f);
	connect_client(&f, 2, request, strlen(request));
	run(&f);
	g_assert_cmpuint(f.request_count, ==, 1);
}

static void
guard__connection_with_request_is_kept(void)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	struct fixture f = {0};

	setup(&f, 2);
	connect_client(&f, 0, request, strlen(request));
	run(&f);
	connect_client(&f, 1, "", 0);
	run(&f);
	connect_client(&f, 2, request, strlen(request));
	run(&f);
	g_assert_false(is_closed(&f, 0));
	g_assert_true(is_closed(&f, 1));
	g_assert_cmpuint(f.request_count, ==, 2);
	connect_client(&f, 3, request, strlen(request));
	run(&f);
	g_assert_cmpuint(http_guard_counters(f.guard)->refused, ==, 1);
	g_assert_cmpuint(f.request_count, ==, 2);
}

static void
guard__connections_are_kept_for_other_servers(void)
{
	static const char request[] = "GET / HTTP/1.1\r\n\r\n";
	struct fixture f = {0};
	struct http_guard_server other = {.body_max = BODY_BYTES};
	int i;

	f.connections_kept = 1;
	setup(&f, 3);
	for (i = 0; i < 3; i++)
		connect_client(&f, i, request, strlen(request));
	run(&f);
	g_assert_cmpuint(f.request_count, ==, 2);
	g_assert_true(http_guard_make_room(f.guard, &other));
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/http-guard/answer", guard__answer_without_room_is_not_sent);
	g_test_add_func(
	    "/http-guard/large", guard__large_request_waits_for_room);
	g_test_add_func(
	    "/http-guard/small", guard__small_request_is_read_without_room);
	g_test_add_func(
	    "/http-guard/kept", guard__connection_with_request_is_kept);
	g_test_add_func("/http-guard/other-servers",
	    guard__connections_are_kept_for_other_servers);
	return g_test_run();
}
