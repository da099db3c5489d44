/*
 * Record operations as transactions of the store: updates are batched into one
 * transaction, an update that conflicts does not delay the others, and each
 * operation gets exactly one answer.
 */

#include <string.h>

#include "api/record_json.h"
#include "api/worker_json.h"
#include "runtime/record_store.h"

#define ROWS_MAX 100

/* A commit or a range read that awaits the store's reply. */
struct pending_call {
	struct store_row rows[ROWS_MAX]; /* owns partitions, keys, values */
	size_t count;
	size_t condition_count;
	uint64_t expected_versions[ROWS_MAX];
	char *from; /* first key of a range read */
	store_result_cb on_result;
	void *ctx;
};

struct fixture {
	uv_loop_t loop;
	struct record_store *records;
	GQueue calls; /* struct pending_call */
	GString *log; /* answers received, as text */
};

static void
commit_rows(void *store, const struct store_txn *txn, uint32_t timeout_ms,
    store_result_cb on_result, void *ctx)
{
	struct fixture *fixture = store;
	struct pending_call *call = g_new0(struct pending_call, 1);
	size_t i;

	call->count = txn->count;
	call->condition_count = txn->condition_count;
	for (i = 0; i < txn->count; i++) {
		call->rows[i] = txn->rows[i];
		call->rows[i].partition = g_strdup(txn->rows[i].partition);
		call->rows[i].key = g_strdup(txn->rows[i].key);
		call->rows[i].value = g_strdup(txn->rows[i].value);
	}
	for (i = 0; i < txn->condition_count; i++)
		call->expected_versions[i] = txn->conditions[i].version;
	call->on_result = on_result;
	call->ctx = ctx;
	g_queue_push_tail(&fixture->calls, call);
}

static void
list_rows(void *store, const struct store_range *range, uint32_t timeout_ms,
    store_result_cb on_result, void *ctx)
{
	struct fixture *fixture = store;
	struct pending_call *call = g_new0(struct pending_call, 1);

	call->rows[0].table = range->table;
	call->rows[0].partition = g_strdup(range->partition);
	call->from = g_strdup(range->from);
	call->on_result = on_result;
	call->ctx = ctx;
	g_queue_push_tail(&fixture->calls, call);
}

static void
log_owner(struct fixture *fixture, const struct mst_stored_owner *owner)
{
	uint32_t i;

	g_string_append_printf(
	    fixture->log, " owner %" G_GUINT64_FORMAT, owner->owner);
	for (i = 0; i < owner->length_count; i++)
		g_string_append_printf(fixture->log, " %s %u",
		    owner->lengths[i].queue, owner->lengths[i].jobs);
}

static void
on_answer(const struct mst_store_answer *answer, void *ctx)
{
	static const char *const status_names[] = {
	    "", "ok", "conflict", "busy", "unavailable"};
	struct fixture *fixture = ctx;
	uint32_t i;

	g_string_append_printf(fixture->log, "%" G_GUINT64_FORMAT " %s",
	    answer->id, status_names[answer->status]);
	if (answer->record_count > 0)
		g_string_append_printf(fixture->log, " %s v%" G_GUINT64_FORMAT,
		    answer->records[0].record.tasks,
		    answer->records[0].version);
	for (i = 0; i < answer->owner_count; i++)
		log_owner(fixture, &answer->owners[i]);
	g_string_append(fixture->log, "; ");
}

static struct fixture *
fixture_new(void)
{
	static const struct store_driver store = {
	    .commit = commit_rows, .list_range = list_rows};
	static const struct mst_drivers drivers = {.store = &store};
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct record_store_options options = {.loop = &fixture->loop,
	    .drivers = &drivers,
	    .store = fixture,
	    .on_answer = on_answer,
	    .ctx = fixture};

	uv_loop_init(&fixture->loop);
	g_queue_init(&fixture->calls);
	fixture->log = g_string_new(NULL);
	fixture->records = record_store_new(&options);
	return fixture;
}

static void
on_wait_timeout(uv_timer_t *timer)
{
}

/* Returns the next call to the store; runs the loop until there is one. */
static struct pending_call *
wait_for_call(struct fixture *fixture)
{
	uv_timer_t wait;
	struct pending_call *call;

	uv_timer_init(&fixture->loop, &wait);
	while (g_queue_is_empty(&fixture->calls)) {
		/* The batching timer alone does not keep the loop running. */
		uv_timer_start(&wait, on_wait_timeout, 5, 0);
		uv_run(&fixture->loop, UV_RUN_DEFAULT);
	}
	uv_close((uv_handle_t *)&wait, NULL);
	uv_run(&fixture->loop, UV_RUN_NOWAIT);
	call = g_queue_pop_head(&fixture->calls);
	return call;
}

static void
reply(struct pending_call *call, enum store_status status, uint64_t revision,
    const struct store_row *rows, size_t count)
{
	const struct store_result result = {.status = status,
	    .revision = revision,
	    .rows = rows,
	    .count = count};

	call->on_result(&result, call->ctx);
}

/* Answers a read with rows that others follow. */
static void
reply_page(
    struct pending_call *call, const struct store_row *rows, size_t count)
{
	const struct store_result result = {.status = STORE_OK,
	    .rows = rows,
	    .count = count,
	    .more_rows = true};

	call->on_result(&result, call->ctx);
}

static void
submit_update(struct fixture *fixture, uint64_t id, const char *key,
    uint64_t expected_version)
{
	const struct mst_store_op op = {.kind = MST_STORE_UPDATE,
	    .id = id,
	    .key = key,
	    .expected = expected_version,
	    .record = {.owner = 5,
		.term = 1,
		.update_seq = 2,
		.state = MST_RECORD_OPEN,
		.tasks = "d0"}};

	record_store_submit(fixture->records, &op);
}

static void
records__updates_share_a_transaction(void)
{
	struct fixture *fixture = fixture_new();
	struct pending_call *call;

	submit_update(fixture, 1, "0000000000000001", 10);
	submit_update(fixture, 2, "000000000000000a", 11);
	call = wait_for_call(fixture);
	g_assert_cmpuint(call->count, ==, 2);
	g_assert_cmpstr(call->rows[0].partition, ==, "1");
	g_assert_cmpstr(call->rows[1].partition, ==, "a");
	g_assert_cmpuint(call->expected_versions[1], ==, 11);
	g_assert_cmpstr(call->rows[0].value, ==,
	    "{\"owner\":\"0000000000000005\",\"term\":1,\"change\":2,"
	    "\"state\":\"open\",\"tasks\":\"d0\"}");
	reply(call, STORE_OK, 20, NULL, 0);
	g_assert_cmpstr(fixture->log->str, ==, "1 ok; 2 ok; ");
}

static void
records__conflict_does_not_delay_others(void)
{
	struct fixture *fixture = fixture_new();
	struct pending_call *call;

	submit_update(fixture, 1, "0000000000000001", 10);
	submit_update(fixture, 2, "0000000000000002", 11);
	submit_update(fixture, 3, "0000000000000003", 12);
	call = wait_for_call(fixture);
	{
		const struct store_row rows[] = {
		    {.table = STORE_TABLE_RECORDS,
			.key = call->rows[0].key,
			.value = call->rows[0].value,
			.version = 10},
		    {.table = STORE_TABLE_RECORDS,
			.key = call->rows[1].key,
			.value = "{\"owner\":\"7\",\"state\":\"open\","
				 "\"tasks\":\"dd\"}",
			.version = 15},
		    {.table = STORE_TABLE_RECORDS,
			.key = call->rows[2].key,
			.value = call->rows[2].value,
			.version = 12}};

		reply(call, STORE_CONFLICT, 0, rows, 3);
	}
	g_assert_cmpstr(fixture->log->str, ==, "2 conflict dd v15; ");
	call = wait_for_call(fixture);
	g_assert_cmpuint(call->count, ==, 2);
	reply(call, STORE_UNAVAILABLE, 0, NULL, 0);
	g_assert_cmpstr(fixture->log->str, ==,
	    "2 conflict dd v15; 1 unavailable; 3 unavailable; ");
}

/* An update that expects a version of a row that does not exist conflicts. */
static void
records__missing_row_is_a_conflict(void)
{
	struct fixture *fixture = fixture_new();

	submit_update(fixture, 1, "0000000000000001", 10);
	reply(wait_for_call(fixture), STORE_CONFLICT, 0, NULL, 0);
	g_assert_cmpstr(fixture->log->str, ==, "1 conflict; ");
}

static void
records__create_writes_job_and_record(void)
{
	const struct mst_store_op op = {.kind = MST_STORE_CREATE,
	    .id = 4,
	    .key = "000000000000000f",
	    .serialized_job = "the job",
	    .record = {.owner = 5, .state = MST_RECORD_OPEN, .tasks = "0"}};
	struct fixture *fixture = fixture_new();
	struct pending_call *call;

	record_store_submit(fixture->records, &op);
	call = wait_for_call(fixture);
	g_assert_cmpuint(call->count, ==, 2);
	g_assert_cmpstr(call->rows[0].table, ==, STORE_TABLE_RECORDS);
	g_assert_cmpstr(call->rows[1].table, ==, STORE_TABLE_JOBS);
	g_assert_cmpstr(call->rows[1].value, ==, "the job");
	g_assert_cmpuint(call->condition_count, ==, 1);
	g_assert_cmpuint(call->expected_versions[0], ==, 0);
	reply(call, STORE_BUSY, 0, NULL, 0);
	g_assert_cmpstr(fixture->log->str, ==, "4 busy; ");
}

static void
records__lookup_matches_exact_key(void)
{
	const struct store_row other = {.key = "0000000000000002",
	    .value = "{\"owner\":\"7\",\"state\":\"open\",\"tasks\":\"0\"}",
	    .version = 3};
	const struct store_row unreadable = {
	    .key = "0000000000000001", .value = "7", .version = 3};
	const struct mst_store_op op = {
	    .kind = MST_STORE_GET_RECORD, .id = 6, .key = "0000000000000001"};
	struct fixture *fixture = fixture_new();
	struct pending_call *call;

	record_store_submit(fixture->records, &op);
	call = wait_for_call(fixture);
	g_assert_cmpstr(call->from, ==, "0000000000000001");
	reply(call, STORE_OK, 0, &other, 1);
	record_store_submit(fixture->records, &op);
	reply(wait_for_call(fixture), STORE_OK, 0, &unreadable, 1);
	/* The job exists, so its callers must not be told that it doesn't. */
	g_assert_cmpstr(fixture->log->str, ==, "6 ok; 6 unavailable; ");
}

/* A build that rewrites a record must not drop what a newer one has added. */
static void
records__added_members_are_kept(void)
{
	static const char text[] =
	    "{\"owner\":\"0000000000000007\",\"term\":1,\"change\":2,"
	    "\"state\":\"open\",\"tasks\":\"d0\",\"extra\":[1],"
	    "\"trail\":{\"a\":\"b\"}}";
	struct mst_record record;
	struct input_fault fault;
	cJSON *document = record_json_read(&record, &fault, text);
	char *again;

	g_assert_nonnull(document);
	g_assert_cmpstr(
	    record.extra, ==, "{\"extra\":[1],\"trail\":{\"a\":\"b\"}}");
	again = record_json_write(&record);
	g_assert_cmpstr(again, ==, text);
	cJSON_free(again);
	cJSON_Delete(document);
}

static void
records__owners_report_queue_lengths(void)
{
	const struct mst_queue_length length = {.queue = "push", .jobs = 12};
	const struct mst_store_op renew = {.kind = MST_STORE_RENEW,
	    .id = 8,
	    .owner = 0xab,
	    .lengths = &length,
	    .length_count = 1};
	const struct mst_store_op owners = {.kind = MST_STORE_OWNERS, .id = 9};
	struct fixture *fixture = fixture_new();
	struct store_row row;
	struct pending_call *call;

	record_store_submit(fixture->records, &renew);
	call = wait_for_call(fixture);
	g_assert_cmpstr(call->rows[0].key, ==, "00000000000000ab");
	g_assert_cmpstr(call->rows[0].value, ==, "{\"queues\":{\"push\":12}}");
	row = call->rows[0];
	reply(call, STORE_OK, 30, NULL, 0);
	record_store_submit(fixture->records, &owners);
	reply(wait_for_call(fixture), STORE_OK, 0, &row, 1);
	g_assert_cmpstr(
	    fixture->log->str, ==, "8 ok; 9 ok owner 171 push 12; ");
}

/* Guards against the row of another writer that is taken for that of an owner,
 * against odd queue lengths, and against a live owner that counts as lost as
 * its row can't be read. */
static void
records__odd_owner_rows(void)
{
	static const struct store_row rows[] = {
	    {.key = "0", .value = "{\"queues\":{\"a\":1}}"},
	    {.key = "zz00000000000000", .value = "{\"queues\":{}}"},
	    {.key = "0000000000000000", .value = "{\"queues\":{}}"},
	    {.key = "00000000000000aa",
		.value = "{\"queues\":{\"a\":-1,\"b\":1e300,\"c\":\"4\","
			 "\"d\":1.5,\"push\":12}}"},
	    {.key = "00000000000000ab", .value = "[[[["},
	    {.key = "00000000000000ac", .value = ""},
	    {.key = "00000000000000ad"}};
	const struct mst_store_op owners = {.kind = MST_STORE_OWNERS, .id = 9};
	struct fixture *fixture = fixture_new();

	record_store_submit(fixture->records, &owners);
	reply(wait_for_call(fixture), STORE_OK, 0, rows, G_N_ELEMENTS(rows));
	g_assert_cmpstr(fixture->log->str, ==,
	    "9 ok owner 170 push 12 owner 171 owner 172; ");
}

/* Guards against many rows that hide the owners behind them, whose jobs would
 * be taken over. */
static void
records__all_pages_of_owners_are_read(void)
{
	static const struct store_row first[] = {
	    {.key = "0000000000000001", .value = "{\"queues\":{}}"},
	    {.key = "odd", .value = ""}};
	static const struct store_row second[] = {{.key = "odd", .value = ""},
	    {.key = "odder", .value = ""},
	    {.key = "00000000000000ab", .value = "{\"queues\":{}}"}};
	const struct mst_store_op owners = {.kind = MST_STORE_OWNERS, .id = 9};
	struct fixture *fixture = fixture_new();
	struct pending_call *call;

	record_store_submit(fixture->records, &owners);
	call = wait_for_call(fixture);
	g_assert_null(call->from);
	reply_page(call, first, G_N_ELEMENTS(first));
	call = wait_for_call(fixture);
	g_assert_cmpstr(call->from, ==, "odd");
	reply(call, STORE_OK, 0, second, G_N_ELEMENTS(second));
	g_assert_cmpstr(fixture->log->str, ==, "9 ok owner 1 owner 171; ");
}

/* Guards against a page of records none of which can be read that ends the scan
 * of the partition. */
static void
records__scan_goes_on_behind_unreadable_records(void)
{
	static const struct store_row unreadable[] = {
	    {.key = "1", .value = "[]"}, {.key = "2", .value = "{}"}};
	static const struct store_row readable[] = {{.key = "2", .value = "{}"},
	    {.key = "3",
		.value = "{\"owner\":\"7\",\"state\":\"open\","
			 "\"tasks\":\"0\"}",
		.version = 4}};
	const struct mst_store_op scan = {.kind = MST_STORE_SCAN, .id = 5};
	struct fixture *fixture = fixture_new();
	struct pending_call *call;

	record_store_submit(fixture->records, &scan);
	reply_page(wait_for_call(fixture), unreadable, 2);
	g_assert_cmpstr(fixture->log->str, ==, "");
	call = wait_for_call(fixture);
	g_assert_cmpstr(call->from, ==, "2");
	reply_page(call, readable, 2);
	g_assert_cmpstr(fixture->log->str, ==, "5 ok 0 v4; ");
}

/* A record with a fault is one whose state is not known. */
static void
records__odd_records(void)
{
	static const char *const odd[] = {"", "7", "[]", "{}", "\xff",
	    "{\"owner\":\"7\",\"state\":\"asleep\"}",
	    "{\"owner\":\"0\",\"state\":\"open\"}",
	    "{\"owner\":\"7x\",\"state\":\"open\"}",
	    "{\"owner\":7,\"state\":\"open\"}",
	    "{\"owner\":\"7\",\"state\":\"open\",\"term\":-1}",
	    "{\"owner\":\"7\",\"state\":\"open\",\"term\":1.5}",
	    "{\"owner\":\"7\",\"state\":\"open\",\"term\":4294967295}",
	    "{\"owner\":\"7\",\"state\":\"open\",\"change\":1e300}",
	    "{\"owner\":\"7\",\"state\":\"open\",\"closed_ms\":1e300}",
	    "{\"owner\":\"7\",\"state\":\"open\",\"tasks\":\"0x\"}",
	    "{\"owner\":\"7\",\"state\":\"open\",\"tasks\":[]}"};
	struct fixture *fixture = fixture_new();
	struct mst_record record;
	struct input_fault fault;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		const struct mst_store_op lookup = {
		    .kind = MST_STORE_GET_RECORD, .id = 6, .key = "k"};
		const struct store_row row = {.key = "k", .value = odd[i]};

		g_assert_null(record_json_read(&record, &fault, odd[i]));
		g_assert_cmpint(fault.kind, !=, 0);
		g_string_truncate(fixture->log, 0);
		record_store_submit(fixture->records, &lookup);
		reply(wait_for_call(fixture), STORE_OK, 0, &row, 1);
		g_assert_cmpstr(fixture->log->str, ==, "6 unavailable; ");
	}
}

/* Guards against numbers of a stored job that differ between machines. */
static void
records__odd_stored_jobs(void)
{
	static const char *const odd[] = {"", "[]", "{}",
	    "{\"queue\":\"q\",\"service\":\"s\",\"priority\":0,"
	    "\"attempts\":0,\"timeout_ms\":1,\"stretch\":1,\"target_ms\":0,"
	    "\"body\":\"\"}",
	    "{\"queue\":\"q\",\"service\":\"s\",\"priority\":-1,"
	    "\"attempts\":1,\"timeout_ms\":1,\"stretch\":1,\"target_ms\":0,"
	    "\"body\":\"\"}",
	    "{\"queue\":\"q\",\"service\":\"s\",\"priority\":0,"
	    "\"attempts\":1,\"timeout_ms\":1e300,\"stretch\":1,"
	    "\"target_ms\":0,\"body\":\"\"}",
	    "{\"queue\":\"q\",\"service\":\"s\",\"priority\":0,"
	    "\"attempts\":1,\"timeout_ms\":1,\"stretch\":1e400,"
	    "\"target_ms\":0,\"body\":\"\"}",
	    "{\"queue\":\"q\",\"service\":\"s\",\"priority\":0,"
	    "\"attempts\":1,\"timeout_ms\":1,\"stretch\":1,\"target_ms\":0,"
	    "\"body\":7}"};
	struct mst_queue_config queue;
	struct input_fault fault;
	const char *body;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_assert_null(
		    stored_job_json_read(&queue, &body, &fault, odd[i]));
		g_assert_cmpint(fault.kind, !=, 0);
	}
}

/* The report of a worker is read as it was written, and nothing else is. */
static void
test_worker_report(void)
{
	static const char *const invalid[] = {"", "{}", "[]", "7",
	    "{\"id\":\"w\",\"service\":\"s\",\"rack\":\"\",\"labels\":\"\","
	    "\"incarnation\":-1,\"millicores\":1,\"memory_mb\":1,"
	    "\"accelerators\":0}",
	    "{\"id\":\"w\",\"service\":\"s\",\"rack\":\"\",\"labels\":\"\","
	    "\"incarnation\":1,\"millicores\":1e12,\"memory_mb\":1,"
	    "\"accelerators\":0}"};
	const struct mst_worker_report report = {
	    .id = mst_bytes_from_str("worker \"1\""),
	    .service = mst_bytes_from_str("s"),
	    .rack = mst_bytes_from_str("r1"),
	    .labels = mst_bytes_from_str("a,b"),
	    .incarnation = UINT64_C(1764829866123),
	    .capacity = {16000, 65536, 2},
	    .draining = true};
	char *text = worker_json_write(&report);
	struct mst_worker_report read;
	struct input_fault fault;
	cJSON *json = worker_json_read(&read, &fault, text);
	size_t i;

	g_assert_nonnull(json);
	g_assert_true(mst_bytes_equal_str(read.id, "worker \"1\""));
	g_assert_true(mst_bytes_equal_str(read.service, "s"));
	g_assert_true(mst_bytes_equal_str(read.rack, "r1"));
	g_assert_true(mst_bytes_equal_str(read.labels, "a,b"));
	g_assert_cmpuint(read.incarnation, ==, report.incarnation);
	g_assert_cmpuint(read.capacity.millicores, ==, 16000);
	g_assert_cmpuint(read.capacity.memory_mb, ==, 65536);
	g_assert_cmpuint(read.capacity.accelerators, ==, 2);
	g_assert_true(read.draining);
	cJSON_Delete(json);
	cJSON_free(text);
	for (i = 0; i < G_N_ELEMENTS(invalid); i++)
		g_assert_null(worker_json_read(&read, &fault, invalid[i]));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/records/batch", records__updates_share_a_transaction);
	g_test_add_func(
	    "/records/conflict", records__conflict_does_not_delay_others);
	g_test_add_func("/records/missing", records__missing_row_is_a_conflict);
	g_test_add_func(
	    "/records/create", records__create_writes_job_and_record);
	g_test_add_func("/records/lookup", records__lookup_matches_exact_key);
	g_test_add_func(
	    "/records/added-members", records__added_members_are_kept);
	g_test_add_func(
	    "/records/owners", records__owners_report_queue_lengths);
	g_test_add_func("/records/odd-owner-rows", records__odd_owner_rows);
	g_test_add_func(
	    "/records/owner-pages", records__all_pages_of_owners_are_read);
	g_test_add_func("/records/unreadable-page",
	    records__scan_goes_on_behind_unreadable_records);
	g_test_add_func("/records/odd-records", records__odd_records);
	g_test_add_func("/records/odd-stored-jobs", records__odd_stored_jobs);
	g_test_add_func("/records/worker-report", test_worker_report);
	return g_test_run();
}
