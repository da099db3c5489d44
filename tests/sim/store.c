#include "sim/store.h"

#include <string.h>

#define SCAN_LIMIT 20

struct sim_record {
	uint64_t version; /* 0: removed */
	struct mst_record record;
	char *tasks;
};

struct sim_owner {
	uint64_t version;
	bool released;
};

struct sim_store {
	uint64_t version;
	GTree *records;     /* key -> struct sim_record */
	GHashTable *owners; /* id -> struct sim_owner */
};

struct sim_store_request {
	struct mst_store_op op; /* strings owned */
	char *key;
	char *tasks;
	enum mst_store_status status;
	uint64_t version;
	GArray *records; /* struct mst_stored_record; strings owned */
	GArray *owners;  /* struct mst_stored_owner */
	bool more;
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
stored_clear(gpointer data)
{
	struct mst_stored_record *stored = data;

	g_free((char *)stored->key);
	g_free((char *)stored->record.tasks);
}

struct sim_store_request *
sim_store_request_new(const struct mst_store_op *op)
{
	struct sim_store_request *work = g_new0(struct sim_store_request, 1);

	work->op = *op;
	work->op.key = work->key = g_strdup(op->key);
	work->op.record.tasks = work->tasks = g_strdup(op->record.tasks);
	work->records =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_stored_record));
	g_array_set_clear_func(work->records, stored_clear);
	work->owners =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_stored_owner));
	return work;
}

void
sim_store_request_free(struct sim_store_request *work)
{
	if (work == NULL)
		return;
	g_free(work->key);
	g_free(work->tasks);
	g_array_unref(work->records);
	g_array_unref(work->owners);
	g_free(work);
}

const struct mst_store_op *
sim_store_request_op(const struct sim_store_request *work)
{
	return &work->op;
}

static void
show_record(struct sim_store_request *work, const char *key,
    const struct sim_record *record)
{
	struct mst_stored_record stored = {.key = g_strdup(key),
	    .version = record->version,
	    .record = record->record};

	stored.record.tasks = g_strdup(record->tasks);
	g_array_append_val(work->records, stored);
}

static void
change_record(struct sim_store *store, struct sim_store_request *work)
{
	struct sim_record *record = g_tree_lookup(store->records, work->key);
	uint64_t present = record != NULL ? record->version : 0;

	if (present != work->op.expected) {
		work->status = MST_STORE_CONFLICT;
		if (record != NULL)
			show_record(work, work->key, record);
		return;
	}
	record = g_new0(struct sim_record, 1);
	record->version = work->version = ++store->version;
	record->record = work->op.record;
	record->tasks = g_strdup(work->tasks);
	g_tree_replace(store->records, g_strdup(work->key), record);
}

struct scan {
	struct sim_store_request *work;
	unsigned left;
};

static gboolean
scan_record(gpointer key, gpointer value, gpointer ctx)
{
	struct scan *scan = ctx;
	const char *name = key;
	unsigned part = (unsigned)g_ascii_xdigit_value(name[strlen(name) - 1]);

	if (part != scan->work->op.partition ||
	    (scan->work->key != NULL && strcmp(name, scan->work->key) <= 0))
		return FALSE;
	if (scan->left-- == 0) {
		scan->work->more = true;
		return TRUE;
	}
	show_record(scan->work, name, value);
	return FALSE;
}

static void
show_owner(
    struct sim_store_request *work, uint64_t id, const struct sim_owner *owner)
{
	const struct mst_stored_owner stored = {.owner = id,
	    .version = owner->version,
	    .released = owner->released};

	g_array_append_val(work->owners, stored);
}

static void
show_owners(struct sim_store *store, struct sim_store_request *work)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, store->owners);
	while (g_hash_table_iter_next(&iter, &key, &value))
		show_owner(work, *(const uint64_t *)key, value);
}

static void
change_owner(struct sim_store *store, struct sim_store_request *work)
{
	uint64_t id = work->op.owner;
	struct sim_owner *owner = g_hash_table_lookup(store->owners, &id);

	if ((owner != NULL ? owner->version : 0) != work->op.expected) {
		work->status = MST_STORE_CONFLICT;
		if (owner != NULL)
			show_owner(work, id, owner);
		return;
	}
	work->version = ++store->version;
	if (work->op.kind == MST_STORE_RETIRE) {
		g_hash_table_remove(store->owners, &id);
		return;
	}
	owner = g_new0(struct sim_owner, 1);
	owner->version = work->version;
	owner->released = work->op.released;
	g_hash_table_replace(store->owners, g_memdup2(&id, sizeof(id)), owner);
}

void
sim_store_perform(struct sim_store *store, struct sim_store_request *work)
{
	struct scan scan = {.work = work, .left = SCAN_LIMIT};
	const struct sim_record *record;

	work->status = MST_STORE_OK;
	switch (work->op.kind) {
	case MST_STORE_CREATE:
	case MST_STORE_UPDATE:
	case MST_STORE_CANCEL:
		change_record(store, work);
		break;
	case MST_STORE_GET_RECORD:
		record = g_tree_lookup(store->records, work->key);
		if (record != NULL)
			show_record(work, work->key, record);
		break;
	case MST_STORE_SCAN:
		g_tree_foreach(store->records, scan_record, &scan);
		break;
	case MST_STORE_REMOVE:
		g_tree_remove(store->records, work->key);
		break;
	case MST_STORE_RENEW:
	case MST_STORE_RETIRE:
		change_owner(store, work);
		break;
	case MST_STORE_OWNERS:
		show_owners(store, work);
		break;
	case MST_STORE_GET_JOB:
		break;
	}
}

struct mst_store_answer
sim_store_request_answer(const struct sim_store_request *work, bool away)
{
	struct mst_store_answer answer = {
	    .id = work->op.id, .status = MST_STORE_UNAVAILABLE};

	if (away)
		return answer;
	answer.status = work->status;
	answer.version = work->version;
	answer.records = (const struct mst_stored_record *)work->records->data;
	answer.record_count = work->records->len;
	answer.owners = (const struct mst_stored_owner *)work->owners->data;
	answer.owner_count = work->owners->len;
	answer.more_records = work->more;
	return answer;
}

int
sim_store_state(const struct sim_store *store, const char *key)
{
	const struct sim_record *record = g_tree_lookup(store->records, key);

	return record != NULL ? record->record.state : 0;
}
