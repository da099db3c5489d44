/*
 * Jobs of several steps on leased members: a step starts when those that it
 * waits for have ended, and its tasks run only where its conditions allow.
 */

#include <string.h>

#include "sim/cluster.h"

#define MS      INT64_C(1000)
#define WORKERS 4
#define WORK_MS 100
#define SETTLED (G_USEC_PER_SEC + 3500 * MS)
#define FAR     3.0

struct start {
	char task[40];
	int agent;
	int64_t at_us;
	int64_t end_us;
};

struct trial {
	struct sim *sim;
	struct cluster cluster;
	GArray *starts;    /* struct start */
	const char *fails; /* task whose runs fail */
};

static struct sim_service
serve(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct trial *trial = ctx;
	struct sim_service service = {.duration_us = WORK_MS * MS,
	    .outcome = MST_OUTCOME_DONE,
	    .status = 200};
	struct start start = {
	    .agent = agent, .at_us = now_us, .end_us = now_us + WORK_MS * MS};

	g_strlcpy(start.task, task->path.data, sizeof(start.task));
	g_array_append_val(trial->starts, start);
	if (trial->fails != NULL && strcmp(start.task, trial->fails) == 0)
		service.status = 500;
	return service;
}

static struct trial *
trial_new(void)
{
	static const char *const racks[WORKERS] = {"r1", "r1", "r2", "r3"};
	static const char *const labels[WORKERS] = {
	    "a,r1", "a,r1", "b,r2", "a,r3"};
	const struct mst_resources capacity = {
	    .millicores = 8000, .memory_mb = 1024};
	struct trial *trial = g_new0(struct trial, 1);
	struct sim_options options = {.seed = 11,
	    .latency_us = 500,
	    .leased = true,
	    .remote_factor = FAR,
	    .service = serve,
	    .ctx = trial};
	int i;

	trial->starts = g_array_new(FALSE, FALSE, sizeof(struct start));
	trial->sim = sim_new(&options);
	cluster_init(&trial->cluster, trial->sim, 1, WORKERS, &capacity);
	for (i = 0; i < WORKERS; i++)
		sim_set_worker_placement(
		    trial->sim, trial->cluster.agents[i], racks[i], labels[i]);
	sim_run_until(trial->sim, SETTLED);
	return trial;
}

static void
trial_free(struct trial *trial)
{
	sim_free(trial->sim);
	g_array_unref(trial->starts);
	g_free(trial);
}

/* Hands in a job and runs until it must have ended. */
static const struct sim_request *
run_job(struct trial *trial, uint32_t millicores,
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
			uint32_t at = steps[s].first + i;

			g_snprintf(
			    names[at], sizeof(names[at]), "t.0.%u.%u", s, i);
			tasks[at] = (struct mst_task_spec){
			    .path = mst_bytes_from_str(names[at]),
			    .flags = MST_TASK_RESTARTABLE,
			    .declared_us = WORK_MS * MS,
			    .needs = {.millicores = millicores}};
		}
	}
	request = sim_submit(trial->sim, trial->cluster.entries[0], &spec);
	sim_run_until(trial->sim, sim_now(trial->sim) + 3000 * MS);
	return world_request(trial->sim, request);
}

/* Start of a step's first task, or end of its last. */
static int64_t
time_of_step(const struct trial *trial, int step, bool end)
{
	char *prefix = g_strdup_printf("t.0.%d.", step);
	int64_t found_us = 0;
	guint i;

	for (i = 0; i < trial->starts->len; i++) {
		const struct start *start =
		    &g_array_index(trial->starts, struct start, i);
		int64_t us = end ? start->end_us : start->at_us;

		if (!g_str_has_prefix(start->task, prefix))
			continue;
		if (found_us == 0 || (end ? us > found_us : us < found_us))
			found_us = us;
	}
	g_free(prefix);
	g_assert_cmpint(found_us, >, 0);
	return found_us;
}

static void
steps__run_in_order(void)
{
	const struct mst_step_spec steps[] = {{.first = 0, .count = 3},
	    {.first = 3, .count = 2, .dependencies = 1 << 0},
	    {.first = 5, .count = 1},
	    {.first = 6, .count = 2, .dependencies = 1 << 1 | 1 << 2}};
	struct trial *trial = trial_new();
	const struct sim_request *request =
	    run_job(trial, 1000, steps, G_N_ELEMENTS(steps));

	g_assert_cmpint(request->state, ==, MST_JOB_COMPLETE);
	g_assert_cmpuint(trial->starts->len, ==, 8);
	g_assert_cmpint(
	    time_of_step(trial, 1, false), >=, time_of_step(trial, 0, true));
	g_assert_cmpint(
	    time_of_step(trial, 3, false), >=, time_of_step(trial, 1, true));
	g_assert_cmpint(
	    time_of_step(trial, 3, false), >=, time_of_step(trial, 2, true));
	/* What waits for nothing starts at once. */
	g_assert_cmpint(
	    time_of_step(trial, 2, false), <, time_of_step(trial, 0, true));
	trial_free(trial);
}

/* A step that fails for good ends the job; nothing that waits for it runs. */
static void
steps__failure_stops_the_rest(void)
{
	const struct mst_step_spec steps[] = {{.first = 0, .count = 2},
	    {.first = 2, .count = 1, .dependencies = 1 << 0}};
	struct trial *trial = trial_new();
	const struct sim_request *request;

	trial->fails = "t.0.0.1";
	request = run_job(trial, 1000, steps, G_N_ELEMENTS(steps));
	g_assert_cmpint(request->state, ==, MST_JOB_FAILED);
	g_assert_cmpint(request->reason, ==, MST_REASON_TASK_FAILED);
	/* The failing task is run twice, as its queue allows. */
	g_assert_cmpuint(trial->starts->len, ==, 3);
	trial_free(trial);
}

static void
steps__label_is_required(void)
{
	const struct mst_step_spec steps[] = {
	    {.first = 0, .count = 12, .requires = {"b", 1}}};
	struct trial *trial = trial_new();
	guint i;

	run_job(trial, 1000, steps, 1);
	g_assert_cmpuint(trial->starts->len, ==, 12);
	for (i = 0; i < trial->starts->len; i++)
		g_assert_cmpint(
		    g_array_index(trial->starts, struct start, i).agent, ==,
		    trial->cluster.agents[2]);
	trial_free(trial);
}

static void
steps__data_is_near(void)
{
	const struct mst_step_spec steps[] = {
	    {.first = 0, .count = 4, .rack = {"r3", 2}}};
	struct trial *trial = trial_new();
	guint i;

	run_job(trial, 1000, steps, 1);
	g_assert_cmpuint(trial->starts->len, ==, 4);
	for (i = 0; i < trial->starts->len; i++)
		g_assert_cmpint(
		    g_array_index(trial->starts, struct start, i).agent, ==,
		    trial->cluster.agents[3]);
	trial_free(trial);
}

static void
steps__tasks_are_spread(void)
{
	const struct mst_step_spec steps[] = {
	    {.first = 0, .count = 10, .per_member_max = 1}};
	struct trial *trial = trial_new();
	guint i, k;

	run_job(trial, 1000, steps, 1);
	g_assert_cmpuint(trial->starts->len, ==, 10);
	for (i = 0; i < trial->starts->len; i++) {
		const struct start *one =
		    &g_array_index(trial->starts, struct start, i);

		for (k = 0; k < i; k++) {
			const struct start *other =
			    &g_array_index(trial->starts, struct start, k);

			if (other->agent == one->agent)
				g_assert_cmpint(one->at_us, >=, other->end_us);
		}
	}
	trial_free(trial);
}

static void
steps__what_fits_nobody_is_refused(void)
{
	const struct mst_step_spec wide[] = {{.first = 0, .count = 1}};
	const struct mst_step_spec unknown[] = {{.first = 0, .count = 1},
	    {.first = 1,
		.count = 1,
		.dependencies = 1 << 0,
		.requires = {"nowhere", 7}}};
	struct trial *trial = trial_new();
	const struct sim_request *request = run_job(trial, 9000, wide, 1);

	g_assert_true(request->refused);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_FIT);
	request = run_job(trial, 1000, unknown, 2);
	g_assert_true(request->refused);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_FIT);
	g_assert_cmpuint(trial->starts->len, ==, 0);
	trial_free(trial);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/steps/order", steps__run_in_order);
	g_test_add_func("/steps/failure", steps__failure_stops_the_rest);
	g_test_add_func("/steps/label", steps__label_is_required);
	g_test_add_func("/steps/rack", steps__data_is_near);
	g_test_add_func("/steps/spread", steps__tasks_are_spread);
	g_test_add_func("/steps/no-fit", steps__what_fits_nobody_is_refused);
	return g_test_run();
}
