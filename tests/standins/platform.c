/*
 * Stand-in for the platform's table: GetItem, PutItem, Query by key and
 * TransactWriteItems with attribute_exists and attribute_not_exists. PUT
 * /faults sets {"delay_ms": n, "away": bool, "lose_answers": n}.
 */

#include <cjson/cJSON.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/httpd.h"

struct answer {
	uv_timer_t timer;
	uint64_t id;
	int status;
	char *body;
	bool lost;
};

static struct mst_httpd *httpd;
static GTree *rows; /* "pk\tsk" -> cJSON item */
static unsigned delay_ms;
static bool away;
static unsigned lose_answers;
static unsigned reads;
static unsigned writes;

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer ctx)
{
	return strcmp(a, b);
}

static void
answer_free(uv_handle_t *handle)
{
	struct answer *answer = (struct answer *)handle;

	g_free(answer->body);
	g_free(answer);
}

static void
on_answer_due(uv_timer_t *timer)
{
	struct answer *answer = (struct answer *)timer;
	const struct mst_http_header header = {
	    "content-type", "application/x-amz-json-1.0"};

	/* A lost answer leaves its caller to time out. */
	if (!answer->lost)
		mst_http_respond(httpd, answer->id, answer->status, &header, 1,
		    answer->body, strlen(answer->body));
	uv_close((uv_handle_t *)timer, answer_free);
}

static void
answer_later(uint64_t id, int status, const char *body, bool lost)
{
	struct answer *answer = g_new0(struct answer, 1);

	answer->id = id;
	answer->status = status;
	answer->body = g_strdup(body);
	answer->lost = lost;
	uv_timer_init(uv_default_loop(), &answer->timer);
	uv_timer_start(&answer->timer, on_answer_due, delay_ms, 0);
}

static const char *
attribute(const cJSON *item, const char *name)
{
	const cJSON *value = cJSON_GetObjectItemCaseSensitive(item, name);

	if (value == NULL || cJSON_GetStringValue(value->child) == NULL)
		return "";
	return cJSON_GetStringValue(value->child);
}

static char *
row_key(const cJSON *item)
{
	return g_strdup_printf(
	    "%s\t%s", attribute(item, "pk"), attribute(item, "sk"));
}

static void
row_put(const cJSON *item)
{
	writes++;
	g_tree_replace(rows, row_key(item), cJSON_Duplicate(item, 1));
}

static bool
condition_holds(const cJSON *part, const char *key_name)
{
	const cJSON *key = cJSON_GetObjectItemCaseSensitive(part, key_name);
	const char *condition = cJSON_GetStringValue(
	    cJSON_GetObjectItemCaseSensitive(part, "ConditionExpression"));
	char *text = row_key(key);
	bool exists = g_tree_lookup(rows, text) != NULL;

	g_free(text);
	if (condition == NULL)
		return true;
	if (g_str_has_prefix(condition, "attribute_not_exists"))
		return !exists;
	return exists;
}

static const char *
transact(const cJSON *body)
{
	const cJSON *items =
	    cJSON_GetObjectItemCaseSensitive(body, "TransactItems");
	const cJSON *item, *put, *check;

	cJSON_ArrayForEach (item, items) {
		put = cJSON_GetObjectItemCaseSensitive(item, "Put");
		check =
		    cJSON_GetObjectItemCaseSensitive(item, "ConditionCheck");
		if ((put != NULL && !condition_holds(put, "Item")) ||
		    (check != NULL && !condition_holds(check, "Key")))
			return NULL;
	}
	cJSON_ArrayForEach (item, items) {
		put = cJSON_GetObjectItemCaseSensitive(item, "Put");
		if (put != NULL)
			row_put(cJSON_GetObjectItemCaseSensitive(put, "Item"));
	}
	return "{}";
}

struct query {
	char *low;
	char *high;
	GPtrArray *found;
};

static gboolean
query_row(gpointer key, gpointer value, gpointer ctx)
{
	struct query *query = ctx;

	if (strcmp(key, query->low) >= 0 && strcmp(key, query->high) <= 0)
		g_ptr_array_add(query->found, value);
	return FALSE;
}

static char *
query_rows(const cJSON *body)
{
	const cJSON *values =
	    cJSON_GetObjectItemCaseSensitive(body, "ExpressionAttributeValues");
	const cJSON *limit = cJSON_GetObjectItemCaseSensitive(body, "Limit");
	bool forward = !cJSON_IsFalse(
	    cJSON_GetObjectItemCaseSensitive(body, "ScanIndexForward"));
	const char *sk = attribute(values, ":sk");
	struct query query = {.found = g_ptr_array_new()};
	cJSON *out = cJSON_CreateObject();
	cJSON *items = cJSON_AddArrayToObject(out, "Items");
	char *text;
	guint i;

	query.low = g_strdup_printf("%s\t", attribute(values, ":pk"));
	query.high = g_strdup_printf(
	    "%s\t%s", attribute(values, ":pk"), *sk ? sk : "\x7f");
	g_tree_foreach(rows, query_row, &query);
	for (i = 0; i < query.found->len &&
	     (limit == NULL || i < (guint)limit->valueint);
	     i++) {
		guint at = forward ? i : query.found->len - 1 - i;

		cJSON_AddItemToArray(
		    items, cJSON_Duplicate(query.found->pdata[at], 1));
	}
	reads++;
	text = cJSON_PrintUnformatted(out);
	cJSON_Delete(out);
	g_ptr_array_unref(query.found);
	g_free(query.low);
	g_free(query.high);
	return text;
}

static void
set_faults(struct mst_http_request *request)
{
	cJSON *json =
	    cJSON_ParseWithLength(request->body.data, request->body.len);
	const cJSON *value;

	value = cJSON_GetObjectItemCaseSensitive(json, "delay_ms");
	delay_ms = value ? (unsigned)value->valueint : 0;
	value = cJSON_GetObjectItemCaseSensitive(json, "lose_answers");
	lose_answers = value ? (unsigned)value->valueint : 0;
	away = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "away"));
	cJSON_Delete(json);
	mst_http_respond(httpd, request->id, 204, NULL, 0, "", 0);
}

static void
answer_counts(struct mst_http_request *request)
{
	char *text =
	    g_strdup_printf("{\"reads\":%u,\"writes\":%u}\n", reads, writes);

	mst_http_respond(httpd, request->id, 200, NULL, 0, text, strlen(text));
	g_free(text);
}

static bool
target_is(struct mst_bytes target, const char *name)
{
	return target.len > strlen(name) &&
	    memcmp(target.data + target.len - strlen(name), name,
		strlen(name)) == 0;
}

static void
on_request(struct mst_http_request *request, void *ctx)
{
	struct mst_bytes target = mst_http_header(request, "x-amz-target");
	cJSON *body;
	const char *result = NULL;
	char *rows_text = NULL;
	bool write = true;

	if (request->method.len == 3 &&
	    memcmp(request->method.data, "PUT", 3) == 0) {
		set_faults(request);
		return;
	}
	if (target.len == 0) {
		answer_counts(request);
		return;
	}
	if (away) {
		answer_later(request->id, 503, "{}", false);
		return;
	}
	body = cJSON_ParseWithLength(request->body.data, request->body.len);
	if (target_is(target, "Query")) {
		rows_text = query_rows(body);
		result = rows_text;
		write = false;
	} else if (target_is(target, "PutItem")) {
		row_put(cJSON_GetObjectItemCaseSensitive(body, "Item"));
		result = "{}";
	} else if (target_is(target, "TransactWriteItems")) {
		result = transact(body);
	}
	if (result == NULL)
		answer_later(request->id, 400,
		    "{\"__type\":\"com.amazonaws.dynamodb.v20120810#"
		    "TransactionCanceledException\"}",
		    false);
	else if (write && lose_answers > 0 && lose_answers--)
		answer_later(request->id, 200, result, true);
	else
		answer_later(request->id, 200, result, false);
	cJSON_free(rows_text);
	cJSON_Delete(body);
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
	    .listen = argc > 1 ? argv[1] : "127.0.0.1:9000",
	    .body_max_bytes = 16 << 20,
	    .on_request = on_request,
	    .on_disconnect = on_gone};
	uv_signal_t term;
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN); /* callers that left are written to */
	rows = g_tree_new_full(
	    compare_keys, NULL, g_free, (GDestroyNotify)cJSON_Delete);
	if (mst_httpd_new(&httpd, &options, &error) < 0) {
		fprintf(stderr, "%s\n", error->message);
		return 1;
	}
	uv_signal_init(uv_default_loop(), &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
