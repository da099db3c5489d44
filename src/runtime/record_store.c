#include "runtime/record_store.h"

#include <string.h>

#include "api/record_json.h"
#include "base/log.h"

#define CALL_TIMEOUT_MS       600
#define BATCH_OPS_MAX         30 /* operations per transaction */
#define BATCHES_IN_FLIGHT_MAX 3  /* concurrent transactions */
#define BATCH_DELAY_MS        2
#define SCAN_ROWS_MAX         200
#define PARTITION_TEXT_SIZE   4
#define OWNER_TEXT_SIZE       20

/* The row of an owner, and what owns its strings. */
struct owner_row {
	struct mst_stored_owner owner;
	GArray *lengths; /* struct mst_queue_length */
	cJSON *document; /* NULL: the value can't be read */
};

/* An operation that has not been answered yet; owns copies of its strings. */
struct pending_op {
	struct record_store *store;
	struct mst_store_op op;
	char partition[PARTITION_TEXT_SIZE];
	char owner[OWNER_TEXT_SIZE]; /* incarnation in hexadecimal */
	char *key;   /* of the job, or the last one read; may be NULL */
	char *value; /* text of the record or the owner row */
	char *serialized_job; /* MST_STORE_CREATE: text of the job */
	GArray *owners; /* struct owner_row, that were read; may be NULL */
};

/* A transaction in flight. */
struct batch {
	struct record_store *store;
	GPtrArray *ops; /* struct pending_op */
};

struct record_store {
	struct record_store_options options;
	GQueue queued_changes; /* struct pending_op that change records */
	unsigned batches_in_flight;
	uv_timer_t batch_timer; /* delays a batch to collect changes */
};

static enum mst_store_status
to_mst_store_status(enum store_status status)
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
pending_op_free(gpointer data)
{
	struct pending_op *pending = data;

	g_free(pending->key);
	cJSON_free(pending->value);
	g_free(pending->serialized_job);
	if (pending->owners != NULL)
		g_array_unref(pending->owners);
	g_free(pending);
}

/* Formats the partition of a job: the last hexadecimal digit of its key. */
static void
format_partition(char *out, const char *key)
{
	size_t len = strlen(key);

	g_snprintf(out, PARTITION_TEXT_SIZE, "%x",
	    len > 0 ? (unsigned)g_ascii_xdigit_value(key[len - 1]) & 0xf : 0);
}

static void
report_answer(const struct pending_op *pending, struct mst_store_answer *answer)
{
	answer->id = pending->op.id;
	pending->store->options.on_answer(answer, pending->store->options.ctx);
}

/* Records that were read, and the JSON documents that own their strings. */
struct record_list {
	GArray *records;      /* struct mst_stored_record */
	GPtrArray *documents; /* cJSON */
};

static void
record_list_init(struct record_list *list)
{
	list->records =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_stored_record));
	list->documents =
	    g_ptr_array_new_with_free_func((GDestroyNotify)cJSON_Delete);
}

static void
record_list_clear(struct record_list *list)
{
	g_array_unref(list->records);
	g_ptr_array_unref(list->documents);
}

/* Returns the value of a row, which may be empty. */
static const char *
row_text(const struct store_row *row)
{
	return row->value != NULL ? row->value : "";
}

/* Returns false for a record whose format is not known. It is left alone: a
 * newer build may have written it. */
static bool
record_list_add(struct record_list *list, const struct store_row *row)
{
	struct mst_stored_record record = {
	    .key = row->key, .version = row->version};
	struct input_fault fault;
	cJSON *document =
	    record_json_read(&record.record, &fault, row_text(row));

	if (document == NULL) {
		input_fault_report(INPUT_RECORD, row->key, &fault);
		return false;
	}
	g_ptr_array_add(list->documents, document);
	g_array_append_val(list->records, record);
	return true;
}

/* Changes to records */

static bool
is_record_change(enum mst_store_op_kind kind)
{
	return kind == MST_STORE_CREATE || kind == MST_STORE_UPDATE ||
	    kind == MST_STORE_CANCEL || kind == MST_STORE_REMOVE;
}

static struct store_row
make_row(const struct pending_op *pending, const char *table, const char *value)
{
	return (struct store_row){.table = table,
	    .partition = pending->partition,
	    .key = pending->key,
	    .value = value,
	    .version = pending->op.expected};
}

static void
add_rows(GArray *rows, GArray *conditions, const struct pending_op *pending)
{
	struct store_row record_row =
	    make_row(pending, STORE_TABLE_RECORDS, pending->value);
	struct store_row job_row =
	    make_row(pending, STORE_TABLE_JOBS, pending->serialized_job);
	struct store_row cancel_row =
	    make_row(pending, STORE_TABLE_CANCELS, NULL);

	g_array_append_val(rows, record_row);
	cancel_row.partition = "";
	switch (pending->op.kind) {
	case MST_STORE_CREATE:
		g_array_append_val(rows, job_row);
		break;
	case MST_STORE_CANCEL:
		cancel_row.value = pending->key;
		g_array_append_val(rows, cancel_row);
		break;
	case MST_STORE_REMOVE:
		g_array_append_val(rows, job_row);
		g_array_append_val(rows, cancel_row);
		return;
	default:
		break;
	}
	g_array_append_val(conditions, record_row);
}

static void commit_batches(struct record_store *store);

static const struct store_row *
find_record_row(const struct store_result *result, const char *key)
{
	size_t i;

	for (i = 0; i < result->count; i++) {
		if (strcmp(result->rows[i].table, STORE_TABLE_RECORDS) == 0 &&
		    strcmp(result->rows[i].key, key) == 0)
			return &result->rows[i];
	}
	return NULL;
}

/*
 * Answers an operation whose record has been changed by others since it was
 * read. Returns false if the operation did not cause the conflict: its record
 * has the expected version, or it is a removal, which has no condition.
 */
static bool
report_conflict(
    const struct pending_op *pending, const struct store_result *result)
{
	const struct store_row *row = find_record_row(result, pending->key);
	struct mst_store_answer answer = {.status = MST_STORE_CONFLICT};
	struct record_list list;

	if (pending->op.kind == MST_STORE_REMOVE ||
	    (row != NULL ? row->version : 0) == pending->op.expected)
		return false;
	record_list_init(&list);
	if (row != NULL && row->value != NULL)
		record_list_add(&list, row);
	answer.records = (const struct mst_stored_record *)list.records->data;
	answer.record_count = list.records->len;
	report_answer(pending, &answer);
	record_list_clear(&list);
	return true;
}

static void
on_batch_committed(const struct store_result *result, void *ctx)
{
	struct batch *batch = ctx;
	struct record_store *store = batch->store;
	struct mst_store_answer answer = {
	    .status = to_mst_store_status(result->status),
	    .version = result->revision};
	bool conflict = result->status == STORE_CONFLICT;
	guint answered_count = 0, i;

	store->batches_in_flight--;
	for (i = 0; i < batch->ops->len; i++) {
		struct pending_op *pending = batch->ops->pdata[i];

		if (!conflict)
			report_answer(pending, &answer);
		if (conflict && !report_conflict(pending, result)) {
			g_queue_push_tail(&store->queued_changes, pending);
			continue;
		}
		answered_count++;
		pending_op_free(pending);
	}
	if (answered_count == 0) {
		/* No operation explains the conflict, so a retry of all of
		 * them would fail again; one is answered as busy. */
		struct pending_op *pending =
		    g_queue_pop_tail(&store->queued_changes);

		answer.status = MST_STORE_BUSY;
		mst_log(MST_LOG_ERROR, "conflict-unexplained", "job=%s",
		    pending->key);
		report_answer(pending, &answer);
		pending_op_free(pending);
	}
	g_ptr_array_unref(batch->ops);
	g_free(batch);
	commit_batches(store);
}

static void
commit_batch(struct record_store *store)
{
	struct batch *batch = g_new0(struct batch, 1);
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct store_row));
	GArray *conditions =
	    g_array_new(FALSE, FALSE, sizeof(struct store_row));
	struct store_txn txn;
	struct pending_op *pending;

	batch->store = store;
	batch->ops = g_ptr_array_new();
	while (batch->ops->len < BATCH_OPS_MAX &&
	    (pending = g_queue_pop_head(&store->queued_changes)) != NULL) {
		g_ptr_array_add(batch->ops, pending);
		add_rows(rows, conditions, pending);
	}
	txn = (struct store_txn){.rows = (const struct store_row *)rows->data,
	    .count = rows->len,
	    .conditions = (const struct store_row *)conditions->data,
	    .condition_count = conditions->len};
	store->batches_in_flight++;
	store->options.drivers->store->commit(store->options.store, &txn,
	    CALL_TIMEOUT_MS, on_batch_committed, batch);
	g_array_unref(rows);
	g_array_unref(conditions);
}

static void
commit_batches(struct record_store *store)
{
	while (store->batches_in_flight < BATCHES_IN_FLIGHT_MAX &&
	    !g_queue_is_empty(&store->queued_changes))
		commit_batch(store);
}

static void
on_batch_timer(uv_timer_t *timer)
{
	commit_batches(timer->data);
}

/* Reads of records and jobs */

static void
list_rows(struct pending_op *pending, const char *table, const char *partition,
    const char *from, uint32_t limit, store_result_cb on_result)
{
	const struct record_store_options *options = &pending->store->options;
	const struct store_range range = {.table = table,
	    .partition = partition,
	    .from = from,
	    .limit = limit};

	options->drivers->store->list_range(
	    options->store, &range, CALL_TIMEOUT_MS, on_result, pending);
}

static void scan_records(struct pending_op *pending);

/* Adds the records of a page to a list. Returns false if the requested one is
 * there, but can't be read. */
static bool
read_records(struct record_list *list, const struct pending_op *pending,
    const struct store_result *result)
{
	bool is_readable = true;
	size_t i;

	for (i = 0; i < result->count; i++) {
		bool is_requested_key = pending->key != NULL &&
		    strcmp(result->rows[i].key, pending->key) == 0;

		/* Ranges include their first key; scans start after it. */
		if (is_requested_key !=
		    (pending->op.kind == MST_STORE_GET_RECORD))
			continue;
		if (!record_list_add(list, &result->rows[i]) &&
		    is_requested_key)
			is_readable = false;
	}
	return is_readable;
}

/*
 * Reads the next page of a scan in place of one that has no record that can be
 * read: an answer without a record would end the scan of the partition. Returns
 * false if the page has records, or is the last one.
 */
static bool
scan_next_page(struct pending_op *pending, const struct store_result *result,
    const struct record_list *list)
{
	const char *last;

	if (pending->op.kind != MST_STORE_SCAN || !result->more_rows ||
	    result->count == 0 || list->records->len > 0)
		return false;
	last = result->rows[result->count - 1].key;
	if (g_strcmp0(last, pending->key) <= 0)
		return false;
	g_free(pending->key);
	pending->key = g_strdup(last);
	scan_records(pending);
	return true;
}

static void
on_records_read(const struct store_result *result, void *ctx)
{
	struct pending_op *pending = ctx;
	struct mst_store_answer answer = {
	    .status = to_mst_store_status(result->status),
	    .more_records = result->more_rows};
	struct record_list list;
	bool is_continued = false;

	record_list_init(&list);
	if (result->status == STORE_OK) {
		/* The job exists, but its state is not known. */
		if (!read_records(&list, pending, result))
			answer.status = MST_STORE_UNAVAILABLE;
		is_continued = scan_next_page(pending, result, &list);
	}
	answer.records = (const struct mst_stored_record *)list.records->data;
	answer.record_count = list.records->len;
	if (!is_continued) {
		report_answer(pending, &answer);
		pending_op_free(pending);
	}
	record_list_clear(&list);
}

static void
scan_records(struct pending_op *pending)
{
	list_rows(pending, STORE_TABLE_RECORDS, pending->partition,
	    pending->key, SCAN_ROWS_MAX, on_records_read);
}

static void
on_job_read(const struct store_result *result, void *ctx)
{
	struct pending_op *pending = ctx;
	const struct frontend_driver *driver =
	    pending->store->options.drivers->frontend;
	struct mst_store_answer answer = {
	    .status = to_mst_store_status(result->status)};
	struct frontend_request job = {0};
	struct mst_queue_config queue;
	struct input_fault fault = {0};
	const char *body;
	cJSON *document = NULL;

	if (result->status == STORE_OK && result->count > 0 &&
	    strcmp(result->rows[0].key, pending->key) == 0)
		document = stored_job_json_read(
		    &queue, &body, &fault, row_text(&result->rows[0]));
	if (fault.kind != 0)
		input_fault_report(INPUT_JOB, pending->key, &fault);
	if (document != NULL) {
		driver->read_stored(&job, pending->key, body, &queue);
		if (job.kind == FRONTEND_REQ_SUBMIT)
			answer.spec = &job.spec;
		else
			mst_log(MST_LOG_ERROR, "job-unreadable",
			    "job=%s fault=%s", pending->key,
			    mst_log_quote(job.fault));
	}
	report_answer(pending, &answer);
	if (document != NULL)
		driver->release(&job);
	cJSON_Delete(document);
	pending_op_free(pending);
}

/* Rows of owners */

static void
owner_row_clear(gpointer data)
{
	struct owner_row *row = data;

	g_array_unref(row->lengths);
	cJSON_Delete(row->document);
}

/* Adds the row of an owner. One whose value can't be read is the row of a live
 * owner all the same, as its versions show. */
static void
add_owner(struct pending_op *pending, const struct store_row *row)
{
	const struct input_fault key_fault = {
	    .kind = INPUT_FAULT_NAME, .field = "key"};
	struct owner_row out = {.owner = {.version = row->version}};
	struct input_fault fault;

	if (row->value == NULL)
		return;
	if (!owner_key_parse(&out.owner.owner, row->key)) {
		input_fault_report(INPUT_OWNER, row->key, &key_fault);
		return;
	}
	out.lengths =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_queue_length));
	out.document = owner_json_read(
	    out.lengths, &out.owner.released, &fault, row->value);
	if (out.document == NULL)
		input_fault_report(INPUT_OWNER, row->key, &fault);
	out.owner.lengths = (const struct mst_queue_length *)out.lengths->data;
	out.owner.length_count = out.lengths->len;
	g_array_append_val(pending->owners, out);
}

/* Answers a read of the owners' rows or a change of one with the rows that were
 * read. */
static void
report_owners(struct pending_op *pending, const struct store_result *result)
{
	GArray *owners =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_stored_owner));
	struct mst_store_answer answer = {
	    .status = to_mst_store_status(result->status),
	    .version = result->revision};
	guint i;

	for (i = 0; i < pending->owners->len; i++)
		g_array_append_val(owners,
		    g_array_index(pending->owners, struct owner_row, i).owner);
	answer.owners = (const struct mst_stored_owner *)owners->data;
	answer.owner_count = owners->len;
	report_answer(pending, &answer);
	g_array_unref(owners);
	pending_op_free(pending);
}

static void
on_owners_done(const struct store_result *result, void *ctx)
{
	struct pending_op *pending = ctx;
	const char *last =
	    result->count > 0 ? result->rows[result->count - 1].key : NULL;
	size_t i;

	if (pending->owners == NULL) {
		pending->owners =
		    g_array_new(FALSE, FALSE, sizeof(struct owner_row));
		g_array_set_clear_func(pending->owners, owner_row_clear);
	}
	for (i = 0; i < result->count; i++) {
		/* Ranges include their first key. */
		if (g_strcmp0(result->rows[i].key, pending->key) != 0)
			add_owner(pending, &result->rows[i]);
	}
	if (pending->op.kind != MST_STORE_OWNERS ||
	    result->status != STORE_OK || !result->more_rows ||
	    g_strcmp0(last, pending->key) <= 0) {
		report_owners(pending, result);
		return;
	}
	g_free(pending->key);
	pending->key = g_strdup(last);
	list_rows(
	    pending, STORE_TABLE_OWNERS, "", pending->key, 0, on_owners_done);
}

static void
commit_owner_row(struct pending_op *pending)
{
	const struct record_store_options *options = &pending->store->options;
	const struct store_row row = {.table = STORE_TABLE_OWNERS,
	    .partition = "",
	    .key = pending->owner,
	    .value = pending->value,
	    .version = pending->op.expected};
	const struct store_txn txn = {
	    .rows = &row, .count = 1, .conditions = &row, .condition_count = 1};

	options->drivers->store->commit(
	    options->store, &txn, CALL_TIMEOUT_MS, on_owners_done, pending);
}

static void
queue_change(struct pending_op *pending)
{
	struct record_store *store = pending->store;

	g_queue_push_tail(&store->queued_changes, pending);
	if (store->batches_in_flight == 0 ||
	    store->queued_changes.length >= BATCH_OPS_MAX)
		uv_timer_start(
		    &store->batch_timer, on_batch_timer, BATCH_DELAY_MS, 0);
}

struct record_store *
record_store_new(const struct record_store_options *options)
{
	struct record_store *store = g_new0(struct record_store, 1);

	store->options = *options;
	g_queue_init(&store->queued_changes);
	uv_timer_init(options->loop, &store->batch_timer);
	uv_unref((uv_handle_t *)&store->batch_timer);
	store->batch_timer.data = store;
	return store;
}

static struct pending_op *
pending_op_new(struct record_store *store, const struct mst_store_op *op)
{
	struct pending_op *pending = g_new0(struct pending_op, 1);

	pending->store = store;
	pending->op = *op;
	pending->key = g_strdup(op->key);
	pending->serialized_job = g_strdup(op->serialized_job);
	g_snprintf(pending->owner, sizeof(pending->owner),
	    "%016" G_GINT64_MODIFIER "x", op->owner);
	if (op->kind == MST_STORE_SCAN)
		g_snprintf(pending->partition, sizeof(pending->partition), "%x",
		    op->partition);
	else if (op->key != NULL)
		format_partition(pending->partition, op->key);
	if (op->kind == MST_STORE_RENEW)
		pending->value = owner_json_write(
		    op->lengths, op->length_count, op->released);
	else if (is_record_change(op->kind) && op->kind != MST_STORE_REMOVE)
		pending->value = record_json_write(&op->record);
	return pending;
}

void
record_store_submit(struct record_store *store, const struct mst_store_op *op)
{
	struct pending_op *pending = pending_op_new(store, op);

	switch (op->kind) {
	case MST_STORE_CREATE:
	case MST_STORE_UPDATE:
	case MST_STORE_CANCEL:
	case MST_STORE_REMOVE:
		queue_change(pending);
		break;
	case MST_STORE_GET_RECORD:
		list_rows(pending, STORE_TABLE_RECORDS, pending->partition,
		    pending->key, 1, on_records_read);
		break;
	case MST_STORE_GET_JOB:
		list_rows(pending, STORE_TABLE_JOBS, pending->partition,
		    pending->key, 1, on_job_read);
		break;
	case MST_STORE_SCAN:
		scan_records(pending);
		break;
	case MST_STORE_OWNERS:
		list_rows(
		    pending, STORE_TABLE_OWNERS, "", NULL, 0, on_owners_done);
		break;
	case MST_STORE_RENEW:
	case MST_STORE_RETIRE:
		commit_owner_row(pending);
		break;
	}
}
