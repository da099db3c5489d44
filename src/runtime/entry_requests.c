/* Requests to an entry that wait for a response, and the responses. */

#include <string.h>

#include "runtime/entry_runtime.h"

void
pending_request_free(struct pending_request *pending)
{
	g_free(pending->ticket);
	g_free(pending->job_key);
	g_free(pending->traceparent);
	g_free(pending);
}

struct pending_request *
pending_request_new(struct entry_runtime *rt, uint64_t id)
{
	struct pending_request *pending = g_new0(struct pending_request, 1);

	pending->id = id;
	g_hash_table_insert(rt->pending_requests, (gpointer)id, pending);
	return pending;
}

static void
reply_to_origin(struct entry_runtime *rt, const struct pending_request *pending,
    int status, const char *body, size_t len, uint32_t retry_after_s)
{
	struct mst_msg msg = {.type = MST_MSG_FORWARDED,
	    .from = mst_entry_gauges(rt->entry).incarnation,
	    .to = pending->origin_entry};

	msg.forwarded.id = pending->origin_request_id;
	msg.forwarded.status = (uint32_t)status;
	msg.forwarded.retry_after_s = retry_after_s;
	msg.forwarded.body = (struct mst_bytes){.data = body, .len = len};
	mst_bus_send(rt->bus, &msg);
}

void
runtime_respond(struct entry_runtime *rt, struct pending_request *pending,
    int status, const char *type, const char *body, size_t len,
    uint32_t retry_after_s)
{
	char retry[16];
	char location[96];
	struct mst_http_header headers[4];
	size_t count = 0;

	if (pending->origin_entry != 0) {
		reply_to_origin(rt, pending, status, body, len, retry_after_s);
		g_hash_table_remove(
		    rt->pending_requests, (gpointer)pending->id);
		return;
	}
	headers[count++] = (struct mst_http_header){"content-type", type};
	if (retry_after_s > 0) {
		g_snprintf(retry, sizeof(retry), "%u", retry_after_s);
		headers[count++] =
		    (struct mst_http_header){"retry-after", retry};
	}
	if (pending->ticket != NULL) {
		g_snprintf(
		    location, sizeof(location), "/v1/jobs/%s", pending->ticket);
		headers[count++] =
		    (struct mst_http_header){"location", location};
	}
	if (pending->traceparent != NULL)
		headers[count++] = (struct mst_http_header){
		    "traceparent", pending->traceparent};
	mst_http_respond(
	    rt->httpd, pending->id, status, headers, count, body, len);
	g_hash_table_remove(rt->pending_requests, (gpointer)pending->id);
}

void
runtime_respond_text(struct entry_runtime *rt, uint64_t id, int status,
    const char *type, const char *text)
{
	const struct mst_http_header header = {"content-type", type};

	mst_http_respond(rt->httpd, id, status, &header, 1, text, strlen(text));
}

void
runtime_respond_problem(
    struct entry_runtime *rt, uint64_t id, const struct mst_problem *problem)
{
	char *text = mst_problem_json(problem);

	runtime_respond_text(rt, id, problem->status, MST_PROBLEM_TYPE, text);
	g_free(text);
}

void
runtime_on_disconnect(uint64_t id, void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = id};

	if (g_hash_table_remove(rt->pending_requests, (gpointer)id))
		rt->step(rt, &event);
}
