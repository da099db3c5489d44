/* Simulated store of job records and owner rows, in memory. */

#include "sim/store.h"

#include <string.h>

#define SCAN_RECORDS_MAX 20

struct sim_record {
	uint64_t version;
	struct mst_record record;
	char *tasks; /* owned; replaces record.tasks */
};

struct sim_owner {
	uint64_t version;
	bool released;
};

struct sim_store {
	uint64_t version;   /* of the last write */
	GTree *records;     /* key -> struct sim_record */
	GHashTable *owners; /* owner id -> struct sim_owner */
};

struct sim_store_request {
	struct mst_store_op op; /* refers to key and tasks below */
	char *key;
	char *tasks;
	enum mst_store_status status;
	uint64_t version;      /* of the row written */
	GArray *records;       /* struct mst_stored_record; strings owned */
	GArray *owners;        /* struct mst_stored_owner */
	bool has_more_records; /* SCAN: records follow the last one */
};

static void
record_free(gpointer data)
{
	struct sim_record *record = data;

	g_free(record->tasks);
	g_free(record);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer ctx)
{
	return strcmp(a, b);
}

struct sim_store *
sim_store_new(void)
{
	struct sim_store *store = g_new0(struct sim_store, 1);

	store->records =
	    g_tree_new_full(compare_keys, NULL, g_free, record_free);
	store->owners =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return store;
}

void
sim_store_free(struct sim_store *store)
{
	g_tree_unref(store->records);
	g_hash_table_unref(store->owners);
	g_free(store);
}

static void
clear_stored_record(gpointer data)
{
	struct mst_stored_record *stored = data;

	g_free((char *)stored->key);
	g_free((char *)stored->record.tasks);
}

struct sim_store_request *
sim_store_request_new(const struct mst_store_op *op)
{
	struct sim_store_request *request = g_new0(struct sim_store_request, 1);

	request->op = *op;
	request->op.key = request->key = g_strdup(op->key);
	request->op.record.tasks = request->tasks = g_strdup(op->record.tasks);
	request->records =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_stored_record));
	g_array_set_clear_func(request->records, clear_stored_record);
	request->owners =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_stored_owner));
	return request;
}

void
sim_store_request_free(struct sim_store_request *request)
{
	if (request == NULL)
		return;
	g_free(request->key);
	g_free(request->tasks);
	g_array_unref(request->records);
	g_array_unref(request->owners);
	g_free(request);
}

const struct mst_store_op *
sim_store_request_op(const struct sim_store_request *request)
{
	return &request->op;
}

static void
append_record(struct sim_store_request *request, const char *key,
    const struct sim_record *record)
{
	struct mst_stored_record stored = {.key = g_strdup(key),
	    .version = record->version,
	    .record = record->record};

	stored.record.tasks = g_strdup(record->tasks);
	g_array_append_val(request->records, stored);
}

static void
write_record(struct sim_store *store, struct sim_store_request *request)
{
	struct sim_record *record = g_tree_lookup(store->records, request->key);
	uint64_t current_version = record != NULL ? record->version : 0;

	if (current_version != request->op.expected) {
		request->status = MST_STORE_CONFLICT;
		if (record != NULL)
			append_record(request, request->key, record);
		return;
	}
	record = g_new0(struct sim_record, 1);
	record->version = request->version = ++store->version;
	record->record = request->op.record;
	record->tasks = g_strdup(request->tasks);
	g_tree_replace(store->records, g_strdup(request->key), record);
}

struct scan_context {
	struct sim_store_request *request;
	unsigned remaining;
};

/* Appends a record of the scanned partition, which a key's last digit names. */
static gboolean
append_if_in_scan(gpointer key, gpointer value, gpointer ctx)
{
	struct scan_context *context = ctx;
	const char *record_key = key;
	unsigned partition =
	    (unsigned)g_ascii_xdigit_value(record_key[strlen(record_key) - 1]);

	if (partition != context->request->op.partition ||
	    (context->request->key != NULL &&
		strcmp(record_key, context->request->key) <= 0))
		return FALSE;
	if (context->remaining-- == 0) {
		context->request->has_more_records = true;
		return TRUE;
	}
	append_record(context->request, record_key, value);
	return FALSE;
}

static void
append_owner(struct sim_store_request *request, uint64_t id,
    const struct sim_owner *owner)
{
	const struct mst_stored_owner stored = {.owner = id,
	    .version = owner->version,
	    .released = owner->released};

	g_array_append_val(request->owners, stored);
}

static void
append_owners(struct sim_store *store, struct sim_store_request *request)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, store->owners);
	while (g_hash_table_iter_next(&iter, &key, &value))
		append_owner(request, *(const uint64_t *)key, value);
}

static void
write_owner(struct sim_store *store, struct sim_store_request *request)
{
	uint64_t id = request->op.owner;
	struct sim_owner *owner = g_hash_table_lookup(store->owners, &id);

	if ((owner != NULL ? owner->version : 0) != request->op.expected) {
		request->status = MST_STORE_CONFLICT;
		if (owner != NULL)
			append_owner(request, id, owner);
		return;
	}
	request->version = ++store->version;
	if (request->op.kind == MST_STORE_RETIRE) {
		g_hash_table_remove(store->owners, &id);
		return;
	}
	owner = g_new0(struct sim_owner, 1);
	owner->version = request->version;
	owner->released = request->op.released;
	g_hash_table_replace(store->owners, g_memdup2(&id, sizeof(id)), owner);
}

void
sim_store_perform(struct sim_store *store, struct sim_store_request *request)
{
	struct scan_context scan = {
	    .request = request, .remaining = SCAN_RECORDS_MAX};
	const struct sim_record *record;

	request->status = MST_STORE_OK;
	switch (request->op.kind) {
	case MST_STORE_CREATE:
	case MST_STORE_UPDATE:
	case MST_STORE_CANCEL:
		write_record(store, request);
		break;
	case MST_STORE_GET_RECORD:
		record = g_tree_lookup(store->records, request->key);
		if (record != NULL)
			append_record(request, request->key, record);
		break;
	case MST_STORE_SCAN:
		g_tree_foreach(store->records, append_if_in_scan, &scan);
		break;
	case MST_STORE_REMOVE:
		g_tree_remove(store->records, request->key);
		break;
	case MST_STORE_RENEW:
	case MST_STORE_RETIRE:
		write_owner(store, request);
		break;
	case MST_STORE_OWNERS:
		append_owners(store, request);
		break;
	case MST_STORE_GET_JOB:
		break;
	}
}

struct mst_store_answer
sim_store_request_answer(
    const struct sim_store_request *request, bool unavailable)
{
	struct mst_store_answer answer = {
	    .id = request->op.id, .status = MST_STORE_UNAVAILABLE};

	if (unavailable)
		return answer;
	answer.status = request->status;
	answer.version = request->version;
	answer.records =
	    (const struct mst_stored_record *)request->records->data;
	answer.record_count = request->records->len;
	answer.owners = (const struct mst_stored_owner *)request->owners->data;
	answer.owner_count = request->owners->len;
	answer.more_records = request->has_more_records;
	return answer;
}

int
sim_store_state(const struct sim_store *store, const char *key)
{
	const struct sim_record *record = g_tree_lookup(store->records, key);

	return record != NULL ? record->record.state : 0;
}
