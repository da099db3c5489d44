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
#include "support/peer.h"

#define LISTED_MAX 500 /* completions in one answer */

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
	    {400, "", MST_ORDER_INVALID}, {404, "", MST_ORDER_INVALID},
	    {201, "{\"clockMs\":5}", MST_ORDER_NO_ANSWER},
	    {500, "", MST_ORDER_NO_ANSWER}, {502, "", MST_ORDER_NO_ANSWER},
	    {504, "{\"clockMs\":5}", MST_ORDER_NO_ANSWER},
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
		if (cases[i].expected == MST_ORDER_NO_ANSWER)
			g_assert_cmpint(peer->answer.clock_ms, ==, 0);
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
	g_assert_cmpuint(peer->answer.completion_count, ==, 1);
	g_assert_cmpstr(peer->request_body, ==,
	    "{\"lastSeen\":57,\"waitMs\":150,\"untilMs\":486000,\"fence\":7}");
	/* Lists that are absent are empty. */
	peer->body = "{\"clockMs\":5}";
	platform_worker.order(worker, &order);
	peer_wait(peer);
	g_assert_cmpint(peer->answer.status, ==, MST_ORDER_DONE);
	g_assert_cmpuint(peer->answer.running_count, ==, 0);
	g_assert_cmpuint(peer->answer.completion_count, ==, 0);
}

/* Guards against a run counting as ended without a completion, because the
 * worker lists only the first ones at a time. */
static void
check_long_lists(struct peer *peer, void *worker)
{
	const struct mst_order order = {
	    .kind = MST_ORDER_RENEW, .fence = 7, .timeout_ms = 500};
	unsigned count;

	for (count = LISTED_MAX - 1; count <= LISTED_MAX; count++) {
		GString *body = g_string_new("{\"clockMs\":5,\"ended\":[");
		unsigned i;

		for (i = 1; i <= count; i++)
			g_string_append_printf(body,
			    "%s[%u,\"5c0e7a21d94b36f8.0.1.%u\",1,\"done\"]",
			    i > 1 ? "," : "", i, i);
		g_string_append(body, "]}");
		peer->status = 200;
		peer->body = body->str;
		platform_worker.order(worker, &order);
		peer_wait(peer);
		g_assert_cmpuint(peer->answer.completion_count, ==, count);
		g_assert_cmpint(
		    peer->answer.has_more_completions, ==, count == LISTED_MAX);
		g_string_free(body, TRUE);
	}
}

/*
 * Guards against numbers whose conversion is undefined, and against a list with
 * a row that can't be read counting as the list of all runs: a run that is not
 * listed has ended.
 */
static void
check_odd_answers(struct peer *peer, void *worker)
{
	static const char *const bodies[] = {"{\"clockMs\":\"5\"}",
	    "{\"clockMs\":-5}", "{\"clockMs\":1e300}", "{\"born\":1.5}",
	    "{\"born\":\"1700000000123\"}", "{\"born\":-1}",
	    "{\"born\":18446744073709551615}", "{\"running\":3}",
	    "{\"running\":null}", "{\"ended\":\"x\"}",
	    "{\"running\":[[\"a.0.0.0\",1],7]}",
	    "{\"running\":[[\"a.0.0.0\"]]}", "{\"running\":[[\"a.0.0.0\",0]]}",
	    "{\"running\":[[\"a.0.0.0\",-1]]}",
	    "{\"running\":[[\"a.0.0.0\",1.5]]}",
	    "{\"running\":[[\"a.0.0.0\",4294967296]]}",
	    "{\"running\":[[\"a.0.0.0\",\"1\"]]}", "{\"running\":[[\"\",1]]}",
	    "{\"running\":[[7,1]]}",
	    "{\"running\":[{\"a\":\"a.0.0.0\",\"b\":1}]}"};
	const struct mst_order order = {
	    .kind = MST_ORDER_RENEW, .fence = 7, .timeout_ms = 500};
	char *name = g_strnfill(10000, 'x');
	char *long_name = g_strdup_printf("{\"running\":[[\"%s\",1]]}", name);
	size_t i;

	peer->status = 200;
	for (i = 0; i <= G_N_ELEMENTS(bodies); i++) {
		peer->body = i < G_N_ELEMENTS(bodies) ? bodies[i] : long_name;
		platform_worker.order(worker, &order);
		peer_wait(peer);
		if (peer->answer.status != MST_ORDER_NO_ANSWER)
			g_error("%s is an answer", peer->body);
		g_assert_cmpuint(peer->answer.incarnation, ==, 0);
		g_assert_cmpint(peer->answer.clock_ms, ==, 0);
		g_assert_cmpuint(peer->answer.running_count, ==, 0);
		g_assert_cmpuint(peer->answer.completion_count, ==, 0);
	}
	g_free(long_name);
	g_free(name);
}

/* A completed run that can't be read is left out; the worker has ended it all
 * the same. The others are read. */
static void
check_odd_completions(struct peer *peer, void *worker)
{
	const struct mst_order order = {
	    .kind = MST_ORDER_RENEW, .fence = 7, .timeout_ms = 500};
	GString *many = g_string_new("{\"running\":[],\"ended\":[");
	int i;

	peer->status = 200;
	peer->body = "{\"ended\":[[1e19,\"a.0.0.0\",1,\"done\",\"\"],"
		     "[-1,\"a.0.0.0\",1,\"done\",\"\"],"
		     "[0,\"a.0.0.0\",1,\"done\",\"\"],"
		     "[1.5,\"a.0.0.0\",1,\"done\",\"\"],"
		     "[1,\"a.0.0.0\",1e300,\"done\",\"\"],"
		     "[1,\"a.0.0.0\",1,\"vanished\",\"\"],"
		     "[1,\"a.0.0.0\",1,7,\"\"],[1,\"a.0.0.0\"],[],7,null,"
		     "[59,\"b.0.0.0\",3,\"alone\",\"\"]]}";
	platform_worker.order(worker, &order);
	peer_wait(peer);
	g_assert_cmpint(peer->answer.status, ==, MST_ORDER_DONE);
	g_assert_cmpuint(peer->answer.completion_count, ==, 1);
	g_assert_cmpuint(peer->first_completion.seq, ==, 59);
	g_assert_cmpuint(peer->first_completion.run, ==, 3);
	g_assert_cmpint(peer->first_completion.status, ==, MST_RUN_GANG_FAILED);
	for (i = 1; i <= 500; i++)
		g_string_append_printf(many,
		    "%s[%d,\"a.0.0.%d\",1,\"done\",\"\"]", i > 1 ? "," : "", i,
		    i);
	g_string_append(many, "]}");
	peer->body = many->str;
	platform_worker.order(worker, &order);
	peer_wait(peer);
	g_assert_cmpuint(peer->answer.completion_count, ==, 500);
	g_string_free(many, TRUE);
}

static void
worker__orders_and_answers(void)
{
	struct peer *peer = peer_new();
	struct worker_driver_options options = {.http_client = peer->client,
	    .address = peer->address,
	    .now_us = runtime_now_us,
	    .on_answer = peer_on_answer,
	    .ctx = peer};
	void *worker = platform_worker.open(&options);

	check_order_answers(peer, worker);
	check_renew_answers(peer, worker);
	check_long_lists(peer, worker);
	check_odd_answers(peer, worker);
	check_odd_completions(peer, worker);
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
		    store, STORE_CONFIG, 5, 10, 100, peer_on_update, peer);
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
	platform_store.read(store, STORE_CONFIG, 500, peer_on_update, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->update.status, ==, STORE_OK);
	g_assert_cmpuint(peer->update.version, ==, 9);
	g_assert_cmpuint(peer->update.revision, ==, 412);
	g_assert_cmpstr(peer->document, ==, "{\"queues\":[]}");
	/* A value that is not valid base64 is reported as a fault, and no
	 * document is passed on. */
	peer->body =
	    "{\"rows\":[{\"key\":\"config\",\"value\":\"!!!!\"}],\"ver\":5}";
	platform_store.read(store, STORE_CONFIG, 500, peer_on_update, peer);
	peer_wait(peer);
	g_assert_null(peer->document);
	g_assert_cmpint(peer->update.fault.kind, ==, INPUT_FAULT_ENCODING);
	peer->body = "{\"rows\":[{\"key\":\"10.0.0.1:7000\",\"value\":\"\"},"
		     "{\"key\":\"10.0.0.2:7000\",\"removed\":true},{}],"
		     "\"ver\":5}";
	platform_store.watch(
	    store, STORE_ENTRIES, 4, 10, 500, peer_on_update, peer);
	peer_wait(peer);
	g_assert_cmpstr(peer->first_entry, ==, "10.0.0.1:7000");
	peer->body = "{\"ver\":6}";
	platform_store.put_entry(
	    store, "10.0.0.1:7000", 500, peer_on_status, peer);
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
	platform_store.commit(store, &txn, 500, peer_on_result, peer);
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
	platform_store.commit(store, &txn, 500, peer_on_result, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->result.status, ==, STORE_CONFLICT);
	g_assert_cmpuint(peer->row_version, ==, 9);
	g_assert_cmpstr(peer->row_value, ==, "{}");
	/* A malformed response does not show whether the transaction was
	 * committed. */
	peer->status = 200;
	peer->body = "\xff";
	platform_store.commit(store, &txn, 500, peer_on_result, peer);
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
	platform_store.list_range(store, &range, 500, peer_on_result, peer);
	peer_wait(peer);
	g_assert_cmpint(peer->result.status, ==, STORE_OK);
	g_assert_cmpstr(peer->row_key, ==, "k 1");
	g_assert_cmpuint(peer->result.count, ==, 2);
	g_assert_true(peer->result.more_rows);
	g_assert_cmpstr(peer->request_path, ==, "/v1/rows-get");
	peer->body = "{\"rows\":3}";
	platform_store.list_range(store, &range, 500, peer_on_result, peer);
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
	g_test_add_func("/worker/orders", worker__orders_and_answers);
	g_test_add_func("/store/updates", store__updates_and_writes);
	g_test_add_func("/store/rows", store__rows_are_committed_and_listed);
	return g_test_run();
}
