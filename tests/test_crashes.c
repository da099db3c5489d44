/*
 * Tasks that crash every worker that runs them: for three seconds a tenth of
 * the jobs of one kind has such a task. Its workers are back after three
 * seconds. What callers get, during the fault and after it.
 *
 * MST_TEST_LOG=1 prints the outcomes of each kind.
 */

#include <stdio.h>
#include <stdlib.h>

#include "sim/load.h"
#include "sim/worker.h"

#define SEEDS 4 /* counted together */

/* Requirements. */
#define STARTS_MAX          3   /* of a task that crashes its workers */
#define OTHERS_IN_TIME_MIN  0.9 /* share of the jobs of the other kinds */
#define INNOCENT_SERVED_MIN 0.25
#define AFTER_IN_TIME_MIN   0.95
/* From the end of the fault until all are served again: a worker's restart and
 * as much again. */
#define AFTER_MS 6000

#define CRASHING_KIND 0

/* The same in a wide fleet, which can spare the workers that crash. */
#define WIDE_SEEDS              6
#define WIDE_OTHERS_IN_TIME_MIN 0.985

/* Share of the jobs in time with a lost rack, over that without quarantine. */
#define RACKS_IN_TIME_MIN 0.99
/* An idempotent task without leases. */
#define RESET_US  (INT64_C(10) * 1000) /* until its upstream crashes */
#define UPSTREAMS 8
/* Workers that crash by themselves. */
#define OWN_CRASHES_SEEDS 12
/* A task that crashes its worker before the answer to its start: each agent may
 * find out only the second time. */
#define UNANSWERED_STARTS_MAX  (2 * STARTS_MAX)
#define UNANSWERED_DEADLINE_MS 60000
#define UNANSWERED_US          (INT64_C(60) * G_USEC_PER_SEC)
/* Until the caller of a lost entry submits its job again. */
#define RESUBMIT_US (INT64_C(1300) * 1000)

static const struct load_shape shape = {.name = "crashes",
    .entries = 3,
    .workers = 11,
    .slots = 8,
    .service_factors = {0.8, 1, 1.3},
    .factor_count = 3,
    .kinds = {{.queue = "short",
		  .tasks = 8,
		  .service_ms = 60,
		  .weight = 34,
		  .priority = 0},
	{.queue = "long",
	    .tasks = 4,
	    .service_ms = 900,
	    .weight = 6,
	    .priority = 2,
	    .deadline_ms = 5000},
	{.queue = "medium",
	    .tasks = 2,
	    .service_ms = 200,
	    .weight = 100,
	    .priority = 1}},
    .kind_count = 3,
    .service_sigma = 0.4,
    .declared_sigma = 0.4,
    .base_load = 0.5,
    .peak_load = 0.5,
    .stretch = 1.6,
    .target_ms = 100,
    .deadline_ms = 1500};

/* A fleet in which the jobs of the other kinds have a run at almost every
 * worker, so that many are present at several crashes. */
static struct load_shape
wide_shape(void)
{
	struct load_shape wide = shape;

	wide.entries = 4;
	wide.workers = 40;
	return wide;
}

/* Outcomes of the jobs without a crashing task, over all seeds. */
struct results {
	struct load_counts during[LOAD_KINDS_MAX]; /* submitted in the fault */
	struct load_counts after[LOAD_KINDS_MAX];  /* submitted after it */
	unsigned starts_max; /* of one task that crashes its workers */
	unsigned crashes;
	unsigned given_up; /* jobs answered as failed without cause */
};

static bool
is_given_up(const struct load *load, const struct load_job *job)
{
	const struct sim_request *request =
	    sim_get_request(load->sim, job->request);

	return request->state == MST_JOB_FAILED &&
	    request->reason == MST_REASON_TASK_FAILED;
}

static void
count_job(struct results *results, const struct load *load,
    const struct load_job *job)
{
	size_t kind = (size_t)(job->kind - load->shape.kinds);

	if (job->crashing) {
		results->starts_max =
		    MAX(results->starts_max, job->crashing_starts);
		return;
	}
	results->given_up += is_given_up(load, job);
	if (job->submitted_ms >= LOAD_PEAK_START_MS &&
	    job->submitted_ms < LOAD_PEAK_END_MS)
		load_count_job(&results->during[kind], load, job);
	if (job->submitted_ms >= LOAD_PEAK_END_MS + AFTER_MS)
		load_count_job(&results->after[kind], load, job);
}

/* Guards the counts that admission and the metrics use: once all jobs are
 * answered, nothing is at a member and nothing waits. */
static void
assert_entries_are_idle(const struct load *load)
{
	int i;

	for (i = 0; i < load->cluster.entry_count; i++) {
		struct mst_entry_gauges gauges = mst_entry_gauges(
		    sim_get_entry(load->sim, load->cluster.entries[i]));

		g_assert_cmpuint(gauges.jobs_open, ==, 0);
		g_assert_cmpuint(gauges.tasks_sent, ==, 0);
		g_assert_cmpuint(gauges.tasks_waiting, ==, 0);
	}
}

static void
run_seed(struct results *results, uint32_t seed)
{
	const struct load_options options = {.seed = seed,
	    .paired = true,
	    .fault = load_fault_find("crashing"),
	    .extra_ms = AFTER_MS};
	struct load *load = load_new(&shape, &options);
	int w;
	guint i;

	load_run(load);
	for (i = 0; i < load->jobs->len; i++)
		count_job(results, load, load->jobs->pdata[i]);
	assert_entries_are_idle(load);
	for (w = 0; w < load->cluster.agent_count; w++)
		results->crashes += sim_worker_crash_count(
		    sim_get_worker(load->sim, load->cluster.agents[w]));
	load_free(load);
}

static void
log_counts(const char *period, unsigned kind, const struct load_counts *counts)
{
	fprintf(stderr,
	    "%s, %s: %u jobs, %u in time, %u late, %u refused, %u failed\n",
	    period, shape.kinds[kind].queue, counts->submitted, counts->in_time,
	    counts->late, counts->refused, counts->failed);
}

static void
log_results(const struct results *results)
{
	unsigned k;

	if (getenv("MST_TEST_LOG") == NULL)
		return;
	for (k = 0; k < shape.kind_count; k++) {
		log_counts("during", k, &results->during[k]);
		log_counts("after", k, &results->after[k]);
	}
	fprintf(stderr, "%u crashes, up to %u by one task, %u given up\n",
	    results->crashes, results->starts_max, results->given_up);
}

/* The load is played once for all tests. */
static const struct results *
get_results(void)
{
	static struct results results;
	uint32_t seed;

	if (results.crashes > 0)
		return &results;
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(&results, seed);
	log_results(&results);
	return &results;
}

/* Guards against a task that is sent from one worker to the next and crashes
 * them all. */
static void
crashes__starts_are_limited(void)
{
	g_assert_cmpuint(get_results()->starts_max, <=, STARTS_MAX);
}

/* Guards against one kind of job that takes down the workers of all others. */
static void
crashes__other_kinds_are_served(void)
{
	const struct results *results = get_results();
	unsigned k;

	for (k = 0; k < shape.kind_count; k++) {
		const struct load_counts *counts = &results->during[k];

		if (k != CRASHING_KIND)
			g_assert_cmpfloat(counts->in_time, >=,
			    OTHERS_IN_TIME_MIN * (double)counts->submitted);
	}
}

/* Guards against a quarantine of bystanders while the crashes of others are
 * attributed: their kind would be served by a quarter of the workers. */
static void
crashes__other_kinds_are_served_by_wide_fleet(void)
{
	const struct load_shape wide = wide_shape();
	struct load_counts others = {0};
	uint32_t seed;
	guint i;

	for (seed = 1; seed <= WIDE_SEEDS; seed++) {
		const struct load_options options = {.seed = seed,
		    .paired = true,
		    .fault = load_fault_find("crashing")};
		struct load *load = load_new(&wide, &options);

		load_run(load);
		for (i = 0; i < load->jobs->len; i++) {
			const struct load_job *job = load->jobs->pdata[i];

			if (job->kind != &load->shape.kinds[CRASHING_KIND] &&
			    job->submitted_ms >= LOAD_PEAK_START_MS &&
			    job->submitted_ms < LOAD_PEAK_END_MS)
				load_count_job(&others, load, job);
		}
		load_free(load);
	}
	g_test_message("in time: %u of %u, %u refused", others.in_time,
	    others.submitted, others.refused);
	g_assert_cmpfloat(others.in_time, >=,
	    WIDE_OTHERS_IN_TIME_MIN * (double)others.submitted);
}

/* Guards against serving none of a kind because some of its jobs crash workers.
 */
static void
crashes__jobs_like_the_crashing_ones_are_served(void)
{
	const struct load_counts *counts =
	    &get_results()->during[CRASHING_KIND];

	g_assert_cmpfloat(counts->in_time + counts->late, >=,
	    INNOCENT_SERVED_MIN * (double)counts->submitted);
}

/* Guards against giving up a task that ran beside one that crashes workers. */
static void
crashes__no_bystander_is_given_up(void)
{
	g_assert_cmpuint(get_results()->given_up, ==, 0);
}

/* Guards against a limit that outlasts its cause. */
static void
crashes__all_are_served_afterwards(void)
{
	const struct results *results = get_results();
	unsigned k;

	for (k = 0; k < shape.kind_count; k++) {
		const struct load_counts *counts = &results->after[k];

		g_assert_cmpuint(counts->submitted, >, 0);
		g_assert_cmpfloat(counts->in_time, >=,
		    AFTER_IN_TIME_MIN * (double)counts->submitted);
	}
}

/* Workers that crash for other reasons: a rack goes down during the peak. */
static struct load_counts
play_lost_racks(bool quarantine)
{
	struct mst_tuning tuning = MST_TUNING_INIT;
	struct load_counts total = {0};
	uint32_t seed;

	tuning.quarantine = quarantine;
	for (seed = 1; seed <= SEEDS; seed++) {
		const struct load_options options = {.seed = seed,
		    .paired = true,
		    .tuning = &tuning,
		    .fault = load_fault_find("rack-lost")};
		struct load *load = load_new(&shape, &options);
		struct load_counts counts;

		load_run(load);
		counts = load_count(load, LOAD_START_MS, LOAD_END_MS);
		total.submitted += counts.submitted;
		total.in_time += counts.in_time;
		load_free(load);
	}
	return total;
}

/* Guards against a quarantine of jobs that were only present when a rack was
 * lost. */
static void
crashes__lost_racks_quarantine_nobody(void)
{
	struct load_counts with = play_lost_racks(true);
	struct load_counts without = play_lost_racks(false);

	g_test_message("in time: %u with, %u without, of %u", with.in_time,
	    without.in_time, with.submitted);
	g_assert_cmpuint(with.submitted, ==, without.submitted);
	g_assert_cmpfloat(
	    with.in_time, >=, RACKS_IN_TIME_MIN * (double)without.in_time);
}

/* A crashing task's job is submitted at one entry after the other, each of
 * which is killed meanwhile. */
static void
crashes__count_outlives_entries(void)
{
	const struct load_options options = {.seed = 1, .paired = true};
	struct load *load = load_new(&shape, &options);
	const struct load_job *job;
	unsigned e;

	load_run(load);
	load->crashing_share = 1;
	load_submit(load, &load->shape.kinds[CRASHING_KIND], LOAD_END_MS);
	job = load->jobs->pdata[load->jobs->len - 1];
	for (e = 0; e < (unsigned)load->shape.entries; e++) {
		sim_run_until(load->sim, sim_now(load->sim) + RESUBMIT_US);
		sim_kill(load->sim, load->cluster.entries[job->entry]);
		cluster_restart(&load->cluster, job->entry);
		load_resubmit(load, load->jobs->len - 1);
	}
	sim_run_until(load->sim, sim_now(load->sim) + RESUBMIT_US);
	g_assert_cmpuint(job->crashing_starts, >, 0);
	g_assert_cmpuint(job->crashing_starts, <=, STARTS_MAX);
	load_free(load);
}

/* Guards against giving up tasks whose starts got no answer while their workers
 * crashed by themselves. */
static void
crashes__own_crashes_give_up_nobody(void)
{
	unsigned given_up = 0, crashes = 0;
	uint32_t seed;
	guint i;

	for (seed = 1; seed <= OWN_CRASHES_SEEDS; seed++) {
		const struct load_options options = {.seed = seed,
		    .paired = true,
		    .fault = load_fault_find("own-crashes")};
		struct load *load = load_new(&shape, &options);

		load_run(load);
		for (i = 0; i < load->jobs->len; i++)
			given_up += is_given_up(load, load->jobs->pdata[i]);
		crashes += sim_crash_count(load->sim);
		load_free(load);
	}
	g_test_message("%u given up, %u crashes", given_up, crashes);
	g_assert_cmpuint(crashes, >, 0);
	g_assert_cmpuint(given_up, ==, 0);
}

/* Submits one job whose first task crashes its worker before the answer to its
 * start, and again whenever it is answered. Returns the starts of that task. */
static unsigned
play_unanswered_starts(uint32_t seed, double new_id_probability)
{
	const struct load_options options = {.seed = seed, .paired = true};
	struct load_shape long_shape = shape;
	struct load *load;
	const struct load_job *job;
	unsigned starts;
	int i;

	long_shape.kinds[CRASHING_KIND].deadline_ms = UNANSWERED_DEADLINE_MS;
	load = load_new(&long_shape, &options);
	load_run(load);
	load->crashing_share = 1;
	load->crashing_at_once = true;
	for (i = 0; i < load->cluster.agent_count; i++)
		sim_worker_set_new_id_probability(
		    sim_get_worker(load->sim, load->cluster.agents[i]),
		    new_id_probability);
	load_submit(load, &load->shape.kinds[CRASHING_KIND], LOAD_END_MS);
	job = load->jobs->pdata[load->jobs->len - 1];
	sim_run_until(load->sim, sim_now(load->sim) + UNANSWERED_US);
	starts = job->crashing_starts;
	load_free(load);
	return starts;
}

/* Guards against a task that goes on crashing workers because they never answer
 * its starts. */
static void
crashes__unanswered_starts_are_limited(void)
{
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		unsigned same_id = play_unanswered_starts(seed, 0);
		unsigned new_id = play_unanswered_starts(seed, 1);

		g_test_message(
		    "seed %u: %u and %u starts", seed, same_id, new_id);
		g_assert_cmpuint(same_id, >, 1);
		g_assert_cmpuint(same_id, <=, UNANSWERED_STARTS_MAX);
		g_assert_cmpuint(new_id, >, 1);
		g_assert_cmpuint(new_id, <=, UNANSWERED_STARTS_MAX);
	}
}

static struct sim_task_result
crash_upstream(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	return (struct sim_task_result){.duration_us = RESET_US,
	    .outcome = MST_OUTCOME_UNKNOWN,
	    .reason = MST_REASON_UPSTREAM_RESET};
}

/* Guards against an idempotent task without leases that crashes one upstream
 * after the other. */
static void
crashes__idempotent_task_is_not_retried_for_ever(void)
{
	const struct sim_options sim_options = {
	    .seed = 1, .latency_us = 500, .get_task_result = crash_upstream};
	const struct mst_agent_options agent_options = MST_AGENT_OPTIONS_INIT;
	const struct mst_task_spec task = {
	    .flags = MST_TASK_IDEMPOTENT, .declared_us = RESET_US};
	const struct mst_job_spec spec = {
	    .team = "team", .timeout_ms = 60000, .count = 1, .tasks = &task};
	struct sim *sim = sim_new(&sim_options);
	int entry = sim_add_entry(sim, "entry");
	char name[16];
	int i;

	sim_configure(sim, entry, 1, "{\"policy\":{\"retry_budget\":1}}");
	for (i = 0; i < UPSTREAMS; i++) {
		g_snprintf(name, sizeof(name), "agent%d", i);
		sim_add_agent(sim, name, &agent_options);
	}
	sim_run_until(sim, sim_now(sim) + 5 * G_USEC_PER_SEC);
	sim_submit(sim, entry, &spec);
	sim_run_until(sim, sim_now(sim) + 60 * G_USEC_PER_SEC);
	g_assert_cmpuint(sim_count_all_starts(sim), >, 1);
	g_assert_cmpuint(sim_count_all_starts(sim), <=, STARTS_MAX);
	sim_free(sim);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/crashes/starts-are-limited", crashes__starts_are_limited);
	g_test_add_func(
	    "/crashes/other-kinds-are-served", crashes__other_kinds_are_served);
	g_test_add_func("/crashes/other-kinds-wide",
	    crashes__other_kinds_are_served_by_wide_fleet);
	g_test_add_func("/crashes/jobs-like-the-crashing-ones-are-served",
	    crashes__jobs_like_the_crashing_ones_are_served);
	g_test_add_func("/crashes/no-bystander-is-given-up",
	    crashes__no_bystander_is_given_up);
	g_test_add_func("/crashes/all-are-served-afterwards",
	    crashes__all_are_served_afterwards);
	g_test_add_func("/crashes/lost-racks-quarantine-nobody",
	    crashes__lost_racks_quarantine_nobody);
	g_test_add_func(
	    "/crashes/count-outlives-entries", crashes__count_outlives_entries);
	g_test_add_func("/crashes/own-crashes-give-up-nobody",
	    crashes__own_crashes_give_up_nobody);
	g_test_add_func("/crashes/unanswered-starts-are-limited",
	    crashes__unanswered_starts_are_limited);
	g_test_add_func("/crashes/idempotent-task-is-not-retried-for-ever",
	    crashes__idempotent_task_is_not_retried_for_ever);
	return g_test_run();
}
