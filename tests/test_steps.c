/*
 * Jobs of several steps on leased members: a step starts once all steps that it
 * depends on have ended, and its tasks run only on workers that meet its
 * placement constraints.
 */

#include <string.h>

#include "sim/cluster.h"

#define MS         INT64_C(1000)
#define WORKERS    4
#define SERVICE_MS 100
/* Time at which the entry knows all members. */
#define MEMBERS_READY_US (G_USEC_PER_SEC + 3500 * MS)
/* Factor on the service time of a task that runs away from its data. */
#define REMOTE_FACTOR 3.0

struct task_run {
	char task[40];
	int agent;
	int64_t start_us;
	int64_t end_us;
};

struct fixture {
	struct sim *sim;
	struct cluster cluster;
	GArray *runs;             /* struct task_run */
	const char *failing_task; /* path of a task whose runs fail, or NULL */
};

static struct sim_task_result
serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct fixture *fixture = ctx;
	struct sim_task_result service = {.duration_us = SERVICE_MS * MS,
	    .outcome = MST_OUTCOME_DONE,
	    .status = 200};
	struct task_run run = {.agent = agent,
	    .start_us = now_us,
	    .end_us = now_us + SERVICE_MS * MS};

	g_strlcpy(run.task, task->path.data, sizeof(run.task));
	g_array_append_val(fixture->runs, run);
	if (fixture->failing_task != NULL &&
	    strcmp(run.task, fixture->failing_task) == 0)
		service.status = 500;
	return service;
}

static struct fixture *
fixture_new(void)
{
	static const char *const racks[WORKERS] = {"r1", "r1", "r2", "r3"};
	static const char *const labels[WORKERS] = {
	    "a,r1", "a,r1", "b,r2", "a,r3"};
	const struct mst_resources capacity = {
	    .millicores = 8000, .memory_mb = 1024};
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct sim_options options = {.seed = 11,
	    .latency_us = 500,
	    .leased = true,
	    .remote_factor = REMOTE_FACTOR,
	    .get_task_result = serve_task,
	    .ctx = fixture};
	int i;

	fixture->runs = g_array_new(FALSE, FALSE, sizeof(struct task_run));
	fixture->sim = sim_new(&options);
	cluster_init(&fixture->cluster, fixture->sim, 1, WORKERS, &capacity);
	for (i = 0; i < WORKERS; i++)
		sim_set_worker_placement(fixture->sim,
		    fixture->cluster.agents[i], racks[i], labels[i]);
	sim_run_until(fixture->sim, MEMBERS_READY_US);
	return fixture;
}

static void
fixture_free(struct fixture *fixture)
{
	sim_free(fixture->sim);
	g_array_unref(fixture->runs);
	g_free(fixture);
}

/* Submits a job and runs the simulation for 3 s, in which the job must end. */
static const struct sim_request *
run_job(struct fixture *fixture, uint32_t millicores,
    const struct mst_step_spec *steps, uint32_t step_count)
{
	const struct mst_step_spec *last = &steps[step_count - 1];
	struct mst_task_spec tasks[16] = {0};
	char names[16][40];
	struct mst_job_spec spec = {.team = "queue",
	    .timeout_ms = 5000,
	    .count = last->first + last->count,
	    .tasks = tasks,
	    .steps = steps,
	    .step_count = step_count,
	    .restartable = true,
	    .key = "5c0e7a21d94b36f8",
	    .service = "service",
	    .attempts = 2,
	    .stretch = 5,
	    .target_ms = 500};
	uint64_t request;
	uint32_t s, i;

	for (s = 0; s < step_count; s++) {
		for (i = 0; i < steps[s].count; i++) {
			uint32_t index = steps[s].first + i;

			g_snprintf(names[index], sizeof(names[index]),
			    "t.0.%u.%u", s, i);
			tasks[index] = (struct mst_task_spec){
			    .path = mst_bytes_from_str(names[index]),
			    .flags = MST_TASK_RESTARTABLE,
			    .declared_us = SERVICE_MS * MS,
			    .needs = {.millicores = millicores}};
		}
	}
	request = sim_submit(fixture->sim, fixture->cluster.entries[0], &spec);
	sim_run_until(fixture->sim, sim_now(fixture->sim) + 3000 * MS);
	return sim_get_request(fixture->sim, request);
}

/* Returns the start of a step's first run or, with end, the end of its last. */
static int64_t
get_step_time_us(const struct fixture *fixture, int step, bool end)
{
	char *prefix = g_strdup_printf("t.0.%d.", step);
	int64_t time_us = 0;
	guint i;

	for (i = 0; i < fixture->runs->len; i++) {
		const struct task_run *run =
		    &g_array_index(fixture->runs, struct task_run, i);
		int64_t us = end ? run->end_us : run->start_us;

		if (!g_str_has_prefix(run->task, prefix))
			continue;
		if (time_us == 0 || (end ? us > time_us : us < time_us))
			time_us = us;
	}
	g_free(prefix);
	g_assert_cmpint(time_us, >, 0);
	return time_us;
}

static void
steps__run_in_order(void)
{
	const struct mst_step_spec steps[] = {{.first = 0, .count = 3},
	    {.first = 3, .count = 2, .dependencies = 1 << 0},
	    {.first = 5, .count = 1},
	    {.first = 6, .count = 2, .dependencies = 1 << 1 | 1 << 2}};
	struct fixture *fixture = fixture_new();
	const struct sim_request *request =
	    run_job(fixture, 1000, steps, G_N_ELEMENTS(steps));

	g_assert_cmpint(request->state, ==, MST_JOB_COMPLETE);
	g_assert_cmpuint(fixture->runs->len, ==, 8);
	g_assert_cmpint(get_step_time_us(fixture, 1, false), >=,
	    get_step_time_us(fixture, 0, true));
	g_assert_cmpint(get_step_time_us(fixture, 3, false), >=,
	    get_step_time_us(fixture, 1, true));
	g_assert_cmpint(get_step_time_us(fixture, 3, false), >=,
	    get_step_time_us(fixture, 2, true));
	/* A step without dependencies starts at once. */
	g_assert_cmpint(get_step_time_us(fixture, 2, false), <,
	    get_step_time_us(fixture, 0, true));
	fixture_free(fixture);
}

/* A step whose task fails on every attempt fails the job, and the steps that
 * depend on it are not run. */
static void
steps__failure_skips_dependents(void)
{
	const struct mst_step_spec steps[] = {{.first = 0, .count = 2},
	    {.first = 2, .count = 1, .dependencies = 1 << 0}};
	struct fixture *fixture = fixture_new();
	const struct sim_request *request;

	fixture->failing_task = "t.0.0.1";
	request = run_job(fixture, 1000, steps, G_N_ELEMENTS(steps));
	g_assert_cmpint(request->state, ==, MST_JOB_FAILED);
	g_assert_cmpint(request->reason, ==, MST_REASON_TASK_FAILED);
	/* The queue allows two attempts, so the failing task is run twice. */
	g_assert_cmpuint(fixture->runs->len, ==, 3);
	fixture_free(fixture);
}

static void
steps__label_is_required(void)
{
	const struct mst_step_spec steps[] = {
	    {.first = 0, .count = 12, .required_label = {"b", 1}}};
	struct fixture *fixture = fixture_new();
	guint i;

	run_job(fixture, 1000, steps, 1);
	g_assert_cmpuint(fixture->runs->len, ==, 12);
	for (i = 0; i < fixture->runs->len; i++)
		g_assert_cmpint(
		    g_array_index(fixture->runs, struct task_run, i).agent, ==,
		    fixture->cluster.agents[2]);
	fixture_free(fixture);
}

static void
steps__tasks_run_near_their_data(void)
{
	const struct mst_step_spec steps[] = {
	    {.first = 0, .count = 4, .rack = {"r3", 2}}};
	struct fixture *fixture = fixture_new();
	guint i;

	run_job(fixture, 1000, steps, 1);
	g_assert_cmpuint(fixture->runs->len, ==, 4);
	for (i = 0; i < fixture->runs->len; i++)
		g_assert_cmpint(
		    g_array_index(fixture->runs, struct task_run, i).agent, ==,
		    fixture->cluster.agents[3]);
	fixture_free(fixture);
}

static void
steps__per_member_limit_is_kept(void)
{
	const struct mst_step_spec steps[] = {
	    {.first = 0, .count = 10, .per_member_max = 1}};
	struct fixture *fixture = fixture_new();
	guint i, k;

	run_job(fixture, 1000, steps, 1);
	g_assert_cmpuint(fixture->runs->len, ==, 10);
	for (i = 0; i < fixture->runs->len; i++) {
		const struct task_run *run =
		    &g_array_index(fixture->runs, struct task_run, i);

		for (k = 0; k < i; k++) {
			const struct task_run *earlier =
			    &g_array_index(fixture->runs, struct task_run, k);

			if (earlier->agent == run->agent)
				g_assert_cmpint(
				    run->start_us, >=, earlier->end_us);
		}
	}
	fixture_free(fixture);
}

static void
steps__unplaceable_job_is_refused(void)
{
	const struct mst_step_spec oversized[] = {{.first = 0, .count = 1}};
	const struct mst_step_spec unknown_label[] = {{.first = 0, .count = 1},
	    {.first = 1,
		.count = 1,
		.dependencies = 1 << 0,
		.required_label = {"nowhere", 7}}};
	struct fixture *fixture = fixture_new();
	const struct sim_request *request =
	    run_job(fixture, 9000, oversized, 1);

	g_assert_true(request->refused);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_FIT);
	request = run_job(fixture, 1000, unknown_label, 2);
	g_assert_true(request->refused);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_FIT);
	g_assert_cmpuint(fixture->runs->len, ==, 0);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/steps/order", steps__run_in_order);
	g_test_add_func("/steps/failure", steps__failure_skips_dependents);
	g_test_add_func("/steps/label", steps__label_is_required);
	g_test_add_func("/steps/rack", steps__tasks_run_near_their_data);
	g_test_add_func("/steps/per-member", steps__per_member_limit_is_kept);
	g_test_add_func("/steps/no-fit", steps__unplaceable_job_is_refused);
	return g_test_run();
}
