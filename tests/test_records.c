/*
 * Operations on records as transactions of a store: changes travel together,
 * one that is overtaken doesn't hold up the others, and each gets one answer.
 */

#include <string.h>

#include "api/record_json.h"
#include "runtime/record_store.h"

#define ROWS_MAX 100

/* A transaction or a reading on its way to the store. */
struct call {
	struct store_row rows[ROWS_MAX]; /* strings owned */
	size_t count;
	size_t expected_count;
	uint64_t expected[ROWS_MAX];
	char *from;
	store_result_cb on_rows;
	void *ctx;
};

struct fixture {
	uv_loop_t loop;
	struct record_store *records;
	GQueue calls; /* struct call */
	GString *log; /* of the answers */
};

static void
change(void *store, const struct store_txn *change, uint32_t timeout_ms,
    store_result_cb on_rows, void *ctx)
{
	struct fixture *fixture = store;
	struct call *call = g_new0(struct call, 1);
	size_t i;

	call->count = change->count;
	call->expected_count = change->condition_count;
	for (i = 0; i < change->count; i++) {
		call->rows[i] = change->rows[i];
		call->rows[i].partition = g_strdup(change->rows[i].partition);
		call->rows[i].key = g_strdup(change->rows[i].key);
		call->rows[i].value = g_strdup(change->rows[i].value);
	}
	for (i = 0; i < change->condition_count; i++)
		call->expected[i] = change->conditions[i].version;
	call->on_rows = on_rows;
	call->ctx = ctx;
	g_queue_push_tail(&fixture->calls, call);
}

static void
list(void *store, const struct store_range *range, uint32_t timeout_ms,
    store_result_cb on_rows, void *ctx)
{
	struct fixture *fixture = store;
	struct call *call = g_new0(struct call, 1);

	call->rows[0].table = range->table;
	call->rows[0].partition = g_strdup(range->partition);
	call->from = g_strdup(range->from);
	call->on_rows = on_rows;
	call->ctx = ctx;
	g_queue_push_tail(&fixture->calls, call);
}

static void
on_answer(const struct mst_store_answer *answer, void *ctx)
{
	static const char *const names[] = {
	    "", "ok", "conflict", "busy", "away"};
	struct fixture *fixture = ctx;

	g_string_append_printf(fixture->log, "%" G_GUINT64_FORMAT " %s",
	    answer->id, names[answer->status]);
	if (answer->record_count > 0)
		g_string_append_printf(fixture->log, " %s v%" G_GUINT64_FORMAT,
		    answer->records[0].record.tasks,
		    answer->records[0].version);
	if (answer->owner_count > 0)
		g_string_append_printf(fixture->log,
		    " owner %" G_GUINT64_FORMAT " %s %u",
		    answer->owners[0].owner, answer->owners[0].lengths[0].queue,
		    answer->owners[0].lengths[0].jobs);
	g_string_append(fixture->log, "; ");
}

static struct fixture *
fixture_new(void)
{
	static const struct store_driver store = {
	    .commit = change, .list_range = list};
	static const struct mst_drivers ports = {.store = &store};
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct record_store_options options = {.loop = &fixture->loop,
	    .drivers = &ports,
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
on_waited(uv_timer_t *timer)
{
}

/* The next call, once what is gathered has left. */
static struct call *
next_call(struct fixture *fixture)
{
	uv_timer_t wait;
	struct call *call;

	uv_timer_init(&fixture->loop, &wait);
	while (g_queue_is_empty(&fixture->calls)) {
		/* The gathering timer alone keeps no loop running. */
		uv_timer_start(&wait, on_waited, 5, 0);
		uv_run(&fixture->loop, UV_RUN_DEFAULT);
	}
	uv_close((uv_handle_t *)&wait, NULL);
	uv_run(&fixture->loop, UV_RUN_NOWAIT);
	call = g_queue_pop_head(&fixture->calls);
	return call;
}

static void
reply(struct call *call, enum store_status status, uint64_t revision,
    const struct store_row *rows, size_t count)
{
	const struct store_result answer = {.status = status,
	    .revision = revision,
	    .rows = rows,
	    .count = count};

	call->on_rows(&answer, call->ctx);
}

static void
update(struct fixture *fixture, uint64_t id, const char *key, uint64_t expected)
{
	const struct mst_store_op op = {.kind = MST_STORE_UPDATE,
	    .id = id,
	    .key = key,
	    .expected = expected,
	    .record = {.owner = 5,
		.term = 1,
		.update_seq = 2,
		.state = MST_RECORD_OPEN,
		.tasks = "d0"}};

	record_store_submit(fixture->records, &op);
}

static void
records__changes_travel_together(void)
{
	struct fixture *fixture = fixture_new();
	struct call *call;

	update(fixture, 1, "0000000000000001", 10);
	update(fixture, 2, "000000000000000a", 11);
	call = next_call(fixture);
	g_assert_cmpuint(call->count, ==, 2);
	g_assert_cmpstr(call->rows[0].partition, ==, "1");
	g_assert_cmpstr(call->rows[1].partition, ==, "a");
	g_assert_cmpuint(call->expected[1], ==, 11);
	g_assert_cmpstr(call->rows[0].value, ==,
	    "{\"owner\":\"0000000000000005\",\"term\":1,\"change\":2,"
	    "\"state\":\"open\",\"tasks\":\"d0\"}");
	reply(call, STORE_OK, 20, NULL, 0);
	g_assert_cmpstr(fixture->log->str, ==, "1 ok; 2 ok; ");
}

static void
records__conflict_holds_up_nobody_else(void)
{
	struct fixture *fixture = fixture_new();
	struct call *call;

	update(fixture, 1, "0000000000000001", 10);
	update(fixture, 2, "0000000000000002", 11);
	update(fixture, 3, "0000000000000003", 12);
	call = next_call(fixture);
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
	call = next_call(fixture);
	g_assert_cmpuint(call->count, ==, 2);
	reply(call, STORE_UNAVAILABLE, 0, NULL, 0);
	g_assert_cmpstr(
	    fixture->log->str, ==, "2 conflict dd v15; 1 away; 3 away; ");
}

/* A row that is missing conflicts with one that was expected. */
static void
records__missing_row_is_a_conflict(void)
{
	struct fixture *fixture = fixture_new();

	update(fixture, 1, "0000000000000001", 10);
	reply(next_call(fixture), STORE_CONFLICT, 0, NULL, 0);
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
	struct call *call;

	record_store_submit(fixture->records, &op);
	call = next_call(fixture);
	g_assert_cmpuint(call->count, ==, 2);
	g_assert_cmpstr(call->rows[0].table, ==, STORE_TABLE_RECORDS);
	g_assert_cmpstr(call->rows[1].table, ==, STORE_TABLE_JOBS);
	g_assert_cmpstr(call->rows[1].value, ==, "the job");
	g_assert_cmpuint(call->expected_count, ==, 1);
	g_assert_cmpuint(call->expected[0], ==, 0);
	reply(call, STORE_BUSY, 0, NULL, 0);
	g_assert_cmpstr(fixture->log->str, ==, "4 busy; ");
}

static void
records__one_is_found_by_its_key(void)
{
	const struct store_row other = {.key = "0000000000000002",
	    .value = "{\"owner\":\"7\",\"state\":\"open\",\"tasks\":\"0\"}",
	    .version = 3};
	const struct store_row unreadable = {
	    .key = "0000000000000001", .value = "7", .version = 3};
	const struct mst_store_op op = {
	    .kind = MST_STORE_GET_RECORD, .id = 6, .key = "0000000000000001"};
	struct fixture *fixture = fixture_new();
	struct call *call;

	record_store_submit(fixture->records, &op);
	call = next_call(fixture);
	g_assert_cmpstr(call->from, ==, "0000000000000001");
	reply(call, STORE_OK, 0, &other, 1);
	record_store_submit(fixture->records, &op);
	reply(next_call(fixture), STORE_OK, 0, &unreadable, 1);
	g_assert_cmpstr(fixture->log->str, ==, "6 ok; 6 ok; ");
}

static void
records__owners_tell_their_queues(void)
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
	struct call *call;

	record_store_submit(fixture->records, &renew);
	call = next_call(fixture);
	g_assert_cmpstr(call->rows[0].key, ==, "00000000000000ab");
	g_assert_cmpstr(call->rows[0].value, ==, "{\"queues\":{\"push\":12}}");
	row = call->rows[0];
	reply(call, STORE_OK, 30, NULL, 0);
	record_store_submit(fixture->records, &owners);
	reply(next_call(fixture), STORE_OK, 0, &row, 1);
	g_assert_cmpstr(
	    fixture->log->str, ==, "8 ok; 9 ok owner 171 push 12; ");
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/records/together", records__changes_travel_together);
	g_test_add_func(
	    "/records/conflict", records__conflict_holds_up_nobody_else);
	g_test_add_func("/records/missing", records__missing_row_is_a_conflict);
	g_test_add_func(
	    "/records/create", records__create_writes_job_and_record);
	g_test_add_func("/records/find", records__one_is_found_by_its_key);
	g_test_add_func("/records/owners", records__owners_tell_their_queues);
	return g_test_run();
}
