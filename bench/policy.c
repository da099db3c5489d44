/*
 * Placement measured on the reducers under a paused clock: seeded open-loop
 * arrivals on upstreams with a tenfold spread of speeds, each policy beside
 * the others on the same arrivals, and beside a scheduler that knows the
 * true times and speeds. Results repeat to the digit.
 *
 * Usage: bench-policy [JOBS] [SEED] [ENTRIES] [POLICY-JSON]
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/stats.h"
#include "sim/sim.h"

#define POLICY_AGENTS      11
#define POLICY_SLOTS       8
#define POLICY_TASKS_MAX   8
#define POLICY_LATENCY_US  500
#define POLICY_CLIENT_US   1000
#define POLICY_BASE_MIN_US 50000
#define POLICY_BASE_MAX_US 1000000
#define POLICY_SPREAD      10.0
#define POLICY_ERROR       0.5 /* sigma of the log of declared over true */
#define POLICY_WARM        0.1 /* share of the first jobs not counted */

struct arrival {
	int64_t at_us;
	uint32_t count;
	uint32_t true_us[POLICY_TASKS_MAX];
	uint32_t declared_us[POLICY_TASKS_MAX];
	double ideal_us;
	double took_us;
	bool complete;
};

struct run {
	struct arrival *arrivals;
	unsigned jobs;
	double factors[POLICY_AGENTS];
	struct sim *sim;
	int agents[POLICY_AGENTS];
	GHashTable *by_request;
	unsigned answered;
};

struct summary {
	double mean, p50, p99, p999, mean_us;
	unsigned failed;
};

static double
lognormal(GRand *rand, double sigma)
{
	double u = g_rand_double_range(rand, 1e-9, 1);
	double v = g_rand_double(rand);

	return exp(sigma * sqrt(-2 * log(u)) * cos(2 * G_PI * v));
}

static double
capacity(const struct run *run)
{
	double total = 0;
	int i;

	for (i = 0; i < POLICY_AGENTS; i++)
		total += POLICY_SLOTS / run->factors[i];
	return total;
}

static void
arrival_draw(struct arrival *a, GRand *rand)
{
	double low = log(POLICY_BASE_MIN_US);
	double high = log(POLICY_BASE_MAX_US);
	uint32_t i;

	a->count = (uint32_t)g_rand_int_range(rand, 1, POLICY_TASKS_MAX + 1);
	a->ideal_us = 0;
	for (i = 0; i < a->count; i++) {
		double us = exp(g_rand_double_range(rand, low, high));

		a->true_us[i] = (uint32_t)us;
		a->declared_us[i] =
		    (uint32_t)(us * lognormal(rand, POLICY_ERROR));
		a->ideal_us = MAX(a->ideal_us, us);
	}
	a->ideal_us += 2 * POLICY_CLIENT_US + 2 * POLICY_LATENCY_US;
}

static void
arrivals_draw(struct run *run, double load, uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	double work = 0, rate, at = 2 * G_USEC_PER_SEC;
	unsigned i;
	uint32_t t;

	for (i = 0; i < run->jobs; i++) {
		arrival_draw(&run->arrivals[i], rand);
		for (t = 0; t < run->arrivals[i].count; t++)
			work += run->arrivals[i].true_us[t];
	}
	rate = load * capacity(run) / (work / run->jobs);
	for (i = 0; i < run->jobs; i++) {
		at -= log(g_rand_double_range(rand, 1e-9, 1)) / rate;
		run->arrivals[i].at_us = (int64_t)at;
	}
	g_rand_free(rand);
}

static struct sim_service
serve(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	const struct run *run = ctx;
	struct sim_service service = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};
	double true_us = strtod(task->path.data + 1, NULL);
	int i;

	for (i = 0; i < POLICY_AGENTS; i++) {
		if (run->agents[i] == agent)
			service.duration_us =
			    (int64_t)(true_us * run->factors[i]);
	}
	return service;
}

static void
on_answer(void *ctx, const struct sim_request *request)
{
	struct run *run = ctx;
	struct arrival *a =
	    g_hash_table_lookup(run->by_request, GSIZE_TO_POINTER(request->id));

	if (a == NULL)
		return;
	run->answered++;
	a->complete = request->state == MST_JOB_COMPLETE;
	a->took_us =
	    (double)(request->answered_us - a->at_us) + 2 * POLICY_CLIENT_US;
}

static void
submit(struct run *run, struct arrival *a, int entry)
{
	struct mst_task_spec tasks[POLICY_TASKS_MAX] = {0};
	char paths[POLICY_TASKS_MAX][20];
	struct mst_job_spec spec = {.team = "team",
	    .timeout_ms = 600000,
	    .count = a->count,
	    .tasks = tasks};
	uint32_t i;

	for (i = 0; i < a->count; i++) {
		snprintf(paths[i], sizeof(paths[i]), "/%uus", a->true_us[i]);
		tasks[i].method = mst_bytes_from_str("POST");
		tasks[i].path = mst_bytes_from_str(paths[i]);
		tasks[i].declared_us = a->declared_us[i];
	}
	g_hash_table_insert(run->by_request,
	    GSIZE_TO_POINTER(sim_submit(run->sim, entry, &spec)), a);
}

static struct summary
summarize(const struct run *run)
{
	GArray *ratios = g_array_new(FALSE, FALSE, sizeof(double));
	struct summary s = {0};
	double ratio;
	unsigned i;

	for (i = (unsigned)(run->jobs * POLICY_WARM); i < run->jobs; i++) {
		const struct arrival *a = &run->arrivals[i];

		if (!a->complete) {
			s.failed++;
			continue;
		}
		ratio = a->took_us / a->ideal_us;
		s.mean += ratio;
		s.mean_us += a->took_us;
		g_array_append_val(ratios, ratio);
	}
	mst_stats_sort(ratios);
	if (ratios->len > 0) {
		s.mean /= ratios->len;
		s.mean_us /= ratios->len;
		s.p50 = mst_stats_quantile(ratios, 0.5);
		s.p99 = mst_stats_quantile(ratios, 0.99);
		s.p999 = mst_stats_quantile(ratios, 0.999);
	}
	g_array_unref(ratios);
	return s;
}

/* Tasks of a job from the longest to the shortest. */
static void
longest_first(const struct arrival *a, uint32_t *order)
{
	uint32_t i, j, kept;

	for (i = 0; i < a->count; i++)
		order[i] = i;
	for (i = 1; i < a->count; i++) {
		for (j = i;
		     j > 0 && a->true_us[order[j]] > a->true_us[order[j - 1]];
		     j--) {
			kept = order[j];
			order[j] = order[j - 1];
			order[j - 1] = kept;
		}
	}
}

/*
 * A scheduler that knows every true time and speed and sends no messages:
 * each task takes the slot that finishes it first, longest tasks first.
 */
static struct summary
run_clairvoyant(struct run *run)
{
	double free_at[POLICY_AGENTS][POLICY_SLOTS] = {{0}};
	uint32_t order[POLICY_TASKS_MAX];
	unsigned i;
	uint32_t t;
	int n, slot, best_n, best_slot;

	for (i = 0; i < run->jobs; i++) {
		struct arrival *a = &run->arrivals[i];
		double last = 0;

		longest_first(a, order);
		for (t = 0; t < a->count; t++) {
			double best = INFINITY, finish;

			best_n = best_slot = 0;
			for (n = 0; n < POLICY_AGENTS; n++) {
				for (slot = 0; slot < POLICY_SLOTS; slot++) {
					finish = MAX(free_at[n][slot],
						     (double)a->at_us) +
					    a->true_us[order[t]] *
						run->factors[n];
					if (finish >= best)
						continue;
					best = finish;
					best_n = n;
					best_slot = slot;
				}
			}
			free_at[best_n][best_slot] = best;
			last = MAX(last, best);
		}
		a->complete = true;
		a->took_us = last - (double)a->at_us + 2 * POLICY_CLIENT_US +
		    2 * POLICY_LATENCY_US;
	}
	return summarize(run);
}

struct waste {
	double per_task;
	double messages;
	double starts;
};

static struct waste
waste_of(const struct run *run, const int *entries, int count)
{
	struct waste waste = {0};
	double tasks = 0, wasted = 0;
	int i, type;

	for (i = 0; i < count; i++) {
		const struct mst_entry_counters *c =
		    mst_entry_counters(sim_get_entry(run->sim, entries[i]));

		tasks += (double)c->tasks;
		wasted += (double)(c->dispatches_repeated + c->retries +
		    2 * c->withdrawals + c->results_late + c->results_repeated);
	}
	for (type = 1; type < MST_MSG_MAX; type++)
		waste.messages +=
		    (double)sim_messages(run->sim, (enum mst_msg_type)type);
	waste.per_task = wasted / tasks;
	waste.messages /= tasks;
	return waste;
}

static struct summary
run_policy(struct run *run, const char *document, int entries_count,
    uint32_t seed, struct waste *waste)
{
	struct sim_options options = {.seed = seed,
	    .latency_us = POLICY_LATENCY_US,
	    .service = serve,
	    .on_answer = on_answer,
	    .ctx = run};
	struct mst_agent_options agent = MST_AGENT_OPTIONS_INIT;
	int entries[8];
	char name[16];
	unsigned i;

	run->sim = sim_new(&options);
	run->by_request = g_hash_table_new(g_direct_hash, g_direct_equal);
	run->answered = 0;
	agent.slots = POLICY_SLOTS;
	for (i = 0; i < (unsigned)entries_count; i++) {
		snprintf(name, sizeof(name), "E%u", i + 1);
		entries[i] = sim_add_entry(run->sim, name);
		sim_configure(run->sim, entries[i], 1, document);
	}
	for (i = 0; i < POLICY_AGENTS; i++) {
		snprintf(name, sizeof(name), "A%u", i + 1);
		run->agents[i] = sim_add_agent(run->sim, name, &agent);
	}
	for (i = 0; i < run->jobs; i++) {
		run->arrivals[i].complete = false;
		sim_run_until(run->sim, run->arrivals[i].at_us);
		submit(run, &run->arrivals[i],
		    entries[i % (unsigned)entries_count]);
	}
	while (run->answered < run->jobs)
		sim_run_until(run->sim, sim_now(run->sim) + G_USEC_PER_SEC);
	*waste = waste_of(run, entries, entries_count);
	sim_free(run->sim);
	g_hash_table_unref(run->by_request);
	return summarize(run);
}

static void
print_row(double load, const char *name, const struct summary *s,
    const struct summary *clairvoyant, const struct waste *waste)
{
	printf("%4.0f%% %-18s %6.2f %6.2f %7.2f %7.2f %8.2f %8.2f", load * 100,
	    name, s->mean, s->p50, s->p99, s->p999, s->mean / clairvoyant->mean,
	    s->p99 / clairvoyant->p99);
	if (waste != NULL)
		printf(" %8.4f %6.2f", waste->per_task, waste->messages);
	printf("%s\n", s->failed ? " FAILED JOBS" : "");
}

int
main(int argc, char **argv)
{
	static const double loads[] = {0.3, 0.7, 0.9};
	static const char *const names[] = {
	    "finish", "least-outstanding", "round-robin", "random"};
	unsigned jobs = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) : 20000;
	uint32_t seed = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1;
	int entries = argc > 3 ? atoi(argv[3]) : 1;
	struct run run = {.jobs = jobs};
	struct summary clairvoyant, s;
	struct waste waste;
	char document[512];
	unsigned l, p;
	int i;

	run.arrivals = g_new0(struct arrival, jobs);
	for (i = 0; i < POLICY_AGENTS; i++)
		run.factors[i] =
		    pow(POLICY_SPREAD, (double)i / (POLICY_AGENTS - 1));
	printf("%u jobs, seed %u, %d entries, %d upstreams of %d slots, "
	       "speeds 1 to %g\n",
	    jobs, seed, entries, POLICY_AGENTS, POLICY_SLOTS, POLICY_SPREAD);
	printf("load  policy               mean    p50     p99    p999  "
	       "mean/cl   p99/cl wasted/t  msg/t\n");
	for (l = 0; l < G_N_ELEMENTS(loads); l++) {
		arrivals_draw(&run, loads[l], seed);
		clairvoyant = run_clairvoyant(&run);
		print_row(
		    loads[l], "clairvoyant", &clairvoyant, &clairvoyant, NULL);
		for (p = 0; p < G_N_ELEMENTS(names); p++) {
			snprintf(document, sizeof(document),
			    "{\"policy\":{\"placement\":\"%s\","
			    "\"queue_tasks_max\":1000000%s%s},"
			    "\"default_team\":{\"quota_tasks\":1000000}}",
			    names[p], argc > 4 ? "," : "",
			    argc > 4 ? argv[4] : "");
			s = run_policy(&run, document, entries, seed, &waste);
			print_row(loads[l], names[p], &s, &clairvoyant, &waste);
		}
	}
	g_free(run.arrivals);
	return 0;
}
