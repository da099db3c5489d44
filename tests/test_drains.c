/*
 * Drained failure domains. No task may start in one, whichever processes fail
 * meanwhile, and no caller may lose an answer because of a drain.
 */

#include "support/drain_fixture.h"

#define REPLACE_MAX_MS 100   /* until returned tasks start elsewhere */
#define SCAN_MAX_MS    100   /* until waiting jobs are answered */
#define RESTART_MAX_MS 3000  /* until a returned task is complete */
#define LATE_ORDER_MS  12000 /* longest delay of an order */
#define RANDOM_SEEDS   10

/* One entry is told while all of them send tasks to all domains: starts in the
 * domain must end soon after, and each job must complete. */
static void
drains__no_start_in_drained_domain(void)
{
	struct drain_fixture *fixture = drain_fixture_new(3, 6, 3, 2);
	int64_t told_us;

	drain_submit_for_ms(fixture, 1000);
	g_assert_cmpuint(drain_count_starts_since(fixture, "a", 0), >, 0);
	told_us = sim_now(fixture->sim);
	drain_set_domains(fixture, 0, 2, "a");
	drain_submit_for_ms(fixture, 3000);
	drain_run_for_ms(fixture, 2000);
	g_assert_cmpuint(
	    drain_count_starts_since(fixture, "a", told_us + STOP_MAX_MS * MS),
	    ==, 0);
	drain_assert_agents_drained(fixture, "a");
	drain_assert_all_complete(fixture);
	drain_fixture_free(fixture);
}

/* A running task must end normally, and a queued one must start elsewhere at
 * once instead of waiting for the running one. */
static void
drains__queued_tasks_move_and_running_ones_end(void)
{
	struct drain_fixture *fixture = drain_fixture_new(1, 2, 2, 1);
	int64_t told_us;

	drain_set_domains(fixture, 0, 2, "b");
	drain_run_for_ms(fixture, 200);
	fixture->task_ms = 3000;
	drain_submit(fixture, 0, 1);
	drain_submit(fixture, 0, 1);
	drain_run_for_ms(fixture, 200);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	g_assert_cmpuint(drain_agent_gauges(fixture, 0).queued, ==, 1);
	told_us = sim_now(fixture->sim);
	drain_set_domains(fixture, 0, 3, "a");
	drain_run_for_ms(fixture, REPLACE_MAX_MS);
	g_assert_cmpuint(
	    drain_count_starts_since(fixture, "b", told_us), ==, 1);
	g_assert_cmpuint(drain_agent_gauges(fixture, 0).running, ==, 1);
	drain_run_for_ms(fixture, 4000);
	g_assert_cmpuint(fixture->starts->len, ==, 2);
	drain_assert_all_complete(fixture);
	drain_fixture_free(fixture);
}

/* With all domains drained, callers must be told at once. The running tasks
 * must still be answered, and the jobs that wait at the agents or the entry
 * must be answered as not run. */
static void
drains__all_domains_drained(void)
{
	const unsigned agents = 3, jobs = 7;
	struct drain_fixture *fixture = drain_fixture_new(1, (int)agents, 3, 1);
	const struct sim_request *request;
	unsigned complete = 0, not_run = 0;
	unsigned i;

	fixture->task_ms = 2000;
	for (i = 0; i < jobs; i++)
		drain_submit(fixture, 0, 1);
	drain_run_for_ms(fixture, 500);
	g_assert_cmpuint(fixture->starts->len, ==, agents);
	g_assert_cmpuint(drain_entry_gauges(fixture, 0).jobs_open, ==, jobs);
	drain_set_domains(fixture, 0, 2, "a,b,c");
	request = drain_get_request(fixture, drain_submit(fixture, 0, 1));
	g_assert_true(request->refused);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_MEMBERS);
	g_assert_cmpuint(request->retry_after_ms, >, 0);
	g_assert_false(drain_entry_gauges(fixture, 0).ready);
	drain_run_for_ms(fixture, SCAN_MAX_MS);
	for (i = 0; i < jobs; i++) {
		request = drain_get_request(
		    fixture, g_array_index(fixture->requests, uint64_t, i));
		if (request->answered_us == 0)
			continue;
		not_run++;
		g_assert_cmpint(request->reason, ==, MST_REASON_NO_MEMBERS);
		g_assert_cmpuint(request->not_run, ==, 1);
		g_assert_false(request->may_have_run);
	}
	g_assert_cmpuint(not_run, ==, jobs - agents);
	drain_run_for_ms(fixture, 3000);
	for (i = 0; i < jobs; i++)
		complete += drain_get_request(fixture,
				g_array_index(fixture->requests, uint64_t, i))
				->state == MST_JOB_COMPLETE;
	g_assert_cmpuint(complete, ==, agents);
	g_assert_cmpuint(fixture->starts->len, ==, agents);
	drain_fixture_free(fixture);
}

/* An entry that restarts while all domains are drained, and has only heard from
 * some of the agents, must not leave a job that it has accepted meanwhile
 * waiting. */
static void
drains__restarted_entry_answers_accepted_job(void)
{
	struct drain_fixture *fixture = drain_fixture_new(1, 3, 3, 1);
	const struct sim_request *request;
	uint64_t id;

	drain_set_domains(fixture, 0, 2, "a,b,c");
	drain_run_for_ms(fixture, 1000);
	cluster_restart(&fixture->cluster, 0);
	id = drain_submit(fixture, 0, 1);
	drain_run_for_ms(fixture, 1200);
	request = drain_get_request(fixture, id);
	g_assert_cmpint(request->answered_us, >, 0);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_MEMBERS);
	g_assert_false(request->may_have_run);
	g_assert_cmpuint(fixture->starts->len, ==, 0);
	drain_fixture_free(fixture);
}

/* A job of which one task is done must not be failed by a drain of all domains
 * that is over before its deadline. */
static void
drains__started_job_survives_a_short_drain(void)
{
	struct drain_fixture *fixture = drain_fixture_new(1, 1, 1, 1);
	uint64_t id = drain_submit(fixture, 0, 3);

	drain_run_for_ms(fixture, 50);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	drain_set_domains(fixture, 0, 2, "a");
	drain_run_for_ms(fixture, 3000);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	g_assert_cmpint(drain_get_request(fixture, id)->answered_us, ==, 0);
	drain_set_domains(fixture, 0, 3, "");
	drain_run_for_ms(fixture, 1000);
	g_assert_cmpint(
	    drain_get_request(fixture, id)->state, ==, MST_JOB_COMPLETE);
	drain_fixture_free(fixture);
}

/* One domain is drained while another is lost: the jobs of both must complete
 * in the third one. */
static void
drains__another_domain_is_lost(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 6, 3, 4);
	int64_t told_us;

	drain_submit_for_ms(fixture, 500);
	told_us = sim_now(fixture->sim);
	drain_set_domains(fixture, 0, 2, "a");
	sim_kill(fixture->sim, fixture->cluster.agents[1]);
	sim_kill(fixture->sim, fixture->cluster.agents[4]);
	drain_submit_for_ms(fixture, 1000);
	drain_run_for_ms(fixture, 5000);
	g_assert_cmpuint(
	    drain_count_starts_since(fixture, "a", told_us + STOP_MAX_MS * MS),
	    ==, 0);
	/* Tasks whose start was not confirmed wait until it can't be executed.
	 */
	drain_run_for_ms(fixture, LATE_ORDER_MS + RESTART_MAX_MS);
	drain_assert_all_complete(fixture);
	drain_fixture_free(fixture);
}

/* The last domain is restored: the entry must serve again at once. */
static void
drains__restored_domain_serves_at_once(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 2, 1, 2);
	int64_t restored_us;
	uint64_t id;

	drain_set_domains(fixture, 0, 2, "a");
	drain_run_for_ms(fixture, 3000);
	g_assert_false(drain_entry_gauges(fixture, 1).ready);
	restored_us = sim_now(fixture->sim);
	drain_set_domains(fixture, 0, 3, "");
	drain_run_for_ms(fixture, 20);
	g_assert_true(drain_entry_gauges(fixture, 0).ready);
	g_assert_true(drain_entry_gauges(fixture, 1).ready);
	id = drain_submit(fixture, 1, 1);
	drain_run_for_ms(fixture, 20);
	g_assert_cmpuint(
	    drain_count_starts_since(fixture, "a", restored_us), ==, 1);
	drain_run_for_ms(fixture, 500);
	g_assert_cmpint(
	    drain_get_request(fixture, id)->state, ==, MST_JOB_COMPLETE);
	drain_fixture_free(fixture);
}

/* A task that runs longer than expected would be withdrawn elsewhere. With all
 * domains drained it could not run again, so it must stay and complete. */
static void
drains__overdue_task_stays(void)
{
	struct drain_fixture *fixture = drain_fixture_new(1, 2, 2, 1);

	drain_submit(fixture, 0, 1);
	fixture->task_ms = 3000;
	drain_run_for_ms(fixture, 20);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	drain_set_domains(fixture, 0, 2, "a,b");
	drain_run_for_ms(fixture, 4000);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	drain_assert_all_complete(fixture);
	drain_fixture_free(fixture);
}

/* A domain is drained in the same write that restores the others. Until the
 * restored agents have announced themselves, callers must not be refused. */
static void
drains__swap_refuses_no_caller(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 3, 3, 2);

	drain_set_domains(fixture, 0, 2, "a,b");
	drain_run_for_ms(fixture, 1000);
	drain_set_domains(fixture, 0, 3, "c");
	g_assert_true(drain_entry_gauges(fixture, 0).ready);
	drain_submit(fixture, 0, 1);
	drain_run_for_ms(fixture, 1);
	drain_submit(fixture, 1, 1);
	drain_run_for_ms(fixture, 1000);
	drain_assert_all_complete(fixture);
	drain_fixture_free(fixture);
}

/* An agent without leases that has drained usually ends and does not return.
 * One whose domain was drained must get tasks again after the restore. */
static void
drains__agent_without_leases_returns(void)
{
	struct drain_fixture fixture = {.task_ms = 100,
	    .starts = g_array_new(FALSE, FALSE, sizeof(struct drain_start))};
	const struct sim_options options = {.seed = 1,
	    .latency_us = 500,
	    .get_task_result = drain_serve_task,
	    .on_log = cluster_log_stderr,
	    .ctx = &fixture};
	struct mst_agent_options agent_options = MST_AGENT_OPTIONS_INIT;
	const struct mst_task_spec task = {
	    .path = mst_bytes_from_str("task"), .declared_us = 100 * MS};
	const struct mst_job_spec spec = {
	    .team = "team", .timeout_ms = 5000, .count = 1, .tasks = &task};
	int entry, agent;
	uint64_t id;

	fixture.sim = sim_new(&options);
	agent_options.failure_domain = "a";
	agent_options.slots = 1;
	entry = sim_add_entry(fixture.sim, "entry1");
	sim_configure(fixture.sim, entry, 1, "{}");
	agent = sim_add_agent(fixture.sim, "agent1", &agent_options);
	drain_run_for_ms(&fixture, 3000);
	sim_set_drains(fixture.sim, entry, 2, "a");
	drain_run_for_ms(&fixture, 1000);
	g_assert_true(
	    mst_agent_gauges(sim_get_agent(fixture.sim, agent)).drained);
	id = sim_submit(fixture.sim, entry, &spec);
	g_assert_true(sim_get_request(fixture.sim, id)->refused);
	g_assert_cmpint(sim_get_request(fixture.sim, id)->reason, ==,
	    MST_REASON_NO_MEMBERS);
	sim_set_drains(fixture.sim, entry, 3, "");
	drain_run_for_ms(&fixture, 100);
	id = sim_submit(fixture.sim, entry, &spec);
	drain_run_for_ms(&fixture, 1000);
	g_assert_cmpint(
	    sim_get_request(fixture.sim, id)->state, ==, MST_JOB_COMPLETE);
	sim_free(fixture.sim);
	g_array_unref(fixture.starts);
}

/* Sends one task to the agent of domain a, whose worker leaves its orders
 * without an answer, and drains the domain while the start order is pending. */
static struct drain_fixture *
drain_with_pending_start(int64_t pending_ms)
{
	struct drain_fixture *fixture = drain_fixture_new(1, 2, 2, 1);
	struct sim_worker *worker =
	    sim_get_worker(fixture->sim, fixture->cluster.agents[0]);

	drain_set_domains(fixture, 0, 2, "b");
	drain_run_for_ms(fixture, 200);
	sim_worker_set_unavailable(worker, true);
	drain_submit(fixture, 0, 1);
	drain_run_for_ms(fixture, pending_ms);
	g_assert_cmpuint(drain_agent_gauges(fixture, 0).running, ==, 1);
	g_assert_cmpuint(fixture->starts->len, ==, 0);
	drain_set_domains(fixture, 0, 3, "a");
	drain_run_for_ms(fixture, 2);
	g_assert_true(drain_agent_gauges(fixture, 0).drained);
	sim_worker_set_unavailable(worker, false);
	return fixture;
}

static void
assert_only_start_is_elsewhere(struct drain_fixture *fixture)
{
	drain_run_for_ms(fixture, RESTART_MAX_MS);
	g_assert_cmpuint(drain_count_starts_since(fixture, "a", 0), ==, 0);
	g_assert_cmpuint(drain_count_starts_since(fixture, "b", 0), ==, 1);
	drain_assert_all_complete(fixture);
}

/* Until the order that got no answer can't be executed any more, also by the
 * worker's next incarnation, its task must not start elsewhere. */
static void
assert_only_start_is_elsewhere_later(struct drain_fixture *fixture)
{
	drain_run_for_ms(fixture, LATE_ORDER_MS);
	g_assert_cmpuint(fixture->starts->len, ==, 0);
	assert_only_start_is_elsewhere(fixture);
}

/* A start order that waits to be repeated must not be sent again in the drained
 * domain. */
static void
drains__due_start_is_not_repeated(void)
{
	struct drain_fixture *fixture = drain_with_pending_start(55);

	assert_only_start_is_elsewhere_later(fixture);
	drain_fixture_free(fixture);
}

/* A start order that gets no answer must neither be sent again before its
 * timeout nor repeated after it. */
static void
drains__open_start_is_not_hedged(void)
{
	struct drain_fixture *fixture = drain_with_pending_start(5);

	assert_only_start_is_elsewhere_later(fixture);
	drain_fixture_free(fixture);
}

/* A start order that the worker has rejected has certainly not run, so its task
 * is returned as such. */
static void
drains__rejected_start_is_not_run(void)
{
	struct drain_fixture *fixture = drain_fixture_new(1, 2, 2, 1);
	struct sim_worker *worker =
	    sim_get_worker(fixture->sim, fixture->cluster.agents[0]);
	const struct mst_agent_counters *counters = mst_agent_counters(
	    sim_get_agent(fixture->sim, fixture->cluster.agents[0]));

	drain_set_domains(fixture, 0, 2, "b");
	drain_run_for_ms(fixture, 200);
	sim_worker_set_order_fault(worker, MST_ORDER_LAPSED);
	drain_submit(fixture, 0, 1);
	drain_run_for_ms(fixture, 5);
	g_assert_cmpuint(drain_agent_gauges(fixture, 0).running, ==, 1);
	drain_set_domains(fixture, 0, 3, "a");
	drain_run_for_ms(fixture, 2);
	sim_worker_set_order_fault(worker, MST_ORDER_DONE);
	g_assert_cmpuint(drain_agent_gauges(fixture, 0).running, ==, 0);
	g_assert_cmpuint(counters->refused[MST_REASON_DRAINING], ==, 1);
	assert_only_start_is_elsewhere(fixture);
	drain_fixture_free(fixture);
}

/* Drains one or two of three domains at an entry while an agent and another
 * entry restart. */
static void
drain_at_random(struct drain_fixture *fixture, GRand *rand, uint64_t revision)
{
	const struct cluster *cluster = &fixture->cluster;
	const char *first = drain_domains[g_rand_int_range(rand, 0, 3)];
	const char *second = drain_domains[g_rand_int_range(rand, 0, 3)];
	char *names = g_strdup_printf("%s,%s", first, second);
	int64_t told_us = sim_now(fixture->sim);

	drain_set_domains(
	    fixture, g_rand_int_range(rand, 1, 3), revision, names);
	g_free(names);
	drain_submit_for_ms(fixture, g_rand_int_range(rand, 0, 600));
	cluster_restart(cluster,
	    cluster->entry_count +
		g_rand_int_range(rand, 0, cluster->agent_count));
	drain_submit_for_ms(fixture, g_rand_int_range(rand, 0, 600));
	cluster_restart(cluster, 0);
	drain_submit_for_ms(fixture, 1000);
	told_us += STOP_MAX_MS * MS;
	g_assert_cmpuint(
	    drain_count_starts_since(fixture, first, told_us), ==, 0);
	g_assert_cmpuint(
	    drain_count_starts_since(fixture, second, told_us), ==, 0);
}

static void
run_random_drains(uint32_t seed)
{
	struct drain_fixture *fixture =
	    drain_fixture_new_random(seed, 5 * MS, 3, 6, 3, 4);
	GRand *rand = g_rand_new_with_seed(seed);
	const struct sim_request *request;
	uint64_t revision;
	guint i;

	sim_set_message_faults(fixture->sim, 0.02, 0.02);
	for (revision = 2; revision < 8; revision++)
		drain_at_random(fixture, rand, revision);
	sim_set_message_faults(fixture->sim, 0, 0);
	drain_set_domains(fixture, 1, revision, "");
	drain_run_for_ms(fixture, DEADLINE_MS);
	drain_assert_agents_drained(fixture, NULL);
	for (i = 0; i < fixture->requests->len; i++) {
		request = drain_get_request(
		    fixture, g_array_index(fixture->requests, uint64_t, i));
		/* The callers of an entry that restarts get no answer. */
		if (request->entry != fixture->cluster.entries[0])
			g_assert_cmpint(request->state, ==, MST_JOB_COMPLETE);
	}
	g_assert_cmpuint(sim_overlap_count(fixture->sim), ==, 0);
	g_rand_free(rand);
	drain_fixture_free(fixture);
}

/* Messages are lost, repeated and reordered, and processes restart, while the
 * set changes: no start may be late and no caller may lose an answer. */
static void
drains__random_faults(void)
{
	uint32_t seed;

	for (seed = 1; seed <= RANDOM_SEEDS; seed++)
		run_random_drains(seed);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drains/no-start", drains__no_start_in_drained_domain);
	g_test_add_func(
	    "/drains/queued", drains__queued_tasks_move_and_running_ones_end);
	g_test_add_func("/drains/all-domains", drains__all_domains_drained);
	g_test_add_func("/drains/all-domains-restart",
	    drains__restarted_entry_answers_accepted_job);
	g_test_add_func("/drains/all-domains-short",
	    drains__started_job_survives_a_short_drain);
	g_test_add_func("/drains/overdue", drains__overdue_task_stays);
	g_test_add_func("/drains/swap", drains__swap_refuses_no_caller);
	g_test_add_func(
	    "/drains/no-leases", drains__agent_without_leases_returns);
	g_test_add_func("/drains/another-lost", drains__another_domain_is_lost);
	g_test_add_func(
	    "/drains/restore", drains__restored_domain_serves_at_once);
	g_test_add_func("/drains/due-start", drains__due_start_is_not_repeated);
	g_test_add_func("/drains/open-start", drains__open_start_is_not_hedged);
	g_test_add_func(
	    "/drains/rejected-start", drains__rejected_start_is_not_run);
	g_test_add_func("/drains/random", drains__random_faults);
	return g_test_run();
}
