/*
 * Leased entries and agents under faults: callers send a job again when its
 * answer fails to come, hosts die, freeze and are cut off, workers answer late
 * or are restarted. No task may run twice at once, nothing may run of what was
 * refused as not run, and everything gets an answer.
 *
 * MST_TEST_SEED=N plays one seed, MST_TEST_SEEDS=N as many from 1 on;
 * MST_TEST_LOG=1 writes what happens to standard error.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/cluster.h"
#include "sim/worker.h"

#define MS             INT64_C(1000)
#define ENTRIES        3
#define WORKERS        4
#define RESEND_MS      1300 /* a caller comes back after a broken connection */
#define RESEND_SOON_MS 700  /* on every fourth day */
#define DEADLINE_MS    1500
#define SEEDS          120
#define CALM_SEEDS     12
#define DAY_MS         12000
#define FAULTS_END_MS  8000
#define JOB_EVERY_MS   40
#define DAY_JOBS       (FAULTS_END_MS / JOB_EVERY_MS)
#define TASKS_MAX      5
#define CLOCK_STEP_MS  10

/* One job of a caller, over all its attempts. */
struct caller {
	char key[20];
	uint32_t count;
	uint32_t work_ms;
	uint64_t request; /* the present attempt; 0: none */
	int entry;
	int64_t due_ms; /* next attempt, or 0 */
	int64_t gives_up_ms;
	unsigned attempts;
	bool may_have_run; /* by any attempt's answer, or by none */
	bool settled;
};

struct day {
	struct sim *sim;
	GRand *rand;
	struct cluster cluster;
	int64_t restart_ms[ENTRIES + WORKERS]; /* 0: is up */
	int64_t resume_ms[ENTRIES + WORKERS];
	int64_t heal_ms;
	int64_t now_ms;
	GPtrArray *callers;
	GHashTable *starts; /* key -> count */
	unsigned answered;
	unsigned completed;
	uint32_t seed;
	uint32_t resend_ms;
	bool hang; /* tasks stand still */
};

static struct sim_service
serve(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct day *day = ctx;
	char *key = g_strndup(task->path.data, 16);
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(day->starts, key));
	struct sim_service service = {.outcome = MST_OUTCOME_DONE,
	    .status = 200,
	    .duration_us = (20 + g_rand_int_range(day->rand, 0, 600)) * MS};

	if (g_rand_int_range(day->rand, 0, 50) == 0)
		service.status = 500;
	if (day->hang || g_rand_int_range(day->rand, 0, 100) == 0)
		service.duration_us = -1;
	g_hash_table_replace(day->starts, key, GUINT_TO_POINTER(count + 1));
	return service;
}

static void
submit(struct day *day, struct caller *caller)
{
	struct mst_task_spec tasks[TASKS_MAX] = {0};
	char names[TASKS_MAX][40];
	struct mst_job_spec spec = {.team = "queue",
	    .timeout_ms = DEADLINE_MS,
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
			.declared_us = caller->work_ms * 1000,
			.needs = {.millicores = 1000}};
	}
	caller->attempts++;
	caller->due_ms = 0;
	caller->gives_up_ms = day->now_ms + DEADLINE_MS;
	caller->request =
	    sim_submit(day->sim, day->cluster.entries[caller->entry], &spec);
}

static void
send_again(struct day *day, struct caller *caller)
{
	caller->request = 0;
	caller->may_have_run = true;
	if (caller->attempts >= 3)
		caller->settled = true;
	else
		caller->due_ms = day->now_ms + day->resend_ms;
}

static void
caller_take_answer(
    struct day *day, struct caller *caller, const struct sim_request *request)
{
	bool not_run = request->refused ||
	    (request->state == MST_JOB_FAILED && !request->may_have_run);

	day->answered++;
	day->completed += request->state == MST_JOB_COMPLETE;
	caller->may_have_run |= !not_run;
	caller->settled = true;
}

static void
caller_advance(struct day *day, struct caller *caller)
{
	const struct sim_request *request;

	if (caller->settled)
		return;
	if (caller->request == 0) {
		if (day->now_ms < caller->due_ms)
			return;
		caller->entry = g_rand_int_range(day->rand, 0, ENTRIES);
		if (day->restart_ms[caller->entry] == 0 &&
		    day->resume_ms[caller->entry] == 0)
			submit(day, caller);
		return;
	}
	request = world_request(day->sim, caller->request);
	if (request->answered_us != 0)
		caller_take_answer(day, caller, request);
	else if (day->restart_ms[caller->entry] != 0)
		send_again(day, caller); /* the connection broke */
	else if (day->now_ms < FAULTS_END_MS &&
	    g_rand_int_range(day->rand, 0, 2000) == 0) {
		sim_disconnect(day->sim, caller->request);
		send_again(day, caller);
	} else if (day->now_ms >= caller->gives_up_ms + 200) {
		/* Its entry is frozen; the caller has left for good. */
		caller->may_have_run = true;
		caller->settled = true;
	}
}

static void
caller_new(struct day *day)
{
	struct caller *caller = g_new0(struct caller, 1);

	snprintf(
	    caller->key, sizeof(caller->key), "%016x", day->callers->len + 1);
	caller->count = (uint32_t)g_rand_int_range(day->rand, 1, TASKS_MAX + 1);
	caller->work_ms = (uint32_t)g_rand_int_range(day->rand, 20, 600);
	caller->due_ms = day->now_ms;
	g_ptr_array_add(day->callers, caller);
}

static void
cut_some(struct day *day)
{
	cluster_cut_random_links(&day->cluster, day->rand);
	day->heal_ms = day->now_ms + g_rand_int_range(day->rand, 200, 3000);
}

static void
one_fault(struct day *day)
{
	int at = g_rand_int_range(day->rand, 0, ENTRIES + WORKERS);
	int agent =
	    day->cluster.agents[g_rand_int_range(day->rand, 0, WORKERS)];
	struct sim_worker *worker = sim_get_worker(day->sim, agent);
	int64_t until_ms = day->now_ms + g_rand_int_range(day->rand, 50, 4000);

	switch (g_rand_int_range(day->rand, 0, 6)) {
	case 0:
		if (day->restart_ms[at] != 0 || day->resume_ms[at] != 0)
			break;
		sim_kill(day->sim, cluster_node(&day->cluster, at));
		day->restart_ms[at] = until_ms;
		break;
	case 1:
		if (day->restart_ms[at] != 0 || day->resume_ms[at] != 0)
			break;
		sim_pause(day->sim, cluster_node(&day->cluster, at));
		day->resume_ms[at] = until_ms;
		break;
	case 2:
		if (day->heal_ms == 0)
			cut_some(day);
		break;
	case 3:
		sim_worker_restart(worker);
		break;
	case 4:
		sim_worker_set_late_share(worker, 0.15);
		break;
	case 5:
		sim_worker_set_unavailable(worker, g_rand_boolean(day->rand));
		break;
	}
}

static void
heal_all(struct day *day)
{
	cluster_restore_links(&day->cluster);
	day->heal_ms = 0;
}

static void
repair(struct day *day, bool all)
{
	int at;

	for (at = 0; at < ENTRIES + WORKERS; at++) {
		if (day->restart_ms[at] != 0 &&
		    (all || day->now_ms >= day->restart_ms[at])) {
			cluster_restart(&day->cluster, at);
			day->restart_ms[at] = 0;
		}
		if (day->resume_ms[at] != 0 &&
		    (all || day->now_ms >= day->resume_ms[at])) {
			sim_resume(day->sim, cluster_node(&day->cluster, at));
			day->resume_ms[at] = 0;
		}
	}
	if (day->heal_ms != 0 && (all || day->now_ms >= day->heal_ms))
		heal_all(day);
	if (all)
		cluster_clear_worker_faults(&day->cluster);
}

static struct day *
day_new(uint32_t seed)
{
	const struct mst_resources capacity = {
	    .millicores = 8000, .memory_mb = 1024};
	struct day *day = g_new0(struct day, 1);
	struct sim_options options = {.seed = seed,
	    .latency_us = 500,
	    .jitter_us = 300,
	    .leased = true,
	    .resend_ms = seed % 4 == 0 ? RESEND_SOON_MS : RESEND_MS,
	    .service = serve,
	    .verbose = getenv("MST_TEST_LOG") != NULL,
	    .on_log = cluster_log_stderr,
	    .ctx = day};

	day->seed = seed;
	day->resend_ms = options.resend_ms;
	day->rand = g_rand_new_with_seed(seed);
	day->starts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	day->callers = g_ptr_array_new_with_free_func(g_free);
	day->sim = sim_new(&options);
	cluster_init(&day->cluster, day->sim, ENTRIES, WORKERS, &capacity);
	return day;
}

static void
day_free(struct day *day)
{
	sim_free(day->sim);
	g_hash_table_unref(day->starts);
	g_ptr_array_unref(day->callers);
	g_rand_free(day->rand);
	g_free(day);
}

static void
day_step(struct day *day, bool faults)
{
	guint i;

	day->now_ms += CLOCK_STEP_MS;
	sim_run_until(day->sim, G_USEC_PER_SEC + day->now_ms * MS);
	repair(day, false);
	if (faults && g_rand_int_range(day->rand, 0, 30) == 0)
		one_fault(day);
	if (day->now_ms % JOB_EVERY_MS == 0 && day->now_ms < FAULTS_END_MS)
		caller_new(day);
	for (i = 0; i < day->callers->len; i++)
		caller_advance(day, day->callers->pdata[i]);
}

static void
check_refusals(const struct day *day)
{
	guint i;

	for (i = 0; i < day->callers->len; i++) {
		const struct caller *caller = day->callers->pdata[i];
		guint starts = GPOINTER_TO_UINT(
		    g_hash_table_lookup(day->starts, caller->key));

		if (!caller->settled)
			g_test_message("seed %u: caller %s has no answer",
			    day->seed, caller->key);
		g_assert_true(caller->settled);
		if (!caller->may_have_run)
			g_assert_cmpuint(starts, ==, 0);
	}
}

static void
play(uint32_t seed, bool faults, unsigned *completed)
{
	struct day *day = day_new(seed);
	int i;

	while (day->now_ms < FAULTS_END_MS)
		day_step(day, faults && day->now_ms > 1000);
	repair(day, true);
	while (day->now_ms < DAY_MS)
		day_step(day, false);
	if (sim_overlapping_runs(day->sim) > 0)
		g_test_message("seed %u: a task ran twice at once", seed);
	g_assert_cmpuint(sim_overlapping_runs(day->sim), ==, 0);
	check_refusals(day);
	for (i = 0; i < WORKERS; i++) {
		if (sim_worker_running(
			sim_get_worker(day->sim, day->cluster.agents[i])) > 0)
			g_test_message(
			    "seed %u: agent%d's worker goes on with %s", seed,
			    i + 1,
			    sim_worker_first_task(sim_get_worker(
				day->sim, day->cluster.agents[i])));
		g_assert_cmpuint(sim_worker_running(sim_get_worker(
				     day->sim, day->cluster.agents[i])),
		    ==, 0);
	}
	*completed += day->completed;
	day_free(day);
}

static void
leases__calm_days_serve_all(void)
{
	unsigned total = 0;
	uint32_t seed;

	for (seed = 1; seed <= CALM_SEEDS; seed++) {
		unsigned completed = 0;

		play(seed, false, &completed);
		/* No day may feed on its own refusals. */
		g_assert_cmpuint(completed, >, DAY_JOBS * 3 / 4);
		total += completed;
	}
	/* One in 200 tasks stands still or fails twice. */
	g_assert_cmpuint(total, >, CALM_SEEDS * DAY_JOBS * 9 / 10);
}

static void
leases__no_task_runs_twice_at_once(void)
{
	const char *only = getenv("MST_TEST_SEED");
	const char *count = getenv("MST_TEST_SEEDS");
	uint32_t seeds =
	    count != NULL ? (uint32_t)strtoul(count, NULL, 10) : SEEDS;
	unsigned completed = 0;
	uint32_t seed;

	if (only != NULL) {
		play((uint32_t)strtoul(only, NULL, 10), true, &completed);
		return;
	}
	for (seed = 1; seed <= seeds; seed++)
		play(seed, true, &completed);
	/* The faults take much, but the system must not stand still. */
	g_assert_cmpuint(completed, >, seeds * DAY_JOBS / 3);
}

/* Agents are heard of some milliseconds after an entry's start. */
static void
leases__first_jobs_are_taken(void)
{
	struct day *day = day_new(5);
	const struct sim_request *request;
	struct caller *caller;

	caller_new(day);
	caller = day->callers->pdata[0];
	submit(day, caller);
	g_assert_cmpuint(
	    mst_entry_gauges(sim_get_entry(day->sim, day->cluster.entries[0]))
		.members_active,
	    ==, 0);
	sim_run_until(day->sim, G_USEC_PER_SEC + 1400 * MS);
	request = world_request(day->sim, caller->request);
	g_assert_false(request->refused);
	g_assert_cmpint(request->state, ==, MST_JOB_COMPLETE);
	day_free(day);
}

/* The message that takes a task back is lost, and the job is forgotten before
 * anything is repeated: the run must end all the same. */
static void
leases__forgotten_work_is_withdrawn(void)
{
	struct day *day = day_new(3);
	struct caller *caller;
	unsigned running = 0;
	int i;

	day->hang = true;
	day->now_ms = 1000;
	sim_run_until(day->sim, G_USEC_PER_SEC + day->now_ms * MS);
	caller_new(day);
	caller = day->callers->pdata[0];
	caller->count = 1;
	submit(day, caller);
	sim_run_until(day->sim, G_USEC_PER_SEC + 1100 * MS);
	for (i = 0; i < WORKERS; i++) {
		running += sim_worker_running(
		    sim_get_worker(day->sim, day->cluster.agents[i]));
		world_link(day->sim, day->cluster.entries[caller->entry],
		    day->cluster.agents[i])
		    ->drop_next = 1;
	}
	g_assert_cmpuint(running, ==, 1);
	sim_disconnect(day->sim, caller->request);
	sim_run_until(day->sim, G_USEC_PER_SEC + 3000 * MS);
	for (i = 0; i < WORKERS; i++)
		g_assert_cmpuint(sim_worker_running(sim_get_worker(
				     day->sim, day->cluster.agents[i])),
		    ==, 0);
	day_free(day);
}

static void
leases__what_is_gone_is_forgotten(void)
{
	struct day *day = day_new(7);
	struct mst_entry_gauges entry;
	struct mst_agent_gauges agent;
	int i;

	for (i = 0; i < 40; i++) {
		day->now_ms += 3000;
		sim_run_until(day->sim, G_USEC_PER_SEC + day->now_ms * MS);
		sim_restart(day->sim, day->cluster.agents[0]);
		sim_restart(day->sim, day->cluster.entries[0]);
	}
	day->now_ms += 90000;
	sim_run_until(day->sim, G_USEC_PER_SEC + day->now_ms * MS);
	entry =
	    mst_entry_gauges(sim_get_entry(day->sim, day->cluster.entries[1]));
	agent =
	    mst_agent_gauges(sim_get_agent(day->sim, day->cluster.agents[1]));
	g_assert_cmpuint(entry.members, ==, WORKERS);
	g_assert_cmpuint(entry.members_active, ==, WORKERS);
	g_assert_cmpuint(agent.sessions, <=, ENTRIES);
	day_free(day);
}

/* A lost entry and a lost agent leave nothing running when a caller is back. */
static void
leases__times_add_up(void)
{
	static const uint32_t resends_ms[] = {400, 700, 1300, 5000, 60000};
	static const uint32_t longest_ms[] = {200, 1000, 30000};
	const double stop_us = 50 * 1000, drift = 0.98;
	size_t r, m;

	for (r = 0; r < G_N_ELEMENTS(resends_ms); r++) {
		for (m = 0; m < G_N_ELEMENTS(longest_ms); m++) {
			struct mst_lease_times times;
			double left_us;

			mst_lease_times(&times, resends_ms[r], longest_ms[m]);
			left_us = ((double)times.entry_lease_us +
				      (double)times.run_lease_us) /
			    drift;
			g_assert_cmpfloat(left_us, <, resends_ms[r] * 1000.0);
			left_us =
			    (double)times.entry_lease_us / drift + stop_us;
			g_assert_cmpfloat(left_us, <, resends_ms[r] * 1000.0);
			g_assert_cmpint(times.run_lease_us, <=,
			    (int64_t)longest_ms[m] * 1000);
			g_assert_cmpint(
			    times.heartbeat_us * 2, <, times.entry_lease_us);
			/* A restarted entry is announced to before callers
			 * come back; a live one's idle heartbeats, every other
			 * one, may be lost once. */
			g_assert_cmpint(
			    times.entry_silence_us, <, times.agent_lost_us);
			g_assert_cmpint(
			    times.entry_silence_us, >, times.heartbeat_us * 4);
		}
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leases/times", leases__times_add_up);
	g_test_add_func("/leases/calm", leases__calm_days_serve_all);
	g_test_add_func("/leases/forgotten", leases__what_is_gone_is_forgotten);
	g_test_add_func(
	    "/leases/withdrawn", leases__forgotten_work_is_withdrawn);
	g_test_add_func("/leases/first", leases__first_jobs_are_taken);
	g_test_add_func("/leases/faults", leases__no_task_runs_twice_at_once);
	return g_test_run();
}
