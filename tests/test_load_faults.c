/*
 * Loads that the workers can bear, with faults: callers must get what they get
 * without faults, as far as time and the workers that are left allow. Fleets
 * and loads are unlike those of test_overload. Every seed has the same arrivals
 * whatever the entries decide.
 */

#include <masticstall.h>

#include "sim/load.h"
#include "sim/worker.h"

#define SEEDS 4
/* Orders without an answer after which an agent starts nothing more. One worker
 * of even_shape is unreachable. */
#define UNANSWERED_MAX 2

#define LONG_JOBS          5 /* more tasks than the fast worker has slots */
#define SHORT_JOBS         10
#define AFTER_LONG_JOBS_US (20 * 1000) /* until the short ones arrive */
#define TOO_SLOW           2 /* factor at which short jobs are late, too */
#define REFUSAL_MAX_US     (5 * 1000) /* until an immediate refusal */

/* Tasks that are long by themselves. */
#define STRAGGLER_SHARE       0.03
#define STRAGGLER_FACTOR      7
#define STRAGGLER_DEADLINE_MS 7000

/* Least share of the submitted jobs that end in time. */
#define IN_TIME_MIN 0.95

/* Orders that an agent can send before it has to wait for an answer, and the
 * share of them that gets none. */
#define FEW_CONNECTIONS  2
#define UNANSWERED_SHARE 0.2

#define LOST_AGENTS 2
/* After the loss, until the entries know of it. */
#define LOST_KNOWN_MS 700
/* Largest share of the jobs that is refused while there are slots for them. */
#define REFUSED_MAX 0.01

/* Workers of the same speed, jobs of two kinds. */
static const struct load_shape even_shape = {.name = "even",
    .entries = 3,
    .workers = 10,
    .slots = 8,
    .service_factors = {1},
    .factor_count = 1,
    .kinds = {{"short", 6, 80, 30, 0}, {"medium", 2, 250, 70, 1}},
    .kind_count = 2,
    .service_sigma = 0.4,
    .declared_sigma = 0.4,
    .base_load = 0.6,
    .peak_load = 0.75,
    .stretch = 1.6,
    .target_ms = 60,
    .deadline_ms = 1500};

/* Jobs so short that the timeout of an order is most of their objective. */
static const struct load_shape short_shape = {.name = "short",
    .entries = 4,
    .workers = 12,
    .slots = 8,
    .service_factors = {0.8, 1, 1.3},
    .factor_count = 3,
    .kinds = {{"short", 4, 50, 60, 0}, {"single", 1, 30, 100, 1}},
    .kind_count = 2,
    .service_sigma = 0.4,
    .declared_sigma = 0.4,
    .base_load = 0.4,
    .peak_load = 0.5,
    .stretch = 1.6,
    .target_ms = 50,
    .deadline_ms = 800};

/* Long jobs that only the first worker can end in time, and short ones that any
 * worker can and that come after them in the queue. Elsewhere in this file, the
 * other workers are made slower. */
static const struct load_shape unlike_shape = {.name = "unlike",
    .entries = 1,
    .workers = 4,
    .slots = 8,
    .service_factors = {0.3, 1.3, 1.3, 1.3},
    .factor_count = 4,
    .kinds = {{"short", 1, 60, 60, 9}, {"long", 4, 800, 4, 0}},
    .kind_count = 2,
    .service_sigma = 0.1,
    .declared_sigma = 0.1,
    .base_load = 0.25,
    .peak_load = 0.25,
    .stretch = 1.4,
    .target_ms = 30,
    .deadline_ms = 1500};

/* Callers that wait for seconds, so that tasks that are bound to a lost host
 * stay in the queues. */
static const struct load_shape patient_shape = {.name = "patient",
    .entries = 4,
    .workers = 11,
    .slots = 8,
    .service_factors = {1},
    .factor_count = 1,
    .kinds = {{"short", 8, 60, 34, 0}, {"medium", 2, 200, 100, 1},
	{"long", 4, 900, 6, 2}},
    .kind_count = 3,
    .service_sigma = 0.4,
    .declared_sigma = 0.4,
    .base_load = 0.6,
    .peak_load = 0.6,
    .stretch = 1.6,
    .target_ms = 60,
    .deadline_ms = 9000};

static struct load_counts
play_peaks(const struct load_shape *shape, const char *fault)
{
	struct load_counts total = {0};
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		const struct load_options options = {.seed = seed,
		    .paired = true,
		    .fault = load_fault_find(fault)};
		struct load *load = load_new(shape, &options);
		struct load_counts counts;

		g_assert_nonnull(options.fault);
		load_run(load);
		counts = load_count(load, LOAD_PEAK_START_MS, LOAD_PEAK_END_MS);
		total.submitted += counts.submitted;
		total.in_time += counts.in_time;
		total.late += counts.late;
		total.refused_late += counts.refused_late;
		total.failed += counts.failed;
		total.uncertain += counts.uncertain;
		total.lost += counts.lost;
		load_free(load);
	}
	g_test_message("%s, %s: %u jobs, %u in time, %u late, %u failed",
	    shape->name, fault, total.submitted, total.in_time, total.late,
	    total.failed);
	return total;
}

/* Tasks at workers that do not answer must run elsewhere in time for every job
 * to be answered, and most in time. Only a task whose start got no answer must
 * not, because the worker may still execute it: each unreachable worker may
 * cost one job. */
static void
load_faults__no_job_fails_with_unreachable_workers(gconstpointer fault)
{
	struct load_counts counts = play_peaks(&even_shape, fault);

	g_assert_cmpuint(counts.failed, ==, counts.uncertain);
	g_assert_cmpuint(counts.uncertain, <=, SEEDS * UNANSWERED_MAX);
	g_assert_cmpuint(counts.lost, ==, 0);
	g_assert_cmpuint(counts.refused_late, ==, 0);
	g_assert_cmpfloat(
	    counts.in_time, >=, IN_TIME_MIN * (double)counts.submitted);
}

/* One order in twenty gets no answer. */
static void
load_faults__unanswered_orders_delay_few_jobs(void)
{
	struct load_counts counts = play_peaks(&short_shape, "late-orders");

	g_assert_cmpuint(counts.failed + counts.lost, ==, 0);
	g_assert_cmpfloat(
	    counts.in_time, >=, IN_TIME_MIN * (double)counts.submitted);
}

static void
occupy_connections(struct load *load)
{
	int i;

	for (i = 0; i < load->cluster.agent_count; i++) {
		struct sim_worker *worker =
		    sim_get_worker(load->sim, load->cluster.agents[i]);

		sim_worker_set_connections(worker, FEW_CONNECTIONS);
		sim_worker_set_late_probability(worker, UNANSWERED_SHARE);
	}
}

static void
free_connections(struct load *load)
{
	cluster_clear_worker_faults(&load->cluster);
}

/* Orders without an answer occupy the connections of the agents, so that others
 * are not sent in time. This must not keep callers without a result who wait
 * for seconds. */
static void
load_faults__unsent_orders_fail_nobody(void)
{
	static const struct load_fault fault = {.name = "connections-occupied",
	    .begin = occupy_connections,
	    .end = free_connections};
	struct load_counts total = {0};
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		const struct load_options options = {
		    .seed = seed, .paired = true, .fault = &fault};
		struct load *load = load_new(&patient_shape, &options);
		struct load_counts counts;

		load_run(load);
		counts = load_count(load, LOAD_PEAK_START_MS, LOAD_PEAK_END_MS);
		total.submitted += counts.submitted;
		total.in_time += counts.in_time;
		total.late += counts.late;
		total.refused += counts.refused;
		total.failed += counts.failed;
		total.lost += counts.lost;
		load_free(load);
	}
	g_test_message("%u jobs, %u in time, %u late, %u refused, %u failed, "
		       "%u without an answer",
	    total.submitted, total.in_time, total.late, total.refused,
	    total.failed, total.lost);
	g_assert_cmpuint(total.failed, ==, 0);
	g_assert_cmpfloat(
	    total.refused + total.lost, <=, REFUSED_MAX * total.submitted);
}

/* Plays a load with stragglers. Returns the starts of tasks. */
static uint64_t
play_stragglers(struct load_counts *total, uint32_t seed, bool keep_long_tasks)
{
	struct mst_tuning tuning = MST_TUNING_INIT;
	const struct load_options options = {
	    .seed = seed, .paired = true, .tuning = &tuning};
	struct load_shape shape = even_shape;
	struct load_counts counts;
	struct load *load;
	uint64_t starts;

	tuning.keep_long_tasks = keep_long_tasks;
	shape.straggler_share = STRAGGLER_SHARE;
	shape.straggler_factor = STRAGGLER_FACTOR;
	shape.deadline_ms = STRAGGLER_DEADLINE_MS;
	load = load_new(&shape, &options);
	load_run(load);
	counts = load_count(load, LOAD_START_MS, LOAD_END_MS);
	total->submitted += counts.submitted;
	total->in_time += counts.in_time;
	total->failed += counts.failed + counts.lost;
	starts = sim_count_all_starts(load->sim);
	load_free(load);
	return starts;
}

/* Moving tasks that are long by themselves must not repeat their work and so
 * make callers late: their workers complete other tasks meanwhile. */
static void
load_faults__stragglers_are_not_repeated(void)
{
	struct load_counts kept = {0}, moved = {0};
	uint64_t kept_starts = 0, moved_starts = 0;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		kept_starts += play_stragglers(&kept, seed, true);
		moved_starts += play_stragglers(&moved, seed, false);
	}
	g_test_message("kept: %u in time, %u starts; moved: %u in time, %u "
		       "starts; %u jobs",
	    kept.in_time, (unsigned)kept_starts, moved.in_time,
	    (unsigned)moved_starts, kept.submitted);
	g_assert_cmpuint(kept.failed, <=, moved.failed);
	g_assert_cmpuint(kept.in_time, >=, moved.in_time);
	g_assert_cmpuint(kept_starts, <, moved_starts);
}

/* Submits short jobs while tasks of long ones wait for the fast worker and the
 * others are idle. Returns the index of the first short job. */
static guint
submit_behind_long_jobs(struct load *load)
{
	guint first_short, i;

	load_run(load);
	for (i = 0; i < LONG_JOBS; i++)
		load_submit(load, &load->shape.kinds[1], LOAD_END_MS);
	sim_run_until(load->sim, sim_now(load->sim) + AFTER_LONG_JOBS_US);
	first_short = load->jobs->len;
	for (i = 0; i < SHORT_JOBS; i++)
		load_submit(load, &load->shape.kinds[0], LOAD_END_MS);
	sim_run_until(load->sim, sim_now(load->sim) + G_USEC_PER_SEC);
	return first_short;
}

static const struct sim_request *
get_job_request(const struct load *load, guint index)
{
	const struct load_job *job = load->jobs->pdata[index];

	return sim_get_request(load->sim, job->request);
}

/* Tasks that wait for the fast worker by choice must not refuse jobs for which
 * there are slots. */
static void
load_faults__waiting_by_choice_refuses_nobody(void)
{
	const struct load_options options = {.seed = 1, .paired = true};
	struct load *load = load_new(&unlike_shape, &options);
	guint i;

	for (i = submit_behind_long_jobs(load); i < load->jobs->len; i++) {
		const struct sim_request *request = get_job_request(load, i);

		g_assert_false(request->refused);
		g_assert_cmpint(request->state, ==, MST_JOB_COMPLETE);
	}
	load_free(load);
}

/* Slots that are too slow for a job must not have it accepted and given up
 * later. */
static void
load_faults__slow_free_slots_admit_nobody(void)
{
	const struct load_options options = {.seed = 1, .paired = true};
	struct load_shape shape = unlike_shape;
	struct load *load;
	unsigned served = 0;
	guint i;

	for (i = 1; i < shape.factor_count; i++)
		shape.service_factors[i] = TOO_SLOW;
	load = load_new(&shape, &options);
	for (i = submit_behind_long_jobs(load); i < load->jobs->len; i++) {
		const struct sim_request *request = get_job_request(load, i);

		served += !request->refused;
		if (request->refused)
			g_assert_cmpint(
			    request->answered_us - request->submitted_us, <=,
			    REFUSAL_MAX_US);
		else
			g_assert_cmpint(request->state, ==, MST_JOB_COMPLETE);
	}
	g_assert_cmpuint(served, <, SHORT_JOBS);
	load_free(load);
}

static void
lose_agents(struct load *load)
{
	int i;

	for (i = 0; i < LOST_AGENTS; i++)
		sim_kill(load->sim, load->cluster.agents[i]);
}

/* Tasks that are bound to lost hosts must not refuse or delay jobs that the
 * other hosts can serve in time. */
static void
load_faults__bound_tasks_refuse_nobody(void)
{
	static const struct load_fault fault = {
	    .name = "agents-lost", .begin = lose_agents};
	unsigned submitted = 0, in_time = 0, refused = 0;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		const struct load_options options = {
		    .seed = seed, .paired = true, .fault = &fault};
		struct load *load = load_new(&patient_shape, &options);
		struct load_counts counts;

		load_run(load);
		counts = load_count(
		    load, LOAD_PEAK_START_MS + LOST_KNOWN_MS, LOAD_END_MS);
		submitted += counts.submitted;
		in_time += counts.in_time;
		refused += counts.refused;
		load_free(load);
	}
	g_test_message(
	    "%u jobs, %u in time, %u refused", submitted, in_time, refused);
	g_assert_cmpfloat(refused, <=, REFUSED_MAX * submitted);
	g_assert_cmpfloat(in_time, >=, IN_TIME_MIN * submitted);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/load-faults/resetting", "resetting",
	    load_faults__no_job_fails_with_unreachable_workers);
	g_test_add_data_func("/load-faults/silent", "silent",
	    load_faults__no_job_fails_with_unreachable_workers);
	g_test_add_data_func("/load-faults/unhealthy", "unhealthy",
	    load_faults__no_job_fails_with_unreachable_workers);
	g_test_add_func("/load-faults/unanswered-orders",
	    load_faults__unanswered_orders_delay_few_jobs);
	g_test_add_func("/load-faults/unsent-orders",
	    load_faults__unsent_orders_fail_nobody);
	g_test_add_func("/load-faults/stragglers",
	    load_faults__stragglers_are_not_repeated);
	g_test_add_func("/load-faults/waiting-by-choice",
	    load_faults__waiting_by_choice_refuses_nobody);
	g_test_add_func("/load-faults/slow-free-slots",
	    load_faults__slow_free_slots_admit_nobody);
	g_test_add_func(
	    "/load-faults/bound-tasks", load_faults__bound_tasks_refuse_nobody);
	return g_test_run();
}
