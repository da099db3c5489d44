/*
 * Rushes on leased members: jobs of three kinds come at several entries that
 * don't know of each other's queues. What the workers can do is served in time;
 * of what is more, as much as they can do, and the rest is refused at once,
 * with a time to come back. The load: tasks of 60 to 900 ms in jobs of 2 to 8,
 * declared 40 % wrong, for three seconds, after and before a calm.
 *
 * MST_TEST_LOG=1 prints what became of the jobs.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/cluster.h"

#define MS           INT64_C(1000)
#define ENTRIES      6
#define WORKERS      8
#define SLOTS        10 /* of a worker, for a task */
#define MILLICORES   1600
#define DEADLINE_MS  1500
#define RUSH_FROM_MS 3000
#define RUSH_TO_MS   6000
#define DAY_MS       9000
#define STEP_MS      5
#define CALM         0.6 /* of what the workers can do */
#define STRETCH      1.6
#define TARGET_MS    60

#define SEEDS 4

/* Until a refusal, milliseconds. */
#define REFUSED_MS 5

/* How much comes, and what is to be reached. */
struct rush {
	double load;        /* of what the workers can do */
	double in_time_min; /* share of the jobs taken that end in time */
	double good_min;    /* share of the jobs that can be served in time */
};

static const struct rush busy = {0.8, 0.95, 0.95};
static const struct rush crowded = {1.3, 0.75, 0.75};

struct kind {
	uint32_t count;
	double work_ms;
	double weight; /* how often it comes */
	uint32_t priority;
};

/* Of the workers, in turn. */
static const double slowness[] = {0.55, 1.2, 1.2, 1.2};
#define SPEED ((1 / 0.55 + 3 / 1.2) / 4) /* mean */

static const struct kind kinds[] = {
    {8, 60, 34.4, 0}, {4, 900, 6.25, 2}, {2, 200, 100, 1}};

/* A caller's job. */
struct caller {
	char key[20];
	char names[8][32];
	const struct kind *kind;
	double work_ms;
	int64_t sent_ms;
	uint64_t request;
};

struct day {
	struct sim *sim;
	GRand *rand;
	struct cluster cluster;
	GPtrArray *callers;
	GHashTable *by_key;
	double due;  /* jobs that are due, less those sent */
	double load; /* of the rush */
};

static double
normal(GRand *rand)
{
	double u = g_rand_double_range(rand, 1e-9, 1);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(rand));
}

static struct sim_service
serve(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct day *day = ctx;
	char *key = g_strndup(task->path.data, 16);
	const struct caller *caller = g_hash_table_lookup(day->by_key, key);
	double ms = caller->work_ms * slowness[agent % G_N_ELEMENTS(slowness)];

	g_free(key);
	ms *= g_rand_double_range(day->rand, 0.85, 1.15);
	return (struct sim_service){.duration_us = (int64_t)(ms * MS),
	    .outcome = MST_OUTCOME_DONE,
	    .status = 200};
}

static const struct kind *
draw_kind(struct day *day)
{
	double all = 0, at;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		all += kinds[i].weight;
	at = g_rand_double_range(day->rand, 0, all);
	for (i = 0; at >= kinds[i].weight; i++)
		at -= kinds[i].weight;
	return &kinds[i];
}

static void
caller_send(struct day *day, int64_t now_ms)
{
	struct mst_task_spec tasks[8] = {0};
	struct caller *caller = g_new0(struct caller, 1);
	struct mst_job_spec spec = {.tasks = tasks,
	    .timeout_ms = DEADLINE_MS,
	    .restartable = true,
	    .service = "service",
	    .attempts = 2,
	    .stretch = STRETCH,
	    .target_ms = TARGET_MS};
	double declared_ms;
	uint32_t i;

	caller->kind = draw_kind(day);
	caller->work_ms = caller->kind->work_ms * exp(0.4 * normal(day->rand));
	declared_ms = caller->work_ms * exp(0.4 * normal(day->rand));
	caller->sent_ms = now_ms;
	g_snprintf(
	    caller->key, sizeof(caller->key), "%016x", day->callers->len + 1);
	g_hash_table_insert(day->by_key, caller->key, caller);
	g_ptr_array_add(day->callers, caller);
	for (i = 0; i < caller->kind->count; i++) {
		g_snprintf(caller->names[i], sizeof(caller->names[i]),
		    "%s.0.0.%u", caller->key, i);
		tasks[i] = (struct mst_task_spec){
		    .path = mst_bytes_from_str(caller->names[i]),
		    .flags = MST_TASK_RESTARTABLE,
		    .declared_us = (uint32_t)(declared_ms * MS),
		    .needs = {.millicores = MILLICORES}};
	}
	spec.key = caller->key;
	spec.count = caller->kind->count;
	spec.priority = caller->kind->priority;
	spec.team = caller->kind->count == 8 ? "push"
	    : caller->kind->count == 4       ? "load"
					     : "clear";
	caller->request = sim_submit(day->sim,
	    day->cluster.entries[g_rand_int_range(day->rand, 0, ENTRIES)],
	    &spec);
}

/* Jobs a second that keep all workers at work. */
static double
full_rate(void)
{
	double work_s = 0, weights = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		work_s += kinds[i].weight * kinds[i].count * kinds[i].work_ms /
		    1000 * exp(0.4 * 0.4 / 2);
		weights += kinds[i].weight;
	}
	return WORKERS * SLOTS * SPEED / (work_s / weights);
}

static struct day *
day_new(uint32_t seed)
{
	const struct mst_resources capacity = {
	    .millicores = SLOTS * MILLICORES, .memory_mb = 1024};
	struct day *day = g_new0(struct day, 1);
	struct sim_options options = {.seed = seed,
	    .latency_us = 500,
	    .jitter_us = 300,
	    .leased = true,
	    .service = serve,
	    .ctx = day};

	day->rand = g_rand_new_with_seed(seed);
	day->callers = g_ptr_array_new_with_free_func(g_free);
	day->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	day->sim = sim_new(&options);
	cluster_init(&day->cluster, day->sim, ENTRIES, WORKERS, &capacity);
	return day;
}

static void
day_free(struct day *day)
{
	sim_free(day->sim);
	g_hash_table_unref(day->by_key);
	g_ptr_array_unref(day->callers);
	g_rand_free(day->rand);
	g_free(day);
}

static void
day_play(struct day *day)
{
	int64_t now_ms;

	for (now_ms = 1000; now_ms < DAY_MS; now_ms += STEP_MS) {
		bool rush = now_ms >= RUSH_FROM_MS && now_ms < RUSH_TO_MS;

		sim_run_until(day->sim, G_USEC_PER_SEC + now_ms * MS);
		day->due +=
		    full_rate() * (rush ? day->load : CALM) * STEP_MS / 1000;
		for (; day->due >= 1; day->due -= 1)
			caller_send(day, now_ms);
	}
	sim_run_until(day->sim, G_USEC_PER_SEC + (DAY_MS + 3000) * MS);
}

/* What became of the jobs of the rush. */
struct tally {
	unsigned asked;
	unsigned in_time;
	unsigned late;
	unsigned refused;
	unsigned failed;
	double good;        /* work done in time, slot-seconds */
	int64_t refused_ms; /* the longest */
};

static void
tally_job(struct tally *tally, const struct caller *caller,
    const struct sim_request *request)
{
	int64_t took_ms = (request->answered_us - request->submitted_us) / MS;
	double limit_ms = STRETCH * caller->work_ms + TARGET_MS;

	tally->asked++;
	if (request->refused) {
		tally->refused++;
		tally->refused_ms = MAX(tally->refused_ms, took_ms);
		g_assert_cmpuint(request->retry_after_ms, >, 0);
		g_assert_false(request->may_have_run);
	} else if (request->state != MST_JOB_COMPLETE) {
		tally->failed++;
	} else if ((double)took_ms <= MIN(limit_ms, DEADLINE_MS)) {
		tally->in_time++;
	} else {
		tally->late++;
	}
}

static struct tally
day_tally(const struct day *day)
{
	struct tally tally = {0};
	guint i;

	for (i = 0; i < day->callers->len; i++) {
		const struct caller *caller = day->callers->pdata[i];

		if (caller->sent_ms >= RUSH_FROM_MS &&
		    caller->sent_ms < RUSH_TO_MS)
			tally_job(&tally, caller,
			    world_request(day->sim, caller->request));
	}
	return tally;
}

static void
play(const struct rush *rush, uint32_t seed)
{
	struct day *day = day_new(seed);
	struct tally tally;
	double in_time, good;

	day->load = rush->load;
	day_play(day);
	tally = day_tally(day);
	in_time =
	    (double)tally.in_time / (tally.in_time + tally.late + tally.failed);
	good = tally.in_time / (tally.asked * MIN(1 / rush->load, 1));
	if (getenv("MST_TEST_LOG") != NULL)
		fprintf(stderr,
		    "load %.1f, seed %u: asked %u, in time %u, late %u, "
		    "failed %u, refused %u within %d ms; in time of those "
		    "taken %.3f, of those that can be served %.3f\n",
		    rush->load, seed, tally.asked, tally.in_time, tally.late,
		    tally.failed, tally.refused, (int)tally.refused_ms, in_time,
		    good);
	g_assert_cmpfloat(in_time, >=, rush->in_time_min);
	g_assert_cmpfloat(good, >=, rush->good_min);
	g_assert_cmpint(tally.refused_ms, <=, REFUSED_MS);
	day_free(day);
}

static void
play_seeds(gconstpointer rush)
{
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		play(rush, seed);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/rush/busy", &busy, play_seeds);
	g_test_add_data_func("/rush/crowded", &crowded, play_seeds);
	return g_test_run();
}
