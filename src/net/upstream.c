#include "net/upstream.h"

#include <arpa/inet.h>
#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <string.h>

/* h2o's own timeout; mst_upstream_expire_calls() enforces those of calls. */
#define UPSTREAM_IO_TIMEOUT_MS    (3600 * 1000)
#define UPSTREAM_KEEP_ALIVE_MS    10000
#define UPSTREAM_CONTENT_TYPE_MAX 255 /* bytes; the rest is cut off */

/* A call in flight. */
struct call {
	struct mst_upstream *upstream;
	uint64_t run;              /* number of the run, given by the caller */
	h2o_http1client_t *client; /* set when the connect starts */
	int64_t deadline_us;
	bool request_sent; /* the upstream may have received the request */
	bool is_head_method;
	GString *request;
	h2o_iovec_t iov;
	int status;
	GByteArray *body;
	char content_type[UPSTREAM_CONTENT_TYPE_MAX + 1];
};

struct mst_upstream {
	struct mst_upstream_options options;
	char *host;
	h2o_http1client_ctx_t client;
	h2o_timeout_t io_timeout;
	h2o_socketpool_t pool;
	GHashTable *calls; /* set of struct call */
};

static int64_t
upstream_now_us(void)
{
	return (int64_t)(uv_hrtime() / 1000);
}

int
mst_upstream_new(
    struct mst_upstream **out, const struct mst_upstream_options *options)
{
	struct mst_upstream *upstream = g_new0(struct mst_upstream, 1);
	const char *colon = strrchr(options->address, ':');
	struct sockaddr_in address;

	upstream->options = *options;
	upstream->host =
	    g_strndup(options->address, (gsize)(colon - options->address));
	uv_ip4_addr(upstream->host, atoi(colon + 1), &address);
	h2o_timeout_init(
	    options->loop, &upstream->io_timeout, UPSTREAM_IO_TIMEOUT_MS);
	upstream->client.loop = options->loop;
	upstream->client.io_timeout = &upstream->io_timeout;
	h2o_socketpool_init_by_address(&upstream->pool,
	    (struct sockaddr *)&address, sizeof(address), 0,
	    options->connections);
	h2o_socketpool_set_timeout(
	    &upstream->pool, options->loop, UPSTREAM_KEEP_ALIVE_MS);
	upstream->calls = g_hash_table_new(g_direct_hash, g_direct_equal);
	*out = upstream;
	return 0;
}

/* Reports the outcome of a call and frees the call. */
static void
call_finish(struct call *call, enum mst_outcome outcome, enum mst_reason reason)
{
	struct mst_upstream *upstream = call->upstream;
	struct mst_result_item result = {
	    .outcome = (uint8_t)outcome, .reason = (uint8_t)reason};

	if (outcome == MST_OUTCOME_DONE) {
		result.status = (uint16_t)call->status;
		result.content_type = mst_bytes_from_str(call->content_type);
		result.body =
		    (struct mst_bytes){.data = (const char *)call->body->data,
			.len = call->body->len};
	}
	g_hash_table_remove(upstream->calls, call);
	upstream->options.on_done(call->run, &result, upstream->options.ctx);
	g_string_free(call->request, TRUE);
	g_byte_array_unref(call->body);
	g_free(call);
}

static int
on_body(h2o_http1client_t *client, const char *error)
{
	struct call *call = client->data;
	h2o_buffer_t *input = client->sock->input;

	if (error != NULL && error != h2o_http1client_error_is_eos) {
		call_finish(
		    call, MST_OUTCOME_UNKNOWN, MST_REASON_UPSTREAM_RESET);
		return -1;
	}
	if (call->body->len + input->size >
	    call->upstream->options.result_max_bytes) {
		call_finish(
		    call, MST_OUTCOME_UNKNOWN, MST_REASON_UPSTREAM_OVERSIZE);
		return -1;
	}
	g_byte_array_append(
	    call->body, (const guint8 *)input->bytes, (guint)input->size);
	h2o_buffer_consume(&client->sock->input, input->size);
	if (error == h2o_http1client_error_is_eos) {
		call_finish(call, MST_OUTCOME_DONE, MST_REASON_NONE);
		return 0;
	}
	return 0;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *error, int minor_version,
    int status, h2o_iovec_t msg, h2o_header_t *headers, size_t num_headers,
    int rlen)
{
	struct call *call = client->data;
	size_t i, len;

	if (error != NULL && error != h2o_http1client_error_is_eos) {
		call_finish(
		    call, MST_OUTCOME_UNKNOWN, MST_REASON_UPSTREAM_RESET);
		return NULL;
	}
	call->status = status;
	for (i = 0; i < num_headers; i++) {
		if (!h2o_memis(headers[i].name->base, headers[i].name->len,
			H2O_STRLIT("content-type")))
			continue;
		len = MIN(headers[i].value.len, UPSTREAM_CONTENT_TYPE_MAX);
		memcpy(call->content_type, headers[i].value.base, len);
		call->content_type[len] = '\0';
	}
	if (error == h2o_http1client_error_is_eos) {
		call_finish(call, MST_OUTCOME_DONE, MST_REASON_NONE);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *error, h2o_iovec_t **reqbufs,
    size_t *reqbufcnt, int *method_is_head)
{
	struct call *call = client->data;

	if (error != NULL) {
		call_finish(
		    call, MST_OUTCOME_NOT_RUN, MST_REASON_UPSTREAM_DOWN);
		return NULL;
	}
	call->request_sent = true;
	call->iov = h2o_iovec_init(call->request->str, call->request->len);
	*reqbufs = &call->iov;
	*reqbufcnt = 1;
	*method_is_head = call->is_head_method;
	return on_head;
}

static void
append_bytes(GString *out, struct mst_bytes bytes)
{
	if (bytes.len > 0)
		g_string_append_len(out, bytes.data, (gssize)bytes.len);
}

/* Formats a task as an HTTP/1.1 request. */
static GString *
format_request(
    const struct mst_upstream *upstream, const struct mst_dispatch_item *task)
{
	GString *out = g_string_sized_new(256 + task->body.len);

	append_bytes(out, task->method);
	g_string_append_c(out, ' ');
	append_bytes(out, task->path);
	g_string_append_printf(
	    out, " HTTP/1.1\r\nhost: %s\r\n", upstream->options.address);
	g_string_append_printf(out,
	    "masticstall-task: %016" PRIx64 "-%016" PRIx64 "-%u\r\n",
	    task->job.issuer, task->job.counter, task->index);
	if (task->traceparent.len > 0) {
		g_string_append(out, "traceparent: ");
		append_bytes(out, task->traceparent);
		g_string_append(out, "\r\n");
	}
	if (task->content_type.len > 0) {
		g_string_append(out, "content-type: ");
		append_bytes(out, task->content_type);
		g_string_append(out, "\r\n");
	}
	if (task->body.len > 0)
		g_string_append_printf(
		    out, "content-length: %zu\r\n", task->body.len);
	else if (task->method.len != 3 ||
	    memcmp(task->method.data, "GET", 3) != 0)
		g_string_append(out, "content-length: 0\r\n");
	g_string_append(out, "connection: keep-alive\r\n\r\n");
	append_bytes(out, task->body);
	return out;
}

void
mst_upstream_call(struct mst_upstream *upstream, uint64_t run,
    const struct mst_dispatch_item *task, uint32_t timeout_ms)
{
	struct call *call = g_new0(struct call, 1);

	call->upstream = upstream;
	call->run = run;
	call->deadline_us = upstream_now_us() + (int64_t)timeout_ms * 1000;
	call->request = format_request(upstream, task);
	call->body = g_byte_array_new();
	call->is_head_method =
	    task->method.len == 4 && memcmp(task->method.data, "HEAD", 4) == 0;
	g_hash_table_add(upstream->calls, call);
	h2o_http1client_connect_with_pool(&call->client, call,
	    &upstream->client, &upstream->pool, on_connect);
}

void
mst_upstream_expire_calls(struct mst_upstream *upstream)
{
	int64_t now_us = upstream_now_us();
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;
	guint i;

	g_hash_table_iter_init(&iter, upstream->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct call *call = key;

		if (now_us >= call->deadline_us)
			g_ptr_array_add(expired, key);
	}
	for (i = 0; i < expired->len; i++) {
		struct call *call = expired->pdata[i];

		h2o_http1client_cancel(call->client);
		if (call->request_sent)
			call_finish(call, MST_OUTCOME_UNKNOWN,
			    MST_REASON_UPSTREAM_TIMEOUT);
		else
			call_finish(call, MST_OUTCOME_NOT_RUN,
			    MST_REASON_UPSTREAM_DOWN);
	}
	g_ptr_array_unref(expired);
}
