/*
 * Load and faults on the reducers under a paused clock: bursts, sustained
 * overload, upstreams that fail, hang, slow down or are lost, a team that
 * floods. Results repeat to the digit.
 *
 * Usage: bench-overload [SEED] [POLICY-JSON]
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/stats.h"
#include "sim/sim.h"

#define CASE_AGENTS     11
#define CASE_SLOTS      8
#define CASE_TASKS_MAX  4
#define CASE_TASK_MIN   50000
#define CASE_TASK_MAX   300000
#define CASE_TASK_MEAN  139500.0 /* of the log-uniform draw */
#define CASE_TIMEOUT_MS 5000
#define CASE_SECONDS    40
#define CASE_FAULT_S    10.0
#define CASE_MEND_S     20.0
#define CASE_TEAMS      20

enum fault {
	FAULT_NONE = 0,
	FAULT_BURST, /* ten times the rate for 5 s */
	FAULT_SUSTAINED,
	FAULT_FAILING, /* one upstream fails everything */
	FAULT_SLOW,    /* one upstream at a tenth of its speed */
	FAULT_HANG,    /* one upstream answers nothing */
	FAULT_HALF,    /* five agents are lost, and return */
	FAULT_FLOOD    /* one team sends ten times its share */
};

struct scenario {
	const char *name;
	enum fault fault;
	double load;
	bool idempotent;
};

/* What became of one job. */
struct outcome {
	int64_t due_us;
	double took_us;
	uint32_t tasks;
	double work_us;
	unsigned team;
	bool complete, refused;
};

struct run {
	const struct scenario *scenario;
	struct sim *sim;
	GRand *rand;
	int entry;
	int agents[CASE_AGENTS];
	GArray *outcomes;           /* struct outcome */
	GHashTable *by_request;     /* request -> index + 1 */
	unsigned drawn_by_first[2]; /* tasks: by the first agent, by all */
	double second;              /* into the run */
};

static double
seconds(const struct run *run)
{
	return (double)sim_now(run->sim) / G_USEC_PER_SEC - 4;
}

static bool
fault_is_on(const struct run *run)
{
	double s = seconds(run);

	return s >= CASE_FAULT_S && s < CASE_MEND_S;
}

static struct sim_service
serve(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct run *run = ctx;
	struct sim_service service = {
	    .outcome = MST_OUTCOME_DONE, .status = 200};
	bool first = agent == run->agents[0];
	double s = seconds(run);

	service.duration_us = (int64_t)strtol(task->path.data + 1, NULL, 10);
	/* The first second after the fault is not counted. */
	if (s >= CASE_FAULT_S + 1 && s < CASE_MEND_S) {
		run->drawn_by_first[0] += first;
		run->drawn_by_first[1]++;
	}
	if (!first || !fault_is_on(run))
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
	guint at = GPOINTER_TO_UINT(g_hash_table_lookup(
	    run->by_request, GSIZE_TO_POINTER(request->id)));
	struct outcome *o;

	/* Refused within the call that hands it in. */
	if (at == 0)
		at = run->outcomes->len;
	o = &g_array_index(run->outcomes, struct outcome, at - 1);
	o->refused = request->refused;
	o->complete = !request->refused && request->state == MST_JOB_COMPLETE;
	o->took_us = (double)(request->answered_us - o->due_us);
}

static void
submit(struct run *run)
{
	uint32_t count =
	    (uint32_t)g_rand_int_range(run->rand, 1, CASE_TASKS_MAX + 1);
	unsigned team = (unsigned)g_rand_int_range(run->rand, 0, CASE_TEAMS);
	struct mst_task_spec tasks[CASE_TASKS_MAX] = {0};
	char paths[CASE_TASKS_MAX][20];
	char name[16];
	struct mst_job_spec spec = {.timeout_ms = CASE_TIMEOUT_MS,
	    .count = count,
	    .tasks = tasks,
	    .team = name};
	struct outcome o = {.due_us = sim_now(run->sim), .tasks = count};
	uint64_t id;
	uint32_t i;

	/* A flood comes from one team, on top of what the others send. */
	if (run->scenario->fault == FAULT_FLOOD && fault_is_on(run) &&
	    g_rand_double(run->rand) < 0.8)
		team = 0;
	o.team = team;
	snprintf(name, sizeof(name), "team%u", team);
	for (i = 0; i < count; i++) {
		double us = exp(g_rand_double_range(
		    run->rand, log(CASE_TASK_MIN), log(CASE_TASK_MAX)));

		snprintf(paths[i], sizeof(paths[i]), "/%uus", (unsigned)us);
		tasks[i].method = mst_bytes_from_str("POST");
		tasks[i].path = mst_bytes_from_str(paths[i]);
		tasks[i].declared_us = (uint32_t)us;
		tasks[i].flags =
		    run->scenario->idempotent ? MST_TASK_IDEMPOTENT : 0;
		o.work_us += us;
	}
	g_array_append_val(run->outcomes, o);
	id = sim_submit(run->sim, run->entry, &spec);
	g_hash_table_insert(run->by_request, GSIZE_TO_POINTER(id),
	    GUINT_TO_POINTER(run->outcomes->len));
}

static double
rate(const struct run *run)
{
	double capacity = CASE_AGENTS * CASE_SLOTS;
	double per_job = CASE_TASK_MEAN * (CASE_TASKS_MAX + 1) / 2;
	double base = capacity * G_USEC_PER_SEC / per_job;
	double s = seconds(run);

	if (run->scenario->fault == FAULT_BURST && s >= CASE_FAULT_S &&
	    s < CASE_FAULT_S + 5)
		return base * 10;
	if (run->scenario->fault == FAULT_FLOOD && fault_is_on(run))
		return base * run->scenario->load * 5;
	return base * run->scenario->load;
}

static void
half(struct run *run, bool lost)
{
	int i;

	for (i = 0; i < CASE_AGENTS / 2; i++) {
		if (lost)
			sim_kill(run->sim, run->agents[i]);
		else
			sim_restart(run->sim, run->agents[i]);
	}
}

static void
drive(struct run *run)
{
	double at = sim_now(run->sim);
	bool lost = false, back = false;

	while (seconds(run) < CASE_SECONDS) {
		at -= log(g_rand_double_range(run->rand, 1e-9, 1)) / rate(run) *
		    G_USEC_PER_SEC;
		sim_run_until(run->sim, (int64_t)at);
		if (run->scenario->fault == FAULT_HALF && !lost &&
		    seconds(run) >= CASE_FAULT_S) {
			lost = true;
			half(run, true);
		}
		if (lost && !back && seconds(run) >= CASE_MEND_S) {
			back = true;
			half(run, false);
		}
		submit(run);
	}
	sim_run_until(run->sim, sim_now(run->sim) + 10 * G_USEC_PER_SEC);
}

/* Prints what became of the jobs due in a window of the run. */
static void
print_window(
    const struct run *run, const char *label, double from, double to, int team)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	unsigned complete = 0, refused = 0, failed = 0, late = 0;
	double work = 0, capacity, p50 = 0, p99 = 0;
	guint i;

	for (i = 0; i < run->outcomes->len; i++) {
		const struct outcome *o =
		    &g_array_index(run->outcomes, struct outcome, i);
		double s = (double)o->due_us / G_USEC_PER_SEC - 4;

		if (s < from || s >= to ||
		    (team >= 0 && (o->team == 0) != (team == 0)))
			continue;
		complete += o->complete;
		refused += o->refused;
		failed += !o->complete && !o->refused;
		if (o->refused && o->took_us > 0)
			late++;
		if (!o->complete)
			continue;
		work += o->work_us;
		g_array_append_val(times, o->took_us);
	}
	mst_stats_sort(times);
	if (times->len > 0) {
		p50 = mst_stats_quantile(times, 0.5);
		p99 = mst_stats_quantile(times, 0.99);
	}
	capacity = (to - from) * CASE_AGENTS * CASE_SLOTS * G_USEC_PER_SEC;
	printf("  %-16s complete %6u refused %6u failed %5u  goodput %5.1f%%"
	       "  p50 %5.0f ms p99 %5.0f ms%s\n",
	    label, complete, refused, failed, work / capacity * 100, p50 / 1000,
	    p99 / 1000, late ? "  LATE REFUSALS" : "");
	g_array_unref(times);
}

static void
print_run(const struct run *run)
{
	const struct mst_entry_counters *c =
	    mst_entry_counters(sim_get_entry(run->sim, run->entry));
	bool flood = run->scenario->fault == FAULT_FLOOD;

	printf("%s\n", run->scenario->name);
	print_window(run, "before", 2, CASE_FAULT_S, flood ? 1 : -1);
	print_window(run, "during", CASE_FAULT_S, CASE_MEND_S, flood ? 1 : -1);
	if (flood)
		print_window(
		    run, "flooding team", CASE_FAULT_S, CASE_MEND_S, 0);
	print_window(
	    run, "after, 5 s", CASE_MEND_S, CASE_MEND_S + 5, flood ? 1 : -1);
	print_window(run, "after, the rest", CASE_MEND_S + 5, CASE_SECONDS,
	    flood ? 1 : -1);
	printf("  first upstream's share of starts %.2f%%, ejections "
	       "%" G_GUINT64_FORMAT ", retries %" G_GUINT64_FORMAT
	       ", wasted a task %.4f, starts repeated %u\n",
	    100.0 * run->drawn_by_first[0] / MAX(run->drawn_by_first[1], 1),
	    c->ejections, c->retries,
	    (double)(c->dispatches_repeated + c->retries + 2 * c->withdrawals +
		c->results_late + c->results_repeated) /
		(double)MAX(c->tasks, 1),
	    sim_starts_repeated(run->sim));
}

static void
run_case(const struct scenario *scenario, uint32_t seed, const char *policy)
{
	struct run run = {.scenario = scenario};
	struct sim_options options = {.seed = seed,
	    .latency_us = 500,
	    .service = serve,
	    .on_answer = on_answer,
	    .ctx = &run};
	struct mst_agent_options agent = MST_AGENT_OPTIONS_INIT;
	char document[512], name[16];
	int i;

	run.rand = g_rand_new_with_seed(seed);
	run.sim = sim_new(&options);
	run.outcomes = g_array_new(FALSE, TRUE, sizeof(struct outcome));
	run.by_request = g_hash_table_new(g_direct_hash, g_direct_equal);
	run.entry = sim_add_entry(run.sim, "E1");
	snprintf(document, sizeof(document),
	    "{\"policy\":{%s},\"default_team\":{\"quota_tasks\":1000000}}",
	    policy);
	sim_configure(run.sim, run.entry, 1, document);
	agent.slots = CASE_SLOTS;
	for (i = 0; i < CASE_AGENTS; i++) {
		snprintf(name, sizeof(name), "A%d", i + 1);
		run.agents[i] = sim_add_agent(run.sim, name, &agent);
	}
	sim_run_until(run.sim, 4 * G_USEC_PER_SEC);
	drive(&run);
	print_run(&run);
	sim_free(run.sim);
	g_rand_free(run.rand);
	g_array_unref(run.outcomes);
	g_hash_table_unref(run.by_request);
}

int
main(int argc, char **argv)
{
	static const struct scenario scenarios[] = {
	    {"no fault, 70 %", FAULT_NONE, 0.7, false},
	    {"burst of ten times capacity for 5 s, 70 %", FAULT_BURST, 0.7,
		false},
	    {"sustained 150 %", FAULT_SUSTAINED, 1.5, false},
	    {"one upstream fails everything, 70 %", FAULT_FAILING, 0.7, false},
	    {"the same, tasks idempotent", FAULT_FAILING, 0.7, true},
	    {"one upstream at a tenth of its speed, 70 %", FAULT_SLOW, 0.7,
		false},
	    {"one upstream hangs, tasks idempotent, 70 %", FAULT_HANG, 0.7,
		true},
	    {"five of eleven agents lost together, idempotent, 40 %",
		FAULT_HALF, 0.4, true},
	    {"one of 20 teams floods, 30 % from the others", FAULT_FLOOD, 0.3,
		false},
	};
	uint32_t seed = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		run_case(&scenarios[i], seed, argc > 2 ? argv[2] : "");
	return 0;
}
