/*
 * Compares placement policies on the reducers in a simulation with a virtual
 * clock. Every policy gets the same seeded open-loop arrivals on upstreams
 * whose speeds differ by up to ten times; the baseline is a clairvoyant
 * scheduler that knows the true service times and speeds. A seed always gives
 * the same figures.
 *
 * Usage: bench-policy [JOBS] [SEED] [ENTRIES] [POLICY-JSON]
 *
 * POLICY-JSON holds members of the configuration's policy, without braces.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/stats.h"
#include "sim/sim.h"

#define POLICY_AGENTS            11
#define POLICY_SLOTS             8
#define POLICY_TASKS_MAX         8
#define POLICY_LATENCY_US        500
#define POLICY_CLIENT_LATENCY_US 1000
#define POLICY_TASK_MIN_US       50000
#define POLICY_TASK_MAX_US       1000000
#define POLICY_SPEED_SPREAD      10.0
#define POLICY_ESTIMATE_SIGMA    0.5 /* sigma of ln(declared / true) */
#define POLICY_WARM_UP_SHARE     0.1 /* first jobs, left out of the figures */

struct arrival {
	int64_t submitted_us;
	uint32_t count;
	uint32_t service_us[POLICY_TASKS_MAX]; /* on the fastest upstream */
	uint32_t declared_us[POLICY_TASKS_MAX];
	double ideal_us; /* longest task on the fastest upstream, unloaded */
	double response_us;
	bool complete;
};

struct run {
	struct arrival *arrivals;
	unsigned jobs;
	double slowdowns[POLICY_AGENTS]; /* factors on the service time */
	struct sim *sim;
	int agents[POLICY_AGENTS];
	GHashTable *arrival_by_request; /* request id -> struct arrival */
	unsigned answered;
};

/* Statistics of response time / ideal time; mean_us: of the response time. */
struct summary {
	double mean, p50, p99, p999, mean_us;
	unsigned failed;
};

static double
draw_lognormal(GRand *rand, double sigma)
{
	double u = g_rand_double_range(rand, 1e-9, 1);
	double v = g_rand_double(rand);

	return exp(sigma * sqrt(-2 * log(u)) * cos(2 * G_PI * v));
}

/* Returns the capacity of all upstreams, in slots of the fastest one. */
static double
total_capacity(const struct run *run)
{
	double total = 0;
	int i;

	for (i = 0; i < POLICY_AGENTS; i++)
		total += POLICY_SLOTS / run->slowdowns[i];
	return total;
}

static void
draw_arrival(struct arrival *arrival, GRand *rand)
{
	double log_min = log(POLICY_TASK_MIN_US);
	double log_max = log(POLICY_TASK_MAX_US);
	uint32_t i;

	arrival->count =
	    (uint32_t)g_rand_int_range(rand, 1, POLICY_TASKS_MAX + 1);
	arrival->ideal_us = 0;
	for (i = 0; i < arrival->count; i++) {
		double service_us =
		    exp(g_rand_double_range(rand, log_min, log_max));

		arrival->service_us[i] = (uint32_t)service_us;
		arrival->declared_us[i] = (uint32_t)(service_us *
		    draw_lognormal(rand, POLICY_ESTIMATE_SIGMA));
		arrival->ideal_us = MAX(arrival->ideal_us, service_us);
	}
	arrival->ideal_us +=
	    2 * POLICY_CLIENT_LATENCY_US + 2 * POLICY_LATENCY_US;
}

static void
draw_arrivals(struct run *run, double load, uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	double total_us = 0, jobs_per_us, next_us = 2 * G_USEC_PER_SEC;
	unsigned i;
	uint32_t t;

	for (i = 0; i < run->jobs; i++) {
		draw_arrival(&run->arrivals[i], rand);
		for (t = 0; t < run->arrivals[i].count; t++)
			total_us += run->arrivals[i].service_us[t];
	}
	jobs_per_us = load * total_capacity(run) / (total_us / run->jobs);
	for (i = 0; i < run->jobs; i++) {
		next_us -=
		    log(g_rand_double_range(rand, 1e-9, 1)) / jobs_per_us;
		run->arrivals[i].submitted_us = (int64_t)next_us;
	}
	g_rand_free(rand);
}

static struct sim_task_result
serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	const struct run *run = ctx;
	struct sim_task_result service = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};
	double service_us = strtod(task->path.data + 1, NULL);
	int i;

	for (i = 0; i < POLICY_AGENTS; i++) {
		if (run->agents[i] == agent)
			service.duration_us =
			    (int64_t)(service_us * run->slowdowns[i]);
	}
	return service;
}

static void
on_answer(void *ctx, const struct sim_request *request)
{
	struct run *run = ctx;
	struct arrival *arrival = g_hash_table_lookup(
	    run->arrival_by_request, GSIZE_TO_POINTER(request->id));

	if (arrival == NULL)
		return;
	run->answered++;
	arrival->complete = request->state == MST_JOB_COMPLETE;
	arrival->response_us =
	    (double)(request->answered_us - arrival->submitted_us) +
	    2 * POLICY_CLIENT_LATENCY_US;
}

static void
submit_job(struct run *run, struct arrival *arrival, int entry)
{
	struct mst_task_spec tasks[POLICY_TASKS_MAX] = {0};
	char paths[POLICY_TASKS_MAX][20];
	struct mst_job_spec spec = {.team = "team",
	    .timeout_ms = 600000,
	    .count = arrival->count,
	    .tasks = tasks};
	uint32_t i;

	for (i = 0; i < arrival->count; i++) {
		snprintf(paths[i], sizeof(paths[i]), "/%uus",
		    arrival->service_us[i]);
		tasks[i].method = mst_bytes_from_str("POST");
		tasks[i].path = mst_bytes_from_str(paths[i]);
		tasks[i].declared_us = arrival->declared_us[i];
	}
	g_hash_table_insert(run->arrival_by_request,
	    GSIZE_TO_POINTER(sim_submit(run->sim, entry, &spec)), arrival);
}

static struct summary
summarize_run(const struct run *run)
{
	GArray *ratios = g_array_new(FALSE, FALSE, sizeof(double));
	struct summary summary = {0};
	double ratio;
	unsigned i;

	for (i = (unsigned)(run->jobs * POLICY_WARM_UP_SHARE); i < run->jobs;
	     i++) {
		const struct arrival *arrival = &run->arrivals[i];

		if (!arrival->complete) {
			summary.failed++;
			continue;
		}
		ratio = arrival->response_us / arrival->ideal_us;
		summary.mean += ratio;
		summary.mean_us += arrival->response_us;
		g_array_append_val(ratios, ratio);
	}
	mst_stats_sort(ratios);
	if (ratios->len > 0) {
		summary.mean /= ratios->len;
		summary.mean_us /= ratios->len;
		summary.p50 = mst_stats_quantile(ratios, 0.5);
		summary.p99 = mst_stats_quantile(ratios, 0.99);
		summary.p999 = mst_stats_quantile(ratios, 0.999);
	}
	g_array_unref(ratios);
	return summary;
}

/* Fills order with the indexes of a job's tasks, longest task first. */
static void
order_longest_first(const struct arrival *arrival, uint32_t *order)
{
	uint32_t i, j, swapped;

	for (i = 0; i < arrival->count; i++)
		order[i] = i;
	for (i = 1; i < arrival->count; i++) {
		for (j = i; j > 0 &&
		     arrival->service_us[order[j]] >
			 arrival->service_us[order[j - 1]];
		     j--) {
			swapped = order[j];
			order[j] = order[j - 1];
			order[j - 1] = swapped;
		}
	}
}

/*
 * Schedules the arrivals with the true service times and speeds and without
 * messages: each task, longest first, gets the slot that finishes it earliest.
 */
static struct summary
run_clairvoyant(struct run *run)
{
	double free_at[POLICY_AGENTS][POLICY_SLOTS] = {{0}};
	uint32_t order[POLICY_TASKS_MAX];
	unsigned i;
	uint32_t task;
	int agent, slot, best_agent, best_slot;

	for (i = 0; i < run->jobs; i++) {
		struct arrival *arrival = &run->arrivals[i];
		double finish_us = 0;

		order_longest_first(arrival, order);
		for (task = 0; task < arrival->count; task++) {
			double best_us = INFINITY, slot_us;

			best_agent = best_slot = 0;
			for (agent = 0; agent < POLICY_AGENTS; agent++) {
				for (slot = 0; slot < POLICY_SLOTS; slot++) {
					slot_us =
					    MAX(free_at[agent][slot],
						(double)arrival->submitted_us) +
					    arrival->service_us[order[task]] *
						run->slowdowns[agent];
					if (slot_us >= best_us)
						continue;
					best_us = slot_us;
					best_agent = agent;
					best_slot = slot;
				}
			}
			free_at[best_agent][best_slot] = best_us;
			finish_us = MAX(finish_us, best_us);
		}
		arrival->complete = true;
		arrival->response_us = finish_us -
		    (double)arrival->submitted_us +
		    2 * POLICY_CLIENT_LATENCY_US + 2 * POLICY_LATENCY_US;
	}
	return summarize_run(run);
}

/* Messages of a run, divided by its tasks. */
struct message_cost {
	double wasted_per_task;
	double messages_per_task;
	double unused;
};

static struct message_cost
measure_messages(const struct run *run, const int *entries, int count)
{
	struct message_cost cost = {0};
	double tasks = 0, wasted_messages = 0;
	int i, type;

	for (i = 0; i < count; i++) {
		const struct mst_entry_counters *counters =
		    mst_entry_counters(sim_get_entry(run->sim, entries[i]));

		tasks += (double)counters->tasks;
		wasted_messages += (double)(counters->dispatches_repeated +
		    counters->retries + 2 * counters->withdrawals +
		    counters->results_late + counters->results_repeated);
	}
	for (type = 1; type < MST_MSG_MAX; type++)
		cost.messages_per_task += (double)sim_count_messages(
		    run->sim, (enum mst_msg_type)type);
	cost.wasted_per_task = wasted_messages / tasks;
	cost.messages_per_task /= tasks;
	return cost;
}

static struct summary
run_policy(struct run *run, const char *document, int entry_count,
    uint32_t seed, struct message_cost *cost)
{
	struct sim_options options = {.seed = seed,
	    .latency_us = POLICY_LATENCY_US,
	    .get_task_result = serve_task,
	    .on_answer = on_answer,
	    .ctx = run};
	struct mst_agent_options agent_options = MST_AGENT_OPTIONS_INIT;
	int entries[8];
	char name[16];
	unsigned i;

	run->sim = sim_new(&options);
	run->arrival_by_request =
	    g_hash_table_new(g_direct_hash, g_direct_equal);
	run->answered = 0;
	agent_options.slots = POLICY_SLOTS;
	for (i = 0; i < (unsigned)entry_count; i++) {
		snprintf(name, sizeof(name), "E%u", i + 1);
		entries[i] = sim_add_entry(run->sim, name);
		sim_configure(run->sim, entries[i], 1, document);
	}
	for (i = 0; i < POLICY_AGENTS; i++) {
		snprintf(name, sizeof(name), "A%u", i + 1);
		run->agents[i] = sim_add_agent(run->sim, name, &agent_options);
	}
	for (i = 0; i < run->jobs; i++) {
		run->arrivals[i].complete = false;
		sim_run_until(run->sim, run->arrivals[i].submitted_us);
		submit_job(
		    run, &run->arrivals[i], entries[i % (unsigned)entry_count]);
	}
	while (run->answered < run->jobs)
		sim_run_until(run->sim, sim_now(run->sim) + G_USEC_PER_SEC);
	*cost = measure_messages(run, entries, entry_count);
	sim_free(run->sim);
	g_hash_table_unref(run->arrival_by_request);
	return summarize_run(run);
}

static void
print_row(double load, const char *name, const struct summary *summary,
    const struct summary *clairvoyant, const struct message_cost *cost)
{
	printf("%4.0f%% %-18s %6.2f %6.2f %7.2f %7.2f %8.2f %8.2f", load * 100,
	    name, summary->mean, summary->p50, summary->p99, summary->p999,
	    summary->mean / clairvoyant->mean, summary->p99 / clairvoyant->p99);
	if (cost != NULL)
		printf(" %8.4f %6.2f", cost->wasted_per_task,
		    cost->messages_per_task);
	printf("%s\n", summary->failed ? " FAILED JOBS" : "");
}

int
main(int argc, char **argv)
{
	static const double loads[] = {0.3, 0.7, 0.9};
	static const char *const policies[] = {
	    "finish", "least-outstanding", "round-robin", "random"};
	unsigned jobs = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) : 20000;
	uint32_t seed = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1;
	int entries = argc > 3 ? atoi(argv[3]) : 1;
	struct run run = {.jobs = jobs};
	struct summary clairvoyant, summary;
	struct message_cost cost;
	char document[512];
	unsigned load, policy;
	int i;

	run.arrivals = g_new0(struct arrival, jobs);
	for (i = 0; i < POLICY_AGENTS; i++)
		run.slowdowns[i] =
		    pow(POLICY_SPEED_SPREAD, (double)i / (POLICY_AGENTS - 1));
	printf("%u jobs, seed %u, %d entries, %d upstreams of %d slots, "
	       "speeds 1 to %g\n",
	    jobs, seed, entries, POLICY_AGENTS, POLICY_SLOTS,
	    POLICY_SPEED_SPREAD);
	printf("load  policy               mean    p50     p99    p999  "
	       "mean/cl   p99/cl wasted/t  msg/t\n");
	for (load = 0; load < G_N_ELEMENTS(loads); load++) {
		draw_arrivals(&run, loads[load], seed);
		clairvoyant = run_clairvoyant(&run);
		print_row(loads[load], "clairvoyant", &clairvoyant,
		    &clairvoyant, NULL);
		for (policy = 0; policy < G_N_ELEMENTS(policies); policy++) {
			snprintf(document, sizeof(document),
			    "{\"policy\":{\"placement\":\"%s\","
			    "\"queue_tasks_max\":1000000%s%s},"
			    "\"default_team\":{\"quota_tasks\":1000000}}",
			    policies[policy], argc > 4 ? "," : "",
			    argc > 4 ? argv[4] : "");
			summary =
			    run_policy(&run, document, entries, seed, &cost);
			print_row(loads[load], policies[policy], &summary,
			    &clairvoyant, &cost);
		}
	}
	g_free(run.arrivals);
	return 0;
}
