/*
 * Which member a leased entry sends a task to while some are cold and have not
 * shown their speed. A task that might end after its job's deadline there must
 * go to a warm member, even if that is expected to end it later, as long as at
 * least half of the slots are warm. One entry is driven under a simulated
 * clock; the members are played by the test.
 */

#include <masticstall.h>

#define MS          INT64_C(1000)
#define ENTRY       7
#define AGENT       100 /* incarnation of the first member */
#define MEMBERS_MAX 4
#define SLOTS       8
#define KEY         "00000000000000aa"
#define TASK        KEY ".0.0.0"
#define DEADLINE_MS 1500
#define COLD_MS     2000
/* Warm members are slower than the expectation for a cold one of which nothing
 * is known while few others are warm, so that a cold one seems better. */
#define WARM_SLOWNESS_MILLI 1400
/* Service times at a warm member of slowness 1. */
#define SHORT_MS 100 /* ends in time, even if slow and underestimated */
#define LONG_MS  400 /* might not */

struct fixture {
	struct mst_entry *entry;
	int64_t now_us;
	uint64_t dispatched_to; /* member of the last dispatch; 0: none */
};

/* Members of an entry: the first ones are cold. */
struct fleet {
	unsigned members;
	unsigned cold;
	uint32_t cold_slowness_milli; /* shown by the cold ones; 0: unknown */
};

static void
step(struct fixture *fixture, struct mst_entry_event *event)
{
	const GArray *effects;
	guint i;

	event->now_us = fixture->now_us;
	effects = mst_entry_step(fixture->entry, event);
	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_SEND &&
		    effect->msg.type == MST_MSG_DISPATCH)
			fixture->dispatched_to = effect->msg.to;
	}
}

static void
announce(struct fixture *fixture, const struct fleet *fleet, unsigned member)
{
	static const char *const names[MEMBERS_MAX] = {"m0", "m1", "m2", "m3"};
	bool is_cold = member < fleet->cold;
	struct mst_msg msg = {.type = MST_MSG_ANNOUNCE,
	    .from = AGENT + member,
	    .to = ENTRY,
	    .announce = {.name = mst_bytes_from_str(names[member]),
		.failure_domain = mst_bytes_from_str("domain"),
		.service = mst_bytes_from_str("service"),
		.description_version = 1,
		.clock_us = (uint64_t)fixture->now_us,
		.slots = SLOTS,
		.resources = {.millicores = SLOTS * 1000, .memory_mb = 1024},
		.grant = SLOTS,
		.free_slots = SLOTS,
		.slowness_milli =
		    is_cold ? fleet->cold_slowness_milli : WARM_SLOWNESS_MILLI,
		.cold_ms = is_cold ? COLD_MS : 0}};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = &msg};

	step(fixture, &event);
}

static struct fixture *
fixture_new(const struct fleet *fleet)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event config = {
	    .type = MST_ENTRY_EV_CONFIG, .document = "{}"};
	struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
	struct mst_lease_times times;
	unsigned i;

	mst_lease_times(&times, 1300, 1000);
	mst_entry_options_set_leases(&options, &times);
	options.incarnation = ENTRY;
	options.address = "entry";
	mst_entry_new(&fixture->entry, &options);
	fixture->now_us = G_USEC_PER_SEC;
	g_assert_cmpint(
	    mst_config_parse(&config.config, config.document, 1, NULL), ==, 0);
	step(fixture, &config);
	for (i = 0; i < fleet->members; i++)
		announce(fixture, fleet, i);
	step(fixture, &tick);
	return fixture;
}

static void
fixture_free(struct fixture *fixture)
{
	mst_entry_free(fixture->entry);
	g_free(fixture);
}

static void
submit(struct fixture *fixture, int64_t service_ms)
{
	const struct mst_task_spec task = {.path = mst_bytes_from_str(TASK),
	    .flags = MST_TASK_RESTARTABLE,
	    .declared_us = (uint32_t)(service_ms * MS),
	    .needs = {.millicores = 1000}};
	const struct mst_job_spec spec = {.key = KEY,
	    .team = "queue",
	    .service = "service",
	    .timeout_ms = DEADLINE_MS,
	    .caller_deadline_ms = DEADLINE_MS,
	    .restartable = true,
	    .attempts = 2,
	    .stretch = 2,
	    .target_ms = 100,
	    .count = 1,
	    .tasks = &task};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_SUBMIT, .request = 1, .spec = &spec};
	struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

	step(fixture, &event);
	step(fixture, &flush);
}

/* Returns true if a task goes to a cold member of a fleet. */
static bool
goes_to_cold(const struct fleet *fleet, int64_t service_ms)
{
	struct fixture *fixture = fixture_new(fleet);
	uint64_t chosen;

	submit(fixture, service_ms);
	chosen = fixture->dispatched_to;
	g_assert_cmpuint(chosen, >=, AGENT);
	fixture_free(fixture);
	return chosen < AGENT + fleet->cold;
}

/* The deadline must decide with half of the slots warm. */
static void
cold_choice__long_task_goes_to_warm_member(void)
{
	const struct fleet half = {.members = 4, .cold = 2};

	g_assert_true(goes_to_cold(&half, SHORT_MS));
	g_assert_false(goes_to_cold(&half, LONG_MS));
}

/* With fewer warm slots, the warm members must not get all long tasks. */
static void
cold_choice__few_warm_members_are_not_preferred(void)
{
	const struct fleet most = {.members = 4, .cold = 3};

	g_assert_true(goes_to_cold(&most, LONG_MS));
}

/* A cold member that has shown that it is fast must get long tasks. */
static void
cold_choice__shown_speed_decides(void)
{
	const struct fleet fast = {
	    .members = 4, .cold = 2, .cold_slowness_milli = 1000};

	g_assert_true(goes_to_cold(&fast, LONG_MS));
}

/* If all members that are usable might be too late, a cold one must still get
 * the task. */
static void
cold_choice__only_cold_members(void)
{
	const struct fleet all = {.members = 2, .cold = 2};

	g_assert_true(goes_to_cold(&all, LONG_MS));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cold-choice/long-task",
	    cold_choice__long_task_goes_to_warm_member);
	g_test_add_func("/cold-choice/few-warm",
	    cold_choice__few_warm_members_are_not_preferred);
	g_test_add_func(
	    "/cold-choice/shown-speed", cold_choice__shown_speed_decides);
	g_test_add_func(
	    "/cold-choice/all-cold", cold_choice__only_cold_members);
	return g_test_run();
}
