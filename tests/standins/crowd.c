/*
 * Stand-in for clients that don't behave. It opens many connections, sends the
 * same unfinished or excessive input over each, reads no more than it must, and
 * keeps them open. Once no connection has made progress for SETTLE_MS it prints
 * "settled open=N closed=N", and ends after a SIGTERM.
 *
 * Usage: standin-crowd KIND CONNECTIONS BYTES ADDRESS HOST PATH
 *
 * KIND       announced  a body of BYTES bytes that stops STOP_SHORT bytes short
 *            chunked    a chunked body of BYTES bytes that does not end
 *            expect     as announced, after "Expect: 100-continue"
 *            http2      HTTP/2, HTTP2_STREAMS bodies of BYTES bytes, unended
 *            header     a header of BYTES bytes that does not end
 *            idle       nothing
 *            unread     a request for PATH, whose answer is not read
 */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "base/address.h"

#define SETTLE_MS         1000
#define TICK_MS           100
#define STOP_SHORT        100
#define CHUNK_BYTES       16384
#define RECEIVE_BYTES     4096 /* of the socket, where answers are not read */
#define HTTP2_STREAMS     60   /* of a connection */
#define HTTP2_HEADERS     1
#define HTTP2_DATA        0
#define HTTP2_SETTINGS    4
#define HTTP2_END_HEADERS 4
#define HTTP2_PREFACE     "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

struct client {
	uv_tcp_t tcp; /* first member; cast to and from the structure */
	uv_connect_t connect;
	uv_write_t write;
	size_t queued; /* bytes not written at the last tick */
};

static const char *kind;
static GString *input; /* that each client sends */
static struct client *clients;
static unsigned client_count;
static unsigned started;
static unsigned open_count;
static unsigned closed_count;
static bool progress; /* since the last tick */
static unsigned still_ms;
static bool settled;
static struct sockaddr_in address;

static void start_next(void);

static bool
is_kind(const char *name)
{
	return strcmp(kind, name) == 0;
}

static void
on_closed(uv_handle_t *handle)
{
	open_count--;
	closed_count++;
	progress = true;
}

static void
close_client(struct client *client)
{
	if (!uv_is_closing((uv_handle_t *)&client->tcp))
		uv_close((uv_handle_t *)&client->tcp, on_closed);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char scratch[65536];

	*buf = uv_buf_init(scratch, sizeof(scratch));
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	if (len < 0)
		close_client((struct client *)stream);
}

static void
on_written(uv_write_t *write, int status)
{
	progress = true;
	if (status != 0)
		close_client((struct client *)write->handle);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	struct client *client = (struct client *)connect->handle;
	uv_buf_t buf = uv_buf_init(input->str, (unsigned)input->len);

	progress = true;
	start_next();
	if (status != 0) {
		close_client(client);
		return;
	}
	if (!is_kind("unread"))
		uv_read_start((uv_stream_t *)&client->tcp, on_alloc, on_read);
	if (input->len > 0)
		uv_write(&client->write, (uv_stream_t *)&client->tcp, &buf, 1,
		    on_written);
}

static void
start_next(void)
{
	struct client *client;
	int receive_bytes = RECEIVE_BYTES;

	if (started >= client_count)
		return;
	client = &clients[started++];
	open_count++;
	uv_tcp_init_ex(uv_default_loop(), &client->tcp, AF_INET);
	if (is_kind("unread"))
		uv_recv_buffer_size(
		    (uv_handle_t *)&client->tcp, &receive_bytes);
	if (uv_tcp_connect(&client->connect, &client->tcp,
		(const struct sockaddr *)&address, on_connected) != 0)
		close_client(client);
}

/* Notes whether a part of any client's input has been written. */
static void
check_written(void)
{
	unsigned i;

	for (i = 0; i < started; i++) {
		size_t queued = uv_stream_get_write_queue_size(
		    (uv_stream_t *)&clients[i].tcp);

		if (queued != clients[i].queued)
			progress = true;
		clients[i].queued = queued;
	}
}

static void
on_tick(uv_timer_t *timer)
{
	check_written();
	still_ms = progress ? 0 : still_ms + TICK_MS;
	progress = false;
	if (settled || still_ms < SETTLE_MS)
		return;
	settled = true;
	printf("settled open=%u closed=%u\n", open_count, closed_count);
	fflush(stdout);
}

static void
on_signal(uv_signal_t *signal, int number)
{
	printf("ended open=%u closed=%u\n", open_count, closed_count);
	fflush(stdout);
	exit(0);
}

static void
append_request(const char *method, const char *host, const char *path)
{
	g_string_append_printf(
	    input, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host);
}

static void
append_filler(size_t len)
{
	size_t end = input->len;

	g_string_set_size(input, end + len);
	memset(input->str + end, ' ', len);
}

static void
make_announced(size_t bytes)
{
	g_string_append_printf(input, "Content-Length: %zu\r\n%s\r\n", bytes,
	    is_kind("expect") ? "Expect: 100-continue\r\n" : "");
	append_filler(bytes - STOP_SHORT);
}

static void
make_chunked(size_t bytes)
{
	size_t len;

	g_string_append(input, "Transfer-Encoding: chunked\r\n\r\n");
	for (; bytes > 0; bytes -= len) {
		len = MIN(bytes, CHUNK_BYTES);
		g_string_append_printf(input, "%zx\r\n", len);
		append_filler(len);
		g_string_append(input, "\r\n");
	}
}

static void
make_header(size_t bytes)
{
	size_t end = input->len + bytes;

	while (input->len < end)
		g_string_append(input, "x-filler: 0123456789abcdef\r\n");
}

static void
append_frame(unsigned type, unsigned flags, unsigned stream, const char *data,
    size_t len)
{
	const char header[] = {(char)(len >> 16), (char)(len >> 8), (char)len,
	    (char)type, (char)flags, (char)(stream >> 24), (char)(stream >> 16),
	    (char)(stream >> 8), (char)stream};

	g_string_append_len(input, header, sizeof(header));
	g_string_append_len(input, data, (gssize)len);
}

/* Header block of a POST: indexed method and scheme, literal path and
 * authority. */
static GString *
make_header_block(const char *host, const char *path)
{
	GString *block = g_string_new("\x83\x86");

	g_string_append_c(block, 0x04);
	g_string_append_c(block, (char)strlen(path));
	g_string_append(block, path);
	g_string_append_c(block, 0x01);
	g_string_append_c(block, (char)strlen(host));
	g_string_append(block, host);
	return block;
}

static void
make_http2(const char *host, const char *path, size_t bytes)
{
	GString *block = make_header_block(host, path);
	char *filler = g_malloc0(CHUNK_BYTES);
	unsigned stream;
	size_t sent;

	g_string_append(input, HTTP2_PREFACE);
	append_frame(HTTP2_SETTINGS, 0, 0, "", 0);
	for (stream = 0; stream < HTTP2_STREAMS; stream++) {
		append_frame(HTTP2_HEADERS, HTTP2_END_HEADERS, stream * 2 + 1,
		    block->str, block->len);
		for (sent = 0; sent < bytes; sent += CHUNK_BYTES)
			append_frame(HTTP2_DATA, 0, stream * 2 + 1, filler,
			    MIN(CHUNK_BYTES, bytes - sent));
	}
	g_string_free(block, TRUE);
	g_free(filler);
}

static void
make_input(const char *host, const char *path, size_t bytes)
{
	input = g_string_new(NULL);
	if (is_kind("idle"))
		return;
	if (is_kind("http2")) {
		make_http2(host, path, bytes);
		return;
	}
	append_request(is_kind("unread") ? "GET" : "POST", host, path);
	if (is_kind("unread"))
		g_string_append(input, "\r\n");
	else if (is_kind("chunked"))
		make_chunked(bytes);
	else if (is_kind("header"))
		make_header(bytes);
	else
		make_announced(bytes);
}

int
main(int argc, char **argv)
{
	uv_timer_t timer;
	uv_signal_t sigterm;

	if (argc != 7 || !address_parse(&address, argv[4])) {
		fprintf(stderr,
		    "Usage: standin-crowd KIND CONNECTIONS BYTES "
		    "ADDRESS HOST PATH\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	kind = argv[1];
	client_count = (unsigned)strtoul(argv[2], NULL, 10);
	clients = g_new0(struct client, client_count);
	make_input(argv[5], argv[6], strtoul(argv[3], NULL, 10));
	uv_timer_init(uv_default_loop(), &timer);
	uv_timer_start(&timer, on_tick, TICK_MS, TICK_MS);
	uv_signal_init(uv_default_loop(), &sigterm);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	start_next();
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
