/* Random faults of leased entries, agents and workers, and their callers. */

#include "sim/scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/worker.h"

#define MS              INT64_C(1000)
#define RESEND_MS       1300 /* from a broken connection to the next attempt */
#define SHORT_RESEND_MS 700  /* the same, for every fourth seed */
#define FAULTS_END_MS   SCENARIO_FAULTS_END_MS
#define RECORDED_END_MS 12000
/* An order may be held up for 12 s after the last fault. */
#define LATE_END_MS (FAULTS_END_MS + 14000)
/* Half of the seeds have longer tasks, which still run when an order is carried
 * out late, and callers that wait for them. */
#define LONG_END_MS      (FAULTS_END_MS + 30000)
#define LONG_DEADLINE_MS 8000
#define LONG_TASK_FACTOR 8
#define LONG_TASK_SHARE  4 /* one task in so many */
#define CLOCK_STEP_MS    10
#define LATE_REPORTS     0.1  /* probability that a report also comes late */
#define ISOLATION_MAX_MS 1500 /* until a worker's restart, and from then on */

static struct sim_task_result
serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct scenario *scenario = ctx;
	char *key = g_strndup(task->path.data, 16);
	guint start_count =
	    GPOINTER_TO_UINT(g_hash_table_lookup(scenario->starts, key));
	struct sim_task_result service = {.outcome = MST_OUTCOME_DONE,
	    .status = 200,
	    .duration_us =
		(20 + g_rand_int_range(scenario->rand, 0, 600)) * MS};

	if (scenario->has_long_tasks &&
	    g_rand_int_range(scenario->rand, 0, LONG_TASK_SHARE) == 0)
		service.duration_us *= LONG_TASK_FACTOR;
	if (g_rand_int_range(scenario->rand, 0, 50) == 0)
		service.status = 500;
	if (scenario->tasks_hang ||
	    g_rand_int_range(scenario->rand, 0, 100) == 0)
		service.duration_us = -1;
	g_hash_table_replace(
	    scenario->starts, key, GUINT_TO_POINTER(start_count + 1));
	return service;
}

void
scenario_submit(struct scenario *scenario, struct caller *caller)
{
	struct mst_task_spec tasks[SCENARIO_TASKS_MAX] = {0};
	char names[SCENARIO_TASKS_MAX][40];
	struct mst_job_spec spec = {.team = "queue",
	    .timeout_ms = scenario->deadline_ms,
	    .count = caller->count,
	    .tasks = tasks,
	    .restartable = true,
	    .key = caller->key,
	    .service = "service",
	    .attempts = 2,
	    .stretch = 1.6,
	    .target_ms = 60};
	uint32_t i;

	for (i = 0; i < caller->count; i++) {
		snprintf(
		    names[i], sizeof(names[i]), "%s.0.0.%u", caller->key, i);
		tasks[i] =
		    (struct mst_task_spec){.path = mst_bytes_from_str(names[i]),
			.flags = MST_TASK_RESTARTABLE,
			.declared_us = caller->service_ms * 1000,
			.needs = {.millicores = 1000}};
	}
	caller->attempts++;
	caller->due_ms = 0;
	caller->give_up_ms = scenario->now_ms + scenario->deadline_ms;
	caller->request = sim_submit(
	    scenario->sim, scenario->cluster.entries[caller->entry], &spec);
}

/* Schedules another attempt; a caller gives up after the third. */
static void
schedule_resend(struct scenario *scenario, struct caller *caller)
{
	caller->request = 0;
	caller->may_have_run = true;
	if (caller->attempts >= 3)
		caller->finished = true;
	else
		caller->due_ms = scenario->now_ms + scenario->resend_ms;
}

void
scenario_disconnect(struct scenario *scenario, struct caller *caller)
{
	if (caller->request != 0)
		sim_disconnect(scenario->sim, caller->request);
	caller->waits_for_entry = false;
	schedule_resend(scenario, caller);
}

/* Ends an attempt that got no answer in time. The caller closes its connection,
 * and may come back as after a broken one. */
static void
time_out(struct scenario *scenario, struct caller *caller)
{
	caller->may_have_run = true;
	if (scenario->faults == 0 || g_rand_boolean(scenario->rand)) {
		caller->finished = true;
		return;
	}
	scenario_disconnect(scenario, caller);
}

/* Returns the time after its deadline at which a caller gives up. The recorded
 * seeds have some patience. */
static int64_t
patience_ms(const struct scenario *scenario)
{
	return scenario->faults == 0 ? 200 : 0;
}

bool
scenario_member_is_calm(const struct scenario *scenario, int member)
{
	return scenario->restart_ms[member] == 0 &&
	    scenario->resume_ms[member] == 0 &&
	    scenario->slow_until_ms[member] == 0;
}

/* Submits a caller's job at a random entry, which may be slow. */
static void
submit_somewhere(struct scenario *scenario, struct caller *caller)
{
	caller->entry = g_rand_int_range(scenario->rand, 0, SCENARIO_ENTRIES);
	if (scenario_member_is_calm(scenario, caller->entry))
		scenario_submit(scenario, caller);
	else if (scenario->slow_until_ms[caller->entry] != 0)
		caller->waits_for_entry = true;
}

/* Handles a caller whose request waits for a slow entry to read it. */
static void
advance_waiting_caller(struct scenario *scenario, struct caller *caller)
{
	if (scenario->restart_ms[caller->entry] != 0) {
		scenario_disconnect(scenario, caller);
	} else if (scenario_member_is_calm(scenario, caller->entry) ||
	    scenario->iterate_ms[caller->entry] == scenario->now_ms) {
		caller->waits_for_entry = false;
		scenario_submit(scenario, caller);
	}
}

static void
caller_record_answer(struct scenario *scenario, struct caller *caller,
    const struct sim_request *request)
{
	bool not_run = request->refused ||
	    (request->state == MST_JOB_FAILED && !request->may_have_run);

	scenario->answered++;
	scenario->completed += request->state == MST_JOB_COMPLETE;
	caller->may_have_run |= !not_run;
	caller->finished = true;
}

/*
 * Submits a caller's job when an attempt is due, or handles the answer or a
 * broken connection of the present attempt. Breaks some connections at random.
 */
static void
advance_caller(struct scenario *scenario, struct caller *caller)
{
	const struct sim_request *request;

	if (caller->finished)
		return;
	if (caller->waits_for_entry) {
		advance_waiting_caller(scenario, caller);
		return;
	}
	if (caller->request == 0) {
		if (scenario->now_ms < caller->due_ms)
			return;
		submit_somewhere(scenario, caller);
		return;
	}
	request = sim_get_request(scenario->sim, caller->request);
	if (request->answered_us != 0)
		caller_record_answer(scenario, caller, request);
	else if (scenario->restart_ms[caller->entry] != 0)
		schedule_resend(scenario, caller); /* connection broken */
	else if (scenario->now_ms < FAULTS_END_MS &&
	    g_rand_int_range(scenario->rand, 0, 2000) == 0) {
		scenario_disconnect(scenario, caller);
	} else if (scenario->now_ms >=
	    caller->give_up_ms + patience_ms(scenario)) {
		time_out(scenario, caller); /* the entry is paused or slow */
	}
}

void
scenario_add_caller(struct scenario *scenario)
{
	struct caller *caller = g_new0(struct caller, 1);

	snprintf(caller->key, sizeof(caller->key), "%016x",
	    scenario->callers->len + 1);
	caller->count = (uint32_t)g_rand_int_range(
	    scenario->rand, 1, SCENARIO_TASKS_MAX + 1);
	caller->service_ms =
	    (uint32_t)g_rand_int_range(scenario->rand, 20, 600);
	caller->due_ms = scenario->now_ms;
	g_ptr_array_add(scenario->callers, caller);
}

static void
cut_random_links(struct scenario *scenario)
{
	cluster_cut_random_links(&scenario->cluster, scenario->rand);
	scenario->restore_links_ms =
	    scenario->now_ms + g_rand_int_range(scenario->rand, 200, 3000);
}

static void
inject_recorded_fault(struct scenario *scenario)
{
	int member = g_rand_int_range(scenario->rand, 0, SCENARIO_MEMBERS);
	int agent =
	    scenario->cluster
		.agents[g_rand_int_range(scenario->rand, 0, SCENARIO_WORKERS)];
	struct sim_worker *worker = sim_get_worker(scenario->sim, agent);
	int64_t until_ms =
	    scenario->now_ms + g_rand_int_range(scenario->rand, 50, 4000);

	switch (g_rand_int_range(scenario->rand, 0, 6)) {
	case 0:
		if (scenario->restart_ms[member] != 0 ||
		    scenario->resume_ms[member] != 0)
			break;
		sim_kill(
		    scenario->sim, cluster_node(&scenario->cluster, member));
		scenario->restart_ms[member] = until_ms;
		break;
	case 1:
		if (scenario->restart_ms[member] != 0 ||
		    scenario->resume_ms[member] != 0)
			break;
		sim_pause(
		    scenario->sim, cluster_node(&scenario->cluster, member));
		scenario->resume_ms[member] = until_ms;
		break;
	case 2:
		if (scenario->restore_links_ms == 0)
			cut_random_links(scenario);
		break;
	case 3:
		sim_worker_restart(worker);
		break;
	case 4:
		sim_worker_set_late_probability(worker, 0.15);
		break;
	case 5:
		sim_worker_set_unavailable(
		    worker, g_rand_boolean(scenario->rand));
		break;
	}
}

/* Isolates a random worker from its agent, to be restarted before it returns.
 */
static void
isolate_random_worker(struct scenario *scenario)
{
	int index = g_rand_int_range(scenario->rand, 0, SCENARIO_WORKERS);

	if (scenario->worker_return_ms[index] != 0)
		return;
	scenario->worker_restart_ms[index] = scenario->now_ms +
	    g_rand_int_range(scenario->rand, 50, ISOLATION_MAX_MS);
	scenario->worker_return_ms[index] = scenario->worker_restart_ms[index] +
	    g_rand_int_range(scenario->rand, 50, ISOLATION_MAX_MS);
	sim_worker_set_unavailable(
	    sim_get_worker(scenario->sim, scenario->cluster.agents[index]),
	    true);
}

/* Restarts and connects the isolated workers whose time has come, or all. */
static void
advance_isolated_workers(struct scenario *scenario, bool all)
{
	int i;

	for (i = 0; i < SCENARIO_WORKERS; i++) {
		struct sim_worker *worker =
		    sim_get_worker(scenario->sim, scenario->cluster.agents[i]);

		if (scenario->worker_restart_ms[i] != 0 &&
		    (all ||
			scenario->now_ms >= scenario->worker_restart_ms[i])) {
			sim_worker_restart(worker);
			scenario->worker_restart_ms[i] = 0;
		}
		if (scenario->worker_return_ms[i] != 0 &&
		    (all ||
			scenario->now_ms >= scenario->worker_return_ms[i])) {
			sim_worker_set_unavailable(worker, false);
			scenario->worker_return_ms[i] = 0;
		}
	}
}

static void
restore_links(struct scenario *scenario)
{
	cluster_restore_links(&scenario->cluster);
	sim_deliver_held_messages(scenario->sim);
	scenario->restore_links_ms = 0;
}

/* Ends the faults whose time is over, or all of them. */
static void
end_faults(struct scenario *scenario, bool all)
{
	int member;

	for (member = 0; member < SCENARIO_ENTRIES + SCENARIO_WORKERS;
	     member++) {
		if (scenario->restart_ms[member] != 0 &&
		    (all || scenario->now_ms >= scenario->restart_ms[member])) {
			cluster_restart(&scenario->cluster, member);
			scenario->restart_ms[member] = 0;
		}
		if (scenario->resume_ms[member] != 0 &&
		    (all || scenario->now_ms >= scenario->resume_ms[member])) {
			sim_resume(scenario->sim,
			    cluster_node(&scenario->cluster, member));
			scenario->resume_ms[member] = 0;
		}
	}
	if (scenario->restore_links_ms != 0 &&
	    (all || scenario->now_ms >= scenario->restore_links_ms))
		restore_links(scenario);
	random_faults_advance(scenario, all);
	advance_isolated_workers(scenario, all);
	if (all)
		cluster_clear_worker_faults(&scenario->cluster);
}

struct scenario *
scenario_new(uint32_t seed)
{
	return scenario_new_with_faults(seed, 0);
}

struct scenario *
scenario_new_with_faults(uint32_t seed, unsigned faults)
{
	const struct mst_resources capacity = {
	    .millicores = 8000, .memory_mb = 1024};
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct sim_options options = {.seed = seed,
	    .latency_us = 500,
	    .jitter_us = 300,
	    .leased = true,
	    .resend_ms = seed % 4 == 0 ? SHORT_RESEND_MS : RESEND_MS,
	    .get_task_result = serve_task,
	    .verbose = getenv("MST_TEST_LOG") != NULL,
	    .on_log = cluster_log_stderr,
	    .ctx = scenario};

	if (faults != 0) {
		options.worker_reports = options.separate_connections = true;
		if (faults & (1U << FAULT_REPORTS))
			options.late_report_probability = LATE_REPORTS;
	}
	scenario->faults = faults;
	scenario->has_long_tasks = faults != 0 && seed % 2 == 1;
	scenario->deadline_ms =
	    scenario->has_long_tasks ? LONG_DEADLINE_MS : SCENARIO_DEADLINE_MS;
	scenario->seed = seed;
	scenario->resend_ms = options.resend_ms;
	scenario->rand = g_rand_new_with_seed(seed);
	scenario->starts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	scenario->callers = g_ptr_array_new_with_free_func(g_free);
	scenario->sim = sim_new(&options);
	cluster_init(&scenario->cluster, scenario->sim, SCENARIO_ENTRIES,
	    SCENARIO_WORKERS, &capacity);
	if (faults != 0)
		random_faults_begin(scenario);
	return scenario;
}

void
scenario_free(struct scenario *scenario)
{
	sim_free(scenario->sim);
	g_hash_table_unref(scenario->starts);
	g_ptr_array_unref(scenario->callers);
	g_rand_free(scenario->rand);
	g_free(scenario);
}

static void
scenario_step(struct scenario *scenario, bool faults)
{
	guint i;

	scenario->now_ms += CLOCK_STEP_MS;
	sim_run_until(scenario->sim, G_USEC_PER_SEC + scenario->now_ms * MS);
	end_faults(scenario, false);
	if (faults && g_rand_int_range(scenario->rand, 0, 30) == 0) {
		if (scenario->faults != 0)
			random_faults_inject(scenario);
		else if (scenario->isolates_workers)
			isolate_random_worker(scenario);
		else
			inject_recorded_fault(scenario);
	}
	if (scenario->now_ms % SCENARIO_JOB_INTERVAL_MS == 0 &&
	    scenario->now_ms < FAULTS_END_MS)
		scenario_add_caller(scenario);
	for (i = 0; i < scenario->callers->len; i++)
		advance_caller(scenario, scenario->callers->pdata[i]);
}

static void
check_answers(const struct scenario *scenario)
{
	guint i;

	for (i = 0; i < scenario->callers->len; i++) {
		const struct caller *caller = scenario->callers->pdata[i];
		guint starts = GPOINTER_TO_UINT(
		    g_hash_table_lookup(scenario->starts, caller->key));

		if (!caller->finished)
			g_test_message("seed %u: caller %s has no answer",
			    scenario->seed, caller->key);
		g_assert_true(caller->finished);
		if (!caller->may_have_run)
			g_assert_cmpuint(starts, ==, 0);
	}
}

/* No crash or restart may be seen if no worker has ended. */
static void
check_crashes(const struct scenario *scenario)
{
	unsigned ends = 1U << FAULT_RESTART | 1U << FAULT_POWER;

	if (scenario->faults & ends)
		return;
	if (sim_crash_count(scenario->sim) > 0)
		g_test_message("seed %u: a crash was recorded without any",
		    scenario->seed);
	g_assert_cmpuint(sim_crash_count(scenario->sim), ==, 0);
	g_assert_cmpuint(sim_restart_count(scenario->sim), ==, 0);
}

void
scenario_check_members(const struct scenario *scenario)
{
	int i;

	for (i = 0; i < SCENARIO_ENTRIES; i++) {
		const struct mst_entry *entry =
		    sim_get_entry(scenario->sim, scenario->cluster.entries[i]);
		uint32_t active = mst_entry_gauges(entry).members_active;

		if (active != SCENARIO_WORKERS)
			g_test_message("seed %u: entry%d has %u active members",
			    scenario->seed, i + 1, active);
		g_assert_cmpuint(active, ==, SCENARIO_WORKERS);
	}
}

static int64_t
get_end_ms(const struct scenario *scenario)
{
	if (scenario->faults == 0)
		return RECORDED_END_MS;
	return scenario->has_long_tasks ? LONG_END_MS : LATE_END_MS;
}

void
scenario_run(struct scenario *scenario, bool faults, unsigned *completed)
{
	uint32_t seed = scenario->seed;
	int64_t end_ms = get_end_ms(scenario);
	int i;

	while (scenario->now_ms < FAULTS_END_MS)
		scenario_step(scenario, faults && scenario->now_ms > 1000);
	end_faults(scenario, true);
	while (scenario->now_ms < end_ms)
		scenario_step(scenario, false);
	if (sim_overlap_count(scenario->sim) > 0)
		g_test_message("seed %u: runs of a task overlapped", seed);
	g_assert_cmpuint(sim_overlap_count(scenario->sim), ==, 0);
	check_answers(scenario);
	if (scenario->faults != 0)
		scenario_check_members(scenario);
	if (scenario->faults != 0)
		check_crashes(scenario);
	for (i = 0; i < SCENARIO_WORKERS; i++) {
		if (sim_worker_run_count(sim_get_worker(
			scenario->sim, scenario->cluster.agents[i])) > 0)
			g_test_message(
			    "seed %u: worker of agent%d still runs %s", seed,
			    i + 1,
			    sim_worker_first_task(sim_get_worker(
				scenario->sim, scenario->cluster.agents[i])));
		g_assert_cmpuint(
		    sim_worker_run_count(sim_get_worker(
			scenario->sim, scenario->cluster.agents[i])),
		    ==, 0);
	}
	*completed += scenario->completed;
	scenario_free(scenario);
}
