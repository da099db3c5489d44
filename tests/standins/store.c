/*
 * Stand-in for the platform's store. POST /v1/rows-tx sets and removes rows
 * without conditions, GET /v1/rows-get returns the rows of a part of a table,
 * at most PAGE_ROWS in the order of their keys, and GET /v1/rows-feed the
 * changes of a table after a revision, for which it waits up to waitMs. PUT
 * /faults sets {"away": bool, "compact": bool, "busy": bool, "delay_ms": n,
 * "lose_answers": bool}: whether all reads get no response, whether the history
 * up to now is dropped, so that a feed from there gets status 410, whether all
 * calls are refused with status 503, how much later all responses are sent, and
 * whether transactions get no response. GET /counts returns the number of calls
 * by kind and table.
 */

#include <cjson/cJSON.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/httpd.h"

/* A call for changes that waits for the first one. */
struct feed {
	uv_timer_t timer; /* first member; cast to and from the structure */
	uint64_t id;      /* of the request */
	char *table;
	uint64_t after;
};

/* A response that is sent later. */
struct late_response {
	uv_timer_t timer; /* first member; cast to and from the structure */
	uint64_t id;      /* of the request */
	int status;
	char *text;
};

#define PAGE_ROWS 500

static struct mst_httpd *httpd;
static GPtrArray *changes; /* cJSON rows in the order of their revisions */
static GPtrArray *feeds;   /* struct feed */
static cJSON *counts;
static uint64_t revision;
static uint64_t compacted; /* revision up to which no history is kept */
static bool away;          /* no read gets a response */
static bool busy;          /* all calls are refused */
static bool lose_answers;  /* of transactions */
static unsigned delay_ms;  /* of all responses */

static const char *
get_string(const cJSON *object, const char *name)
{
	const char *text = cJSON_GetStringValue(
	    cJSON_GetObjectItemCaseSensitive(object, name));

	return text != NULL ? text : "";
}

/* Returns a parameter of the query, to be freed with g_free(). */
static char *
get_param(struct mst_bytes query, const char *name)
{
	char *text = mst_bytes_to_str(query);
	char **pairs = g_strsplit(text, "&", -1);
	size_t len = strlen(name);
	char *value = NULL;
	int i;

	for (i = 0; pairs[i] != NULL && value == NULL; i++) {
		if (strncmp(pairs[i], name, len) == 0 && pairs[i][len] == '=')
			value = g_uri_unescape_string(pairs[i] + len + 1, NULL);
	}
	g_strfreev(pairs);
	g_free(text);
	return value != NULL ? value : g_strdup("");
}

static uint64_t
get_number_param(struct mst_bytes query, const char *name)
{
	char *text = get_param(query, name);
	uint64_t value = g_ascii_strtoull(text, NULL, 10);

	g_free(text);
	return value;
}

static void
count_call(const char *kind, const char *table)
{
	char *name = g_strdup_printf("%s %s", kind, table);
	cJSON *count = cJSON_GetObjectItemCaseSensitive(counts, name);

	if (count == NULL)
		cJSON_AddNumberToObject(counts, name, 1);
	else
		cJSON_SetNumberValue(count, count->valuedouble + 1);
	g_free(name);
}

static void
free_late_response(uv_handle_t *handle)
{
	struct late_response *late = (struct late_response *)handle;

	cJSON_free(late->text);
	g_free(late);
}

static void
on_late_response_due(uv_timer_t *timer)
{
	struct late_response *late = (struct late_response *)timer;

	mst_http_respond(httpd, late->id, late->status, NULL, 0, late->text,
	    strlen(late->text));
	uv_close((uv_handle_t *)timer, free_late_response);
}

static void
respond_json(uint64_t id, int status, cJSON *json)
{
	struct late_response *late = g_new0(struct late_response, 1);

	late->id = id;
	late->status = status;
	late->text = cJSON_PrintUnformatted(json);
	cJSON_Delete(json);
	uv_timer_init(uv_default_loop(), &late->timer);
	if (delay_ms > 0)
		uv_timer_start(&late->timer, on_late_response_due, delay_ms, 0);
	else
		on_late_response_due(&late->timer);
}

static bool
is_same_row(const cJSON *a, const cJSON *b)
{
	return strcmp(get_string(a, "table"), get_string(b, "table")) == 0 &&
	    strcmp(get_string(a, "part"), get_string(b, "part")) == 0 &&
	    strcmp(get_string(a, "key"), get_string(b, "key")) == 0;
}

/* Returns whether a later change has replaced the row. */
static bool
is_replaced(guint index)
{
	guint i;

	for (i = index + 1; i < changes->len; i++) {
		if (is_same_row(changes->pdata[i], changes->pdata[index]))
			return true;
	}
	return false;
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(get_string(*(const cJSON *const *)a, "key"),
	    get_string(*(const cJSON *const *)b, "key"));
}

/* Returns the present rows of a part of a table from a key on, in the order of
 * their keys. */
static GPtrArray *
find_rows(const char *table, const char *part, const char *from)
{
	GPtrArray *rows = g_ptr_array_new();
	guint i;

	for (i = 0; i < changes->len; i++) {
		const cJSON *row = changes->pdata[i];

		if (strcmp(get_string(row, "table"), table) == 0 &&
		    strcmp(get_string(row, "part"), part) == 0 &&
		    strcmp(get_string(row, "key"), from) >= 0 &&
		    !cJSON_HasObjectItem(row, "removed") && !is_replaced(i))
			g_ptr_array_add(rows, (gpointer)row);
	}
	g_ptr_array_sort(rows, compare_keys);
	return rows;
}

static void
respond_rows(
    const struct mst_http_request *request, const char *table, const char *part)
{
	cJSON *json = cJSON_CreateObject();
	cJSON *list = cJSON_AddArrayToObject(json, "rows");
	char *from = get_param(request->query, "from");
	GPtrArray *rows = find_rows(table, part, from);
	uint64_t limit = get_number_param(request->query, "limit");
	guint count = MIN(
	    rows->len, limit > 0 ? (guint)MIN(limit, PAGE_ROWS) : PAGE_ROWS);
	guint i;

	for (i = 0; i < count; i++)
		cJSON_AddItemToArray(list, cJSON_Duplicate(rows->pdata[i], 1));
	cJSON_AddBoolToObject(json, "hasMore", rows->len > count);
	cJSON_AddNumberToObject(json, "ver", (double)revision);
	respond_json(request->id, 200, json);
	g_ptr_array_unref(rows);
	g_free(from);
}

/* Responds with the changes of a table since a revision if there are some, or
 * in any case with force. Returns the number of rows. */
static unsigned
respond_changes(uint64_t id, const char *table, uint64_t after, bool force)
{
	cJSON *json = cJSON_CreateObject();
	cJSON *rows = cJSON_AddArrayToObject(json, "rows");
	unsigned count = 0;
	guint i;

	cJSON_AddNumberToObject(json, "ver", (double)revision);
	for (i = 0; i < changes->len; i++) {
		const cJSON *row = changes->pdata[i];
		double ver =
		    cJSON_GetObjectItemCaseSensitive(row, "ver")->valuedouble;

		if (strcmp(get_string(row, "table"), table) != 0 ||
		    ver <= (double)after)
			continue;
		cJSON_AddItemToArray(rows, cJSON_Duplicate(row, 1));
		count++;
	}
	if (force || count > 0)
		respond_json(id, 200, json);
	else
		cJSON_Delete(json);
	return count;
}

static void
feed_free(uv_handle_t *handle)
{
	struct feed *feed = (struct feed *)handle;

	g_free(feed->table);
	g_free(feed);
}

/* Responds to a feed if it has changes, or in any case with force. */
static void
feed_update(struct feed *feed, bool force)
{
	if (respond_changes(feed->id, feed->table, feed->after, force) == 0 &&
	    !force)
		return;
	g_ptr_array_remove(feeds, feed);
	uv_close((uv_handle_t *)&feed->timer, feed_free);
}

static void
on_feed_timer(uv_timer_t *timer)
{
	feed_update((struct feed *)timer, true);
}

static void
start_feed(struct mst_http_request *request, const char *table)
{
	struct feed *feed;
	uint64_t after = get_number_param(request->query, "after");

	if (after < compacted) {
		respond_json(request->id, 410, cJSON_CreateObject());
		return;
	}
	feed = g_new0(struct feed, 1);
	feed->id = request->id;
	feed->table = g_strdup(table);
	feed->after = after;
	g_ptr_array_add(feeds, feed);
	uv_timer_init(uv_default_loop(), &feed->timer);
	uv_timer_start(&feed->timer, on_feed_timer,
	    get_number_param(request->query, "waitMs"), 0);
	feed_update(feed, false);
}

static void
add_changes(const cJSON *list, bool removed)
{
	const cJSON *row;

	cJSON_ArrayForEach (row, list) {
		cJSON *change = cJSON_Duplicate(row, 1);

		cJSON_AddNumberToObject(change, "ver", (double)revision);
		if (removed)
			cJSON_AddTrueToObject(change, "removed");
		g_ptr_array_add(changes, change);
	}
}

/* Faults don't concern the transactions of the operator, which say so in the
 * query. */
static bool
is_from_operator(const struct mst_http_request *request)
{
	return mst_bytes_equal_str(request->query, "operator");
}

static void
commit(struct mst_http_request *request)
{
	cJSON *json =
	    cJSON_ParseWithLength(request->body.data, request->body.len);
	cJSON *answer = cJSON_CreateObject();
	guint i;

	revision++;
	add_changes(cJSON_GetObjectItemCaseSensitive(json, "setKeys"), false);
	add_changes(cJSON_GetObjectItemCaseSensitive(json, "remove"), true);
	cJSON_AddNumberToObject(answer, "ver", (double)revision);
	if (lose_answers && !is_from_operator(request))
		cJSON_Delete(answer);
	else
		respond_json(request->id, 200, answer);
	for (i = feeds->len; i > 0; i--)
		feed_update(feeds->pdata[i - 1], false);
	cJSON_Delete(json);
}

static void
set_faults(struct mst_http_request *request)
{
	cJSON *json =
	    cJSON_ParseWithLength(request->body.data, request->body.len);
	const cJSON *delay;

	away = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "away"));
	if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "compact")))
		compacted = revision;
	busy = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "busy"));
	lose_answers = cJSON_IsTrue(
	    cJSON_GetObjectItemCaseSensitive(json, "lose_answers"));
	delay = cJSON_GetObjectItemCaseSensitive(json, "delay_ms");
	delay_ms = cJSON_IsNumber(delay) ? (unsigned)delay->valuedouble : 0;
	cJSON_Delete(json);
	respond_json(request->id, 200, cJSON_CreateObject());
}

static void
on_request(struct mst_http_request *request, void *ctx)
{
	char *table = get_param(request->query, "table");
	char *part = get_param(request->query, "part");

	if (mst_bytes_equal_str(request->path, "/faults")) {
		set_faults(request);
	} else if (mst_bytes_equal_str(request->path, "/counts")) {
		respond_json(request->id, 200, cJSON_Duplicate(counts, 1));
	} else if (busy && !is_from_operator(request)) {
		respond_json(request->id, 503, cJSON_CreateObject());
	} else if (mst_bytes_equal_str(request->path, "/v1/rows-tx")) {
		commit(request);
	} else if (mst_bytes_equal_str(request->path, "/v1/rows-get")) {
		count_call("get", table);
		if (!away)
			respond_rows(request, table, part);
	} else if (mst_bytes_equal_str(request->path, "/v1/rows-feed")) {
		count_call("feed", table);
		if (!away)
			start_feed(request, table);
	} else {
		respond_json(request->id, 404, cJSON_CreateObject());
	}
	g_free(table);
	g_free(part);
}

static void
on_disconnect(uint64_t id, void *ctx)
{
	guint i;

	for (i = feeds->len; i > 0; i--) {
		struct feed *feed = feeds->pdata[i - 1];

		if (feed->id != id)
			continue;
		g_ptr_array_remove(feeds, feed);
		uv_close((uv_handle_t *)&feed->timer, feed_free);
	}
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
	    .listen = argc > 1 ? argv[1] : "127.0.0.1:9001",
	    .body_max_bytes = 16 << 20,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect};
	uv_signal_t sigterm;
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN); /* clients may disconnect early */
	changes = g_ptr_array_new();
	feeds = g_ptr_array_new();
	counts = cJSON_CreateObject();
	if (mst_httpd_new(&httpd, &options, &error) < 0) {
		fprintf(stderr, "%s\n", error->message);
		return 1;
	}
	uv_signal_init(uv_default_loop(), &sigterm);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
