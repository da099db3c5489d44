/*
 * Runs the reducers in a simulation with a virtual clock and measures goodput
 * and response times before, during and after a fault: bursts, sustained
 * overload, upstreams that fail, hang, slow down or crash, and a team that
 * floods the entry. A seed always gives the same figures.
 *
 * Usage: bench-overload [SEED] [POLICY-JSON]
 *
 * POLICY-JSON holds members of the configuration's policy, without braces.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/stats.h"
#include "sim/sim.h"

#define AGENT_COUNT     11
#define AGENT_SLOTS     8
#define JOB_TASKS_MAX   4
#define TASK_MIN_US     50000
#define TASK_MAX_US     300000
#define TASK_MEAN_US    139500.0 /* mean of the log-uniform distribution */
#define JOB_TIMEOUT_MS  5000
#define LOAD_DURATION_S 40
#define FAULT_START_S   10.0
#define FAULT_END_S     20.0
#define TEAM_COUNT      20

enum fault {
	FAULT_NONE = 0,
	FAULT_BURST,     /* ten times the capacity for 5 s */
	FAULT_SUSTAINED, /* load above the capacity for the whole run */
	FAULT_FAILING,   /* one upstream fails every task */
	FAULT_SLOW,      /* one upstream runs at a tenth of its speed */
	FAULT_HANG,      /* one upstream never answers */
	FAULT_CRASHES,   /* five agents crash and restart later */
	FAULT_FLOOD      /* one team sends 80 % of the load */
};

struct scenario {
	const char *name;
	enum fault fault;
	double load; /* share of the capacity */
	bool idempotent;
};

/* The result of one job. */
struct outcome {
	int64_t submitted_us;
	double response_us;
	uint32_t tasks;
	double service_us; /* of all tasks */
	unsigned team;
	bool complete, refused;
};

struct run {
	const struct scenario *scenario;
	struct sim *sim;
	GRand *rand;
	int entry;
	int agents[AGENT_COUNT];
	GArray *outcomes;               /* struct outcome */
	GHashTable *outcome_by_request; /* id -> index in outcomes, plus 1 */
	/* Task starts during the fault: at agents[0], and at all agents. */
	unsigned starts[2];
	double unused_s;
};

/*
 * Returns the seconds since the load began. It begins at 4 s of simulated time,
 * so that the agents have joined.
 */
static double
elapsed_s(const struct run *run)
{
	return (double)sim_now(run->sim) / G_USEC_PER_SEC - 4;
}

static bool
is_fault_active(const struct run *run)
{
	double at_s = elapsed_s(run);

	return at_s >= FAULT_START_S && at_s < FAULT_END_S;
}

static struct sim_task_result
serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct run *run = ctx;
	struct sim_task_result service = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};
	bool is_first = agent == run->agents[0];
	double at_s = elapsed_s(run);

	service.duration_us = (int64_t)strtol(task->path.data + 1, NULL, 10);
	/* The first second of the fault is not counted. */
	if (at_s >= FAULT_START_S + 1 && at_s < FAULT_END_S) {
		run->starts[0] += is_first;
		run->starts[1]++;
	}
	if (!is_first || !is_fault_active(run))
		return service;
	if (run->scenario->fault == FAULT_FAILING) {
		service.duration_us = 1000;
		service.status = 500;
	} else if (run->scenario->fault == FAULT_SLOW) {
		service.duration_us *= 10;
	} else if (run->scenario->fault == FAULT_HANG) {
		service.duration_us = (int64_t)task->timeout_ms * 1000;
		service.outcome = MST_OUTCOME_UNKNOWN;
		service.reason = MST_REASON_UPSTREAM_TIMEOUT;
	}
	return service;
}

static void
on_answer(void *ctx, const struct sim_request *request)
{
	struct run *run = ctx;
	guint position = GPOINTER_TO_UINT(g_hash_table_lookup(
	    run->outcome_by_request, GSIZE_TO_POINTER(request->id)));
	struct outcome *outcome;

	/* Refused within sim_submit(), before the request was recorded. */
	if (position == 0)
		position = run->outcomes->len;
	outcome = &g_array_index(run->outcomes, struct outcome, position - 1);
	outcome->refused = request->refused;
	outcome->complete =
	    !request->refused && request->state == MST_JOB_COMPLETE;
	outcome->response_us =
	    (double)(request->answered_us - outcome->submitted_us);
}

static void
submit_job(struct run *run)
{
	uint32_t count =
	    (uint32_t)g_rand_int_range(run->rand, 1, JOB_TASKS_MAX + 1);
	unsigned team = (unsigned)g_rand_int_range(run->rand, 0, TEAM_COUNT);
	struct mst_task_spec tasks[JOB_TASKS_MAX] = {0};
	char paths[JOB_TASKS_MAX][20];
	char name[16];
	struct mst_job_spec spec = {.timeout_ms = JOB_TIMEOUT_MS,
	    .count = count,
	    .tasks = tasks,
	    .team = name};
	struct outcome outcome = {
	    .submitted_us = sim_now(run->sim), .tasks = count};
	uint64_t id;
	uint32_t i;

	/* The flood is added to the load of the other teams. */
	if (run->scenario->fault == FAULT_FLOOD && is_fault_active(run) &&
	    g_rand_double(run->rand) < 0.8)
		team = 0;
	outcome.team = team;
	snprintf(name, sizeof(name), "team%u", team);
	for (i = 0; i < count; i++) {
		double service_us = exp(g_rand_double_range(
		    run->rand, log(TASK_MIN_US), log(TASK_MAX_US)));

		snprintf(
		    paths[i], sizeof(paths[i]), "/%uus", (unsigned)service_us);
		tasks[i].method = mst_bytes_from_str("POST");
		tasks[i].path = mst_bytes_from_str(paths[i]);
		tasks[i].declared_us = (uint32_t)service_us;
		tasks[i].flags =
		    run->scenario->idempotent ? MST_TASK_IDEMPOTENT : 0;
		outcome.service_us += service_us;
	}
	g_array_append_val(run->outcomes, outcome);
	id = sim_submit(run->sim, run->entry, &spec);
	g_hash_table_insert(run->outcome_by_request, GSIZE_TO_POINTER(id),
	    GUINT_TO_POINTER(run->outcomes->len));
}

static double
arrival_rate(const struct run *run)
{
	double capacity = AGENT_COUNT * AGENT_SLOTS;
	double job_us = TASK_MEAN_US * (JOB_TASKS_MAX + 1) / 2;
	double full_rate = capacity * G_USEC_PER_SEC / job_us;
	double at_s = elapsed_s(run);

	if (run->scenario->fault == FAULT_BURST && at_s >= FAULT_START_S &&
	    at_s < FAULT_START_S + 5)
		return full_rate * 10;
	if (run->scenario->fault == FAULT_FLOOD && is_fault_active(run))
		return full_rate * run->scenario->load * 5;
	return full_rate * run->scenario->load;
}

/* Crashes five of the eleven agents, or starts them again. */
static void
set_half_crashed(struct run *run, bool crashed)
{
	int i;

	for (i = 0; i < AGENT_COUNT / 2; i++) {
		if (crashed)
			sim_kill(run->sim, run->agents[i]);
		else
			sim_restart(run->sim, run->agents[i]);
	}
}

static void
generate_load(struct run *run)
{
	double next_us = sim_now(run->sim);
	bool crashed = false, restarted = false;

	while (elapsed_s(run) < LOAD_DURATION_S) {
		next_us -= log(g_rand_double_range(run->rand, 1e-9, 1)) /
		    arrival_rate(run) * G_USEC_PER_SEC;
		sim_run_until(run->sim, (int64_t)next_us);
		if (run->scenario->fault == FAULT_CRASHES && !crashed &&
		    elapsed_s(run) >= FAULT_START_S) {
			crashed = true;
			set_half_crashed(run, true);
		}
		if (crashed && !restarted && elapsed_s(run) >= FAULT_END_S) {
			restarted = true;
			set_half_crashed(run, false);
		}
		submit_job(run);
	}
	sim_run_until(run->sim, sim_now(run->sim) + 10 * G_USEC_PER_SEC);
}

/*
 * Prints the results of the jobs due from one second (inclusive) to another
 * (exclusive).
 *
 * @param team -1: all teams; 0: only the flooding team; 1: all others
 */
static void
print_outcomes(const struct run *run, const char *label, double from_s,
    double to_s, int team)
{
	GArray *response_times_us = g_array_new(FALSE, FALSE, sizeof(double));
	unsigned complete = 0, refused = 0, failed = 0, refused_late = 0;
	double service_us = 0, capacity_us, p50_us = 0, p99_us = 0;
	guint i;

	for (i = 0; i < run->outcomes->len; i++) {
		const struct outcome *outcome =
		    &g_array_index(run->outcomes, struct outcome, i);
		double due_s =
		    (double)outcome->submitted_us / G_USEC_PER_SEC - 4;

		if (due_s < from_s || due_s >= to_s ||
		    (team >= 0 && (outcome->team == 0) != (team == 0)))
			continue;
		complete += outcome->complete;
		refused += outcome->refused;
		failed += !outcome->complete && !outcome->refused;
		if (outcome->refused && outcome->response_us > 0)
			refused_late++;
		if (!outcome->complete)
			continue;
		service_us += outcome->service_us;
		g_array_append_val(response_times_us, outcome->response_us);
	}
	mst_stats_sort(response_times_us);
	if (response_times_us->len > 0) {
		p50_us = mst_stats_quantile(response_times_us, 0.5);
		p99_us = mst_stats_quantile(response_times_us, 0.99);
	}
	capacity_us =
	    (to_s - from_s) * AGENT_COUNT * AGENT_SLOTS * G_USEC_PER_SEC;
	printf("  %-16s complete %6u refused %6u failed %5u  goodput %5.1f%%"
	       "  p50 %5.0f ms p99 %5.0f ms%s\n",
	    label, complete, refused, failed, service_us / capacity_us * 100,
	    p50_us / 1000, p99_us / 1000,
	    refused_late ? "  LATE REFUSALS" : "");
	g_array_unref(response_times_us);
}

static void
print_results(const struct run *run)
{
	const struct mst_entry_counters *counters =
	    mst_entry_counters(sim_get_entry(run->sim, run->entry));
	bool is_flood = run->scenario->fault == FAULT_FLOOD;

	printf("%s\n", run->scenario->name);
	print_outcomes(run, "before", 2, FAULT_START_S, is_flood ? 1 : -1);
	print_outcomes(
	    run, "during", FAULT_START_S, FAULT_END_S, is_flood ? 1 : -1);
	if (is_flood)
		print_outcomes(
		    run, "flooding team", FAULT_START_S, FAULT_END_S, 0);
	print_outcomes(run, "after, 0 to 5 s", FAULT_END_S, FAULT_END_S + 5,
	    is_flood ? 1 : -1);
	print_outcomes(run, "after, from 5 s", FAULT_END_S + 5, LOAD_DURATION_S,
	    is_flood ? 1 : -1);
	printf("  share of starts at the first upstream %.2f%%, ejections "
	       "%" G_GUINT64_FORMAT ", retries %" G_GUINT64_FORMAT
	       ", wasted messages per task %.4f, repeated starts %u\n",
	    100.0 * run->starts[0] / MAX(run->starts[1], 1),
	    counters->ejections, counters->retries,
	    (double)(counters->dispatches_repeated + counters->retries +
		2 * counters->withdrawals + counters->results_late +
		counters->results_repeated) /
		(double)MAX(counters->tasks, 1),
	    sim_count_repeated_starts(run->sim));
}

static void
run_scenario(const struct scenario *scenario, uint32_t seed, const char *policy)
{
	struct run run = {.scenario = scenario};
	struct sim_options options = {.seed = seed,
	    .latency_us = 500,
	    .get_task_result = serve_task,
	    .on_answer = on_answer,
	    .ctx = &run};
	struct mst_agent_options agent_options = MST_AGENT_OPTIONS_INIT;
	char document[512], name[16];
	int i;

	run.rand = g_rand_new_with_seed(seed);
	run.sim = sim_new(&options);
	run.outcomes = g_array_new(FALSE, TRUE, sizeof(struct outcome));
	run.outcome_by_request =
	    g_hash_table_new(g_direct_hash, g_direct_equal);
	run.entry = sim_add_entry(run.sim, "E1");
	snprintf(document, sizeof(document),
	    "{\"policy\":{%s},\"default_team\":{\"quota_tasks\":1000000}}",
	    policy);
	sim_configure(run.sim, run.entry, 1, document);
	agent_options.slots = AGENT_SLOTS;
	for (i = 0; i < AGENT_COUNT; i++) {
		snprintf(name, sizeof(name), "A%d", i + 1);
		run.agents[i] = sim_add_agent(run.sim, name, &agent_options);
	}
	sim_run_until(run.sim, 4 * G_USEC_PER_SEC);
	generate_load(&run);
	print_results(&run);
	sim_free(run.sim);
	g_rand_free(run.rand);
	g_array_unref(run.outcomes);
	g_hash_table_unref(run.outcome_by_request);
}

int
main(int argc, char **argv)
{
	static const struct scenario scenarios[] = {
	    {"no fault, 70 %", FAULT_NONE, 0.7, false},
	    {"burst of ten times capacity for 5 s, 70 %", FAULT_BURST, 0.7,
		false},
	    {"sustained 150 %", FAULT_SUSTAINED, 1.5, false},
	    {"one upstream fails every task, 70 %", FAULT_FAILING, 0.7, false},
	    {"one upstream fails every task, tasks idempotent, 70 %",
		FAULT_FAILING, 0.7, true},
	    {"one upstream at a tenth of its speed, 70 %", FAULT_SLOW, 0.7,
		false},
	    {"one upstream hangs, tasks idempotent, 70 %", FAULT_HANG, 0.7,
		true},
	    {"five of eleven agents crash together, tasks idempotent, 40 %",
		FAULT_CRASHES, 0.4, true},
	    {"one of 20 teams floods, 30 % from the others", FAULT_FLOOD, 0.3,
		false},
	};
	uint32_t seed = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		run_scenario(&scenarios[i], seed, argc > 2 ? argv[2] : "");
	return 0;
}
