/*
 * The drained failure domains on their way from the store's responses to the
 * reducer: decoding by the platform's driver, and the set that the entry keeps
 * of them. Responses are recorded bytes of a server on loopback.
 */

#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform.h"
#include "runtime/drain_set.h"

#define CONFIG_ROW                                                             \
	"{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":"        \
	"\"eyJ2ZXJzaW9uIjo5LCJyb3V0ZXMiOltdfQ==\"}"
#define DRAIN_ROW(name)                                                        \
	"{\"table\":\"op\",\"part\":\"\",\"key\":\"evacuate/" name             \
	"\",\"value\":\"e30=\"}"
#define RESTORE_ROW(name)                                                      \
	"{\"table\":\"op\",\"part\":\"\",\"key\":\"evacuate/" name             \
	"\",\"removed\":true}"
#define ROWS(ver, rows) "{\"rows\":[" rows "],\"ver\":" #ver "}"

/* A store that gives recorded responses, and an entry's set of drains. */
struct fixture {
	uv_loop_t loop;
	char listen[32];
	struct mst_httpd *httpd;
	struct mst_http_client *client;
	uv_timer_t timeout;
	void *store;
	struct drain_set set;
	int status;
	const char *body;
	char *query; /* of the last request */
	unsigned request_count;
	unsigned update_count;
	enum store_status update_status;
	uint64_t version; /* of the configuration in the last update */
	bool told;        /* the last update must be passed to the reducer */
};

static void
on_request(struct mst_http_request *request, void *ctx)
{
	struct fixture *f = ctx;

	g_free(f->query);
	f->query = mst_bytes_to_str(request->query);
	f->request_count++;
	mst_http_respond(f->httpd, request->id, f->status, NULL, 0, f->body,
	    strlen(f->body));
}

static void
on_disconnect(uint64_t id, void *ctx)
{
}

static void
on_timeout(uv_timer_t *timer)
{
	g_error("no response within 5 s");
}

/* Sets f->listen to an address with a free port. */
static void
choose_address(struct fixture *f)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(
	    getsockname(fd, (struct sockaddr *)&address, &len), ==, 0);
	g_snprintf(f->listen, sizeof(f->listen), "127.0.0.1:%u",
	    ntohs(address.sin_port));
	close(fd);
}

static void
fixture_set_up(struct fixture *f, gconstpointer data)
{
	struct mst_httpd_options options = {.loop = &f->loop,
	    .listen = f->listen,
	    .body_max_bytes = 1 << 20,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect,
	    .ctx = f};
	GError *error = NULL;

	uv_loop_init(&f->loop);
	choose_address(f);
	mst_httpd_new(&f->httpd, &options, &error);
	g_assert_no_error(error);
	f->client = mst_http_client_new(&f->loop, 4);
	f->store = platform_store.open(f->client, f->listen);
	f->status = 200;
	drain_set_init(&f->set);
	uv_timer_init(&f->loop, &f->timeout);
	uv_timer_start(&f->timeout, on_timeout, 5000, 0);
}

/* Leaves the loop open: the HTTP server can be shut down but not freed. */
static void
fixture_tear_down(struct fixture *f, gconstpointer data)
{
	uv_timer_stop(&f->timeout);
	mst_httpd_shutdown(f->httpd);
	platform_store.close(f->store);
	mst_http_client_close(f->client);
	uv_run(&f->loop, UV_RUN_NOWAIT);
	drain_set_clear(&f->set);
	g_free(f->query);
}

/* As in the entry, only successful updates reach the set. */
static void
on_update(const struct store_update *update, void *ctx)
{
	struct fixture *f = ctx;

	f->update_count++;
	f->update_status = update->status;
	f->version = update->version;
	f->told =
	    update->status == STORE_OK && drain_set_update(&f->set, update);
}

static void
wait_for_update(struct fixture *f)
{
	unsigned count = f->update_count;

	while (f->update_count == count)
		uv_run(&f->loop, UV_RUN_ONCE);
}

static void
read_snapshot(struct fixture *f, const char *body)
{
	f->body = body;
	platform_store.read(f->store, STORE_CONFIG, 500, on_update, f);
	wait_for_update(f);
}

static void
read_changes(struct fixture *f, const char *body)
{
	f->body = body;
	platform_store.watch(f->store, STORE_CONFIG, 1, 10, 500, on_update, f);
	wait_for_update(f);
}

/* Checks the event for the reducer. domains: names separated by spaces. */
static void
assert_event(
    const struct drain_set *set, uint64_t revision, const char *domains)
{
	struct mst_entry_event event = drain_set_event(set);
	GString *text = g_string_new(NULL);
	uint32_t i;

	g_assert_cmpint(event.type, ==, MST_ENTRY_EV_DRAINS);
	g_assert_cmpuint(event.drains_revision, ==, revision);
	for (i = 0; i < event.drained_count; i++)
		g_string_append_printf(
		    text, "%s%s", i > 0 ? " " : "", event.drained_domains[i]);
	g_assert_cmpstr(text->str, ==, domains);
	g_string_free(text, TRUE);
}

/* Guards against a deployment without drains that steps its reducer for every
 * response of the store, and against a second call for the drains. */
static void
drain_set__is_silent_without_drains(struct fixture *f, gconstpointer data)
{
	read_snapshot(f, ROWS(7, CONFIG_ROW));
	g_assert_false(f->told);
	g_assert_cmpuint(f->version, ==, 9);
	read_changes(f, ROWS(8, ""));
	g_assert_false(f->told);
	g_assert_cmpuint(f->request_count, ==, 2);
}

/* Guards against a configuration or a drain that is lost if both are in one
 * response, and against a snapshot read that leaves out the drains' keys. */
static void
drain_set__shares_responses_with_config(struct fixture *f, gconstpointer data)
{
	read_snapshot(
	    f, ROWS(7, CONFIG_ROW "," DRAIN_ROW("b") "," DRAIN_ROW("a")));
	g_assert_cmpuint(f->version, ==, 9);
	g_assert_true(f->told);
	assert_event(&f->set, 7, "b a");
	g_assert_cmpstr(f->query, ==, "table=op&part=");
	read_changes(f, ROWS(9, RESTORE_ROW("b") "," CONFIG_ROW));
	g_assert_cmpuint(f->version, ==, 9);
	assert_event(&f->set, 9, "a");
}

/* Guards against a restored domain that stays drained, also when the last one
 * is restored, and against a set that replaces the earlier one by a change. */
static void
drain_set__accumulates_changes(struct fixture *f, gconstpointer data)
{
	read_snapshot(f, ROWS(7, ""));
	read_changes(f, ROWS(8, DRAIN_ROW("a")));
	assert_event(&f->set, 8, "a");
	read_changes(f, ROWS(9, DRAIN_ROW("b") "," DRAIN_ROW("a")));
	assert_event(&f->set, 9, "a b");
	read_changes(f, ROWS(10, RESTORE_ROW("a") "," RESTORE_ROW("c")));
	assert_event(&f->set, 10, "b");
	read_changes(f, ROWS(11, RESTORE_ROW("b")));
	g_assert_true(f->told);
	assert_event(&f->set, 11, "");
	/* The reducer must know that the empty set still holds, so that it
	 * takes over no older one. */
	read_changes(f, ROWS(12, ""));
	g_assert_true(f->told);
	assert_event(&f->set, 12, "");
}

/* Guards against a drain and a restoration within one poll that are applied in
 * the wrong order. */
static void
drain_set__applies_last_change_of_a_response(
    struct fixture *f, gconstpointer data)
{
	read_changes(f, ROWS(8, DRAIN_ROW("a") "," RESTORE_ROW("a")));
	g_assert_false(f->told);
	assert_event(&f->set, 8, "");
	read_changes(
	    f, ROWS(9, DRAIN_ROW("a") "," RESTORE_ROW("a") "," DRAIN_ROW("a")));
	assert_event(&f->set, 9, "a");
	read_changes(f,
	    ROWS(10, RESTORE_ROW("a") "," DRAIN_ROW("a") "," RESTORE_ROW("a")));
	assert_event(&f->set, 10, "");
}

/* Guards against a domain that was restored during a gap in the history (410)
 * and stays drained, and against a failed call that clears the set. */
static void
drain_set__is_replaced_after_compaction(struct fixture *f, gconstpointer data)
{
	read_snapshot(f, ROWS(7, DRAIN_ROW("a") "," DRAIN_ROW("b")));
	f->status = 410;
	read_changes(f, "{}");
	g_assert_cmpint(f->update_status, ==, STORE_COMPACTED);
	assert_event(&f->set, 7, "a b");
	f->status = 503;
	read_changes(f, "");
	assert_event(&f->set, 7, "a b");
	f->status = 200;
	read_snapshot(f, ROWS(20, DRAIN_ROW("b") "," DRAIN_ROW("c")));
	assert_event(&f->set, 20, "b c");
	read_snapshot(f, ROWS(30, CONFIG_ROW));
	g_assert_true(f->told);
	assert_event(&f->set, 30, "");
}

/* Guards against a set that reverts because of a late or repeated response. */
static void
drain_set__ignores_older_revisions(struct fixture *f, gconstpointer data)
{
	read_snapshot(f, ROWS(7, DRAIN_ROW("a")));
	read_snapshot(f, ROWS(6, ""));
	g_assert_false(f->told);
	assert_event(&f->set, 7, "a");
	read_changes(f, ROWS(7, RESTORE_ROW("a")));
	g_assert_false(f->told);
	assert_event(&f->set, 7, "a");
	/* A response without a revision. */
	read_changes(f, "{\"rows\":[" RESTORE_ROW("a") "]}");
	assert_event(&f->set, 7, "a");
}

/* Guards against malformed rows that end the process, hide valid rows or drain
 * a domain that was not named; a comma would split the name in messages. */
static void
drain_set__ignores_malformed_rows(struct fixture *f, gconstpointer data)
{
	static const char name_of_65[] = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
					 "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
	char *body = g_strdup_printf(
	    "{\"rows\":[null,7,[],{},{\"key\":8},{\"key\":\"evacuate\"},"
	    "{\"key\":\"evacuate/\"},{\"key\":\"evacuate/a,b\"},"
	    "{\"key\":\"evacuate/a\\nb\"},{\"key\":\"Evacuate/d\"},"
	    "{\"key\":\"evacuate/%s\"},"
	    "{\"part\":\"p\",\"key\":\"evacuate/e\"},"
	    "{\"key\":\"evacuate/ok\",\"value\":7}],\"ver\":8}",
	    name_of_65);

	read_snapshot(f, body);
	g_assert_true(f->told);
	assert_event(&f->set, 8, "ok");
	read_changes(f, "{\"rows\":7,\"ver\":9}");
	g_assert_cmpint(f->update_status, ==, STORE_INVALID);
	assert_event(&f->set, 8, "ok");
	g_free(body);
}

static void
add_test(const char *path, void (*test)(struct fixture *, gconstpointer))
{
	g_test_add(path, struct fixture, NULL, fixture_set_up, test,
	    fixture_tear_down);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN); /* as in the daemons */
	add_test("/drain_set/silent", drain_set__is_silent_without_drains);
	add_test("/drain_set/config", drain_set__shares_responses_with_config);
	add_test("/drain_set/changes", drain_set__accumulates_changes);
	add_test(
	    "/drain_set/order", drain_set__applies_last_change_of_a_response);
	add_test(
	    "/drain_set/compaction", drain_set__is_replaced_after_compaction);
	add_test("/drain_set/older", drain_set__ignores_older_revisions);
	add_test("/drain_set/malformed", drain_set__ignores_malformed_rows);
	return g_test_run();
}
