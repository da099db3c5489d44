/*
 * Load that exceeds the capacity for some seconds, from callers that are spread
 * unevenly over the entries: one entry has up to three times the callers of
 * another, and 3 % of the tasks take seven times as long as declared. Neither
 * the entry of a caller nor the size of its job may decide alone whether it is
 * served.
 *
 * MST_TEST_LOG=1 prints the share of each entry and kind.
 */

#include <stdio.h>
#include <stdlib.h>

#include "sim/load.h"

#define SEEDS   4 /* counted together */
#define ENTRIES 14

/* Requirements. */
#define IN_TIME_MIN       0.7 /* share of all jobs in time */
#define ENTRY_IN_TIME_MIN 0.8 /* of an entry, over that of all jobs */
/* Share served of the largest tenth of a kind by work, over that of all jobs of
 * the kind. */
#define LARGEST_SERVED_MIN 0.5

static const struct load_shape shape = {.name = "waves",
    .entries = ENTRIES,
    .workers = 30,
    .slots = 8,
    .service_factors = {1},
    .factor_count = 1,
    .kinds = {{.queue = "short",
		  .tasks = 8,
		  .service_ms = 55,
		  .weight = 35,
		  .priority = 0},
	{.queue = "medium",
	    .tasks = 2,
	    .service_ms = 190,
	    .weight = 100,
	    .priority = 1},
	{.queue = "long",
	    .tasks = 4,
	    .service_ms = 850,
	    .weight = 6,
	    .priority = 2,
	    .deadline_ms = 9000}},
    .kind_count = 3,
    .service_sigma = 0.4,
    .declared_sigma = 0.4,
    .base_load = 0.3,
    .peak_load = 1.25,
    .stretch = 1.6,
    .target_ms = 60,
    .deadline_ms = 3000,
    .waves = {.domains = 3, .period_ms = 12000},
    .entry_weights = {1, 3, 2, 1, 2, 1.5, 1},
    .entry_weight_count = 7,
    .straggler_share = 0.03,
    .straggler_factor = 7,
    .useless_stretch = 3};

/* What the callers got, over all seeds. */
struct results {
	struct load_counts all;
	struct load_counts entries[ENTRIES];
	struct load_counts kinds[LOAD_KINDS_MAX];
	struct load_counts largest[LOAD_KINDS_MAX]; /* tenth by work */
};

static double
in_time_share(const struct load_counts *counts)
{
	return (double)counts->in_time / MAX(counts->submitted, 1);
}

static double
served_share(const struct load_counts *counts)
{
	return (double)(counts->in_time + counts->late) /
	    MAX(counts->submitted, 1);
}

/* Largest first. Jobs of one kind have the same number of tasks. */
static gint
compare_work(gconstpointer a, gconstpointer b)
{
	const struct load_job *left = *(const struct load_job *const *)a;
	const struct load_job *right = *(const struct load_job *const *)b;

	return left->service_ms > right->service_ms
	    ? -1
	    : left->service_ms < right->service_ms;
}

static void
count_largest(
    struct results *results, const struct load *load, unsigned kind_index)
{
	GPtrArray *jobs = g_ptr_array_new();
	guint i;

	for (i = 0; i < load->jobs->len; i++) {
		struct load_job *job = load->jobs->pdata[i];

		if (job->kind == &load->shape.kinds[kind_index])
			g_ptr_array_add(jobs, job);
	}
	g_ptr_array_sort(jobs, compare_work);
	for (i = 0; i < jobs->len; i++) {
		load_count_job(
		    &results->kinds[kind_index], load, jobs->pdata[i]);
		if (i < jobs->len / 10)
			load_count_job(&results->largest[kind_index], load,
			    jobs->pdata[i]);
	}
	g_ptr_array_unref(jobs);
}

static void
run_seed(struct results *results, uint32_t seed)
{
	const struct load_options options = {.seed = seed, .paired = true};
	struct load *load = load_new(&shape, &options);
	unsigned k;
	guint i;

	load_run(load);
	for (i = 0; i < load->jobs->len; i++) {
		const struct load_job *job = load->jobs->pdata[i];

		load_count_job(&results->all, load, job);
		load_count_job(&results->entries[job->entry], load, job);
	}
	for (k = 0; k < load->shape.kind_count; k++)
		count_largest(results, load, k);
	load_free(load);
}

/* The load is played once for all tests. */
static const struct results *
get_results(void)
{
	static struct results results;
	uint32_t seed;

	if (results.all.submitted > 0)
		return &results;
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(&results, seed);
	return &results;
}

static void
log_counts(const char *name, unsigned index, const struct load_counts *counts)
{
	if (getenv("MST_TEST_LOG") != NULL)
		fprintf(stderr,
		    "%s %u: submitted %u, in time %.3f, late %.3f, refused "
		    "%.3f, failed %.3f\n",
		    name, index, counts->submitted, in_time_share(counts),
		    (double)counts->late / counts->submitted,
		    (double)counts->refused / counts->submitted,
		    (double)counts->failed / counts->submitted);
}

/* Guards against jobs that get no answer, and against fairness at the price of
 * serving few. */
static void
waves__most_jobs_are_in_time(void)
{
	const struct load_counts *all = &get_results()->all;

	log_counts("all", 0, all);
	g_assert_cmpuint(all->lost, ==, 0);
	g_assert_cmpfloat(in_time_share(all), >=, IN_TIME_MIN);
}

/* Guards against an entry that refuses its callers because it has many. */
static void
waves__entries_serve_alike(void)
{
	const struct results *results = get_results();
	unsigned i;

	for (i = 0; i < ENTRIES; i++) {
		log_counts("entry", i, &results->entries[i]);
		g_assert_cmpfloat(in_time_share(&results->entries[i]), >=,
		    ENTRY_IN_TIME_MIN * in_time_share(&results->all));
	}
}

/* Guards against admission that only lets small jobs through. */
static void
waves__largest_jobs_are_served(void)
{
	const struct results *results = get_results();
	unsigned k;

	for (k = 0; k < shape.kind_count; k++) {
		log_counts("kind", k, &results->kinds[k]);
		log_counts("largest of kind", k, &results->largest[k]);
		g_assert_cmpfloat(served_share(&results->largest[k]), >=,
		    LARGEST_SERVED_MIN * served_share(&results->kinds[k]));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/waves/most-jobs-are-in-time", waves__most_jobs_are_in_time);
	g_test_add_func(
	    "/waves/entries-serve-alike", waves__entries_serve_alike);
	g_test_add_func(
	    "/waves/largest-jobs-are-served", waves__largest_jobs_are_served);
	return g_test_run();
}
