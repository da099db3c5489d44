/*
 * Rules that keep a task from a member hold only while another member could
 * take this task: one that has its service, its label and its resources, is
 * below the step's limit of tasks per member, and is alive. The entries are
 * leased, but for the last test.
 */

#include "support/placement_fixture.h"

/* Time in which a task is started again at a worker that could take it, the
 * restart of a worker that has crashed included. */
#define RESTART_MAX_MS 4500
/* Time in which a task starts that no other member could take. */
#define START_MAX_MS 500
/* Time for which nothing of a job runs although a member has room for it. */
#define WAIT_MAX_MS    3000
#define RUN_MS         500
#define LONG_MS        20000
#define OVERDUE_FACTOR 14   /* by which a task may be longer than declared */
#define OVERDUE_MS     5000 /* until tasks of RUN_MS count as overdue */
#define FAST_CALL_MS   20
#define LEARNING_CALLS 10 /* until the speed of the upstreams is known */

/* One worker has the label b, one is larger than the others. */
static const struct placement_worker fleet[] = {{"r1", "b,r1", 8000},
    {"r1", "a,r1", 8000}, {"r2", "a,r2", 8000}, {"r2", "a,r2", 16000}};

/* Plays a job and asserts that it completes in time after one run without
 * success. */
static void
play(struct placement_job job)
{
	struct placement_fixture *fixture =
	    placement_new(fleet, G_N_ELEMENTS(fleet));

	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, RESTART_MAX_MS + 2 * RUN_MS);
	g_assert_cmpuint(job.runs[job.end_index], ==, 2);
	placement_assert_complete(fixture, &job);
	placement_free(fixture);
}

static struct placement_job
labelled_job(enum placement_end end, bool stored)
{
	return (struct placement_job){.key = "00000000000000aa",
	    .label = "b",
	    .count = 1,
	    .millicores = 1000,
	    .attempts = 3,
	    .run_ms = RUN_MS,
	    .end = end,
	    .stored = stored};
}

/* Guards against LOST: a task that avoids the only member with its label after
 * a crash there, while others are usable. */
static void
constraints__label_after_crash(void)
{
	play(labelled_job(PLACEMENT_CRASH_FIRST, true));
	play(labelled_job(PLACEMENT_CRASH_FIRST, false));
}

/* Guards against the same after a failed run. */
static void
constraints__label_after_failure(void)
{
	play(labelled_job(PLACEMENT_FAIL_FIRST, true));
	play(labelled_job(PLACEMENT_FAIL_FIRST, false));
}

/* Guards against the same for a task that only one worker is large enough for.
 */
static void
constraints__resources_after_failure(void)
{
	struct placement_job job = labelled_job(PLACEMENT_FAIL_FIRST, true);

	job.label = NULL;
	job.millicores = 12000;
	play(job);
}

/* Guards against the same for a step whose other members are at its limit of
 * tasks per member. */
static void
constraints__member_limit_after_failure(void)
{
	struct placement_fixture *fixture =
	    placement_new(fleet, G_N_ELEMENTS(fleet));
	struct placement_job job = labelled_job(PLACEMENT_FAIL_FIRST, true);

	job.label = "a";
	job.count = 3;
	job.per_member_max = 1;
	job.run_ms = LONG_MS;
	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, RESTART_MAX_MS);
	g_assert_cmpuint(job.runs[job.end_index], ==, 2);
	placement_free(fixture);
}

/* Guards against LOST: a task that avoids an idle member for as long as the
 * only other one with its label is full. */
static void
constraints__preferred_member_is_full(void)
{
	static const struct placement_worker two[] = {{"r1", "b,r1", 8000},
	    {"r1", "b,r1", 8000}, {"r2", "a,r2", 8000}, {"r2", "a,r2", 8000}};
	struct placement_fixture *fixture =
	    placement_new(two, G_N_ELEMENTS(two));
	struct placement_job filler = labelled_job(PLACEMENT_DONE, true);
	struct placement_job job = labelled_job(PLACEMENT_FAIL_FIRST, true);

	filler.key = "00000000000000ff";
	filler.millicores = 8000;
	filler.run_ms = LONG_MS;
	placement_submit(fixture, &filler);
	placement_run_for_ms(fixture, 100);
	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, WAIT_MAX_MS);
	g_assert_cmpuint(job.runs[0], ==, 2);
	placement_free(fixture);
}

/* Guards against LOST: a job that waits for the only member with its label for
 * as long as that is ejected because of another job. */
static void
constraints__label_at_ejected_member(void)
{
	struct placement_fixture *fixture =
	    placement_new(fleet, G_N_ELEMENTS(fleet));
	struct placement_job failing = labelled_job(PLACEMENT_FAIL_ALL, true);
	struct placement_job job = labelled_job(PLACEMENT_DONE, true);

	failing.key = "00000000000000ff";
	failing.attempts = 100;
	placement_submit(fixture, &failing);
	placement_run_for_ms(fixture, LONG_MS);
	g_assert_cmpuint(placement_counters(fixture)->ejections, >, 2);
	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, WAIT_MAX_MS);
	g_assert_cmpuint(job.runs[0], ==, 1);
	placement_free(fixture);
}

/* Guards against LOST: a job that waits for the only member with its label for
 * as long as other tasks there take longer than expected. */
static void
constraints__label_at_overdue_member(void)
{
	struct placement_fixture *fixture =
	    placement_new(fleet, G_N_ELEMENTS(fleet));
	struct placement_job overdue = labelled_job(PLACEMENT_DONE, true);
	struct placement_job job = labelled_job(PLACEMENT_DONE, true);

	overdue.key = "00000000000000ff";
	overdue.count = 2;
	overdue.run_ms = LONG_MS;
	overdue.declared_ms = RUN_MS;
	placement_submit(fixture, &overdue);
	placement_run_for_ms(fixture, OVERDUE_MS);
	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, WAIT_MAX_MS);
	g_assert_cmpuint(job.runs[0], ==, 1);
	placement_free(fixture);
}

/* Guards against LOST: jobs that wait while the only member with their label is
 * cold, one after the other, as the warm members can't take them. */
static void
constraints__label_at_cold_member(void)
{
	static const struct placement_worker mostly_warm[] = {
	    {"r1", "b,r1", 8000}, {"r1", "a,r1", 8000}, {"r1", "a,r1", 8000},
	    {"r1", "a,r1", 8000}, {"r2", "a,r2", 8000}, {"r2", "a,r2", 8000},
	    {"r2", "a,r2", 8000}, {"r2", "a,r2", 8000}};
	struct placement_fixture *fixture =
	    placement_new(mostly_warm, G_N_ELEMENTS(mostly_warm));
	struct placement_job jobs[3];
	char keys[G_N_ELEMENTS(jobs)][20];
	guint i;

	sim_worker_set_cold(
	    sim_get_worker(fixture->sim, fixture->cluster.agents[0]),
	    LONG_MS * 1000, false);
	placement_run_for_ms(fixture, WAIT_MAX_MS);
	for (i = 0; i < G_N_ELEMENTS(jobs); i++) {
		jobs[i] = labelled_job(PLACEMENT_DONE, true);
		jobs[i].key = keys[i];
		jobs[i].run_ms = LONG_MS;
		g_snprintf(keys[i], sizeof(keys[i]), "%016x", i + 1);
		placement_submit(fixture, &jobs[i]);
	}
	placement_run_for_ms(fixture, START_MAX_MS);
	for (i = 0; i < G_N_ELEMENTS(jobs); i++)
		g_assert_cmpuint(jobs[i].runs[0], ==, 1);
	placement_free(fixture);
}

/* Guards against LOST: a task that takes much longer than declared is stopped
 * and started anew, again and again, at the only member with its label. */
static void
constraints__long_task_stays_at_its_member(void)
{
	struct placement_fixture *fixture =
	    placement_new(fleet, G_N_ELEMENTS(fleet));
	struct placement_job job = labelled_job(PLACEMENT_DONE, true);

	job.run_ms = OVERDUE_FACTOR * RUN_MS;
	job.declared_ms = RUN_MS;
	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, job.run_ms + START_MAX_MS);
	g_assert_cmpuint(job.runs[0], ==, 1);
	placement_assert_complete(fixture, &job);
	placement_free(fixture);
}

/* Member b is away from the data of the jobs below, and a are full. */
static const struct placement_worker two_racks[] = {
    {"r1", "b,r1", 8000}, {"r2", "a,r2", 8000}, {"r2", "a,r2", 8000}};

/* Returns the time from the submission of a job until it began, in
 * milliseconds, while the members of its rack are full for long. */
static int64_t
wait_away_from_data_ms(const char *label)
{
	struct placement_fixture *fixture =
	    placement_new(two_racks, G_N_ELEMENTS(two_racks));
	struct placement_job filler = labelled_job(PLACEMENT_DONE, true);
	struct placement_job job = labelled_job(PLACEMENT_DONE, true);
	int64_t submitted_us;

	filler.key = "00000000000000ff";
	filler.label = "a";
	filler.count = 12; /* the agents' queues as well */
	filler.millicores = 8000;
	filler.run_ms = LONG_MS;
	placement_submit(fixture, &filler);
	placement_run_for_ms(fixture, 500);
	job.label = label;
	job.rack = "r2";
	job.stretch = 1.2;
	job.run_ms = LONG_MS;
	submitted_us = sim_now(fixture->sim);
	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, 2 * LONG_MS);
	g_assert_cmpuint(job.runs[0], ==, 1);
	placement_free(fixture);
	return (job.began_us[0] - submitted_us) / 1000;
}

/* Guards against LOST: a job that waits for full members near its data, which
 * have not its label. */
static void
constraints__label_away_from_data(void)
{
	g_assert_cmpint(wait_away_from_data_ms("b"), <=, START_MAX_MS);
}

/* Guards against LOST: a job that waits without a bound for full members near
 * its data, while another one is idle. */
static void
constraints__wait_for_data_is_bounded(void)
{
	g_assert_cmpint(wait_away_from_data_ms(NULL), <=, WAIT_MAX_MS);
}

/* Guards against withdrawing, each 50 ms, tasks that wait at a full member
 * because others are idle that have not their label. */
static void
constraints__idle_members_without_label(void)
{
	struct placement_fixture *fixture =
	    placement_new(two_racks, G_N_ELEMENTS(two_racks));
	struct placement_job job = labelled_job(PLACEMENT_DONE, true);

	job.label = "a";
	job.count = 4;
	job.millicores = 8000;
	job.run_ms = LONG_MS;
	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, WAIT_MAX_MS);
	g_assert_cmpuint(placement_counters(fixture)->withdrawals, ==, 0);
	placement_free(fixture);
}

/* Guards against a job that waits until its deadline because only the domain of
 * the one member with its label is drained, not all domains. */
static void
constraints__label_in_drained_domain(void)
{
	struct placement_fixture *fixture =
	    placement_new(fleet, G_N_ELEMENTS(fleet));
	struct placement_job job = labelled_job(PLACEMENT_DONE, false);
	const struct sim_request *request;

	sim_set_failure_domain(
	    fixture->sim, fixture->cluster.agents[0], "drained");
	placement_run_for_ms(fixture, RESTART_MAX_MS);
	sim_set_drains(fixture->sim, fixture->cluster.entries[0], 2, "drained");
	placement_run_for_ms(fixture, WAIT_MAX_MS);
	placement_submit(fixture, &job);
	placement_run_for_ms(fixture, START_MAX_MS);
	request = sim_get_request(fixture->sim, job.request);
	g_assert_cmpint(request->answered_us, >, 0);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_MEMBERS);
	g_assert_false(request->may_have_run);
	placement_free(fixture);
}

/* Node id of the agent of the slow upstream. */
struct slow_upstream {
	int agent;
};

static struct sim_task_result
serve_call(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	const struct slow_upstream *slow = ctx;

	return (struct sim_task_result){.outcome = MST_OUTCOME_DONE,
	    .status = 200,
	    .duration_us =
		(agent == slow->agent ? 10 * FAST_CALL_MS : FAST_CALL_MS) *
		1000};
}

static uint64_t
submit_call(struct sim *sim, int entry, uint32_t accelerators)
{
	const struct mst_task_spec task = {.path = mst_bytes_from_str("/"),
	    .declared_us = FAST_CALL_MS * 1000,
	    .needs = {.accelerators = accelerators}};
	const struct mst_job_spec spec = {
	    .team = "queue", .timeout_ms = LONG_MS, .count = 1, .tasks = &task};

	return sim_submit(sim, entry, &spec);
}

/* Guards against a call that waits until its timeout for faster upstreams, none
 * of which has the accelerator that it needs. */
static void
constraints__accelerator_of_slow_upstream(void)
{
	struct slow_upstream slow = {0};
	const struct sim_options options = {.seed = 5,
	    .latency_us = 500,
	    .get_task_result = serve_call,
	    .ctx = &slow};
	struct mst_agent_options agent = MST_AGENT_OPTIONS_INIT;
	struct sim *sim = sim_new(&options);
	int entry = sim_add_entry(sim, "entry");
	uint64_t request;
	int i;

	sim_configure(sim, entry, 1, "{}");
	agent.slots = 2;
	sim_add_agent(sim, "fast", &agent);
	agent.resources.accelerators = 1;
	slow.agent = sim_add_agent(sim, "slow", &agent);
	sim_run_until(sim, 5 * G_USEC_PER_SEC);
	for (i = 0; i < LEARNING_CALLS; i++) {
		submit_call(sim, entry, 0);
		submit_call(sim, entry, 1);
		sim_run_until(sim, sim_now(sim) + 2 * 10 * FAST_CALL_MS * 1000);
	}
	request = submit_call(sim, entry, 1);
	sim_run_until(sim, sim_now(sim) + WAIT_MAX_MS * 1000);
	g_assert_cmpint(
	    sim_get_request(sim, request)->state, ==, MST_JOB_COMPLETE);
	sim_free(sim);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/constraints/label-after-crash", constraints__label_after_crash);
	g_test_add_func("/constraints/label-after-failure",
	    constraints__label_after_failure);
	g_test_add_func("/constraints/resources-after-failure",
	    constraints__resources_after_failure);
	g_test_add_func("/constraints/member-limit-after-failure",
	    constraints__member_limit_after_failure);
	g_test_add_func("/constraints/preferred-member-is-full",
	    constraints__preferred_member_is_full);
	g_test_add_func("/constraints/label-at-ejected-member",
	    constraints__label_at_ejected_member);
	g_test_add_func("/constraints/label-at-cold-member",
	    constraints__label_at_cold_member);
	g_test_add_func("/constraints/label-away-from-data",
	    constraints__label_away_from_data);
	g_test_add_func("/constraints/wait-for-data",
	    constraints__wait_for_data_is_bounded);
	g_test_add_func("/constraints/idle-members-without-label",
	    constraints__idle_members_without_label);
	g_test_add_func("/constraints/label-in-drained-domain",
	    constraints__label_in_drained_domain);
	g_test_add_func("/constraints/accelerator-of-slow-upstream",
	    constraints__accelerator_of_slow_upstream);
	g_test_add_func("/constraints/long-task-stays",
	    constraints__long_task_stays_at_its_member);
	g_test_add_func("/constraints/label-at-overdue-member",
	    constraints__label_at_overdue_member);
	return g_test_run();
}
