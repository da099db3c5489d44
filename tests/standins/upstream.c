/*
 * Stand-in for an upstream. A task takes the time in its query parameter "ms",
 * multiplied by the factor on the command line. The query parameters "status"
 * and "size" set the status and the body size of the response; "hang"
 * suppresses the response. Starts are counted by task, as named in the header
 * masticstall-task: GET /starts lists them, GET /starts/summary returns the
 * total, the number of distinct tasks and the number of tasks started more than
 * once. PUT /faults sets {"fail": bool, "hang": bool}: all tasks fail at once
 * with status 500, or get no response.
 */

#include <cjson/cJSON.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/httpd.h"

struct pending_request {
	uv_timer_t timer; /* first member; cast to and from the structure */
	uint64_t id;      /* of the request */
	int status;
	size_t size; /* of the body in bytes; 0: the body is echo */
	char *echo;  /* path and body of the request, truncated */
};

static struct mst_httpd *httpd;
static GHashTable *starts;   /* task -> count */
static unsigned start_count; /* of all tasks */
static double duration_factor = 1;
static bool fail_all; /* respond at once with status 500 */
static bool hang_all; /* do not respond */

/* Returns a number from the query, or the fallback if it is not there. */
static double
get_query_number(struct mst_bytes query, const char *name, double fallback)
{
	char *params = g_strndup(query.data ? query.data : "", query.len);
	char **pairs = g_strsplit(params, "&", -1);
	size_t len = strlen(name);
	double value = fallback;
	int i;

	for (i = 0; pairs[i] != NULL; i++) {
		if (strncmp(pairs[i], name, len) == 0 && pairs[i][len] == '=')
			value = g_ascii_strtod(pairs[i] + len + 1, NULL);
	}
	g_strfreev(pairs);
	g_free(params);
	return value;
}

static void
pending_request_free(uv_handle_t *handle)
{
	struct pending_request *pending = (struct pending_request *)handle;

	g_free(pending->echo);
	g_free(pending);
}

static void
send_response(struct pending_request *pending)
{
	const struct mst_http_header header = {"content-type", "text/plain"};
	char *body = pending->echo;
	size_t len = strlen(body);

	if (pending->size > 0) {
		body = g_malloc(pending->size);
		memset(body, 'x', pending->size);
		len = pending->size;
	}
	mst_http_respond(
	    httpd, pending->id, pending->status, &header, 1, body, len);
	if (body != pending->echo)
		g_free(body);
}

static void
on_response_due(uv_timer_t *timer)
{
	send_response((struct pending_request *)timer);
	uv_close((uv_handle_t *)timer, pending_request_free);
}

static void
count_start(const struct mst_http_request *request)
{
	struct mst_bytes task = mst_http_header(request, "masticstall-task");
	char *key;
	guint count;

	start_count++;
	if (task.len == 0)
		return;
	key = g_strndup(task.data, task.len);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(starts, key));
	g_hash_table_replace(starts, key, GUINT_TO_POINTER(count + 1));
}

static void
respond_with_starts(const struct mst_http_request *request, bool summary)
{
	GString *body = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key, value;
	unsigned repeated = 0;

	g_hash_table_iter_init(&iter, starts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (GPOINTER_TO_UINT(value) > 1)
			repeated++;
		if (!summary)
			g_string_append_printf(body, "%s %u\n", (char *)key,
			    GPOINTER_TO_UINT(value));
	}
	if (summary)
		g_string_append_printf(body,
		    "{\"total\":%u,\"distinct\":%u,\"repeated\":%u}\n",
		    start_count, g_hash_table_size(starts), repeated);
	mst_http_respond(
	    httpd, request->id, 200, NULL, 0, body->str, body->len);
	g_string_free(body, TRUE);
}

static void
set_faults(const struct mst_http_request *request)
{
	cJSON *json =
	    cJSON_ParseWithLength(request->body.data, request->body.len);

	fail_all = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "fail"));
	hang_all = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "hang"));
	cJSON_Delete(json);
	mst_http_respond(httpd, request->id, 204, NULL, 0, "", 0);
}

static void
on_request(struct mst_http_request *request, void *ctx)
{
	struct pending_request *pending;
	double ms;

	if (request->path.len == 7 &&
	    memcmp(request->path.data, "/faults", 7) == 0) {
		set_faults(request);
		return;
	}
	if (request->path.len >= 7 &&
	    memcmp(request->path.data, "/starts", 7) == 0) {
		respond_with_starts(request, request->path.len > 7);
		return;
	}
	count_start(request);
	if (hang_all || get_query_number(request->query, "hang", 0) > 0)
		return;
	pending = g_new0(struct pending_request, 1);
	pending->id = request->id;
	pending->status = fail_all
	    ? 500
	    : (int)get_query_number(request->query, "status", 200);
	pending->size = (size_t)get_query_number(request->query, "size", 0);
	pending->echo = g_strdup_printf("done %.*s %.*s",
	    (int)MIN(request->path.len, 64), request->path.data,
	    (int)MIN(request->body.len, 64), request->body.data);
	ms = fail_all
	    ? 0
	    : get_query_number(request->query, "ms", 0) * duration_factor;
	uv_timer_init(uv_default_loop(), &pending->timer);
	if (ms < 1) {
		send_response(pending);
		uv_close((uv_handle_t *)&pending->timer, pending_request_free);
		return;
	}
	uv_timer_start(
	    &pending->timer, on_response_due, (uint64_t)(ms + 0.5), 0);
}

static void
on_disconnect(uint64_t id, void *ctx)
{
}

static void
on_signal(uv_signal_t *signal, int number)
{
	exit(0);
}

int
main(int argc, char **argv)
{
	struct mst_httpd_options options = {.loop = uv_default_loop(),
	    .listen = argc > 1 ? argv[1] : "127.0.0.1:9100",
	    .body_max_bytes = 16 << 20,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect};
	uv_signal_t sigterm;
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN); /* clients may disconnect early */
	if (argc > 2)
		duration_factor = g_ascii_strtod(argv[2], NULL);
	starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (mst_httpd_new(&httpd, &options, &error) < 0) {
		fprintf(stderr, "%s\n", error->message);
		return 1;
	}
	uv_signal_init(uv_default_loop(), &sigterm);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
