/*
 * Stored jobs under faults: entries and agents die, freeze and are cut off from
 * each other and from the store, whose changes go unanswered or are done late;
 * workers answer late or are restarted. What was accepted ends, whoever owns it
 * then; what has ended well is never run again, nothing runs twice at once, and
 * nothing of what was refused as not run ever runs.
 *
 * MST_TEST_SEED=N plays one seed, MST_TEST_SEEDS=N as many from 1 on;
 * MST_TEST_LOG=1 writes what happens to standard error.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/cluster.h"
#include "sim/worker.h"

#define MS            INT64_C(1000)
#define ENTRIES       3
#define WORKERS       4
#define SEEDS         60
#define JOBS_END_MS   9000
#define FAULTS_END_MS 14000
#define DAY_MS        45000
#define JOB_EVERY_MS  80
#define TASKS_MAX     6
#define ATTEMPTS      2
#define CLOCK_STEP_MS 10
#define PATIENCE_MS   1500
#define RESEND_MS     400
#define CANCEL_MS     3000
/* From the end of an entry until its jobs have ended elsewhere: under the time
 * after which a lost one's are taken. */
#define HANDED_OVER_MS 3500
#define BACK_MS        2000 /* the store is back: jobs go on */

/* A job, from its first send until its end is shown. */
struct caller {
	char key[20];
	char names[TASKS_MAX][48];
	struct mst_task_spec tasks[TASKS_MAX];
	struct mst_step_spec steps[2];
	struct mst_job_spec spec;
	uint64_t request; /* on its way; 0: none */
	int entry;
	int64_t first_ms; /* of all sends */
	int64_t sent_ms;
	int64_t due_ms;
	bool accepted;
	bool refused;
	bool refused_only; /* every answer so far was a refusal */
	bool cancels;      /* means to */
	bool cancelling;
	int64_t cancelled_ms; /* acknowledged */
	unsigned starts;
	enum mst_stored_state shown;
};

struct day {
	struct sim *sim;
	GRand *rand;
	struct cluster cluster;
	int64_t restart_ms[ENTRIES + WORKERS]; /* 0: is up */
	int64_t resume_ms[ENTRIES + WORKERS];
	int64_t cut_ms[ENTRIES + WORKERS]; /* from the store */
	int64_t heal_ms;
	int64_t store_ms;
	int64_t now_ms;
	GPtrArray *callers;
	GHashTable *by_key;
	uint32_t seed;
	unsigned completed;
	const char *late; /* its start was not to come any more */
};

static struct sim_service
serve(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct day *day = ctx;
	char *key = g_strndup(task->path.data, 16);
	struct caller *caller = g_hash_table_lookup(day->by_key, key);
	struct sim_service service = {.outcome = MST_OUTCOME_DONE,
	    .status = 200,
	    .duration_us = (20 + g_rand_int_range(day->rand, 0, 500)) * MS};

	g_free(key);
	caller->starts++;
	if (caller->cancelled_ms != 0 &&
	    day->now_ms > caller->cancelled_ms + CANCEL_MS)
		day->late = caller->key;
	if (caller->shown == MST_STORED_COMPLETE ||
	    (caller->refused && caller->refused_only && caller->request == 0))
		day->late = caller->key;
	if (g_rand_int_range(day->rand, 0, 8) == 0)
		service.status = 500;
	return service;
}

static const struct mst_job_spec *
load(void *ctx, const char *key)
{
	const struct day *day = ctx;
	const struct caller *caller = g_hash_table_lookup(day->by_key, key);

	return &caller->spec;
}

static struct caller *
caller_new(struct day *day)
{
	struct caller *caller = g_new0(struct caller, 1);
	uint32_t first = (uint32_t)g_rand_int_range(day->rand, 1, 4);
	uint32_t second = (uint32_t)g_rand_int_range(day->rand, 0, 3);
	uint32_t i;

	snprintf(caller->key, sizeof(caller->key), "%016x",
	    day->callers->len * 7 + 1);
	for (i = 0; i < first + second; i++) {
		snprintf(caller->names[i], sizeof(caller->names[i]),
		    "%s.0.%d.%u", caller->key, i >= first, i);
		caller->tasks[i] = (struct mst_task_spec){
		    .path = mst_bytes_from_str(caller->names[i]),
		    .flags = MST_TASK_RESTARTABLE,
		    .declared_us = 200 * MS,
		    .needs = {.millicores = 1000}};
	}
	caller->steps[0] = (struct mst_step_spec){.count = first};
	caller->steps[1] = (struct mst_step_spec){
	    .first = first, .count = second, .dependencies = 1};
	caller->spec = (struct mst_job_spec){.team = "queue",
	    .timeout_ms = PATIENCE_MS,
	    .count = first + second,
	    .tasks = caller->tasks,
	    .step_count = second > 0 ? 2 : 1,
	    .steps = caller->steps,
	    .restartable = true,
	    .key = caller->key,
	    .service = "service",
	    .attempts = ATTEMPTS,
	    .stretch = 1.6,
	    .target_ms = 200,
	    .stored = true,
	    .serialized = "text"};
	caller->first_ms = day->now_ms;
	caller->refused_only = true;
	caller->cancels = g_rand_int_range(day->rand, 0, 12) == 0;
	g_ptr_array_add(day->callers, caller);
	g_hash_table_insert(day->by_key, caller->key, caller);
	return caller;
}

static bool
entry_is_up(const struct day *day, int entry)
{
	return day->restart_ms[entry] == 0 && day->resume_ms[entry] == 0;
}

static void
ask(struct day *day, struct caller *caller)
{
	int node;

	caller->entry = g_rand_int_range(day->rand, 0, ENTRIES);
	node = day->cluster.entries[caller->entry];
	if (!entry_is_up(day, caller->entry))
		return;
	caller->sent_ms = day->now_ms;
	caller->cancelling =
	    caller->accepted && caller->cancels && caller->cancelled_ms == 0;
	if (!caller->accepted)
		caller->request = sim_submit(day->sim, node, &caller->spec);
	else if (caller->cancelling)
		caller->request = sim_cancel_key(day->sim, node, caller->key);
	else
		caller->request = sim_find_key(day->sim, node, caller->key);
}

static void
ask_again(struct day *day, struct caller *caller, int64_t wait_ms)
{
	caller->request = 0;
	caller->due_ms = day->now_ms + wait_ms;
}

static void
take_state(
    struct day *day, struct caller *caller, const struct sim_request *answer)
{
	if (answer->refused) {
		caller->refused = true;
		ask_again(day, caller, 1000);
		return;
	}
	if (answer->stored_state != MST_STORED_UNAVAILABLE)
		caller->refused_only = false;
	ask_again(day, caller, RESEND_MS);
	switch (answer->stored_state) {
	case MST_STORED_ACCEPTED:
		caller->accepted = true;
		break;
	case MST_STORED_UNAVAILABLE:
		caller->refused_only = false;
		break;
	case MST_STORED_UNKNOWN:
		g_test_message("seed %u: %s is not known any more", day->seed,
		    caller->key);
		g_assert_not_reached();
	case MST_STORED_CANCELLED:
		if (!caller->cancels)
			g_test_message("seed %u: %s is shown as cancelled",
			    day->seed, caller->key);
		g_assert_true(caller->cancels);
		if (caller->cancelled_ms == 0)
			caller->cancelled_ms = day->now_ms;
		caller->shown = answer->stored_state;
		break;
	case MST_STORED_COMPLETE:
	case MST_STORED_FAILED:
		caller->shown = answer->stored_state;
		day->completed++;
		break;
	case MST_STORED_QUEUED:
	case MST_STORED_RUNNING:
		break;
	}
}

static bool
is_settled(const struct caller *caller)
{
	return caller->shown != 0;
}

static void
caller_advance(struct day *day, struct caller *caller)
{
	const struct sim_request *answer;

	if (is_settled(caller))
		return;
	if (caller->request == 0) {
		if (day->now_ms >= caller->due_ms)
			ask(day, caller);
		return;
	}
	answer = world_request(day->sim, caller->request);
	if (answer->answered_us != 0) {
		take_state(day, caller, answer);
	} else if (day->restart_ms[caller->entry] != 0 ||
	    day->now_ms > caller->sent_ms + PATIENCE_MS + 500) {
		/* The connection broke, or the caller waits no longer. */
		caller->refused_only = false;
		ask_again(day, caller, 100);
	}
}

static void
cut_some(struct day *day)
{
	cluster_cut_random_links(&day->cluster, day->rand);
	day->heal_ms = day->now_ms + g_rand_int_range(day->rand, 200, 5000);
}

static void
one_fault(struct day *day)
{
	int at = g_rand_int_range(day->rand, 0, ENTRIES + WORKERS);
	struct sim_worker *worker = sim_get_worker(day->sim,
	    day->cluster.agents[g_rand_int_range(day->rand, 0, WORKERS)]);
	int64_t until_ms = day->now_ms + g_rand_int_range(day->rand, 50, 6000);
	bool up = day->restart_ms[at] == 0 && day->resume_ms[at] == 0;

	switch (g_rand_int_range(day->rand, 0, 9)) {
	case 0:
		if (!up)
			break;
		sim_kill(day->sim, cluster_node(&day->cluster, at));
		day->restart_ms[at] = until_ms;
		break;
	case 1:
		if (!up)
			break;
		sim_pause(day->sim, cluster_node(&day->cluster, at));
		day->resume_ms[at] = until_ms;
		break;
	case 2:
		if (day->heal_ms == 0)
			cut_some(day);
		break;
	case 3:
		/* An order held up over a life can't be told from a new one
		 * by the worker, and its agent may be frozen. */
		sim_worker_drop_orders(worker);
		sim_worker_restart(worker);
		break;
	case 4:
		sim_worker_set_late_share(worker, 0.1);
		break;
	case 5:
		sim_worker_set_unavailable(worker, g_rand_boolean(day->rand));
		break;
	case 6:
		sim_set_store_cut(
		    day->sim, cluster_node(&day->cluster, at), true);
		day->cut_ms[at] = until_ms;
		break;
	case 7:
		sim_set_store_faults(day->sim, 0.3, 0.2);
		day->store_ms = until_ms;
		break;
	case 8:
		if (!up)
			break;
		sim_drain(day->sim, cluster_node(&day->cluster, at));
		day->restart_ms[at] = until_ms;
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
		int node = cluster_node(&day->cluster, at);

		if (day->restart_ms[at] != 0 &&
		    (all || day->now_ms >= day->restart_ms[at])) {
			cluster_restart(&day->cluster, at);
			day->restart_ms[at] = 0;
		}
		if (day->resume_ms[at] != 0 &&
		    (all || day->now_ms >= day->resume_ms[at])) {
			sim_resume(day->sim, node);
			day->resume_ms[at] = 0;
		}
		if (day->cut_ms[at] != 0 &&
		    (all || day->now_ms >= day->cut_ms[at])) {
			sim_set_store_cut(day->sim, node, false);
			day->cut_ms[at] = 0;
		}
	}
	if (day->heal_ms != 0 && (all || day->now_ms >= day->heal_ms))
		heal_all(day);
	if (day->store_ms != 0 && (all || day->now_ms >= day->store_ms)) {
		sim_set_store_faults(day->sim, 0, 0);
		day->store_ms = 0;
	}
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
	    .stored_jobs = true,
	    .max_attempts = ATTEMPTS,
	    .load = load,
	    .service = serve,
	    .verbose = getenv("MST_TEST_LOG") != NULL,
	    .on_log = cluster_log_stderr,
	    .ctx = day};

	day->seed = seed;
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
day_step(struct day *day, bool faults)
{
	guint i;

	day->now_ms += CLOCK_STEP_MS;
	sim_run_until(day->sim, G_USEC_PER_SEC + day->now_ms * MS);
	repair(day, false);
	if (faults && g_rand_int_range(day->rand, 0, 40) == 0)
		one_fault(day);
	if (day->now_ms % JOB_EVERY_MS == 0 && day->now_ms < JOBS_END_MS)
		caller_new(day);
	for (i = 0; i < day->callers->len; i++)
		caller_advance(day, day->callers->pdata[i]);
}

static void
check(const struct day *day)
{
	const char *violation = sim_violation(day->sim);
	guint i;

	if (sim_overlapping_runs(day->sim) > 0 || violation != NULL ||
	    day->late != NULL)
		g_test_message("seed %u: %u overlaps; %s; %s", day->seed,
		    sim_overlapping_runs(day->sim), violation ? violation : "-",
		    day->late ? day->late : "-");
	g_assert_cmpuint(sim_overlapping_runs(day->sim), ==, 0);
	g_assert_null(violation);
	g_assert_null(day->late);
	for (i = 0; i < day->callers->len; i++) {
		const struct caller *caller = day->callers->pdata[i];

		if (!is_settled(caller))
			g_test_message("seed %u: %s has not ended (%s)",
			    day->seed, caller->key,
			    caller->accepted ? "accepted" : "not accepted");
		g_assert_true(is_settled(caller));
	}
}

static void
play(uint32_t seed, bool faults, unsigned *completed)
{
	struct day *day = day_new(seed);

	while (day->now_ms < FAULTS_END_MS)
		day_step(day, faults && day->now_ms > 1000);
	repair(day, true);
	while (day->now_ms < DAY_MS)
		day_step(day, false);
	check(day);
	*completed += day->completed;
	day_free(day);
}

static void
stored__calm_day_ends_all(void)
{
	unsigned completed = 0;

	play(1, false, &completed);
	g_assert_cmpuint(completed, >, JOBS_END_MS / JOB_EVERY_MS * 8 / 10);
}

static void
stored__faults_lose_and_double_nothing(void)
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
	g_assert_cmpuint(completed, >, seeds * JOBS_END_MS / JOB_EVERY_MS / 2);
}

/* Plays on without new faults, until a time. */
static void
day_run(struct day *day, int64_t upto_ms)
{
	while (day->now_ms < upto_ms)
		day_step(day, false);
}

/* Time from now until the next start of a task. */
static int64_t
next_start_ms(struct day *day, int64_t limit_ms)
{
	uint64_t before = sim_starts_total(day->sim);
	int64_t from_ms = day->now_ms;

	while (sim_starts_total(day->sim) == before &&
	    day->now_ms < from_ms + limit_ms)
		day_step(day, false);
	return day->now_ms - from_ms;
}

/* With the store away for all, nobody can own anything; once it is back,
 * entries go on with what was theirs without waiting for each other. */
static void
stored__store_is_away_for_all(void)
{
	struct day *day = day_new(2);
	unsigned completed;
	int at;

	day_run(day, 4000);
	for (at = 0; at < ENTRIES + WORKERS; at++)
		sim_set_store_cut(
		    day->sim, cluster_node(&day->cluster, at), true);
	day_run(day, 9000);
	completed = day->completed;
	for (at = 0; at < ENTRIES + WORKERS; at++)
		sim_set_store_cut(
		    day->sim, cluster_node(&day->cluster, at), false);
	g_assert_cmpint(next_start_ms(day, 5000), <=, BACK_MS);
	day_run(day, 20000);
	check(day);
	g_assert_cmpuint(day->completed, >, completed);
	day_free(day);
}

/* An entry that leaves hands its jobs over; they don't wait for its lease. */
static void
stored__leaving_entry_hands_over(void)
{
	struct day *day = day_new(4);
	guint i;

	day_run(day, 4000);
	sim_drain(day->sim, day->cluster.entries[0]);
	day_run(day, 5000);
	g_assert_true(sim_is_stopped(day->sim, day->cluster.entries[0]));
	sim_kill(day->sim, day->cluster.entries[0]);
	day->restart_ms[0] = DAY_MS;
	day_run(day, 4000 + HANDED_OVER_MS);
	for (i = 0; i < day->callers->len; i++) {
		const struct caller *caller = day->callers->pdata[i];

		if (caller->accepted && caller->first_ms < 4000)
			g_assert_true(is_settled(caller));
	}
	day_run(day, 25000);
	check(day);
	day_free(day);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stored/calm", stored__calm_day_ends_all);
	g_test_add_func("/stored/leaving", stored__leaving_entry_hands_over);
	g_test_add_func("/stored/away", stored__store_is_away_for_all);
	g_test_add_func(
	    "/stored/faults", stored__faults_lose_and_double_nothing);
	return g_test_run();
}
