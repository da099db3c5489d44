/*
 * Stand-in for an upstream. A task's time is its query's "ms", times the
 * stand-in's own factor; "status", "size", "reset" and "hang" shape the answer.
 * It counts the starts of each task by its masticstall-task header: GET /starts
 * lists them, GET /starts/summary gives the total, the distinct tasks and
 * those started more than once. PUT /faults sets {"fail": bool, "hang": bool}.
 */

#include <cjson/cJSON.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/httpd.h"

struct work {
	uv_timer_t timer;
	uint64_t id;
	int status;
	size_t size;
	char *echo;
};

static struct mst_httpd *httpd;
static GHashTable *starts; /* task -> count */
static unsigned total;
static double factor = 1;
static bool fail_all;
static bool hang_all;

static double
query_number(struct mst_bytes query, const char *name, double fallback)
{
	char *text = g_strndup(query.data ? query.data : "", query.len);
	char **pairs = g_strsplit(text, "&", -1);
	size_t len = strlen(name);
	double value = fallback;
	int i;

	for (i = 0; pairs[i] != NULL; i++) {
		if (strncmp(pairs[i], name, len) == 0 && pairs[i][len] == '=')
			value = g_ascii_strtod(pairs[i] + len + 1, NULL);
	}
	g_strfreev(pairs);
	g_free(text);
	return value;
}

static void
work_free(uv_handle_t *handle)
{
	struct work *work = (struct work *)handle;

	g_free(work->echo);
	g_free(work);
}

static void
work_answer(struct work *work)
{
	const struct mst_http_header header = {"content-type", "text/plain"};
	char *body = work->echo;
	size_t len = strlen(body);

	if (work->size > 0) {
		body = g_malloc(work->size);
		memset(body, 'x', work->size);
		len = work->size;
	}
	mst_http_respond(httpd, work->id, work->status, &header, 1, body, len);
	if (body != work->echo)
		g_free(body);
}

static void
on_work_done(uv_timer_t *timer)
{
	work_answer((struct work *)timer);
	uv_close((uv_handle_t *)timer, work_free);
}

static void
count_start(const struct mst_http_request *request)
{
	struct mst_bytes task = mst_http_header(request, "masticstall-task");
	char *key;
	guint count;

	total++;
	if (task.len == 0)
		return;
	key = g_strndup(task.data, task.len);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(starts, key));
	g_hash_table_replace(starts, key, GUINT_TO_POINTER(count + 1));
}

static void
answer_starts(const struct mst_http_request *request, bool summary)
{
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key, value;
	unsigned repeated = 0;

	g_hash_table_iter_init(&iter, starts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (GPOINTER_TO_UINT(value) > 1)
			repeated++;
		if (!summary)
			g_string_append_printf(out, "%s %u\n", (char *)key,
			    GPOINTER_TO_UINT(value));
	}
	if (summary)
		g_string_append_printf(out,
		    "{\"total\":%u,\"distinct\":%u,\"repeated\":%u}\n", total,
		    g_hash_table_size(starts), repeated);
	mst_http_respond(httpd, request->id, 200, NULL, 0, out->str, out->len);
	g_string_free(out, TRUE);
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
	struct work *work;
	double ms;

	if (request->path.len == 7 &&
	    memcmp(request->path.data, "/faults", 7) == 0) {
		set_faults(request);
		return;
	}
	if (request->path.len >= 7 &&
	    memcmp(request->path.data, "/starts", 7) == 0) {
		answer_starts(request, request->path.len > 7);
		return;
	}
	count_start(request);
	if (hang_all || query_number(request->query, "hang", 0) > 0)
		return;
	work = g_new0(struct work, 1);
	work->id = request->id;
	work->status =
	    fail_all ? 500 : (int)query_number(request->query, "status", 200);
	work->size = (size_t)query_number(request->query, "size", 0);
	work->echo = g_strdup_printf("done %.*s %.*s",
	    (int)MIN(request->path.len, 64), request->path.data,
	    (int)MIN(request->body.len, 64), request->body.data);
	ms = fail_all ? 0 : query_number(request->query, "ms", 0) * factor;
	uv_timer_init(uv_default_loop(), &work->timer);
	if (ms < 1) {
		work_answer(work);
		uv_close((uv_handle_t *)&work->timer, work_free);
		return;
	}
	uv_timer_start(&work->timer, on_work_done, (uint64_t)(ms + 0.5), 0);
}

static void
on_gone(uint64_t id, void *ctx)
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
	    .on_disconnect = on_gone};
	uv_signal_t term;
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN); /* callers that left are written to */
	if (argc > 2)
		factor = g_ascii_strtod(argv[2], NULL);
	starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (mst_httpd_new(&httpd, &options, &error) < 0) {
		fprintf(stderr, "%s\n", error->message);
		return 1;
	}
	uv_signal_init(uv_default_loop(), &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
