#include "net/http_client.h"

#include <curl/curl.h>
#include <errno.h>

#define HANDLES_KEPT_MAX     16
#define CONNECTIONS_KEPT_MAX 64L

struct transfer {
	struct mst_http_client *caller;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *body;
	mst_http_call_cb on_done;
	void *ctx;
};

struct watched {
	uv_poll_t poll;
	struct mst_http_client *caller;
	curl_socket_t fd;
};

struct mst_http_client {
	uv_loop_t *loop;
	uv_timer_t timer;
	CURLM *multi;
	GHashTable *transfers;
	GPtrArray *idle; /* CURL handles to be used again */
};

static void
transfer_free(struct transfer *transfer)
{
	struct mst_http_client *caller = transfer->caller;

	curl_multi_remove_handle(caller->multi, transfer->easy);
	if (caller->idle->len < HANDLES_KEPT_MAX)
		g_ptr_array_add(caller->idle, transfer->easy);
	else
		curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	g_byte_array_unref(transfer->body);
	g_free(transfer);
}

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
	if (result == CURLE_COULDNT_CONNECT && value == ECONNREFUSED)
		return MST_HTTP_CONN_REFUSED;
	return MST_HTTP_NO_RESPONSE;
}

static void
transfer_end(struct mst_http_client *caller, const CURLMsg *message)
{
	struct transfer *transfer = NULL;
	int status;

	curl_easy_getinfo(
	    message->easy_handle, CURLINFO_PRIVATE, (char **)&transfer);
	status = transfer_status(transfer, message->data.result);
	g_hash_table_remove(caller->transfers, transfer);
	g_byte_array_append(transfer->body, (const guint8 *)"", 1);
	transfer->on_done(status, (const char *)transfer->body->data,
	    transfer->body->len - 1, transfer->ctx);
	transfer_free(transfer);
}

static void
caller_advance(struct mst_http_client *caller, curl_socket_t fd, int flags)
{
	const CURLMsg *message;
	int running, left;

	curl_multi_socket_action(caller->multi, fd, flags, &running);
	while ((message = curl_multi_info_read(caller->multi, &left))) {
		if (message->msg == CURLMSG_DONE)
			transfer_end(caller, message);
	}
}

static void
on_timer(uv_timer_t *timer)
{
	caller_advance(timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_curl_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct mst_http_client *caller = ctx;

	if (timeout_ms < 0)
		uv_timer_stop(&caller->timer);
	else
		uv_timer_start(&caller->timer, on_timer,
		    timeout_ms > 0 ? (uint64_t)timeout_ms : 1, 0);
	return 0;
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	struct watched *watched = (struct watched *)poll;
	int flags = 0;

	if (status < 0)
		flags |= CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	caller_advance(watched->caller, watched->fd, flags);
}

static void
on_watched_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static int
on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *data)
{
	struct mst_http_client *caller = ctx;
	struct watched *watched = data;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (watched != NULL) {
			uv_poll_stop(&watched->poll);
			uv_close(
			    (uv_handle_t *)&watched->poll, on_watched_closed);
			curl_multi_assign(caller->multi, fd, NULL);
		}
		return 0;
	}
	if (watched == NULL) {
		watched = g_new0(struct watched, 1);
		watched->caller = caller;
		watched->fd = fd;
		uv_poll_init_socket(caller->loop, &watched->poll, fd);
		curl_multi_assign(caller->multi, fd, watched);
	}
	if (what != CURL_POLL_IN)
		events |= UV_WRITABLE;
	if (what != CURL_POLL_OUT)
		events |= UV_READABLE;
	uv_poll_start(&watched->poll, events, on_poll);
	return 0;
}

struct mst_http_client *
mst_http_client_new(uv_loop_t *loop, unsigned connections)
{
	struct mst_http_client *caller = g_new0(struct mst_http_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	caller->loop = loop;
	caller->transfers = g_hash_table_new(g_direct_hash, g_direct_equal);
	caller->idle = g_ptr_array_new_with_free_func(curl_easy_cleanup);
	uv_timer_init(loop, &caller->timer);
	caller->timer.data = caller;
	caller->multi = curl_multi_init();
	curl_multi_setopt(
	    caller->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)connections);
	curl_multi_setopt(
	    caller->multi, CURLMOPT_MAXCONNECTS, CONNECTIONS_KEPT_MAX);
	curl_multi_setopt(
	    caller->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(caller->multi, CURLMOPT_SOCKETDATA, caller);
	curl_multi_setopt(caller->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(caller->multi, CURLMOPT_TIMERDATA, caller);
	return caller;
}

static void
on_caller_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void
mst_http_client_close(struct mst_http_client *caller)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, caller->transfers);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		transfer_free(key);
	g_hash_table_unref(caller->transfers);
	g_ptr_array_unref(caller->idle);
	curl_multi_cleanup(caller->multi);
	uv_close((uv_handle_t *)&caller->timer, on_caller_closed);
}

static size_t
on_curl_data(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *transfer = ctx;

	g_byte_array_append(
	    transfer->body, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

static CURL *
easy_take(struct mst_http_client *caller)
{
	CURL *easy;

	if (caller->idle->len == 0)
		return curl_easy_init();
	easy = caller->idle->pdata[caller->idle->len - 1];
	caller->idle->pdata[caller->idle->len - 1] = NULL;
	g_ptr_array_set_size(caller->idle, (gint)caller->idle->len - 1);
	curl_easy_reset(easy);
	return easy;
}

void
mst_http_client_send(
    struct mst_http_client *caller, const struct mst_http_call *call)
{
	struct transfer *transfer = g_new0(struct transfer, 1);
	CURL *easy = easy_take(caller);
	int i;

	transfer->caller = caller;
	transfer->easy = easy;
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
	if (call->body != NULL)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, call->body);
	if (call->sigv4 != NULL) {
		curl_easy_setopt(easy, CURLOPT_AWS_SIGV4, call->sigv4);
		curl_easy_setopt(easy, CURLOPT_USERPWD, call->credentials);
	}
	g_hash_table_add(caller->transfers, transfer);
	curl_multi_add_handle(caller->multi, easy);
}
