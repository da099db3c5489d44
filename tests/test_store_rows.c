/*
 * Rows of the store that another writer has written: one that can't be read is
 * left out, and the others hold.
 */

#include <glib.h>
#include <signal.h>
#include <string.h>

#include "platform.h"
#include "support/peer.h"

#define PAGE_ROWS 500

static void
read_update(struct peer *peer, enum store_subject subject, const char *body)
{
	void *store = platform_store.open(peer->client, peer->address);

	peer->status = 200;
	peer->body = body;
	platform_store.read(store, subject, 500, peer_on_update, peer);
	peer_wait(peer);
	platform_store.close(store);
}

/* Guards against addresses that would be looked up by name, lead elsewhere, or
 * are none. */
static void
entries__odd_addresses_are_left_out(void)
{
	struct peer *peer = peer_new();
	char *key = g_strnfill(200, 'x');
	char *body = g_strdup_printf(
	    "{\"rows\":[{\"key\":\"10.0.0.1:65536\"},{\"key\":\"10.0.0.1:0\"},"
	    "{\"key\":\"localhost:7000\"},{\"key\":\"a.example:7000\"},"
	    "{\"key\":\"[::1]:7000\"},{\"key\":\"10.0.0.1\"},{\"key\":\"\"},"
	    "{\"key\":\"*:7000\"},{\"key\":\"eth0:7000\"},"
	    "{\"key\":\"10.0.0.1:7000;10.0.0.2:7000\"},"
	    "{\"key\":\"10.0.0.1:7000,10.0.0.2:7000\"},"
	    "{\"key\":\"%s\"},{\"key\":\"%sx\"},{\"key\":\"\xff\"},"
	    "{\"key\":7},{},7,null,[],{\"key\":\"10.0.0.2:7000\",\"part\":"
	    "\"a\"},"
	    "{\"key\":\"10.0.0.3:7000\",\"removed\":7},"
	    "{\"key\":\"10.0.0.4:7000\",\"ver\":-1},"
	    "{\"key\":\"10.0.0.9:7000\",\"value\":\"!!!!\"},"
	    "{\"key\":\"10.0.0.8:7000\",\"value\":\"\",\"ver\":4}],\"ver\":5}",
	    key, key);
	uint64_t before =
	    input_fault_count(INPUT_ENTRY_ADDRESS, INPUT_FAULT_ADDRESS);

	read_update(peer, STORE_ENTRIES, body);
	g_assert_cmpint(peer->update.status, ==, STORE_OK);
	g_assert_cmpuint(peer->update.revision, ==, 5);
	/* The value of these rows is not used. */
	g_assert_cmpstr(peer->added, ==, "10.0.0.9:7000,10.0.0.8:7000");
	g_assert_cmpuint(
	    input_fault_count(INPUT_ENTRY_ADDRESS, INPUT_FAULT_ADDRESS), ==,
	    before + 11);
	peer_stop(peer);
	g_free(body);
	g_free(key);
}

static void
cancels__odd_keys_are_left_out(void)
{
	struct peer *peer = peer_new();

	read_update(peer, STORE_CANCELS,
	    "{\"rows\":[{\"key\":\"5c0e7a21d94b36f\"},{\"key\":\"\xff\"},"
	    "{\"key\":\"zc0e7a21d94b36f8\"},{\"key\":\"5c0e7a21d94b36f8\"}],"
	    "\"ver\":5}");
	g_assert_cmpstr(peer->added, ==, "5c0e7a21d94b36f8");
	peer_stop(peer);
}

/* Guards against an odd row beside the configuration's one that hides it. */
static void
config__odd_rows_are_left_out(void)
{
	/* {"version":9,"routes":[]} and {"version":1e400,"routes":[]} */
	static const char good[] = "eyJ2ZXJzaW9uIjo5LCJyb3V0ZXMiOltdfQ==";
	static const char huge[] = "eyJ2ZXJzaW9uIjoxZTQwMCwicm91dGVzIjpbXX0=";
	static const char *const odd[] = {"!!!!", "e30", "e30==", "e3=0",
	    "====", "W10=", "e30=", "W1tbW1tb", "AAAA", "/////w==", huge};
	struct peer *peer = peer_new();
	char *body;
	size_t i;

	body = g_strdup_printf(
	    "{\"rows\":[{\"key\":\"aaaa\",\"value\":7},7,"
	    "{\"key\":\"config\",\"value\":\"%s\",\"ver\":4},"
	    "{\"key\":\"evacuate/\"},{\"key\":\"evacuate/a,b\"},"
	    "{\"key\":\"evacuate/a\\u0001\"},"
	    "{\"key\":\"evacuate/fd1\",\"value\":\"!\"},"
	    "{\"key\":\"wave/1\",\"value\":[]}],\"ver\":5}",
	    good);
	read_update(peer, STORE_CONFIG, body);
	g_assert_cmpuint(peer->update.version, ==, 9);
	g_assert_cmpstr(peer->document, ==, "{\"queues\":[]}");
	g_assert_cmpstr(peer->drained, ==, "fd1");
	g_free(body);
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		body = g_strdup_printf(
		    "{\"rows\":[{\"key\":\"config\",\"value\":\"%s\"},"
		    "{\"key\":\"evacuate/fd1\",\"value\":\"\"}],\"ver\":5}",
		    odd[i]);
		read_update(peer, STORE_CONFIG, body);
		g_assert_cmpint(peer->update.status, ==, STORE_OK);
		g_assert_null(peer->document);
		g_assert_cmpint(peer->update.fault.kind, !=, 0);
		g_assert_cmpuint(peer->update.version, ==, 0);
		g_assert_cmpstr(peer->drained, ==, "fd1");
		g_free(body);
	}
	peer_stop(peer);
}

static void
store__odd_answers_are_invalid(void)
{
	static const char *const bodies[] = {"{\"rows\":[]}",
	    "{\"rows\":[],\"ver\":\"5\"}", "{\"rows\":[],\"ver\":-1}",
	    "{\"rows\":[],\"ver\":1.5}", "{\"rows\":[],\"ver\":1e30}",
	    "{\"rows\":[],\"ver\":1e400}", "{\"rows\":{},\"ver\":5}", "[]", "",
	    "{\"ver\":5}", "{\"rows\":[],\"ver\":5"};
	struct peer *peer = peer_new();
	char *nested = g_strnfill(100000, '[');
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		read_update(peer, STORE_ENTRIES, bodies[i]);
		g_assert_cmpint(peer->update.status, ==, STORE_INVALID);
	}
	read_update(peer, STORE_ENTRIES, nested);
	g_assert_cmpint(peer->update.status, ==, STORE_INVALID);
	g_free(nested);
	peer_stop(peer);
}

/* Guards against an answer that fills the memory. */
static void
store__huge_answer_is_none(void)
{
	struct peer *peer = peer_new();
	char *body = g_strnfill(17 << 20, ' ');

	read_update(peer, STORE_ENTRIES, body);
	g_assert_cmpint(peer->update.status, ==, STORE_UNAVAILABLE);
	g_free(body);
	peer_stop(peer);
}

/* Guards against a row with a value that can't be read that counts as no row:
 * the job would be taken for one that does not exist. */
static void
store__unreadable_value_is_a_row(void)
{
	/* Not base64; {"owner":"1"} and text behind a NUL. */
	static const char *const bodies[] = {
	    "{\"rows\":[7,{\"key\":8},{\"key\":\"k\",\"ver\":3,"
	    "\"value\":\"?\"},{\"key\":\"l\",\"ver\":1e300}]}",
	    "{\"rows\":[{\"key\":\"k\",\"ver\":3,"
	    "\"value\":\"eyJvd25lciI6IjEifQB4\"}]}"};
	static const struct store_range range = {
	    .table = "t", .partition = "a"};
	struct peer *peer = peer_new();
	void *store = platform_store.open(peer->client, peer->address);
	size_t i;

	peer->status = 200;
	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		peer->body = bodies[i];
		platform_store.list_range(
		    store, &range, 500, peer_on_result, peer);
		peer_wait(peer);
		g_assert_cmpint(peer->result.status, ==, STORE_OK);
		g_assert_cmpuint(peer->result.count, ==, 1);
		g_assert_cmpstr(peer->row_key, ==, "k");
		g_assert_cmpstr(peer->row_value, ==, "");
	}
	platform_store.close(store);
	peer_stop(peer);
}

/* A store whose rows are read in pages. */
static char *
respond_page(struct mst_bytes query)
{
	GString *body = g_string_new("{\"rows\":[");
	char *text = mst_bytes_to_str(query);
	bool is_first = strstr(text, "from=") == NULL;
	int i;

	/* The second page begins with the last row of the first one. */
	for (i = 0; i < PAGE_ROWS; i++)
		g_string_append_printf(body, "%s{\"key\":\"odd %05d\"}",
		    i > 0 ? "," : "", is_first ? i : i + PAGE_ROWS - 1);
	g_string_append_printf(
	    body, ",{\"key\":\"10.0.0.%d:7000\"}", is_first ? 1 : 2);
	g_string_append_printf(body, "],\"hasMore\":%s,\"ver\":%d}",
	    is_first ? "true" : "false", is_first ? 5 : 7);
	g_free(text);
	return g_string_free(body, FALSE);
}

/* Guards against hundreds of odd rows that hide those behind them. */
static void
entries__all_pages_are_read(void)
{
	struct peer *peer = peer_new();

	peer->respond = respond_page;
	read_update(peer, STORE_ENTRIES, "");
	g_assert_cmpint(peer->update.status, ==, STORE_OK);
	g_assert_cmpstr(peer->added, ==, "10.0.0.1:7000,10.0.0.2:7000");
	/* Changes since the first page are watched. */
	g_assert_cmpuint(peer->update.revision, ==, 5);
	g_assert_cmpuint(peer->requests, ==, 2);
	peer_stop(peer);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN); /* as in the daemons */
	g_test_add_func(
	    "/store-rows/entries", entries__odd_addresses_are_left_out);
	g_test_add_func("/store-rows/pages", entries__all_pages_are_read);
	g_test_add_func("/store-rows/cancels", cancels__odd_keys_are_left_out);
	g_test_add_func("/store-rows/config", config__odd_rows_are_left_out);
	g_test_add_func("/store-rows/answers", store__odd_answers_are_invalid);
	g_test_add_func("/store-rows/huge-answer", store__huge_answer_is_none);
	g_test_add_func("/store-rows/values", store__unreadable_value_is_a_row);
	return g_test_run();
}
