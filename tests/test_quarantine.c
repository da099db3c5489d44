/*
 * Where an entry sends the tasks of quarantined teams and of others. Leased
 * entries are driven under a simulated clock; their members are played by the
 * test.
 */

#include <masticstall.h>
#include <string.h>

#include "core/entry/entry_internal.h"
#include "core/member/member.h"

#define MS          INT64_C(1000)
#define ENTRY       7
#define AGENT       100 /* incarnation of the first agent */
#define MEMBERS     12
#define QUARANTINED 3 /* a quarter */
#define SLOTS       8
#define TICK_MS     10
#define SILENCE_MS  1000 /* less than the time after which one is lost */
#define LOST_MS     1450 /* more than that time, and within the job's */
#define BAD_TEAM    "bad"
#define GOOD_TEAM   "good"
#define BAD_JOB     "00000000000000aa"
#define GOOD_JOB    "00000000000000bb"
/* Jobs of the bad team that wait: too much for the members that its quarantine
 * leaves to others, but not for all. */
#define WAITING_JOBS 190

/* Label that few members have, see give_label() */
#define LABEL "rare"
/* Timeout of a labelled job, and the time that a suspect waits for quarantined
 * members to restart, with a second for its placement. */
#define LABELLED_TIMEOUT_MS 20000
#define RESTART_WAIT_MS     6000
#define BUSY_MS             1500 /* until the quarantine has its least size */

/* What an entry has emitted. */
struct outcome {
	uint64_t dispatched_to; /* incarnation; 0: no dispatch */
	uint64_t seq;           /* of the first task */
	uint32_t flags;         /* of the first task */
	bool answered;
	bool refused;
	uint64_t job; /* handle, if answered */
};

struct fixture {
	struct mst_entry *entry;
	int64_t now_us;
	bool labelled[MEMBERS];
	bool down[MEMBERS];
	/* Members without the label have no free slots, so that no more members
	 * are quarantined. */
	bool is_busy;
};

static struct outcome
step(struct fixture *fixture, struct mst_entry_event *event)
{
	struct outcome outcome = {0};
	const GArray *effects;
	guint i;

	event->now_us = fixture->now_us;
	effects = mst_entry_step(fixture->entry, event);
	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_SEND &&
		    effect->msg.type == MST_MSG_DISPATCH) {
			outcome.dispatched_to = effect->msg.to;
			outcome.flags = effect->msg.dispatch.items[0].flags;
			outcome.seq = effect->msg.dispatch.items[0].seq;
		} else if (effect->type == MST_ENTRY_FX_ANSWER) {
			outcome.answered = true;
			outcome.job = effect->job;
		} else if (effect->type == MST_ENTRY_FX_REFUSE) {
			outcome.refused = true;
		}
	}
	return outcome;
}

static void
deliver(struct fixture *fixture, unsigned member, struct mst_msg *msg)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = msg};

	msg->from = AGENT + member;
	msg->to = ENTRY;
	step(fixture, &event);
}

static void
announce_free(struct fixture *fixture, unsigned member, uint32_t slots,
    uint32_t free_slots)
{
	char name[16];
	struct mst_msg msg = {.type = MST_MSG_ANNOUNCE,
	    .announce = {.build = {.version = mst_bytes_from_str("9.9.9"),
			     .features = MST_FEATURES},
		.failure_domain = mst_bytes_from_str("domain"),
		.service = mst_bytes_from_str("service"),
		.description_version = 1 + fixture->labelled[member],
		.labels =
		    mst_bytes_from_str(fixture->labelled[member] ? LABEL : ""),
		.clock_us = (uint64_t)fixture->now_us,
		.slots = slots,
		.resources = {.millicores = SLOTS * 1000, .memory_mb = 1024},
		.resources_max = {.millicores = SLOTS * 1000,
		    .memory_mb = 1024},
		.grant = free_slots,
		.free_slots = free_slots}};

	g_snprintf(name, sizeof(name), "member-%u", member);
	msg.announce.name = mst_bytes_from_str(name);
	deliver(fixture, member, &msg);
}

/* A member without slots is one whose worker is down. */
static void
announce(struct fixture *fixture, unsigned member, uint32_t slots)
{
	announce_free(fixture, member, slots, slots);
}

static struct fixture *
fixture_new(void)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event config = {
	    .type = MST_ENTRY_EV_CONFIG, .document = "{}"};
	struct mst_lease_times times;

	mst_lease_times(&times, 1300, 1000);
	mst_entry_options_set_leases(&options, &times);
	options.incarnation = ENTRY;
	mst_entry_new(&fixture->entry, &options);
	fixture->now_us = 10 * G_USEC_PER_SEC;
	g_assert_cmpint(
	    mst_config_parse(&config.config, config.document, 1, NULL), ==, 0);
	step(fixture, &config);
	return fixture;
}

static void
announce_all(struct fixture *fixture, bool backwards)
{
	unsigned i;

	for (i = 0; i < MEMBERS; i++)
		announce(fixture, backwards ? MEMBERS - 1 - i : i, SLOTS);
}

static void
fixture_free(struct fixture *fixture)
{
	mst_entry_free(fixture->entry);
	g_free(fixture);
}

/* Reports a crash at which one task of the bad team was present, beside a task
 * of the good team that is another one each time. */
static void
report_crash(struct fixture *fixture, unsigned member, uint64_t number,
    const char *bystander)
{
	const struct mst_crashed_run runs[] = {
	    {.task = mst_bytes_from_str(BAD_JOB ".0.0.0"),
		.team = g_str_hash(BAD_TEAM)},
	    {.task = mst_bytes_from_str(bystander),
		.team = g_str_hash(GOOD_TEAM)}};
	const struct mst_crash crash = {.number = 1,
	    .id = number,
	    .run_count = G_N_ELEMENTS(runs),
	    .runs = runs};
	struct mst_msg msg = {
	    .type = MST_MSG_CRASHES, .crashes = {.count = 1, .items = &crash}};

	deliver(fixture, member, &msg);
}

static void
report_crashes(struct fixture *fixture, unsigned count)
{
	static const char *const bystanders[] = {"0000000000000001.0.0.0",
	    "0000000000000002.0.0.0", "0000000000000003.0.0.0"};
	unsigned i;

	for (i = 0; i < count; i++)
		report_crash(fixture, i, i + 1, bystanders[i]);
}

static struct outcome
submit_step(struct fixture *fixture, const char *key, const char *team,
    const struct mst_step_spec *step_spec, uint32_t timeout_ms)
{
	char name[32];
	const struct mst_task_spec task = {.path = {name, strlen(key) + 6},
	    .flags = MST_TASK_RESTARTABLE,
	    .declared_us = 50 * MS,
	    .needs = {.millicores = 1000}};
	const struct mst_job_spec spec = {.key = key,
	    .team = team,
	    .service = "service",
	    .timeout_ms = timeout_ms,
	    .restartable = true,
	    .attempts = 2,
	    .stretch = 1.6,
	    .target_ms = timeout_ms * 2 / 3,
	    .count = 1,
	    .tasks = &task,
	    .step_count = step_spec != NULL ? 1 : 0,
	    .steps = step_spec};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_SUBMIT, .request = 1, .spec = &spec};
	struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};
	struct outcome outcome;

	g_snprintf(name, sizeof(name), "%s.0.0.0", key);
	outcome = step(fixture, &event);
	return outcome.answered || outcome.refused ? outcome
						   : step(fixture, &flush);
}

static struct outcome
submit(struct fixture *fixture, const char *key, const char *team)
{
	return submit_step(fixture, key, team, NULL, 1500);
}

/* Submits a job that requires the label. */
static struct outcome
submit_labelled(struct fixture *fixture, const char *key, const char *team)
{
	const struct mst_step_spec step_spec = {
	    .count = 1, .required_label = mst_bytes_from_str(LABEL)};

	return submit_step(fixture, key, team, &step_spec, LABELLED_TIMEOUT_MS);
}

static bool
is_quarantined(const struct fixture *fixture, uint64_t incarnation)
{
	return mst_member_find(fixture->entry, incarnation)->quarantined;
}

static unsigned
count_quarantined(const struct fixture *fixture)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < MEMBERS; i++)
		count += is_quarantined(fixture, AGENT + i);
	return count;
}

/* Guards against tasks of a team that crashes workers and tasks of others being
 * sent to the same members. */
static void
quarantine__teams_are_kept_apart(void)
{
	struct fixture *fixture = fixture_new();
	struct outcome bad, good;

	announce_all(fixture, false);
	submit(fixture, GOOD_JOB, GOOD_TEAM);
	submit(fixture, "00000000000000cc", BAD_TEAM);
	g_assert_cmpuint(count_quarantined(fixture), ==, 0);
	report_crashes(fixture, 2);
	g_assert_cmpuint(count_quarantined(fixture), ==, QUARANTINED);
	bad = submit(fixture, "00000000000000cd", BAD_TEAM);
	good = submit(fixture, "00000000000000bc", GOOD_TEAM);
	g_assert_true(is_quarantined(fixture, bad.dispatched_to));
	g_assert_false(is_quarantined(fixture, good.dispatched_to));
	fixture_free(fixture);
}

/* Guards against work that waits for the quarantined members alone counting as
 * ahead of the jobs of other teams, which are refused for it. */
static void
quarantine__waiting_jobs_refuse_no_others(void)
{
	struct fixture *fixture = fixture_new();
	struct outcome bad, good;
	char key[20];
	unsigned i;

	for (i = 0; i < MEMBERS; i++)
		announce_free(fixture, i, SLOTS, 0);
	for (i = 0; i < WAITING_JOBS; i++) {
		g_snprintf(key, sizeof(key), "%016x", 0x100 + i);
		bad = submit(fixture, key, BAD_TEAM);
		g_assert_false(bad.refused);
		g_assert_cmpuint(bad.dispatched_to, ==, 0);
	}
	report_crashes(fixture, 2);
	g_assert_cmpuint(count_quarantined(fixture), ==, QUARANTINED);
	good = submit(fixture, GOOD_JOB, GOOD_TEAM);
	g_assert_false(good.refused);
	fixture_free(fixture);
}

/* Guards against entries that put different members at risk. */
static void
quarantine__entries_choose_alike(void)
{
	struct fixture *one = fixture_new();
	struct fixture *other = fixture_new();
	unsigned i;

	announce_all(one, false);
	announce_all(other, true);
	submit(one, "00000000000000cc", BAD_TEAM);
	submit(other, "00000000000000cd", BAD_TEAM);
	report_crashes(one, 2);
	report_crashes(other, 2);
	for (i = 0; i < MEMBERS; i++)
		g_assert_true(is_quarantined(one, AGENT + i) ==
		    is_quarantined(other, AGENT + i));
	fixture_free(one);
	fixture_free(other);
}

/* Guards against crashes reaching one member after the other, because those
 * that are down are replaced by others. */
static void
quarantine__members_that_are_down_are_not_replaced(void)
{
	struct fixture *fixture = fixture_new();
	struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
	bool before[MEMBERS];
	unsigned i;

	announce_all(fixture, false);
	submit(fixture, "00000000000000cc", BAD_TEAM);
	report_crashes(fixture, 2);
	for (i = 0; i < MEMBERS; i++) {
		before[i] = is_quarantined(fixture, AGENT + i);
		if (before[i])
			announce(fixture, i, 0);
	}
	fixture->now_us += 100 * MS;
	step(fixture, &tick);
	for (i = 0; i < MEMBERS; i++)
		g_assert_true(!before[i] || is_quarantined(fixture, AGENT + i));
	fixture_free(fixture);
}

/* Guards against an entry that starts anew and takes a task that has crashed
 * workers for another entry for a new one. */
static void
quarantine__new_entry_gives_known_task_up(void)
{
	struct fixture *fixture = fixture_new();
	struct mst_job_view view;
	struct outcome outcome;

	announce_all(fixture, false);
	report_crashes(fixture, 3);
	outcome = submit(fixture, BAD_JOB, BAD_TEAM);
	g_assert_true(outcome.answered);
	g_assert_cmpint(
	    mst_entry_job(&view, fixture->entry, outcome.job), ==, 0);
	g_assert_cmpint(view.state, ==, MST_JOB_FAILED);
	g_assert_cmpint(view.reason, ==, MST_REASON_TASK_FAILED);
	fixture_free(fixture);
}

/* Guards against a suspect running beside other jobs once more. */
static void
quarantine__suspect_is_isolated(void)
{
	struct fixture *fixture = fixture_new();
	struct outcome outcome;

	announce_all(fixture, false);
	report_crashes(fixture, 2);
	outcome = submit(fixture, BAD_JOB, BAD_TEAM);
	g_assert_true(outcome.flags & MST_TASK_ISOLATED);
	g_assert_true(outcome.flags & MST_TASK_SUSPECT);
	outcome = submit(fixture, GOOD_JOB, GOOD_TEAM);
	g_assert_false(outcome.flags & MST_TASK_ISOLATED);
	fixture_free(fixture);
}

/* Guards against decisions that differ where nothing has ever crashed. */
static void
quarantine__nothing_changes_without_crashes(void)
{
	struct fixture *fixture = fixture_new();
	struct outcome outcome;

	announce_all(fixture, false);
	outcome = submit(fixture, GOOD_JOB, GOOD_TEAM);
	g_assert_cmpuint(outcome.dispatched_to, !=, 0);
	g_assert_cmpuint(outcome.flags, ==, MST_TASK_RESTARTABLE);
	g_assert_cmpuint(count_quarantined(fixture), ==, 0);
	fixture_free(fixture);
}

static void
announce_as_is(struct fixture *fixture, unsigned member)
{
	uint32_t slots = fixture->down[member] ? 0 : SLOTS;
	bool is_full = fixture->is_busy && !fixture->labelled[member];

	announce_free(fixture, member, slots, is_full ? 0 : slots);
}

/* Lets time pass in which all members announce themselves, but for a silent
 * one. Returns the last dispatch. */
static struct outcome
run_without(struct fixture *fixture, uint64_t silent, int64_t duration_ms)
{
	struct outcome last = {0};
	int64_t ms;

	for (ms = 0; ms < duration_ms; ms += TICK_MS) {
		struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
		struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};
		struct outcome outcome;
		unsigned i;

		fixture->now_us += TICK_MS * MS;
		for (i = 0; i < MEMBERS; i++) {
			if (AGENT + i != silent)
				announce_as_is(fixture, i);
		}
		outcome = step(fixture, &flush);
		if (outcome.dispatched_to != 0)
			last = outcome;
		outcome = step(fixture, &tick);
		if (outcome.dispatched_to != 0)
			last = outcome;
	}
	return last;
}

/* Guards against a second run of an isolated task, at another member than the
 * one that has given it up while a start of it may still be executed. */
static void
quarantine__isolated_task_is_bound(void)
{
	struct fixture *fixture = fixture_new();
	struct mst_result_item item = {.outcome = MST_OUTCOME_UNKNOWN,
	    .reason = MST_REASON_RUN_LOST,
	    .start_uncertain = true};
	struct mst_msg msg = {
	    .type = MST_MSG_RESULT, .results = {.count = 1, .items = &item}};
	struct outcome first, again;

	announce_all(fixture, false);
	report_crashes(fixture, 2);
	first = submit(fixture, BAD_JOB, BAD_TEAM);
	g_assert_true(first.flags & MST_TASK_ISOLATED);
	item.seq = first.seq;
	announce(fixture, (unsigned)(first.dispatched_to - AGENT), 0);
	deliver(fixture, (unsigned)(first.dispatched_to - AGENT), &msg);
	again = run_without(fixture, first.dispatched_to, SILENCE_MS);
	g_assert_cmpuint(again.dispatched_to, ==, 0);
	fixture_free(fixture);
}

/* The same for a member that is lost before it has confirmed the start. */
static void
quarantine__isolated_task_of_lost_member_is_bound(void)
{
	struct fixture *fixture = fixture_new();
	struct outcome first, again;

	announce_all(fixture, false);
	report_crashes(fixture, 2);
	first = submit(fixture, BAD_JOB, BAD_TEAM);
	g_assert_true(first.flags & MST_TASK_ISOLATED);
	again = run_without(fixture, first.dispatched_to, LOST_MS);
	g_assert_cmpuint(again.dispatched_to, ==, 0);
	fixture_free(fixture);
}

/* Returns the last member on one side of the quarantine. */
static unsigned
find_member(const struct fixture *fixture, bool quarantined)
{
	unsigned i = MEMBERS;

	while (i-- > 0) {
		if (is_quarantined(fixture, AGENT + i) == quarantined)
			return i;
	}
	g_assert_not_reached();
}

static void
give_label(struct fixture *fixture, unsigned member, bool down)
{
	fixture->labelled[member] = true;
	fixture->down[member] = down;
	announce_as_is(fixture, member);
}

/* Guards against a bound task of a quarantined team that waits for a
 * quarantined member, although it may run at its host alone. */
static void
quarantine__bound_task_runs_at_its_host(void)
{
	struct fixture *fixture = fixture_new();
	struct mst_result_item item = {.outcome = MST_OUTCOME_UNKNOWN,
	    .reason = MST_REASON_RUN_LOST,
	    .start_uncertain = true};
	struct mst_msg msg = {
	    .type = MST_MSG_RESULT, .results = {.count = 1, .items = &item}};
	struct outcome first, again;
	unsigned host = MEMBERS - 1;
	unsigned i;

	for (i = 0; i < MEMBERS; i++)
		announce_free(fixture, i, SLOTS, i == host ? SLOTS : 0);
	submit(fixture, GOOD_JOB, GOOD_TEAM);
	first = submit(fixture, "00000000000000cc", BAD_TEAM);
	g_assert_cmpuint(first.dispatched_to, ==, AGENT + host);
	report_crashes(fixture, 2);
	g_assert_false(is_quarantined(fixture, AGENT + host));
	announce(fixture, host, 0);
	item.seq = first.seq;
	deliver(fixture, host, &msg);
	again = run_without(fixture, 0, SILENCE_MS / 2);
	g_assert_cmpuint(again.dispatched_to, ==, AGENT + host);
	fixture_free(fixture);
}

/* Guards against LOST: a suspect whose label no quarantined member has waits
 * for one of them. */
static void
quarantine__suspect_runs_where_its_label_is(void)
{
	struct fixture *fixture = fixture_new();
	struct outcome outcome;
	unsigned member;

	announce_all(fixture, false);
	report_crashes(fixture, 2);
	submit(fixture, "00000000000000cc", BAD_TEAM);
	member = find_member(fixture, false);
	give_label(fixture, member, false);
	outcome = submit_labelled(fixture, BAD_JOB, BAD_TEAM);
	g_assert_cmpuint(outcome.dispatched_to, ==, AGENT + member);
	g_assert_true(outcome.flags & MST_TASK_ISOLATED);
	fixture_free(fixture);
}

/* Guards against the same for a job of another team whose label only a
 * quarantined member has. */
static void
quarantine__others_run_where_their_label_is(void)
{
	struct fixture *fixture = fixture_new();
	struct outcome outcome;
	unsigned member;

	announce_all(fixture, false);
	report_crashes(fixture, 2);
	submit(fixture, "00000000000000cc", BAD_TEAM);
	member = find_member(fixture, true);
	give_label(fixture, member, false);
	outcome = submit_labelled(fixture, GOOD_JOB, GOOD_TEAM);
	g_assert_cmpuint(outcome.dispatched_to, ==, AGENT + member);
	fixture_free(fixture);
}

/* Guards against a suspect that reaches further members while the quarantined
 * one that has its label restarts, and against LOST if that one stays down. */
static void
quarantine__suspect_waits_for_restart(void)
{
	struct fixture *fixture = fixture_new();
	struct outcome outcome;
	unsigned other;

	announce_all(fixture, false);
	report_crashes(fixture, 2);
	fixture->is_busy = true;
	submit_labelled(fixture, BAD_JOB, BAD_TEAM);
	run_without(fixture, 0, BUSY_MS);
	give_label(fixture, find_member(fixture, true), true);
	other = find_member(fixture, false);
	give_label(fixture, other, false);
	outcome = run_without(fixture, 0, RESTART_WAIT_MS / 2 - BUSY_MS);
	g_assert_cmpuint(outcome.dispatched_to, ==, 0);
	outcome = run_without(fixture, 0, RESTART_WAIT_MS / 2);
	g_assert_cmpuint(outcome.dispatched_to, ==, AGENT + other);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quarantine/teams-are-kept-apart",
	    quarantine__teams_are_kept_apart);
	g_test_add_func("/quarantine/waiting-jobs-refuse-no-others",
	    quarantine__waiting_jobs_refuse_no_others);
	g_test_add_func("/quarantine/entries-choose-alike",
	    quarantine__entries_choose_alike);
	g_test_add_func("/quarantine/members-that-are-down-are-not-replaced",
	    quarantine__members_that_are_down_are_not_replaced);
	g_test_add_func("/quarantine/new-entry-gives-known-task-up",
	    quarantine__new_entry_gives_known_task_up);
	g_test_add_func(
	    "/quarantine/suspect-is-isolated", quarantine__suspect_is_isolated);
	g_test_add_func("/quarantine/nothing-changes-without-crashes",
	    quarantine__nothing_changes_without_crashes);
	g_test_add_func(
	    "/quarantine/bound-task", quarantine__isolated_task_is_bound);
	g_test_add_func("/quarantine/bound-task-of-lost-member",
	    quarantine__isolated_task_of_lost_member_is_bound);
	g_test_add_func("/quarantine/bound-task-and-host",
	    quarantine__bound_task_runs_at_its_host);
	g_test_add_func("/quarantine/suspect-and-label",
	    quarantine__suspect_runs_where_its_label_is);
	g_test_add_func("/quarantine/others-and-label",
	    quarantine__others_run_where_their_label_is);
	g_test_add_func("/quarantine/suspect-and-restart",
	    quarantine__suspect_waits_for_restart);
	return g_test_run();
}
