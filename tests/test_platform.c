/*
 * The platform adapter's client calls and listeners, driven with recorded
 * bytes: the requests sent to runners and to the store, and the responses and
 * reports received from them. Malformed input is reported as a fault and never
 * ends the process.
 */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform.h"
#include "runtime/loop.h"
#include "support/free_address.h"

static bool
parse_report(struct mst_worker_report *out, const char *method,
    const char *path, const char *body, const char **fault)
{
	const struct mst_http_request request = {
	    .method = mst_bytes_from_str(method),
	    .path = mst_bytes_from_str(path),
	    .body = mst_bytes_from_str(body)};
	void *internal;
	bool ok = platform_worker.read_report(out, &internal, fault, &request);

	platform_worker.release_report(internal);
	return ok;
}

#define REPORT_FIELDS                                                          \
	"\"capacity\":{\"cpu\":16000,\"memMb\":32768},"                        \
	"\"labels\":[\"a\",\"r1-3\"],\"clockMs\":482113,\"seq\":4,"            \
	"\"born\":1700000000123}"

static void
worker__reports_are_parsed(void)
{
	static const char valid[] =
	    "{\"service\":\"huvo\",\"state\":\"draining\"," REPORT_FIELDS;
	static const char *const malformed[] = {"", "\xff", "[]", "{}",
	    "{\"service\":\"huvo\",\"state\":\"asleep\"," REPORT_FIELDS,
	    "{\"service\":7,\"state\":\"ready\"," REPORT_FIELDS,
	    "{\"service\":\"huvo\",\"state\":\"ready\"}",
	    "{\"service\":\"huvo\",\"state\":\"ready\",\"capacity\":9}"};
	static const char cold[] = "{\"service\":\"huvo\",\"state\":\"ready\","
				   "\"coldRemainingMs\":1500.5," REPORT_FIELDS;
	static const char never_warm[] =
	    "{\"service\":\"huvo\",\"state\":\"ready\","
	    "\"coldRemainingMs\":1e300," REPORT_FIELDS;
	static const char negative[] =
	    "{\"service\":\"huvo\",\"state\":\"ready\","
	    "\"coldRemainingMs\":-7," REPORT_FIELDS;
	struct mst_worker_report out;
	const char *fault = NULL;
	char *oversized;
	size_t i;

	g_assert_true(
	    parse_report(&out, "PUT", "/v1/instances/i-7f3a", cold, &fault));
	g_assert_cmpuint(out.cold_ms, ==, 1500);
	g_assert_true(parse_report(
	    &out, "PUT", "/v1/instances/i-7f3a", never_warm, &fault));
	g_assert_cmpuint(out.cold_ms, ==, UINT32_MAX);
	g_assert_true(parse_report(
	    &out, "PUT", "/v1/instances/i-7f3a", negative, &fault));
	g_assert_cmpuint(out.cold_ms, ==, 0);
	g_assert_true(
	    parse_report(&out, "PUT", "/v1/instances/i-7f3a", valid, &fault));
	g_assert_cmpuint(out.cold_ms, ==, 0);
	g_assert_false(parse_report(
	    &out, "PATCHY", "/v1/instances/i-7f3a", valid, &fault));
	g_assert_false(out.shutting_down);
	g_assert_nonnull(fault);
	fault = NULL;
	g_assert_true(
	    parse_report(&out, "DELETE", "/v1/instances/i-7f3a", "", &fault));
	g_assert_true(out.shutting_down);
	g_assert_true(
	    parse_report(&out, "PUT", "/v1/instances/i-7f3a", valid, &fault));
	g_assert_true(out.draining);
	g_assert_cmpuint(out.capacity.millicores, ==, 16000);
	g_assert_cmpuint(out.incarnation, ==, 1700000000123);
	g_assert_cmpuint(out.seq, ==, 4);
	g_assert_cmpuint(out.id.len, ==, 6);
	g_assert_true(
	    parse_report(&out, "DELETE", "/v1/instances/i-7f3a", "", &fault));
	g_assert_true(out.shutting_down);
	for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
		fault = NULL;
		g_assert_false(parse_report(
		    &out, "PUT", "/v1/instances/i-7f3a", malformed[i], &fault));
		g_assert_nonnull(fault);
	}
	g_assert_false(
	    parse_report(&out, "PUT", "/v1/instances/", valid, &fault));
	g_assert_false(parse_report(&out, "PUT", "/elsewhere", valid, &fault));
	oversized = g_strnfill(5 << 20, ' ');
	g_assert_false(
	    parse_report(&out, "PUT", "/v1/instances/i", oversized, &fault));
	g_free(oversized);
}

/* An HTTP server that records each request and responds as configured, the
 * client under test, and the arguments of the last callback. */
struct peer {
	uv_loop_t loop;
	struct mst_httpd *httpd;
	struct mst_http_client *client;
	uv_timer_t timeout;
	int status; /* of the responses; 0: sends none */
	const char *body;
	char *request_path;
	char *request_body;
	char address[32];        /* that it listens on */
	char *expected_instance; /* value of X-Expect-Instance */
	bool callback_called;    /* since the last peer_wait() */
	unsigned disconnect_count;
	struct mst_order_answer answer;
	struct store_update update;
	struct store_result result;
	char *row_key;
	char *row_value;
	uint64_t row_version;
	char *document;
	uint32_t first_run;
	char *first_entry;
};

static void
on_request(struct mst_http_request *request, void *ctx)
{
	struct peer *peer = ctx;

	g_free(peer->request_path);
	g_free(peer->request_body);
	peer->request_path = mst_bytes_to_str(request->path);
	peer->request_body = mst_bytes_to_str(request->body);
	g_free(peer->expected_instance);
	peer->expected_instance =
	    mst_bytes_to_str(mst_http_header(request, "x-expect-instance"));
	if (peer->status != 0)
		mst_http_respond(peer->httpd, request->id, peer->status, NULL,
		    0, peer->body, strlen(peer->body));
}

static void
on_disconnect(uint64_t id, void *ctx)
{
	((struct peer *)ctx)->disconnect_count++;
}

static void
on_timeout(uv_timer_t *timer)
{
	g_error("test did not finish within 5 s");
}

static struct peer *
peer_new(void)
{
	struct peer *peer = g_new0(struct peer, 1);
	struct mst_httpd_options options = {.loop = &peer->loop,
	    .listen = peer->address,
	    .body_max_bytes = 1 << 20,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect,
	    .ctx = peer};
	GError *error = NULL;

	choose_free_address(peer->address, sizeof(peer->address));
	uv_loop_init(&peer->loop);
	mst_httpd_new(&peer->httpd, &options, &error);
	g_assert_no_error(error);
	peer->client = mst_http_client_new(&peer->loop, 4);
	uv_timer_init(&peer->loop, &peer->timeout);
	uv_timer_start(&peer->timeout, on_timeout, 5000, 0);
	return peer;
}

static void
peer_wait(struct peer *peer)
{
	while (!peer->callback_called)
		uv_run(&peer->loop, UV_RUN_ONCE);
	peer->callback_called = false;
}

/* Leaves the loop open: the HTTP server can be shut down but not freed. */
static void
peer_stop(struct peer *peer)
{
	uv_timer_stop(&peer->timeout);
	mst_httpd_shutdown(peer->httpd);
	mst_http_client_close(peer->client);
	uv_run(&peer->loop, UV_RUN_NOWAIT);
}

static void
on_answer(const struct mst_order_answer *answer, void *ctx)
{
	struct peer *peer = ctx;

	peer->answer = *answer;
	if (answer->running_count > 0)
		peer->first_run = answer->running[0].run;
	peer->callback_called = true;
}

static void
check_order_answers(struct peer *peer, void *worker)
{
	static const struct {
		int status;
		const char *body;
		enum mst_order_status expected;
	} cases[] = {{200, "{\"clockMs\":482113}", MST_ORDER_DONE},
	    {409, "{\"clockMs\":5,\"reason\":\"fence\"}", MST_ORDER_FENCED},
	    {409, "{\"clockMs\":5,\"reason\":\"old\"}", MST_ORDER_OLD_RUN},
	    {409, "{\"clockMs\":5,\"reason\":\"late\"}", MST_ORDER_LAPSED},
	    {409, "{\"clockMs\":5,\"reason\":\"room\"}", MST_ORDER_NO_ROOM},
	    {409, "{\"clockMs\":5,\"reason\":\"else\"}", MST_ORDER_INVALID},
	    {421, "", MST_ORDER_OTHER_INCARNATION},
	    {429, "", MST_ORDER_UNHEALTHY}, {503, "", MST_ORDER_UNHEALTHY},
	    {400, "", MST_ORDER_INVALID},
	    {200, "\xff not json", MST_ORDER_NO_ANSWER},
	    {0, "", MST_ORDER_NO_ANSWER}};
	const struct mst_order order = {.kind = MST_ORDER_START,
	    .id = 42,
	    .task = mst_bytes_from_str("5c0e7a21d94b36f8.0.0.1"),
	    .run = 2,
	    .spec = mst_bytes_from_str("text"),
	    .lease_end_ms = 486000,
	    .worker_id = mst_bytes_from_str("i-7f3a"),
	    .fence = 7,
	    .timeout_ms = 100};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		peer->status = cases[i].status;
		peer->body = cases[i].body;
		platform_worker.order(worker, &order);
		peer_wait(peer);
		g_assert_cmpint(peer->answer.status, ==, cases[i].expected);
		g_assert_cmpuint(peer->answer.id, ==, 42);
		g_assert_cmpstr(peer->request_path, ==, "/v1/run-start");
		g_assert_cmpstr(peer->expected_instance, ==, "i-7f3a");
		g_assert_cmpstr(peer->request_body, ==,
		    "{\"task\":\"5c0e7a21d94b36f8.0.0.1\",\"run\":2,"
		    "\"spec\":\"text\",\"untilMs\":486000,\"fence\":7}");
	}
}

static void
check_renew_answers(struct peer *peer, void *worker)
{
	const struct mst_order order = {.kind = MST_ORDER_RENEW,
	    .lease_end_ms = 486000,
	    .fence = 7,
	    .completions_acked = 57,
	    .wait_ms = 150,
	    .timeout_ms = 500};

	peer->status = 200;
	peer->body =
	    "{\"clockMs\":482113,\"born\":1700000000123,"
	    "\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"\",41]],"
	    "\"ended\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"],"
	    "7,[\"x\"]]}";
	platform_worker.order(worker, &order);
	peer_wait(peer);
	g_assert_cmpint(peer->answer.status, ==, MST_ORDER_DONE);
	g_assert_cmpuint(peer->answer.incarnation, ==, 1700000000123);
	g_assert_cmpuint(peer->answer.clock_ms, ==, 482113);
	g_assert_cmpuint(peer->answer.running_count, ==, 1);
	g_assert_cmpuint(peer->first_run, ==, 2);
	g_assert_cmpuint(peer->answer.completion_count, ==, 3);
	g_assert_cmpstr(peer->request_body, ==,
	    "{\"lastSeen\":57,\"waitMs\":150,\"untilMs\":486000,\"fence\":7}");
	/* Values that are not arrays are read as empty lists. */
	peer->body = "{\"running\":3,\"ended\":\"x\"}";
	platform_worker.order(worker, &order);
	peer_wait(peer);
	g_assert_cmpuint(peer->answer.running_count, ==, 0);
	g_assert_cmpuint(peer->answer.completion_count, ==, 0);
}

static void
worker__orders_and_answers(void)
{
	struct peer *peer = peer_new();
	struct worker_driver_options options = {.http_client = peer->client,
	    .address = peer->address,
	    .now_us = runtime_now_us,
	    .on_answer = on_answer,
	    .ctx = peer};
	void *worker = platform_worker.open(&options);

	check_order_answers(peer, worker);
	check_renew_answers(peer, worker);
	platform_worker.close(worker);
	options.address = "127.0.0.1:1";
	worker = platform_worker.open(&options);
	platform_worker.order(worker,
	    &(struct mst_order){.kind = MST_ORDER_STOP, .timeout_ms = 500});
	peer_wait(peer);
	g_assert_cmpint(peer->answer.status, ==, MST_ORDER_DOWN);
	platform_worker.close(worker);
	peer_stop(peer);
}

static void
on_update(const struct store_update *update, void *ctx)
{
	struct peer *peer = ctx;

	peer->update = *update;
	g_free(peer->document);
	g_free(peer->first_entry);
	peer->document = g_strdup(update->document);
	peer->first_entry =
	    update->added->len > 0 ? g_strdup(update->added->pdata[0]) : NULL;
	peer->callback_called = true;
}

static void
on_status(enum store_status status, void *ctx)
{
	struct peer *peer = ctx;

	peer->update.status = status;
	peer->callback_called = true;
}

static void
check_store_statuses(struct peer *peer, void *store)
{
	static const struct {
		int status;
		const char *body;
		enum store_status expected;
	} cases[] = {{410, "", STORE_COMPACTED}, {429, "", STORE_BUSY},
	    {503, "", STORE_BUSY}, {200, "\xff", STORE_INVALID},
	    {200, "{\"rows\":7}", STORE_INVALID}, {500, "", STORE_INVALID},
	    {0, "", STORE_UNAVAILABLE}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		peer->status = cases[i].status;
		peer->body = cases[i].body;
		platform_store.watch(
		    store, STORE_CONFIG, 5, 10, 100, on_update, peer);
		peer_wait(peer);
		g_assert_cmpint(peer->update.status, ==, cases[i].expected);
	}
}

static void
store__updates_and_writes(void)
{
	struct peer *peer = peer_new();
	void *store = platform_store.open(peer->client, peer->address);

	check_store_statuses(peer, store);
	peer->status = 200;
	/* The configuration {"version":9,"routes":[]}, after a row of another
	 * table. */
	peer->body = "{\"rows\":[{\"table\":\"op\",\"key\":\"wave/1\","
		     "\"value\":\"e30=\"},{\"key\":\"config\",\"value\":"
		     "\"eyJ2ZXJzaW9uIjo5LCJyb3V0ZXMiOltdfQ==\"}],\"ver\":412}";
	platform_store.read(store, STORE_CONFIG, 500, on_update, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->update.status, ==, STORE_OK);
	g_assert_cmpuint(peer->update.version, ==, 9);
	g_assert_cmpuint(peer->update.revision, ==, 412);
	g_assert_cmpstr(peer->document, ==, "{\"queues\":[]}");
	/* A value that is not valid base64 is reported as a fault, and no
	 * document is passed on. */
	peer->body = "{\"rows\":[{\"key\":\"config\",\"value\":\"!!!!\"}]}";
	platform_store.read(store, STORE_CONFIG, 500, on_update, peer);
	peer_wait(peer);
	g_assert_null(peer->document);
	g_assert_nonnull(peer->update.fault);
	peer->body = "{\"rows\":[{\"key\":\"10.0.0.1:7000\",\"value\":\"\"},"
		     "{\"key\":\"10.0.0.2:7000\",\"removed\":true},{}],"
		     "\"ver\":5}";
	platform_store.watch(store, STORE_ENTRIES, 4, 10, 500, on_update, peer);
	peer_wait(peer);
	g_assert_cmpstr(peer->first_entry, ==, "10.0.0.1:7000");
	peer->body = "{\"ver\":6}";
	platform_store.put_entry(store, "10.0.0.1:7000", 500, on_status, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->update.status, ==, STORE_OK);
	g_assert_cmpstr(peer->request_body, ==,
	    "{\"expectedRev\":[],\"setKeys\":[{\"table\":"
	    "\"masticstall-entries\",\"part\":\"\",\"key\":"
	    "\"10.0.0.1:7000\",\"value\":\"\"}],\"remove\":[]}");
	platform_store.close(store);
	peer_stop(peer);
}

/* Checks that a connection reset by the caller while its request is being
 * processed is reported. */
static void
frontend__caller_disconnect_is_reported(void)
{
	static const char request[] = "POST /p HTTP/1.1\r\nHost: a\r\n"
				      "Content-Length: 2\r\n\r\n{}";
	const struct linger reset = {.l_onoff = 1};
	struct sockaddr_in address;
	struct peer *peer = peer_new();
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	uv_ip4_addr("127.0.0.1",
	    (int)strtol(strchr(peer->address, ':') + 1, NULL, 10), &address);
	g_assert_cmpint(
	    connect(fd, (const struct sockaddr *)&address, sizeof(address)), ==,
	    0);
	g_assert_cmpint(
	    write(fd, request, strlen(request)), ==, strlen(request));
	while (peer->request_path == NULL)
		uv_run(&peer->loop, UV_RUN_ONCE);
	g_assert_cmpuint(peer->disconnect_count, ==, 0);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	while (peer->disconnect_count == 0)
		uv_run(&peer->loop, UV_RUN_ONCE);
	peer_stop(peer);
	g_assert_cmpuint(peer->disconnect_count, ==, 1);
}

static void
on_result(const struct store_result *result, void *ctx)
{
	struct peer *peer = ctx;

	peer->result = *result;
	g_free(peer->row_key);
	g_free(peer->row_value);
	peer->row_key = NULL;
	peer->row_value = NULL;
	if (result->count > 0) {
		peer->row_key = g_strdup(result->rows[0].key);
		peer->row_value = g_strdup(result->rows[0].value);
		peer->row_version = result->rows[0].version;
	}
	peer->callback_called = true;
}

static void
check_commit_results(struct peer *peer, void *store)
{
	const struct store_row rows[] = {
	    {.table = "t", .partition = "a", .key = "k", .value = "{}"},
	    {.table = "t", .partition = "b", .key = "gone"}};
	const struct store_row condition = {
	    .table = "t", .partition = "a", .key = "k", .version = 7};
	const struct store_txn txn = {.rows = rows,
	    .count = 2,
	    .conditions = &condition,
	    .condition_count = 1};

	peer->status = 200;
	peer->body = "{\"ver\":8}";
	platform_store.commit(store, &txn, 500, on_result, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->result.status, ==, STORE_OK);
	g_assert_cmpuint(peer->result.revision, ==, 8);
	g_assert_cmpstr(peer->request_path, ==, "/v1/rows-tx");
	g_assert_cmpstr(peer->request_body, ==,
	    "{\"expectedRev\":[{\"table\":\"t\",\"part\":\"a\","
	    "\"key\":\"k\",\"ver\":7}],"
	    "\"setKeys\":[{\"table\":\"t\",\"part\":\"a\","
	    "\"key\":\"k\",\"value\":\"e30=\"}],"
	    "\"remove\":[{\"table\":\"t\",\"part\":\"b\","
	    "\"key\":\"gone\"}],\"crossZone\":true}");
	peer->status = 412;
	peer->body = "{\"rows\":[{\"table\":\"t\",\"part\":\"a\","
		     "\"key\":\"k\",\"value\":\"e30=\",\"ver\":9}]}";
	platform_store.commit(store, &txn, 500, on_result, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->result.status, ==, STORE_CONFLICT);
	g_assert_cmpuint(peer->row_version, ==, 9);
	g_assert_cmpstr(peer->row_value, ==, "{}");
	/* A malformed response does not show whether the transaction was
	 * committed. */
	peer->status = 200;
	peer->body = "\xff";
	platform_store.commit(store, &txn, 500, on_result, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->result.status, ==, STORE_INVALID);
}

static void
store__rows_are_committed_and_listed(void)
{
	const struct store_range range = {
	    .table = "t", .partition = "a", .from = "k 1", .limit = 2};
	struct peer *peer = peer_new();
	void *store = platform_store.open(peer->client, peer->address);

	check_commit_results(peer, store);
	peer->body = "{\"rows\":[{\"key\":\"k 1\",\"value\":\"e30=\","
		     "\"ver\":3},{\"key\":\"k 2\"}],\"hasMore\":true}";
	platform_store.list_range(store, &range, 500, on_result, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->result.status, ==, STORE_OK);
	g_assert_cmpstr(peer->row_key, ==, "k 1");
	g_assert_cmpuint(peer->result.count, ==, 2);
	g_assert_true(peer->result.more_rows);
	g_assert_cmpstr(peer->request_path, ==, "/v1/rows-get");
	peer->body = "{\"rows\":3}";
	platform_store.list_range(store, &range, 500, on_result, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->result.status, ==, STORE_INVALID);
	platform_store.close(store);
	peer_stop(peer);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN); /* as in the daemons */
	g_test_add_func(
	    "/frontend/disconnect", frontend__caller_disconnect_is_reported);
	g_test_add_func("/worker/reports", worker__reports_are_parsed);
	g_test_add_func("/worker/orders", worker__orders_and_answers);
	g_test_add_func("/store/updates", store__updates_and_writes);
	g_test_add_func("/store/rows", store__rows_are_committed_and_listed);
	return g_test_run();
}
