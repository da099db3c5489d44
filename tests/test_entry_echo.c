/*
 * Which clock of a member an entry echoes. The echo extends the entry's lease
 * at the member, so it must not be newer than the input that the entry has
 * handled: a caller may have left meanwhile. One leased entry is driven under a
 * simulated clock; its member is played by the test.
 */

#include <masticstall.h>

#include "support/leased_entry.h"

#define MS      INT64_C(1000)
#define ENTRY   7
#define MEMBER  100
#define SLOTS   4
#define STEP_MS 10
/* Silence after which a caller comes back elsewhere, and a little more. */
#define PAUSE_MS      1400
#define JOB_TIMEOUT_S 20

struct fixture {
	struct mst_entry *entry;
	int64_t now_us;
	unsigned dispatches;
	unsigned withdrawals;
	int64_t dispatch_echo_us; /* of the last dispatch */
	uint64_t dispatch_seq;    /* of its first task */
	int64_t heartbeat_echo_us;
};

static void
record(void *ctx, const struct mst_msg *msg)
{
	struct fixture *f = ctx;

	if (msg->type == MST_MSG_DISPATCH) {
		f->dispatches++;
		f->dispatch_echo_us = (int64_t)msg->dispatch.echo_us;
		f->dispatch_seq = msg->dispatch.items[0].seq;
	}
	if (msg->type == MST_MSG_HEARTBEAT)
		f->heartbeat_echo_us = (int64_t)msg->heartbeat.echo_us;
	if (msg->type == MST_MSG_WITHDRAW)
		f->withdrawals++;
}

static void
step(struct fixture *f, struct mst_entry_event *event)
{
	event->now_us = f->now_us;
	leased_entry_step(f->entry, event, record, f);
}

static void
flush(struct fixture *f)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_FLUSH};

	step(f, &event);
}

static void
announce(struct fixture *f, uint32_t grant)
{
	struct mst_msg msg = {.type = MST_MSG_ANNOUNCE,
	    .from = MEMBER,
	    .to = ENTRY,
	    .announce = {.name = mst_bytes_from_str("a"),
		.failure_domain = mst_bytes_from_str("domain"),
		.service = mst_bytes_from_str("service"),
		.description_version = 1,
		.clock_us = (uint64_t)f->now_us,
		.slots = SLOTS,
		.resources = {.millicores = SLOTS * 1000, .memory_mb = 1024},
		.grant = grant,
		.free_slots = grant,
		.build = {.version = mst_bytes_from_str("9.9.9"),
		    .features = MST_FEATURES}}};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = &msg};

	step(f, &event);
}

/* Lets the loop of the entry run: each time the timers, then input. */
static void
run_ms(struct fixture *f, int64_t ms, uint32_t grant)
{
	int64_t i;

	for (i = 0; i < ms; i += STEP_MS) {
		struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};

		f->now_us += STEP_MS * MS;
		step(f, &tick);
		flush(f);
		if (i % 100 == 0)
			announce(f, grant);
	}
}

static void
submit(struct fixture *f)
{
	struct leased_entry_job job;
	struct mst_entry_event event =
	    leased_entry_submission(&job, 50 * MS, JOB_TIMEOUT_S * 1000);

	step(f, &event);
}

static struct fixture *
fixture_new(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct mst_entry_event config = leased_entry_configuration();

	f->entry = leased_entry_new(ENTRY);
	f->now_us = G_USEC_PER_SEC;
	step(f, &config);
	return f;
}

static void
fixture_free(struct fixture *f)
{
	mst_entry_free(f->entry);
	g_free(f);
}

/* Guards against a start for a caller that left during a pause of the entry. */
static void
echo__after_a_pause(void)
{
	struct fixture *f = fixture_new();
	struct mst_entry_event gone = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = 1};
	int64_t paused_us;

	announce(f, 0);
	run_ms(f, 200, 0);
	submit(f);
	run_ms(f, 100, 0);
	paused_us = f->now_us;
	f->now_us += PAUSE_MS * MS;
	announce(f, SLOTS);
	flush(f);
	g_assert_cmpint(f->dispatch_echo_us, <=, paused_us);
	run_ms(f, STEP_MS, SLOTS);
	g_assert_cmpint(f->dispatch_echo_us, <=, paused_us);
	g_assert_cmpint(f->heartbeat_echo_us, <=, paused_us);
	step(f, &gone);
	flush(f);
	f->dispatches = 0;
	run_ms(f, 300, SLOTS);
	g_assert_cmpuint(f->dispatches, ==, 0);
	fixture_free(f);
}

static void
echo__follows_the_member(void)
{
	struct fixture *f = fixture_new();

	announce(f, SLOTS);
	run_ms(f, 1000, SLOTS);
	g_assert_cmpint(f->heartbeat_echo_us, >, f->now_us - 400 * MS);
	submit(f);
	run_ms(f, 50, SLOTS);
	g_assert_cmpuint(f->dispatches, ==, 1);
	g_assert_cmpint(f->dispatch_echo_us, >, f->now_us - 200 * MS);
	fixture_free(f);
}

static void
echo__of_a_new_member(void)
{
	struct fixture *f = fixture_new();

	submit(f);
	announce(f, SLOTS);
	run_ms(f, 50, SLOTS);
	g_assert_cmpuint(f->dispatches, ==, 1);
	g_assert_cmpint(f->dispatch_echo_us, >, 0);
	fixture_free(f);
}

/* Returns the last task that was sent, as one that has arrived too late. */
static void
return_as_stale(struct fixture *f)
{
	const struct mst_result_item item = {.seq = f->dispatch_seq,
	    .outcome = MST_OUTCOME_NOT_RUN,
	    .reason = MST_REASON_STALE};
	struct mst_msg msg = {.type = MST_MSG_RESULT,
	    .from = MEMBER,
	    .to = ENTRY,
	    .results = {.grant = SLOTS,
		.free_slots = SLOTS,
		.items = &item,
		.count = 1}};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = &msg};

	step(f, &event);
	flush(f);
}

/* Guards against an exchange of tasks and refusals as fast as messages travel:
 * an entry that was paused takes clocks that have waited for present ones. */
static void
echo__is_refused(void)
{
	struct fixture *f = fixture_new();

	announce(f, SLOTS);
	run_ms(f, 200, SLOTS);
	submit(f);
	flush(f);
	g_assert_cmpuint(f->dispatches, ==, 1);
	return_as_stale(f);
	flush(f);
	g_assert_cmpuint(f->dispatches, ==, 1);
	run_ms(f, STEP_MS, SLOTS);
	g_assert_cmpuint(f->dispatches, ==, 2);
	return_as_stale(f);
	g_assert_cmpuint(f->dispatches, ==, 2);
	fixture_free(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/echo/after-a-pause", echo__after_a_pause);
	g_test_add_func("/echo/follows-the-member", echo__follows_the_member);
	g_test_add_func("/echo/new-member", echo__of_a_new_member);
	g_test_add_func("/echo/refused", echo__is_refused);
	return g_test_run();
}
