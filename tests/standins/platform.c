/*
 * Stand-in for the platform's table. Supports PutItem, Query by key, and
 * TransactWriteItems with the conditions attribute_exists and
 * attribute_not_exists. PUT /faults sets {"delay_ms": n, "away": bool,
 * "lose_answers": n}: the delay of all responses, whether all operations fail
 * with status 503, and how many of the next successful writes get no response.
 * A request without an operation returns the number of reads and of writes.
 */

#include <cjson/cJSON.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/httpd.h"

struct pending_response {
	uv_timer_t timer; /* first member; cast to and from the structure */
	uint64_t id;      /* of the request */
	int status;
	char *body;
	bool lost; /* not sent */
};

static struct mst_httpd *httpd;
static GTree *rows;                /* "pk\tsk" -> cJSON item */
static unsigned delay_ms;          /* of each response */
static bool unavailable;           /* all operations fail */
static unsigned responses_to_lose; /* of the next successful writes */
static unsigned read_count;
static unsigned write_count;

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer ctx)
{
	return strcmp(a, b);
}

static void
pending_response_free(uv_handle_t *handle)
{
	struct pending_response *response = (struct pending_response *)handle;

	g_free(response->body);
	g_free(response);
}

static void
on_response_due(uv_timer_t *timer)
{
	struct pending_response *response = (struct pending_response *)timer;
	const struct mst_http_header header = {
	    "content-type", "application/x-amz-json-1.0"};

	/* If the response is lost, the request of the client times out. */
	if (!response->lost)
		mst_http_respond(httpd, response->id, response->status, &header,
		    1, response->body, strlen(response->body));
	uv_close((uv_handle_t *)timer, pending_response_free);
}

static void
schedule_response(uint64_t id, int status, const char *body, bool lost)
{
	struct pending_response *response = g_new0(struct pending_response, 1);

	response->id = id;
	response->status = status;
	response->body = g_strdup(body);
	response->lost = lost;
	uv_timer_init(uv_default_loop(), &response->timer);
	uv_timer_start(&response->timer, on_response_due, delay_ms, 0);
}

/* Returns the value of a string attribute, or "" if the item has none. */
static const char *
get_string_attribute(const cJSON *item, const char *name)
{
	const cJSON *value = cJSON_GetObjectItemCaseSensitive(item, name);

	if (value == NULL || cJSON_GetStringValue(value->child) == NULL)
		return "";
	return cJSON_GetStringValue(value->child);
}

static char *
format_row_key(const cJSON *item)
{
	return g_strdup_printf("%s\t%s", get_string_attribute(item, "pk"),
	    get_string_attribute(item, "sk"));
}

static void
put_row(const cJSON *item)
{
	write_count++;
	g_tree_replace(rows, format_row_key(item), cJSON_Duplicate(item, 1));
}

static bool
is_condition_met(const cJSON *operation, const char *key_name)
{
	const cJSON *key =
	    cJSON_GetObjectItemCaseSensitive(operation, key_name);
	const char *condition = cJSON_GetStringValue(
	    cJSON_GetObjectItemCaseSensitive(operation, "ConditionExpression"));
	char *key_text = format_row_key(key);
	bool exists = g_tree_lookup(rows, key_text) != NULL;

	g_free(key_text);
	if (condition == NULL)
		return true;
	if (g_str_has_prefix(condition, "attribute_not_exists"))
		return !exists;
	return exists;
}

/* Returns the body of the response, or NULL if a condition is not met. */
static const char *
execute_transaction(const cJSON *body)
{
	const cJSON *items =
	    cJSON_GetObjectItemCaseSensitive(body, "TransactItems");
	const cJSON *item, *put, *condition_check;

	cJSON_ArrayForEach (item, items) {
		put = cJSON_GetObjectItemCaseSensitive(item, "Put");
		condition_check =
		    cJSON_GetObjectItemCaseSensitive(item, "ConditionCheck");
		if ((put != NULL && !is_condition_met(put, "Item")) ||
		    (condition_check != NULL &&
			!is_condition_met(condition_check, "Key")))
			return NULL;
	}
	cJSON_ArrayForEach (item, items) {
		put = cJSON_GetObjectItemCaseSensitive(item, "Put");
		if (put != NULL)
			put_row(cJSON_GetObjectItemCaseSensitive(put, "Item"));
	}
	return "{}";
}

struct query {
	char *low;
	char *high;
	GPtrArray *matches;
};

static gboolean
append_if_match(gpointer key, gpointer value, gpointer ctx)
{
	struct query *query = ctx;

	if (strcmp(key, query->low) >= 0 && strcmp(key, query->high) <= 0)
		g_ptr_array_add(query->matches, value);
	return FALSE;
}

/* Returns the body of the response; the caller releases it. */
static char *
query_rows(const cJSON *body)
{
	const cJSON *values =
	    cJSON_GetObjectItemCaseSensitive(body, "ExpressionAttributeValues");
	const cJSON *limit = cJSON_GetObjectItemCaseSensitive(body, "Limit");
	bool forward = !cJSON_IsFalse(
	    cJSON_GetObjectItemCaseSensitive(body, "ScanIndexForward"));
	const char *max_sk = get_string_attribute(values, ":sk");
	struct query query = {.matches = g_ptr_array_new()};
	cJSON *result = cJSON_CreateObject();
	cJSON *items = cJSON_AddArrayToObject(result, "Items");
	char *response;
	guint i;

	query.low =
	    g_strdup_printf("%s\t", get_string_attribute(values, ":pk"));
	query.high = g_strdup_printf("%s\t%s",
	    get_string_attribute(values, ":pk"), *max_sk ? max_sk : "\x7f");
	g_tree_foreach(rows, append_if_match, &query);
	for (i = 0; i < query.matches->len &&
	     (limit == NULL || i < (guint)limit->valueint);
	     i++) {
		guint row = forward ? i : query.matches->len - 1 - i;

		cJSON_AddItemToArray(
		    items, cJSON_Duplicate(query.matches->pdata[row], 1));
	}
	read_count++;
	response = cJSON_PrintUnformatted(result);
	cJSON_Delete(result);
	g_ptr_array_unref(query.matches);
	g_free(query.low);
	g_free(query.high);
	return response;
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
	responses_to_lose = value ? (unsigned)value->valueint : 0;
	unavailable =
	    cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "away"));
	cJSON_Delete(json);
	mst_http_respond(httpd, request->id, 204, NULL, 0, "", 0);
}

static void
respond_with_counts(struct mst_http_request *request)
{
	char *body = g_strdup_printf(
	    "{\"reads\":%u,\"writes\":%u}\n", read_count, write_count);

	mst_http_respond(httpd, request->id, 200, NULL, 0, body, strlen(body));
	g_free(body);
}

static bool
has_operation(struct mst_bytes target, const char *operation)
{
	return target.len > strlen(operation) &&
	    memcmp(target.data + target.len - strlen(operation), operation,
		strlen(operation)) == 0;
}

static void
on_request(struct mst_http_request *request, void *ctx)
{
	struct mst_bytes target = mst_http_header(request, "x-amz-target");
	cJSON *body;
	const char *result = NULL;
	char *query_result = NULL;
	bool is_write = true;

	if (request->method.len == 3 &&
	    memcmp(request->method.data, "PUT", 3) == 0) {
		set_faults(request);
		return;
	}
	if (target.len == 0) {
		respond_with_counts(request);
		return;
	}
	if (unavailable) {
		schedule_response(request->id, 503, "{}", false);
		return;
	}
	body = cJSON_ParseWithLength(request->body.data, request->body.len);
	if (has_operation(target, "Query")) {
		query_result = query_rows(body);
		result = query_result;
		is_write = false;
	} else if (has_operation(target, "PutItem")) {
		put_row(cJSON_GetObjectItemCaseSensitive(body, "Item"));
		result = "{}";
	} else if (has_operation(target, "TransactWriteItems")) {
		result = execute_transaction(body);
	}
	if (result == NULL)
		schedule_response(request->id, 400,
		    "{\"__type\":\"com.amazonaws.dynamodb.v20120810#"
		    "TransactionCanceledException\"}",
		    false);
	else if (is_write && responses_to_lose > 0 && responses_to_lose--)
		schedule_response(request->id, 200, result, true);
	else
		schedule_response(request->id, 200, result, false);
	cJSON_free(query_result);
	cJSON_Delete(body);
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
	    .listen = argc > 1 ? argv[1] : "127.0.0.1:9000",
	    .body_max_bytes = 16 << 20,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect};
	uv_signal_t sigterm;
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN); /* clients may disconnect early */
	rows = g_tree_new_full(
	    compare_keys, NULL, g_free, (GDestroyNotify)cJSON_Delete);
	if (mst_httpd_new(&httpd, &options, &error) < 0) {
		fprintf(stderr, "%s\n", error->message);
		return 1;
	}
	uv_signal_init(uv_default_loop(), &sigterm);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
