#include "runtime/record_store.h"

#include <string.h>

#include "api/record_json.h"
#include "base/log.h"

#define CALL_MS     600
#define BATCH_MAX   30 /* operations in one transaction */
#define BATCH_ROWS  3  /* at most, of one operation */
#define BATCHES_MAX 3  /* at once */
#define GATHER_MS   2
#define SCAN_LIMIT  200
#define PART_TEXT   4
#define OWNER_TEXT  20

/* An operation on its way, with copies of what it refers to. */
struct work {
	struct record_store *records;
	struct mst_store_op op;
	char part[PART_TEXT];
	char owner[OWNER_TEXT];
	char *key;
	char *value; /* of the row that is set */
	char *job;
};

struct batch {
	struct record_store *records;
	GPtrArray *works;
};

struct record_store {
	struct record_store_options options;
	GQueue changes; /* struct work, of records */
	unsigned batches;
	uv_timer_t gather;
};

static enum mst_store_status
status_of(enum store_status status)
{
	switch (status) {
	case STORE_OK:
		return MST_STORE_OK;
	case STORE_CONFLICT:
		return MST_STORE_CONFLICT;
	case STORE_BUSY:
	case STORE_COMPACTED:
		return MST_STORE_BUSY;
	case STORE_UNAVAILABLE:
	case STORE_INVALID:
		break;
	}
	return MST_STORE_UNAVAILABLE;
}

static void
work_free(gpointer data)
{
	struct work *work = data;

	g_free(work->key);
	cJSON_free(work->value);
	g_free(work->job);
	g_free(work);
}

/* Jobs are spread by the last digit of their keys. */
static void
part_of(char *out, const char *key)
{
	size_t len = strlen(key);

	g_snprintf(out, PART_TEXT, "%x",
	    len > 0 ? (unsigned)g_ascii_xdigit_value(key[len - 1]) & 0xf : 0);
}

static void
answer(const struct work *work, struct mst_store_answer *answer)
{
	answer->id = work->op.id;
	work->records->options.on_answer(answer, work->records->options.ctx);
}

/* Records that were read, and the documents that their strings are in. */
struct found {
	GArray *records; /* struct mst_stored_record */
	GPtrArray *documents;
};

static void
found_init(struct found *found)
{
	found->records =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_stored_record));
	found->documents =
	    g_ptr_array_new_with_free_func((GDestroyNotify)cJSON_Delete);
}

static void
found_clear(struct found *found)
{
	g_array_unref(found->records);
	g_ptr_array_unref(found->documents);
}

static void
found_add(struct found *found, const struct store_row *row)
{
	struct mst_stored_record record = {
	    .key = row->key, .version = row->version};
	cJSON *document = record_json_read(&record.record, row->value);

	if (document == NULL) {
		mst_log(MST_LOG_ERROR, "record-unreadable", "job=%s", row->key);
		return;
	}
	g_ptr_array_add(found->documents, document);
	g_array_append_val(found->records, record);
}

/* Changes of records. */

static bool
is_change(enum mst_store_op_kind kind)
{
	return kind == MST_STORE_CREATE || kind == MST_STORE_UPDATE ||
	    kind == MST_STORE_CANCEL || kind == MST_STORE_REMOVE;
}

static struct store_row
row_of(const struct work *work, const char *table, const char *value)
{
	return (struct store_row){.table = table,
	    .partition = work->part,
	    .key = work->key,
	    .value = value,
	    .version = work->op.expected};
}

static void
add_rows(GArray *rows, GArray *expected, const struct work *work)
{
	struct store_row record =
	    row_of(work, STORE_TABLE_RECORDS, work->value);
	struct store_row job = row_of(work, STORE_TABLE_JOBS, work->job);
	struct store_row cancel = row_of(work, STORE_TABLE_CANCELS, NULL);

	g_array_append_val(rows, record);
	cancel.partition = "";
	switch (work->op.kind) {
	case MST_STORE_CREATE:
		g_array_append_val(rows, job);
		break;
	case MST_STORE_CANCEL:
		cancel.value = work->key;
		g_array_append_val(rows, cancel);
		break;
	case MST_STORE_REMOVE:
		g_array_append_val(rows, job);
		g_array_append_val(rows, cancel);
		return;
	default:
		break;
	}
	g_array_append_val(expected, record);
}

static void batches_start(struct record_store *records);

static const struct store_row *
find_row(const struct store_result *rows, const char *key)
{
	size_t i;

	for (i = 0; i < rows->count; i++) {
		if (strcmp(rows->rows[i].table, STORE_TABLE_RECORDS) == 0 &&
		    strcmp(rows->rows[i].key, key) == 0)
			return &rows->rows[i];
	}
	return NULL;
}

/* Answers an operation that another one's change has overtaken; false when its
 * row is as expected. */
static bool
answer_conflict(const struct work *work, const struct store_result *rows)
{
	const struct store_row *row = find_row(rows, work->key);
	struct mst_store_answer out = {.status = MST_STORE_CONFLICT};
	struct found found;

	if (work->op.kind == MST_STORE_REMOVE ||
	    (row != NULL ? row->version : 0) == work->op.expected)
		return false;
	found_init(&found);
	if (row != NULL && row->value != NULL)
		found_add(&found, row);
	out.records = (const struct mst_stored_record *)found.records->data;
	out.record_count = found.records->len;
	answer(work, &out);
	found_clear(&found);
	return true;
}

static void
on_batch(const struct store_result *rows, void *ctx)
{
	struct batch *batch = ctx;
	struct record_store *records = batch->records;
	struct mst_store_answer out = {
	    .status = status_of(rows->status), .version = rows->revision};
	bool conflict = rows->status == STORE_CONFLICT;
	guint answered = 0, i;

	records->batches--;
	for (i = 0; i < batch->works->len; i++) {
		struct work *work = batch->works->pdata[i];

		if (!conflict)
			answer(work, &out);
		if (conflict && !answer_conflict(work, rows)) {
			g_queue_push_tail(&records->changes, work);
			continue;
		}
		answered++;
		work_free(work);
	}
	if (answered == 0) {
		/* A conflict that no row explains isn't tried again. */
		struct work *work = g_queue_pop_tail(&records->changes);

		out.status = MST_STORE_BUSY;
		mst_log(
		    MST_LOG_ERROR, "conflict-unexplained", "job=%s", work->key);
		answer(work, &out);
		work_free(work);
	}
	g_ptr_array_unref(batch->works);
	g_free(batch);
	batches_start(records);
}

static void
batch_start(struct record_store *records)
{
	struct batch *batch = g_new0(struct batch, 1);
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct store_row));
	GArray *expected = g_array_new(FALSE, FALSE, sizeof(struct store_row));
	struct store_txn change;
	struct work *work;

	batch->records = records;
	batch->works = g_ptr_array_new();
	while (batch->works->len < BATCH_MAX &&
	    (work = g_queue_pop_head(&records->changes)) != NULL) {
		g_ptr_array_add(batch->works, work);
		add_rows(rows, expected, work);
	}
	change =
	    (struct store_txn){.rows = (const struct store_row *)rows->data,
		.count = rows->len,
		.conditions = (const struct store_row *)expected->data,
		.condition_count = expected->len};
	records->batches++;
	records->options.drivers->store->commit(
	    records->options.store, &change, CALL_MS, on_batch, batch);
	g_array_unref(rows);
	g_array_unref(expected);
}

static void
batches_start(struct record_store *records)
{
	while (records->batches < BATCHES_MAX &&
	    !g_queue_is_empty(&records->changes))
		batch_start(records);
}

static void
on_gather(uv_timer_t *timer)
{
	batches_start(timer->data);
}

/* Reading records. */

static void
on_records(const struct store_result *rows, void *ctx)
{
	struct work *work = ctx;
	struct mst_store_answer out = {
	    .status = status_of(rows->status), .more_records = rows->more_rows};
	struct found found;
	size_t i;

	found_init(&found);
	for (i = 0; rows->status == STORE_OK && i < rows->count; i++) {
		bool same = work->key != NULL &&
		    strcmp(rows->rows[i].key, work->key) == 0;

		/* One is asked for by its key; a scan goes on after one. */
		if (same == (work->op.kind == MST_STORE_GET_RECORD))
			found_add(&found, &rows->rows[i]);
	}
	out.records = (const struct mst_stored_record *)found.records->data;
	out.record_count = found.records->len;
	answer(work, &out);
	found_clear(&found);
	work_free(work);
}

static void
on_job(const struct store_result *rows, void *ctx)
{
	struct work *work = ctx;
	const struct frontend_driver *port =
	    work->records->options.drivers->frontend;
	struct mst_store_answer out = {.status = status_of(rows->status)};
	struct frontend_request job = {0};
	struct mst_queue_config queue;
	const char *body;
	cJSON *document = NULL;

	if (rows->status == STORE_OK && rows->count > 0 &&
	    strcmp(rows->rows[0].key, work->key) == 0)
		document =
		    stored_job_json_read(&queue, &body, rows->rows[0].value);
	if (document != NULL) {
		port->read_stored(&job, work->key, body, &queue);
		if (job.kind == FRONTEND_REQ_SUBMIT)
			out.spec = &job.spec;
		else
			mst_log(MST_LOG_ERROR, "job-unreadable",
			    "job=%s fault=%s", work->key,
			    mst_log_quote(job.fault));
	}
	answer(work, &out);
	if (document != NULL)
		port->release(&job);
	cJSON_Delete(document);
	work_free(work);
}

/* Rows of owners. */

static void
on_owners(const struct store_result *rows, void *ctx)
{
	struct work *work = ctx;
	struct mst_store_answer out = {
	    .status = status_of(rows->status), .version = rows->revision};
	GArray *owners =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_stored_owner));
	GPtrArray *lists =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	GPtrArray *documents =
	    g_ptr_array_new_with_free_func((GDestroyNotify)cJSON_Delete);
	size_t i;

	for (i = 0; i < rows->count; i++) {
		const struct store_row *row = &rows->rows[i];
		GArray *lengths =
		    g_array_new(FALSE, FALSE, sizeof(struct mst_queue_length));
		struct mst_stored_owner owner = {
		    .owner = g_ascii_strtoull(row->key, NULL, 16),
		    .version = row->version};

		g_ptr_array_add(lists, lengths);
		if (row->value == NULL)
			continue;
		g_ptr_array_add(documents,
		    owner_json_read(lengths, &owner.released, row->value));
		owner.lengths = (const struct mst_queue_length *)lengths->data;
		owner.length_count = lengths->len;
		g_array_append_val(owners, owner);
	}
	out.owners = (const struct mst_stored_owner *)owners->data;
	out.owner_count = owners->len;
	answer(work, &out);
	g_array_unref(owners);
	g_ptr_array_unref(lists);
	g_ptr_array_unref(documents);
	work_free(work);
}

static void
change_owner(struct work *work)
{
	const struct record_store_options *options = &work->records->options;
	const struct store_row row = {.table = STORE_TABLE_OWNERS,
	    .partition = "",
	    .key = work->owner,
	    .value = work->value,
	    .version = work->op.expected};
	const struct store_txn change = {
	    .rows = &row, .count = 1, .conditions = &row, .condition_count = 1};

	options->drivers->store->commit(
	    options->store, &change, CALL_MS, on_owners, work);
}

static void
list(struct work *work, const char *table, const char *part, const char *from,
    uint32_t limit, store_result_cb on_rows)
{
	const struct record_store_options *options = &work->records->options;
	const struct store_range range = {
	    .table = table, .partition = part, .from = from, .limit = limit};

	options->drivers->store->list_range(
	    options->store, &range, CALL_MS, on_rows, work);
}

static void
change_later(struct work *work)
{
	struct record_store *records = work->records;

	g_queue_push_tail(&records->changes, work);
	if (records->batches == 0 || records->changes.length >= BATCH_MAX)
		uv_timer_start(&records->gather, on_gather, GATHER_MS, 0);
}

struct record_store *
record_store_new(const struct record_store_options *options)
{
	struct record_store *records = g_new0(struct record_store, 1);

	records->options = *options;
	g_queue_init(&records->changes);
	uv_timer_init(options->loop, &records->gather);
	uv_unref((uv_handle_t *)&records->gather);
	records->gather.data = records;
	return records;
}

static struct work *
work_new(struct record_store *records, const struct mst_store_op *op)
{
	struct work *work = g_new0(struct work, 1);

	work->records = records;
	work->op = *op;
	work->key = g_strdup(op->key);
	work->job = g_strdup(op->serialized_job);
	g_snprintf(work->owner, sizeof(work->owner),
	    "%016" G_GINT64_MODIFIER "x", op->owner);
	if (op->kind == MST_STORE_SCAN)
		g_snprintf(work->part, sizeof(work->part), "%x", op->partition);
	else if (op->key != NULL)
		part_of(work->part, op->key);
	if (op->kind == MST_STORE_RENEW)
		work->value = owner_json_write(
		    op->lengths, op->length_count, op->released);
	else if (is_change(op->kind) && op->kind != MST_STORE_REMOVE)
		work->value = record_json_write(&op->record);
	return work;
}

void
record_store_submit(struct record_store *records, const struct mst_store_op *op)
{
	struct work *work = work_new(records, op);

	switch (op->kind) {
	case MST_STORE_CREATE:
	case MST_STORE_UPDATE:
	case MST_STORE_CANCEL:
	case MST_STORE_REMOVE:
		change_later(work);
		break;
	case MST_STORE_GET_RECORD:
		list(work, STORE_TABLE_RECORDS, work->part, work->key, 1,
		    on_records);
		break;
	case MST_STORE_GET_JOB:
		list(work, STORE_TABLE_JOBS, work->part, work->key, 1, on_job);
		break;
	case MST_STORE_SCAN:
		list(work, STORE_TABLE_RECORDS, work->part, work->key,
		    SCAN_LIMIT, on_records);
		break;
	case MST_STORE_OWNERS:
		list(work, STORE_TABLE_OWNERS, "", NULL, 0, on_owners);
		break;
	case MST_STORE_RENEW:
	case MST_STORE_RETIRE:
		change_owner(work);
		break;
	}
}
