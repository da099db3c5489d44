/*
 * Reports of other writers, sent to the agent of a worker that lives on and
 * runs a task. The run must go on, no crash may be recorded, and the worker
 * must still be used, also by an agent that is restarted afterwards and reads
 * the last report from the store.
 */

#include "sim/scenario.h"
#include "sim/worker.h"

#define MS          INT64_C(1000)
#define START_MS    2000
#define SETTLE_MS   2500 /* some reports of the worker */
#define DEADLINE_MS 20000
#define REPORT_ONLY (1U << FAULT_REPORTS) /* nothing is injected at random */

static void
run_until_ms(struct scenario *scenario, int64_t now_ms)
{
	scenario->now_ms = now_ms;
	sim_run_until(scenario->sim, G_USEC_PER_SEC + now_ms * MS);
}

/* Starts a task that does not finish and returns the index of its worker. */
static int
start_hanging_task(struct scenario *scenario)
{
	struct caller *caller;
	int i;

	scenario->tasks_hang = true;
	scenario->deadline_ms = DEADLINE_MS;
	run_until_ms(scenario, START_MS);
	scenario_add_caller(scenario);
	caller = scenario->callers->pdata[0];
	caller->count = 1;
	scenario_submit(scenario, caller);
	run_until_ms(scenario, START_MS + 100);
	for (i = 0; i < SCENARIO_WORKERS; i++) {
		if (sim_worker_run_count(sim_get_worker(
			scenario->sim, scenario->cluster.agents[i])) > 0)
			return i;
	}
	g_error("the task was not started");
}

static void
lease_reports__odd_report_changes_nothing(gconstpointer data)
{
	enum sim_odd_report kind = (enum sim_odd_report)GPOINTER_TO_INT(data);
	struct scenario *scenario = scenario_new_with_faults(1, REPORT_ONLY);
	int index = start_hanging_task(scenario);
	int agent = scenario->cluster.agents[index];

	sim_send_odd_report(scenario->sim, agent, kind);
	run_until_ms(scenario, START_MS + SETTLE_MS);
	g_assert_cmpuint(
	    sim_worker_run_count(sim_get_worker(scenario->sim, agent)), ==, 1);
	g_assert_cmpuint(sim_count_all_starts(scenario->sim), ==, 1);
	g_assert_cmpuint(
	    mst_agent_counters(sim_get_agent(scenario->sim, agent))->crashes,
	    ==, 0);
	scenario_check_members(scenario);
	scenario_free(scenario);
}

static void
lease_reports__agent_restarts_after_odd_report(gconstpointer data)
{
	enum sim_odd_report kind = (enum sim_odd_report)GPOINTER_TO_INT(data);
	struct scenario *scenario = scenario_new_with_faults(1, REPORT_ONLY);

	run_until_ms(scenario, START_MS);
	sim_send_odd_report(scenario->sim, scenario->cluster.agents[0], kind);
	run_until_ms(scenario, START_MS + 10);
	cluster_restart(&scenario->cluster, SCENARIO_ENTRIES);
	run_until_ms(scenario, START_MS + SETTLE_MS);
	scenario_check_members(scenario);
	scenario_free(scenario);
}

struct odd_report {
	enum sim_odd_report kind;
	const char *name;
};

static const struct odd_report odd_reports[] = {{SIM_ODD_ID, "id"},
    {SIM_ODD_ID_UNDATED, "id-undated"}, {SIM_ODD_UNDATED, "undated"},
    {SIM_ODD_FUTURE, "future"}, {SIM_ODD_ENDLESS, "endless"},
    {SIM_ODD_PAST, "past"}, {SIM_ODD_SEQ, "seq"}, {SIM_ODD_SERVICE, "service"},
    {SIM_ODD_DELETE, "delete"}, {SIM_ODD_DELETE_OTHER, "delete-other"}};

#define PAIRS (SIM_ODD_REPORTS * SIM_ODD_REPORTS)

/* Sends a pair of odd reports to the agent of a worker, which is restarted
 * between them if that is asked for, and checks that the worker is used. */
static void
send_pair(int pair, bool restarts_agent)
{
	struct scenario *scenario = scenario_new_with_faults(1, REPORT_ONLY);
	int agent = scenario->cluster.agents[0];
	int64_t now_ms = START_MS;

	run_until_ms(scenario, now_ms);
	sim_send_odd_report(scenario->sim, agent,
	    (enum sim_odd_report)(pair / SIM_ODD_REPORTS));
	run_until_ms(scenario, now_ms += 10);
	if (restarts_agent) {
		cluster_restart(&scenario->cluster, SCENARIO_ENTRIES);
		run_until_ms(scenario, now_ms += SETTLE_MS);
	}
	sim_send_odd_report(scenario->sim, agent,
	    (enum sim_odd_report)(pair % SIM_ODD_REPORTS));
	run_until_ms(scenario, now_ms + SETTLE_MS);
	scenario_check_members(scenario);
	scenario_free(scenario);
}

/* Guards against a worker that is no longer used after two odd reports. */
static void
lease_reports__two_odd_reports_change_nothing(gconstpointer data)
{
	send_pair(GPOINTER_TO_INT(data), false);
}

/* Guards against the same if the first one is read from the store again. */
static void
lease_reports__agent_restarts_between_odd_reports(gconstpointer data)
{
	send_pair(GPOINTER_TO_INT(data), true);
}

static void
add_pair(int pair, const char *between, GTestDataFunc test)
{
	int first = pair / SIM_ODD_REPORTS;
	int second = pair % SIM_ODD_REPORTS;
	char *path = g_strdup_printf("/lease-reports/%s%s-then-%s",
	    odd_reports[first].name, between, odd_reports[second].name);

	g_test_add_data_func(path, GINT_TO_POINTER(pair), test);
	g_free(path);
}

static void
add_test(const struct odd_report *odd, const char *prefix, GTestDataFunc test)
{
	char *path = g_strdup_printf("/lease-reports/%s%s", prefix, odd->name);

	g_test_add_data_func(path, GINT_TO_POINTER(odd->kind), test);
	g_free(path);
}

int
main(int argc, char **argv)
{
	size_t i;
	int pair;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(odd_reports); i++) {
		const struct odd_report *odd = &odd_reports[i];

		add_test(odd, "", lease_reports__odd_report_changes_nothing);
		add_test(odd, "restart-",
		    lease_reports__agent_restarts_after_odd_report);
	}
	for (pair = 0; pair < PAIRS; pair++) {
		add_pair(
		    pair, "", lease_reports__two_odd_reports_change_nothing);
		add_pair(pair, "-restart",
		    lease_reports__agent_restarts_between_odd_reports);
	}
	return g_test_run();
}
