/*
 * Deadlines that callers set. A job whose caller waits longer than its queue's
 * timeout must run to its end, a limit must bound what callers ask for, and an
 * entry that stops must answer every open job before its process ends.
 */

#include <masticstall.h>

#include "sim/cluster.h"

#define MS               INT64_C(1000)
#define QUEUE_TIMEOUT_MS 1500
#define LONG_TASK_MS     4000
#define LONG_DEADLINE_MS 9000
/* Time until a job without a deadline of its own is answered. */
#define SCAN_MAX_MS 100
#define RESUBMIT_MS 1300
#define LONG_JOBS   6 /* submitted at once, one to three tasks each */

struct fixture {
	struct sim *sim;
	struct cluster cluster;
	int64_t task_ms;
	unsigned jobs;
};

static struct sim_task_result
serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	const struct fixture *fixture = ctx;

	return (struct sim_task_result){.outcome = MST_OUTCOME_DONE,
	    .status = 200,
	    .duration_us = fixture->task_ms * MS};
}

static struct fixture *
fixture_new(int entries, int agents)
{
	const struct mst_resources capacity = {
	    .millicores = 8000, .memory_mb = 1024};
	struct fixture *fixture = g_new0(struct fixture, 1);
	const struct sim_options options = {.seed = 1,
	    .latency_us = 500,
	    .leased = true,
	    .get_task_result = serve_task,
	    .on_log = cluster_log_stderr,
	    .ctx = fixture};

	fixture->task_ms = LONG_TASK_MS;
	fixture->sim = sim_new(&options);
	cluster_init(
	    &fixture->cluster, fixture->sim, entries, agents, &capacity);
	sim_run_until(fixture->sim, 4 * G_USEC_PER_SEC);
	return fixture;
}

static void
fixture_free(struct fixture *fixture)
{
	sim_free(fixture->sim);
	g_free(fixture);
}

static void
run_for_ms(struct fixture *fixture, int64_t ms)
{
	sim_run_until(fixture->sim, sim_now(fixture->sim) + ms * MS);
}

/* Submits a job of some tasks that take as long as declared. */
static uint64_t
submit_numbered(struct fixture *fixture, int entry, unsigned number,
    uint32_t count, uint32_t deadline_ms)
{
	struct mst_task_spec tasks[3] = {0};
	char key[20], names[3][40];
	const struct mst_job_spec spec = {.team = "queue",
	    .timeout_ms = QUEUE_TIMEOUT_MS,
	    .caller_deadline_ms = deadline_ms,
	    .count = count,
	    .tasks = tasks,
	    .restartable = true,
	    .key = key,
	    .service = "service",
	    .attempts = 2,
	    .stretch = 1.6,
	    .target_ms = 60};
	uint32_t i;

	g_snprintf(key, sizeof(key), "%016x", number);
	for (i = 0; i < count; i++) {
		g_snprintf(names[i], sizeof(names[i]), "%s.0.0.%u", key, i);
		tasks[i] =
		    (struct mst_task_spec){.path = mst_bytes_from_str(names[i]),
			.flags = MST_TASK_RESTARTABLE,
			.declared_us = (uint32_t)(fixture->task_ms * MS),
			.needs = {.millicores = 1000}};
	}
	return sim_submit(fixture->sim, fixture->cluster.entries[entry], &spec);
}

static uint64_t
submit(struct fixture *fixture, int entry, uint32_t deadline_ms)
{
	return submit_numbered(fixture, entry, ++fixture->jobs, 1, deadline_ms);
}

static const struct sim_request *
get_request(const struct fixture *fixture, uint64_t id)
{
	return sim_get_request(fixture->sim, id);
}

static int64_t
answer_time_ms(const struct sim_request *request)
{
	return (request->answered_us - request->submitted_us) / MS;
}

/* A queue's timeout below the time that the caller waits must not fail the job.
 */
static void
deadlines__long_job_completes(void)
{
	struct fixture *fixture = fixture_new(1, 2);
	uint64_t id = submit(fixture, 0, LONG_DEADLINE_MS);

	run_for_ms(fixture, LONG_DEADLINE_MS);
	g_assert_cmpint(get_request(fixture, id)->state, ==, MST_JOB_COMPLETE);
	fixture_free(fixture);
}

/* Without a deadline of the caller the queue's timeout decides: the job can't
 * end within it and is refused at once. */
static void
deadlines__queue_timeout_is_the_default(void)
{
	struct fixture *fixture = fixture_new(1, 2);
	const struct sim_request *request =
	    get_request(fixture, submit(fixture, 0, 0));

	g_assert_true(request->refused);
	g_assert_cmpint(request->reason, ==, MST_REASON_DEADLINE);
	g_assert_false(request->may_have_run);
	fixture_free(fixture);
}

/* A caller that would wait for days must not hold a slot for as long. */
static void
deadlines__limit_bounds_the_caller(void)
{
	struct fixture *fixture = fixture_new(1, 2);
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	const struct sim_request *request;
	uint64_t id;

	fixture->task_ms = options.deadline_max_ms / 2;
	id = submit(fixture, 0, G_MAXUINT32);
	fixture->task_ms = G_MAXINT32;
	run_for_ms(fixture, options.deadline_max_ms + SCAN_MAX_MS);
	request = get_request(fixture, id);
	g_assert_cmpint(request->answered_us, >, 0);
	g_assert_cmpint(request->state, ==, MST_JOB_FAILED);
	g_assert_cmpint(request->reason, ==, MST_REASON_DEADLINE);
	fixture_free(fixture);
}

static void
announce_stop(struct fixture *fixture, int entry, int64_t grace_ms)
{
	sim_stop_at(fixture->sim, fixture->cluster.entries[entry],
	    sim_now(fixture->sim) + grace_ms * MS);
}

/* The process of an entry ends after a grace period that is shorter than the
 * job. The caller must be answered before, and the run must have ended when the
 * caller submits the job again elsewhere. */
static void
deadlines__stop_answers_open_jobs(void)
{
	const int64_t grace_ms = 2000;
	struct fixture *fixture = fixture_new(2, 2);
	uint64_t first = submit(fixture, 0, LONG_DEADLINE_MS);
	const struct sim_request *request;
	uint64_t second;

	run_for_ms(fixture, 50);
	announce_stop(fixture, 0, grace_ms);
	sim_drain(fixture->sim, fixture->cluster.entries[0]);
	run_for_ms(fixture, grace_ms + SCAN_MAX_MS);
	request = get_request(fixture, first);
	g_assert_cmpint(request->state, ==, MST_JOB_FAILED);
	g_assert_cmpint(request->reason, ==, MST_REASON_STOPPING);
	g_assert_true(request->may_have_run);
	g_assert_cmpint(answer_time_ms(request), <=, grace_ms + SCAN_MAX_MS);
	g_assert_true(
	    sim_is_stopped(fixture->sim, fixture->cluster.entries[0]));
	run_for_ms(fixture, RESUBMIT_MS);
	second =
	    submit_numbered(fixture, 1, fixture->jobs, 1, LONG_DEADLINE_MS);
	run_for_ms(fixture, LONG_DEADLINE_MS);
	g_assert_cmpint(
	    get_request(fixture, second)->state, ==, MST_JOB_COMPLETE);
	g_assert_cmpuint(sim_overlap_count(fixture->sim), ==, 0);
	fixture_free(fixture);
}

/* Until it drains, a stopping entry takes jobs that end before its process does
 * and refuses others at once. */
static void
deadlines__stop_refuses_what_outlasts_it(void)
{
	struct fixture *fixture = fixture_new(1, 2);
	const struct sim_request *request;
	uint64_t id;

	announce_stop(fixture, 0, 2000);
	request = get_request(fixture, submit(fixture, 0, LONG_DEADLINE_MS));
	g_assert_true(request->refused);
	g_assert_cmpint(request->reason, ==, MST_REASON_STOPPING);
	g_assert_false(request->may_have_run);
	fixture->task_ms = 200;
	id = submit(fixture, 0, LONG_DEADLINE_MS);
	run_for_ms(fixture, 1000);
	g_assert_cmpint(get_request(fixture, id)->state, ==, MST_JOB_COMPLETE);
	fixture_free(fixture);
}

/* The agent of a running task is lost and comes back: its task must run again
 * within the caller's time, and never twice at once. */
static void
deadlines__long_job_survives_its_agent(void)
{
	struct fixture *fixture = fixture_new(1, 2);
	int running;
	uint64_t id;

	id = submit(fixture, 0, LONG_DEADLINE_MS);
	run_for_ms(fixture, 1000);
	running = mst_agent_gauges(
		      sim_get_agent(fixture->sim, fixture->cluster.agents[0]))
		      .running > 0
	    ? 0
	    : 1;
	sim_kill(fixture->sim, fixture->cluster.agents[running]);
	run_for_ms(fixture, LONG_DEADLINE_MS);
	g_assert_cmpint(get_request(fixture, id)->state, ==, MST_JOB_COMPLETE);
	g_assert_cmpuint(sim_overlap_count(fixture->sim), ==, 0);
	fixture_free(fixture);
}

/* All processes are killed at once while long jobs run. The jobs that callers
 * submit again must complete without a second run beside the first. */
static void
deadlines__long_jobs_survive_a_power_loss(void)
{
	struct fixture *fixture = fixture_new(2, 3);
	uint64_t ids[LONG_JOBS];
	unsigned i;
	int member;

	for (i = 0; i < LONG_JOBS; i++)
		submit_numbered(
		    fixture, (int)i % 2, i + 1, 1 + i % 3, LONG_DEADLINE_MS);
	run_for_ms(fixture, 1000);
	for (member = 0; member < cluster_size(&fixture->cluster); member++)
		sim_kill(fixture->sim, cluster_node(&fixture->cluster, member));
	run_for_ms(fixture, RESUBMIT_MS);
	for (member = 0; member < cluster_size(&fixture->cluster); member++)
		cluster_restart(&fixture->cluster, member);
	run_for_ms(fixture, 1500);
	for (i = 0; i < LONG_JOBS; i++)
		ids[i] = submit_numbered(fixture, 1 - (int)i % 2, i + 1,
		    1 + i % 3, LONG_DEADLINE_MS);
	run_for_ms(fixture, LONG_DEADLINE_MS);
	for (i = 0; i < LONG_JOBS; i++)
		g_assert_cmpint(
		    get_request(fixture, ids[i])->state, ==, MST_JOB_COMPLETE);
	g_assert_cmpuint(sim_overlap_count(fixture->sim), ==, 0);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/deadlines/long-job", deadlines__long_job_completes);
	g_test_add_func("/deadlines/queue-timeout",
	    deadlines__queue_timeout_is_the_default);
	g_test_add_func("/deadlines/limit", deadlines__limit_bounds_the_caller);
	g_test_add_func("/deadlines/stop", deadlines__stop_answers_open_jobs);
	g_test_add_func("/deadlines/stop-refuses",
	    deadlines__stop_refuses_what_outlasts_it);
	g_test_add_func(
	    "/deadlines/agent-lost", deadlines__long_job_survives_its_agent);
	g_test_add_func(
	    "/deadlines/power-loss", deadlines__long_jobs_survive_a_power_loss);
	return g_test_run();
}
