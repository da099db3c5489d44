/*
 * Tasks that are bound to the member at which a start of them may still be
 * executed. One leased entry is driven under a simulated clock; its members are
 * played by the test.
 */

#include <masticstall.h>

#define MS            INT64_C(1000)
#define ENTRY         7
#define SLOTS         4
#define KEY           "00000000000000aa"
#define STEP_MS       10
#define SILENCE_MS    1000 /* less than the time after which one is lost */
#define LOST_MS       1500 /* more than that time */
#define JOB_TIMEOUT_S 20

struct fixture {
	struct mst_entry *entry;
	int64_t now_us;
	uint64_t dispatched_to; /* of the last dispatch; 0: none */
	uint64_t seq;
};

static void
step(struct fixture *f, struct mst_entry_event *event)
{
	const GArray *effects;
	guint i;

	event->now_us = f->now_us;
	effects = mst_entry_step(f->entry, event);
	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type != MST_ENTRY_FX_SEND ||
		    effect->msg.type != MST_MSG_DISPATCH)
			continue;
		f->dispatched_to = effect->msg.to;
		f->seq = effect->msg.dispatch.items[0].seq;
	}
}

static void
deliver(struct fixture *f, uint64_t from, struct mst_msg *msg)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = msg};

	msg->from = from;
	msg->to = ENTRY;
	step(f, &event);
}

static void
announce(struct fixture *f, uint64_t member, const char *name, uint32_t grant)
{
	struct mst_msg msg = {.type = MST_MSG_ANNOUNCE,
	    .announce = {.name = mst_bytes_from_str(name),
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

	deliver(f, member, &msg);
}

/* Sends the result of a member that has given the last dispatched task up while
 * a start of it may still be executed. */
static void
lose_task(struct fixture *f, uint64_t member)
{
	const struct mst_result_item item = {.seq = f->seq,
	    .outcome = MST_OUTCOME_UNKNOWN,
	    .reason = MST_REASON_RUN_LOST,
	    .start_uncertain = true};
	struct mst_msg msg = {
	    .type = MST_MSG_RESULT, .results = {.count = 1, .items = &item}};

	g_assert_cmpuint(f->dispatched_to, ==, member);
	f->dispatched_to = 0;
	deliver(f, member, &msg);
}

static void
run_ms(struct fixture *f, int64_t ms)
{
	int64_t i;

	for (i = 0; i < ms; i += STEP_MS) {
		struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
		struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

		f->now_us += STEP_MS * MS;
		step(f, &tick);
		step(f, &flush);
	}
}

static void
submit(struct fixture *f)
{
	const struct mst_task_spec task = {
	    .path = mst_bytes_from_str(KEY ".0.0.0"),
	    .flags = MST_TASK_RESTARTABLE,
	    .declared_us = 50 * MS,
	    .needs = {.millicores = 1000}};
	const struct mst_job_spec spec = {.key = KEY,
	    .team = "queue",
	    .service = "service",
	    .timeout_ms = JOB_TIMEOUT_S * 1000,
	    .caller_deadline_ms = JOB_TIMEOUT_S * 1000,
	    .restartable = true,
	    .attempts = 2,
	    .stretch = 100,
	    .count = 1,
	    .tasks = &task};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_SUBMIT, .request = 1, .spec = &spec};

	step(f, &event);
}

static struct fixture *
fixture_new(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event config = {.type = MST_ENTRY_EV_CONFIG,
	    .document = "{\"policy\":{\"eject_share_max\":1}}"};
	struct mst_lease_times times;

	mst_lease_times(&times, 1300, 1000);
	mst_entry_options_set_leases(&options, &times);
	options.incarnation = ENTRY;
	mst_entry_new(&f->entry, &options);
	f->now_us = G_USEC_PER_SEC;
	g_assert_cmpint(
	    mst_config_parse(&config.config, config.document, 1, NULL), ==, 0);
	step(f, &config);
	return f;
}

static void
fixture_free(struct fixture *f)
{
	mst_entry_free(f->entry);
	g_free(f);
}

static void
bound__waits_for_its_member(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 100);
	announce(f, 100, "a", 0);
	announce(f, 200, "b", SLOTS);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* Guards against a second run beside one whose start is executed late at the
 * second member to which a task is bound. */
static void
bound__to_the_latest_member(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 100);
	announce(f, 101, "a", 0);
	announce(f, 200, "b", SLOTS);
	run_ms(f, 100);
	lose_task(f, 200);
	announce(f, 200, "b", 0);
	announce(f, 300, "c", SLOTS);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* A member that is lost before it has told anything of a task may have started
 * it, so the job waits when it is submitted again. */
static void
bound__to_a_lost_member(void)
{
	struct fixture *f = fixture_new();
	struct mst_entry_event gone = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = 1};

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, LOST_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 100);
	f->dispatched_to = 0;
	step(f, &gone);
	announce(f, 300, "c", SLOTS);
	submit(f);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* Guards against a run beside one whose start is executed late at a member that
 * was lost before the one that the task was bound to. */
static void
bound__to_each_member_with_a_start(void)
{
	struct fixture *f = fixture_new();
	struct mst_entry_event gone = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = 1};

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, LOST_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 100);
	announce(f, 200, "b", SLOTS);
	run_ms(f, 100);
	lose_task(f, 200);
	announce(f, 200, "b", 0);
	step(f, &gone);
	announce(f, 201, "b", 0);
	announce(f, 300, "c", SLOTS);
	submit(f);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bound/waits", bound__waits_for_its_member);
	g_test_add_func("/bound/latest", bound__to_the_latest_member);
	g_test_add_func("/bound/lost", bound__to_a_lost_member);
	g_test_add_func("/bound-open/each", bound__to_each_member_with_a_start);
	return g_test_run();
}
