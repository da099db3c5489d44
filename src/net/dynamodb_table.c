#include "net/dynamodb_table.h"

#include <cjson/cJSON.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_KEY_CONFIG  "config"
#define TABLE_KEY_ENTRY   "entry"
#define TABLE_ENTRIES_MAX 1000

struct mst_table {
	struct mst_http_client *http_client;
	const struct mst_table_settings *settings;
	char *sigv4;       /* as for CURLOPT_AWS_SIGV4 */
	char *credentials; /* "access key:secret key" */
	struct mst_table_counters counters;
};

/* A request in flight; exactly one of its callbacks is set. */
struct request {
	struct mst_table *table;
	mst_table_versions_cb on_versions;
	mst_table_write_cb on_write;
	mst_table_entries_cb on_entries;
	int64_t now_s; /* on_entries: rows that expire earlier are left out */
	void *ctx;
};

struct mst_table *
mst_table_new(struct mst_http_client *http_client,
    const struct mst_table_settings *settings)
{
	struct mst_table *table = g_new0(struct mst_table, 1);

	table->http_client = http_client;
	table->settings = settings;
	table->sigv4 = g_strdup_printf("aws:amz:%s:dynamodb", settings->region);
	table->credentials = g_strdup_printf(
	    "%s:%s", settings->access_key, settings->secret_key);
	return table;
}

void
mst_table_free(struct mst_table *table)
{
	if (table == NULL)
		return;
	g_free(table->sigv4);
	g_free(table->credentials);
	g_free(table);
}

static void
send_request(struct mst_table *table, const char *operation, cJSON *body,
    mst_http_call_cb cb, struct request *request)
{
	char *target =
	    g_strdup_printf("X-Amz-Target: DynamoDB_20120810.%s", operation);
	char *text = cJSON_PrintUnformatted(body);
	const char *const headers[] = {
	    "Content-Type: application/x-amz-json-1.0", target, NULL};
	struct mst_http_call call = {.url = table->settings->endpoint,
	    .method = "POST",
	    .headers = headers,
	    .body = text,
	    .timeout_ms = table->settings->timeout_ms,
	    .sigv4 = table->sigv4,
	    .credentials = table->credentials,
	    .on_done = cb,
	    .ctx = request};

	request->table = table;
	mst_http_client_send(table->http_client, &call);
	cJSON_free(text);
	cJSON_Delete(body);
	g_free(target);
}

/* Adds a typed attribute value: {"name": {"S": "text"}}. */
static void
add_attribute(
    cJSON *object, const char *name, const char *type, const char *text)
{
	cJSON *value = cJSON_AddObjectToObject(object, name);

	cJSON_AddStringToObject(value, type, text ? text : "");
}

/* Returns the text of a typed attribute; "" if it is absent. */
static const char *
read_attribute(const cJSON *item, const char *name)
{
	const cJSON *value = cJSON_GetObjectItemCaseSensitive(item, name);
	const char *text;

	if (value == NULL || value->child == NULL)
		return "";
	text = cJSON_GetStringValue(value->child);
	return text != NULL ? text : "";
}

/* Creates a consistent query of one partition, by descending sort key. */
static cJSON *
query_new(const struct mst_table *table, const char *key, uint32_t limit)
{
	cJSON *body = cJSON_CreateObject();
	cJSON *values;

	cJSON_AddStringToObject(body, "TableName", table->settings->table);
	cJSON_AddNumberToObject(body, "Limit", limit);
	cJSON_AddBoolToObject(body, "ConsistentRead", 1);
	cJSON_AddBoolToObject(body, "ScanIndexForward", 0);
	values = cJSON_AddObjectToObject(body, "ExpressionAttributeValues");
	add_attribute(values, ":pk", "S", key);
	return body;
}

static GArray *
read_versions(const cJSON *items)
{
	GArray *versions =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_table_config_version));
	const cJSON *item;

	cJSON_ArrayForEach (item, items) {
		struct mst_table_config_version version = {
		    .version = strtoull(read_attribute(item, "sk"), NULL, 10),
		    .document = read_attribute(item, "document"),
		    .author = read_attribute(item, "author"),
		    .reason = read_attribute(item, "reason"),
		    .patch = read_attribute(item, "patch"),
		    .patch_id = read_attribute(item, "patch_id"),
		    .created_at = read_attribute(item, "at")};

		g_array_append_val(versions, version);
	}
	return versions;
}

static void
on_versions(int status, const char *body, size_t len, void *ctx)
{
	struct request *request = ctx;
	cJSON *json = status == 200 ? cJSON_Parse(body) : NULL;
	const cJSON *items = cJSON_GetObjectItemCaseSensitive(json, "Items");
	GArray *versions;

	if (cJSON_IsArray(items)) {
		versions = read_versions(items);
		request->on_versions(MST_TABLE_OK, versions, request->ctx);
		g_array_unref(versions);
	} else {
		request->table->counters.failures++;
		request->on_versions(MST_TABLE_UNKNOWN, NULL, request->ctx);
	}
	cJSON_Delete(json);
	g_free(request);
}

void
mst_table_list_versions(struct mst_table *table, uint64_t from, uint32_t limit,
    mst_table_versions_cb cb, void *ctx)
{
	struct request *request = g_new0(struct request, 1);
	cJSON *body = query_new(table, TABLE_KEY_CONFIG, limit);
	char key[32];

	request->on_versions = cb;
	request->ctx = ctx;
	if (from > 0) {
		g_snprintf(key, sizeof(key), "%020" PRIu64, from);
		cJSON_AddStringToObject(
		    body, "KeyConditionExpression", "pk = :pk AND sk <= :sk");
		add_attribute(cJSON_GetObjectItemCaseSensitive(
				  body, "ExpressionAttributeValues"),
		    ":sk", "S", key);
	} else {
		cJSON_AddStringToObject(
		    body, "KeyConditionExpression", "pk = :pk");
	}
	table->counters.reads++;
	send_request(table, "Query", body, on_versions, request);
}

static void
on_write(int status, const char *body, size_t len, void *ctx)
{
	struct request *request = ctx;
	enum mst_table_result result = MST_TABLE_UNKNOWN;

	if (status == 200)
		result = MST_TABLE_OK;
	else if (status == 400 &&
	    (strstr(body, "TransactionCanceledException") != NULL ||
		strstr(body, "ConditionalCheckFailedException") != NULL))
		result = MST_TABLE_CONFLICT;
	if (result == MST_TABLE_UNKNOWN)
		request->table->counters.failures++;
	request->on_write(result, request->ctx);
	g_free(request);
}

/* Makes a transaction fail unless a version of the configuration exists. */
static void
add_version_check(const struct mst_table *table, cJSON *items, uint64_t version)
{
	cJSON *item = cJSON_CreateObject();
	cJSON *check = cJSON_AddObjectToObject(item, "ConditionCheck");
	cJSON *key;
	char sk[32];

	g_snprintf(sk, sizeof(sk), "%020" PRIu64, version);
	cJSON_AddStringToObject(check, "TableName", table->settings->table);
	key = cJSON_AddObjectToObject(check, "Key");
	add_attribute(key, "pk", "S", TABLE_KEY_CONFIG);
	add_attribute(key, "sk", "S", sk);
	cJSON_AddStringToObject(
	    check, "ConditionExpression", "attribute_exists(pk)");
	cJSON_AddItemToArray(items, item);
}

void
mst_table_put_version(struct mst_table *table,
    const struct mst_table_config_version *version, mst_table_write_cb cb,
    void *ctx)
{
	struct request *request = g_new0(struct request, 1);
	cJSON *body = cJSON_CreateObject();
	cJSON *items = cJSON_AddArrayToObject(body, "TransactItems");
	cJSON *put_item = cJSON_CreateObject();
	cJSON *put = cJSON_AddObjectToObject(put_item, "Put");
	cJSON *item;
	char sk[32];

	request->on_write = cb;
	request->ctx = ctx;
	g_snprintf(sk, sizeof(sk), "%020" PRIu64, version->version);
	cJSON_AddStringToObject(put, "TableName", table->settings->table);
	item = cJSON_AddObjectToObject(put, "Item");
	add_attribute(item, "pk", "S", TABLE_KEY_CONFIG);
	add_attribute(item, "sk", "S", sk);
	add_attribute(item, "document", "S", version->document);
	add_attribute(item, "author", "S", version->author);
	add_attribute(item, "reason", "S", version->reason);
	add_attribute(item, "patch", "S", version->patch);
	add_attribute(item, "patch_id", "S", version->patch_id);
	add_attribute(item, "at", "S", version->created_at);
	cJSON_AddStringToObject(
	    put, "ConditionExpression", "attribute_not_exists(pk)");
	cJSON_AddItemToArray(items, put_item);
	if (version->version > 1)
		add_version_check(table, items, version->version - 1);
	table->counters.writes++;
	send_request(table, "TransactWriteItems", body, on_write, request);
}

void
mst_table_put_entry(struct mst_table *table, const char *address,
    int64_t expires_s, mst_table_write_cb cb, void *ctx)
{
	struct request *request = g_new0(struct request, 1);
	cJSON *body = cJSON_CreateObject();
	cJSON *item;
	char expires[32];

	request->on_write = cb;
	request->ctx = ctx;
	g_snprintf(expires, sizeof(expires), "%" PRId64, expires_s);
	cJSON_AddStringToObject(body, "TableName", table->settings->table);
	item = cJSON_AddObjectToObject(body, "Item");
	add_attribute(item, "pk", "S", TABLE_KEY_ENTRY);
	add_attribute(item, "sk", "S", address);
	add_attribute(item, "expires", "N", expires);
	table->counters.writes++;
	send_request(table, "PutItem", body, on_write, request);
}

static void
on_entries(int status, const char *body, size_t len, void *ctx)
{
	struct request *request = ctx;
	cJSON *json = status == 200 ? cJSON_Parse(body) : NULL;
	const cJSON *items = cJSON_GetObjectItemCaseSensitive(json, "Items");
	GPtrArray *addresses = g_ptr_array_new();
	const cJSON *item;

	cJSON_ArrayForEach (item, items) {
		if (strtoll(read_attribute(item, "expires"), NULL, 10) >=
		    request->now_s)
			g_ptr_array_add(
			    addresses, (gpointer)read_attribute(item, "sk"));
	}
	if (!cJSON_IsArray(items))
		request->table->counters.failures++;
	request->on_entries(
	    cJSON_IsArray(items) ? MST_TABLE_OK : MST_TABLE_UNKNOWN, addresses,
	    request->ctx);
	g_ptr_array_unref(addresses);
	cJSON_Delete(json);
	g_free(request);
}

void
mst_table_list_entries(
    struct mst_table *table, int64_t now_s, mst_table_entries_cb cb, void *ctx)
{
	struct request *request = g_new0(struct request, 1);
	cJSON *body = query_new(table, TABLE_KEY_ENTRY, TABLE_ENTRIES_MAX);

	request->on_entries = cb;
	request->ctx = ctx;
	request->now_s = now_s;
	cJSON_AddStringToObject(body, "KeyConditionExpression", "pk = :pk");
	table->counters.reads++;
	send_request(table, "Query", body, on_entries, request);
}

const struct mst_table_counters *
mst_table_counters(const struct mst_table *table)
{
	return &table->counters;
}
