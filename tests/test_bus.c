/*
 * Tests of the bus over loopback: what a process sends while it has no
 * connection to an entry is not delivered later, and it learns of each new
 * connection. Processes without the shared key are refused.
 */

#include <glib.h>
#include <masticstall.h>
#include <zmq.h>

#include "net/bus.h"
#include "support/free_address.h"

#define ENTRY      UINT64_C(0xe1)
#define AGENT      UINT64_C(0xa1)
#define TICK_MS    10
#define TIMEOUT_MS 20000

struct fixture {
	uv_loop_t loop;
	uv_timer_t timer;
	char address[32];
	struct mst_bus *entry;
	struct mst_bus *agent;
	unsigned connections;
	unsigned received; /* by the entry */
	struct mst_curve_keys curve;
};

static void
on_timer(uv_timer_t *timer)
{
}

static void
on_message(const struct mst_msg *msg, void *ctx)
{
	struct fixture *f = ctx;

	f->received++;
}

static void
on_connected(void *ctx)
{
	struct fixture *f = ctx;

	f->connections++;
}

static void
ignore_message(const struct mst_msg *msg, void *ctx)
{
}

static void
open_entry(struct fixture *f)
{
	const struct mst_bus_options options = {.loop = &f->loop,
	    .listen = f->address,
	    .self_address = f->address,
	    .curve = f->curve,
	    .on_message = on_message,
	    .ctx = f};
	GError *error = NULL;

	g_assert_cmpint(mst_bus_new(&f->entry, &options, &error), ==, 0);
	g_assert_no_error(error);
}

static void
close_bus(struct fixture *f, struct mst_bus **bus)
{
	mst_bus_close(*bus);
	uv_run(&f->loop, UV_RUN_NOWAIT);
	mst_bus_free(*bus);
	*bus = NULL;
}

static void
setup(struct fixture *f)
{
	const struct mst_bus_options options = {.loop = &f->loop,
	    .curve = f->curve,
	    .on_message = ignore_message,
	    .on_connected = on_connected,
	    .ctx = f};
	GError *error = NULL;

	uv_loop_init(&f->loop);
	uv_timer_init(&f->loop, &f->timer);
	uv_timer_start(&f->timer, on_timer, TICK_MS, TICK_MS);
	choose_free_address(f->address, sizeof(f->address));
	mst_bus_new(&f->agent, &options, &error);
	g_assert_no_error(error);
	g_assert_cmpint(mst_bus_connect(f->agent, f->address, &error), ==, 0);
}

static void
teardown(struct fixture *f)
{
	if (f->entry != NULL)
		close_bus(f, &f->entry);
	close_bus(f, &f->agent);
	uv_close((uv_handle_t *)&f->timer, NULL);
	uv_run(&f->loop, UV_RUN_DEFAULT);
	uv_loop_close(&f->loop);
}

/* Runs the loop until a count has reached a value. */
static void
run_until(struct fixture *f, const unsigned *count, unsigned value)
{
	int ticks;

	for (ticks = 0; *count < value && ticks < TIMEOUT_MS / TICK_MS; ticks++)
		uv_run(&f->loop, UV_RUN_ONCE);
	g_assert_cmpuint(*count, ==, value);
}

static void
send_announcement(struct fixture *f)
{
	const struct mst_msg msg = {.type = MST_MSG_ANNOUNCE, .from = AGENT};

	mst_bus_send(f->agent, &msg);
}

static void
test_nothing_queued(void)
{
	struct fixture f = {0};
	int i;

	setup(&f);
	for (i = 0; i < 50; i++) {
		send_announcement(&f);
		uv_run(&f.loop, UV_RUN_ONCE);
	}
	g_assert_cmpuint(f.connections, ==, 0);
	open_entry(&f);
	run_until(&f, &f.connections, 1);
	send_announcement(&f);
	run_until(&f, &f.received, 1);
	teardown(&f);
}

static void
test_reconnected(void)
{
	struct fixture f = {0};

	setup(&f);
	open_entry(&f);
	run_until(&f, &f.connections, 1);
	send_announcement(&f);
	run_until(&f, &f.received, 1);
	close_bus(&f, &f.entry);
	open_entry(&f);
	run_until(&f, &f.connections, 2);
	/* The new connection is announced to without delay. */
	send_announcement(&f);
	run_until(&f, &f.received, 2);
	teardown(&f);
}

/* A process that uses the mechanism PLAIN is refused before an authentication
 * request is made. Such a request would have 8 frames, one more than those for
 * CURVE, which the listener reads. */
static void
test_plain_refused(void)
{
	struct fixture f = {0};
	char *text = NULL;
	char **keys;
	void *context = zmq_ctx_new();
	void *stranger = zmq_socket(context, ZMQ_DEALER);
	char *endpoint;
	int linger = 0, i;

	g_assert_true(
	    g_file_get_contents("golden/curve_keys.txt", &text, NULL, NULL));
	keys = g_strsplit(g_strstrip(text), " ", 2);
	f.curve = (struct mst_curve_keys){
	    .public_key = keys[0], .secret_key = keys[1]};
	setup(&f);
	open_entry(&f);
	endpoint = g_strdup_printf("tcp://%s", f.address);
	zmq_setsockopt(stranger, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(stranger, ZMQ_PLAIN_USERNAME, "user", 4);
	zmq_setsockopt(stranger, ZMQ_PLAIN_PASSWORD, "password", 8);
	g_assert_cmpint(zmq_connect(stranger, endpoint), ==, 0);
	zmq_send(stranger, "x", 1, ZMQ_DONTWAIT);
	run_until(&f, &f.connections, 1);
	for (i = 0; i < 50; i++)
		uv_run(&f.loop, UV_RUN_ONCE);
	g_assert_cmpuint(f.received, ==, 0);
	/* The listener still accepts new connections. */
	close_bus(&f, &f.entry);
	open_entry(&f);
	run_until(&f, &f.connections, 2);
	send_announcement(&f);
	run_until(&f, &f.received, 1);
	zmq_close(stranger);
	zmq_ctx_term(context);
	teardown(&f);
	g_strfreev(keys);
	g_free(endpoint);
	g_free(text);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bus/nothing-queued", test_nothing_queued);
	g_test_add_func("/bus/reconnected", test_reconnected);
	g_test_add_func("/bus/plain-refused", test_plain_refused);
	return g_test_run();
}
