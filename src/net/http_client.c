#include "net/http_client.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdbool.h>
#include <string.h>

#include "base/clock.h"

#define IDLE_HANDLES_MAX       16  /* idle CURL handles */
#define CACHED_CONNECTIONS_MAX 64L /* open connections in libcurl's cache */
/* Least time after which a call is not sent any more. libcurl counts the
 * timeout from when it begins with a call, which is later if the process was
 * frozen. It is less than the margin for orders that are held up on their way.
 */
#define SEND_TIME_MIN_MS 1000
/* A longer response counts as none. */
#define RESPONSE_MAX_BYTES (16 << 20)

/* A call in flight. */
struct transfer {
	struct mst_http_client *client;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *body;
	mst_http_call_cb on_done;
	void *ctx;
	bool counts_sends;
	int64_t send_by_us; /* the request is not sent later */
	unsigned sends;     /* times that the request was about to be sent */
};

/* The poll handle of one of libcurl's sockets. */
struct socket_poll {
	uv_poll_t poll;
	struct mst_http_client *client;
	curl_socket_t fd;
};

struct mst_http_client {
	uv_loop_t *loop;
	uv_timer_t timer;
	CURLM *multi;
	GHashTable *transfers;   /* set of struct transfer */
	GPtrArray *idle_handles; /* CURL handles to be reused */
};

/* Releases a transfer; its CURL handle is kept for reuse if there is room. */
static void
transfer_free(struct transfer *transfer)
{
	struct mst_http_client *client = transfer->client;

	curl_multi_remove_handle(client->multi, transfer->easy);
	if (client->idle_handles->len < IDLE_HANDLES_MAX)
		g_ptr_array_add(client->idle_handles, transfer->easy);
	else
		curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	g_byte_array_unref(transfer->body);
	g_free(transfer);
}

/* Returns the HTTP status, or what is passed in place of one. */
static int
transfer_status(const struct transfer *transfer, CURLcode result)
{
	long value = 0;

	if (result == CURLE_OK) {
		curl_easy_getinfo(
		    transfer->easy, CURLINFO_RESPONSE_CODE, &value);
		return (int)value;
	}
	curl_easy_getinfo(transfer->easy, CURLINFO_OS_ERRNO, &value);
	if (result == CURLE_COULDNT_CONNECT && value == ECONNREFUSED &&
	    transfer->sends == 0)
		return MST_HTTP_CONN_REFUSED;
	if (transfer->counts_sends && transfer->sends == 0)
		return MST_HTTP_NOT_SENT;
	return MST_HTTP_NO_RESPONSE;
}

static void
transfer_finish(struct mst_http_client *client, const CURLMsg *message)
{
	struct transfer *transfer = NULL;
	int status;

	curl_easy_getinfo(
	    message->easy_handle, CURLINFO_PRIVATE, (char **)&transfer);
	status = transfer_status(transfer, message->data.result);
	g_hash_table_remove(client->transfers, transfer);
	g_byte_array_append(transfer->body, (const guint8 *)"", 1);
	transfer->on_done(status, (const char *)transfer->body->data,
	    transfer->body->len - 1, transfer->ctx);
	transfer_free(transfer);
}

/* Lets libcurl handle events of a socket or its timer, and finishes the
 * transfers that have ended. */
static void
client_handle_events(
    struct mst_http_client *client, curl_socket_t fd, int flags)
{
	const CURLMsg *message;
	int running, remaining;

	curl_multi_socket_action(client->multi, fd, flags, &running);
	while ((message = curl_multi_info_read(client->multi, &remaining))) {
		if (message->msg == CURLMSG_DONE)
			transfer_finish(client, message);
	}
}

static void
on_timer(uv_timer_t *timer)
{
	client_handle_events(timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_curl_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct mst_http_client *client = ctx;

	if (timeout_ms < 0)
		uv_timer_stop(&client->timer);
	else
		uv_timer_start(&client->timer, on_timer,
		    timeout_ms > 0 ? (uint64_t)timeout_ms : 1, 0);
	return 0;
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	struct socket_poll *socket_poll = (struct socket_poll *)poll;
	int flags = 0;

	if (status < 0)
		flags |= CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	client_handle_events(socket_poll->client, socket_poll->fd, flags);
}

static void
on_socket_poll_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static int
on_curl_socket(CURL *easy, curl_socket_t fd, int action, void *ctx, void *data)
{
	struct mst_http_client *client = ctx;
	struct socket_poll *socket_poll = data;
	int events = 0;

	if (action == CURL_POLL_REMOVE) {
		if (socket_poll != NULL) {
			uv_poll_stop(&socket_poll->poll);
			uv_close((uv_handle_t *)&socket_poll->poll,
			    on_socket_poll_closed);
			curl_multi_assign(client->multi, fd, NULL);
		}
		return 0;
	}
	if (socket_poll == NULL) {
		socket_poll = g_new0(struct socket_poll, 1);
		socket_poll->client = client;
		socket_poll->fd = fd;
		uv_poll_init_socket(client->loop, &socket_poll->poll, fd);
		curl_multi_assign(client->multi, fd, socket_poll);
	}
	if (action != CURL_POLL_IN)
		events |= UV_WRITABLE;
	if (action != CURL_POLL_OUT)
		events |= UV_READABLE;
	uv_poll_start(&socket_poll->poll, events, on_poll);
	return 0;
}

struct mst_http_client *
mst_http_client_new(uv_loop_t *loop, unsigned connections)
{
	struct mst_http_client *client = g_new0(struct mst_http_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->loop = loop;
	client->transfers = g_hash_table_new(g_direct_hash, g_direct_equal);
	client->idle_handles =
	    g_ptr_array_new_with_free_func(curl_easy_cleanup);
	uv_timer_init(loop, &client->timer);
	client->timer.data = client;
	client->multi = curl_multi_init();
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)connections);
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
	curl_multi_setopt(
	    client->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	return client;
}

static void
on_client_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void
mst_http_client_close(struct mst_http_client *client)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, client->transfers);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		transfer_free(key);
	g_hash_table_unref(client->transfers);
	g_ptr_array_unref(client->idle_handles);
	curl_multi_cleanup(client->multi);
	uv_close((uv_handle_t *)&client->timer, on_client_closed);
}

static size_t
on_curl_data(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *transfer = ctx;

	if (size * count > RESPONSE_MAX_BYTES - transfer->body->len)
		return 0; /* ends the transfer */
	g_byte_array_append(
	    transfer->body, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

/* Returns an idle CURL handle, or a new one. */
static CURL *
easy_acquire(struct mst_http_client *client)
{
	CURL *easy;

	if (client->idle_handles->len == 0)
		return curl_easy_init();
	easy = client->idle_handles->pdata[client->idle_handles->len - 1];
	client->idle_handles->pdata[client->idle_handles->len - 1] = NULL;
	g_ptr_array_set_size(
	    client->idle_handles, (gint)client->idle_handles->len - 1);
	curl_easy_reset(easy);
	return easy;
}

/* Called before a request is sent. One that is too old is not. libcurl sends it
 * again by itself if a reused connection closes without an answer; the first
 * one may have been executed, so the call ends without a response instead. */
static int
on_curl_request(
    void *ctx, char *remote, char *local, int remote_port, int local_port)
{
	struct transfer *transfer = ctx;

	if (mst_clock_us() > transfer->send_by_us)
		return CURL_PREREQFUNC_ABORT;
	return transfer->sends++ == 0 ? CURL_PREREQFUNC_OK
				      : CURL_PREREQFUNC_ABORT;
}

void
mst_http_client_send(
    struct mst_http_client *client, const struct mst_http_call *call)
{
	struct transfer *transfer = g_new0(struct transfer, 1);
	CURL *easy = easy_acquire(client);
	int i;

	transfer->client = client;
	transfer->easy = easy;
	transfer->send_by_us = mst_clock_us() +
	    (int64_t)MAX(call->timeout_ms, SEND_TIME_MIN_MS) * 1000;
	transfer->body = g_byte_array_new();
	transfer->on_done = call->on_done;
	transfer->ctx = call->ctx;
	for (i = 0; call->headers != NULL && call->headers[i] != NULL; i++)
		transfer->headers =
		    curl_slist_append(transfer->headers, call->headers[i]);
	curl_easy_setopt(easy, CURLOPT_URL, call->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_curl_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	if (strcmp(call->method, "GET") != 0) {
		transfer->counts_sends = true;
		curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_curl_request);
		curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	}
	if (call->body != NULL)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, call->body);
	if (call->sigv4 != NULL) {
		curl_easy_setopt(easy, CURLOPT_AWS_SIGV4, call->sigv4);
		curl_easy_setopt(easy, CURLOPT_USERPWD, call->credentials);
	}
	g_hash_table_add(client->transfers, transfer);
	curl_multi_add_handle(client->multi, easy);
}
